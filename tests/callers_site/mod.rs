//! The daemon's process beside stand-ins for the store and a server, and crowds of callers.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use hyper::Method;
use primrosestack_platform::catalog::CONFIGURATION_KEY;
use primrosestack_platform::http::{Call, HttpClient};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::registration;
use crate::server::{self, ServerSettings};
use crate::store::{self, StoreSettings, ViewSettings};

pub const HOST: &str = "sheets.example";

/// Memory of the host in the daemon's settings, and the bound for the process in megabytes.
pub const MEMORY_MB: u64 = 64;

/// File descriptors in the daemon's settings, and the bound for the process.
pub const FDS_MAX: usize = 900;

const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);

const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A running daemon with its stand-ins. Dropping it ends the process.
pub struct Site {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    pub metrics: SocketAddr,
    child: Child,
    settings: PathBuf,
    /// Peaks of memory of the processes before this one.
    memory_peak_before_kb: u64,
    client: HttpClient,
    fds_seen_max: usize,
    kernel_bytes_seen_max: u64,
    _lock: File,
}

/// Addresses with different free ports.
fn free_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listeners: [TcpListener; COUNT] = std::array::from_fn(bind);
    listeners.map(|listener| listener.local_addr().expect("the address"))
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "r-quote", "host": HOST, "prefix": "/quote/", "service": "fichas",
            "targetLatencyMs": 250, "maxAttempts": 3, "stretchFactor": 1.5,
        }, {
            "name": "r-bulk", "host": HOST, "prefix": "/bulk/", "service": "fichas",
            "targetLatencyMs": 250, "maxAttempts": 3, "stretchFactor": 1.5,
        }],
        "services": [{ "name": "fichas" }],
        "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 262_144 },
    })
}

fn spawn_daemon(settings: &Path) -> Child {
    let log = settings.with_extension("log");
    let log = File::options().create(true).append(true).open(log);
    let log = log.expect("a log file");
    Command::new(env!("CARGO_BIN_EXE_primrosestack"))
        .args(["daemon", "--settings"])
        .arg(settings)
        .stderr(log.try_clone().expect("a second handle"))
        .stdout(log)
        .stdin(Stdio::null())
        .spawn()
        .expect("the daemon starts")
}

impl Site {
    /// Starts everything and waits until the daemon is ready. Only one site runs at a time, also of other processes.
    pub async fn open(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let lock = File::create(folder.join("callers.lock")).expect("a lock file");
        let lock = tokio::task::spawn_blocking(move || lock.lock().map(|()| lock));
        let lock = lock.await.expect("not cancelled").expect("the lock");
        let [store, view, server, callers, ready, peer, metrics] = free_addresses();
        let views = vec![ViewSettings {
            address: view,
            relays: Vec::new(),
        }];
        tokio::spawn(store::serve(StoreSettings {
            operator: store,
            views,
            leases_pause: false,
        }));
        let client = HttpClient::open();
        let operator = store.to_string();
        while !registration::put(&client, &operator, CONFIGURATION_KEY, &configuration(), 0).await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::spawn(server::serve(ServerSettings {
            name: "s0".into(),
            service: "fichas".into(),
            failure_domain: "poa".into(),
            rack: "r-poa".into(),
            address: server,
            relays: Vec::new(),
            store,
            cpu_millis: 8_000,
            memory_mb: 32_000,
            clock_rate_permille: 1_000,
            lease_max_ms: 6_000,
            overrun_ms: 0,
            task_stop_ms: 300,
            drain_ms: 3_000,
            heartbeat_ms: 1_000,
        }));
        let settings = json!({
            "name": "h0", "failure_domain": "poa", "failure_domains": ["poa"],
            "callers_address": callers, "ready_address": ready,
            "peer_address": peer, "metrics_address": metrics, "store_address": view,
            "control_mode": "invocation", "lease_max_ms": 6_000, "task_stop_ms": 300,
            "retention_s": 120, "heartbeat_ms": 1_000, "stop_s": 6,
            "memory_mb": MEMORY_MB, "fds_max": FDS_MAX,
        });
        let path = folder.join(format!("callers-{name}.jsonc"));
        let _absent = fs::remove_file(path.with_extension("log"));
        fs::write(&path, settings.to_string()).expect("the settings are written");
        let child = spawn_daemon(&path);
        let mut site = Self {
            callers,
            ready,
            peer,
            metrics,
            child,
            settings: path,
            memory_peak_before_kb: 0,
            client,
            fds_seen_max: 0,
            kernel_bytes_seen_max: 0,
            _lock: lock,
        };
        site.wait_until_ready().await;
        site
    }

    async fn wait_until_ready(&mut self) {
        let is_ready = |status, _: &Value| status == 200;
        self.wait_for(self.ready, Method::GET, "/v1/ready", &Value::Null, is_ready)
            .await;
    }

    /// Submits the jobs of a crowd, and samples meanwhile.
    pub async fn run_job_crowd(&mut self, crowd: JobCrowd) {
        let mut running = tokio::spawn(crowd.run(self.callers));
        let submitted = loop {
            tokio::select! {
                submitted = &mut running => break submitted.expect("the crowd does not panic"),
                () = tokio::time::sleep(Duration::from_millis(100)) => self.sample(),
            }
        };
        println!("{submitted:?}");
    }

    /// Kills the process and starts another, which takes the shard over.
    pub async fn replace_process(&mut self) {
        self.memory_peak_before_kb = self.memory_peak_kb();
        self.child.kill().expect("the process is killed");
        self.child.wait().expect("the process ends");
        self.child = spawn_daemon(&self.settings);
        self.wait_until_ready().await;
    }

    /// Records how many descriptors the process has and what the kernel holds for its ports.
    pub fn sample(&mut self) {
        let folder = format!("/proc/{}/fd", self.child.id());
        let count = fs::read_dir(folder).map_or(0, Iterator::count);
        self.fds_seen_max = self.fds_seen_max.max(count);
        let ports = [self.callers, self.ready, self.peer, self.metrics].map(|own| own.port());
        let mut bytes = 0;
        for line in fs::read_to_string("/proc/net/tcp")
            .unwrap_or_default()
            .lines()
        {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let port = fields.get(1).and_then(|local| local.split(':').nth(1));
            let port = port.and_then(|port| u16::from_str_radix(port, 16).ok());
            // A listening socket tells the length of its queue there.
            if !port.is_some_and(|port| ports.contains(&port)) || fields[3] == "0A" {
                continue;
            }
            for queue in fields[4].split(':') {
                bytes += u64::from_str_radix(queue, 16).unwrap_or(0);
            }
        }
        self.kernel_bytes_seen_max = self.kernel_bytes_seen_max.max(bytes);
    }

    /// Samples for a while.
    pub async fn watch(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.sample();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    fn memory_peak_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
        peak.unwrap_or(0).max(self.memory_peak_before_kb)
    }

    /// Asserts that the process lives and stayed within its bounds, and that an ordinary job is accepted and completes.
    pub async fn assert_sound(mut self, form: &str) {
        self.sample();
        let process_kb = self.memory_peak_kb();
        let kernel_kb = self.kernel_bytes_seen_max / 1_024;
        let fds = self.fds_seen_max;
        let ended = self.child.try_wait().expect("the state of the process");
        // Shown with --nocapture, for the figures in commits.
        println!("form={form} process_kb={process_kb} kernel_kb={kernel_kb} fds={fds}");
        assert_eq!(ended, None, "the process ended");
        let path = "/quote/00000000000000a1";
        let job = json!({
            "spec": "100 50 0",
            "steps": [{ "count": 1, "cpu": 100, "memMb": 100, "estimatedMs": 50 }],
        });
        let callers = self.callers;
        self.wait_for(callers, Method::POST, path, &job, |status, _| status == 200)
            .await;
        self.wait_for(callers, Method::GET, path, &Value::Null, |_, body| {
            body["state"] == "completed"
        })
        .await;
        let bound_kb = MEMORY_MB * 1_024;
        assert!(process_kb > 0, "no figure for the memory");
        assert!(
            process_kb + kernel_kb <= bound_kb,
            "memory: {process_kb} kB of the process and {kernel_kb} kB in socket buffers, bound {bound_kb} kB"
        );
        assert!(fds <= FDS_MAX, "{fds} descriptors, bound {FDS_MAX}");
    }

    async fn wait_for(
        &mut self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: &Value,
        is_met: impl Fn(u16, &Value) -> bool,
    ) {
        let began = Instant::now();
        loop {
            let body = if body.is_null() {
                String::new()
            } else {
                body.to_string()
            };
            let call = Call {
                method: method.clone(),
                address: &to.to_string(),
                path,
                headers: &[("host", HOST)],
                body: body.into_bytes(),
                timeout_ms: 3_000,
            };
            let answer = self.client.call(call).await;
            if let Ok(answer) = &answer {
                let body = serde_json::from_slice(&answer.body).unwrap_or_default();
                if is_met(answer.status, &body) {
                    return;
                }
            }
            let ended = self.child.try_wait().expect("the state of the process");
            assert_eq!(ended, None, "the process ended before {method} {path}");
            assert!(
                began.elapsed() < ANSWER_TIMEOUT,
                "{method} {path}: {answer:?}"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status();
        assert!(status.expect("kill runs").success());
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ended = self.child.kill().and_then(|()| self.child.wait());
    }
}

/// Callers that each submit one job after the other on a connection of their own and read the answers.
pub struct JobCrowd {
    pub path: &'static str,
    /// Identifiers of the jobs are numbered from here.
    pub first_id: u64,
    pub connections: usize,
    pub jobs_per_connection: usize,
    pub job: Value,
    /// Whether each job is cancelled as soon as it is accepted.
    pub cancels: bool,
    /// How often a refused job is sent again.
    pub retries: u32,
}

/// Outcomes of a crowd's submissions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Submitted {
    pub accepted: usize,
    pub refused: usize,
    /// Connections that were closed before their last answer; their callers stay away.
    pub closed: usize,
}

impl JobCrowd {
    async fn run(self, to: SocketAddr) -> Submitted {
        let body: std::sync::Arc<str> = self.job.to_string().into();
        let mut callers = tokio::task::JoinSet::new();
        for caller in 0..self.connections {
            let first_id = self.first_id + (caller * self.jobs_per_connection) as u64;
            let ids = first_id..first_id + self.jobs_per_connection as u64;
            let (path, cancels, retries) = (self.path, self.cancels, self.retries);
            let body = std::sync::Arc::clone(&body);
            callers.spawn(async move { submit_jobs(to, path, ids, &body, cancels, retries).await });
        }
        let mut total = Submitted::default();
        while let Some(caller) = callers.join_next().await {
            let submitted = caller.expect("a caller does not panic");
            total.accepted += submitted.accepted;
            total.refused += submitted.refused;
            total.closed += submitted.closed;
        }
        total
    }
}

/// Status of the answer to a request; `None` if the connection was closed.
pub async fn request(stream: &mut TcpStream, method: &str, path: &str, body: &str) -> Option<u16> {
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") {
        // These answers have no body.
        if stream.read_buf(&mut answer).await.ok()? == 0 {
            return None;
        }
    }
    let answer = String::from_utf8_lossy(&answer);
    answer.split(' ').nth(1)?.parse().ok()
}

async fn submit_jobs(
    to: SocketAddr,
    path: &str,
    ids: std::ops::Range<u64>,
    body: &str,
    cancels: bool,
    retries: u32,
) -> Submitted {
    let mut submitted = Submitted::default();
    let Ok(mut stream) = TcpStream::connect(to).await else {
        submitted.closed += 1;
        return submitted;
    };
    for id in ids {
        let path = format!("{path}{id:016x}");
        let mut status = request(&mut stream, "POST", &path, body).await;
        for _ in 0..retries {
            if status != Some(503) {
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
            status = request(&mut stream, "POST", &path, body).await;
        }
        match status {
            Some(200) => submitted.accepted += 1,
            Some(_) => {
                submitted.refused += 1;
                continue;
            }
            None => {
                submitted.closed += 1;
                return submitted;
            }
        }
        if cancels && request(&mut stream, "DELETE", &path, "").await.is_none() {
            submitted.closed += 1;
            return submitted;
        }
    }
    submitted
}

/// How a caller of a crowd sends.
#[derive(Clone)]
pub struct Sending {
    pub head: String,
    /// Pieces after the head, sent one after the other.
    pub piece: Vec<u8>,
    pub pieces: usize,
    pub pause: Duration,
    /// Whether the answers are read.
    pub reads: bool,
}

/// Connects `count` callers that send at once and keep their connections open; they end when the result is dropped.
pub fn crowd(to: SocketAddr, count: usize, sending: &Sending) -> tokio::task::JoinSet<()> {
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..count {
        let sending = sending.clone();
        callers.spawn(async move {
            let Ok(mut stream) = TcpStream::connect(to).await else {
                return;
            };
            // A caller that is refused or closed stays away.
            if stream.write_all(sending.head.as_bytes()).await.is_err() {
                return;
            }
            for _ in 0..sending.pieces {
                tokio::time::sleep(sending.pause).await;
                if stream.write_all(&sending.piece).await.is_err() {
                    return;
                }
            }
            let mut answer = vec![0; 4_096];
            while sending.reads && stream.read(&mut answer).await.is_ok_and(|read| read > 0) {}
            std::future::pending::<()>().await;
        });
    }
    callers
}
