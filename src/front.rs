//! HTTP API for callers: latency-critical requests and the health check.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use primrosestack_core::ids::HostId;
use primrosestack_core::time::{DurationMs, MonoMs};
use smol_str::{SmolStr, format_smolstr};

use crate::auth::{Auth, Caller};
use crate::burn::{BurnCounters, ServiceLevelObjective};
use crate::clock::Clock;
use crate::document::DEADLINE_MAX_MS;
use crate::keys::request_key;
use crate::logs::Line;
use crate::members::Members;
use crate::metrics::{Metrics, Outcome, RequestRecord};
use crate::problem::{Code, OUTCOME_HEADER, Problem};
use crate::requests::{NotRunCause, Origin, Reply, Requests, ServiceRequest};

const DEADLINE_HEADER: HeaderName = HeaderName::from_static("primrose-deadline-ms");
const REQUEST_HEADER: HeaderName = HeaderName::from_static("primrose-request");
const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 256;

pub struct FrontendOptions {
    pub host: HostId,
    pub failure_domain: SmolStr,
    pub clock: Clock,
    pub auth: Auth,
    pub members: Members,
    pub requests: Requests,
    pub metrics: Metrics,
    pub burn: BurnCounters,
}

struct Inner {
    options: FrontendOptions,
    next_request: AtomicU64,
    draining: AtomicBool,
}

/// State of the API; clones share it.
#[derive(Clone)]
pub struct Frontend {
    inner: Arc<Inner>,
}

impl Frontend {
    #[must_use]
    pub fn open(options: FrontendOptions) -> Self {
        Self {
            inner: Arc::new(Inner {
                options,
                next_request: AtomicU64::new(1),
                draining: AtomicBool::new(false),
            }),
        }
    }

    pub fn router(&self) -> Router {
        Router::new()
            .route("/v1/services/{team}/{service}/{operation}", post(serve))
            .route("/healthz", get(health))
            .with_state(self.clone())
    }

    /// Makes the health check fail, so that the load balancer stops sending callers.
    pub fn start_draining(&self) {
        self.inner.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the load balancer should send callers to this host.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        let draining = self.inner.draining.load(Ordering::Relaxed);
        !draining && self.inner.options.members.view().serving
    }

    fn next_request_id(&self) -> SmolStr {
        let host = &self.inner.options.host;
        let number = self.inner.next_request.fetch_add(1, Ordering::Relaxed);
        format_smolstr!("{}-{:x}-{number}", host.name, host.incarnation)
    }

    fn service_request(
        &self,
        path: ServicePath,
        caller: Caller,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<ServiceRequest, Problem> {
        let options = &self.inner.options;
        let view = options.members.view();
        let document = view.document(&path.team);
        let service = document.and_then(|one| one.content.services.get(path.service.as_str()));
        let operation = service.and_then(|one| one.operations.get(path.operation.as_str()));
        let (Some(service), Some(operation)) = (service, operation) else {
            let ServicePath {
                team,
                service,
                operation,
            } = &path;
            let detail =
                format!("no operation {operation:?} of service {service:?} of team {team:?}");
            return Err(Problem::new(Code::NotFound).with_detail(detail));
        };
        let declared_ms = operation.deadline_ms.unwrap_or(service.deadline_ms);
        let deadline_ms = requested_deadline_ms(headers)?.unwrap_or(declared_ms);
        let deadline_ms = deadline_ms.min(DEADLINE_MAX_MS);
        let key = idempotency_key(headers)?;
        let content_type = headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        Ok(ServiceRequest {
            request_id: self.next_request_id(),
            client: caller.client,
            failure_domains: service.failure_domains.clone(),
            deadline: options.clock.now() + DurationMs(u64::from(deadline_ms)),
            idempotent: operation.idempotent,
            key: key.map(|key| request_key(&path.team, &path.service, key)),
            content_type: content_type.unwrap_or("application/octet-stream").into(),
            body,
            origin: Origin::Caller,
            team: path.team,
            service: path.service,
            operation: path.operation,
        })
    }

    fn record(&self, request: &ServiceRequest, reply: &Reply, started: MonoMs) {
        let options = &self.inner.options;
        let now = options.clock.now();
        let latency = now.since(started);
        let outcome = match reply {
            Reply::NotRun { cause, .. } => Outcome::NotRun(cause.metric_reason()),
            Reply::Answered { status, .. } => Outcome::Answered(*status),
            Reply::DuplicateKey => Outcome::Answered(StatusCode::CONFLICT.as_u16()),
            Reply::Unknown => Outcome::Unknown,
        };
        let view = options.members.view();
        let document = view.document(&request.team);
        let service = document.and_then(|one| one.content.services.get(request.service.as_str()));
        if let Some(service) = service {
            let level = ServiceLevelObjective {
                good_ppm: service.target.good_ppm,
                latency_ms: u64::from(service.target.latency_ms),
            };
            let name = format_smolstr!("{}/{}", request.team, request.service);
            options.burn.set_objective(now, &name, level);
            options.burn.record_request(now, &name, outcome, latency);
        }
        options.metrics.record_request(&RequestRecord {
            team: &request.team,
            service: &request.service,
            failure_domain: &options.failure_domain,
            outcome,
            latency_ms: f64::from(u32::try_from(latency.0).unwrap_or(u32::MAX)),
        });
        if matches!(reply, Reply::Answered { .. }) {
            return;
        }
        let line = Line::info("request_not_answered").with("request", &request.request_id);
        let reason = match reply {
            Reply::NotRun { cause, .. } => cause.name(),
            Reply::DuplicateKey => "key_repeated",
            _ => "unknown",
        };
        line.with("team", &request.team).with_reason(reason).write();
    }
}

struct ServicePath {
    team: SmolStr,
    service: SmolStr,
    operation: SmolStr,
}

fn bad_header(name: &HeaderName, expected: &str) -> Problem {
    let detail = format!("header {name}: expected {expected}");
    Problem::new(Code::BadRequest).with_detail(detail)
}

fn requested_deadline_ms(headers: &HeaderMap) -> Result<Option<u32>, Problem> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    let valid = parsed.filter(|deadline_ms| *deadline_ms > 0);
    let expected = "a whole number of milliseconds above 0";
    let deadline_ms = valid.ok_or_else(|| bad_header(&DEADLINE_HEADER, expected))?;
    Ok(Some(deadline_ms))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Problem> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().ok();
    let valid = text.filter(|text| !text.is_empty() && text.len() <= IDEMPOTENCY_KEY_MAX_BYTES);
    let key = valid
        .ok_or_else(|| bad_header(&IDEMPOTENCY_KEY_HEADER, "1 to 256 printable characters"))?;
    Ok(Some(key))
}

async fn health(State(front): State<Frontend>) -> StatusCode {
    if front.is_healthy() {
        return StatusCode::OK;
    }
    StatusCode::SERVICE_UNAVAILABLE
}

async fn serve(
    State(front): State<Frontend>,
    Path((team, service, operation)): Path<(SmolStr, SmolStr, SmolStr)>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let started = front.inner.options.clock.now();
    let caller = match front.inner.options.auth.authenticate(&headers) {
        Ok(caller) => caller,
        Err(denied) => return Problem::from(denied).into_response(),
    };
    let path = ServicePath {
        team,
        service,
        operation,
    };
    let request = match front.service_request(path, caller, &headers, body) {
        Ok(request) => request,
        Err(problem) => return with_outcome_header(problem.into_response(), "not-run"),
    };
    // Runs in its own task, so that the answer of a claimed key is stored even if the caller disconnects.
    let task = tokio::spawn(async move {
        let reply = front.inner.options.requests.run(&request).await;
        front.record(&request, &reply, started);
        (request.request_id, reply)
    });
    match task.await {
        Ok((request_id, reply)) => reply_response(&request_id, reply),
        Err(_) => with_outcome_header(Problem::new(Code::Internal).into_response(), "unknown"),
    }
}

fn with_outcome_header(mut response: Response, outcome: &'static str) -> Response {
    let value = HeaderValue::from_static(outcome);
    response.headers_mut().insert(OUTCOME_HEADER, value);
    response
}

fn reply_response(request_id: &str, reply: Reply) -> Response {
    let mut response = match reply {
        Reply::Answered {
            status,
            content_type,
            body,
        } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            let headers = [(header::CONTENT_TYPE, content_type.to_string())];
            with_outcome_header((status, headers, body).into_response(), "answered")
        }
        Reply::NotRun {
            cause,
            retry_after_ms,
        } => not_run_response(cause, retry_after_ms),
        Reply::DuplicateKey => {
            let detail = "the idempotency key was used before; this call was not run";
            let mut problem = Problem::new(Code::OutcomeUnknown).with_detail(detail);
            problem.status = StatusCode::CONFLICT.as_u16();
            let mut response = problem.into_response();
            *response.status_mut() = StatusCode::CONFLICT;
            with_outcome_header(response, "unknown")
        }
        Reply::Unknown => {
            let problem = Problem::new(Code::OutcomeUnknown);
            with_outcome_header(problem.into_response(), "unknown")
        }
    };
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    response
}

fn not_run_response(cause: NotRunCause, retry_after_ms: u64) -> Response {
    let code = match cause {
        NotRunCause::KeyUnrecorded => Code::StoreUnavailable,
        NotRunCause::Unreachable => Code::NotOwner,
        _ => Code::Overloaded,
    };
    let problem = Problem::new(code).with_detail(cause.name());
    let mut response = with_outcome_header(problem.into_response(), "not-run");
    let seconds = retry_after_ms.div_ceil(1_000).max(1);
    if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
