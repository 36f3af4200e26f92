//! Room for long-running tasks that have waited too long.
//!
//! Short tasks take each core that becomes free, so that room for a larger task never collects on one server. A server is
//! therefore reserved for each overdue task: no short task starts there until the overdue one has room.

use crate::shard::{ServerKey, Shard, TaskRef};

/// Wait after which a server is reserved for a long-running task; the service contract allows 6 s without a run, and room
/// has to collect meanwhile.
const RESERVE_AFTER_MS: u64 = 2_500;

/// One server in this many may be reserved: callers wait for short tasks.
const SERVERS_PER_RESERVATION: usize = 8;

impl Shard {
    /// Reserves a server for each overdue long-running task that has room nowhere.
    pub(crate) fn reserve_servers(&mut self, now_ms: u64) {
        self.reserved_servers.clear();
        let reservations_max = self.servers.len() / SERVERS_PER_RESERVATION;
        for task_ref in self.overdue_tasks(now_ms) {
            if self.reserved_servers.len() >= reservations_max {
                break;
            }
            let Some(server) = self.server_to_reserve(task_ref, now_ms) else {
                continue;
            };
            let position = self.reserved_servers.partition_point(|&key| key < server);
            self.reserved_servers.insert(position, server);
        }
    }

    /// Whether a server is kept free of short tasks.
    pub(crate) fn is_reserved(&self, key: ServerKey) -> bool {
        self.reserved_servers.binary_search(&key).is_ok()
    }

    /// Waiting long-running tasks that are overdue, the longest wait first.
    fn overdue_tasks(&self, now_ms: u64) -> Vec<TaskRef> {
        let mut overdue = Vec::new();
        for &task_ref in &self.ready {
            let Some(job) = self.jobs.get(task_ref.job) else {
                continue;
            };
            let task = self.task(task_ref);
            let is_waiting = job.is_live() && task.queued && task.runs.is_empty();
            let is_overdue = now_ms >= task.ready_since_ms + RESERVE_AFTER_MS;
            if is_waiting && is_overdue && self.step_spec(task_ref).long_running {
                overdue.push((task.ready_since_ms, task_ref));
            }
        }
        overdue.sort_unstable();
        overdue.into_iter().map(|(_, task_ref)| task_ref).collect()
    }

    /// The usable server with the most free CPU of those that would have room for a task without their short tasks.
    fn server_to_reserve(&self, task_ref: TaskRef, now_ms: u64) -> Option<ServerKey> {
        let spec = self.step_spec(task_ref);
        let service = &self.jobs[task_ref.job].queue.service;
        let candidates = self.servers.iter().filter(|(key, server)| {
            let without_short_millis = server
                .entry
                .cpu_millis
                .saturating_sub(server.service_used_millis);
            server.is_usable(now_ms)
                && server.entry.service == *service
                && without_short_millis >= spec.cpu_millis
                && (spec.label.is_empty() || server.has_label(&spec.label))
                && !self.is_reserved(*key)
        });
        let freest = candidates.max_by_key(|(_, server)| server.cpu_free_millis());
        freest.map(|(key, _)| key)
    }
}
