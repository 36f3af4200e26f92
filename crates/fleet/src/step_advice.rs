//! What the advisor of a queue has answered for a step.

use smol_str::SmolStr;

use crate::shard::ServerKey;

/// Wait of a step, with allowed servers in its shard, from which other shards look for servers.
const BUSY_WAIT_MS: u64 = 1_000;

/// A server that the advisor allows.
#[derive(Clone, Debug)]
struct AllowedServer {
    key: ServerKey,
    ticket: SmolStr,
    expires_ms: u64,
}

/// Room for tasks of a step in another shard, on servers that the advisor allows.
#[derive(Clone, Debug)]
struct OtherRoom {
    failure_domain: SmolStr,
    tasks: u32,
    as_of_ms: u64,
}

/// What the advisor has answered for a step.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    /// Servers that it was asked about, sorted.
    asked: Vec<ServerKey>,
    /// Those that it allows, sorted.
    allowed: Vec<AllowedServer>,
    /// Number of calls that it has answered.
    pub(crate) answers: u32,
    /// When it was last asked; 0 for never.
    pub(crate) asked_ms: u64,
    /// Until when there is nothing to ask.
    rests_until_ms: u64,
    /// Whether it was asked about all servers that had room when the step was last examined.
    is_exhausted: bool,
    /// Sorted by failure domain.
    other_room: Vec<OtherRoom>,
    /// When other shards were last asked for room.
    pub(crate) queried_ms: u64,
}

impl StepAdvice {
    fn find_allowed(&self, key: ServerKey) -> Option<&AllowedServer> {
        let found = self.allowed.binary_search_by_key(&key, |row| row.key);
        Some(&self.allowed[found.ok()?])
    }

    /// Notes that it is being asked.
    pub(crate) fn begin_call(&mut self, now_ms: u64) {
        self.is_exhausted = false;
        self.asked_ms = now_ms;
    }

    /// Notes that there is no server to ask about.
    pub(crate) fn rest(&mut self, until_ms: u64) {
        self.is_exhausted = true;
        self.rests_until_ms = until_ms;
    }

    pub(crate) fn is_resting(&self, now_ms: u64) -> bool {
        now_ms < self.rests_until_ms
    }

    /// Whether none of the servers that had room is allowed.
    pub(crate) fn denies_all(&self) -> bool {
        self.is_exhausted && self.allowed.is_empty()
    }

    /// Allowed servers whose tickets have expired.
    pub(crate) fn expired(&self, now_ms: u64) -> impl Iterator<Item = ServerKey> {
        let expired = self
            .allowed
            .iter()
            .filter(move |row| now_ms >= row.expires_ms);
        expired.map(|row| row.key)
    }

    pub(crate) fn has_asked(&self, key: ServerKey) -> bool {
        self.asked.binary_search(&key).is_ok()
    }

    pub(crate) fn is_allowed(&self, key: ServerKey) -> bool {
        self.find_allowed(key).is_some()
    }

    /// Whether the first call has found no server.
    pub(crate) fn is_long(&self) -> bool {
        self.answers > 0 && self.allowed.is_empty()
    }

    /// Whether the search here has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.answers > 0 || self.is_exhausted
    }

    /// Whether other shards should look for a step that has waited for `waited_ms`: servers that are allowed here may be merely
    /// busy.
    pub(crate) fn needs_others(&self, waited_ms: u64) -> bool {
        self.has_begun() && (self.allowed.is_empty() || waited_ms >= BUSY_WAIT_MS)
    }

    pub(crate) fn ticket(&self, key: ServerKey, now_ms: u64) -> Option<&SmolStr> {
        let row = self.find_allowed(key)?;
        (now_ms < row.expires_ms).then_some(&row.ticket)
    }

    pub(crate) fn has_valid_ticket(&self, now_ms: u64) -> bool {
        self.allowed.iter().any(|row| now_ms < row.expires_ms)
    }

    /// Adds the answer about some servers.
    pub(crate) fn add(
        &mut self,
        servers: &[ServerKey],
        tickets: &[(ServerKey, SmolStr)],
        expires_ms: u64,
    ) {
        self.answers += 1;
        self.asked.extend(servers);
        self.asked.sort_unstable();
        self.asked.dedup();
        for (key, ticket) in tickets {
            let row = AllowedServer {
                key: *key,
                ticket: ticket.clone(),
                expires_ms,
            };
            match self.allowed.binary_search_by_key(key, |known| known.key) {
                Ok(index) => self.allowed[index] = row,
                Err(index) => self.allowed.insert(index, row),
            }
        }
    }

    pub(crate) fn set_other_room(&mut self, failure_domain: &SmolStr, tasks: u32, now_ms: u64) {
        let row = OtherRoom {
            failure_domain: failure_domain.clone(),
            tasks,
            as_of_ms: now_ms,
        };
        let found = self
            .other_room
            .binary_search_by(|known| known.failure_domain.cmp(failure_domain));
        match found {
            Ok(index) => self.other_room[index] = row,
            Err(index) => self.other_room.insert(index, row),
        }
    }

    /// Room in another shard that is known for at most `age_max_ms`.
    pub(crate) fn other_room(&self, failure_domain: &str, age_max_ms: u64, now_ms: u64) -> u32 {
        let found = self
            .other_room
            .binary_search_by(|known| known.failure_domain.as_str().cmp(failure_domain));
        let Ok(index) = found else { return 0 };
        let known = &self.other_room[index];
        if now_ms > known.as_of_ms + age_max_ms {
            return 0;
        }
        known.tasks
    }

    /// Subtracts tasks that were sent to another shard.
    pub(crate) fn take_other_room(&mut self, failure_domain: &str, tasks: u32) {
        for known in &mut self.other_room {
            if known.failure_domain == failure_domain {
                known.tasks = known.tasks.saturating_sub(tasks);
            }
        }
    }

    pub(crate) fn expire_ticket(&mut self, key: ServerKey) {
        if let Ok(index) = self.allowed.binary_search_by_key(&key, |row| row.key) {
            self.allowed[index].expires_ms = 0;
        }
    }
}
