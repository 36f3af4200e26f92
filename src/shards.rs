//! Shards service: access of the other services to the shards of this failure domain.

use std::sync::Arc;

use primrosestack_core::capacity::Resources;
use primrosestack_core::division;
use primrosestack_core::event::{CallerReply, Event, JobSpec, NotRun, ServerReply};
use primrosestack_core::ids::{Epoch, HostId, JobId, OpId, RequestKey};
use primrosestack_core::placement::Objective;
use primrosestack_core::shard::Shard;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot, watch};

use crate::backend::Backend;
use crate::clock::Clock;
use crate::driver;
use crate::hostlist::ListedServer;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::slots::Slots;
use crate::store::Store;

const COMMAND_QUEUE_CAPACITY: usize = 16_384;

pub struct ShardsOptions {
    pub host: HostId,
    pub failure_domain: SmolStr,
    /// Names of the entry hosts of the failure domain, sorted.
    pub hosts: Vec<SmolStr>,
    /// Number of shards of the failure domain.
    pub shards: u32,
    /// Bound on the difference of clock rates, in parts per million.
    pub clock_drift_ppm: u64,
    pub store_writes_per_s: u32,
    pub store_reads_per_s: u32,
    pub clock: Clock,
    pub store: Arc<dyn Store>,
    pub backend: Arc<dyn Backend>,
    pub peers: Peers,
    pub slots: Slots,
    pub metrics: Metrics,
}

/// Function that reads the shards between two events.
pub(crate) type ShardReader = Box<dyn FnOnce(&[Shard]) + Send>;

pub(crate) enum Command {
    Event(u32, Event),
    Broadcast(Event),
    Call(u32, CallKind, oneshot::Sender<CallerReply>),
    ListedServers(Vec<ListedServer>),
    SetPolicy(Policy),
    ServerReplied {
        shard: u32,
        op: OpId,
        server: SmolStr,
        epoch: Epoch,
        reply: ServerReply,
    },
    Inspect(ShardReader),
    Stop(oneshot::Sender<()>),
}

/// Scheduling policy of this failure domain, derived from the documents in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Fair-share weights of the teams for batch.
    pub team_weights: Vec<(SmolStr, u32)>,
    /// Weights of the objectives, averaged over all teams.
    pub objective: Objective,
    /// Resources of one request in execution, the largest of all services.
    pub slot_size: Resources,
}

pub(crate) enum CallKind {
    Submit(JobSpec),
    Cancel(Vec<JobId>),
    ClaimKey(RequestKey),
}

/// State of a shard as published to other services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardView {
    /// Owner, if known.
    pub owner: Option<HostId>,
    /// Whether this process owns the shard.
    pub owned: bool,
    /// Whether this process may command the shard's servers.
    pub may_command: bool,
}

/// Shards service; clones share the same state.
#[derive(Clone)]
pub struct Shards {
    pub(crate) commands: mpsc::Sender<Command>,
    view: watch::Receiver<Arc<[ShardView]>>,
    count: u32,
}

impl Shards {
    /// Starts the service.
    #[must_use]
    pub fn spawn(options: ShardsOptions) -> Self {
        let (commands, queue) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let count = options.shards as usize;
        let empty: Arc<[ShardView]> = vec![ShardView::default(); count].into();
        let (view_sender, view) = watch::channel(empty);
        let shards = Self {
            commands,
            view,
            count: options.shards,
        };
        driver::spawn(options, shards.clone(), queue, view_sender);
        shards
    }

    /// Returns the state of each shard, indexed by its number.
    #[must_use]
    pub fn view(&self) -> Arc<[ShardView]> {
        self.view.borrow().clone()
    }

    /// Whether this process owns a shard.
    #[must_use]
    pub fn owns(&self, shard: u32) -> bool {
        let view = self.view();
        view.get(shard as usize).is_some_and(|shard| shard.owned)
    }

    /// Returns the name of a shard's owner, if known.
    #[must_use]
    pub fn owner(&self, shard: u32) -> Option<SmolStr> {
        let view = self.view();
        let owner = view.get(shard as usize)?.owner.as_ref()?;
        Some(owner.name.clone())
    }

    /// Returns the shard of a rack of backend servers.
    #[must_use]
    pub fn shard_of_rack(&self, rack: &str) -> u32 {
        division::shard_of_rack(rack, self.count)
    }

    /// Returns the home shard of a job.
    #[must_use]
    pub fn shard_of_job(&self, job: JobId) -> u32 {
        division::shard_of_job(job, self.count)
    }

    /// Returns the home shard of an idempotency key.
    #[must_use]
    pub fn shard_of_key(&self, key: RequestKey) -> u32 {
        division::shard_of_key(key, self.count)
    }

    /// Sends an event to one shard.
    pub async fn send_event(&self, shard: u32, event: Event) {
        // The receiver lives as long as the process.
        let _ = self.commands.send(Command::Event(shard, event)).await;
    }

    /// Sends an event to all shards.
    pub async fn broadcast(&self, event: Event) {
        let _ = self.commands.send(Command::Broadcast(event)).await;
    }

    /// Sets the backend servers in the platform's host list.
    pub async fn set_listed_servers(&self, servers: Vec<ListedServer>) {
        let _ = self.commands.send(Command::ListedServers(servers)).await;
    }

    /// Sets the scheduling policy.
    pub async fn set_policy(&self, policy: Policy) {
        let _ = self.commands.send(Command::SetPolicy(policy)).await;
    }

    /// Submits a job to a shard that this process owns.
    pub async fn submit(&self, shard: u32, job: JobSpec) -> CallerReply {
        self.call(shard, CallKind::Submit(job)).await
    }

    /// Cancels jobs of a shard that this process owns.
    pub async fn cancel(&self, shard: u32, jobs: Vec<JobId>) -> CallerReply {
        self.call(shard, CallKind::Cancel(jobs)).await
    }

    /// Claims an idempotency key at a shard that this process owns.
    pub async fn claim_key(&self, shard: u32, key: RequestKey) -> CallerReply {
        self.call(shard, CallKind::ClaimKey(key)).await
    }

    /// Stores the answer of a claimed key. If the command queue is full, the answer is dropped, and a repeated request
    /// gets an unknown outcome.
    pub fn store_key_answer(&self, shard: u32, key: RequestKey, answer: Arc<[u8]>) {
        let event = Event::AnswerKey { key, answer };
        let _ = self.commands.try_send(Command::Event(shard, event));
    }

    async fn call(&self, shard: u32, kind: CallKind) -> CallerReply {
        let (sender, reply) = oneshot::channel();
        let command = Command::Call(shard, kind, sender);
        if self.commands.send(command).await.is_err() {
            return CallerReply::NotRun(NotRun::ShuttingDown);
        }
        reply.await.unwrap_or(CallerReply::Unknown)
    }

    /// Runs `read` on the shards between two events.
    pub async fn inspect<T: Send + 'static>(
        &self,
        read: impl FnOnce(&[Shard]) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        let read = Box::new(move |shards: &[Shard]| {
            // The caller may have gone away.
            let _ = sender.send(read(shards));
        });
        self.commands.send(Command::Inspect(read)).await.ok()?;
        answer.await.ok()
    }

    /// Hands over all shards, and returns when that is done.
    pub async fn stop(&self) {
        let (sender, done) = oneshot::channel();
        if self.commands.send(Command::Stop(sender)).await.is_ok() {
            let _ = done.await;
        }
    }
}
