//! Monotonic time of one process, in whole milliseconds.

use std::ops::{Add, Sub};

/// A point on the monotonic clock of one process, in milliseconds since an arbitrary start.
///
/// Values of different processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonoMs(pub u64);

/// A length of time in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DurationMs(pub u64);

impl MonoMs {
    /// Time since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

impl DurationMs {
    /// This duration as the slowest permitted clock has to wait for it, for clocks whose rates differ by up to
    /// `drift_ppm` parts per million: `self * (1 + 2 * drift)`, rounded up.
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
