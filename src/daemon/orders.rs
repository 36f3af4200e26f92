//! Executes the decisions of a shard on its servers, and polls the servers.

use std::rc::Rc;
use std::time::Duration;

use primrosestack_fleet::action::Decision;
use primrosestack_fleet::claim;
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::server::Server;
use primrosestack_platform::servers::{Poll, PollReply, Target};
use smol_str::SmolStr;

use crate::daemon::clock::{now_ms, unix_ms};
use crate::daemon::owner::OwnedShard;
use crate::daemon::services::spawn_for_shard;
use crate::logs::Line;

const POLL_RETRY_DELAY_MS: u64 = 250;

/// Longest wait for records before a server with unrecorded task ends is polled again.
const RECORDS_WAIT_MAX_MS: u64 = 250;

impl OwnedShard {
    /// Plans if planning is due, and executes the pending actions.
    pub fn plan_and_execute(self: &Rc<Self>) {
        let actions = {
            let mut shard = self.shard.borrow_mut();
            let now = now_ms();
            if now >= self.last_plan_ms.get() + shard.plan_interval_min_ms() {
                self.last_plan_ms.set(now);
                shard.plan(self.authority_end_ms(), unix_ms(), now);
            }
            shard.take_actions()
        };
        for action in actions {
            self.execute(action);
        }
        self.records_due.notify_one();
    }

    pub(super) fn execute(self: &Rc<Self>, action: Action) {
        let owned = Rc::clone(self);
        match action {
            Action::Start { server, request } => {
                let Some(target) = self.target(server) else {
                    return;
                };
                spawn_for_shard(self, "start", async move {
                    // The shard may have been given up or evacuated, or the process paused, since the decision.
                    let may_send =
                        || !owned.closed.get() && owned.shard.borrow().may_send(&request, now_ms());
                    let reply = if may_send() {
                        let servers = &owned.node.servers;
                        servers.start(&target, &request, may_send).await
                    } else {
                        StartReply::Late
                    };
                    if reply == StartReply::Fenced {
                        owned.verify_term().await;
                    }
                    owned
                        .shard
                        .borrow_mut()
                        .start_replied(server, &request, reply, now_ms());
                    owned.plan_and_execute();
                });
            }
            Action::Stop { server, task, run } => {
                let Some(target) = self.target(server) else {
                    return;
                };
                spawn_for_shard(self, "stop", async move {
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
                    let confirmed = owned
                        .node
                        .servers
                        .set_rate(&target, task, run, percent)
                        .await;
                    Line::info("task_paced")
                        .with("task", task)
                        .with("run", run)
                        .with("server", &target.name)
                        .with("percent", percent)
                        .with("confirmed", confirmed)
                        .write();
                });
            }
            Action::Advise {
                task,
                servers,
                timeout_ms,
            } => {
                spawn_for_shard(self, "advice", async move {
                    owned.ask_advisor(task, &servers, timeout_ms).await;
                });
            }
            Action::Log(decision) => self.log_decision(decision),
        }
    }

    /// Asks the advisor which servers may run the step of a task.
    async fn ask_advisor(self: &Rc<Self>, task: TaskId, servers: &[SmolStr], timeout_ms: u64) {
        let address = &self.node.settings.advisor_address;
        let call = self.node.servers.advise(address, task, servers, timeout_ms);
        if let Some((permitted, valid_ms)) = call.await {
            self.shard
                .borrow_mut()
                .set_tickets(task, &permitted, valid_ms, now_ms());
        } else {
            Line::info("advice_missing")
                .with("task", task)
                .with("servers", servers.len())
                .write();
            self.shard.borrow_mut().advice_failed(task, now_ms());
        }
        self.plan_and_execute();
    }

    /// Counts and logs a decision of the shard.
    fn log_decision(&self, decision: Decision) {
        let metrics = &self.node.metrics;
        metrics.record_decision(decision.event);
        if decision.event == "task_handed_over" && self.is_evacuated() {
            metrics.record_evacuated_work("task");
        }
        let mut line = Line::info(decision.event).with("shard", &self.failure_domain);
        if let Some(task) = decision.task {
            line = line.with("task", task);
        }
        if let Some(server) = decision.server {
            line = line.with("server", server);
        }
        for (key, value) in decision.inputs {
            match key {
                "waited_ms" if decision.event == "task_start" => {
                    let waited_ms = u32::try_from(value).unwrap_or(u32::MAX);
                    metrics.record_start_wait(f64::from(waited_ms));
                }
                "urgency" => metrics.record_start_urgency(value),
                _ => {}
            }
            line = line.with(key, value);
        }
        line.write();
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
            term: self.leadership.term,
        })
    }

    /// Spawns a polling task for each server without one.
    pub(super) fn spawn_polls(self: &Rc<Self>) {
        let keys = self.shard.borrow().server_keys();
        for key in keys {
            if self.polled_servers.borrow().contains(&key) {
                continue;
            }
            self.polled_servers.borrow_mut().push(key);
            spawn_for_shard(self, "poll", Rc::clone(self).poll_server(key));
        }
    }

    pub(super) async fn poll_server(self: Rc<Self>, server: ServerKey) {
        while !self.closed.get() {
            let now = now_ms();
            let Some(target) = self.target(server) else {
                break;
            };
            let (poll, lease_upper_bound_ms) = self.next_poll(server, now);
            if let Some(lease_upper_bound_ms) = lease_upper_bound_ms {
                self.shard
                    .borrow_mut()
                    .record_lease(server, lease_upper_bound_ms, now);
            }
            let reply = self.node.servers.poll(&target, poll, now).await;
            if self.closed.get() {
                break;
            }
            match reply {
                PollReply::Report(report) => {
                    self.shard
                        .borrow_mut()
                        .apply_report(server, &report, now_ms());
                    self.plan_and_execute();
                    self.wait_for_records(server).await;
                    let interval_min_ms = self.poll_interval_min_ms();
                    let elapsed_ms = now_ms().saturating_sub(now);
                    if elapsed_ms < interval_min_ms {
                        tokio::time::sleep(Duration::from_millis(interval_min_ms - elapsed_ms))
                            .await;
                    }
                }
                PollReply::NoAnswer => {
                    tokio::time::sleep(Duration::from_millis(POLL_RETRY_DELAY_MS)).await;
                }
                PollReply::Fenced => {
                    self.verify_term().await;
                    tokio::time::sleep(Duration::from_millis(POLL_RETRY_DELAY_MS)).await;
                }
                PollReply::WrongInstance => {
                    self.shard.borrow_mut().server_replaced(server, now_ms());
                    self.plan_and_execute();
                    tokio::time::sleep(Duration::from_millis(POLL_RETRY_DELAY_MS)).await;
                }
            }
        }
        self.polled_servers
            .borrow_mut()
            .retain(|&key| key != server);
    }

    /// Minimum interval between polls of a server.
    fn poll_interval_min_ms(&self) -> u64 {
        let servers = self.polled_servers.borrow().len();
        claim::poll_interval_min_ms(servers, self.node.settings.cpu_millis)
    }

    pub(super) fn next_poll(&self, server: ServerKey, now: u64) -> (Poll, Option<u64>) {
        let shard = self.shard.borrow();
        let lease = shard.lease(server, self.authority_end_ms(), now);
        let timing = shard.poll_timing(server, now);
        let acknowledged_end = shard.server(server).and_then(Server::acknowledgement);
        (
            Poll {
                acknowledged_end,
                lease_end_ms: lease.map(|(end, _)| end),
                wait_ms: timing.wait_ms,
                grace_ms: timing.grace_ms,
            },
            lease.map(|(_, upper_bound)| upper_bound),
        )
    }

    /// Waits until the task ends of a server are recorded. A poll returns at once while ends are unacknowledged, so
    /// polling earlier would be a busy loop.
    pub(super) async fn wait_for_records(&self, server: ServerKey) {
        let has_unrecorded_ends = || {
            let shard = self.shard.borrow();
            shard
                .server(server)
                .is_some_and(|state| state.acknowledged_end < state.last_seen_end)
        };
        if !has_unrecorded_ends() {
            return;
        }
        let wait = async {
            while has_unrecorded_ends() && !self.closed.get() {
                self.recorded.notified().await;
            }
        };
        let _timed_out =
            tokio::time::timeout(Duration::from_millis(RECORDS_WAIT_MAX_MS), wait).await;
    }
}
