//! Input events and output actions of a shard.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::capacity::Resources;
use crate::ids::{
    Attempt, Epoch, HostId, JobId, OpId, RequestKey, Revision, ServerKey, ServerTimestamp, TaskId,
};
use crate::time::MonoMs;

/// Correlates the request of a waiting caller with its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerToken(pub u64);

/// A batch job as submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: JobId,
    /// Team that owns the job.
    pub team: SmolStr,
    /// Client that submitted the job.
    pub client: SmolStr,
    /// Kind of work; interference is learned per kind.
    pub kind: SmolStr,
    pub tasks: u32,
    /// Declared size of each task.
    pub size: Resources,
    /// Declared run time of each task in milliseconds.
    pub run_ms: u64,
    /// Deadline for all tasks, in milliseconds since the Unix epoch; 0 for none.
    #[serde(default)]
    pub finish_by_unix_ms: u64,
}

/// A command to a backend server. The epoch and the owner are sent along with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "op")]
pub enum ServerCommand {
    /// Raises the server's epoch and requests a report.
    Claim,
    /// Renews the leases of the attempts up to `stamp + lease_ms` and requests a report.
    Renew {
        /// Latest timestamp received from this server.
        stamp: ServerTimestamp,
        /// Duration of the lease in milliseconds.
        lease_ms: u64,
        /// Attempts to keep running.
        attempts: Vec<Attempt>,
        /// Ended attempts whose outcome is committed; the server may drop them.
        acknowledged: Vec<Attempt>,
    },
    /// Starts an attempt, unless `stamp + lease_ms` has passed or the server already knows the attempt.
    Start {
        /// Latest timestamp received from this server.
        stamp: ServerTimestamp,
        /// Duration of the lease in milliseconds.
        lease_ms: u64,
        task: TaskId,
        attempt: Attempt,
        kind: SmolStr,
        /// Size reserved for the attempt.
        size: Resources,
        /// Declared run time in milliseconds.
        run_ms: u64,
        /// Checkpoint to resume from, if any.
        resume: Option<SmolStr>,
    },
    /// Writes a checkpoint of a running attempt without stopping it.
    Checkpoint { attempt: Attempt },
    /// Limits the CPU of an attempt.
    Throttle {
        attempt: Attempt,
        /// Limit in thousandths of a core.
        millicores: u32,
    },
    /// Stops an attempt.
    Stop { attempt: Attempt },
}

/// State of an attempt at a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum TaskState {
    Running,
    /// Ended successfully.
    Succeeded,
    /// Ended with a non-zero exit code.
    Failed {
        code: i32,
    },
    /// Stopped on command or because its lease expired.
    Stopped,
}

/// State of one attempt in a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    pub task: TaskId,
    pub attempt: Attempt,
    #[serde(flatten)]
    pub state: TaskState,
    /// Latest checkpoint, if any.
    pub checkpoint: Option<SmolStr>,
    /// Observed usage; the platform reports it with a delay.
    pub used: Resources,
    /// Observed slowdown in thousandths; 1,000 means no slowdown.
    pub slowdown_permille: u32,
}

/// Status report of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The server's monotonic time when it wrote the report.
    pub stamp: ServerTimestamp,
    /// Changes with each restart of the server. A restart ends all of its tasks.
    pub boot_id: u64,
    /// Running attempts, and ended attempts that are not acknowledged yet.
    pub tasks: Vec<TaskReport>,
    /// Observed slowdown of latency-critical requests in thousandths.
    pub request_slowdown_permille: u32,
    /// Latency-critical requests in execution, including those sent by earlier owners.
    #[serde(default)]
    pub requests_running: u32,
    /// Sum of the reserved sizes of the running attempts.
    #[serde(default)]
    pub tasks_size: Resources,
}

/// Response of a backend server to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reply")]
pub enum ServerReply {
    /// Response to `Claim` and `Renew`.
    Report(Report),
    /// The command was executed.
    Done,
    /// A checkpoint was written.
    Checkpointed {
        /// Handle from which any server of the failure domain can resume.
        checkpoint: SmolStr,
    },
    /// Refused because the server has seen a higher epoch, or another owner of the same epoch.
    Fenced {
        /// Highest epoch that the server has seen.
        highest: Epoch,
    },
    /// Refused for another reason; nothing was started.
    Refused,
    /// No response arrived; the command may have been executed.
    Lost,
}

/// A call to the key-value store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads a value.
    Read { key: SmolStr },
    /// Writes a value if the key still has the expected revision.
    CompareAndSwap {
        key: SmolStr,
        /// Revision that the key must have; 0 if it must not exist.
        expected: Revision,
        value: Arc<[u8]>,
    },
    /// Deletes a value.
    Delete { key: SmolStr },
}

/// Response to a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// Value and revision of a key; revision 0 and an empty value if the key does not exist.
    Value {
        revision: Revision,
        value: Arc<[u8]>,
    },
    /// The write or deletion was applied.
    Written { revision: Revision },
    /// The key had another revision; nothing was written.
    Conflict,
    /// The store reported that nothing was written, or it could not be reached.
    Unavailable,
    /// No response arrived; the call may have been applied.
    Lost,
}

/// Why a request was rejected without any effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// This process does not own the shard.
    NotOwner,
    /// The store does not accept writes at present.
    StoreUnavailable,
    /// A queue is full.
    Overloaded,
    /// The tasks are larger than every backend server, or the job exceeds a limit.
    TooLarge,
    /// The host is shutting down.
    ShuttingDown,
}

/// State of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyReply {
    /// First use. The claim is committed, and the request may be sent once.
    Fresh,
    /// Used before; this is the stored answer.
    Answered(Arc<[u8]>),
    /// Used before; the outcome is unknown.
    Unknown,
}

/// Reply to a waiting caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerReply {
    /// The job is committed and survives the loss of all entry hosts.
    Accepted {
        job: JobId,
        /// False if the job was already accepted under the same idempotency key.
        new: bool,
    },
    /// The cancellations are committed. Unknown jobs are left out.
    Cancelled(Vec<JobId>),
    /// State of the claimed idempotency key.
    Key(KeyReply),
    /// Rejected; nothing was recorded.
    NotRun(NotRun),
    /// The outcome is unknown; it is safe to repeat the same call.
    Unknown,
}

/// An input of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Periodic timer.
    Tick,
    /// Submits a job.
    Submit { token: CallerToken, job: JobSpec },
    /// Cancels jobs.
    Cancel {
        token: CallerToken,
        jobs: Vec<JobId>,
    },
    /// Claims an idempotency key before a non-idempotent request is sent.
    ClaimKey { token: CallerToken, key: RequestKey },
    /// Stores the answer for a claimed key. There is no reply.
    AnswerKey {
        key: RequestKey,
        /// At most 4 KiB; longer answers are not stored.
        answer: Arc<[u8]>,
    },
    /// Response of the store.
    Store { op: OpId, reply: StoreReply },
    /// Response of a backend server.
    Server { op: OpId, reply: ServerReply },
    /// The owner of a term requests a promise from this host, its designated successor.
    PromiseRequested {
        owner: HostId,
        term: u64,
        /// When the owner sent the request, on the owner's clock; echoed in the promise.
        sent: MonoMs,
    },
    /// The designated successor promised not to take over the term.
    Promised {
        from: HostId,
        term: u64,
        /// When the heartbeat that this answers was sent, on this host's clock.
        sent: MonoMs,
        /// The successor is shutting down and will never take over this term.
        forever: bool,
    },
    /// A host became the owner of a higher term by a takeover or a handover.
    TermAnnounced { owner: HostId, term: u64 },
    /// The owner of a higher term requests the release of a term whose designated successor this host is.
    ReleaseRequested { owner: HostId, term: u64 },
    /// The designated successor of an earlier term grants no more promises for it and renews no leases at its rank 1.
    Released { from: HostId, term: u64 },
    /// Wall-clock time, used to convert deadlines of jobs. Leases never depend on it.
    WallClock {
        /// Milliseconds since the Unix epoch.
        unix_ms: u64,
    },
    /// The failure detector heard another entry host of the failure domain, or suspects it.
    Suspicion { host: HostId, suspected: bool },
    /// The platform's host list, or an operator, added or changed a backend server.
    ServerListed {
        server: SmolStr,
        rack: SmolStr,
        /// Capacity for batch tasks.
        size: Resources,
        /// Leaving servers receive no new tasks.
        leaving: bool,
    },
    /// An operator declared that a backend server is gone and that nothing runs there.
    ServerDeclaredGone { server: SmolStr },
    /// Latency-critical requests need capacity that batch tasks use.
    ReclaimRequested {
        server: SmolStr,
        /// Amount that batch tasks should give back.
        need: Resources,
    },
    /// Withholds capacity of a server from batch tasks, for latency-critical requests. It replaces the previous amount.
    Withhold {
        server: SmolStr,
        /// Amount that batch tasks must not use.
        amount: Resources,
    },
    /// The process is shutting down; the shard is handed over.
    Shutdown,
}

/// An output of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Calls the store. The response is delivered as `Event::Store`.
    Store { op: OpId, call: StoreCall },
    /// Sends a command to a backend server. The response is delivered as `Event::Server`.
    Command {
        op: OpId,
        server: ServerKey,
        name: SmolStr,
        /// Epoch under which the command is sent.
        epoch: Epoch,
        command: ServerCommand,
    },
    /// Replies to a waiting caller.
    Reply {
        token: CallerToken,
        reply: CallerReply,
    },
    /// Requests a promise from the designated successor. Delivered there as `Event::PromiseRequested`.
    RequestPromise {
        to: HostId,
        term: u64,
        /// When the request is sent, on this host's clock.
        sent: MonoMs,
    },
    /// Grants a promise to the owner of a term. Delivered there as `Event::Promised`.
    Promise {
        to: HostId,
        term: u64,
        /// Send time of the owner's request, echoed.
        sent: MonoMs,
        /// This host is shutting down and will never take over this term.
        forever: bool,
    },
    /// Announces a term to another entry host. Delivered there as `Event::TermAnnounced`.
    AnnounceTerm {
        to: HostId,
        term: u64,
        owner: HostId,
    },
    /// Requests the release of an earlier term from its designated successor. Delivered there as
    /// `Event::ReleaseRequested`.
    RequestRelease { to: HostId, term: u64 },
    /// Confirms the release of a term to an owner. Delivered there as `Event::Released`.
    Release { to: HostId, term: u64 },
    /// Writes a log record.
    Log(LogEvent),
}

/// Content of a log record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Name of the event, in snake case.
    pub event: &'static str,
    /// Term of the shard's owner; 0 if this host is not the owner.
    pub term: u64,
    /// Task that the event concerns, if any.
    pub task: Option<TaskId>,
    /// Backend server, host, shard or job that the event concerns; empty if none.
    pub subject: SmolStr,
}
