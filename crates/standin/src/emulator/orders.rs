//! Orders of an owner to its servers, and its polls.

use primrosestack_fleet::expiry::PollTiming;
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::server::Server;

use super::links::{ServerCall, ServerReply};
use super::{Event, World};

const POLL_RETRY_MS: u64 = 250;
const RECORDS_WAIT_MS: u64 = 250;

/// Polls of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PollState {
    /// Number of the poll under way, or of the pause after it.
    pub poll: u64,
    /// Incarnation that answered on the open connection.
    pub connected: Option<Incarnation>,
    /// Whether the next poll waits for records.
    awaits_records: bool,
}

impl World {
    /// Plans if planning is due, and carries out what was decided.
    pub(super) fn plan_and_execute(&mut self, id: usize) {
        let now = self.now_ms();
        let unix_ms = self.unix_ms();
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        if now >= owner.last_plan_ms + owner.shard.plan_interval_min_ms() {
            owner.last_plan_ms = now;
            let authority_end_ms = owner.authority_end_ms();
            owner.shard.plan(authority_end_ms, unix_ms, now);
        }
        for action in owner.shard.take_actions() {
            self.execute(id, action);
        }
        self.write_records(id);
    }

    fn execute(&mut self, id: usize, action: Action) {
        match action {
            Action::Start { server, request } => {
                let connected = self.connection(id, server);
                let Some(target) = self.target(id, server) else {
                    return;
                };
                let is_reached = self.owner_reaches(id, target);
                let present = is_reached.then(|| self.servers[target].incarnation());
                let expected = request.lease_end_ms.incarnation();
                // On a new connection, a poll without numbers tells which incarnation answers.
                let refusal = match (connected, present) {
                    (Some(connected), None) if connected == expected => None,
                    (_, None) => Some(StartReply::Refused),
                    (_, Some(present)) if request.lease_end_ms.valid_in(present).is_none() => {
                        Some(StartReply::OtherIncarnation)
                    }
                    _ => None,
                };
                if let Some(reply) = refusal {
                    let reply = ServerReply::Start {
                        server,
                        request,
                        reply,
                    };
                    self.events
                        .after(2, Event::ServerReply { owner: id, reply });
                    return;
                }
                let reply = ServerReply::Start {
                    server,
                    request: request.clone(),
                    reply: StartReply::Unknown,
                };
                self.call_server(id, target, ServerCall::Start(request), reply);
            }
            Action::Stop { server, task, run } => {
                let Some(target) = self.target(id, server) else {
                    return;
                };
                let reply = ServerReply::Stop {
                    server,
                    task,
                    run,
                    is_done: false,
                };
                self.call_server(id, target, ServerCall::Stop { task, run }, reply);
            }
            Action::Log(decision) => self.note(|| {
                let task = decision.task.map(|task| task.to_string());
                let server = decision.server.unwrap_or_default();
                let event = decision.event;
                let task = task.unwrap_or_default();
                format!("owner {id}: {event} {task} {server} {:?}", decision.inputs)
            }),
            Action::SetRate { .. } | Action::Advise { .. } => {}
        }
    }

    fn connection(&self, id: usize, server: ServerKey) -> Option<Incarnation> {
        self.owners[id].as_ref()?.polls.get(&server)?.connected
    }

    fn target(&self, id: usize, server: ServerKey) -> Option<usize> {
        let name = &self.owners[id].as_ref()?.shard.server(server)?.entry.name;
        self.servers.iter().position(|known| known.name == *name)
    }

    /// Begins to poll servers that are not polled yet.
    pub(super) fn spawn_polls(&mut self, id: usize) {
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        let keys = owner.shard.server_keys();
        for key in keys {
            let is_new = self.owners[id]
                .as_ref()
                .is_some_and(|owner| !owner.polls.contains_key(&key));
            if is_new {
                self.send_poll(id, key);
            }
        }
    }

    fn send_poll(&mut self, id: usize, server: ServerKey) {
        let now = self.now_ms();
        let target = self.target(id, server);
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        let Some(target) = target else {
            owner.polls.remove(&server);
            return;
        };
        let lease = owner.shard.lease(server, owner.authority_end_ms(), now);
        let PollTiming { wait_ms, grace_ms } = owner.shard.poll_timing(server, now);
        let acknowledged_end = owner.shard.server(server).and_then(Server::acknowledgement);
        if let Some((_, upper_bound_ms)) = lease {
            owner.shard.record_lease(server, upper_bound_ms, now);
        }
        self.polls += 1;
        let poll = self.polls;
        let state = owner.polls.entry(server).or_default();
        state.poll = poll;
        state.awaits_records = false;
        let call = ServerCall::Poll {
            server,
            poll,
            acknowledged_end,
            lease_end_ms: lease.map(|(end, _)| end),
            wait_ms,
            sent_ms: now,
        };
        let reply = ServerReply::Poll {
            server,
            poll,
            report: None,
        };
        self.call_server(id, target, call, reply);
        let timeout = Event::PollTimeout {
            owner: id,
            server,
            poll,
        };
        self.events.after(wait_ms + grace_ms, timeout);
    }

    pub(super) fn poll_timeout(&mut self, id: usize, server: ServerKey, poll: u64) {
        let Some(state) = self.poll_state(id, server, poll) else {
            return;
        };
        state.connected = None;
        self.pause_polls(id, server, POLL_RETRY_MS);
    }

    fn poll_state(&mut self, id: usize, server: ServerKey, poll: u64) -> Option<&mut PollState> {
        let state = self.owners[id].as_mut()?.polls.get_mut(&server)?;
        (state.poll == poll).then_some(state)
    }

    fn pause_polls(&mut self, id: usize, server: ServerKey, delay_ms: u64) {
        self.polls += 1;
        let poll = self.polls;
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        owner.polls.entry(server).or_default().poll = poll;
        let event = Event::NextPoll {
            owner: id,
            server,
            poll,
        };
        self.events.after(delay_ms, event);
    }

    pub(super) fn next_poll(&mut self, id: usize, server: ServerKey, poll: u64) {
        if self.poll_state(id, server, poll).is_some() {
            self.send_poll(id, server);
        }
    }

    /// Handles a reply of a server.
    pub(super) fn server_reply(&mut self, id: usize, reply: ServerReply) {
        let now = self.now_ms();
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        match reply {
            ServerReply::Start {
                server,
                request,
                reply,
            } => {
                if reply == StartReply::Unknown
                    && let Some(state) = owner.polls.get_mut(&server)
                {
                    state.connected = None;
                }
                if reply == StartReply::Fenced {
                    self.verify_term(id);
                }
                if let Some(owner) = &mut self.owners[id] {
                    owner.shard.start_replied(server, &request, reply, now);
                    self.plan_and_execute(id);
                }
            }
            ServerReply::Stop {
                server,
                task,
                run,
                is_done,
            } => {
                if is_done {
                    owner.shard.stop_replied(server, task, run, now);
                }
            }
            ServerReply::Poll {
                server,
                poll,
                report,
            } => {
                let Some(state) = self.poll_state(id, server, poll) else {
                    return;
                };
                let Some(report) = report else {
                    self.pause_polls(id, server, POLL_RETRY_MS);
                    self.verify_term(id);
                    return;
                };
                state.connected = Some(Incarnation::started_at(report.started_unix_ms));
                if let Some(owner) = &mut self.owners[id] {
                    owner.shard.apply_report(server, &report, now);
                }
                self.plan_and_execute(id);
                if !self.has_unrecorded_ends(id, server) {
                    self.send_poll(id, server);
                    return;
                }
                self.pause_polls(id, server, RECORDS_WAIT_MS);
                let owner = self.owners[id].as_mut();
                if let Some(state) = owner.and_then(|owner| owner.polls.get_mut(&server)) {
                    state.awaits_records = true;
                }
            }
        }
    }

    fn has_unrecorded_ends(&self, id: usize, server: ServerKey) -> bool {
        let owner = self.owners[id].as_ref();
        owner
            .and_then(|owner| owner.shard.server(server))
            .is_some_and(|state| state.acknowledged_end < state.last_seen_end)
    }

    /// Polls the servers again whose ends have been recorded.
    pub(super) fn poll_recorded(&mut self, id: usize) {
        let Some(owner) = &self.owners[id] else {
            return;
        };
        let waiting = owner.polls.iter().filter(|(_, state)| state.awaits_records);
        let keys: Vec<ServerKey> = waiting.map(|(&key, _)| key).collect();
        for key in keys {
            if !self.has_unrecorded_ends(id, key) {
                self.send_poll(id, key);
            }
        }
    }
}
