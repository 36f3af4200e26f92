//! How many request slots of a backend server are backed by reserved resources.
//!
//! Requests and batch tasks share a server. The slots that are open to requests are always covered by resources that
//! batch may not use, so the two together never exceed the server. Growing takes room from batch at once; shrinking is
//! slow, so that a pause in the load does not invite batch that would be evicted a moment later.

use crate::capacity::Resources;
use crate::time::{DurationMs, MonoMs};

/// Time of lower demand after which one slot is given back to batch.
const SHRINK_AFTER: DurationMs = DurationMs(5_000);
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
    lower_since: Option<MonoMs>,
}

impl Allotment {
    /// Opens an allotment at its lower bound.
    #[must_use]
    pub fn open(config: AllotmentConfig) -> Self {
        Self {
            slots: config.min_slots,
            lower_since: None,
        }
    }

    /// Slots that batch must leave room for.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Follows the demand: requests in execution and this server's share of those that wait.
    pub fn follow(&mut self, now: MonoMs, config: AllotmentConfig, demand_slots: u32) {
        let wanted = demand_slots.saturating_add(SPARE_SLOTS);
        let wanted = wanted.clamp(config.min_slots, config.max_slots);
        if wanted >= self.slots {
            self.slots = wanted;
            self.lower_since = None;
            return;
        }
        let since = *self.lower_since.get_or_insert(now);
        if now.since(since) >= SHRINK_AFTER {
            self.slots -= 1;
            self.lower_since = Some(now);
        }
    }

    /// What batch must leave free while `busy` requests are in execution.
    #[must_use]
    pub fn withheld(&self, config: AllotmentConfig, busy: u32) -> Resources {
        config.slot_size.saturating_mul(self.slots.max(busy))
    }

    /// Slots that may be open: covered by what batch must leave free and by what it does leave free.
    #[must_use]
    pub fn open_slots(&self, config: AllotmentConfig, withheld: Resources, left: Resources) -> u32 {
        self.slots
            .min(withheld.lesser(left).count_of(config.slot_size))
    }
}
