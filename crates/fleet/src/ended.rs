//! Ended jobs, of which only the status is retained.

use crate::job::JobId;
use crate::record::Phase;
use crate::shard::{JobStatus, Shard};

/// Status of an ended job, kept for the retention period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedJob {
    pub id: JobId,
    pub ended_ms: u64,
    pub phase: Phase,
    /// Whether another shard is the job's home.
    pub is_delegated: bool,
}

impl Shard {
    pub(crate) fn find_ended(&self, id: JobId) -> Option<&EndedJob> {
        let found = self.ended_jobs.binary_search_by_key(&id, |job| job.id);
        Some(&self.ended_jobs[found.ok()?])
    }

    /// Adds the status of an ended job that was read from the store.
    pub(crate) fn insert_ended(&mut self, job: EndedJob) {
        match self
            .ended_jobs
            .binary_search_by_key(&job.id, |known| known.id)
        {
            Ok(index) => self.ended_jobs[index] = job,
            Err(index) => self.ended_jobs.insert(index, job),
        }
    }

    /// Status of a job as shown to callers; an end is shown only once it is recorded.
    #[must_use]
    pub fn job_status(&self, id: JobId) -> Option<JobStatus> {
        let Some(key) = self.find_job(id) else {
            return Some(self.find_ended(id)?.phase.status(true));
        };
        let job = &self.jobs[key];
        Some(job.recorded_phase.status(job.started))
    }

    /// Drops all but the status of jobs whose end is recorded and that have no runs left.
    pub(crate) fn retire_ended_jobs(&mut self, now_ms: u64) {
        let retention_ms = self.bounds.retention_ms;
        let mut retired = Vec::new();
        for (key, job) in &self.jobs {
            let Some(ended_ms) = job.ended_ms else {
                continue;
            };
            let is_recorded =
                job.recorded_phase != Phase::Live && job.recorded_version == job.version;
            if !is_recorded || job.run_count > 0 {
                continue;
            }
            // A task that may have crashed a server still counts when that server is back.
            let is_suspected = || job.tasks(key).any(|(_, task)| task.is_suspected());
            let is_expired = now_ms >= ended_ms + retention_ms;
            if !is_expired && (!job.transfer_keys.is_empty() || is_suspected()) {
                continue;
            }
            retired.push(key);
            self.ended_jobs.push(EndedJob {
                id: job.id,
                ended_ms,
                phase: job.recorded_phase,
                is_delegated: job.is_delegated,
            });
        }
        if retired.is_empty() {
            return;
        }
        self.ended_jobs.sort_by_key(|job| job.id);
        for key in retired {
            self.jobs.remove(key);
        }
        let jobs = &self.jobs;
        self.job_index.retain(|&(_, key)| jobs.contains_key(key));
    }

    /// Purges recorded jobs whose retention period has passed.
    pub(crate) fn purge_ended_jobs(&mut self, now_ms: u64) {
        if self.next_purge_ms().is_none_or(|next_ms| now_ms < next_ms) {
            return;
        }
        let retention_ms = self.bounds.retention_ms;
        let is_expired = |job: &mut EndedJob| now_ms >= job.ended_ms + retention_ms;
        let expired = self.ended_jobs.extract_if(.., is_expired);
        self.purged
            .extend(expired.map(|job| (job.id, job.is_delegated)));
    }

    /// When the first of the ended jobs is purged; `None` if there is none.
    pub(crate) fn next_purge_ms(&self) -> Option<u64> {
        let first_ms = self.ended_jobs.iter().map(|job| job.ended_ms).min()?;
        Some(first_ms + self.bounds.retention_ms)
    }
}

impl Phase {
    /// Status shown for a recorded phase.
    #[must_use]
    pub fn status(self, is_started: bool) -> JobStatus {
        match self {
            Phase::Completed => JobStatus::Completed,
            Phase::Failed => JobStatus::Failed,
            Phase::Cancelled => JobStatus::Cancelled,
            Phase::Live if is_started => JobStatus::Running,
            Phase::Live => JobStatus::Queued,
        }
    }
}
