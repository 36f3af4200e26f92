//! Term of an owner: confirmation by the store, promises, releases, change of the successor, and handover.

use crate::ids::rendezvous;
use crate::journal::Head;
use crate::ownership::{HEAD_READ_INTERVAL_MS, ObservedTerm, Role};
use crate::prelude::*;
use crate::shard::Shard;

/// Interval between heartbeats that request promises and releases, in milliseconds.
pub const HEARTBEAT_MS: u64 = 500;

/// Time for which a successor must be suspected before another one is designated, in milliseconds. Each change costs
/// a commit and a claim of every server.
const SUSPECTED_SUCCESSOR_MS: u64 = 2_000;

/// Time without a promise after which the term is raised even if the successor is alive, in milliseconds. A successor
/// without access to the store may hold rank 1 of the term; the higher term makes it release the old one.
const UNRESPONSIVE_SUCCESSOR_MS: u64 = 10_000;

/// Time for which the preferred host must have been alive, and this host the owner, before the shard is handed over, in
/// milliseconds. It limits how often a host that keeps restarting moves shards.
const REBALANCE_MS: u64 = 60_000;

/// Time-out of the handover by an owner that is shutting down, in milliseconds.
const HANDOVER_TIMEOUT_MS: u64 = 8_000;

impl Shard {
    /// Periodic work of an owner.
    pub(crate) fn tick_owner(&mut self) {
        if self
            .owner_state
            .stop_deadline
            .is_some_and(|by| self.now >= by)
        {
            self.log("handover_failed", None, &self.host.name.clone());
            self.stop();
            return;
        }
        if self.now >= self.owner_state.last_confirmation + DurationMs(HEAD_READ_INTERVAL_MS)
            || self.has_unresolved_commit()
        {
            self.read_head();
        }
        self.advance_recovery();
        if self.now >= self.owner_state.next_heartbeat {
            self.send_heartbeats();
        }
        self.purge_unreleased_terms();
        self.consider_term_raise();
        self.consider_rebalance();
    }

    fn send_heartbeats(&mut self) {
        self.owner_state.next_heartbeat = self.now + DurationMs(HEARTBEAT_MS);
        let term = self.owner_state.term;
        let sent = self.now;
        if let Some(to) = self.owner_state.successor.clone() {
            self.actions.push(Action::RequestPromise { to, term, sent });
        }
        for entry in &self.owner_state.unreleased {
            if entry.released.is_some() {
                continue;
            }
            self.actions.push(Action::RequestRelease {
                to: entry.successor.clone(),
                term: entry.term,
            });
        }
    }

    /// Drops obsolete unreleased terms: all servers have acknowledged a higher epoch, or all leases have expired.
    fn purge_unreleased_terms(&mut self) {
        if self.role != Role::Owner || self.owner_state.unreleased.is_empty() {
            return;
        }
        let drift_ppm = self.config.clock_drift_ppm;
        let now = self.now;
        let lowest_acked = self.fleet.iter().filter_map(|(_, server)| {
            let is_relevant =
                server.journaled != crate::servers::Journaled::No && !server.leases_expired;
            is_relevant.then_some(server.acked_epoch.map_or(0, |epoch| epoch.term))
        });
        let lowest_acked = lowest_acked.min().unwrap_or(self.owner_state.term);
        let before = self.owner_state.unreleased.len();
        self.owner_state.unreleased.retain(|entry| {
            let has_ended = entry
                .released
                .is_some_and(|at| now >= crate::lease::release_lease_expiry(at, drift_ppm));
            !has_ended && entry.term >= lowest_acked
        });
        self.owner_state.needs_purge |= self.owner_state.unreleased.len() < before;
    }

    /// Handles a promise request from a term's owner.
    pub(crate) fn promise_requested(&mut self, owner: &HostId, term: u64, sent: MonoMs) {
        match self.role {
            Role::Recovering | Role::Owner => {
                if term > self.owner_state.term {
                    self.read_head();
                }
                return;
            }
            Role::Observer | Role::Stopped => {}
        }
        let known = self
            .observed_term
            .as_ref()
            .map_or(0, |observed| observed.term);
        if term > known {
            self.release_terms_below(term);
            self.observed_term = Some(ObservedTerm {
                term,
                owner: owner.clone(),
                successor: Some(self.host.clone()),
            });
            self.standby.next_read = self.now;
        }
        if let Some(observed) = &mut self.observed_term
            && observed.term == term
            && observed.successor.is_none()
        {
            observed.successor = Some(self.host.clone());
        }
        let is_refused = term < known
            || term <= self.standby.released
            || self.standby.rank_1 == Some(term)
            || self.may_be_taking_over(term);
        if is_refused {
            return;
        }
        self.standby
            .granted_promise
            .extend(self.now, term, self.config.clock_drift_ppm);
        let forever = self.role == Role::Stopped;
        if forever {
            self.standby.granted_promise.extend_forever(term);
        }
        self.actions.push(Action::Promise {
            to: owner.clone(),
            term,
            sent,
            forever,
        });
    }

    /// Handles a promise. It is ignored while a commit that changes the term may have been applied, since a promise for
    /// the old term does not bind the successor of the new one.
    pub(crate) fn promise_received(
        &mut self,
        from: &HostId,
        term: u64,
        sent: MonoMs,
        forever: bool,
    ) {
        let owns = matches!(self.role, Role::Recovering | Role::Owner);
        let is_valid = owns
            && term == self.owner_state.term
            && self.owner_state.successor.as_ref() == Some(from);
        if !is_valid || self.is_changing_term() {
            return;
        }
        self.owner_state.last_promise = self.now;
        self.owner_state.authority.promise(sent, forever);
    }

    /// Handles the announcement of a term by another host.
    pub(crate) fn term_announced(&mut self, owner: &HostId, term: u64) {
        match self.role {
            Role::Recovering | Role::Owner => {
                if term > self.owner_state.term {
                    self.read_head();
                }
            }
            Role::Observer | Role::Stopped => {
                if self
                    .observed_term
                    .as_ref()
                    .is_some_and(|observed| observed.term >= term)
                {
                    return;
                }
                self.release_terms_below(term);
                self.observed_term = Some(ObservedTerm {
                    term,
                    owner: owner.clone(),
                    successor: None,
                });
                self.standby.next_read = self.now;
                self.tick_ownership();
            }
        }
    }

    /// Releases a term at the request of the owner of a higher one.
    pub(crate) fn release_requested(&mut self, owner: &HostId, term: u64) {
        let owns = matches!(self.role, Role::Recovering | Role::Owner);
        if owns && term >= self.owner_state.term {
            return;
        }
        // The release covers promises and renewals at rank 1 only. A takeover that was sent may still make this host
        // the owner of the term after `term`.
        self.standby.released = self.standby.released.max(term);
        if self.standby.rank_1.is_some_and(|held| held <= term) {
            self.end_rank_1();
        }
        self.actions.push(Action::Release {
            to: owner.clone(),
            term,
        });
    }

    /// Records that a successor has released an earlier term.
    pub(crate) fn release_received(&mut self, from: &HostId, term: u64) {
        let now = self.now;
        for entry in &mut self.owner_state.unreleased {
            let is_match = entry.term == term && entry.successor == *from;
            if is_match && entry.released.is_none() {
                entry.released = Some(now);
            }
        }
    }

    /// Handles the owner's read of the head.
    pub(crate) fn owner_head_read(&mut self, sent: MonoMs, revision: Revision, head: &Head) {
        if self.is_own_write(head) {
            self.commit_succeeded(sent, revision);
            return;
        }
        if head.term > self.owner_state.term {
            self.superseded(head);
            return;
        }
        if head.term < self.owner_state.term || head.owner_id() != self.host {
            self.log("head_reverted", None, &self.name.clone());
            return;
        }
        self.owner_state.last_confirmation = self.owner_state.last_confirmation.max(sent);
        self.owner_state.authority.confirm(sent);
        if self.owner_state.fenced_term > self.owner_state.term {
            self.owner_state.target_term = self.owner_state.fenced_term + 1;
        }
        self.resend_commit(revision);
    }

    /// Handles the refusal of the current epoch by a server that has seen a higher one.
    pub(crate) fn higher_epoch_reported(&mut self, highest: Epoch) {
        if self.role == Role::Owner {
            if highest.term > self.owner_state.term {
                self.owner_state.fenced_term = self.owner_state.fenced_term.max(highest.term);
                self.read_head();
                return;
            }
            if highest.term == self.owner_state.term {
                self.owner_state.target_term = self.owner_state.target_term.max(highest.term + 1);
            }
            return;
        }
        if self.standby.rank_1.is_some_and(|term| highest.term > term) {
            self.release_terms_below(highest.term);
            self.standby.next_read = self.now;
        }
    }

    /// Raises the term if a server follows the successor at rank 1 of it, or if another successor is needed.
    fn consider_term_raise(&mut self) {
        if self.role != Role::Owner
            || self.owner_state.handover_target.is_some()
            || self.now < self.owner_state.next_term_raise
        {
            return;
        }
        let needs_new_successor = match &self.owner_state.successor {
            Some(successor) => {
                let since = self.suspected_since(successor);
                let is_gone = since
                    .is_some_and(|since| self.now >= since + DurationMs(SUSPECTED_SUCCESSOR_MS));
                is_gone
                    || self.is_successor_unresponsive()
                    || self.owner_state.authority.is_promised_forever()
            }
            None => self.choose_successor().is_some(),
        };
        if needs_new_successor && !self.budget.is_down() {
            self.owner_state.target_term =
                self.owner_state.target_term.max(self.owner_state.term + 1);
        }
        if self.owner_state.target_term > self.owner_state.term {
            self.owner_state.next_term_raise = self.now + DurationMs(SUSPECTED_SUCCESSOR_MS);
        }
    }

    /// Whether no promise has arrived for `UNRESPONSIVE_SUCCESSOR_MS`.
    pub(crate) fn is_successor_unresponsive(&self) -> bool {
        self.now >= self.owner_state.last_promise + DurationMs(UNRESPONSIVE_SUCCESSOR_MS)
    }

    /// Hands the shard over to its preferred host, so that shards do not accumulate on one host after restarts.
    fn consider_rebalance(&mut self) {
        let since = self.owner_state.owner_since + DurationMs(REBALANCE_MS);
        if self.role != Role::Owner
            || self.owner_state.handover_target.is_some()
            || self.now < since
        {
            return;
        }
        let preferred = rendezvous(
            &self.name,
            self.config.hosts.iter().map(smol_str::SmolStr::as_str),
        );
        let Some(name) = preferred.filter(|name| *name != self.host.name) else {
            return;
        };
        let Some((host, alive_since)) = self.peers.alive_incarnation(name) else {
            return;
        };
        if self.now >= alive_since + DurationMs(REBALANCE_MS) && !self.budget.is_down() {
            self.owner_state.handover_target = Some(host);
        }
    }

    /// Steps down because another host owns a higher term.
    fn superseded(&mut self, head: &Head) {
        self.log("superseded", None, &head.owner_id().name);
        let observed = ObservedTerm {
            term: head.term,
            owner: head.owner_id(),
            successor: head.successor_id(),
        };
        self.step_down(observed);
    }

    pub(crate) fn step_down(&mut self, observed: ObservedTerm) {
        self.fail_uncommitted(NotRun::NotOwner);
        let is_stopping = self.owner_state.stop_deadline.is_some();
        self.reset();
        self.owner_state = crate::ownership::OwnerState::default();
        self.role = if is_stopping {
            Role::Stopped
        } else {
            Role::Observer
        };
        self.release_terms_below(observed.term);
        self.observed_term = Some(observed);
        self.standby.next_read = self.now;
    }

    fn stop(&mut self) {
        self.owner_state.stop_deadline = Some(self.now);
        let observed = ObservedTerm {
            term: self.owner_state.term,
            owner: self.host.clone(),
            successor: self.owner_state.successor.clone(),
        };
        self.step_down(observed);
    }

    /// Shuts down: an owner hands the shard over, and a successor promises never to take over.
    pub(crate) fn shut_down(&mut self) {
        self.shutting_down = true;
        match self.role {
            Role::Stopped => {}
            Role::Observer => self.stop_observing(),
            Role::Recovering | Role::Owner => {
                if self.owner_state.stop_deadline.is_some() {
                    return;
                }
                self.owner_state.stop_deadline = Some(self.now + DurationMs(HANDOVER_TIMEOUT_MS));
                self.owner_state.handover_target = self.choose_handover_target();
                if self.owner_state.handover_target.is_none() {
                    self.stop();
                }
            }
        }
    }

    fn choose_handover_target(&self) -> Option<HostId> {
        let successor = self.owner_state.successor.clone();
        let alive = successor.filter(|host| self.peers.is_alive(host));
        alive.or_else(|| self.choose_successor())
    }

    fn stop_observing(&mut self) {
        self.end_rank_1();
        self.role = Role::Stopped;
        let Some(observed) = self.observed_term.clone() else {
            return;
        };
        let is_successor = observed.successor.as_ref() == Some(&self.host);
        if is_successor
            && observed.term > self.standby.released
            && !self.may_be_taking_over(observed.term)
        {
            self.standby.granted_promise.extend_forever(observed.term);
            self.actions.push(Action::Promise {
                to: observed.owner,
                term: observed.term,
                sent: MonoMs(0),
                forever: true,
            });
        }
    }
}
