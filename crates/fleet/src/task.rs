//! Tasks and their runs.

use smol_str::SmolStr;

use crate::place::AVOID_FAILED_SERVER_MS;
use crate::record::TaskRecord;
use crate::shard::ServerKey;

/// Longest time after which a call that got no answer may still be carried out.
const CALL_DELAY_MAX_MS: u64 = 12_000;

/// How a task was moved away from a draining server, or out of an evacuated failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Move {
    /// Not moved since its last start.
    #[default]
    None,
    /// Room on another server was reserved before the stop.
    Reserved,
    /// The server was about to leave, and no other had room.
    Unreserved,
}

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The start request was sent and has not been answered.
    Starting,
    /// The start request got no answer: it may have been carried out, or may still be.
    Unconfirmed,
    /// The server confirmed the run.
    Running,
    /// A stop request was sent.
    Stopping {
        /// When the last stop request was sent.
        sent_ms: u64,
    },
}

/// One run of a task on a server.
#[derive(Clone, Debug)]
pub struct Run {
    /// Run number, which increases with each start of the task.
    pub number: u32,
    pub server: ServerKey,
    pub state: RunState,
    /// When the start request was sent.
    pub start_sent_ms: u64,
    /// Polls sent after this time list the run if it exists. A poll of the same millisecond may have overtaken the
    /// start request.
    pub visible_after_ms: Option<u64>,
    /// From when the run can no longer begin, since the lease that its start request carried has ended. Polls sent later
    /// list the run if it exists.
    pub start_expired_ms: u64,
    /// When the server answered the start request; `None` if it has not.
    pub start_answered_ms: Option<u64>,
    /// When a report last listed the run.
    pub listed_ms: Option<u64>,
    /// Whether the server is known not to have crashed at the start of the run.
    pub outlived_start: bool,
    /// When the server closed the connection of the start request instead of answering it; `None` if it did not, or if
    /// this tells nothing about a crash.
    pub cut_off_ms: Option<u64>,
    /// Whether a poll from half a second after the start was answered without listing the run, so that it had not crashed
    /// the server.
    pub missed_start: bool,
    /// Whether it began beside a suspected run, to which a crash of the server is attributed.
    pub beside_suspect: bool,
    /// Progress when the run was first known to have outlived its start; not 0 if it resumed from a checkpoint.
    pub early_percent: Option<u32>,
    /// Last reported progress.
    pub progress_percent: u32,
    /// When the progress last changed.
    pub progressed_ms: u64,
    /// Last reported tail latency in milliseconds for a service task, CPU use in millicores for others.
    pub tail_ms_or_cpu_millis: u32,
    /// Utilization of a service task by its own load, derived from the last report.
    pub own_utilization: Option<f64>,
    /// Rate set for the run, in percent of full speed.
    pub rate_percent: u32,
}

impl Run {
    /// Creates a run whose start request is about to be sent.
    #[must_use]
    pub fn starting(number: u32, server: ServerKey, now_ms: u64) -> Self {
        Self {
            number,
            server,
            state: RunState::Starting,
            start_sent_ms: now_ms,
            visible_after_ms: None,
            start_expired_ms: now_ms,
            start_answered_ms: None,
            listed_ms: None,
            outlived_start: false,
            cut_off_ms: None,
            missed_start: false,
            beside_suspect: false,
            early_percent: None,
            progress_percent: 0,
            progressed_ms: now_ms,
            tail_ms_or_cpu_millis: 0,
            own_utilization: None,
            rate_percent: 100,
        }
    }

    #[must_use]
    pub fn is_stopping(&self) -> bool {
        matches!(self.state, RunState::Stopping { .. })
    }

    /// Whether the server is known to have answered the start request or to have run the task.
    #[must_use]
    pub(crate) fn is_confirmed(&self) -> bool {
        self.listed_ms.is_some() || self.start_answered_ms.is_some()
    }

    /// From when no incarnation of the server can carry out the start request.
    #[must_use]
    pub(crate) fn void_ms(&self) -> u64 {
        self.start_sent_ms + CALL_DELAY_MAX_MS
    }

    /// Whether the start request may be carried out by an incarnation of the server after the one that last answered at
    /// `last_contact_ms`.
    #[must_use]
    pub(crate) fn may_begin_after(&self, last_contact_ms: u64) -> bool {
        let is_answered = self
            .start_answered_ms
            .is_some_and(|answered_ms| answered_ms <= last_contact_ms);
        self.listed_ms.is_none() && !is_answered
    }

    /// Drops what was known from an earlier incarnation of the server: the next one has heard of no stop.
    pub(crate) fn enter_incarnation(&mut self) {
        self.start_expired_ms = self.void_ms();
        self.cut_off_ms = None;
        if self.is_stopping() {
            self.state = RunState::Unconfirmed;
            self.visible_after_ms = None;
        }
    }

    /// Whether the run does not exist and can no longer begin if a report to a poll sent at `poll_sent_ms` does not
    /// list it, although neither its start nor a stop was answered: servers refuse starts whose lease has ended.
    #[must_use]
    pub fn is_void_if_unlisted(&self, poll_sent_ms: u64) -> bool {
        let is_unanswered = self.is_stopping() || self.state == RunState::Unconfirmed;
        is_unanswered && self.start_expired_ms < poll_sent_ms
    }
}

/// One task of a job.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
#[derive(Clone, Debug, Default)]
pub struct Task {
    pub done: bool,
    /// Whether an earlier owner may have started the task on a server that is not claimed yet.
    pub unresolved: bool,
    /// Highest run number that earlier owners used for the task; 0 if unknown.
    pub awaited_run: u32,
    /// Highest run number whose end was reported to this owner.
    pub ended_run: u32,
    /// Whether another shard runs the task.
    pub remote: bool,
    /// When this owner delegated it to another shard; `None` if it did not.
    pub delegated_ms: Option<u64>,
    /// Whether the task is in the shard's ready queue.
    pub queued: bool,
    /// Whether and how it was moved away since its last start.
    pub moved: Move,
    /// Runs that may exist; more than one only for speculative copies.
    pub runs: Vec<Run>,
    /// Highest run number used.
    pub last_run: u32,
    /// Numbers of failed runs.
    pub failed_runs: Vec<u32>,
    /// Whether the task may have crashed a server at its last start.
    pub suspected: bool,
    /// Numbers of the runs that may have crashed their server, since a start was last outlived.
    pub crashed_runs: Vec<u32>,
    /// How many of them were the only suspects.
    pub sole_crashes: u32,
    /// Servers that crashed under these runs.
    pub crashed_servers: Vec<ServerKey>,
    /// Highest number of a run that outlived its start; earlier runs are no longer suspected.
    pub outlived_run: u32,
    /// Numbers of the runs whose server lapsed soon after their start and has not been heard of since.
    pub lapsed_runs: Vec<u32>,
    /// When the last of these servers lapsed, or when an owner learned of it, in milliseconds since the Unix epoch; `None`
    /// if the task need not wait for them.
    pub last_lapse_unix_ms: Option<u64>,
    /// Version of the job that has to be recorded before the task starts again, so that the count of its crashes
    /// outlasts this owner.
    pub crash_version: u64,
    /// Newest checkpoint; empty for none.
    pub checkpoint: SmolStr,
    /// Servers on which the task failed or made no progress.
    pub avoided_servers: Vec<ServerKey>,
    /// Since when the task waits for a start, here and in the shards that delegated it; when its occurrence was opened if it
    /// has not waited yet.
    pub ready_since_ms: u64,
    /// When it last entered the ready queue of this shard.
    pub queued_ms: u64,
}

impl Task {
    /// Position of a run in `runs`.
    #[must_use]
    pub fn run_position(&self, server: ServerKey, number: u32) -> Option<usize> {
        self.runs
            .iter()
            .position(|run| run.server == server && run.number == number)
    }

    /// Whether the task may have crashed the server of its last start.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.suspected || !self.lapsed_runs.is_empty()
    }

    /// Whether a server that cannot take the task may take others of its step.
    #[must_use]
    pub fn has_own_limits(&self, now_ms: u64) -> bool {
        self.is_suspected() || self.avoids_servers(now_ms)
    }

    /// Whether the task does not return to the servers on which it failed or made no progress.
    #[must_use]
    pub fn avoids_servers(&self, now_ms: u64) -> bool {
        !self.avoided_servers.is_empty() && now_ms < self.ready_since_ms + AVOID_FAILED_SERVER_MS
    }

    /// Restores what an earlier owner, or another shard, recorded of crashes. `last_lapse_unix_ms` is the time from which the
    /// task waits for servers that lapsed; `None` if that wait is over.
    pub fn restore_suspicion(&mut self, record: &TaskRecord, last_lapse_unix_ms: Option<u64>) {
        self.crashed_runs.clone_from(&record.crashed_runs);
        self.sole_crashes = record.sole_crashes;
        self.lapsed_runs.clone_from(&record.lapsed_runs);
        self.last_lapse_unix_ms = last_lapse_unix_ms;
        self.suspected = !self.crashed_runs.is_empty();
    }

    /// Whether the task's last run by earlier owners is known to have ended; `last_run` is 0 if unknown.
    #[must_use]
    pub fn has_ended(&self, last_run: u32) -> bool {
        last_run > 0 && self.ended_run >= last_run
    }

    /// Whether the task has state that needs a record.
    #[must_use]
    pub fn has_history(&self) -> bool {
        self.done || self.remote || self.last_run > 0
    }
}
