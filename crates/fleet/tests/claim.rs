//! Which host owns a shard.

use primrosestack_fleet::claim::{Placing, Vacancy, look_gap_ms, should_follow};
use test_case::test_case;

/// Longer than an owner keeps a shard at least, in milliseconds.
const OWNED_MS: u64 = 4_000;

const SMALL: Placing = Placing {
    is_neighbour: true,
    cpu_millis: 69,
};
const LARGE: Placing = Placing {
    is_neighbour: true,
    cpu_millis: 500,
};
const REMOTE: Placing = Placing {
    is_neighbour: false,
    cpu_millis: 69,
};
const LARGE_REMOTE: Placing = Placing {
    is_neighbour: false,
    cpu_millis: 500,
};

/// Pattern: hosts of different sizes. Guards against a host of a fourteenth of a core commanding 117 servers for as long as
/// it lives: it could not renew their leases (LOST 557 on trouble-1 of the grown Fichaluz).
#[test_case(SMALL, LARGE, true; "a large neighbour follows a small one")]
#[test_case(LARGE, SMALL, false; "a small one does not follow a large one")]
#[test_case(SMALL, SMALL, false; "an equal does not follow")]
#[test_case(REMOTE, SMALL, true; "a neighbour follows a remote host")]
#[test_case(LARGE_REMOTE, SMALL, false; "a small neighbour does not follow a large remote host")]
#[test_case(SMALL, LARGE_REMOTE, false; "a remote host does not follow")]
fn a_better_placed_host_follows(owner: Placing, other: Placing, follows: bool) {
    assert_eq!(should_follow(owner, other, OWNED_MS), follows);
}

/// Guards against a shard moving to and fro between hosts.
#[test]
fn a_shard_is_kept_for_a_while() {
    assert!(!should_follow(SMALL, LARGE, 1_000));
}

/// Guards against a small host taking a shard before a large one has tried.
#[test]
fn weaker_hosts_try_later() {
    let vacancy = Vacancy {
        since_ms: 0,
        released: true,
        is_neighbour: true,
        is_weaker: false,
        rank: 2,
    };
    let weaker = Vacancy {
        is_weaker: true,
        rank: 0,
        ..vacancy
    };
    assert!(vacancy.try_at_ms() < weaker.try_at_ms());
}

/// Pattern: a small host has to own a large shard, since no other one is left. Guards against its processor being used up
/// by looks, so that leases lapse; the gap stays far below their 4.5 s.
#[test]
fn a_small_host_looks_less_often() {
    let gap_ms = look_gap_ms(117, 69);
    assert!((500..2_000).contains(&gap_ms), "{gap_ms}");
}

/// Guards against ends being noticed late where processor time is left.
#[test]
fn a_host_with_time_left_looks_at_once() {
    assert_eq!(look_gap_ms(16, 100), 0);
    assert_eq!(look_gap_ms(117, 500), 0);
}
