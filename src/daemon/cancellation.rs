//! Cancellation of jobs on behalf of callers.

use std::cell::Cell;
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
    let doubt = Doubt::default();
    loop {
        let attempt = try_cancel(node, id, &queue.name, &doubt);
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
                if Instant::now() + Duration::from_millis(RETRY_DELAY_MS) >= deadline {
                    let line = Line::info("job_not_cancelled").with("job", id);
                    let line = line.with("doubtful", doubt.0.get());
                    node.failure_lines.write(|| line.with_reason(failure));
                    if doubt.0.get() {
                        return empty_reply(StatusCode::GATEWAY_TIMEOUT);
                    }
                    return refuse(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_S);
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}

/// Whether a write that got no answer may be carried out later.
#[derive(Default)]
pub(super) struct Doubt(Cell<bool>);

impl Doubt {
    pub(super) async fn commit(
        &self,
        node: &Node,
        call: &'static str,
        transaction: &Transaction,
    ) -> Result<u64, StoreFailure> {
        // The deadline may end the wait for the answer.
        let was_in_doubt = self.0.replace(true);
        let result = node.store.commit(transaction).await;
        node.record_store_call(call, &result);
        let is_unknown = matches!(
            result,
            Err(StoreFailure::NoAnswer | StoreFailure::Malformed { .. })
        );
        self.0.set(was_in_doubt || is_unknown);
        result
    }
}

async fn try_cancel(
    node: &Node,
    id: JobId,
    queue: &str,
    doubt: &Doubt,
) -> Result<Outcome, StoreFailure> {
    match read_residence(node, id).await? {
        Residence::Home(home, home_revision) => {
            let revision = write_cancellation(node, id, &home, home_revision, doubt).await?;
            Ok(Outcome::Cancelled(home, revision))
        }
        Residence::Tombstone => Ok(Outcome::Absent),
        Residence::Absent => {
            let is_written = tombstones::write(node, id, queue, doubt).await?;
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
    doubt: &Doubt,
) -> Result<u64, StoreFailure> {
    let mut transaction = Transaction::default()
        .expect_revision(keys::home(id), home_revision)
        .put(keys::cancellation(home, id), Vec::new());
    for delegate in read_delegates(node, home, id).await? {
        transaction = transaction.put(keys::cancellation(&delegate, id), Vec::new());
    }
    doubt.commit(node, "cancel_job", &transaction).await
}
