//! The monotonic clock of this process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use primrosestack_core::time::MonoMs;

/// Reads the monotonic clock in milliseconds since it was opened; a copy is the same clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Opens a clock at 1,000 ms, so that a time shortly before now can be expressed.
    #[must_use]
    pub fn open() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Now.
    #[must_use]
    pub fn now(&self) -> MonoMs {
        let elapsed_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        MonoMs(elapsed_ms.saturating_add(1_000))
    }
}

/// Wall clock in milliseconds since the Unix epoch, for finish-by times only.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
