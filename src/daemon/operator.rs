//! Watches the operator's configuration and requests to evacuate failure domains.

use std::rc::Rc;
use std::time::Duration;

use primrosestack_fleet::copy_age::{self, CopyAge};
use primrosestack_fleet::evacuation::Evacuations;
use primrosestack_fleet::prelude::*;
use primrosestack_platform::catalog::{
    self, CONFIGURATION_KEY, EVACUATIONS_PREFIX, OPERATOR_PREFIX,
};
use primrosestack_platform::store::{Change, Item, StoreFailure};
use smol_str::SmolStr;

use crate::daemon::clock::now_ms;
use crate::daemon::evacuation::requested_domain;
use crate::daemon::node::Node;
use crate::daemon::owner::OwnedShard;
use crate::logs::Line;

/// Bounds the time until a dead connection is noticed.
const WATCH_WAIT_MAX_MS: u64 = 1_000;

/// Short compared with the 2 s within which a configuration must be in force.
const RETRY_DELAY_MS: u64 = 200;

/// Lists the operator's keys and watches them until the daemon stops.
pub async fn follow(node: Rc<Node>) {
    let mut revision = None;
    loop {
        let result = match revision {
            None => list(&node).await,
            Some(after) => watch(&node, after).await,
        };
        match result {
            Ok(next) => revision = Some(next),
            Err(StoreFailure::Compacted) => revision = None,
            Err(failure) => {
                node.configuration_lines.write(|| {
                    let line = Line::info("configuration_not_read").with_reason(&failure);
                    with_age(line.with("listed", revision.is_none()), &node)
                });
                revision = None;
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}

async fn list(node: &Node) -> Result<u64, StoreFailure> {
    let sent_ms = now_ms();
    let result = node.store.list(OPERATOR_PREFIX).await;
    node.record_page("list_configuration", &result);
    let page = result?;
    let requests: Vec<(SmolStr, u64)> = page
        .rows
        .iter()
        .filter_map(|item| Some((find_domain(node, &item.key)?, item.revision)))
        .collect();
    // An owner may not start anything by the configuration before it knows the requests.
    update(node, page.revision, sent_ms, |evacuations| {
        evacuations.replace(requests, page.revision, sent_ms);
    });
    let configuration = page.rows.iter().find(|item| item.key == CONFIGURATION_KEY);
    if let Some(item) = configuration {
        apply(node, item, sent_ms);
        node.confirm_configuration(sent_ms);
    }
    Ok(page.revision)
}

async fn watch(node: &Node, after: u64) -> Result<u64, StoreFailure> {
    let sent_ms = now_ms();
    let result = node
        .store
        .watch(OPERATOR_PREFIX, after, watch_wait_ms(node))
        .await;
    node.record_page("watch_configuration", &result);
    let page = result?;
    for change in &page.rows {
        match change {
            Change::Written(item) if item.key == CONFIGURATION_KEY => apply(node, item, sent_ms),
            Change::Written(item) => {
                if let Some(domain) = find_domain(node, &item.key) {
                    update(node, item.revision, sent_ms, |evacuations| {
                        evacuations.request(&domain, item.revision);
                    });
                }
            }
            Change::Removed { key, revision } => {
                node.odd_entries.forget(key);
                if let Ok(domain) = requested_domain(key, &node.settings.failure_domains) {
                    update(node, *revision, sent_ms, |evacuations| {
                        evacuations.take_back(domain, *revision);
                    });
                }
            }
        }
    }
    update(node, page.revision, sent_ms, |evacuations| {
        evacuations.confirm(sent_ms);
    });
    if node.configuration.borrow().is_some() {
        node.confirm_configuration(sent_ms);
    }
    Ok(page.revision.max(after))
}

/// Wait of a watch. It confirms the configuration in time, and several fit into the time for which an owner may use what it
/// knows of the evacuations.
fn watch_wait_ms(node: &Node) -> u64 {
    let bound_ms = node.settings.configuration_bound_ms();
    let wait_ms = WATCH_WAIT_MAX_MS.min(copy_age::watch_wait_ms(bound_ms));
    let bound_ms = node.bounds.evacuation_ms;
    bound_ms.map_or(wait_ms, |bound_ms| wait_ms.min(bound_ms / 4))
}

/// Failure domain that a key requests to evacuate; reports a request that has no effect.
fn find_domain(node: &Node, key: &SmolStr) -> Option<SmolStr> {
    if !key.starts_with(EVACUATIONS_PREFIX) {
        return None;
    }
    let error = match requested_domain(key, &node.settings.failure_domains) {
        Ok(domain) => return Some(domain.clone()),
        Err(error) => error,
    };
    if let Some(unwritten) = node.odd_entries.admit(key, now_ms()) {
        Line::warn("evacuation_unknown_domain")
            .with("key", key)
            .with("unwritten", unwritten)
            .with_reason(error)
            .write();
    }
    None
}

/// Changes what this host knows of the evacuations as of a revision, logs the difference and applies it to the owned shards.
fn update(node: &Node, revision: u64, sent_ms: u64, change: impl FnOnce(&mut Evacuations)) {
    let domains = &node.settings.failure_domains;
    let since_revisions = || -> Vec<Option<u64>> {
        let evacuations = node.evacuations.borrow();
        let domains = domains.iter();
        domains
            .map(|domain| evacuations.since_revision(domain))
            .collect()
    };
    let before = since_revisions();
    change(&mut node.evacuations.borrow_mut());
    let after = since_revisions();
    for (domain, (&before, &after)) in domains.iter().zip(before.iter().zip(&after)) {
        let (event, revision) = match (before, after) {
            (_, Some(requested)) if before != after => ("evacuation_requested", requested),
            (Some(_), None) => ("evacuation_ended", revision),
            _ => continue,
        };
        Line::info(event)
            .with("failure_domain", domain)
            .with("revision", revision)
            .with("age_ms", now_ms().saturating_sub(sent_ms))
            .write();
    }
    node.metrics
        .set_evacuated_domains(after.iter().flatten().count());
    for owned in node.owned_shards.borrow().iter() {
        owned.update_evacuation();
    }
}

/// Adds how long ago the configuration was last known to be the newest.
pub(super) fn with_age(line: Line, node: &Node) -> Line {
    match node.configuration_age.get().age_ms(now_ms()) {
        Some(age_ms) => line.with("age_ms", age_ms),
        None => line.with("age_ms", "unknown"),
    }
}

fn apply(node: &Node, item: &Item, sent_ms: u64) {
    let Some(configuration) = catalog::decode_configuration(&item.value) else {
        Line::error("configuration_unreadable")
            .with("revision", item.revision)
            .write();
        node.update_configuration_age(CopyAge::supersede);
        return;
    };
    node.update_configuration_age(CopyAge::replace);
    let current = node
        .configuration
        .borrow()
        .as_ref()
        .map_or(0, |current| current.version);
    if configuration.version <= current {
        return;
    }
    let line = Line::info("configuration_in_force")
        .with("version", configuration.version)
        .with("before", current)
        .with("revision", item.revision)
        .with("routes", configuration.routes.len())
        .with("call_age_ms", now_ms().saturating_sub(sent_ms));
    with_age(line, node).write();
    node.metrics
        .set_configuration_version(configuration.version);
    let configuration = Rc::new(configuration);
    *node.configuration.borrow_mut() = Some(Rc::clone(&configuration));
    for owned in node.owned_shards.borrow().iter() {
        owned.set_queues(&configuration);
    }
}

/// Tells a shard what this host knows of the evacuation of its failure domain.
pub(super) fn update_shard(node: &Node, failure_domain: &str, shard: &mut Shard) {
    let evacuations = node.evacuations.borrow();
    let Some(as_of_ms) = evacuations.as_of_ms() else {
        return;
    };
    let evacuation = evacuations.evacuation(failure_domain);
    shard.set_evacuation(evacuation, as_of_ms, now_ms());
}

impl OwnedShard {
    /// Whether the failure domain of the shard is evacuated, as far as this host knows.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.node.is_evacuated(&self.failure_domain)
    }

    /// Applies what this host has learned of the evacuation of the failure domain. The shard plans with its next tick, in a
    /// task of its own.
    fn update_evacuation(&self) {
        let mut shard = self.shard.borrow_mut();
        let was_evacuated = shard.is_evacuated();
        update_shard(&self.node, &self.failure_domain, &mut shard);
        if shard.is_evacuated() != was_evacuated {
            // The load was computed by what was known before.
            self.load_report.replace(None);
        }
    }
}
