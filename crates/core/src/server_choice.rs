//! Servers and queues of a rack pool, and the choice of a server for a batch task.

use std::collections::BTreeSet;

use crate::capacity::{Reservation, Resources};
use crate::eviction::Hysteresis;
use crate::ids::{ServerKey, TaskId, stable_hash};
use crate::interference::{Interference, KindKey, Loads};
use crate::placement::Objective;
use crate::queue::FairQueue;
use crate::time::MonoMs;

/// In rack pools of up to this many servers all are compared; in larger ones, the fullest and the emptiest that fit.
const MAX_COMPARED: usize = 16;

/// Servers scanned from each end of the free-capacity index of a large rack pool before it counts as full.
const MAX_SCANNED: usize = 64;

/// A task that adds less than this to the slowdown of requests may be placed on a server beyond the slowdown limit.
const NEGLIGIBLE_SLOWDOWN: f32 = 0.01;

/// Weight of the latency cost on a server that requests avoid anyway.
const AVOIDED_SERVER_WEIGHT: f32 = 0.1;

/// Cost of turning one more server into a slowed one.
const NEWLY_SLOWED_COST: f32 = 0.5;

/// Weight of the reserved share of a server, which decides between servers without interference.
const ALLOCATION_WEIGHT: f32 = 0.05;

/// Objective weights in the form used by placement decisions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Goals {
    /// Slowdown of requests beyond 1 up to which a server does not count as slowed.
    pub(crate) slowdown_limit: f32,
    /// Share of the servers of a rack pool that may be slowed.
    pub(crate) slowed_share: f32,
    pub(crate) latency_weight: f32,
    pub(crate) throughput_weight: f32,
    pub(crate) eviction_weight: f32,
}

impl Goals {
    #[expect(clippy::cast_precision_loss, reason = "weights are far below 2^24")]
    pub(crate) fn of(objective: Objective) -> Self {
        let latency = objective.latency_permille as f32;
        let throughput = objective.throughput_permille as f32;
        let eviction = objective.eviction_permille as f32;
        let sum = (latency + throughput).max(1.0);
        let throughput_share = throughput / sum;
        let slowdown_limit = if objective.latency_permille == 0 {
            f32::INFINITY
        } else {
            0.02 + 0.4 * throughput_share
        };
        Self {
            slowdown_limit,
            slowed_share: 0.25 + 0.5 * throughput_share,
            latency_weight: latency / 1_000.0,
            throughput_weight: throughput / 1_000.0,
            eviction_weight: eviction / 1_000.0,
        }
    }
}

pub(crate) struct PendingTask {
    pub(crate) task: TaskId,
    pub(crate) kind: KindKey,
    pub(crate) declared: Resources,
    pub(crate) run_ms: u64,
    pub(crate) finish_by: Option<MonoMs>,
    pub(crate) submitted: MonoMs,
}

/// Scheduling state of a backend server.
pub(crate) struct Server {
    pub(crate) key: ServerKey,
    pub(crate) pool: u32,
    pub(crate) size: Resources,
    pub(crate) reserved: Resources,
    /// Kept free for requests: the greater of `base_withheld` and `reclaimed`.
    pub(crate) withheld: Resources,
    /// Kept free for requests until it is set again.
    pub(crate) base_withheld: Resources,
    /// Reclaimed from batch tasks for requests, and kept free until `reclaimed_until`.
    pub(crate) reclaimed: Resources,
    pub(crate) reclaimed_until: MonoMs,
    /// Whether tasks may be placed here.
    pub(crate) open: bool,
    /// Indexes in `Scheduler::tasks`.
    pub(crate) tasks: Vec<u32>,
    /// Used millicores by kind of task.
    pub(crate) use_by_kind: Vec<(KindKey, u32)>,
    /// Expected slowdown of requests beyond 1.
    pub(crate) expected_slowdown: f32,
    /// Smoothed reported slowdown of requests; 0 before the first report.
    pub(crate) observed_slowdown_permille: u32,
    /// The two latest reported slowdowns of requests, oldest first.
    pub(crate) last_slowdowns_permille: [u32; 2],
    /// Requests are slowed beyond the limit here and are expected to avoid this server.
    pub(crate) slowed: bool,
    pub(crate) slowdown_hysteresis: Hysteresis,
    /// When a processor limit was last changed, or a task evicted, because of the slowdown of requests.
    pub(crate) last_slowdown_action: MonoMs,
    indexed_free_millicores: Option<u32>,
}

impl Server {
    pub(crate) fn closed(key: ServerKey, pool: u32, size: Resources) -> Self {
        Self {
            key,
            pool,
            size,
            reserved: Resources::default(),
            withheld: Resources::default(),
            base_withheld: Resources::default(),
            reclaimed: Resources::default(),
            reclaimed_until: MonoMs(0),
            open: false,
            tasks: Vec::new(),
            use_by_kind: Vec::new(),
            expected_slowdown: 0.0,
            observed_slowdown_permille: 0,
            last_slowdowns_permille: [0; 2],
            slowed: false,
            slowdown_hysteresis: Hysteresis::default(),
            last_slowdown_action: MonoMs(0),
            indexed_free_millicores: None,
        }
    }

    /// Resources available to tasks.
    pub(crate) fn free(&self) -> Resources {
        let taken = self.reserved.saturating_add(self.withheld);
        self.size.saturating_sub(taken)
    }

    /// `millicores` as a share of the server's processors.
    #[expect(clippy::cast_precision_loss, reason = "a ratio for estimates")]
    pub(crate) fn share(&self, millicores: u32) -> f32 {
        millicores as f32 / self.size.millicores.max(1) as f32
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded by the clamp"
    )]
    pub(crate) fn expected_slowdown_permille(&self) -> u32 {
        (1_000.0 + 1_000.0 * self.expected_slowdown.clamp(0.0, 20.0)) as u32
    }

    pub(crate) fn slowdown_permille(&self) -> u32 {
        let expected = self.expected_slowdown_permille();
        if self.observed_slowdown_permille == 0 {
            return expected;
        }
        expected.midpoint(self.observed_slowdown_permille)
    }

    pub(crate) fn add_task(&mut self, task: u32, kind: KindKey, size: Resources) {
        self.tasks.push(task);
        self.reserved = self.reserved.saturating_add(size);
        self.add_use(kind, size.millicores);
    }

    pub(crate) fn remove_task(&mut self, task: u32, kind: KindKey, reservation: &Reservation) {
        self.tasks.retain(|&one| one != task);
        self.reserved = self.reserved.saturating_sub(reservation.reserved);
        if let Some(at) = self.use_by_kind.iter().position(|one| one.0 == kind) {
            let left = self.use_by_kind[at]
                .1
                .saturating_sub(reservation.used.millicores);
            self.use_by_kind[at].1 = left;
            if left == 0 {
                self.use_by_kind.swap_remove(at);
            }
        }
    }

    pub(crate) fn add_use(&mut self, kind: KindKey, millicores: u32) {
        match self.use_by_kind.iter_mut().find(|one| one.0 == kind) {
            Some(found) => found.1 = found.1.saturating_add(millicores),
            None => self.use_by_kind.push((kind, millicores)),
        }
    }

    fn load_of(&self, kind: KindKey) -> f32 {
        let found = self.use_by_kind.iter().find(|one| one.0 == kind);
        found.map_or(0.0, |one| self.share(one.1))
    }

    /// Recomputes the expected slowdown of requests.
    pub(crate) fn update_expected_slowdown(&mut self, interference: &Interference) {
        let mut sum = 0.0;
        for &(kind, millicores) in &self.use_by_kind {
            let load: &Loads = &[(kind, self.share(millicores))];
            sum += interference.excess_slowdown(KindKey::REQUESTS, load);
        }
        self.expected_slowdown = sum;
    }
}

/// A server that gets no other task until the large task `task` fits on it.
#[derive(Clone, Copy)]
struct Drain {
    server: u32,
    task: TaskId,
    until: MonoMs,
}

/// Servers and pending tasks of one rack pool.
#[derive(Default)]
pub(crate) struct SchedulerPool {
    /// Indexes in `Scheduler::servers`.
    pub(crate) servers: Vec<u32>,
    pub(crate) normal: FairQueue<PendingTask>,
    pub(crate) urgent: FairQueue<PendingTask>,
    /// When tasks of `normal` become urgent.
    pub(crate) urgent_at: BTreeSet<(MonoMs, TaskId)>,
    /// Free millicores and index of each server.
    by_free_millicores: BTreeSet<(u32, u32)>,
    slowed_servers: usize,
    drain: Option<Drain>,
}

impl SchedulerPool {
    pub(crate) fn add_server(&mut self, servers: &mut [Server], at: u32) {
        self.servers.push(at);
        self.index_free(servers, at);
    }

    pub(crate) fn index_free(&mut self, servers: &mut [Server], at: u32) {
        let server = &mut servers[at as usize];
        let free = server.free().millicores;
        if server.indexed_free_millicores == Some(free) {
            return;
        }
        if let Some(old) = server.indexed_free_millicores.replace(free) {
            self.by_free_millicores.remove(&(old, at));
        }
        self.by_free_millicores.insert((free, at));
    }

    /// Whether one more server of the rack pool may be slowed.
    pub(crate) fn may_slow(&self, goals: &Goals) -> bool {
        self.slowed_servers < max_slowed_servers(self.servers.len(), goals)
    }

    /// Marks a server as slowed when its expected slowdown exceeds the limit and the rack pool may have one more slowed
    /// server. Clears the mark below half the limit.
    pub(crate) fn mark_slowed(&mut self, servers: &mut [Server], at: u32, goals: &Goals) {
        let may_slow = self.may_slow(goals);
        let server = &mut servers[at as usize];
        if server.slowed && server.expected_slowdown < goals.slowdown_limit / 2.0 {
            server.slowed = false;
            self.slowed_servers -= 1;
        } else if !server.slowed && server.expected_slowdown > goals.slowdown_limit && may_slow {
            server.slowed = true;
            self.slowed_servers += 1;
        }
    }

    pub(crate) fn start_drain(
        &mut self,
        servers: &[Server],
        task: TaskId,
        size: Resources,
        until: MonoMs,
    ) {
        if self.drain.is_some() {
            return;
        }
        let fitting_servers = self.servers.iter().filter(|&&at| {
            let server = &servers[at as usize];
            let usable = server.size.saturating_sub(server.withheld);
            server.open && size.fits_in(usable) && !size.fits_in(server.free())
        });
        let best = fitting_servers.max_by_key(|&&at| (servers[at as usize].free().millicores, at));
        self.drain = best.map(|&server| Drain {
            server,
            task,
            until,
        });
    }

    pub(crate) fn end_drain(&mut self, task: TaskId) {
        if self.drain.is_some_and(|drain| drain.task == task) {
            self.drain = None;
        }
    }

    pub(crate) fn expire_drain(&mut self, now: MonoMs) {
        if self.drain.is_some_and(|drain| drain.until <= now) {
            self.drain = None;
        }
    }

    /// One of the two queues, and the state needed to choose a server for the tasks at its head.
    pub(crate) fn queue_and_chooser<'a>(
        &'a mut self,
        urgent: bool,
        servers: &'a [Server],
        interference: &'a Interference,
    ) -> (&'a mut FairQueue<PendingTask>, ServerChooser<'a>) {
        let chooser = ServerChooser {
            servers,
            interference,
            pool_servers: &self.servers,
            by_free_millicores: &self.by_free_millicores,
            slowed_servers: self.slowed_servers,
            drain: self.drain,
        };
        let queue = if urgent {
            &mut self.urgent
        } else {
            &mut self.normal
        };
        (queue, chooser)
    }
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a count of servers times a share below 1"
)]
fn max_slowed_servers(servers: usize, goals: &Goals) -> usize {
    // At least one server, or an interfering task bound to a small rack pool would never run.
    ((servers as f32 * goals.slowed_share) as usize).max(1)
}

pub(crate) struct ServerChooser<'a> {
    servers: &'a [Server],
    interference: &'a Interference,
    pool_servers: &'a [u32],
    by_free_millicores: &'a BTreeSet<(u32, u32)>,
    slowed_servers: usize,
    drain: Option<Drain>,
}

impl ServerChooser<'_> {
    /// Index of the server with the least cost on which the task fits; the seeded hash breaks ties.
    pub(crate) fn best(
        &self,
        goals: &Goals,
        now: MonoMs,
        pending: &PendingTask,
        size: Resources,
        seed: u64,
    ) -> Option<u32> {
        let mut best: Option<(f32, u64, u32)> = None;
        // Keeps the server if it is the best so far; returns whether the task fits on it.
        let mut consider = |at: u32| {
            let Some(cost) = self.cost(goals, pending, size, at) else {
                return false;
            };
            let salt = seed ^ u64::from(at) ^ (now.0 << 20);
            let tie_break = stable_hash(&pending.task.job.0.to_le_bytes(), salt);
            let better = best.is_none_or(|(least, least_tie_break, _)| {
                cost.total_cmp(&least)
                    .then(tie_break.cmp(&least_tie_break))
                    .is_lt()
            });
            if better {
                best = Some((cost, tie_break, at));
            }
            true
        };
        if self.pool_servers.len() <= MAX_COMPARED {
            for &at in self.pool_servers {
                consider(at);
            }
        } else {
            let fitting = || self.by_free_millicores.range((size.millicores, 0)..);
            let emptiest = fitting().rev().take(MAX_SCANNED);
            let fullest = fitting().take(MAX_SCANNED);
            let found = emptiest
                .filter(|one| consider(one.1))
                .take(MAX_COMPARED / 2);
            // Counting drives the iterator.
            let _ = found.count();
            let found = fullest.filter(|one| consider(one.1)).take(MAX_COMPARED / 2);
            let _ = found.count();
        }
        best.map(|(_, _, at)| at)
    }

    /// Cost of a task on a server; `None` if it does not fit or would slow requests too much.
    fn cost(&self, goals: &Goals, pending: &PendingTask, size: Resources, at: u32) -> Option<f32> {
        let server = &self.servers[at as usize];
        if !server.open || !size.fits_in(server.free()) {
            return None;
        }
        if let Some(drain) = self.drain
            && drain.server == at
            && drain.task != pending.task
        {
            return None;
        }
        let kind = pending.kind;
        let added_load = server.share(size.millicores);
        let growth = self.interference.slowdown_growth(
            KindKey::REQUESTS,
            kind,
            server.load_of(kind),
            added_load,
        );
        let latency = self.latency_cost(goals, server, growth)?;
        let batch = self.batch_cost(server, kind, added_load);
        let allocation = server.share(server.reserved.millicores) * ALLOCATION_WEIGHT;
        Some(goals.latency_weight * latency + goals.throughput_weight * batch + allocation)
    }

    fn latency_cost(&self, goals: &Goals, server: &Server, growth: f32) -> Option<f32> {
        if server.slowed {
            return Some(AVOIDED_SERVER_WEIGHT * growth);
        }
        if server.expected_slowdown + growth <= goals.slowdown_limit {
            return Some(growth);
        }
        if growth < NEGLIGIBLE_SLOWDOWN {
            return Some(NEWLY_SLOWED_COST);
        }
        let may_slow = self.slowed_servers < max_slowed_servers(self.pool_servers.len(), goals);
        may_slow.then_some(NEWLY_SLOWED_COST + AVOIDED_SERVER_WEIGHT * growth)
    }

    /// Slowdown of the task itself plus the slowdown that it causes others, weighted by their size relative to its own.
    fn batch_cost(&self, server: &Server, kind: KindKey, added_load: f32) -> f32 {
        let mut sum = 0.0;
        for &(other, millicores) in &server.use_by_kind {
            let load = server.share(millicores);
            sum += self.interference.excess_slowdown(kind, &[(other, load)]);
            let growth =
                self.interference
                    .slowdown_growth(other, kind, server.load_of(kind), added_load);
            sum += growth * load / added_load.max(0.001);
        }
        sum
    }
}
