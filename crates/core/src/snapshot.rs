//! Snapshots: the durable state in chunks below the value limit of the store, written in parallel with commits.

use std::sync::Arc;

use smol_str::{SmolStr, format_smolstr};

use crate::ids::stable_hash;
use crate::journal::{CHUNK_MAX_BYTES, JournalError, SnapshotRef, encode_entry};
use crate::prelude::*;
use crate::shard::{Call, Shard};

/// A snapshot whose chunks are being written.
#[derive(Clone, Debug)]
pub struct SnapshotWrite {
    reference: SnapshotRef,
    /// Length of the part of the tail that the snapshot includes, in bytes.
    included_tail_bytes: usize,
    bytes: Arc<[u8]>,
    written_chunks: u32,
    /// Whether the write of a chunk is outstanding.
    is_outstanding: bool,
}

impl SnapshotWrite {
    /// Whether all chunks are written.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.written_chunks == self.reference.chunks
    }

    /// Returns the reference and the length of the tail that the snapshot includes, once all chunks are written.
    #[must_use]
    pub fn completed(&self) -> Option<(SnapshotRef, usize)> {
        self.is_done()
            .then_some((self.reference, self.included_tail_bytes))
    }

    fn next_chunk(&self) -> Arc<[u8]> {
        let start = self.written_chunks as usize * CHUNK_MAX_BYTES;
        let end = (start + CHUNK_MAX_BYTES).min(self.bytes.len());
        self.bytes[start..end].into()
    }
}

/// Returns the reference to a snapshot with this content.
#[must_use]
pub fn snapshot_ref(term: u64, sequence: u64, bytes: &[u8]) -> SnapshotRef {
    let chunks = bytes.len().div_ceil(CHUNK_MAX_BYTES);
    SnapshotRef {
        term,
        sequence,
        chunks: u32::try_from(chunks).unwrap_or(u32::MAX),
        bytes: bytes.len() as u64,
        hash: stable_hash(bytes, 0),
    }
}

/// Checks the bytes of a snapshot against its reference.
///
/// # Errors
///
/// Returns [`JournalError::Snapshot`] if the size or the hash differs.
pub fn verify_snapshot(reference: &SnapshotRef, bytes: &[u8]) -> Result<(), JournalError> {
    let is_match = reference.bytes == bytes.len() as u64 && reference.hash == stable_hash(bytes, 0);
    if is_match {
        return Ok(());
    }
    Err(JournalError::Snapshot {
        expected_bytes: reference.bytes,
        actual_bytes: bytes.len() as u64,
    })
}

impl Shard {
    /// Returns the store key of a chunk.
    pub(crate) fn chunk_key(&self, reference: &SnapshotRef, chunk: u32) -> SmolStr {
        let (term, sequence) = (reference.term, reference.sequence);
        format_smolstr!("shard/{}/snap/{term}-{sequence}/{chunk}", self.name)
    }

    /// Starts a snapshot of the committed state, which equals the current snapshot plus the current tail.
    pub(crate) fn begin_snapshot(&mut self) {
        let mut bytes = Vec::new();
        for entry in self.durable.entries() {
            encode_entry(entry, &mut bytes);
        }
        self.owner_state.snapshot_write = Some(SnapshotWrite {
            reference: snapshot_ref(self.owner_state.term, self.owner_state.sequence, &bytes),
            included_tail_bytes: self.owner_state.tail.len(),
            bytes: bytes.into(),
            written_chunks: 0,
            is_outstanding: false,
        });
        self.advance_snapshot();
    }

    /// Writes the next chunk or deletes the next obsolete one, if the rate limit allows it.
    pub(crate) fn advance_snapshot(&mut self) {
        let Some(write) = &mut self.owner_state.snapshot_write else {
            self.delete_obsolete_chunk();
            return;
        };
        if write.is_done() || write.is_outstanding || !self.budget.take_write(self.now) {
            return;
        }
        write.is_outstanding = true;
        let value = write.next_chunk();
        let (reference, chunk) = (write.reference, write.written_chunks);
        let key = self.chunk_key(&reference, chunk);
        // The key must not exist yet.
        let expected = Revision(0);
        self.call_store(
            Call::WriteChunk,
            StoreCall::CompareAndSwap {
                key,
                expected,
                value,
            },
        );
    }

    pub(crate) fn chunk_written(&mut self, reply: &StoreReply) {
        let Some(write) = &mut self.owner_state.snapshot_write else {
            return;
        };
        write.is_outstanding = false;
        // No other write uses this key, so a conflict means that an earlier copy of this write was applied.
        if matches!(reply, StoreReply::Written { .. } | StoreReply::Conflict) {
            write.written_chunks += 1;
        }
        self.advance_snapshot();
    }

    /// Schedules the chunks of the old snapshot for deletion once the head refers to a new one.
    pub(crate) fn snapshot_committed(&mut self, snapshot: Option<SnapshotRef>) {
        let old = std::mem::replace(&mut self.owner_state.snapshot, snapshot);
        self.owner_state.snapshot_write = None;
        let Some(old) = old else {
            return;
        };
        for chunk in 0..old.chunks {
            let key = self.chunk_key(&old, chunk);
            self.owner_state.obsolete_chunks.push(key);
        }
        self.delete_obsolete_chunk();
    }

    fn delete_obsolete_chunk(&mut self) {
        let Some(key) = self.owner_state.obsolete_chunks.last().cloned() else {
            return;
        };
        let is_deleting = self
            .store_ops
            .values()
            .any(|op| op.call == Call::DeleteChunk);
        if is_deleting || !self.budget.take_write(self.now) {
            return;
        }
        self.call_store(Call::DeleteChunk, StoreCall::Delete { key });
    }

    pub(crate) fn chunk_deleted(&mut self, answered: bool) {
        if answered {
            self.owner_state.obsolete_chunks.pop();
        }
        self.advance_snapshot();
    }
}
