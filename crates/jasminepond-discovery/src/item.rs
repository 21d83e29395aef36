//! Decoded values and changes of the store.

use std::{fmt, num::ParseIntError, str::FromStr, sync::Arc};

use jasminepond_forward::Backend;
use jasminepond_routes::Release;
use serde::{Deserialize, Serialize};

/// Counts how often the store was restored from a backup. Change numbers start again in
/// each era.
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

/// A point in the store's history. Changes are numbered in the order in which they were
/// made, starting again in each era. Any position of a later era is the later one.
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
    /// Era in which the change was made.
    pub era: Era,
    /// Number of the last change.
    pub change: u64,
}

impl Position {
    /// Returns the position after the given change of an era.
    pub const fn new(era: Era, change: u64) -> Self {
        Self { era, change }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.change)
    }
}

/// The text is not a valid position.
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

/// A decoded value of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// The newest release.
    Release(Box<Release>),
    /// The entry of a backend server.
    Backend(Backend),
    /// An entry of a backend server that cannot be decoded.
    InvalidBackend {
        /// Id of the server.
        id: String,
        /// Why it is invalid.
        reason: String,
    },
    /// A release that cannot be decoded; the one in force stays.
    InvalidRelease {
        /// Why it is invalid.
        reason: String,
    },
    /// The operator evacuates an availability zone.
    Evacuation {
        /// The zone.
        zone: Arc<str>,
    },
    /// A value that the daemon does not use.
    Other,
}

/// A value with its key.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Its key. The last one of a page is passed to the next call as the start.
    pub key: String,
    /// The value.
    pub item: Item,
}

/// A change in the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A value was written.
    Written(Item),
    /// The entry of the backend server with this id was removed.
    BackendRemoved(String),
    /// The key that evacuates this availability zone was removed.
    EvacuationRemoved(Arc<str>),
    /// A value that the daemon does not use was removed.
    Other,
}

/// A page of a listing.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// Values in key order.
    pub records: Vec<Record>,
    /// Whether another page follows.
    pub has_more: bool,
    /// The store's position when it answered.
    pub position: Position,
}

/// Response to a watch.
#[derive(Debug, Clone, PartialEq)]
pub struct WatchResult {
    /// Changes, in order.
    pub events: Vec<Event>,
    /// Position after which the next watch continues.
    pub position: Position,
}
