//! Leader election: watches the owners' announcements and takes over shards without an owner.

use std::rc::Rc;
use std::time::Duration;

use primrosestack_fleet::claim::{self, Vacancy};
use primrosestack_fleet::handover::Handover;
use primrosestack_fleet::record::{self, Owner, Term};
use primrosestack_platform::store::{Change, Item, StoreFailure, Transaction};
use prost::Message;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::daemon::clock::now_ms;
use crate::daemon::inbox::decode_or_log;
use crate::daemon::keys;
use crate::daemon::node::{Node, OwnerView};
use crate::daemon::owner::{self, Leadership, OwnedShard};
use crate::daemon::services::spawn_for_shard;
use crate::logs::Line;

/// Bounds the time until a dead connection is noticed.
const WATCH_WAIT_MS: u64 = 2_000;

const RETRY_DELAY_MS: u64 = 250;

const VACANCY_CHECK_INTERVAL_MS: u64 = 50;

/// Three renewal intervals.
pub const ANNOUNCEMENT_TTL_MS: u64 = 2_100;

/// Number of ranks over which hosts are spread, so that they do not all try to take over a shard at once.
const RANKS: u64 = 3;

/// Watches the owners' announcements until the daemon stops.
pub async fn follow(node: Rc<Node>) {
    let mut revision = None;
    loop {
        let result = match revision {
            None => list(&node).await,
            Some(after) => watch(&node, after).await,
        };
        match result {
            Ok(next) => revision = Some(next),
            Err(failure) => {
                Line::debug("owners_not_read").with_reason(&failure).write();
                revision = None;
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}

async fn list(node: &Node) -> Result<u64, StoreFailure> {
    let result = node.store.list(keys::OWNERS_PREFIX).await;
    node.record_page("list_owners", &result);
    let page = result?;
    let mut announced_keys: Vec<SmolStr> = Vec::new();
    for item in &page.rows {
        announced_keys.push(item.key.clone());
        apply_announcement(node, item);
    }
    for failure_domain in &node.settings.failure_domains {
        if !announced_keys.contains(&keys::owner(failure_domain)) {
            apply_removal(node, failure_domain);
        }
    }
    node.owners_loaded.set(true);
    Ok(page.revision)
}

async fn watch(node: &Node, after: u64) -> Result<u64, StoreFailure> {
    let result = node
        .store
        .watch(keys::OWNERS_PREFIX, after, WATCH_WAIT_MS)
        .await;
    node.record_page("watch_owners", &result);
    let page = result?;
    for change in &page.rows {
        match change {
            Change::Written(item) => apply_announcement(node, item),
            Change::Removed { key, .. } => {
                apply_removal(node, key.trim_start_matches(keys::OWNERS_PREFIX));
            }
        }
    }
    Ok(page.revision.max(after))
}

fn apply_announcement(node: &Node, item: &Item) {
    let owner: Owner = match record::decode(&item.key, &item.value) {
        Ok(owner) => owner,
        Err(error) => {
            Line::error("announcement_unreadable")
                .with_reason(error)
                .write();
            return;
        }
    };
    let failure_domain = item.key.trim_start_matches(keys::OWNERS_PREFIX);
    let released = owner.host.is_empty();
    let mut views = node.owner_views.borrow_mut();
    let Ok(index) = views.binary_search_by(|view| view.failure_domain.as_str().cmp(failure_domain))
    else {
        return;
    };
    let view = &mut views[index];
    if item.revision <= view.revision {
        return;
    }
    view.revision = item.revision;
    view.cpu_millis = owner.cpu_millis;
    view.released = released;
    if released {
        view.owner = None;
        view.vacant_since_ms = now_ms();
        return;
    }
    Line::info("owner_announced")
        .with("shard", failure_domain)
        .with("owner", &owner.host)
        .with("era", owner.term)
        .write();
    if view
        .last_owner
        .as_ref()
        .is_none_or(|last| last.term < owner.term)
    {
        view.last_owner_since_ms = now_ms();
    }
    view.last_owner = Some(owner.clone());
    let term = owner.term;
    let is_self = owner.host == node.settings.name;
    view.owner = Some(owner);
    drop(views);
    if !is_self
        && let Some(owned) = node.owned_shard(failure_domain)
        && owned.leadership.term < term
    {
        owned.step_down("superseded");
    }
}

fn apply_removal(node: &Node, failure_domain: &str) {
    let mut views = node.owner_views.borrow_mut();
    let Ok(index) = views.binary_search_by(|view| view.failure_domain.as_str().cmp(failure_domain))
    else {
        return;
    };
    let view = &mut views[index];
    if view.owner.is_none() && view.revision == 0 {
        return;
    }
    Line::info("owner_vanished")
        .with("shard", failure_domain)
        .with("released", view.released)
        .write();
    if view.owner.take().is_some() {
        view.vacant_since_ms = now_ms();
    }
    view.revision = 0;
    drop(views);
    if let Some(owned) = node.owned_shard(failure_domain) {
        owned.request_announcement();
    }
}

/// Takes over shards without an owner until the daemon stops.
pub async fn run(node: Rc<Node>) {
    let rank = xxh3_64(node.settings.name.as_bytes()) % RANKS;
    loop {
        tokio::time::sleep(Duration::from_millis(VACANCY_CHECK_INTERVAL_MS)).await;
        if node.stopping.get() || !node.owners_loaded.get() || node.configuration.borrow().is_none()
        {
            continue;
        }
        let views = node.owner_views.borrow().clone();
        for view in views {
            if view.owner.is_some() || node.owned_shard(&view.failure_domain).is_some() {
                continue;
            }
            let vacancy = Vacancy {
                since_ms: view.vacant_since_ms,
                released: view.released,
                is_local: view.failure_domain == node.settings.failure_domain,
                is_weaker: claim::is_much_stronger(view.cpu_millis, node.settings.cpu_millis),
                cpu_millis: node.settings.cpu_millis,
                rank,
            };
            if now_ms() < vacancy.claim_at_ms() || node.is_store_unavailable() {
                continue;
            }
            if let Err(failure) = take_over(&node, &view).await {
                Line::info("shard_not_taken")
                    .with("shard", &view.failure_domain)
                    .with_reason(failure)
                    .write();
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}

/// Begins a new term of a shard and opens the shard.
async fn take_over(node: &Rc<Node>, view: &OwnerView) -> Result<(), StoreFailure> {
    let failure_domain = &view.failure_domain;
    let started_ms = now_ms();
    let term_key = keys::term(failure_domain);
    let current = node.store.read(&term_key).await?;
    let previous_term: Term = match &current {
        // Fails rather than counting from 0: servers may have seen higher terms.
        Some(item) => decode_or_log(item).ok_or(StoreFailure::Malformed { status: 200 })?,
        None => Term::default(),
    };
    let is_last_owner_known = view.cpu_millis > 0;
    if !is_last_owner_known
        && claim::is_much_stronger(previous_term.cpu_millis, node.settings.cpu_millis)
    {
        // After a restart of all hosts, only the term's record holds the last owner's CPU. This host then waits as a
        // weaker one.
        node.record_last_owner_cpu(failure_domain, previous_term.cpu_millis);
        return Ok(());
    }
    let term = previous_term.number + 1;
    let lease = node.store.grant(ANNOUNCEMENT_TTL_MS).await?;
    let announcement_value = encode_announcement(node, term);
    let owner_key = keys::owner(failure_domain);
    let term_record = Term {
        number: term,
        sequence: 0,
        cpu_millis: node.settings.cpu_millis,
        owners: previous_term.owners.clone(),
    }
    .with_owner(
        node.settings.peer_address.to_string(),
        node.bounds.authority_ms(),
    );
    let sent_ms = now_ms();
    let transaction = Transaction::default()
        .expect_revision(term_key.clone(), current.map_or(0, |item| item.revision))
        .expect_revision(owner_key.clone(), view.revision)
        .put(term_key, term_record.encode_to_vec())
        .put(
            keys::inbox_term(failure_domain),
            term_record.encode_to_vec(),
        )
        .put_with_lease(owner_key, announcement_value, lease);
    let result = node.store.commit(&transaction).await;
    node.record_store_call("take_shard", &result);
    let term_revision = result?;
    Line::info("shard_taken")
        .with("shard", failure_domain)
        .with("era", term)
        .with("revision", term_revision)
        .with("took_ms", now_ms() - started_ms)
        .write();
    let leadership = Leadership {
        term,
        start_revision: term_revision,
    };
    // Until the shard is open, this host gives no orders and knows no tasks in flight.
    node.save_handover(failure_domain, Handover::unopened(term));
    let owned = OwnedShard::open(
        node,
        failure_domain.clone(),
        leadership,
        term_record.owners,
        lease,
        sent_ms,
    )
    .await?;
    if node.successor_term(failure_domain) > term {
        owned.step_down("successor_asked");
        return Ok(());
    }
    owner::spawn(&owned);
    for predecessor in previous_term.owners {
        let owned_for_ms = match &view.last_owner {
            Some(last) if last.term == predecessor.term => {
                now_ms().saturating_sub(view.last_owner_since_ms)
            }
            _ => 0,
        };
        let handover = Rc::clone(&owned).request_handover(predecessor, owned_for_ms);
        spawn_for_shard(&owned, "handover", handover);
    }
    node.owned_shards.borrow_mut().push(owned);
    Ok(())
}

/// Encodes the announcement of this host as the owner.
#[must_use]
pub fn encode_announcement(node: &Node, term: u64) -> Vec<u8> {
    Owner {
        host: node.settings.name.to_string(),
        address: node.settings.peer_address.to_string(),
        failure_domain: node.settings.failure_domain.to_string(),
        term,
        cpu_millis: node.settings.cpu_millis,
    }
    .encode_to_vec()
}
