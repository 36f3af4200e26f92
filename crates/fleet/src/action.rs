//! What a shard tells the shell to do, and what comes of it.

use smol_str::SmolStr;

use crate::job::TaskId;
use crate::shard::ServerKey;

/// An order to start a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartRequest {
    /// Task.
    pub task: TaskId,
    /// Run.
    pub run: u32,
    /// What to run.
    pub command: SmolStr,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: SmolStr,
    /// Permission of the advisor; empty for none.
    pub ticket: SmolStr,
    /// End of the server's lease on its own clock, in milliseconds.
    pub lease_end_ms: u64,
}

/// Answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run is there.
    Started,
    /// The server has no room.
    NoCapacity,
    /// A newer owner commands the server.
    Fenced,
    /// This run or a later one was stopped or ended there.
    Stale,
    /// The lease ended before the order arrived.
    Late,
    /// The ticket is not valid.
    NoTicket,
    /// The server has done nothing: it is unhealthy or does not accept the order.
    Refused,
    /// Another server lives at the address.
    OtherServer,
    /// No answer: the order may have been carried out, or may still be.
    Unknown,
}

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a start.
    Start {
        /// Server.
        server: ServerKey,
        /// Order.
        request: StartRequest,
    },
    /// Send a stop.
    Stop {
        /// Server.
        server: ServerKey,
        /// Task.
        task: TaskId,
        /// Run.
        run: u32,
    },
    /// Set the share at which a task works.
    SetRate {
        /// Server.
        server: ServerKey,
        /// Task.
        task: TaskId,
        /// Run.
        run: u32,
        /// Share in percent.
        percent: u32,
    },
    /// Ask the advisor which servers may run a step.
    Advise {
        /// Any task of the step.
        task: TaskId,
        /// Names of the servers.
        servers: Vec<SmolStr>,
    },
    /// A decision for the log.
    Log(Decision),
}

/// A decision for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Event, in snake case.
    pub event: &'static str,
    /// Task it is about.
    pub task: Option<TaskId>,
    /// Server it is about.
    pub server: Option<SmolStr>,
    /// Deciding inputs, as pairs.
    pub inputs: Vec<(&'static str, u64)>,
}
