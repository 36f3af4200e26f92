//! Leader election of a shard: when an entry host tries to become owner, and when an owner steps down.
//!
//! Ownership changes by a conditional write to the shard's term, so at most one of several concurrent candidates
//! succeeds. The waits below only decide who tries first. An owner's announcement disappears when its lease expires, or
//! through a fault of the store while the owner is still active; in that case the owner writes it again.

/// Wait of a local host after the announcement disappeared, in which the owner can write it again.
const LOCAL_WAIT_MS: u64 = 400;

/// Wait of a host of another failure domain. Local hosts are closer to the servers and get time for several attempts
/// first; a host that restarts takes longer, but callers should not wait for it.
const REMOTE_WAIT_MS: u64 = 2_000;

/// Wait of a host of another failure domain whose CPU is ample for any shard. Such hosts go before small local ones:
/// a small host with a large shard is too busy to renew its announcement, and the shard changes its owner again and
/// again.
const AMPLE_REMOTE_WAIT_MS: u64 = 800;

/// CPU that is ample for a shard, in millicores: some hundred servers are polled each second with a third of it.
const AMPLE_CPU_MILLIS: u32 = 400;

/// Extra wait of a host with much less CPU than the last owner: time for hosts of similar size to try.
const WEAKER_WAIT_MS: u64 = 1_200;

/// CPU ratio from which a host counts as much stronger; the larger hosts of a deployment have several times the CPU of
/// the others.
const STRONGER_FACTOR: u32 = 2;

/// Minimum time an owner keeps a shard before it steps down for a better placed host, which prevents flapping.
const OWNERSHIP_MIN_MS: u64 = 3_000;

/// CPU time per poll, including the handling of its report. In a measured run, 9,604 polls and all other work of the
/// owners took 7.5 s; two thirds of that time per poll are assumed.
const POLL_CPU_MICROS: u64 = 500;

/// Maximum share of an owner's CPU time spent on polls.
const POLL_CPU_MAX_PERCENT: u64 = 80;

/// Intervals below this are treated as 0, since the CPU is far from saturated then.
const POLL_INTERVAL_THRESHOLD_MS: u64 = 200;

/// Stagger between hosts with the same wait, so that one attempt usually suffices.
const RANK_STAGGER_MS: u64 = 150;

/// A shard without an announced owner, as seen by a candidate host.
#[derive(Clone, Copy, Debug)]
pub struct Vacancy {
    /// When the owner's announcement disappeared.
    pub since_ms: u64,
    /// Whether the last owner released the shard.
    pub released: bool,
    /// Whether the candidate is in the shard's failure domain.
    pub is_local: bool,
    /// Whether the last owner was much stronger than the candidate.
    pub is_weaker: bool,
    /// CPU available to the candidate, in millicores.
    pub cpu_millis: u32,
    /// Rank of the candidate among all candidates.
    pub rank: u64,
}

impl Vacancy {
    /// Time at which the candidate tries to claim the shard.
    #[must_use]
    pub fn claim_at_ms(&self) -> u64 {
        let wait_ms = match (self.is_local, self.released) {
            (true, true) => 0,
            (true, false) => LOCAL_WAIT_MS,
            (false, _) if self.cpu_millis >= AMPLE_CPU_MILLIS => AMPLE_REMOTE_WAIT_MS,
            (false, _) => REMOTE_WAIT_MS,
        };
        let weaker_ms = if self.is_weaker { WEAKER_WAIT_MS } else { 0 };
        self.since_ms + wait_ms + weaker_ms + self.rank * RANK_STAGGER_MS
    }
}

/// Whether a host has at least `STRONGER_FACTOR` times the CPU of another, both in millicores.
#[must_use]
pub fn is_much_stronger(cpu_millis: u32, other_millis: u32) -> bool {
    cpu_millis >= other_millis.saturating_mul(STRONGER_FACTOR)
}

/// Properties of a host that decide how well it is placed to own a shard.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Whether the host is in the shard's failure domain.
    pub is_local: bool,
    /// CPU available to the daemon, in millicores.
    pub cpu_millis: u32,
}

/// Whether an owner should step down for another host that reaches both the store and the owner. A nearer host waits until
/// the owner has settled: each change of owner begins a new wait for the leases of servers that do not answer.
#[must_use]
pub fn should_step_down(
    owner: Candidate,
    other: Candidate,
    owned_for_ms: u64,
    is_settled: bool,
) -> bool {
    let is_nearer = other.is_local && !owner.is_local;
    let is_weaker = is_much_stronger(owner.cpu_millis, other.cpu_millis);
    let is_stronger = other.is_local && is_much_stronger(other.cpu_millis, owner.cpu_millis);
    owned_for_ms >= OWNERSHIP_MIN_MS && ((is_nearer && !is_weaker && is_settled) || is_stronger)
}

/// Minimum interval between polls of one server, so that an owner with little CPU can still renew the leases of all
/// `servers`. A poll returns at each end of a run, which is often on a busy server.
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
