//! Callers: they submit jobs, cancel them, and ask for their states, at any host that answers.

use primrosestack_fleet::intake;
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::Phase;
use primrosestack_fleet::shard::JobStatus;
use rand::Rng;

use super::check::JobTruth;
use super::links::{StoreAnswer, StoreCall};
use super::store::{Transaction, Value, home_key, inbox_key};
use super::{Event, World};

const RETRY_MS: u64 = 400;
const ASK_INTERVAL_MS: u64 = 700;

impl World {
    /// A host that answers callers, one of their failure domain if possible.
    fn answering_host(&mut self, domain: usize) -> Option<usize> {
        let now = self.now_ms();
        let answers =
            |&host: &usize| self.is_host_linked(host) && now >= self.hosts[host].frozen_until_ms;
        let hosts: Vec<usize> = (0..self.hosts.len()).filter(answers).collect();
        let is_local = |host: &&usize| self.hosts[**host].domain == domain;
        let local: Vec<usize> = hosts.iter().filter(is_local).copied().collect();
        let choice = if local.is_empty() { hosts } else { local };
        if choice.is_empty() {
            return None;
        }
        Some(choice[self.random.random_range(0..choice.len())])
    }

    pub(super) fn submit(&mut self, mut spec: JobSpec, domain: usize) {
        let id = JobId(spec.id);
        if spec.accepted_unix_ms == 0 {
            spec.accepted_unix_ms = self.unix_ms();
        }
        self.checks.jobs.entry(id).or_insert_with(|| JobTruth {
            spec: spec.clone(),
            ..JobTruth::default()
        });
        let host = self.answering_host(domain);
        let Some(host) = host.filter(|&host| !self.hosts[host].health.is_unavailable()) else {
            self.submit_again(spec);
            return;
        };
        let own = self.hosts[host].domain;
        let loads: Vec<Option<&intake::Load>> = self
            .domains
            .iter()
            .map(|state| state.load.as_ref().map(|(_, load)| load))
            .collect();
        let is_evacuated = |other| self.knows_evacuated(host, other);
        let Some(home) = intake::choose_home(own, &loads, is_evacuated, &spec) else {
            self.submit_again(spec);
            return;
        };
        if let Some((_, load)) = &mut self.domains[home].load {
            load.add(&spec);
        }
        let transaction = Transaction::default()
            .expect(home_key(id), 0)
            .put(home_key(id), Value::Home(home))
            .put(inbox_key(home, "job", id), Value::Job(spec.clone()));
        let spec = Box::new(spec);
        self.call_store(host, StoreCall::Accept { spec }, Some(transaction));
    }

    pub(super) fn submit_again(&mut self, spec: JobSpec) {
        let domain = self.random.random_range(0..self.domains.len());
        let spec = Box::new(spec);
        self.events.after(RETRY_MS, Event::Submit { spec, domain });
    }

    /// Handles the answer to a submission.
    pub(super) fn accepted(&mut self, spec: JobSpec, answer: &StoreAnswer) {
        let now = self.now_ms();
        let id = JobId(spec.id);
        if matches!(answer, StoreAnswer::NoAnswer) {
            self.submit_again(spec);
            return;
        }
        let Some(job) = self.checks.jobs.get_mut(&id) else {
            return;
        };
        if job.accepted_ms.is_some() {
            return;
        }
        job.accepted_ms = Some(now);
        self.note(|| format!("job {id} is accepted"));
        self.wake_owners();
        self.events.after(ASK_INTERVAL_MS, Event::Ask { id });
    }

    /// Has the owners read what was written to their inboxes; a watch answers at once.
    fn wake_owners(&mut self) {
        let now = self.now_ms();
        for id in 0..self.owners.len() {
            let host = self.owners[id].as_ref().map(|owner| owner.host);
            if host.is_some_and(|host| now >= self.hosts[host].frozen_until_ms) {
                self.follow_store(id);
            }
        }
    }

    pub(super) fn cancel(&mut self, id: JobId, domain: usize) {
        if let Some(job) = self.checks.jobs.get_mut(&id) {
            job.cancel_sent = true;
        }
        let host = self.answering_host(domain);
        let is_accepted = self.store.home(id).is_some();
        let Some(host) = host.filter(|&host| is_accepted && self.reaches_store(host)) else {
            self.cancel_again(id, domain);
            return;
        };
        let Some((home, home_revision)) = self.read_home_at(host, id) else {
            return;
        };
        // The owner of the home shard may move the job meanwhile.
        let mut transaction = Transaction::default()
            .expect(home_key(id), home_revision)
            .put(inbox_key(home, "cancel", id), Value::Cancellation);
        let progress = self.store.progress(home, id).unwrap_or_default();
        for delegate in &progress.delegate_domains {
            if let Ok(delegate) = delegate.parse() {
                let key = inbox_key(delegate, "cancel", id);
                transaction = transaction.put(key, Value::Cancellation);
            }
        }
        self.call_store(host, StoreCall::Cancel { id, domain }, Some(transaction));
    }

    pub(super) fn cancel_again(&mut self, id: JobId, domain: usize) {
        self.events.after(RETRY_MS, Event::Cancel { id, domain });
    }

    /// Handles the answer to a cancellation.
    pub(super) fn cancelled(&mut self, id: JobId, domain: usize, answer: &StoreAnswer) {
        let now = self.now_ms();
        if !matches!(answer, StoreAnswer::Committed { .. }) {
            if matches!(answer, StoreAnswer::Conflict { .. }) {
                self.note(|| format!("job {id} has moved before its cancellation"));
            }
            self.cancel_again(id, domain);
            return;
        }
        if let Some(job) = self.checks.jobs.get_mut(&id) {
            job.cancelled_ms.get_or_insert(now);
        }
        self.note(|| format!("the cancellation of job {id} is acknowledged"));
        self.wake_owners();
    }

    /// Asks for the state of a job, in the home shard that the host remembers or else in that of the store.
    pub(super) fn ask(&mut self, id: JobId) {
        let now = self.now_ms();
        self.events.after(ASK_INTERVAL_MS, Event::Ask { id });
        let domain = self.random.random_range(0..self.domains.len());
        let Some(host) = self.answering_host(domain) else {
            return;
        };
        if !self.reaches_store(host) {
            return;
        }
        let remembered = self.hosts[host].homes.get(&id).copied();
        let status = remembered.and_then(|home| self.status_at(host, home, id));
        if status.is_some() {
            self.checks.shown(id, status, now);
            return;
        }
        // A home that does not know the job may have been left by it.
        let Some((home, _)) = self.read_home_at(host, id) else {
            return;
        };
        let status = self.status_at(host, home, id);
        self.checks.shown(id, status, now);
    }

    /// Home of a job by the store, with the revision of its record; the host remembers it.
    fn read_home_at(&mut self, host: usize, id: JobId) -> Option<(usize, u64)> {
        let home = self.store.home(id)?;
        let revision = self.store.read(&home_key(id))?.revision;
        self.hosts[host].homes.insert(id, home);
        Some((home, revision))
    }

    /// State of a job in a home shard, by its owner or else by the store.
    fn status_at(&self, host: usize, home: usize, id: JobId) -> Option<JobStatus> {
        let is_own = |owner: &&super::Owner| owner.host == host && owner.domain == home;
        let own = self.owners.iter().flatten().find(is_own);
        let announced = self.domains[home].announcement.owner;
        let announced = announced.and_then(|owner| self.owners[owner].as_ref());
        let announced = announced.filter(|owner| self.reaches_host(host, owner.host));
        let told = own
            .and_then(|owner| owner.shard.job_status(id))
            .or_else(|| announced.and_then(|owner| owner.shard.job_status(id)));
        told.or_else(|| self.stored_status(home, id))
    }

    fn stored_status(&self, home: usize, id: JobId) -> Option<JobStatus> {
        let Some(progress) = self.store.progress(home, id) else {
            let is_queued = self.store.read(&inbox_key(home, "job", id)).is_some();
            return is_queued.then_some(JobStatus::Queued);
        };
        Some(match progress.phase() {
            Phase::Completed => JobStatus::Completed,
            Phase::Failed => JobStatus::Failed,
            Phase::Cancelled => JobStatus::Cancelled,
            Phase::Live if progress.has_started() => JobStatus::Running,
            Phase::Live => JobStatus::Queued,
        })
    }
}
