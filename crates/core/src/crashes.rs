//! Tasks that crash the servers they start on.
//!
//! When a server is lost, the tasks that had just started there are suspected. A suspected task starts apart from other
//! recent starts, so that the next loss tells which task causes it; its job is parked after a few. A task that outlives
//! its start is no longer suspected. The losses are recorded in the journal and count across owners.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use crate::journal::{Entry, Failed, ParkReason, ServerLoss};
use crate::placement::RackPoolKey;
use crate::prelude::*;
use crate::shard::Shard;
use crate::tasks::{DurableState, Phase};

/// Age at which a reported attempt has outlived its start, in milliseconds.
const OUTLIVED_START_MS: u64 = 500;

/// Servers whose crashes park a job if a task of it was their only suspect.
const SOLE_SUSPECT_CRASHES_MAX: usize = 2;

/// Lost servers that park a job in any case; other suspects of three losses in a row are improbable.
const LOSSES_MAX: usize = 3;

/// Wait after which a suspected task starts beside recent starts of other tasks, in milliseconds; on a busy server there
/// is always one.
const ALONE_WAIT_MAX_MS: u64 = 1_500;

/// Suspected tasks that wait for their next start, and since when.
pub type WaitingSuspects = BTreeMap<TaskId, MonoMs>;

/// Attempts not known to have outlived their start, and from when a report that lists them shows that they have.
pub type RecentStarts = BTreeMap<TaskId, (Attempt, MonoMs)>;

/// A server that was lost when a task had just started there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostServer {
    pub name: SmolStr,
    /// Whether the server certainly crashed and no other task had just started there.
    pub is_sole_suspect: bool,
}

/// Servers and jobs of recent starts.
#[derive(Default)]
struct RecentServers {
    servers: BTreeSet<ServerKey>,
    /// Servers on which a suspected task started.
    suspect_servers: BTreeSet<ServerKey>,
    /// Jobs of these suspected tasks.
    suspect_jobs: BTreeSet<JobId>,
}

impl RecentServers {
    fn add(&mut self, server: ServerKey, job: JobId, is_suspected: bool) {
        self.servers.insert(server);
        if is_suspected {
            self.suspect_servers.insert(server);
            self.suspect_jobs.insert(job);
        }
    }
}

impl DurableState {
    /// Whether a task has lost servers, and has not outlived a start since.
    #[must_use]
    pub fn is_suspected(&self, id: TaskId) -> bool {
        self.losses.contains_key(&id)
    }

    /// Applies a recorded loss, or the end of the suspicion.
    pub(crate) fn apply_loss(&mut self, job: JobId, server: &str, loss: ServerLoss) {
        let index = loss.index;
        let id = TaskId { job, index };
        if server.is_empty() {
            self.losses.remove(&id);
            return;
        }
        let is_unfinished = self.task(id).is_some_and(|task| task.phase != Phase::Ended);
        if !is_unfinished || self.has_lost(id, server) {
            return;
        }
        self.losses.entry(id).or_default().push(LostServer {
            name: server.into(),
            is_sole_suspect: loss.is_sole_suspect,
        });
    }

    pub(crate) fn write_losses(&self, entries: &mut Vec<Entry>) {
        for (id, lost) in &self.losses {
            let lost = lost.iter();
            entries.extend(lost.map(|lost| loss_entry(*id, &lost.name, lost.is_sole_suspect)));
        }
    }

    fn lost_servers(&self, id: TaskId) -> &[LostServer] {
        self.losses.get(&id).map_or(&[], Vec::as_slice)
    }

    fn has_lost(&self, id: TaskId, server: &str) -> bool {
        self.lost_servers(id).iter().any(|lost| lost.name == server)
    }

    /// Whether the losses of a task are enough to park its job.
    fn is_given_up(&self, id: TaskId) -> bool {
        let lost = self.lost_servers(id);
        let sole = lost.iter().filter(|lost| lost.is_sole_suspect);
        sole.count() >= SOLE_SUSPECT_CRASHES_MAX || lost.len() >= LOSSES_MAX
    }
}

/// Creates the record of a loss; without a server, of the end of the suspicion.
#[must_use]
pub fn loss_entry(task: TaskId, server: &str, is_sole_suspect: bool) -> Entry {
    Entry::Failed(Failed {
        job: task.job.0,
        server: server.to_owned(),
        loss: Some(ServerLoss {
            index: task.index,
            is_sole_suspect,
        }),
        ..Failed::default()
    })
}

impl Shard {
    /// Remembers the start of an attempt until it has outlived it.
    pub(crate) fn add_recent_start(&mut self, id: TaskId, attempt: Attempt) {
        let outlived_at = self.now + DurationMs(OUTLIVED_START_MS);
        self.recent_starts.insert(id, (attempt, outlived_at));
    }

    /// Returns the server of a recent start that may be running.
    fn recent_server(&self, id: TaskId, attempt: Attempt) -> Option<ServerKey> {
        let task = self.durable.task(id)?;
        let may_run = matches!(task.phase, Phase::Starting | Phase::Running);
        task.server.filter(|_| may_run && task.attempt == attempt)
    }

    /// Returns the tasks that may be the cause if a server crashes at present.
    pub(crate) fn crash_suspects(&self, key: ServerKey) -> Vec<TaskId> {
        let mut suspects = Vec::new();
        for (id, (attempt, _)) in &self.recent_starts {
            if self.recent_server(*id, *attempt) == Some(key) {
                suspects.push(*id);
            }
        }
        suspects
    }

    /// Counts the loss of a server against its suspects, and holds them. A server that lapsed may only have been cut
    /// off. A further loss of the same server does not count, since the server may be the cause.
    pub(crate) fn count_loss(&mut self, key: ServerKey, suspects: &[TaskId], has_crashed: bool) {
        let Some(server) = self.fleet.get(key) else {
            return;
        };
        let name = server.name.clone();
        if server.is_leaving() {
            return;
        }
        for &id in suspects {
            let Some(task) = self.durable.task(id) else {
                continue;
            };
            if task.phase != Phase::Pending {
                continue;
            }
            let known = self.durable.has_lost(id, &name);
            self.log("crash_suspected", Some(id), &name);
            self.hold(id);
            if known {
                self.await_start(id);
                continue;
            }
            let is_sole_suspect = has_crashed && suspects.len() == 1;
            self.append(loss_entry(id, &name, is_sole_suspect));
        }
    }

    /// Withholds a task whose attempt is over from the scheduler.
    pub(crate) fn hold(&mut self, id: TaskId) {
        self.detach(id);
        self.enter_rack_pool(id);
        if let Some(task) = self.durable.task_mut(id) {
            task.phase = Phase::Held;
        }
    }

    /// Handles a committed loss. Until then the task waits, so that no crash goes unrecorded.
    pub(crate) fn loss_recorded(&mut self, failed: &Failed) {
        let Some(loss) = failed.loss else {
            return;
        };
        let id = TaskId {
            job: JobId(failed.job),
            index: loss.index,
        };
        if self.durable.is_suspected(id) {
            self.await_start(id);
        }
    }

    /// Lets a held suspected task wait for its next start, or parks its job.
    pub(crate) fn await_start(&mut self, id: TaskId) {
        if self.durable.is_given_up(id) {
            self.log("job_given_up", Some(id), &SmolStr::default());
            self.park(id.job, ParkReason::CrashesServers);
        }
        self.suspects.insert(id, self.now);
    }

    /// Ends the suspicion against a task whose attempt a report lists, if it has outlived its start.
    pub(crate) fn outlive_start(&mut self, id: TaskId) {
        let start = self.recent_starts.get(&id);
        if start.is_none_or(|(_, outlived_at)| self.now < *outlived_at) {
            return;
        }
        self.recent_starts.remove(&id);
        if self.durable.is_suspected(id) {
            self.append(loss_entry(id, "", false));
        }
    }

    /// Starts suspected tasks apart from each other and from other recent starts, one of a job at a time.
    pub(crate) fn start_suspects(&mut self) {
        if self.suspects.is_empty() {
            return;
        }
        let mut recent = self.recent_servers();
        for (id, since) in self.suspects.clone() {
            let task = self.durable.task(id);
            let Some(task) = task.filter(|task| task.phase == Phase::Held) else {
                self.suspects.remove(&id);
                continue;
            };
            let has_waited = self.now >= since + DurationMs(ALONE_WAIT_MAX_MS);
            let pool = task.rack_pool;
            let closed = self.closed_for(id, &recent, has_waited);
            let may_start = !recent.suspect_jobs.contains(&id.job)
                && (self.has_open_server_beside(pool, &closed)
                    || (has_waited && !self.has_suspect_server(pool, &recent)));
            if self.is_active(id.job) && !may_start {
                continue;
            }
            self.suspects.remove(&id);
            self.requeue(id);
            self.place_avoiding(&closed);
            let server = self.durable.task(id).and_then(|task| task.server);
            if let Some(server) = server {
                recent.add(server, id.job, true);
            }
        }
        self.request_due_reports();
    }

    /// Returns the servers on which a suspected task should not start.
    fn closed_for(&self, id: TaskId, recent: &RecentServers, has_waited: bool) -> Vec<ServerKey> {
        if has_waited {
            return recent.suspect_servers.iter().copied().collect();
        }
        let lost = self.durable.lost_servers(id).iter();
        let lost = lost.filter_map(|lost| self.fleet.key(&lost.name));
        recent.servers.iter().copied().chain(lost).collect()
    }

    fn has_open_server_beside(&self, pool: RackPoolKey, closed: &[ServerKey]) -> bool {
        self.fleet
            .iter()
            .any(|(key, server)| server.open && server.rack_pool == pool && !closed.contains(&key))
    }

    fn has_suspect_server(&self, pool: RackPoolKey, recent: &RecentServers) -> bool {
        recent.suspect_servers.iter().any(|key| {
            self.fleet
                .get(*key)
                .is_some_and(|server| server.rack_pool == pool)
        })
    }

    fn recent_servers(&self) -> RecentServers {
        let mut recent = RecentServers::default();
        for (id, (attempt, _)) in &self.recent_starts {
            if let Some(server) = self.recent_server(*id, *attempt) {
                recent.add(server, id.job, self.durable.is_suspected(*id));
            }
        }
        recent
    }

    /// Requests reports that show whether suspected tasks have outlived their starts, so that the next can start.
    fn request_due_reports(&mut self) {
        let mut due = Vec::new();
        for (id, (attempt, outlived_at)) in &self.recent_starts {
            if self.now >= *outlived_at && self.durable.is_suspected(*id) {
                due.extend(self.recent_server(*id, *attempt));
            }
        }
        for key in due {
            self.request_report(key);
        }
    }
}
