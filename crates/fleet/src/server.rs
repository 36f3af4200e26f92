//! A backend server as its shard sees it.

use std::collections::VecDeque;

use crate::headroom::Headroom;
use crate::pace::Pacer;
use crate::report::ServerEntry;
use crate::shard::{JobKey, TaskRef};
use crate::trust::Trust;

/// A server that did not answer for this long gets no new tasks, in milliseconds; looks come each second.
pub const CONTACT_MS: u64 = 1_600;

/// An end that waits until the state of its job is recorded.
#[derive(Clone, Copy, Debug)]
pub struct UnrecordedEnd {
    /// Number of the end.
    pub number: u64,
    /// Job.
    pub job: JobKey,
    /// State of the job that has to be recorded.
    pub version: u64,
}

/// A backend server.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, each from another source"
)]
#[derive(Clone, Debug)]
pub struct Server {
    /// Last registration.
    pub entry: ServerEntry,
    /// Whether it is registered now.
    pub registered: bool,
    /// Whether it answered this owner in its present life.
    pub claimed: bool,
    /// Whether its name is recorded among the servers of the shard.
    pub recorded: bool,
    /// Whether the order of a newer owner was seen.
    pub fenced: bool,
    /// Beginning of the life that answered, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// When it last answered, in milliseconds.
    pub contact_ms: u64,
    /// Its clock at the last answer, in milliseconds.
    pub clock_ms: u64,
    /// When all leases that were given to it have ended, in milliseconds on this host's clock.
    pub lease_end_ms: u64,
    /// Highest end that was seen.
    pub seen: u64,
    /// Highest end that may be acknowledged.
    pub acknowledged: u64,
    /// Ends that wait for the record of their job.
    pub unrecorded: VecDeque<UnrecordedEnd>,
    /// Runs on it: task and number.
    pub runs: Vec<(TaskRef, u32)>,
    /// Processor room in use, in thousandths of a core; tasks that fill are not counted.
    pub cpu_used: u32,
    /// Processor room asked for by tasks that fill, in thousandths of a core.
    pub fill_used: u32,
    /// Processor room of long-running tasks that serve, in thousandths of a core.
    pub serve_used: u32,
    /// Memory in use in MB.
    pub memory_used: u32,
    /// Accelerators in use.
    pub gpus_used: u32,
    /// Record of failures.
    pub trust: Trust,
    /// Control of the tasks that fill.
    pub pacer: Pacer,
    /// What it bears in addition, as of the last report or placement.
    pub headroom: Headroom,
    /// No task is tried before this time after the server said that it has no room, in milliseconds.
    pub full_until_ms: u64,
    /// When it began to drain, in milliseconds.
    pub draining_since_ms: Option<u64>,
}

impl Server {
    /// A server that was registered and has not answered yet.
    #[must_use]
    pub fn new(entry: ServerEntry) -> Self {
        Self {
            entry,
            registered: true,
            claimed: false,
            recorded: false,
            fenced: false,
            born_unix_ms: 0,
            contact_ms: 0,
            clock_ms: 0,
            lease_end_ms: 0,
            seen: 0,
            acknowledged: 0,
            unrecorded: VecDeque::new(),
            runs: Vec::new(),
            cpu_used: 0,
            fill_used: 0,
            serve_used: 0,
            memory_used: 0,
            gpus_used: 0,
            trust: Trust::default(),
            pacer: Pacer::default(),
            headroom: Headroom::default(),
            full_until_ms: 0,
            draining_since_ms: None,
        }
    }

    /// Forgets what belonged to an earlier life.
    pub fn begin_life(&mut self, born_unix_ms: u64) {
        self.born_unix_ms = born_unix_ms;
        self.claimed = false;
        self.lease_end_ms = 0;
        self.seen = 0;
        self.acknowledged = 0;
        self.unrecorded.clear();
        self.trust = Trust::default();
        self.pacer = Pacer::default();
        self.full_until_ms = 0;
    }

    /// Its clock now, as far as the last answer tells, in milliseconds.
    #[must_use]
    pub fn clock_at(&self, now_ms: u64) -> u64 {
        self.clock_ms + now_ms.saturating_sub(self.contact_ms)
    }

    /// Processor room that is free, in thousandths of a core.
    #[must_use]
    pub fn cpu_free(&self) -> u32 {
        self.entry.cpu_millis.saturating_sub(self.cpu_used)
    }

    /// Memory that is free in MB.
    #[must_use]
    pub fn memory_free(&self) -> u32 {
        self.entry.memory_mb.saturating_sub(self.memory_used)
    }

    /// Whether it may be given tasks.
    #[must_use]
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.is_placeable()
            && now_ms < self.contact_ms + CONTACT_MS
            && now_ms >= self.full_until_ms
            && !self.trust.is_suspended(now_ms)
    }

    /// Whether it is registered, commanded by this owner and not about to leave.
    #[must_use]
    pub fn is_placeable(&self) -> bool {
        self.registered && self.claimed && self.recorded && !self.fenced && !self.entry.draining
    }

    /// Whether it has the label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|own| own == label)
    }

    /// Advances the acknowledgement over ends whose jobs are recorded.
    pub fn acknowledge(&mut self, is_recorded: impl Fn(JobKey, u64) -> bool) {
        while let Some(end) = self.unrecorded.front() {
            if !is_recorded(end.job, end.version) {
                return;
            }
            self.acknowledged = end.number;
            self.unrecorded.pop_front();
        }
        self.acknowledged = self.seen;
    }
}
