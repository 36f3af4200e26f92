//! Crashes of servers in records, delegated tasks and ended jobs.

mod common;

use common::{Harness, entry, run_end, service_step, step, task_id};
use primrosestack_fleet::job::{JobId, JobSpec};
use primrosestack_fleet::record::{Phase, StoredJob, TaskRecord, Transfer};
use primrosestack_fleet::report::{EndKind, ServerEntry};
use primrosestack_fleet::shard::JobStatus;
use test_case::test_case;

/// Time from a crash until the server answers again.
const RESTART_MS: u64 = 3_000;

/// Longest time for which a lease of a silent server can last.
const LAPSE_MS: u64 = 6_000;

fn started_entry(name: &str, started_unix_ms: u64) -> ServerEntry {
    ServerEntry {
        started_unix_ms,
        ..entry(name)
    }
}

/// Guards against a task delegated to a job that its new shard knows waiting for owners that cannot have started it, or
/// not waiting for those that can.
#[test_case(200, 1; "delegated since the term began")]
#[test_case(50, 0; "delegated to an earlier owner")]
fn further_tasks_of_a_known_job_wait_only_if_they_may_run(created_revision: u64, starts: usize) {
    let mut target = Harness::open_term(2, &["gone", "two"], &["two"]);
    target.claim("two");
    target.write_records();
    let id = JobId(7);
    let known = StoredJob {
        spec: Some(JobSpec {
            id: id.0,
            steps: vec![service_step(2, "web")],
            queue: Some(common::queue(0)),
            ..JobSpec::default()
        }),
        is_delegated: true,
        created_revision: 50,
        ..StoredJob::default()
    };
    target.shard.add_job(id, known, target.now_ms);
    let transfer = Transfer {
        tasks: vec![TaskRecord {
            index: 1,
            last_run: 1,
            ..TaskRecord::default()
        }],
    };
    let further = StoredJob {
        transfers: vec![transfer],
        created_revision,
        ..StoredJob::default()
    };
    target.shard.add_job(id, further, target.now_ms);
    target.plan();
    assert_eq!(target.starts.len(), starts);
}

/// Guards against a job staying alive whose delegated task was given up before its home shard changed its owner.
#[test]
fn a_new_owner_fails_a_job_whose_delegated_task_was_given_up() {
    let mut home = Harness::open(&["one"]);
    let id = JobId(7);
    let stored = StoredJob {
        spec: Some(JobSpec {
            id: id.0,
            steps: vec![service_step(1, "web")],
            queue: Some(common::queue(0)),
            ..JobSpec::default()
        }),
        delegates_failed: true,
        created_revision: 50,
        ..StoredJob::default()
    };
    home.shard.add_job(id, stored, home.now_ms);
    home.plan();
    assert!(home.starts.is_empty());
    home.write_records();
    assert_eq!(home.shard.job_status(id), Some(JobStatus::Failed));
}

/// Guards against a cancelled job turning into a failed one because a delegated task was given up at the same time.
#[test]
fn a_cancelled_job_stays_cancelled() {
    let mut home = Harness::open(&["one"]);
    let id = home.submit(7, 0, vec![service_step(1, "web")]);
    let cancelled = StoredJob {
        cancelled: true,
        ..StoredJob::default()
    };
    home.shard.add_job(id, cancelled, home.now_ms);
    let failure = StoredJob {
        delegates_failed: true,
        ..StoredJob::default()
    };
    home.shard.add_job(id, failure, home.now_ms);
    let batch = home.shard.take_batch(home.now_ms);
    assert_eq!(batch.jobs[0].progress.phase(), Phase::Cancelled);
}

/// Entries of the transaction that writes a batch; see `src/daemon/journal.rs`.
fn written_entries(batch: &primrosestack_fleet::ledger::Batch) -> usize {
    let of_jobs = batch.jobs.iter().map(|job| {
        1 + usize::from(job.deletes_spec)
            + usize::from(job.must_tell_home())
            + job.consumed_transfer_keys.len()
    });
    let of_purges = batch
        .purged_jobs
        .iter()
        .map(|&(_, is_delegated)| if is_delegated { 2 } else { 4 });
    of_jobs.sum::<usize>() + of_purges.sum::<usize>()
}

/// Guards against records that no transaction can hold after many delegated jobs were given up at once.
#[test]
fn records_of_failed_delegated_jobs_fit_into_a_transaction() {
    let mut target = Harness::open(&["two"]);
    for id in 1..=40 {
        let stored = StoredJob {
            spec: Some(JobSpec {
                id,
                steps: vec![service_step(1, "web")],
                queue: Some(common::queue(0)),
                ..JobSpec::default()
            }),
            is_delegated: true,
            delegates_failed: true,
            created_revision: 200,
            ..StoredJob::default()
        };
        target.shard.add_job(JobId(id), stored, target.now_ms);
    }
    let batch = target.shard.take_batch(target.now_ms);
    assert!(written_entries(&batch) <= 28);
}

/// Guards against purges that no transaction can hold.
#[test]
fn purges_fit_into_a_transaction() {
    let mut home = Harness::open(&["one"]);
    for id in 1..=40 {
        let job = home.submit(id, 0, vec![step(1)]);
        let key = home.shard.find_job(job).expect("known");
        home.shard.cancel(key, home.now_ms);
    }
    home.write_records();
    home.now_ms += common::BOUNDS.retention_ms;
    home.tick();
    let batch = home.shard.take_batch(home.now_ms);
    assert!(!batch.purged_jobs.is_empty());
    assert!(written_entries(&batch) <= 28);
}

/// Guards against the daemon polling a server with a suspect rarely: it takes no other task meanwhile.
#[test]
fn a_server_with_a_suspect_is_polled_more_often() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    let key = harness.key("one");
    harness.confirm_starts();
    let usual_ms = harness.shard.poll_timing(key, harness.now_ms).wait_ms;
    harness.crash("one");
    harness.plan();
    harness.confirm_starts();
    let wait_ms = harness.shard.poll_timing(key, harness.now_ms).wait_ms;
    assert!(wait_ms < usual_ms);
}

/// Guards against runs that an earlier owner started long ago being suspected.
#[test]
fn adopted_runs_are_not_suspected() {
    let mut harness = Harness::open_term(2, &["one"], &["one"]);
    let job = harness.submit_at(7, 0, vec![service_step(1, "web")], 50);
    let status = common::run_status(task_id(job, 0, 0), 1);
    harness.report("one", &[status], &[]);
    harness.write_records();
    harness.now_ms += RESTART_MS;
    harness.restart("one");
    assert!(harness.recorded_suspects().is_empty());
}

/// Guards against a panic when a server comes back after the jobs of its last runs have been purged.
#[test]
fn a_crash_is_noticed_after_its_jobs_were_purged() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.confirm_starts();
    harness.now_ms += LAPSE_MS;
    harness.tick();
    let key = harness.shard.find_job(job).expect("known");
    harness.shard.cancel(key, harness.now_ms);
    harness.write_records();
    harness.now_ms += common::BOUNDS.retention_ms;
    harness.tick();
    assert_eq!(harness.shard.job_status(job), None);
    harness.restart("one");
}

/// Guards against a job that has ended being shown as failed when the crash of a server is noticed late.
#[test_case(true; "cancelled")]
#[test_case(false; "completed")]
fn an_ended_job_is_not_failed_by_a_late_crash(cancelled: bool) {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.crash("one");
    harness.plan();
    harness.confirm_starts();
    harness.shard.set_server(entry("two"), harness.now_ms);
    harness.now_ms += LAPSE_MS;
    harness.tick();
    harness.claim("two");
    harness.write_records();
    let expected = if cancelled {
        let key = harness.shard.find_job(job).expect("known");
        harness.shard.cancel(key, harness.now_ms);
        JobStatus::Cancelled
    } else {
        harness.plan();
        let run = harness.confirm_starts()[0].1.run;
        let end = run_end(1, task_id(job, 0, 0), run, EndKind::Done);
        harness.report("two", &[], &[end]);
        JobStatus::Completed
    };
    harness.restart("one");
    harness.write_records();
    assert_eq!(harness.shard.job_status(job), Some(expected));
}

/// Guards against crashes that are counted and never recorded.
#[test]
fn a_counted_crash_is_recorded() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.confirm_starts();
    harness.write_records();
    harness.restart("one");
    assert!(harness.shard.batch_due_ms(harness.now_ms).is_some());
    assert_eq!(harness.recorded_suspects(), [job]);
}

/// Guards against a job failing because crashes under one of its tasks are noticed only after that task is done.
#[test]
fn late_crashes_of_a_done_task_do_not_fail_its_job() {
    let mut harness = Harness::open(&["one"]);
    let last = primrosestack_fleet::job::StepSpec {
        after: vec![0],
        ..step(1)
    };
    let job = harness.submit(7, 0, vec![step(1), last]);
    for next in ["two", "three"] {
        harness.plan();
        assert_eq!(harness.confirm_starts().len(), 1);
        harness.shard.set_server(entry(next), harness.now_ms);
        harness.now_ms += LAPSE_MS;
        harness.tick();
        harness.claim(next);
        harness.write_records();
    }
    harness.plan();
    let run = harness.confirm_starts()[0].1.run;
    let end = run_end(1, task_id(job, 0, 0), run, EndKind::Done);
    harness.report("three", &[], &[end]);
    harness.restart("one");
    harness.restart("two");
    harness.write_records();
    assert_eq!(harness.shard.job_status(job), Some(JobStatus::Running));
}

/// Guards against a drained server counting as crashed when the life after it ends before it has answered.
#[test]
fn a_drained_server_that_restarts_twice_raises_no_count() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.confirm_starts();
    harness.write_records();
    let leaving = ServerEntry {
        draining: true,
        ..entry("one")
    };
    harness.shard.set_server(leaving, harness.now_ms);
    harness.now_ms += LAPSE_MS;
    harness.tick();
    for started_unix_ms in [50, 60] {
        let returned = started_entry("one", started_unix_ms);
        harness.shard.set_server(returned, harness.now_ms);
    }
    assert!(harness.recorded_suspects().is_empty());
}
