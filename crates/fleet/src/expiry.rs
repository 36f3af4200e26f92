//! Timer-driven work: lease expiry, stop retries and stall detection.

use crate::bounds::Bounds;
use crate::runs::{AbandonReason, STOP_RETRY_MS};
use crate::server::CONTACT_TIMEOUT_MS;
use crate::shard::{ServerKey, Shard};
use crate::task::RunState;

/// Time without progress after which a run is moved to another server; several poll intervals.
const STALL_TIMEOUT_MS: u64 = 2_600;

impl Shard {
    /// Expires leases, retries stops and stops stalled runs.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        for server in self.server_keys() {
            let state = &self.servers[server];
            let is_silent = now_ms >= state.last_contact_ms + CONTACT_TIMEOUT_MS;
            if is_silent && now_ms >= state.lease_end_ms {
                let runs = state.runs.clone();
                if !runs.is_empty() {
                    let silent_ms = now_ms - state.last_contact_ms;
                    self.log_decision(
                        "server_lapsed",
                        None,
                        Some(server),
                        [("silent_ms", silent_ms)],
                    );
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
            match run.state {
                RunState::Stopping { sent_ms } if now_ms >= sent_ms + STOP_RETRY_MS => {
                    stop_retries.push((task_ref, number));
                }
                RunState::Running
                    if run.progress_percent < 100
                        && run.rate_percent >= 50
                        && now_ms >= run.progressed_ms + STALL_TIMEOUT_MS =>
                {
                    stalled.push((task_ref, number));
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
        for (task_ref, number) in stalled {
            self.log_decision(
                "run_stalled",
                Some(task_ref),
                Some(server),
                [("run", u64::from(number)), ("still_ms", STALL_TIMEOUT_MS)],
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
        let name = state.entry.name;
        if let Ok(index) = self
            .server_index
            .binary_search_by(|(server_name, _)| server_name.cmp(&name))
        {
            self.server_index.remove(index);
        }
        self.servers_changed = true;
    }

    /// Lease to grant to a server: its end on the server's clock, and the longest time that it can last on the
    /// local clock, in milliseconds. No lease outlasts the time for which this owner may act.
    #[must_use]
    pub fn lease(
        &self,
        server: ServerKey,
        authority_end_ms: u64,
        now_ms: u64,
    ) -> Option<(u64, u64)> {
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
        Some((
            state.clock_at(now_ms) + lease_ms,
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
