//! Group commit: one compare-and-swap of the head carries all waiting records.

use std::sync::Arc;

use prost::Message;

use crate::journal::{
    COMMIT_MAX_BYTES, Entry, Head, HostEntry, SnapshotRef, TAIL_HARD_BYTES, TAIL_MAX_BYTES,
    UnreleasedEntry, write_entry,
};
use crate::lease::Authority;
use crate::ownership::{Role, Seen, UnreleasedTerm};
use crate::prelude::*;
use crate::shard::{Call, Shard};
use crate::snapshot::SnapshotWrite;

/// Time after which a caller is told that the outcome of its commit is unknown, in milliseconds.
const REPLY_MAX_MS: u64 = 5_000;

/// A record that waits for its commit.
#[derive(Clone, Debug)]
pub struct Waiting {
    entry: Entry,
    bytes: Vec<u8>,
    reply: Option<(CallerToken, CallerReply)>,
    /// Whether it is refused, not retried, while the store is down.
    refusable: bool,
}

/// A write of the head whose outcome is not known.
#[derive(Clone, Debug)]
pub struct Flight {
    expected: Revision,
    value: Arc<[u8]>,
    term: u64,
    owner: HostId,
    successor: Option<HostId>,
    sequence: u64,
    tail: Vec<u8>,
    snapshot: Option<SnapshotRef>,
    group: Vec<Waiting>,
    first_sent: MonoMs,
    /// Whether a call is outstanding.
    is_sent: bool,
    /// Whether an earlier copy may have taken effect.
    uncertain: bool,
}

impl Shard {
    /// Queues a record that is retried until it is committed.
    pub(crate) fn append(&mut self, entry: Entry) {
        self.enqueue(entry, None, false);
    }

    /// Queues a record of a caller, who gets `reply` after the commit.
    pub(crate) fn append_for(&mut self, entry: Entry, token: CallerToken, reply: CallerReply) {
        self.enqueue(entry, Some((token, reply)), true);
    }

    fn enqueue(
        &mut self,
        entry: Entry,
        reply: Option<(CallerToken, CallerReply)>,
        refusable: bool,
    ) {
        let mut bytes = Vec::new();
        write_entry(entry.clone(), &mut bytes);
        self.own.waiting.push_back(Waiting {
            entry,
            bytes,
            reply,
            refusable,
        });
    }

    /// Starts a commit if there is something to write, none is in flight and the budget allows it.
    pub(crate) fn pump_commit(&mut self) {
        if self.role != Role::Owner || self.own.flight.is_some() {
            return;
        }
        let changes_term = self.own.heir.is_some() || self.own.wanted_term > self.own.term;
        let has_snapshot = self
            .own
            .writing
            .as_ref()
            .is_some_and(SnapshotWrite::is_done);
        let is_full = self.own.tail.len() > TAIL_HARD_BYTES && !has_snapshot;
        let has_records = !self.own.waiting.is_empty() && !is_full;
        let has_work = changes_term || has_snapshot || has_records || self.own.purge;
        if !has_work || !self.budget.take_write(self.now) {
            return;
        }
        self.own.purge = false;
        let flight = self.build_flight(is_full);
        self.own.flight = Some(flight);
        self.send_flight();
    }

    fn build_flight(&mut self, is_full: bool) -> Flight {
        let mut group = Vec::new();
        let mut tail = self.own.tail.clone();
        let mut snapshot = self.own.snapshot;
        if let Some((reference, cut)) = self.own.writing.as_ref().and_then(SnapshotWrite::done) {
            tail.drain(..cut);
            snapshot = Some(reference);
        }
        let mut group_bytes = 0;
        while let Some(waiting) = self.own.waiting.pop_front() {
            let exceeds = group_bytes + waiting.bytes.len() > COMMIT_MAX_BYTES;
            if is_full || exceeds {
                self.own.waiting.push_front(waiting);
                break;
            }
            group_bytes += waiting.bytes.len();
            tail.extend_from_slice(&waiting.bytes);
            group.push(waiting);
        }
        let (term, owner, successor) = self.next_ownership();
        let head = Head {
            term,
            owner: Some(HostEntry::from(&owner)),
            successor: successor.as_ref().map(HostEntry::from),
            sequence: self.own.sequence + 1,
            snapshot,
            tail,
            unreleased: self.unreleased_entries(term),
            writer: self.host.incarnation,
        };
        let value = head.encode_to_vec().into();
        Flight {
            expected: self.own.revision,
            value,
            term,
            owner,
            successor,
            sequence: head.sequence,
            tail: head.tail,
            snapshot,
            group,
            first_sent: self.now,
            is_sent: false,
            uncertain: false,
        }
    }

    fn next_ownership(&mut self) -> (u64, HostId, Option<HostId>) {
        if let Some(heir) = self.own.heir.clone() {
            let successor = self.choose_successor_of(&heir.name, self.shutting_down);
            return (self.own.term + 1, heir, successor);
        }
        if self.own.wanted_term > self.own.term {
            let successor = self.choose_other_successor();
            return (self.own.wanted_term, self.host.clone(), successor);
        }
        (self.own.term, self.host.clone(), self.own.successor.clone())
    }

    fn unreleased_entries(&self, term: u64) -> Vec<UnreleasedEntry> {
        let mut entries = Vec::new();
        for entry in &self.own.unreleased {
            entries.push(UnreleasedEntry {
                term: entry.term,
                successor: Some(HostEntry::from(&entry.successor)),
            });
        }
        if term > self.own.term
            && let Some(successor) = self.unreleased_successor()
        {
            entries.push(UnreleasedEntry {
                term: self.own.term,
                successor: Some(HostEntry::from(&successor)),
            });
        }
        entries
    }

    /// The successor of the present term, unless it promised never to use rank 1 of it. An heir is no exception: until
    /// it learns of its term it may renew at rank 1 of the present one.
    fn unreleased_successor(&self) -> Option<HostId> {
        let is_settled = self.own.authority.is_promised_forever();
        let successor = self.own.successor.clone();
        successor.filter(|_| !is_settled)
    }

    /// Whether the commit in flight may end the present term.
    pub(crate) fn is_changing_term(&self) -> bool {
        let flight = self.own.flight.as_ref();
        flight.is_some_and(|flight| flight.term > self.own.term)
    }

    fn send_flight(&mut self) {
        let key = self.head_key();
        let Some(flight) = &mut self.own.flight else {
            return;
        };
        flight.is_sent = true;
        let changes_term = flight.term > self.own.term;
        let call = StoreCall::CompareAndSwap {
            key,
            expected: flight.expected,
            value: flight.value.clone(),
        };
        if changes_term {
            // From here on another host may be the successor, so a promise for the old term proves nothing.
            self.own.authority.drop_promise();
        }
        self.call_store(Call::Commit, call);
    }

    pub(crate) fn commit_answered(&mut self, sent: MonoMs, reply: &StoreReply) {
        let Some(flight) = &mut self.own.flight else {
            return;
        };
        flight.is_sent = false;
        match reply {
            StoreReply::Written { revision } => self.commit_succeeded(sent, *revision),
            StoreReply::Unavailable if !flight.uncertain => self.commit_undone(),
            _ => {
                flight.uncertain = true;
                self.read_head();
            }
        }
    }

    /// Takes back a commit that certainly did not happen.
    fn commit_undone(&mut self) {
        let Some(flight) = self.own.flight.take() else {
            return;
        };
        for waiting in flight.group.into_iter().rev() {
            self.own.waiting.push_front(waiting);
        }
        self.refuse_waiting(NotRun::StoreUnavailable);
        if !self.shutting_down {
            self.own.heir = None;
        }
    }

    /// Refuses the records of callers that were never sent.
    fn refuse_waiting(&mut self, reason: NotRun) {
        let waiting = std::mem::take(&mut self.own.waiting);
        for mut item in waiting {
            if !item.refusable {
                self.own.waiting.push_back(item);
                continue;
            }
            self.forget_uncommitted(&item.entry, &CallerReply::NotRun(reason));
            if let Some((token, _)) = item.reply.take() {
                self.reply(token, CallerReply::NotRun(reason));
            }
        }
    }

    /// Answers all callers whose records are not committed, before the shard's state is dropped.
    pub(crate) fn fail_waiting(&mut self, reason: NotRun) {
        if let Some(flight) = self.own.flight.take() {
            for item in flight.group {
                self.forget_uncommitted(&item.entry, &CallerReply::Unknown);
                if let Some((token, _)) = item.reply {
                    self.reply(token, CallerReply::Unknown);
                }
            }
        }
        self.refuse_waiting(reason);
    }

    /// Whether a commit waits for a read of the head that tells its outcome.
    pub(crate) fn has_lost_commit(&self) -> bool {
        let flight = self.own.flight.as_ref();
        flight.is_some_and(|flight| !flight.is_sent)
    }

    /// Tells callers whose commit has no known outcome for too long.
    pub(crate) fn tick_commit(&mut self) {
        let now = self.now;
        let Some(flight) = &mut self.own.flight else {
            return;
        };
        if now < flight.first_sent + DurationMs(REPLY_MAX_MS) {
            return;
        }
        let tokens = flight.group.iter_mut().filter_map(|item| item.reply.take());
        let tokens: Vec<CallerToken> = tokens.map(|(token, _)| token).collect();
        for token in tokens {
            self.reply(token, CallerReply::Unknown);
        }
    }

    /// Whether a head is the write in flight.
    pub(crate) fn is_own_write(&self, head: &Head) -> bool {
        let Some(flight) = &self.own.flight else {
            return false;
        };
        head.writer == self.host.incarnation
            && head.term == flight.term
            && head.sequence == flight.sequence
    }

    /// Sends the same bytes again after a read that shows that they have not taken effect.
    pub(crate) fn resend_commit(&mut self, revision: Revision) {
        let Some(flight) = &self.own.flight else {
            return;
        };
        if flight.is_sent || flight.expected != revision || !self.budget.take_write(self.now) {
            return;
        }
        self.send_flight();
    }

    pub(crate) fn commit_succeeded(&mut self, sent: MonoMs, revision: Revision) {
        let Some(flight) = self.own.flight.take() else {
            return;
        };
        // A late answer to a copy of this commit must not be taken for the answer to the next one.
        self.store_ops
            .retain(|_, outstanding| outstanding.call != Call::Commit);
        if flight.owner != self.host {
            self.handed_over(flight);
            return;
        }
        if flight.term > self.own.term {
            self.raised(&flight);
        }
        self.own.revision = revision;
        self.own.sequence = flight.sequence;
        self.own.tail = flight.tail;
        self.own.authority.confirm(sent);
        self.own.confirmed = self.own.confirmed.max(sent);
        if flight.snapshot != self.own.snapshot {
            self.snapshot_committed(flight.snapshot);
        }
        for waiting in flight.group {
            self.committed(waiting);
        }
        if self.own.tail.len() > TAIL_MAX_BYTES && self.own.writing.is_none() {
            self.begin_snapshot();
        }
        self.place();
    }

    fn committed(&mut self, waiting: Waiting) {
        self.before_apply(&waiting.entry);
        self.ledger.apply(&waiting.entry, self.now);
        self.after_apply(&waiting.entry);
        if let Some((token, reply)) = waiting.reply {
            self.reply(token, reply);
        }
    }

    fn raised(&mut self, flight: &Flight) {
        if let Some(successor) = self.unreleased_successor() {
            self.own.unreleased.push(UnreleasedTerm {
                term: self.own.term,
                successor,
                released: None,
            });
        }
        self.own.term = flight.term;
        self.own.successor.clone_from(&flight.successor);
        self.own.authority = Authority::default();
        self.own.next_ask = self.now;
        self.own.promised = self.now;
        self.log("term_raised", None, &self.host.name.clone());
        self.seen = Some(Seen {
            term: flight.term,
            owner: self.host.clone(),
            successor: flight.successor.clone(),
        });
        self.tell_term(&self.host.clone());
        for key in self.fleet.keys() {
            if let Some(server) = self.fleet.get_mut(key) {
                server.next_report = self.now;
            }
            self.update_open(key);
        }
    }

    fn handed_over(&mut self, flight: Flight) {
        self.own.term = flight.term;
        self.log("handed_over", None, &flight.owner.name);
        self.tell_term(&flight.owner);
        for item in flight.group {
            if let Some((token, reply)) = item.reply {
                self.reply(token, reply);
            }
        }
        let seen = Seen {
            term: flight.term,
            owner: flight.owner,
            successor: flight.successor,
        };
        self.step_down(seen);
    }
}
