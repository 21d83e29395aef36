//! Which call to the store comes next.

use std::{collections::HashSet, time::Duration};

use jasminepond_forward::Backend;
use jasminepond_routes::{Release, ReleaseVersion};
use jasminepond_types::{Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{Event, Item, Page, Position, Record, Snapshot, Watched};

/// Settings of the reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReaderSettings {
    /// Longest wait of one watch. A connection that has gone silent is noticed
    /// only when a watch does not return, so this and the time for a call must
    /// be below the time in which a release must be in force.
    pub watch_wait: Duration,
    /// Pause after a watch that brought changes, so that a series of changes is
    /// read in few calls.
    pub watch_pause: Duration,
    /// First pause after a failed call; doubles up to `retry_max`.
    pub retry_min: Duration,
    /// Longest pause after a failed call. Below half a second, so that the state
    /// is current within a second of the store's return.
    pub retry_max: Duration,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_millis(2_000),
            watch_pause: Duration::from_millis(120),
            retry_min: Duration::from_millis(100),
            retry_max: Duration::from_millis(400),
        }
    }
}

/// A call to the store, or a pause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the release.
    ReadRelease {
        /// Whether an answer that is a few seconds old will do.
        stale: bool,
    },
    /// List the backend servers.
    ListBackends {
        /// Key after which the page begins.
        after: Option<String>,
        /// Whether an answer that is a few seconds old will do.
        stale: bool,
    },
    /// Wait for changes.
    Watch {
        /// Position after which changes are wanted.
        after: Position,
        /// Longest wait.
        wait: Millis,
    },
    /// Do nothing until then.
    Pause(Timestamp),
}

/// Why a call brought nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No usable response.
    Unreachable,
    /// The store refused the call for now.
    Busy,
    /// The store no longer has the changes after the asked position.
    HistoryGone,
}

/// Another daemon's state is older than what is known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the other daemon is at position {theirs}, this one at {ours}")]
pub struct Behind {
    /// Position of the other daemon.
    pub theirs: Position,
    /// Position of this daemon.
    pub ours: Position,
}

/// What the daemon is to take over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A newer release.
    Release(Box<Release>),
    /// An entry of a backend server is new or has changed.
    Backend(Backend),
    /// A release cannot be read.
    ReleaseRefused {
        /// What is wrong with it.
        reason: String,
    },
    /// The entry of a backend server has gone, or can no longer be used.
    Gone {
        /// Id of the server.
        id: String,
        /// Why, for the log.
        reason: String,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Release,
    Listing {
        after: Option<String>,
    },
    /// What changed since a reading that may be old is asked for.
    CatchingUp,
    Watching,
}

/// Follows the store: reads everything once, then watches for changes, and reads
/// everything again when the store has dropped the changes in between.
///
/// The first reading may be a few seconds old, which costs the store less; the
/// watch that follows begins at the position of that reading. Only with its first
/// answer is the state complete: until then a server that has left, or a route that was
/// withdrawn, may be in it. A reading after lost history must be current.
///
/// ```
/// use jasminepond_discovery::{Reader, ReaderSettings, Step};
/// use jasminepond_types::Timestamp;
///
/// let reader = Reader::new(ReaderSettings::default());
/// assert_eq!(reader.next(Timestamp::ZERO), Step::ReadRelease { stale: true });
/// ```
#[derive(Debug)]
pub struct Reader {
    settings: ReaderSettings,
    state: State,
    stale: bool,
    position: Position,
    listed: HashSet<String>,
    known: HashSet<String>,
    version: Option<ReleaseVersion>,
    complete: bool,
    pause_until: Timestamp,
    failures: u32,
}

impl Reader {
    /// A reader that has read nothing.
    pub fn new(settings: ReaderSettings) -> Self {
        Self {
            settings,
            state: State::Release,
            stale: true,
            position: Position::default(),
            listed: HashSet::new(),
            known: HashSet::new(),
            version: None,
            complete: false,
            pause_until: Timestamp::ZERO,
            failures: 0,
        }
    }

    /// Whether a release and all backend servers were read at least once.
    pub fn is_complete(&self) -> bool {
        self.complete && self.version.is_some()
    }

    /// Position up to which changes are known.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Failed calls in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// What to do next.
    pub fn next(&self, now: Timestamp) -> Step {
        if now < self.pause_until {
            return Step::Pause(self.pause_until);
        }
        match &self.state {
            State::Release => Step::ReadRelease { stale: self.stale },
            State::Listing { after } => Step::ListBackends {
                after: after.clone(),
                stale: self.stale,
            },
            State::CatchingUp => Step::Watch {
                after: self.position,
                wait: Millis(0),
            },
            State::Watching => Step::Watch {
                after: self.position,
                wait: self.settings.watch_wait.into(),
            },
        }
    }

    /// The release was read; `None` if there is none yet.
    pub fn on_release(
        &mut self,
        now: Timestamp,
        item: Option<Item>,
        position: Position,
    ) -> Vec<Change> {
        self.failures = 0;
        if item.is_none() && self.version.is_none() {
            // The operator has not written one yet.
            self.pause_until = now + self.settings.retry_max;
            return Vec::new();
        }
        self.position = position;
        self.listed.clear();
        self.state = State::Listing { after: None };
        let mut changes = Vec::new();
        if let Some(item) = item {
            self.take(item, &mut changes);
        }
        changes
    }

    /// A page of the listing was read.
    pub fn on_page(&mut self, page: Page) -> Vec<Change> {
        self.failures = 0;
        // The watch begins at the oldest of all readings.
        self.position = self.position.min(page.position);
        let mut changes = Vec::new();
        let last = page.records.last().map(|record| record.key.clone());
        for Record { item, .. } in page.records {
            if let Item::Backend(backend) = &item {
                self.listed.insert(backend.id.to_string());
            }
            self.take(item, &mut changes);
        }
        if page.has_more && last.is_some() {
            self.state = State::Listing { after: last };
            return changes;
        }
        let listed = std::mem::take(&mut self.listed);
        let gone: Vec<_> = self.known.difference(&listed).cloned().collect();
        for id in gone {
            self.gone(id, "not in the listing", &mut changes);
        }
        if self.stale && !self.complete {
            self.state = State::CatchingUp;
        } else {
            self.complete = true;
            self.state = State::Watching;
        }
        changes
    }

    /// Another daemon that reads the store has passed on its whole state.
    ///
    /// # Errors
    ///
    /// The other daemon knows less than this one: servers that have left and routes
    /// that were withdrawn may be in its state.
    pub fn on_snapshot(
        &mut self,
        now: Timestamp,
        snapshot: Snapshot,
    ) -> Result<Vec<Change>, Behind> {
        let Snapshot {
            position,
            release,
            backends,
        } = snapshot;
        if position < self.position {
            return Err(Behind {
                theirs: position,
                ours: self.position,
            });
        }
        let mut changes = self.on_release(now, release.map(Item::Release), position);
        let record = |backend: Backend| Record {
            key: backend.id.to_string(),
            item: Item::Backend(backend),
        };
        changes.extend(self.on_page(Page {
            records: backends.into_iter().map(record).collect(),
            has_more: false,
            position,
        }));
        // It is confirmed by a watch of the other daemon.
        if self.state == State::CatchingUp {
            self.complete = true;
            self.state = State::Watching;
        }
        Ok(changes)
    }

    /// A watch has returned.
    pub fn on_watch(&mut self, now: Timestamp, watched: Watched) -> Vec<Change> {
        self.failures = 0;
        self.position = self.position.max(watched.position);
        if self.state == State::CatchingUp {
            self.complete = true;
            self.state = State::Watching;
        }
        if !watched.events.is_empty() {
            self.pause_until = now + self.settings.watch_pause;
        }
        let mut changes = Vec::new();
        for event in watched.events {
            match event {
                Event::Written(item) => self.take(item, &mut changes),
                Event::BackendRemoved(id) => self.gone(id, "removed", &mut changes),
                Event::Other => {}
            }
        }
        changes
    }

    /// Another daemon has passed on changes that it read.
    pub fn on_relayed(
        &mut self,
        now: Timestamp,
        position: Position,
        relayed: Vec<Change>,
    ) -> Vec<Change> {
        let event = |change| match change {
            Change::Release(release) => Event::Written(Item::Release(release)),
            Change::Backend(backend) => Event::Written(Item::Backend(backend)),
            Change::Gone { id, .. } => Event::BackendRemoved(id),
            Change::ReleaseRefused { reason } => Event::Written(Item::UnusableRelease { reason }),
        };
        let events = relayed.into_iter().map(event).collect();
        self.on_watch(now, Watched { events, position })
    }

    /// A call has failed. Returns the pause that follows.
    pub fn on_failure(&mut self, now: Timestamp, failure: Failure) -> Duration {
        if failure == Failure::HistoryGone {
            self.state = State::Release;
            self.stale = false;
            return Duration::ZERO;
        }
        self.failures = self.failures.saturating_add(1);
        let doubled = self.settings.retry_min * 2_u32.pow(self.failures.min(6) - 1);
        let pause = doubled.min(self.settings.retry_max);
        self.pause_until = now + pause;
        pause
    }

    fn take(&mut self, item: Item, changes: &mut Vec<Change>) {
        match item {
            Item::Release(release) => {
                if self.version.is_none_or(|version| release.version > version) {
                    self.version = Some(release.version);
                    changes.push(Change::Release(release));
                }
            }
            Item::Backend(backend) => {
                self.known.insert(backend.id.to_string());
                changes.push(Change::Backend(backend));
            }
            Item::Unusable { id, reason } => self.gone(id, &reason, changes),
            Item::UnusableRelease { reason } => changes.push(Change::ReleaseRefused { reason }),
            Item::Other => {}
        }
    }

    fn gone(&mut self, id: String, reason: &str, changes: &mut Vec<Change>) {
        if self.known.remove(&id) {
            changes.push(Change::Gone {
                id,
                reason: reason.to_owned(),
            });
        }
    }
}
