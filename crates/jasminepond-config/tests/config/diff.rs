use std::collections::BTreeSet;

use jasminepond_config::{ConfigDiff, Diff};
use jasminepond_types::Version;
use test_case::test_case;

use crate::base::config;

fn set<T: std::str::FromStr<Err: std::fmt::Debug> + Ord>(ids: &[&str]) -> BTreeSet<T> {
    ids.iter().map(|id| id.parse().unwrap()).collect()
}

fn diff<T: std::str::FromStr<Err: std::fmt::Debug> + Ord>(
    added: &[&str],
    removed: &[&str],
    changed: &[&str],
) -> Diff<T> {
    Diff {
        added: set(added),
        removed: set(removed),
        changed: set(changed),
    }
}

/// Each row is a patch and all differences that it makes to the base folder.
/// Guards against resetting connections and queues that did not change.
#[test_case(
    r#"{"servers": {"s4": {"shape": "small", "zone": "za", "address": "127.0.0.1:9004"}}}"#,
    ConfigDiff { servers: diff(&["s4"], &[], &[]), ..ConfigDiff::default() };
    "server added"
)]
#[test_case(
    r#"{"servers": {"s1": {"address": "127.0.0.1:9009"}, "s2": {"slots": 4}}}"#,
    ConfigDiff {
        servers: diff(&[], &[], &["s1", "s2"]), address_changed: set(&["s1"]), ..ConfigDiff::default()
    };
    "address of one server and slots of another"
)]
#[test_case(
    r#"{"evacuated_zones": ["za"]}"#,
    ConfigDiff { evacuated_zones: diff(&["za"], &[], &[]), ..ConfigDiff::default() };
    "zone evacuated"
)]
#[test_case(r#"{"evacuated_zones": []}"#, ConfigDiff::default(); "no zone evacuated")]
#[test_case(
    r#"{"servers": {"s3": null}, "groups": {"run": null}}"#,
    ConfigDiff {
        servers: diff(&[], &["s3"], &[]), groups: diff(&[], &["run"], &[]), ..ConfigDiff::default()
    };
    "server and its group removed"
)]
#[test_case(
    r#"{"tenants": {"tb": {}}, "classes": {"ca": {"priority": 1}}, "zones": {"zc": {"region": "r"}}}"#,
    ConfigDiff {
        tenants: diff(&["tb"], &[], &[]),
        classes: diff(&[], &[], &["ca"]),
        zones: diff(&["zc"], &[], &[]),
        ..ConfigDiff::default()
    };
    "tenant, class and zone"
)]
#[test_case(r#"{"routing": {"mode": "direct"}}"#, ConfigDiff { routing: true, ..ConfigDiff::default() }; "routing")]
#[test_case(r#"{"limits": {"max_hits": 1}}"#, ConfigDiff { limits: true, ..ConfigDiff::default() }; "limits")]
#[test_case(r#"{"drain": {"announce_ms": 0}}"#, ConfigDiff { drain: true, ..ConfigDiff::default() }; "drain")]
#[test_case(
    r#"{"routing": {"mode": "owner"}, "shapes": {"unused": {"slots": 9}}}"#, ConfigDiff::default();
    "explicit default and unused shape"
)]
fn differences(patch: &str, expected: ConfigDiff) {
    let diff = ConfigDiff::between(&config("{}"), &config(patch));
    assert_eq!(diff.is_empty(), expected == ConfigDiff::default());
    assert_eq!(diff, expected);
}

#[test]
fn snapshots_are_compared_by_group_and_version() {
    let old = config("{}");
    let new = config(
        r#"{"groups": {"find": {"snapshots": {
            "41": {"services": {"f1": ["s2", "s1"]}},
            "42": {"services": {"f1": ["s1"]}}
        }}}}"#,
    );
    let key = |version| ("find".parse().unwrap(), Version(version));
    let changes = ConfigDiff::between(&old, &new);
    assert_eq!(changes.groups, diff(&[], &[], &["find"]));
    assert_eq!(changes.snapshots.added, BTreeSet::from([key(42)]));
    assert_eq!(changes.snapshots.changed, BTreeSet::from([key(41)]));
    let reverse = ConfigDiff::between(&new, &old);
    assert_eq!(reverse.snapshots.removed, BTreeSet::from([key(42)]));
}
