//! Dispatch of latency-critical requests.

use std::collections::{BTreeMap, BTreeSet};

use primrosestack_core::dispatch::{
    Admission, Dispatcher, DispatcherConfig, Link, RefusalReason, Request,
};
use primrosestack_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const SEED: u64 = 7;

fn request(id: u64, client: &str, deadline_ms: u64) -> Request {
    Request {
        id,
        team: "crew".into(),
        client: client.into(),
        kind: "quote".into(),
        deadline: MonoMs(deadline_ms),
        spilled: false,
    }
}

fn dispatcher(servers: u32, slots: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::open(DispatcherConfig::with_seed(SEED));
    for key in 0..servers {
        dispatcher.put_server(MonoMs(0), ServerKey(key), slots);
    }
    dispatcher
}

/// Guards against a client that floods the queue and takes the slots of the others.
#[test]
fn a_greedy_client_does_not_starve_others() {
    let mut dispatcher = dispatcher(1, 2);
    let mut client_of = BTreeMap::new();
    let mut running = Vec::new();
    let mut served: BTreeMap<&str, u64> = BTreeMap::new();
    let mut id = 0;
    for now in 0..4_000 {
        for (client, every) in [("a", 40), ("b", 40), ("greedy", 1)] {
            if now % every > 0 {
                continue;
            }
            id += 1;
            client_of.insert(id, client);
            if let Admission::Send(server) =
                dispatcher.admit(MonoMs(now), request(id, client, now + 5_000))
            {
                running.push((now + 20, server, id));
            }
        }
        running.retain(|&(end, server, id)| {
            if end <= now {
                dispatcher.finished(MonoMs(now), server, id, 20, false);
                *served.entry(client_of[&id]).or_default() += 1;
            }
            end > now
        });
        while let Some(sent) = dispatcher.next(MonoMs(now)) {
            running.push((now + 20, sent.server, sent.id));
        }
        dispatcher.take_refused(MonoMs(now));
    }
    assert!(served["a"] >= 95, "{served:?}");
    assert!(served["b"] >= 95, "{served:?}");
}

/// Guards against spilling requests that would be served sooner locally, and against never spilling.
#[test_case(10, 0, 0, true; "the link is cheap")]
#[test_case(10, 5_000, 0, false; "the price exceeds the wait")]
#[test_case(3_000, 0, 0, false; "the round trip exceeds the wait")]
#[test_case(10, 0, 5_000, false; "the other side is as full")]
fn spill_follows_wait_round_trip_and_price(
    round_trip_ms: u64,
    price_ms: u64,
    wait_ms: u64,
    spills: bool,
) {
    let mut dispatcher = dispatcher(1, 1);
    let link = Link {
        round_trip_ms,
        price_ms,
        wait_ms,
        open: true,
    };
    dispatcher.set_link("pel", link);
    let mut spilled = false;
    for id in 0..40 {
        let admission = dispatcher.admit(MonoMs(0), request(id, "a", 60_000));
        spilled |= matches!(admission, Admission::Spill(_));
    }
    assert_eq!(spilled, spills);
}

/// Guards against a server that fails at once attracting most requests, since it always looks free.
#[test]
fn a_server_that_fails_everything_gets_only_probes() {
    let mut dispatcher = dispatcher(4, 8);
    let mut to_faulty = 0;
    for id in 0..2_000 {
        let now = MonoMs(id * 5);
        let Admission::Send(server) = dispatcher.admit(now, request(id, "a", now.0 + 1_000)) else {
            continue;
        };
        let failed = server == ServerKey(0);
        to_faulty += u32::from(failed);
        dispatcher.finished(now, server, id, 4, failed);
    }
    assert!(to_faulty <= 8, "{to_faulty} requests sent to it");
}

/// Guards against requests sent to slowed servers while others have free slots, and against slowed servers left idle.
#[test]
fn slowed_servers_are_taken_last() {
    let mut dispatcher = dispatcher(4, 2);
    for key in 0..3 {
        dispatcher.set_slowdown(MonoMs(0), ServerKey(key), 1_500);
    }
    let mut order = Vec::new();
    for id in 0..8 {
        let Admission::Send(server) = dispatcher.admit(MonoMs(0), request(id, "a", 1_000)) else {
            panic!("a slot is free");
        };
        order.push(server.0);
    }
    assert_eq!(order[..2], [3, 3]);
}

/// Guards against flooding a reopened server before its caches are warm.
#[test]
fn a_returned_server_starts_slowly() {
    let mut dispatcher = dispatcher(1, 8);
    dispatcher.open_server(MonoMs(0), ServerKey(0), false);
    let refused = dispatcher.admit(MonoMs(0), request(1, "a", 9_000));
    assert!(
        matches!(&refused, Admission::Refused(refusal) if refusal.reason == RefusalReason::NoServer)
    );
    dispatcher.open_server(MonoMs(0), ServerKey(0), true);
    let mut sent_at_once = 0;
    for id in 10..20 {
        let admission = dispatcher.admit(MonoMs(1), request(id, "a", 60_000));
        sent_at_once += u32::from(matches!(admission, Admission::Send(_)));
    }
    assert_eq!(sent_at_once, 1);
    let mut sent_later = 0;
    while dispatcher.next(MonoMs(10_000)).is_some() {
        sent_later += 1;
    }
    assert_eq!(sent_later, 7);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// Guards against more requests in flight at a server than it has slots, and against lost requests.
    #[test]
    fn slots_hold_and_no_request_vanishes(
        steps in prop::collection::vec((0_u8..5, 0_u64..40, 0_u32..3), 1..300)
    ) {
        let mut dispatcher = dispatcher(3, 2);
        let mut in_flight: BTreeMap<u64, ServerKey> = BTreeMap::new();
        let mut waiting = BTreeSet::new();
        for (id, (step, wait, server)) in (0_u64..).zip(steps) {
            let now = MonoMs(id * 10);
            match step {
                0 | 1 => {
                    let client = format!("c{wait}");
                    match dispatcher.admit(now, request(id, &client, now.0 + wait * 20 + 1)) {
                        Admission::Send(server) => { in_flight.insert(id, server); }
                        Admission::Queued => { waiting.insert(id); }
                        Admission::Spill(_) | Admission::Refused(_) => {}
                    }
                }
                2 => {
                    // The second call names a request that is no longer in flight.
                    if let Some((ended, server)) = in_flight.pop_first() {
                        dispatcher.finished(now, server, ended, wait, wait > 20);
                        dispatcher.finished(now, server, ended, wait, false);
                    }
                }
                3 => dispatcher.open_server(now, ServerKey(server), wait % 2 == 0),
                _ => {
                    while let Some(sent) = dispatcher.next(now) {
                        prop_assert!(waiting.remove(&sent.id));
                        in_flight.insert(sent.id, sent.server);
                    }
                }
            }
            for refusal in dispatcher.take_refused(now) {
                prop_assert!(waiting.remove(&refusal.id));
            }
            for key in 0..3 {
                let busy = in_flight.values().filter(|at| **at == ServerKey(key)).count();
                prop_assert!(busy <= 2);
            }
            prop_assert_eq!(dispatcher.queued(), waiting.len());
        }
    }
}
