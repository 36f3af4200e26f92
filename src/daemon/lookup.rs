//! Finds jobs: where they are kept, and in which state they are.

use std::rc::Rc;

use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{self, Home, Progress};
use primrosestack_fleet::shard::JobStatus;
use primrosestack_platform::store::StoreFailure;
use smol_str::SmolStr;

use crate::daemon::clock::now_ms;
use crate::daemon::inbox;
use crate::daemon::keys;
use crate::daemon::node::Node;
use crate::daemon::owner::standing_of;
use crate::daemon::peers::{LOAD_LIFE_MS, Question};
use crate::logs::Line;

/// Where a job is kept: remembered, or read from the store. Two levels, since a job may be known to be absent.
pub(super) async fn find_home(node: &Node, id: JobId) -> Result<Option<SmolStr>, StoreFailure> {
    if let Some(home) = node.known_home(id) {
        return Ok(Some(home));
    }
    let key = keys::home(id);
    let result = node.store.read(&key).await;
    node.note_store("read_home", &result);
    let Some(item) = result? else { return Ok(None) };
    let Ok(home) = record::decode::<Home>(&key, &item.value) else {
        return Err(StoreFailure::Malformed { status: 200 });
    };
    let home = SmolStr::from(home.failure_domain);
    node.remember_home(id, &home);
    Ok(Some(home))
}

pub(super) async fn ask_owner(
    node: &Node,
    failure_domain: &SmolStr,
    id: JobId,
) -> Option<JobStatus> {
    let address = node.owner_address(failure_domain)?;
    let question = Question {
        failure_domain: failure_domain.to_string(),
        job: id.0,
        ..Question::default()
    };
    match node.peers.ask(&address, &question).await {
        Ok(reply) => reply.known().standing(),
        Err(failure) => {
            Line::info("owner_silent")
                .with("job", id)
                .with("owner", address)
                .with_reason(failure)
                .write();
            None
        }
    }
}

/// State of a job by the store alone: what is recorded, or that it is accepted.
pub(super) async fn read_standing(
    node: &Node,
    home: &SmolStr,
    id: JobId,
) -> Result<Option<JobStatus>, StoreFailure> {
    if let Some(standing) = read_progress(node, home, id).await? {
        return Ok(Some(standing));
    }
    let result = node.store.read(&keys::job(home, id)).await;
    node.note_store("read_job", &result);
    if result?.is_some() {
        return Ok(Some(JobStatus::Queued));
    }
    // The end of a job removes its specification, perhaps between the two reads.
    read_progress(node, home, id).await
}

pub(super) async fn read_progress(
    node: &Node,
    home: &SmolStr,
    id: JobId,
) -> Result<Option<JobStatus>, StoreFailure> {
    let key = keys::progress(home, id);
    let result = node.store.read(&key).await;
    node.note_store("read_progress", &result);
    let Some(item) = result? else {
        return Ok(None);
    };
    match record::decode::<Progress>(&key, &item.value) {
        Ok(progress) => Ok(Some(standing_of(&progress))),
        Err(error) => {
            Line::error("record_unreadable")
                .with("job", id)
                .with_reason(error)
                .write();
            Err(StoreFailure::Malformed { status: 200 })
        }
    }
}

/// Jobs of a queue of which no task has started, over all shards. A shard whose owner does not tell is counted from the
/// store.
pub(super) async fn waiting(node: &Rc<Node>, queue: &str) -> Result<u32, StoreFailure> {
    let mut total = 0;
    for (at, failure_domain) in node.settings.failure_domains.iter().enumerate() {
        let owned = node.owned_shard(failure_domain);
        if let Some(owned) = owned.filter(|_| !node.is_store_away()) {
            total += count_of(&owned.shard.borrow().queued_jobs(), queue);
            continue;
        }
        if now_ms() > node.shard_views.borrow()[at].known_ms + LOAD_LIFE_MS {
            let waiting = read_waiting(node, failure_domain).await?;
            let mut views = node.shard_views.borrow_mut();
            views[at].waiting = waiting;
            views[at].known_ms = now_ms();
        }
        total += count_of(&node.shard_views.borrow()[at].waiting, queue);
    }
    Ok(total)
}

fn count_of(rows: &[(SmolStr, u32)], queue: &str) -> u32 {
    rows.binary_search_by(|(name, _)| name.as_str().cmp(queue))
        .map_or(0, |at| rows[at].1)
}

/// Waiting jobs of a shard by queue, sorted, as far as the store tells: those of which nothing is recorded.
async fn read_waiting(
    node: &Node,
    failure_domain: &str,
) -> Result<Vec<(SmolStr, u32)>, StoreFailure> {
    let inbox = node.store.list(&keys::inbox(failure_domain)).await;
    node.note_store("list_inbox", &inbox);
    let progress = node.store.list(&keys::progress_of(failure_domain)).await;
    node.note_store("list_progress", &progress);
    Ok(inbox::waiting_jobs(&inbox?.rows, &progress?.rows))
}
