//! Emulator of a deployment on one virtual clock, without sockets: a store, backend servers, entry hosts and callers.
//!
//! The owners drive [`Shard`](primrosestack_fleet::shard::Shard), the decision code that ships. A seed decides all times
//! and faults, so that each run repeats exactly.
//!
//! Of the daemon's shell, the emulator models: taking, confirming, announcing and releasing a shard; polls and their
//! timing; orders and their answers; batches of records with the condition on the term; the inbox and the registrations;
//! the delegation of tasks; moves of jobs to other shards; handovers; acceptance, states and cancellation for callers,
//! with the homes of jobs that a host remembers; servers that drain and leave. Numbers of an incarnation
//! ([`OfIncarnation`](primrosestack_fleet::incarnation::OfIncarnation)) reach only that incarnation, as on the connections of
//! `platform/`.
//!
//! Of separations, [`Plan::with_separations`] draws owners that lose the store, the other hosts and some servers, which a
//! successor reaches, while it loses those that they keep. Other cuts concern all links of a host, server or domain.
//!
//! With [`World::with_evacuations`], hosts read the operator's requests; [`Plan::with_evacuations`] draws series of these,
//! owners that end or are cut off meanwhile, and compactions of the history that the reads of these requests meet.
//!
//! Simplified: watches read the history at most 100 ms later, a host has its number as its address, an owner is announced
//! when it opens its shard, and the loads of other shards are at most 300 ms old.
//!
//! Not modelled: sockets and message formats, pages of lists, other compactions, rates, stale reads, several queues,
//! configuration, gangs, tickets, copies, tail latencies and best-effort tasks, checkpoints, clocks of
//! hosts that jump, processor time, candidates that are better placed, servers that drain and come back, and a store that
//! turns only some calls away.

mod caller;
mod check;
mod clock;
mod departure;
mod fault;
mod host;
mod links;
mod operator;
mod orders;
mod owner;
mod rehoming;
mod schedule;
mod server;
mod server_events;
mod store;
mod succession;

use primrosestack_fleet::intake::Load;
use primrosestack_fleet::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smol_str::{SmolStr, format_smolstr};

pub use check::Violation;
pub use fault::Fault;
pub use schedule::{Plan, job, long_running_step, step};

use check::Checks;
use clock::EventQueue;
use host::{Announcement, Host};
use links::{ServerArrival, ServerReply, StoreAnswer, StoreArrival, StoreCall};
use operator::{Operator, OperatorEvent};
use owner::Owner;
use server::BackendServer;
use store::Store;

/// Time of day at which every run begins, in milliseconds since the Unix epoch.
pub const START_UNIX_MS: u64 = 1_700_000_000_000;

/// Time limits as used in deployments.
pub const BOUNDS: Bounds = Bounds {
    lease_max_ms: 10_000,
    stop_ms: 900,
    retention_ms: 120_000,
    heartbeat_ms: 1_500,
    drain_ms: 2_000,
    evacuation_ms: None,
};

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub domains: usize,
    pub hosts_per_domain: usize,
    pub servers_per_domain: usize,
    /// Capacity of each server, in millicores.
    pub cpu_millis: u32,
}

/// What happens at a time.
#[derive(Clone, Debug)]
enum Event {
    HostTick {
        host: usize,
        life: u32,
    },
    OwnerTick {
        owner: usize,
    },
    RecordsDue {
        owner: usize,
    },
    MovesDue {
        owner: usize,
    },
    NextPoll {
        owner: usize,
        server: ServerKey,
        poll: u64,
    },
    PollTimeout {
        owner: usize,
        server: ServerKey,
        poll: u64,
    },
    AskPredecessor {
        owner: usize,
        address: String,
        term: u64,
        owned_for_ms: u64,
    },
    StoreArrival(Box<StoreArrival>),
    StoreReply {
        host: usize,
        life: u32,
        call: Box<StoreCall>,
        answer: StoreAnswer,
    },
    ServerArrival(Box<ServerArrival>),
    ServerReply {
        owner: usize,
        reply: ServerReply,
    },
    RunDue {
        server: usize,
        life: u64,
        task: TaskId,
        run: u32,
        kind: EndKind,
    },
    PollDue {
        server: usize,
        life: u64,
        poll: u64,
    },
    LeaseDue {
        server: usize,
        life: u64,
    },
    Heartbeat {
        server: usize,
        life: u64,
    },
    Registrations,
    ServerBoot {
        server: usize,
    },
    HostBoot {
        host: usize,
    },
    Fault(Fault),
    Operator(OperatorEvent),
    Submit {
        spec: Box<JobSpec>,
        domain: usize,
    },
    Cancel {
        id: JobId,
        domain: usize,
    },
    Ask {
        id: JobId,
    },
}

/// Failure domain.
#[derive(Clone, Debug, Default)]
struct Domain {
    /// Until when it is cut off from the store and from other failure domains.
    cut_until_ms: u64,
    /// Announcement of the owner of its shard.
    announcement: Announcement,
    /// Load of the shard as its owner last told it, and when.
    load: Option<(u64, Load)>,
}

/// Times until which the store has a fault, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct StoreFaults {
    /// It is down.
    down: u64,
    /// It is slow.
    slow: u64,
    /// Some of its answers are lost.
    lossy: u64,
    /// It carries some calls out late and does not answer them.
    late: u64,
}

/// A deployment with all that happens in it.
pub struct World {
    events: EventQueue<Event>,
    random: Pcg64Mcg,
    store: Store,
    store_faults: StoreFaults,
    /// Without one, hosts do not read the operator's requests.
    operator: Option<Operator>,
    domains: Vec<Domain>,
    hosts: Vec<Host>,
    /// Owners of all terms; `None` once their term has ended for them.
    owners: Vec<Option<Owner>>,
    servers: Vec<BackendServer>,
    polls: u64,
    checks: Checks,
    trace: Option<Vec<String>>,
}

impl World {
    /// Opens a deployment in which all hosts and servers run, and nothing has been submitted.
    #[must_use]
    pub fn open(seed: u64, deployment: Deployment) -> Self {
        let mut world = Self {
            events: EventQueue::open(0),
            random: Pcg64Mcg::seed_from_u64(seed),
            store: Store::default(),
            store_faults: StoreFaults::default(),
            operator: None,
            domains: vec![Domain::default(); deployment.domains],
            hosts: Vec::new(),
            owners: Vec::new(),
            servers: Vec::new(),
            polls: 0,
            checks: Checks::default(),
            trace: None,
        };
        for domain in 0..deployment.domains {
            for nth in 0..deployment.servers_per_domain {
                world.add_server(format_smolstr!("s-{domain}-{nth}"), domain, deployment);
            }
            for _ in 0..deployment.hosts_per_domain {
                let host = world.hosts.len();
                world.hosts.push(Host::open(domain));
                world.events.at(0, Event::HostBoot { host });
            }
        }
        world.events.at(0, Event::Registrations);
        world
    }

    fn add_server(&mut self, name: SmolStr, domain: usize, deployment: Deployment) {
        let server = self.servers.len();
        self.servers.push(BackendServer {
            name,
            domain,
            cpu_millis: deployment.cpu_millis,
            memory_mb: 64_000,
            is_up: false,
            refuses: false,
            is_lost: false,
            registered_ms: 0,
            cut_until_ms: 0,
            late_until_ms: 0,
            lossy_until_ms: 0,
            leaves_ms: None,
            announced_ms: None,
            started_unix_ms: 0,
            booted_ms: 0,
            clock_permille: self.random.random_range(980..=1_000),
            lease_end_ms: 0,
            token: 0,
            runs: Vec::new(),
            ends: std::collections::VecDeque::new(),
            ends_numbered: 0,
            sealed: std::collections::BTreeMap::new(),
            waiting_polls: Vec::new(),
        });
        self.events.at(0, Event::ServerBoot { server });
    }

    /// Keeps a trace of what happens.
    #[must_use]
    pub fn with_trace(mut self) -> Self {
        self.trace = Some(Vec::new());
        self
    }

    /// Lines of the trace, oldest first; empty unless it is kept.
    #[must_use]
    pub fn trace(&self) -> &[String] {
        self.trace.as_deref().unwrap_or_default()
    }

    /// First rule that did not hold, if any.
    #[must_use]
    pub fn violation(&self) -> Option<&Violation> {
        self.checks.violation.as_ref()
    }

    /// Number of starts that servers carried out.
    #[must_use]
    pub fn starts(&self) -> u64 {
        self.checks.starts
    }

    /// Time since the beginning, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.events.now_ms()
    }

    /// Has a fault begin at a time.
    pub fn fault_at(&mut self, at_ms: u64, fault: Fault) {
        self.events.at(at_ms, Event::Fault(fault));
    }

    /// Has a caller of a failure domain submit a job at a time, and ask for its state from then on.
    pub fn submit_at(&mut self, at_ms: u64, domain: usize, spec: JobSpec) {
        let spec = Box::new(spec);
        self.events.at(at_ms, Event::Submit { spec, domain });
    }

    /// Has a caller of a failure domain cancel a job at a time.
    pub fn cancel_at(&mut self, at_ms: u64, domain: usize, id: JobId) {
        self.events.at(at_ms, Event::Cancel { id, domain });
    }

    /// Runs until a time, or until a rule does not hold.
    pub fn run_until(&mut self, end_ms: u64) {
        while self.checks.violation.is_none()
            && let Some(event) = self.events.next(end_ms)
        {
            self.deliver(event);
        }
    }

    /// Runs until a time at which everything should have come to rest, and checks that it has.
    pub fn run_to_rest(&mut self, end_ms: u64) {
        self.run_until(end_ms);
        let now_ms = self.now_ms();
        if self.checks.violation.is_none() {
            self.checks.settled(now_ms);
            let evacuated = self.long_evacuated_servers();
            self.checks.vacated(now_ms, &evacuated);
        }
    }

    fn note(&mut self, text: impl FnOnce() -> String) {
        let now_ms = self.now_ms();
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{now_ms:>7} {}", text()));
        }
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now_ms()
    }

    /// Host at which an event takes effect, if it does at one.
    fn host_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::HostTick { host, .. } | Event::StoreReply { host, .. } => Some(*host),
            Event::OwnerTick { owner }
            | Event::RecordsDue { owner }
            | Event::MovesDue { owner }
            | Event::NextPoll { owner, .. }
            | Event::PollTimeout { owner, .. }
            | Event::AskPredecessor { owner, .. }
            | Event::ServerReply { owner, .. } => Some(self.owners[*owner].as_ref()?.host),
            Event::Operator(event) => event.host(),
            _ => None,
        }
    }

    fn deliver(&mut self, event: Event) {
        if let Some(host) = self.host_of(&event)
            && self.now_ms() < self.hosts[host].frozen_until_ms
        {
            let thaw_ms = self.hosts[host].frozen_until_ms;
            self.events.at(thaw_ms, event);
            return;
        }
        match event {
            Event::HostTick { host, life } => self.host_tick(host, life),
            Event::OwnerTick { owner } => self.owner_tick(owner),
            Event::RecordsDue { owner } => self.write_records(owner),
            Event::MovesDue { owner } => self.moves_due(owner),
            Event::NextPoll {
                owner,
                server,
                poll,
            } => self.next_poll(owner, server, poll),
            Event::PollTimeout {
                owner,
                server,
                poll,
            } => self.poll_timeout(owner, server, poll),
            Event::AskPredecessor {
                owner,
                address,
                term,
                owned_for_ms,
            } => {
                self.ask_predecessor(owner, &address, term, owned_for_ms);
            }
            Event::StoreArrival(arrival) => self.store_arrival(*arrival),
            Event::StoreReply {
                host,
                life,
                call,
                answer,
            } => {
                self.store_reply(host, life, *call, &answer);
            }
            Event::ServerArrival(arrival) => self.server_arrival(*arrival),
            Event::ServerReply { owner, reply } => self.server_reply(owner, reply),
            Event::RunDue {
                server,
                life,
                task,
                run,
                kind,
            } => {
                if self.is_life(server, life) {
                    self.end_run(server, task, run, kind);
                }
            }
            Event::PollDue { server, life, poll } => {
                if self.is_life(server, life) {
                    self.answer_polls(server, |waiting| waiting.poll == poll);
                }
            }
            Event::LeaseDue { server, life } => {
                if self.is_life(server, life) {
                    self.lease_due(server);
                }
            }
            Event::Heartbeat { server, life } => {
                if self.is_life(server, life) {
                    self.heartbeat(server);
                }
            }
            Event::Registrations => self.expire_registrations(),
            Event::ServerBoot { server } => self.boot_server(server),
            Event::HostBoot { host } => self.boot_host(host),
            Event::Fault(fault) => self.begin(&fault),
            Event::Operator(event) => self.operator_event(event),
            Event::Submit { spec, domain } => self.submit(*spec, domain),
            Event::Cancel { id, domain } => self.cancel(id, domain),
            Event::Ask { id } => self.ask(id),
        }
    }

    /// Whether a server is up in the incarnation that a timer belongs to.
    fn is_life(&self, server: usize, life: u64) -> bool {
        self.servers[server].is_up && self.servers[server].started_unix_ms == life
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }
}
