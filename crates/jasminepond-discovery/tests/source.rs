//! Guards against daemons that rely on a source which fails, and against fleets that call
//! the store instead.

use std::{net::SocketAddr, time::Duration};

use jasminepond_discovery::{Fleet, Plan, Source, SourceFailure, SourceSettings, Sources};
use jasminepond_types::Timestamp;
use test_case::test_case;

const NOW: Timestamp = Timestamp::from_millis(60_000);

fn addresses(daemons: usize) -> Vec<SocketAddr> {
    let address = |n: usize| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 1));
    (0..daemons).map(address).collect()
}

/// A daemon of a fleet, all of whose calls fail.
struct Failing {
    addresses: Vec<SocketAddr>,
    usable: Vec<bool>,
    rank: usize,
    sources: Sources,
    now: Timestamp,
    confirmed_at: Timestamp,
}

impl Failing {
    fn new(daemons: usize, rank: usize) -> Self {
        Self {
            addresses: addresses(daemons),
            usable: vec![true; daemons],
            rank,
            sources: Sources::default(),
            now: NOW,
            confirmed_at: NOW,
        }
    }

    fn fleet(&self) -> Fleet<'_> {
        Fleet {
            addresses: &self.addresses,
            usable: &self.usable,
            rank: self.rank,
        }
    }

    fn plan(&self) -> Plan {
        self.sources
            .plan(self.now, self.confirmed_at, &self.fleet())
    }

    fn fail(&mut self, source: Source, reason: SourceFailure) -> Duration {
        let fleet = Fleet {
            addresses: &self.addresses,
            usable: &self.usable,
            rank: self.rank,
        };
        self.sources.on_failure(self.now, source, reason, &fleet)
    }

    /// Returns the rank of the daemon that is asked, or `None` if it is the store.
    fn source(&self) -> Option<usize> {
        match self.plan() {
            Plan::CallStore { .. } => None,
            Plan::AskDaemon { address, .. } => {
                self.addresses.iter().position(|other| *other == address)
            }
            Plan::Pause(until) => panic!("a pause until {until}"),
        }
    }
}

/// If all readers fail at once, followers must find the daemons that take over, and only
/// those may call the store.
#[test_case(91)]
#[test_case(195)]
#[test_case(3_900; "the target")]
fn successors_take_over_from_readers_that_are_gone(daemons: usize) {
    let healthy: Vec<_> = (0..daemons).map(|n| Failing::new(daemons, n)).collect();
    let readers: Vec<_> = (0..daemons)
        .filter(|n| healthy[*n].source().is_none())
        .collect();
    assert!(readers.len() >= 3 && readers.len() <= daemons.div_ceil(30));
    let mut store = Vec::new();
    for rank in (0..daemons).filter(|rank| !readers.contains(rank)) {
        let mut daemon = Failing::new(daemons, rank);
        let mut asked = Vec::new();
        while let Some(source) = daemon.source().filter(|source| readers.contains(source)) {
            asked.push(source);
            daemon.fail(
                Source::Daemon(daemon.addresses[source]),
                SourceFailure::Unreachable,
            );
        }
        assert!((2..=3).contains(&asked.len()), "rank {rank}: {asked:?}");
        match daemon.source() {
            None => store.push(rank),
            Some(source) => assert!(readers.contains(&(source - 1)), "rank {rank} asks {source}"),
        }
    }
    let successors: Vec<_> = readers.iter().map(|reader| reader + 1).collect();
    assert_eq!(store, successors);
}

/// If all other daemons fail, each daemon must reach the store, but must not ask all of them
/// first.
#[test]
fn failing_daemons_are_skipped() {
    for rank in 0..91 {
        let mut daemon = Failing::new(91, rank);
        let mut asked = 0;
        while let Some(source) = daemon.source() {
            asked += 1;
            daemon.fail(
                Source::Daemon(daemon.addresses[source]),
                SourceFailure::Unreachable,
            );
        }
        let reads = [0, 30, 60].contains(&rank);
        assert!(asked <= if reads { 0 } else { 6 }, "rank {rank}: {asked}");
    }
}

/// A daemon that is dead or suspected must not be waited for.
#[test]
fn an_unusable_reader_is_replaced_by_the_next_daemon() {
    let source = |rank| {
        let mut daemon = Failing::new(91, rank);
        daemon.usable[30] = false;
        daemon.source()
    };
    assert_eq!(source(31), None);
    assert_eq!(source(34), Some(31));
}

/// However a source is silent, a daemon must turn to the store early enough to be current
/// within three seconds.
#[test_case(17)]
#[test_case(59)]
#[test_case(195)]
#[test_case(3_900; "the target")]
fn the_store_is_called_before_the_state_is_too_old(daemons: usize) {
    const STORE_TIMEOUT: Duration = Duration::from_millis(500);
    const BOUND: Duration = Duration::from_secs(3);
    for rank in 0..daemons {
        let mut daemon = Failing::new(daemons, rank);
        while let Plan::AskDaemon {
            address, timeout, ..
        } = daemon.plan()
        {
            daemon.now = daemon.now + timeout;
            daemon.fail(Source::Daemon(address), SourceFailure::Unreachable);
        }
        assert!(matches!(daemon.plan(), Plan::CallStore { .. }));
        let age = daemon.now.since(daemon.confirmed_at);
        assert!(age + STORE_TIMEOUT <= BOUND, "rank {rank}: {age:?}");
    }
}

/// An unavailable store must not be called in a tight loop. Readers must call it again soon
/// after it is available, and followers less often.
#[test_case(7, 3, 400)]
#[test_case(91, 30, 400; "a reader")]
#[test_case(91, 31, 4_000; "a follower")]
fn pause_after_failed_calls_to_the_store_is_bounded(daemons: usize, rank: usize, longest: u64) {
    let settings = SourceSettings::default();
    let mut daemon = Failing::new(daemons, rank);
    for _ in 0..100 {
        let pause = daemon.fail(Source::Store, SourceFailure::Unreachable);
        assert!(pause >= settings.reader_pause_min);
        assert!(pause <= Duration::from_millis(longest));
        if daemons == 7 {
            assert_eq!(daemon.plan(), Plan::Pause(daemon.now + pause));
        }
        assert!(!matches!(daemon.plan(), Plan::CallStore { .. }));
        daemon.now = daemon.now + pause;
        daemon.confirmed_at = daemon.now;
    }
    daemon.sources.on_confirmed(Source::Store);
    assert_eq!(daemon.source(), if rank == 31 { Some(30) } else { None });
}

/// While no source has a current state, a daemon must wait at one that tells it at once when
/// there is one again, and must try the store from time to time.
#[test]
fn a_daemon_without_a_current_source_waits_for_one() {
    let mut daemon = Failing::new(91, 31);
    let started = daemon.now;
    let (mut store_calls, mut daemon_calls) = (0, 0);
    while daemon.now.since(started) < Duration::from_secs(60) {
        match daemon.plan() {
            Plan::CallStore { .. } => {
                store_calls += 1;
                daemon.fail(Source::Store, SourceFailure::Unreachable);
            }
            Plan::AskDaemon { address, wait, .. } => {
                daemon_calls += 1;
                daemon.now = daemon.now + wait;
                daemon.fail(Source::Daemon(address), SourceFailure::Stale);
            }
            Plan::Pause(until) => panic!("a pause until {until}"),
        }
    }
    // After one, two and four seconds, and then every four seconds.
    assert!((15..=18).contains(&store_calls), "{store_calls}");
    assert!(daemon_calls <= 200, "{daemon_calls}");
}
