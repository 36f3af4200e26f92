//! Order of waiting jobs when there is too little room for all of them to end in time.
//!
//! Answers bursts that queue jobs for longer than their objectives allow. Served by age alone, a job begins when hardly any
//! time is left for it, and nearly all are late. A job that can no longer meet its objective therefore yields to those
//! that can, before its objective has passed; among the latter, jobs that are nearly done go first, since the work that
//! was spent on them is lost if they are late.

use crate::job::JobSpec;
use crate::shard::Job;

/// Objectives after which a result is of no use to the caller.
const USELESS_AFTER_OBJECTIVES: u64 = 3;

/// Steps in which the progress of a job is compared, so that jobs do not overtake each other with each task.
const PROGRESS_STEPS: u64 = 4;

/// Whether a job can still meet its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    OnTime,
    /// It can only end after its objective.
    Late,
    /// It can only end when its result is no longer of use.
    Expired,
}

impl Urgency {
    /// Urgency of a job of age `age_ms` whose remaining chain of work takes `remaining_ms` by estimate.
    #[must_use]
    pub fn of(age_ms: u64, remaining_ms: u64, objective_ms: u64) -> Self {
        let end_ms = age_ms.saturating_add(remaining_ms);
        if end_ms <= objective_ms {
            Self::OnTime
        } else if end_ms <= objective_ms.saturating_mul(USELESS_AFTER_OBJECTIVES) {
            Self::Late
        } else {
            Self::Expired
        }
    }
}

/// Place of a waiting task in the order of its priority; lower is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    urgency: Urgency,
    /// Share of the job that is left, for jobs that can be on time; the others are served by age.
    left: u64,
}

/// Share of a job that is left, in steps of [`PROGRESS_STEPS`].
fn share_left(remaining_tasks: u32, spec: &JobSpec) -> u64 {
    let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.tasks)).sum();
    let all = tasks * u64::from(spec.occurrences());
    u64::from(remaining_tasks) * PROGRESS_STEPS / all.max(1)
}

impl Job {
    /// Urgency of the job while a task of `step` waits.
    pub(crate) fn urgency(&self, step: u32, unix_ms: u64) -> Urgency {
        let age_ms = unix_ms.saturating_sub(self.spec.accepted_unix_ms);
        let remaining_ms = self.path_ms.get(step as usize).copied().unwrap_or(0);
        let objective_ms = self.queue.objective_ms(self.critical_path_ms);
        Urgency::of(age_ms, remaining_ms, objective_ms)
    }

    pub(crate) fn place(&self, step: u32, unix_ms: u64) -> Place {
        let urgency = self.urgency(step, unix_ms);
        let left = match urgency {
            Urgency::OnTime => share_left(self.remaining, &self.spec),
            Urgency::Late | Urgency::Expired => 0,
        };
        Place { urgency, left }
    }

    /// Place by age alone: jobs yield once their objective has passed.
    pub(crate) fn place_by_age(&self, unix_ms: u64) -> Place {
        let age_ms = unix_ms.saturating_sub(self.spec.accepted_unix_ms);
        let objective_ms = self.queue.objective_ms(self.critical_path_ms).max(1);
        let urgency = match age_ms / objective_ms {
            0 => Urgency::OnTime,
            1 | 2 => Urgency::Late,
            _ => Urgency::Expired,
        };
        Place { urgency, left: 0 }
    }
}

impl Place {
    /// Place of tasks that have no objective.
    pub(crate) const FIRST: Self = Self {
        urgency: Urgency::OnTime,
        left: 0,
    };
}
