//! Resource amounts and reservations on a backend server.

use serde::{Deserialize, Serialize};

/// Amounts of each resource of a task or a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    pub millicores: u32,
    pub memory_mib: u32,
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Whether no amount exceeds that of `limit`.
    #[must_use]
    pub fn fits_in(self, limit: Self) -> bool {
        self.millicores <= limit.millicores
            && self.memory_mib <= limit.memory_mib
            && self.accelerators <= limit.accelerators
    }

    /// Adds each amount, saturating.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts each amount, saturating at 0.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Multiplies each amount by `count`, saturating.
    #[must_use]
    pub fn saturating_mul(self, count: u32) -> Self {
        Self {
            millicores: self.millicores.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// How many times `size` fits; `u32::MAX` if `size` is zero.
    #[must_use]
    pub fn count_of(self, size: Self) -> u32 {
        let times = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
        times(self.millicores, size.millicores)
            .min(times(self.memory_mib, size.memory_mib))
            .min(times(self.accelerators, size.accelerators))
    }

    /// The greater of each amount.
    #[must_use]
    pub fn greater(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The lesser of each amount.
    #[must_use]
    pub fn lesser(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.min(other.millicores),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Adds `base` to each amount that is not 0.
    #[must_use]
    pub fn raise_nonzero_by(self, base: Self) -> Self {
        let raise = |amount: u32, by: u32| {
            if amount == 0 {
                0
            } else {
                amount.saturating_add(by)
            }
        };
        Self {
            millicores: raise(self.millicores, base.millicores),
            memory_mib: raise(self.memory_mib, base.memory_mib),
            accelerators: raise(self.accelerators, base.accelerators),
        }
    }

    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }
}

/// Use of processors or memory, in thousandths of the limit, from which a task counts as held back by that limit. Use
/// is sampled, so a task at its limit rarely shows all of it.
const AT_LIMIT_PERMILLE: u64 = 970;

/// Reserved resources and processor limit of a running task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reservation {
    /// Declared size, raised to the observed use and to the processor limit as far as the server has capacity.
    pub reserved: Resources,
    /// Processor limit set at the server, at most the reserved millicores.
    pub limit_millicores: u32,
    /// Last reported use.
    pub used: Resources,
}

impl Reservation {
    /// Reserves `size`, with the processor limit at the whole reservation.
    #[must_use]
    pub fn of(size: Resources) -> Self {
        Self {
            reserved: size,
            limit_millicores: size.millicores,
            used: size,
        }
    }

    /// Whether the task uses nearly all the processor time that its limit allows.
    #[must_use]
    pub fn at_processor_limit(&self) -> bool {
        at_limit(self.used.millicores, self.limit_millicores)
    }

    /// Whether the task uses nearly all the memory that is reserved for it.
    #[must_use]
    pub fn at_memory_limit(&self) -> bool {
        at_limit(self.used.memory_mib, self.reserved.memory_mib)
    }
}

fn at_limit(used: u32, limit: u32) -> bool {
    u64::from(used) * 1_000 >= u64::from(limit) * AT_LIMIT_PERMILLE && limit > 0
}
