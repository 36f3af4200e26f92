//! Choice of the home shard of a job.
//!
//! A job stays in the failure domain that accepted it unless another one is clearly less loaded. A remote job crosses
//! the link between failure domains once, at acceptance; its requests and reports stay within its home.

use std::cmp::Reverse;

use smol_str::SmolStr;

use crate::interference::InterferenceEstimate;
use crate::job::{JobSpec, StepSpec};
use crate::server::Server;
use crate::shard::{Shard, to_u32};

/// Load difference from which a job is homed in another failure domain: about the size of one job in a failure domain
/// of 16 servers.
const REMOTE_MARGIN_PERMILLE: u64 = 25;

/// Number of servers whose free capacity is reported; each takes one task of another shard between two reports. When many
/// servers drain at once, hundreds of tasks are delegated within seconds.
const FREE_CAPACITIES_MAX: usize = 24;

/// Number of further servers that are reported since they have a label, or accelerators, that none of the others has.
const RARE_CAPACITIES_MAX: usize = 24;

/// Load of a shard as reported by its owner. Waiting tasks count as if they were running.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// CPU capacity of usable servers, in millicores.
    #[prost(uint64, tag = "1")]
    pub cpu_millis: u64,
    /// CPU requested by tasks other than best-effort ones, in millicores.
    #[prost(uint64, tag = "2")]
    pub cpu_requested_millis: u64,
    /// CPU capacity available to best-effort tasks, in millicores.
    #[prost(uint64, tag = "3")]
    pub best_effort_millis: u64,
    /// CPU requested by best-effort tasks, in millicores.
    #[prost(uint64, tag = "4")]
    pub best_effort_requested_millis: u64,
    /// Distinct labels of the usable servers, racks among them, sorted.
    #[prost(string, repeated, tag = "5")]
    pub labels: Vec<String>,
    /// Interference estimates that the owner has learned, in replies to hosts that asked for them.
    #[prost(message, repeated, tag = "6")]
    pub interference: Vec<InterferenceEstimate>,
    /// Free capacity of the servers with the most free CPU, in descending order, and of some with further labels.
    #[prost(message, repeated, tag = "7")]
    pub free_capacity: Vec<FreeCapacity>,
}

/// Free capacity of one server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FreeCapacity {
    /// CPU in millicores.
    #[prost(uint32, tag = "1")]
    pub cpu_millis: u32,
    #[prost(uint32, tag = "2")]
    pub memory_mb: u32,
    /// Accelerators.
    #[prost(uint32, tag = "3")]
    pub gpus: u32,
    /// Labels of the server, as positions in [`Load::labels`].
    #[prost(uint32, repeated, tag = "4")]
    pub labels: Vec<u32>,
}

impl Load {
    /// Whether a server of the report has a label.
    pub(crate) fn has_label(&self, free: &FreeCapacity, label: &str) -> bool {
        let mut labels = free.labels.iter();
        labels.any(|&position| {
            let own = self.labels.get(position as usize);
            own.is_some_and(|own| own == label)
        })
    }

    /// Adds a job that was sent to the shard after the report.
    pub fn add(&mut self, job: &JobSpec) {
        let (is_best_effort, requested_millis) = demand(job);
        if is_best_effort {
            self.best_effort_requested_millis += requested_millis;
        } else {
            self.cpu_requested_millis += requested_millis;
        }
    }

    /// Adds tasks of a step that were sent to the shard after the report.
    pub(crate) fn request(&mut self, step: &StepSpec, tasks: u32) {
        let millis = u64::from(tasks) * u64::from(step.cpu_millis);
        if step.best_effort {
            self.best_effort_requested_millis += millis;
        } else {
            self.cpu_requested_millis += millis;
        }
    }

    /// Whether the shard has more CPU than running and waiting tasks request.
    pub(crate) fn has_spare(&self) -> bool {
        self.cpu_requested_millis < self.cpu_millis
            || self.best_effort_requested_millis < self.best_effort_millis
    }

    /// Whether the shard has the CPU for some tasks of a step besides what running and waiting tasks request.
    pub(crate) fn covers(&self, step: &StepSpec, tasks: u32) -> bool {
        let millis = u64::from(tasks) * u64::from(step.cpu_millis);
        if step.best_effort {
            self.best_effort_requested_millis + millis <= self.best_effort_millis
        } else {
            self.cpu_requested_millis + millis <= self.cpu_millis
        }
    }

    /// Permille of the capacity that would be requested including the job; `None` without usable servers.
    fn permille_with(&self, job: &JobSpec) -> Option<u64> {
        let (is_best_effort, requested_millis) = demand(job);
        let (capacity, requested) = if is_best_effort {
            (self.best_effort_millis, self.best_effort_requested_millis)
        } else {
            (self.cpu_millis, self.cpu_requested_millis)
        };
        (self.cpu_millis > 0).then(|| (requested + requested_millis) * 1_000 / capacity.max(1))
    }
}

/// CPU requested by the steps of a job that can start at once, in millicores, and whether all of these are best-effort.
fn demand(job: &JobSpec) -> (bool, u64) {
    let first = job.steps.iter().filter(|step| step.after.is_empty());
    let requested_millis = first
        .clone()
        .map(|step| u64::from(step.tasks) * u64::from(step.cpu_millis))
        .sum();
    (first.clone().all(|step| step.best_effort), requested_millis)
}

/// Index of the shard that should keep a job; `own_index` is the index of the accepting failure domain.
#[must_use]
pub fn choose_home(own_index: usize, loads: &[Option<&Load>], job: &JobSpec) -> usize {
    if let Some(rack) = job.data_rack() {
        let has_rack = |load: Option<&Load>| {
            load.is_some_and(|load| {
                load.labels
                    .binary_search_by(|label| label.as_str().cmp(&rack))
                    .is_ok()
            })
        };
        if let Some(index) = loads.iter().position(|load| has_rack(*load)) {
            return index;
        }
    }
    let permille_at = |index: usize| loads[index].and_then(|load| load.permille_with(job));
    let mut best_index = own_index;
    let mut least_permille = permille_at(own_index).map_or(u64::MAX, |permille| {
        permille.saturating_sub(REMOTE_MARGIN_PERMILLE)
    });
    for index in 0..loads.len() {
        let Some(permille) = permille_at(index) else {
            continue;
        };
        if index != own_index && permille < least_permille {
            best_index = index;
            least_permille = permille;
        }
    }
    best_index
}

/// Servers whose free capacity is reported, of some with the most free CPU first. A label, or accelerators, may be rare.
fn servers_to_report<'a>(servers: &[&'a Server]) -> Vec<&'a Server> {
    let (freest, others) = servers.split_at(servers.len().min(FREE_CAPACITIES_MAX));
    let mut reported = freest.to_vec();
    let mut labels: Vec<&str> = Vec::new();
    let mut has_gpus = false;
    for server in freest {
        labels.extend(server.entry.labels.iter().map(SmolStr::as_str));
        has_gpus |= server.gpus_free() > 0;
    }
    labels.sort_unstable();
    labels.dedup();
    for server in others {
        if reported.len() >= FREE_CAPACITIES_MAX + RARE_CAPACITIES_MAX {
            break;
        }
        let mut is_rare = server.gpus_free() > 0 && !has_gpus;
        has_gpus |= is_rare;
        for label in &server.entry.labels {
            if let Err(position) = labels.binary_search(&label.as_str()) {
                labels.insert(position, label);
                is_rare = true;
            }
        }
        if is_rare {
            reported.push(server);
        }
    }
    reported
}

impl Shard {
    #[must_use]
    pub fn load_summary(&self, now_ms: u64) -> Load {
        let mut load = Load::default();
        let mut servers: Vec<&Server> = Vec::new();
        for (key, server) in &self.servers {
            if !server.is_usable(now_ms) {
                continue;
            }
            load.cpu_millis += u64::from(server.entry.cpu_millis);
            load.cpu_requested_millis += u64::from(server.cpu_used_millis);
            load.best_effort_millis += u64::from(Self::best_effort_capacity_millis(server));
            load.best_effort_requested_millis += u64::from(server.best_effort_used_millis);
            load.labels
                .extend(server.entry.labels.iter().map(ToString::to_string));
            // Such a server takes no other task for now.
            if server.suspected_run.is_none() && !self.has_trial_run(key) {
                servers.push(server);
            }
        }
        load.labels.sort();
        load.labels.dedup();
        servers.sort_by_key(|server| Reverse(server.cpu_free_millis()));
        for server in servers_to_report(&servers) {
            let positions = server.entry.labels.iter().filter_map(|label| {
                let found = load.labels.binary_search_by(|own| own.as_str().cmp(label));
                found.ok().map(to_u32)
            });
            let free = FreeCapacity {
                cpu_millis: server.cpu_free_millis(),
                memory_mb: server.memory_free_mb(),
                gpus: server.gpus_free(),
                labels: positions.collect(),
            };
            load.free_capacity.push(free);
        }
        for &task_ref in &self.ready {
            if !self.jobs.contains_key(task_ref.job) {
                continue;
            }
            let step = self.step_spec(task_ref);
            if step.best_effort {
                load.best_effort_requested_millis += u64::from(step.cpu_millis);
            } else {
                load.cpu_requested_millis += u64::from(step.cpu_millis);
            }
        }
        load
    }
}
