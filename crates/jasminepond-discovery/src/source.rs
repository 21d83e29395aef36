//! Selection of the daemons that read the store and of the source for all others.
//!
//! A few daemons read the store, and all others follow one of them. How long a daemon may
//! go without a confirmation of its state is bounded, whatever happens to its source:
//! [`Sources`] turns to other daemons early enough to call the store itself before
//! [`SourceSettings::store_age`] has passed.

use std::{collections::HashMap, fmt, net::SocketAddr, time::Duration};

use jasminepond_types::Timestamp;

/// Largest number of daemons for which each reads the store itself: with one call every
/// two seconds, they stay below ten calls per second.
const MAX_DIRECT_READERS: usize = 16;

/// Smallest number of daemons that read the store for all others. With three, one may fail
/// while another is cut off from the store.
const MIN_READERS: usize = 3;

/// Daemons per reader in a large fleet, so that a reader's work does not grow with it.
const DAEMONS_PER_READER: usize = 65;

/// Number of groups whose readers a daemon asks before it falls back to their successors.
const GROUPS_ASKED: usize = 3;

/// Number of daemons of a group that may have to read the store: its reader and the one
/// that takes over if the reader fails.
const READERS_PER_GROUP: usize = 2;

/// Settings of the selection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceSettings {
    /// Age of the state up to which a reader waits for changes at the store.
    pub read_age: Duration,
    /// Age of the state up to which a daemon waits for changes at another one. Above
    /// `read_age`, so that readers confirm their state in the meantime.
    pub follow_age: Duration,
    /// Age from which a daemon no longer uses a source's state.
    pub stale_age: Duration,
    /// Age of the state from which a daemon calls the store itself. This plus the timeout
    /// of a call must be below the time within which a release must be in force.
    pub store_age: Duration,
    /// Shortest wait for another daemon's answer, so that a source that is slightly late is
    /// not asked in a loop.
    pub min_wait: Duration,
    /// Time in which another daemon has to answer, in addition to the requested wait.
    pub daemon_timeout: Duration,
    /// Pause after the first failed call to another daemon. It doubles with each further
    /// one, up to `daemon_pause_max`.
    pub daemon_pause_min: Duration,
    /// Longest pause after a failed call to another daemon.
    pub daemon_pause_max: Duration,
    /// Pause of a reader after its first failed call to the store. It doubles with each
    /// further one, up to `reader_pause_max`.
    pub reader_pause_min: Duration,
    /// Longest pause of a reader. Below half a second, so that the state is current within
    /// a second after the store is available again.
    pub reader_pause_max: Duration,
    /// Pause of a follower after its first failed call to the store. It doubles with each
    /// further one, up to `follower_pause_max`.
    pub follower_pause_min: Duration,
    /// Longest pause of a follower. Followers of a fleet must not load a store that is
    /// unavailable; they learn of its return from the readers.
    pub follower_pause_max: Duration,
}

impl Default for SourceSettings {
    fn default() -> Self {
        Self {
            read_age: Duration::from_millis(1_600),
            follow_age: Duration::from_millis(1_800),
            stale_age: Duration::from_millis(2_000),
            store_age: Duration::from_millis(2_400),
            min_wait: Duration::from_millis(100),
            daemon_timeout: Duration::from_millis(300),
            daemon_pause_min: Duration::from_millis(1_000),
            daemon_pause_max: Duration::from_millis(8_000),
            reader_pause_min: Duration::from_millis(30),
            reader_pause_max: Duration::from_millis(400),
            follower_pause_min: Duration::from_millis(500),
            follower_pause_max: Duration::from_millis(2_000),
        }
    }
}

/// Where a daemon gets changes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Source {
    /// The store.
    Store,
    /// The daemon with this address.
    Daemon(SocketAddr),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("the store"),
            Self::Daemon(address) => address.fmt(f),
        }
    }
}

/// What a daemon does next to learn of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// Call the store.
    CallStore {
        /// Longest time that a watch may wait for changes.
        wait: Duration,
    },
    /// Ask another daemon.
    AskDaemon {
        /// Its address.
        address: SocketAddr,
        /// Longest time that it may wait for changes.
        wait: Duration,
        /// Time after which the call has failed. It includes the wait.
        timeout: Duration,
    },
    /// Make no call until this time.
    Pause(Timestamp),
}

/// Why a source is not used for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceFailure {
    /// It did not answer, or not usefully.
    Unreachable,
    /// It answered, but its own state was not confirmed lately.
    Stale,
}

/// All daemons in an order that they share, for the selection.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// Address of each daemon.
    pub addresses: &'a [SocketAddr],
    /// Whether each daemon is considered alive and not suspected of having failed.
    pub usable: &'a [bool],
    /// Index of this daemon.
    pub rank: usize,
}

#[derive(Debug, Clone, Copy)]
struct Suspension {
    failures: u32,
    until: Timestamp,
    reason: SourceFailure,
}

/// Whether each daemon reads the store itself if there are this many.
pub fn reads_directly(daemons: usize) -> bool {
    daemons <= MAX_DIRECT_READERS
}

/// Number of daemons that read the store for all others.
fn reader_count(daemons: usize) -> usize {
    MIN_READERS.max(daemons / DAEMONS_PER_READER)
}

/// Chooses the source of a daemon's state.
///
/// The daemons are divided into as many groups as there are readers, spread evenly over
/// their order and thereby over zones. The first usable daemon of a group is its reader. A
/// daemon follows a reader. If that fails, it tries the readers of two other groups, and
/// then the daemons that take over for them, which come to the same conclusion by
/// themselves. Only a daemon that finds none of them in time, because it is cut off from
/// the others, calls the store.
///
/// ```
/// use std::net::SocketAddr;
///
/// use jasminepond_discovery::{Fleet, Plan, Sources};
/// use jasminepond_types::Timestamp;
///
/// let now = Timestamp::from_millis(100);
/// let addresses: Vec<SocketAddr> =
///     (0..90).map(|n| SocketAddr::from(([10, 0, 0, n], 1))).collect();
/// let fleet = |rank| Fleet { addresses: &addresses, usable: &[true; 90], rank };
/// let sources = Sources::default();
/// assert!(matches!(sources.plan(now, now, &fleet(30)), Plan::CallStore { .. }));
/// let plan = sources.plan(now, now, &fleet(31));
/// assert!(matches!(plan, Plan::AskDaemon { address, .. } if address == addresses[30]));
/// ```
#[derive(Debug, Default)]
pub struct Sources {
    settings: SourceSettings,
    suspended: HashMap<Source, Suspension>,
}

impl Sources {
    /// Creates a selection in which no source has failed yet.
    pub fn new(settings: SourceSettings) -> Self {
        let suspended = HashMap::new();
        Self {
            settings,
            suspended,
        }
    }

    /// Returns the next call to make. `confirmed_at` is the time for which the state of this
    /// daemon was last confirmed by the store, itself or through others.
    pub fn plan(&self, now: Timestamp, confirmed_at: Timestamp, fleet: &Fleet<'_>) -> Plan {
        let store = self.is_available(now, Source::Store);
        if reads_directly(fleet.usable.len()) {
            return match self.suspended.get(&Source::Store) {
                Some(suspension) if !store => Plan::Pause(suspension.until),
                _ => Plan::CallStore {
                    wait: Duration::MAX,
                },
            };
        }
        let call_store = Plan::CallStore {
            wait: (confirmed_at + self.settings.read_age).since(now),
        };
        if store && now.since(confirmed_at) >= self.settings.store_age {
            return call_store;
        }
        let candidates = candidates(fleet);
        let available = |source: &Source| self.is_available(now, *source);
        match candidates.iter().copied().find(available) {
            Some(Source::Daemon(address)) => self.ask(now, confirmed_at, address),
            Some(Source::Store) => call_store,
            None if store => call_store,
            None => self.wait(now, &candidates),
        }
    }

    /// Returns a call to a daemon that ends in time for another one if it is not answered.
    fn ask(&self, now: Timestamp, confirmed_at: Timestamp, address: SocketAddr) -> Plan {
        let settings = &self.settings;
        let until = |age: Duration| (confirmed_at + age).since(now);
        let wait = match self.suspended.get(&Source::Daemon(address)) {
            // It failed the last time, and is only tried.
            Some(_) => settings.min_wait,
            None => until(settings.follow_age).max(settings.min_wait),
        };
        let mut timeout = wait + settings.daemon_timeout;
        if self.is_available(now, Source::Store) {
            timeout = timeout.min(until(settings.store_age));
        }
        Plan::AskDaemon {
            address,
            wait,
            timeout,
        }
    }

    /// Waits while no source is available, if possible at a daemon that answers as soon as
    /// the store confirms its state again.
    fn wait(&self, now: Timestamp, candidates: &[Source]) -> Plan {
        let suspension = |source: &Source| self.suspended.get(source).copied();
        let until = candidates.iter().filter_map(suspension);
        let until = until.map(|suspension| suspension.until).min();
        let store = suspension(&Source::Store).map(|suspension| suspension.until);
        let until = until.into_iter().chain(store).min().unwrap_or(now);
        let stale = |source: &&Source| {
            suspension(source).is_some_and(|suspension| suspension.reason == SourceFailure::Stale)
        };
        match candidates.iter().find(stale) {
            Some(Source::Daemon(address)) => {
                let wait = until.since(now).max(self.settings.min_wait);
                Plan::AskDaemon {
                    address: *address,
                    wait,
                    timeout: wait + self.settings.daemon_timeout,
                }
            }
            _ => Plan::Pause(until),
        }
    }

    fn is_available(&self, now: Timestamp, source: Source) -> bool {
        let suspension = self.suspended.get(&source);
        suspension.is_none_or(|suspension| suspension.until <= now)
    }

    /// Whether an answer of another daemon is too old to be used.
    pub fn is_stale(&self, now: Timestamp, confirmed_at: Timestamp) -> bool {
        now.since(confirmed_at) >= self.settings.stale_age
    }

    /// Handles a successful call.
    pub fn on_success(&mut self, source: Source) {
        self.suspended.remove(&source);
    }

    /// Handles a failed call. Returns the time for which the source is not used.
    pub fn on_failure(
        &mut self,
        now: Timestamp,
        source: Source,
        reason: SourceFailure,
        fleet: &Fleet<'_>,
    ) -> Duration {
        let settings = &self.settings;
        let reads =
            reads_directly(fleet.usable.len()) || candidates(fleet).first() == Some(&Source::Store);
        let (min, max) = match source {
            Source::Daemon(_) => (settings.daemon_pause_min, settings.daemon_pause_max),
            Source::Store if reads => (settings.reader_pause_min, settings.reader_pause_max),
            Source::Store => (settings.follower_pause_min, settings.follower_pause_max),
        };
        let suspension = self.suspended.get(&source);
        let failures = suspension.map_or(0, |suspension| suspension.failures) + 1;
        let pause = (min * 2_u32.pow(failures.min(8) - 1)).min(max);
        let until = now + pause;
        let entry = Suspension {
            failures,
            until,
            reason,
        };
        self.suspended.insert(source, entry);
        // Forgets daemons that are not asked any more.
        let oldest = now - settings.daemon_pause_max * 2;
        self.suspended
            .retain(|_, suspension| suspension.until >= oldest);
        pause
    }
}

/// Returns the sources of a daemon, the preferred one first. A daemon that would read the
/// store for others finds itself among them.
fn candidates(fleet: &Fleet<'_>) -> Vec<Source> {
    let daemons = fleet.usable.len();
    let groups = reader_count(daemons);
    let usable = |group: usize| {
        let group = group * daemons / groups..(group + 1) * daemons / groups;
        group.filter(|rank| fleet.usable[*rank] || *rank == fleet.rank)
    };
    let own = (0..groups).find(|group| fleet.rank < (group + 1) * daemons / groups);
    let mut sources = Vec::new();
    for depth in 0..READERS_PER_GROUP {
        if own.is_some_and(|group| usable(group).nth(depth) == Some(fleet.rank)) {
            sources.push(Source::Store);
        }
        let asked = (0..GROUPS_ASKED).filter_map(|n| usable((fleet.rank + n) % groups).nth(depth));
        let others = asked.filter(|rank| *rank != fleet.rank);
        sources.extend(others.map(|rank| Source::Daemon(fleet.addresses[rank])));
    }
    sources
}
