//! Estimates of latency without stored samples.

use std::time::Duration;

/// Relative step of an estimate per sample: it follows a change of load within
/// about 50 samples, a second of a search over 20 shards at a few per second.
const STEP: f64 = 0.05;

/// Running estimate of one quantile.
///
/// Each sample moves the estimate by a share of itself, up more than down for
/// high quantiles, so that the chosen part of the samples lies below it.
///
/// ```
/// use jasminepond_forward::Quantile;
/// use std::time::Duration;
///
/// let mut median = Quantile::new(0.5, Duration::from_millis(50));
/// for n in 0..2_000u64 {
///     median.observe(Duration::from_millis(10 + n % 10));
/// }
/// assert!((12..=17).contains(&median.get().as_millis()));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Quantile {
    rank: f64,
    seconds: f64,
}

impl Quantile {
    /// An estimate of the quantile `rank` (0 to 1) that starts at `first`.
    pub fn new(rank: f64, first: Duration) -> Self {
        Self {
            rank,
            seconds: first.as_secs_f64(),
        }
    }

    /// Adds a sample.
    pub fn observe(&mut self, sample: Duration) {
        if sample.as_secs_f64() > self.seconds {
            self.seconds *= 1.0 + STEP * self.rank;
        } else {
            self.seconds /= 1.0 + STEP * (1.0 - self.rank);
        }
    }

    /// The estimate.
    pub fn get(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}

/// Share of the calls that are taken not to have waited.
const LOW_RANK: f64 = 0.1;

/// Latency of the calls of one route.
#[derive(Debug, Clone, PartialEq)]
pub struct LatencyTracker {
    /// Unknown before the first sample.
    low: Option<Quantile>,
    median: Quantile,
    high: Quantile,
}

impl LatencyTracker {
    /// A tracker before the first sample, for a route with this objective.
    pub fn new(objective: Duration) -> Self {
        Self {
            low: None,
            median: Quantile::new(0.5, objective / 5),
            high: Quantile::new(0.9, objective / 3),
        }
    }

    /// Adds the latency of an answered call.
    pub fn observe(&mut self, sample: Duration) {
        let low = self
            .low
            .get_or_insert_with(|| Quantile::new(LOW_RANK, sample));
        low.observe(sample);
        self.median.observe(sample);
        self.high.observe(sample);
    }

    /// The latency of calls that do not wait: the 10th percentile.
    pub fn low(&self) -> Duration {
        self.low.as_ref().map_or(Duration::ZERO, Quantile::get)
    }

    /// The usual latency.
    pub fn median(&self) -> Duration {
        self.median.get()
    }

    /// The 90th percentile.
    pub fn high(&self) -> Duration {
        self.high.get()
    }
}
