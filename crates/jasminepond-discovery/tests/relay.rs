//! Guards against followers that miss a change or use a state that is no longer
//! confirmed.

mod common;

use std::time::Duration;

use common::{at, backend};
use jasminepond_discovery::{Change, Relay, RelayError, Source, choose_source};
use jasminepond_types::Timestamp;

const NOW: Timestamp = Timestamp::from_millis(1);

fn put(id: &str) -> Change {
    Change::Backend(backend(id))
}

fn removed(id: &str) -> Change {
    Change::BackendRemoved {
        id: id.to_owned(),
        reason: "removed".to_owned(),
    }
}

#[test]
fn a_follower_gets_each_change_once() {
    let mut relay = Relay::default();
    relay.record(NOW, at(10), &[put("a"), put("b")]);
    relay.record(NOW, at(12), &[put("c")]);
    relay.record(NOW, at(15), &[removed("a")]);
    let ids: Vec<_> = relay
        .snapshot(NOW)
        .unwrap()
        .backends
        .into_iter()
        .map(|b| b.id.to_string())
        .collect();
    assert_eq!(ids, ["b", "c"]);
    assert_eq!(
        relay.changes(NOW, at(10)).unwrap().changes,
        [put("c"), removed("a")]
    );
    let last = relay.changes(NOW, at(12)).unwrap();
    assert_eq!((last.position, last.changes), (at(15), vec![removed("a")]));
    assert_eq!(relay.changes(NOW, at(15)).unwrap().changes, []);
}

/// A follower whose position is older than the kept history must read everything again.
#[test]
fn changes_before_the_kept_history_are_refused() {
    let mut relay = Relay::default();
    relay.record(NOW, at(10), &[put("a")]);
    assert_eq!(relay.changes(NOW, at(9)), Err(RelayError::HistoryGone));
}

/// A reader that is cut off from the store must not serve an outdated state.
#[test]
fn outdated_state_is_not_served() {
    let mut relay = Relay::default();
    relay.record(NOW, at(10), &[]);
    let later = NOW + Duration::from_secs(3);
    assert_eq!(relay.changes(later, at(10)), Err(RelayError::NotCurrent));
    relay.record_relayed(at(11), &[]);
    assert_eq!(relay.snapshot(NOW), Err(RelayError::NotCurrent));
}

/// If all readers fail, each daemon must reach the store at some point, but not with every
/// call.
#[test]
fn failing_readers_are_skipped() {
    let running = vec![true; 91];
    for rank in 0..91 {
        let sources: Vec<_> = (0..4)
            .map(|failures| choose_source(&running, rank, failures))
            .collect();
        let store = sources
            .iter()
            .filter(|source| **source == Source::Store)
            .count();
        let reads = [0, 30, 60].contains(&rank);
        assert_eq!(store, if reads { 4 } else { 1 }, "rank {rank}: {sources:?}");
    }
}

#[test]
fn a_dead_reader_is_replaced_by_the_next_daemon() {
    let mut running = vec![true; 91];
    running[30] = false;
    assert_eq!(choose_source(&running, 31, 0), Source::Store);
    assert_eq!(choose_source(&running, 34, 0), Source::Daemon(31));
}
