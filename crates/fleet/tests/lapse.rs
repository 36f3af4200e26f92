//! Unreachable servers: lease expiry, unanswered starts and loss of authority.

mod common;

use common::{AUTHORITY_END_MS, Harness, run_status, step, task_id};
use primrosestack_fleet::action::StartReply;
use primrosestack_fleet::job::StepSpec;
use primrosestack_fleet::report::{Report, RunStatus};

/// Requests a lease as the daemon does before each poll, which then gets no answer.
fn poll_without_answer(harness: &mut Harness, name: &str) -> bool {
    let key = harness.key(name);
    let Some((_, lease_upper_bound_ms)) =
        harness.shard.lease(key, AUTHORITY_END_MS, harness.now_ms)
    else {
        return false;
    };
    harness
        .shard
        .record_lease(key, lease_upper_bound_ms, harness.now_ms);
    true
}

/// Guards against unanswered polls renewing the lease of a lost server, so that its tasks never start elsewhere.
#[test]
fn tasks_of_a_server_that_is_gone_start_elsewhere() {
    let mut harness = Harness::open(&["one", "two"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    let (server, request) = harness.confirm_starts()[0].clone();
    let gone = harness.name(server);
    let other = if gone == "one" { "two" } else { "one" };
    assert!(poll_without_answer(&mut harness, &gone));
    for _ in 0..40 {
        harness.now_ms += 250;
        harness.report_running_on(other, &[job]);
        poll_without_answer(&mut harness, &gone);
        harness.tick();
        harness.plan();
    }
    assert_eq!(harness.starts.len(), 1, "the lease has expired after 10 s");
    assert_ne!(harness.starts[0].0, server);
    assert!(harness.starts[0].1.run > request.run);
}

/// Guards against a task being started elsewhere while its silent server may still run it.
#[test]
fn a_silent_server_keeps_its_tasks_until_its_lease_has_ended() {
    let mut harness = Harness::open(&["one", "two"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    let (server, _) = harness.confirm_starts()[0].clone();
    let gone = harness.name(server);
    let other = if gone == "one" { "two" } else { "one" };
    assert!(poll_without_answer(&mut harness, &gone));
    for _ in 0..17 {
        harness.now_ms += 250;
        harness.report_running_on(other, &[]);
        harness.tick();
        harness.plan();
    }
    assert!(harness.starts.is_empty(), "4,250 ms are within the lease");
}

/// Guards against a run being abandoned and started a second time because the reply to its start was lost.
#[test]
fn an_unanswered_start_is_stopped_before_the_task_starts_again() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    let (server, request) = harness.starts.remove(0);
    harness
        .shard
        .start_replied(server, &request, StartReply::Unknown, harness.now_ms);
    harness.now_ms += 100;
    harness.report("one", &[], &[]);
    harness.plan();
    assert!(
        harness.starts.is_empty(),
        "the start may still be carried out"
    );
    assert_eq!(harness.stops.len(), 1);
    harness
        .shard
        .stop_replied(server, request.task, request.run, harness.now_ms);
    harness.now_ms += 100;
    harness.report("one", &[], &[]);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
    assert!(harness.starts[0].1.run > request.run);
}

/// Guards against start requests after the time for which the store confirmed the owner.
#[test]
fn nothing_is_started_without_authority() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(7, 0, vec![step(1)]);
    harness
        .shard
        .plan(harness.now_ms + 1_000, 0, harness.now_ms);
    assert!(harness.shard.take_actions().is_empty());
    let key = harness.key("one");
    assert!(
        harness
            .shard
            .lease(key, harness.now_ms, harness.now_ms)
            .is_none()
    );
}

/// Guards against a run being abandoned because of a poll that was sent in the millisecond of the run's confirmation,
/// overtook its start and therefore does not list it.
#[test]
fn a_poll_of_the_same_millisecond_does_not_show_a_run_as_lost() {
    let mut harness = Harness::open(&["one", "two"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    let (server, _) = harness.confirm_starts()[0].clone();
    let name = harness.name(server);
    harness.report(&name, &[], &[]);
    harness.plan();
    assert!(harness.starts.is_empty());
    harness.now_ms += 1;
    harness.report(&name, &[], &[]);
    harness.plan();
    assert_eq!(
        harness.starts.len(),
        1,
        "a later poll lists all existing runs"
    );
}

/// Guards against a server that answers slowly losing its work: with a short time-out none of its answers counts, its
/// lease is no longer renewed, and its tasks start elsewhere although it runs them.
#[test]
fn a_server_that_answers_a_second_late_keeps_its_work() {
    const ANSWER_DELAY_MS: u64 = 1_000;
    let mut harness = Harness::open(&["one", "two"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    let (server, request) = harness.confirm_starts()[0].clone();
    let slow = harness.name(server);
    let other = if slow == "one" { "two" } else { "one" };
    let end_ms = harness.now_ms + 20_000;
    let mut percent = 0;
    while harness.now_ms < end_ms {
        poll_without_answer(&mut harness, &slow);
        let timing = harness.shard.poll_timing(server, harness.now_ms);
        harness.now_ms += timing.wait_ms + ANSWER_DELAY_MS.min(timing.grace_ms);
        if timing.grace_ms > ANSWER_DELAY_MS {
            percent += 5;
            let status = RunStatus {
                progress_percent: percent,
                ..run_status(task_id(job, 0, 0), request.run)
            };
            harness.report(&slow, &[status], &[]);
        }
        harness.report(other, &[], &[]);
        harness.tick();
        harness.plan();
        assert!(harness.starts.is_empty() && harness.stops.is_empty());
    }
}

/// Guards against a long task being moved over and over because it needs more than 2.6 s for a whole percent.
#[test]
fn a_task_of_ten_minutes_is_not_taken_for_stalled() {
    const PERCENT_MS: u64 = 6_000;
    let mut harness = Harness::open(&["one"]);
    let long = StepSpec {
        estimate_ms: 600_000,
        ..step(1)
    };
    let job = harness.submit(7, 0, vec![long]);
    harness.plan();
    let (_, request) = harness.confirm_starts()[0].clone();
    for half_seconds in 0..40 {
        harness.now_ms += 500;
        let status = RunStatus {
            progress_percent: u32::try_from(half_seconds * 500 / PERCENT_MS).unwrap_or(100),
            ..run_status(task_id(job, 0, 0), request.run)
        };
        harness.report("one", &[status], &[]);
        harness.tick();
        assert!(
            harness.stops.is_empty(),
            "after {half_seconds} half seconds"
        );
    }
}

/// Guards against a run being started a second time although it is done: a server lists its unacknowledged ends a page at
/// a time, and the run's end may be on a later page.
#[test]
fn a_run_whose_end_may_not_be_listed_yet_does_not_start_again() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    let (server, _) = harness.confirm_starts()[0].clone();
    harness.now_ms += 1_000;
    let full_page = Report {
        sent_ms: harness.now_ms,
        started_unix_ms: 5,
        clock_ms: harness.now_ms,
        may_omit_ends: true,
        ..Report::default()
    };
    harness
        .shard
        .apply_report(server, &full_page, harness.now_ms);
    harness.plan();
    assert!(harness.starts.is_empty());
    let complete = Report {
        may_omit_ends: false,
        ..full_page
    };
    harness
        .shard
        .apply_report(server, &complete, harness.now_ms);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}
