//! When an entry host tries to become the owner of a shard.
//!
//! A change of owner is a conditional write to the shard's era, so two hosts that try at once cannot both succeed. The
//! waits below only decide who tries first. The owner's announcement vanishes with its lease, or by a fault of the
//! store while its owner works on; the owner itself writes it again at once.

/// Wait of a host of the same failure domain after the announcement vanished, in milliseconds: time for the owner to
/// write it again.
const NEIGHBOUR_WAIT_MS: u64 = 400;

/// Wait of a host of another failure domain, in milliseconds: the own hosts, which are nearer to the servers, are given
/// time for a few tries. Restarts take longer, but callers wait meanwhile.
const REMOTE_WAIT_MS: u64 = 2_000;

/// Spread between hosts with the same wait, in milliseconds, so that one try usually suffices.
const SPREAD_MS: u64 = 150;

/// What a host knows of the owner of a shard.
#[derive(Clone, Copy, Debug)]
pub struct Vacancy {
    /// Since when no owner is announced, in milliseconds.
    pub since_ms: u64,
    /// Whether the last owner gave the shard up.
    pub released: bool,
    /// Whether the host is of the shard's failure domain.
    pub is_neighbour: bool,
    /// Rank of the host among those that may try.
    pub rank: u64,
}

impl Vacancy {
    /// When the host tries, in milliseconds.
    #[must_use]
    pub fn try_at_ms(&self) -> u64 {
        let wait_ms = match (self.is_neighbour, self.released) {
            (true, true) => 0,
            (true, false) => NEIGHBOUR_WAIT_MS,
            (false, _) => REMOTE_WAIT_MS,
        };
        self.since_ms + wait_ms + self.rank * SPREAD_MS
    }
}
