//! Moves of tasks away from draining servers.

mod common;

use common::{BOUNDS, DELEGATION_WAIT_MS, Harness, entry, run_end, service_step, step};
use primrosestack_fleet::job::JobId;
use primrosestack_fleet::report::{EndKind, ServerEntry};
use smol_str::SmolStr;

/// Minimum time left that the draining server of most tests announces.
const LEAVES_IN_MS: u64 = 8_000;

/// Interval of the owner's timer.
const TICK_MS: u64 = 100;

/// Time before a departure by which the last stops must have been sent: a stop takes `stop_ms`, and a busy owner needs
/// some time to send hundreds of them.
const LATEST_STOP_BEFORE_MS: u64 = BOUNDS.stop_ms + 1_000;

/// Time after which a server counts as silent, well within its lease.
const SILENT_MS: u64 = 2_000;

fn entry_with_cpu(name: &str, cpu_millis: u32) -> ServerEntry {
    ServerEntry {
        cpu_millis,
        ..entry(name)
    }
}

/// Sixteen long-running tasks on the server `one`, which is full.
fn full_server() -> (Harness, JobId) {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![service_step(16, "a")]);
    harness.plan();
    assert_eq!(harness.confirm_starts().len(), 16);
    harness.write_records();
    harness.now_ms += 1;
    harness.report_running(&[job]);
    (harness, job)
}

fn add_server(harness: &mut Harness, name: &str, cpu_millis: u32) {
    let now_ms = harness.now_ms;
    harness
        .shard
        .set_server(entry_with_cpu(name, cpu_millis), now_ms);
    harness.claim(name);
    harness.write_records();
}

fn drain(harness: &mut Harness, name: &str, leaves_in_ms: Option<u64>) {
    let draining = ServerEntry {
        draining: true,
        leaves_in_ms,
        ..entry(name)
    };
    let now_ms = harness.now_ms;
    harness.shard.set_server(draining, now_ms);
}

/// Lets time pass; all servers report the expected runs.
fn pass(harness: &mut Harness, jobs: &[JobId], duration_ms: u64) {
    let end_ms = harness.now_ms + duration_ms;
    while harness.now_ms < end_ms {
        harness.now_ms += TICK_MS;
        harness.report_running(jobs);
        harness.tick();
    }
}

/// The server reports the ends of all runs that were to be stopped. Returns their number.
fn report_stopped(harness: &mut Harness, name: &str, first_number: u64) -> usize {
    let stops = std::mem::take(&mut harness.stops);
    harness.now_ms += 1;
    for (index, (_, task, run)) in stops.iter().enumerate() {
        let number = first_number + index as u64;
        harness.report_end(name, &run_end(number, *task, *run, EndKind::Stopped));
    }
    stops.len()
}

/// Guards against long-running tasks that no other server has room for being stopped while their server could run them
/// on, and against the same room being promised to several of them.
#[test]
fn only_as_many_tasks_leave_a_draining_server_as_others_have_room_for() {
    let (mut harness, job) = full_server();
    add_server(&mut harness, "two", 4_000);
    drain(&mut harness, "one", Some(LEAVES_IN_MS));
    harness.tick();
    assert_eq!(harness.stops.len(), 4);
    pass(&mut harness, &[job], 500);
    assert_eq!(harness.stops.len(), 4, "while the stops are under way");
    assert_eq!(report_stopped(&mut harness, "one", 1), 4);
    harness.plan();
    let starts = harness.confirm_starts();
    assert_eq!(starts.len(), 4);
    let two = harness.key("two");
    assert!(starts.iter().all(|(server, _)| *server == two));
    pass(&mut harness, &[job], 1_000);
    assert_eq!(harness.stops.len(), 0, "the others keep running");
}

/// Guards against tasks that stayed on a draining server not moving once there is room for them.
#[test]
fn tasks_on_a_draining_server_move_when_room_appears() {
    let (mut harness, job) = full_server();
    let short = harness.submit(8, 0, vec![step(2)]);
    add_server(&mut harness, "two", 2_000);
    harness.plan();
    assert_eq!(
        harness.confirm_starts().len(),
        2,
        "the other server is full"
    );
    drain(&mut harness, "one", Some(LEAVES_IN_MS));
    pass(&mut harness, &[job, short], 500);
    assert_eq!(harness.stops.len(), 0);
    let ended = common::task_id(short, 0, 0);
    harness.report_end("two", &run_end(1, ended, 1, EndKind::Done));
    harness.tick();
    assert_eq!(report_stopped(&mut harness, "one", 1), 1, "a task ended");
    harness.plan();
    harness.confirm_starts();
    add_server(&mut harness, "three", 3_000);
    harness.tick();
    assert_eq!(harness.stops.len(), 3, "a server registered");
}

/// Guards against long-running tasks being lost with a server that leaves, whose owner notices only by their leases.
#[test]
fn all_tasks_leave_a_draining_server_before_it_leaves() {
    let (mut harness, job) = full_server();
    drain(&mut harness, "one", Some(LEAVES_IN_MS));
    pass(&mut harness, &[job], LEAVES_IN_MS - 3_000);
    assert_eq!(harness.stops.len(), 0, "there is no room elsewhere");
    pass(&mut harness, &[job], 3_000 - LATEST_STOP_BEFORE_MS);
    assert_eq!(harness.stops.len(), 16);
}

/// Guards against the largest time left being added to the clock: a debug build panics, and a release build stops all tasks
/// at once.
#[test]
fn a_server_may_announce_any_time_left() {
    let (mut harness, job) = full_server();
    drain(&mut harness, "one", Some(u64::MAX));
    pass(&mut harness, &[job], LEAVES_IN_MS);
    assert_eq!(harness.stops.len(), 0);
}

/// Guards against a task running twice since it ended, as done, in the moment at which its server left: nobody learns of
/// that end.
#[test]
fn short_tasks_end_before_their_server_leaves() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(3)]);
    harness.plan();
    harness.confirm_starts();
    drain(&mut harness, "one", Some(LEAVES_IN_MS));
    pass(&mut harness, &[job], LEAVES_IN_MS - 3_000);
    assert_eq!(harness.stops.len(), 0, "they may end before");
    pass(&mut harness, &[job], 3_000 - LATEST_STOP_BEFORE_MS);
    assert_eq!(harness.stops.len(), 3);
}

/// Guards against the same on a server that does not announce the time left.
#[test]
fn a_server_without_an_announced_time_may_leave_after_the_drain_time() {
    let (mut harness, job) = full_server();
    drain(&mut harness, "one", None);
    pass(
        &mut harness,
        &[job],
        BOUNDS.drain_ms - LATEST_STOP_BEFORE_MS,
    );
    assert_eq!(harness.stops.len(), 16);
}

/// Guards against the time left beginning anew with each copy of a registration that is read.
#[test]
fn reading_a_registration_again_does_not_extend_the_time_left() {
    let (mut harness, job) = full_server();
    for _ in 0..6 {
        drain(&mut harness, "one", Some(LEAVES_IN_MS));
        pass(&mut harness, &[job], 1_000);
    }
    assert_eq!(harness.stops.len(), 16);
}

/// Guards against a task on a draining server taking the room that one without a run waits for.
#[test]
fn room_goes_to_waiting_tasks_first() {
    let (mut harness, job) = full_server();
    let waiting = harness.submit(8, 0, vec![service_step(3, "a")]);
    harness.plan();
    assert_eq!(harness.starts.len(), 0);
    drain(&mut harness, "one", Some(LEAVES_IN_MS));
    add_server(&mut harness, "two", 4_000);
    harness.tick();
    assert_eq!(harness.stops.len(), 1);
    harness.plan();
    let starts = harness.confirm_starts();
    assert!(starts.iter().all(|(_, start)| start.task.job == waiting));
    assert_eq!(starts.len(), 3);
    pass(&mut harness, &[job, waiting], 300);
    assert_eq!(harness.stops.len(), 1);
}

/// Guards against a task that was moved losing its promised room to short tasks that arrive meanwhile.
#[test]
fn a_moved_task_starts_before_short_tasks() {
    let (mut harness, job) = full_server();
    add_server(&mut harness, "two", 1_000);
    drain(&mut harness, "one", Some(LEAVES_IN_MS));
    harness.tick();
    assert_eq!(report_stopped(&mut harness, "one", 1), 1);
    harness.submit(8, 0, vec![step(1)]);
    harness.plan();
    let starts = harness.confirm_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.task.job, job);
}

/// Guards against tasks on draining servers waiting for room in their own failure domain, and then for the delegation,
/// while another failure domain has room.
#[test]
fn tasks_on_a_draining_server_are_delegated_at_once() {
    let (mut source, job) = full_server();
    drain(&mut source, "one", Some(LEAVES_IN_MS));
    let load = Harness::open(&["two", "three", "four"]).load();
    let mut others = vec![(SmolStr::new("cxs"), load)];
    for _ in 0..4 {
        source.tick();
        assert!(!source.shard.delegate_tasks(&mut others, source.now_ms));
        pass(&mut source, &[job], TICK_MS);
    }
    assert_eq!(
        source.stops.len(),
        3,
        "each reported server takes one task before the next report"
    );
    assert_eq!(report_stopped(&mut source, "one", 1), 3);
    source.plan();
    pass(&mut source, &[job], 300);
    source.plan();
    assert!(source.shard.delegate_tasks(&mut others, source.now_ms));
    let batch = source.shard.take_batch(source.now_ms);
    let transfers: usize = batch.jobs.iter().map(|record| record.transfers.len()).sum();
    assert_eq!(transfers, 3);
    source.shard.batch_written(&batch);
    source.now_ms += DELEGATION_WAIT_MS;
    pass(&mut source, &[job], TICK_MS);
    assert!(!source.shard.delegate_tasks(&mut others, source.now_ms));
    assert_eq!(source.stops.len(), 0, "no room is left there");
}

/// Guards against a task on a draining server taking the room in another failure domain that one without a run waits for.
#[test]
fn room_in_another_failure_domain_goes_to_waiting_tasks_first() {
    let (mut source, _) = full_server();
    source.submit(8, 0, vec![service_step(2, "a")]);
    source.plan();
    drain(&mut source, "one", Some(LEAVES_IN_MS));
    let load = Harness::open(&["two", "three", "four"]).load();
    let mut others = vec![(SmolStr::new("cxs"), load)];
    source.tick();
    source.shard.delegate_tasks(&mut others, source.now_ms);
    source.tick();
    assert_eq!(source.stops.len(), 1);
}

/// Guards against a new owner counting the time left from when it reads a registration that was written before.
#[test]
fn a_new_owner_expects_a_draining_server_to_leave_sooner() {
    let mut harness = Harness::open_term(2, &["one"], &["one"]);
    let job = harness.submit(7, 0, vec![service_step(1, "a")]);
    let draining = ServerEntry {
        draining: true,
        leaves_in_ms: Some(LEAVES_IN_MS),
        ..entry("one")
    };
    harness.shard.set_servers([draining], harness.now_ms);
    let task = common::task_id(job, 0, 0);
    harness.report("one", &[common::run_status(task, 3)], &[]);
    let elapsed_ms = BOUNDS.heartbeat_ms;
    pass(
        &mut harness,
        &[job],
        LEAVES_IN_MS - LATEST_STOP_BEFORE_MS - elapsed_ms,
    );
    assert_eq!(harness.stops.len(), 1);
}

/// Guards against short tasks taking the room of a task between the decision to move it and the end of its run.
#[test]
fn promised_room_is_kept_while_a_task_is_being_moved() {
    let (mut harness, job) = full_server();
    add_server(&mut harness, "two", 1_000);
    drain(&mut harness, "one", Some(LEAVES_IN_MS));
    harness.tick();
    assert_eq!(harness.stops.len(), 1);
    harness.submit(8, 0, vec![step(1)]);
    harness.plan();
    assert_eq!(harness.starts.len(), 0, "the stop is under way");
    assert_eq!(report_stopped(&mut harness, "one", 1), 1);
    harness.plan();
    assert_eq!(harness.confirm_starts()[0].1.task.job, job);
}

/// Guards against successors that wait for the leases of a server that has left.
#[test]
fn a_server_that_has_left_is_not_recorded() {
    let mut harness = Harness::open(&["one", "two"]);
    let one = harness.key("one");
    drain(&mut harness, "one", Some(LEAVES_IN_MS));
    pass(&mut harness, &[], LEAVES_IN_MS);
    let lease = harness.shard.lease(one, u64::MAX, harness.now_ms);
    let (_, lease_upper_bound_ms) = lease.expect("the server answers");
    let now_ms = harness.now_ms;
    harness
        .shard
        .record_lease(one, lease_upper_bound_ms, now_ms);
    harness.shard.unregister_server("one");
    harness.write_records();
    harness.now_ms += SILENT_MS;
    harness.claim("two");
    harness.tick();
    let batch = harness.shard.take_batch(harness.now_ms);
    let servers = batch.servers.expect("the servers are recorded");
    assert_eq!(servers.names, ["two"]);
}
