//! How many request slots of a backend server are backed by reserved resources.
//!
//! Requests and batch tasks share a server. The slots that are open to requests are always covered by resources that
//! batch may not use, so the two together never exceed the server. Growing takes room from batch at once; shrinking waits
//! some seconds, so that a pause in the load does not invite batch that would be evicted a moment later.

use crate::capacity::Resources;
use crate::time::{DurationMs, MonoMs};

/// Demand counts for between one and two such periods, so that a pause in the load does not invite batch.
const PEAK_PERIOD: DurationMs = DurationMs(5_000);
/// Slots kept free above the demand, so that a growing load does not wait for an eviction.
const SPARE_SLOTS: u32 = 2;

/// Bounds of an allotment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllotmentConfig {
    /// Slots of the server, a hard limit.
    pub max_slots: u32,
    /// Slots that stay covered without any load.
    pub min_slots: u32,
    /// What one request in execution may use.
    pub slot_size: Resources,
}

impl AllotmentConfig {
    /// Bounds for a weight of tail latency: the more it counts, the more slots stay covered without load.
    #[must_use]
    pub fn with_latency_weight(
        max_slots: u32,
        slot_size: Resources,
        latency_permille: u32,
    ) -> Self {
        let min_slots = (max_slots * latency_permille.min(1_000)).div_ceil(1_000);
        Self {
            max_slots,
            min_slots: min_slots.clamp(1, max_slots.max(1)),
            slot_size,
        }
    }
}

/// The allotment of one server.
#[derive(Clone, Copy, Debug)]
pub struct Allotment {
    slots: u32,
    period_began: MonoMs,
    peak_slots: u32,
    previous_peak_slots: u32,
}

impl Allotment {
    /// Opens an allotment at its lower bound.
    #[must_use]
    pub fn open(config: AllotmentConfig) -> Self {
        Self {
            slots: config.min_slots,
            period_began: MonoMs(0),
            peak_slots: 0,
            previous_peak_slots: 0,
        }
    }

    /// Slots that batch must leave room for.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Follows the demand: requests in execution and this server's share of those that wait.
    pub fn observe_demand(&mut self, now: MonoMs, config: AllotmentConfig, demand_slots: u32) {
        if now.since(self.period_began) >= PEAK_PERIOD {
            self.period_began = now;
            self.previous_peak_slots = self.peak_slots;
            self.peak_slots = 0;
        }
        self.peak_slots = self.peak_slots.max(demand_slots);
        let wanted = self
            .peak_slots
            .max(self.previous_peak_slots)
            .saturating_add(SPARE_SLOTS);
        self.slots = wanted.clamp(config.min_slots, config.max_slots);
    }

    /// What batch must leave free while `busy` requests are in execution.
    #[must_use]
    pub fn withheld(&self, config: AllotmentConfig, busy: u32) -> Resources {
        config.slot_size.saturating_mul(self.slots.max(busy))
    }

    /// Slots that may be open: covered by what batch must leave free and by what it does leave free.
    #[must_use]
    pub fn open_slots(
        &self,
        config: AllotmentConfig,
        withheld: Resources,
        available: Resources,
    ) -> u32 {
        // Before a document says what a request needs, no slot can be covered.
        if config.slot_size.is_zero() {
            return 0;
        }
        let covered = withheld.lesser(available);
        self.slots.min(covered.count_of(config.slot_size))
    }
}
