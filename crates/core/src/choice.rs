//! Servers grouped by cell, and the choice among the servers of a cell.

use std::collections::BTreeSet;

use crate::capacity::{Reservation, Resources};
use crate::eviction::Hysteresis;
use crate::ids::{ServerKey, TaskId, stable_hash};
use crate::interference::{Interference, KindKey, Loads};
use crate::placement::Objective;
use crate::queue::FairQueue;
use crate::time::MonoMs;

/// Up to this many servers of a cell are all compared; of a larger cell, the fullest and the emptiest that fit.
const COMPARED: usize = 16;

/// Servers looked at in each direction of the index of a large cell before it counts as full.
const LOOKED_AT: usize = 64;

/// A task that adds less than this to the slowdown of requests may go to a server beyond the limit.
const HARMLESS: f32 = 0.01;

/// Share of a latency cost that counts on a server which requests avoid anyway.
const AVOIDED_SHARE: f32 = 0.1;

/// Cost of making one more server a slowed one.
const SLOWED_COST: f32 = 0.5;

/// Weight of the filled share of a server, which decides between servers without interference.
const FILL_WEIGHT: f32 = 0.05;

/// The objective in the form in which decisions use it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Goals {
    /// Slowdown of requests beyond 1 that a server may have without counting as slowed.
    pub(crate) limit: f32,
    /// Share of the servers of a cell that may be slowed.
    pub(crate) slowed_share: f32,
    pub(crate) latency: f32,
    pub(crate) throughput: f32,
    pub(crate) eviction: f32,
}

impl Goals {
    #[expect(clippy::cast_precision_loss, reason = "weights are far below 2^24")]
    pub(crate) fn of(objective: Objective) -> Self {
        let latency = objective.latency_permille as f32;
        let throughput = objective.throughput_permille as f32;
        let eviction = objective.eviction_permille as f32;
        let sum = (latency + throughput).max(1.0);
        let batch_first = throughput / sum;
        let limit = if objective.latency_permille == 0 {
            f32::INFINITY
        } else {
            0.02 + 0.4 * batch_first
        };
        Self {
            limit,
            slowed_share: 0.25 + 0.5 * batch_first,
            latency: latency / 1_000.0,
            throughput: throughput / 1_000.0,
            eviction: eviction / 1_000.0,
        }
    }
}

/// A pending task.
pub(crate) struct Waiting {
    pub(crate) task: TaskId,
    pub(crate) kind: KindKey,
    pub(crate) declared: Resources,
    pub(crate) run_ms: u64,
    pub(crate) finish_by: Option<MonoMs>,
    pub(crate) submitted: MonoMs,
}

/// A backend server.
pub(crate) struct Server {
    pub(crate) key: ServerKey,
    pub(crate) pool: u32,
    pub(crate) size: Resources,
    pub(crate) reserved: Resources,
    /// Room kept free for requests: the greater of the standing amount and what they asked for lately.
    pub(crate) withheld: Resources,
    /// Room kept free until it is set again.
    pub(crate) standing: Resources,
    /// Room that requests asked for, and until when it is kept free.
    pub(crate) pressed: Resources,
    pub(crate) pressed_until: MonoMs,
    pub(crate) open: bool,
    pub(crate) tasks: Vec<u32>,
    /// Used millicores by kind.
    pub(crate) use_by_kind: Vec<(KindKey, u32)>,
    /// Expected slowdown of requests beyond 1.
    pub(crate) expected: f32,
    /// Smoothed reported slowdown of requests in thousandths; 0 before the first report.
    pub(crate) seen_permille: u32,
    /// The two reports before the next one.
    pub(crate) last_permille: [u32; 2],
    /// Requests are slowed beyond the limit here, and are expected to go elsewhere.
    pub(crate) slowed: bool,
    pub(crate) pressure: Hysteresis,
    /// Last measure against slowed requests.
    pub(crate) acted: MonoMs,
    indexed_free: Option<u32>,
}

impl Server {
    pub(crate) fn closed(key: ServerKey, pool: u32, size: Resources) -> Self {
        Self {
            key,
            pool,
            size,
            reserved: Resources::default(),
            withheld: Resources::default(),
            standing: Resources::default(),
            pressed: Resources::default(),
            pressed_until: MonoMs(0),
            open: false,
            tasks: Vec::new(),
            use_by_kind: Vec::new(),
            expected: 0.0,
            seen_permille: 0,
            last_permille: [0; 2],
            slowed: false,
            pressure: Hysteresis::default(),
            acted: MonoMs(0),
            indexed_free: None,
        }
    }

    /// Room for tasks.
    pub(crate) fn free(&self) -> Resources {
        let taken = self.reserved.saturating_add(self.withheld);
        self.size.saturating_sub(taken)
    }

    /// Share of the processors that `millicores` are.
    #[expect(clippy::cast_precision_loss, reason = "a ratio for estimates")]
    pub(crate) fn share(&self, millicores: u32) -> f32 {
        millicores as f32 / self.size.millicores.max(1) as f32
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded by the clamp"
    )]
    pub(crate) fn expected_permille(&self) -> u32 {
        (1_000.0 + 1_000.0 * self.expected.clamp(0.0, 20.0)) as u32
    }

    pub(crate) fn slowdown_permille(&self) -> u32 {
        let expected = self.expected_permille();
        if self.seen_permille == 0 {
            return expected;
        }
        expected.midpoint(self.seen_permille)
    }

    pub(crate) fn add(&mut self, task: u32, kind: KindKey, size: Resources) {
        self.tasks.push(task);
        self.reserved = self.reserved.saturating_add(size);
        self.add_use(kind, size.millicores);
    }

    pub(crate) fn take_off(&mut self, task: u32, kind: KindKey, held: &Reservation) {
        self.tasks.retain(|&one| one != task);
        self.reserved = self.reserved.saturating_sub(held.reserved);
        if let Some(at) = self.use_by_kind.iter().position(|one| one.0 == kind) {
            let left = self.use_by_kind[at].1.saturating_sub(held.used.millicores);
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

    /// Brings the expected slowdown of requests up to date.
    pub(crate) fn predict(&mut self, interference: &Interference) {
        let mut sum = 0.0;
        for &(kind, millicores) in &self.use_by_kind {
            let load: &Loads = &[(kind, self.share(millicores))];
            sum += interference.excess(KindKey::REQUESTS, load);
        }
        self.expected = sum;
    }
}

/// A server that is emptied for a task which found no room.
#[derive(Clone, Copy)]
struct Drain {
    server: u32,
    task: TaskId,
    until: MonoMs,
}

/// The servers of one rack in one shard, and the tasks bound to them.
#[derive(Default)]
pub(crate) struct SchedulerPool {
    pub(crate) servers: Vec<u32>,
    pub(crate) normal: FairQueue<Waiting>,
    pub(crate) urgent: FairQueue<Waiting>,
    /// When tasks of `normal` become urgent.
    pub(crate) urgent_at: BTreeSet<(MonoMs, TaskId)>,
    /// Servers by free millicores.
    by_free: BTreeSet<(u32, u32)>,
    slowed: usize,
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
        if server.indexed_free == Some(free) {
            return;
        }
        if let Some(old) = server.indexed_free.replace(free) {
            self.by_free.remove(&(old, at));
        }
        self.by_free.insert((free, at));
    }

    /// Whether one more server of the cell may be slowed.
    pub(crate) fn may_slow(&self, goals: &Goals) -> bool {
        self.slowed < slowed_limit(self.servers.len(), goals)
    }

    /// Marks a server as slowed when its expected slowdown exceeds the limit and the cell has room for that, and takes
    /// the mark back at half the limit.
    pub(crate) fn mark_slowed(&mut self, servers: &mut [Server], at: u32, goals: &Goals) {
        let may_slow = self.may_slow(goals);
        let server = &mut servers[at as usize];
        if server.slowed && server.expected < goals.limit / 2.0 {
            server.slowed = false;
            self.slowed -= 1;
        } else if !server.slowed && server.expected > goals.limit && may_slow {
            server.slowed = true;
            self.slowed += 1;
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
        let able = self.servers.iter().filter(|&&at| {
            let server = &servers[at as usize];
            let room = server.size.saturating_sub(server.withheld);
            server.open && size.fits_in(room) && !size.fits_in(server.free())
        });
        let best = able.max_by_key(|&&at| (servers[at as usize].free().millicores, at));
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

    /// One of the queues, and what is needed to choose a server for its heads.
    pub(crate) fn split<'a>(
        &'a mut self,
        urgent: bool,
        servers: &'a [Server],
        interference: &'a Interference,
    ) -> (&'a mut FairQueue<Waiting>, Chooser<'a>) {
        let chooser = Chooser {
            servers,
            interference,
            pool_servers: &self.servers,
            by_free: &self.by_free,
            slowed: self.slowed,
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
fn slowed_limit(servers: usize, goals: &Goals) -> usize {
    // At least one server, or a noisy task bound to a small cell would never run.
    ((servers as f32 * goals.slowed_share) as usize).max(1)
}

/// Chooses among the servers of a cell.
pub(crate) struct Chooser<'a> {
    servers: &'a [Server],
    interference: &'a Interference,
    pool_servers: &'a [u32],
    by_free: &'a BTreeSet<(u32, u32)>,
    slowed: usize,
    drain: Option<Drain>,
}

impl Chooser<'_> {
    /// The server with the least cost that has room; the seeded hash breaks ties.
    pub(crate) fn best(
        &self,
        goals: &Goals,
        now: MonoMs,
        waiting: &Waiting,
        size: Resources,
        seed: u64,
    ) -> Option<u32> {
        let mut best: Option<(f32, u64, u32)> = None;
        let mut compare = |at: u32| {
            let Some(cost) = self.cost(goals, waiting, size, at) else {
                return false;
            };
            let salt = seed ^ u64::from(at) ^ (now.0 << 20);
            let tie = stable_hash(&waiting.task.job.0.to_le_bytes(), salt);
            let better = best.is_none_or(|(least, least_tie, _)| {
                cost.total_cmp(&least).then(tie.cmp(&least_tie)).is_lt()
            });
            if better {
                best = Some((cost, tie, at));
            }
            true
        };
        if self.pool_servers.len() <= COMPARED {
            for &at in self.pool_servers {
                compare(at);
            }
        } else {
            let fitting = || self.by_free.range((size.millicores, 0)..);
            let emptiest = fitting().rev().take(LOOKED_AT);
            let fullest = fitting().take(LOOKED_AT);
            let found = emptiest.filter(|one| compare(one.1)).take(COMPARED / 2);
            let _ = found.count();
            let found = fullest.filter(|one| compare(one.1)).take(COMPARED / 2);
            let _ = found.count();
        }
        best.map(|(_, _, at)| at)
    }

    /// Cost of a task on a server; none if it has no room or requests would suffer too much.
    fn cost(&self, goals: &Goals, waiting: &Waiting, size: Resources, at: u32) -> Option<f32> {
        let server = &self.servers[at as usize];
        if !server.open || !size.fits_in(server.free()) {
            return None;
        }
        if let Some(drain) = self.drain
            && drain.server == at
            && drain.task != waiting.task
        {
            return None;
        }
        let kind = waiting.kind;
        let more = server.share(size.millicores);
        let growth = self
            .interference
            .growth(KindKey::REQUESTS, kind, server.load_of(kind), more);
        let latency = self.latency_cost(goals, server, growth)?;
        let batch = self.batch_cost(server, kind, more);
        let fill = server.share(server.reserved.millicores) * FILL_WEIGHT;
        Some(goals.latency * latency + goals.throughput * batch + fill)
    }

    fn latency_cost(&self, goals: &Goals, server: &Server, growth: f32) -> Option<f32> {
        if server.slowed {
            return Some(AVOIDED_SHARE * growth);
        }
        if server.expected + growth <= goals.limit {
            return Some(growth);
        }
        if growth < HARMLESS {
            return Some(SLOWED_COST);
        }
        let room = self.slowed < slowed_limit(self.pool_servers.len(), goals);
        room.then_some(SLOWED_COST + AVOIDED_SHARE * growth)
    }

    /// Slowdown of the task itself plus what it adds to the others, weighted by their size relative to its own.
    fn batch_cost(&self, server: &Server, kind: KindKey, more: f32) -> f32 {
        let mut sum = 0.0;
        for &(other, millicores) in &server.use_by_kind {
            let load = server.share(millicores);
            sum += self.interference.excess(kind, &[(other, load)]);
            let growth = self
                .interference
                .growth(other, kind, server.load_of(kind), more);
            sum += growth * load / more.max(0.001);
        }
        sum
    }
}
