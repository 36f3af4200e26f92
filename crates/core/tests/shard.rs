//! Tests of one shard: jobs and tasks, requests of callers, journal and servers.

mod common;

use common::*;
use primrosestack_core::journal::ParkReason;
use primrosestack_core::prelude::*;
use primrosestack_core::tasks::JobState;
use primrosestack_core::view::{ServerState, TaskPhase};
use smol_str::SmolStr;
use test_case::test_case;

/// Guards against a new shard that is not acquired, accepted tasks that are not started, leases that are not renewed
/// and ended tasks that are not recorded.
#[test]
fn acquires_and_runs_a_job() {
    let mut cluster = start_cluster(2, 2);
    assert_eq!(cluster.submit(job(1, 3)), accepted(1, true));
    cluster.run(60_000);
    assert_eq!(cluster.running_total(), 3, "leases are renewed");
    for index in 0..3 {
        cluster.end_attempts(task(1, index), &TaskState::Succeeded);
    }
    cluster.run(5_000);
    let view = cluster
        .owner_shard()
        .job(JobId(1))
        .expect("the job is known");
    assert_eq!(view.tasks.get(&TaskPhase::Ended), Some(&3));
    let left: usize = cluster
        .servers
        .values()
        .map(|server| server.attempts.len())
        .sum();
    assert_eq!(left, 0, "ended attempts are acknowledged");
}

/// Guards against a repeated submission that runs the job again, and against an ended job that is never dropped.
#[test]
fn accepts_a_job_once() {
    let mut cluster = start_cluster(1, 1);
    cluster.submit(job(1, 1));
    assert_eq!(cluster.submit(job(1, 1)), accepted(1, false));
    cluster.run(1_000);
    assert_eq!(cluster.running_total(), 1);
    cluster.end_attempts(task(1, 0), &TaskState::Succeeded);
    cluster.run(610_000);
    assert!(cluster.owner_shard().job(JobId(1)).is_none());
}

/// Guards against a job that fits on no server and stays pending instead of being rejected.
#[test]
fn refuses_a_task_larger_than_every_server() {
    let mut cluster = start_cluster(2, 2);
    let spec = JobSpec {
        size: size(9_000),
        ..job(1, 1)
    };
    assert_eq!(cluster.submit(spec), CallerReply::NotRun(NotRun::TooLarge));
}

/// Guards against a store write per start: 40 tasks in one rack start with only the commit that accepts their job.
#[test]
fn starts_need_no_write() {
    let mut cluster = start_cluster(8, 8);
    let before = cluster.store.writes;
    cluster.submit(job(1, 40));
    // The scheduler holds tasks back until the first ones of their job have shown their usage.
    cluster.run_until(60_000, "all run", |cluster| cluster.running_total() == 40);
    assert_eq!(cluster.store.writes - before, 1);
}

/// Guards against tasks that stay pending in a full rack while another rack has free capacity, or that start there
/// without a journal record.
#[test]
fn moves_pending_tasks_to_a_rack_pool_with_free_capacity() {
    let mut cluster = start_cluster(2, 1);
    cluster.submit(job(1, 8));
    cluster.submit(job(2, 8));
    cluster.run(3_000);
    assert_eq!(cluster.running_total(), 16);
    cluster.submit(job(3, 4));
    // All tasks in one rack end; tasks bound to the other rack have to move.
    for index in 0..8 {
        cluster.end_attempts(task(1, index), &TaskState::Succeeded);
    }
    cluster.run(10_000);
    assert_eq!(cluster.running_total(), 12);
}

/// Guards against new tasks that wait for a silent server after a takeover. Only tasks that an earlier owner may have
/// started there have to wait.
#[test]
fn new_tasks_do_not_wait_for_a_silent_server() {
    let mut cluster = start_cluster(2, 2);
    cluster.submit(job(1, 1));
    cluster.isolate_server("w1");
    let owner = cluster.owner().expect("a host owns the shard");
    cluster.kill(&owner);
    cluster.run_until(3_000, "a new owner", |cluster| cluster.owner().is_some());
    cluster.submit(job(2, 1));
    cluster.run(1_000);
    assert_eq!(cluster.running(task(2, 0)), 1);
}

/// Guards against a task of an unreachable server that is never resumed, or is resumed before its lease has expired.
#[test]
fn resumes_tasks_of_a_lost_server_after_its_lease() {
    let mut cluster = start_cluster(2, 2);
    cluster.submit(job(1, 1));
    cluster.run(3_000);
    let server = cluster.server_of(task(1, 0)).expect("the task is running");
    cluster.isolate_server(&server);
    let lost = cluster.now;
    cluster.run_until(14_000, "the lease expires at the server", |cluster| {
        cluster.running(task(1, 0)) == 0
    });
    cluster.run_until(4_000, "a start elsewhere", |cluster| {
        cluster.running(task(1, 0)) == 1
    });
    assert!(cluster.now - lost >= 10_000 - 2_000);
    assert_ne!(cluster.server_of(task(1, 0)), Some(server.clone()));
    cluster.cut_links.clear();
    cluster.run(5_000);
    assert_eq!(
        cluster.running_total(),
        1,
        "the returning server does not run the old attempt"
    );
}

/// Guards against tasks that still count as running after a restart of their backend server.
#[test]
fn restarts_tasks_of_a_rebooted_server() {
    let mut cluster = start_cluster(1, 1);
    cluster.submit(job(1, 2));
    cluster.run(3_000);
    let backend = cluster.servers.values_mut().next().expect("one server");
    backend.attempts.clear();
    backend.boot_id = 1;
    cluster.run(5_000);
    assert_eq!(cluster.running_total(), 2);
}

/// Guards against an eviction that loses the checkpoint, or after which the task resumes twice or from the beginning.
#[test]
fn an_evicted_task_resumes_once_from_its_checkpoint() {
    let mut cluster = start_cluster(2, 2);
    cluster.submit(job(1, 1));
    cluster.run(3_000);
    let server = cluster.server_of(task(1, 0)).expect("the task is running");
    let first = cluster.all_attempts();
    cluster.request_reclaim(&server);
    cluster.run(6_000);
    assert_eq!(cluster.running(task(1, 0)), 1);
    let attempts = cluster.all_attempts();
    assert_eq!(attempts.len(), 1, "resumed once: {attempts:?}");
    assert!(attempts[0] > first[0]);
    let mut backends = cluster.servers.values();
    let resumed = backends
        .find_map(|backend| backend.attempts.get(&attempts[0]))
        .expect("exists");
    let checkpoint = format!("c{}.{}", first[0].term, first[0].counter);
    assert_eq!(resumed.resumed_from.as_deref(), Some(checkpoint.as_str()));
}

/// Guards against an eviction during a store outage, when its record cannot be committed.
#[test]
fn throttles_instead_of_evicting_without_the_store() {
    let mut cluster = start_cluster(1, 1);
    cluster.submit(job(1, 1));
    cluster.run(3_000);
    cluster.mode = StoreMode::Unavailable;
    cluster.run(5_000);
    let attempts = cluster.all_attempts();
    cluster.request_reclaim(&server_name(0));
    cluster.run(20_000);
    assert_eq!(cluster.all_attempts(), attempts);
    assert_eq!(cluster.running(task(1, 0)), 1);
}

/// Guards against a burst of cancellations that overflows the head, takes many commits or leaves a task running.
#[test]
fn a_burst_of_cancellations_fits_in_the_head() {
    let mut cluster = start_cluster(4, 4);
    let owner = cluster.submit_many(10_000);
    cluster.run(10_000);
    assert_eq!(cluster.running_total(), 32);
    let before = cluster.store.writes;
    for id in 0..10_000 {
        let token = CallerToken(20_000 + id);
        let jobs = vec![JobId(id + 1)];
        cluster.send(&owner, Event::Cancel { token, jobs });
    }
    cluster.run(10_000);
    assert_eq!(cluster.running_total(), 0);
    let writes = cluster.store.writes - before;
    assert!(
        writes <= 40,
        "{writes} writes for 10,000 single cancellations"
    );
    assert!(
        cluster.store.largest < 1_000_000,
        "{}",
        cluster.store.largest
    );
    let counts = cluster.owner_shard().job_counts();
    assert_eq!(counts.get(&JobState::Cancelled), Some(&10_000));
    println!(
        "cancellations: {writes} writes, largest value {}",
        cluster.store.largest
    );
}

/// Guards against a call with 10,000 cancellations that is committed in part, and against a cancelled task that is
/// started again.
#[test]
fn cancels_many_jobs_in_one_record() {
    let mut cluster = start_cluster(1, 1);
    let owner = cluster.submit_many(10_000);
    cluster.run(5_000);
    let before = cluster.store.writes;
    let jobs: Vec<JobId> = (1..=10_001).map(JobId).collect();
    let token = CallerToken(99_999);
    cluster.send(&owner, Event::Cancel { token, jobs });
    cluster.run(2_000);
    let Some(CallerReply::Cancelled(known)) = cluster.reply(token) else {
        panic!("no reply");
    };
    assert_eq!(known.len(), 10_000, "the unknown job is left out");
    cluster.run(5_000);
    assert!(cluster.store.writes - before <= 6);
    assert_eq!(cluster.running_total(), 0);
}

/// Guards against a tail that grows without bound, and against a recovered state that differs from the one before.
#[test]
fn snapshots_truncate_the_tail_and_recover() {
    let mut cluster = start_cluster(4, 2);
    let owner = cluster.submit_many(12_000);
    cluster.run(20_000);
    let chunks = cluster
        .store
        .values
        .keys()
        .filter(|key| key.contains("/snap/"))
        .count();
    assert!(chunks >= 2, "the state takes several chunks");
    assert!(cluster.owner_shard().tail_bytes() < 200_000);
    assert!(cluster.store.largest < 1_000_000);
    let before: Vec<_> = cluster.owner_shard().jobs().map(|job| job.spec).collect();
    let running = cluster.running_total();
    cluster.kill(&owner);
    cluster.run_until(6_000, "a new owner", Cluster::is_claimed);
    let after: Vec<_> = cluster.owner_shard().jobs().map(|job| job.spec).collect();
    assert_eq!(before, after);
    assert_eq!(before.len(), 12_000);
    cluster.run(3_000);
    assert_eq!(cluster.running_total(), running);
    println!("{chunks} chunks, largest value {}", cluster.store.largest);
}

/// Guards against a commit with a lost response that is considered failed or is applied twice, and against a commit
/// that never reached the store and is considered done.
#[test_case(StoreMode::LosesResponses, true; "the answer is lost")]
#[test_case(StoreMode::LosesCalls, false; "the call is lost")]
fn a_lost_commit_is_resolved_by_a_read(mode: StoreMode, is_done: bool) {
    let mut cluster = start_cluster(1, 1);
    cluster.mode = mode;
    let owner = cluster.owner().expect("a host owns the shard");
    let token = CallerToken(1);
    let spec = job(1, 2);
    cluster.send(&owner, Event::Submit { token, job: spec });
    cluster.run(3_000);
    assert_eq!(cluster.reply(token).is_some(), is_done);
    assert_eq!(cluster.running_total(), if is_done { 2 } else { 0 });
    cluster.mode = StoreMode::Up;
    cluster.run(4_000);
    assert_eq!(cluster.reply(token), Some(accepted(1, true)));
    cluster.kill(&owner);
    cluster.run_until(6_000, "a new owner", Cluster::is_claimed);
    assert!(cluster.owner_shard().job(JobId(1)).is_some(), "committed");
    assert_eq!(cluster.running_total(), 2);
}

/// Guards against an idempotency key that is fresh twice, loses its answer or is never dropped.
#[test]
fn an_idempotency_key_is_fresh_once() {
    let mut cluster = start_cluster(1, 1);
    let key = RequestKey(1 << 100);
    let claim = |cluster: &mut Cluster, token: u64| {
        let owner = cluster.owner().expect("a host owns the shard");
        let token = CallerToken(token);
        cluster.send(&owner, Event::ClaimKey { token, key });
        cluster.run(500);
        cluster.reply(token).expect("a reply arrived")
    };
    assert_eq!(claim(&mut cluster, 1), CallerReply::Key(KeyReply::Fresh));
    assert_eq!(claim(&mut cluster, 2), CallerReply::Key(KeyReply::Unknown));
    let owner = cluster.owner().expect("a host owns the shard");
    let answer: std::sync::Arc<[u8]> = b"done".as_slice().into();
    let event = Event::AnswerKey {
        key,
        answer: answer.clone(),
    };
    cluster.send(&owner, event);
    cluster.run(500);
    let stored = CallerReply::Key(KeyReply::Answered(answer));
    assert_eq!(claim(&mut cluster, 3), stored);
    cluster.kill(&owner);
    cluster.run_until(6_000, "a new owner", Cluster::is_claimed);
    assert_eq!(claim(&mut cluster, 4), stored, "stored across a takeover");
    cluster.run(601_000);
    assert_eq!(cluster.owner_shard().key_count(), 0);
}

/// Guards against rejecting a job that is recorded, and against recording a job that was rejected.
#[test]
fn refuses_records_while_the_store_is_down() {
    let mut cluster = start_cluster(1, 1);
    cluster.submit(job(1, 2));
    cluster.run(2_000);
    cluster.mode = StoreMode::Unavailable;
    let refused = CallerReply::NotRun(NotRun::StoreUnavailable);
    assert_eq!(
        cluster.submit(job(2, 1)),
        refused,
        "the first request detects the outage"
    );
    assert_eq!(cluster.submit(job(3, 1)), refused);
    cluster.run(30_000);
    assert_eq!(cluster.running_total(), 2, "tasks keep running");
    cluster.mode = StoreMode::Up;
    cluster.run(12_000);
    assert!(cluster.owner_shard().job(JobId(2)).is_none());
    assert_eq!(cluster.submit(job(2, 1)), accepted(2, true));
}

/// Guards against a server on which all tasks fail that still receives tasks, and against a quarantine that never ends.
#[test]
fn quarantines_and_probes_a_faulty_server() {
    let mut cluster = start_cluster(3, 3);
    let faulty = server_name(0);
    cluster.servers.get_mut(&faulty).expect("exists").fails_all = true;
    for id in 1..=24 {
        cluster.submit(job(id, 1));
    }
    let is_quarantined = |cluster: &Cluster| {
        let mut servers = cluster.owner_shard().servers();
        servers.any(|server| server.name == faulty && server.state == ServerState::Quarantined)
    };
    cluster.run_until(30_000, "quarantine", is_quarantined);
    cluster.run(10_000);
    assert_eq!(
        cluster.owner_shard().job_counts().get(&JobState::Active),
        Some(&24)
    );
    let failed = cluster.count_log_events("server_quarantined");
    assert_eq!(failed, 1);
    cluster.servers.get_mut(&faulty).expect("exists").fails_all = false;
    cluster.run_until(70_000, "the probe succeeds", |cluster| {
        !is_quarantined(cluster)
    });
}

/// Guards against a job that fails everywhere and is retried forever, or that puts healthy servers into quarantine.
#[test]
fn parks_a_job_that_fails_everywhere() {
    let mut cluster = start_cluster(4, 4);
    cluster.submit(job(1, 4));
    cluster.submit(job(2, 1));
    cluster.run(1_000);
    let failed = TaskState::Failed { code: 1 };
    let parked = Some(JobState::Parked(ParkReason::FailsEverywhere));
    let state = |cluster: &Cluster| cluster.owner_shard().job(JobId(2)).map(|job| job.state);
    for _ in 0..600 {
        cluster.end_attempts(task(2, 0), &failed);
        cluster.run(500);
        if state(&cluster) == parked {
            break;
        }
    }
    assert_eq!(state(&cluster), parked);
    assert_eq!(cluster.count_log_events("server_quarantined"), 0);
    assert_eq!(cluster.running_total(), 4, "the other job keeps running");
}

/// Guards against new tasks on a leaving server, and against tasks that are not moved off it.
#[test]
fn a_leaving_server_is_emptied() {
    let mut cluster = start_cluster(2, 1);
    cluster.submit(job(1, 4));
    cluster.run(2_000);
    let server = cluster.server_of(task(1, 0)).expect("the task is running");
    let at = usize::from(server == server_name(1));
    cluster.list_server(at, 1, 8_000, true);
    cluster.run(8_000);
    assert_eq!(cluster.servers[&server].running().count(), 0);
    assert_eq!(cluster.running_total(), 4);
    let key = cluster
        .owner_shard()
        .server_key(&server)
        .expect("the server is known");
    assert_eq!(
        cluster
            .owner_shard()
            .request_epoch(key, MonoMs(cluster.now)),
        None
    );
}

/// Guards against a job that stays pending forever because its servers have become too small.
#[test]
fn parks_a_job_that_no_server_can_hold_any_more() {
    let mut cluster = start_cluster(1, 1);
    cluster.submit(JobSpec {
        size: size(6_000),
        ..job(1, 2)
    });
    let state = |cluster: &Cluster| cluster.owner_shard().job(JobId(1)).map(|job| job.state);
    cluster.list_server(0, 1, 4_000, false);
    cluster.run(1_000);
    assert_eq!(
        state(&cluster),
        Some(JobState::Parked(ParkReason::TooLarge))
    );
    cluster.list_server(0, 1, 8_000, false);
    cluster.run(6_000);
    assert_eq!(state(&cluster), Some(JobState::Active));
    assert_eq!(cluster.running_total(), 1);
}

/// Starts a job of one task whose first attempt succeeds on a server that cannot be reached, and waits until it runs
/// again. Returns the servers of both attempts.
fn succeeds_unseen_and_runs_again(cluster: &mut Cluster) -> [SmolStr; 2] {
    cluster.submit(job(1, 1));
    cluster.run(3_000);
    let first = cluster.server_of(task(1, 0)).expect("the task is running");
    cluster.isolate_server(&first);
    cluster.end_attempts(task(1, 0), &TaskState::Succeeded);
    cluster.run_until(18_000, "a start elsewhere", |cluster| {
        cluster.running(task(1, 0)) == 1
    });
    cluster.run(3_000);
    let second = cluster.server_of(task(1, 0)).expect("the task is running");
    [first, second]
}

fn reboot(cluster: &mut Cluster, server: &SmolStr) {
    let backend = cluster.servers.get_mut(server).expect("exists");
    backend.attempts.clear();
    backend.boot_id += 1;
}

/// Guards against a task that runs again after its success was reported, because the server that reported it is lost
/// before it reports once more (fault test, seeds 7346824 and 7372839).
#[test]
fn a_reported_success_outlives_its_server() {
    let mut cluster = start_cluster(2, 2);
    let [first, _] = succeeds_unseen_and_runs_again(&mut cluster);
    cluster.cut_links.clear();
    cluster.run_until(3_000, "the second attempt is stopped", |cluster| {
        cluster.running(task(1, 0)) == 0
    });
    reboot(&mut cluster, &first);
    cluster.run_until(30_000, "the job ends", |cluster| {
        assert_eq!(cluster.running_total(), 0, "the task runs again");
        let job = cluster.owner_shard().job(JobId(1)).expect("a known job");
        job.state == JobState::Ended
    });
}

/// Guards against a task that never ends, because an earlier success is reported while the checkpoint of a stopped
/// attempt waits for its commit, and the server of that attempt is lost.
#[test]
fn an_earlier_success_ends_a_task_that_waits_for_its_record() {
    let mut cluster = start_cluster(2, 2);
    let [first, second] = succeeds_unseen_and_runs_again(&mut cluster);
    cluster.mode = StoreMode::Unavailable;
    let backend = cluster.servers.get_mut(&second).expect("exists");
    for attempt in backend.attempts.values_mut() {
        attempt.state = TaskState::Stopped;
        attempt.checkpoint = Some("checkpoint".into());
    }
    cluster.run(3_000);
    cluster.cut_links.clear();
    cluster.isolate_server(&second);
    cluster.run(5_000);
    reboot(&mut cluster, &second);
    cluster.cut_links.clear();
    cluster.run(5_000);
    reboot(&mut cluster, &first);
    cluster.mode = StoreMode::Up;
    cluster.run_until(60_000, "the job ends", |cluster| {
        assert_eq!(cluster.running_total(), 0, "the task runs again");
        let job = cluster.owner_shard().job(JobId(1)).expect("a known job");
        job.state == JobState::Ended
    });
}
