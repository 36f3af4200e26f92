//! Records kept in the store.

use prost::Message;
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};

use crate::interference::InterferenceEstimate;
use crate::job::JobSpec;

/// Recorded state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// Accepted and not ended.
    Live = 0,
    /// All tasks are done.
    Completed = 1,
    /// A task exhausted its attempts.
    Failed = 2,
    /// Cancelled by the caller.
    Cancelled = 3,
}

/// Recorded state of one task; tasks without history have no record.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskRecord {
    #[prost(uint32, tag = "1")]
    pub occurrence: u32,
    #[prost(uint32, tag = "2")]
    pub step: u32,
    /// Index of the task within the step.
    #[prost(uint32, tag = "3")]
    pub index: u32,
    #[prost(bool, tag = "4")]
    pub done: bool,
    /// Highest run number known to have been used.
    #[prost(uint32, tag = "5")]
    pub last_run: u32,
    /// Run numbers that failed. Each counts once, however often its end is reported.
    #[prost(uint32, repeated, tag = "6")]
    pub failed_runs: Vec<u32>,
    /// Newest checkpoint.
    #[prost(string, tag = "7")]
    pub checkpoint: String,
    /// Whether another shard runs the task.
    #[prost(bool, tag = "8")]
    pub remote: bool,
    /// Run numbers that may have crashed their server.
    #[prost(uint32, repeated, tag = "9")]
    pub crashed_runs: Vec<u32>,
    /// How many of them were the only ones that may have crashed their server.
    #[prost(uint32, tag = "10")]
    pub sole_crashes: u32,
    /// Run numbers whose server lapsed soon after their start and has not been heard of since.
    #[prost(uint32, repeated, tag = "11")]
    pub lapsed_runs: Vec<u32>,
    /// Time for which the task has waited for a start, in milliseconds; only in transfers.
    #[prost(uint64, tag = "12")]
    pub waited_ms: u64,
    /// When the last of the lapsed servers lapsed, in milliseconds since the Unix epoch; 0 if unknown.
    #[prost(uint64, tag = "13")]
    pub last_lapse_unix_ms: u64,
}

/// Recorded progress of a job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Progress {
    #[prost(enumeration = "Phase", tag = "1")]
    pub phase: i32,
    /// Tasks with history.
    #[prost(message, repeated, tag = "2")]
    pub tasks: Vec<TaskRecord>,
    /// Queue, kept so that an ended job is still listed under it.
    #[prost(string, tag = "3")]
    pub queue: String,
    /// Failure domains whose shards run delegated tasks of the job.
    #[prost(string, repeated, tag = "4")]
    pub delegate_domains: Vec<String>,
    /// Whether any task is known to have begun.
    #[prost(bool, tag = "5")]
    pub started: bool,
    /// Number above which the runs of this shard are numbered: the highest that other shards used before.
    #[prost(uint32, tag = "6")]
    pub run_base: u32,
}

impl Progress {
    /// Whether any task is known to have begun. Records of earlier versions tell it only by ends and checkpoints.
    #[must_use]
    pub fn has_started(&self) -> bool {
        let has_begun = |task: &TaskRecord| {
            task.done || !task.failed_runs.is_empty() || !task.checkpoint.is_empty()
        };
        self.started || self.tasks.iter().any(has_begun)
    }
}

/// Tasks that a home shard delegates to another shard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Transfer {
    /// Delegated tasks, with the run numbers used before.
    #[prost(message, repeated, tag = "1")]
    pub tasks: Vec<TaskRecord>,
}

/// Servers that may hold a lease from the owner of a shard, and the interference learned there.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerSet {
    /// Names of the servers, sorted.
    #[prost(string, repeated, tag = "1")]
    pub names: Vec<String>,
    /// Interference estimates that the owner has learned.
    #[prost(message, repeated, tag = "2")]
    pub interference: Vec<InterferenceEstimate>,
}

/// Announcement of a shard's owner to other hosts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Owner {
    /// Name of the entry host; empty if the shard was released.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Address of its peer listener.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Failure domain of the entry host.
    #[prost(string, tag = "3")]
    pub failure_domain: String,
    /// Term of the owner.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// CPU available to the owner, in millicores. If the owner released the shard for another host, that host's CPU.
    #[prost(uint32, tag = "5")]
    pub cpu_millis: u32,
}

/// Owner of a shard in one term.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TermOwner {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Address of its peer listener.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Time for which it acts without a confirmation of its term; 0 if its release does not tell.
    #[prost(uint64, tag = "3")]
    pub authority_ms: u64,
}

/// Longest time for which one of several owners acts without a confirmation of its term; `None` if one of them does not
/// tell, or if there is none.
#[must_use]
pub fn longest_authority_ms(owners: &[TermOwner]) -> Option<u64> {
    let is_told = owners.iter().all(|owner| owner.authority_ms > 0);
    let longest = owners.iter().map(|owner| owner.authority_ms).max();
    longest.filter(|_| is_told)
}

/// Leader term of a shard, which fences servers and the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Term {
    /// Increases by one with each change of owner.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Increases with each write of the owner, so that a delayed write fails.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// CPU available to the owner, in millicores; weaker hosts let others try first.
    #[prost(uint32, tag = "3")]
    pub cpu_millis: u32,
    /// Owners whose runs the next one may have to ask for, this one included, oldest first.
    #[prost(message, repeated, tag = "4")]
    pub owners: Vec<TermOwner>,
}

/// Maximum number of owners that are asked for handovers; more terms within the time of one lease are rare.
const OWNERS_MAX: usize = 8;

impl Term {
    /// Adds the owner of this term to those of earlier ones.
    #[must_use]
    pub fn with_owner(mut self, address: impl Into<String>, authority_ms: u64) -> Self {
        self.owners.push(TermOwner {
            term: self.number,
            address: address.into(),
            authority_ms,
        });
        let excess = self.owners.len().saturating_sub(OWNERS_MAX);
        self.owners.drain(..excess);
        self
    }
}

/// Home shard of a job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Home {
    /// Failure domain of the home shard; of a tombstone, the shard that removes it.
    #[prost(string, tag = "1")]
    pub failure_domain: String,
    /// Whether the job was cancelled before it was accepted. It has no home then, and gets none while the record exists.
    #[prost(bool, tag = "2")]
    pub tombstone: bool,
}

/// Error for a stored value that cannot be decoded.
#[derive(Debug, Snafu)]
#[snafu(display("the value of {key} cannot be read"))]
pub struct RecordError {
    key: String,
    source: prost::DecodeError,
}

/// Decodes a record.
///
/// # Errors
///
/// Returns [`RecordError`] if the bytes are not a record of type `T`.
pub fn decode<T: Message + Default>(key: &str, bytes: &[u8]) -> Result<T, RecordError> {
    T::decode(bytes).context(RecordSnafu { key })
}

/// Everything the store has of a job.
#[derive(Clone, Debug, Default)]
pub struct StoredJob {
    /// Specification; deleted after the job's end.
    pub spec: Option<JobSpec>,
    /// Progress; absent before the first record.
    pub progress: Option<Progress>,
    /// Whether a cancellation is recorded.
    pub cancelled: bool,
    /// Whether a shard to which tasks were delegated has given one up.
    pub delegates_failed: bool,
    /// Whether another shard is the job's home and this one runs only delegated tasks.
    pub is_delegated: bool,
    /// Tasks that other shards delegated to this one.
    pub transfers: Vec<Transfer>,
    /// Keys of `transfers`.
    pub transfer_keys: Vec<SmolStr>,
    /// Revision at which the job was accepted, or its tasks were transferred; 0 if unknown.
    pub created_revision: u64,
}
