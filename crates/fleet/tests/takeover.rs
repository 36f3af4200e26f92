//! Change of owner: the successor must not start tasks that may still run, or have ended, under the predecessor.

mod common;

use common::{Harness, run_end, run_status, service_step, step, task_id};
use primrosestack_fleet::handover::Handover;
use primrosestack_fleet::record::{Progress, Term, longest_authority_ms};
use primrosestack_fleet::report::EndKind;
use test_case::test_case;

/// Time until all leases of earlier owners have expired.
fn predecessor_expiry_ms() -> u64 {
    common::BOUNDS.predecessor_expiry_ms(Some(common::BOUNDS.authority_ms()))
}

/// Guards against a task being started again because one server reports the stop of its first run while its second run
/// is done on a server that has not been claimed yet.
#[test]
fn an_old_end_does_not_release_a_task_before_all_servers_answered() {
    let mut harness = Harness::open_term(2, &["one", "two"], &["one", "two"]);
    let job = harness.submit_at(7, 0, vec![step(1)], 50);
    harness.claim("one");
    harness.write_records();
    harness.report(
        "one",
        &[],
        &[run_end(1, task_id(job, 0, 0), 1, EndKind::Stopped)],
    );
    harness.plan();
    assert!(
        harness.starts.is_empty(),
        "the second run may be on the unclaimed server"
    );
    harness.report(
        "two",
        &[],
        &[run_end(1, task_id(job, 0, 0), 2, EndKind::Done)],
    );
    harness.write_records();
    harness.plan();
    assert!(harness.starts.is_empty(), "the task is done");
}

/// Guards against tasks on an unclaimed server being started a second time.
#[test]
fn tasks_of_an_earlier_owner_wait_for_silent_servers() {
    let mut harness = Harness::open_term(3, &["one", "two"], &["one", "two"]);
    let job = harness.submit_at(7, 0, vec![step(2)], 50);
    harness.claim("one");
    harness.write_records();
    harness.plan();
    assert!(harness.starts.is_empty());
    harness.report("two", &[run_status(task_id(job, 0, 0), 1)], &[]);
    harness.plan();
    let starts = harness.confirm_starts();
    assert_eq!(
        starts.len(),
        1,
        "only the task that no server lists is started"
    );
    assert_eq!(starts[0].1.task, task_id(job, 0, 1));
    assert!(
        starts[0].1.run > 2_000,
        "runs of a term are numbered above all runs of earlier terms"
    );
}

/// Guards against tasks waiting forever for a lost server.
#[test]
fn silent_servers_are_waited_for_until_their_leases_have_ended() {
    let mut harness = Harness::open_term(2, &["one", "two"], &["one"]);
    harness.submit_at(7, 0, vec![step(1)], 50);
    harness.claim("one");
    harness.write_records();
    harness.now_ms += predecessor_expiry_ms() - 1;
    harness.claim("one");
    harness.plan();
    assert!(harness.starts.is_empty());
    harness.now_ms += 1;
    harness.claim("one");
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a long-running task staying without a run after its server and its owner are both gone for good. It may
/// miss 10 s, of which noticing and replacing the owner takes 2.6 s.
#[test]
fn tasks_of_a_lost_server_start_soon_after_their_owner_is_replaced() {
    const START_WITHIN_MS: u64 = 10_000 - 2_600;
    let mut harness = Harness::open_term(2, &["one", "gone"], &["one"]);
    harness.submit_at(7, 0, vec![service_step(1, "web")], 50);
    harness.claim("one");
    harness.write_records();
    harness.now_ms += START_WITHIN_MS;
    harness.claim("one");
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against an owner of an earlier release, which acts for as long as the longest lease, being waited for too
/// briefly: its tasks would run twice.
#[test_case(&[6_000, 5_000], Some(6_000); "all tell")]
#[test_case(&[6_000, 0], None; "one does not tell")]
#[test_case(&[], None; "no owner is known")]
fn the_longest_authority_counts(authorities_ms: &[u64], longest_ms: Option<u64>) {
    let mut term = Term::default();
    for &authority_ms in authorities_ms {
        term.number += 1;
        term = term.with_owner("host:1", authority_ms);
    }
    assert_eq!(longest_authority_ms(&term.owners), longest_ms);
    let wait_ms = common::BOUNDS.predecessor_expiry_ms(longest_ms);
    assert!(wait_ms > longest_ms.unwrap_or(common::BOUNDS.lease_max_ms));
}

/// Guards against a task waiting for servers that do not answer although its own server reports that its last run has
/// ended, and against starting it while a later run may be on one of them.
#[test_case(0, true; "the last run has ended")]
#[test_case(1, false; "a later run may go on")]
fn a_task_handed_over_waits_only_for_its_last_run(later_runs: u32, starts: bool) {
    let mut first = Harness::open(&["one", "gone"]);
    let job = first.submit(1, 0, vec![service_step(1, "a")]);
    first.plan();
    let run = first.confirm_starts()[0].1.run;
    let mut handover = first.handover();
    handover.in_flight[0].last_run += later_runs;
    let lapsed = run_end(1, task_id(job, 0, 0), run, EndKind::LeaseExpired);
    for end_comes_first in [true, false] {
        let mut second = Harness::open_term(2, &["one", "gone"], &["one"]);
        second.submit_at(1, 0, vec![service_step(1, "a")], 50);
        if end_comes_first {
            second.report("one", &[], std::slice::from_ref(&lapsed));
        }
        second.shard.apply_handover(&handover, second.now_ms);
        second.report("one", &[], std::slice::from_ref(&lapsed));
        second.write_records();
        second.plan();
        assert_eq!(!second.starts.is_empty(), starts);
    }
}

/// Guards against waiting for the leases of a server at whose address another one answers.
#[test]
fn a_replaced_server_is_not_waited_for() {
    let mut harness = Harness::open_term(2, &["one", "two"], &["one", "two"]);
    harness.submit_at(7, 0, vec![service_step(1, "a")], 50);
    harness.claim("one");
    harness.write_records();
    harness.plan();
    assert!(harness.starts.is_empty());
    let replaced = harness.key("two");
    harness.shard.server_replaced(replaced, harness.now_ms);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against jobs accepted in the new term waiting for silent servers.
#[test]
fn a_job_accepted_after_the_change_starts_at_once() {
    let mut harness = Harness::open_term(2, &["one", "two"], &["one", "two"]);
    harness.claim("one");
    harness.write_records();
    harness.submit_at(8, 0, vec![step(1)], 101);
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against acknowledging an end before its job is recorded, since a later owner could not learn of it.
#[test]
fn ends_are_acknowledged_after_their_record_only() {
    let mut harness = Harness::open(&["one"]);
    let job = harness.submit(7, 0, vec![step(2)]);
    harness.plan();
    let starts = harness.confirm_starts();
    let done = run_end(1, task_id(job, 0, 0), starts[0].1.run, EndKind::Done);
    harness.report("one", &[run_status(task_id(job, 0, 1), 1)], &[done]);
    let key = harness.key("one");
    assert_eq!(
        harness
            .shard
            .server(key)
            .map(|server| server.acknowledged_end),
        Some(0)
    );
    let batch = harness.shard.take_batch(harness.now_ms);
    assert!(
        batch
            .jobs
            .iter()
            .any(|record| record.id == job && recorded_done(&record.progress) == 1)
    );
    harness.shard.batch_written(&batch);
    assert_eq!(
        harness
            .shard
            .server(key)
            .map(|server| server.acknowledged_end),
        Some(1)
    );
}

fn recorded_done(progress: &Progress) -> usize {
    progress.tasks.iter().filter(|task| task.done).count()
}

/// Guards against all accepted jobs waiting for a silent server, for up to 13 s, although the predecessor never started
/// them. The predecessor lost the store but can still hand over.
#[test]
fn tasks_that_the_predecessor_did_not_start_start_at_once() {
    let mut predecessor = Harness::open(&["one", "two"]);
    let started_job = predecessor.submit_at(1, 0, vec![step(1)], 50);
    predecessor.plan();
    predecessor.confirm_starts();
    let handover = predecessor.handover();

    let mut harness = Harness::open_term(2, &["one", "two"], &["one", "two"]);
    harness.claim("one");
    harness.write_records();
    harness.submit_at(1, 0, vec![step(1)], 50);
    let waiting_job = harness.submit_at(2, 0, vec![step(2)], 60);
    harness.plan();
    assert!(
        harness.starts.is_empty(),
        "the silent server may run any of them"
    );
    harness.shard.apply_handover(&handover, harness.now_ms);
    harness.plan();
    assert_eq!(harness.starts.len(), 2);
    assert!(
        harness
            .starts
            .iter()
            .all(|(_, request)| request.task.job == waiting_job)
    );
    harness.now_ms += 5_200;
    harness.claim("one");
    harness.plan();
    let restarted = harness
        .starts
        .iter()
        .any(|(_, request)| request.task.job == started_job);
    assert!(restarted, "the predecessor's leases have ended");
}

/// Guards against the successor starting a task again whose end the predecessor could not record before it lost the
/// store. Runs of jobs accepted within a term are numbered from 1.
#[test]
fn tasks_with_unrecorded_ends_are_handed_over_as_in_flight() {
    let mut predecessor = Harness::open_term(2, &[], &["one"]);
    predecessor.claim("one");
    predecessor.write_records();
    let job = predecessor.submit(1, 0, vec![step(2)]);
    predecessor.plan();
    let starts = predecessor.confirm_starts();
    predecessor.report_end(
        "one",
        &run_end(1, starts[0].1.task, starts[0].1.run, EndKind::Done),
    );
    let handover = predecessor.handover();
    let in_flight: Vec<u32> = handover.in_flight.iter().map(|task| task.index).collect();
    assert_eq!(
        in_flight.len(),
        2,
        "one task has an unrecorded end, the other is running"
    );
    assert!(handover.in_flight.iter().all(|task| task.job == job.0));
}

/// Guards against the handover of an earlier term being applied as that of the predecessor.
#[test]
fn a_handover_of_an_earlier_term_is_ignored() {
    let mut harness = Harness::open_term(3, &["one"], &["one"]);
    harness.submit_at(1, 0, vec![step(1)], 50);
    let handover = Handover {
        term: 1,
        settled: true,
        ..Handover::default()
    };
    harness.shard.apply_handover(&handover, harness.now_ms);
    harness.plan();
    assert!(harness.starts.is_empty());
}

/// Guards against the leases of the first owner being forgotten after two changes of owner, because the second owner
/// hands over only its own in-flight tasks.
#[test]
fn an_unsettled_predecessor_does_not_shorten_the_wait() {
    let mut second = Harness::open_term(2, &["one"], &["one"]);
    let job = second.submit_at(1, 0, vec![step(1)], 50);
    let handover = second.handover();
    assert!(!handover.settled);

    let mut harness = Harness::open_term(3, &["one"], &["one", "two"]);
    harness.claim("two");
    harness.write_records();
    harness.submit_at(1, 0, vec![step(1)], 50);
    harness.shard.apply_handover(&handover, harness.now_ms);
    harness.now_ms += predecessor_expiry_ms() - 1;
    harness.claim("two");
    harness.plan();
    assert!(
        harness.starts.is_empty(),
        "the first owner's lease may still be valid"
    );
    harness.now_ms += 1;
    harness.claim("two");
    harness.plan();
    assert_eq!(harness.starts[0].1.task.job, job);
}

/// Guards against the successor of a restarted long-time owner waiting for lost servers as if an even earlier owner
/// could still hold leases.
#[test]
fn a_restarted_predecessor_shortens_the_wait() {
    let mut harness = Harness::open_term(2, &["one", "gone"], &["one"]);
    harness.claim("one");
    harness.write_records();
    harness.submit_at(1, 0, vec![service_step(1, "a")], 50);
    harness.shard.predecessor_ended(1, 20_000, harness.now_ms);
    harness.now_ms += 4_000;
    harness.claim("one");
    harness.plan();
    assert!(
        harness.starts.is_empty(),
        "the predecessor's leases may still be valid"
    );
    harness.now_ms += 1_000;
    harness.claim("one");
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a short-lived predecessor hiding the leases of the owner before it.
#[test]
fn a_short_lived_predecessor_does_not_shorten_the_wait() {
    let mut harness = Harness::open_term(3, &["one", "gone"], &["one"]);
    harness.claim("one");
    harness.write_records();
    harness.submit_at(1, 0, vec![step(1)], 50);
    harness.shard.predecessor_ended(2, 500, harness.now_ms);
    harness.now_ms += predecessor_expiry_ms() - 500 - 1;
    harness.claim("one");
    harness.plan();
    assert!(harness.starts.is_empty());
    harness.now_ms += 1;
    harness.claim("one");
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against the predecessor's lease being forgotten after a server's first answer. If the server is then silent
/// or not polled, its run would be started elsewhere after 1.6 s while it still goes on.
#[test]
fn the_predecessors_lease_outlasts_the_first_answer() {
    let mut harness = Harness::open_term(2, &["one", "two"], &["one", "two"]);
    let job = harness.submit_at(1, 0, vec![step(1)], 50);
    harness.report("one", &[run_status(task_id(job, 0, 0), 1)], &[]);
    harness.claim("two");
    harness.write_records();
    for _ in 0..8 {
        harness.now_ms += 500;
        harness.claim("two");
        harness.tick();
        harness.plan();
        assert!(harness.starts.is_empty(), "the run may go on for 4.9 s");
    }
    harness.now_ms += 1_000;
    harness.claim("two");
    harness.tick();
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a wait that begins anew with each of several short terms: after a zone cut, long-running tasks stood
/// still for 17 s because two owners in a row each waited for the leases of a third.
#[test]
fn a_short_term_does_not_extend_the_wait() {
    let mut second = Harness::open_term(2, &["away", "gone"], &["gone", "two"]);
    second.submit_at(1, 0, vec![service_step(1, "a")], 50);
    second.claim("gone");
    second.now_ms += 7_000;
    let handover = second.handover();

    let mut third = Harness::open_term(3, &["away", "gone"], &["two"]);
    third.claim("two");
    third.write_records();
    third.submit_at(1, 0, vec![service_step(1, "a")], 50);
    third.shard.apply_handover(&handover, third.now_ms);
    third.now_ms += 3_000;
    third.claim("two");
    third.plan();
    assert!(
        third.starts.is_empty(),
        "the second owner's own lease may still be valid"
    );
    third.now_ms += 2_000;
    third.claim("two");
    third.plan();
    assert_eq!(third.starts.len(), 1);
}

/// Guards against tasks waiting for silent servers although the owner before a short-lived one knows that it did not
/// start them.
#[test_case::test_case(false; "the short-lived owner opened the shard")]
#[test_case::test_case(true; "the short-lived owner never opened the shard")]
fn handovers_of_several_owners_add_up(unopened: bool) {
    let mut first = Harness::open(&["one", "gone"]);
    let running_job = first.submit_at(1, 0, vec![step(1)], 50);
    first.plan();
    first.confirm_starts();
    let mut second = Harness::open_term(2, &["one", "gone"], &["one"]);
    second.submit_at(1, 0, vec![step(1)], 50);
    second.submit_at(2, 0, vec![step(1)], 60);

    let mut third = Harness::open_term(3, &["one", "gone"], &["one"]);
    third.claim("one");
    third.write_records();
    third.submit_at(1, 0, vec![step(1)], 50);
    let waiting_job = third.submit_at(2, 0, vec![step(1)], 60);
    let newest = if unopened {
        Handover::unopened(2)
    } else {
        second.handover()
    };
    third.shard.apply_handover(&newest, third.now_ms);
    third.plan();
    assert!(
        third.starts.is_empty(),
        "the first owner may have started both jobs"
    );
    third.shard.apply_handover(&first.handover(), third.now_ms);
    third.plan();
    assert_eq!(third.starts.len(), 1);
    assert_eq!(third.starts[0].1.task.job, waiting_job);
    assert_ne!(waiting_job, running_job);
}

/// Guards against a handover that is combined with that of a restarted owner, which no longer knows what it started.
#[test]
fn a_restarted_owner_hides_what_it_started() {
    let first = Harness::open(&["one", "gone"]);
    let mut third = Harness::open_term(3, &["one", "gone"], &["one"]);
    third.claim("one");
    third.write_records();
    third.submit_at(1, 0, vec![step(1)], 50);
    third.shard.predecessor_ended(2, 1_000, third.now_ms);
    third.shard.apply_handover(&first.handover(), third.now_ms);
    third.plan();
    assert!(
        third.starts.is_empty(),
        "the second owner may have started the job"
    );
    third.now_ms += 5_000;
    third.claim("one");
    third.plan();
    assert_eq!(third.starts.len(), 1, "all leases have ended");
}
