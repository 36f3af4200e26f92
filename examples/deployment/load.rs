//! A steady load of requests, sent to the hosts that a load balancer would choose.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::http::Request;
use http_body_util::Full;
use primrosestack::http::HttpClient;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::hosts::Hosts;

/// Time between two requests.
const PACE: Duration = Duration::from_millis(4);
/// How often the balancer asks for the health of each host, and how long it waits for the answer.
const HEALTH_PERIOD: Duration = Duration::from_millis(200);
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);
/// A deadline is at most 5 s in the document; the rest is for a busy machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How a call ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Answered with this body.
    Answered(String),
    /// Certainly not run.
    NotRun,
    /// Refused since the idempotency key was used before.
    Repeated,
    /// Neither is certain.
    Unknown,
}

/// One call.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// Phase in which it was sent.
    pub(crate) phase: usize,
    /// Operation and body, as the stand-ins record them.
    pub(crate) name: String,
    /// Body of the answer to each use of the idempotency key; that of the call itself if there is no key.
    pub(crate) expected: Vec<String>,
    /// Number of the idempotency key.
    pub(crate) key: Option<u64>,
    /// Host that was called.
    pub(crate) host: usize,
    pub(crate) outcome: Outcome,
    pub(crate) took: Duration,
}

struct Inner {
    client: HttpClient,
    fronts: Vec<SocketAddr>,
    healthy: Vec<AtomicBool>,
    phase: AtomicUsize,
    per_tick: AtomicUsize,
    stopped: AtomicBool,
    samples: Mutex<Vec<Sample>>,
}

/// The load; a clone is the same load.
#[derive(Clone)]
pub(crate) struct Load {
    inner: Arc<Inner>,
}

struct Call {
    operation: &'static str,
    body: String,
    key: Option<u64>,
    expected: Vec<String>,
}

impl Load {
    /// Starts the balancer's health checks.
    pub(crate) fn open(hosts: &Hosts) -> Self {
        let fronts: Vec<SocketAddr> = hosts.all.iter().map(|host| host.front).collect();
        let healthy = fronts.iter().map(|_| AtomicBool::new(false)).collect();
        let inner = Arc::new(Inner {
            client: HttpClient::default(),
            fronts,
            healthy,
            phase: AtomicUsize::new(0),
            per_tick: AtomicUsize::new(1),
            stopped: AtomicBool::new(false),
            samples: Mutex::default(),
        });
        for at in 0..inner.fronts.len() {
            tokio::spawn(check_health(inner.clone(), at));
        }
        Self { inner }
    }

    /// Whether the balancer would send callers to a host.
    pub(crate) fn is_healthy(&self, at: usize) -> bool {
        self.inner.healthy[at].load(Ordering::Relaxed)
    }

    /// Counts later requests under another phase.
    pub(crate) fn set_phase(&self, phase: usize) {
        self.inner.phase.store(phase, Ordering::Relaxed);
    }

    /// Sets how many requests are sent at each tick of [`PACE`].
    pub(crate) fn set_per_tick(&self, count: usize) {
        self.inner.per_tick.store(count, Ordering::Relaxed);
    }

    /// Makes [`Load::run`] return once the requests in flight have ended.
    pub(crate) fn stop(&self) {
        self.inner.stopped.store(true, Ordering::Relaxed);
    }

    /// All calls that have ended.
    pub(crate) fn samples(&self) -> MutexGuard<'_, Vec<Sample>> {
        let samples = self.inner.samples.lock();
        samples.unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends requests at a steady pace until the load is stopped.
    pub(crate) async fn run(self, seed: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut interval = tokio::time::interval(PACE);
        interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut running = JoinSet::new();
        let mut number = 0;
        while !self.inner.stopped.load(Ordering::Relaxed) {
            interval.tick().await;
            while running.try_join_next().is_some() {}
            for _ in 0..self.inner.per_tick.load(Ordering::Relaxed) {
                number += 1;
                self.spawn_one(&mut random, number, &mut running);
            }
        }
        while running.join_next().await.is_some() {}
    }

    fn spawn_one(&self, random: &mut Pcg64Mcg, number: u64, running: &mut JoinSet<()>) {
        let inner = self.inner.clone();
        let Some(host) = inner.choose(random, None) else {
            return;
        };
        let phase = inner.phase.load(Ordering::Relaxed);
        let padding = "x".repeat(random.random_range(0..2_000));
        let kind = random.random_range(0..10);
        if kind == 0 {
            let other = inner.choose(random, Some(host)).unwrap_or(host);
            let together = random.random_range(0..4) == 0;
            running.spawn(keyed(
                inner,
                phase,
                number,
                padding,
                [host, other],
                together,
            ));
            return;
        }
        let operation = if kind <= 3 { "close-sheet" } else { "quote" };
        let body = format!("{number}-{padding}");
        let call = Call {
            operation,
            expected: vec![answer_to(operation, &body)],
            body,
            key: None,
        };
        running.spawn(async move { inner.call(phase, host, call).await });
    }
}

fn answer_to(operation: &str, body: &str) -> String {
    format!("job-sheets/{operation} {} {body}", body.len())
}

/// Uses one key at two hosts, at the same time or one after the other. The bodies differ, so that the stand-ins' records
/// tell which of the two ran.
async fn keyed(
    inner: Arc<Inner>,
    phase: usize,
    number: u64,
    padding: String,
    hosts: [usize; 2],
    together: bool,
) {
    let bodies = [
        format!("{number}-first-{padding}"),
        format!("{number}-repeat-{padding}"),
    ];
    let expected: Vec<String> = bodies
        .iter()
        .map(|body| answer_to("close-sheet", body))
        .collect();
    let [first, repeat] = bodies.map(|body| Call {
        operation: "close-sheet",
        body,
        key: Some(number),
        expected: expected.clone(),
    });
    if together {
        tokio::join!(
            inner.call(phase, hosts[0], first),
            inner.call(phase, hosts[1], repeat)
        );
        return;
    }
    inner.call(phase, hosts[0], first).await;
    let phase = inner.phase.load(Ordering::Relaxed);
    inner.call(phase, hosts[1], repeat).await;
}

impl Inner {
    /// A healthy host, other than `except`.
    fn choose(&self, random: &mut Pcg64Mcg, except: Option<usize>) -> Option<usize> {
        let healthy = self.healthy.iter().enumerate();
        let healthy =
            healthy.filter(|(at, one)| Some(*at) != except && one.load(Ordering::Relaxed));
        let healthy: Vec<usize> = healthy.map(|(at, _)| at).collect();
        if healthy.is_empty() {
            return None;
        }
        Some(healthy[random.random_range(0..healthy.len())])
    }

    async fn call(&self, phase: usize, host: usize, call: Call) {
        let began = Instant::now();
        let outcome = self.send(host, &call).await;
        let sample = Sample {
            phase,
            name: format!("{} {}", call.operation, call.body),
            expected: call.expected,
            key: call.key,
            host,
            outcome,
            took: began.elapsed(),
        };
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        samples.push(sample);
    }

    async fn send(&self, host: usize, call: &Call) -> Outcome {
        let front = self.fronts[host];
        let operation = call.operation;
        let uri = format!("http://{front}/v1/services/field-work/job-sheets/{operation}");
        let mut request = Request::post(uri);
        if let Some(key) = call.key {
            request = request.header("idempotency-key", format!("key-{key}"));
        }
        let Ok(request) = request.body(Full::from(call.body.clone())) else {
            return Outcome::NotRun;
        };
        let answer = match self.client.send(request, CALL_TIMEOUT).await {
            Ok(answer) => answer,
            Err(failure) if failure.is_not_executed() => return Outcome::NotRun,
            Err(_) => return Outcome::Unknown,
        };
        let outcome = answer.headers.get("primrose-outcome");
        match outcome.and_then(|value| value.to_str().ok()) {
            Some("answered") => {
                Outcome::Answered(String::from_utf8_lossy(&answer.body).into_owned())
            }
            Some("not-run") => Outcome::NotRun,
            _ if answer.status.as_u16() == 409 => Outcome::Repeated,
            _ => Outcome::Unknown,
        }
    }
}

async fn check_health(inner: Arc<Inner>, at: usize) {
    let uri = format!("http://{}/healthz", inner.fronts[at]);
    let mut interval = tokio::time::interval(HEALTH_PERIOD);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let Ok(request) = Request::get(&uri).body(Full::default()) else {
            return;
        };
        let answer = inner.client.send(request, HEALTH_TIMEOUT).await;
        let healthy = answer.is_ok_and(|answer| answer.status.is_success());
        inner.healthy[at].store(healthy, Ordering::Relaxed);
    }
}
