//! Simulated backend server.

use std::collections::{BTreeMap, BTreeSet};

use primrosestack_core::prelude::*;
use smol_str::SmolStr;

#[derive(Clone, Debug)]
pub struct StartedAttempt {
    pub task: TaskId,
    pub size: Resources,
    pub lease_end_ms: u64,
    pub state: TaskState,
    pub checkpoint: Option<SmolStr>,
    pub resumed_from: Option<SmolStr>,
}

/// A backend server that behaves as the design assumes (section 11).
#[derive(Clone, Debug, Default)]
pub struct Backend {
    pub highest_epoch: Epoch,
    pub owner: Option<HostId>,
    pub boot_id: u64,
    pub attempts: BTreeMap<Attempt, StartedAttempt>,
    pub acknowledged_attempts: BTreeSet<Attempt>,
    pub fails_all: bool,
    /// Epoch and owner of the latest accepted command.
    last_command: Option<(Epoch, HostId)>,
}

impl Backend {
    /// Stops attempts whose lease has expired.
    pub fn expire_leases(&mut self, now: u64) {
        for attempt in self.attempts.values_mut() {
            if attempt.state == TaskState::Running && now >= attempt.lease_end_ms {
                attempt.state = TaskState::Stopped;
            }
        }
    }

    pub fn running(&self) -> impl Iterator<Item = TaskId> {
        let attempts = self.attempts.values();
        attempts
            .filter(|attempt| attempt.state == TaskState::Running)
            .map(|attempt| attempt.task)
    }

    fn report(&self, now: u64) -> ServerReply {
        let tasks = self.attempts.iter().map(|(attempt, started)| TaskReport {
            task: started.task,
            attempt: *attempt,
            state: started.state.clone(),
            checkpoint: started.checkpoint.clone(),
            used: started.size,
            slowdown_permille: 1_000,
        });
        ServerReply::Report(Report {
            stamp: ServerTimestamp(now),
            boot_id: self.boot_id,
            tasks: tasks.collect(),
            request_slowdown_permille: 1_000,
            requests_running: 0,
            tasks_size: Resources::default(),
        })
    }

    /// Fails if the server accepts commands of two owners under one epoch, or of a lower epoch than before. It does
    /// not rely on the fencing of `command`.
    fn check_single_owner(&mut self, owner: &HostId, epoch: Epoch) {
        if let Some((last, holder)) = &self.last_command {
            assert!(epoch >= *last, "accepted {epoch:?} after {last:?}");
            let is_held = epoch > *last || owner == holder;
            assert!(is_held, "two owners command the server under {epoch:?}");
        }
        self.last_command = Some((epoch, owner.clone()));
    }

    pub fn command(
        &mut self,
        now: u64,
        owner: &HostId,
        epoch: Epoch,
        command: &ServerCommand,
    ) -> ServerReply {
        self.expire_leases(now);
        let is_other =
            epoch == self.highest_epoch && self.owner.as_ref().is_some_and(|o| o != owner);
        if epoch < self.highest_epoch || is_other {
            let highest = self.highest_epoch;
            return ServerReply::Fenced { highest };
        }
        self.highest_epoch = epoch;
        self.owner = Some(owner.clone());
        self.check_single_owner(owner, epoch);
        match command {
            ServerCommand::Claim => self.report(now),
            ServerCommand::Renew {
                stamp,
                lease_ms,
                attempts,
                acknowledged,
            } => {
                for attempt in attempts {
                    if let Some(started) = self.attempts.get_mut(attempt) {
                        started.lease_end_ms = started.lease_end_ms.max(stamp.0 + lease_ms);
                    }
                }
                for attempt in acknowledged {
                    self.attempts.remove(attempt);
                    self.acknowledged_attempts.insert(*attempt);
                }
                self.report(now)
            }
            ServerCommand::Start {
                stamp,
                lease_ms,
                task,
                attempt,
                size,
                resume,
                ..
            } => {
                let lease_end_ms = stamp.0 + lease_ms;
                let is_known = self.attempts.contains_key(attempt)
                    || self.acknowledged_attempts.contains(attempt);
                if is_known || now >= lease_end_ms || stamp.0 > now {
                    return ServerReply::Refused;
                }
                let state = if self.fails_all {
                    TaskState::Failed { code: 1 }
                } else {
                    TaskState::Running
                };
                let started = StartedAttempt {
                    task: *task,
                    size: *size,
                    lease_end_ms,
                    state,
                    checkpoint: resume.clone(),
                    resumed_from: resume.clone(),
                };
                self.attempts.insert(*attempt, started);
                ServerReply::Done
            }
            ServerCommand::Checkpoint { attempt } => match self.attempts.get_mut(attempt) {
                Some(started) if started.state == TaskState::Running => {
                    let checkpoint: SmolStr =
                        format!("c{}.{}", attempt.term, attempt.counter).into();
                    started.checkpoint = Some(checkpoint.clone());
                    ServerReply::Checkpointed { checkpoint }
                }
                _ => ServerReply::Refused,
            },
            ServerCommand::Throttle { .. } => ServerReply::Done,
            ServerCommand::Stop { attempt } => {
                if let Some(started) = self.attempts.get_mut(attempt)
                    && started.state == TaskState::Running
                {
                    started.state = TaskState::Stopped;
                }
                ServerReply::Done
            }
        }
    }
}
