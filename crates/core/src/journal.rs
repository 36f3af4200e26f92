//! Journal records and their encoding.
//!
//! The tail of a head and a snapshot are both sequences of length-delimited records.

use prost::Message;
use snafu::{ResultExt, Snafu, ensure};

use crate::prelude::*;

pub use crate::head::{Head, HostEntry, SnapshotRef, UnreleasedEntry};

/// Tail size above which a snapshot is written, in bytes.
pub const TAIL_MAX_BYTES: usize = 196_608;

/// Maximum size of a snapshot chunk, in bytes.
pub const CHUNK_MAX_BYTES: usize = 524_288;

/// Maximum size of the records in one commit, in bytes. Together with the tail limit it keeps a head under 1 MB.
pub const COMMIT_MAX_BYTES: usize = 262_144;

/// Tail size above which records wait for the snapshot in progress, in bytes. The store limits values to 1 MB.
pub const TAIL_HARD_BYTES: usize = 655_360;

/// Maximum size of a record, in bytes; larger submissions are rejected.
pub const RECORD_MAX_BYTES: usize = 65_536;

/// Maximum number of tasks per job. It bounds the memory that a corrupt record can make a reader allocate.
pub const JOB_MAX_TASKS: u32 = 100_000;

/// Maximum size of a stored answer of an idempotency key, in bytes.
pub const ANSWER_MAX_BYTES: usize = 4_096;

/// Error in decoding a value from the store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum JournalError {
    /// The bytes are not a message of the expected type.
    #[snafu(display("malformed {what}"))]
    Malformed {
        /// Expected message.
        what: &'static str,
        source: prost::DecodeError,
    },
    /// A required field is missing.
    #[snafu(display("{what} has no {field}"))]
    Missing {
        what: &'static str,
        field: &'static str,
    },
    /// A number exceeds its limit.
    #[snafu(display("{field} is {value}, above the limit of {limit}"))]
    Range {
        field: &'static str,
        value: u64,
        limit: u64,
    },
    /// The chunks of a snapshot do not match the reference in the head.
    #[snafu(display(
        "snapshot of {actual_bytes} bytes does not match its reference of {expected_bytes} bytes in size or hash"
    ))]
    Snapshot {
        /// Size according to the head.
        expected_bytes: u64,
        /// Size of the chunks that were read.
        actual_bytes: u64,
    },
}

/// Encoded form of a [`TaskId`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TaskEntry {
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    #[prost(uint32, tag = "2")]
    pub index: u32,
}

impl From<TaskId> for TaskEntry {
    fn from(task: TaskId) -> Self {
        Self {
            job: task.job.0,
            index: task.index,
        }
    }
}

impl From<TaskEntry> for TaskId {
    fn from(entry: TaskEntry) -> Self {
        Self {
            job: JobId(entry.job),
            index: entry.index,
        }
    }
}

/// Consecutive tasks of a job that are bound to the same rack pool.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RackPoolRun {
    #[prost(uint32, tag = "1")]
    pub rack_pool: u32,
    #[prost(uint32, tag = "2")]
    pub tasks: u32,
}

/// An accepted job and the rack pools of its tasks.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Accepted {
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    #[prost(string, tag = "2")]
    pub team: String,
    #[prost(string, tag = "3")]
    pub client: String,
    #[prost(string, tag = "4")]
    pub kind: String,
    #[prost(uint32, tag = "5")]
    pub tasks: u32,
    /// CPU of one task, in thousandths of a core.
    #[prost(uint32, tag = "6")]
    pub millicores: u32,
    /// Memory of one task, in mebibytes.
    #[prost(uint32, tag = "7")]
    pub memory_mib: u32,
    /// Accelerators of one task.
    #[prost(uint32, tag = "8")]
    pub accelerators: u32,
    /// Declared run time in milliseconds.
    #[prost(uint64, tag = "9")]
    pub run_ms: u64,
    /// Deadline in milliseconds since the Unix epoch; 0 for none.
    #[prost(uint64, tag = "10")]
    pub finish_by_unix_ms: u64,
    /// Rack pools of the tasks, in task order.
    #[prost(message, repeated, tag = "11")]
    pub rack_pools: Vec<RackPoolRun>,
}

impl Accepted {
    /// Creates the record of a job and the rack pools of its tasks.
    #[must_use]
    pub fn new(spec: &JobSpec, rack_pools: Vec<RackPoolRun>) -> Self {
        Self {
            job: spec.id.0,
            team: spec.team.to_string(),
            client: spec.client.to_string(),
            kind: spec.kind.to_string(),
            tasks: spec.tasks,
            millicores: spec.size.millicores,
            memory_mib: spec.size.memory_mib,
            accelerators: spec.size.accelerators,
            run_ms: spec.run_ms,
            finish_by_unix_ms: spec.finish_by_unix_ms,
            rack_pools,
        }
    }

    #[must_use]
    pub fn spec(&self) -> JobSpec {
        JobSpec {
            id: JobId(self.job),
            team: self.team.as_str().into(),
            client: self.client.as_str().into(),
            kind: self.kind.as_str().into(),
            tasks: self.tasks,
            size: Resources {
                millicores: self.millicores,
                memory_mib: self.memory_mib,
                accelerators: self.accelerators,
            },
            run_ms: self.run_ms,
            finish_by_unix_ms: self.finish_by_unix_ms,
        }
    }
}

/// A task that was bound to another rack pool.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Bound {
    #[prost(message, required, tag = "1")]
    pub task: TaskEntry,
    #[prost(uint32, tag = "2")]
    pub rack_pool: u32,
}

/// A committed checkpoint of a task that is evicted.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Evicted {
    #[prost(message, required, tag = "1")]
    pub task: TaskEntry,
    /// Term of the attempt that wrote the checkpoint.
    #[prost(uint64, tag = "2")]
    pub attempt_term: u64,
    /// Counter of the attempt that wrote the checkpoint.
    #[prost(uint64, tag = "3")]
    pub attempt_counter: u64,
    #[prost(string, tag = "4")]
    pub checkpoint: String,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cancelled {
    #[prost(fixed64, repeated, tag = "1")]
    pub jobs: Vec<u64>,
}

/// Consecutive tasks of a job that ended successfully.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Ended {
    #[prost(message, required, tag = "1")]
    pub first: TaskEntry,
    #[prost(uint32, tag = "2")]
    pub tasks: u32,
}

/// Why a job is parked, that is, why its tasks are not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum ParkReason {
    /// Its tasks failed on several servers on which other jobs succeed.
    FailsEverywhere = 0,
    /// No server of the shard is large enough any more.
    TooLarge = 1,
    /// Not parked; records that the job is active again.
    Unparked = 2,
    /// Several servers crashed shortly after the start of one of its tasks.
    CrashesServers = 3,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Parked {
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    #[prost(enumeration = "ParkReason", tag = "2")]
    pub reason: i32,
}

/// A failure that counts against a job.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Failed {
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Rounds of failures so far; 0 if the job can run, so that its earlier failures no longer count.
    #[prost(uint32, tag = "2")]
    pub rounds: u32,
    /// Server that the job failed on.
    #[prost(string, tag = "3")]
    pub server: String,
    /// Whether the server, and not the job, caused the failures there.
    #[prost(bool, tag = "4")]
    pub excused: bool,
    /// Set if the server was lost when a task of the job had just started there; without a server, the task has outlived
    /// a start, and its earlier losses no longer count. Such a record states no rounds.
    #[prost(message, optional, tag = "5")]
    pub loss: Option<ServerLoss>,
}

/// Loss of a server that counts against a task.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ServerLoss {
    /// Index of the task in its job.
    #[prost(uint32, tag = "1")]
    pub index: u32,
    /// Whether the server certainly crashed and no other task had just started there.
    #[prost(bool, tag = "2")]
    pub is_sole_suspect: bool,
}

/// A claimed or answered idempotency key.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct KeyEntry {
    /// Upper half of the key.
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    /// Lower half of the key.
    #[prost(fixed64, tag = "2")]
    pub low: u64,
    /// Stored answer; only used in [`Entry::Answered`].
    #[prost(bytes = "vec", tag = "3")]
    pub answer: Vec<u8>,
}

impl KeyEntry {
    /// Encodes a key and its answer.
    #[must_use]
    pub fn new(key: RequestKey, answer: Vec<u8>) -> Self {
        let bytes = key.0.to_be_bytes();
        let [high, low] = [0, 8].map(|at| {
            let half: [u8; 8] = std::array::from_fn(|byte| bytes[at + byte]);
            u64::from_be_bytes(half)
        });
        Self { high, low, answer }
    }

    #[must_use]
    pub fn key(&self) -> RequestKey {
        RequestKey((u128::from(self.high) << 64) | u128::from(self.low))
    }
}

/// A backend server that may run tasks of the shard.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServerEntry {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub rack: String,
    /// Number of the rack pool.
    #[prost(uint32, tag = "3")]
    pub rack_pool: u32,
    /// CPU for batch tasks, in thousandths of a core.
    #[prost(uint32, tag = "4")]
    pub millicores: u32,
    /// Memory for batch tasks, in mebibytes.
    #[prost(uint32, tag = "5")]
    pub memory_mib: u32,
    /// Accelerators for batch tasks.
    #[prost(uint32, tag = "6")]
    pub accelerators: u32,
}

/// Content of a [`Record`].
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Entry {
    /// A job was accepted.
    #[prost(message, tag = "1")]
    Accepted(Accepted),
    /// A task was bound to another rack pool.
    #[prost(message, tag = "2")]
    Bound(Bound),
    /// A checkpoint from which a task resumes was written.
    #[prost(message, tag = "3")]
    Evicted(Evicted),
    /// Jobs were cancelled.
    #[prost(message, tag = "4")]
    Cancelled(Cancelled),
    /// Tasks ended successfully.
    #[prost(message, tag = "5")]
    Ended(Ended),
    /// A job was parked, or is active again.
    #[prost(message, tag = "6")]
    Parked(Parked),
    /// An idempotency key was claimed.
    #[prost(message, tag = "7")]
    Claimed(KeyEntry),
    /// An idempotency key was answered.
    #[prost(message, tag = "8")]
    Answered(KeyEntry),
    /// A server was added and may run tasks.
    #[prost(message, tag = "9")]
    ServerAdded(ServerEntry),
    /// A server is gone and runs nothing.
    #[prost(string, tag = "10")]
    ServerGone(String),
    /// A failure counts against a job.
    #[prost(message, tag = "11")]
    Failed(Failed),
}

/// A record of the journal.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Record {
    #[prost(oneof = "Entry", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub entry: Option<Entry>,
}

/// Appends a record to `out`.
pub fn encode_entry(entry: Entry, out: &mut Vec<u8>) {
    let record = Record { entry: Some(entry) };
    out.extend_from_slice(&record.encode_length_delimited_to_vec());
}

/// Decodes and validates the records of a tail or snapshot, in order.
///
/// # Errors
///
/// Returns [`JournalError`] for the first record that is malformed or out of range.
pub fn decode_entries(mut bytes: &[u8]) -> Result<Vec<Entry>, JournalError> {
    let mut entries = Vec::new();
    while !bytes.is_empty() {
        let decoded = Record::decode_length_delimited(&mut bytes);
        let record = decoded.context(MalformedSnafu { what: "record" })?;
        let Some(entry) = record.entry else {
            return MissingSnafu {
                what: "record",
                field: "entry",
            }
            .fail();
        };
        check(&entry)?;
        entries.push(entry);
    }
    Ok(entries)
}

fn check(entry: &Entry) -> Result<(), JournalError> {
    match entry {
        Entry::Accepted(accepted) => {
            check_range("tasks", accepted.tasks.into(), JOB_MAX_TASKS.into())?;
            let bound = accepted
                .rack_pools
                .iter()
                .map(|run| u64::from(run.tasks))
                .sum();
            check_range("tasks bound to rack pools", bound, accepted.tasks.into())
        }
        Entry::Ended(ended) => check_range("ended tasks", ended.tasks.into(), JOB_MAX_TASKS.into()),
        Entry::Answered(key) => {
            let limit = ANSWER_MAX_BYTES as u64;
            check_range("answer bytes", key.answer.len() as u64, limit)
        }
        Entry::ServerAdded(server) => {
            check_range("cell", server.rack_pool.into(), JOB_MAX_TASKS.into())
        }
        _ => Ok(()),
    }
}

fn check_range(field: &'static str, value: u64, limit: u64) -> Result<(), JournalError> {
    ensure!(
        value <= limit,
        RangeSnafu {
            field,
            value,
            limit
        }
    );
    Ok(())
}
