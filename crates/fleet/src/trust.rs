//! Which servers are given tasks after failures.

/// Failed runs in a row, of any tasks, after which a server is suspended. Two of the tasks' own failures in a row are
/// rare at the few percent that tasks fail by themselves.
const FAILURES_MAX: u32 = 2;

/// First suspension in milliseconds; it doubles with each further failure.
const SUSPENSION_MS: u64 = 1_500;

/// Longest suspension in milliseconds, so that a repaired server is used again soon.
const SUSPENSION_MAX_MS: u64 = 6_000;

/// Failures and suspensions of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Suspension {
    failures: u32,
    suspended_until_ms: u64,
    last_suspension_ms: u64,
}

impl Suspension {
    /// Whether the server gets no tasks now.
    #[must_use]
    pub fn is_suspended(&self, now_ms: u64) -> bool {
        now_ms < self.suspended_until_ms
    }

    /// Since when only one task is tried, after a suspension, in milliseconds; none if the server is trusted.
    #[must_use]
    pub fn trial_since_ms(&self) -> Option<u64> {
        (self.failures >= FAILURES_MAX).then_some(self.suspended_until_ms)
    }

    /// A run did its work.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// A run failed. Returns whether the server is suspended for it.
    pub fn record_failure(&mut self, now_ms: u64) -> bool {
        self.failures += 1;
        if self.failures < FAILURES_MAX {
            return false;
        }
        self.suspend(now_ms);
        true
    }

    /// A run made no progress: one such run tells as much as several failures.
    pub fn record_stall(&mut self, now_ms: u64) {
        self.failures = self.failures.max(FAILURES_MAX);
        self.suspend(now_ms);
    }

    fn suspend(&mut self, now_ms: u64) {
        if self.is_suspended(now_ms) {
            return;
        }
        let next_ms = (self.last_suspension_ms * 2).clamp(SUSPENSION_MS, SUSPENSION_MAX_MS);
        self.last_suspension_ms = next_ms;
        self.suspended_until_ms = now_ms + next_ms;
    }
}
