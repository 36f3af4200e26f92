//! Age of a host's copy of what an operator writes to the store.

/// Part of the bound that the wait of one watch may take. A copy is as old as two of them before the second returns, and the
/// rest is for the call that confirms it.
const WATCH_WAIT_PERCENT: u64 = 37;

/// Age of a copy. It is the newest version as of the time when the last call that confirmed it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyAge {
    as_of_ms: Option<u64>,
    /// Whether a later version exists that cannot be applied.
    is_superseded: bool,
}

impl CopyAge {
    /// Records that the copy was the newest version at `as_of_ms`, unless it is superseded.
    pub fn confirm(&mut self, as_of_ms: u64) {
        if !self.is_superseded {
            self.as_of_ms = self.as_of_ms.max(Some(as_of_ms));
        }
    }

    /// Records that the store has a version that cannot be applied.
    pub fn supersede(&mut self) {
        self.is_superseded = true;
    }

    /// Records that the newest version of the store was applied.
    pub fn replace(&mut self) {
        self.is_superseded = false;
    }

    /// Age in milliseconds; `None` before there is a copy.
    #[must_use]
    pub fn age_ms(self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.as_of_ms?))
    }

    /// Whether a version that must be in force by now, `bound_ms` after it was written, cannot be missing from the copy.
    #[must_use]
    pub fn is_current(self, now_ms: u64, bound_ms: u64) -> bool {
        self.age_ms(now_ms).is_some_and(|age_ms| age_ms <= bound_ms)
    }
}

/// Longest wait of a watch that still confirms a copy in time, in milliseconds.
#[must_use]
pub fn watch_wait_ms(bound_ms: u64) -> u64 {
    bound_ms * WATCH_WAIT_PERCENT / 100
}
