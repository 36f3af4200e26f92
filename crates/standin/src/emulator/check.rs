//! Checks from outside: only what servers did and what callers were told counts.

use std::collections::BTreeMap;

use primrosestack_fleet::prelude::*;
use primrosestack_fleet::shard::JobStatus;

use super::BOUNDS;
use super::operator::EVACUATION_MS;

/// Time after the acknowledgement of a cancellation from which no task of the job may start.
const CANCEL_MS: u64 = 3_000;

/// Servers that crashed under a task after which its job may be given up.
const CRASHES_MAX: usize = 2;

/// A rule that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub at_ms: u64,
    pub check: &'static str,
    pub detail: String,
}

/// What became of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Running,
    Ended(EndKind),
    /// The server lost power or crashed.
    Crashed,
}

#[derive(Clone, Debug)]
struct RunTruth {
    run: u32,
    server: usize,
    fate: Fate,
    /// Whether the end was acknowledged before the server's lease lapsed.
    is_acknowledged: bool,
    /// Whether the lease of the server lapsed before the end was acknowledged.
    is_excused: bool,
    /// Whether another run of the task began after this one was done.
    is_repeated: bool,
}

/// What callers know of a job.
#[derive(Clone, Debug, Default)]
pub struct JobTruth {
    pub spec: JobSpec,
    pub accepted_ms: Option<u64>,
    pub cancel_sent: bool,
    pub cancelled_ms: Option<u64>,
    pub shown: Option<JobStatus>,
}

/// A start as a server carried it out.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    pub at_ms: u64,
    pub task: TaskId,
    pub run: u32,
    pub server: usize,
    /// Whether the server carried the order out late.
    pub is_late: bool,
    /// Whether the sender has been in touch with the store for a while.
    pub in_touch: bool,
    /// Time since the server announced that it is draining, if sender and server have been in touch for a while.
    pub drained_ms: Option<u64>,
    /// Time since the evacuation of the server's failure domain was acknowledged, if the sender has been in touch with the
    /// store for long enough.
    pub evacuated_ms: Option<u64>,
}

/// History of all tasks and jobs.
#[derive(Debug, Default)]
pub struct Checks {
    tasks: BTreeMap<TaskId, Vec<RunTruth>>,
    pub jobs: BTreeMap<JobId, JobTruth>,
    pub violation: Option<Violation>,
    /// Number of starts so far.
    pub starts: u64,
}

impl Checks {
    fn fail(&mut self, at_ms: u64, check: &'static str, detail: impl Into<String>) {
        self.violation.get_or_insert(Violation {
            at_ms,
            check,
            detail: detail.into(),
        });
    }

    fn done_tasks(&self, id: JobId, step: u32) -> usize {
        let of_step = |task: &TaskId| task.job == id && task.step == step;
        let is_done = |runs: &&Vec<RunTruth>| {
            runs.iter()
                .any(|run| run.fate == Fate::Ended(EndKind::Done))
        };
        let tasks = self.tasks.iter().filter(|(task, _)| of_step(task));
        tasks.map(|(_, runs)| runs).filter(is_done).count()
    }

    /// A server began a run.
    pub fn started(&mut self, start: Start) {
        self.starts += 1;
        let Start {
            at_ms, task, run, ..
        } = start;
        let Some(job) = self.jobs.get(&task.job) else {
            self.fail(at_ms, "unasked", format!("{task} was never submitted"));
            return;
        };
        let attempts_max = job
            .spec
            .queue
            .as_ref()
            .map_or(0, |queue| queue.attempts_max);
        let step = &job.spec.steps[task.step as usize];
        let (is_long_running, waits_for) = (step.long_running, step.after.clone());
        let is_recurring = job.spec.is_recurring();
        let counts: Vec<u32> = job.spec.steps.iter().map(|step| step.tasks).collect();
        let cancelled_ms = job.cancelled_ms;
        if let Some(cancelled_ms) = cancelled_ms
            && at_ms > cancelled_ms + CANCEL_MS
            && !start.is_late
            && start.in_touch
        {
            let late_ms = at_ms - cancelled_ms;
            let detail =
                format!("{task} run {run} starts {late_ms} ms after its job was cancelled");
            self.fail(at_ms, "cancelled", detail);
        }
        if let Some(drained_ms) = start.drained_ms
            && drained_ms > BOUNDS.drain_ms
            && !start.is_late
        {
            let detail = format!("{task} run {run} starts {drained_ms} ms after the announcement");
            self.fail(at_ms, "drain", detail);
        }
        if let Some(evacuated_ms) = start.evacuated_ms
            && evacuated_ms > EVACUATION_MS
            && !start.is_late
        {
            let detail = format!("{task} run {run} starts {evacuated_ms} ms after the request");
            self.fail(at_ms, "evacuation", detail);
        }
        for after in waits_for {
            if !is_recurring && self.done_tasks(task.job, after) < counts[after as usize] as usize {
                let detail = format!("{task} starts before step {after} is done");
                self.fail(at_ms, "order", detail);
            }
        }
        let runs = self.tasks.entry(task).or_default();
        let mut failures = 0;
        let mut found = None;
        for known in runs.iter_mut() {
            failures +=
                u32::from(known.fate == Fate::Ended(EndKind::Failed) && known.is_acknowledged);
            if known.fate == Fate::Running {
                let detail = format!(
                    "{task} run {run} on server {} beside run {} on server {}",
                    start.server, known.run, known.server
                );
                found.get_or_insert(("two runs", detail));
            }
            if known.fate == Fate::Ended(EndKind::Done) {
                known.is_repeated = true;
                if known.is_acknowledged {
                    let detail = format!("{task} run {run} after run {} was done", known.run);
                    found.get_or_insert(("start after done", detail));
                }
            }
            // A run that its server began late may precede newer ones, but no number is used twice.
            if known.run == run || (known.run > run && !start.is_late) {
                let detail = format!("{task} run {run} after run {}", known.run);
                found.get_or_insert(("run numbers", detail));
            }
        }
        if failures >= attempts_max && attempts_max > 0 && !is_long_running {
            let detail = format!("{task} starts after {failures} failures");
            found.get_or_insert(("attempts", detail));
        }
        runs.push(RunTruth {
            run,
            server: start.server,
            fate: Fate::Running,
            is_acknowledged: false,
            is_excused: false,
            is_repeated: false,
        });
        if let Some((check, detail)) = found {
            self.fail(at_ms, check, detail);
        }
    }

    fn running(&mut self, server: usize) -> impl Iterator<Item = (&TaskId, &mut RunTruth)> {
        let tasks = self.tasks.iter_mut();
        let runs = tasks.flat_map(|(task, runs)| runs.iter_mut().map(move |run| (task, run)));
        runs.filter(move |(_, run)| run.server == server)
    }

    fn find(&mut self, task: TaskId, run: u32, server: usize) -> Option<&mut RunTruth> {
        let runs = self.tasks.get_mut(&task)?;
        runs.iter_mut()
            .rfind(|known| known.run == run && known.server == server)
    }

    /// A run ended on a server.
    pub fn ended(&mut self, task: TaskId, run: u32, server: usize, kind: EndKind) {
        if let Some(known) = self.find(task, run, server) {
            known.fate = Fate::Ended(kind);
        }
    }

    /// A server lost power or crashed.
    pub fn server_died(&mut self, server: usize) {
        for (_, run) in self.running(server) {
            if run.fate == Fate::Running {
                run.fate = Fate::Crashed;
            }
        }
    }

    /// The lease of a server lapsed; ends that are not acknowledged by then do not count.
    pub fn lease_lapsed(&mut self, server: usize) {
        for (_, run) in self.running(server) {
            run.is_excused |= run.fate != Fate::Running && !run.is_acknowledged;
        }
    }

    /// The end of a run was acknowledged to its server.
    pub fn acknowledged(&mut self, task: TaskId, run: u32, server: usize, at_ms: u64) {
        let Some(known) = self.find(task, run, server) else {
            return;
        };
        known.is_acknowledged = !known.is_excused;
        let is_done = known.fate == Fate::Ended(EndKind::Done);
        if known.is_acknowledged && known.is_repeated && is_done {
            let detail = format!("{task} started again after run {run} was done");
            self.fail(at_ms, "start after done", detail);
        }
    }

    /// A caller was shown the state of a job; `None` if it was told that there is no such job.
    pub fn shown(&mut self, id: JobId, status: Option<JobStatus>, at_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.shown = status;
        let steps: Vec<u32> = job.spec.steps.iter().map(|step| step.tasks).collect();
        let occurrences = job.spec.occurrences();
        let attempts_max = job
            .spec
            .queue
            .as_ref()
            .map_or(0, |queue| queue.attempts_max);
        let cancel_sent = job.cancel_sent;
        match status {
            None => self.fail(at_ms, "lost", format!("job {id} is not known")),
            Some(JobStatus::Cancelled) if !cancel_sent => {
                self.fail(at_ms, "cancelled without cause", format!("job {id}"));
            }
            Some(JobStatus::Completed) => {
                for (step, count) in (0..).zip(steps) {
                    let done = self.done_tasks(id, step);
                    if done < (count * occurrences) as usize {
                        let detail = format!("job {id}: {done} tasks of step {step} are done");
                        self.fail(at_ms, "completed without ends", detail);
                    }
                }
            }
            Some(JobStatus::Failed) => {
                let has_cause = self.tasks.iter().any(|(task, runs)| {
                    let count = |fate| runs.iter().filter(|run| run.fate == fate).count();
                    let is_exhausted = count(Fate::Ended(EndKind::Failed)) >= attempts_max as usize;
                    task.job == id && (is_exhausted || count(Fate::Crashed) >= CRASHES_MAX)
                });
                if !has_cause {
                    self.fail(at_ms, "failed without cause", format!("job {id}"));
                }
            }
            Some(_) => {}
        }
    }

    /// After a calm while with room, every accepted job has ended, its long-running tasks run, and nothing of a
    /// cancelled job runs.
    pub fn settled(&mut self, at_ms: u64) {
        let mut found = Vec::new();
        for (&id, job) in &self.jobs {
            let running = |step: u32| {
                let of_step = |task: &TaskId| task.job == id && task.step == step;
                let runs = self.tasks.iter().filter(|(task, _)| of_step(task));
                let is_running =
                    |runs: &&Vec<RunTruth>| runs.iter().any(|run| run.fate == Fate::Running);
                runs.map(|(_, runs)| runs).filter(is_running).count()
            };
            for (index, step) in (0..).zip(&job.spec.steps) {
                let count = running(index);
                if job.cancelled_ms.is_some() && count > 0 {
                    let detail = format!("job {id}: {count} tasks of a cancelled job run");
                    found.push(("cancelled", detail));
                }
                if job.accepted_ms.is_none() || job.cancel_sent {
                    continue;
                }
                // Such a job does not end by itself, but its other steps do.
                let lasts = job.spec.steps.iter().any(|step| step.long_running);
                if lasts && !step.long_running {
                    let done = self.done_tasks(id, index);
                    if done < step.tasks as usize {
                        let detail = format!("job {id}: {done} tasks of step {index} are done");
                        found.push(("stands still", detail));
                    }
                    continue;
                }
                let has_ended = matches!(job.shown, Some(JobStatus::Completed | JobStatus::Failed));
                if step.long_running && count < step.tasks as usize {
                    let detail = format!("job {id}: {count} of {} tasks run", step.tasks);
                    found.push(("stands still", detail));
                } else if !step.long_running && !has_ended {
                    let detail = format!("job {id} is shown as {:?}", job.shown);
                    found.push(("stands still", detail));
                }
            }
        }
        for (check, detail) in found {
            self.fail(at_ms, check, detail);
        }
    }

    /// After a calm while with room elsewhere, no long-running task is left on servers of evacuated failure domains.
    pub fn vacated(&mut self, at_ms: u64, servers: &[usize]) {
        let mut left = Vec::new();
        for (task, runs) in &self.tasks {
            let job = self.jobs.get(&task.job);
            let is_long_running =
                job.is_some_and(|job| job.spec.steps[task.step as usize].long_running);
            for run in runs {
                if is_long_running && run.fate == Fate::Running && servers.contains(&run.server) {
                    left.push(format!("{task} runs on server {}", run.server));
                }
            }
        }
        for detail in left {
            self.fail(at_ms, "not vacated", detail);
        }
    }
}
