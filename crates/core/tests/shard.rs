//! Scenarios of one shard with entry hosts, a store and backend servers.

mod common;

use common::*;
use primrosestack_core::prelude::*;
use primrosestack_core::view::TaskPhase;

const HOSTS: [&str; 3] = ["a", "b", "c"];

fn opened(servers: usize, rack: usize) -> World {
    let mut world = World::open(&HOSTS, servers, rack);
    world.run_until(5_000, "an owner with claimed servers", |world| {
        let servers = world.servers.len();
        let is_open = |world: &World| {
            let shard = world.owner_shard();
            let states = shard.servers().map(|server| server.state);
            states
                .filter(|state| *state == primrosestack_core::view::ServerState::Claimed)
                .count()
        };
        world.owner().is_some() && is_open(world) == servers
    });
    world
}

/// Guards against an owner that never acquires a new shard, does not start accepted work, lets its leases lapse or
/// does not record its end.
#[test]
fn acquires_and_runs_a_job() {
    let mut world = opened(2, 2);
    let reply = world.submit(job(1, 3));
    assert_eq!(
        reply,
        TokenReply::Accepted {
            job: JobId(1),
            new: true
        }
    );
    world.run(60_000);
    assert_eq!(world.running_total(), 3, "leases are renewed");
    for index in 0..3 {
        world.end(task(1, index), &TaskState::Succeeded);
    }
    world.run(5_000);
    let view = world.owner_shard().job(JobId(1)).expect("remembered");
    assert_eq!(view.tasks.get(&TaskPhase::Ended), Some(&3));
    let left: usize = world
        .servers
        .values()
        .map(|server| server.attempts.len())
        .sum();
    assert_eq!(left, 0, "ended attempts are acknowledged");
}
