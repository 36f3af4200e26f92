//! What a host knows of the ownership of a shard, and what it owes as owner or designated successor.

use std::collections::{BTreeMap, VecDeque};

use smol_str::SmolStr;

use crate::commit::{InFlightCommit, QueuedRecord};
use crate::journal::{Head, SnapshotRef};
use crate::lease::{Authority, GrantedPromise};
use crate::prelude::*;
use crate::snapshot::SnapshotWrite;

/// Time between two reads of the head by an owner that no commit has confirmed, in milliseconds.
pub const HEAD_READ_INTERVAL_MS: u64 = 2_000;

/// Part that this host plays for the shard. Rank 1 is held by an observer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Does not own the shard.
    Observer,
    /// Owns the shard and reads its journal.
    Recovering,
    /// Owns the shard.
    Owner,
    /// Shut down; takes over nothing any more.
    Stopped,
}

/// The latest head that this host knows of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedTerm {
    /// Term.
    pub term: u64,
    /// Owner.
    pub owner: HostId,
    /// Designated successor, if it is known.
    pub successor: Option<HostId>,
}

/// What this host knows of another entry host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Incarnation that was heard last.
    pub incarnation: u64,
    /// Whether it is suspected.
    pub suspected: bool,
    /// Since when.
    pub status_since: MonoMs,
}

/// The other entry hosts of the failure domain.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Hosts that were ever heard, by name.
    pub known: BTreeMap<SmolStr, Peer>,
}

impl Peers {
    /// Whether this incarnation of a host is heard.
    #[must_use]
    pub fn is_alive(&self, host: &HostId) -> bool {
        let peer = self.known.get(&host.name);
        peer.is_some_and(|peer| peer.incarnation == host.incarnation && !peer.suspected)
    }

    /// The heard incarnation of a host and since when it is heard.
    #[must_use]
    pub fn alive_incarnation(&self, name: &str) -> Option<(HostId, MonoMs)> {
        let (name, peer) = self.known.get_key_value(name)?;
        let host = HostId {
            name: name.clone(),
            incarnation: peer.incarnation,
        };
        (!peer.suspected).then_some((host, peer.status_since))
    }

    /// Hosts that are heard.
    pub fn alive_hosts(&self) -> impl Iterator<Item = HostId> {
        let heard = self.known.iter().filter(|(_, peer)| !peer.suspected);
        heard.map(|(name, peer)| HostId {
            name: name.clone(),
            incarnation: peer.incarnation,
        })
    }

    /// Takes in that a host is heard or suspected.
    pub fn record(&mut self, host: &HostId, suspected: bool, now: MonoMs) {
        let peer = self.known.get(&host.name);
        let is_same = peer.is_some_and(|peer| {
            peer.incarnation == host.incarnation && peer.suspected == suspected
        });
        if is_same {
            return;
        }
        // A late suspicion of an earlier incarnation says nothing about the present one.
        let is_late = peer.is_some_and(|peer| peer.incarnation != host.incarnation) && suspected;
        if is_late {
            return;
        }
        let peer = Peer {
            incarnation: host.incarnation,
            suspected,
            status_since: now,
        };
        self.known.insert(host.name.clone(), peer);
    }
}

/// A takeover that was sent and whose outcome is not known.
#[derive(Clone, Debug)]
pub struct TakeoverAttempt {
    /// Revision that the head must have.
    pub expected: Revision,
    /// The head that is written.
    pub head: Box<Head>,
    /// Whether an earlier copy may still take effect.
    pub may_have_applied: bool,
}

/// What this host owes as designated successor, and its attempts to take over.
#[derive(Clone, Debug, Default)]
pub struct StandbyState {
    /// Promise given to the owner.
    pub granted_promise: GrantedPromise,
    /// Term whose servers this host commands at rank 1.
    pub rank_1: Option<u64>,
    /// Highest term for which this host gives no more promises and renews nothing.
    pub released: u64,
    /// Takeover without a known outcome.
    pub attempt: Option<TakeoverAttempt>,
    /// Since when this host wants to take over.
    pub wants_since: Option<MonoMs>,
    /// When the head is read next.
    pub next_read: MonoMs,
    /// Whether a read of the head is outstanding.
    pub reading: bool,
}

/// An earlier term whose designated successor may have promised or renewed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreleasedTerm {
    /// The term.
    pub term: u64,
    /// Its designated successor.
    pub successor: HostId,
    /// When its release arrived.
    pub released: Option<MonoMs>,
}

/// What an owner keeps.
#[derive(Clone, Debug, Default)]
pub struct OwnerState {
    /// Term.
    pub term: u64,
    /// Term in which this host became owner; it may have raised its term since.
    pub first_term: u64,
    /// Revision of the head.
    pub revision: Revision,
    /// Sequence of the last commit.
    pub sequence: u64,
    /// Designated successor, fixed for the term.
    pub successor: Option<HostId>,
    /// Earlier terms that were not released.
    pub unreleased: Vec<UnreleasedTerm>,
    /// Latest snapshot.
    pub snapshot: Option<SnapshotRef>,
    /// Records since the snapshot.
    pub tail: Vec<u8>,
    /// Right to renew and to start.
    pub authority: Authority,
    /// When leases of servers that never answered have ended, if all terms are released.
    pub previous_leases_end: MonoMs,
    /// When this host became owner.
    pub owner_since: MonoMs,
    /// Commit in flight.
    pub in_flight: Option<InFlightCommit>,
    /// Records that wait for a commit.
    pub queued_records: VecDeque<QueuedRecord>,
    /// Snapshot being written.
    pub snapshot_write: Option<SnapshotWrite>,
    /// Chunks of older snapshots to delete.
    pub obsolete_chunks: Vec<SmolStr>,
    /// Term to raise to, if higher than the own.
    pub target_term: u64,
    /// Higher term that a server has seen.
    pub fenced_term: u64,
    /// Host that the shard is handed to.
    pub handover_target: Option<HostId>,
    /// When the last promise arrived, or the term began.
    pub last_promise: MonoMs,
    /// When the successor may be changed again.
    pub next_term_raise: MonoMs,
    /// When promises and releases are asked for next.
    pub next_heartbeat: MonoMs,
    /// When a confirming read was last sent or a commit last confirmed.
    pub last_confirmation: MonoMs,
    /// When to step down although the store does not answer.
    pub stop_deadline: Option<MonoMs>,
    /// Whether authority was held at the last tick.
    pub had_authority: bool,
    /// When work was last moved between cells.
    pub last_rebind: MonoMs,
    /// Whether the stored head lists a term that matters no more. If this host died, the next owner would wait for
    /// its release.
    pub needs_purge: bool,
}
