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

/// A backend server gives up a request at its deadline; its slot is counted as taken for this much longer.
const SLOT_GRACE: Duration = Duration::from_secs(1);
/// Waiting requests are refused at most this long after their deadline.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(20);

/// A backend server that may be given requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name.
    pub name: SmolStr,
    /// Address.
    pub address: SocketAddr,
    /// Epoch under which requests are sent.
    pub epoch: Epoch,
    /// Whether new requests may be sent.
    pub open: bool,
    /// Requests that may be in execution at one time.
    pub slots: u32,
}

/// Who asks for a slot.
#[derive(Clone, Debug)]
pub struct Asker {
    /// Team.
    pub team: SmolStr,
    /// Client.
    pub client: SmolStr,
    /// Service and operation.
    pub kind: SmolStr,
    /// Time by which the request must be answered.
    pub deadline: MonoMs,
    /// It must not leave this host.
    pub stays: bool,
}

/// What an asker gets.
pub enum Turn {
    /// A slot, taken until it is dropped.
    Slot(Slot),
    /// Another failure domain serves it sooner.
    Spill(SmolStr),
    /// It was not run.
    Refused(Refusal),
}

struct Waiter {
    sender: oneshot::Sender<Turn>,
    deadline: MonoMs,
}

struct Known {
    target: Target,
    key: ServerKey,
    busy: u32,
}

struct State {
    dispatcher: Dispatcher,
    /// Servers by name, with the key that each keeps for the life of the process.
    known: Vec<Known>,
    next_id: u64,
    waiting: BTreeMap<u64, Waiter>,
}

struct Inner {
    state: Mutex<State>,
    clock: Clock,
    load: watch::Sender<Load>,
}

/// The slots; a clone is the same.
#[derive(Clone)]
pub struct Slots {
    inner: Arc<Inner>,
}

/// One slot at one backend server. Dropping it means that the outcome is unknown: the server may still be at work, so
/// the slot counts as taken until the deadline has passed.
pub struct Slot {
    slots: Slots,
    id: u64,
    key: ServerKey,
    /// The server.
    pub target: Target,
    began: MonoMs,
    deadline: MonoMs,
    ended: bool,
}

impl Slots {
    /// Starts without servers. The receiver carries the load to announce to peers.
    #[must_use]
    pub fn spawn(clock: Clock, seed: u64) -> (Self, watch::Receiver<Load>) {
        let (load, announced) = watch::channel(Load::default());
        let state = State {
            dispatcher: Dispatcher::open(DispatcherConfig::with_seed(seed)),
            known: Vec::new(),
            next_id: 1,
            waiting: BTreeMap::new(),
        };
        let slots = Self {
            inner: Arc::new(Inner {
                state: Mutex::new(state),
                clock,
                load,
            }),
        };
        tokio::spawn(slots.clone().expire());
        (slots, announced)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the servers that may be given requests. Servers that are left out are closed, not forgotten, so that
    /// requests in flight to them still count when they come back.
    pub fn set_targets(&self, targets: &[Target]) {
        let now = self.inner.clock.now();
        self.state().set_targets(now, targets);
        self.settle();
    }

    /// Sets what is known of the link to another failure domain.
    pub fn set_link(&self, failure_domain: &str, link: Link) {
        self.state().dispatcher.set_link(failure_domain, link);
    }

    /// Sets the quota of a team.
    pub fn set_quota(&self, team: &str, weight: u32) {
        self.state().dispatcher.set_quota(team, weight);
    }

    /// Whether a slot is free now and nobody waits for it.
    #[must_use]
    pub fn is_free(&self) -> bool {
        let state = self.state();
        let (busy, open) = state.dispatcher.load();
        state.dispatcher.queued() == 0 && busy < open
    }

    /// Requests in execution at each server that has any, by name.
    #[must_use]
    pub fn busy(&self) -> Vec<(SmolStr, u32)> {
        let state = self.state();
        let busy = state.known.iter().filter(|known| known.busy > 0);
        busy.map(|known| (known.target.name.clone(), known.busy))
            .collect()
    }

    /// Requests in execution at one server.
    #[must_use]
    pub fn busy_at(&self, server: &str) -> u32 {
        let state = self.state();
        let found = state
            .known
            .binary_search_by(|known| known.target.name.as_str().cmp(server));
        found.map_or(0, |at| state.known[at].busy)
    }

    /// The load that is announced to peers.
    #[must_use]
    pub fn load(&self) -> Load {
        *self.inner.load.borrow()
    }

    /// Whether this host owns any server that is open.
    #[must_use]
    pub fn has_servers(&self) -> bool {
        self.state().dispatcher.load().1 > 0
    }

    /// Waits for a slot in fair order.
    pub async fn turn(&self, asker: Asker) -> Turn {
        let deadline = asker.deadline;
        let (id, waiting) = match self.offer(asker) {
            Ok(turn) => return turn,
            Err(queued) => queued,
        };
        let withdrawal = Withdrawal {
            slots: self,
            id,
            deadline,
        };
        let turn = waiting.await;
        drop(withdrawal);
        turn.unwrap_or(Turn::Refused(Refusal {
            id,
            reason: RefusalReason::QueueFull,
            retry_after_ms: 1_000,
        }))
    }

    /// Takes a turn at once, or the place in the queue.
    fn offer(&self, asker: Asker) -> Result<Turn, (u64, oneshot::Receiver<Turn>)> {
        let now = self.inner.clock.now();
        let deadline = asker.deadline;
        let mut state = self.state();
        let id = state.next_id;
        state.next_id += 1;
        let request = Request {
            id,
            team: asker.team,
            client: asker.client,
            kind: asker.kind,
            deadline,
            spilled: asker.stays,
        };
        let turn = match state.dispatcher.admit(now, request) {
            Admission::Send(key) => self.grant(&mut state, id, key, deadline),
            Admission::Spill(failure_domain) => Turn::Spill(failure_domain),
            Admission::Refused(refusal) => Turn::Refused(refusal),
            Admission::Queued => {
                let (sender, waiting) = oneshot::channel();
                state.waiting.insert(id, Waiter { sender, deadline });
                drop(state);
                self.settle();
                return Err((id, waiting));
            }
        };
        self.announce(&state);
        Ok(turn)
    }

    fn grant(&self, state: &mut State, id: u64, key: ServerKey, deadline: MonoMs) -> Turn {
        let Some(known) = state.known.iter_mut().find(|known| known.key == key) else {
            return Turn::Refused(Refusal {
                id,
                reason: RefusalReason::NoServer,
                retry_after_ms: 1_000,
            });
        };
        known.busy += 1;
        Turn::Slot(Slot {
            slots: self.clone(),
            id,
            key,
            target: known.target.clone(),
            began: self.inner.clock.now(),
            deadline,
            ended: false,
        })
    }

    /// Gives free slots to waiting requests, tells refused ones, and announces the load.
    fn settle(&self) {
        let now = self.inner.clock.now();
        let mut undelivered = Vec::new();
        {
            let mut state = self.state();
            while let Some(dispatched) = state.dispatcher.next(now) {
                let Some(waiter) = state.waiting.remove(&dispatched.id) else {
                    let dispatcher = &mut state.dispatcher;
                    dispatcher.finished(now, dispatched.server, dispatched.id, 0, false);
                    continue;
                };
                let deadline = waiter.deadline;
                let turn = self.grant(&mut state, dispatched.id, dispatched.server, deadline);
                undelivered.extend(waiter.sender.send(turn).err());
            }
            for refusal in state.dispatcher.take_refused(now) {
                if let Some(waiter) = state.waiting.remove(&refusal.id) {
                    undelivered.extend(waiter.sender.send(Turn::Refused(refusal)).err());
                }
            }
            self.announce(&state);
        }
        // Ended outside the lock, since ending a slot takes it.
        for turn in undelivered {
            if let Turn::Slot(slot) = turn {
                slot.end(false);
            }
        }
    }

    fn announce(&self, state: &State) {
        let (busy, open) = state.dispatcher.load();
        let bounded = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        self.inner.load.send_replace(Load {
            free_slots: bounded(open.saturating_sub(busy)),
            queued: bounded(state.dispatcher.queued() as u64),
            expected_wait_ms: bounded(state.dispatcher.expected_wait_ms("")),
        });
    }

    async fn expire(self) {
        loop {
            tokio::time::sleep(EXPIRE_INTERVAL).await;
            if self.state().dispatcher.queued() > 0 {
                self.settle();
            }
        }
    }
}

impl State {
    fn set_targets(&mut self, now: MonoMs, targets: &[Target]) {
        for known in &mut self.known {
            let name = &known.target.name;
            if targets.iter().any(|target| target.name == *name) {
                continue;
            }
            known.target.open = false;
            self.dispatcher.open_server(now, known.key, false);
        }
        for target in targets {
            let found = self
                .known
                .binary_search_by(|known| known.target.name.cmp(&target.name));
            let key = match found {
                Ok(at) => {
                    self.known[at].target = target.clone();
                    self.known[at].key
                }
                Err(at) => {
                    let next = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
                    let known = Known {
                        target: target.clone(),
                        key: ServerKey(next),
                        busy: 0,
                    };
                    self.known.insert(at, known);
                    ServerKey(next)
                }
            };
            self.dispatcher.put_server(now, key, target.slots);
            self.dispatcher.open_server(now, key, target.open);
        }
    }
}

impl Slot {
    /// Frees the slot: the whole answer arrived, or the server certainly did not run the request.
    pub fn end(mut self, failed: bool) {
        self.ended = true;
        self.finish(failed);
    }

    fn finish(&self, failed: bool) {
        let now = self.slots.inner.clock.now();
        let service_ms = now.since(self.began).0;
        let mut state = self.slots.state();
        if let Some(known) = state.known.iter_mut().find(|known| known.key == self.key) {
            known.busy = known.busy.saturating_sub(1);
        }
        let dispatcher = &mut state.dispatcher;
        dispatcher.finished(now, self.key, self.id, service_ms, failed);
        drop(state);
        self.slots.settle();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let left_ms = self.deadline.since(self.slots.inner.clock.now()).0;
        let later = Self {
            slots: self.slots.clone(),
            id: self.id,
            key: self.key,
            target: self.target.clone(),
            began: self.began,
            deadline: self.deadline,
            ended: true,
        };
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(left_ms) + SLOT_GRACE).await;
            later.finish(true);
        });
    }
}

/// Takes a waiting request out of the queue when its caller goes away.
struct Withdrawal<'a> {
    slots: &'a Slots,
    id: u64,
    deadline: MonoMs,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        let mut state = self.slots.state();
        if state.waiting.remove(&self.id).is_some() {
            state.dispatcher.withdraw(self.id, self.deadline);
        }
    }
}
