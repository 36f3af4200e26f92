//! Actions that a shard asks the daemon to carry out, and replies to them.

use smol_str::SmolStr;

use crate::incarnation::OfIncarnation;
use crate::job::TaskId;
use crate::shard::ServerKey;

/// Request to start a task on a server.
#[derive(Clone, Debug, PartialEq)]
pub struct StartRequest {
    pub task: TaskId,
    /// Run number of the task.
    pub run: u32,
    /// Opaque command from the job.
    pub command: SmolStr,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: SmolStr,
    /// Ticket from the advisor; empty for none.
    pub ticket: SmolStr,
    /// End of the server's lease on the server's clock.
    pub lease_end_ms: OfIncarnation<u64>,
    /// Time on the local clock until which the request may be sent; later, the server may have been draining, or
    /// its failure domain evacuated, for too long.
    pub send_by_ms: u64,
}

impl StartRequest {
    /// Whether it is too late to send the request, since the process was paused or busy after the decision.
    #[must_use]
    pub fn is_outdated(&self, now_ms: u64) -> bool {
        now_ms > self.send_by_ms
    }
}

/// Reply of a server to a start request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run has been started or was already running.
    Started,
    /// The server lacks free capacity.
    NoCapacity,
    /// The server has seen a newer term.
    Fenced,
    /// This run or a later one has already been stopped or has ended on the server.
    Stale,
    /// The lease had expired when the request arrived, or the request was not sent since the decision was too old.
    Late,
    /// The server rejected the advisor's ticket.
    NoTicket,
    /// The server did nothing: it is unhealthy or rejected the request.
    Refused,
    /// Another server is registered at the address.
    WrongInstance,
    /// The server has restarted since its last report; the request was not sent.
    OtherIncarnation,
    /// No reply: the start may have been carried out, or may still be.
    Unknown,
    /// The server closed the connection after the start was sent and before it replied; like [`StartReply::Unknown`]
    /// otherwise.
    ConnectionClosed,
}

/// Action for the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a start request.
    Start {
        server: ServerKey,
        request: StartRequest,
    },
    /// Send a stop request.
    Stop {
        server: ServerKey,
        task: TaskId,
        /// Run number of the task.
        run: u32,
    },
    /// Set the rate at which a best-effort task may run.
    SetRate {
        server: ServerKey,
        task: TaskId,
        /// Run number of the task.
        run: u32,
        /// Percentage of full speed.
        percent: u32,
    },
    /// Ask the advisor which servers may run a step.
    Advise {
        /// Any task of the step.
        task: TaskId,
        /// Names of the candidate servers.
        servers: Vec<SmolStr>,
        /// Time after which the answer is no longer waited for.
        timeout_ms: u64,
    },
    /// Log a scheduling decision.
    Log(Decision),
}

/// Scheduling decision for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Event name in snake case.
    pub event: &'static str,
    pub task: Option<TaskId>,
    pub server: Option<SmolStr>,
    /// Inputs of the decision as key-value pairs.
    pub inputs: Vec<(&'static str, u64)>,
}
