//! Jobs as callers submit them, and the queues they wait in.

use std::fmt;
use std::str::FromStr;

use smol_str::SmolStr;
use snafu::{OptionExt, Snafu, ensure};

/// Longest job that is accepted, in tasks over all steps; a progress record of this size stays under 200 KiB.
pub const TASKS_MAX: u32 = 20_000;

/// A job: 64 bits that the caller drew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Text that names no job or task.
#[derive(Debug, Snafu)]
#[snafu(display("{text:?} is not a name of a job or task"))]
pub struct IdError {
    text: String,
}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let valid = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let id = u64::from_str_radix(text, 16).ok().filter(|_| valid);
        id.map(Self).context(IdSnafu { text })
    }
}

/// One task of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Repetition of the job's steps, from 0.
    pub occurrence: u32,
    /// Step within the job, from 0.
    pub step: u32,
    /// Task within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let mut parts = text.split('.');
        let job = parts.next().context(IdSnafu { text })?.parse()?;
        let mut number = || parts.next().and_then(|part| part.parse().ok());
        let occurrence = number().context(IdSnafu { text })?;
        let step = number().context(IdSnafu { text })?;
        let index = number().context(IdSnafu { text })?;
        ensure!(parts.next().is_none(), IdSnafu { text });
        Ok(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}

/// A group of equal tasks. Zero, false and empty mean that nothing was asked for.
#[expect(
    clippy::struct_excessive_bools,
    reason = "callers combine these freely"
)]
#[derive(Clone, PartialEq, prost::Message)]
pub struct StepSpec {
    /// Number of tasks.
    #[prost(uint32, tag = "1")]
    pub tasks: u32,
    /// Processor room of one task in thousandths of a core.
    #[prost(uint32, tag = "2")]
    pub cpu_millis: u32,
    /// Memory of one task in MB.
    #[prost(uint32, tag = "3")]
    pub memory_mb: u32,
    /// Accelerators of one task.
    #[prost(uint32, tag = "4")]
    pub gpus: u32,
    /// Estimated run time of one task in milliseconds.
    #[prost(uint32, tag = "5")]
    pub estimate_ms: u32,
    /// Earlier steps whose tasks must all be done before.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// Whether tasks can resume from a checkpoint.
    #[prost(bool, tag = "7")]
    pub checkpointable: bool,
    /// Whether all tasks run at the same time or not at all.
    #[prost(bool, tag = "8")]
    pub gang: bool,
    /// Whether tasks are slower when they are spread over racks.
    #[prost(bool, tag = "9")]
    pub same_rack: bool,
    /// Label that a server must have.
    #[prost(string, tag = "10")]
    pub label: String,
    /// Rack that holds the data; tasks are slower elsewhere.
    #[prost(string, tag = "11")]
    pub data_rack: String,
    /// Tasks of the step that may run on one server; 0 for any number.
    #[prost(uint32, tag = "12")]
    pub max_per_server: u32,
    /// Whether copies of a task may run side by side.
    #[prost(bool, tag = "13")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[prost(bool, tag = "14")]
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[prost(string, tag = "15")]
    pub image: String,
    /// Bound on the tail latency of a task that serves, in milliseconds.
    #[prost(uint32, tag = "16")]
    pub tail_target_ms: u32,
    /// Whether the tasks use only processor time that others leave.
    #[prost(bool, tag = "17")]
    pub best_effort: bool,
    /// Long-running tasks that may be away at the same time through actions of the scheduler.
    #[prost(uint32, tag = "18")]
    pub max_unavailable: u32,
}

/// The terms of a queue.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Queue {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Service whose servers run the tasks.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Rank; 0 is served first.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Failed attempts of a task after which the job has failed.
    #[prost(uint32, tag = "4")]
    pub attempts_max: u32,
    /// Factor on the chain of work that the objective of a job allows.
    #[prost(double, tag = "5")]
    pub stretch_factor: f64,
    /// Time that the objective allows beyond the stretched chain, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub target_ms: u32,
    /// Time that one decision of the advisor takes, in milliseconds; 0 where the queue has no advisor.
    #[prost(uint32, tag = "7")]
    pub advisor_decision_ms: u32,
    /// Whether servers refuse what does not fit.
    #[prost(bool, tag = "8")]
    pub servers_check_capacity: bool,
}

/// A job as it was accepted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobSpec {
    /// Identity.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// What the tasks are told to do; opaque.
    #[prost(string, tag = "2")]
    pub command: String,
    /// Steps.
    #[prost(message, repeated, tag = "3")]
    pub steps: Vec<StepSpec>,
    /// Queue, with its terms at the time of acceptance.
    #[prost(message, optional, tag = "4")]
    pub queue: Option<Queue>,
    /// Number of repetitions; 0 for a job that runs once and at once.
    #[prost(uint32, tag = "5")]
    pub repetitions: u32,
    /// When the first repetition is due, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "6")]
    pub first_due_unix_ms: u64,
    /// Time between repetitions in milliseconds.
    #[prost(uint64, tag = "7")]
    pub interval_ms: u64,
    /// When it was accepted, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "8")]
    pub accepted_unix_ms: u64,
}

/// Why a job cannot be accepted.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum JobError {
    /// There is nothing to run.
    #[snafu(display("the job has no steps"))]
    NoSteps,
    /// A step has no tasks.
    #[snafu(display("step {step} has no tasks"))]
    NoTasks {
        /// The step.
        step: usize,
    },
    /// A step waits for itself, for a later step, or for none.
    #[snafu(display("step {step} waits for step {after}, expected an earlier one"))]
    Order {
        /// The step.
        step: usize,
        /// What it waits for.
        after: u32,
    },
    /// The job has too many tasks.
    #[snafu(display("the job has {tasks} tasks, the limit is {TASKS_MAX}"))]
    TooLarge {
        /// Its tasks.
        tasks: u64,
    },
}

impl JobSpec {
    /// Checks a job before it is accepted.
    ///
    /// # Errors
    ///
    /// Returns [`JobError`] for a job that could never be run as described.
    pub fn validate(&self) -> Result<(), JobError> {
        ensure!(!self.steps.is_empty(), NoStepsSnafu);
        for (step, spec) in self.steps.iter().enumerate() {
            ensure!(spec.tasks > 0, NoTasksSnafu { step });
            for &after in &spec.after {
                ensure!((after as usize) < step, OrderSnafu { step, after });
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        ensure!(tasks <= u64::from(TASKS_MAX), TooLargeSnafu { tasks });
        Ok(())
    }

    /// Occurrences over the job's whole life.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repetitions.max(1)
    }

    /// Whether it has times of its own.
    #[must_use]
    pub fn is_recurring(&self) -> bool {
        self.repetitions > 0
    }

    /// When an occurrence is due, in milliseconds since the Unix epoch; 0 for a job without times.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        if !self.is_recurring() {
            return 0;
        }
        self.first_due_unix_ms + u64::from(occurrence) * self.interval_ms
    }

    /// The longest chain of estimated work, in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step
                .after
                .iter()
                .map(|&after| ends_ms[after as usize])
                .max();
            ends_ms.push(before.unwrap_or(0) + u64::from(step.estimate_ms));
        }
        ends_ms.into_iter().max().unwrap_or(0)
    }

    /// Time from acceptance within which the job should end by the terms of its queue, in milliseconds.
    #[must_use]
    pub fn objective_ms(&self, queue: &Queue) -> u64 {
        // Whole hundredths are exact enough for an estimate.
        let hundredths = u64::from(crate::headroom::floor_u32(
            queue.stretch_factor.max(1.0) * 100.0,
        ));
        self.critical_path_ms() * hundredths / 100 + u64::from(queue.target_ms)
    }

    /// Rack that holds most of the data, if any step names one.
    #[must_use]
    pub fn data_rack(&self) -> Option<SmolStr> {
        let step = self
            .steps
            .iter()
            .filter(|step| !step.data_rack.is_empty())
            .max_by_key(|step| step.tasks)?;
        Some(SmolStr::new(&step.data_rack))
    }
}
