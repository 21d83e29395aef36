//! Terms of a search, which accompany each of its parts to other daemons.

use std::{fmt, str::FromStr};

use jasminepond_routes::{ReleaseVersion, Repeat, Route, Search, Target};
use jasminepond_types::Millis;

/// What a route says about a search, except for the names of its shards and the coverage that
/// the asking daemon checks.
///
/// A daemon that handles a part of a search for another one may know an older or a newer
/// release. It uses these terms instead of those of its own route, so that a search is of one
/// release from its first part to its merged answer.
///
/// ```
/// use jasminepond_forward::SearchTerms;
///
/// let text = "release=7 top-k=50 attempts=2 repeat=1 timeout-ms=1200 objective-ms=80 priority=1";
/// let terms: SearchTerms = text.parse().unwrap();
/// assert_eq!((terms.release.0, terms.top_k), (7, 50));
/// assert_eq!(terms.to_string(), text);
/// assert!("release=7 top-k=50".parse::<SearchTerms>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SearchTerms {
    /// Version of the release by which the search is routed.
    pub release: ReleaseVersion,
    /// Maximum number of records in the response.
    pub top_k: usize,
    /// Maximum number of backend servers of one shard that may execute the search.
    pub max_attempts: u32,
    /// Whether a server may execute it after another one has.
    pub repeat: Repeat,
    /// Longest time from the arrival of the search to its response.
    pub timeout: Millis,
    /// Response time within which a response has its full value for the caller.
    pub objective: Millis,
    /// Priority; 0 is the highest.
    pub priority: u32,
}

impl SearchTerms {
    /// The terms of a route, or `None` if its requests are not searches.
    pub(crate) fn of(route: &Route, release: ReleaseVersion) -> Option<Self> {
        let Target::Search(search) = &route.target else {
            return None;
        };
        Some(Self {
            release,
            top_k: search.top_k,
            max_attempts: route.max_attempts,
            repeat: route.repeat,
            timeout: route.timeout,
            objective: route.objective,
            priority: route.priority,
        })
    }

    /// The route with these terms instead of its own.
    pub(crate) fn apply(&self, route: &Route) -> Route {
        let target = match &route.target {
            Target::Search(search) => Target::Search(Search {
                top_k: self.top_k,
                ..search.clone()
            }),
            other => other.clone(),
        };
        Route {
            target,
            max_attempts: self.max_attempts,
            repeat: self.repeat,
            timeout: self.timeout,
            objective: self.objective,
            priority: self.priority,
            ..route.clone()
        }
    }
}

impl fmt::Display for SearchTerms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "release={} top-k={} attempts={} repeat={} timeout-ms={} objective-ms={} priority={}",
            self.release,
            self.top_k,
            self.max_attempts,
            u8::from(self.repeat == Repeat::Allowed),
            self.timeout.0,
            self.objective.0,
            self.priority
        )
    }
}

/// The terms of a search are incomplete or malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the terms of a search are incomplete or malformed")]
pub struct InvalidTerms;

impl FromStr for SearchTerms {
    type Err = InvalidTerms;

    /// Parses the text that [`fmt::Display`] writes, in any order. Unknown fields are ignored,
    /// so that later builds can add some.
    fn from_str(text: &str) -> Result<Self, InvalidTerms> {
        let fields = text.split_ascii_whitespace();
        let fields: Vec<_> = fields.filter_map(|field| field.split_once('=')).collect();
        let number = |name: &str| {
            let field = fields.iter().find(|(known, _)| *known == name);
            let digits = |text: &&str| text.bytes().all(|byte| byte.is_ascii_digit());
            let value = field.map(|(_, value)| *value).filter(digits);
            value
                .and_then(|value| value.parse::<u64>().ok())
                .ok_or(InvalidTerms)
        };
        let small = |name| u32::try_from(number(name)?).map_err(|_| InvalidTerms);
        Ok(Self {
            release: ReleaseVersion(number("release")?),
            top_k: usize::try_from(number("top-k")?).map_err(|_| InvalidTerms)?,
            max_attempts: small("attempts")?,
            repeat: match number("repeat")? {
                0 => Repeat::Never,
                1 => Repeat::Allowed,
                _ => return Err(InvalidTerms),
            },
            timeout: Millis(number("timeout-ms")?),
            objective: Millis(number("objective-ms")?),
            priority: small("priority")?,
        })
    }
}
