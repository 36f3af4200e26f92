//! Ends of a term, and the questions of a new owner to those before it.

use super::{Event, World};

const HANDOVER_RETRY_MS: u64 = 250;

impl World {
    /// Reads the term after a server refused a call because it had seen a later one.
    pub(super) fn verify_term(&mut self, id: usize) {
        let Some(owner) = &self.owners[id] else {
            return;
        };
        let (term, _) = self.store.term(owner.domain);
        if term.number != owner.term || !self.reaches_store(owner.host) {
            self.step_down(id, "fenced");
        }
    }

    /// Stops commanding a shard at once; a successor can still ask for the handover.
    pub(super) fn step_down(&mut self, id: usize, reason: &str) {
        let now = self.now_ms();
        let Some(owner) = self.owners[id].take() else {
            return;
        };
        let (host, domain, term) = (owner.host, owner.domain, owner.term);
        self.note(|| format!("host {host} leaves shard {domain}, term {term}: {reason}"));
        let handover = owner.shard.handover(now);
        self.hosts[host].save_handover(domain, handover);
    }

    pub(super) fn ask_predecessor(
        &mut self,
        id: usize,
        address: &str,
        term: u64,
        owned_for_ms: u64,
    ) {
        let now = self.now_ms();
        let Some(owner) = self.owners[id]
            .as_ref()
            .filter(|owner| !owner.shard.is_settled())
        else {
            return;
        };
        let (host, domain, own_term) = (owner.host, owner.domain, owner.term);
        let other = address.parse().unwrap_or(host);
        let is_answered = self.reaches_host(host, other);
        if !is_answered {
            let event = Event::AskPredecessor {
                owner: id,
                address: address.to_owned(),
                term,
                owned_for_ms,
            };
            self.events.after(HANDOVER_RETRY_MS, event);
            return;
        }
        let handover = self.yield_shard(other, domain, own_term, term);
        self.note(|| {
            let is_known = handover.is_some();
            format!("host {host} asks host {other} about term {term}: known {is_known}")
        });
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        match handover {
            Some(handover) => owner.shard.apply_handover(&handover, now),
            None => owner.shard.predecessor_ended(term, owned_for_ms, now),
        }
        self.plan_and_execute(id);
    }
}
