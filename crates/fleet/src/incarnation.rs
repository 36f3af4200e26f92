//! Incarnations of backend servers.

/// Incarnation of a server, which begins with each start of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// Start in milliseconds since the Unix epoch, as reported by the server; 0 if unknown.
    pub started_unix_ms: u64,
}

impl Incarnation {
    #[must_use]
    pub fn started_at(started_unix_ms: u64) -> Self {
        Self { started_unix_ms }
    }
}

/// Value that is valid for one incarnation of a server only. Its clock and its numbering of ends start anew with each, so
/// the next one would take such a value for one of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OfIncarnation<T> {
    incarnation: Incarnation,
    value: T,
}

impl<T> OfIncarnation<T> {
    #[must_use]
    pub fn new(incarnation: Incarnation, value: T) -> Self {
        Self { incarnation, value }
    }

    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The value, if `incarnation` is the one that it is valid for.
    #[must_use]
    pub fn valid_in(&self, incarnation: Incarnation) -> Option<&T> {
        (self.incarnation == incarnation).then_some(&self.value)
    }
}
