//! State and changes that a daemon which reads the store serves to other daemons.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use jasminepond_forward::Backend;
use jasminepond_routes::Release;
use jasminepond_types::{Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{Change, Position};

/// Batches of changes kept for followers. A batch is recorded at most every 120 ms, so
/// this covers more than a minute.
const MAX_HISTORY: usize = 600;

/// Longest time since the last response of the store in which the state is served. A
/// watch takes two seconds plus up to half a second, and a follower must not rely on a
/// state that nobody has confirmed since.
const MAX_AGE: Duration = Duration::from_millis(2_900);

/// The whole state at one position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last change that is included.
    pub position: Position,
    /// Newest release, if any.
    pub release: Option<Box<Release>>,
    /// Entries of all backend servers.
    pub backends: Vec<Backend>,
    /// Time for which the store may still lack some of this after it was restored from a
    /// backup.
    #[serde(default)]
    pub settles_in: Millis,
}

/// Changes after a position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Position of the last change.
    pub position: Position,
    /// Changes, in order.
    pub changes: Vec<Change>,
}

/// Why a request of another daemon cannot be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayError {
    /// This daemon does not read the store itself, or has not reached it for too long.
    NotCurrent,
    /// The changes after the position are no longer kept.
    HistoryGone,
}

/// Keeps the state of the store and its latest changes for other daemons.
///
/// ```
/// use jasminepond_discovery::{Era, Position, Relay, RelayError};
/// use jasminepond_types::Timestamp;
///
/// let mut relay = Relay::default();
/// let now = Timestamp::from_millis(5);
/// assert_eq!(relay.snapshot(now), Err(RelayError::NotCurrent));
/// let position = Position::new(Era(1), 3);
/// relay.record(now, position, &[]);
/// assert_eq!(relay.snapshot(now).unwrap().position, position);
/// ```
#[derive(Debug, Default)]
pub struct Relay {
    release: Option<Box<Release>>,
    backends: BTreeMap<String, Backend>,
    /// Position before the first batch of the history.
    history_start: Position,
    position: Position,
    history: VecDeque<Changes>,
    confirmed_at: Option<Timestamp>,
    settled_at: Timestamp,
}

impl Relay {
    /// Records changes up to `position` that were read from the store.
    pub fn record(&mut self, now: Timestamp, position: Position, changes: &[Change]) {
        self.confirmed_at = Some(now);
        self.apply(position, changes);
    }

    /// Records changes up to `position` that came from another daemon. Nothing is served
    /// until this daemon reads the store itself.
    pub fn record_relayed(&mut self, position: Position, changes: &[Change]) {
        self.confirmed_at = None;
        self.apply(position, changes);
    }

    /// Sets the time until which the store may lack some of the state.
    pub fn set_settled_at(&mut self, until: Timestamp) {
        self.settled_at = until;
    }

    fn apply(&mut self, position: Position, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Release(release) => self.release = Some(release.clone()),
                Change::Backend(backend) => {
                    self.backends
                        .insert(backend.id.to_string(), backend.clone());
                }
                Change::BackendRemoved { id, .. } => {
                    self.backends.remove(id);
                }
                Change::ReleaseRefused { .. } => {}
            }
        }
        if self.position == Position::default() || position < self.position {
            // The whole state was read again, from an earlier position.
            self.history.clear();
            self.history_start = position;
        } else if !changes.is_empty() {
            self.history.push_back(Changes {
                position,
                changes: changes.to_vec(),
            });
            while self.history.len() > MAX_HISTORY {
                if let Some(dropped) = self.history.pop_front() {
                    self.history_start = dropped.position;
                }
            }
        }
        self.position = position;
    }

    fn check_current(&self, now: Timestamp) -> Result<(), RelayError> {
        match self.confirmed_at {
            Some(confirmed_at) if now.since(confirmed_at) <= MAX_AGE => Ok(()),
            _ => Err(RelayError::NotCurrent),
        }
    }

    /// Returns the whole state.
    ///
    /// # Errors
    ///
    /// Fails if the state of this daemon is not current.
    pub fn snapshot(&self, now: Timestamp) -> Result<Snapshot, RelayError> {
        self.check_current(now)?;
        Ok(Snapshot {
            position: self.position,
            release: self.release.clone(),
            backends: self.backends.values().cloned().collect(),
            settles_in: self.settled_at.since(now).into(),
        })
    }

    /// Returns the changes after a position, which may be none.
    ///
    /// # Errors
    ///
    /// Fails if the state of this daemon is not current, or if the changes are no longer
    /// kept.
    pub fn changes(&self, now: Timestamp, after: Position) -> Result<Changes, RelayError> {
        self.check_current(now)?;
        if after < self.history_start {
            return Err(RelayError::HistoryGone);
        }
        let newer = self.history.iter().filter(|batch| batch.position > after);
        Ok(Changes {
            position: self.position.max(after),
            changes: newer.flat_map(|batch| batch.changes.clone()).collect(),
        })
    }
}
