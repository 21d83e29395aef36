//! Budgets for hedged requests and retries: token buckets that are refilled in
//! proportion to the sub-requests sent.

use std::{fmt, num::ParseFloatError, str::FromStr};

/// Number of units per token. Integer arithmetic keeps a budget exact over any
/// window.
const UNITS_PER_TOKEN: u64 = 1_000_000;

/// Default capacity of a bucket in tokens: a query with 950 shards can hedge 5% of
/// its sub-requests at once.
const DEFAULT_BURST: u32 = 48;

/// A share of sub-requests, in millionths.
///
/// ```
/// use jasminepond_routing::Share;
///
/// let share: Share = "0.05".parse().unwrap();
/// assert_eq!(share, Share::percent(5));
/// assert_eq!(share.to_string(), "0.05");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Share(u32);

impl Share {
    /// Creates a share from a percentage. Values above 100 are capped.
    pub const fn percent(percent: u32) -> Self {
        let percent = if percent > 100 { 100 } else { percent };
        Self(percent * 10_000)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        (f64::from(self.0) / UNITS_PER_TOKEN as f64).fmt(f)
    }
}

impl FromStr for Share {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, ParseFloatError> {
        let share: f64 = text.parse()?;
        Ok(Self(
            (share.clamp(0.0, 1.0) * UNITS_PER_TOKEN as f64).round() as u32,
        ))
    }
}

#[derive(Debug, Clone)]
struct Bucket {
    units: u64,
    capacity: u64,
    share: Share,
}

impl Bucket {
    fn new(share: Share, burst: u32) -> Self {
        let capacity = u64::from(burst) * UNITS_PER_TOKEN;
        Self {
            units: capacity,
            capacity,
            share,
        }
    }

    fn refill(&mut self, sub_requests: u64) {
        let refill = sub_requests.saturating_mul(u64::from(self.share.0));
        self.units = self.units.saturating_add(refill).min(self.capacity);
    }

    fn try_take(&mut self) -> bool {
        match self.units.checked_sub(UNITS_PER_TOKEN) {
            Some(left) => {
                self.units = left;
                true
            }
            None => false,
        }
    }
}

macro_rules! budget {
    ($(#[$doc:meta])* $name:ident, $percent:literal) => {
        $(#[$doc])*
        ///
        /// In any window in which `n` sub-requests are sent, at most `burst + share *
        /// n` tokens can be taken.
        ///
        /// ```
        #[doc = concat!("use jasminepond_routing::{", stringify!($name), ", Share};")]
        ///
        #[doc = concat!("let mut budget = ", stringify!($name), "::new(Share::percent(50), 1);")]
        /// assert!(budget.try_take());
        /// assert!(!budget.try_take());
        /// budget.record_sent(2);
        /// assert!(budget.try_take());
        /// ```
        #[derive(Debug, Clone)]
        pub struct $name(Bucket);

        impl $name {
            /// Creates a budget of `burst` tokens, initially full.
            pub fn new(share: Share, burst: u32) -> Self {
                Self(Bucket::new(share, burst))
            }

            /// Records that first attempts were sent, which refills the budget.
            pub fn record_sent(&mut self, sub_requests: u64) {
                self.0.refill(sub_requests);
            }

            /// Takes one token. Returns `false` if the budget is used up.
            pub fn try_take(&mut self) -> bool {
                self.0.try_take()
            }

            /// Returns whether a token is available.
            pub fn has_token(&self) -> bool {
                self.0.units >= UNITS_PER_TOKEN
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self::new(Share::percent($percent), DEFAULT_BURST)
            }
        }
    };
}

budget! {
    /// Budget for hedged requests, by default 5% of sub-requests.
    HedgeBudget, 5
}
budget! {
    /// Budget for retries, by default 10% of sub-requests.
    RetryBudget, 10
}
