//! Tests of the ownership of backend servers.

use std::collections::HashSet;

use jasminepond_routing::{Candidate, Ownership};
use jasminepond_types::{InstanceId, ServerId, ZoneId};
use proptest::prelude::*;
use test_case::test_case;

const SERVERS: usize = 300;

fn candidate(name: &str, zone: &str, usable: bool) -> Candidate {
    Candidate {
        instance: name.parse().unwrap(),
        zone: zone.parse().unwrap(),
        region: zone.split('-').next().unwrap().parse().unwrap(),
        usable,
    }
}

fn servers() -> Vec<ServerId> {
    (0..SERVERS)
        .map(|n| format!("s{n}").parse().unwrap())
        .collect()
}

fn owners(ownership: &mut Ownership, zone: &ZoneId) -> Vec<Option<InstanceId>> {
    let owner = |server| ownership.owner(&server, zone);
    servers().into_iter().map(owner).collect()
}

fn owners_without_history(candidates: &[Candidate], zone: &ZoneId) -> Vec<Option<InstanceId>> {
    let mut ownership = Ownership::default();
    ownership.rebuild(candidates);
    owners(&mut ownership, zone)
}

/// Guards against servers without an owner while any daemon is live, and against
/// owners that are farther away than necessary.
#[test_case(&["east-1", "east-2", "west-1"], "east-1" ; "own zone")]
#[test_case(&["east-2", "west-1"], "east-2" ; "same region")]
#[test_case(&["west-1"], "west-1" ; "any region")]
fn the_owner_is_in_the_nearest_zone_with_a_live_daemon(live: &[&str], expected: &str) {
    let candidates =
        ["east-1", "east-2", "west-1"].map(|zone| candidate(zone, zone, live.contains(&zone)));
    let owners = owners_without_history(&candidates, &"east-1".parse().unwrap());
    let expected = expected.parse::<InstanceId>().unwrap();
    assert!(owners.iter().all(|owner| owner.as_ref() == Some(&expected)));
}

/// Guards against a daemon that takes over out of order: when the owner leaves, the
/// next candidate must become the owner.
#[test]
fn the_next_candidate_becomes_owner_when_the_owner_leaves() {
    let zone = "east-1".parse().unwrap();
    let server = "s1".parse().unwrap();
    let mut all: Vec<Candidate> = (0..9)
        .map(|n| candidate(&format!("d{n}"), "east-1", true))
        .collect();
    let mut ownership = Ownership::default();
    ownership.rebuild(&all);
    for expected in ownership.candidates(&server, &zone, 7) {
        assert_eq!(ownership.owner(&server, &zone).as_ref(), Some(&expected));
        all.retain(|c| c.instance != expected);
        ownership.rebuild(&all);
    }
    ownership.rebuild(&[]);
    assert_eq!(ownership.owner(&server, &zone), None);
}

/// Guards against a cached owner that is still returned after the server has moved to
/// another zone.
#[test]
fn a_server_that_changes_its_zone_changes_its_owner() {
    let mut ownership = Ownership::default();
    ownership.rebuild(&["east-1", "east-2"].map(|zone| candidate(zone, zone, true)));
    for zone in ["east-1", "east-2", "east-1"] {
        let owner = ownership.owner(&"s1".parse().unwrap(), &zone.parse().unwrap());
        assert_eq!(owner, Some(zone.parse().unwrap()));
    }
}

/// Guards against one daemon that owns far more servers than another.
#[test]
fn servers_are_spread_over_daemons() {
    let all: Vec<Candidate> = (0..6)
        .map(|n| candidate(&format!("d{n}"), "east-1", true))
        .collect();
    let owners = owners_without_history(&all, &"east-1".parse().unwrap());
    for c in &all {
        let share = owners
            .iter()
            .filter(|o| o.as_ref() == Some(&c.instance))
            .count();
        assert!(
            (30..=75).contains(&share),
            "{} owns {share} of {SERVERS}",
            c.instance
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against daemons that disagree on owners although they have the same view,
    /// because earlier views differed, and against servers that move between two
    /// daemons that are both in the old and the new view.
    #[test]
    fn a_view_change_moves_only_affected_servers(
        views in proptest::collection::vec(
            proptest::collection::vec((0..12u8, 0..3u8, any::<bool>()), 0..12),
            1..6,
        ),
    ) {
        let zones = ["east-1", "east-2", "west-1"];
        let zone: ZoneId = "east-1".parse().unwrap();
        let mut ownership = Ownership::default();
        for zone in zones {
            let region = zone.split('-').next().unwrap().parse().unwrap();
            ownership.set_zone_region(&zone.parse().unwrap(), &region);
        }
        let mut before = owners(&mut ownership, &zone);
        let mut pool_before = HashSet::new();
        for view in views {
            // The zone of a daemon does not change.
            let view: Vec<Candidate> = view
                .iter()
                .map(|&(n, _, usable)| candidate(&format!("d{n}"), zones[usize::from(n) % 3], usable))
                .collect();
            let moved = ownership.rebuild(&view);
            let after = owners(&mut ownership, &zone);
            let mut complete = view.clone();
            complete.extend(zones.map(|zone| candidate("none", zone, false)));
            prop_assert_eq!(&after, &owners_without_history(&complete, &zone));
            let changed = before.iter().zip(&after).filter(|(b, a)| b != a).count();
            prop_assert_eq!(moved, changed);
            let pool: HashSet<InstanceId> = after.iter().flatten().cloned().collect();
            for (b, a) in before.iter().zip(&after) {
                if let (Some(b), Some(a)) = (b, a) && b != a {
                    let needless = pool.contains(b) && pool_before.contains(a);
                    prop_assert!(!needless, "moved from {} to {}", b, a);
                }
            }
            (before, pool_before) = (after, pool);
        }
    }
}
