//! A daemon's state with an empty store, and a shard that it owns in term 4.

#![allow(dead_code)]

use std::rc::Rc;

use primrosestack::daemon::clock::now_ms;
use primrosestack::daemon::node::Node;
use primrosestack::daemon::owner::{Leadership, OwnedShard};
use primrosestack::daemon::settings::DaemonSettings;
use primrosestack::metrics::Metrics;
use primrosestack_fleet::handover::Handover;
use primrosestack_platform::http::HttpClient;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LOOPBACK: &str = "127.0.0.1:0";

pub const LEADERSHIP: Leadership = Leadership {
    term: 4,
    start_revision: 9,
};

/// Opens the shard `poa` with an empty store and makes the node its owner.
pub async fn owned_shard() -> (Rc<Node>, Rc<OwnedShard>) {
    let store = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = store.local_addr().unwrap().to_string();
    tokio::task::spawn_local(serve_store(store));
    owned_shard_at(&address).await
}

/// Opens the shard `poa` with the store at an address and makes the node its owner.
pub async fn owned_shard_at(store_address: &str) -> (Rc<Node>, Rc<OwnedShard>) {
    let node = node(store_address);
    let owned = open_shard(&node).await;
    (node, owned)
}

/// Opens the shard `poa` and makes the node its owner.
pub async fn open_shard(node: &Rc<Node>) -> Rc<OwnedShard> {
    let owned = OwnedShard::open(node, "poa".into(), LEADERSHIP, Vec::new(), 1, now_ms());
    let owned = owned.await.unwrap();
    node.owned_shards.borrow_mut().push(Rc::clone(&owned));
    owned
}

/// What a successor in the next term gets.
pub fn handover(node: &Node) -> Option<Handover> {
    node.yield_shard("poa", LEADERSHIP.term + 1, LEADERSHIP.term)
}

pub fn node(store_address: &str) -> Rc<Node> {
    node_with_retention(store_address, 60)
}

pub fn node_with_retention(store_address: &str, retention_s: u64) -> Rc<Node> {
    let settings: DaemonSettings = serde_json::from_value(json!({
        "name": "entry-1",
        "failure_domain": "poa",
        "failure_domains": ["cxs", "poa"],
        "callers_address": LOOPBACK,
        "ready_address": LOOPBACK,
        "peer_address": LOOPBACK,
        "metrics_address": LOOPBACK,
        "store_address": store_address,
        "control_mode": "invocation",
        "lease_max_ms": 30_000,
        "task_stop_ms": 1_000,
        "retention_s": retention_s,
        "heartbeat_ms": 500,
        "stop_s": 10,
    }))
    .unwrap();
    let metrics = Metrics::open().unwrap();
    Rc::new(Node::open(settings, HttpClient::open(), metrics))
}

/// Answers the reads of an empty store, and no writes.
pub async fn serve_store(listener: TcpListener) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 2_048];
        let read = stream.read(&mut request).await.unwrap();
        let (status, body) = match &request[..read] {
            [b'P', ..] => ("503 Service Unavailable", ""),
            list if list.windows(7).any(|part| part == b"prefix=") => {
                ("200 OK", r#"{"items":[],"at":9}"#)
            }
            _ => ("404 Not Found", ""),
        };
        let length = body.len();
        let reply = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        stream.write_all(reply.as_bytes()).await.unwrap();
    }
}
