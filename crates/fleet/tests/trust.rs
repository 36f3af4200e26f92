//! When a server that failed is given tasks again.

mod common;

use common::{Harness, run_end, service_step, step};
use primrosestack_fleet::job::JobId;
use primrosestack_fleet::report::EndKind;

/// Longer than the first suspension of a server, in milliseconds.
const SUSPENSION_MS: u64 = 1_600;

/// A server with long-running tasks of job 1 on which two tasks failed in a row, after its suspension.
fn on_trial() -> (Harness, JobId) {
    let mut harness = Harness::open(&["one"]);
    let service = harness.submit(1, 0, vec![service_step(4, "a")]);
    harness.plan();
    harness.confirm_starts();
    let failing = harness.submit(2, 0, vec![step(2)]);
    harness.plan();
    let starts = harness.confirm_starts();
    for (nth, (_, request)) in (1..).zip(starts) {
        harness.report_end(
            "one",
            &run_end(nth, request.task, request.run, EndKind::Failed),
        );
    }
    let failed = harness.shard.find_job(failing).expect("the job is known");
    harness.shard.cancel(failed, harness.now_ms);
    harness.now_ms += SUSPENSION_MS;
    harness.report_running(&[service]);
    (harness, service)
}

/// Pattern: long-running tasks stay on a server that failed others. Guards against their counting as the one task that
/// is tried, by which the server got no more work for as long as they stayed (LOST on servers-gone of Ruta Caribe).
#[test]
fn a_server_with_old_runs_is_tried_again() {
    let (mut harness, _) = on_trial();
    harness.submit(3, 0, vec![step(4)]);
    harness.plan();
    assert_eq!(harness.starts.len(), 1, "one task is tried");
    let starts = harness.confirm_starts();
    harness.report_end(
        "one",
        &run_end(3, starts[0].1.task, starts[0].1.run, EndKind::Done),
    );
    harness.plan();
    assert_eq!(harness.starts.len(), 3, "the server is trusted again");
}

/// Pattern: only long-running tasks wait for a server on trial. Guards against a task that never ends leaving it on trial.
#[test]
fn a_long_running_task_at_work_ends_the_trial() {
    let (mut harness, service) = on_trial();
    let more = harness.submit(3, 0, vec![service_step(3, "a")]);
    harness.plan();
    assert_eq!(harness.confirm_starts().len(), 1);
    harness.now_ms += 1_000;
    harness.report_running(&[service, more]);
    harness.plan();
    assert!(harness.starts.is_empty(), "it may still fail");
    harness.now_ms += 1_000;
    harness.report_running(&[service, more]);
    harness.plan();
    assert_eq!(harness.starts.len(), 2);
}
