//! How much filling tasks take from serving tasks, learned per pair of images.
//!
//! A serving task answers its users from a share of its time that its own load and the filling tasks beside it leave.
//! Its tail grows with the inverse of that share, so the busy share is found from the tail, and is modelled as a sum: the
//! own load of the serving image, plus a weight of each filling image for each tenth of the server that it uses. Each
//! weight is estimated with its variance by a Kalman filter without covariances.

use smol_str::SmolStr;

/// Lowest seen tail that a task without any load would have, as a share: tails are hardly ever seen below a fifth of load.
const IDLE_SHARE: f64 = 0.8;

/// Share by which the lowest tail follows a lower report; single reports are rough.
const FLOOR_FALL: f64 = 0.25;

/// Share by which the lowest tail follows a higher report: slow, so that it stays near the lowest reports.
const FLOOR_RISE: f64 = 0.002;

/// Busy share by its own load that is assumed of an image without reports.
const LOAD_SHARE: f64 = 0.45;

/// Variance of that assumption.
const LOAD_VARIANCE: f64 = 0.02;

/// Weight of an unknown pair, for each tenth of the server.
const WEIGHT: f64 = 0.03;

/// Variance of the weight of an unknown pair: most are near zero, and the heaviest seen are near 0.3.
const WEIGHT_VARIANCE: f64 = 0.0144;

/// Least variance of a weight, so that it keeps following what changes.
const VARIANCE_MIN: f64 = 0.000_05;

/// Variance of one report around the model: own load swings by about a third, and reports of the same swing repeat its
/// error.
const REPORT_VARIANCE: f64 = 0.06;

/// Standard deviations that are added to a weight where it limits a placement.
const CAUTION: f64 = 0.3;

/// Use below which an image is not counted, in tenths of the server.
const USE_MIN_TENTHS: f64 = 0.03;

/// Weight from which a pair counts as harmful for the placement of serving tasks, for each tenth of the server.
const HARMFUL_WEIGHT: f64 = 0.06;

/// Pairs that are kept; images are named by callers.
const PAIRS_MAX: usize = 2_048;

/// What is known of a pair of images, or of a serving image alone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pair {
    /// Image that serves.
    #[prost(string, tag = "1")]
    pub serving: String,
    /// Image that fills; empty for the serving image alone.
    #[prost(string, tag = "2")]
    pub filling: String,
    /// Busy share for each tenth of the server that the filling image uses; by the own load, for an image alone.
    #[prost(double, tag = "3")]
    pub weight: f64,
    /// Variance of the weight.
    #[prost(double, tag = "4")]
    pub variance: f64,
    /// Lowest tail in milliseconds; only for an image alone.
    #[prost(double, tag = "5")]
    pub floor_ms: f64,
}

/// Use of one filling image on a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Use {
    /// Image.
    pub image: SmolStr,
    /// Processor use in tenths of the server.
    pub tenths: f64,
}

/// Learned weights, sorted by pair.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    pairs: Vec<Pair>,
}

impl Pressure {
    fn find(&self, serving: &str, filling: &str) -> Option<&Pair> {
        let found = self.search(serving, filling);
        found.ok().map(|at| &self.pairs[at])
    }

    fn search(&self, serving: &str, filling: &str) -> Result<usize, usize> {
        self.pairs.binary_search_by(|pair| {
            (pair.serving.as_str(), pair.filling.as_str()).cmp(&(serving, filling))
        })
    }

    fn entry(&mut self, new: Pair) -> Option<&mut Pair> {
        let at = match self.search(&new.serving, &new.filling) {
            Ok(at) => at,
            Err(_) if self.pairs.len() >= PAIRS_MAX => return None,
            Err(at) => {
                self.pairs.insert(at, new);
                at
            }
        };
        Some(&mut self.pairs[at])
    }

    fn pair_entry(&mut self, serving: &str, filling: &str) -> Option<&mut Pair> {
        self.entry(Pair {
            serving: serving.into(),
            filling: filling.into(),
            weight: WEIGHT,
            variance: WEIGHT_VARIANCE,
            floor_ms: 0.0,
        })
    }

    fn image_entry(&mut self, serving: &str, tail_ms: f64) -> Option<&mut Pair> {
        self.entry(Pair {
            serving: serving.into(),
            filling: String::new(),
            weight: LOAD_SHARE,
            variance: LOAD_VARIANCE,
            floor_ms: tail_ms,
        })
    }

    /// Busy share for each tenth of the server that the filling image uses.
    #[must_use]
    pub fn weight(&self, serving: &str, filling: &str) -> f64 {
        self.find(serving, filling)
            .map_or(WEIGHT, |pair| pair.weight)
    }

    /// The weight with an allowance for what is not known of it.
    #[must_use]
    pub fn cautious_weight(&self, serving: &str, filling: &str) -> f64 {
        let (weight, variance) = self
            .find(serving, filling)
            .map_or((WEIGHT, WEIGHT_VARIANCE), |pair| {
                (pair.weight, pair.variance)
            });
        weight + CAUTION * variance.sqrt()
    }

    /// Busy share of a serving image by its own load, on average.
    #[must_use]
    pub fn load_share(&self, serving: &str) -> f64 {
        self.find(serving, "")
            .map_or(LOAD_SHARE, |pair| pair.weight)
    }

    /// Busy share at which a task of the serving image has a tail; none before the first report of the image.
    #[must_use]
    pub fn busy_share(&self, serving: &str, tail_ms: f64) -> Option<f64> {
        let floor_ms = self.find(serving, "")?.floor_ms;
        Some((1.0 - floor_ms * IDLE_SHARE / tail_ms.max(0.1)).clamp(0.0, 1.0))
    }

    /// Learns from a report: the tail of a serving task beside the uses of filling images. `is_saturated` tells that the
    /// server's processors were all but used up, which raises tails whatever the images are.
    pub fn learn(&mut self, serving: &str, tail_ms: u32, uses: &[Use], is_saturated: bool) {
        if tail_ms == 0 {
            return;
        }
        let tail_ms = f64::from(tail_ms);
        let Some(image) = self.image_entry(serving, tail_ms) else {
            return;
        };
        let rate = if tail_ms < image.floor_ms {
            FLOOR_FALL
        } else {
            FLOOR_RISE
        };
        image.floor_ms += (tail_ms - image.floor_ms) * rate;
        if is_saturated {
            return;
        }
        let busy = self.busy_share(serving, tail_ms).unwrap_or(LOAD_SHARE);
        let felt = uses.iter().filter(|used| used.tenths >= USE_MIN_TENTHS);
        let mut expected = self.load_share(serving);
        let mut spread = REPORT_VARIANCE + LOAD_VARIANCE;
        for used in felt.clone() {
            let pair = self.find(serving, &used.image);
            expected += pair.map_or(WEIGHT, |pair| pair.weight) * used.tenths;
            spread +=
                pair.map_or(WEIGHT_VARIANCE, |pair| pair.variance) * used.tenths * used.tenths;
        }
        let error = busy - expected;
        if let Some(image) = self.image_entry(serving, tail_ms) {
            correct(image, 1.0, error, spread);
        }
        for used in felt {
            if let Some(pair) = self.pair_entry(serving, &used.image) {
                correct(pair, used.tenths, error, spread);
            }
        }
    }

    /// Takes what another owner knows better.
    pub fn merge(&mut self, pairs: &[Pair]) {
        for other in pairs {
            let Some(pair) = self.entry(other.clone()) else {
                continue;
            };
            if other.variance < pair.variance {
                pair.weight = other.weight;
                pair.variance = other.variance;
            }
            if other.floor_ms > 0.0 {
                pair.floor_ms = pair.floor_ms.min(other.floor_ms);
            }
        }
    }

    /// Number of filling images that a serving image keeps away and that the present ones bear.
    #[must_use]
    pub fn kept_away(&self, serving: &str, present: &[&str]) -> u64 {
        let own = self
            .pairs
            .iter()
            .filter(|pair| pair.serving == serving && !pair.filling.is_empty());
        let harmful = own.filter(|pair| pair.weight > HARMFUL_WEIGHT);
        let is_new = |pair: &&Pair| {
            !present
                .iter()
                .any(|other| self.weight(other, &pair.filling) > HARMFUL_WEIGHT)
        };
        harmful.filter(is_new).count() as u64
    }

    /// All that is known.
    #[must_use]
    pub fn pairs(&self) -> &[Pair] {
        &self.pairs
    }
}

/// One step of the filter: `error` is what the report showed beyond the model, `spread` the variance of that.
fn correct(pair: &mut Pair, input: f64, error: f64, spread: f64) {
    let gain = pair.variance * input / spread;
    pair.weight = (pair.weight + gain * error).max(0.0);
    pair.variance = (pair.variance * (1.0 - gain * input)).max(VARIANCE_MIN);
}
