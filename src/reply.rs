//! Outcomes of latency-critical requests.

use bytes::Bytes;
use primrosestack_core::event::NotRun;
use smol_str::SmolStr;

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunCause {
    /// Every queue is full.
    Overloaded,
    /// It cannot be answered before its deadline.
    DeadlineTooNear,
    /// No backend server accepts requests.
    NoServer,
    /// The home shard of its idempotency key is unreachable or cannot record the key.
    KeyUnrecorded,
    /// The backend server refused it before starting.
    Refused,
    /// No entry host of the service's failure domains is reachable.
    Unreachable,
}

impl NotRunCause {
    /// Reason under which metrics count it.
    #[must_use]
    pub fn metric_reason(self) -> NotRun {
        match self {
            Self::KeyUnrecorded => NotRun::StoreUnavailable,
            Self::Unreachable | Self::NoServer => NotRun::NotOwner,
            Self::Overloaded | Self::DeadlineTooNear | Self::Refused => NotRun::Overloaded,
        }
    }

    /// Stable name in responses, logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::DeadlineTooNear => "deadline_too_near",
            Self::NoServer => "no_server",
            Self::KeyUnrecorded => "key_unrecorded",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It was certainly not run.
    NotRun {
        cause: NotRunCause,
        /// Suggested delay before a retry.
        retry_after_ms: u64,
    },
    /// The backend server answered completely.
    Answered {
        status: u16,
        content_type: SmolStr,
        body: Bytes,
    },
    /// Its idempotency key was used before, with an unknown outcome; this request was not run.
    DuplicateKey,
    /// It may have run.
    Unknown,
}

impl Reply {
    /// Returns the reply for all attempts so far: a request counts as not run only if no attempt may have run.
    #[must_use]
    pub fn combine_with_earlier(self, earlier: &Self) -> Self {
        match (earlier, self) {
            (Self::Unknown, Self::NotRun { .. }) => Self::Unknown,
            (_, last) => last,
        }
    }
}
