//! A job with times whose record outgrows a value of the store, and the jobs of others beside it.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::site::{Hosts, Job, Route, Site, ZONES, configure, unix_ms};
use crate::wire::{Json, num, object, text};

const ID: &str = "36f85c0e7a21d94b";
/// Tasks of an occurrence: one, and after it these.
const TASKS: u64 = 20;
const INTERVAL_MS: u64 = 10;
const WORK_MS: u64 = 20;
/// Time for which the store is watched for a write that it has to refuse.
const REFUSED_WITHIN: Duration = Duration::from_secs(68);
/// Time for which the other client goes on after that.
const GOES_ON: Duration = Duration::from_secs(10);
const OTHER_GAP: Duration = Duration::from_millis(200);
const OTHER_WORK_MS: u64 = 300;
/// `finish_s` of the site, and the time for which a job may have nothing running with the calm before it.
const FINISH: Duration = Duration::from_secs(14);
const IDLE_MS: u64 = 7_000;

fn step(count: u64, after: &[u64], rack: &str) -> Json {
    object([
        ("count", num(count)),
        ("cpu", num(2_000)),
        ("memMb", num(100)),
        ("estimatedMs", num(50)),
        ("after", Json::List(after.iter().map(|step| num(*step)).collect())),
        ("affinity", text(rack)),
    ])
}

/// Hands in one job of the other client: two steps of one task, with their data in one zone.
fn hand_in(site: &Site, hosts: &Hosts, number: usize) -> Option<String> {
    let zone = ZONES[number % ZONES.len()];
    let id = format!("c0ffee{number:010x}");
    let rack = format!("r-{zone}-0");
    let steps = vec![step(1, &[], &rack), step(1, &[0], &rack)];
    site.add_job(&id, Job { steps: steps.clone(), work_ms: OTHER_WORK_MS, allowed: None });
    let body = object([("spec", text("quote")), ("steps", Json::List(steps))]).encode();
    let path = format!("/quote/{id}");
    let answer = hosts.call(site, hosts.in_zone(zone), "POST", &path, &body, Duration::from_secs(3));
    matches!(answer, Some((200..=299, _))).then_some(id)
}

pub fn run(site: &Site, trouble: bool) -> Verdict {
    let routes = [
        Route { name: "r-quote", prefix: "/quote/", has_advisor: false },
        Route { name: "r-batch", prefix: "/batch/", has_advisor: false },
    ];
    configure(&site.store, &routes);
    site.log_jobs_only_of(&["c0ffee"]);
    let Some(hosts) = Hosts::open(site, 1) else {
        return Verdict::CouldNotRun("the daemons did not get ready".into());
    };
    // Traffic starts 10 s after the machines do.
    thread::sleep(Duration::from_secs(8));
    let repetitions = if trouble { 20_000 } else { 500 };
    let steps = vec![step(1, &[], ""), step(TASKS, &[0], "")];
    site.add_job(ID, Job { steps: steps.clone(), work_ms: WORK_MS, allowed: None });
    let body = object([
        ("spec", text("batch")),
        ("steps", Json::List(steps)),
        ("repetitions", num(repetitions)),
        ("initialDelayMs", num(unix_ms() - 1_000_000)),
        ("intervalMs", num(INTERVAL_MS)),
    ]);
    let entry = hosts.in_zone("poa");
    let path = format!("/batch/{ID}");
    let wait = Duration::from_secs(3);
    match hosts.call(site, entry, "POST", &path, &body.encode(), wait) {
        Some((200..=299, _)) => {}
        answer => return Verdict::CouldNotRun(format!("the job was not accepted: {answer:?}")),
    }
    let began = Instant::now();
    let mut refused: Option<Instant> = None;
    let mut ids = Vec::new();
    let mut number = 0;
    loop {
        thread::sleep(OTHER_GAP);
        ids.extend(hand_in(site, &hosts, number));
        number += 1;
        if number % 25 == 0 {
            site.note(format!("{} tasks are done", site.count("done")));
        }
        if refused.is_none() && site.store.refused_values() > 0 {
            refused = Some(Instant::now());
            site.note(format!(
                "the store has refused a value over valueBytes, after {} tasks were done",
                site.count("done")
            ));
        }
        let is_over = match refused {
            Some(refused) => refused.elapsed() >= GOES_ON,
            None if trouble => began.elapsed() >= REFUSED_WITHIN,
            None => began.elapsed() >= Duration::from_secs(35),
        };
        if is_over {
            break;
        }
    }
    if trouble && refused.is_none() {
        return Verdict::CouldNotRun(format!("only {} tasks were done in time", site.count("done")));
    }
    site.note("end of the other client's traffic");
    thread::sleep(FINISH);
    let mut most_running = 0;
    let watched = Instant::now();
    while watched.elapsed() < Duration::from_secs(3) {
        thread::sleep(Duration::from_millis(100));
        most_running = most_running.max(site.running().len());
    }
    let (events, now_ms) = (site.events(), site.at_ms());
    let mut lost = Vec::new();
    let mut unshown = 0;
    for id in &ids {
        let own: Vec<_> = events.iter().filter(|event| event.task.starts_with(id.as_str())).collect();
        let is_done = |step: u64| {
            let task = format!("{id}.0.{step}.0");
            own.iter().any(|event| event.what == "done" && event.task == task)
        };
        let last_ms = own.iter().map(|event| event.at_ms).max().unwrap_or(0);
        if now_ms < last_ms + IDLE_MS {
            continue;
        }
        let path = format!("/quote/{id}");
        let state = hosts.call(site, entry, "GET", &path, "", wait);
        let state = state.map_or(String::new(), |(_, body)| body.text("state").to_owned());
        if state == "completed" {
            continue;
        }
        if is_done(1) {
            unshown += 1;
        } else {
            lost.push(format!("{id} ({state}, first step done: {})", is_done(0)));
        }
    }
    let own = events.iter().filter(|event| event.task.starts_with(ID));
    let done = own.clone().filter(|event| event.what == "done").count() as u64;
    let last_ms = own.map(|event| event.at_ms).max().unwrap_or(0);
    let is_idle = done < repetitions * (TASKS + 1) && now_ms >= last_ms + IDLE_MS;
    site.note(format!(
        "job {ID}: {done} of {} tasks done, the last thing {} ms ago",
        repetitions * (TASKS + 1),
        now_ms - last_ms
    ));
    site.note(format!(
        "{} jobs of the other client: {} with nothing running, {unshown} done long ago and not shown as completed",
        ids.len(),
        lost.len()
    ));
    site.note(format!(
        "{} writes were refused; at most {most_running} of 1,536 such tasks ran at the end",
        site.store.refused_values()
    ));
    for line in hosts.log_lines("event=records_not_written").into_iter().take(2) {
        site.note(line);
    }
    if ids.is_empty() {
        return Verdict::CouldNotRun("no job of the other client was accepted".into());
    }
    if lost.is_empty() && !is_idle {
        return Verdict::Held;
    }
    if most_running > 700 {
        return Verdict::CouldNotRun(format!("{most_running} tasks were running"));
    }
    Verdict::Broken(format!(
        "job {ID} has had nothing running for {} ms with {done} tasks done; so have {} of {} accepted jobs of another client, and {unshown} more are done and not shown as completed; {most_running} tasks run",
        now_ms - last_ms,
        lost.len(),
        ids.len()
    ))
}
