//! Pending tasks: submission, queueing in a rack pool, and removal.

use crate::fairness::ClientKey;
use crate::ids::TaskId;
use crate::placement::{Scheduler, TaskRequest};
use crate::server_choice::PendingTask;
use crate::sizes::SubmittedTask;
use crate::time::{DurationMs, MonoMs};

/// Scheduling state of a known task.
pub(crate) enum SchedulingState {
    Pending {
        pool: u32,
        urgent: bool,
        urgent_at: Option<MonoMs>,
        client: ClientKey,
        order: u64,
        sequence: u64,
    },
    /// Held back until the first tasks of its job have shown their use of memory.
    HeldBack,
    Running(u32),
}

impl Scheduler {
    /// Adds a pending task. A known task is left as it is; an evicted one has to be removed first.
    pub fn submit(&mut self, now: MonoMs, request: TaskRequest) {
        let TaskRequest {
            task,
            team,
            client,
            kind,
            size: declared,
            run_ms,
            finish_by,
            rack_pool,
        } = request;
        if self.states.contains_key(&task) {
            return;
        }
        let pool = self.pool_at(rack_pool);
        let client = self.accounts.acquire(&team, &client);
        self.sequence += 1;
        let sequence = self.sequence;
        // An evicted task has already had its turn, so it is queued before the other tasks of its client.
        let order = if self.history.count(task) > 0 {
            0
        } else {
            finish_by.map_or(u64::MAX, |time| time.0)
        };
        let pending = PendingTask {
            task,
            kind: self.interference.kind(&kind),
            declared,
            run_ms,
            finish_by,
            submitted: now,
        };
        let held = SubmittedTask {
            pending,
            client,
            pool,
            order,
            sequence,
        };
        match self.sizes.admit(now, held) {
            Some(admitted) => self.enqueue(admitted),
            None => {
                self.states.insert(task, SchedulingState::HeldBack);
            }
        }
    }

    /// Queues tasks that are no longer held back.
    pub(crate) fn enqueue_all(&mut self, now: MonoMs, released: Vec<SubmittedTask>) {
        for held in released {
            if let Some(admitted) = self.sizes.admit(now, held) {
                self.enqueue(admitted);
            }
        }
    }

    /// Queues a task in its rack pool.
    pub(crate) fn enqueue(&mut self, admitted: SubmittedTask) {
        let SubmittedTask {
            pending,
            client,
            pool,
            order,
            sequence,
        } = admitted;
        let task = pending.task;
        let urgent_at = pending
            .finish_by
            .map(|by| urgent_from(pending.submitted, by, pending.run_ms));
        let found = &mut self.pools[pool as usize];
        found
            .normal
            .push(&mut self.accounts, client, order, sequence, pending);
        if let Some(time) = urgent_at {
            found.urgent_at.insert((time, task));
        }
        let state = SchedulingState::Pending {
            pool,
            urgent: false,
            urgent_at,
            client,
            order,
            sequence,
        };
        self.states.insert(task, state);
        self.ready.insert(pool);
    }

    /// Removes a pending or running task and frees its reservation.
    pub fn remove(&mut self, now: MonoMs, task: TaskId) {
        match self.states.remove(&task) {
            None => {}
            Some(SchedulingState::Running(at)) => self.finish(now, at),
            Some(SchedulingState::HeldBack) => {
                if let Some(held) = self.sizes.withdraw(task) {
                    self.accounts.release(held.client);
                }
            }
            Some(SchedulingState::Pending {
                pool,
                urgent,
                urgent_at,
                client,
                order,
                sequence,
            }) => {
                let found = &mut self.pools[pool as usize];
                let queue = if urgent {
                    &mut found.urgent
                } else {
                    &mut found.normal
                };
                queue.remove(&mut self.accounts, client, order, sequence);
                if let Some(time) = urgent_at {
                    found.urgent_at.remove(&(time, task));
                }
                found.end_drain(task);
                self.accounts.release(client);
                self.history.remove(task);
                let released = self.sizes.task_left(now, task.job, false);
                self.enqueue_all(now, released);
            }
        }
    }

    /// Moves tasks that have become urgent to the queue that is served first.
    pub(crate) fn promote_urgent(&mut self, now: MonoMs, pool: u32) {
        let found = &mut self.pools[pool as usize];
        while let Some(&(time, task)) = found.urgent_at.first() {
            if time > now {
                return;
            }
            found.urgent_at.pop_first();
            let Some(SchedulingState::Pending {
                urgent,
                urgent_at,
                client,
                order,
                sequence,
                ..
            }) = self.states.get_mut(&task)
            else {
                continue;
            };
            *urgent = true;
            *urgent_at = None;
            let moved = found
                .normal
                .remove(&mut self.accounts, *client, *order, *sequence);
            if let Some(pending) = moved {
                found
                    .urgent
                    .push(&mut self.accounts, *client, *order, *sequence, pending);
            }
        }
    }
}

/// When a task with a finish-by time becomes urgent: after half of its time, or earlier if three declared run times
/// would no longer fit, since declared run times are often too short.
fn urgent_from(now: MonoMs, finish_by: MonoMs, run_ms: u64) -> MonoMs {
    let half = now + DurationMs(finish_by.since(now).0 / 2);
    half.min(finish_by - DurationMs(run_ms.saturating_mul(3)))
}
