//! Guards against a state that is reverted when the store is restored from a backup some
//! seconds old, and against changes after the restore that are missed.

mod common;

use std::time::Duration;

use common::{backend, operator_page, publish};
use jasminepond_discovery::{
    Accept, Change, Era, EraCheck, Event, Item, Page, Position, Publication, Reader,
    ReaderSettings, Record, Relay, RelayError, Snapshot, Step, WatchResult,
};
use jasminepond_forward::{Backend, BackendState, EvacuatedZones};
use jasminepond_routes::{Release, ReleaseVersion};
use jasminepond_types::{Millis, Timestamp};
use test_case::test_case;

const NOW: Timestamp = Timestamp::from_millis(1_000);
const OLD_ERA: Era = Era(3);
const NEW_ERA: Era = Era(4);

fn release(version: u64) -> Item {
    Item::Release(Box::new(Release {
        version: ReleaseVersion(version),
        ..Release::default()
    }))
}

/// Returns an entry with this number of writes.
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

/// Returns a reader that has read release 7 and these entries at change 500.
fn loaded(backends: &[Backend]) -> Reader {
    let mut reader = Reader::new(ReaderSettings::default());
    assert_eq!(reader.on_era(NOW, OLD_ERA), EraCheck::Same);
    reader.on_operator_page(
        NOW,
        operator_page(Some(release(7)), Position::new(OLD_ERA, 500)),
    );
    reader.on_page(NOW, page(OLD_ERA, 500, backends));
    reader.on_watch(NOW, watched(OLD_ERA, 500, Vec::new()));
    assert!(reader.is_complete());
    reader
}

/// Restores the store from a backup and reads everything again.
fn restore(reader: &mut Reader, now: Timestamp, version: u64, backup: &[Backend]) -> Vec<Change> {
    assert_eq!(
        reader.on_era(now, NEW_ERA),
        EraCheck::Restored { before: OLD_ERA }
    );
    let after_pause = now + Duration::from_millis(200);
    let next = reader.next(after_pause);
    assert_eq!(
        next,
        Step::ListOperator {
            after: None,
            stale: false
        }
    );
    let position = Position::new(NEW_ERA, 480);
    let mut changes = reader.on_operator_page(now, operator_page(Some(release(version)), position));
    changes.extend(reader.on_page(now, page(NEW_ERA, 480, backup)));
    changes
}

fn removed(changes: &[Change]) -> Vec<&str> {
    changes.iter().filter_map(removed_id).collect()
}

fn removed_id(change: &Change) -> Option<&str> {
    match change {
        Change::BackendRemoved { id, .. } => Some(id),
        _ => None,
    }
}

fn updated(changes: &[Change]) -> Vec<&str> {
    changes.iter().filter_map(updated_id).collect()
}

fn updated_id(change: &Change) -> Option<&str> {
    match change {
        Change::Backend(backend) => Some(&backend.id),
        _ => None,
    }
}

fn settled() -> Timestamp {
    NOW + ReaderSettings::default().settle
}

/// Change numbers go back with the restore. A state of the new era is newer even though
/// its change number is lower.
#[test]
fn changes_of_the_new_era_are_followed() {
    let mut reader = loaded(&[entry("a", 1)]);
    restore(&mut reader, NOW, 7, &[entry("a", 1)]);
    assert!(reader.is_complete(), "the reader must stay complete");
    assert!(reader.position() > Position::new(OLD_ERA, 500));
    let next = Step::Watch {
        after: Position::new(NEW_ERA, 480),
        wait: Millis(2_000),
    };
    assert_eq!(reader.next(NOW), next);
    let events = vec![Event::Written(release(8)), written(entry("b", 1))];
    let changes = reader.on_watch(NOW, watched(NEW_ERA, 482, events));
    assert_eq!(changes.len(), 2);
}

/// The release in the backup is older. It must not come into force again, nor must a route
/// that was withdrawn.
#[test]
fn older_release_in_the_backup_is_ignored() {
    let mut reader = loaded(&[]);
    assert_eq!(restore(&mut reader, NOW, 5, &[]), []);
    let again = vec![Event::Written(release(7))];
    assert_eq!(reader.on_watch(NOW, watched(NEW_ERA, 481, again)), []);
    let newer = vec![Event::Written(release(9))];
    let changes = reader.on_watch(NOW, watched(NEW_ERA, 482, newer));
    assert!(matches!(&changes[..], [Change::Release(release)] if release.version.0 == 9));
}

/// If the backup has no release, the one in force must stay.
#[test]
fn backup_without_a_release_keeps_the_one_in_force() {
    let mut reader = loaded(&[entry("a", 1)]);
    reader.on_era(NOW, NEW_ERA);
    assert_eq!(
        reader.on_operator_page(NOW, operator_page(None, Position::new(NEW_ERA, 480))),
        []
    );
    assert_eq!(
        reader
            .on_page(NOW, page(NEW_ERA, 480, &[entry("a", 1)]))
            .len(),
        1
    );
}

/// Servers that joined after the backup must stay in use while they write their entries
/// again. One that does not write is removed.
#[test]
fn entries_missing_from_the_backup_are_kept_until_settled() {
    let mut reader = loaded(&[entry("a", 1), entry("new", 1), entry("lost", 1)]);
    let changes = restore(&mut reader, NOW, 7, &[entry("a", 1)]);
    assert_eq!(removed(&changes), [""; 0]);
    let later = NOW + Duration::from_secs(2);
    reader.on_watch(later, watched(NEW_ERA, 490, vec![written(entry("new", 2))]));
    assert!(matches!(
        reader.next(settled()),
        Step::ListBackends { stale: false, .. }
    ));
    let listing = [entry("a", 1), entry("new", 2)];
    let changes = reader.on_page(settled(), page(NEW_ERA, 495, &listing));
    assert_eq!(removed(&changes), ["lost"]);
    assert!(matches!(reader.next(settled()), Step::Watch { .. }));
}

/// The backup lists a server that has left as ready. It must not be used, unless it proves
/// to be alive.
#[test_case(&[]; "its entry expires")]
#[test_case(&["left"]; "it is alive")]
fn removed_server_in_the_backup_is_not_used(alive: &[&str]) {
    let mut reader = loaded(&[entry("a", 1), entry("left", 4)]);
    let left = vec![Event::BackendRemoved("left".to_owned())];
    reader.on_watch(NOW, watched(OLD_ERA, 501, left));
    let changes = restore(&mut reader, NOW, 7, &[entry("a", 1), entry("left", 4)]);
    assert_eq!(updated(&changes), ["a"]);
    let mut listing = vec![entry("a", 1)];
    listing.extend(alive.iter().map(|id| entry(id, 5)));
    let changes = reader.on_page(settled(), page(NEW_ERA, 495, &listing));
    assert_eq!(updated(&changes).contains(&"left"), !alive.is_empty());
}

/// A server whose entry expired while the store was unavailable must be used as soon as it
/// writes its entry again.
#[test_case(5, true; "with more writes than before")]
#[test_case(4, false; "the entry of the backup, late")]
fn rewritten_entry_is_used_at_once(writes: u64, used: bool) {
    let mut reader = loaded(&[entry("a", 1), entry("b", 4)]);
    let expired = vec![Event::BackendRemoved("b".to_owned())];
    reader.on_watch(NOW, watched(OLD_ERA, 501, expired));
    restore(&mut reader, NOW, 7, &[entry("a", 1)]);
    let events = vec![written(entry("b", writes))];
    let changes = reader.on_watch(NOW, watched(NEW_ERA, 485, events));
    assert_eq!(updated(&changes) == ["b"], used);
}

/// The entries in the backup are older. A server that drains or was replaced under its id
/// must not revert to them.
#[test]
fn older_entries_of_known_servers_are_ignored() {
    let draining = Backend {
        state: BackendState::Draining,
        ..entry("drains", 9)
    };
    let second = Backend {
        started: Some(2),
        ..entry("replaced", 1)
    };
    let mut reader = loaded(&[draining, second]);
    let backup = [entry("drains", 8), entry("replaced", 30)];
    assert_eq!(updated(&restore(&mut reader, NOW, 7, &backup)), [""; 0]);
}

/// A change number that is used in two eras denotes different changes. A watch must
/// continue in the new era, and another daemon's state of the old era must be rejected
/// whatever its change number.
#[test]
fn change_numbers_of_different_eras_are_not_confused() {
    let mut reader = loaded(&[entry("a", 1)]);
    restore(&mut reader, NOW, 7, &[entry("a", 1)]);
    let snapshot = |era, change| Snapshot {
        position: Position::new(era, change),
        release: None,
        backends: vec![entry("a", 1)],
        settles_in: Millis(0),
        confirmation: None,
        evacuated: Some(EvacuatedZones::default()),
    };
    assert!(reader.on_snapshot(NOW, snapshot(OLD_ERA, 900)).is_err());
    assert!(reader.on_snapshot(NOW, snapshot(NEW_ERA, 480)).is_ok());
    let mut relay = Relay::default();
    publish(
        &mut relay,
        NOW,
        Position::new(OLD_ERA, 500),
        &[Change::Backend(entry("a", 1))],
    );
    publish(
        &mut relay,
        NOW,
        Position::new(NEW_ERA, 480),
        &[Change::Backend(entry("b", 1))],
    );
    // Followers at the old position read the whole state of the new era.
    let after_restore = relay.changes(NOW, Position::new(OLD_ERA, 500), Accept::Current);
    assert_eq!(after_restore, Err(RelayError::HistoryGone));
    let snapshot = relay.snapshot(NOW, Accept::Current).unwrap();
    assert!(snapshot.backends.iter().any(|backend| &*backend.id == "b"));
    let known = relay
        .changes(NOW, Position::new(NEW_ERA, 480), Accept::Current)
        .unwrap();
    assert_eq!(known.changes, []);
}

/// A response that was sent before the restore and arrives after it is outdated.
#[test]
fn late_response_of_an_older_era_is_dropped() {
    let mut reader = loaded(&[]);
    assert_eq!(
        reader.on_era(NOW, NEW_ERA),
        EraCheck::Restored { before: OLD_ERA }
    );
    assert_eq!(reader.on_era(NOW, OLD_ERA), EraCheck::Old);
    assert_eq!(reader.on_era(NOW, NEW_ERA), EraCheck::Same);
}

/// The store is restored twice within seconds, the second time from an older backup.
#[test]
fn second_restore_while_settling() {
    let mut reader = loaded(&[entry("a", 1), entry("new", 1)]);
    restore(&mut reader, NOW, 6, &[entry("a", 1)]);
    let later = NOW + Duration::from_secs(2);
    let third = Era(5);
    assert_eq!(
        reader.on_era(later, third),
        EraCheck::Restored { before: NEW_ERA }
    );
    let mut changes = reader.on_operator_page(
        later,
        operator_page(Some(release(4)), Position::new(third, 300)),
    );
    changes.extend(reader.on_page(later, page(third, 300, &[])));
    assert_eq!(changes, []);
    let first_end = settled();
    assert!(matches!(reader.next(first_end), Step::Watch { .. }));
    let end = later + ReaderSettings::default().settle;
    let changes = reader.on_page(end, page(third, 320, &[entry("a", 2)]));
    assert_eq!(removed(&changes), ["new"]);
}

/// A daemon that starts while the store settles must learn from another one of the newer
/// release, the new server and the server that has left.
#[test]
fn starting_daemon_merges_the_snapshot_of_another() {
    let Item::Release(newest) = release(7) else {
        unreachable!()
    };
    let mut relay = Relay::default();
    let known = [
        Change::Release(newest),
        Change::Backend(entry("a", 1)),
        Change::Backend(entry("new", 1)),
    ];
    relay.stage(known);
    relay.publish(Publication {
        position: Position::new(NEW_ERA, 480),
        confirmed_at: NOW,
        reads_store: true,
        listed: false,
        settles_at: Some(settled()),
    });
    let mut reader = Reader::new(ReaderSettings::default());
    reader.on_era(NOW, NEW_ERA);
    reader.on_operator_page(
        NOW,
        operator_page(Some(release(5)), Position::new(NEW_ERA, 482)),
    );
    reader.on_page(NOW, page(NEW_ERA, 482, &[entry("a", 1), entry("left", 1)]));
    let snapshot = relay.snapshot(NOW, Accept::Current).unwrap();
    let changes = reader.merge_snapshot(NOW, snapshot).unwrap();
    assert!(matches!(&changes[0], Change::Release(release) if release.version.0 == 7));
    assert_eq!(updated(&changes), ["new"]);
    assert_eq!(removed(&changes), ["left"]);
    assert!(!reader.is_complete());
    let catch_up = Step::Watch {
        after: Position::new(NEW_ERA, 482),
        wait: Millis(0),
    };
    assert_eq!(reader.next(NOW), catch_up);
    reader.on_watch(NOW, watched(NEW_ERA, 482, Vec::new()));
    assert!(reader.is_complete());
    // The backend servers are listed again only after the store has settled.
    let next = reader.next(settled());
    assert!(matches!(next, Step::ListBackends { stale: false, .. }));
}

/// The snapshot of another daemon may be seconds older than the read. A server that has
/// left in between must not be used again.
#[test]
fn older_snapshot_adds_no_server() {
    let mut relay = Relay::default();
    let known = [
        Change::Backend(entry("a", 1)),
        Change::Backend(entry("left", 1)),
    ];
    publish(&mut relay, NOW, Position::new(OLD_ERA, 480), &known);
    let mut reader = Reader::new(ReaderSettings::default());
    reader.on_era(NOW, OLD_ERA);
    reader.on_operator_page(
        NOW,
        operator_page(Some(release(5)), Position::new(OLD_ERA, 482)),
    );
    reader.on_page(NOW, page(OLD_ERA, 482, &[entry("a", 1)]));
    assert_eq!(
        reader.merge_snapshot(NOW, relay.snapshot(NOW, Accept::Current).unwrap()),
        Ok(vec![])
    );
}

/// A daemon that has not noticed the restore yet has no newer state.
#[test]
fn snapshot_of_an_older_era_is_rejected() {
    let mut relay = Relay::default();
    publish(&mut relay, NOW, Position::new(OLD_ERA, 900), &[]);
    let mut reader = Reader::new(ReaderSettings::default());
    reader.on_era(NOW, NEW_ERA);
    reader.on_operator_page(
        NOW,
        operator_page(Some(release(5)), Position::new(NEW_ERA, 482)),
    );
    assert!(
        reader
            .merge_snapshot(NOW, relay.snapshot(NOW, Accept::Current).unwrap())
            .is_err()
    );
}

/// If the store reports no new era, a restore is detected by a position that goes back.
#[test]
fn restore_without_a_new_era_is_detected() {
    let mut reader = loaded(&[entry("a", 1), entry("new", 1)]);
    reader.on_history_gone();
    reader.on_operator_page(
        NOW,
        operator_page(Some(release(7)), Position::new(OLD_ERA, 400)),
    );
    let changes = reader.on_page(NOW, page(OLD_ERA, 400, &[entry("a", 1)]));
    assert_eq!(removed(&changes), [""; 0]);
    let changes = reader.on_page(settled(), page(OLD_ERA, 410, &[entry("a", 1)]));
    assert_eq!(removed(&changes), ["new"]);
}

/// A follower that fetched the state while the store settled must fetch it once more, and not
/// without end. It must keep servers only until the other daemon has listed them again.
#[test]
fn follower_comes_to_rest_once_the_store_has_settled() {
    let snapshot = |now, backends: &[Backend], settles_at| {
        let mut relay = Relay::default();
        relay.stage(backends.iter().cloned().map(Change::Backend));
        relay.publish(Publication {
            position: Position::new(NEW_ERA, 480),
            confirmed_at: now,
            reads_store: true,
            listed: true,
            settles_at,
        });
        relay.snapshot(now, Accept::AnyAge).unwrap()
    };
    let mut reader = loaded(&[entry("a", 1), entry("left", 1)]);
    let settling = snapshot(NOW, &[entry("a", 1), entry("left", 1)], Some(settled()));
    reader.on_snapshot(NOW, settling).unwrap();
    assert!(matches!(reader.next(NOW), Step::Watch { .. }));
    // The other daemon has not listed the servers again yet.
    assert!(matches!(reader.next(settled()), Step::ListBackends { .. }));
    let late = snapshot(
        settled(),
        &[entry("a", 1), entry("left", 1)],
        Some(settled()),
    );
    reader.on_snapshot(settled(), late).unwrap();
    assert!(matches!(reader.next(settled()), Step::Watch { wait, .. } if wait > Millis(0)));
    let later = settled() + Duration::from_secs(1);
    let changes = reader.on_snapshot(later, snapshot(later, &[entry("a", 1)], None));
    assert_eq!(removed(&changes.unwrap()), ["left"]);
    assert!(matches!(reader.next(later), Step::Watch { .. }));
    assert!(reader.is_settled());
}

/// A daemon that missed the whole restore must not keep removed servers for the time in which
/// the store settles.
#[test]
fn settled_snapshot_of_a_new_era_is_complete() {
    let mut relay = Relay::default();
    let position = Position::new(NEW_ERA, 480);
    publish(&mut relay, NOW, position, &[Change::Backend(entry("a", 1))]);
    let mut reader = loaded(&[entry("a", 1), entry("left", 1)]);
    let snapshot = relay.snapshot(NOW, Accept::AnyAge).unwrap();
    let changes = reader.on_snapshot(NOW, snapshot).unwrap();
    assert_eq!(removed(&changes), ["left"]);
}
