//! Handling of server reports: ends of runs, running tasks and missing runs.

use crate::action::Action;
use crate::bounds::Bounds;
use crate::crashes::OUTLIVED_START_MS;
use crate::record::Phase;
use crate::report::{EndKind, Report, RunEnd, RunStatus};
use crate::runs::AbandonReason;
use crate::server::UnrecordedEnd;
use crate::shard::{ServerKey, Shard, TaskRef, to_u32};
use crate::task::RunState;

/// CPU use, in percent of the request, below which an adopted best-effort task is assumed to be throttled by the
/// earlier owner.
const ADOPTED_THROTTLED_PERCENT: u64 = 50;

/// Age from which a run that serves or progresses ends its server's trial; failing servers end tasks within a second.
const TRIAL_SUCCESS_MS: u64 = 1_500;

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
        // The same incarnation answers, so the server had not crashed.
        let cleared = std::mem::take(&mut state.lapsed_suspects);
        if report.sent_ms >= state.last_contact_ms || !was_claimed {
            state.clock_ms = report.clock_ms;
            state.last_contact_ms = now_ms;
        }
        self.clear_lapse(cleared, now_ms);
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
            self.mark_claimed(server, now_ms);
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
        self.throttle_best_effort(server, now_ms);
        let jobs = &self.jobs;
        let is_recorded = |job, version| {
            jobs.get(job)
                .is_none_or(|job| job.recorded_version >= version)
        };
        self.servers[server].acknowledge(is_recorded);
    }

    /// Notes which runs of a report this shard does not know or want, and logs those that the last report did not list:
    /// their start was carried out late, or an earlier owner began them.
    fn update_unwanted_runs(&mut self, server: ServerKey, report: &Report) {
        let mut unwanted = Vec::new();
        let mut appeared = Vec::new();
        for status in &report.running {
            let task_ref = self.find_task(status.task);
            let is_known = task_ref.is_some_and(|task_ref| {
                let task = self.task(task_ref);
                task.run_position(server, status.run).is_some()
            });
            if is_known {
                continue;
            }
            let id = (status.task, status.run);
            unwanted.push(id);
            if !self.servers[server].unwanted_runs.contains(&id) {
                appeared.push((task_ref, id));
            }
        }
        unwanted.sort_unstable();
        self.servers[server].unwanted_runs = unwanted;
        for (task_ref, (_, run)) in appeared {
            let last_run = task_ref.map_or(0, |task_ref| self.task(task_ref).last_run);
            let is_done = task_ref.is_some_and(|task_ref| self.task(task_ref).done);
            self.log_decision(
                "run_unexpected",
                task_ref,
                Some(server),
                [
                    ("run", u64::from(run)),
                    ("last_run", u64::from(last_run)),
                    ("done", u64::from(is_done)),
                    ("adopted", 0),
                ],
            );
        }
    }

    pub(crate) fn mark_claimed(&mut self, server: ServerKey, now_ms: u64) {
        let state = &self.servers[server];
        // Nothing is started on a server that is not recorded.
        self.servers_changed |= !state.recorded;
        if let Ok(index) = self.unclaimed.binary_search(&state.entry.name) {
            self.unclaimed.remove(index);
            self.shorten_wait();
        }
        // The server's runs are known only once the report that is being applied has been processed.
        self.settle_deadline_ms = self.settle_deadline_ms.max(now_ms);
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
        let Some(task_ref) = self.find_task(end.task) else {
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

    pub(crate) fn apply_run_status(&mut self, server: ServerKey, status: &RunStatus, now_ms: u64) {
        let Some(task_ref) = self.find_task(status.task) else {
            // The job has been purged, or does not belong to this shard.
            self.actions.push(Action::Stop {
                server,
                task: status.task,
                run: status.run,
            });
            return;
        };
        if self
            .task(task_ref)
            .run_position(server, status.run)
            .is_none()
            && !self.adopt_run(task_ref, server, status, now_ms)
        {
            self.actions.push(Action::Stop {
                server,
                task: status.task,
                run: status.run,
            });
            return;
        }
        self.jobs[task_ref.job].started = true;
        let is_live = self.jobs[task_ref.job].is_live();
        let task = self.task_mut(task_ref);
        let Some(position) = task.run_position(server, status.run) else {
            return;
        };
        if !status.checkpoint.is_empty() && status.run >= task.last_run {
            task.checkpoint = status.checkpoint.clone();
        }
        let is_wanted = is_live && !task.done;
        let run = &mut task.runs[position];
        run.listed_ms = Some(now_ms);
        run.missed_start = false;
        run.outlived_start = run.outlives_start(now_ms);
        let outlived_start = run.outlived_start;
        run.tail_ms_or_cpu_millis = status.tail_ms_or_cpu_millis;
        if run.progress_percent != status.progress_percent || run.rate_percent == 0 {
            run.progress_percent = status.progress_percent;
            run.progressed_ms = now_ms;
        }
        if run.outlived_start {
            run.early_percent.get_or_insert(status.progress_percent);
        }
        let has_progressed = run
            .early_percent
            .is_some_and(|early_percent| status.progress_percent > early_percent);
        let passes_trial = (has_progressed || status.progress_percent >= 100)
            && now_ms >= run.start_sent_ms + TRIAL_SUCCESS_MS;
        let start_sent_ms = run.start_sent_ms;
        match run.state {
            RunState::Starting | RunState::Unconfirmed if is_wanted => {
                run.state = RunState::Running;
                run.visible_after_ms = Some(now_ms);
            }
            RunState::Running if is_wanted => {}
            _ => self.stop_run(task_ref, server, status.run, now_ms),
        }
        if outlived_start {
            self.clear_suspicion(task_ref, server, status.run, now_ms);
        }
        let suspension = &mut self.servers[server].suspension;
        let is_trial_run = suspension
            .trial_since_ms()
            .is_some_and(|since_ms| start_sent_ms >= since_ms);
        if passes_trial && is_trial_run {
            suspension.record_success();
        }
    }

    /// Adopts a run that an earlier owner started, or whose start request was carried out late.
    pub(crate) fn adopt_run(
        &mut self,
        task_ref: TaskRef,
        server: ServerKey,
        status: &RunStatus,
        now_ms: u64,
    ) -> bool {
        let is_live = self.jobs[task_ref.job].is_live();
        let is_speculative = self.step_spec(task_ref).speculative;
        let task = self.task(task_ref);
        if !is_live || task.done || task.remote || (!task.runs.is_empty() && !is_speculative) {
            return false;
        }
        // The rate that the earlier owner set is derived from the CPU use and raised from there.
        let spec = self.step_spec(task_ref);
        let use_percent =
            u64::from(status.tail_ms_or_cpu_millis) * 100 / u64::from(spec.cpu_millis.max(1));
        let is_throttled = spec.best_effort && use_percent < ADOPTED_THROTTLED_PERCENT;
        let rate_percent = if is_throttled {
            to_u32(usize::try_from(use_percent).unwrap_or(0))
        } else {
            100
        };
        let last_run = task.last_run;
        // Runs of unresolved tasks were begun by earlier owners, as expected.
        if !task.unresolved && status.run <= last_run {
            self.log_decision(
                "run_unexpected",
                Some(task_ref),
                Some(server),
                [
                    ("run", u64::from(status.run)),
                    ("last_run", u64::from(last_run)),
                    ("done", 0),
                    ("adopted", 1),
                ],
            );
        }
        self.add_run(task_ref, server, status.run, now_ms);
        let task = self.task_mut(task_ref);
        task.unresolved = false;
        if let Some(run) = task.runs.last_mut() {
            run.state = RunState::Running;
            run.outlived_start = true;
            run.visible_after_ms = Some(now_ms);
            run.progress_percent = status.progress_percent;
            run.rate_percent = rate_percent;
        }
        self.ready.retain(|&other| other != task_ref);
        true
    }

    /// Abandons runs that a report to a poll sent at `poll_sent_ms` would list if they existed. A report that may omit
    /// ends abandons none: the end of a run may follow with the next one.
    pub(crate) fn abandon_unlisted_runs(
        &mut self,
        server: ServerKey,
        report: &Report,
        poll_sent_ms: u64,
        now_ms: u64,
    ) {
        let listed = |id, run| {
            report
                .running
                .iter()
                .any(|status| status.task == id && status.run == run)
        };
        let mut unlisted = Vec::new();
        let mut harmless = Vec::new();
        for &(task_ref, number) in &self.servers[server].runs {
            let task = self.task(task_ref);
            let Some(position) = task.run_position(server, number) else {
                continue;
            };
            let run = &task.runs[position];
            if listed(self.task_id(task_ref), number) {
                continue;
            }
            if run.state != RunState::Starting
                && poll_sent_ms >= run.start_sent_ms + OUTLIVED_START_MS
            {
                harmless.push((task_ref, position));
            }
            match run.visible_after_ms {
                Some(visible_after_ms) if visible_after_ms < poll_sent_ms => {
                    let reason = if run.is_stopping() {
                        AbandonReason::NotStartedOrStopped
                    } else {
                        AbandonReason::Interrupted
                    };
                    unlisted.push((task_ref, number, Some(reason)));
                }
                None if run.is_void_if_unlisted(poll_sent_ms) => {
                    let reason = AbandonReason::NotStartedOrStopped;
                    unlisted.push((task_ref, number, Some(reason)));
                }
                // Send a stop first, after which an unconfirmed start can no longer be carried out.
                None if run.state == RunState::Unconfirmed && run.start_sent_ms < poll_sent_ms => {
                    unlisted.push((task_ref, number, None));
                }
                _ => {}
            }
        }
        for (task_ref, position) in harmless {
            self.task_mut(task_ref).runs[position].missed_start = true;
        }
        if report.may_omit_ends {
            return;
        }
        for (task_ref, number, reason) in unlisted {
            match reason {
                Some(reason) => self.abandon_run(task_ref, server, number, reason, now_ms),
                None => self.stop_run(task_ref, server, number, now_ms),
            }
        }
    }
}
