//! Unit tests of lease expiry, store budget, idempotency keys and the assignment of work to shards.

use primrosestack_core::budget::{
    BACKOFF_MAX_MS, BACKOFF_MIN_MS, Backoff, StoreBudget, TokenBucket,
};
use primrosestack_core::division::{shard_of_job, shard_of_key, shard_of_rack};
use primrosestack_core::keys::{ANSWERS_MAX_BYTES, Keys};
use primrosestack_core::lease::{
    Authority, CONFIRM_MS, GrantedPromise, LEASE_MS, PROMISE_MS, lease_expiry,
    release_lease_expiry, takeover_lease_expiry,
};
use primrosestack_core::prelude::*;
use primrosestack_core::tasks::{CommittedCheckpoint, RETENTION_MS, Task};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const DRIFT_PPM: u64 = 10_000;

/// Guards against waits that leave out clock drift. The expected values are those of the design page.
#[test]
fn waits_include_the_drift() {
    let at = MonoMs(1_000);
    assert_eq!(lease_expiry(at, DRIFT_PPM), MonoMs(1_000 + 10_200));
    assert_eq!(
        takeover_lease_expiry(at, DRIFT_PPM),
        MonoMs(1_000 + 6_120 + 10_200)
    );
    assert_eq!(
        release_lease_expiry(at, DRIFT_PPM),
        MonoMs(1_000 + 1_530 + 10_200)
    );
}

/// Converts a duration on a clock that is fast by `ppm` to real microseconds.
fn real_us(local_ms: u64, ppm: i64) -> i128 {
    i128::from(local_ms) * 1_000_000_000 / i128::from(1_000_000 + ppm)
}

/// Generates the same cases in every run.
fn deterministic_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(deterministic_config())]

    /// Guards against a margin that is too small: even if clock rates differ by the maximum, the last lease that the
    /// old owner may renew expires before the wait of the new owner ends.
    #[test]
    fn old_leases_expire_before_the_new_owner_stops_waiting(
        old_ppm in -5_000_i64..=5_000,
        server_ppm in -5_000_i64..=5_000,
        new_ppm in -5_000_i64..=5_000,
        answered_after in 0_u64..5_000,
    ) {
        let renewed = real_us(CONFIRM_MS, old_ppm);
        let expired = renewed + real_us(LEASE_MS, server_ppm);
        let wait_ms = takeover_lease_expiry(MonoMs(0), DRIFT_PPM).0;
        let waited = i128::from(answered_after) * 1_000 + real_us(wait_ms, new_ppm);
        prop_assert!(expired <= waited);
    }

    /// Guards against a promise that the owner considers valid for longer than the successor does.
    #[test]
    fn a_promise_binds_the_successor_longest(owner_ppm in -5_000_i64..=5_000, successor_ppm in -5_000_i64..=5_000) {
        let mut promise = GrantedPromise::default();
        promise.extend(MonoMs(0), 3, DRIFT_PPM);
        let until = promise.expires_at(3).expect("given").0;
        prop_assert!(real_us(PROMISE_MS, owner_ppm) <= real_us(until, successor_ppm));
    }

    /// Guards against a bucket that exceeds its rate.
    #[test]
    fn a_bucket_keeps_its_rate(rate in 1_u32..100, steps in proptest::collection::vec(0_u64..300, 1..200)) {
        let mut bucket = TokenBucket::new(rate, MonoMs(0));
        let mut now = MonoMs(0);
        let mut taken = 0;
        for step in steps {
            now = now + DurationMs(step);
            while bucket.take(now) {
                taken += 1;
            }
        }
        prop_assert!(taken <= u64::from(rate) + now.0 * u64::from(rate) / 1_000);
    }

    /// Guards against a back-off outside its bounds, which would cause a burst of calls when the store is back.
    #[test]
    fn back_off_stays_in_bounds(seed: u64, failures in 1_usize..40) {
        let mut backoff = Backoff::new(seed);
        let now = MonoMs(5_000);
        for _ in 0..failures {
            backoff.record_failure(now);
        }
        prop_assert!(!backoff.is_ready(now + DurationMs(BACKOFF_MIN_MS / 2 - 1)));
        prop_assert!(backoff.is_ready(now + DurationMs(BACKOFF_MAX_MS)));
        backoff.record_success();
        prop_assert!(backoff.is_ready(now));
    }
}

/// Guards against authority that outlasts the store confirmation.
#[test_case(CONFIRM_MS - 1, true; "within the confirmation")]
#[test_case(CONFIRM_MS, false; "at its end")]
fn authority_ends_with_its_confirmation(after_ms: u64, expected: bool) {
    let mut authority = Authority::default();
    authority.confirm(MonoMs(100));
    authority.confirm(MonoMs(50));
    assert_eq!(authority.holds(MonoMs(100 + after_ms)), expected);
}

/// Guards against a promise that still gives authority after another host may have become the successor.
#[test]
fn a_dropped_promise_gives_no_authority() {
    let mut authority = Authority::default();
    authority.promise(MonoMs(100), true);
    assert!(authority.holds(MonoMs(1_000_000)));
    authority.drop_promise();
    assert!(!authority.holds(MonoMs(100)));
}

/// Guards against a permanent promise that expires or binds another term.
#[test]
fn a_permanent_promise_binds_its_term_only() {
    let mut promise = GrantedPromise::default();
    promise.extend_forever(3);
    promise.extend(MonoMs(0), 3, DRIFT_PPM);
    assert!(promise.binds(MonoMs(u64::MAX), 3));
    assert!(!promise.binds(MonoMs(0), 4));
    promise.extend(MonoMs(0), 4, DRIFT_PPM);
    assert!(!promise.binds(MonoMs(2_000), 4));
}

/// Guards against a store that counts as available while calls fail.
#[test]
fn the_budget_tracks_since_when_the_store_is_available() {
    let mut budget = StoreBudget::new(1, 1, 1, MonoMs(0));
    assert!(budget.take_write(MonoMs(0)));
    assert!(!budget.take_write(MonoMs(0)), "one write per second");
    budget.record_outcome(MonoMs(10), false);
    assert_eq!(budget.up_since(), None);
    assert!(!budget.take_read(MonoMs(10)), "back-off");
    budget.record_outcome(MonoMs(500), true);
    budget.record_outcome(MonoMs(600), true);
    assert_eq!(budget.up_since(), Some(MonoMs(500)));
}

/// Guards against stored answers that take unbounded memory, and against a repeated request that gets a wrong answer.
#[test]
fn stored_answers_are_bounded() {
    let mut keys = Keys::default();
    let answer: std::sync::Arc<[u8]> = vec![0; 4_096].into();
    let most = (ANSWERS_MAX_BYTES / 4_096) as u128;
    for key in 0..=most {
        keys.claim(RequestKey(key), MonoMs(0));
        keys.answer(RequestKey(key), answer.clone(), MonoMs(0));
    }
    assert_eq!(keys.reply(RequestKey(0)), Some(KeyReply::Unknown));
    assert!(matches!(
        keys.reply(RequestKey(1)),
        Some(KeyReply::Answered(_))
    ));
    keys.expire(MonoMs(RETENTION_MS - 1));
    assert!(!keys.is_empty());
    keys.expire(MonoMs(RETENTION_MS));
    assert!(keys.is_empty());
}

/// Guards against a running task that takes more than 512 bytes of memory, half of which are left to the scheduler. The
/// capacity of a vector may be twice its length.
#[test]
fn a_running_task_is_small() {
    let task = size_of::<Task>();
    let attempt = 2 * size_of::<(Attempt, TaskId)>();
    let resume = size_of::<CommittedCheckpoint>() + 64;
    println!("{task} bytes per task, {attempt} per attempt of a server, {resume} per checkpoint");
    assert!(task + attempt + resume <= 256);
}

/// Guards against shards that get no racks or all of them, and against an assignment that depends on the process.
#[test]
fn racks_are_spread_over_the_shards() {
    let mut racks = [0; 9];
    for rack in 0..900 {
        racks[shard_of_rack(&format!("rack-{rack}"), 9) as usize] += 1;
    }
    assert!(
        racks.iter().all(|count| (70..=130).contains(count)),
        "{racks:?}"
    );
    assert_eq!(shard_of_rack("rack-0", 9), shard_of_rack("rack-0", 9));
    assert_eq!(shard_of_rack("rack-0", 0), 0);
    assert!(shard_of_job(JobId(1), 9) < 9 && shard_of_key(RequestKey(1), 9) < 9);
}
