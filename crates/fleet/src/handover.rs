//! Handover of a shard from earlier owners to their successor.
//!
//! A handover lists the tasks that an owner may have started, so that the successor can start all others at once.
//! Without it, the successor waits for a report of every server, or for all leases to expire, before it starts a task
//! that an earlier owner may have started. An owner that lost the store can still answer its successor.
//!
//! An owner whose own term was too short to settle does not know all tasks that may run. Its successor therefore asks
//! the owners before it as well, newest first, back to one that had settled.

use crate::bounds::{Bounds, LEASE_MS};
use crate::crash_handover::{RecentStarts, SuspectedTask};
use crate::job::{JobId, TaskId};
use crate::record::Phase;
use crate::shard::{Shard, TaskRef};

/// Task that the owner may have started, or whose end is not recorded.
#[derive(Clone, PartialEq, prost::Message)]
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
    /// Whether only owners before this one may have started the task.
    #[prost(bool, tag = "5")]
    pub inherited: bool,
    /// Highest run number that the owner used; 0 if unknown.
    #[prost(uint32, tag = "6")]
    pub last_run: u32,
    /// Numbers of the runs whose failures are not recorded.
    #[prost(uint32, repeated, tag = "7")]
    pub failed_runs: Vec<u32>,
}

impl InFlightTask {
    pub(crate) fn id(&self) -> TaskId {
        TaskId {
            job: JobId(self.job),
            occurrence: self.occurrence,
            step: self.step,
            index: self.index,
        }
    }
}

/// Message from an owner that gave up its term to a successor.
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
    /// Time until all leases of earlier terms have expired, in milliseconds; 0 if unknown or settled.
    #[prost(uint64, tag = "4")]
    pub settle_in_ms: u64,
    /// Whether the owner gave no orders in its term and does not know which tasks earlier owners started.
    #[prost(bool, tag = "5")]
    pub unopened: bool,
    /// Servers of earlier owners that never answered this one, so that it granted them no lease; sorted.
    #[prost(string, repeated, tag = "6")]
    pub unreached_servers: Vec<String>,
    /// Tasks that may have crashed servers.
    #[prost(message, repeated, tag = "7")]
    pub suspected_tasks: Vec<SuspectedTask>,
    /// Servers of which it is not known whether the last starts there crashed them.
    #[prost(message, repeated, tag = "8")]
    pub recent_starts: Vec<RecentStarts>,
    /// Ages of the recent losses of servers without a suspect, in milliseconds.
    #[prost(uint64, repeated, tag = "9")]
    pub loss_ages_ms: Vec<u64>,
}

impl Handover {
    /// Handover of an owner that has begun a term and not opened the shard.
    #[must_use]
    pub fn unopened(term: u64) -> Self {
        Self {
            term,
            unopened: true,
            ..Self::default()
        }
    }

    /// Time from the answer until all leases of earlier terms have expired, if known.
    fn earlier_leases_ms(&self) -> Option<u64> {
        match (self.settled, self.settle_in_ms) {
            (true, _) => Some(0),
            (false, 0) => None,
            (false, settle_in_ms) => Some(settle_in_ms),
        }
    }
}

/// Terms per shard whose handovers a host keeps; successors ask for terms within the time of one lease.
const KEPT_HANDOVERS_MAX: usize = 8;

/// Handovers of the terms in which this host owned a shard. A host may own a shard again before the successors of its
/// earlier term have asked.
#[derive(Clone, Debug, Default)]
pub struct PastTerms {
    /// Newest last.
    handovers: Vec<Handover>,
}

impl PastTerms {
    /// Keeps the handover of a term, instead of an earlier one of the same term.
    pub fn insert(&mut self, handover: Handover) {
        self.handovers
            .retain(|existing| existing.term != handover.term);
        self.handovers.push(handover);
        let excess = self.handovers.len().saturating_sub(KEPT_HANDOVERS_MAX);
        self.handovers.drain(..excess);
    }

    /// Forgets the handover of a term.
    pub fn remove(&mut self, term: u64) {
        self.handovers.retain(|existing| existing.term != term);
    }

    /// Handover of a term; `None` if this process did not own the shard in it.
    #[must_use]
    pub fn find(&self, term: u64) -> Option<&Handover> {
        self.handovers.iter().find(|handover| handover.term == term)
    }
}

/// Answer of an earlier owner to its successor; it gives no orders in its term afterwards.
#[derive(Clone, Debug)]
struct Answer {
    term: u64,
    received_ms: u64,
    /// When all leases of terms before this one have expired, if known.
    earlier_leases_end_ms: Option<u64>,
    /// `None` if the owner was restarted and no longer knows its tasks.
    handover: Option<Handover>,
}

impl Answer {
    /// Whether the owner may have granted a lease to a server.
    fn may_have_granted(&self, server: &str) -> bool {
        let Some(handover) = &self.handover else {
            return true;
        };
        let unreached = &handover.unreached_servers;
        unreached
            .binary_search_by(|name| name.as_str().cmp(server))
            .is_err()
    }
}

/// Answers of earlier owners, sorted by term.
#[derive(Clone, Debug, Default)]
pub(crate) struct Predecessors {
    answers: Vec<Answer>,
}

impl Predecessors {
    fn insert(&mut self, answer: Answer) {
        match self
            .answers
            .binary_search_by_key(&answer.term, |known| known.term)
        {
            Ok(index) => self.answers[index] = answer,
            Err(index) => self.answers.insert(index, answer),
        }
    }

    /// Answers of the owners directly before `term` without a gap, newest first, up to one that had settled.
    fn unbroken(&self, term: u64) -> Vec<&Answer> {
        let mut answers: Vec<&Answer> = Vec::new();
        let mut expected = term;
        for answer in self.answers.iter().rev() {
            if answer.term + 1 != expected {
                break;
            }
            expected = answer.term;
            answers.push(answer);
            if answer.earlier_leases_end_ms == Some(answer.received_ms) {
                break;
            }
        }
        answers
    }

    /// When all leases that earlier owners granted to a server have expired according to their answers.
    fn leases_end_ms(&self, term: u64, own_lease_ms: u64, server: &str) -> Option<u64> {
        let mut answered_end_ms = 0;
        let mut earliest: Option<u64> = None;
        for answer in self.unbroken(term) {
            if answer.may_have_granted(server) {
                answered_end_ms = answered_end_ms.max(answer.received_ms + own_lease_ms);
            }
            let earlier_end_ms = if answer.term <= 1 {
                Some(0)
            } else {
                answer.earlier_leases_end_ms
            };
            let Some(earlier_end_ms) = earlier_end_ms else {
                continue;
            };
            let end_ms = answered_end_ms.max(earlier_end_ms);
            earliest = Some(earliest.map_or(end_ms, |known| known.min(end_ms)));
        }
        earliest
    }

    /// Tasks that earlier owners may have in flight, with their highest run numbers if known, sorted; `None` if the tasks
    /// are not known.
    fn in_flight(&self, term: u64) -> Option<Vec<(TaskId, u32)>> {
        let mut known: Option<Vec<(TaskId, u32)>> = None;
        for answer in self.unbroken(term).into_iter().rev() {
            let Some(handover) = &answer.handover else {
                known = None;
                continue;
            };
            if handover.unopened {
                continue;
            }
            let mut tasks: Vec<(TaskId, u32)> = Vec::with_capacity(handover.in_flight.len());
            for task in &handover.in_flight {
                let id = task.id();
                if !task.inherited {
                    tasks.push((id, task.last_run));
                    continue;
                }
                let Some(earlier) = &known else {
                    tasks.push((id, 0));
                    continue;
                };
                if let Ok(index) = earlier.binary_search_by_key(&id, |(id, _)| *id) {
                    tasks.push(earlier[index]);
                }
            }
            tasks.sort_unstable();
            known = Some(tasks);
        }
        known
    }
}

impl Shard {
    /// Returns the handover for the successor. The shard must not send requests afterwards.
    #[must_use]
    pub fn handover(&self, now_ms: u64) -> Handover {
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
                    inherited: task.runs.is_empty() && !has_unrecorded_end,
                    last_run: task.last_run,
                    failed_runs: if is_recorded {
                        Vec::new()
                    } else {
                        task.failed_runs.clone()
                    },
                });
            }
        }
        let settle_in_ms = if self.settled {
            0
        } else {
            self.settle_deadline_ms.saturating_sub(now_ms).max(1)
        };
        Handover {
            term: self.term,
            in_flight,
            settled: self.settled,
            settle_in_ms,
            unopened: false,
            unreached_servers: self.unclaimed.iter().map(ToString::to_string).collect(),
            suspected_tasks: self.suspected_tasks(),
            recent_starts: self.recent_starts(),
            loss_ages_ms: self.loss_ages_ms(now_ms),
        }
    }

    /// Shortens the wait for earlier owners to the leases that these may have granted to the servers that have not
    /// answered yet.
    pub(crate) fn shorten_wait(&mut self) {
        let lease_ms = Bounds::lease_upper_bound_ms(LEASE_MS.min(self.bounds.lease_max_ms));
        let mut latest_ms = 0;
        for server in &self.unclaimed {
            let end_ms = self.predecessors.leases_end_ms(self.term, lease_ms, server);
            let Some(end_ms) = end_ms else { return };
            latest_ms = latest_ms.max(end_ms);
        }
        self.settle_deadline_ms = self.settle_deadline_ms.min(latest_ms);
    }

    /// Applies the handover of an earlier owner: queues all tasks that the owners before this one did not have in
    /// flight, and shortens the wait for their leases.
    pub fn apply_handover(&mut self, handover: &Handover, now_ms: u64) {
        if handover.term >= self.term {
            return;
        }
        self.inherit_losses(&handover.loss_ages_ms, now_ms);
        self.inherit_suspicions(handover, now_ms);
        self.inherit_failures(&handover.in_flight, now_ms);
        self.predecessors.insert(Answer {
            term: handover.term,
            received_ms: now_ms,
            earlier_leases_end_ms: handover.earlier_leases_ms().map(|wait_ms| now_ms + wait_ms),
            handover: Some(handover.clone()),
        });
        self.apply_answers(now_ms);
    }

    /// Counts the failures that an earlier owner did not record: the servers that list them may answer after the last run
    /// is known to have ended.
    fn inherit_failures(&mut self, in_flight: &[InFlightTask], now_ms: u64) {
        for known in in_flight {
            let Some(task_ref) = self.find_started_task(known.id(), now_ms) else {
                continue;
            };
            let task = self.task_mut(task_ref);
            let failures = task.failed_runs.len();
            for &run in &known.failed_runs {
                if !task.failed_runs.contains(&run) {
                    task.failed_runs.push(run);
                }
            }
            if task.failed_runs.len() > failures {
                self.mark_job_changed(task_ref.job, now_ms);
                self.fail_job_if_exhausted(task_ref, None, now_ms);
            }
        }
    }

    /// Records that the owner of an earlier term was restarted at least `owned_for_ms` after its term began.
    pub fn predecessor_ended(&mut self, term: u64, owned_for_ms: u64, now_ms: u64) {
        if term >= self.term {
            return;
        }
        let wait_ms = self.predecessor_expiry_ms.saturating_sub(owned_for_ms);
        self.predecessors.insert(Answer {
            term,
            received_ms: now_ms,
            earlier_leases_end_ms: Some(now_ms + wait_ms),
            handover: None,
        });
        self.apply_answers(now_ms);
    }

    fn apply_answers(&mut self, now_ms: u64) {
        if self.settled {
            return;
        }
        self.shorten_wait();
        let Some((held, freed)) = self.resolve_by_answers(now_ms) else {
            return;
        };
        self.log_decision(
            "handover_taken",
            None,
            None,
            [
                ("era", self.term),
                ("held", held),
                ("freed", freed),
                (
                    "settles_in_ms",
                    self.settle_deadline_ms.saturating_sub(now_ms),
                ),
            ],
        );
    }

    /// Queues all tasks that earlier owners did not have in flight by their answers. Returns how many they had, and how
    /// many were queued; `None` if the answers do not tell.
    pub(crate) fn resolve_by_answers(&mut self, now_ms: u64) -> Option<(u64, u64)> {
        let in_flight = self.predecessors.in_flight(self.term)?;
        let mut released = Vec::new();
        let mut awaited = Vec::new();
        for (key, job) in &self.jobs {
            for (task_ref, task) in job.tasks(key) {
                if !task.unresolved {
                    continue;
                }
                let id = self.task_id(task_ref);
                match in_flight.binary_search_by_key(&id, |(id, _)| *id) {
                    Ok(index) if !task.has_ended(in_flight[index].1) => {
                        awaited.push((task_ref, in_flight[index].1));
                    }
                    _ => released.push(task_ref),
                }
            }
        }
        for (task_ref, run) in awaited {
            self.task_mut(task_ref).awaited_run = run;
        }
        let counts = (in_flight.len() as u64, released.len() as u64);
        self.release_unresolved(released, now_ms);
        Some(counts)
    }

    /// Queues tasks that no earlier owner can have running any more. Long-running ones have waited since this owner read
    /// their job, or longer.
    pub(crate) fn release_unresolved(&mut self, released: Vec<TaskRef>, now_ms: u64) {
        for task_ref in released {
            self.task_mut(task_ref).unresolved = false;
            self.enqueue_if_ready(task_ref, now_ms);
            let arrived_ms = self.jobs[task_ref.job].arrived_ms;
            if self.task(task_ref).queued && self.step_spec(task_ref).long_running {
                let task = self.task_mut(task_ref);
                task.ready_since_ms = arrived_ms;
                task.queued_ms = arrived_ms;
            }
        }
    }

    /// Whether earlier owners can no longer have runs that this one does not know.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settled
    }
}
