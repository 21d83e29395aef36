//! A rate of requests.

use std::{fmt, str::FromStr};

/// Rates above this are no limit in practice. Keeps the arithmetic on intervals exact.
const MAX_PER_SECOND: f64 = 1_000_000.0;

/// Number of requests per second that a server accepts from all daemons together.
///
/// ```
/// use jasminepond_ratelimit::RateLimit;
///
/// let limit: RateLimit = "22.5".parse().unwrap();
/// assert_eq!(limit.per_second(), 22.5);
/// assert_eq!(limit.to_string(), "22.5");
/// assert!("-1".parse::<RateLimit>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

/// The text is not a non-negative decimal number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a decimal number of requests per second")]
pub struct ParseRateLimitError;

impl RateLimit {
    /// Creates a limit from a number of requests per second, or returns `None` if it is
    /// negative or not a number. Very large numbers are reduced to a million.
    ///
    /// ```
    /// use jasminepond_ratelimit::RateLimit;
    ///
    /// assert_eq!(RateLimit::new(f64::INFINITY).unwrap().per_second(), 1_000_000.0);
    /// assert_eq!(RateLimit::new(f64::NAN), None);
    /// ```
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second >= 0.0).then(|| Self(per_second.min(MAX_PER_SECOND)))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// The lower of two limits.
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RateLimit {
    type Err = ParseRateLimitError;

    /// Parses digits with an optional decimal point, without sign or exponent.
    fn from_str(text: &str) -> Result<Self, ParseRateLimitError> {
        let text = text.trim();
        let is_decimal = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        let number = text.parse().ok().filter(|_| is_decimal);
        number.and_then(Self::new).ok_or(ParseRateLimitError)
    }
}
