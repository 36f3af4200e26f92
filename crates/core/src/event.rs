//! Events that a shard takes and actions that it asks for.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::capacity::Resources;
use crate::ids::{
    Attempt, Epoch, HostId, JobId, OpId, RequestKey, Revision, ServerKey, ServerTimestamp, TaskId,
};
use crate::time::MonoMs;

/// Names a caller that waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerToken(pub u64);

/// A batch job as accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Identity.
    pub id: JobId,
    /// Team that owns it.
    pub team: SmolStr,
    /// Client that submitted it.
    pub client: SmolStr,
    /// Kind of work, the unit in which interference is learned.
    pub kind: SmolStr,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared size of one task.
    pub size: Resources,
    /// Declared run time of one task in milliseconds.
    pub run_ms: u64,
    /// Time by which all tasks should have ended, in milliseconds since the Unix epoch; 0 for none.
    #[serde(default)]
    pub finish_by_unix_ms: u64,
}

/// A command to a backend server; its envelope carries the epoch and the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "op")]
pub enum ServerCommand {
    /// Raises the server's epoch and asks for a report.
    Claim,
    /// Renews the leases of these attempts up to `stamp + lease_ms` and asks for a report.
    Renew {
        /// Latest stamp received from this server.
        stamp: ServerTimestamp,
        /// Length of the lease in milliseconds.
        lease_ms: u64,
        /// Attempts to keep running.
        attempts: Vec<Attempt>,
        /// Ended attempts whose outcome is recorded, which the server may forget.
        acknowledged: Vec<Attempt>,
    },
    /// Starts an attempt, unless `stamp + lease_ms` has passed or the attempt is known already.
    Start {
        /// Latest stamp received from this server.
        stamp: ServerTimestamp,
        /// Length of the lease in milliseconds.
        lease_ms: u64,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Kind of work.
        kind: SmolStr,
        /// Reserved size.
        size: Resources,
        /// Declared run time in milliseconds.
        run_ms: u64,
        /// Checkpoint to resume from.
        resume: Option<SmolStr>,
    },
    /// Writes a checkpoint of a running attempt; the attempt goes on.
    Checkpoint {
        /// The attempt.
        attempt: Attempt,
    },
    /// Limits the processor time of an attempt.
    Throttle {
        /// The attempt.
        attempt: Attempt,
        /// The limit, in thousandths of a core.
        millicores: u32,
    },
    /// Stops an attempt.
    Stop {
        /// The attempt.
        attempt: Attempt,
    },
}

/// State of an attempt at a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum TaskState {
    /// Running.
    Running,
    /// Ended with success.
    Succeeded,
    /// Ended with a failure.
    Failed {
        /// Exit code.
        code: i32,
    },
    /// Stopped on command or because its lease lapsed.
    Stopped,
}

/// One attempt in a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// Its state.
    #[serde(flatten)]
    pub state: TaskState,
    /// Latest checkpoint, if there is one.
    pub checkpoint: Option<SmolStr>,
    /// Observed use, with the platform's lag.
    pub used: Resources,
    /// Observed slowdown in thousandths: 1,000 means undisturbed.
    pub slowdown_permille: u32,
}

/// What a backend server says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The server's monotonic clock when it wrote this report.
    pub stamp: ServerTimestamp,
    /// Changes when the server restarts, which ends all its tasks.
    pub boot_id: u64,
    /// Running attempts, and ended ones not yet acknowledged.
    pub tasks: Vec<TaskReport>,
    /// Observed slowdown of latency-critical requests in thousandths.
    pub request_slowdown_permille: u32,
    /// Latency-critical requests in execution, those of earlier owners included.
    #[serde(default)]
    pub requests_running: u32,
    /// Sum of the sizes with which the running attempts were started.
    #[serde(default)]
    pub tasks_size: Resources,
}

/// Answer of a backend server to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reply")]
pub enum ServerReply {
    /// Answer to `Claim` and `Renew`.
    Report(Report),
    /// The command took effect.
    Done,
    /// A checkpoint was written.
    Checkpointed {
        /// Handle that any server of the failure domain can resume from.
        checkpoint: SmolStr,
    },
    /// Refused because a higher epoch, or another owner of the same epoch, was seen.
    Fenced {
        /// Highest epoch seen.
        highest: Epoch,
    },
    /// Refused for another reason; nothing was started.
    Refused,
    /// No answer arrived; the command may have taken effect.
    Lost,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads one value.
    Read {
        /// Key.
        key: SmolStr,
    },
    /// Writes a value if the key still has the expected revision.
    CompareAndSwap {
        /// Key.
        key: SmolStr,
        /// Revision that the key must have; 0 for a new key.
        expected: Revision,
        /// New value.
        value: Arc<[u8]>,
    },
    /// Deletes a value.
    Delete {
        /// Key.
        key: SmolStr,
    },
}

/// Answer to a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// Value and revision of a key; revision 0 and no bytes if it does not exist.
    Value {
        /// Revision.
        revision: Revision,
        /// Bytes.
        value: Arc<[u8]>,
    },
    /// The swap or delete took effect.
    Written {
        /// New revision.
        revision: Revision,
    },
    /// The key had another revision; nothing was written.
    Conflict,
    /// The store said that it did nothing, or could not be reached at all.
    Unavailable,
    /// No answer arrived; the call may have taken effect.
    Lost,
}

/// Why something was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// This process does not own the shard.
    NotOwner,
    /// The store cannot be written now.
    StoreUnavailable,
    /// A queue is full.
    Overloaded,
    /// No backend server can ever hold a task of this size.
    TooLarge,
    /// The host is shutting down.
    ShuttingDown,
}

/// What is known of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyReply {
    /// First use; the claim is committed and the request may be sent once.
    Fresh,
    /// Used before, and the answer is kept.
    Answered(Arc<[u8]>),
    /// Used before, and the outcome cannot be told.
    Unknown,
}

/// Reply to a waiting caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerReply {
    /// The job is accepted and will survive the loss of every entry host.
    Accepted {
        /// The job.
        job: JobId,
        /// False if it was accepted before under the same idempotency key.
        new: bool,
    },
    /// The cancellations are committed; jobs that were not known are left out.
    Cancelled(Vec<JobId>),
    /// Answer about an idempotency key.
    Key(KeyReply),
    /// Refused; nothing was recorded.
    NotRun(NotRun),
    /// The outcome cannot be told now; the same call can be repeated safely.
    Unknown,
}

/// What a shard takes in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// Submits a job.
    Submit {
        /// Caller.
        token: CallerToken,
        /// The job.
        job: JobSpec,
    },
    /// Cancels jobs.
    Cancel {
        /// Caller.
        token: CallerToken,
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// Claims an idempotency key before a non-idempotent request is sent.
    ClaimKey {
        /// Caller.
        token: CallerToken,
        /// The key.
        key: RequestKey,
    },
    /// Keeps the answer of a claimed key; no reply.
    AnswerKey {
        /// The key.
        key: RequestKey,
        /// The answer, at most 4 KiB.
        answer: Arc<[u8]>,
    },
    /// Answer of the store.
    Store {
        /// The call.
        op: OpId,
        /// The answer.
        reply: StoreReply,
    },
    /// Answer of a backend server.
    Server {
        /// The command.
        op: OpId,
        /// The answer.
        reply: ServerReply,
    },
    /// The owner of a term asks this host, its designated successor, for a promise.
    PromiseRequested {
        /// The owner.
        owner: HostId,
        /// The owner's term.
        term: u64,
        /// When the owner sent this, on the owner's clock; echoed in the answer.
        sent: MonoMs,
    },
    /// The designated successor promised not to take over.
    Promised {
        /// The successor.
        from: HostId,
        /// The term.
        term: u64,
        /// When the heartbeat that this answers was sent, on this host's clock.
        sent: MonoMs,
        /// The successor shuts down and will never take over this term.
        forever: bool,
    },
    /// A host took over a higher term, or was appointed by an orderly handover.
    TermAnnounced {
        /// The owner of the term.
        owner: HostId,
        /// The term.
        term: u64,
    },
    /// The owner of a higher term asks this host to release a term of which it is the designated successor.
    ReleaseRequested {
        /// The asking owner.
        owner: HostId,
        /// The term to release.
        term: u64,
    },
    /// The designated successor of an earlier term gives no more promises for it and renews nothing at its rank 1.
    Released {
        /// The successor.
        from: HostId,
        /// The released term.
        term: u64,
    },
    /// Time of day, from which deadlines of jobs are converted. Leases never use it.
    WallClock {
        /// Milliseconds since the Unix epoch.
        unix_ms: u64,
    },
    /// Another entry host of the failure domain is heard for the first time, is suspected, or is heard again.
    Suspicion {
        /// The host.
        host: HostId,
        /// True if suspected.
        suspected: bool,
    },
    /// The platform's host list, or an operator, says something of a backend server.
    ServerListed {
        /// The server's name.
        server: SmolStr,
        /// Its rack.
        rack: SmolStr,
        /// What it can hold for batch.
        size: Resources,
        /// Leaving servers receive no new work.
        leaving: bool,
    },
    /// An operator declares that a backend server is gone and that nothing runs there.
    ServerDeclaredGone {
        /// The server's name.
        server: SmolStr,
    },
    /// Latency-critical requests need room on a server.
    ReclaimRequested {
        /// The server's name.
        server: SmolStr,
        /// How much batch should give back.
        need: Resources,
    },
    /// Keeps an amount of a server free for latency-critical requests, in place of the amount kept before.
    Withhold {
        /// The server's name.
        server: SmolStr,
        /// What batch must not use.
        amount: Resources,
    },
    /// The process is asked to stop; the shard is handed over.
    Shutdown,
}

/// What a shard asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Calls the store; the answer comes back as `Event::Store`.
    Store {
        /// The call.
        op: OpId,
        /// What to do.
        call: StoreCall,
    },
    /// Commands a backend server; the answer comes back as `Event::Server`.
    Command {
        /// The command.
        op: OpId,
        /// The server.
        server: ServerKey,
        /// The server's name.
        name: SmolStr,
        /// Epoch under which it is sent.
        epoch: Epoch,
        /// What to do.
        command: ServerCommand,
    },
    /// Replies to a waiting caller.
    Reply {
        /// Caller.
        token: CallerToken,
        /// Reply.
        reply: CallerReply,
    },
    /// Asks the designated successor for a promise; delivered there as `Event::PromiseRequested`.
    RequestPromise {
        /// The successor.
        to: HostId,
        /// The term.
        term: u64,
        /// Time of sending, on this host's clock.
        sent: MonoMs,
    },
    /// Answers an owner; delivered there as `Event::Promised`.
    Promise {
        /// The owner.
        to: HostId,
        /// The term.
        term: u64,
        /// Echo of the owner's time of sending.
        sent: MonoMs,
        /// This host shuts down and will never take over this term.
        forever: bool,
    },
    /// Tells another entry host of a term; delivered there as `Event::TermAnnounced`.
    AnnounceTerm {
        /// The host.
        to: HostId,
        /// The term.
        term: u64,
        /// Owner of the term.
        owner: HostId,
    },
    /// Asks the designated successor of an earlier term to release it; delivered there as `Event::ReleaseRequested`.
    RequestRelease {
        /// The successor.
        to: HostId,
        /// The term to release.
        term: u64,
    },
    /// Answers an owner; delivered there as `Event::Released`.
    Release {
        /// The owner.
        to: HostId,
        /// The released term.
        term: u64,
    },
    /// Something happened that belongs in the log.
    Log(LogEvent),
}

/// A line for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Name of the event in snake case.
    pub event: &'static str,
    /// Term of the shard.
    pub term: u64,
    /// Task it concerns, if any.
    pub task: Option<TaskId>,
    /// Backend server or host it concerns; empty if none.
    pub subject: SmolStr,
}
