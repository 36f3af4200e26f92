//! A shard that this host owns: connects the decisions with the store and the servers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use primrosestack_fleet::claim::{self, Candidate};
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{self, Owner, Phase, ServerSet, StoredJob, Term};
use primrosestack_fleet::shard::JobStatus;
use primrosestack_platform::catalog::{Configuration, SERVERS_PREFIX, decode_server};
use primrosestack_platform::store::{Item, StoreFailure, Write};
use prost::Message;
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::daemon::clock::now_ms;
use crate::daemon::inbox::{decode_or_log, stored_jobs};
use crate::daemon::keys;
use crate::daemon::node::Node;
use crate::daemon::peers::Question;
use crate::daemon::{election, journal};
use crate::logs::Line;

/// Interval of the checks that depend on time only, in milliseconds.
const TICK_MS: u64 = 100;

/// Interval at which the announcement is renewed, in milliseconds.
const RENEW_MS: u64 = 700;

/// Age of the last confirmation at which the era is read again, in milliseconds.
const CONFIRM_MS: u64 = 1_000;

/// Questions to a predecessor that does not answer: with their timeouts, as long as the leases that it gave.
const PREDECESSOR_ATTEMPTS: u32 = 8;

/// Pause between them, in milliseconds.
const PREDECESSOR_RETRY_MS: u64 = 250;

/// The right to command a shard.
#[derive(Clone, Copy, Debug)]
pub struct Title {
    /// Era.
    pub era: u64,
    /// Revision at which it began.
    pub begun_revision: u64,
}

/// A shard that this host owns.
pub struct OwnedShard {
    /// Failure domain.
    pub failure_domain: SmolStr,
    /// Right to command it.
    pub title: Title,
    /// Decisions.
    pub shard: RefCell<Shard>,
    /// Wakes the writer of records.
    pub records_due: Notify,
    /// Wakes whoever waits for records.
    pub recorded: Notify,
    /// Whether no more orders are given.
    pub closed: Cell<bool>,
    /// Revision of the era's key after the last write, which the next write is conditional on.
    pub(super) era_revision: Cell<u64>,
    pub(super) sequence: Cell<u64>,
    pub(super) turn: tokio::sync::Mutex<()>,
    pub(super) confirmed_ms: Cell<u64>,
    pub(super) lease: Cell<u64>,
    pub(super) opened_ms: u64,
    /// When tasks were last planned, in milliseconds.
    pub(super) planned_ms: Cell<u64>,
    /// Processor time of the host that this one gives the shard up for, in thousandths of a core.
    pub(super) follower_millis: Cell<Option<u32>>,
    pub(super) must_announce: Cell<bool>,
    pub(super) inbox_revision: Cell<u64>,
    pub(super) registrations_revision: Cell<u64>,
    pub(super) looks: RefCell<Vec<ServerKey>>,
    pub(super) node: Rc<Node>,
}

impl OwnedShard {
    /// Reads a shard after its era has begun. `sent_ms` is when the write that began it was sent.
    ///
    /// # Errors
    ///
    /// Returns [`StoreFailure`] if the store does not answer; the announcement then ends with its lease.
    pub async fn open(
        node: &Rc<Node>,
        failure_domain: SmolStr,
        title: Title,
        lease: u64,
        sent_ms: u64,
    ) -> Result<Rc<Self>, StoreFailure> {
        let servers_key = keys::servers(&failure_domain);
        let known = node.store.read(&servers_key).await?;
        let known: ServerSet = match known {
            // Without the list, tasks could be started again that run on silent servers.
            Some(item) => decode_or_log(&item).ok_or(StoreFailure::Malformed { status: 200 })?,
            None => ServerSet::default(),
        };
        let inbox = node.store.list(&keys::inbox(&failure_domain)).await?;
        let progress = node.store.list(&keys::progress_of(&failure_domain)).await?;
        let registrations = node.store.list(SERVERS_PREFIX).await?;
        let now = now_ms();
        let mut shard = Shard::open(
            node.bounds,
            title.era,
            title.begun_revision,
            &known,
            sent_ms,
        );
        if let Some(configuration) = node.configuration.borrow().as_ref() {
            shard.set_queues(queues(configuration));
        }
        for (id, stored) in stored_jobs(&inbox.rows, &progress.rows) {
            shard.add_job(id, stored, now);
        }
        shard.set_servers(entries(&registrations.rows, &failure_domain), now);
        let (live, ready) = shard.backlog();
        Line::info("shard_opened")
            .with("shard", &failure_domain)
            .with("era", title.era)
            .with("jobs", live)
            .with("ready", ready)
            .write();
        Ok(Rc::new(Self {
            failure_domain,
            title,
            shard: RefCell::new(shard),
            records_due: Notify::new(),
            recorded: Notify::new(),
            closed: Cell::new(false),
            era_revision: Cell::new(title.begun_revision),
            sequence: Cell::new(0),
            turn: tokio::sync::Mutex::new(()),
            confirmed_ms: Cell::new(sent_ms),
            lease: Cell::new(lease),
            opened_ms: now,
            planned_ms: Cell::new(0),
            follower_millis: Cell::new(None),
            must_announce: Cell::new(false),
            inbox_revision: Cell::new(inbox.revision),
            registrations_revision: Cell::new(registrations.revision),
            looks: RefCell::new(Vec::new()),
            node: Rc::clone(node),
        }))
    }

    /// Until when this host may command the shard, in milliseconds.
    #[must_use]
    pub fn authority_end_ms(&self) -> u64 {
        if self.closed.get() {
            return 0;
        }
        self.confirmed_ms.get() + self.node.bounds.authority_ms()
    }

    /// Notes that the store confirmed the era by the answer to a call sent at `sent_ms`.
    pub fn confirm(&self, sent_ms: u64) {
        self.confirmed_ms.set(self.confirmed_ms.get().max(sent_ms));
    }

    /// Writes under the condition that the era has not ended and that no earlier write is still to come. Gives the shard
    /// up if the era has ended.
    ///
    /// # Errors
    ///
    /// Returns [`StoreFailure`] if the store does not have the write, or may not have it.
    pub async fn write_in_era(
        &self,
        call: &'static str,
        write: &Write,
    ) -> Result<u64, StoreFailure> {
        let _turn = self.turn.lock().await;
        let key = keys::era(&self.failure_domain);
        loop {
            self.sequence.set(self.sequence.get() + 1);
            let era = Term {
                number: self.title.era,
                sequence: self.sequence.get(),
                cpu_millis: self.node.settings.cpu_millis,
            };
            let write = write
                .clone()
                .when(key.clone(), self.era_revision.get())
                .put(key.clone(), era.encode_to_vec());
            let sent_ms = now_ms();
            let result = self.node.store.write(&write).await;
            self.node.note_store(call, &result);
            match result {
                Ok(revision) => {
                    self.era_revision.set(revision);
                    self.confirm(sent_ms);
                    return Ok(revision);
                }
                Err(StoreFailure::Conflict { items }) => {
                    let current = items.iter().find(|item| item.key == key);
                    if !current.is_some_and(|item| self.is_own_era(item)) {
                        self.depose("era_ended");
                        return Err(StoreFailure::Conflict { items });
                    }
                    // An earlier write without an answer was carried out after all.
                }
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Whether the era's key still shows this era; its revision is remembered.
    pub(super) fn is_own_era(&self, item: &Item) -> bool {
        let era: Option<Term> = decode_or_log(item);
        if era.is_none_or(|era| era.number != self.title.era) {
            return false;
        }
        self.era_revision.set(item.revision);
        true
    }

    /// Applies the configuration.
    pub fn set_queues(self: &Rc<Self>, configuration: &Configuration) {
        self.shard.borrow_mut().set_queues(queues(configuration));
        self.pump();
    }

    /// Notes that the host that asks is better placed to own the shard.
    pub fn consider(&self, question: &Question) {
        let settings = &self.node.settings;
        if question.candidate_domain.is_empty() {
            return;
        }
        let owner = Candidate {
            is_local: settings.failure_domain == self.failure_domain,
            cpu_millis: settings.cpu_millis,
        };
        let other = Candidate {
            is_local: question.candidate_domain == self.failure_domain,
            cpu_millis: question.cpu_millis,
        };
        let owned_for_ms = now_ms().saturating_sub(self.opened_ms);
        if claim::should_step_down(owner, other, owned_for_ms) {
            self.follower_millis.set(Some(other.cpu_millis));
        }
    }

    /// Stops commanding the shard at once.
    pub fn depose(&self, reason: &'static str) {
        if self.closed.replace(true) {
            return;
        }
        Line::warn("shard_lost")
            .with("shard", &self.failure_domain)
            .with("era", self.title.era)
            .with_reason(reason)
            .write();
        self.node
            .keep_handover(&self.failure_domain, self.shard.borrow().handover());
        self.node
            .owned
            .borrow_mut()
            .retain(|owned| owned.title.begun_revision != self.title.begun_revision);
        self.records_due.notify_waiters();
        self.recorded.notify_waiters();
    }

    /// The announcement has vanished though the era has not ended.
    pub fn announce_again(&self) {
        self.must_announce.set(true);
    }

    /// State of a job.
    #[must_use]
    pub fn standing(&self, id: JobId) -> Option<JobStatus> {
        self.shard.borrow().job_status(id)
    }

    /// Takes a job or cancellation that the store has.
    pub fn deliver(self: &Rc<Self>, id: JobId, stored: StoredJob) {
        let known = self.shard.borrow().find_job(id).is_some();
        let is_cancellation = stored.cancelled;
        self.shard.borrow_mut().add_job(id, stored, now_ms());
        if !known || is_cancellation {
            Line::info("job_received")
                .with("job", id)
                .with("shard", &self.failure_domain)
                .with("era", self.title.era)
                .with("cancelled", is_cancellation)
                .write();
        }
        self.pump();
    }

    /// Asks the predecessor what it held, so that all other tasks can start at once.
    pub(super) async fn ask_predecessor(self: Rc<Self>, address: String, owned_ms: u64) {
        let question = Question {
            failure_domain: self.failure_domain.to_string(),
            successor_era: self.title.era,
            ..Question::default()
        };
        for _ in 0..PREDECESSOR_ATTEMPTS {
            if self.closed.get() {
                return;
            }
            match self.node.peers.ask(&address, &question).await {
                Ok(reply) if reply.gave_up => {
                    let now = now_ms();
                    let mut shard = self.shard.borrow_mut();
                    // A process without a handover was started since, or failed to open the era.
                    match &reply.handover {
                        Some(handover) => shard.apply_handover(handover, now),
                        None => shard.predecessor_ended(owned_ms, now),
                    }
                    drop(shard);
                    Line::info("predecessor_answered")
                        .with("shard", &self.failure_domain)
                        .with("era", self.title.era)
                        .with("predecessor", &address)
                        .with("handover", reply.handover.is_some())
                        .write();
                    self.pump();
                    return;
                }
                Ok(_) => {}
                Err(failure) => Line::info("predecessor_silent")
                    .with("shard", &self.failure_domain)
                    .with("era", self.title.era)
                    .with("predecessor", &address)
                    .with_reason(failure)
                    .write(),
            }
            tokio::time::sleep(Duration::from_millis(PREDECESSOR_RETRY_MS)).await;
        }
    }

    /// Reads the era, and gives the shard up if it has ended.
    pub(super) async fn check_era(&self) {
        let _turn = self.turn.lock().await;
        let sent_ms = now_ms();
        let result = self.node.store.read(&keys::era(&self.failure_domain)).await;
        self.node.note_store("read_era", &result);
        let Ok(item) = result else { return };
        if item.is_some_and(|item| self.is_own_era(&item)) {
            self.confirm(sent_ms);
        } else {
            self.depose("era_ended");
        }
    }

    pub(super) async fn keep_authority(self: Rc<Self>) {
        let mut renewed_ms = 0;
        while !self.closed.get() {
            let now = now_ms();
            if let Some(cpu_millis) = self.follower_millis.get() {
                self.release(cpu_millis).await;
                return;
            }
            if now >= self.confirmed_ms.get() + CONFIRM_MS {
                self.check_era().await;
            }
            if self.must_announce.get() {
                self.announce().await;
                renewed_ms = now;
            } else if now >= renewed_ms + RENEW_MS {
                renewed_ms = now;
                let result = self.node.store.renew(self.lease.get()).await;
                self.node.note_store("renew_announcement", &result);
                if result == Err(StoreFailure::NoLease) {
                    self.must_announce.set(true);
                    continue;
                }
            }
            tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        }
    }

    /// Writes the announcement again under a new lease.
    pub(super) async fn announce(&self) {
        let result = self.node.store.grant(election::ANNOUNCEMENT_MS).await;
        self.node.note_store("grant_lease", &result);
        let Ok(lease) = result else { return };
        let announcement = election::announcement_of(&self.node, self.title.era);
        let write =
            Write::default().put_leased(keys::owner(&self.failure_domain), announcement, lease);
        match self.write_in_era("announce", &write).await {
            Ok(_) => {
                self.lease.set(lease);
                self.must_announce.set(false);
            }
            Err(failure) => Line::info("not_announced")
                .with("shard", &self.failure_domain)
                .with_reason(failure)
                .write(),
        }
    }

    pub(super) async fn tick(self: Rc<Self>) {
        while !self.closed.get() {
            self.shard.borrow_mut().tick(now_ms());
            let mut others = self.node.other_loads(&self.failure_domain);
            if self
                .shard
                .borrow_mut()
                .delegate_tasks(&mut others, now_ms())
            {
                self.node.set_loads(others);
            }
            self.pump();
            self.spawn_looks();
            tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        }
    }

    /// Gives the shard up: no more orders, all records written, announcement marked as released. `cpu_millis` is the
    /// processor time of the host that should follow.
    pub async fn release(self: &Rc<Self>, cpu_millis: u32) {
        self.closed.set(true);
        journal::write_all(self).await;
        self.node
            .keep_handover(&self.failure_domain, self.shard.borrow().handover());
        let owner = Owner {
            cpu_millis,
            ..Owner::default()
        }
        .encode_to_vec();
        let write =
            Write::default().put_leased(keys::owner(&self.failure_domain), owner, self.lease.get());
        let result = self.write_in_era("release", &write).await;
        Line::info("shard_released")
            .with("shard", &self.failure_domain)
            .with("era", self.title.era)
            .with("announced", result.is_ok())
            .with("follower_millis", cpu_millis)
            .write();
        self.node
            .owned
            .borrow_mut()
            .retain(|owned| !Rc::ptr_eq(owned, self));
        self.records_due.notify_waiters();
        self.recorded.notify_waiters();
    }
}

/// Spawns the services of a shard.
pub fn spawn(owned: &Rc<OwnedShard>) {
    owned.spawn_looks();
    tokio::task::spawn_local(Rc::clone(owned).keep_authority());
    tokio::task::spawn_local(Rc::clone(owned).tick());
    tokio::task::spawn_local(Rc::clone(owned).follow_inbox());
    tokio::task::spawn_local(Rc::clone(owned).follow_registrations());
    tokio::task::spawn_local(journal::run(Rc::clone(owned)));
}

/// Gives all shards up.
pub async fn release_all(node: &Rc<Node>) {
    let owned = node.owned.borrow().clone();
    for shard in owned {
        shard.release(node.settings.cpu_millis).await;
    }
}

fn queues(configuration: &Configuration) -> Vec<Queue> {
    configuration
        .routes
        .iter()
        .map(|route| route.queue.clone())
        .collect()
}

pub(super) fn entries(items: &[Item], failure_domain: &str) -> Vec<ServerEntry> {
    let decoded = items
        .iter()
        .filter_map(|item| decode_server(&item.key, &item.value));
    decoded
        .filter(|entry| entry.failure_domain == failure_domain)
        .collect()
}

/// State that a progress record shows.
#[must_use]
pub fn standing_of(progress: &record::Progress) -> JobStatus {
    match progress.phase() {
        Phase::Completed => JobStatus::Completed,
        Phase::Failed => JobStatus::Failed,
        Phase::Cancelled => JobStatus::Cancelled,
        Phase::Live if progress.tasks.is_empty() => JobStatus::Queued,
        Phase::Live => JobStatus::Running,
    }
}
