//! Move of jobs away from a failure domain whose servers stay full.

mod common;

use common::moves::{MOVE_WAIT_MS, arrival, other, tick_until_move};
use common::{Harness, entry, service_step, step};
use primrosestack_fleet::intake::Load;
use primrosestack_fleet::job::{JobId, StepSpec};
use primrosestack_fleet::rehome::JobMove;
use primrosestack_fleet::report::ServerEntry;
use smol_str::SmolStr;
use test_case::test_case;

fn gang() -> StepSpec {
    StepSpec {
        gang: true,
        ..step(4)
    }
}

/// A home of one server with 16 cores, and what waits there.
fn full_home(running: StepSpec, waiting: StepSpec) -> (Harness, [JobId; 2]) {
    let mut source = Harness::open(&["one"]);
    let first = source.submit(7, 0, vec![running]);
    source.plan();
    assert_eq!(source.confirm_starts().len(), 16);
    let second = source.submit(8, 0, vec![waiting]);
    (source, [first, second])
}

/// Ticks for a while, with reports of all runs, and returns the first job that has to move and after how long.
fn move_from_full_home(
    source: &mut Harness,
    jobs: &[JobId],
    others: &[(SmolStr, Load)],
    for_ms: u64,
) -> Option<(JobMove, u64)> {
    let start_ms = source.now_ms;
    while source.now_ms < start_ms + for_ms {
        source.report_running(jobs);
        if let Some(taken) = tick_until_move(source, others, 500) {
            return Some((taken, source.now_ms - start_ms));
        }
    }
    None
}

/// Guards against a short job, or a gang, waiting for as long as its home is full, which may be for ever, while servers of
/// another failure domain are idle.
#[test_case(&service_step(16, "web"), &step(4); "full of long-running tasks")]
#[test_case(&step(16), &step(4); "full of short tasks")]
#[test_case(&service_step(16, "web"), &gang(); "gang")]
fn a_job_leaves_a_home_that_stays_full(running: &StepSpec, waiting: &StepSpec) {
    let (mut source, jobs) = full_home(running.clone(), waiting.clone());
    let others = [other(&["two"])];
    let moved = move_from_full_home(&mut source, &jobs, &others, 2 * MOVE_WAIT_MS);
    let (job_move, waited_ms) = moved.expect("the job moves");
    assert_eq!(job_move.id, jobs[1]);
    assert!(waited_ms >= 3_000, "most short tasks end before that");
    let mut target = Harness::open(&["two"]);
    let stored = arrival(&job_move, 200);
    target.shard.add_job(job_move.id, stored, target.now_ms);
    target.plan();
    assert_eq!(target.confirm_starts().len(), 4);
}

/// Guards against jobs that go to and fro between full failure domains, or to one whose free capacity its own tasks wait for.
#[test_case(step(16); "no room")]
#[test_case(step(15); "less room than is waited for")]
fn no_job_leaves_a_full_home_for_one_without_spare_capacity(running: StepSpec) {
    let (mut source, jobs) = full_home(step(16), step(4));
    let mut target = Harness::open(&["two"]);
    target.submit(9, 0, vec![running]);
    target.plan();
    target.confirm_starts();
    let large = StepSpec {
        cpu_millis: 2_000,
        ..step(1)
    };
    target.submit(10, 0, vec![large]);
    let others = [("cxs".into(), target.load())];
    let moved = move_from_full_home(&mut source, &jobs, &others, 10_000);
    assert!(moved.is_none());
}

/// Guards against an owner that compares all of thousands of waiting jobs with all loads in each pass, and against a job that
/// never leaves since many before it fit nowhere.
#[test]
fn a_job_behind_many_that_fit_nowhere_leaves_a_full_home() {
    let mut source = Harness::open(&["one"]);
    source.submit(7, 0, vec![service_step(16, "web")]);
    source.plan();
    source.confirm_starts();
    for id in 0..300 {
        let large = StepSpec {
            cpu_millis: 12_000,
            ..step(1)
        };
        source.submit(100 + id, 0, vec![large]);
    }
    let last = source.submit(1_000, 0, vec![step(1)]);
    let small = ServerEntry {
        cpu_millis: 8_000,
        ..entry("two")
    };
    let others = [("cxs".into(), Harness::open_with(&[small]).load())];
    let moved = move_from_full_home(&mut source, &[JobId(7)], &others, 2 * MOVE_WAIT_MS);
    assert_eq!(moved.expect("the job moves").0.id, last);
}

/// Guards against a job that leaves a full home while a run of it may exist there.
#[test]
fn no_job_with_a_run_leaves_a_full_home() {
    let mut source = Harness::open(&["one"]);
    let job = source.submit(7, 0, vec![step(17)]);
    source.plan();
    assert_eq!(source.confirm_starts().len(), 16);
    let others = [other(&["two"])];
    let moved = move_from_full_home(&mut source, &[job], &others, 10_000);
    assert!(moved.is_none());
}
