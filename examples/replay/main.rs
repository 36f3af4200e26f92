//! Replays the recorded traces through the shipped policy and compares the figures with the stated outcomes.
//!
//! `cargo run --release --example replay -- --seeds 1..5` (both ends included; `--only TEXT` picks traces by name,
//! `--generate` writes the traces again). Exits with 1 when a stated outcome is missed.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures of a replay are far below 2^52"
)]

mod baseline;
mod batch;
#[path = "../../traces/generate.rs"]
mod generate;
mod run;
#[path = "../../traces/format.rs"]
mod trace;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use run::{Run, Variant, replay};
use trace::{Outcome, Trace, TraceError};

const VARIANTS: [Variant; 5] = [
    Variant::Policy,
    Variant::LeastLoaded,
    Variant::FirstFit,
    Variant::RequestsOnly,
    Variant::BatchOnly,
];

/// Means over the seeds of one trace under one variant.
#[derive(Default)]
struct Row {
    quantiles_ms: [f64; 3],
    p99_ratio: f64,
    missed_permille: f64,
    late_permille: f64,
    throughput: f64,
    throughput_ratio: f64,
    evictions: f64,
    lost_core_s: f64,
    max_min: f64,
    jain: f64,
    overfilled: u64,
}

fn row(runs: &[&Run], requests_only: &[&Run], batch_only: &[&Run]) -> Row {
    let mut sum = Row {
        jain: 1.0,
        ..Row::default()
    };
    let share = 1.0 / runs.len() as f64;
    for (at, run) in runs.iter().enumerate() {
        for (to, permille) in sum.quantiles_ms.iter_mut().zip([500, 990, 999]) {
            *to += share * run.quantile(permille);
        }
        sum.p99_ratio += share * run.quantile(990) / requests_only[at].quantile(990).max(1.0);
        sum.missed_permille += share * 1_000.0 * run.missed as f64 / run.offered.max(1) as f64;
        sum.late_permille += share * 1_000.0 * run.late as f64 / run.due.max(1) as f64;
        sum.throughput += share * run.core_s;
        sum.throughput_ratio += share * run.core_s / batch_only[at].core_s.max(1.0);
        sum.evictions += share * run.evictions as f64;
        sum.lost_core_s += share * run.lost_core_s;
        let (jain, max_min) = run.equality();
        (sum.jain, sum.max_min) = (sum.jain.min(jain), sum.max_min.max(max_min));
        sum.overfilled += run.overfilled;
    }
    sum
}

fn missed(outcome: &Outcome, shipped: &Row, least_loaded: &Row) -> Vec<String> {
    let evictions_max = outcome.evictions_ratio_max * least_loaded.evictions;
    let checks = [
        ("p99 ratio", shipped.p99_ratio <= outcome.p99_ratio_max),
        (
            "throughput ratio",
            shipped.throughput_ratio >= outcome.throughput_ratio_min,
        ),
        ("evictions", shipped.evictions <= evictions_max),
        ("Jain index", shipped.jain >= outcome.jain_min),
        (
            "deadline misses",
            shipped.missed_permille <= outcome.deadline_miss_permille_max,
        ),
        (
            "overfilled hosts",
            shipped.overfilled <= outcome.overfilled_max,
        ),
    ];
    let failed = checks.iter().filter(|(_, met)| !met);
    failed.map(|(name, _)| (*name).to_owned()).collect()
}

/// Replays every seed under every variant, on up to 8 threads; the order of results does not depend on them.
fn replay_all(trace: &Trace, seeds: &[u64]) -> Vec<Run> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some(&seed) = seeds.get(at / VARIANTS.len()) else {
                        return;
                    };
                    let run = replay(trace, VARIANTS[at % VARIANTS.len()], seed);
                    results
                        .lock()
                        .expect("no thread panics with the lock")
                        .push((at, run));
                }
            });
        }
    });
    let mut results = results.into_inner().expect("all threads ended");
    results.sort_by_key(|(at, _)| *at);
    results.into_iter().map(|(_, run)| run).collect()
}

fn table(path: &Path, seeds: &[u64]) -> Result<bool, TraceError> {
    let trace: Trace = trace::read(path)?;
    let outcome: Outcome = trace::read(&path.with_extension("outcome.json"))?;
    let runs = replay_all(&trace, seeds);
    let of = |variant: usize| {
        runs.iter()
            .skip(variant)
            .step_by(VARIANTS.len())
            .collect::<Vec<_>>()
    };
    let rows: Vec<Row> = (0..VARIANTS.len())
        .map(|at| row(&of(at), &of(3), &of(4)))
        .collect();
    let name = path
        .file_stem()
        .map(|stem| stem.to_string_lossy().into_owned());
    println!(
        "{} ({}, {} seeds)",
        name.unwrap_or_default(),
        trace.deployment,
        seeds.len()
    );
    for (variant, row) in VARIANTS.iter().zip(&rows) {
        let [p50, p99, p999] = row.quantiles_ms;
        println!(
            "  {:<13}{p50:>7.0}{p99:>7.0}{p999:>7.0}{:>8.3}{:>8.2}{:>8.1}{:>11.0}{:>8.3}{:>9.1}{:>9.0}{:>8.3}{:>8.4}{:>7}",
            format!("{variant:?}"),
            row.p99_ratio,
            row.missed_permille,
            row.late_permille,
            row.throughput,
            row.throughput_ratio,
            row.evictions,
            row.lost_core_s,
            row.max_min,
            row.jain,
            row.overfilled,
        );
    }
    let missed = missed(&outcome, &rows[0], &rows[1]);
    let verdict = if missed.is_empty() {
        "met".to_owned()
    } else {
        format!("MISSED: {}", missed.join(", "))
    };
    println!("  stated outcome: {verdict}");
    Ok(missed.is_empty())
}

fn main() -> ExitCode {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let value = |flag: &str| {
        let at = arguments.iter().position(|one| one == flag)?;
        arguments.get(at + 1).cloned()
    };
    if arguments.iter().any(|one| one == "--generate") {
        return finish(generate::generate(&folder).map(|()| true));
    }
    let range = value("--seeds").unwrap_or_else(|| "1..5".to_owned());
    let ends = range
        .split_once("..")
        .and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    let Some((from, to)) = ends else {
        eprintln!("--seeds {range}: expected two numbers as in 101..110");
        return ExitCode::from(2);
    };
    let seeds: Vec<u64> = (from..=to).collect();
    println!(
        "seeds {from}..{to}; times in ms, work in core-seconds, means over seeds; Jain and max/min: worst seed"
    );
    println!(
        "  {:<13}{:>7}{:>7}{:>7}{:>8}{:>8}{:>8}{:>11}{:>8}{:>9}{:>9}{:>8}{:>8}{:>7}",
        "scheduler",
        "p50",
        "p99",
        "p99.9",
        "p99/own",
        "miss\u{2030}",
        "late\u{2030}",
        "batch",
        "/alone",
        "evicted",
        "lost",
        "max/min",
        "Jain",
        "over",
    );
    let only = value("--only").unwrap_or_default();
    let entries = std::fs::read_dir(&folder).into_iter().flatten().flatten();
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.path()).collect();
    paths.retain(|path| {
        let name = path.to_string_lossy();
        name.ends_with(".json") && !name.ends_with(".outcome.json") && name.contains(&only)
    });
    paths.sort();
    let tables = paths.iter().map(|path| table(path, &seeds));
    finish(
        tables
            .collect::<Result<Vec<bool>, _>>()
            .map(|met| met.iter().all(|one| *one)),
    )
}

fn finish(result: Result<bool, TraceError>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
