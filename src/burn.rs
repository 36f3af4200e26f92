//! Counts of good and bad requests per service at this entry host, from which error-budget burn rates are computed.
//!
//! Counts are kept in memory only and are lost when the host restarts.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::extract::State;
use axum::routing::get;
use axum::{Json, Router};
use primrosestack_core::ids::HostId;
use primrosestack_core::time::{DurationMs, MonoMs};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::labels::OTHER;
use crate::metrics::Outcome;

/// Slots of a ring buffer: 30 complete steps and the one in progress.
pub const RING_SLOTS: usize = 31;

/// Services counted separately; further ones are counted together as `other`. Holds one latency-critical service for
/// each of the 970 teams of the design size, in 1.5 MB.
pub const SERVICE_LIMIT: usize = 1_024;

/// Lengths of the windows in milliseconds: 5 min, 1 h, 6 h, 3 d, 30 d.
pub const WINDOWS_MS: [u64; 5] = [300_000, 3_600_000, 21_600_000, 259_200_000, 2_592_000_000];

/// Names of [`WINDOWS_MS`] in reports.
pub const WINDOW_NAMES: [&str; 5] = ["5 min", "1 h", "6 h", "3 d", "30 d"];

/// Version of [`BurnReply`].
pub const REPLY_VERSION: u32 = 1;

/// Service-level objective (SLO) of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLevelObjective {
    /// Share of requests that must be good, in parts per million; below 1,000,000.
    pub good_ppm: u32,
    /// Longest latency of a good request in milliseconds.
    pub latency_ms: u64,
}

impl Default for ServiceLevelObjective {
    /// 99.9% of requests within 1 s, for services without a target in their document.
    fn default() -> Self {
        Self {
            good_ppm: 999_000,
            latency_ms: 1_000,
        }
    }
}

impl ServiceLevelObjective {
    /// Returns whether a request was good: answered without a server error and within the latency limit.
    #[must_use]
    pub fn is_good(self, outcome: Outcome, latency: DurationMs) -> bool {
        match outcome {
            Outcome::Answered(status) => status < 500 && latency.0 <= self.latency_ms,
            Outcome::NotRun(_) | Outcome::Unknown => false,
        }
    }

    /// Error budget: the share of requests that may be bad, in parts per million; at least 1.
    #[must_use]
    pub fn budget_ppm(self) -> u32 {
        1_000_000_u32.saturating_sub(self.good_ppm).max(1)
    }
}

/// Good and bad requests of one step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Good requests; saturates. One day at 5,000 requests a second uses a tenth of the range.
    #[serde(rename = "g")]
    pub good: u32,
    /// Bad requests; saturates.
    #[serde(rename = "b")]
    pub bad: u32,
}

#[derive(Clone, Debug)]
struct Ring {
    // Index of the newest step since the start of the monotonic clock.
    newest: u64,
    slots: [Counts; RING_SLOTS],
}

impl Ring {
    fn new(step: u64) -> Self {
        Self {
            newest: step,
            slots: [Counts::default(); RING_SLOTS],
        }
    }

    fn advance(&mut self, step: u64) {
        if step <= self.newest {
            return;
        }
        let passed = usize::try_from(step - self.newest).unwrap_or(RING_SLOTS);
        for offset in 1..=passed.min(RING_SLOTS) {
            let at = slot_index(self.newest + offset as u64);
            self.slots[at] = Counts::default();
        }
        // After a gap longer than the ring, the loop above has cleared every slot.
        self.newest = step;
    }

    fn count(&mut self, step: u64, good: bool) {
        self.advance(step);
        let slot = &mut self.slots[slot_index(self.newest)];
        let field = if good { &mut slot.good } else { &mut slot.bad };
        *field = field.saturating_add(1);
    }

    fn newest_first(&mut self, step: u64) -> Vec<Counts> {
        self.advance(step);
        let mut counts = Vec::with_capacity(RING_SLOTS);
        for age in 0..RING_SLOTS as u64 {
            let Some(step) = self.newest.checked_sub(age) else {
                counts.push(Counts::default());
                continue;
            };
            counts.push(self.slots[slot_index(step)]);
        }
        counts
    }
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "the remainder is below RING_SLOTS"
)]
fn slot_index(step: u64) -> usize {
    (step % RING_SLOTS as u64) as usize
}

#[derive(Debug)]
struct ServiceCounters {
    name: SmolStr,
    level: ServiceLevelObjective,
    rings: [Ring; WINDOWS_MS.len()],
}

/// Memory per service in bytes, without the heap allocation of a name longer than 23 bytes.
pub const BYTES_PER_SERVICE: usize = size_of::<ServiceCounters>();

impl ServiceCounters {
    fn new(name: SmolStr, now: MonoMs) -> Self {
        Self {
            name,
            level: ServiceLevelObjective::default(),
            rings: std::array::from_fn(|window| Ring::new(step_index(window, now))),
        }
    }

    fn count(&mut self, now: MonoMs, good: bool) {
        for (window, ring) in self.rings.iter_mut().enumerate() {
            ring.count(step_index(window, now), good);
        }
    }

    fn reply(&mut self, now: MonoMs) -> ServiceBurn {
        let mut windows = Vec::with_capacity(WINDOWS_MS.len());
        for (window, ring) in self.rings.iter_mut().enumerate() {
            windows.push(WindowCounts {
                window_ms: WINDOWS_MS[window],
                step_ms: step_ms(window),
                counts: ring.newest_first(step_index(window, now)),
            });
        }
        ServiceBurn {
            service: self.name.clone(),
            level: self.level,
            windows,
        }
    }
}

/// Returns the width of one step of a window in milliseconds.
#[must_use]
pub fn step_ms(window: usize) -> u64 {
    WINDOWS_MS[window] / (RING_SLOTS as u64 - 1)
}

fn step_index(window: usize, now: MonoMs) -> u64 {
    now.0 / step_ms(window)
}

/// An entry host listed in the settings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KnownHost {
    /// Its failure domain.
    pub failure_domain: SmolStr,
    /// Its name.
    pub name: SmolStr,
}

/// Answer of one entry host to `GET /v1/burn`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnReply {
    /// Version of this type, [`REPLY_VERSION`].
    pub version: u32,
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: SmolStr,
    /// Time since it began counting, in milliseconds; it has no older data.
    pub up_ms: u64,
    /// Entry hosts listed in its settings.
    pub known_hosts: Vec<KnownHost>,
    /// Counts per service, sorted by name.
    pub services: Vec<ServiceBurn>,
}

/// Counts of one service at one entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: SmolStr,
    /// Its service-level objective.
    pub level: ServiceLevelObjective,
    /// One entry per window, shortest first.
    pub windows: Vec<WindowCounts>,
}

/// Counts of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Length of the window in milliseconds.
    pub window_ms: u64,
    /// Width of a step in milliseconds.
    pub step_ms: u64,
    /// Counts by step, newest first; the first step is in progress.
    pub counts: Vec<Counts>,
}

struct Shared {
    host: HostId,
    failure_domain: SmolStr,
    known_hosts: Vec<KnownHost>,
    opened_at: MonoMs,
    // Sorted by name, for binary search.
    services: Mutex<Vec<ServiceCounters>>,
}

/// Handle to the counts of this process; a clone shares them.
#[derive(Clone)]
pub struct BurnCounters {
    shared: Arc<Shared>,
}

impl BurnCounters {
    /// Creates empty counters. `known_hosts` are the entry hosts of the settings, from which a report determines the
    /// hosts that are missing.
    #[must_use]
    pub fn open(
        host: HostId,
        failure_domain: SmolStr,
        mut known_hosts: Vec<KnownHost>,
        now: MonoMs,
    ) -> Self {
        known_hosts.sort();
        known_hosts.dedup();
        Self {
            shared: Arc::new(Shared {
                host,
                failure_domain,
                known_hosts,
                opened_at: now,
                services: Mutex::new(Vec::new()),
            }),
        }
    }

    /// Sets the objective of a service for requests recorded from then on. Services counted together as `other` keep
    /// the default objective, since they have no common one.
    pub fn set_objective(&self, now: MonoMs, service: &str, level: ServiceLevelObjective) {
        let mut services = self.services();
        let entry = entry(&mut services, service, now);
        if entry.name == service {
            entry.level = level;
        }
    }

    /// Counts a finished request of this host's callers.
    pub fn record_request(
        &self,
        now: MonoMs,
        service: &str,
        outcome: Outcome,
        latency: DurationMs,
    ) {
        let mut services = self.services();
        let service = entry(&mut services, service, now);
        let good = service.level.is_good(outcome, latency);
        service.count(now, good);
    }

    /// Returns the counts in the form that a report fetches.
    #[must_use]
    pub fn reply(&self, now: MonoMs) -> BurnReply {
        let shared = &*self.shared;
        let mut services = self.services();
        BurnReply {
            version: REPLY_VERSION,
            host: shared.host.clone(),
            failure_domain: shared.failure_domain.clone(),
            up_ms: now.since(shared.opened_at).0,
            known_hosts: shared.known_hosts.clone(),
            services: services
                .iter_mut()
                .map(|service| service.reply(now))
                .collect(),
        }
    }

    /// Returns the route `GET /v1/burn` of the administration listener. `clock` must be the clock of the recorded
    /// requests.
    pub fn router(&self, clock: impl Fn() -> MonoMs + Clone + Send + Sync + 'static) -> Router {
        let burn = self.clone();
        let answer = move |State(burn): State<BurnCounters>| {
            let reply = burn.reply(clock());
            async move { Json(reply) }
        };
        Router::new()
            .route("/v1/burn", get(answer))
            .with_state(burn)
    }

    fn services(&self) -> MutexGuard<'_, Vec<ServiceCounters>> {
        let services = &self.shared.services;
        services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn entry<'a>(
    services: &'a mut Vec<ServiceCounters>,
    name: &str,
    now: MonoMs,
) -> &'a mut ServiceCounters {
    let find = |services: &[ServiceCounters], name: &str| {
        services.binary_search_by(|service| service.name.as_str().cmp(name))
    };
    if let Ok(at) = find(services, name) {
        return &mut services[at];
    }
    // Services beyond the limit share one entry.
    let name = if services.len() < SERVICE_LIMIT {
        name
    } else {
        OTHER
    };
    let at = match find(services, name) {
        Ok(at) => at,
        Err(at) => {
            let service = ServiceCounters::new(SmolStr::new(name), now);
            services.insert(at, service);
            at
        }
    };
    &mut services[at]
}
