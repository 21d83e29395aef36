//! A store, and daemons that read it or follow each other, in virtual time.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use jasminepond_discovery::{
    Accept, Change, Era, EraCheck, Event, HistoryLimits, Item, Page, PeerRequest, Position,
    Publication, Reader, ReaderSettings, Record, Relay, RelayError, Step, WatchResult,
};
use jasminepond_forward::{Backend, BackendState, EvacuatedZones};
use jasminepond_routes::{Release, ReleaseVersion};
use jasminepond_types::Timestamp;

use super::backend;

/// Availability zones that are evacuated at times.
pub const ZONES: [&str; 3] = ["za", "zb", "zc"];

/// Small pages, so that every listing takes several calls.
const PAGE_ITEMS: usize = 2;

/// Time that each call takes.
const CALL_TIME: Duration = Duration::from_millis(5);

/// Time after a restore within which live servers and the operator have written again.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// Time after a restore at which the entries of servers that have left expire.
const EXPIRY_TIME: Duration = Duration::from_millis(3_600);

/// Entries by server, the version of the release, and the evacuated zones.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct State {
    pub backends: BTreeMap<String, Backend>,
    pub release: u64,
    pub evacuated: EvacuatedZones,
}

impl State {
    fn apply(&mut self, change: Change) {
        match change {
            Change::Release(release) => self.release = release.version.0,
            Change::Backend(backend) => {
                self.backends.insert(backend.id.to_string(), backend);
            }
            Change::BackendRemoved { id, .. } => {
                self.backends.remove(&id);
            }
            Change::Evacuated(zones) => self.evacuated = zones,
            Change::ReleaseRefused { reason } => panic!("{reason}"),
        }
    }
}

fn release(version: u64) -> Item {
    Item::Release(Box::new(Release {
        version: ReleaseVersion(version),
        ..Release::default()
    }))
}

/// What is still to be written again after a restore.
#[derive(Debug, Clone, PartialEq)]
enum Repair {
    Server(String),
    Release,
    Zones,
}

/// The store, and what its writers know.
#[derive(Debug, Default)]
pub struct Store {
    pub era: u64,
    pub revision: u64,
    pub state: State,
    /// State at each revision.
    pub states: HashMap<Position, State>,
    history: Vec<(u64, Event)>,
    /// Revision after which the history is known.
    history_start: u64,
    backup: (u64, State),
    /// Entries of the servers that live, and the operator's release.
    truth: State,
    repairs: Vec<(Timestamp, Repair)>,
}

impl Store {
    pub fn position(&self) -> Position {
        Position::new(Era(self.era), self.revision)
    }

    fn record(&mut self, event: Event) {
        self.revision += 1;
        self.history.push((self.revision, event));
        self.states.insert(self.position(), self.state.clone());
    }

    fn put(&mut self, entry: Backend) {
        let id = entry.id.to_string();
        self.repairs
            .retain(|(_, repair)| *repair != Repair::Server(id.clone()));
        self.truth.backends.insert(id.clone(), entry.clone());
        self.state.backends.insert(id, entry.clone());
        self.record(Event::Written(Item::Backend(entry)));
    }

    /// Writes the entry of a server: of a new process, of one that drains, or one more.
    pub fn write(&mut self, server: usize, state: BackendState, restarted: bool) {
        let id = format!("server-{server}");
        let before = self.truth.backends.get(&id);
        let mut entry = Backend {
            state,
            ..backend(&id)
        };
        if let Some(before) = before {
            let started = before.started.unwrap_or(0) + u64::from(restarted);
            entry.started = Some(started);
            entry.writes = if restarted { 1 } else { before.writes + 1 };
        } else {
            // A process that starts later.
            entry.started = Some(self.revision + 1_000 * self.era + 2);
        }
        self.put(entry);
    }

    pub fn remove(&mut self, server: usize) {
        let id = format!("server-{server}");
        self.repairs
            .retain(|(_, repair)| *repair != Repair::Server(id.clone()));
        self.truth.backends.remove(&id);
        if self.state.backends.remove(&id).is_some() {
            self.record(Event::BackendRemoved(id));
        }
    }

    pub fn publish(&mut self) {
        self.truth.release += 1;
        self.write_release();
    }

    fn write_release(&mut self) {
        self.repairs
            .retain(|(_, repair)| *repair != Repair::Release);
        self.state.release = self.truth.release;
        self.record(Event::Written(release(self.truth.release)));
    }

    /// Evacuates a zone, or lifts its evacuation.
    pub fn set_evacuated(&mut self, zone: &str, evacuated: bool) {
        match evacuated {
            true => self.truth.evacuated.insert(zone),
            false => self.truth.evacuated.remove(zone),
        };
        self.write_zone(zone);
    }

    fn write_zone(&mut self, zone: &str) {
        if self.truth.evacuated.contains(zone) {
            self.state.evacuated.insert(zone);
            let zone = zone.into();
            self.record(Event::Written(Item::Evacuation { zone }));
        } else if self.state.evacuated.remove(zone) {
            self.record(Event::EvacuationRemoved(zone.into()));
        }
    }

    /// Discards the history, in some stores with a change of the revision.
    pub fn compact(&mut self, counts: bool) {
        if counts {
            self.record(Event::Other);
        }
        self.history.clear();
        self.history_start = self.revision;
    }

    pub fn back_up(&mut self) {
        self.backup = (self.revision, self.state.clone());
    }

    /// Restores the last backup. What has been written since is written again, and entries
    /// of servers that have left since expire.
    pub fn restore(&mut self, now: Timestamp) {
        (self.revision, self.state) = self.backup.clone();
        self.era += 1;
        self.history.clear();
        self.history_start = self.revision;
        self.states.insert(self.position(), self.state.clone());
        self.repairs.clear();
        let known = self.state.backends.keys();
        let ids: Vec<_> = known.chain(self.truth.backends.keys()).cloned().collect();
        for id in ids {
            let lives = self.truth.backends.contains_key(&id);
            let at = now + if lives { REWRITE_TIME } else { EXPIRY_TIME };
            let repair = (at, Repair::Server(id));
            if !self.repairs.contains(&repair) {
                self.repairs.push(repair);
            }
        }
        if self.state.release != self.truth.release {
            self.repairs.push((now + REWRITE_TIME, Repair::Release));
        }
        if self.state.evacuated != self.truth.evacuated {
            self.repairs.push((now + REWRITE_TIME, Repair::Zones));
        }
    }

    /// Carries out the writes that are due.
    fn repair(&mut self, now: Timestamp) {
        let due = |(at, _): &(Timestamp, Repair)| *at <= now;
        while let Some(index) = self.repairs.iter().position(due) {
            match self.repairs.remove(index).1 {
                Repair::Release => self.write_release(),
                Repair::Zones => {
                    for zone in ZONES {
                        if self.truth.evacuated.contains(zone)
                            != self.state.evacuated.contains(zone)
                        {
                            self.write_zone(zone);
                        }
                    }
                }
                Repair::Server(id) => match self.truth.backends.get(&id).cloned() {
                    Some(mut entry) => {
                        entry.writes += 1;
                        self.put(entry);
                    }
                    None => {
                        if self.state.backends.remove(&id).is_some() {
                            self.record(Event::BackendRemoved(id));
                        }
                    }
                },
            }
        }
    }

    /// Returns the state for a read, of an earlier revision of the era if it may be stale.
    fn read(&self, stale: bool) -> (Position, &State) {
        let lag = if stale { self.revision % 3 } else { 0 };
        let before = Position::new(Era(self.era), self.revision.saturating_sub(lag));
        match self.states.get(&before) {
            Some(state) => (before, state),
            None => (self.position(), &self.state),
        }
    }

    fn page(&self, after: Option<&str>, stale: bool) -> Page {
        let (position, state) = self.read(stale);
        let listed = state.backends.iter();
        let mut listed = listed.filter(|(id, _)| after.is_none_or(|after| id.as_str() > after));
        let records = listed.by_ref().take(PAGE_ITEMS);
        let records = records.map(|(id, backend)| Record {
            key: id.clone(),
            item: Item::Backend(backend.clone()),
        });
        Page {
            records: records.collect(),
            has_more: listed.next().is_some(),
            position,
        }
    }

    fn operator_page(&self, after: Option<&str>, stale: bool) -> Page {
        let (position, state) = self.read(stale);
        let zones = state.evacuated.iter().map(|zone| {
            let key = format!("op/evacuate/{zone}");
            (key, Item::Evacuation { zone: zone.clone() })
        });
        let release = (state.release > 0).then(|| ("op/config".to_owned(), release(state.release)));
        let all = release.into_iter().chain(zones);
        let mut listed = all.filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let records = listed.by_ref().take(PAGE_ITEMS);
        Page {
            records: records.map(|(key, item)| Record { key, item }).collect(),
            has_more: listed.next().is_some(),
            position,
        }
    }

    /// Returns the changes after a position, or `None` if they are not known.
    fn watch(&self, after: Position) -> Option<WatchResult> {
        if after.change < self.history_start || after.change > self.revision {
            return None;
        }
        let newer = self
            .history
            .iter()
            .filter(|(revision, _)| *revision > after.change);
        Some(WatchResult {
            events: newer.map(|(_, event)| event.clone()).collect(),
            position: self.position(),
        })
    }
}

/// Where a daemon reads from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFrom {
    Store,
    Daemon(usize),
}

/// What a step did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Done {
    Paused,
    /// Asked for the changes after the known position.
    Followed,
    /// Asked for the whole state, or a part of it.
    Read,
    Failed,
}

/// A daemon.
pub struct Daemon {
    pub reader: Reader,
    pub relay: Relay,
    pub source: ReadFrom,
    pub published: Option<Publication>,
    /// What the daemon uses.
    pub view: State,
}

impl Default for Daemon {
    fn default() -> Self {
        Self {
            reader: Reader::new(ReaderSettings::default()),
            relay: Relay::new(HistoryLimits {
                states: 3,
                entries: 6,
            }),
            source: ReadFrom::Store,
            published: None,
            view: State::default(),
        }
    }
}

/// A store and its daemons.
pub struct Fleet {
    pub now: Timestamp,
    pub store: Store,
    pub daemons: Vec<Daemon>,
}

impl Fleet {
    pub fn new(daemons: usize) -> Self {
        let mut store = Store {
            revision: 1,
            ..Store::default()
        };
        store.states.insert(store.position(), State::default());
        store.history_start = 1;
        store.publish();
        store.back_up();
        Self {
            now: Timestamp::from_millis(1_000),
            store,
            daemons: (0..daemons).map(|_| Daemon::default()).collect(),
        }
    }

    pub fn pass_time(&mut self, time: Duration) {
        self.now = self.now + time;
        self.store.repair(self.now);
    }

    /// Lets a daemon make its next call.
    pub fn step(&mut self, index: usize) -> Done {
        self.pass_time(CALL_TIME);
        let step = self.daemons[index].reader.next(self.now);
        if matches!(step, Step::Pause(_)) {
            return Done::Paused;
        }
        // As in the gateway, the first reads are those of the store.
        let source = self.daemons[index].source;
        let result = match source {
            ReadFrom::Daemon(other) if !step.allows_stale() => self.ask(index, other, &step),
            _ => self.call_store(index, &step),
        };
        let done = match (&result, &step) {
            (None, _) => Done::Failed,
            (Some(_), Step::Watch { .. }) => Done::Followed,
            (Some(_), _) => Done::Read,
        };
        if let Some(changes) = result {
            self.apply(index, changes);
        }
        done
    }

    fn apply(&mut self, index: usize, changes: Vec<Change>) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        daemon.relay.stage(changes.iter().cloned());
        for change in changes {
            daemon.view.apply(change);
        }
        let reads_store = daemon.source == ReadFrom::Store;
        if let Some(publication) = daemon.reader.take_publication(now, reads_store) {
            daemon.relay.publish(publication);
            daemon.published = Some(publication);
        }
    }

    fn call_store(&mut self, index: usize, step: &Step) -> Option<Vec<Change>> {
        let (now, store) = (self.now, &self.store);
        let reader = &mut self.daemons[index].reader;
        match reader.on_era(now, Era(store.era)) {
            EraCheck::Same => {}
            EraCheck::Restored { .. } => return Some(Vec::new()),
            EraCheck::Old => return None,
        }
        match step {
            Step::ListOperator { after, stale } => {
                let page = store.operator_page(after.as_deref(), *stale);
                Some(reader.on_operator_page(now, page))
            }
            Step::ListBackends { after, stale } => {
                let page = store.page(after.as_deref(), *stale);
                Some(reader.on_page(now, page))
            }
            Step::Watch { after, .. } => match store.watch(*after) {
                Some(watched) => Some(reader.on_watch(now, watched)),
                None => {
                    reader.on_history_gone();
                    None
                }
            },
            Step::Pause(_) => None,
        }
    }

    fn ask(&mut self, index: usize, other: usize, step: &Step) -> Option<Vec<Change>> {
        let now = self.now;
        if !self.daemons[other].reader.is_complete() {
            return None;
        }
        let changes = match self.daemons[index].reader.peer_request(step) {
            PeerRequest::Changes(after) => {
                let relay = &self.daemons[other].relay;
                match relay.changes(now, after, Accept::AnyAge) {
                    Ok(changes) => self.daemons[index].reader.on_changes(now, changes),
                    Err(RelayError::HistoryGone) => {
                        self.daemons[index].reader.on_history_gone();
                        return None;
                    }
                    Err(RelayError::NotCurrent) => return None,
                }
            }
            PeerRequest::Snapshot => {
                let snapshot = self.daemons[other].relay.snapshot(now, Accept::AnyAge);
                let snapshot = snapshot.ok()?;
                self.daemons[index].reader.on_snapshot(now, snapshot)
            }
        };
        let changes = changes.ok()?;
        self.daemons[index].reader.on_confirmed();
        Some(changes)
    }
}
