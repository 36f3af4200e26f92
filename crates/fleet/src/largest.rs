//! The largest servers of each service, by which hosts tell whether a step could ever run.

use smol_str::SmolStr;

use crate::intake::{Load, ServiceLoad};
use crate::job::StepSpec;
use crate::server::Server;
use crate::shard::{Shard, to_u32};

/// Size of servers, and the labels for which no server of the service is larger in all respects.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LargestServer {
    /// CPU in millicores.
    #[prost(uint32, tag = "1")]
    pub cpu_millis: u32,
    #[prost(uint32, tag = "2")]
    pub memory_mb: u32,
    /// Accelerators.
    #[prost(uint32, tag = "3")]
    pub gpus: u32,
    /// Positions in [`Load::labels`], sorted.
    #[prost(uint32, repeated, tag = "4")]
    pub labels: Vec<u32>,
    /// Whether no server of the service, with whatever labels, is larger.
    #[prost(bool, tag = "5")]
    pub of_all: bool,
}

/// CPU, memory and accelerators of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Size {
    cpu_millis: u32,
    memory_mb: u32,
    gpus: u32,
}

impl Size {
    fn of(server: &Server) -> Self {
        let entry = &server.entry;
        Self {
            cpu_millis: entry.cpu_millis,
            memory_mb: entry.memory_mb,
            gpus: entry.gpus,
        }
    }

    fn covers(self, other: Self) -> bool {
        self.cpu_millis >= other.cpu_millis
            && self.memory_mb >= other.memory_mb
            && self.gpus >= other.gpus
    }
}

/// Adds a size to those that no other covers.
fn insert_maximal(sizes: &mut Vec<Size>, size: Size) {
    if sizes.iter().any(|known| known.covers(size)) {
        return;
    }
    sizes.retain(|&known| !size.covers(known));
    sizes.push(size);
}

/// Collects the largest servers of one service.
#[derive(Debug, Default)]
pub(crate) struct LargestServers {
    of_all: Vec<Size>,
    /// Sorted by the position of the label.
    of_labels: Vec<(u32, Vec<Size>)>,
}

impl LargestServers {
    pub(crate) fn add(&mut self, server: &Server, labels: &[u32]) {
        let size = Size::of(server);
        insert_maximal(&mut self.of_all, size);
        for &label in labels {
            let found = self
                .of_labels
                .binary_search_by_key(&label, |&(known, _)| known);
            let index = found.unwrap_or_else(|index| {
                self.of_labels.insert(index, (label, Vec::new()));
                index
            });
            insert_maximal(&mut self.of_labels[index].1, size);
        }
    }

    /// One entry for each distinct size.
    pub(crate) fn into_entries(self) -> Vec<LargestServer> {
        let mut entries: Vec<LargestServer> = Vec::new();
        for size in self.of_all {
            entry_of(&mut entries, size).of_all = true;
        }
        for (label, sizes) in self.of_labels {
            for size in sizes {
                entry_of(&mut entries, size).labels.push(label);
            }
        }
        entries
    }
}

fn entry_of(entries: &mut Vec<LargestServer>, size: Size) -> &mut LargestServer {
    let found = entries.iter().position(|entry| entry.size() == size);
    let index = found.unwrap_or(entries.len());
    if found.is_none() {
        entries.push(LargestServer {
            cpu_millis: size.cpu_millis,
            memory_mb: size.memory_mb,
            gpus: size.gpus,
            ..LargestServer::default()
        });
    }
    &mut entries[index]
}

impl LargestServer {
    fn size(&self) -> Size {
        Size {
            cpu_millis: self.cpu_millis,
            memory_mb: self.memory_mb,
            gpus: self.gpus,
        }
    }
}

impl ServiceLoad {
    /// Whether a server could run a task of a step if it were empty. All members of a gang need the CPU of all servers.
    fn could_run(&self, step: &StepSpec, label: Option<u32>) -> bool {
        let needed = Size {
            cpu_millis: step.cpu_millis,
            memory_mb: step.memory_mb,
            gpus: step.gpus,
        };
        let gang_millis = u64::from(step.tasks) * u64::from(step.cpu_millis);
        if step.gang && gang_millis > self.registered_cpu_millis {
            return false;
        }
        self.largest.iter().any(|largest| {
            let has_label = label.map_or(largest.of_all, |label| {
                largest.labels.binary_search(&label).is_ok()
            });
            has_label && largest.size().covers(needed)
        })
    }
}

impl Load {
    /// Whether a registered server of a service could run a task of a step.
    pub(crate) fn could_run(&self, service: &str, step: &StepSpec) -> bool {
        if !self.tells_largest {
            // An owner of an earlier version tells labels only.
            return self.serves_label(service, &step.label);
        }
        let Some(own) = self.service(service) else {
            return false;
        };
        if step.label.is_empty() {
            return own.could_run(step, None);
        }
        let label = self
            .labels
            .binary_search_by(|known| known.as_str().cmp(&step.label));
        label.is_ok_and(|position| own.could_run(step, Some(to_u32(position))))
    }
}

impl Shard {
    /// Servers that this shard knows of and that are not leaving, also those that do not answer at present; none if its
    /// failure domain is evacuated.
    pub(crate) fn registered_servers(&self) -> impl Iterator<Item = &Server> {
        let is_evacuated = self.is_evacuated();
        let servers = self.servers.values();
        servers.filter(move |server| {
            !is_evacuated && server.registered && server.draining_since_ms.is_none()
        })
    }

    /// Adds the largest servers of each service to a load whose labels are complete.
    pub(crate) fn tell_largest(&self, load: &mut Load) {
        let mut by_service: Vec<(SmolStr, LargestServers)> = Vec::new();
        for server in self.registered_servers() {
            let service = &server.entry.service;
            let found = by_service.binary_search_by(|(known, _)| known.cmp(service));
            let index = found.unwrap_or_else(|index| {
                by_service.insert(index, (service.clone(), LargestServers::default()));
                index
            });
            by_service[index].1.add(server, &load.positions_of(server));
            load.service_mut(service).registered_cpu_millis += u64::from(server.entry.cpu_millis);
        }
        for (service, largest) in by_service {
            load.service_mut(&service).largest = largest.into_entries();
        }
        load.tells_largest = !self.is_evacuated();
    }
}
