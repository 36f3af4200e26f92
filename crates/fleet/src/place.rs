//! Which server a task is started on.

use crate::headroom::whole;
use crate::shard::{ServerKey, Shard, TaskRef, number};

/// Least share at which a filling task is started, in percent: a task of two seconds then takes half a minute.
const SLOWED_MIN_PERCENT: u32 = 8;

/// Time for which a task waits for another server than those it failed on, in milliseconds: another one has room within
/// a few looks, or none has.
const AVOID_MS: u64 = 1_500;

/// Share at which a task is started that no server bears, in percent: hardly felt, and enough to keep what it has.
const FORCED_PERCENT: u32 = 4;

/// Why no server was found, or which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// This one.
    Server(ServerKey),
    /// None has room now.
    NoRoom,
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
            if self.step_spec(at).fills && (self.is_over(key) || !self.is_harmless(at, key)) {
                continue;
            }
            let score = self.score(at, key);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, key));
            }
        }
        best.map_or(Choice::NoRoom, |(_, key)| Choice::Server(key))
    }

    /// Chooses a server on which a filling task that waited in vain may work slowly, and its share in percent. With
    /// `force`, the task is started at the least share if no server bears more.
    pub(crate) fn choose_slowed(
        &self,
        at: TaskRef,
        force: bool,
        now_ms: u64,
    ) -> Option<(ServerKey, u32)> {
        let servers = self
            .servers
            .keys()
            .filter(|&key| self.fits(at, key, now_ms) && !self.is_over(key));
        let shares = servers.map(|key| (key, self.bearable_percent(at, key)));
        let (server, percent) = shares.max_by_key(|&(_, percent)| percent)?;
        if percent >= SLOWED_MIN_PERCENT {
            return Some((server, percent));
        }
        force.then_some((server, FORCED_PERCENT))
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
        if spec.memory_mb > server.memory_free()
            || spec.gpus > server.entry.gpus.saturating_sub(server.gpus_used)
        {
            return false;
        }
        if spec.fills {
            if server.fill_used + spec.cpu_millis > Self::fill_room(server) {
                return false;
            }
        } else if spec.cpu_millis > server.cpu_free() {
            return false;
        }
        if !spec.label.is_empty() && !server.has_label(&spec.label) {
            return false;
        }
        let task = self.task(at);
        if task.avoid.contains(&key) && now_ms < task.ready_ms + AVOID_MS {
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
        number(count) < spec.max_per_server
    }

    /// Whether a server on trial has a run already that will show whether it works again. Runs from before its
    /// suspension show nothing: long-running ones may stay for ever.
    fn has_trial_run(&self, key: ServerKey) -> bool {
        let server = &self.servers[key];
        let Some(since_ms) = server.trust.trial_since_ms() else {
            return false;
        };
        server.runs.iter().any(|&(at, number)| {
            let task = self.task(at);
            task.position(key, number)
                .is_some_and(|position| task.runs[position].sent_ms >= since_ms)
        })
    }

    /// Processor room for tasks that fill: all but that of short tasks, since serving tasks leave most of theirs.
    pub(crate) fn fill_room(server: &crate::server::Server) -> u32 {
        let short = server.cpu_used.saturating_sub(server.serve_used);
        server.entry.cpu_millis.saturating_sub(short)
    }

    /// Less is better.
    fn score(&self, at: TaskRef, key: ServerKey) -> u64 {
        let server = &self.servers[key];
        let spec = self.step_spec(at);
        let away = !spec.data_rack.is_empty() && !server.has_label(&spec.data_rack);
        let base = u64::from(away) << 40;
        let capacity = u64::from(server.entry.cpu_millis.max(1));
        if spec.fills {
            return base + u64::from(whole(self.crowding(at, key) * 1_000.0));
        }
        if spec.long_running {
            let used = u64::from(server.cpu_used) * 1_000 / capacity;
            return base + (self.mixture(at, key) << 20) + used;
        }
        base + u64::from(server.cpu_free() - spec.cpu_millis)
    }

    /// How much less a server would bear with a serving task: filling images that would be kept away from it, and until
    /// these are known, serving tasks of other images.
    fn mixture(&self, at: TaskRef, key: ServerKey) -> u64 {
        let image = &self.step_spec(at).image;
        let mut present: Vec<&str> = Vec::new();
        for &(other, _) in &self.servers[key].runs {
            let spec = self.step_spec(other);
            if spec.tail_target_ms > 0 && !present.contains(&spec.image.as_str()) {
                present.push(&spec.image);
            }
        }
        let kept_away = self.pressure.kept_away(image, &present);
        let others = present
            .iter()
            .filter(|other| **other != image.as_str())
            .count() as u64;
        let is_empty = u64::from(present.is_empty());
        kept_away * 16 + others * 2 + is_empty
    }
}
