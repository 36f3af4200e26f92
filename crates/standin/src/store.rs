//! A stand-in key-value store with the JSON API of etcd's v3 gRPC gateway.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use futures_util::stream;
use serde_json::{Value, json};
use tokio::sync::broadcast;

/// Numbers of calls that the store received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calls {
    /// Range reads and opened watches.
    pub reads: u64,
    /// Transactions and deletions.
    pub writes: u64,
}

#[derive(Clone)]
struct Entry {
    value: String,
    mod_revision: u64,
    version: u64,
}

struct Inner {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    calls: Calls,
    down: bool,
    delay_ms: u64,
    responses_to_drop: u32,
}

/// The store; a clone is a handle to the same store.
#[derive(Clone)]
pub struct StandinStore {
    inner: Arc<Mutex<Inner>>,
    changes: broadcast::Sender<Arc<str>>,
}

impl Default for StandinStore {
    fn default() -> Self {
        let (changes, _) = broadcast::channel(4_096);
        let inner = Inner {
            revision: 1,
            entries: BTreeMap::new(),
            calls: Calls::default(),
            down: false,
            delay_ms: 1,
            responses_to_drop: 0,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            changes,
        }
    }
}

impl StandinStore {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets whether the store refuses every call with status 503 and ends open watches.
    pub fn set_down(&self, down: bool) {
        self.inner().down = down;
    }

    /// Sets the delay before each call is handled.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.inner().delay_ms = delay_ms;
    }

    /// Answers the next `count` transactions with status 504, although they take effect.
    pub fn drop_responses(&self, count: u32) {
        self.inner().responses_to_drop = count;
    }

    /// Numbers of calls received so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.inner().calls
    }

    /// Value of a key, or none if the key does not exist.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let entry = self.inner().entries.get(&BASE64.encode(key)).cloned()?;
        BASE64.decode(entry.value).ok()
    }

    /// Serves on an address in the background and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address cannot be bound.
    pub async fn bind(&self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let router = Router::new()
            .route("/v3/kv/range", post(range))
            .route("/v3/kv/txn", post(txn))
            .route("/v3/kv/deleterange", post(delete_range))
            .route("/v3/watch", post(watch))
            .layer(axum::extract::DefaultBodyLimit::max(4 << 20))
            .with_state(self.clone());
        crate::platform::serve(address, router).await
    }

    async fn begin_call(&self) -> Result<(), Response> {
        let (down, delay_ms) = {
            let inner = self.inner();
            (inner.down, inner.delay_ms)
        };
        if down {
            return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        Ok(())
    }

    fn put(&self, inner: &mut Inner, key: &str, value: &str) {
        inner.revision += 1;
        let revision = inner.revision;
        let version = inner.entries.get(key).map_or(1, |entry| entry.version + 1);
        let entry = Entry {
            value: value.to_owned(),
            mod_revision: revision,
            version,
        };
        let event = json!({"result": {
            "header": {"revision": revision.to_string()},
            "events": [{"type": "PUT", "kv": kv_json(key, &entry)}],
        }});
        inner.entries.insert(key.to_owned(), entry);
        // Sending fails only when no watch is open.
        let _ = self.changes.send(event.to_string().into());
    }
}

fn kv_json(key: &str, entry: &Entry) -> Value {
    json!({
        "key": key,
        "value": entry.value,
        "mod_revision": entry.mod_revision.to_string(),
        "version": entry.version.to_string(),
    })
}

fn text<'a>(value: &'a Value, name: &str) -> &'a str {
    value[name].as_str().unwrap_or_default()
}

/// Compares decoded keys, since base64 does not preserve byte order.
fn is_in_range(key: &str, from: &str, end: &str) -> bool {
    let key = BASE64.decode(key).unwrap_or_default();
    let from = BASE64.decode(from).unwrap_or_default();
    if end.is_empty() {
        return key == from;
    }
    let end = BASE64.decode(end).unwrap_or_default();
    key >= from && key < end
}

async fn range(State(store): State<StandinStore>, Json(body): Json<Value>) -> Response {
    if let Err(response) = store.begin_call().await {
        return response;
    }
    let mut inner = store.inner();
    inner.calls.reads += 1;
    let (from, end) = (text(&body, "key"), text(&body, "range_end"));
    let found = inner
        .entries
        .iter()
        .filter(|(key, _)| is_in_range(key, from, end));
    let kvs: Vec<Value> = found.map(|(key, entry)| kv_json(key, entry)).collect();
    Json(json!({
        "header": {"revision": inner.revision.to_string()},
        "count": kvs.len().to_string(),
        "kvs": kvs,
    }))
    .into_response()
}

fn is_satisfied(inner: &Inner, compare: &Value) -> bool {
    let expected = text(compare, "mod_revision");
    let entry = inner.entries.get(text(compare, "key"));
    let actual = entry.map_or(0, |entry| entry.mod_revision);
    actual.to_string() == expected
}

async fn txn(State(store): State<StandinStore>, Json(body): Json<Value>) -> Response {
    if let Err(response) = store.begin_call().await {
        return response;
    }
    let mut inner = store.inner();
    inner.calls.writes += 1;
    let compares = body["compare"].as_array().cloned().unwrap_or_default();
    let succeeded = compares.iter().all(|compare| is_satisfied(&inner, compare));
    if succeeded {
        for step in body["success"].as_array().cloned().unwrap_or_default() {
            let put = &step["request_put"];
            store.put(&mut inner, text(put, "key"), text(put, "value"));
        }
    }
    if inner.responses_to_drop > 0 {
        inner.responses_to_drop -= 1;
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(json!({
        "header": {"revision": inner.revision.to_string()},
        "succeeded": succeeded,
    }))
    .into_response()
}

async fn delete_range(State(store): State<StandinStore>, Json(body): Json<Value>) -> Response {
    if let Err(response) = store.begin_call().await {
        return response;
    }
    let mut inner = store.inner();
    inner.calls.writes += 1;
    inner.revision += 1;
    let (from, end) = (text(&body, "key"), text(&body, "range_end"));
    inner.entries.retain(|key, _| !is_in_range(key, from, end));
    let revision = inner.revision.to_string();
    Json(json!({"header": {"revision": revision}})).into_response()
}

async fn watch(State(store): State<StandinStore>, Json(body): Json<Value>) -> Response {
    if let Err(response) = store.begin_call().await {
        return response;
    }
    store.inner().calls.reads += 1;
    let request = &body["create_request"];
    let from = text(request, "key").to_owned();
    let end = text(request, "range_end").to_owned();
    let created = json!({"result": {"created": true}}).to_string();
    let state = (store.changes.subscribe(), store.clone(), Some(created));
    let lines = stream::unfold(state, move |(mut changes, store, first)| {
        let (from, end) = (from.clone(), end.clone());
        async move {
            if let Some(line) = first {
                return Some((
                    Ok::<_, Infallible>(line_bytes(&line)),
                    (changes, store, None),
                ));
            }
            loop {
                let change = tokio::time::timeout(Duration::from_millis(100), changes.recv()).await;
                if store.inner().down {
                    return None;
                }
                let Ok(change) = change else {
                    continue;
                };
                let line = change.ok()?;
                let value: Value = serde_json::from_str(&line).ok()?;
                let key = text(&value["result"]["events"][0]["kv"], "key");
                if is_in_range(key, &from, &end) {
                    return Some((
                        Ok::<_, Infallible>(line_bytes(&line)),
                        (changes, store, None),
                    ));
                }
            }
        }
    });
    Body::from_stream(lines).into_response()
}

fn line_bytes(line: &str) -> Bytes {
    Bytes::from(format!("{line}\n"))
}
