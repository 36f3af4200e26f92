//! Limit on the log lines that others can cause.

use std::cell::Cell;

use crate::daemon::clock::now_ms;
use crate::logs::Line;

const WINDOW_MS: u64 = 10_000;

/// Enough to see the senders and reasons of a fault.
const LINES_MAX: u32 = 10;

/// Allows [`LINES_MAX`] lines in [`WINDOW_MS`], and counts the others.
#[derive(Debug, Default)]
pub struct LineLimit {
    window_start_ms: Cell<u64>,
    lines: Cell<u32>,
    unwritten: Cell<u64>,
}

impl LineLimit {
    /// Returns the number of lines left out since the last one if another line may be written at `now_ms`.
    pub fn admit(&self, now_ms: u64) -> Option<u64> {
        if now_ms >= self.window_start_ms.get() + WINDOW_MS {
            self.window_start_ms.set(now_ms);
            self.lines.set(0);
        }
        if self.lines.get() >= LINES_MAX {
            self.unwritten.set(self.unwritten.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.unwritten.take())
    }

    /// Writes a line, with the number of lines left out since the last one, unless too many were written.
    pub fn write(&self, line: impl FnOnce() -> Line) {
        match self.admit(now_ms()) {
            None => {}
            Some(0) => line().write(),
            Some(unwritten) => line().with("unwritten", unwritten).write(),
        }
    }
}
