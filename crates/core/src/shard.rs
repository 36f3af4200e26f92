//! One shard: events in, actions out.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::{SmolStr, format_smolstr};

use crate::budget::StoreBudget;
use crate::cells::Cell;
use crate::event::LogEvent;
use crate::health::JobFailures;
use crate::ownership::{ObservedTerm, OwnerState, Peers, Role, StandbyState};
use crate::placement::{CellKey, Objective, Scheduler};
use crate::prelude::*;
use crate::recovery::Recovery;
use crate::servers::Fleet;
use crate::tasks::{DurableState, Retries};

/// Store writes a second that one shard may use unless set otherwise.
pub const DEFAULT_WRITES_PER_S: u32 = 20;

/// Store reads a second that one shard may use unless set otherwise.
pub const DEFAULT_READS_PER_S: u32 = 50;

/// Time after which a command without an answer counts as lost, in milliseconds. A later answer is ignored.
pub const COMMAND_TIMEOUT_MS: u64 = 3_000;

/// Time after which a store call without an answer counts as lost, in milliseconds. A later answer is ignored, so a
/// shorter time would turn a slow store into one that is down.
pub const STORE_TIMEOUT_MS: u64 = 10_000;

/// Time without an answer after which the store counts as down for rank 1, in milliseconds.
const STORE_SLOW_MS: u64 = 1_500;

/// What a shard is told at its start.
#[derive(Clone, Debug)]
pub struct ShardConfig {
    /// Failure domain.
    pub failure_domain: SmolStr,
    /// Number of the shard in its failure domain, from 0.
    pub number: u32,
    /// Names of the entry hosts of the failure domain, sorted.
    pub hosts: Vec<SmolStr>,
    /// Weights of the goals.
    pub objective: Objective,
    /// Breaks ties and spreads retries.
    pub seed: u64,
    /// Bound on the difference of clock rates, in parts per million.
    pub clock_drift_ppm: u64,
}

/// What an outstanding call is for.
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

/// The oldest call if it was sent `age_ms` ago or earlier.
fn oldest_call_older_than(
    ops: &BTreeMap<OpId, OutstandingCall>,
    now: MonoMs,
    age_ms: u64,
) -> Option<OpId> {
    let (op, oldest) = ops.first_key_value()?;
    (now.since(oldest.sent).0 >= age_ms).then_some(*op)
}

impl Call {
    /// The server that is called.
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

/// A call without an answer so far.
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
    /// `<failure domain>/<number>`, the subject of rendezvous hashing.
    pub(crate) name: SmolStr,
    pub(crate) now: MonoMs,
    pub(crate) opened: MonoMs,
    pub(crate) unix_offset_ms: Option<u64>,
    pub(crate) out: Vec<Action>,
    pub(crate) last_op: u64,
    /// Commands without an answer, in the order of sending.
    pub(crate) ops: BTreeMap<OpId, OutstandingCall>,
    /// Store calls without an answer, in the order of sending.
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
    pub(crate) rack_pools: BTreeMap<CellKey, Cell>,
    pub(crate) quotas: BTreeMap<SmolStr, u32>,
    pub(crate) retries: Retries,
    /// Tasks whose current attempt is being stopped because an earlier one succeeded.
    pub(crate) earlier_succeeded: BTreeSet<TaskId>,
    pub(crate) failures: BTreeMap<JobId, JobFailures>,
    pub(crate) accepting: BTreeMap<JobId, Vec<CallerToken>>,
    pub(crate) claiming: BTreeSet<RequestKey>,
    pub(crate) last_counter: u64,
    pub(crate) shutting_down: bool,
}

impl Shard {
    /// Opens the shard without knowledge of its owner.
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
            opened: now,
            unix_offset_ms: None,
            out: Vec::new(),
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
            accepting: BTreeMap::new(),
            claiming: BTreeSet::new(),
            last_counter: 0,
            shutting_down: false,
        }
    }

    /// Sets the share of the store's rates that this shard may use.
    pub fn set_store_rates(&mut self, writes_per_s: u32, reads_per_s: u32) {
        let seed = self.config.seed ^ self.host.incarnation;
        self.budget = StoreBudget::new(writes_per_s, reads_per_s, seed, self.now);
    }

    /// Sets the quota of a team, the weight of its share.
    pub fn set_quota(&mut self, team: &str, weight: u32) {
        self.quotas.insert(team.into(), weight);
        self.scheduler.set_quota(team, weight);
    }

    /// Takes one event and appends the actions that it asks for.
    pub fn handle(&mut self, now: MonoMs, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        std::mem::swap(&mut self.out, actions);
        self.dispatch(event);
        self.try_commit();
        std::mem::swap(&mut self.out, actions);
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
                self.promise_requested(&owner, term, sent)
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

    /// Treats calls that were sent too long ago as lost.
    fn expire_calls(&mut self) {
        while let Some(op) = oldest_call_older_than(&self.ops, self.now, COMMAND_TIMEOUT_MS) {
            self.server_reply(op, ServerReply::Lost);
        }
        while let Some(op) = oldest_call_older_than(&self.store_ops, self.now, STORE_TIMEOUT_MS) {
            self.store_reply(op, StoreReply::Lost);
        }
    }

    /// Whether the last call failed or one is without an answer for long.
    pub(crate) fn is_store_stuck(&self) -> bool {
        self.budget.is_down()
            || oldest_call_older_than(&self.store_ops, self.now, STORE_SLOW_MS).is_some()
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

    /// Key of the head.
    pub(crate) fn head_key(&self) -> SmolStr {
        format_smolstr!("shard/{}/head", self.name)
    }

    pub(crate) fn call_store(&mut self, call: Call, store: StoreCall) -> OpId {
        let op = self.register_call(call, Epoch::default());
        self.out.push(Action::Store { op, call: store });
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

    /// Sends a command under the current epoch; does nothing for a host that may command no server.
    pub(crate) fn command(&mut self, call: Call, server: ServerKey, command: ServerCommand) {
        let Some(epoch) = self.command_epoch() else {
            return;
        };
        let Some(name) = self.fleet.get(server).map(|server| server.name.clone()) else {
            return;
        };
        let op = self.register_call(call, epoch);
        self.out.push(Action::Command {
            op,
            server,
            name,
            epoch,
            command,
        });
    }

    pub(crate) fn reply(&mut self, token: CallerToken, reply: CallerReply) {
        self.out.push(Action::Reply { token, reply });
    }

    pub(crate) fn log(&mut self, event: &'static str, task: Option<TaskId>, subject: &SmolStr) {
        let term = self.owner_state.term;
        let subject = subject.clone();
        self.out.push(Action::Log(LogEvent {
            event,
            term,
            task,
            subject,
        }));
    }
}
