//! Stand-in of the platform's store.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::{Json, base64, quoted};

const PAGE_ITEMS: usize = 500;
const TRANSACTION_ENTRIES_MAX: usize = 32;

#[derive(Clone)]
struct Item {
    /// In base64, as it was sent.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item as it was written.
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
}

impl Contents {
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
        self.events.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(&lease, _)| lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn grant(&mut self, ttl: Duration) -> u64 {
        self.last_lease += 1;
        self.leases
            .insert(self.last_lease, (ttl, Instant::now() + ttl));
        self.last_lease
    }
}

fn encode(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quoted(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    pub fn open() -> Self {
        Self {
            contents: Mutex::new(Contents {
                revision: 10,
                ..Contents::default()
            }),
            changed: Condvar::new(),
        }
    }

    /// Ends leases that are over; called by a timer.
    pub fn tick(&self) {
        self.contents.lock().unwrap().expire();
        self.changed.notify_all();
    }

    /// Writes a key as the operator or a worker does; without a lease if `ttl` is zero.
    pub fn write(&self, key: &str, value: &str, ttl: Duration) {
        let mut contents = self.contents.lock().unwrap();
        contents.expire();
        let lease = contents.items.get(key).map_or(0, |item| item.lease);
        let lease = match contents.leases.get_mut(&lease) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                lease
            }
            None if ttl.is_zero() => 0,
            None => contents.grant(ttl),
        };
        contents.revision += 1;
        contents.put(key, base64(value.as_bytes()), lease);
        drop(contents);
        self.changed.notify_all();
    }

    pub fn answer(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let number = |name: &str| request.query(name).parse::<u64>().unwrap_or(0);
        let (path, lease) = match request.path.rsplit_once('/') {
            Some((path @ ("/v1/kv-keep" | "/v1/kv-lease-end"), lease)) => {
                (path, lease.parse().unwrap_or(0))
            }
            _ => (request.path.as_str(), 0),
        };
        Some(match (request.method.as_str(), path) {
            ("GET", "/v1/kv-key") => self.read(request.query("key")),
            ("GET", "/v1/kv-range") => self.range(request.query("prefix"), request.query("after")),
            ("GET", "/v1/kv-watch") => {
                self.watch(request.query("prefix"), number("after"), number("waitMs"))
            }
            ("POST", "/v1/kv-txn") => self.transact(&body),
            ("POST", "/v1/kv-lease") => {
                let ttl_ms = body
                    .get("ttlMs")
                    .number()
                    .unwrap_or(0)
                    .clamp(1_000, 600_000);
                let mut contents = self.contents.lock().unwrap();
                let lease = contents.grant(Duration::from_millis(ttl_ms));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }
            ("POST", "/v1/kv-keep") => {
                let mut contents = self.contents.lock().unwrap();
                contents.expire();
                match contents.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", "/v1/kv-lease-end") => {
                self.contents.lock().unwrap().end_lease(lease);
                self.changed.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        })
    }

    fn read(&self, key: &str) -> (u16, String) {
        let mut contents = self.contents.lock().unwrap();
        contents.expire();
        match contents.items.get(key) {
            Some(item) => (200, encode(key, item)),
            None => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let mut contents = self.contents.lock().unwrap();
        contents.expire();
        let found = contents.items.iter();
        let mut found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let rows: Vec<String> = found
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, item)| encode(key, item))
            .collect();
        let has_more = found.next().is_some();
        let at = contents.revision;
        let rows = rows.join(",");
        (
            200,
            format!("{{\"items\":[{rows}],\"hasMore\":{has_more},\"at\":{at}}}"),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut contents = self.contents.lock().unwrap();
        loop {
            contents.expire();
            let first = contents
                .events
                .partition_point(|(revision, _, _)| *revision <= after);
            let events = contents.events[first..].iter();
            let rows: Vec<String> = events
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => encode(key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                        quoted(key)
                    ),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let at = contents.revision;
                let rows = rows.join(",");
                return (200, format!("{{\"events\":[{rows}],\"at\":{at}}}"));
            }
            contents = self.changed.wait_timeout(contents, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let conditions = body.get("expectedRevision").list();
        let puts = body.get("put").list();
        let removals = body.get("remove").list();
        if conditions.len() + puts.len() + removals.len() > TRANSACTION_ENTRIES_MAX {
            return (400, "{}".into());
        }
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        let mut written = puts.iter().map(|row| row.get("key").text());
        let mut removed = removals.iter().map(Json::text);
        if written.any(is_foreign) || removed.any(is_foreign) {
            return (403, "{}".into());
        }
        let mut contents = self.contents.lock().unwrap();
        contents.expire();
        let holds = conditions.iter().all(|row| {
            let item = contents.items.get(row.get("key").text());
            Some(item.map_or(0, |item| item.revision)) == row.get("revision").number()
        });
        if !holds {
            let mut items = Vec::new();
            for row in conditions {
                let key = row.get("key").text();
                if let Some(item) = contents.items.get(key) {
                    items.push(encode(key, item));
                }
            }
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease_of = |row: &Json| row.get("lease").number().unwrap_or(0);
        let has_lease = |lease| lease == 0 || contents.leases.contains_key(&lease);
        if !puts.iter().all(|row| has_lease(lease_of(row))) {
            return (404, "{}".into());
        }
        contents.revision += 1;
        for row in removals {
            contents.remove(row.text());
        }
        for row in puts {
            let value = row.get("value").text().to_owned();
            contents.put(row.get("key").text(), value, lease_of(row));
        }
        let revision = contents.revision;
        drop(contents);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}
