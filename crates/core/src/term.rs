//! The owner's side of a term: confirmation, promises, releases, change of successor, and handover.

use crate::ids::rendezvous;
use crate::journal::Head;
use crate::ownership::{CONFIRM_READ_MS, Role, Seen};
use crate::prelude::*;
use crate::shard::Shard;

/// Time between two heartbeats that ask for a promise or a release, in milliseconds.
pub const ASK_MS: u64 = 500;

/// Time for which a successor must be suspected before another one is designated, in milliseconds. Each change costs
/// a commit and a claim of every server.
const SUCCESSOR_LOST_MS: u64 = 2_000;

/// Time without a promise after which the term is raised although the successor is heard, in milliseconds. The
/// successor may hold rank 1 of the term without access to the store; the higher term makes it release the old one.
const MUTE_MS: u64 = 10_000;

/// Time that the preferred host must have been heard, and this host have owned, before the shard is handed to it, in
/// milliseconds. It keeps a host that restarts often from moving shards often.
const REBALANCE_MS: u64 = 60_000;

/// Time after which a stopping owner gives up the handover, in milliseconds.
const HANDOVER_MS: u64 = 8_000;

impl Shard {
    /// Periodic work of an owner.
    pub(crate) fn tick_owner(&mut self) {
        if self.own.stop_by.is_some_and(|by| self.now >= by) {
            self.log("handover_failed", None, &self.host.name.clone());
            self.stop();
            return;
        }
        if self.now >= self.own.confirmed + DurationMs(CONFIRM_READ_MS) || self.has_lost_commit() {
            self.read_head();
        }
        self.pump_recovery();
        if self.now >= self.own.next_ask {
            self.ask_promises();
        }
        self.purge_unreleased();
        self.consider_raise();
        self.consider_rebalance();
    }

    fn ask_promises(&mut self) {
        self.own.next_ask = self.now + DurationMs(ASK_MS);
        let term = self.own.term;
        let sent = self.now;
        if let Some(to) = self.own.successor.clone() {
            self.out.push(Action::RequestPromise { to, term, sent });
        }
        for entry in &self.own.unreleased {
            if entry.released.is_some() {
                continue;
            }
            self.out.push(Action::RequestRelease {
                to: entry.successor.clone(),
                term: entry.term,
            });
        }
    }

    /// Drops terms that can matter no more: every server has answered a higher epoch, or all leases have ended.
    fn purge_unreleased(&mut self) {
        if self.role != Role::Owner || self.own.unreleased.is_empty() {
            return;
        }
        let drift_ppm = self.config.clock_drift_ppm;
        let now = self.now;
        let lowest_acked = self.fleet.iter().filter_map(|(_, server)| {
            let is_relevant = server.journaled != crate::servers::Journaled::No && !server.lapsed;
            is_relevant.then_some(server.acked.map_or(0, |epoch| epoch.term))
        });
        let lowest_acked = lowest_acked.min().unwrap_or(self.own.term);
        let before = self.own.unreleased.len();
        self.own.unreleased.retain(|entry| {
            let has_ended = entry
                .released
                .is_some_and(|at| now >= crate::lease::release_lease_expiry(at, drift_ppm));
            !has_ended && entry.term >= lowest_acked
        });
        self.own.purge |= self.own.unreleased.len() < before;
    }

    /// Takes in a request of a term's owner for a promise.
    pub(crate) fn promise_asked(&mut self, owner: &HostId, term: u64, sent: MonoMs) {
        match self.role {
            Role::Recovering | Role::Owner => {
                if term > self.own.term {
                    self.read_head();
                }
                return;
            }
            Role::Observer | Role::Stopped => {}
        }
        let known = self.seen.as_ref().map_or(0, |seen| seen.term);
        if term > known {
            self.learn_term(term);
            self.seen = Some(Seen {
                term,
                owner: owner.clone(),
                successor: Some(self.host.clone()),
            });
            self.duty.next_read = self.now;
        }
        if let Some(seen) = &mut self.seen
            && seen.term == term
            && seen.successor.is_none()
        {
            seen.successor = Some(self.host.clone());
        }
        let is_refused = term < known
            || term <= self.duty.released
            || self.duty.rank_1 == Some(term)
            || self.may_be_taking(term);
        if is_refused {
            return;
        }
        self.duty
            .granted_promise
            .extend(self.now, term, self.config.clock_drift_ppm);
        let forever = self.role == Role::Stopped;
        if forever {
            self.duty.granted_promise.extend_forever(term);
        }
        self.out.push(Action::Promise {
            to: owner.clone(),
            term,
            sent,
            forever,
        });
    }

    /// Takes in a promise. While a commit that changes the term may have taken effect, a promise for the old term
    /// binds nobody who could take over the new one.
    pub(crate) fn promised(&mut self, from: &HostId, term: u64, sent: MonoMs, forever: bool) {
        let owns = matches!(self.role, Role::Recovering | Role::Owner);
        let counts = owns && term == self.own.term && self.own.successor.as_ref() == Some(from);
        if !counts || self.is_changing_term() {
            return;
        }
        self.own.promised = self.now;
        self.own.authority.promise(sent, forever);
    }

    /// Takes in a claim of a term that came from another host.
    pub(crate) fn term_seen(&mut self, owner: &HostId, term: u64) {
        match self.role {
            Role::Recovering | Role::Owner => {
                if term > self.own.term {
                    self.read_head();
                }
            }
            Role::Observer | Role::Stopped => {
                if self.seen.as_ref().is_some_and(|seen| seen.term >= term) {
                    return;
                }
                self.learn_term(term);
                self.seen = Some(Seen {
                    term,
                    owner: owner.clone(),
                    successor: None,
                });
                self.duty.next_read = self.now;
                self.tick_ownership();
            }
        }
    }

    /// Releases a term for the owner of a higher one.
    pub(crate) fn release_asked(&mut self, owner: &HostId, term: u64) {
        let owns = matches!(self.role, Role::Recovering | Role::Owner);
        if owns && term >= self.own.term {
            return;
        }
        // A takeover that was sent may still make this host owner of the term after `term`; the release says
        // nothing about that, only about promises and renewals at rank 1.
        self.duty.released = self.duty.released.max(term);
        if self.duty.rank_1.is_some_and(|held| held <= term) {
            self.end_rank_1();
        }
        self.out.push(Action::Release {
            to: owner.clone(),
            term,
        });
    }

    /// Takes in a release.
    pub(crate) fn released(&mut self, from: &HostId, term: u64) {
        let now = self.now;
        for entry in &mut self.own.unreleased {
            let is_meant = entry.term == term && entry.successor == *from;
            if is_meant && entry.released.is_none() {
                entry.released = Some(now);
            }
        }
    }

    /// Takes in a read of the head by its owner.
    pub(crate) fn own_head_read(&mut self, sent: MonoMs, revision: Revision, head: &Head) {
        if self.is_own_write(head) {
            self.commit_succeeded(sent, revision);
            return;
        }
        if head.term > self.own.term {
            self.superseded(head);
            return;
        }
        if head.term < self.own.term || head.owner_id() != self.host {
            self.log("head_reverted", None, &self.name.clone());
            return;
        }
        self.own.confirmed = self.own.confirmed.max(sent);
        self.own.authority.confirm(sent);
        if self.own.fenced_term > self.own.term {
            self.own.wanted_term = self.own.fenced_term + 1;
        }
        self.resend_commit(revision);
    }

    /// A server refused the present epoch.
    pub(crate) fn fenced_by(&mut self, highest: Epoch) {
        if self.role == Role::Owner {
            if highest.term > self.own.term {
                self.own.fenced_term = self.own.fenced_term.max(highest.term);
                self.read_head();
                return;
            }
            if highest.term == self.own.term {
                self.own.wanted_term = self.own.wanted_term.max(highest.term + 1);
            }
            return;
        }
        if self.duty.rank_1.is_some_and(|term| highest.term > term) {
            self.learn_term(highest.term);
            self.duty.next_read = self.now;
        }
    }

    /// Raises the own term when a server obeys rank 1 of it, or when another successor is needed.
    fn consider_raise(&mut self) {
        if self.role != Role::Owner || self.own.heir.is_some() || self.now < self.own.next_raise {
            return;
        }
        let is_lost = match &self.own.successor {
            Some(successor) => {
                let since = self.suspected_since(successor);
                let is_gone =
                    since.is_some_and(|since| self.now >= since + DurationMs(SUCCESSOR_LOST_MS));
                is_gone || self.is_successor_mute() || self.own.authority.is_promised_forever()
            }
            None => self.choose_successor().is_some(),
        };
        if is_lost && !self.budget.is_down() {
            self.own.wanted_term = self.own.wanted_term.max(self.own.term + 1);
        }
        if self.own.wanted_term > self.own.term {
            self.own.next_raise = self.now + DurationMs(SUCCESSOR_LOST_MS);
        }
    }

    /// Whether no promise has arrived for `MUTE_MS`.
    pub(crate) fn is_successor_mute(&self) -> bool {
        self.now >= self.own.promised + DurationMs(MUTE_MS)
    }

    /// Hands the shard to the host that it prefers, so that restarts do not pile all shards up on one host.
    fn consider_rebalance(&mut self) {
        let since = self.own.since + DurationMs(REBALANCE_MS);
        if self.role != Role::Owner || self.own.heir.is_some() || self.now < since {
            return;
        }
        let preferred = rendezvous(
            &self.name,
            self.config.hosts.iter().map(smol_str::SmolStr::as_str),
        );
        let Some(name) = preferred.filter(|name| *name != self.host.name) else {
            return;
        };
        let Some((host, heard)) = self.peers.alive(name) else {
            return;
        };
        if self.now >= heard + DurationMs(REBALANCE_MS) && !self.budget.is_down() {
            self.own.heir = Some(host);
        }
    }

    /// Steps down because another host owns a higher term.
    fn superseded(&mut self, head: &Head) {
        self.log("superseded", None, &head.owner_id().name);
        let seen = Seen {
            term: head.term,
            owner: head.owner_id(),
            successor: head.successor_id(),
        };
        self.step_down(seen);
    }

    pub(crate) fn step_down(&mut self, seen: Seen) {
        self.fail_waiting(NotRun::NotOwner);
        let is_stopping = self.own.stop_by.is_some();
        self.reset();
        self.own = crate::ownership::Own::default();
        self.role = if is_stopping {
            Role::Stopped
        } else {
            Role::Observer
        };
        self.learn_term(seen.term);
        self.seen = Some(seen);
        self.duty.next_read = self.now;
    }

    fn stop(&mut self) {
        self.own.stop_by = Some(self.now);
        let seen = Seen {
            term: self.own.term,
            owner: self.host.clone(),
            successor: self.own.successor.clone(),
        };
        self.step_down(seen);
    }

    /// Hands over, or promises never to take over, and stops.
    pub(crate) fn shut_down(&mut self) {
        self.shutting_down = true;
        match self.role {
            Role::Stopped => {}
            Role::Observer => self.stop_observing(),
            Role::Recovering | Role::Owner => {
                if self.own.stop_by.is_some() {
                    return;
                }
                self.own.stop_by = Some(self.now + DurationMs(HANDOVER_MS));
                self.own.heir = self.choose_heir();
                if self.own.heir.is_none() {
                    self.stop();
                }
            }
        }
    }

    fn choose_heir(&self) -> Option<HostId> {
        let successor = self.own.successor.clone();
        let living = successor.filter(|host| self.peers.is_alive(host));
        living.or_else(|| self.choose_successor())
    }

    fn stop_observing(&mut self) {
        self.end_rank_1();
        self.role = Role::Stopped;
        let Some(seen) = self.seen.clone() else {
            return;
        };
        let is_successor = seen.successor.as_ref() == Some(&self.host);
        if is_successor && seen.term > self.duty.released && !self.may_be_taking(seen.term) {
            self.duty.granted_promise.extend_forever(seen.term);
            self.out.push(Action::Promise {
                to: seen.owner,
                term: seen.term,
                sent: MonoMs(0),
                forever: true,
            });
        }
    }
}
