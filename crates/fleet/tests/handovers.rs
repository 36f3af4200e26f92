//! Handovers of several terms in a row.

mod common;

use common::{Harness, run_end, service_step, step, task_id};
use primrosestack_fleet::bounds::Bounds;
use primrosestack_fleet::handover::{Handover, PastTerms};
use primrosestack_fleet::report::EndKind;
use primrosestack_fleet::shard::JobStatus;

/// Guards against several short terms in a row that each wait anew for a server that none of their owners reached: after
/// a rolling restart, long-running tasks stood still for 21 s.
#[test]
fn owners_that_never_reached_a_server_do_not_extend_the_wait() {
    const TERM_MS: u64 = 2_000;
    let mut first = Harness::open(&["gone"]);
    first.submit_at(1, 0, vec![service_step(1, "a")], 50);
    first.plan();
    first.confirm_starts();
    let mut handovers = vec![first.handover()];
    let lease_ms = Bounds::lease_upper_bound_ms(common::BOUNDS.lease_ms());
    for term in 2..4 {
        let mut owner = Harness::open_term(term, &["gone"], &["two"]);
        owner.claim("two");
        owner.write_records();
        owner.submit_at(1, 0, vec![service_step(1, "a")], 50);
        for handover in &handovers {
            owner.shard.apply_handover(handover, owner.now_ms);
        }
        owner.now_ms += TERM_MS;
        owner.claim("two");
        owner.plan();
        assert!(
            owner.starts.is_empty(),
            "the first lease may still be valid"
        );
        handovers.push(owner.handover());
    }
    let mut last = Harness::open_term(4, &["gone"], &["two"]);
    last.claim("two");
    last.write_records();
    last.submit_at(1, 0, vec![service_step(1, "a")], 50);
    last.shard.apply_handover(&handovers[2], last.now_ms);
    last.now_ms += lease_ms - 2 * TERM_MS - 1;
    last.claim("two");
    last.plan();
    assert!(last.starts.is_empty(), "the first lease may still be valid");
    last.now_ms += 1;
    last.claim("two");
    last.plan();
    assert_eq!(last.starts.len(), 1);
}

/// Guards against a host that owns a shard again answering for its earlier term as if it had been restarted: its own
/// handover was replaced by that of the new term.
#[test]
fn handovers_of_several_terms_are_kept() {
    let mut past = PastTerms::default();
    past.insert(Harness::open(&["one"]).handover());
    past.insert(Handover::unopened(3));
    past.insert(Handover {
        settled: true,
        ..Handover::unopened(3)
    });
    assert!(past.find(1).is_some());
    assert!(past.find(2).is_none());
    assert!(past.find(3).is_some_and(|handover| handover.settled));
    for term in 4..100 {
        past.insert(Handover::unopened(term));
    }
    assert!(past.find(1).is_none(), "the number is limited");
}

/// Guards against a start after the last permitted attempt: the successor hears of the last failure first, and of an earlier
/// one only when its server answers.
#[test]
fn unrecorded_failures_are_handed_over() {
    let mut first = Harness::open(&["one", "two", "three"]);
    let job = first.submit_at(1, 0, vec![step(1)], 50);
    let task = task_id(job, 0, 0);
    let mut ends = Vec::new();
    for run in 1..=3 {
        first.plan();
        let starts = first.confirm_starts();
        assert_eq!(starts.len(), 1);
        let name = first.name(starts[0].0);
        first.now_ms += 200;
        ends.push((name.clone(), run_end(1, task, run, EndKind::Failed)));
        first.report(&name, &[], &[run_end(1, task, run, EndKind::Failed)]);
    }
    let handover = first.handover();
    let servers = ["one", "two", "three", "new"];
    let mut second = Harness::open_term(2, &servers[..3], &servers);
    second.claim("new");
    second.submit_at(1, 0, vec![step(1)], 50);
    second.shard.apply_handover(&handover, second.now_ms);
    let (last_server, last_end) = &ends[2];
    second.report(last_server, &[], std::slice::from_ref(last_end));
    second.write_records();
    second.plan();
    assert_eq!(second.starts.len(), 0);
    assert_eq!(second.shard.job_status(job), Some(JobStatus::Failed));
}
