//! One entry host's process: the cores and the thin shell that connects them to the fakes.

use std::collections::{BTreeMap, BTreeSet};

use primrosestack_core::digest::{Digest, Document, DocumentHead};
use primrosestack_core::documents::{
    DIGEST_INTERVAL, Documents, Joining, Offered, Serving, StoreFinding, watcher,
};
use primrosestack_core::event::LogEvent;
use primrosestack_core::membership::{
    Beat, Departing, Load, Member, MemberAction, MemberEvent, Membership, MembershipConfig, Staying,
};
use primrosestack_core::peer_frame::RequestAnswer;
use primrosestack_core::placement::Objective;
use primrosestack_core::prelude::*;
use primrosestack_core::shard::{Shard, ShardConfig};
use smol_str::SmolStr;

use crate::schedule::{HOSTS, SHARDS, TEAMS};
use crate::store;

/// Entry hosts with their failure domain.
pub const HOST_NAMES: [(&str, &str); 5] = [
    ("poa-1", "poa"),
    ("poa-2", "poa"),
    ("poa-3", "poa"),
    ("cxs-1", "cxs"),
    ("cxs-2", "cxs"),
];

/// Time between two reads of the documents by a watcher, in place of a watch.
const WATCH_MS: u64 = 1_000;

/// What a store call is for.
#[derive(Clone, Debug)]
pub enum Purpose {
    Shard(usize, OpId),
    Watch(&'static str),
    WriteBack(Document),
    EditRead {
        team: &'static str,
        if_match: u64,
        text: String,
    },
    EditSwap(u64, Document),
}

/// What reaches a process.
#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    Shard(usize, Event),
    /// Answer to an operation of a shard; only the first answer to an operation counts.
    Answer {
        shard: usize,
        op: OpId,
        term: u64,
        event: Event,
    },
    Stored(Purpose, StoreReply),
    Beat(Beat),
    Digest(usize, Box<Digest>),
    Heads(usize, Vec<u32>, Vec<DocumentHead>),
    Push(Vec<Document>),
    Edit(&'static str, u64, String),
    /// An answer arrives on the connection on which this request waits.
    Request(String, RequestAnswer),
    Stop,
}

/// What a process asks for.
#[derive(Clone, Debug)]
pub enum Output {
    Store(Purpose, StoreCall),
    Command {
        shard: usize,
        op: OpId,
        server: SmolStr,
        epoch: Epoch,
        command: ServerCommand,
    },
    /// A message to a host; to one incarnation if given.
    Peer(SmolStr, Option<u64>, Input),
    Reply(CallerToken, CallerReply),
    Answered(u64, Vec<u8>),
    Edited(u64, Document),
    Log(LogEvent),
}

enum Docs {
    Joining(Documents<Joining>),
    Serving(Documents<Serving>),
}

enum Members {
    Staying(Membership<Staying>),
    Departing(Membership<Departing>),
}

macro_rules! docs {
    ($docs:expr, $held:ident => $call:expr) => {
        match &mut $docs {
            Docs::Joining($held) => $call,
            Docs::Serving($held) => $call,
        }
    };
}

/// One process of an entry host.
pub struct Process {
    pub id: HostId,
    pub waiting: BTreeMap<String, u64>,
    host: usize,
    pub shards: Vec<Shard>,
    open: BTreeSet<(usize, OpId)>,
    members: Members,
    docs: Docs,
    digest_due: MonoMs,
    watch_due: MonoMs,
}

impl Process {
    /// A process that has just started and knows nothing.
    pub fn start(host: usize, incarnation: u64, now: MonoMs) -> Self {
        let (name, domain) = HOST_NAMES[host];
        let id = HostId {
            name: name.into(),
            incarnation,
        };
        let shards = if host < HOSTS { SHARDS } else { 0 };
        let members = HOST_NAMES.iter().map(|(name, domain)| Member {
            name: (*name).into(),
            failure_domain: (*domain).into(),
        });
        let config = MembershipConfig {
            host: id.clone(),
            failure_domain: domain.into(),
            members: members.collect(),
        };
        Self {
            waiting: BTreeMap::new(),
            host,
            shards: (0..shards)
                .map(|shard| open_shard(shard, &id, now))
                .collect(),
            open: BTreeSet::new(),
            members: Members::Staying(Membership::open(config, now)),
            docs: Docs::Joining(Documents::open(domain.into(), now)),
            digest_due: now,
            watch_due: now,
            id,
        }
    }

    /// Documents in force; none while the process still asks its peers.
    pub fn documents(&self) -> &[Document] {
        match &self.docs {
            Docs::Joining(_) => &[],
            Docs::Serving(documents) => documents.all(),
        }
    }

    /// Whether an operation of a shard waits for its answer.
    pub fn is_open(&self, shard: usize, op: OpId) -> bool {
        self.open.contains(&(shard, op))
    }

    /// Takes one input.
    pub fn handle(&mut self, now: MonoMs, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Shard(shard, event) => self.shard(now, shard, event, out),
            Input::Answer {
                shard, op, event, ..
            } => {
                if self.open.remove(&(shard, op)) {
                    self.shard(now, shard, event, out);
                }
            }
            Input::Stored(purpose, reply) => self.stored(purpose, reply, out),
            Input::Beat(beat) => self.member(now, MemberEvent::Heard(beat), out),
            Input::Digest(from, digest) => self.compare(now, from, &digest, out),
            Input::Heads(from, buckets, heads) => {
                let (name, domain) = HOST_NAMES[from];
                let push =
                    docs!(self.docs, held => held.newer_than(name, domain, &buckets, &heads));
                out.push(Output::Peer(name.into(), None, Input::Push(push)));
            }
            Input::Push(documents) => {
                for document in documents {
                    docs!(self.docs, held => held.offer(document));
                }
            }
            Input::Edit(team, if_match, text) => {
                let key = store::document_key(team);
                let purpose = Purpose::EditRead {
                    team,
                    if_match,
                    text,
                };
                out.push(Output::Store(purpose, StoreCall::Read { key }));
            }
            Input::Request(waiting, answer) => self.answered(now, &waiting, answer, out),
            Input::Stop => self.stop(now, out),
        }
    }

    fn tick(&mut self, now: MonoMs, out: &mut Vec<Output>) {
        for shard in 0..self.shards.len() {
            self.shard(now, shard, Event::Tick, out);
        }
        let load = Load::default();
        self.member(now, MemberEvent::Tick { load }, out);
        if let Docs::Joining(joining) = &self.docs
            && joining.may_serve(now, None)
        {
            self.serve(now);
        }
        if now >= self.digest_due {
            self.digest_due = now + DIGEST_INTERVAL;
            let digest = docs!(self.docs, held => Box::new(held.digest().clone()));
            self.to_all(&Input::Digest(self.host, digest), out);
        }
        if now >= self.watch_due && self.watches() {
            self.watch_due = now + DurationMs(WATCH_MS);
            for team in TEAMS {
                let key = store::document_key(team);
                out.push(Output::Store(Purpose::Watch(team), StoreCall::Read { key }));
            }
        }
    }

    fn watches(&self) -> bool {
        let domain = HOST_NAMES[self.host].1;
        let elected = match &self.members {
            Members::Staying(members) => watcher(domain, members.live()),
            Members::Departing(members) => watcher(domain, members.live()),
        };
        elected == Some(self.id.name.as_str())
    }

    fn serve(&mut self, now: MonoMs) {
        let blank = Docs::Joining(Documents::open(SmolStr::default(), now));
        self.docs = match std::mem::replace(&mut self.docs, blank) {
            Docs::Joining(joining) => Docs::Serving(joining.serve()),
            serving @ Docs::Serving(_) => serving,
        };
    }

    fn compare(&mut self, now: MonoMs, from: usize, digest: &Digest, out: &mut Vec<Output>) {
        let (name, domain) = HOST_NAMES[from];
        let buckets = docs!(self.docs, held => held.compare(name, domain, digest));
        if let Docs::Joining(joining) = &self.docs
            && joining.may_serve(now, Some(digest))
        {
            self.serve(now);
        }
        if buckets.is_empty() {
            return;
        }
        let heads = docs!(self.docs, held => held.heads(&buckets));
        let message = Input::Heads(self.host, buckets, heads);
        out.push(Output::Peer(name.into(), None, message));
    }

    fn stored(&mut self, purpose: Purpose, reply: StoreReply, out: &mut Vec<Output>) {
        match (purpose, reply) {
            (Purpose::Watch(team), StoreReply::Value { revision, value }) => {
                let stored = store::decode(team, &value);
                let read = stored.clone();
                let finding = docs!(self.docs, held => held.read_from_store(team, revision, read));
                match (finding, stored) {
                    (StoreFinding::InForce, Some(document)) => {
                        self.to_all(&Input::Push(vec![document]), out);
                    }
                    (StoreFinding::WriteBack { expected, document }, _) => {
                        let call = swap(expected, &document);
                        out.push(Output::Store(Purpose::WriteBack(document), call));
                    }
                    _ => {}
                }
            }
            (Purpose::WriteBack(document), StoreReply::Written { .. }) => {
                self.put(document, out);
            }
            (
                Purpose::EditRead {
                    team,
                    if_match,
                    text,
                },
                StoreReply::Value { revision, value },
            ) => {
                let Docs::Serving(documents) = &self.docs else {
                    return;
                };
                let stored = store::decode(team, &value);
                let edit = documents.edit(team, if_match, stored.as_ref(), text.into());
                if let Ok(document) = edit {
                    let call = swap(revision, &document);
                    out.push(Output::Store(Purpose::EditSwap(if_match, document), call));
                }
            }
            (Purpose::EditSwap(if_match, document), StoreReply::Written { .. }) => {
                self.put(document.clone(), out);
                out.push(Output::Edited(if_match, document));
            }
            _ => {}
        }
    }

    fn put(&mut self, document: Document, out: &mut Vec<Output>) {
        let offered = docs!(self.docs, held => held.offer(document.clone()));
        if offered == Offered::InForce {
            self.to_all(&Input::Push(vec![document]), out);
        }
    }

    fn answered(
        &mut self,
        now: MonoMs,
        waiting: &str,
        answer: RequestAnswer,
        out: &mut Vec<Output>,
    ) {
        let Some(key) = self.waiting.remove(waiting) else {
            return;
        };
        if answer.check(waiting).is_err() {
            return;
        }
        let event = Event::AnswerKey {
            key: RequestKey(key.into()),
            answer: answer.body.clone().into(),
        };
        self.shard(now, shard_of(key), event, out);
        out.push(Output::Answered(key, answer.body));
    }

    fn stop(&mut self, now: MonoMs, out: &mut Vec<Output>) {
        for shard in 0..self.shards.len() {
            self.shard(now, shard, Event::Shutdown, out);
        }
        let config = MembershipConfig {
            host: HostId::default(),
            failure_domain: SmolStr::default(),
            members: Vec::new(),
        };
        let blank = Members::Staying(Membership::open(config, now));
        let mut actions = Vec::new();
        self.members = match std::mem::replace(&mut self.members, blank) {
            Members::Staying(members) => {
                Members::Departing(members.leave(now, Load::default(), &mut actions))
            }
            departing @ Members::Departing(_) => departing,
        };
        self.member_actions(now, actions, out);
    }

    fn member(&mut self, now: MonoMs, event: MemberEvent, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        match &mut self.members {
            Members::Staying(members) => members.handle(now, event, &mut actions),
            Members::Departing(members) => members.handle(now, event, &mut actions),
        }
        self.member_actions(now, actions, out);
    }

    fn member_actions(&mut self, now: MonoMs, actions: Vec<MemberAction>, out: &mut Vec<Output>) {
        for action in actions {
            if let Some(event) = action.shard_event(HOST_NAMES[self.host].1) {
                for shard in 0..self.shards.len() {
                    self.shard(now, shard, event.clone(), out);
                }
            }
            if let MemberAction::Send { to, beat } = action {
                out.push(Output::Peer(to, None, Input::Beat(beat)));
            }
        }
    }

    fn shard(&mut self, now: MonoMs, shard: usize, event: Event, out: &mut Vec<Output>) {
        let Some(core) = self.shards.get_mut(shard) else {
            return;
        };
        let mut actions = Vec::new();
        core.handle(now, event, &mut actions);
        for action in actions {
            let output = self.output(shard, action);
            out.push(output);
        }
    }

    fn output(&mut self, shard: usize, action: Action) -> Output {
        match action {
            Action::Store { op, call } => {
                self.open.insert((shard, op));
                Output::Store(Purpose::Shard(shard, op), call)
            }
            Action::Command {
                op,
                name,
                epoch,
                command,
                ..
            } => {
                self.open.insert((shard, op));
                Output::Command {
                    shard,
                    op,
                    server: name,
                    epoch,
                    command,
                }
            }
            Action::Reply { token, reply } => Output::Reply(token, reply),
            Action::RequestPromise { to, term, sent } => {
                let owner = self.id.clone();
                tell(shard, to, Event::PromiseRequested { owner, term, sent })
            }
            Action::Promise {
                to,
                term,
                sent,
                forever,
            } => {
                let from = self.id.clone();
                let event = Event::Promised {
                    from,
                    term,
                    sent,
                    forever,
                };
                tell(shard, to, event)
            }
            Action::AnnounceTerm { to, term, owner } => {
                tell(shard, to, Event::TermAnnounced { owner, term })
            }
            Action::RequestRelease { to, term } => {
                let owner = self.id.clone();
                tell(shard, to, Event::ReleaseRequested { owner, term })
            }
            Action::Release { to, term } => {
                let from = self.id.clone();
                tell(shard, to, Event::Released { from, term })
            }
            Action::Log(notice) => Output::Log(notice),
        }
    }

    fn to_all(&self, message: &Input, out: &mut Vec<Output>) {
        for (name, _) in HOST_NAMES {
            if name != self.id.name {
                out.push(Output::Peer(name.into(), None, message.clone()));
            }
        }
    }
}

fn tell(shard: usize, to: HostId, event: Event) -> Output {
    Output::Peer(to.name, Some(to.incarnation), Input::Shard(shard, event))
}

/// Shard that a job or key belongs to.
pub fn shard_of(hash: u64) -> usize {
    usize::from(hash % 2 == 1)
}

fn swap(expected: Revision, document: &Document) -> StoreCall {
    StoreCall::CompareAndSwap {
        key: store::document_key(&document.team),
        expected,
        value: store::encode(document),
    }
}

fn open_shard(shard: usize, id: &HostId, now: MonoMs) -> Shard {
    let own_domain = HOST_NAMES.iter().filter(|(_, domain)| *domain == "poa");
    let config = ShardConfig {
        failure_domain: "poa".into(),
        number: u32::try_from(shard).unwrap_or_default(),
        hosts: own_domain.map(|(name, _)| (*name).into()).collect(),
        objective: Objective {
            latency_permille: 400,
            throughput_permille: 400,
            eviction_permille: 200,
        },
        seed: id.incarnation,
        clock_drift_ppm: 10_000,
    };
    Shard::new(config, id.clone(), now)
}
