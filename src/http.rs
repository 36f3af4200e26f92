//! HTTP client whose errors distinguish requests that were certainly not executed from those that may have been.

use std::time::Duration;

use axum::http::{HeaderMap, Method, Request, StatusCode};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::Value;
use snafu::Snafu;

/// Largest accepted response body.
pub const RESPONSE_MAX_BYTES: usize = 4 << 20;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Reason why a call has no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HttpFailure {
    /// No connection was established, so nothing was sent.
    #[snafu(display("cannot connect"))]
    NotConnected,
    /// The server refused the request without executing it.
    #[snafu(display("refused with status {status}"))]
    Refused { status: u16 },
    /// The request may have been sent, but no complete response arrived.
    #[snafu(display("no complete response received"))]
    NoResponse,
    /// The request or the response is not valid.
    #[snafu(display("invalid request or response"))]
    Malformed,
}

impl HttpFailure {
    /// Whether the server certainly did not execute the request.
    #[must_use]
    pub fn is_not_executed(self) -> bool {
        matches!(self, Self::NotConnected | Self::Refused { .. })
    }
}

/// A complete response.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// HTTP client with a connection pool; clones share the pool.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    /// Creates a client with an empty pool.
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client }
    }
}

impl HttpClient {
    /// Sends a request and waits for the complete response.
    ///
    /// A connection whose request is dropped or times out is closed, never reused.
    ///
    /// # Errors
    ///
    /// Returns [`HttpFailure`] if there is no complete response.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpResponse, HttpFailure> {
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    HttpFailure::NotConnected
                } else {
                    HttpFailure::NoResponse
                }
            })?;
            let (parts, body) = response.into_parts();
            let limited = Limited::new(body, RESPONSE_MAX_BYTES);
            let collected = limited
                .collect()
                .await
                .map_err(|_| HttpFailure::NoResponse)?;
            Ok(HttpResponse {
                status: parts.status,
                headers: parts.headers,
                body: collected.to_bytes(),
            })
        };
        let response = tokio::time::timeout(timeout, exchange).await;
        response.unwrap_or(Err(HttpFailure::NoResponse))
    }

    /// Posts JSON and parses the JSON response.
    ///
    /// # Errors
    ///
    /// Returns [`HttpFailure::Refused`] for 4xx and 503, which mean that nothing was executed, and
    /// [`HttpFailure::NoResponse`] for other unsuccessful statuses.
    pub async fn post_json(
        &self,
        uri: &str,
        body: &Value,
        timeout: Duration,
    ) -> Result<Value, HttpFailure> {
        let response = self.send(json_request(uri, body)?, timeout).await?;
        check_status(response.status)?;
        serde_json::from_slice(&response.body).map_err(|_| HttpFailure::Malformed)
    }

    /// Fetches JSON.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::post_json`].
    pub async fn get_json(&self, uri: &str, timeout: Duration) -> Result<Value, HttpFailure> {
        let request = Request::get(uri).body(Full::default());
        let request = request.map_err(|_| HttpFailure::Malformed)?;
        let response = self.send(request, timeout).await?;
        check_status(response.status)?;
        serde_json::from_slice(&response.body).map_err(|_| HttpFailure::Malformed)
    }

    /// Posts JSON and streams the response line by line.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::post_json`].
    pub async fn post_json_lines(
        &self,
        uri: &str,
        body: &Value,
        timeout: Duration,
    ) -> Result<ResponseLines, HttpFailure> {
        let request = self.client.request(json_request(uri, body)?);
        let response = tokio::time::timeout(timeout, request).await;
        let response = response.map_err(|_| HttpFailure::NoResponse)?;
        let response = response.map_err(|_| HttpFailure::NotConnected)?;
        check_status(response.status())?;
        Ok(ResponseLines {
            body: response.into_body(),
            buffer: BytesMut::new(),
        })
    }
}

fn json_request(uri: &str, body: &Value) -> Result<Request<Full<Bytes>>, HttpFailure> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(uri)
        .header("content-type", "application/json")
        .body(Full::from(body.to_string()));
    request.map_err(|_| HttpFailure::Malformed)
}

fn check_status(status: StatusCode) -> Result<(), HttpFailure> {
    if status.is_success() {
        return Ok(());
    }
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(HttpFailure::Refused {
            status: status.as_u16(),
        });
    }
    Err(HttpFailure::NoResponse)
}

/// Lines of a streaming response.
pub struct ResponseLines {
    body: Incoming,
    buffer: BytesMut,
}

impl ResponseLines {
    /// Returns the next line without its newline, or `None` if the response ended or failed or the line exceeds
    /// [`RESPONSE_MAX_BYTES`].
    pub async fn next(&mut self) -> Option<Bytes> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return Some(line.freeze().slice(..end));
            }
            if self.buffer.len() > RESPONSE_MAX_BYTES {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            if let Some(data) = frame.data_ref() {
                self.buffer.extend_from_slice(data);
            }
        }
    }
}
