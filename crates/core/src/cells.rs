//! Cells: which rack's servers a task is bound to.

use std::collections::BTreeSet;

use crate::journal::{Bound, Entry, RackPoolRun, ServerEntry};
use crate::ownership::Role;
use crate::placement::CellKey;
use crate::prelude::*;
use crate::servers::Journaled;
use crate::shard::Shard;
use crate::tasks::Phase;

/// Time between two moves of pending tasks to cells with room, in milliseconds.
const REBIND_MS: u64 = 1_000;

/// Most tasks moved at a time. Each move is a record of about 20 bytes, so a move of 512 adds 10 KB to the tail.
const REBIND_MAX: usize = 512;

/// The servers of one rack and the tasks bound to them.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Whether every server has answered this owner or its leases have lapsed.
    pub resolved: bool,
    /// Tasks that may be running on a server that has not answered.
    pub held: Vec<TaskId>,
    /// Tasks at the scheduler.
    pub pending: BTreeSet<TaskId>,
    /// Declared size of all tasks that are not final.
    pub demand_millicores: u64,
    /// Size of all servers that take tasks.
    pub capacity_millicores: u64,
    /// Sizes of the servers, without duplicates.
    pub sizes: Vec<Resources>,
}

impl Default for Cell {
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

impl Cell {
    fn can_hold(&self, size: Resources) -> bool {
        self.sizes.iter().any(|limit| size.fits_in(*limit))
    }

    fn free_millicores(&self) -> u64 {
        self.capacity_millicores
            .saturating_sub(self.demand_millicores)
    }
}

impl Shard {
    /// Records a server in the journal before anything is started on it.
    pub(crate) fn journal_server(&mut self, key: ServerKey) {
        let Some(server) = self.fleet.get(key) else {
            return;
        };
        if server.journaled != Journaled::No || server.is_gone() || server.is_leaving() {
            return;
        }
        let (name, rack, size) = (server.name.clone(), server.rack.clone(), server.size);
        let cell = self.cell_of(&rack);
        self.durable.racks.insert(cell, rack.clone());
        if let Some(server) = self.fleet.get_mut(key) {
            server.journaled = Journaled::Committing;
            server.rack_pool = cell;
        }
        self.append(Entry::ServerAdded(ServerEntry {
            name: name.to_string(),
            rack: rack.to_string(),
            rack_pool: cell.0,
            millicores: size.millicores,
            memory_mib: size.memory_mib,
            accelerators: size.accelerators,
        }));
    }

    fn cell_of(&self, rack: &str) -> CellKey {
        let racks = &self.durable.racks;
        let known = racks.iter().find(|(_, name)| *name == rack);
        if let Some((cell, _)) = known {
            return *cell;
        }
        let last = racks.last_key_value();
        CellKey(last.map_or(0, |(cell, _)| cell.0 + 1))
    }

    /// Makes a journaled server known to the scheduler.
    pub(crate) fn register_server(&mut self, key: ServerKey) {
        let Some(server) = self.fleet.get(key) else {
            return;
        };
        let withheld = server.withheld;
        self.scheduler
            .put_server(key, server.rack_pool, server.size);
        self.scheduler.set_withheld(key, withheld);
        self.cell_sizes_changed();
    }

    /// Recomputes the capacity of the cells; servers come and go rarely.
    pub(crate) fn cell_sizes_changed(&mut self) {
        for cell in self.rack_pools.values_mut() {
            cell.capacity_millicores = 0;
            cell.sizes.clear();
        }
        for (_, server) in self.fleet.iter() {
            if server.journaled != Journaled::Yes || server.is_leaving() {
                continue;
            }
            let cell = self.rack_pools.entry(server.rack_pool).or_default();
            cell.capacity_millicores += u64::from(server.size.millicores);
            if !cell.sizes.contains(&server.size) {
                cell.sizes.push(server.size);
            }
        }
    }

    /// Cells for the tasks of a job: free room first, then equal shares.
    pub(crate) fn choose_cells(&self, spec: &JobSpec) -> Vec<RackPoolRun> {
        let cells = self
            .rack_pools
            .iter()
            .filter(|(_, cell)| cell.can_hold(spec.size));
        let mut free: Vec<_> = cells
            .map(|(key, cell)| (cell.free_millicores(), *key))
            .collect();
        free.sort_by_key(|&(free, key)| (std::cmp::Reverse(free), key));
        let mut runs = Vec::new();
        let mut left = spec.tasks;
        for &(free, key) in &free {
            let fitting = free / u64::from(spec.size.millicores.max(1));
            let tasks = left.min(u32::try_from(fitting).unwrap_or(u32::MAX));
            push_run(&mut runs, key, tasks);
            left -= tasks;
        }
        let mut cells_left = u32::try_from(free.len()).unwrap_or(u32::MAX);
        for &(_, key) in &free {
            let tasks = left.div_ceil(cells_left.max(1));
            push_run(&mut runs, key, tasks);
            left -= tasks;
            cells_left -= 1;
        }
        runs
    }

    /// Moves pending tasks from cells without room to cells that have room and no pending task.
    pub(crate) fn rebind(&mut self) {
        if self.now < self.owner_state.last_rebind + DurationMs(REBIND_MS) || self.budget.is_down()
        {
            return;
        }
        self.owner_state.last_rebind = self.now;
        let targets: Vec<CellKey> = self.roomy_cells();
        let mut moved = 0;
        for target in targets {
            for source in self.waiting_cells(target) {
                if moved >= REBIND_MAX {
                    return;
                }
                moved += self.move_tasks(source, target, REBIND_MAX - moved);
            }
        }
    }

    fn roomy_cells(&self) -> Vec<CellKey> {
        let cells = self.rack_pools.iter().filter(|(_, cell)| {
            cell.resolved && cell.pending.is_empty() && cell.free_millicores() > 0
        });
        let open = cells.filter(|(key, _)| self.has_open_server(**key));
        open.map(|(key, _)| *key).collect()
    }

    fn has_open_server(&self, cell: CellKey) -> bool {
        let mut servers = self.fleet.iter();
        servers.any(|(_, server)| server.rack_pool == cell && server.open)
    }

    /// Cells with pending tasks that cannot start there. Tasks that wait for their team's quota stay where they are.
    fn waiting_cells(&self, target: CellKey) -> Vec<CellKey> {
        let cells = self.rack_pools.iter();
        let waiting = cells.filter(|(key, cell)| {
            let is_stuck = cell.free_millicores() == 0 || !self.has_open_server(**key);
            **key != target && !cell.pending.is_empty() && is_stuck
        });
        waiting.map(|(key, _)| *key).collect()
    }

    fn move_tasks(&mut self, source: CellKey, target: CellKey, most: usize) -> usize {
        let Some(cell) = self.rack_pools.get(&source) else {
            return 0;
        };
        let candidates: Vec<TaskId> = cell.pending.iter().rev().take(most).copied().collect();
        let mut moved = 0;
        for id in candidates {
            let Some(size) = self.size_of(id) else {
                continue;
            };
            let Some(cell) = self.rack_pools.get_mut(&target) else {
                return moved;
            };
            let demand = u64::from(size.millicores);
            if !cell.can_hold(size) || cell.free_millicores() < demand {
                continue;
            }
            cell.demand_millicores += demand;
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

    pub(crate) fn size_of(&self, id: TaskId) -> Option<Resources> {
        let job = self.durable.jobs.get(&id.job)?;
        Some(job.spec.size)
    }

    /// Takes a task that will not run any more out of its cell's demand.
    pub(crate) fn leave_cell(&mut self, id: TaskId) {
        let Some(size) = self.size_of(id) else {
            return;
        };
        let Some(key) = self.durable.task(id).map(|task| task.rack_pool) else {
            return;
        };
        if let Some(cell) = self.rack_pools.get_mut(&key) {
            let demand = u64::from(size.millicores);
            cell.demand_millicores = cell.demand_millicores.saturating_sub(demand);
            cell.pending.remove(&id);
        }
    }

    /// A server's record is committed: tasks may be placed on it.
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

fn push_run(runs: &mut Vec<RackPoolRun>, cell: CellKey, tasks: u32) {
    if tasks == 0 {
        return;
    }
    runs.push(RackPoolRun {
        rack_pool: cell.0,
        tasks,
    });
}
