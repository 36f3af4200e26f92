//! Rate limit and back-off for store calls.

use crate::ids::stable_hash;
use crate::time::{DurationMs, MonoMs};

/// Initial back-off after a failed store call, in milliseconds.
pub const BACKOFF_MIN_MS: u64 = 100;

/// Maximum back-off after a failed store call, in milliseconds.
pub const BACKOFF_MAX_MS: u64 = 10_000;

/// Token bucket with a capacity of the tokens of one second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    rate_per_s: u32,
    milli_tokens: u64,
    refilled_at: MonoMs,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(rate_per_s: u32, now: MonoMs) -> Self {
        Self {
            rate_per_s,
            milli_tokens: u64::from(rate_per_s) * 1_000,
            refilled_at: now,
        }
    }

    /// Takes a token if one is available.
    pub fn take(&mut self, now: MonoMs) -> bool {
        let limit = u64::from(self.rate_per_s) * 1_000;
        let added = now.since(self.refilled_at).0 * u64::from(self.rate_per_s);
        self.milli_tokens = limit.min(self.milli_tokens.saturating_add(added));
        self.refilled_at = self.refilled_at.max(now);
        if self.milli_tokens < 1_000 {
            return false;
        }
        self.milli_tokens -= 1_000;
        true
    }
}

/// Exponential back-off with jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
    retry_at: MonoMs,
    seed: u64,
}

impl Backoff {
    /// Creates a back-off without a delay; `seed` makes the jitter differ between processes.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            failures: 0,
            retry_at: MonoMs(0),
            seed,
        }
    }

    /// Records a failed call. The delay until the next call doubles each time; jitter takes off up to half of it.
    pub fn record_failure(&mut self, now: MonoMs) {
        let delay_ms = BACKOFF_MAX_MS.min(BACKOFF_MIN_MS << self.failures.min(16));
        let draw = stable_hash(&self.failures.to_le_bytes(), self.seed ^ now.0);
        let jitter_ms = draw % (delay_ms / 2 + 1);
        self.retry_at = now + DurationMs(delay_ms - jitter_ms);
        self.failures = self.failures.saturating_add(1);
    }

    /// Records an answered call and resets the delay.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.retry_at = MonoMs(0);
    }

    /// Whether a call may be made.
    #[must_use]
    pub fn is_ready(&self, now: MonoMs) -> bool {
        now >= self.retry_at
    }

    /// Returns the time from `now` until a call may be made.
    #[must_use]
    pub fn wait(&self, now: MonoMs) -> DurationMs {
        self.retry_at.since(now)
    }

    /// Returns the number of failed calls since the last answered one.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// Rate limits and back-off of the store calls of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreBudget {
    writes: TokenBucket,
    reads: TokenBucket,
    backoff: Backoff,
    up_since: MonoMs,
}

impl StoreBudget {
    /// Creates a budget with full buckets.
    #[must_use]
    pub fn new(writes_per_s: u32, reads_per_s: u32, seed: u64, now: MonoMs) -> Self {
        Self {
            writes: TokenBucket::new(writes_per_s, now),
            reads: TokenBucket::new(reads_per_s, now),
            backoff: Backoff::new(seed),
            up_since: now,
        }
    }

    /// Takes a token for a write; returns false if no write may be sent now.
    pub fn take_write(&mut self, now: MonoMs) -> bool {
        self.backoff.is_ready(now) && self.writes.take(now)
    }

    /// Takes a token for a read; returns false if no read may be sent now.
    pub fn take_read(&mut self, now: MonoMs) -> bool {
        self.backoff.is_ready(now) && self.reads.take(now)
    }

    /// Records the outcome of a call.
    pub fn record_outcome(&mut self, now: MonoMs, answered: bool) {
        if answered {
            if self.is_down() {
                self.up_since = now;
            }
            self.backoff.record_success();
            return;
        }
        self.backoff.record_failure(now);
    }

    /// Returns since when all calls have been answered, or `None` if the last call failed.
    #[must_use]
    pub fn up_since(&self) -> Option<MonoMs> {
        (!self.is_down()).then_some(self.up_since)
    }

    /// Whether the last call failed.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.backoff.failures() > 0
    }
}
