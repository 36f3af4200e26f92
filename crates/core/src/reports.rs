//! Reconciles reports of backend servers with the owner's state.

use crate::health::PROBE_MS;
use crate::lease::LEASE_MS;
use crate::ownership::Role;
use crate::placement::TaskUsage;
use crate::prelude::*;
use crate::shard::Shard;
use crate::tasks::{EvictionStep, JobState, Phase, evicted_entry};

/// Server and time of a report, and the call that it answers.
#[derive(Clone, Copy)]
struct ReportOrigin {
    server: ServerKey,
    op: OpId,
    stamp: ServerTimestamp,
    rebooted: bool,
}

impl Shard {
    /// Handles a report. Only the response to the latest call counts, so reports cannot be reordered.
    pub(crate) fn report(&mut self, key: ServerKey, op: OpId, epoch: Epoch, report: Report) {
        let now = self.now;
        let Some(server) = self.fleet.get_mut(key) else {
            return;
        };
        if server.report_op != Some(op) || server.is_gone() {
            return;
        }
        let rebooted = server.last_report.is_some() && server.boot_id != report.boot_id;
        let was_claim = server.acked_epoch != Some(epoch);
        server.report_op = None;
        server.boot_id = report.boot_id;
        server.last_timestamp = report.stamp;
        server.last_report = Some(now);
        server.acked_epoch = Some(epoch);
        server.leases_expired = false;
        // A server that reports is not gone.
        server.declared_gone = false;
        let rack_pool = server.rack_pool;
        if self.role == Role::Owner {
            let origin = ReportOrigin {
                server: key,
                op,
                stamp: report.stamp,
                rebooted,
            };
            self.reconcile(origin, report);
            self.reclaim(key, Resources::default());
            self.update_open(key);
            self.resolve_rack_pool(rack_pool);
            self.place();
        } else {
            server.attempts = report
                .tasks
                .iter()
                .filter(|listed| listed.state == TaskState::Running)
                .map(|listed| (listed.attempt, listed.task))
                .collect();
            server.attempts.sort_unstable();
        }
        if was_claim {
            // The leases of the reported attempts are about to expire.
            self.request_report(key);
        }
    }

    fn reconcile(&mut self, origin: ReportOrigin, report: Report) {
        let mut listed: Vec<Attempt> = report.tasks.iter().map(|task| task.attempt).collect();
        listed.sort_unstable();
        let known = self
            .fleet
            .get(origin.server)
            .map(|server| server.attempts.clone());
        let mut suspects = Vec::new();
        if origin.rebooted {
            suspects = self.crash_suspects(origin.server);
        }
        for (attempt, task) in known.unwrap_or_default() {
            if listed.binary_search(&attempt).is_err() {
                self.attempt_missing(origin, task, attempt);
            }
        }
        self.count_loss(origin.server, &suspects, true);
        let mut usage = Vec::with_capacity(report.tasks.len());
        for listed in report.tasks {
            if listed.state == TaskState::Running {
                usage.push(TaskUsage {
                    task: listed.task,
                    used: listed.used,
                    slowdown_permille: listed.slowdown_permille,
                });
            }
            self.reported_attempt(origin, listed);
        }
        let slowdown = report.request_slowdown_permille;
        self.scheduler
            .report(self.now, origin.server, &usage, slowdown);
    }

    /// Handles an attempt that may be running on a server but is not in its report.
    fn attempt_missing(&mut self, origin: ReportOrigin, id: TaskId, attempt: Attempt) {
        let Some(task) = self.durable.task(id).filter(|task| task.attempt == attempt) else {
            if let Some(server) = self.fleet.get_mut(origin.server) {
                server.drop_attempt(attempt, id);
            }
            return;
        };
        let was_known = task.phase != Phase::Starting && task.confirmed_op != OpId(0);
        // Otherwise the start command may still be in transit. A server refuses it once its lease would have expired.
        let cannot_start = origin.stamp.0 > task.start_timestamp.0 + LEASE_MS;
        let is_gone =
            origin.rebooted || cannot_start || (was_known && origin.op > task.confirmed_op);
        if is_gone {
            self.attempt_gone(id, attempt);
        }
    }

    /// Handles an attempt that is certainly not running any more and that its server will not report again.
    pub(crate) fn attempt_gone(&mut self, id: TaskId, attempt: Attempt) {
        let Some(task) = self
            .durable
            .task_mut(id)
            .filter(|task| task.attempt == attempt)
        else {
            return;
        };
        match task.phase {
            Phase::Starting
            | Phase::Running
            | Phase::Stopping
            | Phase::Evicting(EvictionStep::Checkpoint | EvictionStep::Stop) => self.requeue(id),
            Phase::Evicting(EvictionStep::Record) => {
                task.phase = Phase::Evicting(EvictionStep::Stopped);
                self.free_server(id);
            }
            _ => {}
        }
    }

    fn reported_attempt(&mut self, origin: ReportOrigin, listed: TaskReport) {
        let Some(task) = self.durable.task(listed.task) else {
            self.clean_up_stray(origin.server, &listed);
            return;
        };
        let is_current = task.server == Some(origin.server) && task.attempt == listed.attempt;
        // The journal outlives what this owner has heard of a task: an ended attempt older than the recorded one is no
        // news, even if it is the first that is reported to this owner.
        let is_superseded =
            listed.state != TaskState::Running && task.has_later_checkpoint(listed.attempt);
        let is_newer = listed.attempt > task.attempt && !is_superseded;
        let is_over = matches!(task.phase, Phase::Ended | Phase::Ending);
        // A success that arrives late: the attempt ended before its lease was considered expired.
        let has_succeeded = listed.state == TaskState::Succeeded;
        let ended_unreported = task.server.is_none() && has_succeeded;
        let awaits_record = has_succeeded && task.phase == Phase::Ending;
        if has_succeeded && !is_current && !is_over && task.server.is_some() {
            self.stop_for_earlier_success(listed.task);
        } else if is_current {
            self.current_attempt(origin, listed);
        } else if awaits_record {
            // If this owner is lost before the commit, the next one learns of the success from the server.
        } else if !is_over && (is_newer || ended_unreported) {
            self.adopt(origin, &listed);
            self.current_attempt(origin, listed);
        } else {
            self.clean_up_stray(origin.server, &listed);
        }
    }

    /// Stops the current attempt of a task because an earlier one succeeded. The current attempt keeps its reservation
    /// until it has stopped; then the task has ended.
    fn stop_for_earlier_success(&mut self, id: TaskId) {
        let Some(task) = self.durable.task_mut(id) else {
            return;
        };
        self.earlier_succeeded.insert(id);
        if task.phase == Phase::Evicting(EvictionStep::Stopped) {
            // No report or lapse of that attempt will follow.
            self.requeue(id);
            return;
        }
        task.phase = Phase::Stopping;
        let attempt = task.attempt;
        let server = task.server;
        if let Some(key) = server {
            self.stop_attempt(key, attempt);
        }
    }

    /// Stops an attempt that is not the current one of its task, or acknowledges it if it has ended.
    fn clean_up_stray(&mut self, key: ServerKey, listed: &TaskReport) {
        if listed.state == TaskState::Running {
            self.log_stray(key, listed.task);
            self.stop_attempt(key, listed.attempt);
            return;
        }
        self.acknowledge(key, listed.attempt);
    }

    fn log_stray(&mut self, key: ServerKey, task: TaskId) {
        let name = self.fleet.get(key).map(|server| server.name.clone());
        self.log("stray_attempt", Some(task), &name.unwrap_or_default());
    }

    pub(crate) fn acknowledge(&mut self, key: ServerKey, attempt: Attempt) {
        if let Some(server) = self.fleet.get_mut(key)
            && !server.pending_acks.contains(&attempt)
        {
            server.pending_acks.push(attempt);
        }
    }

    /// Adopts a running attempt that an earlier owner started.
    fn adopt(&mut self, origin: ReportOrigin, listed: &TaskReport) {
        let id = listed.task;
        let earlier = self
            .durable
            .task(id)
            .map(|task| (task.server, task.attempt));
        if let Some((Some(server), attempt)) = earlier {
            self.stop_attempt(server, attempt);
        }
        let job_state = self.durable.jobs.get(&id.job).map(|job| job.state);
        self.free_server(id);
        let rack_pool = self.durable.task(id).map(|task| task.rack_pool);
        if let Some(rack_pool) = rack_pool.and_then(|rack_pool| self.rack_pools.get_mut(&rack_pool))
        {
            rack_pool.pending.remove(&id);
        }
        if let Some(task) = self.durable.task_mut(id) {
            task.server = Some(origin.server);
            task.attempt = listed.attempt;
            task.start_timestamp = ServerTimestamp(0);
            task.confirmed_op = origin.op;
            task.phase = if job_state == Some(JobState::Cancelled) {
                Phase::Stopping
            } else {
                Phase::Running
            };
        }
        self.recent_starts.remove(&id);
        // Only a suspected task needs to show again that it outlives its start.
        if self.durable.is_suspected(id) {
            self.add_recent_start(id, listed.attempt);
        }
        if let Some(server) = self.fleet.get_mut(origin.server) {
            server.add_attempt(listed.attempt, id);
        }
        if let Some(request) = self.request(id) {
            self.scheduler.adopt(self.now, &request, origin.server);
        }
    }

    /// Releases the reservation of a task and removes its attempt from the server. The task stays in its rack pool.
    fn free_server(&mut self, id: TaskId) {
        self.scheduler.remove(self.now, id);
        let Some(task) = self.durable.task(id) else {
            return;
        };
        let attempt = task.attempt;
        if let Some(server) = task.server.and_then(|key| self.fleet.get_mut(key)) {
            server.drop_attempt(attempt, id);
        }
    }

    fn current_attempt(&mut self, origin: ReportOrigin, listed: TaskReport) {
        let id = listed.task;
        match listed.state {
            TaskState::Running => self.still_running(origin, id),
            TaskState::Succeeded => self.succeeded(origin.server, id),
            TaskState::Failed { .. } => self.failed(origin.server, id),
            TaskState::Stopped => self.stopped(origin.server, id, listed),
        }
    }

    fn still_running(&mut self, origin: ReportOrigin, id: TaskId) {
        let now = self.now;
        let store_is_up = !self.budget.is_down();
        let Some(task) = self.durable.task_mut(id) else {
            return;
        };
        let attempt = task.attempt;
        match task.phase {
            Phase::Starting => {
                task.phase = Phase::Running;
                task.confirmed_op = origin.op;
            }
            Phase::Stopping | Phase::Evicting(EvictionStep::Stop) => {
                self.stop_attempt(origin.server, attempt);
            }
            Phase::Evicting(EvictionStep::Checkpoint) if store_is_up => {
                self.request_checkpoint(origin.server, id, attempt);
            }
            _ => {}
        }
        self.outlive_start(id);
        let server = self.fleet.get(origin.server);
        let has_passed_probe =
            server.is_some_and(|server| server.health.has_probe_run(now, PROBE_MS));
        if has_passed_probe {
            self.start_succeeded(origin.server, id.job);
        }
    }

    fn succeeded(&mut self, key: ServerKey, id: TaskId) {
        let Some(task) = self.durable.task_mut(id) else {
            return;
        };
        match task.phase {
            Phase::Ending => return,
            Phase::Stopping => {
                let attempt = task.attempt;
                self.acknowledge(key, attempt);
                self.requeue(id);
                return;
            }
            _ => {}
        }
        self.free_server(id);
        self.start_succeeded(key, id.job);
        self.end(id);
    }

    fn failed(&mut self, key: ServerKey, id: TaskId) {
        let Some(task) = self.durable.task(id) else {
            return;
        };
        let (attempt, phase) = (task.attempt, task.phase);
        self.acknowledge(key, attempt);
        if phase == Phase::Stopping {
            self.requeue(id);
            return;
        }
        let retry = self.start_failed(key, id.job, true);
        self.hold_until(id, retry);
    }

    /// Handles an attempt that was stopped on command or because its lease expired.
    fn stopped(&mut self, key: ServerKey, id: TaskId, listed: TaskReport) {
        let Some(task) = self.durable.task_mut(id) else {
            return;
        };
        match (task.phase, listed.checkpoint) {
            (Phase::Evicting(EvictionStep::Stopped) | Phase::Ending, _) => {}
            (Phase::Evicting(EvictionStep::Record), _) => {
                task.phase = Phase::Evicting(EvictionStep::Stopped);
                self.free_server(id);
            }
            (Phase::Evicting(EvictionStep::Stop) | Phase::Stopping, _) | (_, None) => {
                self.acknowledge(key, listed.attempt);
                self.requeue(id);
            }
            (_, Some(checkpoint)) => {
                task.phase = Phase::Evicting(EvictionStep::Stopped);
                self.free_server(id);
                self.append(evicted_entry(id, listed.attempt, &checkpoint));
            }
        }
    }
}
