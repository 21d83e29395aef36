//! Token bucket of a process.

use std::time::Duration;

use jasminepond_types::Timestamp;

use crate::{RateLimit, warm_up};

/// Time before a new bucket grants its first permit. Another daemon may still grant some
/// until all daemons agree on the coordinator.
const HOLD_OFF: Duration = Duration::from_millis(250);

/// Requests of this time may be granted at once.
const BURST: Duration = Duration::from_millis(100);

/// Lowest rate of permits. A process that states a limit of zero gets a request now and
/// then, since only a response can lift the limit.
const MIN_PER_SECOND: f64 = 0.2;

/// Grants permits at a rate. Permits that are not available yet can be granted ahead of
/// time, so that requests of different daemons are served in the order in which the daemons
/// ask.
#[derive(Debug)]
pub(crate) struct Allocator {
    /// When the next permit becomes available.
    next: Timestamp,
    /// Requests of this time may be granted at once.
    burst: Duration,
    /// Time between two permits at the rate of the last grant.
    interval: Option<Duration>,
}

impl Allocator {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            next: now + HOLD_OFF,
            burst: BURST,
            interval: None,
        }
    }

    /// The bucket of a process that is cold.
    pub(crate) fn while_cold(now: Timestamp) -> Self {
        Self {
            next: now + warm_up::HOLD_OFF,
            burst: warm_up::BURST,
            interval: None,
        }
    }

    /// Grants up to `count` permits that become available within `wait`. Returns the delay
    /// of each.
    pub(crate) fn grant(
        &mut self,
        now: Timestamp,
        limit: RateLimit,
        share: f64,
        count: u16,
        wait: Duration,
    ) -> Vec<Duration> {
        if share <= 0.0 {
            return Vec::new();
        }
        let per_second = limit.per_second().max(MIN_PER_SECOND) * share;
        let interval = Duration::from_secs_f64(1.0 / per_second);
        if let Some(before) = self.interval.replace(interval) {
            // The wait for permits that were granted ahead scales with the rate.
            let left = self.next.since(now);
            self.next = self.next.min(now) + left.mul_f64(interval.div_duration_f64(before));
        }
        self.next = self.next.max(now - self.burst.saturating_sub(interval));
        let mut delays = Vec::new();
        while delays.len() < usize::from(count) && self.next.since(now) <= wait {
            delays.push(self.next.since(now));
            self.next = self.next + interval;
        }
        delays
    }

    /// Time until the next permit becomes available.
    pub(crate) fn next_in(&self, now: Timestamp) -> Duration {
        self.next.since(now)
    }
}
