//! Estimates of latency without stored samples.

use std::time::Duration;

use jasminepond_types::Timestamp;

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

/// Time for which a low latency counts at least: longer than an overload that should not
/// be taken for the usual state.
const LOW_PERIOD: Duration = Duration::from_secs(5);

/// The low latency of this period and of the one before. Within a period it only falls:
/// under load all calls wait, and their latency says nothing of one that does not.
#[derive(Debug, Clone, PartialEq, Default)]
struct LowLatency {
    quantile: Option<Quantile>,
    present: Option<Duration>,
    before: Option<Duration>,
    since: Timestamp,
}

impl LowLatency {
    fn observe(&mut self, now: Timestamp, sample: Duration) {
        if now.since(self.since) >= LOW_PERIOD {
            self.before = self.present.take();
            self.quantile = None;
            self.since = now;
        }
        let first = || Quantile::new(LOW_RANK, sample);
        let quantile = self.quantile.get_or_insert_with(first);
        quantile.observe(sample);
        let low = quantile.get();
        self.present = Some(self.present.map_or(low, |present| present.min(low)));
    }

    fn get(&self) -> Duration {
        let lows = [self.present, self.before].into_iter().flatten();
        lows.min().unwrap_or_default()
    }
}

/// Latency of the calls of one route.
#[derive(Debug, Clone, PartialEq)]
pub struct LatencyTracker {
    low: LowLatency,
    median: Quantile,
    high: Quantile,
}

impl LatencyTracker {
    /// A tracker before the first sample, for a route with this objective.
    pub fn new(objective: Duration) -> Self {
        Self {
            low: LowLatency::default(),
            median: Quantile::new(0.5, objective / 5),
            high: Quantile::new(0.9, objective / 3),
        }
    }

    /// Adds the latency of an answered call.
    pub fn observe(&mut self, now: Timestamp, sample: Duration) {
        self.low.observe(now, sample);
        self.median.observe(sample);
        self.high.observe(sample);
    }

    /// The latency of calls that do not wait, lately; zero before the first sample.
    pub fn low(&self) -> Duration {
        self.low.get()
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
