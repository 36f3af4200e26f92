//! The jobs and servers of one failure domain, under one owner.

use std::mem;

use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;

use crate::action::{Action, Decision};
use crate::bounds::Bounds;
use crate::job::{JobId, JobSpec, Queue, StepSpec, TaskId};
use crate::pressure::InterferenceModel;
use crate::record::{Phase, ServerSet, Transfer};
use crate::server::Server;
use crate::task::Task;

new_key_type! {
    /// Key of a job in its shard.
    pub struct JobKey;
    /// Key of a server in its shard.
    pub struct ServerKey;
}

/// A task by its place in the arenas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskRef {
    /// Job.
    pub job: JobKey,
    /// Occurrence.
    pub occurrence: u32,
    /// Step.
    pub step: u32,
    /// Task within the step.
    pub index: u32,
}

/// A step of one occurrence.
#[derive(Clone, Debug, Default)]
pub struct StepState {
    /// Whether its tasks may be started.
    pub open: bool,
    /// Tasks that are not done.
    pub remaining: u32,
    /// Tasks.
    pub tasks: Vec<Task>,
    /// Permissions of the advisor: server and ticket, sorted by server.
    pub tickets: Vec<(SmolStr, SmolStr)>,
    /// When the permissions end, in milliseconds.
    pub tickets_expire_ms: u64,
    /// When the advisor was last asked, in milliseconds.
    pub advice_requested_ms: Option<u64>,
}

/// One repetition of a job's steps.
#[derive(Clone, Debug, Default)]
pub struct Occurrence {
    /// Steps.
    pub steps: Vec<StepState>,
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identity.
    pub id: JobId,
    /// The job as it was accepted.
    pub spec: JobSpec,
    /// Terms of its queue.
    pub queue: Queue,
    /// Occurrences that are due.
    pub occurrences: Vec<Occurrence>,
    /// Tasks that are not done, of due occurrences.
    pub remaining: u32,
    /// State.
    pub phase: Phase,
    /// State that is recorded, and may be shown.
    pub recorded_phase: Phase,
    /// Changes so far.
    pub version: u64,
    /// Change up to which it is recorded.
    pub recorded_version: u64,
    /// Whether a task has been started.
    pub started: bool,
    /// Whether another shard keeps the job, and this one only some of its tasks.
    pub is_delegated: bool,
    /// Failure domains whose shards run tasks of the job as guests, sorted.
    pub delegate_domains: Vec<SmolStr>,
    /// Transfers that are not recorded yet, with the failure domains they go to.
    pub outbound_transfers: Vec<(SmolStr, Transfer)>,
    /// Keys of the transfers that brought tasks here.
    pub transfer_keys: Vec<SmolStr>,
    /// Runs that may exist.
    pub run_count: u32,
    /// When it became known here, in milliseconds.
    pub arrived_ms: u64,
    /// When it ended, in milliseconds.
    pub ended_ms: Option<u64>,
    /// Whether the store still has its specification.
    pub spec_stored: bool,
    /// When the oldest unrecorded change was made, in milliseconds.
    pub unrecorded_since_ms: u64,
}

/// A position or count as jobs number them; jobs have at most [`crate::job::TASKS_MAX`] tasks.
#[must_use]
pub(crate) fn to_u32(at: usize) -> u32 {
    u32::try_from(at).unwrap_or(u32::MAX)
}

impl Job {
    /// All tasks of due occurrences.
    pub fn tasks(&self, key: JobKey) -> impl Iterator<Item = (TaskRef, &Task)> {
        let occurrences = self.occurrences.iter().enumerate();
        let steps = occurrences.flat_map(|(occurrence, state)| {
            state
                .steps
                .iter()
                .enumerate()
                .map(move |(step, state)| (occurrence, step, state))
        });
        steps.flat_map(move |(occurrence, step, state)| {
            state.tasks.iter().enumerate().map(move |(index, task)| {
                let at = TaskRef {
                    job: key,
                    occurrence: to_u32(occurrence),
                    step: to_u32(step),
                    index: to_u32(index),
                };
                (at, task)
            })
        })
    }

    /// Whether tasks may be started.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.phase == Phase::Live
    }

    /// How late the job is, in times of its objective: 0 before it, at most [`LATENESS_MAX`]. Its order among others
    /// follows from it, since a late answer is worth less and one after three times the objective nothing.
    #[must_use]
    pub fn lateness(&self, unix_ms: u64) -> u64 {
        let objective_ms = self.spec.objective_ms(&self.queue);
        let age_ms = unix_ms.saturating_sub(self.spec.accepted_unix_ms);
        match age_ms / objective_ms.max(1) {
            0 => 0,
            1 | 2 => 1,
            _ => LATENESS_MAX,
        }
    }

    /// Marks a change that has to be recorded.
    pub fn mark_changed(&mut self, now_ms: u64) {
        if self.version == self.recorded_version {
            self.unrecorded_since_ms = now_ms;
        }
        self.version += 1;
    }
}

/// Lateness of a job that nobody waits for any more.
pub const LATENESS_MAX: u64 = 2;

/// What callers see of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Cancelled.
    Cancelled,
}

/// The jobs and servers of one failure domain, under one owner.
pub struct Shard {
    pub(crate) bounds: Bounds,
    pub(crate) term: u64,
    /// Revision at which the era began; jobs accepted later cannot have been started by an earlier owner.
    pub(crate) term_revision: u64,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) job_index: Vec<(JobId, JobKey)>,
    pub(crate) servers: SlotMap<ServerKey, Server>,
    pub(crate) server_index: Vec<(SmolStr, ServerKey)>,
    pub(crate) queues: Vec<Queue>,
    pub(crate) ready: Vec<TaskRef>,
    /// Servers of earlier owners that have not answered yet, sorted.
    pub(crate) unclaimed: Vec<SmolStr>,
    pub(crate) settle_deadline_ms: u64,
    pub(crate) settled: bool,
    pub(crate) servers_changed: bool,
    pub(crate) changed: Vec<JobKey>,
    pub(crate) purged: Vec<(JobId, bool)>,
    pub(crate) actions: Vec<Action>,
    pub(crate) interference: InterferenceModel,
    pub(crate) interference_recorded_ms: u64,
}

impl Shard {
    /// Opens a shard at the beginning of an era, with what the store has of it.
    #[must_use]
    pub fn open(
        bounds: Bounds,
        term: u64,
        term_revision: u64,
        servers: &ServerSet,
        now_ms: u64,
    ) -> Self {
        let mut unclaimed: Vec<SmolStr> = servers.names.iter().map(SmolStr::new).collect();
        unclaimed.sort();
        let settled = unclaimed.is_empty();
        let mut interference = InterferenceModel::default();
        interference.merge(&servers.interference);
        Self {
            bounds,
            term,
            term_revision,
            jobs: SlotMap::with_key(),
            job_index: Vec::new(),
            servers: SlotMap::with_key(),
            server_index: Vec::new(),
            queues: Vec::new(),
            ready: Vec::new(),
            unclaimed,
            settle_deadline_ms: now_ms + bounds.predecessor_expiry_ms(),
            settled,
            servers_changed: false,
            changed: Vec::new(),
            purged: Vec::new(),
            actions: Vec::new(),
            interference,
            interference_recorded_ms: now_ms,
        }
    }

    /// The era, which fences servers.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Replaces the terms of all queues.
    pub fn set_queues(&mut self, queues: impl IntoIterator<Item = Queue>) {
        self.queues = queues.into_iter().collect();
        self.queues.sort_by(|a, b| a.name.cmp(&b.name));
        for job in self.jobs.values_mut() {
            let found = self
                .queues
                .binary_search_by(|queue| queue.name.cmp(&job.queue.name));
            let Ok(at) = found else { continue };
            job.queue = self.queues[at].clone();
        }
    }

    /// Finds a job.
    #[must_use]
    pub fn find_job(&self, id: JobId) -> Option<JobKey> {
        let at = self
            .job_index
            .binary_search_by(|(known, _)| known.cmp(&id))
            .ok()?;
        Some(self.job_index[at].1)
    }

    /// What callers may be told of a job; only recorded ends are told.
    #[must_use]
    pub fn job_status(&self, id: JobId) -> Option<JobStatus> {
        let job = &self.jobs[self.find_job(id)?];
        Some(match job.recorded_phase {
            Phase::Completed => JobStatus::Completed,
            Phase::Failed => JobStatus::Failed,
            Phase::Cancelled => JobStatus::Cancelled,
            Phase::Live if job.started => JobStatus::Running,
            Phase::Live => JobStatus::Queued,
        })
    }

    /// Jobs of each queue of which no task has started, sorted by queue.
    #[must_use]
    pub fn queued_jobs(&self) -> Vec<(SmolStr, u32)> {
        let mut counts: Vec<(SmolStr, u32)> = Vec::new();
        for job in self.jobs.values() {
            if !job.is_live() || job.started || job.is_delegated {
                continue;
            }
            match counts.binary_search_by(|(name, _)| name.as_str().cmp(&job.queue.name)) {
                Ok(at) => counts[at].1 += 1,
                Err(at) => counts.insert(at, (SmolStr::new(&job.queue.name), 1)),
            }
        }
        counts
    }

    /// The step of a task.
    pub(crate) fn step_spec(&self, at: TaskRef) -> &StepSpec {
        &self.jobs[at.job].spec.steps[at.step as usize]
    }

    /// A task.
    pub(crate) fn task(&self, at: TaskRef) -> &Task {
        &self.jobs[at.job].occurrences[at.occurrence as usize].steps[at.step as usize].tasks
            [at.index as usize]
    }

    /// A task, to change it.
    pub(crate) fn task_mut(&mut self, at: TaskRef) -> &mut Task {
        &mut self.jobs[at.job].occurrences[at.occurrence as usize].steps[at.step as usize].tasks
            [at.index as usize]
    }

    /// The name of a task.
    pub(crate) fn task_id(&self, at: TaskRef) -> TaskId {
        TaskId {
            job: self.jobs[at.job].id,
            occurrence: at.occurrence,
            step: at.step,
            index: at.index,
        }
    }

    /// The place of a task that is named by a server.
    pub(crate) fn find_task(&self, id: TaskId) -> Option<TaskRef> {
        let job = self.find_job(id.job)?;
        let occurrence = self.jobs[job].occurrences.get(id.occurrence as usize)?;
        occurrence
            .steps
            .get(id.step as usize)?
            .tasks
            .get(id.index as usize)?;
        Some(TaskRef {
            job,
            occurrence: id.occurrence,
            step: id.step,
            index: id.index,
        })
    }

    pub(crate) fn log_decision(
        &mut self,
        event: &'static str,
        at: Option<TaskRef>,
        server: Option<ServerKey>,
        inputs: impl Into<Vec<(&'static str, u64)>>,
    ) {
        let task = at.map(|at| self.task_id(at));
        let server = server
            .and_then(|key| self.servers.get(key))
            .map(|server| server.entry.name.clone());
        self.actions.push(Action::Log(Decision {
            event,
            task,
            server,
            inputs: inputs.into(),
        }));
    }

    /// Takes what has to be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        mem::take(&mut self.actions)
    }

    /// Number of jobs that have not ended, and of tasks that wait for a start.
    #[must_use]
    pub fn backlog(&self) -> (usize, usize) {
        (
            self.jobs.values().filter(|job| job.is_live()).count(),
            self.ready.len(),
        )
    }
}
