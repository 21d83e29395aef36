//! What the store holds.

use std::{fmt, num::ParseIntError, str::FromStr};

use jasminepond_forward::Backend;
use jasminepond_routes::Release;
use serde::{Deserialize, Serialize};

/// Counts how often the store came back from a copy. Positions begin anew with each.
///
/// ```
/// use jasminepond_discovery::Era;
///
/// let era: Era = "2".parse().unwrap();
/// assert_eq!(era.to_string(), "2");
/// assert!("two".parse::<Era>().is_err());
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.trim().parse().map(Self)
    }
}

/// A point in the store's history: changes are numbered in the order in which they were
/// made, anew in each era. Any position of a later era is the later one.
///
/// ```
/// use jasminepond_discovery::{Era, Position};
///
/// let position: Position = "1.12".parse().unwrap();
/// assert_eq!(position.to_string(), "1.12");
/// assert!(position < Position::new(Era(2), 3));
/// assert!("12".parse::<Position>().is_err());
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// Number of the last change.
    pub change: u64,
}

impl Position {
    /// The position after a change of an era.
    pub const fn new(era: Era, change: u64) -> Self {
        Self { era, change }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.change)
    }
}

/// A text is not a position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not an era and a change with a point between them")]
pub struct PositionError;

impl FromStr for Position {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, PositionError> {
        let (era, change) = text.split_once('.').ok_or(PositionError)?;
        Ok(Self {
            era: era.parse().map_err(|_| PositionError)?,
            change: change.parse().map_err(|_| PositionError)?,
        })
    }
}

/// A value of the store, decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// The newest release.
    Release(Box<Release>),
    /// The entry of a backend server.
    Backend(Backend),
    /// An entry that names no backend server to use: its id and what is wrong.
    InvalidBackend {
        /// Id of the server that the entry is for.
        id: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A release that cannot be read; the one in force stays.
    InvalidRelease {
        /// What is wrong with it.
        reason: String,
    },
    /// Something that this daemon does not use.
    Other,
}

/// A value with its key.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Key under which the next page begins.
    pub key: String,
    /// The value.
    pub item: Item,
}

/// A change of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A value was written.
    Written(Item),
    /// The entry of the backend server with this id was removed.
    BackendRemoved(String),
    /// Something else was removed.
    Other,
}

/// A page of a listing.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The values, ordered by key.
    pub records: Vec<Record>,
    /// Whether another page follows.
    pub has_more: bool,
    /// The store's position when it answered.
    pub position: Position,
}

/// What a watch brought.
#[derive(Debug, Clone, PartialEq)]
pub struct WatchResult {
    /// Changes in order.
    pub events: Vec<Event>,
    /// Where to continue.
    pub position: Position,
}
