//! Owner of a shard: what the daemon does for a [`Shard`] while it owns it.

use std::collections::BTreeMap;

use primrosestack_fleet::intake::Load;
use primrosestack_fleet::ledger::Batch;
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{ServerSet, Term, TermOwner, longest_authority_ms};
use smol_str::{SmolStr, format_smolstr};

use super::links::{StoreAnswer, StoreCall};
use super::orders::PollState;
use super::rehoming::{Moves, PASS_INTERVAL_MS};
use super::store::{
    self, Change, Item, Transaction, Value, inbox_key, inbox_prefix, progress_key, term_key,
};
use super::{BOUNDS, Event, World};

const TICK_INTERVAL_MS: u64 = 100;
const RENEW_INTERVAL_MS: u64 = 700;
const CONFIRM_AFTER_MS: u64 = 1_000;
const RECORDS_RETRY_MS: u64 = 150;
const LOAD_INTERVAL_MS: u64 = 300;
/// Age from which the load of another shard is not used.
const LOAD_MAX_AGE_MS: u64 = 1_500;

/// A host's ownership of a shard in one term.
pub(super) struct Owner {
    pub host: usize,
    pub domain: usize,
    pub term: u64,
    /// Revision at which its term began.
    pub opened_revision: u64,
    pub shard: Shard,
    term_revision: u64,
    sequence: u64,
    /// This owner and those before it that had not settled.
    owners: Vec<TermOwner>,
    pub confirmed_ms: u64,
    /// Revision up to which the history of the store was read.
    seen_revision: u64,
    /// Whether a call that depends on `term_revision` is under way.
    is_calling: bool,
    checked_ms: u64,
    records_retry_ms: u64,
    records_timer_ms: u64,
    renewed_ms: u64,
    pub must_announce: bool,
    pub last_plan_ms: u64,
    pub polls: BTreeMap<ServerKey, PollState>,
    pub moves: Moves,
}

impl Owner {
    pub fn authority_end_ms(&self) -> u64 {
        self.confirmed_ms + BOUNDS.authority_ms()
    }

    /// Whether a call that depends on the revision of the term is under way.
    pub fn is_calling(&self) -> bool {
        self.is_calling
    }

    fn confirm(&mut self, sent_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(sent_ms);
        self.shard.confirm_term(sent_ms);
    }
}

impl World {
    /// Opens a shard from the store after its term has begun.
    pub(super) fn open_owner(&mut self, host: usize, domain: usize, revision: u64, sent_ms: u64) {
        let now = self.now_ms();
        let (term, _) = self.store.term(domain);
        let servers = match self.store.read(&store::servers_key(domain)) {
            Some(item) => match &*item.value {
                Value::Servers(servers) => servers.clone(),
                _ => ServerSet::default(),
            },
            None => ServerSet::default(),
        };
        let mut predecessors = term.owners.clone();
        predecessors.retain(|owner| owner.term < term.number);
        let authority_ms = longest_authority_ms(&predecessors);
        let bounds = Bounds {
            evacuation_ms: self.evacuation_ms(),
            ..BOUNDS
        };
        let mut shard = Shard::open(bounds, term.number, revision, &servers, authority_ms, now)
            .with_time_of_day(self.unix_ms(), now);
        for (id, stored) in self.store.stored_jobs(domain) {
            shard.add_job(id, stored, now);
        }
        shard.open_due_occurrences(self.unix_ms(), now);
        let prefix = format!("registration/{domain}/");
        let registrations = self.store.list(&prefix);
        let entries = registrations.filter_map(|(_, item)| match &*item.value {
            Value::Registration(entry) => Some(entry.clone()),
            _ => None,
        });
        shard.set_servers(entries.collect::<Vec<_>>(), now);
        shard.registrations_complete(now);
        let id = self.owners.len();
        self.owners.push(Some(Owner {
            host,
            domain,
            term: term.number,
            opened_revision: revision,
            shard,
            term_revision: revision,
            sequence: 0,
            owners: term.owners,
            confirmed_ms: sent_ms,
            seen_revision: self.store.revision(),
            is_calling: false,
            checked_ms: now,
            records_retry_ms: 0,
            records_timer_ms: 0,
            renewed_ms: now,
            must_announce: false,
            last_plan_ms: 0,
            polls: BTreeMap::new(),
            moves: Moves::default(),
        }));
        self.note(|| format!("host {host} owns shard {domain} in term {}", term.number));
        self.announced(domain, id);
        self.tell_evacuation(id);
        for predecessor in predecessors {
            let owned_for_ms = self.owned_for_ms(host, domain, predecessor.term);
            self.events.at(
                now,
                Event::AskPredecessor {
                    owner: id,
                    address: predecessor.address,
                    term: predecessor.term,
                    owned_for_ms,
                },
            );
        }
        self.events.at(now, Event::OwnerTick { owner: id });
        self.events
            .after(PASS_INTERVAL_MS, Event::MovesDue { owner: id });
    }

    pub(super) fn owner_tick(&mut self, id: usize) {
        let now = self.now_ms();
        let Some(host) = self.owners[id].as_ref().map(|owner| owner.host) else {
            return;
        };
        self.follow_store(id);
        let is_reachable = self.reaches_store(host);
        let health = &self.hosts[host].health;
        let is_silent = health.is_silent(now);
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        owner.shard.set_store_silent(is_silent);
        owner.shard.tick(now);
        if now >= owner.renewed_ms + RENEW_INTERVAL_MS && is_reachable {
            owner.renewed_ms = now;
            let domain = owner.domain;
            let is_renewed = self.renew_announcement(domain, id);
            if let Some(owner) = &mut self.owners[id] {
                owner.must_announce |= !is_renewed;
            }
        }
        self.plan_and_execute(id);
        self.delegate(id);
        self.plan_and_execute(id);
        self.maintain_authority(id);
        self.spawn_polls(id);
        self.events
            .after(TICK_INTERVAL_MS, Event::OwnerTick { owner: id });
    }

    fn maintain_authority(&mut self, id: usize) {
        let now = self.now_ms();
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        if owner.is_calling {
            return;
        }
        if owner.must_announce {
            self.commit_in_term(
                id,
                &Transaction::default(),
                StoreCall::Announce { owner: id },
            );
            return;
        }
        let is_due =
            owner.shard.awaits_confirmation() || now >= owner.confirmed_ms + CONFIRM_AFTER_MS;
        if is_due && now >= owner.checked_ms + TICK_INTERVAL_MS {
            owner.checked_ms = now;
            owner.is_calling = true;
            let host = owner.host;
            self.call_store(host, StoreCall::CheckTerm { owner: id }, None);
        }
    }

    /// Delegates tasks by the loads that the owners of other shards told.
    fn delegate(&mut self, id: usize) {
        let now = self.now_ms();
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        let own = &mut self.domains[owner.domain];
        if own
            .load
            .as_ref()
            .is_none_or(|(told_ms, _)| now >= told_ms + LOAD_INTERVAL_MS)
        {
            own.load = Some((now, owner.shard.load_summary(now)));
        }
        let mut others = self.other_loads(id);
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        if owner.shard.delegate_tasks(&mut others, now) {
            self.set_loads(others);
        }
    }

    /// Loads that the owners of other shards told.
    pub(super) fn other_loads(&self, id: usize) -> Vec<(SmolStr, Load)> {
        let now = self.now_ms();
        let mut others = Vec::new();
        let Some(owner) = &self.owners[id] else {
            return others;
        };
        let (host, domain) = (owner.host, owner.domain);
        for (other, state) in self.domains.iter().enumerate() {
            let Some((told_ms, load)) = &state.load else {
                continue;
            };
            let is_linked = self.is_linked(self.hosts[host].domain, other);
            let is_open = is_linked && !self.knows_evacuated(host, other);
            if other != domain && is_open && now < told_ms + LOAD_MAX_AGE_MS {
                others.push((format_smolstr!("{other}"), load.clone()));
            }
        }
        others
    }

    /// Replaces the loads of other shards after tasks or jobs were sent to them.
    pub(super) fn set_loads(&mut self, others: Vec<(SmolStr, Load)>) {
        for (name, load) in others {
            let Ok(other) = name.parse::<usize>() else {
                continue;
            };
            if let Some((_, known)) = &mut self.domains[other].load {
                *known = load;
            }
        }
    }

    /// Reads what changed in the store since the last time: the inbox and the registrations of the shard.
    pub(super) fn follow_store(&mut self, id: usize) {
        let now = self.now_ms();
        let Some(owner) = &self.owners[id] else {
            return;
        };
        let host = owner.host;
        if !self.reaches_store(host) {
            self.hosts[host].health.record_failure(now);
            return;
        }
        self.hosts[host].health.record_answer(now);
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        let inbox = inbox_prefix(owner.domain);
        let registrations = format!("registration/{}/", owner.domain);
        let changes = self.store.changes_after(owner.seen_revision).to_vec();
        owner.seen_revision = self.store.revision();
        let mut received = Vec::new();
        for Change { key, item, .. } in &changes {
            if let Some(name) = key.strip_prefix(registrations.as_str()) {
                match item.as_ref().map(|item| &*item.value) {
                    Some(Value::Registration(entry)) => {
                        owner.shard.set_server(entry.clone(), now);
                    }
                    _ => owner.shard.unregister_server(name),
                }
                continue;
            }
            let Some(item) = item.as_ref().filter(|_| key.starts_with(inbox.as_str())) else {
                continue;
            };
            if let Value::Term(term) = &*item.value {
                if term.number > owner.term {
                    self.step_down(id, "superseded");
                    return;
                }
                continue;
            }
            received.extend(store::inbox_entry(key, item));
        }
        owner.shard.registrations_complete(now);
        received.sort_by_key(|(order, _, _)| *order);
        let has_jobs = !received.is_empty();
        for (_, job, stored) in received {
            owner.shard.add_job(job, stored, now);
        }
        if has_jobs {
            self.plan_and_execute(id);
        }
    }

    /// Writes a batch of records if one is due.
    pub(super) fn write_records(&mut self, id: usize) {
        let now = self.now_ms();
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        if owner.moves.is_attempting() {
            self.write_move(id);
            return;
        }
        let Some(due_ms) = owner.shard.batch_due_ms(now) else {
            return;
        };
        let due_ms = due_ms.max(owner.records_retry_ms);
        if due_ms > now {
            if owner.records_timer_ms != due_ms {
                owner.records_timer_ms = due_ms;
                self.events.at(due_ms, Event::RecordsDue { owner: id });
            }
            return;
        }
        if owner.is_calling {
            return;
        }
        let batch = owner.shard.take_batch(now);
        if batch.is_empty() {
            return;
        }
        let transaction = self.records(id, &batch);
        let call = StoreCall::Records { owner: id, batch };
        self.commit_in_term(id, &transaction, call);
    }

    pub(super) fn records(&self, id: usize, batch: &Batch) -> Transaction {
        let mut transaction = Transaction::default();
        let Some(owner) = &self.owners[id] else {
            return transaction;
        };
        let domain = owner.domain;
        for job in &batch.jobs {
            if job.must_tell_home()
                && let Some(home) = self.store.home(job.id)
            {
                transaction = transaction.put(inbox_key(home, "failed", job.id), Value::Failure);
            }
            let progress = Value::Progress(job.progress.clone());
            transaction = transaction.put(progress_key(domain, job.id), progress);
            if job.deletes_spec {
                let kind = if job.is_delegated { "guest" } else { "job" };
                transaction = transaction.remove(inbox_key(domain, kind, job.id));
                for delegate in &job.progress.delegate_domains {
                    let key = format_smolstr!("inbox/{delegate}/cancel/{}", job.id);
                    transaction = transaction.put(key, Value::Cancellation);
                }
            }
            for key in &job.consumed_transfer_keys {
                transaction = transaction.remove(key.clone());
            }
            for (nth, (to, transfer)) in job.transfers.iter().enumerate() {
                let source = format!("{domain}-{}-{}-{nth}", owner.term, job.version);
                let key = format_smolstr!("inbox/{to}/part/{}/{source}", job.id);
                transaction = transaction.put(key, Value::Transfer(transfer.clone()));
                if let Some(spec) = &job.spec {
                    let key = format_smolstr!("inbox/{to}/guest/{}", job.id);
                    transaction = transaction.put(key, Value::DelegatedJob(spec.clone()));
                }
            }
        }
        for &(job, is_delegated) in &batch.purged_jobs {
            transaction = transaction
                .remove(progress_key(domain, job))
                .remove(inbox_key(domain, "cancel", job));
            if !is_delegated {
                transaction = transaction
                    .remove(store::home_key(job))
                    .remove(inbox_key(domain, "failed", job));
            }
        }
        if let Some(servers) = &batch.servers {
            let value = Value::Servers(servers.clone());
            transaction = transaction.put(store::servers_key(domain), value);
        }
        transaction
    }

    /// Adds the condition on the term to a transaction, and the change of its key.
    pub(super) fn in_term(&mut self, id: usize, transaction: &Transaction) -> Transaction {
        let Some(owner) = &mut self.owners[id] else {
            return transaction.clone();
        };
        owner.sequence += 1;
        if owner.shard.is_settled() {
            let term = owner.term;
            owner.owners.retain(|known| known.term == term);
        }
        let term = Term {
            number: owner.term,
            sequence: owner.sequence,
            cpu_millis: 0,
            owners: owner.owners.clone(),
        };
        let key = term_key(owner.domain);
        let transaction = transaction.clone().expect(key.clone(), owner.term_revision);
        transaction.put(key, Value::Term(term))
    }

    pub(super) fn commit_in_term(&mut self, id: usize, transaction: &Transaction, call: StoreCall) {
        let transaction = self.in_term(id, transaction);
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        owner.is_calling = true;
        let host = owner.host;
        self.call_store(host, call, Some(transaction));
    }

    /// Handles the answer to a call of an owner.
    pub(super) fn owner_answered(&mut self, id: usize, call: StoreCall, answer: &StoreAnswer) {
        let now = self.now_ms();
        let Some(owner) = &mut self.owners[id] else {
            return;
        };
        owner.is_calling = false;
        let is_current = |item: &Option<Item>| {
            let value = item.as_ref().map(|item| &*item.value);
            matches!(value, Some(Value::Term(term)) if term.number == owner.term)
        };
        match answer {
            StoreAnswer::Committed { revision, sent_ms } => {
                owner.term_revision = *revision;
                owner.confirm(*sent_ms);
            }
            StoreAnswer::Read { item, sent_ms } if is_current(item) => {
                owner.term_revision = item.as_ref().map_or(0, |item| item.revision);
                owner.confirm(*sent_ms);
            }
            // An earlier transaction without an answer was committed.
            StoreAnswer::Conflict { item, is_cancelled } if is_current(item) => {
                let revision = item.as_ref().map_or(0, |item| item.revision);
                let is_outdated = revision != owner.term_revision;
                owner.term_revision = revision;
                match call {
                    StoreCall::Move { .. } if is_outdated => self.rewrite_move(id),
                    StoreCall::Move { .. } => self.move_not_written(id, *is_cancelled),
                    StoreCall::Records { batch, .. } => {
                        let transaction = self.records(id, &batch);
                        let call = StoreCall::Records { owner: id, batch };
                        self.commit_in_term(id, &transaction, call);
                    }
                    other => self.commit_in_term(id, &Transaction::default(), other),
                }
                return;
            }
            StoreAnswer::Read { .. } | StoreAnswer::Conflict { .. } => {
                self.step_down(id, "term ended");
                return;
            }
            StoreAnswer::NoAnswer => {
                match call {
                    StoreCall::Records { batch, .. } => {
                        owner.records_retry_ms = now + RECORDS_RETRY_MS;
                        owner.shard.batch_failed(batch);
                    }
                    StoreCall::Move { .. } => self.move_not_written(id, false),
                    _ => {}
                }
                self.write_records(id);
                return;
            }
        }
        match call {
            StoreCall::Records { batch, .. } => {
                owner.shard.batch_written(&batch);
                self.poll_recorded(id);
            }
            StoreCall::Move { .. } => {
                let revision = owner.term_revision;
                self.move_written(id, revision);
            }
            StoreCall::Announce { .. } => {
                owner.must_announce = false;
                let domain = owner.domain;
                self.announced(domain, id);
            }
            _ => {}
        }
        self.write_records(id);
    }
}
