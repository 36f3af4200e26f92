//! Pattern: hundreds of hosts that need the load of every shard several times a second.

use primrosestack_fleet::intake::Load;
use primrosestack_fleet::load_views::{LOAD_MAX_AGE_MS, LoadQuery, LoadReport, LoadViews};
use test_case::test_case;

const NOW_MS: u64 = 1_000_000;

/// Age from which a relayed load makes a host ask the owner itself.
const OUTDATED_RELAY_MS: u64 = 1_000;

fn report(cpu_millis: u64, age_ms: u64) -> LoadReport {
    LoadReport {
        load: Load {
            cpu_millis,
            ..Load::default()
        },
        queued: vec![("quotes".into(), 3)],
        age_ms,
    }
}

/// Views of a host in failure domain `own` that knows fresh loads of all shards.
fn informed_host(own: usize, shards: usize) -> LoadViews {
    let mut views = LoadViews::open(own, shards);
    for index in 0..shards {
        views.apply(index, report(100, 0), NOW_MS);
    }
    views
}

/// Guards against a number of requests that grows with the product of hosts and failure domains.
#[test_case(147, 5; "large deployment")]
#[test_case(1_500, 36; "design size")]
fn requests_grow_with_the_sum_of_hosts_and_owner_pairs(hosts: usize, shards: usize) {
    let mut total = 0;
    for host in 0..hosts {
        // The first host of each failure domain owns its shard.
        let own = host % shards;
        let mut owned = vec![false; shards];
        owned[own] = host < shards;
        total += informed_host(own, shards).due_queries(&owned, NOW_MS).len();
    }
    assert_eq!(total, hosts - shards + shards * (shards - 1));
}

/// Guards against hosts that fetch the interference table, which only owners use, or fetch it with each load.
#[test]
fn only_owners_fetch_interference_estimates_and_rarely() {
    let asks_for_table = |query: &LoadQuery| {
        matches!(
            query,
            LoadQuery::Shard {
                interference: true,
                ..
            }
        )
    };
    let mut owner = informed_host(0, 5);
    let own_shard = [true, false, false, false, false];
    assert_eq!(
        owner
            .due_queries(&own_shard, NOW_MS)
            .iter()
            .filter(|query| asks_for_table(query))
            .count(),
        4
    );
    for index in 1..5 {
        owner.interference_merged(index, NOW_MS);
    }
    let soon = owner.due_queries(&own_shard, NOW_MS + 300);
    assert!(!soon.iter().any(asks_for_table));
    let host = LoadViews::open(0, 5);
    assert!(
        !host
            .due_queries(&[false; 5], NOW_MS)
            .iter()
            .any(asks_for_table)
    );
}

/// Guards against a host without loads after the owner of its failure domain died or was cut off from the others.
#[test]
fn a_host_asks_the_owners_itself_when_relayed_loads_are_outdated() {
    let views = informed_host(0, 3);
    let queries = views.due_queries(&[false; 3], NOW_MS + OUTDATED_RELAY_MS);
    assert!(queries.contains(&LoadQuery::Shard {
        index: 1,
        interference: false
    }));
    assert!(queries.contains(&LoadQuery::Shard {
        index: 2,
        interference: false
    }));
    assert!(
        queries.contains(&LoadQuery::All { index: 0 }),
        "the owner may be back"
    );
}

/// Guards against a relayed load that replaces a newer one, or that seems younger than it is.
#[test]
fn the_age_of_a_relayed_load_counts() {
    let mut views = LoadViews::open(0, 2);
    views.apply(1, report(200, 100), NOW_MS);
    views.apply(1, report(300, 400), NOW_MS);
    assert_eq!(
        views.view(1).load.as_ref().map(|load| load.cpu_millis),
        Some(200)
    );
    let (index, _, age_ms) = views
        .relayable(NOW_MS + 500)
        .next()
        .expect("the load is fresh");
    assert_eq!((index, age_ms), (1, 600));
    assert_eq!(
        views.relayable(NOW_MS + LOAD_MAX_AGE_MS).count(),
        0,
        "outdated loads are not passed on"
    );
    views.expire(NOW_MS + LOAD_MAX_AGE_MS);
    assert!(views.view(1).load.is_none());
}
