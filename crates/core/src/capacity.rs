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
}
