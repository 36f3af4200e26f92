//! The head of a shard: ownership and journal in one value of the store.

use prost::Message;
use snafu::{ResultExt, ensure};

use crate::ids::HostId;
use crate::journal::{JournalError, MalformedSnafu, MissingSnafu};

/// An entry host.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HostEntry {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation.
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

/// A term whose designated successor has not released it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct UnreleasedEntry {
    /// The term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Its designated successor.
    #[prost(message, optional, tag = "2")]
    pub successor: Option<HostEntry>,
}

/// Reference to a snapshot; its chunks are under `<head prefix>/snap/<term>-<sequence>/<i>`.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct SnapshotRef {
    /// Term of its writer.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Commit sequence that it includes.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Number of chunks.
    #[prost(uint32, tag = "3")]
    pub chunks: u32,
    /// Total size in bytes.
    #[prost(uint64, tag = "4")]
    pub bytes: u64,
    /// Hash of the whole.
    #[prost(fixed64, tag = "5")]
    pub hash: u64,
}

/// The head of a shard: ownership and journal in one value.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Head {
    /// Term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Owner, who is also the writer unless the head was handed over.
    #[prost(message, optional, tag = "2")]
    pub owner: Option<HostEntry>,
    /// Designated successor; it is fixed for the term.
    #[prost(message, optional, tag = "3")]
    pub successor: Option<HostEntry>,
    /// Commit sequence.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Latest snapshot.
    #[prost(message, optional, tag = "5")]
    pub snapshot: Option<SnapshotRef>,
    /// Records since the snapshot.
    #[prost(bytes = "vec", tag = "6")]
    pub tail: Vec<u8>,
    /// Earlier terms whose successors have not released them.
    #[prost(message, repeated, tag = "7")]
    pub unreleased: Vec<UnreleasedEntry>,
    /// Incarnation of the process that wrote this value.
    #[prost(fixed64, tag = "8")]
    pub writer: u64,
}

impl Head {
    /// Decodes and checks a head.
    ///
    /// # Errors
    ///
    /// Returns [`JournalError`] if the bytes are no head or it names no owner.
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

    /// The owner.
    #[must_use]
    pub fn owner_id(&self) -> HostId {
        self.owner.as_ref().map(HostId::from).unwrap_or_default()
    }

    /// The designated successor.
    #[must_use]
    pub fn successor_id(&self) -> Option<HostId> {
        self.successor.as_ref().map(HostId::from)
    }
}
