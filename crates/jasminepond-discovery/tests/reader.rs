//! Guards against a state that misses changes of the store or reverts to an older one.

mod common;

use std::time::Duration;

use common::{at, backend, operator_page};
use jasminepond_discovery::{
    Change, Event, Item, Page, Reader, ReaderSettings, Record, Snapshot, Step, WatchResult,
};
use jasminepond_forward::EvacuatedZones;
use jasminepond_routes::{Release, ReleaseVersion};
use jasminepond_types::{Millis, Timestamp};

fn entry(id: &str) -> Item {
    Item::Backend(backend(id))
}

fn release(version: u64) -> Item {
    Item::Release(Box::new(Release {
        version: ReleaseVersion(version),
        ..Release::default()
    }))
}

fn page(ids: &[&str], has_more: bool, position: u64) -> Page {
    let record = |id: &&str| Record {
        key: (*id).to_owned(),
        item: entry(id),
    };
    Page {
        records: ids.iter().map(record).collect(),
        has_more,
        position: at(position),
    }
}

const NOW: Timestamp = Timestamp::from_millis(1);

fn loaded(ids: &[&str], position: u64) -> Reader {
    let mut reader = Reader::new(ReaderSettings::default());
    reader.on_operator_page(NOW, operator_page(Some(release(3)), at(position)));
    reader.on_page(NOW, page(ids, false, position));
    let (events, position) = (Vec::new(), at(position));
    reader.on_watch(NOW, WatchResult { events, position });
    reader
}

fn removed(changes: &[Change]) -> Vec<String> {
    let id = |change: &Change| match change {
        Change::BackendRemoved { id, .. } => Some(id.clone()),
        _ => None,
    };
    changes.iter().filter_map(id).collect()
}

/// A watch that starts at the newest of several reads misses the changes between them.
#[test]
fn watch_starts_at_the_oldest_read() {
    let mut reader = Reader::new(ReaderSettings::default());
    reader.on_operator_page(NOW, operator_page(Some(release(3)), at(20)));
    reader.on_page(NOW, page(&["a"], true, 17));
    let next = Step::ListBackends {
        after: Some("a".to_owned()),
        stale: true,
    };
    assert_eq!(reader.next(NOW), next);
    assert!(!reader.is_complete());
    reader.on_page(NOW, page(&["b"], false, 25));
    assert!(matches!(reader.next(NOW), Step::Watch { after, .. } if after == at(17)));
}

/// The first read may be seconds old. A daemon that serves requests with it uses servers
/// that have left and routes that have been withdrawn since.
#[test]
fn stale_first_read_is_complete_only_after_a_watch() {
    let mut reader = Reader::new(ReaderSettings::default());
    reader.on_operator_page(NOW, operator_page(Some(release(3)), at(20)));
    reader.on_page(NOW, page(&["a", "left"], false, 20));
    assert!(!reader.is_complete());
    let next = Step::Watch {
        after: at(20),
        wait: jasminepond_types::Millis(0),
    };
    assert_eq!(reader.next(NOW), next);
    let events = vec![Event::BackendRemoved("left".to_owned())];
    let position = at(31);
    let changes = reader.on_watch(NOW, WatchResult { events, position });
    assert_eq!(removed(&changes), ["left"]);
    assert!(reader.is_complete());
}

/// A follower may switch to another daemon that lags behind. With the older state, a
/// server that has left in between would be used again.
#[test]
fn older_snapshot_of_another_daemon_is_rejected() {
    let mut reader = loaded(&["a"], 10);
    reader.on_watch(
        NOW,
        WatchResult {
            events: vec![
                Event::Written(entry("left")),
                Event::BackendRemoved("left".to_owned()),
            ],
            position: at(30),
        },
    );
    let snapshot = |position| Snapshot {
        position: at(position),
        release: None,
        backends: vec![backend("a"), backend("left")],
        settles_in: Millis(0),
        confirmation: None,
        evacuated: Some(EvacuatedZones::default()),
    };
    reader.on_history_gone();
    assert!(reader.on_snapshot(NOW, snapshot(20)).is_err());
    let later = NOW + Duration::from_secs(1);
    assert_eq!(
        reader.next(later),
        Step::ListOperator {
            after: None,
            stale: false
        }
    );
    assert!(reader.on_snapshot(later, snapshot(30)).is_ok());
    reader.on_confirmed();
    assert!(reader.is_complete());
}

/// After lost history, servers that have left in between would stay in use forever if the
/// new listing only added entries.
#[test]
fn listing_after_lost_history_is_current_and_removes_missing_servers() {
    let mut reader = loaded(&["a", "b"], 10);
    reader.on_history_gone();
    assert_eq!(
        reader.next(NOW),
        Step::ListOperator {
            after: None,
            stale: false
        }
    );
    reader.on_operator_page(NOW, operator_page(Some(release(3)), at(40)));
    let changes = reader.on_page(NOW, page(&["b"], false, 40));
    assert_eq!(removed(&changes), ["a"]);
}

/// An older release that arrives late must not replace a newer one.
#[test]
fn older_release_is_ignored() {
    let mut reader = loaded(&["a"], 10);
    let watched = |version, position| WatchResult {
        events: vec![Event::Written(release(version))],
        position: at(position),
    };
    assert_eq!(reader.on_watch(NOW, watched(2, 11)), []);
    assert_eq!(reader.on_watch(NOW, watched(4, 12)).len(), 1);
    assert_eq!(reader.on_watch(NOW, watched(3, 13)), []);
}

/// An entry that becomes invalid, for example through another writer, must not leave the
/// server in use.
#[test]
fn invalid_entry_removes_the_server() {
    let mut reader = loaded(&["a"], 10);
    let invalid = |id: &str| {
        Event::Written(Item::InvalidBackend {
            id: id.to_owned(),
            reason: "no address".to_owned(),
        })
    };
    let watched = WatchResult {
        events: vec![invalid("a"), invalid("never-known")],
        position: at(11),
    };
    assert_eq!(removed(&reader.on_watch(NOW, watched)), ["a"]);
}

/// A daemon that starts before the operator has published a release must wait for it.
#[test]
fn missing_release_is_read_again() {
    let mut reader = Reader::new(ReaderSettings::default());
    assert_eq!(reader.on_operator_page(NOW, operator_page(None, at(5))), []);
    assert!(matches!(reader.next(NOW), Step::Pause(_)));
    let later = NOW + Duration::from_secs(1);
    assert_eq!(
        reader.next(later),
        Step::ListOperator {
            after: None,
            stale: true
        }
    );
}
