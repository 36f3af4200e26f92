//! Suspension and trial of servers after failures.

mod common;

use common::{Harness, best_effort_step, run_end, run_status, service_step, step};
use primrosestack_fleet::job::{JobId, StepSpec};
use primrosestack_fleet::report::{EndKind, RunStatus};
use test_case::test_case;

/// Longer than the first suspension of a server.
const SUSPENSION_MS: u64 = 1_600;

/// A server with long-running tasks of job 1, after the suspension for two failures in a row has ended.
fn on_trial() -> (Harness, JobId) {
    let mut harness = Harness::open(&["one"]);
    let service = harness.submit(1, 0, vec![service_step(4, "a")]);
    harness.plan();
    harness.confirm_starts();
    let failing = harness.submit(2, 0, vec![step(2)]);
    harness.plan();
    let starts = harness.confirm_starts();
    for (number, (_, request)) in (1..).zip(starts) {
        harness.report_end(
            "one",
            &run_end(number, request.task, request.run, EndKind::Failed),
        );
    }
    let failed = harness.shard.find_job(failing).expect("the job is known");
    harness.shard.cancel(failed, harness.now_ms);
    harness.now_ms += SUSPENSION_MS;
    harness.report_running(&[service]);
    (harness, service)
}

/// Guards against a long-running task started before the suspension being counted as the trial run: the server then got
/// no work for as long as that task ran.
#[test]
fn a_server_with_old_runs_is_tried_again() {
    let (mut harness, _) = on_trial();
    harness.submit(3, 0, vec![step(4)]);
    harness.plan();
    assert_eq!(harness.starts.len(), 1, "a server on trial gets one task");
    let starts = harness.confirm_starts();
    harness.report_end(
        "one",
        &run_end(3, starts[0].1.task, starts[0].1.run, EndKind::Done),
    );
    harness.plan();
    assert_eq!(harness.starts.len(), 3, "the trial has ended");
}

/// Guards against a server staying on trial because its trial run is a long-running task, which never ends.
#[test]
fn a_serving_task_ends_the_trial() {
    let (mut harness, service) = on_trial();
    let trial_job = harness.submit(3, 0, vec![service_step(3, "a")]);
    harness.plan();
    assert_eq!(harness.confirm_starts().len(), 1);
    harness.now_ms += 1_000;
    harness.report_running(&[service, trial_job]);
    harness.plan();
    assert!(harness.starts.is_empty(), "the run may still fail");
    harness.now_ms += 1_000;
    harness.report_running(&[service, trial_job]);
    harness.plan();
    assert_eq!(harness.starts.len(), 2);
}

/// Guards against a server staying closed to all other tasks because its trial run is a best-effort task that is halted.
#[test]
fn a_halted_task_does_not_keep_a_server_on_trial() {
    let (mut harness, service) = on_trial();
    harness.report_tails("one", service, 5);
    harness.submit(3, 2, vec![best_effort_step(1, "batch")]);
    harness.plan();
    assert_eq!(harness.confirm_starts().len(), 1, "the trial run");
    for _ in 0..6 {
        harness.now_ms += 400;
        harness.report_tails("one", service, 40);
    }
    assert_eq!(harness.rates.last().map(|rate| rate.3), Some(0));
    harness.submit(4, 0, vec![service_step(1, "web")]);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Starts a trial run of a minute and one more task, reports the progress of the run each 400 ms and returns the number
/// of further starts.
fn starts_beside_trial_run(progress_percents: impl IntoIterator<Item = u32>) -> usize {
    let (mut harness, service) = on_trial();
    let minute = StepSpec {
        estimate_ms: 60_000,
        ..step(1)
    };
    let trial_job = harness.submit(3, 0, vec![minute]);
    harness.submit(4, 0, vec![service_step(1, "web")]);
    harness.plan();
    assert_eq!(harness.confirm_starts().len(), 1, "the trial run");
    for progress_percent in progress_percents {
        harness.now_ms += 400;
        let runs = harness.shard.runs_on(harness.key("one"));
        let statuses: Vec<RunStatus> = runs
            .into_iter()
            .filter(|(task, _)| [service, trial_job].contains(&task.job))
            .map(|(task, run)| RunStatus {
                progress_percent: if task.job == service {
                    100
                } else {
                    progress_percent
                },
                ..run_status(task, run)
            })
            .collect();
        harness.report("one", &statuses, &[]);
        harness.plan();
    }
    harness.starts.len()
}

/// Guards against a server getting no other task for as long as its trial run takes, a minute here.
#[test]
fn a_trial_run_that_progresses_ends_the_trial() {
    assert_eq!(starts_beside_trial_run([0, 1, 2]), 0, "it may still fail");
    assert_eq!(starts_beside_trial_run([0, 1, 2, 3]), 1);
}

/// Guards against a server on which tasks stand still passing its trial, also with a run that goes on from a checkpoint.
#[test_case([0; 6]; "from the beginning")]
#[test_case([40; 6]; "from a checkpoint")]
#[test_case([0, 40, 40, 40, 40, 40]; "first report before the checkpoint was restored")]
fn a_trial_run_that_stands_still_does_not_end_the_trial(progress_percents: [u32; 6]) {
    assert_eq!(starts_beside_trial_run(progress_percents), 0);
}
