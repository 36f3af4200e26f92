//! What the services of one daemon share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use primrosestack_fleet::handover::Handover;
use primrosestack_fleet::intake::{self, Load};
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::pressure::InterferenceEstimate;
use primrosestack_fleet::record::Owner;
use primrosestack_platform::catalog::Configuration;
use primrosestack_platform::http::Http;
use primrosestack_platform::servers::Servers;
use primrosestack_platform::store::{Store, StoreFailure};
use smol_str::SmolStr;

use crate::daemon::clock::now_ms;
use crate::daemon::owner::OwnedShard;
use crate::daemon::peers::Peers;
use crate::daemon::settings::DaemonSettings;
use crate::logs::Line;
use crate::metrics::Metrics;

/// Homes of jobs that are remembered; at 24 bytes an entry about 100 KB.
const HOMES_MAX: usize = 4_096;

/// Time without an answer of the store after which it counts as away, in milliseconds.
const STORE_AWAY_MS: u64 = 900;

/// The owner of a shard, as far as this host knows.
#[derive(Clone, Debug)]
pub struct OwnerView {
    /// Failure domain of the shard.
    pub failure_domain: SmolStr,
    /// The owner; none if none is announced.
    pub owner: Option<Owner>,
    /// The last owner that was announced.
    pub last_owner: Option<Owner>,
    /// When this host first saw its announcement, in milliseconds.
    pub last_announced_ms: u64,
    /// Revision of the announcement; 0 if there is none.
    pub revision: u64,
    /// Processor time of the last owner, or of the host it gave the shard up for, in thousandths of a core.
    pub cpu_millis: u32,
    /// Since when there is no owner, in milliseconds.
    pub vacant_since_ms: u64,
    /// Whether the last owner gave the shard up.
    pub released: bool,
}

/// Load and queues of a shard, as its owner last told.
#[derive(Clone, Debug, Default)]
pub struct ShardView {
    /// Load; none if its owner does not answer.
    pub load: Option<Load>,
    /// Jobs of each queue of which no task has started, sorted by queue.
    pub waiting: Vec<(SmolStr, u32)>,
    /// When the owner told, in milliseconds.
    pub known_ms: u64,
}

/// Whether the store answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    answered_ms: u64,
    failing_since_ms: Option<u64>,
    is_away: bool,
}

/// What the services of one daemon share.
pub struct Node {
    /// Settings.
    pub settings: DaemonSettings,
    /// Times of the deployment.
    pub bounds: Bounds,
    /// Client of the store.
    pub store: Store,
    /// Client of backend servers.
    pub servers: Servers,
    /// Links to other entry hosts.
    pub peers: Peers,
    /// Metrics.
    pub metrics: Metrics,
    /// Configuration; none before it was read.
    pub configuration: RefCell<Option<Rc<Configuration>>>,
    /// Shards that this host owns.
    pub owned: RefCell<Vec<Rc<OwnedShard>>>,
    /// Owners of all shards, sorted by failure domain.
    pub owners: RefCell<Vec<OwnerView>>,
    /// Loads and queues of all shards, in the order of the failure domains.
    pub shard_views: RefCell<Vec<ShardView>>,
    /// Whether the announcements of owners have been read.
    pub owners_known: Cell<bool>,
    /// Whether the daemon is stopping.
    pub stopping: Cell<bool>,
    /// Requests that are being answered.
    pub requests: Cell<u64>,
    homes: RefCell<Vec<(JobId, SmolStr)>>,
    /// What this host held of shards that it gave up, sorted by failure domain.
    handovers: RefCell<Vec<(SmolStr, Handover)>>,
    /// Highest era of a successor that asked for a shard, sorted by failure domain.
    successors: RefCell<Vec<(SmolStr, u64)>>,
    health: Cell<StoreHealth>,
}

/// Sets the entry of a failure domain in a sorted list.
fn put<T>(list: &RefCell<Vec<(SmolStr, T)>>, failure_domain: &str, value: T) {
    let mut list = list.borrow_mut();
    match list.binary_search_by(|(known, _)| known.as_str().cmp(failure_domain)) {
        Ok(at) => list[at].1 = value,
        Err(at) => list.insert(at, (failure_domain.into(), value)),
    }
}

impl Node {
    /// Opens the shared state; nothing is sent yet.
    #[must_use]
    pub fn open(settings: DaemonSettings, http: Http, metrics: Metrics) -> Self {
        let bounds = Bounds {
            lease_max_ms: settings.lease_max_ms,
            stop_ms: settings.task_stop_ms,
            retention_ms: settings.retention_s * 1_000,
            heartbeat_ms: settings.heartbeat_ms,
        };
        let views = settings
            .failure_domains
            .iter()
            .map(|failure_domain| OwnerView {
                failure_domain: failure_domain.clone(),
                owner: None,
                last_owner: None,
                last_announced_ms: 0,
                cpu_millis: 0,
                revision: 0,
                vacant_since_ms: now_ms(),
                released: false,
            });
        Self {
            bounds,
            metrics,
            store: Store::open(http.clone(), settings.store_address.clone()),
            servers: Servers::open(http),
            peers: Peers::default(),
            configuration: RefCell::new(None),
            owned: RefCell::new(Vec::new()),
            owners: RefCell::new(views.collect()),
            shard_views: RefCell::new(vec![ShardView::default(); settings.failure_domains.len()]),
            owners_known: Cell::new(false),
            stopping: Cell::new(false),
            requests: Cell::new(0),
            homes: RefCell::new(Vec::new()),
            handovers: RefCell::new(Vec::new()),
            successors: RefCell::new(Vec::new()),
            health: Cell::new(StoreHealth::default()),
            settings,
        }
    }

    /// Whether the host should get new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.configuration.borrow().is_some() && !self.is_store_away()
    }

    /// The shard of a failure domain, if this host owns it.
    #[must_use]
    pub fn owned_shard(&self, failure_domain: &str) -> Option<Rc<OwnedShard>> {
        self.owned
            .borrow()
            .iter()
            .find(|shard| shard.failure_domain == failure_domain)
            .cloned()
    }

    /// Keeps what this host held of a shard, for its successor.
    pub fn keep_handover(&self, failure_domain: &SmolStr, handover: Handover) {
        put(&self.handovers, failure_domain, handover);
    }

    /// Gives a shard up to the owner of a later era. Returns what this host held in the era before, if it owned that.
    pub fn yield_shard(&self, failure_domain: &str, successor_era: u64) -> Option<Handover> {
        let owned = self.owned_shard(failure_domain);
        if let Some(owned) = owned.filter(|owned| owned.title.era < successor_era) {
            owned.depose("successor_asked");
        }
        let era = successor_era.max(self.successor_era(failure_domain));
        put(&self.successors, failure_domain, era);
        let handovers = self.handovers.borrow();
        let kept = handovers
            .iter()
            .find(|(domain, _)| domain == failure_domain)?;
        Some(kept.1.clone()).filter(|kept| kept.term + 1 == successor_era)
    }

    /// Highest era of a successor that asked for a shard; this host must not act in an earlier one.
    #[must_use]
    pub fn successor_era(&self, failure_domain: &str) -> u64 {
        let successors = self.successors.borrow();
        let found = successors
            .iter()
            .find(|(domain, _)| domain == failure_domain);
        found.map_or(0, |(_, era)| *era)
    }

    /// Notes the processor time of the last owner of a shard, in thousandths of a core.
    pub fn note_last_owner(&self, failure_domain: &str, cpu_millis: u32) {
        let mut owners = self.owners.borrow_mut();
        let found =
            owners.binary_search_by(|view| view.failure_domain.as_str().cmp(failure_domain));
        if let Ok(at) = found {
            owners[at].cpu_millis = cpu_millis;
        }
    }

    /// Address of the owner of a shard, if another host owns it.
    #[must_use]
    pub fn owner_address(&self, failure_domain: &str) -> Option<String> {
        let owners = self.owners.borrow();
        let at = owners
            .binary_search_by(|view| view.failure_domain.as_str().cmp(failure_domain))
            .ok()?;
        let owner = owners[at].owner.as_ref()?;
        (owner.host != self.settings.name).then(|| owner.address.clone())
    }

    /// Tells the own shards what other owners have learned.
    pub fn learn_from(&self, pairs: &[InterferenceEstimate]) {
        for owned in self.owned.borrow().iter() {
            owned.shard.borrow_mut().merge_interference(pairs);
        }
    }

    /// Loads of the other shards that are known.
    #[must_use]
    pub fn other_loads(&self, failure_domain: &str) -> Vec<(SmolStr, Load)> {
        let views = self.shard_views.borrow();
        let domains = self.settings.failure_domains.iter().zip(views.iter());
        let others = domains.filter(|(domain, _)| domain.as_str() != failure_domain);
        others
            .filter_map(|(domain, view)| Some((domain.clone(), view.load.clone()?)))
            .collect()
    }

    /// Replaces loads by what is left of them.
    pub fn set_loads(&self, loads: Vec<(SmolStr, Load)>) {
        let mut views = self.shard_views.borrow_mut();
        for (domain, load) in loads {
            let Ok(at) = self.settings.failure_domains.binary_search(&domain) else {
                continue;
            };
            views[at].load = Some(load);
        }
    }

    /// Failure domain that should keep a job.
    #[must_use]
    pub fn choose_home(&self, job: &JobSpec) -> SmolStr {
        let domains = &self.settings.failure_domains;
        let own = domains
            .binary_search(&self.settings.failure_domain)
            .unwrap_or_default();
        let mut views = self.shard_views.borrow_mut();
        let loads: Vec<Option<Load>> = views.iter().map(|view| view.load.clone()).collect();
        let home = intake::choose_home(own, &loads, job);
        if let Some(load) = &mut views[home].load {
            load.add(job);
        }
        domains[home].clone()
    }

    /// Notes the result of a call to the store, and logs when the store is lost or regained.
    pub fn note_store<T>(&self, call: &'static str, result: &Result<T, StoreFailure>) {
        let now = now_ms();
        let outcome = result.as_ref().err().map_or("done", StoreFailure::name);
        self.metrics.record_store(call, outcome);
        let mut health = self.health.get();
        let Err(failure @ (StoreFailure::Unavailable { .. } | StoreFailure::Lost)) = result else {
            if health.is_away {
                let away_ms = now - health.failing_since_ms.unwrap_or(now);
                Line::info("store_regained")
                    .with("call", call)
                    .with("away_ms", away_ms)
                    .write();
            }
            health = StoreHealth {
                answered_ms: now,
                failing_since_ms: None,
                is_away: false,
            };
            self.health.set(health);
            return;
        };
        let since_ms = *health.failing_since_ms.get_or_insert(now);
        if !health.is_away && now >= since_ms + STORE_AWAY_MS {
            health.is_away = true;
            Line::warn("store_lost")
                .with("call", call)
                .with("reason", failure)
                .with("answered_ms_ago", now.saturating_sub(health.answered_ms))
                .write();
        }
        self.health.set(health);
    }

    /// Whether the store has not answered for a while.
    #[must_use]
    pub fn is_store_away(&self) -> bool {
        self.health.get().is_away
    }

    /// Remembers where a job is kept.
    pub fn remember_home(&self, id: JobId, failure_domain: &SmolStr) {
        let mut homes = self.homes.borrow_mut();
        let Err(at) = homes.binary_search_by_key(&id, |(known, _)| *known) else {
            return;
        };
        if homes.len() >= HOMES_MAX {
            // Identities are random, so any entry is as good to drop as another.
            homes.remove(at.min(HOMES_MAX - 1));
        }
        let at = homes.partition_point(|(known, _)| *known < id);
        homes.insert(at, (id, failure_domain.clone()));
    }

    /// Where a job is kept, if that is remembered.
    #[must_use]
    pub fn known_home(&self, id: JobId) -> Option<SmolStr> {
        let homes = self.homes.borrow();
        let at = homes.binary_search_by_key(&id, |(known, _)| *known).ok()?;
        Some(homes[at].1.clone())
    }
}
