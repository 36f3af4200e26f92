//! Batch scheduler: hard limits, shares, learned interference and finish-by times.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use primrosestack_core::placement::{Placement, RackPoolKey, ReclaimAction, Scheduler};
use primrosestack_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{LATENCY_FIRST, SEED, id, place_all, request, scheduler, size, usage};
use test_case::test_case;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// Guards against overfilled servers, tasks that run twice and reservations that are never freed, for any order of
    /// calls.
    #[test]
    fn no_order_of_calls_overfills_a_server(
        steps in prop::collection::vec((0_u8..8, 0_u32..24, 1_u32..9_000, 1_u32..9_000), 1..250)
    ) {
        let whole = size(8_000, 8_000);
        let mut scheduler = scheduler(3, whole);
        let mut running: BTreeMap<TaskId, Placement> = BTreeMap::new();
        let mut pending: BTreeSet<TaskId> = BTreeSet::new();
        for (now, (step, index, millicores, memory)) in (0_u64..).zip(steps) {
            let now = MonoMs(now * 700);
            let task = id(u64::from(index % 3), index);
            match step {
                0 | 1 => {
                    let client = format!("c{}", index % 4);
                    let mut wanted = request(task, &client, "k", size(millicores, memory));
                    wanted.finish_by = (index % 2 == 0).then_some(MonoMs(100_000));
                    scheduler.submit(now, wanted);
                    if !running.contains_key(&task) {
                        pending.insert(task);
                    }
                }
                2 => {
                    scheduler.remove(now, task);
                    running.remove(&task);
                    pending.remove(&task);
                }
                3 => {
                    let server = ServerKey(index % 3);
                    let on_server = running.values().filter(|one| one.server == server);
                    let usages: Vec<_> = on_server
                        .map(|one| usage(one.task, size(millicores, memory), 1_000 + millicores))
                        .collect();
                    scheduler.report(now, server, &usages, 1_000 + memory);
                }
                4 => {
                    let server = ServerKey(index % 3);
                    let need = size(millicores * (index % 2), memory * (index % 2));
                    for action in scheduler.reclaim(now, server, need) {
                        if let ReclaimAction::Evict { task } = action {
                            prop_assert!(running.remove(&task).is_some());
                            scheduler.remove(now, task);
                        }
                    }
                }
                5 => scheduler.set_open(ServerKey(index % 3), index % 5 > 0),
                _ => {
                    for placement in place_all(&mut scheduler, now) {
                        prop_assert!(pending.remove(&placement.task));
                        prop_assert!(running.insert(placement.task, placement).is_none());
                    }
                }
            }
            for key in 0..3 {
                let (reserved, limit) = scheduler.reserved(ServerKey(key)).unwrap();
                prop_assert!(reserved.fits_in(limit), "{reserved:?} reserved");
                let declared = running.values().filter(|one| one.server == ServerKey(key));
                let declared = declared.fold(Resources::default(), |sum, one| sum.saturating_add(one.reserved));
                // Growth is taken back, so a reservation can fall below its start value, but never below the
                // declaration.
                prop_assert!(reserved.is_zero() == declared.is_zero());
            }
        }
        for task in running.keys().chain(&pending) {
            scheduler.remove(MonoMs(1_000_000), *task);
        }
        for key in 0..3 {
            prop_assert!(scheduler.reserved(ServerKey(key)).unwrap().0.is_zero());
        }
    }
}

/// Guards against a client with 100 times the tasks that gets more than its share, among few or many teams.
#[test_case(3; "three teams")]
#[test_case(970; "all teams")]
fn a_greedy_client_gets_its_share(teams: u32) {
    let mut scheduler = scheduler(8, size(10_000, 10_000));
    let mut running: Vec<(u64, TaskId, u32)> = Vec::new();
    let mut served = vec![0_u32; teams as usize];
    for team in 0..teams {
        let count = if team == 0 { 20_000 } else { 200 };
        for index in 0..count {
            let wanted = request(
                id(u64::from(team), index),
                &format!("c{team}"),
                "k",
                size(1_000, 100),
            );
            scheduler.submit(MonoMs(0), wanted);
        }
    }
    for step in 0..(u64::from(teams) / 8).max(7) {
        let now = MonoMs(step * 1_000);
        running.retain(|&(end, task, _)| {
            if end <= now.0 {
                scheduler.remove(now, task);
            }
            end > now.0
        });
        for placement in place_all(&mut scheduler, now) {
            let team = u32::try_from(placement.task.job.0).unwrap();
            served[team as usize] += 1;
            // Declared as 60 s, ends after 1 s.
            running.push((now.0 + 1_000, placement.task, team));
        }
    }
    let most = served.iter().max().unwrap();
    let least = served.iter().min().unwrap();
    let allowed = (least / 10).max(3);
    assert!(most - least <= allowed, "between {least} and {most}");
}

/// Guards against estimates that follow noise, miss the interfering pair or never decay.
#[test]
fn interference_converges_and_ages_out() {
    let mut scheduler = scheduler(8, size(16_000, 16_000));
    let mut state = SEED;
    let mut deviation = |spread: i64| {
        state = stable(state);
        i64::try_from(state % 1_000).unwrap() * spread / 500 - spread
    };
    let kinds = ["calm", "noisy"];
    let mut placed = Vec::new();
    for server in 0..8_u32 {
        for part in 0..4 {
            let kind = kinds[usize::from(part < server % 5)];
            let task = id(u64::from(server), part);
            scheduler.adopt(
                MonoMs(0),
                &request(task, "a", kind, size(4_000, 4_000)),
                ServerKey(server),
            );
            placed.push((task, server));
        }
    }
    for round in 0..60 {
        for server in 0..8_u32 {
            let load = i64::from(server % 5);
            let slowdown = u32::try_from(1_000 + load * 200 + deviation(150)).unwrap();
            let usages: Vec<_> = placed
                .iter()
                .filter(|one| one.1 == server)
                .map(|one| usage(one.0, size(4_000, 4_000), 1_000))
                .collect();
            scheduler.report(MonoMs(round * 1_000), ServerKey(server), &usages, slowdown);
        }
    }
    let calm = scheduler.request_slowdown_permille(ServerKey(0));
    let noisy = scheduler.request_slowdown_permille(ServerKey(4));
    assert!((950..1_100).contains(&calm), "{calm}");
    assert!((1_650..1_950).contains(&noisy), "{noisy}");
    let later = MonoMs(8 * 3_600_000);
    scheduler.report(later, ServerKey(7), &[], 0);
    scheduler.report(later, ServerKey(4), &[], 0);
    let aged = scheduler.expected_request_slowdown_permille(ServerKey(4));
    assert!((1_050..1_200).contains(&aged), "{aged}");
}

fn stable(state: u64) -> u64 {
    primrosestack_core::ids::stable_hash(&state.to_le_bytes(), SEED)
}

/// Guards against a task with a finish-by time that waits behind other work, also when it needs a whole server.
#[test_case(size(1_000, 1_000); "small")]
#[test_case(size(8_000, 8_000); "as large as a server")]
fn batch_with_a_finish_by_time_runs(wanted: Resources) {
    let mut scheduler = scheduler(2, size(8_000, 8_000));
    let mut next_index = 0;
    let mut running: Vec<(u64, TaskId)> = Vec::new();
    let due = id(9, 0);
    for step in 0..400_u64 {
        let now = MonoMs(step * 1_000);
        while next_index < u32::try_from(step).unwrap() * 2 + 40 {
            let one = request(id(1, next_index), "busy", "k", size(1_000, 1_000));
            scheduler.submit(now, one);
            next_index += 1;
        }
        if step == 20 {
            let mut one = request(due, "late", "k", wanted);
            one.finish_by = Some(MonoMs(400_000));
            scheduler.submit(now, one);
        }
        running.retain(|&(end, task)| {
            if end <= now.0 {
                scheduler.remove(now, task);
            }
            end > now.0
        });
        for placement in place_all(&mut scheduler, now) {
            if placement.task == due {
                return;
            }
            let length = 15_000 + stable(u64::from(placement.task.index)) % 5_000;
            running.push((now.0 + length, placement.task));
        }
    }
    panic!("the task with a finish-by time never started");
}

/// Guards against a team over its quota that takes capacity wanted by a team within its quota.
#[test]
fn a_team_within_its_quota_comes_first() {
    let mut scheduler = scheduler(1, size(10_000, 10_000));
    scheduler.set_quota("team-large", 9);
    for (client, job) in [("small", 1), ("large", 2)] {
        for index in 0..8 {
            let one = request(id(job, index), client, client, size(1_000, 1_000));
            scheduler.submit(MonoMs(0), one);
        }
    }
    let placed = place_all(&mut scheduler, MonoMs(0));
    let large = placed.iter().filter(|one| one.task.job == JobId(2)).count();
    assert_eq!((large, placed.len()), (8, 10));
}

/// Guards against ties that always favour a client because of its name or because it arrived first.
#[test]
fn ties_depend_on_the_seed_only() {
    let mut first = 0;
    for seed in 0..200 {
        let mut scheduler = Scheduler::open(LATENCY_FIRST, seed);
        scheduler.put_server(ServerKey(0), RackPoolKey(0), size(1_000, 1_000));
        scheduler.set_open(ServerKey(0), true);
        for (client, job) in [("a", 1), ("b", 2)] {
            let one = request(id(job, 0), client, "k", size(1_000, 1_000));
            scheduler.submit(MonoMs(0), one);
        }
        let placed = place_all(&mut scheduler, MonoMs(0));
        first += u32::from(placed[0].task.job == JobId(1));
    }
    assert!((70..130).contains(&first), "{first} of 200");
}
