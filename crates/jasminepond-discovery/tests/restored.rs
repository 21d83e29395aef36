//! Guards against a store that comes back from a copy some seconds old: what is known
//! does not go back with it, and what is true in the end is followed.

mod common;

use std::time::Duration;

use common::backend;
use jasminepond_discovery::{
    Change, Era, EraCheck, Event, Item, Page, Position, Reader, ReaderSettings, Record, Relay,
    Snapshot, Step, WatchResult,
};
use jasminepond_forward::{Backend, BackendState};
use jasminepond_routes::{Release, ReleaseVersion};
use jasminepond_types::{Millis, Timestamp};
use test_case::test_case;

const NOW: Timestamp = Timestamp::from_millis(1_000);
const FIRST: Era = Era(3);
const NEXT: Era = Era(4);

fn release(version: u64) -> Item {
    Item::Release(Box::new(Release {
        version: ReleaseVersion(version),
        ..Release::default()
    }))
}

/// An entry with its writes.
fn entry(id: &str, writes: u64) -> Backend {
    Backend {
        writes,
        ..backend(id)
    }
}

fn page(era: Era, change: u64, backends: &[Backend]) -> Page {
    let record = |backend: &Backend| Record {
        key: backend.id.to_string(),
        item: Item::Backend(backend.clone()),
    };
    Page {
        records: backends.iter().map(record).collect(),
        has_more: false,
        position: Position::new(era, change),
    }
}

fn watched(era: Era, change: u64, events: Vec<Event>) -> WatchResult {
    let position = Position::new(era, change);
    WatchResult { events, position }
}

fn written(backend: Backend) -> Event {
    Event::Written(Item::Backend(backend))
}

/// A reader that knows release 7 and these entries at change 500.
fn loaded(backends: &[Backend]) -> Reader {
    let mut reader = Reader::new(ReaderSettings::default());
    assert_eq!(reader.on_era(NOW, FIRST), EraCheck::Same);
    reader.on_release(NOW, Some(release(7)), Position::new(FIRST, 500));
    reader.on_page(NOW, page(FIRST, 500, backends));
    reader.on_watch(NOW, watched(FIRST, 500, Vec::new()));
    assert!(reader.is_complete());
    reader
}

/// The store has come back and everything is read again.
fn restore(reader: &mut Reader, now: Timestamp, version: u64, copy: &[Backend]) -> Vec<Change> {
    assert_eq!(
        reader.on_era(now, NEXT),
        EraCheck::Restored { before: FIRST }
    );
    let after_pause = now + Duration::from_millis(200);
    let next = reader.next(after_pause);
    assert_eq!(next, Step::ReadRelease { stale: false });
    let position = Position::new(NEXT, 480);
    let mut changes = reader.on_release(now, Some(release(version)), position);
    changes.extend(reader.on_page(now, page(NEXT, 480, copy)));
    changes
}

fn gone(changes: &[Change]) -> Vec<&str> {
    changes.iter().filter_map(gone_id).collect()
}

fn gone_id(change: &Change) -> Option<&str> {
    match change {
        Change::BackendRemoved { id, .. } => Some(id),
        _ => None,
    }
}

fn taken(changes: &[Change]) -> Vec<&str> {
    changes.iter().filter_map(taken_id).collect()
}

fn taken_id(change: &Change) -> Option<&str> {
    match change {
        Change::Backend(backend) => Some(&backend.id),
        _ => None,
    }
}

fn settled() -> Timestamp {
    NOW + ReaderSettings::default().settle
}

/// Positions go back with the copy: a state of the new era is the newer one, although its
/// number is lower.
#[test]
fn the_state_of_the_new_era_is_followed() {
    let mut reader = loaded(&[entry("a", 1)]);
    restore(&mut reader, NOW, 7, &[entry("a", 1)]);
    assert!(reader.is_complete(), "requests are served meanwhile");
    assert!(reader.position() > Position::new(FIRST, 500));
    let next = Step::Watch {
        after: Position::new(NEXT, 480),
        wait: Millis(2_000),
    };
    assert_eq!(reader.next(NOW), next);
    let events = vec![Event::Written(release(8)), written(entry("b", 1))];
    let changes = reader.on_watch(NOW, watched(NEXT, 482, events));
    assert_eq!(changes.len(), 2);
}

/// The release of the copy is an older one. It is never in force again, and neither is a
/// route that was withdrawn.
#[test]
fn the_release_does_not_go_back() {
    let mut reader = loaded(&[]);
    assert_eq!(restore(&mut reader, NOW, 5, &[]), []);
    let again = vec![Event::Written(release(7))];
    assert_eq!(reader.on_watch(NOW, watched(NEXT, 481, again)), []);
    let newer = vec![Event::Written(release(9))];
    let changes = reader.on_watch(NOW, watched(NEXT, 482, newer));
    assert!(matches!(&changes[..], [Change::Release(release)] if release.version.0 == 9));
}

/// The copy has no release at all: the one in force stays.
#[test]
fn a_copy_without_a_release_changes_nothing() {
    let mut reader = loaded(&[entry("a", 1)]);
    reader.on_era(NOW, NEXT);
    assert_eq!(reader.on_release(NOW, None, Position::new(NEXT, 480)), []);
    assert_eq!(
        reader.on_page(NOW, page(NEXT, 480, &[entry("a", 1)])).len(),
        1
    );
}

/// Servers that came after the copy was made are in use while they write their entries
/// again; one that never does goes.
#[test]
fn entries_that_the_copy_lacks_have_time_to_be_written_again() {
    let mut reader = loaded(&[entry("a", 1), entry("new", 1), entry("lost", 1)]);
    let changes = restore(&mut reader, NOW, 7, &[entry("a", 1)]);
    assert_eq!(gone(&changes), [""; 0]);
    let later = NOW + Duration::from_secs(2);
    reader.on_watch(later, watched(NEXT, 490, vec![written(entry("new", 2))]));
    assert!(matches!(
        reader.next(settled()),
        Step::ListBackends { stale: false, .. }
    ));
    let listing = [entry("a", 1), entry("new", 2)];
    let changes = reader.on_page(settled(), page(NEXT, 495, &listing));
    assert_eq!(gone(&changes), ["lost"]);
    assert!(matches!(reader.next(settled()), Step::Watch { .. }));
}

/// The copy shows a server that has left as ready. It is not used, unless it turns out
/// to be alive.
#[test_case(&[]; "its entry lapses")]
#[test_case(&["left"]; "it is alive")]
fn a_server_that_left_is_not_in_use_again(alive: &[&str]) {
    let mut reader = loaded(&[entry("a", 1), entry("left", 4)]);
    let left = vec![Event::BackendRemoved("left".to_owned())];
    reader.on_watch(NOW, watched(FIRST, 501, left));
    let changes = restore(&mut reader, NOW, 7, &[entry("a", 1), entry("left", 4)]);
    assert_eq!(taken(&changes), ["a"]);
    let mut listing = vec![entry("a", 1)];
    listing.extend(alive.iter().map(|id| entry(id, 5)));
    let changes = reader.on_page(settled(), page(NEXT, 495, &listing));
    assert_eq!(taken(&changes).contains(&"left"), !alive.is_empty());
}

/// A server whose entry lapsed while the store was away writes it again: that is news.
#[test_case(5, true; "with more writes than before")]
#[test_case(4, false; "the entry of the copy, shown late")]
fn what_is_written_again_is_used_at_once(writes: u64, used: bool) {
    let mut reader = loaded(&[entry("a", 1), entry("b", 4)]);
    let lapsed = vec![Event::BackendRemoved("b".to_owned())];
    reader.on_watch(NOW, watched(FIRST, 501, lapsed));
    restore(&mut reader, NOW, 7, &[entry("a", 1)]);
    let events = vec![written(entry("b", writes))];
    let changes = reader.on_watch(NOW, watched(NEXT, 485, events));
    assert_eq!(taken(&changes) == ["b"], used);
}

/// A server that drains, or was replaced under its id, stays so: what the copy shows of
/// it is older.
#[test]
fn older_entries_of_known_servers_are_not_taken() {
    let draining = Backend {
        state: BackendState::Draining,
        ..entry("drains", 9)
    };
    let second = Backend {
        started: Some(2),
        ..entry("reborn", 1)
    };
    let mut reader = loaded(&[draining, second]);
    let copy = [entry("drains", 8), entry("reborn", 30)];
    assert_eq!(taken(&restore(&mut reader, NOW, 7, &copy)), [""; 0]);
}

/// A number that is given out twice stands for other changes: a watch goes on from the
/// new era, and another daemon's state of the old era is refused whatever its number.
#[test]
fn a_number_given_out_twice_is_not_mistaken() {
    let mut reader = loaded(&[entry("a", 1)]);
    restore(&mut reader, NOW, 7, &[entry("a", 1)]);
    let snapshot = |era, change| Snapshot {
        position: Position::new(era, change),
        release: None,
        backends: vec![entry("a", 1)],
        settles_in: Millis(0),
    };
    assert!(reader.on_snapshot(NOW, snapshot(FIRST, 900)).is_err());
    assert!(reader.on_snapshot(NOW, snapshot(NEXT, 480)).is_ok());
    let mut relay = Relay::default();
    relay.record(
        NOW,
        Position::new(FIRST, 500),
        &[Change::Backend(entry("a", 1))],
    );
    relay.record(
        NOW,
        Position::new(NEXT, 480),
        &[Change::Backend(entry("b", 1))],
    );
    let news = relay.changes(NOW, Position::new(FIRST, 500)).unwrap();
    assert_eq!(taken(&news.changes), ["b"]);
    let known = relay.changes(NOW, Position::new(NEXT, 480)).unwrap();
    assert_eq!(known.changes, []);
}

/// An answer that was on its way while the store came back is of the past.
#[test]
fn a_late_answer_of_an_older_era_is_dropped() {
    let mut reader = loaded(&[]);
    assert_eq!(
        reader.on_era(NOW, NEXT),
        EraCheck::Restored { before: FIRST }
    );
    assert_eq!(reader.on_era(NOW, FIRST), EraCheck::Old);
    assert_eq!(reader.on_era(NOW, NEXT), EraCheck::Same);
}

/// It comes back twice within seconds, the second time from an older copy.
#[test]
fn two_returns_within_seconds() {
    let mut reader = loaded(&[entry("a", 1), entry("new", 1)]);
    restore(&mut reader, NOW, 6, &[entry("a", 1)]);
    let later = NOW + Duration::from_secs(2);
    let twice = Era(5);
    assert_eq!(
        reader.on_era(later, twice),
        EraCheck::Restored { before: NEXT }
    );
    let mut changes = reader.on_release(later, Some(release(4)), Position::new(twice, 300));
    changes.extend(reader.on_page(later, page(twice, 300, &[])));
    assert_eq!(changes, []);
    let first_end = settled();
    assert!(matches!(reader.next(first_end), Step::Watch { .. }));
    let end = later + ReaderSettings::default().settle;
    let changes = reader.on_page(end, page(twice, 320, &[entry("a", 2)]));
    assert_eq!(gone(&changes), ["new"]);
}

/// A daemon that starts meanwhile adds what another one knows to what it reads: the newer
/// release and the new server, and not the one that has left.
#[test]
fn a_daemon_that_starts_learns_from_another() {
    let Item::Release(newest) = release(7) else {
        unreachable!()
    };
    let mut relay = Relay::default();
    let known = [
        Change::Release(newest),
        Change::Backend(entry("a", 1)),
        Change::Backend(entry("new", 1)),
    ];
    relay.record(NOW, Position::new(NEXT, 480), &known);
    relay.set_settled_at(settled());
    let mut reader = Reader::new(ReaderSettings::default());
    reader.on_era(NOW, NEXT);
    reader.on_release(NOW, Some(release(5)), Position::new(NEXT, 482));
    reader.on_page(NOW, page(NEXT, 482, &[entry("a", 1), entry("left", 1)]));
    let view = relay.snapshot(NOW).unwrap();
    let changes = reader.merge_snapshot(NOW, view).unwrap();
    assert!(matches!(&changes[0], Change::Release(release) if release.version.0 == 7));
    assert_eq!(taken(&changes), ["new"]);
    assert_eq!(gone(&changes), ["left"]);
    assert!(!reader.is_complete());
    let catch_up = Step::Watch {
        after: Position::new(NEXT, 482),
        wait: Millis(0),
    };
    assert_eq!(reader.next(NOW), catch_up);
    reader.on_watch(NOW, watched(NEXT, 482, Vec::new()));
    assert!(reader.is_complete());
    // The copy is listed only when it has settled.
    let next = reader.next(settled());
    assert!(matches!(next, Step::ListBackends { stale: false, .. }));
}

/// The view of another daemon may be seconds older than the reading: a server that left
/// in between stays out of use.
#[test]
fn an_older_view_brings_back_no_server() {
    let mut relay = Relay::default();
    let known = [
        Change::Backend(entry("a", 1)),
        Change::Backend(entry("left", 1)),
    ];
    relay.record(NOW, Position::new(FIRST, 480), &known);
    let mut reader = Reader::new(ReaderSettings::default());
    reader.on_era(NOW, FIRST);
    reader.on_release(NOW, Some(release(5)), Position::new(FIRST, 482));
    reader.on_page(NOW, page(FIRST, 482, &[entry("a", 1)]));
    assert_eq!(
        reader.merge_snapshot(NOW, relay.snapshot(NOW).unwrap()),
        Ok(vec![])
    );
}

/// A daemon that has not noticed the return of the store knows nothing newer.
#[test]
fn a_view_of_an_older_era_is_refused() {
    let mut relay = Relay::default();
    relay.record(NOW, Position::new(FIRST, 900), &[]);
    let mut reader = Reader::new(ReaderSettings::default());
    reader.on_era(NOW, NEXT);
    reader.on_release(NOW, Some(release(5)), Position::new(NEXT, 482));
    assert!(
        reader
            .merge_snapshot(NOW, relay.snapshot(NOW).unwrap())
            .is_err()
    );
}

/// Without an era, a store whose changes went back is taken for one that came back.
#[test]
fn a_store_that_states_no_era_may_come_back_too() {
    let mut reader = loaded(&[entry("a", 1), entry("new", 1)]);
    reader.on_failure(NOW, jasminepond_discovery::Failure::HistoryGone);
    reader.on_release(NOW, Some(release(7)), Position::new(FIRST, 400));
    let changes = reader.on_page(NOW, page(FIRST, 400, &[entry("a", 1)]));
    assert_eq!(gone(&changes), [""; 0]);
    let changes = reader.on_page(settled(), page(FIRST, 410, &[entry("a", 1)]));
    assert_eq!(gone(&changes), ["new"]);
}
