//! Moves jobs to the shards of other failure domains.
//!
//! A move changes the job's home on condition that it has not changed, that no cancellation was written for the old one, and
//! that the owner's term has not ended. Cancellations are conditional on the home, so one of the two fails.
//!
//! The outcome of an attempt without an answer is told by the revision of the home: it has changed if the job has moved, even
//! if the job has come back since. If it has not, another transaction of the term keeps the attempt from taking effect later.

use std::rc::Rc;
use std::time::Duration;

use primrosestack_fleet::prelude::{JobId, JobSpec};
use primrosestack_fleet::record::Home;
use primrosestack_fleet::rehome::JobMove;
use primrosestack_platform::store::{Item, StoreFailure, Transaction};
use prost::Message;

use crate::daemon::clock::now_ms;
use crate::daemon::inbox::decode_or_log;
use crate::daemon::keys;
use crate::daemon::owner::OwnedShard;
use crate::logs::Line;

const PASS_INTERVAL_MS: u64 = 250;

/// The same while the shard's failure domain is evacuated, since all its waiting jobs have to leave.
const EVACUATION_PASS_INTERVAL_MS: u64 = 50;

/// Bounds the writes and the room of others that are used by the loads of one report.
const MOVES_PER_PASS_MAX: usize = 16;

/// Delay before the outcome of an attempt is asked for again.
const RETRY_DELAY_MS: u64 = 150;

/// Outcome of an attempt to move a job.
enum Attempt {
    /// The job has moved. Entries of its old home up to this revision were written before that.
    Moved(u64),
    /// The attempt had no effect and will have none.
    Kept,
    /// The attempt to change the home, which was written at this revision, may have taken effect or may still do so.
    Unknown(u64),
}

/// Moves jobs as long as the shard is open.
pub async fn run(owned: Rc<OwnedShard>) {
    while !owned.closed.get() {
        let interval_ms = if owned.is_evacuated() {
            EVACUATION_PASS_INTERVAL_MS
        } else {
            PASS_INTERVAL_MS
        };
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        for _ in 0..MOVES_PER_PASS_MAX {
            if owned.closed.get() || owned.panicked.get() {
                return;
            }
            let Some(job_move) = take_job_move(&owned) else {
                break;
            };
            if !move_job(&owned, &job_move).await {
                break;
            }
        }
    }
}

/// Takes the next move, and the room for it from the loads of the others.
fn take_job_move(owned: &Rc<OwnedShard>) -> Option<JobMove> {
    let mut others = owned.node.other_loads(&owned.failure_domain);
    let mut shard = owned.shard.borrow_mut();
    let job_move = shard.take_job_move(&mut others, now_ms())?;
    owned.node.set_loads(others);
    Some(job_move)
}

/// Tries to move a job, and waits until the outcome is known or the term has ended. Returns whether it has moved.
pub async fn move_job(owned: &Rc<OwnedShard>, job_move: &JobMove) -> bool {
    let mut tried_revision = None;
    while !owned.closed.get() && !owned.panicked.get() {
        let guard = owned.records_lock.lock().await;
        let attempt = match tried_revision {
            None => try_move(owned, job_move).await,
            Some(home_revision) => settle_move(owned, job_move.id, home_revision).await,
        };
        match attempt {
            Attempt::Moved(revision) => {
                owned
                    .shard
                    .borrow_mut()
                    .job_moved(job_move.key, revision, now_ms());
                owned.node.forget_home(job_move.id);
                if owned.is_evacuated() {
                    owned.node.metrics.record_evacuated_work("job");
                }
                Line::info("job_moved")
                    .with("job", job_move.id)
                    .with("shard", &owned.failure_domain)
                    .with("to", &job_move.failure_domain)
                    .with("revision", revision)
                    .write();
                return true;
            }
            Attempt::Kept => {
                owned.shard.borrow_mut().job_kept(job_move.key, now_ms());
                owned.records_due.notify_one();
                return false;
            }
            Attempt::Unknown(home_revision) => tried_revision = Some(home_revision),
        }
        drop(guard);
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
    false
}

async fn try_move(owned: &Rc<OwnedShard>, job_move: &JobMove) -> Attempt {
    let id = job_move.id;
    let own = &owned.failure_domain;
    let result = owned.node.store.read(&keys::home(id)).await;
    owned.node.record_store_call("read_home", &result);
    // A failure is logged with the call.
    let Ok(item) = result else {
        return Attempt::Kept;
    };
    let Some(item) = item else {
        log_kept(id, own, "no_home");
        return Attempt::Kept;
    };
    let Some(home) = decode_or_log::<Home>(&item) else {
        return Attempt::Kept;
    };
    let home_revision = item.revision;
    if home.failure_domain != own.as_str() {
        // The copy of the job was read from an outdated entry.
        return Attempt::Moved(home_revision);
    }
    // The job may have ended or progressed since it was taken.
    let current = owned.shard.borrow().current_move(job_move);
    let Some(current) = current else {
        log_kept(id, own, "changed");
        return Attempt::Kept;
    };
    if owned.node.is_evacuated(&job_move.failure_domain) {
        log_kept(id, own, "evacuated");
        return Attempt::Kept;
    }
    let transaction = transaction_of(own, &current, home_revision);
    match owned.write_in_term("move_job", &transaction).await {
        Ok(revision) => Attempt::Moved(revision),
        Err(failure) => {
            Line::info("job_not_moved")
                .with("job", id)
                .with("shard", own)
                .with_reason(&failure)
                .write();
            let is_cancelled = |items: &[Item]| {
                let key = keys::cancellation(own, id);
                let mut items = items.iter();
                items.any(|item| item.key == key && item.revision > 0)
            };
            match failure {
                StoreFailure::Unavailable { .. } => Attempt::Kept,
                StoreFailure::Conflict { items } if is_cancelled(&items) => Attempt::Kept,
                _ => Attempt::Unknown(home_revision),
            }
        }
    }
}

fn log_kept(id: JobId, own: &str, reason: &str) {
    Line::info("job_not_moved")
        .with("job", id)
        .with("shard", own)
        .with("reason", reason)
        .write();
}

/// Finds out whether an attempt took effect that was conditional on `home_revision`, and has it fail if not.
async fn settle_move(owned: &Rc<OwnedShard>, id: JobId, home_revision: u64) -> Attempt {
    let result = owned.node.store.read(&keys::home(id)).await;
    owned.node.record_store_call("read_home", &result);
    let Ok(item) = result else {
        return Attempt::Unknown(home_revision);
    };
    let revision = item.map_or(0, |item| item.revision);
    if revision != home_revision {
        // If the job has come back since, its entry was written with the home.
        return Attempt::Moved(home_revision.max(revision.saturating_sub(1)));
    }
    let settling = Transaction::default().expect_revision(keys::home(id), home_revision);
    match owned.write_in_term("settle_move", &settling).await {
        Ok(_) => Attempt::Kept,
        Err(failure) => {
            Line::info("move_not_settled")
                .with("job", id)
                .with("shard", &owned.failure_domain)
                .with_reason(failure)
                .write();
            Attempt::Unknown(home_revision)
        }
    }
}

/// Transaction that moves a job from its home, which was written at `home_revision`.
fn transaction_of(own: &str, job_move: &JobMove, home_revision: u64) -> Transaction {
    let id = job_move.id;
    let to = job_move.failure_domain.as_str();
    let home = Home {
        failure_domain: to.to_owned(),
        ..Home::default()
    };
    let spec: &JobSpec = &job_move.spec;
    Transaction::default()
        .expect_revision(keys::home(id), home_revision)
        .expect_revision(keys::cancellation(own, id), 0)
        .put(keys::home(id), home.encode_to_vec())
        .put(keys::job(to, id), spec.encode_to_vec())
        .put(keys::progress(to, id), job_move.progress.encode_to_vec())
        .remove(keys::job(own, id))
        .remove(keys::progress(own, id))
        .remove(keys::failure(own, id))
}
