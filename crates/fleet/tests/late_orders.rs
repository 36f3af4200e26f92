//! Orders that are carried out after their server began a new life under the same name.

mod common;

use common::{Harness, entry, run_end, run_status, step, task_id};
use primrosestack_fleet::action::{Action, StartReply, StartRequest};
use primrosestack_fleet::job::StepSpec;
use primrosestack_fleet::report::{EndKind, Report, RunStatus, ServerEntry};
use primrosestack_fleet::shard::ServerKey;

/// Start of the second life of a server; the harness gives the first one a lower value.
const SECOND_LIFE_UNIX_MS: u64 = 6;

/// Start of the third life of a server.
const THIRD_LIFE_UNIX_MS: u64 = 7;

/// A start that got no answer, the server that it was sent to, and the name of the other server.
fn start_without_answer(harness: &mut Harness) -> (ServerKey, StartRequest, &'static str) {
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    let (server, request) = harness.starts.pop().expect("the task was started");
    let reply = StartReply::Unknown;
    harness
        .shard
        .start_replied(server, &request, reply, harness.now_ms);
    let other = if harness.name(server) == "one" {
        "two"
    } else {
        "one"
    };
    (server, request, other)
}

/// A new life of a server answers; its clock began anew.
fn report_of_life(
    harness: &mut Harness,
    server: ServerKey,
    started_unix_ms: u64,
    running: &[RunStatus],
) {
    let report = Report {
        sent_ms: harness.now_ms,
        started_unix_ms,
        clock_ms: 100,
        running: running.to_vec(),
        ..Report::default()
    };
    harness.shard.apply_report(server, &report, harness.now_ms);
    harness.write_records();
    harness.plan();
    harness.tick();
}

/// Guards against a task running twice because a start that got no answer is carried out by the next life of its server,
/// which knows neither the lease in the start nor earlier stops, while the task has been started elsewhere.
#[test]
fn a_start_may_be_carried_out_by_the_next_life_of_its_server() {
    let mut harness = Harness::open(&["one", "two"]);
    let (server, request, other) = start_without_answer(&mut harness);
    for _ in 0..3 {
        harness.now_ms += 500;
        harness.report(other, &[], &[]);
        report_of_life(&mut harness, server, SECOND_LIFE_UNIX_MS, &[]);
    }
    assert!(
        harness.starts.is_empty(),
        "the new life has not confirmed a stop of the run"
    );
    let status = run_status(request.task, request.run);
    harness.now_ms += 500;
    harness.report(other, &[], &[]);
    report_of_life(&mut harness, server, SECOND_LIFE_UNIX_MS, &[status]);
    assert!(harness.starts.is_empty(), "the first run is there");
}

/// Guards against a task standing still after its server began a new life: a stop that this life has confirmed keeps the
/// old start out, so that the task can start again.
#[test]
fn a_task_starts_again_once_the_next_life_keeps_its_old_start_out() {
    let mut harness = Harness::open(&["one", "two"]);
    let (server, request, other) = start_without_answer(&mut harness);
    harness.now_ms += 500;
    harness.report(other, &[], &[]);
    report_of_life(&mut harness, server, SECOND_LIFE_UNIX_MS, &[]);
    assert_eq!(harness.stops, [(server, request.task, request.run)]);
    let now_ms = harness.now_ms;
    harness
        .shard
        .stop_replied(server, request.task, request.run, now_ms);
    harness.now_ms += 500;
    harness.report(other, &[], &[]);
    report_of_life(&mut harness, server, SECOND_LIFE_UNIX_MS, &[]);
    assert_eq!(harness.starts.len(), 1);
    assert!(harness.starts[0].1.run > request.run);
}

/// Guards against the answer to a stop by one life of a server being taken for one by the next, which has not heard of it.
#[test]
fn each_life_of_a_server_has_to_confirm_a_stop() {
    let mut harness = Harness::open(&["one", "two"]);
    let (server, request, other) = start_without_answer(&mut harness);
    harness.now_ms += 500;
    report_of_life(&mut harness, server, SECOND_LIFE_UNIX_MS, &[]);
    let now_ms = harness.now_ms;
    harness
        .shard
        .stop_replied(server, request.task, request.run, now_ms);
    for _ in 0..3 {
        harness.now_ms += 500;
        harness.report(other, &[], &[]);
        report_of_life(&mut harness, server, THIRD_LIFE_UNIX_MS, &[]);
    }
    assert!(harness.starts.is_empty());
}

/// Guards against tasks whose runs were confirmed, and which therefore ended with their server, waiting for its next life.
#[test]
fn a_confirmed_run_ends_with_the_life_of_its_server() {
    let mut harness = Harness::open(&["one", "two"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    let (server, _) = harness.confirm_starts()[0].clone();
    let other = if harness.name(server) == "one" {
        "two"
    } else {
        "one"
    };
    harness.now_ms += 500;
    harness.report(other, &[], &[]);
    report_of_life(&mut harness, server, SECOND_LIFE_UNIX_MS, &[]);
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a run being taken for lost because its server restarted, although the start reached the server after the
/// restart and the new life runs it: the registration of that life arrived before its first report.
#[test]
fn a_start_that_the_next_life_confirmed_is_not_taken_for_lost() {
    let mut harness = Harness::open(&["one", "two"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.plan();
    harness.now_ms += 100;
    let (server, request) = harness.confirm_starts()[0].clone();
    let name = harness.name(server);
    let restarted = ServerEntry {
        started_unix_ms: SECOND_LIFE_UNIX_MS,
        ..entry(&name)
    };
    harness.shard.set_server(restarted, harness.now_ms);
    harness.write_records();
    harness.plan();
    assert!(harness.starts.is_empty(), "the new life may run the task");
    harness.now_ms += 500;
    let status = run_status(request.task, request.run);
    report_of_life(&mut harness, server, SECOND_LIFE_UNIX_MS, &[status]);
    assert!(harness.starts.is_empty() && harness.stops.is_empty());
}

/// Guards against a task waiting for ever for the answer to a stop by the new life of a server.
#[test]
fn a_task_does_not_wait_for_ever_for_the_next_life_of_its_server() {
    let mut harness = Harness::open(&["one", "two"]);
    let (server, _, other) = start_without_answer(&mut harness);
    let begin_ms = harness.now_ms;
    while harness.starts.is_empty() && harness.now_ms < begin_ms + 60_000 {
        harness.now_ms += 500;
        harness.report(other, &[], &[]);
        report_of_life(&mut harness, server, SECOND_LIFE_UNIX_MS, &[]);
    }
    let waited_ms = harness.now_ms - begin_ms;
    assert!((12_000..14_000).contains(&waited_ms), "{waited_ms} ms");
}

/// Guards against ends that another owner acknowledged, and that this one therefore never sees, leaving no trace.
#[test]
fn ends_that_the_server_no_longer_lists_are_logged() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(9)]);
    let server = harness.key("one");
    let mut gaps = Vec::new();
    for number in [4, 5, 8] {
        let end = run_end(number, task_id(job, 0, 0), 1, EndKind::Stopped);
        let report = Report {
            sent_ms: harness.now_ms,
            started_unix_ms: 5,
            ended: vec![end],
            ..Report::default()
        };
        harness.shard.apply_report(server, &report, harness.now_ms);
        for action in harness.shard.take_actions() {
            let Action::Log(decision) = action else {
                continue;
            };
            if decision.event == "ends_missing" {
                gaps.push(decision.inputs);
            }
        }
    }
    assert_eq!(gaps, [[("after", 5), ("before", 8)]]);
}

/// A task whose unanswered start was stopped, and which has been started again.
fn stopped_start(harness: &mut Harness) -> (ServerKey, StartRequest, &'static str) {
    let (server, request, other) = start_without_answer(harness);
    let name = harness.name(server);
    harness.now_ms += 500;
    harness.report(&name, &[], &[]);
    assert_eq!(harness.stops, [(server, request.task, request.run)]);
    harness.confirm_stops();
    harness.now_ms += 500;
    harness.report(&name, &[], &[]);
    harness.report(other, &[], &[]);
    harness.plan();
    assert_eq!(harness.confirm_starts().len(), 1, "the task starts again");
    (server, request, other)
}

/// Guards against a task running twice because a start that got no answer was stopped in one life of its server, and the
/// next one, which has not heard of the stop, carries it out.
#[test]
fn a_stopped_start_is_stopped_in_the_next_life_of_its_server() {
    let mut harness = Harness::open(&["one", "two"]);
    let (server, request, _) = stopped_start(&mut harness);
    let stop = (server, request.task, request.run);
    for life_unix_ms in [SECOND_LIFE_UNIX_MS, THIRD_LIFE_UNIX_MS] {
        harness.now_ms += 500;
        report_of_life(&mut harness, server, life_unix_ms, &[]);
        assert!(harness.stops.contains(&stop), "life {life_unix_ms}");
        harness.stops.clear();
        harness.now_ms += 1_200;
        report_of_life(&mut harness, server, life_unix_ms, &[]);
        assert!(harness.stops.contains(&stop), "it was not confirmed");
        harness.confirm_stops();
        harness.now_ms += 1_200;
        report_of_life(&mut harness, server, life_unix_ms, &[]);
        assert!(!harness.stops.contains(&stop), "it was confirmed");
    }
}

/// Guards against the registration of a new life, which may precede its first report by a second, leaving time for an old
/// start.
#[test]
fn a_stopped_start_is_stopped_at_the_registration_of_the_next_life() {
    let mut harness = Harness::open(&["one", "two"]);
    let (server, request, _) = stopped_start(&mut harness);
    let restarted = ServerEntry {
        started_unix_ms: SECOND_LIFE_UNIX_MS,
        ..entry(&harness.name(server))
    };
    harness.now_ms += 500;
    harness.shard.set_server(restarted, harness.now_ms);
    harness.tick();
    let stop = (server, request.task, request.run);
    assert!(harness.stops.contains(&stop));
}

/// Guards against an old start being forgotten with its server, whose registration expired before the next life began.
#[test]
fn a_stopped_start_is_stopped_when_its_server_is_registered_again() {
    let mut harness = Harness::open(&["one", "two"]);
    let (server, request, other) = start_without_answer(&mut harness);
    let name = harness.name(server);
    harness.shard.unregister_server(&name);
    while harness.shard.find_server(&name).is_some() {
        harness.now_ms += 500;
        harness.report(other, &[], &[]);
        harness.tick();
    }
    let age_ms = harness.now_ms - common::START_MS;
    assert!(age_ms < 10_000, "dropped after {age_ms} ms");
    let restarted = ServerEntry {
        started_unix_ms: SECOND_LIFE_UNIX_MS,
        ..entry(&name)
    };
    let server = harness.shard.set_server(restarted, harness.now_ms);
    harness.tick();
    let stop = (server, request.task, request.run);
    assert!(harness.stops.contains(&stop));
}

/// Guards against stops without end: 12 s after a start was sent it is no longer carried out.
#[test]
fn an_old_start_is_forgotten_once_it_can_no_longer_be_carried_out() {
    let mut harness = Harness::open(&["one", "two"]);
    let (server, request, _) = stopped_start(&mut harness);
    harness.now_ms += 12_000;
    report_of_life(&mut harness, server, SECOND_LIFE_UNIX_MS, &[]);
    let stop = (server, request.task, request.run);
    assert!(!harness.stops.contains(&stop));
}

/// Guards against a task running twice because the next life of a server carries out a start that the present one refuses: as
/// long as it may, the task runs on that server, so that its run ends with the present life.
#[test]
fn a_task_stays_on_the_server_that_may_carry_out_its_old_start() {
    let mut harness = Harness::open(&["one", "two"]);
    for name in ["one", "two"] {
        let labelled = ServerEntry {
            labels: vec![name.into()],
            ..entry(name)
        };
        harness.shard.set_server(labelled, harness.now_ms);
    }
    let (server, request, other) = start_without_answer(&mut harness);
    let name = harness.name(server);
    let beside = StepSpec {
        label: other.into(),
        ..step(8)
    };
    let filler = harness.submit(8, 0, vec![beside]);
    harness.plan();
    assert_eq!(harness.confirm_starts().len(), 8);
    harness.now_ms += 500;
    harness.report(&name, &[], &[]);
    harness.confirm_stops();
    harness.now_ms += 500;
    harness.report_running_on(other, &[filler]);
    harness.report(&name, &[], &[]);
    harness.plan();
    let starts = harness.confirm_starts();
    assert_eq!((starts[0].0, starts[0].1.task), (server, request.task));
    assert_eq!(starts[0].1.run, request.run + 1);
}

/// Guards against the same where the run ends with its server: the next life has to refuse the old start first.
#[test]
fn a_task_waits_until_the_next_life_refuses_its_old_start() {
    let mut harness = Harness::open(&["one", "two"]);
    let (server, request, other) = stopped_start(&mut harness);
    let own_runs = harness.shard.runs_on(server);
    assert_eq!(own_runs.len(), 1, "the task runs on the same server again");
    harness.now_ms += 500;
    harness.report(other, &[], &[]);
    report_of_life(&mut harness, server, SECOND_LIFE_UNIX_MS, &[]);
    assert!(harness.starts.is_empty());
    harness.confirm_stops();
    harness.plan();
    assert!(
        harness.starts.is_empty(),
        "it may have begun before the stop"
    );
    harness.now_ms += 500;
    harness.report(other, &[], &[]);
    let status = run_status(request.task, request.run);
    report_of_life(&mut harness, server, SECOND_LIFE_UNIX_MS, &[status]);
    assert!(harness.starts.is_empty(), "it has begun");
    harness.confirm_stops();
    harness.now_ms += 500;
    harness.report(other, &[], &[]);
    report_of_life(&mut harness, server, SECOND_LIFE_UNIX_MS, &[]);
    assert_eq!(harness.starts.len(), 1);
}
