//! Request slots of backend servers, and the choice of a server by the power of two choices.

use std::collections::BTreeSet;

use crate::fairness::ClientKey;
use crate::ids::{ServerKey, stable_hash};
use crate::time::{DurationMs, MonoMs};

/// Weight of one answer in the slowdown of a server: 1/32. The service times of undisturbed requests differ by more
/// than the slowdowns that matter.
const SLOWDOWN_SHIFT: u32 = 5;

/// Slowdowns at which a server stops and starts to count as slowed. Slowed servers get requests only when no other
/// server has a free slot.
const SLOWED_EXIT_PERMILLE: u32 = 1_080;
const SLOWED_ENTER_PERMILLE: u32 = 1_120;

/// Consecutive failures after which a server gets only probes. A server that fails at once looks free and fast, so it
/// would attract most requests.
const FAILURES_BEFORE_PROBING: u32 = 5;

/// Interval between two probes of a failing server.
const PROBE_INTERVAL_MS: u64 = 5_000;

/// Slowdown of a server without reports.
const NO_SLOWDOWN_PERMILLE: u32 = 1_000;

pub(crate) struct InFlight {
    pub(crate) id: u64,
    pub(crate) kind: u32,
    pub(crate) client: ClientKey,
    /// Service time charged to the client at the start.
    pub(crate) charged_ms: u64,
}

struct Server {
    key: ServerKey,
    slots: u32,
    in_flight: Vec<InFlight>,
    open: bool,
    /// `None` after the slow start.
    slow_start_began: Option<MonoMs>,
    slowdown_permille: u32,
    /// The slowdown was reported, not only learned from answers.
    reported: bool,
    slowed: bool,
    failures: u32,
    probe_at: MonoMs,
    /// Position in the list of servers with a free slot.
    free_position: Option<usize>,
}

impl Server {
    /// Slots that may be used at `now`.
    fn usable(&self, now: MonoMs, slow_start_ms: u64) -> u32 {
        if !self.open || self.slots == 0 {
            return 0;
        }
        if self.failures >= FAILURES_BEFORE_PROBING {
            return u32::from(now >= self.probe_at);
        }
        let Some(slow_start_began) = self.slow_start_began else {
            return self.slots;
        };
        let passed_ms = now.since(slow_start_began).0.min(slow_start_ms);
        let grown = u64::from(self.slots) * passed_ms / slow_start_ms.max(1);
        u32::try_from(grown)
            .unwrap_or(self.slots)
            .clamp(1, self.slots)
    }

    fn in_flight_count(&self) -> u32 {
        u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    /// Cost of one more request, for comparison: slowdown times the share of slots then busy.
    fn cost(&self) -> u64 {
        let share = 1024 * (u64::from(self.in_flight_count()) + u64::from(self.slots))
            / u64::from(self.slots.max(1));
        u64::from(self.slowdown_permille) * share
    }
}

/// Slots of the servers of one owner.
pub(crate) struct Slots {
    servers: Vec<Server>,
    /// Normal and slowed servers with a usable free slot, in no order.
    free: [Vec<ServerKey>; 2],
    /// Servers in slow start or with failures, whose usable slots change over time.
    time_dependent: BTreeSet<ServerKey>,
    slow_start_ms: u64,
    seed: u64,
    open_total: u64,
}

impl Slots {
    pub(crate) fn open(slow_start_ms: u64, seed: u64) -> Self {
        Self {
            servers: Vec::new(),
            free: [Vec::new(), Vec::new()],
            time_dependent: BTreeSet::new(),
            slow_start_ms,
            seed,
            open_total: 0,
        }
    }

    pub(crate) fn put(&mut self, now: MonoMs, key: ServerKey, slots: u32) {
        match self.find(key) {
            Ok(at) => self.servers[at].slots = slots,
            Err(at) => self.servers.insert(
                at,
                Server {
                    key,
                    slots,
                    in_flight: Vec::new(),
                    open: true,
                    slow_start_began: None,
                    slowdown_permille: NO_SLOWDOWN_PERMILLE,
                    reported: false,
                    slowed: false,
                    failures: 0,
                    probe_at: now,
                    free_position: None,
                },
            ),
        }
        self.update_free(now, key);
        self.count_slots();
    }

    pub(crate) fn remove(&mut self, now: MonoMs, key: ServerKey) -> Vec<InFlight> {
        self.set_open(now, key, false);
        let Ok(at) = self.find(key) else {
            return Vec::new();
        };
        self.time_dependent.remove(&key);
        self.servers.remove(at).in_flight
    }

    pub(crate) fn set_open(&mut self, now: MonoMs, key: ServerKey, open: bool) {
        let Ok(at) = self.find(key) else {
            return;
        };
        let server = &mut self.servers[at];
        if server.open == open {
            return;
        }
        server.open = open;
        server.slow_start_began = open.then_some(now);
        server.failures = 0;
        if open {
            self.time_dependent.insert(key);
        }
        self.update_free(now, key);
        self.count_slots();
    }

    pub(crate) fn set_slowdown(&mut self, now: MonoMs, key: ServerKey, permille: u32) {
        if let Ok(at) = self.find(key) {
            self.servers[at].reported = true;
            self.classify(now, at, permille.max(1));
        }
    }

    /// Sets a slowdown and moves the server between the lists of normal and slowed servers.
    fn classify(&mut self, now: MonoMs, at: usize, permille: u32) {
        let server = &mut self.servers[at];
        server.slowdown_permille = permille;
        let bound = if server.slowed {
            SLOWED_EXIT_PERMILLE
        } else {
            SLOWED_ENTER_PERMILLE
        };
        let slowed = permille > bound;
        if slowed == server.slowed {
            return;
        }
        self.remove_from_free(at);
        self.servers[at].slowed = slowed;
        let key = self.servers[at].key;
        self.update_free(now, key);
    }

    /// Slots of the open servers.
    pub(crate) fn open_slots(&self) -> u64 {
        self.open_total
    }

    /// Requests in flight.
    pub(crate) fn in_flight_count(&self) -> u64 {
        self.servers
            .iter()
            .map(|one| u64::from(one.in_flight_count()))
            .sum()
    }

    /// Updates servers in slow start and servers that get only probes.
    pub(crate) fn advance(&mut self, now: MonoMs) {
        if self.time_dependent.is_empty() {
            return;
        }
        let keys: Vec<ServerKey> = self.time_dependent.iter().copied().collect();
        for key in keys {
            self.update_free(now, key);
        }
    }

    /// The better of two servers with a free slot, selected by a hash of `draw`.
    pub(crate) fn choose(&self, draw: u64) -> Option<ServerKey> {
        let list = self.free.iter().find(|list| !list.is_empty())?;
        let count = list.len() as u64;
        let drawn = stable_hash(&draw.to_le_bytes(), self.seed);
        let first = self.candidate(list, drawn % count)?;
        let second = self.candidate(list, (drawn >> 32) % count)?;
        let better = if second.cost() < first.cost() {
            second
        } else {
            first
        };
        Some(better.key)
    }

    pub(crate) fn take(&mut self, now: MonoMs, key: ServerKey, request: InFlight) {
        if let Ok(at) = self.find(key) {
            let server = &mut self.servers[at];
            server.in_flight.push(request);
            if server.failures >= FAILURES_BEFORE_PROBING {
                server.probe_at = now + DurationMs(PROBE_INTERVAL_MS);
            }
            self.update_free(now, key);
        }
    }

    /// Frees the slot of a request; `None` if the server does not have the request.
    pub(crate) fn finish(
        &mut self,
        now: MonoMs,
        key: ServerKey,
        id: u64,
        failed: bool,
    ) -> Option<InFlight> {
        let at = self.find(key).ok()?;
        let server = &mut self.servers[at];
        let position = server.in_flight.iter().position(|one| one.id == id)?;
        let ended = server.in_flight.swap_remove(position);
        if failed {
            server.failures = server.failures.saturating_add(1);
            if server.failures >= FAILURES_BEFORE_PROBING {
                server.probe_at = now + DurationMs(PROBE_INTERVAL_MS);
                self.time_dependent.insert(key);
            }
        } else if server.failures > 0 {
            if server.failures >= FAILURES_BEFORE_PROBING {
                server.slow_start_began = Some(now);
            }
            server.failures = 0;
        }
        self.update_free(now, key);
        Some(ended)
    }

    /// Updates the slowdown with that of one answer. Without effect once a slowdown was reported.
    pub(crate) fn learn_slowdown(&mut self, now: MonoMs, key: ServerKey, permille: u32) {
        let Ok(at) = self.find(key) else {
            return;
        };
        let server = &self.servers[at];
        if server.reported {
            return;
        }
        let old = i64::from(server.slowdown_permille);
        let step = (i64::from(permille) - old) >> SLOWDOWN_SHIFT;
        let learned = u32::try_from(old + step).unwrap_or(1).max(1);
        self.classify(now, at, learned);
    }

    fn remove_from_free(&mut self, at: usize) {
        let list = usize::from(self.servers[at].slowed);
        let Some(position) = self.servers[at].free_position.take() else {
            return;
        };
        self.free[list].swap_remove(position);
        let moved = self.free[list].get(position).copied();
        if let Some(Ok(moved_at)) = moved.map(|one| self.find(one)) {
            self.servers[moved_at].free_position = Some(position);
        }
    }

    fn candidate(&self, list: &[ServerKey], position: u64) -> Option<&Server> {
        let key = list.get(usize::try_from(position).ok()?)?;
        self.servers.get(self.find(*key).ok()?)
    }

    fn find(&self, key: ServerKey) -> Result<usize, usize> {
        self.servers.binary_search_by_key(&key, |server| server.key)
    }

    fn count_slots(&mut self) {
        let open = self.servers.iter().filter(|server| server.open);
        self.open_total = open.map(|server| u64::from(server.slots)).sum();
    }

    /// Adds a server to the list of free servers or removes it.
    fn update_free(&mut self, now: MonoMs, key: ServerKey) {
        let Ok(at) = self.find(key) else {
            return;
        };
        let slow_start_ms = self.slow_start_ms;
        let server = &mut self.servers[at];
        if server
            .slow_start_began
            .is_some_and(|slow_start_began| now.since(slow_start_began).0 >= slow_start_ms)
        {
            server.slow_start_began = None;
        }
        if server.slow_start_began.is_none() && server.failures < FAILURES_BEFORE_PROBING {
            self.time_dependent.remove(&key);
        }
        let has_free = server.in_flight_count() < server.usable(now, slow_start_ms);
        match (server.free_position, has_free) {
            (None, true) => {
                let list = &mut self.free[usize::from(server.slowed)];
                server.free_position = Some(list.len());
                list.push(key);
            }
            (Some(_), false) => self.remove_from_free(at),
            _ => {}
        }
    }
}
