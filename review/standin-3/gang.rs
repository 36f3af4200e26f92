//! A gang whose members need more workers than one zone has, while the service as a whole has room for it twice.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::site::{Hosts, Job, Route, Site, configure};
use crate::wire::{Json, num, object, text};

const ID: &str = "7a21d94b36f85c0e";
const WORK_MS: u64 = 1_000;
/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running.
const IDLE: Duration = Duration::from_secs(3);
/// Time after `FINISH` for which the job is watched.
const WATCHED: Duration = Duration::from_secs(30);

pub fn run(site: &Site, trouble: bool) -> Verdict {
    let route = Route { name: "r-quote", prefix: "/quote/", has_advisor: false };
    configure(&site.store, &[route]);
    let Some(hosts) = Hosts::open(site, 3) else {
        return Verdict::CouldNotRun("the daemons did not get ready".into());
    };
    // Traffic starts 10 s after the machines do.
    thread::sleep(Duration::from_secs(8));
    let count = if trouble { 20 } else { 12 };
    let step = object([
        ("count", num(count)),
        ("cpu", num(2_000)),
        ("memMb", num(4_000)),
        ("estimatedMs", num(WORK_MS)),
        ("coscheduled", Json::Bool(true)),
        ("antiAffinity", num(1)),
    ]);
    site.add_job(ID, Job { steps: vec![step.clone()], work_ms: WORK_MS, allowed: None });
    let body = object([("spec", text("quote")), ("steps", Json::List(vec![step]))]);
    let path = format!("/quote/{ID}");
    let entry = hosts.in_zone("poa");
    site.note(format!("a gang of {count} tasks, one on a worker; 48 workers, all of them free"));
    match hosts.call(site, entry, "POST", &path, &body.encode(), Duration::from_secs(3)) {
        Some((200..=299, _)) => {}
        answer => return Verdict::CouldNotRun(format!("the job was not accepted: {answer:?}")),
    }
    let accepted = Instant::now();
    let done = || site.events().iter().filter(|event| event.what == "done").count() as u64;
    while accepted.elapsed() < FINISH + WATCHED && done() < count {
        thread::sleep(Duration::from_millis(500));
    }
    let idle = accepted.elapsed();
    let state = hosts.call(site, entry, "GET", &path, "", Duration::from_secs(3));
    let state = state.map_or(String::new(), |(_, body)| body.text("state").to_owned());
    let starts = site.events().iter().filter(|event| event.what == "start").count();
    site.note(format!("{starts} starts, {} ends done, state {state:?}", done()));
    for line in hosts.log_lines("event=task_stays") {
        site.note(line);
    }
    if done() == count {
        return Verdict::Held;
    }
    if starts > 0 || idle < FINISH + IDLE {
        return Verdict::CouldNotRun(format!("the job was started {starts} times"));
    }
    Verdict::Broken(format!("the job is {state:?} after {} s, and none of its tasks was started", idle.as_secs()))
}
