//! Servers whose capacity changes while they run.

mod common;

use common::{Harness, best_effort_step, entry, run_end, run_status, service_step, step, task_id};
use primrosestack_fleet::job::{JobId, StepSpec};
use primrosestack_fleet::report::{EndKind, ServerEntry};
use test_case::test_case;

/// A server that says it has this capacity now.
fn sized_entry(cpu_millis: u32, memory_mb: u32) -> ServerEntry {
    ServerEntry {
        cpu_millis,
        memory_mb,
        ..entry("one")
    }
}

/// All runs report in; the capacity in the registration stays as it is.
fn beat(harness: &mut Harness, ms: u64) {
    harness.now_ms += ms;
    harness.report_tails("one", JobId(1), 5);
}

/// Guards against starts on a server whose capacity has shrunk below what runs there, also while one of its runs is being
/// stopped, and against it getting no starts after its capacity has grown again.
#[test_case(&step(8), 4_000, 64_000; "short by CPU")]
#[test_case(&step(8), 16_000, 4_000; "short by memory")]
#[test_case(&service_step(8, "web"), 4_000, 64_000; "long-running by CPU")]
#[test_case(&service_step(8, "web"), 16_000, 4_000; "long-running by memory")]
#[test_case(&best_effort_step(8, "batch"), 16_000, 4_000; "best-effort by memory")]
fn a_shrunk_server_gets_no_start_until_it_grows(
    step_spec: &StepSpec,
    cpu_millis: u32,
    memory_mb: u32,
) {
    let one = StepSpec {
        tasks: 1,
        ..step_spec.clone()
    };
    let mut harness = Harness::open(&["one"]);
    let jobs: Vec<JobId> = (1..=8)
        .map(|id| harness.submit(id, 0, vec![one.clone()]))
        .collect();
    harness.plan();
    let starts = harness.confirm_starts();
    assert_eq!(starts.len(), 8);
    beat(&mut harness, 600);

    // Room for four of the eight that run.
    harness
        .shard
        .set_server(sized_entry(cpu_millis, memory_mb), harness.now_ms);
    harness.submit(9, 0, vec![one.clone()]);
    for _ in 0..8 {
        harness.plan();
        beat(&mut harness, 1_000);
    }
    assert!(harness.starts.is_empty(), "the server is over its capacity");

    // Five jobs are cancelled. While their runs are being stopped they still count.
    for &job in &jobs[..5] {
        let key = harness.shard.find_job(job).expect("the job is known");
        harness.shard.cancel(key, harness.now_ms);
    }
    for _ in 0..4 {
        harness.plan();
        beat(&mut harness, 1_000);
    }
    assert!(harness.starts.is_empty(), "the runs are still listed");

    // The ends of four are listed: four are left, one of them on its way out.
    for (number, &job) in (1..).zip(&jobs[..4]) {
        let run = starts
            .iter()
            .find(|(_, start)| start.task.job == job)
            .expect("started")
            .1
            .run;
        let end = run_end(number, task_id(job, 0, 0), run, EndKind::Stopped);
        harness.report_end("one", &end);
        harness.plan();
        assert!(harness.starts.is_empty(), "{} runs are left", 8 - number);
    }

    // It grows by the room of one task.
    let (cpu_millis, memory_mb) = if cpu_millis < 16_000 {
        (cpu_millis + 1_000, memory_mb)
    } else {
        (cpu_millis, memory_mb + 1_000)
    };
    harness
        .shard
        .set_server(sized_entry(cpu_millis, memory_mb), harness.now_ms);
    harness.submit(10, 0, vec![one]);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against the members of a gang going to a server whose capacity has shrunk.
#[test]
fn a_gang_does_not_start_on_a_shrunk_server() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(1, 0, vec![step(4)]);
    harness.plan();
    harness.confirm_starts();
    harness
        .shard
        .set_server(sized_entry(5_000, 64_000), harness.now_ms);
    let gang = StepSpec {
        gang: true,
        ..step(2)
    };
    harness.submit(2, 0, vec![gang]);
    harness.plan();
    assert!(harness.starts.is_empty());
    harness
        .shard
        .set_server(sized_entry(6_000, 64_000), harness.now_ms);
    harness.plan();
    assert_eq!(harness.starts.len(), 2);
}

/// Guards against best-effort tasks on a server whose CPU has shrunk below its short tasks, and against an underflow.
#[test]
fn best_effort_tasks_leave_a_shrunk_server_alone() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(1, 0, vec![step(8)]);
    harness.plan();
    assert_eq!(harness.confirm_starts().len(), 8);
    harness
        .shard
        .set_server(sized_entry(4_000, 64_000), harness.now_ms);
    harness.submit(2, 0, vec![best_effort_step(1, "batch")]);
    for _ in 0..8 {
        harness.plan();
        beat(&mut harness, 1_000);
    }
    assert!(harness.starts.is_empty());
}

/// Guards against a start beside runs that the server is told to stop because the shard does not know them: what is being
/// stopped still counts.
#[test]
fn unknown_runs_count_until_they_are_gone() {
    let mut harness = Harness::open_term(2, &[], &["one"]);
    let unknown: Vec<_> = (0..16)
        .map(|index| run_status(task_id(JobId(99), 0, index), 1))
        .collect();
    harness.report("one", &unknown, &[]);
    harness.write_records();
    assert_eq!(harness.stops.len(), 16);
    harness.submit(1, 0, vec![step(1)]);
    harness.plan();
    assert!(harness.starts.is_empty(), "the server may be full");
    harness.now_ms += 900;
    harness.report("one", &[], &[]);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against starts by the registration of an earlier life: the server may be of another kind now.
#[test]
fn a_new_life_gets_no_start_by_the_registration_of_the_one_before() {
    let mut harness = Harness::open(&[]);
    let first = ServerEntry {
        started_unix_ms: 5,
        ..entry("one")
    };
    harness.shard.set_server(first, harness.now_ms);
    harness.claim("one");
    harness.write_records();
    harness.restart("one");
    harness.claim("one");
    harness.submit(1, 0, vec![step(1)]);
    harness.plan();
    assert!(
        harness.starts.is_empty(),
        "its capacity and labels are not known"
    );
    let second = ServerEntry {
        started_unix_ms: 6,
        ..entry("one")
    };
    harness.shard.set_server(second, harness.now_ms);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}
