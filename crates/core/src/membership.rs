//! Membership and failure detection of entry hosts.
//!
//! Incarnations are random numbers and have no order. Each heartbeat echoes the latest one received from its addressee;
//! of two incarnations of a host, the one with the later echo was alive later. A delayed heartbeat of a dead process
//! therefore does not displace its replacement.

use std::marker::PhantomData;

use smol_str::SmolStr;

use crate::event::Event;
use crate::ids::HostId;
use crate::time::{DurationMs, MonoMs};

pub const HEARTBEAT_INTERVAL: DurationMs = DurationMs(500);

/// Silence after which a host is suspected: three heartbeats, so that one lost heartbeat does not move a shard.
pub const SUSPECT_AFTER: DurationMs = DurationMs(1_500);

/// An entry host named in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub name: SmolStr,
    pub failure_domain: SmolStr,
}

/// Settings of a membership.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// This process.
    pub host: HostId,
    pub failure_domain: SmolStr,
    /// Entry hosts of the same failure domain and seeds of the others; this host is skipped.
    pub members: Vec<Member>,
}

/// Load that a host announces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Free request slots on the servers that the host owns.
    pub free_slots: u32,
    /// Requests waiting in its queues.
    pub queued: u32,
    /// Expected wait of a new request.
    pub expected_wait_ms: u32,
}

/// Content of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberHeartbeat {
    pub from: HostId,
    pub failure_domain: SmolStr,
    /// Time of sending on the sender's clock.
    pub sent: MonoMs,
    /// `sent` of the latest heartbeat that the sender received from the addressee's incarnation, if any.
    pub echo: Option<MonoMs>,
    pub leaving: bool,
    pub load: Load,
}

/// State of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Not heard since this process started.
    Unheard,
    /// Heard within `SUSPECT_AFTER`.
    Live,
    /// Not heard for `SUSPECT_AFTER`.
    Suspected,
    /// Stops soon and gets no new work.
    Leaving,
    /// Replaced by another incarnation or declared gone.
    Gone,
}

/// Input of a membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// Time passed.
    Tick {
        /// Load to announce.
        load: Load,
    },
    HeartbeatReceived(MemberHeartbeat),
    /// The platform's host list marks a host as leaving, or no longer does.
    Listed {
        name: SmolStr,
        leaving: bool,
    },
    /// An operator declares the current incarnation of a host gone.
    DeclaredGone {
        name: SmolStr,
    },
}

/// Action requested by a membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a heartbeat.
    Send {
        to: SmolStr,
        heartbeat: MemberHeartbeat,
    },
    /// The state of a host has changed.
    Changed {
        /// Host and incarnation; incarnation 0 if none was heard yet.
        host: HostId,
        failure_domain: SmolStr,
        state: MemberState,
    },
}

/// One host as this process sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Host and incarnation; incarnation 0 if none was heard yet.
    pub host: HostId,
    pub failure_domain: SmolStr,
    pub state: MemberState,
    /// From the latest heartbeat.
    pub load: Load,
    /// Time from a heartbeat to its echo; `None` before the first echo.
    pub round_trip: Option<DurationMs>,
}

/// Stage of a process.
pub trait Stage {
    /// Whether heartbeats announce that the process leaves.
    const LEAVING: bool;
}

/// Stage of a process that works normally.
#[derive(Debug)]
pub struct Active;

/// Stage of a process that announces that it stops.
#[derive(Debug)]
pub struct Leaving;

impl Stage for Active {
    const LEAVING: bool = false;
}

impl Stage for Leaving {
    const LEAVING: bool = true;
}

struct Peer {
    view: MemberView,
    last_heard: MonoMs,
    last_sent: Option<MonoMs>,
    highest_echo: Option<MonoMs>,
    listed_leaving: bool,
    announced_leaving: bool,
}

/// The entry hosts as one process sees them.
pub struct Membership<S> {
    host: HostId,
    failure_domain: SmolStr,
    peers: Vec<Peer>,
    next_heartbeat: MonoMs,
    stage: PhantomData<S>,
}

impl MemberAction {
    /// The event for the shards of this process, if a host in its own failure domain has changed.
    #[must_use]
    pub fn shard_event(&self, own_failure_domain: &str) -> Option<Event> {
        let Self::Changed {
            host,
            failure_domain,
            state,
        } = self
        else {
            return None;
        };
        if failure_domain != own_failure_domain {
            return None;
        }
        Some(Event::Suspicion {
            host: host.clone(),
            suspected: matches!(state, MemberState::Suspected | MemberState::Gone),
        })
    }
}

impl Membership<Active> {
    /// Creates the membership of a process that has not heard from any host.
    #[must_use]
    pub fn open(config: MembershipConfig, now: MonoMs) -> Self {
        let mut peers: Vec<Peer> = Vec::new();
        for member in config.members {
            if member.name == config.host.name {
                continue;
            }
            peers.push(Peer::new(member, now));
        }
        peers.sort_by(|a, b| a.view.host.name.cmp(&b.view.host.name));
        peers.dedup_by(|a, b| a.view.host.name == b.view.host.name);
        Self {
            host: config.host,
            failure_domain: config.failure_domain,
            peers,
            next_heartbeat: now,
            stage: PhantomData,
        }
    }

    /// Starts to leave. The announcement is sent at once and with every later heartbeat.
    #[must_use]
    pub fn leave(
        self,
        now: MonoMs,
        load: Load,
        actions: &mut Vec<MemberAction>,
    ) -> Membership<Leaving> {
        let mut departing = Membership {
            host: self.host,
            failure_domain: self.failure_domain,
            peers: self.peers,
            next_heartbeat: now,
            stage: PhantomData,
        };
        departing.handle(now, MemberEvent::Tick { load }, actions);
        departing
    }
}

impl<S: Stage> Membership<S> {
    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: MonoMs, event: MemberEvent, actions: &mut Vec<MemberAction>) {
        match event {
            MemberEvent::Tick { load } => {
                self.update_states(now, actions);
                self.send(now, load, actions);
            }
            MemberEvent::HeartbeatReceived(heartbeat) => self.receive(now, &heartbeat, actions),
            MemberEvent::Listed { name, leaving } => {
                if let Ok(at) = self.position(&name) {
                    let peer = &mut self.peers[at];
                    peer.listed_leaving = leaving;
                    peer.update_state(now, actions);
                }
            }
            MemberEvent::DeclaredGone { name } => {
                if let Ok(at) = self.position(&name) {
                    self.peers[at].set_state(MemberState::Gone, actions);
                }
            }
        }
    }

    #[must_use]
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// All other hosts, sorted by name.
    pub fn members(&self) -> impl Iterator<Item = &MemberView> {
        self.peers.iter().map(|peer| &peer.view)
    }

    /// Names of the live entry hosts of this failure domain, this one included.
    pub fn live(&self) -> impl Iterator<Item = &str> {
        let others = self.members().filter(|view| {
            view.failure_domain == self.failure_domain && view.state == MemberState::Live
        });
        std::iter::once(self.host.name.as_str()).chain(others.map(|view| view.host.name.as_str()))
    }

    /// State of a host; `None` if the settings do not name it and it was never heard.
    #[must_use]
    pub fn state(&self, name: &str) -> Option<MemberState> {
        let at = self.position(name).ok()?;
        Some(self.peers[at].view.state)
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| peer.view.host.name.as_str().cmp(name))
    }

    fn update_states(&mut self, now: MonoMs, actions: &mut Vec<MemberAction>) {
        for peer in &mut self.peers {
            peer.update_state(now, actions);
        }
    }

    fn send(&mut self, now: MonoMs, load: Load, actions: &mut Vec<MemberAction>) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        for peer in &self.peers {
            let heartbeat = MemberHeartbeat {
                from: self.host.clone(),
                failure_domain: self.failure_domain.clone(),
                sent: now,
                echo: peer.last_sent,
                leaving: S::LEAVING,
                load,
            };
            actions.push(MemberAction::Send {
                to: peer.view.host.name.clone(),
                heartbeat,
            });
        }
    }

    fn receive(
        &mut self,
        now: MonoMs,
        heartbeat: &MemberHeartbeat,
        actions: &mut Vec<MemberAction>,
    ) {
        if heartbeat.from.name == self.host.name {
            return;
        }
        let at = match self.position(&heartbeat.from.name) {
            Ok(at) => at,
            Err(at) => {
                let member = Member {
                    name: heartbeat.from.name.clone(),
                    failure_domain: heartbeat.failure_domain.clone(),
                };
                self.peers.insert(at, Peer::new(member, now));
                at
            }
        };
        self.peers[at].receive(now, heartbeat, actions);
    }
}

impl Peer {
    fn new(member: Member, now: MonoMs) -> Self {
        Self {
            view: MemberView {
                host: HostId {
                    name: member.name,
                    incarnation: 0,
                },
                failure_domain: member.failure_domain,
                state: MemberState::Unheard,
                load: Load::default(),
                round_trip: None,
            },
            last_heard: now,
            last_sent: None,
            highest_echo: None,
            listed_leaving: false,
            announced_leaving: false,
        }
    }

    fn receive(
        &mut self,
        now: MonoMs,
        heartbeat: &MemberHeartbeat,
        actions: &mut Vec<MemberAction>,
    ) {
        let echo = heartbeat.echo.filter(|echo| *echo <= now);
        if self.view.host != heartbeat.from {
            let first = self.view.host.incarnation == 0;
            if !first && echo <= self.highest_echo {
                return;
            }
            if !first {
                self.set_state(MemberState::Gone, actions);
            }
            self.adopt_incarnation(heartbeat.from.clone());
        } else if self.view.state == MemberState::Gone {
            return;
        }
        self.last_heard = now;
        if self.last_sent.is_none_or(|sent| heartbeat.sent > sent) {
            self.last_sent = Some(heartbeat.sent);
            self.view.load = heartbeat.load;
            if let Some(echo) = echo {
                self.view.round_trip = Some(now.since(echo));
            }
        }
        self.highest_echo = self.highest_echo.max(echo);
        self.announced_leaving |= heartbeat.leaving;
        self.update_state(now, actions);
    }

    fn adopt_incarnation(&mut self, host: HostId) {
        self.view.host = host;
        self.view.state = MemberState::Unheard;
        self.view.round_trip = None;
        self.last_sent = None;
        self.announced_leaving = false;
    }

    /// Derives the state. Silence outweighs leaving, since a silent host must be taken over.
    fn update_state(&mut self, now: MonoMs, actions: &mut Vec<MemberAction>) {
        if self.view.state == MemberState::Gone {
            return;
        }
        let heard_any = self.view.host.incarnation != 0;
        let silent = now.since(self.last_heard) >= SUSPECT_AFTER;
        let leaving = self.announced_leaving || self.listed_leaving;
        let state = match (silent, leaving, heard_any) {
            (true, _, _) => MemberState::Suspected,
            (false, true, _) => MemberState::Leaving,
            (false, false, true) => MemberState::Live,
            (false, false, false) => MemberState::Unheard,
        };
        self.set_state(state, actions);
    }

    fn set_state(&mut self, state: MemberState, actions: &mut Vec<MemberAction>) {
        if self.view.state == state {
            return;
        }
        self.view.state = state;
        actions.push(MemberAction::Changed {
            host: self.view.host.clone(),
            failure_domain: self.view.failure_domain.clone(),
            state,
        });
    }
}
