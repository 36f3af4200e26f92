//! Decoding of a shard's inbox in the store.

use primrosestack::daemon::inbox::{self, InboxUpdate};
use primrosestack::daemon::keys;
use primrosestack::daemon::stored_jobs::{QueuedJobs, StoredJobs};
use primrosestack_fleet::job::{JobId, JobSpec};
use primrosestack_fleet::record::{Phase, Progress, StoredJob, Term, Transfer};
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

fn job_item(id: u64, revision: u64) -> Item {
    let spec = JobSpec {
        id,
        ..JobSpec::default()
    };
    item(keys::job("poa", JobId(id)), spec.encode_to_vec(), revision)
}

fn term_item(number: u64, revision: u64) -> Item {
    let term = Term {
        number,
        ..Term::default()
    };
    item(keys::inbox_term("poa"), term.encode_to_vec(), revision)
}

/// Guards against a superseded owner that starts a job accepted after the change of owner, which the new owner starts
/// as well.
#[test]
fn a_superseded_owner_takes_no_later_jobs() {
    let update = inbox::decode_update(&[job_item(1, 10), term_item(3, 11), job_item(2, 12)], 2);
    assert!(matches!(update, InboxUpdate::Superseded { term: 3 }));
    let update = inbox::decode_update(&[term_item(2, 9), job_item(1, 10)], 2);
    assert!(matches!(update, InboxUpdate::Jobs(jobs) if jobs.len() == 1));
}

/// Guards against transferred tasks, cancellations and failures that are dropped because they precede their job in key order.
#[test]
fn jobs_precede_entries_that_refer_to_them() {
    let id = JobId(1);
    let items = [
        item(keys::cancellation("poa", id), Vec::new(), 12),
        item(keys::failure("poa", id), Vec::new(), 12),
        item(
            keys::transfer("poa", id, "cxs-1-4", 0),
            Transfer::default().encode_to_vec(),
            11,
        ),
        item(
            keys::delegated_job("poa", id),
            JobSpec::default().encode_to_vec(),
            11,
        ),
    ];
    let InboxUpdate::Jobs(jobs) = inbox::decode_update(&items, 1) else {
        panic!("the update contains no change of owner");
    };
    assert!(jobs[0].1.is_delegated);
    assert_eq!(jobs[1].1.transfers.len(), 1);
    assert!(jobs[2].1.cancelled);
    assert!(jobs[3].1.delegates_failed);
}

/// Guards against a host that has just started and knows no owner of a shard reporting 0 queued jobs for it.
#[test]
fn queued_jobs_are_counted_from_the_store() {
    let inbox = [
        job_item(1, 10),
        job_item(2, 11),
        job_item(3, 12),
        job_item(4, 13),
    ];
    let record = |id, started| {
        let progress = Progress {
            started,
            ..Progress::default()
        };
        let key = keys::progress("poa", JobId(id));
        item(key, progress.encode_to_vec(), 14)
    };
    let progress = [record(2, true), record(3, false)];
    let mut queued = QueuedJobs::default();
    // In pages.
    for page in inbox.chunks(2) {
        queued.add_inbox(page);
    }
    for page in progress.chunks(2) {
        queued.add_progress(page);
    }
    let counts = queued.counts();
    assert_eq!(counts, [(SmolStr::default(), 3)]);
}

/// Guards against an owner that reads a shard in pages and misses what a later page tells of a job, or an ended one.
#[test]
fn pages_of_a_shard_are_merged() {
    let cancellation = |id| item(keys::cancellation("poa", JobId(id)), Vec::new(), 14);
    let failure = item(keys::failure("poa", JobId(2)), Vec::new(), 15);
    let inbox = [
        cancellation(1),
        cancellation(4),
        failure,
        job_item(1, 10),
        job_item(2, 11),
        job_item(3, 12),
    ];
    let record = |id, phase, run_base| {
        let mut progress = Progress {
            run_base,
            ..Progress::default()
        };
        progress.set_phase(phase);
        let key = keys::progress("poa", JobId(id));
        item(key, progress.encode_to_vec(), 16)
    };
    let progress = [
        record(3, Phase::Live, 5),
        record(4, Phase::Cancelled, 0),
        record(5, Phase::Live, 0),
    ];
    let mut stored = StoredJobs::default();
    for page in inbox.chunks(2) {
        stored.add_inbox(page);
    }
    for page in progress.chunks(2) {
        stored.add_progress(page);
    }
    let jobs: Vec<(JobId, StoredJob)> = stored.into_jobs().collect();
    let ids: Vec<u64> = jobs.iter().map(|(id, _)| id.0).collect();
    assert_eq!(
        ids,
        [1, 2, 3, 4],
        "a live job without a specification is none"
    );
    assert_eq!(
        [0, 1, 2].map(|index: usize| jobs[index].1.cancelled),
        [true, false, false]
    );
    assert!(jobs[1].1.delegates_failed);
    assert!(jobs[..3].iter().all(|(_, job)| job.spec.is_some()));
    assert_eq!(
        jobs[2]
            .1
            .progress
            .as_ref()
            .map(|progress| progress.run_base),
        Some(5)
    );
    assert_eq!(
        jobs[3].1.progress.as_ref().map(Progress::phase),
        Some(Phase::Cancelled)
    );
}
