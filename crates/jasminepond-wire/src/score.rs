//! Hits and their scores.

use std::{cmp::Ordering, fmt};

use serde::{Deserialize, Deserializer, Serialize, de};

/// Relevance of a hit. Always finite, so that scores have a total order.
///
/// ```
/// use jasminepond_wire::Score;
///
/// assert!(Score::new(2.0).unwrap() > Score::new(-1.5).unwrap());
/// assert!(Score::new(f64::NAN).is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
#[serde(transparent)]
pub struct Score(f64);

/// A score is NaN or infinite. JSON responses cannot carry either.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("score is not a finite number")]
pub struct InvalidScore;

impl Score {
    /// Creates a score from a finite number; negative zero becomes zero.
    ///
    /// # Errors
    ///
    /// `value` is NaN or infinite.
    pub fn new(value: f64) -> Result<Self, InvalidScore> {
        if !value.is_finite() {
            return Err(InvalidScore);
        }
        // Adding zero turns -0.0 into 0.0, which `total_cmp` would order as different.
        Ok(Self(value + 0.0))
    }

    /// The score as a number.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Eq for Score {}

impl PartialOrd for Score {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Score {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl fmt::Display for Score {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl<'de> Deserialize<'de> for Score {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        Self::new(f64::deserialize(d)?).map_err(de::Error::custom)
    }
}

/// A document that matches a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hit {
    /// Id of the matching document, at most [`Hit::MAX_ID_BYTES`] long.
    pub id: Box<str>,
    /// Relevance; a higher score comes first.
    pub score: Score,
}

impl Hit {
    /// Maximum length of an id in bytes. Limits the memory of a response.
    pub const MAX_ID_BYTES: usize = 256;
}
