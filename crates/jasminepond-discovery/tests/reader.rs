//! Guards against a view of the store that misses a change or goes back in time.

mod common;

use std::time::Duration;

use common::{at, backend};
use jasminepond_discovery::{
    Change, Event, Failure, Item, Page, Reader, ReaderSettings, Record, Snapshot, Step, WatchResult,
};
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
    reader.on_release(NOW, Some(release(3)), at(position));
    reader.on_page(NOW, page(ids, false, position));
    let (events, position) = (Vec::new(), at(position));
    reader.on_watch(NOW, WatchResult { events, position });
    reader
}

fn gone(changes: &[Change]) -> Vec<String> {
    let id = |change: &Change| match change {
        Change::BackendRemoved { id, .. } => Some(id.clone()),
        _ => None,
    };
    changes.iter().filter_map(id).collect()
}

/// A watch that begins after the newest of several readings misses what changed
/// between them.
#[test]
fn the_watch_begins_at_the_oldest_reading() {
    let mut reader = Reader::new(ReaderSettings::default());
    reader.on_release(NOW, Some(release(3)), at(20));
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

/// The first reading may be seconds old. A daemon that takes requests with it sends
/// them to servers that have left and over routes that were withdrawn meanwhile.
#[test]
fn a_first_reading_is_complete_only_with_what_changed_since() {
    let mut reader = Reader::new(ReaderSettings::default());
    reader.on_release(NOW, Some(release(3)), at(20));
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
    assert_eq!(gone(&changes), ["left"]);
    assert!(reader.is_complete());
}

/// A daemon that follows another one falls back to the state of a third that lags. A
/// server that left in between would be in use again.
#[test]
fn an_older_state_of_another_daemon_is_refused() {
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
    };
    reader.on_failure(NOW, Failure::HistoryGone);
    assert!(reader.on_snapshot(NOW, snapshot(20)).is_err());
    let later = NOW + Duration::from_secs(1);
    assert_eq!(reader.next(later), Step::ReadRelease { stale: false });
    assert!(reader.on_snapshot(later, snapshot(30)).is_ok());
    reader.on_confirmed();
    assert!(reader.is_complete());
}

/// After the store has dropped its history, servers that left in between would
/// stay in use for ever if the new listing were only added.
#[test]
fn a_listing_after_lost_history_is_current_and_removes_what_left() {
    let mut reader = loaded(&["a", "b"], 10);
    reader.on_failure(NOW, Failure::HistoryGone);
    assert_eq!(reader.next(NOW), Step::ReadRelease { stale: false });
    reader.on_release(NOW, Some(release(3)), at(40));
    let changes = reader.on_page(NOW, page(&["b"], false, 40));
    assert_eq!(gone(&changes), ["a"]);
}

/// An old release that arrives late must not replace a newer one.
#[test]
fn a_release_never_goes_back() {
    let mut reader = loaded(&["a"], 10);
    let watched = |version, position| WatchResult {
        events: vec![Event::Written(release(version))],
        position: at(position),
    };
    assert_eq!(reader.on_watch(NOW, watched(2, 11)), []);
    assert_eq!(reader.on_watch(NOW, watched(4, 12)).len(), 1);
    assert_eq!(reader.on_watch(NOW, watched(3, 13)), []);
}

/// An entry that another writer has spoiled names no server to use.
#[test]
fn an_entry_that_becomes_unusable_counts_as_gone() {
    let mut reader = loaded(&["a"], 10);
    let spoiled = |id: &str| {
        Event::Written(Item::InvalidBackend {
            id: id.to_owned(),
            reason: "no address".to_owned(),
        })
    };
    let watched = WatchResult {
        events: vec![spoiled("a"), spoiled("never-known")],
        position: at(11),
    };
    assert_eq!(gone(&reader.on_watch(NOW, watched)), ["a"]);
}

/// A store that is away must not be called in a tight loop, and must be followed
/// again soon after its return.
#[test]
fn failures_pause_the_calls_but_never_for_long() {
    let settings = ReaderSettings::default();
    let mut reader = loaded(&["a"], 10);
    for _ in 0..100 {
        let pause = reader.on_failure(NOW, Failure::Unreachable);
        assert!(pause >= settings.retry_min && pause <= settings.retry_max);
        assert!(matches!(reader.next(NOW), Step::Pause(until) if until == NOW + pause));
    }
    let later = NOW + Duration::from_secs(1);
    assert!(matches!(reader.next(later), Step::Watch { after, .. } if after == at(10)));
    assert!(reader.is_complete());
}

/// A daemon that starts before the operator has written a release must wait for it.
#[test]
fn without_a_release_the_reader_asks_again() {
    let mut reader = Reader::new(ReaderSettings::default());
    assert_eq!(reader.on_release(NOW, None, at(5)), []);
    assert!(matches!(reader.next(NOW), Step::Pause(_)));
    let later = NOW + Duration::from_secs(1);
    assert_eq!(reader.next(later), Step::ReadRelease { stale: true });
}
