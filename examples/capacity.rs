//! Measures the slopes of `docs/CAPACITY.md`.
//!
//! `cargo run --release --example capacity` measures all; a word after `--` selects the slopes whose names contain it.
//! To add a slope, write a function that returns a [`Slope`] and name it in [`MEASURES`].

use std::hint::black_box;
use std::time::Instant;

use primrosestack::burn::{BYTES_PER_SERVICE, Burn};
use primrosestack::logs::{self, Line};
use primrosestack::metrics::{Metrics, Outcome, RequestRecord, TEAM_LIMIT};
use primrosestack_core::ids::HostId;
use primrosestack_core::time::{DurationMs, MonoMs};

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

/// Memory comes first, since measurements of time leave freed pages behind, which growth would then reuse.
const MEASURES: [Measure; 9] = [
    ("process_bytes_at_start", process_bytes),
    ("burn_bytes_per_service", burn_bytes),
    ("metrics_bytes_per_team", metrics_bytes),
    ("burn_ns_per_request", burn_time),
    ("burn_json_bytes_per_service", burn_json_bytes),
    ("log_ns_per_line", log_time),
    ("log_ns_per_line_below_level", log_time_below_level),
    ("metrics_ns_per_request", metrics_time),
    ("metrics_scrape_us", scrape_time),
];

fn main() -> Result<(), Failure> {
    let wanted = std::env::args().nth(1).unwrap_or_default();
    logs::open_to("info", std::io::sink())?;
    println!("{:<30} {:>12}  {:<16} basis", "slope", "value", "unit");
    for (name, measure) in MEASURES {
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

fn process_bytes() -> Result<Slope, Failure> {
    Ok(Slope {
        value: resident_bytes()?,
        unit: "bytes",
        basis: "resident, this program, not `serve`".to_owned(),
    })
}

fn open_burn() -> Burn {
    let host = HostId {
        name: "fe-1".into(),
        incarnation: 1,
    };
    Burn::open(host, "poa".into(), Vec::new(), MonoMs(0))
}

fn burn_bytes() -> Result<Slope, Failure> {
    // Many handles with one service each, since a handle bounds the number of services.
    let mut slope = growth(20_000, || {
        let mut burns = Vec::with_capacity(20_000);
        for _ in 0..20_000 {
            let burn = open_burn();
            burn.record_request(MonoMs(1), "quotes", Outcome::Unknown, DurationMs(1));
            burns.push(burn);
        }
        Ok(burns)
    })?;
    let basis = format!(
        "{}, handle included; struct {BYTES_PER_SERVICE}",
        slope.basis
    );
    slope.basis = basis;
    Ok(slope)
}

fn burn_time() -> Result<Slope, Failure> {
    let burn = open_burn();
    time_ns(200_000, |number| {
        let now = MonoMs(u64::from(number) / 5);
        burn.record_request(now, "quotes", Outcome::Answered(200), DurationMs(9));
    })
}

fn burn_json_bytes() -> Result<Slope, Failure> {
    let burn = open_burn();
    let empty = serde_json::to_vec(&burn.reply(MonoMs(1)))?.len();
    for step in 0..3_000_000_u64 {
        let now = MonoMs(step * 1_000);
        burn.record_request(now, "quotes", Outcome::Answered(200), DurationMs(9));
    }
    let full = serde_json::to_vec(&burn.reply(MonoMs(3_000_000_000)))?.len();
    Ok(Slope {
        value: f64::from(u32::try_from(full - empty)?),
        unit: "bytes",
        basis: "one request a second for 34 days".to_owned(),
    })
}

fn write_line(line: Line, number: u32) {
    line.with("request", number)
        .with("service", "quotes")
        .with_reason("queue is full")
        .write();
}

fn log_time() -> Result<Slope, Failure> {
    let mut slope = time_ns(100_000, |number| {
        write_line(Line::info("request_not_run"), number);
    })?;
    slope.basis.push_str(", without the system call");
    Ok(slope)
}

fn log_time_below_level() -> Result<Slope, Failure> {
    time_ns(1_000_000, |number| {
        write_line(Line::debug("request_not_run"), number);
    })
}

fn request(team: &str) -> RequestRecord<'_> {
    RequestRecord {
        team,
        service: "quotes",
        failure_domain: "poa",
        outcome: Outcome::Answered(200),
        latency_ms: 12.0,
    }
}

fn metrics_time() -> Result<Slope, Failure> {
    let metrics = Metrics::open()?;
    let teams: Vec<String> = (0..64).map(|team| format!("team-{team}")).collect();
    let mut next = teams.iter().cycle();
    time_ns(200_000, |_| {
        if let Some(team) = next.next() {
            metrics.record_request(&request(team));
        }
    })
}

fn open_full_metrics() -> Result<Metrics, Failure> {
    let metrics = Metrics::open()?;
    for team in 0..TEAM_LIMIT {
        metrics.record_request(&request(&format!("team-{team}")));
    }
    Ok(metrics)
}

fn metrics_bytes() -> Result<Slope, Failure> {
    // Several sets of instruments make the growth large beside a page.
    let sets = 20_u32;
    let count = sets * u32::try_from(TEAM_LIMIT)?;
    growth(count, || {
        (0..sets)
            .map(|_| open_full_metrics())
            .collect::<Result<Vec<_>, _>>()
    })
}

fn scrape_time() -> Result<Slope, Failure> {
    let metrics = open_full_metrics()?;
    let bytes = metrics.scrape()?.len();
    let mut slope = time_ns(200, |_| {
        black_box(metrics.scrape().ok());
    })?;
    slope.value /= 1_000.0;
    slope.unit = "us";
    slope.basis = format!("{}, {TEAM_LIMIT} teams, {bytes} bytes of text", slope.basis);
    Ok(slope)
}
