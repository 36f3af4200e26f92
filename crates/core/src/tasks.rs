//! Task and job states, and the durable state of a shard, which is built from journal records.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use smol_str::SmolStr;

use crate::crashes::LostServer;
use crate::journal::{
    Accepted, Ended, Entry, Evicted, Failed, ParkReason, RackPoolRun, ServerEntry,
};
use crate::keys::Keys;
use crate::placement::RackPoolKey;
use crate::prelude::*;

/// Retention of ended jobs and of idempotency keys, in milliseconds.
pub const RETENTION_MS: u64 = 600_000;

/// Step of an eviction: checkpoint, journal record, stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EvictionStep {
    /// A checkpoint was requested; the attempt is running.
    Checkpoint,
    /// The `Evicted` record is being committed; the attempt is running.
    Record,
    /// The record is committed; the stop is not confirmed yet.
    Stop,
    /// The attempt has stopped; the `Evicted` record is being committed.
    Stopped,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Pending but not at the scheduler: the task may be running on a server that has not reported, or it waits for a
    /// commit or for its next retry.
    Held,
    /// Pending at the scheduler.
    #[default]
    Pending,
    /// The start was sent; the attempt may be running.
    Starting,
    /// The server has reported the attempt or acknowledged the start.
    Running,
    /// Being evicted.
    Evicting(EvictionStep),
    /// Being stopped: the job is cancelled, or an earlier attempt succeeded.
    Stopping,
    /// The attempt succeeded; the `Ended` record is being committed.
    Ending,
    /// Ended successfully, or cancelled and not running.
    Ended,
    /// Not started, because the job is parked.
    Parked,
}

/// The committed checkpoint of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedCheckpoint {
    /// Attempt that wrote the checkpoint.
    pub attempt: Attempt,
    /// Handle to resume from.
    pub checkpoint: SmolStr,
}

#[derive(Clone, Debug, Default)]
pub struct Task {
    pub phase: Phase,
    /// Rack pool that the task is bound to.
    pub rack_pool: RackPoolKey,
    /// Server of the current attempt.
    pub server: Option<ServerKey>,
    /// Current attempt, or else the last one known to this host.
    pub attempt: Attempt,
    /// Server timestamp on which the lease of the start command was based.
    pub start_timestamp: ServerTimestamp,
    /// Last call sent before the attempt was known to run, 0 if it is not. A report that answers a later call and does
    /// not list the attempt proves that it is over.
    pub confirmed_op: OpId,
    /// Committed checkpoint to resume from.
    pub committed_checkpoint: Option<Box<CommittedCheckpoint>>,
}

impl Task {
    /// Whether an attempt may be running, or has ended and the end is not processed yet.
    #[must_use]
    pub fn is_placed(&self) -> bool {
        self.server.is_some()
    }

    /// Whether the journal has a checkpoint of an attempt after this one.
    #[must_use]
    pub fn has_later_checkpoint(&self, attempt: Attempt) -> bool {
        let committed = self.committed_checkpoint.as_ref();
        committed.is_some_and(|committed| committed.attempt > attempt)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JobState {
    /// Has unfinished tasks.
    Active,
    /// Cancelled.
    Cancelled,
    /// Parked; its tasks are not started.
    Parked(ParkReason),
    /// All tasks ended successfully.
    Ended,
}

#[derive(Clone, Debug)]
pub struct Job {
    /// Specification as accepted.
    pub spec: Arc<JobSpec>,
    pub state: JobState,
    /// Tasks by index; empty once all have ended.
    pub tasks: Vec<Task>,
    /// Number of tasks that are not in a final state.
    pub unfinished: u32,
}

/// Journaled failures of a job that may still run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JournaledFailures {
    /// Servers that the job failed on.
    pub servers: BTreeSet<SmolStr>,
    pub rounds: u32,
}

/// Journaled data of a server that may run tasks of the shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournaledServer {
    pub rack_pool: RackPoolKey,
    /// Capacity for batch tasks when the server was added.
    pub size: Resources,
}

/// State of a shard that the journal records. Only committed records change it, so a snapshot of it never contains
/// more than the journal. The phases of tasks are kept here as well but are not durable.
#[derive(Clone, Debug, Default)]
pub struct DurableState {
    pub jobs: BTreeMap<JobId, Job>,
    pub keys: Keys,
    /// Racks of the rack pools.
    pub racks: BTreeMap<RackPoolKey, SmolStr>,
    /// Servers by name.
    pub servers: BTreeMap<SmolStr, JournaledServer>,
    /// Failures that count against jobs.
    pub failures: BTreeMap<JobId, JournaledFailures>,
    /// Lost servers that count against tasks.
    pub losses: BTreeMap<TaskId, Vec<LostServer>>,
    finished: VecDeque<(MonoMs, JobId)>,
}

impl DurableState {
    /// Returns a task of a known job that has not ended.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        let job = self.jobs.get(&id.job)?;
        job.tasks.get(id.index as usize)
    }

    /// Returns a task of a known job that has not ended.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let job = self.jobs.get_mut(&id.job)?;
        job.tasks.get_mut(id.index as usize)
    }

    /// Applies a committed record. New tasks are `Held`; the caller decides when they may start.
    pub fn apply(&mut self, entry: &Entry, now: MonoMs) {
        match entry {
            Entry::Accepted(accepted) => self.accept(accepted, now),
            Entry::Bound(bound) => {
                if let Some(task) = self.task_mut(bound.task.into()) {
                    task.rack_pool = RackPoolKey(bound.rack_pool);
                }
            }
            Entry::Evicted(evicted) => self.set_committed_checkpoint(evicted),
            Entry::Cancelled(cancelled) => {
                for &job in &cancelled.jobs {
                    self.set_state(JobId(job), JobState::Cancelled);
                }
            }
            Entry::Ended(ended) => self.end_range(*ended, now),
            Entry::Parked(parked) => {
                let state = match parked.reason() {
                    ParkReason::Unparked => JobState::Active,
                    reason => JobState::Parked(reason),
                };
                self.set_state(JobId(parked.job), state);
            }
            Entry::Claimed(key) => self.keys.claim(key.key(), now),
            Entry::Answered(key) => self
                .keys
                .answer(key.key(), key.answer.as_slice().into(), now),
            Entry::ServerAdded(server) => self.add_server(server),
            Entry::ServerGone(name) => {
                self.servers.remove(name.as_str());
            }
            Entry::Failed(failed) => self.count_failure(failed),
        }
    }

    fn accept(&mut self, accepted: &Accepted, now: MonoMs) {
        let spec = accepted.spec();
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        let mut tasks = Vec::with_capacity(spec.tasks as usize);
        for run in &accepted.rack_pools {
            let task = Task {
                phase: Phase::Held,
                rack_pool: RackPoolKey(run.rack_pool),
                ..Task::default()
            };
            tasks.extend((0..run.tasks).map(|_| task.clone()));
        }
        let is_empty = tasks.is_empty();
        if is_empty {
            self.finished.push_back((now, spec.id));
        }
        let job = Job {
            state: if is_empty {
                JobState::Ended
            } else {
                JobState::Active
            },
            unfinished: u32::try_from(tasks.len()).unwrap_or(u32::MAX),
            tasks,
            spec: Arc::new(spec),
        };
        self.jobs.insert(job.spec.id, job);
    }

    fn set_committed_checkpoint(&mut self, evicted: &Evicted) {
        let attempt = Attempt {
            term: evicted.attempt_term,
            counter: evicted.attempt_counter,
        };
        let Some(task) = self.task_mut(evicted.task.into()) else {
            return;
        };
        let is_newer = task
            .committed_checkpoint
            .as_ref()
            .is_none_or(|old| old.attempt <= attempt);
        if !is_newer || task.phase == Phase::Ended {
            return;
        }
        task.committed_checkpoint = Some(Box::new(CommittedCheckpoint {
            attempt,
            checkpoint: evicted.checkpoint.as_str().into(),
        }));
    }

    fn set_state(&mut self, id: JobId, state: JobState) {
        self.failures.remove(&id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let is_final = matches!(job.state, JobState::Cancelled | JobState::Ended);
        if !is_final {
            job.state = state;
        }
    }

    fn count_failure(&mut self, failed: &Failed) {
        let id = JobId(failed.job);
        if let Some(loss) = failed.loss {
            self.apply_loss(id, &failed.server, loss);
            return;
        }
        let state = self.jobs.get(&id).map(|job| job.state);
        if !matches!(state, Some(JobState::Active | JobState::Parked(_))) {
            return;
        }
        if failed.rounds == 0 {
            self.failures.remove(&id);
            return;
        }
        let failures = self.failures.entry(id).or_default();
        failures.rounds = failed.rounds;
        let server = failed.server.as_str();
        if failed.excused {
            failures.servers.remove(server);
        } else if !server.is_empty() {
            failures.servers.insert(server.into());
        }
    }

    fn end_range(&mut self, ended: Ended, now: MonoMs) {
        let first = TaskId::from(ended.first);
        for offset in 0..ended.tasks {
            let index = first.index.saturating_add(offset);
            self.finish(TaskId { index, ..first }, now);
        }
    }

    /// Moves a task to its final state. The job is dropped `RETENTION_MS` after its last task.
    pub fn finish(&mut self, id: TaskId, now: MonoMs) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(id.index as usize) else {
            return;
        };
        if task.phase == Phase::Ended {
            return;
        }
        task.phase = Phase::Ended;
        task.server = None;
        task.committed_checkpoint = None;
        self.losses.remove(&id);
        job.unfinished -= 1;
        if job.unfinished > 0 {
            return;
        }
        job.tasks = Vec::new();
        if job.state != JobState::Cancelled {
            job.state = JobState::Ended;
        }
        self.failures.remove(&id.job);
        self.finished.push_back((now, id.job));
    }

    /// Drops ended jobs and idempotency keys whose retention has expired.
    pub fn expire(&mut self, now: MonoMs) {
        self.keys.expire(now);
        while let Some(&(ended, job)) = self.finished.front() {
            if now < ended + DurationMs(RETENTION_MS) {
                return;
            }
            self.finished.pop_front();
            self.jobs.remove(&job);
        }
    }

    fn add_server(&mut self, entry: &ServerEntry) {
        let rack_pool = RackPoolKey(entry.rack_pool);
        self.racks.insert(rack_pool, entry.rack.as_str().into());
        let size = Resources {
            millicores: entry.millicores,
            memory_mib: entry.memory_mib,
            accelerators: entry.accelerators,
        };
        let name = entry.name.as_str().into();
        self.servers
            .insert(name, JournaledServer { rack_pool, size });
    }

    /// Returns the records from which [`DurableState::apply`] rebuilds this state.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (name, server) in &self.servers {
            entries.push(self.server_entry(name, server));
        }
        for job in self.jobs.values() {
            job.write(&mut entries);
        }
        for (job, failures) in &self.failures {
            failures.write(*job, &mut entries);
        }
        self.write_losses(&mut entries);
        self.keys.write(&mut entries);
        entries
    }

    fn server_entry(&self, name: &SmolStr, server: &JournaledServer) -> Entry {
        let rack = self.racks.get(&server.rack_pool);
        Entry::ServerAdded(ServerEntry {
            name: name.to_string(),
            rack: rack.map(ToString::to_string).unwrap_or_default(),
            rack_pool: server.rack_pool.0,
            millicores: server.size.millicores,
            memory_mib: server.size.memory_mib,
            accelerators: server.size.accelerators,
        })
    }

    /// Iterates over all tasks that are not in a final state.
    pub fn unfinished_tasks(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        self.jobs.values().flat_map(|job| {
            let tasks = job.tasks.iter().enumerate();
            tasks.filter_map(|(at, task)| {
                let index = u32::try_from(at).ok()?;
                let id = TaskId {
                    job: job.spec.id,
                    index,
                };
                (task.phase != Phase::Ended).then_some((id, task))
            })
        })
    }
}

impl Job {
    fn write(&self, entries: &mut Vec<Entry>) {
        let id = self.spec.id;
        let mut rack_pools: Vec<RackPoolRun> = Vec::new();
        for task in &self.tasks {
            match rack_pools.last_mut() {
                Some(run) if run.rack_pool == task.rack_pool.0 => run.tasks += 1,
                _ => rack_pools.push(RackPoolRun {
                    rack_pool: task.rack_pool.0,
                    tasks: 1,
                }),
            }
        }
        if self.tasks.is_empty() {
            rack_pools.push(RackPoolRun {
                rack_pool: 0,
                tasks: self.spec.tasks,
            });
        }
        entries.push(Entry::Accepted(Accepted::new(&self.spec, rack_pools)));
        match self.state {
            JobState::Cancelled => entries.push(Entry::Cancelled(crate::journal::Cancelled {
                jobs: vec![id.0],
            })),
            JobState::Parked(reason) => entries.push(Entry::Parked(crate::journal::Parked {
                job: id.0,
                reason: reason.into(),
            })),
            JobState::Active | JobState::Ended => {}
        }
        if self.tasks.is_empty() {
            entries.push(ended_entry(id, 0, self.spec.tasks));
            return;
        }
        self.write_tasks(entries);
    }

    fn write_tasks(&self, entries: &mut Vec<Entry>) {
        let id = self.spec.id;
        let mut run = 0;
        for (index, task) in (0_u32..).zip(&self.tasks) {
            if task.phase == Phase::Ended {
                run += 1;
                continue;
            }
            if run > 0 {
                entries.push(ended_entry(id, index - run, run));
                run = 0;
            }
            let Some(committed) = &task.committed_checkpoint else {
                continue;
            };
            entries.push(evicted_entry(
                TaskId { job: id, index },
                committed.attempt,
                &committed.checkpoint,
            ));
        }
        if run > 0 {
            entries.push(ended_entry(id, self.spec.tasks - run, run));
        }
    }
}

/// Creates the record of consecutive tasks that ended successfully.
#[must_use]
pub fn ended_entry(job: JobId, first: u32, tasks: u32) -> Entry {
    let first = TaskId { job, index: first };
    Entry::Ended(Ended {
        first: first.into(),
        tasks,
    })
}

/// Creates the record of a checkpoint.
#[must_use]
pub fn evicted_entry(task: TaskId, attempt: Attempt, checkpoint: &str) -> Entry {
    Entry::Evicted(Evicted {
        task: task.into(),
        attempt_term: attempt.term,
        attempt_counter: attempt.counter,
        checkpoint: checkpoint.to_owned(),
    })
}

/// Tasks to retry, by due time.
pub type Retries = BTreeSet<(MonoMs, TaskId)>;
