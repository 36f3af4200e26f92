//! Slopes of the decisions.

use std::hint::black_box;
use std::sync::Arc;

use primrosestack_core::digest::Document;
use primrosestack_core::documents::Documents;
use primrosestack_core::event::JobSpec;
use primrosestack_core::ids::{JobId, ServerKey, TaskId};
use primrosestack_core::journal::{self, Accepted, Ended, Entry, RackPoolRun, ServerEntry};
use primrosestack_core::peer_frame::{self, Body, DocumentDigest, Heartbeat, Promise, ShardClaim};
use primrosestack_core::placement::{Objective, RackPoolKey, Scheduler, TaskRequest, TaskUsage};
use primrosestack_core::prelude::Resources;
use primrosestack_core::time::MonoMs;

use crate::{Failure, Measure, Slope, growth, time_ns};

/// Slopes of memory.
pub const MEMORY: [Measure; 5] = [
    ("document_bytes", document_bytes),
    ("server_bytes", server_bytes),
    ("full_scheduler_bytes", full_scheduler_bytes),
    ("running_task_bytes", running_task_bytes),
    ("pending_task_bytes", pending_task_bytes),
];

/// Slopes of time and of messages.
pub const OTHERS: [Measure; 10] = [
    ("heartbeat_bytes", heartbeat_bytes),
    ("digest_bytes", digest_bytes),
    ("promise_bytes", promise_bytes),
    ("ended_record_bytes", ended_record_bytes),
    ("accepted_record_bytes", accepted_record_bytes),
    ("server_record_bytes", server_record_bytes),
    ("heartbeat_ns", heartbeat_time),
    ("digest_ns", digest_time),
    ("placement_ns", placement_time),
    ("usage_ns_per_task", usage_time),
];

/// Size of a failure domain by section 1.6 of the design page.
const SERVERS: u32 = 700;
const SERVERS_PER_RACK: u32 = 8;
const TASKS: u32 = 15_000;
const TEAMS: u32 = 970;
/// All tasks of a job are bound to one cell here.
const TASKS_PER_JOB: u32 = 20;

/// 30 days on a monotonic clock.
const NOW: MonoMs = MonoMs(30 * 86_400_000);

fn digest() -> Body {
    Body::DocumentDigest(DocumentDigest {
        documents: 970,
        buckets: vec![u64::MAX / 3; 64],
    })
}

fn heartbeat() -> Body {
    Body::Heartbeat(Heartbeat {
        sent_ms: NOW.0,
        echo_ms: Some(NOW.0),
        leaving: false,
        free_slots: 600,
        queued: 20,
        expected_wait_ms: 40,
        claims: vec![ShardClaim {
            shard: 3,
            term: 300,
            rank: 0,
        }],
        digest_root: Some(u64::MAX / 3),
    })
}

fn frame_bytes(body: Body) -> Result<f64, Failure> {
    Ok(f64::from(u32::try_from(peer_frame::encode(body).len())?))
}

fn bytes(value: f64, basis: &str) -> Slope {
    Slope {
        value,
        unit: "bytes",
        basis: basis.to_owned(),
    }
}

fn heartbeat_bytes() -> Result<Slope, Failure> {
    let value = frame_bytes(heartbeat())?;
    Ok(bytes(
        value,
        "one claim and root hash, without length prefix",
    ))
}

fn digest_bytes() -> Result<Slope, Failure> {
    let value = frame_bytes(digest())?;
    Ok(bytes(value, "64 buckets, without length prefix"))
}

fn promise_bytes() -> Result<Slope, Failure> {
    let value = frame_bytes(Body::Promise(Promise {
        shard: 3,
        term: 300,
        sent_ms: NOW.0,
        forever: false,
    }))?;
    Ok(bytes(value, "without length prefix"))
}

fn record_bytes(entry: Entry, basis: &str) -> Result<Slope, Failure> {
    let mut out = Vec::new();
    journal::encode_entry(entry, &mut out);
    Ok(bytes(f64::from(u32::try_from(out.len())?), basis))
}

fn ended_record_bytes() -> Result<Slope, Failure> {
    // Job 0 would take no bytes.
    let first = TaskId {
        job: JobId(0x9e37_79b9_7f4a_7c15),
        index: 19,
    };
    let entry = Entry::Ended(Ended {
        first: first.into(),
        tasks: 1,
    });
    record_bytes(entry, "one task")
}

fn accepted_record_bytes() -> Result<Slope, Failure> {
    let request = request(0);
    let spec = JobSpec {
        id: JobId(0x9e37_79b9_7f4a_7c15),
        team: request.team,
        client: request.client,
        kind: request.kind,
        tasks: TASKS_PER_JOB,
        size: request.size,
        run_ms: request.run_ms,
        finish_by_unix_ms: 1_800_000_000_000,
    };
    let rack_pools = vec![RackPoolRun {
        rack_pool: 3,
        tasks: TASKS_PER_JOB,
    }];
    record_bytes(
        Entry::Accepted(Accepted::new(&spec, rack_pools)),
        "job of 20 tasks in one cell",
    )
}

fn server_record_bytes() -> Result<Slope, Failure> {
    let entry = Entry::ServerAdded(ServerEntry {
        name: "worker-0123".into(),
        rack: "rack-012".into(),
        rack_pool: 3,
        millicores: 64_000,
        memory_mib: 238_000,
        accelerators: 0,
    });
    record_bytes(entry, "one server")
}

fn frame_time(body: &Body) -> Result<Slope, Failure> {
    let mut slope = time_ns(50_000, |_| {
        let frame = peer_frame::encode(body.clone());
        black_box(peer_frame::decode(&frame).ok());
    })?;
    slope.basis.push_str(", encode and decode");
    Ok(slope)
}

fn heartbeat_time() -> Result<Slope, Failure> {
    frame_time(&heartbeat())
}

fn digest_time() -> Result<Slope, Failure> {
    frame_time(&digest())
}

fn document_bytes() -> Result<Slope, Failure> {
    const COUNT: u32 = 10_000;
    let text = include_str!("../documents/fichaluz.jsonc");
    let mut slope = growth(COUNT, || {
        let mut documents = Documents::open("poa".into(), NOW);
        for number in 0..COUNT {
            documents.apply(Document {
                team: format!("team-{number}").into(),
                revision: 1,
                text: Arc::from(text),
            });
        }
        Ok(documents)
    })?;
    slope.basis.push_str(", text included");
    Ok(slope)
}

fn open_scheduler() -> Scheduler {
    let objective = Objective {
        latency_permille: 300,
        throughput_permille: 500,
        eviction_permille: 200,
    };
    let mut scheduler = Scheduler::open(objective, 1);
    let size = Resources {
        millicores: 64_000,
        memory_mib: 250_000,
        accelerators: 0,
    };
    for number in 0..SERVERS {
        let key = ServerKey(number);
        scheduler.put_server(key, RackPoolKey(number / SERVERS_PER_RACK), size);
        scheduler.set_open(key, true);
    }
    scheduler
}

fn request(number: u32) -> TaskRequest {
    // Whole racks only; the last one has half as many servers.
    let cells = SERVERS / SERVERS_PER_RACK;
    let job = number / TASKS_PER_JOB;
    TaskRequest {
        task: TaskId {
            job: JobId(u64::from(job)),
            index: number % TASKS_PER_JOB,
        },
        team: format!("team-{}", job % TEAMS).into(),
        client: format!("client-{}", job % 3).into(),
        kind: ["invoices", "photos", "settlement"][job as usize % 3].into(),
        size: Resources {
            millicores: 1_000,
            memory_mib: 4_096,
            accelerators: 0,
        },
        run_ms: 600_000,
        finish_by: None,
        rack_pool: RackPoolKey(job % cells),
    }
}

fn place_all(scheduler: &mut Scheduler) -> u32 {
    let mut placed = 0;
    while scheduler.next(NOW).is_some() {
        placed += 1;
    }
    placed
}

fn open_full() -> Result<Scheduler, Failure> {
    let mut scheduler = open_scheduler();
    for number in 0..TASKS {
        scheduler.submit(NOW, request(number));
    }
    let placed = place_all(&mut scheduler);
    if placed != TASKS {
        return Err(format!("{placed} of {TASKS} tasks were placed").into());
    }
    Ok(scheduler)
}

fn server_bytes() -> Result<Slope, Failure> {
    const SETS: u32 = 20;
    growth(SETS * SERVERS, || {
        Ok((0..SETS).map(|_| open_scheduler()).collect::<Vec<_>>())
    })
}

/// Tasks beyond the first 15,000, so that servers, teams and learned pairs of kinds are there already.
fn running_task_bytes() -> Result<Slope, Failure> {
    let mut scheduler = open_full()?;
    let mut slope = growth(TASKS, move || {
        for number in TASKS..2 * TASKS {
            let request = request(number);
            let server = request.rack_pool.0 * SERVERS_PER_RACK + number % SERVERS_PER_RACK;
            scheduler.adopt(NOW, &request, ServerKey(server));
        }
        Ok(scheduler)
    })?;
    slope.basis.push_str(" adopted tasks beyond 15,000");
    Ok(slope)
}

/// A scheduler that has placed 15,000 tasks, with all that it holds for them.
fn full_scheduler_bytes() -> Result<Slope, Failure> {
    let mut slope = growth(1, open_full)?;
    slope
        .basis
        .push_str(": 15,000 tasks placed, 700 servers, 970 teams, 88 cells");
    Ok(slope)
}

fn pending_task_bytes() -> Result<Slope, Failure> {
    const PENDING: u32 = 100_000;
    let mut scheduler = open_full()?;
    growth(PENDING, move || {
        for number in TASKS..TASKS + PENDING {
            scheduler.submit(NOW, request(number));
        }
        Ok(scheduler)
    })
}

fn placement_time() -> Result<Slope, Failure> {
    let mut scheduler = open_full()?;
    let mut next = TASKS;
    let mut oldest = 0;
    let mut slope = time_ns(10_000, |_| {
        scheduler.remove(NOW, request(oldest).task);
        scheduler.submit(NOW, request(next));
        black_box(scheduler.next(NOW));
        oldest += 1;
        next += 1;
    })?;
    slope
        .basis
        .push_str(", end, submission and placement at 15,000 tasks");
    Ok(slope)
}

fn usage_time() -> Result<Slope, Failure> {
    let mut scheduler = open_scheduler();
    let mut running: Vec<Vec<TaskUsage>> = vec![Vec::new(); SERVERS as usize];
    for number in 0..TASKS {
        scheduler.submit(NOW, request(number));
    }
    while let Some(placement) = scheduler.next(NOW) {
        let used = placement.reserved;
        running[placement.server.0 as usize].push(TaskUsage {
            task: placement.task,
            used,
            slowdown_permille: 1_050,
        });
    }
    let mut slope = time_ns(SERVERS, |number| {
        let usage = &running[number as usize];
        scheduler.report(NOW, ServerKey(number), usage, 1_020);
    })?;
    slope.value *= f64::from(SERVERS) / f64::from(TASKS);
    slope.basis.push_str(" reports, 21 tasks each in the mean");
    Ok(slope)
}
