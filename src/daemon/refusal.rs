//! Replies to submissions that no shard may get.

use hyper::StatusCode;
use primrosestack_fleet::admission::{Limit, Refusal};
use primrosestack_fleet::footprint::JobSize;
use primrosestack_fleet::open_tasks::{OpenTasks, QueueTasks, queue_of};
use primrosestack_fleet::prelude::*;
use primrosestack_platform::store::StoreFailure;
use tokio::time::Instant;

use crate::daemon::clock::now_ms;
use crate::daemon::entry::{RETRY_AFTER_S, Reply, doubt, empty_reply, refuse};
use crate::daemon::lookup::read_home;
use crate::daemon::node::Node;
use crate::logs::Line;

/// `Retry-After` for a job that no known server could complete. A server that joins is known to all hosts by then.
const UNSERVED_RETRY_AFTER_S: u64 = 5;

/// Longest `Retry-After` while the statuses of ended jobs are retained.
const ENDED_RETRY_AFTER_S_MAX: u64 = 30;

/// Replies to a submission that no shard may get. A refusal says that the job was not accepted, so that one which an earlier
/// request may have stored is not refused.
pub(super) async fn reply(
    node: &Node,
    id: JobId,
    job: &JobSpec,
    refusal: Refusal,
    deadline: Instant,
) -> Reply {
    if node.cached_home(id).is_none() {
        let home = tokio::time::timeout_at(deadline, read_home(node, id)).await;
        match home.unwrap_or(Err(StoreFailure::NoAnswer)) {
            Ok(Some(_)) => {}
            Ok(None) => {
                log(node, id, job, refusal);
                let retry_after_s = retry_after_s(node, refusal);
                return refuse(StatusCode::SERVICE_UNAVAILABLE, retry_after_s);
            }
            Err(_) => return doubt(id),
        }
    }
    Line::info("job_known").with("job", id).write();
    empty_reply(StatusCode::OK)
}

fn retry_after_s(node: &Node, refusal: Refusal) -> u64 {
    let Refusal::NoRoom { index, limit } = refusal else {
        return RETRY_AFTER_S;
    };
    let views = node.load_views.borrow();
    let is_any_known = views.views().iter().any(|view| view.load.is_some());
    match limit {
        Limit::UnservedTasks | Limit::UnservedBytes if is_any_known => UNSERVED_RETRY_AFTER_S,
        Limit::EndedJobs => {
            let purge_in_ms = views.view(index).open_tasks.known().purge_in_ms;
            let wait_s = purge_in_ms.div_ceil(1_000);
            wait_s.clamp(RETRY_AFTER_S, ENDED_RETRY_AFTER_S_MAX)
        }
        _ => RETRY_AFTER_S,
    }
}

/// Logs what a limit compares: amounts of the job, of its queue and of the shard, and the maximum of the shard.
fn with_amounts(
    line: Line,
    limit: Limit,
    job: JobSize,
    open: &OpenTasks,
    of_queue: &QueueTasks,
) -> Line {
    let (own, queue, shard) = match limit {
        Limit::OpenTasks => (job.tasks, of_queue.tasks, open.total),
        Limit::JobBytes => (job.bytes, of_queue.bytes, open.bytes),
        Limit::UnservedTasks => (job.tasks, of_queue.unserved_tasks, open.unserved_tasks),
        Limit::UnservedBytes => (job.bytes, of_queue.unserved_bytes, open.unserved_bytes),
        Limit::EndedJobs => (1, 0, open.ended_jobs),
    };
    line.with("of_job", own)
        .with("of_queue", queue)
        .with("of_shard", shard)
}

fn log(node: &Node, id: JobId, job: &JobSpec, refusal: Refusal) {
    let line = Line::info("job_refused").with("job", id);
    let Refusal::NoRoom { index, limit } = refusal else {
        line.with_reason("all failure domains are evacuated")
            .write();
        return;
    };
    node.metrics.record_caller_limit("callers", limit.name());
    let views = node.load_views.borrow();
    let view = views.view(index);
    let open = view.open_tasks.known();
    let queue = queue_of(job);
    let max = limit.max(open.limits.unwrap_or(node.shard_limits));
    // The owner may not have reported yet; what counts then is what was sent to it.
    let load_age_ms = match view.updated_ms {
        0 => "unknown".into(),
        updated_ms => now_ms().saturating_sub(updated_ms).to_string(),
    };
    node.failure_lines.write(|| {
        let line = line
            .with("queue", queue)
            .with("shard", &node.settings.failure_domains[index])
            .with("limit", limit.name())
            .with("max", max);
        with_amounts(line, limit, JobSize::of(job), open, &open.of_queue(queue))
            .with("load_age_ms", load_age_ms)
            .with_reason("the shard has no room")
    });
}
