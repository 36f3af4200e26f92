//! Randomized fault test of the decisions that the daemon drives, in the emulator:
//! `cargo run --release --example fleet_faults -- --first-seed 1 --seeds 2000`.
//!
//! Ends with 0 if every check held for every seed. Otherwise it prints the lowest seed that failed, the faults that the
//! violation needs and the last lines of its trace, and ends with 1.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

use bpaf::Bpaf;
use primrosestack_standin::emulator::{Fault, Plan, Violation};

/// Times at which a failure domain loses its servers, spread over the seeds.
const LOSS_FIRST_MS: u64 = 2_000;
const LOSS_STRIDE_MS: u64 = 7_919;
const LOSS_SPAN_MS: u64 = 20_000;

/// Options of the fault test.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    #[bpaf(argument("SEED"), fallback(1))]
    first_seed: u64,
    #[bpaf(argument("COUNT"), fallback(100))]
    seeds: u64,
    #[bpaf(argument("COUNT"), fallback(6))]
    faults: usize,
    #[bpaf(argument("COUNT"), fallback(1))]
    threads: u64,
    #[bpaf(argument("LINES"), fallback(80))]
    lines: usize,
    /// Run all seeds and list those that fail, instead of ending at the first.
    #[bpaf(switch)]
    all: bool,
    #[bpaf(external(addition), many)]
    additions: Vec<Addition>,
    #[bpaf(external, optional)]
    defect: Option<Defect>,
}

/// What is added to each plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Bpaf)]
enum Addition {
    /// Add the loss of all servers of one failure domain, so that its jobs have to move.
    LoseDomain,
    /// Add owners that are separated from the store and from some servers, and servers that leave.
    Separations,
    /// Add jobs that still have runs when tasks of a later step become ready.
    MixedJobs,
    /// Add series of evacuations, with owners that end and a history that is compacted; not together with the loss of a
    /// failure domain, after which the others may all be evacuated.
    Evacuations,
}

/// Defect of owners that the checks have to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Bpaf)]
enum Defect {
    /// Have owners ignore all evacuations.
    IgnoreEvacuations,
    /// Have owners ignore evacuations from before they opened their shard.
    ForgetEvacuations,
}

impl Options {
    fn has(&self, addition: Addition) -> bool {
        self.additions.contains(&addition)
    }

    fn plan(&self, seed: u64) -> Plan {
        let mut plan = Plan::draw(seed, self.faults);
        if self.has(Addition::LoseDomain) {
            let count = plan.deployment.servers_per_domain;
            let domain = usize::try_from(seed).unwrap_or(0) % plan.deployment.domains;
            let at_ms = LOSS_FIRST_MS + seed * LOSS_STRIDE_MS % LOSS_SPAN_MS;
            for server in domain * count..(domain + 1) * count {
                plan.faults.push((at_ms, Fault::LoseServer { server }));
            }
        }
        if self.has(Addition::Separations) {
            plan = plan.with_separations();
        }
        if self.has(Addition::MixedJobs) {
            plan = plan.with_mixed_jobs();
        }
        if self.has(Addition::Evacuations) {
            plan = plan.with_evacuations();
        }
        if let Some(defect) = self.defect {
            let only_before_opening = defect == Defect::ForgetEvacuations;
            let fault = Fault::IgnoreEvacuations {
                only_before_opening,
            };
            plan.faults.insert(0, (0, fault));
        }
        plan
    }
}

fn main() -> ExitCode {
    let options = options().run();
    let next = AtomicU64::new(options.first_seed);
    let begun = Instant::now();
    let mut failed: Vec<(u64, Violation)> = Vec::new();
    let mut starts = 0;
    thread::scope(|scope| {
        let workers: Vec<_> = (0..options.threads.max(1))
            .map(|_| scope.spawn(|| work(&next, &options)))
            .collect();
        for worker in workers {
            let (violations, count) = worker.join().unwrap_or_default();
            failed.extend(violations);
            starts += count;
        }
    });
    failed.sort_by_key(|&(seed, _)| seed);
    for (seed, violation) in &failed {
        let Violation { check, detail, .. } = violation;
        println!("seed={seed} check={check:?} {detail}");
    }
    let Some((seed, violation)) = failed.first() else {
        let per_second = u128::from(options.seeds) * 1_000 / begun.elapsed().as_millis().max(1);
        println!(
            "seeds={} violations=0 starts={starts} deployments_a_second={per_second}",
            options.seeds
        );
        return ExitCode::SUCCESS;
    };
    explain(*seed, violation, &options);
    ExitCode::FAILURE
}

/// Runs seeds until none is left, or until one has failed.
fn work(next: &AtomicU64, options: &Options) -> (Vec<(u64, Violation)>, u64) {
    let end = options.first_seed.saturating_add(options.seeds);
    let mut failed = Vec::new();
    let mut starts = 0;
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return (failed, starts);
        }
        let plan = options.plan(seed);
        let (violation, count) = attempt(&plan);
        starts += count;
        if let Some(violation) = violation {
            failed.push((seed, violation));
            if !options.all {
                next.fetch_max(end, Ordering::Relaxed);
            }
        }
    }
}

/// Runs a plan; a panic in the decisions counts as a violation.
fn attempt(plan: &Plan) -> (Option<Violation>, u64) {
    let run = AssertUnwindSafe(|| {
        let world = plan.run(false);
        (world.violation().cloned(), world.starts())
    });
    catch_unwind(run).unwrap_or_else(|_| {
        let violation = Violation {
            at_ms: 0,
            check: "panic",
            detail: "the message is on standard error".to_owned(),
        };
        (Some(violation), 0)
    })
}

/// Leaves out every fault that the violation does not need, and prints what is left.
fn explain(seed: u64, first: &Violation, options: &Options) {
    let mut plan = options.plan(seed);
    let mut index = 0;
    while index < plan.faults.len() {
        let mut shorter = plan.clone();
        shorter.faults.remove(index);
        match attempt(&shorter).0 {
            Some(violation) if violation.check == first.check => plan = shorter,
            _ => index += 1,
        }
    }
    println!("seed={seed} {:?}", plan.deployment);
    for (at_ms, fault) in &plan.faults {
        println!("fault at {at_ms} ms: {fault:?}");
    }
    if first.check == "panic" {
        return;
    }
    let world = plan.run(true);
    let trace = world.trace();
    for line in &trace[trace.len().saturating_sub(options.lines)..] {
        println!("{line}");
    }
    println!("{:?}", world.violation());
}
