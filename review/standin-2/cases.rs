//! The cases.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::judge::{Job, Step, stands_still};
use crate::record::Record;
use crate::site::{FINISH, Failure, HOSTS_PER_ZONE, Queue, Site, WorkerKind, ZONES};
use crate::worker::Work;

const SERVICE: &str = "fichas";
const QUEUE: Queue = Queue {
    name: "quote",
    service: SERVICE,
    priority: 0,
    attempts: 3,
};
const WORKERS_PER_ZONE: usize = 7;

pub fn run(number: u32, trouble: bool, record: &Arc<Record>) -> Result<bool, Failure> {
    match number {
        6 => delegated_step(trouble, record),
        7 => full_home(trouble, record),
        8 => labelled_step(trouble, record),
        9 => two_services(trouble, record),
        10 => late_start(trouble, record),
        _ => Err("there is no such case".into()),
    }
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A site of one service with as many workers in each zone.
fn even_site(record: &Arc<Record>) -> Result<Site, Failure> {
    let kinds: Vec<WorkerKind> = (0..WORKERS_PER_ZONE * ZONES.len())
        .map(|nth| (ZONES[nth % ZONES.len()], SERVICE, "a"))
        .collect();
    Site::open(record, &[QUEUE], &kinds, HOSTS_PER_ZONE)
}

fn job(id: &str, steps: Vec<Step>) -> Job {
    Job {
        queue: QUEUE.name,
        service: SERVICE,
        id: id.to_owned(),
        steps,
    }
}

fn step(tasks: u32, cpu: u64, ms: u64) -> Step {
    let mem = 1_000;
    Step {
        tasks,
        work: Work { cpu, mem, ms },
        after: Vec::new(),
        label: "",
        rack: "",
    }
}

/// Tasks that last and wait for an earlier step; one of their workers is lost, and no other of the zone has room.
fn delegated_step(trouble: bool, record: &Arc<Record>) -> Result<bool, Failure> {
    let site = even_site(record)?;
    let job = job(
        "6a00000000000001",
        vec![
            step(1, 1_000, 1_000),
            Step {
                after: vec![0],
                ..step(7, 8_000, 0)
            },
        ],
    );
    let host = site.host("poa");
    site.submit(host, &job.path(), &job.body())?;
    site.wait("the start of all tasks", 10, |site| {
        (0..7).all(|index| site.worker_of(&job.task(1, index)).is_some())
    })?;
    pause(3_000);
    if trouble {
        let worker = site
            .worker_of(&job.task(1, 3))
            .ok_or("the task has ended")?;
        worker.crash();
    }
    thread::sleep(FINISH);
    let is_broken = stands_still(&site, &[&job], Duration::from_secs(8));
    site.state(host, &job.path());
    Ok(is_broken)
}

/// The next step of a short job, whose zone is filled up by tasks that last after one of the zone's workers is lost.
fn full_home(trouble: bool, record: &Arc<Record>) -> Result<bool, Failure> {
    let site = even_site(record)?;
    let lasting = job("7a00000000000001", vec![step(6, 7_400, 0)]);
    let short = job(
        "7a00000000000002",
        vec![
            step(1, 500, 15_000),
            Step {
                after: vec![0],
                ..step(1, 5_000, 1_000)
            },
        ],
    );
    let host = site.host("poa");
    site.submit(host, &short.path(), &short.body())?;
    site.wait("the start of the short task", 10, |site| {
        site.worker_of(&short.task(0, 0)).is_some()
    })?;
    site.submit(host, &lasting.path(), &lasting.body())?;
    site.wait("the start of all tasks that last", 10, |site| {
        (0..6).all(|index| site.worker_of(&lasting.task(0, index)).is_some())
    })?;
    pause(2_000);
    if trouble {
        let worker = site
            .worker_of(&lasting.task(0, 3))
            .ok_or("the task has ended")?;
        worker.crash();
    }
    site.wait("the end of the short task", 20, |site| {
        site.record.task(&short.task(0, 0)).done
    })?;
    thread::sleep(FINISH);
    let is_broken = stands_still(&site, &[&lasting, &short], Duration::from_secs(8));
    site.state(host, &short.path());
    Ok(is_broken)
}

/// A job with a step for one kind of worker and a step for any, both of tasks that last; the only worker of that kind in
/// the job's zone is lost.
fn labelled_step(trouble: bool, record: &Arc<Record>) -> Result<bool, Failure> {
    let kinds: Vec<WorkerKind> = (0..WORKERS_PER_ZONE * ZONES.len())
        .map(|nth| {
            let zone = ZONES[nth % ZONES.len()];
            let nth_of_zone = nth / ZONES.len();
            let is_special = nth_of_zone == 0 || (nth_of_zone < 3 && zone != "poa");
            (zone, SERVICE, if is_special { "b" } else { "a" })
        })
        .collect();
    let site = Site::open(record, &[QUEUE], &kinds, HOSTS_PER_ZONE)?;
    let job = job(
        "8a00000000000001",
        vec![
            Step {
                label: "b",
                ..step(1, 6_500, 0)
            },
            step(3, 2_000, 0),
        ],
    );
    let host = site.host("poa");
    site.submit(host, &job.path(), &job.body())?;
    let special = job.task(0, 0);
    site.wait("the start of all tasks", 10, |site| {
        (0..3).all(|index| site.worker_of(&job.task(1, index)).is_some())
            && site.worker_of(&special).is_some()
    })?;
    pause(3_000);
    if trouble {
        let worker = site.worker_of(&special).ok_or("the task has ended")?;
        worker.crash();
    }
    thread::sleep(FINISH);
    let is_broken = stands_still(&site, &[&job], Duration::from_secs(8));
    site.state(host, &job.path());
    Ok(is_broken)
}

/// Two services; the only worker of a job's service in its zone is lost.
fn two_services(trouble: bool, record: &Arc<Record>) -> Result<bool, Failure> {
    const OTHER: &str = "notas";
    let queues = [
        QUEUE,
        Queue {
            name: "notes",
            service: OTHER,
            ..QUEUE
        },
    ];
    let counts = [
        ("poa", SERVICE, 1),
        ("pel", SERVICE, 7),
        ("poa", OTHER, 9),
        ("cxs", OTHER, 10),
    ];
    let kinds: Vec<WorkerKind> = counts
        .iter()
        .flat_map(|&(zone, service, count)| vec![(zone, service, "a"); count])
        .collect();
    let site = Site::open(record, &queues, &kinds, HOSTS_PER_ZONE)?;
    let job = job(
        "9a00000000000001",
        vec![
            step(1, 1_000, 6_000),
            Step {
                after: vec![0],
                ..step(2, 1_000, 1_000)
            },
        ],
    );
    let host = site.host("poa");
    site.submit(host, &job.path(), &job.body())?;
    site.wait("the start of the task", 10, |site| {
        site.worker_of(&job.task(0, 0)).is_some()
    })?;
    pause(2_000);
    if trouble {
        let worker = site
            .worker_of(&job.task(0, 0))
            .ok_or("the task has ended")?;
        worker.crash();
    }
    thread::sleep(FINISH);
    let is_broken = stands_still(&site, &[&job], Duration::from_secs(60));
    site.state(host, &job.path());
    Ok(is_broken)
}

/// A start gets no answer and is carried out late. Meanwhile the task is started elsewhere, and the worker loses power and
/// is back.
fn late_start(trouble: bool, record: &Arc<Record>) -> Result<bool, Failure> {
    const ID: &str = "aa00000000000001";
    let site = even_site(record)?;
    let host = site.host("cxs");
    let in_poa = |step| Step {
        rack: "r-poa",
        ..step
    };
    // The task fits best beside the one before it, and later beside the one after it, on another worker.
    let before = job("aa00000000000002", vec![in_poa(step(1, 500, 30_000))]);
    let after = job("aa00000000000003", vec![in_poa(step(1, 7_000, 30_000))]);
    let job = job(ID, vec![in_poa(step(1, 1_000, 8_000))]);
    let task = job.task(0, 0);
    // Further orders meanwhile, so that the one without an answer is a small share of all.
    let others = Job {
        id: "aa00000000000004".into(),
        ..self::job(
            "",
            vec![Step {
                rack: "r-pel",
                ..step(60, 100, 200)
            }],
        )
    };
    site.submit(host, &before.path(), &before.body())?;
    site.wait("the first filler", 5, |site| {
        site.worker_of(&before.task(0, 0)).is_some()
    })?;
    let first = site
        .worker_of(&before.task(0, 0))
        .ok_or("the filler has ended")?;
    if trouble {
        first.hold_next_start(&task);
    }
    site.submit(host, &job.path(), &job.body())?;
    pause(100);
    site.submit(host, &after.path(), &after.body())?;
    site.submit(host, &others.path(), &others.body())?;
    site.wait("a start of the task", 8, |site| {
        site.worker_of(&task).is_some()
    })?;
    if trouble {
        pause(300);
        first.lose_power()?;
        pause(1_500);
        first.start()?;
        pause(200);
        if !first.carry_out_held_start() {
            return Err("the first start went to another worker".into());
        }
        pause(300);
        first.register();
    }
    site.wait("the end of the task", 20, |site| {
        site.record.task(&task).done
    })?;
    pause(1_000);
    site.state(host, &job.path());
    Ok(site.record.task(&task).doubled)
}
