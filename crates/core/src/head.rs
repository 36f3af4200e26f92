//! Encoding of the head, the store value that holds the ownership and the journal of a shard.

use prost::Message;
use snafu::{ResultExt, ensure};

use crate::ids::HostId;
use crate::journal::{JournalError, MalformedSnafu, MissingSnafu};

/// Encoded form of a [`HostId`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HostEntry {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
}

impl From<&HostId> for HostEntry {
    fn from(host: &HostId) -> Self {
        Self {
            name: host.name.to_string(),
            incarnation: host.incarnation,
        }
    }
}

impl From<&HostEntry> for HostId {
    fn from(entry: &HostEntry) -> Self {
        Self {
            name: entry.name.as_str().into(),
            incarnation: entry.incarnation,
        }
    }
}

/// A term that its designated successor has not released.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct UnreleasedEntry {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(message, optional, tag = "2")]
    pub successor: Option<HostEntry>,
}

/// Reference to a snapshot. The keys of its chunks are `<head prefix>/snap/<term>-<sequence>/<i>`.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct SnapshotRef {
    /// Term of the writer.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Sequence number of the last commit that the snapshot includes.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Number of chunks.
    #[prost(uint32, tag = "3")]
    pub chunks: u32,
    /// Total size in bytes.
    #[prost(uint64, tag = "4")]
    pub bytes: u64,
    /// Hash of all chunks together.
    #[prost(fixed64, tag = "5")]
    pub hash: u64,
}

/// The head of a shard. Ownership and journal share one value, so one compare-and-swap covers both.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Head {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Owner; also the writer, unless the previous owner handed the shard over.
    #[prost(message, optional, tag = "2")]
    pub owner: Option<HostEntry>,
    /// Designated successor, fixed for the term.
    #[prost(message, optional, tag = "3")]
    pub successor: Option<HostEntry>,
    /// Sequence number of the commit.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Latest snapshot.
    #[prost(message, optional, tag = "5")]
    pub snapshot: Option<SnapshotRef>,
    /// Records since the snapshot.
    #[prost(bytes = "vec", tag = "6")]
    pub tail: Vec<u8>,
    /// Earlier terms that their successors have not released.
    #[prost(message, repeated, tag = "7")]
    pub unreleased: Vec<UnreleasedEntry>,
    /// Incarnation of the process that wrote the value.
    #[prost(fixed64, tag = "8")]
    pub writer: u64,
}

impl Head {
    /// Decodes and validates a head.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError`] if the bytes are not a head, or if an owner or a successor is missing.
    pub fn read(bytes: &[u8]) -> Result<Self, JournalError> {
        let head = Self::decode(bytes).context(MalformedSnafu { what: "head" })?;
        ensure!(
            head.owner.is_some(),
            MissingSnafu {
                what: "head",
                field: "owner"
            }
        );
        for entry in &head.unreleased {
            ensure!(
                entry.successor.is_some(),
                MissingSnafu {
                    what: "unreleased term",
                    field: "successor"
                }
            );
        }
        Ok(head)
    }

    #[must_use]
    pub fn owner_id(&self) -> HostId {
        self.owner.as_ref().map(HostId::from).unwrap_or_default()
    }

    #[must_use]
    pub fn successor_id(&self) -> Option<HostId> {
        self.successor.as_ref().map(HostId::from)
    }
}
