//! Read-only view of a shard for the administration listener and for the routing of requests.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::journal::ParkReason;
use crate::ownership::Role;
use crate::placement::Objective;
use crate::prelude::*;
use crate::servers::Server;
use crate::shard::Shard;
use crate::tasks::{Job, JobState, Phase, Task};

/// State of a task as users know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TaskPhase {
    /// Waits for room, for its cell or for its next try.
    Pending,
    /// Its start was sent.
    Starting,
    /// Runs.
    Running,
    /// Is being evicted.
    Evicting,
    /// Is being stopped because its job is cancelled.
    Stopping,
    /// Ended, or cancelled and not running.
    Ended,
    /// Its job is parked.
    Parked,
}

impl From<Phase> for TaskPhase {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Held | Phase::Pending => Self::Pending,
            Phase::Starting => Self::Starting,
            Phase::Running | Phase::Ending => Self::Running,
            Phase::Evicting(_) => Self::Evicting,
            Phase::Stopping => Self::Stopping,
            Phase::Ended => Self::Ended,
            Phase::Parked => Self::Parked,
        }
    }
}

/// A job as users see it.
#[derive(Clone, Debug)]
pub struct JobView {
    /// As accepted.
    pub spec: std::sync::Arc<JobSpec>,
    /// State.
    pub state: JobState,
    /// Why it is parked.
    pub parked: Option<ParkReason>,
    /// Number of tasks by state.
    pub tasks: BTreeMap<TaskPhase, u32>,
}

/// A task as users see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskView {
    /// The task.
    pub task: TaskId,
    /// State.
    pub phase: TaskPhase,
    /// Current or last attempt known to this owner.
    pub attempt: Attempt,
    /// Name of the server of the current attempt.
    pub server: Option<SmolStr>,
    /// Committed checkpoint.
    pub checkpoint: Option<SmolStr>,
}

/// Why a server gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServerState {
    /// Takes work.
    Claimed,
    /// Has not answered this host's claim.
    Unclaimed,
    /// Sends no reports, but its leases may be running.
    Silent,
    /// Sends no reports, and its leases have certainly lapsed.
    LeasesExpired,
    /// Is leaving.
    Leaving,
    /// Its last starts all failed, of jobs that do not fail elsewhere.
    Quarantined,
}

/// A server as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Its key in this shard.
    pub key: ServerKey,
    /// Name.
    pub name: SmolStr,
    /// Rack.
    pub rack: SmolStr,
    /// What it can hold for batch.
    pub size: Resources,
    /// State.
    pub state: ServerState,
    /// Number of attempts that may run there.
    pub attempts: usize,
}

impl Shard {
    /// The part that this host plays.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether this host owns the shard, recovered or not.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        matches!(self.role, Role::Owner | Role::Recovering)
    }

    /// Whether this host has handed over, or has given up to, and the process may end.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.role == Role::Stopped
    }

    /// The owner as far as this host knows.
    #[must_use]
    pub fn owner(&self) -> Option<&HostId> {
        self.observed_term.as_ref().map(|observed| &observed.owner)
    }

    /// The designated successor as far as this host knows.
    #[must_use]
    pub fn successor(&self) -> Option<&HostId> {
        self.observed_term.as_ref()?.successor.as_ref()
    }

    /// The epoch under which this host commands servers, if it may.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        self.command_epoch()
    }

    /// Whether this host suspects another one, or knows that this incarnation is gone.
    #[must_use]
    pub fn suspects(&self, host: &HostId) -> bool {
        self.suspected_since(host).is_some()
    }

    /// The highest term that this host knows of; 0 if none.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.observed_term
            .as_ref()
            .map_or(0, |observed| observed.term)
    }

    /// Whether this host may start tasks and renew leases now.
    #[must_use]
    pub fn holds_authority(&self, now: MonoMs) -> bool {
        self.is_owner() && self.owner_state.authority.holds(now)
    }

    /// Whether the store did not answer the last call.
    #[must_use]
    pub fn is_store_down(&self) -> bool {
        self.budget.is_down()
    }

    /// The epoch under which a latency-critical request may be sent to a server now, or `None` if the server has not
    /// answered this host's claim, is silent or is leaving.
    #[must_use]
    pub fn may_send(&self, server: ServerKey, now: MonoMs) -> Option<Epoch> {
        let epoch = self.command_epoch()?;
        let server = self.fleet.get(server)?;
        let is_usable = !server.is_gone() && !server.is_leaving() && !server.is_silent(now);
        (is_usable && server.acked_epoch == Some(epoch)).then_some(epoch)
    }

    /// The key of a server's name.
    #[must_use]
    pub fn server_key(&self, name: &str) -> Option<ServerKey> {
        self.fleet.key(name)
    }

    /// All known servers that are not gone.
    pub fn servers(&self) -> impl Iterator<Item = ServerView> {
        self.fleet.iter().map(|(key, server)| ServerView {
            key,
            name: server.name.clone(),
            rack: server.rack.clone(),
            size: server.size,
            state: self.state_of(server),
            attempts: server.attempts.len(),
        })
    }

    /// What batch has reserved on a server.
    #[must_use]
    pub fn reserved(&self, server: ServerKey) -> Resources {
        let reserved = self.scheduler.reserved(server);
        reserved.map_or_else(Resources::default, |(reserved, _)| reserved)
    }

    /// What batch must leave free for requests on a server.
    #[must_use]
    pub fn withheld(&self, server: ServerKey) -> Resources {
        self.scheduler.withheld(server)
    }

    /// Sets the weights of the goals.
    pub fn set_objective(&mut self, objective: Objective) {
        self.config.objective = objective;
        self.scheduler.set_objective(objective);
    }

    fn state_of(&self, server: &Server) -> ServerState {
        let epoch = self.command_epoch();
        if server.is_leaving() {
            ServerState::Leaving
        } else if server.leases_expired {
            ServerState::LeasesExpired
        } else if server.acked_epoch.is_none() || server.acked_epoch != epoch {
            ServerState::Unclaimed
        } else if server.is_silent(self.now) {
            ServerState::Silent
        } else if server.health.is_quarantined() {
            ServerState::Quarantined
        } else {
            ServerState::Claimed
        }
    }

    /// A job.
    #[must_use]
    pub fn job(&self, id: JobId) -> Option<JobView> {
        self.durable.jobs.get(&id).map(Job::view)
    }

    /// All remembered jobs, by identity.
    pub fn jobs(&self) -> impl Iterator<Item = JobView> {
        self.durable.jobs.values().map(Job::view)
    }

    /// A task of a job that has not ended.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<TaskView> {
        self.durable.task(id).map(|task| self.task_view(id, task))
    }

    /// All tasks that are not final.
    pub fn tasks(&self) -> impl Iterator<Item = TaskView> {
        let tasks = self.durable.unfinished_tasks();
        tasks.map(|(id, task)| self.task_view(id, task))
    }

    fn task_view(&self, id: TaskId, task: &Task) -> TaskView {
        let server = task.server.and_then(|key| self.fleet.get(key));
        let resume = task.resume.as_ref();
        TaskView {
            task: id,
            phase: task.phase.into(),
            attempt: task.attempt,
            server: server.map(|server| server.name.clone()),
            checkpoint: resume.map(|resume| resume.checkpoint.clone()),
        }
    }

    /// Number of jobs by state.
    #[must_use]
    pub fn job_counts(&self) -> BTreeMap<JobState, usize> {
        let mut counts = BTreeMap::new();
        for job in self.durable.jobs.values() {
            *counts.entry(job.state).or_default() += 1;
        }
        counts
    }

    /// Number of tasks by state.
    #[must_use]
    pub fn task_counts(&self) -> BTreeMap<TaskPhase, u32> {
        let mut counts = BTreeMap::new();
        for job in self.durable.jobs.values() {
            job.count(&mut counts);
        }
        counts
    }

    /// Number of remembered idempotency keys.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.durable.keys.len()
    }

    /// Size of the journal's tail in bytes.
    #[must_use]
    pub fn tail_bytes(&self) -> usize {
        self.owner_state.tail.len()
    }
}

impl Job {
    fn view(&self) -> JobView {
        let mut tasks = BTreeMap::new();
        self.count(&mut tasks);
        let parked = match self.state {
            JobState::Parked(reason) => Some(reason),
            _ => None,
        };
        JobView {
            spec: self.spec.clone(),
            state: self.state,
            parked,
            tasks,
        }
    }

    fn count(&self, counts: &mut BTreeMap<TaskPhase, u32>) {
        if self.tasks.is_empty() {
            *counts.entry(TaskPhase::Ended).or_default() += self.spec.tasks;
        }
        for task in &self.tasks {
            *counts.entry(task.phase.into()).or_default() += 1;
        }
    }
}
