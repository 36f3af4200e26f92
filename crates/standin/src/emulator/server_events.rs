//! What servers do: starts, stops, ends, leases, registrations, and new incarnations.

use primrosestack_fleet::prelude::*;
use rand::Rng;

use super::check::Start;
use super::server::ServerRun;
use super::store::{Transaction, Value, registration_key};
use super::{BOUNDS, Event, World};

/// Interval at which registrations that were not renewed are removed.
const REGISTRATIONS_INTERVAL_MS: u64 = 500;

/// Heartbeats after which a silent server's registration is removed.
const HEARTBEATS_MISSED_MAX: u64 = 3;

/// Work of a task whose command begins with this ends `failed`.
pub const FAILING_COMMAND: &str = "fail";

/// A task with this command crashes the server that it starts on.
pub const CRASHING_COMMAND: &str = "crash";

/// Time from such a start until the crash; the start has been answered by then.
const CRASH_AFTER_MS: u64 = 20;

/// Time for which a server that a task crashed stays away.
const CRASH_MS: u64 = 2_500;

impl World {
    /// Carries out a start.
    pub(super) fn start_run(
        &mut self,
        server: usize,
        host: usize,
        request: &StartRequest,
        is_late: bool,
    ) -> StartReply {
        let now = self.now_ms();
        let (task, run) = (request.task, request.run);
        let lease = request.lease_end_ms;
        // An order that is carried out late may meet a later incarnation, which takes the number for one of its own.
        let incarnation = lease.incarnation();
        let Some(&lease_end_ms) = lease.valid_in(incarnation) else {
            return StartReply::Refused;
        };
        if lease_end_ms <= self.servers[server].clock_ms(now) {
            return StartReply::Late;
        }
        self.renew_lease(server, Some(lease_end_ms));
        let Some(job) = self.checks.jobs.get(&task.job) else {
            return StartReply::Refused;
        };
        let step = job.spec.steps[task.step as usize].clone();
        let state = &mut self.servers[server];
        if state.find_run(task, run).is_some() {
            return StartReply::Started;
        }
        if state.is_sealed(task, run) {
            return StartReply::Stale;
        }
        if !state.has_room(step.cpu_millis, step.memory_mb) {
            return StartReply::NoCapacity;
        }
        let work_ms = (!step.long_running).then_some(u64::from(step.estimate_ms));
        state.runs.push(ServerRun {
            task,
            run,
            cpu_millis: step.cpu_millis,
            memory_mb: step.memory_mb,
            started_ms: now,
            work_ms,
            is_stopping: false,
        });
        let life = state.started_unix_ms;
        let in_touch = self.in_touch(host);
        let drained_ms = self.drained_ms(server, host);
        let evacuated_ms = self.judged_evacuation_ms(server, host);
        self.checks.started(Start {
            at_ms: now,
            task,
            run,
            server,
            is_late,
            in_touch,
            drained_ms,
            evacuated_ms,
        });
        self.note(|| format!("server {server} starts {task} run {run} (late: {is_late})"));
        if request.command == CRASHING_COMMAND {
            let away_ms = CRASH_MS;
            let fault = super::Fault::CrashServer { server, away_ms };
            self.events.after(CRASH_AFTER_MS, Event::Fault(fault));
        }
        let kind = if request.command == FAILING_COMMAND {
            EndKind::Failed
        } else {
            EndKind::Done
        };
        if let Some(work_ms) = work_ms {
            let event = Event::RunDue {
                server,
                life,
                task,
                run,
                kind,
            };
            self.events.after(work_ms, event);
        }
        StartReply::Started
    }

    pub(super) fn stop_run(&mut self, server: usize, task: TaskId, run: u32) {
        let delay_ms = self.random.random_range(0..BOUNDS.stop_ms);
        let state = &mut self.servers[server];
        state.seal(task, run);
        let life = state.started_unix_ms;
        let Some(index) = state.find_run(task, run) else {
            return;
        };
        if state.runs[index].is_stopping {
            return;
        }
        state.runs[index].is_stopping = true;
        let kind = EndKind::Stopped;
        let event = Event::RunDue {
            server,
            life,
            task,
            run,
            kind,
        };
        self.events.after(delay_ms, event);
    }

    pub(super) fn end_run(&mut self, server: usize, task: TaskId, run: u32, kind: EndKind) {
        if !self.servers[server].end_run(task, run, kind) {
            return;
        }
        self.checks.ended(task, run, server, kind);
        self.note(|| format!("server {server} ends {task} run {run}: {kind:?}"));
        self.answer_polls(server, |_| true);
    }

    pub(super) fn acknowledge(&mut self, server: usize, number: u64) {
        let now = self.now_ms();
        for end in self.servers[server].acknowledge(number) {
            self.checks.acknowledged(end.task, end.run, server, now);
        }
    }

    pub(super) fn renew_lease(&mut self, server: usize, lease_end_ms: Option<u64>) {
        let now = self.now_ms();
        let Some(lease_end_ms) = lease_end_ms else {
            return;
        };
        let state = &mut self.servers[server];
        let before_ms = state.lease_end_ms;
        state.renew(lease_end_ms, BOUNDS.lease_max_ms, now);
        // The timer of an earlier lease begins the next one.
        if before_ms <= state.clock_ms(now) && state.lease_end_ms > before_ms {
            let life = state.started_unix_ms;
            let due_ms = state.lease_due_ms();
            self.events.at(due_ms, Event::LeaseDue { server, life });
        }
    }

    pub(super) fn lease_due(&mut self, server: usize) {
        let now = self.now_ms();
        let state = &self.servers[server];
        if state.clock_ms(now) < state.lease_end_ms {
            let life = state.started_unix_ms;
            let due_ms = state.lease_due_ms().max(now + 1);
            self.events.at(due_ms, Event::LeaseDue { server, life });
            return;
        }
        self.checks.lease_lapsed(server);
        self.note(|| format!("server {server}: the lease lapses"));
        for run in self.servers[server].runs.clone() {
            self.end_run(server, run.task, run.run, EndKind::LeaseExpired);
        }
    }

    fn registers(&self, server: usize) -> bool {
        let now = self.now_ms();
        let state = &self.servers[server];
        now >= state.cut_until_ms
            && now >= self.domains[state.domain].cut_until_ms
            && now >= self.store_faults.down
    }

    pub(super) fn heartbeat(&mut self, server: usize) {
        self.register(server);
        let life = self.servers[server].started_unix_ms;
        let event = Event::Heartbeat { server, life };
        self.events.after(BOUNDS.heartbeat_ms, event);
    }

    pub(super) fn register(&mut self, server: usize) {
        let state = &self.servers[server];
        if self.registers(server) {
            let key = registration_key(state.domain, &state.name);
            let now = self.now_ms();
            let value = Value::Registration(state.entry(now));
            self.commit_unconditionally(&Transaction::default().put(key, value));
            let state = &mut self.servers[server];
            state.registered_ms = now;
            if state.leaves_ms.is_some() {
                state.announced_ms.get_or_insert(now);
            }
        }
    }

    /// Commits a transaction without a condition, which cannot fail.
    pub(super) fn commit_unconditionally(&mut self, transaction: &Transaction) -> u64 {
        self.store
            .commit(transaction)
            .unwrap_or_else(|_| self.store.revision())
    }

    pub(super) fn expire_registrations(&mut self) {
        let now = self.now_ms();
        for server in 0..self.servers.len() {
            let state = &self.servers[server];
            let expires_ms = state.registered_ms + HEARTBEATS_MISSED_MAX * BOUNDS.heartbeat_ms;
            let key = registration_key(state.domain, &state.name);
            let is_due = now >= expires_ms && now >= self.store_faults.down;
            if is_due && self.store.read(&key).is_some() {
                self.commit_unconditionally(&Transaction::default().remove(key));
            }
        }
        self.events
            .after(REGISTRATIONS_INTERVAL_MS, Event::Registrations);
    }

    pub(super) fn boot_server(&mut self, server: usize) {
        let now = self.now_ms();
        let state = &mut self.servers[server];
        if state.is_up || state.is_lost {
            return;
        }
        let life = super::START_UNIX_MS + now + 1;
        state.boot(life, now);
        self.note(|| format!("server {server} boots"));
        let delay_ms = self.random.random_range(0..BOUNDS.heartbeat_ms / 2);
        self.events
            .after(delay_ms, Event::Heartbeat { server, life });
    }

    /// Ends the process of a server for a while; its connections are reset.
    pub(super) fn restart_server(&mut self, server: usize, away_ms: u64) {
        for waiting in std::mem::take(&mut self.servers[server].waiting_polls) {
            let timeout = Event::PollTimeout {
                owner: waiting.owner,
                server: waiting.server,
                poll: waiting.poll,
            };
            self.events.after(1, timeout);
        }
        self.crash_server(server, away_ms);
        self.servers[server].refuses = true;
    }

    /// Takes the power of a server for a while.
    pub(super) fn crash_server(&mut self, server: usize, away_ms: u64) {
        if !self.servers[server].is_up {
            return;
        }
        self.note(|| format!("server {server} loses power for {away_ms} ms"));
        let state = &mut self.servers[server];
        state.is_up = false;
        state.refuses = false;
        state.runs.clear();
        state.waiting_polls.clear();
        self.checks.server_died(server);
        self.events.after(away_ms, Event::ServerBoot { server });
    }
}
