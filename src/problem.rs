//! Error responses of the administration API: problem details (RFC 9457) with a stable code.

use axum::http::{HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use primrosestack_core::event::NotRun;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::auth::AuthError;
use crate::check::{Fault, Faults};

/// Media type of problem details.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// Header that reports whether a call was run.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("primrose-outcome");

/// Value of `Retry-After` for a call that was not run.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");

/// Stable code of a refusal; codes are never renamed or reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// No token, or an unknown one.
    Unauthenticated,
    /// The token does not permit the call.
    Forbidden,
    /// Nothing of that name exists.
    NotFound,
    /// The path exists, but not with this method.
    MethodNotAllowed,
    /// The call is malformed.
    BadRequest,
    /// The body has faults; see `faults`.
    Invalid,
    /// The body is too large.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// The document has another revision; see `current_revision`.
    RevisionConflict,
    /// The document exists, and the call does not say which revision it replaces; see `current_revision`.
    RevisionRequired,
    /// The idempotency key was used for another job.
    KeyReused,
    /// This entry host cannot reach the owner.
    NotOwner,
    /// The store cannot be written now.
    StoreUnavailable,
    /// A queue is full.
    Overloaded,
    /// No backend server can ever hold a task of this size.
    TooLarge,
    /// The host is shutting down.
    ShuttingDown,
    /// The outcome is unknown; the same call can be repeated safely.
    OutcomeUnknown,
    /// Internal error of the program.
    Internal,
}

impl Code {
    /// Returns the HTTP status of the code.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::Invalid | Self::TooLarge => StatusCode::UNPROCESSABLE_ENTITY,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::RevisionConflict | Self::KeyReused => StatusCode::CONFLICT,
            Self::RevisionRequired => StatusCode::PRECONDITION_FAILED,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::NotOwner | Self::StoreUnavailable | Self::ShuttingDown => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Short description for people.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            Self::Unauthenticated => "no valid token",
            Self::Forbidden => "not allowed for this token",
            Self::NotFound => "not found",
            Self::MethodNotAllowed => "method not allowed",
            Self::BadRequest => "malformed call",
            Self::Invalid => "faults in the body",
            Self::BodyTooLarge => "body too large",
            Self::BodyTooSlow => "the body did not arrive in time",
            Self::RevisionConflict => "the document has another revision",
            Self::RevisionRequired => "If-Match is missing and the document exists",
            Self::KeyReused => "the idempotency key was used for another job",
            Self::NotOwner => "the owner cannot be reached",
            Self::StoreUnavailable => "the store cannot be written now",
            Self::Overloaded => "a queue is full",
            Self::TooLarge => "no backend server can hold a task of this size",
            Self::ShuttingDown => "the host is shutting down",
            Self::OutcomeUnknown => "the outcome cannot be told now",
            Self::Internal => "fault of the program",
        }
    }

    /// Returns whether nothing was run because of a temporary state of the system, so that a retry may succeed.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::NotOwner | Self::StoreUnavailable | Self::Overloaded | Self::ShuttingDown
        )
    }
}

/// Problem details.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Problem {
    /// Stable code.
    pub code: Code,
    /// HTTP status.
    pub status: u16,
    /// Short description for people.
    pub title: String,
    /// Explanation of this occurrence.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Revision that the document has now; 0 if it does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_revision: Option<u64>,
    /// All faults of the body.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

impl Problem {
    /// Creates a problem without details.
    #[must_use]
    pub fn new(code: Code) -> Self {
        Self {
            code,
            status: code.status().as_u16(),
            title: code.title().to_owned(),
            detail: None,
            current_revision: None,
            faults: Vec::new(),
        }
    }

    /// Replaces the code together with its status and title.
    #[must_use]
    pub fn with_code(mut self, code: Code) -> Self {
        self.code = code;
        self.status = code.status().as_u16();
        code.title().clone_into(&mut self.title);
        self
    }

    /// Adds an explanation of this occurrence.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let mut response = (self.code.status(), axum::Json(&self)).into_response();
        let headers = response.headers_mut();
        let media_type = HeaderValue::from_static(PROBLEM_JSON);
        headers.insert(header::CONTENT_TYPE, media_type);
        if self.code.is_not_run() {
            headers.insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
            headers.insert(header::RETRY_AFTER, RETRY_AFTER_S);
        }
        if self.code == Code::OutcomeUnknown {
            headers.insert(OUTCOME_HEADER, HeaderValue::from_static("unknown"));
        }
        if self.code == Code::Unauthenticated {
            let scheme = HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, scheme);
        }
        response
    }
}

/// Why [`Control`](crate::control::Control) refused a call.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Refusal {
    /// Nothing of that name exists.
    #[snafu(display("{kind} {name:?} does not exist"))]
    NotFound { kind: &'static str, name: String },
    /// The document does not have the expected revision.
    #[snafu(display("the document has revision {current}"))]
    Conflict {
        /// Revision that it has; 0 if it does not exist.
        current: u64,
    },
    /// The idempotency key was used for another job.
    #[snafu(display("the idempotency key was used for another job"))]
    KeyReused,
    /// The call conflicts with the team's document or the settings.
    #[snafu(display("{detail}"))]
    Invalid {
        /// What was found and what was expected.
        detail: String,
    },
    /// Nothing was recorded.
    #[snafu(display("not run: {reason:?}"))]
    NotRun { reason: NotRun },
    /// The outcome is unknown.
    #[snafu(display("the outcome cannot be told now"))]
    Unknown,
    /// Internal error of the program.
    #[snafu(display("{detail}"))]
    Internal {
        /// What happened.
        detail: String,
    },
}

impl From<NotRun> for Refusal {
    fn from(reason: NotRun) -> Self {
        Self::NotRun { reason }
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let code = match &refusal {
            Refusal::NotFound { .. } => Code::NotFound,
            Refusal::Conflict { .. } => Code::RevisionConflict,
            Refusal::KeyReused => Code::KeyReused,
            Refusal::Invalid { .. } => Code::Invalid,
            Refusal::NotRun { reason } => match reason {
                NotRun::NotOwner => Code::NotOwner,
                NotRun::StoreUnavailable => Code::StoreUnavailable,
                NotRun::Overloaded => Code::Overloaded,
                NotRun::TooLarge => Code::TooLarge,
                NotRun::ShuttingDown => Code::ShuttingDown,
            },
            Refusal::Unknown => Code::OutcomeUnknown,
            Refusal::Internal { .. } => Code::Internal,
        };
        let mut problem = Self::new(code).with_detail(refusal.to_string());
        if let Refusal::Conflict { current } = refusal {
            problem.current_revision = Some(current);
        }
        problem
    }
}

impl From<Faults> for Problem {
    fn from(faults: Faults) -> Self {
        let mut problem = Self::new(Code::Invalid);
        problem.faults = faults.0;
        problem
    }
}

impl From<AuthError> for Problem {
    fn from(error: AuthError) -> Self {
        let code = match error {
            AuthError::Unauthenticated => Code::Unauthenticated,
            AuthError::Forbidden => Code::Forbidden,
        };
        Self::new(code).with_detail(error.to_string())
    }
}
