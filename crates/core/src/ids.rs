//! Identifiers and hash functions.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An entry host and the incarnation of its process.
///
/// Each start of the process draws a new incarnation, since an entry host keeps no state on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostId {
    /// Name of the host in the settings.
    pub name: SmolStr,
    /// Random number drawn when the process starts.
    pub incarnation: u64,
}

/// Index of a backend server in the [`Fleet`](crate::servers::Fleet) of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub u32);

/// Identifier of a batch job: the hash of its team and idempotency key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct JobId(pub u64);

/// Identifier of a task of a batch job.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TaskId {
    pub job: JobId,
    /// Position of the task in its job, from 0.
    pub index: u32,
}

/// Fencing token of commands to backend servers. A server refuses epochs lower than the highest one it has seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Term of the owner; each takeover through the store raises it.
    pub term: u64,
    /// 0 for the owner of the term, 1 for its designated successor during a store outage.
    pub rank: u32,
}

/// Identifier of one execution attempt of a task. It is unique without a store write, since a term has one owner.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Attempt {
    /// Term of the owner that started the attempt.
    pub term: u64,
    /// Number of starts by that owner so far.
    pub counter: u64,
}

/// Monotonic time of a backend server in milliseconds. Only that server compares it with its clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServerTimestamp(pub u64);

/// Revision of a key in the store; 0 means that the key does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// Correlates a call to the store or to a backend server with its response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);

/// Hash of the team, service and idempotency key of a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestKey(pub u128);

/// Hashes bytes; the result is the same in every process.
#[must_use]
pub fn stable_hash(bytes: &[u8], seed: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(bytes, seed)
}

/// Returns the candidate with the highest rendezvous hash for `subject`.
#[must_use]
pub fn rendezvous<'a>(
    subject: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let subject_hash = stable_hash(subject.as_bytes(), 0);
    candidates
        .into_iter()
        .max_by_key(|name| (stable_hash(name.as_bytes(), subject_hash), *name))
}
