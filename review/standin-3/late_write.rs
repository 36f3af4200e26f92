//! A job whose client left and cancelled it while the write that stores it was under way.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::site::{Hosts, Job, Route, Site, configure};
use crate::store::LostWrite;
use crate::wire::{Json, num, object, text};

const ID: &str = "5c0e7a21d94b36f8";
/// When the client leaves, before its deadline of 3 s.
const LEAVES_AFTER: Duration = Duration::from_millis(600);
/// When the store carries out the write that it did not answer.
const CARRIED_OUT_AFTER: Duration = Duration::from_millis(5_500);
/// `cancel_ms` and `stopTimeoutMs` of the site.
const CANCEL_MS: u64 = 3_000;
/// Clients that stay: the one that leaves is an eighth of all.
const OTHERS: usize = 7;
const OTHER_WORK_MS: u64 = 1_000;
const WATCHED: Duration = Duration::from_secs(20);

/// Hands in the job of a client that stays. Returns whether it was accepted.
fn hand_in(site: &Site, hosts: &Hosts, number: usize) -> bool {
    let id = format!("c0ffee{number:010x}");
    let step = object([
        ("count", num(2)),
        ("cpu", num(4_600)),
        ("memMb", num(9_200)),
        ("estimatedMs", num(OTHER_WORK_MS)),
    ]);
    site.add_job(&id, Job { steps: vec![step.clone()], work_ms: OTHER_WORK_MS, allowed: None });
    let body = object([("spec", text("quote")), ("steps", Json::List(vec![step]))]).encode();
    let host = number % hosts.hosts.len();
    let answer = hosts.call(site, host, "POST", &format!("/archive/{id}"), &body, Duration::from_secs(3));
    matches!(answer, Some((200..=299, _)))
}

pub fn run(site: &Site, trouble: bool) -> Verdict {
    let route = Route { name: "r-archive", prefix: "/archive/", has_advisor: false };
    configure(&site.store, &[route]);
    let Some(hosts) = Hosts::open(site, 3) else {
        return Verdict::CouldNotRun("the daemons did not get ready".into());
    };
    // Traffic starts 10 s after the machines do.
    thread::sleep(Duration::from_secs(8));
    let step = object([
        ("count", num(2)),
        ("cpu", num(13_000)),
        ("memMb", num(26_000)),
        ("estimatedMs", num(400)),
        ("longRunning", Json::Bool(true)),
        ("image", text("archive")),
    ]);
    site.add_job(ID, Job { steps: vec![step.clone()], work_ms: 0, allowed: None });
    if trouble {
        site.store.lose_write(LostWrite { key_part: ID.to_owned(), delay: CARRIED_OUT_AFTER });
    }
    let body = object([("spec", text("archive")), ("steps", Json::List(vec![step]))]).encode();
    let path = format!("/archive/{ID}");
    let entry = hosts.in_zone("poa");
    // Their writes come within the same second as the one that gets no answer.
    if !(0..OTHERS).all(|number| hand_in(site, &hosts, number)) {
        return Verdict::CouldNotRun("the job of another client was not accepted".into());
    }
    site.note("the client hands the job in");
    let first = hosts.call(site, entry, "POST", &path, &body, LEAVES_AFTER);
    if first.is_some() == trouble {
        return Verdict::CouldNotRun(format!("the first request was answered: {first:?}"));
    }
    site.note("the client has left, and cancels the job at another machine");
    let other = hosts.in_zone("cxs");
    let mut cancelled_ms = None;
    let sent = Instant::now();
    while cancelled_ms.is_none() && sent.elapsed() < Duration::from_secs(3) {
        match hosts.call(site, other, "DELETE", &path, "", Duration::from_secs(3)) {
            Some((200..=299 | 410, _)) => cancelled_ms = Some(site.at_ms()),
            _ => thread::sleep(Duration::from_millis(300)),
        }
    }
    let Some(cancelled_ms) = cancelled_ms else {
        return Verdict::CouldNotRun("the cancel was not acknowledged".into());
    };
    thread::sleep(WATCHED);
    for line in site.store.lost_log() {
        site.note(line);
    }
    let state = hosts.call(site, other, "GET", &path, "", Duration::from_secs(3));
    let running = site.running().iter().filter(|(task, _)| task.starts_with(ID)).count();
    let events = site.events();
    let own = events.iter().filter(|event| event.task.starts_with(ID));
    let late = own.filter(|event| event.what == "start" && event.at_ms > cancelled_ms + CANCEL_MS);
    let late: Vec<u64> = late.map(|event| event.at_ms - cancelled_ms).collect();
    site.note(format!("{running} tasks of the job run; starts after the cancel, in ms: {late:?}"));
    if late.is_empty() {
        return Verdict::Held;
    }
    let state = state.map_or(String::new(), |(status, body)| format!("{status} {}", body.text("state")));
    Verdict::Broken(format!(
        "{} tasks were started {:?} ms after the cancel was acknowledged, and {running} run on; state: {state}",
        late.len(),
        late
    ))
}
