//! One shard: events in, actions out.

use smol_str::SmolStr;

use crate::placement::Objective;
use crate::prelude::*;

/// What a shard is told at its start.
#[derive(Clone, Debug)]
pub struct ShardConfig {
    /// Failure domain.
    pub failure_domain: SmolStr,
    /// Number of the shard in its failure domain, from 0.
    pub number: u32,
    /// Names of the entry hosts of the failure domain, sorted.
    pub hosts: Vec<SmolStr>,
    /// Weights of the goals.
    pub objective: Objective,
    /// Breaks ties and spreads retries.
    pub seed: u64,
    /// Bound on the difference of clock rates, in parts per million.
    pub clock_drift_ppm: u64,
}

/// The state of one shard at one entry host of its failure domain, whether or not that host owns it.
pub struct Shard {
    _config: ShardConfig,
    _host: HostId,
}

impl Shard {
    /// Opens the shard without knowledge of its owner.
    #[must_use]
    pub fn new(config: ShardConfig, host: HostId, _now: MonoMs) -> Self {
        Self {
            _config: config,
            _host: host,
        }
    }

    /// Takes one event and appends the actions that it asks for.
    pub fn handle(&mut self, _now: MonoMs, _event: Event, _actions: &mut Vec<Action>) {}
}
