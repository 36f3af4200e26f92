//! Delegation of long-running tasks to a shard of another failure domain with free capacity.
//!
//! The home shard records a task as remote in the same write that transfers it. Only tasks without a run are delegated,
//! so no task has two owners. The job itself stays in its home shard, where callers look for it; its cancellation is
//! forwarded to the delegates.

use smol_str::SmolStr;

use crate::intake::Load;
use crate::record::{TaskRecord, Transfer};
use crate::shard::{JobKey, Shard, TaskRef};
use crate::task::Move;

/// Wait after which a task is delegated; local servers often have free capacity again within one poll.
const DELEGATE_AFTER_MS: u64 = 1_200;

/// The same for a task that was moved from a draining server; whether there is local room was checked before its stop.
const DELEGATE_MOVED_AFTER_MS: u64 = 200;

/// Minimum time for which a delegated task stays in an evacuated failure domain before it is delegated again, so that it does
/// not go back and forth when evacuations change quickly.
const DELEGATE_AGAIN_AFTER_MS: u64 = 1_000;

/// Maximum number of transfers of a job that are not recorded yet. Each takes two entries of the transaction that records
/// the job.
const UNRECORDED_TRANSFERS_MAX: usize = 8;

/// Maximum number of tasks delegated at a time, which limits the size of the records that wait for the store.
pub(crate) const DELEGATED_TASKS_MAX: usize = 16;

impl Shard {
    /// Delegates waiting long-running tasks to shards with free capacity, and stops some on draining servers, or in an
    /// evacuated failure domain, for that.
    /// Returns whether there is anything to record.
    pub fn delegate_tasks(&mut self, others: &mut [(SmolStr, Load)], now_ms: u64) -> bool {
        let waiting: Vec<TaskRef> = self
            .ready
            .iter()
            .copied()
            .filter(|&task_ref| self.can_delegate(task_ref, now_ms))
            .collect();
        let mut count = 0;
        for task_ref in waiting {
            if count >= DELEGATED_TASKS_MAX {
                break;
            }
            let members = self.members_of(task_ref);
            let mut others_of_gang = members.iter().filter(|&&member| member != task_ref);
            // Another member may have been delegated with its gang just now.
            let is_ready = self.task(task_ref).queued
                && others_of_gang.all(|&member| self.can_delegate(member, now_ms));
            let job = &self.jobs[task_ref.job];
            if !is_ready || job.outbound_transfers.len() >= UNRECORDED_TRANSFERS_MAX {
                continue;
            }
            let Some(domain) = self.take_room(task_ref, others, now_ms) else {
                continue;
            };
            self.use_advised_room(&members, &domain);
            self.delegate_to(&members, domain, now_ms);
            count += members.len();
        }
        self.stop_for_delegation(others, now_ms);
        count > 0
    }

    fn can_delegate(&self, task_ref: TaskRef, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(task_ref.job) else {
            return false;
        };
        let task = self.task(task_ref);
        let delegate_after_ms = match task.moved {
            Move::None if self.is_evacuated() && job.is_delegated => DELEGATE_AGAIN_AFTER_MS,
            _ if self.is_evacuated() || self.is_denied_here(task_ref, now_ms) => 0,
            Move::None => DELEGATE_AFTER_MS,
            Move::Reserved | Move::Unreserved => DELEGATE_MOVED_AFTER_MS,
        };
        job.is_live()
            && !self.moves_whole(job)
            && !job.stands_still(now_ms)
            && self.step_spec(task_ref).can_be_delegated()
            && task.queued
            && task.runs.is_empty()
            && !self.is_start_postponed(task_ref, now_ms)
            && now_ms >= task.queued_ms + delegate_after_ms
    }

    /// The tasks that have to start together with a task, itself included.
    fn members_of(&self, task_ref: TaskRef) -> Vec<TaskRef> {
        let step = self.step_spec(task_ref);
        if !step.gang {
            return vec![task_ref];
        }
        let indexes = 0..step.tasks;
        indexes.map(|index| TaskRef { index, ..task_ref }).collect()
    }

    /// Delegates a task, or all members of a gang, to the shard of another failure domain.
    fn delegate_to(&mut self, members: &[TaskRef], domain: SmolStr, now_ms: u64) {
        let mut transfer = Transfer::default();
        for &task_ref in members {
            let task = self.task_mut(task_ref);
            let waited_ms = now_ms.saturating_sub(task.ready_since_ms);
            task.remote = true;
            task.delegated_ms = Some(now_ms);
            task.queued = false;
            task.moved = Move::None;
            // Each transfer uses a run number, so that the newest of several records of a task can be identified.
            task.last_run += 1;
            transfer.tasks.push(TaskRecord {
                occurrence: task_ref.occurrence,
                step: task_ref.step,
                index: task_ref.index,
                last_run: task.last_run,
                checkpoint: task.checkpoint.to_string(),
                crashed_runs: task.crashed_runs.clone(),
                sole_crashes: task.sole_crashes,
                lapsed_runs: task.lapsed_runs.clone(),
                last_lapse_unix_ms: task.last_lapse_unix_ms.unwrap_or(0),
                waited_ms,
                ..TaskRecord::default()
            });
            self.log_decision(
                "task_handed_over",
                Some(task_ref),
                None,
                [
                    ("waited_ms", waited_ms),
                    ("evacuated", u64::from(self.is_evacuated())),
                ],
            );
        }
        if self.is_evacuated() {
            self.evacuation.departures.tasks += members.len() as u64;
        }
        self.ready.retain(|other| !members.contains(other));
        let key = members[0].job;
        let job = &mut self.jobs[key];
        job.outbound_transfers.push((domain.clone(), transfer));
        if let Err(position) = job.delegate_domains.binary_search(&domain) {
            job.delegate_domains.insert(position, domain);
        }
        job.mark_changed(now_ms);
        self.changed.push(key);
    }

    /// Accepts tasks that another shard delegated to this one. Tasks have no runs when they are delegated, so those
    /// delegated since this term began cannot run under an earlier owner.
    pub(crate) fn accept_transfers(
        &mut self,
        key: JobKey,
        transfers: &[Transfer],
        predates_term: bool,
        now_ms: u64,
    ) {
        for record in transfers.iter().flat_map(|transfer| &transfer.tasks) {
            let task_ref = TaskRef {
                job: key,
                occurrence: record.occurrence,
                step: record.step,
                index: record.index,
            };
            let id = self.task_id(task_ref);
            if self.find_started_task(id, now_ms).is_none() {
                continue;
            }
            let settled = self.settled;
            let run_number_base = self.run_number_base();
            let last_lapse_unix_ms = self.waiting_since_unix_ms(record, false, now_ms);
            let task = self.task_mut(task_ref);
            if !task.remote || record.last_run < task.last_run {
                continue;
            }
            // Run numbers used by this shard itself are higher; an equal one means the task has not been delegated
            // again since.
            task.remote = false;
            task.delegated_ms = None;
            task.checkpoint = SmolStr::new(&record.checkpoint);
            // The home shard delegates a task only after this wait.
            task.restore_suspicion(record, last_lapse_unix_ms);
            task.unresolved = predates_term && !settled && run_number_base > 0;
            // Numbers of another shard may be above the bases of several terms of this one.
            let job = &mut self.jobs[key];
            job.run_base = job.run_base.max(record.last_run);
            let last_run = run_number_base.saturating_add(job.run_base);
            self.task_mut(task_ref).last_run = last_run;
            self.enqueue_if_ready(task_ref, now_ms);
            // The waits that bound how long a task stands still go on, in whichever shard it is.
            let ready_since_ms = now_ms.saturating_sub(record.waited_ms);
            self.task_mut(task_ref).ready_since_ms = ready_since_ms;
            let is_queued = self.task(task_ref).queued;
            self.log_decision(
                "task_arrived",
                Some(task_ref),
                None,
                [
                    ("waited_ms", record.waited_ms),
                    ("queued", u64::from(is_queued)),
                ],
            );
        }
    }
}
