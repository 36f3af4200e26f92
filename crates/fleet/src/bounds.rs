//! Time limits of leases, ownership and retention.

/// Time limits from the deployment's settings.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest lease that a server accepts.
    pub lease_max_ms: u64,
    /// Time within which a server stops a task.
    pub stop_ms: u64,
    /// Time for which the status of an ended job can be queried, and a tombstone is kept; see [`Bounds::retention_with`].
    pub retention_ms: u64,
    /// Interval at which servers renew their registrations.
    pub heartbeat_ms: u64,
    /// Time after a server's announcement that it is draining from which it must get no new tasks.
    pub drain_ms: u64,
    /// Time after the acknowledgement of an evacuation from which no task may start in its failure domain; `None` for no
    /// limit.
    pub evacuation_ms: Option<u64>,
}

/// Lease granted with each poll. With one poll per second, about 3 s remain when a server becomes unreachable:
/// longer than a change of owner takes, and short enough to restart its tasks elsewhere soon.
pub const LEASE_MS: u64 = 4_500;

/// Longest time for which an owner acts without a confirmation of its term. An owner that vanishes for good is noticed
/// after 2.1 s and replaced half a second later; the tasks that it leaves on lost servers then start elsewhere within the
/// 10 s that the service contract allows.
const AUTHORITY_MAX_MS: u64 = 6_000;

/// Part of the drain time, and of that of an evacuation, that is left for a start that has been decided to reach its server.
const START_TRANSIT_MS: u64 = 500;

/// Server clocks run up to 2% slow; one more percent covers the drift of the local clock.
const CLOCK_DRIFT_NUMERATOR: u64 = 103;
const CLOCK_DRIFT_DENOMINATOR: u64 = 100;

/// Allowance for the transit time of a request and for reading clocks.
pub const CLOCK_SLACK_MS: u64 = 300;

/// Longest time for which a host tries to have a job stored, whatever deadline its caller gives.
pub const ACCEPTANCE_MAX_MS: u64 = 30_000;

/// Longest time after which the store may carry out a write that got no answer. The platform says "seconds".
const LATE_WRITE_MAX_MS: u64 = 12_000;

/// Time within which callers repeat a submission by mistake. The platform says "seconds".
const LATE_REPEAT_MAX_MS: u64 = 12_000;

impl Bounds {
    /// Time for which the record of a job that has ended, or was cancelled before it was accepted, is kept if the settings ask for
    /// `retention_ms`: no acceptance of the job can come later.
    #[must_use]
    pub fn retention_with(retention_ms: u64) -> u64 {
        retention_ms.max(ACCEPTANCE_MAX_MS + LATE_WRITE_MAX_MS + LATE_REPEAT_MAX_MS)
    }

    /// Lease that a poll grants, on the server's clock.
    #[must_use]
    pub fn lease_ms(&self) -> u64 {
        LEASE_MS.min(self.lease_max_ms)
    }

    /// Leader lease: time for which an owner may act after the store last confirmed its term.
    #[must_use]
    pub fn authority_ms(&self) -> u64 {
        AUTHORITY_MAX_MS.min(self.lease_max_ms)
    }

    /// Age of the registrations from which no task is started: a server may have been draining since.
    #[must_use]
    pub fn registrations_max_age_ms(&self) -> u64 {
        self.drain_ms.saturating_sub(START_TRANSIT_MS)
    }

    /// Age of what is known of evacuations from which no task is started; `None` for no limit.
    #[must_use]
    pub fn evacuation_max_age_ms(&self) -> Option<u64> {
        Some(self.evacuation_ms?.saturating_sub(START_TRANSIT_MS))
    }

    /// Longest time on the local clock that a lease of `lease_ms` on a server's clock can last.
    #[must_use]
    pub fn lease_upper_bound_ms(lease_ms: u64) -> u64 {
        lease_ms * CLOCK_DRIFT_NUMERATOR / CLOCK_DRIFT_DENOMINATOR + CLOCK_SLACK_MS
    }

    /// Longest lease on a server's clock that is sure to expire within `remaining_ms` on the local clock.
    #[must_use]
    pub fn lease_within_ms(remaining_ms: u64) -> u64 {
        let certain_ms = remaining_ms.saturating_sub(CLOCK_SLACK_MS);
        certain_ms.saturating_mul(CLOCK_DRIFT_DENOMINATOR) / CLOCK_DRIFT_NUMERATOR
    }

    /// Time after a change of owner until every lease granted by earlier owners has expired. `authority_ms` is the
    /// longest time for which one of them may act without a confirmation; owners of earlier releases do not tell it, and
    /// act for as long as the longest lease.
    #[must_use]
    pub fn predecessor_expiry_ms(&self, authority_ms: Option<u64>) -> u64 {
        Self::lease_upper_bound_ms(authority_ms.unwrap_or(self.lease_max_ms))
    }
}
