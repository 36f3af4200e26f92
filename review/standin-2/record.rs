//! What was sent, answered and run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// What the workers know of one task.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// Worker and run number of what runs.
    pub running: Vec<(String, u64)>,
    pub starts: u32,
    pub last_end: Option<Instant>,
    /// Whether a run has ended `done`.
    pub done: bool,
    /// Whether a run began while another one ran.
    pub doubled: bool,
}

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    tasks: Mutex<BTreeMap<String, TaskState>>,
}

impl Record {
    pub fn open(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
            tasks: Mutex::default(),
        })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:7.3} {text}", self.began.elapsed().as_secs_f64());
        println!("{line}");
        let _unwritten = writeln!(self.file.lock().unwrap(), "{line}");
    }

    pub fn started(&self, task: &str, run: u64, worker: &str, token: u64) {
        self.line(&format!(
            "started {task} run {run} on {worker} (token {token})"
        ));
        let mut tasks = self.tasks.lock().unwrap();
        let state = tasks.entry(task.into()).or_default();
        if let Some((other, number)) = state.running.last() {
            state.doubled = true;
            self.line(&format!(
                "TWICE: run {number} of {task} is at work on {other}"
            ));
        }
        state.running.push((worker.into(), run));
        state.starts += 1;
    }

    pub fn ended(&self, task: &str, run: u64, worker: &str, kind: &str) {
        self.line(&format!("ended {task} run {run} on {worker}: {kind}"));
        let mut tasks = self.tasks.lock().unwrap();
        let state = tasks.entry(task.into()).or_default();
        state
            .running
            .retain(|(other, number)| other != worker || *number != run);
        state.last_end = Some(Instant::now());
        state.done |= kind == "done";
    }

    /// Notes that `ackCursor` reached an end.
    pub fn noted(&self, task: &str, run: u64, worker: &str, kind: &str) {
        self.line(&format!("noted {task} run {run} on {worker}: {kind}"));
    }

    pub fn task(&self, task: &str) -> TaskState {
        let tasks = self.tasks.lock().unwrap();
        tasks.get(task).cloned().unwrap_or_default()
    }
}
