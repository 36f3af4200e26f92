//! Who waits: patterns of load under which a task must not wait without need.

mod common;

use common::{Harness, best_effort_step, run_end, service_step, step, task_id};
use primrosestack_fleet::action::StartReply;
use primrosestack_fleet::job::JobId;
use primrosestack_fleet::report::EndKind;

/// Pattern: a long-running task fails on the only server with room. Guards against its waiting for ever for another
/// server (LOST on a mixed day of Fichaluz, seed 834500240302).
#[test]
fn a_task_returns_to_the_server_it_failed_on_if_there_is_no_other() {
    let mut harness = Harness::open(&["one", "two"]);
    let full = harness.submit(1, 0, vec![service_step(16, "a")]);
    harness.plan();
    harness.confirm_starts();
    let job = harness.submit(2, 0, vec![service_step(16, "a")]);
    harness.plan();
    let starts = harness.confirm_starts();
    assert_eq!(starts.len(), 16);
    let (server, request) = starts[0].clone();
    let name = harness.name(server);
    harness.report_end(
        &name,
        &run_end(1, request.task, request.run, EndKind::Failed),
    );
    harness.plan();
    assert!(
        harness.starts.is_empty(),
        "another server may get room within a moment"
    );
    for _ in 0..4 {
        harness.now_ms += 500;
        harness.report_running(&[full, job]);
        harness.plan();
    }
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(harness.starts[0].0, server);
}

/// Pattern: urgent work arrives while batch waits. Guards against batch being started first.
#[test]
fn urgent_tasks_are_started_before_batch() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(1, 2, vec![step(30)]);
    harness.submit(2, 0, vec![step(4)]);
    harness.plan();
    let urgent = harness
        .starts
        .iter()
        .take(4)
        .all(|(_, request)| request.task.job == JobId(2));
    assert!(urgent, "the first starts are those of the urgent queue");
    assert_eq!(harness.starts.len(), 16);
}

/// Pattern: long-running tasks wait for room, and short urgent tasks of the same priority arrive. Guards against the
/// room that becomes free going to tasks that keep it, while callers wait (scale-2 of Fichaluz: 98 of 243 in time).
#[test]
fn short_tasks_are_started_before_long_running_ones() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(1, 0, vec![service_step(20, "a")]);
    harness.submit(2, 0, vec![step(2)]);
    harness.plan();
    let short = harness
        .starts
        .iter()
        .filter(|(_, request)| request.task.job == JobId(2))
        .count();
    assert_eq!(short, 2);
}

/// Pattern: serving tasks take the declared room of a server, and filling tasks wait. Guards against filling tasks being
/// counted against room that serving tasks do not use, and against the processors being used up: above 95% of them a fifth
/// of the tails reported on quiet-1 of Fichaluz were above their targets.
#[test]
fn best_effort_tasks_use_capacity_that_service_tasks_leave_idle() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(1, 0, vec![service_step(16, "a")]);
    harness.plan();
    assert_eq!(harness.confirm_starts().len(), 16);
    harness.learn_no_interference("a", "light");
    harness.submit(2, 2, vec![best_effort_step(20, "light")]);
    harness.plan();
    // Without reports, serving tasks are taken to use 45% of their 16 cores.
    assert_eq!(harness.starts.len(), 8);
}

/// Pattern: jobs of one queue compete after a change of owner. Guards against the order of acceptance being lost, by
/// which the oldest job could wait longest.
#[test]
fn jobs_keep_their_order_over_a_change_of_owner() {
    let mut harness = Harness::open_term(2, &[], &["one"]);
    harness.claim("one");
    harness.write_records();
    for (id, accepted_unix_ms) in [(5, 900), (4, 100), (3, 500)] {
        harness.submit_accepted(id, vec![step(16)], accepted_unix_ms, 50);
    }
    harness.plan();
    assert!(
        harness
            .starts
            .iter()
            .all(|(_, request)| request.task.job == JobId(4))
    );
}

/// Pattern: filling tasks that every server keeps away, in a failure domain that is otherwise idle. Guards against a job
/// of which nothing runs for ever (LOST on trouble-2 of Ruta Caribe).
#[test]
fn an_idle_job_gets_one_throttled_task() {
    let mut harness = Harness::open(&["one"]);
    let service = harness.submit(1, 0, vec![service_step(1, "web")]);
    harness.plan();
    harness.confirm_starts();
    harness.learn_strong_interference("heavy");
    let job = harness.submit(2, 2, vec![best_effort_step(3, "heavy")]);
    harness.plan();
    assert!(harness.starts.is_empty());
    harness.now_ms += 2_000;
    harness.report_tails("one", service, 8);
    harness.plan();
    let starts = std::mem::take(&mut harness.starts);
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.task.job, job);
    harness.shard.start_replied(
        starts[0].0,
        &starts[0].1,
        StartReply::Started,
        harness.now_ms,
    );
    harness.plan();
    assert!(
        harness.rates.iter().any(|&(_, _, _, percent)| percent < 20),
        "it works slowly from the start"
    );
}

/// Pattern: a harmless filling image beside a serving one whose tail is high for another reason. Guards against harmless
/// work being refused for a tail that it does not raise.
#[test]
fn harmless_best_effort_tasks_are_not_refused_for_a_high_tail() {
    let mut harness = Harness::open(&["one"]);
    let service = harness.submit(1, 0, vec![service_step(1, "web")]);
    harness.plan();
    harness.confirm_starts();
    harness.learn_no_interference("web", "light");
    for _ in 0..8 {
        harness.now_ms += 500;
        harness.report_tails("one", service, 16);
    }
    harness.submit(2, 2, vec![best_effort_step(2, "light")]);
    harness.plan();
    assert_eq!(harness.starts.len(), 2);
    assert_eq!(harness.starts[0].1.task, task_id(JobId(2), 0, 0));
}

/// Pattern: a stream of short tasks takes all room that becomes free. Guards against a long-running task waiting behind
/// them without an end although room for two like it is free (LOST on scale-2 of Fichaluz).
#[test]
fn a_long_running_task_that_waited_goes_before_short_ones() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(1, 0, vec![step(16)]);
    harness.plan();
    let starts = harness.confirm_starts();
    harness.submit(2, 0, vec![service_step(1, "a")]);
    harness.plan();
    harness.now_ms += 2_000;
    harness.submit(3, 0, vec![step(2)]);
    for (nth, (_, request)) in (1..).zip(&starts[..2]) {
        harness.report_end(
            "one",
            &run_end(nth, request.task, request.run, EndKind::Done),
        );
    }
    harness.plan();
    assert_eq!(harness.starts.len(), 2);
    assert_eq!(harness.starts[0].1.task.job, JobId(2));
}

/// Pattern: all declared room is in use, and long-running tasks wait for more of it than becomes free. Guards against
/// their taking each piece of it before urgent tasks (trouble-3 of Fichaluz: urgent tasks waited up to 13 s).
#[test]
fn urgent_tasks_go_first_where_capacity_is_short() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(1, 0, vec![step(16)]);
    harness.plan();
    let starts = harness.confirm_starts();
    harness.submit(2, 0, vec![service_step(1, "a")]);
    harness.plan();
    harness.now_ms += 5_000;
    harness.submit(3, 0, vec![step(1)]);
    let (_, request) = &starts[0];
    harness.report_end("one", &run_end(1, request.task, request.run, EndKind::Done));
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(harness.starts[0].1.task.job, JobId(3));
}

/// Pattern: more batch than there is room for. Guards against jobs that are late already holding up those that can still
/// be on time, so that all of them are late.
#[test]
fn jobs_that_can_be_on_time_go_before_late_ones() {
    let mut harness = Harness::open(&["one"]);
    for (id, accepted_unix_ms) in [(2, 0), (3, 4_000), (4, 9_500)] {
        harness.submit_accepted(id, vec![step(6)], accepted_unix_ms, 200);
    }
    // The objective is 3 s: job 4 can be on time, job 3 is late, and nobody waits for job 2 any more.
    harness.plan_at(10_000);
    let started_jobs: Vec<u64> = harness
        .starts
        .iter()
        .map(|(_, request)| request.task.job.0)
        .collect();
    assert_eq!(
        started_jobs,
        [[4; 6], [3; 6]]
            .concat()
            .into_iter()
            .chain([2; 4])
            .collect::<Vec<_>>()
    );
}

/// Pattern: thousands of tasks wait after everything was down. Guards against a plan for each report and answer, which
/// used up the processors of owners, so that leases lapsed (LOST on trouble-2 of the grown Fichaluz).
#[test]
fn the_plan_interval_grows_with_waiting_tasks() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(1, 2, vec![step(20)]);
    assert_eq!(harness.shard.plan_interval_min_ms(), 0);
    harness.submit(2, 2, vec![step(3_000)]);
    assert_eq!(harness.shard.plan_interval_min_ms(), 60);
    harness.submit(3, 2, vec![step(10_000)]);
    assert_eq!(harness.shard.plan_interval_min_ms(), 100);
}
