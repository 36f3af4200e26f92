//! The path of one latency-critical request: local slot, forwarding, spilling, retries and the three outcomes.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use primrosestack_core::dispatch::RefusalReason;
use primrosestack_core::event::NotRun;
use primrosestack_core::ids::{HostId, RequestKey, stable_hash};
use primrosestack_core::membership::MemberView;
use primrosestack_core::peer_frame::{Body, RequestAnswer, RequestForward};
use primrosestack_core::retry::RetryBudget;
use primrosestack_core::time::MonoMs;
use smol_str::{SmolStr, format_smolstr};

use crate::answers::{answer_frame, kept, reply_of};
use crate::backend::{Backend, BackendOutcome, BackendRequest};
use crate::calls::Calls;
use crate::clock::Clock;
use crate::keys::{Claim, Keys};
use crate::members::Members;
use crate::peer::Peers;
use crate::slots::{Asker, Slot, Slots, Turn};

/// Added to the deadline while an answer from a peer is awaited, for its way back.
const ANSWER_GRACE: Duration = Duration::from_millis(50);
/// Pause between two looks at the requests in flight while the host stops.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Attempts per request, the first included.
const ATTEMPTS_MAX: u32 = 3;
/// Time after which a refused request may be repeated when nothing better is known.
const RETRY_AFTER_MS: u64 = 500;

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller; it may be forwarded once.
    Caller,
    /// Another entry host; it stays here.
    Peer,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identity, unique over all entry hosts.
    pub identity: SmolStr,
    /// Team that owns the service.
    pub team: SmolStr,
    /// Client on whose behalf it runs.
    pub client: SmolStr,
    /// Service.
    pub service: SmolStr,
    /// Operation.
    pub operation: SmolStr,
    /// Failure domains that run the service.
    pub failure_domains: Vec<SmolStr>,
    /// Time by which it must be answered.
    pub deadline: MonoMs,
    /// Whether it may be sent more than once.
    pub idempotent: bool,
    /// Idempotency key of a request that is not idempotent.
    pub key: Option<RequestKey>,
    /// Media type of the body.
    pub content_type: SmolStr,
    /// Body.
    pub body: Bytes,
    /// Where it came from.
    pub origin: Origin,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunCause {
    /// Every queue is full.
    Overloaded,
    /// It cannot be answered before its deadline.
    DeadlineTooNear,
    /// No backend server can be given work.
    NoServer,
    /// The home of its idempotency key cannot be reached or cannot record it.
    KeyUnrecorded,
    /// The backend server refused it before starting.
    Refused,
    /// No entry host of the service's failure domains can be reached.
    Unreachable,
}

impl NotRunCause {
    /// The reason as metrics count it.
    #[must_use]
    pub fn not_run(self) -> NotRun {
        match self {
            Self::KeyUnrecorded => NotRun::StoreUnavailable,
            Self::Unreachable | Self::NoServer => NotRun::NotOwner,
            Self::Overloaded | Self::DeadlineTooNear | Self::Refused => NotRun::Overloaded,
        }
    }

    /// Stable name for answers, logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::DeadlineTooNear => "deadline_too_near",
            Self::NoServer => "no_server",
            Self::KeyUnrecorded => "key_unrecorded",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
        }
    }
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It was certainly not run.
    NotRun {
        /// Cause.
        cause: NotRunCause,
        /// Time after which a repeat makes sense, in milliseconds.
        retry_after_ms: u64,
    },
    /// The whole answer.
    Answered {
        /// HTTP status of the backend server.
        status: u16,
        /// Media type of the body.
        content_type: SmolStr,
        /// Body.
        body: Bytes,
    },
    /// Its idempotency key was used before and the earlier outcome cannot be told; this request was not run.
    DuplicateKey,
    /// It may have run.
    Unknown,
}

impl Reply {
    /// The reply to a request that was sent again after `earlier`: "not run" holds for all attempts or for none.
    #[must_use]
    pub fn combine_with_earlier(self, earlier: &Self) -> Self {
        match (earlier, self) {
            (Self::Unknown, Self::NotRun { .. }) => Self::Unknown,
            (_, last) => last,
        }
    }
}

/// What the service needs.
pub struct RequestsOptions {
    /// This process.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: SmolStr,
    /// Clock of the process.
    pub clock: Clock,
    /// Slots of own servers.
    pub slots: Slots,
    /// Backend servers.
    pub backend: Arc<dyn Backend>,
    /// Links to peers.
    pub peers: Peers,
    /// Members.
    pub members: Members,
    /// Idempotency keys.
    pub keys: Keys,
    /// Breaks ties.
    pub seed: u64,
}

struct Inner {
    options: RequestsOptions,
    calls: Calls<RequestAnswer>,
    budget: Mutex<RetryBudget>,
    running: AtomicU64,
}

/// Counts a request as in flight until it is dropped.
struct Running<'a>(&'a AtomicU64);

impl<'a> Running<'a> {
    fn begin(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The running service; a clone is the same.
#[derive(Clone)]
pub struct Requests {
    inner: Arc<Inner>,
}

impl Requests {
    /// Opens the service.
    #[must_use]
    pub fn open(options: RequestsOptions) -> Self {
        Self {
            inner: Arc::new(Inner {
                options,
                calls: Calls::default(),
                budget: Mutex::new(RetryBudget::open()),
                running: AtomicU64::new(0),
            }),
        }
    }

    /// Runs a request and tells its outcome.
    pub async fn run(&self, call: &Call) -> Reply {
        let _running = Running::begin(&self.inner.running);
        self.with_budget(RetryBudget::earn);
        let mut reply = self.attempt(call, 1).await;
        for attempt in 2..=ATTEMPTS_MAX {
            if call.origin == Origin::Peer || !self.may_retry(call, &reply) {
                break;
            }
            reply = self
                .attempt(call, attempt)
                .await
                .combine_with_earlier(&reply);
        }
        reply
    }

    fn may_retry(&self, call: &Call, reply: &Reply) -> bool {
        let harmless = match reply {
            Reply::Answered { .. } | Reply::DuplicateKey => false,
            Reply::Unknown => call.idempotent,
            // A full queue is not relieved by asking again; another server may take what one refused.
            Reply::NotRun { cause, .. } => *cause == NotRunCause::Refused && call.key.is_none(),
        };
        let in_time = self.inner.options.clock.now() < call.deadline;
        harmless && in_time && self.with_budget(RetryBudget::spend)
    }

    fn with_budget<T>(&self, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let budget = &self.inner.budget;
        let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut budget)
    }

    async fn attempt(&self, call: &Call, attempt: u32) -> Reply {
        let options = &self.inner.options;
        let served_here = call.failure_domains.contains(&options.failure_domain);
        if call.origin == Origin::Peer {
            return self.local(call, attempt, true).await;
        }
        if !served_here {
            return self.elsewhere(call, attempt).await;
        }
        if options.slots.is_free() {
            return self.local(call, attempt, false).await;
        }
        if let Some(peer) = self.freest_peer(&options.failure_domain, call, attempt) {
            return self.forward(&peer, call, attempt).await;
        }
        if options.slots.has_servers() {
            return self.local(call, attempt, false).await;
        }
        // This host owns no server, so a queue of a neighbour is the best that is left.
        if let Some(peer) = self.any_peer(&options.failure_domain, call, attempt) {
            return self.forward(&peer, call, attempt).await;
        }
        self.elsewhere(call, attempt).await
    }

    /// Sends a request to another failure domain that runs the service.
    async fn elsewhere(&self, call: &Call, attempt: u32) -> Reply {
        let own = &self.inner.options.failure_domain;
        let others = call.failure_domains.iter().filter(|domain| *domain != own);
        for domain in others.clone() {
            if let Some(peer) = self.freest_peer(domain, call, attempt) {
                return self.forward(&peer, call, attempt).await;
            }
        }
        for domain in others {
            if let Some(peer) = self.any_peer(domain, call, attempt) {
                return self.forward(&peer, call, attempt).await;
            }
        }
        not_run(NotRunCause::Unreachable, RETRY_AFTER_MS)
    }

    /// Of two live members with free slots, drawn by hash, the one with more.
    fn freest_peer(&self, failure_domain: &str, call: &Call, attempt: u32) -> Option<HostId> {
        let view = self.inner.options.members.view();
        let live = view.live(failure_domain);
        let free: Vec<&MemberView> = live.filter(|member| member.load.free_slots > 0).collect();
        let draw = self.draw(call, attempt);
        let first = pick(&free, draw)?;
        let second = pick(&free, draw >> 32)?;
        let better = if first.load.free_slots >= second.load.free_slots {
            first
        } else {
            second
        };
        Some(better.host.clone())
    }

    fn any_peer(&self, failure_domain: &str, call: &Call, attempt: u32) -> Option<HostId> {
        let view = self.inner.options.members.view();
        let live: Vec<&MemberView> = view.live(failure_domain).collect();
        let member = pick(&live, self.draw(call, attempt))?;
        Some(member.host.clone())
    }

    fn draw(&self, call: &Call, attempt: u32) -> u64 {
        let seed = self.inner.options.seed ^ u64::from(attempt);
        stable_hash(call.identity.as_bytes(), seed)
    }

    async fn local(&self, call: &Call, attempt: u32, stays: bool) -> Reply {
        let options = &self.inner.options;
        let asker = Asker {
            team: call.team.clone(),
            client: call.client.clone(),
            kind: format_smolstr!("{}/{}/{}", call.team, call.service, call.operation),
            deadline: call.deadline,
            stays,
        };
        match options.slots.turn(asker).await {
            Turn::Slot(slot) => self.execute(call, attempt, slot).await,
            Turn::Spill(domain) => match self.freest_peer(&domain, call, attempt) {
                Some(peer) => self.forward(&peer, call, attempt).await,
                None => not_run(NotRunCause::Overloaded, RETRY_AFTER_MS),
            },
            Turn::Refused(refusal) => {
                let cause = match refusal.reason {
                    RefusalReason::QueueFull => NotRunCause::Overloaded,
                    RefusalReason::DeadlineTooNear => NotRunCause::DeadlineTooNear,
                    RefusalReason::NoServer => NotRunCause::NoServer,
                };
                not_run(cause, refusal.retry_after_ms)
            }
        }
    }

    async fn execute(&self, call: &Call, attempt: u32, slot: Slot) -> Reply {
        let options = &self.inner.options;
        let claimed = call.key.filter(|_| !call.idempotent);
        if let Some(key) = claimed {
            let claim = options.keys.claim(key);
            match claim.await {
                Claim::Fresh => {}
                Claim::Answered(answer) => {
                    slot.end(false);
                    return kept(&answer);
                }
                Claim::Unknown => {
                    slot.end(false);
                    return Reply::DuplicateKey;
                }
                Claim::NotRun => {
                    slot.end(false);
                    return not_run(NotRunCause::KeyUnrecorded, RETRY_AFTER_MS);
                }
            }
        }
        let reply = self.send(call, attempt, slot).await;
        if let (Some(key), Reply::Answered { .. }) = (claimed, &reply) {
            let answer = answer_frame(&call.identity, &reply);
            options.keys.keep(key, &answer);
        }
        reply
    }

    async fn send(&self, call: &Call, attempt: u32, slot: Slot) -> Reply {
        let options = &self.inner.options;
        let left = call.deadline.since(options.clock.now());
        let request = BackendRequest {
            address: slot.target.address,
            epoch: slot.target.epoch,
            identity: format_smolstr!("{}.{attempt}", call.identity),
            service: call.service.clone(),
            operation: call.operation.clone(),
            content_type: call.content_type.clone(),
            body: call.body.clone(),
            timeout: Duration::from_millis(left.0),
        };
        match options.backend.request(request).await {
            BackendOutcome::NotRun => {
                slot.end(true);
                not_run(NotRunCause::Refused, RETRY_AFTER_MS)
            }
            BackendOutcome::Answered(answer) => {
                slot.end(answer.status.is_server_error());
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

    async fn forward(&self, peer: &HostId, call: &Call, attempt: u32) -> Reply {
        let options = &self.inner.options;
        let left = call.deadline.since(options.clock.now());
        let waiting = self.inner.calls.open();
        let identity = format_smolstr!("{}.{attempt}#{}", call.identity, waiting.id());
        let frame = RequestForward {
            request: identity.to_string(),
            team: call.team.to_string(),
            client: call.client.to_string(),
            service: call.service.to_string(),
            operation: call.operation.to_string(),
            deadline_ms: u32::try_from(left.0).unwrap_or(u32::MAX),
            idempotent: call.idempotent,
            key: call.key.map(Into::into),
            content_type: call.content_type.to_string(),
            body: call.body.to_vec(),
        };
        if !options.peers.send(&peer.name, Body::RequestForward(frame)) {
            return not_run(NotRunCause::Unreachable, RETRY_AFTER_MS);
        }
        let limit = Duration::from_millis(left.0) + ANSWER_GRACE;
        let answer = tokio::select! {
            biased;
            answer = waiting.answer(limit) => answer,
            // An idempotent request is sent again while there is time; another one has no use for an early end unless
            // the answer can no longer come.
            () = options.members.wait_until_unreachable(peer, !call.idempotent) => None,
        };
        match answer {
            Some(answer) if answer.request == identity => reply_of(answer),
            _ => Reply::Unknown,
        }
    }

    /// Waits until no request is in flight, those of peers included.
    pub async fn drained(&self) {
        while self.inner.running.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Runs a request that another entry host sent on, and answers it.
    pub async fn serve_peer(&self, from: &HostId, forward: RequestForward) {
        let options = &self.inner.options;
        let now = options.clock.now();
        let view = options.members.view();
        let service = view.document(&forward.team);
        let service = service.and_then(|one| one.content.services.get(forward.service.as_str()));
        let failure_domains = service.map(|service| service.failure_domains.clone());
        let call = Call {
            identity: forward.request.as_str().into(),
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
        let _running = Running::begin(&self.inner.running);
        let reply = self.run(&call).await;
        let answer = answer_frame(&forward.request, &reply);
        // Without a link the sender times out and reports the outcome as unknown.
        let _ = options.peers.send(&from.name, Body::RequestAnswer(answer));
    }

    /// Takes the answer to a forwarded request.
    pub fn take_answer(&self, answer: RequestAnswer) {
        let number = answer.request.rsplit('#').next();
        if let Some(id) = number.and_then(|text| text.parse().ok()) {
            self.inner.calls.answer(id, answer);
        }
    }
}

fn pick<'a>(members: &[&'a MemberView], draw: u64) -> Option<&'a MemberView> {
    let count = u64::try_from(members.len()).ok()?;
    let at = usize::try_from(draw.checked_rem(count)?).ok()?;
    members.get(at).copied()
}

pub(crate) fn not_run(cause: NotRunCause, retry_after_ms: u64) -> Reply {
    Reply::NotRun {
        cause,
        retry_after_ms,
    }
}
