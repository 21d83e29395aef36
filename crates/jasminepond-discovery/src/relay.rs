//! State and changes that a daemon which reads the store serves to other daemons.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use jasminepond_forward::{Backend, EvacuatedZones};
use jasminepond_routes::{Release, ReleaseVersion};
use jasminepond_types::{Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{Change, Position};

/// Longest time since the last response of the store in which the state is served. A
/// watch takes two seconds plus up to half a second, and a follower must not rely on a
/// state that nobody has confirmed since.
const MAX_AGE: Duration = Duration::from_millis(2_900);

/// Shortest time after which a follower asks again whether the store has settled.
const MIN_SETTLE_TIME: Duration = Duration::from_millis(100);

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
    /// Time for which this may still include entries that the store lacks, or lack some,
    /// after the store was restored from a backup.
    #[serde(default)]
    pub settles_in: Millis,
    /// Age of the state. Earlier builds do not state it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirmation: Option<Confirmation>,
    /// Evacuated zones. Earlier builds do not state them, which does not mean that there
    /// are none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuated: Option<EvacuatedZones>,
}

/// Changes after a position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Position of the last change.
    pub position: Position,
    /// Changes, in order.
    pub changes: Vec<Change>,
    /// Whether some of them are the differences between two listings, which lack what was
    /// written and removed in between.
    #[serde(default)]
    pub listed: bool,
    /// Version of the release in the state. A daemon that knew a release before the store was
    /// restored relays no change when the store gets it again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub release: Option<ReleaseVersion>,
    /// Time for which the state may still differ from that of the store after it was
    /// restored from a backup.
    #[serde(default)]
    pub settles_in: Millis,
    /// Age of the state. Earlier builds do not state it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirmation: Option<Confirmation>,
    /// Evacuated zones at the position. Earlier builds do not state them, which does not mean that there
    /// are none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuated: Option<EvacuatedZones>,
}

/// Why a request of another daemon cannot be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayError {
    /// The store has not confirmed the state of this daemon for too long, or never.
    NotCurrent,
    /// The changes after the position are no longer kept.
    HistoryGone,
}

/// What holds for a state that is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Publication {
    /// Position of the last change that the state includes.
    pub position: Position,
    /// Time for which the store confirmed the state.
    pub confirmed_at: Timestamp,
    /// Whether this daemon reads the store itself.
    pub reads_store: bool,
    /// Whether the state was listed since the last publication. What was written and removed
    /// in between is not known then.
    pub listed: bool,
    /// Time at which the servers are listed again after the store was restored from a
    /// backup, if that is still to be done.
    pub settles_at: Option<Timestamp>,
}

/// Limits on the changes that are kept for followers. One that needs older ones reads the
/// whole state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryLimits {
    /// Largest number of published states to which the changes are kept.
    pub states: usize,
    /// Largest number of changed entries. An entry takes about 300 bytes.
    pub entries: usize,
}

impl Default for HistoryLimits {
    fn default() -> Self {
        Self {
            // At most one in 120 ms, so this covers more than a minute.
            states: 600,
            entries: 20_000,
        }
    }
}

/// Keeps the state of the store and its latest changes for other daemons.
///
/// A state is published only as a whole, when it is that of the store at its position. So
/// all daemons at one position have the same state, and a follower that has all changes up
/// to it can go on at any other daemon. Changes of a state that is still being read are
/// staged until then.
///
/// ```
/// use jasminepond_discovery::{Accept, Change, Era, Position, Publication, Relay, RelayError};
/// use jasminepond_types::Timestamp;
///
/// let mut relay = Relay::default();
/// let now = Timestamp::from_millis(5);
/// relay.stage([Change::BackendRemoved { id: "a".to_owned(), reason: String::new() }]);
/// assert_eq!(relay.snapshot(now, Accept::AnyAge), Err(RelayError::NotCurrent));
/// let position = Position::new(Era(1), 3);
/// relay.publish(Publication {
///     position,
///     confirmed_at: now,
///     reads_store: true,
///     listed: true,
///     settles_at: None,
/// });
/// assert_eq!(relay.snapshot(now, Accept::AnyAge).unwrap().position, position);
/// ```
#[derive(Debug, Default)]
pub struct Relay {
    release: Option<Box<Release>>,
    backends: BTreeMap<String, Backend>,
    evacuated: EvacuatedZones,
    staged: Staged,
    limits: HistoryLimits,
    /// Position before the first batch of the history.
    history_start: Position,
    history: VecDeque<Batch>,
    /// Number of changed entries in the history.
    history_entries: usize,
    published: Option<Publication>,
}

/// Changes that are not published yet.
#[derive(Debug, Default)]
struct Staged {
    /// The last changes of each entry, in order. A removal is kept with the entry before it:
    /// a daemon that follows does not pass on the removal of an entry that it never had.
    entries: BTreeMap<String, Vec<Change>>,
    release: Option<Box<Release>>,
    /// Why the last release was rejected, if it was.
    refused: Option<String>,
    evacuated: Option<EvacuatedZones>,
}

/// Changes between two published states.
#[derive(Debug)]
struct Batch {
    /// Position of the earlier state.
    after: Position,
    /// Position of the later state.
    position: Position,
    /// Whether these are the differences between the two states. They are not valid for a
    /// state in between, which may have entries that neither of the two has.
    listed: bool,
    /// Changes of entries.
    entries: Vec<Change>,
    /// Whether the release changed. Only the newest one is kept.
    release: bool,
    refused: Option<String>,
}

impl Batch {
    fn is_valid_after(&self, position: Position) -> bool {
        !self.listed || position <= self.after
    }
}

impl Relay {
    /// Creates a relay without state.
    pub fn new(limits: HistoryLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Adds changes to those that are published next.
    pub fn stage(&mut self, changes: impl IntoIterator<Item = Change>) {
        for change in changes {
            match change {
                Change::Release(release) => self.staged.release = Some(release),
                Change::ReleaseRefused { reason } => self.staged.refused = Some(reason),
                Change::Evacuated(zones) => self.staged.evacuated = Some(zones),
                Change::Backend(ref backend) => {
                    let id = backend.id.to_string();
                    self.staged.entries.insert(id, vec![change]);
                }
                Change::BackendRemoved { ref id, .. } => {
                    let changes = self.staged.entries.entry(id.clone()).or_default();
                    changes.truncate(1);
                    changes.push(change);
                }
            }
        }
    }

    /// Publishes the state with all staged changes.
    pub fn publish(&mut self, publication: Publication) {
        let Staged {
            entries,
            release,
            refused,
            evacuated,
        } = std::mem::take(&mut self.staged);
        let Publication {
            position, listed, ..
        } = publication;
        let mut changed = Vec::new();
        for change in entries.into_values().flatten() {
            let differs = self.apply(&change);
            // A listing contains what has not changed as well.
            if differs || !listed {
                changed.push(change);
            }
        }
        let has_release = release.is_some();
        self.release = release.or(self.release.take());
        if let Some(zones) = evacuated {
            self.evacuated = zones;
        }
        match self.followed_from(&publication) {
            Some(after) => self.keep(Batch {
                after,
                position,
                listed,
                entries: changed,
                release: has_release,
                refused,
            }),
            None => {
                self.history.clear();
                self.history_entries = 0;
                self.history_start = position;
            }
        }
        self.published = Some(publication);
    }

    /// Adds a batch to the history, and drops the oldest ones above the limits.
    fn keep(&mut self, batch: Batch) {
        let has_news = batch.release || batch.refused.is_some() || !batch.entries.is_empty();
        if !has_news && !batch.listed {
            return;
        }
        self.history_entries += batch.entries.len();
        self.history.push_back(batch);
        while self.history.len() > self.limits.states || self.history_entries > self.limits.entries
        {
            let Some(dropped) = self.history.pop_front() else {
                return;
            };
            self.history_entries -= dropped.entries.len();
            self.history_start = dropped.position;
        }
    }

    /// Returns the position of the published state if followers can go on from it to the next
    /// one. A restored store numbers its changes anew, and what this daemon knew beside the
    /// store until it settled may not be known to its followers.
    fn followed_from(&self, next: &Publication) -> Option<Position> {
        let published = self.published?;
        let follows = published.position.era == next.position.era
            && published.position <= next.position
            && published.settles_at.is_some() == next.settles_at.is_some();
        follows.then_some(published.position)
    }

    /// Applies a change of an entry and returns whether it made a difference.
    fn apply(&mut self, change: &Change) -> bool {
        match change {
            Change::Backend(backend) => {
                let id = backend.id.to_string();
                self.backends.insert(id, backend.clone()).as_ref() != Some(backend)
            }
            Change::BackendRemoved { id, .. } => self.backends.remove(id).is_some(),
            Change::Release(_) | Change::ReleaseRefused { .. } | Change::Evacuated(_) => false,
        }
    }

    /// Returns the changes of the batches, with only the newest release.
    fn merge(&self, batches: &[&Batch]) -> Vec<Change> {
        let mut changes = Vec::new();
        if batches.iter().any(|batch| batch.release) {
            changes.extend(self.release.clone().map(Change::Release));
        }
        let refused = batches.iter().rev().find_map(|batch| batch.refused.clone());
        changes.extend(refused.map(|reason| Change::ReleaseRefused { reason }));
        for batch in batches {
            changes.extend(batch.entries.iter().cloned());
        }
        changes
    }

    fn check(
        &self,
        now: Timestamp,
        accept: Accept,
    ) -> Result<(Publication, Confirmation), RelayError> {
        let published = self.published.ok_or(RelayError::NotCurrent)?;
        let age = now.since(published.confirmed_at);
        if accept == Accept::Current && (!published.reads_store || age > MAX_AGE) {
            return Err(RelayError::NotCurrent);
        }
        let confirmation = Confirmation {
            age: age.into(),
            held: Millis(0),
        };
        Ok((published, confirmation))
    }

    /// Returns the whole state.
    ///
    /// # Errors
    ///
    /// Fails if the state of this daemon is not accepted.
    pub fn snapshot(&self, now: Timestamp, accept: Accept) -> Result<Snapshot, RelayError> {
        let (published, confirmation) = self.check(now, accept)?;
        Ok(Snapshot {
            position: published.position,
            release: self.release.clone(),
            backends: self.backends.values().cloned().collect(),
            settles_in: settles_in(now, &published),
            confirmation: Some(confirmation),
            evacuated: Some(self.evacuated.clone()),
        })
    }

    /// Returns the changes after a position, which may be none. Its own position is smaller
    /// if this daemon does not know that position yet.
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
        let (published, confirmation) = self.check(now, accept)?;
        if after < self.history_start {
            return Err(RelayError::HistoryGone);
        }
        let newer: Vec<_> = self
            .history
            .iter()
            .filter(|batch| batch.position > after)
            .collect();
        if newer
            .first()
            .is_some_and(|batch| !batch.is_valid_after(after))
        {
            return Err(RelayError::HistoryGone);
        }
        let position = match accept {
            Accept::AnyAge => published.position,
            Accept::Current => published.position.max(after),
        };
        Ok(Changes {
            position,
            release: self.release.as_ref().map(|release| release.version),
            listed: newer.iter().any(|batch| batch.listed),
            changes: self.merge(&newer),
            settles_in: settles_in(now, &published),
            confirmation: Some(confirmation),
            evacuated: Some(self.evacuated.clone()),
        })
    }
}

/// Returns the time until a daemon has listed the servers of a store that was restored.
fn settles_in(now: Timestamp, published: &Publication) -> Millis {
    let settles_at = published.settles_at;
    settles_at.map_or(Millis(0), |at| at.since(now).max(MIN_SETTLE_TIME).into())
}
