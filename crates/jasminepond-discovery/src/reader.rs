//! State machine that follows the store.

use std::{collections::HashSet, time::Duration};

use jasminepond_forward::{Backend, EvacuatedZones};
use jasminepond_routes::{Release, ReleaseVersion};
use jasminepond_types::{Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{
    Changes, Era, Event, Item, Page, Position, Publication, Record, Snapshot, WatchResult,
    entries::{Entries, Observation},
    evacuations::Evacuations,
};

/// Settings of the reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReaderSettings {
    /// Longest wait of one watch. A dead connection is detected only when a watch does not
    /// return, so this plus the timeout of a call must be below the time within which a
    /// release must be in force.
    pub watch_wait: Duration,
    /// Pause after a watch that returned changes, so that a burst of changes takes few
    /// calls.
    pub watch_pause: Duration,
    /// Pause before a release is read again that has not been published yet.
    pub release_pause: Duration,
    /// Time after the store was restored from a backup within which live servers write their
    /// entries again and the entries of servers that have left expire.
    pub settle: Duration,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_millis(2_000),
            watch_pause: Duration::from_millis(120),
            release_pause: Duration::from_millis(400),
            settle: settle_time(Duration::from_millis(1_200)),
        }
    }
}

/// Time after which a store that was restored from a backup is up to date again: an entry
/// expires after three heartbeats without a write, and servers that are alive have written
/// again within two seconds.
pub const fn settle_time(heartbeat: Duration) -> Duration {
    heartbeat
        .saturating_mul(3)
        .saturating_add(Duration::from_secs(2))
}

/// A call to the store, or a pause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// List what the operator has written: the release and the evacuated zones.
    ListOperator {
        /// Key after which the page begins.
        after: Option<String>,
        /// Whether the response may be a few seconds old.
        stale: bool,
    },
    /// List the backend servers.
    ListBackends {
        /// Key after which the page begins.
        after: Option<String>,
        /// Whether the response may be a few seconds old.
        stale: bool,
    },
    /// Wait for changes.
    Watch {
        /// Position after which changes are requested.
        after: Position,
        /// Longest wait.
        wait: Millis,
    },
    /// Make no call until this time.
    Pause(Timestamp),
}

impl Step {
    /// Whether this is a read whose response may be a few seconds old.
    pub fn allows_stale(&self) -> bool {
        matches!(
            self,
            Self::ListOperator { stale: true, .. } | Self::ListBackends { stale: true, .. }
        )
    }
}

/// Result of comparing the era of a response with the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraCheck {
    /// The era is the known one.
    Same,
    /// The store was restored from a backup. The response is ignored, and everything is
    /// read again.
    Restored {
        /// The previous era.
        before: Era,
    },
    /// The response is from an earlier era and is dropped.
    Old,
}

/// Why the state of another daemon is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum UnusableState {
    /// It is older than the state of this one.
    #[error("the other daemon is at position {theirs}, this one at {ours}")]
    Behind {
        /// Position of the other daemon.
        theirs: Position,
        /// Position of this daemon.
        ours: Position,
    },
    /// The other daemon still waits for the store to settle after a restore, and this one
    /// does not.
    #[error("the other daemon waits until the restored store has settled")]
    Unsettled,
    /// The other daemon runs an earlier build, which does not know evacuated zones.
    #[error("the other daemon does not state which zones are evacuated")]
    WithoutZones,
}

/// What a daemon asks another one for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRequest {
    /// The changes after a position.
    Changes(Position),
    /// The whole state.
    Snapshot,
}

/// A change that the daemon applies to its state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// There is a newer release.
    Release(Box<Release>),
    /// The entry of a backend server is new or has changed.
    Backend(Backend),
    /// A release was rejected because it cannot be decoded.
    ReleaseRefused {
        /// Why it is invalid.
        reason: String,
    },
    /// The entry of a backend server was removed or is no longer valid.
    #[serde(rename = "Gone")]
    BackendRemoved {
        /// Id of the server.
        id: String,
        /// Reason, for the log.
        reason: String,
    },
    /// These zones are evacuated, and no others. Never sent to other daemons, since earlier
    /// builds do not know it: [`Changes::evacuated`] takes its place.
    #[serde(skip)]
    Evacuated(EvacuatedZones),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Operator {
        after: Option<String>,
    },
    Listing {
        after: Option<String>,
    },
    /// Waiting for the changes since a read that may have been stale.
    CatchingUp,
    Watching,
}

/// Follows the store: reads everything once, then watches for changes, and reads
/// everything again when the store no longer has the changes in between.
///
/// The first read may return data a few seconds old, which is cheaper for the store. The watch that
/// follows starts at the position of that read, and only its first response makes the
/// state complete: until then the state may include a server that has left or a route that
/// was withdrawn. The reads after lost history must return current data.
///
/// ```
/// use jasminepond_discovery::{Reader, ReaderSettings, Step};
/// use jasminepond_types::Timestamp;
///
/// let reader = Reader::new(ReaderSettings::default());
/// let first = Step::ListOperator { after: None, stale: true };
/// assert_eq!(reader.next(Timestamp::ZERO), first);
/// ```
#[derive(Debug)]
pub struct Reader {
    settings: ReaderSettings,
    state: State,
    allow_stale: bool,
    position: Position,
    /// Largest position of the pages of the last listing. The state may include changes up
    /// to it, so it is that of the store at `position` only once `position` has reached it.
    listed_to: Position,
    /// Last era reported by the store.
    era: Option<Era>,
    listed: HashSet<String>,
    entries: Entries,
    evacuations: Evacuations,
    /// Time until which the store may lack entries after it was restored from a backup.
    settled_at: Timestamp,
    /// Whether the backend servers are listed again after `settled_at`.
    relist: bool,
    /// Whether the store was settled when the current listing began.
    listing_settled: bool,
    /// Whether the state was listed, here or by the daemon that is followed, since the last
    /// publication.
    listed_since: bool,
    version: Option<ReleaseVersion>,
    /// Whether the current listing contains a release, valid or not.
    release_listed: bool,
    complete: bool,
    pause_until: Timestamp,
}

impl Reader {
    /// Creates a reader that has read nothing yet.
    pub fn new(settings: ReaderSettings) -> Self {
        Self {
            settings,
            state: State::Operator { after: None },
            allow_stale: true,
            position: Position::default(),
            listed_to: Position::default(),
            era: None,
            listed: HashSet::new(),
            entries: Entries::default(),
            evacuations: Evacuations::default(),
            settled_at: Timestamp::ZERO,
            relist: false,
            listing_settled: false,
            listed_since: false,
            version: None,
            release_listed: false,
            complete: false,
            pause_until: Timestamp::ZERO,
        }
    }

    /// Whether a release and all backend servers have been read.
    pub fn is_complete(&self) -> bool {
        self.complete && self.version.is_some()
    }

    /// Returns the position up to which changes are known.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the last era reported by the store.
    pub fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Returns what holds for the state, which the caller publishes with all changes so far, or
    /// `None` while it is a mixture of several positions: while a listing is read, and until a
    /// watch has reached its last page.
    pub fn take_publication(
        &mut self,
        confirmed_at: Timestamp,
        reads_store: bool,
    ) -> Option<Publication> {
        if !self.is_of_one_position() {
            return None;
        }
        Some(Publication {
            position: self.position,
            confirmed_at,
            reads_store,
            listed: std::mem::take(&mut self.listed_since),
            settles_at: (!self.is_settled()).then_some(self.settled_at),
        })
    }

    fn is_of_one_position(&self) -> bool {
        self.state == State::Watching && self.position >= self.listed_to
    }

    /// Whether the store lacks no entries because it was restored from a backup. Until then,
    /// the state includes entries that only this daemon knows.
    pub fn is_settled(&self) -> bool {
        !self.relist
    }

    /// Returns what to ask another daemon for, if that is the source for a step. Its changes
    /// can be applied only to the state of one position.
    pub fn peer_request(&self, step: &Step) -> PeerRequest {
        match step {
            Step::Watch { after, .. } if self.complete && self.is_of_one_position() => {
                PeerRequest::Changes(*after)
            }
            _ => PeerRequest::Snapshot,
        }
    }

    /// Returns the next call to make, or a pause.
    pub fn next(&self, now: Timestamp) -> Step {
        if now < self.pause_until {
            return Step::Pause(self.pause_until);
        }
        match &self.state {
            State::Operator { after } => Step::ListOperator {
                after: after.clone(),
                stale: self.allow_stale,
            },
            State::Listing { after } => Step::ListBackends {
                after: after.clone(),
                stale: self.allow_stale,
            },
            State::CatchingUp => Step::Watch {
                after: self.position,
                wait: Millis(0),
            },
            State::Watching if self.relist && now >= self.settled_at => self.relisting(),
            State::Watching => Step::Watch {
                after: self.position,
                wait: self.watch_wait(now).into(),
            },
        }
    }

    /// The first call of the listing after the store has settled. The operator's keys are
    /// listed only if the store may lack an evacuation, which saves a call otherwise.
    fn relisting(&self) -> Step {
        let (after, stale) = (None, false);
        match self.evacuations.has_unconfirmed() {
            true => Step::ListOperator { after, stale },
            false => Step::ListBackends { after, stale },
        }
    }

    fn watch_wait(&self, now: Timestamp) -> Duration {
        let longest = self.settings.watch_wait;
        match self.relist {
            true => longest.min(self.settled_at.since(now)),
            false => longest,
        }
    }

    /// Handles the era of a response. The response itself is processed only if the result
    /// is [`EraCheck::Same`].
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
        self.listed_to = self.position;
        self.state = State::Operator { after: None };
        self.allow_stale = false;
        self.start_settling(now, self.settings.settle);
        EraCheck::Restored { before }
    }

    /// Starts a period in which the store may lack entries.
    fn start_settling(&mut self, now: Timestamp, time: Duration) {
        self.settled_at = self.settled_at.max(now + time);
        self.relist = true;
        self.evacuations.doubt();
    }

    fn is_settling(&self, now: Timestamp) -> bool {
        now < self.settled_at
    }

    /// Handles a page of what the operator has written. The release may be missing.
    pub fn on_operator_page(&mut self, now: Timestamp, page: Page) -> Vec<Change> {
        let position = page.position;
        if matches!(self.state, State::Operator { after: Some(_) }) {
            self.position = self.position.min(position);
            self.listed_to = self.listed_to.max(position);
        } else {
            if !self.allow_stale && position < self.position {
                // The position went back in the same era: the store was restored from a
                // backup without a new era.
                self.start_settling(now, self.settings.settle);
            }
            self.allow_stale &= self.state != State::Watching;
            self.position = position;
            self.start_listing(now, position);
            self.evacuations.start_listing();
            self.release_listed = false;
        }
        let mut changes = Vec::new();
        let last = page.records.last().map(|record| record.key.clone());
        for Record { item, .. } in page.records {
            self.apply(now, item, Observation::Listed, &mut changes);
        }
        if page.has_more && last.is_some() {
            self.state = State::Operator { after: last };
            return changes;
        }
        let settled = self.listing_settled && !self.is_settling(now);
        if self.evacuations.end_listing(settled) {
            changes.push(self.evacuated());
        }
        if self.version.is_none() && !self.release_listed {
            // The operator has not published a release yet.
            self.pause_until = now + self.settings.release_pause;
            self.state = State::Operator { after: None };
            return changes;
        }
        self.state = State::Listing { after: None };
        changes
    }

    fn evacuated(&self) -> Change {
        Change::Evacuated(self.evacuations.zones().clone())
    }

    fn start_listing(&mut self, now: Timestamp, position: Position) {
        self.listed.clear();
        self.listed_to = position;
        self.listing_settled = !self.is_settling(now);
        self.listed_since = true;
    }

    /// Handles a page of the listing.
    pub fn on_page(&mut self, now: Timestamp, page: Page) -> Vec<Change> {
        if self.state == State::Watching {
            // First page of the listing that is repeated after a restore.
            self.start_listing(now, page.position);
            self.allow_stale = false;
        }
        // The watch starts at the oldest of all reads, so that no change between them is
        // missed.
        self.position = self.position.min(page.position);
        self.listed_to = self.listed_to.max(page.position);
        let mut changes = Vec::new();
        let last = page.records.last().map(|record| record.key.clone());
        for Record { item, .. } in page.records {
            if let Item::Backend(backend) = &item {
                self.listed.insert(backend.id.to_string());
            }
            self.apply(now, item, Observation::Listed, &mut changes);
        }
        if page.has_more && last.is_some() {
            self.state = State::Listing { after: last };
            return changes;
        }
        let listed = std::mem::take(&mut self.listed);
        // After a restore, an entry may be missing only because its server has not written it
        // again yet.
        if self.listing_settled && !self.is_settling(now) {
            self.relist = false;
            for id in self.entries.missing(&listed) {
                self.remove_backend(now, id, "not in the listing", &mut changes);
            }
        }
        if self.allow_stale && !self.complete {
            self.state = State::CatchingUp;
        } else {
            self.complete = true;
            self.state = State::Watching;
        }
        changes
    }

    /// Replaces the state by that of another daemon, which reads the store.
    ///
    /// # Errors
    ///
    /// Fails if the other daemon's state is older: it may include servers that have left
    /// and routes that were withdrawn.
    pub fn on_snapshot(
        &mut self,
        now: Timestamp,
        snapshot: Snapshot,
    ) -> Result<Vec<Change>, UnusableState> {
        let Snapshot {
            position,
            release,
            backends,
            settles_in,
            confirmation,
            evacuated,
        } = snapshot;
        if position < self.position {
            return Err(UnusableState::Behind {
                theirs: position,
                ours: self.position,
            });
        }
        if evacuated.is_none() && self.complete {
            return Err(UnusableState::WithoutZones);
        }
        if settles_in > Millis(0) {
            self.start_settling(now, settles_in.duration());
        } else if confirmation.is_some() {
            // The other daemon has listed the servers since the store has settled.
            self.settled_at = self.settled_at.min(now);
        } else if self.era.is_some_and(|era| era < position.era) {
            // Earlier builds do not say whether they have.
            self.start_settling(now, self.settings.settle);
        }
        self.era = Some(position.era);
        let record = |item| Record {
            key: String::new(),
            item,
        };
        let page = |items: Vec<Item>| Page {
            records: items.into_iter().map(record).collect(),
            has_more: false,
            position,
        };
        let known = evacuated.as_ref().unwrap_or(self.evacuations.zones());
        let zones = known
            .iter()
            .map(|zone| Item::Evacuation { zone: zone.clone() });
        let operator = release
            .map(Item::Release)
            .into_iter()
            .chain(zones)
            .collect();
        self.state = State::Operator { after: None };
        let mut changes = self.on_operator_page(now, page(operator));
        if self.state == (State::Operator { after: None }) {
            return Ok(changes);
        }
        let backends = backends.into_iter().map(Item::Backend).collect();
        changes.extend(self.on_page(now, page(backends)));
        if settles_in > Millis(0) {
            // The other daemon may know zones that the store lacks.
            self.evacuations.doubt();
        }
        if evacuated.is_none() {
            // The state serves while there is no other one. Only a listing tells the zones.
            self.on_confirmed();
            self.on_history_gone();
        }
        Ok(changes)
    }

    /// Merges the state of another daemon into the one read from the store. The entries are
    /// merged only while the store settles after a restore from a backup, as the other
    /// daemon then knows more than the store. Otherwise they may be outdated, and only the
    /// release is used if it is newer.
    ///
    /// # Errors
    ///
    /// Fails if the other daemon has not noticed the restore yet.
    pub fn merge_snapshot(
        &mut self,
        now: Timestamp,
        snapshot: Snapshot,
    ) -> Result<Vec<Change>, UnusableState> {
        if snapshot.position.era < self.position.era {
            return Err(UnusableState::Behind {
                theirs: snapshot.position,
                ours: self.position,
            });
        }
        let mut changes = Vec::new();
        self.on_era(now, snapshot.position.era);
        if let Some(release) = snapshot.release {
            self.apply(
                now,
                Item::Release(release),
                Observation::Listed,
                &mut changes,
            );
        }
        if snapshot.settles_in == Millis(0) {
            return Ok(changes);
        }
        self.start_settling(now, snapshot.settles_in.duration());
        if let Some(zones) = &snapshot.evacuated
            && self.evacuations.add_unconfirmed(zones)
        {
            changes.push(self.evacuated());
        }
        let mut listed = HashSet::new();
        for backend in snapshot.backends {
            listed.insert(backend.id.to_string());
            if !self.entries.contains(&backend)
                && self.entries.insert(&backend, Observation::Listed, true)
            {
                changes.push(Change::Backend(backend));
            }
        }
        for id in self.entries.missing(&listed) {
            self.remove_backend(now, id, "unknown to another daemon", &mut changes);
        }
        Ok(changes)
    }

    /// Marks the state as complete once a watch, made here or by the daemon that is followed,
    /// has confirmed it.
    pub fn on_confirmed(&mut self) {
        if self.state == State::CatchingUp {
            self.complete = true;
            self.state = State::Watching;
        }
    }

    /// Handles the response to a watch.
    pub fn on_watch(&mut self, now: Timestamp, watched: WatchResult) -> Vec<Change> {
        self.position = self.position.max(watched.position);
        self.on_confirmed();
        if !watched.events.is_empty() {
            self.pause_until = now + self.settings.watch_pause;
        }
        let mut changes = Vec::new();
        for event in watched.events {
            match event {
                Event::Written(item) => self.apply(now, item, Observation::Written, &mut changes),
                Event::BackendRemoved(id) => self.remove_backend(now, id, "removed", &mut changes),
                Event::EvacuationRemoved(zone) => {
                    if self.evacuations.on_key_removed(&zone) {
                        changes.push(self.evacuated());
                    }
                }
                Event::Other => {}
            }
        }
        changes
    }

    /// Handles changes that another daemon has read from the store.
    ///
    /// # Errors
    ///
    /// Fails if the other daemon's state is not at least as current. That may change with
    /// its next read.
    pub fn on_changes(
        &mut self,
        now: Timestamp,
        relayed: Changes,
    ) -> Result<Vec<Change>, UnusableState> {
        let Changes {
            position,
            changes,
            listed,
            release,
            settles_in,
            confirmation: _,
            evacuated,
        } = relayed;
        if position < self.position {
            return Err(UnusableState::Behind {
                theirs: position,
                ours: self.position,
            });
        }
        let Some(evacuated) = evacuated else {
            return Err(UnusableState::WithoutZones);
        };
        if settles_in > Millis(0) && self.is_settled() {
            return Err(UnusableState::Unsettled);
        }
        if self.era.is_some_and(|era| era < position.era) {
            // Only earlier builds relay changes across a restore.
            self.start_settling(now, self.settings.settle);
        }
        self.era = self.era.max(Some(position.era));
        self.listed_since |= listed;
        let event = |change| match change {
            Change::Release(release) => Event::Written(Item::Release(release)),
            Change::Backend(backend) => Event::Written(Item::Backend(backend)),
            Change::BackendRemoved { id, .. } => Event::BackendRemoved(id),
            Change::ReleaseRefused { reason } => Event::Written(Item::InvalidRelease { reason }),
            Change::Evacuated(_) => Event::Other,
        };
        let events = changes.into_iter().map(event).collect();
        let mut changes = self.on_watch(now, WatchResult { events, position });
        // While the store settles, either daemon may know zones that the other one does not.
        let is_news = match self.is_settled() {
            true => self.evacuations.replace(evacuated),
            false => self.evacuations.add_unconfirmed(&evacuated),
        };
        if is_news {
            changes.push(self.evacuated());
        }
        if release > self.version {
            self.on_history_gone();
        }
        Ok(changes)
    }

    /// Handles lost history: the source no longer has the changes after the position, and
    /// everything is read again.
    pub fn on_history_gone(&mut self) {
        self.state = State::Operator { after: None };
        self.allow_stale = false;
    }

    fn apply(
        &mut self,
        now: Timestamp,
        item: Item,
        observation: Observation,
        changes: &mut Vec<Change>,
    ) {
        self.release_listed |= matches!(item, Item::Release(_) | Item::InvalidRelease { .. });
        match item {
            Item::Release(release) => {
                if self.version.is_none_or(|version| release.version > version) {
                    self.version = Some(release.version);
                    changes.push(Change::Release(release));
                }
            }
            Item::Backend(backend) => {
                let restored = self.is_settling(now);
                if self.entries.insert(&backend, observation, restored) {
                    changes.push(Change::Backend(backend));
                }
            }
            Item::InvalidBackend { id, reason } => self.remove_backend(now, id, &reason, changes),
            Item::InvalidRelease { reason } => changes.push(Change::ReleaseRefused { reason }),
            Item::Evacuation { zone } => {
                if self.evacuations.on_key(&zone) {
                    changes.push(self.evacuated());
                }
            }
            Item::Other => {}
        }
    }

    fn remove_backend(
        &mut self,
        now: Timestamp,
        id: String,
        reason: &str,
        changes: &mut Vec<Change>,
    ) {
        if self.entries.remove(now, &id) {
            changes.push(Change::BackendRemoved {
                id,
                reason: reason.to_owned(),
            });
        }
    }
}
