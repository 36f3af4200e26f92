//! Which server a task is started on.

use crate::headroom::floor_u32;
use crate::shard::{ServerKey, Shard, TaskRef, to_u32};

/// Least share at which a filling task is started, in percent: a task of two seconds then takes half a minute.
const THROTTLED_START_MIN_PERCENT: u32 = 8;

/// Time for which a task waits for another server than those it failed on, in milliseconds: another one has room within
/// a few looks, or none has.
const AVOID_FAILED_SERVER_MS: u64 = 1_500;

/// Share at which a task is started that no server bears, in percent: hardly felt, and enough to keep what it has.
const FORCED_START_RATE_PERCENT: u32 = 4;

/// Why no server was found, or which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// This one.
    Server(ServerKey),
    /// None has room now.
    NoCapacity,
}

impl Shard {
    /// Chooses a server for a task; `taken` are servers that hold tasks of the same step, one entry a task.
    pub(crate) fn choose(&self, at: TaskRef, rack: Option<&str>, now_ms: u64) -> Choice {
        let mut best: Option<(u64, ServerKey)> = None;
        for (key, _) in &self.servers {
            if !self.fits(at, key, now_ms) {
                continue;
            }
            if let Some(rack) = rack
                && !self.servers[key].has_label(rack)
            {
                continue;
            }
            if self.step_spec(at).best_effort
                && (self.is_over_target(key) || !self.has_headroom(at, key))
            {
                continue;
            }
            let placement_cost = self.placement_cost(at, key);
            if best.is_none_or(|(least, _)| placement_cost < least) {
                best = Some((placement_cost, key));
            }
        }
        best.map_or(Choice::NoCapacity, |(_, key)| Choice::Server(key))
    }

    /// Chooses a server on which a filling task that waited in vain may work slowly, and its share in percent. With
    /// `force`, the task is started at the least share if no server bears more.
    pub(crate) fn choose_throttled(
        &self,
        at: TaskRef,
        force: bool,
        now_ms: u64,
    ) -> Option<(ServerKey, u32)> {
        let servers = self
            .servers
            .keys()
            .filter(|&key| self.fits(at, key, now_ms) && !self.is_over_target(key));
        let rates = servers.map(|key| (key, self.sustainable_rate_percent(at, key)));
        let (server, percent) = rates.max_by_key(|&(_, percent)| percent)?;
        if percent >= THROTTLED_START_MIN_PERCENT {
            return Some((server, percent));
        }
        force.then_some((server, FORCED_START_RATE_PERCENT))
    }

    pub(crate) fn fits(&self, at: TaskRef, key: ServerKey, now_ms: u64) -> bool {
        let server = &self.servers[key];
        let job = &self.jobs[at.job];
        let spec = &job.spec.steps[at.step as usize];
        if !server.is_usable(now_ms) || server.entry.service != job.queue.service {
            return false;
        }
        if self.has_trial_run(key) {
            return false;
        }
        if spec.memory_mb > server.memory_free_mb()
            || spec.gpus > server.entry.gpus.saturating_sub(server.gpus_used)
        {
            return false;
        }
        if spec.best_effort {
            if server.best_effort_used_millis + spec.cpu_millis
                > Self::best_effort_capacity_millis(server)
            {
                return false;
            }
        } else if spec.cpu_millis > server.cpu_free_millis() {
            return false;
        }
        if !spec.label.is_empty() && !server.has_label(&spec.label) {
            return false;
        }
        let task = self.task(at);
        if task.avoided_servers.contains(&key)
            && now_ms < task.ready_since_ms + AVOID_FAILED_SERVER_MS
        {
            return false;
        }
        if !self.has_ticket(at, key, now_ms) {
            return false;
        }
        if spec.max_per_server == 0 {
            return true;
        }
        let same_step = |other: &TaskRef| {
            other.job == at.job && other.occurrence == at.occurrence && other.step == at.step
        };
        let count = server
            .runs
            .iter()
            .filter(|(other, _)| same_step(other))
            .count();
        to_u32(count) < spec.max_per_server
    }

    /// Whether a server on trial has a run already that will show whether it works again. Runs from before its
    /// suspension show nothing: long-running ones may stay for ever.
    fn has_trial_run(&self, key: ServerKey) -> bool {
        let server = &self.servers[key];
        let Some(since_ms) = server.suspension.trial_since_ms() else {
            return false;
        };
        server.runs.iter().any(|&(at, number)| {
            let task = self.task(at);
            task.position(key, number)
                .is_some_and(|position| task.runs[position].sent_ms >= since_ms)
        })
    }

    /// Processor room for tasks that fill: all but that of short tasks, since serving tasks leave most of theirs.
    pub(crate) fn best_effort_capacity_millis(server: &crate::server::Server) -> u32 {
        let short_task_millis = server
            .cpu_used_millis
            .saturating_sub(server.service_used_millis);
        server.entry.cpu_millis.saturating_sub(short_task_millis)
    }

    /// Less is better.
    fn placement_cost(&self, at: TaskRef, key: ServerKey) -> u64 {
        let server = &self.servers[key];
        let spec = self.step_spec(at);
        let off_rack = !spec.data_rack.is_empty() && !server.has_label(&spec.data_rack);
        let off_rack_cost = u64::from(off_rack) << 40;
        let capacity = u64::from(server.entry.cpu_millis.max(1));
        if spec.best_effort {
            return off_rack_cost + u64::from(floor_u32(self.demand_ratio(at, key) * 1_000.0));
        }
        if spec.long_running {
            let used = u64::from(server.cpu_used_millis) * 1_000 / capacity;
            return off_rack_cost + (self.mixing_cost(at, key) << 20) + used;
        }
        off_rack_cost + u64::from(server.cpu_free_millis() - spec.cpu_millis)
    }

    /// How much less a server would bear with a serving task: filling images that would be kept away from it, and until
    /// these are known, serving tasks of other images.
    fn mixing_cost(&self, at: TaskRef, key: ServerKey) -> u64 {
        let image = &self.step_spec(at).image;
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
