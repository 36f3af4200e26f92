//! Decides whether a job is accepted, and which shard gets it, by what the shards hold. Without I/O.
//!
//! Each waiting task takes memory of the owner and is sorted in each plan, a job takes memory until its end is recorded, and
//! the status of an ended one is retained. Many jobs within the limits on one job could exhaust the process.

use crate::footprint::JobSize;
use crate::intake::{Load, choose_home};
use crate::job::JobSpec;
use crate::open_tasks::{OpenTasks, ShardLimits, is_served, queue_of};
use crate::tombstones::TOMBSTONES_MAX;

/// A limit of a shard that a job would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    OpenTasks,
    JobBytes,
    /// Share of the open tasks for jobs that no known server could complete.
    UnservedTasks,
    /// The same share of the bytes.
    UnservedBytes,
    EndedJobs,
}

impl Limit {
    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::OpenTasks => "open_tasks_max",
            Self::JobBytes => "job_bytes_max",
            Self::UnservedTasks => "unserved_tasks_max",
            Self::UnservedBytes => "unserved_bytes_max",
            Self::EndedJobs => "ended_jobs_max",
        }
    }
}

/// Reciprocal of the share of a shard that jobs may hold which no known server could complete. They wait for a server that
/// may never come, and everybody else waits behind them.
const UNSERVED_SHARE: u64 = 4;

impl Limit {
    /// The maximum for all jobs of a shard.
    #[must_use]
    pub fn max(self, limits: ShardLimits) -> u64 {
        match self {
            Self::OpenTasks => limits.open_tasks_max,
            Self::JobBytes => limits.job_bytes_max,
            Self::UnservedTasks => limits.open_tasks_max / UNSERVED_SHARE,
            Self::UnservedBytes => limits.job_bytes_max / UNSERVED_SHARE,
            Self::EndedJobs => limits.ended_jobs_max,
        }
    }
}

/// Why a job is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// All failure domains are evacuated.
    Evacuated,
    /// No failure domain has room for it; `index` is that of the shard with the fewest open tasks, which would exceed `limit`.
    NoRoom { index: usize, limit: Limit },
}

/// What an accepting host knows of a shard.
#[derive(Clone, Copy, Debug)]
pub struct ShardState<'a> {
    /// `None` if the owner does not respond.
    pub load: Option<&'a Load>,
    pub open_tasks: &'a OpenTasks,
    pub is_evacuated: bool,
}

/// A shard that gets a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    pub index: usize,
    /// Whether each step of the job could run on a server that is known.
    pub is_served: bool,
}

/// Whether an amount would exceed a maximum, or that of its queue. A queue has at most half, so that its callers cannot shut
/// out those of the others; a job may have more than that if its queue has nothing, or if the shard has nothing at all.
fn exceeds(added: u64, of_queue: u64, total: u64, max: u64) -> bool {
    let is_within_share = of_queue == 0 || of_queue.saturating_add(added) <= max / 2;
    total > 0 && (total.saturating_add(added) > max || !is_within_share)
}

/// Whether a shard may get another tombstone from callers of a queue.
#[must_use]
pub fn admits_tombstone(open: &OpenTasks, queue: &str) -> bool {
    let of_queue = open.of_queue(queue).tombstones;
    !exceeds(1, of_queue, open.tombstones, TOMBSTONES_MAX)
}

/// Checks whether a shard may get a job. `own_limits` apply if the owner does not tell its limits.
///
/// # Errors
///
/// Returns the first limit that would be exceeded.
pub fn check(
    open: &OpenTasks,
    job: &JobSpec,
    is_served: bool,
    own_limits: ShardLimits,
) -> Result<(), Limit> {
    let limits = open.limits.unwrap_or(own_limits);
    let JobSize { tasks, bytes } = JobSize::of(job);
    let of_queue = open.of_queue(queue_of(job));
    if open.ended_jobs >= limits.ended_jobs_max {
        return Err(Limit::EndedJobs);
    }
    let own = of_queue.size();
    for (limit, added, of_queue, total) in [
        (Limit::OpenTasks, tasks, own.tasks, open.total),
        (Limit::JobBytes, bytes, own.bytes, open.bytes),
    ] {
        if exceeds(added, of_queue, total, limit.max(limits)) {
            return Err(limit);
        }
    }
    if is_served {
        return Ok(());
    }
    let (own, all) = (of_queue.unserved(), open.unserved());
    for (limit, added, of_queue, total) in [
        (Limit::UnservedTasks, tasks, own.tasks, all.tasks),
        (Limit::UnservedBytes, bytes, own.bytes, all.bytes),
    ] {
        let max = limit.max(limits);
        // A single job over the share is refused too: its caller waits until there is a server for it.
        if added > max || exceeds(added, of_queue, total, max) {
            return Err(limit);
        }
    }
    Ok(())
}

/// Chooses the shard that should keep a job; `own_index` is the index of the accepting failure domain.
///
/// # Errors
///
/// Returns why the job is not accepted.
pub fn admit(
    own_index: usize,
    shards: &[ShardState],
    job: &JobSpec,
    own_limits: ShardLimits,
) -> Result<Admission, Refusal> {
    let loads: Vec<Option<&Load>> = shards.iter().map(|shard| shard.load).collect();
    let is_served = is_served(&loads, job);
    let checks = shards
        .iter()
        .map(|shard| check(shard.open_tasks, job, is_served, own_limits));
    let checks: Vec<Result<(), Limit>> = checks.collect();
    let is_excluded = |index: usize| shards[index].is_evacuated || checks[index].is_err();
    if let Some(index) = choose_home(own_index, &loads, is_excluded, job) {
        return Ok(Admission { index, is_served });
    }
    let mut fewest: Option<(u64, Refusal)> = None;
    for (index, shard) in shards.iter().enumerate() {
        let Err(limit) = checks[index] else {
            continue;
        };
        let tasks = shard.open_tasks.total;
        if shard.is_evacuated || fewest.is_some_and(|(fewest, _)| fewest <= tasks) {
            continue;
        }
        fewest = Some((tasks, Refusal::NoRoom { index, limit }));
    }
    Err(fewest.map_or(Refusal::Evacuated, |(_, refusal)| refusal))
}
