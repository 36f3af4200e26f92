//! Commonly used types.

pub use crate::capacity::Resources;
pub use crate::event::{
    Action, Event, JobSpec, KeyReply, NotRun, Report, ServerCommand, ServerReply, StoreCall,
    StoreReply, TaskReport, TaskState, Token, TokenReply,
};
pub use crate::ids::{
    Attempt, Epoch, HostId, JobId, OpId, RequestKey, Revision, ServerKey, Stamp, TaskId,
};
pub use crate::time::{DurationMs, MonoMs};
