//! A store with conditional transactions, whose answers may get lost, and watches.

#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use primrosestack::daemon::clock::now_ms;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Items of the store with the revisions of their last change, by key.
#[derive(Default)]
pub struct Contents {
    pub revision: u64,
    pub items: BTreeMap<String, (Vec<u8>, u64)>,
    /// Number of transactions that are carried out without an answer.
    pub answers_lost: u32,
    /// Part of a key: transactions with it are neither answered nor carried out before [`Contents::carry_out_delayed`].
    pub delayed_key: Option<&'static str>,
    /// Such transactions.
    pub delayed: Vec<Value>,
    /// Number of transactions that were carried out.
    pub commits: u32,
    /// Changes with their revisions, oldest first, as far as watches can still get them.
    pub changes: Vec<(u64, Value)>,
    /// Revision from which watches get all changes.
    pub compacted_revision: u64,
    /// Number of reads, lists and watches that are refused.
    pub refusals: u32,
    /// Paths of the reads and lists that were answered.
    pub reads: Vec<String>,
    /// When the last watch that was answered arrived.
    pub watch_arrived_ms: u64,
    /// Number of lists that were requested.
    pub lists: u32,
}

/// Wait of a watch without any change.
const WATCH_WAIT: Duration = Duration::from_millis(20);

impl Contents {
    pub fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        self.items.insert(key.to_owned(), (value, self.revision));
        self.changes.push((self.revision, self.item(key)));
    }

    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.items.remove(key);
        let change = json!({"key": key, "deleted": true, "revision": self.revision});
        self.changes.push((self.revision, change));
    }

    /// Forgets the changes so far.
    pub fn compact(&mut self) {
        self.changes.clear();
        self.compacted_revision = self.revision;
    }

    fn watch(&self, prefix: &str, after: u64) -> (u16, Value) {
        if after < self.compacted_revision {
            return (410, json!({}));
        }
        let later = self.changes.iter().filter(|(revision, change)| {
            let key = change["key"].as_str().expect("a key");
            *revision > after && key.starts_with(prefix)
        });
        let events: Vec<Value> = later.map(|(_, change)| change.clone()).collect();
        (200, json!({"events": events, "at": self.revision}))
    }

    fn item(&self, key: &str) -> Value {
        let (value, revision) = self.items.get(key).cloned().unwrap_or_default();
        let value = BASE64.encode(value);
        json!({"key": key, "value": value, "revision": revision, "created": revision})
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        // Of the rows of a transaction, only its conditions have a revision.
        let lists = body.as_object().expect("a transaction").values();
        let rows = lists.filter_map(Value::as_array).flatten();
        let conditions: Vec<&Value> = rows.filter(|row| row["revision"].is_u64()).collect();
        let keys = conditions
            .iter()
            .map(|row| row["key"].as_str().expect("a key"));
        let current: Vec<Value> = keys.map(|key| self.item(key)).collect();
        let mut pairs = conditions.iter().zip(&current);
        if pairs.any(|(row, item)| row["revision"] != item["revision"]) {
            return (412, json!({"items": current}));
        }
        self.revision += 1;
        self.commits += 1;
        for row in body["put"].as_array().expect("puts") {
            let value = BASE64.decode(row["value"].as_str().expect("a value"));
            let key = row["key"].as_str().expect("a key").to_owned();
            self.items
                .insert(key, (value.expect("base64"), self.revision));
        }
        for key in body["remove"].as_array().expect("removals") {
            self.items.remove(key.as_str().expect("a key"));
        }
        (200, json!({"revision": self.revision}))
    }

    /// Carries out the transactions that were delayed. Returns the statuses, which nobody gets.
    pub fn carry_out_delayed(&mut self) -> Vec<u16> {
        let delayed = std::mem::take(&mut self.delayed);
        delayed.iter().map(|body| self.commit(body).0).collect()
    }

    /// Status and body of the answer to a request; `None` for none.
    fn answer(&mut self, head: &str, body: &[u8]) -> Option<(u16, Value)> {
        if head.starts_with("POST") {
            let body: Value = serde_json::from_slice(body).expect("a transaction");
            let is_delayed = |part| body.to_string().contains(part);
            if self.delayed_key.is_some_and(is_delayed) {
                self.delayed.push(body);
                return None;
            }
            let answer = self.commit(&body);
            if self.answers_lost > 0 {
                self.answers_lost -= 1;
                return None;
            }
            return Some(answer);
        }
        let path = head.split(' ').nth(1).expect("a path").replace("%2F", "/");
        if self.refusals > 0 {
            self.refusals -= 1;
            return Some((503, json!({})));
        }
        let prefix = path.split_once("prefix=");
        let prefix = prefix.and_then(|(_, rest)| rest.split('&').next());
        if let (Some(prefix), Some((_, after))) = (prefix, path.split_once("&after=")) {
            let after = after.split('&').next().expect("a revision");
            return Some(self.watch(prefix, after.parse().expect("a revision")));
        }
        self.reads.push(path.clone());
        if let Some(prefix) = prefix {
            self.lists += 1;
            let keys = self.items.keys().filter(|key| key.starts_with(prefix));
            let items: Vec<Value> = keys.map(|key| self.item(key)).collect();
            return Some((200, json!({"items": items, "at": self.revision})));
        }
        let key = path.split_once("key=").expect("a key").1;
        let is_there = self.items.contains_key(key);
        Some((if is_there { 200 } else { 404 }, self.item(key)))
    }
}

async fn read_request(stream: &mut TcpStream) -> (String, Vec<u8>) {
    let mut bytes = Vec::new();
    loop {
        let mut part = [0; 4_096];
        let read = stream.read(&mut part).await.expect("a request");
        bytes.extend_from_slice(&part[..read]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let lower = head.to_lowercase();
        let length = lower.split("content-length: ").nth(1);
        let length = length.and_then(|rest| rest.lines().next()?.trim().parse().ok());
        if body.len() >= length.unwrap_or(0) {
            return (head.to_owned(), body.as_bytes().to_vec());
        }
    }
}

pub async fn serve_store(listener: TcpListener, contents: Rc<RefCell<Contents>>) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let (head, body) = read_request(&mut stream).await;
        if head.contains("waitMs=") {
            let arrived_ms = now_ms();
            tokio::time::sleep(WATCH_WAIT).await;
            contents.borrow_mut().watch_arrived_ms = arrived_ms;
        }
        let answer = contents.borrow_mut().answer(&head, &body);
        let Some((status, body)) = answer else {
            continue;
        };
        let body = body.to_string();
        let length = body.len();
        let reply = format!(
            "HTTP/1.1 {status} status\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        // The client may have given up.
        let _closed = stream.write_all(reply.as_bytes()).await;
    }
}
