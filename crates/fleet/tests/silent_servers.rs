//! Registered servers that have never answered, such as those of another writer's entry.

mod common;

use common::{Harness, entry, step};

/// Names of the servers that the next batch records; writes the batch.
fn record_servers(harness: &mut Harness) -> Vec<String> {
    let batch = harness.shard.take_batch(harness.now_ms);
    harness.shard.batch_written(&batch);
    batch.servers.expect("the servers are recorded").names
}

/// Guards against each later owner waiting for a server that holds no lease before it starts tasks.
#[test]
fn a_successor_waits_for_no_server_that_never_answered() {
    let mut first = Harness::open_term(1, &[], &["one", "silent"]);
    first.claim("one");
    let recorded = record_servers(&mut first);
    let recorded: Vec<&str> = recorded.iter().map(String::as_str).collect();
    let mut second = Harness::open_term(2, &recorded, &["one", "silent"]);
    second.submit_at(7, 0, vec![step(1)], 50);
    second.claim("one");
    second.write_records();
    second.plan();
    assert_eq!(second.starts.len(), 1, "{recorded:?}");
}

/// Guards against a successor that does not wait for a server with a lease of the owner before.
#[test]
fn servers_of_earlier_owners_stay_recorded_until_they_answer() {
    let mut second = Harness::open_term(2, &["one", "two", "gone"], &["one", "two"]);
    second.claim("one");
    assert_eq!(record_servers(&mut second), ["gone", "one", "two"]);
    let mut third = Harness::open_term(3, &["one", "two"], &["one", "two"]);
    third.submit_at(7, 0, vec![step(1)], 50);
    third.claim("one");
    third.write_records();
    third.plan();
    assert!(third.starts.is_empty());
}

/// Guards against a start on a server that a successor would not wait for.
#[test]
fn nothing_starts_on_a_server_that_is_not_recorded() {
    let mut harness = Harness::open_term(1, &[], &["one"]);
    harness.submit(7, 0, vec![step(1)]);
    harness.write_records();
    harness.claim("one");
    harness.plan();
    assert!(harness.starts.is_empty());
    harness.write_records();
    harness.plan();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a write to the store for each change of an entry whose server never answers.
#[test]
fn servers_that_never_answered_cause_no_writes() {
    let mut harness = Harness::open(&["one"]);
    for _ in 0..3 {
        harness.shard.set_server(entry("silent"), harness.now_ms);
        assert_eq!(harness.shard.batch_due_ms(harness.now_ms), None);
        harness.shard.unregister_server("silent");
        harness.now_ms += 100;
        harness.tick();
        assert!(harness.shard.find_server("silent").is_none());
        assert_eq!(harness.shard.batch_due_ms(harness.now_ms), None);
    }
}
