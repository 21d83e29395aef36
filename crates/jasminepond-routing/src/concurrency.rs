//! Number of queries in progress that the backend servers can finish in time.

use std::time::Duration;

use jasminepond_types::Timestamp;

/// Settings of the self-adjusting limit on queries in progress.
#[derive(Debug, Clone, PartialEq)]
pub struct ConcurrencySettings {
    /// Limit at the start.
    pub initial: u32,
    /// Lowest limit, at least one.
    pub min: u32,
    /// Highest limit.
    pub max: u32,
    /// Share of its time budget above which a query counts as late. Below 1, so
    /// that the limit falls before deadlines are missed.
    pub late_above: f64,
    /// Share of late queries above which the limit falls.
    pub late_share: f64,
    /// Factor by which the limit falls.
    pub decrease: f64,
    /// Share of the limit by which it rises, at least one query.
    pub increase: f64,
    /// Shortest time between two changes.
    pub window: Duration,
    /// Queries needed for a decision.
    pub samples: u32,
}

impl Default for ConcurrencySettings {
    fn default() -> Self {
        Self {
            initial: 32,
            min: 1,
            max: 10_000,
            late_above: 0.8,
            late_share: 0.05,
            decrease: 0.9,
            increase: 0.02,
            window: Duration::from_millis(100),
            samples: 10,
        }
    }
}

/// Additive increase, multiplicative decrease on the share of queries that use
/// up most of their time. That share measures the queue delay relative to what
/// the callers accept, whatever the fan-out and the service times.
#[derive(Debug)]
pub(crate) struct Concurrency {
    settings: ConcurrencySettings,
    limit: f64,
    window_start: Timestamp,
    finished: u32,
    late: u32,
    refused: u32,
    saturated: bool,
    /// Refused per finished query in the last window.
    excess: f64,
}

impl Concurrency {
    pub(crate) fn new(settings: ConcurrencySettings) -> Self {
        Self {
            limit: f64::from(settings.initial),
            settings,
            window_start: Timestamp::ZERO,
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

    /// A query was admitted and this many are in progress now.
    pub(crate) fn admitted(&mut self, in_progress: u32) {
        if in_progress >= self.limit() {
            self.saturated = true;
        }
    }

    pub(crate) fn refused(&mut self) {
        self.refused = self.refused.saturating_add(1);
        self.saturated = true;
    }

    pub(crate) fn finished(&mut self, now: Timestamp, share_used: f64, latency: Duration) {
        self.finished += 1;
        if share_used > self.settings.late_above {
            self.late += 1;
        }
        let window = self.settings.window.max(latency);
        let over = now.since(self.window_start) >= window;
        if over && self.finished >= self.settings.samples {
            self.adjust();
            self.window_start = now;
        }
    }

    fn adjust(&mut self) {
        let settings = &self.settings;
        let late_share = f64::from(self.late) / f64::from(self.finished);
        if late_share > settings.late_share {
            self.limit *= settings.decrease;
        } else if self.saturated {
            self.limit += (self.limit * settings.increase).max(1.0);
        }
        let min = f64::from(settings.min.max(1));
        self.limit = self.limit.clamp(min, f64::from(settings.max).max(min));
        self.excess = f64::from(self.refused) / f64::from(self.finished);
        self.finished = 0;
        self.late = 0;
        self.refused = 0;
        self.saturated = false;
    }
}
