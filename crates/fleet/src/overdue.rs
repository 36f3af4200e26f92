//! Room for long-running tasks that have waited too long.
//!
//! Short tasks take each core that becomes free, so that room for a larger task never collects on one server. A server is
//! therefore reserved for each overdue task for some time: no short task starts there meanwhile.

use crate::shard::{ServerKey, Shard, TaskRef};

/// Wait after which a server is reserved for a long-running task; the service contract allows 6 s without a run, and room
/// has to collect meanwhile.
const RESERVE_AFTER_MS: u64 = 2_500;

/// Wait until which a server is reserved: a task that has not started by then waits for something else than room.
const RESERVE_UNTIL_MS: u64 = 12_000;

/// One server in this many of a service may be reserved: callers wait for short tasks.
const SERVERS_PER_RESERVATION: usize = 8;

impl Shard {
    /// Reserves a server for each overdue long-running task, up to the limit. One that has room already starts in the same
    /// plan.
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
            let waited_ms = now_ms.saturating_sub(task.ready_since_ms);
            let is_overdue = (RESERVE_AFTER_MS..RESERVE_UNTIL_MS).contains(&waited_ms);
            let spec = self.step_spec(task_ref);
            let needs_room = spec.long_running && !spec.best_effort;
            if is_waiting && is_overdue && needs_room && !self.is_start_postponed(task_ref, now_ms)
            {
                overdue.push((task.ready_since_ms, task_ref));
            }
        }
        overdue.sort_unstable();
        overdue.into_iter().map(|(_, task_ref)| task_ref).collect()
    }

    /// The server with the most free CPU of those that would have room for a task without their short tasks; `None` if
    /// enough servers of the service are reserved.
    fn server_to_reserve(&self, task_ref: TaskRef, now_ms: u64) -> Option<ServerKey> {
        let service = &self.jobs[task_ref.job].queue.service;
        let mut usable = 0;
        let mut reserved = 0;
        let mut freest: Option<(u32, ServerKey)> = None;
        for (key, server) in &self.servers {
            if !server.is_usable(now_ms) || server.entry.service != *service {
                continue;
            }
            usable += 1;
            if self.is_reserved(key) {
                reserved += 1;
                continue;
            }
            let free = server.cpu_free_millis();
            if self.has_advisor(task_ref) && !self.step_state(task_ref).advice.is_allowed(key) {
                continue;
            }
            let is_freer = freest.is_none_or(|(most, _)| free > most);
            if is_freer && self.would_fit_without_short_tasks(task_ref, key) {
                freest = Some((free, key));
            }
        }
        let (_, server) = freest?;
        (reserved < usable / SERVERS_PER_RESERVATION).then_some(server)
    }

    /// Whether a server could be reserved for a task if the advisor allowed it.
    pub(crate) fn could_be_reserved(&self, task_ref: TaskRef, key: ServerKey, now_ms: u64) -> bool {
        let waited_ms = now_ms.saturating_sub(self.task(task_ref).ready_since_ms);
        let spec = self.step_spec(task_ref);
        let server = &self.servers[key];
        waited_ms >= RESERVE_AFTER_MS
            && spec.long_running
            && !spec.best_effort
            && server.is_usable(now_ms)
            && server.entry.service == self.jobs[task_ref.job].queue.service
            && self.would_fit_without_short_tasks(task_ref, key)
    }

    fn would_fit_without_short_tasks(&self, task_ref: TaskRef, key: ServerKey) -> bool {
        let spec = self.step_spec(task_ref);
        let server = &self.servers[key];
        let mut cpu_millis = server.entry.cpu_millis;
        let mut memory_mb = server.entry.memory_mb;
        for &(other, _) in &server.runs {
            let other = self.step_spec(other);
            if other.best_effort {
                memory_mb = memory_mb.saturating_sub(other.memory_mb);
            } else if other.long_running {
                cpu_millis = cpu_millis.saturating_sub(other.cpu_millis);
                memory_mb = memory_mb.saturating_sub(other.memory_mb);
            }
        }
        cpu_millis >= spec.cpu_millis
            && memory_mb >= spec.memory_mb
            && server.entry.gpus >= spec.gpus
            && (spec.label.is_empty() || server.has_label(&spec.label))
    }
}
