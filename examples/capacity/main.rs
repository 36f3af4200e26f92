//! Measures the slopes of `docs/CAPACITY.md`.
//!
//! `cargo run --release --example capacity` measures all; a word after `--` selects the slopes whose names contain it.
//! To add a slope, write a function that returns a [`Slope`] in `core.rs` (the decisions) or `shell.rs` (the services)
//! and name it in the table of that file.

mod core;
mod shell;

use std::hint::black_box;
use std::time::Instant;

use primrosestack::logs;

type Failure = Box<dyn std::error::Error>;

/// One measured figure.
struct Slope {
    value: f64,
    unit: &'static str,
    /// What was repeated, so that the figure can be judged.
    basis: String,
}

/// Name in the table of `docs/CAPACITY.md`, and the function that measures it.
type Measure = (&'static str, fn() -> Result<Slope, Failure>);

fn main() -> Result<(), Failure> {
    let wanted = std::env::args().nth(1).unwrap_or_default();
    logs::open_to("info", std::io::sink())?;
    println!("{:<30} {:>12}  {:<16} basis", "slope", "value", "unit");
    // Memory comes first, since measurements of time leave freed pages behind, which growth would then reuse.
    let memory = shell::MEMORY.iter().chain(&core::MEMORY);
    let others = shell::OTHERS.iter().chain(&core::OTHERS);
    for (name, measure) in memory.chain(others) {
        if !name.contains(&wanted) {
            continue;
        }
        let slope = measure()?;
        let Slope { value, unit, basis } = slope;
        println!("{name:<30} {value:>12.1}  {unit:<16} {basis}");
    }
    Ok(())
}

/// Mean time of one call in nanoseconds, best of five rounds, which leaves out interruptions.
fn time_ns(calls: u32, mut call: impl FnMut(u32)) -> Result<Slope, Failure> {
    if calls == 0 {
        return Err("no calls to measure".into());
    }
    let mut best = f64::INFINITY;
    for _ in 0..5 {
        let start = Instant::now();
        for number in 0..calls {
            call(number);
        }
        let round = start.elapsed().as_secs_f64() * 1e9 / f64::from(calls);
        best = best.min(round);
    }
    Ok(Slope {
        value: best,
        unit: "ns",
        basis: format!("best of 5 rounds of {calls}"),
    })
}

/// Resident memory of this process in bytes, from `/proc/self/statm`.
fn resident_bytes() -> Result<f64, Failure> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).ok_or("statm has no second field")?;
    Ok(pages.parse::<f64>()? * 4_096.0)
}

/// Growth of resident memory while `fill` builds and keeps `count` elements, per element.
fn growth<T>(count: u32, fill: impl FnOnce() -> Result<T, Failure>) -> Result<Slope, Failure> {
    let before = resident_bytes()?;
    let kept = fill()?;
    let after = resident_bytes()?;
    // Freed pages would be reused by a later measurement, whose growth would then be too small.
    std::mem::forget(black_box(kept));
    Ok(Slope {
        value: (after - before) / f64::from(count),
        unit: "bytes",
        basis: format!("resident growth over {count}"),
    })
}

fn json_bytes(value: &impl serde::Serialize) -> Result<Slope, Failure> {
    let bytes = serde_json::to_vec(value)?.len();
    Ok(Slope {
        value: f64::from(u32::try_from(bytes)?),
        unit: "bytes",
        basis: "body only, without HTTP headers".to_owned(),
    })
}
