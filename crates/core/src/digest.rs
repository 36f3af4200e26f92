//! Versions of service documents and the digest that peers compare.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::ids::stable_hash;

pub const DIGEST_BUCKETS: usize = 64;

/// The service document of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    pub team: SmolStr,
    /// Starts at 1.
    pub revision: u64,
    /// Text as accepted.
    pub text: Arc<str>,
}

/// A version of a document without its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentHead {
    pub team: SmolStr,
    pub revision: u64,
    pub text_hash: u64,
}

/// Summary of the documents of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    pub documents: u64,
    /// Sum of the hashes of team, revision and text by bucket.
    pub buckets: [u64; DIGEST_BUCKETS],
}

impl Default for Digest {
    fn default() -> Self {
        Self {
            documents: 0,
            buckets: [0; DIGEST_BUCKETS],
        }
    }
}

impl Digest {
    /// Hash of the whole digest, equal for processes with the same documents.
    #[must_use]
    pub fn root(&self) -> u64 {
        let mut bytes = [0; 8 * DIGEST_BUCKETS];
        for (place, bucket) in bytes.chunks_exact_mut(8).zip(&self.buckets) {
            place.copy_from_slice(&bucket.to_le_bytes());
        }
        stable_hash(&bytes, self.documents)
    }
}

impl Document {
    /// The version of this document.
    #[must_use]
    pub fn head(&self) -> DocumentHead {
        DocumentHead {
            team: self.team.clone(),
            revision: self.revision,
            text_hash: stable_hash(self.text.as_bytes(), 0),
        }
    }
}

impl DocumentHead {
    /// Order of the versions of one document. Equal revisions with different texts exist only after a restore of the
    /// store; the hash makes every process prefer the same one.
    pub(crate) fn rank(&self) -> (u64, u64) {
        (self.revision, self.text_hash)
    }

    pub(crate) fn digest_hash(&self) -> u64 {
        let seed = stable_hash(&self.revision.to_le_bytes(), self.text_hash);
        stable_hash(self.team.as_bytes(), seed)
    }
}

/// Bucket of a team, the same in every digest.
#[must_use]
pub fn bucket_of(team: &str) -> usize {
    let bucket = stable_hash(team.as_bytes(), 0) % DIGEST_BUCKETS as u64;
    usize::try_from(bucket).unwrap_or_default()
}

pub(crate) fn in_buckets(team: &str, buckets: &[u32]) -> bool {
    let own = bucket_of(team);
    buckets
        .iter()
        .any(|bucket| usize::try_from(*bucket).is_ok_and(|bucket| bucket == own))
}
