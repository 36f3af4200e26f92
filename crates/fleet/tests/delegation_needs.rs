//! Delegation of long-running tasks that not every server can run.

mod common;

use common::{DELEGATION_WAIT_MS, Harness, entry, service_step, step};
use primrosestack_fleet::job::{JobId, StepSpec};
use primrosestack_fleet::record::StoredJob;
use primrosestack_fleet::report::ServerEntry;
use smol_str::SmolStr;
use test_case::test_case;

const LONG_RUNNING: JobId = JobId(7);

fn labelled(name: &str, label: &str, cpu_millis: u32) -> ServerEntry {
    ServerEntry {
        cpu_millis,
        gpus: if label == "gold" { 2 } else { 0 },
        labels: vec![label.into(), "r-1".into()],
        ..entry(name)
    }
}

fn gold_step() -> StepSpec {
    StepSpec {
        label: "gold".into(),
        ..service_step(1, "a")
    }
}

fn gpu_step() -> StepSpec {
    StepSpec {
        gpus: 1,
        ..service_step(1, "a")
    }
}

/// A shard that has lost its only server for one of the tasks of a job, while the others run.
fn home_without(special: StepSpec) -> Harness {
    let servers = [
        labelled("one", "plain", 16_000),
        labelled("two", "gold", 16_000),
    ];
    let mut source = Harness::open_with(&servers);
    let tasks = special.tasks as usize + 3;
    source.submit(LONG_RUNNING.0, 0, vec![special, service_step(3, "a")]);
    source.plan();
    assert_eq!(source.confirm_starts().len(), tasks);
    source.report_running(&[LONG_RUNNING]);
    source.write_records();
    source.shard.unregister_server("two");
    for _ in 0..80 {
        source.now_ms += 100;
        source.report_running_on("one", &[LONG_RUNNING]);
        source.tick();
        source.plan();
        source.confirm_starts();
    }
    source.now_ms += DELEGATION_WAIT_MS;
    source
}

/// Guards against a long-running task that needs a label or accelerators and never runs again after the loss of its server,
/// while other tasks of its job run and keep the job in its home.
#[test_case(gold_step(); "label")]
#[test_case(gpu_step(); "accelerators")]
fn a_task_with_special_needs_starts_where_they_are_met(special: StepSpec) {
    let mut source = home_without(special);
    let plain = Harness::open_with(&[labelled("three", "plain", 64_000)]).load();
    let gold = Harness::open_with(&[labelled("four", "gold", 16_000)]).load();
    let mut others = vec![(SmolStr::new("cxs"), gold), (SmolStr::new("pel"), plain)];
    assert!(source.shard.delegate_tasks(&mut others, source.now_ms));
    let batch = source.shard.take_batch(source.now_ms);
    let (domain, transfer) = &batch.jobs[0].transfers[0];
    assert_eq!(domain, "cxs");
    assert_eq!(transfer.tasks.len(), 1);
    assert_eq!((transfer.tasks[0].step, transfer.tasks[0].index), (0, 0));
    assert_eq!(source.shard.runs_on(source.key("one")).len(), 3);
}

/// Guards against a task that goes to a failure domain whose servers with its label are full, since others have room.
#[test]
fn a_label_and_room_have_to_be_on_the_same_server() {
    let mut source = home_without(gold_step());
    let servers = [
        labelled("three", "plain", 64_000),
        labelled("four", "gold", 16_000),
    ];
    let mut target = Harness::open_with(&servers);
    let gold = StepSpec {
        label: "gold".into(),
        ..step(16)
    };
    target.submit(9, 0, vec![gold]);
    target.plan();
    assert_eq!(target.confirm_starts().len(), 16);
    let mut others = vec![(SmolStr::new("cxs"), target.load())];
    assert!(!source.shard.delegate_tasks(&mut others, source.now_ms));
}

/// Guards against a server that is the only one with a label, or with accelerators, and is left out of the report since many
/// others have more room.
#[test_case(gold_step(); "label")]
#[test_case(gpu_step(); "accelerators")]
fn a_rare_server_is_reported_beside_many_with_more_room(special: StepSpec) {
    let mut source = home_without(special);
    let names: Vec<String> = (0..40).map(|nth| format!("s{nth}")).collect();
    let mut servers: Vec<ServerEntry> = Vec::new();
    for name in &names {
        servers.push(labelled(name, "plain", 64_000));
    }
    servers.push(labelled("rare", "gold", 4_000));
    let mut others = vec![(SmolStr::new("cxs"), Harness::open_with(&servers).load())];
    assert!(source.shard.delegate_tasks(&mut others, source.now_ms));
}

/// Guards against a long-running gang that never runs again after the loss of a server, since no servers of its home
/// have room for all members, while other tasks of its job run and keep the job there.
#[test]
fn a_gang_starts_as_a_whole_in_another_failure_domain() {
    let gang = StepSpec {
        tasks: 4,
        cpu_millis: 4_000,
        gang: true,
        ..gold_step()
    };
    let mut source = home_without(gang);
    let small = Harness::open_with(&[labelled("three", "gold", 12_000)]).load();
    let mut others = vec![(SmolStr::new("cxs"), small)];
    assert!(!source.shard.delegate_tasks(&mut others, source.now_ms));
    let servers = [
        labelled("four", "gold", 8_000),
        labelled("five", "gold", 8_000),
    ];
    let mut target = Harness::open_with(&servers);
    others.push((SmolStr::new("pel"), target.load()));
    assert!(source.shard.delegate_tasks(&mut others, source.now_ms));
    let batch = source.shard.take_batch(source.now_ms);
    let record = &batch.jobs[0];
    assert_eq!(record.transfers.len(), 1, "all members go at once");
    assert_eq!(record.transfers[0].0, "pel");
    let stored = StoredJob {
        spec: record.spec.clone(),
        is_delegated: true,
        transfers: vec![record.transfers[0].1.clone()],
        created_revision: 200,
        ..StoredJob::default()
    };
    target.shard.add_job(LONG_RUNNING, stored, target.now_ms);
    target.plan();
    let starts = target.confirm_starts();
    assert_eq!(starts.len(), 4);
    assert!(
        starts
            .iter()
            .all(|(_, request)| request.run == starts[0].1.run)
    );
}
