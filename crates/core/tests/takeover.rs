//! Scenarios of ownership: takeover, rank 1, releases, loss of authority and handover.

mod common;

use common::*;
use primrosestack_core::ownership::Role;
use primrosestack_core::prelude::*;
use test_case::test_case;

fn with_job(servers: usize, rack: usize, tasks: u32) -> World {
    let mut world = opened(servers, rack);
    world.submit(job(1, tasks));
    world.run(3_000);
    assert_eq!(world.running_total(), tasks as usize);
    world
}

/// Guards against a takeover that takes longer than 3 s, disturbs running tasks or forgets them.
#[test]
fn the_successor_takes_over_running_tasks() {
    let mut world = with_job(2, 2, 6);
    let attempts = world.all_attempts();
    let owner = world.owner().expect("owned");
    let successor = world.successor();
    world.kill(&owner);
    let ms = world.run_until(1_500, "claimed servers", World::is_claimed);
    println!(
        "servers take work {} ms after the owner's death",
        1_500 + ms
    );
    assert_eq!(world.owner(), Some(successor));
    world.run(30_000);
    assert_eq!(world.all_attempts(), attempts, "no task was restarted");
    assert_eq!(world.submit(job(2, 1)), accepted(2, true));
}

/// Guards against a restart, after a takeover, of a task that may be running on a server that does not answer, and
/// against waiting for ever.
#[test]
fn a_new_owner_waits_for_unreachable_servers() {
    let mut world = with_job(2, 2, 1);
    let server = world.server_of(task(1, 0)).expect("runs");
    let owner = world.owner().expect("owned");
    let successor = world.successor();
    world.cut_off(&successor, &server);
    let third = HOSTS
        .into_iter()
        .find(|name| *name != owner && *name != successor);
    world.cut_off(third.expect("three hosts"), &server);
    world.kill(&owner);
    let swapped = world.now;
    world.run_until(20_000, "a restart", |world| {
        world.running(task(1, 0)) == 1 && world.server_of(task(1, 0)) != Some(server.clone())
    });
    let waited = world.now - swapped;
    assert!(waited >= 16_320, "restarted after {waited} ms");
}

/// Guards against a takeover by a third host that restarts unreachable work without the successor's release, and
/// against an operator's declaration that has no effect.
#[test]
fn without_a_release_unreachable_work_waits_for_the_operator() {
    let mut world = with_job(2, 2, 1);
    let server = world.server_of(task(1, 0)).expect("runs");
    let owner = world.owner().expect("owned");
    let successor = world.successor();
    world.lose_server(&server);
    let (first, _) = world.hosts.remove(&owner).expect("lives");
    let (second, _) = world.hosts.remove(&successor).expect("lives");
    world.run(1_500);
    world.suspect(&first);
    world.suspect(&second);
    world.run_until(6_000, "a new owner", |world| world.owner().is_some());
    world.run(60_000);
    assert_eq!(
        world.running(task(1, 0)),
        0,
        "the server may run it for all that is known"
    );
    let owner = world.owner().expect("owned");
    world.send(&owner, Event::ServerDeclaredGone { server });
    world.run(1_000);
    assert_eq!(world.running(task(1, 0)), 1);
}

/// Guards against a third host that waits for a release which the living successor gives.
#[test]
fn a_release_lets_unreachable_work_go_on() {
    let mut world = with_job(2, 2, 1);
    let server = world.server_of(task(1, 0)).expect("runs");
    let owner = world.owner().expect("owned");
    let successor = world.successor();
    world.cut_off(&successor, "store");
    world.lose_server(&server);
    world.kill(&owner);
    world.run_until(14_000, "another owner", |world| {
        world.owner().is_some_and(|owner| owner != successor)
    });
    world.run_until(22_000, "a restart", |world| world.running(task(1, 0)) == 1);
}

/// Guards against a shard without an owner during an outage, rank 1 that takes longer than 5 s, lets leases lapse or
/// starts tasks, and a holder of rank 1 that does not become owner when the store returns.
#[test_case(false; "calls are refused")]
#[test_case(true; "calls get no answer")]
fn rank_1_keeps_tasks_alive_while_the_store_is_down(is_silent: bool) {
    let mut world = with_job(2, 2, 6);
    world.is_silent = is_silent;
    let attempts = world.all_attempts();
    let owner = world.owner().expect("owned");
    let successor = world.successor();
    for name in HOSTS {
        world.cut_off(name, "store");
    }
    world.run(5_000);
    world.kill(&owner);
    let ms = world.run_until(3_500, "rank 1 at every server", |world| {
        let shard = world.shard(&successor);
        let mut servers = shard.servers();
        servers.all(|server| shard.may_send(server.key, MonoMs(world.now)).is_some())
    });
    println!(
        "servers take requests {} ms after the owner's death without the store",
        1_500 + ms
    );
    let epoch = world.shard(&successor).epoch().expect("commands");
    assert_eq!(epoch.rank, 1);
    world.run(60_000);
    assert_eq!(world.all_attempts(), attempts);
    assert_eq!(world.running_total(), 6);
    world.cut.clear();
    world.run_until(13_000, "a term of its own", |world| {
        world.owner() == Some(successor.clone())
    });
    assert!(world.owner_shard().epoch().expect("commands").term > epoch.term);
    world.run(30_000);
    assert_eq!(world.all_attempts(), attempts);
}

/// Guards against an owner that goes on where a server obeys rank 1, instead of raising its term.
#[test]
fn an_owner_raises_its_term_over_rank_1() {
    let mut world = with_job(2, 2, 4);
    let owner = world.owner().expect("owned");
    let successor = world.successor();
    let attempts = world.all_attempts();
    let term = world.owner_shard().term();
    // The successor reaches the servers but neither the store nor the owner.
    world.cut_off(&successor, "store");
    world.cut_off(&successor, &owner);
    world.run(1_600);
    let id = world.hosts[&owner].0.clone();
    world.suspect_at(&successor, &id);
    world.run_until(4_000, "a raised term", |world| {
        world.owner_shard().term() > term
    });
    world.run(20_000);
    assert_eq!(world.owner(), Some(owner));
    assert_eq!(world.all_attempts(), attempts);
    assert_eq!(world.running_total(), 4);
    assert!(world.is_claimed());
}

/// Guards against an owner that restarts a lost server's task while the successor, of which it has no promise, keeps
/// that task alive at rank 1.
#[test_case(5_000; "heard again before the lease lapses")]
#[test_case(40_000; "heard again afterwards")]
fn without_a_promise_lost_work_is_not_restarted(apart_ms: u64) {
    let mut world = with_job(2, 2, 1);
    let server = world.server_of(task(1, 0)).expect("runs");
    let owner = world.owner().expect("owned");
    let successor = world.successor();
    world.cut_off(&successor, "store");
    world.cut_off(&successor, &owner);
    world.cut_off(&owner, &server);
    let other = if server == "w0" { "w1" } else { "w0" };
    world.cut_off(&successor, other);
    let id = world.hosts[&owner].0.clone();
    world.run(1_600);
    world.suspect_at(&successor, &id);
    world.run(apart_ms);
    assert_eq!(world.server_of(task(1, 0)), Some(server));
    assert!(world.owner_shard().holds_authority(MonoMs(world.now)));
    // The successor is heard again. It gives no promise for a term of which it holds rank 1, but releases that term
    // once the owner has raised its own.
    world.cut.remove(&(successor, owner));
    world.run_until(45_000, "a restart", |world| {
        world
            .server_of(task(1, 0))
            .is_some_and(|server| server == other)
    });
}

/// Guards against tasks that run on without authority, and against work that is lost with it.
#[test]
fn lost_authority_saves_and_later_resumes_the_tasks() {
    let mut world = with_job(2, 2, 2);
    let successor = world.successor();
    world.mode = StoreMode::Unavailable;
    world.run(7_000);
    assert_eq!(world.running_total(), 2, "promises are enough");
    world.kill(&successor);
    world.run_until(20_000, "leases that lapse", |world| {
        world.running_total() == 0
    });
    assert!(
        world
            .servers
            .values()
            .flat_map(|server| server.attempts.values())
            .all(|attempted| attempted.checkpoint.is_some())
    );
    assert_eq!(world.count("authority_lost"), 1);
    world.run(20_000);
    assert_eq!(world.running_total(), 0);
    world.mode = StoreMode::Up;
    world.run(15_000);
    assert_eq!(world.running_total(), 2);
    let mut attempts = world
        .servers
        .values()
        .flat_map(|server| server.attempts.values());
    assert!(
        attempts.all(|attempted| attempted.resumed_from.is_some()),
        "from the saved state"
    );
}

/// Guards against a handover that cuts tasks off, loses records or leaves the shard without an owner.
#[test]
fn shutdown_hands_the_shard_over() {
    let mut world = with_job(2, 2, 4);
    let attempts = world.all_attempts();
    let owner = world.owner().expect("owned");
    let successor = world.successor();
    world.send(&owner, Event::Shutdown);
    assert!(world.shard(&owner).is_stopped());
    let token = CallerToken(77);
    world.send(
        &owner,
        Event::Submit {
            token,
            job: job(9, 1),
        },
    );
    assert_eq!(
        world.reply(token),
        Some(CallerReply::NotRun(NotRun::ShuttingDown))
    );
    let ms = world.run_until(1_000, "a new owner", World::is_claimed);
    println!("servers take work {ms} ms after the handover began");
    assert_eq!(world.owner(), Some(successor));
    world.hosts.remove(&owner);
    world.run(30_000);
    assert_eq!(world.all_attempts(), attempts);
}

/// Guards against a stop without the store that never ends or stops the tasks.
#[test]
fn shutdown_without_the_store_leaves_the_tasks_to_rank_1() {
    let mut world = with_job(2, 2, 4);
    let owner = world.owner().expect("owned");
    world.mode = StoreMode::Unavailable;
    world.run(3_000);
    world.send(&owner, Event::Shutdown);
    world.run_until(9_000, "the owner stops", |world| {
        world.shard(&owner).is_stopped()
    });
    world.kill(&owner);
    world.run(60_000);
    assert_eq!(world.running_total(), 4);
}

/// Guards against an orderly stop of the successor that costs the owner its authority during an outage.
#[test]
fn a_stopping_successor_promises_for_ever() {
    let mut world = with_job(2, 2, 4);
    let successor = world.successor();
    world.mode = StoreMode::Unavailable;
    world.run(3_000);
    world.send(&successor, Event::Shutdown);
    assert_eq!(world.shard(&successor).role(), Role::Stopped);
    world.kill(&successor);
    world.run(60_000);
    assert_eq!(world.running_total(), 4);
    assert_eq!(world.count("authority_lost"), 0);
    world.mode = StoreMode::Up;
    world.run(15_000);
    assert_ne!(
        world.successor(),
        successor,
        "another successor once the store is back"
    );
}

/// Guards against a restarted host that cannot own again, and shards that pile up after a rolling restart.
#[test]
fn a_preferred_host_gets_its_shard_back() {
    let mut world = with_job(2, 2, 4);
    let attempts = world.all_attempts();
    let owner = world.owner().expect("owned");
    world.kill(&owner);
    world.run_until(1_500, "claimed servers", World::is_claimed);
    world.start_host(&owner, 100, &HOSTS);
    for server in 0..2 {
        world.list(server, 2, 8_000, false);
    }
    world.run(130_000);
    assert_eq!(world.owner(), Some(owner));
    assert_eq!(world.all_attempts(), attempts);
}

/// Guards against an owner that was paused past its leases and goes on commanding servers or commits afterwards.
#[test]
fn a_paused_owner_is_fenced_and_steps_down() {
    let mut world = with_job(2, 2, 4);
    let attempts = world.all_attempts();
    let owner = world.owner().expect("owned");
    let paused = world.hosts.remove(&owner).expect("lives");
    world.run(1_500);
    world.suspect(&paused.0);
    world.run_until(1_500, "claimed servers", World::is_claimed);
    let successor = world.owner();
    world.run(20_000);
    world.hosts.insert(owner.clone(), paused);
    let token = CallerToken(77);
    world.send(
        &owner,
        Event::Submit {
            token,
            job: job(9, 1),
        },
    );
    world.run(10_000);
    assert_eq!(world.shard(&owner).role(), Role::Observer);
    assert!(matches!(
        world.reply(token),
        Some(CallerReply::Unknown | CallerReply::NotRun(_))
    ));
    assert_eq!(world.owner(), successor);
    assert!(world.owner_shard().job(JobId(9)).is_none());
    assert_eq!(world.all_attempts(), attempts);
}
