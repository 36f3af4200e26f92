//! Records and their encoding.
//!
//! A tail and a snapshot are both sequences of length-delimited records, so one decoder reads both.

use prost::Message;
use snafu::{ResultExt, Snafu, ensure};

use crate::prelude::*;

pub use crate::head::{Head, HostEntry, SnapshotRef, UnreleasedEntry};

/// Tail size above which a snapshot is written, in bytes.
pub const TAIL_MAX_BYTES: usize = 196_608;

/// Largest chunk of a snapshot, in bytes.
pub const CHUNK_MAX_BYTES: usize = 524_288;

/// Most bytes of records in one commit. Together with the tail limit it keeps a head under 1 MB.
pub const COMMIT_MAX_BYTES: usize = 262_144;

/// Tail size above which commits wait for the snapshot in progress, in bytes; the store takes values up to 1 MB.
pub const TAIL_HARD_BYTES: usize = 655_360;

/// Largest record, in bytes; a larger submission is refused.
pub const RECORD_MAX_BYTES: usize = 65_536;

/// Most tasks of one job. It bounds what a damaged record can make a reader allocate.
pub const JOB_MAX_TASKS: u32 = 100_000;

/// Largest kept answer of an idempotency key, in bytes.
pub const ANSWER_MAX_BYTES: usize = 4_096;

/// Why bytes from the store could not be decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum JournalError {
    /// The bytes are no message of the expected type.
    #[snafu(display("malformed {what}"))]
    Malformed {
        /// What was expected.
        what: &'static str,
        /// Cause.
        source: prost::DecodeError,
    },
    /// A required field is missing.
    #[snafu(display("{what} without {field}"))]
    Missing {
        /// The message.
        what: &'static str,
        /// The field.
        field: &'static str,
    },
    /// A number is outside its range.
    #[snafu(display("{field} is {value}, the limit is {limit}"))]
    Range {
        /// The field.
        field: &'static str,
        /// The value.
        value: u64,
        /// The limit.
        limit: u64,
    },
    /// The chunks of a snapshot do not match the head's reference.
    #[snafu(display(
        "snapshot has {actual_bytes} bytes or another hash, expected {expected_bytes} bytes"
    ))]
    Snapshot {
        /// Size in the head.
        expected_bytes: u64,
        /// Size read.
        actual_bytes: u64,
    },
}

/// Identity of a task.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TaskEntry {
    /// Job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Position in the job.
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

/// Consecutive tasks of a job bound to one cell.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RackPoolRun {
    /// The cell.
    #[prost(uint32, tag = "1")]
    pub rack_pool: u32,
    /// Number of tasks.
    #[prost(uint32, tag = "2")]
    pub tasks: u32,
}

/// A job with its tasks and their cells.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Accepted {
    /// Job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Team.
    #[prost(string, tag = "2")]
    pub team: String,
    /// Client.
    #[prost(string, tag = "3")]
    pub client: String,
    /// Kind of work.
    #[prost(string, tag = "4")]
    pub kind: String,
    /// Number of tasks.
    #[prost(uint32, tag = "5")]
    pub tasks: u32,
    /// Processor time of one task, in thousandths of a core.
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
    /// Cells of the tasks in order.
    #[prost(message, repeated, tag = "11")]
    pub rack_pools: Vec<RackPoolRun>,
}

impl Accepted {
    /// The record of a job and the cells of its tasks.
    #[must_use]
    pub fn of(spec: &JobSpec, rack_pools: Vec<RackPoolRun>) -> Self {
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

    /// The job.
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

/// A task moved to a cell.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Bound {
    /// The task.
    #[prost(message, required, tag = "1")]
    pub task: TaskEntry,
    /// The cell.
    #[prost(uint32, tag = "2")]
    pub rack_pool: u32,
}

/// A checkpoint from which a task resumes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Evicted {
    /// The task.
    #[prost(message, required, tag = "1")]
    pub task: TaskEntry,
    /// Term of the attempt that wrote the checkpoint.
    #[prost(uint64, tag = "2")]
    pub attempt_term: u64,
    /// Counter of that attempt.
    #[prost(uint64, tag = "3")]
    pub attempt_counter: u64,
    /// The checkpoint.
    #[prost(string, tag = "4")]
    pub checkpoint: String,
}

/// Cancelled jobs.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cancelled {
    /// The jobs.
    #[prost(fixed64, repeated, tag = "1")]
    pub jobs: Vec<u64>,
}

/// Consecutive tasks of one job that ended with success.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Ended {
    /// The first task.
    #[prost(message, required, tag = "1")]
    pub first: TaskEntry,
    /// Number of tasks.
    #[prost(uint32, tag = "2")]
    pub tasks: u32,
}

/// Why a job is parked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum ParkReason {
    /// Its tasks failed on several servers that run other jobs well.
    FailsEverywhere = 0,
    /// No server of the shard is large enough any more.
    TooLarge = 1,
    /// Not parked; records that it is pending again.
    Unparked = 2,
}

/// A parked job.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Parked {
    /// The job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// The reason.
    #[prost(enumeration = "ParkReason", tag = "2")]
    pub reason: i32,
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
    /// The answer; used in `Answered` only.
    #[prost(bytes = "vec", tag = "3")]
    pub answer: Vec<u8>,
}

impl KeyEntry {
    /// The record part for a key.
    #[must_use]
    pub fn of(key: RequestKey, answer: Vec<u8>) -> Self {
        let bytes = key.0.to_be_bytes();
        let [high, low] = [0, 8].map(|at| {
            let half: [u8; 8] = std::array::from_fn(|byte| bytes[at + byte]);
            u64::from_be_bytes(half)
        });
        Self { high, low, answer }
    }

    /// The key.
    #[must_use]
    pub fn key(&self) -> RequestKey {
        RequestKey((u128::from(self.high) << 64) | u128::from(self.low))
    }
}

/// A backend server that may run tasks of this shard from now on.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServerEntry {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Rack.
    #[prost(string, tag = "2")]
    pub rack: String,
    /// Number of the rack's cell.
    #[prost(uint32, tag = "3")]
    pub rack_pool: u32,
    /// Processor time for batch, in thousandths of a core.
    #[prost(uint32, tag = "4")]
    pub millicores: u32,
    /// Memory for batch, in mebibytes.
    #[prost(uint32, tag = "5")]
    pub memory_mib: u32,
    /// Accelerators for batch.
    #[prost(uint32, tag = "6")]
    pub accelerators: u32,
}

/// Content of a record.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Entry {
    /// A job was accepted.
    #[prost(message, tag = "1")]
    Accepted(Accepted),
    /// A task moved to a cell.
    #[prost(message, tag = "2")]
    Bound(Bound),
    /// A checkpoint from which a task resumes.
    #[prost(message, tag = "3")]
    Evicted(Evicted),
    /// Jobs were cancelled.
    #[prost(message, tag = "4")]
    Cancelled(Cancelled),
    /// Tasks ended.
    #[prost(message, tag = "5")]
    Ended(Ended),
    /// A job was parked.
    #[prost(message, tag = "6")]
    Parked(Parked),
    /// An idempotency key was claimed.
    #[prost(message, tag = "7")]
    Claimed(KeyEntry),
    /// An idempotency key was answered.
    #[prost(message, tag = "8")]
    Answered(KeyEntry),
    /// A server may run tasks.
    #[prost(message, tag = "9")]
    ServerAdded(ServerEntry),
    /// A server is gone and runs nothing.
    #[prost(string, tag = "10")]
    ServerGone(String),
}

/// A record of the journal.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Record {
    /// Content.
    #[prost(oneof = "Entry", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub entry: Option<Entry>,
}

/// Appends one record.
pub fn write_entry(entry: Entry, out: &mut Vec<u8>) {
    let record = Record { entry: Some(entry) };
    out.extend_from_slice(&record.encode_length_delimited_to_vec());
}

/// Decodes and checks the records of a tail or snapshot, in order.
///
/// # Errors
///
/// Returns [`JournalError`] at the first record that is malformed or out of range.
pub fn read_entries(mut bytes: &[u8]) -> Result<Vec<Entry>, JournalError> {
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
            check_range("tasks bound to cells", bound, accepted.tasks.into())
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
