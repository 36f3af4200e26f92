//! Actor behind the shards service: feeds events to the core's shards and performs their actions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrosestack_core::event::{
    Action, CallerReply, CallerToken, Event, ServerCommand, ServerReply, StoreCall, StoreReply,
};
use primrosestack_core::ids::{Epoch, HostId, OpId};
use primrosestack_core::ownership::Role;
use primrosestack_core::peer_frame::{
    Body, Promise, PromiseRequest, Release, ReleaseRequest, TermAnnouncement,
};
use primrosestack_core::placement::Objective;
use primrosestack_core::shard::{Shard, ShardConfig};
use primrosestack_core::time::MonoMs;
use primrosestack_core::view::ServerView;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use crate::clock::unix_ms;
use crate::hostlist::{ListedServer, ListedState};
use crate::logs::Line;
use crate::rooms::{HeadroomTable, ServerUsage};
use crate::shards::{CallKind, Command, ShardView, Shards, ShardsOptions};
use crate::slots::Target;

const TICK: Duration = Duration::from_millis(50);
/// Ticks between readings of the wall clock.
const WALL_CLOCK_REFRESH_TICKS: u64 = 200;

pub(crate) fn spawn(
    options: ShardsOptions,
    service: Shards,
    queue: mpsc::Receiver<Command>,
    view: watch::Sender<Arc<[ShardView]>>,
) {
    let actor = Actor::open(options, service, view);
    tokio::spawn(actor.run(queue));
}

struct Actor {
    options: ShardsOptions,
    service: Shards,
    shards: Vec<Shard>,
    addresses: BTreeMap<SmolStr, SocketAddr>,
    headroom: HeadroomTable,
    pending_replies: BTreeMap<CallerToken, oneshot::Sender<CallerReply>>,
    next_token: u64,
    ticks: u64,
    stop_done: Option<oneshot::Sender<()>>,
    view: watch::Sender<Arc<[ShardView]>>,
}

impl Actor {
    fn open(
        options: ShardsOptions,
        service: Shards,
        view: watch::Sender<Arc<[ShardView]>>,
    ) -> Self {
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
            service,
            shards,
            addresses: BTreeMap::new(),
            headroom: HeadroomTable::default(),
            pending_replies: BTreeMap::new(),
            next_token: 1,
            ticks: 0,
            stop_done: None,
            view,
        }
    }

    async fn run(mut self, mut queue: mpsc::Receiver<Command>) {
        let mut ticker = interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticker.tick() => self.tick(),
                command = queue.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        if self.ticks.is_multiple_of(WALL_CLOCK_REFRESH_TICKS) {
            self.broadcast(&Event::WallClock { unix_ms: unix_ms() });
        }
        self.ticks += 1;
        self.broadcast(&Event::Tick);
        self.publish();
    }

    fn broadcast(&mut self, event: &Event) {
        for number in 0..self.options.shards {
            self.handle(number, event.clone());
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Event(shard, event) => self.handle(shard, event),
            Command::Broadcast(event) => self.broadcast(&event),
            Command::Call(shard, kind, sender) => self.handle_call(shard, kind, sender),
            Command::ListedServers(servers) => self.update_servers(servers),
            Command::SetPolicy(policy) => {
                for shard in &mut self.shards {
                    shard.set_objective(policy.objective);
                    for (team, weight) in &policy.team_weights {
                        shard.set_quota(team, *weight);
                    }
                }
                self.headroom.set_policy(&policy);
            }
            Command::ServerReplied {
                shard,
                op,
                server,
                epoch,
                reply,
            } => {
                if let ServerReply::Report(report) = &reply {
                    self.headroom.record_report(&server, epoch, report);
                    // Capacity is withheld first, since the shard may start tasks on it when it handles the report.
                    self.withhold_for_requests(shard, &server);
                }
                self.handle(shard, Event::Server { op, reply });
            }
            Command::Inspect(read) => read(&self.shards),
            Command::Stop(done) => {
                self.stop_done = Some(done);
                self.broadcast(&Event::Shutdown);
                self.publish();
            }
        }
    }

    fn handle_call(&mut self, shard: u32, kind: CallKind, sender: oneshot::Sender<CallerReply>) {
        let token = CallerToken(self.next_token);
        self.next_token += 1;
        self.pending_replies.insert(token, sender);
        let event = match kind {
            CallKind::Submit(job) => Event::Submit { token, job },
            CallKind::Cancel(jobs) => Event::Cancel { token, jobs },
            CallKind::ClaimKey(key) => Event::ClaimKey { token, key },
        };
        self.handle(shard, event);
    }

    fn update_servers(&mut self, servers: Vec<ListedServer>) {
        for server in servers {
            if server.failure_domain != self.options.failure_domain {
                continue;
            }
            self.addresses.insert(server.name.clone(), server.address);
            let shard = self.service.shard_of_rack(&server.rack);
            self.headroom.update_server(&server);
            let event = Event::ServerListed {
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
                if let Some(sender) = self.pending_replies.remove(&token) {
                    // The caller may have gone away.
                    let _ = sender.send(reply);
                }
            }
            Action::Log(log_event) => {
                self.options.metrics.record_log_event(&log_event);
                Line::from_event(&log_event).with("shard", shard).write();
            }
            Action::RequestPromise { to, term, sent } => {
                let sent_ms = sent.0;
                let request = PromiseRequest {
                    shard,
                    term,
                    sent_ms,
                };
                self.send_frame(&to, Body::PromiseRequest(request));
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
                self.send_frame(&to, Body::Promise(promise));
            }
            Action::AnnounceTerm { to, term, owner } => {
                let announcement = TermAnnouncement {
                    shard,
                    term,
                    owner: owner.name.to_string(),
                    incarnation: owner.incarnation,
                };
                self.send_frame(&to, Body::TermAnnouncement(announcement));
            }
            Action::RequestRelease { to, term } => {
                self.send_frame(&to, Body::ReleaseRequest(ReleaseRequest { shard, term }));
            }
            Action::Release { to, term } => {
                self.send_frame(&to, Body::Release(Release { shard, term }));
            }
        }
    }

    /// Ignores frames that cannot be sent; the core repeats what it needs.
    fn send_frame(&self, to: &HostId, body: Body) {
        let _ = self.options.peers.send_to(to, body);
    }

    fn call_store(&self, shard: u32, op: OpId, call: StoreCall) {
        let store = self.options.store.clone();
        let service = self.service.clone();
        let metrics = self.options.metrics.clone();
        tokio::spawn(async move {
            let reply: StoreReply = store.call(call.clone()).await;
            metrics.record_store_call(&call, &reply);
            service.send_event(shard, Event::Store { op, reply }).await;
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
        let commands = self.service.commands.clone();
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
                // A server from a recovered journal that the platform no longer lists.
                None => ServerReply::Lost,
            };
            let server_replied = Command::ServerReplied {
                shard,
                op,
                server,
                epoch,
                reply,
            };
            // The receiver lives as long as the process.
            let _ = commands.send(server_replied).await;
        });
    }

    /// Divides the capacity of each server between batch and requests, and publishes targets and ownership.
    fn publish(&mut self) {
        let now = self.options.clock.now();
        for (shard, server) in self.commandable_servers() {
            let usage = self.usage_of(shard, &server);
            if let Some(event) = self.headroom.update_demand(now, &server.name, usage) {
                self.handle(shard, event);
            }
        }
        let targets = self.targets(now);
        self.options.slots.set_targets(&targets);
        for (shard, server) in self.commandable_servers() {
            let usage = self.usage_of(shard, &server);
            if let Some(event) = self.headroom.release_excess(&server.name, usage) {
                self.handle(shard, event);
            }
        }
        self.publish_views();
    }

    fn withhold_for_requests(&mut self, shard: u32, name: &SmolStr) {
        let now = self.options.clock.now();
        let servers = self.commandable_servers();
        let mut servers = servers.iter().filter(|(number, _)| *number == shard);
        let Some((_, server)) = servers.find(|(_, server)| server.name == *name) else {
            return;
        };
        let usage = self.usage_of(shard, server);
        if let Some(event) = self.headroom.update_demand(now, name, usage) {
            self.handle(shard, event);
        }
    }

    /// Servers that this host may command, with the numbers of their shards.
    fn commandable_servers(&self) -> Vec<(u32, ServerView)> {
        let mut servers = Vec::new();
        for (number, shard) in (0..).zip(&self.shards) {
            if shard.epoch().is_some() {
                servers.extend(shard.servers().map(|server| (number, server)));
            }
        }
        servers
    }

    fn usage_of(&self, number: u32, server: &ServerView) -> ServerUsage {
        let shard = &self.shards[number as usize];
        let knows_tasks = shard.role() == Role::Owner;
        ServerUsage {
            reserved: knows_tasks.then(|| shard.reserved(server.key)),
            withheld: shard.withheld(server.key),
            running: self.options.slots.busy_at(&server.name),
            queued: self.options.slots.load().queued,
        }
    }

    fn targets(&self, now: MonoMs) -> Vec<Target> {
        let mut targets = Vec::new();
        for (number, server) in self.commandable_servers() {
            let Some(address) = self.addresses.get(&server.name).copied() else {
                continue;
            };
            let shard = &self.shards[number as usize];
            let epoch = shard.request_epoch(server.key, now);
            let slots = self
                .headroom
                .open_slots(&server.name, self.usage_of(number, &server));
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

    fn publish_views(&mut self) {
        let owned = self.shards.iter().filter(|shard| shard.is_owner()).count();
        let views = self.shards.iter().map(|shard| ShardView {
            owner: shard.owner().cloned(),
            owned: shard.is_owner(),
            may_command: shard.epoch().is_some(),
        });
        self.view.send_replace(views.collect());
        self.options.metrics.set_shards(owned as u64);
        if self.shards.iter().all(Shard::is_stopped)
            && let Some(done) = self.stop_done.take()
        {
            // The caller may have given up waiting.
            let _ = done.send(());
        }
    }
}
