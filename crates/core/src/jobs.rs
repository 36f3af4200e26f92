//! Requests of callers: submission, cancellation and idempotency keys.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::journal::{
    ANSWER_MAX_BYTES, Accepted, Cancelled, Entry, JOB_MAX_TASKS, KeyEntry, RECORD_MAX_BYTES,
};
use crate::ownership::Role;
use crate::prelude::*;
use crate::shard::Shard;
use crate::tasks::JobState;

/// Maximum number of jobs per cancellation. Their record takes 160 KB, which fits in one commit.
const CANCELLATIONS_MAX: usize = 20_000;

/// Maximum number of records that wait for a commit; further requests are rejected.
const QUEUED_RECORDS_MAX: usize = 20_000;

impl Shard {
    /// Returns why a request cannot be accepted now, or `None` if it can.
    fn rejection_reason(&self) -> Option<NotRun> {
        if self.shutting_down {
            return Some(NotRun::ShuttingDown);
        }
        if self.role != Role::Owner || self.owner_state.handover_target.is_some() {
            return Some(NotRun::NotOwner);
        }
        if self.budget.is_down() {
            return Some(NotRun::StoreUnavailable);
        }
        if self.owner_state.queued_records.len() >= QUEUED_RECORDS_MAX {
            return Some(NotRun::Overloaded);
        }
        None
    }

    pub(crate) fn submit(&mut self, token: CallerToken, spec: &JobSpec) {
        if let Some(reason) = self.rejection_reason() {
            self.reply(token, CallerReply::NotRun(reason));
            return;
        }
        let id = spec.id;
        if self.durable.jobs.contains_key(&id) {
            let reply = CallerReply::Accepted {
                job: id,
                new: false,
            };
            self.reply(token, reply);
            return;
        }
        if let Some(duplicates) = self.accepting.get_mut(&id) {
            duplicates.push(token);
            return;
        }
        if !self.fits_any_server(spec.size) || spec.tasks > JOB_MAX_TASKS {
            self.reply(token, CallerReply::NotRun(NotRun::TooLarge));
            return;
        }
        let rack_pools = self.choose_rack_pools(spec);
        if rack_pools.is_empty() && spec.tasks > 0 {
            // A server that is large enough is listed, but not in the journal yet.
            self.reply(token, CallerReply::NotRun(NotRun::Overloaded));
            return;
        }
        let accepted = Accepted::new(spec, rack_pools);
        if prost::Message::encoded_len(&accepted) > RECORD_MAX_BYTES {
            self.reply(token, CallerReply::NotRun(NotRun::TooLarge));
            return;
        }
        self.accepting.insert(id, Vec::new());
        let reply = CallerReply::Accepted { job: id, new: true };
        self.append_for(Entry::Accepted(accepted), token, reply);
    }

    pub(crate) fn cancel(&mut self, token: CallerToken, jobs: &[JobId]) {
        if let Some(reason) = self.rejection_reason() {
            self.reply(token, CallerReply::NotRun(reason));
            return;
        }
        if jobs.len() > CANCELLATIONS_MAX {
            self.reply(token, CallerReply::NotRun(NotRun::Overloaded));
            return;
        }
        let mut known = Vec::new();
        let mut to_cancel = Vec::new();
        for &id in jobs {
            let state = self.durable.jobs.get(&id).map(|job| job.state);
            let is_waiting = self.accepting.contains_key(&id);
            if state.is_none() && !is_waiting {
                continue;
            }
            known.push(id);
            if !matches!(state, Some(JobState::Cancelled | JobState::Ended)) {
                to_cancel.push(id.0);
            }
        }
        let reply = CallerReply::Cancelled(known);
        if to_cancel.is_empty() {
            self.reply(token, reply);
            return;
        }
        // A single record commits either all of the cancellations or none.
        let jobs = to_cancel;
        self.append_for(Entry::Cancelled(Cancelled { jobs }), token, reply);
    }

    pub(crate) fn claim_key(&mut self, token: CallerToken, key: RequestKey) {
        if let Some(known) = self.durable.keys.reply(key) {
            self.reply(token, CallerReply::Key(known));
            return;
        }
        if let Some(reason) = self.rejection_reason() {
            self.reply(token, CallerReply::NotRun(reason));
            return;
        }
        if !self.claiming.insert(key) {
            self.reply(token, CallerReply::Key(KeyReply::Unknown));
            return;
        }
        let entry = Entry::Claimed(KeyEntry::new(key, Vec::new()));
        self.append_for(entry, token, CallerReply::Key(KeyReply::Fresh));
    }

    pub(crate) fn answer_key(&mut self, key: RequestKey, answer: &Arc<[u8]>) {
        if self.role != Role::Owner || answer.len() > ANSWER_MAX_BYTES {
            return;
        }
        if self.owner_state.queued_records.len() >= QUEUED_RECORDS_MAX {
            return;
        }
        self.append(Entry::Answered(KeyEntry::new(key, answer.to_vec())));
    }

    /// Drops the state of a record that was not committed or whose outcome is unknown. Callers that wait for a
    /// duplicate of it get the same reply.
    pub(crate) fn drop_uncommitted(&mut self, entry: &Entry, reply: &CallerReply) {
        match entry {
            Entry::Accepted(accepted) => {
                let duplicates = self.accepting.remove(&JobId(accepted.job));
                for token in duplicates.unwrap_or_default() {
                    self.reply(token, reply.clone());
                }
            }
            Entry::Claimed(key) => {
                self.claiming.remove(&key.key());
            }
            _ => {}
        }
    }

    /// Acts on a committed record while the server and the rack pool of its tasks are still known.
    pub(crate) fn before_apply(&mut self, entry: &Entry) {
        let Entry::Ended(ended) = entry else {
            return;
        };
        let first = TaskId::from(ended.first);
        for offset in 0..ended.tasks {
            let index = first.index.saturating_add(offset);
            let ending = self.durable.task(TaskId { index, ..first });
            let over = ending.and_then(|task| Some((task.server?, task.attempt)));
            if let Some((server, attempt)) = over {
                self.acknowledge(server, attempt);
            }
            self.detach(TaskId { index, ..first });
        }
    }

    /// Acts on a committed record that was applied.
    pub(crate) fn after_apply(&mut self, entry: &Entry) {
        match entry {
            Entry::Accepted(accepted) => self.accepted(accepted),
            Entry::Bound(bound) => self.bound(bound.task.into()),
            Entry::Evicted(evicted) => {
                let task = TaskId::from(evicted.task);
                self.log("task_evicted", Some(task), &SmolStr::default());
                self.evicted(task);
            }
            Entry::Cancelled(cancelled) => {
                for &job in &cancelled.jobs {
                    self.cancelled(JobId(job));
                }
            }
            Entry::Parked(parked) => self.parking_changed(*parked),
            Entry::Claimed(key) => {
                self.claiming.remove(&key.key());
            }
            Entry::ServerAdded(server) => self.server_journaled(&server.name),
            Entry::Failed(failed) => self.loss_recorded(failed),
            Entry::Ended(_) | Entry::Answered(_) | Entry::ServerGone(_) => {}
        }
    }

    fn accepted(&mut self, accepted: &Accepted) {
        let job = JobId(accepted.job);
        let size = self.durable.jobs.get(&job).map(|job| job.spec.size);
        let demand = u64::from(size.unwrap_or_default().millicores);
        for run in &accepted.rack_pools {
            let rack_pool = self
                .rack_pools
                .entry(crate::placement::RackPoolKey(run.rack_pool))
                .or_default();
            rack_pool.demand_millicores += demand * u64::from(run.tasks);
        }
        for index in 0..accepted.tasks {
            self.queue_new(TaskId { job, index });
        }
        let duplicates = self.accepting.remove(&job).unwrap_or_default();
        for token in duplicates {
            self.reply(token, CallerReply::Accepted { job, new: false });
        }
    }

    fn cancelled(&mut self, job: JobId) {
        self.failures.remove(&job);
        let Some(count) = self.durable.jobs.get(&job).map(|job| job.tasks.len()) else {
            return;
        };
        for index in 0..u32::try_from(count).unwrap_or(u32::MAX) {
            self.cancel_task(TaskId { job, index });
        }
    }
}
