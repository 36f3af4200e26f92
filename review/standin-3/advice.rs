//! A queue with an advisor whose policy allows the workers of one rack only.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::site::{Hosts, Job, Route, Site, configure};
use crate::wire::{Json, num, object, text};

const JOBS: usize = 4;
const WORK_MS: u64 = 1_000;
/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running.
const IDLE: Duration = Duration::from_secs(3);
/// Time after `FINISH` for which the jobs are watched.
const WATCHED: Duration = Duration::from_secs(30);

pub fn run(site: &Site, trouble: bool) -> Verdict {
    let route = Route { name: "r-quote", prefix: "/quote/", has_advisor: true };
    configure(&site.store, &[route]);
    let Some(hosts) = Hosts::open(site, 3) else {
        return Verdict::CouldNotRun("the daemons did not get ready".into());
    };
    // Traffic starts 10 s after the machines do.
    thread::sleep(Duration::from_secs(8));
    let rack = if trouble { "r-cxs-0" } else { "r-poa-0" };
    let allowed: Vec<String> = site
        .workers()
        .into_iter()
        .filter(|(_, _, of)| of == rack)
        .map(|(name, _, _)| name)
        .collect();
    site.note(format!("the policy allows the {} workers of rack {rack} of 48", allowed.len()));
    let entry = hosts.in_zone("poa");
    let mut ids = Vec::new();
    for index in 0..JOBS {
        let id = format!("5c0e7a21d94b3{index:03x}");
        let step = object([
            ("count", num(2)),
            ("cpu", num(2_000)),
            ("memMb", num(4_000)),
            ("estimatedMs", num(WORK_MS)),
        ]);
        let job = Job { steps: vec![step.clone()], work_ms: WORK_MS, allowed: Some(allowed.clone()) };
        site.add_job(&id, job);
        let body = object([("spec", text("quote")), ("steps", Json::List(vec![step]))]);
        let path = format!("/quote/{id}");
        let wait = Duration::from_secs(3);
        match hosts.call(site, entry, "POST", &path, &body.encode(), wait) {
            Some((200..=299, _)) => ids.push(id),
            _ => return Verdict::CouldNotRun(format!("job {id} was not accepted")),
        }
    }
    let accepted = Instant::now();
    let mut idle_since = vec![Instant::now(); ids.len()];
    let mut is_over = vec![false; ids.len()];
    while accepted.elapsed() < FINISH + WATCHED && is_over.contains(&false) {
        thread::sleep(Duration::from_millis(500));
        for (index, id) in ids.iter().enumerate() {
            if is_over[index] {
                continue;
            }
            if site.running().iter().any(|(task, _)| task.starts_with(id.as_str())) {
                idle_since[index] = Instant::now();
            }
            let done = site.events().iter().filter(|event| event.what == "done" && event.task.starts_with(id.as_str())).count();
            is_over[index] = done >= 2;
        }
    }
    let mut broken = Vec::new();
    for (index, id) in ids.iter().enumerate() {
        let path = format!("/quote/{id}");
        let state = hosts.call(site, entry, "GET", &path, "", Duration::from_secs(3));
        let state = state.map_or(String::new(), |(_, body)| body.text("state").to_owned());
        let starts = site.events().iter().filter(|event| event.what == "start" && event.task.starts_with(id.as_str())).count();
        let idle = idle_since[index].elapsed();
        site.note(format!("job {id}: {starts} starts, state {state:?}"));
        if !is_over[index] && idle > IDLE {
            broken.push(format!("job {id} is {state:?} after {} s with {starts} starts and nothing running", accepted.elapsed().as_secs()));
        }
    }
    site.note(format!("the advisor answered {} calls", site.advice_calls()));
    for line in hosts.log_lines("event=job_moved") {
        site.note(line);
    }
    if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken.join("; ")) }
}
