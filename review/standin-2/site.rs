//! A small deployment on loopback: the daemons as processes of their own, and the stand-ins around them.

use std::env;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Handler, Listener};
use crate::json::{Json, quoted};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{HEARTBEAT_MS, LEASE_MAX_MS, STOP_MS, Worker};

pub const ZONES: [&str; 3] = ["cxs", "pel", "poa"];
pub const HOSTS_PER_ZONE: usize = 2;
const ROUTE_HOST: &str = "sheets.example";
const DEADLINE: Duration = Duration::from_millis(3_000);
/// The store's time for an answer, by the site's sheet.
const STORE_ANSWER: Duration = Duration::from_millis(4);
/// The bound `finish_s`.
pub const FINISH: Duration = Duration::from_secs(14);

pub type Failure = Box<dyn std::error::Error>;

/// A queue, which is also the first part of its paths.
pub struct Queue {
    pub name: &'static str,
    pub service: &'static str,
    pub priority: u32,
    pub attempts: u32,
}

pub struct Host {
    pub zone: &'static str,
    /// The store as this host sees it.
    _store: Listener,
    front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

pub struct Site {
    pub record: Arc<Record>,
    pub workers: Vec<Arc<Worker>>,
    pub hosts: Vec<Host>,
    folder: PathBuf,
    _ports: TcpListener,
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            let _ended = host.child.kill();
            let _reaped = host.child.wait();
        }
        if env::var_os("KEEP").is_none() {
            let _best_effort = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Below the range of the operating system's own choice, so that a process can bind its ports again.
const PORTS: std::ops::Range<u16> = 20_000..32_000;
const PORTS_OF_CASE: u16 = 100;

/// Free addresses. The listener holds the first port of their range, so that no other case takes from it.
fn free_addresses(count: usize) -> Result<(TcpListener, Vec<SocketAddr>), Failure> {
    let ranges = (PORTS.end - PORTS.start) / PORTS_OF_CASE;
    let spread = (std::process::id() % u32::from(ranges)) as u16;
    for nth in 0..ranges {
        let first = PORTS.start + (nth + spread) % ranges * PORTS_OF_CASE;
        let Ok(lock) = TcpListener::bind(("127.0.0.1", first)) else {
            continue;
        };
        let ports = (first + 1..first + PORTS_OF_CASE).map(|port| ("127.0.0.1", port));
        let free: Vec<TcpListener> = ports
            .filter_map(|address| TcpListener::bind(address).ok())
            .take(count)
            .collect();
        if free.len() == count {
            let addresses: Result<Vec<SocketAddr>, _> =
                free.iter().map(TcpListener::local_addr).collect();
            return Ok((lock, addresses?));
        }
    }
    Err("there are no free ports".into())
}

/// Fills in the template of the deploy file for a host.
fn render(name: &str, zone: &str, own: &[SocketAddr]) -> Result<String, Failure> {
    let zones: Vec<String> = ZONES.iter().map(|zone| quoted(zone)).collect();
    let values = [
        ("{{#zones}}\"{{@}}\"{{,}}{{/zones}}", zones.join(",")),
        ("{{nodeName|json}}", quoted(name)),
        ("{{zone|json}}", quoted(zone)),
        (
            "{{listenAddresses.front|json}}",
            quoted(&own[0].to_string()),
        ),
        (
            "{{listenAddresses.readyAddress|json}}",
            quoted(&own[1].to_string()),
        ),
        ("{{ip}}:{{internalPortRange.0}}", own[2].to_string()),
        ("{{ip}}:{{internalPortRange.1}}", own[3].to_string()),
        ("{{platform.address|json}}", quoted(&own[4].to_string())),
        ("{{advisor}}", String::new()),
        ("{{controlMode|json}}", quoted("invocation")),
        ("{{bounds.maxHoldMs}}", LEASE_MAX_MS.to_string()),
        ("{{bounds.stopTimeoutMs}}", STOP_MS.to_string()),
        ("{{bounds.status_s}}", "120".into()),
        ("{{heartbeatMs}}", HEARTBEAT_MS.to_string()),
        ("{{bounds.drainMs}}", "2000".into()),
        ("{{limits.cpuShare}}", "0.1".into()),
        ("{{limits.cores}}", "1".into()),
        ("{{bounds.graceS}}", "6".into()),
    ];
    let mut text = fs::read_to_string("deploy/settings.jsonc")?;
    for (placeholder, value) in values {
        text = text.replace(placeholder, &value);
    }
    if text.contains("{{") {
        return Err("the template of the settings has a placeholder that is not known here".into());
    }
    Ok(text)
}

/// The command of the role in the deploy file.
fn run_command() -> Result<Vec<String>, Failure> {
    let text = fs::read_to_string("deploy/system.toml")?;
    let line = text.lines().find(|line| line.starts_with("run = "));
    let command = line.and_then(|line| line.split('"').nth(1));
    let command = command.ok_or("no command in the deploy file")?;
    Ok(command.split(' ').map(str::to_owned).collect())
}

fn configuration(queues: &[Queue]) -> String {
    let mut services: Vec<&str> = queues.iter().map(|queue| queue.service).collect();
    services.dedup();
    let routes: Vec<String> = queues
        .iter()
        .map(|queue| {
            format!(
                "{{\"name\":\"{0}\",\"host\":\"{ROUTE_HOST}\",\"prefix\":\"/{0}/\",\"kind\":\"non_idempotent\",\
                 \"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":{1},\"service\":\"{2}\",\
                 \"maxAttempts\":{3},\"stretchFactor\":1.5}}",
                queue.name, queue.priority, queue.service, queue.attempts
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"{service}\",\"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\
                 \"tls\":false,\"admissionCheck\":true,\"standby\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// What a worker of a site is: zone, service and kind.
pub type WorkerKind = (&'static str, &'static str, &'static str);

impl Site {
    /// Starts everything, and waits until all hosts are ready and the owners have had time to claim their workers.
    pub fn open(
        record: &Arc<Record>,
        queues: &[Queue],
        kinds: &[WorkerKind],
        hosts_per_zone: usize,
    ) -> Result<Self, Failure> {
        let folder = env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let count = hosts_per_zone * ZONES.len();
        let (ports, addresses) = free_addresses(5 * count + kinds.len())?;
        let store = Arc::new(Store::open());
        store.write("op/config", &configuration(queues), Duration::ZERO);
        let mut workers = Vec::new();
        for (nth, &(zone, service, kind)) in kinds.iter().enumerate() {
            let address = addresses[5 * count + nth];
            let labels = vec![kind.to_owned(), format!("r-{zone}")];
            let id = format!("w{nth:02}-{zone}");
            let worker = Worker::new(&store, record, id, service, zone, labels, address);
            worker.start()?;
            worker.register();
            workers.push(worker);
        }
        let ticking = workers.clone();
        let ticked = Arc::clone(&store);
        thread::spawn(move || {
            let mut registered = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(5));
                ticked.tick();
                let is_due = registered.elapsed() >= Duration::from_millis(HEARTBEAT_MS);
                for worker in &ticking {
                    worker.advance();
                    if is_due {
                        worker.register();
                    }
                }
                if is_due {
                    registered = Instant::now();
                }
            }
        });
        let mut site = Self {
            record: Arc::clone(record),
            workers,
            hosts: Vec::new(),
            folder,
            _ports: ports,
        };
        for nth in 0..count {
            let own = &addresses[5 * nth..5 * nth + 5];
            let answering = Arc::clone(&store);
            let handler: Handler = Arc::new(move |request| {
                thread::sleep(STORE_ANSWER);
                answering.answer(&request)
            });
            site.add_host(nth, Listener::open(own[4], handler)?, own)?;
        }
        let began = Instant::now();
        while !site.hosts.iter().all(Host::is_ready) {
            if began.elapsed() > Duration::from_secs(20) {
                return Err("the hosts are not ready in time".into());
            }
            thread::sleep(Duration::from_millis(50));
        }
        // Traffic starts 10 s after the machines do.
        thread::sleep(Duration::from_secs(10).saturating_sub(began.elapsed()));
        record.line("traffic begins");
        Ok(site)
    }

    fn add_host(&mut self, nth: usize, store: Listener, own: &[SocketAddr]) -> Result<(), Failure> {
        let zone = ZONES[nth % ZONES.len()];
        let name = format!("edge-{zone}-{}", nth / ZONES.len());
        let settings = self.folder.join(format!("{name}.jsonc"));
        fs::write(&settings, render(&name, zone, own)?)?;
        let log = self.folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log)?;
        self.hosts.push(Host {
            zone,
            _store: store,
            front: own[0],
            ready: own[1],
            child,
        });
        Ok(())
    }

    /// A host of a zone.
    pub fn host(&self, zone: &str) -> usize {
        let found = self.hosts.iter().position(|host| host.zone == zone);
        found.unwrap_or(0)
    }

    /// Sends a client's call to a host. `None` without an answer.
    pub fn call(&self, host: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let headers = [
            ("host", ROUTE_HOST),
            ("content-type", "application/json"),
            ("x-primrosestack-deadline-ms", "3000"),
        ];
        let front = self.hosts[host].front;
        let answer = http::call(front, method, path, &headers, body, DEADLINE);
        let answer =
            answer.map(|(status, body)| (status, String::from_utf8_lossy(&body).into_owned()));
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".into(),
        };
        self.record.line(&format!(
            "client {method} {path} {body} at {}: {shown}",
            self.hosts[host].zone
        ));
        answer
    }

    /// Hands a job in; it has to be accepted.
    pub fn submit(&self, host: usize, path: &str, body: &str) -> Result<(), Failure> {
        match self.call(host, "POST", path, body) {
            Some((200..=299, _)) => Ok(()),
            _ => Err("a job was not accepted".into()),
        }
    }

    /// The state of a job as shown to a client; empty if it is not told.
    pub fn state(&self, host: usize, path: &str) -> String {
        match self.call(host, "GET", path, "") {
            Some((200, body)) => {
                let body = Json::parse(body.as_bytes()).unwrap_or(Json::Null);
                body.get("state").text().to_owned()
            }
            _ => String::new(),
        }
    }

    /// The worker on which a task runs.
    pub fn worker_of(&self, task: &str) -> Option<Arc<Worker>> {
        let running = self.record.task(task).running;
        let (name, _) = running.last()?;
        self.workers
            .iter()
            .find(|worker| worker.id == *name)
            .cloned()
    }

    /// Waits until a condition holds.
    pub fn wait(
        &self,
        what: &str,
        max_s: u64,
        holds: impl Fn(&Self) -> bool,
    ) -> Result<(), Failure> {
        let began = Instant::now();
        while !holds(self) {
            if began.elapsed() > Duration::from_secs(max_s) {
                return Err(format!("{what} did not come").into());
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }
}

impl Host {
    fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = http::call(self.ready, "GET", "/v1/ready", &[], "", timeout);
        answer.is_some_and(|(status, _)| status == 200)
    }
}

fn spawn(settings: &Path, log: &Path) -> Result<Child, Failure> {
    let command = run_command()?;
    let log = File::options().create(true).append(true).open(log)?;
    let child = Command::new(&command[0])
        .args(&command[1..])
        .env_clear()
        .env("PRIMROSESTACK_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone()?)
        .stdout(log)
        .spawn()?;
    Ok(child)
}
