//! Stand-in of the platform's store.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::wire::{Json, Message, base64, num, object, read_message, text, unbase64, write_response};

const PAGE_ITEMS: usize = 500;
const ENTRIES_MAX: usize = 32;
const TTL_MIN_MS: u64 = 1_000;
const TTL_MAX_MS: u64 = 600_000;
const WAIT_MAX_MS: u64 = 30_000;
/// `platform.valueBytes` of the site.
const VALUE_BYTES: usize = 1_048_576;
/// Bytes of history that are kept; the store may discard it sooner than `historyS`.
const HISTORY_BYTES: usize = 64 << 20;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    revision: u64,
    key: String,
    /// `None` for a removal.
    item: Option<Item>,
}

/// A write whose answer is lost.
pub struct LostWrite {
    /// Part of a key that the write puts.
    pub key_part: String,
    /// Time after which it is carried out.
    pub delay: Duration,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: VecDeque<Event>,
    history_bytes: usize,
    /// Changes up to this revision are discarded.
    discarded: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    lost_writes: Vec<LostWrite>,
    /// What happened to lost writes.
    lost_log: Vec<String>,
    /// Writes that were refused, since a value was too large.
    refused_values: u64,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    contents: Arc<(Mutex<Contents>, Condvar)>,
    pub address: SocketAddr,
}

type Answer = (u16, Json);

fn encode(key: &str, item: &Item) -> Json {
    object([
        ("key", text(key)),
        ("value", text(base64(&item.value))),
        ("revision", num(item.revision)),
        ("created", num(item.created)),
        ("lease", num(item.lease)),
    ])
}

fn nothing() -> Json {
    Json::Object(Vec::new())
}

impl Contents {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.record(key, Some(item));
    }

    fn record(&mut self, key: &str, item: Option<Item>) {
        let bytes = |item: &Option<Item>| item.as_ref().map_or(0, |item| item.value.len());
        self.history_bytes += bytes(&item);
        self.events.push_back(Event { revision: self.revision, key: key.to_owned(), item });
        while self.history_bytes > HISTORY_BYTES {
            let Some(event) = self.events.pop_front() else { return };
            self.history_bytes -= bytes(&event.item);
            self.discarded = event.revision;
        }
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.record(key, None);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        self.revision += 1;
        for key in keys {
            self.remove(&key);
        }
    }

    fn transact(&mut self, body: &Json) -> Answer {
        let (conditions, puts, removals) =
            (body.list("expectedRevision"), body.list("put"), body.list("remove"));
        let is_too_large = puts.iter().any(|row| unbase64(row.text("value")).len() > VALUE_BYTES);
        self.refused_values += u64::from(is_too_large);
        if conditions.len() + puts.len() + removals.len() > ENTRIES_MAX || is_too_large {
            return (400, nothing());
        }
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        if conditions.iter().any(|row| revision_of(row.text("key")) != row.number("revision")) {
            let mut items = Vec::new();
            for row in conditions {
                let key = row.text("key");
                if let Some(item) = self.items.get(key) {
                    items.push(encode(key, item));
                }
            }
            return (412, object([("items", Json::List(items))]));
        }
        let has_lease = |lease| lease == 0 || self.leases.contains_key(&lease);
        if !puts.iter().all(|row| has_lease(row.number("lease"))) {
            return (404, nothing());
        }
        self.revision += 1;
        for row in removals {
            self.remove(row.as_text());
        }
        for row in puts {
            self.put(row.text("key"), unbase64(row.text("value")), row.number("lease"));
        }
        (200, object([("revision", num(self.revision))]))
    }
}

impl Store {
    pub fn open() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let contents = Contents { revision: 10, next_lease: 1, ..Contents::default() };
        let store = Store {
            contents: Arc::new((Mutex::new(contents), Condvar::new())),
            address: listener.local_addr().expect("the store's address"),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn expire(&self) {
        let mut contents = self.lock();
        let now = Instant::now();
        let ended = contents.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            contents.end_lease(lease);
        }
        drop(contents);
        self.contents.1.notify_all();
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &Json) {
        let mut contents = self.lock();
        contents.revision += 1;
        contents.put(key, value.encode().into_bytes(), 0);
        drop(contents);
        self.contents.1.notify_all();
    }

    /// The next write of a key that contains `key_part` gets no answer and is carried out later.
    pub fn lose_write(&self, lost: LostWrite) {
        self.lock().lost_writes.push(lost);
    }

    /// Writes that were refused so far, since a value was too large.
    pub fn refused_values(&self) -> u64 {
        self.lock().refused_values
    }

    /// What happened to lost writes so far.
    pub fn lost_log(&self) -> Vec<String> {
        self.lock().lost_log.clone()
    }

    fn serve(&self, mut stream: std::net::TcpStream) {
        let _best_effort = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
            if self.loses(&request) {
                // A connection on which a response is lost returns nothing further.
                let mut unread = [0; 1_024];
                while std::io::Read::read(&mut stream, &mut unread).is_ok_and(|count| count > 0) {}
                return;
            }
            let (status, body) = self.answer(&request);
            if write_response(&mut stream, status, &body.encode()).is_err() {
                return;
            }
        }
    }

    fn loses(&self, request: &Message) -> bool {
        if request.path() != "/v1/kv-txn" {
            return false;
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut contents = self.lock();
        let puts_key = |lost: &LostWrite| {
            let mut puts = body.list("put").iter();
            puts.any(|row| row.text("key").contains(&lost.key_part))
        };
        let Some(position) = contents.lost_writes.iter().position(puts_key) else {
            return false;
        };
        let lost = contents.lost_writes.remove(position);
        drop(contents);
        let store = self.clone();
        thread::spawn(move || {
            thread::sleep(lost.delay);
            let mut contents = store.lock();
            let (status, _) = contents.transact(&body);
            contents.lost_log.push(format!(
                "the write of {} that got no answer was carried out after {} ms: status {status}",
                lost.key_part,
                lost.delay.as_millis()
            ));
            drop(contents);
            store.contents.1.notify_all();
        });
        true
    }

    fn answer(&self, request: &Message) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let path = request.path();
        let number = |name: &str| request.query(name).parse::<u64>().unwrap_or(0);
        let last: u64 = path.rsplit('/').next().and_then(|part| part.parse().ok()).unwrap_or(0);
        match path {
            "/v1/kv-key" => {
                let contents = self.lock();
                let key = request.query("key");
                match contents.items.get(&key) {
                    Some(item) => (200, encode(&key, item)),
                    None => (404, nothing()),
                }
            }
            "/v1/kv-range" => {
                let contents = self.lock();
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let found = contents.items.iter();
                let found =
                    found.filter(|(key, _)| key.starts_with(&prefix) && key.as_str() > after.as_str());
                let mut rows: Vec<Json> =
                    found.take(PAGE_ITEMS + 1).map(|(key, item)| encode(key, item)).collect();
                let has_more = rows.len() > PAGE_ITEMS;
                rows.truncate(PAGE_ITEMS);
                let body = object([
                    ("items", Json::List(rows)),
                    ("hasMore", Json::Bool(has_more)),
                    ("at", num(contents.revision)),
                ]);
                (200, body)
            }
            "/v1/kv-watch" => {
                self.watch(&request.query("prefix"), number("after"), number("waitMs"))
            }
            "/v1/kv-txn" => {
                let answer = self.lock().transact(&body);
                self.contents.1.notify_all();
                answer
            }
            "/v1/kv-lease" => {
                let ttl_ms = body.number("ttlMs").clamp(TTL_MIN_MS, TTL_MAX_MS);
                let ttl = Duration::from_millis(ttl_ms);
                let mut contents = self.lock();
                let lease = contents.next_lease;
                contents.next_lease += 1;
                contents.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, object([("lease", num(lease)), ("ttlMs", num(ttl_ms))]))
            }
            _ if path.starts_with("/v1/kv-keep/") => {
                let mut contents = self.lock();
                match contents.leases.get_mut(&last) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, nothing())
                    }
                    None => (404, nothing()),
                }
            }
            _ if path.starts_with("/v1/kv-lease-end/") => {
                self.lock().end_lease(last);
                self.contents.1.notify_all();
                (200, nothing())
            }
            _ => (404, nothing()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Answer {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(WAIT_MAX_MS));
        let mut contents = self.lock();
        loop {
            if after < contents.discarded {
                return (410, nothing());
            }
            let first = contents.events.partition_point(|event| event.revision <= after);
            let mut rows = Vec::new();
            for event in contents.events.range(first..) {
                if !event.key.starts_with(prefix) {
                    continue;
                }
                rows.push(match &event.item {
                    Some(item) => encode(&event.key, item),
                    None => object([
                        ("key", text(&event.key)),
                        ("revision", num(event.revision)),
                        ("deleted", Json::Bool(true)),
                    ]),
                });
            }
            let now = Instant::now();
            if !rows.is_empty() || now >= end {
                let body = object([("events", Json::List(rows)), ("at", num(contents.revision))]);
                return (200, body);
            }
            let waited = self.contents.1.wait_timeout(contents, end - now);
            contents = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
