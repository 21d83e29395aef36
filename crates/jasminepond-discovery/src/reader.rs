//! Which call to the store comes next.

use std::{collections::HashSet, time::Duration};

use jasminepond_forward::Backend;
use jasminepond_routes::{Release, ReleaseVersion};
use jasminepond_types::{Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{
    Era, Event, Item, Page, Position, Record, Snapshot, WatchResult,
    entries::{Entries, Shown},
};

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
    /// Time after the store came back from a copy in which servers write their entries
    /// again, and entries of servers that have left lapse.
    pub settle: Duration,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_millis(2_000),
            watch_pause: Duration::from_millis(120),
            retry_min: Duration::from_millis(30),
            retry_max: Duration::from_millis(400),
            settle: settle_time(Duration::from_millis(1_200)),
        }
    }
}

/// Time in which a store that came back from a copy shows what is: an entry lapses after
/// three heartbeats of its server without a write, and those that live have written again
/// within two seconds.
pub const fn settle_time(heartbeat: Duration) -> Duration {
    heartbeat
        .saturating_mul(3)
        .saturating_add(Duration::from_secs(2))
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

impl Step {
    /// Whether it is a reading whose answer may be a few seconds old.
    pub fn allows_stale(&self) -> bool {
        matches!(
            self,
            Self::ReadRelease { stale: true } | Self::ListBackends { stale: true, .. }
        )
    }
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
    /// The answer is from before the store came back from a copy.
    OldEra,
}

/// What the era that an answer states means for the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraCheck {
    /// It is of the era that is known.
    Same,
    /// The store came back from a copy: the answer is of no use, and everything is read
    /// again.
    Restored {
        /// The era before.
        before: Era,
    },
    /// It is an old answer, to be dropped.
    Old,
}

/// Another daemon's state is older than what is known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the other daemon is at position {theirs}, this one at {ours}")]
pub struct StaleSnapshot {
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
    #[serde(rename = "Gone")]
    BackendRemoved {
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
    /// The era that the store last stated.
    era: Option<Era>,
    listed: HashSet<String>,
    entries: Entries,
    /// Until when the store may show less than is known, after it came back from a copy.
    settled_at: Timestamp,
    /// Whether everything is listed once more when that is over.
    list_again: bool,
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
            era: None,
            listed: HashSet::new(),
            entries: Entries::default(),
            settled_at: Timestamp::ZERO,
            list_again: false,
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

    /// The era that the store last stated.
    pub fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Until when the store may show less than is known. Past if it shows all.
    pub fn settled_at(&self) -> Timestamp {
        self.settled_at
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
            State::Watching if self.list_again && now >= self.settled_at => Step::ListBackends {
                after: None,
                stale: false,
            },
            State::Watching => Step::Watch {
                after: self.position,
                wait: self.watch_wait(now).into(),
            },
        }
    }

    fn watch_wait(&self, now: Timestamp) -> Duration {
        let longest = self.settings.watch_wait;
        match self.list_again {
            true => longest.min(self.settled_at.since(now)),
            false => longest,
        }
    }

    /// The store has stated its era in an answer, which is to be looked at only if it is
    /// [`EraCheck::Same`].
    pub fn on_era(&mut self, now: Timestamp, era: Era) -> EraCheck {
        let before = *self.era.get_or_insert(era);
        if era < before {
            return EraCheck::Old;
        }
        if self.position.era < era {
            self.position = Position::new(era, self.position.change);
        }
        if era == before {
            return EraCheck::Same;
        }
        self.era = Some(era);
        self.position = Position::new(era, 0);
        self.state = State::Release;
        self.stale = false;
        self.failures = 0;
        self.settle(now, self.settings.settle);
        EraCheck::Restored { before }
    }

    /// The store may show less than is known for this long.
    fn settle(&mut self, now: Timestamp, time: Duration) {
        self.settled_at = self.settled_at.max(now + time);
        self.list_again = true;
    }

    fn is_settling(&self, now: Timestamp) -> bool {
        now < self.settled_at
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
        if !self.stale && position < self.position {
            // The store went back without saying so.
            self.settle(now, self.settings.settle);
        }
        self.position = position;
        self.listed.clear();
        self.state = State::Listing { after: None };
        let mut changes = Vec::new();
        if let Some(item) = item {
            self.take(now, item, Shown::Listed, &mut changes);
        }
        changes
    }

    /// A page of the listing was read.
    pub fn on_page(&mut self, now: Timestamp, page: Page) -> Vec<Change> {
        self.failures = 0;
        if self.state == State::Watching {
            // Everything is listed once more.
            self.listed.clear();
            (self.list_again, self.stale) = (false, false);
        }
        // The watch begins at the oldest of all readings.
        self.position = self.position.min(page.position);
        let mut changes = Vec::new();
        let last = page.records.last().map(|record| record.key.clone());
        for Record { item, .. } in page.records {
            if let Item::Backend(backend) = &item {
                self.listed.insert(backend.id.to_string());
            }
            self.take(now, item, Shown::Listed, &mut changes);
        }
        if page.has_more && last.is_some() {
            self.state = State::Listing { after: last };
            return changes;
        }
        let listed = std::mem::take(&mut self.listed);
        // What a copy lacks is written again until it has settled.
        if !self.is_settling(now) {
            for id in self.entries.missing(&listed) {
                self.gone(now, id, "not in the listing", &mut changes);
            }
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
    ) -> Result<Vec<Change>, StaleSnapshot> {
        let Snapshot {
            position,
            release,
            backends,
            settles_in,
        } = snapshot;
        if position < self.position {
            return Err(StaleSnapshot {
                theirs: position,
                ours: self.position,
            });
        }
        if self.era.is_some_and(|era| era < position.era) {
            self.settle(now, self.settings.settle);
        }
        self.era = Some(position.era);
        if settles_in > Millis(0) {
            self.settle(now, settles_in.duration());
        }
        let mut changes = self.on_release(now, release.map(Item::Release), position);
        let record = |backend: Backend| Record {
            key: backend.id.to_string(),
            item: Item::Backend(backend),
        };
        let page = Page {
            records: backends.into_iter().map(record).collect(),
            has_more: false,
            position,
        };
        changes.extend(self.on_page(now, page));
        Ok(changes)
    }

    /// Adds the state of another daemon to what was read of the store. While the store
    /// settles after it came back from a copy, the other daemon knows more; else only its
    /// release may be newer, and its entries are as old as its position.
    ///
    /// # Errors
    ///
    /// The other daemon has not noticed yet that the store came back.
    pub fn merge_snapshot(
        &mut self,
        now: Timestamp,
        view: Snapshot,
    ) -> Result<Vec<Change>, StaleSnapshot> {
        if view.position.era < self.position.era {
            return Err(StaleSnapshot {
                theirs: view.position,
                ours: self.position,
            });
        }
        let mut changes = Vec::new();
        self.on_era(now, view.position.era);
        if let Some(release) = view.release {
            self.take(now, Item::Release(release), Shown::Listed, &mut changes);
        }
        if view.settles_in == Millis(0) {
            return Ok(changes);
        }
        self.settle(now, view.settles_in.duration());
        let mut shown = HashSet::new();
        for backend in view.backends {
            shown.insert(backend.id.to_string());
            if !self.entries.has(&backend) && self.entries.take(&backend, Shown::Listed, true) {
                changes.push(Change::Backend(backend));
            }
        }
        for id in self.entries.missing(&shown) {
            self.gone(now, id, "unknown to another daemon", &mut changes);
        }
        Ok(changes)
    }

    /// Another daemon, which is followed, has confirmed its state by a watch.
    pub fn on_confirmed(&mut self) {
        if self.state == State::CatchingUp {
            self.complete = true;
            self.state = State::Watching;
        }
    }

    /// A watch has returned.
    pub fn on_watch(&mut self, now: Timestamp, watched: WatchResult) -> Vec<Change> {
        self.failures = 0;
        self.position = self.position.max(watched.position);
        self.on_confirmed();
        if !watched.events.is_empty() {
            self.pause_until = now + self.settings.watch_pause;
        }
        let mut changes = Vec::new();
        for event in watched.events {
            match event {
                Event::Written(item) => self.take(now, item, Shown::Written, &mut changes),
                Event::BackendRemoved(id) => self.gone(now, id, "removed", &mut changes),
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
            Change::BackendRemoved { id, .. } => Event::BackendRemoved(id),
            Change::ReleaseRefused { reason } => Event::Written(Item::InvalidRelease { reason }),
        };
        self.era = self.era.max(Some(position.era));
        let events = relayed.into_iter().map(event).collect();
        self.on_watch(now, WatchResult { events, position })
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

    fn take(&mut self, now: Timestamp, item: Item, shown: Shown, changes: &mut Vec<Change>) {
        match item {
            Item::Release(release) => {
                if self.version.is_none_or(|version| release.version > version) {
                    self.version = Some(release.version);
                    changes.push(Change::Release(release));
                }
            }
            Item::Backend(backend) => {
                let restored = self.is_settling(now);
                if self.entries.take(&backend, shown, restored) {
                    changes.push(Change::Backend(backend));
                }
            }
            Item::InvalidBackend { id, reason } => self.gone(now, id, &reason, changes),
            Item::InvalidRelease { reason } => changes.push(Change::ReleaseRefused { reason }),
            Item::Other => {}
        }
    }

    fn gone(&mut self, now: Timestamp, id: String, reason: &str, changes: &mut Vec<Change>) {
        if self.entries.remove(now, &id) {
            changes.push(Change::BackendRemoved {
                id,
                reason: reason.to_owned(),
            });
        }
    }
}
