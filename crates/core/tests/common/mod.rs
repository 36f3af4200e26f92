//! A store, backend servers and entry hosts on one clock, for tests of the shard.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use primrosestack_core::event::Notice;
use primrosestack_core::placement::Objective;
use primrosestack_core::prelude::*;
use primrosestack_core::shard::{Shard, ShardConfig};
use smol_str::{SmolStr, ToSmolStr};

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

pub fn task(job: u64, index: u32) -> TaskId {
    TaskId {
        job: JobId(job),
        index,
    }
}

/// The store; answers at once.
#[derive(Clone, Default)]
pub struct Store {
    pub values: BTreeMap<SmolStr, (u64, Arc<[u8]>)>,
    pub revision: u64,
    pub writes: u64,
    pub largest: usize,
}

impl Store {
    pub fn call(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Read { key } => {
                let found = self.values.get(key).cloned();
                let (revision, value) = found.unwrap_or((0, Arc::from(Vec::new())));
                StoreReply::Value {
                    revision: Revision(revision),
                    value,
                }
            }
            StoreCall::Swap {
                key,
                expected,
                value,
            } => {
                let present = self.values.get(key).map_or(0, |(revision, _)| *revision);
                if present != expected.0 {
                    return StoreReply::Conflict;
                }
                self.writes += 1;
                self.largest = self.largest.max(value.len());
                self.revision += 1;
                self.values
                    .insert(key.clone(), (self.revision, value.clone()));
                StoreReply::Written {
                    revision: Revision(self.revision),
                }
            }
            StoreCall::Delete { key } => {
                self.values.remove(key);
                self.revision += 1;
                StoreReply::Written {
                    revision: Revision(self.revision),
                }
            }
        }
    }
}

#[derive(Clone, Debug)]
pub struct Attempted {
    pub task: TaskId,
    pub lease_end: u64,
    pub state: TaskState,
    pub checkpoint: Option<SmolStr>,
    pub resumed_from: Option<SmolStr>,
}

/// A backend server that follows the assumptions of section 11.
#[derive(Clone, Debug, Default)]
pub struct Backend {
    pub highest: Epoch,
    pub owner: Option<HostId>,
    pub boot_id: u64,
    pub attempts: BTreeMap<Attempt, Attempted>,
    pub forgotten: BTreeSet<Attempt>,
    pub fails_all: bool,
}

impl Backend {
    /// Stops attempts whose lease has lapsed.
    pub fn lapse(&mut self, now: u64) {
        for attempt in self.attempts.values_mut() {
            if attempt.state == TaskState::Running && now >= attempt.lease_end {
                attempt.state = TaskState::Stopped;
            }
        }
    }

    pub fn running(&self) -> impl Iterator<Item = TaskId> {
        let attempts = self.attempts.values();
        attempts
            .filter(|attempt| attempt.state == TaskState::Running)
            .map(|attempt| attempt.task)
    }

    fn report(&self, now: u64) -> ServerReply {
        let tasks = self.attempts.iter().map(|(attempt, attempted)| TaskReport {
            task: attempted.task,
            attempt: *attempt,
            state: attempted.state.clone(),
            checkpoint: attempted.checkpoint.clone(),
            used: Resources::default(),
            slowdown_permille: 1_000,
        });
        ServerReply::Report(Report {
            stamp: Stamp(now),
            boot_id: self.boot_id,
            tasks: tasks.collect(),
            request_slowdown_permille: 1_000,
        })
    }

    pub fn command(
        &mut self,
        now: u64,
        owner: &HostId,
        epoch: Epoch,
        command: &ServerCommand,
    ) -> ServerReply {
        self.lapse(now);
        let is_other = epoch == self.highest && self.owner.as_ref().is_some_and(|o| o != owner);
        if epoch < self.highest || is_other {
            return ServerReply::Fenced {
                highest: self.highest,
            };
        }
        self.highest = epoch;
        self.owner = Some(owner.clone());
        match command {
            ServerCommand::Claim => self.report(now),
            ServerCommand::Renew {
                stamp,
                lease_ms,
                attempts,
                acknowledged,
            } => {
                for attempt in attempts {
                    if let Some(attempted) = self.attempts.get_mut(attempt) {
                        attempted.lease_end = attempted.lease_end.max(stamp.0 + lease_ms);
                    }
                }
                for attempt in acknowledged {
                    self.attempts.remove(attempt);
                    self.forgotten.insert(*attempt);
                }
                self.report(now)
            }
            ServerCommand::Start {
                stamp,
                lease_ms,
                task,
                attempt,
                resume,
                ..
            } => {
                let lease_end = stamp.0 + lease_ms;
                let is_known =
                    self.attempts.contains_key(attempt) || self.forgotten.contains(attempt);
                if is_known || now >= lease_end || stamp.0 > now {
                    return ServerReply::Refused;
                }
                let state = if self.fails_all {
                    TaskState::Failed { code: 1 }
                } else {
                    TaskState::Running
                };
                let attempted = Attempted {
                    task: *task,
                    lease_end,
                    state,
                    checkpoint: resume.clone(),
                    resumed_from: resume.clone(),
                };
                self.attempts.insert(*attempt, attempted);
                ServerReply::Done
            }
            ServerCommand::Checkpoint { attempt } => match self.attempts.get_mut(attempt) {
                Some(attempted) if attempted.state == TaskState::Running => {
                    let checkpoint: SmolStr =
                        format!("c{}.{}", attempt.term, attempt.counter).into();
                    attempted.checkpoint = Some(checkpoint.clone());
                    ServerReply::Checkpointed { checkpoint }
                }
                _ => ServerReply::Refused,
            },
            ServerCommand::Throttle { .. } => ServerReply::Done,
            ServerCommand::Stop { attempt } => {
                if let Some(attempted) = self.attempts.get_mut(attempt)
                    && attempted.state == TaskState::Running
                {
                    attempted.state = TaskState::Stopped;
                }
                ServerReply::Done
            }
        }
    }
}

/// How the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    Unavailable,
    /// Swaps take effect and their answers are lost.
    LosesAnswers,
}

pub struct World {
    pub now: u64,
    pub store: Store,
    pub mode: StoreMode,
    pub hosts: BTreeMap<SmolStr, (HostId, Shard)>,
    pub servers: BTreeMap<SmolStr, Backend>,
    /// Pairs of a host and a host, server or `store` that cannot talk.
    pub cut: BTreeSet<(SmolStr, SmolStr)>,
    pub replies: Vec<(Token, TokenReply)>,
    pub notices: Vec<Notice>,
    pub commands: u64,
    queue: VecDeque<(SmolStr, Event)>,
}

impl World {
    /// Entry hosts that hear each other, and `servers` servers in racks of `rack`.
    pub fn open(hosts: &[&str], servers: usize, rack: usize) -> Self {
        let mut world = Self {
            now: 1_000,
            store: Store::default(),
            mode: StoreMode::Up,
            hosts: BTreeMap::new(),
            servers: BTreeMap::new(),
            cut: BTreeSet::new(),
            replies: Vec::new(),
            notices: Vec::new(),
            commands: 0,
            queue: VecDeque::new(),
        };
        for (at, name) in hosts.iter().enumerate() {
            let id = host(name, at as u64 + 1);
            let shard = Shard::new(config(hosts), id.clone(), MonoMs(world.now));
            world.hosts.insert(id.name.clone(), (id, shard));
        }
        for at in 0..servers {
            world.servers.insert(server_name(at), Backend::default());
        }
        for name in hosts {
            world.introduce(name);
        }
        for at in 0..servers {
            world.list(at, rack, 8_000, false);
        }
        world
    }

    fn introduce(&mut self, name: &str) {
        let id = self.hosts[name].0.clone();
        for (peer, other) in self.peers(name) {
            let heard = |host: &HostId| Event::Suspicion {
                host: host.clone(),
                suspected: false,
            };
            self.send(&peer, heard(&id));
            self.send(name, heard(&other));
        }
    }

    fn peers(&self, name: &str) -> Vec<(SmolStr, HostId)> {
        let peers = self.hosts.iter().filter(|(peer, _)| *peer != name);
        peers
            .map(|(peer, (id, _))| (peer.clone(), id.clone()))
            .collect()
    }

    pub fn list(&mut self, at: usize, rack: usize, millicores: u32, leaving: bool) {
        let names: Vec<SmolStr> = self.hosts.keys().cloned().collect();
        for name in names {
            let event = Event::Listed {
                server: server_name(at),
                rack: format!("r{}", at / rack).into(),
                size: size(millicores),
                leaving,
            };
            self.send(&name, event);
        }
    }

    pub fn shard(&self, name: &str) -> &Shard {
        &self.hosts[name].1
    }

    /// The host that owns the shard and has recovered.
    pub fn owner(&self) -> Option<SmolStr> {
        let mut hosts = self.hosts.iter();
        let found =
            hosts.find(|(_, (_, shard))| shard.epoch().is_some_and(|epoch| epoch.rank == 0));
        found.map(|(name, _)| name.clone())
    }

    pub fn owner_shard(&self) -> &Shard {
        let owner = self.owner().expect("some host owns the shard");
        self.shard(&owner)
    }

    /// Delivers an event and everything that follows from it at the same time.
    pub fn send(&mut self, name: &str, event: Event) {
        self.queue.push_back((name.into(), event));
        while let Some((name, event)) = self.queue.pop_front() {
            let Some((id, shard)) = self.hosts.get_mut(&name) else {
                continue;
            };
            let id = id.clone();
            let mut actions = Vec::new();
            shard.handle(MonoMs(self.now), event, &mut actions);
            for action in actions {
                self.perform(&id, action);
            }
        }
        self.check();
    }

    fn is_cut(&self, a: &str, b: &str) -> bool {
        self.cut.contains(&(a.into(), b.into())) || self.cut.contains(&(b.into(), a.into()))
    }

    fn send_to_peer(&mut self, from: &HostId, to: &HostId, event: Event) {
        let is_there = self.hosts.get(&to.name).is_some_and(|(id, _)| id == to);
        if is_there && !self.is_cut(&from.name, &to.name) {
            self.queue.push_back((to.name.clone(), event));
        }
    }

    fn perform(&mut self, id: &HostId, action: Action) {
        let name = id.name.clone();
        match action {
            Action::Store { op, call } => {
                let reply = if self.mode == StoreMode::Unavailable || self.is_cut(&name, "store") {
                    StoreReply::Unavailable
                } else {
                    let reply = self.store.call(&call);
                    let is_read = matches!(call, StoreCall::Read { .. });
                    if self.mode == StoreMode::LosesAnswers && !is_read {
                        StoreReply::Lost
                    } else {
                        reply
                    }
                };
                self.queue.push_back((name, Event::Store { op, reply }));
            }
            Action::Command {
                op,
                name: server,
                epoch,
                command,
                ..
            } => {
                self.commands += 1;
                let now = self.now;
                let is_cut = self.is_cut(&name, &server);
                let reply = match self.servers.get_mut(&server) {
                    Some(backend) if !is_cut => backend.command(now, id, epoch, &command),
                    _ => ServerReply::Lost,
                };
                self.queue.push_back((name, Event::Server { op, reply }));
            }
            Action::Reply { token, reply } => self.replies.push((token, reply)),
            Action::AskPromise { to, term, sent } => {
                let owner = id.clone();
                self.send_to_peer(id, &to, Event::PromiseAsked { owner, term, sent });
            }
            Action::Promise {
                to,
                term,
                sent,
                forever,
            } => {
                let from = id.clone();
                let event = Event::Promised {
                    from,
                    term,
                    sent,
                    forever,
                };
                self.send_to_peer(id, &to, event);
            }
            Action::TellTerm { to, term, owner } => {
                self.send_to_peer(id, &to, Event::TermSeen { owner, term });
            }
            Action::AskRelease { to, term } => {
                let owner = id.clone();
                self.send_to_peer(id, &to, Event::ReleaseAsked { owner, term });
            }
            Action::Release { to, term } => {
                let from = id.clone();
                self.send_to_peer(id, &to, Event::Released { from, term });
            }
            Action::Log(notice) => self.notices.push(notice),
        }
    }

    /// Advances the clock in steps of 100 ms with a tick at every host.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 100;
            for backend in self.servers.values_mut() {
                backend.lapse(self.now);
            }
            let names: Vec<SmolStr> = self.hosts.keys().cloned().collect();
            for name in names {
                self.send(&name, Event::Tick);
            }
        }
    }

    /// Advances the clock until `done` holds; fails after `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, what: &str, done: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(
                self.now < start + limit_ms,
                "not within {limit_ms} ms: {what}"
            );
            self.run(100);
        }
        self.now - start
    }

    /// Removes a host; the others suspect it after `PROMISE_MS`.
    pub fn kill(&mut self, name: &str) -> HostId {
        let (id, _) = self.hosts.remove(name).expect("the host lives");
        self.run(1_500);
        self.suspect(&id, true);
        id
    }

    pub fn suspect(&mut self, id: &HostId, suspected: bool) {
        for (peer, _) in self.peers(&id.name) {
            let host = id.clone();
            self.send(&peer, Event::Suspicion { host, suspected });
        }
    }

    pub fn start_host(&mut self, name: &str, incarnation: u64, hosts: &[&str]) {
        let id = host(name, incarnation);
        let shard = Shard::new(config(hosts), id.clone(), MonoMs(self.now));
        self.hosts.insert(id.name.clone(), (id, shard));
        self.introduce(name);
    }

    pub fn submit(&mut self, spec: JobSpec) -> TokenReply {
        let owner = self.owner().expect("some host owns the shard");
        let token = Token(self.replies.len() as u64 + 1_000);
        self.send(&owner, Event::Submit { token, job: spec });
        self.run_until(2_000, "a reply", |world| world.reply(token).is_some());
        self.reply(token).expect("replied")
    }

    pub fn reply(&self, token: Token) -> Option<TokenReply> {
        let found = self.replies.iter().find(|(waiting, _)| *waiting == token);
        found.map(|(_, reply)| reply.clone())
    }

    /// Number of attempts of a task that run now.
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
    pub fn end(&mut self, id: TaskId, state: &TaskState) {
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

    /// Name of the server that runs a task.
    pub fn server_of(&self, id: TaskId) -> Option<SmolStr> {
        let mut servers = self.servers.iter();
        let found = servers.find(|(_, backend)| backend.running().any(|task| task == id));
        found.map(|(name, _)| name.clone())
    }

    fn check(&self) {
        let mut seen = BTreeSet::new();
        for (name, backend) in &self.servers {
            for task in backend.running() {
                assert!(seen.insert(task), "{task:?} runs twice, also at {name}");
            }
        }
    }

    pub fn count(&self, event: &str) -> usize {
        self.notices
            .iter()
            .filter(|notice| notice.event == event)
            .count()
    }
}

pub fn server_name(at: usize) -> SmolStr {
    format!("w{at}").into()
}

pub const HOSTS: [&str; 3] = ["a", "b", "c"];

/// A world with three entry hosts, an owner and all servers claimed.
pub fn opened(servers: usize, rack: usize) -> World {
    let mut world = World::open(&HOSTS, servers, rack);
    world.run_until(5_000, "an owner with claimed servers", World::is_claimed);
    world.run(3_000);
    world
}

impl World {
    /// Whether an owner has claimed every server that still runs.
    pub fn is_claimed(&self) -> bool {
        let Some(owner) = self.owner() else {
            return false;
        };
        let shard = self.shard(&owner);
        let mut servers = self.servers.keys();
        servers.all(|name| {
            let key = shard.server_key(name);
            self.is_cut(&owner, name)
                || key.is_some_and(|key| shard.may_send(key, MonoMs(self.now)).is_some())
        })
    }

    pub fn successor(&self) -> SmolStr {
        let successor = self.owner_shard().successor();
        successor.expect("a successor is designated").name.clone()
    }

    pub fn cut_off(&mut self, a: &str, b: &str) {
        self.cut.insert((a.into(), b.into()));
    }

    /// Cuts a server off from every entry host.
    pub fn lose_server(&mut self, server: &str) {
        for name in HOSTS {
            self.cut_off(name, server);
        }
    }

    pub fn attempts_of(&self, id: TaskId) -> Vec<Attempt> {
        let attempts = self.servers.values().flat_map(|backend| &backend.attempts);
        attempts
            .filter(|(_, attempted)| attempted.task == id)
            .map(|(attempt, _)| *attempt)
            .collect()
    }
}
