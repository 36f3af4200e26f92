//! Queue of waiting items in fair order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

use crate::fairness::{Accounts, ClientKey, ClientRank, TeamKey, TeamRank};

struct ClientQueue<T> {
    rank: ClientRank,
    salt: u64,
    /// Sorted by order and id. A deque, since most queues hold few items and a map allocates a node of 1 KB for one.
    items: VecDeque<((u64, u64), T)>,
}

struct TeamQueue<T> {
    rank: TeamRank,
    salt: u64,
    order: BTreeSet<ClientRank>,
    /// Sorted by key.
    clients: Vec<(ClientKey, ClientQueue<T>)>,
}

/// Which teams may be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    WithinQuota,
    Any,
}

/// Waiting items in the fair order of [`Accounts`]. Several queues can share the accounts of one resource pool.
///
/// Virtual times only grow, so an outdated rank is corrected when it comes first. Only a team that comes back within
/// its quota needs a call of [`FairQueue::refresh_rank`].
pub struct FairQueue<T> {
    order: BTreeSet<TeamRank>,
    teams: BTreeMap<TeamKey, TeamQueue<T>>,
    by_backlog: BTreeSet<(usize, ClientKey)>,
    len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            order: BTreeSet::new(),
            teams: BTreeMap::new(),
            by_backlog: BTreeSet::new(),
            len: 0,
        }
    }
}

impl<T> FairQueue<T> {
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting items of a client.
    #[must_use]
    pub fn backlog(&self, accounts: &Accounts, client: ClientKey) -> usize {
        let team = self.teams.get(&accounts.team_of(client));
        team.and_then(|team| team.queue(client))
            .map_or(0, |queue| queue.items.len())
    }

    /// Client with the most waiting items, and their number.
    #[must_use]
    pub fn largest_backlog(&self) -> Option<(ClientKey, usize)> {
        self.by_backlog.last().map(|&(len, client)| (client, len))
    }

    /// Adds an item. Items of one client are served in the order of `(order, id)`; `id` is unique in the queue.
    pub fn push(
        &mut self,
        accounts: &mut Accounts,
        client: ClientKey,
        order: u64,
        id: u64,
        item: T,
    ) {
        accounts.add_backlog(client);
        let team_key = accounts.team_of(client);
        let team = self.teams.entry(team_key).or_insert_with(|| {
            let rank = accounts.team_rank(team_key, id);
            self.order.insert(rank);
            TeamQueue {
                rank,
                salt: id,
                order: BTreeSet::new(),
                clients: Vec::new(),
            }
        });
        let at = match team.find(client) {
            Ok(at) => at,
            Err(at) => {
                let rank = accounts.client_rank(client, id);
                team.order.insert(rank);
                let queue = ClientQueue {
                    rank,
                    salt: id,
                    items: VecDeque::new(),
                };
                team.clients.insert(at, (client, queue));
                at
            }
        };
        let queue = &mut team.clients[at].1;
        let before = queue.items.len();
        let place = queue.items.partition_point(|one| one.0 < (order, id));
        queue.items.insert(place, ((order, id), item));
        self.by_backlog.remove(&(before, client));
        self.by_backlog.insert((queue.items.len(), client));
        self.len += 1;
    }

    pub fn remove(
        &mut self,
        accounts: &mut Accounts,
        client: ClientKey,
        order: u64,
        id: u64,
    ) -> Option<T> {
        let team_key = accounts.team_of(client);
        let team = self.teams.get_mut(&team_key)?;
        let at = team.find(client).ok()?;
        let queue = &mut team.clients[at].1;
        let key = (order, id);
        let place = queue.items.binary_search_by_key(&key, |one| one.0).ok()?;
        let (_, item) = queue.items.remove(place)?;
        accounts.sub_backlog(client);
        let left = queue.items.len();
        self.by_backlog.remove(&(left + 1, client));
        self.len -= 1;
        if left > 0 {
            self.by_backlog.insert((left, client));
            return Some(item);
        }
        team.order.remove(&queue.rank);
        team.clients.remove(at);
        if team.clients.is_empty() {
            self.order.remove(&team.rank);
            self.teams.remove(&team_key);
        }
        Some(item)
    }

    /// Removes the last item of a client.
    pub fn remove_last(&mut self, accounts: &mut Accounts, client: ClientKey) -> Option<T> {
        let team = self.teams.get(&accounts.team_of(client))?;
        let &((order, id), _) = team.queue(client)?.items.back()?;
        self.remove(accounts, client, order, id)
    }

    /// Updates the rank of a team that came back within its quota.
    pub fn refresh_rank(&mut self, accounts: &Accounts, team_key: TeamKey) {
        let Some(team) = self.teams.get_mut(&team_key) else {
            return;
        };
        self.order.remove(&team.rank);
        team.rank = accounts.team_rank(team_key, team.salt);
        self.order.insert(team.rank);
    }

    /// Removes and returns the first item in fair order that `fits`, after at most `max_tries` heads of client queues.
    ///
    /// The caller charges the client for it.
    pub fn take(
        &mut self,
        accounts: &mut Accounts,
        class: Class,
        max_tries: usize,
        mut fits: impl FnMut(&T) -> bool,
    ) -> Option<(ClientKey, T)> {
        let mut left = max_tries;
        let mut passed: Option<TeamRank> = None;
        let found = loop {
            let next = match passed {
                None => self.order.first().copied(),
                Some(rank) => self.order.range(after(rank)).next().copied(),
            };
            let rank = next?;
            let team_key = rank.3;
            let team = self.teams.get_mut(&team_key)?;
            let current = accounts.team_rank(team_key, team.salt);
            if current != rank {
                self.order.remove(&rank);
                team.rank = current;
                self.order.insert(current);
                continue;
            }
            if class == Class::WithinQuota && rank.0 {
                return None;
            }
            if let Some(found) = team.first_fitting(accounts, &mut left, &mut fits) {
                break found;
            }
            if left == 0 {
                return None;
            }
            passed = Some(rank);
        };
        let (client, (order, id)) = found;
        let item = self.remove(accounts, client, order, id)?;
        Some((client, item))
    }
}

type ItemPosition = (ClientKey, (u64, u64));

impl<T> TeamQueue<T> {
    fn find(&self, client: ClientKey) -> Result<usize, usize> {
        self.clients.binary_search_by_key(&client, |one| one.0)
    }

    fn queue(&self, client: ClientKey) -> Option<&ClientQueue<T>> {
        let at = self.find(client).ok()?;
        self.clients.get(at).map(|one| &one.1)
    }

    fn first_fitting(
        &mut self,
        accounts: &Accounts,
        left: &mut usize,
        fits: &mut impl FnMut(&T) -> bool,
    ) -> Option<ItemPosition> {
        let mut passed: Option<ClientRank> = None;
        while *left > 0 {
            let next = match passed {
                None => self.order.first().copied(),
                Some(rank) => self.order.range(after(rank)).next().copied(),
            };
            let rank = next?;
            let at = self.find(rank.2).ok()?;
            let queue = &mut self.clients[at].1;
            let current = accounts.client_rank(rank.2, queue.salt);
            if current != rank {
                self.order.remove(&rank);
                queue.rank = current;
                self.order.insert(current);
                continue;
            }
            let (place, item) = queue.items.front()?;
            *left -= 1;
            if fits(item) {
                return Some((rank.2, *place));
            }
            passed = Some(rank);
        }
        None
    }
}

fn after<R>(rank: R) -> (Bound<R>, Bound<R>) {
    (Bound::Excluded(rank), Bound::Unbounded)
}
