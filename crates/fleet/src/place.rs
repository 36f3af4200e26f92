//! Choice of a server for a task.

use crate::headroom::floor_u32;
use crate::shard::{ServerKey, Shard, TaskRef, to_u32};

/// Minimum rate for a throttled start; a task of 2 s then takes half a minute.
const THROTTLED_START_MIN_PERCENT: u32 = 8;

/// Time for which a task avoids servers on which it failed; if another server gets free capacity at all, it does so
/// within a few polls.
pub(crate) const AVOID_FAILED_SERVER_MS: u64 = 1_500;

/// Rate for a forced start on a server without headroom: barely noticeable to service tasks, and enough to keep the
/// task going.
const FORCED_START_RATE_PERCENT: u32 = 4;

/// Rate from which a run shows whether a server on trial works: it then ends in twice its time at most.
const TRIAL_RATE_MIN_PERCENT: u32 = 50;

/// Placement cost of a server outside the rack of the data; above all costs of load.
const OFF_RACK_COST: u64 = 1 << 40;

/// Placement cost of a cold server for tasks that callers wait for; below that of another rack, above all costs of load.
const COLD_SERVER_COST: u64 = 1 << 39;

/// Placement cost of a server that crashed under the task; above that of another rack.
const CRASHED_SERVER_COST: u64 = 1 << 50;

/// Runs of one server beside which no task starts there that requests less than the same share of its CPU. Tasks without
/// a request fit any server in any number: without a bound, one plan started 20,000 of them on one server, and the process
/// stood still for 9 s (debug build).
const RUNS_PER_SERVER_MAX: usize = 512;

/// Result of choosing a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    Server(ServerKey),
    /// No server has free capacity at present.
    NoCapacity,
}

impl Shard {
    /// Chooses the server with the lowest placement cost, optionally within a rack.
    pub(crate) fn choose(&self, task_ref: TaskRef, rack: Option<&str>, now_ms: u64) -> Choice {
        let mut best: Option<(u64, ServerKey)> = None;
        let preferred = self.server_of_abandoned_start(task_ref, now_ms);
        for (key, _) in &self.servers {
            if !self.fits(task_ref, key, now_ms) {
                continue;
            }
            if let Some(rack) = rack
                && !self.servers[key].has_label(rack)
            {
                continue;
            }
            if self.step_spec(task_ref).best_effort
                && (self.is_over_target(key) || !self.has_headroom(task_ref, key, now_ms))
            {
                continue;
            }
            // Another crash of the same server would not tell whether it is the server or the task.
            let has_crashed = self.task(task_ref).crashed_servers.contains(&key);
            let crash_cost = u64::from(has_crashed) * CRASHED_SERVER_COST;
            let placement_cost = if preferred == Some(key) {
                crash_cost
            } else {
                crash_cost + self.placement_cost(task_ref, key, now_ms)
            };
            if best.is_none_or(|(least, _)| placement_cost < least) {
                best = Some((placement_cost, key));
            }
        }
        best.map_or(Choice::NoCapacity, |(_, key)| Choice::Server(key))
    }

    /// Chooses a server on which a best-effort task may run throttled, and its rate in percent. With `force`, the task
    /// gets [`FORCED_START_RATE_PERCENT`] if no server sustains more.
    pub(crate) fn choose_throttled(
        &self,
        task_ref: TaskRef,
        force: bool,
        now_ms: u64,
    ) -> Option<(ServerKey, u32)> {
        let servers = self
            .servers
            .keys()
            .filter(|&key| self.fits(task_ref, key, now_ms) && !self.is_over_target(key));
        let rates = servers.map(|key| (key, self.sustainable_rate_percent(task_ref, key, now_ms)));
        let (server, percent) = rates.max_by_key(|&(_, percent)| percent)?;
        if percent >= THROTTLED_START_MIN_PERCENT {
            return Some((server, percent));
        }
        force.then_some((server, FORCED_START_RATE_PERCENT))
    }

    /// Whether a server may run a task now, headroom of best-effort tasks aside.
    pub(crate) fn fits(&self, task_ref: TaskRef, key: ServerKey, now_ms: u64) -> bool {
        self.has_ticket(task_ref, key, now_ms) && self.fits_without_ticket(task_ref, key, now_ms)
    }

    /// The same whatever the advisor allows.
    pub(crate) fn fits_without_ticket(
        &self,
        task_ref: TaskRef,
        key: ServerKey,
        now_ms: u64,
    ) -> bool {
        let server = &self.servers[key];
        let job = &self.jobs[task_ref.job];
        let spec = &job.spec.steps[task_ref.step as usize];
        if !server.is_usable(now_ms) || server.entry.service != job.queue.service {
            return false;
        }
        let least_millis = (server.entry.cpu_millis / to_u32(RUNS_PER_SERVER_MAX)).max(1);
        if server.runs.len() >= RUNS_PER_SERVER_MAX && spec.cpu_millis < least_millis {
            return false;
        }
        let is_short = !spec.long_running && !spec.best_effort;
        if is_short && self.is_reserved(key) {
            return false;
        }
        if self.has_trial_run(key) || self.crash_would_be_ambiguous(task_ref, key, now_ms) {
            return false;
        }
        if spec.memory_mb > server.memory_free_mb() || spec.gpus > server.gpus_free() {
            return false;
        }
        if spec.best_effort {
            let used_millis = u64::from(server.best_effort_used_millis);
            if used_millis + u64::from(spec.cpu_millis)
                > u64::from(Self::best_effort_capacity_millis(server))
            {
                return false;
            }
        } else if spec.cpu_millis > server.cpu_free_millis() {
            return false;
        }
        if !spec.label.is_empty() && !server.has_label(&spec.label) {
            return false;
        }
        let task = self.task(task_ref);
        if task.avoids_servers(now_ms) && task.avoided_servers.contains(&key) {
            return false;
        }
        if spec.max_per_server == 0 {
            return true;
        }
        let same_step = |other: &TaskRef| {
            other.job == task_ref.job
                && other.occurrence == task_ref.occurrence
                && other.step == task_ref.step
        };
        let count = server
            .runs
            .iter()
            .filter(|(other, _)| same_step(other))
            .count();
        to_u32(count) < spec.max_per_server
    }

    /// Whether a server on trial already has a run that will show whether it works again. Runs started before the
    /// suspension do not count, since long-running ones may never end, nor do throttled ones, which hardly progress.
    pub(crate) fn has_trial_run(&self, key: ServerKey) -> bool {
        let server = &self.servers[key];
        let Some(since_ms) = server.suspension.trial_since_ms() else {
            return false;
        };
        server.runs.iter().any(|&(task_ref, number)| {
            let task = self.task(task_ref);
            task.run_position(key, number).is_some_and(|position| {
                let run = &task.runs[position];
                run.start_sent_ms >= since_ms && run.rate_percent >= TRIAL_RATE_MIN_PERCENT
            })
        })
    }

    /// CPU capacity for best-effort tasks: all but that of short tasks, since service tasks leave most of their CPU
    /// idle.
    pub(crate) fn best_effort_capacity_millis(server: &crate::server::Server) -> u32 {
        let short_task_millis = server
            .cpu_used_millis
            .saturating_sub(server.service_used_millis);
        server.entry.cpu_millis.saturating_sub(short_task_millis)
    }

    /// Cost of placing a task on a server; lower is better.
    fn placement_cost(&self, task_ref: TaskRef, key: ServerKey, now_ms: u64) -> u64 {
        let server = &self.servers[key];
        let spec = self.step_spec(task_ref);
        let off_rack = !spec.data_rack.is_empty() && !server.has_label(&spec.data_rack);
        let off_rack_cost = u64::from(off_rack) * OFF_RACK_COST;
        let capacity = u64::from(server.entry.cpu_millis.max(1));
        if spec.best_effort {
            return off_rack_cost
                + u64::from(floor_u32(
                    self.demand_ratio(task_ref, key, now_ms) * 1_000.0,
                ));
        }
        if spec.long_running {
            let used = u64::from(server.cpu_used_millis) * 1_000 / capacity;
            return off_rack_cost + (self.mixing_cost(task_ref, key) << 20) + used;
        }
        let cold_cost = u64::from(server.is_cold(now_ms)) * COLD_SERVER_COST;
        off_rack_cost + cold_cost + u64::from(server.cpu_free_millis() - spec.cpu_millis)
    }

    /// Loss of best-effort capacity by placing a service task on a server: best-effort images that would be excluded
    /// and, until these are known, service tasks of other images.
    fn mixing_cost(&self, task_ref: TaskRef, key: ServerKey) -> u64 {
        let image = &self.step_spec(task_ref).image;
        let mut present: Vec<&str> = Vec::new();
        for &(other, _) in &self.servers[key].runs {
            let spec = self.step_spec(other);
            if spec.tail_target_ms > 0 && !present.contains(&spec.image.as_str()) {
                present.push(&spec.image);
            }
        }
        let newly_excluded = self.interference.newly_excluded(image, &present);
        let others = present
            .iter()
            .filter(|other| **other != image.as_str())
            .count() as u64;
        let is_empty = u64::from(present.is_empty());
        newly_excluded * 16 + others * 2 + is_empty
    }
}
