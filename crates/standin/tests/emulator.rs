//! The decisions that ship, in the emulator: calm days, and the same day twice.

use primrosestack_standin::emulator::Plan;

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
