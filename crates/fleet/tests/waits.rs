//! Who waits: patterns of load under which a task must not wait without need.

mod common;

use common::{Bench, end, filling_step, serving_step, step, task};
use primrosestack_fleet::action::StartReply;
use primrosestack_fleet::job::JobId;
use primrosestack_fleet::report::EndKind;

/// Pattern: a long-running task fails on the only server with room. Guards against its waiting for ever for another
/// server (LOST on a mixed day of Fichaluz, seed 834500240302).
#[test]
fn a_task_returns_to_the_server_it_failed_on_if_there_is_no_other() {
    let mut bench = Bench::open(&["one", "two"]);
    let full = bench.submit(1, 0, vec![serving_step(16, "a")]);
    bench.plan();
    bench.confirm();
    let job = bench.submit(2, 0, vec![serving_step(16, "a")]);
    bench.plan();
    let starts = bench.confirm();
    assert_eq!(starts.len(), 16);
    let (server, order) = starts[0].clone();
    let name = bench.name(server);
    bench.end_one(&name, &end(1, order.task, order.run, EndKind::Failed));
    bench.plan();
    assert!(
        bench.starts.is_empty(),
        "another server may get room within a moment"
    );
    for _ in 0..4 {
        bench.now_ms += 500;
        bench.keep_running(&[full, job]);
        bench.plan();
    }
    assert_eq!(bench.starts.len(), 1);
    assert_eq!(bench.starts[0].0, server);
}

/// Pattern: urgent work arrives while batch waits. Guards against batch being started first.
#[test]
fn urgent_tasks_are_started_before_batch() {
    let mut bench = Bench::open(&["one"]);
    bench.submit(1, 2, vec![step(30)]);
    bench.submit(2, 0, vec![step(4)]);
    bench.plan();
    let urgent = bench
        .starts
        .iter()
        .take(4)
        .all(|(_, order)| order.task.job == JobId(2));
    assert!(urgent, "the first starts are those of the urgent queue");
    assert_eq!(bench.starts.len(), 16);
}

/// Pattern: long-running tasks wait for room, and short urgent tasks of the same priority arrive. Guards against the
/// room that becomes free going to tasks that keep it, while callers wait (scale-2 of Fichaluz: 98 of 243 in time).
#[test]
fn short_tasks_are_started_before_long_running_ones() {
    let mut bench = Bench::open(&["one"]);
    bench.submit(1, 0, vec![serving_step(20, "a")]);
    bench.submit(2, 0, vec![step(2)]);
    bench.plan();
    let short = bench
        .starts
        .iter()
        .filter(|(_, order)| order.task.job == JobId(2))
        .count();
    assert_eq!(short, 2);
}

/// Pattern: serving tasks take the declared room of a server, and filling tasks wait. Guards against filling tasks being
/// counted against room that serving tasks do not use, and against the processors being used up: above 95% of them a fifth
/// of the tails reported on quiet-1 of Fichaluz were above their targets.
#[test]
fn filling_tasks_use_the_room_that_serving_tasks_declare() {
    let mut bench = Bench::open(&["one"]);
    bench.submit(1, 0, vec![serving_step(16, "a")]);
    bench.plan();
    assert_eq!(bench.confirm().len(), 16);
    bench.teach_harmless("a", "light");
    bench.submit(2, 2, vec![filling_step(20, "light")]);
    bench.plan();
    // Without reports, serving tasks are taken to use 45% of their 16 cores.
    assert_eq!(bench.starts.len(), 8);
}

/// Pattern: jobs of one queue compete after a change of owner. Guards against the order of acceptance being lost, by
/// which the oldest job could wait longest.
#[test]
fn jobs_keep_their_order_over_a_change_of_owner() {
    let mut bench = Bench::open_era(2, &[], &["one"]);
    bench.claim("one");
    bench.record();
    for (id, accepted_unix_ms) in [(5, 900), (4, 100), (3, 500)] {
        bench.submit_accepted(id, vec![step(16)], accepted_unix_ms, 50);
    }
    bench.plan();
    assert!(
        bench
            .starts
            .iter()
            .all(|(_, order)| order.task.job == JobId(4))
    );
}

/// Pattern: filling tasks that every server keeps away, in a failure domain that is otherwise idle. Guards against a job
/// of which nothing runs for ever (LOST on trouble-2 of Ruta Caribe).
#[test]
fn a_job_of_which_nothing_runs_gets_one_slow_task_going() {
    let mut bench = Bench::open(&["one"]);
    let serving = bench.submit(1, 0, vec![serving_step(1, "web")]);
    bench.plan();
    bench.confirm();
    bench.teach_harm("heavy");
    let job = bench.submit(2, 2, vec![filling_step(3, "heavy")]);
    bench.plan();
    assert!(bench.starts.is_empty());
    bench.now_ms += 2_000;
    bench.serve("one", serving, 8);
    bench.plan();
    let starts = std::mem::take(&mut bench.starts);
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.task.job, job);
    bench
        .shard
        .start_replied(starts[0].0, &starts[0].1, StartReply::Started, bench.now_ms);
    bench.plan();
    assert!(
        bench.paces.iter().any(|&(_, _, _, percent)| percent < 20),
        "it works slowly from the start"
    );
}

/// Pattern: a harmless filling image beside a serving one whose tail is high for another reason. Guards against harmless
/// work being refused for a tail that it does not raise.
#[test]
fn harmless_filling_tasks_are_not_refused_for_a_high_tail() {
    let mut bench = Bench::open(&["one"]);
    let serving = bench.submit(1, 0, vec![serving_step(1, "web")]);
    bench.plan();
    bench.confirm();
    bench.teach_harmless("web", "light");
    for _ in 0..8 {
        bench.now_ms += 500;
        bench.serve("one", serving, 16);
    }
    bench.submit(2, 2, vec![filling_step(2, "light")]);
    bench.plan();
    assert_eq!(bench.starts.len(), 2);
    assert_eq!(bench.starts[0].1.task, task(JobId(2), 0, 0));
}

/// Pattern: a stream of short tasks takes all room that becomes free. Guards against a long-running task waiting behind
/// them without an end although room for two like it is free (LOST on scale-2 of Fichaluz).
#[test]
fn a_long_running_task_that_waited_goes_before_short_ones() {
    let mut bench = Bench::open(&["one"]);
    bench.submit(1, 0, vec![step(16)]);
    bench.plan();
    let starts = bench.confirm();
    bench.submit(2, 0, vec![serving_step(1, "a")]);
    bench.plan();
    bench.now_ms += 2_000;
    bench.submit(3, 0, vec![step(2)]);
    for (nth, (_, order)) in (1..).zip(&starts[..2]) {
        bench.end_one("one", &end(nth, order.task, order.run, EndKind::Done));
    }
    bench.plan();
    assert_eq!(bench.starts.len(), 2);
    assert_eq!(bench.starts[0].1.task.job, JobId(2));
}

/// Pattern: all declared room is in use, and long-running tasks wait for more of it than becomes free. Guards against
/// their taking each piece of it before urgent tasks (trouble-3 of Fichaluz: urgent tasks waited up to 13 s).
#[test]
fn urgent_tasks_go_first_where_room_is_short() {
    let mut bench = Bench::open(&["one"]);
    bench.submit(1, 0, vec![step(16)]);
    bench.plan();
    let starts = bench.confirm();
    bench.submit(2, 0, vec![serving_step(1, "a")]);
    bench.plan();
    bench.now_ms += 5_000;
    bench.submit(3, 0, vec![step(1)]);
    let (_, order) = &starts[0];
    bench.end_one("one", &end(1, order.task, order.run, EndKind::Done));
    bench.plan();
    assert_eq!(bench.starts.len(), 1);
    assert_eq!(bench.starts[0].1.task.job, JobId(3));
}

/// Pattern: more batch than there is room for. Guards against jobs that are late already holding up those that can still
/// be on time, so that all of them are late.
#[test]
fn jobs_that_can_be_on_time_go_before_late_ones() {
    let mut bench = Bench::open(&["one"]);
    for (id, accepted_unix_ms) in [(2, 0), (3, 4_000), (4, 9_500)] {
        bench.submit_accepted(id, vec![step(6)], accepted_unix_ms, 200);
    }
    // The objective is 3 s: job 4 can be on time, job 3 is late, and nobody waits for job 2 any more.
    bench.plan_at(10_000);
    let order: Vec<u64> = bench
        .starts
        .iter()
        .map(|(_, order)| order.task.job.0)
        .collect();
    assert_eq!(
        order,
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
fn plans_are_rarer_the_more_tasks_wait() {
    let mut bench = Bench::open(&["one"]);
    bench.submit(1, 2, vec![step(20)]);
    assert_eq!(bench.shard.plan_gap_ms(), 0);
    bench.submit(2, 2, vec![step(3_000)]);
    assert_eq!(bench.shard.plan_gap_ms(), 60);
    bench.submit(3, 2, vec![step(10_000)]);
    assert_eq!(bench.shard.plan_gap_ms(), 100);
}
