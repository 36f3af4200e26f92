//! Decoders of everything that a shard reads from the store.

use primrosestack_core::journal::{
    Accepted, Bound, CellRun, Entry, Head, HostEntry, JournalError, KeyEntry, Parked, ServerEntry,
    SnapshotRef, UnreleasedEntry, read_entries, write_entry,
};
use primrosestack_core::prelude::*;
use primrosestack_core::recovery::rebuild;
use primrosestack_core::snapshot::{reference, verify};
use primrosestack_core::tasks::{JobState, ended_entry, evicted_entry};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;

fn host() -> impl Strategy<Value = HostEntry> {
    (".{0,12}", any::<u64>()).prop_map(|(name, incarnation)| HostEntry { name, incarnation })
}

fn head() -> impl Strategy<Value = Head> {
    let unreleased = (any::<u64>(), host()).prop_map(|(term, successor)| UnreleasedEntry {
        term,
        successor: Some(successor),
    });
    let snapshot =
        (any::<u64>(), any::<u32>(), any::<u64>()).prop_map(|(term, chunks, hash)| SnapshotRef {
            term,
            sequence: hash ^ 1,
            chunks,
            bytes: hash,
            hash,
        });
    let parts = (
        any::<(u64, u64, u64)>(),
        host(),
        proptest::option::of(host()),
        proptest::option::of(snapshot),
        vec(any::<u8>(), 0..64),
        vec(unreleased, 0..3),
    );
    parts.prop_map(
        |((term, sequence, writer), owner, successor, snapshot, tail, unreleased)| Head {
            term,
            owner: Some(owner),
            successor,
            sequence,
            snapshot,
            tail,
            unreleased,
            writer,
        },
    )
}

fn entry() -> impl Strategy<Value = Entry> {
    let task = (0_u64..4, 0_u32..6).prop_map(|(job, index)| TaskId {
        job: JobId(job),
        index,
    });
    let accepted = (0_u64..4, vec((0_u32..3, 0_u32..4), 0..4)).prop_map(|(id, runs)| {
        let cells: Vec<CellRun> = runs
            .into_iter()
            .map(|(cell, tasks)| CellRun { cell, tasks })
            .collect();
        let spec = JobSpec {
            id: JobId(id),
            tasks: cells.iter().map(|run| run.tasks).sum(),
            team: "team".into(),
            ..JobSpec::default()
        };
        Entry::Accepted(Accepted::of(&spec, cells))
    });
    prop_oneof![
        accepted,
        (task.clone(), 0_u32..3).prop_map(|(task, cell)| Entry::Bound(Bound {
            task: task.into(),
            cell
        })),
        (task, any::<(u64, u64)>(), "c.{0,6}").prop_map(|(task, (term, counter), checkpoint)| {
            evicted_entry(task, Attempt { term, counter }, &checkpoint)
        }),
        vec(0_u64..4, 0..3)
            .prop_map(|jobs| Entry::Cancelled(primrosestack_core::journal::Cancelled { jobs })),
        (0_u64..4, 0_u32..6, 0_u32..3).prop_map(|(job, first, tasks)| ended_entry(
            JobId(job),
            first,
            tasks
        )),
        (0_u64..4, 0_i32..4).prop_map(|(job, reason)| Entry::Parked(Parked { job, reason })),
        any::<u128>().prop_map(|key| Entry::Claimed(KeyEntry::of(RequestKey(key), Vec::new()))),
        (0_u128..3, vec(any::<u8>(), 0..9))
            .prop_map(|(key, answer)| Entry::Answered(KeyEntry::of(RequestKey(key), answer))),
        ("w[0-9]", "r[0-2]", 0_u32..3).prop_map(|(name, rack, cell)| Entry::ServerAdded(
            ServerEntry {
                name,
                rack,
                cell,
                ..ServerEntry::default()
            }
        )),
        "w[0-9]".prop_map(Entry::ServerGone),
    ]
}

fn written(entries: &[Entry]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for entry in entries {
        write_entry(entry.clone(), &mut bytes);
    }
    bytes
}

/// The same cases in every run.
fn fixed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed())]

    /// Guards against a head that another host reads differently.
    #[test]
    fn a_head_reads_as_written(head in head()) {
        let read = Head::read(&head.encode_to_vec()).expect("decodes");
        prop_assert_eq!(read, head);
    }

    /// Guards against a panic on a damaged head.
    #[test]
    fn a_damaged_head_is_an_error_or_a_value(bytes in vec(any::<u8>(), 0..256)) {
        let _ = Head::read(&bytes);
    }

    /// Guards against a panic on a head with a few wrong bytes, which gets further into the decoder.
    #[test]
    fn a_flipped_byte_in_a_head_is_an_error_or_a_value(head in head(), at: prop::sample::Index, byte: u8) {
        let mut bytes = head.encode_to_vec();
        let at = at.index(bytes.len().max(1));
        if let Some(found) = bytes.get_mut(at) {
            *found = byte;
        }
        let _ = Head::read(&bytes);
    }

    /// Guards against records that another host reads differently.
    #[test]
    fn records_read_as_written(entries in vec(entry(), 0..20)) {
        prop_assert_eq!(read_entries(&written(&entries)).expect("decodes"), entries);
    }

    /// Guards against a panic, or an allocation of any size, on a damaged tail or snapshot.
    #[test]
    fn damaged_records_are_an_error_or_a_value(entries in vec(entry(), 0..6), noise in vec(any::<u8>(), 0..64), at: prop::sample::Index) {
        let _ = rebuild(&[], &noise, MonoMs(0));
        let mut bytes = written(&entries);
        let at = at.index(bytes.len() + 1);
        bytes.splice(at..at, noise);
        let _ = rebuild(&bytes, &[], MonoMs(0));
    }

    /// Guards against a snapshot that loses or changes part of the state.
    #[test]
    fn a_snapshot_rebuilds_the_state(entries in vec(entry(), 0..60)) {
        let direct = rebuild(&[], &written(&entries), MonoMs(0)).expect("decodes");
        let snapshot = written(&direct.entries());
        let rebuilt = rebuild(&snapshot, &[], MonoMs(0)).expect("decodes");
        prop_assert_eq!(rebuilt.entries(), direct.entries());
        for (id, job) in &direct.jobs {
            let other = &rebuilt.jobs[id];
            prop_assert_eq!(&other.spec, &job.spec);
            prop_assert_eq!(other.state, job.state);
            prop_assert_eq!(other.open, job.open);
            for (one, two) in job.tasks.iter().zip(&other.tasks) {
                prop_assert_eq!((one.phase, one.cell, &one.resume), (two.phase, two.cell, &two.resume));
            }
        }
    }

    /// Guards against a snapshot with a chunk of another one.
    #[test]
    fn a_snapshot_with_other_bytes_is_refused(bytes in vec(any::<u8>(), 1..200), at: prop::sample::Index) {
        let expected = reference(1, 1, &bytes);
        prop_assert!(verify(&expected, &bytes).is_ok());
        let mut other = bytes.clone();
        other[at.index(bytes.len())] ^= 1;
        prop_assert!(verify(&expected, &other).is_err());
        prop_assert!(verify(&expected, &bytes[1..]).is_err());
    }
}

/// Guards against a record that makes a reader allocate gigabytes.
#[test]
fn a_record_with_too_many_tasks_is_refused() {
    let spec = JobSpec {
        tasks: u32::MAX,
        ..JobSpec::default()
    };
    let cells = vec![CellRun {
        cell: 0,
        tasks: u32::MAX,
    }];
    let bytes = written(&[Entry::Accepted(Accepted::of(&spec, cells))]);
    assert!(matches!(
        read_entries(&bytes),
        Err(JournalError::Range { field: "tasks", .. })
    ));
}

/// Guards against a head without an owner, which no host could take over from.
#[test]
fn a_head_without_an_owner_is_refused() {
    let bytes = Head::default().encode_to_vec();
    assert!(matches!(
        Head::read(&bytes),
        Err(JournalError::Missing { field: "owner", .. })
    ));
}

/// Guards against a cancelled job that another record brings back to life.
#[test]
fn a_cancelled_job_stays_cancelled() {
    let spec = JobSpec {
        tasks: 1,
        ..JobSpec::default()
    };
    let cells = vec![CellRun { cell: 0, tasks: 1 }];
    let entries = [
        Entry::Accepted(Accepted::of(&spec, cells)),
        Entry::Cancelled(primrosestack_core::journal::Cancelled { jobs: vec![0] }),
        Entry::Parked(Parked { job: 0, reason: 2 }),
    ];
    let ledger = rebuild(&[], &written(&entries), MonoMs(0)).expect("decodes");
    assert_eq!(ledger.jobs[&JobId(0)].state, JobState::Cancelled);
}

/// Guards against a late checkpoint of a task that has ended: it made a snapshot differ from the state.
#[test]
fn an_ended_task_keeps_no_checkpoint() {
    let spec = JobSpec {
        tasks: 2,
        ..JobSpec::default()
    };
    let cells = vec![CellRun { cell: 0, tasks: 2 }];
    let task = TaskId::default();
    let entries = [
        Entry::Accepted(Accepted::of(&spec, cells)),
        ended_entry(JobId(0), 0, 1),
        evicted_entry(task, Attempt::default(), "c"),
    ];
    let ledger = rebuild(&[], &written(&entries), MonoMs(0)).expect("decodes");
    assert_eq!(ledger.task(task).expect("open job").resume, None);
}
