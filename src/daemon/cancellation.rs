//! Cancellation of jobs on behalf of callers.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::StoredJob;
use primrosestack_platform::store::{StoreFailure, Transaction};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::daemon::entry::{RETRY_AFTER_S, RETRY_DELAY_MS, Reply, empty_reply, refuse};
use crate::daemon::lookup::{Residence, read_delegates, read_residence};
use crate::daemon::node::Node;
use crate::daemon::{keys, tombstones};
use crate::logs::Line;

/// Effect of a cancellation.
enum Outcome {
    /// The cancellation was written for the home shard, at this revision of the store.
    Cancelled(SmolStr, u64),
    /// The job has not been accepted, and will not be.
    Absent,
    /// The job has not been accepted, and may be later: too many cancellations of unknown jobs come at present.
    Refused,
}

/// Cancels a job in its home shard and in those that run delegated tasks of it, or keeps it from being accepted.
pub async fn cancel(node: &Rc<Node>, id: JobId, queue: &Queue, deadline: Instant) -> Reply {
    let mut may_be_written = false;
    loop {
        let attempt = try_cancel(node, id, &queue.name);
        let result = tokio::time::timeout_at(deadline, attempt).await;
        let result = result.unwrap_or(Err(StoreFailure::NoAnswer));
        match result {
            Ok(Outcome::Absent) => return empty_reply(StatusCode::GONE),
            Ok(Outcome::Refused) => {
                return refuse(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S);
            }
            Ok(Outcome::Cancelled(home, revision)) => {
                Line::info("job_cancelled")
                    .with("job", id)
                    .with("shard", &home)
                    .with("revision", revision)
                    .write();
                if let Some(owned) = node.owned_shard(&home) {
                    let stored = StoredJob {
                        cancelled: true,
                        created_revision: revision,
                        ..StoredJob::default()
                    };
                    owned.receive_job(id, stored);
                }
                return empty_reply(StatusCode::OK);
            }
            Err(failure) => {
                may_be_written |= matches!(
                    failure,
                    StoreFailure::NoAnswer | StoreFailure::Malformed { .. }
                );
                if Instant::now() + Duration::from_millis(RETRY_DELAY_MS) >= deadline {
                    let line = Line::info("job_not_cancelled").with("job", id);
                    let line = line.with("doubtful", may_be_written);
                    node.failure_lines.write(|| line.with_reason(failure));
                    if may_be_written {
                        return empty_reply(StatusCode::GATEWAY_TIMEOUT);
                    }
                    return refuse(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S);
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}

async fn try_cancel(node: &Node, id: JobId, queue: &str) -> Result<Outcome, StoreFailure> {
    match read_residence(node, id).await? {
        Residence::Home(home, home_revision) => {
            let revision = write_cancellation(node, id, &home, home_revision).await?;
            Ok(Outcome::Cancelled(home, revision))
        }
        Residence::Tombstone => Ok(Outcome::Absent),
        Residence::Absent => {
            let is_written = tombstones::write(node, id, queue).await?;
            Ok(if is_written {
                Outcome::Absent
            } else {
                Outcome::Refused
            })
        }
    }
}

/// Writes a cancellation for the home shard, which may have no owner at present that would tell the delegates, and for
/// these. Returns the revision. The owner of the home shard may move the job meanwhile, so the write is conditional on the
/// home.
async fn write_cancellation(
    node: &Node,
    id: JobId,
    home: &SmolStr,
    home_revision: u64,
) -> Result<u64, StoreFailure> {
    let mut transaction = Transaction::default()
        .expect_revision(keys::home(id), home_revision)
        .put(keys::cancellation(home, id), Vec::new());
    for delegate in read_delegates(node, home, id).await? {
        transaction = transaction.put(keys::cancellation(&delegate, id), Vec::new());
    }
    let result = node.store.commit(&transaction).await;
    node.record_store_call("cancel_job", &result);
    result
}
