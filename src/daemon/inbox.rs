//! The inbox of a shard: accepted jobs, cancellations, tasks that other shards transferred, failures of tasks that were
//! delegated to other shards, and changes of owner.
//!
//! The store orders these entries. An owner reads a change of owner before any job that was accepted after it, so it
//! never starts a job of its successor's term, which the successor considers not started.

use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{self, Phase, Progress, StoredJob, Term, Transfer};
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

/// What the store has of the jobs of a shard, merged from pages of its inbox and of its progress records.
///
/// Of ended jobs, whose number follows from the retention period, only what the shard retains is kept.
#[derive(Debug, Default)]
pub struct StoredJobs {
    /// Jobs with a specification or transfers, sorted.
    jobs: Vec<(JobId, StoredJob)>,
    cancelled: Vec<JobId>,
    with_failed_delegates: Vec<JobId>,
    ended: Vec<(JobId, Phase)>,
}

impl StoredJobs {
    fn job_mut(&mut self, id: JobId) -> &mut StoredJob {
        let found = self
            .jobs
            .binary_search_by_key(&id, |(existing, _)| *existing);
        let index = found.unwrap_or_else(|index| {
            self.jobs.insert(index, (id, StoredJob::default()));
            index
        });
        &mut self.jobs[index].1
    }

    /// Adds entries of the inbox.
    pub fn add_inbox(&mut self, items: &[Item]) {
        for (id, entry) in items.iter().filter_map(decode_stored_job) {
            if entry.cancelled {
                self.cancelled.push(id);
                continue;
            }
            if entry.delegates_failed {
                self.with_failed_delegates.push(id);
                continue;
            }
            let job = self.job_mut(id);
            // The home shard of a job may also get back tasks that it delegated; its own entry takes precedence.
            let is_own = entry.spec.is_some() && !entry.is_delegated;
            if job.spec.is_none() || is_own {
                job.is_delegated = entry.is_delegated && entry.spec.is_some();
                job.spec = entry.spec.or(job.spec.take());
                job.created_revision = job.created_revision.max(entry.created_revision);
            }
            job.progress = entry.progress.or(job.progress.take());
            job.transfers.extend(entry.transfers);
            job.transfer_keys.extend(entry.transfer_keys);
        }
    }

    /// Adds progress records, after the whole inbox.
    pub fn add_progress(&mut self, items: &[Item]) {
        for item in items {
            let Some(id) = item.key.rsplit('/').next().and_then(|id| id.parse().ok()) else {
                continue;
            };
            let Some(progress) = decode_or_log::<Progress>(item) else {
                continue;
            };
            let found = self
                .jobs
                .binary_search_by_key(&id, |(existing, _)| *existing);
            match (found, progress.phase()) {
                (Ok(index), _) => self.jobs[index].1.progress = Some(progress),
                // A live job without a specification is not one of this shard.
                (Err(_), Phase::Live) => {}
                (Err(_), phase) => self.ended.push((id, phase)),
            }
        }
    }

    /// All jobs: those with entries in the inbox, sorted, and those that have ended.
    pub fn into_jobs(mut self) -> impl Iterator<Item = (JobId, StoredJob)> {
        for id in self.cancelled {
            let found = self
                .jobs
                .binary_search_by_key(&id, |(existing, _)| *existing);
            if let Ok(index) = found {
                self.jobs[index].1.cancelled = true;
            }
        }
        for id in self.with_failed_delegates {
            let found = self
                .jobs
                .binary_search_by_key(&id, |(existing, _)| *existing);
            if let Ok(index) = found {
                self.jobs[index].1.delegates_failed = true;
            }
        }
        let ended = self.ended.into_iter().map(|(id, phase)| {
            let mut progress = Progress::default();
            progress.set_phase(phase);
            let stored = StoredJob {
                progress: Some(progress),
                ..StoredJob::default()
            };
            (id, stored)
        });
        self.jobs.into_iter().chain(ended)
    }
}

/// Counts the jobs of a shard that, according to the store, have not started any task.
#[derive(Debug, Default)]
pub struct QueuedJobs {
    /// Jobs with their queues, and whether they count, sorted.
    jobs: Vec<(JobId, SmolStr, bool)>,
    cancelled: Vec<JobId>,
}

impl QueuedJobs {
    /// Adds entries of the inbox.
    pub fn add_inbox(&mut self, items: &[Item]) {
        for item in items {
            match keys::parse_inbox_key(&item.key) {
                Some(InboxKey::Cancellation(id)) => self.cancelled.push(id),
                Some(InboxKey::Job(id)) => {
                    let Some(spec) = decode_or_log::<JobSpec>(item) else {
                        continue;
                    };
                    let is_queued = spec.recorded.is_none_or(|progress| is_queued(&progress));
                    let queue = SmolStr::new(&spec.queue.unwrap_or_default().name);
                    let index = self.jobs.partition_point(|(existing, _, _)| *existing < id);
                    self.jobs.insert(index, (id, queue, is_queued));
                }
                _ => {}
            }
        }
    }

    /// Adds progress records, after the whole inbox.
    pub fn add_progress(&mut self, items: &[Item]) {
        for item in items {
            let Some(id) = item.key.rsplit('/').next().and_then(|id| id.parse().ok()) else {
                continue;
            };
            let found = self
                .jobs
                .binary_search_by_key(&id, |(existing, _, _)| *existing);
            let Ok(index) = found else { continue };
            if let Some(progress) = decode_or_log::<Progress>(item) {
                self.jobs[index].2 = is_queued(&progress);
            }
        }
    }

    /// Number of jobs per queue, sorted by queue.
    #[must_use]
    pub fn counts(mut self) -> Vec<(SmolStr, u32)> {
        self.cancelled.sort_unstable();
        let mut counts: Vec<(SmolStr, u32)> = Vec::new();
        for (id, queue, is_queued) in self.jobs {
            if !is_queued || self.cancelled.binary_search(&id).is_ok() {
                continue;
            }
            match counts.binary_search_by(|(existing, _)| existing.cmp(&queue)) {
                Ok(index) => counts[index].1 += 1,
                Err(index) => counts.insert(index, (queue, 1)),
            }
        }
        counts
    }
}

fn is_queued(progress: &Progress) -> bool {
    progress.phase() == Phase::Live && !progress.has_started()
}
