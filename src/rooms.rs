//! Room for requests and batch on each backend server: what batch must leave free, and open slots for requests.
//!
//! Room is withheld from batch before slots open, and slots are closed before room is given back.

use std::collections::BTreeMap;

use primrosestack_core::allotment::{Allotment, AllotmentConfig};
use primrosestack_core::capacity::Resources;
use primrosestack_core::event::{Event, Report};
use primrosestack_core::ids::Epoch;
use primrosestack_core::time::MonoMs;
use smol_str::SmolStr;

use crate::hostlist::ListedServer;
use crate::shards::Policy;

/// Requests that one backend server handles at a time, a hard limit.
const SLOTS_PER_SERVER: u32 = 8;

struct Room {
    allotment: Allotment,
    total: Resources,
    /// Epoch under which the server last reported, and requests of earlier owners that were still in execution.
    foreign: (Epoch, u32),
    /// Sum of the sizes of its tasks, as last reported.
    tasks_size: Resources,
}

/// The rooms of all listed servers of the failure domain.
pub struct Rooms {
    config: AllotmentConfig,
    rooms: BTreeMap<SmolStr, Room>,
}

/// Use of a server by the work of this host.
#[derive(Clone, Copy, Debug)]
pub struct Use {
    /// What batch has reserved; `None` if this host does not know all tasks of the server.
    pub reserved: Option<Resources>,
    /// What batch must leave free, as the shard has it.
    pub withheld: Resources,
    /// Requests of this host in execution.
    pub running: u32,
    /// Requests that wait for any server.
    pub queued: u32,
}

impl Default for Rooms {
    fn default() -> Self {
        let config =
            AllotmentConfig::with_latency_weight(SLOTS_PER_SERVER, Resources::default(), 500);
        Self {
            config,
            rooms: BTreeMap::new(),
        }
    }
}

impl Rooms {
    /// Takes in what the documents in force say.
    pub fn set_policy(&mut self, policy: &Policy) {
        let latency_permille = policy.objective.latency_permille;
        self.config = AllotmentConfig::with_latency_weight(
            SLOTS_PER_SERVER,
            policy.slot_size,
            latency_permille,
        );
    }

    /// Takes in one line of the host list.
    pub fn listed(&mut self, server: &ListedServer) {
        let config = self.config;
        let room = self.rooms.entry(server.name.clone());
        let room = room.or_insert_with(|| Room {
            allotment: Allotment::open(config),
            total: server.resources,
            foreign: (Epoch::default(), 0),
            tasks_size: Resources::default(),
        });
        room.total = server.resources;
    }

    /// Takes in a report of a server that was made under an epoch of this host.
    pub fn reported(&mut self, server: &SmolStr, epoch: Epoch, report: &Report) {
        let Some(room) = self.rooms.get_mut(server) else {
            return;
        };
        if room.foreign.0 != epoch {
            // The server obeys this epoch from now on, so all that runs now was sent under earlier ones.
            room.foreign = (epoch, report.requests_running);
        }
        room.foreign.1 = room.foreign.1.min(report.requests_running);
        room.tasks_size = report.tasks_size;
    }

    /// Follows the demand on a server. Returns what batch must leave free, if that is more than it does now.
    pub fn follow(&mut self, now: MonoMs, server: &SmolStr, current: Use) -> Option<Event> {
        let config = self.config;
        let room = self.rooms.get_mut(server)?;
        let waiting = current.queued.min(SLOTS_PER_SERVER);
        let demand = current.running + room.foreign.1 + waiting;
        room.allotment.observe_demand(now, config, demand);
        let withheld = room.withheld(config, current.running);
        let is_more = !withheld.fits_in(current.withheld);
        is_more.then(|| withhold(server, withheld.greater(current.withheld)))
    }

    /// Slots that may be open.
    #[must_use]
    pub fn open_slots(&self, server: &SmolStr, current: Use) -> u32 {
        let Some(room) = self.rooms.get(server) else {
            return 0;
        };
        let (reserved, withheld) = match current.reserved {
            Some(reserved) => (reserved, current.withheld),
            // No task starts here meanwhile, so all that the reported tasks leave is free for requests.
            None => (room.tasks_size, room.total),
        };
        let left = room.total.saturating_sub(reserved);
        let open = room.allotment.open_slots(self.config, withheld, left);
        open.saturating_sub(room.foreign.1)
    }

    /// Returns what batch must leave free, if that is less than it does now. To be asked after the slots were closed,
    /// with the requests that are in execution then.
    #[must_use]
    pub fn give_back(&self, server: &SmolStr, current: Use) -> Option<Event> {
        let room = self.rooms.get(server)?;
        let withheld = room.withheld(self.config, current.running);
        let is_less = withheld.fits_in(current.withheld) && withheld != current.withheld;
        is_less.then(|| withhold(server, withheld))
    }
}

impl Room {
    fn withheld(&self, config: AllotmentConfig, running: u32) -> Resources {
        // Before a document says what a request needs, those of an earlier owner may need any amount.
        if config.slot_size.is_zero() {
            return self.total;
        }
        let withheld = self.allotment.withheld(config, running + self.foreign.1);
        withheld.lesser(self.total)
    }
}

fn withhold(server: &SmolStr, amount: Resources) -> Event {
    Event::Withhold {
        server: server.clone(),
        amount,
    }
}
