//! Helpers of the batch scheduler tests.

use primrosestack_core::placement::{
    Objective, Placement, RackPoolKey, Scheduler, TaskRequest, TaskUsage,
};
use primrosestack_core::prelude::*;

pub const SEED: u64 = 11;

pub const LATENCY_FIRST: Objective = Objective {
    latency_permille: 700,
    throughput_permille: 200,
    eviction_permille: 100,
};

pub fn size(millicores: u32, memory_mib: u32) -> Resources {
    Resources {
        millicores,
        memory_mib,
        accelerators: 0,
    }
}

pub fn id(job: u64, index: u32) -> TaskId {
    TaskId {
        job: JobId(job),
        index,
    }
}

pub fn request(task: TaskId, client: &str, kind: &str, size: Resources) -> TaskRequest {
    TaskRequest {
        task,
        team: format!("team-{client}").into(),
        client: client.into(),
        kind: kind.into(),
        size,
        run_ms: 60_000,
        finish_by: None,
        rack_pool: RackPoolKey(0),
    }
}

pub fn scheduler(servers: u32, size: Resources) -> Scheduler {
    let mut scheduler = Scheduler::open(LATENCY_FIRST, SEED);
    for key in 0..servers {
        scheduler.put_server(ServerKey(key), RackPoolKey(0), size);
        scheduler.set_open(ServerKey(key), true);
    }
    scheduler
}

pub fn usage(task: TaskId, used: Resources, slowdown_permille: u32) -> TaskUsage {
    TaskUsage {
        task,
        used,
        slowdown_permille,
    }
}

pub fn place_all(scheduler: &mut Scheduler, now: MonoMs) -> Vec<Placement> {
    std::iter::from_fn(|| scheduler.next(now)).collect()
}
