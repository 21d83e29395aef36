//! Guards against followers that miss a change or use a state that is no longer
//! confirmed.

mod common;

use std::time::Duration;

use common::{at, backend, publish};
use jasminepond_discovery::{Accept, Change, Publication, Relay, RelayError};
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
    publish(&mut relay, NOW, at(10), &[put("a"), put("b")]);
    publish(&mut relay, NOW, at(12), &[put("c")]);
    publish(&mut relay, NOW, at(15), &[removed("a")]);
    let ids: Vec<_> = relay
        .snapshot(NOW, Accept::Current)
        .unwrap()
        .backends
        .into_iter()
        .map(|b| b.id.to_string())
        .collect();
    assert_eq!(ids, ["b", "c"]);
    assert_eq!(
        relay.changes(NOW, at(10), Accept::Current).unwrap().changes,
        [put("c"), removed("a")]
    );
    let last = relay.changes(NOW, at(12), Accept::Current).unwrap();
    assert_eq!((last.position, last.changes), (at(15), vec![removed("a")]));
    assert_eq!(
        relay.changes(NOW, at(15), Accept::Current).unwrap().changes,
        []
    );
}

/// A follower whose position is older than the kept history must read everything again.
#[test]
fn changes_before_the_kept_history_are_refused() {
    let mut relay = Relay::default();
    publish(&mut relay, NOW, at(10), &[put("a")]);
    assert_eq!(
        relay.changes(NOW, at(9), Accept::Current),
        Err(RelayError::HistoryGone)
    );
}

/// A reader that is cut off from the store must not serve an outdated state.
#[test]
fn outdated_state_is_not_served() {
    let mut relay = Relay::default();
    publish(&mut relay, NOW, at(10), &[]);
    let later = NOW + Duration::from_secs(3);
    assert_eq!(
        relay.changes(later, at(10), Accept::Current),
        Err(RelayError::NotCurrent)
    );
    relay.publish(Publication {
        position: at(11),
        confirmed_at: NOW,
        reads_store: false,
        listed: false,
        settles_at: None,
    });
    assert_eq!(
        relay.snapshot(NOW, Accept::Current),
        Err(RelayError::NotCurrent)
    );
}
