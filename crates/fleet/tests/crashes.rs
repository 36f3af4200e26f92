//! Tasks that crash the servers they start on.

mod common;

use common::{Harness, entry, service_step, step};
use primrosestack_fleet::job::{JobId, JobSpec, StepSpec};
use primrosestack_fleet::record::{Progress, StoredJob};
use primrosestack_fleet::report::ServerEntry;
use primrosestack_fleet::shard::JobStatus;
use test_case::test_case;

/// Time from a crash until the server answers again.
const RESTART_MS: u64 = 3_000;

/// Longest time for which a lease of a silent server can last.
const LAPSE_MS: u64 = 6_000;

/// Crashes the server that has just started a task, and returns the server's name.
fn crash_after_start(harness: &mut Harness) -> String {
    let starts = harness.confirm_starts();
    let (server, _) = starts.last().expect("a task was started").clone();
    let name = harness.name(server);
    harness.now_ms += RESTART_MS;
    for key in harness.shard.server_keys() {
        let other = harness.name(key);
        if other != name {
            let jobs: Vec<JobId> = (1..9).map(JobId).collect();
            harness.report_running_on(&other, &jobs);
        }
    }
    harness.restart(&name);
    harness.write_records();
    harness.claim(&name);
    harness.plan();
    name
}

fn last_progress(harness: &mut Harness, id: JobId) -> Progress {
    let batch = harness.shard.take_batch(harness.now_ms);
    let record = batch.jobs.iter().find(|record| record.id == id);
    let progress = record.expect("the job has a record").progress.clone();
    harness.shard.batch_written(&batch);
    progress
}

/// Guards against one task crashing server after server: it was started again without limit.
#[test_case(step(1); "a short task")]
#[test_case(service_step(1, "web"); "a long-running task")]
fn a_task_that_crashes_its_servers_is_given_up(step: StepSpec) {
    let mut harness = Harness::open(&["one", "two", "three"]);
    let job = harness.submit(7, 0, vec![step]);
    harness.plan();
    let mut crashes = 0;
    while !harness.starts.is_empty() {
        crash_after_start(&mut harness);
        crashes += 1;
        assert!(crashes < 5, "the task is started without limit");
    }
    assert_eq!(crashes, 2, "it was the only suspect twice");
    assert_eq!(harness.shard.job_status(job), Some(JobStatus::Failed));
}

/// Guards against giving up tasks that ran on the server when another task crashed it.
#[test]
fn tasks_that_ran_before_the_crash_are_not_suspected() {
    let mut harness = Harness::open(&["one"]);
    let innocent = harness.submit(1, 0, vec![service_step(2, "web")]);
    harness.plan();
    harness.confirm_starts();
    harness.now_ms += 1_000;
    harness.report_running(&[innocent]);
    let crashing = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.confirm_starts();
    harness.write_records();
    harness.now_ms += RESTART_MS;
    harness.restart("one");
    let batch = harness.shard.take_batch(harness.now_ms);
    let suspected: Vec<JobId> = batch
        .jobs
        .iter()
        .filter(|record| {
            let mut tasks = record.progress.tasks.iter();
            tasks.any(|task| !task.crashed_runs.is_empty())
        })
        .map(|record| record.id)
        .collect();
    assert_eq!(suspected, [crashing]);
}

/// Guards against two suspects of a crash starting on one server again: the next crash would not tell which it is.
#[test]
fn suspects_of_a_crash_start_on_separate_servers() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(7, 0, vec![step(3)]);
    harness.plan();
    assert_eq!(harness.starts.len(), 3);
    crash_after_start(&mut harness);
    assert_eq!(harness.starts.len(), 1, "one suspect at a time");
    harness.shard.set_server(entry("two"), harness.now_ms);
    harness.claim("two");
    harness.write_records();
    harness.plan();
    assert_eq!(harness.starts.len(), 2, "one on each server");
}

/// Guards against a task being given up for crashes of servers on which it outlived its start.
#[test]
fn a_task_that_outlives_its_start_is_no_longer_suspected() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![service_step(1, "web")]);
    harness.plan();
    for _ in 0..4 {
        crash_after_start(&mut harness);
        harness.confirm_starts();
        harness.now_ms += 600;
        harness.report_running(&[job]);
        harness.now_ms += RESTART_MS;
        harness.restart("one");
        harness.claim("one");
        harness.plan();
    }
    assert_eq!(harness.shard.job_status(job), Some(JobStatus::Running));
}

/// Guards against other tasks starting beside a suspect, which then seem to have crashed the server, and against the
/// server getting no work after the suspect has outlived its start.
#[test]
fn nothing_starts_beside_a_suspect() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![service_step(1, "web")]);
    harness.plan();
    crash_after_start(&mut harness);
    harness.confirm_starts();
    harness.submit(8, 0, vec![step(1)]);
    harness.plan();
    assert!(harness.starts.is_empty());
    harness.now_ms += 600;
    harness.report_running(&[job]);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against the count beginning anew with each change of owner.
#[test]
fn crashes_are_counted_across_a_change_of_owner() {
    let mut harness = Harness::open(&["one", "two"]);
    let steps = vec![step(1)];
    let job = harness.submit(7, 0, steps.clone());
    harness.plan();
    let starts = harness.confirm_starts();
    let crashed = harness.name(starts[0].0);
    harness.now_ms += RESTART_MS;
    harness.restart(&crashed);
    let progress = last_progress(&mut harness, job);

    let mut successor = Harness::open_term(2, &[], &["one", "two"]);
    let stored = StoredJob {
        spec: Some(JobSpec {
            id: job.0,
            steps,
            queue: Some(common::queue(0)),
            ..JobSpec::default()
        }),
        progress: Some(progress),
        created_revision: 50,
        ..StoredJob::default()
    };
    successor.shard.add_job(job, stored, successor.now_ms);
    successor.claim("one");
    successor.claim("two");
    successor.write_records();
    successor.plan();
    crash_after_start(&mut successor);
    assert_eq!(successor.shard.job_status(job), Some(JobStatus::Failed));
}

/// Guards against crashes not being counted when the server is back only after its lease, or its registration as well,
/// has expired.
#[test_case(false; "still registered")]
#[test_case(true; "no longer registered")]
fn a_crash_is_counted_when_the_server_is_back_late(unregistered: bool) {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    let started_entry = |started_unix_ms| ServerEntry {
        started_unix_ms,
        ..entry("one")
    };
    for crash in 0..2 {
        harness.plan();
        assert_eq!(
            harness.confirm_starts().len(),
            1,
            "start before crash {crash}"
        );
        if unregistered {
            harness.shard.unregister_server("one");
        }
        harness.now_ms += LAPSE_MS;
        harness.tick();
        harness
            .shard
            .set_server(started_entry(10 + crash), harness.now_ms);
        harness.claim("one");
        harness.write_records();
        harness.claim("one");
    }
    assert_eq!(harness.shard.job_status(job), Some(JobStatus::Failed));
}

/// Guards against a server that leaves as announced, or was only out of reach, counting as crashed.
#[test_case(true; "drained")]
#[test_case(false; "out of reach")]
fn a_server_that_did_not_crash_raises_no_count(draining: bool) {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    for _ in 0..4 {
        harness.plan();
        assert_eq!(harness.confirm_starts().len(), 1);
        if draining {
            let leaving = ServerEntry {
                draining,
                ..entry("one")
            };
            harness.shard.set_server(leaving, harness.now_ms);
            harness.restart("one");
            harness.shard.set_server(entry("one"), harness.now_ms);
        } else {
            harness.now_ms += LAPSE_MS;
            harness.tick();
        }
        harness.claim("one");
        harness.write_records();
    }
    assert_eq!(harness.shard.job_status(job), Some(JobStatus::Running));
}
