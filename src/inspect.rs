//! Queries entry hosts for the state of the shards that they own, for the administration API.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use primrosestack_core::division;
use primrosestack_core::event::Event;
use primrosestack_core::ids::{HostId, JobId};
use primrosestack_core::membership::{Load, MemberState as PeerState, MemberView};
use primrosestack_core::ownership::Role;
use primrosestack_core::peer_frame::{Body, Inspect, InspectReply, Subject};
use primrosestack_core::shard::Shard;
use primrosestack_core::tasks::JobState;
use primrosestack_core::view::{self, ServerState, TaskPhase};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::calls::PendingCalls;
use crate::jobs::job_in_domain;
use crate::members::Members;
use crate::model::{
    Amounts, HostView, JobName, JobView, MemberState, PageQuery, ServerGone, ServerView,
};
use crate::peer::Peers;
use crate::shards::Shards;
use crate::slots::Slots;

/// Timeout for an entry host of the same failure domain.
const HOST_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for another failure domain, whose host itself queries its peers.
const DOMAIN_TIMEOUT: Duration = Duration::from_secs(2);

pub struct InspectionOptions {
    pub host: HostId,
    pub failure_domain: SmolStr,
    /// Address of its peer listener.
    pub peer_address: std::net::SocketAddr,
    pub shards: Shards,
    pub members: Members,
    pub peers: Peers,
    pub slots: Slots,
}

struct Inner {
    options: InspectionOptions,
    pending_calls: PendingCalls<InspectReply>,
}

/// Inspection service; clones share the same state.
#[derive(Clone)]
pub struct Inspection {
    inner: Arc<Inner>,
}

/// Merged answers of entry hosts.
#[derive(Debug, Default)]
pub struct QueryResult {
    /// Jobs, servers or hosts, each encoded as JSON as in the administration API.
    pub elements: Vec<String>,
    /// Entry hosts and failure domains that did not answer.
    pub silent: Vec<String>,
}

impl Inspection {
    #[must_use]
    pub fn open(options: InspectionOptions) -> Self {
        Self {
            inner: Arc::new(Inner {
                options,
                pending_calls: PendingCalls::default(),
            }),
        }
    }

    /// Queries all entry hosts of this failure domain and, through one host each, those of the others. A failure domain
    /// without a live host is listed as silent.
    pub async fn query_all_domains(&self, subject: Subject, name: &str) -> QueryResult {
        let view = self.inner.options.members.view();
        let mut others: Vec<SmolStr> = Vec::new();
        for member in &view.members {
            let own = member.failure_domain == self.inner.options.failure_domain;
            if !own && !others.contains(&member.failure_domain) {
                others.push(member.failure_domain.clone());
            }
        }
        let queries = others
            .iter()
            .map(|domain| self.query_domain(domain, subject, name));
        let (mut result, answers) =
            tokio::join!(self.query_own_domain(subject, name), join_all(queries));
        for answer in answers {
            result.elements.extend(answer.elements);
            result.silent.extend(answer.silent);
        }
        result
    }

    async fn query_domain(&self, domain: &str, subject: Subject, name: &str) -> QueryResult {
        let view = self.inner.options.members.view();
        let Some(member) = view.live(domain).next() else {
            return QueryResult {
                elements: Vec::new(),
                silent: vec![domain.to_owned()],
            };
        };
        self.query_host(&member.host.name, subject, name, true)
            .await
    }

    /// Queries all entry hosts of this failure domain.
    pub async fn query_own_domain(&self, subject: Subject, name: &str) -> QueryResult {
        let options = &self.inner.options;
        let view = options.members.view();
        let own = view.members.iter();
        let own = own.filter(|member| member.failure_domain == options.failure_domain);
        let queries = own.map(|member| self.query_host(&member.host.name, subject, name, false));
        let mut result = QueryResult {
            elements: self.query_local(subject, name).await,
            silent: Vec::new(),
        };
        for answer in join_all(queries).await {
            result.elements.extend(answer.elements);
            result.silent.extend(answer.silent);
        }
        result
    }

    async fn query_host(
        &self,
        host: &str,
        subject: Subject,
        name: &str,
        whole_domain: bool,
    ) -> QueryResult {
        let pending_call = self.inner.pending_calls.register();
        let inspect = Inspect {
            call: pending_call.id(),
            subject: subject.into(),
            name: name.to_owned(),
            whole_domain,
        };
        let timeout = if whole_domain {
            DOMAIN_TIMEOUT
        } else {
            HOST_TIMEOUT
        };
        let unanswered = || QueryResult {
            elements: Vec::new(),
            silent: vec![host.to_owned()],
        };
        if !self.inner.options.peers.send(host, Body::Inspect(inspect)) {
            return unanswered();
        }
        match pending_call.wait(timeout).await {
            Some(answer) => QueryResult {
                elements: answer.elements,
                silent: answer.silent,
            },
            None => unanswered(),
        }
    }

    /// Handles a query from another entry host.
    pub async fn serve_peer(&self, from: &HostId, inspect: Inspect) {
        let subject = inspect.subject();
        let result = if inspect.whole_domain {
            self.query_own_domain(subject, &inspect.name).await
        } else {
            QueryResult {
                elements: self.query_local(subject, &inspect.name).await,
                silent: Vec::new(),
            }
        };
        let answer = InspectReply {
            call: inspect.call,
            elements: result.elements,
            silent: result.silent,
        };
        let _ = self
            .inner
            .options
            .peers
            .send(&from.name, Body::InspectReply(answer));
    }

    /// Completes a query to another entry host.
    pub fn complete_query(&self, answer: InspectReply) {
        self.inner.pending_calls.complete(answer.call, answer);
    }

    async fn query_local(&self, subject: Subject, name: &str) -> Vec<String> {
        match subject {
            Subject::Jobs => self.local_jobs(name).await,
            Subject::Servers => self.local_servers().await,
            Subject::Host => vec![json(&self.local_host())],
            Subject::DeclareGone => self.declare_gone_locally(name).await,
            Subject::Unspecified => Vec::new(),
        }
    }

    /// `query` is a page query or a list of jobs, as JSON.
    async fn local_jobs(&self, query: &str) -> Vec<String> {
        let domain = self.inner.options.failure_domain.clone();
        let named_jobs: Option<Vec<JobName>> = serde_json::from_str(query).ok();
        let page: PageQuery = serde_json::from_str(query).unwrap_or_default();
        let read = move |shards: &[Shard]| {
            let owned = shards.iter().filter(|shard| shard.is_owner());
            if let Some(named_jobs) = named_jobs {
                return find_local_jobs(shards, &named_jobs, &domain);
            }
            let jobs = owned
                .flat_map(Shard::jobs)
                .filter(|job| is_in_page(job, &page));
            let mut jobs: Vec<view::JobView> = jobs.collect();
            jobs.sort_by_key(|job| job.spec.id);
            // One job more than the limit shows whether there is a next page.
            jobs.truncate(page.limit() as usize + 1);
            jobs.iter()
                .map(|job| json(&job_view(job, &domain)))
                .collect()
        };
        self.inner
            .options
            .shards
            .inspect(read)
            .await
            .unwrap_or_default()
    }

    async fn local_servers(&self) -> Vec<String> {
        let options = &self.inner.options;
        let domain = options.failure_domain.clone();
        let owner = options.host.name.clone();
        let busy = options.slots.busy();
        let read = move |shards: &[Shard]| {
            let mut servers = Vec::new();
            for (number, shard) in shards.iter().enumerate() {
                let Some(epoch) = shard.epoch() else {
                    continue;
                };
                for server in shard.servers() {
                    let found = busy.binary_search_by(|(name, _)| name.cmp(&server.name));
                    let reserved = shard.reserved(server.key);
                    servers.push(json(&ServerView {
                        reserved: Amounts {
                            millicores: reserved.millicores,
                            memory_mib: reserved.memory_mib,
                            accelerators: reserved.accelerators,
                        },
                        failure_domain: domain.clone(),
                        shard: u32::try_from(number).unwrap_or(u32::MAX),
                        owner: Some(owner.clone()),
                        epoch: Some(format_smolstr!("{}.{}", epoch.term, epoch.rank)),
                        slots_used: found.map_or(0, |index| busy[index].1),
                        ..server_view(&server)
                    }));
                }
            }
            servers
        };
        options.shards.inspect(read).await.unwrap_or_default()
    }

    async fn declare_gone_locally(&self, name: &str) -> Vec<String> {
        let server = SmolStr::from(name);
        let wanted = server.clone();
        let read = move |shards: &[Shard]| {
            let owned = shards.iter().filter(|shard| shard.is_owner());
            let mut servers = owned.flat_map(Shard::servers);
            let found = servers.find(|candidate| candidate.name == wanted);
            found.map(|candidate| u32::try_from(candidate.attempts).unwrap_or(u32::MAX))
        };
        let shards = &self.inner.options.shards;
        let Some(tasks_released) = shards.inspect(read).await.flatten() else {
            return Vec::new();
        };
        let event = Event::ServerDeclaredGone {
            server: server.clone(),
        };
        shards.broadcast(event).await;
        vec![json(&ServerGone {
            server,
            tasks_released,
        })]
    }

    fn local_host(&self) -> HostView {
        let options = &self.inner.options;
        let load = options.slots.load();
        let shards = options.shards.view();
        let owned = (0_u32..)
            .zip(shards.iter())
            .filter(|(_, shard)| shard.owned);
        let busy = options.slots.busy();
        HostView {
            name: options.host.name.clone(),
            failure_domain: options.failure_domain.clone(),
            address: format_smolstr!("{}", options.peer_address),
            state: MemberState::Live,
            out_reason: None,
            shards: owned.map(|(number, _)| number).collect(),
            requests_running: busy.iter().map(|(_, count)| count).sum(),
            requests_queued: load.queued,
            slots_free: load.free_slots,
            heard_ms_ago: Some(0),
        }
    }

    /// Returns the known entry hosts that are not in `answered`, as seen by this host.
    #[must_use]
    pub fn silent_hosts(&self, answered: &[HostView]) -> Vec<HostView> {
        let view = self.inner.options.members.view();
        let silent = view.members.iter();
        let silent = silent.filter(|member| {
            let mut names = answered.iter().map(|host| &host.name);
            !names.any(|name| *name == member.host.name)
        });
        let views = silent.map(silent_host_view);
        views.collect()
    }
}

/// A job that the recovered owner of its shard does not know.
#[derive(Debug, Serialize, Deserialize)]
pub struct AbsentJob {
    pub absent: JobName,
}

/// Returns a view of each job whose shard this host owns and has recovered, or an [`AbsentJob`] if the shard does not
/// know it. Skips shards that are still recovering, since an accepted job would be reported as absent.
#[must_use]
pub fn find_local_jobs(
    shards: &[Shard],
    named_jobs: &[JobName],
    failure_domain: &SmolStr,
) -> Vec<String> {
    let count = u32::try_from(shards.len()).unwrap_or(u32::MAX);
    let mut found = Vec::new();
    for name in named_jobs {
        if job_in_domain(name.0, failure_domain) != name.0 {
            continue;
        }
        let shard = &shards[division::shard_of_job(name.0, count) as usize];
        if shard.role() != Role::Owner {
            continue;
        }
        found.push(match shard.job(name.0) {
            Some(job) => json(&job_view(&job, failure_domain)),
            None => json(&AbsentJob { absent: *name }),
        });
    }
    found
}

fn silent_host_view(member: &MemberView) -> HostView {
    let (state, reason) = match member.state {
        PeerState::Live => (MemberState::Suspected, "it did not answer the question"),
        PeerState::Leaving => (MemberState::Leaving, "it announced that it leaves"),
        PeerState::Gone => (MemberState::Gone, "another incarnation replaced it"),
        PeerState::Unheard => (MemberState::Suspected, "it was never heard"),
        PeerState::Suspected => (MemberState::Suspected, "no heartbeat arrives"),
    };
    let Load {
        free_slots, queued, ..
    } = member.load;
    HostView {
        name: member.host.name.clone(),
        failure_domain: member.failure_domain.clone(),
        address: SmolStr::default(),
        state,
        out_reason: Some(SmolStr::new_static(reason)),
        shards: Vec::new(),
        requests_running: 0,
        requests_queued: queued,
        slots_free: free_slots,
        heard_ms_ago: None,
    }
}

fn json(element: &impl serde::Serialize) -> String {
    serde_json::to_string(element).unwrap_or_default()
}

fn is_in_page(job: &view::JobView, page: &PageQuery) -> bool {
    let in_team = page.team.as_ref().is_none_or(|team| *team == job.spec.team);
    let after: Option<JobName> = page.after.as_ref().and_then(|after| after.parse().ok());
    in_team && after.is_none_or(|JobName(JobId(after))| job.spec.id.0 > after)
}

fn job_view(job: &view::JobView, failure_domain: &SmolStr) -> JobView {
    let count = |phase: TaskPhase| job.tasks.get(&phase).copied().unwrap_or_default();
    let ended = count(TaskPhase::Ended);
    let cancelled = job.state == JobState::Cancelled;
    let running = count(TaskPhase::Starting)
        + count(TaskPhase::Running)
        + count(TaskPhase::Evicting)
        + count(TaskPhase::Stopping);
    let spec = &job.spec;
    JobView {
        job: JobName(spec.id),
        team: spec.team.clone(),
        client: spec.client.clone(),
        kind: spec.kind.clone(),
        failure_domain: failure_domain.clone(),
        tasks: spec.tasks,
        pending: count(TaskPhase::Pending),
        running,
        succeeded: if cancelled { 0 } else { ended },
        failed: 0,
        cancelled: if cancelled { ended } else { 0 },
        parked: count(TaskPhase::Parked),
        parked_reason: job.parked.map(|reason| format_smolstr!("{reason:?}")),
        evictions: 0,
        finish_by_unix_ms: Some(spec.finish_by_unix_ms).filter(|finish_by| *finish_by > 0),
    }
}

fn server_view(server: &view::ServerView) -> ServerView {
    let (state, reason) = match server.state {
        ServerState::Claimed => (MemberState::Live, None),
        ServerState::Unclaimed => (MemberState::Claiming, Some("it has not answered the claim")),
        ServerState::Silent => (MemberState::Suspected, Some("no reports arrive")),
        ServerState::LeasesExpired => (MemberState::Gone, Some("its task leases have lapsed")),
        ServerState::Leaving => (MemberState::Leaving, Some("it is leaving")),
        ServerState::Quarantined => {
            let reason = "its last starts failed, of jobs that run elsewhere";
            (MemberState::Quarantined, Some(reason))
        }
    };
    ServerView {
        name: server.name.clone(),
        failure_domain: SmolStr::default(),
        rack: server.rack.clone(),
        shard: 0,
        owner: None,
        epoch: None,
        state,
        out_reason: reason.map(SmolStr::new_static),
        size: Amounts {
            millicores: server.size.millicores,
            memory_mib: server.size.memory_mib,
            accelerators: server.size.accelerators,
        },
        reserved: Amounts::default(),
        tasks: u32::try_from(server.attempts).unwrap_or(u32::MAX),
        slots_used: 0,
        heard_ms_ago: None,
    }
}
