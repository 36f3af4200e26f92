//! An owner whose term the store does not confirm: a successor may have renewed the leases that it knows.

mod common;

use common::{Harness, START_MS, step};

/// Time without an answer after which the longest lease has ended.
const LAPSED_MS: u64 = 8_000;

/// Lets the longest lease end while only one server reports.
fn lapse_all_but(harness: &mut Harness, reporting: &str) {
    while harness.now_ms < START_MS + LAPSED_MS {
        harness.now_ms += 250;
        harness.report_running_on(reporting, &[]);
        harness.tick();
        harness.plan();
    }
}

/// Guards against a second run of a task whose server answers the successor and not its owner, which lost the store.
#[test]
fn a_task_on_a_silent_server_starts_elsewhere_only_in_a_confirmed_term() {
    let mut harness = Harness::open(&["one", "two"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    let (server, _) = harness.confirm_starts()[0].clone();
    let other = if harness.name(server) == "one" {
        "two"
    } else {
        "one"
    };
    harness.confirms_term = false;
    lapse_all_but(&mut harness, other);
    assert!(harness.starts.is_empty());
    assert!(harness.shard.awaits_confirmation());
    harness.confirms_term = true;
    harness.tick();
    assert!(!harness.shard.awaits_confirmation());
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a second run of a task that an owner in between did not reach while its own successor did.
#[test]
fn tasks_of_earlier_owners_are_released_only_in_a_confirmed_term() {
    let mut harness = Harness::open_term(2, &["one", "two"], &["two"]);
    harness.submit_at(7, 0, vec![step(1)], 50);
    harness.claim("two");
    harness.write_records();
    harness.confirms_term = false;
    lapse_all_but(&mut harness, "two");
    assert!(harness.starts.is_empty());
    assert!(harness.shard.awaits_confirmation());
    harness.confirms_term = true;
    harness.tick();
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a wait for earlier owners that never ends while servers are claimed one after another: each claim asked
/// for a later confirmation.
#[test]
fn claims_do_not_extend_the_wait_for_earlier_owners() {
    let mut harness = Harness::open_term(2, &["one", "gone"], &["one", "two", "three"]);
    harness.submit_at(7, 0, vec![step(1)], 50);
    harness.claim("one");
    harness.write_records();
    harness.confirms_term = false;
    lapse_all_but(&mut harness, "one");
    harness.shard.confirm_term(harness.now_ms);
    harness.now_ms += 1;
    harness.claim("two");
    harness.claim("three");
    harness.write_records();
    harness.tick();
    assert!(harness.shard.is_settled());
}
