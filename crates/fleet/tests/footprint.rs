//! Memory that waiting jobs take, against what the limits count.

mod common;

use std::fs;

use common::{Harness, queue, step};
use primrosestack_fleet::footprint::JobSize;
use primrosestack_fleet::job::{JobId, JobSpec, StepSpec};
use primrosestack_fleet::open_tasks::OPEN_TASK_BYTES;
use primrosestack_fleet::record::StoredJob;

const JOBS: u64 = 4_000;

fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the status of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    kb.expect("the resident memory")
}

fn with_names(tasks: u32) -> StepSpec {
    StepSpec {
        label: "l".repeat(256),
        data_rack: "r".repeat(256),
        image: "i".repeat(256),
        ..step(tasks)
    }
}

fn with_dependencies() -> Vec<StepSpec> {
    let later = StepSpec {
        after: vec![0; 100],
        ..step(1)
    };
    vec![step(1), later]
}

/// Guards against a job that holds more memory than the limits count for it. One test, since its cases share a process.
#[test]
fn waiting_jobs_hold_what_is_counted() {
    let mut harnesses = Vec::new();
    for (form, command_bytes, steps) in [
        ("a small job", 0, vec![step(1)]),
        ("a long command", 8_192, vec![step(1)]),
        ("long names", 0, vec![with_names(1)]),
        ("many steps", 0, vec![step(1); 20]),
        ("many dependencies", 0, with_dependencies()),
        ("many tasks", 100, vec![with_names(40)]),
    ] {
        let job = JobSpec {
            command: "c".repeat(command_bytes),
            steps,
            queue: Some(queue(0)),
            ..JobSpec::default()
        };
        let mut harness = Harness::open(&["one"]);
        let before_kb = resident_kb();
        for id in 0..JOBS {
            let stored = StoredJob {
                spec: Some(job.clone()),
                created_revision: 200,
                ..StoredJob::default()
            };
            harness.shard.add_job(JobId(id), stored, harness.now_ms);
        }
        let held_kb = resident_kb() - before_kb;
        harnesses.push(harness);
        let size = JobSize::of(&job);
        let counted_kb = JOBS * (size.bytes + size.tasks * OPEN_TASK_BYTES) / 1_024;
        // Shown with --nocapture, for the figures in commits.
        println!("{form}: {held_kb} kB held, {counted_kb} kB counted");
        assert!(
            held_kb <= counted_kb,
            "{form}: {held_kb} kB held, {counted_kb} kB counted"
        );
        assert!(
            held_kb * 4 >= counted_kb,
            "{form}: {held_kb} kB held, {counted_kb} kB counted"
        );
    }
}
