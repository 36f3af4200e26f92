//! A shard that this host owns: connects its scheduler with the store and the servers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use primrosestack_fleet::claim::{self, Candidate};
use primrosestack_fleet::load_views::LoadReport;
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{self, ServerSet, StoredJob, Term, TermOwner};
use primrosestack_fleet::shard::JobStatus;
use primrosestack_fleet::tombstones::Tombstones;
use primrosestack_platform::catalog::{Configuration, SERVERS_PREFIX};
use primrosestack_platform::store::{Item, StoreFailure, Transaction};
use prost::Message;
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::daemon::clock::{now_ms, unix_ms};
use crate::daemon::inbox::decode_or_log;
use crate::daemon::keys;
use crate::daemon::node::Node;
use crate::daemon::peers::PeerRequest;
use crate::daemon::services::spawn_for_shard;
use crate::daemon::stored_jobs::StoredJobs;
use crate::daemon::{election, journal, operator, rehoming, tombstones};
use crate::logs::Line;

/// Interval of time-dependent checks.
const TICK_INTERVAL_MS: u64 = 100;

/// Interval at which the lease of the announcement is renewed.
const RENEW_INTERVAL_MS: u64 = 700;

/// Age of the last confirmation at which the term is read again.
const CONFIRM_AFTER_MS: u64 = 1_000;

/// The load is computed from all servers and waiting tasks, which is too expensive for each of a hundred requests a
/// second.
const LOAD_REPORT_INTERVAL_MS: u64 = 100;

/// The term in which this host owns a shard.
#[derive(Clone, Copy, Debug)]
pub struct Leadership {
    pub term: u64,
    /// Revision at which the term began.
    pub start_revision: u64,
}

pub struct OwnedShard {
    pub failure_domain: SmolStr,
    pub leadership: Leadership,
    /// Scheduler of the shard.
    pub shard: RefCell<Shard>,
    /// Tombstones in the inbox.
    pub tombstones: RefCell<Tombstones>,
    /// Wakes the task that writes records.
    pub records_due: Notify,
    /// Wakes tasks that wait for records to be written.
    pub recorded: Notify,
    /// Whether this host has stopped commanding the shard.
    pub closed: Cell<bool>,
    /// Whether a task of the shard panicked, so that its state may be incomplete.
    pub(super) panicked: Cell<bool>,
    /// Revision of the term's key, on which the next transaction is conditional.
    pub(super) term_revision: Cell<u64>,
    /// This owner and those before it that had not settled, oldest first.
    pub(super) owners: RefCell<Vec<TermOwner>>,
    pub(super) sequence: Cell<u64>,
    /// Held while a batch of records is being written: a later batch must not overtake an earlier one.
    pub(super) records_lock: tokio::sync::Mutex<()>,
    /// Held while a call that depends on `term_revision` is in flight.
    pub(super) write_lock: tokio::sync::Mutex<()>,
    pub(super) confirmed_ms: Cell<u64>,
    pub(super) lease: Cell<u64>,
    pub(super) opened_ms: u64,
    pub(super) last_plan_ms: Cell<u64>,
    /// CPU of the host for which this one should release the shard, in millicores; `None` to keep it.
    pub(super) successor_cpu_millis: Cell<Option<u32>>,
    pub(super) must_announce: Cell<bool>,
    pub(super) inbox_revision: Cell<u64>,
    pub(super) registrations_revision: Cell<u64>,
    pub(super) polled_servers: RefCell<Vec<ServerKey>>,
    /// Last load report and when it was computed.
    pub(super) load_report: RefCell<Option<(u64, LoadReport)>>,
    pub(super) node: Rc<Node>,
}

impl OwnedShard {
    /// Reads a shard from the store after its term has begun. `sent_ms` is when the transaction that began the term was
    /// sent.
    ///
    /// # Errors
    ///
    /// Returns [`StoreFailure`] if a read fails; the announcement then expires with its lease.
    pub async fn open(
        node: &Rc<Node>,
        failure_domain: SmolStr,
        leadership: Leadership,
        owners: Vec<TermOwner>,
        lease: u64,
        sent_ms: u64,
    ) -> Result<Rc<Self>, StoreFailure> {
        // An earlier owner may have confirmed its term until the transaction was committed.
        let committed_ms = now_ms();
        let servers_key = keys::servers(&failure_domain);
        let recorded_servers = node.store.read(&servers_key).await?;
        let recorded_servers: ServerSet = match recorded_servers {
            // Without the list, tasks that run on silent servers could be started a second time.
            Some(item) => decode_or_log(&item).ok_or(StoreFailure::Malformed { status: 200 })?,
            None => ServerSet::default(),
        };
        let mut stored_jobs = StoredJobs::default();
        let mut tombstones = Tombstones::default();
        let inbox_prefix = keys::inbox_prefix(&failure_domain);
        let inbox = node
            .store
            .list_pages(&inbox_prefix, |rows| {
                tombstones::add_from_inbox(&mut tombstones, &rows);
                stored_jobs.add_inbox(&rows);
            })
            .await?;
        let progress_prefix = keys::progress_prefix(&failure_domain);
        let progress = node
            .store
            .list_pages(&progress_prefix, |rows| stored_jobs.add_progress(&rows))
            .await?;
        let registrations_sent_ms = now_ms();
        let registrations = node.store.list(SERVERS_PREFIX).await?;
        let now = now_ms();
        for (call, rows) in [
            ("list_inbox", inbox.unreadable),
            ("list_progress", progress.unreadable),
            ("list_registrations", registrations.unreadable),
        ] {
            node.odd_entries.report_unreadable(call, rows, now);
        }
        let mut predecessors = owners.clone();
        predecessors.retain(|owner| owner.term < leadership.term);
        let mut shard = Shard::open(
            node.bounds,
            leadership.term,
            leadership.start_revision,
            &recorded_servers,
            record::longest_authority_ms(&predecessors),
            committed_ms,
        )
        .with_time_of_day(unix_ms(), now)
        .with_policy(node.settings.scheduling.into())
        .with_limits(node.shard_limits);
        if let Some(configuration) = node.configuration.borrow().as_ref() {
            shard.set_queues(queues_of(configuration));
        }
        operator::update_shard(node, &failure_domain, &mut shard);
        for (id, stored) in stored_jobs.into_jobs() {
            shard.add_job(id, stored, now);
        }
        shard.open_due_occurrences(unix_ms(), now);
        shard.set_servers(
            node.decode_registrations(&registrations.rows, &failure_domain),
            now,
        );
        shard.registrations_complete(registrations_sent_ms);
        let (live, ready) = shard.backlog();
        Line::info("shard_opened")
            .with("shard", &failure_domain)
            .with("era", leadership.term)
            .with("jobs", live)
            .with("ready", ready)
            .write();
        Ok(Rc::new(Self {
            failure_domain,
            leadership,
            shard: RefCell::new(shard),
            tombstones: RefCell::new(tombstones),
            records_due: Notify::new(),
            recorded: Notify::new(),
            closed: Cell::new(false),
            panicked: Cell::new(false),
            term_revision: Cell::new(leadership.start_revision),
            owners: RefCell::new(owners),
            sequence: Cell::new(0),
            records_lock: tokio::sync::Mutex::new(()),
            write_lock: tokio::sync::Mutex::new(()),
            confirmed_ms: Cell::new(sent_ms),
            lease: Cell::new(lease),
            opened_ms: now,
            last_plan_ms: Cell::new(0),
            successor_cpu_millis: Cell::new(None),
            must_announce: Cell::new(false),
            inbox_revision: Cell::new(inbox.revision),
            registrations_revision: Cell::new(registrations.revision),
            polled_servers: RefCell::new(Vec::new()),
            load_report: RefCell::new(None),
            node: Rc::clone(node),
        }))
    }

    /// Time until which this host may command the shard.
    #[must_use]
    pub fn authority_end_ms(&self) -> u64 {
        if self.closed.get() {
            return 0;
        }
        self.confirmed_ms.get() + self.node.bounds.authority_ms()
    }

    /// Records that the store confirmed the term in response to a call sent at `sent_ms`.
    pub fn confirm(&self, sent_ms: u64) {
        self.confirmed_ms.set(self.confirmed_ms.get().max(sent_ms));
        self.shard.borrow_mut().confirm_term(sent_ms);
    }

    /// Commits a transaction on condition that the term has not ended, and steps down if it has. Each transaction
    /// changes the revision that the others expect, so an earlier one without a response has no effect afterwards.
    ///
    /// # Errors
    ///
    /// Returns [`StoreFailure`] if the transaction was not committed, or may not have been; a conflict also if a condition
    /// of the caller's does not hold.
    pub async fn write_in_term(
        &self,
        call: &'static str,
        transaction: &Transaction,
    ) -> Result<u64, StoreFailure> {
        let _guard = self.write_lock.lock().await;
        let key = keys::term(&self.failure_domain);
        loop {
            self.sequence.set(self.sequence.get() + 1);
            let term = Term {
                number: self.leadership.term,
                sequence: self.sequence.get(),
                cpu_millis: self.node.settings.cpu_millis,
                owners: self.unsettled_owners(),
            };
            let transaction = transaction
                .clone()
                .expect_revision(key.clone(), self.term_revision.get())
                .put(key.clone(), term.encode_to_vec());
            let sent_ms = now_ms();
            let result = self.node.store.commit(&transaction).await;
            self.node.record_store_call(call, &result);
            match result {
                Ok(revision) => {
                    self.term_revision.set(revision);
                    self.confirm(sent_ms);
                    return Ok(revision);
                }
                Err(StoreFailure::Conflict { items }) => {
                    let expected_revision = self.term_revision.get();
                    let current = items.iter().find(|item| item.key == key);
                    if !current.is_some_and(|item| self.refresh_term_revision(item)) {
                        self.step_down("era_ended");
                        return Err(StoreFailure::Conflict { items });
                    }
                    if self.term_revision.get() == expected_revision {
                        // Another condition of the transaction does not hold.
                        return Err(StoreFailure::Conflict { items });
                    }
                    // An earlier transaction without a response was committed after all: retry with its revision.
                }
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Updates `term_revision` if the term's key still holds this term, and returns whether it does.
    pub(super) fn refresh_term_revision(&self, item: &Item) -> bool {
        let term: Option<Term> = decode_or_log(item);
        if term.is_none_or(|term| term.number != self.leadership.term) {
            return false;
        }
        self.term_revision.set(item.revision);
        true
    }

    /// Applies the queues of a configuration.
    pub fn set_queues(self: &Rc<Self>, configuration: &Configuration) {
        self.shard.borrow_mut().set_queues(queues_of(configuration));
        self.plan_and_execute();
    }

    /// Marks the shard for release if the requesting host is better placed to own it.
    pub fn consider_candidate(&self, request: &PeerRequest) {
        let settings = &self.node.settings;
        if request.candidate_domain.is_empty() {
            return;
        }
        let owner = Candidate {
            is_local: settings.failure_domain == self.failure_domain,
            cpu_millis: settings.cpu_millis,
        };
        let other = Candidate {
            is_local: request.candidate_domain == self.failure_domain,
            cpu_millis: request.cpu_millis,
        };
        let owned_for_ms = now_ms().saturating_sub(self.opened_ms);
        let is_settled = self.shard.borrow().is_settled();
        if claim::should_step_down(owner, other, owned_for_ms, is_settled) {
            self.successor_cpu_millis.set(Some(other.cpu_millis));
        }
    }

    /// Has the announcement written again, after it vanished before the term ended.
    pub fn request_announcement(&self) {
        self.must_announce.set(true);
    }

    #[must_use]
    pub fn job_status(&self, id: JobId) -> Option<JobStatus> {
        self.shard.borrow().job_status(id)
    }

    /// Load and queue lengths, computed at most every [`LOAD_REPORT_INTERVAL_MS`].
    #[must_use]
    pub fn load_report(&self, now: u64) -> LoadReport {
        let mut cached = self.load_report.borrow_mut();
        if let Some((computed_ms, report)) = cached.as_ref()
            && now < computed_ms + LOAD_REPORT_INTERVAL_MS
        {
            return report.clone();
        }
        let shard = self.shard.borrow();
        let mut load = shard.load_summary(now);
        let tombstones = self.tombstones.borrow();
        if !tombstones.is_empty() {
            tombstones.report(load.open_tasks.get_or_insert_default());
        }
        let report = LoadReport {
            load,
            queued: shard.queued_jobs(),
            age_ms: 0,
        };
        *cached = Some((now, report.clone()));
        report
    }

    /// Adds a job, its cancellation or the failure of its delegated tasks, as found in the store.
    pub fn receive_job(self: &Rc<Self>, id: JobId, stored: StoredJob) {
        let is_known = self.shard.borrow().find_job(id).is_some();
        let is_cancellation = stored.cancelled;
        let delegates_failed = stored.delegates_failed;
        self.shard.borrow_mut().add_job(id, stored, now_ms());
        if !is_known || is_cancellation || delegates_failed {
            Line::info("job_received")
                .with("job", id)
                .with("shard", &self.failure_domain)
                .with("era", self.leadership.term)
                .with("cancelled", is_cancellation)
                .with("delegates_failed", delegates_failed)
                .write();
        }
        self.plan_and_execute();
    }

    /// Reads the term, and steps down if it has ended. Returns whether the store confirmed it.
    pub(super) async fn check_term(&self) -> bool {
        let called_ms = now_ms();
        let _guard = self.write_lock.lock().await;
        if self.closed.get() {
            return false;
        }
        if self.confirmed_ms.get() > called_ms {
            // Another call was faster.
            return true;
        }
        let sent_ms = now_ms();
        let result = self
            .node
            .store
            .read(&keys::term(&self.failure_domain))
            .await;
        self.node.record_store_call("read_era", &result);
        let Ok(item) = result else { return false };
        let is_current = item.is_some_and(|item| self.refresh_term_revision(&item));
        if is_current {
            self.confirm(sent_ms);
        } else {
            self.step_down("era_ended");
        }
        is_current
    }

    /// Checks the term after a server refused a call because it had seen a later one. Without an answer of the store, the
    /// server's word counts.
    pub async fn verify_term(&self) {
        if !self.check_term().await {
            self.step_down("server_fenced");
        }
    }

    pub(super) async fn maintain_authority(self: Rc<Self>) {
        let mut renewed_ms = 0;
        while !self.closed.get() {
            let now = now_ms();
            if let Some(cpu_millis) = self.successor_cpu_millis.get() {
                self.release(cpu_millis).await;
                return;
            }
            let is_awaited = self.shard.borrow().awaits_confirmation();
            if is_awaited || now >= self.confirmed_ms.get() + CONFIRM_AFTER_MS {
                self.check_term().await;
            }
            if self.must_announce.get() {
                self.announce().await;
                renewed_ms = now;
            } else if now >= renewed_ms + RENEW_INTERVAL_MS {
                renewed_ms = now;
                let result = self.node.store.renew(self.lease.get()).await;
                self.node.record_store_call("renew_announcement", &result);
                if result == Err(StoreFailure::LeaseExpired) {
                    self.must_announce.set(true);
                    continue;
                }
            }
            tokio::time::sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
        }
    }

    /// Writes the announcement again under a new lease.
    pub(super) async fn announce(&self) {
        let result = self.node.store.grant(election::ANNOUNCEMENT_TTL_MS).await;
        self.node.record_store_call("grant_lease", &result);
        let Ok(lease) = result else { return };
        let announcement = election::encode_announcement(&self.node, self.leadership.term);
        let transaction = Transaction::default().put_with_lease(
            keys::owner(&self.failure_domain),
            announcement,
            lease,
        );
        match self.write_in_term("announce", &transaction).await {
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
            let is_store_silent = self.node.is_store_silent();
            self.shard.borrow_mut().set_store_silent(is_store_silent);
            self.shard.borrow_mut().tick(now_ms());
            // What has room here is not delegated.
            self.plan_and_execute();
            let mut others = self.node.other_loads(&self.failure_domain);
            if self
                .shard
                .borrow_mut()
                .delegate_tasks(&mut others, now_ms())
            {
                self.node.set_loads(others);
            }
            self.plan_and_execute();
            self.spawn_polls();
            tokio::time::sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
        }
    }
}

/// Spawns the services of a shard.
pub fn spawn(owned: &Rc<OwnedShard>) {
    owned.spawn_polls();
    spawn_for_shard(owned, "authority", Rc::clone(owned).maintain_authority());
    spawn_for_shard(owned, "tick", Rc::clone(owned).tick());
    spawn_for_shard(owned, "inbox", Rc::clone(owned).follow_inbox());
    spawn_for_shard(
        owned,
        "registrations",
        Rc::clone(owned).follow_registrations(),
    );
    spawn_for_shard(owned, "records", journal::run(Rc::clone(owned)));
    spawn_for_shard(owned, "moves", rehoming::run(Rc::clone(owned)));
    spawn_for_shard(owned, "tombstones", tombstones::run(Rc::clone(owned)));
}

pub async fn release_all(node: &Rc<Node>) {
    let owned = node.owned_shards.borrow().clone();
    for shard in owned {
        shard.release(node.settings.cpu_millis).await;
    }
}

fn queues_of(configuration: &Configuration) -> Vec<Queue> {
    configuration
        .routes
        .iter()
        .map(|route| route.queue.clone())
        .collect()
}

/// Status of a job according to its progress record.
#[must_use]
pub fn status_of(progress: &record::Progress) -> JobStatus {
    progress.phase().status(progress.has_started())
}
