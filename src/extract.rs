//! Extractors for the administration API; malformed requests are answered with problem details.

use std::error::Error;
use std::sync::Arc;

use axum::body::Bytes;
use axum::extract::{FromRequest, FromRequestParts, Path, Query, Request};
use axum::http::request::Parts;
use axum::http::{HeaderMap, StatusCode, header};
use smol_str::SmolStr;

use crate::auth::{Auth, Caller};
use crate::check::is_valid_name;
use crate::listen::BodyTimeout;
use crate::model::PageQuery;
use crate::problem::{Code, Problem};

/// Header with the key that makes repeated submissions of a job idempotent.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

pub const IDEMPOTENCY_KEY_MAX_BYTES: usize = 256;

/// Shared state of the handlers.
pub struct App<C> {
    pub(crate) control: C,
    pub(crate) auth: Auth,
}

/// The authenticated caller. It is extracted before the body, which is not read for unauthenticated callers.
pub struct Authenticated(pub Caller);

impl<C: Send + Sync + 'static> FromRequestParts<Arc<App<C>>> for Authenticated {
    type Rejection = Problem;

    async fn from_request_parts(parts: &mut Parts, app: &Arc<App<C>>) -> Result<Self, Problem> {
        Ok(Self(app.auth.authenticate(&parts.headers)?))
    }
}

/// The name in the path.
pub struct PathName(pub SmolStr);

impl<S: Send + Sync> FromRequestParts<S> for PathName {
    type Rejection = Problem;

    async fn from_request_parts(parts: &mut Parts, state: &S) -> Result<Self, Problem> {
        let path = Path::<SmolStr>::from_request_parts(parts, state).await;
        let Path(name) = path.map_err(|error| bad_request(error.body_text()))?;
        Ok(Self(name))
    }
}

/// The query parameters of a list.
pub struct PageParams(pub PageQuery);

impl<S: Send + Sync> FromRequestParts<S> for PageParams {
    type Rejection = Problem;

    async fn from_request_parts(parts: &mut Parts, state: &S) -> Result<Self, Problem> {
        let query = Query::<PageQuery>::from_request_parts(parts, state).await;
        let Query(query) = query.map_err(|error| bad_request(error.body_text()))?;
        Ok(Self(query))
    }
}

/// The body as UTF-8 text.
pub struct BodyText(pub String);

impl<S: Send + Sync> FromRequest<S> for BodyText {
    type Rejection = Problem;

    async fn from_request(request: Request, state: &S) -> Result<Self, Problem> {
        let bytes = match Bytes::from_request(request, state).await {
            Ok(bytes) => bytes,
            Err(rejection) if rejection.status() == StatusCode::PAYLOAD_TOO_LARGE => {
                return Err(Problem::new(Code::BodyTooLarge));
            }
            Err(rejection) if timed_out(&rejection) => return Err(Problem::new(Code::BodyTooSlow)),
            Err(rejection) => return Err(bad_request(rejection.body_text())),
        };
        let text = String::from_utf8(bytes.into());
        text.map(Self)
            .map_err(|_| bad_request("the body is not UTF-8, expected JSON with comments"))
    }
}

/// Returns the problem of a malformed request.
pub(crate) fn bad_request(detail: impl Into<String>) -> Problem {
    Problem::new(Code::BadRequest).with_detail(detail)
}

/// Returns the revision in `If-Match`; none without the header.
pub(crate) fn if_match(headers: &HeaderMap) -> Result<Option<u64>, Problem> {
    let Some(value) = headers.get(header::IF_MATCH) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim();
    let quoted = text
        .strip_prefix('"')
        .and_then(|text| text.strip_suffix('"'));
    match quoted.unwrap_or(text).parse() {
        Ok(revision) => Ok(Some(revision)),
        Err(_) => Err(bad_request(
            "If-Match: expected one revision, such as \"12\"",
        )),
    }
}

/// Returns the idempotency key of a submission.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<&str, Problem> {
    let value = headers.get(IDEMPOTENCY_KEY);
    let key = value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    if (1..=IDEMPOTENCY_KEY_MAX_BYTES).contains(&key.len()) {
        return Ok(key);
    }
    let detail =
        format!("Idempotency-Key: expected 1 to {IDEMPOTENCY_KEY_MAX_BYTES} printable characters");
    Err(bad_request(detail))
}

/// Checks a name in a path; an invalid one is answered like an unknown one.
pub(crate) fn check_name(kind: &str, name: &str) -> Result<(), Problem> {
    if is_valid_name(name) {
        return Ok(());
    }
    let detail = format!("{name:?} cannot name a {kind}");
    Err(Problem::new(Code::NotFound).with_detail(detail))
}

fn timed_out(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if error.is::<BodyTimeout>() {
            return true;
        }
        cause = error.source();
    }
    false
}
