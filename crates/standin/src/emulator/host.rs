//! Entry hosts: who owns a shard, and what they remember of their terms.

use std::collections::BTreeMap;

use primrosestack_fleet::claim::Vacancy;
use primrosestack_fleet::handover::{Handover, PastTerms};
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::store_health::StoreHealth;
use smol_str::SmolStr;

use super::links::{StoreAnswer, StoreCall};
use super::operator::Follower;
use super::store::{Transaction, Value, inbox_term_key, owner_key, term_key};
use super::{BOUNDS, Event, World};

const TICK_INTERVAL_MS: u64 = 50;
const ANNOUNCEMENT_TTL_MS: u64 = 2_100;
const RETRY_MS: u64 = 250;
const RANKS: u64 = 3;

/// Time for which a host that was asked to stop still answers.
const STOP_MS: u64 = 500;

/// Time without a gap after which a host counts as in touch with the store.
const IN_TOUCH_AFTER_MS: u64 = 3_000;

/// Links that a host has lost.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LostLinks {
    pub until_ms: u64,
    /// Servers, as the bits of their indices.
    pub servers: u64,
    /// Whether those to the other hosts are lost.
    pub hosts: bool,
}

/// An entry host.
#[derive(Debug)]
pub(super) struct Host {
    pub domain: usize,
    pub is_up: bool,
    /// Number of its process.
    pub life: u32,
    up_since_ms: u64,
    /// Until when nothing reaches it.
    pub cut_until_ms: u64,
    pub store_cut_until_ms: u64,
    pub frozen_until_ms: u64,
    pub lost_links: LostLinks,
    /// Last time at which it did not reach the store.
    gap_ms: u64,
    pub health: StoreHealth,
    /// When it may next try to take a shard.
    retry_ms: u64,
    /// Shards that it is taking.
    taking: Vec<usize>,
    past_terms: BTreeMap<usize, PastTerms>,
    /// Highest term of a successor that asked for a shard's handover.
    successors: BTreeMap<usize, u64>,
    /// Homes of jobs that it remembers.
    pub homes: BTreeMap<JobId, usize>,
    pub operator: Follower,
}

/// Announcement of a shard's owner, and of the vacancy after its end.
#[derive(Clone, Debug, Default)]
pub(super) struct Announcement {
    /// Owner; `None` for a shard without one.
    pub owner: Option<usize>,
    term: u64,
    /// When this term was first announced.
    since_ms: u64,
    expires_ms: u64,
    vacant_since_ms: u64,
    released: bool,
}

impl Host {
    pub fn open(domain: usize) -> Self {
        Self {
            domain,
            is_up: false,
            life: 0,
            up_since_ms: 0,
            cut_until_ms: 0,
            store_cut_until_ms: 0,
            frozen_until_ms: 0,
            lost_links: LostLinks::default(),
            gap_ms: 0,
            health: StoreHealth::default(),
            retry_ms: 0,
            taking: Vec::new(),
            past_terms: BTreeMap::new(),
            successors: BTreeMap::new(),
            homes: BTreeMap::new(),
            operator: Follower::default(),
        }
    }

    pub fn save_handover(&mut self, domain: usize, handover: Handover) {
        self.past_terms.entry(domain).or_default().insert(handover);
    }
}

impl World {
    pub(super) fn boot_host(&mut self, host: usize) {
        let now = self.now_ms();
        let state = &mut self.hosts[host];
        if state.is_up {
            return;
        }
        let life = state.life + 1;
        let mut health = StoreHealth::default();
        health.record_answer(now);
        *state = Host {
            is_up: true,
            life,
            up_since_ms: now,
            cut_until_ms: state.cut_until_ms,
            store_cut_until_ms: state.store_cut_until_ms,
            lost_links: state.lost_links,
            health,
            ..Host::open(state.domain)
        };
        self.note(|| format!("host {host} boots"));
        self.events.at(now, Event::HostTick { host, life });
        self.read_operator(host, life);
    }

    /// Ends a host's process at once.
    pub(super) fn kill_host(&mut self, host: usize, away_ms: u64) {
        if !self.hosts[host].is_up {
            return;
        }
        self.note(|| format!("host {host} is killed"));
        self.hosts[host].is_up = false;
        self.hosts[host].frozen_until_ms = 0;
        for owner in &mut self.owners {
            if owner.as_ref().is_some_and(|owner| owner.host == host) {
                *owner = None;
            }
        }
        self.events.after(away_ms, Event::HostBoot { host });
    }

    /// Has a host release its shards and stop.
    pub(super) fn stop_host(&mut self, host: usize, away_ms: u64) {
        if !self.hosts[host].is_up {
            return;
        }
        for id in 0..self.owners.len() {
            if self.owners[id]
                .as_ref()
                .is_some_and(|owner| owner.host == host)
            {
                self.release(id);
            }
        }
        // No ticks: it takes no shard any more.
        self.hosts[host].retry_ms = u64::MAX;
        let life = self.hosts[host].life;
        let fault = super::Fault::StopProcess {
            host,
            life,
            away_ms,
        };
        self.events.after(STOP_MS, Event::Fault(fault));
    }

    /// Gives up a shard with all records written.
    fn release(&mut self, id: usize) {
        let now = self.now_ms();
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        let (host, domain) = (owner.host, owner.domain);
        let batch = owner.shard.take_batch(now);
        if !batch.is_empty() {
            let records = self.records(id, &batch);
            let transaction = self.in_term(id, &records);
            let is_written = self.reaches_store(host) && self.store.commit(&transaction).is_ok();
            if let Some(owner) = &mut self.owners[id] {
                if is_written {
                    owner.shard.batch_written(&batch);
                } else {
                    owner.shard.batch_failed(batch);
                }
            }
        }
        self.step_down(id, "released");
        if self.reaches_store(host) && self.domains[domain].announcement.owner == Some(id) {
            self.vacate(domain, true);
        }
    }

    fn vacate(&mut self, domain: usize, released: bool) {
        let now = self.now_ms();
        let announcement = &mut self.domains[domain].announcement;
        announcement.owner = None;
        announcement.vacant_since_ms = now;
        announcement.released = released;
        let transaction = Transaction::default().remove(owner_key(domain));
        self.commit_unconditionally(&transaction);
        self.note(|| format!("shard {domain} has no announced owner"));
    }

    /// Records that an owner is announced.
    pub(super) fn announced(&mut self, domain: usize, id: usize) {
        let now = self.now_ms();
        let Some(owner) = &self.owners[id] else {
            return;
        };
        let term = owner.term;
        let announcement = &mut self.domains[domain].announcement;
        if announcement.term > term {
            return;
        }
        if announcement.term < term {
            announcement.since_ms = now;
        }
        announcement.term = term;
        announcement.owner = Some(id);
        announcement.expires_ms = now + ANNOUNCEMENT_TTL_MS;
        let value = Value::Announcement;
        self.commit_unconditionally(&Transaction::default().put(owner_key(domain), value));
    }

    /// Renews the lease of an announcement; `false` if it has ended.
    pub(super) fn renew_announcement(&mut self, domain: usize, id: usize) -> bool {
        let now = self.now_ms();
        let announcement = &mut self.domains[domain].announcement;
        if announcement.owner != Some(id) {
            return false;
        }
        announcement.expires_ms = now + ANNOUNCEMENT_TTL_MS;
        true
    }

    /// Time for which a host has known that an earlier owner's term had begun.
    pub(super) fn owned_for_ms(&self, host: usize, domain: usize, term: u64) -> u64 {
        let announcement = &self.domains[domain].announcement;
        if announcement.term != term {
            return 0;
        }
        let known_ms = announcement.since_ms.max(self.hosts[host].up_since_ms);
        self.now_ms().saturating_sub(known_ms)
    }

    /// Whether a host has been in touch with the store for a while.
    pub(super) fn in_touch(&self, host: usize) -> bool {
        self.in_touch_for(host, IN_TOUCH_AFTER_MS)
    }

    pub(super) fn in_touch_for(&self, host: usize, for_ms: u64) -> bool {
        self.now_ms() >= self.hosts[host].gap_ms + for_ms
    }

    pub(super) fn host_tick(&mut self, host: usize, life: u32) {
        let now = self.now_ms();
        let state = &self.hosts[host];
        if !state.is_up || state.life != life {
            return;
        }
        let is_reachable = self.reaches_store(host);
        // Each host watches the announcements.
        if is_reachable {
            self.hosts[host].health.record_answer(now);
        } else {
            self.hosts[host].health.record_failure(now);
            self.hosts[host].gap_ms = now;
        }
        for domain in 0..self.domains.len() {
            let announcement = &self.domains[domain].announcement;
            if announcement.owner.is_some() && now >= announcement.expires_ms {
                // The store lets leases of announcements lapse only while it runs.
                if now >= self.store_faults.down {
                    self.vacate(domain, false);
                }
                continue;
            }
            if is_reachable && now >= self.hosts[host].retry_ms {
                self.consider(host, domain);
            }
        }
        self.events
            .after(TICK_INTERVAL_MS, Event::HostTick { host, life });
    }

    /// Takes a shard without an owner if this host is to try now.
    fn consider(&mut self, host: usize, domain: usize) {
        let now = self.now_ms();
        let announcement = &self.domains[domain].announcement;
        let is_own = |owner: &super::Owner| owner.host == host && owner.domain == domain;
        if announcement.owner.is_some()
            || self.hosts[host].taking.contains(&domain)
            || self.owners.iter().flatten().any(is_own)
            || self.hosts[host].health.is_unavailable()
        {
            return;
        }
        let vacancy = Vacancy {
            since_ms: announcement.vacant_since_ms,
            released: announcement.released,
            is_local: self.hosts[host].domain == domain,
            is_weaker: false,
            cpu_millis: 100,
            rank: host as u64 % RANKS,
        };
        if now < vacancy.claim_at_ms() {
            return;
        }
        let (mut term, revision) = self.store.term(domain);
        term.number += 1;
        term.sequence = 0;
        let term = term.with_owner(host.to_string(), BOUNDS.authority_ms());
        let transaction = Transaction::default()
            .expect(term_key(domain), revision)
            .expect(owner_key(domain), 0)
            .put(inbox_term_key(domain), Value::Term(term.clone()))
            .put(term_key(domain), Value::Term(term));
        self.hosts[host].taking.push(domain);
        self.call_store(host, StoreCall::Take { domain }, Some(transaction));
    }

    /// Handles the answer to the attempt to take a shard.
    pub(super) fn taken(&mut self, host: usize, domain: usize, answer: &StoreAnswer) {
        let now = self.now_ms();
        self.hosts[host].taking.retain(|&other| other != domain);
        let StoreAnswer::Committed { revision, sent_ms } = *answer else {
            self.hosts[host].retry_ms = self.hosts[host].retry_ms.max(now + RETRY_MS);
            return;
        };
        let (term, _) = self.store.term(domain);
        let is_superseded = self.hosts[host].successors.get(&domain) > Some(&term.number);
        let is_current = term.owners.last().is_some_and(|owner| {
            owner.address == SmolStr::new(host.to_string()) && owner.term == term.number
        });
        // Until the shard is open, this host gives no orders and knows no tasks in flight.
        let handover = Handover::unopened(term.number);
        if is_current {
            self.hosts[host].save_handover(domain, handover);
        }
        if is_current && !is_superseded && self.reaches_store(host) {
            self.open_owner(host, domain, revision, sent_ms);
        }
    }

    /// Steps down in favour of a successor, and returns the handover of a term if this process had it.
    pub(super) fn yield_shard(
        &mut self,
        host: usize,
        domain: usize,
        successor_term: u64,
        term: u64,
    ) -> Option<Handover> {
        let is_earlier = |owner: &super::Owner| {
            owner.host == host && owner.domain == domain && owner.term < successor_term
        };
        for id in 0..self.owners.len() {
            if self.owners[id].as_ref().is_some_and(is_earlier) {
                self.step_down(id, "a successor asked");
            }
        }
        let successor = self.hosts[host].successors.entry(domain).or_default();
        *successor = (*successor).max(successor_term);
        let past_terms = self.hosts[host].past_terms.get(&domain)?;
        past_terms.find(term).cloned()
    }
}
