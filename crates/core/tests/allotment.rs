//! Request slots of a backend server and the resources that batch tasks must leave free for them.

use primrosestack_core::allotment::{Allotment, AllotmentConfig};
use primrosestack_core::capacity::Resources;
use primrosestack_core::time::MonoMs;
use proptest::prelude::*;
use test_case::test_case;

fn cores(count: u32) -> Resources {
    Resources {
        millicores: count * 1_000,
        memory_mib: count * 1_024,
        accelerators: 0,
    }
}

/// Guards against slots that open before any document states the size of a request, which overfilled servers.
#[test]
fn no_slot_is_open_while_the_size_of_a_request_is_unknown() {
    let config = AllotmentConfig::with_latency_weight(8, Resources::default(), 500);
    let allotment = Allotment::open(config);
    assert_eq!(allotment.open_slots(config, cores(16), cores(16)), 0);
}

/// Guards against a weight that covers no slot, or more slots than the server has.
#[test_case(0, 1; "no weight keeps one slot")]
#[test_case(250, 2; "a quarter")]
#[test_case(700, 6; "rounded up")]
#[test_case(5_000, 8; "beyond the whole")]
fn slots_without_load_follow_the_latency_weight(latency_permille: u32, slots: u32) {
    let config = AllotmentConfig::with_latency_weight(8, cores(2), latency_permille);
    assert_eq!(Allotment::open(config).slots(), slots);
}

/// Guards against withheld resources that swing with each pause in the load.
#[test]
fn demand_counts_for_at_least_one_period_after_it_ended() {
    let config = AllotmentConfig::with_latency_weight(8, cores(2), 0);
    let mut allotment = Allotment::open(config);
    allotment.observe_demand(MonoMs(5_000), config, 6);
    assert_eq!(allotment.slots(), 8);
    allotment.observe_demand(MonoMs(9_999), config, 0);
    allotment.observe_demand(MonoMs(14_000), config, 0);
    assert_eq!(allotment.slots(), 8);
    allotment.observe_demand(MonoMs(15_000), config, 0);
    allotment.observe_demand(MonoMs(20_000), config, 0);
    assert_eq!(allotment.slots(), 2);
}

proptest! {
    /// Guards against requests and batch tasks that together exceed the server, for any demand and any use by batch.
    #[test]
    fn open_slots_and_batch_fit_into_the_server(demands in prop::collection::vec(0_u32..12, 1..40), batch in 0_u32..40) {
        let total = cores(16);
        let config = AllotmentConfig::with_latency_weight(8, cores(2), 300);
        let mut allotment = Allotment::open(config);
        for (now, demand) in (0..).zip(demands) {
            allotment.observe_demand(MonoMs(now * 1_000), config, demand);
            let withheld = allotment.withheld(config, 0);
            let left = total.saturating_sub(cores(batch));
            let open = allotment.open_slots(config, withheld, left);
            let used = config.slot_size.saturating_mul(open);
            prop_assert!(open <= 8);
            prop_assert!(used.fits_in(left));
            prop_assert!(used.fits_in(withheld));
        }
    }
}
