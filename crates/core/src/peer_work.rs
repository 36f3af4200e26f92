//! Peer messages that forward requests and batch jobs to another entry host.

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

/// A request forwarded once, to the owner of a shard or to another failure domain.
#[derive(Clone, PartialEq, Message)]
pub struct RequestForward {
    /// Identifier, echoed in the answer.
    #[prost(string, tag = "1")]
    pub request: String,
    #[prost(string, tag = "2")]
    pub team: String,
    /// Client of the caller, for fair sharing.
    #[prost(string, tag = "3")]
    pub client: String,
    #[prost(string, tag = "4")]
    pub service: String,
    #[prost(string, tag = "5")]
    pub operation: String,
    /// Time left until the deadline when the frame was sent.
    #[prost(uint32, tag = "6")]
    pub deadline_ms: u32,
    /// Whether the request may be sent more than once.
    #[prost(bool, tag = "7")]
    pub idempotent: bool,
    /// Idempotency key, if the caller gave one.
    #[prost(message, optional, tag = "8")]
    pub key: Option<Key>,
    #[prost(string, tag = "9")]
    pub content_type: String,
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
    /// Identifier of the request.
    #[prost(string, tag = "1")]
    pub request: String,
    #[prost(enumeration = "Outcome", tag = "2")]
    pub outcome: i32,
    /// HTTP status of the server, if it answered.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Time after which a request that was not run may be retried.
    #[prost(uint32, tag = "4")]
    pub retry_after_ms: u32,
    #[prost(string, tag = "5")]
    pub content_type: String,
    /// Length of the body that the server announced.
    #[prost(uint64, tag = "6")]
    pub announced_bytes: u64,
    #[prost(bytes = "vec", tag = "7")]
    pub body: Vec<u8>,
}

/// Claims an idempotency key at its home shard before a non-idempotent request is sent.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct KeyClaim {
    /// Identifies the call in its reply.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    #[prost(message, optional, tag = "3")]
    pub key: Option<Key>,
}

/// State of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum KeyState {
    /// A state that this version does not know; the request must not be sent.
    Unspecified = 0,
    /// The claim is committed and the request may be sent once.
    Fresh = 1,
    /// Used before, and the answer is stored.
    Answered = 2,
    /// Used before, with an unknown outcome.
    Unknown = 3,
    /// Nothing was recorded; the request must not be sent.
    NotRun = 4,
}

/// Answer to a [`KeyClaim`].
#[derive(Clone, PartialEq, Message)]
pub struct KeyClaimReply {
    /// The call that it answers.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    #[prost(enumeration = "KeyState", tag = "2")]
    pub state: i32,
    /// The stored answer.
    #[prost(bytes = "vec", tag = "3")]
    pub answer: Vec<u8>,
}

/// Stores the answer of a claimed key.
#[derive(Clone, PartialEq, Message)]
pub struct KeyAnswer {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(message, optional, tag = "2")]
    pub key: Option<Key>,
    #[prost(bytes = "vec", tag = "3")]
    pub answer: Vec<u8>,
}

/// A job forwarded to the owner of its shard.
#[derive(Clone, PartialEq, Message)]
pub struct JobSubmit {
    /// Identifies the call in its reply.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    #[prost(fixed64, tag = "3")]
    pub job: u64,
    #[prost(string, tag = "4")]
    pub team: String,
    #[prost(string, tag = "5")]
    pub client: String,
    /// Kind of work.
    #[prost(string, tag = "6")]
    pub kind: String,
    #[prost(uint32, tag = "7")]
    pub tasks: u32,
    /// Processor size of one task.
    #[prost(uint32, tag = "8")]
    pub millicores: u32,
    /// Memory of one task.
    #[prost(uint32, tag = "9")]
    pub memory_mib: u32,
    /// Accelerators of one task.
    #[prost(uint32, tag = "10")]
    pub accelerators: u32,
    /// Declared run time of one task.
    #[prost(uint64, tag = "11")]
    pub run_ms: u64,
    /// Time by which all tasks should have ended; 0 for none.
    #[prost(uint64, tag = "12")]
    pub finish_by_unix_ms: u64,
}

/// Cancellations forwarded to the owner of a shard.
#[derive(Clone, PartialEq, Message)]
pub struct JobCancel {
    /// Identifies the call in its reply.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    #[prost(fixed64, repeated, tag = "3")]
    pub jobs: Vec<u64>,
}

/// What an [`Inspect`] requests.
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

/// Requests state that only its owner has, for the administration API.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Inspect {
    /// Identifies the call in its reply.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    #[prost(enumeration = "Subject", tag = "2")]
    pub subject: i32,
    /// Team, job or server to which the answer is limited; empty for all.
    #[prost(string, tag = "3")]
    pub name: String,
    /// The addressee also queries the other entry hosts of its failure domain.
    #[prost(bool, tag = "4")]
    pub whole_domain: bool,
}

/// Answer to an [`Inspect`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct InspectReply {
    /// The call that it answers.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Elements in the JSON form of the administration API.
    #[prost(string, repeated, tag = "2")]
    pub elements: Vec<String>,
    /// Entry hosts that did not answer.
    #[prost(string, repeated, tag = "3")]
    pub silent: Vec<String>,
}

/// Why a job call had no effect.
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
    /// No backend server could ever hold a task of this size.
    TooLarge = 4,
    /// The addressee is shutting down.
    ShuttingDown = 5,
}

/// Answer to a [`JobSubmit`] or a [`JobCancel`].
#[derive(Clone, PartialEq, Message)]
pub struct JobReply {
    /// The call that it answers.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Absent if the outcome is unknown; the call can then be repeated safely.
    #[prost(oneof = "JobResult", tags = "2, 3, 4")]
    pub result: Option<JobResult>,
}

/// Result of a job call.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum JobResult {
    #[prost(message, tag = "2")]
    Accepted(JobAccepted),
    #[prost(message, tag = "3")]
    Cancelled(JobsCancelled),
    /// Nothing was recorded.
    #[prost(enumeration = "Refusal", tag = "4")]
    NotRun(i32),
}

/// The job is accepted.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct JobAccepted {
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
    /// The answer belongs to another request.
    #[snafu(display("answer to request {received:?} arrived for request {expected:?}"))]
    WrongRequest {
        /// Identifier of the waiting request.
        expected: String,
        /// Identifier in the answer.
        received: String,
    },
    /// The body is not as long as announced.
    #[snafu(display("answer to request {request:?} has {received} of {announced} bytes"))]
    LengthMismatch {
        request: String,
        /// Announced length in bytes.
        announced: u64,
        /// Received length in bytes.
        received: u64,
    },
}

impl RequestAnswer {
    /// Checks that this is the complete answer to the waiting request; only then may it be passed on.
    ///
    /// # Errors
    ///
    /// `WrongRequest` if it names another request, `LengthMismatch` if its body is not as long as announced.
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
