//! When to send a second copy of a slow sub-request.

use std::{collections::HashMap, time::Duration};

use jasminepond_dispatch::Quantile;
use jasminepond_types::{GroupId, Timestamp};

use crate::{Deadline, Estimate, HedgeBudget, RetryBudget};

/// Settings of [`Hedging`].
#[derive(Debug, Clone, PartialEq)]
pub struct HedgingSettings {
    /// Quantile of a group's latencies after which a sub-request is hedged.
    pub quantile: f32,
    /// Shortest hedge delay. Below it, the variation of the network would
    /// trigger hedging.
    pub floor: Duration,
    /// Latency assumed for a group before the first response.
    pub initial: Duration,
}

impl Default for HedgingSettings {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            floor: Duration::from_millis(5),
            initial: Duration::from_millis(50),
        }
    }
}

/// A sub-request without a response that may be hedged or retried.
#[derive(Debug, Clone, Copy)]
pub struct ExtraAttempt<'a> {
    /// Group of the query.
    pub group: &'a GroupId,
    /// When the first copy was sent.
    pub sent_at: Timestamp,
    /// Deadline of the query.
    pub deadline: Deadline,
    /// Estimate for the replica that would take the second copy.
    pub target: Estimate,
}

/// Whether to send the second copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Send it; a token was taken from the budget.
    Send,
    /// Ask again at this time if there is still no response.
    Wait {
        /// End of the hedge delay.
        until: Timestamp,
    },
    /// Do not send it now.
    Deny(HedgeDenial),
}

/// Why no second copy is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDenial {
    /// The budget is used up.
    Budget,
    /// The target's queue is longer than one service time.
    Overloaded,
    /// The second copy would not respond before the deadline.
    Late,
}

/// Decides about hedged requests and retries.
///
/// ```
/// use std::time::Duration;
/// use jasminepond_routing::{Deadline, Estimate, HedgeDecision, ExtraAttempt, Hedging, HedgingSettings};
/// use jasminepond_types::Timestamp;
///
/// let mut hedging = Hedging::new(HedgingSettings::default());
/// let group = "pattern-shop".parse().unwrap();
/// let ask = ExtraAttempt {
///     group: &group,
///     sent_at: Timestamp::ZERO,
///     deadline: Deadline::at(Timestamp::from_millis(250)),
///     target: Estimate::default(),
/// };
/// let until = Timestamp::from_millis(50);
/// assert_eq!(hedging.hedge(Timestamp::ZERO, ask), HedgeDecision::Wait { until });
/// assert_eq!(hedging.hedge(until, ask), HedgeDecision::Send);
/// ```
#[derive(Debug)]
pub struct Hedging {
    settings: HedgingSettings,
    hedges: HedgeBudget,
    retries: RetryBudget,
    groups: HashMap<GroupId, Quantile>,
}

impl Hedging {
    /// Hedging with the default budgets.
    pub fn new(settings: HedgingSettings) -> Self {
        Self::with_budgets(settings, HedgeBudget::default(), RetryBudget::default())
    }

    /// Hedging with the given budgets.
    pub fn with_budgets(
        settings: HedgingSettings,
        hedges: HedgeBudget,
        retries: RetryBudget,
    ) -> Self {
        Self {
            settings,
            hedges,
            retries,
            groups: HashMap::new(),
        }
    }

    /// First copies of sub-requests were sent.
    pub fn record_sent(&mut self, sub_requests: u64) {
        self.hedges.record_sent(sub_requests);
        self.retries.record_sent(sub_requests);
    }

    /// A first copy was answered after `latency`, or was given up after it.
    /// Leaving out the ones given up would make the delay too short.
    pub fn record_latency(&mut self, group: &GroupId, latency: Duration) {
        let p = self.settings.quantile;
        match self.groups.get_mut(group) {
            Some(quantile) => quantile.add(p, latency),
            None => {
                let mut quantile = Quantile::starting_at(self.settings.initial);
                quantile.add(p, latency);
                self.groups.insert(group.clone(), quantile);
            }
        }
    }

    /// Time after which a sub-request of the group is hedged.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jasminepond_routing::Hedging;
    ///
    /// let mut hedging = Hedging::new(Default::default());
    /// let group = "pattern-shop".parse().unwrap();
    /// for n in 0..2_000 {
    ///     hedging.record_latency(&group, Duration::from_millis(10 + n % 10));
    /// }
    /// assert!((17..=21).contains(&hedging.delay(&group).as_millis()));
    /// ```
    pub fn delay(&self, group: &GroupId) -> Duration {
        let observed = self.groups.get(group);
        let delay = observed.map_or(self.settings.initial, Quantile::get);
        delay.max(self.settings.floor)
    }

    /// Decides about a second copy of a sub-request without a response.
    pub fn hedge(&mut self, now: Timestamp, ask: ExtraAttempt<'_>) -> HedgeDecision {
        let until = ask.sent_at + self.delay(ask.group);
        if now < until {
            return HedgeDecision::Wait { until };
        }
        if let Some(reason) = refusal(now, &ask, ask.target.is_overloaded_now()) {
            return HedgeDecision::Deny(reason);
        }
        if self.hedges.try_take() {
            HedgeDecision::Send
        } else {
            HedgeDecision::Deny(HedgeDenial::Budget)
        }
    }

    /// Decides about a retry of a sub-request that failed. Never waits.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jasminepond_routing::{Deadline, Estimate, HedgeDecision, ExtraAttempt, Hedging, HedgeDenial};
    /// use jasminepond_types::Timestamp;
    ///
    /// let mut hedging = Hedging::new(Default::default());
    /// let service = Duration::from_millis(10);
    /// let ask = ExtraAttempt {
    ///     group: &"pattern-shop".parse().unwrap(),
    ///     sent_at: Timestamp::ZERO,
    ///     deadline: Deadline::at(Timestamp::from_millis(250)),
    ///     target: Estimate {
    ///         wait: 2 * service,
    ///         service,
    ///         completion: 3 * service,
    ///         ..Default::default()
    ///     },
    /// };
    /// assert_eq!(hedging.retry(Timestamp::ZERO, ask), HedgeDecision::Deny(HedgeDenial::Overloaded));
    /// ```
    pub fn retry(&mut self, now: Timestamp, ask: ExtraAttempt<'_>) -> HedgeDecision {
        // A retry follows a refusal more often than a hedged request does, so an old
        // hint of a queue still counts: with the shorter estimate, retries at twice
        // the capacity delayed the highest class.
        if let Some(reason) = refusal(now, &ask, ask.target.is_overloaded()) {
            return HedgeDecision::Deny(reason);
        }
        if self.retries.try_take() {
            HedgeDecision::Send
        } else {
            HedgeDecision::Deny(HedgeDenial::Budget)
        }
    }

    /// Whether a replica that may be slow can be tried: a hedge could cover it.
    pub fn can_hedge(&self) -> bool {
        self.hedges.has_token()
    }

    /// Forgets groups that are no longer configured.
    pub fn retain(&mut self, mut keep: impl FnMut(&GroupId) -> bool) {
        self.groups.retain(|group, _| keep(group));
    }
}

fn refusal(now: Timestamp, ask: &ExtraAttempt<'_>, overloaded: bool) -> Option<HedgeDenial> {
    if overloaded {
        Some(HedgeDenial::Overloaded)
    } else if ask.deadline.left(now) < ask.target.completion {
        Some(HedgeDenial::Late)
    } else {
        None
    }
}
