//! Monotonic clock of the daemon.

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since boot, including time in suspend, so that an owner's authority does not outlast a suspension.
#[must_use]
pub fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}

pub use crate::clock::unix_ms;
