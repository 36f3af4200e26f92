//! Admission of latency-critical requests, and choice of a backend server or another failure domain for them.
//!
//! Slots are a hard limit. Waiting requests form a bounded fair queue. A request that cannot start before its deadline
//! is refused with a retry time.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use crate::fairness::{Accounts, ClientKey};
use crate::ids::ServerKey;
use crate::queue::{Class, FairQueue};
use crate::slots::{InFlight, Slots};
use crate::time::{DurationMs, MonoMs};

/// Assumed service time of a kind before its first answer.
const INITIAL_SERVICE_MS: u64 = 50;

/// Weight of one answer in the mean service time of a kind: 1/16.
const SERVICE_SHIFT: u32 = 4;

/// Lower bound of the retry time of a refused request.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Settings of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatcherConfig {
    /// Maximum number of waiting requests.
    pub queue_limit: usize,
    /// Time over which a reopened server gets back all its slots.
    pub slow_start_ms: u64,
    /// Breaks ties and draws the two candidates.
    pub seed: u64,
}

impl DispatcherConfig {
    /// Default settings: 256 waiting requests and a slow start of 2 s.
    #[must_use]
    pub fn with_seed(seed: u64) -> Self {
        Self {
            queue_limit: 256,
            slow_start_ms: 2_000,
            seed,
        }
    }
}

/// A request that needs a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Unique within the dispatcher.
    pub id: u64,
    pub team: SmolStr,
    /// Client on whose behalf it runs.
    pub client: SmolStr,
    /// Service and operation; service times are learned for each kind.
    pub kind: SmolStr,
    /// Time by which it must be answered.
    pub deadline: MonoMs,
    /// It came from another failure domain and is not spilled again.
    pub spilled: bool,
}

/// Why a request was refused. No byte of it reached a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue is full, and no client has at least two more requests in it than this one.
    QueueFull,
    /// The request cannot start before its deadline.
    DeadlineTooNear,
    /// No server is open.
    NoServer,
}

/// A refused request, which was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub id: u64,
    pub reason: RefusalReason,
    /// Time after which a retry makes sense.
    pub retry_after_ms: u64,
}

/// Result of [`Dispatcher::admit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A slot is taken; send the request to this server now.
    Send(ServerKey),
    /// The request waits; [`Dispatcher::next`] or [`Dispatcher::take_refused`] returns it later.
    Queued,
    /// Send the request to this failure domain.
    Spill(SmolStr),
    Refused(Refusal),
}

/// A waiting request that got a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatched {
    pub id: u64,
    /// Server on which a slot is taken.
    pub server: ServerKey,
}

/// State of the link to another failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// Measured round trip.
    pub round_trip_ms: u64,
    /// Price of one spilled request, as an equivalent waiting time.
    pub price_ms: u64,
    /// Expected wait in the other failure domain, as last reported.
    pub wait_ms: u64,
    /// Whether the other failure domain is reachable and has free slots.
    pub open: bool,
}

struct QueuedRequest {
    request: Request,
    kind: u32,
}

/// Admits requests and assigns them to the backend servers of one owner.
pub struct Dispatcher {
    config: DispatcherConfig,
    accounts: Accounts,
    queue: FairQueue<QueuedRequest>,
    /// Deadline, id and client of each waiting request.
    deadlines: BTreeSet<(MonoMs, u64, ClientKey)>,
    slots: Slots,
    kinds: BTreeMap<SmolStr, u32>,
    /// Mean service time by kind, in 1/1024 ms.
    service_ms_x1024: Vec<u64>,
    links: BTreeMap<SmolStr, Link>,
    refused: Vec<Refusal>,
    draws: u64,
}

impl Dispatcher {
    /// Creates a dispatcher without servers.
    #[must_use]
    pub fn open(config: DispatcherConfig) -> Self {
        Self {
            config,
            accounts: Accounts::open(config.seed),
            queue: FairQueue::default(),
            deadlines: BTreeSet::new(),
            slots: Slots::open(config.slow_start_ms, config.seed),
            kinds: BTreeMap::new(),
            service_ms_x1024: Vec::new(),
            links: BTreeMap::new(),
            refused: Vec::new(),
            draws: 0,
        }
    }

    /// Sets the quota of a team, the weight of its share.
    pub fn set_quota(&mut self, team: &str, weight: u32) {
        self.accounts.set_quota(team, weight);
    }

    /// Adds an open server with all its slots usable at once, or changes its number of slots.
    pub fn put_server(&mut self, now: MonoMs, key: ServerKey, slots: u32) {
        self.slots.put(now, key, slots);
    }

    /// Removes a server and its requests in flight.
    pub fn remove_server(&mut self, now: MonoMs, key: ServerKey) {
        for ended in self.slots.remove(now, key) {
            self.accounts.release(ended.client);
        }
    }

    /// Opens or closes a server for new requests. A reopened server gets its slots back over the slow start.
    pub fn open_server(&mut self, now: MonoMs, key: ServerKey, open: bool) {
        self.slots.set_open(now, key, open);
    }

    /// Sets the estimated slowdown of requests on a server; from then on, answers no longer change it.
    pub fn set_slowdown(&mut self, now: MonoMs, key: ServerKey, permille: u32) {
        self.slots.set_slowdown(now, key, permille);
    }

    /// Sets the state of the link to a failure domain.
    pub fn set_link(&mut self, failure_domain: &str, link: Link) {
        self.links.insert(SmolStr::new(failure_domain), link);
    }

    /// Number of requests in flight and of slots of the open servers.
    #[must_use]
    pub fn load(&self) -> (u64, u64) {
        (self.slots.in_flight_count(), self.slots.open_slots())
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Expected wait for a slot, as if all waiting requests were of this kind.
    #[must_use]
    pub fn expected_wait_ms(&self, kind: &str) -> u64 {
        let service_ms = match self.kinds.get(kind) {
            Some(&at) => self.service_ms_x1024[at as usize] / 1024,
            None => INITIAL_SERVICE_MS,
        };
        let ahead = self.queue.len() as u64 + 1;
        service_ms * ahead / self.slots.open_slots().max(1)
    }

    /// Decides whether a request is sent, queued, spilled or refused.
    pub fn admit(&mut self, now: MonoMs, request: Request) -> Admission {
        self.slots.advance(now);
        let kind = self.kind_index(&request.kind);
        if self.queue.is_empty()
            && let Some(server) = self.slots.choose(request.id)
        {
            let client = self.accounts.acquire(&request.team, &request.client);
            self.take_slot(now, server, request.id, kind, client);
            return Admission::Send(server);
        }
        let wait_ms = self.expected_wait_ms(&request.kind);
        if !request.spilled
            && let Some(domain) = self.spill_target(wait_ms)
        {
            return Admission::Spill(domain);
        }
        if self.slots.open_slots() == 0 {
            return Admission::Refused(Self::refusal(request.id, RefusalReason::NoServer, wait_ms));
        }
        if now + DurationMs(wait_ms) >= request.deadline {
            let reason = RefusalReason::DeadlineTooNear;
            return Admission::Refused(Self::refusal(request.id, reason, wait_ms));
        }
        self.enqueue(request, kind, wait_ms)
    }

    /// Assigns a slot to the next waiting request. To be called until it returns `None`.
    pub fn next(&mut self, now: MonoMs) -> Option<Dispatched> {
        self.refuse_expired(now);
        if self.queue.is_empty() {
            return None;
        }
        self.slots.advance(now);
        self.draws += 1;
        let server = self.slots.choose(self.draws)?;
        let accounts = &mut self.accounts;
        let (client, queued_request) = self.queue.take(accounts, Class::Any, 1, |_| true)?;
        let id = queued_request.request.id;
        self.deadlines
            .remove(&(queued_request.request.deadline, id, client));
        self.take_slot(now, server, id, queued_request.kind, client);
        Some(Dispatched { id, server })
    }

    /// Returns the waiting requests that were refused since the last call.
    pub fn take_refused(&mut self, now: MonoMs) -> Vec<Refusal> {
        self.refuse_expired(now);
        std::mem::take(&mut self.refused)
    }

    /// Earliest deadline of a waiting request, at which [`Dispatcher::take_refused`] should be called.
    #[must_use]
    pub fn next_deadline(&self) -> Option<MonoMs> {
        self.deadlines.first().map(|&(deadline, ..)| deadline)
    }

    /// Removes a waiting request whose caller is gone. Returns whether it was waiting.
    pub fn withdraw(&mut self, id: u64, deadline: MonoMs) -> bool {
        let from = (deadline, id, ClientKey::FIRST);
        let found = self.deadlines.range(from..).next().copied();
        match found {
            Some((at, found_id, client)) if at == deadline && found_id == id => {
                self.remove_queued(at, id, client);
                true
            }
            _ => false,
        }
    }

    /// Frees the slot of a request that took `service_ms`; `failed` if the server failed it.
    pub fn finished(
        &mut self,
        now: MonoMs,
        server: ServerKey,
        id: u64,
        service_ms: u64,
        failed: bool,
    ) {
        let Some(ended) = self.slots.finish(now, server, id, failed) else {
            return;
        };
        if !failed {
            self.learn(now, server, ended.kind, service_ms);
        }
        if service_ms > ended.charged_ms {
            let extra_ms = service_ms - ended.charged_ms;
            self.accounts.charge(ended.client, extra_ms);
        } else {
            let saved_ms = ended.charged_ms - service_ms;
            self.accounts.refund(ended.client, saved_ms);
        }
        self.accounts.release(ended.client);
    }

    fn learn(&mut self, now: MonoMs, server: ServerKey, kind: u32, service_ms: u64) {
        let mean = &mut self.service_ms_x1024[kind as usize];
        let sample = service_ms.saturating_mul(1024);
        let permille = (sample.saturating_mul(1_000) / (*mean).max(1)).clamp(500, 20_000);
        *mean = *mean - (*mean >> SERVICE_SHIFT) + (sample >> SERVICE_SHIFT);
        let permille = u32::try_from(permille).unwrap_or(20_000);
        self.slots.learn_slowdown(now, server, permille);
    }

    fn take_slot(&mut self, now: MonoMs, server: ServerKey, id: u64, kind: u32, client: ClientKey) {
        let charged_ms = self.service_ms_x1024[kind as usize] / 1024;
        self.accounts.advance_virtual_time(client);
        self.accounts.charge(client, charged_ms);
        let request = InFlight {
            id,
            kind,
            client,
            charged_ms,
        };
        self.slots.take(now, server, request);
    }

    fn kind_index(&mut self, kind: &SmolStr) -> u32 {
        if let Some(&at) = self.kinds.get(kind) {
            return at;
        }
        let at = u32::try_from(self.service_ms_x1024.len()).unwrap_or(u32::MAX);
        self.service_ms_x1024.push(INITIAL_SERVICE_MS * 1024);
        self.kinds.insert(kind.clone(), at);
        at
    }

    /// The open failure domain with the least wait, round trip and price, if the wait here exceeds the wait there plus
    /// twice the round trip plus the price.
    fn spill_target(&self, wait_ms: u64) -> Option<SmolStr> {
        let open = self.links.iter().filter(|(_, link)| link.open);
        let better = open.filter(|(_, link)| {
            let cost_ms = link.round_trip_ms * 2 + link.price_ms;
            wait_ms > cost_ms + link.wait_ms
        });
        let best = better.min_by_key(|(_, link)| link.wait_ms + link.round_trip_ms + link.price_ms);
        best.map(|(domain, _)| domain.clone())
    }

    fn enqueue(&mut self, request: Request, kind: u32, wait_ms: u64) -> Admission {
        let id = request.id;
        let client = self.accounts.acquire(&request.team, &request.client);
        if self.queue.len() >= self.config.queue_limit {
            let own = self.queue.backlog(&self.accounts, client);
            match self.queue.largest_backlog() {
                Some((longest, len)) if len > own + 1 => self.displace(longest, wait_ms),
                _ => {
                    self.accounts.release(client);
                    let reason = RefusalReason::QueueFull;
                    return Admission::Refused(Self::refusal(id, reason, wait_ms));
                }
            }
        }
        let order = request.deadline.0;
        self.deadlines.insert((request.deadline, id, client));
        let queued_request = QueuedRequest { request, kind };
        self.queue
            .push(&mut self.accounts, client, order, id, queued_request);
        Admission::Queued
    }

    /// Refuses the last waiting request of the client with the largest backlog.
    fn displace(&mut self, client: ClientKey, wait_ms: u64) {
        let Some(queued_request) = self.queue.remove_last(&mut self.accounts, client) else {
            return;
        };
        let id = queued_request.request.id;
        self.deadlines
            .remove(&(queued_request.request.deadline, id, client));
        self.accounts.release(client);
        let refusal = Self::refusal(id, RefusalReason::QueueFull, wait_ms);
        self.refused.push(refusal);
    }

    fn refuse_expired(&mut self, now: MonoMs) {
        while let Some(&(deadline, id, client)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            let wait_ms = self.remove_queued(deadline, id, client);
            let refusal = Self::refusal(id, RefusalReason::DeadlineTooNear, wait_ms);
            self.refused.push(refusal);
        }
    }

    fn remove_queued(&mut self, deadline: MonoMs, id: u64, client: ClientKey) -> u64 {
        self.deadlines.remove(&(deadline, id, client));
        let removed = self
            .queue
            .remove(&mut self.accounts, client, deadline.0, id);
        self.accounts.release(client);
        removed.map_or(0, |queued_request| {
            self.expected_wait_ms(&queued_request.request.kind)
        })
    }

    fn refusal(id: u64, reason: RefusalReason, wait_ms: u64) -> Refusal {
        Refusal {
            id,
            reason,
            retry_after_ms: wait_ms.max(MIN_RETRY_AFTER_MS),
        }
    }
}
