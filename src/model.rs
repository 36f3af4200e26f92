//! Requests and answers of the administration API.

use std::fmt;
use std::str::FromStr;

use primrosestack_core::ids::{JobId, stable_hash};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::Snafu;

use crate::document::Size;

/// Most elements of one page.
pub const PAGE_MAX: u32 = 1_000;

/// A text that is not a valid job name.
#[derive(Debug, Snafu)]
#[snafu(display("{text:?} is not a job: expected 16 hexadecimal digits"))]
pub struct JobNameError {
    text: String,
}

/// A job in the API: 16 hexadecimal digits, since JSON numbers hold only 53 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct JobName(pub JobId);

impl JobName {
    /// Derives the name of the job that a team submits under an idempotency key.
    #[must_use]
    pub fn from_key(team: &str, key: &str) -> Self {
        // Team names contain no zero byte, so different pairs give different bytes.
        let bytes = [team.as_bytes(), b"\0", key.as_bytes()].concat();
        Self(JobId(stable_hash(&bytes, 0)))
    }
}

impl fmt::Display for JobName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0.0)
    }
}

impl FromStr for JobName {
    type Err = JobNameError;

    fn from_str(text: &str) -> Result<Self, JobNameError> {
        let is_hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        match u64::from_str_radix(text, 16) {
            Ok(id) if is_hex => Ok(Self(JobId(id))),
            _ => JobNameSnafu { text }.fail(),
        }
    }
}

impl From<JobName> for String {
    fn from(name: JobName) -> Self {
        name.to_string()
    }
}

impl TryFrom<String> for JobName {
    type Error = JobNameError;

    fn try_from(text: String) -> Result<Self, JobNameError> {
        text.parse()
    }
}

impl JsonSchema for JobName {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "JobName".into()
    }

    fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
        schemars::json_schema!({
            "type": "string",
            "description": "A job: 16 hexadecimal digits.",
            "pattern": "^[0-9a-f]{16}$",
            "format": "job",
        })
    }
}

/// Filters and page of a list query.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PageQuery {
    /// Only elements of this team.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<SmolStr>,
    /// Only elements in this failure domain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure_domain: Option<SmolStr>,
    /// Value of `next` of the previous page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<SmolStr>,
    /// Most elements to return, from 1 to 1,000; by default 100.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<u32>,
}

impl PageQuery {
    /// Returns the most elements to return.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.unwrap_or(100).clamp(1, PAGE_MAX)
    }
}

/// A page of documents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DocumentPage {
    /// The documents, in order of team.
    pub documents: Vec<DocumentEntry>,
    /// Where the next page starts; none on the last page.
    pub next: Option<SmolStr>,
}

/// A document without its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DocumentEntry {
    /// Team that it belongs to.
    pub team: SmolStr,
    /// Highest revision known to this entry host.
    pub revision: u64,
    /// Number of latency-critical services.
    pub services: u32,
    /// Number of kinds of batch work.
    pub batch: u32,
}

/// An accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DocumentView {
    /// Team that it belongs to.
    pub team: SmolStr,
    /// Its revision.
    pub revision: u64,
    /// JSON with comments, as submitted.
    pub text: String,
}

/// Answer to an accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DocumentAccepted {
    /// Team that it belongs to.
    pub team: SmolStr,
    /// Its new revision.
    pub revision: u64,
}

/// Revisions of a document in force in each failure domain, and its latest changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DocumentHistory {
    /// The team.
    pub team: SmolStr,
    /// Highest accepted revision known to this entry host.
    pub revision: u64,
    /// Revision of each failure domain, in order of name.
    pub in_force: Vec<InForce>,
    /// Accepted changes known to this entry host, the latest first.
    pub changes: Vec<DocumentChange>,
}

/// Revision of a document in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct InForce {
    /// The failure domain.
    pub failure_domain: SmolStr,
    /// Lowest revision among its live entry hosts; none if they have not reported.
    pub revision: Option<u64>,
    /// Time since the last report from the failure domain, in milliseconds.
    pub heard_ms_ago: Option<u64>,
}

/// One accepted change of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DocumentChange {
    /// Revision that it created.
    pub revision: u64,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Client that made it.
    pub by: SmolStr,
}

/// A job to be submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SubmitJob {
    /// Team that owns it; by default that of the token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = "name"))]
    pub team: Option<SmolStr>,
    /// Client that it is counted for; by default that of the token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = "name"))]
    pub client: Option<SmolStr>,
    /// Kind of batch work, as named in the team's document.
    #[schemars(extend("format" = "name"))]
    pub kind: SmolStr,
    /// Failure domain to run in; by default one of the kind's failure domains.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("format" = "name"))]
    pub failure_domain: Option<SmolStr>,
    /// Number of tasks.
    #[schemars(range(min = 1, max = 100_000))]
    pub tasks: u32,
    /// Size of one task; by default that of the kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<Size>,
    /// Expected run time of one task in milliseconds; by default that of the kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1))]
    pub run_ms: Option<u64>,
    /// Time by which all tasks should have ended, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_by_unix_ms: Option<u64>,
}

/// Answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct JobAccepted {
    /// The job.
    pub job: JobName,
    /// False if it was accepted before under the same idempotency key.
    pub new: bool,
}

/// A page of jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct JobPage {
    /// The jobs, in order of name.
    pub jobs: Vec<JobView>,
    /// Where the next page starts; none on the last page.
    pub next: Option<SmolStr>,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct JobView {
    /// The job.
    pub job: JobName,
    /// Team that owns it.
    pub team: SmolStr,
    /// Client that submitted it.
    pub client: SmolStr,
    /// Kind of work.
    pub kind: SmolStr,
    /// Failure domain that it runs in.
    pub failure_domain: SmolStr,
    /// Number of tasks.
    pub tasks: u32,
    /// Tasks that wait for a backend server.
    pub pending: u32,
    /// Tasks that are starting, running, being evicted or being stopped.
    pub running: u32,
    /// Tasks that ended with success.
    pub succeeded: u32,
    /// Tasks that ended with a failure.
    pub failed: u32,
    /// Tasks that were cancelled.
    pub cancelled: u32,
    /// Tasks that are parked.
    pub parked: u32,
    /// Why tasks are parked.
    pub parked_reason: Option<SmolStr>,
    /// Evictions so far.
    pub evictions: u32,
    /// Time by which all tasks should have ended, in milliseconds since the Unix epoch.
    pub finish_by_unix_ms: Option<u64>,
}

impl JobView {
    /// Returns whether no task will run any more without action by an operator.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.pending == 0 && self.running == 0
    }
}

/// Jobs to be cancelled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CancelJobs {
    /// The jobs, at most 20,000.
    #[schemars(length(min = 1, max = 20_000))]
    pub jobs: Vec<JobName>,
}

/// Answer to a cancellation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct JobsCancelled {
    /// Jobs whose cancellation is durable; their tasks never start again.
    pub cancelled: Vec<JobName>,
    /// Jobs that do not exist or belong to another team.
    pub unknown: Vec<JobName>,
}

/// The entry hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HostList {
    /// The hosts, in order of name.
    pub hosts: Vec<HostView>,
}

/// State of an entry host or a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Accepts work.
    Live,
    /// Known, but not claimed by its owner yet.
    Claiming,
    /// Has not reported for too long.
    Suspected,
    /// Receives no new work.
    Leaving,
    /// Excluded since tasks fail to start or run there; receives only probes.
    Quarantined,
    /// Replaced, or declared gone.
    Gone,
}

impl MemberState {
    /// The state as it is written in the API.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Claiming => "claiming",
            Self::Suspected => "suspected",
            Self::Leaving => "leaving",
            Self::Quarantined => "quarantined",
            Self::Gone => "gone",
        }
    }
}

/// One entry host as seen by the answering one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HostView {
    /// Its name.
    pub name: SmolStr,
    /// Its failure domain.
    pub failure_domain: SmolStr,
    /// Address of its peer listener.
    pub address: SmolStr,
    /// Its state.
    pub state: MemberState,
    /// Why it accepts no work.
    pub out_reason: Option<SmolStr>,
    /// Shards that it owns.
    pub shards: Vec<u32>,
    /// Requests in execution.
    pub requests_running: u32,
    /// Requests that are queued.
    pub requests_queued: u32,
    /// Free slots on its backend servers.
    pub slots_free: u32,
    /// Time since its last report, in milliseconds.
    pub heard_ms_ago: Option<u64>,
}

/// A page of backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ServerPage {
    /// The servers, in order of name.
    pub servers: Vec<ServerView>,
    /// Where the next page starts; none on the last page.
    pub next: Option<SmolStr>,
}

/// Amounts of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Amounts {
    /// Processor time, in thousandths of a core.
    pub millicores: u32,
    /// Memory, in mebibytes.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ServerView {
    /// Its name.
    pub name: SmolStr,
    /// Its failure domain.
    pub failure_domain: SmolStr,
    /// Its rack.
    pub rack: SmolStr,
    /// Shard that it belongs to.
    pub shard: u32,
    /// Entry host that may send it commands, if known.
    pub owner: Option<SmolStr>,
    /// Epoch of the owner as `term.rank`.
    pub epoch: Option<SmolStr>,
    /// Its state.
    pub state: MemberState,
    /// Why it accepts no work.
    pub out_reason: Option<SmolStr>,
    /// Its capacity.
    pub size: Amounts,
    /// Its reserved capacity.
    pub reserved: Amounts,
    /// Tasks on it.
    pub tasks: u32,
    /// Requests in execution.
    pub slots_used: u32,
    /// Time since its last report, in milliseconds.
    pub heard_ms_ago: Option<u64>,
}

/// Answer to the declaration that a backend server is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ServerGone {
    /// The server.
    pub server: SmolStr,
    /// Tasks that may now run elsewhere.
    pub tasks_released: u32,
}
