//! Measures the latency that one entry host adds to a request, over a direct call to a stand-in backend server.
//!
//! Slices of one second of direct and forwarded requests alternate in one run, at a fixed rate that does not wait for
//! answers. Stand-ins, entry host and callers share this process and its processors.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use axum::http::Request;
use hdrhistogram::Histogram;
use http_body_util::Full;
use primrosestack::host::{EntryHost, HostError};
use primrosestack::http::{HttpClient, HttpFailure};
use primrosestack::settings::Settings;
use primrosestack_core::capacity::Resources;
use primrosestack_standin::backend::StandinBackend;
use primrosestack_standin::ledger::Ledger;
use primrosestack_standin::platform::{ANY_PORT, Platform, PlatformOptions};
use primrosestack_standin::worker::Worker;
use snafu::{ResultExt, Snafu};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

const DOCUMENT: &str = include_str!("documents/fichaluz.jsonc");
/// 48 servers of 8 slots make 384 slots, near the 400 of the team's quota.
const SERVERS: u32 = 48;
const SLICES: u32 = 5;
const SLICE: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_secs(5);
const RATES_PER_S: [u32; 2] = [1_000, 5_000];
const SEARCH_PER_S: [u32; 5] = [2_000, 5_000, 7_500, 10_000, 15_000];

#[derive(Debug, Snafu)]
enum ForwardError {
    #[snafu(context(false), display("{source}"))]
    Host { source: HostError },
    #[snafu(context(false), display("{source}"))]
    Http { source: HttpFailure },
    #[snafu(display("cannot bind a loopback port"))]
    Bind { source: std::io::Error },
    #[snafu(display("histogram of 3 digits is refused"))]
    Histogram { source: hdrhistogram::CreationError },
    #[snafu(display("the host does not answer requests"))]
    Late,
}

/// Latencies and refusals of one way.
struct Seen {
    latency_us: Histogram<u64>,
    refused: u64,
}

impl Seen {
    fn open() -> Result<Self, ForwardError> {
        let latency_us = Histogram::new_with_max(60_000_000, 3).context(HistogramSnafu)?;
        Ok(Self {
            latency_us,
            refused: 0,
        })
    }

    fn note(&mut self, took: Option<Duration>) {
        let Some(took) = took else {
            self.refused += 1;
            return;
        };
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.latency_us.saturating_record(took_us);
    }

    fn ms(&self, quantile: f64) -> f64 {
        let us = self.latency_us.value_at_quantile(quantile);
        Duration::from_micros(us).as_secs_f64() * 1e3
    }
}

/// Sends one request; the time from `began` to the whole answer, or `None` if it was refused.
async fn send(client: HttpClient, uri: String, began: Instant, number: u32) -> Option<Duration> {
    let request = Request::post(uri)
        .header("primrose-epoch", "1.0")
        .header("primrose-owner", "direct/1")
        .header("primrose-request", number.to_string());
    let request = request.body(Full::from(number.to_string())).ok()?;
    let answer = client.send(request, TIMEOUT).await.ok()?;
    answer.status.is_success().then(|| began.elapsed())
}

/// Sends at a rate for one slice, in ticks of 1 ms; latency counts from the tick.
async fn slice(client: &HttpClient, uris: &[String], rate_per_s: u32, seen: &mut Seen) {
    let mut ticks = interval(Duration::from_millis(1));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut running = JoinSet::new();
    let mut number = 0;
    for tick in 1..=u32::try_from(SLICE.as_millis()).unwrap_or(u32::MAX) {
        let began = ticks.tick().await.into_std();
        while number < rate_per_s * tick / 1_000 {
            let uri = &uris[number as usize % uris.len()];
            running.spawn(send(client.clone(), uri.clone(), began, number));
            number += 1;
        }
    }
    while let Some(Ok(took)) = running.join_next().await {
        seen.note(took);
    }
}

struct Bench {
    client: HttpClient,
    direct: Vec<String>,
    forwarded: Vec<String>,
    _servers: Vec<StandinBackend>,
    _platform: Platform,
    _host: EntryHost,
}

const RESOURCES: Resources = Resources {
    millicores: 64_000,
    memory_mib: 250_000,
    accelerators: 0,
};

async fn open() -> Result<Bench, ForwardError> {
    let options = PlatformOptions {
        failure_domains: vec!["poa".into()],
        servers_per_domain: SERVERS,
        servers_per_rack: 8,
        resources: RESOURCES,
        service_ms: 0,
        request_size: Resources::default(),
    };
    let platform = Platform::bind(&options).await.context(BindSnafu)?;
    // Servers that the entry host does not know, so that its epoch does not fence the direct calls.
    let mut servers = Vec::new();
    let mut direct = Vec::new();
    for _ in 0..SERVERS {
        let ledger = Ledger::default();
        let worker = Worker::open("direct".into(), 1, RESOURCES, ledger.clone());
        let bound = StandinBackend::bind(ANY_PORT, "direct".into(), worker, ledger, 0).await;
        let (server, address) = bound.context(BindSnafu)?;
        direct.push(format!("http://{address}/v1/request/job-sheets/quote"));
        servers.push(server);
    }
    let settings = Settings {
        name: "poa-entry-0".into(),
        failure_domain: "poa".into(),
        front_address: ANY_PORT,
        admin_address: ANY_PORT,
        peer_address: ANY_PORT,
        store_address: platform.store_address,
        host_list_address: platform.host_list_address,
        peers: Vec::new(),
        tokens_file: None,
        tls: None,
        ..Settings::example()
    };
    let host = EntryHost::bind(settings).await?;
    host.wait_until_serving().await?;
    let client = HttpClient::default();
    let text = DOCUMENT
        .replace(r#"["poa", "cxs", "pel"]"#, r#"["poa"]"#)
        .replace(r#"["poa", "pel"]"#, r#"["poa"]"#);
    let uri = format!("http://{}/v1/documents/field-work", host.admin_address());
    let put = Request::put(uri).body(Full::from(text));
    let put = put.map_err(|_| HttpFailure::Malformed)?;
    client.send(put, TIMEOUT).await?;
    let front = host.front_address();
    let bench = Bench {
        client,
        direct,
        forwarded: vec![format!(
            "http://{front}/v1/services/field-work/job-sheets/quote"
        )],
        _servers: servers,
        _platform: platform,
        _host: host,
    };
    for _ in 0..200 {
        let uri = bench.forwarded[0].clone();
        if send(bench.client.clone(), uri, Instant::now(), 0)
            .await
            .is_some()
        {
            return Ok(bench);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    LateSnafu.fail()
}

async fn run() -> Result<(), ForwardError> {
    let bench = open().await?;
    // Opens connections on both ways.
    let mut warm = Seen::open()?;
    slice(&bench.client, &bench.direct, 1_000, &mut warm).await;
    slice(&bench.client, &bench.forwarded, 1_000, &mut warm).await;
    println!("rate/s  way        p50 ms   p99 ms   refused");
    for rate_per_s in RATES_PER_S {
        let (mut direct, mut forwarded) = (Seen::open()?, Seen::open()?);
        for _ in 0..SLICES {
            slice(&bench.client, &bench.direct, rate_per_s, &mut direct).await;
            slice(&bench.client, &bench.forwarded, rate_per_s, &mut forwarded).await;
        }
        for (way, seen) in [("direct", &direct), ("forwarded", &forwarded)] {
            let (p50, p99) = (seen.ms(0.5), seen.ms(0.99));
            println!(
                "{rate_per_s:<7} {way:<9} {p50:>7.3}  {p99:>7.3}   {}",
                seen.refused
            );
        }
        let (p50, p99) = (
            forwarded.ms(0.5) - direct.ms(0.5),
            forwarded.ms(0.99) - direct.ms(0.99),
        );
        println!("{rate_per_s:<7} added     {p50:>7.3}  {p99:>7.3}");
    }
    for rate_per_s in SEARCH_PER_S {
        let mut seen = Seen::open()?;
        for _ in 0..2 {
            slice(&bench.client, &bench.forwarded, rate_per_s, &mut seen).await;
        }
        let (p99, refused) = (seen.ms(0.99), seen.refused);
        println!("search {rate_per_s}/s: p99 {p99:.3} ms, {refused} refused");
        if refused > 0 {
            break;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        eprintln!("cannot start the runtime");
        return ExitCode::FAILURE;
    };
    match runtime.block_on(run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
