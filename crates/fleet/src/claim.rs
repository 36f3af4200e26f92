//! When an entry host tries to become the owner of a shard.
//!
//! A change of owner is a conditional write to the shard's era, so two hosts that try at once cannot both succeed. The
//! waits below only decide who tries first. The owner's announcement vanishes with its lease, or by a fault of the
//! store while its owner works on; the owner itself writes it again at once.

/// Wait of a host of the same failure domain after the announcement vanished, in milliseconds: time for the owner to
/// write it again.
const LOCAL_WAIT_MS: u64 = 400;

/// Wait of a host of another failure domain, in milliseconds: the own hosts, which are nearer to the servers, are given
/// time for a few tries. Restarts take longer, but callers wait meanwhile.
const REMOTE_WAIT_MS: u64 = 2_000;

/// Wait of a host that is much weaker than the last owner, in milliseconds: the time in which a host like that one tries.
const WEAKER_WAIT_MS: u64 = 600;

/// Factor in processor time from which a host counts as much stronger than another: the larger hosts of a deployment
/// have several times that of the others.
const STRONGER_FACTOR: u32 = 2;

/// Time for which an owner keeps a shard at least before it gives it up for a better placed host, in milliseconds, so that
/// a shard does not move to and fro.
const OWNERSHIP_MIN_MS: u64 = 3_000;

/// Processor time of one look at a server with what follows from it, in microseconds: two thirds of the time that the
/// daemons of Fichaluz used for each look on trouble-3, where 9,604 looks and all other work took 7.5 s.
const POLL_CPU_MICROS: u64 = 500;

/// Share of its processor time that an owner spends on looks at most, in percent.
const POLL_CPU_MAX_PERCENT: u64 = 80;

/// Gap between looks below which none is kept, in milliseconds: the processor is then far from being used up.
const POLL_INTERVAL_THRESHOLD_MS: u64 = 200;

/// Spread between hosts with the same wait, in milliseconds, so that one try usually suffices.
const RANK_STAGGER_MS: u64 = 150;

/// What a host knows of the owner of a shard.
#[derive(Clone, Copy, Debug)]
pub struct Vacancy {
    /// Since when no owner is announced, in milliseconds.
    pub since_ms: u64,
    /// Whether the last owner gave the shard up.
    pub released: bool,
    /// Whether the host is of the shard's failure domain.
    pub is_local: bool,
    /// Whether the last owner was much stronger.
    pub is_weaker: bool,
    /// Rank of the host among those that may try.
    pub rank: u64,
}

impl Vacancy {
    /// When the host tries, in milliseconds.
    #[must_use]
    pub fn claim_at_ms(&self) -> u64 {
        let wait_ms = match (self.is_local, self.released) {
            (true, true) => 0,
            (true, false) => LOCAL_WAIT_MS,
            (false, _) => REMOTE_WAIT_MS,
        };
        let weaker_ms = if self.is_weaker { WEAKER_WAIT_MS } else { 0 };
        self.since_ms + wait_ms + weaker_ms + self.rank * RANK_STAGGER_MS
    }
}

/// Whether a host is much stronger than another, by their processor times in thousandths of a core.
#[must_use]
pub fn is_much_stronger(cpu_millis: u32, other_millis: u32) -> bool {
    cpu_millis >= other_millis.saturating_mul(STRONGER_FACTOR)
}

/// How well a host is placed to own a shard.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Whether it is of the shard's failure domain.
    pub is_local: bool,
    /// Processor time that it may use, in thousandths of a core.
    pub cpu_millis: u32,
}

/// Whether an owner should give a shard up for another host that reaches the store and the owner.
#[must_use]
pub fn should_step_down(owner: Candidate, other: Candidate, owned_for_ms: u64) -> bool {
    let is_nearer = other.is_local && !owner.is_local;
    let is_weaker = is_much_stronger(owner.cpu_millis, other.cpu_millis);
    let is_stronger = other.is_local && is_much_stronger(other.cpu_millis, owner.cpu_millis);
    owned_for_ms >= OWNERSHIP_MIN_MS && ((is_nearer && !is_weaker) || is_stronger)
}

/// Least time between looks at one server, in milliseconds, so that an owner with little processor time can renew the
/// leases of all `servers`. A look returns with each end, which are many on a busy server.
#[must_use]
pub fn poll_interval_min_ms(servers: usize, cpu_millis: u32) -> u64 {
    let cpu_micros_per_round = servers as u64 * POLL_CPU_MICROS;
    let interval_ms =
        cpu_micros_per_round * 100 / (POLL_CPU_MAX_PERCENT * u64::from(cpu_millis.max(1)));
    if interval_ms < POLL_INTERVAL_THRESHOLD_MS {
        0
    } else {
        interval_ms
    }
}
