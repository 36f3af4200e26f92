//! A fake backend server: fencing by epoch, leases by its own stamp, attempts, checkpoints and task runs.

use std::collections::BTreeMap;

use primrosestack_core::peer_frame::{Outcome, RequestAnswer};
use primrosestack_core::prelude::*;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::clock::Clock;

/// How long the server keeps the identity of an attempt to refuse its repetition.
const REMEMBER_MS: u64 = 10_000;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Succeeded,
    Failed,
    Stopped,
    Lapsed,
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: TaskId,
    pub end: Option<End>,
    pub checkpoint: Option<SmolStr>,
    declared: Resources,
    reserved: Resources,
    lease_end_ms: u64,
    begun_ms: u64,
    ends_ms: u64,
    skipped_ms: u64,
    fails: bool,
}

/// What the server does with a command's task when it starts.
#[derive(Clone, Copy, Debug)]
pub struct Course {
    /// Work of the task from its beginning, in milliseconds.
    pub work_ms: u64,
    pub fails: bool,
}

/// One backend server.
pub struct Server {
    pub name: SmolStr,
    pub rack: SmolStr,
    pub shard: usize,
    pub size: Resources,
    pub up: bool,
    pub clock: Clock,
    pub runs: BTreeMap<Attempt, Run>,
    boot_id: u64,
    booted_ms: u64,
    highest: Epoch,
    commander: Option<HostId>,
    seen: BTreeMap<Attempt, u64>,
}

impl Server {
    /// A server that was just started.
    pub fn new(name: SmolStr, rack: SmolStr, shard: usize, size: Resources, clock: Clock) -> Self {
        Self {
            name,
            rack,
            shard,
            size,
            up: true,
            clock,
            runs: BTreeMap::new(),
            boot_id: 1,
            booted_ms: 0,
            highest: Epoch::default(),
            commander: None,
            seen: BTreeMap::new(),
        }
    }

    /// Loses everything. Its clock goes on, so that stamps of an earlier boot can be told from later ones.
    pub fn crash(&mut self) {
        self.up = false;
        self.runs.clear();
        self.seen.clear();
        self.highest = Epoch::default();
        self.commander = None;
    }

    /// Starts again after a crash.
    pub fn boot(&mut self, real_us: u64) {
        self.up = true;
        self.boot_id += 1;
        self.booted_ms = self.clock.read(real_us).0;
    }

    /// Ends the attempts whose work is done or whose lease has lapsed, and returns them with the stamp of their end.
    pub fn advance(&mut self, real_us: u64) -> Vec<(Attempt, End)> {
        let now = self.clock.read(real_us).0;
        let mut ended = Vec::new();
        for (attempt, run) in &mut self.runs {
            if run.end.is_some() || now < run.ends_ms.min(run.lease_end_ms) {
                continue;
            }
            let end = match (run.lease_end_ms <= run.ends_ms, run.fails) {
                (true, _) => End::Lapsed,
                (false, true) => End::Failed,
                (false, false) => End::Succeeded,
            };
            run.end = Some(end);
            ended.push((*attempt, end));
        }
        ended
    }

    /// Sum of the reserved sizes of all running attempts.
    pub fn load(&self) -> Resources {
        self.sum(|run| run.reserved)
    }

    fn sum(&self, size: impl Fn(&Run) -> Resources) -> Resources {
        let running = self.runs.values().filter(|run| run.end.is_none());
        running.fold(Resources::default(), |sum, run| {
            sum.saturating_add(size(run))
        })
    }

    /// Whether a command or request of this commander is refused; raises the epoch otherwise.
    fn fenced(&mut self, epoch: Epoch, owner: &HostId) -> bool {
        let other = self.commander.as_ref().is_some_and(|held| held != owner);
        if epoch < self.highest || (epoch == self.highest && other) {
            return true;
        }
        self.highest = epoch;
        self.commander = Some(owner.clone());
        false
    }

    /// Performs one command.
    pub fn command(
        &mut self,
        real_us: u64,
        epoch: Epoch,
        owner: &HostId,
        command: &ServerCommand,
        course: Course,
    ) -> ServerReply {
        if self.fenced(epoch, owner) {
            return ServerReply::Fenced {
                highest: self.highest,
            };
        }
        let now = self.clock.read(real_us).0;
        match command {
            ServerCommand::Claim => ServerReply::Report(self.report(now)),
            ServerCommand::Renew {
                stamp,
                lease_ms,
                attempts,
                acknowledged,
            } => {
                self.renew(*stamp, *lease_ms, attempts);
                self.runs
                    .retain(|attempt, run| run.end.is_none() || !acknowledged.contains(attempt));
                ServerReply::Report(self.report(now))
            }
            ServerCommand::Start { .. } => self.start(now, command, course),
            ServerCommand::Checkpoint { attempt } => self.checkpoint(now, *attempt),
            ServerCommand::Throttle {
                attempt,
                millicores,
            } => {
                let Some(run) = self.runs.get_mut(attempt) else {
                    return ServerReply::Refused;
                };
                run.reserved.millicores = run.reserved.millicores.min(*millicores);
                ServerReply::Done
            }
            ServerCommand::Stop { attempt } => {
                let Some(run) = self.runs.get_mut(attempt) else {
                    return ServerReply::Refused;
                };
                run.end = run.end.or(Some(End::Stopped));
                ServerReply::Done
            }
        }
    }

    /// Runs one request of a caller; `None` if it was refused before starting.
    pub fn request(
        &mut self,
        epoch: Epoch,
        owner: &HostId,
        request: &str,
        body: Vec<u8>,
    ) -> Option<RequestAnswer> {
        if self.fenced(epoch, owner) {
            return None;
        }
        Some(RequestAnswer {
            request: request.to_owned(),
            outcome: Outcome::Answered.into(),
            status: 200,
            announced_bytes: body.len() as u64,
            body,
            ..RequestAnswer::default()
        })
    }

    fn renew(&mut self, stamp: ServerTimestamp, lease_ms: u64, attempts: &[Attempt]) {
        if stamp.0 < self.booted_ms {
            return;
        }
        for attempt in attempts {
            if let Some(run) = self.runs.get_mut(attempt) {
                run.lease_end_ms = run.lease_end_ms.max(stamp.0 + lease_ms);
            }
        }
    }

    fn start(&mut self, now: u64, command: &ServerCommand, course: Course) -> ServerReply {
        let ServerCommand::Start {
            stamp,
            lease_ms,
            task,
            attempt,
            size,
            resume,
            ..
        } = command
        else {
            return ServerReply::Refused;
        };
        self.seen.retain(|_, seen| *seen + REMEMBER_MS > now);
        let known = self.seen.contains_key(attempt) || self.runs.contains_key(attempt);
        if known || stamp.0 < self.booted_ms || stamp.0 + lease_ms <= now {
            return ServerReply::Refused;
        }
        let skipped_ms = progress(resume.as_ref());
        self.seen.insert(*attempt, now);
        let run = Run {
            task: *task,
            end: None,
            checkpoint: resume.clone(),
            declared: *size,
            reserved: *size,
            lease_end_ms: stamp.0 + lease_ms,
            begun_ms: now,
            ends_ms: now + course.work_ms.saturating_sub(skipped_ms).max(1),
            skipped_ms,
            fails: course.fails,
        };
        self.runs.insert(*attempt, run);
        ServerReply::Done
    }

    fn checkpoint(&mut self, now: u64, attempt: Attempt) -> ServerReply {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return ServerReply::Refused;
        };
        if run.end.is_some() {
            return ServerReply::Refused;
        }
        let done_ms = run.skipped_ms + (now - run.begun_ms);
        let name = format_smolstr!("{}.{}@{done_ms}", attempt.term, attempt.counter);
        run.checkpoint = Some(name.clone());
        ServerReply::Checkpointed { checkpoint: name }
    }

    fn report(&self, now: u64) -> Report {
        let mut tasks = Vec::new();
        for (attempt, run) in &self.runs {
            let state = match run.end {
                None => TaskState::Running,
                Some(End::Succeeded) => TaskState::Succeeded,
                Some(End::Failed) => TaskState::Failed { code: 1 },
                Some(End::Stopped | End::Lapsed) => TaskState::Stopped,
            };
            tasks.push(TaskReport {
                task: run.task,
                attempt: *attempt,
                state,
                checkpoint: run.checkpoint.clone(),
                used: run.reserved,
                slowdown_permille: 1_000,
            });
        }
        Report {
            stamp: ServerTimestamp(now),
            boot_id: self.boot_id,
            tasks,
            request_slowdown_permille: 1_000,
            requests_running: 0,
            tasks_size: self.sum(|run| run.declared),
        }
    }
}

/// Work done up to a checkpoint, in milliseconds; 0 for none.
pub fn progress(checkpoint: Option<&SmolStr>) -> u64 {
    let Some(name) = checkpoint.map(ToSmolStr::to_smolstr) else {
        return 0;
    };
    let done = name.split_once('@').map(|(_, done_ms)| done_ms.parse());
    done.and_then(Result::ok).unwrap_or(0)
}
