//! Runs that a report lists, or no longer lists.

use crate::action::Action;
use crate::crashes::OUTLIVED_START_MS;
use crate::report::{Report, RunStatus};
use crate::runs::AbandonReason;
use crate::shard::{ServerKey, Shard, TaskRef, to_u32};
use crate::task::RunState;

/// CPU use, in percent of the request, below which an adopted best-effort task is assumed to be throttled by the
/// earlier owner.
const ADOPTED_THROTTLED_PERCENT: u64 = 50;

/// Age from which a run that serves or progresses ends its server's trial; failing servers end tasks within a second.
const TRIAL_SUCCESS_MS: u64 = 1_500;

impl Shard {
    /// Notes which runs of a report this shard does not know or want, and logs those that the last report did not list:
    /// their start was carried out late, or an earlier owner began them.
    pub(crate) fn update_unwanted_runs(&mut self, server: ServerKey, report: &Report) {
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

    pub(crate) fn apply_run_status(&mut self, server: ServerKey, status: &RunStatus, now_ms: u64) {
        let Some(task_ref) = self.find_started_task(status.task, now_ms) else {
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
        let job = &mut self.jobs[task_ref.job];
        // A moving job may already have a run in its new home.
        if job.moving {
            job.has_stray_run = true;
            return false;
        }
        let is_live = job.is_live();
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
