//! Recovery of a new owner: 15,000 running tasks, half of them with a committed checkpoint, on 700 servers.
//!
//! The measured part decodes the head, the snapshot and the tail, claims every server and takes in every report. The
//! target is under 2 s of processor time (design page, 1.6).

use std::collections::BTreeMap;
use std::sync::Arc;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use primrosestack_core::head::{Head, HostEntry};
use primrosestack_core::journal::{
    Accepted, CHUNK_MAX_BYTES, Entry, RackPoolRun, ServerEntry, encode_entry,
};
use primrosestack_core::placement::Objective;
use primrosestack_core::prelude::*;
use primrosestack_core::shard::{Shard, ShardConfig};
use primrosestack_core::snapshot::snapshot_ref;
use primrosestack_core::tasks::evicted_entry;
use primrosestack_core::view::TaskPhase;
use prost::Message;
use smol_str::SmolStr;

const SERVERS: u32 = 700;
const JOBS: u32 = 150;
const TASKS_PER_JOB: u32 = 100;
const RACK: u32 = 8;

fn host(name: &str) -> HostId {
    HostId {
        name: name.into(),
        incarnation: 1,
    }
}

fn server_name(at: u32) -> String {
    format!("worker-{at:04}")
}

/// Everything that is stored, by key, and the reports of the servers, by name.
struct World {
    stored: BTreeMap<SmolStr, Arc<[u8]>>,
    reports: BTreeMap<SmolStr, Report>,
}

fn world() -> World {
    let mut bytes = Vec::new();
    for at in 0..SERVERS {
        let entry = Entry::ServerAdded(ServerEntry {
            name: server_name(at),
            rack: format!("rack-{}", at / RACK),
            rack_pool: at / RACK,
            millicores: 64_000,
            memory_mib: 250_000,
            accelerators: 0,
        });
        encode_entry(entry, &mut bytes);
    }
    let mut reports: BTreeMap<SmolStr, Report> = BTreeMap::new();
    let mut count = 0;
    for job in 0..JOBS {
        add_job(job, &mut bytes, &mut reports, &mut count);
    }
    let snapshot = snapshot_ref(1, 9, &bytes);
    let mut stored = BTreeMap::new();
    for (at, chunk) in bytes.chunks(CHUNK_MAX_BYTES).enumerate() {
        let key = format!("shard/fd/0/snap/1-9/{at}");
        stored.insert(SmolStr::from(key), Arc::from(chunk));
    }
    let head = Head {
        term: 1,
        owner: Some(HostEntry::from(&host("old"))),
        sequence: 9,
        snapshot: Some(snapshot),
        writer: 1,
        ..Head::default()
    };
    stored.insert("shard/fd/0/head".into(), head.encode_to_vec().into());
    World { stored, reports }
}

fn add_job(
    job: u32,
    bytes: &mut Vec<u8>,
    reports: &mut BTreeMap<SmolStr, Report>,
    count: &mut u32,
) {
    let spec = JobSpec {
        id: JobId(u64::from(job) + 1),
        team: format!("team-{job}").into(),
        client: format!("client-{job}").into(),
        kind: "invoice".into(),
        tasks: TASKS_PER_JOB,
        size: Resources {
            millicores: 2_000,
            memory_mib: 4_000,
            accelerators: 0,
        },
        run_ms: 600_000,
        finish_by_unix_ms: 0,
    };
    let mut rack_pools = Vec::new();
    let mut checkpoints = Vec::new();
    for index in 0..TASKS_PER_JOB {
        let server = *count % SERVERS;
        *count += 1;
        rack_pools.push(RackPoolRun {
            rack_pool: server / RACK,
            tasks: 1,
        });
        let task = TaskId {
            job: spec.id,
            index,
        };
        let attempt = Attempt {
            term: 1,
            counter: u64::from(*count),
        };
        if index % 2 == 0 {
            let handle = format!("checkpoint-{job}-{index}");
            checkpoints.push(evicted_entry(task, attempt, &handle));
        }
        let report = reports.entry(server_name(server).into()).or_default();
        report.stamp = ServerTimestamp(1_000);
        report.tasks.push(TaskReport {
            task,
            attempt,
            state: TaskState::Running,
            checkpoint: None,
            used: spec.size,
            slowdown_permille: 1_000,
        });
    }
    encode_entry(Entry::Accepted(Accepted::new(&spec, rack_pools)), bytes);
    for entry in checkpoints {
        encode_entry(entry, bytes);
    }
}

fn observer() -> Shard {
    let config = ShardConfig {
        failure_domain: "fd".into(),
        number: 0,
        hosts: vec!["new".into(), "old".into()],
        objective: Objective {
            latency_permille: 400,
            throughput_permille: 400,
            eviction_permille: 200,
        },
        seed: 1,
        clock_drift_ppm: 10_000,
    };
    Shard::new(config, host("new"), MonoMs(0))
}

/// Drives a shard from the suspicion of the old owner until every task is known to run.
fn recover(shard: &mut Shard, world: &World) {
    let now = MonoMs(10_000);
    let mut events = vec![Event::Suspicion {
        host: host("old"),
        suspected: true,
    }];
    for (late, steps) in [(0, 1), (2_000, 1)] {
        for _ in 0..steps {
            events.push(Event::Tick);
        }
        let now = now + DurationMs(late);
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            shard.handle(now, event, &mut actions);
            for action in actions {
                events.extend(answer(action, world));
            }
        }
    }
}

fn answer(action: Action, world: &World) -> Option<Event> {
    match action {
        Action::Store { op, call } => {
            let reply = match call {
                StoreCall::Read { key } => StoreReply::Value {
                    revision: Revision(7),
                    value: world.stored.get(&key).cloned()?,
                },
                _ => StoreReply::Written {
                    revision: Revision(8),
                },
            };
            Some(Event::Store { op, reply })
        }
        Action::Command {
            op,
            name,
            command: ServerCommand::Claim,
            ..
        } => {
            let report = world.reports.get(&name)?.clone();
            let reply = ServerReply::Report(report);
            Some(Event::Server { op, reply })
        }
        _ => None,
    }
}

fn recovery(criterion: &mut Criterion) {
    let world = world();
    let mut checked = observer();
    recover(&mut checked, &world);
    let running = checked.task_counts().get(&TaskPhase::Running).copied();
    assert_eq!(
        running,
        Some(JOBS * TASKS_PER_JOB),
        "the bench recovers every task"
    );
    criterion.bench_function("recover 15,000 tasks on 700 servers", |bencher| {
        bencher.iter_batched_ref(
            observer,
            |shard| recover(shard, &world),
            BatchSize::PerIteration,
        );
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10);
    targets = recovery
}
criterion_main!(benches);
