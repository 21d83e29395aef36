//! Monotonic points in time and durations in milliseconds.

use std::{fmt, num::ParseIntError, ops, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// Microseconds since the process started, on a monotonic clock.
///
/// Code that makes decisions receives timestamps as arguments and never reads a clock.
///
/// ```
/// use std::time::Duration;
/// use jasminepond_types::Timestamp;
///
/// let start = Timestamp::from_millis(5);
/// let end = start + Duration::from_millis(2);
/// assert_eq!(end.since(start), Duration::from_millis(2));
/// assert_eq!(start.since(end), Duration::ZERO);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// The point in time `micros` microseconds after the start of the process.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The point in time `millis` milliseconds after the start of the process.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the start of the process.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        let micros = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl ops::Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, d: Duration) -> Self {
        let micros = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}ms", self.0 / 1_000, self.0 % 1_000)
    }
}

/// A duration in whole milliseconds, as used in settings and protocols.
///
/// ```
/// use jasminepond_types::Millis;
///
/// let m: Millis = "250".parse().unwrap();
/// assert_eq!(m.to_string(), "250 ms");
/// assert_eq!(m.duration().as_millis(), 250);
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The duration as a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    /// Rounds up, so that a positive duration never becomes zero.
    fn from(d: Duration) -> Self {
        let millis = d.as_nanos().div_ceil(1_000_000);
        Self(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A text is not a number of milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not a number of milliseconds: {0}")]
pub struct ParseMillisError(#[from] ParseIntError);

impl FromStr for Millis {
    type Err = ParseMillisError;

    fn from_str(text: &str) -> Result<Self, ParseMillisError> {
        let digits = text.strip_suffix("ms").unwrap_or(text).trim_end();
        Ok(Self(digits.parse()?))
    }
}
