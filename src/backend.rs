//! Client for backend servers: task commands and requests over HTTP.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use axum::http::{HeaderMap, Request};
use bytes::Bytes;
use http_body_util::Full;
use primrosestack_core::event::{ServerCommand, ServerReply};
use primrosestack_core::ids::{Epoch, HostId};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use crate::http::{HttpClient, HttpFailure, HttpResponse};

/// A command without a response within this time counts as lost.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// Response header with which a backend server reports that it refused a request before starting it.
const OUTCOME_HEADER: &str = "primrose-outcome";
/// Request id, echoed in the response.
const REQUEST_HEADER: &str = "primrose-request";

/// A request to a backend server.
#[derive(Clone, Debug)]
pub struct BackendRequest {
    pub address: SocketAddr,
    /// Epoch under which the request is sent.
    pub epoch: Epoch,
    /// Echoed in the response.
    pub request_id: SmolStr,
    pub service: SmolStr,
    pub operation: SmolStr,
    pub content_type: SmolStr,
    pub body: Bytes,
    /// Time left until the deadline.
    pub timeout: Duration,
}

/// Outcome of a request: whether it is safe to retry depends on whether it may have run.
#[derive(Debug)]
pub enum BackendOutcome {
    /// The server certainly did not run it.
    NotRun,
    /// The complete response arrived.
    Answered(HttpResponse),
    /// It may have run; no complete response arrived.
    Unknown,
}

/// Future of a backend call.
pub type BackendFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Calls to backend servers.
pub trait Backend: Send + Sync {
    /// Sends a command; returns [`ServerReply::Lost`] if no valid reply arrives.
    fn command(
        &self,
        address: SocketAddr,
        epoch: Epoch,
        command: ServerCommand,
    ) -> BackendFuture<'_, ServerReply>;

    /// Sends a request without retries.
    fn request(&self, request: BackendRequest) -> BackendFuture<'_, BackendOutcome>;
}

/// Calls backend servers over HTTP.
pub struct HttpBackend {
    owner: HostId,
    commands: HttpClient,
    requests: HttpClient,
}

impl HttpBackend {
    /// Creates a client without connecting. Each command and request names the entry host `owner` as its sender.
    #[must_use]
    pub fn new(owner: HostId) -> Self {
        Self {
            owner,
            commands: HttpClient::default(),
            requests: HttpClient::default(),
        }
    }

    async fn send_command(
        &self,
        address: SocketAddr,
        epoch: Epoch,
        command: ServerCommand,
    ) -> ServerReply {
        let envelope = json!({"epoch": epoch, "owner": self.owner, "command": command});
        let uri = format!("http://{address}/v1/command");
        let response = self
            .commands
            .post_json(&uri, &envelope, COMMAND_TIMEOUT)
            .await;
        let Ok(response) = response else {
            return ServerReply::Lost;
        };
        serde_json::from_value(response).unwrap_or(ServerReply::Lost)
    }

    async fn send_request(&self, request: BackendRequest) -> BackendOutcome {
        let request_id = request.request_id.clone();
        let Some(timeout) = Some(request.timeout).filter(|timeout| !timeout.is_zero()) else {
            return BackendOutcome::NotRun;
        };
        let Ok(http_request) = self.http_request(request) else {
            return BackendOutcome::NotRun;
        };
        match self.requests.send(http_request, timeout).await {
            Err(HttpFailure::NotConnected) => BackendOutcome::NotRun,
            Err(_) => BackendOutcome::Unknown,
            Ok(response) if header_value(&response.headers, OUTCOME_HEADER) == "not-run" => {
                BackendOutcome::NotRun
            }
            // A response to another request must not reach this caller.
            Ok(response) if header_value(&response.headers, REQUEST_HEADER) != request_id => {
                BackendOutcome::Unknown
            }
            Ok(response) => BackendOutcome::Answered(response),
        }
    }

    fn http_request(
        &self,
        request: BackendRequest,
    ) -> Result<Request<Full<Bytes>>, axum::http::Error> {
        let BackendRequest {
            address,
            service,
            operation,
            ..
        } = &request;
        let epoch = format_smolstr!("{}.{}", request.epoch.term, request.epoch.rank);
        let owner = format_smolstr!("{}/{}", self.owner.name, self.owner.incarnation);
        Request::post(format!("http://{address}/v1/request/{service}/{operation}"))
            .header("content-type", request.content_type.as_str())
            .header("primrose-epoch", epoch.as_str())
            .header("primrose-owner", owner.as_str())
            .header(
                "primrose-deadline-ms",
                request.timeout.as_millis().to_string(),
            )
            .header(REQUEST_HEADER, request.request_id.as_str())
            .body(Full::from(request.body))
    }
}

fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

impl Backend for HttpBackend {
    fn command(
        &self,
        address: SocketAddr,
        epoch: Epoch,
        command: ServerCommand,
    ) -> BackendFuture<'_, ServerReply> {
        Box::pin(self.send_command(address, epoch, command))
    }

    fn request(&self, request: BackendRequest) -> BackendFuture<'_, BackendOutcome> {
        Box::pin(self.send_request(request))
    }
}
