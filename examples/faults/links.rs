//! Links between hosts and the store and backend servers.

use primrosestack_core::journal::{Head, decode_entries};
use primrosestack_core::peer_frame::RequestAnswer;
use primrosestack_core::prelude::*;
use rand::Rng;

use crate::checks::{Checked, Started, body_of, require};
use crate::host::{HOST_NAMES, Input, Purpose};
use crate::network::{STORE, server_node};
use crate::schedule::{Fault, SECOND_US};
use crate::server::Course;
use crate::world::{Ask, Order, Wake, World};

const STORE_TIMEOUT_US: u64 = 1_500_000;
const COMMAND_TIMEOUT_US: u64 = 1_000_000;

impl World {
    pub(crate) fn send_store(
        &mut self,
        host: usize,
        id: &HostId,
        purpose: Purpose,
        call: &StoreCall,
    ) {
        if let Purpose::Shard(shard, op) = purpose {
            let event = Event::Store {
                op,
                reply: StoreReply::Lost,
            };
            self.push_answer(
                STORE_TIMEOUT_US,
                host,
                id.incarnation,
                (shard, op, 0),
                event,
            );
        }
        let refused = self.network.cut(host, STORE) && self.network.random.random_ratio(1, 2);
        if refused {
            self.stored(
                host,
                id.incarnation,
                purpose,
                StoreReply::Unavailable,
                2_000,
            );
            return;
        }
        let copies = self.network.transit(host, STORE);
        for delay_us in &copies {
            let delay_us = delay_us + self.network.store_delay_us();
            let ask = Ask {
                host,
                incarnation: id.incarnation,
                purpose: purpose.clone(),
                call: call.clone(),
                sole: copies.len() == 1,
            };
            self.push_after(delay_us, Wake::Store(ask));
        }
    }

    pub(crate) fn store_call(&mut self, ask: &Ask) -> Checked {
        let down = self.network.any(|fault| matches!(fault, Fault::StoreDown));
        let mute = self.network.any(|fault| matches!(fault, Fault::StoreMute));
        if down {
            if ask.sole && self.network.random.random_ratio(1, 2) {
                let reply = StoreReply::Unavailable;
                self.stored(ask.host, ask.incarnation, ask.purpose.clone(), reply, 500);
            }
            return Ok(());
        }
        let reply = self.store.call(&ask.call);
        self.record(&ask.call, &reply)?;
        if mute && self.network.random.random_ratio(3, 4) {
            return Ok(());
        }
        for delay_us in self.network.transit(STORE, ask.host) {
            let delay_us = delay_us + self.network.store_delay_us();
            let purpose = ask.purpose.clone();
            self.stored(ask.host, ask.incarnation, purpose, reply.clone(), delay_us);
        }
        Ok(())
    }

    /// Reads the new records of a head that was written.
    fn record(&mut self, call: &StoreCall, reply: &StoreReply) -> Checked {
        let (StoreCall::CompareAndSwap { key, value, .. }, StoreReply::Written { .. }) =
            (call, reply)
        else {
            return Ok(());
        };
        let head = key.ends_with("/head").then(|| Head::read(value));
        let Some(Ok(head)) = head else {
            return Ok(());
        };
        let shard = usize::from(key.contains("/1/"));
        let known = std::mem::replace(&mut self.tails[shard], head.tail);
        let tail = &self.tails[shard];
        // A snapshot cuts the front off the tail.
        let kept = (0..=known.len()).find(|cut| tail.starts_with(&known[*cut..]));
        let new = &tail[known.len() - kept.unwrap_or(known.len())..];
        match decode_entries(new) {
            Ok(entries) => self.checks.recorded(shard, head.term, entries),
            Err(error) => require(false, "unreadable journal", || error.to_string()),
        }
    }

    fn stored(
        &mut self,
        host: usize,
        incarnation: u64,
        purpose: Purpose,
        reply: StoreReply,
        delay_us: u64,
    ) {
        if let Purpose::Shard(shard, op) = purpose {
            let event = Event::Store { op, reply };
            self.push_answer(delay_us, host, incarnation, (shard, op, 0), event);
            return;
        }
        let input = Input::Stored(purpose, reply);
        self.push_after(delay_us, Wake::Input(host, Some(incarnation), input));
    }

    fn push_answer(
        &mut self,
        delay_us: u64,
        host: usize,
        incarnation: u64,
        (shard, op, term): (usize, OpId, u64),
        event: Event,
    ) {
        let input = Input::Answer {
            shard,
            op,
            term,
            event,
        };
        self.push_after(delay_us, Wake::Input(host, Some(incarnation), input));
    }

    pub(crate) fn send_command(&mut self, id: &HostId, order: &Order) -> Checked {
        if let ServerCommand::Start {
            task,
            attempt,
            resume,
            ..
        } = &order.command
        {
            self.checks.start_sent(
                self.now_us,
                id,
                order.server,
                (*task, *attempt),
                resume.as_ref(),
            )?;
        }
        let event = Event::Server {
            op: order.op,
            reply: ServerReply::Lost,
        };
        let answer = (order.shard, order.op, order.epoch.term);
        self.push_answer(
            COMMAND_TIMEOUT_US,
            order.host,
            id.incarnation,
            answer,
            event,
        );
        for delay_us in self.network.transit(order.host, server_node(order.server)) {
            self.push_after(delay_us, Wake::Command(id.clone(), order.clone()));
        }
        Ok(())
    }

    pub(crate) fn command(&mut self, by: &HostId, order: &Order) -> Checked {
        self.sweep();
        let at = order.server;
        if !self.servers[at].up {
            return Ok(());
        }
        let mut stops = None;
        if let ServerCommand::Renew { acknowledged, .. } = &order.command {
            // Counted before the server performs it, since the server then forgets the attempts.
            let runs = &self.servers[at].runs;
            for attempt in acknowledged {
                if let Some(run) = runs.get(attempt) {
                    self.checks
                        .acknowledged(order.epoch.term, run.task, *attempt);
                }
            }
        }
        if let ServerCommand::Stop { attempt } = &order.command {
            let running = self.servers[at].runs.get(attempt);
            stops = running
                .filter(|run| run.end.is_none())
                .map(|run| (run.task, *attempt));
        }
        let course = self.course(at, &order.command);
        let now_us = self.now_us;
        let reply = self.servers[at].command(now_us, order.epoch, by, &order.command, course);
        self.note(|| format!("server {at} answers {reply:?} to {:?}", order.command));
        if let (Some((task, attempt)), ServerReply::Done) = (stops, &reply) {
            self.checks.stopped(task, attempt)?;
        }
        self.after_command(order, &reply)?;
        for delay_us in self.network.transit(server_node(at), order.host) {
            let event = Event::Server {
                op: order.op,
                reply: reply.clone(),
            };
            let answer = (order.shard, order.op, order.epoch.term);
            self.push_answer(delay_us, order.host, by.incarnation, answer, event);
        }
        Ok(())
    }

    fn after_command(&mut self, order: &Order, reply: &ServerReply) -> Checked {
        let server = &self.servers[order.server];
        match (&order.command, reply) {
            (
                ServerCommand::Start {
                    task,
                    attempt,
                    resume,
                    ..
                },
                ServerReply::Done,
            ) => {
                self.checks.started(&Started {
                    server: order.server,
                    task: *task,
                    attempt: *attempt,
                    resumes: resume.is_some(),
                })?;
                let load = server.load();
                require(load.fits_in(server.size), "overfilled", || {
                    format!("server {} holds {load:?}", order.server)
                })
            }
            _ => Ok(()),
        }
    }

    fn course(&self, server: usize, command: &ServerCommand) -> Course {
        let faulty = self
            .network
            .any(|fault| matches!(fault, Fault::Faulty(faulty) if *faulty == server));
        let job = match command {
            ServerCommand::Start { task, .. } => usize::try_from(task.job.0).unwrap_or_default(),
            _ => 0,
        };
        let plan = &self.schedule.jobs[job];
        Course {
            work_ms: if faulty { 50 } else { plan.work_ms },
            fails: faulty || plan.fails,
        }
    }

    pub(crate) fn request(
        &mut self,
        by: &HostId,
        server: usize,
        epoch: Epoch,
        request: String,
        key: u64,
    ) -> Checked {
        if !self.servers[server].up {
            return Ok(());
        }
        let body = body_of(key).into_bytes();
        let Some(answer) = self.servers[server].request(epoch, by, &request, body) else {
            return Ok(());
        };
        self.checks.request_run(key)?;
        let delay_us = self.network.random.random_range(1_000..8 * SECOND_US);
        self.push_after(delay_us, Wake::Answer(by.clone(), request, answer));
        Ok(())
    }

    /// An answer arrives; sometimes on a connection on which another request waits by now.
    pub(crate) fn answer(&mut self, by: &HostId, request: String, answer: RequestAnswer) {
        let host = HOST_NAMES.iter().position(|(name, _)| *name == by.name);
        let Some(host) = host else {
            return;
        };
        let Some(process) = &self.hosts[host].process else {
            return;
        };
        let other = process.waiting.keys().find(|other| **other != request);
        let swapped = other.cloned();
        let confused = self.network.random.random_ratio(1, 2);
        let waiting = swapped.filter(|_| confused).unwrap_or(request);
        let input = Input::Request(waiting, answer);
        self.push_after(1, Wake::Input(host, Some(by.incarnation), input));
    }
}
