//! Two owners and one task on the transition code that ships: every order of message deliveries, losses, deaths and
//! clock steps to a stated depth, and every placement of one or two faults in longer runs.

mod common;

use std::collections::HashMap;

use common::{Message, World, job, server_name, size, task};
use primrosestack_core::ids::stable_hash;
use primrosestack_core::prelude::*;
use smol_str::SmolStr;

/// Clock steps: past a promise, past a confirmation, past a lease with the owner paused.
const STEPS: [Choice; 3] = [
    Choice::Step(1_600, [true, true]),
    Choice::Step(6_200, [true, true]),
    Choice::Step(10_300, [false, true]),
];

/// Length of a step when nothing goes wrong, in milliseconds.
const STEP_MS: u64 = 1_000;

/// Number of transitions of which every order is followed.
const DEPTH: u32 = 5;

/// Number of transitions, from the start of a scenario, in which faults happen.
const WINDOW: u32 = 10;

/// One transition.
#[derive(Clone, Copy, Debug)]
enum Choice {
    /// The message arrives; if it is a call, its answer arrives as well.
    Deliver(usize),
    /// The call arrives, and its answer is under way.
    Hold(usize),
    /// The message is lost.
    Lose(usize),
    Kill(usize),
    Suspect(usize),
    /// Latency-critical requests need the room of the task on server 0.
    Evict,
    /// Time passes, with a tick at the chosen hosts.
    Step(u64, [bool; 2]),
    /// From now on a link loses everything.
    Cut(Link),
    /// All links work again.
    Heal,
}

/// What a host talks to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Store(usize),
    /// Of a host and server 0.
    Server(usize),
    Peer,
}

/// How often something may go wrong when every order is followed.
#[derive(Clone, Copy, Debug, Default)]
struct Limits {
    losses: u32,
    holds: u32,
    deaths: u32,
    evictions: u32,
}

#[derive(Clone)]
struct State {
    world: World,
    /// The owner at the start, and its designated successor.
    names: [SmolStr; 2],
    limits: Limits,
}

impl State {
    /// Two hosts, and a task that runs on server 0.
    fn settled(servers: usize, limits: Limits) -> Self {
        let mut world = World::open(&["a", "b"], servers, servers);
        world.run_until(5_000, "claimed servers", World::is_claimed);
        world.run(3_000);
        world.submit(job(1, 1));
        world.is_silent = true;
        assert_eq!(world.server_of(task(1, 0)), Some(server_name(0)));
        let names = [world.owner().expect("owned"), world.successor()];
        Self {
            world,
            names,
            limits,
        }
    }

    /// Whether a host lives and does not suspect the other one.
    fn trusts(&self, at: usize) -> bool {
        let shard = self.world.hosts.get(&self.names[at]);
        shard.is_some_and(|(_, shard)| !shard.suspects(&self.id(1 - at)))
    }

    fn is_alive(&self, at: usize) -> bool {
        self.world.hosts.contains_key(&self.names[at])
    }

    fn id(&self, at: usize) -> HostId {
        let is_first = self.names[at] == "a";
        common::host(&self.names[at], if is_first { 1 } else { 2 })
    }

    fn choices(&self) -> Vec<Choice> {
        let mut choices = Vec::new();
        for (at, message) in self.world.queue.iter().enumerate() {
            choices.push(Choice::Deliver(at));
            if self.limits.losses > 0 {
                choices.push(Choice::Lose(at));
            }
            let is_call = matches!(message, Message::Store(..) | Message::Server(..));
            if self.limits.holds > 0 && is_call {
                choices.push(Choice::Hold(at));
            }
        }
        for at in 0..2 {
            if self.limits.deaths > 0 && self.is_alive(at) {
                choices.push(Choice::Kill(at));
            }
            if self.trusts(at) {
                choices.push(Choice::Suspect(at));
            }
        }
        if self.limits.evictions > 0 {
            choices.push(Choice::Evict);
        }
        choices.extend(STEPS);
        choices
    }

    /// What happens next when nothing goes wrong: the oldest message arrives, or time passes.
    fn expected(&self) -> Choice {
        if !self.world.queue.is_empty() {
            return Choice::Deliver(0);
        }
        let is_cut = self.world.is_cut(&self.names[0], &self.names[1]);
        for at in 0..2 {
            if self.trusts(at) && (is_cut || !self.is_alive(1 - at)) {
                return Choice::Suspect(at);
            }
        }
        Choice::Step(STEP_MS, [true; 2])
    }

    /// What may go wrong at this point.
    fn faults(&self) -> Vec<Choice> {
        let mut faults = vec![Choice::Evict, Choice::Cut(Link::Peer), Choice::Heal];
        faults.extend(STEPS);
        for at in 0..2 {
            faults.extend([Choice::Kill(at), Choice::Cut(Link::Store(at))]);
            faults.push(Choice::Cut(Link::Server(at)));
        }
        match self.world.queue.first() {
            None => {}
            Some(Message::Peer(..) | Message::Answer(..)) => faults.push(Choice::Lose(0)),
            Some(_) => faults.extend([Choice::Lose(0), Choice::Hold(0)]),
        }
        if self.world.queue.len() > 1 {
            faults.push(Choice::Deliver(1));
        }
        faults
    }

    fn apply(&mut self, choice: Choice) {
        let limits = &mut self.limits;
        match choice {
            Choice::Deliver(at) => {
                if let Some((to, event)) = self.world.deliver(at) {
                    self.world.event(&to, event);
                }
            }
            Choice::Hold(at) => {
                limits.holds = limits.holds.saturating_sub(1);
                if let Some((to, event)) = self.world.deliver(at) {
                    self.world.queue.push(Message::Answer(to, event));
                }
            }
            Choice::Lose(at) => {
                limits.losses = limits.losses.saturating_sub(1);
                self.world.queue.remove(at);
            }
            Choice::Kill(at) => {
                limits.deaths = limits.deaths.saturating_sub(1);
                self.world.hosts.remove(&self.names[at]);
            }
            Choice::Evict => {
                limits.evictions = limits.evictions.saturating_sub(1);
                let event = Event::Pressure {
                    server: server_name(0),
                    need: size(1_000),
                };
                self.both([true; 2], &event);
            }
            Choice::Suspect(at) => self.hear(at, true),
            Choice::Cut(link) => {
                let [owner, successor] = self.names.clone();
                let link = match link {
                    Link::Store(at) => (self.names[at].clone(), "store".into()),
                    Link::Server(at) => (self.names[at].clone(), server_name(0)),
                    Link::Peer => (owner, successor),
                };
                self.world.cut.insert(link);
            }
            Choice::Heal => {
                self.world.cut.clear();
                for at in (0..2)
                    .filter(|at| self.is_alive(1 - *at))
                    .collect::<Vec<_>>()
                {
                    self.hear(at, false);
                }
            }
            Choice::Step(ms, ticks) => {
                self.world.pass(ms);
                self.both(ticks, &Event::Tick);
            }
        }
    }

    fn hear(&mut self, at: usize, suspected: bool) {
        let host = self.id(1 - at);
        let event = Event::Suspicion { host, suspected };
        self.world.event(&self.names[at], event);
    }

    fn both(&mut self, which: [bool; 2], event: &Event) {
        for at in (0..2).filter(|at| which[*at]) {
            self.world.event(&self.names[at], event.clone());
        }
    }

    fn check(&self) {
        self.world.check();
        let shards = self.world.hosts.values();
        let epochs: Vec<Epoch> = shards.filter_map(|(_, shard)| shard.epoch()).collect();
        let differ = epochs.len() < 2 || epochs[0] != epochs[1];
        assert!(differ, "two hosts command under {epochs:?}");
    }

    /// After a run that ended with all links healed, the task runs, and from the committed checkpoint if there is one.
    fn check_settled(&self) {
        let mut shards = self.world.hosts.values();
        let Some((_, owner)) = shards.find(|(_, shard)| shard.is_owner()) else {
            assert!(self.world.hosts.is_empty(), "nobody owns the shard");
            return;
        };
        let servers = self.world.servers.values();
        let mut attempts = servers.flat_map(|server| &server.attempts);
        let running = attempts.find(|(_, attempted)| attempted.state == TaskState::Running);
        let (attempt, attempted) = running.expect("the task runs in the end");
        let committed = owner.task(task(1, 0)).expect("open").checkpoint;
        let own = format!("c{}.{}", attempt.term, attempt.counter);
        if committed.as_deref() != Some(own.as_str()) {
            assert_eq!(attempted.resumed_from, committed);
        }
    }

    /// A hash of everything that decides what can follow.
    fn fingerprint(&self) -> u64 {
        let world = &self.world;
        let outside = (
            world.now,
            world.store.revision,
            &world.servers,
            &world.queue,
        );
        let text = format!("{outside:?}{:?}{:?}", world.hosts, self.limits);
        stable_hash(text.as_bytes(), 0)
    }
}

/// Follows continuations of a state.
#[derive(Default)]
struct Explorer {
    /// Depth left when a state was followed before.
    seen: HashMap<u64, u32>,
    transitions: u64,
    path: Vec<Choice>,
}

impl Explorer {
    /// Applies a choice and checks the result.
    fn go(&mut self, state: &mut State, choice: Choice) {
        self.path.push(choice);
        self.transitions += 1;
        let path = &self.path;
        let checked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            state.apply(choice);
            state.check();
        }));
        assert!(checked.is_ok(), "after {path:?}");
    }

    /// Follows every choice to a depth.
    fn every_order(&mut self, state: &State, left: u32) {
        if left == 0 {
            return;
        }
        for choice in state.choices() {
            let mut next = state.clone();
            self.go(&mut next, choice);
            let known = self.seen.entry(next.fingerprint()).or_default();
            if *known < left {
                *known = left;
                self.every_order(&next, left - 1);
            }
            self.path.pop();
        }
    }

    /// Follows a run in which `faults` faults happen within `WINDOW` transitions. It goes on until leases have lapsed,
    /// then all links work again, and it goes on until the task must run.
    fn every_fault(&mut self, mut state: State, faults: u32) {
        let depth = self.path.len();
        for _ in 0..WINDOW {
            if faults > 0 {
                for fault in state.faults() {
                    let mut next = state.clone();
                    self.go(&mut next, fault);
                    self.every_fault(next, faults - 1);
                    self.path.pop();
                }
            }
            let expected = state.expected();
            self.go(&mut state, expected);
        }
        self.follow(&mut state, 22_000);
        self.go(&mut state, Choice::Heal);
        self.follow(&mut state, 25_000);
        let path = &self.path;
        let checked =
            std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| state.check_settled()));
        assert!(checked.is_ok(), "not settled after {path:?}");
        self.path.truncate(depth);
    }

    fn follow(&mut self, state: &mut State, ms: u64) {
        let end = state.world.now + ms;
        while state.world.now < end {
            let expected = state.expected();
            self.go(state, expected);
        }
    }
}

/// Runs `work` for each first choice on its own thread; returns the numbers of states and transitions.
fn spread(
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
                    explorer.go(&mut next, choice);
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
    let states = explored.iter().map(|explorer| explorer.seen.len()).sum();
    let transitions = explored.iter().map(|explorer| explorer.transitions).sum();
    (states, transitions)
}

/// Guards against two owners of one server at a time, and a task that runs twice, after any order of events around a
/// takeover with one server.
#[test]
fn every_order_of_events() {
    let limits = Limits {
        losses: 1,
        holds: 1,
        deaths: 1,
        evictions: 1,
    };
    let state = State::settled(1, limits);
    let (states, transitions) = spread(&state, state.choices(), |explorer, state| {
        explorer.every_order(&state, DEPTH - 1);
    });
    println!("every order to depth {DEPTH}: {states} states, {transitions} transitions");
}

/// Guards against a task that runs twice or a server that obeys two owners in runs long enough for leases to lapse and
/// work to be restarted on the second server, with one more fault at every point of each scenario.
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
        let mut state = State::settled(2, Limits::default());
        for choice in scenario {
            state.apply(*choice);
        }
        let (_, transitions) = spread(&state, state.faults(), |explorer, state| {
            explorer.every_fault(state, 1);
        });
        println!("{scenario:?}: two faults, {transitions} transitions");
    }
}
