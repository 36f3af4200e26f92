//! Tasks and their runs.

use smol_str::SmolStr;

use crate::shard::ServerKey;

/// Stage in the life of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The order was sent and not answered yet.
    Starting,
    /// The order got no answer: it may have been carried out, or may still be.
    Unconfirmed,
    /// The server confirmed it.
    Running,
    /// It was told to stop.
    Stopping {
        /// When the last stop was sent, in milliseconds.
        sent_ms: u64,
    },
}

/// One run of a task on a server.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number; rises with each start of the task.
    pub number: u32,
    /// Server.
    pub server: ServerKey,
    /// Stage.
    pub stage: Stage,
    /// When the order was sent, in milliseconds.
    pub sent_ms: u64,
    /// A look sent after this time, in milliseconds, lists the run if it is there; one of the same millisecond may have
    /// overtaken the order.
    pub visible_after_ms: Option<u64>,
    /// Last reported progress in percent.
    pub progress_percent: u32,
    /// When the progress last changed, in milliseconds.
    pub progressed_ms: u64,
    /// Last reported tail latency or processor use.
    pub gauge: u32,
    /// Busy share of a serving task by its own load, as the last report showed.
    pub own_utilization: Option<f64>,
    /// Share at which it was told to work, in percent.
    pub rate_percent: u32,
}

impl Run {
    /// A run whose order is about to be sent.
    #[must_use]
    pub fn starting(number: u32, server: ServerKey, now_ms: u64) -> Self {
        Self {
            number,
            server,
            stage: Stage::Starting,
            sent_ms: now_ms,
            visible_after_ms: None,
            progress_percent: 0,
            progressed_ms: now_ms,
            gauge: 0,
            own_utilization: None,
            rate_percent: 100,
        }
    }

    /// Whether it was told to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        matches!(self.stage, Stage::Stopping { .. })
    }
}

/// One task.
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Whether it is done.
    pub done: bool,
    /// Whether an earlier owner may have started it on a server that is not claimed yet.
    pub unresolved: bool,
    /// Whether another shard runs it.
    pub remote: bool,
    /// Whether it stands in the list of tasks to be started.
    pub queued: bool,
    /// Runs that may exist, one but for speculative copies.
    pub runs: Vec<Run>,
    /// Highest run used.
    pub last_run: u32,
    /// Runs that failed.
    pub failed_runs: Vec<u32>,
    /// Newest checkpoint; empty for none.
    pub checkpoint: SmolStr,
    /// Servers on which it failed or made no progress.
    pub avoided_servers: Vec<ServerKey>,
    /// When it last became ready to be started, in milliseconds.
    pub ready_since_ms: u64,
}

impl Task {
    /// Position of a run.
    #[must_use]
    pub fn position(&self, server: ServerKey, number: u32) -> Option<usize> {
        self.runs
            .iter()
            .position(|run| run.server == server && run.number == number)
    }

    /// Whether there is anything to record.
    #[must_use]
    pub fn has_history(&self) -> bool {
        self.done || self.remote || self.last_run > 0
    }
}
