//! Model checking of the production transition code with two hosts and one task: every order of deliveries, losses,
//! crashes and clock steps up to a depth, and every placement of up to two faults in longer runs.

mod common;

use std::collections::HashMap;

use common::{Cluster, Message, job, server_name, task};
use primrosestack_core::ids::stable_hash;
use primrosestack_core::prelude::*;
use smol_str::SmolStr;

/// Clock steps: past a promise, past a confirmation, and past a lease while the owner is paused.
const STEPS: [Choice; 3] = [
    Choice::Step(1_600, [true, true]),
    Choice::Step(6_200, [true, true]),
    Choice::Step(10_300, [false, true]),
];

/// Clock step of a fault-free transition, in milliseconds.
const STEP_MS: u64 = 1_000;

/// Number of transitions whose orders are all explored.
const DEPTH: u32 = 5;

/// Number of transitions from the start of a scenario in which faults may occur.
const FAULT_WINDOW: u32 = 10;

/// A transition of the model.
#[derive(Clone, Copy, Debug)]
enum Choice {
    /// The message arrives; if it is a call, its response arrives as well.
    Deliver(usize),
    /// The call arrives; its response is delayed.
    Hold(usize),
    /// The message is lost.
    Lose(usize),
    Kill(usize),
    Suspect(usize),
    /// Latency-critical requests need the capacity of the task on server 0.
    Evict,
    /// The clock advances, with a tick at the chosen hosts.
    Step(u64, [bool; 2]),
    /// From now on the link drops all messages.
    Cut(Link),
    /// All links are restored.
    Heal,
}

/// A link of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Store(usize),
    /// Link between a host and server 0.
    Server(usize),
    Peer,
}

/// Number of faults of each kind that may still occur when all orders are explored.
#[derive(Clone, Copy, Debug, Default)]
struct Limits {
    losses: u32,
    delays: u32,
    crashes: u32,
    evictions: u32,
}

#[derive(Clone)]
struct State {
    cluster: Cluster,
    /// The initial owner and its designated successor.
    names: [SmolStr; 2],
    limits: Limits,
}

impl State {
    /// Creates two hosts and a task that is running on server 0.
    fn with_running_task(servers: usize, limits: Limits) -> Self {
        let mut cluster = Cluster::new(&["a", "b"], servers, servers);
        cluster.run_until(5_000, "all servers claimed", Cluster::is_claimed);
        cluster.run(3_000);
        cluster.submit(job(1, 1));
        cluster.drops_calls = true;
        assert_eq!(cluster.server_of(task(1, 0)), Some(server_name(0)));
        let names = [
            cluster.owner().expect("a host owns the shard"),
            cluster.successor(),
        ];
        Self {
            cluster,
            names,
            limits,
        }
    }

    /// Whether a host is alive and does not suspect the other one.
    fn considers_peer_alive(&self, at: usize) -> bool {
        let shard = self.cluster.hosts.get(&self.names[at]);
        shard.is_some_and(|(_, shard)| !shard.suspects(&self.id(1 - at)))
    }

    fn is_alive(&self, at: usize) -> bool {
        self.cluster.hosts.contains_key(&self.names[at])
    }

    fn id(&self, at: usize) -> HostId {
        let is_first = self.names[at] == "a";
        common::host(&self.names[at], if is_first { 1 } else { 2 })
    }

    fn choices(&self) -> Vec<Choice> {
        let mut choices = Vec::new();
        for (at, message) in self.cluster.messages.iter().enumerate() {
            choices.push(Choice::Deliver(at));
            if self.limits.losses > 0 {
                choices.push(Choice::Lose(at));
            }
            let is_call = matches!(message, Message::Store(..) | Message::Server(..));
            if self.limits.delays > 0 && is_call {
                choices.push(Choice::Hold(at));
            }
        }
        for at in 0..2 {
            if self.limits.crashes > 0 && self.is_alive(at) {
                choices.push(Choice::Kill(at));
            }
            if self.considers_peer_alive(at) {
                choices.push(Choice::Suspect(at));
            }
        }
        if self.limits.evictions > 0 {
            choices.push(Choice::Evict);
        }
        choices.extend(STEPS);
        choices
    }

    /// Returns the fault-free transition: the oldest message arrives, or the clock advances.
    fn fault_free_choice(&self) -> Choice {
        if !self.cluster.messages.is_empty() {
            return Choice::Deliver(0);
        }
        let is_cut = self.cluster.is_cut(&self.names[0], &self.names[1]);
        for at in 0..2 {
            if self.considers_peer_alive(at) && (is_cut || !self.is_alive(1 - at)) {
                return Choice::Suspect(at);
            }
        }
        Choice::Step(STEP_MS, [true; 2])
    }

    /// Returns the faults that may occur in this state.
    fn faults(&self) -> Vec<Choice> {
        let mut faults = vec![Choice::Evict, Choice::Cut(Link::Peer), Choice::Heal];
        faults.extend(STEPS);
        for at in 0..2 {
            faults.extend([Choice::Kill(at), Choice::Cut(Link::Store(at))]);
            faults.push(Choice::Cut(Link::Server(at)));
        }
        match self.cluster.messages.first() {
            None => {}
            Some(Message::Peer(..) | Message::Response(..)) => faults.push(Choice::Lose(0)),
            Some(_) => faults.extend([Choice::Lose(0), Choice::Hold(0)]),
        }
        if self.cluster.messages.len() > 1 {
            faults.push(Choice::Deliver(1));
        }
        faults
    }

    fn apply(&mut self, choice: Choice) {
        let limits = &mut self.limits;
        match choice {
            Choice::Deliver(at) => {
                if let Some((to, event)) = self.cluster.deliver(at) {
                    self.cluster.handle(&to, event);
                }
            }
            Choice::Hold(at) => {
                limits.delays = limits.delays.saturating_sub(1);
                if let Some((to, event)) = self.cluster.deliver(at) {
                    self.cluster.messages.push(Message::Response(to, event));
                }
            }
            Choice::Lose(at) => {
                limits.losses = limits.losses.saturating_sub(1);
                self.cluster.messages.remove(at);
            }
            Choice::Kill(at) => {
                limits.crashes = limits.crashes.saturating_sub(1);
                self.cluster.hosts.remove(&self.names[at]);
            }
            Choice::Evict => {
                limits.evictions = limits.evictions.saturating_sub(1);
                self.send_to_hosts([true; 2], &common::reclaim_request(&server_name(0)));
            }
            Choice::Suspect(at) => self.set_suspicion(at, true),
            Choice::Cut(link) => {
                let [owner, successor] = self.names.clone();
                let link = match link {
                    Link::Store(at) => (self.names[at].clone(), "store".into()),
                    Link::Server(at) => (self.names[at].clone(), server_name(0)),
                    Link::Peer => (owner, successor),
                };
                self.cluster.cut_links.insert(link);
            }
            Choice::Heal => {
                self.cluster.cut_links.clear();
                for at in (0..2)
                    .filter(|at| self.is_alive(1 - *at))
                    .collect::<Vec<_>>()
                {
                    self.set_suspicion(at, false);
                }
            }
            Choice::Step(ms, ticks) => {
                self.cluster.advance_clock(ms);
                self.send_to_hosts(ticks, &Event::Tick);
            }
        }
    }

    fn set_suspicion(&mut self, at: usize, suspected: bool) {
        let host = self.id(1 - at);
        let event = Event::Suspicion { host, suspected };
        self.cluster.handle(&self.names[at], event);
    }

    fn send_to_hosts(&mut self, which: [bool; 2], event: &Event) {
        for at in (0..2).filter(|at| which[*at]) {
            self.cluster.handle(&self.names[at], event.clone());
        }
    }

    fn check(&self) {
        self.cluster.check_no_duplicates();
        let shards = self.cluster.hosts.values();
        let epochs: Vec<Epoch> = shards.filter_map(|(_, shard)| shard.epoch()).collect();
        let differ = epochs.len() < 2 || epochs[0] != epochs[1];
        assert!(differ, "two hosts command servers under {epochs:?}");
    }

    /// Checks the final state after all links are restored: the task is running, from the committed checkpoint if there
    /// is one.
    fn check_settled(&self) {
        let mut shards = self.cluster.hosts.values();
        let Some((_, owner)) = shards.find(|(_, shard)| shard.is_owner()) else {
            assert!(self.cluster.hosts.is_empty(), "no host owns the shard");
            return;
        };
        let servers = self.cluster.servers.values();
        let mut attempts = servers.flat_map(|server| &server.attempts);
        let running = attempts.find(|(_, started)| started.state == TaskState::Running);
        let (attempt, started) = running.expect("the task is running at the end");
        let committed = owner
            .task(task(1, 0))
            .expect("the task is unfinished")
            .checkpoint;
        let own = format!("c{}.{}", attempt.term, attempt.counter);
        if committed.as_deref() != Some(own.as_str()) {
            assert_eq!(started.resumed_from, committed);
        }
    }

    /// Hashes the state that determines all continuations.
    fn fingerprint(&self) -> u64 {
        let cluster = &self.cluster;
        let outside = (
            cluster.now,
            cluster.store.revision,
            &cluster.servers,
            &cluster.messages,
        );
        let text = format!("{outside:?}{:?}{:?}", cluster.hosts, self.limits);
        stable_hash(text.as_bytes(), 0)
    }
}

/// Explores the continuations of a state.
#[derive(Default)]
struct Explorer {
    /// Remaining depth with which a state was explored before.
    visited: HashMap<u64, u32>,
    transitions: u64,
    path: Vec<Choice>,
}

impl Explorer {
    /// Applies a choice and checks the resulting state.
    fn apply_and_check(&mut self, state: &mut State, choice: Choice) {
        self.path.push(choice);
        self.transitions += 1;
        let path = &self.path;
        let checked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            state.apply(choice);
            state.check();
        }));
        assert!(checked.is_ok(), "check failed after {path:?}");
    }

    /// Explores every choice up to a depth.
    fn every_order(&mut self, state: &State, remaining_depth: u32) {
        if remaining_depth == 0 {
            return;
        }
        for choice in state.choices() {
            let mut next = state.clone();
            self.apply_and_check(&mut next, choice);
            let known = self.visited.entry(next.fingerprint()).or_default();
            if *known < remaining_depth {
                *known = remaining_depth;
                self.every_order(&next, remaining_depth - 1);
            }
            self.path.pop();
        }
    }

    /// Explores runs with up to `faults` faults within `FAULT_WINDOW` transitions. A run continues until leases have
    /// expired; then all links are restored, and it continues until the task must be running again.
    fn every_fault(&mut self, mut state: State, faults: u32) {
        let depth = self.path.len();
        for _ in 0..FAULT_WINDOW {
            if faults > 0 {
                for fault in state.faults() {
                    let mut next = state.clone();
                    self.apply_and_check(&mut next, fault);
                    self.every_fault(next, faults - 1);
                    self.path.pop();
                }
            }
            let choice = state.fault_free_choice();
            self.apply_and_check(&mut state, choice);
        }
        self.run_fault_free(&mut state, 22_000);
        self.apply_and_check(&mut state, Choice::Heal);
        self.run_fault_free(&mut state, 25_000);
        let path = &self.path;
        let checked =
            std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| state.check_settled()));
        assert!(checked.is_ok(), "wrong final state after {path:?}");
        self.path.truncate(depth);
    }

    fn run_fault_free(&mut self, state: &mut State, ms: u64) {
        let end = state.cluster.now + ms;
        while state.cluster.now < end {
            let choice = state.fault_free_choice();
            self.apply_and_check(state, choice);
        }
    }
}

/// Runs `work` for each first choice on its own thread. Returns the numbers of states and of transitions.
fn explore_in_parallel(
    state: &State,
    choices: Vec<Choice>,
    work: impl Fn(&mut Explorer, State) + Sync,
) -> (usize, u64) {
    let explored = std::thread::scope(|scope| {
        let threads: Vec<_> = choices
            .into_iter()
            .map(|choice| {
                let (mut next, work) = (state.clone(), &work);
                scope.spawn(move || {
                    let mut explorer = Explorer::default();
                    explorer.apply_and_check(&mut next, choice);
                    work(&mut explorer, next);
                    explorer
                })
            })
            .collect();
        let joined = threads
            .into_iter()
            .map(|thread| thread.join().expect("no check failed"));
        joined.collect::<Vec<_>>()
    });
    let states = explored.iter().map(|explorer| explorer.visited.len()).sum();
    let transitions = explored.iter().map(|explorer| explorer.transitions).sum();
    (states, transitions)
}

/// Guards against a server with two owners and a task that runs twice, in any order of events around a takeover with
/// one server.
#[test]
fn every_order_of_events() {
    let limits = Limits {
        losses: 1,
        delays: 1,
        crashes: 1,
        evictions: 1,
    };
    let state = State::with_running_task(1, limits);
    let (states, transitions) = explore_in_parallel(&state, state.choices(), |explorer, state| {
        explorer.every_order(&state, DEPTH - 1);
    });
    println!("every order to depth {DEPTH}: {states} states, {transitions} transitions");
}

/// Guards against a server with two owners and a task that runs twice, in runs long enough for leases to expire and for
/// the task to be restarted on a second server, with one more fault at every point of each scenario.
#[test]
fn every_fault_in_longer_runs() {
    use Choice::{Cut, Kill};
    let scenarios: [&[Choice]; 7] = [
        &[],
        &[Choice::Evict],
        &[Kill(0)],
        &[Kill(0), Cut(Link::Server(1))],
        &[Cut(Link::Store(0)), Cut(Link::Store(1))],
        &[Cut(Link::Peer), Cut(Link::Store(1)), Cut(Link::Server(0))],
        &[Cut(Link::Peer), Cut(Link::Store(0)), Cut(Link::Server(1))],
    ];
    for scenario in scenarios {
        let mut state = State::with_running_task(2, Limits::default());
        for choice in scenario {
            state.apply(*choice);
        }
        let (_, transitions) = explore_in_parallel(&state, state.faults(), |explorer, state| {
            explorer.every_fault(state, 1);
        });
        println!("{scenario:?}: two faults, {transitions} transitions");
    }
}
