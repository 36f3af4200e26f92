//! The monotonic clock of this process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use primrosestack_core::time::MonoMs;

/// Monotonic clock in milliseconds; copies share the same origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at 1,000 ms, so that times shortly before its start can be represented.
    #[must_use]
    pub fn open() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    #[must_use]
    pub fn now(&self) -> MonoMs {
        let elapsed_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        MonoMs(elapsed_ms.saturating_add(1_000))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch, for finish-by times and records; never for durations.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
