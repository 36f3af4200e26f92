//! The backend servers of a shard as this host knows them, and the calls that renew leases.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::health::Health;
use crate::lease::{LEASE_MS, lease_expiry, release_lease_expiry};
use crate::ownership::Role;
use crate::placement::CellKey;
use crate::prelude::*;
use crate::shard::{Call, OutstandingCall, Shard};

/// Time between two renewals at one server, in milliseconds. At 22 tasks a report is about 5 KB of JSON, so 2 s keeps
/// a server's control traffic under 5 KB/s and allows four lost renewals before a lease lapses.
pub const RENEW_MS: u64 = 2_000;

/// Time without a report after which a server gets no new work, in milliseconds.
pub const SILENT_MS: u64 = 3_000;

/// Time after a refused claim or a lost report before the next try, in milliseconds.
const RETRY_MS: u64 = 500;

/// Whether the journal names a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Journaled {
    /// It does not.
    #[default]
    No,
    /// The record is being committed.
    Waiting,
    /// It does; tasks may be placed on it.
    Yes,
}

/// Whether a server stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Membership {
    /// It stays.
    #[default]
    Member,
    /// The host list says that it is leaving.
    Leaving,
    /// It left, or was declared gone.
    Gone,
}

/// One backend server.
#[derive(Clone, Debug, Default)]
pub struct Server {
    /// Name.
    pub name: SmolStr,
    /// Rack.
    pub rack: SmolStr,
    /// Cell, once the journal names the server.
    pub rack_pool: CellKey,
    /// What it can hold for batch.
    pub size: Resources,
    /// What batch must leave free for latency-critical requests.
    pub withheld: Resources,
    /// Whether it stays.
    pub membership: Membership,
    /// Whether the journal names it.
    pub journaled: Journaled,
    /// Epoch under which it last answered this host, in the present role.
    pub acked_epoch: Option<Epoch>,
    /// Highest epoch for which it refused a command of this host.
    pub fenced_epoch: Option<Epoch>,
    /// Latest stamp.
    pub last_timestamp: ServerTimestamp,
    /// Boot that wrote the latest stamp.
    pub boot_id: u64,
    /// When the latest report arrived.
    pub last_report: Option<MonoMs>,
    /// Outstanding call for a report.
    pub report_op: Option<OpId>,
    /// When the next report is due.
    pub next_report: MonoMs,
    /// Attempts that may run there, sorted.
    pub attempts: Vec<(Attempt, TaskId)>,
    /// Ended attempts that the server may forget.
    pub pending_acks: Vec<Attempt>,
    /// Whether its leases have certainly lapsed since the latest report.
    pub leases_expired: bool,
    /// An operator declared it gone, which takes effect once the previous owner can start nothing there any more.
    pub declared_gone: bool,
    /// Failures of starts.
    pub health: Health,
    /// Whether the scheduler may place tasks there.
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

    /// Whether the server left or was declared gone.
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

/// Arena of servers.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: Vec<Server>,
    names: BTreeMap<SmolStr, ServerKey>,
}

impl Fleet {
    /// The server of a key.
    #[must_use]
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key.0 as usize)
    }

    /// The server of a key.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key.0 as usize)
    }

    /// The key of a name.
    #[must_use]
    pub fn key(&self, name: &str) -> Option<ServerKey> {
        self.names.get(name).copied()
    }

    /// The key of a name; adds the server if it is new.
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

    /// All servers that are not gone, with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        let keys = (0..).map(ServerKey);
        keys.zip(&self.servers)
            .filter(|(_, server)| !server.is_gone())
    }

    /// Keys of all servers that are not gone.
    #[must_use]
    pub fn keys(&self) -> Vec<ServerKey> {
        self.iter().map(|(key, _)| key).collect()
    }

    /// Forgets what an earlier role learned of the servers.
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
    /// Takes in what the host list says of a server.
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
            self.cell_sizes_changed();
            self.unpark_fitting();
            self.park_too_large();
        }
        if leaving {
            self.drain(key);
        }
        self.journal_server(key);
        self.update_open(key);
    }

    /// Asks for a report from every server that is due, and finds leases that have lapsed.
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

    /// A call for a report ended without one.
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

    /// A server refused an epoch. Its tasks count as running there until it answers again.
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

    /// When the leases of a server that does not answer have certainly ended, if that is known.
    pub(crate) fn leases_expire_at(&self, server: &Server) -> Option<MonoMs> {
        let drift_ppm = self.config.clock_drift_ppm;
        let acked_term = server.acked_epoch.map_or(0, |epoch| epoch.term);
        let mut at = match server.last_report {
            Some(heard) => lease_expiry(heard, drift_ppm),
            None => self.owner_state.previous_leases_end,
        };
        for entry in &self.owner_state.unreleased {
            if entry.term >= acked_term {
                at = at.max(release_lease_expiry(entry.released?, drift_ppm));
            }
        }
        Some(at)
    }

    /// Whether the designated successor has certainly not renewed leases at rank 1 of the present term.
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
        let Some(leases_expire_at) = self.leases_expire_at(server).filter(|at| self.now >= *at)
        else {
            return;
        };
        // A promise excludes the successor only. Another host may have taken over and may renew leases on a server
        // that this host cannot reach, so the store has to show that there was no other term.
        if !self
            .owner_state
            .authority
            .is_confirmed_since(leases_expire_at)
        {
            self.read_head();
            return;
        }
        self.expire_leases(key);
    }

    /// Treats a server as running nothing.
    pub(crate) fn expire_leases(&mut self, key: ServerKey) {
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        server.leases_expired = true;
        server.acked_epoch = None;
        let name = server.name.clone();
        let rack_pool = server.rack_pool;
        let attempts = std::mem::take(&mut server.attempts);
        self.update_open(key);
        self.log("server_lapsed", None, &name);
        for (attempt, task) in attempts {
            self.attempt_gone(task, attempt);
        }
        self.resolve_rack_pool(rack_pool);
        self.retire(key);
    }

    /// Tells the scheduler whether tasks may be placed on a server.
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

    /// An operator declares that nothing runs on a server.
    pub(crate) fn server_declared_gone(&mut self, name: &SmolStr) {
        let Some(key) = self.fleet.key(name) else {
            return;
        };
        if self.role == Role::Owner && self.now < self.owner_state.previous_leases_end {
            // The server could come back and obey the previous owner, which may hold authority until then.
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

    /// Forgets a leaving server once its leases have lapsed or it is empty and silent.
    fn retire(&mut self, key: ServerKey) {
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
        self.cell_sizes_changed();
        self.park_too_large();
    }
}
