use std::path::PathBuf;

use jasminepond_config::{
    CheckOptions, CheckedFolder, Config, Files, WarningKind, check, digest, merge, review,
};
use serde_json::{Value, json};
use test_case::test_case;

/// Checks one file that overrides values of a folder without warnings.
fn checked(change: &Value) -> CheckedFolder {
    let files = Files::from([
        ("10.json".to_owned(), plain().to_string().into_bytes()),
        ("90.json".to_owned(), change.to_string().into_bytes()),
    ]);
    CheckedFolder {
        digest: digest(&files),
        merged: merge(&files).unwrap(),
        config: Config::from_files(&files).unwrap(),
    }
}

fn plain() -> Value {
    json!({
        "zones": {"za": {"region": "ra"}},
        "tenants": {"moulding": {}},
        "classes": {"lookup": {"priority": 0, "default_deadline_ms": 250, "max_deadline_ms": 2000}},
        "shapes": {"shard": {"slots": 2, "connection_limit": 25}},
        "servers": {
            "s1": {"address": "127.0.0.1:9001", "zone": "za", "shape": "shard"},
            "s2": {"address": "127.0.0.1:9002", "zone": "za", "slots": 2, "connection_limit": 25}
        },
        "groups": {
            "shop": {"kind": "search", "snapshots": {"41": {"services": {"shop-01": ["s1"]}}}},
            "orders": {"kind": "execute", "servers": ["s2"]}
        }
    })
}

/// Guards against warnings about a configuration in which everything has an effect.
#[test]
fn a_plain_folder_has_no_warnings() {
    assert_eq!(review(&checked(&json!({}))), []);
}

/// Guards against entries without effect that are deployed unnoticed.
#[test_case(json!({"servers": {"s3": {"address": "127.0.0.1:9003", "zone": "za", "shape": "shard"}}}),
    "/servers/s3", WarningKind::Unused; "a server without a group")]
#[test_case(json!({"shapes": {"large": {"slots": 9}}}), "/shapes/large", WarningKind::Unused; "a shape without a server")]
#[test_case(json!({"tenants": {"office": {}}, "groups": {"shop": {"tenants": ["moulding"]}, "orders": {"tenants": ["moulding"]}}}),
    "/tenants/office", WarningKind::Unused; "a tenant that no group admits")]
#[test_case(json!({"classes": {"rare": {"priority": 1, "default_deadline_ms": 100, "max_deadline_ms": 100}},
    "groups": {"shop": {"classes": ["lookup"]}, "orders": {"classes": ["lookup"]}}}),
    "/classes/rare", WarningKind::Unused; "a class that no group admits")]
#[test_case(json!({"tenants": {"moulding": {"max_in_flight": 5000}}}),
    "/tenants/moulding/max_in_flight", WarningKind::Contradiction; "a limit above that of the daemon")]
#[test_case(json!({"limits": {"max_connections": 100}}), "/limits/max_in_flight", WarningKind::Contradiction; "more requests than connections")]
#[test_case(json!({"classes": {"lookup": {"max_deadline_ms": 30_001}}}),
    "/classes/lookup/max_deadline_ms", WarningKind::Contradiction; "a deadline after the drain limit")]
#[test_case(json!({"routing": {"hop_allowance_ms": 1000}}),
    "/classes/lookup/max_deadline_ms", WarningKind::Contradiction; "no time after two hops")]
#[test_case(json!({"routing": {"hedge_after_ms": 2000}}), "/routing/hedge_after_ms", WarningKind::Unused; "hedging after the deadline")]
#[test_case(json!({"routing": {"hedge_after_ms": 20, "hedge_budget_percent": 0}}),
    "/routing/hedge_after_ms", WarningKind::Contradiction; "hedging without a budget")]
#[test_case(json!({"limits": {"key_lifetime_ms": 1000}}), "/limits/key_lifetime_ms", WarningKind::Contradiction; "keys shorter than requests")]
#[test_case(json!({"servers": {"s2": {"slots": 30}}}), "/servers/s2/connection_limit", WarningKind::Contradiction; "more slots than connections")]
#[test_case(json!({"routing": {"owner_candidates": 26}, "servers": {"s1": {"connection_limit": 26}}}),
    "/servers/s2/connection_limit", WarningKind::Contradiction; "more owners than connections")]
fn questionable_entries_are_named(change: Value, path: &str, kind: WarningKind) {
    let warnings = review(&checked(&change));
    let [warning] = &warnings[..] else {
        panic!("{warnings:?}");
    };
    assert_eq!((warning.path.as_str(), warning.kind), (path, kind));
    assert!(!warning.reason.is_empty());
}

/// Guards against a check that fails for the examples of the documentation.
#[test_case("foundry")]
#[test_case("registry")]
fn examples_have_no_warnings(name: &str) {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let folder = folder.join("../../examples").join(name);
    let outcome = check(&CheckOptions {
        folder,
        ..CheckOptions::default()
    });
    assert_eq!(review(&outcome.result.unwrap()), []);
}
