//! Timer-driven work: lease expiry, stop retries and stall detection.

use crate::bounds::Bounds;
use crate::incarnation::OfIncarnation;
use crate::runs::{AbandonReason, STOP_RETRY_MS};
use crate::server::CONTACT_TIMEOUT_MS;
use crate::shard::{ServerKey, Shard};
use crate::task::{Run, RunState};

/// Minimum time without progress after which a run is moved to another server; several poll intervals.
const STALL_TIMEOUT_MS: u64 = 2_600;

/// A run counts as stalled if its next percent of progress takes this many times as long as the earlier ones. Servers
/// report whole percents, of which a run of five minutes has one every 3 s.
const STALL_FACTOR: u64 = 3;

/// Time without progress after which a run counts as stalled.
fn stall_timeout_ms(run: &Run, estimate_ms: u64) -> u64 {
    let per_percent_ms = match u64::from(run.progress_percent) {
        0 => estimate_ms / 100,
        percent => run.progressed_ms.saturating_sub(run.start_sent_ms) / percent,
    };
    STALL_TIMEOUT_MS.max(per_percent_ms * STALL_FACTOR)
}

/// Wait of a poll of a server with tasks: tail latencies and progress are half a second old anyway.
const POLL_WAIT_MS: u64 = 900;

/// Wait of a poll of a server whose service tasks are near their latency targets: tail latencies cover half a second. A
/// server with a suspected run gets no other task before the next report.
const NEAR_TARGET_POLL_WAIT_MS: u64 = 400;

/// Wait of a poll of a server without tasks: shorter than the time after which a server counts as silent.
const IDLE_POLL_WAIT_MS: u64 = 1_300;

/// Hundreds of round trips within a failure domain.
const POLL_GRACE_MS: u64 = 500;

/// Time for the answer of a silent server. One that is only slow to answer is regained by it before its lease expires;
/// with the shorter time for all polls, none of its answers would ever count.
const SILENT_POLL_GRACE_MS: u64 = 1_500;

/// Waits of a poll, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollTiming {
    /// Longest time for which the server waits for a task to end before it answers.
    pub wait_ms: u64,
    /// Time beyond it after which the poll counts as unanswered.
    pub grace_ms: u64,
}

impl Shard {
    /// Expires leases, retries stops and stops stalled runs.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        for server in self.server_keys() {
            let state = &self.servers[server];
            let is_silent = now_ms >= state.last_contact_ms + CONTACT_TIMEOUT_MS;
            if is_silent && state.has_left(now_ms) && self.settled {
                self.drop_server(server);
                continue;
            }
            let lease_end_ms = state.lease_end_ms;
            if is_silent && self.has_lease_ended(lease_end_ms, now_ms) {
                self.note_loss(server, now_ms);
                let state = &self.servers[server];
                let runs = state.runs.clone();
                if !runs.is_empty() {
                    let silent_ms = now_ms - state.last_contact_ms;
                    self.log_decision(
                        "server_lapsed",
                        None,
                        Some(server),
                        [("silent_ms", silent_ms)],
                    );
                    self.suspect_lapsed(server, now_ms);
                    for (task_ref, number) in runs {
                        self.abandon_run(
                            task_ref,
                            server,
                            number,
                            AbandonReason::Interrupted,
                            now_ms,
                        );
                    }
                }
                if !self.servers[server].registered {
                    self.drop_server(server);
                }
                continue;
            }
            if is_silent {
                continue;
            }
            self.check_runs(server, now_ms);
            self.stop_abandoned_starts(server, now_ms);
        }
    }

    pub(crate) fn check_runs(&mut self, server: ServerKey, now_ms: u64) {
        let mut stalled = Vec::new();
        let mut stop_retries = Vec::new();
        for &(task_ref, number) in &self.servers[server].runs {
            let task = self.task(task_ref);
            let Some(position) = task.run_position(server, number) else {
                continue;
            };
            let run = &task.runs[position];
            let estimate_ms = u64::from(self.step_spec(task_ref).estimate_ms);
            match run.state {
                RunState::Stopping { sent_ms } if now_ms >= sent_ms + STOP_RETRY_MS => {
                    stop_retries.push((task_ref, number));
                }
                RunState::Running
                    if run.progress_percent < 100
                        && run.rate_percent >= 50
                        && now_ms >= run.progressed_ms + stall_timeout_ms(run, estimate_ms) =>
                {
                    stalled.push((task_ref, number, now_ms - run.progressed_ms));
                }
                _ => {}
            }
        }
        for (task_ref, number) in stop_retries {
            self.stop_run(task_ref, server, number, now_ms);
        }
        if stalled.is_empty() {
            return;
        }
        self.servers[server].suspension.record_stall(now_ms);
        for (task_ref, number, still_ms) in stalled {
            self.log_decision(
                "run_stalled",
                Some(task_ref),
                Some(server),
                [("run", u64::from(number)), ("still_ms", still_ms)],
            );
            let task = self.task_mut(task_ref);
            if !task.avoided_servers.contains(&server) {
                task.avoided_servers.push(server);
            }
            self.stop_run(task_ref, server, number, now_ms);
        }
    }

    pub(crate) fn drop_server(&mut self, server: ServerKey) {
        let Some(state) = self.servers.remove(server) else {
            return;
        };
        self.remember_lapsed(&state);
        let is_recorded = state.claimed || state.recorded;
        let name = state.entry.name;
        if let Ok(index) = self
            .server_index
            .binary_search_by(|(server_name, _)| server_name.cmp(&name))
        {
            self.server_index.remove(index);
        }
        self.servers_changed |= is_recorded;
    }

    /// Waits of the next poll of a server.
    #[must_use]
    pub fn poll_timing(&self, server: ServerKey, now_ms: u64) -> PollTiming {
        let Some(state) = self.servers.get(server).filter(|state| state.claimed) else {
            return PollTiming {
                wait_ms: 0,
                grace_ms: POLL_GRACE_MS,
            };
        };
        if now_ms >= state.last_contact_ms + CONTACT_TIMEOUT_MS {
            return PollTiming {
                wait_ms: 0,
                grace_ms: SILENT_POLL_GRACE_MS,
            };
        }
        let wait_ms = if state.runs.is_empty() {
            IDLE_POLL_WAIT_MS
        } else if state.throttle.is_near_target() || state.suspected_run.is_some() {
            NEAR_TARGET_POLL_WAIT_MS
        } else {
            POLL_WAIT_MS
        };
        PollTiming {
            wait_ms,
            grace_ms: POLL_GRACE_MS,
        }
    }

    /// Lease to grant to a server: its end on the server's clock, and the longest time that it can last on the
    /// local clock, in milliseconds. No lease outlasts the time for which this owner may act.
    #[must_use]
    pub fn lease(
        &self,
        server: ServerKey,
        authority_end_ms: u64,
        now_ms: u64,
    ) -> Option<(OfIncarnation<u64>, u64)> {
        let remaining_ms = authority_end_ms.saturating_sub(now_ms);
        let lease_ms = self
            .bounds
            .lease_ms()
            .min(Bounds::lease_within_ms(remaining_ms));
        let state = self.servers.get(server)?;
        // Polls that a silent server never answers must not extend its lease.
        let is_silent = now_ms >= state.last_contact_ms + CONTACT_TIMEOUT_MS;
        if lease_ms == 0 || !state.claimed || is_silent {
            return None;
        }
        let lease_end_ms = state.clock_at(now_ms) + lease_ms;
        Some((
            OfIncarnation::new(state.incarnation(), lease_end_ms),
            Bounds::lease_upper_bound_ms(lease_ms),
        ))
    }

    /// Records that a lease was granted.
    pub fn record_lease(&mut self, server: ServerKey, lease_upper_bound_ms: u64, now_ms: u64) {
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        state.lease_end_ms = state.lease_end_ms.max(now_ms + lease_upper_bound_ms);
    }
}
