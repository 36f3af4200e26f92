//! Move of a job to the shard of another failure domain, if no server of its home could ever run its waiting tasks, or if
//! its home has been full for a while and another shard has capacity to spare.
//!
//! A job moves as a whole, with its progress, in one transaction on condition of the owner's term, and only while no run
//! of it may exist. Until the outcome of the transaction is known, no task of the job starts and nothing of it is recorded.

use std::mem;

use smol_str::SmolStr;

use crate::intake::{Load, choose_home};
use crate::job::{JobId, JobSpec};
use crate::ledger::progress_of;
use crate::need::Need;
use crate::record::{Progress, StoredJob};
use crate::shard::{Job, JobKey, Shard, TaskRef, to_u32};

/// Time without a server for its tasks, or without room on one, after which a job moves. Servers that restart, and those that
/// a new owner has to claim, are back within it, and most short tasks end.
const MOVE_AFTER_MS: u64 = 3_000;

/// Interval at which all waiting steps are examined; there may be thousands.
const EXAMINE_INTERVAL_MS: u64 = 500;

/// Minimum time for which a job that moved here stays, so that it does not go back and forth when evacuations change
/// quickly.
const MOVE_AGAIN_AFTER_MS: u64 = 1_000;

/// Delay before a move without effect is tried again; other jobs move meanwhile.
const MOVE_RETRY_MS: u64 = 1_000;

/// Time for a report of a server that has a run of a job that was to be moved; polls wait for 1.3 s at most.
const STRAY_RUN_REPORT_MS: u64 = 2_000;

/// Interval at which a job that waits in its home is logged, and the maximum number of such lines for each examination.
const STAY_LOG_INTERVAL_MS: u64 = 10_000;
const STAY_LINES_MAX: usize = 4;

/// Jobs in a full home for which the loads of others are searched in one pass; the next pass goes on with those after them.
const FULL_EXAMINED_MAX: usize = 128;

/// Maximum number of different needs that count as unserved at a time.
const NEEDS_MAX: usize = 1_024;

/// A job that is to be moved.
#[derive(Clone, Debug)]
pub struct JobMove {
    pub id: JobId,
    pub key: JobKey,
    /// Failure domain that becomes the job's home.
    pub failure_domain: SmolStr,
    /// Specification, with the progress for the new home, as of when the job was taken.
    pub spec: JobSpec,
    pub progress: Progress,
}

/// A job that has moved away.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MovedJob {
    id: JobId,
    /// Entries up to this revision were written before the move.
    revision: u64,
    moved_ms: u64,
}

/// Why a job moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MoveReason {
    /// No set of servers of its home could run a waiting step.
    Unserved,
    /// Its home has had no room for a waiting step.
    Full,
    /// The advisor allows no server of its home to run a waiting step.
    Denied,
    /// Its home is evacuated.
    Evacuated,
}

/// Move of a job with its present progress.
fn move_of(key: JobKey, job: &Job, failure_domain: SmolStr) -> JobMove {
    let last_runs = job.tasks(key).map(|(_, task)| task.last_run);
    let run_base = last_runs.max().unwrap_or(0).max(job.run_base);
    let progress = Progress {
        run_base,
        ..progress_of(key, job)
    };
    let spec = JobSpec {
        recorded: Some(progress.clone()),
        ..job.spec.clone()
    };
    JobMove {
        id: job.id,
        key,
        failure_domain,
        spec,
        progress,
    }
}

impl Job {
    /// Whether none of its tasks may start at present.
    pub(crate) fn stands_still(&self, now_ms: u64) -> bool {
        self.moving || now_ms < self.held_until_ms
    }

    /// Whether the job has no run, here or at a delegate, and no unread transfers.
    pub(crate) fn is_whole(&self) -> bool {
        self.run_count == 0
            && self.delegate_domains.is_empty()
            && self.outbound_transfers.is_empty()
            && self.transfer_keys.is_empty()
    }
}

impl Shard {
    /// Finds the needs of waiting tasks that no set of servers here could meet, and since when.
    pub(crate) fn update_unserved(&mut self, now_ms: u64) {
        if now_ms < self.unserved_as_of_ms + EXAMINE_INTERVAL_MS {
            return;
        }
        self.unserved_as_of_ms = now_ms;
        let mut unserved: Vec<(Need, u64)> = Vec::new();
        let mut previous: Option<TaskRef> = None;
        for &task_ref in &self.ready {
            let is_same_step = previous.is_some_and(|previous| {
                (previous.job, previous.step) == (task_ref.job, task_ref.step)
            });
            previous = Some(task_ref);
            if is_same_step || !self.settled || !self.jobs.contains_key(task_ref.job) {
                continue;
            }
            let need = self.need_of(task_ref);
            let Err(index) = unserved.binary_search_by(|(known, _)| known.cmp(&need)) else {
                continue;
            };
            if self.could_meet(&need, now_ms) {
                continue;
            }
            if unserved.len() >= NEEDS_MAX {
                break;
            }
            let found = self
                .unserved
                .binary_search_by(|(known, _)| known.cmp(&need));
            let since_ms = found.map_or(now_ms, |index| self.unserved[index].1);
            unserved.insert(index, (need, since_ms));
        }
        self.unserved = unserved;
        self.log_stays(now_ms);
    }

    /// Logs steps that have waited long enough to leave this shard, with what decides whether they may.
    fn log_stays(&mut self, now_ms: u64) {
        let is_evacuated = self.is_evacuated();
        let mut lines = Vec::new();
        for &task_ref in &self.ready {
            if lines.len() >= STAY_LINES_MAX {
                break;
            }
            let Some(job) = self.jobs.get_mut(task_ref.job) else {
                continue;
            };
            let step = &job.occurrences[task_ref.occurrence as usize].steps[task_ref.step as usize];
            let ready_since_ms = step.tasks[task_ref.index as usize].ready_since_ms;
            let waited_ms = now_ms.saturating_sub(ready_since_ms);
            if waited_ms < MOVE_AFTER_MS || now_ms < job.stay_logged_ms + STAY_LOG_INTERVAL_MS {
                continue;
            }
            job.stay_logged_ms = now_ms;
            let need = Need::of(&job.queue, &job.spec.steps[task_ref.step as usize]);
            let unserved = self
                .unserved
                .binary_search_by(|(known, _)| known.cmp(&need));
            lines.push((
                task_ref,
                [
                    ("waited_ms", waited_ms),
                    ("runs", u64::from(job.run_count)),
                    ("delegates", job.delegate_domains.len() as u64),
                    ("unserved", u64::from(unserved.is_ok())),
                    ("evacuated", u64::from(is_evacuated)),
                ],
            ));
        }
        for (task_ref, inputs) in lines {
            self.log_decision("task_stays", Some(task_ref), None, inputs);
        }
    }

    fn could_meet(&self, need: &Need, now_ms: u64) -> bool {
        let mut count = 0;
        for server in self.servers.values() {
            count += need.count_on(server, now_ms);
            if count >= need.tasks {
                return true;
            }
        }
        false
    }

    /// Takes a job that has to move, with a failure domain that has room for its waiting step. The caller reports the
    /// outcome with [`Self::job_moved`] or [`Self::job_kept`]; until then, the job stands still.
    pub fn take_job_move(
        &mut self,
        others: &mut [(SmolStr, Load)],
        now_ms: u64,
    ) -> Option<JobMove> {
        let is_any_spare = others.iter().any(|(_, load)| load.has_spare());
        if self.unserved.is_empty() && !is_any_spare && !self.is_evacuated() {
            return None;
        }
        let mut full_seen = 0;
        let mut previous: Option<TaskRef> = None;
        for &task_ref in &self.ready {
            let is_same_step = previous.is_some_and(|previous| {
                (previous.job, previous.step) == (task_ref.job, task_ref.step)
            });
            // A task that waits for its servers does not stand for the others of its step.
            if is_same_step || !self.is_waiting(task_ref, now_ms) {
                continue;
            }
            previous = Some(task_ref);
            let Some(reason) = self.move_reason(task_ref, now_ms) else {
                continue;
            };
            if reason == MoveReason::Full {
                full_seen += 1;
                let is_due = full_seen > self.full_examined;
                if !is_due || full_seen > self.full_examined + FULL_EXAMINED_MAX {
                    continue;
                }
            }
            let found = if reason == MoveReason::Evacuated {
                self.least_loaded_elsewhere(task_ref, others, now_ms)
            } else {
                self.find_room_elsewhere(task_ref, reason, others, now_ms)
            };
            let Some(index) = found else {
                continue;
            };
            let (failure_domain, load) = &mut others[index];
            let step = self.step_spec(task_ref);
            let need = self.need_of(task_ref);
            for _ in 0..step.tasks {
                need.take_free(load);
            }
            let job = &self.jobs[task_ref.job];
            load.add_tasks(&job.queue.service, step);
            load.count_job(&job.spec);
            let failure_domain = failure_domain.clone();
            return Some(self.begin_move(task_ref, reason, failure_domain, now_ms));
        }
        self.full_examined += FULL_EXAMINED_MAX;
        if self.full_examined >= full_seen {
            self.full_examined = 0;
        }
        None
    }

    /// Position of the load with the most room for a waiting step.
    fn find_room_elsewhere(
        &self,
        task_ref: TaskRef,
        reason: MoveReason,
        others: &[(SmolStr, Load)],
        now_ms: u64,
    ) -> Option<usize> {
        let service = self.jobs[task_ref.job].queue.service.as_str();
        let step = self.step_spec(task_ref);
        let need = self.need_of(task_ref);
        let mut best: Option<(usize, u32)> = None;
        for (index, (domain, load)) in others.iter().enumerate() {
            let advised = self.advised_room(task_ref, domain, now_ms);
            let count = advised.unwrap_or_else(|| need.count_free(load));
            if count < need.tasks || best.is_some_and(|(_, most)| count < most) {
                continue;
            }
            if !load.has_room_for(&self.jobs[task_ref.job].spec) {
                continue;
            }
            if reason != MoveReason::Full || load.covers(service, step, need.tasks) {
                best = Some((index, count));
            }
        }
        Some(best?.0)
    }

    /// Position of the least loaded of the failure domains that can serve a waiting step.
    fn least_loaded_elsewhere(
        &self,
        task_ref: TaskRef,
        others: &[(SmolStr, Load)],
        now_ms: u64,
    ) -> Option<usize> {
        let job = &self.jobs[task_ref.job];
        let step = self.step_spec(task_ref);
        let is_advised = |(domain, _): &(SmolStr, Load)| {
            self.has_advisor(task_ref) && self.is_advised(task_ref, domain, now_ms)
        };
        if let Some(index) = others.iter().position(is_advised) {
            return Some(index);
        }
        let serves_step = |load: &Load| {
            load.serves_label(&job.queue.service, &step.label) && load.has_room_for(&job.spec)
        };
        let loads = others.iter().map(|(_, load)| Some(load));
        // The own failure domain comes last, without a load.
        let loads: Vec<Option<&Load>> = loads.chain([None]).collect();
        let is_excluded = |index: usize| !loads[index].is_some_and(serves_step);
        choose_home(others.len(), &loads, is_excluded, &job.spec)
    }

    /// Whether a waiting job leaves an evacuated failure domain as a whole, so that its tasks are not delegated.
    pub(crate) fn moves_whole(&self, job: &Job) -> bool {
        self.is_evacuated() && job.is_whole() && !job.is_delegated
    }

    /// The same move with the present progress; `None` if the job has ended since, or must stay for another reason.
    #[must_use]
    pub fn current_move(&self, job_move: &JobMove) -> Option<JobMove> {
        let job = self.jobs.get(job_move.key)?;
        if !job.moving || !job.is_live() || !job.is_whole() || job.has_stray_run {
            return None;
        }
        let failure_domain = job_move.failure_domain.clone();
        Some(move_of(job_move.key, job, failure_domain))
    }

    /// Why a waiting task makes its job move; `None` if it does not.
    fn move_reason(&self, task_ref: TaskRef, now_ms: u64) -> Option<MoveReason> {
        let job = self.jobs.get(task_ref.job)?;
        let is_taken = job.stands_still(now_ms) || now_ms < job.kept_until_ms;
        if !job.is_whole() || !job.is_live() || job.is_delegated || is_taken {
            return None;
        }
        if self.is_evacuated() {
            let is_resting = job
                .moved_here_ms
                .is_some_and(|moved_here_ms| now_ms < moved_here_ms + MOVE_AGAIN_AFTER_MS);
            // Most jobs need not wait until the shard has settled: no earlier owner can have runs of them.
            let mut tasks = job.tasks(task_ref.job);
            let may_run_elsewhere = tasks.any(|(_, task)| task.unresolved);
            return (!may_run_elsewhere && !is_resting).then_some(MoveReason::Evacuated);
        }
        if !self.settled {
            return None;
        }
        if self.is_denied_here(task_ref, now_ms) && !self.step_spec(task_ref).can_be_delegated() {
            return Some(MoveReason::Denied);
        }
        let need = self.need_of(task_ref);
        let found = self
            .unserved
            .binary_search_by(|(known, _)| known.cmp(&need));
        if let Ok(index) = found {
            let is_due = now_ms >= self.unserved[index].1 + MOVE_AFTER_MS;
            return is_due.then_some(MoveReason::Unserved);
        }
        self.waits_for_room(task_ref, now_ms)
            .then_some(MoveReason::Full)
    }

    /// Whether a task has been ready for long, and plans found no room for it. Tasks that can be delegated leave by themselves.
    fn waits_for_room(&self, task_ref: TaskRef, now_ms: u64) -> bool {
        let job = &self.jobs[task_ref.job];
        let step = &job.occurrences[task_ref.occurrence as usize].steps[task_ref.step as usize];
        let queued_ms = step.tasks[task_ref.index as usize].queued_ms;
        (!self.has_advisor(task_ref) || step.advice.has_begun())
            && !self.registrations_outdated
            && !self.evacuation.is_outdated
            && !self.step_spec(task_ref).can_be_delegated()
            && now_ms >= queued_ms + MOVE_AFTER_MS
    }

    /// Whether a task in the ready queue could start if there were a server.
    fn is_waiting(&self, task_ref: TaskRef, now_ms: u64) -> bool {
        self.jobs.contains_key(task_ref.job) && !self.is_start_postponed(task_ref, now_ms)
    }

    fn begin_move(
        &mut self,
        task_ref: TaskRef,
        reason: MoveReason,
        failure_domain: SmolStr,
        now_ms: u64,
    ) -> JobMove {
        let key = task_ref.job;
        let waited_ms = now_ms.saturating_sub(self.task(task_ref).ready_since_ms);
        let job = &mut self.jobs[key];
        job.moving = true;
        let job_move = move_of(key, job, failure_domain);
        let inputs = [
            ("waited_ms", waited_ms),
            ("waiting", self.ready.len() as u64),
            ("unserved", u64::from(reason == MoveReason::Unserved)),
            ("evacuated", u64::from(reason == MoveReason::Evacuated)),
            ("denied", u64::from(reason == MoveReason::Denied)),
        ];
        self.log_decision("job_moves", Some(task_ref), None, inputs);
        job_move
    }

    /// Removes a copy of a job that has moved away.
    fn remove_copy(&mut self, key: JobKey) -> Option<Job> {
        let job = self.jobs.remove(key)?;
        if let Ok(index) = self.job_index.binary_search_by_key(&job.id, |(id, _)| *id) {
            self.job_index.remove(index);
        }
        self.ready.retain(|task_ref| task_ref.job != key);
        Some(job)
    }

    /// Removes the copy of a job that has moved away and, according to an entry that was written after the one of this
    /// copy, has come back.
    pub(crate) fn forget_left_copy(&mut self, id: JobId, stored: &StoredJob) {
        let Some(key) = self.find_job(id) else { return };
        let is_home_entry = stored.spec.is_some() && !stored.is_delegated;
        let job = &self.jobs[key];
        if is_home_entry && job.moving && stored.created_revision > job.created_revision {
            self.remove_copy(key);
        }
    }

    /// Forgets a job that has moved. Entries of the inbox up to a revision were written before that.
    pub fn job_moved(&mut self, key: JobKey, revision: u64, now_ms: u64) {
        // Without a copy, the job has come back already.
        let Some(job) = self.remove_copy(key) else {
            return;
        };
        self.evacuation.departures.jobs += u64::from(self.is_evacuated());
        let moved = MovedJob {
            id: job.id,
            revision,
            moved_ms: now_ms,
        };
        match self
            .moved_jobs
            .binary_search_by_key(&job.id, |known| known.id)
        {
            Ok(index) => self.moved_jobs[index] = moved,
            Err(index) => self.moved_jobs.insert(index, moved),
        }
    }

    /// Resumes a job that has not moved.
    pub fn job_kept(&mut self, key: JobKey, now_ms: u64) {
        let stop_ms = self.bounds.stop_ms;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.moving = false;
        job.kept_until_ms = now_ms + MOVE_RETRY_MS;
        if mem::take(&mut job.has_stray_run) {
            job.held_until_ms = now_ms + stop_ms + STRAY_RUN_REPORT_MS;
        }
        self.changed.push(key);
    }

    /// Whether an entry of the inbox was read before its job moved away, and is out of date.
    pub(crate) fn has_moved(&self, id: JobId, created_revision: u64) -> bool {
        let found = self.moved_jobs.binary_search_by_key(&id, |moved| moved.id);
        found.is_ok_and(|index| created_revision <= self.moved_jobs[index].revision)
    }

    pub(crate) fn forget_moved_jobs(&mut self, now_ms: u64) {
        let retention_ms = self.bounds.retention_ms;
        self.moved_jobs
            .retain(|moved| now_ms < moved.moved_ms + retention_ms);
    }

    /// Number of jobs that wait for a server which this shard does not have.
    #[must_use]
    pub fn unserved_needs(&self) -> u32 {
        to_u32(self.unserved.len())
    }
}
