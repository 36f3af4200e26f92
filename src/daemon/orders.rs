//! Carries out what a shard decides: orders to servers, and looks at them.

use std::rc::Rc;
use std::time::Duration;

use primrosestack_fleet::claim;
use primrosestack_fleet::prelude::*;
use primrosestack_platform::servers::{Look, LookReply, Target};

use crate::daemon::clock::{now_ms, unix_ms};
use crate::daemon::owner::OwnedShard;
use crate::logs::Line;

/// Wait of one look at a server with tasks, in milliseconds: tails and progress are half a second old anyway.
const LOOK_MS: u64 = 900;

/// Wait of one look at a server whose serving tasks are near their targets, in milliseconds: tails cover half a second.
const TENSE_LOOK_MS: u64 = 400;

/// Wait of one look at a server without tasks, in milliseconds; it must answer within the time after which it counts as
/// silent.
const IDLE_LOOK_MS: u64 = 1_300;

/// Pause after a look without an answer, in milliseconds.
const SILENT_MS: u64 = 250;

/// Least time between looks at a server whose ends cannot be recorded yet, in milliseconds.
const UNRECORDED_LOOK_MS: u64 = 250;

impl OwnedShard {
    /// Plans, and carries out what was decided.
    pub fn pump(self: &Rc<Self>) {
        let actions = {
            let mut shard = self.shard.borrow_mut();
            let now = now_ms();
            if now >= self.planned_ms.get() + shard.plan_interval_min_ms() {
                self.planned_ms.set(now);
                shard.plan(self.authority_end_ms(), unix_ms(), now);
            }
            shard.take_actions()
        };
        for action in actions {
            self.act(action);
        }
        self.records_due.notify_one();
    }

    pub(super) fn act(self: &Rc<Self>, action: Action) {
        let owned = Rc::clone(self);
        match action {
            Action::Start { server, request } => {
                let Some(target) = self.target(server) else {
                    return;
                };
                tokio::task::spawn_local(async move {
                    let reply = owned.node.servers.start(&target, &request).await;
                    owned
                        .shard
                        .borrow_mut()
                        .start_replied(server, &request, reply, now_ms());
                    owned.pump();
                });
            }
            Action::Stop { server, task, run } => {
                let Some(target) = self.target(server) else {
                    return;
                };
                tokio::task::spawn_local(async move {
                    if owned.node.servers.stop(&target, task, run).await {
                        owned
                            .shard
                            .borrow_mut()
                            .stop_replied(server, task, run, now_ms());
                    }
                });
            }
            Action::SetRate {
                server,
                task,
                run,
                percent,
            } => {
                let Some(target) = self.target(server) else {
                    return;
                };
                tokio::task::spawn_local(async move {
                    let done = owned.node.servers.pace(&target, task, run, percent).await;
                    Line::info("task_paced")
                        .with("task", task)
                        .with("run", run)
                        .with("server", &target.name)
                        .with("percent", percent)
                        .with("confirmed", done)
                        .write();
                });
            }
            Action::Advise { task, servers } => {
                tokio::task::spawn_local(async move {
                    let address = owned.node.settings.advisor_address.clone();
                    let Some((good, valid_ms)) =
                        owned.node.servers.advise(&address, task, &servers).await
                    else {
                        Line::info("advice_missing")
                            .with("task", task)
                            .with("servers", servers.len())
                            .write();
                        return;
                    };
                    owned
                        .shard
                        .borrow_mut()
                        .accept_advice(task, good, valid_ms, now_ms());
                    owned.pump();
                });
            }
            Action::Log(decision) => {
                self.node.metrics.record_decision(decision.event);
                let waited = decision.inputs.iter().find(|(key, _)| *key == "waited_ms");
                if let Some((_, waited_ms)) = waited.filter(|_| decision.event == "task_start") {
                    let waited_ms = u32::try_from(*waited_ms).unwrap_or(u32::MAX);
                    self.node.metrics.record_start_wait(f64::from(waited_ms));
                }
                let mut line = Line::info(decision.event).with("shard", &self.failure_domain);
                if let Some(task) = decision.task {
                    line = line.with("task", task);
                }
                if let Some(server) = decision.server {
                    line = line.with("server", server);
                }
                for (key, value) in decision.inputs {
                    line = line.with(key, value);
                }
                line.write();
            }
        }
    }

    pub(super) fn target(&self, server: ServerKey) -> Option<Target> {
        if self.closed.get() {
            return None;
        }
        let shard = self.shard.borrow();
        let entry = &shard.server(server)?.entry;
        Some(Target {
            address: entry.address.clone(),
            name: entry.name.clone(),
            era: self.title.era,
        })
    }

    /// Spawns the looks at servers that have none.
    pub(super) fn spawn_looks(self: &Rc<Self>) {
        let keys = self.shard.borrow().server_keys();
        for key in keys {
            if self.looks.borrow().contains(&key) {
                continue;
            }
            self.looks.borrow_mut().push(key);
            tokio::task::spawn_local(Rc::clone(self).look_at(key));
        }
    }

    pub(super) async fn look_at(self: Rc<Self>, server: ServerKey) {
        while !self.closed.get() {
            let now = now_ms();
            let Some(target) = self.target(server) else {
                break;
            };
            let (look, longest_ms) = self.terms(server, now);
            if let Some(longest_ms) = longest_ms {
                self.shard
                    .borrow_mut()
                    .record_lease(server, longest_ms, now);
            }
            let reply = self.node.servers.look(&target, look, now).await;
            if self.closed.get() {
                break;
            }
            match reply {
                LookReply::Report(report) => {
                    self.shard
                        .borrow_mut()
                        .apply_report(server, &report, now_ms());
                    self.pump();
                    self.wait_for_records(server).await;
                    let gap_ms = self.look_gap_ms();
                    let passed_ms = now_ms().saturating_sub(now);
                    if passed_ms < gap_ms {
                        tokio::time::sleep(Duration::from_millis(gap_ms - passed_ms)).await;
                    }
                }
                LookReply::Silent => tokio::time::sleep(Duration::from_millis(SILENT_MS)).await,
                LookReply::Fenced => {
                    self.check_era().await;
                    tokio::time::sleep(Duration::from_millis(SILENT_MS)).await;
                }
                LookReply::OtherServer => {
                    self.shard.borrow_mut().server_replaced(server, now_ms());
                    self.pump();
                    tokio::time::sleep(Duration::from_millis(SILENT_MS)).await;
                }
            }
        }
        self.looks.borrow_mut().retain(|&key| key != server);
    }

    /// Least time between looks at one server, in milliseconds.
    fn look_gap_ms(&self) -> u64 {
        let servers = self.looks.borrow().len();
        claim::poll_interval_min_ms(servers, self.node.settings.cpu_millis)
    }

    pub(super) fn terms(&self, server: ServerKey, now: u64) -> (Look, Option<u64>) {
        let shard = self.shard.borrow();
        let lease = shard.lease(server, self.authority_end_ms(), now);
        let state = shard.server(server);
        let wait_ms = match state {
            Some(state) if state.claimed && state.runs.is_empty() => IDLE_LOOK_MS,
            Some(state) if state.claimed && state.throttle.is_near_target() => TENSE_LOOK_MS,
            Some(state) if state.claimed => LOOK_MS,
            _ => 0,
        };
        let acknowledged = state.map_or(0, |state| state.acknowledged_end);
        (
            Look {
                acknowledged,
                lease_end_ms: lease.map(|(end, _)| end),
                wait_ms,
            },
            lease.map(|(_, longest)| longest),
        )
    }

    /// A look returns at once while ends are unacknowledged, so the next one waits until these are recorded.
    pub(super) async fn wait_for_records(&self, server: ServerKey) {
        let is_open = || {
            let shard = self.shard.borrow();
            shard
                .server(server)
                .is_some_and(|state| state.acknowledged_end < state.last_seen_end)
        };
        if !is_open() {
            return;
        }
        let wait = async {
            while is_open() && !self.closed.get() {
                self.recorded.notified().await;
            }
        };
        let _slow = tokio::time::timeout(Duration::from_millis(UNRECORDED_LOOK_MS), wait).await;
    }
}
