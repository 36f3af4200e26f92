//! Placement of batch tasks on backend servers.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use smol_str::SmolStr;

use crate::capacity::Resources;
use crate::eviction::History;
use crate::fairness::Accounts;
use crate::ids::{ServerKey, TaskId};
use crate::interference::Interference;
use crate::pending::SchedulingState;
use crate::queue::Class;
use crate::running::Task;
use crate::server_choice::{Goals, SchedulerPool, Server};
use crate::sizes::LearnedSizes;
use crate::time::{DurationMs, MonoMs};

/// Key of a rack pool: the backend servers of one rack in one shard. A pending task is bound to one rack pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RackPoolKey(pub u32);

/// Weights of the scheduler's goals, as set in the service documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Objective {
    /// Weight of the tail latency of requests.
    pub latency_permille: u32,
    /// Weight of batch throughput.
    pub throughput_permille: u32,
    /// Weight of the work lost to evictions.
    pub eviction_permille: u32,
}

/// A batch task as submitted to the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskRequest {
    pub task: TaskId,
    pub team: SmolStr,
    pub client: SmolStr,
    /// Kind of work.
    pub kind: SmolStr,
    /// Declared size.
    pub size: Resources,
    /// Declared run time.
    pub run_ms: u64,
    /// Time by which it should have ended, on the local monotonic clock.
    pub finish_by: Option<MonoMs>,
    pub rack_pool: RackPoolKey,
}

/// A task assigned to a server, on which its size is already reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    pub task: TaskId,
    pub server: ServerKey,
    pub reserved: Resources,
}

/// An action that reclaims resources for latency-critical requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReclaimAction {
    /// Set the processor limit of a task. A limit above the previous one lifts the throttling again.
    Throttle { task: TaskId, millicores: u32 },
    /// Checkpoint and stop a task, which then is pending again.
    Evict { task: TaskId },
}

/// What a lagging report states about one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskUsage {
    pub task: TaskId,
    /// Observed use.
    pub used: Resources,
    /// Observed slowdown; 1,000 means undisturbed.
    pub slowdown_permille: u32,
}

/// Heads of client queues that are tried in a rack pool before it counts as full.
const MAX_HEADS_TRIED: usize = 8;

/// Waiting time after which a server is drained for a task that fits on no server.
const DRAIN_AFTER_MS: u64 = 120_000;

/// Maximum time for which a server is drained for one task.
const MAX_DRAIN_MS: u64 = 300_000;

/// Places batch tasks on the servers of one shard.
pub struct Scheduler {
    pub(crate) goals: Goals,
    seed: u64,
    pub(crate) servers: Vec<Server>,
    by_key: BTreeMap<ServerKey, u32>,
    pub(crate) pools: Vec<SchedulerPool>,
    pool_indexes: BTreeMap<RackPoolKey, u32>,
    /// Rack pools in which a task may have become placeable.
    pub(crate) ready: BTreeSet<u32>,
    cursor: u32,
    pub(crate) tasks: Vec<Option<Task>>,
    pub(crate) vacant: Vec<u32>,
    pub(crate) states: BTreeMap<TaskId, SchedulingState>,
    pub(crate) sequence: u64,
    pub(crate) accounts: Accounts,
    pub(crate) interference: Interference,
    pub(crate) history: History,
    pub(crate) sizes: LearnedSizes,
    largest: Resources,
}

impl Scheduler {
    /// Creates a scheduler without servers; `seed` breaks ties.
    #[must_use]
    pub fn open(objective: Objective, seed: u64) -> Self {
        Self {
            goals: Goals::of(objective),
            seed,
            servers: Vec::new(),
            by_key: BTreeMap::new(),
            pools: Vec::new(),
            pool_indexes: BTreeMap::new(),
            ready: BTreeSet::new(),
            cursor: 0,
            tasks: Vec::new(),
            vacant: Vec::new(),
            states: BTreeMap::new(),
            sequence: 0,
            accounts: Accounts::open(seed),
            interference: Interference::default(),
            history: History::default(),
            sizes: LearnedSizes::default(),
            largest: Resources::default(),
        }
    }

    pub fn set_objective(&mut self, objective: Objective) {
        self.goals = Goals::of(objective);
    }

    /// Adds a server, or changes its size. A new server is closed.
    pub fn put_server(&mut self, key: ServerKey, pool: RackPoolKey, size: Resources) {
        if let Some(&at) = self.by_key.get(&key) {
            self.servers[at as usize].size = size;
            let pool = self.servers[at as usize].pool;
            self.pools[pool as usize].index_free(&mut self.servers, at);
            self.ready.insert(pool);
        } else {
            let at = index_u32(self.servers.len());
            let pool_at = self.pool_at(pool);
            self.servers.push(Server::closed(key, pool_at, size));
            self.by_key.insert(key, at);
            self.pools[pool_at as usize].add_server(&mut self.servers, at);
        }
        let sizes = self.servers.iter().map(|server| server.size);
        self.largest = sizes.clone().fold(Resources::default(), Resources::greater);
        let capacity = sizes.map(|size| u64::from(size.millicores)).sum();
        self.accounts.set_capacity(capacity);
    }

    /// Opens or closes a server for new tasks.
    pub fn set_open(&mut self, key: ServerKey, open: bool) {
        let Some(&at) = self.by_key.get(&key) else {
            return;
        };
        let server = &mut self.servers[at as usize];
        server.open = open;
        self.ready.insert(server.pool);
    }

    /// Sets the quota of a team, the weight of its share.
    pub fn set_quota(&mut self, team: &str, weight: u32) {
        self.accounts.set_quota(team, weight);
    }

    /// Whether some server could hold `size` when empty.
    #[must_use]
    pub fn can_ever_hold(&self, size: Resources) -> bool {
        self.servers.iter().any(|server| size.fits_in(server.size))
    }

    /// Whether some server of a rack pool could hold `size` when empty.
    #[must_use]
    pub fn can_ever_hold_in(&self, pool: RackPoolKey, size: Resources) -> bool {
        let Some(&pool) = self.pool_indexes.get(&pool) else {
            return false;
        };
        let servers = &self.pools[pool as usize].servers;
        let mut sizes = servers.iter().map(|&at| self.servers[at as usize].size);
        sizes.any(|limit| size.fits_in(limit))
    }

    /// Reserved resources and size of a server.
    #[must_use]
    pub fn reserved(&self, key: ServerKey) -> Option<(Resources, Resources)> {
        let server = &self.servers[*self.by_key.get(&key)? as usize];
        Some((server.reserved, server.size))
    }

    /// Estimated slowdown of requests on a server, for the choice of a server for requests.
    #[must_use]
    pub fn request_slowdown_permille(&self, key: ServerKey) -> u32 {
        let found = self.by_key.get(&key);
        found.map_or(1_000, |&at| self.servers[at as usize].slowdown_permille())
    }

    /// The part of [`Scheduler::request_slowdown_permille`] that is learned by kind, without the server's own reports.
    #[must_use]
    pub fn expected_request_slowdown_permille(&self, key: ServerKey) -> u32 {
        let found = self.by_key.get(&key);
        found.map_or(1_000, |&at| {
            self.servers[at as usize].expected_slowdown_permille()
        })
    }

    /// Places the next pending task, in fair order, that fits on an open server of its rack pool.
    pub fn next(&mut self, now: MonoMs) -> Option<Placement> {
        let released = self.sizes.release_expired(now);
        self.enqueue_all(now, released);
        while let Some(pool) = self.next_ready() {
            self.cursor = pool;
            if let Some(placement) = self.next_in(now, pool) {
                return Some(placement);
            }
            self.ready.remove(&pool);
        }
        None
    }

    fn next_ready(&self) -> Option<u32> {
        let later = (Bound::Excluded(self.cursor), Bound::Unbounded);
        let next = self.ready.range(later).next();
        next.or_else(|| self.ready.first()).copied()
    }

    fn next_in(&mut self, now: MonoMs, pool: u32) -> Option<Placement> {
        self.promote_urgent(now, pool);
        let found = &mut self.pools[pool as usize];
        found.expire_drain(now);
        let rounds = [
            (true, Class::WithinQuota),
            (false, Class::WithinQuota),
            (true, Class::Any),
            (false, Class::Any),
        ];
        for (urgent, class) in rounds {
            let (queue, chooser) =
                found.queue_and_chooser(urgent, &self.servers, &self.interference);
            if queue.is_empty() {
                continue;
            }
            let mut chosen = None;
            let mut starved = None;
            let taken = queue.take(&mut self.accounts, class, MAX_HEADS_TRIED, |pending| {
                let size = self
                    .sizes
                    .size(pending.task.job, pending.declared, self.largest);
                chosen = chooser.best(&self.goals, now, pending, size, self.seed);
                let aged = urgent || now.since(pending.submitted).0 >= DRAIN_AFTER_MS;
                if chosen.is_none() && aged && starved.is_none() {
                    starved = Some((pending.task, size));
                }
                chosen.is_some()
            });
            if let Some((task, size)) = starved {
                found.start_drain(&self.servers, task, size, now + DurationMs(MAX_DRAIN_MS));
            }
            let (Some((client, pending)), Some(server)) = (taken, chosen) else {
                continue;
            };
            found.end_drain(pending.task);
            if let Some(SchedulingState::Pending {
                urgent_at: Some(time),
                ..
            }) = self.states.get(&pending.task)
            {
                found.urgent_at.remove(&(*time, pending.task));
            }
            self.accounts.advance_virtual_time(client);
            self.sizes.started(now, pending.task.job, pending.kind);
            let size = self
                .sizes
                .size(pending.task.job, pending.declared, self.largest);
            return Some(self.start(now, &pending, client, server, size));
        }
        None
    }

    pub(crate) fn server_at(&self, key: ServerKey) -> Option<u32> {
        self.by_key.get(&key).copied()
    }

    pub(crate) fn running_at(&self, task: TaskId) -> Option<u32> {
        match self.states.get(&task) {
            Some(SchedulingState::Running(at)) => Some(*at),
            _ => None,
        }
    }

    pub(crate) fn mark_ready(&mut self, pool: u32) {
        self.ready.insert(pool);
    }

    pub(crate) fn pool_at(&mut self, key: RackPoolKey) -> u32 {
        let next = index_u32(self.pools.len());
        let at = *self.pool_indexes.entry(key).or_insert(next);
        if at == next {
            self.pools.push(SchedulerPool::default());
        }
        at
    }
}

pub(crate) fn index_u32(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
