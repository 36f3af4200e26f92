//! Virtual time: a queue of events, delivered in the order of their times.

use std::collections::BTreeMap;

/// Events by time; those of the same time are delivered in the order in which they were added.
#[derive(Debug)]
pub struct EventQueue<E> {
    now_ms: u64,
    added: u64,
    events: BTreeMap<(u64, u64), E>,
}

impl<E> EventQueue<E> {
    /// Opens an empty queue at a time in milliseconds.
    #[must_use]
    pub fn open(now_ms: u64) -> Self {
        Self {
            now_ms,
            added: 0,
            events: BTreeMap::new(),
        }
    }

    /// Time of the last delivered event, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Adds an event at a time in milliseconds, or now if that has passed.
    pub fn at(&mut self, at_ms: u64, event: E) {
        self.added += 1;
        self.events
            .insert((at_ms.max(self.now_ms), self.added), event);
    }

    /// Adds an event after a delay in milliseconds.
    pub fn after(&mut self, delay_ms: u64, event: E) {
        self.at(self.now_ms + delay_ms, event);
    }

    /// Takes the next event up to a time, and advances to its time; without one, advances to `end_ms`.
    pub fn next(&mut self, end_ms: u64) -> Option<E> {
        let is_due = |&(at_ms, _): &(u64, u64)| at_ms <= end_ms;
        if self.events.keys().next().is_some_and(is_due) {
            let ((at_ms, _), event) = self.events.pop_first()?;
            self.now_ms = at_ms;
            return Some(event);
        }
        self.now_ms = self.now_ms.max(end_ms);
        None
    }
}
