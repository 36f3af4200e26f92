//! Read-only view of a shard, for the administration listener and request routing.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::journal::ParkReason;
use crate::ownership::Role;
use crate::placement::Objective;
use crate::prelude::*;
use crate::servers::Server;
use crate::shard::Shard;
use crate::tasks::{Job, JobState, Phase, Task};

/// State of a task as shown to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TaskPhase {
    /// Waits for free capacity, for reports of the servers of its rack pool, for a commit or for a retry.
    Pending,
    /// The start was sent.
    Starting,
    Running,
    Evicting,
    /// Being stopped, for example because the job is cancelled.
    Stopping,
    /// Ended successfully, or cancelled and not running.
    Ended,
    /// Not started, because the job is parked.
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

/// A job as shown to users.
#[derive(Clone, Debug)]
pub struct JobView {
    /// Specification as accepted.
    pub spec: std::sync::Arc<JobSpec>,
    pub state: JobState,
    /// Reason if the job is parked.
    pub parked: Option<ParkReason>,
    /// Number of tasks by state.
    pub tasks: BTreeMap<TaskPhase, u32>,
}

/// A task as shown to users.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskView {
    pub task: TaskId,
    pub phase: TaskPhase,
    /// Current attempt, or else the last one known to this owner.
    pub attempt: Attempt,
    /// Name of the server of the current attempt.
    pub server: Option<SmolStr>,
    /// Committed checkpoint, if any.
    pub checkpoint: Option<SmolStr>,
}

/// Whether a server receives new tasks, or why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServerState {
    /// Receives new tasks.
    Claimed,
    /// Has not reported under the current epoch of this host.
    Unclaimed,
    /// Sends no reports; its leases may still be valid.
    Silent,
    /// Sends no reports; its leases have certainly expired.
    LeasesExpired,
    Leaving,
    /// The latest starts all failed, among them starts of several jobs that do not fail elsewhere.
    Quarantined,
}

/// A server as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Key of the server in this shard.
    pub key: ServerKey,
    pub name: SmolStr,
    pub rack: SmolStr,
    /// Capacity for batch tasks.
    pub size: Resources,
    pub state: ServerState,
    /// Number of attempts that may be running on the server.
    pub attempts: usize,
}

impl Shard {
    /// Returns the role of this host.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether this host owns the shard, even if it is still recovering.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        matches!(self.role, Role::Owner | Role::Recovering)
    }

    /// Whether the shutdown is complete, with or without a handover, so that the process may exit.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.role == Role::Stopped
    }

    /// Returns the owner of the highest term that this host knows of.
    #[must_use]
    pub fn owner(&self) -> Option<&HostId> {
        self.observed_term.as_ref().map(|observed| &observed.owner)
    }

    /// Returns the designated successor of the highest term that this host knows of.
    #[must_use]
    pub fn successor(&self) -> Option<&HostId> {
        self.observed_term.as_ref()?.successor.as_ref()
    }

    /// Returns the epoch under which this host may command servers.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        self.command_epoch()
    }

    /// Whether this host suspects another host, or knows a newer incarnation of it.
    #[must_use]
    pub fn suspects(&self, host: &HostId) -> bool {
        self.suspected_since(host).is_some()
    }

    /// Returns the highest term that this host knows of; 0 if none.
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

    /// Whether the last store call failed.
    #[must_use]
    pub fn is_store_down(&self) -> bool {
        self.budget.is_down()
    }

    /// Returns the epoch under which a latency-critical request may be sent to a server now. It is `None` if the server
    /// has not reported under the current epoch, is silent or is leaving.
    #[must_use]
    pub fn request_epoch(&self, server: ServerKey, now: MonoMs) -> Option<Epoch> {
        let epoch = self.command_epoch()?;
        let server = self.fleet.get(server)?;
        let is_usable = !server.is_gone() && !server.is_leaving() && !server.is_silent(now);
        (is_usable && server.acked_epoch == Some(epoch)).then_some(epoch)
    }

    /// Returns the key of a server name.
    #[must_use]
    pub fn server_key(&self, name: &str) -> Option<ServerKey> {
        self.fleet.key(name)
    }

    /// Iterates over the known servers that are not gone.
    pub fn servers(&self) -> impl Iterator<Item = ServerView> {
        self.fleet.iter().map(|(key, server)| ServerView {
            key,
            name: server.name.clone(),
            rack: server.rack.clone(),
            size: server.size,
            state: self.server_state(server),
            attempts: server.attempts.len(),
        })
    }

    /// Returns the capacity of a server that is reserved for batch tasks.
    #[must_use]
    pub fn reserved(&self, server: ServerKey) -> Resources {
        let reserved = self.scheduler.reserved(server);
        reserved.map_or_else(Resources::default, |(reserved, _)| reserved)
    }

    /// Returns the capacity of a server that batch tasks must leave free for latency-critical requests.
    #[must_use]
    pub fn withheld(&self, server: ServerKey) -> Resources {
        self.scheduler.withheld(server)
    }

    /// Sets the weights of the scheduling goals.
    pub fn set_objective(&mut self, objective: Objective) {
        self.config.objective = objective;
        self.scheduler.set_objective(objective);
    }

    fn server_state(&self, server: &Server) -> ServerState {
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

    #[must_use]
    pub fn job(&self, id: JobId) -> Option<JobView> {
        self.durable.jobs.get(&id).map(Job::view)
    }

    /// Iterates over all jobs, including ended jobs within their retention.
    pub fn jobs(&self) -> impl Iterator<Item = JobView> {
        self.durable.jobs.values().map(Job::view)
    }

    /// Returns a task of a job that has not ended.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<TaskView> {
        self.durable.task(id).map(|task| self.task_view(id, task))
    }

    /// Iterates over all tasks that are not in a final state.
    pub fn tasks(&self) -> impl Iterator<Item = TaskView> {
        let tasks = self.durable.unfinished_tasks();
        tasks.map(|(id, task)| self.task_view(id, task))
    }

    fn task_view(&self, id: TaskId, task: &Task) -> TaskView {
        let server = task.server.and_then(|key| self.fleet.get(key));
        let committed = task.committed_checkpoint.as_ref();
        TaskView {
            task: id,
            phase: task.phase.into(),
            attempt: task.attempt,
            server: server.map(|server| server.name.clone()),
            checkpoint: committed.map(|committed| committed.checkpoint.clone()),
        }
    }

    /// Returns the number of jobs by state.
    #[must_use]
    pub fn job_counts(&self) -> BTreeMap<JobState, usize> {
        let mut counts = BTreeMap::new();
        for job in self.durable.jobs.values() {
            *counts.entry(job.state).or_default() += 1;
        }
        counts
    }

    /// Returns the number of tasks by state.
    #[must_use]
    pub fn task_counts(&self) -> BTreeMap<TaskPhase, u32> {
        let mut counts = BTreeMap::new();
        for job in self.durable.jobs.values() {
            job.count_tasks(&mut counts);
        }
        counts
    }

    /// Returns the number of stored idempotency keys.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.durable.keys.len()
    }

    /// Returns the size of the tail of the journal in bytes.
    #[must_use]
    pub fn tail_bytes(&self) -> usize {
        self.owner_state.tail.len()
    }
}

impl Job {
    fn view(&self) -> JobView {
        let mut tasks = BTreeMap::new();
        self.count_tasks(&mut tasks);
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

    /// Adds the number of tasks by state to `counts`.
    fn count_tasks(&self, counts: &mut BTreeMap<TaskPhase, u32>) {
        if self.tasks.is_empty() {
            *counts.entry(TaskPhase::Ended).or_default() += self.spec.tasks;
        }
        for task in &self.tasks {
            *counts.entry(task.phase.into()).or_default() += 1;
        }
    }
}
