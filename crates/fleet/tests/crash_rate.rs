//! Crashes that speak against a task while servers are also lost for other reasons.

mod common;

use common::{Harness, step};
use primrosestack_fleet::job::{JobId, StepSpec};
use primrosestack_fleet::shard::JobStatus;
use test_case::test_case;

const NAMES: [&str; 9] = [
    "one", "two", "three", "four", "five", "six", "seven", "eight", "nine",
];

/// Losses of servers count for this time.
const LOSS_WINDOW_MS: u64 = 30_000;

/// Crashes each server on which no task has just started, and claims it again.
fn crash_idle_servers(harness: &mut Harness) {
    for name in NAMES {
        if harness.shard.runs_on(harness.key(name)).is_empty() {
            harness.restart(name);
            harness.claim(name);
        }
    }
}

/// Crashes the servers on which the given jobs have just started, and claims them again; the others answer.
fn crash_under(harness: &mut Harness, jobs: &[JobId]) {
    harness.confirm_starts();
    harness.now_ms += 100;
    for name in NAMES {
        let runs = harness.shard.runs_on(harness.key(name));
        if runs.iter().any(|(task, _)| jobs.contains(&task.job)) {
            harness.restart(name);
        }
        harness.claim(name);
    }
    harness.write_records();
    harness.plan();
}

fn is_failed(harness: &mut Harness, job: JobId) -> bool {
    harness.write_records();
    harness.shard.job_status(job) == Some(JobStatus::Failed)
}

/// Guards against a job being given up because its task met two crashes while servers crashed everywhere, and against
/// one that crashes its servers being started for ever then.
#[test]
fn a_task_is_given_up_later_while_servers_crash_without_suspects() {
    let mut harness = Harness::open(&NAMES);
    let job = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    crash_idle_servers(&mut harness);
    for crashes in 1..=4 {
        assert!(!is_failed(&mut harness, job), "before crash {crashes}");
        assert_eq!(harness.starts.len(), 1, "before crash {crashes}");
        crash_under(&mut harness, &[job]);
    }
    assert!(is_failed(&mut harness, job), "the contract allows no more");
}

/// Guards against the limit being raised by losses that are long over, so that a crashing task is started more often.
#[test_case(LOSS_WINDOW_MS - 1_000, false; "recent losses")]
#[test_case(LOSS_WINDOW_MS, true; "old losses")]
fn losses_count_for_half_a_minute(age_ms: u64, is_given_up: bool) {
    let mut harness = Harness::open(&NAMES);
    crash_idle_servers(&mut harness);
    harness.now_ms += age_ms - 200;
    for name in NAMES {
        harness.claim(name);
    }
    let job = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    crash_under(&mut harness, &[job]);
    crash_under(&mut harness, &[job]);
    assert_eq!(is_failed(&mut harness, job), is_given_up);
}

/// Guards against crashing tasks excusing each other.
#[test]
fn crashes_under_other_tasks_excuse_none() {
    let mut harness = Harness::open(&NAMES);
    let whole_server = StepSpec {
        cpu_millis: 16_000,
        ..step(1)
    };
    let jobs: Vec<JobId> = (1..=8)
        .map(|id| harness.submit(id, 0, vec![whole_server.clone()]))
        .collect();
    harness.plan();
    assert_eq!(harness.starts.len(), jobs.len());
    crash_under(&mut harness, &jobs);
    assert_eq!(harness.starts.len(), jobs.len());
    crash_under(&mut harness, &jobs);
    for job in jobs {
        assert!(is_failed(&mut harness, job), "{job:?}");
    }
}

/// Guards against servers that leave as announced raising the limit.
#[test]
fn announced_departures_are_no_losses() {
    let mut harness = Harness::open(&NAMES);
    let job = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    for name in NAMES {
        if !harness.shard.runs_on(harness.key(name)).is_empty() {
            continue;
        }
        let mut leaving = common::entry(name);
        leaving.draining = true;
        harness.shard.set_server(leaving, harness.now_ms);
        harness.restart(name);
        harness
            .shard
            .set_server(common::entry(name), harness.now_ms);
        harness.claim(name);
    }
    crash_under(&mut harness, &[job]);
    crash_under(&mut harness, &[job]);
    assert!(is_failed(&mut harness, job));
}

/// Guards against a new owner, which has seen no losses, giving a job up for crashes that its predecessor did not count
/// against it.
#[test]
fn a_successor_learns_of_the_losses() {
    let mut harness = Harness::open(&NAMES);
    let job = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    crash_idle_servers(&mut harness);
    crash_under(&mut harness, &[job]);
    crash_under(&mut harness, &[job]);
    assert!(!is_failed(&mut harness, job));
    let handover = harness.handover();
    let mut successor = Harness::open_term(2, &NAMES, &NAMES);
    successor.now_ms = harness.now_ms;
    let successor_job = successor.submit_at(7, 0, vec![step(1)], 50);
    for name in NAMES {
        successor.claim(name);
    }
    successor.shard.apply_handover(&handover, successor.now_ms);
    assert!(!is_failed(&mut successor, successor_job));
}
