//! Decides which connections to admit and to close, and how many bytes bodies may take. Without I/O.

use std::net::IpAddr;

use crate::daemon::ingress::limits::Limits;

/// Bodies are slow to begin with: the minimum rate applies after this time.
const RATE_GRACE_MS: u64 = 1_000;

/// Time for which a connection is drained after its last response, so that a caller that still sends can read it.
const DRAIN_MS: u64 = 1_000;

/// Key of a connection in a [`Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionKey(usize);

impl ConnectionKey {
    #[must_use]
    pub fn index(self) -> usize {
        self.0
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Between requests.
    Idle,
    Head,
    Body,
    /// A request is complete and being carried out; its job may be being stored.
    Busy,
    /// The caller has not read the response.
    Answer,
    /// What the caller still sends is discarded.
    Draining,
}

/// Limit that was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    Connections,
    ConnectionsPerAddress,
    BodyBytes,
    HeadSize,
    HeadTime,
    BodyTime,
    BodyRate,
    Idle,
    Pipelined,
    AnswerStall,
    DrainTime,
}

impl Limit {
    pub const COUNT: usize = 11;

    /// Name in log lines and metrics: that of the setting, where there is one.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections_max",
            Self::ConnectionsPerAddress => "connections_per_address_max",
            Self::BodyBytes => "body_bytes_total_max",
            Self::HeadSize => "head_size",
            Self::HeadTime => "head_ms",
            Self::BodyTime => "body_ms_max",
            Self::BodyRate => "body_bytes_per_s_min",
            Self::Idle => "idle_ms",
            Self::Pipelined => "pipelined_max",
            Self::AnswerStall => "answer_stall_ms",
            Self::DrainTime => "drain",
        }
    }

    /// Whether callers that behave reach it too.
    #[must_use]
    pub fn is_usual(self) -> bool {
        matches!(self, Self::Idle | Self::DrainTime)
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    address: IpAddr,
    phase: Phase,
    phase_since_ms: u64,
    /// When a byte was last received or sent.
    progress_ms: u64,
    /// Bytes received in this phase.
    received_bytes: u64,
    /// Requests since bytes were last received.
    served_since_read: u32,
    is_closing: bool,
}

/// Whether a new connection is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Admitted {
        key: ConnectionKey,
        /// Connection to close in its favour, and the limit that requires it.
        shed: Option<(ConnectionKey, Limit)>,
    },
    Refused(Limit),
}

/// Connections of a listener and the bytes of their bodies.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    entries: Vec<Option<Entry>>,
    free: Vec<usize>,
    /// Without those that are told to close.
    open: usize,
    body_bytes: usize,
}

impl Table {
    #[must_use]
    pub fn open(limits: Limits) -> Self {
        Self {
            limits,
            entries: Vec::new(),
            free: Vec::new(),
            open: 0,
            body_bytes: 0,
        }
    }

    #[must_use]
    pub fn connections(&self) -> usize {
        self.open
    }

    #[must_use]
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Admits a connection, in place of another one if there are too many.
    pub fn admit(&mut self, address: IpAddr, now_ms: u64) -> Admission {
        let mut shed = None;
        if self.limits.connections_per_address_max < self.limits.connections_max {
            let is_same = |entry: &Entry| entry.address == address;
            let live = self.entries.iter().flatten();
            let count = live
                .filter(|entry| !entry.is_closing && is_same(entry))
                .count();
            if count >= self.limits.connections_per_address_max {
                let Some(key) = self.victim(is_same) else {
                    return Admission::Refused(Limit::ConnectionsPerAddress);
                };
                shed = Some((key, Limit::ConnectionsPerAddress));
            }
        }
        if shed.is_none() && self.open >= self.limits.connections_max {
            let Some(key) = self.victim(|_| true) else {
                return Admission::Refused(Limit::Connections);
            };
            shed = Some((key, Limit::Connections));
        }
        if let Some((key, _)) = shed {
            self.close(key);
        }
        let entry = Entry {
            address,
            phase: Phase::Idle,
            phase_since_ms: now_ms,
            progress_ms: now_ms,
            received_bytes: 0,
            served_since_read: 0,
            is_closing: false,
        };
        self.open += 1;
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push(None);
            self.entries.len() - 1
        });
        self.entries[index] = Some(entry);
        Admission::Admitted {
            key: ConnectionKey(index),
            shed,
        }
    }

    /// The connection to close first: the one that has waited longest without progress while its request is incomplete or
    /// its response unread, else the one that has been idle longest. Never one whose job is being stored.
    fn victim(&self, may_close: impl Fn(&Entry) -> bool) -> Option<ConnectionKey> {
        let mut best = None;
        for (index, entry) in self.entries.iter().enumerate() {
            let Some(entry) = entry else { continue };
            if entry.is_closing || entry.phase == Phase::Busy || !may_close(entry) {
                continue;
            }
            let rank = (entry.phase == Phase::Idle, entry.progress_ms);
            if best.is_none_or(|(other, _)| rank < other) {
                best = Some((rank, index));
            }
        }
        best.map(|(_, index)| ConnectionKey(index))
    }

    /// Marks a connection as one to close. Its entry stays until it is closed.
    fn close(&mut self, key: ConnectionKey) {
        if let Some(entry) = &mut self.entries[key.0]
            && !entry.is_closing
        {
            entry.is_closing = true;
            self.open -= 1;
        }
    }

    /// Whether the connection was marked as one to close.
    #[must_use]
    pub fn is_closing(&self, key: ConnectionKey) -> bool {
        self.entries[key.0].is_some_and(|entry| entry.is_closing)
    }

    /// Forgets a connection that is closed.
    pub fn remove(&mut self, key: ConnectionKey) {
        self.close(key);
        self.entries[key.0] = None;
        self.free.push(key.0);
    }

    pub fn set_phase(&mut self, key: ConnectionKey, phase: Phase, now_ms: u64) {
        let Some(entry) = &mut self.entries[key.0] else {
            return;
        };
        entry.phase = phase;
        entry.phase_since_ms = now_ms;
        entry.progress_ms = now_ms;
        entry.received_bytes = 0;
    }

    /// Records received bytes. The first ones of an idle connection begin a head.
    pub fn received(&mut self, key: ConnectionKey, bytes: u64, now_ms: u64) {
        let Some(entry) = &mut self.entries[key.0] else {
            return;
        };
        if entry.phase == Phase::Idle {
            entry.phase = Phase::Head;
            entry.phase_since_ms = now_ms;
            entry.received_bytes = 0;
        }
        entry.progress_ms = now_ms;
        entry.received_bytes += bytes;
        entry.served_since_read = 0;
    }

    pub fn sent(&mut self, key: ConnectionKey, now_ms: u64) {
        if let Some(entry) = &mut self.entries[key.0] {
            entry.progress_ms = now_ms;
        }
    }

    /// Records that nothing is left to send. Returns whether that ended a response.
    pub fn flushed(&mut self, key: ConnectionKey, now_ms: u64) -> bool {
        let is_answered = self.entries[key.0].is_some_and(|entry| entry.phase == Phase::Answer);
        if is_answered {
            self.set_phase(key, Phase::Idle, now_ms);
        }
        is_answered
    }

    /// Begins a request. Returns whether it is the last one that the connection may send ahead.
    pub fn begin_request(&mut self, key: ConnectionKey, now_ms: u64) -> bool {
        self.set_phase(key, Phase::Busy, now_ms);
        let Some(entry) = &mut self.entries[key.0] else {
            return true;
        };
        entry.served_since_read += 1;
        entry.served_since_read >= self.limits.pipelined_max
    }

    /// Changes a reservation for a body from `held` to `wanted` bytes. Incomplete bodies never take the last quarter of the
    /// budget.
    pub fn reserve(&mut self, held: usize, wanted: usize, is_complete: bool) -> bool {
        let total = self.limits.body_bytes_total_max;
        let allowed = if is_complete {
            total
        } else {
            total - total / 4
        };
        let bytes = self.body_bytes - held + wanted;
        if wanted > held && bytes > allowed {
            return false;
        }
        self.body_bytes = bytes;
        true
    }

    /// Chooses the incomplete body that has made no progress for longest, other than that of `key`, to be closed.
    pub fn shed_body(&mut self, key: ConnectionKey) -> Option<ConnectionKey> {
        // The bodies of connections that are closing are released shortly.
        let own_progress_ms = self.entries[key.0].map_or(0, |entry| entry.progress_ms);
        let victim =
            self.victim(|entry| entry.phase == Phase::Body && entry.progress_ms < own_progress_ms)?;
        self.close(victim);
        Some(victim)
    }

    /// Marks the connections that are over a time limit as ones to close, and returns them.
    pub fn close_overdue(&mut self, now_ms: u64) -> Vec<(ConnectionKey, Limit)> {
        let mut overdue = Vec::new();
        for (index, entry) in self.entries.iter().enumerate() {
            let Some(entry) = entry else { continue };
            if entry.is_closing {
                continue;
            }
            if let Some(limit) = overdue_limit(entry, &self.limits, now_ms) {
                overdue.push((ConnectionKey(index), limit));
            }
        }
        for (key, _) in &overdue {
            self.close(*key);
        }
        overdue
    }

    /// Connections that have been between requests for `idle_ms`.
    #[must_use]
    pub fn idle_for(&self, idle_ms: u64, now_ms: u64) -> Vec<ConnectionKey> {
        let is_idle = |entry: &Entry| {
            entry.phase == Phase::Idle
                && !entry.is_closing
                && entry.phase_since_ms + idle_ms <= now_ms
        };
        let entries = self.entries.iter().enumerate();
        let idle = entries.filter(|(_, entry)| entry.as_ref().is_some_and(is_idle));
        idle.map(|(index, _)| ConnectionKey(index)).collect()
    }
}

fn overdue_limit(entry: &Entry, limits: &Limits, now_ms: u64) -> Option<Limit> {
    let elapsed_ms = now_ms.saturating_sub(entry.phase_since_ms);
    let stalled_ms = now_ms.saturating_sub(entry.progress_ms);
    let over = |is_over: bool, limit| is_over.then_some(limit);
    match entry.phase {
        Phase::Busy => None,
        Phase::Idle => over(elapsed_ms > limits.idle_ms, Limit::Idle),
        Phase::Head => over(elapsed_ms > limits.head_ms, Limit::HeadTime),
        Phase::Answer => over(stalled_ms > limits.answer_stall_ms, Limit::AnswerStall),
        Phase::Draining => over(elapsed_ms > DRAIN_MS, Limit::DrainTime),
        Phase::Body => {
            let due_ms = elapsed_ms.saturating_sub(RATE_GRACE_MS);
            let due_bytes = due_ms * limits.body_bytes_per_s_min / 1_000;
            over(elapsed_ms > limits.body_ms_max, Limit::BodyTime)
                .or(over(entry.received_bytes < due_bytes, Limit::BodyRate))
        }
    }
}
