//! Starts, evicts and stops attempts, and requeues tasks whose attempt is over.

use crate::lease::LEASE_MS;
use crate::ownership::Role;
use crate::placement::{Placement, ReclaimAction, TaskRequest};
use crate::prelude::*;
use crate::shard::{Call, Shard};
use crate::tasks::{EvictionStep, JobState, Phase, ended_entry, evicted_entry};

/// Maximum number of starts per event; it bounds the run time and the actions of one call.
const STARTS_MAX: usize = 512;

/// Divisor of the CPU size of a task that is throttled because it cannot be evicted.
const THROTTLE_DIVISOR: u32 = 4;

impl Shard {
    /// Periodic work on tasks.
    pub(crate) fn tick_tasks(&mut self) {
        self.tick_commit();
        self.advance_snapshot();
        self.durable.expire(self.now);
        self.checkpoint_on_lost_authority();
        self.retry_due();
        self.rebind_pending();
        self.start_suspects();
        self.place();
    }

    fn retry_due(&mut self) {
        while let Some(&(due, task)) = self.retries.first() {
            if self.now < due {
                return;
            }
            self.retries.pop_first();
            let is_held = self
                .durable
                .task(task)
                .is_some_and(|task| task.phase == Phase::Held);
            if is_held {
                self.requeue(task);
                self.place_avoiding_failed_servers(task.job);
            }
        }
    }

    /// Requests checkpoints when authority is lost: the leases are about to expire, and the tasks will resume from
    /// these checkpoints.
    fn checkpoint_on_lost_authority(&mut self) {
        let holds = self.owner_state.authority.holds(self.now);
        let is_lost = self.owner_state.had_authority && !holds;
        self.owner_state.had_authority = holds;
        if !is_lost {
            return;
        }
        self.log("authority_lost", None, &self.host.name.clone());
        for key in self.fleet.keys() {
            let attempts = self.fleet.get(key).map(|server| server.attempts.clone());
            for (attempt, task) in attempts.unwrap_or_default() {
                let call = Call::Checkpoint(key, task, attempt);
                self.command(call, key, ServerCommand::Checkpoint { attempt });
            }
        }
    }

    /// Starts pending tasks as long as the scheduler finds free capacity.
    pub(crate) fn place(&mut self) {
        let may_start = self.role == Role::Owner
            && self.owner_state.handover_target.is_none()
            && self.owner_state.authority.holds(self.now);
        if !may_start {
            return;
        }
        for _ in 0..STARTS_MAX {
            let Some(placement) = self.scheduler.next(self.now) else {
                return;
            };
            self.start(placement);
        }
    }

    fn start(&mut self, placement: Placement) {
        let Placement {
            task: id,
            server: key,
            reserved,
        } = placement;
        let is_pending = self
            .durable
            .task(id)
            .is_some_and(|task| task.phase == Phase::Pending);
        let stamp = self.fleet.get(key).map(|server| server.last_timestamp);
        let (true, Some(stamp)) = (is_pending, stamp) else {
            self.scheduler.remove(self.now, id);
            return;
        };
        self.last_counter += 1;
        let attempt = Attempt {
            term: self.owner_state.term,
            counter: self.last_counter,
        };
        let mut resume = None;
        let mut rack_pool = None;
        if let Some(task) = self.durable.task_mut(id) {
            task.phase = Phase::Starting;
            task.server = Some(key);
            task.attempt = attempt;
            task.start_timestamp = stamp;
            task.confirmed_op = OpId(0);
            resume = task
                .committed_checkpoint
                .as_ref()
                .map(|committed| committed.checkpoint.clone());
            rack_pool = Some(task.rack_pool);
        }
        if let Some(rack_pool) = rack_pool.and_then(|rack_pool| self.rack_pools.get_mut(&rack_pool))
        {
            rack_pool.pending.remove(&id);
        }
        self.add_recent_start(id, attempt);
        let now = self.now;
        if let Some(server) = self.fleet.get_mut(key) {
            server.add_attempt(attempt, id);
            server.health.record_start(now);
        }
        self.update_open(key);
        let Some(spec) = self.durable.jobs.get(&id.job).map(|job| job.spec.clone()) else {
            return;
        };
        let command = ServerCommand::Start {
            stamp,
            lease_ms: LEASE_MS,
            task: id,
            attempt,
            kind: spec.kind.clone(),
            size: reserved,
            run_ms: spec.run_ms,
            resume,
        };
        self.command(Call::Start(key, id, attempt), key, command);
    }

    pub(crate) fn start_answered(
        &mut self,
        key: ServerKey,
        id: TaskId,
        attempt: Attempt,
        reply: &ServerReply,
    ) {
        match reply {
            ServerReply::Done => self.start_confirmed(id, attempt),
            // The attempt may be running even after a refusal, since a server refuses a duplicate of a command that it
            // has executed. Reports or the expiry of the lease resolve this.
            _ => self.request_report(key),
        }
    }

    fn start_confirmed(&mut self, id: TaskId, attempt: Attempt) {
        let last_op = OpId(self.last_op);
        let Some(task) = self.durable.task_mut(id) else {
            return;
        };
        if task.attempt != attempt || task.phase != Phase::Starting {
            return;
        }
        task.phase = Phase::Running;
        task.confirmed_op = last_op;
    }

    /// Handles an attempt that the server certainly did not start.
    pub(crate) fn start_refused(
        &mut self,
        key: ServerKey,
        id: TaskId,
        attempt: Attempt,
        counts_against_server: bool,
    ) {
        let phase = self.durable.task(id).filter(|task| task.attempt == attempt);
        let phase = phase.map(|task| task.phase);
        if !matches!(phase, Some(Phase::Starting | Phase::Stopping)) {
            return;
        }
        if !counts_against_server || phase == Some(Phase::Stopping) {
            self.requeue(id);
            return;
        }
        let retry = self.start_failed(key, id.job, false);
        self.hold_until(id, retry);
    }

    /// Removes a task from its server, the scheduler and its rack pool.
    pub(crate) fn detach(&mut self, id: TaskId) {
        let Some(task) = self.durable.task_mut(id) else {
            return;
        };
        if task.phase == Phase::Ended {
            return;
        }
        let server = task.server.take();
        let attempt = task.attempt;
        let is_parked = task.phase == Phase::Parked;
        self.recent_starts.remove(&id);
        self.scheduler.remove(self.now, id);
        if let Some(server) = server.and_then(|key| self.fleet.get_mut(key)) {
            server.drop_attempt(attempt, id);
        }
        if !is_parked {
            self.leave_rack_pool(id);
        }
    }

    /// Makes a task whose attempt is certainly over pending again, or moves it to the state that its job requires.
    pub(crate) fn requeue(&mut self, id: TaskId) {
        self.detach(id);
        let earlier_succeeded = self.earlier_succeeded.remove(&id);
        match self.durable.jobs.get(&id.job).map(|job| job.state) {
            None | Some(JobState::Ended) => {}
            Some(JobState::Cancelled) => self.durable.finish(id, self.now),
            // The server that reported the success may never report again.
            Some(_) if earlier_succeeded => {
                self.enter_rack_pool(id);
                self.end(id);
            }
            Some(JobState::Parked(_)) => {
                if let Some(task) = self.durable.task_mut(id) {
                    task.phase = Phase::Parked;
                }
            }
            Some(JobState::Active) => {
                self.enter_rack_pool(id);
                self.queue(id);
            }
        }
    }

    /// Records the success of a task. The server keeps it until the record is committed.
    pub(crate) fn end(&mut self, id: TaskId) {
        if let Some(task) = self.durable.task_mut(id) {
            task.phase = Phase::Ending;
        }
        self.earlier_succeeded.remove(&id);
        self.append(ended_entry(id.job, id.index, 1));
    }

    /// Retries a task whose attempt is over at a later time.
    pub(crate) fn hold_until(&mut self, id: TaskId, due: MonoMs) {
        if !self.is_active(id.job) {
            self.requeue(id);
            return;
        }
        self.hold(id);
        self.retries.insert((due, id));
    }

    pub(crate) fn enter_rack_pool(&mut self, id: TaskId) {
        let size = self.task_size(id).unwrap_or_default();
        let Some(key) = self.durable.task(id).map(|task| task.rack_pool) else {
            return;
        };
        let rack_pool = self.rack_pools.entry(key).or_default();
        rack_pool.demand_millicores += u64::from(size.millicores);
    }

    /// Queues a task of a job that was just accepted.
    pub(crate) fn queue_new(&mut self, id: TaskId) {
        if !self.is_active(id.job) {
            return;
        }
        // Attempt 0 of this term marks a task that no earlier owner has started.
        let attempt = Attempt {
            term: self.owner_state.term,
            counter: 0,
        };
        if let Some(task) = self.durable.task_mut(id) {
            task.attempt = attempt;
        }
        self.queue(id);
    }

    /// Submits a task to the scheduler. The task is held instead while its rack pool is not resolved and an attempt of
    /// an earlier owner may be running there, that is, if this owner neither accepted nor last started the task.
    fn queue(&mut self, id: TaskId) {
        let Some(request) = self.request(id) else {
            return;
        };
        let attempt = self.durable.task(id).map(|task| task.attempt);
        let is_own = attempt.is_some_and(|attempt| attempt.term >= self.owner_state.first_term);
        let rack_pool = self.rack_pools.entry(request.rack_pool).or_default();
        let phase = if rack_pool.resolved || is_own {
            rack_pool.pending.insert(id);
            Phase::Pending
        } else {
            rack_pool.held.push(id);
            Phase::Held
        };
        if let Some(task) = self.durable.task_mut(id) {
            task.phase = phase;
        }
        if phase == Phase::Pending {
            self.scheduler.submit(self.now, request);
        }
    }

    /// Returns the scheduling request of a task.
    pub(crate) fn request(&self, id: TaskId) -> Option<TaskRequest> {
        let job = self.durable.jobs.get(&id.job)?;
        let task = job.tasks.get(id.index as usize)?;
        let spec = &job.spec;
        let finish_by = match (spec.finish_by_unix_ms, self.unix_offset_ms) {
            (0, _) | (_, None) => None,
            (unix_ms, Some(offset_ms)) => Some(MonoMs(unix_ms.saturating_sub(offset_ms))),
        };
        Some(TaskRequest {
            task: id,
            team: spec.team.clone(),
            client: spec.client.clone(),
            kind: spec.kind.clone(),
            size: spec.size,
            run_ms: spec.run_ms,
            finish_by,
            rack_pool: task.rack_pool,
        })
    }

    /// Reclaims capacity of a server for latency-critical requests.
    pub(crate) fn reclaim_requested(&mut self, name: &str, need: Resources) {
        if self.role != Role::Owner {
            return;
        }
        let Some(key) = self.fleet.key(name) else {
            return;
        };
        self.reclaim(key, need);
    }

    /// Withholds capacity of a server from batch tasks. The amount persists across terms of this host.
    pub(crate) fn withhold(&mut self, name: &str, amount: Resources) {
        let Some(key) = self.fleet.key(name) else {
            return;
        };
        if let Some(server) = self.fleet.get_mut(key) {
            server.withheld = amount;
        }
        if self.role != Role::Owner {
            return;
        }
        self.scheduler.set_withheld(key, amount);
        self.reclaim(key, Resources::default());
    }

    /// Throttles or evicts tasks to reclaim `need`, and as the latest report requires.
    pub(crate) fn reclaim(&mut self, key: ServerKey, need: Resources) {
        for action in self.scheduler.reclaim(self.now, key, need) {
            match action {
                ReclaimAction::Throttle { task, millicores } => self.throttle(task, millicores),
                ReclaimAction::Evict { task } if !self.budget.is_down() => self.evict(task),
                ReclaimAction::Evict { task } => {
                    // The checkpoint cannot be committed while the store is unavailable.
                    let size = self.task_size(task).unwrap_or_default();
                    self.throttle(task, size.millicores / THROTTLE_DIVISOR);
                }
            }
        }
    }

    fn throttle(&mut self, id: TaskId, millicores: u32) {
        let Some(task) = self.durable.task(id) else {
            return;
        };
        let (Some(key), attempt) = (task.server, task.attempt) else {
            return;
        };
        let command = ServerCommand::Throttle {
            attempt,
            millicores,
        };
        self.command(Call::Throttle(key), key, command);
    }

    /// Starts the eviction of a running task: checkpoint, record, stop.
    pub(crate) fn evict(&mut self, id: TaskId) {
        let Some(task) = self.durable.task_mut(id) else {
            return;
        };
        let (Some(key), Phase::Running) = (task.server, task.phase) else {
            return;
        };
        task.phase = Phase::Evicting(EvictionStep::Checkpoint);
        let attempt = task.attempt;
        self.request_checkpoint(key, id, attempt);
    }

    pub(crate) fn request_checkpoint(&mut self, key: ServerKey, id: TaskId, attempt: Attempt) {
        let call = Call::Checkpoint(key, id, attempt);
        self.command(call, key, ServerCommand::Checkpoint { attempt });
    }

    pub(crate) fn checkpoint_answered(&mut self, id: TaskId, attempt: Attempt, reply: ServerReply) {
        let Some(task) = self.durable.task_mut(id) else {
            return;
        };
        let is_requested = task.phase == Phase::Evicting(EvictionStep::Checkpoint);
        if !is_requested || task.attempt != attempt {
            return;
        }
        if reply == ServerReply::Refused {
            // The task cannot be checkpointed, so it is not evicted.
            task.phase = Phase::Running;
            return;
        }
        let ServerReply::Checkpointed { checkpoint } = reply else {
            return;
        };
        task.phase = Phase::Evicting(EvictionStep::Record);
        self.append(evicted_entry(id, attempt, &checkpoint));
    }

    /// Handles a committed `Evicted` record.
    pub(crate) fn evicted(&mut self, id: TaskId) {
        let Some(task) = self.durable.task_mut(id) else {
            return;
        };
        match task.phase {
            Phase::Evicting(EvictionStep::Record) => {
                task.phase = Phase::Evicting(EvictionStep::Stop);
                if let Some(key) = task.server {
                    let attempt = task.attempt;
                    self.stop_attempt(key, attempt);
                }
            }
            Phase::Evicting(EvictionStep::Stopped) => self.requeue(id),
            _ => {}
        }
    }

    pub(crate) fn stop_attempt(&mut self, key: ServerKey, attempt: Attempt) {
        self.command(Call::Stop(key), key, ServerCommand::Stop { attempt });
    }

    /// Handles a committed `Bound` record.
    pub(crate) fn bound(&mut self, id: TaskId) {
        let is_waiting = self
            .durable
            .task(id)
            .is_some_and(|task| task.phase == Phase::Held && task.server.is_none());
        if !is_waiting {
            return;
        }
        if self.is_active(id.job) {
            self.queue(id);
            return;
        }
        self.requeue(id);
    }

    /// Stops a task or moves it to its final state after the cancellation of its job is committed.
    pub(crate) fn cancel_task(&mut self, id: TaskId) {
        let Some(task) = self.durable.task_mut(id) else {
            return;
        };
        match task.phase {
            Phase::Ended | Phase::Ending => {}
            Phase::Held if task.server.is_none() && task.attempt == Attempt::default() => {
                self.cancel_held(id);
            }
            Phase::Held
            | Phase::Pending
            | Phase::Parked
            | Phase::Evicting(EvictionStep::Stopped) => {
                self.requeue(id);
            }
            Phase::Starting | Phase::Running | Phase::Evicting(_) | Phase::Stopping => {
                task.phase = Phase::Stopping;
                let attempt = task.attempt;
                if let Some(key) = task.server {
                    self.stop_attempt(key, attempt);
                }
            }
        }
    }

    /// Requeues a held task. While its rack pool is not resolved it may be running; it is then handled with the pool.
    fn cancel_held(&mut self, id: TaskId) {
        let rack_pool = self.durable.task(id).map(|task| task.rack_pool);
        let rack_pool = rack_pool.and_then(|rack_pool| self.rack_pools.get(&rack_pool));
        if rack_pool.is_none_or(|rack_pool| rack_pool.resolved) {
            self.requeue(id);
        }
    }

    /// Evicts all tasks of a leaving server; they resume elsewhere from a checkpoint.
    pub(crate) fn evict_all_tasks(&mut self, key: ServerKey) {
        self.update_pool_capacity();
        let attempts = self.fleet.get(key).map(|server| server.attempts.clone());
        for (_, task) in attempts.unwrap_or_default() {
            self.evict(task);
        }
    }
}
