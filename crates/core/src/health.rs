//! Quarantine of faulty servers, and parking of jobs that cannot run.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use smol_str::{SmolStr, format_smolstr};

use crate::journal::{Entry, Failed, ParkReason, Parked};
use crate::placement::RackPoolKey;
use crate::prelude::*;
use crate::shard::Shard;
use crate::tasks::{JobState, JournaledFailures, Phase};

/// Number of latest starts that must all have failed to quarantine a server.
const RECENT_STARTS: usize = 5;

/// Number of distinct jobs that must be among these failures, counting only jobs that fail on no other server.
const QUARANTINE_MIN_JOBS: usize = 3;

/// Number of servers on which a job must have failed to be parked.
const PARK_MIN_SERVERS: usize = 3;

/// Rounds of failures after which a job is parked if fewer than `PARK_MIN_SERVERS` servers can run it.
const PARK_MIN_ROUNDS: u32 = 4;

/// Interval between probes of a quarantined server, in milliseconds.
pub const PROBE_MS: u64 = 30_000;

/// Minimum delay before the retry of a failed task, in milliseconds; it doubles up to 64 times this value.
const RETRY_MIN_MS: u64 = 500;

/// Outcomes of recent starts at a server, and its quarantine.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Job and success of the latest starts, newest last.
    recent_outcomes: VecDeque<(JobId, bool)>,
    /// When the next probe may start; set while the server is quarantined.
    probe_at: Option<MonoMs>,
    /// When the running probe was started.
    probe_started: Option<MonoMs>,
}

impl Health {
    /// Whether a task may be started. At a quarantined server this is so only when a probe is due.
    #[must_use]
    pub fn allows_start(&self, now: MonoMs) -> bool {
        self.probe_at.is_none_or(|at| now >= at)
    }

    /// Whether the server is quarantined.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        self.probe_at.is_some()
    }

    /// Records the start of a task; at a quarantined server the task serves as the probe.
    pub fn record_start(&mut self, now: MonoMs) {
        if self.probe_at.is_some() {
            self.probe_at = Some(now + DurationMs(PROBE_MS));
            self.probe_started = self.probe_started.or(Some(now));
        }
    }

    /// Whether the probe has been running for at least `least_ms`.
    #[must_use]
    pub fn has_probe_run(&self, now: MonoMs, least_ms: u64) -> bool {
        let started = self.probe_started.filter(|_| self.probe_at.is_some());
        started.is_some_and(|started| now >= started + DurationMs(least_ms))
    }

    fn record_outcome(&mut self, job: JobId, success: bool) {
        if self.recent_outcomes.len() == RECENT_STARTS {
            self.recent_outcomes.pop_front();
        }
        self.recent_outcomes.push_back((job, success));
    }

    /// Returns the jobs of the latest starts if all of them failed.
    fn failing_jobs(&self) -> BTreeSet<JobId> {
        let has_success = self.recent_outcomes.iter().any(|(_, success)| *success);
        if has_success || self.recent_outcomes.len() < RECENT_STARTS {
            return BTreeSet::new();
        }
        self.recent_outcomes.iter().map(|(job, _)| *job).collect()
    }

    /// Returns the jobs that failed since the latest success.
    fn failed_since_success(&self) -> impl Iterator<Item = JobId> {
        let failures = self
            .recent_outcomes
            .iter()
            .rev()
            .take_while(|(_, success)| !success);
        failures.map(|(job, _)| *job)
    }
}

/// Failures of a job since its last success.
#[derive(Clone, Debug, Default)]
pub struct JobFailures {
    servers: BTreeSet<ServerKey>,
    /// Number of failures; failures of several tasks at about the same time count as one.
    rounds: u32,
    next_round: MonoMs,
}

impl JobFailures {
    fn fails_elsewhere(&self, server: ServerKey) -> bool {
        self.servers.iter().any(|other| *other != server)
    }
}

fn fails_elsewhere(failures: &BTreeMap<JobId, JobFailures>, job: JobId, server: ServerKey) -> bool {
    let failures = failures.get(&job);
    failures.is_some_and(|failures| failures.fails_elsewhere(server))
}

impl JournaledFailures {
    pub(crate) fn write(&self, job: JobId, entries: &mut Vec<Entry>) {
        let servers = self.servers.iter().map(SmolStr::as_str);
        // A job whose servers are all excused keeps its rounds.
        let servers = servers.chain(self.servers.is_empty().then_some(""));
        entries.extend(servers.map(|server| {
            Entry::Failed(Failed {
                job: job.0,
                rounds: self.rounds,
                server: server.to_owned(),
                ..Failed::default()
            })
        }));
    }
}

impl Shard {
    /// Records a successful start: the server is not faulty, and the job can run.
    pub(crate) fn start_succeeded(&mut self, key: ServerKey, job: JobId) {
        if self.failures.remove(&job).is_some() {
            self.append(Entry::Failed(Failed {
                job: job.0,
                ..Failed::default()
            }));
        }
        if let Some(server) = self.fleet.get_mut(key) {
            server.health.record_outcome(job, true);
            server.health.probe_at = None;
            server.health.probe_started = None;
        }
    }

    /// Records a failed start and returns when to retry the task.
    pub(crate) fn start_failed(
        &mut self,
        key: ServerKey,
        job: JobId,
        counts_against_job: bool,
    ) -> MonoMs {
        if counts_against_job {
            self.count_against_job(key, job);
        }
        if let Some(server) = self.fleet.get_mut(key) {
            server.health.record_outcome(job, false);
            server.health.probe_started = None;
        }
        self.consider_quarantine(key);
        self.consider_parking(job);
        let failures = self
            .failures
            .get(&job)
            .map_or(0, |failures| failures.rounds);
        self.now + DurationMs(RETRY_MIN_MS << failures.min(6))
    }

    /// Counts a failure, and records it if it may matter for parking, so that the next owner need not see as many again.
    fn count_against_job(&mut self, key: ServerKey, job: JobId) {
        let failures = self.failures.entry(job).or_default();
        let mut matters = failures.servers.insert(key);
        if self.now >= failures.next_round {
            failures.rounds = failures.rounds.saturating_add(1);
            failures.next_round = self.now + DurationMs(RETRY_MIN_MS);
            matters |= failures.rounds <= PARK_MIN_ROUNDS;
        }
        if matters && self.is_active(job) {
            self.record_failure(key, job, false);
        }
    }

    fn record_failure(&mut self, key: ServerKey, job: JobId, excused: bool) {
        let Some(server) = self.fleet.get(key) else {
            return;
        };
        let Some(failures) = self.failures.get(&job) else {
            return;
        };
        let failed = Failed {
            job: job.0,
            rounds: failures.rounds,
            server: server.name.to_string(),
            excused,
            loss: None,
        };
        self.append(Entry::Failed(failed));
    }

    /// Takes over the failures that earlier owners recorded.
    pub(crate) fn restore_failures(&mut self) {
        for (job, journaled) in &self.durable.failures {
            let servers = journaled.servers.iter();
            let failures = JobFailures {
                servers: servers.filter_map(|name| self.fleet.key(name)).collect(),
                rounds: journaled.rounds,
                next_round: self.now,
            };
            self.failures.insert(*job, failures);
        }
    }

    fn consider_quarantine(&mut self, key: ServerKey) {
        let Some(server) = self.fleet.get(key) else {
            return;
        };
        let jobs = server.health.failing_jobs();
        let implicating_jobs = jobs
            .iter()
            .filter(|job| !fails_elsewhere(&self.failures, **job, key));
        let is_faulty = implicating_jobs.count() >= QUARANTINE_MIN_JOBS;
        let was_quarantined = server.health.is_quarantined();
        let name = server.name.clone();
        if !is_faulty && !was_quarantined {
            return;
        }
        let probe_at = self.now + DurationMs(PROBE_MS);
        if let Some(server) = self.fleet.get_mut(key) {
            server.health.probe_at = Some(probe_at);
        }
        self.update_open(key);
        if was_quarantined {
            return;
        }
        // The server caused these failures, so they do not count against the jobs.
        for job in jobs {
            let failures = self.failures.get_mut(&job);
            if failures.is_some_and(|failures| failures.servers.remove(&key)) {
                self.record_failure(key, job, true);
            }
        }
        self.log("server_quarantined", None, &name);
    }

    fn consider_parking(&mut self, job: JobId) {
        let Some(failures) = self.failures.get(&job) else {
            return;
        };
        let servers = failures.servers.iter();
        let failed_on = |blames: fn(&Self, ServerKey, JobId) -> bool| {
            servers
                .clone()
                .filter(|key| blames(self, **key, job))
                .count()
        };
        let open_servers = self.open_servers_of(job);
        let is_faulty = failed_on(Self::is_healthy_for_other_jobs) >= PARK_MIN_SERVERS
            || (open_servers < PARK_MIN_SERVERS
                && failed_on(Self::is_below_quarantine) >= open_servers.max(1)
                && failures.rounds >= PARK_MIN_ROUNDS);
        if is_faulty {
            self.park(job, ParkReason::FailsEverywhere);
        }
    }

    /// Returns the number of open servers in the rack pools of a job, which is the most it can fail on.
    fn open_servers_of(&self, job: JobId) -> usize {
        let tasks = self.durable.jobs.get(&job).map(|job| &job.tasks);
        let tasks = tasks.into_iter().flatten();
        let rack_pools: BTreeSet<RackPoolKey> = tasks.map(|task| task.rack_pool).collect();
        let open = self.fleet.iter().filter(|(_, server)| server.open);
        open.filter(|(_, server)| rack_pools.contains(&server.rack_pool))
            .count()
    }

    /// Whether a server is not itself the likely cause of failures: since its last success, every other active job that
    /// failed there has also failed elsewhere.
    fn is_healthy_for_other_jobs(&self, key: ServerKey, job: JobId) -> bool {
        self.others_failing_only_there(key, job) == Some(0)
    }

    /// Whether the failures of a job on a server do not add up to a quarantine. Where no other server can tell which of
    /// them is at fault, fewer jobs than that would excuse each other for ever.
    fn is_below_quarantine(&self, key: ServerKey, job: JobId) -> bool {
        let own = usize::from(!fails_elsewhere(&self.failures, job, key));
        let others = self.others_failing_only_there(key, job);
        others.is_some_and(|others| others + own < QUARANTINE_MIN_JOBS)
    }

    /// Returns the number of other active jobs that failed on a server since its last success and on no other server, or
    /// `None` if it is quarantined or unknown.
    fn others_failing_only_there(&self, key: ServerKey, job: JobId) -> Option<usize> {
        let server = self.fleet.get(key)?;
        if server.health.is_quarantined() {
            return None;
        }
        let failed: BTreeSet<JobId> = server.health.failed_since_success().collect();
        // A job that has been parked since then was itself the cause of its failures.
        let only_there = failed.into_iter().filter(|other| {
            *other != job && self.is_active(*other) && !fails_elsewhere(&self.failures, *other, key)
        });
        Some(only_there.count())
    }

    /// Starts pending tasks, avoiding servers on which the job has failed. Otherwise a scheduler that prefers one
    /// server could never show whether the job or that server is at fault.
    pub(crate) fn place_avoiding_failed_servers(&mut self, job: JobId) {
        let failures = self.failures.get(&job);
        let tried: Vec<ServerKey> = failures
            .into_iter()
            .flat_map(|failures| failures.servers.iter().copied())
            .collect();
        self.place_avoiding(&tried);
    }

    /// Starts pending tasks on other servers than these.
    pub(crate) fn place_avoiding(&mut self, servers: &[ServerKey]) {
        let is_open = |shard: &Self, key| shard.fleet.get(key).is_some_and(|server| server.open);
        let mut closed = servers.to_vec();
        closed.retain(|key| is_open(self, *key));
        for &key in &closed {
            self.scheduler.set_open(key, false);
        }
        self.place();
        for &key in &closed {
            let is_open = is_open(self, key);
            self.scheduler.set_open(key, is_open);
        }
    }

    pub(crate) fn park(&mut self, job: JobId, reason: ParkReason) {
        if !self.is_active(job) {
            return;
        }
        self.failures.remove(&job);
        self.append(Entry::Parked(Parked {
            job: job.0,
            reason: reason.into(),
        }));
    }

    /// Requeues the tasks of a job after it was parked or unparked.
    pub(crate) fn parking_changed(&mut self, parked: Parked) {
        let job = JobId(parked.job);
        let is_active = self.is_active(job);
        let Some(count) = self.durable.jobs.get(&job).map(|job| job.tasks.len()) else {
            return;
        };
        let state = self.durable.jobs.get(&job).map(|job| job.state);
        if matches!(state, Some(JobState::Parked(_))) {
            self.log("job_parked", None, &format_smolstr!("{:016x}", job.0));
        }
        let from = if is_active {
            Phase::Parked
        } else {
            Phase::Pending
        };
        for index in 0..u32::try_from(count).unwrap_or(u32::MAX) {
            let id = TaskId { job, index };
            let phase = self.durable.task(id).map(|task| task.phase);
            if phase == Some(from) {
                self.requeue(id);
            }
        }
    }

    /// Parks active jobs whose tasks no server is large enough for any more.
    pub(crate) fn park_too_large(&mut self) {
        if self.fleet.iter().next().is_none() {
            return;
        }
        let active = self
            .durable
            .jobs
            .values()
            .filter(|job| job.state == JobState::Active);
        let too_large = active.filter(|job| !self.fits_any_server(job.spec.size));
        let jobs: Vec<JobId> = too_large.map(|job| job.spec.id).collect();
        for job in jobs {
            self.park(job, ParkReason::TooLarge);
        }
    }

    /// Unparks jobs whose tasks fit on a new or larger server.
    pub(crate) fn unpark_fitting(&mut self) {
        let state = JobState::Parked(ParkReason::TooLarge);
        let parked = self.durable.jobs.values().filter(|job| job.state == state);
        let fitting = parked.filter(|job| self.fits_any_server(job.spec.size));
        let jobs: Vec<JobId> = fitting.map(|job| job.spec.id).collect();
        for job in jobs {
            self.append(Entry::Parked(Parked {
                job: job.0,
                reason: ParkReason::Unparked.into(),
            }));
        }
    }

    pub(crate) fn fits_any_server(&self, size: Resources) -> bool {
        self.fleet
            .iter()
            .any(|(_, server)| size.fits_in(server.size))
    }
}
