//! Times that the deployment's contract sets.

/// Times of a deployment, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest lease that a server grants, from the deployment's settings.
    pub lease_max_ms: u64,
    /// Time within which a server stops a task, from the deployment's settings.
    pub stop_ms: u64,
    /// Time for which the state of an ended job can be asked for, from the deployment's settings.
    pub retention_ms: u64,
    /// Interval of the servers' registrations, from the deployment's settings.
    pub heartbeat_ms: u64,
}

/// Lease given to a server with each look, in milliseconds. Looks come each second, so about 3 s remain when a server
/// becomes unreachable: longer than a change of owner takes, short enough to start its tasks elsewhere soon.
pub const LEASE_MS: u64 = 4_500;

/// Clocks of servers run up to 2% slow; one more percent covers the error of this host's clock.
const CLOCK_DRIFT_NUMERATOR: u64 = 103;
const CLOCK_DRIFT_DENOMINATOR: u64 = 100;

/// Allowance for the transfer of an order and the reading of clocks, in milliseconds.
pub const CLOCK_SLACK_MS: u64 = 300;

impl Bounds {
    /// Lease that a look asks for, in milliseconds on the server's clock.
    #[must_use]
    pub fn lease_ms(&self) -> u64 {
        LEASE_MS.min(self.lease_max_ms)
    }

    /// Time for which an owner may act after the store last confirmed it, in milliseconds.
    #[must_use]
    pub fn authority_ms(&self) -> u64 {
        self.lease_max_ms
    }

    /// Longest time on this host's clock that a lease of `lease_ms` on a server's clock lasts.
    #[must_use]
    pub fn lease_upper_bound_ms(lease_ms: u64) -> u64 {
        lease_ms * CLOCK_DRIFT_NUMERATOR / CLOCK_DRIFT_DENOMINATOR + CLOCK_SLACK_MS
    }

    /// Lease on a server's clock that certainly ends within `remaining_ms` on this host's clock.
    #[must_use]
    pub fn lease_within_ms(remaining_ms: u64) -> u64 {
        remaining_ms.saturating_sub(CLOCK_SLACK_MS) * CLOCK_DRIFT_DENOMINATOR
            / CLOCK_DRIFT_NUMERATOR
    }

    /// Time after a change of owner when no order of the previous owner can run any more.
    #[must_use]
    pub fn predecessor_expiry_ms(&self) -> u64 {
        Self::lease_upper_bound_ms(self.authority_ms())
    }
}
