//! Scenarios of one shard: work, callers, journal and servers.

mod common;

use common::*;
use primrosestack_core::journal::ParkReason;
use primrosestack_core::prelude::*;
use primrosestack_core::tasks::JobState;
use primrosestack_core::view::{ServerState, TaskPhase};
use test_case::test_case;

/// Guards against an owner that never acquires a new shard, does not start accepted work, lets its leases lapse or
/// does not record its end.
#[test]
fn acquires_and_runs_a_job() {
    let mut world = opened(2, 2);
    assert_eq!(world.submit(job(1, 3)), accepted(1, true));
    world.run(60_000);
    assert_eq!(world.running_total(), 3, "leases are renewed");
    for index in 0..3 {
        world.end(task(1, index), &TaskState::Succeeded);
    }
    world.run(5_000);
    let view = world.owner_shard().job(JobId(1)).expect("remembered");
    assert_eq!(view.tasks.get(&TaskPhase::Ended), Some(&3));
    let left: usize = world
        .servers
        .values()
        .map(|server| server.attempts.len())
        .sum();
    assert_eq!(left, 0, "ended attempts are acknowledged");
}

/// Guards against a repeated submission that runs the job again, and against a job that is remembered for ever.
#[test]
fn accepts_a_job_once() {
    let mut world = opened(1, 1);
    world.submit(job(1, 1));
    assert_eq!(world.submit(job(1, 1)), accepted(1, false));
    world.run(1_000);
    assert_eq!(world.running_total(), 1);
    world.end(task(1, 0), &TaskState::Succeeded);
    world.run(610_000);
    assert!(world.owner_shard().job(JobId(1)).is_none());
}

/// Guards against a job that no server can hold and that waits for ever instead of being refused.
#[test]
fn refuses_a_task_larger_than_every_server() {
    let mut world = opened(2, 2);
    let spec = JobSpec {
        size: size(9_000),
        ..job(1, 1)
    };
    assert_eq!(world.submit(spec), CallerReply::NotRun(NotRun::TooLarge));
}

/// Guards against a store write for each start: 40 tasks in one rack start with the commit that accepts them.
#[test]
fn starts_need_no_write() {
    let mut world = opened(8, 8);
    let before = world.store.writes;
    world.submit(job(1, 40));
    // The scheduler keeps tasks back until the first ones of their job have shown their need.
    world.run_until(60_000, "all run", |world| world.running_total() == 40);
    assert_eq!(world.store.writes - before, 1);
}

/// Guards against work that waits in a full rack while another rack has room, and that starts there without a record.
#[test]
fn moves_pending_work_to_a_cell_with_room() {
    let mut world = opened(2, 1);
    world.submit(job(1, 8));
    world.submit(job(2, 8));
    world.run(3_000);
    assert_eq!(world.running_total(), 16);
    world.submit(job(3, 4));
    // Everything in one rack ends; what is bound to the other rack has to move.
    for index in 0..8 {
        world.end(task(1, index), &TaskState::Succeeded);
    }
    world.run(10_000);
    assert_eq!(world.running_total(), 12);
}

/// Guards against new work that waits for a server which cannot be running it: after a takeover only tasks that an
/// earlier owner may have started wait for a silent server of their rack.
#[test]
fn new_work_does_not_wait_for_a_silent_server() {
    let mut world = opened(2, 2);
    world.submit(job(1, 1));
    world.lose_server("w1");
    let owner = world.owner().expect("owned");
    world.kill(&owner);
    world.run_until(3_000, "a new owner", |world| world.owner().is_some());
    world.submit(job(2, 1));
    world.run(1_000);
    assert_eq!(world.running(task(2, 0)), 1);
}

/// Guards against a lost server's task that is never resumed, or resumed while its lease may still run.
#[test]
fn resumes_work_of_a_lost_server_after_its_lease() {
    let mut world = opened(2, 2);
    world.submit(job(1, 1));
    world.run(3_000);
    let server = world.server_of(task(1, 0)).expect("runs");
    world.lose_server(&server);
    let lost = world.now;
    world.run_until(14_000, "the lease lapses at the server", |world| {
        world.running(task(1, 0)) == 0
    });
    world.run_until(4_000, "a start elsewhere", |world| {
        world.running(task(1, 0)) == 1
    });
    assert!(world.now - lost >= 10_000 - 2_000);
    assert_ne!(world.server_of(task(1, 0)), Some(server.clone()));
    world.cut.clear();
    world.run(5_000);
    assert_eq!(
        world.running_total(),
        1,
        "the server that returns runs nothing old"
    );
}

/// Guards against a restart of a backend server that leaves its tasks counted as running.
#[test]
fn restarts_tasks_of_a_rebooted_server() {
    let mut world = opened(1, 1);
    world.submit(job(1, 2));
    world.run(3_000);
    let backend = world.servers.values_mut().next().expect("one server");
    backend.attempts.clear();
    backend.boot_id = 1;
    world.run(5_000);
    assert_eq!(world.running_total(), 2);
}

/// Guards against an eviction that loses its checkpoint, resumes twice or resumes from the beginning.
#[test]
fn evicted_work_resumes_once_from_its_checkpoint() {
    let mut world = opened(2, 2);
    world.submit(job(1, 1));
    world.run(3_000);
    let server = world.server_of(task(1, 0)).expect("runs");
    let first = world.all_attempts();
    world.press(&server);
    world.run(6_000);
    assert_eq!(world.running(task(1, 0)), 1);
    let attempts = world.all_attempts();
    assert_eq!(attempts.len(), 1, "resumed once: {attempts:?}");
    assert!(attempts[0] > first[0]);
    let mut backends = world.servers.values();
    let resumed = backends
        .find_map(|backend| backend.attempts.get(&attempts[0]))
        .expect("there");
    let checkpoint = format!("c{}.{}", first[0].term, first[0].counter);
    assert_eq!(resumed.resumed_from.as_deref(), Some(checkpoint.as_str()));
}

/// Guards against an eviction during a store outage, whose record could not be committed.
#[test]
fn throttles_instead_of_evicting_without_the_store() {
    let mut world = opened(1, 1);
    world.submit(job(1, 1));
    world.run(3_000);
    world.mode = StoreMode::Unavailable;
    world.run(5_000);
    let attempts = world.all_attempts();
    world.press(&server_name(0));
    world.run(20_000);
    assert_eq!(world.all_attempts(), attempts);
    assert_eq!(world.running(task(1, 0)), 1);
}

/// Guards against a cancellation wave that overflows the head, takes many commits or leaves a task running.
#[test]
fn a_wave_of_cancellations_fits_in_the_head() {
    let mut world = opened(4, 4);
    let owner = world.submit_many(10_000);
    world.run(10_000);
    assert_eq!(world.running_total(), 32);
    let before = world.store.writes;
    for id in 0..10_000 {
        let token = CallerToken(20_000 + id);
        let jobs = vec![JobId(id + 1)];
        world.send(&owner, Event::Cancel { token, jobs });
    }
    world.run(10_000);
    assert_eq!(world.running_total(), 0);
    let writes = world.store.writes - before;
    assert!(
        writes <= 40,
        "{writes} writes for 10,000 single cancellations"
    );
    assert!(world.store.largest < 1_000_000, "{}", world.store.largest);
    let counts = world.owner_shard().job_counts();
    assert_eq!(counts.get(&JobState::Cancelled), Some(&10_000));
    println!(
        "cancellations: {writes} writes, largest value {}",
        world.store.largest
    );
}

/// Guards against a single call with 10,000 cancellations that is committed in part, and against a cancelled task that
/// starts again.
#[test]
fn cancels_many_jobs_in_one_record() {
    let mut world = opened(1, 1);
    let owner = world.submit_many(10_000);
    world.run(5_000);
    let before = world.store.writes;
    let jobs: Vec<JobId> = (1..=10_001).map(JobId).collect();
    let token = CallerToken(99_999);
    world.send(&owner, Event::Cancel { token, jobs });
    world.run(2_000);
    let Some(CallerReply::Cancelled(known)) = world.reply(token) else {
        panic!("no reply");
    };
    assert_eq!(known.len(), 10_000, "the unknown job is left out");
    world.run(5_000);
    assert!(world.store.writes - before <= 6);
    assert_eq!(world.running_total(), 0);
}

/// Guards against a tail that grows without bound, and against a recovery that differs from the state before it.
#[test]
fn snapshots_truncate_the_tail_and_recover() {
    let mut world = opened(4, 2);
    let owner = world.submit_many(12_000);
    world.run(20_000);
    let chunks = world
        .store
        .values
        .keys()
        .filter(|key| key.contains("/snap/"))
        .count();
    assert!(chunks >= 2, "the state takes several chunks");
    assert!(world.owner_shard().tail_bytes() < 200_000);
    assert!(world.store.largest < 1_000_000);
    let before: Vec<_> = world.owner_shard().jobs().map(|job| job.spec).collect();
    let running = world.running_total();
    world.kill(&owner);
    world.run_until(6_000, "a new owner", World::is_claimed);
    let after: Vec<_> = world.owner_shard().jobs().map(|job| job.spec).collect();
    assert_eq!(before, after);
    assert_eq!(before.len(), 12_000);
    world.run(3_000);
    assert_eq!(world.running_total(), running);
    println!("{chunks} chunks, largest value {}", world.store.largest);
}

/// Guards against a commit whose answer is lost being taken as failed or applied twice, and against one that never
/// reached the store being taken as done.
#[test_case(StoreMode::LosesAnswers, true; "the answer is lost")]
#[test_case(StoreMode::LosesCalls, false; "the call is lost")]
fn a_lost_commit_is_settled_by_a_read(mode: StoreMode, is_done: bool) {
    let mut world = opened(1, 1);
    world.mode = mode;
    let owner = world.owner().expect("owned");
    let token = CallerToken(1);
    let spec = job(1, 2);
    world.send(&owner, Event::Submit { token, job: spec });
    world.run(3_000);
    assert_eq!(world.reply(token).is_some(), is_done);
    assert_eq!(world.running_total(), if is_done { 2 } else { 0 });
    world.mode = StoreMode::Up;
    world.run(4_000);
    assert_eq!(world.reply(token), Some(accepted(1, true)));
    world.kill(&owner);
    world.run_until(6_000, "a new owner", World::is_claimed);
    assert!(world.owner_shard().job(JobId(1)).is_some(), "committed");
    assert_eq!(world.running_total(), 2);
}

/// Guards against a key whose request runs twice, an answer that is not kept, and keys kept for ever.
#[test]
fn an_idempotency_key_is_fresh_once() {
    let mut world = opened(1, 1);
    let key = RequestKey(1 << 100);
    let ask = |world: &mut World, token: u64| {
        let owner = world.owner().expect("owned");
        let token = CallerToken(token);
        world.send(&owner, Event::ClaimKey { token, key });
        world.run(500);
        world.reply(token).expect("replied")
    };
    assert_eq!(ask(&mut world, 1), CallerReply::Key(KeyReply::Fresh));
    assert_eq!(ask(&mut world, 2), CallerReply::Key(KeyReply::Unknown));
    let owner = world.owner().expect("owned");
    let answer: std::sync::Arc<[u8]> = b"done".as_slice().into();
    let event = Event::AnswerKey {
        key,
        answer: answer.clone(),
    };
    world.send(&owner, event);
    world.run(500);
    let kept = CallerReply::Key(KeyReply::Answered(answer));
    assert_eq!(ask(&mut world, 3), kept);
    world.kill(&owner);
    world.run_until(6_000, "a new owner", World::is_claimed);
    assert_eq!(ask(&mut world, 4), kept, "kept across a takeover");
    world.run(601_000);
    assert_eq!(world.owner_shard().key_count(), 0);
}

/// Guards against refusing with "not run" what was recorded, and recording what was refused.
#[test]
fn refuses_records_while_the_store_is_down() {
    let mut world = opened(1, 1);
    world.submit(job(1, 2));
    world.run(2_000);
    world.mode = StoreMode::Unavailable;
    let refused = CallerReply::NotRun(NotRun::StoreUnavailable);
    assert_eq!(world.submit(job(2, 1)), refused, "the first one finds out");
    assert_eq!(world.submit(job(3, 1)), refused);
    world.run(30_000);
    assert_eq!(world.running_total(), 2, "tasks go on");
    world.mode = StoreMode::Up;
    world.run(12_000);
    assert!(world.owner_shard().job(JobId(2)).is_none());
    assert_eq!(world.submit(job(2, 1)), accepted(2, true));
}

/// Guards against a server that fails everything and goes on to draw work, and against one that never returns.
#[test]
fn quarantines_and_probes_a_faulty_server() {
    let mut world = opened(3, 3);
    let faulty = server_name(0);
    world.servers.get_mut(&faulty).expect("there").fails_all = true;
    for id in 1..=24 {
        world.submit(job(id, 1));
    }
    let is_quarantined = |world: &World| {
        let mut servers = world.owner_shard().servers();
        servers.any(|server| server.name == faulty && server.state == ServerState::Quarantined)
    };
    world.run_until(30_000, "quarantine", is_quarantined);
    world.run(10_000);
    assert_eq!(
        world.owner_shard().job_counts().get(&JobState::Active),
        Some(&24)
    );
    let failed = world.count("server_quarantined");
    assert_eq!(failed, 1);
    world.servers.get_mut(&faulty).expect("there").fails_all = false;
    world.run_until(70_000, "the probe succeeds", |world| !is_quarantined(world));
}

/// Guards against a job that fails everywhere and is tried for ever, or that takes healthy servers down with it.
#[test]
fn parks_a_job_that_fails_everywhere() {
    let mut world = opened(4, 4);
    world.submit(job(1, 4));
    world.submit(job(2, 1));
    world.run(1_000);
    let failed = TaskState::Failed { code: 1 };
    let parked = Some(JobState::Parked(ParkReason::FailsEverywhere));
    let state = |world: &World| world.owner_shard().job(JobId(2)).map(|job| job.state);
    for _ in 0..600 {
        world.end(task(2, 0), &failed);
        world.run(500);
        if state(&world) == parked {
            break;
        }
    }
    assert_eq!(state(&world), parked);
    assert_eq!(world.count("server_quarantined"), 0);
    assert_eq!(world.running_total(), 4, "the other job runs on");
}

/// Guards against new work on a leaving server, and against work that stays there until it is cut off.
#[test]
fn a_leaving_server_is_emptied() {
    let mut world = opened(2, 1);
    world.submit(job(1, 4));
    world.run(2_000);
    let server = world.server_of(task(1, 0)).expect("runs");
    let at = usize::from(server == server_name(1));
    world.list(at, 1, 8_000, true);
    world.run(8_000);
    assert_eq!(world.servers[&server].running().count(), 0);
    assert_eq!(world.running_total(), 4);
    let key = world.owner_shard().server_key(&server).expect("known");
    assert_eq!(world.owner_shard().may_send(key, MonoMs(world.now)), None);
}

/// Guards against a job that waits for ever because the servers that could hold it have shrunk.
#[test]
fn parks_a_job_that_no_server_can_hold_any_more() {
    let mut world = opened(1, 1);
    world.submit(JobSpec {
        size: size(6_000),
        ..job(1, 2)
    });
    let state = |world: &World| world.owner_shard().job(JobId(1)).map(|job| job.state);
    world.list(0, 1, 4_000, false);
    world.run(1_000);
    assert_eq!(state(&world), Some(JobState::Parked(ParkReason::TooLarge)));
    world.list(0, 1, 8_000, false);
    world.run(6_000);
    assert_eq!(state(&world), Some(JobState::Active));
    assert_eq!(world.running_total(), 1);
}
