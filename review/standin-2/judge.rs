//! The rule LOST: "for 3 s, a job has nothing running while a task's turn has come, there is capacity for it twice over,
//! and under half of the service's capacity is in use. The last holds for each task that lasts, from 6 s after its last
//! run".

use std::thread;
use std::time::{Duration, Instant};

use crate::site::Site;
use crate::worker::Work;

const STUCK: Duration = Duration::from_secs(3);
const LASTING: Duration = Duration::from_secs(6);

pub struct Step {
    pub tasks: u32,
    pub work: Work,
    pub after: Vec<u32>,
    pub label: &'static str,
    /// Rack of the data.
    pub rack: &'static str,
}

pub struct Job {
    pub queue: &'static str,
    pub service: &'static str,
    pub id: String,
    pub steps: Vec<Step>,
}

impl Job {
    pub fn path(&self) -> String {
        format!("/{}/{}", self.queue, self.id)
    }

    pub fn task(&self, step: usize, index: u32) -> String {
        format!("{}.0.{step}.{index}", self.id)
    }

    /// The body of the POST.
    pub fn body(&self) -> String {
        let mut specs = Vec::new();
        let mut steps = Vec::new();
        for step in &self.steps {
            let Work { cpu, mem, ms } = step.work;
            specs.push(format!("{cpu},{mem},{ms}"));
            let mut text = format!("{{\"count\":{},\"cpu\":{cpu},\"memMb\":{mem}", step.tasks);
            if ms > 0 {
                text += &format!(",\"estimatedMs\":{ms}");
            } else {
                text += ",\"longRunning\":true,\"image\":\"i1\"";
            }
            if !step.after.is_empty() {
                text += &format!(",\"after\":{:?}", step.after);
            }
            if !step.rack.is_empty() {
                text += &format!(",\"affinity\":\"{}\"", step.rack);
            }
            if !step.label.is_empty() {
                text += &format!(",\"requirements\":\"{}\"", step.label);
            }
            steps.push(text + "}");
        }
        format!(
            "{{\"spec\":\"{}\",\"steps\":[{}]}}",
            specs.join(";"),
            steps.join(",")
        )
    }

    fn is_turn(&self, site: &Site, step: &Step) -> bool {
        step.after.iter().all(|&before| {
            let tasks = self.steps[before as usize].tasks;
            (0..tasks).all(|index| site.record.task(&self.task(before as usize, index)).done)
        })
    }

    /// Whether there is room for a task of the step twice over, and under half of the service is in use.
    fn has_room(&self, site: &Site, step: &Step) -> bool {
        let (mut fits, mut capacity, mut used) = (0, 0, 0);
        for worker in site
            .workers
            .iter()
            .filter(|worker| worker.service == self.service)
        {
            let Some((cpu, mem)) = worker.free() else {
                continue;
            };
            capacity += worker.cpu;
            used += worker.cpu - cpu;
            let has_label =
                step.label.is_empty() || worker.labels.iter().any(|label| label == step.label);
            if has_label {
                fits += (cpu / step.work.cpu.max(1)).min(mem / step.work.mem.max(1));
            }
        }
        fits >= 2 && used * 2 < capacity
    }

    /// A task that stands still although it could run.
    fn stuck_task(&self, site: &Site, turns: &mut [Option<Instant>]) -> Option<String> {
        let mut is_running = false;
        let mut waiting = None;
        for (number, step) in self.steps.iter().enumerate() {
            if !self.is_turn(site, step) {
                continue;
            }
            let turn = *turns[number].get_or_insert_with(Instant::now);
            for index in 0..step.tasks {
                let task = self.task(number, index);
                let state = site.record.task(&task);
                is_running |= !state.running.is_empty();
                if state.done || !state.running.is_empty() || !self.has_room(site, step) {
                    continue;
                }
                if step.work.ms > 0 {
                    waiting.get_or_insert(task);
                } else if state.last_end.unwrap_or(turn).elapsed() >= LASTING {
                    return Some(task);
                }
            }
        }
        waiting.filter(|_| !is_running)
    }
}

/// Watches jobs for a while. Returns whether one stood still for 3 s.
pub fn stands_still(site: &Site, jobs: &[&Job], length: Duration) -> bool {
    let end = Instant::now() + length;
    let mut turns: Vec<Vec<Option<Instant>>> =
        jobs.iter().map(|job| vec![None; job.steps.len()]).collect();
    let mut since: Vec<Option<(Instant, String)>> = jobs.iter().map(|_| None).collect();
    while Instant::now() < end {
        for (number, job) in jobs.iter().enumerate() {
            let Some(task) = job.stuck_task(site, &mut turns[number]) else {
                since[number] = None;
                continue;
            };
            let (began, _) = since[number].get_or_insert_with(|| (Instant::now(), task.clone()));
            if began.elapsed() >= STUCK {
                site.record.line(&format!(
                    "LOST: {task} has stood still for 3 s, with room for it twice over and under half of the service in use"
                ));
                return true;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
