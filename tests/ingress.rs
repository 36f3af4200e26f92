//! Which connections are admitted and closed, and what bodies may take.

use std::net::{IpAddr, Ipv4Addr};

use primrosestack::daemon::ingress::limits::{CallerLimits, HostSize, Limits};
use primrosestack::daemon::ingress::table::{Admission, ConnectionKey, Limit, Phase, Table};
use test_case::test_case;

fn table(settings: &CallerLimits) -> Table {
    Table::open(Limits::for_callers(settings, HostSize::from_settings(0, 0)))
}

fn connections(connections_max: usize) -> CallerLimits {
    CallerLimits {
        connections_max,
        ..CallerLimits::default()
    }
}

fn address(last: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, last).into()
}

fn admit(table: &mut Table, from: u8, now_ms: u64) -> (ConnectionKey, Option<ConnectionKey>) {
    match table.admit(address(from), now_ms) {
        Admission::Admitted { key, shed } => (key, shed.map(|(victim, _)| victim)),
        Admission::Refused(limit) => panic!("refused by {limit:?}"),
    }
}

/// Guards against closing idle callers, or those that read and send, while others are stuck in a request.
#[test]
fn stalled_connections_are_shed_first_and_idle_ones_next() {
    let mut table = table(&connections(4));
    let keys: Vec<ConnectionKey> = (0..4).map(|at| admit(&mut table, 1, at).0).collect();
    table.set_phase(keys[1], Phase::Body, 20);
    table.set_phase(keys[2], Phase::Answer, 10);
    table.sent(keys[2], 30);
    table.begin_request(keys[3], 5);
    assert_eq!(admit(&mut table, 1, 40).1, Some(keys[1]));
    assert_eq!(admit(&mut table, 1, 41).1, Some(keys[2]));
    assert_eq!(admit(&mut table, 1, 42).1, Some(keys[0]));
}

/// Guards against closing a connection whose job is being stored: the caller would not learn that it was accepted.
#[test]
fn connections_with_a_job_being_stored_are_never_closed() {
    let mut table = table(&connections(2));
    for _ in 0..2 {
        let (key, _) = admit(&mut table, 1, 0);
        table.begin_request(key, 0);
    }
    let refused = Admission::Refused(Limit::Connections);
    assert_eq!(table.admit(address(2), 9), refused);
    assert!(table.close_overdue(1 << 40).is_empty());
}

/// Guards against a caller that takes the connections of others where the operator limits those of an address.
#[test]
fn an_address_over_its_limit_loses_a_connection_of_its_own() {
    let mut table = table(&CallerLimits {
        connections_per_address_max: 2,
        ..connections(8)
    });
    admit(&mut table, 1, 0);
    let (first, _) = admit(&mut table, 2, 1);
    admit(&mut table, 2, 2);
    assert_eq!(admit(&mut table, 2, 3).1, Some(first));
}

/// Guards against unfinished bodies that keep complete ones from being accepted, and against bytes that are never
/// returned.
#[test]
fn incomplete_bodies_leave_a_quarter_of_the_budget() {
    let mut table = table(&CallerLimits {
        body_bytes_total_max: 1_000,
        ..connections(8)
    });
    assert!(table.reserve(0, 750, false));
    assert!(!table.reserve(0, 1, false));
    assert!(table.reserve(0, 250, true));
    assert!(!table.reserve(0, 1, true));
    assert!(table.reserve(750, 0, false));
    assert_eq!(table.body_bytes(), 250);
}

/// Guards against callers that hold a connection for ever, and against closing those that keep within the times.
#[test_case(Phase::Idle, 60_000, Limit::Idle; "idle")]
#[test_case(Phase::Head, 5_000, Limit::HeadTime; "a head")]
#[test_case(Phase::Answer, 10_000, Limit::AnswerStall; "an answer")]
#[test_case(Phase::Body, 1_000, Limit::BodyRate; "a body without progress")]
fn connections_over_a_time_limit_are_closed(phase: Phase, limit_ms: u64, limit: Limit) {
    let mut table = table(&connections(8));
    let (key, _) = admit(&mut table, 1, 0);
    table.set_phase(key, phase, 100);
    assert!(table.close_overdue(100 + limit_ms).is_empty());
    assert_eq!(table.close_overdue(101 + limit_ms + 1), [(key, limit)]);
    assert_eq!(table.connections(), 0);
}

/// Guards against defaults that callers within the figures of the deployments meet: 6,000 connections a minute that are
/// kept idle for 15 s.
#[test_case(160, 4_100; "the smallest host")]
#[test_case(512, 8_192; "the largest host")]
fn the_defaults_admit_the_callers_of_the_deployments(memory_mb: u64, fds: u64) {
    let host = HostSize::from_settings(memory_mb, fds);
    let limits = Limits::for_callers(&CallerLimits::default(), host);
    assert!(limits.connections_max >= 1_500, "{limits:?}");
    assert!(limits.connections_per_address_max >= limits.connections_max);
    assert!(limits.body_bytes_total_max >= 64 * 262_144, "{limits:?}");
    assert!(limits.connections_max * 2 < host.fds);
    let shards = CallerLimits::default().of_shards(host);
    assert!(
        (50_000..200_000).contains(&shards.open_tasks_max),
        "{shards:?}"
    );
    // 1,500 jobs of a failure domain at the design size, with the longest commands.
    assert!(shards.job_bytes_max >= 1_500 * 6_000, "{shards:?}");
    // 100 jobs a second, retained for two minutes.
    assert!(shards.ended_jobs_max >= 100 * 120, "{shards:?}");
}
