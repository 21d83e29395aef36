//! What the store holds.

use std::{fmt, num::ParseIntError, str::FromStr};

use jasminepond_forward::Backend;
use jasminepond_routes::Release;
use serde::{Deserialize, Serialize};

/// A point in the store's history. Changes are numbered from 1 in the order in
/// which they were made.
///
/// ```
/// use jasminepond_discovery::Position;
///
/// let position: Position = "12".parse().unwrap();
/// assert_eq!(position.to_string(), "12");
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Position(pub u64);

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Position {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
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
    Unusable {
        /// Id of the server that the entry is for.
        id: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A release that cannot be read; the one in force stays.
    UnusableRelease {
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
pub struct Watched {
    /// Changes in order.
    pub events: Vec<Event>,
    /// Where to continue.
    pub position: Position,
}
