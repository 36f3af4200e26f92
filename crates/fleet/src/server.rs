//! State of a backend server as seen by its shard.

use std::collections::VecDeque;

use crate::headroom::Headroom;
use crate::incarnation::{Incarnation, OfIncarnation};
use crate::job::TaskId;
use crate::report::ServerEntry;
use crate::shard::{JobKey, TaskRef};
use crate::suspension::Suspension;
use crate::throttle::Throttle;

/// Time without an answer after which a server gets no new tasks. Polls are sent every second.
pub const CONTACT_TIMEOUT_MS: u64 = 1_600;

/// End of a run that is acknowledged once the state of its job is recorded.
#[derive(Clone, Copy, Debug)]
pub struct UnrecordedEnd {
    /// Sequence number of the end.
    pub number: u64,
    pub job: JobKey,
    /// Version of the job that has to be recorded first.
    pub version: u64,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
#[derive(Clone, Debug)]
pub struct Server {
    /// Last registration.
    pub entry: ServerEntry,
    /// Whether the server is registered now.
    pub registered: bool,
    /// Whether the server's present incarnation has answered this owner.
    pub claimed: bool,
    /// Whether the server's name is recorded in the shard's server list, as that of one that may hold a lease.
    pub recorded: bool,
    /// Whether the server has seen a newer term.
    pub fenced: bool,
    /// Start of the incarnation that answered, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// When the server last answered.
    pub last_contact_ms: u64,
    /// The server's clock at its last answer.
    pub clock_ms: u64,
    /// When all leases granted to the server have expired, on the local clock.
    pub lease_end_ms: u64,
    /// Highest sequence number of an end that was seen.
    pub last_seen_end: u64,
    /// Highest sequence number of an end that may be acknowledged.
    pub acknowledged_end: u64,
    /// Ends that wait until their job is recorded.
    pub unrecorded_ends: VecDeque<UnrecordedEnd>,
    /// Runs on the server: task and run number.
    pub runs: Vec<(TaskRef, u32)>,
    /// Run of a suspected task that has not outlived its start; no other task starts meanwhile.
    pub suspected_run: Option<(TaskRef, u32)>,
    /// Runs that may have crashed the server, which was not heard of again before their lease expired.
    pub lapsed_suspects: Vec<(TaskRef, u32)>,
    /// Whether the loss of the server since its last answer was noted.
    pub loss_noted: bool,
    /// Runs in the last report that this shard does not know or want, sorted. They are being stopped, take capacity until
    /// then, and their size may be unknown.
    pub unwanted_runs: Vec<(TaskId, u32)>,
    /// CPU in use by tasks other than best-effort ones, in millicores.
    pub cpu_used_millis: u32,
    /// CPU requested by best-effort tasks, in millicores.
    pub best_effort_used_millis: u32,
    /// CPU of service tasks, in millicores; part of `cpu_used_millis`.
    pub service_used_millis: u32,
    pub memory_used_mb: u32,
    /// Accelerators in use.
    pub gpus_used: u32,
    /// Suspension after failures.
    pub suspension: Suspension,
    /// Throttle of the best-effort tasks.
    pub throttle: Throttle,
    /// Headroom for best-effort tasks as of the last report or placement.
    pub headroom: Headroom,
    /// Time until which the server is skipped after it rejected a start for lack of capacity.
    pub full_until_ms: u64,
    /// When draining began.
    pub draining_since_ms: Option<u64>,
    /// When the server may leave at the earliest, if it is draining.
    pub departure_ms: Option<u64>,
    /// Until when the server runs tasks slower, since it is cold.
    pub cold_until_ms: u64,
}

impl Server {
    /// Creates a registered server that has not answered yet.
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
            suspected_run: None,
            lapsed_suspects: Vec::new(),
            loss_noted: false,
            unwanted_runs: Vec::new(),
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
            departure_ms: None,
            cold_until_ms: 0,
        }
    }

    /// Resets all state of the previous incarnation.
    pub fn begin_incarnation(&mut self, started_unix_ms: u64) {
        self.started_unix_ms = started_unix_ms;
        self.claimed = false;
        self.lease_end_ms = 0;
        self.last_seen_end = 0;
        self.acknowledged_end = 0;
        self.unrecorded_ends.clear();
        self.lapsed_suspects.clear();
        self.unwanted_runs.clear();
        self.suspension = Suspension::default();
        self.throttle = Throttle::default();
        self.full_until_ms = 0;
    }

    /// Incarnation that answered last.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::started_at(self.started_unix_ms)
    }

    /// Start of the newest incarnation that has answered or registered, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn present_life_unix_ms(&self) -> u64 {
        self.started_unix_ms.max(self.entry.started_unix_ms)
    }

    /// Number up to which the ends of the present incarnation are acknowledged; `None` for none.
    #[must_use]
    pub fn acknowledgement(&self) -> Option<OfIncarnation<u64>> {
        (self.acknowledged_end > 0)
            .then(|| OfIncarnation::new(self.incarnation(), self.acknowledged_end))
    }

    /// The server's clock at `now_ms`, extrapolated from its last answer.
    #[must_use]
    pub fn clock_at(&self, now_ms: u64) -> u64 {
        self.clock_ms + now_ms.saturating_sub(self.last_contact_ms)
    }

    #[must_use]
    pub fn cpu_free_millis(&self) -> u32 {
        self.entry.cpu_millis.saturating_sub(self.cpu_used_millis)
    }

    #[must_use]
    pub fn memory_free_mb(&self) -> u32 {
        self.entry.memory_mb.saturating_sub(self.memory_used_mb)
    }

    #[must_use]
    pub fn gpus_free(&self) -> u32 {
        self.entry.gpus.saturating_sub(self.gpus_used)
    }

    /// Whether the server may be given tasks now.
    #[must_use]
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.is_placeable()
            && now_ms < self.last_contact_ms + CONTACT_TIMEOUT_MS
            && now_ms >= self.full_until_ms
            && self.unwanted_runs.is_empty()
            && !self.suspension.is_suspended(now_ms)
    }

    /// Whether the server is registered, claimed by this owner and not draining.
    #[must_use]
    pub fn is_placeable(&self) -> bool {
        // A registration of an earlier life does not tell the kind of this one.
        let is_entry_current =
            self.entry.started_unix_ms == 0 || self.entry.started_unix_ms >= self.started_unix_ms;
        self.registered
            && is_entry_current
            && self.claimed
            && self.recorded
            && !self.fenced
            && !self.entry.draining
    }

    /// Derives from a registration written at `written_ms` until when the server is cold. A copy that is read again tells
    /// nothing new.
    pub(crate) fn update_cold(&mut self, entry: &ServerEntry, written_ms: u64) {
        let is_copy = self.cold_until_ms != 0
            && self.entry.cold_for_ms == entry.cold_for_ms
            && self.entry.started_unix_ms == entry.started_unix_ms;
        if entry.cold_for_ms == 0 {
            self.cold_until_ms = 0;
        } else if !is_copy {
            self.cold_until_ms = written_ms.saturating_add(entry.cold_for_ms);
        }
    }

    #[must_use]
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms
    }

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
