//! Suspension of servers after failures.

/// Consecutive failed runs after which a server is suspended. Tasks fail on their own in a few percent of runs, so two
/// such failures in a row are rare.
const FAILURES_MAX: u32 = 2;

/// First suspension, which doubles with each further failure.
const SUSPENSION_MS: u64 = 1_500;

/// Longest suspension; short enough to use a repaired server again soon.
const SUSPENSION_MAX_MS: u64 = 6_000;

/// Failures and suspension of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Suspension {
    failures: u32,
    suspended_until_ms: u64,
    last_suspension_ms: u64,
}

impl Suspension {
    /// Whether the server gets no tasks at present.
    #[must_use]
    pub fn is_suspended(&self, now_ms: u64) -> bool {
        now_ms < self.suspended_until_ms
    }

    /// When the last suspension ended, if the server is on trial. A server on trial gets one task at a time until one
    /// succeeds.
    #[must_use]
    pub fn trial_since_ms(&self) -> Option<u64> {
        (self.failures >= FAILURES_MAX).then_some(self.suspended_until_ms)
    }

    /// Ends the trial and resets the failure count.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed run. Returns whether the server is suspended for it.
    pub fn record_failure(&mut self, now_ms: u64) -> bool {
        self.failures += 1;
        if self.failures < FAILURES_MAX {
            return false;
        }
        self.suspend(now_ms);
        true
    }

    /// Records a run without progress, which counts as much as several failures.
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
