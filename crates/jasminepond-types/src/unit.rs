//! Types for numbers: versions, revisions, incarnations, limits and weights.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// A text is not a valid number of the expected type.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not a {what}: {source}")]
pub struct ParseUnitError {
    what: &'static str,
    source: ParseIntError,
}

macro_rules! unit {
    ($(#[$doc:meta])* $name:ident, $int:ty, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl $name {
            /// The value as an integer.
            pub const fn get(self) -> $int {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseUnitError;

            fn from_str(text: &str) -> Result<Self, ParseUnitError> {
                match text.parse() {
                    Ok(n) => Ok(Self(n)),
                    Err(source) => Err(ParseUnitError { what: $what, source }),
                }
            }
        }
    };
}

unit! {
    /// Version of a group's snapshot, incremented by each index build.
    Version, u64, "snapshot version"
}
unit! {
    /// Revision of the whole configuration folder, assigned by the configuration
    /// service. It never decreases.
    Revision, u64, "configuration revision"
}
unit! {
    /// Number of a run of a daemon on an instance. Later runs have higher numbers.
    Incarnation, u64, "incarnation"
}
unit! {
    /// Id of a query, unique within one incarnation of its entry daemon.
    QueryId, u64, "query id"
}
unit! {
    /// Number of requests that a backend server processes concurrently.
    Slots, u32, "number of slots"
}
unit! {
    /// Maximum number of connections that a backend server accepts from all daemons
    /// together.
    ConnectionLimit, u32, "connection limit"
}
unit! {
    /// Relative share of a tenant within its class.
    Weight, u32, "weight"
}

/// CPU capacity available to a daemon, stored in thousandths of a core.
///
/// ```
/// use jasminepond_types::CpuCapacity;
///
/// let cpu: CpuCapacity = "0.12".parse().unwrap();
/// assert_eq!(cpu, CpuCapacity::from_cores(0.12).unwrap());
/// assert_eq!(cpu.to_string(), "0.12 cores");
/// assert!("0".parse::<CpuCapacity>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CpuCapacity(u32);

/// A text or number is not a valid CPU capacity.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not a number of cores between 0.001 and 4,000")]
pub struct ParseCpuCapacityError;

impl Default for CpuCapacity {
    /// One core.
    fn default() -> Self {
        Self(1_000)
    }
}

impl CpuCapacity {
    /// Creates a capacity from a number of cores, rounded to thousandths.
    ///
    /// # Errors
    ///
    /// The number is below 0.001 or above 4,000.
    pub fn from_cores(cores: f64) -> Result<Self, ParseCpuCapacityError> {
        let millicores = (cores * 1_000.0).round();
        if (1.0..=4_000_000.0).contains(&millicores) {
            Ok(Self(millicores as u32))
        } else {
            Err(ParseCpuCapacityError)
        }
    }

    /// The capacity in cores. Never zero, even if another process sent zero.
    pub fn cores(self) -> f64 {
        f64::from(self.0.max(1)) / 1_000.0
    }
}

impl fmt::Display for CpuCapacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} cores", self.cores())
    }
}

impl FromStr for CpuCapacity {
    type Err = ParseCpuCapacityError;

    fn from_str(text: &str) -> Result<Self, ParseCpuCapacityError> {
        let digits = text.strip_suffix("cores").unwrap_or(text).trim();
        Self::from_cores(digits.parse().map_err(|_| ParseCpuCapacityError)?)
    }
}
