//! Tests of ownership: takeover, releases, loss of authority, handover, and commands of the designated successor at
//! rank 1 of the owner's term during a store outage.

mod common;

use common::*;
use primrosestack_core::journal::{Entry, Head, ParkReason, decode_entries};
use primrosestack_core::ownership::Role;
use primrosestack_core::prelude::*;
use primrosestack_core::tasks::JobState;
use test_case::test_case;

fn start_cluster_with_job(servers: usize, servers_per_rack: usize, tasks: u32) -> Cluster {
    let mut cluster = start_cluster(servers, servers_per_rack);
    cluster.submit(job(1, tasks));
    cluster.run(3_000);
    assert_eq!(cluster.running_total(), tasks as usize);
    cluster
}

/// Guards against a takeover that takes longer than 3 s, or that restarts or loses running tasks.
#[test]
fn the_successor_takes_over_running_tasks() {
    let mut cluster = start_cluster_with_job(2, 2, 6);
    let attempts = cluster.all_attempts();
    let owner = cluster.owner().expect("a host owns the shard");
    let successor = cluster.successor();
    cluster.kill(&owner);
    let ms = cluster.run_until(1_500, "all servers claimed", Cluster::is_claimed);
    println!(
        "servers accept tasks {} ms after the crash of the owner",
        1_500 + ms
    );
    assert_eq!(cluster.owner(), Some(successor));
    cluster.run(30_000);
    assert_eq!(cluster.all_attempts(), attempts, "no task was restarted");
    assert_eq!(cluster.submit(job(2, 1)), accepted(2, true));
}

/// Guards against a new owner that restarts a task while an unreachable server may still run it, or that never restarts
/// it.
#[test]
fn a_new_owner_waits_for_unreachable_servers() {
    let mut cluster = start_cluster_with_job(2, 2, 1);
    let server = cluster.server_of(task(1, 0)).expect("the task is running");
    let owner = cluster.owner().expect("a host owns the shard");
    let successor = cluster.successor();
    cluster.cut_link(&successor, &server);
    let third = HOSTS
        .into_iter()
        .find(|name| *name != owner && *name != successor);
    cluster.cut_link(third.expect("three hosts"), &server);
    cluster.kill(&owner);
    let crashed_at = cluster.now;
    cluster.run_until(20_000, "a restart", |cluster| {
        cluster.running(task(1, 0)) == 1 && cluster.server_of(task(1, 0)) != Some(server.clone())
    });
    let waited = cluster.now - crashed_at;
    // 6,120 ms for the store confirmation of the old owner plus 10,200 ms for its leases, both with clock drift.
    assert!(waited >= 16_320, "restarted after {waited} ms");
}

/// Guards against a third host that takes over and restarts tasks of an unreachable server although the successor has
/// not released the old term, and against an operator's declaration that has no effect.
#[test]
fn without_a_release_unreachable_tasks_wait_for_the_operator() {
    let mut cluster = start_cluster_with_job(2, 2, 1);
    let server = cluster.server_of(task(1, 0)).expect("the task is running");
    let owner = cluster.owner().expect("a host owns the shard");
    let successor = cluster.successor();
    cluster.isolate_server(&server);
    let (first, _) = cluster.hosts.remove(&owner).expect("the host is alive");
    let (second, _) = cluster.hosts.remove(&successor).expect("the host is alive");
    cluster.run(1_500);
    cluster.suspect(&first);
    cluster.suspect(&second);
    cluster.run_until(6_000, "a new owner", |cluster| cluster.owner().is_some());
    cluster.run(60_000);
    assert_eq!(
        cluster.running(task(1, 0)),
        0,
        "the server may still be running it"
    );
    let owner = cluster.owner().expect("a host owns the shard");
    cluster.send(&owner, Event::ServerDeclaredGone { server });
    cluster.run(1_000);
    assert_eq!(cluster.running(task(1, 0)), 1);
}

/// Guards against a third host that takes over and never restarts tasks of an unreachable server, although the live
/// successor has released the old term.
#[test]
fn a_release_allows_the_restart_of_unreachable_tasks() {
    let mut cluster = start_cluster_with_job(2, 2, 1);
    let server = cluster.server_of(task(1, 0)).expect("the task is running");
    let owner = cluster.owner().expect("a host owns the shard");
    let successor = cluster.successor();
    cluster.cut_link(&successor, "store");
    cluster.isolate_server(&server);
    cluster.kill(&owner);
    cluster.run_until(14_000, "another owner", |cluster| {
        cluster.owner().is_some_and(|owner| owner != successor)
    });
    cluster.run_until(22_000, "a restart", |cluster| {
        cluster.running(task(1, 0)) == 1
    });
}

/// Guards against a successor that needs more than 5 s to act at rank 1 during a store outage, lets leases expire,
/// starts tasks, or does not become the owner when the store is back.
#[test_case(false; "calls are refused")]
#[test_case(true; "calls get no answer")]
fn rank_1_keeps_tasks_alive_while_the_store_is_down(drops_calls: bool) {
    let mut cluster = start_cluster_with_job(2, 2, 6);
    cluster.drops_calls = drops_calls;
    let attempts = cluster.all_attempts();
    let owner = cluster.owner().expect("a host owns the shard");
    let successor = cluster.successor();
    for name in HOSTS {
        cluster.cut_link(name, "store");
    }
    cluster.run(5_000);
    cluster.kill(&owner);
    let ms = cluster.run_until(3_500, "rank 1 at every server", |cluster| {
        let shard = cluster.shard(&successor);
        let mut servers = shard.servers();
        servers.all(|server| {
            shard
                .request_epoch(server.key, MonoMs(cluster.now))
                .is_some()
        })
    });
    println!(
        "servers accept requests {} ms after the crash of the owner during a store outage",
        1_500 + ms
    );
    let epoch = cluster.shard(&successor).epoch().expect("has an epoch");
    assert_eq!(epoch.rank, 1);
    cluster.run(60_000);
    assert_eq!(cluster.all_attempts(), attempts);
    assert_eq!(cluster.running_total(), 6);
    cluster.cut_links.clear();
    cluster.run_until(13_000, "ownership of the successor", |cluster| {
        cluster.owner() == Some(successor.clone())
    });
    assert!(cluster.owner_shard().epoch().expect("has an epoch").term > epoch.term);
    cluster.run(30_000);
    assert_eq!(cluster.all_attempts(), attempts);
}

/// Guards against an owner that keeps its term after the successor has commanded servers at rank 1 of that term.
#[test]
fn an_owner_raises_its_term_over_rank_1() {
    let mut cluster = start_cluster_with_job(2, 2, 4);
    let owner = cluster.owner().expect("a host owns the shard");
    let successor = cluster.successor();
    let attempts = cluster.all_attempts();
    let term = cluster.owner_shard().term();
    // The successor can reach the servers, but neither the store nor the owner.
    cluster.cut_link(&successor, "store");
    cluster.cut_link(&successor, &owner);
    cluster.run(1_600);
    let id = cluster.hosts[&owner].0.clone();
    cluster.suspect_at(&successor, &id);
    cluster.run_until(4_000, "a raised term", |cluster| {
        cluster.owner_shard().term() > term
    });
    cluster.run(20_000);
    assert_eq!(cluster.owner(), Some(owner));
    assert_eq!(cluster.all_attempts(), attempts);
    assert_eq!(cluster.running_total(), 4);
    assert!(cluster.is_claimed());
}

/// Guards against an owner that restarts the task of an unreachable server without a promise of the successor, which
/// renews the lease of that task at rank 1.
#[test_case(5_000; "link restored before the lease expires")]
#[test_case(40_000; "link restored afterwards")]
fn without_a_promise_unreachable_tasks_are_not_restarted(partition_ms: u64) {
    let mut cluster = start_cluster_with_job(2, 2, 1);
    let server = cluster.server_of(task(1, 0)).expect("the task is running");
    let owner = cluster.owner().expect("a host owns the shard");
    let successor = cluster.successor();
    cluster.cut_link(&successor, "store");
    cluster.cut_link(&successor, &owner);
    cluster.cut_link(&owner, &server);
    let other = if server == "w0" { "w1" } else { "w0" };
    cluster.cut_link(&successor, other);
    let id = cluster.hosts[&owner].0.clone();
    cluster.run(1_600);
    cluster.suspect_at(&successor, &id);
    cluster.run(partition_ms);
    assert_eq!(cluster.server_of(task(1, 0)), Some(server));
    assert!(cluster.owner_shard().holds_authority(MonoMs(cluster.now)));
    // The link to the successor is restored. A successor that acts at rank 1 grants no promise for that term, but it
    // releases the term once the owner has raised its own.
    cluster.cut_links.remove(&(successor, owner));
    cluster.run_until(45_000, "a restart", |cluster| {
        cluster
            .server_of(task(1, 0))
            .is_some_and(|server| server == other)
    });
}

/// Guards against tasks that keep running after authority is lost, and against tasks that lose their progress then.
#[test]
fn tasks_are_checkpointed_on_lost_authority_and_resumed_later() {
    let mut cluster = start_cluster_with_job(2, 2, 2);
    let successor = cluster.successor();
    cluster.mode = StoreMode::Unavailable;
    cluster.run(7_000);
    assert_eq!(cluster.running_total(), 2, "promises alone give authority");
    cluster.kill(&successor);
    cluster.run_until(20_000, "all leases expired", |cluster| {
        cluster.running_total() == 0
    });
    assert!(
        cluster
            .servers
            .values()
            .flat_map(|server| server.attempts.values())
            .all(|started| started.checkpoint.is_some())
    );
    assert_eq!(cluster.count_log_events("authority_lost"), 1);
    cluster.run(20_000);
    assert_eq!(cluster.running_total(), 0);
    cluster.mode = StoreMode::Up;
    cluster.run(15_000);
    assert_eq!(cluster.running_total(), 2);
    let mut attempts = cluster
        .servers
        .values()
        .flat_map(|server| server.attempts.values());
    assert!(
        attempts.all(|started| started.resumed_from.is_some()),
        "resumed from a checkpoint"
    );
}

/// Guards against a handover that stops tasks, loses records or leaves the shard without an owner.
#[test]
fn shutdown_hands_the_shard_over() {
    let mut cluster = start_cluster_with_job(2, 2, 4);
    let attempts = cluster.all_attempts();
    let owner = cluster.owner().expect("a host owns the shard");
    let successor = cluster.successor();
    cluster.send(&owner, Event::Shutdown);
    assert!(cluster.shard(&owner).is_stopped());
    let token = CallerToken(77);
    cluster.send(
        &owner,
        Event::Submit {
            token,
            job: job(9, 1),
        },
    );
    assert_eq!(
        cluster.reply(token),
        Some(CallerReply::NotRun(NotRun::ShuttingDown))
    );
    let ms = cluster.run_until(1_000, "a new owner", Cluster::is_claimed);
    println!("servers accept tasks {ms} ms after the start of the handover");
    assert_eq!(cluster.owner(), Some(successor));
    cluster.hosts.remove(&owner);
    cluster.run(30_000);
    assert_eq!(cluster.all_attempts(), attempts);
}

/// Guards against a shutdown during a store outage that never completes or that stops tasks.
#[test]
fn shutdown_without_the_store_leaves_the_tasks_to_rank_1() {
    let mut cluster = start_cluster_with_job(2, 2, 4);
    let owner = cluster.owner().expect("a host owns the shard");
    cluster.mode = StoreMode::Unavailable;
    cluster.run(3_000);
    cluster.send(&owner, Event::Shutdown);
    cluster.run_until(9_000, "the owner stops", |cluster| {
        cluster.shard(&owner).is_stopped()
    });
    cluster.kill(&owner);
    cluster.run(60_000);
    assert_eq!(cluster.running_total(), 4);
}

/// Guards against an owner that loses its authority during a store outage because the successor shuts down cleanly.
#[test]
fn a_successor_that_shuts_down_promises_forever() {
    let mut cluster = start_cluster_with_job(2, 2, 4);
    let successor = cluster.successor();
    cluster.mode = StoreMode::Unavailable;
    cluster.run(3_000);
    cluster.send(&successor, Event::Shutdown);
    assert_eq!(cluster.shard(&successor).role(), Role::Stopped);
    cluster.kill(&successor);
    cluster.run(60_000);
    assert_eq!(cluster.running_total(), 4);
    assert_eq!(cluster.count_log_events("authority_lost"), 0);
    cluster.mode = StoreMode::Up;
    cluster.run(15_000);
    assert_ne!(
        cluster.successor(),
        successor,
        "another successor is designated once the store is back"
    );
}

/// Guards against a restarted host that never owns its preferred shard again, so that shards accumulate on other hosts
/// during a rolling restart.
#[test]
fn a_preferred_host_gets_its_shard_back() {
    let mut cluster = start_cluster_with_job(2, 2, 4);
    let attempts = cluster.all_attempts();
    let owner = cluster.owner().expect("a host owns the shard");
    cluster.kill(&owner);
    cluster.run_until(1_500, "all servers claimed", Cluster::is_claimed);
    cluster.start_host(&owner, 100, &HOSTS);
    for server in 0..2 {
        cluster.list_server(server, 2, 8_000, false);
    }
    cluster.run(130_000);
    assert_eq!(cluster.owner(), Some(owner));
    assert_eq!(cluster.all_attempts(), attempts);
}

/// Guards against an owner that was paused until its leases expired and then still commands servers or commits.
#[test]
fn a_paused_owner_is_fenced_and_steps_down() {
    let mut cluster = start_cluster_with_job(2, 2, 4);
    let attempts = cluster.all_attempts();
    let owner = cluster.owner().expect("a host owns the shard");
    let paused = cluster.hosts.remove(&owner).expect("the host is alive");
    cluster.run(1_500);
    cluster.suspect(&paused.0);
    cluster.run_until(1_500, "all servers claimed", Cluster::is_claimed);
    let successor = cluster.owner();
    cluster.run(20_000);
    cluster.hosts.insert(owner.clone(), paused);
    let token = CallerToken(77);
    cluster.send(
        &owner,
        Event::Submit {
            token,
            job: job(9, 1),
        },
    );
    cluster.run(10_000);
    assert_eq!(cluster.shard(&owner).role(), Role::Observer);
    assert!(matches!(
        cluster.reply(token),
        Some(CallerReply::Unknown | CallerReply::NotRun(_))
    ));
    assert_eq!(cluster.owner(), successor);
    assert!(cluster.owner_shard().job(JobId(9)).is_none());
    assert_eq!(cluster.all_attempts(), attempts);
}

/// Guards against a new owner that takes the report of an earlier attempt for news and records its checkpoint after
/// that of a later attempt (fault test, seeds 7340129 and 7358623).
#[test]
fn a_new_owner_records_no_checkpoint_older_than_the_journals() {
    let mut cluster = start_cluster_with_job(2, 2, 1);
    let first = cluster.server_of(task(1, 0)).expect("the task is running");
    let mut earlier = cluster.servers[&first].attempts.clone();
    for attempt in earlier.values_mut() {
        attempt.state = TaskState::Stopped;
        attempt.checkpoint = Some("earlier".into());
    }
    cluster.request_reclaim(&first);
    cluster.run(6_000);
    let second = cluster.server_of(task(1, 0)).expect("the task is running");
    let later = cluster.all_attempts();
    cluster.request_reclaim(&second);
    cluster.run(6_000);
    // The acknowledgement of the first attempt is lost with the owner.
    for backend in cluster.servers.values_mut() {
        backend.attempts.clear();
    }
    let backend = cluster.servers.get_mut(&first).expect("exists");
    backend.attempts = earlier;
    let owner = cluster.owner().expect("a host owns the shard");
    cluster.kill(&owner);
    cluster.run_until(6_000, "a new owner", Cluster::is_claimed);
    cluster.run(20_000);
    let (_, value) = &cluster.store.values["shard/fd/0/head"];
    let head = Head::read(value).expect("a readable head");
    let entries = decode_entries(&head.tail).expect("a readable tail");
    let recorded: Vec<Attempt> = entries.iter().filter_map(evicted_attempt).collect();
    assert!(recorded.contains(&later[0]));
    assert!(recorded.is_sorted(), "{recorded:?}");
    assert_eq!(cluster.running(task(1, 0)), 1);
}

fn evicted_attempt(entry: &Entry) -> Option<Attempt> {
    let Entry::Evicted(evicted) = entry else {
        return None;
    };
    Some(Attempt {
        term: evicted.attempt_term,
        counter: evicted.attempt_counter,
    })
}

/// Guards against a job that fails everywhere and is never parked, because every new owner counts its failures from the
/// beginning (fault test, seeds 7386269 and 8202140).
#[test]
fn failures_of_a_job_count_across_owners() {
    let mut cluster = start_cluster_with_job(2, 2, 1);
    for round in 1..=4 {
        if round == 3 {
            let owner = cluster.owner().expect("a host owns the shard");
            cluster.kill(&owner);
            cluster.run_until(6_000, "a new owner", Cluster::is_claimed);
        }
        cluster.run_until(60_000, "a start", |cluster| {
            cluster.running(task(1, 0)) == 1
        });
        cluster.run(3_000);
        cluster.end_attempts(task(1, 0), &TaskState::Failed { code: 1 });
        cluster.run(3_000);
    }
    let job = cluster.owner_shard().job(JobId(1)).expect("a known job");
    assert_eq!(job.state, JobState::Parked(ParkReason::FailsEverywhere));
}

/// Guards against a new owner that takes a server for gone because it was declared gone before the takeover, although
/// the server has returned and runs tasks of the previous owner (fault test, seed 8400248).
#[test]
fn an_old_declaration_waits_for_the_previous_owners_leases() {
    let mut cluster = start_cluster_with_job(2, 2, 1);
    let owner = cluster.owner().expect("a host owns the shard");
    let successor = cluster.successor();
    let server = cluster.server_of(task(1, 0)).expect("the task is running");
    let other = server_name(usize::from(server == server_name(0)));
    cluster.isolate_server(&server);
    let backend = cluster.servers.get_mut(&server).expect("exists");
    backend.attempts.clear();
    backend.boot_id += 1;
    let declared = server.clone();
    cluster.send(&successor, Event::ServerDeclaredGone { server: declared });
    cluster.cut_links.clear();
    cluster.cut_link(&owner, &other);
    cluster.run_until(10_000, "a start on the server that returned", |cluster| {
        cluster.server_of(task(1, 0)) == Some(server.clone())
    });
    let attempts = cluster.all_attempts();
    cluster.kill(&owner);
    cluster.run_until(6_000, "a new owner", Cluster::is_claimed);
    cluster.run(30_000);
    assert_eq!(cluster.owner(), Some(successor));
    assert_eq!(cluster.all_attempts(), attempts, "the task goes on");
}
