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

/// How old a state is that a daemon serves to another one.
///
/// ```
/// use jasminepond_discovery::Confirmation;
/// use jasminepond_types::{Millis, Timestamp};
///
/// // The state was confirmed 20 ms before it was served, 300 ms after the request.
/// let confirmation = Confirmation { age: Millis(20), held: Millis(300) };
/// let sent = Timestamp::from_millis(1_000);
/// assert_eq!(confirmation.confirmed_at(sent), Timestamp::from_millis(1_280));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Time since the store last confirmed the state, when it was served.
    pub age: Millis,
    /// Time for which the request waited for changes.
    pub held: Millis,
}

impl Confirmation {
    /// Returns a time for which the state is confirmed, given the time at which it was
    /// requested. The time that the answer took is not known, so it may be earlier than
    /// the actual one.
    pub fn confirmed_at(self, requested_at: Timestamp) -> Timestamp {
        requested_at + self.held.duration() - self.age.duration()
    }
}

/// Which states a daemon accepts from another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accept {
    /// Only one that the other daemon has read from the store itself and lately. Earlier
    /// builds do not know the age of a state, so they get no other.
    Current,
    /// One of any age, which the daemon judges by its [`Confirmation`].
    AnyAge,
}

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
    /// Age of the state. Earlier builds do not state it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirmation: Option<Confirmation>,
}

/// Changes after a position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Position of the last change.
    pub position: Position,
    /// Changes, in order.
    pub changes: Vec<Change>,
    /// Age of the state. Earlier builds do not state it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirmation: Option<Confirmation>,
}

/// Why a request of another daemon cannot be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayError {
    /// The store has not confirmed the state of this daemon for too long, or never.
    NotCurrent,
    /// The changes after the position are no longer kept.
    HistoryGone,
}

/// Keeps the state of the store and its latest changes for other daemons.
///
/// ```
/// use jasminepond_discovery::{Accept, Era, Position, Relay, RelayError};
/// use jasminepond_types::Timestamp;
///
/// let mut relay = Relay::default();
/// let now = Timestamp::from_millis(5);
/// assert_eq!(relay.snapshot(now, Accept::AnyAge), Err(RelayError::NotCurrent));
/// let position = Position::new(Era(1), 3);
/// relay.record(now, position, &[]);
/// assert_eq!(relay.snapshot(now, Accept::AnyAge).unwrap().position, position);
/// ```
#[derive(Debug, Default)]
pub struct Relay {
    release: Option<Box<Release>>,
    backends: BTreeMap<String, Backend>,
    /// Position before the first batch of the history.
    history_start: Position,
    position: Position,
    history: VecDeque<Batch>,
    /// Time for which the store last confirmed the state.
    confirmed_at: Option<Timestamp>,
    /// Whether this daemon reads the store itself.
    reads_store: bool,
    settled_at: Timestamp,
}

/// Changes that were recorded together.
#[derive(Debug)]
struct Batch {
    position: Position,
    changes: Vec<Change>,
}

impl Relay {
    /// Records changes up to `position` that were read from the store, which confirmed the
    /// state at `confirmed_at`.
    pub fn record(&mut self, confirmed_at: Timestamp, position: Position, changes: &[Change]) {
        self.confirmed_at = Some(confirmed_at);
        self.reads_store = true;
        self.apply(position, changes);
    }

    /// Records changes up to `position` that came from another daemon, whose state the store
    /// confirmed at `confirmed_at`.
    pub fn record_relayed(
        &mut self,
        confirmed_at: Timestamp,
        position: Position,
        changes: &[Change],
    ) {
        self.confirmed_at = Some(confirmed_at);
        self.reads_store = false;
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
            self.history.push_back(Batch {
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

    fn check(&self, now: Timestamp, accept: Accept) -> Result<Confirmation, RelayError> {
        let confirmed_at = self.confirmed_at.ok_or(RelayError::NotCurrent)?;
        let age = now.since(confirmed_at);
        if accept == Accept::Current && (!self.reads_store || age > MAX_AGE) {
            return Err(RelayError::NotCurrent);
        }
        Ok(Confirmation {
            age: age.into(),
            held: Millis(0),
        })
    }

    /// Returns the whole state.
    ///
    /// # Errors
    ///
    /// Fails if the state of this daemon is not accepted.
    pub fn snapshot(&self, now: Timestamp, accept: Accept) -> Result<Snapshot, RelayError> {
        let confirmation = self.check(now, accept)?;
        Ok(Snapshot {
            position: self.position,
            release: self.release.clone(),
            backends: self.backends.values().cloned().collect(),
            settles_in: self.settled_at.since(now).into(),
            confirmation: Some(confirmation),
        })
    }

    /// Returns the changes after a position, which may be none.
    ///
    /// # Errors
    ///
    /// Fails if the state of this daemon is not accepted, or if the changes are no longer
    /// kept.
    pub fn changes(
        &self,
        now: Timestamp,
        after: Position,
        accept: Accept,
    ) -> Result<Changes, RelayError> {
        let confirmation = self.check(now, accept)?;
        if after < self.history_start {
            return Err(RelayError::HistoryGone);
        }
        let newer = self.history.iter().filter(|batch| batch.position > after);
        Ok(Changes {
            position: self.position.max(after),
            changes: newer.flat_map(|batch| batch.changes.clone()).collect(),
            confirmation: Some(confirmation),
        })
    }
}
