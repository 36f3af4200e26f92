//! Handling of server reports, and of the ends of runs that they list.

use crate::bounds::Bounds;
use crate::record::Phase;
use crate::report::{EndKind, Report, RunEnd};
use crate::server::UnrecordedEnd;
use crate::shard::{ServerKey, Shard, TaskRef, to_u32};

impl Shard {
    /// Applies a server's report.
    pub fn apply_report(&mut self, server: ServerKey, report: &Report, now_ms: u64) {
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        if report.started_unix_ms != state.started_unix_ms {
            if report.started_unix_ms < state.started_unix_ms {
                return;
            }
            if state.claimed {
                self.end_incarnation(server, report.started_unix_ms, now_ms);
            }
        }
        let state = &mut self.servers[server];
        state.started_unix_ms = report.started_unix_ms;
        let was_claimed = state.claimed;
        let silent_ms = now_ms.saturating_sub(state.last_contact_ms);
        state.claimed = true;
        state.fenced = false;
        state.loss_noted = false;
        // The same incarnation answers, so the server had not crashed.
        let cleared = std::mem::take(&mut state.lapsed_suspects);
        if report.sent_ms >= state.last_contact_ms || !was_claimed {
            state.clock_ms = report.clock_ms;
            state.last_contact_ms = now_ms;
        }
        self.clear_lapse(cleared, now_ms);
        self.clear_cut_off(server, report.sent_ms);
        if !was_claimed {
            // A lease granted by the predecessor may still be valid; the server accepts no more from it.
            let lease_upper_bound_ms = Bounds::lease_upper_bound_ms(self.bounds.lease_ms());
            self.record_lease(server, lease_upper_bound_ms, now_ms);
            self.log_decision(
                "server_claimed",
                None,
                Some(server),
                [
                    ("era", self.term),
                    ("running", report.running.len() as u64),
                    ("ended", report.ended.len() as u64),
                ],
            );
            self.mark_claimed(server);
            self.count_remembered_crash(server, report.started_unix_ms, now_ms);
        } else if silent_ms > crate::server::CONTACT_TIMEOUT_MS {
            self.log_decision(
                "server_regained",
                None,
                Some(server),
                [("silent_ms", silent_ms)],
            );
        }
        let poll_sent_ms = report.sent_ms;
        for end in &report.ended {
            self.apply_end(server, end, now_ms);
        }
        for status in &report.running {
            self.apply_run_status(server, status, now_ms);
        }
        self.update_unwanted_runs(server, report);
        self.abandon_unlisted_runs(server, report, poll_sent_ms, now_ms);
        self.note_refused_starts(server, report);
        self.stop_abandoned_starts(server, now_ms);
        self.throttle_best_effort(server, now_ms);
        let jobs = &self.jobs;
        let is_recorded = |job, version| {
            jobs.get(job)
                .is_none_or(|job| job.recorded_version >= version)
        };
        self.servers[server].acknowledge(is_recorded);
    }

    pub(crate) fn mark_claimed(&mut self, server: ServerKey) {
        let state = &self.servers[server];
        // Nothing is started on a server that is not recorded.
        self.servers_changed |= !state.recorded;
        if let Ok(index) = self.unclaimed.binary_search(&state.entry.name) {
            self.unclaimed.remove(index);
            self.shorten_wait();
        }
    }

    /// Marks the shard as settled and releases unresolved tasks, once all servers of earlier owners have answered or
    /// their leases have expired.
    pub(crate) fn settle(&mut self, now_ms: u64) {
        if self.settled {
            return;
        }
        if !self.unclaimed.is_empty() && !self.has_lease_ended(self.settle_deadline_ms, now_ms) {
            return;
        }
        self.settled = true;
        let silent_servers = self.unclaimed.len() as u64;
        self.unclaimed.clear();
        self.log_decision(
            "shard_settled",
            None,
            None,
            [("era", self.term), ("silent_servers", silent_servers)],
        );
        let mut released = Vec::new();
        for (key, job) in &self.jobs {
            released.extend(
                job.tasks(key)
                    .filter(|(_, task)| task.unresolved)
                    .map(|(task_ref, _)| task_ref),
            );
        }
        self.release_unresolved(released, now_ms);
    }

    pub(crate) fn apply_end(&mut self, server: ServerKey, end: &RunEnd, now_ms: u64) {
        let last_seen_end = self.servers[server].last_seen_end;
        if end.number <= last_seen_end {
            return;
        }
        self.servers[server].last_seen_end = end.number;
        // Before the first end, earlier owners may have acknowledged any number of them.
        if last_seen_end > 0 && end.number > last_seen_end + 1 {
            let inputs = [("after", last_seen_end), ("before", end.number)];
            self.log_decision("ends_missing", None, Some(server), inputs);
        }
        let Some(task_ref) = self.find_started_task(end.task, now_ms) else {
            return;
        };
        self.remove_run(task_ref, server, end.run);
        let task = self.task_mut(task_ref);
        task.last_run = task.last_run.max(end.run);
        task.ended_run = task.ended_run.max(end.run);
        if task.has_ended(task.awaited_run) {
            task.unresolved = false;
        }
        if !end.checkpoint.is_empty() {
            task.checkpoint = end.checkpoint.clone();
        }
        self.log_decision(
            "task_end",
            Some(task_ref),
            Some(server),
            [
                ("run", u64::from(end.run)),
                ("kind", end.kind as u64),
                ("number", end.number),
            ],
        );
        if matches!(end.kind, EndKind::Done | EndKind::Failed) {
            self.clear_suspicion(task_ref, server, end.run, now_ms);
        }
        match end.kind {
            EndKind::Done => {
                self.servers[server].suspension.record_success();
                self.finish_task(task_ref, now_ms);
            }
            EndKind::Failed => self.fail_task(task_ref, server, end.run, now_ms),
            EndKind::Stopped
            | EndKind::LeaseExpired
            | EndKind::GangBroken
            | EndKind::GangIncomplete => {}
        }
        let job = &mut self.jobs[task_ref.job];
        job.started = true;
        job.mark_changed(now_ms);
        let version = job.version;
        self.changed.push(task_ref.job);
        let number = end.number;
        self.servers[server]
            .unrecorded_ends
            .push_back(UnrecordedEnd {
                number,
                job: task_ref.job,
                version,
            });
        self.enqueue_if_ready(task_ref, now_ms);
    }

    /// Marks a task as done; all members of a gang are done together.
    pub(crate) fn finish_task(&mut self, task_ref: TaskRef, now_ms: u64) {
        let is_gang = self.step_spec(task_ref).gang;
        let job = &mut self.jobs[task_ref.job];
        let step = &mut job.occurrences[task_ref.occurrence as usize].steps[task_ref.step as usize];
        let mut remaining_runs = Vec::new();
        for (index, task) in step.tasks.iter_mut().enumerate() {
            let is_own = to_u32(index) == task_ref.index;
            if task.done || !(is_own || is_gang) {
                continue;
            }
            task.done = true;
            step.remaining -= 1;
            job.remaining -= 1;
            if is_own {
                remaining_runs.extend(task.runs.iter().map(|run| (run.server, run.number)));
            }
        }
        let is_step_done = step.remaining == 0;
        let is_job_done =
            job.remaining == 0 && to_u32(job.occurrences.len()) >= job.spec.occurrences();
        for (server, run) in remaining_runs {
            self.stop_run(task_ref, server, run, now_ms);
        }
        if !self.jobs[task_ref.job].is_live() {
            return;
        }
        if is_job_done {
            self.end_job(task_ref.job, Phase::Completed, now_ms);
        } else if is_step_done {
            self.open_steps(task_ref.job, now_ms);
        }
    }

    pub(crate) fn fail_task(
        &mut self,
        task_ref: TaskRef,
        server: ServerKey,
        run: u32,
        now_ms: u64,
    ) {
        if self.servers[server].suspension.record_failure(now_ms) {
            self.log_decision(
                "server_suspended",
                None,
                Some(server),
                [("failed_run", u64::from(run))],
            );
        }
        let task = self.task_mut(task_ref);
        if !task.failed_runs.contains(&run) {
            task.failed_runs.push(run);
        }
        if !task.avoided_servers.contains(&server) {
            task.avoided_servers.push(server);
        }
        self.fail_job_if_exhausted(task_ref, Some(server), now_ms);
    }

    /// Ends the job if a task of it has failed as often as it may; `server` is that of the last failure, if known.
    pub(crate) fn fail_job_if_exhausted(
        &mut self,
        task_ref: TaskRef,
        server: Option<ServerKey>,
        now_ms: u64,
    ) {
        let long_running = self.step_spec(task_ref).long_running;
        let attempts_max = self.jobs[task_ref.job].queue.attempts_max;
        let task = self.task(task_ref);
        let failures = to_u32(task.failed_runs.len());
        let is_exhausted =
            !long_running && attempts_max > 0 && failures >= attempts_max && !task.done;
        if is_exhausted && self.jobs[task_ref.job].is_live() {
            self.log_decision(
                "job_failed",
                Some(task_ref),
                server,
                [
                    ("failures", u64::from(failures)),
                    ("limit", u64::from(attempts_max)),
                ],
            );
            self.end_job(task_ref.job, Phase::Failed, now_ms);
        }
    }
}
