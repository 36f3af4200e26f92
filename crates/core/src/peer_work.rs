//! Messages of the peer link that carry callers' work: requests and batch jobs sent on to another entry host.

use prost::Message;
use snafu::{Snafu, ensure};

use crate::ids::RequestKey;

/// Hash of team, service and idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Key {
    /// Upper 64 bits.
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    /// Lower 64 bits.
    #[prost(fixed64, tag = "2")]
    pub low: u64,
}

/// A request sent on once.
#[derive(Clone, PartialEq, Message)]
pub struct RequestForward {
    /// Identity, echoed in the answer.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Team of the caller.
    #[prost(string, tag = "2")]
    pub team: String,
    /// Client of the caller, for equal service.
    #[prost(string, tag = "3")]
    pub client: String,
    /// Service.
    #[prost(string, tag = "4")]
    pub service: String,
    /// Operation.
    #[prost(string, tag = "5")]
    pub operation: String,
    /// Time left until the deadline at the time of sending, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub deadline_ms: u32,
    /// The request may be sent more than once.
    #[prost(bool, tag = "7")]
    pub idempotent: bool,
    /// Idempotency key, if the caller gave one.
    #[prost(message, optional, tag = "8")]
    pub key: Option<Key>,
    /// Media type of the body.
    #[prost(string, tag = "9")]
    pub content_type: String,
    /// Whole body.
    #[prost(bytes = "vec", tag = "10")]
    pub body: Vec<u8>,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// Not established; also the value of an outcome that this version does not know.
    Unknown = 0,
    /// No byte reached a backend server, or the server refused before starting.
    NotRun = 1,
    /// The server answered.
    Answered = 2,
}

/// Answer to a forwarded request.
#[derive(Clone, PartialEq, Message)]
pub struct RequestAnswer {
    /// Identity of the request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Outcome.
    #[prost(enumeration = "Outcome", tag = "2")]
    pub outcome: i32,
    /// HTTP status of the server, if it answered.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Time after which a request that was not run may be repeated, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub retry_after_ms: u32,
    /// Media type of the body.
    #[prost(string, tag = "5")]
    pub content_type: String,
    /// Length that the server announced.
    #[prost(uint64, tag = "6")]
    pub announced_bytes: u64,
    /// Whole body.
    #[prost(bytes = "vec", tag = "7")]
    pub body: Vec<u8>,
}

/// Claims an idempotency key at its home before a non-idempotent request is sent.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct KeyClaim {
    /// Names the call in its reply.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Number of the shard.
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    /// The key.
    #[prost(message, optional, tag = "3")]
    pub key: Option<Key>,
}

/// What is known of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum KeyState {
    /// A state that this version does not know: the request must not be sent.
    Unspecified = 0,
    /// The claim is committed and the request may be sent once.
    Fresh = 1,
    /// Used before, and the answer is kept.
    Answered = 2,
    /// Used before, and the outcome cannot be told.
    Unknown = 3,
    /// Nothing was recorded; the request must not be sent.
    NotRun = 4,
}

/// Answer to a claim.
#[derive(Clone, PartialEq, Message)]
pub struct KeyClaimReply {
    /// The call that it answers.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// State of the key.
    #[prost(enumeration = "KeyState", tag = "2")]
    pub state: i32,
    /// The kept answer.
    #[prost(bytes = "vec", tag = "3")]
    pub answer: Vec<u8>,
}

/// Keeps the answer of a claimed key.
#[derive(Clone, PartialEq, Message)]
pub struct KeyAnswer {
    /// Number of the shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The key.
    #[prost(message, optional, tag = "2")]
    pub key: Option<Key>,
    /// The answer.
    #[prost(bytes = "vec", tag = "3")]
    pub answer: Vec<u8>,
}

/// A job sent on to the owner of its shard.
#[derive(Clone, PartialEq, Message)]
pub struct JobSubmit {
    /// Names the call in its reply.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Number of the shard.
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    /// Identity of the job.
    #[prost(fixed64, tag = "3")]
    pub job: u64,
    /// Team.
    #[prost(string, tag = "4")]
    pub team: String,
    /// Client.
    #[prost(string, tag = "5")]
    pub client: String,
    /// Kind of work.
    #[prost(string, tag = "6")]
    pub kind: String,
    /// Number of tasks.
    #[prost(uint32, tag = "7")]
    pub tasks: u32,
    /// Processor time of one task, in thousandths of a core.
    #[prost(uint32, tag = "8")]
    pub millicores: u32,
    /// Memory of one task, in mebibytes.
    #[prost(uint32, tag = "9")]
    pub memory_mib: u32,
    /// Accelerators of one task.
    #[prost(uint32, tag = "10")]
    pub accelerators: u32,
    /// Declared run time of one task in milliseconds.
    #[prost(uint64, tag = "11")]
    pub run_ms: u64,
    /// Time by which all tasks should have ended, in milliseconds since the Unix epoch; 0 for none.
    #[prost(uint64, tag = "12")]
    pub finish_by_unix_ms: u64,
}

/// Cancellations sent on to the owner of a shard.
#[derive(Clone, PartialEq, Message)]
pub struct JobCancel {
    /// Names the call in its reply.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Number of the shard.
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    /// The jobs.
    #[prost(fixed64, repeated, tag = "3")]
    pub jobs: Vec<u64>,
}

/// What an inspection asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Subject {
    /// A subject that this version does not know.
    Unspecified = 0,
    /// The jobs of the shards that the addressee owns.
    Jobs = 1,
    /// The backend servers of the shards that the addressee owns.
    Servers = 2,
    /// The addressee itself.
    Host = 3,
    /// Declares the named backend server gone at its owner.
    DeclareGone = 4,
}

/// Asks for state that only its owner has, for the administration API.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Inspect {
    /// Names the call in its reply.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// What is asked for.
    #[prost(enumeration = "Subject", tag = "2")]
    pub subject: i32,
    /// Team, job or server that it is limited to; empty for all.
    #[prost(string, tag = "3")]
    pub name: String,
    /// The addressee asks the other entry hosts of its failure domain too.
    #[prost(bool, tag = "4")]
    pub whole_domain: bool,
}

/// Answer to an inspection.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct InspectReply {
    /// The call that it answers.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// The elements, each in the JSON form of the administration API.
    #[prost(string, repeated, tag = "2")]
    pub elements: Vec<String>,
    /// Entry hosts that did not answer.
    #[prost(string, repeated, tag = "3")]
    pub silent: Vec<String>,
}

/// Why a job call did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Refusal {
    /// A reason that this version does not know.
    Unspecified = 0,
    /// The addressee does not own the shard.
    NotOwner = 1,
    /// The store cannot be written now.
    StoreUnavailable = 2,
    /// A queue is full.
    Overloaded = 3,
    /// No backend server can ever hold a task of this size.
    TooLarge = 4,
    /// The addressee is shutting down.
    ShuttingDown = 5,
}

/// Answer to a job call.
#[derive(Clone, PartialEq, Message)]
pub struct JobReply {
    /// The call that it answers.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Result; absent if the outcome cannot be told and the call can be repeated safely.
    #[prost(oneof = "JobResult", tags = "2, 3, 4")]
    pub result: Option<JobResult>,
}

/// Result of a job call.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum JobResult {
    /// The job is accepted.
    #[prost(message, tag = "2")]
    Accepted(JobAccepted),
    /// The cancellations are committed.
    #[prost(message, tag = "3")]
    Cancelled(JobsCancelled),
    /// Nothing was recorded.
    #[prost(enumeration = "Refusal", tag = "4")]
    NotRun(i32),
}

/// The job is accepted.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct JobAccepted {
    /// The job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// False if it was accepted before.
    #[prost(bool, tag = "2")]
    pub new: bool,
}

/// The cancellations are committed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct JobsCancelled {
    /// Jobs that were known.
    #[prost(fixed64, repeated, tag = "1")]
    pub jobs: Vec<u64>,
}

/// Why an answer was discarded. Its connection is closed and the outcome of the request is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AnswerError {
    /// It answers another request.
    #[snafu(display("answer to request {received:?} arrived for request {expected:?}"))]
    WrongRequest {
        /// Identity of the waiting request.
        expected: String,
        /// Identity in the answer.
        received: String,
    },
    /// Its body is not as long as announced.
    #[snafu(display("answer to request {request:?} has {received} of {announced} bytes"))]
    LengthMismatch {
        /// Identity of the request.
        request: String,
        /// Length announced, in bytes.
        announced: u64,
        /// Length received, in bytes.
        received: u64,
    },
}

impl RequestAnswer {
    /// Checks that this is the whole answer to the waiting request; only then may it be passed on.
    ///
    /// # Errors
    ///
    /// `WrongRequest` if it echoes another identity, `LengthMismatch` if its body is not as long as announced.
    pub fn check(&self, waiting: &str) -> Result<(), AnswerError> {
        ensure!(
            self.request == waiting,
            WrongRequestSnafu {
                expected: waiting,
                received: &self.request,
            }
        );
        ensure!(
            self.is_complete(),
            LengthMismatchSnafu {
                request: &self.request,
                announced: self.announced_bytes,
                received: self.body.len() as u64,
            }
        );
        Ok(())
    }

    /// Whether the body is as long as announced; otherwise it must not be passed on.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.announced_bytes == self.body.len() as u64
    }
}

impl From<RequestKey> for Key {
    fn from(key: RequestKey) -> Self {
        let bytes = key.0.to_be_bytes();
        let mut high = [0; 8];
        let mut low = [0; 8];
        high.copy_from_slice(&bytes[..8]);
        low.copy_from_slice(&bytes[8..]);
        Self {
            high: u64::from_be_bytes(high),
            low: u64::from_be_bytes(low),
        }
    }
}

impl From<Key> for RequestKey {
    fn from(key: Key) -> Self {
        Self(u128::from(key.high) << 64 | u128::from(key.low))
    }
}
