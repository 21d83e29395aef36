//! Numbers with a meaning: versions, revisions, incarnations and limits.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// A text is not a number of the expected kind.
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
            /// The plain number.
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
    /// Version of a group's snapshot. Rises with each index build.
    Version, u64, "snapshot version"
}
unit! {
    /// Revision of the whole configuration folder, given by the configuration
    /// service. It only rises.
    Revision, u64, "configuration revision"
}
unit! {
    /// One run of a daemon on an instance. A later run has a higher number.
    Incarnation, u64, "incarnation"
}
unit! {
    /// A query, unique within one incarnation of its entry daemon.
    QueryId, u64, "query id"
}
unit! {
    /// Requests that a backend server works on at the same time.
    Slots, u32, "number of slots"
}
unit! {
    /// Connections that a backend server accepts from all daemons together.
    ConnectionLimit, u32, "connection limit"
}
unit! {
    /// Relative share of a tenant within its class.
    Weight, u32, "weight"
}

/// What a daemon has of processors, in thousandths of a core.
///
/// ```
/// use jasminepond_types::CpuCapacity;
///
/// let processor: CpuCapacity = "0.12".parse().unwrap();
/// assert_eq!(processor, CpuCapacity::from_cores(0.12).unwrap());
/// assert_eq!(processor.to_string(), "0.12 cores");
/// assert!("0".parse::<CpuCapacity>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CpuCapacity(u32);

/// A text or number is no share of processors.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not a number of cores between 0.001 and 4,000")]
pub struct ParseCpuCapacityError;

impl Default for CpuCapacity {
    /// A whole core.
    fn default() -> Self {
        Self(1_000)
    }
}

impl CpuCapacity {
    /// Converts from cores, which are rounded to thousandths.
    ///
    /// # Errors
    ///
    /// The number is below 0.001 or above 4,000.
    pub fn from_cores(cores: f64) -> Result<Self, ParseCpuCapacityError> {
        let thousandths = (cores * 1_000.0).round();
        if (1.0..=4_000_000.0).contains(&thousandths) {
            Ok(Self(thousandths as u32))
        } else {
            Err(ParseCpuCapacityError)
        }
    }

    /// In cores. Never zero, also if another process has sent zero.
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
