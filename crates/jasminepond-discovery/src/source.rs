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

/// Index of the reader among the usable daemons of its group.
const READER: usize = 0;

/// Index of the daemon that takes over if the reader fails.
const SUCCESSOR: usize = 1;

/// Daemons that others ask, in this order, as the distance from the preferred group and the
/// index in the group. Only the first three are asked in time if none answers.
const ASKED: [(usize, usize); 6] = [
    (0, READER),
    (1, READER),
    (0, SUCCESSOR),
    (2, READER),
    (1, SUCCESSOR),
    (2, SUCCESSOR),
];

/// Number of steps in which the followers of a fleet call the store, if they do.
const SPREAD_STEPS: usize = 64;

/// Settings of the selection.
///
/// A daemon whose sources are all silent gives up the one that it follows at the age
/// `follow_age` plus `daemon_timeout`, asks two more for `daemon_timeout` each, and then
/// calls the store. With the timeout of that call, this must be within the time in which a
/// release must be in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceSettings {
    /// Age of the state up to which a reader waits for changes at the store.
    pub read_age: Duration,
    /// Age of the state up to which a daemon waits for changes at another one. Above
    /// `read_age`, so that readers confirm their state in the meantime.
    pub follow_age: Duration,
    /// Age from which a daemon no longer uses another one's state.
    pub stale_age: Duration,
    /// Age of the state from which a daemon calls the store itself.
    pub store_age: Duration,
    /// Time over which these calls are spread if the other daemons answer but none has a
    /// current state, since the store is probably unavailable.
    pub store_spread: Duration,
    /// Shortest wait at the daemon that is followed, so that one that is slightly late is
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
            read_age: Duration::from_millis(1_400),
            follow_age: Duration::from_millis(1_600),
            stale_age: Duration::from_millis(1_800),
            store_age: Duration::from_millis(2_500),
            store_spread: Duration::from_millis(1_000),
            min_wait: Duration::from_millis(100),
            daemon_timeout: Duration::from_millis(300),
            daemon_pause_min: Duration::from_millis(1_000),
            daemon_pause_max: Duration::from_millis(8_000),
            reader_pause_min: Duration::from_millis(30),
            reader_pause_max: Duration::from_millis(400),
            follower_pause_min: Duration::from_millis(1_000),
            follower_pause_max: Duration::from_millis(4_000),
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
/// their order and thereby over zones. The first usable daemon of a group is its reader, and
/// the next one its successor, which reads the store as soon as its own source fails. All
/// others follow a reader. If that fails, they try the reader of another group, and then the
/// successor of the one that failed. Only a daemon that finds none of them in time, because
/// it is cut off from the others, calls the store.
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
    /// Source that confirmed the state, until it fails.
    followed: Option<Source>,
}

impl Sources {
    /// Creates a selection in which no source has failed yet.
    pub fn new(settings: SourceSettings) -> Self {
        Self {
            settings,
            ..Self::default()
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
        let candidates = candidates(fleet);
        let store_due = confirmed_at + self.store_age(now, fleet, &candidates);
        if store && now >= store_due {
            return call_store;
        }
        let available = |source: &Source| self.is_available(now, *source);
        match candidates.iter().copied().find(available) {
            Some(Source::Daemon(address)) => {
                let limit = store.then_some(store_due);
                self.ask(now, confirmed_at, address, limit)
            }
            Some(Source::Store) => call_store,
            None if store && !self.any_stale(now, &candidates) => call_store,
            None => self.wait(now, &candidates, store.then_some(store_due)),
        }
    }

    /// Returns the age of the state from which the store is called, whatever the other
    /// sources are.
    fn store_age(&self, now: Timestamp, fleet: &Fleet<'_>, candidates: &[Source]) -> Duration {
        let settings = &self.settings;
        if candidates.contains(&Source::Store) {
            // The others turn to this daemon when their sources fail.
            return settings.follow_age + settings.daemon_timeout;
        }
        let all_stale = candidates.iter().all(|source| self.was_stale(now, *source));
        if all_stale && !candidates.is_empty() {
            let step = settings.store_spread / SPREAD_STEPS as u32;
            return settings.store_age + step * (fleet.rank % SPREAD_STEPS) as u32;
        }
        settings.store_age
    }

    /// Whether any daemon answered lately, but had no current state.
    fn any_stale(&self, now: Timestamp, candidates: &[Source]) -> bool {
        let mut sources = candidates.iter();
        sources.any(|source| self.was_stale(now, *source))
    }

    /// Returns a call to a daemon that ends in time for another one if it is not answered,
    /// and before `limit` at the latest.
    fn ask(
        &self,
        now: Timestamp,
        confirmed_at: Timestamp,
        address: SocketAddr,
        limit: Option<Timestamp>,
    ) -> Plan {
        let settings = &self.settings;
        let source = Source::Daemon(address);
        let until = |age: Duration| (confirmed_at + age).since(now);
        let wait = until(settings.follow_age);
        let wait = match self.followed {
            Some(followed) if followed == source => wait.max(settings.min_wait),
            // It is only tried while another one works, or if it has failed the last time.
            Some(_) => Duration::ZERO,
            None if self.suspended.contains_key(&source) => Duration::ZERO,
            None => wait,
        };
        let mut timeout = wait + settings.daemon_timeout;
        if let Some(limit) = limit {
            if self.followed == Some(source) {
                timeout = timeout.min(until(settings.follow_age + settings.daemon_timeout));
            }
            timeout = timeout.min(limit.since(now));
        }
        Plan::AskDaemon {
            address,
            wait,
            timeout,
        }
    }

    /// Waits while no source is available, if possible at a daemon that answers as soon as
    /// the store confirms its state again. The store is called at `store_due`, if that is
    /// set, and otherwise when its suspension ends.
    fn wait(&self, now: Timestamp, candidates: &[Source], store_due: Option<Timestamp>) -> Plan {
        let sources = candidates.iter().chain([&Source::Store]);
        let ends = sources.filter_map(|source| self.suspended.get(source));
        let ends = ends.map(|suspension| suspension.until).chain(store_due);
        let until = ends.filter(|end| *end > now).min();
        let until = until.unwrap_or(now + self.settings.min_wait);
        let is_stale = |source: &&Source| self.was_stale(now, **source);
        match candidates.iter().find(is_stale) {
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

    /// Whether a daemon answered lately, but had no current state.
    fn was_stale(&self, now: Timestamp, source: Source) -> bool {
        let suspension = self.suspended.get(&source);
        suspension.is_some_and(|suspension| {
            let forgotten_at = suspension.until + self.settings.daemon_pause_min;
            forgotten_at > now && suspension.reason == SourceFailure::Stale
        })
    }

    fn is_available(&self, now: Timestamp, source: Source) -> bool {
        let suspension = self.suspended.get(&source);
        suspension.is_none_or(|suspension| suspension.until <= now)
    }

    /// Whether an answer of another daemon is too old to be used.
    pub fn is_stale(&self, now: Timestamp, confirmed_at: Timestamp) -> bool {
        now.since(confirmed_at) >= self.settings.stale_age
    }

    /// Handles an answer that does not confirm the state, such as a page of a listing.
    pub fn on_answer(&mut self, source: Source) {
        self.suspended.remove(&source);
    }

    /// Handles an answer that confirms the state.
    pub fn on_confirmed(&mut self, source: Source) {
        self.on_answer(source);
        self.followed = Some(source);
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
        if self.followed == Some(source) {
            self.followed = None;
        }
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

/// Returns the sources of a daemon, the preferred one first. A reader and the successor of
/// one find the store among them, in place of themselves.
fn candidates(fleet: &Fleet<'_>) -> Vec<Source> {
    let daemons = fleet.usable.len();
    let groups = reader_count(daemons);
    let source = |group: usize, depth: usize| {
        let group = group % groups;
        let members = group * daemons / groups..(group + 1) * daemons / groups;
        let usable = |rank: &usize| fleet.usable[*rank] || *rank == fleet.rank;
        match members.filter(usable).nth(depth)? {
            rank if rank == fleet.rank => Some(Source::Store),
            rank => Some(Source::Daemon(fleet.addresses[rank])),
        }
    };
    let own = (0..groups).find(|group| fleet.rank < (group + 1) * daemons / groups);
    let own = own.unwrap_or_default();
    let mut sources = Vec::new();
    if source(own, READER) == Some(Source::Store) {
        sources.push(Source::Store);
    }
    let takes_over = source(own, SUCCESSOR) == Some(Source::Store);
    for (distance, depth) in ASKED {
        if takes_over && depth == SUCCESSOR && !sources.contains(&Source::Store) {
            sources.push(Source::Store);
        }
        sources.extend(source(fleet.rank + distance, depth));
    }
    sources
}
