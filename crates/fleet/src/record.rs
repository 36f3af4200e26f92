//! What is kept in the store.

use prost::Message;
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};

use crate::job::JobSpec;
use crate::pressure::InterferenceEstimate;

/// Recorded state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// Accepted and not ended.
    Live = 0,
    /// All tasks are done.
    Completed = 1,
    /// A task has failed too often.
    Failed = 2,
    /// Cancelled by the caller.
    Cancelled = 3,
}

/// What is recorded of one task; only tasks of which something is known have a record.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskRecord {
    /// Occurrence.
    #[prost(uint32, tag = "1")]
    pub occurrence: u32,
    /// Step.
    #[prost(uint32, tag = "2")]
    pub step: u32,
    /// Task within the step.
    #[prost(uint32, tag = "3")]
    pub index: u32,
    /// Whether it is done.
    #[prost(bool, tag = "4")]
    pub done: bool,
    /// Highest run that is known to have been used.
    #[prost(uint32, tag = "5")]
    pub last_run: u32,
    /// Runs that failed; each counts once, however often its end is listed.
    #[prost(uint32, repeated, tag = "6")]
    pub failed_runs: Vec<u32>,
    /// Newest checkpoint.
    #[prost(string, tag = "7")]
    pub checkpoint: String,
    /// Whether another shard runs it.
    #[prost(bool, tag = "8")]
    pub remote: bool,
}

/// Progress of a job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Progress {
    /// State.
    #[prost(enumeration = "Phase", tag = "1")]
    pub phase: i32,
    /// Tasks of which something is known.
    #[prost(message, repeated, tag = "2")]
    pub tasks: Vec<TaskRecord>,
    /// Queue, kept so that an ended job is still listed under it.
    #[prost(string, tag = "3")]
    pub queue: String,
    /// Failure domains whose shards run tasks of the job as guests.
    #[prost(string, repeated, tag = "4")]
    pub delegate_domains: Vec<String>,
}

/// Tasks that one shard hands to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Transfer {
    /// Tasks, with the runs that were used before.
    #[prost(message, repeated, tag = "1")]
    pub tasks: Vec<TaskRecord>,
}

/// Servers that the owner of a shard may have given leases to, and what it knows of the images there.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerSet {
    /// Names of the servers, sorted.
    #[prost(string, repeated, tag = "1")]
    pub names: Vec<String>,
    /// Weights of pairs of images that the owner has learned.
    #[prost(message, repeated, tag = "2")]
    pub interference: Vec<InterferenceEstimate>,
}

/// The owner of a shard, as other hosts find it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Owner {
    /// Name of the entry host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Address of its peer listener.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Failure domain of the entry host.
    #[prost(string, tag = "3")]
    pub failure_domain: String,
    /// Era of the shard that it began.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// Processor time that the owner may use, in thousandths of a core; of the host that should follow, if the owner has
    /// given the shard up for it.
    #[prost(uint32, tag = "5")]
    pub cpu_millis: u32,
}

/// The number of changes of owner that a shard has seen; it fences servers and the store.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Term {
    /// Rises by one with each change.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Rises with each write of the owner, so that a write that the store carries out late fails.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Processor time that the owner may use, in thousandths of a core, so that weaker hosts let others try first.
    #[prost(uint32, tag = "3")]
    pub cpu_millis: u32,
}

/// Where a job is kept.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Home {
    /// Failure domain whose shard has the job.
    #[prost(string, tag = "1")]
    pub failure_domain: String,
}

/// A value in the store that cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("the value of {key} cannot be read"))]
pub struct RecordError {
    key: String,
    source: prost::DecodeError,
}

/// Reads a record.
///
/// # Errors
///
/// Returns [`RecordError`] if the bytes are no record of this type.
pub fn decode<T: Message + Default>(key: &str, bytes: &[u8]) -> Result<T, RecordError> {
    T::decode(bytes).context(RecordSnafu { key })
}

/// A job and what is recorded of it, as a new owner reads them.
#[derive(Clone, Debug, Default)]
pub struct StoredJob {
    /// The job; absent after its end.
    pub spec: Option<JobSpec>,
    /// Its progress; absent before the first record.
    pub progress: Option<Progress>,
    /// Whether a cancellation is recorded.
    pub cancelled: bool,
    /// Whether another shard keeps the job, and this one only the tasks that were transferred.
    pub is_delegated: bool,
    /// Tasks that other shards transferred to this one.
    pub transfers: Vec<Transfer>,
    /// Keys of these transfers.
    pub transfer_keys: Vec<SmolStr>,
    /// Revision at which it was accepted; 0 if unknown.
    pub created_revision: u64,
}
