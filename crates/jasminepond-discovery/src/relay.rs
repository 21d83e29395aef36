//! What a daemon that reads the store passes on to others.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use jasminepond_forward::Backend;
use jasminepond_routes::Release;
use jasminepond_types::{Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{Change, Position};

/// Readings kept for daemons that follow: at most one each 120 ms, so more than a
/// minute of changes.
const MAX_HISTORY: usize = 600;

/// Age of the last answer of the store above which nothing is passed on. A watch
/// takes two seconds and half a second more; a daemon that follows must not
/// believe a state that nobody has confirmed since.
const MAX_AGE: Duration = Duration::from_millis(2_900);

/// The whole state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position up to which changes are in it.
    pub position: Position,
    /// The release, if there is one.
    pub release: Option<Box<Release>>,
    /// All entries.
    pub backends: Vec<Backend>,
    /// How much longer the store may show less than this, after it came back from a copy.
    #[serde(default)]
    pub settles_in: Millis,
}

/// Changes after a position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Position up to which they go.
    pub position: Position,
    /// The changes in order.
    pub changes: Vec<Change>,
}

/// Why nothing is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayError {
    /// This daemon does not read the store, or has not reached it for too long.
    NotCurrent,
    /// The changes after the position are no longer known.
    HistoryGone,
}

/// The state as the store gave it, and the latest changes.
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
    /// Position before the oldest reading of the history.
    oldest: Position,
    position: Position,
    history: VecDeque<Changes>,
    confirmed: Option<Timestamp>,
    settled_at: Timestamp,
}

impl Relay {
    /// The store has answered with these changes up to `position`.
    pub fn record(&mut self, now: Timestamp, position: Position, changes: &[Change]) {
        self.confirmed = Some(now);
        self.take(position, changes);
    }

    /// Another daemon has passed on these changes. They are kept, but only a daemon
    /// that reads the store itself passes anything on.
    pub fn record_relayed(&mut self, position: Position, changes: &[Change]) {
        self.confirmed = None;
        self.take(position, changes);
    }

    /// The store may show less than is known until then.
    pub fn set_settled_at(&mut self, until: Timestamp) {
        self.settled_at = until;
    }

    fn take(&mut self, position: Position, changes: &[Change]) {
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
            // The state was read anew from an earlier position.
            self.history.clear();
            self.oldest = position;
        } else if !changes.is_empty() {
            self.history.push_back(Changes {
                position,
                changes: changes.to_vec(),
            });
            while self.history.len() > MAX_HISTORY {
                if let Some(dropped) = self.history.pop_front() {
                    self.oldest = dropped.position;
                }
            }
        }
        self.position = position;
    }

    fn check(&self, now: Timestamp) -> Result<(), RelayError> {
        match self.confirmed {
            Some(confirmed) if now.since(confirmed) <= MAX_AGE => Ok(()),
            _ => Err(RelayError::NotCurrent),
        }
    }

    /// The whole state.
    ///
    /// # Errors
    ///
    /// This daemon is not current.
    pub fn snapshot(&self, now: Timestamp) -> Result<Snapshot, RelayError> {
        self.check(now)?;
        Ok(Snapshot {
            position: self.position,
            release: self.release.clone(),
            backends: self.backends.values().cloned().collect(),
            settles_in: self.settled_at.since(now).into(),
        })
    }

    /// The changes after a position; none if there are none yet.
    ///
    /// # Errors
    ///
    /// This daemon is not current, or no longer knows the changes.
    pub fn changes(&self, now: Timestamp, after: Position) -> Result<Changes, RelayError> {
        self.check(now)?;
        if after < self.oldest {
            return Err(RelayError::HistoryGone);
        }
        let newer = self
            .history
            .iter()
            .filter(|reading| reading.position > after);
        Ok(Changes {
            position: self.position.max(after),
            changes: newer.flat_map(|reading| reading.changes.clone()).collect(),
        })
    }
}
