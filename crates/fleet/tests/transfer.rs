//! Delegation of long-running tasks to another failure domain.

mod common;

use common::{
    DELEGATION_WAIT_MS, Harness, queue, run_end, run_status, service_step, step, task_id,
};
use primrosestack_fleet::job::{JobId, JobSpec, StepSpec, TaskId};
use primrosestack_fleet::ledger::JobRecord;
use primrosestack_fleet::record::{Phase, StoredJob, Transfer};
use primrosestack_fleet::report::EndKind;
use smol_str::{SmolStr, format_smolstr};
use test_case::test_case;

/// A full failure domain with one delegated task, and the record of its transfer.
fn delegated_task() -> (Harness, JobId, JobRecord) {
    let mut source = Harness::open(&["one"]);
    let job = source.submit(7, 0, vec![service_step(17, "a")]);
    source.plan();
    assert_eq!(source.confirm_starts().len(), 16, "the server has 16 cores");
    let record = delegate_waiting(&mut source);
    (source, job, record)
}

/// Delegates the tasks that wait in a full failure domain, and returns the record of the transfers.
fn delegate_waiting(source: &mut Harness) -> JobRecord {
    source.write_records();
    source.now_ms += DELEGATION_WAIT_MS;
    let mut others = vec![(SmolStr::new("cxs"), Harness::open(&["two"]).load())];
    assert!(source.shard.delegate_tasks(&mut others, source.now_ms));
    let batch = source.shard.take_batch(source.now_ms);
    let record = batch.jobs[0].clone();
    source.shard.batch_written(&batch);
    record
}

fn delegated_job(record: &JobRecord, created_revision: u64) -> StoredJob {
    StoredJob {
        spec: record.spec.clone(),
        is_delegated: true,
        transfers: record
            .transfers
            .iter()
            .map(|(_, transfer)| transfer.clone())
            .collect(),
        created_revision,
        ..StoredJob::default()
    }
}

/// Tasks that a shard starts at once when it reads the transfers of a job.
fn started_by_delegate(record: &JobRecord) -> Vec<TaskId> {
    let mut target = Harness::open(&["two"]);
    let stored = delegated_job(record, 200);
    target.shard.add_job(record.id, stored, target.now_ms);
    target.plan();
    let starts = target.confirm_starts().into_iter();
    starts.map(|(_, request)| request.task).collect()
}

/// Guards against a long-running task waiting in a full failure domain while another one has free capacity.
#[test]
fn a_waiting_task_starts_in_another_failure_domain() {
    let (_, job, record) = delegated_task();
    assert_eq!(record.transfers.len(), 1);
    assert_eq!(record.progress.delegate_domains, ["cxs"]);
    assert_eq!(started_by_delegate(&record), [task_id(job, 0, 16)]);
}

/// Guards against a delegated task waiting for the leases of earlier owners of its new shard, which cannot have started it.
#[test_case(200, 1; "delegated since the term began")]
#[test_case(50, 0; "delegated to an earlier owner")]
fn a_delegated_task_waits_for_earlier_owners_only_if_they_may_run_it(
    created_revision: u64,
    starts: usize,
) {
    let (_, job, record) = delegated_task();
    let mut target = Harness::open_term(2, &["gone", "two"], &["two"]);
    target.claim("two");
    target.write_records();
    target
        .shard
        .add_job(job, delegated_job(&record, created_revision), target.now_ms);
    target.plan();
    assert_eq!(target.starts.len(), starts);
}

/// Guards against a delegated task that never starts, since the other shard takes the steps before its own for unfinished.
#[test]
fn a_delegated_task_does_not_wait_for_earlier_steps_again() {
    let mut source = Harness::open(&["one"]);
    let last = StepSpec {
        after: vec![0],
        ..service_step(17, "a")
    };
    let job = source.submit(7, 0, vec![step(1), last]);
    source.plan();
    source.confirm_starts();
    source.report_end("one", &run_end(1, task_id(job, 0, 0), 1, EndKind::Done));
    source.plan();
    assert_eq!(source.confirm_starts().len(), 16, "the server has 16 cores");
    let record = delegate_waiting(&mut source);
    assert_eq!(started_by_delegate(&record), [task_id(job, 1, 16)]);
}

/// Guards against the wait of a task beginning anew when its first transfer arrives: after some more it gets a server first.
#[test]
fn the_wait_of_a_task_goes_on_in_a_shard_that_learns_of_its_job() {
    let (_, job, record) = delegated_task();
    let mut target = Harness::open(&["two"]);
    target.submit(8, 0, vec![step(16)]);
    target.plan();
    target.confirm_starts();
    target
        .shard
        .add_job(job, delegated_job(&record, 200), target.now_ms);
    let onward = delegate_waiting(&mut target);
    let waited_ms = onward.transfers[0].1.tasks[0].waited_ms;
    assert_eq!(waited_ms, 2 * DELEGATION_WAIT_MS);
}

/// Guards against both shards starting a delegated task.
#[test]
fn the_home_shard_does_not_start_delegated_tasks() {
    let (mut source, job, _) = delegated_task();
    let now = source.now_ms;
    source.shard.set_server(common::entry("three"), now);
    source.claim("three");
    source.write_records();
    source.plan();
    assert!(source.starts.is_empty());
    source.report("three", &[run_status(task_id(job, 0, 16), 1)], &[]);
    assert_eq!(source.stops.len(), 1, "a late start of the task is stopped");
}

/// Guards against losing a transfer when the owner fails between two writes.
#[test]
fn a_transfer_is_recorded_with_its_remote_mark() {
    let (_, _, record) = delegated_task();
    let marked = record
        .progress
        .tasks
        .iter()
        .filter(|task| task.remote)
        .count();
    let moved: usize = record
        .transfers
        .iter()
        .map(|(_, transfer)| transfer.tasks.len())
        .sum();
    assert_eq!((marked, moved), (1, 1));
    assert!(record.spec.is_some());
}

/// Guards against an old transfer bringing back a task that was delegated again since.
#[test]
fn a_transfer_is_applied_once() {
    let (_, job, record) = delegated_task();
    let mut target = Harness::open_term(2, &[], &["two"]);
    target.claim("two");
    target.write_records();
    let mut stored = delegated_job(&record, 50);
    let mut progress = record.progress.clone();
    progress.tasks.retain(|task| task.remote);
    progress.tasks[0].last_run = 1_005;
    stored.progress = Some(progress);
    target.shard.add_job(job, stored, target.now_ms);
    target.plan();
    assert!(target.starts.is_empty());
}

/// Guards against delegated tasks outliving the cancellation of their job.
#[test]
fn a_cancellation_is_forwarded_to_delegates() {
    let (mut source, job, _) = delegated_task();
    let cancelled = StoredJob {
        cancelled: true,
        ..StoredJob::default()
    };
    source.shard.add_job(job, cancelled, source.now_ms);
    let batch = source.shard.take_batch(source.now_ms);
    assert!(batch.jobs[0].deletes_spec);
    assert_eq!(batch.jobs[0].progress.delegate_domains, ["cxs"]);
}

/// Guards against a job being shown as running for ever after the shard to which a task was delegated gave it up.
#[test]
fn a_delegated_task_that_is_given_up_fails_the_job_at_home() {
    let (mut source, job, record) = delegated_task();
    let mut target = Harness::open(&["two"]);
    target
        .shard
        .add_job(job, delegated_job(&record, 200), target.now_ms);
    for _ in 0..2 {
        target.write_records();
        target.plan();
        assert_eq!(target.confirm_starts().len(), 1);
        target.restart("two");
        target.claim("two");
    }
    let batch = target.shard.take_batch(target.now_ms);
    assert!(batch.jobs[0].must_tell_home());
    let failure = StoredJob {
        delegates_failed: true,
        ..StoredJob::default()
    };
    source.shard.add_job(job, failure, source.now_ms);
    let batch = source.shard.take_batch(source.now_ms);
    assert_eq!(batch.jobs[0].progress.phase(), Phase::Failed);
    assert!(!batch.jobs[0].must_tell_home());
}

/// Entries that a transaction of the store takes besides those of the owner.
const ENTRIES_MAX: usize = 28;

/// Guards against records of a shard being held up by one that the store rejects: a job with many transfers took more
/// entries than a transaction has.
#[test]
fn transfers_that_wait_for_the_store_fit_one_transaction() {
    let mut source = Harness::open(&["one"]);
    source.submit(7, 0, vec![service_step(16 + 40, "a")]);
    source.plan();
    source.confirm_starts();
    source.write_records();
    source.now_ms += DELEGATION_WAIT_MS;
    let delegate_all = |source: &mut Harness| {
        for _ in 0..20 {
            let other = Harness::open(&["two", "three", "four", "five"]).load();
            let mut others = vec![(SmolStr::new("cxs"), other)];
            source.shard.delegate_tasks(&mut others, source.now_ms);
            source.now_ms += 100;
        }
    };
    let mut delegated = 0;
    for _ in 0..10 {
        delegate_all(&mut source);
        let batch = source.shard.take_batch(source.now_ms);
        let transfers: usize = batch.jobs.iter().map(|record| record.transfers.len()).sum();
        assert!(2 + 2 * transfers <= ENTRIES_MAX);
        source.shard.batch_written(&batch);
        delegated += transfers;
    }
    assert_eq!(delegated, 40, "all are delegated in the end");
}

/// Guards against the same at the end of a delegated job that was transferred in many parts.
#[test]
fn consumed_transfers_fit_transactions() {
    let (_, job, record) = delegated_task();
    let mut target = Harness::open(&["two"]);
    let mut stored = delegated_job(&record, 200);
    stored.transfer_keys = (0..40).map(|n| format_smolstr!("part-{n}")).collect();
    target.shard.add_job(job, stored, target.now_ms);
    let cancelled = StoredJob {
        cancelled: true,
        ..StoredJob::default()
    };
    target.shard.add_job(job, cancelled, target.now_ms);
    let mut removed = Vec::new();
    while target.shard.batch_due_ms(target.now_ms).is_some() {
        let batch = target.shard.take_batch(target.now_ms);
        let keys = batch
            .jobs
            .iter()
            .flat_map(|record| &record.consumed_transfer_keys);
        let keys: Vec<SmolStr> = keys.cloned().collect();
        assert!(2 + keys.len() <= ENTRIES_MAX);
        assert!(!keys.is_empty(), "each record removes some");
        removed.extend(keys);
        target.shard.batch_written(&batch);
    }
    removed.sort();
    removed.dedup();
    assert_eq!(removed.len(), 40);
}

/// Guards against delegating short tasks, whose ends the job waits for.
#[test]
fn short_tasks_are_not_delegated() {
    let mut source = Harness::open(&["one"]);
    source.submit(7, 0, vec![common::step(17)]);
    source.plan();
    source.now_ms += DELEGATION_WAIT_MS;
    let mut others = vec![(SmolStr::new("cxs"), Harness::open(&["two"]).load())];
    assert!(!source.shard.delegate_tasks(&mut others, source.now_ms));
}

/// Guards against a job without specification, or a delegated one, being treated as a complete job.
#[test]
fn transfers_of_an_unknown_job_are_ignored() {
    let mut target = Harness::open(&["two"]);
    let stored = StoredJob {
        transfers: vec![Transfer::default()],
        ..StoredJob::default()
    };
    target.shard.add_job(JobId(9), stored, target.now_ms);
    assert!(target.shard.find_job(JobId(9)).is_none());
    let spec = JobSpec {
        id: 9,
        steps: vec![service_step(1, "a")],
        queue: Some(queue(0)),
        ..JobSpec::default()
    };
    let stored = StoredJob {
        spec: Some(spec),
        is_delegated: true,
        ..StoredJob::default()
    };
    target.shard.add_job(JobId(9), stored, target.now_ms);
    target.plan();
    assert!(target.starts.is_empty());
}

/// Guards against two batches being written at a time, as when a shard is released while records are being written: the
/// earlier one could overwrite the later one, and transfers that both held were removed twice.
#[test]
fn no_batch_is_taken_while_another_is_being_written() {
    let mut source = Harness::open(&["one"]);
    source.submit(7, 0, vec![service_step(16 + 4, "a")]);
    source.plan();
    source.confirm_starts();
    source.write_records();
    source.now_ms += DELEGATION_WAIT_MS;
    let other = Harness::open(&["two", "three", "four", "five"]).load();
    let mut others = vec![(SmolStr::new("cxs"), other)];
    assert!(source.shard.delegate_tasks(&mut others, source.now_ms));
    let by_journal = source.shard.take_batch(source.now_ms);
    assert_eq!(by_journal.jobs[0].transfers.len(), 4);
    let by_release = source.shard.take_batch(source.now_ms);
    assert!(by_release.is_empty());
    source.shard.batch_written(&by_release);
    source.shard.batch_failed(by_journal);
    let again = source.shard.take_batch(source.now_ms);
    assert_eq!(again.jobs[0].transfers.len(), 4);
    source.shard.batch_written(&again);
    assert!(source.shard.batch_due_ms(source.now_ms).is_none());
}

/// Guards against a delegated task waiting once more for servers for which its home shard has waited already.
#[test]
fn a_delegated_task_does_not_wait_for_lapsed_servers_again() {
    let (_, job, record) = delegated_task();
    let mut stored = delegated_job(&record, 200);
    stored.transfers[0].tasks[0].lapsed_runs = vec![1, 2, 3];
    let mut target = Harness::open(&["two"]);
    target.shard.add_job(job, stored, target.now_ms);
    target.plan();
    assert_eq!(target.starts.len(), 1);
}

/// Guards against hundreds of tasks of draining servers waiting for their delegation although other failure domains have
/// room for them.
#[test]
fn many_tasks_are_delegated_at_a_time() {
    let mut source = Harness::open(&["one"]);
    for id in 7..11 {
        source.submit(id, 0, vec![service_step(12, "a")]);
    }
    source.plan();
    assert_eq!(source.confirm_starts().len(), 16);
    source.now_ms += DELEGATION_WAIT_MS;
    let names: Vec<SmolStr> = (0..16).map(|n| format_smolstr!("s{n}")).collect();
    let names: Vec<&str> = names.iter().map(SmolStr::as_str).collect();
    let mut others = vec![(SmolStr::new("cxs"), Harness::open(&names).load())];
    assert!(source.shard.delegate_tasks(&mut others, source.now_ms));
    let mut transfers = 0;
    while source.shard.batch_due_ms(source.now_ms).is_some() {
        let batch = source.shard.take_batch(source.now_ms);
        let counts = batch.jobs.iter().map(|record| record.transfers.len());
        transfers += counts.sum::<usize>();
        source.shard.batch_written(&batch);
    }
    assert_eq!(transfers, 16);
}

/// Guards against the owners of several failure domains all counting on the same server for their tasks.
#[test]
fn owners_delegate_to_different_servers() {
    let mut target = Harness::open(&["two", "three", "four"]);
    for (name, cpu_millis) in [("two", 8_000), ("three", 12_000), ("four", 16_000)] {
        let entry = primrosestack_fleet::report::ServerEntry {
            cpu_millis,
            ..common::entry(name)
        };
        target.shard.set_server(entry, target.now_ms);
    }
    let mut remaining = Vec::new();
    for id in [7, 8] {
        let mut source = Harness::open(&["one"]);
        source.submit(id, 0, vec![service_step(17, "a")]);
        source.plan();
        source.confirm_starts();
        source.now_ms += DELEGATION_WAIT_MS;
        let mut others = vec![(SmolStr::new("cxs"), target.load())];
        assert!(source.shard.delegate_tasks(&mut others, source.now_ms));
        remaining.push(others[0].1.free_capacity.clone());
    }
    assert_eq!(remaining[0].len(), 2);
    assert_ne!(remaining[0], remaining[1]);
}
