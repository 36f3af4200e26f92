//! Long-running tasks among many short ones that take each core that becomes free.

mod common;

use common::{Harness, run_end, service_step, step};
use primrosestack_fleet::job::StepSpec;
use primrosestack_fleet::report::EndKind;

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
