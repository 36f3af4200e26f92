//! The scenarios, one for each case.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::system::Host;
use crate::worker::{Work, Worker};

const ZONES: [&str; 3] = ["poa", "cxs", "pel"];
const HOSTS_PER_ZONE: usize = 3;
const SERVICE: &str = "fichas";
const ROUTE_HOST: &str = "sheets.example";
const SHORT_PREFIX: &str = "/quote/";
const LASTING_PREFIX: &str = "/archive/";
const MAX_ATTEMPTS: usize = 3;
const CLIENT_WAIT: Duration = Duration::from_secs(3);

type Outcome = Result<Vec<String>, String>;

pub fn play(
    scenario: &str,
    repository: &Path,
    folder: &Path,
    record: &str,
    trouble: &str,
) -> Outcome {
    let record = Record::open(record).map_err(|error| error.to_string())?;
    let record = Arc::new(record);
    let workers_per_zone = match scenario {
        // A job has to fill more than one zone.
        "cancel" => [2, 2, 2],
        // One zone has an eighth of the workers.
        "stranded" => [2, 7, 7],
        "timed" => [8, 8, 8],
        _ => [16, 16, 16],
    };
    let mut site = Site::open(repository, folder, &record, workers_per_zone)?;
    record.line(&format!("scenario {scenario}, TROUBLE={trouble}"));
    let has_trouble = trouble != "0";
    let outcome = match scenario {
        "timed" => timed(&mut site, has_trouble),
        "cancel" => cancel(&mut site, has_trouble),
        "lease" => lease(&mut site, trouble),
        "crash" => crash(&mut site, has_trouble),
        "cursor" => cursor(&mut site, has_trouble),
        "stranded" => stranded(&mut site, has_trouble),
        _ => Err("unknown scenario".into()),
    };
    match &outcome {
        Ok(broken) if broken.is_empty() => record.line("the rule held"),
        Ok(broken) => broken
            .iter()
            .for_each(|line| record.line(&format!("BROKEN: {line}"))),
        Err(reason) => record.line(&format!("could not run: {reason}")),
    }
    outcome
}

struct Site {
    store: Arc<Store>,
    workers: Vec<Arc<Worker>>,
    hosts: Vec<Host>,
    record: Arc<Record>,
}

impl Site {
    fn open(
        repository: &Path,
        folder: &Path,
        record: &Arc<Record>,
        workers_per_zone: [usize; 3],
    ) -> Result<Site, String> {
        let store = Store::open();
        store.put("op/config", &configuration());
        let mut workers = Vec::new();
        let mut hosts = Vec::new();
        for (zone, count) in ZONES.into_iter().zip(workers_per_zone) {
            for number in 1..=count {
                let id = format!("i-{zone}-{number:02}");
                workers.push(Worker::open(&id, zone, SERVICE, 64_000, &store, record));
            }
        }
        for number in 1..=HOSTS_PER_ZONE {
            for zone in ZONES {
                let name = format!("edge-{zone}-{number}");
                let host = Host::open(&name, zone, &ZONES, store.address, repository, folder);
                hosts.push(host.map_err(|error| error.to_string())?);
            }
        }
        let mut site = Site {
            store,
            workers,
            hosts,
            record: Arc::clone(record),
        };
        for host in &mut site.hosts {
            host.start()
                .map_err(|error| format!("{}: {error}", host.name))?;
        }
        site.wait(Duration::from_secs(20), "all hosts ready", |site| {
            site.hosts.iter().all(Host::is_ready)
        })?;
        site.wait(Duration::from_secs(20), "owners of all zones", |site| {
            ZONES.iter().all(|zone| site.owner_of(zone).is_some())
        })?;
        // The owners claim and record the workers.
        thread::sleep(Duration::from_secs(3));
        Ok(site)
    }

    fn wait(
        &self,
        limit: Duration,
        what: &str,
        is_met: impl Fn(&Site) -> bool,
    ) -> Result<(), String> {
        let end = Instant::now() + limit;
        while !is_met(self) {
            if Instant::now() >= end {
                return Err(format!("not reached: {what}"));
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Index of the host that the announcement of a zone's owner in the store names.
    fn owner_of(&self, zone: &str) -> Option<usize> {
        let announcement = self.store.value_of(&format!("/owner/{zone}"));
        let names = |host: &Host| {
            let name = host.name.as_bytes();
            announcement.windows(name.len()).any(|part| part == name)
        };
        self.hosts.iter().position(names)
    }

    fn host_in(&self, zone: &str) -> &Host {
        self.hosts
            .iter()
            .find(|host| host.zone == zone)
            .expect("a host in each zone")
    }

    /// Sends a request of a client and records it with its answer.
    fn send(&self, zone: &str, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let host = self.host_in(zone);
        self.record
            .line(&format!("client: {method} {path} to {} {body}", host.name));
        let answer = http::call(host.callers, method, path, ROUTE_HOST, body, CLIENT_WAIT);
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".into(),
        };
        self.record
            .line(&format!("client: {method} {path} is answered {text}"));
        answer
    }

    fn submit(&self, zone: &str, path: &str, body: &str) -> Result<(), String> {
        match self.send(zone, "POST", path, body) {
            Some((200..=299, _)) => Ok(()),
            other => Err(format!("the job was not accepted: {other:?}")),
        }
    }

    fn state_of(&self, zone: &str, path: &str) -> String {
        let Some((200, body)) = self.send(zone, "GET", path, "") else {
            return String::new();
        };
        Json::parse(&body).map_or(String::new(), |body| body.get("state").text().to_owned())
    }

    fn running(&self, job: &str) -> usize {
        self.workers
            .iter()
            .map(|worker| worker.run_count(job))
            .sum()
    }

    fn worker_running(&self, job: &str) -> Option<Arc<Worker>> {
        self.workers
            .iter()
            .find(|worker| worker.run_count(job) > 0)
            .cloned()
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

fn configuration() -> String {
    let route = |name: &str, prefix: &str, target_ms: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{ROUTE_HOST}\",\"prefix\":\"{prefix}\",\
             \"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":{target_ms},\
             \"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":{MAX_ATTEMPTS},\
             \"stretchFactor\":1.5}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"admissionCheck\":true,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        route("r-quote", SHORT_PREFIX, 250),
        route("r-archive", LASTING_PREFIX, 2500)
    )
}

/// A job with times runs while the machine that owns its zone's jobs is killed.
fn timed(site: &mut Site, has_trouble: bool) -> Outcome {
    let (id, times, tasks, length_ms) = ("5c0e7a21d94b36f8", 24, 1, 2_600);
    site.record.expect(
        "invoice",
        Work {
            cpu: 2_500,
            length_ms: Some(length_ms),
        },
    );
    let path = format!("{SHORT_PREFIX}{id}");
    let body = format!(
        "{{\"spec\":\"invoice\",\"steps\":[{{\"count\":{tasks},\"cpu\":2500,\"memMb\":10000,\
         \"estimatedMs\":{length_ms}}}],\"repetitions\":{times},\"initialDelayMs\":{},\"intervalMs\":100}}",
        unix_ms() + 1_000
    );
    site.submit("poa", &path, &body)?;
    site.wait(Duration::from_secs(10), "all tasks at work", |site| {
        site.running(id) == times * tasks
    })?;
    if has_trouble {
        let zone = site.worker_running(id).ok_or("no run")?.zone.clone();
        let owner = site.owner_of(&zone).ok_or("no owner")?;
        site.hosts[owner].kill();
        site.record
            .line(&format!("{} is killed", site.hosts[owner].name));
        thread::sleep(Duration::from_millis(1_500));
        site.hosts[owner]
            .start()
            .map_err(|error| error.to_string())?;
        site.record
            .line(&format!("{} is started again", site.hosts[owner].name));
    }
    let end = Instant::now() + Duration::from_secs(30);
    loop {
        thread::sleep(Duration::from_secs(1));
        if site.state_of("cxs", &path) == "completed" || Instant::now() >= end {
            break;
        }
    }
    thread::sleep(Duration::from_secs(2));
    Ok(site.record.doubled_runs())
}

/// A job whose tasks run in two zones is cancelled while the hosts of its first zone are without power.
fn cancel(site: &mut Site, has_trouble: bool) -> Outcome {
    const CANCEL_MS: u64 = 3_000;
    let (id, tasks) = ("7d1f0b6a2c8e4935", 12);
    site.record.expect(
        "photos",
        Work {
            cpu: 20_000,
            length_ms: None,
        },
    );
    let path = format!("{LASTING_PREFIX}{id}");
    let body = format!(
        "{{\"spec\":\"photos\",\"steps\":[{{\"count\":{tasks},\"cpu\":20000,\"memMb\":26000,\
         \"estimatedMs\":400,\"affinity\":\"r-poa-0\",\"longRunning\":true,\"image\":\"photos\"}}]}}"
    );
    site.submit("pel", &path, &body)?;
    site.wait(Duration::from_secs(20), "all tasks at work", |site| {
        site.running(id) == tasks
    })?;
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        for host in site.hosts.iter_mut().filter(|host| host.zone == "poa") {
            host.kill();
            site.record.line(&format!("{} loses power", host.name));
        }
    }
    match site.send("pel", "DELETE", &path, "") {
        Some((200..=299 | 410, _)) => {}
        other => return Err(format!("the job was not cancelled: {other:?}")),
    }
    let acknowledged_ms = site.record.now_ms();
    // Tasks that last may fail at any time: those in the other zones do, three seconds later.
    while site.record.now_ms() < acknowledged_ms + CANCEL_MS + 200 {
        thread::sleep(Duration::from_millis(2));
    }
    for worker in site.workers.iter().filter(|worker| worker.zone != "poa") {
        worker.fail_runs(id);
    }
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        for host in site.hosts.iter_mut().filter(|host| host.zone == "poa") {
            host.start().map_err(|error| error.to_string())?;
        }
        thread::sleep(Duration::from_secs(3));
    }
    let late = site
        .record
        .runs()
        .into_iter()
        .filter(|run| run.task.starts_with(id) && run.start_ms > acknowledged_ms + CANCEL_MS);
    let lines = late.map(|run| {
        let late_ms = run.start_ms - acknowledged_ms;
        format!(
            "{} run {} is started on {} {late_ms} ms after the cancelling was acknowledged",
            run.task, run.run, run.worker
        )
    });
    Ok(lines.collect())
}

/// A worker starts again under its id, and is cut off later; `TROUBLE` may also name one of the two, `restart` or `cut`.
fn lease(site: &mut Site, trouble: &str) -> Outcome {
    let (id, tasks) = ("2b9c4e8f1a6d7053", 4);
    site.record.expect(
        "photos",
        Work {
            cpu: 13_000,
            length_ms: None,
        },
    );
    // The worker's clock has run for some time.
    thread::sleep(Duration::from_secs(8));
    let worker = site
        .workers
        .iter()
        .find(|worker| worker.id == "i-poa-01")
        .cloned()
        .ok_or("no worker")?;
    if trouble != "0" && trouble != "cut" {
        worker.lose_power();
        thread::sleep(Duration::from_millis(700));
        worker.restart(Duration::from_millis(300));
        thread::sleep(Duration::from_millis(1_500));
    }
    let path = format!("{LASTING_PREFIX}{id}");
    let body = format!(
        "{{\"spec\":\"photos\",\"steps\":[{{\"count\":{tasks},\"cpu\":13000,\"memMb\":26000,\
         \"estimatedMs\":400,\"affinity\":\"r-poa-0\",\"longRunning\":true,\"image\":\"photos\"}}]}}"
    );
    site.submit("poa", &path, &body)?;
    site.wait(Duration::from_secs(10), "all tasks at work", |site| {
        site.running(id) == tasks
    })?;
    if worker.run_count(id) == 0 {
        return Err("no task on the worker".into());
    }
    thread::sleep(Duration::from_secs(2));
    if trouble != "0" && trouble != "restart" {
        worker.set_cut(true);
        thread::sleep(Duration::from_millis(5_500));
        worker.set_cut(false);
    }
    thread::sleep(Duration::from_secs(8));
    Ok(site.record.doubled_runs())
}

/// All workers of one zone, an eighth of all, are lost for good while jobs run there.
fn stranded(site: &mut Site, has_trouble: bool) -> Outcome {
    const FINISH_MS: u64 = 14_000;
    let (jobs, length_ms) = (3_u64, 3_000);
    site.record.expect(
        "quote",
        Work {
            cpu: 4_600,
            length_ms: Some(length_ms),
        },
    );
    let body = format!(
        "{{\"spec\":\"quote\",\"steps\":[{{\"count\":4,\"cpu\":4600,\"memMb\":9200,\
         \"estimatedMs\":{length_ms},\"affinity\":\"r-poa-0\"}}]}}"
    );
    let id_of = |number: u64| format!("{:016x}", 0x6d2e_0000_0000_0000 + number);
    for number in 0..jobs {
        let path = format!("{SHORT_PREFIX}{}", id_of(number));
        site.submit("cxs", &path, &body)?;
        thread::sleep(Duration::from_millis(200));
    }
    let traffic_end_ms = site.record.now_ms();
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        for worker in site.workers.iter().filter(|worker| worker.zone == "poa") {
            worker.lose_for_good();
        }
    }
    while site.record.now_ms() < traffic_end_ms + FINISH_MS {
        thread::sleep(Duration::from_millis(20));
    }
    let mut stranded = Vec::new();
    for number in 0..jobs {
        let path = format!("{SHORT_PREFIX}{}", id_of(number));
        let state = site.state_of("cxs", &path);
        if state != "completed" {
            stranded.push((id_of(number), state));
        }
    }
    // Three more seconds, in which each of these jobs would have to start a task.
    let mut idle = vec![true; stranded.len()];
    while site.record.now_ms() < traffic_end_ms + FINISH_MS + 4_000 {
        for (index, (id, _)) in stranded.iter().enumerate() {
            idle[index] &= site.running(id) == 0;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let idle = stranded.into_iter().zip(idle).filter(|(_, idle)| *idle);
    let lines = idle.map(|((id, state), _)| {
        format!(
            "job {id} is {state} {FINISH_MS} ms after the traffic, and nothing of it runs for 4000 ms, \
             with 14 idle workers"
        )
    });
    Ok(lines.collect())
}

/// A worker starts again under its id while short tasks are sent to it.
fn cursor(site: &mut Site, has_trouble: bool) -> Outcome {
    let length_ms = 100;
    site.record.expect(
        "quote",
        Work {
            cpu: 500,
            length_ms: Some(length_ms),
        },
    );
    let body = format!(
        "{{\"spec\":\"quote\",\"steps\":[{{\"count\":1,\"cpu\":500,\"memMb\":1000,\
         \"estimatedMs\":{length_ms},\"affinity\":\"r-poa-0\"}}]}}"
    );
    let began = Instant::now();
    let mut disruption = None;
    for number in 0_u64..200 {
        let due = began + Duration::from_millis(number * 40);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if has_trouble && number == 100 {
            let worker = Arc::clone(&site.workers[0]);
            disruption = Some(thread::spawn(move || {
                worker.lose_power();
                thread::sleep(Duration::from_millis(1_200));
                worker.restart(Duration::from_millis(600));
            }));
        }
        let path = format!("{SHORT_PREFIX}{:016x}", 0x3a5c_0000_0000_0000 + number);
        site.send("poa", "POST", &path, &body);
    }
    if let Some(disruption) = disruption {
        disruption.join().map_err(|_| "the disruption failed")?;
    }
    thread::sleep(Duration::from_secs(10));
    Ok(site.record.doubled_runs())
}

/// Three workers lose power one after the other, two of them shortly before the start of a task is sent there.
fn crash(site: &mut Site, has_trouble: bool) -> Outcome {
    let (id, length_ms) = ("9e3a5d7c0f1b2846", 3_000);
    site.record.expect(
        "quote",
        Work {
            cpu: 4_600,
            length_ms: Some(length_ms),
        },
    );
    let path = format!("{SHORT_PREFIX}{id}");
    let body = format!(
        "{{\"spec\":\"quote\",\"steps\":[{{\"count\":1,\"cpu\":4600,\"memMb\":9200,\
         \"estimatedMs\":{length_ms}}}]}}"
    );
    let workers = site.workers.clone();
    if has_trouble {
        workers[0].lose_power();
        thread::sleep(Duration::from_millis(300));
    }
    site.submit("poa", &path, &body)?;
    if has_trouble {
        thread::sleep(Duration::from_millis(2_700));
        workers[0].restart(Duration::ZERO);
        // The system makes sure that the first start isn't carried out late, and sends another then.
        site.wait(
            Duration::from_secs(10),
            "a look after the stop of the first run",
            |_| workers[0].is_looked_at_after_stop(id),
        )?;
        thread::sleep(Duration::from_millis(600));
        workers[1].lose_power();
        thread::sleep(Duration::from_millis(650));
        workers[2].lose_power();
        thread::sleep(Duration::from_millis(2_350));
        workers[1].restart(Duration::ZERO);
        thread::sleep(Duration::from_millis(650));
        workers[2].restart(Duration::ZERO);
    }
    let end = Instant::now() + Duration::from_secs(30);
    let mut state = String::new();
    while Instant::now() < end && state != "completed" && state != "failed" {
        thread::sleep(Duration::from_secs(1));
        state = site.state_of("cxs", &path);
    }
    let runs = site.record.runs();
    let failures = runs.iter().filter(|run| run.how == "failed").count();
    if state == "failed" && failures < MAX_ATTEMPTS {
        return Ok(vec![format!(
            "job {id} is shown as failed after {} runs and {failures} ends failed, {MAX_ATTEMPTS} are allowed",
            runs.len()
        )]);
    }
    if state == "completed" {
        Ok(Vec::new())
    } else {
        Err(format!("the job is {state}"))
    }
}
