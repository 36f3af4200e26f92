//! Stand-ins of backend servers ("workers") and of the advisor, and the processes of the project's daemon.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::store::Store;
use crate::wire::{self, Json, Message, num, object, read_message, text, write_response};

const TICK: Duration = Duration::from_millis(10);
const WAIT_MAX_MS: u64 = 2_000;
const ENDS_PER_ANSWER: usize = 500;
pub const HEARTBEAT_MS: u64 = 1_500;
/// Limits of the small deployment `fichaluz-sul`.
pub const HOLD_MAX_MS: u64 = 10_000;
pub const STOP_MAX_MS: u64 = 900;
pub const DRAIN_MS: u64 = 2_000;
pub const GANG_MS: u64 = 3_000;
pub const SERVICE: &str = "fichas";
pub const ZONES: [&str; 3] = ["cxs", "pel", "poa"];
pub const ROUTE_HOST: &str = "sheets.example";

/// What the stand-ins know of a job, from its client.
#[derive(Clone, Debug, Default)]
pub struct Job {
    pub steps: Vec<Json>,
    /// Time that a run takes; 0 for tasks that last.
    pub work_ms: u64,
    /// Workers on which the queue's policy lets its steps run; `None` for all.
    pub allowed: Option<Vec<String>>,
}

#[derive(Clone, Debug)]
struct Run {
    task: String,
    number: u64,
    cpu: u64,
    memory: u64,
    is_gang: bool,
    /// When it began to work; `None` while it waits for the others of its gang.
    working: Option<Instant>,
    started: Instant,
    stops: Option<Instant>,
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// What a worker knows since its start.
struct Life {
    begun: Instant,
    born_unix_ms: u64,
    token: u64,
    lease_end_ms: u64,
    running: Vec<Run>,
    ended: Vec<End>,
    last_end: u64,
    closed: BTreeMap<String, u64>,
}

pub struct Worker {
    pub name: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub memory: u64,
    pub address: SocketAddr,
    life: Life,
    sequence: u64,
    /// Wakes calls that wait for an end.
    ends: Arc<Condvar>,
}

/// Something that a worker did.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub what: &'static str,
    pub task: String,
}

#[derive(Default)]
struct Inner {
    workers: Vec<Worker>,
    jobs: BTreeMap<String, Job>,
    events: Vec<Event>,
    lines: Vec<String>,
    /// Only what is done for jobs with these prefixes is written into the record; empty for all.
    logged_prefixes: Vec<String>,
    /// Tickets with the worker, the step and the end of their time.
    tickets: Vec<(String, String, String, Instant)>,
    advice_calls: u64,
    next_ticket: u64,
}

/// All stand-ins of a deployment.
#[derive(Clone)]
pub struct Site {
    inner: Arc<Mutex<Inner>>,
    pub store: Store,
    pub advisor: SocketAddr,
    began: Instant,
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or("", |(step, _)| step)
}

impl Life {
    fn new() -> Life {
        Life {
            begun: Instant::now(),
            born_unix_ms: unix_ms(),
            token: 0,
            lease_end_ms: 0,
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, body: &Json) {
        if let Some(end_ms) = body.get("expiryMs").as_u64() {
            let longest_ms = self.clock_ms() + HOLD_MAX_MS;
            self.lease_end_ms = self.lease_end_ms.max(end_ms.min(longest_ms));
        }
    }

    fn admits(&mut self, body: &Json) -> bool {
        let token = body.number("fencingToken");
        let is_admitted = token >= self.token;
        self.token = self.token.max(token);
        is_admitted
    }

    fn close(&mut self, task: &str, run: u64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
    }

    fn reply(&self, status: u16, reason: &str) -> (u16, Json) {
        let mut fields = vec![("clockMs".to_owned(), num(self.clock_ms()))];
        if !reason.is_empty() {
            fields.push(("reason".to_owned(), text(reason)));
        }
        (status, Json::Object(fields))
    }
}

impl Inner {
    /// The job of a task. Workers run what they are told to, so that one whose name differs in its letters only counts too.
    fn job_of(&self, task: &str) -> Option<&Job> {
        let id = task.split('.').next().unwrap_or("");
        let mut jobs = self.jobs.iter();
        let found = jobs.find(|(known, _)| known.eq_ignore_ascii_case(id));
        found.map(|(_, job)| job)
    }

    fn step_spec(&self, task: &str) -> Option<Json> {
        let step: usize = task.split('.').nth(2)?.parse().ok()?;
        self.job_of(task)?.steps.get(step).cloned()
    }

    fn log(&mut self, at_ms: u64, what: &'static str, worker: usize, task: &str, run: u64) {
        let worker = &self.workers[worker];
        let (name, zone) = (&worker.name, &worker.zone);
        let prefixes = &self.logged_prefixes;
        if prefixes.is_empty() || prefixes.iter().any(|prefix| task.starts_with(prefix.as_str())) {
            self.lines.push(format!("{at_ms:>6} ms  {what:<8} {task} run {run} on {name} ({zone})"));
        }
        self.events.push(Event { at_ms, what, task: task.to_owned() });
    }

    fn end_run(&mut self, worker: usize, position: usize, how: &'static str, at_ms: u64) {
        let life = &mut self.workers[worker].life;
        let run = life.running.remove(position);
        life.close(&run.task, run.number);
        life.last_end += 1;
        let number = life.last_end;
        life.ended.push(End { number, task: run.task.clone(), run: run.number, how });
        self.workers[worker].ends.notify_all();
        self.log(at_ms, how, worker, &run.task, run.number);
        if run.is_gang {
            self.end_gang(&run, how, at_ms);
        }
    }

    /// One end of a gang ends the others: `done` together, else `broken`.
    fn end_gang(&mut self, ended: &Run, how: &'static str, at_ms: u64) {
        let how = if how == "done" { "done" } else { "broken" };
        let is_other = |run: &Run| {
            run.number == ended.number && step_of(&run.task) == step_of(&ended.task)
        };
        for worker in 0..self.workers.len() {
            while let Some(at) = self.workers[worker].life.running.iter().position(is_other) {
                let life = &mut self.workers[worker].life;
                let run = life.running.remove(at);
                life.close(&run.task, run.number);
                life.last_end += 1;
                let number = life.last_end;
                life.ended.push(End { number, task: run.task.clone(), run: run.number, how });
                self.workers[worker].ends.notify_all();
                self.log(at_ms, how, worker, &run.task, run.number);
            }
        }
    }

    fn gang_size(&self, run: &Run) -> usize {
        let runs = self.workers.iter().flat_map(|worker| &worker.life.running);
        runs.filter(|other| other.number == run.number && step_of(&other.task) == step_of(&run.task))
            .count()
    }

    /// Brings everything that runs to the present.
    fn advance(&mut self, at_ms: u64) {
        let now = Instant::now();
        for worker in 0..self.workers.len() {
            let life = &self.workers[worker].life;
            if life.clock_ms() >= life.lease_end_ms {
                while !self.workers[worker].life.running.is_empty() {
                    self.end_run(worker, 0, "lapsed", at_ms);
                }
            }
            let mut position = 0;
            while position < self.workers[worker].life.running.len() {
                let run = self.workers[worker].life.running[position].clone();
                let work_ms = self.job_of(&run.task).map_or(0, |job| job.work_ms);
                let mut how = None;
                if run.stops.is_some_and(|stops| stops <= now) {
                    how = Some("stopped");
                } else if let Some(working) = run.working {
                    let is_done = work_ms > 0 && now >= working + Duration::from_millis(work_ms);
                    how = is_done.then_some("done");
                } else if run.is_gang {
                    let count = self.step_spec(&run.task).map_or(0, |step| step.number("count"));
                    if self.gang_size(&run) as u64 >= count {
                        self.workers[worker].life.running[position].working = Some(now);
                    } else if now >= run.started + Duration::from_millis(GANG_MS) {
                        how = Some("alone");
                    }
                }
                match how {
                    Some(how) => {
                        let before = self.workers[worker].life.running.len();
                        self.end_run(worker, position, how, at_ms);
                        if before == self.workers[worker].life.running.len() {
                            position += 1;
                        }
                    }
                    None => position += 1,
                }
            }
        }
    }

    fn start(&mut self, worker: usize, body: &Json, at_ms: u64) -> (u16, Json) {
        let (task, number) = (body.text("task").to_owned(), body.number("run"));
        let step = self.step_spec(&task);
        let policy = self.job_of(&task).and_then(|job| job.allowed.clone());
        let state = &mut self.workers[worker];
        if !state.life.admits(body) {
            return state.life.reply(409, "fence");
        }
        if body.number("expiryMs") <= state.life.clock_ms() {
            return state.life.reply(409, "late");
        }
        state.life.extend_lease(body);
        let is_same = |run: &Run| run.task == task && run.number == number;
        if state.life.running.iter().any(is_same) {
            return state.life.reply(200, "");
        }
        if state.life.closed.get(&task).is_some_and(|closed| number <= *closed) {
            return state.life.reply(409, "old");
        }
        let Some(step) = step else {
            self.log(at_ms, "unknown", worker, &task, number);
            return self.workers[worker].life.reply(400, "");
        };
        if policy.is_some() {
            let name = state.name.clone();
            let now = Instant::now();
            let is_valid = self.tickets.iter().any(|(ticket, of, of_step, end)| {
                ticket == body.text("ticket")
                    && *of == name
                    && of_step == step_of(&task)
                    && now < *end
            });
            if !is_valid {
                return self.workers[worker].life.reply(409, "ticket");
            }
        }
        let state = &mut self.workers[worker];
        let cpu = if step.is_set("fills") { 0 } else { step.number("cpu") };
        let memory = step.number("memMb");
        let used_cpu: u64 = state.life.running.iter().map(|run| run.cpu).sum();
        let used_memory: u64 = state.life.running.iter().map(|run| run.memory).sum();
        if used_cpu + cpu > state.cpu || used_memory + memory > state.memory {
            return state.life.reply(409, "room");
        }
        let is_gang = step.is_set("coscheduled");
        state.life.running.push(Run {
            task: task.clone(),
            number,
            cpu,
            memory,
            is_gang,
            working: (!is_gang).then(Instant::now),
            started: Instant::now(),
            stops: None,
        });
        let reply = state.life.reply(200, "");
        self.log(at_ms, "start", worker, &task, number);
        if !self.jobs.contains_key(task.split('.').next().unwrap_or("")) {
            self.log(at_ms, "unknown", worker, &task, number);
        }
        reply
    }

    fn stop(&mut self, worker: usize, body: &Json) -> (u16, Json) {
        let (task, number) = (body.text("task"), body.number("run"));
        let life = &mut self.workers[worker].life;
        if !life.admits(body) {
            return life.reply(409, "fence");
        }
        life.close(task, number);
        for run in &mut life.running {
            if run.task == task && run.number == number {
                let end = Instant::now() + Duration::from_millis(STOP_MAX_MS / 3);
                run.stops.get_or_insert(end);
            }
        }
        life.reply(200, "")
    }

    fn lists(&self, worker: usize) -> Json {
        let life = &self.workers[worker].life;
        let mut running = Vec::new();
        for run in &life.running {
            let work_ms = self.job_of(&run.task).map_or(0, |job| job.work_ms);
            let worked_ms = run.working.map_or(0, |begun| begun.elapsed().as_millis() as u64);
            let percent = if work_ms == 0 {
                (worked_ms / 2).min(100)
            } else {
                (worked_ms * 100 / work_ms).min(99)
            };
            let row = [text(&run.task), num(run.number), text(""), num(percent), num(run.cpu)];
            running.push(Json::List(row.to_vec()));
        }
        let ended = life.ended.iter().take(ENDS_PER_ANSWER).map(|end| {
            let row = [num(end.number), text(&end.task), num(end.run), text(end.how), text("")];
            Json::List(row.to_vec())
        });
        object([
            ("clockMs", num(life.clock_ms())),
            ("born", num(life.born_unix_ms)),
            ("running", Json::List(running)),
            ("finished", Json::List(ended.collect())),
        ])
    }

    fn registration(&mut self, worker: usize) -> Json {
        let worker = &mut self.workers[worker];
        worker.sequence += 1;
        let capacity = object([
            ("cpu", num(worker.cpu)),
            ("memMb", num(worker.memory)),
            ("gpu", num(0)),
        ]);
        object([
            ("service", text(SERVICE)),
            ("address", text(worker.address.to_string())),
            ("zone", text(&worker.zone)),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("coldRemainingMs", num(0)),
            ("capacity", capacity),
            ("labels", Json::List(vec![text("a"), text(&worker.rack)])),
            ("clockMs", num(worker.life.clock_ms())),
            ("sequence", num(worker.sequence)),
            ("born", num(worker.life.born_unix_ms)),
        ])
    }
}

impl Site {
    /// Starts the store, the advisor and the workers: `per_zone` in each zone, eight a rack.
    pub fn open(per_zone: usize) -> Site {
        let advisor = TcpListener::bind("127.0.0.1:0").expect("a port for the advisor");
        let site = Site {
            inner: Arc::default(),
            store: Store::open(),
            advisor: advisor.local_addr().expect("the advisor's address"),
            began: Instant::now(),
        };
        let mut seed = unix_ms() | 1;
        for zone in ZONES {
            for index in 0..per_zone {
                // Names say nothing of the place.
                seed ^= seed << 13;
                seed ^= seed >> 7;
                seed ^= seed << 17;
                let listener = TcpListener::bind(free_address()).expect("a port for a worker");
                let worker = Worker {
                    name: format!("i-{:08x}", seed >> 32),
                    zone: zone.to_owned(),
                    rack: format!("r-{zone}-{}", index / 8),
                    cpu: 64_000,
                    memory: 256_000,
                    address: listener.local_addr().expect("a worker's address"),
                    life: Life::new(),
                    sequence: 0,
                    ends: Arc::default(),
                };
                let mut inner = site.lock();
                inner.workers.push(worker);
                let position = inner.workers.len() - 1;
                drop(inner);
                site.serve_worker(position, listener);
            }
        }
        let serving = site.clone();
        thread::spawn(move || {
            for stream in advisor.incoming().flatten() {
                let site = serving.clone();
                thread::spawn(move || site.serve_advice(stream));
            }
        });
        let ticking = site.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                let at_ms = ticking.at_ms();
                ticking.lock().advance(at_ms);
            }
        });
        let beating = site.clone();
        thread::spawn(move || {
            loop {
                beating.register_all();
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        site
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the stand-ins were started.
    pub fn at_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line into the record.
    pub fn note(&self, line: impl AsRef<str>) {
        let at_ms = self.at_ms();
        self.lock().lines.push(format!("{at_ms:>6} ms  {}", line.as_ref()));
    }

    pub fn lines(&self) -> Vec<String> {
        self.lock().lines.clone()
    }

    pub fn events(&self) -> Vec<Event> {
        self.lock().events.clone()
    }

    /// Writes only what is done for jobs with these prefixes into the record.
    pub fn log_jobs_only_of(&self, prefixes: &[&str]) {
        self.lock().logged_prefixes = prefixes.iter().map(|prefix| (*prefix).to_owned()).collect();
    }

    /// How often workers did something.
    pub fn count(&self, what: &str) -> usize {
        self.lock().events.iter().filter(|event| event.what == what).count()
    }

    pub fn advice_calls(&self) -> u64 {
        self.lock().advice_calls
    }

    /// Names of workers, with their zones and racks.
    pub fn workers(&self) -> Vec<(String, String, String)> {
        let inner = self.lock();
        let workers = inner.workers.iter();
        workers.map(|worker| (worker.name.clone(), worker.zone.clone(), worker.rack.clone())).collect()
    }

    /// Tasks that run, with their workers.
    pub fn running(&self) -> Vec<(String, String)> {
        let inner = self.lock();
        let mut running = Vec::new();
        for worker in &inner.workers {
            let runs = worker.life.running.iter();
            running.extend(runs.map(|run| (run.task.clone(), worker.name.clone())));
        }
        running
    }

    pub fn add_job(&self, id: &str, job: Job) {
        self.lock().jobs.insert(id.to_owned(), job);
    }

    fn register_all(&self) {
        let count = self.lock().workers.len();
        for worker in 0..count {
            self.register(worker);
        }
    }

    fn register(&self, worker: usize) {
        let mut inner = self.lock();
        let key = format!("servers/{}", inner.workers[worker].name);
        let entry = inner.registration(worker);
        drop(inner);
        self.store.put(&key, &entry);
    }

    fn serve_worker(&self, worker: usize, listener: TcpListener) {
        let site = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let site = site.clone();
                thread::spawn(move || site.serve_orders(worker, stream));
            }
        });
    }

    fn serve_orders(&self, worker: usize, mut stream: TcpStream) {
        let _best_effort = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
            let (status, body) = self.order(worker, &request);
            if write_response(&mut stream, status, &body.encode()).is_err() {
                return;
            }
        }
    }

    fn order(&self, worker: usize, request: &Message) -> (u16, Json) {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut inner = self.lock();
        let at_ms = self.at_ms();
        let expected = request.header("x-primrosestack-expected-instance");
        if !expected.is_empty() && expected != inner.workers[worker].name {
            return (421, Json::Object(Vec::new()));
        }
        let answer = match request.path() {
            "/health" => (200, Json::Object(Vec::new())),
            "/v1/run-start" => inner.start(worker, &body, at_ms),
            "/v1/run-stop" => inner.stop(worker, &body),
            "/v1/pace" => inner.workers[worker].life.reply(200, ""),
            "/v1/hold" => {
                let state = &mut inner.workers[worker].life;
                if !state.admits(&body) {
                    return state.reply(409, "fence");
                }
                let cursor = body.number("ackCursor");
                state.ended.retain(|end| end.number > cursor);
                state.extend_lease(&body);
                let wait = Duration::from_millis(body.number("waitMs").min(WAIT_MAX_MS));
                let end = Instant::now() + wait;
                loop {
                    let now = Instant::now();
                    if now >= end || !inner.workers[worker].life.ended.is_empty() {
                        break (200, inner.lists(worker));
                    }
                    let ends = Arc::clone(&inner.workers[worker].ends);
                    let waited = ends.wait_timeout(inner, end - now);
                    inner = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            _ => (404, Json::Object(Vec::new())),
        };
        answer
    }

    /// Answers the advisor's calls: each takes a decision and a period for each worker that it names.
    fn serve_advice(&self, mut stream: TcpStream) {
        let _best_effort = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
            let body = Json::parse(&request.body).unwrap_or(Json::Null);
            let workers = body.list("workers");
            thread::sleep(Duration::from_millis(DECISION_MS + PERIOD_MS * workers.len() as u64));
            let step = body.text("step").to_owned();
            let at_ms = self.at_ms();
            let mut inner = self.lock();
            inner.advice_calls += 1;
            let allowed = inner.job_of(&step).and_then(|job| job.allowed.clone()).unwrap_or_default();
            let mut good = Vec::new();
            for name in workers.iter().map(Json::as_text) {
                if !allowed.iter().any(|known| known == name) {
                    continue;
                }
                inner.next_ticket += 1;
                let ticket = format!("t-{}", inner.next_ticket);
                let end = Instant::now() + Duration::from_millis(VALIDITY_MS);
                inner.tickets.push((ticket.clone(), name.to_owned(), step.clone(), end));
                good.push(Json::List(vec![text(name), text(ticket)]));
            }
            let line = format!(
                "{at_ms:>6} ms  advice   for {step}: {} workers named, {} of them good",
                workers.len(),
                good.len()
            );
            inner.lines.push(line);
            drop(inner);
            let reply = object([("good", Json::List(good)), ("validityMs", num(VALIDITY_MS))]);
            if write_response(&mut stream, 200, &reply.encode()).is_err() {
                return;
            }
        }
    }
}

pub const DECISION_MS: u64 = 40;
pub const PERIOD_MS: u64 = 5;
pub const VALIDITY_MS: u64 = 3_000;

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub has_advisor: bool,
}

/// Writes the operator's configuration.
pub fn configure(store: &Store, routes: &[Route]) {
    let rows = routes.iter().map(|route| {
        let mut row = vec![
            ("name".to_owned(), text(route.name)),
            ("host".to_owned(), text(ROUTE_HOST)),
            ("prefix".to_owned(), text(route.prefix)),
            ("kind".to_owned(), text("non_idempotent")),
            ("timeoutMs".to_owned(), num(3_000)),
            ("targetLatencyMs".to_owned(), num(250)),
            ("priority".to_owned(), num(0)),
            ("service".to_owned(), text(SERVICE)),
            ("maxAttempts".to_owned(), num(3)),
            ("stretchFactor".to_owned(), Json::Number(1.5)),
        ];
        if route.has_advisor {
            let advisor = object([
                ("decisionMs", num(DECISION_MS)),
                ("periodMs", num(PERIOD_MS)),
                ("validityMs", num(VALIDITY_MS)),
            ]);
            row.push(("advisor".to_owned(), advisor));
        }
        Json::Object(row)
    });
    let service = object([
        ("name", text(SERVICE)),
        ("healthPath", text("/health")),
        ("maxConnections", num(64)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
        ("admissionCheck", Json::Bool(true)),
        ("standby", Json::Bool(false)),
    ]);
    let limits = object([
        ("maxHeaderBytes", num(16_384)),
        ("maxBodyBytes", num(262_144)),
        ("headerTimeoutMs", num(3_000)),
        ("idleTimeoutMs", num(15_000)),
    ]);
    let configuration = object([
        ("version", num(7)),
        ("routes", Json::List(rows.collect())),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ]);
    store.put("op/config", &configuration);
}

/// A process of the project's daemon.
pub struct Host {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// The running daemons and their folder.
pub struct Hosts {
    pub hosts: Vec<Host>,
    folder: PathBuf,
}

impl Drop for Hosts {
    fn drop(&mut self) {
        self.hosts.clear();
        if std::env::var_os("KEEP").is_none() {
            let _best_effort = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Ports below the range from which the operating system takes its own.
const FIRST_PORT: u16 = 18_000;
const PORTS: u16 = 14_000;

/// Next free port for a process that binds it later, or again.
fn free_address() -> SocketAddr {
    static TAKEN: AtomicU16 = AtomicU16::new(0);
    loop {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        let spread = (std::process::id() % 97) as u16 * 144;
        let port = FIRST_PORT + (spread + taken) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn render(template: &str, values: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    for (placeholder, value) in values {
        text = text.replace(placeholder, value);
    }
    text
}

impl Hosts {
    /// Starts `per_zone` daemons in each zone with the command and the settings of the deploy file, and waits until all are
    /// ready.
    pub fn open(site: &Site, per_zone: usize) -> Option<Hosts> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let template = fs::read_to_string("deploy/settings.jsonc").ok()?;
        let mut hosts = Hosts { hosts: Vec::new(), folder };
        for zone in ZONES {
            for index in 1..=per_zone {
                let host = hosts.start(site, &template, zone, &format!("edge-{zone}-{index}"))?;
                hosts.hosts.push(host);
            }
        }
        hosts.wait_until_ready().then_some(hosts)
    }

    fn start(&self, site: &Site, template: &str, zone: &str, name: &str) -> Option<Host> {
        let [callers, ready, peer, metrics] = std::array::from_fn(|_| free_address());
        let quoted = |value: &str| format!("\"{value}\"");
        let zones: Vec<String> = ZONES.iter().map(|zone| quoted(zone)).collect();
        let values = [
            ("{{#zones}}\"{{@}}\"{{,}}{{/zones}}", zones.join(",")),
            ("{{nodeName|json}}", quoted(name)),
            ("{{zone|json}}", quoted(zone)),
            ("{{listenAddresses.front|json}}", quoted(&callers.to_string())),
            ("{{listenAddresses.readyAddress|json}}", quoted(&ready.to_string())),
            ("{{ip}}:{{internalPortRange.0}}", peer.to_string()),
            ("{{ip}}:{{internalPortRange.1}}", metrics.to_string()),
            ("{{platform.address|json}}", quoted(&site.store.address.to_string())),
            ("{{advisor}}", site.advisor.to_string()),
            ("{{controlMode|json}}", quoted("invocation")),
            ("{{bounds.maxHoldMs}}", HOLD_MAX_MS.to_string()),
            ("{{bounds.stopTimeoutMs}}", STOP_MAX_MS.to_string()),
            ("{{bounds.status_s}}", "120".to_owned()),
            ("{{heartbeatMs}}", HEARTBEAT_MS.to_string()),
            ("{{bounds.drainMs}}", DRAIN_MS.to_string()),
            ("{{limits.cpuShare}}", "0.1".to_owned()),
            ("{{limits.cores}}", "1".to_owned()),
            ("{{bounds.graceS}}", "6".to_owned()),
        ];
        let settings = render(template, &values);
        if settings.contains("{{") {
            return None;
        }
        let path = self.folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings).ok()?;
        let log = File::create(self.folder.join(format!("{name}.log"))).ok()?;
        let child = Command::new("target/release/primrosestack")
            .arg("daemon")
            .env("PRIMROSESTACK_NODE_FILE", &path)
            .env("PRIMROSESTACK_MEMORY_MB", "260")
            .env("PRIMROSESTACK_FDS_MAX", "4100")
            .stdin(Stdio::null())
            .stderr(log.try_clone().ok()?)
            .stdout(log)
            .spawn()
            .ok()?;
        let (name, zone) = (name.to_owned(), zone.to_owned());
        Some(Host { name, zone, callers, ready, child })
    }

    fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        for host in &self.hosts {
            loop {
                let wait = Duration::from_millis(500);
                let reply = wire::call(host.ready, "GET", "/v1/ready", &[("host", "x")], "", wait);
                if reply.is_some_and(|reply| reply.status() == 200) {
                    break;
                }
                if Instant::now() > end {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        true
    }

    /// Position of the first host in a zone.
    pub fn in_zone(&self, zone: &str) -> usize {
        self.hosts.iter().position(|host| host.zone == zone).unwrap_or(0)
    }

    /// Calls a host as a client. Returns the status and the body; `None` without an answer.
    pub fn call(
        &self,
        site: &Site,
        host: usize,
        method: &str,
        path: &str,
        body: &str,
        wait: Duration,
    ) -> Option<(u16, Json)> {
        let host = &self.hosts[host];
        let headers = [
            ("host", ROUTE_HOST),
            ("content-type", "application/json"),
            ("x-primrosestack-deadline-ms", "3000"),
        ];
        let reply = wire::call(host.callers, method, path, &headers, body, wait);
        let answer = reply.map(|reply| {
            let body = Json::parse(&reply.body).unwrap_or(Json::Null);
            (reply.status(), body)
        });
        let shown = answer.as_ref().map_or("no answer".to_owned(), |(status, body)| {
            let state = body.text("state");
            format!("{status} {state}").trim_end().to_owned()
        });
        let took = format!("{method} {path} at {}: {shown}", host.name);
        site.note(format!("client   {took}"));
        answer
    }

    /// Lines of the daemons' logs that contain a word.
    pub fn log_lines(&self, word: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for host in &self.hosts {
            let mut text = String::new();
            let log = File::open(self.folder.join(format!("{}.log", host.name)));
            if let Ok(mut log) = log {
                let _best_effort = log.read_to_string(&mut text);
            }
            let found = text.lines().filter(|line| line.contains(word));
            lines.extend(found.map(|line| format!("{}: {line}", host.name)));
        }
        lines
    }
}
