//! Registrations and reports of backend servers.

use smol_str::SmolStr;

use crate::job::TaskId;

/// Registration of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Name of the registration.
    pub name: SmolStr,
    /// Start of this incarnation of the server, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_unix_ms: u64,
    pub service: SmolStr,
    /// Address as `host:port`.
    pub address: SmolStr,
    pub failure_domain: SmolStr,
    /// Whether the server is about to leave.
    pub draining: bool,
    /// Minimum time until the server leaves, if it is draining and reports it.
    pub leaves_in_ms: Option<u64>,
    /// How much longer the server runs tasks slower since it is cold; 0 if it is not.
    pub cold_for_ms: u64,
    /// CPU capacity in millicores.
    pub cpu_millis: u32,
    /// Memory capacity in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub gpus: u32,
    /// Labels, including the rack.
    pub labels: Vec<SmolStr>,
}

/// Way in which a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The work is done.
    Done,
    /// The run failed, through the task or the server.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The server's lease expired.
    LeaseExpired,
    /// Another member of the gang ended.
    GangBroken,
    /// The run waited too long for the other members of its gang.
    GangIncomplete,
}

/// Run that a server reports as running.
#[derive(Clone, Debug, PartialEq)]
pub struct RunStatus {
    pub task: TaskId,
    /// Run number of the task.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: SmolStr,
    /// Progress; 100 for a long-running task that is serving.
    pub progress_percent: u32,
    /// Tail latency in milliseconds for a service task, CPU use in millicores for others.
    pub tail_ms_or_cpu_millis: u32,
}

/// End of a run, reported by a server until it is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnd {
    /// Sequence number of the end within the server's incarnation.
    pub number: u64,
    pub task: TaskId,
    /// Run number of the task.
    pub run: u32,
    pub kind: EndKind,
    /// Newest checkpoint; empty for none.
    pub checkpoint: SmolStr,
}

/// Reply of a server to a poll.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// When the poll was sent, on the local clock.
    pub sent_ms: u64,
    /// Start of the server's incarnation, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_unix_ms: u64,
    /// The server's clock.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<RunStatus>,
    /// Ends that have not been acknowledged.
    pub ended: Vec<RunEnd>,
    /// Whether further ends may be left out of `ended`, since it is a full page.
    pub may_omit_ends: bool,
}
