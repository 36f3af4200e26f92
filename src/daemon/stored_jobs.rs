//! Jobs of a shard as the store has them, read in pages so that their encoded rows are not held all at once.

use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{Phase, Progress, StoredJob};
use primrosestack_platform::store::Item;
use smol_str::SmolStr;

use crate::daemon::inbox::{decode_or_log, decode_stored_job};
use crate::daemon::keys::{self, InboxKey};

/// What the store has of the jobs of a shard, merged from pages of its inbox and of its progress records.
///
/// Of ended jobs, whose number follows from the retention period, only what the shard retains is kept.
#[derive(Debug, Default)]
pub struct StoredJobs {
    /// Jobs with a specification or transfers, sorted.
    jobs: Vec<(JobId, StoredJob)>,
    cancelled: Vec<JobId>,
    /// Jobs of which a delegate has given a task up.
    given_up: Vec<JobId>,
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
                self.given_up.push(id);
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
        let jobs = &mut self.jobs;
        let mut mark = |ids: Vec<JobId>, mark_job: fn(&mut StoredJob)| {
            for id in ids {
                let found = jobs.binary_search_by_key(&id, |(existing, _)| *existing);
                if let Ok(index) = found {
                    mark_job(&mut jobs[index].1);
                }
            }
        };
        mark(self.cancelled, |job| job.cancelled = true);
        mark(self.given_up, |job| job.delegates_failed = true);
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
