//! Counts of the calls to the servers of a service, by which operators see whether the load
//! is even.

use std::time::Duration;

use jasminepond_types::Timestamp;

/// Windows in which calls are counted. A daemon that sends a few calls per second needs
/// minutes until the counts differ by more than chance.
const WINDOW: Duration = Duration::from_secs(300);

/// Mean number of calls per server and window from which the ratio is stated: with fewer,
/// the busiest of equal servers exceeds the mean by a quarter by chance.
const MIN_MEAN: f64 = 50.0;

/// Calls of one daemon to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SendCount {
    since: Timestamp,
    window: u64,
    current: u32,
    last: u32,
    /// All calls.
    pub(crate) total: u64,
}

impl SendCount {
    /// Starts to count for a server that is known from now on.
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            since: now,
            window: window(now),
            current: 0,
            last: 0,
            total: 0,
        }
    }

    /// Counts a call.
    pub(crate) fn record(&mut self, now: Timestamp) {
        let number = window(now);
        if number != self.window {
            self.last = self.in_last_window(number);
            self.current = 0;
            self.window = number;
        }
        self.current += 1;
        self.total += 1;
    }

    /// Calls in the last complete window, or `None` if the server was not known for all of
    /// it.
    pub(crate) fn last(&self, now: Timestamp) -> Option<u32> {
        let number = window(now);
        (window(self.since) + 1 < number).then(|| self.in_last_window(number))
    }

    fn in_last_window(&self, number: u64) -> u32 {
        match number - self.window {
            0 => self.last,
            1 => self.current,
            _ => 0,
        }
    }
}

fn window(now: Timestamp) -> u64 {
    now.as_micros() / WINDOW.as_micros() as u64
}

/// Ratio of the calls of the busiest server to the mean, or `None` if there are too few
/// calls or servers to tell.
pub(crate) fn busiest_over_mean(counts: &[u32]) -> Option<f64> {
    let sum: u32 = counts.iter().sum();
    let mean = f64::from(sum) / counts.len().max(1) as f64;
    let most = counts.iter().max().copied().unwrap_or_default();
    (counts.len() > 1 && mean >= MIN_MEAN).then(|| f64::from(most) / mean)
}
