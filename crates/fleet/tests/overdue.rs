//! Long-running tasks among many short ones that take each core that becomes free.

mod common;

use common::{Harness, run_end, service_step, step};
use primrosestack_fleet::job::StepSpec;
use primrosestack_fleet::report::EndKind;
use test_case::test_case;

/// Time within which a long-running task must have a run again.
const START_WITHIN_MS: u64 = 6_000;

const SERVERS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

/// Guards against a long-running task that never starts since short tasks take the room of each one that ends.
#[test]
fn room_for_an_overdue_task_collects_on_one_server() {
    let mut harness = Harness::open(&SERVERS);
    harness.submit(7, 0, vec![step(9_000)]);
    harness.plan();
    assert_eq!(harness.confirm_starts().len(), 16 * SERVERS.len());
    harness.write_records();
    let large = StepSpec {
        cpu_millis: 4_000,
        ..service_step(1, "web")
    };
    let lasting = harness.submit(8, 0, vec![large]);
    let waits_since_ms = harness.now_ms;
    let mut number = 0;
    loop {
        harness.now_ms += 100;
        number += 1;
        for name in SERVERS {
            let (task, run) = harness.shard.runs_on(harness.key(name))[0];
            harness.report_end(name, &run_end(number, task, run, EndKind::Done));
        }
        harness.write_records();
        harness.tick();
        harness.plan();
        let starts = harness.confirm_starts();
        if starts.iter().any(|(_, start)| start.task.job == lasting) {
            break;
        }
        let waited_ms = harness.now_ms - waits_since_ms;
        assert!(waited_ms < START_WITHIN_MS, "no room has collected");
    }
}

/// Eight servers full of short tasks, and a long-running task that has waited too long.
fn overdue_task(spec: StepSpec) -> Harness {
    let mut harness = Harness::open(&SERVERS);
    harness.submit(7, 0, vec![step(9_000)]);
    harness.plan();
    harness.confirm_starts();
    harness.write_records();
    harness.submit(8, 0, vec![spec]);
    harness.now_ms += START_WITHIN_MS;
    harness
}

/// The first run on each server ends. Returns the number of short tasks that start then.
fn starts_after_ends(harness: &mut Harness) -> usize {
    for name in SERVERS {
        let (task, run) = harness.shard.runs_on(harness.key(name))[0];
        harness.report_end(name, &run_end(1, task, run, EndKind::Done));
    }
    harness.plan();
    harness.starts.len()
}

/// Guards against servers that are kept free of short tasks for a task that finds no room there anyway.
#[test_case(4_000, 1_000, false, 7; "room collects")]
#[test_case(4_000, 65_000, false, 8; "too little memory")]
#[test_case(4_000, 1_000, true, 8; "waits for headroom")]
fn only_a_task_that_will_find_room_has_a_server_reserved(
    cpu_millis: u32,
    memory_mb: u32,
    best_effort: bool,
    starts: usize,
) {
    let mut harness = overdue_task(StepSpec {
        cpu_millis,
        memory_mb,
        best_effort,
        ..service_step(1, "web")
    });
    assert_eq!(starts_after_ends(&mut harness), starts);
}

/// Guards against a server that is reserved for ever for a task that does not start for another reason.
#[test]
fn a_reservation_ends() {
    let mut harness = overdue_task(StepSpec {
        cpu_millis: 4_000,
        ..service_step(1, "web")
    });
    harness.now_ms += 20_000;
    assert_eq!(starts_after_ends(&mut harness), SERVERS.len());
}
