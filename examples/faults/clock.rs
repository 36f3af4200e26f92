//! Clocks of hosts and servers, whose rates differ by up to 1%.

use primrosestack_core::time::MonoMs;
use rand::Rng;

/// A clock as a function of real time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    offset_ms: u64,
    rate_ppm: u64,
}

impl Clock {
    /// A clock with a random start and one of the extreme or middle rates.
    pub fn draw(random: &mut impl Rng) -> Self {
        let rates_ppm = [995_025, 1_000_000, 1_004_975];
        Self {
            offset_ms: random.random_range(1..1_000_000),
            rate_ppm: rates_ppm[random.random_range(0..rates_ppm.len())],
        }
    }

    /// What the clock shows.
    pub fn read(&self, real_us: u64) -> MonoMs {
        MonoMs(self.offset_ms + real_us * self.rate_ppm / 1_000_000_000)
    }
}
