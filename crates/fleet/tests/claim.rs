//! Which host owns a shard.

use primrosestack_fleet::claim::{Candidate, Vacancy, poll_interval_min_ms, should_step_down};
use test_case::test_case;

/// Longer than an owner keeps a shard at least, in milliseconds.
const OWNED_MS: u64 = 4_000;

const SMALL: Candidate = Candidate {
    is_local: true,
    cpu_millis: 69,
};
const LARGE: Candidate = Candidate {
    is_local: true,
    cpu_millis: 500,
};
const REMOTE: Candidate = Candidate {
    is_local: false,
    cpu_millis: 69,
};
const LARGE_REMOTE: Candidate = Candidate {
    is_local: false,
    cpu_millis: 500,
};

/// Pattern: hosts of different sizes. Guards against a host of a fourteenth of a core commanding 117 servers for as long as
/// it lives: it could not renew their leases (LOST 557 on trouble-1 of the grown Fichaluz).
#[test_case(SMALL, LARGE, true; "small for large")]
#[test_case(LARGE, SMALL, false; "large for small")]
#[test_case(SMALL, SMALL, false; "equal")]
#[test_case(REMOTE, SMALL, true; "remote for local")]
#[test_case(LARGE_REMOTE, SMALL, false; "large remote for small local")]
#[test_case(SMALL, LARGE_REMOTE, false; "local for large remote")]
fn an_owner_steps_down_for_a_better_placed_host(
    owner: Candidate,
    other: Candidate,
    steps_down: bool,
) {
    assert_eq!(should_step_down(owner, other, OWNED_MS), steps_down);
}

/// Guards against a shard moving to and fro between hosts.
#[test]
fn an_owner_keeps_a_shard_for_a_minimum_time() {
    assert!(!should_step_down(SMALL, LARGE, 1_000));
}

/// Guards against a small host taking a shard before a large one has tried.
#[test]
fn weaker_hosts_try_later() {
    let vacancy = Vacancy {
        since_ms: 0,
        released: true,
        is_local: true,
        is_weaker: false,
        rank: 2,
    };
    let weaker = Vacancy {
        is_weaker: true,
        rank: 0,
        ..vacancy
    };
    assert!(vacancy.claim_at_ms() < weaker.claim_at_ms());
}

/// Pattern: a small host has to own a large shard, since no other one is left. Guards against its processor being used up
/// by looks, so that leases lapse; the gap stays far below their 4.5 s.
#[test]
fn a_small_host_polls_less_often() {
    let interval_ms = poll_interval_min_ms(117, 69);
    assert!((500..2_000).contains(&interval_ms), "{interval_ms}");
}

/// Guards against ends being noticed late where processor time is left.
#[test]
fn a_host_with_spare_cpu_polls_without_delay() {
    assert_eq!(poll_interval_min_ms(16, 100), 0);
    assert_eq!(poll_interval_min_ms(117, 500), 0);
}
