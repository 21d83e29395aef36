//! Units that are used only by the configuration.

use std::{fmt, num::ParseIntError, str::FromStr};

macro_rules! unit {
    ($(#[$doc:meta])* $name:ident, $int:ty, $suffix:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $int);

        impl $name {
            /// The value as a number.
            pub const fn get(self) -> $int {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $suffix)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.strip_suffix($suffix).unwrap_or(text).parse().map(Self)
            }
        }
    };
}

unit! {
    /// A percentage.
    ///
    /// ```
    /// use jasminepond_config::Percent;
    ///
    /// assert_eq!("5%".parse(), Ok(Percent(5)));
    /// assert_eq!(Percent(5).to_string(), "5%");
    /// ```
    Percent, u32, "%"
}
unit! {
    /// A size in bytes.
    ///
    /// ```
    /// use jasminepond_config::ByteSize;
    ///
    /// assert_eq!("64".parse(), Ok(ByteSize(64)));
    /// assert_eq!(ByteSize(64).to_string(), "64 B");
    /// ```
    ByteSize, u64, " B"
}

impl Percent {
    /// The percentage as a fraction of one.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}
