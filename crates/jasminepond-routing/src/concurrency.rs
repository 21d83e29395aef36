//! Number of queries in progress that the backend servers can finish in time.

use std::time::Duration;

use jasminepond_types::Timestamp;

/// Smallest increase. With 1.0, limits of about five per daemon rose twice as
/// much per step as they fell, and 15% of a class missed its deadline.
const LEAST_INCREASE: f64 = 0.25;

/// Settings of the self-adjusting limit on queries in progress.
#[derive(Debug, Clone, PartialEq)]
pub struct ConcurrencySettings {
    /// Limit at the start.
    pub initial: u32,
    /// Lowest limit, at least one.
    pub min: u32,
    /// Highest limit.
    pub max: u32,
    /// Share of a query's time that it may spend in the slowest queue, on
    /// average. The rest is for the service time and its variation. In a
    /// simulation with 1% stragglers and a fan-out of 20, goodput was the same
    /// from 0.3 to 0.6, and half as many queries missed their deadline at 0.3.
    pub max_wait_share: f64,
    /// Share of queries that may miss their deadline behind a queue. In the same
    /// simulation 0.05 cost 4% of goodput: stragglers alone caused most misses.
    pub max_late_share: f64,
    /// Factor by which the limit falls. In eight seeds of the simulation with
    /// three busy classes, 0.9 answered 0.898 to 0.914 of the capacity and 0.85
    /// 0.915 to 0.929: lower classes that fill a limit which falls slowly admit
    /// queries that miss their deadline.
    pub decrease_factor: f64,
    /// Share of the limit by which it rises, at least a quarter of a query.
    pub increase_share: f64,
    /// Shortest time between two changes.
    pub window: Duration,
    /// Queries needed for a decision. At 40, a daemon that got few queries of a
    /// class did not raise its limit within the 30 s of the simulation.
    pub min_samples: u32,
}

impl Default for ConcurrencySettings {
    fn default() -> Self {
        Self {
            initial: 32,
            min: 1,
            max: 10_000,
            max_wait_share: 0.4,
            max_late_share: 0.1,
            decrease_factor: 0.85,
            increase_share: 0.02,
            window: Duration::from_millis(100),
            min_samples: 10,
        }
    }
}

/// Additive increase, multiplicative decrease on the queue delay relative to
/// the time that callers allow. The latency itself is no measure of load: with
/// a large fan-out it is dominated by stragglers.
#[derive(Debug)]
pub(crate) struct Concurrency {
    limit: f64,
    window_start: Timestamp,
    admitted: u32,
    wait_shares: f64,
    finished: u32,
    late: u32,
    refused: u32,
    saturated: bool,
    /// Refused per finished query in the last window.
    excess: f64,
}

impl Concurrency {
    pub(crate) fn new(settings: &ConcurrencySettings) -> Self {
        Self {
            limit: f64::from(settings.initial),
            window_start: Timestamp::ZERO,
            admitted: 0,
            wait_shares: 0.0,
            finished: 0,
            late: 0,
            refused: 0,
            saturated: false,
            excess: 0.0,
        }
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Refused queries per finished query: how much longer than one query a
    /// refused caller has to wait on average.
    pub(crate) fn excess(&self) -> f64 {
        self.excess
    }

    /// The limit with its fraction.
    pub(crate) fn exact(&self) -> f64 {
        self.limit
    }

    /// A query was admitted that spends `wait_share` of its time in the slowest
    /// queue; `in_progress` counts it and all it competes with.
    pub(crate) fn admitted(&mut self, wait_share: f64, in_progress: u32) {
        self.admitted += 1;
        self.wait_shares += wait_share;
        if in_progress >= self.limit() {
            self.saturated = true;
        }
    }

    pub(crate) fn refused(&mut self) {
        self.refused = self.refused.saturating_add(1);
        self.saturated = true;
    }

    /// A query finished; `late` if a queue made it miss its deadline.
    pub(crate) fn finished(
        &mut self,
        now: Timestamp,
        late: bool,
        usual: Duration,
        settings: &ConcurrencySettings,
    ) {
        self.finished += 1;
        self.late += u32::from(late);
        // The effect of a change shows after about the duration of a query.
        let window = settings.window.max(usual);
        let over = now.since(self.window_start) >= window;
        if over && self.finished >= settings.min_samples {
            self.adjust(settings);
            self.window_start = now;
        }
    }

    fn adjust(&mut self, settings: &ConcurrencySettings) {
        let late_share = f64::from(self.late) / f64::from(self.finished);
        let wait_share = self.wait_shares / f64::from(self.admitted.max(1));
        if wait_share > settings.max_wait_share || late_share > settings.max_late_share {
            self.limit *= settings.decrease_factor;
        } else if self.saturated {
            self.limit += (self.limit * settings.increase_share).max(LEAST_INCREASE);
        }
        let min = f64::from(settings.min.max(1));
        self.limit = self.limit.clamp(min, f64::from(settings.max).max(min));
        self.excess = f64::from(self.refused) / f64::from(self.finished);
        self.admitted = 0;
        self.wait_shares = 0.0;
        self.finished = 0;
        self.late = 0;
        self.refused = 0;
        self.saturated = false;
    }
}
