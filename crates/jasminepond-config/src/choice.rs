//! Enumerated values, written as one of a fixed set of names.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, de};

/// The string is not one of the allowed names.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{found:?} is not one of {}", .names.join(", "))]
pub struct ParseChoiceError {
    found: String,
    names: &'static [&'static str],
}

macro_rules! choice {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
        pub enum $name {
            $($(#[$vdoc])* $variant,)*
        }

        impl $name {
            /// All names, in the order of the variants.
            pub const NAMES: &'static [&'static str] = &[$($text,)*];

            /// The name used in files.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl FromStr for $name {
            type Err = ParseChoiceError;

            fn from_str(text: &str) -> Result<Self, ParseChoiceError> {
                match text {
                    $($text => Ok(Self::$variant),)*
                    _ => Err(ParseChoiceError { found: text.to_owned(), names: Self::NAMES }),
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = std::borrow::Cow::<'de, str>::deserialize(d)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

choice! {
    /// The operation that requests to a group perform.
    GroupKind {
        /// A search over all services of a snapshot.
        #[default]
        Search = "search",
        /// An operation that runs at most once, on one server.
        Execute = "execute",
    }
}
choice! {
    /// Which daemons connect to a backend server.
    ConnectionMode {
        /// The owner of the server, to which other daemons forward.
        #[default]
        Owner = "owner",
        /// Every daemon, each with a fixed share of the connections.
        Direct = "direct",
    }
}
choice! {
    /// What a search optimizes for when it cannot collect every shard in time.
    Objective {
        /// Respond early, without the slowest shards if necessary.
        #[default]
        Latency = "latency",
        /// Use the whole deadline to collect every shard.
        Coverage = "coverage",
    }
}
choice! {
    /// The minimum severity of the log messages that are written.
    LogLevel {
        /// Only failures that stop the daemon.
        Critical = "critical",
        /// Failures of a request or a component.
        Error = "error",
        /// Conditions that an operator should look at.
        Warn = "warn",
        /// Changes of state.
        #[default]
        Info = "info",
        /// Decisions about single requests.
        Debug = "debug",
        /// Every message and event.
        Trace = "trace",
    }
}
choice! {
    /// The format of log messages.
    LogFormat {
        /// One line of text.
        #[default]
        Text = "text",
        /// One JSON object per line.
        Json = "json",
    }
}
choice! {
    /// The output format of a check.
    OutputFormat {
        /// One line per value or mistake.
        #[default]
        Text = "text",
        /// One JSON object.
        Json = "json",
    }
}
