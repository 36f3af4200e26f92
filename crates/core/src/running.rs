//! Running tasks: their reservations and the charges to their clients.

use crate::capacity::{Reservation, Resources};
use crate::fairness::ClientKey;
use crate::ids::{ServerKey, TaskId};
use crate::interference::KindKey;
use crate::pending::SchedulingState;
use crate::placement::{Placement, Scheduler, TaskRequest, index_u32};
use crate::server_choice::PendingTask;
use crate::time::{DurationMs, MonoMs};

/// Run time charged to a client when a task starts. Later time is charged as reports arrive, so that a wrong declared
/// run time distorts the shares by at most this much.
const CHARGED_AT_START_MS: u64 = 30_000;

/// A running task.
pub(crate) struct Task {
    pub(crate) id: TaskId,
    pub(crate) client: ClientKey,
    pub(crate) kind: KindKey,
    pub(crate) server: u32,
    pub(crate) declared: Resources,
    pub(crate) reservation: Reservation,
    pub(crate) started: MonoMs,
    pub(crate) checkpointed: MonoMs,
    pub(crate) charged_until: MonoMs,
    pub(crate) finish_by: Option<MonoMs>,
    pub(crate) run_ms: u64,
    pub(crate) limit_changed: MonoMs,
    /// Consecutive reports that showed the task at its processor or memory limit.
    pub(crate) reports_at_limit: u16,
    /// As last reported.
    pub(crate) slowdown_permille: u32,
    /// Set while an eviction is in progress.
    pub(crate) eviction_began: Option<MonoMs>,
}

impl Scheduler {
    /// Records a task that a new owner found running on a server.
    pub fn adopt(&mut self, now: MonoMs, request: &TaskRequest, server: ServerKey) {
        self.remove(now, request.task);
        let Some(at) = self.server_at(server) else {
            return;
        };
        let client = self.accounts.acquire(&request.team, &request.client);
        let pending = PendingTask {
            task: request.task,
            kind: self.interference.kind(&request.kind),
            declared: request.size,
            run_ms: request.run_ms,
            finish_by: request.finish_by,
            submitted: now,
        };
        let released = self.sizes.adopted(now, request.task.job, pending.kind);
        self.enqueue_all(now, released);
        self.start(now, &pending, client, at, request.size);
    }

    /// Records that a running task has just saved a checkpoint, so that its eviction loses less work.
    pub fn checkpointed(&mut self, now: MonoMs, task: TaskId) {
        if let Some(SchedulingState::Running(at)) = self.states.get(&task)
            && let Some(found) = &mut self.tasks[*at as usize]
        {
            found.checkpointed = now;
        }
    }

    /// Reserves the size of a task on a server and charges its client.
    pub(crate) fn start(
        &mut self,
        now: MonoMs,
        pending: &PendingTask,
        client: ClientKey,
        server: u32,
        size: Resources,
    ) -> Placement {
        let charged_ms = pending.run_ms.min(CHARGED_AT_START_MS);
        self.accounts.charge(client, cost(size, charged_ms));
        let team = self.accounts.team_of(client);
        self.accounts.add_use(team, u64::from(size.millicores));
        let task = Task {
            id: pending.task,
            client,
            kind: pending.kind,
            server,
            declared: pending.declared,
            reservation: Reservation::of(size),
            started: now,
            checkpointed: now,
            charged_until: now + DurationMs(charged_ms),
            finish_by: pending.finish_by,
            run_ms: pending.run_ms,
            limit_changed: now,
            reports_at_limit: 0,
            slowdown_permille: 1_000,
            eviction_began: None,
        };
        let at = if let Some(at) = self.vacant.pop() {
            self.tasks[at as usize] = Some(task);
            at
        } else {
            self.tasks.push(Some(task));
            index_u32(self.tasks.len() - 1)
        };
        self.states
            .insert(pending.task, SchedulingState::Running(at));
        let found = &mut self.servers[server as usize];
        found.add_task(at, pending.kind, size);
        found.update_expected_slowdown(&self.interference);
        let key = found.key;
        let pool = &mut self.pools[found.pool as usize];
        pool.index_free(&mut self.servers, server);
        pool.mark_slowed(&mut self.servers, server, &self.goals);
        Placement {
            task: pending.task,
            server: key,
            reserved: size,
        }
    }

    /// Frees the reservation of a task and corrects the charges to its client to the time that it ran.
    pub(crate) fn finish(&mut self, now: MonoMs, at: u32) {
        let Some(task) = self.tasks[at as usize].take() else {
            return;
        };
        self.vacant.push(at);
        if now > task.charged_until {
            let uncharged_ms = now.since(task.charged_until).0;
            self.accounts
                .charge(task.client, cost(task.reservation.reserved, uncharged_ms));
        } else {
            let unused_ms = task.charged_until.since(now).0;
            self.accounts
                .refund(task.client, cost(task.reservation.reserved, unused_ms));
        }
        let team = self.accounts.team_of(task.client);
        let millicores = u64::from(task.reservation.reserved.millicores);
        let within_quota_again = self.accounts.sub_use(team, millicores);
        self.accounts.release(task.client);
        let will_return = task.eviction_began.is_some();
        if !will_return {
            self.history.remove(task.id);
            let released = self.sizes.prove(now, task.id.job, task.kind, None);
            self.enqueue_all(now, released);
        }
        let released = self.sizes.task_left(now, task.id.job, will_return);
        self.enqueue_all(now, released);
        let server = &mut self.servers[task.server as usize];
        server.remove_task(at, task.kind, &task.reservation);
        server.update_expected_slowdown(&self.interference);
        let pool_at = server.pool;
        let pool = &mut self.pools[pool_at as usize];
        pool.index_free(&mut self.servers, task.server);
        pool.mark_slowed(&mut self.servers, task.server, &self.goals);
        self.mark_ready(pool_at);
        if within_quota_again {
            for pool in &mut self.pools {
                pool.normal.refresh_rank(&self.accounts, team);
                pool.urgent.refresh_rank(&self.accounts, team);
            }
        }
    }
}

/// Cost of a reservation over a time, in core-milliseconds.
pub(crate) fn cost(reserved: Resources, time_ms: u64) -> u64 {
    u64::from(reserved.millicores).saturating_mul(time_ms) / 1_000
}
