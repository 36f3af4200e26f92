//! Memory that a job takes of the owner of its shard.

use std::mem::size_of;

use crate::job::{JobId, JobSpec, StepSpec};
use crate::shard::{Job, JobKey, StepState};

/// Header and rounding of an allocation.
const ALLOCATION_BYTES: usize = 16;

/// A slot of a job in the arena, which doubles as it grows, and its entry in the sorted index.
const SLOT_BYTES: usize = 2 * (size_of::<Job>() + size_of::<(JobId, JobKey)>());

/// A step as specified, its state, its place in the critical path and its allocations.
const STEP_BYTES: usize =
    size_of::<StepSpec>() + size_of::<StepState>() + size_of::<u64>() + 2 * ALLOCATION_BYTES;

/// What a job takes of the bounds of its shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobSize {
    pub tasks: u64,
    /// Bytes of the job without its tasks.
    pub bytes: u64,
}

fn text_bytes(text: &str) -> usize {
    if text.is_empty() {
        return 0;
    }
    text.len() + ALLOCATION_BYTES
}

fn step_bytes(step: &StepSpec) -> usize {
    let texts = [&step.label, &step.data_rack, &step.image];
    let texts: usize = texts.into_iter().map(|text| text_bytes(text)).sum();
    STEP_BYTES + texts + step.after.len() * size_of::<u32>()
}

/// Bytes that the owner of a shard needs for a live job, its tasks left out.
#[must_use]
pub fn job_bytes(job: &JobSpec) -> u64 {
    let steps: usize = job.steps.iter().map(step_bytes).sum();
    // The queue is kept as accepted and as configured at present.
    let queue = job.queue.iter();
    let queue: usize = queue
        .map(|queue| 2 * (text_bytes(&queue.name) + text_bytes(&queue.service)))
        .sum();
    (SLOT_BYTES + text_bytes(&job.command) + queue + steps) as u64
}

impl JobSize {
    /// Size of a job once it is accepted.
    #[must_use]
    pub fn of(job: &JobSpec) -> Self {
        Self {
            tasks: job.steps.iter().map(|step| u64::from(step.tasks)).sum(),
            bytes: job_bytes(job),
        }
    }
}
