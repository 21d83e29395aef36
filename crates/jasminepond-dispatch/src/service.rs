//! What the responses of a server say about its speed and its failures.

use std::time::Duration;

use crate::{Ewma, Quantile};

/// Multiple of the 99th percentile of service time after which a connection
/// without progress counts as unresponsive. One request in a hundred takes ten
/// times the usual time, which the percentile covers; this adds a margin.
const PROGRESS_FACTOR: u32 = 4;

/// Responses before the service times are trusted for the progress timeout. At
/// fewer, a 99th percentile has not settled.
const PROGRESS_SAMPLES: u32 = 100;

/// Multiple of the mean service time to which a sample is cut. One response
/// delayed by a pause of seconds would otherwise refuse all work for a while.
const OUTLIER_FACTOR: u32 = 16;

/// Share of recent failures above which the server counts as failing.
const FAILING_SHARE: f32 = 0.5;

/// Weight of one outcome in the share of recent failures.
const FAILURE_WEIGHT: f32 = 0.125;

#[derive(Debug)]
pub(crate) struct Service {
    mean: Ewma,
    median: Quantile,
    p99: Quantile,
    samples: u32,
    failures: f32,
}

impl Service {
    pub(crate) fn new(initial: Duration) -> Self {
        Self {
            mean: Ewma::starting_at(initial),
            median: Quantile::starting_at(initial),
            p99: Quantile::starting_at(initial),
            samples: 0,
            failures: 0.0,
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
        let cut = self.mean() * OUTLIER_FACTOR;
        self.mean.add(time.min(cut));
        self.median.add(0.5, time);
        self.p99.add(0.99, time);
    }

    /// A request took at least this long. The progress timeout follows, so that
    /// a server that became slower is not cut off forever.
    pub(crate) fn at_least(&mut self, time: Duration) {
        self.p99.add(0.99, time);
    }

    /// Time without a response byte after which a request is given up, once
    /// enough responses are known.
    pub(crate) fn progress_timeout(&self, floor: Duration) -> Option<Duration> {
        if self.samples < PROGRESS_SAMPLES {
            return None;
        }
        Some((self.p99.get() * PROGRESS_FACTOR).max(floor))
    }

    pub(crate) fn is_failing(&self) -> bool {
        self.failures > FAILING_SHARE
    }

    /// Counts a success or a failure. Returns whether the server counts as
    /// failing from now on.
    pub(crate) fn outcome(&mut self, failed: bool) -> bool {
        let was_failing = self.is_failing();
        let outcome = f32::from(u8::from(failed));
        self.failures += (outcome - self.failures) * FAILURE_WEIGHT;
        !was_failing && self.is_failing()
    }
}
