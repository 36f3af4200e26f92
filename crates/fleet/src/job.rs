//! Jobs as submitted by callers, and the queues they wait in.

use std::fmt;
use std::str::FromStr;

use smol_str::SmolStr;
use snafu::{OptionExt, Snafu, ensure};

use crate::record::Progress;

/// Maximum number of tasks over all steps of a job; a progress record of this size stays below 200 KiB.
pub const TASKS_MAX: u32 = 20_000;

/// Maximum number of steps of a job, 20 tasks for each in the largest one; jobs of the deployments have 5. Each plan
/// examines all steps that wait, and with 20,000 of them takes a second of a core.
pub const STEPS_MAX: usize = 1_000;

/// Maximum number of dependencies of a step: the last step may wait for all others.
pub const DEPENDENCIES_MAX: usize = STEPS_MAX;

/// Maximum length of a command, about twice that of the longest one in use (4,000). Each start sends it.
pub const COMMAND_MAX_BYTES: usize = 8_192;

/// Maximum length of a label, a rack and the name of an image, which are copied and compared for each waiting task. Names of
/// images have a registry, a path and a digest.
pub const NAME_MAX_BYTES: usize = 256;

/// Job identifier, 64 random bits chosen by the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Error for text that is not a job or task identifier.
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

/// Identifier of one task of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub job: JobId,
    /// Repetition of the job's steps, from 0.
    pub occurrence: u32,
    /// Step within the job, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
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

/// Group of identical tasks. Zero, false and empty values mean that the caller made no request.
#[expect(
    clippy::struct_excessive_bools,
    reason = "callers combine these freely"
)]
#[derive(Clone, PartialEq, prost::Message)]
pub struct StepSpec {
    /// Number of tasks.
    #[prost(uint32, tag = "1")]
    pub tasks: u32,
    /// CPU of one task, in millicores.
    #[prost(uint32, tag = "2")]
    pub cpu_millis: u32,
    /// Memory of one task, in MB.
    #[prost(uint32, tag = "3")]
    pub memory_mb: u32,
    /// Accelerators of one task.
    #[prost(uint32, tag = "4")]
    pub gpus: u32,
    /// Estimated run time of one task.
    #[prost(uint32, tag = "5")]
    pub estimate_ms: u32,
    /// Earlier steps whose tasks must all be done first.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// Whether tasks can resume from a checkpoint.
    #[prost(bool, tag = "7")]
    pub checkpointable: bool,
    /// Whether all tasks run at the same time or not at all.
    #[prost(bool, tag = "8")]
    pub gang: bool,
    /// Whether tasks run slower when spread over racks.
    #[prost(bool, tag = "9")]
    pub same_rack: bool,
    /// Label that a server must have.
    #[prost(string, tag = "10")]
    pub label: String,
    /// Rack that holds the data; tasks run slower elsewhere.
    #[prost(string, tag = "11")]
    pub data_rack: String,
    /// Maximum number of the step's tasks on one server; 0 for no limit.
    #[prost(uint32, tag = "12")]
    pub max_per_server: u32,
    /// Whether several copies of a task may run at the same time.
    #[prost(bool, tag = "13")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[prost(bool, tag = "14")]
    pub long_running: bool,
    /// Image that the tasks run; tasks of the same image behave alike.
    #[prost(string, tag = "15")]
    pub image: String,
    /// Tail latency target of a service task.
    #[prost(uint32, tag = "16")]
    pub tail_target_ms: u32,
    /// Whether the tasks use only CPU time that others leave idle.
    #[prost(bool, tag = "17")]
    pub best_effort: bool,
    /// Number of long-running tasks that the scheduler may have stopped at the same time.
    #[prost(uint32, tag = "18")]
    pub max_unavailable: u32,
}

/// Configuration of a queue.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Queue {
    #[prost(string, tag = "1")]
    pub name: String,
    /// Service whose servers run the tasks.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Priority; 0 is served first.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Failed attempts of a task after which its job fails.
    #[prost(uint32, tag = "4")]
    pub attempts_max: u32,
    /// Factor on a job's critical path in its time objective.
    #[prost(double, tag = "5")]
    pub stretch_factor: f64,
    /// Time that the objective allows in addition to the stretched critical path.
    #[prost(uint32, tag = "6")]
    pub target_ms: u32,
    /// Time that one decision of the advisor takes; 0 if the queue has no advisor.
    #[prost(uint32, tag = "7")]
    pub advisor_decision_ms: u32,
    /// Whether servers reject tasks that do not fit.
    #[prost(bool, tag = "8")]
    pub servers_check_capacity: bool,
    /// Further time of the advisor for each server that a call names.
    #[prost(uint32, tag = "9")]
    pub advisor_period_ms: u32,
}

/// A job as it was accepted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobSpec {
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Opaque command for the tasks.
    #[prost(string, tag = "2")]
    pub command: String,
    #[prost(message, repeated, tag = "3")]
    pub steps: Vec<StepSpec>,
    /// Queue, with its configuration at the time of acceptance.
    #[prost(message, optional, tag = "4")]
    pub queue: Option<Queue>,
    /// Number of repetitions; 0 for a job that runs once and starts immediately.
    #[prost(uint32, tag = "5")]
    pub repetitions: u32,
    /// When the first repetition is due, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "6")]
    pub first_due_unix_ms: u64,
    /// Time between repetitions.
    #[prost(uint64, tag = "7")]
    pub interval_ms: u64,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "8")]
    pub accepted_unix_ms: u64,
    /// Progress of a job that moved here from another shard, as of the move; only in the inbox.
    #[prost(message, optional, tag = "9")]
    pub recorded: Option<Progress>,
}

/// Reason why a job is rejected.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum JobError {
    /// The job has no steps.
    #[snafu(display("the job has no steps"))]
    NoSteps,
    /// A step has no tasks.
    #[snafu(display("step {step} has no tasks"))]
    NoTasks {
        /// Index of the step.
        step: usize,
    },
    /// A step depends on itself, a later step or a step that does not exist.
    #[snafu(display("step {step} waits for step {after}, expected an earlier one"))]
    Dependency {
        /// Index of the step.
        step: usize,
        /// Index of the step it depends on.
        after: u32,
    },
    /// The job exceeds [`STEPS_MAX`].
    #[snafu(display("the job has {steps} steps, the limit is {STEPS_MAX}"))]
    TooManySteps {
        /// Number of steps.
        steps: usize,
    },
    /// A step exceeds [`DEPENDENCIES_MAX`].
    #[snafu(display("step {step} waits for {count} steps, the limit is {DEPENDENCIES_MAX}"))]
    TooManyDependencies {
        /// Index of the step.
        step: usize,
        /// Number of its dependencies.
        count: usize,
    },
    /// The command exceeds [`COMMAND_MAX_BYTES`].
    #[snafu(display("the command has {bytes} bytes, the limit is {COMMAND_MAX_BYTES}"))]
    LongCommand {
        /// Length of the command.
        bytes: usize,
    },
    /// A label, rack or image exceeds [`NAME_MAX_BYTES`].
    #[snafu(display("step {step} has a name of {bytes} bytes, the limit is {NAME_MAX_BYTES}"))]
    LongName {
        /// Index of the step.
        step: usize,
        /// Length of the name.
        bytes: usize,
    },
    /// The job exceeds [`TASKS_MAX`].
    #[snafu(display("the job has {tasks} tasks, the limit is {TASKS_MAX}"))]
    TooLarge {
        /// Total number of tasks.
        tasks: u64,
    },
}

impl StepSpec {
    /// Whether its tasks may run in another failure domain than that of their job; all members of a gang in the same one.
    #[must_use]
    pub fn can_be_delegated(&self) -> bool {
        self.long_running
    }
}

impl Queue {
    /// Time from acceptance within which a job with this critical path should end.
    #[must_use]
    pub fn objective_ms(&self, critical_path_ms: u64) -> u64 {
        // Hundredths are precise enough for an estimate.
        let hundredths = u64::from(crate::headroom::floor_u32(
            self.stretch_factor.max(1.0) * 100.0,
        ));
        let stretched_ms = critical_path_ms.saturating_mul(hundredths) / 100;
        stretched_ms.saturating_add(u64::from(self.target_ms))
    }
}

impl JobSpec {
    /// Validates a job before it is accepted.
    ///
    /// # Errors
    ///
    /// Returns [`JobError`] for a job that could never run as described, or would cost its shard too much.
    pub fn validate(&self) -> Result<(), JobError> {
        let steps = self.steps.len();
        ensure!(steps <= STEPS_MAX, TooManyStepsSnafu { steps });
        let bytes = self.command.len();
        ensure!(bytes <= COMMAND_MAX_BYTES, LongCommandSnafu { bytes });
        for (step, spec) in self.steps.iter().enumerate() {
            let count = spec.after.len();
            let is_few = count <= DEPENDENCIES_MAX;
            ensure!(is_few, TooManyDependenciesSnafu { step, count });
            for name in [&spec.label, &spec.data_rack, &spec.image] {
                let bytes = name.len();
                ensure!(bytes <= NAME_MAX_BYTES, LongNameSnafu { step, bytes });
            }
        }
        self.validate_structure()
    }

    /// Validates a job that has been accepted, perhaps by an earlier version without limits.
    ///
    /// # Errors
    ///
    /// Returns [`JobError`] for a job that could never run as described.
    pub fn validate_structure(&self) -> Result<(), JobError> {
        ensure!(!self.steps.is_empty(), NoStepsSnafu);
        for (step, spec) in self.steps.iter().enumerate() {
            ensure!(spec.tasks > 0, NoTasksSnafu { step });
            for &after in &spec.after {
                ensure!((after as usize) < step, DependencySnafu { step, after });
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        ensure!(tasks <= u64::from(TASKS_MAX), TooLargeSnafu { tasks });
        Ok(())
    }

    /// Total number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repetitions.max(1)
    }

    /// Whether the job is repeated on a schedule.
    #[must_use]
    pub fn is_recurring(&self) -> bool {
        self.repetitions > 0
    }

    /// When an occurrence is due, in milliseconds since the Unix epoch; 0 for a job without a schedule.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        if !self.is_recurring() {
            return 0;
        }
        let since_first_ms = u64::from(occurrence).saturating_mul(self.interval_ms);
        self.first_due_unix_ms.saturating_add(since_first_ms)
    }

    /// Longest chain of dependent steps by estimated run time.
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

    /// Longest chain of estimated run times from each step to the end of the job.
    #[must_use]
    pub fn path_ms(&self) -> Vec<u64> {
        let estimates = self.steps.iter().map(|step| u64::from(step.estimate_ms));
        let mut path_ms: Vec<u64> = estimates.collect();
        for (index, step) in self.steps.iter().enumerate().rev() {
            for &before in &step.after {
                let before = before as usize;
                let with_this_ms = u64::from(self.steps[before].estimate_ms) + path_ms[index];
                path_ms[before] = path_ms[before].max(with_this_ms);
            }
        }
        path_ms
    }

    /// Time from acceptance within which the job should end, by the configuration of its queue.
    #[must_use]
    pub fn objective_ms(&self, queue: &Queue) -> u64 {
        queue.objective_ms(self.critical_path_ms())
    }

    /// Rack that holds the data of the step with the most tasks, among steps that name one.
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
