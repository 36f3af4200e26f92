//! Service documents, in which a team declares its services and batch work.

use std::collections::{BTreeMap, BTreeSet};

use primrosestack_core::capacity::Resources;
use primrosestack_core::placement::Objective;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::check::{self, FaultSink, Faults};

/// Bounded so that a graceful stop can wait for requests in flight.
pub const DEADLINE_MAX_MS: u32 = 15_000;

/// Service document of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the team; there is one document per team.
    #[schemars(extend("format" = "name"))]
    pub team: SmolStr,
    /// Share of each resource that the team may count on; also the team's weight.
    pub quota: Quota,
    /// How the scheduler weighs its goals for the work of this team.
    pub objective: ObjectiveWeights,
    /// Latency-critical services by name.
    #[serde(default)]
    #[schemars(extend("propertyNames" = {"format": "name"}))]
    pub services: BTreeMap<SmolStr, Service>,
    /// Kinds of batch work by name.
    #[serde(default)]
    #[schemars(extend("propertyNames" = {"format": "name"}))]
    pub batch: BTreeMap<SmolStr, Batch>,
}

/// Amounts of each resource over all failure domains of the team's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Processor time, in thousandths of a core.
    #[schemars(range(min = 1))]
    pub millicores: u32,
    /// Memory, in mebibytes.
    #[schemars(range(min = 1))]
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Requests in execution at one time.
    #[serde(default)]
    pub slots: u32,
}

/// Weights in thousandths; they add up to 1,000.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveWeights {
    /// Weight of the tail latency of requests.
    #[schemars(range(max = 1000))]
    pub latency_permille: u32,
    /// Weight of batch throughput.
    #[schemars(range(max = 1000))]
    pub throughput_permille: u32,
    /// Weight of work lost to evictions.
    #[schemars(range(max = 1000))]
    pub eviction_permille: u32,
}

/// What one request in execution, or one task, needs of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Processor time, in thousandths of a core.
    #[schemars(range(min = 1))]
    pub millicores: u32,
    /// Memory, in mebibytes.
    #[schemars(range(min = 1))]
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// A latency-critical service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Failure domains that run the service.
    #[schemars(length(min = 1, max = 64), extend("items" = {"type": "string", "format": "name"}))]
    pub failure_domains: Vec<SmolStr>,
    /// Size of one request in execution.
    pub size: Size,
    /// Requests in execution at one backend server.
    #[serde(default = "default_slots_per_server")]
    #[schemars(range(min = 1, max = 1024))]
    pub slots_per_server: u32,
    /// Open connections to one backend server.
    #[serde(default = "default_connections_per_server")]
    #[schemars(range(min = 1, max = 4096))]
    pub connections_per_server: u32,
    /// Deadline of a request that states none, in milliseconds.
    #[schemars(range(min = 1, max = 15_000))]
    pub deadline_ms: u32,
    /// Service-level target.
    pub target: Target,
    /// Operations by name.
    #[schemars(extend("propertyNames" = {"format": "name"}), extend("minProperties" = 1))]
    pub operations: BTreeMap<SmolStr, Operation>,
}

/// Service-level target: a request is good if it was answered within `latency_ms`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Time within which a good request is answered, in milliseconds.
    #[schemars(range(min = 1, max = 15_000))]
    pub latency_ms: u32,
    /// Share of requests that must be good, in parts per million.
    #[schemars(range(min = 1, max = 999_999))]
    pub good_ppm: u32,
    /// Time over which the share counts, in seconds.
    #[serde(default = "default_window_s")]
    #[schemars(range(min = 3_600, max = 7_776_000))]
    pub window_s: u32,
}

/// One operation of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Whether running a request twice has the effect of running it once; such requests may be retried.
    pub idempotent: bool,
    /// Deadline of a request that states none, in milliseconds; by default that of the service.
    #[serde(default)]
    #[schemars(range(min = 1, max = 15_000))]
    pub deadline_ms: Option<u32>,
}

/// A kind of batch work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Failure domains that may run it.
    #[schemars(length(min = 1, max = 64), extend("items" = {"type": "string", "format": "name"}))]
    pub failure_domains: Vec<SmolStr>,
    /// Size of one task, where the job states none.
    pub size: Size,
    /// Expected run time of one task in milliseconds, where the job states none.
    #[schemars(range(min = 1))]
    pub run_ms: u64,
    /// Time from submission by which a job should have ended, in milliseconds, where the job states none.
    #[serde(default)]
    #[schemars(range(min = 1))]
    pub finish_within_ms: Option<u64>,
}

fn default_slots_per_server() -> u32 {
    8
}

fn default_connections_per_server() -> u32 {
    64
}

fn default_window_s() -> u32 {
    2_592_000
}

impl From<Size> for Resources {
    fn from(size: Size) -> Self {
        Self {
            millicores: size.millicores,
            memory_mib: size.memory_mib,
            accelerators: size.accelerators,
        }
    }
}

impl From<Quota> for Resources {
    fn from(quota: Quota) -> Self {
        Self {
            millicores: quota.millicores,
            memory_mib: quota.memory_mib,
            accelerators: quota.accelerators,
        }
    }
}

impl From<ObjectiveWeights> for Objective {
    fn from(weights: ObjectiveWeights) -> Self {
        Self {
            latency_permille: weights.latency_permille,
            throughput_permille: weights.throughput_permille,
            eviction_permille: weights.eviction_permille,
        }
    }
}

impl Service {
    /// Returns the default deadline of `operation` in milliseconds, or `None` if the service has no such operation.
    #[must_use]
    pub fn deadline_ms(&self, operation: &str) -> Option<u32> {
        let operation = self.operations.get(operation)?;
        Some(operation.deadline_ms.unwrap_or(self.deadline_ms))
    }
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns every fault with its position and the expected value.
    pub fn read(text: &str) -> Result<Self, Faults> {
        Self::read_for(text, None)
    }

    /// Parses and validates a document, which must belong to `team` if one is given.
    ///
    /// # Errors
    ///
    /// Returns every fault with its position and the expected value.
    pub fn read_for(text: &str, team: Option<&str>) -> Result<Self, Faults> {
        check::read(text, |document: &Self, sink| {
            if let Some(team) = team.filter(|team| document.team != *team) {
                sink.add(
                    &["team"],
                    format!("{:?}", document.team),
                    format!("{team:?}"),
                );
            }
            document.rules(sink);
        })
    }

    /// The JSON Schema of documents.
    #[must_use]
    pub fn schema() -> serde_json::Value {
        schemars::schema_for!(Self).to_value()
    }

    fn rules(&self, sink: &mut FaultSink<'_>) {
        if self.services.is_empty() && self.batch.is_empty() {
            sink.add(&[], "no service and no batch work", "at least one of them");
        }
        let weights = self.objective;
        let parts = [
            weights.latency_permille,
            weights.throughput_permille,
            weights.eviction_permille,
        ];
        let sum: u64 = parts.into_iter().map(u64::from).sum();
        if sum != 1_000 {
            let found = format!("weights that add up to {sum}");
            sink.add(&["objective"], found, "weights that add up to 1000");
        }
        for (name, service) in &self.services {
            let path = ["services", name.as_str()];
            self.check_service(&path, service, sink);
        }
        for (name, batch) in &self.batch {
            let path = ["batch", name.as_str()];
            if self.services.contains_key(name) {
                let found = format!("{name:?} as a service and as batch work");
                sink.add(&path, found, "a name that no service has");
            }
            self.check_size(&path, batch.size, sink);
            check_unique(&path, &batch.failure_domains, sink);
        }
    }

    fn check_service(&self, path: &[&str; 2], service: &Service, sink: &mut FaultSink<'_>) {
        self.check_size(path, service.size, sink);
        check_unique(path, &service.failure_domains, sink);
        if self.quota.slots == 0 {
            let expected = "at least 1, since the team has latency-critical services";
            sink.add(&["quota", "slots"], "0", expected);
        }
        let latency_ms = service.target.latency_ms;
        if latency_ms > service.deadline_ms {
            let found = format!("{latency_ms}, which is longer than the deadline");
            let expected = format!("at most deadline_ms, {}", service.deadline_ms);
            sink.add(&[path[0], path[1], "target", "latency_ms"], found, expected);
        }
        if service.slots_per_server > service.connections_per_server {
            let found = format!(
                "{}, which is more than the connections",
                service.slots_per_server
            );
            let most = service.connections_per_server;
            let expected = format!("at most connections_per_server, {most}");
            sink.add(&[path[0], path[1], "slots_per_server"], found, expected);
        }
    }

    fn check_size(&self, path: &[&str; 2], size: Size, sink: &mut FaultSink<'_>) {
        let fields = [
            ("millicores", size.millicores, self.quota.millicores),
            ("memory_mib", size.memory_mib, self.quota.memory_mib),
            ("accelerators", size.accelerators, self.quota.accelerators),
        ];
        for (field, needed, allowed) in fields {
            if needed <= allowed {
                continue;
            }
            let found = format!("{needed}, which is more than the quota");
            let expected = format!("at most the team's quota, {allowed}");
            sink.add(&[path[0], path[1], "size", field], found, expected);
        }
    }
}

fn check_unique(path: &[&str; 2], names: &[SmolStr], sink: &mut FaultSink<'_>) {
    let mut seen = BTreeSet::new();
    for (at, name) in names.iter().enumerate() {
        if seen.insert(name) {
            continue;
        }
        let found = format!("{name:?} twice");
        let index = at.to_string();
        let path = [path[0], path[1], "failure_domains", &index];
        sink.add(&path, found, "each failure domain once");
    }
}
