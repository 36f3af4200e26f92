//! Lifecycle of runs and resource accounting of their servers.

use crate::action::{Action, StartReply, StartRequest};
use crate::bounds::Bounds;
use crate::incarnation::OfIncarnation;
use crate::shard::{ServerKey, Shard, TaskRef};
use crate::task::{Move, Run, RunState};

/// Interval at which an ineffective stop is retried; several round trips.
pub(crate) const STOP_RETRY_MS: u64 = 1_000;

/// Time for which a server without free capacity is skipped, until the next poll corrects its accounting.
const FULL_SERVER_RETRY_MS: u64 = 500;

/// Why a run is abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AbandonReason {
    /// The run never started, or was stopped on request.
    NotStartedOrStopped,
    /// The server is gone or ended the run.
    Interrupted,
}

impl Shard {
    /// Adds a run and charges its resources to the server.
    pub(crate) fn add_run(
        &mut self,
        task_ref: TaskRef,
        server: ServerKey,
        number: u32,
        now_ms: u64,
    ) {
        let spec = self.step_spec(task_ref);
        let (cpu, memory, gpus) = (spec.cpu_millis, spec.memory_mb, spec.gpus);
        let (is_best_effort, has_target) = (spec.best_effort, spec.tail_target_ms > 0);
        let state = &mut self.servers[server];
        if is_best_effort {
            state.best_effort_used_millis += cpu;
        } else {
            state.cpu_used_millis += cpu;
        }
        if has_target {
            state.service_used_millis += cpu;
        }
        state.memory_used_mb += memory;
        state.gpus_used += gpus;
        state.runs.push((task_ref, number));
        let job = &mut self.jobs[task_ref.job];
        job.run_count += 1;
        let task = self.task_mut(task_ref);
        task.last_run = task.last_run.max(number);
        task.queued = false;
        task.runs.push(Run::starting(number, server, now_ms));
    }

    /// Adds a run and sends the start request.
    pub(crate) fn start(
        &mut self,
        task_ref: TaskRef,
        server: ServerKey,
        number: u32,
        lease_end_ms: u64,
        now_ms: u64,
    ) {
        let beside_suspect = self.servers[server].suspected_run.is_some();
        self.add_run(task_ref, server, number, now_ms);
        let lease_ms = lease_end_ms.saturating_sub(self.servers[server].clock_at(now_ms));
        if let Some(run) = self.task_mut(task_ref).runs.last_mut() {
            run.beside_suspect = beside_suspect;
            run.start_expired_ms = now_ms + Bounds::lease_upper_bound_ms(lease_ms);
        }
        if self.task(task_ref).is_suspected() {
            self.servers[server]
                .suspected_run
                .get_or_insert((task_ref, number));
        }
        self.task_mut(task_ref).moved = Move::None;
        let state = &self.servers[server];
        let ticket = self.ticket(task_ref, server, now_ms).cloned();
        let request = StartRequest {
            task: self.task_id(task_ref),
            run: number,
            command: self.jobs[task_ref.job].spec.command.as_str().into(),
            checkpoint: self.task(task_ref).checkpoint.clone(),
            ticket: ticket.unwrap_or_default(),
            lease_end_ms: OfIncarnation::new(state.incarnation(), lease_end_ms),
            send_by_ms: self
                .registrations_valid_until_ms()
                .min(self.evacuation_valid_until_ms()),
        };
        let waited_ms = now_ms.saturating_sub(self.task(task_ref).ready_since_ms);
        let cpu_free_millis = u64::from(self.servers[server].cpu_free_millis());
        let contact_age_ms = now_ms.saturating_sub(self.servers[server].last_contact_ms);
        let urgency = self.jobs[task_ref.job].urgency(task_ref.step, self.unix_ms_at(now_ms));
        self.actions.push(Action::Start { server, request });
        self.log_decision(
            "task_start",
            Some(task_ref),
            Some(server),
            [
                ("run", u64::from(number)),
                ("waited_ms", waited_ms),
                ("cpu_free_millis", cpu_free_millis),
                ("report_age_ms", contact_age_ms),
                ("urgency", urgency as u64),
            ],
        );
    }

    /// Releases the capacity that a run reserved before its start request.
    pub(crate) fn remove_reserved_run(
        &mut self,
        task_ref: TaskRef,
        server: ServerKey,
        number: u32,
    ) {
        self.remove_run(task_ref, server, number);
    }

    pub(crate) fn remove_run(
        &mut self,
        task_ref: TaskRef,
        server: ServerKey,
        number: u32,
    ) -> Option<Run> {
        let spec = self.step_spec(task_ref).clone();
        let task = self.task_mut(task_ref);
        let position = task.run_position(server, number)?;
        let run = task.runs.swap_remove(position);
        self.jobs[task_ref.job].run_count -= 1;
        let state = &mut self.servers[server];
        state
            .runs
            .retain(|&(task, other)| task != task_ref || other != number);
        if spec.best_effort {
            state.best_effort_used_millis -= spec.cpu_millis;
        } else {
            state.cpu_used_millis -= spec.cpu_millis;
        }
        if spec.tail_target_ms > 0 {
            state.service_used_millis -= spec.cpu_millis;
        }
        state.memory_used_mb -= spec.memory_mb;
        state.gpus_used -= spec.gpus;
        if state.suspected_run == Some((task_ref, number)) {
            state.suspected_run = None;
        }
        Some(run)
    }

    /// Sends a stop request for a run, unless one was sent recently.
    pub(crate) fn stop_run(
        &mut self,
        task_ref: TaskRef,
        server: ServerKey,
        number: u32,
        now_ms: u64,
    ) {
        let id = self.task_id(task_ref);
        let task = self.task_mut(task_ref);
        let Some(position) = task.run_position(server, number) else {
            return;
        };
        let run = &mut task.runs[position];
        if let RunState::Stopping { sent_ms } = run.state
            && now_ms < sent_ms + STOP_RETRY_MS
        {
            return;
        }
        // A retry changes nothing for polls sent after the answer to an earlier stop.
        if !run.is_stopping() {
            run.visible_after_ms = None;
        }
        run.state = RunState::Stopping { sent_ms: now_ms };
        self.actions.push(Action::Stop {
            server,
            task: id,
            run: number,
        });
    }

    /// Handles the reply to a start request.
    pub fn start_replied(
        &mut self,
        server: ServerKey,
        request: &StartRequest,
        reply: StartReply,
        now_ms: u64,
    ) {
        let Some(task_ref) = self.find_task(request.task) else {
            return;
        };
        let Some(position) = self.task(task_ref).run_position(server, request.run) else {
            return;
        };
        if reply != StartReply::Started {
            self.log_decision(
                "start_refused",
                Some(task_ref),
                Some(server),
                [("run", u64::from(request.run)), ("reply", reply as u64)],
            );
        }
        match reply {
            StartReply::Started => {
                self.jobs[task_ref.job].started = true;
                let run = &mut self.task_mut(task_ref).runs[position];
                run.start_answered_ms.get_or_insert(now_ms);
                if run.state == RunState::Starting {
                    run.state = RunState::Running;
                }
                if !run.is_stopping() {
                    run.visible_after_ms = Some(now_ms);
                }
                run.progressed_ms = now_ms;
                let percent = run.rate_percent;
                if percent < 100 {
                    let task = request.task;
                    self.actions.push(Action::SetRate {
                        server,
                        task,
                        run: request.run,
                        percent,
                    });
                }
            }
            StartReply::Unknown | StartReply::ConnectionClosed => {
                let run = &mut self.task_mut(task_ref).runs[position];
                if run.state == RunState::Starting {
                    run.state = RunState::Unconfirmed;
                }
                if reply == StartReply::ConnectionClosed {
                    self.note_cut_off(task_ref, server, request, now_ms);
                }
            }
            StartReply::WrongInstance => {
                // Not started, so this run cannot be the cause of a crash.
                self.abandon_start(task_ref, server, request.run, now_ms);
                self.end_incarnation(server, 0, now_ms);
            }
            StartReply::Fenced => {
                self.servers[server].fenced = true;
                self.abandon_start(task_ref, server, request.run, now_ms);
            }
            // A start to another incarnation waits for its first report.
            StartReply::NoCapacity | StartReply::OtherIncarnation => {
                self.servers[server].full_until_ms = now_ms + FULL_SERVER_RETRY_MS;
                self.abandon_start(task_ref, server, request.run, now_ms);
            }
            StartReply::Refused => {
                self.servers[server].suspension.record_stall(now_ms);
                self.abandon_start(task_ref, server, request.run, now_ms);
            }
            StartReply::NoTicket => {
                self.advice_mut(task_ref).expire_ticket(server);
                self.abandon_start(task_ref, server, request.run, now_ms);
            }
            StartReply::Stale | StartReply::Late => {
                self.abandon_start(task_ref, server, request.run, now_ms);
            }
        }
    }

    /// Handles the reply to a stop request. The run can no longer start, so a later poll either lists it or it is gone.
    pub fn stop_replied(
        &mut self,
        server: ServerKey,
        task: crate::job::TaskId,
        run: u32,
        now_ms: u64,
    ) {
        self.note_abandoned_start_stopped(server, task, run, now_ms);
        let Some(task_ref) = self.find_task(task) else {
            return;
        };
        let Some(position) = self.task(task_ref).run_position(server, run) else {
            return;
        };
        let run = &mut self.task_mut(task_ref).runs[position];
        if run.is_stopping() {
            run.visible_after_ms.get_or_insert(now_ms);
        }
    }

    /// Abandons a run that its server refused to start.
    fn abandon_start(&mut self, task_ref: TaskRef, server: ServerKey, number: u32, now_ms: u64) {
        let task = self.task_mut(task_ref);
        if let Some(position) = task.run_position(server, number) {
            task.runs[position].start_answered_ms = Some(now_ms);
        }
        let reason = AbandonReason::NotStartedOrStopped;
        self.abandon_run(task_ref, server, number, reason, now_ms);
    }

    /// Abandons a run that is known not to be running.
    pub(crate) fn abandon_run(
        &mut self,
        task_ref: TaskRef,
        server: ServerKey,
        number: u32,
        reason: AbandonReason,
        now_ms: u64,
    ) {
        let Some(run) = self.remove_run(task_ref, server, number) else {
            return;
        };
        self.remember_abandoned_start(server, self.task_id(task_ref), &run, now_ms);
        if reason == AbandonReason::NotStartedOrStopped && run.listed_ms.is_none() {
            self.log_decision(
                "start_void",
                Some(task_ref),
                Some(server),
                [
                    ("run", u64::from(number)),
                    ("age_ms", now_ms.saturating_sub(run.start_sent_ms)),
                    (
                        "stop_answered",
                        u64::from(run.is_stopping() && run.visible_after_ms.is_some()),
                    ),
                ],
            );
        }
        if reason == AbandonReason::Interrupted {
            let lived_ms = run
                .listed_ms
                .map_or(0, |listed_ms| listed_ms.saturating_sub(run.start_sent_ms));
            self.log_decision(
                "run_lost",
                Some(task_ref),
                Some(server),
                [
                    ("run", u64::from(number)),
                    ("age_ms", now_ms.saturating_sub(run.start_sent_ms)),
                    ("lived_ms", lived_ms),
                ],
            );
        }
        self.enqueue_if_ready(task_ref, now_ms);
    }

    /// Ends a server's incarnation after a restart, or after its loss if `started_unix_ms` is 0. None of its runs
    /// continue, but the next incarnation may have carried out, or may still carry out, starts that got no answer before
    /// the last report: it knows neither stops nor the leases of the clock before. Those runs are kept until it reports.
    pub(crate) fn end_incarnation(&mut self, server: ServerKey, started_unix_ms: u64, now_ms: u64) {
        self.note_loss(server, now_ms);
        // A draining server was expected to leave.
        let suspects = if self.servers[server].draining_since_ms.is_some() {
            Vec::new()
        } else {
            let mut suspects = self.crash_suspects(server);
            suspects.append(&mut self.servers[server].lapsed_suspects);
            suspects
        };
        self.log_decision(
            "server_life_ended",
            None,
            Some(server),
            [("runs", self.servers[server].runs.len() as u64)],
        );
        let last_contact_ms = self.servers[server].last_contact_ms;
        for (task_ref, number) in self.servers[server].runs.clone() {
            let task = self.task_mut(task_ref);
            if let Some(position) = task.run_position(server, number)
                && started_unix_ms != 0
                && task.runs[position].may_begin_after(last_contact_ms)
            {
                task.runs[position].enter_incarnation();
                continue;
            }
            self.abandon_run(task_ref, server, number, AbandonReason::Interrupted, now_ms);
        }
        self.servers[server].begin_incarnation(started_unix_ms);
        if !self.servers[server].runs.is_empty() {
            // The clock of the new incarnation is not known, so such a start may carry the longest lease.
            let lease_upper_bound_ms = Bounds::lease_upper_bound_ms(self.bounds.lease_max_ms);
            self.record_lease(server, lease_upper_bound_ms, now_ms);
        }
        self.count_crash(server, &suspects, now_ms);
    }
}
