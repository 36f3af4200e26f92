//! Idempotency keys of requests that are not idempotent: locates the home shard of a key and claims the key there.

use std::sync::Arc;
use std::time::Duration;

use primrosestack_core::event::{CallerReply, KeyReply};
use primrosestack_core::ids::{HostId, RequestKey, rendezvous, stable_hash};
use primrosestack_core::peer_frame::{
    Body, KeyAnswer, KeyClaim, KeyClaimReply, KeyState, RequestAnswer,
};
use prost::Message;
use smol_str::{SmolStr, format_smolstr};

use crate::calls::PendingCalls;
use crate::members::Members;
use crate::peer::Peers;
use crate::shards::Shards;

/// A claim takes one group commit and two hops between hosts.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Larger answers are not stored.
const STORED_ANSWER_MAX_BYTES: usize = 4_096;
/// Lets the receiver of a claim determine the shard; it may forward the claim once.
const ANY_SHARD: u32 = u32::MAX;

/// Result of claiming a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// First use of the key; the request may be sent once.
    Fresh,
    /// The key was used before, and the answer is stored.
    Answered(Box<RequestAnswer>),
    /// The key was used before, and the outcome of that request is unknown.
    OutcomeUnknown,
    /// The key cannot be recorded now; the request must not be sent.
    Unavailable,
}

struct Inner {
    failure_domain: SmolStr,
    /// All configured failure domains, sorted.
    failure_domains: Vec<SmolStr>,
    shards: Shards,
    members: Members,
    peers: Peers,
    pending_calls: PendingCalls<KeyClaimReply>,
}

pub struct KeysOptions {
    pub failure_domain: SmolStr,
    /// All configured failure domains, sorted; the same at every entry host.
    pub failure_domains: Vec<SmolStr>,
    pub shards: Shards,
    pub members: Members,
    pub peers: Peers,
}

/// Idempotency key service; clones share the same state.
#[derive(Clone)]
pub struct Keys {
    inner: Arc<Inner>,
}

/// Hashes a caller's idempotency key, scoped to the team and service.
#[must_use]
pub fn request_key(team: &str, service: &str, key: &str) -> RequestKey {
    let text = format!("{team}\0{service}\0{key}");
    let high = u128::from(stable_hash(text.as_bytes(), 1));
    let low = u128::from(stable_hash(text.as_bytes(), 2));
    RequestKey(high << 64 | low)
}

/// Returns the failure domain that stores a key. It depends on the settings only, not on documents, since a key whose
/// home moved could be claimed twice.
fn home_domain(key: RequestKey, failure_domains: &[SmolStr]) -> Option<&str> {
    let subject = format_smolstr!("{:032x}", key.0);
    rendezvous(&subject, failure_domains.iter().map(SmolStr::as_str))
}

impl Keys {
    #[must_use]
    pub fn open(options: KeysOptions) -> Self {
        let KeysOptions {
            failure_domain,
            failure_domains,
            shards,
            members,
            peers,
        } = options;
        Self {
            inner: Arc::new(Inner {
                failure_domain,
                failure_domains,
                shards,
                members,
                peers,
                pending_calls: PendingCalls::default(),
            }),
        }
    }

    /// Claims a key at its home shard.
    pub async fn claim(&self, key: RequestKey) -> Claim {
        let Some(domain) = home_domain(key, &self.inner.failure_domains) else {
            return Claim::Unavailable;
        };
        if domain == self.inner.failure_domain {
            return self.claim_in_domain(key).await;
        }
        let view = self.inner.members.view();
        let Some(member) = view.live(domain).next() else {
            return Claim::Unavailable;
        };
        self.claim_at_host(&member.host.name, ANY_SHARD, key).await
    }

    async fn claim_in_domain(&self, key: RequestKey) -> Claim {
        let shards = &self.inner.shards;
        let shard = shards.shard_of_key(key);
        if shards.owns(shard) {
            return claim_from_reply(shards.claim_key(shard, key).await);
        }
        let Some(owner) = shards.owner(shard) else {
            return Claim::Unavailable;
        };
        self.claim_at_host(&owner, shard, key).await
    }

    async fn claim_at_host(&self, host: &str, shard: u32, key: RequestKey) -> Claim {
        let pending_call = self.inner.pending_calls.register();
        let claim = KeyClaim {
            call: pending_call.id(),
            shard,
            key: Some(key.into()),
        };
        if !self.inner.peers.send(host, Body::KeyClaim(claim)) {
            return Claim::Unavailable;
        }
        // The key may have been claimed without a reply, but the request is not sent and thus not run.
        let Some(reply) = pending_call.wait(CLAIM_TIMEOUT).await else {
            return Claim::Unavailable;
        };
        match reply.state() {
            KeyState::Fresh => Claim::Fresh,
            KeyState::Answered => parse_stored_answer(&reply.answer),
            KeyState::Unknown => Claim::OutcomeUnknown,
            KeyState::NotRun | KeyState::Unspecified => Claim::Unavailable,
        }
    }

    /// Stores the answer of a claimed key at its home shard, unless the answer is too large.
    pub fn store_answer(&self, key: RequestKey, answer: &RequestAnswer) {
        if answer.body.len() > STORED_ANSWER_MAX_BYTES {
            return;
        }
        let Some(domain) = home_domain(key, &self.inner.failure_domains) else {
            return;
        };
        let bytes = answer.encode_to_vec();
        if domain == self.inner.failure_domain {
            self.store_in_domain(key, bytes);
            return;
        }
        let view = self.inner.members.view();
        if let Some(member) = view.live(domain).next() {
            self.send_answer(&member.host.name, ANY_SHARD, key, bytes);
        }
    }

    fn store_in_domain(&self, key: RequestKey, bytes: Vec<u8>) {
        let shards = &self.inner.shards;
        let shard = shards.shard_of_key(key);
        if shards.owns(shard) {
            shards.store_key_answer(shard, key, bytes.into());
        } else if let Some(owner) = shards.owner(shard) {
            self.send_answer(&owner, shard, key, bytes);
        }
    }

    fn send_answer(&self, host: &str, shard: u32, key: RequestKey, answer: Vec<u8>) {
        let answer = KeyAnswer {
            shard,
            key: Some(key.into()),
            answer,
        };
        // If the frame is lost, a repeated request gets an unknown outcome.
        let _ = self.inner.peers.send(host, Body::KeyAnswer(answer));
    }

    /// Handles a claim from another entry host.
    pub async fn serve_claim(&self, from: &HostId, claim: KeyClaim) {
        let result = match claim.key {
            None => Claim::Unavailable,
            Some(key) if claim.shard == ANY_SHARD => self.claim_in_domain(key.into()).await,
            Some(key) => {
                claim_from_reply(self.inner.shards.claim_key(claim.shard, key.into()).await)
            }
        };
        let mut reply = KeyClaimReply {
            call: claim.call,
            ..KeyClaimReply::default()
        };
        match result {
            Claim::Fresh => reply.set_state(KeyState::Fresh),
            Claim::OutcomeUnknown => reply.set_state(KeyState::Unknown),
            Claim::Unavailable => reply.set_state(KeyState::NotRun),
            Claim::Answered(answer) => {
                reply.set_state(KeyState::Answered);
                reply.answer = answer.encode_to_vec();
            }
        }
        let _ = self
            .inner
            .peers
            .send(&from.name, Body::KeyClaimReply(reply));
    }

    /// Stores the answer of a claimed key for another entry host.
    pub fn store_peer_answer(&self, answer: KeyAnswer) {
        let Some(key) = answer.key else {
            return;
        };
        if answer.shard == ANY_SHARD {
            self.store_in_domain(key.into(), answer.answer);
        } else {
            let shards = &self.inner.shards;
            shards.store_key_answer(answer.shard, key.into(), answer.answer.into());
        }
    }

    /// Completes a claim at another entry host.
    pub fn complete_claim(&self, reply: KeyClaimReply) {
        self.inner.pending_calls.complete(reply.call, reply);
    }
}

fn claim_from_reply(reply: CallerReply) -> Claim {
    match reply {
        CallerReply::Key(KeyReply::Fresh) => Claim::Fresh,
        CallerReply::Key(KeyReply::Answered(answer)) => parse_stored_answer(&answer),
        CallerReply::Key(KeyReply::Unknown) => Claim::OutcomeUnknown,
        _ => Claim::Unavailable,
    }
}

fn parse_stored_answer(bytes: &[u8]) -> Claim {
    match RequestAnswer::decode(bytes) {
        Ok(answer) => Claim::Answered(Box::new(answer)),
        Err(_) => Claim::OutcomeUnknown,
    }
}
