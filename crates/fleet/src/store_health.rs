//! Availability of the store, as seen by the calls of one host.

/// Calls have to fail for this long before the store counts as unavailable.
const UNAVAILABLE_AFTER_MS: u64 = 900;

/// Owners renew their announcement every 0.7 s, and a slow store answers within 0.3 s.
const SILENT_AFTER_MS: u64 = 1_200;

/// Change of availability caused by the result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Unchanged,
    /// Calls have failed for a while; the store last answered `answered_ms_ago`.
    Lost {
        answered_ms_ago: u64,
    },
    /// The store answers again, `outage_ms` after the first failed call.
    Regained {
        outage_ms: u64,
    },
}

/// Availability of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    last_answer_ms: u64,
    failing_since_ms: Option<u64>,
    is_unavailable: bool,
}

impl StoreHealth {
    /// Records a call that the store processed.
    pub fn record_answer(&mut self, now_ms: u64) -> Availability {
        let outage = self.is_unavailable.then(|| Availability::Regained {
            outage_ms: now_ms.saturating_sub(self.failing_since_ms.unwrap_or(now_ms)),
        });
        *self = Self {
            last_answer_ms: now_ms,
            failing_since_ms: None,
            is_unavailable: false,
        };
        outage.unwrap_or(Availability::Unchanged)
    }

    /// Records a call that the store refused or did not answer.
    pub fn record_failure(&mut self, now_ms: u64) -> Availability {
        let since_ms = *self.failing_since_ms.get_or_insert(now_ms);
        if self.is_unavailable || now_ms < since_ms + UNAVAILABLE_AFTER_MS {
            return Availability::Unchanged;
        }
        self.is_unavailable = true;
        Availability::Lost {
            answered_ms_ago: now_ms.saturating_sub(self.last_answer_ms),
        }
    }

    /// Whether calls have failed for a while.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Whether the store has answered no call at all for a while. Nothing that it lists is known to be current then,
    /// but neither can servers or callers have changed anything there.
    #[must_use]
    pub fn is_silent(&self, now_ms: u64) -> bool {
        self.is_unavailable || now_ms > self.last_answer_ms + SILENT_AFTER_MS
    }
}
