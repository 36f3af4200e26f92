//! Connects the processes to the fakes and steps through the schedule.

use std::collections::BTreeMap;

use primrosestack_core::ownership::Role;
use primrosestack_core::peer_frame::RequestAnswer;
use primrosestack_core::prelude::*;
use primrosestack_core::shard::Shard;
use primrosestack_core::view::{TaskPhase, TaskView};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smol_str::{SmolStr, format_smolstr};

use crate::callers::Callers;
use crate::checks::{Checked, Checks, require};
use crate::clock::Clock;
use crate::host::{HOST_NAMES, Input, Output, Process, Purpose};
use crate::network::Network;
use crate::schedule::{
    ALL_HOSTS, Deed, Fault, HEALED_US, HOSTS, JobPlan, SECOND_US, SERVERS, SHARDS, Schedule,
};
use crate::server::Server;
use crate::store::Store;

/// End of a run.
const END_US: u64 = HEALED_US + 150 * SECOND_US;
const TICK_US: u64 = 100_000;

/// What happens next.
pub(crate) enum Wake {
    Tick(usize),
    Sweep,
    List(usize),
    Declare(usize),
    Fault(usize, bool),
    Deed(usize),
    Call(usize),
    Expire(usize, CallerToken),
    Input(usize, Option<u64>, Input),
    Store(Ask),
    Command(HostId, Order),
    Request(HostId, usize, Epoch, String, u64),
    Answer(HostId, String, RequestAnswer),
}

/// A call on its way to the store.
pub(crate) struct Ask {
    pub host: usize,
    pub incarnation: u64,
    pub purpose: Purpose,
    pub call: StoreCall,
    /// The network did not double it, so that a refusal tells the truth.
    pub sole: bool,
}

/// A command on its way to a server.
#[derive(Clone)]
pub(crate) struct Order {
    pub host: usize,
    pub shard: usize,
    pub op: OpId,
    pub server: usize,
    pub epoch: Epoch,
    pub command: ServerCommand,
}

/// An entry host and what it has not taken in because it is paused.
pub(crate) struct Host {
    pub clock: Clock,
    pub process: Option<Process>,
    pub backlog: Vec<Input>,
}

/// Everything of one seed.
pub struct World {
    pub checks: Checks,
    pub schedule: Schedule,
    pub trace: Option<Vec<String>>,
    pub(crate) now_us: u64,
    pub(crate) network: Network,
    pub(crate) hosts: Vec<Host>,
    pub(crate) servers: Vec<Server>,
    pub(crate) store: Store,
    pub(crate) tails: [Vec<u8>; SHARDS],
    queue: BTreeMap<(u64, u64), Wake>,
    pub(crate) pushed: u64,
    pub(crate) callers: Callers,
    last_jobs: Vec<JobId>,
}

impl World {
    /// Draws the world of a seed, without the faults in `without`.
    pub fn new(seed: u64, without: &[usize]) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut schedule = Schedule::draw(&mut random);
        for fault in without {
            schedule.faults[*fault].1 = 0;
        }
        let servers = (0..SERVERS).map(|at| draw_server(at, &mut random));
        let servers = servers.collect();
        let hosts = (0..ALL_HOSTS).map(|_| Host {
            clock: Clock::draw(&mut random),
            process: None,
            backlog: Vec::new(),
        });
        let hosts = hosts.collect();
        let mut world = Self {
            checks: Checks::default(),
            trace: None,
            now_us: 0,
            queue: BTreeMap::new(),
            pushed: 0,
            network: Network::new(random, &schedule),
            schedule,
            hosts,
            servers,
            store: Store::default(),
            tails: Default::default(),
            callers: Callers::default(),
            last_jobs: Vec::new(),
        };
        world.plan();
        world
    }

    /// Runs to the end or to the first violation.
    pub fn run(&mut self) -> Checked {
        while let Some(((at_us, _), wake)) = self.queue.pop_first() {
            if at_us > END_US {
                break;
            }
            self.now_us = at_us;
            self.wake(wake)?;
        }
        self.sweep();
        self.checks.finished(&self.last_jobs)?;
        self.jobs_settled()?;
        self.documents_agree()
    }

    fn plan(&mut self) {
        for host in 0..ALL_HOSTS {
            self.start_process(host);
            let first_us = self.network.random.random_range(0..TICK_US);
            self.push(first_us, Wake::Tick(host));
            if host < HOSTS {
                self.push(first_us, Wake::List(host));
            }
        }
        self.push(0, Wake::Sweep);
        for fault in 0..self.schedule.faults.len() {
            let (start_us, end_us, _) = self.schedule.faults[fault];
            if end_us > start_us {
                self.push(start_us, Wake::Fault(fault, true));
                self.push(end_us, Wake::Fault(fault, false));
            }
        }
        // Jobs after the faults show that both shards accept work again.
        for _ in 0..SHARDS {
            let job = self.schedule.jobs.len();
            self.schedule.jobs.push(JobPlan {
                tasks: 1,
                millicores: 1_000,
                work_ms: 1_000,
                fails: false,
            });
            self.last_jobs.push(JobId(job as u64));
            let late_us = HEALED_US + 5 * SECOND_US;
            self.schedule.deeds.push((late_us, Deed::Submit(job)));
        }
        for deed in 0..self.schedule.deeds.len() {
            self.push(self.schedule.deeds[deed].0, Wake::Deed(deed));
        }
    }

    pub(crate) fn push(&mut self, at_us: u64, wake: Wake) {
        self.pushed += 1;
        self.queue.insert((at_us, self.pushed), wake);
    }

    pub(crate) fn push_after(&mut self, delay_us: u64, wake: Wake) {
        self.push(self.now_us + delay_us, wake);
    }

    pub(crate) fn note(&mut self, line: impl FnOnce() -> String) {
        let now_us = self.now_us;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:>9} {}", now_us / 1_000, line()));
        }
    }

    fn wake(&mut self, wake: Wake) -> Checked {
        match wake {
            Wake::Tick(host) => {
                self.push_after(TICK_US, Wake::Tick(host));
                if !self.paused(host) {
                    self.deliver(host, Input::Tick)?;
                }
            }
            Wake::Sweep => {
                self.push_after(TICK_US, Wake::Sweep);
                self.sweep();
            }
            Wake::List(host) => self.list(host),
            Wake::Declare(server) => self.declare(server)?,
            Wake::Fault(fault, active) => self.fault(fault, active)?,
            Wake::Deed(deed) => self.deed(deed)?,
            Wake::Call(caller) => self.call(caller),
            Wake::Expire(caller, token) => {
                if self.callers.expire(caller, token) {
                    self.push_after(1, Wake::Call(caller));
                }
            }
            Wake::Input(host, incarnation, input) => {
                let process = self.hosts[host].process.as_ref();
                let own = process.map(|process| process.id.incarnation);
                if own.is_some() && (incarnation.is_none() || incarnation == own) {
                    self.deliver(host, input)?;
                }
            }
            Wake::Store(ask) => self.store_call(&ask)?,
            Wake::Command(by, order) => self.command(&by, &order)?,
            Wake::Request(by, server, epoch, request, key) => {
                self.request(&by, server, epoch, request, key)?;
            }
            Wake::Answer(by, request, answer) => self.answer(&by, request, answer),
        }
        Ok(())
    }

    pub(crate) fn paused(&self, host: usize) -> bool {
        self.network
            .any(|fault| matches!(fault, Fault::Pause(paused) if *paused == host))
    }

    pub(crate) fn start_process(&mut self, host: usize) {
        let incarnation = self.network.random.random_range(1..u64::MAX);
        let now = self.hosts[host].clock.read(self.now_us);
        self.note(|| format!("start {} {incarnation:x}", HOST_NAMES[host].0));
        self.hosts[host].process = Some(Process::start(host, incarnation, now));
        self.hosts[host].backlog.clear();
    }

    pub(crate) fn deliver(&mut self, host: usize, input: Input) -> Checked {
        if self.paused(host) {
            self.hosts[host].backlog.push(input);
            return Ok(());
        }
        let now = self.hosts[host].clock.read(self.now_us);
        let Some(process) = &mut self.hosts[host].process else {
            return Ok(());
        };
        let id = process.id.clone();
        self.observe(host, &id, &input);
        let mut out = Vec::new();
        if let Some(process) = &mut self.hosts[host].process {
            process.handle(now, input, &mut out);
        }
        for output in out {
            self.perform(host, &id, output)?;
        }
        let documents = self.hosts[host].process.iter().flat_map(Process::documents);
        for document in documents {
            self.checks
                .in_force(&id, &document.team, document.revision)?;
        }
        Ok(())
    }

    /// Records what a host learns from an input.
    fn observe(&mut self, host: usize, id: &HostId, input: &Input) {
        match input {
            Input::Shard(
                _,
                Event::ServerListed {
                    server, leaving, ..
                },
            ) => {
                let at = self.server(server);
                self.checks.listed(self.now_us, id, at, *leaving);
            }
            Input::Answer {
                shard,
                op,
                term,
                event:
                    Event::Server {
                        reply: ServerReply::Report(report),
                        ..
                    },
            } => {
                let process = self.hosts[host].process.as_ref();
                if !process.is_some_and(|process| process.is_open(*shard, *op)) {
                    return;
                }
                for task in &report.tasks {
                    if task.state == TaskState::Succeeded {
                        self.checks.success_reported(*term, task.task, task.attempt);
                    }
                }
            }
            _ => {}
        }
        if !matches!(input, Input::Tick | Input::Beat(_) | Input::Digest(..)) {
            self.note(|| format!("{} <- {input:?}", id.name));
        }
    }

    fn perform(&mut self, host: usize, id: &HostId, output: Output) -> Checked {
        let quiet = matches!(
            &output,
            Output::Peer(_, _, Input::Beat(_) | Input::Digest(..))
        );
        if !quiet {
            self.note(|| format!("{} -> {output:?}", id.name));
        }
        match output {
            Output::Store(purpose, call) => self.send_store(host, id, purpose, &call),
            Output::Command {
                shard,
                op,
                server,
                epoch,
                command,
            } => {
                let server = self.server(&server);
                let order = Order {
                    host,
                    shard,
                    op,
                    server,
                    epoch,
                    command,
                };
                self.send_command(id, &order)?;
            }
            Output::Peer(name, incarnation, message) => {
                let to = HOST_NAMES.iter().position(|(known, _)| *known == name);
                let Some(to) = to else {
                    return require(false, "message to no host", || format!("{name}"));
                };
                for delay_us in self.network.transit(host, to) {
                    let input = message.clone();
                    self.push_after(delay_us, Wake::Input(to, incarnation, input));
                }
            }
            Output::Reply(token, reply) => self.reply(host, id, token, &reply)?,
            Output::Answered(key, body) => Checks::request_answered(key, &body)?,
            Output::Edited(if_match, document) => self.checks.edited(if_match, &document)?,
            Output::Log(notice) => self.checks.count(notice.event),
        }
        Ok(())
    }

    /// Ends the attempts that are over by now.
    pub(crate) fn sweep(&mut self) {
        for server in &mut self.servers {
            for (attempt, end) in server.advance(self.now_us) {
                if let Some(run) = server.runs.get(&attempt) {
                    self.checks.ended(run.task, attempt, end);
                }
            }
        }
    }

    fn server(&self, name: &SmolStr) -> usize {
        let found = self.servers.iter().position(|server| server.name == *name);
        found.unwrap_or(SERVERS)
    }

    /// Checks that each shard has one owner, and that all that it accepted has ended, was cancelled or is parked.
    fn jobs_settled(&self) -> Checked {
        for shard in 0..SHARDS {
            let processes = self.hosts.iter().filter_map(|host| host.process.as_ref());
            let cores = processes.filter_map(|process| process.shards.get(shard));
            let owners: Vec<&Shard> = cores.filter(|core| core.role() == Role::Owner).collect();
            require(owners.len() == 1, "no single owner", || {
                format!("shard {shard} has {} owners", owners.len())
            })?;
            let parked = |task: &TaskView| task.phase == TaskPhase::Parked;
            let open: Vec<_> = owners[0].tasks().filter(|task| !parked(task)).collect();
            require(open.is_empty(), "task not settled", || format!("{open:?}"))?;
            self.checks.settled(shard, owners[0])?;
        }
        Ok(())
    }

    fn documents_agree(&self) -> Checked {
        for host in &self.hosts {
            let Some(process) = &host.process else {
                continue;
            };
            let held = process.documents();
            self.checks.edits_in_force(&process.id, held)?;
            for document in held {
                let key = crate::store::document_key(&document.team);
                let value = crate::store::encode(document);
                let stored = self.store.value(&key);
                require(stored == Some(&value), "store and host differ", || {
                    format!("{:?} holds {document:?}, store {stored:?}", process.id)
                })?;
            }
        }
        Ok(())
    }
}

fn draw_server(at: usize, random: &mut Pcg64Mcg) -> Server {
    let shard = at % SHARDS;
    let rack = format_smolstr!("rack-{}", at % 4);
    let size = Resources {
        millicores: 8_000,
        memory_mib: 16_384,
        accelerators: 0,
    };
    let name = format_smolstr!("server-{at}");
    Server::new(name, rack, shard, size, Clock::draw(random))
}
