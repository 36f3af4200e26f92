//! Runs latency-critical requests: local slots, forwarding to peers, spilling to other failure domains, and retries.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use primrosestack_core::dispatch::RefusalReason;
use primrosestack_core::ids::{HostId, RequestKey, stable_hash};
use primrosestack_core::membership::MemberView;
use primrosestack_core::peer_frame::{Body, RequestAnswer, RequestForward};
use primrosestack_core::retry::RetryBudget;
use primrosestack_core::time::MonoMs;
use smol_str::{SmolStr, format_smolstr};

use crate::answers::{answer_frame, reply_from_frame, stored_reply};
use crate::backend::{Backend, BackendOutcome, BackendRequest};
use crate::calls::PendingCalls;
use crate::clock::Clock;
use crate::keys::{Claim, Keys};
use crate::members::Members;
use crate::peer::Peers;
pub use crate::reply::{NotRunCause, Reply};
use crate::slots::{Slot, SlotOutcome, SlotRequest, Slots};

/// Added to the deadline when waiting for a peer's answer, for its transit.
const ANSWER_TRANSIT_GRACE: Duration = Duration::from_millis(50);
/// How often a stopping host checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Attempts per request, including the first.
const ATTEMPTS_MAX: u32 = 3;
/// Suggested delay before a retry when there is no better estimate.
const DEFAULT_RETRY_AFTER_MS: u64 = 500;

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller; the request may be forwarded once.
    Caller,
    /// Another entry host; the request is not forwarded again.
    Peer,
}

/// A latency-critical request.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Unique across all entry hosts.
    pub request_id: SmolStr,
    pub team: SmolStr,
    /// Client on whose behalf it runs.
    pub client: SmolStr,
    pub service: SmolStr,
    pub operation: SmolStr,
    /// Failure domains that run the service.
    pub failure_domains: Vec<SmolStr>,
    /// Time by which it must be answered.
    pub deadline: MonoMs,
    /// Whether it may be sent more than once.
    pub idempotent: bool,
    /// Idempotency key of a request that is not idempotent.
    pub key: Option<RequestKey>,
    pub content_type: SmolStr,
    pub body: Bytes,
    pub origin: Origin,
}

pub struct RequestsOptions {
    pub host: HostId,
    pub failure_domain: SmolStr,
    pub clock: Clock,
    pub slots: Slots,
    pub backend: Arc<dyn Backend>,
    pub peers: Peers,
    pub members: Members,
    pub keys: Keys,
    /// Seed for selecting peers.
    pub seed: u64,
}

struct Inner {
    options: RequestsOptions,
    pending_calls: PendingCalls<RequestAnswer>,
    retry_budget: Mutex<RetryBudget>,
    in_flight: AtomicU64,
}

/// Counts a request as in flight until dropped.
struct InFlightGuard<'a>(&'a AtomicU64);

impl<'a> InFlightGuard<'a> {
    fn begin(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Request service; clones share the same state.
#[derive(Clone)]
pub struct Requests {
    inner: Arc<Inner>,
}

impl Requests {
    #[must_use]
    pub fn open(options: RequestsOptions) -> Self {
        Self {
            inner: Arc::new(Inner {
                options,
                pending_calls: PendingCalls::default(),
                retry_budget: Mutex::new(RetryBudget::full()),
                in_flight: AtomicU64::new(0),
            }),
        }
    }

    /// Runs a request, including retries.
    pub async fn run(&self, request: &ServiceRequest) -> Reply {
        let _guard = InFlightGuard::begin(&self.inner.in_flight);
        self.with_retry_budget(RetryBudget::record_request);
        let mut reply = self.run_attempt(request, 1).await;
        for attempt in 2..=ATTEMPTS_MAX {
            if request.origin == Origin::Peer || !self.may_retry(request, &reply) {
                break;
            }
            reply = self
                .run_attempt(request, attempt)
                .await
                .combine_with_earlier(&reply);
        }
        reply
    }

    fn may_retry(&self, request: &ServiceRequest, reply: &Reply) -> bool {
        let is_safe = match reply {
            Reply::Answered { .. } | Reply::DuplicateKey => false,
            Reply::Unknown => request.idempotent,
            // Retrying does not help against a full queue, but another server may accept what one refused.
            Reply::NotRun { cause, .. } => *cause == NotRunCause::Refused && request.key.is_none(),
        };
        let in_time = self.inner.options.clock.now() < request.deadline;
        is_safe && in_time && self.with_retry_budget(RetryBudget::try_spend)
    }

    fn with_retry_budget<T>(&self, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let retry_budget = &self.inner.retry_budget;
        let mut retry_budget = retry_budget.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut retry_budget)
    }

    async fn run_attempt(&self, request: &ServiceRequest, attempt: u32) -> Reply {
        let options = &self.inner.options;
        let runs_in_own_domain = request.failure_domains.contains(&options.failure_domain);
        if request.origin == Origin::Peer {
            return self.run_locally(request, attempt, true).await;
        }
        if !runs_in_own_domain {
            return self.forward_to_other_domain(request, attempt).await;
        }
        if options.slots.has_free_slot() {
            return self.run_locally(request, attempt, false).await;
        }
        if let Some(peer) = self.least_loaded_peer(&options.failure_domain, request, attempt) {
            return self.forward_to_peer(&peer, request, attempt).await;
        }
        if options.slots.has_servers() {
            return self.run_locally(request, attempt, false).await;
        }
        // This host owns no servers, so the request has to queue at a peer.
        if let Some(peer) = self.random_live_peer(&options.failure_domain, request, attempt) {
            return self.forward_to_peer(&peer, request, attempt).await;
        }
        self.forward_to_other_domain(request, attempt).await
    }

    /// Forwards a request to another failure domain that runs the service.
    async fn forward_to_other_domain(&self, request: &ServiceRequest, attempt: u32) -> Reply {
        let own = &self.inner.options.failure_domain;
        let others = request
            .failure_domains
            .iter()
            .filter(|domain| *domain != own);
        for domain in others.clone() {
            if let Some(peer) = self.least_loaded_peer(domain, request, attempt) {
                return self.forward_to_peer(&peer, request, attempt).await;
            }
        }
        for domain in others {
            if let Some(peer) = self.random_live_peer(domain, request, attempt) {
                return self.forward_to_peer(&peer, request, attempt).await;
            }
        }
        not_run(NotRunCause::Unreachable, DEFAULT_RETRY_AFTER_MS)
    }

    /// Power of two choices: draws two live members with free slots by hash and returns the one with more.
    fn least_loaded_peer(
        &self,
        failure_domain: &str,
        request: &ServiceRequest,
        attempt: u32,
    ) -> Option<HostId> {
        let view = self.inner.options.members.view();
        let live = view.live(failure_domain);
        let free: Vec<&MemberView> = live.filter(|member| member.load.free_slots > 0).collect();
        let selection_hash = self.selection_hash(request, attempt);
        let first = pick_member(&free, selection_hash)?;
        let second = pick_member(&free, selection_hash >> 32)?;
        let better = if first.load.free_slots >= second.load.free_slots {
            first
        } else {
            second
        };
        Some(better.host.clone())
    }

    fn random_live_peer(
        &self,
        failure_domain: &str,
        request: &ServiceRequest,
        attempt: u32,
    ) -> Option<HostId> {
        let view = self.inner.options.members.view();
        let live: Vec<&MemberView> = view.live(failure_domain).collect();
        let member = pick_member(&live, self.selection_hash(request, attempt))?;
        Some(member.host.clone())
    }

    fn selection_hash(&self, request: &ServiceRequest, attempt: u32) -> u64 {
        let seed = self.inner.options.seed ^ u64::from(attempt);
        stable_hash(request.request_id.as_bytes(), seed)
    }

    async fn run_locally(
        &self,
        request: &ServiceRequest,
        attempt: u32,
        must_stay_local: bool,
    ) -> Reply {
        let options = &self.inner.options;
        let slot_request = SlotRequest {
            team: request.team.clone(),
            client: request.client.clone(),
            kind: format_smolstr!("{}/{}/{}", request.team, request.service, request.operation),
            deadline: request.deadline,
            must_stay_local,
        };
        match options.slots.acquire(slot_request).await {
            SlotOutcome::Slot(slot) => self.run_in_slot(request, attempt, slot).await,
            SlotOutcome::Spill(domain) => match self.least_loaded_peer(&domain, request, attempt) {
                Some(peer) => self.forward_to_peer(&peer, request, attempt).await,
                None => not_run(NotRunCause::Overloaded, DEFAULT_RETRY_AFTER_MS),
            },
            SlotOutcome::Refused(refusal) => {
                let cause = match refusal.reason {
                    RefusalReason::QueueFull => NotRunCause::Overloaded,
                    RefusalReason::DeadlineTooNear => NotRunCause::DeadlineTooNear,
                    RefusalReason::NoServer => NotRunCause::NoServer,
                };
                not_run(cause, refusal.retry_after_ms)
            }
        }
    }

    async fn run_in_slot(&self, request: &ServiceRequest, attempt: u32, slot: Slot) -> Reply {
        let options = &self.inner.options;
        let claimed = request.key.filter(|_| !request.idempotent);
        if let Some(key) = claimed {
            let claim = options.keys.claim(key);
            match claim.await {
                Claim::Fresh => {}
                Claim::Answered(answer) => {
                    slot.release(false);
                    return stored_reply(&answer);
                }
                Claim::OutcomeUnknown => {
                    slot.release(false);
                    return Reply::DuplicateKey;
                }
                Claim::Unavailable => {
                    slot.release(false);
                    return not_run(NotRunCause::KeyUnrecorded, DEFAULT_RETRY_AFTER_MS);
                }
            }
        }
        let reply = self.send_to_backend(request, attempt, slot).await;
        if let (Some(key), Reply::Answered { .. }) = (claimed, &reply) {
            let answer = answer_frame(&request.request_id, &reply);
            options.keys.store_answer(key, &answer);
        }
        reply
    }

    async fn send_to_backend(&self, request: &ServiceRequest, attempt: u32, slot: Slot) -> Reply {
        let options = &self.inner.options;
        let remaining = request.deadline.since(options.clock.now());
        let backend_request = BackendRequest {
            address: slot.target.address,
            epoch: slot.target.epoch,
            request_id: format_smolstr!("{}.{attempt}", request.request_id),
            service: request.service.clone(),
            operation: request.operation.clone(),
            content_type: request.content_type.clone(),
            body: request.body.clone(),
            timeout: Duration::from_millis(remaining.0),
        };
        match options.backend.request(backend_request).await {
            BackendOutcome::NotRun => {
                slot.release(true);
                not_run(NotRunCause::Refused, DEFAULT_RETRY_AFTER_MS)
            }
            BackendOutcome::Answered(answer) => {
                slot.release(answer.status.is_server_error());
                let content_type = answer.headers.get("content-type");
                let content_type = content_type.and_then(|value| value.to_str().ok());
                Reply::Answered {
                    status: answer.status.as_u16(),
                    content_type: content_type.unwrap_or("application/octet-stream").into(),
                    body: answer.body,
                }
            }
            BackendOutcome::Unknown => {
                drop(slot);
                Reply::Unknown
            }
        }
    }

    async fn forward_to_peer(
        &self,
        peer: &HostId,
        request: &ServiceRequest,
        attempt: u32,
    ) -> Reply {
        let options = &self.inner.options;
        let remaining = request.deadline.since(options.clock.now());
        let pending_call = self.inner.pending_calls.register();
        let request_id = format_smolstr!("{}.{attempt}#{}", request.request_id, pending_call.id());
        let frame = RequestForward {
            request: request_id.to_string(),
            team: request.team.to_string(),
            client: request.client.to_string(),
            service: request.service.to_string(),
            operation: request.operation.to_string(),
            deadline_ms: u32::try_from(remaining.0).unwrap_or(u32::MAX),
            idempotent: request.idempotent,
            key: request.key.map(Into::into),
            content_type: request.content_type.to_string(),
            body: request.body.to_vec(),
        };
        if !options.peers.send(&peer.name, Body::RequestForward(frame)) {
            return not_run(NotRunCause::Unreachable, DEFAULT_RETRY_AFTER_MS);
        }
        let limit = Duration::from_millis(remaining.0) + ANSWER_TRANSIT_GRACE;
        let answer = tokio::select! {
            biased;
            answer = pending_call.wait(limit) => answer,
            // An idempotent request stops waiting when the peer is suspected, since it can be retried. Any other one
            // waits until the answer can no longer arrive.
            () = options.members.wait_until_unreachable(peer, !request.idempotent) => None,
        };
        match answer {
            Some(answer) if answer.request == request_id => reply_from_frame(answer),
            _ => Reply::Unknown,
        }
    }

    /// Waits until no request is in flight, including those of peers.
    pub async fn wait_until_drained(&self) {
        while self.inner.in_flight.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Runs a request that another entry host forwarded, and sends the answer.
    pub async fn serve_peer(&self, from: &HostId, forward: RequestForward) {
        let options = &self.inner.options;
        let now = options.clock.now();
        let view = options.members.view();
        let service = view.document(&forward.team);
        let service = service.and_then(|one| one.content.services.get(forward.service.as_str()));
        let failure_domains = service.map(|service| service.failure_domains.clone());
        let request = ServiceRequest {
            request_id: forward.request.as_str().into(),
            team: forward.team.into(),
            client: forward.client.into(),
            service: forward.service.into(),
            operation: forward.operation.into(),
            failure_domains: failure_domains.unwrap_or_default(),
            deadline: MonoMs(now.0 + u64::from(forward.deadline_ms)),
            idempotent: forward.idempotent,
            key: forward.key.map(Into::into),
            content_type: forward.content_type.into(),
            body: forward.body.into(),
            origin: Origin::Peer,
        };
        let _guard = InFlightGuard::begin(&self.inner.in_flight);
        let reply = self.run(&request).await;
        let answer = answer_frame(&forward.request, &reply);
        // If the answer cannot be sent, the peer times out and reports the outcome as unknown.
        let _ = options.peers.send(&from.name, Body::RequestAnswer(answer));
    }

    /// Completes a forwarded request with the peer's answer.
    pub fn complete_forward(&self, answer: RequestAnswer) {
        let number = answer.request.rsplit('#').next();
        if let Some(id) = number.and_then(|text| text.parse().ok()) {
            self.inner.pending_calls.complete(id, answer);
        }
    }
}

fn pick_member<'a>(members: &[&'a MemberView], selection_hash: u64) -> Option<&'a MemberView> {
    let count = u64::try_from(members.len()).ok()?;
    let index = usize::try_from(selection_hash.checked_rem(count)?).ok()?;
    members.get(index).copied()
}

pub(crate) fn not_run(cause: NotRunCause, retry_after_ms: u64) -> Reply {
    Reply::NotRun {
        cause,
        retry_after_ms,
    }
}
