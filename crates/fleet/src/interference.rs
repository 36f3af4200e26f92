//! Interference of best-effort tasks with service tasks, learned per pair of images.
//!
//! Tail latency grows with the inverse of a service task's idle time share, so its utilization can be derived from the
//! tail. Utilization is modelled as the own load of the service image plus, for each best-effort image on the server, a
//! weight times the tenths of the server that the image uses. Each weight is estimated with its variance by a Kalman
//! filter without covariances.

use smol_str::SmolStr;

/// Tail latency without load, as a fraction of the lowest observed tail; tails are rarely observed below 20% load.
const IDLE_TAIL_FRACTION: f64 = 0.8;

/// Smoothing factor of the lowest tail towards a lower report; single reports are noisy.
const FLOOR_FALL_FACTOR: f64 = 0.25;

/// Smoothing factor of the lowest tail towards a higher report; small, so that it stays near the lowest reports.
const FLOOR_RISE_FACTOR: f64 = 0.002;

/// Prior of a service image's own utilization.
const OWN_UTILIZATION_PRIOR: f64 = 0.45;

const OWN_UTILIZATION_PRIOR_VARIANCE: f64 = 0.02;

/// Prior of a pair's weight, per tenth of the server.
const WEIGHT_PRIOR: f64 = 0.03;

/// Most weights are near 0, and the largest observed are near 0.3.
const WEIGHT_PRIOR_VARIANCE: f64 = 0.0144;

/// Lower bound of a weight's variance, so that the estimate keeps adapting.
const VARIANCE_MIN: f64 = 0.000_05;

/// Variance of one report around the model. Own load varies by about a third, and successive reports of the same
/// variation repeat its error.
const REPORT_VARIANCE: f64 = 0.06;

/// Standard deviations added to a weight where it limits placement.
const WEIGHT_MARGIN_DEVIATIONS: f64 = 0.3;

/// CPU use below which an image is ignored, in tenths of the server.
const USE_MIN_TENTHS: f64 = 0.03;

/// Weight above which a best-effort image is not placed beside a service image, per tenth of the server.
const INTERFERING_WEIGHT: f64 = 0.06;

/// Maximum number of estimates; callers choose the image names.
const ESTIMATES_MAX: usize = 2_048;

/// Interference estimate of a pair of images, or load estimate of a service image alone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InterferenceEstimate {
    #[prost(string, tag = "1")]
    pub service_image: String,
    /// Best-effort image; empty for an estimate of the service image alone.
    #[prost(string, tag = "2")]
    pub best_effort_image: String,
    /// Utilization per tenth of the server that the best-effort image uses; for a service image alone, its own
    /// utilization.
    #[prost(double, tag = "3")]
    pub weight: f64,
    /// Variance of the weight.
    #[prost(double, tag = "4")]
    pub variance: f64,
    /// Lowest tail latency; only for a service image alone.
    #[prost(double, tag = "5")]
    pub tail_floor_ms: f64,
}

/// CPU use of one best-effort image on a server.
#[derive(Clone, Debug, PartialEq)]
pub struct BestEffortUse {
    pub image: SmolStr,
    /// CPU use in tenths of the server.
    pub tenths: f64,
}

/// Learned estimates, sorted by pair.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    estimates: Vec<InterferenceEstimate>,
}

impl InterferenceModel {
    fn find(&self, service_image: &str, best_effort_image: &str) -> Option<&InterferenceEstimate> {
        let found = self.search(service_image, best_effort_image);
        found.ok().map(|index| &self.estimates[index])
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
        let index = match self.search(&new.service_image, &new.best_effort_image) {
            Ok(index) => index,
            Err(_) if self.estimates.len() >= ESTIMATES_MAX => return None,
            Err(index) => {
                self.estimates.insert(index, new);
                index
            }
        };
        Some(&mut self.estimates[index])
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

    /// Utilization per tenth of the server that the best-effort image uses.
    #[must_use]
    pub fn weight(&self, service_image: &str, best_effort_image: &str) -> f64 {
        self.find(service_image, best_effort_image)
            .map_or(WEIGHT_PRIOR, |estimate| estimate.weight)
    }

    /// Weight plus a margin for its uncertainty.
    #[must_use]
    pub fn conservative_weight(&self, service_image: &str, best_effort_image: &str) -> f64 {
        let (weight, variance) = self
            .find(service_image, best_effort_image)
            .map_or((WEIGHT_PRIOR, WEIGHT_PRIOR_VARIANCE), |estimate| {
                (estimate.weight, estimate.variance)
            });
        weight + WEIGHT_MARGIN_DEVIATIONS * variance.sqrt()
    }

    /// Mean utilization of a service image by its own load.
    #[must_use]
    pub fn own_utilization(&self, service_image: &str) -> f64 {
        self.find(service_image, "")
            .map_or(OWN_UTILIZATION_PRIOR, |estimate| estimate.weight)
    }

    /// Utilization of a service task at a given tail latency; `None` before the first report of its image.
    #[must_use]
    pub fn utilization_at(&self, service_image: &str, tail_ms: f64) -> Option<f64> {
        let tail_floor_ms = self.find(service_image, "")?.tail_floor_ms;
        Some((1.0 - tail_floor_ms * IDLE_TAIL_FRACTION / tail_ms.max(0.1)).clamp(0.0, 1.0))
    }

    /// Updates the model with the tail latency of a service task and the use of best-effort images beside it.
    /// `is_saturated` means that the server's CPU was nearly exhausted, which raises tails regardless of the images.
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

    /// Merges another owner's estimates, keeping the one with the lower variance.
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

    /// Number of best-effort images that a service image excludes from a server while the images present tolerate them.
    #[must_use]
    pub fn newly_excluded(&self, service_image: &str, present: &[&str]) -> u64 {
        let pair_estimates = self.estimates.iter().filter(|estimate| {
            estimate.service_image == service_image && !estimate.best_effort_image.is_empty()
        });
        let interfering = pair_estimates.filter(|estimate| estimate.weight > INTERFERING_WEIGHT);
        let is_new = |estimate: &&InterferenceEstimate| {
            !present
                .iter()
                .any(|other| self.weight(other, &estimate.best_effort_image) > INTERFERING_WEIGHT)
        };
        interfering.filter(is_new).count() as u64
    }

    #[must_use]
    pub fn estimates(&self) -> &[InterferenceEstimate] {
        &self.estimates
    }
}

/// One update step of the filter: `innovation` is the difference between report and model.
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
