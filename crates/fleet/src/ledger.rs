//! Batches of state changes to be written to the store.

use smol_str::SmolStr;

use crate::job::{JobId, JobSpec};
use crate::record::{Phase, Progress, ServerSet, TaskRecord, Transfer};
use crate::shard::{Job, JobKey, Shard};

/// Maximum number of entries in a batch. The store takes 32 per transaction, of which the owner's condition and term
/// need two and the server list one.
const BATCH_ENTRIES_MAX: usize = 28;

/// Interval at which learned interference is written along with other records; it changes little after the first
/// seconds.
const INTERFERENCE_WRITE_INTERVAL_MS: u64 = 4_000;

/// Entries needed to purge one job.
const PURGED_JOB_ENTRIES: usize = 4;

/// Time for which ends that do not finish a job are collected, so that one call records several. The end of a job is
/// written at once, since its caller waits.
const BATCH_DELAY_MS: u64 = 60;

/// Recorded change of one job.
#[derive(Clone, Debug)]
pub struct JobRecord {
    pub id: JobId,
    pub progress: Progress,
    /// Whether the job has ended and its specification can be deleted.
    pub deletes_spec: bool,
    /// Whether another shard is the job's home.
    pub is_delegated: bool,
    /// Delegated tasks, with the failure domains they go to.
    pub transfers: Vec<(SmolStr, Transfer)>,
    /// Specification of the job for the delegates; present only with transfers.
    pub spec: Option<JobSpec>,
    /// Keys of transfers that are no longer needed.
    pub consumed_transfer_keys: Vec<SmolStr>,
    /// Version of the job that is recorded, which makes the keys of its transfers unique.
    pub version: u64,
}

/// Changes that are written in one transaction.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    pub jobs: Vec<JobRecord>,
    /// Jobs purged after the retention period, and whether another shard is their home.
    pub purged_jobs: Vec<(JobId, bool)>,
    /// Servers that may hold a lease, and learned interference; present only if due.
    pub servers: Option<ServerSet>,
    /// Version and phase of each recorded job.
    versions: Vec<(JobKey, u64, Phase)>,
    /// Servers that the batch records.
    server_names: Vec<SmolStr>,
}

impl Batch {
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.purged_jobs.is_empty() && self.servers.is_none()
    }
}

pub(crate) fn progress_of(key: JobKey, job: &Job) -> Progress {
    let mut progress = Progress {
        queue: job.queue.name.clone(),
        started: job.started,
        run_base: job.run_base,
        ..Progress::default()
    };
    progress.set_phase(job.phase);
    progress.delegate_domains = job
        .delegate_domains
        .iter()
        .map(ToString::to_string)
        .collect();
    if job.phase != Phase::Live {
        return progress;
    }
    for (task_ref, task) in job.tasks(key) {
        if !task.has_history() {
            continue;
        }
        progress.tasks.push(TaskRecord {
            occurrence: task_ref.occurrence,
            step: task_ref.step,
            index: task_ref.index,
            done: task.done,
            last_run: task.last_run,
            failed_runs: task.failed_runs.clone(),
            crashed_runs: task.crashed_runs.clone(),
            sole_crashes: task.sole_crashes,
            lapsed_runs: task.lapsed_runs.clone(),
            last_lapse_unix_ms: task.last_lapse_unix_ms.unwrap_or(0),
            waited_ms: 0,
            remote: task.remote,
            checkpoint: if task.done {
                String::new()
            } else {
                task.checkpoint.to_string()
            },
        });
    }
    progress
}

fn record_of(key: JobKey, job: &Job) -> JobRecord {
    let has_ended = job.phase != Phase::Live;
    let mut record = JobRecord {
        id: job.id,
        progress: progress_of(key, job),
        deletes_spec: has_ended && job.spec_stored,
        is_delegated: job.is_delegated,
        transfers: job.outbound_transfers.clone(),
        spec: (!job.outbound_transfers.is_empty()).then(|| job.spec.clone()),
        consumed_transfer_keys: Vec::new(),
        version: job.version,
    };
    if has_ended {
        // The rest is removed with later records of the job.
        let room = BATCH_ENTRIES_MAX.saturating_sub(record.entry_count());
        let keys = job.transfer_keys.iter().take(room);
        record.consumed_transfer_keys = keys.cloned().collect();
    }
    record
}

impl JobRecord {
    /// Number of transaction entries that the record needs; an ended job takes one per delegate for its cancellation.
    fn entry_count(&self) -> usize {
        let cancellations = if self.deletes_spec {
            self.progress.delegate_domains.len()
        } else {
            0
        };
        2 + cancellations
            + usize::from(self.must_tell_home())
            + 2 * self.transfers.len()
            + self.consumed_transfer_keys.len()
    }

    /// Whether the home shard has to be told that delegated tasks were given up.
    #[must_use]
    pub fn must_tell_home(&self) -> bool {
        self.is_delegated && self.progress.phase() == Phase::Failed
    }
}

impl Shard {
    /// Time at which the next batch is due; `None` if there is nothing to write.
    #[must_use]
    pub fn batch_due_ms(&self, now_ms: u64) -> Option<u64> {
        if self.servers_changed || !self.purged.is_empty() {
            return Some(now_ms);
        }
        let jobs = self.changed.iter().filter_map(|&key| self.jobs.get(key));
        jobs.filter(|job| job.version > job.recorded_version && !job.moving)
            .map(|job| {
                if job.is_live() {
                    job.unrecorded_since_ms + BATCH_DELAY_MS
                } else {
                    job.unrecorded_since_ms
                }
            })
            .min()
    }

    /// Takes the next batch. The caller must report the result with [`Self::batch_written`] or [`Self::batch_failed`];
    /// until then there is no other batch, which could be written before this one and be overwritten by it.
    pub fn take_batch(&mut self, now_ms: u64) -> Batch {
        let mut batch = Batch::default();
        if self.batch_in_flight {
            return batch;
        }
        if self.servers_changed
            || now_ms >= self.interference_recorded_ms + INTERFERENCE_WRITE_INTERVAL_MS
        {
            self.servers_changed = false;
            self.interference_recorded_ms = now_ms;
            batch.server_names = self.servers_to_record();
            let mut names: Vec<String> =
                batch.server_names.iter().map(ToString::to_string).collect();
            names.extend(self.unclaimed.iter().map(ToString::to_string));
            names.sort();
            names.dedup();
            batch.servers = Some(ServerSet {
                names,
                interference: self.interference.estimates().to_vec(),
            });
        }
        self.changed.sort();
        self.changed.dedup();
        let jobs = &self.jobs;
        self.changed.retain(|&key| {
            jobs.get(key)
                .is_some_and(|job| job.version > job.recorded_version)
        });
        self.changed
            .sort_by_key(|&key| (jobs[key].is_live(), jobs[key].unrecorded_since_ms));
        let mut entries = 0;
        for &key in &self.changed {
            let job = &self.jobs[key];
            if job.moving {
                continue;
            }
            let record = record_of(key, job);
            entries += record.entry_count();
            if entries > BATCH_ENTRIES_MAX && !batch.jobs.is_empty() {
                break;
            }
            batch.versions.push((key, job.version, job.phase));
            batch.jobs.push(record);
        }
        let purged_max = BATCH_ENTRIES_MAX.saturating_sub(entries) / PURGED_JOB_ENTRIES;
        batch.purged_jobs = self
            .purged
            .drain(..purged_max.min(self.purged.len()))
            .collect();
        self.batch_in_flight = !batch.is_empty();
        batch
    }

    /// Names of the registered servers that may hold a lease, sorted. One that has never answered holds none, and a
    /// successor would wait for it.
    fn servers_to_record(&self) -> Vec<SmolStr> {
        let mut names = Vec::new();
        for (name, key) in &self.server_index {
            let server = &self.servers[*key];
            let may_hold_lease = server.claimed || server.recorded;
            if may_hold_lease || self.unclaimed.binary_search(name).is_ok() {
                names.push(name.clone());
            }
        }
        names
    }

    /// Records that the batch is in the store.
    pub fn batch_written(&mut self, batch: &Batch) {
        self.batch_in_flight = false;
        for &(key, version, phase) in &batch.versions {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.recorded_version = job.recorded_version.max(version);
            let mut are_keys_left = false;
            if let Some(record) = batch.jobs.iter().find(|record| record.id == job.id) {
                job.outbound_transfers.drain(..record.transfers.len());
                job.transfer_keys
                    .drain(..record.consumed_transfer_keys.len());
                are_keys_left = !job.transfer_keys.is_empty();
            }
            job.recorded_phase = phase;
            if phase != Phase::Live {
                job.spec_stored = false;
                if are_keys_left {
                    job.mark_changed(job.unrecorded_since_ms);
                    self.changed.push(key);
                }
            }
        }
        for name in &batch.server_names {
            if let Ok(index) = self
                .server_index
                .binary_search_by(|(server_name, _)| server_name.cmp(name))
            {
                self.servers[self.server_index[index].1].recorded = true;
            }
        }
        let jobs = &self.jobs;
        let is_recorded = |job, version| {
            jobs.get(job)
                .is_none_or(|job: &Job| job.recorded_version >= version)
        };
        for server in self.servers.values_mut() {
            server.acknowledge(is_recorded);
        }
    }

    /// Schedules the batch to be written again, since it may not be in the store.
    pub fn batch_failed(&mut self, batch: Batch) {
        self.batch_in_flight = false;
        self.changed
            .extend(batch.versions.iter().map(|&(key, _, _)| key));
        self.servers_changed |= batch.servers.is_some();
        self.purged.extend(batch.purged_jobs);
    }
}
