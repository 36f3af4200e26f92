//! Slopes of the services.

use std::hint::black_box;

use primrosestack::burn::{BYTES_PER_SERVICE, BurnCounters};
use primrosestack::document::Document;
use primrosestack::logs::Line;
use primrosestack::metrics::{Metrics, Outcome, RequestRecord, TEAM_LIMIT};
use primrosestack_core::event::{Report, ServerCommand, ServerReply, TaskReport, TaskState};
use primrosestack_core::ids::{Attempt, Epoch, HostId, JobId, ServerTimestamp, TaskId};
use primrosestack_core::prelude::Resources;
use primrosestack_core::time::{DurationMs, MonoMs};

use crate::{Failure, Measure, Slope, growth, json_bytes, resident_bytes, time_ns};

/// Slopes of memory.
pub const MEMORY: [Measure; 4] = [
    ("process_bytes_at_start", process_bytes),
    ("burn_bytes_per_service", burn_bytes),
    ("metrics_bytes_per_team", metrics_bytes),
    ("parsed_document_bytes", parsed_document_bytes),
];

/// Slopes of time and of messages.
pub const OTHERS: [Measure; 12] = [
    ("burn_ns_per_request", burn_time),
    ("burn_json_bytes_per_service", burn_json_bytes),
    ("log_ns_per_line", log_time),
    ("log_ns_per_line_below_level", log_time_below_level),
    ("metrics_ns_per_request", metrics_time),
    ("metrics_scrape_us", scrape_time),
    ("renew_json_bytes_base", renew_base),
    ("renew_json_bytes_per_task", renew_per_task),
    ("report_json_bytes_base", report_base),
    ("report_json_bytes_per_task", report_per_task),
    ("report_parse_ns_per_task", report_parse_time),
    ("start_json_bytes", start_bytes),
];

fn process_bytes() -> Result<Slope, Failure> {
    Ok(Slope {
        value: resident_bytes()?,
        unit: "bytes",
        basis: "resident, this program, not `serve`".to_owned(),
    })
}

fn open_burn() -> BurnCounters {
    let host = HostId {
        name: "fe-1".into(),
        incarnation: 1,
    };
    BurnCounters::open(host, "poa".into(), Vec::new(), MonoMs(0))
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

/// Typical values: 30 days of uptime, term 300, a random job and incarnation.
const UP_MS: u64 = 30 * 86_400_000;

fn attempt(counter: u64) -> Attempt {
    Attempt {
        term: 300,
        counter: 100_000 + counter,
    }
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId(0x9e37_79b9_7f4a_7c15),
        index,
    }
}

fn size() -> Resources {
    Resources {
        millicores: 4_000,
        memory_mib: 8_192,
        accelerators: 0,
    }
}

/// Bytes of a command with its envelope, as section 12 of the design page gives it.
fn command_bytes(command: &ServerCommand) -> Result<Slope, Failure> {
    let epoch = Epoch { term: 300, rank: 0 };
    let owner = HostId {
        name: "poa-1".into(),
        incarnation: 0x9e37_79b9_7f4a_7c15,
    };
    let envelope = serde_json::json!({ "epoch": epoch, "owner": owner, "command": command });
    json_bytes(&envelope)
}

fn renew(tasks: u32) -> Result<Slope, Failure> {
    command_bytes(&ServerCommand::Renew {
        stamp: ServerTimestamp(UP_MS),
        lease_ms: 10_000,
        attempts: (0..tasks).map(|task| attempt(u64::from(task))).collect(),
        acknowledged: Vec::new(),
    })
}

fn report(tasks: u32) -> Result<Slope, Failure> {
    json_bytes(&report_of(tasks))
}

fn report_of(tasks: u32) -> ServerReply {
    let one = |index| TaskReport {
        task: task(index),
        attempt: attempt(u64::from(index)),
        state: TaskState::Running,
        checkpoint: Some("checkpoint-0123456789abcdef".into()),
        used: size(),
        slowdown_permille: 1_050,
    };
    ServerReply::Report(Report {
        stamp: ServerTimestamp(UP_MS),
        boot_id: 0x9e37_79b9_7f4a_7c15,
        tasks: (0..tasks).map(one).collect(),
        request_slowdown_permille: 1_020,
        requests_running: 0,
        tasks_size: Resources::default(),
    })
}

fn report_parse_time() -> Result<Slope, Failure> {
    let text = serde_json::to_vec(&report_of(20))?;
    let mut slope = time_ns(20_000, |_| {
        black_box(serde_json::from_slice::<ServerReply>(&text).ok());
    })?;
    slope.value /= 20.0;
    slope.basis.push_str(" reports of 20 tasks");
    Ok(slope)
}

/// Bytes per task over 20 tasks, the mean of a server at the design size.
fn per_task(measure: fn(u32) -> Result<Slope, Failure>) -> Result<Slope, Failure> {
    let mut slope = measure(20)?;
    slope.value = (slope.value - measure(0)?.value) / 20.0;
    slope.basis.push_str(", mean of 20");
    Ok(slope)
}

fn renew_base() -> Result<Slope, Failure> {
    renew(0)
}

fn renew_per_task() -> Result<Slope, Failure> {
    per_task(renew)
}

fn report_base() -> Result<Slope, Failure> {
    report(0)
}

fn report_per_task() -> Result<Slope, Failure> {
    per_task(report)
}

fn start_bytes() -> Result<Slope, Failure> {
    command_bytes(&ServerCommand::Start {
        stamp: ServerTimestamp(UP_MS),
        lease_ms: 10_000,
        task: task(12),
        attempt: attempt(1),
        kind: "invoices".into(),
        size: size(),
        run_ms: 600_000,
        resume: None,
    })
}

fn parsed_document_bytes() -> Result<Slope, Failure> {
    let text = include_str!("../documents/fichaluz.jsonc");
    let mut slope = growth(5_000, || {
        let read = |_| Document::read(text).map_err(|_| "the example document has faults".into());
        (0..5_000).map(read).collect::<Result<Vec<_>, Failure>>()
    })?;
    let basis = format!("{}, without the text of {} bytes", slope.basis, text.len());
    slope.basis = basis;
    Ok(slope)
}
