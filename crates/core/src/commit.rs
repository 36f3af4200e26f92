//! Group commit: a compare-and-swap of the head commits all queued records at once.

use std::sync::Arc;

use prost::Message;

use crate::journal::{
    COMMIT_MAX_BYTES, Entry, Head, HostEntry, SnapshotRef, TAIL_HARD_BYTES, TAIL_MAX_BYTES,
    UnreleasedEntry, encode_entry,
};
use crate::lease::Authority;
use crate::ownership::{ObservedTerm, Role, UnreleasedTerm};
use crate::prelude::*;
use crate::shard::{Call, Shard};
use crate::snapshot::SnapshotWrite;

/// Time after which a caller gets the reply that the outcome of its commit is unknown, in milliseconds.
const COMMIT_REPLY_TIMEOUT_MS: u64 = 5_000;

/// A record that waits for a commit.
#[derive(Clone, Debug)]
pub struct QueuedRecord {
    entry: Entry,
    bytes: Vec<u8>,
    reply: Option<(CallerToken, CallerReply)>,
    /// Whether the record is rejected, rather than retried, while the store is unavailable.
    rejectable: bool,
}

/// A write of the head whose outcome is unknown.
#[derive(Clone, Debug)]
pub struct InFlightCommit {
    expected: Revision,
    value: Arc<[u8]>,
    term: u64,
    owner: HostId,
    successor: Option<HostId>,
    sequence: u64,
    tail: Vec<u8>,
    snapshot: Option<SnapshotRef>,
    records: Vec<QueuedRecord>,
    first_sent: MonoMs,
    /// Whether a store call for this commit is outstanding.
    is_outstanding: bool,
    /// Whether an earlier copy of the write may have been applied.
    may_have_applied: bool,
}

impl Shard {
    /// Queues a record that is retried until it is committed.
    pub(crate) fn append(&mut self, entry: Entry) {
        self.enqueue(entry, None, false);
    }

    /// Queues a record for a caller, which gets `reply` after the commit.
    pub(crate) fn append_for(&mut self, entry: Entry, token: CallerToken, reply: CallerReply) {
        self.enqueue(entry, Some((token, reply)), true);
    }

    fn enqueue(
        &mut self,
        entry: Entry,
        reply: Option<(CallerToken, CallerReply)>,
        rejectable: bool,
    ) {
        let mut bytes = Vec::new();
        encode_entry(entry.clone(), &mut bytes);
        self.owner_state.queued_records.push_back(QueuedRecord {
            entry,
            bytes,
            reply,
            rejectable,
        });
    }

    /// Starts a commit if there is something to write, no commit is in flight and the rate limit allows it.
    pub(crate) fn try_commit(&mut self) {
        if self.role != Role::Owner || self.owner_state.in_flight.is_some() {
            return;
        }
        let changes_term = self.owner_state.handover_target.is_some()
            || self.owner_state.target_term > self.owner_state.term;
        let has_snapshot = self
            .owner_state
            .snapshot_write
            .as_ref()
            .is_some_and(SnapshotWrite::is_done);
        let is_tail_full = self.owner_state.tail.len() > TAIL_HARD_BYTES && !has_snapshot;
        let has_records = !self.owner_state.queued_records.is_empty() && !is_tail_full;
        let has_work = changes_term || has_snapshot || has_records || self.owner_state.needs_purge;
        if !has_work || !self.budget.take_write(self.now) {
            return;
        }
        self.owner_state.needs_purge = false;
        let commit = self.build_commit(is_tail_full);
        self.owner_state.in_flight = Some(commit);
        self.send_commit();
    }

    fn build_commit(&mut self, is_tail_full: bool) -> InFlightCommit {
        let mut records = Vec::new();
        let mut tail = self.owner_state.tail.clone();
        let mut snapshot = self.owner_state.snapshot;
        if let Some((reference, included_tail_bytes)) = self
            .owner_state
            .snapshot_write
            .as_ref()
            .and_then(SnapshotWrite::completed)
        {
            tail.drain(..included_tail_bytes);
            snapshot = Some(reference);
        }
        let mut records_bytes = 0;
        while let Some(queued) = self.owner_state.queued_records.pop_front() {
            let exceeds_limit = records_bytes + queued.bytes.len() > COMMIT_MAX_BYTES;
            if is_tail_full || exceeds_limit {
                self.owner_state.queued_records.push_front(queued);
                break;
            }
            records_bytes += queued.bytes.len();
            tail.extend_from_slice(&queued.bytes);
            records.push(queued);
        }
        let (term, owner, successor) = self.next_ownership();
        let head = Head {
            term,
            owner: Some(HostEntry::from(&owner)),
            successor: successor.as_ref().map(HostEntry::from),
            sequence: self.owner_state.sequence + 1,
            snapshot,
            tail,
            unreleased: self.unreleased_entries(term),
            writer: self.host.incarnation,
        };
        let value = head.encode_to_vec().into();
        InFlightCommit {
            expected: self.owner_state.revision,
            value,
            term,
            owner,
            successor,
            sequence: head.sequence,
            tail: head.tail,
            snapshot,
            records,
            first_sent: self.now,
            is_outstanding: false,
            may_have_applied: false,
        }
    }

    fn next_ownership(&mut self) -> (u64, HostId, Option<HostId>) {
        if let Some(target) = self.owner_state.handover_target.clone() {
            let successor = self.choose_successor_of(&target.name, self.shutting_down);
            return (self.owner_state.term + 1, target, successor);
        }
        if self.owner_state.target_term > self.owner_state.term {
            let successor = self.choose_other_successor();
            return (self.owner_state.target_term, self.host.clone(), successor);
        }
        (
            self.owner_state.term,
            self.host.clone(),
            self.owner_state.successor.clone(),
        )
    }

    fn unreleased_entries(&self, term: u64) -> Vec<UnreleasedEntry> {
        let mut entries = Vec::new();
        for entry in &self.owner_state.unreleased {
            entries.push(UnreleasedEntry {
                term: entry.term,
                successor: Some(HostEntry::from(&entry.successor)),
            });
        }
        if term > self.owner_state.term
            && let Some(successor) = self.unreleased_successor()
        {
            entries.push(UnreleasedEntry {
                term: self.owner_state.term,
                successor: Some(HostEntry::from(&successor)),
            });
        }
        entries
    }

    /// Returns the successor of the current term, unless it promised never to take over. This includes the target of a
    /// handover, which may renew leases at rank 1 of the current term until it learns of its own term.
    fn unreleased_successor(&self) -> Option<HostId> {
        let never_takes_over = self.owner_state.authority.is_promised_forever();
        let successor = self.owner_state.successor.clone();
        successor.filter(|_| !never_takes_over)
    }

    /// Whether the commit in flight changes the term.
    pub(crate) fn is_changing_term(&self) -> bool {
        let commit = self.owner_state.in_flight.as_ref();
        commit.is_some_and(|commit| commit.term > self.owner_state.term)
    }

    fn send_commit(&mut self) {
        let key = self.head_key();
        let Some(commit) = &mut self.owner_state.in_flight else {
            return;
        };
        commit.is_outstanding = true;
        let changes_term = commit.term > self.owner_state.term;
        let call = StoreCall::CompareAndSwap {
            key,
            expected: commit.expected,
            value: commit.value.clone(),
        };
        if changes_term {
            // From now on another host may be the successor, so a promise for the old term is no longer a proof.
            self.owner_state.authority.drop_promise();
        }
        self.call_store(Call::Commit, call);
    }

    pub(crate) fn commit_answered(&mut self, sent: MonoMs, reply: &StoreReply) {
        let Some(commit) = &mut self.owner_state.in_flight else {
            return;
        };
        commit.is_outstanding = false;
        match reply {
            StoreReply::Written { revision } => self.commit_succeeded(sent, *revision),
            StoreReply::Unavailable if !commit.may_have_applied => self.requeue_commit(),
            _ => {
                commit.may_have_applied = true;
                self.read_head();
            }
        }
    }

    /// Requeues the records of a commit that was certainly not applied, and rejects those of callers.
    fn requeue_commit(&mut self) {
        let Some(commit) = self.owner_state.in_flight.take() else {
            return;
        };
        for queued in commit.records.into_iter().rev() {
            self.owner_state.queued_records.push_front(queued);
        }
        self.reject_queued(NotRun::StoreUnavailable);
        if !self.shutting_down {
            self.owner_state.handover_target = None;
        }
    }

    /// Rejects the queued records of callers, which were never sent to the store.
    fn reject_queued(&mut self, reason: NotRun) {
        let queued = std::mem::take(&mut self.owner_state.queued_records);
        for mut record in queued {
            if !record.rejectable {
                self.owner_state.queued_records.push_back(record);
                continue;
            }
            self.drop_uncommitted(&record.entry, &CallerReply::NotRun(reason));
            if let Some((token, _)) = record.reply.take() {
                self.reply(token, CallerReply::NotRun(reason));
            }
        }
    }

    /// Replies to all callers whose records are not committed, before the state of the shard is dropped.
    pub(crate) fn fail_uncommitted(&mut self, reason: NotRun) {
        if let Some(commit) = self.owner_state.in_flight.take() {
            for record in commit.records {
                self.drop_uncommitted(&record.entry, &CallerReply::Unknown);
                if let Some((token, _)) = record.reply {
                    self.reply(token, CallerReply::Unknown);
                }
            }
        }
        self.reject_queued(reason);
    }

    /// Whether the outcome of a commit must be determined by a read of the head.
    pub(crate) fn has_unresolved_commit(&self) -> bool {
        let commit = self.owner_state.in_flight.as_ref();
        commit.is_some_and(|commit| !commit.is_outstanding)
    }

    /// Replies to callers whose commit has had an unknown outcome for `COMMIT_REPLY_TIMEOUT_MS`.
    pub(crate) fn tick_commit(&mut self) {
        let now = self.now;
        let Some(commit) = &mut self.owner_state.in_flight else {
            return;
        };
        if now < commit.first_sent + DurationMs(COMMIT_REPLY_TIMEOUT_MS) {
            return;
        }
        let tokens = commit
            .records
            .iter_mut()
            .filter_map(|record| record.reply.take());
        let tokens: Vec<CallerToken> = tokens.map(|(token, _)| token).collect();
        for token in tokens {
            self.reply(token, CallerReply::Unknown);
        }
    }

    /// Whether a head was written by the commit in flight.
    pub(crate) fn is_own_write(&self, head: &Head) -> bool {
        let Some(commit) = &self.owner_state.in_flight else {
            return false;
        };
        head.writer == self.host.incarnation
            && head.term == commit.term
            && head.sequence == commit.sequence
    }

    /// Sends the commit again after a read has shown that it was not applied.
    pub(crate) fn resend_commit(&mut self, revision: Revision) {
        let Some(commit) = &self.owner_state.in_flight else {
            return;
        };
        if commit.is_outstanding || commit.expected != revision || !self.budget.take_write(self.now)
        {
            return;
        }
        self.send_commit();
    }

    pub(crate) fn commit_succeeded(&mut self, sent: MonoMs, revision: Revision) {
        let Some(commit) = self.owner_state.in_flight.take() else {
            return;
        };
        // A late response to a copy of this commit must not be taken for the response to the next one.
        self.store_ops
            .retain(|_, outstanding| outstanding.call != Call::Commit);
        if commit.owner != self.host {
            self.handed_over(commit);
            return;
        }
        if commit.term > self.owner_state.term {
            self.term_raised(&commit);
        }
        self.owner_state.revision = revision;
        self.owner_state.sequence = commit.sequence;
        self.owner_state.tail = commit.tail;
        self.owner_state.authority.confirm(sent);
        self.owner_state.last_confirmation = self.owner_state.last_confirmation.max(sent);
        if commit.snapshot != self.owner_state.snapshot {
            self.snapshot_committed(commit.snapshot);
        }
        for queued in commit.records {
            self.committed(queued);
        }
        if self.owner_state.tail.len() > TAIL_MAX_BYTES && self.owner_state.snapshot_write.is_none()
        {
            self.begin_snapshot();
        }
        self.place();
    }

    fn committed(&mut self, queued: QueuedRecord) {
        self.before_apply(&queued.entry);
        self.durable.apply(&queued.entry, self.now);
        self.after_apply(&queued.entry);
        if let Some((token, reply)) = queued.reply {
            self.reply(token, reply);
        }
    }

    fn term_raised(&mut self, commit: &InFlightCommit) {
        if let Some(successor) = self.unreleased_successor() {
            self.owner_state.unreleased.push(UnreleasedTerm {
                term: self.owner_state.term,
                successor,
                released: None,
            });
        }
        self.owner_state.term = commit.term;
        self.owner_state.successor.clone_from(&commit.successor);
        self.owner_state.authority = Authority::default();
        self.owner_state.next_heartbeat = self.now;
        self.owner_state.last_promise = self.now;
        self.log("term_raised", None, &self.host.name.clone());
        self.observed_term = Some(ObservedTerm {
            term: commit.term,
            owner: self.host.clone(),
            successor: commit.successor.clone(),
        });
        self.announce_term(&self.host.clone());
        for key in self.fleet.keys() {
            if let Some(server) = self.fleet.get_mut(key) {
                server.next_report = self.now;
            }
            self.update_open(key);
        }
    }

    fn handed_over(&mut self, commit: InFlightCommit) {
        self.owner_state.term = commit.term;
        self.log("handed_over", None, &commit.owner.name);
        self.announce_term(&commit.owner);
        for record in commit.records {
            if let Some((token, reply)) = record.reply {
                self.reply(token, reply);
            }
        }
        let observed = ObservedTerm {
            term: commit.term,
            owner: commit.owner,
            successor: commit.successor,
        };
        self.step_down(observed);
    }
}
