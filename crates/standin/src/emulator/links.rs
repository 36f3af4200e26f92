//! Calls to the store and to servers: whether they arrive, when they are carried out, and whether they are answered.

use primrosestack_fleet::ledger::Batch;
use primrosestack_fleet::prelude::*;
use rand::Rng;

use super::server::WaitingPoll;
use super::store::{Item, Transaction, home_key, inbox_key, term_key};
use super::{Event, World};

pub(super) const STORE_TIMEOUT_MS: u64 = 1_200;
const ORDER_TIMEOUT_MS: u64 = 600;

/// Share of calls that meet a fault which does not concern all of them.
pub(super) const FAULT_PERCENT: u32 = 40;

/// Purpose of a call to the store.
#[derive(Clone, Debug)]
pub(super) enum StoreCall {
    Records { owner: usize, batch: Batch },
    CheckTerm { owner: usize },
    Announce { owner: usize },
    ReadHome { owner: usize, job: JobId },
    Move { owner: usize, job: JobId },
    Take { domain: usize },
    Accept { spec: Box<JobSpec> },
    Cancel { id: JobId, domain: usize },
}

/// Answer of the store.
#[derive(Clone, Debug)]
pub(super) enum StoreAnswer {
    Committed {
        revision: u64,
        sent_ms: u64,
    },
    Read {
        item: Option<Item>,
        sent_ms: u64,
    },
    /// The term, and whether the job of a move was cancelled.
    Conflict {
        item: Option<Item>,
        is_cancelled: bool,
    },
    NoAnswer,
}

/// A call on its way to the store.
#[derive(Clone, Debug)]
pub(super) struct StoreArrival {
    pub host: usize,
    pub life: u32,
    pub call: StoreCall,
    /// Without one, the term or the home that the call is about is read.
    pub transaction: Option<Transaction>,
    pub sent_ms: u64,
    pub is_answered: bool,
}

/// A call on its way to a server.
#[derive(Clone, Debug)]
pub(super) struct ServerArrival {
    pub server: usize,
    pub owner: usize,
    pub host: usize,
    pub token: u64,
    pub call: ServerCall,
    pub is_late: bool,
    /// Reply to be completed; `None` if it is lost.
    pub reply: Option<ServerReply>,
}

/// Call to a server.
#[derive(Clone, Debug)]
pub(super) enum ServerCall {
    Start(StartRequest),
    Stop {
        task: TaskId,
        run: u32,
    },
    Poll {
        server: ServerKey,
        poll: u64,
        acknowledged_end: Option<OfIncarnation<u64>>,
        lease_end_ms: Option<OfIncarnation<u64>>,
        wait_ms: u64,
        sent_ms: u64,
    },
}

/// Reply to an owner, without which the call counts as unanswered.
#[derive(Clone, Debug)]
pub(super) enum ServerReply {
    Start {
        server: ServerKey,
        request: StartRequest,
        reply: StartReply,
    },
    Stop {
        server: ServerKey,
        task: TaskId,
        run: u32,
        is_done: bool,
    },
    /// Without a report, the server refused the owner's token.
    Poll {
        server: ServerKey,
        poll: u64,
        report: Option<Report>,
    },
}

impl World {
    pub(super) fn is_linked(&self, domain: usize, other: usize) -> bool {
        let is_cut = |domain: usize| self.now_ms() < self.domains[domain].cut_until_ms;
        domain == other || !(is_cut(domain) || is_cut(other))
    }

    pub(super) fn is_host_linked(&self, host: usize) -> bool {
        self.hosts[host].is_up && self.now_ms() >= self.hosts[host].cut_until_ms
    }

    /// Whether a host and the store reach each other now.
    pub(super) fn reaches_store(&self, host: usize) -> bool {
        let now = self.now_ms();
        self.is_host_linked(host)
            && now >= self.hosts[host].store_cut_until_ms
            && now >= self.domains[self.hosts[host].domain].cut_until_ms
            && now >= self.store_faults.down
    }

    pub(super) fn reaches_host(&self, host: usize, other: usize) -> bool {
        let is_thawed = self.now_ms() >= self.hosts[other].frozen_until_ms;
        let is_linked = self.is_linked(self.hosts[host].domain, self.hosts[other].domain)
            && !self.lost_links(host).hosts
            && !self.lost_links(other).hosts;
        host == other
            || (is_linked && is_thawed && self.is_host_linked(host) && self.is_host_linked(other))
    }

    fn reaches_server(&self, host: usize, server: usize) -> bool {
        let state = &self.servers[server];
        state.is_up
            && self.now_ms() >= state.cut_until_ms
            && self.is_host_linked(host)
            && self.is_linked(self.hosts[host].domain, state.domain)
            && self.lost_links(host).servers & (1 << server) == 0
    }

    pub(super) fn owner_reaches(&self, id: usize, server: usize) -> bool {
        let owner = self.owners[id].as_ref();
        owner.is_some_and(|owner| self.reaches_server(owner.host, server))
    }

    /// Calls the store, with a transaction or to read the term that the call is about.
    pub(super) fn call_store(
        &mut self,
        host: usize,
        call: StoreCall,
        transaction: Option<Transaction>,
    ) {
        let now = self.now_ms();
        let faults = self.store_faults;
        let is_reached = self.reaches_store(host);
        let is_late = now < faults.late && self.chance(FAULT_PERCENT);
        let is_lossy = now < faults.lossy && self.chance(FAULT_PERCENT);
        let is_answered = is_reached && !is_late && !is_lossy;
        let life = self.hosts[host].life;
        if !is_answered {
            let event = Event::StoreReply {
                host,
                life,
                call: Box::new(call.clone()),
                answer: StoreAnswer::NoAnswer,
            };
            self.events.after(STORE_TIMEOUT_MS, event);
        }
        if !is_reached {
            return;
        }
        let delay_ms = if is_late {
            self.random.random_range(STORE_TIMEOUT_MS..6_000)
        } else if now < faults.slow {
            self.random.random_range(10..300)
        } else {
            2
        };
        let arrival = StoreArrival {
            host,
            life,
            call,
            transaction,
            sent_ms: now,
            is_answered,
        };
        self.events
            .after(delay_ms, Event::StoreArrival(Box::new(arrival)));
    }

    pub(super) fn store_arrival(&mut self, arrival: StoreArrival) {
        let StoreArrival {
            host,
            life,
            call,
            transaction,
            sent_ms,
            is_answered,
        } = arrival;
        let domain = match &call {
            StoreCall::Records { owner, .. }
            | StoreCall::CheckTerm { owner }
            | StoreCall::Announce { owner }
            | StoreCall::ReadHome { owner, .. }
            | StoreCall::Move { owner, .. } => {
                self.owners[*owner].as_ref().map(|owner| owner.domain)
            }
            StoreCall::Take { domain } => Some(*domain),
            StoreCall::Accept { .. } | StoreCall::Cancel { .. } => None,
        };
        let term =
            |world: &Self| domain.and_then(|domain| world.store.read(&term_key(domain)).cloned());
        let answer = match &transaction {
            None => StoreAnswer::Read {
                item: match call {
                    StoreCall::ReadHome { job, .. } => self.store.read(&home_key(job)).cloned(),
                    _ => term(self),
                },
                sent_ms,
            },
            Some(transaction) => match self.store.commit(transaction) {
                Ok(revision) => StoreAnswer::Committed { revision, sent_ms },
                Err(_) => StoreAnswer::Conflict {
                    item: term(self),
                    is_cancelled: matches!((&call, domain), (StoreCall::Move { job, .. }, Some(domain))
                        if self.store.read(&inbox_key(domain, "cancel", *job)).is_some()),
                },
            },
        };
        if is_answered {
            let call = Box::new(call);
            let reply = Event::StoreReply {
                host,
                life,
                call,
                answer,
            };
            self.events.after(2, reply);
        }
    }

    pub(super) fn store_reply(
        &mut self,
        host: usize,
        life: u32,
        call: StoreCall,
        answer: &StoreAnswer,
    ) {
        let now = self.now_ms();
        if !self.hosts[host].is_up || self.hosts[host].life != life {
            // Callers whose host is gone ask another one.
            match call {
                StoreCall::Accept { spec } => self.submit_again(*spec),
                StoreCall::Cancel { id, domain } => self.cancel_again(id, domain),
                _ => {}
            }
            return;
        }
        let health = &mut self.hosts[host].health;
        if matches!(answer, StoreAnswer::NoAnswer) {
            health.record_failure(now);
        } else {
            health.record_answer(now);
        }
        match call {
            StoreCall::Records { owner, .. }
            | StoreCall::CheckTerm { owner }
            | StoreCall::Announce { owner }
            | StoreCall::Move { owner, .. } => self.owner_answered(owner, call, answer),
            StoreCall::ReadHome { owner, .. } => self.home_read(owner, answer),
            StoreCall::Take { domain } => self.taken(host, domain, answer),
            StoreCall::Accept { spec } => self.accepted(*spec, answer),
            StoreCall::Cancel { id, domain } => self.cancelled(id, domain, answer),
        }
    }

    /// Calls a server; `reply` is what the owner learns without an answer.
    pub(super) fn call_server(
        &mut self,
        id: usize,
        server: usize,
        call: ServerCall,
        reply: ServerReply,
    ) {
        let now = self.now_ms();
        let is_poll = matches!(call, ServerCall::Poll { .. });
        let is_reached = self.owner_reaches(id, server);
        let state = &self.servers[server];
        let (late_until_ms, lossy_until_ms) = (state.late_until_ms, state.lossy_until_ms);
        let is_late = !is_poll && now < late_until_ms && self.chance(FAULT_PERCENT);
        let is_lossy = now < lossy_until_ms && self.chance(FAULT_PERCENT);
        let is_answered = is_reached && !is_late && !is_lossy;
        if !is_answered && !is_poll {
            let reply = Event::ServerReply {
                owner: id,
                reply: reply.clone(),
            };
            self.events.after(ORDER_TIMEOUT_MS, reply);
        }
        if !is_reached {
            self.refuse_poll(id, server, &call);
            return;
        }
        let delay_ms = if is_late {
            self.random.random_range(ORDER_TIMEOUT_MS..9_000)
        } else {
            self.random.random_range(1..=3)
        };
        let Some(owner) = &self.owners[id] else {
            return;
        };
        let arrival = ServerArrival {
            server,
            owner: id,
            host: owner.host,
            token: owner.term,
            call,
            is_late,
            reply: is_answered.then_some(reply),
        };
        self.events
            .after(delay_ms, Event::ServerArrival(Box::new(arrival)));
    }

    /// Tells the owner of a poll at once that the server's address refuses it.
    fn refuse_poll(&mut self, id: usize, server: usize, call: &ServerCall) {
        let state = &self.servers[server];
        if let ServerCall::Poll { server, poll, .. } = *call
            && !state.is_up
            && state.refuses
        {
            let timeout = Event::PollTimeout {
                owner: id,
                server,
                poll,
            };
            self.events.after(2, timeout);
        }
    }

    pub(super) fn server_arrival(&mut self, arrival: ServerArrival) {
        let ServerArrival {
            server,
            owner,
            host,
            token,
            call,
            is_late,
            reply,
        } = arrival;
        let now = self.now_ms();
        let state = &mut self.servers[server];
        // A connection ends with the process; only an order that the platform delays can meet a later incarnation.
        let is_connected = match &call {
            ServerCall::Start(request) => {
                is_late || request.lease_end_ms.valid_in(state.incarnation()).is_some()
            }
            _ => true,
        };
        if !state.is_up || !is_connected {
            if let Some(reply) = reply.filter(|reply| !matches!(reply, ServerReply::Poll { .. })) {
                self.events
                    .after(ORDER_TIMEOUT_MS, Event::ServerReply { owner, reply });
            }
            return;
        }
        let is_admitted = state.admit(token);
        let mut answer = reply;
        match call {
            ServerCall::Start(request) => {
                let outcome = if is_admitted {
                    self.start_run(server, host, &request, is_late)
                } else {
                    StartReply::Fenced
                };
                if let Some(ServerReply::Start { reply, .. }) = &mut answer {
                    *reply = outcome;
                }
            }
            ServerCall::Stop { task, run } => {
                if is_admitted {
                    self.stop_run(server, task, run);
                }
                if let Some(ServerReply::Stop { is_done, .. }) = &mut answer {
                    *is_done = is_admitted;
                }
            }
            ServerCall::Poll {
                server: key,
                poll,
                acknowledged_end,
                lease_end_ms,
                wait_ms,
                sent_ms,
            } => {
                if !is_admitted {
                    if let Some(reply) = answer {
                        self.events.after(1, Event::ServerReply { owner, reply });
                    }
                    return;
                }
                // Numbers of another incarnation are not sent on its connection.
                let incarnation = state.incarnation();
                let acknowledged =
                    acknowledged_end.and_then(|end| end.valid_in(incarnation).copied());
                let lease = lease_end_ms.and_then(|end| end.valid_in(incarnation).copied());
                self.renew_lease(server, lease);
                self.acknowledge(server, acknowledged.unwrap_or(0));
                if answer.is_none() {
                    return;
                }
                let state = &mut self.servers[server];
                state.waiting_polls.push(WaitingPoll {
                    owner,
                    server: key,
                    poll,
                    sent_ms,
                });
                if wait_ms == 0 || !state.ends.is_empty() {
                    self.answer_polls(server, |waiting| waiting.poll == poll);
                    return;
                }
                let life = state.started_unix_ms;
                let event = Event::PollDue { server, life, poll };
                self.events.at(now + wait_ms, event);
                return;
            }
        }
        if let Some(reply) = answer {
            self.events.after(1, Event::ServerReply { owner, reply });
        }
    }

    /// Answers the waiting polls of a server that `is_due` selects.
    pub(super) fn answer_polls(&mut self, server: usize, is_due: impl Fn(&WaitingPoll) -> bool) {
        let now = self.now_ms();
        let waiting = std::mem::take(&mut self.servers[server].waiting_polls);
        for poll in waiting {
            if !is_due(&poll) {
                self.servers[server].waiting_polls.push(poll);
                continue;
            }
            if !self.owner_reaches(poll.owner, server) {
                continue;
            }
            let report = self.servers[server].report(poll.sent_ms, now);
            let reply = ServerReply::Poll {
                server: poll.server,
                poll: poll.poll,
                report: Some(report),
            };
            let event = Event::ServerReply {
                owner: poll.owner,
                reply,
            };
            self.events.after(1, event);
        }
    }
}
