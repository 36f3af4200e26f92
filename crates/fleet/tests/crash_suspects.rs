//! Suspects of a crash: who they are, how they start again, and when they are cleared.

mod common;

use common::{DELEGATION_WAIT_MS, Harness, entry, run_end, service_step, step, task_id};
use primrosestack_fleet::action::StartReply;
use primrosestack_fleet::job::{JobId, JobSpec};
use primrosestack_fleet::record::{Progress, StoredJob, TaskRecord};
use primrosestack_fleet::report::{EndKind, Report, ServerEntry};
use primrosestack_fleet::shard::JobStatus;
use smol_str::SmolStr;
use test_case::test_case;

/// Time from a crash until the server answers again.
const RESTART_MS: u64 = 3_000;

/// Longest time for which a lease of a silent server can last.
const LAPSE_MS: u64 = 6_000;

/// Wait after which a suspected task starts beside other recent starts.
const ALONE_WAIT_MS: u64 = 1_500;

fn started_jobs(harness: &Harness) -> Vec<JobId> {
    let starts = harness.starts.iter();
    starts.map(|(_, request)| request.task.job).collect()
}

fn started_entry(name: &str, started_unix_ms: u64) -> ServerEntry {
    ServerEntry {
        started_unix_ms,
        ..entry(name)
    }
}

/// Guards against a suspect starting beside another recent start at once, and against it waiting for ever on a busy
/// server.
#[test]
fn a_suspect_waits_for_other_recent_starts_for_a_limited_time() {
    let mut harness = Harness::open(&["one"]);
    let suspect = harness.submit(7, 2, vec![step(1)]);
    harness.plan();
    harness.crash("one");
    let other = harness.submit(8, 0, vec![step(1)]);
    harness.plan();
    assert_eq!(started_jobs(&harness), [other]);
    harness.confirm_starts();
    harness.now_ms += ALONE_WAIT_MS - 1;
    harness.plan();
    assert!(harness.starts.is_empty());
    harness.now_ms += 1;
    harness.plan();
    assert_eq!(started_jobs(&harness), [suspect]);
}

/// Guards against a task being given up after two crashes that it may not have caused, and against one of several
/// suspects being started for ever.
#[test]
fn one_of_several_suspects_is_given_up_after_three_crashes() {
    let mut harness = Harness::open(&["one"]);
    let suspect = harness.submit(1, 2, vec![step(1)]);
    harness.plan();
    harness.confirm_starts();
    for crashes in 1..=3 {
        assert_eq!(
            harness.shard.job_status(suspect),
            Some(JobStatus::Running),
            "before crash {crashes}"
        );
        harness.crash("one");
        // The other suspect would start alone before this one.
        if let Some(key) = harness
            .shard
            .find_job(JobId(crashes))
            .filter(|_| crashes > 1)
        {
            harness.shard.cancel(key, harness.now_ms);
        }
        harness.submit(1 + crashes, 0, vec![step(1)]);
        harness.plan();
        harness.confirm_starts();
        harness.now_ms += ALONE_WAIT_MS;
        harness.plan();
    }
    assert_eq!(harness.shard.job_status(suspect), Some(JobStatus::Failed));
}

/// Guards against a task counting as innocent because a report lists it in the milliseconds before the crash.
#[test_case(499, true; "just started")]
#[test_case(500, false; "outlived its start")]
fn a_run_is_suspected_until_it_has_outlived_its_start(age_ms: u64, is_suspected: bool) {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![service_step(1, "web")]);
    harness.plan();
    harness.confirm_starts();
    harness.write_records();
    harness.now_ms += age_ms;
    harness.report_running(&[job]);
    harness.now_ms += RESTART_MS;
    harness.restart("one");
    assert_eq!(!harness.recorded_suspects().is_empty(), is_suspected);
}

/// Guards against a task keeping its servers to itself for ever after one crash.
#[test_case(false; "it is listed after its start")]
#[test_case(true; "its run fails")]
fn a_cleared_task_starts_beside_others_again(fails: bool) {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![service_step(1, "web")]);
    harness.plan();
    harness.crash("one");
    harness.plan();
    let starts = harness.confirm_starts();
    if fails {
        let end = run_end(1, task_id(job, 0, 0), starts[0].1.run, EndKind::Failed);
        harness.report("one", &[], &[end]);
    } else {
        harness.now_ms += 600;
        harness.report_running(&[job]);
        harness.now_ms += 100;
        // The run is lost without a crash.
        harness.report("one", &[], &[]);
    }
    harness.shard.unregister_server("one");
    harness.shard.set_server(entry("two"), harness.now_ms);
    harness.claim("two");
    harness.write_records();
    let other = harness.submit(8, 0, vec![step(1)]);
    harness.plan();
    assert_eq!(started_jobs(&harness), [other, job]);
}

/// Guards against the count beginning anew because a run was stopped or lost its lease, which tells nothing about crashes.
#[test_case(EndKind::Stopped)]
#[test_case(EndKind::LeaseExpired)]
fn other_ends_leave_the_count_as_it_is(kind: EndKind) {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.crash("one");
    harness.plan();
    let starts = harness.confirm_starts();
    let end = run_end(1, task_id(job, 0, 0), starts[0].1.run, kind);
    harness.report("one", &[], &[end]);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
    harness.crash("one");
    assert_eq!(harness.shard.job_status(job), Some(JobStatus::Failed));
}

/// Guards against the capacity of a server being blocked by a suspect whose run has ended.
#[test]
fn a_server_is_free_again_when_its_suspect_has_ended() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.crash("one");
    harness.plan();
    harness.confirm_starts();
    harness
        .shard
        .cancel(harness.shard.find_job(job).expect("known"), harness.now_ms);
    let end = run_end(1, task_id(job, 0, 0), 2, EndKind::Stopped);
    harness.report("one", &[], &[end]);
    harness.submit(8, 0, vec![step(1)]);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a crash being counted for runs of a server that was cut off and answered again before.
#[test]
fn suspects_of_a_server_that_answers_again_are_forgotten() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.confirm_starts();
    harness.now_ms += LAPSE_MS;
    harness.tick();
    harness.claim("one");
    harness.write_records();
    harness.restart("one");
    assert!(harness.recorded_suspects().is_empty());
}

/// Guards against a crash being counted when a server that was only cut off registers again.
#[test]
fn a_server_that_registers_again_unharmed_raises_no_count() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.confirm_starts();
    harness.shard.unregister_server("one");
    harness.now_ms += LAPSE_MS;
    harness.tick();
    assert!(harness.shard.find_server("one").is_none());
    harness
        .shard
        .set_server(started_entry("one", 5), harness.now_ms);
    assert!(harness.recorded_suspects().is_empty());
}

/// Guards against a task that may have crashed a server starting beside others while that server is still away.
#[test]
fn suspects_of_a_silent_server_start_alone() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.confirm_starts();
    harness.shard.set_server(entry("two"), harness.now_ms);
    harness.now_ms += LAPSE_MS;
    harness.tick();
    harness.claim("two");
    harness.write_records();
    harness.plan();
    assert_eq!(started_jobs(&harness), [job]);
    harness.submit(8, 0, vec![step(1)]);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a server that left as announced counting as crashed when it registers as ready again.
#[test]
fn a_drained_server_that_registers_again_raises_no_count() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.confirm_starts();
    harness.write_records();
    let leaving = ServerEntry {
        draining: true,
        ..entry("one")
    };
    harness.shard.set_server(leaving, harness.now_ms);
    harness
        .shard
        .set_server(started_entry("one", 50), harness.now_ms);
    assert!(harness.recorded_suspects().is_empty());
}

/// Guards against a new owner starting a suspect of its predecessor beside other tasks.
#[test]
fn suspects_start_alone_after_a_change_of_owner() {
    let mut successor = Harness::open_term(2, &[], &["one"]);
    let id = JobId(7);
    let progress = Progress {
        tasks: vec![TaskRecord {
            last_run: 1,
            crashed_runs: vec![1],
            ..TaskRecord::default()
        }],
        ..Progress::default()
    };
    let stored = StoredJob {
        spec: Some(JobSpec {
            id: id.0,
            steps: vec![step(1)],
            queue: Some(common::queue(0)),
            ..JobSpec::default()
        }),
        progress: Some(progress),
        created_revision: 50,
        ..StoredJob::default()
    };
    successor.shard.add_job(id, stored, successor.now_ms);
    successor.claim("one");
    successor.write_records();
    successor.submit(8, 0, vec![step(1)]);
    successor.plan();
    assert_eq!(successor.starts.len(), 1);
}

/// Guards against the count beginning anew with each delegation of a task, and against a delegated suspect starting
/// beside others.
#[test]
fn crashes_are_counted_across_a_delegation() {
    let mut source = Harness::open(&["one"]);
    let job = source.submit(7, 0, vec![service_step(1, "web")]);
    source.plan();
    source.confirm_starts();
    source.now_ms += RESTART_MS;
    source.restart("one");
    source.write_records();
    source.now_ms += DELEGATION_WAIT_MS;
    let mut others = vec![(SmolStr::new("cxs"), Harness::open(&["two"]).load())];
    assert!(source.shard.delegate_tasks(&mut others, source.now_ms));
    let record = source.shard.take_batch(source.now_ms).jobs[0].clone();

    let mut target = Harness::open(&["two"]);
    let stored = StoredJob {
        spec: record.spec.clone(),
        is_delegated: true,
        transfers: vec![record.transfers[0].1.clone()],
        created_revision: 200,
        ..StoredJob::default()
    };
    target.shard.add_job(job, stored, target.now_ms);
    target.submit(8, 2, vec![step(1)]);
    target.plan();
    assert_eq!(target.starts.len(), 1, "one of the two waits");
    // The suspect is long-running, so the short task went first.
    target.confirm_starts();
    target.now_ms += ALONE_WAIT_MS;
    target.report_running(&[JobId(8)]);
    target.plan();
    assert_eq!(started_jobs(&target), [job]);
    target.crash("two");
    assert_eq!(target.shard.job_status(job), Some(JobStatus::Failed));
}

/// Guards against failing a job whose task was near two crashes with other causes: it was one of many suspects of the first
/// and alone on its server at the second.
#[test]
fn two_crashes_with_other_causes_do_not_fail_a_job() {
    let mut harness = Harness::open(&["one", "two"]);
    let jobs: Vec<JobId> = (1..=8)
        .map(|id| harness.submit(id, 0, vec![step(1)]))
        .collect();
    harness.plan();
    let starts = harness.confirm_starts();
    let first = harness.name(starts[0].0);
    let other = if first == "one" { "two" } else { "one" };
    harness.now_ms += 3_000;
    harness.report(other, &[], &[]);
    harness.restart(&first);
    harness.claim(&first);
    harness.write_records();
    harness.plan();
    harness.confirm_starts();
    harness.now_ms += 3_000;
    harness.restart(other);
    harness.write_records();
    for job in jobs {
        assert_ne!(harness.shard.job_status(job), Some(JobStatus::Failed));
    }
}

/// Guards against long-running tasks standing still until all suspects before them have outlived their starts, one after
/// the other. Short tasks still wait, so that most crashes have one suspect.
#[test]
fn a_long_running_task_that_waited_starts_beside_a_suspect() {
    let mut harness = Harness::open(&["one"]);
    let suspect = harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.crash("one");
    harness.plan();
    assert_eq!(started_jobs(&harness), [suspect]);
    let service = harness.submit(8, 0, vec![service_step(1, "web")]);
    harness.submit(9, 0, vec![step(1)]);
    // The start of the suspect gets no answer, and no report lists it.
    harness.starts.clear();
    for _ in 0..5 {
        harness.now_ms += 500;
        harness.claim("one");
        harness.plan();
        assert_eq!(started_jobs(&harness), []);
    }
    harness.now_ms += 500;
    harness.claim("one");
    harness.plan();
    assert_eq!(started_jobs(&harness), [service]);
}

/// Guards against the tasks of a crashed server standing still for more than the 6 s that the service contract allows,
/// since they are all suspects and start one by one.
#[test]
fn many_long_running_suspects_run_again_in_time() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![service_step(14, "web")]);
    harness.plan();
    assert_eq!(harness.starts.len(), 14);
    harness.crash("one");
    for _ in 0..7 {
        harness.plan();
        harness.confirm_starts();
        harness.now_ms += 500;
        harness.report_running_on("one", &[job]);
    }
    let running = harness.shard.runs_on(harness.key("one")).len();
    assert_eq!(running, 14, "3.5 s after the server was back");
}

/// Guards against a job being failed because two of its starts were lost before their servers restarted for other
/// reasons.
#[test]
fn a_start_that_no_report_lists_is_no_suspect() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    for _ in 0..2 {
        harness.plan();
        let (server, request) = harness.starts.pop().expect("the task was started");
        harness.now_ms += 300;
        let now_ms = harness.now_ms;
        harness
            .shard
            .start_replied(server, &request, StartReply::Unknown, now_ms);
        harness.now_ms += 300;
        harness.claim("one");
        harness.now_ms += 1_000;
        harness.restart("one");
        harness.write_records();
        harness.confirm_stops();
        harness.claim("one");
    }
    assert_ne!(harness.shard.job_status(job), Some(JobStatus::Failed));
}

/// Guards against a start that crashed its server being cleared by a report that the server had sent before.
#[test]
fn an_early_report_does_not_clear_a_start() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    for _ in 0..2 {
        harness.plan();
        harness.now_ms += 300;
        harness.confirm_starts();
        // The report to a poll that was sent with the start.
        let server = harness.key("one");
        let started_unix_ms = harness.shard.server(server).unwrap().started_unix_ms;
        let report = Report {
            sent_ms: harness.now_ms,
            started_unix_ms,
            clock_ms: harness.now_ms + 7,
            ..Report::default()
        };
        harness.now_ms += 100;
        harness.shard.apply_report(server, &report, harness.now_ms);
        harness.now_ms += 1_000;
        harness.restart("one");
        harness.write_records();
        harness.confirm_stops();
        harness.claim("one");
    }
    assert_eq!(harness.shard.job_status(job), Some(JobStatus::Failed));
}

/// Guards against a job being failed although no server is known to have begun its task: its starts were sent to servers
/// that had lost power.
#[test]
fn a_start_without_an_answer_is_no_suspect() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(1)]);
    for _ in 0..4 {
        harness.plan();
        let (server, request) = harness.starts.pop().expect("the task was started");
        harness.now_ms += 600;
        let now_ms = harness.now_ms;
        harness
            .shard
            .start_replied(server, &request, StartReply::Unknown, now_ms);
        harness.now_ms += 2_000;
        harness.restart("one");
        harness.write_records();
        harness.confirm_stops();
        harness.claim("one");
        harness.now_ms += 12_000;
        harness.claim("one");
    }
    assert_eq!(harness.shard.job_status(job), Some(JobStatus::Queued));
}

/// Guards against a job being failed because its task starts on the same unsound server again and again although others
/// are sound.
#[test]
fn a_suspect_starts_on_a_server_that_has_not_crashed_under_it() {
    let mut harness = Harness::open(&["one", "two", "three"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    let started_on = harness.confirm_starts()[0].0;
    let first = harness.name(started_on);
    harness.crash(&first);
    for name in ["one", "two", "three"] {
        harness.claim(name);
    }
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
    assert_ne!(harness.name(harness.starts[0].0), first);
}

/// Guards against a job being failed for the crashes of a suspect beside which its task was started.
#[test]
fn a_task_that_starts_beside_a_suspect_is_not_suspected() {
    let mut harness = Harness::open(&["one"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.crash("one");
    harness.plan();
    let service = harness.submit(8, 0, vec![service_step(1, "web")]);
    // The start of the suspect gets no answer, and no report lists it.
    harness.starts.clear();
    for _ in 0..6 {
        harness.now_ms += 500;
        harness.claim("one");
        harness.plan();
    }
    assert_eq!(started_jobs(&harness), [service]);
    harness.confirm_starts();
    harness.write_records();
    harness.restart("one");
    assert!(!harness.recorded_suspects().contains(&service));
}
