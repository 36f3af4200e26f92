//! Stand-in of a worker: runs tasks under a lease, as PROTOCOL.md says under "Running tasks".

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Listener, Request};
use crate::json::{Json, quoted};
use crate::record::Record;
use crate::store::Store;

pub const LEASE_MAX_MS: u64 = 10_000;
pub const STOP_MS: u64 = 900;
pub const HEARTBEAT_MS: u64 = 1_500;
/// A task that lasts is at work after this.
const STARTUP_MS: u64 = 200;

/// What the tasks of a step do. It stands in the job's `spec`, steps separated by `;`, as `cpu,memMb,ms`; `ms` is 0 for
/// tasks that last.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    pub cpu: u64,
    pub mem: u64,
    pub ms: u64,
}

impl Work {
    fn of(spec: &str, task: &str) -> Option<Self> {
        let step: usize = task.split('.').nth(2)?.parse().ok()?;
        let mut numbers = spec.split(';').nth(step)?.split(',');
        let mut next = || numbers.next()?.parse().ok();
        Some(Self {
            cpu: next()?,
            mem: next()?,
            ms: next()?,
        })
    }
}

struct Run {
    task: String,
    number: u64,
    work: Work,
    began: Instant,
    stops_at: Option<Instant>,
}

struct Life {
    born_ms: u64,
    began: Instant,
    token: u64,
    lease_end_ms: u64,
    running: Vec<Run>,
    /// Number, task, run and kind.
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run that was stopped or ended, by task.
    closed: BTreeMap<String, u64>,
}

pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem: u64,
    address: SocketAddr,
    life: Mutex<Option<Life>>,
    ended: Condvar,
    listener: Mutex<Option<Listener>>,
    store: Arc<Store>,
    record: Arc<Record>,
    /// Task whose next start gets no answer.
    held_task: Mutex<Option<String>>,
    held_start: Mutex<Option<Request>>,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

impl Life {
    fn clock_ms(&self) -> u64 {
        1_000 + self.began.elapsed().as_millis() as u64
    }

    fn position(&self, task: &str, number: u64) -> Option<usize> {
        self.running
            .iter()
            .position(|run| run.task == task && run.number == number)
    }

    fn close(&mut self, task: &str, number: u64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = number.max(*closed);
    }

    fn admits(&mut self, body: &Json) -> bool {
        let token = body.get("fencingToken").number().unwrap_or(0);
        let admits = token >= self.token;
        self.token = token.max(self.token);
        admits
    }

    fn extend(&mut self, body: &Json) {
        if let Some(end_ms) = body.get("expiryMs").number() {
            let longest_ms = self.clock_ms() + LEASE_MAX_MS;
            self.lease_end_ms = self.lease_end_ms.max(end_ms.min(longest_ms));
        }
    }

    fn refusal(&self, reason: &str) -> Answer {
        let clock_ms = self.clock_ms();
        Some((
            409,
            format!("{{\"clockMs\":{clock_ms},\"reason\":\"{reason}\"}}"),
        ))
    }

    fn success(&self) -> Answer {
        Some((200, format!("{{\"clockMs\":{}}}", self.clock_ms())))
    }
}

impl Worker {
    /// Creates a worker that is down.
    pub fn new(
        store: &Arc<Store>,
        record: &Arc<Record>,
        id: String,
        service: &str,
        zone: &str,
        labels: Vec<String>,
        address: SocketAddr,
    ) -> Arc<Self> {
        Arc::new(Self {
            id,
            service: service.into(),
            zone: zone.into(),
            labels,
            cpu: 8_000,
            mem: 32_000,
            address,
            life: Mutex::new(None),
            ended: Condvar::new(),
            listener: Mutex::new(None),
            store: Arc::clone(store),
            record: Arc::clone(record),
            held_task: Mutex::new(None),
            held_start: Mutex::new(None),
        })
    }

    pub fn start(self: &Arc<Self>) -> std::io::Result<()> {
        if let Some(listener) = self.listener.lock().unwrap().take() {
            listener.close();
        }
        *self.life.lock().unwrap() = Some(Life {
            born_ms: unix_ms(),
            began: Instant::now(),
            token: 0,
            lease_end_ms: 0,
            running: Vec::new(),
            finished: Vec::new(),
            last_end: 0,
            closed: BTreeMap::new(),
        });
        let worker = Arc::clone(self);
        let handler = Arc::new(move |request| worker.receive(request));
        *self.listener.lock().unwrap() = Some(Listener::open(self.address, handler)?);
        self.record.line(&format!("worker {} up", self.id));
        Ok(())
    }

    /// Crashes: everything that runs ends, and all connections are closed.
    pub fn crash(&self) {
        if let Some(listener) = self.listener.lock().unwrap().take() {
            listener.close();
        }
        self.end_life();
    }

    /// Loses power: everything that runs ends, and nothing is answered until the next start.
    pub fn lose_power(&self) -> std::io::Result<()> {
        if let Some(listener) = self.listener.lock().unwrap().as_ref() {
            listener.darken()?;
        }
        self.end_life();
        Ok(())
    }

    fn end_life(&self) {
        if let Some(life) = self.life.lock().unwrap().take() {
            self.record.line(&format!("worker {} is down", self.id));
            for run in life.running {
                self.record
                    .ended(&run.task, run.number, &self.id, "crashed");
            }
        }
        self.ended.notify_all();
    }

    /// Writes the registration, as at each heartbeat.
    pub fn register(&self) {
        let guard = self.life.lock().unwrap();
        let Some(life) = guard.as_ref() else { return };
        let labels: Vec<String> = self.labels.iter().map(|label| quoted(label)).collect();
        let entry = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"sequence\":{},\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}},\
             \"labels\":[{}],\"clockMs\":{},\"born\":{}}}",
            quoted(&self.service),
            self.address,
            quoted(&self.zone),
            life.clock_ms() / HEARTBEAT_MS,
            self.cpu,
            self.mem,
            labels.join(","),
            life.clock_ms(),
            life.born_ms
        );
        drop(guard);
        let ttl = Duration::from_millis(3 * HEARTBEAT_MS);
        self.store
            .write(&format!("servers/{}", self.id), &entry, ttl);
    }

    /// Free processor and memory; `None` if the worker is down.
    pub fn free(&self) -> Option<(u64, u64)> {
        let guard = self.life.lock().unwrap();
        let life = guard.as_ref()?;
        let cpu: u64 = life.running.iter().map(|run| run.work.cpu).sum();
        let mem: u64 = life.running.iter().map(|run| run.work.mem).sum();
        Some((self.cpu.saturating_sub(cpu), self.mem.saturating_sub(mem)))
    }

    /// Brings the runs to the present; called by a timer and before each answer.
    pub fn advance(&self) {
        if let Some(life) = self.life.lock().unwrap().as_mut() {
            self.advance_life(life);
        }
    }

    fn advance_life(&self, life: &mut Life) {
        let now = Instant::now();
        let has_lapsed = life.clock_ms() >= life.lease_end_ms;
        let mut position = 0;
        while position < life.running.len() {
            let run = &life.running[position];
            let is_over = run.work.ms > 0 && run.began.elapsed().as_millis() as u64 >= run.work.ms;
            let kind = if has_lapsed {
                "lapsed"
            } else if run.stops_at.is_some_and(|end| end <= now) {
                "stopped"
            } else if is_over {
                "done"
            } else {
                position += 1;
                continue;
            };
            let run = life.running.remove(position);
            life.close(&run.task, run.number);
            life.last_end += 1;
            self.record.ended(&run.task, run.number, &self.id, kind);
            life.finished
                .push((life.last_end, run.task, run.number, kind));
            self.ended.notify_all();
        }
    }

    /// Leaves the next start of a task without an answer.
    pub fn hold_next_start(&self, task: &str) {
        *self.held_task.lock().unwrap() = Some(task.into());
    }

    /// Carries out the start that was held, in whatever life this worker has now.
    pub fn carry_out_held_start(&self) -> bool {
        let Some(request) = self.held_start.lock().unwrap().take() else {
            return false;
        };
        self.record
            .line(&format!("the held start is carried out by {}", self.id));
        let answer = self.answer(&request);
        self.record.line(&format!("its result is {answer:?}"));
        true
    }

    fn receive(&self, request: Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let is_start = request.path == "/v1/run-start";
        let mut task = self.held_task.lock().unwrap();
        if task
            .take_if(|task| is_start && body.get("task").text() == task)
            .is_none()
        {
            drop(task);
            return self.answer(&request);
        }
        drop(task);
        self.record
            .line(&format!("a start reaches {} and gets no answer", self.id));
        *self.held_start.lock().unwrap() = Some(request);
        // Longer than callers wait.
        thread::sleep(Duration::from_secs(3));
        None
    }

    fn answer(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let expected = request.header("x-primrosestack-expected-instance");
        let mut guard = self.life.lock().unwrap();
        let life = guard.as_mut()?;
        if !expected.is_empty() && expected != self.id {
            return Some((421, "{}".into()));
        }
        self.advance_life(life);
        let task = body.get("task").text();
        let number = body.get("run").number().unwrap_or(0);
        if !life.admits(&body) {
            return life.refusal("fence");
        }
        match request.path.as_str() {
            "/v1/run-start" => {
                let end_ms = body.get("expiryMs").number().unwrap_or(0);
                if end_ms <= life.clock_ms() {
                    return life.refusal("late");
                }
                life.extend(&body);
                if life.position(task, number).is_some() {
                    return life.success();
                }
                let closed = life.closed.get(task);
                if closed.is_some_and(|&closed| number <= closed) {
                    return life.refusal("old");
                }
                let Some(work) = Work::of(body.get("spec").text(), task) else {
                    return Some((400, "{}".into()));
                };
                let cpu: u64 = life.running.iter().map(|run| run.work.cpu).sum();
                let mem: u64 = life.running.iter().map(|run| run.work.mem).sum();
                if cpu + work.cpu > self.cpu || mem + work.mem > self.mem {
                    return life.refusal("room");
                }
                self.record.started(task, number, &self.id, life.token);
                life.running.push(Run {
                    task: task.into(),
                    number,
                    work,
                    began: Instant::now(),
                    stops_at: None,
                });
                life.success()
            }
            "/v1/run-stop" => {
                life.close(task, number);
                if let Some(position) = life.position(task, number) {
                    let end = Instant::now() + Duration::from_millis(STOP_MS / 2);
                    life.running[position].stops_at.get_or_insert(end);
                }
                life.success()
            }
            "/v1/pace" => life.success(),
            "/v1/hold" => {
                let cursor = body.get("ackCursor").number().unwrap_or(0);
                for (_, task, run, kind) in life.finished.iter().filter(|end| end.0 <= cursor) {
                    self.record.noted(task, *run, &self.id, kind);
                }
                life.finished.retain(|end| end.0 > cursor);
                life.extend(&body);
                let born_ms = life.born_ms;
                let wait_ms = body.get("waitMs").number().unwrap_or(0).min(2_000);
                let end = Instant::now() + Duration::from_millis(wait_ms);
                loop {
                    let life = guard.as_mut().filter(|life| life.born_ms == born_ms)?;
                    self.advance_life(life);
                    let left = end.saturating_duration_since(Instant::now());
                    if !life.finished.is_empty() || left.is_zero() {
                        return Some((200, lists(life)));
                    }
                    guard = self.ended.wait_timeout(guard, left).unwrap().0;
                }
            }
            _ => Some((404, "{}".into())),
        }
    }
}

fn lists(life: &Life) -> String {
    let running: Vec<String> = life
        .running
        .iter()
        .map(|run| {
            let done_ms = run.began.elapsed().as_millis() as u64;
            let percent = match run.work.ms {
                0 => (done_ms * 100 / STARTUP_MS).min(100),
                ms => (done_ms * 100 / ms).min(99),
            };
            let figure = if run.work.ms == 0 { 1 } else { run.work.cpu };
            format!(
                "[{},{},\"\",{percent},{figure}]",
                quoted(&run.task),
                run.number
            )
        })
        .collect();
    let finished: Vec<String> = life
        .finished
        .iter()
        .take(500)
        .map(|(number, task, run, kind)| {
            format!("[{number},{},{run},\"{kind}\",\"\"]", quoted(task))
        })
        .collect();
    format!(
        "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        life.clock_ms(),
        life.born_ms,
        running.join(","),
        finished.join(",")
    )
}
