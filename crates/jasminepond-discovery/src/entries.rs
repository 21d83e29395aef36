//! Which entries of backend servers are known, and which of those that the store shows
//! are older.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use jasminepond_forward::Backend;
use jasminepond_types::Timestamp;

/// Time for which an entry that has gone is remembered. A copy of the store is some
/// seconds old, so it shows nothing that went earlier.
const GONE_KEPT: Duration = Duration::from_secs(60);

/// Orders the entries of one id: by the start of the process, then by its writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stamp {
    started: Option<u64>,
    writes: u64,
}

impl Stamp {
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

/// How an entry was learnt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Shown {
    /// It was written since the last reading.
    Written,
    /// It was there at some time.
    Listed,
}

/// The entries.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    known: HashMap<String, Stamp>,
    gone: HashMap<String, Stamp>,
    /// When each of them went, oldest first.
    gone_at: VecDeque<(Timestamp, String)>,
}

impl Entries {
    /// Takes an entry, unless `restored` says that the store came back from a copy and
    /// the entry may be from before what is known. Returns whether it holds.
    pub(crate) fn take(&mut self, backend: &Backend, shown: Shown, restored: bool) -> bool {
        let (id, stamp) = (backend.id.to_string(), Stamp::of(backend));
        if restored && !self.is_news(&id, stamp, shown) {
            return false;
        }
        self.gone.remove(&id);
        self.known.insert(id, stamp);
        true
    }

    /// Whether just this entry is known.
    pub(crate) fn has(&self, backend: &Backend) -> bool {
        self.known.get(&*backend.id) == Some(&Stamp::of(backend))
    }

    fn is_news(&self, id: &str, stamp: Stamp, shown: Shown) -> bool {
        if let Some(known) = self.known.get(id) {
            return !stamp.is_before(*known);
        }
        match self.gone.get(id) {
            // The copy shows servers that have left with entries that they wrote before.
            Some(gone) => shown == Shown::Written && gone.is_before(stamp),
            None => true,
        }
    }

    /// An entry has gone. Returns whether it was known.
    pub(crate) fn remove(&mut self, now: Timestamp, id: &str) -> bool {
        let Some(stamp) = self.known.remove(id) else {
            return false;
        };
        self.gone.insert(id.to_owned(), stamp);
        self.gone_at.push_back((now, id.to_owned()));
        while let Some((at, id)) = self.gone_at.front() {
            if now.since(*at) <= GONE_KEPT {
                break;
            }
            self.gone.remove(id);
            self.gone_at.pop_front();
        }
        true
    }

    /// Known entries that are not listed.
    pub(crate) fn missing(&self, listed: &HashSet<String>) -> Vec<String> {
        let missing = self.known.keys().filter(|id| !listed.contains(*id));
        missing.cloned().collect()
    }
}
