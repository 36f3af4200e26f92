//! The inbox of a shard: accepted jobs, cancellations, tasks that other shards transferred, failures of tasks that were
//! delegated to other shards, and changes of owner.
//!
//! The store orders these entries. An owner reads a change of owner before any job that was accepted after it, so it
//! never starts a job of its successor's term, which the successor considers not started.

use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{self, Phase, StoredJob, Term, Transfer};
use primrosestack_platform::store::Item;
use prost::Message;
use smol_str::SmolStr;

use crate::daemon::keys::{self, InboxKey};
use crate::logs::Line;

/// Decoded entries of an inbox.
#[derive(Clone, Debug)]
pub enum InboxUpdate {
    /// Another owner has begun a later term; the remaining entries are for that owner.
    Superseded { term: u64 },
    /// Jobs in the order in which they have to be processed.
    Jobs(Vec<(JobId, StoredJob)>),
}

/// Decodes inbox items for the owner of a term.
#[must_use]
pub fn decode_update(items: &[Item], term: u64) -> InboxUpdate {
    let mut ordered: Vec<(u8, JobId, StoredJob)> = Vec::new();
    for item in items {
        let Some(key) = keys::parse_inbox_key(&item.key) else {
            continue;
        };
        if key == InboxKey::Term {
            let new_term = decode_or_log::<Term>(item).map_or(0, |new_term| new_term.number);
            if new_term > term {
                return InboxUpdate::Superseded { term: new_term };
            }
            continue;
        }
        if let Some((id, stored)) = decode_stored_job(item) {
            ordered.push((key.processing_order(), id, stored));
        }
    }
    ordered.sort_by_key(|(order, _, _)| *order);
    InboxUpdate::Jobs(
        ordered
            .into_iter()
            .map(|(_, id, stored)| (id, stored))
            .collect(),
    )
}

/// Decodes a record; logs an error and returns `None` if it is malformed.
pub(crate) fn decode_or_log<T: Message + Default>(item: &Item) -> Option<T> {
    match record::decode(&item.key, &item.value) {
        Ok(value) => Some(value),
        Err(error) => {
            Line::error("record_unreadable")
                .with("key", &item.key)
                .with_reason(error)
                .write();
            None
        }
    }
}

/// Decodes an inbox entry about a job; `None` for a change of owner and for an invalid key.
fn decode_stored_job(item: &Item) -> Option<(JobId, StoredJob)> {
    let mut stored = StoredJob {
        created_revision: item.created_revision,
        ..StoredJob::default()
    };
    let id = match keys::parse_inbox_key(&item.key)? {
        InboxKey::Job(id) => {
            let mut spec: Option<JobSpec> = decode_or_log(item);
            stored.progress = spec.as_mut().and_then(|spec| spec.recorded.take());
            stored.spec = spec;
            id
        }
        InboxKey::DelegatedJob(id) => {
            stored.spec = decode_or_log(item);
            stored.is_delegated = true;
            id
        }
        InboxKey::Transfer(id) => {
            stored.transfers.extend(decode_or_log::<Transfer>(item));
            stored.transfer_keys.push(item.key.clone());
            id
        }
        InboxKey::Cancellation(id) => {
            stored.cancelled = true;
            id
        }
        InboxKey::Failure(id) => {
            stored.delegates_failed = true;
            id
        }
        InboxKey::Term => return None,
    };
    Some((id, stored))
}

/// Merges the inbox entries and the progress record of each job, sorted by job ID.
#[must_use]
pub fn collect_stored_jobs(inbox: &[Item], progress: &[Item]) -> Vec<(JobId, StoredJob)> {
    let mut jobs: Vec<(JobId, StoredJob)> = Vec::new();
    let find_or_insert = |jobs: &mut Vec<(JobId, StoredJob)>, id: JobId| {
        let found = jobs.binary_search_by_key(&id, |(existing, _)| *existing);
        found.unwrap_or_else(|index| {
            jobs.insert(index, (id, StoredJob::default()));
            index
        })
    };
    for (id, entry) in inbox.iter().filter_map(decode_stored_job) {
        let index = find_or_insert(&mut jobs, id);
        let job = &mut jobs[index].1;
        // The home shard of a job may also get back tasks that it delegated; its own entry takes precedence.
        let is_own = entry.spec.is_some() && !entry.is_delegated;
        if job.spec.is_none() || is_own {
            job.is_delegated = entry.is_delegated && entry.spec.is_some();
            job.spec = entry.spec.or(job.spec.take());
            job.created_revision = job.created_revision.max(entry.created_revision);
        }
        job.progress = entry.progress.or(job.progress.take());
        job.cancelled |= entry.cancelled;
        job.delegates_failed |= entry.delegates_failed;
        job.transfers.extend(entry.transfers);
        job.transfer_keys.extend(entry.transfer_keys);
    }
    for item in progress {
        let Some(id) = item.key.rsplit('/').next().and_then(|id| id.parse().ok()) else {
            continue;
        };
        let index = find_or_insert(&mut jobs, id);
        jobs[index].1.progress = decode_or_log(item);
    }
    jobs
}

/// Number of jobs per queue that, according to the store, have not started any task.
/// Sorted by queue.
#[must_use]
pub fn count_queued_jobs(inbox: &[Item], progress: &[Item]) -> Vec<(SmolStr, u32)> {
    let mut counts: Vec<(SmolStr, u32)> = Vec::new();
    for (_, stored) in collect_stored_jobs(inbox, progress) {
        let Some(spec) = stored
            .spec
            .filter(|_| !stored.is_delegated && !stored.cancelled)
        else {
            continue;
        };
        let progress = stored.progress.as_ref();
        if progress
            .is_some_and(|progress| progress.phase() != Phase::Live || progress.has_started())
        {
            continue;
        }
        let name = SmolStr::new(&spec.queue.unwrap_or_default().name);
        match counts.binary_search_by(|(existing, _)| existing.cmp(&name)) {
            Ok(index) => counts[index].1 += 1,
            Err(index) => counts.insert(index, (name, 1)),
        }
    }
    counts
}
