//! Idempotency keys of requests that are not idempotent: finding the home of a key and claiming it there.

use std::sync::Arc;
use std::time::Duration;

use primrosestack_core::event::{KeyReply, TokenReply};
use primrosestack_core::ids::{HostId, RequestKey, rendezvous, stable_hash};
use primrosestack_core::peer_frame::{
    Body, KeyAnswer, KeyClaim, KeyClaimed, KeyState, RequestAnswer,
};
use prost::Message;
use smol_str::{SmolStr, format_smolstr};

use crate::calls::PendingCalls;
use crate::members::Members;
use crate::peer::Peers;
use crate::shards::Shards;

/// A claim waits for one group commit and two links.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer that is kept.
const STORED_ANSWER_MAX_BYTES: usize = 4_096;
/// The receiver of a claim finds the shard by itself and may pass the claim on once.
const ANY_SHARD: u32 = u32::MAX;

/// What a claim found.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// First use; the request may be sent once.
    Fresh,
    /// Used before, and the answer was kept.
    Answered(Box<RequestAnswer>),
    /// Used before, and the outcome cannot be told.
    OutcomeUnknown,
    /// It cannot be recorded now; the request must not be sent.
    Unavailable,
}

struct Inner {
    failure_domain: SmolStr,
    /// All failure domains of the settings, sorted.
    failure_domains: Vec<SmolStr>,
    shards: Shards,
    members: Members,
    peers: Peers,
    pending_calls: PendingCalls<KeyClaimed>,
}

/// What the service needs.
pub struct KeysOptions {
    /// Own failure domain.
    pub failure_domain: SmolStr,
    /// All failure domains of the settings, sorted, the same at every entry host.
    pub failure_domains: Vec<SmolStr>,
    /// Shards.
    pub shards: Shards,
    /// Members.
    pub members: Members,
    /// Links to peers.
    pub peers: Peers,
}

/// The running service; a clone is the same.
#[derive(Clone)]
pub struct Keys {
    inner: Arc<Inner>,
}

/// Hash of a caller's idempotency key.
#[must_use]
pub fn request_key(team: &str, service: &str, key: &str) -> RequestKey {
    let text = format!("{team}\0{service}\0{key}");
    let high = u128::from(stable_hash(text.as_bytes(), 1));
    let low = u128::from(stable_hash(text.as_bytes(), 2));
    RequestKey(high << 64 | low)
}

/// The failure domain that keeps a key: the same for every entry host, and whatever a document says, since a key whose
/// home moved could be claimed twice.
fn home_domain(key: RequestKey, failure_domains: &[SmolStr]) -> Option<&str> {
    let subject = format_smolstr!("{:032x}", key.0);
    rendezvous(&subject, failure_domains.iter().map(SmolStr::as_str))
}

impl Keys {
    /// Opens the service.
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

    /// Claims a key at its home.
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
        self.claim_at(&member.host.name, ANY_SHARD, key).await
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
        self.claim_at(&owner, shard, key).await
    }

    async fn claim_at(&self, host: &str, shard: u32, key: RequestKey) -> Claim {
        let pending_call = self.inner.pending_calls.register();
        let claim = KeyClaim {
            call: pending_call.id(),
            shard,
            key: Some(key.into()),
        };
        if !self.inner.peers.send(host, Body::KeyClaim(claim)) {
            return Claim::Unavailable;
        }
        // Without an answer the key may be claimed, but the request is not sent, so it was not run.
        let Some(claimed) = pending_call.wait(CLAIM_TIMEOUT).await else {
            return Claim::Unavailable;
        };
        match claimed.state() {
            KeyState::Fresh => Claim::Fresh,
            KeyState::Answered => parse_stored_answer(&claimed.answer),
            KeyState::Unknown => Claim::OutcomeUnknown,
            KeyState::NotRun | KeyState::Unspecified => Claim::Unavailable,
        }
    }

    /// Keeps the answer of a claimed key at its home, if it is small enough.
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
        // If it is lost, a repeat is told that the outcome is unknown.
        let _ = self.inner.peers.send(host, Body::KeyAnswer(answer));
    }

    /// Answers a claim of another entry host.
    pub async fn serve_claim(&self, from: &HostId, claim: KeyClaim) {
        let found = match claim.key {
            None => Claim::Unavailable,
            Some(key) if claim.shard == ANY_SHARD => self.claim_in_domain(key.into()).await,
            Some(key) => {
                claim_from_reply(self.inner.shards.claim_key(claim.shard, key.into()).await)
            }
        };
        let mut claimed = KeyClaimed {
            call: claim.call,
            ..KeyClaimed::default()
        };
        match found {
            Claim::Fresh => claimed.set_state(KeyState::Fresh),
            Claim::OutcomeUnknown => claimed.set_state(KeyState::Unknown),
            Claim::Unavailable => claimed.set_state(KeyState::NotRun),
            Claim::Answered(answer) => {
                claimed.set_state(KeyState::Answered);
                claimed.answer = answer.encode_to_vec();
            }
        }
        let _ = self.inner.peers.send(&from.name, Body::KeyClaimed(claimed));
    }

    /// Takes an answer to keep from another entry host.
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

    /// Takes the answer to a claim.
    pub fn complete_claim(&self, claimed: KeyClaimed) {
        self.inner.pending_calls.complete(claimed.call, claimed);
    }
}

fn claim_from_reply(reply: TokenReply) -> Claim {
    match reply {
        TokenReply::Key(KeyReply::Fresh) => Claim::Fresh,
        TokenReply::Key(KeyReply::Answered(answer)) => parse_stored_answer(&answer),
        TokenReply::Key(KeyReply::Unknown) => Claim::OutcomeUnknown,
        _ => Claim::Unavailable,
    }
}

fn parse_stored_answer(bytes: &[u8]) -> Claim {
    match RequestAnswer::decode(bytes) {
        Ok(answer) => Claim::Answered(Box::new(answer)),
        Err(_) => Claim::OutcomeUnknown,
    }
}
