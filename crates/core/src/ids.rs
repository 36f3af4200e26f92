//! Names and keys.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An entry host and the incarnation of the process on it.
///
/// A restarted process has a new incarnation, since an entry host keeps nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostId {
    /// Name from the settings.
    pub name: SmolStr,
    /// Random number drawn by the process at its start.
    pub incarnation: u64,
}

/// Index of a backend server in the arena of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub u32);

/// A batch job: the hash of its team and idempotency key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct JobId(pub u64);

/// One task of a batch job.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Position in the job, from 0.
    pub index: u32,
}

/// The right to command a backend server; a higher epoch supersedes a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Raised by each takeover through the store.
    pub term: u64,
    /// 0 for the owner of the term, 1 for its successor during a store outage.
    pub rank: u32,
}

/// One try at running a task; unique without a write, since the term is unique to one owner.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Attempt {
    /// Term of the owner that started it.
    pub term: u64,
    /// Counts the starts of that owner.
    pub counter: u64,
}

/// Monotonic time of a backend server in milliseconds, as stamped by that server.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServerTimestamp(pub u64);

/// Revision of a value in the store; 0 means that the key does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// Names one call to the store or to a backend server, so that its answer can be recognised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);

/// Hash of team, service and idempotency key of a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestKey(pub u128);

/// Hash with a fixed seed, equal in every process.
#[must_use]
pub fn stable_hash(bytes: &[u8], seed: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(bytes, seed)
}

/// The element of `candidates` with the highest rendezvous hash for `subject`, or `None` if there is none.
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
