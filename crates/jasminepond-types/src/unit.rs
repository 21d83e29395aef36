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
