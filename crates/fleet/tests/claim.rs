//! Leader election of a shard, and when an owner steps down.

use primrosestack_fleet::claim::{Candidate, Vacancy, poll_interval_min_ms, should_step_down};
use test_case::test_case;

/// Longer than the minimum time for which an owner keeps a shard.
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

/// Guards against a host with a fourteenth of a core keeping a shard of 117 servers, whose leases it could not renew in
/// time, while a larger host is available.
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
    assert_eq!(should_step_down(owner, other, OWNED_MS, true), steps_down);
}

/// Guards against several changes of owner in a row, each of which waits for the same silent servers from its beginning. An
/// owner that is too weak for the shard steps down all the same.
#[test_case(REMOTE, SMALL, false; "remote for local")]
#[test_case(SMALL, LARGE, true; "small for large")]
fn an_unsettled_owner_keeps_the_shard_unless_it_is_too_weak(
    owner: Candidate,
    other: Candidate,
    steps_down: bool,
) {
    assert_eq!(should_step_down(owner, other, OWNED_MS, false), steps_down);
}

/// Guards against a shard flapping between hosts.
#[test]
fn an_owner_keeps_a_shard_for_a_minimum_time() {
    assert!(!should_step_down(SMALL, LARGE, 1_000, true));
}

/// Guards against a small host claiming a shard before a large one has tried.
#[test]
fn weaker_hosts_try_later() {
    let vacancy = Vacancy {
        since_ms: 0,
        released: true,
        is_local: true,
        is_weaker: false,
        cpu_millis: 500,
        rank: 2,
    };
    let weaker = Vacancy {
        is_weaker: true,
        rank: 0,
        ..vacancy
    };
    assert!(vacancy.claim_at_ms() < weaker.claim_at_ms());
}

/// Guards against polls saturating the CPU of a small host that has to own a large shard, so that leases expire; the
/// interval stays far below the lease of 4.5 s.
#[test]
fn a_small_host_polls_less_often() {
    let interval_ms = poll_interval_min_ms(117, 69);
    assert!((500..2_000).contains(&interval_ms), "{interval_ms}");
}

/// Guards against ends of runs being noticed late although CPU time is left.
#[test]
fn a_host_with_spare_cpu_polls_without_delay() {
    assert_eq!(poll_interval_min_ms(16, 100), 0);
    assert_eq!(poll_interval_min_ms(117, 500), 0);
}

/// Guards against a small host that takes a large shard before a large host of another failure domain: it was too busy
/// to renew its announcement, and three hosts took the shard from each other every 3 s.
#[test]
fn large_remote_hosts_go_before_small_local_ones() {
    let local = Vacancy {
        since_ms: 0,
        released: false,
        is_local: true,
        is_weaker: false,
        cpu_millis: 500,
        rank: 2,
    };
    let large_remote = Vacancy {
        is_local: false,
        ..local
    };
    let small_local = Vacancy {
        is_weaker: true,
        cpu_millis: 69,
        rank: 0,
        ..local
    };
    let small_remote = Vacancy {
        is_local: false,
        ..small_local
    };
    assert!(local.claim_at_ms() < large_remote.claim_at_ms());
    assert!(large_remote.claim_at_ms() < small_local.claim_at_ms());
    assert!(small_local.claim_at_ms() < small_remote.claim_at_ms());
}
