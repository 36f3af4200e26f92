//! Choice of the batch tasks to evict.

use std::collections::BTreeMap;

use crate::capacity::Resources;
use crate::ids::TaskId;
use crate::time::{DurationMs, MonoMs};

/// Fixed cost of an eviction besides the work since the last checkpoint: checkpoint, commit, stop and start.
const RESTART_MS: u64 = 10_000;

/// Time for which an evicted task is not evicted again while another candidate exists.
const EVICTION_COOLDOWN_MS: u64 = 600_000;

/// Time after which an eviction no longer counts.
const HISTORY_RETENTION_MS: u64 = 3_600_000;

/// Number of evictions after which a task is evicted only if nothing else frees enough.
const MAX_EVICTIONS: u32 = 3;

/// A task that may be evicted.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub task: TaskId,
    /// Resources that its eviction frees.
    pub frees: Resources,
    /// Slowdown that it adds to requests; 0 if only capacity counts.
    pub added_slowdown: f32,
    /// Time since its last checkpoint, or since its start.
    pub since_checkpoint: DurationMs,
    /// An eviction would make it miss its finish-by time.
    pub at_risk: bool,
}

/// Recent evictions by task.
#[derive(Default)]
pub struct History {
    evictions: BTreeMap<TaskId, (u32, MonoMs)>,
    last_sweep: MonoMs,
}

impl History {
    pub fn record_eviction(&mut self, now: MonoMs, task: TaskId) {
        self.sweep(now);
        let entry = self.evictions.entry(task).or_insert((0, now));
        *entry = (entry.0 + 1, now);
    }

    /// Number of recent evictions of a task.
    #[must_use]
    pub fn count(&self, task: TaskId) -> u32 {
        self.evictions.get(&task).map_or(0, |entry| entry.0)
    }

    /// Removes a task that ended.
    pub fn remove(&mut self, task: TaskId) {
        self.evictions.remove(&task);
    }

    /// Protection class of a task: 0 normally, 1 within the cooldown after an eviction, 2 after `MAX_EVICTIONS`.
    #[must_use]
    pub fn protection(&self, now: MonoMs, task: TaskId) -> u8 {
        let Some(&(count, last)) = self.evictions.get(&task) else {
            return 0;
        };
        if count >= MAX_EVICTIONS {
            return 2;
        }
        u8::from(now.since(last).0 < EVICTION_COOLDOWN_MS)
    }

    fn sweep(&mut self, now: MonoMs) {
        if now.since(self.last_sweep).0 < EVICTION_COOLDOWN_MS {
            return;
        }
        self.last_sweep = now;
        self.evictions
            .retain(|_, (_, last)| now.since(*last).0 < HISTORY_RETENTION_MS);
    }
}

/// Work lost by an eviction, in core-milliseconds.
#[must_use]
pub fn lost_work(candidate: &Candidate) -> u64 {
    let time_ms = candidate.since_checkpoint.0 + RESTART_MS;
    u64::from(candidate.frees.millicores.max(1)) * time_ms / 1_000
}

/// Picks tasks that together free at least `need`, with little work lost.
///
/// Protected tasks and tasks at risk come last. The result may free less if the candidates do not suffice.
#[must_use]
pub fn choose(
    now: MonoMs,
    history: &History,
    candidates: &[Candidate],
    need: Resources,
) -> Vec<Candidate> {
    let mut left: Vec<&Candidate> = candidates.iter().collect();
    let mut chosen: Vec<Candidate> = Vec::new();
    let mut missing = need;
    while !missing.is_zero() {
        let best = left
            .iter()
            .enumerate()
            .filter(|(_, one)| covers_some(one.frees, missing))
            .min_by(|(_, a), (_, b)| {
                rank(now, history, a, missing).cmp(&rank(now, history, b, missing))
            });
        let Some((at, _)) = best else {
            break;
        };
        let candidate = *left.swap_remove(at);
        missing = missing.saturating_sub(candidate.frees);
        chosen.push(candidate);
    }
    remove_redundant(&mut chosen, need);
    chosen
}

/// Class, then work lost per thousandth of the missing resources that the eviction frees.
fn rank(now: MonoMs, history: &History, one: &Candidate, missing: Resources) -> (u8, u64, TaskId) {
    let class = history.protection(now, one.task) + u8::from(one.at_risk);
    let covered = covered_permille(one.frees, missing).max(1);
    (class, lost_work(one) * 1_000 / covered, one.task)
}

/// Mean share of the missing amounts that `frees` covers, in thousandths.
fn covered_permille(frees: Resources, missing: Resources) -> u64 {
    let pairs = [
        (frees.millicores, missing.millicores),
        (frees.memory_mib, missing.memory_mib),
        (frees.accelerators, missing.accelerators),
    ];
    let mut sum = 0;
    let mut counted = 0;
    for (freed, wanted) in pairs {
        if wanted == 0 {
            continue;
        }
        sum += u64::from(freed.min(wanted)) * 1_000 / u64::from(wanted);
        counted += 1;
    }
    sum / u64::max(counted, 1)
}

fn covers_some(frees: Resources, missing: Resources) -> bool {
    covered_permille(frees, missing) > 0
}

/// Drops tasks that later choices made unnecessary.
fn remove_redundant(chosen: &mut Vec<Candidate>, need: Resources) {
    let mut at = 0;
    while at < chosen.len() {
        let others = chosen.iter().enumerate().filter(|(other, _)| *other != at);
        let freed = others.fold(Resources::default(), |sum, (_, one)| {
            sum.saturating_add(one.frees)
        });
        if need.fits_in(freed) {
            chosen.remove(at);
        } else {
            at += 1;
        }
    }
}

/// Counts consecutive values beyond an upper or lower bound, so that a single report changes nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hysteresis {
    above: u32,
    below: u32,
}

impl Hysteresis {
    /// Counts a value; one between the bounds resets both counts.
    pub fn observe(&mut self, value: u32, low: u32, high: u32) {
        if value > high {
            self.above += 1;
            self.below = 0;
        } else if value < low {
            self.below += 1;
            self.above = 0;
        } else {
            *self = Self::default();
        }
    }

    /// Whether the last `times` values were above the upper bound; resets the counts if so.
    pub fn take_above(&mut self, times: u32) -> bool {
        let reached = self.above >= times;
        if reached {
            *self = Self::default();
        }
        reached
    }

    /// Whether the last `times` values were below the lower bound; resets the counts if so.
    pub fn take_below(&mut self, times: u32) -> bool {
        let reached = self.below >= times;
        if reached {
            *self = Self::default();
        }
        reached
    }
}
