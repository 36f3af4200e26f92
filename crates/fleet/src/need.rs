//! What waiting tasks need of servers, and which of the free capacity that other shards report meets it.

use smol_str::SmolStr;

use crate::intake::{FreeCapacity, Load};
use crate::job::{Queue, StepSpec};
use crate::server::{CONTACT_TIMEOUT_MS, Server};
use crate::shard::{Shard, TaskRef};

/// What a step needs of the servers of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Need {
    service: SmolStr,
    label: SmolStr,
    cpu_millis: u32,
    memory_mb: u32,
    gpus: u32,
    /// Tasks that have to fit at the same time: all members of a gang, else one.
    pub tasks: u32,
    /// Maximum number of them on one server; 0 for no limit.
    max_per_server: u32,
    best_effort: bool,
}

impl Need {
    pub(crate) fn of(queue: &Queue, step: &StepSpec) -> Self {
        Self {
            service: SmolStr::new(&queue.service),
            label: SmolStr::new(&step.label),
            cpu_millis: step.cpu_millis,
            memory_mb: step.memory_mb,
            gpus: step.gpus,
            tasks: if step.gang { step.tasks } else { 1 },
            max_per_server: if step.gang { step.max_per_server } else { 0 },
            best_effort: step.best_effort,
        }
    }

    /// The need of all tasks of a step, also if they need not start together.
    pub(crate) fn of_all(queue: &Queue, step: &StepSpec) -> Self {
        Self {
            tasks: step.tasks,
            max_per_server: step.max_per_server,
            ..Self::of(queue, step)
        }
    }

    /// How many tasks fit into the free capacity of a server of this shard.
    pub(crate) fn count_free_on(&self, server: &Server) -> u32 {
        let has_label = self.label.is_empty() || server.has_label(&self.label);
        if !has_label || server.entry.service != self.service {
            return 0;
        }
        // The headroom for best-effort tasks is known once one is to be placed.
        let cpu_millis = if self.best_effort {
            server.entry.cpu_millis
        } else {
            server.cpu_free_millis()
        };
        self.count_in(cpu_millis, server.memory_free_mb(), server.gpus_free())
    }

    /// The same need with idle CPU also for best-effort tasks.
    pub(crate) fn with_idle_cpu(self) -> Self {
        Self {
            best_effort: false,
            ..self
        }
    }

    /// How many tasks fit into an amount of CPU, memory and accelerators.
    fn count_in(&self, cpu_millis: u32, memory_mb: u32, gpus: u32) -> u32 {
        let parts = [
            cpu_millis.checked_div(self.cpu_millis),
            memory_mb.checked_div(self.memory_mb),
            gpus.checked_div(self.gpus),
            (self.max_per_server > 0).then_some(self.max_per_server),
        ];
        let least = parts.into_iter().flatten().min();
        least.unwrap_or(self.tasks).min(self.tasks)
    }

    /// How many tasks an empty server would take; none if it does not answer or is leaving.
    pub(crate) fn count_on(&self, server: &Server, now_ms: u64) -> u32 {
        let can_serve = server.is_placeable()
            && now_ms < server.last_contact_ms + CONTACT_TIMEOUT_MS
            && server.entry.service == self.service
            && (self.label.is_empty() || server.has_label(&self.label));
        if !can_serve {
            return 0;
        }
        let entry = &server.entry;
        self.count_in(entry.cpu_millis, entry.memory_mb, entry.gpus)
    }

    /// How many tasks fit into the free capacity of a server that another shard reports.
    pub(crate) fn count_in_free(&self, load: &Load, free: &FreeCapacity) -> u32 {
        let has_label = self.label.is_empty() || load.has_label(free, &self.label);
        if !has_label || !load.is_of_service(free, &self.service) {
            return 0;
        }
        // Reports do not tell the headroom for best-effort tasks.
        let cpu_millis = if self.best_effort {
            self.cpu_millis
        } else {
            free.cpu_millis
        };
        self.count_in(cpu_millis, free.memory_mb, free.gpus)
    }

    /// How many tasks fit into the free capacity that another shard reports.
    pub(crate) fn count_free(&self, load: &Load) -> u32 {
        let free = load.free_capacity.iter();
        let counts = free.map(|free| self.count_in_free(load, free));
        counts.fold(0, u32::saturating_add)
    }

    /// Subtracts a task from the free capacity that another shard reports.
    pub(crate) fn take_free(&self, load: &mut Load) {
        let mut servers = load.free_capacity.iter();
        let Some(position) = servers.position(|free| self.count_in_free(load, free) > 0) else {
            return;
        };
        let free = &mut load.free_capacity[position];
        if !self.best_effort {
            free.cpu_millis -= self.cpu_millis;
        }
        free.memory_mb -= self.memory_mb;
        free.gpus -= self.gpus;
    }
}

impl Shard {
    pub(crate) fn need_of(&self, task_ref: TaskRef) -> Need {
        Need::of(&self.jobs[task_ref.job].queue, self.step_spec(task_ref))
    }
}
