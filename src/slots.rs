//! Request slots of the backend servers that this host owns.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use primrosestack_core::dispatch::{
    Admission, Dispatcher, DispatcherConfig, Link, Refusal, RefusalReason, Request,
};
use primrosestack_core::ids::{Epoch, ServerKey};
use primrosestack_core::membership::Load;
use primrosestack_core::time::MonoMs;
use smol_str::SmolStr;
use tokio::sync::{oneshot, watch};

use crate::clock::Clock;

/// Backend servers abort requests at their deadline. A slot whose outcome is unknown is held for this long after it.
const SLOT_HOLD_AFTER_DEADLINE: Duration = Duration::from_secs(1);
/// Queued requests are refused at most this long after their deadline.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A backend server that can be given requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub name: SmolStr,
    pub address: SocketAddr,
    /// Epoch under which requests are sent.
    pub epoch: Epoch,
    /// Whether new requests may be sent.
    pub open: bool,
    /// Largest number of requests in execution.
    pub slots: u32,
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    pub team: SmolStr,
    pub client: SmolStr,
    /// Team, service and operation.
    pub kind: SmolStr,
    /// Time by which the request must be answered.
    pub deadline: MonoMs,
    /// Whether the request must not be spilled to another failure domain.
    pub must_stay_local: bool,
}

/// Result of a slot request.
pub enum SlotOutcome {
    /// A slot, taken until it is released.
    Slot(Slot),
    /// Another failure domain can serve the request sooner.
    Spill(SmolStr),
    /// The request was refused and is not run.
    Refused(Refusal),
}

struct Waiter {
    sender: oneshot::Sender<SlotOutcome>,
    deadline: MonoMs,
}

struct ServerEntry {
    target: Target,
    key: ServerKey,
    busy: u32,
}

struct State {
    dispatcher: Dispatcher,
    /// Sorted by name. A server keeps its key for the life of the process.
    servers: Vec<ServerEntry>,
    next_id: u64,
    waiters: BTreeMap<u64, Waiter>,
}

struct Inner {
    state: Mutex<State>,
    clock: Clock,
    load: watch::Sender<Load>,
}

/// Slots of the owned servers; clones share the same state.
#[derive(Clone)]
pub struct Slots {
    inner: Arc<Inner>,
}

/// A slot at a backend server. Dropping it without [`Slot::release`] means that the outcome is unknown: the server may
/// still be running the request, so the slot stays taken until the deadline has passed.
pub struct Slot {
    slots: Slots,
    id: u64,
    key: ServerKey,
    pub target: Target,
    started: MonoMs,
    deadline: MonoMs,
    released: bool,
}

impl Slots {
    /// Starts without servers. The receiver yields the load to announce to peers.
    #[must_use]
    pub fn spawn(clock: Clock, seed: u64) -> (Self, watch::Receiver<Load>) {
        let (load, load_receiver) = watch::channel(Load::default());
        let state = State {
            dispatcher: Dispatcher::open(DispatcherConfig::with_seed(seed)),
            servers: Vec::new(),
            next_id: 1,
            waiters: BTreeMap::new(),
        };
        let slots = Self {
            inner: Arc::new(Inner {
                state: Mutex::new(state),
                clock,
                load,
            }),
        };
        tokio::spawn(slots.clone().run_expiry());
        (slots, load_receiver)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the servers that can be given requests. Servers that are left out are closed but kept, so that requests
    /// in flight to them still count when they return.
    pub fn set_targets(&self, targets: &[Target]) {
        let now = self.inner.clock.now();
        self.state().set_targets(now, targets);
        self.dispatch_waiters();
    }

    /// Sets the state of the link to another failure domain.
    pub fn set_link(&self, failure_domain: &str, link: Link) {
        self.state().dispatcher.set_link(failure_domain, link);
    }

    /// Sets the fair-share weight of a team.
    pub fn set_team_weight(&self, team: &str, weight: u32) {
        self.state().dispatcher.set_quota(team, weight);
    }

    /// Whether a slot is free and no request is queued.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        let state = self.state();
        let (busy, open) = state.dispatcher.load();
        state.dispatcher.queued() == 0 && busy < open
    }

    /// Number of requests in execution at each server that has any, sorted by name.
    #[must_use]
    pub fn busy(&self) -> Vec<(SmolStr, u32)> {
        let state = self.state();
        let busy = state.servers.iter().filter(|entry| entry.busy > 0);
        busy.map(|entry| (entry.target.name.clone(), entry.busy))
            .collect()
    }

    /// Number of requests in execution at one server.
    #[must_use]
    pub fn busy_at(&self, server: &str) -> u32 {
        let state = self.state();
        let found = state
            .servers
            .binary_search_by(|entry| entry.target.name.as_str().cmp(server));
        found.map_or(0, |index| state.servers[index].busy)
    }

    /// Returns the load that is announced to peers.
    #[must_use]
    pub fn load(&self) -> Load {
        *self.inner.load.borrow()
    }

    /// Whether any open server has slots, free or busy.
    #[must_use]
    pub fn has_servers(&self) -> bool {
        self.state().dispatcher.load().1 > 0
    }

    /// Waits for a slot. Queued requests are served in fair order.
    pub async fn acquire(&self, slot_request: SlotRequest) -> SlotOutcome {
        let deadline = slot_request.deadline;
        let (id, receiver) = match self.try_acquire(slot_request) {
            Ok(outcome) => return outcome,
            Err(queued) => queued,
        };
        let guard = WithdrawGuard {
            slots: self,
            id,
            deadline,
        };
        let outcome = receiver.await;
        drop(guard);
        outcome.unwrap_or(SlotOutcome::Refused(Refusal {
            id,
            reason: RefusalReason::QueueFull,
            retry_after_ms: 1_000,
        }))
    }

    /// Returns the outcome if it is known at once, else the id and receiver of the queued request.
    fn try_acquire(
        &self,
        slot_request: SlotRequest,
    ) -> Result<SlotOutcome, (u64, oneshot::Receiver<SlotOutcome>)> {
        let now = self.inner.clock.now();
        let deadline = slot_request.deadline;
        let mut state = self.state();
        let id = state.next_id;
        state.next_id += 1;
        let request = Request {
            id,
            team: slot_request.team,
            client: slot_request.client,
            kind: slot_request.kind,
            deadline,
            // The dispatcher never spills a request that was already spilled.
            spilled: slot_request.must_stay_local,
        };
        let outcome = match state.dispatcher.admit(now, request) {
            Admission::Send(key) => self.grant(&mut state, id, key, deadline),
            Admission::Spill(failure_domain) => SlotOutcome::Spill(failure_domain),
            Admission::Refused(refusal) => SlotOutcome::Refused(refusal),
            Admission::Queued => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(id, Waiter { sender, deadline });
                drop(state);
                self.dispatch_waiters();
                return Err((id, receiver));
            }
        };
        self.publish_load(&state);
        Ok(outcome)
    }

    fn grant(&self, state: &mut State, id: u64, key: ServerKey, deadline: MonoMs) -> SlotOutcome {
        let Some(entry) = state.servers.iter_mut().find(|entry| entry.key == key) else {
            return SlotOutcome::Refused(Refusal {
                id,
                reason: RefusalReason::NoServer,
                retry_after_ms: 1_000,
            });
        };
        entry.busy += 1;
        SlotOutcome::Slot(Slot {
            slots: self.clone(),
            id,
            key,
            target: entry.target.clone(),
            started: self.inner.clock.now(),
            deadline,
            released: false,
        })
    }

    /// Assigns free slots to queued requests, notifies refused ones, and publishes the load.
    fn dispatch_waiters(&self) {
        let now = self.inner.clock.now();
        let mut undelivered = Vec::new();
        {
            let mut state = self.state();
            while let Some(dispatched) = state.dispatcher.next(now) {
                let Some(waiter) = state.waiters.remove(&dispatched.id) else {
                    let dispatcher = &mut state.dispatcher;
                    dispatcher.finished(now, dispatched.server, dispatched.id, 0, false);
                    continue;
                };
                let deadline = waiter.deadline;
                let outcome = self.grant(&mut state, dispatched.id, dispatched.server, deadline);
                undelivered.extend(waiter.sender.send(outcome).err());
            }
            for refusal in state.dispatcher.take_refused(now) {
                if let Some(waiter) = state.waiters.remove(&refusal.id) {
                    undelivered.extend(waiter.sender.send(SlotOutcome::Refused(refusal)).err());
                }
            }
            self.publish_load(&state);
        }
        // Released outside the lock, since `Slot::release` takes it.
        for outcome in undelivered {
            if let SlotOutcome::Slot(slot) = outcome {
                slot.release(false);
            }
        }
    }

    fn publish_load(&self, state: &State) {
        let (busy, open) = state.dispatcher.load();
        let bounded = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        self.inner.load.send_replace(Load {
            free_slots: bounded(open.saturating_sub(busy)),
            queued: bounded(state.dispatcher.queued() as u64),
            expected_wait_ms: bounded(state.dispatcher.expected_wait_ms("")),
        });
    }

    async fn run_expiry(self) {
        loop {
            tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
            if self.state().dispatcher.queued() > 0 {
                self.dispatch_waiters();
            }
        }
    }
}

impl State {
    fn set_targets(&mut self, now: MonoMs, targets: &[Target]) {
        for entry in &mut self.servers {
            let name = &entry.target.name;
            if targets.iter().any(|target| target.name == *name) {
                continue;
            }
            entry.target.open = false;
            self.dispatcher.open_server(now, entry.key, false);
        }
        for target in targets {
            let found = self
                .servers
                .binary_search_by(|entry| entry.target.name.cmp(&target.name));
            let key = match found {
                Ok(index) => {
                    self.servers[index].target = target.clone();
                    self.servers[index].key
                }
                Err(index) => {
                    let next = u32::try_from(self.servers.len()).unwrap_or(u32::MAX);
                    let entry = ServerEntry {
                        target: target.clone(),
                        key: ServerKey(next),
                        busy: 0,
                    };
                    self.servers.insert(index, entry);
                    ServerKey(next)
                }
            };
            self.dispatcher.put_server(now, key, target.slots);
            self.dispatcher.open_server(now, key, target.open);
        }
    }
}

impl Slot {
    /// Frees the slot: the complete answer arrived, or the server certainly did not run the request.
    pub fn release(mut self, failed: bool) {
        self.released = true;
        self.finish(failed);
    }

    fn finish(&self, failed: bool) {
        let now = self.slots.inner.clock.now();
        let service_ms = now.since(self.started).0;
        let mut state = self.slots.state();
        if let Some(entry) = state.servers.iter_mut().find(|entry| entry.key == self.key) {
            entry.busy = entry.busy.saturating_sub(1);
        }
        let dispatcher = &mut state.dispatcher;
        dispatcher.finished(now, self.key, self.id, service_ms, failed);
        drop(state);
        self.slots.dispatch_waiters();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.released {
            return;
        }
        let remaining_ms = self.deadline.since(self.slots.inner.clock.now()).0;
        let delayed = Self {
            slots: self.slots.clone(),
            id: self.id,
            key: self.key,
            target: self.target.clone(),
            started: self.started,
            deadline: self.deadline,
            released: true,
        };
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(remaining_ms) + SLOT_HOLD_AFTER_DEADLINE)
                .await;
            delayed.finish(true);
        });
    }
}

/// Removes a queued request when its caller goes away.
struct WithdrawGuard<'a> {
    slots: &'a Slots,
    id: u64,
    deadline: MonoMs,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.slots.state();
        if state.waiters.remove(&self.id).is_some() {
            state.dispatcher.withdraw(self.id, self.deadline);
        }
    }
}
