//! Choice of the backend server that runs a batch task.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use smol_str::SmolStr;

use crate::capacity::Resources;
use crate::choice::{Goals, SchedulerPool, Server};
use crate::eviction::History;
use crate::fairness::Accounts;
use crate::ids::{ServerKey, TaskId};
use crate::interference::Interference;
use crate::pending::SchedulingState;
use crate::queue::Class;
use crate::running::Task;
use crate::sizes::LearnedSizes;
use crate::time::{DurationMs, MonoMs};

/// The backend servers of one rack in one shard; a pending task is bound to one cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RackPoolKey(pub u32);

/// How the scheduler weighs its goals; set in the service documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Objective {
    /// Weight of the tail latency of requests, in thousandths.
    pub latency_permille: u32,
    /// Weight of batch throughput, in thousandths.
    pub throughput_permille: u32,
    /// Weight of work lost to evictions, in thousandths.
    pub eviction_permille: u32,
}

/// What the scheduler needs to know of a batch task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskRequest {
    /// The task.
    pub task: TaskId,
    /// Team that owns it.
    pub team: SmolStr,
    /// Client that submitted it.
    pub client: SmolStr,
    /// Kind of work.
    pub kind: SmolStr,
    /// Declared size.
    pub size: Resources,
    /// Declared run time in milliseconds.
    pub run_ms: u64,
    /// Time by which it should have ended, on the local monotonic clock.
    pub finish_by: Option<MonoMs>,
    /// Cell that it is bound to.
    pub rack_pool: RackPoolKey,
}

/// A task and the server that it goes to; its size is reserved there already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The task.
    pub task: TaskId,
    /// The server.
    pub server: ServerKey,
    /// What is reserved.
    pub reserved: Resources,
}

/// A measure that gives room back to latency-critical requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReclaimAction {
    /// Limit the processor time of a task; a higher limit than before raises it again.
    Throttle {
        /// The task.
        task: TaskId,
        /// The limit, in thousandths of a core.
        millicores: u32,
    },
    /// Checkpoint and stop a task, which is then pending again.
    Evict {
        /// The task.
        task: TaskId,
    },
}

/// What a lagging report says of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskUsage {
    /// The task.
    pub task: TaskId,
    /// Observed use.
    pub used: Resources,
    /// Observed slowdown in thousandths: 1,000 means undisturbed.
    pub slowdown_permille: u32,
}

/// Heads of clients that are tried in a cell before it counts as full.
const MAX_HEADS_TRIED: usize = 8;

/// Waiting time after which a task that no server has room for gets a server drained for it.
const DRAIN_AFTER_MS: u64 = 120_000;

/// Longest time for which a server is drained for one task.
const MAX_DRAIN_MS: u64 = 300_000;

/// Places batch tasks on the servers of one shard.
pub struct Scheduler {
    pub(crate) goals: Goals,
    seed: u64,
    pub(crate) servers: Vec<Server>,
    by_key: BTreeMap<ServerKey, u32>,
    pub(crate) pools: Vec<SchedulerPool>,
    pool_indexes: BTreeMap<RackPoolKey, u32>,
    /// Cells in which something may have become possible.
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
    /// Opens a scheduler without servers; `seed` breaks ties.
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

    /// Changes the weights of the goals.
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

    /// Whether some server of a cell could hold `size` when empty.
    #[must_use]
    pub fn can_ever_hold_in(&self, pool: RackPoolKey, size: Resources) -> bool {
        let Some(&pool) = self.pool_indexes.get(&pool) else {
            return false;
        };
        let servers = &self.pools[pool as usize].servers;
        let mut sizes = servers.iter().map(|&at| self.servers[at as usize].size);
        sizes.any(|limit| size.fits_in(limit))
    }

    /// What is reserved on a server, and its size.
    #[must_use]
    pub fn reserved(&self, key: ServerKey) -> Option<(Resources, Resources)> {
        let server = &self.servers[*self.by_key.get(&key)? as usize];
        Some((server.reserved, server.size))
    }

    /// Expected slowdown of requests on a server in thousandths, for the choice of a server for requests.
    #[must_use]
    pub fn request_slowdown_permille(&self, key: ServerKey) -> u32 {
        let found = self.by_key.get(&key);
        found.map_or(1_000, |&at| self.servers[at as usize].slowdown_permille())
    }

    /// The part of [`Scheduler::request_slowdown_permille`] that is learned by kind, without the server's own reports.
    #[must_use]
    pub fn expected_request_slowdown_permille(&self, key: ServerKey) -> u32 {
        let found = self.by_key.get(&key);
        found.map_or(1_000, |&at| self.servers[at as usize].expected_permille())
    }

    /// Takes the next pending task in fair order that some open server of its cell can hold.
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
