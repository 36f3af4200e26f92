//! State of the backend servers of a shard, and the calls that claim servers and renew leases.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::health::Health;
use crate::lease::{LEASE_MS, lease_expiry, release_lease_expiry};
use crate::ownership::Role;
use crate::placement::RackPoolKey;
use crate::prelude::*;
use crate::shard::{Call, OutstandingCall, Shard};

/// Interval between renewals at one server, in milliseconds. A report on 22 tasks is about 5 KB of JSON, so 2 s keeps
/// the control traffic of a server under 5 KB/s and tolerates four lost renewals before a lease expires.
pub const RENEW_MS: u64 = 2_000;

/// Time without a report after which a server receives no new tasks, in milliseconds.
pub const SILENT_MS: u64 = 3_000;

/// Delay before the retry of a refused claim or a lost report, in milliseconds.
const RETRY_MS: u64 = 500;

/// Whether the journal contains a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Journaled {
    /// Not in the journal.
    #[default]
    No,
    /// The record is being committed.
    Committing,
    /// In the journal; tasks may be placed on the server.
    Yes,
}

/// Membership of a server in the shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Membership {
    /// Member that is not leaving.
    #[default]
    Member,
    /// Leaving, according to the host list.
    Leaving,
    /// Left, or declared gone by an operator.
    Gone,
}

#[derive(Clone, Debug, Default)]
pub struct Server {
    pub name: SmolStr,
    pub rack: SmolStr,
    /// Rack pool, valid once the server is in the journal.
    pub rack_pool: RackPoolKey,
    /// Capacity for batch tasks.
    pub size: Resources,
    /// Capacity that batch tasks must leave free for latency-critical requests.
    pub withheld: Resources,
    pub membership: Membership,
    pub journaled: Journaled,
    /// Epoch of the latest report to this host in its current role.
    pub acked_epoch: Option<Epoch>,
    /// Highest epoch that the server gave as the reason for refusing a command.
    pub fenced_epoch: Option<Epoch>,
    /// Timestamp of the latest report, on the clock of the server.
    pub last_timestamp: ServerTimestamp,
    /// Boot identifier in the latest report.
    pub boot_id: u64,
    /// When the latest report arrived.
    pub last_report: Option<MonoMs>,
    /// Outstanding call that requests a report.
    pub report_op: Option<OpId>,
    /// When to request the next report.
    pub next_report: MonoMs,
    /// Attempts that may be running on the server, sorted.
    pub attempts: Vec<(Attempt, TaskId)>,
    /// Ended attempts to acknowledge with the next renewal.
    pub pending_acks: Vec<Attempt>,
    /// Whether all leases have certainly expired since the latest report.
    pub leases_expired: bool,
    /// Whether an operator declared the server gone. It takes effect once the previous owner can no longer start tasks
    /// there.
    pub declared_gone: bool,
    /// Outcomes of recent starts.
    pub health: Health,
    /// Whether the scheduler may place tasks on the server.
    pub open: bool,
}

impl Server {
    /// Whether no report has arrived for `SILENT_MS`.
    #[must_use]
    pub fn is_silent(&self, now: MonoMs) -> bool {
        let last_report = self.last_report;
        last_report.is_none_or(|at| now >= at + DurationMs(SILENT_MS))
    }

    /// Whether the server is leaving but not gone.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.membership == Membership::Leaving
    }

    /// Whether the server has left or was declared gone.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.membership == Membership::Gone
    }

    pub(crate) fn add_attempt(&mut self, attempt: Attempt, task: TaskId) {
        if let Err(at) = self.attempts.binary_search(&(attempt, task)) {
            self.attempts.insert(at, (attempt, task));
        }
    }

    pub(crate) fn drop_attempt(&mut self, attempt: Attempt, task: TaskId) {
        if let Ok(at) = self.attempts.binary_search(&(attempt, task)) {
            self.attempts.remove(at);
        }
    }
}

/// Arena of the servers of a shard.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: Vec<Server>,
    names: BTreeMap<SmolStr, ServerKey>,
}

impl Fleet {
    #[must_use]
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key.0 as usize)
    }

    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key.0 as usize)
    }

    /// Returns the key of a server name.
    #[must_use]
    pub fn key(&self, name: &str) -> Option<ServerKey> {
        self.names.get(name).copied()
    }

    /// Returns the key of a server name, and adds the server if it is new.
    pub fn key_or_add(&mut self, name: &SmolStr, rack: &SmolStr) -> ServerKey {
        if let Some(key) = self.key(name) {
            return key;
        }
        let key = ServerKey(u32::try_from(self.servers.len()).unwrap_or(u32::MAX));
        self.servers.push(Server {
            name: name.clone(),
            rack: rack.clone(),
            ..Server::default()
        });
        self.names.insert(name.clone(), key);
        key
    }

    /// Iterates over the servers that are not gone.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        let keys = (0..).map(ServerKey);
        keys.zip(&self.servers)
            .filter(|(_, server)| !server.is_gone())
    }

    /// Returns the keys of the servers that are not gone.
    #[must_use]
    pub fn keys(&self) -> Vec<ServerKey> {
        self.iter().map(|(key, _)| key).collect()
    }

    /// Resets the state that a role has gathered; names, sizes and membership stay.
    pub fn reset(&mut self) {
        for server in &mut self.servers {
            *server = Server {
                name: std::mem::take(&mut server.name),
                rack: std::mem::take(&mut server.rack),
                size: server.size,
                withheld: server.withheld,
                membership: server.membership,
                ..Server::default()
            };
        }
    }
}

impl Shard {
    /// Adds or updates a server from the host list.
    pub(crate) fn server_listed(
        &mut self,
        name: &SmolStr,
        rack: &SmolStr,
        size: Resources,
        leaving: bool,
    ) {
        let key = self.fleet.key_or_add(name, rack);
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        if server.is_gone() && leaving {
            return;
        }
        let resized = server.size != size;
        server.size = size;
        server.membership = if leaving {
            Membership::Leaving
        } else {
            Membership::Member
        };
        let journaled = server.journaled == Journaled::Yes;
        let rack_pool = server.rack_pool;
        if self.role != Role::Owner {
            return;
        }
        if journaled && resized {
            self.scheduler.put_server(key, rack_pool, size);
            self.update_pool_capacity();
            self.unpark_fitting();
            self.park_too_large();
        }
        if leaving {
            self.evict_all_tasks(key);
        }
        self.journal_server(key);
        self.update_open(key);
    }

    /// Requests the reports that are due, and detects expired leases.
    pub(crate) fn tick_servers(&mut self) {
        if self.command_epoch().is_none() {
            return;
        }
        for key in self.fleet.keys() {
            let Some(server) = self.fleet.get(key) else {
                continue;
            };
            if server.report_op.is_none() && self.now >= server.next_report {
                self.request_report(key);
            }
            if self.role == Role::Owner {
                self.finish_declared_gone(key);
                self.check_lease_expiry(key);
                self.update_open(key);
            }
        }
    }

    /// Sends a claim or a renewal, unless one is outstanding.
    pub(crate) fn request_report(&mut self, key: ServerKey) {
        let Some(epoch) = self.command_epoch() else {
            return;
        };
        let may_renew = epoch.rank == 1 || self.owner_state.authority.holds(self.now);
        let next_report = self.now + DurationMs(RENEW_MS);
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        if server.report_op.is_some() || server.is_gone() || server.fenced_epoch >= Some(epoch) {
            return;
        }
        server.next_report = next_report;
        let command = if server.acked_epoch == Some(epoch) {
            let attempts = server.attempts.iter().map(|(attempt, _)| *attempt);
            ServerCommand::Renew {
                stamp: server.last_timestamp,
                lease_ms: LEASE_MS,
                attempts: if may_renew {
                    attempts.collect()
                } else {
                    Vec::new()
                },
                acknowledged: std::mem::take(&mut server.pending_acks),
            }
        } else {
            ServerCommand::Claim
        };
        server.report_op = Some(OpId(self.last_op + 1));
        self.command(Call::Report(key), key, command);
    }

    /// Handles a call that requested a report but did not return one.
    pub(crate) fn report_failed(&mut self, key: ServerKey, op: OpId) {
        let retry = self.now + DurationMs(RETRY_MS);
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        if server.report_op != Some(op) {
            return;
        }
        server.report_op = None;
        server.next_report = server.next_report.min(retry);
    }

    /// Handles the refusal of an epoch. The tasks of the server count as running until it reports again.
    pub(crate) fn command_fenced(&mut self, outstanding: &OutstandingCall, highest: Epoch) {
        let Some(key) = outstanding.call.server() else {
            return;
        };
        let retry = self.now + DurationMs(RETRY_MS);
        if let Some(server) = self.fleet.get_mut(key) {
            if matches!(outstanding.call, Call::Report(_)) {
                server.report_op = None;
                server.next_report = retry;
            }
            server.acked_epoch = None;
            server.fenced_epoch = server.fenced_epoch.max(Some(highest));
        }
        if let Call::Start(_, task, attempt) = outstanding.call {
            self.start_refused(key, task, attempt, false);
        }
        self.higher_epoch_reported(highest);
        if self.role == Role::Owner {
            self.update_open(key);
        }
    }

    /// Returns when the leases at a silent server have certainly expired; `None` while a release is missing.
    pub(crate) fn leases_expire_at(&self, server: &Server) -> Option<MonoMs> {
        let drift_ppm = self.config.clock_drift_ppm;
        let acked_term = server.acked_epoch.map_or(0, |epoch| epoch.term);
        let mut at = match server.last_report {
            Some(last_report) => lease_expiry(last_report, drift_ppm),
            None => self.owner_state.previous_leases_end,
        };
        for entry in &self.owner_state.unreleased {
            if entry.term >= acked_term {
                at = at.max(release_lease_expiry(entry.released?, drift_ppm));
            }
        }
        Some(at)
    }

    /// Whether the designated successor has certainly not renewed leases at rank 1 of the current term.
    pub(crate) fn excludes_rank_1(&self) -> bool {
        let authority = &self.owner_state.authority;
        match &self.owner_state.successor {
            Some(_) => authority.is_promised(self.now),
            None => authority.holds(self.now),
        }
    }

    fn check_lease_expiry(&mut self, key: ServerKey) {
        let Some(server) = self.fleet.get(key) else {
            return;
        };
        if server.leases_expired || !server.is_silent(self.now) || !self.excludes_rank_1() {
            return;
        }
        let Some(expired_at) = self.leases_expire_at(server).filter(|at| self.now >= *at) else {
            return;
        };
        // A promise binds the successor only. Another host may have taken over and may renew leases at a server that
        // this host cannot reach, so the store must confirm that there was no higher term.
        if !self.owner_state.authority.is_confirmed_since(expired_at) {
            self.read_head();
            return;
        }
        self.expire_leases(key);
    }

    /// Marks the leases of a server as expired; none of its attempts is running any more.
    pub(crate) fn expire_leases(&mut self, key: ServerKey) {
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        server.leases_expired = true;
        server.acked_epoch = None;
        let name = server.name.clone();
        let rack_pool = server.rack_pool;
        let suspects = self.crash_suspects(key);
        let attempts = self
            .fleet
            .get_mut(key)
            .map(|server| std::mem::take(&mut server.attempts));
        self.update_open(key);
        self.log("server_lapsed", None, &name);
        for (attempt, task) in attempts.unwrap_or_default() {
            self.attempt_gone(task, attempt);
        }
        self.count_loss(key, &suspects, false);
        self.resolve_rack_pool(rack_pool);
        self.remove_if_left(key);
    }

    /// Updates the scheduler on whether tasks may be placed on a server.
    pub(crate) fn update_open(&mut self, key: ServerKey) {
        let epoch = self.command_epoch();
        let owner = self.role == Role::Owner;
        let now = self.now;
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        let open = owner
            && server.journaled == Journaled::Yes
            && server.membership == Membership::Member
            && !server.leases_expired
            && server.acked_epoch.is_some()
            && server.acked_epoch == epoch
            && !server.is_silent(now)
            && server.health.allows_start(now);
        if server.open != open {
            server.open = open;
            self.scheduler.set_open(key, open);
        }
    }

    /// Handles the declaration of an operator that nothing runs on a server.
    pub(crate) fn server_declared_gone(&mut self, name: &SmolStr) {
        let Some(key) = self.fleet.key(name) else {
            return;
        };
        if self.role == Role::Owner && self.now < self.owner_state.previous_leases_end {
            // Until then the previous owner may hold authority, and a server that returns could execute its commands.
            if let Some(server) = self.fleet.get_mut(key) {
                server.declared_gone = true;
            }
            return;
        }
        if self.role == Role::Owner {
            self.expire_leases(key);
        }
        self.remove_server(key);
    }

    fn finish_declared_gone(&mut self, key: ServerKey) {
        let server = self.fleet.get(key);
        let is_due = self.now >= self.owner_state.previous_leases_end;
        if is_due && server.is_some_and(|server| server.declared_gone && !server.is_gone()) {
            self.expire_leases(key);
            self.remove_server(key);
        }
    }

    /// Removes a leaving server whose leases have expired.
    fn remove_if_left(&mut self, key: ServerKey) {
        let Some(server) = self.fleet.get(key) else {
            return;
        };
        if server.is_leaving() && server.leases_expired {
            self.remove_server(key);
        }
    }

    fn remove_server(&mut self, key: ServerKey) {
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        server.membership = Membership::Gone;
        let was_journaled = server.journaled == Journaled::Yes;
        let (name, rack_pool) = (server.name.clone(), server.rack_pool);
        server.journaled = Journaled::No;
        if self.role != Role::Owner || !was_journaled {
            return;
        }
        self.scheduler.set_open(key, false);
        self.scheduler
            .put_server(key, rack_pool, Resources::default());
        self.append(crate::journal::Entry::ServerGone(name.to_string()));
        self.update_pool_capacity();
        self.park_too_large();
    }
}
