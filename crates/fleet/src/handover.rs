//! What an owner tells its successor: which tasks it may have started, so that all others can start at once.
//!
//! Without it, a successor has to wait for every server of the shard, or for the end of all leases, before it starts a
//! task that its predecessor may have started. A predecessor that lost the store can still be asked by its successor.

use crate::bounds::{Bounds, LEASE_MS};
use crate::job::{JobId, TaskId};
use crate::record::Phase;
use crate::shard::Shard;

/// A task that its owner may have started, or whose end is not recorded.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct InFlightTask {
    /// Job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Occurrence.
    #[prost(uint32, tag = "2")]
    pub occurrence: u32,
    /// Step.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Task within the step.
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

/// What an owner held when it gave up its era.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Handover {
    /// The era.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Tasks that may run, or whose ends the successor has to learn from their servers.
    #[prost(message, repeated, tag = "2")]
    pub in_flight: Vec<InFlightTask>,
    /// Whether no order or lease of an era before it could be in force any more.
    #[prost(bool, tag = "3")]
    pub settled: bool,
}

impl Shard {
    /// What a successor has to wait for. The shard must not give any orders afterwards.
    #[must_use]
    pub fn handover(&self) -> Handover {
        let mut in_flight = Vec::new();
        for (key, job) in &self.jobs {
            let is_recorded = job.recorded_version >= job.version;
            if job.recorded_phase != Phase::Live {
                continue;
            }
            for (at, task) in job.tasks(key) {
                // Ends that are not recorded are learned from the servers: a task may be done, or have failed too often.
                let has_unrecorded_end = !is_recorded && task.last_run > 0;
                if task.runs.is_empty() && !task.unresolved && !has_unrecorded_end {
                    continue;
                }
                in_flight.push(InFlightTask {
                    job: job.id.0,
                    occurrence: at.occurrence,
                    step: at.step,
                    index: at.index,
                });
            }
        }
        Handover {
            term: self.term,
            in_flight,
            settled: self.settled,
        }
    }

    /// Takes what the predecessor held: all other tasks may start. The leases that it gave end soon, but those of owners
    /// before it only if it had waited for them itself.
    pub fn apply_handover(&mut self, handover: &Handover, now_ms: u64) {
        if self.settled || handover.term + 1 != self.term {
            return;
        }
        let mut in_flight: Vec<TaskId> = handover.in_flight.iter().map(InFlightTask::id).collect();
        in_flight.sort_unstable();
        let mut freed = Vec::new();
        for (key, job) in &self.jobs {
            for (at, task) in job.tasks(key) {
                if task.unresolved && in_flight.binary_search(&self.task_id(at)).is_err() {
                    freed.push(at);
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
                ("freed", freed.len() as u64),
            ],
        );
        for at in freed {
            self.task_mut(at).unresolved = false;
            self.make_ready(at, now_ms);
        }
        if handover.settled {
            self.predecessor_ended(self.bounds.predecessor_expiry_ms(), now_ms);
        }
    }

    /// The predecessor gives no more orders, and began its era at least `owned_ms` ago. If that is longer than any lease of
    /// owners before it, only its own leases are waited for.
    pub fn predecessor_ended(&mut self, owned_ms: u64, now_ms: u64) {
        if owned_ms < self.bounds.predecessor_expiry_ms() {
            return;
        }
        let lease_ms = LEASE_MS.min(self.bounds.lease_max_ms);
        self.settle_deadline_ms = self
            .settle_deadline_ms
            .min(now_ms + Bounds::lease_upper_bound_ms(lease_ms));
    }
}
