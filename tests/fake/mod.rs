//! An in-memory [`Control`], test tokens and temporary directories for the tests of the administration API.
#![allow(dead_code, reason = "each test crate uses only some of these helpers")]

pub mod keys;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use primrosestack::api;
use primrosestack::auth::{Auth, token_sha256};
use primrosestack::control::{Cancellation, Control, ControlResult, PutDocument, Submission};
use primrosestack::model::*;
use primrosestack::problem::Refusal;
use primrosestack_core::event::NotRun;
use smol_str::SmolStr;

pub const FICHALUZ: &str = include_str!("../../examples/documents/fichaluz.jsonc");

/// What the fake stores, and the faults that a test injects.
#[derive(Default)]
pub struct State {
    /// Writes fail with "store unavailable".
    pub store_is_down: AtomicBool,
    /// Writes end with an unknown outcome.
    pub store_is_silent: AtomicBool,
    /// Listing hosts never returns.
    pub is_hung: AtomicBool,
    /// Number of job queries that are still to be refused with "shutting down".
    pub refused_polls: AtomicU32,
    documents: Mutex<BTreeMap<SmolStr, (u64, String)>>,
    jobs: Mutex<BTreeMap<JobName, JobView>>,
    gone: Mutex<Vec<SmolStr>>,
}

/// An in-memory [`Control`]; a clone is a handle to the same state.
#[derive(Clone, Default)]
pub struct Fake(pub Arc<State>);

impl Fake {
    /// Returns the injected store fault, if any. Every write calls this first.
    fn check_write(&self) -> ControlResult<()> {
        if self.0.store_is_down.load(Ordering::SeqCst) {
            return Err(NotRun::StoreUnavailable.into());
        }
        if self.0.store_is_silent.load(Ordering::SeqCst) {
            return Err(Refusal::Unknown);
        }
        Ok(())
    }
}

fn not_found(kind: &'static str, name: &impl ToString) -> Refusal {
    let name = name.to_string();
    Refusal::NotFound { kind, name }
}

impl Control for Fake {
    async fn documents(&self, query: PageQuery) -> ControlResult<DocumentPage> {
        let documents = self.0.documents.lock().unwrap();
        let matching = documents
            .iter()
            .filter(|(team, _)| query.team.as_ref().is_none_or(|only| only == *team));
        let entry = |(team, (revision, _)): (&SmolStr, &(u64, String))| DocumentEntry {
            team: team.clone(),
            revision: *revision,
            services: 1,
            batch: 2,
        };
        let documents = matching.take(query.limit() as usize).map(entry).collect();
        Ok(DocumentPage {
            documents,
            next: None,
        })
    }

    async fn document(&self, team: SmolStr) -> ControlResult<DocumentView> {
        let documents = self.0.documents.lock().unwrap();
        let (revision, text) = documents
            .get(&team)
            .cloned()
            .ok_or_else(|| not_found("document", &team))?;
        Ok(DocumentView {
            team,
            revision,
            text,
        })
    }

    async fn put_document(&self, change: PutDocument) -> ControlResult<DocumentAccepted> {
        self.check_write()?;
        let mut documents = self.0.documents.lock().unwrap();
        let team = change.document.team;
        let current = documents.get(&team).map_or(0, |(revision, _)| *revision);
        if change.expected.unwrap_or(0) != current {
            return Err(Refusal::Conflict { current });
        }
        let revision = current + 1;
        documents.insert(team.clone(), (revision, change.text));
        Ok(DocumentAccepted { team, revision })
    }

    async fn document_history(&self, team: SmolStr) -> ControlResult<DocumentHistory> {
        let revision = self.document(team.clone()).await?.revision;
        let domain_revision = |failure_domain: &str, revision| InForce {
            failure_domain: failure_domain.into(),
            revision,
            heard_ms_ago: revision.map(|_| 40),
        };
        let in_force = vec![
            domain_revision("cxs", None),
            domain_revision("pel", Some(revision - 1)),
            domain_revision("poa", Some(revision)),
        ];
        Ok(DocumentHistory {
            team,
            revision,
            in_force,
            changes: Vec::new(),
        })
    }

    async fn submit(&self, submission: Submission) -> ControlResult<JobAccepted> {
        self.check_write()?;
        let job = JobName(submission.id);
        let view = JobView {
            job,
            team: submission.team,
            client: submission.client,
            kind: submission.job.kind,
            failure_domain: submission
                .job
                .failure_domain
                .unwrap_or_else(|| "poa".into()),
            tasks: submission.job.tasks,
            pending: submission.job.tasks,
            running: 0,
            succeeded: 0,
            failed: 0,
            cancelled: 0,
            parked: 0,
            parked_reason: None,
            evictions: 0,
            finish_by_unix_ms: None,
        };
        let mut jobs = self.0.jobs.lock().unwrap();
        match jobs.get(&job) {
            Some(known) if known.kind != view.kind || known.tasks != view.tasks => {
                Err(Refusal::KeyReused)
            }
            Some(_) => Ok(JobAccepted { job, new: false }),
            None => {
                jobs.insert(job, view);
                Ok(JobAccepted { job, new: true })
            }
        }
    }

    async fn jobs(&self, query: PageQuery) -> ControlResult<JobPage> {
        let jobs = self.0.jobs.lock().unwrap();
        let is_wanted = |job: &&JobView| query.team.as_ref().is_none_or(|team| *team == job.team);
        Ok(JobPage {
            jobs: jobs.values().filter(is_wanted).cloned().collect(),
            next: None,
        })
    }

    async fn job(&self, job: JobName) -> ControlResult<JobView> {
        let decrement = |polls: u32| polls.checked_sub(1);
        let refused =
            self.0
                .refused_polls
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement);
        if refused.is_ok() {
            return Err(NotRun::ShuttingDown.into());
        }
        let jobs = self.0.jobs.lock().unwrap();
        jobs.get(&job)
            .cloned()
            .ok_or_else(|| not_found("job", &job))
    }

    async fn cancel(&self, cancellation: Cancellation) -> ControlResult<JobsCancelled> {
        self.check_write()?;
        let mut jobs = self.0.jobs.lock().unwrap();
        let mut answer = JobsCancelled::default();
        for name in cancellation.jobs {
            let known = jobs.get_mut(&name);
            let visible = known.filter(|job| {
                cancellation
                    .team
                    .as_ref()
                    .is_none_or(|team| *team == job.team)
            });
            let Some(job) = visible else {
                answer.unknown.push(name);
                continue;
            };
            job.cancelled += job.pending;
            job.pending = 0;
            answer.cancelled.push(name);
        }
        Ok(answer)
    }

    async fn hosts(&self) -> ControlResult<HostList> {
        if self.0.is_hung.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        let host = HostView {
            name: "poa-1".into(),
            failure_domain: "poa".into(),
            address: "10.20.1.1:7402".into(),
            state: MemberState::Leaving,
            out_reason: Some("shutting down".into()),
            shards: vec![0, 2],
            requests_running: 3,
            requests_queued: 0,
            slots_free: 5,
            heard_ms_ago: Some(12),
        };
        Ok(HostList { hosts: vec![host] })
    }

    async fn servers(&self, _: PageQuery) -> ControlResult<ServerPage> {
        Ok(ServerPage::default())
    }

    async fn declare_gone(&self, server: SmolStr, _: SmolStr) -> ControlResult<ServerGone> {
        self.0.gone.lock().unwrap().push(server.clone());
        Ok(ServerGone {
            server,
            tasks_released: 4,
        })
    }
}

/// A temporary directory that is removed on drop.
pub struct Directory(PathBuf);

impl Directory {
    pub fn open() -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let name = format!(
            "primrosestack-test-{}-{}",
            std::process::id(),
            COUNT.fetch_add(1, Ordering::SeqCst)
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    pub fn write(&self, name: &str, content: impl AsRef<[u8]>) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, content).unwrap();
        path
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Writes a tokens file with the tokens `operator`, `field-work` and `other`: an operator and two teams of these names.
pub fn tokens(directory: &Directory) -> PathBuf {
    let team = |team: &str| {
        format!(
            "{{\"sha256\": \"{}\", \"team\": \"{team}\"}}",
            token_sha256(team)
        )
    };
    let operator = format!(
        "{{\"sha256\": \"{}\", \"operator\": true}}",
        token_sha256("operator")
    );
    let text = format!(
        "{{\"tokens\": [{operator}, {}, {}]}}",
        team("field-work"),
        team("other")
    );
    directory.write("tokens.jsonc", text)
}

/// The administration API over a new [`Fake`], with the tokens of [`tokens`].
pub fn app(directory: &Directory) -> (Fake, axum::Router) {
    let fake = Fake::default();
    let auth = Auth::open(tokens(directory)).unwrap();
    (fake.clone(), api::router(fake, auth))
}
