//! The shards of this failure domain: drives the core's shards and performs what they ask for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrosestack_core::capacity::Resources;
use primrosestack_core::division;
use primrosestack_core::event::{
    Action, Event, JobSpec, NotRun, ServerCommand, ServerReply, StoreCall, StoreReply, Token,
    TokenReply,
};
use primrosestack_core::ids::{Epoch, HostId, JobId, OpId, RequestKey};
use primrosestack_core::ownership::Role;
use primrosestack_core::peer_frame::{
    Body, Promise, PromiseAsked, Release, ReleaseAsked, TermTold,
};
use primrosestack_core::placement::Objective;
use primrosestack_core::shard::{Shard, ShardConfig};
use primrosestack_core::time::MonoMs;
use primrosestack_core::view::ServerView;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use crate::backend::Backend;
use crate::clock::{Clock, unix_ms};
use crate::hostlist::{ListedServer, ListedState};
use crate::logs::Line;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::rooms::{Rooms, Use};
use crate::slots::{Slots, Target};
use crate::store::Store;

const TICK: Duration = Duration::from_millis(50);
/// The wall clock is read again this often, in ticks.
const WALL_CLOCK_TICKS: u64 = 200;
const COMMANDS: usize = 16_384;

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
type Reader = Box<dyn FnOnce(&[Shard]) + Send>;

enum Command {
    Event(u32, Event),
    Everywhere(Event),
    Call(u32, CallKind, oneshot::Sender<TokenReply>),
    Listed(Vec<ListedServer>),
    Teams(Policy),
    Answered {
        shard: u32,
        op: OpId,
        server: SmolStr,
        epoch: Epoch,
        reply: ServerReply,
    },
    Inspect(Reader),
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

enum CallKind {
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
    pub commands: bool,
}

/// The running service; a clone is the same.
#[derive(Clone)]
pub struct Shards {
    commands: mpsc::Sender<Command>,
    view: watch::Receiver<Arc<[ShardView]>>,
    count: u32,
}

impl Shards {
    /// Starts the service.
    #[must_use]
    pub fn spawn(options: ShardsOptions) -> Self {
        let (commands, queue) = mpsc::channel(COMMANDS);
        let count = options.shards as usize;
        let empty: Arc<[ShardView]> = vec![ShardView::default(); count].into();
        let (view_sender, view) = watch::channel(empty);
        let shards = Self {
            commands,
            view,
            count: options.shards,
        };
        let actor = Actor::open(options, shards.clone(), view_sender);
        tokio::spawn(actor.run(queue));
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
    pub async fn event(&self, shard: u32, event: Event) {
        // The service runs as long as the process.
        let _ = self.commands.send(Command::Event(shard, event)).await;
    }

    /// Hands an event to all shards.
    pub async fn everywhere(&self, event: Event) {
        let _ = self.commands.send(Command::Everywhere(event)).await;
    }

    /// Takes in the platform's list of this failure domain's backend servers.
    pub async fn listed(&self, servers: Vec<ListedServer>) {
        let _ = self.commands.send(Command::Listed(servers)).await;
    }

    /// Takes in what the documents in force say.
    pub async fn set_policy(&self, policy: Policy) {
        let _ = self.commands.send(Command::Teams(policy)).await;
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
    pub fn answer_key(&self, shard: u32, key: RequestKey, answer: Arc<[u8]>) {
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

struct Actor {
    options: ShardsOptions,
    own: Shards,
    shards: Vec<Shard>,
    addresses: BTreeMap<SmolStr, SocketAddr>,
    rooms: Rooms,
    tokens: BTreeMap<Token, oneshot::Sender<TokenReply>>,
    next_token: u64,
    ticks: u64,
    stopping: Option<oneshot::Sender<()>>,
    view: watch::Sender<Arc<[ShardView]>>,
}

impl Actor {
    fn open(options: ShardsOptions, own: Shards, view: watch::Sender<Arc<[ShardView]>>) -> Self {
        let now = options.clock.now();
        let mut shards = Vec::new();
        for number in 0..options.shards {
            let config = ShardConfig {
                failure_domain: options.failure_domain.clone(),
                number,
                hosts: options.hosts.clone(),
                objective: Objective {
                    latency_permille: 500,
                    throughput_permille: 300,
                    eviction_permille: 200,
                },
                seed: u64::from(number),
                clock_drift_ppm: options.clock_drift_ppm,
            };
            let mut shard = Shard::new(config, options.host.clone(), now);
            shard.set_store_rates(options.store_writes_per_s, options.store_reads_per_s);
            shards.push(shard);
        }
        Self {
            options,
            own,
            shards,
            addresses: BTreeMap::new(),
            rooms: Rooms::default(),
            tokens: BTreeMap::new(),
            next_token: 1,
            ticks: 0,
            stopping: None,
            view,
        }
    }

    async fn run(mut self, mut queue: mpsc::Receiver<Command>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                command = queue.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        if self.ticks.is_multiple_of(WALL_CLOCK_TICKS) {
            self.everywhere(&Event::WallClock { unix_ms: unix_ms() });
        }
        self.ticks += 1;
        self.everywhere(&Event::Tick);
        self.publish();
    }

    fn everywhere(&mut self, event: &Event) {
        for number in 0..self.options.shards {
            self.handle(number, event.clone());
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Event(shard, event) => self.handle(shard, event),
            Command::Everywhere(event) => self.everywhere(&event),
            Command::Call(shard, kind, sender) => self.call(shard, kind, sender),
            Command::Listed(servers) => self.listed(servers),
            Command::Teams(policy) => {
                for shard in &mut self.shards {
                    shard.set_objective(policy.objective);
                    for (team, weight) in &policy.quotas {
                        shard.set_quota(team, *weight);
                    }
                }
                self.rooms.set_policy(&policy);
            }
            Command::Answered {
                shard,
                op,
                server,
                epoch,
                reply,
            } => {
                if let ServerReply::Report(report) = &reply {
                    self.rooms.reported(&server, epoch, report);
                    // Room is withheld before the report, since the shard may start tasks on it.
                    self.withhold_at(shard, &server);
                }
                self.handle(shard, Event::Server { op, reply });
            }
            Command::Inspect(read) => read(&self.shards),
            Command::Stop(done) => {
                self.stopping = Some(done);
                self.everywhere(&Event::Shutdown);
                self.publish();
            }
        }
    }

    fn call(&mut self, shard: u32, kind: CallKind, sender: oneshot::Sender<TokenReply>) {
        let token = Token(self.next_token);
        self.next_token += 1;
        self.tokens.insert(token, sender);
        let event = match kind {
            CallKind::Submit(job) => Event::Submit { token, job },
            CallKind::Cancel(jobs) => Event::Cancel { token, jobs },
            CallKind::ClaimKey(key) => Event::ClaimKey { token, key },
        };
        self.handle(shard, event);
    }

    fn listed(&mut self, servers: Vec<ListedServer>) {
        for server in servers {
            if server.failure_domain != self.options.failure_domain {
                continue;
            }
            self.addresses.insert(server.name.clone(), server.address);
            let shard = self.own.shard_of_rack(&server.rack);
            self.rooms.listed(&server);
            let event = Event::Listed {
                server: server.name,
                rack: server.rack,
                size: server.resources,
                leaving: server.state == ListedState::Leaving,
            };
            self.handle(shard, event);
        }
    }

    fn handle(&mut self, number: u32, event: Event) {
        let now = self.options.clock.now();
        let Some(shard) = self.shards.get_mut(number as usize) else {
            return;
        };
        let mut actions = Vec::new();
        shard.handle(now, event, &mut actions);
        for action in actions {
            self.perform(number, action);
        }
    }

    fn perform(&mut self, shard: u32, action: Action) {
        match action {
            Action::Store { op, call } => self.call_store(shard, op, call),
            Action::Command {
                op,
                name,
                epoch,
                command,
                ..
            } => self.command_server(shard, op, &name, epoch, command),
            Action::Reply { token, reply } => {
                if let Some(sender) = self.tokens.remove(&token) {
                    // The caller may have gone away.
                    let _ = sender.send(reply);
                }
            }
            Action::Log(notice) => {
                self.options.metrics.record_notice(&notice);
                Line::from_notice(&notice).with("shard", shard).write();
            }
            Action::AskPromise { to, term, sent } => {
                let sent_ms = sent.0;
                let asked = PromiseAsked {
                    shard,
                    term,
                    sent_ms,
                };
                self.tell(&to, Body::PromiseAsked(asked));
            }
            Action::Promise {
                to,
                term,
                sent,
                forever,
            } => {
                let promise = Promise {
                    shard,
                    term,
                    sent_ms: sent.0,
                    forever,
                };
                self.tell(&to, Body::Promise(promise));
            }
            Action::TellTerm { to, term, owner } => {
                let told = TermTold {
                    shard,
                    term,
                    owner: owner.name.to_string(),
                    incarnation: owner.incarnation,
                };
                self.tell(&to, Body::TermTold(told));
            }
            Action::AskRelease { to, term } => {
                self.tell(&to, Body::ReleaseAsked(ReleaseAsked { shard, term }));
            }
            Action::Release { to, term } => {
                self.tell(&to, Body::Release(Release { shard, term }));
            }
        }
    }

    /// A message that cannot be sent is lost; the core repeats what it needs.
    fn tell(&self, to: &HostId, body: Body) {
        let _ = self.options.peers.send_to(to, body);
    }

    fn call_store(&self, shard: u32, op: OpId, call: StoreCall) {
        let store = self.options.store.clone();
        let own = self.own.clone();
        let metrics = self.options.metrics.clone();
        tokio::spawn(async move {
            let reply: StoreReply = store.call(call.clone()).await;
            metrics.record_store_call(&call, &reply);
            own.event(shard, Event::Store { op, reply }).await;
        });
    }

    fn command_server(
        &self,
        shard: u32,
        op: OpId,
        name: &SmolStr,
        epoch: Epoch,
        command: ServerCommand,
    ) {
        let commands = self.own.commands.clone();
        let address = self.addresses.get(name).copied();
        let server = name.clone();
        let backend = self.options.backend.clone();
        let metrics = self.options.metrics.clone();
        tokio::spawn(async move {
            let reply = match address {
                Some(address) => {
                    let reply = backend.command(address, epoch, command.clone()).await;
                    metrics.record_command(&command, &reply);
                    reply
                }
                // A server of a recovered journal that the platform does not list now.
                None => ServerReply::Lost,
            };
            let answered = Command::Answered {
                shard,
                op,
                server,
                epoch,
                reply,
            };
            // The service runs as long as the process.
            let _ = commands.send(answered).await;
        });
    }

    /// Fits batch and requests of each server into its size, and tells the other services who owns what.
    fn publish(&mut self) {
        let now = self.options.clock.now();
        for (shard, server) in self.commanded() {
            let current = self.use_of(shard, &server);
            if let Some(event) = self.rooms.follow(now, &server.name, current) {
                self.handle(shard, event);
            }
        }
        let targets = self.targets(now);
        self.options.slots.set_targets(&targets);
        for (shard, server) in self.commanded() {
            let current = self.use_of(shard, &server);
            if let Some(event) = self.rooms.give_back(&server.name, current) {
                self.handle(shard, event);
            }
        }
        self.publish_owners();
    }

    fn withhold_at(&mut self, shard: u32, name: &SmolStr) {
        let now = self.options.clock.now();
        let servers = self.commanded();
        let mut servers = servers.iter().filter(|(number, _)| *number == shard);
        let Some((_, server)) = servers.find(|(_, server)| server.name == *name) else {
            return;
        };
        let current = self.use_of(shard, server);
        if let Some(event) = self.rooms.follow(now, name, current) {
            self.handle(shard, event);
        }
    }

    /// The servers that this host may command, with the number of their shard.
    fn commanded(&self) -> Vec<(u32, ServerView)> {
        let mut servers = Vec::new();
        for (number, shard) in (0..).zip(&self.shards) {
            if shard.epoch().is_some() {
                servers.extend(shard.servers().map(|server| (number, server)));
            }
        }
        servers
    }

    fn use_of(&self, number: u32, server: &ServerView) -> Use {
        let shard = &self.shards[number as usize];
        let knows_tasks = shard.role() == Role::Owner;
        Use {
            reserved: knows_tasks.then(|| shard.reserved(server.key)),
            withheld: shard.withheld(server.key),
            running: self.options.slots.busy_at(&server.name),
            queued: self.options.slots.load().queued,
        }
    }

    fn targets(&self, now: MonoMs) -> Vec<Target> {
        let mut targets = Vec::new();
        for (number, server) in self.commanded() {
            let Some(address) = self.addresses.get(&server.name).copied() else {
                continue;
            };
            let shard = &self.shards[number as usize];
            let epoch = shard.may_send(server.key, now);
            let slots = self
                .rooms
                .open_slots(&server.name, self.use_of(number, &server));
            targets.push(Target {
                name: server.name,
                address,
                epoch: epoch.unwrap_or_default(),
                open: epoch.is_some(),
                slots,
            });
        }
        targets
    }

    fn publish_owners(&mut self) {
        let owned = self.shards.iter().filter(|shard| shard.is_owner()).count();
        let views = self.shards.iter().map(|shard| ShardView {
            owner: shard.owner().cloned(),
            owned: shard.is_owner(),
            commands: shard.epoch().is_some(),
        });
        self.view.send_replace(views.collect());
        self.options.metrics.set_shards(owned as u64);
        if self.shards.iter().all(Shard::is_stopped)
            && let Some(done) = self.stopping.take()
        {
            // The process may have given up waiting.
            let _ = done.send(());
        }
    }
}
