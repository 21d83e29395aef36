//! Service times and failure rate of a server.

use std::time::Duration;

use crate::{Ewma, Quantile};

/// Multiple of the 99th percentile of service time after which a connection
/// without progress counts as unresponsive. The percentile covers the one
/// request in a hundred that takes ten times the usual time; the factor adds a
/// margin.
const PROGRESS_FACTOR: u32 = 4;

/// Responses required before service times determine the progress timeout. With
/// fewer, the estimate of the 99th percentile has not converged.
const PROGRESS_SAMPLES: u32 = 100;

/// Multiple of the mean service time at which samples of the mean are capped.
/// Otherwise one response delayed by a pause of seconds would cause all work to
/// be refused for a while.
const OUTLIER_FACTOR: u32 = 16;

/// Failure rate above which the server counts as failing.
const FAILING_RATE: f32 = 0.5;

/// Weight of one outcome in the moving average of the failure rate.
const FAILURE_WEIGHT: f32 = 0.125;

#[derive(Debug)]
pub(crate) struct ServiceStats {
    mean: Ewma,
    median: Quantile,
    p99: Quantile,
    samples: u32,
    failure_rate: f32,
}

impl ServiceStats {
    pub(crate) fn new(initial: Duration) -> Self {
        Self {
            mean: Ewma::starting_at(initial),
            median: Quantile::starting_at(initial),
            p99: Quantile::starting_at(initial),
            samples: 0,
            failure_rate: 0.0,
        }
    }

    pub(crate) fn median(&self) -> Duration {
        self.median.get()
    }

    pub(crate) fn mean(&self) -> Duration {
        self.mean.get().unwrap_or(self.median.get())
    }

    pub(crate) fn sample(&mut self, time: Duration) {
        self.samples = self.samples.saturating_add(1);
        let cap = self.mean() * OUTLIER_FACTOR;
        self.mean.add(time.min(cap));
        self.median.add(0.5, time);
        self.p99.add(0.99, time);
    }

    /// Records a request that ended without a response after `time`. This raises
    /// the progress timeout, so that requests to a server that has become slower
    /// do not time out forever.
    pub(crate) fn record_unfinished(&mut self, time: Duration) {
        self.p99.add(0.99, time);
    }

    /// Time without a response byte after which a request times out; `None`
    /// until there are enough samples.
    pub(crate) fn progress_timeout(&self, floor: Duration) -> Option<Duration> {
        if self.samples < PROGRESS_SAMPLES {
            return None;
        }
        Some((self.p99.get() * PROGRESS_FACTOR).max(floor))
    }

    pub(crate) fn is_failing(&self) -> bool {
        self.failure_rate > FAILING_RATE
    }

    /// Records a success or a failure. Returns whether this one made the server
    /// count as failing.
    pub(crate) fn record_outcome(&mut self, failed: bool) -> bool {
        let was_failing = self.is_failing();
        let outcome = f32::from(u8::from(failed));
        self.failure_rate += (outcome - self.failure_rate) * FAILURE_WEIGHT;
        !was_failing && self.is_failing()
    }
}
