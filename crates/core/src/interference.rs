//! Slowdown that one kind of task causes another, learned from lagging reports.
//!
//! The slowdown of a kind on a server is 1 plus, for each other kind there, a slope times the load of that kind. Each
//! pair of kinds has one slope for loads up to [`KNEE`] of the server and one for the load above it. A Kalman filter
//! with a diagonal covariance estimates the slopes: the prior variance shrinks estimates from few samples, the noise
//! variance dampens single reports, and aging restores the variance, so that old estimates are replaced.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::time::MonoMs;

/// Index of a kind of task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindKey(u16);

impl KindKey {
    /// Latency-critical requests.
    pub const REQUESTS: Self = Self(0);
    /// Shared by all kinds after the first `MAX_KINDS`.
    const OTHER: Self = Self(1);
}

/// Number of kinds learned separately; bounds the table of pairs to 3 MB.
const MAX_KINDS: usize = 256;

/// Load, as a share of the server, from which the second slope applies.
pub const KNEE: f32 = 0.5;

/// Assumed slope of a pair without samples: a server full of an unknown kind slows its neighbours by a tenth.
const PRIOR_SLOPE: f32 = 0.1;

/// Variance of a slope without samples. Interfering pairs have slopes around 1.
const PRIOR_VARIANCE: f32 = 0.25;

/// Variance of a reported slowdown around the true one, for slowdowns near 1.
const NOISE_VARIANCE: f32 = 0.01;

/// Deviations are clamped to this many standard deviations, so that an outlier moves an estimate little.
const MAX_DEVIATION_SIGMAS: f32 = 3.0;

/// Time in which an estimate without new samples decays halfway to its prior.
pub const HALF_LIFE_MS: u64 = 1_800_000;

/// Interval between two agings of the estimates.
const AGE_STEP_MS: u64 = 60_000;

/// Weight of a learned slope in the mean slope of its kind.
const KIND_MEAN_WEIGHT: f32 = 0.02;

/// Loads of the kinds on one server, as shares of its processors.
pub type Loads = [(KindKey, f32)];

#[derive(Clone, Copy)]
struct Slope {
    mean: f32,
    variance: f32,
}

#[derive(Clone, Copy)]
struct Pair {
    slopes: [Slope; 2],
}

/// Mean slope of a kind over all others, the prior of its pairs without samples.
#[derive(Clone, Copy)]
struct KindMean {
    slope: f32,
}

/// Learned slowdowns by pair of kinds.
pub struct Interference {
    names: BTreeMap<SmolStr, KindKey>,
    /// Indexed by victim, then by aggressor.
    pairs: Vec<Vec<Option<Pair>>>,
    kind_means: Vec<KindMean>,
    last_aged_ms: u64,
}

impl Default for Interference {
    fn default() -> Self {
        let kind_mean = KindMean { slope: PRIOR_SLOPE };
        Self {
            names: BTreeMap::new(),
            pairs: vec![Vec::new(), Vec::new()],
            kind_means: vec![kind_mean, kind_mean],
            last_aged_ms: 0,
        }
    }
}

impl Interference {
    /// Key of a kind; a new kind gets its own key while fewer than `MAX_KINDS` are known.
    pub fn kind(&mut self, name: &SmolStr) -> KindKey {
        if let Some(&kind) = self.names.get(name) {
            return kind;
        }
        if self.pairs.len() >= MAX_KINDS {
            return KindKey::OTHER;
        }
        let kind = KindKey(u16::try_from(self.pairs.len()).unwrap_or(KindKey::OTHER.0));
        self.pairs.push(Vec::new());
        self.kind_means.push(KindMean { slope: PRIOR_SLOPE });
        self.names.insert(name.clone(), kind);
        kind
    }

    /// Expected slowdown of `victim` beyond 1 under `loads`, which do not include its own.
    #[must_use]
    pub fn excess_slowdown(&self, victim: KindKey, loads: &Loads) -> f32 {
        let row = &self.pairs[usize::from(victim.0)];
        let mut sum = 0.0;
        for &(aggressor, load) in loads {
            let (low, high) = split_at_knee(load);
            sum += match row.get(usize::from(aggressor.0)) {
                Some(Some(pair)) => pair.slopes[0].mean * low + pair.slopes[1].mean * high,
                _ => self.kind_means[usize::from(aggressor.0)].slope * load,
            };
        }
        sum
    }

    /// Increase of the expected slowdown of `victim` when the load of `aggressor` grows from `load` by `added_load`.
    #[must_use]
    pub fn slowdown_growth(
        &self,
        victim: KindKey,
        aggressor: KindKey,
        load: f32,
        added_load: f32,
    ) -> f32 {
        self.excess_slowdown(victim, &[(aggressor, load + added_load)])
            - self.excess_slowdown(victim, &[(aggressor, load)])
    }

    /// Updates the estimates with a reported slowdown of `victim` under `loads`.
    pub fn learn(&mut self, victim: KindKey, loads: &Loads, slowdown_permille: u32) {
        if loads.is_empty() || slowdown_permille == 0 {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "reports are far below 2^24")]
        let observed = slowdown_permille as f32 / 1_000.0 - 1.0;
        let expected = self.excess_slowdown(victim, loads);
        let scale = (1.0 + expected).max(1.0);
        let noise = NOISE_VARIANCE * scale * scale;
        self.ensure_pairs(victim, loads);
        let row = &mut self.pairs[usize::from(victim.0)];
        let mut total = noise;
        for &(aggressor, load) in loads {
            let (low, high) = split_at_knee(load);
            if let Some(Some(pair)) = row.get(usize::from(aggressor.0)) {
                total += pair.slopes[0].variance * low * low;
                total += pair.slopes[1].variance * high * high;
            }
        }
        let bound = MAX_DEVIATION_SIGMAS * total.sqrt();
        let deviation = (observed - expected).clamp(-bound, bound);
        for &(aggressor, load) in loads {
            let (low, high) = split_at_knee(load);
            let Some(Some(pair)) = row.get_mut(usize::from(aggressor.0)) else {
                continue;
            };
            for (slope, part) in pair.slopes.iter_mut().zip([low, high]) {
                let gain = slope.variance * part / total;
                // A task cannot speed up its neighbours.
                slope.mean = (slope.mean + gain * deviation).max(0.0);
                slope.variance -= gain * part * slope.variance;
            }
            if low > 0.0 {
                let kind_mean = &mut self.kind_means[usize::from(aggressor.0)];
                kind_mean.slope += KIND_MEAN_WEIGHT * (pair.slopes[0].mean - kind_mean.slope);
            }
        }
    }

    /// Decays the estimates towards their priors.
    pub fn age(&mut self, now: MonoMs) {
        let steps = now.0.saturating_sub(self.last_aged_ms) / AGE_STEP_MS;
        if steps == 0 {
            return;
        }
        self.last_aged_ms += steps * AGE_STEP_MS;
        #[expect(clippy::cast_precision_loss, reason = "a ratio of times")]
        let decay_factor = 0.5_f32.powf((steps * AGE_STEP_MS) as f32 / HALF_LIFE_MS as f32);
        for kind_mean in &mut self.kind_means {
            kind_mean.slope = decay_toward(PRIOR_SLOPE, kind_mean.slope, decay_factor);
        }
        for row in &mut self.pairs {
            for (pair, kind_mean) in row.iter_mut().zip(&self.kind_means) {
                let Some(pair) = pair else {
                    continue;
                };
                for slope in &mut pair.slopes {
                    slope.mean = decay_toward(kind_mean.slope, slope.mean, decay_factor);
                    slope.variance = decay_toward(PRIOR_VARIANCE, slope.variance, decay_factor);
                }
            }
        }
    }

    fn ensure_pairs(&mut self, victim: KindKey, loads: &Loads) {
        let row = &mut self.pairs[usize::from(victim.0)];
        for &(aggressor, _) in loads {
            let at = usize::from(aggressor.0);
            if row.len() <= at {
                row.resize(at + 1, None);
            }
            let slope = Slope {
                mean: self.kind_means[at].slope,
                variance: PRIOR_VARIANCE,
            };
            row[at].get_or_insert(Pair { slopes: [slope; 2] });
        }
    }
}

fn split_at_knee(load: f32) -> (f32, f32) {
    (load.min(KNEE), (load - KNEE).max(0.0))
}

fn decay_toward(target: f32, value: f32, decay_factor: f32) -> f32 {
    target + (value - target) * decay_factor
}
