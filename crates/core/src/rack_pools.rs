//! Rack pools: binding of tasks to the servers of one rack.

use std::collections::BTreeSet;

use crate::journal::{Bound, Entry, RackPoolRun, ServerEntry};
use crate::ownership::Role;
use crate::placement::RackPoolKey;
use crate::prelude::*;
use crate::servers::Journaled;
use crate::shard::Shard;
use crate::tasks::Phase;

/// Interval between two moves of pending tasks to rack pools with free capacity.
const REBIND_INTERVAL_MS: u64 = 1_000;

/// Upper bound of tasks moved at a time. Each move is a record of about 20 bytes, so 512 moves add 10 KB to the tail.
const MAX_REBOUND_TASKS: usize = 512;

/// The servers of one rack in one shard and the tasks bound to them.
#[derive(Clone, Debug)]
pub struct RackPool {
    /// Every server of the rack pool has answered this owner, or its leases have expired.
    pub resolved: bool,
    /// Tasks that may be running on a server that has not answered.
    pub held: Vec<TaskId>,
    /// Tasks submitted to the scheduler.
    pub pending: BTreeSet<TaskId>,
    /// Declared size of all tasks that are not final.
    pub demand_millicores: u64,
    /// Size of all servers that accept tasks.
    pub capacity_millicores: u64,
    /// Distinct sizes of the servers.
    pub sizes: Vec<Resources>,
}

impl Default for RackPool {
    fn default() -> Self {
        Self {
            resolved: true,
            held: Vec::new(),
            pending: BTreeSet::new(),
            demand_millicores: 0,
            capacity_millicores: 0,
            sizes: Vec::new(),
        }
    }
}

impl RackPool {
    fn can_hold(&self, size: Resources) -> bool {
        self.sizes.iter().any(|limit| size.fits_in(*limit))
    }

    fn free_millicores(&self) -> u64 {
        self.capacity_millicores
            .saturating_sub(self.demand_millicores)
    }
}

impl Shard {
    /// Records a server in the journal, which has to precede any start of a task on it.
    pub(crate) fn journal_server(&mut self, key: ServerKey) {
        let Some(server) = self.fleet.get(key) else {
            return;
        };
        if server.journaled != Journaled::No || server.is_gone() || server.is_leaving() {
            return;
        }
        let (name, rack, size) = (server.name.clone(), server.rack.clone(), server.size);
        let pool = self.rack_pool_of(&rack);
        self.durable.racks.insert(pool, rack.clone());
        if let Some(server) = self.fleet.get_mut(key) {
            server.journaled = Journaled::Committing;
            server.rack_pool = pool;
        }
        self.append(Entry::ServerAdded(ServerEntry {
            name: name.to_string(),
            rack: rack.to_string(),
            rack_pool: pool.0,
            millicores: size.millicores,
            memory_mib: size.memory_mib,
            accelerators: size.accelerators,
        }));
    }

    fn rack_pool_of(&self, rack: &str) -> RackPoolKey {
        let racks = &self.durable.racks;
        let known = racks.iter().find(|(_, name)| *name == rack);
        if let Some((pool, _)) = known {
            return *pool;
        }
        let last = racks.last_key_value();
        RackPoolKey(last.map_or(0, |(pool, _)| pool.0 + 1))
    }

    /// Adds a journaled server to the scheduler.
    pub(crate) fn register_server(&mut self, key: ServerKey) {
        let Some(server) = self.fleet.get(key) else {
            return;
        };
        let withheld = server.withheld;
        self.scheduler
            .put_server(key, server.rack_pool, server.size);
        self.scheduler.set_withheld(key, withheld);
        self.update_pool_capacity();
    }

    /// Recomputes the capacity of all rack pools, which is rarely needed, as servers are seldom added or removed.
    pub(crate) fn update_pool_capacity(&mut self) {
        for pool in self.rack_pools.values_mut() {
            pool.capacity_millicores = 0;
            pool.sizes.clear();
        }
        for (_, server) in self.fleet.iter() {
            if server.journaled != Journaled::Yes || server.is_leaving() {
                continue;
            }
            let pool = self.rack_pools.entry(server.rack_pool).or_default();
            pool.capacity_millicores += u64::from(server.size.millicores);
            if !pool.sizes.contains(&server.size) {
                pool.sizes.push(server.size);
            }
        }
    }

    /// Distributes the tasks of a job over rack pools: first into free capacity, then in equal shares.
    pub(crate) fn choose_rack_pools(&self, spec: &JobSpec) -> Vec<RackPoolRun> {
        let pools = self
            .rack_pools
            .iter()
            .filter(|(_, pool)| pool.can_hold(spec.size));
        let mut free: Vec<_> = pools
            .map(|(key, pool)| (pool.free_millicores(), *key))
            .collect();
        free.sort_by_key(|&(free, key)| (std::cmp::Reverse(free), key));
        let mut runs = Vec::new();
        let mut left = spec.tasks;
        for &(free, key) in &free {
            let fitting = free / u64::from(spec.size.millicores.max(1));
            let tasks = left.min(u32::try_from(fitting).unwrap_or(u32::MAX));
            push_pool_run(&mut runs, key, tasks);
            left -= tasks;
        }
        let mut pools_left = u32::try_from(free.len()).unwrap_or(u32::MAX);
        for &(_, key) in &free {
            let tasks = left.div_ceil(pools_left.max(1));
            push_pool_run(&mut runs, key, tasks);
            left -= tasks;
            pools_left -= 1;
        }
        runs
    }

    /// Moves pending tasks from rack pools without free capacity to rack pools with free capacity and no pending task.
    pub(crate) fn rebind_pending(&mut self) {
        if self.now < self.owner_state.last_rebind + DurationMs(REBIND_INTERVAL_MS)
            || self.budget.is_down()
        {
            return;
        }
        self.owner_state.last_rebind = self.now;
        let targets: Vec<RackPoolKey> = self.pools_with_capacity();
        let mut moved = 0;
        for target in targets {
            for source in self.stuck_pools(target) {
                if moved >= MAX_REBOUND_TASKS {
                    return;
                }
                moved += self.rebind_tasks(source, target, MAX_REBOUND_TASKS - moved);
            }
        }
    }

    fn pools_with_capacity(&self) -> Vec<RackPoolKey> {
        let pools = self.rack_pools.iter().filter(|(_, pool)| {
            pool.resolved && pool.pending.is_empty() && pool.free_millicores() > 0
        });
        let open = pools.filter(|(key, _)| self.has_open_server(**key));
        open.map(|(key, _)| *key).collect()
    }

    fn has_open_server(&self, pool: RackPoolKey) -> bool {
        let mut servers = self.fleet.iter();
        servers.any(|(_, server)| server.rack_pool == pool && server.open)
    }

    /// Rack pools with pending tasks that cannot start there. Tasks that wait for their team's quota are not moved.
    fn stuck_pools(&self, target: RackPoolKey) -> Vec<RackPoolKey> {
        let pools = self.rack_pools.iter();
        let waiting = pools.filter(|(key, pool)| {
            let is_stuck = pool.free_millicores() == 0 || !self.has_open_server(**key);
            **key != target && !pool.pending.is_empty() && is_stuck
        });
        waiting.map(|(key, _)| *key).collect()
    }

    fn rebind_tasks(
        &mut self,
        source: RackPoolKey,
        target: RackPoolKey,
        max_tasks: usize,
    ) -> usize {
        let Some(pool) = self.rack_pools.get(&source) else {
            return 0;
        };
        let candidates: Vec<TaskId> = pool.pending.iter().rev().take(max_tasks).copied().collect();
        let mut moved = 0;
        for id in candidates {
            let Some(size) = self.task_size(id) else {
                continue;
            };
            let Some(pool) = self.rack_pools.get_mut(&target) else {
                return moved;
            };
            let demand = u64::from(size.millicores);
            if !pool.can_hold(size) || pool.free_millicores() < demand {
                continue;
            }
            pool.demand_millicores += demand;
            if let Some(source) = self.rack_pools.get_mut(&source) {
                source.pending.remove(&id);
                source.demand_millicores = source.demand_millicores.saturating_sub(demand);
            }
            self.scheduler.remove(self.now, id);
            if let Some(task) = self.durable.task_mut(id) {
                task.phase = Phase::Held;
            }
            self.append(Entry::Bound(Bound {
                task: id.into(),
                rack_pool: target.0,
            }));
            moved += 1;
        }
        moved
    }

    pub(crate) fn task_size(&self, id: TaskId) -> Option<Resources> {
        let job = self.durable.jobs.get(&id.job)?;
        Some(job.spec.size)
    }

    /// Subtracts a task that will not run any more from the demand of its rack pool.
    pub(crate) fn leave_rack_pool(&mut self, id: TaskId) {
        let Some(size) = self.task_size(id) else {
            return;
        };
        let Some(key) = self.durable.task(id).map(|task| task.rack_pool) else {
            return;
        };
        if let Some(pool) = self.rack_pools.get_mut(&key) {
            let demand = u64::from(size.millicores);
            pool.demand_millicores = pool.demand_millicores.saturating_sub(demand);
            pool.pending.remove(&id);
        }
    }

    /// Handles the commit of a server's record, after which tasks may be placed on the server.
    pub(crate) fn server_journaled(&mut self, name: &str) {
        let Some(key) = self.fleet.key(name) else {
            return;
        };
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        if server.is_gone() {
            let name = server.name.to_string();
            self.append(Entry::ServerGone(name));
            return;
        }
        server.journaled = Journaled::Yes;
        self.register_server(key);
        self.unpark_fitting();
        if self.role == Role::Owner {
            self.request_report(key);
            self.update_open(key);
        }
    }
}

fn push_pool_run(runs: &mut Vec<RackPoolRun>, pool: RackPoolKey, tasks: u32) {
    if tasks == 0 {
        return;
    }
    runs.push(RackPoolRun {
        rack_pool: pool.0,
        tasks,
    });
}
