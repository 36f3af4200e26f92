//! Moves of jobs to other shards that meet cancellations, faults of the store and ends of terms, in the emulator.

use primrosestack_fleet::prelude::*;
use primrosestack_standin::emulator::{Deployment, Fault, World, job, step};

const LOST_MS: u64 = 5_000;

/// Estimate of tasks that still run at the end unless they are stopped.
const LASTING_MS: u32 = 120_000;

/// A deployment whose first failure domain loses all servers, with a job near its data.
fn open(seed: u64, step: StepSpec) -> World {
    let deployment = Deployment {
        domains: 3,
        hosts_per_domain: 3,
        servers_per_domain: 2,
        cpu_millis: 64_000,
    };
    let mut world = World::open(seed, deployment).with_trace();
    let near_data = StepSpec {
        data_rack: "r-0".into(),
        ..step
    };
    world.submit_at(LOST_MS - 1_000, 1, job(1, vec![near_data]));
    for server in 0..2 {
        world.fault_at(LOST_MS, Fault::LoseServer { server });
    }
    world
}

fn rest(mut world: World) -> String {
    world.run_to_rest(60_000);
    assert_eq!(world.violation(), None);
    world.trace().join("\n")
}

/// When the job is taken to be moved, in milliseconds.
fn move_ms(step: StepSpec) -> u64 {
    let mut world = open(1, step);
    world.run_until(60_000);
    let mut lines = world.trace().iter();
    let line = lines.find(|line| line.contains("is to move"));
    let time = line.and_then(|line| line.split_whitespace().next());
    time.unwrap().parse().unwrap()
}

/// Guards against tasks of a cancelled job that start in its new home, and against cancellations left in the old one.
#[test]
fn a_job_that_is_cancelled_while_it_moves_runs_nowhere() {
    let move_ms = move_ms(step(4, LASTING_MS));
    let (mut refused, mut met) = (0, 0);
    for seed in 1..=10 {
        for cancel_ms in (move_ms - 300..move_ms + 600).step_by(10) {
            let mut world = open(seed, step(4, LASTING_MS));
            let for_ms = 1_500;
            world.fault_at(move_ms - 400, Fault::StoreSlow { for_ms });
            world.cancel_at(cancel_ms, 1, JobId(1));
            let trace = rest(world);
            refused += usize::from(trace.contains(": Refused"));
            met += usize::from(trace.contains("has moved before its cancellation"));
        }
    }
    assert!(refused > 0, "no cancellation came before the move");
    assert!(met > 0, "no move came before a cancellation");
}

/// Guards against a job that two shards run, or none, after the answer to its move was lost.
#[test]
fn a_move_without_an_answer_takes_effect_once() {
    let move_ms = move_ms(step(4, 3_000));
    let mut found = 0;
    for seed in 1..=20 {
        for fault in [
            Fault::StoreLostAnswers { for_ms: 3_000 },
            Fault::StoreLate { for_ms: 3_000 },
        ] {
            let mut world = open(seed, step(4, 3_000));
            world.fault_at(move_ms - 100, fault);
            let trace = rest(world);
            let unknown = trace.find(": Unknown");
            found += usize::from(unknown.is_some_and(|at| trace[at..].contains(": Moved")));
        }
    }
    assert!(found > 0, "no answer to a move was lost");
}

/// Guards against a job that is lost, or run by two shards, when the owner is killed while it moves.
#[test]
fn a_job_whose_owner_is_killed_while_it_moves_runs_once() {
    let move_ms = move_ms(step(4, 3_000));
    let mut unanswered = 0;
    for kill_ms in move_ms - 2..move_ms + 20 {
        let mut world = open(1, step(4, 3_000));
        let away_ms = 1_500;
        world.fault_at(kill_ms, Fault::KillOwner { domain: 0, away_ms });
        unanswered += usize::from(!rest(world).contains(": Moved"));
    }
    assert!(unanswered > 0, "no owner was killed before the answer");
}
