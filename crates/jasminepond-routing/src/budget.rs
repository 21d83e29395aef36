//! Budgets for extra requests: token buckets fed by the sub-requests sent.

use std::{fmt, num::ParseFloatError, str::FromStr};

/// Parts of a token. Whole numbers, so that a budget is exact over any window.
const PARTS: u64 = 1_000_000;

/// Tokens that a bucket holds at most by default: one query of 950 shards may
/// hedge 5% of them at once.
const BURST: u32 = 48;

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
    /// A share of whole percent, at most 100.
    pub const fn percent(percent: u32) -> Self {
        let percent = if percent > 100 { 100 } else { percent };
        Self(percent * 10_000)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        (f64::from(self.0) / PARTS as f64).fmt(f)
    }
}

impl FromStr for Share {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, ParseFloatError> {
        let share: f64 = text.parse()?;
        Ok(Self((share.clamp(0.0, 1.0) * PARTS as f64).round() as u32))
    }
}

#[derive(Debug, Clone)]
struct Bucket {
    parts: u64,
    capacity: u64,
    share: Share,
}

impl Bucket {
    fn new(share: Share, burst: u32) -> Self {
        let capacity = u64::from(burst) * PARTS;
        Self {
            parts: capacity,
            capacity,
            share,
        }
    }

    fn sent(&mut self, sub_requests: u64) {
        let fed = sub_requests.saturating_mul(u64::from(self.share.0));
        self.parts = self.parts.saturating_add(fed).min(self.capacity);
    }

    fn try_take(&mut self) -> bool {
        match self.parts.checked_sub(PARTS) {
            Some(rest) => {
                self.parts = rest;
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
        /// Over any window in which `n` sub-requests are sent, at most `burst +
        /// share * n` tokens are taken.
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
            /// A full budget of `burst` tokens.
            pub fn new(share: Share, burst: u32) -> Self {
                Self(Bucket::new(share, burst))
            }

            /// First attempts were sent; they feed the budget.
            pub fn record_sent(&mut self, sub_requests: u64) {
                self.0.sent(sub_requests);
            }

            /// Takes one token if there is one.
            pub fn try_take(&mut self) -> bool {
                self.0.try_take()
            }

            /// Whether there is a token.
            pub fn has_token(&self) -> bool {
                self.0.parts >= PARTS
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self::new(Share::percent($percent), BURST)
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
