//! Tests of the encoding of all values that a shard reads from the store.

use primrosestack_core::journal::{
    Accepted, Bound, Cancelled, Entry, Failed, Head, HostEntry, JournalError, KeyEntry, Parked,
    RackPoolRun, ServerEntry, ServerLoss, SnapshotRef, UnreleasedEntry, decode_entries,
    encode_entry,
};
use primrosestack_core::prelude::*;
use primrosestack_core::recovery::rebuild;
use primrosestack_core::snapshot::{snapshot_ref, verify_snapshot};
use primrosestack_core::tasks::{JobState, ended_entry, evicted_entry};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;

fn head() -> impl Strategy<Value = Head> {
    let parts = (any::<[u64; 6]>(), ".{0,12}", vec(any::<u8>(), 0..64));
    parts.prop_map(
        |([term, sequence, writer, hash, incarnation, flags], name, tail)| {
            let host = Some(HostEntry { name, incarnation });
            let snapshot = SnapshotRef {
                term,
                sequence,
                chunks: 3,
                bytes: 9,
                hash,
            };
            let successor = host.clone();
            let unreleased = UnreleasedEntry { term, successor };
            Head {
                term,
                successor: host.clone().filter(|_| flags & 1 > 0),
                owner: host,
                sequence,
                snapshot: (flags & 2 > 0).then_some(snapshot),
                tail,
                unreleased: vec![unreleased; (flags % 3) as usize],
                writer,
            }
        },
    )
}

fn entry() -> impl Strategy<Value = Entry> {
    let runs = vec((0_u32..3, 0_u32..4), 0..4);
    let parts = (0..11, any::<u64>(), 0_u32..6, 0_u32..3, "[a-c]{0,3}", runs);
    parts.prop_map(|(kind, number, index, rack_pool, text, runs)| {
        let job = JobId(number % 4);
        let task = TaskId { job, index };
        let key = KeyEntry::new(RequestKey(u128::from(number) << 60), Vec::new());
        match kind {
            0 => accepted(job, &runs),
            1 => Entry::Bound(Bound {
                task: task.into(),
                rack_pool,
            }),
            2 => evicted_entry(
                task,
                Attempt {
                    term: number,
                    counter: 1,
                },
                &text,
            ),
            3 => Entry::Cancelled(Cancelled {
                jobs: vec![job.0; index as usize],
            }),
            4 => ended_entry(job, index, rack_pool),
            5 => Entry::Parked(Parked {
                job: job.0,
                reason: i32::from(rack_pool == 1),
            }),
            6 => Entry::Claimed(key),
            7 => Entry::Answered(KeyEntry {
                answer: text.into(),
                ..key
            }),
            8 => Entry::ServerAdded(ServerEntry {
                rack: text.clone(),
                name: text,
                rack_pool,
                ..ServerEntry::default()
            }),
            9 => Entry::Failed(Failed {
                job: job.0,
                rounds: index,
                server: text,
                excused: rack_pool == 1,
                loss: (number % 3 == 0).then_some(ServerLoss {
                    index,
                    is_sole_suspect: rack_pool == 2,
                }),
            }),
            _ => Entry::ServerGone(text),
        }
    })
}

fn accepted(id: JobId, runs: &[(u32, u32)]) -> Entry {
    let rack_pools = runs
        .iter()
        .map(|&(rack_pool, tasks)| RackPoolRun { rack_pool, tasks });
    let spec = JobSpec {
        id,
        tasks: runs.iter().map(|(_, tasks)| tasks).sum(),
        team: "team".into(),
        ..JobSpec::default()
    };
    Entry::Accepted(Accepted::new(&spec, rack_pools.collect()))
}

fn encode(entries: &[Entry]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for entry in entries {
        encode_entry(entry.clone(), &mut bytes);
    }
    bytes
}

/// Generates the same cases in every run.
fn deterministic_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(deterministic_config())]

    /// Guards against a head that decodes to a different value.
    #[test]
    fn a_head_reads_as_written(head in head()) {
        let read = Head::read(&head.encode_to_vec()).expect("decodes");
        prop_assert_eq!(read, head);
    }

    /// Guards against a panic on a corrupt head. One wrong byte gets further into the decoder than random bytes.
    #[test]
    fn a_damaged_head_is_an_error_or_a_value(noise in vec(any::<u8>(), 0..256), head in head(), at: prop::sample::Index) {
        let _ = Head::read(&noise);
        let mut bytes = head.encode_to_vec();
        let at = at.index(bytes.len());
        bytes[at] = noise.first().copied().unwrap_or_default();
        let _ = Head::read(&bytes);
    }

    /// Guards against records that decode to different values.
    #[test]
    fn records_read_as_written(entries in vec(entry(), 0..20)) {
        prop_assert_eq!(decode_entries(&encode(&entries)).expect("decodes"), entries);
    }

    /// Guards against a panic or an unbounded allocation on a corrupt tail or snapshot.
    #[test]
    fn damaged_records_are_an_error_or_a_value(entries in vec(entry(), 0..6), noise in vec(any::<u8>(), 0..64), at: prop::sample::Index) {
        let _ = rebuild(&[], &noise, MonoMs(0));
        let mut bytes = encode(&entries);
        let at = at.index(bytes.len() + 1);
        bytes.splice(at..at, noise);
        let _ = rebuild(&bytes, &[], MonoMs(0));
    }

    /// Guards against a snapshot that loses or changes part of the state.
    #[test]
    fn a_snapshot_rebuilds_the_state(entries in vec(entry(), 0..60)) {
        let direct = rebuild(&[], &encode(&entries), MonoMs(0)).expect("decodes");
        let snapshot = encode(&direct.entries());
        let rebuilt = rebuild(&snapshot, &[], MonoMs(0)).expect("decodes");
        prop_assert_eq!(rebuilt.entries(), direct.entries());
        for (id, job) in &direct.jobs {
            let other = &rebuilt.jobs[id];
            prop_assert_eq!(&other.spec, &job.spec);
            prop_assert_eq!(other.state, job.state);
            prop_assert_eq!(other.unfinished, job.unfinished);
            for (one, two) in job.tasks.iter().zip(&other.tasks) {
                prop_assert_eq!(
                    (one.phase, one.rack_pool, &one.committed_checkpoint),
                    (two.phase, two.rack_pool, &two.committed_checkpoint)
                );
            }
        }
    }

    /// Guards against a snapshot that contains a chunk of another one.
    #[test]
    fn a_snapshot_with_other_bytes_is_refused(bytes in vec(any::<u8>(), 1..200), at: prop::sample::Index) {
        let expected = snapshot_ref(1, 1, &bytes);
        prop_assert!(verify_snapshot(&expected, &bytes).is_ok());
        let mut other = bytes.clone();
        other[at.index(bytes.len())] ^= 1;
        prop_assert!(verify_snapshot(&expected, &other).is_err());
        prop_assert!(verify_snapshot(&expected, &bytes[1..]).is_err());
    }
}

/// Guards against a corrupt record that makes a reader allocate gigabytes.
#[test]
fn a_record_with_too_many_tasks_is_refused() {
    let bytes = encode(&[accepted(JobId(0), &[(0, u32::MAX)])]);
    assert!(matches!(
        decode_entries(&bytes),
        Err(JournalError::Range { field: "tasks", .. })
    ));
}

/// Guards against a head without an owner, which no host could take over.
#[test]
fn a_head_without_an_owner_is_refused() {
    let bytes = Head::default().encode_to_vec();
    assert!(matches!(
        Head::read(&bytes),
        Err(JournalError::Missing { field: "owner", .. })
    ));
}

/// Guards against a cancelled job that a later record reactivates.
#[test]
fn a_cancelled_job_stays_cancelled() {
    let entries = [
        accepted(JobId(0), &[(0, 1)]),
        Entry::Cancelled(Cancelled { jobs: vec![0] }),
        Entry::Parked(Parked { job: 0, reason: 2 }),
    ];
    let durable = rebuild(&[], &encode(&entries), MonoMs(0)).expect("decodes");
    assert_eq!(durable.jobs[&JobId(0)].state, JobState::Cancelled);
}

/// Guards against a late checkpoint of an ended task, which made a snapshot differ from the state.
#[test]
fn an_ended_task_keeps_no_checkpoint() {
    let task = TaskId::default();
    let entries = [
        accepted(JobId(0), &[(0, 2)]),
        ended_entry(JobId(0), 0, 1),
        evicted_entry(task, Attempt::default(), "c"),
    ];
    let durable = rebuild(&[], &encode(&entries), MonoMs(0)).expect("decodes");
    assert_eq!(
        durable.task(task).expect("open job").committed_checkpoint,
        None
    );
}
