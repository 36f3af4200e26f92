//! What a shard does while its own failure domain is evacuated, and after that.
//!
//! Nothing starts here then. Waiting jobs that are whole move, other waiting tasks are delegated, and running long-running
//! tasks are stopped for delegation a few at a time. Servers stay claimed and polled, and all other runs go on.

use crate::action::StartRequest;
use crate::evacuation::Evacuation;
use crate::shard::{JobKey, Shard, TaskRef, to_u32};
use crate::task::{Move, RunState, Task};

/// Time after a take-back in which the reported capacity rises from a tenth to all. Loads of other shards are up to 1.5 s
/// old, so that without it all hosts would send their work to servers that are idle and may be cold.
const REOPEN_MS: u64 = 4_000;

/// Share of the capacity that is reported right after a take-back.
const REOPEN_MIN_PERMILLE: u64 = 100;

/// Time after which a delegated task counts as being at work again: its shard does not report that to the home of the job,
/// and reads, places and starts a task for which it has room within about a second.
const DELEGATED_START_MS: u64 = 3_000;

/// Time after which a run counts as being at work although its progress is below 100%, so that a task that never reports
/// more does not keep the others of its step here.
const RUN_START_MAX_MS: u64 = 6_000;

/// Maximum number of long-running tasks that are away at a time because of an evacuation, over all jobs of the shard.
const AWAY_MAX: usize = 16;

/// What a shard knows of the evacuation of its failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EvacuationState {
    /// The operator's request; `None` if the failure domain is not evacuated.
    request: Option<Evacuation>,
    /// Time as of which this is known; `None` before the first call.
    as_of_ms: Option<u64>,
    /// When the shard learned of the last take-back.
    reopened_ms: Option<u64>,
    /// Whether it is used while the store is silent, since it was not too old when that began. A process that was paused takes
    /// the store for silent when it goes on.
    is_kept_in_silence: bool,
    /// Whether this is too old to start tasks by it.
    pub is_outdated: bool,
    /// What has left the failure domain.
    pub departures: Departures,
}

/// What has left a failure domain while it was evacuated, since the shard was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Departures {
    /// Jobs that moved.
    pub jobs: u64,
    /// Tasks that were delegated.
    pub tasks: u64,
}

impl Shard {
    /// Sets whether the shard's failure domain is evacuated, as of `as_of_ms`.
    pub fn set_evacuation(&mut self, evacuation: Option<Evacuation>, as_of_ms: u64, now_ms: u64) {
        let state = &mut self.evacuation;
        if state.request.is_some() && evacuation.is_none() {
            state.reopened_ms = Some(now_ms);
        }
        state.request = evacuation;
        state.as_of_ms = state.as_of_ms.max(Some(as_of_ms));
    }

    /// Whether the shard's failure domain is evacuated, as far as it knows.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.evacuation.request.is_some()
    }

    /// Whether a start that was decided earlier may still be sent.
    #[must_use]
    pub fn may_send(&self, request: &StartRequest, now_ms: u64) -> bool {
        !self.is_evacuated()
            && !request.is_outdated(now_ms)
            && now_ms <= self.evacuation_valid_until_ms()
    }

    /// What has left the failure domain because it was evacuated.
    #[must_use]
    pub fn departures(&self) -> Departures {
        self.evacuation.departures
    }

    /// Time until which tasks may be started by what is known of evacuations. While the store is silent, no request can be
    /// acknowledged, so that what was known before still holds.
    pub(crate) fn evacuation_valid_until_ms(&self) -> u64 {
        let Some(age_max_ms) = self.bounds.evacuation_max_age_ms() else {
            return u64::MAX;
        };
        match self.evacuation.as_of_ms {
            None => 0,
            Some(_) if self.evacuation.is_kept_in_silence && self.store_silent => u64::MAX,
            Some(as_of_ms) => as_of_ms + age_max_ms,
        }
    }

    /// Whether what is known of evacuations is too old to start tasks by it; logs each change.
    pub(crate) fn update_evacuation_outdated(&mut self, now_ms: u64) -> bool {
        self.evacuation.is_kept_in_silence &= self.store_silent;
        let is_outdated = now_ms > self.evacuation_valid_until_ms();
        self.evacuation.is_kept_in_silence |= self.store_silent && !is_outdated;
        if is_outdated != self.evacuation.is_outdated {
            self.evacuation.is_outdated = is_outdated;
            let event = if is_outdated {
                "evacuation_outdated"
            } else {
                "evacuation_regained"
            };
            let as_of_ms = self.evacuation.as_of_ms;
            let inputs = [
                ("known", u64::from(as_of_ms.is_some())),
                ("age_ms", now_ms.saturating_sub(as_of_ms.unwrap_or(now_ms))),
            ];
            self.log_decision(event, None, None, inputs);
        }
        is_outdated
    }

    /// Share of the capacity that is reported to other hosts; `None` for all of it.
    pub(crate) fn reopened_permille(&self, now_ms: u64) -> Option<u64> {
        let elapsed_ms = now_ms.saturating_sub(self.evacuation.reopened_ms?);
        let rise = (1_000 - REOPEN_MIN_PERMILLE) * elapsed_ms / REOPEN_MS;
        (elapsed_ms < REOPEN_MS).then_some(REOPEN_MIN_PERMILLE + rise)
    }

    /// How many long-running tasks may be stopped for delegation now.
    pub(crate) fn stop_budget(&self, now_ms: u64) -> StopBudget {
        let mut away = 0;
        for (key, job) in &self.jobs {
            if !job.is_live() {
                continue;
            }
            let moved = job.tasks(key).filter(|(_, task)| {
                !task.done && (task.moved != Move::None || task.is_departing(now_ms))
            });
            away += moved.count();
        }
        StopBudget {
            left: AWAY_MAX.saturating_sub(away),
            steps: Vec::new(),
        }
    }

    /// How many tasks of a step may be stopped besides those that are away.
    fn stops_of_step(&self, task_ref: TaskRef, now_ms: u64) -> u32 {
        let occurrence = &self.jobs[task_ref.job].occurrences[task_ref.occurrence as usize];
        let tasks = &occurrence.steps[task_ref.step as usize].tasks;
        let away = tasks.iter().filter(|task| task.is_away(now_ms)).count();
        let away_max = self.step_spec(task_ref).max_unavailable.max(1);
        away_max.saturating_sub(to_u32(away))
    }
}

/// How many more long-running tasks may be stopped so that they are delegated out of an evacuated failure domain.
#[derive(Debug, Default)]
pub(crate) struct StopBudget {
    left: usize,
    /// The same by job, occurrence and step, for the steps that were asked for.
    steps: Vec<((JobKey, u32, u32), u32)>,
}

impl StopBudget {
    /// Whether a task that runs may be stopped. One that is not at work yet has to begin first.
    pub(crate) fn allows(&mut self, shard: &Shard, task_ref: TaskRef, now_ms: u64) -> bool {
        let is_away = || shard.task(task_ref).is_away(now_ms);
        self.left > 0 && *self.of_step(shard, task_ref, now_ms) > 0 && !is_away()
    }

    pub(crate) fn take(&mut self, shard: &Shard, task_ref: TaskRef, now_ms: u64) {
        self.left -= 1;
        *self.of_step(shard, task_ref, now_ms) -= 1;
    }

    fn of_step(&mut self, shard: &Shard, task_ref: TaskRef, now_ms: u64) -> &mut u32 {
        let step_key = (task_ref.job, task_ref.occurrence, task_ref.step);
        let found = self.steps.binary_search_by_key(&step_key, |&(key, _)| key);
        let index = found.unwrap_or_else(|index| {
            let stops = shard.stops_of_step(task_ref, now_ms);
            self.steps.insert(index, (step_key, stops));
            index
        });
        &mut self.steps[index].1
    }
}

impl Task {
    /// Whether the task was delegated so recently that it may not be at work yet.
    fn is_departing(&self, now_ms: u64) -> bool {
        let delegated_ms = self.delegated_ms.filter(|_| self.remote);
        delegated_ms.is_some_and(|delegated_ms| now_ms < delegated_ms + DELEGATED_START_MS)
    }

    /// Whether a long-running task is not at work.
    fn is_away(&self, now_ms: u64) -> bool {
        if self.done {
            return false;
        }
        if self.remote {
            return self.is_departing(now_ms);
        }
        !self.runs.iter().any(|run| {
            let is_started = now_ms >= run.start_sent_ms + RUN_START_MAX_MS;
            let is_at_work = run.progress_percent >= 100 || is_started;
            run.state == RunState::Running && run.listed_ms.is_some() && is_at_work
        })
    }
}
