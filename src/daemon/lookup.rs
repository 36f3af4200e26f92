//! Looks up the home shards and statuses of jobs, and the lengths of queues.

use std::rc::Rc;

use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{self, Home, Progress};
use primrosestack_fleet::shard::JobStatus;
use primrosestack_platform::store::StoreFailure;
use smol_str::SmolStr;

use crate::daemon::clock::now_ms;
use crate::daemon::keys;
use crate::daemon::node::Node;
use crate::daemon::owner::status_of;
use crate::daemon::peers::PeerRequest;
use crate::daemon::stored_jobs::QueuedJobs;
use crate::logs::Line;

/// Home shard of a job, from the cache or the store; `Ok(None)` if the job does not exist.
pub(super) async fn find_home(node: &Node, id: JobId) -> Result<Option<SmolStr>, StoreFailure> {
    if let Some(home) = node.cached_home(id) {
        return Ok(Some(home));
    }
    let home = read_home(node, id).await?;
    Ok(home.map(|(home, _)| home))
}

/// Home shard of a job according to the store, with the revision of its record; `Ok(None)` if the job does not exist.
pub(super) async fn read_home(
    node: &Node,
    id: JobId,
) -> Result<Option<(SmolStr, u64)>, StoreFailure> {
    Ok(match read_residence(node, id).await? {
        Residence::Home(home, revision) => Some((home, revision)),
        Residence::Tombstone | Residence::Absent => None,
    })
}

/// What the store has in the place of a job's home.
pub(super) enum Residence {
    /// The home shard, and the revision of its record.
    Home(SmolStr, u64),
    /// The job was cancelled before it was accepted.
    Tombstone,
    Absent,
}

pub(super) async fn read_residence(node: &Node, id: JobId) -> Result<Residence, StoreFailure> {
    let key = keys::home(id);
    let result = node.store.read(&key).await;
    node.record_store_call("read_home", &result);
    let Some(item) = result? else {
        return Ok(Residence::Absent);
    };
    let Ok(home) = record::decode::<Home>(&key, &item.value) else {
        return Err(StoreFailure::Malformed { status: 200 });
    };
    node.forget_home(id);
    if home.tombstone {
        return Ok(Residence::Tombstone);
    }
    let failure_domain = SmolStr::from(home.failure_domain);
    node.cache_home(id, &failure_domain);
    Ok(Residence::Home(failure_domain, item.revision))
}

/// Status of a job; `Ok(None)` if it does not exist. A cached home that does not know the job may have been left by it.
pub(super) async fn find_status(
    node: &Rc<Node>,
    id: JobId,
) -> Result<Option<JobStatus>, StoreFailure> {
    let Some(mut home) = find_home(node, id).await? else {
        return Ok(None);
    };
    loop {
        if let Some(status) = status_at(node, &home, id).await? {
            return Ok(Some(status));
        }
        match read_home(node, id).await? {
            Some((current, _)) if current != home => home = current,
            _ => return Ok(None),
        }
    }
}

/// Status of a job in its home shard.
async fn status_at(
    node: &Rc<Node>,
    home: &SmolStr,
    id: JobId,
) -> Result<Option<JobStatus>, StoreFailure> {
    let owned = node.owned_shard(home);
    if let Some(status) = owned.and_then(|owned| owned.job_status(id)) {
        return Ok(Some(status));
    }
    if let Some(status) = query_owner(node, home, id).await {
        return Ok(Some(status));
    }
    read_job_status(node, home, id).await
}

/// Status of a job according to the owner of its home shard; `None` if this host knows no other owner, the owner does
/// not respond, or it does not know the job.
pub(super) async fn query_owner(
    node: &Node,
    failure_domain: &SmolStr,
    id: JobId,
) -> Option<JobStatus> {
    let address = node.owner_address(failure_domain)?;
    let request = PeerRequest {
        failure_domain: failure_domain.to_string(),
        job: id.0,
        ..PeerRequest::default()
    };
    match node.peers.call(&address, &request).await {
        Ok(reply) => reply.status().job_status(),
        Err(failure) => {
            let line = Line::info("owner_silent").with("job", id);
            let line = line.with("owner", address).with_reason(failure);
            node.failure_lines.write(|| line);
            None
        }
    }
}

/// Status of a job according to the store alone: its progress record, or queued if it is only accepted.
pub(super) async fn read_job_status(
    node: &Node,
    home: &SmolStr,
    id: JobId,
) -> Result<Option<JobStatus>, StoreFailure> {
    if let Some(status) = read_progress(node, home, id).await? {
        return Ok(Some(status));
    }
    let result = node.store.read(&keys::job(home, id)).await;
    node.record_store_call("read_job", &result);
    if result?.is_some() {
        return Ok(Some(JobStatus::Queued));
    }
    // The specification is removed when the job ends, perhaps between the two reads.
    read_progress(node, home, id).await
}

pub(super) async fn read_progress(
    node: &Node,
    home: &SmolStr,
    id: JobId,
) -> Result<Option<JobStatus>, StoreFailure> {
    let progress = read_progress_record(node, home, id).await?;
    Ok(progress.as_ref().map(status_of))
}

/// Failure domains whose shards run delegated tasks of a job, by the record of its home shard.
pub(super) async fn read_delegates(
    node: &Node,
    home: &SmolStr,
    id: JobId,
) -> Result<Vec<String>, StoreFailure> {
    let progress = read_progress_record(node, home, id).await?;
    Ok(progress.unwrap_or_default().delegate_domains)
}

async fn read_progress_record(
    node: &Node,
    home: &SmolStr,
    id: JobId,
) -> Result<Option<Progress>, StoreFailure> {
    let key = keys::progress(home, id);
    let result = node.store.read(&key).await;
    node.record_store_call("read_progress", &result);
    let Some(item) = result? else {
        return Ok(None);
    };
    match record::decode::<Progress>(&key, &item.value) {
        Ok(progress) => Ok(Some(progress)),
        Err(error) => {
            Line::error("record_unreadable")
                .with("job", id)
                .with_reason(error)
                .write();
            Err(StoreFailure::Malformed { status: 200 })
        }
    }
}

/// Number of jobs in a queue that have not started any task, over all shards. For a shard whose owner does not respond,
/// jobs are counted from the store.
pub(super) async fn count_queued_jobs(node: &Rc<Node>, queue: &str) -> Result<u32, StoreFailure> {
    let mut total = 0;
    for (index, failure_domain) in node.settings.failure_domains.iter().enumerate() {
        let owned = node.owned_shard(failure_domain);
        if let Some(owned) = owned.filter(|_| !node.is_store_unavailable()) {
            total += count_of(&owned.shard.borrow().queued_jobs(), queue);
            continue;
        }
        update_queued_counts(node, index, failure_domain).await?;
        total += count_of(&node.load_views.borrow().view(index).queued, queue);
    }
    Ok(total)
}

/// Counts the queued jobs of a shard from the store if its owner has not told them lately. Of several requests at once, one
/// reads the store: each takes memory for all jobs of the shard.
async fn update_queued_counts(
    node: &Node,
    index: usize,
    failure_domain: &str,
) -> Result<(), StoreFailure> {
    let is_outdated = || node.load_views.borrow().view(index).is_outdated(now_ms());
    if !is_outdated() {
        return Ok(());
    }
    let requested_ms = now_ms();
    let mut last_failure = node.count_attempt.lock().await;
    if !is_outdated() {
        return Ok(());
    }
    if let Some((failed_ms, failure)) = last_failure.as_ref()
        && *failed_ms >= requested_ms
    {
        // Requests that waited for a failed attempt do not make one each, one after the other.
        return Err(failure.clone());
    }
    match read_queued_counts(node, failure_domain).await {
        Ok(queued) => {
            let mut views = node.load_views.borrow_mut();
            let view = views.view_mut(index);
            view.queued = queued;
            view.updated_ms = now_ms();
            Ok(())
        }
        Err(failure) => {
            *last_failure = Some((now_ms(), failure.clone()));
            Err(failure)
        }
    }
}

fn count_of(rows: &[(SmolStr, u32)], queue: &str) -> u32 {
    rows.binary_search_by(|(name, _)| name.as_str().cmp(queue))
        .map_or(0, |index| rows[index].1)
}

/// Number of jobs per queue without a progress record, counted from the store and sorted by queue.
async fn read_queued_counts(
    node: &Node,
    failure_domain: &str,
) -> Result<Vec<(SmolStr, u32)>, StoreFailure> {
    let mut jobs = QueuedJobs::default();
    let prefix = keys::inbox_prefix(failure_domain);
    let inbox = node.store.list_pages(&prefix, |rows| jobs.add_inbox(&rows));
    let inbox = inbox.await;
    node.record_page("list_inbox", &inbox);
    inbox?;
    let prefix = keys::progress_prefix(failure_domain);
    let progress = node
        .store
        .list_pages(&prefix, |rows| jobs.add_progress(&rows));
    let progress = progress.await;
    node.record_page("list_progress", &progress);
    progress?;
    Ok(jobs.counts())
}
