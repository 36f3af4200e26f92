//! Writes the records of a shard.

use std::rc::Rc;
use std::time::Duration;

use primrosestack_fleet::ledger::Batch;
use primrosestack_platform::store::Write;
use prost::Message;

use crate::daemon::clock::now_ms;
use crate::daemon::keys;
use crate::daemon::owner::OwnedShard;
use crate::logs::Line;

/// Pause after a failed write in milliseconds; the store may be overloaded.
const RETRY_MS: u64 = 150;

/// Attempts to write what is left when a shard is given up.
const LAST_ATTEMPTS: u32 = 5;

/// Writes records as they become due until the shard is given up.
pub async fn run(owned: Rc<OwnedShard>) {
    while !owned.closed.get() {
        let now = now_ms();
        let due = owned.shard.borrow().batch_due_ms(now);
        match due {
            Some(due_ms) if due_ms <= now => {
                if !write(&owned).await {
                    tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                }
            }
            Some(due_ms) => {
                let wait = Duration::from_millis(due_ms - now);
                let _due = tokio::time::timeout(wait, owned.records_due.notified()).await;
            }
            None => owned.records_due.notified().await,
        }
    }
}

/// Writes what is left.
pub async fn write_all(owned: &Rc<OwnedShard>) {
    for _ in 0..LAST_ATTEMPTS {
        if owned.shard.borrow().batch_due_ms(now_ms()).is_none() {
            return;
        }
        if !write(owned).await {
            tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }
    Line::warn("records_left")
        .with("shard", &owned.failure_domain)
        .write();
}

/// Writes one batch. Returns whether the store has it.
async fn write(owned: &Rc<OwnedShard>) -> bool {
    let batch = owned.shard.borrow_mut().take_batch(now_ms());
    if batch.is_empty() {
        return true;
    }
    match owned
        .write_in_era("write_records", &write_of(owned, &batch))
        .await
    {
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

fn write_of(owned: &OwnedShard, batch: &Batch) -> Write {
    let domain = &owned.failure_domain;
    let mut write = Write::default();
    for job in &batch.jobs {
        write = write.put(keys::progress(domain, job.id), job.progress.encode_to_vec());
        if job.deletes_spec {
            let key = if job.is_delegated {
                keys::guest(domain, job.id)
            } else {
                keys::job(domain, job.id)
            };
            write = write.remove(key);
            for delegate_domain in &job.progress.delegate_domains {
                write = write.put(keys::cancellation(delegate_domain, job.id), Vec::new());
            }
        }
        for key in &job.consumed_transfer_keys {
            write = write.remove(key.clone());
        }
        let source = format!("{domain}-{}-{}", owned.title.era, job.version);
        for (nth, (to, transfer)) in job.transfers.iter().enumerate() {
            let key = keys::transfer(to, job.id, &source, nth);
            write = write.put(key, transfer.encode_to_vec());
            let is_first = !job.transfers[..nth].iter().any(|(known, _)| known == to);
            if let Some(spec) = job.spec.as_ref().filter(|_| is_first) {
                write = write.put(keys::guest(to, job.id), spec.encode_to_vec());
            }
        }
    }
    for &(id, is_delegated) in &batch.purged_jobs {
        write = write
            .remove(keys::progress(domain, id))
            .remove(keys::cancellation(domain, id));
        if !is_delegated {
            write = write.remove(keys::home(id));
        }
    }
    if let Some(servers) = &batch.servers {
        write = write.put(keys::servers(domain), servers.encode_to_vec());
    }
    write
}
