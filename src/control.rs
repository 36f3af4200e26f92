//! Interface between the HTTP routes of the administration API and the services behind them.

use primrosestack_core::ids::JobId;
use smol_str::SmolStr;

use crate::document::Document;
use crate::model::{
    DocumentAccepted, DocumentHistory, DocumentPage, DocumentView, HostList, JobAccepted, JobName,
    JobPage, JobView, JobsCancelled, PageQuery, ServerGone, ServerPage, SubmitJob,
};
use crate::problem::Refusal;

/// A validated document that is to replace the team's current one.
#[derive(Clone, Debug)]
pub struct PutDocument {
    /// The document, whose team is the one in the path.
    pub document: Document,
    /// Its text as submitted.
    pub text: String,
    /// Revision that it replaces; none if the team must not have a document yet.
    pub expected: Option<u64>,
    /// Client that made the change.
    pub by: SmolStr,
}

/// A job to be submitted by an authorized caller.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identity of the job, derived from team and idempotency key.
    pub id: JobId,
    /// Team that owns it.
    pub team: SmolStr,
    /// Client that it is counted for.
    pub client: SmolStr,
    /// The job; its fields `team` and `client` must be ignored.
    pub job: SubmitJob,
}

/// Jobs to be cancelled.
#[derive(Clone, Debug)]
pub struct Cancellation {
    /// If set, jobs of other teams are unknown to the caller.
    pub team: Option<SmolStr>,
    /// The jobs, each once.
    pub jobs: Vec<JobName>,
}

/// Result of a call.
pub type ControlResult<T> = Result<T, Refusal>;

/// Calls of the administration API, made on behalf of authenticated and authorized callers.
///
/// A call returns [`Refusal::NotRun`] only if nothing was recorded, and [`Refusal::Unknown`] if this cannot be
/// determined; in both cases it can be retried safely.
pub trait Control: Send + Sync + 'static {
    /// Lists documents in order of team.
    fn documents(
        &self,
        query: PageQuery,
    ) -> impl Future<Output = ControlResult<DocumentPage>> + Send;

    /// Reads the document of a team.
    fn document(&self, team: SmolStr) -> impl Future<Output = ControlResult<DocumentView>> + Send;

    /// Writes a document; returns [`Refusal::Conflict`] if the current revision is not the expected one.
    fn put_document(
        &self,
        change: PutDocument,
    ) -> impl Future<Output = ControlResult<DocumentAccepted>> + Send;

    /// Returns the revision of a document in force in each failure domain.
    fn document_history(
        &self,
        team: SmolStr,
    ) -> impl Future<Output = ControlResult<DocumentHistory>> + Send;

    /// Submits a job; returns once it is durable.
    fn submit(
        &self,
        submission: Submission,
    ) -> impl Future<Output = ControlResult<JobAccepted>> + Send;

    /// Lists jobs in order of name.
    fn jobs(&self, query: PageQuery) -> impl Future<Output = ControlResult<JobPage>> + Send;

    /// Reads a job.
    fn job(&self, job: JobName) -> impl Future<Output = ControlResult<JobView>> + Send;

    /// Cancels jobs; returns once the cancellations are durable.
    fn cancel(
        &self,
        cancellation: Cancellation,
    ) -> impl Future<Output = ControlResult<JobsCancelled>> + Send;

    /// Lists the entry hosts.
    fn hosts(&self) -> impl Future<Output = ControlResult<HostList>> + Send;

    /// Lists backend servers in order of name.
    fn servers(&self, query: PageQuery) -> impl Future<Output = ControlResult<ServerPage>> + Send;

    /// Declares that a backend server is gone and that nothing runs there.
    fn declare_gone(
        &self,
        server: SmolStr,
        by: SmolStr,
    ) -> impl Future<Output = ControlResult<ServerGone>> + Send;
}
