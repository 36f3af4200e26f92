//! Limits of a shard on jobs and tasks that come from other shards.

mod common;

use common::moves::{LOSS_MS, MOVE_WAIT_MS, evacuate, lose, tick_until_move};
use common::{DELEGATION_WAIT_MS, Harness, service_step, step};
use primrosestack_fleet::footprint::JobSize;
use primrosestack_fleet::intake::Load;
use primrosestack_fleet::job::StepSpec;
use primrosestack_fleet::open_tasks::ShardLimits;
use smol_str::SmolStr;
use test_case::test_case;

/// Room for a small job.
const ROOM: u64 = 100_000;

/// A shard with free servers that holds other jobs.
fn other(held_tasks: u64, held_bytes: u64) -> (SmolStr, Load) {
    let mut load = Harness::open(&["two"]).load();
    let open = load.open_tasks.get_or_insert_default();
    open.limits = Some(ShardLimits {
        open_tasks_max: ROOM,
        job_bytes_max: ROOM,
        ..ShardLimits::default()
    });
    let size = JobSize {
        tasks: held_tasks,
        bytes: held_bytes,
    };
    open.add("queue-2", size, true);
    (SmolStr::new("cxs"), load)
}

/// Guards against moves that exhaust the memory of the owner that they go to, and against a job that stays although there is
/// room for it.
#[test_case(1, 1, true; "room")]
#[test_case(ROOM, 1, false; "too many tasks")]
#[test_case(1, ROOM, false; "too many bytes")]
fn a_job_moves_where_the_owner_has_memory(held_tasks: u64, held_bytes: u64, moves: bool) {
    let mut source = Harness::open(&["one"]);
    lose(&mut source, "one");
    source.submit(7, 0, vec![step(1)]);
    let others = [other(held_tasks, held_bytes)];
    let job_move = tick_until_move(&mut source, &others, LOSS_MS + MOVE_WAIT_MS);
    assert_eq!(job_move.is_some(), moves);
}

/// Guards against the same while a failure domain is evacuated.
#[test_case(1, 1, true; "room")]
#[test_case(ROOM, 1, false; "too many tasks")]
#[test_case(1, ROOM, false; "too many bytes")]
fn an_evacuated_job_moves_where_the_owner_has_memory(tasks: u64, bytes: u64, moves: bool) {
    let mut source = Harness::open(&["one"]);
    source.submit(7, 0, vec![step(1)]);
    evacuate(&mut source);
    let job_move = tick_until_move(&mut source, &[other(tasks, bytes)], MOVE_WAIT_MS);
    assert_eq!(job_move.is_some(), moves);
}

/// Guards against delegated tasks, whose whole job the delegate holds, that exhaust its memory.
#[test_case(1, 1, service_step(1, "a"), true; "room")]
#[test_case(ROOM, 1, service_step(1, "a"), false; "too many tasks")]
#[test_case(1, ROOM, service_step(1, "a"), false; "too many bytes")]
#[test_case(1, ROOM, StepSpec { gang: true, ..service_step(2, "a") }, false; "too many bytes for a gang")]
fn a_task_is_delegated_where_the_owner_has_memory(
    held_tasks: u64,
    held_bytes: u64,
    step: StepSpec,
    is_delegated: bool,
) {
    let mut home = Harness::open(&[]);
    home.submit(7, 0, vec![step]);
    home.plan();
    home.now_ms += DELEGATION_WAIT_MS;
    home.plan();
    let mut others = [other(held_tasks, held_bytes)];
    let was_delegated = home.shard.delegate_tasks(&mut others, home.now_ms);
    assert_eq!(was_delegated, is_delegated);
}

/// Guards against several moves by the same report that together exceed the limits.
#[test]
fn moves_count_against_the_next_report() {
    let mut source = Harness::open(&["one"]);
    lose(&mut source, "one");
    for id in 0..3 {
        source.submit(id, 0, vec![step(1)]);
    }
    let mut others = [other(ROOM - 2, 1)];
    while source
        .shard
        .take_job_move(&mut others, source.now_ms)
        .is_none()
    {
        assert!(source.now_ms < common::START_MS + 2 * (LOSS_MS + MOVE_WAIT_MS));
        source.now_ms += 100;
        source.tick();
        source.plan();
    }
    let second = source.shard.take_job_move(&mut others, source.now_ms);
    assert!(second.is_some());
    let third = source.shard.take_job_move(&mut others, source.now_ms);
    assert!(third.is_none(), "the reported room is taken");
}
