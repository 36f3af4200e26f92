//! How much tasks that fill may work beside tasks that serve.
//!
//! Each report gives the tails of the last half second, from which the loads of the serving tasks are found. The filling
//! tasks are then given shares that keep all of them under their targets and the processors from being used up. Where a
//! tail stays too high all the same, all filling tasks of the server are halted before the contract's limit.

use smol_str::SmolStr;

use crate::action::Action;
use crate::headroom::{Serving, is_felt, tenths, whole};
use crate::pressure::Use;
use crate::shard::{ServerKey, Shard, TaskRef};
use crate::task::Stage;

/// Step by which the share of a slowed task rises with a report, in percent.
const RISE_PERCENT: u32 = 40;

/// Time between rises in milliseconds: the lag of the reports.
const RISE_MS: u64 = 400;

/// Change of a share that is worth an order, in percent, unless it ends at a limit.
const CHANGE_PERCENT: u32 = 10;

/// Least share of tasks that are slowed for want of processors alone, in percent.
const CROWDED_MIN_PERCENT: u32 = 5;

/// Time above the target after which filling tasks stand still, in milliseconds. The contract allows 4 s, of which the
/// lag of the first report, the wait for the next one and the end of the backlog take about 3.
const HALT_AFTER_MS: u64 = 350;

/// Share to which all filling tasks are cut by the first report above the target, in percent of what they had.
const OVER_PERCENT: u32 = 40;

/// Share of the target from which a server is looked at more often, in percent.
const TENSE_PERCENT: u32 = 65;

/// Time for which a task stays slowed before it is moved, in milliseconds.
const MOVE_AFTER_MS: u64 = 1_500;

/// Share below which a task counts as slowed, in percent.
const SLOWED_PERCENT: u32 = 50;

/// Share of the room above which a report teaches nothing about pairs of images.
const SATURATED_SHARE: f64 = 0.92;

/// Control of the filling tasks of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    raised_ms: u64,
    over_since_ms: Option<u64>,
    slowed_since_ms: Option<u64>,
    is_tense: bool,
}

impl Pacer {
    /// Whether a tail is near its target beside filling tasks, so that the next report is needed soon.
    #[must_use]
    pub fn is_tense(&self) -> bool {
        self.is_tense
    }
}

/// A running task that fills.
struct Fill {
    at: TaskRef,
    run: u32,
    image: SmolStr,
    /// Share at which it was told to work, in percent.
    percent: u32,
    /// Processor use that was reported, in cores.
    used_cores: f64,
    /// Processor use at full speed, in cores.
    asked_cores: f64,
}

/// A run of a serving task at work.
struct ServingRun {
    at: TaskRef,
    run: u32,
    image: SmolStr,
    tail_ms: u32,
    target_ms: u32,
}

impl Shard {
    /// Learns from the tails that a server reports, and sets the shares of its filling tasks.
    pub(crate) fn observe_tails(&mut self, server: ServerKey, now_ms: u64) {
        let (tails, fills) = self.split_runs(server);
        self.learn_tails(server, &tails, &fills);
        let is_over = tails.iter().any(|task| task.tail_ms > task.target_ms);
        let mut pacer = self.servers[server].pacer;
        if is_over {
            pacer.over_since_ms.get_or_insert(now_ms);
        } else {
            pacer.over_since_ms = None;
        }
        let must_halt = pacer
            .over_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + HALT_AFTER_MS);
        let may_rise = now_ms >= pacer.raised_ms + RISE_MS;
        let serving = self.serving_on(server);
        let mut shares = if must_halt {
            vec![0; fills.len()]
        } else {
            self.shares(server, &serving, &fills)
        };
        if is_over {
            for (share, fill) in shares.iter_mut().zip(&fills) {
                *share = (*share).min(fill.percent * OVER_PERCENT / 100);
            }
        }
        pacer.is_tense = !fills.is_empty()
            && tails
                .iter()
                .any(|task| task.tail_ms * 100 > task.target_ms * TENSE_PERCENT);
        let mut slowed = Vec::new();
        for (fill, percent) in fills.iter().zip(shares) {
            let percent = if percent <= fill.percent {
                percent
            } else if may_rise {
                percent.min(fill.percent + RISE_PERCENT)
            } else {
                fill.percent
            };
            if percent < SLOWED_PERCENT {
                slowed.push((fill.at, fill.run));
            }
            self.set_share(server, fill, percent, now_ms);
        }
        if may_rise {
            pacer.raised_ms = now_ms;
        }
        if slowed.is_empty() {
            pacer.slowed_since_ms = None;
        } else {
            pacer.slowed_since_ms.get_or_insert(now_ms);
        }
        let must_move = pacer
            .slowed_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + MOVE_AFTER_MS);
        if must_move {
            pacer.slowed_since_ms = None;
        }
        self.servers[server].pacer = pacer;
        self.measure_headroom(server);
        if must_move {
            self.move_fills(server, &slowed, now_ms);
        }
    }

    /// Learns about pairs of images, and finds the own load of each serving task.
    fn learn_tails(&mut self, server: ServerKey, tails: &[ServingRun], fills: &[Fill]) {
        let capacity_millis = self.servers[server].entry.cpu_millis;
        let mut uses: Vec<Use> = Vec::new();
        for fill in fills {
            let tenths = tenths(fill.used_cores, capacity_millis);
            match uses.iter_mut().find(|used| used.image == fill.image) {
                Some(known) => known.tenths += tenths,
                None => uses.push(Use {
                    image: fill.image.clone(),
                    tenths,
                }),
            }
        }
        let state = &self.servers[server];
        let short_millis = state.cpu_used.saturating_sub(state.serve_used);
        let mut used_cores = f64::from(short_millis) / 1_000.0;
        used_cores += fills.iter().map(|fill| fill.used_cores).sum::<f64>();
        for task in tails {
            let cores = f64::from(self.step_spec(task.at).cpu_millis) / 1_000.0;
            used_cores += cores * self.pressure.load_share(&task.image);
        }
        let is_saturated = used_cores * 1_000.0 > f64::from(capacity_millis) * SATURATED_SHARE;
        for task in tails {
            self.pressure
                .learn(&task.image, task.tail_ms, &uses, is_saturated);
            let mean = self.pressure.load_share(&task.image);
            let busy = self
                .pressure
                .busy_share(&task.image, f64::from(task.tail_ms));
            let taken: f64 = uses
                .iter()
                .map(|used| self.pressure.weight(&task.image, &used.image) * used.tenths)
                .sum();
            // A load is hardly ever below half its mean; less only means that the weights are too high.
            let own = busy.map(|busy| (busy - taken).max(mean / 2.0));
            let found = self.task(task.at).position(server, task.run);
            if let Some(position) = found {
                self.task_mut(task.at).runs[position].load_share = own;
            }
        }
    }

    /// Shares in percent at which the filling tasks of a server can work together.
    fn shares(&self, server: ServerKey, serving: &[Serving], fills: &[Fill]) -> Vec<u32> {
        let capacity_millis = self.servers[server].entry.cpu_millis;
        let room = self.fill_cores(server, serving);
        let asked: f64 = fills.iter().map(|fill| fill.asked_cores).sum();
        let fitting = (room / asked.max(0.1)).clamp(f64::from(CROWDED_MIN_PERCENT) / 100.0, 1.0);
        let mut shares: Vec<f64> = vec![fitting; fills.len()];
        for task in serving {
            let mut taken: Vec<(f64, usize)> = Vec::new();
            for (at, fill) in fills.iter().enumerate() {
                let weight = self.pressure.cautious_weight(&task.image, &fill.image);
                taken.push((weight * tenths(fill.asked_cores, capacity_millis), at));
            }
            let mut excess = taken
                .iter()
                .map(|&(share, at)| share * shares[at])
                .sum::<f64>()
                - task.bears_share;
            // The tasks that take most are slowed first: that costs the least work.
            taken.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (share, at) in taken {
                if excess <= 0.0 || !is_felt(share) {
                    break;
                }
                let cut = (excess / share).min(shares[at]);
                shares[at] -= cut;
                excess -= cut * share;
            }
        }
        shares
            .into_iter()
            .map(|share| whole(share * 100.0))
            .collect()
    }

    /// Running tasks of a server, those that serve and those that fill.
    fn split_runs(&self, server: ServerKey) -> (Vec<ServingRun>, Vec<Fill>) {
        let mut tails = Vec::new();
        let mut fills = Vec::new();
        for &(at, number) in &self.servers[server].runs {
            let spec = self.step_spec(at);
            let task = self.task(at);
            let Some(position) = task.position(server, number) else {
                continue;
            };
            let run = &task.runs[position];
            let image = SmolStr::new(&spec.image);
            if spec.fills && run.stage == Stage::Running {
                fills.push(Fill {
                    at,
                    run: number,
                    image,
                    percent: run.pace_percent,
                    used_cores: f64::from(run.gauge) / 1_000.0,
                    asked_cores: f64::from(spec.cpu_millis) / 1_000.0,
                });
            } else if spec.tail_target_ms > 0 && run.percent >= 100 {
                tails.push(ServingRun {
                    at,
                    run: number,
                    image,
                    tail_ms: run.gauge,
                    target_ms: spec.tail_target_ms,
                });
            }
        }
        (tails, fills)
    }

    fn set_share(&mut self, server: ServerKey, fill: &Fill, percent: u32, now_ms: u64) {
        let is_limit = percent == 0 || percent == 100;
        let change = percent.abs_diff(fill.percent);
        if change == 0 || (change < CHANGE_PERCENT && !is_limit) {
            return;
        }
        let Some(position) = self.task(fill.at).position(server, fill.run) else {
            return;
        };
        let run = &mut self.task_mut(fill.at).runs[position];
        run.pace_percent = percent;
        run.moved_ms = now_ms;
        let task = self.task_id(fill.at);
        self.actions.push(Action::Pace {
            server,
            task,
            run: fill.run,
            percent,
        });
    }

    /// Stops slowed tasks that have room elsewhere. Those without checkpoints begin again, which is still sooner than a
    /// task that stands still.
    fn move_fills(&mut self, server: ServerKey, slowed: &[(TaskRef, u32)], now_ms: u64) {
        for &(at, run) in slowed {
            let is_half_done = self.percent_done(at, server, run) > 50;
            let loses_much = is_half_done && !self.step_spec(at).checkpoints;
            if loses_much || !self.has_better_server(at, server, now_ms) {
                continue;
            }
            self.note(
                "task_moved",
                Some(at),
                Some(server),
                [("run", u64::from(run))],
            );
            self.stop_run(at, server, run, now_ms);
        }
    }

    fn percent_done(&self, at: TaskRef, server: ServerKey, run: u32) -> u32 {
        let task = self.task(at);
        task.position(server, run)
            .map_or(0, |position| task.runs[position].percent)
    }

    fn has_better_server(&self, at: TaskRef, but: ServerKey, now_ms: u64) -> bool {
        let mut others = self.servers.keys().filter(|&key| key != but);
        others.any(|key| self.fits(at, key, now_ms) && self.is_harmless(at, key))
    }

    /// Whether tails on a server are above their targets.
    pub(crate) fn is_over(&self, server: ServerKey) -> bool {
        self.servers[server].pacer.over_since_ms.is_some()
    }

    /// What is known of pairs of images.
    #[must_use]
    pub fn pressure(&self) -> &crate::pressure::Pressure {
        &self.pressure
    }

    /// Takes what another owner has learned.
    pub fn learn_from(&mut self, pairs: &[crate::pressure::Pair]) {
        self.pressure.merge(pairs);
    }
}
