//! State of a stand-in backend server without I/O: fencing by epoch, task leases measured on the server's own clock,
//! attempts and checkpoints.

use primrosestack_core::capacity::Resources;
use primrosestack_core::event::{Report, ServerCommand, ServerReply, TaskReport, TaskState};
use primrosestack_core::ids::{Attempt, Epoch, HostId, ServerTimestamp, TaskId};
use smol_str::{SmolStr, format_smolstr};

use crate::ledger::{Ledger, RunEnd};

/// Reports show the resource usage of a task only after it has run for this long.
const USAGE_REPORT_DELAY_MS: u64 = 1_000;

struct Task {
    id: TaskId,
    attempt: Attempt,
    size: Resources,
    throttle_millicores: u32,
    run_ms: u64,
    done_ms: u64,
    started_ms: u64,
    lease_until_ms: u64,
    checkpoint: Option<SmolStr>,
    state: TaskState,
}

/// A backend server.
pub struct Worker {
    name: SmolStr,
    boot_id: u64,
    capacity: Resources,
    ledger: Ledger,
    /// Highest epoch of an accepted command; older epochs are fenced.
    highest: Epoch,
    owner: Option<HostId>,
    tasks: Vec<Task>,
    /// Attempts that must not start again, with the time until which they are remembered.
    refused_attempts: Vec<(Attempt, u64)>,
    now_ms: u64,
    leaving_since_ms: Option<u64>,
    fails_all_starts: bool,
    busy_slots: u32,
    request_size: Resources,
}

impl Worker {
    /// Creates a server whose tasks and requests together may use up to `capacity`.
    #[must_use]
    pub fn open(name: SmolStr, boot_id: u64, capacity: Resources, ledger: Ledger) -> Self {
        Self {
            name,
            boot_id,
            capacity,
            ledger,
            highest: Epoch::default(),
            owner: None,
            tasks: Vec::new(),
            refused_attempts: Vec::new(),
            now_ms: 0,
            leaving_since_ms: None,
            fails_all_starts: false,
            busy_slots: 0,
            request_size: Resources::default(),
        }
    }

    /// Sets the resources that each running request uses.
    #[must_use]
    pub fn with_request_size(mut self, size: Resources) -> Self {
        self.request_size = size;
        self
    }

    /// Sets whether every task that starts from now on fails immediately.
    pub fn fail_all_starts(&mut self, fails: bool) {
        self.fails_all_starts = fails;
    }

    /// Marks the server as leaving.
    pub fn leave(&mut self) {
        self.leaving_since_ms.get_or_insert(self.now_ms);
    }

    /// Number of running tasks.
    #[must_use]
    pub fn running(&self) -> usize {
        let running = |task: &&Task| task.state == TaskState::Running;
        self.tasks.iter().filter(running).count()
    }

    /// Milliseconds since the server was marked as leaving.
    #[must_use]
    pub fn leaving_for_ms(&self) -> Option<u64> {
        let since = self.leaving_since_ms?;
        Some(self.now_ms - since)
    }

    /// Advances the server's clock to `now_ms`, which completes tasks and stops those whose lease expired.
    pub fn advance(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.now_ms);
        self.now_ms = now_ms;
        for task in &mut self.tasks {
            if task.state != TaskState::Running {
                continue;
            }
            let allowed = u64::from(task.throttle_millicores.min(task.size.millicores).max(1));
            let asked = u64::from(task.size.millicores.max(1));
            task.done_ms += passed_ms * allowed / asked;
            if task.done_ms >= task.run_ms {
                task.state = TaskState::Succeeded;
                self.ledger
                    .record_end(task.id, &self.name, task.run_ms, RunEnd::Succeeded);
                continue;
            }
            if now_ms > task.lease_until_ms {
                task.state = TaskState::Stopped;
                self.ledger
                    .record_end(task.id, &self.name, task.done_ms, RunEnd::Stopped);
            }
        }
        self.refused_attempts
            .retain(|(_, until_ms)| *until_ms > now_ms);
    }

    /// Stops all tasks and forgets the owner and its epoch, as a reboot does.
    pub fn reboot(&mut self) {
        for task in &self.tasks {
            if task.state == TaskState::Running {
                self.ledger
                    .record_end(task.id, &self.name, task.done_ms, RunEnd::Stopped);
            }
        }
        self.tasks.clear();
        self.refused_attempts.clear();
        self.boot_id += 1;
        self.highest = Epoch::default();
        self.owner = None;
    }

    /// Returns whether a command or request from this owner and epoch is accepted, and adopts the epoch if so.
    pub fn admit(&mut self, epoch: Epoch, owner: &HostId) -> bool {
        if epoch < self.highest {
            return false;
        }
        if epoch == self.highest && self.owner.as_ref().is_some_and(|known| known != owner) {
            return false;
        }
        self.highest = epoch;
        self.owner = Some(owner.clone());
        true
    }

    /// Highest epoch of an accepted command or request.
    #[must_use]
    pub fn highest(&self) -> Epoch {
        self.highest
    }

    /// Occupies a slot for a request. Returns false when all `limit` slots are busy.
    pub fn begin_request(&mut self, limit: u32) -> bool {
        if self.busy_slots >= limit {
            return false;
        }
        self.busy_slots += 1;
        self.check_capacity();
        true
    }

    /// Frees the slot of a request.
    pub fn end_request(&mut self) {
        self.busy_slots -= 1;
    }

    /// Executes a command, or refuses it if its epoch is fenced.
    pub fn command(&mut self, epoch: Epoch, owner: &HostId, command: ServerCommand) -> ServerReply {
        if !self.admit(epoch, owner) {
            return ServerReply::Fenced {
                highest: self.highest,
            };
        }
        match command {
            ServerCommand::Claim => ServerReply::Report(self.report()),
            ServerCommand::Renew {
                stamp,
                lease_ms,
                attempts,
                acknowledged,
            } => {
                self.renew(stamp, lease_ms, &attempts, &acknowledged);
                ServerReply::Report(self.report())
            }
            ServerCommand::Start {
                stamp,
                lease_ms,
                task,
                attempt,
                size,
                run_ms,
                resume,
                ..
            } => self.start(stamp, lease_ms, task, attempt, size, run_ms, resume),
            ServerCommand::Checkpoint { attempt } => self.checkpoint(attempt),
            ServerCommand::Throttle {
                attempt,
                millicores,
            } => {
                let Some(task) = self.running_task(attempt) else {
                    return ServerReply::Refused;
                };
                task.throttle_millicores = millicores;
                ServerReply::Done
            }
            ServerCommand::Stop { attempt } => {
                self.stop(attempt);
                ServerReply::Done
            }
        }
    }

    fn running_task(&mut self, attempt: Attempt) -> Option<&mut Task> {
        self.tasks
            .iter_mut()
            .find(|task| task.attempt == attempt && task.state == TaskState::Running)
    }

    /// Extends the leases of `attempts` and discards the ended attempts in `acknowledged`.
    fn renew(
        &mut self,
        stamp: ServerTimestamp,
        lease_ms: u64,
        attempts: &[Attempt],
        acknowledged: &[Attempt],
    ) {
        for task in &mut self.tasks {
            if attempts.contains(&task.attempt) {
                task.lease_until_ms = task.lease_until_ms.max(stamp.0 + lease_ms);
            }
        }
        let now_ms = self.now_ms;
        for task in &self.tasks {
            if task.state != TaskState::Running && acknowledged.contains(&task.attempt) {
                self.refused_attempts
                    .push((task.attempt, now_ms + lease_ms));
            }
        }
        self.tasks.retain(|task| {
            task.state == TaskState::Running || !acknowledged.contains(&task.attempt)
        });
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "these are the fields of the start command"
    )]
    fn start(
        &mut self,
        stamp: ServerTimestamp,
        lease_ms: u64,
        task: TaskId,
        attempt: Attempt,
        size: Resources,
        run_ms: u64,
        resume: Option<SmolStr>,
    ) -> ServerReply {
        let lease_until_ms = stamp.0 + lease_ms;
        let is_known = self.tasks.iter().any(|known| known.attempt == attempt);
        if is_known {
            return ServerReply::Done;
        }
        let has_ended = self
            .refused_attempts
            .iter()
            .any(|(refused, _)| *refused == attempt);
        if has_ended || self.now_ms > lease_until_ms {
            return ServerReply::Refused;
        }
        if self.leaving_for_ms().is_some_and(|ms| ms > 3_000) {
            self.ledger.records().late_starts += 1;
        }
        let done_ms = resume.as_deref().map_or(0, parse_checkpoint_work_ms);
        self.ledger
            .record_start(task, &self.name, resume.is_some(), done_ms);
        let mut state = TaskState::Running;
        if self.fails_all_starts {
            state = TaskState::Failed { code: 1 };
            self.ledger
                .record_end(task, &self.name, done_ms, RunEnd::Failed);
        }
        self.tasks.push(Task {
            id: task,
            attempt,
            size,
            throttle_millicores: size.millicores,
            run_ms,
            done_ms,
            started_ms: self.now_ms,
            lease_until_ms,
            checkpoint: resume,
            state,
        });
        self.check_capacity();
        ServerReply::Done
    }

    fn tasks_size(&self) -> Resources {
        let running = self
            .tasks
            .iter()
            .filter(|task| task.state == TaskState::Running);
        running.fold(Resources::default(), |sum, task| {
            sum.saturating_add(task.size)
        })
    }

    /// Records a violation if running tasks and requests use more than the server's capacity.
    fn check_capacity(&self) {
        let requests = self.request_size.saturating_mul(self.busy_slots);
        let used = requests.saturating_add(self.tasks_size());
        if !used.fits_in(self.capacity) {
            let text = format!(
                "capacity of {} exceeded at {} ms by {} tasks and {} requests: {used:?}",
                self.name,
                self.now_ms,
                self.running(),
                self.busy_slots
            );
            self.ledger.record_violation(text);
        }
    }

    fn checkpoint(&mut self, attempt: Attempt) -> ServerReply {
        let now_ms = self.now_ms;
        let Some(task) = self.running_task(attempt) else {
            return ServerReply::Refused;
        };
        let checkpoint = format_smolstr!("checkpoint-{}-{now_ms}-{}", task.id.index, task.done_ms);
        task.checkpoint = Some(checkpoint.clone());
        ServerReply::Checkpointed { checkpoint }
    }

    /// Stops an attempt; one that has not started yet is refused for 60 s, since its start may arrive late.
    fn stop(&mut self, attempt: Attempt) {
        let until_ms = self.now_ms + 60_000;
        let Some(task) = self.running_task(attempt) else {
            self.refused_attempts.push((attempt, until_ms));
            return;
        };
        task.state = TaskState::Stopped;
        let (id, done_ms) = (task.id, task.done_ms);
        self.ledger
            .record_end(id, &self.name, done_ms, RunEnd::Stopped);
    }

    fn report(&self) -> Report {
        let tasks = self.tasks.iter().map(|task| TaskReport {
            task: task.id,
            attempt: task.attempt,
            state: task.state.clone(),
            checkpoint: task.checkpoint.clone(),
            used: if self.now_ms - task.started_ms >= USAGE_REPORT_DELAY_MS {
                task.size
            } else {
                Resources::default()
            },
            slowdown_permille: 1_000,
        });
        Report {
            stamp: ServerTimestamp(self.now_ms),
            boot_id: self.boot_id,
            tasks: tasks.collect(),
            request_slowdown_permille: 1_000,
            requests_running: self.busy_slots,
            tasks_size: self.tasks_size(),
        }
    }
}

/// Progress that a checkpoint holds; its name ends in the milliseconds of work done.
fn parse_checkpoint_work_ms(checkpoint: &str) -> u64 {
    let work = checkpoint.rsplit('-').next();
    work.and_then(|text| text.parse().ok()).unwrap_or_default()
}
