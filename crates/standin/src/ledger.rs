//! Record of what the stand-in backend servers executed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use primrosestack_core::ids::{Epoch, HostId, TaskId};
use smol_str::SmolStr;

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The run has not ended.
    None,
    Succeeded,
    Failed,
    /// Stopped by a command or a reboot, or because the task's lease expired.
    Stopped,
}

/// One run of a task on one server.
#[derive(Clone, Debug)]
pub struct Run {
    /// Name of the server.
    pub server: SmolStr,
    /// Whether the run resumed from a checkpoint.
    pub resumed: bool,
    /// Progress of the task when the run started, in milliseconds of run time.
    pub from_ms: u64,
    /// Progress of the task when the run ended, in milliseconds of run time.
    pub to_ms: u64,
    /// How the run ended.
    pub end: RunEnd,
}

/// A period in which a server received work from one owner under one epoch.
#[derive(Clone, Debug)]
pub struct Tenure {
    /// Entry host that owns the server's shard.
    pub owner: HostId,
    /// Epoch of the owner's commands.
    pub epoch: Epoch,
    /// When the server accepted the first request or task from this owner.
    pub first_work: Instant,
}

/// What all servers executed.
#[derive(Default)]
pub struct Records {
    /// Runs of each task.
    pub runs: BTreeMap<TaskId, Vec<Run>>,
    /// Number of executions of each request, by operation and body.
    pub requests: BTreeMap<SmolStr, u32>,
    /// Invariants that were violated, such as a task that runs on two servers.
    pub violations: Vec<String>,
    /// Number of requests and tasks that a server received more than 3 s after it was marked as leaving.
    pub late_starts: u32,
    /// Owners from which each server accepted work, in order.
    pub tenures: BTreeMap<SmolStr, Vec<Tenure>>,
}

impl Records {
    /// Number of runs of all tasks that succeeded.
    #[must_use]
    pub fn succeeded(&self) -> usize {
        let runs = self.runs.values().flatten();
        runs.filter(|run| run.end == RunEnd::Succeeded).count()
    }

    /// Number of tasks that succeeded more than once.
    #[must_use]
    pub fn repeated_successes(&self) -> usize {
        let succeeded = |runs: &&Vec<Run>| {
            let ends = runs.iter().filter(|run| run.end == RunEnd::Succeeded);
            ends.count() > 1
        };
        self.runs.values().filter(succeeded).count()
    }

    /// Number of runs that resumed from a checkpoint.
    #[must_use]
    pub fn resumed(&self) -> usize {
        self.runs
            .values()
            .flatten()
            .filter(|run| run.resumed)
            .count()
    }

    /// Number of runs that ended as [`RunEnd::Stopped`].
    #[must_use]
    pub fn stopped(&self) -> usize {
        let runs = self.runs.values().flatten();
        runs.filter(|run| run.end == RunEnd::Stopped).count()
    }

    /// Number of requests that ran more than once.
    #[must_use]
    pub fn repeated_requests(&self) -> usize {
        self.requests.values().filter(|count| **count > 1).count()
    }
}

/// The records that all servers share; a clone is a handle to the same records.
#[derive(Clone, Default)]
pub struct Ledger {
    records: Arc<Mutex<Records>>,
}

impl Ledger {
    /// Locks the records.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a run, and a violation if the task already runs.
    pub fn record_start(&self, task: TaskId, server: &SmolStr, resumed: bool, from_ms: u64) {
        let mut records = self.records();
        let runs = records.runs.entry(task).or_default();
        let elsewhere = runs.iter().find(|run| run.end == RunEnd::None);
        let violation =
            elsewhere.map(|run| format!("{task:?} runs on {} and {server}", run.server));
        runs.push(Run {
            server: server.clone(),
            resumed,
            from_ms,
            to_ms: from_ms,
            end: RunEnd::None,
        });
        records.violations.extend(violation);
    }

    /// Records the end of a task's current run on a server.
    pub fn record_end(&self, task: TaskId, server: &SmolStr, to_ms: u64, end: RunEnd) {
        let mut records = self.records();
        let runs = records.runs.entry(task).or_default();
        let current = runs
            .iter_mut()
            .find(|run| run.end == RunEnd::None && run.server == *server);
        if let Some(run) = current {
            run.to_ms = to_ms;
            run.end = end;
        }
    }

    /// Records the execution of a request, identified by its operation and body.
    pub fn record_request(&self, identity: &str) {
        *self.records().requests.entry(identity.into()).or_default() += 1;
    }

    /// Records that a server accepted a request or a task from an owner.
    pub fn record_work(&self, server: &SmolStr, owner: &HostId, epoch: Epoch) {
        let mut records = self.records();
        let tenures = records.tenures.entry(server.clone()).or_default();
        let last = tenures.last();
        if last.is_some_and(|last| last.owner == *owner && last.epoch == epoch) {
            return;
        }
        tenures.push(Tenure {
            owner: owner.clone(),
            epoch,
            first_work: Instant::now(),
        });
    }

    /// Records a violated invariant.
    pub fn record_violation(&self, text: String) {
        self.records().violations.push(text);
    }
}
