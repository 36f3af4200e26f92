//! Simulated store, backend servers and entry hosts on a shared clock, for tests of the shard.
#![allow(dead_code)]

mod backend;
mod links;
mod store;

use std::collections::{BTreeMap, BTreeSet};

use primrosestack_core::event::LogEvent;
use primrosestack_core::placement::Objective;
use primrosestack_core::prelude::*;
use primrosestack_core::shard::{Shard, ShardConfig};
use smol_str::{SmolStr, ToSmolStr};

pub use backend::Backend;
pub use store::Store;

pub fn host(name: &str, incarnation: u64) -> HostId {
    HostId {
        name: name.into(),
        incarnation,
    }
}

pub fn config(hosts: &[&str]) -> ShardConfig {
    ShardConfig {
        failure_domain: "fd".into(),
        number: 0,
        hosts: hosts.iter().map(ToSmolStr::to_smolstr).collect(),
        objective: Objective {
            latency_permille: 400,
            throughput_permille: 400,
            eviction_permille: 200,
        },
        seed: 7,
        clock_drift_ppm: 10_000,
    }
}

pub fn size(millicores: u32) -> Resources {
    Resources {
        millicores,
        memory_mib: millicores,
        accelerators: 0,
    }
}

pub fn job(id: u64, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId(id),
        team: "team".into(),
        client: "client".into(),
        kind: "kind".into(),
        tasks,
        size: size(1_000),
        run_ms: 60_000,
        finish_by_unix_ms: 0,
    }
}

pub fn accepted(id: u64, new: bool) -> CallerReply {
    let job = JobId(id);
    CallerReply::Accepted { job, new }
}

pub fn reclaim_request(server: &SmolStr) -> Event {
    let (server, need) = (server.clone(), size(8_000));
    Event::ReclaimRequested { server, need }
}

pub fn task(job: u64, index: u32) -> TaskId {
    TaskId {
        job: JobId(job),
        index,
    }
}

/// Returns the message that an action sends to another entry host.
pub fn peer_message(me: &HostId, action: Action) -> Option<(HostId, Event)> {
    let (owner, from) = (me.clone(), me.clone());
    Some(match action {
        Action::RequestPromise { to, term, sent } => {
            (to, Event::PromiseRequested { owner, term, sent })
        }
        Action::Promise {
            to,
            term,
            sent,
            forever,
        } => (
            to,
            Event::Promised {
                from,
                term,
                sent,
                forever,
            },
        ),
        Action::AnnounceTerm { to, term, owner } => (to, Event::TermAnnounced { owner, term }),
        Action::RequestRelease { to, term } => (to, Event::ReleaseRequested { owner, term }),
        Action::Release { to, term } => (to, Event::Released { from, term }),
        _ => return None,
    })
}

/// How the store responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    Unavailable,
    /// Writes are applied, but their responses are lost.
    LosesResponses,
    /// Writes are lost before they reach the store.
    LosesCalls,
}

/// A message in transit. A call contains its sender.
#[derive(Clone, Debug)]
pub enum Message {
    Store(HostId, OpId, StoreCall),
    Server(HostId, OpId, SmolStr, Epoch, ServerCommand),
    Peer(HostId, HostId, Event),
    Response(SmolStr, Event),
}

#[derive(Clone)]
pub struct Cluster {
    pub now: u64,
    pub store: Store,
    pub mode: StoreMode,
    pub hosts: BTreeMap<SmolStr, (HostId, Shard)>,
    pub servers: BTreeMap<SmolStr, Backend>,
    /// Partitioned pairs: a host, and a host, a server or `store`.
    pub cut_links: BTreeSet<(SmolStr, SmolStr)>,
    /// Whether calls over a cut link get no response, rather than an error.
    pub drops_calls: bool,
    pub replies: Vec<(CallerToken, CallerReply)>,
    pub log_events: Vec<LogEvent>,
    pub messages: Vec<Message>,
}

impl Cluster {
    /// Creates live entry hosts and `servers` servers in racks of `servers_per_rack`.
    pub fn new(hosts: &[&str], servers: usize, servers_per_rack: usize) -> Self {
        let mut cluster = Self {
            now: 1_000,
            store: Store::default(),
            mode: StoreMode::Up,
            hosts: BTreeMap::new(),
            servers: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            drops_calls: false,
            replies: Vec::new(),
            log_events: Vec::new(),
            messages: Vec::new(),
        };
        for (name, incarnation) in hosts.iter().zip(1..) {
            cluster.start_host(name, incarnation, hosts);
        }
        for at in 0..servers {
            cluster.servers.insert(server_name(at), Backend::default());
            cluster.list_server(at, servers_per_rack, 8_000, false);
        }
        cluster
    }

    fn peers(&self, name: &str) -> Vec<(SmolStr, HostId)> {
        let peers = self.hosts.iter().filter(|(peer, _)| *peer != name);
        peers
            .map(|(peer, (id, _))| (peer.clone(), id.clone()))
            .collect()
    }

    pub fn list_server(
        &mut self,
        index: usize,
        servers_per_rack: usize,
        millicores: u32,
        leaving: bool,
    ) {
        let names: Vec<SmolStr> = self.hosts.keys().cloned().collect();
        for name in names {
            let event = Event::ServerListed {
                server: server_name(index),
                rack: format!("r{}", index / servers_per_rack).into(),
                size: size(millicores),
                leaving,
            };
            self.send(&name, event);
        }
    }

    pub fn shard(&self, name: &str) -> &Shard {
        &self.hosts[name].1
    }

    /// Returns the host that owns the shard and has recovered.
    pub fn owner(&self) -> Option<SmolStr> {
        let mut hosts = self.hosts.iter();
        let found =
            hosts.find(|(_, (_, shard))| shard.epoch().is_some_and(|epoch| epoch.rank == 0));
        found.map(|(name, _)| name.clone())
    }

    pub fn owner_shard(&self) -> &Shard {
        let owner = self.owner().expect("a host owns the shard");
        self.shard(&owner)
    }

    /// Delivers an event and all messages that result from it, without advancing the clock.
    pub fn send(&mut self, name: &str, event: Event) {
        self.handle(name, event);
        while !self.messages.is_empty() {
            if let Some((to, event)) = self.deliver(0) {
                self.handle(&to, event);
            }
        }
        self.check_no_duplicates();
    }

    /// Passes an event to a host and queues the messages of the resulting actions.
    pub fn handle(&mut self, name: &str, event: Event) {
        let Some((id, shard)) = self.hosts.get_mut(name) else {
            return;
        };
        let id = id.clone();
        let mut actions = Vec::new();
        shard.handle(MonoMs(self.now), event, &mut actions);
        for action in actions {
            let message = match action {
                Action::Store { op, call } => Message::Store(id.clone(), op, call),
                Action::Command {
                    op,
                    name,
                    epoch,
                    command,
                    ..
                } => Message::Server(id.clone(), op, name, epoch, command),
                Action::Reply { token, reply } => {
                    self.replies.push((token, reply));
                    continue;
                }
                Action::Log(log_event) => {
                    self.log_events.push(log_event);
                    continue;
                }
                other => match peer_message(&id, other) {
                    Some((to, event)) => Message::Peer(id.clone(), to, event),
                    None => continue,
                },
            };
            self.messages.push(message);
        }
    }

    /// Delivers a message. Returns the resulting event and the host that receives it.
    pub fn deliver(&mut self, at: usize) -> Option<(SmolStr, Event)> {
        match self.messages.remove(at) {
            Message::Store(from, op, call) => {
                let is_cut = self.is_cut(&from.name, "store");
                if is_cut && self.drops_calls {
                    return None;
                }
                let reply = self.store_reply(&call, is_cut);
                Some((from.name, Event::Store { op, reply }))
            }
            Message::Server(from, op, server, epoch, command) => {
                let is_cut = self.is_cut(&from.name, &server);
                if is_cut && self.drops_calls {
                    return None;
                }
                let reply = match self.servers.get_mut(&server) {
                    Some(backend) if !is_cut => backend.command(self.now, &from, epoch, &command),
                    _ => ServerReply::Lost,
                };
                Some((from.name, Event::Server { op, reply }))
            }
            Message::Peer(from, to, event) => {
                let is_running = self.hosts.get(&to.name).is_some_and(|(id, _)| *id == to);
                let arrives = is_running && !self.is_cut(&from.name, &to.name);
                arrives.then_some((to.name, event))
            }
            Message::Response(to, event) => Some((to, event)),
        }
    }

    fn store_reply(&mut self, call: &StoreCall, is_cut: bool) -> StoreReply {
        if is_cut || self.mode == StoreMode::Unavailable {
            return StoreReply::Unavailable;
        }
        let is_read = matches!(call, StoreCall::Read { .. });
        match self.mode {
            StoreMode::LosesCalls if !is_read => StoreReply::Lost,
            StoreMode::LosesResponses if !is_read => {
                self.store.call(call);
                StoreReply::Lost
            }
            _ => self.store.call(call),
        }
    }

    /// Advances the clock without a tick.
    pub fn advance_clock(&mut self, ms: u64) {
        self.now += ms;
        for backend in self.servers.values_mut() {
            backend.expire_leases(self.now);
        }
    }

    /// Advances the clock in steps of 100 ms, with a tick at every host.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.advance_clock(100);
            let names: Vec<SmolStr> = self.hosts.keys().cloned().collect();
            for name in names {
                self.send(&name, Event::Tick);
            }
        }
    }

    /// Advances the clock until `done` holds and returns the time taken; fails after `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, what: &str, done: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(
                self.now < start + limit_ms,
                "not reached within {limit_ms} ms: {what}"
            );
            self.run(100);
        }
        self.now - start
    }

    /// Crashes a host; the others suspect it after `PROMISE_MS`.
    pub fn kill(&mut self, name: &str) -> HostId {
        let (id, _) = self.hosts.remove(name).expect("the host is alive");
        self.run(1_500);
        self.suspect(&id);
        id
    }

    /// Makes all other hosts suspect a host.
    pub fn suspect(&mut self, id: &HostId) {
        for (peer, _) in self.peers(&id.name) {
            self.suspect_at(&peer, id);
        }
    }

    pub fn suspect_at(&mut self, name: &str, id: &HostId) {
        let (host, suspected) = (id.clone(), true);
        self.send(name, Event::Suspicion { host, suspected });
    }

    pub fn start_host(&mut self, name: &str, incarnation: u64, hosts: &[&str]) {
        let id = host(name, incarnation);
        let shard = Shard::new(config(hosts), id.clone(), MonoMs(self.now));
        self.hosts.insert(id.name.clone(), (id.clone(), shard));
        let suspected = false;
        for (peer, host) in self.peers(name) {
            self.send(name, Event::Suspicion { host, suspected });
            let host = id.clone();
            self.send(&peer, Event::Suspicion { host, suspected });
        }
    }

    pub fn submit(&mut self, spec: JobSpec) -> CallerReply {
        let owner = self.owner().expect("a host owns the shard");
        let token = CallerToken(self.replies.len() as u64 + 1_000);
        self.send(&owner, Event::Submit { token, job: spec });
        self.run_until(2_000, "a reply", |cluster| cluster.reply(token).is_some());
        self.reply(token).expect("a reply arrived")
    }

    /// Submits jobs `1..=count` of one task each at the same time, and returns the owner.
    pub fn submit_many(&mut self, count: u64) -> SmolStr {
        let owner = self.owner().expect("a host owns the shard");
        for id in 1..=count {
            let (token, job) = (CallerToken(id), job(id, 1));
            self.send(&owner, Event::Submit { token, job });
        }
        owner
    }

    /// Requests the memory of a whole server for latency-critical requests. Throttling cannot reclaim memory.
    pub fn request_reclaim(&mut self, server: &SmolStr) {
        let owner = self.owner().expect("a host owns the shard");
        self.send(&owner, reclaim_request(server));
    }

    pub fn reply(&self, token: CallerToken) -> Option<CallerReply> {
        let found = self.replies.iter().find(|(waiting, _)| *waiting == token);
        found.map(|(_, reply)| reply.clone())
    }

    /// Returns the number of running attempts of a task.
    pub fn running(&self, id: TaskId) -> usize {
        let running = self.servers.values().flat_map(Backend::running);
        running.filter(|task| *task == id).count()
    }

    pub fn running_total(&self) -> usize {
        self.servers
            .values()
            .map(|backend| backend.running().count())
            .sum()
    }

    /// Ends all running attempts of a task.
    pub fn end_attempts(&mut self, id: TaskId, state: &TaskState) {
        let attempts = self
            .servers
            .values_mut()
            .flat_map(|backend| backend.attempts.values_mut());
        for attempt in attempts {
            if attempt.task == id && attempt.state == TaskState::Running {
                attempt.state = state.clone();
            }
        }
    }

    /// Returns the name of the server that runs a task.
    pub fn server_of(&self, id: TaskId) -> Option<SmolStr> {
        let mut servers = self.servers.iter();
        let found = servers.find(|(_, backend)| backend.running().any(|task| task == id));
        found.map(|(name, _)| name.clone())
    }

    /// Fails if a task runs twice.
    pub fn check_no_duplicates(&self) {
        let mut seen = BTreeSet::new();
        for (name, backend) in &self.servers {
            for task in backend.running() {
                assert!(seen.insert(task), "{task:?} runs twice, also at {name}");
            }
        }
    }

    pub fn count_log_events(&self, event: &str) -> usize {
        self.log_events
            .iter()
            .filter(|log_event| log_event.event == event)
            .count()
    }
}

pub fn server_name(at: usize) -> SmolStr {
    format!("w{at}").into()
}

pub const HOSTS: [&str; 3] = ["a", "b", "c"];

/// Starts three entry hosts and waits until an owner has claimed all servers.
pub fn start_cluster(servers: usize, servers_per_rack: usize) -> Cluster {
    let mut cluster = Cluster::new(&HOSTS, servers, servers_per_rack);
    cluster.run_until(
        5_000,
        "an owner that has claimed all servers",
        Cluster::is_claimed,
    );
    cluster.run(3_000);
    cluster
}

impl Cluster {
    /// Whether an owner has claimed all servers that it can reach.
    pub fn is_claimed(&self) -> bool {
        let Some(owner) = self.owner() else {
            return false;
        };
        let shard = self.shard(&owner);
        let mut servers = self.servers.keys();
        servers.all(|name| {
            let key = shard.server_key(name);
            self.is_cut(&owner, name)
                || key.is_some_and(|key| shard.request_epoch(key, MonoMs(self.now)).is_some())
        })
    }

    pub fn successor(&self) -> SmolStr {
        let successor = self.owner_shard().successor();
        successor.expect("a successor is designated").name.clone()
    }

    pub fn all_attempts(&self) -> Vec<Attempt> {
        let servers = self.servers.values();
        let attempts = servers.flat_map(|server| server.attempts.keys());
        attempts.copied().collect()
    }
}
