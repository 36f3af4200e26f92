//! Registered servers of a shard.

use crate::job::TaskId;
use crate::report::ServerEntry;
use crate::server::Server;
use crate::shard::{ServerKey, Shard};

impl Shard {
    /// Replaces the registrations of all servers of this failure domain.
    pub fn set_servers(&mut self, entries: impl IntoIterator<Item = ServerEntry>, now_ms: u64) {
        let mut seen: Vec<ServerKey> = Vec::new();
        for entry in entries {
            // The servers renew their registrations at this interval, and the time left with them.
            let written_ms = now_ms.saturating_sub(self.bounds.heartbeat_ms);
            seen.push(self.apply_registration(entry, written_ms, now_ms));
        }
        seen.sort();
        for (key, server) in &mut self.servers {
            if seen.binary_search(&key).is_err() {
                server.registered = false;
            }
        }
    }

    /// Adds or updates the registration of a server that was just written.
    pub fn set_server(&mut self, entry: ServerEntry, now_ms: u64) -> ServerKey {
        self.apply_registration(entry, now_ms, now_ms)
    }

    fn apply_registration(
        &mut self,
        entry: ServerEntry,
        written_ms: u64,
        now_ms: u64,
    ) -> ServerKey {
        let found = self
            .server_index
            .binary_search_by(|(name, _)| name.cmp(&entry.name));
        let key = match found {
            Ok(index) => self.server_index[index].1,
            Err(index) => {
                let name = entry.name.clone();
                let key = self.servers.insert(Server::new(entry.clone()));
                self.server_index.insert(index, (name, key));
                self.count_remembered_crash(key, entry.started_unix_ms, now_ms);
                key
            }
        };
        let server = &self.servers[key];
        let is_new_incarnation = entry.started_unix_ms != 0
            && server.started_unix_ms != 0
            && entry.started_unix_ms > server.started_unix_ms;
        if is_new_incarnation {
            self.end_incarnation(key, entry.started_unix_ms, now_ms);
        }
        let server = &mut self.servers[key];
        let begins_draining = entry.draining && server.draining_since_ms.is_none();
        if begins_draining {
            server.draining_since_ms = Some(now_ms);
        }
        if !entry.draining {
            server.draining_since_ms = None;
        }
        server.update_departure(&entry, self.bounds.drain_ms, written_ms);
        server.update_cold(&entry, written_ms);
        server.entry = entry;
        server.registered = true;
        if begins_draining {
            self.forget_remembered(key, now_ms);
        }
        self.stop_abandoned_starts(key, now_ms);
        key
    }

    /// Marks a server as unregistered.
    pub fn unregister_server(&mut self, name: &str) {
        let found = self
            .server_index
            .binary_search_by(|(server_name, _)| server_name.as_str().cmp(name));
        let Ok(index) = found else { return };
        self.servers[self.server_index[index].1].registered = false;
    }

    /// Records that all registrations as of `as_of_ms` have been applied.
    pub fn registrations_complete(&mut self, as_of_ms: u64) {
        self.registrations_as_of_ms = Some(as_of_ms);
    }

    /// Records whether the store is silent. While it is, servers cannot announce anything, so tasks start on the known
    /// servers. After that, tasks wait until the registrations have been read again.
    pub fn set_store_silent(&mut self, is_silent: bool) {
        self.store_silent = is_silent;
    }

    /// Time until which tasks may be started by the registrations.
    pub(crate) fn registrations_valid_until_ms(&self) -> u64 {
        match self.registrations_as_of_ms {
            Some(as_of_ms) if !self.store_silent => {
                as_of_ms + self.bounds.registrations_max_age_ms()
            }
            _ => u64::MAX,
        }
    }

    /// Whether the registrations are too old to start tasks by them; logs each change.
    pub(crate) fn update_registrations_outdated(&mut self, now_ms: u64) -> bool {
        let age_ms = self
            .registrations_as_of_ms
            .map_or(0, |as_of_ms| now_ms.saturating_sub(as_of_ms));
        let is_outdated = now_ms > self.registrations_valid_until_ms();
        if is_outdated != self.registrations_outdated {
            self.registrations_outdated = is_outdated;
            let event = if is_outdated {
                "registrations_outdated"
            } else {
                "registrations_regained"
            };
            self.log_decision(event, None, None, [("age_ms", age_ms)]);
        }
        is_outdated
    }

    #[must_use]
    pub fn server_keys(&self) -> Vec<ServerKey> {
        self.servers.keys().collect()
    }

    #[must_use]
    pub fn server(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Runs that the shard expects on a server.
    #[must_use]
    pub fn runs_on(&self, key: ServerKey) -> Vec<(TaskId, u32)> {
        let runs = self
            .servers
            .get(key)
            .map(|server| server.runs.as_slice())
            .unwrap_or_default();
        runs.iter()
            .map(|&(task_ref, run)| (self.task_id(task_ref), run))
            .collect()
    }

    /// Finds a server by name.
    #[must_use]
    pub fn find_server(&self, name: &str) -> Option<&Server> {
        let index = self
            .server_index
            .binary_search_by(|(server_name, _)| server_name.as_str().cmp(name))
            .ok()?;
        self.servers.get(self.server_index[index].1)
    }

    /// Ends the server's incarnation, since another server answers at its address.
    pub fn server_replaced(&mut self, server: ServerKey, now_ms: u64) {
        let Some(state) = self.servers.get(server) else {
            return;
        };
        if !state.claimed && state.runs.is_empty() {
            // The runs that earlier owners may have started there ended with the server.
            let name = state.entry.name.clone();
            if let Ok(index) = self.unclaimed.binary_search(&name) {
                self.unclaimed.remove(index);
            }
            return;
        }
        self.end_incarnation(server, 0, now_ms);
    }
}
