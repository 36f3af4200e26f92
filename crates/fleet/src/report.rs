//! What is known of backend servers from outside: registrations and reports.

use smol_str::SmolStr;

use crate::job::TaskId;

/// Registration of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Name of the registration.
    pub name: SmolStr,
    /// When this life of the server began, in milliseconds since the Unix epoch; 0 if it does not say.
    pub started_unix_ms: u64,
    /// Service.
    pub service: SmolStr,
    /// Address, host and port.
    pub address: SmolStr,
    /// Failure domain.
    pub failure_domain: SmolStr,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Least time until it leaves, in milliseconds, if it is draining and says so.
    pub leaves_in_ms: Option<u64>,
    /// Processor room in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub gpus: u32,
    /// Labels, the rack among them.
    pub labels: Vec<SmolStr>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// Its work is done.
    Done,
    /// It failed, through its own fault or the server's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The server's lease ended.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// It waited too long for the other members of its gang.
    GangIncomplete,
}

/// A run that a server reports as running.
#[derive(Clone, Debug, PartialEq)]
pub struct RunStatus {
    /// Task.
    pub task: TaskId,
    /// Run.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: SmolStr,
    /// Progress in percent; 100 for a long-running task that is at work.
    pub progress_percent: u32,
    /// Tail latency in milliseconds for a task that serves, processor use in thousandths of a core for others.
    pub gauge: u32,
}

/// An end that a server reports until it is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnd {
    /// Number of the end in this life of the server, rising.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Newest checkpoint; empty for none.
    pub checkpoint: SmolStr,
}

/// Answer of a server to a look.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// When the look was sent, on this host's clock, in milliseconds.
    pub sent_ms: u64,
    /// Beginning of the server's life, in milliseconds since the Unix epoch; 0 if it does not say.
    pub started_unix_ms: u64,
    /// The server's clock in milliseconds.
    pub clock_ms: u64,
    /// What is running.
    pub running: Vec<RunStatus>,
    /// What has ended and was not acknowledged.
    pub ended: Vec<RunEnd>,
}
