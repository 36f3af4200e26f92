//! One replay of a trace on a virtual clock, with a fake backend server that stretches recorded run times.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use primrosestack_core::dispatch::{Admission, Dispatcher, DispatcherConfig, Request};
use primrosestack_core::placement::{RackPoolKey, Scheduler, TaskUsage};
use primrosestack_core::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::baseline::Batch;
use crate::trace::Trace;

pub const TICK_MS: u64 = 1_000;
const CLIENT_MS: u64 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Policy,
    LeastLoaded,
    FirstFit,
    RequestsOnly,
    BatchOnly,
}

/// Figures of one replay; requests of the clients that load equally.
#[derive(Default)]
pub struct Run {
    latencies: Vec<u32>,
    pub offered: u64,
    pub missed: u64,
    pub due: u64,
    pub late: u64,
    pub core_s: f64,
    pub evictions: u64,
    pub lost_core_s: f64,
    pub overfilled: u64,
    /// Demanded and received by each client and team that load equally.
    shares: BTreeMap<String, (f64, f64)>,
}

impl Run {
    pub fn quantile(&self, permille: usize) -> f64 {
        let at = self.latencies.len() * permille / 1_000;
        self.latencies.get(at).map_or(0.0, |ms| f64::from(*ms))
    }

    /// Jain's index and max/min of received over demanded; the worse of clients and teams.
    pub fn equality(&self) -> (f64, f64) {
        let mut worst = (1.0_f64, 1.0_f64);
        for prefix in ["client", "team"] {
            let of = self
                .shares
                .iter()
                .filter(|(name, _)| name.starts_with(prefix));
            let ratios: Vec<f64> = of
                .map(|(_, (demanded, received))| received / demanded.max(1.0))
                .collect();
            let sum: f64 = ratios.iter().sum();
            let squares: f64 = ratios.iter().map(|one| one * one).sum();
            if squares > 0.0 {
                let least = ratios.iter().copied().fold(f64::MAX, f64::min);
                let most = ratios.iter().copied().fold(0.0, f64::max);
                worst.0 = worst.0.min(sum * sum / (ratios.len() as f64 * squares));
                worst.1 = worst.1.max(most / least.max(0.001));
            }
        }
        worst
    }
}

pub struct Server {
    pub domain: usize,
    pub cell: usize,
    pub up: bool,
    pub failing: bool,
    pub closed_until_ms: u64,
    pub busy: u32,
    pub tasks: Vec<TaskId>,
    /// Jobs of the last starts, all of which failed.
    pub failed: Vec<JobId>,
    pub request_slowdown: f64,
}

#[derive(Default)]
pub struct Cell {
    pub domain: usize,
    /// Declared millicores of the tasks bound to it.
    pub outstanding: u64,
    pub servers: u64,
    pub up: bool,
}

pub struct Task {
    pub run_ms: f64,
    pub left_ms: f64,
    pub saved_ms: f64,
    pub ran_ms: u64,
    pub cell: Option<usize>,
    pub server: Option<usize>,
    pub reserved: Resources,
    pub limit: u32,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    Answer {
        server: usize,
        id: u64,
        service_ms: u64,
    },
    Arrive {
        domain: usize,
        id: u64,
    },
    Report {
        server: usize,
        usage: Vec<(TaskId, [u32; 2], u32)>,
        slowdown: u32,
    },
    Failed {
        task: TaskId,
        server: usize,
    },
    Resubmit {
        task: TaskId,
    },
}

struct Flight {
    stream: usize,
    arrived_ms: u64,
    service_ms: u64,
    home: usize,
}

pub struct Replay<'a> {
    pub trace: &'a Trace,
    pub now: u64,
    pub rng: Pcg64Mcg,
    pub dispatchers: Vec<Dispatcher>,
    pub batches: Vec<Batch>,
    pub servers: Vec<Server>,
    pub cells: Vec<Cell>,
    /// True slowdowns by victim and aggressor, for a full server; the last one is that of requests.
    pub truth: Vec<Vec<f64>>,
    pub tasks: BTreeMap<TaskId, Task>,
    flights: BTreeMap<u64, Flight>,
    pub steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    sequence: u64,
    pub one_way_ms: u64,
    pub failed_on: BTreeMap<JobId, BTreeSet<usize>>,
    pub parked: BTreeSet<JobId>,
    pub succeeded: BTreeSet<JobId>,
    pub run: Run,
}

/// Replays a trace; the same arguments give the same figures.
pub fn replay(trace: &Trace, variant: Variant, seed: u64) -> Run {
    let mut replay = Replay::open(trace, variant, seed);
    let arrivals = replay.arrivals(variant);
    let mut next = 0;
    for now in 0..trace.horizon_ms {
        replay.now = now;
        if now % TICK_MS == 0 {
            replay.tick(variant);
        }
        while let Some(&(at, stream, service_ms)) = arrivals.get(next).filter(|one| one.0 <= now) {
            let (id, home) = (next as u64, trace.streams[stream].domain);
            replay.flights.insert(
                id,
                Flight {
                    stream,
                    arrived_ms: at,
                    service_ms,
                    home,
                },
            );
            replay.offer(home, id);
            next += 1;
        }
        while replay
            .steps
            .peek()
            .is_some_and(|Reverse(step)| step.0 <= now)
        {
            if let Some(Reverse((_, _, step))) = replay.steps.pop() {
                replay.step(step);
            }
        }
    }
    replay.finish()
}

impl<'a> Replay<'a> {
    fn open(trace: &'a Trace, variant: Variant, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(trace.seed << 32 ^ seed);
        let mut truth: Vec<Vec<f64>> = Vec::new();
        for victim in 0..=trace.kinds.len() {
            let range = |kind: &crate::trace::Kind| {
                if victim == trace.kinds.len() {
                    kind.on_requests
                } else {
                    kind.on_batch
                }
            };
            let row = trace
                .kinds
                .iter()
                .map(|kind| rng.random_range(range(kind)[0]..=range(kind)[1]));
            truth.push(row.collect());
        }
        for pair in &trace.noisy_pairs {
            truth[pair.victim][pair.aggressor] = rng.random_range(pair.range[0]..=pair.range[1]);
        }
        let mut weights = trace.weights;
        weights.latency *= u32::from(variant != Variant::BatchOnly);
        let limit_permille = if trace.weights.latency > 500 {
            1_100
        } else {
            1_300
        };
        let mut replay = Self {
            trace,
            now: 0,
            rng,
            dispatchers: Vec::new(),
            batches: Vec::new(),
            servers: Vec::new(),
            cells: Vec::new(),
            truth,
            tasks: BTreeMap::new(),
            flights: BTreeMap::new(),
            steps: BinaryHeap::new(),
            sequence: 0,
            one_way_ms: trace.one_way_ms,
            failed_on: BTreeMap::new(),
            parked: BTreeSet::new(),
            succeeded: BTreeSet::new(),
            run: Run::default(),
        };
        for (domain, of) in trace.domains.iter().enumerate() {
            let mut batch = match variant {
                Variant::FirstFit | Variant::LeastLoaded => {
                    Batch::simple(variant == Variant::FirstFit, limit_permille)
                }
                _ => Batch::Shipped(Box::new(Scheduler::open(weights.objective(), seed))),
            };
            let mut dispatcher = Dispatcher::open(DispatcherConfig::with_seed(seed));
            for number in 0..of.servers {
                if number % 8 == 0 {
                    replay.cells.push(Cell {
                        domain,
                        up: true,
                        ..Cell::default()
                    });
                }
                let (key, cell) = (replay.servers.len(), replay.cells.len() - 1);
                replay.cells[cell].servers += 1;
                batch.put_server(
                    ServerKey(key as u32),
                    RackPoolKey(cell as u32),
                    trace.server,
                );
                dispatcher.put_server(MonoMs(0), ServerKey(key as u32), trace.slots);
                replay.servers.push(Server {
                    domain,
                    cell,
                    up: true,
                    failing: false,
                    closed_until_ms: 0,
                    busy: 0,
                    tasks: Vec::new(),
                    failed: Vec::new(),
                    request_slowdown: 1.0,
                });
            }
            replay.batches.push(batch);
            replay.dispatchers.push(dispatcher);
        }
        replay
    }

    fn arrivals(&mut self, variant: Variant) -> Vec<(u64, usize, u64)> {
        let mut arrivals = Vec::new();
        let mut rng = Pcg64Mcg::seed_from_u64(self.rng.clone().random());
        for (at, stream) in self.trace.streams.iter().enumerate() {
            for (interval, &count) in stream.counts.iter().enumerate() {
                for _ in 0..count * u32::from(variant != Variant::BatchOnly) {
                    let service_ms =
                        self.trace.service_ms[rng.random_range(0..self.trace.service_ms.len())];
                    arrivals.push((
                        interval as u64 * 10_000 + rng.random_range(0..10_000),
                        at,
                        service_ms,
                    ));
                }
            }
        }
        arrivals.sort_unstable();
        arrivals
    }

    pub fn later(&mut self, delay_ms: u64, step: Step) {
        self.sequence += 1;
        self.steps
            .push(Reverse((self.now + delay_ms, self.sequence, step)));
    }

    fn offer(&mut self, domain: usize, id: u64) {
        let flight = &self.flights[&id];
        let stream = &self.trace.streams[flight.stream];
        let request = Request {
            id,
            team: stream.client.as_str().into(),
            client: stream.client.as_str().into(),
            kind: "request".into(),
            deadline: MonoMs(flight.arrived_ms + self.trace.deadline_ms),
            spilled: domain != flight.home,
        };
        match self.dispatchers[domain].admit(MonoMs(self.now), request) {
            Admission::Send(server) => self.send(server.0 as usize, id),
            Admission::Queued => {}
            Admission::Refused(_) => self.answered(id, None),
            Admission::Spill(name) => {
                let to = self
                    .trace
                    .domains
                    .iter()
                    .position(|one| one.name == name.as_str());
                self.later(
                    self.one_way_ms,
                    Step::Arrive {
                        domain: to.unwrap_or(domain),
                        id,
                    },
                );
            }
        }
    }

    fn send(&mut self, at: usize, id: u64) {
        let server = &mut self.servers[at];
        server.busy += 1;
        let slowdown = server.request_slowdown
            * (1.0 + 0.05 * f64::from(server.busy) / f64::from(self.trace.slots));
        let service_ms = if server.failing {
            2
        } else {
            (self.flights[&id].service_ms as f64 * slowdown) as u64
        };
        self.later(
            service_ms,
            Step::Answer {
                server: at,
                id,
                service_ms,
            },
        );
    }

    /// Counts a request of the equal clients as answered, or as missed if there is no answer.
    fn answered(&mut self, id: u64, from: Option<usize>) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let stream = &self.trace.streams[flight.stream];
        if !stream.equal {
            return;
        }
        let back_ms = from
            .filter(|domain| *domain != flight.home)
            .map_or(0, |_| self.one_way_ms);
        let latency_ms = self.now - flight.arrived_ms + back_ms + 2 * CLIENT_MS;
        let in_time = from.is_some() && latency_ms <= self.trace.deadline_ms;
        let share = self.run.shares.entry(stream.client.clone()).or_default();
        *share = (share.0 + 1.0, share.1 + f64::from(u8::from(in_time)));
        self.run.offered += 1;
        self.run.missed += u64::from(!in_time);
        if from.is_some() {
            self.run.latencies.push(latency_ms as u32);
        }
    }

    pub fn dispatch(&mut self, domain: usize) {
        let now = MonoMs(self.now);
        while let Some(sent) = self.dispatchers[domain].next(now) {
            self.send(sent.server.0 as usize, sent.id);
        }
        for refusal in self.dispatchers[domain].take_refused(now) {
            self.answered(refusal.id, None);
        }
    }

    fn step(&mut self, step: Step) {
        let now = MonoMs(self.now);
        match step {
            Step::Arrive { domain, id } => self.offer(domain, id),
            Step::Answer {
                server,
                id,
                service_ms,
            } => {
                let found = &mut self.servers[server];
                found.busy -= 1;
                let (domain, failed) = (found.domain, found.failing || !found.up);
                self.dispatchers[domain].finished(
                    now,
                    ServerKey(server as u32),
                    id,
                    service_ms,
                    failed,
                );
                self.answered(id, (!failed).then_some(domain));
                self.dispatch(domain);
            }
            Step::Report {
                server,
                usage,
                slowdown,
            } => {
                let (domain, key) = (self.servers[server].domain, ServerKey(server as u32));
                let usage: Vec<TaskUsage> = usage
                    .into_iter()
                    .map(|(task, [millicores, memory_mib], slowdown_permille)| {
                        let used = Resources {
                            millicores,
                            memory_mib,
                            accelerators: 0,
                        };
                        TaskUsage {
                            task,
                            used,
                            slowdown_permille,
                        }
                    })
                    .collect();
                for action in self.batches[domain].report(now, key, &usage, slowdown) {
                    self.reclaim(action);
                }
                if let Batch::Shipped(scheduler) = &self.batches[domain] {
                    let slowdown = scheduler.request_slowdown_permille(key);
                    self.dispatchers[domain].set_slowdown(now, key, slowdown);
                }
            }
            Step::Failed { task, server } => self.failed(task, server),
            Step::Resubmit { task } => self.submit(task),
        }
    }

    fn finish(mut self) -> Run {
        self.run.latencies.sort_unstable();
        for (id, task) in &self.tasks {
            let job = &self.trace.jobs[id.job.0 as usize];
            if job.fails {
                continue;
            }
            let cores = f64::from(job.actual.millicores) / 1_000.0;
            let done = (task.run_ms - task.left_ms) / 1_000.0 * cores;
            self.run.core_s += done;
            if job.equal {
                let share = self.run.shares.entry(job.team.clone()).or_default();
                *share = (share.0 + task.run_ms / 1_000.0 * cores, share.1 + done);
            }
            if job.finish_by_ms.is_some_and(|by| by < self.now) {
                self.run.due += 1;
                self.run.late += u64::from(task.left_ms > 0.0);
            }
        }
        self.run
    }
}
