//! State of a shard: the jobs and servers of one failure domain under one owner.

use std::mem;

use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;

use crate::abandoned_starts::AbandonedStart;
use crate::action::{Action, Decision};
use crate::advice::AdvisorCalls;
use crate::bounds::Bounds;
use crate::crash_rate::UnexplainedLosses;
use crate::crashes::LapsedServer;
use crate::ended::EndedJob;
use crate::handover::Predecessors;
use crate::interference::InterferenceModel;
use crate::job::{JobId, JobSpec, Queue, StepSpec, TaskId};
use crate::need::Need;
use crate::open_tasks::ShardLimits;
use crate::policy::Policy;
use crate::record::{Phase, ServerSet, Transfer};
use crate::rehome::MovedJob;
use crate::server::Server;
use crate::step_advice::StepAdvice;
use crate::task::Task;
use crate::vacate::EvacuationState;

new_key_type! {
    /// Key of a job in its shard.
    pub struct JobKey;
    /// Key of a server in its shard.
    pub struct ServerKey;
}

/// Position of a task in the shard's job arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskRef {
    pub job: JobKey,
    pub occurrence: u32,
    pub step: u32,
    /// Index of the task within the step.
    pub index: u32,
}

/// Step of one occurrence.
#[derive(Clone, Debug, Default)]
pub struct StepState {
    /// Whether the step's tasks may be started.
    pub open: bool,
    /// Number of tasks that are not done.
    pub remaining: u32,
    pub tasks: Vec<Task>,
    pub advice: StepAdvice,
}

/// One repetition of a job's steps.
#[derive(Clone, Debug, Default)]
pub struct Occurrence {
    pub steps: Vec<StepState>,
}

/// Job in a shard.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
#[derive(Clone, Debug)]
pub struct Job {
    pub id: JobId,
    /// Specification as accepted.
    pub spec: JobSpec,
    /// Memory that the job takes besides its tasks.
    pub bytes: u64,
    /// Longest chain of dependent steps, kept since each plan compares all waiting tasks by it.
    pub critical_path_ms: u64,
    /// Current configuration of its queue.
    pub queue: Queue,
    /// Occurrences that are due, or that an earlier owner may have started.
    pub occurrences: Vec<Occurrence>,
    /// How many of them are due by this owner's time of day.
    pub due_occurrences: u32,
    /// Whether the job was accepted before the term began, so that an earlier owner may have started its tasks.
    pub predates_term: bool,
    /// Number of tasks in these occurrences that are not done.
    pub remaining: u32,
    /// Current state.
    pub phase: Phase,
    /// State as recorded, which is the one shown to callers.
    pub recorded_phase: Phase,
    /// Number of changes so far.
    pub version: u64,
    /// Version up to which the job is recorded.
    pub recorded_version: u64,
    /// Whether any task is known to have begun; a start request without an answer does not tell.
    pub started: bool,
    /// Whether another shard is the job's home and this one runs only delegated tasks.
    pub is_delegated: bool,
    /// Failure domains whose shards run delegated tasks of the job, sorted.
    pub delegate_domains: Vec<SmolStr>,
    /// Unrecorded transfers, with the failure domains they go to.
    pub outbound_transfers: Vec<(SmolStr, Transfer)>,
    /// Keys of the transfers that delegated tasks to this shard.
    pub transfer_keys: Vec<SmolStr>,
    /// Number above which its runs are numbered, since other shards used it; 0 if the job has been in no other.
    pub run_base: u32,
    /// Revision of the entry of the inbox that this copy of the job was read from.
    pub created_revision: u64,
    /// Whether it is being moved to another shard.
    pub moving: bool,
    /// Whether a server has listed a run of it since it is being moved.
    pub has_stray_run: bool,
    /// Until when none of its tasks starts, since such a run may still be ending.
    pub held_until_ms: u64,
    /// Until when it is not moved, since an attempt had no effect.
    pub kept_until_ms: u64,
    /// When it moved here from another shard in this term; `None` if it did not.
    pub moved_here_ms: Option<u64>,
    /// When the wait of one of its tasks was last logged.
    pub stay_logged_ms: u64,
    /// Number of runs that may exist.
    pub run_count: u32,
    /// When the job was added to the shard.
    pub arrived_ms: u64,
    /// When the job ended.
    pub ended_ms: Option<u64>,
    /// Longest chain of estimated run times from each step to the end of the job.
    pub path_ms: Vec<u64>,
    /// Whether the specification is still in the store.
    pub spec_stored: bool,
    /// When the oldest unrecorded change was made.
    pub unrecorded_since_ms: u64,
}

/// Converts an index or count of a job; jobs have at most [`crate::job::TASKS_MAX`] tasks.
#[must_use]
pub(crate) fn to_u32(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}

impl Job {
    /// All tasks of opened occurrences.
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
                let task_ref = TaskRef {
                    job: key,
                    occurrence: to_u32(occurrence),
                    step: to_u32(step),
                    index: to_u32(index),
                };
                (task_ref, task)
            })
        })
    }

    /// Whether the job has not ended.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.phase == Phase::Live
    }

    /// Marks a change that has to be recorded.
    pub fn mark_changed(&mut self, now_ms: u64) {
        if self.version == self.recorded_version {
            self.unrecorded_since_ms = now_ms;
        }
        self.version += 1;
    }
}

/// Job status as shown to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task exhausted its attempts.
    Failed,
    Cancelled,
}

/// Jobs and servers of one failure domain under one owner.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct Shard {
    pub(crate) bounds: Bounds,
    pub(crate) policy: Policy,
    pub(crate) term: u64,
    /// Revision at which the term began; jobs accepted later cannot have been started by an earlier owner.
    pub(crate) term_revision: u64,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    /// Keys of the jobs, sorted by identifier.
    pub(crate) job_index: Vec<(JobId, JobKey)>,
    /// Sorted by identifier.
    pub(crate) ended_jobs: Vec<EndedJob>,
    /// What it may hold, as reported to other hosts; `None` for no limits.
    pub(crate) limits: Option<ShardLimits>,
    pub(crate) servers: SlotMap<ServerKey, Server>,
    /// Keys of the servers, sorted by name.
    pub(crate) server_index: Vec<(SmolStr, ServerKey)>,
    /// Configured queues, sorted by name.
    pub(crate) queues: Vec<Queue>,
    /// Ready queue: tasks to be started, sorted by each plan.
    pub(crate) ready: Vec<TaskRef>,
    /// Servers kept free of short tasks for overdue long-running ones, sorted.
    pub(crate) reserved_servers: Vec<ServerKey>,
    /// Servers of earlier owners that have not answered yet, sorted.
    pub(crate) unclaimed: Vec<SmolStr>,
    /// Time after the beginning of the term until all leases granted by earlier owners have expired.
    pub(crate) predecessor_expiry_ms: u64,
    /// When all leases granted by earlier owners have expired.
    pub(crate) settle_deadline_ms: u64,
    /// Whether all runs of earlier owners that may still exist are known.
    pub(crate) settled: bool,
    pub(crate) predecessors: Predecessors,
    /// Time as of which the store last confirmed the term.
    pub(crate) term_confirmed_ms: u64,
    /// Whether the shard waits for a confirmation of its term before it counts leases as ended.
    pub(crate) awaits_confirmation: bool,
    /// When the registrations were last known to be complete; `None` before that.
    pub(crate) registrations_as_of_ms: Option<u64>,
    /// Whether the store has answered no call for a while.
    pub(crate) store_silent: bool,
    pub(crate) registrations_outdated: bool,
    pub(crate) evacuation: EvacuationState,
    /// Whether the list of servers has to be recorded.
    pub(crate) servers_changed: bool,
    /// Whether a batch of records is being written.
    pub(crate) batch_in_flight: bool,
    /// Jobs that may have unrecorded changes.
    pub(crate) changed: Vec<JobKey>,
    /// Jobs whose records have to be purged, and whether another shard is their home.
    pub(crate) purged: Vec<(JobId, bool)>,
    pub(crate) actions: Vec<Action>,
    /// Needs of waiting tasks that no servers here could meet, and since when, sorted.
    pub(crate) unserved: Vec<(Need, u64)>,
    /// When they were last determined.
    pub(crate) unserved_as_of_ms: u64,
    /// Number of waiting steps in the full home that recent passes have found no room elsewhere for.
    pub(crate) full_examined: usize,
    pub(crate) advisor: AdvisorCalls,
    /// Jobs that moved to other shards lately, sorted.
    pub(crate) moved_jobs: Vec<MovedJob>,
    /// Servers that lapsed and left the registrations with runs that may have crashed them, oldest first.
    pub(crate) lapsed_servers: Vec<LapsedServer>,
    /// Starts without an answer that were given up, sorted by server.
    pub(crate) abandoned_starts: Vec<AbandonedStart>,
    pub(crate) unexplained_losses: UnexplainedLosses,
    pub(crate) interference: InterferenceModel,
    /// When the interference estimates were last recorded.
    pub(crate) interference_recorded_ms: u64,
    /// Time of day at time 0 of the monotonic clock, in milliseconds since the Unix epoch.
    pub(crate) clock_epoch_unix_ms: u64,
}

impl Shard {
    /// Opens a shard at the beginning of a term, with the servers recorded by earlier owners and the longest time for
    /// which one of these may act without a confirmation, if known.
    #[must_use]
    pub fn open(
        bounds: Bounds,
        term: u64,
        term_revision: u64,
        servers: &ServerSet,
        predecessor_authority_ms: Option<u64>,
        now_ms: u64,
    ) -> Self {
        let predecessor_expiry_ms = bounds.predecessor_expiry_ms(predecessor_authority_ms);
        let mut unclaimed: Vec<SmolStr> = servers.names.iter().map(SmolStr::new).collect();
        unclaimed.sort();
        let settled = unclaimed.is_empty();
        let mut interference = InterferenceModel::default();
        interference.merge(&servers.interference);
        Self {
            bounds,
            policy: Policy::default(),
            term,
            term_revision,
            jobs: SlotMap::with_key(),
            job_index: Vec::new(),
            ended_jobs: Vec::new(),
            limits: None,
            servers: SlotMap::with_key(),
            server_index: Vec::new(),
            queues: Vec::new(),
            ready: Vec::new(),
            reserved_servers: Vec::new(),
            unclaimed,
            predecessor_expiry_ms,
            settle_deadline_ms: now_ms + predecessor_expiry_ms,
            settled,
            predecessors: Predecessors::default(),
            term_confirmed_ms: 0,
            awaits_confirmation: false,
            registrations_as_of_ms: None,
            store_silent: false,
            registrations_outdated: false,
            evacuation: EvacuationState::default(),
            servers_changed: false,
            batch_in_flight: false,
            changed: Vec::new(),
            purged: Vec::new(),
            actions: Vec::new(),
            unserved: Vec::new(),
            unserved_as_of_ms: 0,
            full_examined: 0,
            advisor: AdvisorCalls::default(),
            moved_jobs: Vec::new(),
            lapsed_servers: Vec::new(),
            abandoned_starts: Vec::new(),
            unexplained_losses: UnexplainedLosses::default(),
            interference,
            interference_recorded_ms: now_ms,
            clock_epoch_unix_ms: 0,
        }
    }

    /// Sets the time of day, on which times in records of earlier owners are based; before jobs are added.
    #[must_use]
    pub fn with_time_of_day(mut self, unix_ms: u64, now_ms: u64) -> Self {
        self.clock_epoch_unix_ms = unix_ms.saturating_sub(now_ms);
        self
    }

    /// Sets what the deployment's settings turn on.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Time of day in milliseconds since the Unix epoch. It runs with the monotonic clock, since the term began.
    pub(crate) fn unix_ms_at(&self, now_ms: u64) -> u64 {
        self.clock_epoch_unix_ms + now_ms
    }

    /// Records that the store confirmed the term as of `as_of_ms`.
    pub fn confirm_term(&mut self, as_of_ms: u64) {
        self.term_confirmed_ms = self.term_confirmed_ms.max(as_of_ms);
    }

    /// Whether the shard waits for a confirmation of its term before it counts leases as ended.
    #[must_use]
    pub fn awaits_confirmation(&self) -> bool {
        self.awaits_confirmation
    }

    /// Whether leases that end at `lease_end_ms` by this owner's knowledge have ended. Until the term is confirmed after
    /// that, a successor may have renewed them.
    pub(crate) fn has_lease_ended(&mut self, lease_end_ms: u64, now_ms: u64) -> bool {
        if now_ms < lease_end_ms {
            return false;
        }
        let is_confirmed = self.term_confirmed_ms >= lease_end_ms;
        self.awaits_confirmation |= !is_confirmed;
        is_confirmed
    }

    /// The owner's term, which is the fencing token for servers.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Replaces the configuration of all queues.
    pub fn set_queues(&mut self, queues: impl IntoIterator<Item = Queue>) {
        self.queues = queues.into_iter().collect();
        self.queues.sort_by(|a, b| a.name.cmp(&b.name));
        for job in self.jobs.values_mut() {
            let found = self
                .queues
                .binary_search_by(|queue| queue.name.cmp(&job.queue.name));
            let Ok(index) = found else { continue };
            job.queue = self.queues[index].clone();
        }
    }

    #[must_use]
    pub fn find_job(&self, id: JobId) -> Option<JobKey> {
        let index = self
            .job_index
            .binary_search_by(|(job_id, _)| job_id.cmp(&id))
            .ok()?;
        Some(self.job_index[index].1)
    }

    /// Number of jobs per queue of which no task has started, sorted by queue.
    #[must_use]
    pub fn queued_jobs(&self) -> Vec<(SmolStr, u32)> {
        let mut counts: Vec<(SmolStr, u32)> = Vec::new();
        for job in self.jobs.values() {
            if !job.is_live() || job.started || job.is_delegated {
                continue;
            }
            match counts.binary_search_by(|(name, _)| name.as_str().cmp(&job.queue.name)) {
                Ok(index) => counts[index].1 += 1,
                Err(index) => counts.insert(index, (SmolStr::new(&job.queue.name), 1)),
            }
        }
        counts
    }

    pub(crate) fn step_spec(&self, task_ref: TaskRef) -> &StepSpec {
        &self.jobs[task_ref.job].spec.steps[task_ref.step as usize]
    }

    pub(crate) fn task(&self, task_ref: TaskRef) -> &Task {
        &self.jobs[task_ref.job].occurrences[task_ref.occurrence as usize].steps
            [task_ref.step as usize]
            .tasks[task_ref.index as usize]
    }

    pub(crate) fn task_mut(&mut self, task_ref: TaskRef) -> &mut Task {
        &mut self.jobs[task_ref.job].occurrences[task_ref.occurrence as usize].steps
            [task_ref.step as usize]
            .tasks[task_ref.index as usize]
    }

    pub(crate) fn task_id(&self, task_ref: TaskRef) -> TaskId {
        TaskId {
            job: self.jobs[task_ref.job].id,
            occurrence: task_ref.occurrence,
            step: task_ref.step,
            index: task_ref.index,
        }
    }

    /// Finds a task by the identifier that a server reports.
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
        task_ref: Option<TaskRef>,
        server: Option<ServerKey>,
        inputs: impl Into<Vec<(&'static str, u64)>>,
    ) {
        let task = task_ref.map(|task_ref| self.task_id(task_ref));
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

    /// Drains the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        mem::take(&mut self.actions)
    }

    /// Number of live jobs and of tasks that wait to be started.
    #[must_use]
    pub fn backlog(&self) -> (usize, usize) {
        (
            self.jobs.values().filter(|job| job.is_live()).count(),
            self.ready.len(),
        )
    }
}
