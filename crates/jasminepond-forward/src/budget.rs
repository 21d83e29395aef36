//! Budget for sending a request of a service to a second backend server.

use jasminepond_types::Timestamp;

use crate::RepeatSettings;

/// Part of the allowed share that a daemon uses: the rest covers requests that
/// the users count in another window than this daemon.
const USED_SHARE: f64 = 0.85;

/// Part of the allowed slack that all daemons use together, for daemons that
/// join or restart and begin with a full budget.
const USED_SLACK: f64 = 0.7;

/// Part of the used slack that may be spent at once. The rest comes back evenly, so
/// that any window holds at most the whole.
const BURST: f64 = 0.5;

/// Tokens that may be spent at once if the part of a daemon has as many. What is earned
/// is kept only up to the burst.
const MIN_BURST: f64 = 5.0;

/// A daemon's part of the budget that all daemons share.
///
/// Each daemon earns the allowed share for the requests that it received itself,
/// and holds its part of the slack: a burst, and an income over the window for which
/// the slack is allowed. The sum over all daemons then stays within the common
/// budget without any message between them, also while they cannot reach each other.
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
    per_second: f64,
    /// Up to when income was added.
    updated: Option<Timestamp>,
}

impl RepeatBudget {
    /// A full budget.
    pub fn new(settings: RepeatSettings) -> Self {
        let (capacity, per_second) = burst_and_income(settings);
        Self {
            tokens: capacity,
            capacity,
            share: settings.share * USED_SHARE,
            per_second,
            updated: None,
        }
    }

    /// Divides the slack anew, after the number of daemons has changed. What there
    /// is does not grow by it.
    pub fn resize(&mut self, settings: RepeatSettings) {
        (self.capacity, self.per_second) = burst_and_income(settings);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// A request for the service has arrived.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.capacity);
    }

    /// Takes a token for one repeated send, if there is one.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        let since = self.updated.replace(now).unwrap_or(now);
        let income = now.since(since).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + income).min(self.capacity);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Tokens that may be spent at once, and tokens a second.
fn burst_and_income(settings: RepeatSettings) -> (f64, f64) {
    let part = settings.slack * USED_SLACK / f64::from(settings.daemons.max(1));
    let burst = (part * BURST).max(part.min(MIN_BURST));
    let income = (part - burst) / settings.window.as_secs_f64().max(1.0);
    (burst.max(1.0), income)
}
