//! Shards of several failure domains, and an advisor that takes its time.

use primrosestack_fleet::action::StartReply;
use primrosestack_fleet::job::{JobId, JobSpec, Queue, StepSpec, TaskId};
use primrosestack_fleet::record::StoredJob;
use primrosestack_fleet::report::{EndKind, ServerEntry};
use primrosestack_standin::advisor::Advisor;
use smol_str::SmolStr;

use crate::common::moves::arrival;
use crate::common::{Harness, entry, queue, run_end};

const STEP_MS: u64 = 10;
const TICK_INTERVAL_MS: u64 = 100;
const LOADS_INTERVAL_MS: u64 = 300;
const MOVES_INTERVAL_MS: u64 = 250;
const POLL_INTERVAL_MS: u64 = 1_000;

/// Time within which a waiting job has to run while most of the capacity is free, by the users' rules.
pub const IDLE_MAX_MS: u64 = 3_000;

/// Time of the advisor for a call, and for each server that it names.
const DECISION_MS: u32 = 40;
const PERIOD_MS: u32 = 5;
const VALID_MS: u64 = 3_000;

fn advised_queue() -> Queue {
    Queue {
        advisor_decision_ms: DECISION_MS,
        advisor_period_ms: PERIOD_MS,
        ..queue(0)
    }
}

/// Some shards, numbered as their failure domains.
pub struct Fleet {
    pub shards: Vec<Harness>,
    pub advisor: Advisor,
    /// Number of starts that are refused for their tickets.
    pub refused_tickets: u32,
    /// Moves of jobs: the shards that they left and came to.
    pub moves: Vec<(usize, usize)>,
    /// Starts: the shard, the server and the task.
    pub starts: Vec<(usize, String, TaskId)>,
    revision: u64,
    specs: Vec<JobSpec>,
}

fn server_name(shard: usize, index: usize) -> String {
    format!("s{shard}-{index:04}")
}

fn domain(shard: usize) -> SmolStr {
    SmolStr::new(shard.to_string())
}

fn index_of(failure_domain: &str) -> usize {
    failure_domain.parse().expect("a number of a shard")
}

/// Opens a shard with some servers, in racks of eight.
fn open_shard(shard: usize, servers: usize) -> Harness {
    let server = |index: usize| ServerEntry {
        labels: vec!["a".into(), format!("r-{shard}-{}", index / 8).into()],
        ..entry(&server_name(shard, index))
    };
    let entries: Vec<ServerEntry> = (0..servers).map(server).collect();
    let mut harness = Harness::open_with(&entries);
    harness.shard.set_queues([advised_queue()]);
    harness
}

impl Fleet {
    /// Opens shards with some servers each.
    pub fn open(servers: &[usize], policy: impl Fn(TaskId, &str) -> bool + 'static) -> Self {
        let shards = 0..servers.len();
        Self {
            shards: shards
                .map(|shard| open_shard(shard, servers[shard]))
                .collect(),
            refused_tickets: 0,
            advisor: Advisor::open(DECISION_MS.into(), PERIOD_MS.into(), policy),
            moves: Vec::new(),
            starts: Vec::new(),
            revision: 200,
            specs: Vec::new(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.shards[0].now_ms
    }

    /// Replaces a shard by one of a new owner, which has read some jobs of it and none of what the advisor has answered.
    pub fn replace_owner(&mut self, shard: usize, servers: usize, jobs: &[JobId]) {
        let mut harness = open_shard(shard, servers);
        harness.now_ms = self.now_ms();
        std::mem::swap(&mut self.shards[shard], &mut harness);
        self.poll_servers();
        self.advisor.forget_host(shard);
        for &job in jobs {
            if harness.shard.find_job(job).is_none() {
                continue;
            }
            let spec = self.specs.iter().find(|spec| spec.id == job.0).cloned();
            self.add_job(shard, job, spec);
        }
    }

    pub fn submit(&mut self, shard: usize, id: u64, steps: Vec<StepSpec>) -> JobId {
        let spec = JobSpec {
            id,
            steps,
            queue: Some(advised_queue()),
            ..JobSpec::default()
        };
        self.specs.push(spec.clone());
        self.add_job(shard, JobId(id), Some(spec));
        JobId(id)
    }

    fn add_job(&mut self, shard: usize, id: JobId, spec: Option<JobSpec>) {
        let stored = StoredJob {
            spec,
            created_revision: self.revision,
            ..StoredJob::default()
        };
        let now_ms = self.now_ms();
        self.shards[shard].shard.add_job(id, stored, now_ms);
    }

    /// Runs until some tasks have started, for at most `for_ms`. Returns how long that took.
    pub fn run_until_started(&mut self, tasks: usize, for_ms: u64) -> Option<u64> {
        let start_ms = self.now_ms();
        while self.now_ms() < start_ms + for_ms {
            self.step();
            if self.starts.len() >= tasks {
                return Some(self.now_ms() - start_ms);
            }
        }
        None
    }

    /// Runs until some tasks have started, and asserts that no job has waited for too long. Returns how long that took.
    pub fn assert_started_in_time(&mut self, tasks: usize) -> u64 {
        let waited_ms = self.run_until_started(tasks, 5 * IDLE_MAX_MS);
        let is_in_time = waited_ms.is_some_and(|waited_ms| waited_ms <= IDLE_MAX_MS);
        assert!(is_in_time, "{waited_ms:?}");
        waited_ms.unwrap_or_default()
    }

    fn step(&mut self) {
        for harness in &mut self.shards {
            harness.now_ms += STEP_MS;
        }
        let now_ms = self.now_ms();
        let is_due = |interval_ms: u64| now_ms.is_multiple_of(interval_ms);
        self.apply_advice();
        if is_due(POLL_INTERVAL_MS) {
            self.poll_servers();
        }
        if is_due(LOADS_INTERVAL_MS) {
            self.exchange_queries();
        }
        for shard in 0..self.shards.len() {
            if is_due(TICK_INTERVAL_MS) {
                self.shards[shard].tick();
                self.delegate(shard);
            }
            if is_due(MOVES_INTERVAL_MS) {
                self.move_jobs(shard);
            }
            self.shards[shard].plan();
            for (task, servers) in std::mem::take(&mut self.shards[shard].advice_calls) {
                self.advisor.ask(shard, task, servers, now_ms);
            }
            self.refuse_tickets(shard);
            let started = self.shards[shard].confirm_starts();
            for (key, request) in started {
                let name = self.shards[shard].name(key);
                self.starts.push((shard, name, request.task));
            }
        }
    }

    fn refuse_tickets(&mut self, shard: usize) {
        let harness = &mut self.shards[shard];
        while self.refused_tickets > 0 {
            let Some((server, request)) = harness.starts.pop() else {
                return;
            };
            self.refused_tickets -= 1;
            let now_ms = harness.now_ms;
            harness
                .shard
                .start_replied(server, &request, StartReply::NoTicket, now_ms);
        }
    }

    fn apply_advice(&mut self) {
        let now_ms = self.now_ms();
        for answer in self.advisor.answers(now_ms) {
            let shard = &mut self.shards[answer.host].shard;
            match answer.tickets {
                Some(tickets) => shard.set_tickets(answer.task, &tickets, VALID_MS, now_ms),
                None => shard.advice_failed(answer.task, now_ms),
            }
        }
    }

    /// All servers report the runs that their shard expects.
    fn poll_servers(&mut self) {
        for harness in &mut self.shards {
            for key in harness.shard.server_keys() {
                let name = harness.name(key);
                let runs = harness.shard.runs_on(key);
                let jobs: Vec<JobId> = runs.into_iter().map(|(task, _)| task.job).collect();
                harness.report_running_on(&name, &jobs);
            }
        }
    }

    /// The oldest start ends.
    pub fn end_started(&mut self) {
        let (shard, name, task) = self.starts[0].clone();
        let harness = &mut self.shards[shard];
        let runs = harness.shard.runs_on(harness.key(&name));
        let run = runs.into_iter().find(|(known, _)| *known == task);
        let (_, run) = run.expect("the run");
        harness.report_end(&name, &run_end(1, task, run, EndKind::Done));
        harness.write_records();
    }

    fn exchange_queries(&mut self) {
        let now_ms = self.now_ms();
        for asking in 0..self.shards.len() {
            let queries = self.shards[asking]
                .shard
                .take_advice_queries(usize::MAX, now_ms);
            for answering in (0..self.shards.len()).filter(|&other| other != asking) {
                let shard = &mut self.shards[answering].shard;
                let answers = shard.answer_advice_queries(&queries, now_ms);
                let shard = &mut self.shards[asking].shard;
                shard.apply_advice_answers(&domain(answering), &answers, now_ms);
            }
        }
    }

    fn loads_for(&self, shard: usize) -> Vec<(SmolStr, primrosestack_fleet::intake::Load)> {
        let others = (0..self.shards.len())
            .filter(|&other| other != shard && !self.shards[other].shard.is_evacuated());
        others
            .map(|other| (domain(other), self.shards[other].load()))
            .collect()
    }

    fn move_jobs(&mut self, from: usize) {
        let now_ms = self.now_ms();
        loop {
            let mut others = self.loads_for(from);
            let source = &mut self.shards[from].shard;
            let Some(job_move) = source.take_job_move(&mut others, now_ms) else {
                return;
            };
            self.revision += 1;
            source.job_moved(job_move.key, self.revision, now_ms);
            let to = index_of(&job_move.failure_domain);
            let stored = arrival(&job_move, self.revision);
            self.shards[to].shard.add_job(job_move.id, stored, now_ms);
            self.moves.push((from, to));
        }
    }

    /// Delegates tasks, and has the delegates read what the home writes.
    fn delegate(&mut self, from: usize) {
        let now_ms = self.now_ms();
        let mut others = self.loads_for(from);
        if !self.shards[from].shard.delegate_tasks(&mut others, now_ms) {
            return;
        }
        let batch = self.shards[from].shard.take_batch(now_ms);
        for record in &batch.jobs {
            for (failure_domain, transfer) in &record.transfers {
                self.revision += 1;
                let stored = StoredJob {
                    spec: record.spec.clone(),
                    is_delegated: true,
                    transfers: vec![transfer.clone()],
                    created_revision: self.revision,
                    ..StoredJob::default()
                };
                let to = index_of(failure_domain);
                self.moves.push((from, to));
                self.shards[to].shard.add_job(record.id, stored, now_ms);
            }
        }
        self.shards[from].shard.batch_written(&batch);
    }
}
