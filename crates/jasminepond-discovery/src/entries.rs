//! Tracks the known entries of backend servers and detects outdated ones.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use jasminepond_forward::Backend;
use jasminepond_types::Timestamp;

/// How long a removed entry is remembered. A backup of the store is only some seconds old,
/// so it holds no entry that was removed before that.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Orders the entries of one server: by the start of its process, then by the number of
/// writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct EntryVersion {
    started: Option<u64>,
    writes: u64,
}

impl EntryVersion {
    fn of(backend: &Backend) -> Self {
        Self {
            started: backend.started,
            writes: backend.writes,
        }
    }

    fn is_before(self, other: Self) -> bool {
        match (self.started, other.started) {
            (Some(own), Some(other)) if own != other => own < other,
            _ => self.writes < other.writes,
        }
    }
}

/// How an entry was observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Observation {
    /// In a watch, as written since the last read.
    Written,
    /// In a listing, so it may have been written at any earlier time.
    Listed,
}

/// The known entries, and those that were removed recently.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    known: HashMap<String, EntryVersion>,
    removed: HashMap<String, EntryVersion>,
    /// Removal times, oldest first.
    removal_times: VecDeque<(Timestamp, String)>,
}

impl Entries {
    /// Inserts an entry and returns whether it was accepted. If `restored` is set, the
    /// store was restored from a backup, and an outdated entry is rejected.
    pub(crate) fn insert(
        &mut self,
        backend: &Backend,
        observation: Observation,
        restored: bool,
    ) -> bool {
        let (id, version) = (backend.id.to_string(), EntryVersion::of(backend));
        if restored && !self.is_current(&id, version, observation) {
            return false;
        }
        self.removed.remove(&id);
        self.known.insert(id, version);
        true
    }

    /// Whether exactly this version of the entry is known.
    pub(crate) fn contains(&self, backend: &Backend) -> bool {
        self.known.get(&*backend.id) == Some(&EntryVersion::of(backend))
    }

    fn is_current(&self, id: &str, version: EntryVersion, observation: Observation) -> bool {
        if let Some(known) = self.known.get(id) {
            return !version.is_before(*known);
        }
        match self.removed.get(id) {
            // The backup still lists servers that have left since, with their old entries.
            Some(removed) => observation == Observation::Written && removed.is_before(version),
            None => true,
        }
    }

    /// Removes an entry. Returns whether it was known.
    pub(crate) fn remove(&mut self, now: Timestamp, id: &str) -> bool {
        let Some(version) = self.known.remove(id) else {
            return false;
        };
        self.removed.insert(id.to_owned(), version);
        self.removal_times.push_back((now, id.to_owned()));
        while let Some((at, id)) = self.removal_times.front() {
            if now.since(*at) <= REMOVED_RETENTION {
                break;
            }
            self.removed.remove(id);
            self.removal_times.pop_front();
        }
        true
    }

    /// Ids of known entries that are not in the listing.
    pub(crate) fn missing(&self, listed: &HashSet<String>) -> Vec<String> {
        let missing = self.known.keys().filter(|id| !listed.contains(*id));
        missing.cloned().collect()
    }
}
