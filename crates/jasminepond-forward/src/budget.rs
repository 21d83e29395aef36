//! Budget for sending a request of a service to a second backend server.

use crate::RepeatSettings;

/// Part of the allowed share that a daemon uses: the rest covers requests that
/// the users count in another window than this daemon.
const USED_SHARE: f64 = 0.85;

/// Part of the allowed slack that all daemons use together, for daemons that
/// join or restart and begin with a full budget.
const USED_SLACK: f64 = 0.7;

/// A daemon's part of the budget that all daemons share.
///
/// Each daemon earns the allowed share for the requests that it received itself,
/// and holds at most its part of the slack. The sum over all daemons then stays
/// within the common budget without any message between them, also while they
/// cannot reach each other.
///
/// ```
/// use jasminepond_forward::{RepeatBudget, RepeatSettings};
///
/// let settings = RepeatSettings { share: 0.2, slack: 20.0, daemons: 7 };
/// let mut budget = RepeatBudget::new(settings);
/// assert!(budget.try_take() && budget.try_take());
/// assert!(!budget.try_take());
/// for _ in 0..6 {
///     budget.earn();
/// }
/// assert!(budget.try_take());
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct RepeatBudget {
    tokens: f64,
    capacity: f64,
    share: f64,
}

impl RepeatBudget {
    /// A full budget.
    pub fn new(settings: RepeatSettings) -> Self {
        let capacity = capacity(settings);
        Self {
            tokens: capacity,
            capacity,
            share: settings.share * USED_SHARE,
        }
    }

    /// Divides the slack anew, after the number of daemons has changed.
    pub fn resize(&mut self, settings: RepeatSettings) {
        self.capacity = capacity(settings);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// A request for the service has arrived.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.capacity);
    }

    /// Takes a token for one repeated send, if there is one.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

fn capacity(settings: RepeatSettings) -> f64 {
    (settings.slack * USED_SLACK / f64::from(settings.daemons.max(1))).max(1.0)
}
