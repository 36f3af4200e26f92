//! Batch scheduler: evictions, throttling and outgrown reservations.

mod support;

use std::collections::BTreeSet;

use primrosestack_core::placement::{ReclaimAction, Scheduler};
use primrosestack_core::prelude::*;
use support::{id, place_all, request, scheduler, size, usage};

/// Guards against evicting the same task again while other candidates exist.
#[test]
fn no_task_is_evicted_twice_while_others_run() {
    let mut scheduler = scheduler(1, size(8_000, 8_000));
    for index in 0..8 {
        scheduler.submit(
            MonoMs(0),
            request(id(1, index), "a", "k", size(1_000, 1_000)),
        );
    }
    place_all(&mut scheduler, MonoMs(0));
    let mut evicted = BTreeSet::new();
    for round in 1..8 {
        let now = MonoMs(round * 40_000);
        let actions = scheduler.reclaim(now, ServerKey(0), size(1_000, 1_000));
        assert_eq!(actions.len(), 1);
        for one in actions {
            let ReclaimAction::Evict { task } = one else {
                panic!("only an eviction can free the capacity");
            };
            assert!(evicted.insert(task), "{task:?} evicted again");
            scheduler.remove(now, task);
            scheduler.submit(now, request(task, "a", "k", size(1_000, 1_000)));
        }
        let later = now + DurationMs(35_000);
        scheduler.reclaim(later, ServerKey(0), Resources::default());
        place_all(&mut scheduler, later);
    }
}

/// Guards against giving the base withheld resources to batch tasks when a short reclamation ends.
#[test]
fn base_withheld_capacity_outlasts_reclaimed_capacity() {
    let mut scheduler = scheduler(1, size(8_000, 8_000));
    scheduler.set_withheld(ServerKey(0), size(6_000, 0));
    scheduler.reclaim(MonoMs(0), ServerKey(0), size(1_000, 0));
    for index in 0..8 {
        let one = request(id(index, 0), "a", "k", size(1_000, 1_000));
        scheduler.submit(MonoMs(0), one);
    }
    assert!(place_all(&mut scheduler, MonoMs(0)).is_empty());
    scheduler.reclaim(MonoMs(60_000), ServerKey(0), Resources::default());
    scheduler.report(MonoMs(60_000), ServerKey(0), &[], 1_000);
    assert_eq!(place_all(&mut scheduler, MonoMs(60_000)).len(), 2);
}

/// Guards against evicting more tasks, or more valuable ones, than needed.
#[test]
fn eviction_picks_the_least_lost_work() {
    let mut scheduler = scheduler(1, size(8_000, 8_000));
    for (index, started) in [(0, 0), (1, 50_000), (2, 90_000), (3, 90_000)] {
        let wanted = request(id(1, index), "a", "k", size(2_000, 2_000));
        scheduler.submit(MonoMs(started), wanted);
        place_all(&mut scheduler, MonoMs(started));
    }
    scheduler.checkpointed(MonoMs(99_000), id(1, 0));
    let actions = scheduler.reclaim(MonoMs(100_000), ServerKey(0), size(2_000, 1_000));
    assert_eq!(actions, [ReclaimAction::Evict { task: id(1, 0) }]);
    let repeated = scheduler.reclaim(MonoMs(101_000), ServerKey(0), size(2_000, 1_000));
    assert!(repeated.is_empty(), "{repeated:?}");
}

/// Guards against a task that stays limited by an outgrown reservation, or grows beyond its server.
#[test]
fn an_outgrown_task_grows_into_free_capacity_only() {
    let mut scheduler = scheduler(1, size(8_000, 8_000));
    scheduler.submit(MonoMs(0), request(id(1, 0), "a", "k", size(1_000, 1_000)));
    scheduler.submit(MonoMs(0), request(id(2, 0), "a", "k", size(5_000, 1_000)));
    place_all(&mut scheduler, MonoMs(0));
    let mut limit = 1_000;
    for round in 1..30 {
        let now = MonoMs(round * 2_000);
        let usages = [
            usage(id(1, 0), size(limit, 500), 1_000),
            usage(id(2, 0), size(2_000, 500), 1_000),
        ];
        scheduler.report(now, ServerKey(0), &usages, 1_000);
        for action in scheduler.reclaim(now, ServerKey(0), Resources::default()) {
            let ReclaimAction::Throttle { task, millicores } = action else {
                panic!("nothing has to be evicted");
            };
            assert_eq!(task, id(1, 0));
            limit = millicores;
        }
        let (reserved, whole) = scheduler.reserved(ServerKey(0)).unwrap();
        assert!(reserved.fits_in(whole));
    }
    assert_eq!(limit, 3_000);
}

/// Guards against restarting a task that ran out of memory with the same reservation.
#[test]
fn a_task_out_of_memory_starts_larger_again() {
    let mut scheduler = scheduler(1, size(8_000, 8_000));
    scheduler.submit(MonoMs(0), request(id(1, 0), "a", "k", size(1_000, 1_000)));
    place_all(&mut scheduler, MonoMs(0));
    let mut actions = Vec::new();
    for round in 1..4 {
        let now = MonoMs(round * 2_000);
        let usages = [usage(id(1, 0), size(300, 1_000), 9_000)];
        scheduler.report(now, ServerKey(0), &usages, 1_000);
        actions = scheduler.reclaim(now, ServerKey(0), Resources::default());
    }
    assert_eq!(actions, [ReclaimAction::Evict { task: id(1, 0) }]);
    scheduler.remove(MonoMs(7_000), id(1, 0));
    scheduler.submit(
        MonoMs(7_000),
        request(id(1, 0), "a", "k", size(1_000, 1_000)),
    );
    let placed = place_all(&mut scheduler, MonoMs(7_000));
    assert_eq!(placed[0].reserved, size(1_000, 4_000));
}

/// Guards against starting, and evicting, all tasks of a job before one has shown that the declaration is wrong.
#[test]
fn a_job_of_a_doubted_kind_starts_one_task_first() {
    let mut scheduler = scheduler(4, size(64_000, 64_000));
    let submit = |scheduler: &mut Scheduler, now: MonoMs, job: u64, kind: &str| {
        for index in 0..20 {
            let one = request(id(job, index), "a", kind, size(1_000, 1_000));
            scheduler.submit(now, one);
        }
    };
    submit(&mut scheduler, MonoMs(0), 1, "leaky");
    let first = place_all(&mut scheduler, MonoMs(0));
    assert_eq!(first.len(), 8, "nothing is known of the kind");
    let mut evicted = 0;
    for round in 1..4 {
        let now = MonoMs(round * 1_000);
        for placement in &first {
            let usages = [usage(placement.task, size(900, 1_000), 9_000)];
            scheduler.report(now, placement.server, &usages, 1_000);
            evicted += scheduler
                .reclaim(now, placement.server, Resources::default())
                .len();
        }
    }
    assert_eq!(evicted, 8);
    submit(&mut scheduler, MonoMs(5_000), 2, "leaky");
    submit(&mut scheduler, MonoMs(5_000), 3, "other");
    let placed = place_all(&mut scheduler, MonoMs(5_000));
    let of = |job: u64| {
        placed
            .iter()
            .filter(|one| one.task.job == JobId(job))
            .count()
    };
    assert_eq!((of(2), of(3)), (1, 8));
    let waits = place_all(&mut scheduler, MonoMs(40_000));
    let of_other = waits.iter().filter(|one| one.task.job == JobId(3)).count();
    assert_eq!((waits.len(), of_other), (12, 12), "{waits:?}");
    scheduler.remove(MonoMs(41_000), id(2, 0));
    let released = place_all(&mut scheduler, MonoMs(41_000));
    assert_eq!(released.len(), 19);
}

/// Guards against tasks that are held back forever because the first ones of their job prove nothing.
#[test]
fn tasks_are_held_back_for_a_bounded_time() {
    let mut scheduler = scheduler(1, size(64_000, 64_000));
    for index in 0..20 {
        let one = request(id(1, index), "a", "k", size(1_000, 1_000));
        scheduler.submit(MonoMs(0), one);
    }
    assert_eq!(place_all(&mut scheduler, MonoMs(0)).len(), 8);
    assert!(place_all(&mut scheduler, MonoMs(7_000)).is_empty());
    assert_eq!(place_all(&mut scheduler, MonoMs(8_000)).len(), 12);
}

/// Guards against an evicted task that waits behind all other tasks of its client.
#[test]
fn an_evicted_task_goes_before_the_others_of_its_client() {
    let mut scheduler = scheduler(1, size(1_000, 1_000));
    for index in 0..4 {
        let one = request(id(index, 0), "a", "k", size(1_000, 1_000));
        scheduler.submit(MonoMs(0), one);
    }
    let first = place_all(&mut scheduler, MonoMs(0))[0].task;
    scheduler.reclaim(MonoMs(1_000), ServerKey(0), size(1_000, 0));
    scheduler.remove(MonoMs(2_000), first);
    scheduler.submit(MonoMs(2_000), request(first, "a", "k", size(1_000, 1_000)));
    scheduler.reclaim(MonoMs(40_000), ServerKey(0), Resources::default());
    assert_eq!(place_all(&mut scheduler, MonoMs(40_000))[0].task, first);
}

/// Guards against acting on a single outlier, and against throttling that is never lifted.
#[test]
fn throttling_follows_lasting_slowdowns_and_is_lifted() {
    let mut scheduler = scheduler(1, size(8_000, 8_000));
    scheduler.submit(MonoMs(0), request(id(1, 0), "a", "k", size(8_000, 1_000)));
    place_all(&mut scheduler, MonoMs(0));
    let mut limits = Vec::new();
    let mut limit = 8_000;
    for round in 1..60_u64 {
        let now = MonoMs(round * 5_000);
        let slowdown = match round {
            3 => 9_000,
            10..20 => 6_000,
            _ => 1_000,
        };
        let usages = [usage(id(1, 0), size(limit * 9 / 10, 500), 1_000)];
        scheduler.report(now, ServerKey(0), &usages, slowdown);
        for action in scheduler.reclaim(now, ServerKey(0), Resources::default()) {
            let ReclaimAction::Throttle { millicores, .. } = action else {
                continue;
            };
            assert!(round >= 12, "after one report only");
            limits.push(millicores);
            limit = millicores;
        }
    }
    assert!(limits.contains(&4_000), "{limits:?}");
    assert_eq!(limits.last(), Some(&8_000), "{limits:?}");
}

/// Guards against tasks held back forever behind first ones that fill their memory without lacking any.
#[test]
fn full_memory_holds_the_others_back_once() {
    let mut scheduler = scheduler(1, size(64_000, 64_000));
    for index in 0..20 {
        let one = request(id(1, index), "a", "k", size(1_000, 1_000));
        scheduler.submit(MonoMs(0), one);
    }
    let first = place_all(&mut scheduler, MonoMs(0));
    let mut started = Vec::new();
    for round in 1..60 {
        let now = MonoMs(round * 1_000);
        let usages: Vec<_> = first
            .iter()
            .map(|one| usage(one.task, size(500, 1_000), 1_000))
            .collect();
        scheduler.report(now, ServerKey(0), &usages, 1_000);
        started.extend(place_all(&mut scheduler, now).iter().map(|_| round));
    }
    assert_eq!(started, [46; 12]);
}
