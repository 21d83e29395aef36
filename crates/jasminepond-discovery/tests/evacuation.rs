//! Guards against evacuated zones that a daemon misses, forgets or never lifts.

mod common;

use std::time::Duration;

use common::{at, backend, operator_page, publish};
use jasminepond_discovery::{
    Accept, Change, Changes, Era, EraCheck, Event, Item, Page, Position, Publication, Reader,
    ReaderSettings, Record, Relay, Snapshot, Step, UnusableState, WatchResult,
};
use jasminepond_forward::EvacuatedZones;
use jasminepond_routes::{Release, ReleaseVersion};
use jasminepond_types::{Millis, Timestamp};
use test_case::test_case;

const NOW: Timestamp = Timestamp::from_millis(1_000);

fn zones(names: &[&str]) -> EvacuatedZones {
    names.iter().copied().collect()
}

fn released() -> Item {
    Item::Release(Box::new(Release {
        version: ReleaseVersion(3),
        ..Release::default()
    }))
}

fn evacuation(zone: &str) -> Record {
    Record {
        key: format!("op/evacuate/{zone}"),
        item: Item::Evacuation { zone: zone.into() },
    }
}

/// Returns a listing with the release and these evacuated zones.
fn listing(names: &[&str], position: Position) -> Page {
    let mut page = operator_page(Some(released()), position);
    page.records
        .extend(names.iter().map(|zone| evacuation(zone)));
    page
}

fn servers(position: Position) -> Page {
    let record = Record {
        key: "servers/a".to_owned(),
        item: Item::Backend(backend("a")),
    };
    Page {
        records: vec![record],
        has_more: false,
        position,
    }
}

fn watched(events: Vec<Event>, position: Position) -> WatchResult {
    WatchResult { events, position }
}

fn written(zone: &str) -> Event {
    Event::Written(Item::Evacuation { zone: zone.into() })
}

/// Returns the evacuated zones after changes, if they state them.
fn evacuated(changes: &[Change]) -> Option<EvacuatedZones> {
    changes.iter().rev().find_map(|change| match change {
        Change::Evacuated(zones) => Some(zones.clone()),
        _ => None,
    })
}

/// Returns a reader that knows these zones at change 10 of the first era.
fn loaded(names: &[&str]) -> Reader {
    let mut reader = Reader::new(ReaderSettings::default());
    assert_eq!(reader.on_era(NOW, Era(1)), EraCheck::Same);
    reader.on_operator_page(NOW, listing(names, at(10)));
    reader.on_page(NOW, servers(at(10)));
    reader.on_watch(NOW, watched(Vec::new(), at(10)));
    assert!(reader.is_complete());
    reader
}

/// Restores the store from a backup, which evacuates these zones.
fn restore(reader: &mut Reader, names: &[&str]) -> Vec<Change> {
    assert!(matches!(
        reader.on_era(NOW, Era(2)),
        EraCheck::Restored { .. }
    ));
    let position = Position::new(Era(2), 5);
    let mut changes = reader.on_operator_page(NOW, listing(names, position));
    changes.extend(reader.on_page(NOW, servers(position)));
    changes
}

/// Changes as a daemon with these zones relays them.
fn relayed(names: Option<&[&str]>, position: u64) -> Changes {
    Changes {
        position: at(position),
        changes: Vec::new(),
        listed: false,
        release: Some(ReleaseVersion(3)),
        settles_in: Millis(0),
        confirmation: None,
        evacuated: names.map(zones),
    }
}

fn snapshot(names: Option<&[&str]>, position: Position, settles_in: Millis) -> Snapshot {
    let Item::Release(release) = released() else {
        unreachable!()
    };
    Snapshot {
        position,
        release: Some(release),
        backends: vec![backend("a")],
        settles_in,
        confirmation: None,
        evacuated: names.map(zones),
    }
}

/// The keys are written before a daemon starts, and a listing may take several pages. Reading
/// them takes no call beyond those for the release and the servers.
#[test]
fn starting_daemon_lists_all_zones_with_the_release() {
    let mut reader = Reader::new(ReaderSettings::default());
    let first = Page {
        has_more: true,
        ..listing(&["za"], at(10))
    };
    let changes = reader.on_operator_page(NOW, first);
    assert_eq!(evacuated(&changes), Some(zones(&["za"])));
    let next = Step::ListOperator {
        after: Some("op/evacuate/za".to_owned()),
        stale: true,
    };
    assert_eq!(reader.next(NOW), next);
    let second = Page {
        records: vec![evacuation("zb")],
        has_more: false,
        position: at(12),
    };
    let changes = reader.on_operator_page(NOW, second);
    assert_eq!(evacuated(&changes), Some(zones(&["za", "zb"])));
    let next = Step::ListBackends {
        after: None,
        stale: true,
    };
    assert_eq!(reader.next(NOW), next);
    reader.on_page(NOW, servers(at(12)));
    assert!(!reader.is_complete(), "the listing may be stale");
    // Revoked after the listing that may be stale.
    let events = vec![Event::EvacuationRemoved("za".into())];
    let changes = reader.on_watch(NOW, watched(events, at(15)));
    assert_eq!(evacuated(&changes), Some(zones(&["zb"])));
}

/// Before the first release is published, the keys are read again and again. One that is
/// removed in the meantime must not stay in force.
#[test]
fn zone_that_is_revoked_before_the_first_release_is_lifted() {
    let mut reader = Reader::new(ReaderSettings::default());
    let mut page = operator_page(None, at(5));
    page.records.push(evacuation("za"));
    let changes = reader.on_operator_page(NOW, page);
    assert_eq!(evacuated(&changes), Some(zones(&["za"])));
    assert!(matches!(reader.next(NOW), Step::Pause(_)));
    let changes = reader.on_operator_page(NOW, listing(&[], at(9)));
    assert_eq!(evacuated(&changes), Some(zones(&[])));
}

/// Two zones that are written and removed in one watch.
#[test]
fn watch_evacuates_and_lifts_zones() {
    let mut reader = loaded(&["za"]);
    let events = vec![
        written("zb"),
        written("zc"),
        Event::EvacuationRemoved("za".into()),
        Event::EvacuationRemoved("zc".into()),
    ];
    let changes = reader.on_watch(NOW, watched(events, at(14)));
    assert_eq!(evacuated(&changes), Some(zones(&["zb"])));
    // An unchanged key is no news.
    let changes = reader.on_watch(NOW, watched(vec![written("zb")], at(15)));
    assert_eq!(evacuated(&changes), None);
}

/// The history was lost while the daemon was partitioned. The removal is in no watch.
#[test]
fn listing_after_lost_history_lifts_and_evacuates() {
    let mut reader = loaded(&["za"]);
    reader.on_history_gone();
    let changes = reader.on_operator_page(NOW, listing(&["zb"], at(40)));
    assert_eq!(evacuated(&changes), Some(zones(&["zb"])));
}

/// The backup was made before the evacuation. It must stay in force until the operator has had
/// the time to write the key again, and end then if the key is still missing.
#[test_case(&["za"]; "written again")]
#[test_case(&[]; "not written again")]
fn evacuation_survives_a_restored_store_until_it_has_settled(later: &[&str]) {
    let mut reader = loaded(&["za"]);
    let changes = restore(&mut reader, &[]);
    assert_eq!(evacuated(&changes), None);
    let settled = NOW + ReaderSettings::default().settle;
    assert!(matches!(reader.next(NOW), Step::Watch { .. }));
    let next = Step::ListOperator {
        after: None,
        stale: false,
    };
    assert_eq!(reader.next(settled), next);
    let position = Position::new(Era(2), 9);
    let changes = reader.on_operator_page(settled, listing(later, position));
    let lifted = later.is_empty().then(|| zones(&[]));
    assert_eq!(evacuated(&changes), lifted);
    assert!(matches!(reader.next(settled), Step::ListBackends { .. }));
    reader.on_page(settled, servers(position));
    assert!(matches!(reader.next(settled), Step::Watch { .. }));
}

/// The key is written again and removed while the restored store settles, as an evacuation
/// that is revoked.
#[test]
fn removal_in_a_watch_lifts_an_evacuation_in_a_restored_store() {
    let mut reader = loaded(&["za"]);
    restore(&mut reader, &[]);
    let events = vec![written("za"), Event::EvacuationRemoved("za".into())];
    let changes = reader.on_watch(NOW, watched(events, Position::new(Era(2), 7)));
    assert_eq!(evacuated(&changes), Some(zones(&[])));
    // Nothing is left to confirm, so the operator's keys are not listed again.
    let settled = NOW + ReaderSettings::default().settle;
    assert!(matches!(reader.next(settled), Step::ListBackends { .. }));
}

/// A daemon that starts while the restored store settles finds no key. It learns of the
/// evacuation from a daemon that ran before, by a merged or a whole state.
#[test_case(true; "merged with the listing")]
#[test_case(false; "instead of a listing")]
fn starting_daemon_learns_zones_that_a_restored_store_lacks(merged: bool) {
    let position = Position::new(Era(2), 5);
    let known = snapshot(Some(&["za"]), position, Millis(2_000));
    let mut reader = Reader::new(ReaderSettings::default());
    let changes = match merged {
        true => {
            reader.on_era(NOW, Era(2));
            reader.on_operator_page(NOW, listing(&[], position));
            reader.on_page(NOW, servers(position));
            reader.merge_snapshot(NOW, known)
        }
        false => reader.on_snapshot(NOW, known),
    };
    assert_eq!(evacuated(&changes.unwrap()), Some(zones(&["za"])));
    reader.on_watch(NOW, watched(Vec::new(), position));
    let settled = NOW + Duration::from_millis(2_000);
    assert!(matches!(reader.next(settled), Step::ListOperator { .. }));
    let changes = reader.on_operator_page(settled, listing(&[], position));
    assert_eq!(evacuated(&changes), Some(zones(&[])));
}

/// Followers must learn of an evacuation that comes with no change of a server, and of its
/// end.
#[test]
fn follower_learns_zones_with_the_changes() {
    let mut relay = Relay::default();
    let zones_at = |names: &[&str]| [Change::Evacuated(zones(names))];
    publish(&mut relay, NOW, at(10), &zones_at(&["za"]));
    let mut follower = Reader::new(ReaderSettings::default());
    let known = relay.snapshot(NOW, Accept::AnyAge).unwrap();
    assert_eq!(known.evacuated, Some(zones(&["za"])));
    let changes = follower.on_snapshot(NOW, snapshot(Some(&["za"]), at(10), Millis(0)));
    assert_eq!(evacuated(&changes.unwrap()), Some(zones(&["za"])));
    follower.on_confirmed();

    publish(&mut relay, NOW, at(11), &zones_at(&["za", "zb"]));
    publish(&mut relay, NOW, at(12), &zones_at(&["zb"]));
    let relayed = relay.changes(NOW, at(10), Accept::AnyAge).unwrap();
    assert_eq!((relayed.position, &relayed.changes[..]), (at(12), &[][..]));
    let changes = follower.on_changes(NOW, relayed).unwrap();
    assert_eq!(evacuated(&changes), Some(zones(&["zb"])));
}

/// The daemon that is followed has listed a restored store that lacks the key. A follower that
/// still settles must keep the zone.
#[test]
fn follower_that_settles_keeps_zones_that_the_other_daemon_lacks() {
    let mut follower = loaded(&["za"]);
    restore(&mut follower, &[]);
    let changes = Changes {
        position: Position::new(Era(2), 8),
        settles_in: Millis(500),
        ..relayed(Some(&["zb"]), 0)
    };
    let changes = follower.on_changes(NOW, changes).unwrap();
    assert_eq!(evacuated(&changes), Some(zones(&["za", "zb"])));
}

/// Earlier builds do not state zones, which must not be taken for none. Their position may
/// include the key, so a daemon at that position never gets it from a watch.
#[test]
fn states_of_earlier_builds_are_not_followed() {
    let mut reader = loaded(&["za"]);
    let changes = reader.on_changes(NOW, relayed(None, 20));
    assert_eq!(changes, Err(UnusableState::WithoutZones));
    let state = reader.on_snapshot(NOW, snapshot(None, at(20), Millis(0)));
    assert_eq!(state, Err(UnusableState::WithoutZones));
    assert_eq!(reader.position(), at(10));
}

/// A daemon that starts while the store is unavailable and all others are of earlier builds
/// must serve, and read the keys as soon as it reaches a source that has them.
#[test]
fn starting_daemon_serves_with_the_state_of_an_earlier_build() {
    let mut reader = Reader::new(ReaderSettings::default());
    reader
        .on_snapshot(NOW, snapshot(None, at(20), Millis(0)))
        .unwrap();
    assert!(reader.is_complete());
    let next = Step::ListOperator {
        after: None,
        stale: false,
    };
    assert_eq!(reader.next(NOW), next);
    let publication = reader.take_publication(NOW, false);
    assert_eq!(
        publication, None::<Publication>,
        "others would take it for no zones"
    );
    let changes = reader.on_operator_page(NOW, listing(&["za"], at(20)));
    assert_eq!(evacuated(&changes), Some(zones(&["za"])));
}
