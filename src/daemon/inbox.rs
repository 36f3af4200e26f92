//! The inbox of a shard: accepted jobs, cancellations, tasks that other shards handed over, and changes of owner.
//!
//! The store orders all of them. An owner reads a change of owner before any job that was accepted after it, so it never
//! starts a job that the next owner takes for new.

use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{self, StoredJob, Term, Transfer};
use primrosestack_platform::store::Item;
use prost::Message;
use smol_str::SmolStr;

use crate::daemon::keys::{self, InboxKey};
use crate::logs::Line;

/// What a part of an inbox says.
#[derive(Clone, Debug)]
pub enum Mail {
    /// Another owner has begun an era; what follows is for it.
    Superseded {
        /// The era.
        era: u64,
    },
    /// Jobs, in the order in which they have to be taken.
    Jobs(Vec<(JobId, StoredJob)>),
}

/// Reads items for the owner of an era.
#[must_use]
pub fn read(items: &[Item], era: u64) -> Mail {
    let mut ranked: Vec<(u8, JobId, StoredJob)> = Vec::new();
    for item in items {
        let Some(key) = keys::parse_inbox(&item.key) else {
            continue;
        };
        if key == InboxKey::Era {
            let begun = decode_or_log::<Term>(item).map_or(0, |begun| begun.number);
            if begun > era {
                return Mail::Superseded { era: begun };
            }
            continue;
        }
        if let Some((id, stored)) = stored_job(item) {
            ranked.push((key.rank(), id, stored));
        }
    }
    ranked.sort_by_key(|(rank, _, _)| *rank);
    Mail::Jobs(
        ranked
            .into_iter()
            .map(|(_, id, stored)| (id, stored))
            .collect(),
    )
}

/// Decodes a record; one that cannot be read is logged and left out.
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

/// What a key of the inbox says of a job.
fn stored_job(item: &Item) -> Option<(JobId, StoredJob)> {
    let mut stored = StoredJob {
        created_revision: item.created_revision,
        ..StoredJob::default()
    };
    let id = match keys::parse_inbox(&item.key)? {
        InboxKey::Job(id) => {
            stored.spec = decode_or_log(item);
            id
        }
        InboxKey::Guest(id) => {
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
        InboxKey::Era => return None,
    };
    Some((id, stored))
}

/// Joins what the store has of each job, sorted by identity.
#[must_use]
pub fn stored_jobs(inbox: &[Item], progress: &[Item]) -> Vec<(JobId, StoredJob)> {
    let mut jobs: Vec<(JobId, StoredJob)> = Vec::new();
    let place = |jobs: &mut Vec<(JobId, StoredJob)>, id: JobId| {
        let found = jobs.binary_search_by_key(&id, |(known, _)| *known);
        found.unwrap_or_else(|at| {
            jobs.insert(at, (id, StoredJob::default()));
            at
        })
    };
    for (id, part) in inbox.iter().filter_map(stored_job) {
        let at = place(&mut jobs, id);
        let job = &mut jobs[at].1;
        // A job that is kept here may also have tasks that came back.
        let is_own = part.spec.is_some() && !part.is_delegated;
        if job.spec.is_none() || is_own {
            job.is_delegated = part.is_delegated && part.spec.is_some();
            job.spec = part.spec.or(job.spec.take());
            job.created_revision = job.created_revision.max(part.created_revision);
        }
        job.cancelled |= part.cancelled;
        job.transfers.extend(part.transfers);
        job.transfer_keys.extend(part.transfer_keys);
    }
    for item in progress {
        let Some(id) = item.key.rsplit('/').next().and_then(|id| id.parse().ok()) else {
            continue;
        };
        let at = place(&mut jobs, id);
        jobs[at].1.progress = decode_or_log(item);
    }
    jobs
}

/// Jobs of each queue of which no task has started as far as the store tells, sorted by queue.
#[must_use]
pub fn waiting_jobs(inbox: &[Item], progress: &[Item]) -> Vec<(SmolStr, u32)> {
    let mut counts: Vec<(SmolStr, u32)> = Vec::new();
    for (_, stored) in stored_jobs(inbox, progress) {
        let Some(spec) = stored
            .spec
            .filter(|_| !stored.is_delegated && !stored.cancelled)
        else {
            continue;
        };
        if stored.progress.is_some() {
            continue;
        }
        let name = SmolStr::new(&spec.queue.unwrap_or_default().name);
        match counts.binary_search_by(|(known, _)| known.cmp(&name)) {
            Ok(at) => counts[at].1 += 1,
            Err(at) => counts.insert(at, (name, 1)),
        }
    }
    counts
}
