//! Performs the schedule: faults begin and end, the host list is read, callers call.

use primrosestack_core::prelude::*;
use rand::Rng;

use crate::callers::Next;
use crate::checks::Checked;
use crate::host::{HOST_NAMES, Input, Process, shard_of};
use crate::network::{STORE, server_node};
use crate::schedule::{Deed, Fault, HOSTS, SECOND_US, SERVERS, SHARDS, TEAMS};
use crate::world::{Wake, World};

const LISTING_US: u64 = 2 * SECOND_US;
const CALLER_TIMEOUT_US: u64 = 6 * SECOND_US;

impl World {
    pub(crate) fn list(&mut self, host: usize) {
        self.push_after(LISTING_US, Wake::List(host));
        if self.network.cut(host, STORE) || self.network.cut(STORE, host) {
            return;
        }
        let lag_us = self.network.random.random_range(1_000..LISTING_US);
        for at in 0..SERVERS {
            let leaving = self
                .network
                .any(|fault| matches!(fault, Fault::Leaving(leaving) if *leaving == at));
            let server = &self.servers[at];
            let event = Event::ServerListed {
                server: server.name.clone(),
                rack: server.rack.clone(),
                size: server.size,
                leaving,
            };
            let input = Input::Shard(server.shard, event);
            self.push_after(lag_us, Wake::Input(host, None, input));
        }
    }

    /// An operator declares a server gone at every host that is not paused; only true while the server is down.
    pub(crate) fn declare(&mut self, server: usize) -> Checked {
        if self.servers[server].up {
            return Ok(());
        }
        for host in 0..HOSTS {
            if !self.paused(host) {
                let server = &self.servers[server];
                let shard = server.shard;
                let server = server.name.clone();
                self.deliver(
                    host,
                    Input::Shard(shard, Event::ServerDeclaredGone { server }),
                )?;
            }
        }
        Ok(())
    }

    pub(crate) fn fault(&mut self, fault: usize, active: bool) -> Checked {
        let fault = self.network.set(fault, active);
        self.note(|| format!("{} {fault:?}", if active { "begin" } else { "end" }));
        match (&fault, active) {
            (Fault::StoreRestored, true) => self.store.back_up(),
            (Fault::StoreRestored, false) => self.store.restore(),
            (Fault::Pause(host), false) if !self.paused(*host) => {
                if self.network.random.random_ratio(1, 2) {
                    self.deliver(*host, Input::Tick)?;
                }
                for input in std::mem::take(&mut self.hosts[*host].backlog) {
                    self.deliver(*host, input)?;
                }
            }
            (Fault::Death(host), true) => self.hosts[*host].process = None,
            (Fault::Stop(host), true) => self.deliver(*host, Input::Stop)?,
            (Fault::Stop(host) | Fault::Death(host), false) => {
                self.hosts[*host].process = None;
                let dead = |fault: &Fault| matches!(fault, Fault::Death(dead) if dead == host);
                if !self.network.any(dead) {
                    self.start_process(*host);
                }
            }
            (Fault::Crash(server) | Fault::Gone(server), true) => {
                self.sweep();
                self.servers[*server].crash();
                self.checks.crashed(*server);
                if matches!(fault, Fault::Gone(_)) {
                    self.push_after(2 * SECOND_US, Wake::Declare(*server));
                }
            }
            (Fault::Crash(server) | Fault::Gone(server), false) => {
                let down = |fault: &Fault| matches!(fault, Fault::Crash(down) | Fault::Gone(down) if down == server);
                if !self.network.any(down) {
                    self.servers[*server].boot(self.now_us);
                }
            }
            _ => {}
        }
        Ok(())
    }

    pub(crate) fn deed(&mut self, deed: usize) -> Checked {
        let deed = self.schedule.deeds[deed].1.clone();
        self.note(|| format!("{deed:?}"));
        let host = self.network.random.random_range(0..HOSTS);
        for caller in self.callers.add(&deed, host) {
            self.call(caller);
        }
        match deed {
            Deed::Pressure { server, millicores } => {
                let need = Resources {
                    millicores,
                    ..Resources::default()
                };
                for host in 0..HOSTS {
                    let server = &self.servers[server];
                    let event = Event::ReclaimRequested {
                        server: server.name.clone(),
                        need,
                    };
                    self.deliver(host, Input::Shard(server.shard, event))?;
                }
            }
            Deed::Edit { team, hosts } => {
                let team = TEAMS[team];
                for host in hosts {
                    let documents = self.hosts[host].process.iter().flat_map(Process::documents);
                    let based = documents
                        .filter(|document| document.team == team)
                        .map(|document| document.revision);
                    let if_match = based.max().unwrap_or(0);
                    let text = format!("{} {}", HOST_NAMES[host].0, self.pushed);
                    let input = Input::Edit(team, if_match, text);
                    self.push_after(1, Wake::Input(host, None, input));
                }
            }
            _ => {}
        }
        Ok(())
    }

    pub(crate) fn call(&mut self, caller: usize) {
        let state = &mut self.callers.list[caller];
        let host = state.host;
        state.host = (host + 1) % HOSTS;
        let shard = state.shard;
        let Some(process) = &self.hosts[host].process else {
            self.push_after(SECOND_US / 5, Wake::Call(caller));
            return;
        };
        let id = process.id.clone();
        let jobs = &self.schedule.jobs;
        let (token, event) = self.callers.call(caller, &id, jobs, &mut self.checks);
        let input = Input::Shard(shard, event);
        self.push_after(500, Wake::Input(host, Some(id.incarnation), input));
        self.push_after(CALLER_TIMEOUT_US, Wake::Expire(caller, token));
    }

    pub(crate) fn reply(
        &mut self,
        host: usize,
        id: &HostId,
        token: CallerToken,
        reply: &CallerReply,
    ) -> Checked {
        let (caller, next) = self.callers.reply(id, token, reply, &mut self.checks)?;
        match next {
            Next::Done => {}
            Next::Retry(delay_us) => self.push_after(delay_us, Wake::Call(caller)),
            Next::Send(key) => {
                let request = format!("request-{}", token.0);
                let server = self.network.random.random_range(0..SERVERS / SHARDS) * SHARDS;
                let server = server + shard_of(key);
                let now = self.hosts[host].clock.read(self.now_us);
                let Some(process) = &mut self.hosts[host].process else {
                    return Ok(());
                };
                let shard = &process.shards[shard_of(key)];
                let epoch = shard
                    .server_key(&self.servers[server].name)
                    .and_then(|server| shard.request_epoch(server, now));
                let Some(epoch) = epoch else {
                    return Ok(());
                };
                process.waiting.insert(request.clone(), key);
                // A request is sent once on one connection, so the network does not double it.
                let delay_us = self.network.transit(host, server_node(server));
                if let Some(delay_us) = delay_us.first() {
                    let wake = Wake::Request(id.clone(), server, epoch, request, key);
                    self.push_after(*delay_us, wake);
                }
            }
        }
        Ok(())
    }
}
