//! Divides the capacity of each backend server between requests and batch: the capacity that is withheld from batch,
//! and the number of open slots for requests.
//!
//! Capacity is withheld from batch before slots open, and slots close before capacity is returned to batch.

use std::collections::BTreeMap;

use primrosestack_core::allotment::{Allotment, AllotmentConfig};
use primrosestack_core::capacity::Resources;
use primrosestack_core::event::{Event, Report};
use primrosestack_core::ids::Epoch;
use primrosestack_core::time::MonoMs;
use smol_str::SmolStr;

use crate::hostlist::ListedServer;
use crate::shards::Policy;

/// Hard limit on the requests that a backend server handles at a time.
const MAX_SLOTS_PER_SERVER: u32 = 8;
/// Weight of the latency objective until a policy is set.
const DEFAULT_LATENCY_PERMILLE: u32 = 500;

struct ServerHeadroom {
    allotment: Allotment,
    total: Resources,
    /// Epoch of the server's last report, and number of requests that earlier owners sent and that may still run.
    inherited: (Epoch, u32),
    /// Sum of the sizes of its tasks, as last reported.
    tasks_size: Resources,
}

/// Headroom for requests on all listed servers of the failure domain.
pub struct HeadroomTable {
    config: AllotmentConfig,
    servers: BTreeMap<SmolStr, ServerHeadroom>,
}

/// Use of a server by this host.
#[derive(Clone, Copy, Debug)]
pub struct ServerUsage {
    /// Reserved by batch tasks; `None` if this host does not know all tasks of the server.
    pub reserved: Option<Resources>,
    /// Capacity that the shard currently withholds from batch.
    pub withheld: Resources,
    /// Number of requests of this host in execution.
    pub running: u32,
    /// Number of requests that are queued for any server.
    pub queued: u32,
}

impl Default for HeadroomTable {
    fn default() -> Self {
        let config = AllotmentConfig::with_latency_weight(
            MAX_SLOTS_PER_SERVER,
            Resources::default(),
            DEFAULT_LATENCY_PERMILLE,
        );
        Self {
            config,
            servers: BTreeMap::new(),
        }
    }
}

impl HeadroomTable {
    /// Applies the scheduling policy.
    pub fn set_policy(&mut self, policy: &Policy) {
        let latency_permille = policy.objective.latency_permille;
        self.config = AllotmentConfig::with_latency_weight(
            MAX_SLOTS_PER_SERVER,
            policy.slot_size,
            latency_permille,
        );
    }

    /// Updates a server from the host list.
    pub fn update_server(&mut self, server: &ListedServer) {
        let config = self.config;
        let headroom = self.servers.entry(server.name.clone());
        let headroom = headroom.or_insert_with(|| ServerHeadroom {
            allotment: Allotment::open(config),
            total: server.resources,
            inherited: (Epoch::default(), 0),
            tasks_size: Resources::default(),
        });
        headroom.total = server.resources;
    }

    /// Records a report of a server that was made under an epoch of this host.
    pub fn record_report(&mut self, server: &SmolStr, epoch: Epoch, report: &Report) {
        let Some(headroom) = self.servers.get_mut(server) else {
            return;
        };
        if headroom.inherited.0 != epoch {
            // The server obeys this epoch from now on, so all requests in execution were sent under earlier ones.
            headroom.inherited = (epoch, report.requests_running);
        }
        headroom.inherited.1 = headroom.inherited.1.min(report.requests_running);
        headroom.tasks_size = report.tasks_size;
    }

    /// Updates the demand on a server. Returns an event if more capacity must be withheld from batch.
    pub fn update_demand(
        &mut self,
        now: MonoMs,
        server: &SmolStr,
        usage: ServerUsage,
    ) -> Option<Event> {
        let config = self.config;
        let headroom = self.servers.get_mut(server)?;
        let waiting = usage.queued.min(MAX_SLOTS_PER_SERVER);
        let demand = usage.running + headroom.inherited.1 + waiting;
        headroom.allotment.observe_demand(now, config, demand);
        let withheld = headroom.withheld(config, usage.running);
        let is_more = !withheld.fits_in(usage.withheld);
        is_more.then(|| withhold(server, withheld.greater(usage.withheld)))
    }

    /// Returns the number of slots that may be open.
    #[must_use]
    pub fn open_slots(&self, server: &SmolStr, usage: ServerUsage) -> u32 {
        let Some(headroom) = self.servers.get(server) else {
            return 0;
        };
        let (reserved, withheld) = match usage.reserved {
            Some(reserved) => (reserved, usage.withheld),
            // No task starts while the tasks are not all known, so requests may use all that the reported tasks leave
            // free.
            None => (headroom.tasks_size, headroom.total),
        };
        let remaining = headroom.total.saturating_sub(reserved);
        let open = headroom
            .allotment
            .open_slots(self.config, withheld, remaining);
        open.saturating_sub(headroom.inherited.1)
    }

    /// Returns an event if less capacity needs to be withheld from batch. Must be called after slots were closed, with
    /// `usage.running` counted after that.
    #[must_use]
    pub fn release_excess(&self, server: &SmolStr, usage: ServerUsage) -> Option<Event> {
        let headroom = self.servers.get(server)?;
        let withheld = headroom.withheld(self.config, usage.running);
        let is_less = withheld.fits_in(usage.withheld) && withheld != usage.withheld;
        is_less.then(|| withhold(server, withheld))
    }
}

impl ServerHeadroom {
    fn withheld(&self, config: AllotmentConfig, running: u32) -> Resources {
        // Until a service document defines the size of a request, requests of an earlier owner may need any amount.
        if config.slot_size.is_zero() {
            return self.total;
        }
        let withheld = self.allotment.withheld(config, running + self.inherited.1);
        withheld.lesser(self.total)
    }
}

fn withhold(server: &SmolStr, amount: Resources) -> Event {
    Event::Withhold {
        server: server.clone(),
        amount,
    }
}
