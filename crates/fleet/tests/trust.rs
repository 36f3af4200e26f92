//! When a server that failed is given tasks again.

mod common;

use common::{Bench, end, serving_step, step};
use primrosestack_fleet::job::JobId;
use primrosestack_fleet::report::EndKind;

/// Longer than the first suspension of a server, in milliseconds.
const SUSPENSION_MS: u64 = 1_600;

/// A server with long-running tasks of job 1 on which two tasks failed in a row, after its suspension.
fn on_trial() -> (Bench, JobId) {
    let mut bench = Bench::open(&["one"]);
    let serving = bench.submit(1, 0, vec![serving_step(4, "a")]);
    bench.plan();
    bench.confirm();
    let failing = bench.submit(2, 0, vec![step(2)]);
    bench.plan();
    let starts = bench.confirm();
    for (nth, (_, order)) in (1..).zip(starts) {
        bench.end_one("one", &end(nth, order.task, order.run, EndKind::Failed));
    }
    let failed = bench.shard.find_job(failing).expect("the job is known");
    bench.shard.cancel(failed, bench.now_ms);
    bench.now_ms += SUSPENSION_MS;
    bench.keep_running(&[serving]);
    (bench, serving)
}

/// Pattern: long-running tasks stay on a server that failed others. Guards against their counting as the one task that
/// is tried, by which the server got no more work for as long as they stayed (LOST on servers-gone of Ruta Caribe).
#[test]
fn a_server_with_old_runs_is_tried_again() {
    let (mut bench, _) = on_trial();
    bench.submit(3, 0, vec![step(4)]);
    bench.plan();
    assert_eq!(bench.starts.len(), 1, "one task is tried");
    let starts = bench.confirm();
    bench.end_one(
        "one",
        &end(3, starts[0].1.task, starts[0].1.run, EndKind::Done),
    );
    bench.plan();
    assert_eq!(bench.starts.len(), 3, "the server is trusted again");
}

/// Pattern: only long-running tasks wait for a server on trial. Guards against a task that never ends leaving it on trial.
#[test]
fn a_long_running_task_at_work_ends_the_trial() {
    let (mut bench, serving) = on_trial();
    let more = bench.submit(3, 0, vec![serving_step(3, "a")]);
    bench.plan();
    assert_eq!(bench.confirm().len(), 1);
    bench.now_ms += 1_000;
    bench.keep_running(&[serving, more]);
    bench.plan();
    assert!(bench.starts.is_empty(), "it may still fail");
    bench.now_ms += 1_000;
    bench.keep_running(&[serving, more]);
    bench.plan();
    assert_eq!(bench.starts.len(), 2);
}
