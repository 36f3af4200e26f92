//! Lease expiry with bounded clock drift, and the authority of an owner over tasks (design page, 3.1 and 3.2).

use crate::time::{DurationMs, MonoMs};

/// Duration of a task lease, in milliseconds on the clock of the backend server.
pub const LEASE_MS: u64 = 10_000;

/// Validity of a store confirmation, in milliseconds since its call was sent.
pub const CONFIRM_MS: u64 = 6_000;

/// Validity of a successor's promise, in milliseconds since the heartbeat that it answers was sent.
pub const PROMISE_MS: u64 = 1_500;

/// Returns when all leases based on a server timestamp that arrived at `received` have certainly expired.
#[must_use]
pub fn lease_expiry(received: MonoMs, drift_ppm: u64) -> MonoMs {
    received + DurationMs(LEASE_MS).with_drift(drift_ppm)
}

/// Returns when all leases that the previous owner granted on a store confirmation have certainly expired, for a
/// takeover that was confirmed at `answered`.
#[must_use]
pub fn takeover_lease_expiry(answered: MonoMs, drift_ppm: u64) -> MonoMs {
    let confirmation_ended = answered + DurationMs(CONFIRM_MS).with_drift(drift_ppm);
    lease_expiry(confirmation_ended, drift_ppm)
}

/// Returns when all leases granted on a promise or at rank 1 of a released term have certainly expired, for a release
/// that arrived at `arrived`.
#[must_use]
pub fn release_lease_expiry(arrived: MonoMs, drift_ppm: u64) -> MonoMs {
    let promise_ended = arrived + DurationMs(PROMISE_MS).with_drift(drift_ppm);
    lease_expiry(promise_ended, drift_ppm)
}

/// Proofs that entitle an owner to renew leases and to start tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Authority {
    confirmation_sent: Option<MonoMs>,
    promise_sent: Option<MonoMs>,
    forever: bool,
}

impl Authority {
    /// Records a read or commit that showed that this host owns its term; `sent` is when the call was sent.
    pub fn confirm(&mut self, sent: MonoMs) {
        self.confirmation_sent = self.confirmation_sent.max(Some(sent));
    }

    /// Records a promise of the designated successor; `sent` is when the heartbeat that it answers was sent.
    pub fn promise(&mut self, sent: MonoMs, forever: bool) {
        self.promise_sent = self.promise_sent.max(Some(sent));
        self.forever |= forever;
    }

    /// Drops the promise, because the term that it was granted for may have ended.
    pub fn drop_promise(&mut self) {
        self.promise_sent = None;
        self.forever = false;
    }

    /// Whether a store confirmation is still valid.
    #[must_use]
    pub fn is_confirmed(&self, now: MonoMs) -> bool {
        let sent = self.confirmation_sent;
        sent.is_some_and(|sent| now < sent + DurationMs(CONFIRM_MS))
    }

    /// Whether a confirming call was sent at `time` or later, which proves that no higher term existed at `time`.
    #[must_use]
    pub fn is_confirmed_since(&self, time: MonoMs) -> bool {
        self.confirmation_sent.is_some_and(|sent| sent >= time)
    }

    /// Whether a promise is still valid. It proves that the successor has never acted at rank 1 of the term up to now,
    /// since a holder of rank 1 grants no promises.
    #[must_use]
    pub fn is_promised(&self, now: MonoMs) -> bool {
        let sent = self.promise_sent;
        self.forever || sent.is_some_and(|sent| now < sent + DurationMs(PROMISE_MS))
    }

    /// Whether the successor has promised never to take over this term.
    #[must_use]
    pub fn is_promised_forever(&self) -> bool {
        self.forever
    }

    /// Whether the owner may renew leases and start tasks.
    #[must_use]
    pub fn holds(&self, now: MonoMs) -> bool {
        self.is_confirmed(now) || self.is_promised(now)
    }
}

/// Promise of a successor not to take over a term until a given time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantedPromise {
    term: u64,
    until: MonoMs,
    forever: bool,
}

impl GrantedPromise {
    /// Promises not to take over `term` for `PROMISE_MS` from now. The owner's clock may run slower than this one, so
    /// the drift is added here.
    pub fn extend(&mut self, now: MonoMs, term: u64, drift_ppm: u64) {
        let until = now + DurationMs(PROMISE_MS).with_drift(drift_ppm);
        let forever = self.forever && self.term == term;
        *self = Self {
            term,
            until,
            forever,
        };
    }

    /// Promises never to take over `term`.
    pub fn extend_forever(&mut self, term: u64) {
        self.term = term;
        self.forever = true;
    }

    /// Whether a takeover of `term` would break the promise at `now`.
    #[must_use]
    pub fn binds(&self, now: MonoMs, term: u64) -> bool {
        self.term == term && (self.forever || now < self.until)
    }

    /// Returns when the promise for `term` expires, if there is one and it is not permanent.
    #[must_use]
    pub fn expires_at(&self, term: u64) -> Option<MonoMs> {
        (self.term == term && !self.forever).then_some(self.until)
    }
}
