//! The inbox of a shard: accepted jobs, cancellations, tasks that other shards transferred, failures of tasks that were
//! delegated to other shards, and changes of owner.
//!
//! The store orders these entries. An owner reads a change of owner before any job that was accepted after it, so it
//! never starts a job of its successor's term, which the successor considers not started.

use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{self, StoredJob, Term, Transfer};
use primrosestack_platform::store::Item;
use prost::Message;

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

/// Decodes pages of an inbox for the owner of a term.
#[derive(Debug)]
pub struct InboxReader {
    term: u64,
    superseded_by: Option<u64>,
    /// Jobs with the place of their entries in the processing order.
    jobs: Vec<(u8, JobId, StoredJob)>,
}

impl InboxReader {
    #[must_use]
    pub fn open(term: u64) -> Self {
        Self {
            term,
            superseded_by: None,
            jobs: Vec::new(),
        }
    }

    pub fn add(&mut self, items: &[Item]) {
        for item in items {
            let Some(key) = keys::parse_inbox_key(&item.key) else {
                continue;
            };
            if key == InboxKey::Term {
                let new_term = decode_or_log::<Term>(item).map_or(0, |new_term| new_term.number);
                if new_term > self.term {
                    self.superseded_by = Some(new_term);
                }
                continue;
            }
            if let Some((id, stored)) = decode_stored_job(item) {
                self.jobs.push((key.processing_order(), id, stored));
            }
        }
    }

    #[must_use]
    pub fn finish(mut self) -> InboxUpdate {
        if let Some(term) = self.superseded_by {
            return InboxUpdate::Superseded { term };
        }
        self.jobs.sort_by_key(|(order, _, _)| *order);
        let jobs = self.jobs.into_iter();
        InboxUpdate::Jobs(jobs.map(|(_, id, stored)| (id, stored)).collect())
    }
}

/// Decodes inbox items for the owner of a term.
#[must_use]
pub fn decode_update(items: &[Item], term: u64) -> InboxUpdate {
    let mut reader = InboxReader::open(term);
    reader.add(items);
    reader.finish()
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

/// Decodes an inbox entry about a job; `None` for a tombstone, a change of owner and an invalid key.
pub(crate) fn decode_stored_job(item: &Item) -> Option<(JobId, StoredJob)> {
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
        InboxKey::Tombstone(_) | InboxKey::Term => return None,
    };
    Some((id, stored))
}
