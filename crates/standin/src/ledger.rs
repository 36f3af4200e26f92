//! What all backend servers did, as seen by themselves.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use primrosestack_core::ids::{Epoch, HostId, TaskId};
use smol_str::SmolStr;

/// How one run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It is still running.
    None,
    /// It succeeded.
    Succeeded,
    /// It failed.
    Failed,
    /// It was stopped or its lease lapsed.
    Stopped,
}

/// One run of a task on one server.
#[derive(Clone, Debug)]
pub struct Run {
    /// The server.
    pub server: SmolStr,
    /// Whether it resumed from a checkpoint.
    pub resumed: bool,
    /// Work done before it started, in milliseconds.
    pub from_ms: u64,
    /// Work done when it ended, in milliseconds.
    pub to_ms: u64,
    /// How it ended.
    pub end: RunEnd,
}

/// Work that one owner gave a server under one epoch.
#[derive(Clone, Debug)]
pub struct Tenure {
    /// The owner.
    pub owner: HostId,
    /// Epoch of its commands.
    pub epoch: Epoch,
    /// When the server took the first request or task from it.
    pub first_work: Instant,
}

/// Records of all servers.
#[derive(Default)]
pub struct Records {
    /// Runs of each task.
    pub runs: BTreeMap<TaskId, Vec<Run>>,
    /// How often each request ran, by operation and body.
    pub requests: BTreeMap<SmolStr, u32>,
    /// What must never happen and did.
    pub violations: Vec<String>,
    /// New work that a server received more than 3 s after it was marked as leaving.
    pub late_starts: u32,
    /// Owners that gave work to each server, in order.
    pub tenures: BTreeMap<SmolStr, Vec<Tenure>>,
}

impl Records {
    /// Number of runs that ended with success, over all tasks.
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

    /// Number of runs that were stopped before their end.
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

/// Shared records.
#[derive(Clone, Default)]
pub struct Ledger {
    records: Arc<Mutex<Records>>,
}

impl Ledger {
    /// Gives access to the records.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes the start of a run, and a violation if the task runs elsewhere.
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

    /// Notes the end of the run of a task on a server.
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

    /// Notes that a request ran, named by its operation and body.
    pub fn record_request(&self, identity: &str) {
        *self.records().requests.entry(identity.into()).or_default() += 1;
    }

    /// Notes that a server took a request or a task from an owner.
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

    /// Notes something that must never happen.
    pub fn record_violation(&self, text: String) {
        self.records().violations.push(text);
    }
}
