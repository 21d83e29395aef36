//! Ids assigned by operators: of instances, zones, tenants, servers and so on.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Maximum length of an id in bytes. Limits the size of metric labels and frames.
const MAX_ID_BYTES: usize = 64;

/// A text is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParseIdError {
    /// The text is empty.
    #[error("id is empty")]
    Empty,
    /// The text is longer than 64 bytes.
    #[error("id has {0} bytes, the limit is {MAX_ID_BYTES}")]
    TooLong(usize),
    /// The text contains a character other than `a-z`, `0-9`, `-`, `.` and `_`.
    #[error("id has the character {0:?}, allowed are a-z, 0-9, '-', '.' and '_'")]
    Character(char),
}

fn check(text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(ParseIdError::TooLong(text.len()));
    }
    let allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '.' | '_');
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(ParseIdError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use jasminepond_types::", stringify!($name), ";")]
        #[doc = concat!("let id: ", stringify!($name), " = \"a-1\".parse().unwrap();")]
        /// assert_eq!(id.to_string(), "a-1");
        #[doc = concat!("assert!(\"A 1\".parse::<", stringify!($name), ">().is_err());")]
        /// ```
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
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

id! {
    /// An instance on which a daemon runs.
    InstanceId
}
id! {
    /// An availability zone.
    ZoneId
}
id! {
    /// A region, which contains several availability zones.
    RegionId
}
id! {
    /// A tenant, on whose behalf requests are made.
    TenantId
}
id! {
    /// A class of requests with a common priority, for example recall checks.
    ClassId
}
id! {
    /// A group of services that a search covers.
    GroupId
}
id! {
    /// A service: one shard of a group with its replicas.
    ServiceId
}
id! {
    /// A backend server, which serves one or more shards.
    ServerId
}
