//! What operators do: edit the service document and submit jobs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use axum::http::Request;
use http_body_util::Full;
use primrosestack::http::{HttpClient, HttpFailure, HttpResponse};
use primrosestack::model::{DocumentAccepted, DocumentView, JobAccepted, JobView};
use smol_str::SmolStr;
use snafu::{ResultExt, ensure};

use crate::error::{DeploymentError, HttpSnafu, JsonSnafu, LateSnafu, StatusSnafu};
use crate::hosts::{DOMAINS, Hosts};

const DOCUMENT: &str = include_str!("../documents/fichaluz.jsonc");
const DOCUMENT_PATH: &str = "/v1/documents/field-work";
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Resolution of the in-force times.
const POLL: Duration = Duration::from_millis(10);
/// A host that does not answer in this time is asked again.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
const JOB_PERIOD: Duration = Duration::from_secs(8);
const RETRY: Duration = Duration::from_millis(200);
const TASKS_PER_JOB: u32 = 16;
const TASK_RUN_MS: u64 = 2_500;

/// Two edits with the same If-Match.
pub(crate) struct Race {
    /// Revision of the accepted edit.
    pub(crate) revision: u64,
    /// When the edits were sent.
    pub(crate) sent: Instant,
    /// Whether exactly one was accepted and the other got 409.
    pub(crate) is_fair: bool,
    /// Statuses of both.
    pub(crate) statuses: [u16; 2],
}

/// An accepted job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) name: String,
    pub(crate) tasks: u32,
}

/// Calls the administration listeners.
#[derive(Clone)]
pub(crate) struct Operator {
    client: HttpClient,
    admins: Arc<[SocketAddr]>,
}

fn check(what: &'static str, answer: &HttpResponse) -> Result<(), DeploymentError> {
    let status = answer.status;
    let body = String::from_utf8_lossy(&answer.body);
    ensure!(
        status.is_success(),
        StatusSnafu {
            what,
            status: status.as_u16(),
            body
        }
    );
    Ok(())
}

impl Operator {
    pub(crate) fn open(hosts: &Hosts) -> Self {
        Self {
            client: HttpClient::default(),
            admins: hosts.all.iter().map(|host| host.admin).collect(),
        }
    }

    async fn send(
        &self,
        method: &str,
        host: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
        timeout: Duration,
    ) -> Result<HttpResponse, HttpFailure> {
        let uri = format!("http://{}{path}", self.admins[host]);
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::from(body));
        let request = request.map_err(|_| HttpFailure::Malformed)?;
        self.client.send(request, timeout).await
    }

    /// Edits the document; `base` is the If-Match, or 0 for the first edit.
    pub(crate) async fn put_document(
        &self,
        host: usize,
        base: u64,
        by: &str,
    ) -> Result<HttpResponse, DeploymentError> {
        let text = format!("// Edit by {by} after revision {base}.\n{DOCUMENT}");
        let if_match = format!("\"{base}\"");
        let headers = [("if-match", if_match.as_str())];
        let headers = if base == 0 { &[][..] } else { &headers[..] };
        let sent = self.send("PUT", host, DOCUMENT_PATH, headers, text, CALL_TIMEOUT);
        sent.await.context(HttpSnafu { what: "edit" })
    }

    /// Submits the first revision.
    pub(crate) async fn first_document(&self) -> Result<u64, DeploymentError> {
        let answer = self.put_document(0, 0, "the first operator").await?;
        check("first document", &answer)?;
        revision_of(&answer)
    }

    /// Two operators edit at two hosts at the same time with the same If-Match.
    pub(crate) async fn race(&self, hosts: [usize; 2], base: u64) -> Result<Race, DeploymentError> {
        let sent = Instant::now();
        let (one, other) = tokio::join!(
            self.put_document(hosts[0], base, "one operator"),
            self.put_document(hosts[1], base, "the other operator")
        );
        let answers = [one?, other?];
        let statuses = answers.each_ref().map(|answer| answer.status.as_u16());
        let accepted = answers.iter().filter(|one| one.status.is_success());
        let refused = answers.iter().filter(|one| one.status.as_u16() == 409);
        let is_fair = accepted.count() == 1 && refused.count() == 1;
        let winner = answers.iter().find(|answer| answer.status.is_success());
        let Some(winner) = winner else {
            check("racing edit", &answers[0])?;
            return LateSnafu {
                what: "an accepted edit",
                limit_ms: 0_u64,
            }
            .fail();
        };
        Ok(Race {
            revision: revision_of(winner)?,
            sent,
            is_fair,
            statuses,
        })
    }

    /// Waits until a revision is in force on all `hosts`; `None` if it is not within `limit` of `since`.
    pub(crate) async fn in_force(
        &self,
        hosts: impl IntoIterator<Item = usize>,
        revision: u64,
        since: Instant,
        limit: Duration,
    ) -> Option<Duration> {
        let waits = hosts
            .into_iter()
            .map(|host| self.in_force_on(host, revision, since, limit));
        let times = futures_util::future::join_all(waits).await;
        let times: Option<Vec<Duration>> = times.into_iter().collect();
        times?.into_iter().max()
    }

    async fn in_force_on(
        &self,
        host: usize,
        revision: u64,
        since: Instant,
        limit: Duration,
    ) -> Option<Duration> {
        while since.elapsed() < limit {
            if self
                .revision(host)
                .await
                .is_some_and(|known| known >= revision)
            {
                return Some(since.elapsed());
            }
            tokio::time::sleep(POLL).await;
        }
        None
    }

    /// Revision in force on a host.
    pub(crate) async fn revision(&self, host: usize) -> Option<u64> {
        let sent = self.send("GET", host, DOCUMENT_PATH, &[], String::new(), POLL_TIMEOUT);
        let answer = sent.await.ok()?;
        let view: DocumentView = serde_json::from_slice(&answer.body).ok()?;
        Some(view.revision)
    }

    /// Submits a job for each failure domain from time to time until `stopped`; returns the accepted jobs.
    pub(crate) async fn submit_jobs(self, stopped: Arc<AtomicBool>) -> Vec<Job> {
        let mut jobs = Vec::new();
        let mut round = 0;
        while !stopped.load(Ordering::Relaxed) {
            let submissions = DOMAINS.map(|domain| self.submit(domain, round));
            jobs.extend(futures_util::future::join_all(submissions).await);
            round += 1;
            let until = Instant::now() + JOB_PERIOD;
            while Instant::now() < until && !stopped.load(Ordering::Relaxed) {
                tokio::time::sleep(RETRY).await;
            }
        }
        jobs
    }

    /// Submits a job under one key, at one host after the other, until it is accepted.
    async fn submit(&self, domain: &str, round: usize) -> Job {
        let body = format!(
            r#"{{"team":"field-work","client":"office","kind":"invoices","failure_domain":"{domain}",
                "tasks":{TASKS_PER_JOB},"run_ms":{TASK_RUN_MS}}}"#
        );
        let key = format!("month-end-{domain}-{round}");
        let headers = [
            ("idempotency-key", key.as_str()),
            ("content-type", "application/json"),
        ];
        for host in (0..self.admins.len()).cycle().skip(round) {
            let sent = self.send(
                "POST",
                host,
                "/v1/jobs",
                &headers,
                body.clone(),
                CALL_TIMEOUT,
            );
            let answer = sent.await.ok().filter(|answer| answer.status.is_success());
            let accepted = answer.and_then(|answer| serde_json::from_slice(&answer.body).ok());
            if let Some(JobAccepted { job, .. }) = accepted {
                return Job {
                    name: job.to_string(),
                    tasks: TASKS_PER_JOB,
                };
            }
            tokio::time::sleep(RETRY).await;
        }
        unreachable!("the hosts are asked without end")
    }

    /// State of a job.
    pub(crate) async fn job(&self, host: usize, job: &str) -> Result<JobView, DeploymentError> {
        let path = format!("/v1/jobs/{job}");
        loop {
            let sent = self.send("GET", host, &path, &[], String::new(), CALL_TIMEOUT);
            let answer = sent.await.context(HttpSnafu { what: "job" })?;
            if answer.status.as_u16() == 503 {
                // The shard is changing its owner.
                tokio::time::sleep(RETRY).await;
                continue;
            }
            check("job", &answer)?;
            return serde_json::from_slice(&answer.body).context(JsonSnafu { what: "job" });
        }
    }
}

/// Indices of the entry hosts in the wanted failure domains.
pub(crate) fn hosts_of(hosts: &Hosts, wanted: impl Fn(&SmolStr) -> bool) -> Vec<usize> {
    let all = hosts.all.iter().enumerate();
    let wanted = all.filter(|(_, host)| wanted(&host.domain));
    wanted.map(|(at, _)| at).collect()
}

fn revision_of(answer: &HttpResponse) -> Result<u64, DeploymentError> {
    let accepted: DocumentAccepted =
        serde_json::from_slice(&answer.body).context(JsonSnafu { what: "edit" })?;
    Ok(accepted.revision)
}
