//! Watches the store for entries of an owned shard: its inbox, and the registrations of its servers.

use std::rc::Rc;
use std::time::Duration;

use primrosestack_fleet::prelude::*;
use primrosestack_platform::catalog::{SERVERS_PREFIX, server_name};
use primrosestack_platform::store::{Change, Item, StoreFailure};

use crate::daemon::clock::now_ms;
use crate::daemon::inbox::{self, InboxReader, InboxUpdate};
use crate::daemon::keys;
use crate::daemon::owner::OwnedShard;
use crate::daemon::tombstones;
use crate::logs::Line;

/// Bounds the time until a dead connection is noticed.
const WATCH_WAIT_MS: u64 = 2_000;

const RETRY_DELAY_MS: u64 = 200;

/// Servers renew their registrations all the time, so a watch without any change for this long is probably dead.
const REGISTRATIONS_WATCH_WAIT_MS: u64 = 600;

/// Delay between two watches, so that one response carries several heartbeats.
const REGISTRATIONS_WATCH_GAP_MS: u64 = 150;

impl OwnedShard {
    pub(super) async fn follow_inbox(self: Rc<Self>) {
        let prefix = keys::inbox_prefix(&self.failure_domain);
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
                    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                    true
                }
            };
        }
    }

    pub(super) async fn watch_inbox(self: &Rc<Self>, prefix: &str) -> Result<(), StoreFailure> {
        let result = self
            .node
            .store
            .watch(prefix, self.inbox_revision.get(), WATCH_WAIT_MS)
            .await;
        self.node.record_page("watch_inbox", &result);
        let page = result?;
        self.inbox_revision
            .set(self.inbox_revision.get().max(page.revision));
        let written = |change| match change {
            Change::Written(item) => Some(item),
            Change::Removed { .. } => None,
        };
        let items: Vec<Item> = page.rows.into_iter().filter_map(written).collect();
        tombstones::add_from_inbox(&mut self.tombstones.borrow_mut(), &items);
        let update = inbox::decode_update(&items, self.leadership.term);
        drop(items);
        self.apply(update);
        Ok(())
    }

    pub(super) async fn list_inbox(self: &Rc<Self>, prefix: &str) -> Result<(), StoreFailure> {
        let mut reader = InboxReader::open(self.leadership.term);
        let pages = self.node.store.list_pages(prefix, |rows| {
            tombstones::add_from_inbox(&mut self.tombstones.borrow_mut(), &rows);
            reader.add(&rows);
        });
        let result = pages.await;
        self.node.record_page("list_inbox", &result);
        self.inbox_revision.set(result?.revision);
        self.apply(reader.finish());
        Ok(())
    }

    fn apply(self: &Rc<Self>, update: InboxUpdate) {
        match update {
            InboxUpdate::Superseded { .. } => self.step_down("superseded"),
            InboxUpdate::Jobs(jobs) => {
                for (id, stored) in jobs {
                    self.receive_job(id, stored);
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
                    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                    true
                }
            };
            tokio::time::sleep(Duration::from_millis(REGISTRATIONS_WATCH_GAP_MS)).await;
        }
    }

    pub(super) async fn watch_registrations(self: &Rc<Self>) -> Result<(), StoreFailure> {
        let sent_ms = now_ms();
        let result = self
            .node
            .store
            .watch(
                SERVERS_PREFIX,
                self.registrations_revision.get(),
                REGISTRATIONS_WATCH_WAIT_MS,
            )
            .await;
        self.node.record_page("watch_registrations", &result);
        let page = result?;
        self.registrations_revision
            .set(self.registrations_revision.get().max(page.revision));
        for change in &page.rows {
            match change {
                Change::Written(item) => self.apply_entry(item),
                Change::Removed { key, .. } => {
                    self.node.odd_entries.forget(key);
                    self.unregister(key);
                }
            }
        }
        self.shard.borrow_mut().registrations_complete(sent_ms);
        Ok(())
    }

    /// Applies an entry of the registrations. One that names no server of this failure domain also replaces an earlier
    /// one that did.
    fn apply_entry(self: &Rc<Self>, item: &Item) {
        match self.node.odd_entries.decode_server(item, now_ms()) {
            Some(entry) if entry.failure_domain == self.failure_domain => {
                self.apply_registration(entry);
            }
            _ => self.unregister(&item.key),
        }
    }

    fn unregister(&self, key: &str) {
        if let Some(name) = server_name(key) {
            self.shard.borrow_mut().unregister_server(name);
        }
    }

    pub(super) fn apply_registration(self: &Rc<Self>, entry: ServerEntry) {
        let previous_draining = self
            .shard
            .borrow()
            .find_server(&entry.name)
            .map(|server| server.entry.draining);
        if previous_draining != Some(entry.draining) {
            let mut line = Line::info("server_registered")
                .with("server", &entry.name)
                .with("draining", entry.draining)
                .with("new", previous_draining.is_none());
            if let Some(leaves_in_ms) = entry.leaves_in_ms {
                line = line.with("leaves_in_ms", leaves_in_ms);
            }
            line.write();
        }
        self.shard.borrow_mut().set_server(entry, now_ms());
    }

    pub(super) async fn list_registrations(self: &Rc<Self>) -> Result<(), StoreFailure> {
        let sent_ms = now_ms();
        let result = self.node.store.list(SERVERS_PREFIX).await;
        self.node.record_page("list_registrations", &result);
        let page = result?;
        self.registrations_revision.set(page.revision);
        let mut shard = self.shard.borrow_mut();
        shard.set_servers(
            self.node
                .decode_registrations(&page.rows, &self.failure_domain),
            now_ms(),
        );
        shard.registrations_complete(sent_ms);
        Ok(())
    }
}
