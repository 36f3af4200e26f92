//! Watches the operator's configuration.

use std::rc::Rc;
use std::time::Duration;

use primrosestack_platform::catalog::{self, CONFIGURATION_KEY, OPERATOR_PREFIX};
use primrosestack_platform::store::{Change, Item, StoreFailure};

use crate::daemon::node::Node;
use crate::logs::Line;

/// Bounds the time until a dead connection is noticed, so that a missed configuration is still in force within the 2 s
/// that deployments allow.
const WATCH_WAIT_MS: u64 = 1_000;

/// Short compared with the 2 s within which a configuration must be in force.
const RETRY_DELAY_MS: u64 = 200;

/// Reads the configuration and watches it until the daemon stops.
pub async fn follow(node: Rc<Node>) {
    let mut revision = None;
    loop {
        let result = match revision {
            None => read(&node).await,
            Some(after) => watch(&node, after).await,
        };
        match result {
            Ok(next) => revision = Some(next),
            Err(StoreFailure::Compacted) => revision = None,
            Err(failure) => {
                Line::debug("configuration_not_read")
                    .with_reason(&failure)
                    .write();
                revision = None;
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}

async fn read(node: &Node) -> Result<u64, StoreFailure> {
    let result = node.store.read(CONFIGURATION_KEY).await;
    node.record_store_call("read_configuration", &result);
    let Some(item) = result? else {
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        return Err(StoreFailure::Unavailable { status: 404 });
    };
    let revision = item.revision;
    apply(node, &item);
    Ok(revision)
}

async fn watch(node: &Node, after: u64) -> Result<u64, StoreFailure> {
    let result = node
        .store
        .watch(OPERATOR_PREFIX, after, WATCH_WAIT_MS)
        .await;
    node.record_page("watch_configuration", &result);
    let page = result?;
    for change in &page.rows {
        let Change::Written(item) = change else {
            continue;
        };
        if item.key == CONFIGURATION_KEY {
            apply(node, item);
        }
    }
    Ok(page.revision.max(after))
}

fn apply(node: &Node, item: &Item) {
    let Some(configuration) = catalog::decode_configuration(&item.value) else {
        Line::error("configuration_unreadable")
            .with("revision", item.revision)
            .write();
        return;
    };
    let current = node
        .configuration
        .borrow()
        .as_ref()
        .map_or(0, |current| current.version);
    if configuration.version <= current {
        return;
    }
    Line::info("configuration_in_force")
        .with("version", configuration.version)
        .with("before", current)
        .with("revision", item.revision)
        .with("routes", configuration.routes.len())
        .write();
    let configuration = Rc::new(configuration);
    *node.configuration.borrow_mut() = Some(Rc::clone(&configuration));
    for owned in node.owned_shards.borrow().iter() {
        owned.set_queues(&configuration);
    }
}
