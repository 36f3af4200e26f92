//! Who owns which shard: follows the announcements, and takes shards without an owner.

use std::rc::Rc;
use std::time::Duration;

use primrosestack_fleet::claim::{self, Vacancy};
use primrosestack_fleet::record::{self, Owner, Term};
use primrosestack_platform::store::{Change, Item, StoreFailure, Write};
use prost::Message;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::daemon::clock::now_ms;
use crate::daemon::inbox::decode_or_log;
use crate::daemon::keys;
use crate::daemon::node::{Node, OwnerView};
use crate::daemon::owner::{self, OwnedShard, Title};
use crate::logs::Line;

/// Wait of one watch in milliseconds; a connection that went silent is noticed soon after.
const WATCH_MS: u64 = 2_000;

/// Pause after a failed call in milliseconds.
const RETRY_MS: u64 = 250;

/// Interval at which vacancies are looked at, in milliseconds.
const TICK_MS: u64 = 50;

/// Life of an announcement without renewal, in milliseconds: three renewals.
pub const ANNOUNCEMENT_MS: u64 = 2_100;

/// Hosts that may try to take a shard are spread over this many ranks.
const RANKS: u64 = 3;

/// Follows the announcements of owners until the daemon ends.
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
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

async fn list(node: &Node) -> Result<u64, StoreFailure> {
    let result = node.store.list(keys::OWNERS).await;
    node.note_store("list_owners", &result);
    let page = result?;
    let mut found: Vec<SmolStr> = Vec::new();
    for item in &page.rows {
        found.push(item.key.clone());
        announced(node, item);
    }
    for failure_domain in &node.settings.failure_domains {
        if !found.contains(&keys::owner(failure_domain)) {
            vanished(node, failure_domain);
        }
    }
    node.owners_known.set(true);
    Ok(page.revision)
}

async fn watch(node: &Node, after: u64) -> Result<u64, StoreFailure> {
    let result = node.store.watch(keys::OWNERS, after, WATCH_MS).await;
    node.note_store("watch_owners", &result);
    let page = result?;
    for change in &page.rows {
        match change {
            Change::Written(item) => announced(node, item),
            Change::Removed { key, .. } => vanished(node, key.trim_start_matches(keys::OWNERS)),
        }
    }
    Ok(page.revision.max(after))
}

fn announced(node: &Node, item: &Item) {
    let owner: Owner = match record::decode(&item.key, &item.value) {
        Ok(owner) => owner,
        Err(error) => {
            Line::error("announcement_unreadable")
                .with_reason(error)
                .write();
            return;
        }
    };
    let failure_domain = item.key.trim_start_matches(keys::OWNERS);
    let released = owner.host.is_empty();
    let mut views = node.owners.borrow_mut();
    let Ok(at) = views.binary_search_by(|view| view.failure_domain.as_str().cmp(failure_domain))
    else {
        return;
    };
    let view = &mut views[at];
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
        view.last_announced_ms = now_ms();
    }
    view.last_owner = Some(owner.clone());
    let era = owner.term;
    let is_self = owner.host == node.settings.name;
    view.owner = Some(owner);
    drop(views);
    if !is_self
        && let Some(owned) = node.owned_shard(failure_domain)
        && owned.title.era < era
    {
        owned.depose("superseded");
    }
}

fn vanished(node: &Node, failure_domain: &str) {
    let mut views = node.owners.borrow_mut();
    let Ok(at) = views.binary_search_by(|view| view.failure_domain.as_str().cmp(failure_domain))
    else {
        return;
    };
    let view = &mut views[at];
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
        owned.announce_again();
    }
}

/// Takes shards without an owner until the daemon ends.
pub async fn run(node: Rc<Node>) {
    let rank = xxh3_64(node.settings.name.as_bytes()) % RANKS;
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        if node.stopping.get() || !node.owners_known.get() || node.configuration.borrow().is_none()
        {
            continue;
        }
        let views = node.owners.borrow().clone();
        for view in views {
            if view.owner.is_some() || node.owned_shard(&view.failure_domain).is_some() {
                continue;
            }
            let vacancy = Vacancy {
                since_ms: view.vacant_since_ms,
                released: view.released,
                is_local: view.failure_domain == node.settings.failure_domain,
                is_weaker: claim::is_much_stronger(view.cpu_millis, node.settings.cpu_millis),
                rank,
            };
            if now_ms() < vacancy.claim_at_ms() || node.is_store_away() {
                continue;
            }
            if let Err(failure) = take(&node, &view).await {
                Line::info("shard_not_taken")
                    .with("shard", &view.failure_domain)
                    .with_reason(failure)
                    .write();
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Begins a new era of a shard.
async fn take(node: &Rc<Node>, view: &OwnerView) -> Result<(), StoreFailure> {
    let failure_domain = &view.failure_domain;
    let begun_ms = now_ms();
    let era_key = keys::era(failure_domain);
    let current = node.store.read(&era_key).await?;
    let era_before: Term = match &current {
        // Without the number, the next era could be lower than the one that servers have seen.
        Some(item) => decode_or_log(item).ok_or(StoreFailure::Malformed { status: 200 })?,
        None => Term::default(),
    };
    let is_known = view.cpu_millis > 0;
    if !is_known && claim::is_much_stronger(era_before.cpu_millis, node.settings.cpu_millis) {
        // After a restart of all hosts nobody announces the last owner; the era's record tells of it.
        node.note_last_owner(failure_domain, era_before.cpu_millis);
        return Ok(());
    }
    let era = era_before.number + 1;
    let lease = node.store.grant(ANNOUNCEMENT_MS).await?;
    let announcement_value = announcement_of(node, era);
    let owner_key = keys::owner(failure_domain);
    let begun = Term {
        number: era,
        sequence: 0,
        cpu_millis: node.settings.cpu_millis,
    }
    .encode_to_vec();
    let sent_ms = now_ms();
    let write = Write::default()
        .when(era_key.clone(), current.map_or(0, |item| item.revision))
        .when(owner_key.clone(), view.revision)
        .put(era_key, begun.clone())
        .put(keys::begun_era(failure_domain), begun)
        .put_leased(owner_key, announcement_value, lease);
    let result = node.store.write(&write).await;
    node.note_store("take_shard", &result);
    let era_revision = result?;
    Line::info("shard_taken")
        .with("shard", failure_domain)
        .with("era", era)
        .with("revision", era_revision)
        .with("took_ms", now_ms() - begun_ms)
        .write();
    let title = Title {
        era,
        begun_revision: era_revision,
    };
    let owned = OwnedShard::open(node, failure_domain.clone(), title, lease, sent_ms).await?;
    if node.successor_era(failure_domain) > era {
        owned.depose("successor_asked");
        return Ok(());
    }
    owner::spawn(&owned);
    let predecessor = view.last_owner.as_ref().filter(|last| last.term + 1 == era);
    if let Some(last) = predecessor {
        let owned_ms = now_ms().saturating_sub(view.last_announced_ms);
        let ask = Rc::clone(&owned).ask_predecessor(last.address.clone(), owned_ms);
        tokio::task::spawn_local(ask);
    }
    node.owned.borrow_mut().push(owned);
    Ok(())
}

/// The announcement of this host as an owner.
#[must_use]
pub fn announcement_of(node: &Node, term: u64) -> Vec<u8> {
    Owner {
        host: node.settings.name.to_string(),
        address: node.settings.peer_address.to_string(),
        failure_domain: node.settings.failure_domain.to_string(),
        term,
        cpu_millis: node.settings.cpu_millis,
    }
    .encode_to_vec()
}
