//! Replays of open findings in the emulator; each fails on the decisions as they are.

use primrosestack_fleet::prelude::*;
use primrosestack_standin::emulator::{Deployment, Fault, Plan, World, job, step};

/// Guards against short tasks that wait for ever when all servers of their home failure domain are lost (review/3).
#[test]
fn short_tasks_run_elsewhere_when_all_servers_of_their_home_are_lost() {
    let deployment = Deployment {
        domains: 3,
        hosts_per_domain: 3,
        servers_per_domain: 2,
        cpu_millis: 64_000,
    };
    let mut world = World::open(1, deployment);
    let near_data = StepSpec {
        cpu_millis: 4_600,
        data_rack: "r-0".into(),
        ..step(4, 3_000)
    };
    for nth in 1..=3 {
        world.submit_at(3_300 + nth * 200, 1, job(nth, vec![near_data.clone()]));
    }
    for server in 0..2 {
        world.fault_at(5_000, Fault::LoseServer { server });
    }
    world.run_to_rest(45_000);
    assert_eq!(world.violation(), None);
}

/// Guards against a start that a server carries out late, after it was stopped in an earlier life of the server.
#[test]
fn a_stopped_start_is_not_carried_out_by_the_next_life_of_its_server() {
    let world = Plan::draw(132, 6).run(false);
    assert_eq!(world.violation(), None);
}

/// Guards against a run number that the next owner of a delegated task uses again.
#[test]
fn the_next_owner_of_a_delegated_task_uses_higher_run_numbers() {
    let world = Plan::draw(1_556, 6).run(false);
    assert_eq!(world.violation(), None);
}
