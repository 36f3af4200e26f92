//! Test harness: a shard with simulated servers and an injected clock.

#![allow(dead_code)]

pub mod moves;

use primrosestack_fleet::action::{Action, StartReply, StartRequest};
use primrosestack_fleet::bounds::Bounds;
use primrosestack_fleet::handover::Handover;
use primrosestack_fleet::interference::InterferenceEstimate;
use primrosestack_fleet::job::{JobId, JobSpec, Queue, StepSpec, TaskId};
use primrosestack_fleet::policy::Policy;
use primrosestack_fleet::record::{ServerSet, StoredJob};
use primrosestack_fleet::report::{EndKind, Report, RunEnd, RunStatus, ServerEntry};
use primrosestack_fleet::shard::{ServerKey, Shard};
use smol_str::SmolStr;

/// Time at which every test begins.
pub const START_MS: u64 = 1_000_000;

/// End of the owner's authority in tests that are not about it.
pub const AUTHORITY_END_MS: u64 = 1_000_000_000;

/// Start of the first incarnation of every server.
const FIRST_START_UNIX_MS: u64 = 5;

/// Time limits as used in deployments.
pub const BOUNDS: Bounds = Bounds {
    lease_max_ms: 10_000,
    stop_ms: 900,
    retention_ms: 120_000,
    heartbeat_ms: 1_500,
    drain_ms: 2_000,
    evacuation_ms: None,
};

/// Longer than the wait before a task is delegated.
pub const DELEGATION_WAIT_MS: u64 = 1_500;

/// A queue whose jobs fail after three attempts of a task.
pub fn queue(priority: u32) -> Queue {
    Queue {
        name: format!("queue-{priority}"),
        service: "sheets".into(),
        priority,
        attempts_max: 3,
        stretch_factor: 2.0,
        target_ms: 1_000,
        advisor_decision_ms: 0,
        advisor_period_ms: 0,
        servers_check_capacity: true,
    }
}

/// A step of tasks with one core and 1 GB each.
pub fn step(tasks: u32) -> StepSpec {
    StepSpec {
        tasks,
        cpu_millis: 1_000,
        memory_mb: 1_000,
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

/// A step of long-running service tasks.
pub fn service_step(tasks: u32, image: &str) -> StepSpec {
    StepSpec {
        long_running: true,
        tail_target_ms: 18,
        image: image.into(),
        ..step(tasks)
    }
}

/// A step of best-effort tasks.
pub fn best_effort_step(tasks: u32, image: &str) -> StepSpec {
    StepSpec {
        best_effort: true,
        checkpointable: true,
        image: image.into(),
        ..step(tasks)
    }
}

/// A server with 16 cores and 64 GB.
pub fn entry(name: &str) -> ServerEntry {
    ServerEntry {
        name: name.into(),
        started_unix_ms: 0,
        service: "sheets".into(),
        address: format!("{name}:1").into(),
        failure_domain: "poa".into(),
        draining: false,
        leaves_in_ms: None,
        cold_for_ms: 0,
        cpu_millis: 16_000,
        memory_mb: 64_000,
        gpus: 0,
        labels: vec!["a".into(), "r-1".into()],
    }
}

/// A shard under test with the actions collected from it.
pub struct Harness {
    pub shard: Shard,
    pub now_ms: u64,
    /// Whether the store confirms the term before each plan and tick.
    pub confirms_term: bool,
    pub starts: Vec<(ServerKey, StartRequest)>,
    pub stops: Vec<(ServerKey, TaskId, u32)>,
    pub rates: Vec<(ServerKey, TaskId, u32, u32)>,
    /// Calls to the advisor: any task of the step, and the servers.
    pub advice_calls: Vec<(TaskId, Vec<SmolStr>)>,
}

impl Harness {
    /// Opens a shard in its first term, with claimed servers.
    pub fn open(servers: &[&str]) -> Self {
        let mut harness = Self::open_term(1, &[], servers);
        for name in servers {
            harness.claim(name);
        }
        harness.write_records();
        harness
    }

    /// Opens a shard in its first term, with claimed servers of different kinds.
    pub fn open_with(servers: &[ServerEntry]) -> Self {
        let mut harness = Self::open(&[]);
        for server in servers {
            harness.shard.set_server(server.clone(), harness.now_ms);
            harness.claim(&server.name);
        }
        harness.write_records();
        harness
    }

    /// Turns decisions on.
    pub fn with_policy(self, policy: Policy) -> Self {
        let shard = self.shard.with_policy(policy);
        Self { shard, ..self }
    }

    /// Opens a shard at the beginning of a term, with registered servers; `previous` are those of earlier terms.
    pub fn open_term(term: u64, previous: &[&str], servers: &[&str]) -> Self {
        let known = ServerSet {
            names: previous.iter().map(ToString::to_string).collect(),
            ..ServerSet::default()
        };
        let authority_ms = Some(BOUNDS.authority_ms());
        let mut shard = Shard::open(BOUNDS, term, 100, &known, authority_ms, START_MS);
        shard.set_queues([queue(0), queue(2)]);
        shard.set_servers(servers.iter().map(|name| entry(name)), START_MS);
        Self {
            shard,
            now_ms: START_MS,
            confirms_term: true,
            starts: Vec::new(),
            stops: Vec::new(),
            rates: Vec::new(),
            advice_calls: Vec::new(),
        }
    }

    pub fn handover(&self) -> Handover {
        self.shard.handover(self.now_ms)
    }

    pub fn key(&self, name: &str) -> ServerKey {
        let has_name = |key: &ServerKey| {
            self.shard
                .server(*key)
                .is_some_and(|server| server.entry.name == name)
        };
        self.shard
            .server_keys()
            .into_iter()
            .find(has_name)
            .expect("the server is known")
    }

    pub fn claim(&mut self, name: &str) {
        self.report(name, &[], &[]);
    }

    /// Reports on behalf of a server; the poll was sent just before.
    pub fn report(&mut self, name: &str, running: &[RunStatus], ended: &[RunEnd]) {
        let key = self.key(name);
        let started_unix_ms = self
            .shard
            .server(key)
            .map_or(0, |server| server.started_unix_ms);
        let report = Report {
            sent_ms: self.now_ms,
            started_unix_ms: started_unix_ms.max(FIRST_START_UNIX_MS),
            clock_ms: self.now_ms + 7,
            running: running.to_vec(),
            ended: ended.to_vec(),
            ..Report::default()
        };
        self.shard.apply_report(key, &report, self.now_ms);
        self.collect();
    }

    /// A server that crashed answers again as a new incarnation.
    pub fn restart(&mut self, name: &str) {
        let key = self.key(name);
        let server = self.shard.server(key).expect("the server is known");
        let report = Report {
            sent_ms: self.now_ms,
            started_unix_ms: server.started_unix_ms.max(FIRST_START_UNIX_MS) + 1,
            clock_ms: 1,
            ..Report::default()
        };
        self.shard.apply_report(key, &report, self.now_ms);
        self.collect();
    }

    /// A server crashes after the pending starts, and is claimed again 3 s later; nothing is planned.
    pub fn crash(&mut self, name: &str) {
        self.confirm_starts();
        self.now_ms += 3_000;
        self.restart(name);
        self.write_records();
        self.claim(name);
    }

    /// Writes a batch and returns its jobs with a task that is recorded as the possible cause of a crash.
    pub fn recorded_suspects(&mut self) -> Vec<JobId> {
        let batch = self.shard.take_batch(self.now_ms);
        let mut suspects = Vec::new();
        for record in &batch.jobs {
            let mut tasks = record.progress.tasks.iter();
            if tasks.any(|task| !task.crashed_runs.is_empty()) {
                suspects.push(record.id);
            }
        }
        self.shard.batch_written(&batch);
        suspects
    }

    /// Writes all pending records.
    pub fn write_records(&mut self) {
        for _ in 0..100 {
            let batch = self.shard.take_batch(self.now_ms);
            if batch.is_empty() {
                return;
            }
            self.shard.batch_written(&batch);
        }
    }

    /// Adds a job accepted after the term began.
    pub fn submit(&mut self, id: u64, priority: u32, steps: Vec<StepSpec>) -> JobId {
        self.submit_at(id, priority, steps, 200)
    }

    /// Adds a job accepted at a revision; the term began at revision 100.
    pub fn submit_at(
        &mut self,
        id: u64,
        priority: u32,
        steps: Vec<StepSpec>,
        created_revision: u64,
    ) -> JobId {
        let spec = JobSpec {
            id,
            command: "do".into(),
            steps,
            queue: Some(queue(priority)),
            ..JobSpec::default()
        };
        self.add(spec, created_revision)
    }

    /// Adds a batch job accepted at a time of day and a revision.
    pub fn submit_accepted(
        &mut self,
        id: u64,
        steps: Vec<StepSpec>,
        accepted_unix_ms: u64,
        created_revision: u64,
    ) -> JobId {
        let spec = JobSpec {
            id,
            steps,
            queue: Some(queue(2)),
            accepted_unix_ms,
            ..JobSpec::default()
        };
        self.add(spec, created_revision)
    }

    fn add(&mut self, spec: JobSpec, created_revision: u64) -> JobId {
        spec.validate().expect("the job is valid");
        let id = JobId(spec.id);
        let stored = StoredJob {
            spec: Some(spec),
            created_revision,
            ..StoredJob::default()
        };
        self.shard.add_job(id, stored, self.now_ms);
        id
    }

    pub fn plan(&mut self) {
        self.plan_at(0);
    }

    /// Plans at a time of day.
    pub fn plan_at(&mut self, unix_ms: u64) {
        self.confirm_term();
        self.shard.plan(AUTHORITY_END_MS, unix_ms, self.now_ms);
        self.collect();
    }

    fn confirm_term(&mut self) {
        if self.confirms_term {
            self.shard.confirm_term(self.now_ms);
        }
    }

    pub fn tick(&mut self) {
        self.confirm_term();
        self.shard.tick(self.now_ms);
        self.collect();
    }

    fn collect(&mut self) {
        for action in self.shard.take_actions() {
            match action {
                Action::Start { server, request } => self.starts.push((server, request)),
                Action::Stop { server, task, run } => self.stops.push((server, task, run)),
                Action::SetRate {
                    server,
                    task,
                    run,
                    percent,
                } => self.rates.push((server, task, run, percent)),
                Action::Advise { task, servers, .. } => self.advice_calls.push((task, servers)),
                Action::Log(_) => {}
            }
        }
    }

    /// Confirms all pending starts and returns them.
    pub fn confirm_starts(&mut self) -> Vec<(ServerKey, StartRequest)> {
        let starts = std::mem::take(&mut self.starts);
        for (server, request) in &starts {
            self.shard
                .start_replied(*server, request, StartReply::Started, self.now_ms);
        }
        self.collect();
        starts
    }

    /// All servers confirm the pending stops; polls sent from now on count for these.
    pub fn confirm_stops(&mut self) {
        for (server, task, run) in std::mem::take(&mut self.stops) {
            self.shard.stop_replied(server, task, run, self.now_ms);
        }
        self.now_ms += 1;
    }

    /// All servers report the expected runs of `jobs` as serving.
    pub fn report_running(&mut self, jobs: &[JobId]) {
        for key in self.shard.server_keys() {
            let name = self.name(key);
            self.report_running_on(&name, jobs);
        }
    }

    /// A server reports the expected runs of `jobs` as serving.
    pub fn report_running_on(&mut self, name: &str, jobs: &[JobId]) {
        let runs = self.shard.runs_on(self.key(name));
        let job_runs = runs
            .into_iter()
            .filter(|(task, _)| jobs.contains(&task.job));
        let statuses: Vec<RunStatus> = job_runs
            .map(|(task, run)| RunStatus {
                progress_percent: 100,
                ..run_status(task, run)
            })
            .collect();
        self.report(name, &statuses, &[]);
    }

    /// A server reports the end of one run and all its other runs as serving.
    pub fn report_end(&mut self, name: &str, end: &RunEnd) {
        let runs = self.shard.runs_on(self.key(name));
        let others = runs
            .into_iter()
            .filter(|&(task, run)| task != end.task || run != end.run);
        let statuses: Vec<RunStatus> = others
            .map(|(task, run)| RunStatus {
                progress_percent: 100,
                ..run_status(task, run)
            })
            .collect();
        self.report(name, &statuses, std::slice::from_ref(end));
    }

    /// A server reports the tail latency of its service tasks and the CPU use of all others.
    pub fn report_tails_and_cpu(
        &mut self,
        name: &str,
        service: JobId,
        tail_ms: u32,
        cpu_millis: u32,
    ) {
        let key = self.key(name);
        let runs = self.shard.runs_on(key);
        let statuses: Vec<RunStatus> = runs
            .into_iter()
            .map(|(task, run)| {
                let is_service = task.job == service;
                RunStatus {
                    progress_percent: if is_service { 100 } else { 50 },
                    tail_ms_or_cpu_millis: if is_service { tail_ms } else { cpu_millis },
                    ..run_status(task, run)
                }
            })
            .collect();
        self.report(name, &statuses, &[]);
    }

    /// A server reports the tail latency of its service tasks and a CPU use of one core for all others.
    pub fn report_tails(&mut self, name: &str, job: JobId, tail_ms: u32) {
        let key = self.key(name);
        let runs = self.shard.runs_on(key);
        let statuses: Vec<RunStatus> = runs
            .into_iter()
            .map(|(task, run)| RunStatus {
                progress_percent: if task.job == job { 100 } else { 50 },
                tail_ms_or_cpu_millis: if task.job == job { tail_ms } else { 1_000 },
                ..run_status(task, run)
            })
            .collect();
        self.report(name, &statuses, &[]);
    }

    /// Makes the shard learn that a best-effort image interferes strongly with the service image `web`.
    pub fn learn_strong_interference(&mut self, image: &str) {
        self.shard.merge_interference(&[InterferenceEstimate {
            service_image: "web".into(),
            best_effort_image: image.into(),
            weight: 4.0,
            variance: 0.0003,
            tail_floor_ms: 0.0,
        }]);
    }

    /// Makes the shard learn that a best-effort image does not interfere with a service image.
    pub fn learn_no_interference(&mut self, service_image: &str, best_effort_image: &str) {
        self.shard.merge_interference(&[InterferenceEstimate {
            service_image: service_image.into(),
            best_effort_image: best_effort_image.into(),
            weight: 0.0,
            variance: 0.0003,
            tail_floor_ms: 0.0,
        }]);
    }

    pub fn load(&self) -> primrosestack_fleet::intake::Load {
        self.shard.load_summary(self.now_ms)
    }

    pub fn name(&self, key: ServerKey) -> String {
        self.shard
            .server(key)
            .expect("the server is known")
            .entry
            .name
            .to_string()
    }
}

pub fn task_id(job: JobId, step: u32, index: u32) -> TaskId {
    TaskId {
        job,
        occurrence: 0,
        step,
        index,
    }
}

pub fn run_status(task: TaskId, run: u32) -> RunStatus {
    RunStatus {
        task,
        run,
        checkpoint: "".into(),
        progress_percent: 50,
        tail_ms_or_cpu_millis: 0,
    }
}

pub fn run_end(number: u64, task: TaskId, run: u32, kind: EndKind) -> RunEnd {
    RunEnd {
        number,
        task,
        run,
        kind,
        checkpoint: "".into(),
    }
}
