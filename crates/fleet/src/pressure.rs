//! How much filling tasks take from serving tasks, learned per pair of images.
//!
//! A serving task answers its users from a share of its time that its own load and the filling tasks beside it leave.
//! Its tail grows with the inverse of that share, so the busy share is found from the tail, and is modelled as a sum: the
//! own load of the serving image, plus a weight of each filling image for each tenth of the server that it uses. Each
//! weight is estimated with its variance by a Kalman filter without covariances.

use smol_str::SmolStr;

/// Lowest seen tail that a task without any load would have, as a share: tails are hardly ever seen below a fifth of load.
const IDLE_TAIL_FRACTION: f64 = 0.8;

/// Share by which the lowest tail follows a lower report; single reports are rough.
const FLOOR_FALL_FACTOR: f64 = 0.25;

/// Share by which the lowest tail follows a higher report: slow, so that it stays near the lowest reports.
const FLOOR_RISE_FACTOR: f64 = 0.002;

/// Busy share by its own load that is assumed of an image without reports.
const OWN_UTILIZATION_PRIOR: f64 = 0.45;

/// Variance of that assumption.
const OWN_UTILIZATION_PRIOR_VARIANCE: f64 = 0.02;

/// Weight of an unknown pair, for each tenth of the server.
const WEIGHT_PRIOR: f64 = 0.03;

/// Variance of the weight of an unknown pair: most are near zero, and the heaviest seen are near 0.3.
const WEIGHT_PRIOR_VARIANCE: f64 = 0.0144;

/// Least variance of a weight, so that it keeps following what changes.
const VARIANCE_MIN: f64 = 0.000_05;

/// Variance of one report around the model: own load swings by about a third, and reports of the same swing repeat its
/// error.
const REPORT_VARIANCE: f64 = 0.06;

/// Standard deviations that are added to a weight where it limits a placement.
const WEIGHT_MARGIN_DEVIATIONS: f64 = 0.3;

/// Use below which an image is not counted, in tenths of the server.
const USE_MIN_TENTHS: f64 = 0.03;

/// Weight from which a pair counts as harmful for the placement of serving tasks, for each tenth of the server.
const INTERFERING_WEIGHT: f64 = 0.06;

/// Pairs that are kept; images are named by callers.
const ESTIMATES_MAX: usize = 2_048;

/// What is known of a pair of images, or of a serving image alone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InterferenceEstimate {
    /// Image that serves.
    #[prost(string, tag = "1")]
    pub service_image: String,
    /// Image that fills; empty for the serving image alone.
    #[prost(string, tag = "2")]
    pub best_effort_image: String,
    /// Busy share for each tenth of the server that the filling image uses; by the own load, for an image alone.
    #[prost(double, tag = "3")]
    pub weight: f64,
    /// Variance of the weight.
    #[prost(double, tag = "4")]
    pub variance: f64,
    /// Lowest tail in milliseconds; only for an image alone.
    #[prost(double, tag = "5")]
    pub tail_floor_ms: f64,
}

/// Use of one filling image on a server.
#[derive(Clone, Debug, PartialEq)]
pub struct BestEffortUse {
    /// Image.
    pub image: SmolStr,
    /// Processor use in tenths of the server.
    pub tenths: f64,
}

/// Learned weights, sorted by pair.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    estimates: Vec<InterferenceEstimate>,
}

impl InterferenceModel {
    fn find(&self, service_image: &str, best_effort_image: &str) -> Option<&InterferenceEstimate> {
        let found = self.search(service_image, best_effort_image);
        found.ok().map(|at| &self.estimates[at])
    }

    fn search(&self, service_image: &str, best_effort_image: &str) -> Result<usize, usize> {
        self.estimates.binary_search_by(|estimate| {
            (
                estimate.service_image.as_str(),
                estimate.best_effort_image.as_str(),
            )
                .cmp(&(service_image, best_effort_image))
        })
    }

    fn entry(&mut self, new: InterferenceEstimate) -> Option<&mut InterferenceEstimate> {
        let at = match self.search(&new.service_image, &new.best_effort_image) {
            Ok(at) => at,
            Err(_) if self.estimates.len() >= ESTIMATES_MAX => return None,
            Err(at) => {
                self.estimates.insert(at, new);
                at
            }
        };
        Some(&mut self.estimates[at])
    }

    fn pair_entry(
        &mut self,
        service_image: &str,
        best_effort_image: &str,
    ) -> Option<&mut InterferenceEstimate> {
        self.entry(InterferenceEstimate {
            service_image: service_image.into(),
            best_effort_image: best_effort_image.into(),
            weight: WEIGHT_PRIOR,
            variance: WEIGHT_PRIOR_VARIANCE,
            tail_floor_ms: 0.0,
        })
    }

    fn image_entry(
        &mut self,
        service_image: &str,
        tail_ms: f64,
    ) -> Option<&mut InterferenceEstimate> {
        self.entry(InterferenceEstimate {
            service_image: service_image.into(),
            best_effort_image: String::new(),
            weight: OWN_UTILIZATION_PRIOR,
            variance: OWN_UTILIZATION_PRIOR_VARIANCE,
            tail_floor_ms: tail_ms,
        })
    }

    /// Busy share for each tenth of the server that the filling image uses.
    #[must_use]
    pub fn weight(&self, service_image: &str, best_effort_image: &str) -> f64 {
        self.find(service_image, best_effort_image)
            .map_or(WEIGHT_PRIOR, |estimate| estimate.weight)
    }

    /// The weight with an allowance for what is not known of it.
    #[must_use]
    pub fn conservative_weight(&self, service_image: &str, best_effort_image: &str) -> f64 {
        let (weight, variance) = self
            .find(service_image, best_effort_image)
            .map_or((WEIGHT_PRIOR, WEIGHT_PRIOR_VARIANCE), |estimate| {
                (estimate.weight, estimate.variance)
            });
        weight + WEIGHT_MARGIN_DEVIATIONS * variance.sqrt()
    }

    /// Busy share of a serving image by its own load, on average.
    #[must_use]
    pub fn own_utilization(&self, service_image: &str) -> f64 {
        self.find(service_image, "")
            .map_or(OWN_UTILIZATION_PRIOR, |estimate| estimate.weight)
    }

    /// Busy share at which a task of the serving image has a tail; none before the first report of the image.
    #[must_use]
    pub fn utilization_at(&self, service_image: &str, tail_ms: f64) -> Option<f64> {
        let tail_floor_ms = self.find(service_image, "")?.tail_floor_ms;
        Some((1.0 - tail_floor_ms * IDLE_TAIL_FRACTION / tail_ms.max(0.1)).clamp(0.0, 1.0))
    }

    /// Learns from a report: the tail of a serving task beside the uses of filling images. `is_saturated` tells that the
    /// server's processors were all but used up, which raises tails whatever the images are.
    pub fn learn(
        &mut self,
        service_image: &str,
        tail_ms: u32,
        uses: &[BestEffortUse],
        is_saturated: bool,
    ) {
        if tail_ms == 0 {
            return;
        }
        let tail_ms = f64::from(tail_ms);
        let Some(image) = self.image_entry(service_image, tail_ms) else {
            return;
        };
        let factor = if tail_ms < image.tail_floor_ms {
            FLOOR_FALL_FACTOR
        } else {
            FLOOR_RISE_FACTOR
        };
        image.tail_floor_ms += (tail_ms - image.tail_floor_ms) * factor;
        if is_saturated {
            return;
        }
        let utilization = self
            .utilization_at(service_image, tail_ms)
            .unwrap_or(OWN_UTILIZATION_PRIOR);
        let significant = uses.iter().filter(|usage| usage.tenths >= USE_MIN_TENTHS);
        let mut expected = self.own_utilization(service_image);
        let mut innovation_variance = REPORT_VARIANCE + OWN_UTILIZATION_PRIOR_VARIANCE;
        for usage in significant.clone() {
            let estimate = self.find(service_image, &usage.image);
            expected += estimate.map_or(WEIGHT_PRIOR, |estimate| estimate.weight) * usage.tenths;
            innovation_variance += estimate
                .map_or(WEIGHT_PRIOR_VARIANCE, |estimate| estimate.variance)
                * usage.tenths
                * usage.tenths;
        }
        let innovation = utilization - expected;
        if let Some(image) = self.image_entry(service_image, tail_ms) {
            update_estimate(image, 1.0, innovation, innovation_variance);
        }
        for usage in significant {
            if let Some(estimate) = self.pair_entry(service_image, &usage.image) {
                update_estimate(estimate, usage.tenths, innovation, innovation_variance);
            }
        }
    }

    /// Takes what another owner knows better.
    pub fn merge(&mut self, estimates: &[InterferenceEstimate]) {
        for other in estimates {
            let Some(estimate) = self.entry(other.clone()) else {
                continue;
            };
            if other.variance < estimate.variance {
                estimate.weight = other.weight;
                estimate.variance = other.variance;
            }
            if other.tail_floor_ms > 0.0 {
                estimate.tail_floor_ms = estimate.tail_floor_ms.min(other.tail_floor_ms);
            }
        }
    }

    /// Number of filling images that a serving image keeps away and that the present ones bear.
    #[must_use]
    pub fn newly_excluded(&self, service_image: &str, present: &[&str]) -> u64 {
        let own = self.estimates.iter().filter(|estimate| {
            estimate.service_image == service_image && !estimate.best_effort_image.is_empty()
        });
        let interfering = own.filter(|estimate| estimate.weight > INTERFERING_WEIGHT);
        let is_new = |estimate: &&InterferenceEstimate| {
            !present
                .iter()
                .any(|other| self.weight(other, &estimate.best_effort_image) > INTERFERING_WEIGHT)
        };
        interfering.filter(is_new).count() as u64
    }

    /// All that is known.
    #[must_use]
    pub fn estimates(&self) -> &[InterferenceEstimate] {
        &self.estimates
    }
}

/// One step of the filter: `innovation` is what the report showed beyond the model, `innovation_variance` the variance of that.
fn update_estimate(
    estimate: &mut InterferenceEstimate,
    input: f64,
    innovation: f64,
    innovation_variance: f64,
) {
    let gain = estimate.variance * input / innovation_variance;
    estimate.weight = (estimate.weight + gain * innovation).max(0.0);
    estimate.variance = (estimate.variance * (1.0 - gain * input)).max(VARIANCE_MIN);
}
