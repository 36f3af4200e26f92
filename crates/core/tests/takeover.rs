//! Scenarios of ownership: takeover, rank 1, releases, loss of authority and handover.

mod common;

use common::*;
use primrosestack_core::ownership::Role;
use primrosestack_core::prelude::*;
use test_case::test_case;

fn with_job(servers: usize, rack: usize, tasks: u32) -> Cluster {
    let mut cluster = start_cluster(servers, rack);
    cluster.submit(job(1, tasks));
    cluster.run(3_000);
    assert_eq!(cluster.running_total(), tasks as usize);
    cluster
}

/// Guards against a takeover that takes longer than 3 s, disturbs running tasks or forgets them.
#[test]
fn the_successor_takes_over_running_tasks() {
    let mut cluster = with_job(2, 2, 6);
    let attempts = cluster.all_attempts();
    let owner = cluster.owner().expect("owned");
    let successor = cluster.successor();
    cluster.kill(&owner);
    let ms = cluster.run_until(1_500, "claimed servers", Cluster::is_claimed);
    println!(
        "servers take work {} ms after the owner's death",
        1_500 + ms
    );
    assert_eq!(cluster.owner(), Some(successor));
    cluster.run(30_000);
    assert_eq!(cluster.all_attempts(), attempts, "no task was restarted");
    assert_eq!(cluster.submit(job(2, 1)), accepted(2, true));
}

/// Guards against a restart, after a takeover, of a task that may be running on a server that does not answer, and
/// against waiting for ever.
#[test]
fn a_new_owner_waits_for_unreachable_servers() {
    let mut cluster = with_job(2, 2, 1);
    let server = cluster.server_of(task(1, 0)).expect("runs");
    let owner = cluster.owner().expect("owned");
    let successor = cluster.successor();
    cluster.cut_link(&successor, &server);
    let third = HOSTS
        .into_iter()
        .find(|name| *name != owner && *name != successor);
    cluster.cut_link(third.expect("three hosts"), &server);
    cluster.kill(&owner);
    let swapped = cluster.now;
    cluster.run_until(20_000, "a restart", |cluster| {
        cluster.running(task(1, 0)) == 1 && cluster.server_of(task(1, 0)) != Some(server.clone())
    });
    let waited = cluster.now - swapped;
    assert!(waited >= 16_320, "restarted after {waited} ms");
}

/// Guards against a takeover by a third host that restarts unreachable work without the successor's release, and
/// against an operator's declaration that has no effect.
#[test]
fn without_a_release_unreachable_work_waits_for_the_operator() {
    let mut cluster = with_job(2, 2, 1);
    let server = cluster.server_of(task(1, 0)).expect("runs");
    let owner = cluster.owner().expect("owned");
    let successor = cluster.successor();
    cluster.isolate_server(&server);
    let (first, _) = cluster.hosts.remove(&owner).expect("lives");
    let (second, _) = cluster.hosts.remove(&successor).expect("lives");
    cluster.run(1_500);
    cluster.suspect(&first);
    cluster.suspect(&second);
    cluster.run_until(6_000, "a new owner", |cluster| cluster.owner().is_some());
    cluster.run(60_000);
    assert_eq!(
        cluster.running(task(1, 0)),
        0,
        "the server may run it for all that is known"
    );
    let owner = cluster.owner().expect("owned");
    cluster.send(&owner, Event::ServerDeclaredGone { server });
    cluster.run(1_000);
    assert_eq!(cluster.running(task(1, 0)), 1);
}

/// Guards against a third host that waits for a release which the living successor gives.
#[test]
fn a_release_lets_unreachable_work_go_on() {
    let mut cluster = with_job(2, 2, 1);
    let server = cluster.server_of(task(1, 0)).expect("runs");
    let owner = cluster.owner().expect("owned");
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

/// Guards against a shard without an owner during an outage, rank 1 that takes longer than 5 s, lets leases lapse or
/// starts tasks, and a holder of rank 1 that does not become owner when the store returns.
#[test_case(false; "calls are refused")]
#[test_case(true; "calls get no answer")]
fn rank_1_keeps_tasks_alive_while_the_store_is_down(drops_calls: bool) {
    let mut cluster = with_job(2, 2, 6);
    cluster.drops_calls = drops_calls;
    let attempts = cluster.all_attempts();
    let owner = cluster.owner().expect("owned");
    let successor = cluster.successor();
    for name in HOSTS {
        cluster.cut_link(name, "store");
    }
    cluster.run(5_000);
    cluster.kill(&owner);
    let ms = cluster.run_until(3_500, "rank 1 at every server", |cluster| {
        let shard = cluster.shard(&successor);
        let mut servers = shard.servers();
        servers.all(|server| shard.may_send(server.key, MonoMs(cluster.now)).is_some())
    });
    println!(
        "servers take requests {} ms after the owner's death without the store",
        1_500 + ms
    );
    let epoch = cluster.shard(&successor).epoch().expect("commands");
    assert_eq!(epoch.rank, 1);
    cluster.run(60_000);
    assert_eq!(cluster.all_attempts(), attempts);
    assert_eq!(cluster.running_total(), 6);
    cluster.cut_links.clear();
    cluster.run_until(13_000, "a term of its own", |cluster| {
        cluster.owner() == Some(successor.clone())
    });
    assert!(cluster.owner_shard().epoch().expect("commands").term > epoch.term);
    cluster.run(30_000);
    assert_eq!(cluster.all_attempts(), attempts);
}

/// Guards against an owner that goes on where a server obeys rank 1, instead of raising its term.
#[test]
fn an_owner_raises_its_term_over_rank_1() {
    let mut cluster = with_job(2, 2, 4);
    let owner = cluster.owner().expect("owned");
    let successor = cluster.successor();
    let attempts = cluster.all_attempts();
    let term = cluster.owner_shard().term();
    // The successor reaches the servers but neither the store nor the owner.
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

/// Guards against an owner that restarts a lost server's task while the successor, of which it has no promise, keeps
/// that task alive at rank 1.
#[test_case(5_000; "heard again before the lease lapses")]
#[test_case(40_000; "heard again afterwards")]
fn without_a_promise_lost_work_is_not_restarted(apart_ms: u64) {
    let mut cluster = with_job(2, 2, 1);
    let server = cluster.server_of(task(1, 0)).expect("runs");
    let owner = cluster.owner().expect("owned");
    let successor = cluster.successor();
    cluster.cut_link(&successor, "store");
    cluster.cut_link(&successor, &owner);
    cluster.cut_link(&owner, &server);
    let other = if server == "w0" { "w1" } else { "w0" };
    cluster.cut_link(&successor, other);
    let id = cluster.hosts[&owner].0.clone();
    cluster.run(1_600);
    cluster.suspect_at(&successor, &id);
    cluster.run(apart_ms);
    assert_eq!(cluster.server_of(task(1, 0)), Some(server));
    assert!(cluster.owner_shard().holds_authority(MonoMs(cluster.now)));
    // The successor is heard again. It gives no promise for a term of which it holds rank 1, but releases that term
    // once the owner has raised its own.
    cluster.cut_links.remove(&(successor, owner));
    cluster.run_until(45_000, "a restart", |cluster| {
        cluster
            .server_of(task(1, 0))
            .is_some_and(|server| server == other)
    });
}

/// Guards against tasks that run on without authority, and against work that is lost with it.
#[test]
fn lost_authority_saves_and_later_resumes_the_tasks() {
    let mut cluster = with_job(2, 2, 2);
    let successor = cluster.successor();
    cluster.mode = StoreMode::Unavailable;
    cluster.run(7_000);
    assert_eq!(cluster.running_total(), 2, "promises are enough");
    cluster.kill(&successor);
    cluster.run_until(20_000, "leases that lapse", |cluster| {
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
        "from the saved state"
    );
}

/// Guards against a handover that cuts tasks off, loses records or leaves the shard without an owner.
#[test]
fn shutdown_hands_the_shard_over() {
    let mut cluster = with_job(2, 2, 4);
    let attempts = cluster.all_attempts();
    let owner = cluster.owner().expect("owned");
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
    println!("servers take work {ms} ms after the handover began");
    assert_eq!(cluster.owner(), Some(successor));
    cluster.hosts.remove(&owner);
    cluster.run(30_000);
    assert_eq!(cluster.all_attempts(), attempts);
}

/// Guards against a stop without the store that never ends or stops the tasks.
#[test]
fn shutdown_without_the_store_leaves_the_tasks_to_rank_1() {
    let mut cluster = with_job(2, 2, 4);
    let owner = cluster.owner().expect("owned");
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

/// Guards against an orderly stop of the successor that costs the owner its authority during an outage.
#[test]
fn a_stopping_successor_promises_for_ever() {
    let mut cluster = with_job(2, 2, 4);
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
        "another successor once the store is back"
    );
}

/// Guards against a restarted host that cannot own again, and shards that pile up after a rolling restart.
#[test]
fn a_preferred_host_gets_its_shard_back() {
    let mut cluster = with_job(2, 2, 4);
    let attempts = cluster.all_attempts();
    let owner = cluster.owner().expect("owned");
    cluster.kill(&owner);
    cluster.run_until(1_500, "claimed servers", Cluster::is_claimed);
    cluster.start_host(&owner, 100, &HOSTS);
    for server in 0..2 {
        cluster.list_server(server, 2, 8_000, false);
    }
    cluster.run(130_000);
    assert_eq!(cluster.owner(), Some(owner));
    assert_eq!(cluster.all_attempts(), attempts);
}

/// Guards against an owner that was paused past its leases and goes on commanding servers or commits afterwards.
#[test]
fn a_paused_owner_is_fenced_and_steps_down() {
    let mut cluster = with_job(2, 2, 4);
    let attempts = cluster.all_attempts();
    let owner = cluster.owner().expect("owned");
    let paused = cluster.hosts.remove(&owner).expect("lives");
    cluster.run(1_500);
    cluster.suspect(&paused.0);
    cluster.run_until(1_500, "claimed servers", Cluster::is_claimed);
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
