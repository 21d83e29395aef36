//! Budget for retries and hedged sends.

use jasminepond_types::Timestamp;

use crate::RepeatSettings;

/// Fraction of the allowed share that a daemon uses. The rest covers requests that the
/// users count in a different window than the daemon.
const USED_SHARE: f64 = 0.85;

/// Fraction of the allowed slack that all daemons use together. The rest covers daemons
/// that join or restart and start with a full budget.
const USED_SLACK: f64 = 0.7;

/// Fraction of the used slack that may be spent at once. The rest is refilled evenly, so
/// that no window exceeds the total.
const BURST: f64 = 0.5;

/// Minimum burst, as far as a daemon's part of the slack allows it. Earned tokens are kept
/// only up to the burst.
const MIN_BURST: f64 = 5.0;

/// This daemon's part of the budget for repeated sends, as a token bucket.
///
/// Each daemon earns the allowed share for the requests that it receives itself, and
/// spends its part of the slack as a burst plus a refill over the window for which the
/// slack is allowed. The sum over all daemons then stays within the common budget without
/// communication, even while daemons cannot reach each other.
///
/// ```
/// use jasminepond_forward::{RepeatBudget, RepeatSettings};
/// use jasminepond_types::Timestamp;
/// use std::time::Duration;
///
/// let settings = RepeatSettings { slack: 100.0, daemons: 7, ..RepeatSettings::default() };
/// let mut budget = RepeatBudget::new(settings);
/// let now = Timestamp::from_millis(1);
/// assert!((0..5).all(|_| budget.try_take(now)));
/// assert!(!budget.try_take(now));
/// for _ in 0..6 {
///     budget.earn();
/// }
/// assert!(budget.try_take(now));
/// assert!(budget.try_take(now + Duration::from_secs(2)));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct RepeatBudget {
    tokens: f64,
    capacity: f64,
    share: f64,
    refill_per_second: f64,
    /// Time up to which tokens were refilled.
    refilled_at: Option<Timestamp>,
}

impl RepeatBudget {
    /// Creates a full budget.
    pub fn new(settings: RepeatSettings) -> Self {
        let (capacity, refill_per_second) = burst_and_refill(settings);
        Self {
            tokens: capacity,
            capacity,
            share: settings.share * USED_SHARE,
            refill_per_second,
            refilled_at: None,
        }
    }

    /// Applies a changed number of daemons. The available tokens do not increase.
    pub fn resize(&mut self, settings: RepeatSettings) {
        (self.capacity, self.refill_per_second) = burst_and_refill(settings);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Adds the allowed share for a request to the service.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.capacity);
    }

    /// Takes a token for one repeated send if one is available.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        let since = self.refilled_at.replace(now).unwrap_or(now);
        let refill = now.since(since).as_secs_f64() * self.refill_per_second;
        self.tokens = (self.tokens + refill).min(self.capacity);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns the burst size and the refill per second.
fn burst_and_refill(settings: RepeatSettings) -> (f64, f64) {
    let own_slack = settings.slack * USED_SLACK / f64::from(settings.daemons.max(1));
    let burst = (own_slack * BURST).max(own_slack.min(MIN_BURST));
    let refill = (own_slack - burst) / settings.window.as_secs_f64().max(1.0);
    (burst.max(1.0), refill)
}
