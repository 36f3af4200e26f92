//! Handover of a shard from an owner to its successor.
//!
//! The handover lists the tasks that the predecessor may have started, so that the successor can start all others at
//! once. Without it, the successor waits for a report of every server, or for all leases to expire, before it starts a
//! task that the predecessor may have started. A predecessor that lost the store can still answer its successor.

use crate::bounds::{Bounds, LEASE_MS};
use crate::job::{JobId, TaskId};
use crate::record::Phase;
use crate::shard::Shard;

/// Task that the owner may have started, or whose end is not recorded.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct InFlightTask {
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    #[prost(uint32, tag = "2")]
    pub occurrence: u32,
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Index of the task within the step.
    #[prost(uint32, tag = "4")]
    pub index: u32,
}

impl InFlightTask {
    fn id(&self) -> TaskId {
        TaskId {
            job: JobId(self.job),
            occurrence: self.occurrence,
            step: self.step,
            index: self.index,
        }
    }
}

/// Message from an owner that gives up its term to its successor.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Handover {
    /// Term that the owner gave up.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Tasks that may be running, or whose ends the successor has to learn from the servers.
    #[prost(message, repeated, tag = "2")]
    pub in_flight: Vec<InFlightTask>,
    /// Whether all leases and requests of earlier terms have expired.
    #[prost(bool, tag = "3")]
    pub settled: bool,
}

impl Shard {
    /// Returns the handover for the successor. The shard must not send requests afterwards.
    #[must_use]
    pub fn handover(&self) -> Handover {
        let mut in_flight = Vec::new();
        for (key, job) in &self.jobs {
            let is_recorded = job.recorded_version >= job.version;
            if job.recorded_phase != Phase::Live {
                continue;
            }
            for (task_ref, task) in job.tasks(key) {
                // The successor learns unrecorded ends from the servers: such a task may be done or out of attempts.
                let has_unrecorded_end = !is_recorded && task.last_run > 0;
                if task.runs.is_empty() && !task.unresolved && !has_unrecorded_end {
                    continue;
                }
                in_flight.push(InFlightTask {
                    job: job.id.0,
                    occurrence: task_ref.occurrence,
                    step: task_ref.step,
                    index: task_ref.index,
                });
            }
        }
        Handover {
            term: self.term,
            in_flight,
            settled: self.settled,
        }
    }

    /// Queues all tasks that the predecessor did not have in flight. The predecessor's own leases expire soon; leases
    /// of earlier owners are known to have expired only if the predecessor had settled.
    pub fn apply_handover(&mut self, handover: &Handover, now_ms: u64) {
        if self.settled || handover.term + 1 != self.term {
            return;
        }
        let mut in_flight: Vec<TaskId> = handover.in_flight.iter().map(InFlightTask::id).collect();
        in_flight.sort_unstable();
        let mut released = Vec::new();
        for (key, job) in &self.jobs {
            for (task_ref, task) in job.tasks(key) {
                if task.unresolved && in_flight.binary_search(&self.task_id(task_ref)).is_err() {
                    released.push(task_ref);
                }
            }
        }
        self.log_decision(
            "handover_taken",
            None,
            None,
            [
                ("era", self.term),
                ("held", in_flight.len() as u64),
                ("freed", released.len() as u64),
            ],
        );
        for task_ref in released {
            self.task_mut(task_ref).unresolved = false;
            self.enqueue_if_ready(task_ref, now_ms);
        }
        if handover.settled {
            // All leases of owners before the predecessor have expired, as if it had owned the shard for that long.
            self.predecessor_ended(self.bounds.predecessor_expiry_ms(), now_ms);
        }
    }

    /// Records that the predecessor sends no more requests and began its term at least `owned_for_ms` ago. If all
    /// leases of earlier owners have expired in that time, only the predecessor's own leases are waited for.
    pub fn predecessor_ended(&mut self, owned_for_ms: u64, now_ms: u64) {
        if owned_for_ms < self.bounds.predecessor_expiry_ms() {
            return;
        }
        let lease_ms = LEASE_MS.min(self.bounds.lease_max_ms);
        self.settle_deadline_ms = self
            .settle_deadline_ms
            .min(now_ms + Bounds::lease_upper_bound_ms(lease_ms));
    }
}
