//! HTTP listeners with limits on the resources that a sender may use.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::{HeaderValue, Request, Response, Version, header};
use axum::response::IntoResponse;
use bytes::Bytes;
use http_body_util::Limited;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};
use tokio::task::JoinHandle;
use tokio::time::Sleep;
use tower::ServiceExt;

use crate::problem::{Code, OUTCOME_HEADER, Problem};
use crate::stream::{IdleTimeout, Stream};
use crate::tls::ServerTls;

/// While file descriptors are exhausted, accepting fails again immediately.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;

/// The listener could not be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}"))]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// A body that did not arrive in time.
#[derive(Debug, Snafu)]
#[snafu(display("the body did not arrive within {limit_ms} ms"))]
pub struct BodyTimeout {
    limit_ms: u64,
}

/// Limits on the resources that a sender may use at a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Size of all headers of a request, in bytes.
    #[schemars(range(min = 8192, max = 1_048_576))]
    pub header_bytes: u32,
    /// Number of headers of a request.
    #[schemars(range(min = 16, max = 1024))]
    pub headers: u32,
    /// Time for the TLS handshake, in milliseconds.
    #[schemars(range(min = 100, max = 60_000))]
    pub handshake_ms: u64,
    /// Time for the headers of a request, in milliseconds; also the longest pause between two requests of HTTP/1.
    #[schemars(range(min = 100, max = 600_000))]
    pub header_read_ms: u64,
    /// Time for the body of a request, in milliseconds.
    #[schemars(range(min = 100, max = 600_000))]
    pub body_read_ms: u64,
    /// Size of the body of a request, in bytes.
    #[schemars(range(min = 1024, max = 1_073_741_824))]
    pub body_bytes: u32,
    /// Time without traffic in either direction, in milliseconds; longer than any request may run.
    #[schemars(range(min = 1_000, max = 3_600_000))]
    pub idle_ms: u64,
    /// Total size of the bodies being received or processed, in bytes; further requests are rejected.
    #[schemars(range(min = 1024))]
    pub bodies_bytes: u32,
    /// Number of connections; further ones are closed immediately.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            headers: 64,
            handshake_ms: 5_000,
            header_read_ms: 10_000,
            body_read_ms: 10_000,
            body_bytes: 1_048_576,
            idle_ms: 60_000,
            bodies_bytes: 268_435_456,
            connections: 4_096,
        }
    }
}

/// A running listener. Dropping it closes the listening socket and lets open connections finish.
pub struct Listener {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<GracefulShutdown>,
}

impl Listener {
    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, lets requests in flight finish, and closes connections as they become idle.
    ///
    /// Returns false if connections were still open after `grace_ms`.
    pub async fn stop(self, grace_ms: u64) -> bool {
        drop(self.stop);
        let Ok(graceful) = self.task.await else {
            return false;
        };
        let grace = Duration::from_millis(grace_ms);
        let finished = tokio::time::timeout(grace, graceful.shutdown()).await;
        finished.is_ok()
    }
}

/// Listens on `address` and serves `router`, with TLS if there is key material.
///
/// # Errors
///
/// Returns [`ListenError`] if the address cannot be bound.
pub async fn bind(
    address: SocketAddr,
    router: Router,
    tls: Option<Arc<ServerTls>>,
    limits: Limits,
) -> Result<Listener, ListenError> {
    let bound = TcpListener::bind(address).await;
    let listener = bound.context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    let (stop, stopped) = oneshot::channel();
    let server = Arc::new(Server {
        router,
        tls,
        limits,
        connections: Arc::new(Semaphore::new(limits.connections as usize)),
        bodies: Semaphore::new(limits.bodies_bytes as usize),
    });
    let task = tokio::spawn(accept_loop(listener, server, stopped));
    Ok(Listener {
        address,
        stop,
        task,
    })
}

struct Server {
    router: Router,
    tls: Option<Arc<ServerTls>>,
    limits: Limits,
    connections: Arc<Semaphore>,
    bodies: Semaphore,
}

async fn accept_loop(
    listener: TcpListener,
    server: Arc<Server>,
    mut stopped: oneshot::Receiver<()>,
) -> GracefulShutdown {
    let graceful = GracefulShutdown::new();
    let mut is_full = false;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = &mut stopped => return graceful,
        };
        let tcp = match accepted {
            Ok((tcp, _)) => tcp,
            Err(error) => {
                log::warn!("event=accept_failed error={error}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                continue;
            }
        };
        let Ok(permit) = server.connections.clone().try_acquire_owned() else {
            // Logged once each time the limit is reached, so that a flood of connections does not fill the log.
            if !is_full {
                let limit = server.limits.connections;
                log::warn!("event=connections_refused limit={limit}");
            }
            is_full = true;
            continue;
        };
        is_full = false;
        let server = server.clone();
        let watcher = graceful.watcher();
        tokio::spawn(async move {
            server.serve_connection(tcp, watcher).await;
            drop(permit);
        });
    }
}

impl Server {
    async fn serve_connection(self: Arc<Self>, tcp: TcpStream, watcher: Watcher) {
        let limits = self.limits;
        if tcp.set_nodelay(true).is_err() {
            return;
        }
        let accepted = Stream::accept(tcp, self.tls.as_deref(), limits.handshake_ms).await;
        let stream = match accepted {
            Ok(stream) => stream,
            Err(error) => {
                log::debug!("event=handshake_failed error={error:?}");
                return;
            }
        };
        let builder = http_builder(limits, stream.is_http2());
        let io = TokioIo::new(IdleTimeout::new(stream, limits.idle_ms));
        let service = hyper::service::service_fn(move |request| {
            let server = self.clone();
            async move { Ok::<_, Infallible>(server.handle_request(request).await) }
        });
        let connection = builder.serve_connection(io, service).into_owned();
        if let Err(error) = watcher.watch(connection).await {
            log::debug!("event=connection_failed error={error:?}");
        }
    }

    async fn handle_request(&self, request: Request<Incoming>) -> Response<Body> {
        let limits = self.limits;
        let size = request.body().size_hint();
        let version = request.version();
        if size.lower() > u64::from(limits.body_bytes) {
            let detail = format!("expected at most {} bytes", limits.body_bytes);
            let problem = Problem::new(Code::BodyTooLarge).with_detail(detail);
            return reject(&problem, version);
        }
        // A body of unknown length reserves the full limit.
        let reserved = size.upper().and_then(|upper| u32::try_from(upper).ok());
        let reserved = reserved.unwrap_or(limits.body_bytes);
        let Ok(_reserved) = self.bodies.try_acquire_many(reserved) else {
            return reject(&Problem::new(Code::Overloaded), version);
        };
        let request = request.map(|body| {
            let limited = Limited::new(body, limits.body_bytes as usize);
            Body::new(TimedBody::new(limited, limits.body_read_ms))
        });
        let response = self.router.clone().oneshot(request).await;
        response.unwrap_or_else(|never| match never {})
    }
}

/// Rejects a request without reading its body, which requires closing an HTTP/1 connection.
fn reject(problem: &Problem, version: Version) -> Response<Body> {
    let mut response = problem.clone().into_response();
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
    if version < Version::HTTP_2 {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn http_builder(limits: Limits, is_http2: bool) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_read_ms))
        .max_headers(limits.headers as usize)
        // hyper panics below 8,192.
        .max_buf_size(limits.header_bytes.max(8_192) as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.header_bytes)
        .max_concurrent_streams(256);
    // The protocol is known from the handshake; detecting it would wait for the first bytes without a timeout.
    if is_http2 {
        builder.http2_only()
    } else {
        builder.http1_only()
    }
}

/// A body that fails with [`BodyTimeout`] if it does not arrive within the limit.
struct TimedBody<B> {
    body: Pin<Box<B>>,
    limit_ms: u64,
    sleep: Pin<Box<Sleep>>,
}

impl<B> TimedBody<B> {
    fn new(body: B, limit_ms: u64) -> Self {
        Self {
            body: Box::pin(body),
            limit_ms,
            sleep: Box::pin(tokio::time::sleep(Duration::from_millis(limit_ms))),
        }
    }
}

impl<B> HttpBody for TimedBody<B>
where
    B: HttpBody<Data = Bytes, Error = axum::BoxError>,
{
    type Data = Bytes;
    type Error = axum::BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = self.get_mut();
        let poll = this.body.as_mut().poll_frame(cx);
        if poll.is_ready() || this.sleep.as_mut().poll(cx).is_pending() {
            return poll;
        }
        let limit_ms = this.limit_ms;
        Poll::Ready(Some(Err(Box::new(BodyTimeout { limit_ms }))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
