//! The shards of this failure domain, as the other services reach them.

use std::sync::Arc;

use primrosestack_core::capacity::Resources;
use primrosestack_core::division;
use primrosestack_core::event::{Event, JobSpec, NotRun, ServerReply, TokenReply};
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

/// What the service needs.
pub struct ShardsOptions {
    /// This process.
    pub host: HostId,
    /// Failure domain.
    pub failure_domain: SmolStr,
    /// Names of the entry hosts of the failure domain, sorted.
    pub hosts: Vec<SmolStr>,
    /// Number of shards.
    pub shards: u32,
    /// Bound on the difference of clock rates, in parts per million.
    pub clock_drift_ppm: u64,
    /// Store writes a second.
    pub store_writes_per_s: u32,
    /// Store reads a second.
    pub store_reads_per_s: u32,
    /// Clock of the process.
    pub clock: Clock,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Backend servers.
    pub backend: Arc<dyn Backend>,
    /// Links to peers.
    pub peers: Peers,
    /// Slots of own servers.
    pub slots: Slots,
    /// Metrics.
    pub metrics: Metrics,
}

/// Reads the shards between two events.
pub(crate) type ShardReader = Box<dyn FnOnce(&[Shard]) + Send>;

pub(crate) enum Command {
    Event(u32, Event),
    Broadcast(Event),
    Call(u32, CallKind, oneshot::Sender<TokenReply>),
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

/// What the documents in force say about this failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Weight of each team.
    pub quotas: Vec<(SmolStr, u32)>,
    /// Weights of the goals, over all teams.
    pub objective: Objective,
    /// What one request in execution may use, the largest of all services.
    pub slot_size: Resources,
}

pub(crate) enum CallKind {
    Submit(JobSpec),
    Cancel(Vec<JobId>),
    ClaimKey(RequestKey),
}

/// What the other services see of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardView {
    /// Owner, if known.
    pub owner: Option<HostId>,
    /// Whether this process owns the shard.
    pub owned: bool,
    /// Whether this process may command the shard's servers.
    pub may_command: bool,
}

/// The running service; a clone is the same.
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

    /// What is known of each shard, by number.
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

    /// Name of the owner of a shard, if known.
    #[must_use]
    pub fn owner(&self, shard: u32) -> Option<SmolStr> {
        let view = self.view();
        let owner = view.get(shard as usize)?.owner.as_ref()?;
        Some(owner.name.clone())
    }

    /// Shard of a rack of backend servers.
    #[must_use]
    pub fn shard_of_rack(&self, rack: &str) -> u32 {
        division::shard_of_rack(rack, self.count)
    }

    /// Shard that keeps a job.
    #[must_use]
    pub fn shard_of_job(&self, job: JobId) -> u32 {
        division::shard_of_job(job, self.count)
    }

    /// Shard that keeps an idempotency key.
    #[must_use]
    pub fn shard_of_key(&self, key: RequestKey) -> u32 {
        division::shard_of_key(key, self.count)
    }

    /// Hands an event to one shard.
    pub async fn send_event(&self, shard: u32, event: Event) {
        // The service runs as long as the process.
        let _ = self.commands.send(Command::Event(shard, event)).await;
    }

    /// Hands an event to all shards.
    pub async fn broadcast(&self, event: Event) {
        let _ = self.commands.send(Command::Broadcast(event)).await;
    }

    /// Takes in the platform's list of this failure domain's backend servers.
    pub async fn set_listed_servers(&self, servers: Vec<ListedServer>) {
        let _ = self.commands.send(Command::ListedServers(servers)).await;
    }

    /// Takes in what the documents in force say.
    pub async fn set_policy(&self, policy: Policy) {
        let _ = self.commands.send(Command::SetPolicy(policy)).await;
    }

    /// Submits a job to a shard of this process.
    pub async fn submit(&self, shard: u32, job: JobSpec) -> TokenReply {
        self.call(shard, CallKind::Submit(job)).await
    }

    /// Cancels jobs of a shard of this process.
    pub async fn cancel(&self, shard: u32, jobs: Vec<JobId>) -> TokenReply {
        self.call(shard, CallKind::Cancel(jobs)).await
    }

    /// Claims an idempotency key at a shard of this process.
    pub async fn claim_key(&self, shard: u32, key: RequestKey) -> TokenReply {
        self.call(shard, CallKind::ClaimKey(key)).await
    }

    /// Keeps the answer of a claimed key; without room in the queue it is dropped, and a repeat is told that the
    /// outcome is unknown.
    pub fn store_key_answer(&self, shard: u32, key: RequestKey, answer: Arc<[u8]>) {
        let event = Event::AnswerKey { key, answer };
        let _ = self.commands.try_send(Command::Event(shard, event));
    }

    async fn call(&self, shard: u32, kind: CallKind) -> TokenReply {
        let (sender, reply) = oneshot::channel();
        let command = Command::Call(shard, kind, sender);
        if self.commands.send(command).await.is_err() {
            return TokenReply::NotRun(NotRun::ShuttingDown);
        }
        reply.await.unwrap_or(TokenReply::Unknown)
    }

    /// Reads the shards' state between two events.
    pub async fn inspect<T: Send + 'static>(
        &self,
        read: impl FnOnce(&[Shard]) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        let read = Box::new(move |shards: &[Shard]| {
            // The reader may have gone away.
            let _ = sender.send(read(shards));
        });
        self.commands.send(Command::Inspect(read)).await.ok()?;
        answer.await.ok()
    }

    /// Hands all shards over; returns when that is done.
    pub async fn stop(&self) {
        let (sender, done) = oneshot::channel();
        if self.commands.send(Command::Stop(sender)).await.is_ok() {
            let _ = done.await;
        }
    }
}
