//! Crashes under a task whose owner changes before they are counted or recorded.

mod common;

use common::{Harness, START_MS, entry, run_status, step, task_id};
use primrosestack_fleet::handover::Handover;
use primrosestack_fleet::job::{JobId, JobSpec};
use primrosestack_fleet::record::{Progress, StoredJob};
use primrosestack_fleet::report::{Report, ServerEntry};
use primrosestack_fleet::shard::JobStatus;
use test_case::test_case;

const NAMES: [&str; 3] = ["one", "two", "three"];

const JOB: JobId = JobId(7);

/// Start of the first incarnation of each server; each crash adds one.
const FIRST_START_UNIX_MS: u64 = 10;

/// Time for which a task with five crashes and lapses waits for the servers that lapsed.
const LAPSED_SERVER_WAIT_MS: u64 = 120_000;

/// Time from a crash until the server answers again.
const RESTART_MS: u64 = 3_000;

/// Incarnations of the servers, which outlast the owners.
struct Servers {
    started_unix_ms: [u64; 3],
}

impl Servers {
    fn open() -> Self {
        Self {
            started_unix_ms: [FIRST_START_UNIX_MS; 3],
        }
    }

    fn crash(&mut self, name: &str) {
        let index = NAMES.iter().position(|known| *known == name);
        self.started_unix_ms[index.expect("the server is known")] += 1;
    }

    fn answer(&self, owner: &mut Harness) {
        for (name, &started_unix_ms) in NAMES.iter().zip(&self.started_unix_ms) {
            let registration = ServerEntry {
                started_unix_ms,
                ..entry(name)
            };
            owner.shard.set_server(registration, owner.now_ms);
            let report = Report {
                sent_ms: owner.now_ms,
                started_unix_ms,
                clock_ms: owner.now_ms,
                ..Report::default()
            };
            let key = owner.key(name);
            owner.shard.apply_report(key, &report, owner.now_ms);
        }
    }
}

/// Opens the term of an owner that reads what is recorded of the job.
fn open_term(term: u64, now_ms: u64, progress: Option<Progress>) -> Harness {
    let mut owner = Harness::open_term(term, &NAMES, &[]);
    owner.now_ms = now_ms;
    let stored = StoredJob {
        spec: Some(JobSpec {
            id: JOB.0,
            command: "do".into(),
            steps: vec![step(1)],
            queue: Some(common::queue(0)),
            ..JobSpec::default()
        }),
        progress,
        created_revision: 50,
        ..StoredJob::default()
    };
    owner.shard.add_job(JOB, stored, now_ms);
    owner
}
/// Writes a batch and returns the progress that it records of the job.
fn recorded(owner: &mut Harness) -> Option<Progress> {
    let batch = owner.shard.take_batch(owner.now_ms);
    let record = batch.jobs.iter().find(|record| record.id == JOB);
    let progress = record.map(|record| record.progress.clone());
    owner.shard.batch_written(&batch);
    progress
}

fn crashed_runs(progress: Option<&Progress>) -> usize {
    let tasks = progress.map_or(&[][..], |progress| &progress.tasks);
    tasks.iter().map(|task| task.crashed_runs.len()).sum()
}

/// Opens the first term and has the task started. Returns the owner and the name of the server.
fn open_started(servers: &Servers) -> (Harness, String) {
    let mut owner = open_term(1, START_MS, None);
    servers.answer(&mut owner);
    owner.write_records();
    servers.answer(&mut owner);
    owner.plan();
    let started_on = owner.confirm_starts()[0].0;
    let name = owner.name(started_on);
    (owner, name)
}

/// Has the task started by an owner and crashes its server. Returns the number of starts, 0 or 1.
fn start_and_crash(owner: &mut Harness, servers: &mut Servers) -> usize {
    servers.answer(owner);
    owner.write_records();
    servers.answer(owner);
    owner.plan();
    let starts = owner.confirm_starts();
    for (server, _) in &starts {
        servers.crash(&owner.name(*server));
    }
    starts.len()
}

/// Guards against a task crashing one server after the other while its shard changes its owner after each start: the
/// next owner does not know where the task had started, so that no crash is counted.
#[test]
fn crashes_are_counted_although_the_owner_changes_after_each_start() {
    let mut servers = Servers::open();
    let mut handover: Option<Handover> = None;
    let mut progress = None;
    let mut now_ms = START_MS;
    let mut starts = 0;
    for term in 1..=8 {
        let mut owner = open_term(term, now_ms, progress.take());
        if let Some(handover) = &handover {
            owner.shard.apply_handover(handover, now_ms);
        }
        owner.now_ms += RESTART_MS;
        starts += start_and_crash(&mut owner, &mut servers);
        progress = recorded(&mut owner);
        handover = Some(owner.handover());
        now_ms = owner.now_ms;
        if owner.shard.job_status(JOB) == Some(JobStatus::Failed) {
            break;
        }
    }
    assert_eq!(starts, 2, "the task was the only suspect twice");
}

/// Guards against crashes that were counted and not recorded being forgotten with their owner.
#[test]
fn unrecorded_crashes_are_handed_over() {
    let mut servers = Servers::open();
    let mut first = open_term(1, START_MS, None);
    assert_eq!(start_and_crash(&mut first, &mut servers), 1);
    first.now_ms += RESTART_MS;
    servers.answer(&mut first);
    let handover = first.handover();
    let mut second = open_term(2, first.now_ms, None);
    second.shard.apply_handover(&handover, first.now_ms);
    let progress = recorded(&mut second);
    assert_eq!(crashed_runs(progress.as_ref()), 1);
}

/// Guards against a task starting again before its crash is recorded: if the owner is lost then, nobody counts it.
#[test]
fn a_suspect_starts_only_after_its_crash_is_recorded() {
    let mut servers = Servers::open();
    let mut owner = open_term(1, START_MS, None);
    assert_eq!(start_and_crash(&mut owner, &mut servers), 1);
    owner.now_ms += RESTART_MS;
    servers.answer(&mut owner);
    owner.plan();
    assert!(owner.starts.is_empty(), "the crash is not recorded yet");
    owner.write_records();
    owner.plan();
    assert_eq!(owner.starts.len(), 1);
}

/// Guards against a task being suspected for good because its shard changed its owner just after its start.
#[test_case(true; "it still runs")]
#[test_case(false; "its start was not carried out")]
fn a_server_that_did_not_crash_ends_the_suspicion(is_running: bool) {
    let servers = Servers::open();
    let (first, name) = open_started(&servers);
    let handover = first.handover();
    let mut second = open_term(2, first.now_ms, None);
    second.shard.apply_handover(&handover, first.now_ms);
    servers.answer(&mut second);
    if is_running {
        let run = run_status(task_id(JOB, 0, 0), 1);
        let report = Report {
            sent_ms: second.now_ms,
            started_unix_ms: FIRST_START_UNIX_MS,
            clock_ms: second.now_ms,
            running: vec![run],
            ..Report::default()
        };
        let key = second.key(&name);
        second.shard.apply_report(key, &report, second.now_ms);
    }
    let handover = second.handover();
    assert!(handover.suspected_tasks.is_empty());
    assert!(handover.recent_starts.is_empty());
}

/// Guards against lapses after starts being forgotten with their owner, so that a task starts on one more server for
/// each owner while its servers are away.
#[test]
fn lapses_are_recorded_and_handed_over() {
    let mut servers = Servers::open();
    let mut first = open_term(1, START_MS, None);
    assert_eq!(start_and_crash(&mut first, &mut servers), 1);
    first.now_ms += 6_000;
    first.tick();
    let handover = first.handover();
    let lapsed: usize = handover
        .suspected_tasks
        .iter()
        .map(|task| task.record.lapsed_runs.len())
        .sum();
    assert_eq!(lapsed, 1);
    assert_eq!(handover.recent_starts.len(), 1);
    let progress = recorded(&mut first).expect("the lapse is recorded");
    assert_eq!(progress.tasks[0].lapsed_runs.len(), 1);
}

/// Guards against the wait for lapsed servers beginning anew with each owner, which keeps a task waiting for ever if the
/// owners change often enough.
#[test_case(true; "after a handover")]
#[test_case(false; "after the loss of the owner")]
fn a_wait_for_lapsed_servers_goes_on_under_the_next_owner(is_handed_over: bool) {
    let servers = Servers::open();
    let (mut first, _) = open_started(&servers);
    first.now_ms += 6_000;
    first.tick();
    let lapsed_ms = first.now_ms;
    let mut progress = recorded(&mut first).expect("the lapse is recorded");
    progress.tasks[0].crashed_runs = vec![2, 3, 4, 5];
    let handover = first.handover();
    if is_handed_over {
        progress.tasks[0].lapsed_runs.clear();
        progress.tasks[0].last_lapse_unix_ms = 0;
    }
    let mut second = open_term(2, lapsed_ms + LAPSED_SERVER_WAIT_MS - 1_000, Some(progress));
    if is_handed_over {
        second.shard.apply_handover(&handover, second.now_ms);
    }
    let other = NAMES.map(|name| ServerEntry {
        started_unix_ms: FIRST_START_UNIX_MS,
        ..entry(&format!("{name}-new"))
    });
    second.shard.set_servers(other, second.now_ms);
    for step in 0..200 {
        second.now_ms += 100;
        for name in NAMES {
            second.report(&format!("{name}-new"), &[], &[]);
        }
        second.write_records();
        second.plan();
        second.tick();
        let is_over = second.now_ms >= lapsed_ms + LAPSED_SERVER_WAIT_MS;
        assert!(is_over || second.starts.is_empty(), "step {step}");
    }
    assert_eq!(second.starts.len(), 1, "the wait is over");
}

/// Guards against a successor without a handover restoring a suspicion that had ended.
#[test]
fn the_end_of_a_suspicion_is_recorded() {
    let mut servers = Servers::open();
    let mut owner = open_term(1, START_MS, None);
    assert_eq!(start_and_crash(&mut owner, &mut servers), 1);
    owner.now_ms += RESTART_MS;
    servers.answer(&mut owner);
    assert_eq!(crashed_runs(recorded(&mut owner).as_ref()), 1);
    owner.plan();
    let (server, start) = owner.confirm_starts().remove(0);
    let name = owner.name(server);
    owner.now_ms += 600;
    owner.report(&name, &[run_status(task_id(JOB, 0, 0), start.run)], &[]);
    let progress = recorded(&mut owner).expect("the end is recorded");
    assert_eq!(crashed_runs(Some(&progress)), 0);
}

/// Guards against the same for a server that lapsed and turns out to be sound.
#[test]
fn a_refuted_lapse_is_recorded() {
    let servers = Servers::open();
    let (mut owner, _) = open_started(&servers);
    owner.now_ms += 6_000;
    owner.tick();
    let progress = recorded(&mut owner).expect("the lapse is recorded");
    assert_eq!(progress.tasks[0].lapsed_runs.len(), 1);
    servers.answer(&mut owner);
    let progress = recorded(&mut owner).expect("its end is recorded");
    assert!(progress.tasks[0].lapsed_runs.is_empty());
}

/// Guards against a server that drains after a change of owner, and is replaced, counting as crashed.
#[test]
fn a_server_that_drains_after_a_handover_has_not_crashed() {
    let mut servers = Servers::open();
    let (first, name) = open_started(&servers);
    let handover = first.handover();
    let mut second = open_term(2, first.now_ms, None);
    let registration = ServerEntry {
        started_unix_ms: FIRST_START_UNIX_MS,
        ..entry(&name)
    };
    let now_ms = second.now_ms;
    second.shard.set_server(registration.clone(), now_ms);
    second.shard.apply_handover(&handover, now_ms);
    let leaving = ServerEntry {
        draining: true,
        ..registration
    };
    second.shard.set_server(leaving, now_ms);
    second.now_ms += RESTART_MS;
    servers.crash(&name);
    servers.answer(&mut second);
    let progress = recorded(&mut second);
    assert_eq!(crashed_runs(progress.as_ref()), 0);
}
