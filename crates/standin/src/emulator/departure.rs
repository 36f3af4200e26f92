//! Owners that are separated from the store and from some servers, and servers that drain and leave.

use super::host::LostLinks;
use super::store::{Transaction, registration_key};
use super::{Event, Fault, World};

/// Time without a fault of the sender, the store and the server after which a late start counts.
const CALM_MS: u64 = 3_000;

impl World {
    /// Links that a host lacks now.
    pub(super) fn lost_links(&self, host: usize) -> LostLinks {
        let lost = self.hosts[host].lost_links;
        if self.now_ms() < lost.until_ms {
            lost
        } else {
            LostLinks::default()
        }
    }

    pub(super) fn split_owner(&mut self, domain: usize, kept: u64, until_ms: u64) {
        let announced = self.domains[domain].announcement.owner;
        let owner = announced.and_then(|id| self.owners[id].as_ref());
        let Some(host) = owner.map(|owner| owner.host) else {
            return;
        };
        self.note(|| format!("host {host} is separated"));
        for (other, state) in self.hosts.iter_mut().enumerate() {
            state.lost_links = LostLinks {
                until_ms,
                servers: if other == host { !kept } else { kept },
                hosts: other == host,
            };
        }
        self.hosts[host].store_cut_until_ms = until_ms;
    }

    /// Has a server announce that it leaves.
    pub(super) fn drain_server(&mut self, server: usize, leaves_in_ms: u64) {
        let now = self.now_ms();
        let state = &mut self.servers[server];
        if !state.is_up || state.leaves_ms.is_some() {
            return;
        }
        state.leaves_ms = Some(now + leaves_in_ms);
        let life = state.started_unix_ms;
        self.register(server);
        let departure = Fault::LeaveServer { server, life };
        self.events.after(leaves_in_ms, Event::Fault(departure));
    }

    /// Ends the process of a server for good, and its registration.
    pub(super) fn leave(&mut self, server: usize, life: u64) {
        if !self.is_life(server, life) {
            return;
        }
        self.servers[server].is_lost = true;
        self.restart_server(server, 0);
        if self.now_ms() >= self.store_faults.down {
            let state = &self.servers[server];
            let key = registration_key(state.domain, &state.name);
            self.commit_unconditionally(&Transaction::default().remove(key));
        }
    }

    /// Time for which a server has been draining by its registration; `None` if it is not, or if a fault may have held up
    /// the news or a start.
    pub(super) fn drained_ms(&self, server: usize, host: usize) -> Option<u64> {
        let now = self.now_ms();
        let state = &self.servers[server];
        let faults = &self.store_faults;
        let disturbed_until_ms = [
            state.cut_until_ms,
            state.late_until_ms,
            state.lossy_until_ms,
            faults.down,
            faults.slow,
            faults.lossy,
            faults.late,
            self.hosts[host].frozen_until_ms,
            self.domains[state.domain].cut_until_ms,
        ];
        let last_ms = disturbed_until_ms.into_iter().max().unwrap_or(0);
        let announced_ms = state.announced_ms?;
        (self.in_touch(host) && now >= last_ms + CALM_MS).then(|| now - announced_ms)
    }
}
