//! Fixed assignment of a failure domain's work to its shards; all processes compute the same one.

use crate::ids::{JobId, RequestKey, stable_hash};

/// Shard of a rack's servers, by rendezvous hashing, so that a rack is never split. `shards` of 0 counts as 1.
#[must_use]
pub fn shard_of_rack(rack: &str, shards: u32) -> u32 {
    highest_score(stable_hash(rack.as_bytes(), 0), shards)
}

/// Home shard of a batch job. `shards` of 0 counts as 1.
#[must_use]
pub fn shard_of_job(job: JobId, shards: u32) -> u32 {
    highest_score(stable_hash(&job.0.to_le_bytes(), 1), shards)
}

/// Home shard of an idempotency key within the key's failure domain. `shards` of 0 counts as 1.
#[must_use]
pub fn shard_of_key(key: RequestKey, shards: u32) -> u32 {
    highest_score(stable_hash(&key.0.to_le_bytes(), 2), shards)
}

fn highest_score(subject: u64, shards: u32) -> u32 {
    let score = |shard: &u32| stable_hash(&shard.to_le_bytes(), subject);
    (0..shards).max_by_key(score).unwrap_or_default()
}
