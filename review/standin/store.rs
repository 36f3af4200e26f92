//! The platform's key-value store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{Json, quote};

const PAGE_ITEMS: usize = 500;
const MIN_TTL_MS: u64 = 1_000;
const MAX_TTL_MS: u64 = 600_000;

#[derive(Clone)]
struct Item {
    /// Base64 text.
    value: String,
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

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (u64, Instant)>,
    next_lease: u64,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn open() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(State {
                revision: 10,
                next_lease: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&store);
        http::serve(
            listener,
            Arc::new(move |request| Some(served.answer(request))),
        );
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire_leases();
            }
        });
        store
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, encode_base64(value.as_bytes()), 0);
        drop(state);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.changed.notify_all();
    }

    /// Decoded value of the key that ends with `suffix`.
    pub fn value_of(&self, suffix: &str) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let found = state.items.iter().find(|(key, _)| key.ends_with(suffix));
        found.map_or_else(Vec::new, |(_, item)| decode_base64(&item.value))
    }

    fn expire_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(&lease, _)| lease)
            .collect();
        if ended.is_empty() {
            return;
        }
        for lease in ended {
            state.end_lease(lease);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, id) = match request.path.strip_prefix("/v1/kv-keep/") {
            Some(id) => ("/v1/kv-keep/", id),
            None => match request.path.strip_prefix("/v1/kv-lease-end/") {
                Some(id) => ("/v1/kv-lease-end/", id),
                None => (request.path.as_str(), ""),
            },
        };
        let lease: u64 = id.parse().unwrap_or(0);
        match (request.method.as_str(), path) {
            ("GET", "/v1/kv-key") => self.read(request.parameter("key")),
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.transact(&request.body),
            ("POST", "/v1/kv-lease") => self.grant(&request.body),
            ("POST", "/v1/kv-keep/") => self.keep(lease),
            ("DELETE", "/v1/kv-lease-end/") => {
                self.state.lock().unwrap().end_lease(lease);
                self.changed.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn read(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => (200, encode_item(key, item)),
            None => (404, "{}".into()),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
        let found = state.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let rows: Vec<String> = found
            .take(PAGE_ITEMS + 1)
            .map(|(key, item)| encode_item(key, item))
            .collect();
        let has_more = rows.len() > PAGE_ITEMS;
        let rows = &rows[..rows.len().min(PAGE_ITEMS)];
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":{has_more},\"at\":{}}}",
            rows.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.parameter("prefix");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let rows: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .map(|event| match &event.item {
                    Some(item) => encode_item(&event.key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                        quote(&event.key),
                        event.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !rows.is_empty() || now >= end {
                let events = rows.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"at\":{}}}", state.revision),
                );
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let conditions = body.get("expectedRevision").list();
        let (puts, removals) = (body.get("put").list(), body.get("remove").list());
        if conditions.len() + puts.len() + removals.len() > 32 {
            return (400, "{}".into());
        }
        let mut state = self.state.lock().unwrap();
        let holds = conditions.iter().all(|row| {
            let revision = state
                .items
                .get(row.get("key").text())
                .map_or(0, |item| item.revision);
            Some(revision) == row.get("revision").number()
        });
        if !holds {
            let items: Vec<String> = conditions
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    state.items.get(key).map(|item| encode_item(key, item))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease_of = |row: &Json| row.get("lease").number().unwrap_or(0);
        if puts
            .iter()
            .any(|row| lease_of(row) != 0 && !state.leases.contains_key(&lease_of(row)))
        {
            return (404, "{}".into());
        }
        state.revision += 1;
        for row in removals {
            state.remove(row.text());
        }
        for row in puts {
            state.put(
                row.get("key").text(),
                row.get("value").text().to_owned(),
                lease_of(row),
            );
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, body: &str) -> (u16, String) {
        let asked = Json::parse(body)
            .and_then(|body| body.get("ttlMs").number())
            .unwrap_or(0);
        let ttl_ms = asked.clamp(MIN_TTL_MS, MAX_TTL_MS);
        let mut state = self.state.lock().unwrap();
        let lease = state.next_lease;
        state.next_lease += 1;
        state.leases.insert(
            lease,
            (ttl_ms, Instant::now() + Duration::from_millis(ttl_ms)),
        );
        (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
    }

    fn keep(&self, lease: u64) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let Some((ttl_ms, end)) = state.leases.get_mut(&lease) else {
            return (404, "{}".into());
        };
        *end = Instant::now() + Duration::from_millis(*ttl_ms);
        (200, format!("{{\"ttlMs\":{ttl_ms}}}"))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            revision,
            key: key.to_owned(),
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event {
                revision: self.revision,
                key: key.to_owned(),
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        self.revision += 1;
        for key in keys {
            self.remove(&key);
        }
    }
}

fn encode_item(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0;
        for position in 0..3 {
            group = group << 8 | u32::from(chunk.get(position).copied().unwrap_or(0));
        }
        for position in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * position) & 63) as usize];
            out.push(if position <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    out
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut group, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|&existing| existing == byte) else {
            continue;
        };
        group = group << 6 | u32::try_from(digit).unwrap_or(0);
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((group >> bits & 255) as u8);
        }
    }
    out
}
