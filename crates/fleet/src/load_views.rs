//! Loads of all shards as one host knows them, and which owners it asks for them.
//!
//! Owners ask each other. Any other host asks the owner of its own failure domain, which passes on what it knows of the
//! other shards. The number of requests then grows with the hosts plus the square of the failure domains, and almost
//! none of them cross a link between failure domains.

use smol_str::SmolStr;

use crate::intake::Load;
use crate::open_tasks::OpenTasksView;

/// Older loads and counts of queued jobs are not used: callers accept counts up to 2 s old.
pub const LOAD_MAX_AGE_MS: u64 = 1_500;

/// Age from which a host asks the owner of a shard itself: three poll intervals.
const RELAYED_MAX_AGE_MS: u64 = 900;

/// Interval at which an owner fetches the interference estimates of another one. A table is twenty times the size of a
/// load; one that is half a second old differs by a few reports.
const INTERFERENCE_INTERVAL_MS: u64 = 500;

/// Load and queue lengths of a shard.
#[derive(Clone, Debug, Default)]
pub struct ShardView {
    /// Last load reported by the owner; `None` if the owner does not respond.
    pub load: Option<Load>,
    /// Number of jobs per queue that have not started any task, sorted by queue.
    pub queued: Vec<(SmolStr, u32)>,
    /// When the owner determined `queued` and `load`.
    pub updated_ms: u64,
    pub open_tasks: OpenTasksView,
    interference_fetched_ms: u64,
}

impl ShardView {
    /// Whether the queue lengths are too old to be shown.
    #[must_use]
    pub fn is_outdated(&self, now_ms: u64) -> bool {
        now_ms > self.updated_ms + LOAD_MAX_AGE_MS
    }
}

/// Load and queue lengths of a shard as determined by its owner.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    pub load: Load,
    pub queued: Vec<(SmolStr, u32)>,
    /// Time since the owner determined them.
    pub age_ms: u64,
}

/// A request for loads. Shards are numbered in the order of their failure domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadQuery {
    /// Asks the owner of a shard for the load of this shard.
    Shard {
        index: usize,
        /// Whether to ask for the interference estimates as well.
        interference: bool,
    },
    /// Asks the owner of a shard for the loads of all shards that it knows.
    All { index: usize },
}

/// What a host knows of the load of each shard.
#[derive(Clone, Debug)]
pub struct LoadViews {
    own_index: usize,
    views: Vec<ShardView>,
}

impl LoadViews {
    /// Starts without any load; `own_index` is the index of the host's failure domain.
    #[must_use]
    pub fn open(own_index: usize, shards: usize) -> Self {
        Self {
            own_index,
            views: vec![ShardView::default(); shards],
        }
    }

    #[must_use]
    pub fn view(&self, index: usize) -> &ShardView {
        &self.views[index]
    }

    pub fn view_mut(&mut self, index: usize) -> &mut ShardView {
        &mut self.views[index]
    }

    #[must_use]
    pub fn views(&self) -> &[ShardView] {
        &self.views
    }

    /// Requests that are due; `owned` tells for each shard whether this host owns it. An owner's knowledge of the other
    /// shards would be as old as this host's, so owners ask each other.
    #[must_use]
    pub fn due_queries(&self, owned: &[bool], now_ms: u64) -> Vec<LoadQuery> {
        let owns_any = owned.contains(&true);
        let mut queries = Vec::new();
        if !owns_any {
            queries.push(LoadQuery::All {
                index: self.own_index,
            });
        }
        for (index, view) in self.views.iter().enumerate() {
            if owned[index] {
                continue;
            }
            let is_relayed = !owns_any
                && (index == self.own_index || now_ms <= view.updated_ms + RELAYED_MAX_AGE_MS);
            if is_relayed {
                continue;
            }
            let interference =
                owns_any && now_ms >= view.interference_fetched_ms + INTERFERENCE_INTERVAL_MS;
            queries.push(LoadQuery::Shard {
                index,
                interference,
            });
        }
        queries
    }

    /// Applies a report unless a newer one of the shard is known.
    pub fn apply(&mut self, index: usize, report: LoadReport, now_ms: u64) {
        let view = &mut self.views[index];
        let updated_ms = now_ms.saturating_sub(report.age_ms);
        if updated_ms < view.updated_ms {
            return;
        }
        let open_tasks = report.load.open_tasks.clone().unwrap_or_default();
        view.open_tasks.apply(open_tasks, updated_ms);
        view.load = Some(report.load);
        view.queued = report.queued;
        view.updated_ms = updated_ms;
    }

    /// Records that the interference estimates of a shard's owner were merged.
    pub fn interference_merged(&mut self, index: usize, now_ms: u64) {
        self.views[index].interference_fetched_ms = now_ms;
    }

    /// Forgets loads that are too old for placement.
    pub fn expire(&mut self, now_ms: u64) {
        for view in &mut self.views {
            if view.is_outdated(now_ms) {
                view.load = None;
            }
        }
    }

    /// Reports that this host can pass on: those of all shards with a load that is not outdated.
    pub fn relayable(&self, now_ms: u64) -> impl Iterator<Item = (usize, &ShardView, u64)> {
        let known = self.views.iter().enumerate();
        known.filter_map(move |(index, view)| {
            let is_known = view.load.is_some() && !view.is_outdated(now_ms);
            is_known.then(|| (index, view, now_ms.saturating_sub(view.updated_ms)))
        })
    }
}
