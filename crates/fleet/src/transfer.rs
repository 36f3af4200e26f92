//! Long-running tasks that wait here while another failure domain has room for them.
//!
//! The shard that keeps a job hands single tasks to another shard, in the same write that records that they are
//! elsewhere. Only tasks without a run are handed over, so no task has two owners. The job stays where callers look for
//! it; its cancellation is passed on.

use smol_str::SmolStr;

use crate::intake::Load;
use crate::record::{TaskRecord, Transfer};
use crate::shard::{JobKey, Shard, TaskRef};

/// Wait after which a task is handed to a shard with room, in milliseconds: servers of the own failure domain often have
/// room again within the time of a look.
const DELEGATE_AFTER_MS: u64 = 1_200;

/// Tasks that are handed over at once; the other shard's next report shows what is still free there.
const DELEGATED_TASKS_MAX: usize = 4;

impl Shard {
    /// Hands waiting long-running tasks to shards with room. Returns whether there is anything to record.
    pub fn delegate_tasks(&mut self, others: &mut [(SmolStr, Load)], now_ms: u64) -> bool {
        let waiting: Vec<TaskRef> = self
            .ready
            .iter()
            .copied()
            .filter(|&at| self.can_delegate(at, now_ms))
            .collect();
        let mut count = 0;
        for at in waiting {
            if count >= DELEGATED_TASKS_MAX {
                break;
            }
            let step = self.step_spec(at).clone();
            let fitting = others.iter_mut().find_map(|(domain, load)| {
                let free_capacity = &mut load.free_capacity;
                let fits = free_capacity.iter().position(|free| {
                    free.cpu_millis >= step.cpu_millis && free.memory_mb >= step.memory_mb
                })?;
                free_capacity.remove(fits);
                Some(domain.clone())
            });
            let Some(domain) = fitting else { continue };
            self.delegate_to(at, domain, now_ms);
            count += 1;
        }
        count > 0
    }

    fn can_delegate(&self, at: TaskRef, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(at.job) else {
            return false;
        };
        let step = &job.spec.steps[at.step as usize];
        let task = self.task(at);
        let is_plain = step.long_running && !step.gang && step.label.is_empty() && step.gpus == 0;
        job.is_live()
            && is_plain
            && task.queued
            && task.runs.is_empty()
            && now_ms >= task.ready_since_ms + DELEGATE_AFTER_MS
    }

    fn delegate_to(&mut self, at: TaskRef, domain: SmolStr, now_ms: u64) {
        let task = self.task_mut(at);
        task.remote = true;
        task.queued = false;
        // Each transfer uses up a run, so that the newest of several records of a task can be told.
        task.last_run += 1;
        let record = TaskRecord {
            occurrence: at.occurrence,
            step: at.step,
            index: at.index,
            last_run: task.last_run,
            checkpoint: task.checkpoint.to_string(),
            ..TaskRecord::default()
        };
        let waited_ms = now_ms.saturating_sub(task.ready_since_ms);
        self.ready.retain(|&other| other != at);
        let job = &mut self.jobs[at.job];
        let transfer = Transfer {
            tasks: vec![record],
        };
        job.outbound_transfers.push((domain.clone(), transfer));
        if let Err(position) = job.delegate_domains.binary_search(&domain) {
            job.delegate_domains.insert(position, domain);
        }
        job.mark_changed(now_ms);
        self.changed.push(at.job);
        self.log_decision(
            "task_handed_over",
            Some(at),
            None,
            [("waited_ms", waited_ms)],
        );
    }

    /// Marks all tasks of a job that another shard keeps.
    pub(crate) fn mark_all_remote(&mut self, key: JobKey) {
        for occurrence in &mut self.jobs[key].occurrences {
            for task in occurrence.steps.iter_mut().flat_map(|step| &mut step.tasks) {
                task.remote = true;
            }
        }
    }

    /// Takes tasks that another shard handed over.
    pub(crate) fn accept_transfers(&mut self, key: JobKey, transfers: &[Transfer], now_ms: u64) {
        for record in transfers.iter().flat_map(|transfer| &transfer.tasks) {
            let at = TaskRef {
                job: key,
                occurrence: record.occurrence,
                step: record.step,
                index: record.index,
            };
            let id = self.task_id(at);
            if self.find_task(id).is_none() {
                continue;
            }
            let settled = self.settled;
            let first_run_of_term = self.first_run_of_term();
            let task = self.task_mut(at);
            if !task.remote || record.last_run < task.last_run {
                continue;
            }
            // A run that this shard used itself is higher; an equal one means that it was not handed on since.
            task.remote = false;
            task.last_run = record.last_run.max(first_run_of_term);
            task.checkpoint = SmolStr::new(&record.checkpoint);
            task.unresolved = !settled && first_run_of_term > 0;
            self.make_ready(at, now_ms);
        }
    }
}
