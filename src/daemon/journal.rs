//! Writes the records of a shard to the store.

use std::rc::Rc;
use std::time::Duration;

use primrosestack_fleet::ledger::Batch;
use primrosestack_fleet::prelude::JobId;
use primrosestack_fleet::record::Home;
use primrosestack_platform::store::{StoreFailure, Transaction};
use prost::Message;

use crate::daemon::clock::now_ms;
use crate::daemon::inbox::decode_or_log;
use crate::daemon::keys;
use crate::daemon::owner::OwnedShard;
use crate::logs::Line;

/// The store may be overloaded after a failed write.
const RETRY_DELAY_MS: u64 = 150;

/// Attempts to write the remaining records when a shard is released.
const FLUSH_ATTEMPTS: u32 = 5;

/// Writes records in batches as they become due, until the shard is closed.
pub async fn run(owned: Rc<OwnedShard>) {
    while !owned.closed.get() {
        let now = now_ms();
        let due = owned.shard.borrow().batch_due_ms(now);
        match due {
            Some(due_ms) if due_ms <= now => {
                if !write_batch(&owned).await {
                    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                }
            }
            Some(due_ms) => {
                let wait = Duration::from_millis(due_ms - now);
                let _timed_out = tokio::time::timeout(wait, owned.records_due.notified()).await;
            }
            None => owned.records_due.notified().await,
        }
    }
}

/// Writes the remaining records; logs a warning if some are left after the last attempt.
pub async fn flush(owned: &Rc<OwnedShard>) {
    for _ in 0..FLUSH_ATTEMPTS {
        if owned.shard.borrow().batch_due_ms(now_ms()).is_none() {
            return;
        }
        if !write_batch(owned).await {
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }
    Line::warn("records_left")
        .with("shard", &owned.failure_domain)
        .write();
}

/// Writes one batch. Returns whether the store confirmed it.
async fn write_batch(owned: &Rc<OwnedShard>) -> bool {
    let _guard = owned.records_lock.lock().await;
    if owned.panicked.get() {
        // The state may be incomplete.
        return false;
    }
    let batch = owned.shard.borrow_mut().take_batch(now_ms());
    if batch.is_empty() {
        return true;
    }
    let result = match homes_to_tell(owned, &batch).await {
        Ok(homes) => {
            let transaction = transaction_of(owned, &batch, &homes);
            owned.write_in_term("write_records", &transaction).await
        }
        Err(failure) => Err(failure),
    };
    match result {
        Ok(revision) => {
            owned.shard.borrow_mut().batch_written(&batch);
            owned.recorded.notify_waiters();
            for job in &batch.jobs {
                Line::debug("job_recorded")
                    .with("job", job.id)
                    .with("phase", job.progress.phase)
                    .with("revision", revision)
                    .write();
            }
            true
        }
        Err(failure) => {
            Line::info("records_not_written")
                .with("shard", &owned.failure_domain)
                .with("jobs", batch.jobs.len())
                .with_reason(&failure)
                .write();
            owned.shard.borrow_mut().batch_failed(batch);
            false
        }
    }
}

/// Home shards of the delegated jobs that failed; a job that was purged has none.
async fn homes_to_tell(
    owned: &OwnedShard,
    batch: &Batch,
) -> Result<Vec<(JobId, String)>, StoreFailure> {
    let mut homes = Vec::new();
    for job in &batch.jobs {
        if !job.must_tell_home() {
            continue;
        }
        let result = owned.node.store.read(&keys::home(job.id)).await;
        owned.node.record_store_call("read_home", &result);
        let home: Option<Home> = result?.as_ref().and_then(decode_or_log);
        homes.extend(home.map(|home| (job.id, home.failure_domain)));
    }
    Ok(homes)
}

fn transaction_of(owned: &OwnedShard, batch: &Batch, homes: &[(JobId, String)]) -> Transaction {
    let domain = &owned.failure_domain;
    let mut transaction = Transaction::default();
    for (id, home) in homes {
        transaction = transaction.put(keys::failure(home, *id), Vec::new());
    }
    for job in &batch.jobs {
        transaction = transaction.put(keys::progress(domain, job.id), job.progress.encode_to_vec());
        if job.deletes_spec {
            let key = if job.is_delegated {
                keys::delegated_job(domain, job.id)
            } else {
                keys::job(domain, job.id)
            };
            transaction = transaction.remove(key);
            for delegate_domain in &job.progress.delegate_domains {
                transaction =
                    transaction.put(keys::cancellation(delegate_domain, job.id), Vec::new());
            }
        }
        for key in &job.consumed_transfer_keys {
            transaction = transaction.remove(key.clone());
        }
        let source = format!("{domain}-{}-{}", owned.leadership.term, job.version);
        for (nth, (to, transfer)) in job.transfers.iter().enumerate() {
            let key = keys::transfer(to, job.id, &source, nth);
            transaction = transaction.put(key, transfer.encode_to_vec());
            let is_first = !job.transfers[..nth]
                .iter()
                .any(|(existing, _)| existing == to);
            if let Some(spec) = job.spec.as_ref().filter(|_| is_first) {
                transaction =
                    transaction.put(keys::delegated_job(to, job.id), spec.encode_to_vec());
            }
        }
    }
    for &(id, is_delegated) in &batch.purged_jobs {
        transaction = transaction
            .remove(keys::progress(domain, id))
            .remove(keys::cancellation(domain, id));
        if !is_delegated {
            transaction = transaction
                .remove(keys::home(id))
                .remove(keys::failure(domain, id));
        }
    }
    if let Some(servers) = &batch.servers {
        transaction = transaction.put(keys::servers(domain), servers.encode_to_vec());
    }
    transaction
}
