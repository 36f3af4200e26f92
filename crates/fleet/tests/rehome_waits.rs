//! Moves of jobs of which a run appears, or a task waits for its servers, when the move is decided.

mod common;

use common::moves::{LOSS_MS, MOVE_WAIT_MS, lose, moving_job, other, tick_until_move};
use common::{Harness, queue, step, task_id};
use primrosestack_fleet::job::{JobId, JobSpec};
use primrosestack_fleet::record::{Progress, StoredJob, TaskRecord};

/// Guards against a run of a moving job that goes on beside one in the new home, or that its server keeps after the job
/// is gone: a start that was carried out late is listed while the job moves.
#[test]
fn a_run_that_appears_while_its_job_moves_is_stopped() {
    let (mut source, job_move) = moving_job(vec![step(2)]);
    source
        .shard
        .set_server(common::entry("three"), source.now_ms);
    let late = common::run_status(task_id(job_move.id, 0, 1), 1);
    source.report("three", std::slice::from_ref(&late), &[]);
    source.plan();
    assert_eq!(source.stops.len(), 1, "the late run is stopped");
    source.shard.job_moved(job_move.key, 300, source.now_ms);
    source.now_ms += 1_000;
    source.stops.clear();
    source.report("three", &[late], &[]);
    source.plan();
    assert_eq!(source.stops.len(), 1, "its job is gone, and it is stopped");
    source.report("three", &[], &[]);
    source.plan();
    assert!(source.starts.is_empty());
}

/// Guards against a task running twice since its job moves, or starts its tasks again, while a run that was carried out late
/// is still ending.
#[test]
fn a_job_with_a_stray_run_neither_moves_nor_starts_at_once() {
    let (mut source, job_move) = moving_job(vec![step(2)]);
    source
        .shard
        .set_server(common::entry("three"), source.now_ms);
    let late = common::run_status(task_id(job_move.id, 0, 1), 1);
    source.report("three", std::slice::from_ref(&late), &[]);
    assert!(source.shard.current_move(&job_move).is_none());
    source.shard.job_kept(job_move.key, source.now_ms);
    source.write_records();
    source.plan();
    assert!(source.starts.is_empty(), "the late run is still ending");
    source.now_ms += 1_000;
    source.report("three", &[late], &[]);
    source.now_ms += 3_000;
    source.plan();
    assert!(source.starts.is_empty(), "the late run goes on");
}

/// Guards against a job that stays in a failure domain without servers since its first waiting task waits for news of servers
/// that lapsed, although its other tasks could start elsewhere.
#[test]
fn a_task_that_waits_for_its_servers_does_not_keep_its_job() {
    let mut source = Harness::open(&["one"]);
    let mut stored = StoredJob {
        created_revision: 50,
        ..StoredJob::default()
    };
    stored.spec = Some(JobSpec {
        id: 7,
        command: "do".into(),
        steps: vec![step(2)],
        queue: Some(queue(0)),
        ..JobSpec::default()
    });
    stored.progress = Some(Progress {
        tasks: vec![TaskRecord {
            last_run: 5,
            crashed_runs: vec![1, 2],
            lapsed_runs: vec![3, 4, 5],
            last_lapse_unix_ms: source.now_ms,
            ..TaskRecord::default()
        }],
        ..Progress::default()
    });
    lose(&mut source, "one");
    source.shard.add_job(JobId(7), stored, source.now_ms);
    let others = [other(&["two"])];
    let job_move = tick_until_move(&mut source, &others, LOSS_MS + MOVE_WAIT_MS);
    assert!(job_move.is_some());
}
