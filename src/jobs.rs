//! Routes job submissions and cancellations to the owner of the job's shard.

use std::sync::Arc;
use std::time::Duration;

use primrosestack_core::capacity::Resources;
use primrosestack_core::event::{CallerReply, JobSpec, NotRun};
use primrosestack_core::ids::{HostId, JobId, stable_hash};
use primrosestack_core::peer_frame::{
    Body, JobAccepted, JobCancel, JobReply, JobResult, JobSubmit, JobsCancelled, Refusal,
};
use smol_str::SmolStr;

use crate::calls::PendingCalls;
use crate::members::Members;
use crate::peer::Peers;
use crate::shards::Shards;

/// A submission takes one group commit and up to three hops between hosts.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Lets the receiver determine the shard; it may forward the call once.
const ANY_SHARD: u32 = u32::MAX;
/// Largest number of jobs in one cancellation frame.
const CANCEL_CHUNK_JOBS: usize = 4_096;
/// The upper 16 bits of a job id are a hash of its failure domain, so that every entry host can route a call for the
/// job without a lookup.
const DOMAIN_TAG_SHIFT: u32 = 48;

/// Replaces the upper bits of a job id by the tag of its failure domain.
#[must_use]
pub fn job_in_domain(id: JobId, failure_domain: &str) -> JobId {
    let low = id.0 & ((1 << DOMAIN_TAG_SHIFT) - 1);
    JobId(domain_tag(failure_domain) << DOMAIN_TAG_SHIFT | low)
}

fn domain_tag(failure_domain: &str) -> u64 {
    stable_hash(failure_domain.as_bytes(), 0) & 0xffff
}

struct Inner {
    failure_domain: SmolStr,
    shards: Shards,
    members: Members,
    peers: Peers,
    pending_calls: PendingCalls<JobReply>,
}

/// Job service; clones share the same state.
#[derive(Clone)]
pub struct Jobs {
    inner: Arc<Inner>,
}

enum JobOperation {
    Submit(JobSpec),
    Cancel(Vec<JobId>),
}

impl Jobs {
    #[must_use]
    pub fn open(failure_domain: SmolStr, shards: Shards, members: Members, peers: Peers) -> Self {
        Self {
            inner: Arc::new(Inner {
                failure_domain,
                shards,
                members,
                peers,
                pending_calls: PendingCalls::default(),
            }),
        }
    }

    /// Submits a job, whose id must come from [`job_in_domain`].
    pub async fn submit(&self, job: JobSpec) -> CallerReply {
        let id = job.id;
        self.route(id, JobOperation::Submit(job)).await
    }

    /// Cancels jobs. Returns those that their owners knew, and the replies of the calls that failed.
    pub async fn cancel(&self, jobs: &[JobId]) -> (Vec<JobId>, Vec<CallerReply>) {
        let mut parts: Vec<(u64, u32, Vec<JobId>)> = Vec::new();
        for job in jobs {
            let tag = job.0 >> DOMAIN_TAG_SHIFT;
            let shard = self.inner.shards.shard_of_job(*job);
            match parts.binary_search_by_key(&(tag, shard), |(tag, shard, _)| (*tag, *shard)) {
                Ok(index) => parts[index].2.push(*job),
                Err(index) => parts.insert(index, (tag, shard, vec![*job])),
            }
        }
        let mut cancelled = Vec::new();
        let mut failed = Vec::new();
        for (_, _, part) in parts {
            for chunk in part.chunks(CANCEL_CHUNK_JOBS) {
                match self
                    .route(chunk[0], JobOperation::Cancel(chunk.to_vec()))
                    .await
                {
                    CallerReply::Cancelled(jobs) => cancelled.extend(jobs),
                    other => failed.push(other),
                }
            }
        }
        (cancelled, failed)
    }

    /// Returns the failure domain of a job, or `None` if no known entry host belongs to it.
    #[must_use]
    pub fn domain_of(&self, job: JobId) -> Option<SmolStr> {
        let tag = job.0 >> DOMAIN_TAG_SHIFT;
        let own = &self.inner.failure_domain;
        if domain_tag(own) == tag {
            return Some(own.clone());
        }
        let view = self.inner.members.view();
        let mut domains = view.members.iter().map(|member| &member.failure_domain);
        domains.find(|domain| domain_tag(domain) == tag).cloned()
    }

    async fn route(&self, job: JobId, operation: JobOperation) -> CallerReply {
        let Some(domain) = self.domain_of(job) else {
            return CallerReply::NotRun(NotRun::NotOwner);
        };
        if domain == self.inner.failure_domain {
            return self.route_in_domain(job, operation).await;
        }
        let view = self.inner.members.view();
        let Some(member) = view.live(&domain).next() else {
            return CallerReply::NotRun(NotRun::NotOwner);
        };
        self.call_peer(&member.host.name, ANY_SHARD, operation)
            .await
    }

    async fn route_in_domain(&self, job: JobId, operation: JobOperation) -> CallerReply {
        let shards = &self.inner.shards;
        let shard = shards.shard_of_job(job);
        if shards.owns(shard) {
            return self.execute_on_shard(shard, operation).await;
        }
        let Some(owner) = shards.owner(shard) else {
            return CallerReply::NotRun(NotRun::NotOwner);
        };
        self.call_peer(&owner, shard, operation).await
    }

    async fn execute_on_shard(&self, shard: u32, operation: JobOperation) -> CallerReply {
        match operation {
            JobOperation::Submit(job) => self.inner.shards.submit(shard, job).await,
            JobOperation::Cancel(jobs) => self.inner.shards.cancel(shard, jobs).await,
        }
    }

    async fn call_peer(&self, host: &str, shard: u32, operation: JobOperation) -> CallerReply {
        let pending_call = self.inner.pending_calls.register();
        let call = pending_call.id();
        let body = match operation {
            JobOperation::Submit(job) => Body::JobSubmit(submit_frame(call, shard, &job)),
            JobOperation::Cancel(jobs) => Body::JobCancel(JobCancel {
                call,
                shard,
                jobs: jobs.iter().map(|job| job.0).collect(),
            }),
        };
        if !self.inner.peers.send(host, body) {
            return CallerReply::NotRun(NotRun::NotOwner);
        }
        match pending_call.wait(CALL_TIMEOUT).await {
            Some(reply) => reply_from_frame(reply),
            None => CallerReply::Unknown,
        }
    }

    /// Handles a job call from another entry host.
    pub async fn serve_peer(&self, from: &HostId, body: Body) {
        let (call, shard, first, operation) = match body {
            Body::JobSubmit(submit) => {
                let job = job_from_frame(&submit);
                (submit.call, submit.shard, job.id, JobOperation::Submit(job))
            }
            Body::JobCancel(cancel) => {
                let jobs: Vec<JobId> = cancel.jobs.into_iter().map(JobId).collect();
                let first = jobs.first().copied().unwrap_or_default();
                (cancel.call, cancel.shard, first, JobOperation::Cancel(jobs))
            }
            _ => return,
        };
        let reply = if shard == ANY_SHARD {
            self.route_in_domain(first, operation).await
        } else {
            self.execute_on_shard(shard, operation).await
        };
        let result = result_from_reply(reply);
        // If the reply cannot be sent, the caller times out and repeats the call, which is safe.
        let _ = self
            .inner
            .peers
            .send(&from.name, Body::JobReply(JobReply { call, result }));
    }

    /// Completes a job call to another entry host.
    pub fn complete_call(&self, reply: JobReply) {
        self.inner.pending_calls.complete(reply.call, reply);
    }
}

fn submit_frame(call: u64, shard: u32, job: &JobSpec) -> JobSubmit {
    JobSubmit {
        call,
        shard,
        job: job.id.0,
        team: job.team.to_string(),
        client: job.client.to_string(),
        kind: job.kind.to_string(),
        tasks: job.tasks,
        millicores: job.size.millicores,
        memory_mib: job.size.memory_mib,
        accelerators: job.size.accelerators,
        run_ms: job.run_ms,
        finish_by_unix_ms: job.finish_by_unix_ms,
    }
}

fn job_from_frame(submit: &JobSubmit) -> JobSpec {
    JobSpec {
        id: JobId(submit.job),
        team: submit.team.as_str().into(),
        client: submit.client.as_str().into(),
        kind: submit.kind.as_str().into(),
        tasks: submit.tasks,
        size: Resources {
            millicores: submit.millicores,
            memory_mib: submit.memory_mib,
            accelerators: submit.accelerators,
        },
        run_ms: submit.run_ms,
        finish_by_unix_ms: submit.finish_by_unix_ms,
    }
}

fn result_from_reply(reply: CallerReply) -> Option<JobResult> {
    match reply {
        CallerReply::Accepted { job, new } => {
            Some(JobResult::Accepted(JobAccepted { job: job.0, new }))
        }
        CallerReply::Cancelled(jobs) => Some(JobResult::Cancelled(JobsCancelled {
            jobs: jobs.iter().map(|job| job.0).collect(),
        })),
        CallerReply::NotRun(reason) => {
            let refusal = match reason {
                NotRun::NotOwner => Refusal::NotOwner,
                NotRun::StoreUnavailable => Refusal::StoreUnavailable,
                NotRun::Overloaded => Refusal::Overloaded,
                NotRun::TooLarge => Refusal::TooLarge,
                NotRun::ShuttingDown => Refusal::ShuttingDown,
            };
            Some(JobResult::NotRun(refusal.into()))
        }
        CallerReply::Key(_) | CallerReply::Unknown => None,
    }
}

fn reply_from_frame(reply: JobReply) -> CallerReply {
    match reply.result {
        Some(JobResult::Accepted(accepted)) => CallerReply::Accepted {
            job: JobId(accepted.job),
            new: accepted.new,
        },
        Some(JobResult::Cancelled(cancelled)) => {
            CallerReply::Cancelled(cancelled.jobs.into_iter().map(JobId).collect())
        }
        Some(JobResult::NotRun(refusal)) => match Refusal::try_from(refusal) {
            Ok(Refusal::NotOwner) => CallerReply::NotRun(NotRun::NotOwner),
            Ok(Refusal::StoreUnavailable) => CallerReply::NotRun(NotRun::StoreUnavailable),
            Ok(Refusal::Overloaded) => CallerReply::NotRun(NotRun::Overloaded),
            Ok(Refusal::TooLarge) => CallerReply::NotRun(NotRun::TooLarge),
            Ok(Refusal::ShuttingDown) => CallerReply::NotRun(NotRun::ShuttingDown),
            // A refusal of a later version; whether the job was recorded is unknown.
            Ok(Refusal::Unspecified) | Err(_) => CallerReply::Unknown,
        },
        None => CallerReply::Unknown,
    }
}
