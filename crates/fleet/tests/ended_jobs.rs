//! Ended jobs, of which a shard keeps only the status.

mod common;

use common::{BOUNDS, Harness, queue, run_end, step, task_id};
use primrosestack_fleet::job::{JobId, JobSpec};
use primrosestack_fleet::record::{Phase, Progress, StoredJob};
use primrosestack_fleet::report::EndKind;
use primrosestack_fleet::shard::{JobStatus, Shard};
use test_case::test_case;

const ID: JobId = JobId(7);

/// A shard whose only job ended, with the end recorded.
fn ended(cancels: bool) -> Harness {
    let mut harness = Harness::open(&["one"]);
    harness.submit(ID.0, 0, vec![step(1)]);
    harness.plan();
    harness.confirm_starts();
    if cancels {
        let key = harness.shard.find_job(ID).expect("the job");
        harness.shard.cancel(key, harness.now_ms);
        harness.confirm_stops();
    }
    let kind = if cancels {
        EndKind::Stopped
    } else {
        EndKind::Done
    };
    harness.report_end("one", &run_end(1, task_id(ID, 0, 0), 1, kind));
    harness.write_records();
    harness.tick();
    harness
}

fn held_bytes(shard: &Shard, now_ms: u64) -> u64 {
    let open = shard.load_summary(now_ms).open_tasks;
    open.unwrap_or_default().bytes
}

/// Guards against a shard that keeps all of a job as long as its status is retained, and against a status that is forgotten
/// earlier.
#[test_case(false, JobStatus::Completed; "completed")]
#[test_case(true, JobStatus::Cancelled; "cancelled")]
fn only_the_status_of_an_ended_job_is_kept(cancels: bool, expected: JobStatus) {
    let mut harness = ended(cancels);
    assert_eq!(held_bytes(&harness.shard, harness.now_ms), 0);
    assert!(harness.shard.find_job(ID).is_none());
    assert_eq!(harness.shard.job_status(ID), Some(expected));
    harness.now_ms += BOUNDS.retention_ms - 1_000;
    harness.tick();
    assert_eq!(harness.shard.job_status(ID), Some(expected));
    harness.now_ms += 2_000;
    harness.tick();
    assert_eq!(harness.shard.job_status(ID), None);
    let batch = harness.shard.take_batch(harness.now_ms);
    assert_eq!(batch.purged_jobs, [(ID, false)]);
}

/// Guards against a job that is dropped before its end is recorded, or while it may have runs.
#[test]
fn a_job_is_kept_until_its_end_is_recorded() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(ID.0, 0, vec![step(1)]);
    harness.plan();
    harness.confirm_starts();
    let key = harness.shard.find_job(ID).expect("the job");
    harness.shard.cancel(key, harness.now_ms);
    harness.tick();
    assert!(harness.shard.find_job(ID).is_some(), "not recorded");
    harness.write_records();
    harness.tick();
    assert!(harness.shard.find_job(ID).is_some(), "not stopped");
    assert!(held_bytes(&harness.shard, harness.now_ms) > 0);
}

/// Guards against an entry that was read before the end was recorded and would start the job again.
#[test]
fn a_late_entry_does_not_bring_an_ended_job_back() {
    let mut harness = ended(false);
    harness.submit(ID.0, 0, vec![step(1)]);
    harness.plan();
    assert!(harness.confirm_starts().is_empty());
    assert_eq!(harness.shard.job_status(ID), Some(JobStatus::Completed));
}

/// Guards against an owner that does not know the ended jobs of earlier ones, or holds more of them.
#[test]
fn an_owner_takes_the_statuses_over() {
    let mut progress = Progress::default();
    progress.set_phase(Phase::Failed);
    let stored = StoredJob {
        progress: Some(progress),
        spec: Some(JobSpec {
            id: ID.0,
            steps: vec![step(1)],
            queue: Some(queue(0)),
            ..JobSpec::default()
        }),
        ..StoredJob::default()
    };
    let mut harness = Harness::open(&["one"]);
    harness.shard.add_job(ID, stored, harness.now_ms);
    assert_eq!(held_bytes(&harness.shard, harness.now_ms), 0);
    assert_eq!(harness.shard.job_status(ID), Some(JobStatus::Failed));
    harness.now_ms += BOUNDS.retention_ms;
    harness.tick();
    assert_eq!(harness.shard.job_status(ID), None);
}

/// Guards against jobs whose tasks are done but for one, and that hold the memory of all of them uncounted.
#[test]
fn done_tasks_count_until_their_job_ends() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(ID.0, 0, vec![step(3), step(1)]);
    harness.plan();
    harness.confirm_starts();
    for index in 0..3 {
        let end = run_end(
            index + 1,
            task_id(ID, 0, u32::try_from(index).unwrap()),
            1,
            EndKind::Done,
        );
        harness.report_end("one", &end);
    }
    let open = harness.load().open_tasks.expect("a report");
    assert_eq!(open.total, 4);
    harness.report_end("one", &run_end(4, task_id(ID, 1, 0), 1, EndKind::Done));
    harness.write_records();
    harness.tick();
    let open = harness.load().open_tasks.unwrap_or_default();
    assert_eq!(open.total, 0);
}
