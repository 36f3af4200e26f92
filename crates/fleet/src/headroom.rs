//! Headroom of a server for best-effort tasks beside its short and service tasks.
//!
//! Two limits apply: total CPU use stays below saturation, since tail latencies then grow without bound, and each
//! service task stays below its latency target despite best-effort images, see [`crate::interference`].

use smol_str::SmolStr;

use crate::shard::{ServerKey, Shard, TaskRef};

/// Fraction of a server's CPU that may be allocated; tail latencies grow above 90% utilization.
const CPU_LIMIT_FRACTION: f64 = 0.98;

/// Fraction of the latency target that placement plans for.
const TAIL_TARGET_FRACTION: f64 = 0.8;

/// Allowance for growth of a service task's own load, as utilization: load varies by half within about 10 s, and a
/// report is one second old when the next one arrives.
const LOAD_GROWTH_MARGIN: f64 = 0.02;

/// Load that a service task is expected to reach while a best-effort task runs beside it, relative to the mean of its
/// image. Load varies by half around its mean within about 10 s; over the upper half of such a swing it is 1.3 times the
/// mean, and a best-effort task runs for several seconds.
const EXPECTED_LOAD_FACTOR: f64 = 1.3;

/// Wait after which a best-effort task takes room that may not last: on a fleet that is not full, waiting longer than that
/// costs its job more than a move.
const WAIT_FOR_LASTING_ROOM_MS: u64 = 2_000;

/// Utilization limit of an image without latency reports, equivalent to a target of four times its lowest tail.
const UNKNOWN_IMAGE_UTILIZATION_MAX: f64 = 0.7;

/// Utilization caused by one best-effort task below which it is not held responsible for a tail.
const SIGNIFICANT_UTILIZATION: f64 = 0.03;

/// Lower bound of headroom in divisions, which keeps ratios finite.
const HEADROOM_MIN: f64 = 0.001;

/// Resources left on a server for further best-effort tasks.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    /// CPU cores.
    pub cores: f64,
    /// Smallest spare utilization among the service tasks of each image by the last report, sorted by image.
    pub spare_now: Vec<(SmolStr, f64)>,
    /// The same beyond the load that is expected while another task runs.
    pub spare_expected: Vec<(SmolStr, f64)>,
}

/// Lowers the spare utilization of an image in a sorted list.
fn lower_spare(list: &mut Vec<(SmolStr, f64)>, image: &str, spare: f64) {
    match list.binary_search_by(|(service_image, _)| service_image.as_str().cmp(image)) {
        Ok(index) => list[index].1 = list[index].1.min(spare),
        Err(index) => list.insert(index, (image.into(), spare)),
    }
}

/// Service task on a server, with its remaining tolerance for interference.
pub(crate) struct ServiceTask {
    pub image: SmolStr,
    /// Utilization that the latency target allows beyond the task's own load.
    pub spare_utilization: f64,
    /// The same beyond the load that is expected while another task runs.
    pub expected_spare: f64,
    /// CPU used by the task's own load.
    pub cores: f64,
}

/// Converts CPU use to tenths of a server's capacity, the unit of interference weights.
pub(crate) fn tenths(cores: f64, capacity_millis: u32) -> f64 {
    cores * 10_000.0 / f64::from(capacity_millis.max(1))
}

/// Rounds down and saturates at the bounds of `u32`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates at the bounds of the type"
)]
#[must_use]
pub fn floor_u32(value: f64) -> u32 {
    value as u32
}

/// Whether a best-effort task that takes `utilization` of a service task is held responsible for its tail.
pub(crate) fn is_significant(utilization: f64) -> bool {
    utilization >= SIGNIFICANT_UTILIZATION
}

impl Shard {
    /// Service tasks of a server. Their spare utilization allows for load growth until the next report.
    pub(crate) fn services_on(&self, server: ServerKey) -> Vec<ServiceTask> {
        let mut services = Vec::new();
        for &(task_ref, number) in &self.servers[server].runs {
            let spec = self.step_spec(task_ref);
            if spec.tail_target_ms == 0 {
                continue;
            }
            let task = self.task(task_ref);
            let Some(position) = task.run_position(server, number) else {
                continue;
            };
            let own_utilization = task.runs[position]
                .own_utilization
                .unwrap_or_else(|| self.interference.own_utilization(&spec.image));
            let target_ms = f64::from(spec.tail_target_ms) * TAIL_TARGET_FRACTION;
            let utilization_limit = self
                .interference
                .utilization_at(&spec.image, target_ms)
                .unwrap_or(UNKNOWN_IMAGE_UTILIZATION_MAX);
            let expected_utilization = if self.policy.plans_for_load_swings {
                let mean = self.interference.own_utilization(&spec.image);
                own_utilization.max(mean * EXPECTED_LOAD_FACTOR)
            } else {
                own_utilization
            };
            services.push(ServiceTask {
                image: SmolStr::new(&spec.image),
                spare_utilization: utilization_limit - own_utilization - LOAD_GROWTH_MARGIN,
                expected_spare: utilization_limit - expected_utilization - LOAD_GROWTH_MARGIN,
                cores: own_utilization * f64::from(spec.cpu_millis) / 1_000.0,
            });
        }
        services
    }

    /// CPU cores left for best-effort tasks beside short tasks and the load of service tasks.
    pub(crate) fn best_effort_cores(&self, server: ServerKey, services: &[ServiceTask]) -> f64 {
        let state = &self.servers[server];
        let short_millis = state
            .cpu_used_millis
            .saturating_sub(state.service_used_millis);
        let used = services.iter().map(|task| task.cores).sum::<f64>();
        f64::from(state.entry.cpu_millis) * CPU_LIMIT_FRACTION / 1_000.0
            - f64::from(short_millis) / 1_000.0
            - used
    }

    /// Recomputes a server's headroom from the rates at which its tasks run.
    pub(crate) fn update_headroom(&mut self, server: ServerKey) {
        let services = self.services_on(server);
        let mut headroom = Headroom {
            cores: self.best_effort_cores(server, &services),
            ..Headroom::default()
        };
        let state = &self.servers[server];
        let mut uses: Vec<(&str, f64)> = Vec::new();
        for &(task_ref, number) in &state.runs {
            let spec = self.step_spec(task_ref);
            if !spec.best_effort {
                continue;
            }
            let task = self.task(task_ref);
            let Some(position) = task.run_position(server, number) else {
                continue;
            };
            let rate = f64::from(task.runs[position].rate_percent) / 100.0;
            let cores = f64::from(spec.cpu_millis) / 1_000.0 * rate;
            headroom.cores -= cores;
            uses.push((&spec.image, tenths(cores, state.entry.cpu_millis)));
        }
        for task in &services {
            let taken: f64 = uses
                .iter()
                .map(|(image, tenths)| {
                    self.interference.conservative_weight(&task.image, image) * tenths
                })
                .sum();
            let Headroom {
                spare_now,
                spare_expected,
                ..
            } = &mut headroom;
            lower_spare(spare_now, &task.image, task.spare_utilization - taken);
            lower_spare(spare_expected, &task.image, task.expected_spare - taken);
        }
        self.servers[server].headroom = headroom;
    }

    /// Demand of a best-effort task relative to the scarcest resource left on a server. Up to 1, the task can run at
    /// full speed.
    pub(crate) fn demand_ratio(&self, task_ref: TaskRef, server: ServerKey, now_ms: u64) -> f64 {
        let spec = self.step_spec(task_ref);
        let state = &self.servers[server];
        let cores = f64::from(spec.cpu_millis) / 1_000.0;
        let mut max_ratio = cores / state.headroom.cores.max(HEADROOM_MIN);
        let tenths = tenths(cores, state.entry.cpu_millis);
        let task = self.task(task_ref);
        let waited_ms = now_ms.saturating_sub(task.ready_since_ms);
        let has_waited = task.runs.is_empty() && waited_ms >= WAIT_FOR_LASTING_ROOM_MS;
        let spares = if has_waited {
            &state.headroom.spare_now
        } else {
            &state.headroom.spare_expected
        };
        for (image, spare) in spares {
            let taken = self.interference.conservative_weight(image, &spec.image) * tenths;
            if is_significant(taken) {
                max_ratio = max_ratio.max(taken / spare.max(HEADROOM_MIN));
            }
        }
        max_ratio
    }

    /// Whether a server has headroom for another best-effort task at full speed.
    pub(crate) fn has_headroom(&self, task_ref: TaskRef, server: ServerKey, now_ms: u64) -> bool {
        self.demand_ratio(task_ref, server, now_ms) <= 1.0
    }

    /// Rate in percent at which a best-effort task can run on a server.
    pub(crate) fn sustainable_rate_percent(
        &self,
        task_ref: TaskRef,
        server: ServerKey,
        now_ms: u64,
    ) -> u32 {
        floor_u32(100.0 / self.demand_ratio(task_ref, server, now_ms).max(1.0))
    }
}
