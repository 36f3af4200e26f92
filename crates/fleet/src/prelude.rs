//! Re-exports of the types that most modules use.

pub use crate::action::{Action, StartReply, StartRequest};
pub use crate::bounds::Bounds;
pub use crate::incarnation::{Incarnation, OfIncarnation};
pub use crate::job::{JobId, JobSpec, Queue, StepSpec, TaskId};
pub use crate::report::{EndKind, Report, RunEnd, RunStatus, ServerEntry};
pub use crate::shard::{JobKey, ServerKey, Shard, TaskRef};
