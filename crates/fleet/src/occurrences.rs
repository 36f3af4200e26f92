//! Occurrences of a job, and the steps that may start in them.
//!
//! Occurrences are opened in order: when they are due, or when a record, a report or a handover shows that an earlier owner
//! had opened them. Steps start only in those that are due by this owner's clock.

use crate::job::{TASKS_MAX, TaskId};
use crate::shard::{JobKey, Occurrence, Shard, StepState, TaskRef, to_u32};
use crate::task::Task;

/// Tasks of one job that are opened at a time; the others follow with the next plan.
const OPENED_TASKS_MAX: u32 = TASKS_MAX;

/// Unfinished tasks from which no further occurrences of a job are opened. A caller may submit a job with billions of
/// occurrences that are all due at once.
const UNFINISHED_TASKS_MAX: u32 = TASKS_MAX;

/// The same until the shard has settled: an earlier owner had opened at most twice [`UNFINISHED_TASKS_MAX`] tasks that it
/// knew to be unfinished, and it may have known of as many ends that are not recorded.
const UNSETTLED_TASKS_MAX: u32 = 3 * UNFINISHED_TASKS_MAX;

/// Longest time by which the time of day of an earlier owner may have been ahead.
const CLOCK_ERROR_MAX_MS: u64 = 10_000;

impl Shard {
    /// Opens occurrences of recurring jobs that are due, and until the shard has settled those that may have been due to an
    /// earlier owner: the handover to a successor has to name all tasks that may run.
    pub fn open_due_occurrences(&mut self, unix_ms: u64, now_ms: u64) {
        let mut due_jobs = Vec::new();
        let mut is_any_opened = false;
        let jobs = self.jobs.iter();
        let recurring = jobs.filter(|(_, job)| job.is_live() && job.spec.is_recurring());
        let keys: Vec<JobKey> = recurring.map(|(key, _)| key).collect();
        for key in keys {
            let job = &self.jobs[key];
            let tasks: u32 = job.spec.steps.iter().map(|step| step.tasks).sum();
            let count_max = (OPENED_TASKS_MAX / tasks.max(1)).max(1);
            let next = job.due_occurrences;
            let is_unsettled = job.predates_term && !self.settled;
            let unfinished_max = if is_unsettled {
                UNSETTLED_TASKS_MAX
            } else {
                UNFINISHED_TASKS_MAX
            };
            // A delegate opens those of the tasks that it is given, since it does not know which tasks are finished.
            let last = if job.is_delegated || job.remaining >= unfinished_max {
                to_u32(job.occurrences.len())
            } else {
                job.spec.repetitions
            };
            let is_due_by = |time_ms| {
                let occurrences = next..last;
                let is_due = |&occurrence: &u32| job.spec.due_unix_ms(occurrence) <= time_ms;
                let count = occurrences
                    .take(count_max as usize)
                    .take_while(is_due)
                    .count();
                next + to_u32(count)
            };
            let due = is_due_by(unix_ms);
            let opened = if is_unsettled {
                is_due_by(unix_ms + CLOCK_ERROR_MAX_MS)
            } else {
                due
            };
            is_any_opened |= to_u32(job.occurrences.len()) < opened;
            self.open_occurrences(key, opened, now_ms);
            if due > next {
                self.jobs[key].due_occurrences = due;
                due_jobs.push(key);
            }
        }
        if is_any_opened && !self.settled {
            self.resolve_by_answers(now_ms);
        }
        for key in due_jobs {
            self.open_steps(key, now_ms);
        }
    }

    /// Number of tasks of opened occurrences, which make up most of the shard's memory.
    #[must_use]
    pub fn opened_tasks(&self) -> usize {
        let jobs = self.jobs.iter();
        jobs.map(|(key, job)| job.tasks(key).count()).sum()
    }

    /// Opens the first occurrences of a job up to a count.
    pub(crate) fn open_occurrences(&mut self, key: JobKey, count: u32, now_ms: u64) {
        while to_u32(self.jobs[key].occurrences.len()) < count {
            self.open_occurrence(key, now_ms);
        }
    }

    /// Adds the next occurrence of a job. An earlier owner may have started its tasks if the job is older than the term.
    fn open_occurrence(&mut self, key: JobKey, now_ms: u64) {
        let term_base = self.run_number_base();
        let settled = self.settled;
        let job = &mut self.jobs[key];
        let base = term_base.saturating_add(job.run_base);
        // Delegated tasks arrive with transfers, the others are run elsewhere.
        let remote = job.is_delegated;
        let may_have_started = job.predates_term && !remote;
        let task = Task {
            ready_since_ms: now_ms,
            remote,
            unresolved: may_have_started && !settled,
            last_run: match (may_have_started, remote) {
                (true, _) => base,
                (false, true) => 0,
                (false, false) => job.run_base,
            },
            ..Task::default()
        };
        let mut occurrence = Occurrence::default();
        for spec in &job.spec.steps {
            occurrence.steps.push(StepState {
                remaining: spec.tasks,
                tasks: vec![task.clone(); spec.tasks as usize],
                ..StepState::default()
            });
            job.remaining += spec.tasks;
        }
        job.occurrences.push(occurrence);
    }

    /// Finds a task that was started. Opens its occurrence if only an earlier owner knew that it was due, but not one so far
    /// ahead that no owner can have opened it: a malformed report must not exhaust the memory.
    pub(crate) fn find_started_task(&mut self, id: TaskId, now_ms: u64) -> Option<TaskRef> {
        let key = self.find_job(id.job)?;
        let job = &self.jobs[key];
        let step = job.spec.steps.get(id.step as usize)?;
        let exists = id.index < step.tasks && id.occurrence < job.spec.occurrences();
        let tasks: u32 = job.spec.steps.iter().map(|step| step.tasks).sum();
        let missing = (id.occurrence as usize + 1).saturating_sub(job.occurrences.len());
        let is_near = missing <= 1 || missing * tasks as usize <= OPENED_TASKS_MAX as usize;
        if exists && job.is_live() && is_near {
            self.open_occurrences(key, id.occurrence + 1, now_ms);
        }
        self.find_task(id)
    }

    /// Opens steps of due occurrences whose predecessors are done, and queues their tasks. A home shard delegates only tasks
    /// of open steps, and the others count as not done at the delegate.
    pub(crate) fn open_steps(&mut self, key: JobKey, now_ms: u64) {
        let job = &mut self.jobs[key];
        let due_occurrences = job.due_occurrences as usize;
        let is_delegated = job.is_delegated;
        let mut opened = Vec::new();
        for (occurrence_index, occurrence) in
            job.occurrences[..due_occurrences].iter_mut().enumerate()
        {
            for (step_index, spec) in job.spec.steps.iter().enumerate() {
                if occurrence.steps[step_index].open {
                    continue;
                }
                let mut earlier = spec.after.iter();
                let is_blocked =
                    earlier.any(|&after| occurrence.steps[after as usize].remaining > 0);
                if is_blocked && !is_delegated {
                    continue;
                }
                occurrence.steps[step_index].open = true;
                opened.push((to_u32(occurrence_index), to_u32(step_index), spec.tasks));
            }
        }
        for (occurrence, step, tasks) in opened {
            for index in 0..tasks {
                self.enqueue_if_ready(
                    TaskRef {
                        job: key,
                        occurrence,
                        step,
                        index,
                    },
                    now_ms,
                );
            }
        }
    }
}
