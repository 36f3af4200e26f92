//! Bounds of tombstones, which any caller can have written.

use primrosestack_fleet::admission::admits_tombstone;
use primrosestack_fleet::job::JobId;
use primrosestack_fleet::open_tasks::OpenTasks;
use primrosestack_fleet::tombstones::{TOMBSTONES_MAX, Tombstones, WritePace};

const AGE_MS: u64 = 60_000;

/// A report of some tombstones for each of the queues.
fn report(queues: &[(&str, u64)]) -> OpenTasks {
    let mut tombstones = Tombstones::default();
    let mut id = 0;
    for &(queue, count) in queues {
        for _ in 0..count {
            id += 1;
            tombstones.add(JobId(id), id, queue, 0);
        }
    }
    let mut open = OpenTasks::default();
    tombstones.report(&mut open);
    open
}

/// Guards against callers of one queue who keep those of others from cancelling, and against a shard without a bound.
#[test]
fn a_queue_gets_half_of_the_tombstones() {
    let open = report(&[("bulk", TOMBSTONES_MAX / 2)]);
    assert!(!admits_tombstone(&open, "bulk"));
    assert!(admits_tombstone(&open, "quote"));
    let open = report(&[("bulk", TOMBSTONES_MAX / 2), ("quote", TOMBSTONES_MAX / 2)]);
    assert!(!admits_tombstone(&open, "other"));
}

/// Guards against a report that grows with the number of queues.
#[test]
fn queues_with_few_tombstones_are_not_reported() {
    let names: Vec<String> = (0..TOMBSTONES_MAX).map(|index| index.to_string()).collect();
    let queues: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let open = report(&queues);
    assert_eq!(open.tombstones, TOMBSTONES_MAX);
    assert!(open.queues.is_empty());
}

/// Guards against a host that writes tombstones as fast as callers ask, or has many requests wait for their turn.
#[test]
fn writes_are_spaced_and_few_wait() {
    let mut pace = WritePace::default();
    let waits: Vec<Option<u64>> = (0..1_000).map(|_| pace.reserve(50_000)).collect();
    let admitted: Vec<u64> = waits.into_iter().flatten().collect();
    assert!(admitted.len() <= 21, "{} writes", admitted.len());
    assert!(admitted.iter().all(|&wait_ms| wait_ms <= 1_000));
    let later: Vec<u64> = (0..100).filter_map(|_| pace.reserve(51_000)).collect();
    assert!(later.len() <= 10, "{} writes a second", later.len());
    assert_eq!(pace.reserve(70_000), Some(0));
}

/// Guards against a tombstone that goes before a late acceptance can come, and one that stays for ever.
#[test]
fn tombstones_are_due_after_their_time() {
    let mut tombstones = Tombstones::default();
    tombstones.add(JobId(1), 10, "bulk", 0);
    tombstones.add(JobId(2), 11, "bulk", 500);
    // Entries are read again after a restart of the watch.
    tombstones.add(JobId(1), 10, "bulk", 40_000);
    assert!(tombstones.due(10, AGE_MS, AGE_MS - 1).is_empty());
    let due = tombstones.due(10, AGE_MS, AGE_MS);
    assert_eq!(due.iter().map(|row| row.id).collect::<Vec<_>>(), [JobId(1)]);
    tombstones.forget(&due);
    assert_eq!(tombstones.due(10, AGE_MS, 2 * AGE_MS).len(), 1);
}
