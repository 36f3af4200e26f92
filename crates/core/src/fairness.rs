//! Fair sharing among teams and clients.
//!
//! Two levels of start-time fair queueing: teams are weighted by their quota, clients of a team are equal. An idle
//! client restarts at the current virtual time of its team, so it accumulates no credit.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::ids::stable_hash;

/// Virtual time per unit of cost at weight 1.
const VIRTUAL_UNITS_PER_COST: u64 = 1024;

/// Idle accounts are swept when the number of clients exceeds twice the number left by the last sweep plus this.
const SWEEP_SLACK: usize = 1024;

/// Index of a client's account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientKey(u32);

impl ClientKey {
    pub(crate) const FIRST: Self = Self(0);
}

/// Index of a team's account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamKey(u32);

/// Over quota, virtual time, tie-breaking hash, team. Teams within their quota come before teams over it.
pub(crate) type TeamRank = (bool, u64, u64, TeamKey);

/// Virtual time, tie-breaking hash, client.
pub(crate) type ClientRank = (u64, u64, ClientKey);

#[derive(Default)]
struct Account {
    virtual_start: u64,
    credit: u64,
    backlog: u32,
}

impl Account {
    /// Counts one more waiting item; an idle account is first raised to the current virtual time.
    fn add_backlog(&mut self, virtual_now: u64) {
        if self.backlog == 0 {
            self.virtual_start = self.virtual_start.max(virtual_now);
        }
        self.backlog += 1;
    }

    fn charge(&mut self, units: u64) {
        let covered = units.min(self.credit);
        self.credit -= covered;
        self.virtual_start = self.virtual_start.saturating_add(units - covered);
    }
}

struct Team {
    account: Account,
    weight: u32,
    /// Current virtual time among the team's clients.
    virtual_now: u64,
    used: u64,
    client_indexes: BTreeMap<SmolStr, u32>,
    hash: u64,
}

struct Client {
    account: Account,
    team: u32,
    references: u32,
    hash: u64,
    name: SmolStr,
}

/// Virtual times of the teams and clients that share one resource pool.
pub struct Accounts {
    seed: u64,
    virtual_now: u64,
    capacity: u64,
    total_weight: u64,
    teams: Vec<Team>,
    team_indexes: BTreeMap<SmolStr, u32>,
    clients: Vec<Option<Client>>,
    vacant: Vec<u32>,
    sweep_threshold: usize,
}

impl Accounts {
    /// Creates accounts without teams; `seed` breaks ties.
    #[must_use]
    pub fn open(seed: u64) -> Self {
        Self {
            seed,
            virtual_now: 0,
            capacity: 0,
            total_weight: 0,
            teams: Vec::new(),
            team_indexes: BTreeMap::new(),
            clients: Vec::new(),
            vacant: Vec::new(),
            sweep_threshold: SWEEP_SLACK,
        }
    }

    /// Sets the capacity that the quotas divide, in the unit of [`Accounts::add_use`].
    pub fn set_capacity(&mut self, capacity: u64) {
        self.capacity = capacity;
    }

    /// Sets the quota of a team, the weight of its share; 0 counts as 1.
    pub fn set_quota(&mut self, team: &str, weight: u32) {
        let at = self.team_index(team);
        let weight = weight.max(1);
        let team = &mut self.teams[at as usize];
        self.total_weight = self.total_weight + u64::from(weight) - u64::from(team.weight);
        team.weight = weight;
    }

    /// Takes a reference to the account of a client, opening it if it is new. Each acquisition needs one
    /// [`Accounts::release`].
    pub fn acquire(&mut self, team: &str, client: &str) -> ClientKey {
        let team_index = self.team_index(team);
        if let Some(&at) = self.teams[team_index as usize].client_indexes.get(client) {
            if let Some(found) = &mut self.clients[at as usize] {
                found.references += 1;
            }
            return ClientKey(at);
        }
        if self.clients.len() - self.vacant.len() >= self.sweep_threshold {
            self.sweep();
        }
        let team = &mut self.teams[team_index as usize];
        let opened = Client {
            account: Account {
                virtual_start: team.virtual_now,
                ..Account::default()
            },
            team: team_index,
            references: 1,
            hash: stable_hash(client.as_bytes(), team.hash),
            name: SmolStr::new(client),
        };
        let at = if let Some(at) = self.vacant.pop() {
            self.clients[at as usize] = Some(opened);
            at
        } else {
            self.clients.push(Some(opened));
            index_u32(self.clients.len() - 1)
        };
        team.client_indexes.insert(SmolStr::new(client), at);
        ClientKey(at)
    }

    /// Drops a reference to an account.
    pub fn release(&mut self, client: ClientKey) {
        if let Some(found) = &mut self.clients[client.0 as usize] {
            found.references = found.references.saturating_sub(1);
        }
    }

    #[must_use]
    pub fn team_of(&self, client: ClientKey) -> TeamKey {
        TeamKey(self.client(client).map_or(0, |found| found.team))
    }

    /// Advances the virtual time of the pool and of the team to that of a client that is served now.
    pub fn advance_virtual_time(&mut self, client: ClientKey) {
        let Some(found) = &self.clients[client.0 as usize] else {
            return;
        };
        let team = &mut self.teams[found.team as usize];
        team.virtual_now = team.virtual_now.max(found.account.virtual_start);
        self.virtual_now = self.virtual_now.max(team.account.virtual_start);
    }

    /// Charges work to a client and its team.
    pub fn charge(&mut self, client: ClientKey, cost: u64) {
        let Some(found) = &mut self.clients[client.0 as usize] else {
            return;
        };
        let units = cost.saturating_mul(VIRTUAL_UNITS_PER_COST);
        let team = &mut self.teams[found.team as usize];
        found.account.charge(units);
        team.account.charge(units / u64::from(team.weight));
    }

    /// Returns an overcharge as credit against later charges, so that virtual times never fall.
    pub fn refund(&mut self, client: ClientKey, cost: u64) {
        let Some(found) = &mut self.clients[client.0 as usize] else {
            return;
        };
        let units = cost.saturating_mul(VIRTUAL_UNITS_PER_COST);
        let team = &mut self.teams[found.team as usize];
        found.account.credit = found.account.credit.saturating_add(units);
        let team_units = units / u64::from(team.weight);
        team.account.credit = team.account.credit.saturating_add(team_units);
    }

    /// Adds capacity reserved by a team's running tasks.
    pub fn add_use(&mut self, team: TeamKey, amount: u64) {
        self.teams[team.0 as usize].used += amount;
    }

    /// Subtracts reserved capacity. Returns whether this brought the team back within its quota.
    pub fn sub_use(&mut self, team: TeamKey, amount: u64) -> bool {
        let was_over = self.over_quota(team);
        let found = &mut self.teams[team.0 as usize];
        found.used = found.used.saturating_sub(amount);
        was_over && !self.over_quota(team)
    }

    /// Whether the team's running tasks reserve at least its weight's share of the capacity.
    #[must_use]
    pub fn over_quota(&self, team: TeamKey) -> bool {
        let found = &self.teams[team.0 as usize];
        let used = u128::from(found.used) * u128::from(self.total_weight);
        found.used > 0 && used >= u128::from(found.weight) * u128::from(self.capacity)
    }

    /// Rank of a waiting team; lower ranks are served first.
    pub(crate) fn team_rank(&self, team: TeamKey, salt: u64) -> TeamRank {
        let found = &self.teams[team.0 as usize];
        let start = found.account.virtual_start;
        let tie = mix_bits(found.hash ^ salt ^ start);
        (self.over_quota(team), start, tie, team)
    }

    /// Rank of a client among the clients of its team.
    pub(crate) fn client_rank(&self, client: ClientKey, salt: u64) -> ClientRank {
        let Some(found) = self.client(client) else {
            return (0, salt, client);
        };
        let start = found.account.virtual_start;
        (start, mix_bits(found.hash ^ salt ^ start), client)
    }

    fn client(&self, client: ClientKey) -> Option<&Client> {
        self.clients.get(client.0 as usize)?.as_ref()
    }

    fn team_index(&mut self, name: &str) -> u32 {
        if let Some(&at) = self.team_indexes.get(name) {
            return at;
        }
        let at = index_u32(self.teams.len());
        self.teams.push(Team {
            account: Account {
                virtual_start: self.virtual_now,
                ..Account::default()
            },
            weight: 1,
            virtual_now: 0,
            used: 0,
            client_indexes: BTreeMap::new(),
            hash: stable_hash(name.as_bytes(), self.seed),
        });
        self.total_weight += 1;
        self.team_indexes.insert(SmolStr::new(name), at);
        at
    }

    /// Closes the accounts of clients that have no tasks or requests and whose virtual time is not ahead of that of
    /// their team.
    fn sweep(&mut self) {
        for at in 0..self.clients.len() {
            let Some(client) = &self.clients[at] else {
                continue;
            };
            let team = &mut self.teams[client.team as usize];
            if client.references > 0 || client.account.virtual_start > team.virtual_now {
                continue;
            }
            team.client_indexes.remove(&client.name);
            self.clients[at] = None;
            self.vacant.push(index_u32(at));
        }
        self.sweep_threshold = (self.clients.len() - self.vacant.len()) * 2 + SWEEP_SLACK;
    }

    pub(crate) fn add_backlog(&mut self, client: ClientKey) {
        let Some(found) = &mut self.clients[client.0 as usize] else {
            return;
        };
        let team = &mut self.teams[found.team as usize];
        team.account.add_backlog(self.virtual_now);
        found.account.add_backlog(team.virtual_now);
    }

    pub(crate) fn sub_backlog(&mut self, client: ClientKey) {
        let Some(found) = &mut self.clients[client.0 as usize] else {
            return;
        };
        let team = &mut self.teams[found.team as usize];
        team.account.backlog = team.account.backlog.saturating_sub(1);
        found.account.backlog = found.account.backlog.saturating_sub(1);
    }
}

/// Spreads the bits of a tie-breaking value.
fn mix_bits(value: u64) -> u64 {
    let folded = value ^ (value >> 32);
    folded.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

fn index_u32(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
