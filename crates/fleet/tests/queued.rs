//! Jobs that count as waiting.

mod common;

use common::{DELEGATION_WAIT_MS, Harness, run_status, service_step, step};
use primrosestack_fleet::action::StartReply;
use primrosestack_fleet::shard::JobStatus;
use test_case::test_case;

/// Longer than the time for which a call without an answer may still be carried out.
const LATE_START_MS: u64 = 13_000;

/// Guards against a queue that is said to be empty while servers leave the starts of its jobs unanswered.
#[test]
fn a_job_waits_until_one_of_its_tasks_is_known_to_have_begun() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    let (server, request) = harness.starts.remove(0);
    assert_eq!(harness.shard.queued_jobs(), [("queue-0".into(), 1)]);
    harness
        .shard
        .start_replied(server, &request, StartReply::Unknown, harness.now_ms);
    assert_eq!(harness.shard.queued_jobs(), [("queue-0".into(), 1)]);
    assert_eq!(harness.shard.job_status(job), Some(JobStatus::Queued));
    harness.now_ms += 100;
    harness.report("one", &[run_status(request.task, request.run)], &[]);
    assert!(harness.shard.queued_jobs().is_empty());
    assert_eq!(harness.shard.job_status(job), Some(JobStatus::Running));
}

/// Guards against a job that counts as begun after a change of owner because a start of it was sent, and against one
/// that counts as waiting although a task has begun.
#[test_case(false; "the start is not answered")]
#[test_case(true; "the start is confirmed")]
fn the_record_of_a_job_tells_whether_it_has_begun(is_confirmed: bool) {
    let mut harness = Harness::open(&["one"]);
    harness.submit(7, 0, vec![service_step(1, "web")]);
    harness.plan();
    if is_confirmed {
        harness.confirm_starts();
    } else {
        let (server, request) = harness.starts.remove(0);
        let reply = StartReply::Unknown;
        harness
            .shard
            .start_replied(server, &request, reply, harness.now_ms);
    }
    harness.now_ms += 300;
    harness.restart("one");
    harness.write_records();
    // An unanswered start may be carried out until then.
    harness.now_ms += LATE_START_MS;
    for _ in 0..2 {
        harness.claim("one");
        harness.confirm_stops();
    }
    // The task is delegated, which has to be recorded.
    harness.now_ms += DELEGATION_WAIT_MS;
    let mut others = [("cxs".into(), Harness::open(&["two"]).load())];
    assert!(harness.shard.delegate_tasks(&mut others, harness.now_ms));
    let batch = harness.shard.take_batch(harness.now_ms);
    let progress = &batch.jobs[0].progress;
    assert!(progress.tasks[0].last_run > 0);
    assert_eq!(progress.has_started(), is_confirmed);
}
