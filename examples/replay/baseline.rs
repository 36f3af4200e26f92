//! The schedulers compared: the shipped one, first fit, and least loaded without interference.

use std::collections::{BTreeMap, VecDeque};

use primrosestack_core::placement::{
    Placement, RackPoolKey, ReclaimAction, Scheduler, TaskRequest, TaskUsage,
};
use primrosestack_core::prelude::*;

/// Requests slowed beyond this make a baseline evict, as the shipped policy would have to.
const REPORTS_ABOVE: u32 = 3;
const ACT_EVERY_MS: u64 = 15_000;

struct Simple {
    cell: RackPoolKey,
    size: Resources,
    reserved: Resources,
    open: bool,
    tasks: Vec<(TaskId, Resources)>,
    above: u32,
    acted: MonoMs,
}

/// Reserves declarations, serves in order of arrival, and evicts the newest task when requests are slow or the server
/// is overfilled.
pub struct Baseline {
    first_fit: bool,
    limit_permille: u32,
    servers: BTreeMap<ServerKey, Simple>,
    pending: BTreeMap<RackPoolKey, VecDeque<TaskRequest>>,
}

impl Baseline {
    fn next(&mut self) -> Option<Placement> {
        for (cell, queue) in &mut self.pending {
            for at in 0..queue.len().min(32) {
                let wanted = queue[at].size;
                let fitting = self.servers.iter().filter(|(_, one)| {
                    let sum = one.reserved.saturating_add(wanted);
                    one.cell == *cell && one.open && sum.fits_in(one.size)
                });
                let load = |one: &Simple| one.reserved.millicores * u32::from(!self.first_fit);
                let Some((&server, _)) = fitting.min_by_key(|(key, one)| (load(one), **key)) else {
                    continue;
                };
                let request = queue.remove(at)?;
                let found = self.servers.get_mut(&server)?;
                found.reserved = found.reserved.saturating_add(wanted);
                found.tasks.push((request.task, wanted));
                let task = request.task;
                return Some(Placement {
                    task,
                    server,
                    reserved: wanted,
                });
            }
        }
        None
    }

    fn report(
        &mut self,
        now: MonoMs,
        key: ServerKey,
        used: Resources,
        slowdown: u32,
    ) -> Vec<ReclaimAction> {
        let Some(server) = self.servers.get_mut(&key) else {
            return Vec::new();
        };
        let slow = slowdown > self.limit_permille;
        server.above = if slow { server.above + 1 } else { 0 };
        let due = server.above >= REPORTS_ABOVE || !used.fits_in(server.size);
        if !due || now.since(server.acted).0 < ACT_EVERY_MS {
            return Vec::new();
        }
        (server.above, server.acted) = (0, now);
        let newest = server.tasks.last();
        newest
            .map(|&(task, _)| ReclaimAction::Evict { task })
            .into_iter()
            .collect()
    }

    fn remove(&mut self, task: TaskId) {
        for queue in self.pending.values_mut() {
            queue.retain(|one| one.task != task);
        }
        for server in self.servers.values_mut() {
            if let Some(at) = server.tasks.iter().position(|one| one.0 == task) {
                let (_, size) = server.tasks.remove(at);
                server.reserved = server.reserved.saturating_sub(size);
            }
        }
    }
}

pub enum Batch {
    Shipped(Box<Scheduler>),
    Simple(Baseline),
}

impl Batch {
    pub fn simple(first_fit: bool, limit_permille: u32) -> Self {
        let (servers, pending) = (BTreeMap::new(), BTreeMap::new());
        Self::Simple(Baseline {
            first_fit,
            limit_permille,
            servers,
            pending,
        })
    }

    pub fn put_server(&mut self, key: ServerKey, cell: RackPoolKey, size: Resources) {
        match self {
            Self::Shipped(scheduler) => scheduler.put_server(key, cell, size),
            Self::Simple(simple) => {
                let (reserved, tasks, acted) = (Resources::default(), Vec::new(), MonoMs(0));
                let one = Simple {
                    cell,
                    size,
                    reserved,
                    open: false,
                    tasks,
                    above: 0,
                    acted,
                };
                simple.servers.insert(key, one);
            }
        }
        self.set_open(key, true);
    }

    pub fn set_open(&mut self, key: ServerKey, open: bool) {
        match self {
            Self::Shipped(scheduler) => scheduler.set_open(key, open),
            Self::Simple(simple) => {
                if let Some(server) = simple.servers.get_mut(&key) {
                    server.open = open;
                }
            }
        }
    }

    pub fn submit(&mut self, now: MonoMs, request: TaskRequest) {
        match self {
            Self::Shipped(scheduler) => scheduler.submit(now, request),
            Self::Simple(simple) => simple
                .pending
                .entry(request.rack_pool)
                .or_default()
                .push_back(request),
        }
    }

    pub fn remove(&mut self, now: MonoMs, task: TaskId) {
        match self {
            Self::Shipped(scheduler) => scheduler.remove(now, task),
            Self::Simple(simple) => simple.remove(task),
        }
    }

    pub fn next(&mut self, now: MonoMs) -> Option<Placement> {
        match self {
            Self::Shipped(scheduler) => scheduler.next(now),
            Self::Simple(simple) => simple.next(),
        }
    }

    pub fn report(
        &mut self,
        now: MonoMs,
        key: ServerKey,
        usage: &[TaskUsage],
        slowdown: u32,
    ) -> Vec<ReclaimAction> {
        match self {
            Self::Shipped(scheduler) => {
                scheduler.report(now, key, usage, slowdown);
                scheduler.reclaim(now, key, Resources::default())
            }
            Self::Simple(simple) => {
                let used = usage.iter().fold(Resources::default(), |sum, one| {
                    sum.saturating_add(one.used)
                });
                simple.report(now, key, used, slowdown)
            }
        }
    }
}
