//! A worker: runs tasks under a lease, as the page of the protocol tells.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

const MAX_HOLD_MS: u64 = 10_000;
const HEARTBEAT_MS: u64 = 1_500;
const ENDS_PER_ANSWER: usize = 500;

/// What a client asked for in one task.
#[derive(Clone, Copy)]
pub struct Work {
    pub cpu: u64,
    /// `None` for a task that lasts.
    pub length_ms: Option<u64>,
}

struct Run {
    task: String,
    number: u64,
    work: Work,
    started: Instant,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct State {
    born_ms: u64,
    born: Instant,
    fencing_token: u64,
    lease_end_ms: u64,
    running: Vec<Run>,
    finished: Vec<End>,
    last_end: u64,
    /// Highest run that was stopped or ended, by task.
    sealed: BTreeMap<String, u64>,
    is_up: bool,
    is_cut: bool,
    sequence: u64,
    first_beat: Instant,
    /// Tasks that were stopped or ended when the last look came.
    looked_at: Vec<String>,
}

pub struct Worker {
    pub id: String,
    pub zone: String,
    rack: String,
    service: String,
    cpu: u64,
    address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

impl State {
    fn born_now() -> State {
        State {
            born_ms: unix_ms(),
            born: Instant::now(),
            fencing_token: 0,
            lease_end_ms: 0,
            running: Vec::new(),
            finished: Vec::new(),
            last_end: 0,
            sealed: BTreeMap::new(),
            is_up: true,
            is_cut: false,
            sequence: 0,
            first_beat: Instant::now(),
            looked_at: Vec::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.born.elapsed().as_millis()).unwrap_or(0)
    }

    fn extend_lease(&mut self, body: &Json) {
        if let Some(expiry_ms) = body.get("expiryMs").number() {
            let longest_ms = self.clock_ms() + MAX_HOLD_MS;
            self.lease_end_ms = self.lease_end_ms.max(expiry_ms.min(longest_ms));
        }
    }

    fn seal(&mut self, task: &str, run: u64) {
        let sealed = self.sealed.entry(task.to_owned()).or_default();
        *sealed = run.max(*sealed);
    }
}

impl Worker {
    pub fn open(
        id: &str,
        zone: &str,
        service: &str,
        cpu: u64,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            zone: zone.to_owned(),
            rack: format!("r-{zone}-0"),
            service: service.to_owned(),
            cpu,
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(State::born_now()),
            changed: Condvar::new(),
            store: Arc::clone(store),
            record: Arc::clone(record),
        });
        worker.beat();
        let served = Arc::clone(&worker);
        http::serve(listener, Arc::new(move |request| served.answer(request)));
        let working = Arc::clone(&worker);
        thread::spawn(move || {
            let mut beaten = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(5));
                working.work();
                if beaten.elapsed() >= Duration::from_millis(HEARTBEAT_MS) {
                    beaten = Instant::now();
                    working.beat();
                }
            }
        });
        worker
    }

    fn beat(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up || state.is_cut || Instant::now() < state.first_beat {
            return;
        }
        state.sequence += 1;
        let entry = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\
             \"capacity\":{{\"cpu\":{},\"memMb\":256000,\"gpu\":0}},\"labels\":[\"a\",{}],\
             \"clockMs\":{},\"sequence\":{},\"born\":{}}}",
            quote(&self.service),
            self.address,
            quote(&self.zone),
            self.cpu,
            quote(&self.rack),
            state.clock_ms(),
            state.sequence,
            state.born_ms
        );
        drop(state);
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Ends runs whose work is done, and all runs when the lease has ended.
    fn work(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        if !state.running.is_empty() && state.clock_ms() >= state.lease_end_ms {
            while let Some(run) = state.running.first() {
                let (task, number) = (run.task.clone(), run.number);
                self.end(&mut state, &task, number, "lapsed");
            }
        }
        let done = state.running.iter().filter(|run| {
            let length_ms = run.work.length_ms;
            length_ms
                .is_some_and(|length_ms| run.started.elapsed() >= Duration::from_millis(length_ms))
        });
        let done: Vec<(String, u64)> = done.map(|run| (run.task.clone(), run.number)).collect();
        for (task, number) in done {
            self.end(&mut state, &task, number, "done");
        }
    }

    fn end(&self, state: &mut State, task: &str, number: u64, how: &'static str) {
        state
            .running
            .retain(|run| run.task != task || run.number != number);
        state.seal(task, number);
        state.last_end += 1;
        let end = state.last_end;
        state.finished.push(End {
            number: end,
            task: task.to_owned(),
            run: number,
            how,
        });
        self.record.ended(&self.id, task, number, how, Some(end));
        self.changed.notify_all();
    }

    /// Ends the runs of a job that are at work as failed. Returns how many there were.
    pub fn fail_runs(&self, job: &str) -> usize {
        let mut state = self.state.lock().unwrap();
        let runs: Vec<(String, u64)> = state
            .running
            .iter()
            .filter(|run| run.task.starts_with(job))
            .map(|run| (run.task.clone(), run.number))
            .collect();
        for (task, number) in &runs {
            self.end(&mut state, task, *number, "failed");
        }
        runs.len()
    }

    pub fn run_count(&self, job: &str) -> usize {
        let state = self.state.lock().unwrap();
        state
            .running
            .iter()
            .filter(|run| run.task.starts_with(job))
            .count()
    }

    /// Ends the worker's life: everything on it is gone, and it answers nothing.
    pub fn lose_power(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_up = false;
        for run in std::mem::take(&mut state.running) {
            self.record
                .ended(&self.id, &run.task, run.number, "crashed", None);
        }
        drop(state);
        self.changed.notify_all();
        self.record.line(&format!("worker {} loses power", self.id));
    }

    /// Loses power and never comes back; the entry is removed after three heartbeat intervals.
    pub fn lose_for_good(self: &Arc<Worker>) {
        self.lose_power();
        let lost = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3 * HEARTBEAT_MS));
            lost.store.remove(&format!("servers/{}", lost.id));
            lost.record
                .line(&format!("the entry of worker {} is removed", lost.id));
        });
    }

    /// Begins a new life under the same id, which knows nothing of the one before and registers after a while.
    pub fn restart(&self, registers_after: Duration) {
        let mut state = State::born_now();
        state.first_beat = Instant::now() + registers_after;
        *self.state.lock().unwrap() = state;
        self.record
            .line(&format!("worker {} starts again", self.id));
        thread::sleep(registers_after);
        self.beat();
    }

    /// Whether a look at the worker has come after a stop of a run of the job, in this life.
    pub fn is_looked_at_after_stop(&self, job: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.looked_at.iter().any(|task| task.starts_with(job))
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.state.lock().unwrap().is_cut = is_cut;
        self.changed.notify_all();
        let what = if is_cut {
            "is cut off"
        } else {
            "is in reach again"
        };
        self.record.line(&format!("worker {} {what}", self.id));
    }

    /// Whether the worker is cut off or without power.
    fn is_silent(&self) -> bool {
        let state = self.state.lock().unwrap();
        !state.is_up || state.is_cut
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        if self.is_silent() {
            while self.is_silent() {
                thread::sleep(Duration::from_millis(5));
            }
            // What arrived while the worker was cut off or without power is lost.
            return None;
        }
        let life_ms = self.state.lock().unwrap().born_ms;
        if request.path == "/health" {
            return Some((200, "{}".into()));
        }
        let expected = request.header("x-primrosestack-expected-instance");
        if !expected.is_empty() && expected != self.id {
            return Some((421, "{}".into()));
        }
        let body = Json::parse(&request.body)?;
        let reply = match request.path.as_str() {
            "/v1/run-start" => self.start(&body),
            "/v1/run-stop" => self.stop(&body),
            "/v1/hold" => self.hold(&body, life_ms),
            "/v1/pace" => {
                let clock_ms = self.state.lock().unwrap().clock_ms();
                (200, format!("{{\"clockMs\":{clock_ms}}}"))
            }
            _ => (404, "{}".into()),
        };
        if self.state.lock().unwrap().born_ms == life_ms && !self.is_silent() {
            return Some(reply);
        }
        // The caller sees no reset before the worker is in reach again.
        while self.is_silent() {
            thread::sleep(Duration::from_millis(5));
        }
        None
    }

    fn refuse(&self, state: &State, reason: &str) -> (u16, String) {
        (
            409,
            format!(
                "{{\"clockMs\":{},\"reason\":\"{reason}\"}}",
                state.clock_ms()
            ),
        )
    }

    fn start(&self, body: &Json) -> (u16, String) {
        let task = body.get("task").text();
        let run = body.get("run").number().unwrap_or(0);
        let token = body.get("fencingToken").number().unwrap_or(0);
        let spec = body.get("spec").text();
        let mut state = self.state.lock().unwrap();
        if token < state.fencing_token {
            return self.refuse(&state, "fence");
        }
        state.fencing_token = token;
        if body.get("expiryMs").number().unwrap_or(0) <= state.clock_ms() {
            return self.refuse(&state, "late");
        }
        state.extend_lease(body);
        let clock = format!("{{\"clockMs\":{}}}", state.clock_ms());
        if state
            .running
            .iter()
            .any(|other| other.task == task && other.number == run)
        {
            return (200, clock);
        }
        if state.sealed.get(task).is_some_and(|&sealed| run <= sealed) {
            return self.refuse(&state, "old");
        }
        let work = self.record.work_of(spec);
        let used: u64 = state.running.iter().map(|run| run.work.cpu).sum();
        if used + work.cpu > self.cpu {
            return self.refuse(&state, "room");
        }
        let started = Instant::now();
        state.running.push(Run {
            task: task.to_owned(),
            number: run,
            work,
            started,
        });
        self.record.started(&self.id, task, run, token);
        (200, clock)
    }

    fn stop(&self, body: &Json) -> (u16, String) {
        let task = body.get("task").text();
        let run = body.get("run").number().unwrap_or(0);
        let token = body.get("fencingToken").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if token < state.fencing_token {
            return self.refuse(&state, "fence");
        }
        state.fencing_token = token;
        if state
            .running
            .iter()
            .any(|other| other.task == task && other.number == run)
        {
            self.end(&mut state, task, run, "stopped");
        }
        state.seal(task, run);
        (200, format!("{{\"clockMs\":{}}}", state.clock_ms()))
    }

    fn hold(&self, body: &Json, life_ms: u64) -> (u16, String) {
        let token = body.get("fencingToken").number().unwrap_or(0);
        let cursor = body.get("ackCursor").number().unwrap_or(0);
        let wait = Duration::from_millis(body.get("waitMs").number().unwrap_or(0).min(2_000));
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        if token < state.fencing_token {
            return self.refuse(&state, "fence");
        }
        state.fencing_token = token;
        for finished in state
            .finished
            .iter()
            .filter(|finished| finished.number <= cursor)
        {
            self.record.noted(&self.id, &finished.task, finished.run);
        }
        state.finished.retain(|finished| finished.number > cursor);
        state.extend_lease(body);
        state.looked_at = state.sealed.keys().cloned().collect();
        loop {
            let now = Instant::now();
            if !state.finished.is_empty() || now >= end || !state.is_up || state.born_ms != life_ms
            {
                break;
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
        let running: Vec<String> = state
            .running
            .iter()
            .map(|run| {
                let elapsed_ms = u64::try_from(run.started.elapsed().as_millis()).unwrap_or(0);
                let percent = match run.work.length_ms {
                    Some(length_ms) => (elapsed_ms * 100 / length_ms.max(1)).min(99),
                    // At work after a short startup.
                    None => (elapsed_ms / 2).min(100),
                };
                format!(
                    "[{},{},\"\",{percent},{}]",
                    quote(&run.task),
                    run.number,
                    run.work.cpu
                )
            })
            .collect();
        let ends = state.finished.iter().take(ENDS_PER_ANSWER);
        let ends: Vec<String> = ends
            .map(|end| {
                let End {
                    number,
                    task,
                    run,
                    how,
                } = end;
                format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
            })
            .collect();
        let body = format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            state.clock_ms(),
            state.born_ms,
            running.join(","),
            ends.join(",")
        );
        (200, body)
    }
}
