//! Follows what others write for a shard: accepted jobs, cancellations and the registrations of servers.

use std::rc::Rc;
use std::time::Duration;

use primrosestack_fleet::prelude::*;
use primrosestack_platform::catalog::{SERVERS_PREFIX, decode_server};
use primrosestack_platform::store::{Change, Item, StoreFailure};

use crate::daemon::clock::now_ms;
use crate::daemon::inbox::{self, Mail};
use crate::daemon::keys;
use crate::daemon::owner::{OwnedShard, entries};
use crate::logs::Line;

/// Wait of one watch in milliseconds; a connection that went silent is noticed soon after.
const WATCH_MS: u64 = 2_000;

/// Pause after a failed call in milliseconds.
const RETRY_MS: u64 = 200;

/// Pause between two watches of registrations in milliseconds, so that heartbeats share an answer.
const REGISTRATIONS_PAUSE_MS: u64 = 150;

impl OwnedShard {
    pub(super) async fn follow_inbox(self: Rc<Self>) {
        let prefix = keys::inbox(&self.failure_domain);
        let mut must_list = false;
        while !self.closed.get() {
            let result = if must_list {
                self.list_inbox(&prefix).await
            } else {
                self.watch_inbox(&prefix).await
            };
            must_list = match result {
                Ok(()) => false,
                Err(StoreFailure::Compacted) => true,
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                    true
                }
            };
        }
    }

    pub(super) async fn watch_inbox(self: &Rc<Self>, prefix: &str) -> Result<(), StoreFailure> {
        let result = self
            .node
            .store
            .watch(prefix, self.inbox_revision.get(), WATCH_MS)
            .await;
        self.node.note_store("watch_inbox", &result);
        let page = result?;
        self.inbox_revision
            .set(self.inbox_revision.get().max(page.revision));
        let written = |change| match change {
            Change::Written(item) => Some(item),
            Change::Removed { .. } => None,
        };
        let items: Vec<Item> = page.rows.into_iter().filter_map(written).collect();
        self.take_items(&items);
        Ok(())
    }

    pub(super) async fn list_inbox(self: &Rc<Self>, prefix: &str) -> Result<(), StoreFailure> {
        let result = self.node.store.list(prefix).await;
        self.node.note_store("list_inbox", &result);
        let page = result?;
        self.inbox_revision.set(page.revision);
        self.take_items(&page.rows);
        Ok(())
    }

    pub(super) fn take_items(self: &Rc<Self>, items: &[Item]) {
        match inbox::read(items, self.title.era) {
            Mail::Superseded { .. } => self.depose("superseded"),
            Mail::Jobs(jobs) => {
                for (id, stored) in jobs {
                    self.deliver(id, stored);
                }
            }
        }
    }

    pub(super) async fn follow_registrations(self: Rc<Self>) {
        let mut must_list = false;
        while !self.closed.get() {
            let result = if must_list {
                self.list_registrations().await
            } else {
                self.watch_registrations().await
            };
            must_list = match result {
                Ok(()) => false,
                Err(StoreFailure::Compacted) => true,
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                    true
                }
            };
            tokio::time::sleep(Duration::from_millis(REGISTRATIONS_PAUSE_MS)).await;
        }
    }

    pub(super) async fn watch_registrations(self: &Rc<Self>) -> Result<(), StoreFailure> {
        let result = self
            .node
            .store
            .watch(SERVERS_PREFIX, self.registrations_revision.get(), WATCH_MS)
            .await;
        self.node.note_store("watch_registrations", &result);
        let page = result?;
        self.registrations_revision
            .set(self.registrations_revision.get().max(page.revision));
        for change in &page.rows {
            match change {
                Change::Written(item) => {
                    let Some(entry) = decode_server(&item.key, &item.value) else {
                        continue;
                    };
                    if entry.failure_domain == self.failure_domain {
                        self.register(entry);
                    }
                }
                Change::Removed { key, .. } => {
                    self.shard
                        .borrow_mut()
                        .unregister_server(key.trim_start_matches(SERVERS_PREFIX));
                }
            }
        }
        Ok(())
    }

    pub(super) fn register(self: &Rc<Self>, entry: ServerEntry) {
        let known = self
            .shard
            .borrow()
            .find_server(&entry.name)
            .map(|server| server.entry.draining);
        if known != Some(entry.draining) {
            Line::info("server_registered")
                .with("server", &entry.name)
                .with("draining", entry.draining)
                .with("new", known.is_none())
                .write();
        }
        self.shard.borrow_mut().set_server(entry, now_ms());
    }

    pub(super) async fn list_registrations(self: &Rc<Self>) -> Result<(), StoreFailure> {
        let result = self.node.store.list(SERVERS_PREFIX).await;
        self.node.note_store("list_registrations", &result);
        let page = result?;
        self.registrations_revision.set(page.revision);
        self.shard
            .borrow_mut()
            .set_servers(entries(&page.rows, &self.failure_domain), now_ms());
        Ok(())
    }
}
