//! Sizes of jobs that outgrew their declaration, learned from their tasks.

use std::collections::{BTreeMap, BTreeSet};

use crate::capacity::Resources;
use crate::fairness::ClientKey;
use crate::ids::{JobId, TaskId};
use crate::interference::KindKey;
use crate::server_choice::PendingTask;
use crate::time::{DurationMs, MonoMs};

/// Time after which a learned size without an update is dropped.
const RETENTION_MS: u64 = 3_600_000;

/// Time after which another task of the job may try a larger reservation.
const TRIAL_INTERVAL_MS: u64 = 60_000;

/// Tasks of a job that may start before one of them has proven the declared memory: of a kind without history, and of a
/// kind whose declarations are doubted. If a declaration is too small, every task started with it has to be evicted.
const UNPROVEN_TASKS_OF_NEW_KIND: u32 = 8;
const UNPROVEN_TASKS_OF_DOUBTED_KIND: u32 = 1;

/// Consecutive jobs with proven declarations after which the tasks of a kind start at once.
const PROVEN_JOBS_FOR_TRUST: u32 = 5;

/// Time for which the declarations of a kind are doubted after a task ran out of its declared memory.
const DOUBT_MS: u64 = 1_800_000;

/// Maximum time for which the other tasks of a job are held back after the last update from the first ones: for a
/// doubted kind, time for two starts with larger reservations; otherwise, time for reports to show a lack of memory
/// right after the start.
const HOLD_DOUBTED_MS: u64 = 45_000;
const HOLD_MS: u64 = 8_000;

/// Factor by which the memory of a job grows when a task runs out of it.
const MEMORY_GROWTH: u32 = 4;

/// A submitted task, which may have to wait until the first tasks of its job have proven the declared memory.
pub(crate) struct SubmittedTask {
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
    /// The task that tries a larger reservation for its job. Only a trial shows whether a task that uses all its
    /// processor time could use more, and a trial takes capacity from others.
    trial: Option<TaskId>,
    /// A trial showed that more processor time is not used.
    growth_unused: bool,
    /// When a task was first seen using all its memory.
    memory_full_since: Option<MonoMs>,
    /// A task ran out of its declared memory.
    exceeded_memory: bool,
    /// A task ended, or ran for a while without lack of memory.
    proven: bool,
    /// Known tasks that are not held back.
    admitted: u32,
    held: BTreeMap<TaskId, SubmittedTask>,
    hold_until: MonoMs,
}

/// How far the declarations of a kind can be trusted.
#[derive(Clone, Copy)]
enum KindTrust {
    /// Number of consecutive jobs with proven declarations.
    Proven(u32),
    DoubtedUntil(MonoMs),
}

/// Learned sizes and held tasks, by job.
#[derive(Default)]
pub(crate) struct LearnedSizes {
    jobs: BTreeMap<JobId, LearnedSize>,
    last_sweep: MonoMs,
    /// When held tasks are released without proof. A job may have earlier entries, which no longer apply.
    hold_deadlines: BTreeSet<(MonoMs, JobId)>,
    kinds: BTreeMap<KindKey, KindTrust>,
}

impl LearnedSizes {
    /// Size to reserve for a task: its declaration, or what other tasks of the job needed, within `largest`.
    pub(crate) fn size(&self, job: JobId, declared: Resources, largest: Resources) -> Resources {
        match self.jobs.get(&job) {
            Some(learned) => declared.greater(learned.size.lesser(largest)),
            None => declared,
        }
    }

    /// Records a use beyond the declaration.
    pub(crate) fn record_use(&mut self, now: MonoMs, job: JobId, used: Resources) {
        let learned = self.entry(now, job);
        learned.size = learned.size.greater(used);
    }

    /// Records that a task ran out of its reserved memory.
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

    /// Records that a task uses all its memory, so that it probably lacks some.
    pub(crate) fn memory_full(&mut self, now: MonoMs, job: JobId) {
        let Some(learned) = self.jobs.get_mut(&job) else {
            return;
        };
        // Only once, or the tasks of a job that permanently fills its memory would be held back forever.
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

    /// Records that the trial of a larger reservation did not use it.
    pub(crate) fn growth_unused(&mut self, now: MonoMs, job: JobId) {
        self.entry(now, job).growth_unused = true;
    }

    /// Admits a task, or holds it back if its job is unproven and has enough admitted tasks.
    ///
    /// Returns the task if it is admitted.
    pub(crate) fn admit(&mut self, now: MonoMs, held: SubmittedTask) -> Option<SubmittedTask> {
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

    /// Records the start of an admitted task, from which the others are held back for a limited time.
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

    /// Records that a task has proven the declared memory, or has ended. Returns the tasks that were held back.
    pub(crate) fn prove(
        &mut self,
        now: MonoMs,
        job: JobId,
        kind: KindKey,
        used: Option<Resources>,
    ) -> Vec<SubmittedTask> {
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

    fn release(&mut self, now: MonoMs, job: JobId, used: Option<Resources>) -> Vec<SubmittedTask> {
        let Some(learned) = self.jobs.get_mut(&job) else {
            return Vec::new();
        };
        if learned.proven {
            return Vec::new();
        }
        learned.proven = true;
        learned.updated = now;
        if let Some(used) = used {
            // The need is known now, so the coarse growth is reduced to it with a margin.
            let with_margin = used.memory_mib.saturating_add(used.memory_mib / 4);
            learned.size.memory_mib = learned.size.memory_mib.min(with_margin);
        }
        std::mem::take(&mut learned.held).into_values().collect()
    }

    /// Records a task that an earlier owner started, which proves its job.
    pub(crate) fn adopted(&mut self, now: MonoMs, job: JobId, kind: KindKey) -> Vec<SubmittedTask> {
        self.entry(now, job).admitted += 1;
        self.prove(now, job, kind, None)
    }

    /// Removes an admitted task. Returns the held tasks if no task is left that could prove the job.
    pub(crate) fn task_left(
        &mut self,
        now: MonoMs,
        job: JobId,
        will_return: bool,
    ) -> Vec<SubmittedTask> {
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

    pub(crate) fn withdraw(&mut self, task: TaskId) -> Option<SubmittedTask> {
        self.jobs.get_mut(&task.job)?.held.remove(&task)
    }

    /// Returns the tasks whose hold has expired.
    pub(crate) fn release_expired(&mut self, now: MonoMs) -> Vec<SubmittedTask> {
        let mut released = Vec::new();
        while let Some(&(time, job)) = self.hold_deadlines.first() {
            if time > now {
                break;
            }
            self.hold_deadlines.pop_first();
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
        self.hold_deadlines.insert((until, job));
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
