//! Runs one small deployment on loopback in this process: stand-ins of the platform, four entry hosts in two failure
//! domains, one service document, requests, a batch job, evictions, a leaving backend server, and an orderly stop.
//!
//! The table at the end is computed from the stand-ins' own records. The exit code is 1 if anything was lost, run twice
//! or overfilled.

use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::http::Request;
use hdrhistogram::Histogram;
use http_body_util::Full;
use primrosestack::host::{EntryHost, HostError};
use primrosestack::http::{HttpClient, HttpFailure, HttpResponse};
use primrosestack::model::{JobAccepted, JobView};
use primrosestack::settings::{PeerSettings, Settings};
use primrosestack_core::capacity::Resources;
use primrosestack_standin::platform::{Platform, PlatformOptions};
use smol_str::{SmolStr, format_smolstr};
use snafu::{ResultExt, Snafu, ensure};
use tokio::task::JoinSet;

const DOMAINS: [&str; 2] = ["poa", "cxs"];
const HOSTS_PER_DOMAIN: usize = 2;
const TASKS_PER_DOMAIN: u32 = 60;
const TASK_RUN_MS: u64 = 2_000;
const TIMEOUT: Duration = Duration::from_secs(10);
const DOCUMENT: &str = include_str!("documents/fichaluz.jsonc");

#[derive(Debug, Snafu)]
enum QuickstartError {
    #[snafu(context(false), display("{source}"))]
    Host { source: HostError },
    #[snafu(context(false), display("{source}"))]
    Http { source: HttpFailure },
    #[snafu(display("cannot bind a loopback port"))]
    Bind { source: std::io::Error },
    #[snafu(display("{what}: status {status}: {body}"))]
    Status {
        what: &'static str,
        status: u16,
        body: String,
    },
    #[snafu(display("{what} is not valid JSON"))]
    Json {
        what: &'static str,
        source: serde_json::Error,
    },
    #[snafu(display("{what} did not happen in time"))]
    Late { what: &'static str },
}

/// What callers saw.
struct Seen {
    answered: Vec<String>,
    not_run: Vec<String>,
    unknown: u64,
    crossed: u64,
    latency_us: Histogram<u64>,
}

struct Deployment {
    platform: Platform,
    hosts: Vec<EntryHost>,
    client: HttpClient,
}

fn free_address() -> Result<SocketAddr, QuickstartError> {
    let listener = TcpListener::bind("127.0.0.1:0").context(BindSnafu)?;
    listener.local_addr().context(BindSnafu)
}

fn settings_of(platform: &Platform, peers: &[PeerSettings], own: &PeerSettings) -> Settings {
    Settings {
        name: own.name.clone(),
        failure_domain: own.failure_domain.clone(),
        front_address: ([127, 0, 0, 1], 0).into(),
        admin_address: ([127, 0, 0, 1], 0).into(),
        peer_address: own.address,
        store_address: platform.store_address,
        host_list_address: platform.host_list_address,
        peers: peers.to_vec(),
        tokens_file: None,
        tls: None,
        ..Settings::example()
    }
}

impl Deployment {
    async fn open() -> Result<Self, QuickstartError> {
        let options = PlatformOptions {
            failure_domains: DOMAINS
                .iter()
                .map(|name| SmolStr::new_static(name))
                .collect(),
            servers_per_domain: 6,
            servers_per_rack: 3,
            resources: Resources {
                millicores: 16_000,
                memory_mib: 64_000,
                accelerators: 0,
            },
            service_ms: 20,
            request_size: Resources {
                millicores: 2_000,
                memory_mib: 4_096,
                accelerators: 0,
            },
        };
        let platform = Platform::bind(&options).await.context(BindSnafu)?;
        let mut peers = Vec::new();
        for domain in DOMAINS {
            for number in 0..HOSTS_PER_DOMAIN {
                peers.push(PeerSettings {
                    name: format_smolstr!("{domain}-entry-{number}"),
                    failure_domain: domain.into(),
                    address: free_address()?,
                });
            }
        }
        let mut hosts = Vec::new();
        for own in &peers {
            let settings = settings_of(&platform, &peers, own);
            hosts.push(EntryHost::bind(settings).await?);
        }
        for host in &hosts {
            host.wait_until_serving().await?;
        }
        Ok(Self {
            platform,
            hosts,
            client: HttpClient::default(),
        })
    }

    async fn admin(
        &self,
        method: &str,
        host: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<HttpResponse, QuickstartError> {
        let uri = format!("http://{}{path}", self.hosts[host].admin_address());
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::from(body));
        let request = request.map_err(|_| HttpFailure::Malformed)?;
        Ok(self.client.send(request, TIMEOUT).await?)
    }

    /// Submits the document and waits until every entry host has it in force.
    async fn put_document(&self) -> Result<Duration, QuickstartError> {
        let text = DOCUMENT
            .replace(r#"["poa", "cxs", "pel"]"#, r#"["poa", "cxs"]"#)
            .replace(r#"["poa", "pel"]"#, r#"["poa", "cxs"]"#);
        let began = Instant::now();
        let path = "/v1/documents/field-work";
        let answer = self.admin("PUT", 0, path, &[], text).await?;
        check("document", &answer)?;
        for _ in 0..200 {
            let mut in_force = 0;
            for host in 0..self.hosts.len() {
                let answer = self.admin("GET", host, path, &[], String::new()).await?;
                in_force += usize::from(answer.status.is_success());
            }
            if in_force == self.hosts.len() {
                return Ok(began.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        LateSnafu {
            what: "document in force",
        }
        .fail()
    }

    async fn submit_job(&self, domain: &str) -> Result<String, QuickstartError> {
        let body = format!(
            r#"{{"team":"field-work","client":"office","kind":"invoices","failure_domain":"{domain}",
                "tasks":{TASKS_PER_DOMAIN},"run_ms":{TASK_RUN_MS}}}"#
        );
        let key = format!("month-end-{domain}");
        let headers = [
            ("idempotency-key", key.as_str()),
            ("content-type", "application/json"),
        ];
        for _ in 0..100 {
            let answer = self
                .admin("POST", 1, "/v1/jobs", &headers, body.clone())
                .await?;
            if answer.status.as_u16() == 503 {
                // The shard has no owner yet.
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
            check("job", &answer)?;
            let accepted: JobAccepted =
                serde_json::from_slice(&answer.body).context(JsonSnafu { what: "job" })?;
            return Ok(accepted.job.to_string());
        }
        LateSnafu {
            what: "job acceptance",
        }
        .fail()
    }

    async fn job(&self, job: &str) -> Result<JobView, QuickstartError> {
        let path = format!("/v1/jobs/{job}");
        loop {
            let answer = self.admin("GET", 0, &path, &[], String::new()).await?;
            if answer.status.as_u16() == 503 {
                // The shard is changing its owner.
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
            check("job", &answer)?;
            return serde_json::from_slice(&answer.body).context(JsonSnafu { what: "job" });
        }
    }

    /// Sends requests from `callers` callers, each one after the other, for `length`.
    async fn send_requests(&self, phase: &str, callers: usize, length: Duration, seen: &mut Seen) {
        let mut running = JoinSet::new();
        let fronts: Arc<[SocketAddr]> = self.hosts.iter().map(EntryHost::front_address).collect();
        for caller in 0..callers {
            let client = self.client.clone();
            let fronts = fronts.clone();
            let phase = phase.to_owned();
            running.spawn(async move {
                let mut outcomes = Vec::new();
                let until = Instant::now() + length;
                let mut number = 0;
                while Instant::now() < until {
                    let front = fronts[(caller + number) % fronts.len()];
                    let body = format!("{phase}-{caller}-{number}");
                    let began = Instant::now();
                    let outcome = send_one(&client, front, &body).await;
                    outcomes.push((body, outcome, began.elapsed()));
                    number += 1;
                }
                outcomes
            });
        }
        while let Some(Ok(outcomes)) = running.join_next().await {
            for (body, outcome, took) in outcomes {
                seen.note(body, outcome, took);
            }
        }
    }
}

fn check(what: &'static str, answer: &HttpResponse) -> Result<(), QuickstartError> {
    let status = answer.status;
    let body = String::from_utf8_lossy(&answer.body);
    ensure!(
        status.is_success(),
        StatusSnafu {
            what,
            status: status.as_u16(),
            body
        }
    );
    Ok(())
}

enum Outcome {
    Answered(String),
    NotRun,
    Unknown,
}

async fn send_one(client: &HttpClient, front: SocketAddr, body: &str) -> Outcome {
    // Every third request must not run twice.
    let operation = if body.ends_with(['0', '3', '6', '9']) {
        "close-sheet"
    } else {
        "quote"
    };
    let uri = format!("http://{front}/v1/services/field-work/job-sheets/{operation}");
    let request = Request::post(uri).body(Full::from(body.to_owned()));
    let Ok(request) = request else {
        return Outcome::NotRun;
    };
    match client.send(request, TIMEOUT).await {
        Err(failure) if failure.is_not_executed() => Outcome::NotRun,
        Err(_) => Outcome::Unknown,
        Ok(answer) => {
            let outcome = answer.headers.get("primrose-outcome");
            match outcome.and_then(|value| value.to_str().ok()) {
                Some("answered") => {
                    Outcome::Answered(String::from_utf8_lossy(&answer.body).into_owned())
                }
                Some("not-run") => Outcome::NotRun,
                _ => Outcome::Unknown,
            }
        }
    }
}

impl Seen {
    fn note(&mut self, body: String, outcome: Outcome, took: Duration) {
        match outcome {
            Outcome::Answered(answer) => {
                self.crossed += u64::from(!answer.ends_with(&format!(" {} {body}", body.len())));
                self.answered.push(body);
                let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                self.latency_us.saturating_record(took_us);
            }
            Outcome::NotRun => self.not_run.push(body),
            Outcome::Unknown => self.unknown += 1,
        }
    }
}

async fn run() -> Result<bool, QuickstartError> {
    let mut seen = Seen {
        answered: Vec::new(),
        not_run: Vec::new(),
        unknown: 0,
        crossed: 0,
        latency_us: Histogram::new_with_max(60_000_000, 3)
            .unwrap_or_else(|_| unreachable!("3 digits are valid")),
    };
    let deployment = Deployment::open().await?;
    println!("{} entry hosts serve", deployment.hosts.len());
    let in_force = deployment.put_document().await?;
    println!(
        "document in force everywhere after {} ms",
        in_force.as_millis()
    );
    let mut jobs = Vec::new();
    for domain in DOMAINS {
        jobs.push(deployment.submit_job(domain).await?);
    }
    println!("{} tasks accepted", jobs.len() * TASKS_PER_DOMAIN as usize);
    deployment
        .send_requests("steady", 8, Duration::from_secs(3), &mut seen)
        .await;
    println!(
        "{} requests answered; now a wave of requests",
        seen.answered.len()
    );
    deployment
        .send_requests("wave", 96, Duration::from_secs(4), &mut seen)
        .await;
    let evicted = deployment.platform.ledger.records().stopped();
    println!(
        "{} requests answered, {evicted} tasks stopped for them",
        seen.answered.len()
    );
    deployment.platform.leave("poa-server-0");
    println!("poa-server-0 is leaving");
    deployment
        .send_requests("late", 8, Duration::from_secs(5), &mut seen)
        .await;
    let finished = finish_jobs(&deployment, &jobs).await?;
    let mut orderly = true;
    for host in deployment.hosts {
        orderly &= host.stop().await?;
    }
    Ok(report(&deployment.platform, &seen, finished, orderly))
}

async fn finish_jobs(deployment: &Deployment, jobs: &[String]) -> Result<bool, QuickstartError> {
    for round in 0..600 {
        let mut left = 0;
        for job in jobs {
            let view = deployment.job(job).await?;
            left += view.pending + view.running;
        }
        if left == 0 {
            return Ok(true);
        }
        if round % 20 == 0 {
            println!("{left} tasks left");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(false)
}

/// Prints the table; true if nothing that must always hold was broken.
fn report(platform: &Platform, seen: &Seen, finished: bool, orderly: bool) -> bool {
    let records = platform.ledger.records();
    let accepted = DOMAINS.len() * TASKS_PER_DOMAIN as usize;
    let runs = |body: &String| -> u32 {
        let mut operations = ["quote", "close-sheet"].iter();
        let of = |operation: &&str| records.requests.get(format!("{operation} {body}").as_str());
        operations.by_ref().filter_map(of).sum()
    };
    let lost_answers = seen.answered.iter().filter(|body| runs(body) == 0).count();
    let run_after_all = seen.not_run.iter().filter(|body| runs(body) > 0).count();
    let once = records
        .requests
        .iter()
        .filter(|(name, _)| name.starts_with("close-sheet"));
    let repeated = once.filter(|(_, count)| **count > 1).count();
    let lost = accepted.saturating_sub(records.succeeded());
    let latency_ms = |quantile: f64| {
        let latency_us = seen.latency_us.value_at_quantile(quantile);
        format!(
            "{:.1}",
            Duration::from_micros(latency_us).as_secs_f64() * 1e3
        )
    };
    let calls = platform.store.calls();
    println!();
    println!("requests answered              {}", seen.answered.len());
    println!("requests not run               {}", seen.not_run.len());
    println!("requests unknown               {}", seen.unknown);
    println!(
        "latency p50 / p99 / p99.9 ms   {} / {} / {}",
        latency_ms(0.5),
        latency_ms(0.99),
        latency_ms(0.999)
    );
    println!("tasks accepted                 {accepted}");
    println!("tasks finished                 {}", records.succeeded());
    println!("evictions                      {}", records.stopped());
    println!("resumes                        {}", records.resumed());
    println!(
        "store writes / reads           {} / {}",
        calls.writes, calls.reads
    );
    println!("orderly stop                   {orderly}");
    println!();
    let broken = [
        ("tasks lost", lost),
        ("tasks finished twice", records.repeated_successes()),
        ("answers without a run", lost_answers),
        (
            "answers crossed or cut",
            usize::try_from(seen.crossed).unwrap_or(usize::MAX),
        ),
        ("requests run after 'not run'", run_after_all),
        ("non-idempotent requests repeated", repeated),
        (
            "new work for a leaving server",
            records.late_starts as usize,
        ),
        (
            "servers overfilled or tasks twice",
            records.violations.len(),
        ),
    ];
    for (name, count) in broken {
        println!("{name:<34} {count}");
    }
    for violation in records.violations.iter().take(10) {
        println!("  {violation}");
    }
    finished && orderly && broken.iter().all(|(_, count)| *count == 0)
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        eprintln!("cannot start the runtime");
        return ExitCode::FAILURE;
    };
    if std::env::args().any(|argument| argument == "--log") {
        // Without a log, only the table is printed.
        let _ = primrosestack::logs::open("info");
    }
    match runtime.block_on(run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
