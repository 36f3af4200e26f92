//! Servers that fall silent.

mod common;

use common::{AUTHORITY_END_MS, Harness, step};
use primrosestack_fleet::action::StartReply;

/// Asks for the lease that a look carries, as the shell does before each look.
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

/// Guards against the lease of a server that is gone being renewed by looks that it never answers, so that its tasks
/// are never started elsewhere (LOST on mixed days of Fichaluz, seeds 347879936295 and 498618763857).
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
    assert_eq!(harness.starts.len(), 1, "the lease has ended after 10 s");
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

/// Guards against a run being given up, and started a second time, because the answer to its start was lost.
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
        "the order may still be carried out"
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

/// Guards against orders being given after the time for which the store confirmed the owner.
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

/// Guards against a run being given up because a look that was sent in the millisecond of its confirmation, and reached
/// the server before the start, does not list it (TWICE on trouble-2 of Ruta Caribe, seed 532060373488).
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
        "a later look lists all that is there"
    );
}
