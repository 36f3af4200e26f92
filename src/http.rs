//! An HTTP client that tells what was certainly not sent from what may have been.

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

/// Largest answer that is taken.
pub const RESPONSE_MAX_BYTES: usize = 4 << 20;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a call has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HttpFailure {
    /// No connection was made, so nothing was sent.
    #[snafu(display("no connection could be made"))]
    NotConnected,
    /// The other side refused and did nothing.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// Status code.
        status: u16,
    },
    /// The request may have been sent; no whole answer arrived.
    #[snafu(display("no whole answer arrived"))]
    NoResponse,
    /// The answer is not what was expected.
    #[snafu(display("the answer cannot be understood"))]
    Malformed,
}

impl HttpFailure {
    /// Whether the other side certainly did nothing.
    #[must_use]
    pub fn is_not_executed(self) -> bool {
        matches!(self, Self::NotConnected | Self::Refused { .. })
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, complete.
    pub body: Bytes,
}

/// A client with pooled connections; a clone shares the pool.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Opens a client without connections.
    #[must_use]
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client }
    }

    /// Sends one request and waits for its whole answer.
    ///
    /// A connection whose request is dropped or times out is closed by the pool, never reused.
    ///
    /// # Errors
    ///
    /// Returns [`HttpFailure`] if there is no whole answer.
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
            let whole = limited
                .collect()
                .await
                .map_err(|_| HttpFailure::NoResponse)?;
            Ok(HttpResponse {
                status: parts.status,
                headers: parts.headers,
                body: whole.to_bytes(),
            })
        };
        let answer = tokio::time::timeout(timeout, exchange).await;
        answer.unwrap_or(Err(HttpFailure::NoResponse))
    }

    /// Posts JSON and parses the JSON answer.
    ///
    /// # Errors
    ///
    /// Returns [`HttpFailure::Refused`] for 4xx and 503, which say that nothing was done, and [`HttpFailure::NoResponse`] for
    /// other statuses than success.
    pub async fn post_json(
        &self,
        uri: &str,
        body: &Value,
        timeout: Duration,
    ) -> Result<Value, HttpFailure> {
        let answer = self.send(json_request(uri, body)?, timeout).await?;
        check_status(answer.status)?;
        serde_json::from_slice(&answer.body).map_err(|_| HttpFailure::Malformed)
    }

    /// Gets JSON.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::post_json`].
    pub async fn get_json(&self, uri: &str, timeout: Duration) -> Result<Value, HttpFailure> {
        let request = Request::get(uri).body(Full::default());
        let request = request.map_err(|_| HttpFailure::Malformed)?;
        let answer = self.send(request, timeout).await?;
        check_status(answer.status)?;
        serde_json::from_slice(&answer.body).map_err(|_| HttpFailure::Malformed)
    }

    /// Posts JSON and gives access to the lines of the answer as they arrive.
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

/// Lines of an answer that goes on.
pub struct ResponseLines {
    body: Incoming,
    buffer: BytesMut,
}

impl ResponseLines {
    /// Next line without its end, or `None` when the answer ended, broke or has a line that is too long.
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
