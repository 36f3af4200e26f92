//! Client for the platform's key-value store, which has the JSON API of etcd's v3 gateway.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use primrosestack_core::event::{StoreCall, StoreReply};
use primrosestack_core::ids::Revision;
use serde_json::{Value, json};
use smol_str::SmolStr;
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::http::{HttpClient, HttpFailure};

/// A call without a reply within this time counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Failure of a listing or watch.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The store is unreachable or refused the call.
    #[snafu(display("the store is unavailable"))]
    Unavailable,
    /// The store ended a watch.
    #[snafu(display("the store ended the watch"))]
    Ended,
    /// The store's reply is malformed.
    #[snafu(display("the store's reply has no valid field {field}"))]
    Malformed { field: &'static str },
}

/// A listed or watched key with its value.
#[derive(Clone, Debug)]
pub struct KeyValue {
    pub key: SmolStr,
    /// Revision of the key.
    pub revision: Revision,
    pub value: Arc<[u8]>,
}

/// Future of a store call.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The platform's key-value store.
pub trait Store: Send + Sync {
    /// Performs a call.
    fn call(&self, call: StoreCall) -> StoreFuture<'_, StoreReply>;

    /// Lists all keys with a prefix.
    fn list(&self, prefix: &str) -> StoreFuture<'_, Result<Vec<KeyValue>, StoreError>>;

    /// Sends every change under a prefix to `changes` until the watch ends.
    fn watch(
        &self,
        prefix: &str,
        changes: mpsc::Sender<KeyValue>,
    ) -> StoreFuture<'_, Result<(), StoreError>>;
}

/// Store reached over HTTP.
pub struct HttpStore {
    address: SocketAddr,
    client: HttpClient,
}

impl HttpStore {
    /// Creates a client, which connects on the first call.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: HttpClient::default(),
        }
    }

    async fn post(&self, path: &str, body: &Value) -> Result<Value, HttpFailure> {
        let address = self.address;
        let uri = format!("http://{address}{path}");
        self.client.post_json(&uri, body, CALL_TIMEOUT).await
    }

    async fn read(&self, key: &str) -> StoreReply {
        let body = json!({"key": BASE64.encode(key)});
        match self.post("/v3/kv/range", &body).await {
            Err(_) => StoreReply::Unavailable,
            Ok(response) => match response["kvs"].get(0) {
                None => StoreReply::Value {
                    revision: Revision(0),
                    value: Arc::from([]),
                },
                Some(kv) => match parse_key_value(kv) {
                    Ok(kv) => StoreReply::Value {
                        revision: kv.revision,
                        value: kv.value,
                    },
                    Err(_) => StoreReply::Unavailable,
                },
            },
        }
    }

    async fn compare_and_swap(&self, key: &str, expected: Revision, value: &[u8]) -> StoreReply {
        let key = BASE64.encode(key);
        let body = json!({
            "compare": [{"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": expected.0.to_string()}],
            "success": [{"request_put": {"key": key, "value": BASE64.encode(value)}}],
        });
        let response = match self.post("/v3/kv/txn", &body).await {
            Err(failure) => return write_failure_reply(failure),
            Ok(response) => response,
        };
        // The gateway omits fields that are false.
        if response["succeeded"].as_bool() != Some(true) {
            return StoreReply::Conflict;
        }
        write_reply(&response)
    }

    async fn delete(&self, key: &str) -> StoreReply {
        let body = json!({"key": BASE64.encode(key)});
        match self.post("/v3/kv/deleterange", &body).await {
            Err(failure) => write_failure_reply(failure),
            Ok(response) => write_reply(&response),
        }
    }
}

impl Store for HttpStore {
    fn call(&self, call: StoreCall) -> StoreFuture<'_, StoreReply> {
        Box::pin(async move {
            match call {
                StoreCall::Read { key } => self.read(&key).await,
                StoreCall::CompareAndSwap {
                    key,
                    expected,
                    value,
                } => self.compare_and_swap(&key, expected, &value).await,
                StoreCall::Delete { key } => self.delete(&key).await,
            }
        })
    }

    fn list(&self, prefix: &str) -> StoreFuture<'_, Result<Vec<KeyValue>, StoreError>> {
        let body =
            json!({"key": BASE64.encode(prefix), "range_end": BASE64.encode(prefix_end(prefix))});
        Box::pin(async move {
            let response = self.post("/v3/kv/range", &body).await;
            let response = response.map_err(|_| StoreError::Unavailable)?;
            let empty = Vec::new();
            let kvs = response["kvs"].as_array().unwrap_or(&empty);
            kvs.iter().map(parse_key_value).collect()
        })
    }

    fn watch(
        &self,
        prefix: &str,
        changes: mpsc::Sender<KeyValue>,
    ) -> StoreFuture<'_, Result<(), StoreError>> {
        let request = json!({"create_request": {
            "key": BASE64.encode(prefix),
            "range_end": BASE64.encode(prefix_end(prefix)),
        }});
        let address = self.address;
        Box::pin(async move {
            let uri = format!("http://{address}/v3/watch");
            let opened = self
                .client
                .post_json_lines(&uri, &request, CALL_TIMEOUT)
                .await;
            let mut lines = opened.map_err(|_| StoreError::Unavailable)?;
            while let Some(line) = lines.next().await {
                let Ok(response) = serde_json::from_slice::<Value>(&line) else {
                    return MalformedSnafu { field: "result" }.fail();
                };
                let Some(events) = response["result"]["events"].as_array() else {
                    continue;
                };
                for event in events {
                    let change = parse_key_value(&event["kv"])?;
                    if changes.send(change).await.is_err() {
                        return Ok(());
                    }
                }
            }
            Ok(())
        })
    }
}

/// The first key after all keys with this prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last = last.saturating_add(1);
    }
    end
}

fn write_failure_reply(failure: HttpFailure) -> StoreReply {
    if failure.is_not_executed() {
        return StoreReply::Unavailable;
    }
    StoreReply::Lost
}

fn write_reply(response: &Value) -> StoreReply {
    match parse_u64(&response["header"]["revision"]) {
        Some(revision) => StoreReply::Written {
            revision: Revision(revision),
        },
        None => StoreReply::Lost,
    }
}

fn parse_u64(value: &Value) -> Option<u64> {
    value.as_str()?.parse().ok()
}

fn parse_key_value(kv: &Value) -> Result<KeyValue, StoreError> {
    let malformed = |field| StoreError::Malformed { field };
    let decode = |name: &'static str| {
        let text = kv[name].as_str().unwrap_or_default();
        BASE64.decode(text).map_err(|_| malformed(name))
    };
    let key = String::from_utf8(decode("key")?).map_err(|_| malformed("key"))?;
    let revision = parse_u64(&kv["mod_revision"]).ok_or_else(|| malformed("mod_revision"))?;
    Ok(KeyValue {
        key: key.into(),
        revision: Revision(revision),
        value: decode("value")?.into(),
    })
}
