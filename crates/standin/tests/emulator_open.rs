//! Replays of open findings in the emulator; each fails on the decisions as they are.

use primrosestack_standin::emulator::Plan;

/// Guards against a start that a server carries out late, after it was stopped in an earlier life of the server.
#[test]
fn a_stopped_start_is_not_carried_out_by_the_next_life_of_its_server() {
    let world = Plan::draw(132, 6).run(false);
    assert_eq!(world.violation(), None);
}
