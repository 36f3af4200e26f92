//! A stand-in backend server that takes commands and requests over HTTP.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use primrosestack_core::event::{ServerCommand, ServerReply};
use primrosestack_core::ids::{Epoch, HostId};
use serde::Deserialize;
use smol_str::SmolStr;

use crate::ledger::Ledger;
use crate::worker::Worker;

/// Number of requests that a server runs at a time.
pub const SLOTS: u32 = 8;

/// Interval at which the worker's clock advances when no request or command arrives.
const CLOCK_STEP_MS: u64 = 20;

/// A command with the owner that sent it and the owner's epoch.
#[derive(Deserialize)]
struct Envelope {
    epoch: Epoch,
    owner: HostId,
    command: ServerCommand,
}

/// A running backend server; a clone is a handle to the same server.
#[derive(Clone)]
pub struct StandinBackend {
    name: SmolStr,
    worker: Arc<Mutex<Worker>>,
    ledger: Ledger,
    started_at: Instant,
    service_ms: u64,
}

impl StandinBackend {
    /// Serves on an address and returns the server with the bound address; each request takes `service_ms`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        name: SmolStr,
        worker: Worker,
        ledger: Ledger,
        service_ms: u64,
    ) -> std::io::Result<(Self, SocketAddr)> {
        let backend = Self {
            name,
            worker: Arc::new(Mutex::new(worker)),
            ledger,
            started_at: Instant::now(),
            service_ms,
        };
        let router = Router::new()
            .route("/v1/command", post(command))
            .route("/v1/request/{service}/{operation}", post(request))
            .with_state(backend.clone());
        let address = crate::platform::serve(address, router).await?;
        tokio::spawn(backend.clone().tick());
        Ok((backend, address))
    }

    async fn tick(self) {
        loop {
            tokio::time::sleep(Duration::from_millis(CLOCK_STEP_MS)).await;
            let _worker = self.worker();
        }
    }

    /// Locks the worker and advances its clock to the current time.
    pub fn worker(&self) -> MutexGuard<'_, Worker> {
        let now_ms = u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut worker = self.worker.lock().unwrap_or_else(PoisonError::into_inner);
        worker.advance(now_ms);
        worker
    }
}

async fn command(
    State(backend): State<StandinBackend>,
    Json(envelope): Json<Envelope>,
) -> Json<ServerReply> {
    let Envelope {
        epoch,
        owner,
        command,
    } = envelope;
    let is_start = matches!(command, ServerCommand::Start { .. });
    let reply = backend.worker().command(epoch, &owner, command);
    if is_start && matches!(reply, ServerReply::Done) {
        backend.ledger.record_work(&backend.name, &owner, epoch);
    }
    Json(reply)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

fn parse_epoch(text: &str) -> Option<Epoch> {
    let (term, rank) = text.split_once('.')?;
    Some(Epoch {
        term: term.parse().ok()?,
        rank: rank.parse().ok()?,
    })
}

fn parse_owner(text: &str) -> Option<HostId> {
    let (name, incarnation) = text.rsplit_once('/')?;
    Some(HostId {
        name: name.into(),
        incarnation: incarnation.parse().ok()?,
    })
}

/// Frees the slot of a request on drop, also when the connection closes before the request ends.
struct SlotGuard(StandinBackend);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.worker().end_request();
    }
}

async fn request(
    State(backend): State<StandinBackend>,
    Path((service, operation)): Path<(String, String)>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let identity = header(&headers, "primrose-request").to_owned();
    let epoch = parse_epoch(header(&headers, "primrose-epoch"));
    let owner = parse_owner(header(&headers, "primrose-owner"));
    let (Some(epoch), Some(owner)) = (epoch, owner) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let refused = [("primrose-outcome", "not-run")];
    {
        let mut worker = backend.worker();
        if !worker.admit(epoch, &owner) {
            return (StatusCode::CONFLICT, refused).into_response();
        }
        if worker.leaving_for_ms().is_some_and(|ms| ms > 3_000) {
            backend.ledger.records().late_starts += 1;
        }
        if !worker.begin_request(SLOTS) {
            drop(worker);
            let text = format!(
                "{} received more than {SLOTS} concurrent requests",
                backend.name
            );
            backend.ledger.record_violation(text);
            return (StatusCode::TOO_MANY_REQUESTS, refused).into_response();
        }
    }
    backend.ledger.record_work(&backend.name, &owner, epoch);
    let slot = SlotGuard(backend.clone());
    let text = String::from_utf8_lossy(&body);
    backend
        .ledger
        .record_request(&format!("{operation} {text}"));
    tokio::time::sleep(Duration::from_millis(backend.service_ms)).await;
    drop(slot);
    let answer = format!("{service}/{operation} {} {text}", body.len());
    ([("primrose-request", identity)], answer).into_response()
}
