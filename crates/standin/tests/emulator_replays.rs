//! Cases of the independent review (`review/`), replayed on the decisions that ship.

use primrosestack_fleet::prelude::*;
use primrosestack_standin::emulator::{
    Deployment, Fault, Plan, START_UNIX_MS, World, job, long_running_step, step,
};
use test_case::test_case;

const DEPLOYMENT: Deployment = Deployment {
    domains: 3,
    hosts_per_domain: 3,
    servers_per_domain: 8,
    cpu_millis: 64_000,
};

fn rest(mut world: World, end_ms: u64) {
    world.run_to_rest(end_ms);
    assert_eq!(world.violation(), None);
    assert!(world.starts() > 0, "nothing was started");
}

/// Guards against occurrences that a new owner counts as never begun (review/1).
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn occurrences_run_once_when_the_owner_is_killed(seed: u64) {
    let mut world = World::open(seed, DEPLOYMENT);
    let spread = StepSpec {
        cpu_millis: 10_000,
        ..step(1, 4_500)
    };
    let spec = JobSpec {
        repetitions: 24,
        first_due_unix_ms: START_UNIX_MS + 5_000,
        interval_ms: 100,
        ..job(1, vec![spread])
    };
    world.submit_at(4_000, 0, spec);
    for domain in 0..3 {
        let away_ms = 1_500;
        world.fault_at(7_400, Fault::KillOwner { domain, away_ms });
    }
    rest(world, 40_000);
}

/// Guards against jobs that fail by starts that no server carried out (review/4).
#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
fn starts_on_servers_without_power_fail_no_job(first: usize) {
    for second_ms in (9_400..10_900).step_by(50) {
        let mut world = World::open(
            1,
            Deployment {
                servers_per_domain: 3,
                ..DEPLOYMENT
            },
        );
        let spec = StepSpec {
            data_rack: "r-0".into(),
            ..step(1, 3_000)
        };
        world.submit_at(4_300, 0, job(1, vec![spec]));
        let away_ms = 3_000;
        world.fault_at(
            4_000,
            Fault::CrashServer {
                server: first,
                away_ms,
            },
        );
        for server in (0..3).filter(|&server| server != first) {
            world.fault_at(second_ms, Fault::CrashServer { server, away_ms });
        }
        rest(world, 40_000);
    }
}

/// Guards against a lease that a new life of a server takes from the clock of the life before (review/5).
#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
fn the_lease_after_a_restart_is_that_of_the_new_clock(server: usize) {
    for restart_ms in (11_000..12_400).step_by(100) {
        let deployment = Deployment {
            servers_per_domain: 4,
            ..DEPLOYMENT
        };
        let mut world = World::open(1, deployment);
        let lasting = StepSpec {
            cpu_millis: 13_000,
            data_rack: "r-0".into(),
            ..long_running_step(8)
        };
        world.submit_at(restart_ms + 2_500, 0, job(1, vec![lasting]));
        let away_ms = 700;
        world.fault_at(restart_ms, Fault::RestartServer { server, away_ms });
        let for_ms = 5_500;
        world.fault_at(restart_ms + 4_500, Fault::CutServer { server, for_ms });
        rest(world, 45_000);
    }
}

/// Guards against delegated tasks of a cancelled job that start while its home shard has no owner (review, `cancel`).
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn delegated_tasks_of_a_cancelled_job_do_not_start(seed: u64) {
    let deployment = Deployment {
        servers_per_domain: 2,
        cpu_millis: 16_000,
        ..DEPLOYMENT
    };
    let mut world = World::open(seed, deployment);
    let lasting = StepSpec {
        cpu_millis: 7_000,
        data_rack: "r-0".into(),
        ..long_running_step(8)
    };
    world.submit_at(3_000, 0, job(1, vec![lasting]));
    for host in 0..3 {
        let away_ms = 60_000;
        world.fault_at(9_000, Fault::KillHost { host, away_ms });
    }
    world.cancel_at(9_100, 1, JobId(1));
    for server in 2..6 {
        world.fault_at(
            9_200,
            Fault::CrashServer {
                server,
                away_ms: 3_300,
            },
        );
    }
    rest(world, 40_000);
}

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

/// Guards against a run number that the next owner of a delegated task uses again.
#[test]
fn the_next_owner_of_a_delegated_task_uses_higher_run_numbers() {
    let world = Plan::draw(1_556, 6).run(false);
    assert_eq!(world.violation(), None);
}

/// Guards against a start that a server carries out late, after it was stopped in an earlier life of the server.
#[test]
fn a_stopped_start_is_not_carried_out_by_the_next_life_of_its_server() {
    let world = Plan::draw(132, 6).run(false);
    assert_eq!(world.violation(), None);
}
