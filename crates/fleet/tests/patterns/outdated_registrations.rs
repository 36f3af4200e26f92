//! Pattern: an owner that falls behind with the registrations of its servers while the store serves all others.

use primrosestack_fleet::action::StartReply;
use primrosestack_fleet::bounds::Bounds;

use crate::common::{BOUNDS, Harness, step};

/// Guards against a start on a server that has been draining for longer than allowed: the owner of 220 servers learned
/// of it 4 s late.
#[test]
fn no_task_starts_by_outdated_registrations() {
    let mut harness = Harness::open(&["one"]);
    harness.shard.registrations_complete(harness.now_ms);
    harness.now_ms += Bounds::registrations_max_age_ms(&BOUNDS) + 1;
    harness.claim("one");
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    assert!(harness.starts.is_empty(), "the server may be draining");
    harness.shard.registrations_complete(harness.now_ms);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a failure domain that stops serving because it cannot reach the store.
#[test]
fn tasks_start_while_the_store_is_unavailable() {
    let mut harness = Harness::open(&["one"]);
    harness.shard.registrations_complete(harness.now_ms);
    harness.shard.set_store_silent(true);
    harness.now_ms += 5_000;
    harness.claim("one");
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against starts by registrations of before an outage, once the store answers again and the servers have
/// announced there that they are draining.
#[test]
fn registrations_are_read_again_after_the_store_was_silent() {
    let mut harness = Harness::open(&["one"]);
    harness.shard.registrations_complete(harness.now_ms);
    harness.shard.set_store_silent(true);
    harness.now_ms += 5_000;
    harness.shard.set_store_silent(false);
    harness.claim("one");
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    assert!(harness.starts.is_empty(), "the server may be draining");
    harness.shard.registrations_complete(harness.now_ms);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a start that leaves a paused or busy process long after its decision, when the server has been draining
/// for longer than allowed.
#[test]
fn a_start_that_was_not_sent_in_time_is_decided_again() {
    let mut harness = Harness::open(&["one"]);
    harness.shard.registrations_complete(harness.now_ms);
    let valid_until_ms = harness.now_ms + Bounds::registrations_max_age_ms(&BOUNDS);
    harness.now_ms = valid_until_ms - 100;
    harness.claim("one");
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    let (server, start) = harness.starts.remove(0);
    assert!(!start.is_outdated(valid_until_ms));
    harness.now_ms = valid_until_ms + 1;
    assert!(start.is_outdated(harness.now_ms));
    let late = StartReply::Late;
    let shard = &mut harness.shard;
    shard.start_replied(server, &start, late, harness.now_ms);
    shard.registrations_complete(harness.now_ms);
    harness.plan();
    assert_eq!(harness.starts.len(), 1, "the task is started anew");
}
