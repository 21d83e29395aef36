//! Latency estimates that store no samples.

use std::time::Duration;

use jasminepond_types::Timestamp;

/// Relative step of an estimate per sample. An estimate follows a change of load within
/// about 50 samples, which a search over 20 shards yields in a second at a few requests
/// per second.
const STEP: f64 = 0.05;

/// Running estimate of one quantile.
///
/// Each sample moves the estimate by a fixed ratio, up by more than down for high
/// quantiles, so that the chosen share of the samples lies below the estimate.
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
    /// Creates an estimate of the quantile `rank` (0 to 1) that starts at `first`.
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

    /// Returns the estimate.
    pub fn get(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}

/// Quantile of the latency that represents calls without queueing.
const LOW_RANK: f64 = 0.1;

/// Minimum time for which a low latency counts. Longer than an overload that must not be
/// mistaken for the normal state.
const LOW_PERIOD: Duration = Duration::from_secs(5);

/// Low latency of the current and the previous period. It only falls within a period:
/// under load all calls queue, so their latency does not show the one without queueing.
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

/// Latency statistics of the calls of one route.
#[derive(Debug, Clone, PartialEq)]
pub struct LatencyTracker {
    low: LowLatency,
    median: Quantile,
    high: Quantile,
}

impl LatencyTracker {
    /// Creates a tracker without samples for a route with this objective.
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

    /// Recent latency of calls without queueing; zero before the first sample.
    pub fn low(&self) -> Duration {
        self.low.get()
    }

    /// The median latency.
    pub fn median(&self) -> Duration {
        self.median.get()
    }

    /// The 90th percentile of the latency.
    pub fn high(&self) -> Duration {
        self.high.get()
    }
}
