//! Versions of service documents and the digest that peers compare.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::ids::stable_hash;

/// Number of buckets of a digest.
pub const DIGEST_BUCKETS: usize = 64;

/// The document of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Team that it belongs to.
    pub team: SmolStr,
    /// Revision of the document, from 1.
    pub revision: u64,
    /// Text as accepted.
    pub text: Arc<str>,
}

/// Names one version of a document without its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentHead {
    /// Team that it belongs to.
    pub team: SmolStr,
    /// Revision of the document.
    pub revision: u64,
    /// Hash of the text.
    pub text_hash: u64,
}

/// Summary of all documents of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Number of documents.
    pub documents: u64,
    /// Sum of the hashes of team, revision and text in each bucket.
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
    /// Hash of the whole digest; two processes with the same documents have the same one.
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
    /// Names this version.
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
    /// Orders the versions of one document. Equal revisions with different texts exist only after the store was
    /// restored; ordering them by hash makes every process choose the same one.
    pub(crate) fn rank(&self) -> (u64, u64) {
        (self.revision, self.text_hash)
    }

    pub(crate) fn digest_hash(&self) -> u64 {
        let seed = stable_hash(&self.revision.to_le_bytes(), self.text_hash);
        stable_hash(self.team.as_bytes(), seed)
    }
}

/// Bucket of a team in every digest.
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
