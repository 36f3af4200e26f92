//! Time of the scheduler's decisions, and its memory per running task.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use primrosestack_core::placement::{
    Objective, Placement, RackPoolKey, Scheduler, TaskRequest, TaskUsage,
};
use primrosestack_core::prelude::*;

const SEED: u64 = 1;
const TEAMS: u64 = 970;
const TASKS_OF_JOB: u64 = 20;

/// 21 tasks of 3 cores fill a server, so 700 servers run 15,000 tasks.
const TASKS_OF_SERVER: u64 = 21;

const TASK: Resources = Resources {
    millicores: 3_000,
    memory_mib: 8_000,
    accelerators: 0,
};

const SERVER: Resources = Resources {
    millicores: 64_000,
    memory_mib: 250_000,
    accelerators: 0,
};

struct Full {
    scheduler: Scheduler,
    running: Vec<Placement>,
    servers: u64,
    cell_servers: u64,
    next: u64,
}

impl Full {
    /// Fills servers in cells of `cell_servers`, with one more task of each team pending.
    fn open(servers: u64, cell_servers: u64) -> Self {
        let objective = Objective {
            latency_permille: 400,
            throughput_permille: 400,
            eviction_permille: 200,
        };
        let mut scheduler = Scheduler::open(objective, SEED);
        for server in 0..servers {
            let (key, cell) = (key(server), cell(server / cell_servers));
            scheduler.put_server(key, cell, SERVER);
            scheduler.set_open(key, true);
        }
        let mut full = Self {
            scheduler,
            running: Vec::new(),
            servers,
            cell_servers,
            next: 0,
        };
        for _ in 0..servers * TASKS_OF_SERVER + TEAMS {
            full.submit();
        }
        // The tasks of new jobs wait until the first ones have proven their size or the time for that is over.
        for now in [1, 60_000, 120_000] {
            while let Some(placement) = full.scheduler.next(MonoMs(now)) {
                full.running.push(placement);
            }
        }
        full
    }

    fn request(number: u64, rack_pool: RackPoolKey) -> TaskRequest {
        let job = number / TASKS_OF_JOB;
        let task = TaskId {
            job: JobId(job),
            index: u32::try_from(number % TASKS_OF_JOB).unwrap_or(0),
        };
        TaskRequest {
            task,
            team: format!("team-{}", job % TEAMS).into(),
            client: format!("client-{}", job % TEAMS).into(),
            kind: format!("kind-{}", job % 8).into(),
            size: TASK,
            run_ms: 60_000,
            finish_by: None,
            rack_pool,
        }
    }

    fn submit(&mut self) -> TaskId {
        let cells = self.servers.div_ceil(self.cell_servers);
        let request = Self::request(self.next, cell(self.next % cells));
        let task = request.task;
        self.next += 1;
        self.scheduler.submit(MonoMs(120_000), request);
        task
    }

    /// Ends a task, submits one to the same cell and places one.
    fn turn(&mut self, at: usize) -> bool {
        let at = at % self.running.len();
        let ended = self.running[at];
        let server = u64::from(ended.server.0);
        self.scheduler.remove(MonoMs(130_000), ended.task);
        let cells = self.servers.div_ceil(self.cell_servers);
        let cell = server / self.cell_servers;
        self.next += (cell + cells - self.next % cells) % cells;
        self.submit();
        match self.scheduler.next(MonoMs(130_000)) {
            Some(placement) => {
                self.running[at] = placement;
                true
            }
            None => false,
        }
    }
}

fn key(server: u64) -> ServerKey {
    ServerKey(u32::try_from(server).unwrap_or(u32::MAX))
}

fn cell(cell: u64) -> RackPoolKey {
    RackPoolKey(u32::try_from(cell).unwrap_or(u32::MAX))
}

fn placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("end, submit and place");
    for (servers, cell_servers) in [
        (10, 8),
        (100, 8),
        (700, 8),
        (10_000, 8),
        (100, 100),
        (700, 700),
        (10_000, 10_000),
    ] {
        let mut full = Full::open(servers, cell_servers);
        let mut at = 0;
        let mut placed = 0_u64;
        let name = format!("{servers} servers, cells of {cell_servers}");
        group.bench_function(BenchmarkId::from_parameter(&name), |bencher| {
            bencher.iter(|| {
                at += 7_919;
                placed += u64::from(full.turn(at));
            });
        });
        println!("{name}: {} running, {placed} placed", full.running.len());
    }
    group.finish();
}

fn report(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("usage report and relief");
    for servers in [10, 700, 10_000] {
        let mut full = Full::open(servers, 8);
        let mut usage = vec![Vec::new(); usize::try_from(servers).unwrap_or(0)];
        for placement in &full.running {
            usage[placement.server.0 as usize].push(TaskUsage {
                task: placement.task,
                used: TASK,
                slowdown_permille: 1_100,
            });
        }
        let mut at = 0;
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter(|| {
                at = (at + 1) % usage.len();
                let server = key(at as u64);
                let now = MonoMs(140_000);
                full.scheduler.report(now, server, &usage[at], 1_050);
                black_box(full.scheduler.reclaim(now, server, Resources::default()));
            });
        });
    }
    group.finish();
}

fn cancellation(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("submit and cancel");
    for servers in [10, 700, 10_000] {
        let mut full = Full::open(servers, 8);
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter(|| {
                let task = full.submit();
                full.scheduler.remove(MonoMs(130_000), task);
            });
        });
    }
    group.finish();
}

/// Prints the growth of the process per running and per pending task, at 10 times the servers and tasks of a failure domain, so that
/// the rounding of the allocator does not show.
fn memory(_: &mut Criterion) {
    let mut full = Full::open(8, 8);
    for server in 8..7_000 {
        full.scheduler
            .put_server(key(server), cell(server / 8), SERVER);
    }
    let before = resident_bytes();
    let tasks = 7_000 * TASKS_OF_SERVER;
    for number in 0..tasks {
        let request = Full::request(number + 1_000_000, cell(0));
        let server = key(number / TASKS_OF_SERVER);
        full.scheduler.adopt(MonoMs(120_000), &request, server);
    }
    let grown = resident_bytes().saturating_sub(before);
    println!(
        "memory: {} bytes per running task ({tasks} tasks, 7000 servers, {TEAMS} teams)",
        grown / tasks
    );
    let before = resident_bytes();
    for number in 0..tasks {
        let request = Full::request(number + 5_000_000, cell(number % 875));
        full.scheduler.submit(MonoMs(120_000), request);
    }
    let grown = resident_bytes().saturating_sub(before);
    println!("memory: {} bytes per pending task", grown / tasks);
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.parse().ok());
    pages.unwrap_or(0_u64) * 4_096
}

criterion_group!(benches, memory, placement, report, cancellation);
criterion_main!(benches);
