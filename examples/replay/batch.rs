//! Batch tasks and faults of a replay, advanced once a second.

use primrosestack_core::dispatch::Link;
use primrosestack_core::placement::{RackPoolKey, ReclaimAction, TaskRequest};
use primrosestack_core::prelude::*;
use rand::Rng;

use crate::run::{Replay, Step, TICK_MS, Task, Variant};
use crate::trace::FaultKind;

const OWN_CHECKPOINT_MS: u64 = 60_000;
const RESTART_MS: u64 = 5_000;
const LOSS_SEEN_MS: u64 = 2_000;
const LEASE_WAIT_MS: u64 = 16_400;
const QUARANTINE_MS: u64 = 30_000;

impl Replay<'_> {
    pub fn tick(&mut self, variant: Variant) {
        self.faults();
        if variant != Variant::RequestsOnly {
            self.jobs();
        }
        for at in 0..self.servers.len() {
            self.advance(at);
        }
        for domain in 0..self.batches.len() {
            while let Some(placed) = self.batches[domain].next(MonoMs(self.now)) {
                self.start(placed.task, placed.server.0 as usize, placed.reserved);
            }
            self.dispatch(domain);
            self.links(domain);
        }
    }

    fn links(&mut self, from: usize) {
        for to in 0..self.dispatchers.len() {
            let (busy, slots) = self.dispatchers[to].load();
            let link = Link {
                round_trip_ms: 2 * self.one_way_ms,
                price_ms: self.trace.link_price_ms,
                wait_ms: self.dispatchers[to].expected_wait_ms("request"),
                open: to != from && busy < slots,
            };
            self.dispatchers[from].set_link(&self.trace.domains[to].name, link);
        }
    }

    fn jobs(&mut self) {
        let trace = self.trace;
        for (number, job) in trace.jobs.iter().enumerate() {
            let tick = self.now / TICK_MS;
            let due = |at_ms: u64| at_ms / TICK_MS == tick;
            if due(job.at_ms) {
                for index in 0..job.tasks {
                    let id = TaskId {
                        job: JobId(number as u64),
                        index,
                    };
                    let run_ms = job.run_ms[index as usize % job.run_ms.len()] as f64;
                    let task = Task {
                        run_ms,
                        left_ms: run_ms,
                        saved_ms: run_ms,
                        ran_ms: 0,
                        cell: None,
                        server: None,
                        reserved: Resources::default(),
                        limit: 0,
                    };
                    self.tasks.insert(id, task);
                    self.submit(id);
                }
            }
            if job.cancel_at_ms.is_some_and(due) {
                for index in 0..job.tasks {
                    self.take_off(TaskId {
                        job: JobId(number as u64),
                        index,
                    });
                    self.tasks.remove(&TaskId {
                        job: JobId(number as u64),
                        index,
                    });
                }
            }
        }
    }

    /// Binds a task to the cell with the least outstanding work for its size, and submits it.
    pub fn submit(&mut self, id: TaskId) {
        let job = &self.trace.jobs[id.job.0 as usize];
        let fits = job.declared.fits_in(self.trace.server);
        let (Some(task), true) = (self.tasks.get_mut(&id), fits) else {
            return;
        };
        if self.parked.contains(&id.job) || task.cell.is_some() {
            return;
        }
        let home = id.job.0 as usize % self.batches.len();
        let cells = self.cells.iter().enumerate();
        let up = cells.filter(|(_, cell)| cell.up && cell.domain == home);
        let least = up.min_by_key(|(at, cell)| (cell.outstanding / cell.servers, *at));
        let Some((cell, _)) = least else {
            return;
        };
        task.cell = Some(cell);
        self.cells[cell].outstanding += u64::from(job.declared.millicores);
        let request = TaskRequest {
            task: id,
            team: job.team.as_str().into(),
            client: job.team.as_str().into(),
            kind: self.trace.kinds[job.kind].name.as_str().into(),
            size: job.declared,
            run_ms: job.declared_run_ms,
            finish_by: job.finish_by_ms.map(MonoMs),
            rack_pool: RackPoolKey(cell as u32),
        };
        self.batches[self.cells[cell].domain].submit(MonoMs(self.now), request);
    }

    /// Takes a task off its server and cell.
    fn take_off(&mut self, id: TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        if let Some(server) = task.server.take() {
            self.servers[server].tasks.retain(|one| *one != id);
        }
        if let Some(cell) = task.cell.take() {
            let declared = self.trace.jobs[id.job.0 as usize].declared;
            self.cells[cell].outstanding -= u64::from(declared.millicores);
            self.batches[self.cells[cell].domain].remove(MonoMs(self.now), id);
        }
    }

    fn start(&mut self, id: TaskId, at: usize, reserved: Resources) {
        let unlimited = matches!(
            self.batches[self.servers[at].domain],
            crate::baseline::Batch::Simple(_)
        );
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        task.server = Some(at);
        task.reserved = reserved;
        task.limit = if unlimited {
            u32::MAX
        } else {
            reserved.millicores
        };
        task.ran_ms = 0;
        if unlimited {
            task.reserved.memory_mib = u32::MAX;
        }
        self.servers[at].tasks.push(id);
        if self.servers[at].failing || self.trace.jobs[id.job.0 as usize].fails {
            self.later(
                TICK_MS,
                Step::Failed {
                    task: id,
                    server: at,
                },
            );
        }
    }

    pub fn reclaim(&mut self, action: ReclaimAction) {
        match action {
            ReclaimAction::Throttle { task, millicores } => {
                if let Some(task) = self.tasks.get_mut(&task) {
                    task.limit = millicores;
                }
            }
            ReclaimAction::Evict { task } => {
                self.run.evictions += 1;
                self.lose(
                    task,
                    RESTART_MS,
                    self.trace.kinds[self.trace.jobs[task.job.0 as usize].kind].checkpoints,
                );
            }
        }
    }

    /// Stops a task and starts it again later; without a checkpoint its work since the last own one is lost.
    fn lose(&mut self, id: TaskId, delay_ms: u64, checkpointed: bool) {
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        let cores = f64::from(self.trace.jobs[id.job.0 as usize].actual.millicores) / 1_000.0;
        if checkpointed {
            task.saved_ms = task.left_ms;
        }
        let lost_ms = task.saved_ms - task.left_ms + RESTART_MS as f64;
        self.run.lost_core_s += lost_ms * cores / 1_000.0;
        task.left_ms = task.saved_ms;
        self.take_off(id);
        self.later(delay_ms, Step::Resubmit { task: id });
    }

    /// Quarantine and parking as in section 5 of the design page, which the shard does in the system.
    pub fn failed(&mut self, id: TaskId, at: usize) {
        if self
            .tasks
            .get(&id)
            .is_none_or(|task| task.server != Some(at))
        {
            return;
        }
        self.take_off(id);
        let server = &mut self.servers[at];
        server.failed.push(id.job);
        let mut jobs = server.failed.clone();
        jobs.sort_unstable();
        jobs.dedup();
        if server.failed.len() >= 5 && jobs.len() >= 3 {
            server.closed_until_ms = self.now + QUARANTINE_MS;
            self.batches[server.domain].set_open(ServerKey(at as u32), false);
            for servers in self.failed_on.values_mut() {
                servers.remove(&at);
            }
        } else if !self.succeeded.contains(&id.job) {
            let servers = self.failed_on.entry(id.job).or_default();
            servers.insert(at);
            if servers.len() >= 3 && server.failed.iter().all(|job| *job == id.job) {
                self.parked.insert(id.job);
            }
        }
        self.later(TICK_MS, Step::Resubmit { task: id });
    }

    /// Advances the tasks of a server by one tick, and writes its report.
    fn advance(&mut self, at: usize) {
        let kinds = self.trace.kinds.len();
        let size = self.trace.server;
        let server = &mut self.servers[at];
        if server.closed_until_ms > 0 && server.closed_until_ms <= self.now {
            server.closed_until_ms = 0;
            self.batches[server.domain].set_open(ServerKey(at as u32), true);
        }
        let busy = f64::from(server.busy) / f64::from(self.trace.slots);
        let mut loads = vec![0.0; kinds];
        let mut used = Resources::default();
        let mut each = Vec::new();
        for id in &server.tasks {
            let (task, job) = (&self.tasks[id], &self.trace.jobs[id.job.0 as usize]);
            // Memory grows over the first 10 s of a task.
            let grown =
                u64::from(job.actual.memory_mib) * (task.ran_ms + TICK_MS).min(10_000) / 10_000;
            let use_of = Resources {
                millicores: job.actual.millicores.min(task.limit),
                memory_mib: (grown as u32).min(task.reserved.memory_mib),
                accelerators: 0,
            };
            loads[job.kind] += f64::from(use_of.millicores) / f64::from(size.millicores);
            used = used.saturating_add(use_of);
            each.push(use_of);
        }
        self.run.overfilled += u64::from(!used.fits_in(size));
        let effect = |victim: usize, loads: &[f64]| -> f64 {
            let effects = self.truth[victim].iter().zip(loads);
            1.0 + effects
                .map(|(slope, load)| slope * load.max(0.0).powf(1.2))
                .sum::<f64>()
        };
        server.request_slowdown = effect(kinds, &loads);
        // Cores and memory beyond the server are shared by all its tasks.
        let share = (f64::from(size.millicores) / f64::from(used.millicores.max(1))).min(1.0);
        let mut usage = Vec::new();
        let mut ended = Vec::new();
        for (id, use_of) in server.tasks.iter().zip(&each) {
            let job = &self.trace.jobs[id.job.0 as usize];
            let own = f64::from(use_of.millicores) / f64::from(size.millicores);
            loads[job.kind] -= own;
            let slowdown = effect(job.kind, &loads) + 0.03 * busy;
            loads[job.kind] += own;
            let Some(task) = self.tasks.get_mut(id) else {
                continue;
            };
            let starved = task.reserved.memory_mib < job.actual.memory_mib
                && use_of.memory_mib == task.reserved.memory_mib;
            let memory = if starved { 0.05 } else { 1.0 };
            let rate =
                f64::from(use_of.millicores) / f64::from(job.actual.millicores) * memory * share
                    / slowdown;
            if !server.failing && !job.fails && server.up {
                task.left_ms = (task.left_ms - rate * TICK_MS as f64).max(0.0);
            }
            task.ran_ms += TICK_MS;
            if task.ran_ms % OWN_CHECKPOINT_MS == 0 {
                task.saved_ms = task.left_ms;
            }
            if task.left_ms <= 0.0 {
                ended.push(*id);
            }
            let noise = 1.0 + 0.3 * (self.rng.random::<f64>() + self.rng.random::<f64>() - 1.0);
            let used = [use_of.millicores, use_of.memory_mib];
            usage.push((*id, used, (slowdown / memory * noise * 1_000.0) as u32));
        }
        let wild = if self.rng.random_range(0..100) == 0 {
            4.0
        } else {
            1.0
        };
        let noise =
            wild * (1.0 + 0.3 * (self.rng.random::<f64>() + self.rng.random::<f64>() - 1.0));
        let seen = (server.request_slowdown * noise * 1_000.0) as u32;
        let slowdown = if self.trace.streams.is_empty() {
            0
        } else {
            seen
        };
        if server.up {
            let lag_ms = self.rng.random_range(2_000..4_000);
            self.later(
                lag_ms,
                Step::Report {
                    server: at,
                    usage,
                    slowdown,
                },
            );
        }
        for id in ended {
            self.servers[at].failed.clear();
            self.succeeded.insert(id.job);
            self.take_off(id);
        }
    }

    fn faults(&mut self) {
        for fault in &self.trace.faults {
            let first = (0..fault.domain)
                .map(|at| self.trace.domains[at].servers)
                .sum::<u32>();
            let at_server = (first + fault.value) as usize;
            let begins = fault.from_ms == self.now;
            let active = (fault.from_ms..fault.until_ms).contains(&self.now);
            match fault.kind {
                FaultKind::SlowLinks => {
                    self.one_way_ms = if active {
                        u64::from(fault.value)
                    } else {
                        self.trace.one_way_ms
                    };
                }
                FaultKind::FailingServer => {
                    if begins || fault.until_ms == self.now {
                        self.servers[at_server].failing = active;
                        let running = if active {
                            self.servers[at_server].tasks.clone()
                        } else {
                            Vec::new()
                        };
                        for task in running {
                            self.later(
                                TICK_MS,
                                Step::Failed {
                                    task,
                                    server: at_server,
                                },
                            );
                        }
                    }
                }
                FaultKind::RackLost => self.lose_rack(
                    fault.domain,
                    fault.value,
                    self.now.saturating_sub(fault.from_ms),
                    active,
                ),
            }
        }
    }

    fn lose_rack(&mut self, domain: usize, rack: u32, since_ms: u64, active: bool) {
        if !active || since_ms > LEASE_WAIT_MS + TICK_MS {
            return;
        }
        let mut of_domain = self
            .cells
            .iter()
            .enumerate()
            .filter(|(_, cell)| cell.domain == domain);
        let Some((lost, _)) = of_domain.nth(rack as usize) else {
            return;
        };
        let members = (0..self.servers.len()).filter(|at| self.servers[*at].cell == lost);
        for at in members.collect::<Vec<_>>() {
            let key = ServerKey(at as u32);
            if since_ms == 0 {
                self.servers[at].up = false;
            } else if since_ms == LOSS_SEEN_MS {
                self.cells[lost].up = false;
                self.batches[domain].set_open(key, false);
                self.dispatchers[domain].open_server(MonoMs(self.now), key, false);
            }
        }
        if since_ms / TICK_MS == LEASE_WAIT_MS / TICK_MS {
            let bound = self
                .tasks
                .iter()
                .filter(|(_, task)| task.cell == Some(lost));
            for id in bound.map(|(id, _)| *id).collect::<Vec<_>>() {
                let running = self.tasks[&id].server.is_some();
                if running {
                    self.lose(id, 0, false);
                } else {
                    self.take_off(id);
                    self.later(0, Step::Resubmit { task: id });
                }
            }
        }
    }
}
