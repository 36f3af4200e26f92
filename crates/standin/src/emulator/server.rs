//! Model of a backend server: runs, the lease on its own clock, numbered ends, and the highest token that it has seen.

use std::collections::{BTreeMap, VecDeque};

use primrosestack_fleet::prelude::*;
use smol_str::SmolStr;

/// A server and, if it is up, its present incarnation.
#[derive(Clone, Debug)]
pub struct BackendServer {
    pub name: SmolStr,
    pub domain: usize,
    pub cpu_millis: u32,
    pub memory_mb: u32,
    /// Whether it has power.
    pub is_up: bool,
    /// Whether its address refuses calls while it is down; otherwise they get no answer.
    pub refuses: bool,
    /// Whether it is lost for good.
    pub is_lost: bool,
    /// When it last renewed its registration.
    pub registered_ms: u64,
    /// Until when no call reaches it, although it runs on.
    pub cut_until_ms: u64,
    /// Until when it leaves some orders unanswered and carries them out late.
    pub late_until_ms: u64,
    /// Until when some of its answers are lost.
    pub lossy_until_ms: u64,
    /// When it leaves, once it is draining.
    pub leaves_ms: Option<u64>,
    /// When its registration first told that.
    pub announced_ms: Option<u64>,
    /// Start of the incarnation, in milliseconds since the Unix epoch; also its number for timers.
    pub started_unix_ms: u64,
    pub booted_ms: u64,
    /// Speed of its clock in permille of the true one.
    pub clock_permille: u64,
    /// End of the lease on its own clock.
    pub lease_end_ms: u64,
    /// Highest token seen.
    pub token: u64,
    pub runs: Vec<ServerRun>,
    /// Ends that are not acknowledged.
    pub ends: VecDeque<RunEnd>,
    /// Number of ends so far.
    pub ends_numbered: u64,
    /// Highest run of each task that was stopped or has ended here.
    pub sealed: BTreeMap<TaskId, u32>,
    pub waiting_polls: Vec<WaitingPoll>,
}

/// A run in progress.
#[derive(Clone, Debug)]
pub struct ServerRun {
    pub task: TaskId,
    pub run: u32,
    pub cpu_millis: u32,
    pub memory_mb: u32,
    pub started_ms: u64,
    /// Time that the work takes; `None` for a long-running task.
    pub work_ms: Option<u64>,
    pub is_stopping: bool,
}

/// A poll that waits for an end.
#[derive(Clone, Copy, Debug)]
pub struct WaitingPoll {
    pub owner: usize,
    pub server: ServerKey,
    pub poll: u64,
    pub sent_ms: u64,
}

impl BackendServer {
    /// Begins an incarnation, in which nothing is known of those before.
    pub fn boot(&mut self, started_unix_ms: u64, now_ms: u64) {
        self.is_up = true;
        self.started_unix_ms = started_unix_ms;
        self.leaves_ms = None;
        self.announced_ms = None;
        self.booted_ms = now_ms;
        self.lease_end_ms = 0;
        self.token = 0;
        self.runs.clear();
        self.ends.clear();
        self.ends_numbered = 0;
        self.sealed.clear();
        self.waiting_polls.clear();
    }

    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::started_at(self.started_unix_ms)
    }

    /// The server's clock.
    #[must_use]
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        (now_ms - self.booted_ms) * self.clock_permille / 1_000
    }

    /// True time at which the lease ends.
    #[must_use]
    pub fn lease_due_ms(&self) -> u64 {
        self.booted_ms + (self.lease_end_ms * 1_000).div_ceil(self.clock_permille)
    }

    /// Renews the lease; it never shortens, and is bounded by `lease_max_ms`.
    pub fn renew(&mut self, lease_end_ms: u64, lease_max_ms: u64, now_ms: u64) {
        let bounded_ms = lease_end_ms.min(self.clock_ms(now_ms) + lease_max_ms);
        self.lease_end_ms = self.lease_end_ms.max(bounded_ms);
    }

    /// Takes note of a token. Returns whether a command with it may be carried out.
    pub fn admit(&mut self, token: u64) -> bool {
        let is_admitted = token >= self.token;
        self.token = self.token.max(token);
        is_admitted
    }

    /// Whether a run is refused, since it or a later one was stopped or has ended here.
    #[must_use]
    pub fn is_sealed(&self, task: TaskId, run: u32) -> bool {
        self.sealed.get(&task).is_some_and(|&sealed| run <= sealed)
    }

    pub fn seal(&mut self, task: TaskId, run: u32) {
        let sealed = self.sealed.entry(task).or_default();
        *sealed = (*sealed).max(run);
    }

    #[must_use]
    pub fn has_room(&self, cpu_millis: u32, memory_mb: u32) -> bool {
        let cpu: u32 = self.runs.iter().map(|run| run.cpu_millis).sum();
        let memory: u32 = self.runs.iter().map(|run| run.memory_mb).sum();
        cpu + cpu_millis <= self.cpu_millis && memory + memory_mb <= self.memory_mb
    }

    #[must_use]
    pub fn find_run(&self, task: TaskId, run: u32) -> Option<usize> {
        self.runs
            .iter()
            .position(|other| other.task == task && other.run == run)
    }

    /// Ends a run and numbers the end. Returns whether the run was there.
    pub fn end_run(&mut self, task: TaskId, run: u32, kind: EndKind) -> bool {
        let Some(index) = self.find_run(task, run) else {
            return false;
        };
        self.runs.remove(index);
        self.seal(task, run);
        self.ends_numbered += 1;
        self.ends.push_back(RunEnd {
            number: self.ends_numbered,
            task,
            run,
            kind,
            checkpoint: SmolStr::default(),
        });
        true
    }

    /// Forgets ends up to a number, and returns them.
    pub fn acknowledge(&mut self, number: u64) -> Vec<RunEnd> {
        let count = self.ends.partition_point(|end| end.number <= number);
        self.ends.drain(..count).collect()
    }

    /// Answer to a poll that was sent at `sent_ms`.
    #[must_use]
    pub fn report(&self, sent_ms: u64, now_ms: u64) -> Report {
        let percent = |run: &ServerRun| match run.work_ms {
            Some(work_ms) => ((now_ms - run.started_ms) * 100 / work_ms.max(1)).min(99),
            None => 100,
        };
        Report {
            sent_ms,
            started_unix_ms: self.started_unix_ms,
            clock_ms: self.clock_ms(now_ms),
            running: self
                .runs
                .iter()
                .map(|run| RunStatus {
                    task: run.task,
                    run: run.run,
                    checkpoint: SmolStr::default(),
                    progress_percent: u32::try_from(percent(run)).unwrap_or(99),
                    tail_ms_or_cpu_millis: 0,
                })
                .collect(),
            ended: self.ends.iter().cloned().collect(),
            may_omit_ends: false,
        }
    }

    /// Registration that the server writes of itself.
    #[must_use]
    pub fn entry(&self, now_ms: u64) -> ServerEntry {
        ServerEntry {
            name: self.name.clone(),
            started_unix_ms: self.started_unix_ms,
            service: "sheets".into(),
            address: self.name.clone(),
            failure_domain: SmolStr::new(self.domain.to_string()),
            draining: self.leaves_ms.is_some(),
            leaves_in_ms: self.leaves_ms.map(|at_ms| at_ms.saturating_sub(now_ms)),
            cold_for_ms: 0,
            cpu_millis: self.cpu_millis,
            memory_mb: self.memory_mb,
            gpus: 0,
            labels: vec![smol_str::format_smolstr!("r-{}", self.domain)],
        }
    }
}
