//! Sizes of jobs that outgrew their declaration, learned from their tasks.

use std::collections::BTreeMap;

use crate::capacity::Resources;
use crate::ids::{JobId, TaskId};
use crate::time::MonoMs;

/// Learned sizes are forgotten after this time without news.
const KEPT_MS: u64 = 3_600_000;

/// Time after which another task of the job may try a larger reservation.
const TRIAL_MS: u64 = 60_000;

struct Learned {
    size: Resources,
    news: MonoMs,
    /// The task that tries a larger reservation for its job. A task that takes all its processor time shows only by a
    /// trial whether it could use more, and a trial takes room from others.
    trial: Option<TaskId>,
    /// A trial showed that more processor time is not used.
    sated: bool,
}

/// What is known of the true sizes of jobs.
#[derive(Default)]
pub(crate) struct Sizes {
    jobs: BTreeMap<JobId, Learned>,
    swept: MonoMs,
}

impl Sizes {
    /// Size to reserve for a task of a job: its declaration, or what others of the job needed, within `largest`.
    pub(crate) fn size(&self, job: JobId, declared: Resources, largest: Resources) -> Resources {
        match self.jobs.get(&job) {
            Some(learned) => declared.greater(learned.size.lesser(largest)),
            None => declared,
        }
    }

    /// Takes in a use beyond the declaration.
    pub(crate) fn seen(&mut self, now: MonoMs, job: JobId, used: Resources) {
        let learned = self.open(now, job);
        learned.size = learned.size.greater(used);
    }

    /// Whether a task may try a larger reservation; it is then the one that tries it.
    pub(crate) fn may_try(&mut self, now: MonoMs, task: TaskId) -> bool {
        let known = self.jobs.get(&task.job);
        let stale = known.is_none_or(|learned| now.since(learned.news).0 >= TRIAL_MS);
        let learned = self.open(now, task.job);
        if learned.sated {
            return false;
        }
        if stale || learned.trial.is_none() {
            learned.trial = Some(task);
        }
        learned.trial == Some(task)
    }

    /// Takes in that the task which tried a larger reservation does not use it.
    pub(crate) fn sated(&mut self, now: MonoMs, job: JobId) {
        self.open(now, job).sated = true;
    }

    fn open(&mut self, now: MonoMs, job: JobId) -> &mut Learned {
        self.sweep(now);
        let learned = self.jobs.entry(job).or_insert(Learned {
            size: Resources::default(),
            news: now,
            trial: None,
            sated: false,
        });
        learned.news = now;
        learned
    }

    fn sweep(&mut self, now: MonoMs) {
        if now.since(self.swept).0 >= KEPT_MS {
            self.swept = now;
            self.jobs
                .retain(|_, learned| now.since(learned.news).0 < KEPT_MS);
        }
    }
}
