//! A backend server as its shard sees it.

use std::collections::VecDeque;

use crate::headroom::Headroom;
use crate::pace::Throttle;
use crate::report::ServerEntry;
use crate::shard::{JobKey, TaskRef};
use crate::trust::Suspension;

/// A server that did not answer for this long gets no new tasks, in milliseconds; looks come each second.
pub const CONTACT_TIMEOUT_MS: u64 = 1_600;

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
    pub started_unix_ms: u64,
    /// When it last answered, in milliseconds.
    pub last_contact_ms: u64,
    /// Its clock at the last answer, in milliseconds.
    pub clock_ms: u64,
    /// When all leases that were given to it have ended, in milliseconds on this host's clock.
    pub lease_end_ms: u64,
    /// Highest end that was seen.
    pub last_seen_end: u64,
    /// Highest end that may be acknowledged.
    pub acknowledged_end: u64,
    /// Ends that wait for the record of their job.
    pub unrecorded_ends: VecDeque<UnrecordedEnd>,
    /// Runs on it: task and number.
    pub runs: Vec<(TaskRef, u32)>,
    /// Processor room in use, in thousandths of a core; tasks that fill are not counted.
    pub cpu_used_millis: u32,
    /// Processor room asked for by tasks that fill, in thousandths of a core.
    pub best_effort_used_millis: u32,
    /// Processor room of long-running tasks that serve, in thousandths of a core.
    pub service_used_millis: u32,
    /// Memory in use in MB.
    pub memory_used_mb: u32,
    /// Accelerators in use.
    pub gpus_used: u32,
    /// Record of failures.
    pub suspension: Suspension,
    /// Control of the tasks that fill.
    pub throttle: Throttle,
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
            started_unix_ms: 0,
            last_contact_ms: 0,
            clock_ms: 0,
            lease_end_ms: 0,
            last_seen_end: 0,
            acknowledged_end: 0,
            unrecorded_ends: VecDeque::new(),
            runs: Vec::new(),
            cpu_used_millis: 0,
            best_effort_used_millis: 0,
            service_used_millis: 0,
            memory_used_mb: 0,
            gpus_used: 0,
            suspension: Suspension::default(),
            throttle: Throttle::default(),
            headroom: Headroom::default(),
            full_until_ms: 0,
            draining_since_ms: None,
        }
    }

    /// Forgets what belonged to an earlier life.
    pub fn begin_incarnation(&mut self, started_unix_ms: u64) {
        self.started_unix_ms = started_unix_ms;
        self.claimed = false;
        self.lease_end_ms = 0;
        self.last_seen_end = 0;
        self.acknowledged_end = 0;
        self.unrecorded_ends.clear();
        self.suspension = Suspension::default();
        self.throttle = Throttle::default();
        self.full_until_ms = 0;
    }

    /// Its clock now, as far as the last answer tells, in milliseconds.
    #[must_use]
    pub fn clock_at(&self, now_ms: u64) -> u64 {
        self.clock_ms + now_ms.saturating_sub(self.last_contact_ms)
    }

    /// Processor room that is free, in thousandths of a core.
    #[must_use]
    pub fn cpu_free_millis(&self) -> u32 {
        self.entry.cpu_millis.saturating_sub(self.cpu_used_millis)
    }

    /// Memory that is free in MB.
    #[must_use]
    pub fn memory_free_mb(&self) -> u32 {
        self.entry.memory_mb.saturating_sub(self.memory_used_mb)
    }

    /// Whether it may be given tasks.
    #[must_use]
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.is_placeable()
            && now_ms < self.last_contact_ms + CONTACT_TIMEOUT_MS
            && now_ms >= self.full_until_ms
            && !self.suspension.is_suspended(now_ms)
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
        while let Some(end) = self.unrecorded_ends.front() {
            if !is_recorded(end.job, end.version) {
                return;
            }
            self.acknowledged_end = end.number;
            self.unrecorded_ends.pop_front();
        }
        self.acknowledged_end = self.last_seen_end;
    }
}
