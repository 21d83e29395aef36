//! Decides when to hedge or retry a sub-request.

use std::{collections::HashMap, time::Duration};

use jasminepond_dispatch::Quantile;
use jasminepond_types::{GroupId, Timestamp};

use crate::{Deadline, Estimate, HedgeBudget, RetryBudget};

/// Settings of [`Hedging`].
#[derive(Debug, Clone, PartialEq)]
pub struct HedgingSettings {
    /// Quantile of a group's latency that is used as its hedge delay.
    pub quantile: f32,
    /// Shortest hedge delay. With a shorter one, network jitter would trigger
    /// hedged requests.
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

/// A further attempt at a sub-request that is slow or has failed.
#[derive(Debug, Clone, Copy)]
pub struct ExtraAttempt<'a> {
    /// Group of the query.
    pub group: &'a GroupId,
    /// Time at which the first attempt was sent.
    pub sent_at: Timestamp,
    /// Deadline of the query.
    pub deadline: Deadline,
    /// Estimate for the replica to which this attempt would be sent.
    pub target: Estimate,
}

/// Whether to send a hedged request or a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Send it. A token was taken from the budget.
    Send,
    /// Too early: decide again at this time if there is still no response.
    Wait {
        /// End of the hedge delay.
        until: Timestamp,
    },
    /// Do not send it.
    Deny(HedgeDenial),
}

/// Why a hedged request or a retry is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDenial {
    /// The budget is used up.
    Budget,
    /// The wait in the target's queue is longer than one service time.
    Overloaded,
    /// The response is not expected before the deadline.
    Late,
}

/// Decides when to send hedged requests and retries, within their budgets.
///
/// ```
/// use std::time::Duration;
/// use jasminepond_routing::{
///     Deadline, Estimate, ExtraAttempt, HedgeDecision, Hedging, HedgingSettings,
/// };
/// use jasminepond_types::Timestamp;
///
/// let mut hedging = Hedging::new(HedgingSettings::default());
/// let group = "pattern-shop".parse().unwrap();
/// let attempt = ExtraAttempt {
///     group: &group,
///     sent_at: Timestamp::ZERO,
///     deadline: Deadline::at(Timestamp::from_millis(250)),
///     target: Estimate::default(),
/// };
/// let until = Timestamp::from_millis(50);
/// assert_eq!(hedging.hedge(Timestamp::ZERO, attempt), HedgeDecision::Wait { until });
/// assert_eq!(hedging.hedge(until, attempt), HedgeDecision::Send);
/// ```
#[derive(Debug)]
pub struct Hedging {
    settings: HedgingSettings,
    hedges: HedgeBudget,
    retries: RetryBudget,
    groups: HashMap<GroupId, Quantile>,
}

impl Hedging {
    /// Creates a `Hedging` with the default budgets.
    pub fn new(settings: HedgingSettings) -> Self {
        Self::with_budgets(settings, HedgeBudget::default(), RetryBudget::default())
    }

    /// Creates a `Hedging` with the given budgets.
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

    /// Records that first attempts were sent, which refills both budgets.
    pub fn record_sent(&mut self, sub_requests: u64) {
        self.hedges.record_sent(sub_requests);
        self.retries.record_sent(sub_requests);
    }

    /// Records the latency of a first attempt that was answered or abandoned. If
    /// abandoned attempts were left out, the hedge delay would be too short.
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

    /// Returns the hedge delay of the group.
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
        let quantile = self.groups.get(group);
        let delay = quantile.map_or(self.settings.initial, Quantile::get);
        delay.max(self.settings.floor)
    }

    /// Decides whether to hedge a sub-request that has no response yet.
    pub fn hedge(&mut self, now: Timestamp, attempt: ExtraAttempt<'_>) -> HedgeDecision {
        let until = attempt.sent_at + self.delay(attempt.group);
        if now < until {
            return HedgeDecision::Wait { until };
        }
        if let Some(reason) = denial(now, &attempt, attempt.target.is_overloaded_now()) {
            return HedgeDecision::Deny(reason);
        }
        if self.hedges.try_take() {
            HedgeDecision::Send
        } else {
            HedgeDecision::Deny(HedgeDenial::Budget)
        }
    }

    /// Decides whether to retry a failed sub-request. Never returns
    /// [`HedgeDecision::Wait`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use jasminepond_routing::{
    ///     Deadline, Estimate, ExtraAttempt, HedgeDecision, HedgeDenial, Hedging,
    /// };
    /// use jasminepond_types::Timestamp;
    ///
    /// let mut hedging = Hedging::new(Default::default());
    /// let service = Duration::from_millis(10);
    /// let attempt = ExtraAttempt {
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
    /// let denied = HedgeDecision::Deny(HedgeDenial::Overloaded);
    /// assert_eq!(hedging.retry(Timestamp::ZERO, attempt), denied);
    /// ```
    pub fn retry(&mut self, now: Timestamp, attempt: ExtraAttempt<'_>) -> HedgeDecision {
        // Retries follow a refusal more often than hedged requests do, so the queue in
        // the last hint counts in full, even if it is old. With the lower estimate of
        // `is_overloaded_now`, retries at twice the capacity delayed the highest class.
        if let Some(reason) = denial(now, &attempt, attempt.target.is_overloaded()) {
            return HedgeDecision::Deny(reason);
        }
        if self.retries.try_take() {
            HedgeDecision::Send
        } else {
            HedgeDecision::Deny(HedgeDenial::Budget)
        }
    }

    /// Returns whether the budget allows a hedged request, so that a replica that may
    /// be slow can be tried.
    pub fn can_hedge(&self) -> bool {
        self.hedges.has_token()
    }

    /// Drops the state of groups for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&GroupId) -> bool) {
        self.groups.retain(|group, _| keep(group));
    }
}

fn denial(now: Timestamp, attempt: &ExtraAttempt<'_>, overloaded: bool) -> Option<HedgeDenial> {
    if overloaded {
        Some(HedgeDenial::Overloaded)
    } else if attempt.deadline.left(now) < attempt.target.completion {
        Some(HedgeDenial::Late)
    } else {
        None
    }
}
