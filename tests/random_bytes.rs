//! Random and mutated bytes for the decoders of peer frames and records.

mod mutations;

use mutations::{Decoder, check_decoders};
use primrosestack::daemon::inbox;
use primrosestack::daemon::peers::{PeerReply, PeerRequest, QueuedCount, RelayedLoad};
use primrosestack::daemon::stored_jobs::{QueuedJobs, StoredJobs};
use primrosestack_fleet::handover::{Handover, InFlightTask};
use primrosestack_fleet::intake::Load;
use primrosestack_fleet::job::{JobId, JobSpec, Queue, StepSpec};
use primrosestack_fleet::record::{
    self, Home, Owner, Progress, ServerSet, TaskRecord, Term, Transfer,
};
use primrosestack_platform::store::Item;
use prost::Message;

fn decode_record<T: Message + Default>(bytes: &[u8]) {
    let _rejected = record::decode::<T>("key", bytes);
}

/// Decodes the bytes as the value of each kind of inbox entry, and as a progress record.
fn decode_inbox(bytes: &[u8]) {
    let item = |key: &str| Item {
        key: key.into(),
        value: bytes.to_vec(),
        revision: 2,
        created_revision: 1,
    };
    let id = JobId(1);
    let keys = ["job", "cancel", "failed", "guest"].map(|kind| format!("p/inbox/poa/{kind}/{id}"));
    let mut items = Vec::from(keys.each_ref().map(|key| item(key)));
    items.push(item(&format!("p/inbox/poa/part/{id}/cxs-1-0")));
    items.push(item("p/inbox/poa/era"));
    items.push(item(&String::from_utf8_lossy(bytes)));
    let _update = inbox::decode_update(&items, 1);
    let progress = [item(&format!("p/progress/poa/{id}"))];
    let mut queued = QueuedJobs::default();
    queued.add_inbox(&items);
    queued.add_progress(&progress);
    let _counts = queued.counts();
    let mut stored = StoredJobs::default();
    stored.add_inbox(&items);
    stored.add_progress(&progress);
    let _jobs = stored.into_jobs().count();
}

fn job() -> JobSpec {
    JobSpec {
        id: 1,
        command: "run".into(),
        steps: vec![
            StepSpec {
                tasks: 2,
                cpu_millis: 500,
                ..StepSpec::default()
            },
            StepSpec {
                tasks: 1,
                after: vec![0],
                ..StepSpec::default()
            },
        ],
        queue: Some(Queue::default()),
        ..JobSpec::default()
    }
}

fn task() -> TaskRecord {
    TaskRecord {
        last_run: 3,
        failed_runs: vec![1, 2],
        checkpoint: "c1".into(),
        ..TaskRecord::default()
    }
}

fn reply() -> PeerReply {
    PeerReply {
        is_owner: true,
        queued: vec![QueuedCount {
            queue: "q".into(),
            jobs: 4,
        }],
        load: Some(Load::default()),
        handover: Some(handover()),
        other_shards: vec![RelayedLoad {
            failure_domain: "cxs".into(),
            load: Some(Load::default()),
            ..RelayedLoad::default()
        }],
        ..PeerReply::default()
    }
}

fn handover() -> Handover {
    Handover {
        term: 4,
        in_flight: vec![InFlightTask {
            job: 1,
            last_run: 2,
            ..InFlightTask::default()
        }],
        unreached_servers: vec!["i-1".into()],
        ..Handover::default()
    }
}

fn decoders() -> Vec<Decoder> {
    let request = PeerRequest {
        failure_domain: "poa".into(),
        successor_term: 5,
        handover_term: 4,
        ..PeerRequest::default()
    };
    let term = Term::default().with_owner("10.0.0.1:1", 6_000);
    let progress = Progress {
        tasks: vec![task()],
        queue: "q".into(),
        ..Progress::default()
    };
    let transfer = Transfer {
        tasks: vec![task()],
    };
    let servers = ServerSet {
        names: vec!["i-1".into()],
        ..ServerSet::default()
    };
    vec![
        ("peer request", request.encode_to_vec(), |bytes| {
            let _rejected = PeerRequest::decode(bytes);
        }),
        ("peer reply", reply().encode_to_vec(), |bytes| {
            let _rejected = PeerReply::decode(bytes);
        }),
        ("term", term.encode_to_vec(), decode_record::<Term>),
        (
            "owner",
            Owner::default().encode_to_vec(),
            decode_record::<Owner>,
        ),
        (
            "home",
            Home::default().encode_to_vec(),
            decode_record::<Home>,
        ),
        (
            "progress",
            progress.encode_to_vec(),
            decode_record::<Progress>,
        ),
        (
            "transfer",
            transfer.encode_to_vec(),
            decode_record::<Transfer>,
        ),
        (
            "servers",
            servers.encode_to_vec(),
            decode_record::<ServerSet>,
        ),
        ("job", job().encode_to_vec(), decode_record::<JobSpec>),
        ("inbox", job().encode_to_vec(), decode_inbox),
    ]
}

/// Guards against a frame or record that makes a decoder panic or allocate without bound.
#[test]
fn random_frames_and_records_are_rejected_or_decoded() {
    check_decoders(decoders());
}
