//! Compares what callers and operators saw with the stand-ins' own records, and prints the table.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use primrosestack_core::ids::HostId;
use primrosestack_standin::ledger::Records;
use primrosestack_standin::platform::Platform;

use crate::load::{Outcome, Sample};

/// A measured time and its target.
pub(crate) struct Target {
    pub(crate) name: String,
    pub(crate) measured: Option<Duration>,
    pub(crate) limit: Duration,
}

impl Target {
    fn is_met(&self) -> bool {
        self.measured.is_some_and(|measured| measured < self.limit)
    }
}

/// Time during which one fault or change was in effect.
pub(crate) struct Phase {
    pub(crate) name: &'static str,
    pub(crate) began: Instant,
}

/// What the run found beside the records.
#[derive(Default)]
pub(crate) struct Findings {
    pub(crate) phases: Vec<Phase>,
    pub(crate) targets: Vec<Target>,
    /// Checks with the number of times that they failed.
    pub(crate) broken: Vec<(&'static str, usize)>,
    /// Figures without a target.
    pub(crate) notes: Vec<(String, String)>,
    /// Phase of the orderly stop, in which no call may end as unknown.
    pub(crate) terminate_phase: Option<usize>,
    /// Hosts whose document is not the last accepted one at the end.
    pub(crate) reverted: usize,
}

impl Findings {
    pub(crate) fn note(&mut self, name: impl Into<String>, value: &impl ToString) {
        self.notes.push((name.into(), value.to_string()));
    }

    pub(crate) fn note_ms(&mut self, name: impl Into<String>, measured: Option<Duration>) {
        self.note(name, &milliseconds(measured));
    }

    pub(crate) fn target(
        &mut self,
        name: impl Into<String>,
        measured: Option<Duration>,
        limit_ms: u64,
    ) {
        self.targets.push(Target {
            name: name.into(),
            measured,
            limit: Duration::from_millis(limit_ms),
        });
    }
}

fn milliseconds(measured: Option<Duration>) -> String {
    measured.map_or("never".to_owned(), |time| {
        format!("{} ms", time.as_millis())
    })
}

/// The owner that gave work to the servers of a failure domain last.
pub(crate) fn owner(records: &Records, domain: &str) -> Option<HostId> {
    let servers = records.tenures.iter();
    let servers = servers.filter(|(server, _)| server.starts_with(domain));
    let last = servers.filter_map(|(_, tenures)| tenures.last());
    let latest = last.max_by_key(|tenure| (tenure.epoch, tenure.first_work));
    latest.map(|tenure| tenure.owner.clone())
}

/// When each server of a failure domain first took work from another owner after `since`; `None` if one did not yet.
pub(crate) fn new_work(
    records: &Records,
    servers: &[String],
    old: &HostId,
    since: Instant,
) -> Option<Vec<Duration>> {
    let first = |server: &String| {
        let tenures = records.tenures.get(server.as_str())?;
        let mut later = tenures.iter().filter(|tenure| tenure.first_work > since);
        let tenure = later.find(|tenure| tenure.owner != *old)?;
        Some(tenure.first_work - since)
    };
    servers.iter().map(first).collect()
}

/// Checks of requests.
pub(crate) fn check_requests(samples: &[Sample], records: &Records, findings: &mut Findings) {
    let runs = |sample: &Sample| records.requests.get(sample.name.as_str()).copied();
    let mut not_run_but_ran = 0;
    let mut without_run = 0;
    let mut crossed = 0;
    let mut by_key: BTreeMap<u64, BTreeMap<&str, u32>> = BTreeMap::new();
    for sample in samples {
        let ran = runs(sample).unwrap_or_default();
        if let Some(key) = sample.key {
            by_key.entry(key).or_default().insert(&sample.name, ran);
        }
        match &sample.outcome {
            Outcome::NotRun if ran > 0 => {
                not_run_but_ran += 1;
                println!(
                    "told not run by host {}: {:.40} ran",
                    sample.host, sample.name
                );
            }
            Outcome::Answered(body) => {
                crossed += usize::from(!sample.expected.contains(body));
                without_run += usize::from(sample.key.is_none() && ran == 0);
            }
            _ => {}
        }
    }
    let key_runs = by_key.values().map(|bodies| bodies.values().sum::<u32>());
    let keys_repeated = key_runs.filter(|runs| *runs > 1).count();
    let answered: BTreeSet<u64> = samples
        .iter()
        .filter(|sample| matches!(sample.outcome, Outcome::Answered(_)))
        .filter_map(|sample| sample.key)
        .collect();
    let key_ran = |key: &&u64| by_key[*key].values().sum::<u32>() == 0;
    without_run += answered.iter().filter(key_ran).count();
    let once = records.requests.iter();
    let once = once.filter(|(name, _)| name.starts_with("close-sheet"));
    let repeated = once.filter(|(_, count)| **count > 1).count();
    findings.broken.extend([
        ("answers without a run", without_run),
        ("answers crossed or cut", crossed),
        ("requests run after 'not run'", not_run_but_ran),
        ("non-idempotent requests repeated", repeated),
        ("keys run more than once", keys_repeated),
    ]);
}

/// Checks of tasks and servers.
pub(crate) fn check_tasks(accepted: usize, records: &Records, findings: &mut Findings) {
    findings.broken.extend([
        (
            "tasks lost",
            accepted.saturating_sub(records.succeeded() - extra(records)),
        ),
        ("tasks finished twice", records.repeated_successes()),
        (
            "new work for a leaving server",
            records.late_starts as usize,
        ),
        (
            "servers overfilled or tasks twice",
            records.violations.len(),
        ),
    ]);
    findings.note("tasks accepted", &accepted);
    findings.note("evictions and lapsed leases", &records.stopped());
    findings.note("resumes", &records.resumed());
    for violation in records.violations.iter().take(10) {
        println!("{violation}");
    }
}

/// Successful runs beyond the first of each task.
fn extra(records: &Records) -> usize {
    let tasks = records.runs.values().filter(|runs| !runs.is_empty());
    let finished = tasks.filter(|runs| {
        let mut ends = runs.iter().map(|run| run.end);
        ends.any(|end| end == primrosestack_standin::ledger::RunEnd::Succeeded)
    });
    records.succeeded() - finished.count()
}

fn print_phase(at: usize, phase: &Phase, ended: Instant, samples: &[Sample]) {
    let Ok(mut latency_us) = Histogram::<u64>::new_with_max(60_000_000, 3) else {
        return;
    };
    let mut counts = [0_u32; 4];
    for sample in samples.iter().filter(|sample| sample.phase == at) {
        let column = match sample.outcome {
            Outcome::Answered(_) => 0,
            Outcome::NotRun => 1,
            Outcome::Unknown => 2,
            Outcome::Repeated => 3,
        };
        counts[column] += 1;
        if column == 0 {
            let took_us = u64::try_from(sample.took.as_micros()).unwrap_or(u64::MAX);
            latency_us.saturating_record(took_us);
        }
    }
    let seconds = ended.saturating_duration_since(phase.began).as_secs_f64();
    let ms = |quantile| {
        let value_us = latency_us.value_at_quantile(quantile);
        Duration::from_micros(value_us).as_secs_f64() * 1e3
    };
    println!(
        "{:<26}{seconds:>7.1}{:>12.1}{:>9}{:>9}{:>10}{:>10.1}{:>10.1}",
        phase.name,
        f64::from(counts[0]) / seconds.max(0.001),
        counts[1],
        counts[2],
        counts[3],
        ms(0.5),
        ms(0.99)
    );
}

/// Prints the table; true if nothing was broken and all targets were met.
pub(crate) fn report(platform: &Platform, samples: &[Sample], findings: &Findings) -> bool {
    println!();
    println!(
        "{:<26}{:>7}{:>12}{:>9}{:>9}{:>10}{:>10}{:>10}",
        "phase", "s", "answered/s", "not run", "unknown", "key used", "p50 ms", "p99 ms"
    );
    let phases = &findings.phases;
    for (at, phase) in phases.iter().enumerate() {
        let ended = phases
            .get(at + 1)
            .map_or_else(Instant::now, |next| next.began);
        print_phase(at, phase, ended, samples);
    }
    let calls = platform.store.calls();
    println!();
    for (name, value) in &findings.notes {
        println!("{name:<50} {value}");
    }
    println!(
        "{:<50} {} / {}",
        "store writes / reads", calls.writes, calls.reads
    );
    println!();
    for target in &findings.targets {
        let verdict = if target.is_met() { "met" } else { "MISSED" };
        println!(
            "{:<50} {:>9}  (target under {} ms: {verdict})",
            target.name,
            milliseconds(target.measured),
            target.limit.as_millis()
        );
    }
    println!();
    for (name, count) in &findings.broken {
        println!("{name:<50} {count}");
    }
    let sound = findings.broken.iter().all(|(_, count)| *count == 0);
    sound && findings.targets.iter().all(Target::is_met)
}
