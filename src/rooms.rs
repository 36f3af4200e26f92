//! Room for requests and batch on each backend server: sizes for batch, open slots for requests.

use std::collections::BTreeMap;

use primrosestack_core::allotment::{Allotment, AllotmentConfig};
use primrosestack_core::capacity::Resources;
use primrosestack_core::event::Event;
use primrosestack_core::ids::Epoch;
use primrosestack_core::time::MonoMs;
use primrosestack_core::view::ServerView;
use smol_str::SmolStr;

use crate::hostlist::{ListedServer, ListedState};
use crate::shards::Policy;

/// Requests that one backend server handles at a time, a hard limit.
const SLOTS_PER_SERVER: u32 = 8;

struct Room {
    allotment: Allotment,
    total: Resources,
    rack: SmolStr,
    leaving: bool,
    batch_size: Resources,
    /// Epoch under which the server last reported, and requests of earlier owners that were still in execution.
    foreign: (Epoch, u32),
    reported_busy: u32,
}

/// The rooms of all listed servers of the failure domain.
pub struct Rooms {
    config: AllotmentConfig,
    rooms: BTreeMap<SmolStr, Room>,
}

/// How requests and batch fit into one server.
pub struct Fit {
    /// Slots that may be open.
    pub slots: u32,
    /// Events for the shard, if batch gets another size or has to give room back.
    pub events: Vec<Event>,
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

    /// Takes in one line of the host list; returns the event for the shard.
    pub fn listed(&mut self, server: &ListedServer) -> Event {
        let config = self.config;
        let room = self.rooms.entry(server.name.clone()).or_insert_with(|| {
            let allotment = Allotment::open(config);
            Room {
                allotment,
                total: server.resources,
                rack: server.rack.clone(),
                leaving: false,
                batch_size: allotment.batch_size(config, server.resources, 0),
                foreign: (Epoch::default(), 0),
                reported_busy: 0,
            }
        });
        room.total = server.resources;
        room.leaving = server.state == ListedState::Leaving;
        room.listed(&server.name)
    }

    /// Takes in how many requests a server has in execution, from a report under an epoch of this host.
    pub fn reported(&mut self, server: &SmolStr, epoch: Epoch, requests_running: u32) {
        let Some(room) = self.rooms.get_mut(server) else {
            return;
        };
        if room.foreign.0 != epoch {
            // The server obeys this epoch from now on, so all that runs now was sent under earlier ones.
            room.foreign = (epoch, requests_running);
        }
        room.foreign.1 = room.foreign.1.min(requests_running);
        room.reported_busy = requests_running;
    }

    /// Fits requests and batch into a server, given what batch has reserved, the own requests in execution there, and
    /// the requests that wait for any server.
    pub fn fit(
        &mut self,
        now: MonoMs,
        server: &ServerView,
        reserved: Resources,
        running: u32,
        queued: u32,
    ) -> Fit {
        let config = self.config;
        let Some(room) = self.rooms.get_mut(&server.name) else {
            return Fit {
                slots: 0,
                events: Vec::new(),
            };
        };
        let foreign = room.foreign.1;
        let waiting = queued.min(SLOTS_PER_SERVER);
        room.allotment
            .follow(now, config, running + foreign + waiting);
        let size = room
            .allotment
            .batch_size(config, room.total, running + foreign);
        let mut events = Vec::new();
        if size != room.batch_size {
            room.batch_size = size;
            events.push(room.listed(&server.name));
        }
        if !reserved.fits_in(size) {
            events.push(Event::Pressure {
                server: server.name.clone(),
                need: reserved.saturating_sub(size),
            });
        }
        let open = room.allotment.open_slots(config, room.total, reserved);
        Fit {
            slots: open.saturating_sub(foreign),
            events,
        }
    }
}

impl Room {
    fn listed(&self, name: &SmolStr) -> Event {
        Event::Listed {
            server: name.clone(),
            rack: self.rack.clone(),
            size: self.batch_size,
            leaving: self.leaving,
        }
    }
}
