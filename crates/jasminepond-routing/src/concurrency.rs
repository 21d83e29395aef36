//! Adaptive limit on the number of queries in progress.

use std::time::Duration;

use jasminepond_types::Timestamp;

/// Smallest increase per step. With 1.0, a limit of about five rose by twice as
/// much per step as it fell, and 15% of the queries of a class missed their
/// deadline.
const MIN_INCREASE: f64 = 0.25;

/// Settings of the adaptive limit on queries in progress.
#[derive(Debug, Clone, PartialEq)]
pub struct ConcurrencySettings {
    /// Initial limit.
    pub initial: u32,
    /// Lowest limit. Zero counts as one.
    pub min: u32,
    /// Highest limit.
    pub max: u32,
    /// Highest average share of the time until its deadline that a query may spend
    /// in the slowest queue. The rest is left for the service time and its
    /// variation. In a simulation with 1% stragglers and a fan-out of 20, goodput
    /// was the same from 0.3 to 0.6, and at 0.3 half as many queries missed their
    /// deadline.
    pub max_wait_share: f64,
    /// Highest share of queries that may miss their deadline because of a queue. In
    /// the same simulation 0.05 reduced goodput by 4%, because most deadlines were
    /// missed through stragglers alone.
    pub max_late_share: f64,
    /// Factor by which the limit is multiplied to lower it. With eight seeds of the
    /// simulation with three busy classes, goodput was 0.898 to 0.914 of the
    /// capacity at 0.9 and 0.915 to 0.929 at 0.85: while a limit falls slowly, the
    /// lower classes that fill it admit queries that miss their deadline.
    pub decrease_factor: f64,
    /// Share of the limit by which it is raised, at least by a quarter of a query.
    pub increase_share: f64,
    /// Shortest time between two adjustments.
    pub window: Duration,
    /// Finished queries needed for an adjustment. At 40, a daemon with few queries
    /// of a class did not raise its limit within the 30 s of the simulation.
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

/// Adjusts the limit with additive increase and multiplicative decrease, based on
/// the queueing delay relative to the time until the deadline. Latency is not used
/// as a measure of load: with a large fan-out it is dominated by stragglers.
#[derive(Debug)]
pub(crate) struct Concurrency {
    limit: f64,
    window_start: Timestamp,
    admitted: u32,
    wait_share_sum: f64,
    finished: u32,
    late: u32,
    refused: u32,
    saturated: bool,
    /// Refused queries per finished query in the last window.
    excess: f64,
}

impl Concurrency {
    pub(crate) fn new(settings: &ConcurrencySettings) -> Self {
        Self {
            limit: f64::from(settings.initial),
            window_start: Timestamp::ZERO,
            admitted: 0,
            wait_share_sum: 0.0,
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

    /// Returns the number of refused queries per finished query, which is by how
    /// many query durations more than one a refused caller has to wait on average.
    pub(crate) fn excess(&self) -> f64 {
        self.excess
    }

    /// Returns the limit without rounding.
    pub(crate) fn exact_limit(&self) -> f64 {
        self.limit
    }

    /// Records an admitted query that is expected to spend `wait_share` of its time
    /// in the slowest queue. `in_progress` counts it and the queries with which it
    /// competes.
    pub(crate) fn record_admitted(&mut self, wait_share: f64, in_progress: u32) {
        self.admitted += 1;
        self.wait_share_sum += wait_share;
        if in_progress >= self.limit() {
            self.saturated = true;
        }
    }

    pub(crate) fn record_refused(&mut self) {
        self.refused = self.refused.saturating_add(1);
        self.saturated = true;
    }

    /// Records a finished query; `late` means that it missed its deadline because of
    /// a queue.
    pub(crate) fn record_finished(
        &mut self,
        now: Timestamp,
        late: bool,
        average_latency: Duration,
        settings: &ConcurrencySettings,
    ) {
        self.finished += 1;
        self.late += u32::from(late);
        // An adjustment takes effect after about the duration of a query.
        let window = settings.window.max(average_latency);
        let window_over = now.since(self.window_start) >= window;
        if window_over && self.finished >= settings.min_samples {
            self.adjust(settings);
            self.window_start = now;
        }
    }

    fn adjust(&mut self, settings: &ConcurrencySettings) {
        let late_share = f64::from(self.late) / f64::from(self.finished);
        let wait_share = self.wait_share_sum / f64::from(self.admitted.max(1));
        if wait_share > settings.max_wait_share || late_share > settings.max_late_share {
            self.limit *= settings.decrease_factor;
        } else if self.saturated {
            self.limit += (self.limit * settings.increase_share).max(MIN_INCREASE);
        }
        let min = f64::from(settings.min.max(1));
        self.limit = self.limit.clamp(min, f64::from(settings.max).max(min));
        self.excess = f64::from(self.refused) / f64::from(self.finished);
        self.admitted = 0;
        self.wait_share_sum = 0.0;
        self.finished = 0;
        self.late = 0;
        self.refused = 0;
        self.saturated = false;
    }
}
