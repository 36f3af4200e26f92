//! Monotonic time of a process, in milliseconds.

use std::ops::{Add, Sub};

/// Instant on the monotonic clock of a process, in milliseconds since an arbitrary origin.
///
/// Instants of different processes are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonoMs(pub u64);

/// Duration in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DurationMs(pub u64);

impl MonoMs {
    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

impl DurationMs {
    /// Returns the time to wait on the local clock until this duration has certainly elapsed on another one, for clock
    /// rates that differ by up to `drift_ppm` parts per million: `self * (1 + 2 * drift)`, rounded up.
    #[must_use]
    pub fn with_drift(self, drift_ppm: u64) -> Self {
        let extra_ms = (self.0 * 2 * drift_ppm).div_ceil(1_000_000);
        Self(self.0 + extra_ms)
    }
}

impl Add<DurationMs> for MonoMs {
    type Output = Self;

    fn add(self, rhs: DurationMs) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub<DurationMs> for MonoMs {
    type Output = Self;

    fn sub(self, rhs: DurationMs) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}
