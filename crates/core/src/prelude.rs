//! The types that most modules use.

pub use crate::capacity::Resources;
pub use crate::event::{
    Action, CallerReply, CallerToken, Event, JobSpec, KeyReply, NotRun, Report, ServerCommand,
    ServerReply, StoreCall, StoreReply, TaskReport, TaskState,
};
pub use crate::ids::{
    Attempt, Epoch, HostId, JobId, OpId, RequestKey, Revision, ServerKey, ServerTimestamp, TaskId,
};
pub use crate::time::{DurationMs, MonoMs};
