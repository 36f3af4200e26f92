//! Batch jobs: finding the owner of a job's shard, and submitting and cancelling there.

use std::sync::Arc;
use std::time::Duration;

use primrosestack_core::capacity::Resources;
use primrosestack_core::event::{CallerReply, JobSpec, NotRun};
use primrosestack_core::ids::{HostId, JobId, stable_hash};
use primrosestack_core::peer_frame::{
    Body, JobAccepted, JobCancel, JobReply, JobResult, JobSubmit, JobsCancelled, Refusal,
};
use smol_str::SmolStr;

use crate::calls::Calls;
use crate::members::Members;
use crate::peer::Peers;
use crate::shards::Shards;

/// A submission waits for one group commit and up to three links.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The receiver finds the shard by itself and may pass the call on once.
const ANY_SHARD: u32 = u32::MAX;
/// Jobs named in one frame.
const CANCEL_CHUNK: usize = 4_096;
/// The upper bits of a job's identity tell its failure domain, so that every entry host finds it without a look-up.
const DOMAIN_SHIFT: u32 = 48;

/// Identity of a job that lives in a failure domain.
#[must_use]
pub fn job_in_domain(id: JobId, failure_domain: &str) -> JobId {
    let low = id.0 & ((1 << DOMAIN_SHIFT) - 1);
    JobId(domain_tag(failure_domain) << DOMAIN_SHIFT | low)
}

fn domain_tag(failure_domain: &str) -> u64 {
    stable_hash(failure_domain.as_bytes(), 0) & 0xffff
}

struct Inner {
    failure_domain: SmolStr,
    shards: Shards,
    members: Members,
    peers: Peers,
    calls: Calls<JobReply>,
}

/// The running service; a clone is the same.
#[derive(Clone)]
pub struct Jobs {
    inner: Arc<Inner>,
}

enum Request {
    Submit(JobSpec),
    Cancel(Vec<JobId>),
}

impl Jobs {
    /// Opens the service.
    #[must_use]
    pub fn open(failure_domain: SmolStr, shards: Shards, members: Members, peers: Peers) -> Self {
        Self {
            inner: Arc::new(Inner {
                failure_domain,
                shards,
                members,
                peers,
                calls: Calls::default(),
            }),
        }
    }

    /// Submits a job whose identity tells its failure domain.
    pub async fn submit(&self, job: JobSpec) -> CallerReply {
        let id = job.id;
        self.anywhere(id, Request::Submit(job)).await
    }

    /// Cancels jobs; returns those that were known, and the reply of each part that failed.
    pub async fn cancel(&self, jobs: &[JobId]) -> (Vec<JobId>, Vec<CallerReply>) {
        let mut parts: Vec<(u64, u32, Vec<JobId>)> = Vec::new();
        for job in jobs {
            let tag = job.0 >> DOMAIN_SHIFT;
            let shard = self.inner.shards.shard_of_job(*job);
            match parts.binary_search_by_key(&(tag, shard), |(tag, shard, _)| (*tag, *shard)) {
                Ok(at) => parts[at].2.push(*job),
                Err(at) => parts.insert(at, (tag, shard, vec![*job])),
            }
        }
        let mut cancelled = Vec::new();
        let mut failed = Vec::new();
        for (_, _, part) in parts {
            for chunk in part.chunks(CANCEL_CHUNK) {
                match self
                    .anywhere(chunk[0], Request::Cancel(chunk.to_vec()))
                    .await
                {
                    CallerReply::Cancelled(jobs) => cancelled.extend(jobs),
                    other => failed.push(other),
                }
            }
        }
        (cancelled, failed)
    }

    /// Name of the failure domain of a job, among those that are known.
    #[must_use]
    pub fn domain_of(&self, job: JobId) -> Option<SmolStr> {
        let tag = job.0 >> DOMAIN_SHIFT;
        let own = &self.inner.failure_domain;
        if domain_tag(own) == tag {
            return Some(own.clone());
        }
        let view = self.inner.members.view();
        let mut domains = view.members.iter().map(|member| &member.failure_domain);
        domains.find(|domain| domain_tag(domain) == tag).cloned()
    }

    async fn anywhere(&self, job: JobId, request: Request) -> CallerReply {
        let Some(domain) = self.domain_of(job) else {
            return CallerReply::NotRun(NotRun::NotOwner);
        };
        if domain == self.inner.failure_domain {
            return self.in_domain(job, request).await;
        }
        let view = self.inner.members.view();
        let Some(member) = view.live(&domain).next() else {
            return CallerReply::NotRun(NotRun::NotOwner);
        };
        self.at(&member.host.name, ANY_SHARD, request).await
    }

    async fn in_domain(&self, job: JobId, request: Request) -> CallerReply {
        let shards = &self.inner.shards;
        let shard = shards.shard_of_job(job);
        if shards.owns(shard) {
            return self.here(shard, request).await;
        }
        let Some(owner) = shards.owner(shard) else {
            return CallerReply::NotRun(NotRun::NotOwner);
        };
        self.at(&owner, shard, request).await
    }

    async fn here(&self, shard: u32, request: Request) -> CallerReply {
        match request {
            Request::Submit(job) => self.inner.shards.submit(shard, job).await,
            Request::Cancel(jobs) => self.inner.shards.cancel(shard, jobs).await,
        }
    }

    async fn at(&self, host: &str, shard: u32, request: Request) -> CallerReply {
        let waiting = self.inner.calls.open();
        let call = waiting.id();
        let body = match request {
            Request::Submit(job) => Body::JobSubmit(submit_frame(call, shard, &job)),
            Request::Cancel(jobs) => Body::JobCancel(JobCancel {
                call,
                shard,
                jobs: jobs.iter().map(|job| job.0).collect(),
            }),
        };
        if !self.inner.peers.send(host, body) {
            return CallerReply::NotRun(NotRun::NotOwner);
        }
        match waiting.answer(CALL_TIMEOUT).await {
            Some(reply) => reply_of(reply),
            None => CallerReply::Unknown,
        }
    }

    /// Answers a job call of another entry host.
    pub async fn serve_peer(&self, from: &HostId, body: Body) {
        let (call, shard, first, request) = match body {
            Body::JobSubmit(submit) => {
                let job = job_of(&submit);
                (submit.call, submit.shard, job.id, Request::Submit(job))
            }
            Body::JobCancel(cancel) => {
                let jobs: Vec<JobId> = cancel.jobs.into_iter().map(JobId).collect();
                let first = jobs.first().copied().unwrap_or_default();
                (cancel.call, cancel.shard, first, Request::Cancel(jobs))
            }
            _ => return,
        };
        let reply = if shard == ANY_SHARD {
            self.in_domain(first, request).await
        } else {
            self.here(shard, request).await
        };
        let result = result_of(reply);
        // Without a link the sender times out and repeats the call, which is safe.
        let _ = self
            .inner
            .peers
            .send(&from.name, Body::JobReply(JobReply { call, result }));
    }

    /// Takes the answer to a job call.
    pub fn take_reply(&self, reply: JobReply) {
        self.inner.calls.answer(reply.call, reply);
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

fn job_of(submit: &JobSubmit) -> JobSpec {
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

fn result_of(reply: CallerReply) -> Option<JobResult> {
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

fn reply_of(reply: JobReply) -> CallerReply {
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
            // A refusal of a later version; whether anything was recorded is not known here.
            Ok(Refusal::Unspecified) | Err(_) => CallerReply::Unknown,
        },
        None => CallerReply::Unknown,
    }
}
