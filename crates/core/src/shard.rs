//! State machine of one shard: it consumes events and emits actions.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::{SmolStr, format_smolstr};

use crate::budget::StoreBudget;
use crate::crashes::{RecentStarts, WaitingSuspects};
use crate::event::LogEvent;
use crate::health::JobFailures;
use crate::ownership::{ObservedTerm, OwnerState, Peers, Role, StandbyState};
use crate::placement::{Objective, RackPoolKey, Scheduler};
use crate::prelude::*;
use crate::rack_pools::RackPool;
use crate::recovery::Recovery;
use crate::servers::Fleet;
use crate::tasks::{DurableState, Retries};

/// Default limit on store writes per second of one shard.
pub const DEFAULT_WRITES_PER_S: u32 = 20;

/// Default limit on store reads per second of one shard.
pub const DEFAULT_READS_PER_S: u32 = 50;

/// Time-out of a command to a backend server, in milliseconds. A later response is ignored.
pub const COMMAND_TIMEOUT_MS: u64 = 3_000;

/// Time-out of a store call, in milliseconds. A later response is ignored, so a shorter time-out would make a slow
/// store count as unavailable.
pub const STORE_TIMEOUT_MS: u64 = 10_000;

/// Age of an unanswered store call at which the successor may act at rank 1, in milliseconds.
const STORE_UNRESPONSIVE_MS: u64 = 1_500;

/// Configuration of a shard.
#[derive(Clone, Debug)]
pub struct ShardConfig {
    pub failure_domain: SmolStr,
    /// Number of the shard in its failure domain, from 0.
    pub number: u32,
    /// Names of the entry hosts of the failure domain, sorted.
    pub hosts: Vec<SmolStr>,
    /// Weights of the scheduling goals.
    pub objective: Objective,
    /// Seed for breaking ties and for the jitter of retries.
    pub seed: u64,
    /// Maximum difference between clock rates, in parts per million.
    pub clock_drift_ppm: u64,
}

/// Purpose of an outstanding call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    ReadHead,
    Takeover,
    Commit,
    WriteChunk,
    ReadChunk,
    DeleteChunk,
    Report(ServerKey),
    Start(ServerKey, TaskId, Attempt),
    Checkpoint(ServerKey, TaskId, Attempt),
    Stop(ServerKey),
    Throttle(ServerKey),
}

/// Returns the oldest call if it was sent at least `age_ms` ago.
fn oldest_call_if_older(
    ops: &BTreeMap<OpId, OutstandingCall>,
    now: MonoMs,
    age_ms: u64,
) -> Option<OpId> {
    let (op, oldest) = ops.first_key_value()?;
    (now.since(oldest.sent).0 >= age_ms).then_some(*op)
}

impl Call {
    pub(crate) fn server(self) -> Option<ServerKey> {
        match self {
            Self::Report(key)
            | Self::Start(key, ..)
            | Self::Checkpoint(key, ..)
            | Self::Stop(key)
            | Self::Throttle(key) => Some(key),
            _ => None,
        }
    }
}

/// A call whose response has not arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutstandingCall {
    pub call: Call,
    pub sent: MonoMs,
    pub epoch: Epoch,
}

/// The state of one shard at one entry host of its failure domain, whether or not that host owns it.
pub struct Shard {
    pub(crate) config: ShardConfig,
    pub(crate) host: HostId,
    /// `<failure domain>/<number>`; also the subject of rendezvous hashing.
    pub(crate) name: SmolStr,
    pub(crate) now: MonoMs,
    pub(crate) started_at: MonoMs,
    /// Unix time minus monotonic time, once known.
    pub(crate) unix_offset_ms: Option<u64>,
    pub(crate) actions: Vec<Action>,
    pub(crate) last_op: u64,
    /// Outstanding commands to servers, in the order of sending.
    pub(crate) ops: BTreeMap<OpId, OutstandingCall>,
    /// Outstanding store calls, in the order of sending.
    pub(crate) store_ops: BTreeMap<OpId, OutstandingCall>,
    pub(crate) budget: StoreBudget,
    pub(crate) peers: Peers,
    pub(crate) role: Role,
    pub(crate) standby: StandbyState,
    pub(crate) observed_term: Option<ObservedTerm>,
    pub(crate) owner_state: OwnerState,
    pub(crate) recovery: Recovery,
    pub(crate) durable: DurableState,
    pub(crate) fleet: Fleet,
    pub(crate) scheduler: Scheduler,
    pub(crate) rack_pools: BTreeMap<RackPoolKey, RackPool>,
    pub(crate) quotas: BTreeMap<SmolStr, u32>,
    pub(crate) retries: Retries,
    /// Tasks whose current attempt is being stopped because an earlier attempt succeeded.
    pub(crate) earlier_succeeded: BTreeSet<TaskId>,
    pub(crate) failures: BTreeMap<JobId, JobFailures>,
    pub(crate) suspects: WaitingSuspects,
    pub(crate) recent_starts: RecentStarts,
    /// Jobs whose acceptance is not committed yet, and the callers of repeated submissions.
    pub(crate) accepting: BTreeMap<JobId, Vec<CallerToken>>,
    /// Idempotency keys whose claim is not committed yet.
    pub(crate) claiming: BTreeSet<RequestKey>,
    /// Counter of the last attempt that this host has started as the owner.
    pub(crate) last_counter: u64,
    pub(crate) shutting_down: bool,
}

impl Shard {
    /// Creates the shard as an observer that does not know the owner.
    #[must_use]
    pub fn new(config: ShardConfig, host: HostId, now: MonoMs) -> Self {
        let name = format_smolstr!("{}/{}", config.failure_domain, config.number);
        let seed = config.seed ^ host.incarnation;
        Self {
            budget: StoreBudget::new(DEFAULT_WRITES_PER_S, DEFAULT_READS_PER_S, seed, now),
            scheduler: Scheduler::open(config.objective, config.seed),
            config,
            host,
            name,
            now,
            started_at: now,
            unix_offset_ms: None,
            actions: Vec::new(),
            last_op: 0,
            ops: BTreeMap::new(),
            store_ops: BTreeMap::new(),
            peers: Peers::default(),
            role: Role::Observer,
            standby: StandbyState::default(),
            observed_term: None,
            owner_state: OwnerState::default(),
            recovery: Recovery::default(),
            durable: DurableState::default(),
            fleet: Fleet::default(),
            rack_pools: BTreeMap::new(),
            quotas: BTreeMap::new(),
            retries: Retries::new(),
            earlier_succeeded: BTreeSet::new(),
            failures: BTreeMap::new(),
            suspects: WaitingSuspects::new(),
            recent_starts: RecentStarts::new(),
            accepting: BTreeMap::new(),
            claiming: BTreeSet::new(),
            last_counter: 0,
            shutting_down: false,
        }
    }

    /// Sets the limits on store calls of this shard.
    pub fn set_store_rates(&mut self, writes_per_s: u32, reads_per_s: u32) {
        let seed = self.config.seed ^ self.host.incarnation;
        self.budget = StoreBudget::new(writes_per_s, reads_per_s, seed, self.now);
    }

    /// Sets the weight of a team in fair sharing.
    pub fn set_quota(&mut self, team: &str, weight: u32) {
        self.quotas.insert(team.into(), weight);
        self.scheduler.set_quota(team, weight);
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: MonoMs, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        std::mem::swap(&mut self.actions, actions);
        self.dispatch(event);
        self.try_commit();
        std::mem::swap(&mut self.actions, actions);
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Submit { token, job } => self.submit(token, &job),
            Event::Cancel { token, jobs } => self.cancel(token, &jobs),
            Event::ClaimKey { token, key } => self.claim_key(token, key),
            Event::AnswerKey { key, answer } => self.answer_key(key, &answer),
            Event::Store { op, reply } => self.store_reply(op, reply),
            Event::Server { op, reply } => self.server_reply(op, reply),
            Event::PromiseRequested { owner, term, sent } => {
                self.promise_requested(&owner, term, sent);
            }
            Event::Promised {
                from,
                term,
                sent,
                forever,
            } => self.promise_received(&from, term, sent, forever),
            Event::TermAnnounced { owner, term } => self.term_announced(&owner, term),
            Event::ReleaseRequested { owner, term } => self.release_requested(&owner, term),
            Event::Released { from, term } => self.release_received(&from, term),
            Event::WallClock { unix_ms } => {
                self.unix_offset_ms = unix_ms.checked_sub(self.now.0);
            }
            Event::Suspicion { host, suspected } => self.suspicion_changed(&host, suspected),
            Event::ServerListed {
                server,
                rack,
                size,
                leaving,
            } => self.server_listed(&server, &rack, size, leaving),
            Event::ServerDeclaredGone { server } => self.server_declared_gone(&server),
            Event::ReclaimRequested { server, need } => self.reclaim_requested(&server, need),
            Event::Withhold { server, amount } => self.withhold(&server, amount),
            Event::Shutdown => self.shut_down(),
        }
    }

    fn tick(&mut self) {
        self.expire_calls();
        self.tick_ownership();
        self.tick_servers();
        if self.role == Role::Owner {
            self.tick_tasks();
        }
    }

    /// Treats calls that have timed out as lost.
    fn expire_calls(&mut self) {
        while let Some(op) = oldest_call_if_older(&self.ops, self.now, COMMAND_TIMEOUT_MS) {
            self.server_reply(op, ServerReply::Lost);
        }
        while let Some(op) = oldest_call_if_older(&self.store_ops, self.now, STORE_TIMEOUT_MS) {
            self.store_reply(op, StoreReply::Lost);
        }
    }

    /// Whether the last store call failed or one has been unanswered for `STORE_UNRESPONSIVE_MS`.
    pub(crate) fn is_store_unresponsive(&self) -> bool {
        self.budget.is_down()
            || oldest_call_if_older(&self.store_ops, self.now, STORE_UNRESPONSIVE_MS).is_some()
    }

    fn store_reply(&mut self, op: OpId, reply: StoreReply) {
        let Some(outstanding) = self.store_ops.remove(&op) else {
            return;
        };
        let answered = !matches!(reply, StoreReply::Unavailable | StoreReply::Lost);
        self.budget.record_outcome(self.now, answered);
        let sent = outstanding.sent;
        match outstanding.call {
            Call::ReadHead => self.head_read(sent, &reply),
            Call::Takeover => self.takeover_answered(sent, &reply),
            Call::Commit => self.commit_answered(sent, &reply),
            Call::WriteChunk => self.chunk_written(&reply),
            Call::ReadChunk => self.chunk_read(reply),
            Call::DeleteChunk => self.chunk_deleted(answered),
            _ => {}
        }
    }

    fn server_reply(&mut self, op: OpId, reply: ServerReply) {
        let Some(outstanding) = self.ops.remove(&op) else {
            return;
        };
        if let ServerReply::Fenced { highest } = reply {
            self.command_fenced(&outstanding, highest);
            return;
        }
        match outstanding.call {
            Call::Report(server) => match reply {
                ServerReply::Report(report) => {
                    self.report(server, op, outstanding.epoch, report);
                }
                _ => self.report_failed(server, op),
            },
            Call::Start(server, task, attempt) => {
                self.start_answered(server, task, attempt, &reply);
            }
            Call::Checkpoint(_, task, attempt) => self.checkpoint_answered(task, attempt, reply),
            Call::Stop(server) => self.request_report(server),
            _ => {}
        }
    }

    /// Returns the store key of the head.
    pub(crate) fn head_key(&self) -> SmolStr {
        format_smolstr!("shard/{}/head", self.name)
    }

    pub(crate) fn call_store(&mut self, call: Call, store: StoreCall) -> OpId {
        let op = self.register_call(call, Epoch::default());
        self.actions.push(Action::Store { op, call: store });
        op
    }

    pub(crate) fn register_call(&mut self, call: Call, epoch: Epoch) -> OpId {
        self.last_op += 1;
        let op = OpId(self.last_op);
        let sent = self.now;
        let ops = match call.server() {
            Some(_) => &mut self.ops,
            None => &mut self.store_ops,
        };
        ops.insert(op, OutstandingCall { call, sent, epoch });
        op
    }

    /// Sends a command under the current epoch. Does nothing if this host may not command servers.
    pub(crate) fn command(&mut self, call: Call, server: ServerKey, command: ServerCommand) {
        let Some(epoch) = self.command_epoch() else {
            return;
        };
        let Some(name) = self.fleet.get(server).map(|server| server.name.clone()) else {
            return;
        };
        let op = self.register_call(call, epoch);
        self.actions.push(Action::Command {
            op,
            server,
            name,
            epoch,
            command,
        });
    }

    pub(crate) fn reply(&mut self, token: CallerToken, reply: CallerReply) {
        self.actions.push(Action::Reply { token, reply });
    }

    pub(crate) fn log(&mut self, event: &'static str, task: Option<TaskId>, subject: &SmolStr) {
        let term = self.owner_state.term;
        let subject = subject.clone();
        self.actions.push(Action::Log(LogEvent {
            event,
            term,
            task,
            subject,
        }));
    }
}
