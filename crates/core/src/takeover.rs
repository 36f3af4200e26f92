//! Leader election of a shard: acquisition, takeover, and acting at rank 1 during a store outage.

use smol_str::SmolStr;

use crate::ids::rendezvous;
use crate::journal::{Head, HostEntry, UnreleasedEntry};
use crate::lease::takeover_lease_expiry;
use crate::ownership::{
    HEAD_READ_INTERVAL_MS, ObservedTerm, OwnerState, Role, TakeoverAttempt, UnreleasedTerm,
};
use crate::placement::Scheduler;
use crate::prelude::*;
use crate::recovery::Recovery;
use crate::shard::{Call, Shard};
use crate::tasks::DurableState;

/// Interval between reads of the head by the designated successor, in milliseconds.
const SUCCESSOR_READ_MS: u64 = 10_000;

/// Interval between reads of the head by other observers, in milliseconds.
const OBSERVER_READ_MS: u64 = 60_000;

/// Time after the start of this host at which a host that was never heard counts as suspected, in milliseconds.
const FIRST_CONTACT_TIMEOUT_MS: u64 = 3_000;

/// Time for which the owner and the successor must both be suspected before another host takes over, in milliseconds.
const OTHER_TAKEOVER_MS: u64 = 1_500;

/// Time that a live successor has to take over before another host does, in milliseconds.
const SUCCESSOR_TAKEOVER_TIMEOUT_MS: u64 = 10_000;

/// Time for which a takeover must have been pending before the successor acts at rank 1, in milliseconds.
const RANK_1_AFTER_MS: u64 = 500;

impl Shard {
    pub(crate) fn suspicion_changed(&mut self, host: &HostId, suspected: bool) {
        self.peers.record(host, suspected, self.now);
        if host.name == self.host.name {
            return;
        }
        self.tick_ownership();
    }

    /// Returns since when a host is suspected. A replaced incarnation counts as suspected since its replacement.
    pub(crate) fn suspected_since(&self, host: &HostId) -> Option<MonoMs> {
        if host.name == self.host.name {
            return (host.incarnation != self.host.incarnation).then_some(self.started_at);
        }
        let Some(peer) = self.peers.known.get(&host.name) else {
            let deadline = self.started_at + DurationMs(FIRST_CONTACT_TIMEOUT_MS);
            return (self.now >= deadline).then_some(deadline);
        };
        let is_gone = peer.suspected || peer.incarnation != host.incarnation;
        is_gone.then_some(peer.status_since)
    }

    fn is_name_suspected(&self, name: &SmolStr) -> bool {
        match self.peers.known.get(name) {
            Some(peer) => peer.suspected,
            None => self.now >= self.started_at + DurationMs(FIRST_CONTACT_TIMEOUT_MS),
        }
    }

    /// Whether this host has the highest rendezvous hash among the hosts that are not suspected, without `excluded`.
    fn is_preferred_candidate(&self, excluded: Option<&HostId>) -> bool {
        let hosts = self.config.hosts.iter();
        let candidates = hosts.filter(|&name| {
            let is_excluded = excluded.is_some_and(|host| host.name == *name);
            *name == self.host.name || !(is_excluded || self.is_name_suspected(name))
        });
        rendezvous(&self.name, candidates.map(SmolStr::as_str)) == Some(self.host.name.as_str())
    }

    /// Chooses a live host as the successor of this one.
    pub(crate) fn choose_successor(&self) -> Option<HostId> {
        self.choose_successor_of(&self.host.name, true)
    }

    /// Chooses a live host as the successor of this one. It avoids the current successor if that one sends no promises.
    pub(crate) fn choose_other_successor(&self) -> Option<HostId> {
        let unresponsive = self
            .owner_state
            .successor
            .as_ref()
            .filter(|_| self.is_successor_unresponsive());
        let unresponsive = unresponsive.map_or("", |host| host.name.as_str());
        let other = self.choose_successor_of(unresponsive, true);
        other.or_else(|| self.choose_successor())
    }

    /// Chooses a live host as the successor of `owner`.
    pub(crate) fn choose_successor_of(&self, owner: &str, without_self: bool) -> Option<HostId> {
        let mut candidates: Vec<HostId> = self.peers.alive_hosts().collect();
        candidates.retain(|host| host.name != self.host.name && host.name != owner);
        candidates.retain(|host| self.config.hosts.contains(&host.name));
        if !without_self {
            candidates.push(self.host.clone());
        }
        let name = rendezvous(&self.name, candidates.iter().map(|host| host.name.as_str()))?;
        candidates.iter().find(|host| host.name == name).cloned()
    }

    /// Periodic work of each role.
    pub(crate) fn tick_ownership(&mut self) {
        match self.role {
            Role::Observer => self.tick_observer(),
            Role::Recovering | Role::Owner => self.tick_owner(),
            Role::Stopped => {}
        }
    }

    fn tick_observer(&mut self) {
        let should_take_over = self.should_take_over();
        if !should_take_over {
            self.standby.takeover_pending_since = None;
        } else if self.standby.takeover_pending_since.is_none() {
            self.standby.takeover_pending_since = Some(self.now);
            self.standby.next_read = self.now;
        }
        if should_take_over || self.now >= self.standby.next_read {
            self.read_head();
        }
        self.consider_rank_1();
    }

    /// Reads the head, unless a read or a takeover is outstanding or the rate limit is reached.
    pub(crate) fn read_head(&mut self) {
        let takeover_sent = self.store_ops.values().any(|op| op.call == Call::Takeover);
        if self.standby.is_reading || takeover_sent || !self.budget.take_read(self.now) {
            return;
        }
        self.standby.is_reading = true;
        let key = self.head_key();
        self.call_store(Call::ReadHead, StoreCall::Read { key });
    }

    fn should_take_over(&self) -> bool {
        let Some(observed) = &self.observed_term else {
            return false;
        };
        let Some(since) = self.suspected_since(&observed.owner) else {
            return false;
        };
        if observed.successor.as_ref() == Some(&self.host) {
            return !self.standby.granted_promise.binds(self.now, observed.term);
        }
        if observed.owner.name == self.host.name {
            return true;
        }
        let successor_since = match &observed.successor {
            Some(successor) => self.suspected_since(successor),
            None => Some(since),
        };
        let (from, excluded) = if let Some(suspected) = successor_since {
            (since.max(suspected) + DurationMs(OTHER_TAKEOVER_MS), None)
        } else {
            // After a store outage the successor gets the first try.
            let Some(up_since) = self.budget.up_since() else {
                return false;
            };
            let from = since.max(up_since) + DurationMs(SUCCESSOR_TAKEOVER_TIMEOUT_MS);
            (from, observed.successor.as_ref())
        };
        // The preferred host may also be partitioned from the store, so after a second time-out any host may try.
        let may_any_host_try = self.now >= from + DurationMs(SUCCESSOR_TAKEOVER_TIMEOUT_MS);
        self.now >= from && (may_any_host_try || self.is_preferred_candidate(excluded))
    }

    pub(crate) fn head_read(&mut self, sent: MonoMs, reply: &StoreReply) {
        self.standby.is_reading = false;
        let StoreReply::Value { revision, value } = reply else {
            return;
        };
        if *revision == Revision(0) {
            self.acquire_new_shard();
            return;
        }
        let Ok(head) = Head::read(value) else {
            self.standby.next_read = self.now + DurationMs(HEAD_READ_INTERVAL_MS);
            self.log("head_unreadable", None, &self.name.clone());
            return;
        };
        match self.role {
            Role::Owner | Role::Recovering => self.owner_head_read(sent, *revision, &head),
            Role::Observer => self.observe_head(sent, *revision, head),
            Role::Stopped => {}
        }
    }

    /// Acquires a shard that has no head in the store.
    fn acquire_new_shard(&mut self) {
        self.standby.next_read = self.now + DurationMs(HEAD_READ_INTERVAL_MS);
        if self.role != Role::Observer || !self.is_preferred_candidate(None) {
            return;
        }
        let head = Head {
            term: 1,
            owner: Some(HostEntry::from(&self.host)),
            successor: self.choose_successor().as_ref().map(HostEntry::from),
            sequence: 1,
            writer: self.host.incarnation,
            ..Head::default()
        };
        self.send_takeover(Revision(0), head);
    }

    fn observe_head(&mut self, sent: MonoMs, revision: Revision, head: Head) {
        let known_term = self
            .observed_term
            .as_ref()
            .map_or(0, |observed| observed.term);
        if head.term < known_term {
            self.standby.next_read = self.now + DurationMs(HEAD_READ_INTERVAL_MS);
            return;
        }
        let is_resolved = self
            .standby
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.expected != revision);
        if is_resolved {
            self.standby.attempt = None;
        }
        self.release_terms_below(head.term);
        self.observed_term = Some(ObservedTerm {
            term: head.term,
            owner: head.owner_id(),
            successor: head.successor_id(),
        });
        if head.owner_id() == self.host {
            self.begin_ownership(sent, revision, head);
            return;
        }
        let is_successor = head.successor_id().as_ref() == Some(&self.host);
        let wait_ms = if is_successor {
            SUCCESSOR_READ_MS
        } else {
            OBSERVER_READ_MS
        };
        self.standby.next_read = self.now + DurationMs(wait_ms);
        if self.should_take_over() {
            self.take_over(revision, head);
        }
    }

    /// Releases all terms below `term`.
    pub(crate) fn release_terms_below(&mut self, term: u64) {
        self.standby.released = self.standby.released.max(term.saturating_sub(1));
        if self.standby.rank_1.is_some_and(|held| held < term) {
            self.end_rank_1();
        }
    }

    fn take_over(&mut self, revision: Revision, mut head: Head) {
        let term = head.term;
        // The old term is listed as unreleased even if this host is its successor: if the response to the write is
        // lost, this host may still act at rank 1 of the old term while a third host takes over the new one.
        if let Some(successor) = head.successor.take() {
            head.unreleased.push(UnreleasedEntry {
                term,
                successor: Some(successor),
            });
        }
        head.term += 1;
        head.sequence += 1;
        head.owner = Some(HostEntry::from(&self.host));
        head.successor = self.choose_successor().as_ref().map(HostEntry::from);
        head.writer = self.host.incarnation;
        self.send_takeover(revision, head);
    }

    fn send_takeover(&mut self, expected: Revision, head: Head) {
        if !self.budget.take_write(self.now) {
            return;
        }
        let value = prost::Message::encode_to_vec(&head).into();
        let attempt = self.standby.attempt.take();
        let may_have_applied = attempt.is_some_and(|attempt| attempt.may_have_applied);
        self.standby.attempt = Some(TakeoverAttempt {
            expected,
            head: Box::new(head),
            may_have_applied,
        });
        let key = self.head_key();
        self.call_store(
            Call::Takeover,
            StoreCall::CompareAndSwap {
                key,
                expected,
                value,
            },
        );
    }

    pub(crate) fn takeover_answered(&mut self, sent: MonoMs, reply: &StoreReply) {
        if self.role != Role::Observer {
            return;
        }
        let Some(attempt) = &mut self.standby.attempt else {
            return;
        };
        match reply {
            StoreReply::Written { revision } => {
                let head = (*attempt.head).clone();
                self.begin_ownership(sent, *revision, head);
                return;
            }
            StoreReply::Unavailable if !attempt.may_have_applied => self.standby.attempt = None,
            StoreReply::Lost => attempt.may_have_applied = true,
            _ => {}
        }
        self.standby.next_read = self.now;
        self.read_head();
    }

    /// Whether a takeover of `term` was sent and may still be applied.
    pub(crate) fn may_be_taking_over(&self, term: u64) -> bool {
        let attempt = self.standby.attempt.as_ref();
        attempt.is_some_and(|attempt| attempt.head.term > term)
    }

    /// Becomes the owner after the store has confirmed a head that names this host.
    fn begin_ownership(&mut self, sent: MonoMs, revision: Revision, head: Head) {
        let drift_ppm = self.config.clock_drift_ppm;
        let is_new = head.term == 1;
        self.end_rank_1();
        self.reset();
        self.release_terms_below(head.term);
        self.standby.attempt = None;
        self.standby.takeover_pending_since = None;
        self.role = Role::Recovering;
        self.observed_term = Some(ObservedTerm {
            term: head.term,
            owner: self.host.clone(),
            successor: head.successor_id(),
        });
        let listed = head.unreleased.iter().map(|entry| UnreleasedTerm {
            term: entry.term,
            successor: entry
                .successor
                .as_ref()
                .map(HostId::from)
                .unwrap_or_default(),
            released: None,
        });
        let unreleased: Vec<_> = listed
            .filter(|entry| entry.successor != self.host)
            .collect();
        self.owner_state = OwnerState {
            needs_purge: unreleased.len() < head.unreleased.len(),
            term: head.term,
            first_term: head.term,
            revision,
            sequence: head.sequence,
            successor: head.successor_id(),
            unreleased,
            snapshot: head.snapshot,
            tail: head.tail,
            previous_leases_end: if is_new {
                self.now
            } else {
                takeover_lease_expiry(self.now, drift_ppm)
            },
            owner_since: self.now,
            last_promise: self.now,
            last_confirmation: sent,
            ..OwnerState::default()
        };
        self.owner_state.authority.confirm(sent);
        self.log("term_begun", None, &self.host.name.clone());
        self.announce_term(&self.host.clone());
        self.begin_recovery();
        self.tick_ownership();
    }

    /// Announces the current term and its owner to all live hosts.
    pub(crate) fn announce_term(&mut self, owner: &HostId) {
        let term = self.owner_state.term;
        for to in self.peers.alive_hosts() {
            if to.name == self.host.name {
                continue;
            }
            self.actions.push(Action::AnnounceTerm {
                to,
                term,
                owner: owner.clone(),
            });
        }
    }

    /// Drops all state of the previous role.
    pub(crate) fn reset(&mut self) {
        self.ops.clear();
        self.store_ops.clear();
        self.standby.is_reading = false;
        self.durable = DurableState::default();
        self.recovery = Recovery::default();
        self.fleet.reset();
        self.scheduler = Scheduler::open(self.config.objective, self.config.seed);
        for (team, weight) in &self.quotas {
            self.scheduler.set_quota(team, *weight);
        }
        self.rack_pools.clear();
        self.retries.clear();
        self.earlier_succeeded.clear();
        self.failures.clear();
        self.suspects.clear();
        self.recent_starts.clear();
        self.accepting.clear();
        self.claiming.clear();
        self.last_counter = 0;
    }

    fn consider_rank_1(&mut self) {
        let Some(observed) = &self.observed_term else {
            return;
        };
        let term = observed.term;
        let is_due = self
            .standby
            .takeover_pending_since
            .is_some_and(|since| self.now >= since + DurationMs(RANK_1_AFTER_MS));
        let is_entitled = observed.successor.as_ref() == Some(&self.host)
            && self.standby.released < term
            && !self.standby.granted_promise.binds(self.now, term);
        if !is_due || !is_entitled || !self.is_store_unresponsive() || self.standby.rank_1.is_some()
        {
            return;
        }
        self.standby.rank_1 = Some(term);
        self.fleet.reset();
        self.log("rank_1_begun", None, &self.host.name.clone());
        self.tick_servers();
    }

    /// Stops commanding servers at rank 1 and releases the term.
    pub(crate) fn end_rank_1(&mut self) {
        let Some(term) = self.standby.rank_1.take() else {
            return;
        };
        self.standby.released = self.standby.released.max(term);
        self.fleet.reset();
        self.log("rank_1_ended", None, &self.host.name.clone());
    }

    /// Returns the epoch under which this host may command servers.
    #[must_use]
    pub(crate) fn command_epoch(&self) -> Option<Epoch> {
        match self.role {
            Role::Owner => Some(Epoch {
                term: self.owner_state.term,
                rank: 0,
            }),
            Role::Observer => self.standby.rank_1.map(|term| Epoch { term, rank: 1 }),
            Role::Recovering | Role::Stopped => None,
        }
    }
}
