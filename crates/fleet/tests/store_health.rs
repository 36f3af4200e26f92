//! When a host counts the store as unavailable or silent.

use primrosestack_fleet::store_health::{Availability, StoreHealth};

/// Guards against an owner that stops starting tasks in the first seconds of a store outage: its registrations grow
/// old, but no server can announce anything either.
#[test]
fn a_store_without_answers_is_silent_before_it_counts_as_unavailable() {
    let mut health = StoreHealth::default();
    health.record_answer(10_000);
    assert!(!health.is_silent(11_000));
    health.record_failure(11_200);
    assert!(health.is_silent(11_300));
    assert!(!health.is_unavailable());
}

/// Guards against outdated registrations being used because one kind of call fails while others are answered.
#[test]
fn a_store_that_answers_other_calls_is_not_silent() {
    let mut health = StoreHealth::default();
    for second in 10..20 {
        health.record_answer(second * 1_000);
        health.record_failure(second * 1_000 + 500);
        assert!(!health.is_silent(second * 1_000 + 900));
    }
}

/// Guards against an outage that is reported twice, or not reported as over.
#[test]
fn an_outage_is_reported_once() {
    let mut health = StoreHealth::default();
    health.record_answer(10_000);
    assert_eq!(health.record_failure(10_500), Availability::Unchanged);
    assert_eq!(
        health.record_failure(11_500),
        Availability::Lost {
            answered_ms_ago: 1_500
        }
    );
    assert_eq!(health.record_failure(11_600), Availability::Unchanged);
    assert_eq!(
        health.record_answer(12_500),
        Availability::Regained { outage_ms: 2_000 }
    );
    assert!(!health.is_unavailable());
}
