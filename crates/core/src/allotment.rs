//! Number of request slots of a backend server that are covered by resources withheld from batch tasks.
//!
//! Requests and batch tasks share a server. Open request slots are always covered by resources that batch tasks may not
//! use, so requests and batch tasks together never exceed the server. The number of slots grows at once with the demand
//! and shrinks after some seconds: otherwise batch tasks placed in a short pause would be evicted a moment later.

use crate::capacity::Resources;
use crate::time::{DurationMs, MonoMs};

/// The peak demand of the current and the previous period counts, so that a short pause does not let in batch tasks.
const PEAK_PERIOD: DurationMs = DurationMs(5_000);
/// Slots kept free above the demand, so that a growing load does not wait for an eviction.
const SPARE_SLOTS: u32 = 2;

/// Bounds of the slots of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllotmentConfig {
    /// Total slots of the server, a hard limit.
    pub max_slots: u32,
    /// Slots that stay covered when there is no load.
    pub min_slots: u32,
    /// Resources that one running request may use.
    pub slot_size: Resources,
}

impl AllotmentConfig {
    /// Derives the bounds from the weight of tail latency: the higher the weight, the more slots stay covered without
    /// load.
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

/// Covered slots of one server.
#[derive(Clone, Copy, Debug)]
pub struct Allotment {
    slots: u32,
    period_began: MonoMs,
    peak_slots: u32,
    previous_peak_slots: u32,
}

impl Allotment {
    /// Starts with the lower bound of slots covered.
    #[must_use]
    pub fn open(config: AllotmentConfig) -> Self {
        Self {
            slots: config.min_slots,
            period_began: MonoMs(0),
            peak_slots: 0,
            previous_peak_slots: 0,
        }
    }

    /// Slots for which batch tasks must leave resources free.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Updates the covered slots for a demand of running requests plus this server's share of the waiting ones.
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

    /// Resources that batch tasks must leave free while `running_requests` are running.
    #[must_use]
    pub fn withheld(&self, config: AllotmentConfig, running_requests: u32) -> Resources {
        config
            .slot_size
            .saturating_mul(self.slots.max(running_requests))
    }

    /// Slots that may be open: covered by the withheld resources and by those that batch tasks leave available.
    #[must_use]
    pub fn open_slots(
        &self,
        config: AllotmentConfig,
        withheld: Resources,
        available: Resources,
    ) -> u32 {
        // No slot can be covered before a service document states the size of a request.
        if config.slot_size.is_zero() {
            return 0;
        }
        let covered = withheld.lesser(available);
        self.slots.min(covered.count_of(config.slot_size))
    }
}
