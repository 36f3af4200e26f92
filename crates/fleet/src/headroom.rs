//! How much more filling work a server bears beside its short and serving tasks.
//!
//! Two limits hold: processors must not be used up, since tails then grow without bound; and each serving task must stay
//! under its target with what the filling images take from it, see [`crate::pressure`].

use smol_str::SmolStr;

use crate::shard::{ServerKey, Shard, TaskRef};

/// Share of the processors up to which a server is filled: tails grow above nine tenths.
const CPU_LIMIT_FRACTION: f64 = 0.98;

/// Share of its target up to which the tail of a serving task is planned.
const TAIL_TARGET_FRACTION: f64 = 0.8;

/// Growth of the own load of a serving task that is allowed for, as a busy share: loads swing by half within some ten
/// seconds, and a report is a second old when the next one arrives.
const LOAD_GROWTH_MARGIN: f64 = 0.02;

/// Limit on the busy share of an image whose tails are unknown, as for a target of four times the lowest tail.
const UNKNOWN_IMAGE_UTILIZATION_MAX: f64 = 0.7;

/// Busy share by one filling task below which it is not held responsible for a tail.
const SIGNIFICANT_UTILIZATION: f64 = 0.03;

/// Least spare share that is counted, so that divisions stay finite.
const HEADROOM_MIN: f64 = 0.001;

/// What a server bears in addition.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    /// Processor room in cores.
    pub cores: f64,
    /// Busy share that is left to the tightest serving task of each image, sorted by image.
    pub spare_utilization: Vec<(SmolStr, f64)>,
}

impl Headroom {
    fn tighten(&mut self, image: &str, spare: f64) {
        match self
            .spare_utilization
            .binary_search_by(|(known, _)| known.as_str().cmp(image))
        {
            Ok(at) => self.spare_utilization[at].1 = self.spare_utilization[at].1.min(spare),
            Err(at) => self.spare_utilization.insert(at, (image.into(), spare)),
        }
    }
}

/// A serving task on a server, and what it bears.
pub(crate) struct ServiceTask {
    pub image: SmolStr,
    /// Busy share that its target allows and its own load leaves.
    pub spare_utilization: f64,
    /// Processor use by its own load, in cores.
    pub cores: f64,
}

/// A share of what the reports tell, in tenths of the server.
pub(crate) fn tenths(cores: f64, capacity_millis: u32) -> f64 {
    cores * 10_000.0 / f64::from(capacity_millis.max(1))
}

/// A figure without its fraction; below zero counts as zero.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates at the bounds of the type"
)]
#[must_use]
pub fn floor_u32(figure: f64) -> u32 {
    figure as u32
}

/// Whether a filling task that takes `share` of a serving task is held responsible for its tail.
pub(crate) fn is_significant(utilization: f64) -> bool {
    utilization >= SIGNIFICANT_UTILIZATION
}

impl Shard {
    /// Serving tasks of a server. What they bear allows for the growth of their loads until the next report.
    pub(crate) fn services_on(&self, server: ServerKey) -> Vec<ServiceTask> {
        let mut services = Vec::new();
        for &(at, number) in &self.servers[server].runs {
            let spec = self.step_spec(at);
            if spec.tail_target_ms == 0 {
                continue;
            }
            let task = self.task(at);
            let Some(position) = task.position(server, number) else {
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
            services.push(ServiceTask {
                image: SmolStr::new(&spec.image),
                spare_utilization: utilization_limit - own_utilization - LOAD_GROWTH_MARGIN,
                cores: own_utilization * f64::from(spec.cpu_millis) / 1_000.0,
            });
        }
        services
    }

    /// Processor room for filling tasks in cores, beside short tasks and the loads of serving ones.
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

    /// Works out again what a server bears beside the tasks it has, at the shares at which these work.
    pub(crate) fn update_headroom(&mut self, server: ServerKey) {
        let services = self.services_on(server);
        let mut headroom = Headroom {
            cores: self.best_effort_cores(server, &services),
            spare_utilization: Vec::new(),
        };
        let state = &self.servers[server];
        let mut uses: Vec<(&str, f64)> = Vec::new();
        for &(at, number) in &state.runs {
            let spec = self.step_spec(at);
            if !spec.best_effort {
                continue;
            }
            let task = self.task(at);
            let Some(position) = task.position(server, number) else {
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
            headroom.tighten(&task.image, task.spare_utilization - taken);
        }
        self.servers[server].headroom = headroom;
    }

    /// Need of a filling task against what a server has left of its scarcest resource: up to 1 if it can work at full
    /// speed there.
    pub(crate) fn demand_ratio(&self, at: TaskRef, server: ServerKey) -> f64 {
        let spec = self.step_spec(at);
        let state = &self.servers[server];
        let cores = f64::from(spec.cpu_millis) / 1_000.0;
        let mut max_ratio = cores / state.headroom.cores.max(HEADROOM_MIN);
        let tenths = tenths(cores, state.entry.cpu_millis);
        for (image, spare) in &state.headroom.spare_utilization {
            let taken = self.interference.conservative_weight(image, &spec.image) * tenths;
            if is_significant(taken) {
                max_ratio = max_ratio.max(taken / spare.max(HEADROOM_MIN));
            }
        }
        max_ratio
    }

    /// Whether a server has room for another filling task at full speed.
    pub(crate) fn has_headroom(&self, at: TaskRef, server: ServerKey) -> bool {
        self.demand_ratio(at, server) <= 1.0
    }

    /// Share in percent at which a filling task can work on a server.
    pub(crate) fn sustainable_rate_percent(&self, at: TaskRef, server: ServerKey) -> u32 {
        floor_u32(100.0 / self.demand_ratio(at, server).max(1.0))
    }
}
