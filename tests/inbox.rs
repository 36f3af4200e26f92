//! The inbox of a shard.

use primrosestack::daemon::inbox::{self, Mail};
use primrosestack::daemon::keys;
use primrosestack_fleet::job::{JobId, JobSpec};
use primrosestack_fleet::record::{Progress, Term, Transfer};
use primrosestack_platform::store::Item;
use prost::Message;
use smol_str::SmolStr;

fn item(key: SmolStr, value: Vec<u8>, revision: u64) -> Item {
    Item {
        key,
        value,
        revision,
        created_revision: revision,
    }
}

fn job(id: u64, revision: u64) -> Item {
    let spec = JobSpec {
        id,
        ..JobSpec::default()
    };
    item(keys::job("poa", JobId(id)), spec.encode_to_vec(), revision)
}

fn era(number: u64, revision: u64) -> Item {
    let term = Term {
        number,
        ..Term::default()
    };
    item(keys::begun_era("poa"), term.encode_to_vec(), revision)
}

/// Guards against an owner that was replaced starting a job that was accepted after the change (TWICE on trouble-3 of
/// Fichaluz, seed 310397764543).
#[test]
fn an_owner_reads_of_its_successor_before_later_jobs() {
    let mail = inbox::read(&[job(1, 10), era(3, 11), job(2, 12)], 2);
    assert!(matches!(mail, Mail::Superseded { era: 3 }));
    let mail = inbox::read(&[era(2, 9), job(1, 10)], 2);
    assert!(matches!(mail, Mail::Jobs(jobs) if jobs.len() == 1));
}

/// Guards against tasks and cancellations being dropped because their job comes later in the order of keys.
#[test]
fn jobs_are_taken_before_what_refers_to_them() {
    let id = JobId(1);
    let items = [
        item(keys::cancellation("poa", id), Vec::new(), 12),
        item(
            keys::transfer("poa", id, "cxs-1-4", 0),
            Transfer::default().encode_to_vec(),
            11,
        ),
        item(
            keys::guest("poa", id),
            JobSpec::default().encode_to_vec(),
            11,
        ),
    ];
    let Mail::Jobs(jobs) = inbox::read(&items, 1) else {
        panic!("no change of owner was written");
    };
    assert!(jobs[0].1.is_delegated);
    assert_eq!(jobs[1].1.transfers.len(), 1);
    assert!(jobs[2].1.cancelled);
}

/// Guards against jobs being reported as not waiting while nobody is known to own their shard (MIXED on scale-2 of
/// Fichaluz, seed 2: a host that had just started counted 0 of 4).
#[test]
fn waiting_jobs_are_counted_from_the_store() {
    let inbox = [job(1, 10), job(2, 11), job(3, 12)];
    let begun = Progress::default();
    let progress = [item(
        keys::progress("poa", JobId(2)),
        begun.encode_to_vec(),
        13,
    )];
    let counts = inbox::waiting_jobs(&inbox, &progress);
    assert_eq!(counts, [(SmolStr::default(), 2)]);
}
