//! Ownership state of a shard at one host: its role, the observed term, and the state of a standby and of an owner.

use std::collections::{BTreeMap, VecDeque};

use smol_str::SmolStr;

use crate::commit::{InFlightCommit, QueuedRecord};
use crate::journal::{Head, SnapshotRef};
use crate::lease::{Authority, GrantedPromise};
use crate::prelude::*;
use crate::snapshot::SnapshotWrite;

/// Time without a confirming commit after which an owner reads the head, in milliseconds.
pub const HEAD_READ_INTERVAL_MS: u64 = 2_000;

/// Role of this host in the shard. A successor that acts at rank 1 is still an observer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Does not own the shard.
    Observer,
    /// Owns the shard and is reading its journal.
    Recovering,
    /// Owns the shard and has recovered its state.
    Owner,
    /// Shut down; never takes over again.
    Stopped,
}

/// The highest term that this host knows of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedTerm {
    pub term: u64,
    pub owner: HostId,
    /// Designated successor, if known.
    pub successor: Option<HostId>,
}

/// Liveness of another entry host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Latest incarnation heard.
    pub incarnation: u64,
    /// Whether the failure detector suspects the host.
    pub suspected: bool,
    /// When `incarnation` or `suspected` last changed.
    pub status_since: MonoMs,
}

/// Liveness of the other entry hosts of the failure domain.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Hosts heard at least once, by name.
    pub known: BTreeMap<SmolStr, Peer>,
}

impl Peers {
    /// Whether this incarnation of a host is alive.
    #[must_use]
    pub fn is_alive(&self, host: &HostId) -> bool {
        let peer = self.known.get(&host.name);
        peer.is_some_and(|peer| peer.incarnation == host.incarnation && !peer.suspected)
    }

    /// Returns the live incarnation of a host and since when it has been alive.
    #[must_use]
    pub fn alive_incarnation(&self, name: &str) -> Option<(HostId, MonoMs)> {
        let (name, peer) = self.known.get_key_value(name)?;
        let host = HostId {
            name: name.clone(),
            incarnation: peer.incarnation,
        };
        (!peer.suspected).then_some((host, peer.status_since))
    }

    /// Returns the hosts that are not suspected.
    pub fn alive_hosts(&self) -> impl Iterator<Item = HostId> {
        let alive = self.known.iter().filter(|(_, peer)| !peer.suspected);
        alive.map(|(name, peer)| HostId {
            name: name.clone(),
            incarnation: peer.incarnation,
        })
    }

    /// Records that a host is alive or suspected.
    pub fn record(&mut self, host: &HostId, suspected: bool, now: MonoMs) {
        let peer = self.known.get(&host.name);
        let is_same = peer.is_some_and(|peer| {
            peer.incarnation == host.incarnation && peer.suspected == suspected
        });
        if is_same {
            return;
        }
        // A late suspicion of an earlier incarnation does not apply to the current one.
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

/// A takeover that was sent and whose outcome is unknown.
#[derive(Clone, Debug)]
pub struct TakeoverAttempt {
    /// Revision that the head must have.
    pub expected: Revision,
    /// Head to write.
    pub head: Box<Head>,
    /// Whether an earlier copy of the write may still be applied.
    pub may_have_applied: bool,
}

/// State of a host that does not own the shard: its promise as designated successor, and its takeover.
#[derive(Clone, Debug, Default)]
pub struct StandbyState {
    /// Promise granted to the owner.
    pub granted_promise: GrantedPromise,
    /// Term at whose rank 1 this host commands servers.
    pub rank_1: Option<u64>,
    /// Highest released term; for it and all lower ones this host grants no promises and renews no leases.
    pub released: u64,
    /// Takeover whose outcome is unknown.
    pub attempt: Option<TakeoverAttempt>,
    /// Since when the conditions for a takeover by this host hold.
    pub takeover_pending_since: Option<MonoMs>,
    /// When to read the head next.
    pub next_read: MonoMs,
    /// Whether a read of the head is outstanding.
    pub is_reading: bool,
}

/// An earlier term whose designated successor may still grant promises or renew leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreleasedTerm {
    pub term: u64,
    pub successor: HostId,
    /// When the release arrived, if it has.
    pub released: Option<MonoMs>,
}

/// State of the owner of a shard.
#[derive(Clone, Debug, Default)]
pub struct OwnerState {
    pub term: u64,
    /// Term in which this host became the owner; it may have raised its term since.
    pub first_term: u64,
    /// Revision of the head.
    pub revision: Revision,
    /// Sequence number of the last commit.
    pub sequence: u64,
    /// Designated successor, fixed for the term.
    pub successor: Option<HostId>,
    /// Earlier terms, with their releases so far.
    pub unreleased: Vec<UnreleasedTerm>,
    /// Latest snapshot.
    pub snapshot: Option<SnapshotRef>,
    /// Records since the snapshot.
    pub tail: Vec<u8>,
    /// Right to renew leases and to start tasks.
    pub authority: Authority,
    /// When leases granted by the previous owner have certainly expired, provided that all earlier terms are released.
    pub previous_leases_end: MonoMs,
    /// When this host became the owner.
    pub owner_since: MonoMs,
    /// Commit whose outcome is unknown.
    pub in_flight: Option<InFlightCommit>,
    /// Records that wait for a commit.
    pub queued_records: VecDeque<QueuedRecord>,
    /// Snapshot that is being written.
    pub snapshot_write: Option<SnapshotWrite>,
    /// Keys of chunks of replaced snapshots, to be deleted.
    pub obsolete_chunks: Vec<SmolStr>,
    /// Term to raise to, if higher than the current one.
    pub target_term: u64,
    /// Higher term that a server has reported.
    pub fenced_term: u64,
    /// Host that the shard is being handed over to.
    pub handover_target: Option<HostId>,
    /// When the last promise arrived, or else when the term began.
    pub last_promise: MonoMs,
    /// When the term may be raised again.
    pub next_term_raise: MonoMs,
    /// When to send the next heartbeats.
    pub next_heartbeat: MonoMs,
    /// When the last call that confirmed the term was sent.
    pub last_confirmation: MonoMs,
    /// When to step down even if the handover has not succeeded.
    pub stop_deadline: Option<MonoMs>,
    /// Whether this host held authority at the last tick.
    pub had_authority: bool,
    /// When pending tasks were last moved between rack pools.
    pub last_rebind: MonoMs,
    /// Whether the stored head lists an unreleased term that is obsolete. If this host died, the next owner would wait
    /// for the release of that term.
    pub needs_purge: bool,
}
