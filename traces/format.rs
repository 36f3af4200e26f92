//! A recorded trace and the outcome stated for it.

use std::path::Path;

use primrosestack_core::capacity::Resources;
use primrosestack_core::placement::Objective;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Why a file could not be used.
#[derive(Debug, Snafu)]
pub enum TraceError {
    #[snafu(display("cannot access {path}"))]
    Access {
        path: String,
        source: std::io::Error,
    },
    #[snafu(display("{path} is not as expected"))]
    Parse {
        path: String,
        source: serde_json::Error,
    },
}

/// Weights of the goals in thousandths, as a service document states them.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct Weights {
    pub latency: u32,
    pub throughput: u32,
    pub eviction: u32,
}

impl Weights {
    pub fn objective(self) -> Objective {
        Objective {
            latency_permille: self.latency,
            throughput_permille: self.throughput,
            eviction_permille: self.eviction,
        }
    }
}

#[derive(Clone, Serialize, Deserialize)]
pub struct Domain {
    pub name: String,
    pub servers: u32,
}

/// A kind of batch task and the ranges in which its true effects are drawn, at a full server.
#[derive(Clone, Serialize, Deserialize)]
pub struct Kind {
    pub name: String,
    pub on_requests: [f64; 2],
    pub on_batch: [f64; 2],
    /// Can be checkpointed on command; otherwise an eviction loses the work since its own last checkpoint.
    pub checkpoints: bool,
}

/// A pair of kinds with an effect of its own.
#[derive(Clone, Serialize, Deserialize)]
pub struct NoisyPair {
    pub victim: usize,
    pub aggressor: usize,
    pub range: [f64; 2],
}

/// Recorded requests of one client.
#[derive(Clone, Serialize, Deserialize)]
pub struct Stream {
    pub client: String,
    pub domain: usize,
    /// Clients with this mark load equally and are compared.
    pub equal: bool,
    /// Arrivals in each interval of 10 s.
    pub counts: Vec<u32>,
}

#[derive(Clone, Serialize, Deserialize)]
pub struct Job {
    pub at_ms: u64,
    pub team: String,
    pub equal: bool,
    pub kind: usize,
    pub declared: Resources,
    pub actual: Resources,
    pub declared_run_ms: u64,
    /// Recorded run times of its tasks, undisturbed; repeated if there are more tasks.
    pub run_ms: Vec<u64>,
    pub tasks: u32,
    pub finish_by_ms: Option<u64>,
    /// Fails wherever it runs.
    pub fails: bool,
    pub cancel_at_ms: Option<u64>,
}

#[derive(Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// `value` is the number of the rack.
    RackLost,
    /// `value` is the number of the server in its failure domain.
    FailingServer,
    /// `value` is the delay in milliseconds, one way.
    SlowLinks,
}

#[derive(Clone, Serialize, Deserialize)]
pub struct Fault {
    pub kind: FaultKind,
    pub from_ms: u64,
    pub until_ms: u64,
    pub domain: usize,
    pub value: u32,
}

#[derive(Clone, Serialize, Deserialize)]
pub struct Trace {
    pub deployment: String,
    pub seed: u64,
    pub horizon_ms: u64,
    pub weights: Weights,
    pub domains: Vec<Domain>,
    /// What a server can hold for batch; the slots of requests are outside of it.
    pub server: Resources,
    pub slots: u32,
    pub one_way_ms: u64,
    pub link_price_ms: u64,
    pub deadline_ms: u64,
    /// Recorded slot times of requests, undisturbed.
    pub service_ms: Vec<u64>,
    pub kinds: Vec<Kind>,
    pub noisy_pairs: Vec<NoisyPair>,
    pub streams: Vec<Stream>,
    pub jobs: Vec<Job>,
    pub faults: Vec<Fault>,
}

/// Bounds on the means over all seeds; stated before the first run.
#[derive(Clone, Serialize, Deserialize)]
pub struct Outcome {
    pub source: String,
    pub p99_ratio_max: f64,
    pub throughput_ratio_min: f64,
    pub evictions_ratio_max: f64,
    pub jain_min: f64,
    pub deadline_miss_permille_max: f64,
    pub overfilled_max: u64,
}

pub fn read<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<T, TraceError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).context(AccessSnafu { path: &name })?;
    serde_json::from_str(&text).context(ParseSnafu { path: name })
}

pub fn write<T: Serialize>(path: &Path, value: &T) -> Result<(), TraceError> {
    let name = path.display().to_string();
    let text = serde_json::to_string(value).context(ParseSnafu { path: &name })?;
    std::fs::write(path, text + "\n").context(AccessSnafu { path: name })
}
