//! State that the daemon's services share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use primrosestack_fleet::admission::{self, Refusal, ShardState};
use primrosestack_fleet::copy_age::CopyAge;
use primrosestack_fleet::evacuation::Evacuations;
use primrosestack_fleet::handover::{Handover, PastTerms};
use primrosestack_fleet::intake::Load;
use primrosestack_fleet::interference::InterferenceEstimate;
use primrosestack_fleet::load_views::LoadViews;
use primrosestack_fleet::open_tasks::ShardLimits;
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::Owner;
use primrosestack_fleet::store_health::{Availability, StoreHealth};
use primrosestack_fleet::tombstones::WritePace;
use primrosestack_platform::catalog::Configuration;
use primrosestack_platform::http::HttpClient;
use primrosestack_platform::servers::ServerClient;
use primrosestack_platform::store::{Item, Page, StoreClient, StoreFailure};
use smol_str::SmolStr;
use tokio::sync::Mutex;

use crate::daemon::clock::{now_ms, unix_ms};
use crate::daemon::ingress::limits::HostSize;
use crate::daemon::line_limit::LineLimit;
use crate::daemon::odd_entries::OddEntries;
use crate::daemon::owner::OwnedShard;
use crate::daemon::peers::Peers;
use crate::daemon::settings::DaemonSettings;
use crate::logs::Line;
use crate::metrics::Metrics;

/// About 100 KB at 24 bytes an entry.
const HOME_CACHE_MAX: usize = 4_096;

/// The owner of a shard, as announced in the store.
#[derive(Clone, Debug)]
pub struct OwnerView {
    pub failure_domain: SmolStr,
    /// `None` if no owner is announced.
    pub owner: Option<Owner>,
    /// Last owner that was announced.
    pub last_owner: Option<Owner>,
    /// When this host first saw the announcement of the last owner.
    pub last_owner_since_ms: u64,
    /// Revision of the announcement; 0 if there is none.
    pub revision: u64,
    /// CPU of the last owner, or of the host for which it released the shard, in millicores.
    pub cpu_millis: u32,
    pub vacant_since_ms: u64,
    /// Whether the last owner released the shard.
    pub released: bool,
}

/// State that the daemon's services share.
pub struct Node {
    pub settings: DaemonSettings,
    /// Time limits of the deployment.
    pub bounds: Bounds,
    pub store: StoreClient,
    pub servers: ServerClient,
    /// Connections to other entry hosts.
    pub peers: Peers,
    pub metrics: Metrics,
    /// `None` until the configuration has been read.
    pub configuration: RefCell<Option<Rc<Configuration>>>,
    /// Age of `configuration`.
    pub configuration_age: Cell<CopyAge>,
    /// Failure domains that the operator has asked to evacuate.
    pub evacuations: RefCell<Evacuations>,
    pub owned_shards: RefCell<Vec<Rc<OwnedShard>>>,
    /// Owners of all shards, sorted by failure domain.
    pub owner_views: RefCell<Vec<OwnerView>>,
    /// Loads of all shards, in the order of the failure domains in the settings.
    pub load_views: RefCell<LoadViews>,
    /// Whether the owners' announcements have been read once.
    pub owners_loaded: Cell<bool>,
    pub stopping: Cell<bool>,
    pub active_requests: Cell<u64>,
    home_cache: RefCell<Vec<(JobId, SmolStr)>>,
    /// Handovers of shards that this host gave up, sorted by failure domain.
    past_terms: RefCell<Vec<(SmolStr, PastTerms)>>,
    /// Highest terms of successors that requested a handover, sorted by failure domain.
    successors: RefCell<Vec<(SmolStr, u64)>>,
    /// Limits the lines about requests that this host rejected.
    pub peer_lines: LineLimit,
    /// Limits the lines about callers' requests that were rejected for what they contain.
    pub rejection_lines: LineLimit,
    /// Limits the lines about callers' requests that could not be served.
    pub failure_lines: LineLimit,
    /// Limits the lines about reads of the configuration that failed.
    pub configuration_lines: LineLimit,
    /// When the last attempt to count queued jobs from the store failed, and why. Held by the only attempt at a time:
    /// it reads all records of a shard.
    pub count_attempt: Mutex<Option<(u64, StoreFailure)>>,
    pub odd_entries: OddEntries,
    /// Spaces the writes of tombstones.
    pub tombstone_pace: Cell<WritePace>,
    /// Limits of the shards that this host owns, and of others whose owners do not tell theirs.
    pub shard_limits: ShardLimits,
    store_health: Cell<StoreHealth>,
}

/// Inserts or replaces the entry of a failure domain in a sorted list.
fn upsert<T>(list: &RefCell<Vec<(SmolStr, T)>>, failure_domain: &str, value: T) {
    let mut list = list.borrow_mut();
    match list.binary_search_by(|(existing, _)| existing.as_str().cmp(failure_domain)) {
        Ok(index) => list[index].1 = value,
        Err(index) => list.insert(index, (failure_domain.into(), value)),
    }
}

impl Node {
    /// Creates the shared state without connecting to other hosts.
    #[must_use]
    pub fn open(settings: DaemonSettings, http: HttpClient, metrics: Metrics) -> Self {
        let bounds = Bounds {
            lease_max_ms: settings.lease_max_ms,
            stop_ms: settings.task_stop_ms,
            retention_ms: Bounds::retention_with(settings.retention_s * 1_000),
            heartbeat_ms: settings.heartbeat_ms,
            drain_ms: settings.drain_ms,
            evacuation_ms: (settings.evacuation_ms > 0).then_some(settings.evacuation_ms),
        };
        let views = settings
            .failure_domains
            .iter()
            .map(|failure_domain| OwnerView {
                failure_domain: failure_domain.clone(),
                owner: None,
                last_owner: None,
                last_owner_since_ms: 0,
                cpu_millis: 0,
                revision: 0,
                vacant_since_ms: now_ms(),
                released: false,
            });
        let host = HostSize::from_settings(settings.memory_mb, settings.fds_max);
        let own_index = settings
            .failure_domains
            .binary_search(&settings.failure_domain)
            .unwrap_or_default();
        Self {
            bounds,
            metrics,
            store: StoreClient::open(http.clone(), settings.store_address.clone()),
            servers: ServerClient::open(http),
            peers: Peers::default(),
            configuration: RefCell::new(None),
            configuration_age: Cell::default(),
            evacuations: RefCell::default(),
            owned_shards: RefCell::new(Vec::new()),
            owner_views: RefCell::new(views.collect()),
            load_views: RefCell::new(LoadViews::open(own_index, settings.failure_domains.len())),
            owners_loaded: Cell::new(false),
            shard_limits: settings.caller_limits.of_shards(host),
            stopping: Cell::new(false),
            active_requests: Cell::new(0),
            home_cache: RefCell::new(Vec::new()),
            past_terms: RefCell::new(Vec::new()),
            successors: RefCell::new(Vec::new()),
            peer_lines: LineLimit::default(),
            rejection_lines: LineLimit::default(),
            failure_lines: LineLimit::default(),
            configuration_lines: LineLimit::default(),
            count_attempt: Mutex::default(),
            odd_entries: OddEntries::default(),
            tombstone_pace: Cell::default(),
            store_health: Cell::new(StoreHealth::default()),
            settings,
        }
    }

    /// Whether the load balancer should send new connections to this host.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping.get()
            && self.configuration.borrow().is_some()
            && !self.is_store_unavailable()
    }

    /// Records that the configuration was the newest at `as_of_ms`, when the call that confirmed it was sent.
    pub fn confirm_configuration(&self, as_of_ms: u64) {
        let before = self.configuration_age.get();
        self.update_configuration_age(|age| age.confirm(as_of_ms));
        if self.configuration_age.get() != before {
            self.metrics.set_configuration_confirmed(unix_ms() / 1_000);
        }
    }

    /// Changes what is known of the age of the configuration.
    pub fn update_configuration_age(&self, change: impl FnOnce(&mut CopyAge)) {
        let mut age = self.configuration_age.get();
        change(&mut age);
        self.configuration_age.set(age);
    }

    /// Whether the configuration has all versions that must be in force by now.
    #[must_use]
    pub fn is_configuration_current(&self) -> bool {
        let bound_ms = self.settings.configuration_bound_ms();
        self.configuration_age.get().is_current(now_ms(), bound_ms)
    }

    /// The shard of a failure domain, if this host owns it.
    #[must_use]
    pub fn owned_shard(&self, failure_domain: &str) -> Option<Rc<OwnedShard>> {
        self.owned_shards
            .borrow()
            .iter()
            .find(|shard| shard.failure_domain == failure_domain)
            .cloned()
    }

    /// Stores the handover of a shard for its next owner.
    pub fn save_handover(&self, failure_domain: &SmolStr, handover: Handover) {
        let mut past_terms = self.past_terms.borrow_mut();
        let found =
            past_terms.binary_search_by(|(existing, _)| existing.as_str().cmp(failure_domain));
        let index = found.unwrap_or_else(|index| {
            past_terms.insert(index, (failure_domain.clone(), PastTerms::default()));
            index
        });
        past_terms[index].1.insert(handover);
    }

    /// Forgets the handover of a term whose state may be incomplete.
    pub fn forget_handover(&self, failure_domain: &str, term: u64) {
        let mut past_terms = self.past_terms.borrow_mut();
        let found = past_terms
            .iter_mut()
            .find(|(existing, _)| existing == failure_domain);
        if let Some((_, terms)) = found {
            terms.remove(term);
        }
    }

    /// Steps down in favour of a successor with a later term. Returns the handover of `handover_term` if this process
    /// owned the shard in that term.
    pub fn yield_shard(
        &self,
        failure_domain: &str,
        successor_term: u64,
        handover_term: u64,
    ) -> Option<Handover> {
        let owned = self.owned_shard(failure_domain);
        if let Some(owned) = owned.filter(|owned| owned.leadership.term < successor_term) {
            owned.step_down("successor_asked");
        }
        let term = successor_term.max(self.successor_term(failure_domain));
        upsert(&self.successors, failure_domain, term);
        let past_terms = self.past_terms.borrow();
        let (_, saved) = past_terms
            .iter()
            .find(|(domain, _)| domain == failure_domain)?;
        saved.find(handover_term).cloned()
    }

    /// Highest term of a successor that requested a handover; this host must not act in an earlier term.
    #[must_use]
    pub fn successor_term(&self, failure_domain: &str) -> u64 {
        let successors = self.successors.borrow();
        let found = successors
            .iter()
            .find(|(domain, _)| domain == failure_domain);
        found.map_or(0, |(_, term)| *term)
    }

    /// Records the CPU of the last owner of a shard, in millicores.
    pub fn record_last_owner_cpu(&self, failure_domain: &str, cpu_millis: u32) {
        let mut owners = self.owner_views.borrow_mut();
        let found =
            owners.binary_search_by(|view| view.failure_domain.as_str().cmp(failure_domain));
        if let Ok(index) = found {
            owners[index].cpu_millis = cpu_millis;
        }
    }

    /// Address of the owner of a shard, if another host owns it.
    #[must_use]
    pub fn owner_address(&self, failure_domain: &str) -> Option<String> {
        let owners = self.owner_views.borrow();
        let index = owners
            .binary_search_by(|view| view.failure_domain.as_str().cmp(failure_domain))
            .ok()?;
        let owner = owners[index].owner.as_ref()?;
        (owner.host != self.settings.name).then(|| owner.address.clone())
    }

    /// Merges interference estimates of other owners into the owned shards.
    pub fn merge_interference(&self, estimates: &[InterferenceEstimate]) {
        for owned in self.owned_shards.borrow().iter() {
            owned.shard.borrow_mut().merge_interference(estimates);
        }
    }

    /// Whether the operator has asked to evacuate a failure domain, as far as this host knows.
    #[must_use]
    pub fn is_evacuated(&self, failure_domain: &str) -> bool {
        self.evacuations.borrow().is_evacuated(failure_domain)
    }

    /// Known loads of all shards but the given one and those of evacuated failure domains, which get nothing new.
    #[must_use]
    pub fn other_loads(&self, failure_domain: &str) -> Vec<(SmolStr, Load)> {
        let views = self.load_views.borrow();
        let domains = self
            .settings
            .failure_domains
            .iter()
            .zip(views.views().iter());
        let others = domains
            .filter(|(domain, _)| domain.as_str() != failure_domain && !self.is_evacuated(domain));
        others
            .filter_map(|(domain, view)| Some((domain.clone(), view.load.clone()?)))
            .collect()
    }

    /// Replaces loads after tasks were delegated to those shards.
    pub fn set_loads(&self, loads: Vec<(SmolStr, Load)>) {
        let mut views = self.load_views.borrow_mut();
        for (domain, load) in loads {
            let Ok(index) = self.settings.failure_domains.binary_search(&domain) else {
                continue;
            };
            views.view_mut(index).load = Some(load);
        }
    }

    /// Chooses the home shard of a job, and adds the job to that shard's load.
    ///
    /// # Errors
    ///
    /// Returns why no shard may get it.
    pub fn choose_home(&self, job: &JobSpec) -> Result<SmolStr, Refusal> {
        let domains = &self.settings.failure_domains;
        let own = domains
            .binary_search(&self.settings.failure_domain)
            .unwrap_or_default();
        let mut views = self.load_views.borrow_mut();
        let shards = views.views().iter().zip(domains);
        let shards: Vec<ShardState> = shards
            .map(|(view, domain)| ShardState {
                load: view.load.as_ref(),
                open_tasks: view.open_tasks.known(),
                is_evacuated: self.is_evacuated(domain),
            })
            .collect();
        let admission = admission::admit(own, &shards, job, self.shard_limits)?;
        let view = views.view_mut(admission.index);
        view.open_tasks.add(job, admission.is_served, now_ms());
        if let Some(load) = &mut view.load {
            load.add(job);
        }
        Ok(domains[admission.index].clone())
    }

    /// Decodes the registrations of the servers of a failure domain.
    #[must_use]
    pub fn decode_registrations(&self, items: &[Item], failure_domain: &str) -> Vec<ServerEntry> {
        let now = now_ms();
        let decoded = items
            .iter()
            .filter_map(|item| self.odd_entries.decode_server(item, now));
        decoded
            .filter(|entry| entry.failure_domain == failure_domain)
            .collect()
    }

    /// Records the result of a store call, and logs when the store becomes unavailable or available again.
    pub fn record_store_call<T>(&self, call: &'static str, result: &Result<T, StoreFailure>) {
        let now = now_ms();
        let outcome = result.as_ref().err().map_or("done", StoreFailure::name);
        self.metrics.record_store(call, outcome);
        let is_failure = matches!(
            result,
            Err(StoreFailure::Unavailable { .. } | StoreFailure::NoAnswer)
        );
        let mut health = self.store_health.get();
        let change = if is_failure {
            health.record_failure(now)
        } else {
            health.record_answer(now)
        };
        self.store_health.set(health);
        match change {
            Availability::Unchanged => {}
            Availability::Lost { answered_ms_ago } => Line::warn("store_lost")
                .with("call", call)
                .with("reason", outcome)
                .with("answered_ms_ago", answered_ms_ago)
                .write(),
            Availability::Regained { outage_ms } => Line::info("store_regained")
                .with("call", call)
                .with("away_ms", outage_ms)
                .write(),
        }
    }

    /// Records the result of a list or watch, and reports rows that could not be decoded.
    pub fn record_page<T>(&self, call: &'static str, result: &Result<Page<T>, StoreFailure>) {
        self.record_store_call(call, result);
        if let Ok(page) = result {
            self.odd_entries
                .report_unreadable(call, page.unreadable, now_ms());
        }
    }

    /// Whether the store has answered no call at all for a while, so that nothing can be learned from it.
    #[must_use]
    pub fn is_store_silent(&self) -> bool {
        self.store_health.get().is_silent(now_ms())
    }

    /// Whether calls to the store have failed for a while.
    #[must_use]
    pub fn is_store_unavailable(&self) -> bool {
        self.store_health.get().is_unavailable()
    }

    /// Caches the home shard of a job.
    pub fn cache_home(&self, id: JobId, failure_domain: &SmolStr) {
        let mut homes = self.home_cache.borrow_mut();
        let Err(index) = homes.binary_search_by_key(&id, |(existing, _)| *existing) else {
            return;
        };
        if homes.len() >= HOME_CACHE_MAX {
            // Job IDs are random, so this evicts an arbitrary entry.
            homes.remove(index.min(HOME_CACHE_MAX - 1));
        }
        let index = homes.partition_point(|(existing, _)| *existing < id);
        homes.insert(index, (id, failure_domain.clone()));
    }

    /// Forgets the home shard of a job, which may have changed.
    pub fn forget_home(&self, id: JobId) {
        let mut homes = self.home_cache.borrow_mut();
        if let Ok(index) = homes.binary_search_by_key(&id, |(existing, _)| *existing) {
            homes.remove(index);
        }
    }

    #[must_use]
    pub fn cached_home(&self, id: JobId) -> Option<SmolStr> {
        let homes = self.home_cache.borrow();
        let index = homes
            .binary_search_by_key(&id, |(existing, _)| *existing)
            .ok()?;
        Some(homes[index].1.clone())
    }
}
