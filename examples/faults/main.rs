//! Randomized fault test of the cores: `cargo run --release --example faults -- --first-seed 1 --seeds 2000`.
//!
//! Ends with 0 if every check held for every seed. Otherwise it prints the lowest seed that failed, the faults that the
//! failure needs and the last steps before it, and ends with 1.

mod callers;
mod checks;
mod clock;
mod host;
mod links;
mod network;
mod schedule;
mod script;
mod server;
mod store;
mod world;

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use bpaf::Bpaf;

use crate::checks::{Checked, Violation};
use crate::world::World;

type Figures = BTreeMap<&'static str, u64>;

/// Options of the fault test.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    #[bpaf(argument("SEED"), fallback(1))]
    first_seed: u64,
    #[bpaf(argument("COUNT"), fallback(100))]
    seeds: u64,
    #[bpaf(argument("COUNT"), fallback(8))]
    threads: u64,
    #[bpaf(argument("LINES"), fallback(60))]
    lines: usize,
}

fn main() -> ExitCode {
    let options = options().run();
    let next = AtomicU64::new(options.first_seed);
    let failed = AtomicU64::new(u64::MAX);
    let end = options.first_seed.saturating_add(options.seeds);
    let mut totals = Figures::new();
    thread::scope(|scope| {
        let workers: Vec<_> = (0..options.threads.max(1))
            .map(|_| scope.spawn(|| work(&next, &failed, end)))
            .collect();
        for worker in workers {
            let figures = worker.join().unwrap_or_default();
            for (what, figure) in figures {
                *totals.entry(what).or_default() += figure;
            }
        }
    });
    match failed.into_inner() {
        u64::MAX => {
            print!("seeds={} violations=0", options.seeds);
            for (what, figure) in totals {
                print!(" {what}={figure}");
            }
            println!();
            ExitCode::SUCCESS
        }
        seed => {
            explain(seed, options.lines);
            ExitCode::FAILURE
        }
    }
}

/// Runs seeds until none is left, or until a lower one has failed.
fn work(next: &AtomicU64, failed: &AtomicU64, end: u64) -> Figures {
    let mut totals = Figures::new();
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= end || seed > failed.load(Ordering::Relaxed) {
            return totals;
        }
        let mut world = World::new(seed, &[]);
        if attempt(&mut world).is_err() {
            failed.fetch_min(seed, Ordering::Relaxed);
        }
        for (what, figure) in world.checks.figures {
            *totals.entry(what).or_default() += figure;
        }
    }
}

/// Leaves out every fault that the failure does not need, and prints what is left.
fn explain(seed: u64, lines: usize) {
    let Some(first) = run(seed, &[]) else {
        return;
    };
    let faults = World::new(seed, &[]).schedule.faults.len();
    let mut without = Vec::new();
    for fault in 0..faults {
        without.push(fault);
        if run(seed, &without).is_none_or(|violation| violation.check != first.check) {
            without.pop();
        }
    }
    let mut world = World::new(seed, &without);
    world.trace = Some(Vec::new());
    let Err(violation) = attempt(&mut world) else {
        return;
    };
    println!(
        "seed={seed} check={:?} {}",
        violation.check, violation.detail
    );
    for (at, (start_us, end_us, fault)) in world.schedule.faults.iter().enumerate() {
        if !without.contains(&at) {
            println!("fault from {start_us} us to {end_us} us: {fault:?}");
        }
    }
    let trace = world.trace.unwrap_or_default();
    for line in &trace[trace.len().saturating_sub(lines)..] {
        println!("{line}");
    }
}

fn run(seed: u64, without: &[usize]) -> Option<Violation> {
    attempt(&mut World::new(seed, without)).err()
}

/// Runs a world; a panic in a core counts as a violation.
fn attempt(world: &mut World) -> Checked {
    let caught = catch_unwind(AssertUnwindSafe(|| world.run()));
    caught.unwrap_or_else(|_| {
        Err(Violation {
            check: "panic",
            detail: "a core panicked; the message is on standard error".to_owned(),
        })
    })
}
