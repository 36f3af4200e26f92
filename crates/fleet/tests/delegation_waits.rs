//! Waits of long-running tasks that are delegated from one failure domain to another.

mod common;

use std::collections::VecDeque;

use common::{Harness, run_end, service_step, step};
use primrosestack_fleet::action::StartRequest;
use primrosestack_fleet::job::JobId;
use primrosestack_fleet::record::StoredJob;
use primrosestack_fleet::report::EndKind;
use smol_str::SmolStr;

const STEP_MS: u64 = 200;

/// The service contract asks for a run of a task 6 s after its last one, and allows 3 s more; the server was away for 3 s.
const WAIT_MAX_MS: u64 = 9_000 - 3_000;

const LONG_RUNNING: JobId = JobId(7);

/// Failure domain with a free server on which a short task starts at each step.
struct BusyDomain {
    name: &'static str,
    server: &'static str,
    harness: Harness,
    /// Short tasks that run, oldest first.
    short: VecDeque<StartRequest>,
    ends: u64,
}

impl BusyDomain {
    fn open(name: &'static str, server: &'static str) -> Self {
        Self {
            name,
            server,
            harness: Harness::open(&[server]),
            short: VecDeque::new(),
            ends: 0,
        }
    }

    /// Ends the short task of the step before the last and starts another one. Returns whether the long-running task was started.
    fn step(&mut self) -> bool {
        self.harness.now_ms += STEP_MS;
        if self.short.len() > 1
            && let Some(short) = self.short.pop_front()
        {
            self.ends += 1;
            let end = run_end(self.ends, short.task, short.run, EndKind::Done);
            self.harness.report_end(self.server, &end);
        } else {
            let jobs: Vec<JobId> = self.short.iter().map(|start| start.task.job).collect();
            self.harness.report_running(&jobs);
        }
        self.harness.write_records();
        self.harness
            .submit(100 + self.harness.now_ms, 0, vec![step(1)]);
        self.harness.plan();
        let mut is_started = false;
        for (_, request) in self.harness.confirm_starts() {
            if request.task.job == LONG_RUNNING {
                is_started = true;
            } else {
                self.short.push_back(request);
            }
        }
        is_started
    }

    fn delegate_to(&mut self, other: &mut Self) {
        let mut others = vec![(SmolStr::new(other.name), other.harness.load())];
        let now_ms = self.harness.now_ms;
        if !self.harness.shard.delegate_tasks(&mut others, now_ms) {
            return;
        }
        let batch = self.harness.shard.take_batch(now_ms);
        for record in batch.jobs.iter().filter(|job| job.id == LONG_RUNNING) {
            let transfers = record.transfers.iter();
            let stored = StoredJob {
                spec: record.spec.clone(),
                is_delegated: other.name != "poa",
                transfers: transfers.map(|(_, transfer)| transfer.clone()).collect(),
                created_revision: 200,
                ..StoredJob::default()
            };
            let shard = &mut other.harness.shard;
            shard.add_job(LONG_RUNNING, stored, other.harness.now_ms);
        }
        self.harness.shard.batch_written(&batch);
    }
}

/// Guards against a long-running task that goes from one failure domain to another and back although both have room: it may
/// have crashed a server, waits for one without recent starts, and is delegated before that wait is over.
#[test]
fn a_suspected_task_starts_beside_others_before_it_goes_round() {
    let mut home = BusyDomain::open("poa", "one");
    let mut other = BusyDomain::open("cxs", "two");
    home.harness
        .submit(LONG_RUNNING.0, 0, vec![service_step(1, "web")]);
    home.harness.plan();
    home.harness.crash("one");
    other.harness.now_ms = home.harness.now_ms;
    other.harness.claim("two");
    let end_ms = home.harness.now_ms + WAIT_MAX_MS;
    while !(home.step() || other.step()) {
        home.delegate_to(&mut other);
        other.delegate_to(&mut home);
        assert!(
            home.harness.now_ms < end_ms,
            "no run after {WAIT_MAX_MS} ms"
        );
    }
}
