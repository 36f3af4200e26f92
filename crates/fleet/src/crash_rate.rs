//! How many crashes speak against a task.
//!
//! Servers are also lost for reasons that have nothing to do with the tasks that start on them. The more of them are lost
//! without any suspect, the likelier it is that a task meets such a loss at several of its starts, and the more crashes
//! it takes to give the task up.

use std::collections::VecDeque;
use std::time::Duration;

use crate::crashes::OUTLIVED_START_MS;
use crate::server::CONTACT_TIMEOUT_MS;
use crate::shard::{ServerKey, Shard};

/// Crashes as their only suspect after which a task is given up if no server is lost otherwise.
pub(crate) const SOLE_SUSPECT_CRASHES_MIN: u32 = 2;

/// Crashes after which a task is given up at any rate of other losses; one start less than the service contract allows.
const SOLE_SUSPECT_CRASHES_MAX: u32 = 4;

/// Probability at which an innocent task may be given up at most.
const WRONG_SUSPICION_MAX: f64 = 1e-4;

/// Time for which losses count.
const LOSS_WINDOW_MS: u64 = 30_000;

/// Time after a start for which a loss is attributed to it: until a report, of which there is one a second, shows that
/// the run has outlived its start.
const ATTRIBUTION_MS: u64 = OUTLIVED_START_MS + 1_000;

/// Servers without suspects are assumed to be at least this share of all.
const UNSUSPECTED_SHARE_MIN: f64 = 0.2;

/// Losses that are remembered: several for each server of a large shard.
const LOSSES_MAX: usize = 4_096;

/// Losses of servers on which no run was suspected, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnexplainedLosses {
    times_ms: VecDeque<u64>,
}

impl UnexplainedLosses {
    fn push(&mut self, lost_ms: u64) {
        let position = self.times_ms.partition_point(|&time_ms| time_ms <= lost_ms);
        self.times_ms.insert(position, lost_ms);
        if self.times_ms.len() > LOSSES_MAX {
            self.times_ms.pop_front();
        }
    }

    /// Ages of the losses that count, in milliseconds.
    fn ages_ms(&self, now_ms: u64) -> impl Iterator<Item = u64> {
        let ages_ms = self
            .times_ms
            .iter()
            .map(move |&time_ms| now_ms.saturating_sub(time_ms));
        ages_ms.filter(|&age_ms| age_ms < LOSS_WINDOW_MS)
    }
}

/// Least number of crashes at which an innocent task is given up with a probability of [`WRONG_SUSPICION_MAX`] at most,
/// if each of its starts meets a crash with probability `chance`.
fn crashes_until_given_up(chance: f64) -> u32 {
    let mut probability = chance.powi(2);
    let mut crashes = SOLE_SUSPECT_CRASHES_MIN;
    while probability > WRONG_SUSPICION_MAX && crashes < SOLE_SUSPECT_CRASHES_MAX {
        probability *= chance;
        crashes += 1;
    }
    crashes
}

impl Shard {
    /// Notes that a server crashed or lapsed, unless it was expected to leave or a run is suspected.
    pub(crate) fn note_loss(&mut self, server: ServerKey, now_ms: u64) {
        let state = &self.servers[server];
        if state.loss_noted || !state.claimed || state.draining_since_ms.is_some() {
            return;
        }
        let is_explained =
            !state.lapsed_suspects.is_empty() || !self.crash_suspects(server).is_empty();
        self.servers[server].loss_noted = true;
        if !is_explained {
            self.unexplained_losses.push(now_ms);
        }
    }

    /// Ages of the unexplained losses that count, in milliseconds, for the successor.
    pub(crate) fn loss_ages_ms(&self, now_ms: u64) -> Vec<u64> {
        self.unexplained_losses.ages_ms(now_ms).collect()
    }

    /// Takes over the losses that an earlier owner noted.
    pub(crate) fn inherit_losses(&mut self, ages_ms: &[u64], now_ms: u64) {
        for &age_ms in ages_ms.iter().take(LOSSES_MAX) {
            self.unexplained_losses.push(now_ms.saturating_sub(age_ms));
        }
    }

    /// Crashes as their only suspect after which a task is given up at present, and the number of unexplained losses
    /// behind this.
    pub(crate) fn sole_suspect_crashes_limit(&self, now_ms: u64) -> (u32, u64) {
        let losses = self.unexplained_losses.ages_ms(now_ms).count();
        let mut servers = 0;
        let mut unsuspected = 0;
        for (key, server) in &self.servers {
            if !server.claimed || now_ms >= server.last_contact_ms + CONTACT_TIMEOUT_MS {
                continue;
            }
            servers += 1;
            unsuspected += usize::from(self.crash_suspects(key).is_empty());
        }
        if losses == 0 || servers == 0 {
            return (SOLE_SUSPECT_CRASHES_MIN, losses as u64);
        }
        let servers = to_f64(servers);
        let unsuspected_share = (to_f64(unsuspected) / servers).max(UNSUSPECTED_SHARE_MIN);
        let losses_per_server = to_f64(losses) / (unsuspected_share * servers);
        let attribution = Duration::from_millis(ATTRIBUTION_MS);
        let window = Duration::from_millis(LOSS_WINDOW_MS);
        let chance = losses_per_server * attribution.div_duration_f64(window);
        (crashes_until_given_up(chance), losses as u64)
    }
}

/// Converts a count, which is far below 2^32.
fn to_f64(count: usize) -> f64 {
    f64::from(crate::shard::to_u32(count))
}
