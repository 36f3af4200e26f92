//! Implements the calls of the administration API with the services of this host and its peers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use primrosestack_core::documents::EditError;
use primrosestack_core::event::{CallerReply, JobSpec, NotRun};
use primrosestack_core::ids::JobId;
use primrosestack_core::peer_frame::Subject;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, format_smolstr};

use crate::clock::unix_ms;
use crate::control::{Cancellation, Control, ControlResult, PutDocument, Submission};
use crate::docstore::{self, WriteError};
use crate::document::Batch;
use crate::inspect::{AbsentJob, Inspection};
use crate::jobs::{Jobs, job_in_domain};
use crate::logs::Line;
use crate::members::{Members, MembersError, ParsedDocument};
use crate::model::{
    DocumentAccepted, DocumentChange, DocumentEntry, DocumentHistory, DocumentPage, DocumentView,
    HostList, HostView, InForce as DomainInForce, JobAccepted, JobName, JobPage, JobView,
    JobsCancelled, PageQuery, ServerGone, ServerPage, ServerView,
};
use crate::problem::Refusal;
use crate::store::Store;

/// Jobs per query to the owners.
const JOBS_PER_QUERY: usize = 2_048;

/// Changes kept per team for its document's history.
const CHANGES_PER_TEAM_MAX: usize = 16;

/// Dependencies of [`Administration`].
pub struct AdministrationOptions {
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Documents and members.
    pub members: Members,
    /// Submits and cancels jobs.
    pub jobs: Jobs,
    /// Queries the hosts for their state.
    pub inspection: Inspection,
}

/// Answers of the owners to a query about jobs.
#[derive(Default)]
struct JobQueryResult {
    views: Vec<JobView>,
    /// Jobs that certainly do not exist.
    absent: Vec<JobName>,
}

/// Carries out the calls of the administration API.
pub struct Administration {
    options: AdministrationOptions,
    /// Changes accepted at this host since it started, by team, newest first.
    changes: Mutex<BTreeMap<SmolStr, Vec<DocumentChange>>>,
}

impl Administration {
    /// Creates the service with an empty history.
    #[must_use]
    pub fn open(options: AdministrationOptions) -> Self {
        Self {
            options,
            changes: Mutex::default(),
        }
    }

    fn in_force(&self, team: &str) -> ControlResult<ParsedDocument> {
        let view = self.options.members.view();
        view.document(team)
            .cloned()
            .ok_or_else(|| Refusal::NotFound {
                kind: "document of team",
                name: team.to_owned(),
            })
    }

    fn record_change(&self, team: &SmolStr, change: DocumentChange) {
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let changes = changes.entry(team.clone()).or_default();
        changes.insert(0, change);
        changes.truncate(CHANGES_PER_TEAM_MAX);
    }

    async fn query_hosts<T: DeserializeOwned>(
        &self,
        subject: Subject,
        name: &str,
    ) -> (Vec<T>, Vec<String>) {
        let gathered = self
            .options
            .inspection
            .query_all_domains(subject, name)
            .await;
        let elements = gathered.elements.iter();
        let parsed = elements.filter_map(|element| serde_json::from_str(element).ok());
        (parsed.collect(), gathered.silent)
    }

    async fn query_jobs(&self, jobs: &[JobName]) -> JobQueryResult {
        let mut result = JobQueryResult::default();
        for chunk in jobs.chunks(JOBS_PER_QUERY) {
            let query = serde_json::to_string(chunk).unwrap_or_default();
            let gathered = self
                .options
                .inspection
                .query_all_domains(Subject::Jobs, &query);
            for element in gathered.await.elements {
                if let Ok(absent) = serde_json::from_str::<AbsentJob>(&element) {
                    result.absent.push(absent.absent);
                } else if let Ok(view) = serde_json::from_str(&element) {
                    result.views.push(view);
                }
            }
        }
        result
    }

    fn job_spec(&self, submission: &Submission) -> ControlResult<JobSpec> {
        let Submission {
            id,
            team,
            client,
            job,
        } = submission;
        let document = self.in_force(team)?;
        let Some(batch) = document.content.batch.get(&job.kind) else {
            let detail = format!(
                "kind {:?} is not in the document of team {team:?}",
                job.kind
            );
            return Err(Refusal::Invalid { detail });
        };
        let domain = select_failure_domain(batch, *id, job.failure_domain.as_ref())?;
        let finish_within = batch
            .finish_within_ms
            .map(|within_ms| unix_ms() + within_ms);
        Ok(JobSpec {
            id: job_in_domain(*id, domain),
            team: team.clone(),
            client: client.clone(),
            kind: job.kind.clone(),
            tasks: job.tasks,
            size: job.size.unwrap_or(batch.size).into(),
            run_ms: job.run_ms.unwrap_or(batch.run_ms),
            finish_by_unix_ms: job.finish_by_unix_ms.or(finish_within).unwrap_or_default(),
        })
    }
}

/// Returns the requested failure domain of a job, or else one selected by its hash, so that a repeated submission
/// selects the same one.
fn select_failure_domain<'a>(
    batch: &'a Batch,
    id: JobId,
    requested: Option<&'a SmolStr>,
) -> ControlResult<&'a SmolStr> {
    let domains = &batch.failure_domains;
    if let Some(requested) = requested {
        if domains.contains(requested) {
            return Ok(requested);
        }
        let detail = format!("failure_domain {requested:?}: expected one of {domains:?}");
        return Err(Refusal::Invalid { detail });
    }
    let at = usize::try_from(id.0).unwrap_or_default() % domains.len().max(1);
    domains.get(at).ok_or_else(|| Refusal::Invalid {
        detail: "the kind has no failure domain".to_owned(),
    })
}

fn paginate<T>(
    mut all: Vec<T>,
    query: &PageQuery,
    name: impl Fn(&T) -> SmolStr,
) -> (Vec<T>, Option<SmolStr>) {
    all.sort_by_key(|element| name(element));
    if let Some(after) = &query.after {
        all.retain(|element| name(element) > *after);
    }
    let limit = query.limit() as usize;
    if all.len() <= limit {
        return (all, None);
    }
    all.truncate(limit);
    let next = all.last().map(name);
    (all, next)
}

fn write_refusal(error: WriteError) -> Refusal {
    match error {
        WriteError::Unavailable => NotRun::StoreUnavailable.into(),
        WriteError::Unknown => Refusal::Unknown,
        WriteError::Refused { source } => match source {
            MembersError::Edit {
                source:
                    EditError::RevisionConflict { current, .. } | EditError::StoreBehind { current, .. },
            } => Refusal::Conflict { current },
            MembersError::Joining | MembersError::Stopped => NotRun::NotOwner.into(),
        },
    }
}

impl Control for Administration {
    async fn documents(&self, query: PageQuery) -> ControlResult<DocumentPage> {
        let view = self.options.members.view();
        let is_in_team = |document: &&ParsedDocument| {
            query
                .team
                .as_ref()
                .is_none_or(|team| *team == document.team)
        };
        let entries = view
            .documents
            .iter()
            .filter(is_in_team)
            .map(|document| DocumentEntry {
                team: document.team.clone(),
                revision: document.revision,
                services: u32::try_from(document.content.services.len()).unwrap_or(u32::MAX),
                batch: u32::try_from(document.content.batch.len()).unwrap_or(u32::MAX),
            });
        let (documents, next) = paginate(entries.collect(), &query, |entry| entry.team.clone());
        Ok(DocumentPage { documents, next })
    }

    async fn document(&self, team: SmolStr) -> ControlResult<DocumentView> {
        let document = self.in_force(&team)?;
        Ok(DocumentView {
            team,
            revision: document.revision,
            text: document.text.to_string(),
        })
    }

    async fn put_document(&self, change: PutDocument) -> ControlResult<DocumentAccepted> {
        let PutDocument {
            document,
            text,
            expected,
            by,
        } = change;
        let team = document.team;
        let if_match = expected.unwrap_or_default();
        let options = &self.options;
        let written = docstore::edit(
            &*options.store,
            &options.members,
            &team,
            if_match,
            text.into(),
        );
        let revision = written.await.map_err(write_refusal)?;
        let line = Line::info("document_accepted").with("team", &team);
        line.with("revision", revision).with("by", &by).write();
        let at_unix_ms = unix_ms();
        let recorded = DocumentChange {
            revision,
            at_unix_ms,
            by,
        };
        self.record_change(&team, recorded);
        Ok(DocumentAccepted { team, revision })
    }

    async fn document_history(&self, team: SmolStr) -> ControlResult<DocumentHistory> {
        let document = self.in_force(&team)?;
        let view = self.options.members.view();
        let found = view.domains.iter().find(|(known, _)| *known == team);
        let domains = found
            .map(|(_, domains)| domains.clone())
            .unwrap_or_default();
        let in_force = domains.into_iter().map(|domain| DomainInForce {
            failure_domain: domain.failure_domain,
            revision: Some(domain.revision),
            heard_ms_ago: None,
        });
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(DocumentHistory {
            revision: document.revision,
            in_force: in_force.collect(),
            changes: changes.get(&team).cloned().unwrap_or_default(),
            team,
        })
    }

    async fn submit(&self, submission: Submission) -> ControlResult<JobAccepted> {
        let spec = self.job_spec(&submission)?;
        match self.options.jobs.submit(spec).await {
            CallerReply::Accepted { job, new } => {
                let line = Line::info("job_accepted").with("job", JobName(job));
                line.with("team", &submission.team).with("new", new).write();
                let job = JobName(job);
                Ok(JobAccepted { job, new })
            }
            CallerReply::NotRun(reason) => Err(reason.into()),
            _ => Err(Refusal::Unknown),
        }
    }

    async fn jobs(&self, query: PageQuery) -> ControlResult<JobPage> {
        let text = serde_json::to_string(&query).unwrap_or_default();
        let (mut jobs, _): (Vec<JobView>, _) = self.query_hosts(Subject::Jobs, &text).await;
        if let Some(domain) = &query.failure_domain {
            jobs.retain(|job| job.failure_domain == *domain);
        }
        let (jobs, next) = paginate(jobs, &query, |job| format_smolstr!("{}", job.job));
        Ok(JobPage { jobs, next })
    }

    async fn job(&self, job: JobName) -> ControlResult<JobView> {
        let JobQueryResult { views, absent } = self.query_jobs(&[job]).await;
        let found = views.into_iter().next();
        found.ok_or_else(|| {
            // Only the owner of the job's shard can tell, once recovered, that the job does not exist.
            if absent.is_empty() && self.options.jobs.domain_of(job.0).is_some() {
                return NotRun::NotOwner.into();
            }
            Refusal::NotFound {
                kind: "job",
                name: job.to_string(),
            }
        })
    }

    async fn cancel(&self, cancellation: Cancellation) -> ControlResult<JobsCancelled> {
        let Cancellation { team, jobs } = cancellation;
        let mut allowed = Vec::new();
        let mut unknown = Vec::new();
        match &team {
            None => allowed.extend(jobs.into_iter().map(|job| job.0)),
            Some(team) => {
                let JobQueryResult { views, absent } = self.query_jobs(&jobs).await;
                for job in jobs {
                    let view = views.iter().find(|view| view.job == job);
                    let is_placed = self.options.jobs.domain_of(job.0).is_some();
                    match view {
                        Some(view) if view.team == *team => allowed.push(job.0),
                        // The owner did not answer or is still recovering.
                        None if is_placed && !absent.contains(&job) => {
                            return Err(NotRun::NotOwner.into());
                        }
                        _ => unknown.push(job),
                    }
                }
            }
        }
        let (cancelled, failed) = self.options.jobs.cancel(&allowed).await;
        if let Some(failure) = failed.into_iter().next() {
            let nothing = cancelled.is_empty();
            return Err(match failure {
                CallerReply::NotRun(reason) if nothing => reason.into(),
                _ => Refusal::Unknown,
            });
        }
        let missing = allowed.into_iter().filter(|job| !cancelled.contains(job));
        unknown.extend(missing.map(JobName));
        Ok(JobsCancelled {
            cancelled: cancelled.into_iter().map(JobName).collect(),
            unknown,
        })
    }

    async fn hosts(&self) -> ControlResult<HostList> {
        let (mut hosts, _): (Vec<HostView>, _) = self.query_hosts(Subject::Host, "").await;
        hosts.extend(self.options.inspection.silent_hosts(&hosts));
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(HostList { hosts })
    }

    async fn servers(&self, query: PageQuery) -> ControlResult<ServerPage> {
        let (mut servers, _): (Vec<ServerView>, _) = self.query_hosts(Subject::Servers, "").await;
        if let Some(domain) = &query.failure_domain {
            servers.retain(|server| server.failure_domain == *domain);
        }
        let (servers, next) = paginate(servers, &query, |server| server.name.clone());
        Ok(ServerPage { servers, next })
    }

    async fn declare_gone(&self, server: SmolStr, by: SmolStr) -> ControlResult<ServerGone> {
        let line = Line::warn("server_declared_gone").with("server", &server);
        line.with("by", &by).write();
        let (found, silent): (Vec<ServerGone>, _) =
            self.query_hosts(Subject::DeclareGone, &server).await;
        let first = found.into_iter().next();
        first.ok_or_else(|| {
            if !silent.is_empty() {
                return NotRun::NotOwner.into();
            }
            Refusal::NotFound {
                kind: "backend server",
                name: server.to_string(),
            }
        })
    }
}
