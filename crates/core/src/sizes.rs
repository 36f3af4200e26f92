//! Sizes of jobs that outgrew their declaration, learned from their tasks.

use std::collections::{BTreeMap, BTreeSet};

use crate::capacity::Resources;
use crate::choice::PendingTask;
use crate::fairness::ClientKey;
use crate::ids::{JobId, TaskId};
use crate::interference::KindKey;
use crate::time::{DurationMs, MonoMs};

/// Learned sizes are forgotten after this time without news.
const RETENTION_MS: u64 = 3_600_000;

/// Time after which another task of the job may try a larger reservation.
const TRIAL_INTERVAL_MS: u64 = 60_000;

/// Tasks of a job that may start before one of them has shown that its declared memory suffices: while nothing is known
/// of the kind, and while its declarations are doubted. With a declaration that is too small, every task that started
/// with it has to be evicted.
const UNPROVEN_TASKS_OF_NEW_KIND: u32 = 8;
const UNPROVEN_TASKS_OF_DOUBTED_KIND: u32 = 1;

/// Jobs in a row that proved their declarations before the tasks of a kind start at once.
const PROVEN_JOBS_FOR_TRUST: u32 = 5;

/// Time for which the declarations of a kind are doubted after a task ran out of its declared memory.
const DOUBT_MS: u64 = 1_800_000;

/// Longest time for which the other tasks of a job are held back after the last news of the first ones: of a doubted
/// kind, time for two larger starts; of another, time for reports to show a lack of memory right after the start.
const HOLD_DOUBTED_MS: u64 = 45_000;
const HOLD_MS: u64 = 8_000;

/// Factor by which the memory of a job grows when a task ran out of it.
const MEMORY_GROWTH: u32 = 4;

/// A task that waits for the first ones of its job.
pub(crate) struct HeldTask {
    pub(crate) pending: PendingTask,
    pub(crate) client: ClientKey,
    pub(crate) pool: u32,
    pub(crate) order: u64,
    pub(crate) sequence: u64,
}

#[derive(Default)]
struct LearnedSize {
    size: Resources,
    updated: MonoMs,
    /// The task that tries a larger reservation for its job. A task that takes all its processor time shows only by a
    /// trial whether it could use more, and a trial takes room from others.
    trial: Option<TaskId>,
    /// A trial showed that more processor time is not used.
    growth_unused: bool,
    /// When a task was first seen with all its memory taken.
    memory_full_since: Option<MonoMs>,
    /// A task ran out of its declared memory.
    exceeded_memory: bool,
    /// A task ended, or ran for a while without lack of memory.
    proven: bool,
    /// Known tasks that are not held back.
    admitted: u32,
    held: BTreeMap<TaskId, HeldTask>,
    hold_until: MonoMs,
}

/// What the jobs of a kind have shown of their declarations.
#[derive(Clone, Copy)]
enum KindTrust {
    /// Number of jobs in a row that proved their declarations.
    Proven(u32),
    DoubtedUntil(MonoMs),
}

/// What is known of the true sizes of jobs.
#[derive(Default)]
pub(crate) struct LearnedSizes {
    jobs: BTreeMap<JobId, LearnedSize>,
    last_sweep: MonoMs,
    /// When held tasks are let go without proof; may name earlier times than the job's own.
    holds: BTreeSet<(MonoMs, JobId)>,
    kinds: BTreeMap<KindKey, KindTrust>,
}

impl LearnedSizes {
    /// Size to reserve for a task of a job: its declaration, or what others of the job needed, within `largest`.
    pub(crate) fn size(&self, job: JobId, declared: Resources, largest: Resources) -> Resources {
        match self.jobs.get(&job) {
            Some(learned) => declared.greater(learned.size.lesser(largest)),
            None => declared,
        }
    }

    /// Takes in a use beyond the declaration.
    pub(crate) fn record_use(&mut self, now: MonoMs, job: JobId, used: Resources) {
        let learned = self.entry(now, job);
        learned.size = learned.size.greater(used);
    }

    /// Takes in that a task ran out of its reserved memory.
    pub(crate) fn out_of_memory(
        &mut self,
        now: MonoMs,
        job: JobId,
        kind: KindKey,
        reserved: Resources,
    ) {
        let until = now + DurationMs(DOUBT_MS);
        self.kinds.insert(kind, KindTrust::DoubtedUntil(until));
        self.entry(now, job).exceeded_memory = true;
        let mut larger = reserved;
        larger.memory_mib = larger.memory_mib.saturating_mul(MEMORY_GROWTH);
        self.record_use(now, job, larger);
        self.extend_hold(now, job, HOLD_DOUBTED_MS);
    }

    /// Takes in that a task takes all its memory, which makes it likely that it lacks some.
    pub(crate) fn memory_full(&mut self, now: MonoMs, job: JobId) {
        let Some(learned) = self.jobs.get_mut(&job) else {
            return;
        };
        // Once only, or a job that fills its memory for good would be held back for good.
        if learned.memory_full_since.is_none() && !learned.held.is_empty() {
            learned.memory_full_since = Some(now);
            self.extend_hold(now, job, HOLD_DOUBTED_MS);
        }
    }

    /// Whether a task may try a larger reservation; it is then the one that tries it.
    pub(crate) fn may_try_growth(&mut self, now: MonoMs, task: TaskId) -> bool {
        let known = self.jobs.get(&task.job);
        let stale = known.is_none_or(|learned| now.since(learned.updated).0 >= TRIAL_INTERVAL_MS);
        let learned = self.entry(now, task.job);
        if learned.growth_unused {
            return false;
        }
        if stale || learned.trial.is_none() {
            learned.trial = Some(task);
        }
        learned.trial == Some(task)
    }

    /// Takes in that the task which tried a larger reservation does not use it.
    pub(crate) fn growth_unused(&mut self, now: MonoMs, job: JobId) {
        self.entry(now, job).growth_unused = true;
    }

    /// Admits a task of a job; if the job is unproven and enough of it are admitted, keeps the task back.
    ///
    /// Returns the task if it is admitted.
    pub(crate) fn admit(&mut self, now: MonoMs, held: HeldTask) -> Option<HeldTask> {
        let task = held.pending.task;
        let limit = match self.kinds.get(&held.pending.kind) {
            None => UNPROVEN_TASKS_OF_NEW_KIND,
            Some(KindTrust::Proven(jobs)) if *jobs < PROVEN_JOBS_FOR_TRUST => {
                UNPROVEN_TASKS_OF_NEW_KIND
            }
            Some(KindTrust::DoubtedUntil(until)) if *until > now => UNPROVEN_TASKS_OF_DOUBTED_KIND,
            Some(_) => u32::MAX,
        };
        let learned = self.entry(now, task.job);
        if learned.proven || learned.admitted < limit {
            learned.admitted += 1;
            return Some(held);
        }
        learned.held.insert(task, held);
        None
    }

    /// Takes in that an admitted task starts, from when the others are held back for a limited time.
    pub(crate) fn started(&mut self, now: MonoMs, job: JobId, kind: KindKey) {
        let waits = self.jobs.get(&job);
        if waits.is_none_or(|learned| learned.held.is_empty()) {
            return;
        }
        match self.kinds.get(&kind) {
            Some(KindTrust::DoubtedUntil(until)) if *until > now => {
                self.extend_hold(now, job, HOLD_DOUBTED_MS);
            }
            _ => self.extend_hold(now, job, HOLD_MS),
        }
    }

    /// Takes in that a task of a job showed its need of memory, or ended. Returns the tasks that were held back.
    pub(crate) fn prove(
        &mut self,
        now: MonoMs,
        job: JobId,
        kind: KindKey,
        used: Option<Resources>,
    ) -> Vec<HeldTask> {
        let Some(learned) = self.jobs.get(&job) else {
            return Vec::new();
        };
        if !learned.proven && !learned.exceeded_memory {
            let trust = self.kinds.entry(kind).or_insert(KindTrust::Proven(0));
            match trust {
                KindTrust::Proven(jobs) => *jobs = jobs.saturating_add(1),
                KindTrust::DoubtedUntil(until) if *until <= now => *trust = KindTrust::Proven(1),
                KindTrust::DoubtedUntil(_) => {}
            }
        }
        self.release(now, job, used)
    }

    /// Ends the holding back of a job's tasks.
    fn release(&mut self, now: MonoMs, job: JobId, used: Option<Resources>) -> Vec<HeldTask> {
        let Some(learned) = self.jobs.get_mut(&job) else {
            return Vec::new();
        };
        if learned.proven {
            return Vec::new();
        }
        learned.proven = true;
        learned.updated = now;
        if let Some(used) = used {
            // The need is known now, so the coarse growth before it is taken back.
            let with_margin = used.memory_mib.saturating_add(used.memory_mib / 4);
            learned.size.memory_mib = learned.size.memory_mib.min(with_margin);
        }
        std::mem::take(&mut learned.held).into_values().collect()
    }

    /// Takes in a task that was found running, whose job ran under an earlier owner.
    pub(crate) fn adopted(&mut self, now: MonoMs, job: JobId, kind: KindKey) -> Vec<HeldTask> {
        self.entry(now, job).admitted += 1;
        self.prove(now, job, kind, None)
    }

    /// Forgets an admitted task. Returns the held tasks if none is left that could prove the job.
    pub(crate) fn task_left(
        &mut self,
        now: MonoMs,
        job: JobId,
        will_return: bool,
    ) -> Vec<HeldTask> {
        let Some(learned) = self.jobs.get_mut(&job) else {
            return Vec::new();
        };
        learned.admitted = learned.admitted.saturating_sub(1);
        if learned.admitted > 0 || will_return {
            return Vec::new();
        }
        if learned.held.is_empty() && learned.size.is_zero() && !learned.growth_unused {
            self.jobs.remove(&job);
            return Vec::new();
        }
        self.release(now, job, None)
    }

    /// Forgets a held task.
    pub(crate) fn withdraw(&mut self, task: TaskId) -> Option<HeldTask> {
        self.jobs.get_mut(&task.job)?.held.remove(&task)
    }

    /// The tasks that were held back for too long.
    pub(crate) fn release_expired(&mut self, now: MonoMs) -> Vec<HeldTask> {
        let mut released = Vec::new();
        while let Some(&(time, job)) = self.holds.first() {
            if time > now {
                break;
            }
            self.holds.pop_first();
            let known = self.jobs.get(&job);
            if known.is_some_and(|learned| learned.hold_until <= now) {
                released.append(&mut self.release(now, job, None));
            }
        }
        released
    }

    fn extend_hold(&mut self, now: MonoMs, job: JobId, time_ms: u64) {
        let until = now + DurationMs(time_ms);
        let learned = self.entry(now, job);
        if learned.proven {
            return;
        }
        learned.hold_until = until;
        self.holds.insert((until, job));
    }

    fn entry(&mut self, now: MonoMs, job: JobId) -> &mut LearnedSize {
        self.sweep(now);
        let learned = self.jobs.entry(job).or_default();
        learned.updated = now;
        learned
    }

    fn sweep(&mut self, now: MonoMs) {
        if now.since(self.last_sweep).0 >= RETENTION_MS {
            self.last_sweep = now;
            self.jobs.retain(|_, learned| {
                !learned.held.is_empty() || now.since(learned.updated).0 < RETENTION_MS
            });
        }
    }
}
