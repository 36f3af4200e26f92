//! Starts without an answer: when the task may start again.

mod common;

use common::{Harness, run_status, service_step, step, task_id};
use primrosestack_fleet::action::{Action, StartReply};
use primrosestack_fleet::report::Report;

/// Time without a run that the service contract allows a long-running task.
const WITHOUT_RUN_MAX_MS: u64 = 6_000;

/// Time from a request to its answer.
const ROUND_TRIP_MS: u64 = 10;

/// When a start request is known to have got no answer.
const START_TIMEOUT_MS: u64 = 300;

/// Time until a task starts again whose start was not carried out and got no answer. The first poll is answered after
/// `phase_ms`, each further one after its whole wait.
fn wait_after_a_lost_start(phase_ms: u64, are_stops_answered: bool) -> u64 {
    let mut harness = Harness::open(&["one"]);
    harness.submit(3, 0, vec![service_step(1, "web")]);
    harness.plan();
    let (server, request) = harness.starts.pop().expect("the task was started");
    let begin_ms = harness.now_ms;
    let mut poll_sent_ms = begin_ms;
    let mut poll_due_ms = begin_ms + phase_ms;
    let mut stop_replies_due_ms: Vec<u64> = Vec::new();
    while harness.starts.is_empty() && harness.now_ms < begin_ms + 60_000 {
        harness.now_ms += ROUND_TRIP_MS;
        let now_ms = harness.now_ms;
        if now_ms == begin_ms + START_TIMEOUT_MS {
            let reply = StartReply::Unknown;
            harness.shard.start_replied(server, &request, reply, now_ms);
        }
        while stop_replies_due_ms
            .first()
            .is_some_and(|&due_ms| due_ms <= now_ms)
        {
            stop_replies_due_ms.remove(0);
            harness
                .shard
                .stop_replied(server, request.task, request.run, now_ms);
        }
        if now_ms >= poll_due_ms {
            let report = Report {
                sent_ms: poll_sent_ms,
                started_unix_ms: 5,
                clock_ms: now_ms + 7,
                ..Report::default()
            };
            harness.shard.apply_report(server, &report, now_ms);
            harness.plan();
            poll_sent_ms = now_ms;
            let wait_ms = harness.shard.poll_timing(server, now_ms).wait_ms;
            poll_due_ms = now_ms + wait_ms + ROUND_TRIP_MS;
        }
        if now_ms.is_multiple_of(100) {
            harness.tick();
            harness.plan();
        }
        for _ in std::mem::take(&mut harness.stops) {
            if are_stops_answered {
                stop_replies_due_ms.push(now_ms + ROUND_TRIP_MS);
            }
        }
    }
    harness.now_ms - begin_ms
}

/// Guards against each retry of a stop moving the time from which a poll counts, so that none of the polls counted and
/// a task stood still for 11 to 21 s.
#[test]
fn retries_of_a_stop_do_not_hold_up_its_task() {
    let waits_ms: Vec<u64> = (0..1_000)
        .step_by(50)
        .map(|phase_ms| wait_after_a_lost_start(phase_ms, true))
        .collect();
    let is_in_time = waits_ms
        .iter()
        .all(|&wait_ms| wait_ms <= WITHOUT_RUN_MAX_MS);
    assert!(is_in_time, "{waits_ms:?}");
}

/// Guards against a task waiting for ever for the answer to a stop although its server answers all polls.
#[test]
fn a_task_does_not_wait_for_an_answer_to_its_stop() {
    let waits_ms: Vec<u64> = (0..1_000)
        .step_by(50)
        .map(|phase_ms| wait_after_a_lost_start(phase_ms, false))
        .collect();
    // The lease that the start carried lasts 4,935 ms at most; until then the start may still be carried out.
    let is_in_time = waits_ms
        .iter()
        .all(|&wait_ms| (4_936..=4_936 + 2 * 910).contains(&wait_ms));
    assert!(is_in_time, "{waits_ms:?}");
}

/// Guards against a run that appears after its start was given up, for which no log line tells the server and the run, and
/// against such lines flooding the log.
#[test]
fn a_run_that_appears_after_its_start_was_given_up_is_logged_once() {
    let mut harness = Harness::open(&["one", "two"]);
    let job = harness.submit(3, 0, vec![step(1)]);
    harness.plan();
    let (server, request) = harness.starts.pop().expect("the task was started");
    let reply = StartReply::Refused;
    harness
        .shard
        .start_replied(server, &request, reply, harness.now_ms);
    let other = if harness.name(server) == "one" {
        "two"
    } else {
        "one"
    };
    harness.report(other, &[run_status(task_id(job, 0, 0), 5)], &[]);
    let mut logged = Vec::new();
    for _ in 0..3 {
        harness.now_ms += 1_000;
        let report = Report {
            sent_ms: harness.now_ms,
            started_unix_ms: 5,
            clock_ms: harness.now_ms + 7,
            running: vec![run_status(request.task, request.run)],
            ..Report::default()
        };
        harness.shard.apply_report(server, &report, harness.now_ms);
        for action in harness.shard.take_actions() {
            let Action::Log(decision) = action else {
                continue;
            };
            if decision.event == "run_unexpected" {
                logged.push((decision.task, decision.inputs[0]));
            }
        }
    }
    assert_eq!(logged, [(Some(request.task), ("run", 1))]);
}
