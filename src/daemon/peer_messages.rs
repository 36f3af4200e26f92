//! Messages between entry hosts.

use primrosestack_fleet::advice_queries::{AdviceAnswer, AdviceQuery};
use primrosestack_fleet::handover::Handover;
use primrosestack_fleet::intake::Load;
use primrosestack_fleet::shard::JobStatus;

/// A request to the owner, or the last owner, of a shard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerRequest {
    /// Failure domain of the shard.
    #[prost(string, tag = "1")]
    pub failure_domain: String,
    /// Job whose status is requested; 0 to request the queue lengths and the load.
    #[prost(fixed64, tag = "2")]
    pub job: u64,
    /// Term of the requesting owner if it requests a handover from its predecessor, else 0.
    #[prost(uint64, tag = "3")]
    pub successor_term: u64,
    /// Failure domain of the requesting host if it could own shards; empty if it is stopping or cannot reach the store.
    #[prost(string, tag = "4")]
    pub candidate_domain: String,
    /// CPU available to the requesting host, in millicores.
    #[prost(uint32, tag = "5")]
    pub cpu_millis: u32,
    /// Whether the load should include the interference estimates.
    #[prost(bool, tag = "6")]
    pub wants_interference: bool,
    /// Whether to reply with the loads of all other shards that the owner knows.
    #[prost(bool, tag = "7")]
    pub wants_all_shards: bool,
    /// Term whose handover is requested; 0 for the term before `successor_term`, without [`Handover::unopened`].
    #[prost(uint64, tag = "8")]
    pub handover_term: u64,
    /// Steps for which the owner should look for servers that the advisor allows.
    #[prost(message, repeated, tag = "9")]
    pub advice_queries: Vec<AdviceQuery>,
}

/// Status of a job in a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum JobStatusCode {
    /// The owner does not know the job.
    Unknown = 0,
    /// No task has started.
    Queued = 1,
    /// A task has started.
    Running = 2,
    /// All tasks are done.
    Completed = 3,
    /// A task has failed too often.
    Failed = 4,
    Cancelled = 5,
}

/// Number of jobs in a queue that have not started any task.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QueuedCount {
    #[prost(string, tag = "1")]
    pub queue: String,
    #[prost(uint32, tag = "2")]
    pub jobs: u32,
}

/// Load and queue lengths of another shard, passed on by the replying owner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayedLoad {
    #[prost(string, tag = "1")]
    pub failure_domain: String,
    #[prost(message, optional, tag = "2")]
    pub load: Option<Load>,
    /// Sorted by queue.
    #[prost(message, repeated, tag = "3")]
    pub queued: Vec<QueuedCount>,
    /// Time since the shard's owner determined them, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerReply {
    /// Whether the replying host owns the shard; `status`, `queued` and `load` are valid only then.
    #[prost(bool, tag = "1")]
    pub is_owner: bool,
    #[prost(enumeration = "JobStatusCode", tag = "2")]
    pub status: i32,
    /// Sorted by queue.
    #[prost(message, repeated, tag = "3")]
    pub queued: Vec<QueuedCount>,
    /// `None` while the owner cannot reach the store.
    #[prost(message, optional, tag = "4")]
    pub load: Option<Load>,
    /// Whether the replying host has stopped commanding the shard; set in replies to handover requests.
    #[prost(bool, tag = "5")]
    pub stepped_down: bool,
    /// `None` if the replying process did not own the shard in the preceding term.
    #[prost(message, optional, tag = "6")]
    pub handover: Option<Handover>,
    /// Loads of the other shards, if the request asks for them.
    #[prost(message, repeated, tag = "7")]
    pub other_shards: Vec<RelayedLoad>,
    /// What the owner has found for the steps of the request.
    #[prost(message, repeated, tag = "8")]
    pub advice_answers: Vec<AdviceAnswer>,
}

impl JobStatusCode {
    /// The status as callers see it; `None` if the owner does not know the job.
    #[must_use]
    pub fn job_status(self) -> Option<JobStatus> {
        Some(match self {
            Self::Unknown => return None,
            Self::Queued => JobStatus::Queued,
            Self::Running => JobStatus::Running,
            Self::Completed => JobStatus::Completed,
            Self::Failed => JobStatus::Failed,
            Self::Cancelled => JobStatus::Cancelled,
        })
    }

    pub(super) fn from_job_status(status: Option<JobStatus>) -> Self {
        match status {
            None => Self::Unknown,
            Some(JobStatus::Queued) => Self::Queued,
            Some(JobStatus::Running) => Self::Running,
            Some(JobStatus::Completed) => Self::Completed,
            Some(JobStatus::Failed) => Self::Failed,
            Some(JobStatus::Cancelled) => Self::Cancelled,
        }
    }
}
