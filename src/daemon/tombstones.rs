//! Tombstones of jobs that were cancelled before they were accepted.
//!
//! A tombstone is written on condition that the job has no home, and takes the place of the home. Acceptances have the same
//! condition, so that one of the two fails, in whatever order the store carries them out. The inbox of a shard lists the
//! tombstone, so that the shard's owner removes it once no acceptance can come any more.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use primrosestack_fleet::admission::admits_tombstone;
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::Home;
use primrosestack_fleet::tombstones::{Tombstone, Tombstones};
use primrosestack_platform::store::{Item, StoreFailure, Transaction};
use prost::Message;

use crate::daemon::cancellation::Doubt;
use crate::daemon::clock::now_ms;
use crate::daemon::entry::{Reply, refuse};
use crate::daemon::keys::{self, InboxKey};
use crate::daemon::node::Node;
use crate::daemon::owner::OwnedShard;
use crate::logs::Line;

/// Name of the limit in log lines and metrics.
const LIMIT_NAME: &str = "tombstones_max";

const REMOVE_INTERVAL_MS: u64 = 1_000;

/// Tombstones that one transaction removes: each takes three of its 32 entries, and the term takes two.
const REMOVED_AT_ONCE_MAX: usize = 10;

/// Writes a tombstone for a job that has no home. Returns whether it is in the store; `false` if a limit keeps it from being
/// written.
pub(super) async fn write(
    node: &Node,
    id: JobId,
    queue: &str,
    doubt: &Doubt,
) -> Result<bool, StoreFailure> {
    let Some(wait_ms) = reserve_write(node, queue) else {
        node.metrics.record_caller_limit("callers", LIMIT_NAME);
        let line = Line::info("job_not_cancelled").with("job", id);
        let reason = "too many cancellations of unknown jobs";
        node.failure_lines
            .write(|| line.with("limit", LIMIT_NAME).with_reason(reason));
        return Ok(false);
    };
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    let failure_domain = &node.settings.failure_domain;
    let tombstone = Home {
        failure_domain: failure_domain.to_string(),
        tombstone: true,
    };
    let transaction = Transaction::default()
        .expect_revision(keys::home(id), 0)
        .put(keys::home(id), tombstone.encode_to_vec())
        .put(keys::tombstone(failure_domain, id), queue.into());
    let revision = doubt.commit(node, "write_tombstone", &transaction).await?;
    Line::info("tombstone_written")
        .with("job", id)
        .with("shard", failure_domain)
        .with("revision", revision)
        .write();
    Ok(true)
}

/// Time after which a tombstone may be written; `None` if the shard has too many, or too many others wait to be written.
fn reserve_write(node: &Node, queue: &str) -> Option<u64> {
    let domains = &node.settings.failure_domains;
    let own_index = domains.binary_search(&node.settings.failure_domain);
    let views = node.load_views.borrow();
    let open_tasks = views.view(own_index.unwrap_or_default()).open_tasks.known();
    if !admits_tombstone(open_tasks, queue) {
        return None;
    }
    let mut pace = node.tombstone_pace.get();
    let wait_ms = pace.reserve(now_ms());
    node.tombstone_pace.set(pace);
    wait_ms
}

/// Reply to a submission of a job that was cancelled before. It is not accepted while the tombstone exists.
pub(super) fn refuse_job(node: &Node, id: JobId) -> Reply {
    let line = Line::info("job_refused").with("job", id);
    let reason = "it was cancelled before it was accepted";
    node.failure_lines.write(|| line.with_reason(reason));
    // The owner needs some seconds more to remove the tombstone.
    let retry_after_s = node.bounds.retention_ms.div_ceil(1_000) + 10;
    refuse(StatusCode::SERVICE_UNAVAILABLE, retry_after_s)
}

/// Adds the tombstones among entries of an inbox.
pub(super) fn add_from_inbox(tombstones: &mut Tombstones, items: &[Item]) {
    for item in items {
        if let Some(InboxKey::Tombstone(id)) = keys::parse_inbox_key(&item.key) {
            let queue = String::from_utf8_lossy(&item.value);
            tombstones.add(id, item.revision, queue, now_ms());
        }
    }
}

/// Removes tombstones that are no longer needed, as long as the shard is open.
pub async fn run(owned: Rc<OwnedShard>) {
    while !owned.closed.get() {
        tokio::time::sleep(Duration::from_millis(REMOVE_INTERVAL_MS)).await;
        let age_ms = owned.node.bounds.retention_ms;
        let due = owned
            .tombstones
            .borrow()
            .due(REMOVED_AT_ONCE_MAX, age_ms, now_ms());
        if due.is_empty() {
            continue;
        }
        if let Err(failure) = remove(&owned, &due).await {
            // They are tried again.
            Line::info("tombstones_not_removed")
                .with("shard", &owned.failure_domain)
                .with("tombstones", due.len())
                .with_reason(failure)
                .write();
        }
    }
}

/// Removes tombstones, on condition that they are still in the place of the home: an earlier attempt without an answer may have
/// removed them, and the job may have been accepted since.
///
/// # Errors
///
/// Returns [`StoreFailure`] if the store did not confirm the removal.
pub async fn remove(owned: &OwnedShard, due: &[Tombstone]) -> Result<(), StoreFailure> {
    let mut replaced: Vec<Item> = Vec::new();
    loop {
        let mut transaction = Transaction::default();
        for tombstone in due {
            let home_key = keys::home(tombstone.id);
            transaction = transaction.remove(keys::tombstone(&owned.failure_domain, tombstone.id));
            if replaced.iter().all(|item| item.key != home_key) {
                transaction = transaction
                    .expect_revision(home_key.clone(), tombstone.revision)
                    .remove(home_key);
            }
        }
        let result = owned.write_in_term("remove_tombstones", &transaction).await;
        let items = match result {
            Ok(_) => {
                owned.tombstones.borrow_mut().forget(due);
                return Ok(());
            }
            Err(StoreFailure::Conflict { items }) if !owned.closed.get() => items,
            Err(failure) => return Err(failure),
        };
        let known = replaced.len();
        for item in items {
            let is_replaced = due.iter().any(|tombstone| {
                keys::home(tombstone.id) == item.key && item.revision != tombstone.revision
            });
            if is_replaced && replaced.iter().all(|known| known.key != item.key) {
                replaced.push(item);
            }
        }
        if replaced.len() == known {
            return Err(StoreFailure::Conflict { items: replaced });
        }
    }
}
