//! Servers that stay away for a while after a task has crashed them.

mod common;

use common::{Harness, START_MS, entry, run_status, service_step, step};
use primrosestack_fleet::job::{JobId, StepSpec};
use primrosestack_fleet::report::{Report, RunStatus, ServerEntry};
use primrosestack_fleet::shard::JobStatus;
use test_case::test_case;

const TICK_MS: u64 = 100;

/// Time of silence after which the registration of a server disappears.
const REGISTRATION_MS: u64 = 4_500;

/// Start of the first incarnation of each server.
const FIRST_START_UNIX_MS: u64 = 10;

/// The service contract allows two more starts after three servers have crashed.
const STARTS_MAX: usize = 5;

/// The service contract asks for a run of a task 6 s after its last one, and allows 3 s more.
const RUN_GAP_MAX_MS: u64 = 9_000;

/// A server of the simulation.
struct Backend {
    name: &'static str,
    started_unix_ms: u64,
    /// When it went silent; `None` while it answers.
    silent_since_ms: Option<u64>,
    /// Runs that it outlives.
    running: Vec<RunStatus>,
}

/// Servers that go silent whenever a task starts on them.
struct Simulation {
    harness: Harness,
    backends: Vec<Backend>,
    absence_ms: u64,
    /// Whether they crash; otherwise they are only out of reach.
    crashes: bool,
    /// Number of starts at which a server goes silent; it outlives later ones.
    silences_max: usize,
    starts: usize,
    last_start_ms: u64,
    /// Longest time between two starts.
    longest_gap_ms: u64,
}

impl Simulation {
    fn open(names: &[&'static str], absence_ms: u64, crashes: bool) -> Self {
        let backend = |&name: &&'static str| Backend {
            name,
            started_unix_ms: FIRST_START_UNIX_MS,
            silent_since_ms: None,
            running: Vec::new(),
        };
        let mut simulation = Self {
            harness: Harness::open_term(1, &[], names),
            backends: names.iter().map(backend).collect(),
            absence_ms,
            crashes,
            silences_max: usize::MAX,
            starts: 0,
            last_start_ms: START_MS,
            longest_gap_ms: 0,
        };
        for index in 0..names.len() {
            simulation.register(index);
            simulation.answer(index);
        }
        simulation.harness.write_records();
        simulation
    }

    fn register(&mut self, index: usize) {
        let backend = &self.backends[index];
        let entry = ServerEntry {
            started_unix_ms: backend.started_unix_ms,
            ..entry(backend.name)
        };
        self.harness.shard.set_server(entry, self.harness.now_ms);
    }

    /// Answers a poll; tasks at whose start the server went silent have ended.
    fn answer(&mut self, index: usize) {
        let backend = &self.backends[index];
        let report = Report {
            sent_ms: self.harness.now_ms,
            started_unix_ms: backend.started_unix_ms,
            clock_ms: self.harness.now_ms,
            running: backend.running.clone(),
            ..Report::default()
        };
        let key = self.harness.key(backend.name);
        let now_ms = self.harness.now_ms;
        self.harness.shard.apply_report(key, &report, now_ms);
    }

    fn run_for(&mut self, duration_ms: u64) {
        let end_ms = self.harness.now_ms + duration_ms;
        while self.harness.now_ms < end_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        let now_ms = self.harness.now_ms;
        for index in 0..self.backends.len() {
            let backend = &mut self.backends[index];
            let Some(since_ms) = backend.silent_since_ms else {
                self.answer(index);
                continue;
            };
            if now_ms >= since_ms + self.absence_ms {
                backend.silent_since_ms = None;
                backend.started_unix_ms += u64::from(self.crashes);
                self.register(index);
                self.answer(index);
            } else if now_ms >= since_ms + REGISTRATION_MS {
                self.harness.shard.unregister_server(backend.name);
            }
        }
        self.harness.tick();
        self.harness.write_records();
        self.harness.plan();
        for (key, start) in self.harness.confirm_starts() {
            self.starts += 1;
            self.longest_gap_ms = self.longest_gap_ms.max(now_ms - self.last_start_ms);
            self.last_start_ms = now_ms;
            let name = self.harness.name(key);
            let started_on = self
                .backends
                .iter_mut()
                .find(|backend| backend.name == name)
                .expect("the server is simulated");
            if self.starts > self.silences_max {
                started_on.running.push(run_status(start.task, start.run));
                continue;
            }
            started_on.silent_since_ms = Some(now_ms);
        }
        self.harness.now_ms += TICK_MS;
    }
}

const NAMES: [&str; 8] = [
    "one", "two", "three", "four", "five", "six", "seven", "eight",
];

/// Guards against a task crashing one server after the other while the crashed ones need long to come back, so that
/// their crashes are known only afterwards.
#[test_case(3_000, step(1); "short task, 3 s")]
#[test_case(8_000, step(1); "short task, 8 s")]
#[test_case(12_000, step(1); "short task, 12 s")]
#[test_case(20_000, step(1); "short task, 20 s")]
#[test_case(30_000, step(1); "short task, 30 s")]
#[test_case(30_000, service_step(1, "web"); "long-running task, 30 s")]
#[test_case(600_000, step(1); "short task, servers never back")]
fn a_crashing_task_is_limited_while_its_servers_are_away(absence_ms: u64, step: StepSpec) {
    let mut simulation = Simulation::open(&NAMES, absence_ms, true);
    let job = simulation.harness.submit(7, 0, vec![step]);
    simulation.run_for(90_000);
    assert!(
        simulation.starts <= STARTS_MAX,
        "started {} times",
        simulation.starts
    );
    if absence_ms <= 30_000 {
        let status = simulation.harness.shard.job_status(job);
        assert_eq!(status, Some(JobStatus::Failed));
    }
}

/// Guards against a task standing still for good, or its job failing, since servers went out of reach at its starts.
#[test]
fn a_task_starts_again_once_its_servers_are_back_in_reach() {
    let mut simulation = Simulation::open(&NAMES, 40_000, false);
    let job = simulation
        .harness
        .submit(7, 0, vec![service_step(1, "web")]);
    simulation.run_for(39_000);
    assert_eq!(
        simulation.starts, STARTS_MAX,
        "further starts wait for the servers"
    );
    simulation.run_for(3_000);
    assert_eq!(
        simulation.starts,
        STARTS_MAX + 1,
        "a server that is back explains a lapse"
    );
    let status = simulation.harness.shard.job_status(job);
    assert_eq!(status, Some(JobStatus::Running));
}

/// Guards against a task having no run for half a minute although there is room, since the servers of its last three or
/// four starts fell silent and are not heard of again.
#[test_case(3, step(1); "three servers, short task")]
#[test_case(3, service_step(1, "web"); "three servers, long-running task")]
#[test_case(4, service_step(1, "web"); "four servers, long-running task")]
fn a_task_whose_servers_stay_silent_soon_runs_again(silences: usize, step: StepSpec) {
    let mut simulation = Simulation::open(&NAMES, 600_000, false);
    simulation.silences_max = silences;
    simulation.harness.submit(7, 0, vec![step]);
    simulation.run_for(40_000);
    assert_eq!(simulation.starts, silences + 1);
    assert!(
        simulation.longest_gap_ms <= RUN_GAP_MAX_MS,
        "{} ms without a run",
        simulation.longest_gap_ms
    );
}

/// Guards against other tasks waiting for servers that a task may have crashed.
#[test]
fn other_jobs_start_while_a_task_waits_for_its_servers() {
    let mut simulation = Simulation::open(&NAMES, 600_000, true);
    simulation.harness.submit(7, 0, vec![step(1)]);
    simulation.run_for(40_000);
    assert_eq!(simulation.starts, STARTS_MAX);
    simulation.harness.submit(8, 0, vec![step(1)]);
    simulation.harness.plan();
    let starts = simulation.harness.confirm_starts();
    let jobs: Vec<JobId> = starts.iter().map(|(_, start)| start.task.job).collect();
    assert_eq!(jobs, [JobId(8)]);
}
