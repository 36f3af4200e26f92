//! HTTP API for callers, and readiness probes of the load balancer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use primrosestack_fleet::bounds::ACCEPTANCE_MAX_MS;
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{self, Home};
use primrosestack_platform::callers;
use primrosestack_platform::catalog::Configuration;
use primrosestack_platform::store::{StoreFailure, Transaction};
use prost::Message;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::daemon::clock::{now_ms, unix_ms};
use crate::daemon::ingress::body::{self, BodyRefusal, ReceivedBody};
use crate::daemon::ingress::http;
use crate::daemon::ingress::limiter::{Connection, Limiter};
use crate::daemon::ingress::limits::{self, Limits};
use crate::daemon::keys;
use crate::daemon::lookup::{count_queued_jobs, find_status};
use crate::daemon::node::Node;
use crate::daemon::{cancellation, operator, refusal, tombstones};
use crate::logs::Line;

/// Applies to requests without a deadline header.
const DEFAULT_DEADLINE_MS: u64 = 3_000;

/// Subtracted from the caller's deadline: a round trip to callers.
const RESPONSE_MARGIN_MS: u64 = 60;

pub(super) const RETRY_DELAY_MS: u64 = 100;

/// `Retry-After` while the store is unavailable; by then, this host has called the store again.
pub(super) const RETRY_AFTER_S: u64 = 1;

/// What a job takes while it is stored, in times of its encoded size: the job, its encoding, that in base64, and the
/// text of the transaction with its copy in the client.
const STORING_COPIES: usize = 5;

pub type Reply = Response<Full<Bytes>>;

/// Answers callers.
struct CallerService(Rc<Node>);

impl http::Service for CallerService {
    async fn answer(&self, request: Request<Incoming>, connection: &Rc<Connection>) -> Reply {
        handle_request(&self.0, request, connection).await
    }

    fn head_max_bytes(&self) -> usize {
        let configuration = self.0.configuration.borrow();
        configuration
            .as_ref()
            .map_or(16_384, |current| current.head_max_bytes)
    }

    fn is_stopping(&self) -> bool {
        self.0.stopping.get()
    }
}

/// Serves callers until the daemon stops.
pub async fn serve(node: Rc<Node>, listener: TcpListener, limits: Limits) {
    let limiter = Limiter::open("callers", limits, node.metrics.clone());
    http::serve(limiter, listener, Rc::new(CallerService(node))).await;
}

/// Answers the load balancer's probes.
struct ProbeService(Rc<Node>);

impl http::Service for ProbeService {
    async fn answer(&self, request: Request<Incoming>, _: &Rc<Connection>) -> Reply {
        let is_probe = request.uri().path() == callers::READY_PATH;
        empty_reply(match (is_probe, self.0.is_ready()) {
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            (false, _) => StatusCode::NOT_FOUND,
        })
    }
}

/// Serves readiness probes of the load balancer until the daemon stops.
pub async fn serve_probes(node: Rc<Node>, listener: TcpListener) {
    let limiter = Limiter::open("ready", limits::PROBES, node.metrics.clone());
    http::serve(limiter, listener, Rc::new(ProbeService(node))).await;
}

pub(super) fn empty_reply(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

fn text_reply(status: StatusCode, text: impl Into<String>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(text.into())));
    *reply.status_mut() = status;
    reply
}

fn json_reply(body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// Reply to a request that had no effect and may be retried after `retry_after_s`.
pub(super) fn refuse(status: StatusCode, retry_after_s: u64) -> Reply {
    let mut reply = empty_reply(status);
    reply
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(retry_after_s));
    reply
}

/// Reply to a request that had no effect, while the budget for bodies is exhausted.
fn refuse_and_close() -> Reply {
    let mut reply = refuse(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S);
    reply
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// Counts a request as active until it is dropped.
struct ActiveRequest<'a>(&'a Node);

impl<'a> ActiveRequest<'a> {
    fn begin(node: &'a Node) -> Self {
        node.active_requests.set(node.active_requests.get() + 1);
        Self(node)
    }
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
    }
}

async fn handle_request(
    node: &Rc<Node>,
    request: Request<Incoming>,
    connection: &Rc<Connection>,
) -> Reply {
    let _active = ActiveRequest::begin(node);
    let started_ms = now_ms();
    let method = match *request.method() {
        Method::GET => "GET",
        Method::POST => "POST",
        Method::DELETE => "DELETE",
        _ => "other",
    };
    let reply = route(node, request, connection, started_ms).await;
    let took_ms = u32::try_from(now_ms() - started_ms).unwrap_or(u32::MAX);
    node.metrics
        .record_answer(method, reply.status().as_u16(), f64::from(took_ms));
    reply
}

async fn route(
    node: &Rc<Node>,
    request: Request<Incoming>,
    connection: &Rc<Connection>,
    started_ms: u64,
) -> Reply {
    let Some(configuration) = node.configuration.borrow().clone() else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S);
    };
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let path = request.uri().path().to_owned();
    let Some((queue, rest)) = find_route(&configuration, host, &path) else {
        return unknown_route(node, configuration.version, host, &path);
    };
    let method = request.method().clone();
    if rest.is_empty() {
        return match method {
            Method::GET => match count_queued_jobs(node, &queue.name).await {
                Ok(count) => json_reply(callers::encode_queued_count(count)),
                Err(failure) => {
                    let line = Line::info("waiting_unknown").with("queue", &queue.name);
                    node.failure_lines.write(|| line.with_reason(failure));
                    refuse(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S)
                }
            },
            _ => empty_reply(StatusCode::METHOD_NOT_ALLOWED),
        };
    }
    let id: JobId = match rest.parse() {
        Ok(id) => id,
        Err(error) => return text_reply(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let wait_ms = request
        .headers()
        .get(callers::DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok());
    let wait_ms = wait_ms
        .and_then(|value| value.parse().ok())
        .unwrap_or(DEFAULT_DEADLINE_MS);
    let wait_ms = wait_ms
        .min(ACCEPTANCE_MAX_MS)
        .saturating_sub(RESPONSE_MARGIN_MS);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let reply = match method {
        Method::POST => {
            let body_max_bytes = configuration.body_max_bytes;
            match body::read(connection, request.into_body(), body_max_bytes).await {
                Ok(body) => submit(node, id, queue, body, deadline).await,
                Err(BodyRefusal::TooLarge) => empty_reply(StatusCode::PAYLOAD_TOO_LARGE),
                Err(BodyRefusal::NoRoom) => refuse_and_close(),
            }
        }
        Method::GET => return job_status(node, id).await,
        Method::DELETE => cancellation::cancel(node, id, queue, deadline).await,
        _ => empty_reply(StatusCode::METHOD_NOT_ALLOWED),
    };
    let line = Line::info("request_answered")
        .with("job", id)
        .with("method", method)
        .with("status", reply.status().as_u16())
        .with("took_ms", now_ms() - started_ms)
        .with("configuration", configuration.version);
    // A caller can cause refusals at any rate; whatever may be stored is logged.
    match reply.status() {
        StatusCode::SERVICE_UNAVAILABLE => node.failure_lines.write(|| line),
        status if status.is_client_error() => node.rejection_lines.write(|| line),
        _ => line.write(),
    }
    reply
}

/// Characters of a caller's host and path that are logged.
const LOGGED_ROUTE_CHARS: usize = 64;

/// Replies to a request for a route that the configuration does not have. Callers take a 404 as final, so an old copy does
/// not give one.
fn unknown_route(node: &Node, version: u64, host: &str, path: &str) -> Reply {
    let reply = if node.is_configuration_current() {
        empty_reply(StatusCode::NOT_FOUND)
    } else {
        refuse(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S)
    };
    let logged = |text: &str| -> String { text.chars().take(LOGGED_ROUTE_CHARS).collect() };
    node.rejection_lines.write(|| {
        let line = Line::info("route_unknown")
            .with("status", reply.status().as_u16())
            .with("host", logged(host))
            .with("path", logged(path))
            .with("configuration", version);
        operator::with_age(line, node)
    });
    reply
}

fn find_route<'a>(
    configuration: &'a Configuration,
    host: &str,
    path: &'a str,
) -> Option<(&'a Queue, &'a str)> {
    let host = host.split(':').next().unwrap_or_default();
    let first = configuration
        .routes
        .partition_point(|route| route.host.as_str() < host);
    for route in &configuration.routes[first..] {
        if route.host != host {
            break;
        }
        if let Some(rest) = path.strip_prefix(route.prefix.as_str()) {
            return Some((&route.queue, rest));
        }
    }
    None
}

async fn submit(
    node: &Rc<Node>,
    id: JobId,
    queue: &Queue,
    body: ReceivedBody,
    deadline: Instant,
) -> Reply {
    let ReceivedBody {
        bytes,
        mut reservation,
    } = body;
    let json_limits = node.settings.caller_limits.json();
    let job = match callers::decode_job(id, queue.clone(), &bytes, json_limits, unix_ms()) {
        Ok(job) => job,
        Err(error) => return text_reply(StatusCode::BAD_REQUEST, error.to_string()),
    };
    // The job is kept until it is stored, its body need not be.
    drop(bytes);
    if !reservation.resize(STORING_COPIES * job.encoded_len(), true) {
        return refuse_and_close();
    }
    if node.is_store_unavailable() {
        // Refuse the job while another host can still accept it: after a transaction without a response it is too late.
        let line = Line::info("job_refused").with("job", id);
        let reason = "the store does not answer this host";
        node.failure_lines.write(|| line.with_reason(reason));
        return refuse(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S);
    }
    match node.choose_home(&job) {
        Ok(home) => store_job(node, id, job, home, deadline).await,
        Err(refusal) => refusal::reply(node, id, &job, refusal, deadline).await,
    }
}

/// Stores a job under its ID; a repeated submission succeeds and changes nothing.
async fn store_job(
    node: &Rc<Node>,
    id: JobId,
    job: JobSpec,
    mut home: SmolStr,
    deadline: Instant,
) -> Reply {
    let mut may_be_committed = false;
    loop {
        if node.is_evacuated(&home) {
            // An earlier attempt without an answer and this one have the same condition, so that one of them fails.
            match node.choose_home(&job) {
                Ok(other) => home = other,
                Err(_) => return doubt(id),
            }
        }
        let transaction = acceptance_of(id, &job, &home);
        let result = tokio::time::timeout_at(deadline, node.store.commit(&transaction)).await;
        let result = result.unwrap_or(Err(StoreFailure::NoAnswer));
        node.record_store_call("accept_job", &result);
        match result {
            Ok(revision) => {
                node.cache_home(id, &home);
                Line::info("job_accepted")
                    .with("job", id)
                    .with(
                        "queue",
                        job.queue.as_ref().map_or("", |queue| queue.name.as_str()),
                    )
                    .with("shard", &home)
                    .with("revision", revision)
                    .write();
                return empty_reply(StatusCode::OK);
            }
            Err(StoreFailure::Conflict { items }) => {
                for item in &items {
                    let Ok(home) = record::decode::<Home>(&item.key, &item.value) else {
                        continue;
                    };
                    if home.tombstone {
                        return tombstones::refuse_job(node, id);
                    }
                    node.cache_home(id, &home.failure_domain.into());
                }
                Line::info("job_known").with("job", id).write();
                return empty_reply(StatusCode::OK);
            }
            Err(StoreFailure::NoAnswer | StoreFailure::Malformed { .. }) => may_be_committed = true,
            Err(failure) if !may_be_committed => {
                let line = Line::info("job_refused").with("job", id);
                node.failure_lines.write(|| line.with_reason(failure));
                return refuse(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S);
            }
            Err(_) => {}
        }
        if Instant::now() + Duration::from_millis(RETRY_DELAY_MS) >= deadline {
            return doubt(id);
        }
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}

/// Transaction that accepts a job unless it has a home already.
fn acceptance_of(id: JobId, job: &JobSpec, home: &SmolStr) -> Transaction {
    let record = Home {
        failure_domain: home.to_string(),
        ..Home::default()
    };
    Transaction::default()
        .expect_revision(keys::home(id), 0)
        .put(keys::home(id), record.encode_to_vec())
        .put(keys::job(home, id), job.encode_to_vec())
}

/// Reply to a submission whose transaction may still be committed, so that it must not say that the job was refused.
pub(super) fn doubt(id: JobId) -> Reply {
    Line::warn("job_doubtful").with("job", id).write();
    empty_reply(StatusCode::GATEWAY_TIMEOUT)
}

/// Replies with the status of a job.
pub async fn job_status(node: &Rc<Node>, id: JobId) -> Reply {
    match find_status(node, id).await {
        Ok(Some(status)) => json_reply(callers::encode_job_status(status)),
        Ok(None) => empty_reply(StatusCode::GONE),
        Err(failure) => {
            let line = Line::info("state_unknown").with("job", id);
            node.failure_lines.write(|| line.with_reason(failure));
            refuse(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S)
        }
    }
}
