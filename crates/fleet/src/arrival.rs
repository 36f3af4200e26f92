//! Admission, recovery and termination of jobs.

use smol_str::SmolStr;

use crate::action::{Action, Decision};
use crate::ended::EndedJob;
use crate::footprint::job_bytes;
use crate::job::{JobId, JobSpec, Queue, TaskId};
use crate::record::{Phase, Progress, StoredJob};
use crate::shard::{Job, JobKey, Shard, TaskRef};

/// Run numbers reserved per task and term. Runs of a term are numbered above all runs of earlier terms, including those
/// that were never recorded.
const RUNS_PER_TERM: u64 = 1_000;

/// Whether a stored job can be run: records of occurrences that it does not have would exhaust the memory.
fn is_consistent(spec: &JobSpec, progress: Option<&Progress>) -> bool {
    let occurrences = spec.occurrences();
    let mut records = progress.iter().flat_map(|progress| &progress.tasks);
    spec.validate_structure().is_ok() && records.all(|record| record.occurrence < occurrences)
}

impl Shard {
    /// Adds a job read from the store, or merges its transfers and cancellation into a known job.
    pub fn add_job(&mut self, id: JobId, stored: StoredJob, now_ms: u64) {
        if !stored.is_delegated && self.has_moved(id, stored.created_revision) {
            return;
        }
        if self.find_ended(id).is_some() {
            // The entry was read before the end of the job was recorded.
            return;
        }
        self.forget_left_copy(id, &stored);
        let predates_term = stored.created_revision <= self.term_revision;
        if let Some(key) = self.find_job(id) {
            self.accept_transfers(key, &stored.transfers, predates_term, now_ms);
            self.jobs[key].transfer_keys.extend(stored.transfer_keys);
            self.end_from_outside(key, stored.cancelled, stored.delegates_failed, now_ms);
            return;
        }
        let recorded = stored
            .progress
            .as_ref()
            .map_or(Phase::Live, Progress::phase);
        if recorded != Phase::Live {
            self.insert_ended(EndedJob {
                id,
                ended_ms: now_ms,
                phase: recorded,
                is_delegated: stored.is_delegated,
            });
            return;
        }
        let Some(spec) = stored.spec else { return };
        if !is_consistent(&spec, stored.progress.as_ref()) {
            self.actions.push(Action::Log(Decision {
                event: "stored_job_invalid",
                task: Some(TaskId {
                    job: id,
                    occurrence: 0,
                    step: 0,
                    index: 0,
                }),
                server: None,
                inputs: Vec::new(),
            }));
            return;
        }
        let queue = self.current_queue(&spec, stored.progress.as_ref());
        let job = Job {
            id,
            critical_path_ms: spec.critical_path_ms(),
            bytes: job_bytes(&spec),
            queue,
            occurrences: Vec::new(),
            remaining: 0,
            phase: Phase::Live,
            recorded_phase: Phase::Live,
            version: 0,
            recorded_version: 0,
            started: stored.progress.as_ref().is_some_and(Progress::has_started),
            predates_term,
            due_occurrences: 0,
            is_delegated: stored.is_delegated,
            delegate_domains: Vec::new(),
            outbound_transfers: Vec::new(),
            transfer_keys: stored.transfer_keys.clone(),
            run_base: stored
                .progress
                .as_ref()
                .map_or(0, |progress| progress.run_base),
            created_revision: stored.created_revision,
            moving: false,
            has_stray_run: false,
            held_until_ms: 0,
            kept_until_ms: 0,
            moved_here_ms: (stored.progress.is_some() && !predates_term).then_some(now_ms),
            stay_logged_ms: 0,
            run_count: 0,
            arrived_ms: now_ms,
            ended_ms: None,
            spec_stored: true,
            unrecorded_since_ms: now_ms,
            path_ms: spec.path_ms(),
            spec,
        };
        let key = self.jobs.insert(job);
        let index = self.job_index.partition_point(|(job_id, _)| *job_id < id);
        self.job_index.insert(index, (id, key));
        if !self.jobs[key].spec.is_recurring() {
            self.open_occurrences(key, 1, now_ms);
            self.jobs[key].due_occurrences = 1;
        }
        if let Some(progress) = stored.progress {
            self.restore(key, &progress, predates_term, now_ms);
        }
        if predates_term {
            self.mark_unresolved(key);
        }
        self.open_steps(key, now_ms);
        self.accept_transfers(key, &stored.transfers, predates_term, now_ms);
        self.end_from_outside(key, stored.cancelled, stored.delegates_failed, now_ms);
    }

    /// Queue of a job, with its present configuration if it is still configured.
    fn current_queue(&self, spec: &JobSpec, progress: Option<&Progress>) -> Queue {
        let mut queue = spec.queue.clone().unwrap_or_default();
        if let Some(progress) = progress
            && queue.name.is_empty()
        {
            queue.name.clone_from(&progress.queue);
        }
        let found = self
            .queues
            .binary_search_by(|configured| configured.name.cmp(&queue.name));
        found.map_or(queue, |index| self.queues[index].clone())
    }

    /// Ends a job that its caller cancelled, or whose delegated tasks were given up.
    fn end_from_outside(
        &mut self,
        key: JobKey,
        cancelled: bool,
        delegates_failed: bool,
        now_ms: u64,
    ) {
        if cancelled {
            self.cancel(key, now_ms);
        } else if delegates_failed && self.jobs[key].is_live() {
            self.end_job(key, Phase::Failed, now_ms);
        }
    }

    /// Restores progress that was recorded by an earlier owner, or in the shard that the job comes from.
    fn restore(&mut self, key: JobKey, progress: &Progress, predates_term: bool, now_ms: u64) {
        let occurrences = progress
            .tasks
            .iter()
            .map(|task| task.occurrence + 1)
            .max()
            .unwrap_or(0);
        self.open_occurrences(key, occurrences, now_ms);
        let lapse_times_unix_ms: Vec<Option<u64>> = progress
            .tasks
            .iter()
            .map(|record| self.waiting_since_unix_ms(record, predates_term, now_ms))
            .collect();
        let job = &mut self.jobs[key];
        job.delegate_domains = progress.delegate_domains.iter().map(SmolStr::new).collect();
        for (record, lapsed_unix_ms) in progress.tasks.iter().zip(lapse_times_unix_ms) {
            let Some(occurrence) = job.occurrences.get_mut(record.occurrence as usize) else {
                continue;
            };
            let Some(step) = occurrence.steps.get_mut(record.step as usize) else {
                continue;
            };
            let Some(task) = step.tasks.get_mut(record.index as usize) else {
                continue;
            };
            task.last_run = record.last_run;
            task.failed_runs.clone_from(&record.failed_runs);
            task.restore_suspicion(record, lapsed_unix_ms);
            task.checkpoint = SmolStr::new(&record.checkpoint);
            task.remote = record.remote;
            if record.done && !task.done {
                task.done = true;
                step.remaining -= 1;
                job.remaining -= 1;
            }
        }
    }

    /// Base of this term's run numbers, which is above all run numbers of earlier terms.
    pub(crate) fn run_number_base(&self) -> u32 {
        u32::try_from((self.term - 1) * RUNS_PER_TERM).unwrap_or(u32::MAX / 2)
    }

    /// Marks tasks that an earlier owner may have started as unresolved.
    pub(crate) fn mark_unresolved(&mut self, key: JobKey) {
        let base = self
            .run_number_base()
            .saturating_add(self.jobs[key].run_base);
        let settled = self.settled;
        for occurrence in &mut self.jobs[key].occurrences {
            for task in occurrence.steps.iter_mut().flat_map(|step| &mut step.tasks) {
                if task.remote {
                    task.unresolved = false;
                    continue;
                }
                task.unresolved = !task.done && !task.remote && !settled;
                task.last_run = task.last_run.max(base);
            }
        }
    }

    /// Adds a task to the ready queue if it can be started and is not queued yet.
    pub(crate) fn enqueue_if_ready(&mut self, task_ref: TaskRef, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(task_ref.job) else {
            return;
        };
        let is_live = job.is_live();
        let step = &mut job.occurrences[task_ref.occurrence as usize].steps[task_ref.step as usize];
        let is_open = step.open;
        let task = &mut step.tasks[task_ref.index as usize];
        if !is_live
            || !is_open
            || task.remote
            || task.done
            || task.unresolved
            || task.queued
            || !task.runs.is_empty()
        {
            return;
        }
        task.queued = true;
        task.ready_since_ms = now_ms;
        task.queued_ms = now_ms;
        self.ready.push(task_ref);
    }

    pub fn cancel(&mut self, key: JobKey, now_ms: u64) {
        if !self.jobs[key].is_live() {
            return;
        }
        self.end_job(key, Phase::Cancelled, now_ms);
    }

    /// Ends a job and stops its remaining runs.
    pub(crate) fn end_job(&mut self, key: JobKey, phase: Phase, now_ms: u64) {
        let job = &mut self.jobs[key];
        job.phase = phase;
        job.ended_ms = Some(now_ms);
        job.mark_changed(now_ms);
        self.changed.push(key);
        let mut runs = Vec::new();
        for (task_ref, task) in job.tasks(key) {
            runs.extend(
                task.runs
                    .iter()
                    .map(|run| (task_ref, run.server, run.number)),
            );
        }
        for (task_ref, server, run) in runs {
            self.stop_run(task_ref, server, run, now_ms);
        }
    }
}
