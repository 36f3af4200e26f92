//! Hard limits on processors, memory and accelerators of a backend server.

use serde::{Deserialize, Serialize};

/// Amounts of each resource, of a task or of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub millicores: u32,
    /// Memory, in mebibytes.
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Whether every amount is at most that of `limit`.
    #[must_use]
    pub fn fits_in(self, limit: Self) -> bool {
        self.millicores <= limit.millicores
            && self.memory_mib <= limit.memory_mib
            && self.accelerators <= limit.accelerators
    }

    /// Sum of each amount, saturating.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Difference of each amount, at least 0.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Each amount times `count`, saturating.
    #[must_use]
    pub fn saturating_mul(self, count: u32) -> Self {
        Self {
            millicores: self.millicores.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// How many times `size` fits in this; `u32::MAX` if `size` is nothing.
    #[must_use]
    pub fn count_of(self, size: Self) -> u32 {
        let times = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
        times(self.millicores, size.millicores)
            .min(times(self.memory_mib, size.memory_mib))
            .min(times(self.accelerators, size.accelerators))
    }

    /// Greater of each amount.
    #[must_use]
    pub fn greater(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Lesser of each amount.
    #[must_use]
    pub fn lesser(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.min(other.millicores),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// The amounts that are not 0, each raised by that of `base`.
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

    /// Whether every amount is 0.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }
}

/// Share of used processors or memory, in thousandths of the reservation, from which a task is taken to be held back
/// by its reservation. Use is sampled, so a task at its limit rarely shows all of it.
const AT_LIMIT_PERMILLE: u64 = 970;

/// What a task may take and what is reserved for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reservation {
    /// Reserved on the server: at least the declaration, the observed use and the limits.
    pub reserved: Resources,
    /// Processor limit commanded at the server, at most the reserved millicores.
    pub limit_millicores: u32,
    /// Last observed use.
    pub used: Resources,
}

impl Reservation {
    /// Reserves `size` without a lower limit.
    #[must_use]
    pub fn of(size: Resources) -> Self {
        Self {
            reserved: size,
            limit_millicores: size.millicores,
            used: size,
        }
    }

    /// Whether the task takes all the processor time that it may.
    #[must_use]
    pub fn at_processor_limit(&self) -> bool {
        at_limit(self.used.millicores, self.limit_millicores)
    }

    /// Whether the task takes all the memory that is reserved for it.
    #[must_use]
    pub fn at_memory_limit(&self) -> bool {
        at_limit(self.used.memory_mib, self.reserved.memory_mib)
    }
}

fn at_limit(used: u32, limit: u32) -> bool {
    u64::from(used) * 1_000 >= u64::from(limit) * AT_LIMIT_PERMILLE && limit > 0
}
