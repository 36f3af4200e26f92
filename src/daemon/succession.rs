//! Questions of a new owner to the owners before it.

use std::rc::Rc;
use std::time::Duration;

use primrosestack_fleet::handover::Handover;
use primrosestack_fleet::record::TermOwner;

use crate::daemon::clock::now_ms;
use crate::daemon::owner::OwnedShard;
use crate::daemon::peers::{self, PeerRequest};
use crate::logs::Line;

const HANDOVER_RETRY_DELAY_MS: u64 = 250;

impl OwnedShard {
    /// Owners that the next one may have to ask: once this one has settled, only itself.
    pub(super) fn unsettled_owners(&self) -> Vec<TermOwner> {
        let mut owners = self.owners.borrow_mut();
        if self.shard.borrow().is_settled() {
            let own_term = self.leadership.term;
            owners.retain(|owner| owner.term == own_term);
        }
        owners.clone()
    }

    /// Requests the handover of an earlier owner until it answers or the shard is settled. All tasks that earlier owners
    /// did not have in flight can then start at once.
    pub(super) async fn request_handover(
        self: Rc<Self>,
        predecessor: TermOwner,
        owned_for_ms: u64,
    ) {
        let request = PeerRequest {
            failure_domain: self.failure_domain.to_string(),
            successor_term: self.leadership.term,
            handover_term: predecessor.term,
            ..PeerRequest::default()
        };
        while !self.closed.get() && !self.shard.borrow().is_settled() {
            let own_address = self.node.settings.peer_address;
            let is_self = predecessor.address == own_address.to_string();
            let result = if is_self {
                Ok(peers::handle_request(&self.node, &request, own_address))
            } else {
                self.node.peers.call(&predecessor.address, &request).await
            };
            match result {
                Ok(reply) if reply.stepped_down => {
                    self.apply_handover(&predecessor, reply.handover, owned_for_ms);
                    return;
                }
                Ok(_) => {}
                Err(failure) => Line::info("predecessor_silent")
                    .with("shard", &self.failure_domain)
                    .with("era", self.leadership.term)
                    .with("predecessor", &predecessor.address)
                    .with("predecessor_era", predecessor.term)
                    .with_reason(failure)
                    .write(),
            }
            tokio::time::sleep(Duration::from_millis(HANDOVER_RETRY_DELAY_MS)).await;
        }
    }

    fn apply_handover(
        self: &Rc<Self>,
        predecessor: &TermOwner,
        handover: Option<Handover>,
        owned_for_ms: u64,
    ) {
        let now = now_ms();
        Line::info("predecessor_answered")
            .with("shard", &self.failure_domain)
            .with("era", self.leadership.term)
            .with("predecessor", &predecessor.address)
            .with("predecessor_era", predecessor.term)
            .with("handover", handover.is_some())
            .write();
        let mut shard = self.shard.borrow_mut();
        match handover {
            Some(handover) => shard.apply_handover(&handover, now),
            // The process was restarted.
            None => shard.predecessor_ended(predecessor.term, owned_for_ms, now),
        }
        drop(shard);
        self.plan_and_execute();
    }
}
