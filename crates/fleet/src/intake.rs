//! Choice of the home shard of a job.
//!
//! A job stays in the failure domain that accepted it unless another one is clearly less loaded. A remote job crosses
//! the link between failure domains once, at acceptance; its requests and reports stay within its home.

use std::cmp::Reverse;

use crate::interference::InterferenceEstimate;
use crate::job::{JobSpec, StepSpec};
use crate::largest::LargestServer;
use crate::open_tasks::OpenTasks;
use crate::server::Server;
use crate::shard::{ServerKey, Shard, to_u32};

/// Load difference from which a job is homed in another failure domain: about the size of one job in a failure domain
/// of 16 servers.
const REMOTE_MARGIN_PERMILLE: u64 = 25;

/// Number of servers of a service whose free capacity is reported; each takes one task of another shard between two reports. When many
/// servers drain at once, hundreds of tasks are delegated within seconds.
const FREE_CAPACITIES_MAX: usize = 24;

/// Number of services of which that many servers are reported; more services share this number of servers.
const FULL_SHARES_MAX: usize = 4;

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
    /// Free capacity of the servers of each service with the most free CPU, and of some with further labels.
    #[prost(message, repeated, tag = "7")]
    pub free_capacity: Vec<FreeCapacity>,
    /// The same load by service, sorted by name; owners of earlier versions tell none.
    #[prost(message, repeated, tag = "8")]
    pub services: Vec<ServiceLoad>,
    /// What the shard holds and may hold; `None` for nothing and no limits, and from some owners of earlier versions.
    #[prost(message, optional, tag = "9")]
    pub open_tasks: Option<OpenTasks>,
    /// Whether the largest servers of each service are told; owners of earlier versions do not.
    #[prost(bool, tag = "10")]
    pub tells_largest: bool,
}

/// Load of the servers of one service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceLoad {
    #[prost(string, tag = "1")]
    pub name: String,
    /// CPU capacity of usable servers, in millicores.
    #[prost(uint64, tag = "2")]
    pub cpu_millis: u64,
    /// CPU requested by tasks other than best-effort ones, in millicores.
    #[prost(uint64, tag = "3")]
    pub cpu_requested_millis: u64,
    /// CPU capacity available to best-effort tasks, in millicores.
    #[prost(uint64, tag = "4")]
    pub best_effort_millis: u64,
    /// CPU requested by best-effort tasks, in millicores.
    #[prost(uint64, tag = "5")]
    pub best_effort_requested_millis: u64,
    /// Labels of the usable servers, as positions in [`Load::labels`], sorted.
    #[prost(uint32, repeated, tag = "6")]
    pub labels: Vec<u32>,
    /// Largest registered servers, also those that do not answer at present.
    #[prost(message, repeated, tag = "7")]
    pub largest: Vec<LargestServer>,
    /// CPU of the registered servers, in millicores.
    #[prost(uint64, tag = "8")]
    pub registered_cpu_millis: u64,
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
    /// Service of the server, as a position in [`Load::services`].
    #[prost(uint32, tag = "5")]
    pub service: u32,
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

    /// Whether a server of the report belongs to a service.
    pub(crate) fn is_of_service(&self, free: &FreeCapacity, service: &str) -> bool {
        let own = self.services.get(free.service as usize);
        own.map_or(self.services.is_empty(), |own| own.name == service)
    }

    /// Load of the servers of a service, or of all servers if the report does not tell services; `None` if no server or waiting
    /// task is of the service.
    fn of_service(&self, service: &str) -> Option<ServiceLoad> {
        if self.services.is_empty() {
            return Some(ServiceLoad {
                name: service.to_owned(),
                cpu_millis: self.cpu_millis,
                cpu_requested_millis: self.cpu_requested_millis,
                best_effort_millis: self.best_effort_millis,
                best_effort_requested_millis: self.best_effort_requested_millis,
                labels: (0..to_u32(self.labels.len())).collect(),
                ..ServiceLoad::default()
            });
        }
        self.service(service).cloned()
    }

    pub(crate) fn service(&self, service: &str) -> Option<&ServiceLoad> {
        let found = self.find_service(service).ok()?;
        Some(&self.services[found])
    }

    fn find_service(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|known| known.name.as_str().cmp(service))
    }

    pub(crate) fn service_mut(&mut self, service: &str) -> &mut ServiceLoad {
        let index = self.find_service(service).unwrap_or_else(|index| {
            let own = ServiceLoad {
                name: service.to_owned(),
                ..ServiceLoad::default()
            };
            self.services.insert(index, own);
            index
        });
        &mut self.services[index]
    }

    /// Labels of a server, as positions in the report's list.
    pub(crate) fn positions_of(&self, server: &Server) -> Vec<u32> {
        let labels = server.entry.labels.iter();
        let positions = labels.filter_map(|label| {
            let found = self.labels.binary_search_by(|own| own.as_str().cmp(label));
            found.ok().map(to_u32)
        });
        positions.collect()
    }

    /// Adds a job that was sent to the shard after the report.
    pub fn add(&mut self, job: &JobSpec) {
        let (is_best_effort, requested_millis) = demand(job);
        self.request(service_of(job), is_best_effort, requested_millis);
    }

    /// Adds tasks of a step that were sent to the shard after the report.
    pub(crate) fn add_tasks(&mut self, service: &str, step: &StepSpec) {
        let millis = u64::from(step.tasks) * u64::from(step.cpu_millis);
        self.request(service, step.best_effort, millis);
    }

    fn request(&mut self, service: &str, is_best_effort: bool, millis: u64) {
        let own = self.find_service(service).ok();
        let mut own = own.map(|found| &mut self.services[found]);
        if is_best_effort {
            self.best_effort_requested_millis += millis;
            if let Some(own) = &mut own {
                own.best_effort_requested_millis += millis;
            }
        } else {
            self.cpu_requested_millis += millis;
            if let Some(own) = &mut own {
                own.cpu_requested_millis += millis;
            }
        }
    }

    /// Whether the servers have more CPU than running and waiting tasks request.
    pub(crate) fn has_spare(&self) -> bool {
        self.cpu_requested_millis < self.cpu_millis
            || self.best_effort_requested_millis < self.best_effort_millis
    }

    /// Whether the servers of a service have the CPU for some tasks of a step besides what running and waiting tasks request.
    pub(crate) fn covers(&self, service: &str, step: &StepSpec, tasks: u32) -> bool {
        let Some(load) = self.of_service(service) else {
            return false;
        };
        let millis = u64::from(tasks) * u64::from(step.cpu_millis);
        if step.best_effort {
            load.best_effort_requested_millis + millis <= load.best_effort_millis
        } else {
            load.cpu_requested_millis + millis <= load.cpu_millis
        }
    }

    /// Permille of the capacity that would be requested including the job; `None` without usable servers.
    fn permille_with(&self, job: &JobSpec) -> Option<u64> {
        let load = self.of_service(service_of(job))?;
        let (is_best_effort, requested_millis) = demand(job);
        let (capacity, requested) = if is_best_effort {
            (load.best_effort_millis, load.best_effort_requested_millis)
        } else {
            (load.cpu_millis, load.cpu_requested_millis)
        };
        (load.cpu_millis > 0).then(|| (requested + requested_millis) * 1_000 / capacity.max(1))
    }

    /// Whether usable servers of a service have a label.
    fn lists(&self, service: &str, label: &str) -> bool {
        let found = self
            .labels
            .binary_search_by(|known| known.as_str().cmp(label));
        let Ok(position) = found.map(to_u32) else {
            return false;
        };
        self.of_service(service)
            .is_some_and(|load| load.labels.binary_search(&position).is_ok())
    }

    /// Whether usable servers of a service have a label, which may be empty.
    pub(crate) fn serves_label(&self, service: &str, label: &str) -> bool {
        self.of_service(service)
            .is_some_and(|load| load.cpu_millis > 0)
            && (label.is_empty() || self.lists(service, label))
    }

    /// Whether usable servers of the job's service have the labels that its steps need.
    fn serves(&self, job: &JobSpec) -> bool {
        let service = service_of(job);
        let mut labels = job.steps.iter().map(|step| step.label.as_str());
        labels.all(|label| self.serves_label(service, label))
    }
}

pub(crate) fn service_of(job: &JobSpec) -> &str {
    job.queue
        .as_ref()
        .map_or("", |queue| queue.service.as_str())
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

/// Index of the shard that should keep a job; `own_index` is the index of the accepting failure domain. Failure domains for
/// which `is_excluded` holds are not chosen; `None` if there is no other.
#[must_use]
pub fn choose_home(
    own_index: usize,
    loads: &[Option<&Load>],
    is_excluded: impl Fn(usize) -> bool,
    job: &JobSpec,
) -> Option<usize> {
    let allowed = |&index: &usize| !is_excluded(index);
    let known = |index: usize| loads[index].filter(|_| allowed(&index));
    // Where no shard has all that the job needs, it has to move between its steps in any case.
    let mut able_loads = (0..loads.len()).filter_map(known);
    let is_any_able = able_loads.any(|load| load.serves(job));
    let able = |index: usize| known(index).filter(|load| !is_any_able || load.serves(job));
    if let Some(rack) = job.data_rack() {
        let service = service_of(job);
        let has_rack = |&index: &usize| able(index).is_some_and(|load| load.lists(service, &rack));
        if let Some(index) = (0..loads.len()).find(has_rack) {
            return Some(index);
        }
    }
    let permille_at = |index: usize| able(index).and_then(|load| load.permille_with(job));
    // Without a load, another failure domain is as good as any; one whose owner answers is preferred.
    let mut fallbacks = std::iter::once(own_index).chain(0..loads.len());
    let answering = fallbacks.clone().find(|&index| known(index).is_some());
    let mut best_index = if allowed(&own_index) {
        own_index
    } else {
        answering.or_else(|| fallbacks.find(allowed))?
    };
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
    Some(best_index)
}

/// Adds a label to a sorted list. Returns whether it was new.
fn insert_label(labels: &mut Vec<String>, label: &str) -> bool {
    let found = labels.binary_search_by(|known| known.as_str().cmp(label));
    let Err(position) = found else { return false };
    labels.insert(position, label.to_owned());
    true
}

/// Distinct labels of servers, sorted.
fn labels_of<'a>(servers: impl Iterator<Item = &'a Server>) -> Vec<String> {
    let mut labels = Vec::new();
    for label in servers.flat_map(|server| &server.entry.labels) {
        insert_label(&mut labels, label);
    }
    labels
}

/// Servers whose free capacity is reported, of those with the most free CPU first: some of each service, and some with a label,
/// or accelerators, that none of these has.
fn servers_to_report<'a>(servers: &[&'a Server]) -> Vec<&'a Server> {
    let mut services: Vec<(&str, usize)> = Vec::new();
    for server in servers {
        let service = server.entry.service.as_str();
        if let Err(position) = services.binary_search_by_key(&service, |&(name, _)| name) {
            services.insert(position, (service, 0));
        }
    }
    let share = (FREE_CAPACITIES_MAX * FULL_SHARES_MAX / services.len().max(1))
        .clamp(1, FREE_CAPACITIES_MAX);
    let mut reported = Vec::new();
    let mut others = Vec::new();
    for &server in servers {
        let service = server.entry.service.as_str();
        let found = services.binary_search_by_key(&service, |&(name, _)| name);
        let Ok(position) = found else { continue };
        let count = &mut services[position].1;
        if *count < share {
            *count += 1;
            reported.push(server);
        } else {
            others.push(server);
        }
    }
    let mut labels = labels_of(reported.iter().copied());
    let mut has_gpus = reported.iter().any(|server| server.gpus_free() > 0);
    let mut rare = 0;
    for server in others {
        if rare >= RARE_CAPACITIES_MAX {
            break;
        }
        let mut is_rare = server.gpus_free() > 0 && !has_gpus;
        has_gpus |= is_rare;
        for label in &server.entry.labels {
            is_rare |= insert_label(&mut labels, label);
        }
        if is_rare {
            rare += 1;
            reported.push(server);
        }
    }
    reported
}

impl Shard {
    #[must_use]
    pub fn load_summary(&self, now_ms: u64) -> Load {
        let mut load = Load::default();
        let servers = self.servers.iter();
        let usable: Vec<(ServerKey, &Server)> = servers
            .filter(|(_, server)| server.is_usable(now_ms) && !self.is_evacuated())
            .collect();
        load.labels = labels_of(self.registered_servers());
        self.tell_largest(&mut load);
        let mut open: Vec<&Server> = Vec::new();
        for &(key, server) in &usable {
            let positions = load.positions_of(server);
            let own = load.service_mut(&server.entry.service);
            own.cpu_millis += u64::from(server.entry.cpu_millis);
            own.cpu_requested_millis += u64::from(server.cpu_used_millis);
            own.best_effort_millis += u64::from(Self::best_effort_capacity_millis(server));
            own.best_effort_requested_millis += u64::from(server.best_effort_used_millis);
            for position in positions {
                if let Err(index) = own.labels.binary_search(&position) {
                    own.labels.insert(index, position);
                }
            }
            // Such a server takes no other task for now.
            if server.suspected_run.is_none() && !self.has_trial_run(key) {
                open.push(server);
            }
        }
        for &task_ref in &self.ready {
            let Some(job) = self.jobs.get(task_ref.job) else {
                continue;
            };
            let step = self.step_spec(task_ref);
            let own = load.service_mut(&job.queue.service);
            if step.best_effort {
                own.best_effort_requested_millis += u64::from(step.cpu_millis);
            } else {
                own.cpu_requested_millis += u64::from(step.cpu_millis);
            }
        }
        let permille = self.reopened_permille(now_ms);
        for own in &mut load.services {
            if let Some(permille) = permille {
                own.cpu_millis = (own.cpu_millis * permille).div_ceil(1_000);
                own.best_effort_millis = (own.best_effort_millis * permille).div_ceil(1_000);
            }
            load.cpu_millis += own.cpu_millis;
            load.cpu_requested_millis += own.cpu_requested_millis;
            load.best_effort_millis += own.best_effort_millis;
            load.best_effort_requested_millis += own.best_effort_requested_millis;
        }
        open.sort_by_key(|server| Reverse(server.cpu_free_millis()));
        let mut reported = servers_to_report(&open);
        if let Some(permille) = permille {
            reported.sort_by_key(|server| server.is_cold(now_ms));
            let share = (reported.len() as u64 * permille).div_ceil(1_000);
            reported.truncate(usize::try_from(share).unwrap_or(usize::MAX));
        }
        for server in reported {
            let service = load.find_service(&server.entry.service);
            let free = FreeCapacity {
                cpu_millis: server.cpu_free_millis(),
                memory_mb: server.memory_free_mb(),
                gpus: server.gpus_free(),
                labels: load.positions_of(server),
                service: to_u32(service.unwrap_or_default()),
            };
            load.free_capacity.push(free);
        }
        let open_tasks = self.open_tasks(&load, now_ms);
        load.open_tasks = (open_tasks != OpenTasks::default()).then_some(open_tasks);
        load
    }
}
