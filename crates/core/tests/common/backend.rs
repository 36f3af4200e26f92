//! A backend server that runs what it is told.

use std::collections::{BTreeMap, BTreeSet};

use primrosestack_core::prelude::*;
use smol_str::SmolStr;

#[derive(Clone, Debug)]
pub struct Attempted {
    pub task: TaskId,
    pub size: Resources,
    pub lease_end: u64,
    pub state: TaskState,
    pub checkpoint: Option<SmolStr>,
    pub resumed_from: Option<SmolStr>,
}

/// A backend server that follows the assumptions of section 11.
#[derive(Clone, Debug, Default)]
pub struct Backend {
    pub highest: Epoch,
    pub owner: Option<HostId>,
    pub boot_id: u64,
    pub attempts: BTreeMap<Attempt, Attempted>,
    pub forgotten: BTreeSet<Attempt>,
    pub fails_all: bool,
    /// Epoch and owner of the latest command that was not refused.
    obeyed: Option<(Epoch, HostId)>,
}

impl Backend {
    /// Stops attempts whose lease has lapsed.
    pub fn lapse(&mut self, now: u64) {
        for attempt in self.attempts.values_mut() {
            if attempt.state == TaskState::Running && now >= attempt.lease_end {
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
        let tasks = self.attempts.iter().map(|(attempt, attempted)| TaskReport {
            task: attempted.task,
            attempt: *attempt,
            state: attempted.state.clone(),
            checkpoint: attempted.checkpoint.clone(),
            used: attempted.size,
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

    /// Checks that a server obeys one owner at a time, whatever its fence does.
    fn obey(&mut self, owner: &HostId, epoch: Epoch) {
        if let Some((last, holder)) = &self.obeyed {
            assert!(epoch >= *last, "went back from {last:?} to {epoch:?}");
            let is_held = epoch > *last || owner == holder;
            assert!(is_held, "two owners command under {epoch:?}");
        }
        self.obeyed = Some((epoch, owner.clone()));
    }

    pub fn command(
        &mut self,
        now: u64,
        owner: &HostId,
        epoch: Epoch,
        command: &ServerCommand,
    ) -> ServerReply {
        self.lapse(now);
        let is_other = epoch == self.highest && self.owner.as_ref().is_some_and(|o| o != owner);
        if epoch < self.highest || is_other {
            let highest = self.highest;
            return ServerReply::Fenced { highest };
        }
        self.highest = epoch;
        self.owner = Some(owner.clone());
        self.obey(owner, epoch);
        match command {
            ServerCommand::Claim => self.report(now),
            ServerCommand::Renew {
                stamp,
                lease_ms,
                attempts,
                acknowledged,
            } => {
                for attempt in attempts {
                    if let Some(attempted) = self.attempts.get_mut(attempt) {
                        attempted.lease_end = attempted.lease_end.max(stamp.0 + lease_ms);
                    }
                }
                for attempt in acknowledged {
                    self.attempts.remove(attempt);
                    self.forgotten.insert(*attempt);
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
                let lease_end = stamp.0 + lease_ms;
                let is_known =
                    self.attempts.contains_key(attempt) || self.forgotten.contains(attempt);
                if is_known || now >= lease_end || stamp.0 > now {
                    return ServerReply::Refused;
                }
                let state = if self.fails_all {
                    TaskState::Failed { code: 1 }
                } else {
                    TaskState::Running
                };
                let attempted = Attempted {
                    task: *task,
                    size: *size,
                    lease_end,
                    state,
                    checkpoint: resume.clone(),
                    resumed_from: resume.clone(),
                };
                self.attempts.insert(*attempt, attempted);
                ServerReply::Done
            }
            ServerCommand::Checkpoint { attempt } => match self.attempts.get_mut(attempt) {
                Some(attempted) if attempted.state == TaskState::Running => {
                    let checkpoint: SmolStr =
                        format!("c{}.{}", attempt.term, attempt.counter).into();
                    attempted.checkpoint = Some(checkpoint.clone());
                    ServerReply::Checkpointed { checkpoint }
                }
                _ => ServerReply::Refused,
            },
            ServerCommand::Throttle { .. } => ServerReply::Done,
            ServerCommand::Stop { attempt } => {
                if let Some(attempted) = self.attempts.get_mut(attempt)
                    && attempted.state == TaskState::Running
                {
                    attempted.state = TaskState::Stopped;
                }
                ServerReply::Done
            }
        }
    }
}
