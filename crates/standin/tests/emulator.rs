//! The decisions that ship, in the emulator: calm days, seeded faults, and separated owners and leaving servers.

use primrosestack_standin::emulator::Plan;

/// Seeds of the short set; `cargo run --release --example fleet_faults` runs more. Seeds of findings are in
/// `emulator_replays.rs`.
const SEEDS: u64 = 120;

/// Largest number of faults of a day.
const FAULTS_MAX: usize = 6;

/// Guards against jobs that are lost, doubled or left without any fault.
#[test]
fn calm_days_complete_every_job() {
    for seed in 1..=20 {
        let world = Plan::draw(seed, 0).run(false);
        assert_eq!(world.violation(), None, "seed {seed}");
        assert!(world.starts() > 0, "seed {seed} starts nothing");
    }
}

/// Guards against days that cannot be repeated by their seed.
#[test]
fn a_seed_repeats_the_same_day() {
    let traces = [(); 2].map(|()| Plan::draw(7, FAULTS_MAX).run(true).trace().to_vec());
    assert!(!traces[0].is_empty());
    assert!(traces[0] == traces[1], "the traces of one seed differ");
}

/// Guards against broken rules on days with overlapping faults of hosts, servers, links and the store.
#[test]
fn days_with_faults_break_no_rule() {
    for seed in 1..=SEEDS {
        let world = Plan::draw(seed, FAULTS_MAX).run(false);
        assert_eq!(world.violation(), None, "seed {seed}");
    }
}

/// Guards against second runs under owners that lost the store and some servers but not all, and against starts on servers
/// that drain or losses with those that leave.
#[test]
fn days_with_separations_and_departures_break_no_rule() {
    for seed in 1..=SEEDS {
        let plan = Plan::draw(seed, FAULTS_MAX).with_separations();
        assert_eq!(plan.run(false).violation(), None, "seed {seed}");
    }
}
