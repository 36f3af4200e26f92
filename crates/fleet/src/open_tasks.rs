//! Open work of a shard, as its owner reports it and as the hosts that accept jobs know it.

use smol_str::SmolStr;

use crate::footprint::JobSize;
use crate::intake::{Load, service_of};
use crate::job::JobSpec;
use crate::shard::{Job, Shard, TaskRef, to_u32};

/// Queues whose open work is reported. A further queue has less than a sixteenth of all, far below the bound of a queue.
pub const QUEUES_REPORTED_MAX: usize = 16;

/// Time within which an accepted job is expected in the report of its shard: the store's answer, the watch and the
/// interval of reports.
pub const RECEIVED_WITHIN_MS: u64 = 1_000;

/// Memory of the owner for a waiting task, the sort of a plan included: 363 bytes in the process with 100,000 and 200,000 of
/// them, 379 with 20,000 (release build).
pub const OPEN_TASK_BYTES: u64 = 384;

/// Open work of a queue.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QueueTasks {
    #[prost(string, tag = "1")]
    pub queue: String,
    #[prost(uint64, tag = "2")]
    pub tasks: u64,
    /// Bytes of its jobs without their tasks.
    #[prost(uint64, tag = "3")]
    pub bytes: u64,
    /// Part of `tasks` in jobs that no known server could complete.
    #[prost(uint64, tag = "4")]
    pub unserved_tasks: u64,
    /// Part of `bytes` of these jobs.
    #[prost(uint64, tag = "5")]
    pub unserved_bytes: u64,
    /// Tombstones, if there are many of them.
    #[prost(uint64, tag = "6")]
    pub tombstones: u64,
}

/// What a shard may hold, by the memory of its owner.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ShardLimits {
    /// Tasks of jobs that have not ended, done ones included.
    #[prost(uint64, tag = "1")]
    pub open_tasks_max: u64,
    /// Bytes of jobs without their tasks, until the end of the job is recorded.
    #[prost(uint64, tag = "2")]
    pub job_bytes_max: u64,
    /// Ended jobs whose status is retained.
    #[prost(uint64, tag = "3")]
    pub ended_jobs_max: u64,
}

/// Open work of a shard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OpenTasks {
    /// Tasks of jobs that have not ended, done ones included.
    #[prost(uint64, tag = "1")]
    pub total: u64,
    /// The queues with the most open work, sorted by name.
    #[prost(message, repeated, tag = "2")]
    pub queues: Vec<QueueTasks>,
    /// Bytes of jobs without their tasks.
    #[prost(uint64, tag = "3")]
    pub bytes: u64,
    /// Part of `total` in jobs that no known server could complete.
    #[prost(uint64, tag = "4")]
    pub unserved_tasks: u64,
    /// Part of `bytes` of these jobs.
    #[prost(uint64, tag = "5")]
    pub unserved_bytes: u64,
    /// Ended jobs whose status is retained.
    #[prost(uint64, tag = "6")]
    pub ended_jobs: u64,
    /// Time until the first of these is purged, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub purge_in_ms: u64,
    /// Limits of the owner; `None` from owners of earlier versions.
    #[prost(message, optional, tag = "8")]
    pub limits: Option<ShardLimits>,
    /// Tombstones that the owner has to remove.
    #[prost(uint64, tag = "9")]
    pub tombstones: u64,
}

impl QueueTasks {
    #[must_use]
    pub fn size(&self) -> JobSize {
        JobSize {
            tasks: self.tasks,
            bytes: self.bytes,
        }
    }

    #[must_use]
    pub fn unserved(&self) -> JobSize {
        JobSize {
            tasks: self.unserved_tasks,
            bytes: self.unserved_bytes,
        }
    }

    fn memory_bytes(&self) -> u64 {
        self.bytes + self.tasks * OPEN_TASK_BYTES
    }
}

impl OpenTasks {
    fn find(&self, queue: &str) -> Result<usize, usize> {
        self.queues
            .binary_search_by(|known| known.queue.as_str().cmp(queue))
    }

    /// Open work of a queue; none if it is not reported.
    #[must_use]
    pub fn of_queue(&self, queue: &str) -> QueueTasks {
        let found = self.find(queue);
        found.map_or_else(
            |_| QueueTasks::default(),
            |index| self.queues[index].clone(),
        )
    }

    #[must_use]
    pub fn size(&self) -> JobSize {
        JobSize {
            tasks: self.total,
            bytes: self.bytes,
        }
    }

    #[must_use]
    pub fn unserved(&self) -> JobSize {
        JobSize {
            tasks: self.unserved_tasks,
            bytes: self.unserved_bytes,
        }
    }

    fn queue_index(&mut self, queue: &str) -> usize {
        self.find(queue).unwrap_or_else(|index| {
            let queue = QueueTasks {
                queue: queue.to_owned(),
                ..QueueTasks::default()
            };
            self.queues.insert(index, queue);
            index
        })
    }

    /// Sets the number of tombstones in all, and those of the queues with many of them.
    pub fn set_tombstones(&mut self, total: u64, queues: &[(SmolStr, u64)]) {
        self.tombstones = total;
        for (queue, tombstones) in queues {
            let index = self.queue_index(queue);
            self.queues[index].tombstones = *tombstones;
        }
    }

    /// Adds a job, or what is left of it.
    pub fn add(&mut self, queue: &str, size: JobSize, is_served: bool) {
        let index = self.queue_index(queue);
        let of_queue = &mut self.queues[index];
        // The amounts come from other hosts.
        let sums = [
            (&mut self.total, size.tasks),
            (&mut self.bytes, size.bytes),
            (&mut of_queue.tasks, size.tasks),
            (&mut of_queue.bytes, size.bytes),
        ];
        for (sum, added) in sums {
            *sum = sum.saturating_add(added);
        }
        if is_served {
            return;
        }
        let sums = [
            (&mut self.unserved_tasks, size.tasks),
            (&mut self.unserved_bytes, size.bytes),
            (&mut of_queue.unserved_tasks, size.tasks),
            (&mut of_queue.unserved_bytes, size.bytes),
        ];
        for (sum, added) in sums {
            *sum = sum.saturating_add(added);
        }
    }

    /// Keeps the queues with the most open work.
    fn shorten(&mut self) {
        self.queues
            .sort_by(|a, b| (b.memory_bytes(), &a.queue).cmp(&(a.memory_bytes(), &b.queue)));
        self.queues.truncate(QUEUES_REPORTED_MAX);
        self.queues.sort_by(|a, b| a.queue.cmp(&b.queue));
    }
}

#[must_use]
pub fn queue_of(job: &JobSpec) -> &str {
    job.queue.as_ref().map_or("", |queue| queue.name.as_str())
}

/// Whether each step of a job could run in a shard whose load is known.
#[must_use]
pub fn is_served(loads: &[Option<&Load>], job: &JobSpec) -> bool {
    let service = service_of(job);
    let mut steps = job.steps.iter();
    steps.all(|step| {
        let mut known = loads.iter().flatten();
        known.any(|load| load.could_run(service, step))
    })
}

#[derive(Clone, Debug)]
struct SentJob {
    sent_ms: u64,
    queue: SmolStr,
    size: JobSize,
    is_served: bool,
}

/// Open work of a shard as an accepting host knows it: that of the last report and that of jobs sent since.
///
/// It is kept while the owner does not respond, since the jobs that are sent to it wait until then.
#[derive(Clone, Debug, Default)]
pub struct OpenTasksView {
    known: OpenTasks,
    /// Jobs that the next report may not contain, oldest first.
    sent: Vec<SentJob>,
}

impl OpenTasksView {
    /// Applies a report as of `updated_ms`.
    pub fn apply(&mut self, reported: OpenTasks, updated_ms: u64) {
        self.known = reported;
        self.sent
            .retain(|job| job.sent_ms + RECEIVED_WITHIN_MS > updated_ms);
        for job in &self.sent {
            self.known.add(&job.queue, job.size, job.is_served);
        }
    }

    /// Counts a job that is being sent to the shard.
    pub fn add(&mut self, job: &JobSpec, is_served: bool, now_ms: u64) {
        let (queue, size) = (queue_of(job), JobSize::of(job));
        self.known.add(queue, size, is_served);
        self.sent.push(SentJob {
            sent_ms: now_ms,
            queue: queue.into(),
            size,
            is_served,
        });
    }

    #[must_use]
    pub fn known(&self) -> &OpenTasks {
        &self.known
    }
}

impl Load {
    /// Whether the owner has the memory for a job that comes from another shard.
    pub(crate) fn has_room_for(&self, job: &JobSpec) -> bool {
        let Some(open) = &self.open_tasks else {
            return true;
        };
        let Some(limits) = open.limits else {
            return true;
        };
        let JobSize { tasks, bytes } = JobSize::of(job);
        let has_task_room = open.total.saturating_add(tasks) <= limits.open_tasks_max;
        let has_byte_room = open.bytes.saturating_add(bytes) <= limits.job_bytes_max;
        open.total == 0 || has_task_room && has_byte_room
    }

    /// Counts a job that is sent to the shard.
    pub(crate) fn count_job(&mut self, job: &JobSpec) {
        let open = self.open_tasks.get_or_insert_default();
        open.add(queue_of(job), JobSize::of(job), true);
    }
}

impl Job {
    /// Tasks of occurrences that are not done. Those of done ones stay too, but a recurring job must not keep others out for
    /// ever.
    pub(crate) fn held_tasks(&self) -> u64 {
        let mut tasks = 0;
        for occurrence in &self.occurrences {
            if occurrence.steps.iter().all(|step| step.remaining == 0) {
                continue;
            }
            let steps = occurrence.steps.iter();
            tasks += steps.map(|step| step.tasks.len() as u64).sum::<u64>();
        }
        tasks
    }

    /// Whether some server of a load could run each step that is not done.
    fn is_served_by(&self, load: &Load) -> bool {
        let service = self.queue.service.as_str();
        let has_unopened = to_u32(self.occurrences.len()) < self.spec.occurrences();
        for (index, step) in self.spec.steps.iter().enumerate() {
            let mut opened = self.occurrences.iter();
            let is_left =
                has_unopened || opened.any(|occurrence| occurrence.steps[index].remaining > 0);
            if is_left && !load.could_run(service, step) {
                return false;
            }
        }
        true
    }
}

impl Shard {
    /// Sets what the memory of the owner allows the shard to hold.
    #[must_use]
    pub fn with_limits(mut self, limits: ShardLimits) -> Self {
        self.limits = Some(limits);
        self
    }

    /// Whether a task may be delegated to a shard, which then holds its whole job.
    pub(crate) fn may_delegate_to(&self, task_ref: TaskRef, domain: &SmolStr, load: &Load) -> bool {
        let job = &self.jobs[task_ref.job];
        job.delegate_domains.binary_search(domain).is_ok() || load.has_room_for(&job.spec)
    }

    /// Counts the job of a task that is delegated to a shard, unless the shard has it already.
    pub(crate) fn count_delegated(&self, task_ref: TaskRef, domain: &SmolStr, load: &mut Load) {
        let job = &self.jobs[task_ref.job];
        if job.delegate_domains.binary_search(domain).is_err() {
            load.count_job(&job.spec);
        }
    }

    /// Work that takes memory of the owner; `load` tells the servers.
    #[must_use]
    pub fn open_tasks(&self, load: &Load, now_ms: u64) -> OpenTasks {
        let mut open = OpenTasks::default();
        for job in self.jobs.values() {
            // Done tasks, and an ended job until its end is recorded, take memory like the others.
            let size = JobSize {
                tasks: job.held_tasks(),
                bytes: job.bytes,
            };
            let is_served = !job.is_live() || job.is_served_by(load);
            open.add(&job.queue.name, size, is_served);
        }
        open.shorten();
        open.ended_jobs = self.ended_jobs.len() as u64;
        let purge_ms = self.next_purge_ms();
        open.purge_in_ms = purge_ms.map_or(0, |purge_ms| purge_ms.saturating_sub(now_ms));
        open.limits = self.limits;
        open
    }
}
