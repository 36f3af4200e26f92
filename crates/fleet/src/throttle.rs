//! Throttling of best-effort tasks that share a server with service tasks.
//!
//! Each report has the tail latencies of the last half second, from which the load of each service task is estimated.
//! Best-effort tasks are then given rates that keep all service tasks below their targets and the CPU below saturation.
//! If a tail still stays above its target, all best-effort tasks of the server are halted within the time that the
//! service contract allows.

use smol_str::SmolStr;

use crate::action::Action;
use crate::headroom::{ServiceTask, floor_u32, is_significant, tenths};
use crate::interference::BestEffortUse;
use crate::shard::{ServerKey, Shard, TaskRef};
use crate::task::RunState;

/// Maximum increase of a rate at a time.
const RATE_RISE_PERCENT: u32 = 40;

/// Minimum interval between increases, equal to the delay of reports.
const RATE_RISE_INTERVAL_MS: u64 = 400;

/// Smallest rate change that is sent to a server, unless it ends at 0% or 100%.
const RATE_CHANGE_MIN_PERCENT: u32 = 10;

/// Minimum rate of tasks that are throttled only because CPU is short.
const CPU_LIMITED_RATE_MIN_PERCENT: u32 = 5;

/// Time above the target after which best-effort tasks are halted. The contract allows 4 s, of which the delay of the
/// first report, the wait for the next one and draining the backlog take about 3 s.
const HALT_AFTER_MS: u64 = 350;

/// Rate after the first report above the target, in percent of the rate before.
const OVER_TARGET_RATE_PERCENT: u32 = 40;

/// Tail latency, in percent of the target, from which a server is polled more often.
const NEAR_TARGET_PERCENT: u32 = 65;

/// Time for which a task stays throttled before it is moved to another server.
const MOVE_AFTER_MS: u64 = 1_500;

/// The same if placement plans for swings of load, so that other servers have room that lasts.
const MOVE_TO_LASTING_ROOM_AFTER_MS: u64 = 700;

/// Rate below which a task counts as throttled.
const THROTTLED_PERCENT: u32 = 50;

/// CPU utilization above which reports are not used to estimate interference.
const SATURATED_UTILIZATION: f64 = 0.92;

/// State of the throttle for the best-effort tasks of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    last_raise_ms: u64,
    over_target_since_ms: Option<u64>,
    throttled_since_ms: Option<u64>,
    is_near_target: bool,
}

impl Throttle {
    /// Whether a tail is near its target while best-effort tasks run, so that the next report is needed soon.
    #[must_use]
    pub fn is_near_target(&self) -> bool {
        self.is_near_target
    }
}

/// Running best-effort task.
struct BestEffortRun {
    task_ref: TaskRef,
    run_number: u32,
    image: SmolStr,
    /// Rate it was last set to.
    rate_percent: u32,
    /// CPU use as reported, in cores.
    used_cores: f64,
    /// CPU use at full speed, in cores.
    requested_cores: f64,
}

/// Run of a service task that serves requests.
struct ServiceRun {
    task_ref: TaskRef,
    run_number: u32,
    image: SmolStr,
    tail_ms: u32,
    target_ms: u32,
}

impl Shard {
    /// Updates the interference model from a server's report and sets the rates of its best-effort tasks.
    pub(crate) fn throttle_best_effort(&mut self, server: ServerKey, now_ms: u64) {
        let (service_runs, best_effort) = self.partition_runs(server);
        self.learn_interference(server, &service_runs, &best_effort);
        let is_over_target = service_runs
            .iter()
            .any(|service| service.tail_ms > service.target_ms);
        let mut throttle = self.servers[server].throttle;
        if is_over_target {
            throttle.over_target_since_ms.get_or_insert(now_ms);
        } else {
            throttle.over_target_since_ms = None;
        }
        let must_halt = throttle
            .over_target_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + HALT_AFTER_MS);
        let may_raise = now_ms >= throttle.last_raise_ms + RATE_RISE_INTERVAL_MS;
        let services = self.services_on(server);
        let mut rates = if must_halt {
            vec![0; best_effort.len()]
        } else {
            self.rates(server, &services, &best_effort)
        };
        if is_over_target {
            for (rate, run) in rates.iter_mut().zip(&best_effort) {
                *rate = (*rate).min(run.rate_percent * OVER_TARGET_RATE_PERCENT / 100);
            }
        }
        throttle.is_near_target = !best_effort.is_empty()
            && service_runs
                .iter()
                .any(|service| service.tail_ms * 100 > service.target_ms * NEAR_TARGET_PERCENT);
        let mut throttled = Vec::new();
        for (run, percent) in best_effort.iter().zip(rates) {
            let percent = if percent <= run.rate_percent {
                percent
            } else if may_raise {
                percent.min(run.rate_percent + RATE_RISE_PERCENT)
            } else {
                run.rate_percent
            };
            if percent < THROTTLED_PERCENT {
                throttled.push((run.task_ref, run.run_number));
            }
            self.set_rate(server, run, percent, now_ms);
        }
        if may_raise {
            throttle.last_raise_ms = now_ms;
        }
        if throttled.is_empty() {
            throttle.throttled_since_ms = None;
        } else {
            throttle.throttled_since_ms.get_or_insert(now_ms);
        }
        let move_after_ms = if self.policy.plans_for_load_swings {
            MOVE_TO_LASTING_ROOM_AFTER_MS
        } else {
            MOVE_AFTER_MS
        };
        let must_move = throttle
            .throttled_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + move_after_ms);
        if must_move {
            throttle.throttled_since_ms = None;
        }
        self.servers[server].throttle = throttle;
        self.update_headroom(server);
        if must_move {
            self.move_throttled(server, &throttled, now_ms);
        }
    }

    /// Updates the interference model and the own utilization of each service task.
    fn learn_interference(
        &mut self,
        server: ServerKey,
        service_runs: &[ServiceRun],
        best_effort: &[BestEffortRun],
    ) {
        let capacity_millis = self.servers[server].entry.cpu_millis;
        let mut uses: Vec<BestEffortUse> = Vec::new();
        for run in best_effort {
            let tenths = tenths(run.used_cores, capacity_millis);
            match uses.iter_mut().find(|other| other.image == run.image) {
                Some(same) => same.tenths += tenths,
                None => uses.push(BestEffortUse {
                    image: run.image.clone(),
                    tenths,
                }),
            }
        }
        let state = &self.servers[server];
        let short_millis = state
            .cpu_used_millis
            .saturating_sub(state.service_used_millis);
        let mut used_cores = f64::from(short_millis) / 1_000.0;
        used_cores += best_effort.iter().map(|run| run.used_cores).sum::<f64>();
        for service in service_runs {
            let cores = f64::from(self.step_spec(service.task_ref).cpu_millis) / 1_000.0;
            used_cores += cores * self.interference.own_utilization(&service.image);
        }
        let is_saturated =
            used_cores * 1_000.0 > f64::from(capacity_millis) * SATURATED_UTILIZATION;
        for service in service_runs {
            self.interference
                .learn(&service.image, service.tail_ms, &uses, is_saturated);
            let mean = self.interference.own_utilization(&service.image);
            let utilization = self
                .interference
                .utilization_at(&service.image, f64::from(service.tail_ms));
            let taken: f64 = uses
                .iter()
                .map(|other| self.interference.weight(&service.image, &other.image) * other.tenths)
                .sum();
            // Own load rarely drops below half its mean; a lower result means that the weights are too high.
            let own_utilization =
                utilization.map(|utilization| (utilization - taken).max(mean / 2.0));
            let found = self
                .task(service.task_ref)
                .run_position(server, service.run_number);
            if let Some(position) = found {
                self.task_mut(service.task_ref).runs[position].own_utilization = own_utilization;
            }
        }
    }

    /// Rates in percent at which the best-effort tasks of a server can run together.
    fn rates(
        &self,
        server: ServerKey,
        services: &[ServiceTask],
        best_effort: &[BestEffortRun],
    ) -> Vec<u32> {
        let capacity_millis = self.servers[server].entry.cpu_millis;
        let available_cores = self.best_effort_cores(server, services);
        let requested_cores: f64 = best_effort.iter().map(|run| run.requested_cores).sum();
        let cpu_limited_rate = (available_cores / requested_cores.max(0.1))
            .clamp(f64::from(CPU_LIMITED_RATE_MIN_PERCENT) / 100.0, 1.0);
        let mut rates: Vec<f64> = vec![cpu_limited_rate; best_effort.len()];
        for service in services {
            let mut taken: Vec<(f64, usize)> = Vec::new();
            for (index, run) in best_effort.iter().enumerate() {
                let weight = self
                    .interference
                    .conservative_weight(&service.image, &run.image);
                taken.push((weight * tenths(run.requested_cores, capacity_millis), index));
            }
            let mut excess = taken
                .iter()
                .map(|&(utilization, index)| utilization * rates[index])
                .sum::<f64>()
                - service.spare_utilization;
            // Throttling the tasks with the largest share first costs the least work.
            taken.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (utilization, index) in taken {
                if excess <= 0.0 || !is_significant(utilization) {
                    break;
                }
                let cut = (excess / utilization).min(rates[index]);
                rates[index] -= cut;
                excess -= cut * utilization;
            }
        }
        rates
            .into_iter()
            .map(|rate| floor_u32(rate * 100.0))
            .collect()
    }

    /// Splits a server's running tasks into service tasks and best-effort tasks.
    fn partition_runs(&self, server: ServerKey) -> (Vec<ServiceRun>, Vec<BestEffortRun>) {
        let mut service_runs = Vec::new();
        let mut best_effort = Vec::new();
        for &(task_ref, number) in &self.servers[server].runs {
            let spec = self.step_spec(task_ref);
            let task = self.task(task_ref);
            let Some(position) = task.run_position(server, number) else {
                continue;
            };
            let run = &task.runs[position];
            let image = SmolStr::new(&spec.image);
            if spec.best_effort && run.state == RunState::Running {
                best_effort.push(BestEffortRun {
                    task_ref,
                    run_number: number,
                    image,
                    rate_percent: run.rate_percent,
                    used_cores: f64::from(run.tail_ms_or_cpu_millis) / 1_000.0,
                    requested_cores: f64::from(spec.cpu_millis) / 1_000.0,
                });
            } else if spec.tail_target_ms > 0 && run.progress_percent >= 100 {
                service_runs.push(ServiceRun {
                    task_ref,
                    run_number: number,
                    image,
                    tail_ms: run.tail_ms_or_cpu_millis,
                    target_ms: spec.tail_target_ms,
                });
            }
        }
        (service_runs, best_effort)
    }

    fn set_rate(
        &mut self,
        server: ServerKey,
        best_effort_run: &BestEffortRun,
        percent: u32,
        now_ms: u64,
    ) {
        let is_extreme = percent == 0 || percent == 100;
        let change = percent.abs_diff(best_effort_run.rate_percent);
        if change == 0 || (change < RATE_CHANGE_MIN_PERCENT && !is_extreme) {
            return;
        }
        let Some(position) = self
            .task(best_effort_run.task_ref)
            .run_position(server, best_effort_run.run_number)
        else {
            return;
        };
        let run = &mut self.task_mut(best_effort_run.task_ref).runs[position];
        run.rate_percent = percent;
        run.progressed_ms = now_ms;
        let task = self.task_id(best_effort_run.task_ref);
        self.actions.push(Action::SetRate {
            server,
            task,
            run: best_effort_run.run_number,
            percent,
        });
    }

    /// Stops throttled tasks that fit on another server. Tasks without checkpoints start over, which still finishes
    /// sooner than waiting at a low rate.
    fn move_throttled(&mut self, server: ServerKey, throttled: &[(TaskRef, u32)], now_ms: u64) {
        for &(task_ref, run) in throttled {
            let is_half_done = self.progress_percent(task_ref, server, run) > 50;
            let loses_much = is_half_done && !self.step_spec(task_ref).checkpointable;
            if loses_much || !self.has_server_with_headroom(task_ref, server, now_ms) {
                continue;
            }
            self.log_decision(
                "task_moved",
                Some(task_ref),
                Some(server),
                [("run", u64::from(run))],
            );
            self.stop_run(task_ref, server, run, now_ms);
        }
    }

    fn progress_percent(&self, task_ref: TaskRef, server: ServerKey, run: u32) -> u32 {
        let task = self.task(task_ref);
        task.run_position(server, run)
            .map_or(0, |position| task.runs[position].progress_percent)
    }

    fn has_server_with_headroom(&self, task_ref: TaskRef, current: ServerKey, now_ms: u64) -> bool {
        let mut others = self.servers.keys().filter(|&key| key != current);
        others
            .any(|key| self.fits(task_ref, key, now_ms) && self.has_headroom(task_ref, key, now_ms))
    }

    /// Whether a service task on the server exceeds its latency target.
    pub(crate) fn is_over_target(&self, server: ServerKey) -> bool {
        self.servers[server].throttle.over_target_since_ms.is_some()
    }

    #[must_use]
    pub fn interference(&self) -> &crate::interference::InterferenceModel {
        &self.interference
    }

    /// Merges interference estimates learned by another owner.
    pub fn merge_interference(&mut self, estimates: &[crate::interference::InterferenceEstimate]) {
        self.interference.merge(estimates);
    }
}
