//! Starts whose connection the server closes before it answers: which of them count as the cause of a crash.

mod common;

use common::{Harness, run_status, step};
use primrosestack_fleet::action::{StartReply, StartRequest};
use primrosestack_fleet::handover::Handover;
use primrosestack_fleet::job::JobId;
use primrosestack_fleet::shard::{JobStatus, ServerKey};
use test_case::test_case;

/// Time from a crash until the server answers again.
const RESTART_MS: u64 = 3_000;

/// Time from the start of a task until it crashes its server.
const CRASH_DELAY_MS: u64 = 5;

/// Time after which calls without an answer are given up.
const CALL_TIMEOUT_MS: u64 = 600;

/// Longest time for which a lease of a silent server can last.
const LAPSE_MS: u64 = 6_000;

/// Time that a run without an answer may take to be given up.
const START_VOID_MS: u64 = 13_000;

fn reply(harness: &mut Harness, reply: StartReply) -> (ServerKey, StartRequest) {
    let (server, request) = harness.starts.pop().expect("the task was started");
    let now_ms = harness.now_ms;
    harness.shard.start_replied(server, &request, reply, now_ms);
    (server, request)
}

/// Restarts the only server and waits until the last start can no longer be carried out.
fn restart(harness: &mut Harness) {
    harness.now_ms += RESTART_MS;
    harness.restart("one");
    harness.write_records();
    settle_start(harness);
}

fn settle_start(harness: &mut Harness) {
    harness.confirm_stops();
    harness.claim("one");
    harness.now_ms += START_VOID_MS;
    harness.claim("one");
    harness.write_records();
}

/// Guards against a task being started without limit because it crashes its servers before they answer its start.
#[test]
fn a_task_that_crashes_its_server_before_the_answer_is_given_up() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    let mut crashes = 0;
    harness.plan();
    while !harness.starts.is_empty() {
        harness.now_ms += CRASH_DELAY_MS;
        reply(&mut harness, StartReply::ConnectionClosed);
        restart(&mut harness);
        harness.plan();
        crashes += 1;
        assert!(crashes < 5, "the task is started without limit");
    }
    assert_eq!(crashes, 2, "it was the only suspect twice");
    assert_eq!(harness.shard.job_status(job), Some(JobStatus::Failed));
}

/// Guards against a crash before the answer to a start being forgotten because the server stays away until its lease has
/// ended.
#[test]
fn a_crash_before_the_answer_counts_although_the_server_lapses() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.now_ms += CRASH_DELAY_MS;
    reply(&mut harness, StartReply::ConnectionClosed);
    harness.now_ms += LAPSE_MS;
    harness.tick();
    harness.restart("one");
    assert_eq!(harness.recorded_suspects(), [job]);
}

/// Guards against a successor not counting a crash before the answer to a start, of which only its predecessor knows.
#[test_case(StartReply::ConnectionClosed, true; "connection closed")]
#[test_case(StartReply::Unknown, false; "silent")]
fn a_start_that_a_crash_cut_off_is_handed_over(answer: StartReply, is_handed_over: bool) {
    let mut harness = Harness::open(&["one"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.now_ms += CRASH_DELAY_MS;
    reply(&mut harness, answer);
    let Handover { recent_starts, .. } = harness.handover();
    assert_eq!(!recent_starts.is_empty(), is_handed_over);
}

/// Guards against a job being failed because its starts reached a server only after it had lost power and restarted: the new
/// process resets the connections of the one before, and never saw the starts.
#[test_case(1_200; "as soon as it is back")]
#[test_case(RESTART_MS; "later")]
fn a_start_to_a_server_that_has_restarted_is_no_suspect(silent_ms: u64) {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    for _ in 0..4 {
        harness.plan();
        harness.now_ms += silent_ms;
        reply(&mut harness, StartReply::ConnectionClosed);
        harness.now_ms += CRASH_DELAY_MS;
        harness.restart("one");
        assert!(harness.recorded_suspects().is_empty());
        settle_start(&mut harness);
    }
    assert_eq!(harness.shard.job_status(job), Some(JobStatus::Queued));
}

/// Guards against a job being failed because a server that resets connections and serves on crashes later for another
/// cause.
#[test_case(true; "the start was carried out")]
#[test_case(false; "the start was lost")]
fn a_start_whose_connection_was_reset_is_no_suspect(is_carried_out: bool) {
    let mut harness = Harness::open(&["one"]);
    harness.submit(7, 0, vec![step(1)]);
    for _ in 0..4 {
        harness.plan();
        harness.now_ms += CRASH_DELAY_MS;
        let (_, request) = reply(&mut harness, StartReply::ConnectionClosed);
        // The answer to a poll that was sent after that.
        harness.now_ms += if is_carried_out { 600 } else { 100 };
        let running = run_status(request.task, request.run);
        let running = is_carried_out.then_some(running);
        harness.report("one", running.as_slice(), &[]);
        harness.now_ms += 400;
        harness.restart("one");
        assert!(harness.recorded_suspects().is_empty());
        settle_start(&mut harness);
    }
}

/// Guards against a start being taken for the cause of a crash of the incarnation after the one that it was sent to.
#[test]
fn a_closed_connection_of_an_earlier_incarnation_raises_no_suspicion() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.now_ms += CALL_TIMEOUT_MS;
    harness.restart("one");
    reply(&mut harness, StartReply::ConnectionClosed);
    harness.now_ms += CALL_TIMEOUT_MS;
    harness.restart("one");
    assert!(harness.recorded_suspects().is_empty());
}

/// Guards against a job that was cut off beside the cause of a crash being failed with it.
#[test]
fn starts_that_the_same_crash_cut_off_share_the_suspicion() {
    let mut harness = Harness::open(&["one"]);
    let jobs: Vec<JobId> = (1..=3)
        .map(|id| harness.submit(id, 0, vec![step(1)]))
        .collect();
    harness.plan();
    harness.now_ms += CRASH_DELAY_MS;
    for _ in 0..jobs.len() {
        reply(&mut harness, StartReply::ConnectionClosed);
    }
    harness.now_ms += RESTART_MS;
    harness.restart("one");
    let mut suspects = harness.recorded_suspects();
    suspects.sort();
    assert_eq!(suspects, jobs);
    settle_start(&mut harness);
    harness.plan();
    assert_eq!(harness.starts.len(), 1, "the suspects start one by one");
}
