//! Log lines and metrics.

use log::Level;
use primrosestack::logs::{self, ERROR_EVENTS, Line, WARNING_EVENTS};
use primrosestack::metrics::{Direction, Metrics, Outcome, RequestRecord, TEAM_LIMIT, TaskEvent};
use primrosestack_core::capacity::Resources;
use primrosestack_core::event::{
    LogEvent, NotRun, ServerCommand, ServerReply, StoreCall, StoreReply,
};
use primrosestack_core::ids::{Attempt, JobId, ServerTimestamp, TaskId};
use test_case::test_case;

/// Guards against values that inject a line break or another key-value pair into a log line.
#[test_case("plain-1.2:3/x", "plain-1.2:3/x"; "bare")]
#[test_case("", "\"\""; "empty")]
#[test_case("two words", "\"two words\""; "space")]
#[test_case("x=1", "\"x=1\""; "equals sign")]
#[test_case("a\nlevel=error", "\"a\\nlevel=error\""; "line break")]
#[test_case("a\"b\\c", "\"a\\\"b\\\\c\""; "quote and backslash")]
#[test_case("\u{1b}[2J", "\"\\u{1b}[2J\""; "terminal escape")]
#[test_case("a\u{2028}b", "\"a\\u{2028}b\""; "line separator")]
fn values_are_quoted_when_needed(value: &str, expected: &str) {
    let line = Line::formatted(Level::Info, "test").with_reason(value);
    let expected = format!("level=info event=test reason={expected}");
    assert_eq!(line.text(), Some(expected.as_str()));
}

/// Guards against an event of the core that is logged without its term, task or subject.
#[test]
fn a_notice_names_term_task_and_subject() {
    let job = JobId(0xabc);
    let log_event = LogEvent {
        event: "server_quarantined",
        term: 7,
        task: Some(TaskId { job, index: 3 }),
        subject: "worker-9".into(),
    };
    let level = logs::event_level(&log_event);
    let line = Line::formatted(level, log_event.event).with_event(&log_event);
    let expected =
        "level=warn event=server_quarantined term=7 task=0000000000000abc/3 subject=worker-9";
    assert_eq!(line.text(), Some(expected));
}

/// Guards against a level that is configured for an event that the core no longer logs, and against an unsorted list,
/// in which the binary search would miss events.
#[test]
fn levels_are_of_notices_that_the_core_sends() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/crates/core/src");
    let mut source = String::new();
    for file in std::fs::read_dir(directory).unwrap() {
        source += &std::fs::read_to_string(file.unwrap().path()).unwrap();
    }
    for (names, level) in [
        (&ERROR_EVENTS[..], Level::Error),
        (&WARNING_EVENTS[..], Level::Warn),
    ] {
        for event in names {
            assert!(source.contains(&format!("log(\"{event}\"")), "{event}");
            let log_event = LogEvent {
                event,
                term: 1,
                task: None,
                subject: "".into(),
            };
            assert_eq!(logs::event_level(&log_event), level, "{event}");
        }
    }
}

/// Guards against a misspelt level that silently selects the default.
#[test]
fn unknown_levels_are_refused() {
    assert!(logs::parse_level("Info").is_err());
    assert!(logs::parse_level("debug").is_ok());
}

fn request(team: &str, outcome: Outcome) -> RequestRecord<'_> {
    RequestRecord {
        team,
        service: "quotes",
        failure_domain: "poa",
        outcome,
        latency_ms: 12.0,
    }
}

fn log_event(event: &'static str) -> LogEvent {
    LogEvent {
        event,
        term: 1,
        task: None,
        subject: "".into(),
    }
}

fn start() -> ServerCommand {
    ServerCommand::Start {
        stamp: ServerTimestamp::default(),
        lease_ms: 1,
        task: TaskId {
            job: JobId(1),
            index: 0,
        },
        attempt: Attempt::default(),
        kind: "k".into(),
        size: Resources::default(),
        run_ms: 1,
        resume: Some("c".into()),
    }
}

/// Guards against outcomes that are counted under the wrong reason, and against instruments that a scrape omits.
#[test]
fn a_scrape_shows_what_was_recorded() {
    let metrics = Metrics::open().unwrap();
    metrics.record_request(&request("t1", Outcome::Answered(200)));
    metrics.record_request(&request("t1", Outcome::NotRun(NotRun::Overloaded)));
    metrics.record_task(TaskEvent::Evicted);
    metrics.record_log_event(&log_event("job_parked"));
    metrics.record_command(&start(), &ServerReply::Done);
    metrics.record_command(&start(), &ServerReply::Lost);
    metrics.record_peer_frame(Direction::Sent, 41);
    let key = "k".into();
    metrics.record_store_call(&StoreCall::Read { key }, &StoreReply::Lost);
    metrics.set_shards(2);
    let text = metrics.clone().scrape().unwrap();
    for line in [
        "primrose_requests_total{outcome=\"answered\",reason=\"none\",team=\"t1\"} 1",
        "primrose_requests_total{outcome=\"not_run\",reason=\"overloaded\",team=\"t1\"} 1",
        "primrose_request_duration_ms_count{failure_domain=\"poa\",service=\"quotes\"} 2",
        "primrose_tasks_total{event=\"evicted\"} 1",
        "primrose_tasks_total{event=\"parked\"} 1",
        "primrose_tasks_total{event=\"started\"} 1",
        "primrose_tasks_total{event=\"resumed\"} 1",
        "primrose_peer_frame_bytes_total{direction=\"sent\"} 41",
        "primrose_store_calls_total{kind=\"read\",result=\"lost\"} 1",
        "primrose_shards_owned 2",
    ] {
        assert!(text.lines().any(|found| found == line), "{line}\n{text}");
    }
}

/// Guards against memory that grows without limit when callers send arbitrary team names.
#[test]
fn labels_beyond_the_limit_go_to_other() {
    let metrics = Metrics::open().unwrap();
    for number in 0..TEAM_LIMIT + 50 {
        let team = format!("team-{number}");
        metrics.record_request(&request(&team, Outcome::Unknown));
    }
    let text = metrics.scrape().unwrap();
    let is_series = |line: &&str| line.starts_with("primrose_requests_total{");
    assert_eq!(text.lines().filter(is_series).count(), TEAM_LIMIT + 1);
    let other = "primrose_requests_total{outcome=\"unknown\",reason=\"none\",team=\"other\"} 50";
    assert!(text.lines().any(|line| line == other), "{text}");
}
