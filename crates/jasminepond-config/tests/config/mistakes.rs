use std::net::SocketAddr;

use jasminepond_config::{Config, HedgeAfter, Percent};
use jasminepond_types::{ConnectionLimit, Millis, Slots, Version};
use test_case::test_case;

use crate::base::{config, files, lines, with};

/// Each row is a patch to the valid base folder and the complete list of mistakes
/// that it causes. Guards against mistakes that are not found, and against one
/// mistake that is reported twice under different paths.
#[test_case(r#"{"zone": {}}"#, &["/zone: unknown key, did you mean \"zones\"?"]; "unknown section")]
#[test_case(
    r#"{"routing": {"hegde_budget_percent": 5}}"#,
    &["/routing/hegde_budget_percent: unknown key, did you mean \"hedge_budget_percent\"?"];
    "unknown key with a similar one"
)]
#[test_case(
    r#"{"drain": {"colour": 5}}"#,
    &["/drain/colour: unknown key, the keys here are announce_ms, limit_ms"];
    "unknown key with no similar one"
)]
#[test_case(
    r#"{"servers": {"s1": {"slot": 1}}}"#,
    &["/servers/s1/slot: unknown key, did you mean \"slots\"?"];
    "unknown key of a server"
)]
#[test_case(
    r#"{"routing": {"queue_limit": "64"}}"#,
    &["/routing/queue_limit: expected a whole number from 1 to 100000 \
       (sub-requests per server), found the text \"64\""];
    "string instead of number"
)]
#[test_case(
    r#"{"tenants": {"ta": {"weight": 0}}}"#,
    &["/tenants/ta/weight: expected a whole number from 1 to 1000 (shares), found the number 0"];
    "below the range"
)]
#[test_case(
    r#"{"tenants": {"ta": {"weight": 1001}}}"#,
    &["/tenants/ta/weight: expected a whole number from 1 to 1000 (shares), found the number 1001"];
    "above the range"
)]
#[test_case(
    r#"{"shapes": {"small": {"connect_cost_ms": 1.5}}}"#,
    &["/shapes/small/connect_cost_ms: expected a whole number from 0 to 10000 (ms), \
       found the number 1.5"];
    "fraction in a shape is reported once and not per server"
)]
#[test_case(
    r#"{"shapes": {"small": {"slots": -1}}}"#,
    &["/shapes/small/slots: expected a whole number from 1 to 10000 (requests), \
       found the number -1"];
    "invalid slots in a shape are not missing in its servers"
)]
#[test_case(r#"{"drain": []}"#, &["/drain: expected an object, found an array"]; "list as section")]
#[test_case(
    r#"{"zones": {"za": "ra"}}"#,
    &["/zones/za: expected an object, found the text \"ra\""];
    "string as zone, references to it stay valid"
)]
#[test_case(
    r#"{"zones": {"za": {"region": 4}}}"#,
    &["/zones/za/region: expected a text, found the number 4"];
    "number as id"
)]
#[test_case(
    r#"{"evacuated_zones": ["za", "zx", "za"]}"#,
    &[
        "/evacuated_zones/1: zone \"zx\" is not defined",
        "/evacuated_zones/2: \"za\" is listed twice",
    ];
    "evacuated zone that is not defined, and one that is listed twice"
)]
#[test_case(
    r#"{"evacuated_zones": "za"}"#,
    &["/evacuated_zones: expected a list, found the text \"za\""];
    "evacuated zone that is not in a list"
)]
#[test_case(
    r#"{"shapes": {"small": 4}}"#,
    &["/shapes/small: expected an object, found the number 4"];
    "number as shape, references to it stay valid"
)]
#[test_case(
    r#"{"shapes": []}"#, &["/shapes: expected an object, found an array"];
    "list as shapes, references to it are not reported"
)]
#[test_case(
    r#"{"shapes": null, "servers": {"s2": null, "s3": null}, "groups": {"run": null}}"#,
    &["/groups/find/snapshots/41/services/f1/1: server \"s2\" is not defined",
      "/servers/s1/shape: shape \"small\" is not defined"];
    "no shapes"
)]
#[test_case(
    r#"{"zones": null}"#, &["/zones: the key is missing and has no default"];
    "no zones, references to them are not reported"
)]
#[test_case(
    r#"{"routing": {"mode": "Owner"}}"#,
    &["/routing/mode: \"Owner\" is not valid: \"Owner\" is not one of owner, direct"];
    "unknown choice"
)]
#[test_case(
    r#"{"tenants": {"T A": {}}}"#,
    &["/tenants/T A: \"T A\" is not valid: \
       id has the character 'T', allowed are a-z, 0-9, '-', '.' and '_'"];
    "invalid id"
)]
#[test_case(
    r#"{"tenants": {"ta": null}}"#,
    &["/tenants: the object is empty, at least one entry is needed"];
    "last tenant removed"
)]
#[test_case(
    r#"{"classes": null}"#,
    &["/classes: the key is missing and has no default"];
    "section removed"
)]
#[test_case(
    r#"{"classes": {"ca": {"priority": null}}}"#,
    &["/classes/ca/priority: the key is missing and has no default"];
    "required key removed"
)]
#[test_case(
    r#"{"classes": {"ca": {"default_deadline_ms": 2001}}}"#,
    &["/classes/ca/default_deadline_ms: above max_deadline_ms, which is 2000 ms"];
    "default deadline above the longest"
)]
#[test_case(
    r#"{"drain": {"limit_ms": 5000}}"#,
    &["/drain/limit_ms: not above announce_ms, which is 5000 ms: \
       requests in flight have no time to complete"];
    "drain limit not above the default announcement"
)]
#[test_case(
    r#"{"servers": {"s1": {"address": "localhost:9001"}}}"#,
    &["/servers/s1/address: \"localhost:9001\" is not valid: invalid socket address syntax"];
    "host name as address"
)]
#[test_case(
    r#"{"servers": {"s1": {"address": "127.0.0.1:0"}}}"#,
    &["/servers/s1/address: 127.0.0.1:0 cannot be connected to"];
    "port zero"
)]
#[test_case(
    r#"{"servers": {"s1": {"address": "0.0.0.0:9001"}}}"#,
    &["/servers/s1/address: 0.0.0.0:9001 cannot be connected to"];
    "unspecified address"
)]
#[test_case(
    r#"{"servers": {"s2": {"address": "127.0.0.1:9001"}}}"#,
    &["/servers/s2/address: server \"s1\" has the same address 127.0.0.1:9001"];
    "two servers with one address"
)]
#[test_case(
    r#"{"servers": {"s2": {"address": "127.0.0.1:9001", "zone": "zz"}}}"#,
    &["/servers/s2/address: server \"s1\" has the same address 127.0.0.1:9001",
      "/servers/s2/zone: zone \"zz\" is not defined"];
    "duplicate address and dangling zone are both reported"
)]
#[test_case(
    r#"{"servers": {"s1": {"shape": "smal"}}}"#,
    &["/servers/s1/shape: shape \"smal\" is not defined, did you mean \"small\"?"];
    "dangling shape"
)]
#[test_case(
    r#"{"servers": {"s1": {"shape": null}}}"#,
    &["/servers/s1/connection_limit: neither the server nor its shape has this key",
      "/servers/s1/slots: neither the server nor its shape has this key"];
    "no shape"
)]
#[test_case(
    r#"{"groups": {"find": {"tenants": ["ta", "tx", "tx"], "classes": []}}}"#,
    &["/groups/find/classes: the list is empty, at least one class is needed",
      "/groups/find/tenants/1: tenant \"tx\" is not defined",
      "/groups/find/tenants/2: \"tx\" is listed twice",
      "/groups/find/tenants/2: tenant \"tx\" is not defined"];
    "tenants and classes of a group"
)]
#[test_case(
    r#"{"groups": {"find": {"classes": ["cb"]}}}"#,
    &["/groups/find/classes/0: class \"cb\" is not defined"];
    "dangling class"
)]
#[test_case(
    r#"{"groups": {"find": {"snapshots": {"41": null}}}}"#,
    &["/groups/find/snapshots: the object is empty, at least one entry is needed"];
    "last snapshot removed"
)]
#[test_case(
    r#"{"groups": {"find": {"snapshots": null}}}"#,
    &["/groups/find/snapshots: the key is missing, a group of kind search needs it"];
    "no snapshots"
)]
#[test_case(
    r#"{"groups": {"find": {"snapshots": {"041": {"services": {"f1": ["s1"]}}}}}}"#,
    &["/groups/find/snapshots/041: version 41 is listed twice"];
    "version listed twice"
)]
#[test_case(
    r#"{"groups": {"find": {"snapshots": {"+42": {"services": {"f1": ["s1"]}}}}}}"#,
    &["/groups/find/snapshots/+42: the version is to be written as \"42\""];
    "version in non-canonical form"
)]
#[test_case(
    r#"{"groups": {"find": {"snapshots": {"new": {"services": {"f1": ["s1"]}}}}}}"#,
    &["/groups/find/snapshots/new: \"new\" is not valid: \
       not a snapshot version: invalid digit found in string"];
    "version that is not a number"
)]
#[test_case(
    r#"{"groups": {"find": {"snapshots": {"42": {"services": {}}}}}}"#,
    &["/groups/find/snapshots/42/services: the object is empty, at least one entry is needed"];
    "snapshot without services"
)]
#[test_case(
    r#"{"groups": {"find": {"snapshots": {"42": {}}}}}"#,
    &["/groups/find/snapshots/42/services: the key is missing and has no default"];
    "snapshot without the key services"
)]
#[test_case(
    r#"{"groups": {"find": {"snapshots": {"41": {"services": {"f1": ["s1", "s1"]}}}}}}"#,
    &["/groups/find/snapshots/41/services/f1/1: \"s1\" is listed twice"];
    "replica listed twice"
)]
#[test_case(
    r#"{"groups": {"find": {"snapshots": {"41": {"services": {"f1": []}}}}}}"#,
    &["/groups/find/snapshots/41/services/f1: the list is empty, at least one server is needed"];
    "service without replicas"
)]
#[test_case(
    r#"{"servers": {"s2": null}}"#,
    &["/groups/find/snapshots/41/services/f1/1: server \"s2\" is not defined"];
    "removed server that a snapshot still references"
)]
#[test_case(
    r#"{"groups": {"run": {"servers": ["s9"]}}}"#,
    &["/groups/run/servers/0: server \"s9\" is not defined"];
    "dangling server of an execute group"
)]
#[test_case(
    r#"{"groups": {"run": {"servers": []}}}"#,
    &["/groups/run/servers: the list is empty, at least one server is needed"];
    "execute group without servers"
)]
#[test_case(
    r#"{"groups": {"run": {"kind": "search"}}}"#,
    &["/groups/run/servers: a group of kind search has no servers",
      "/groups/run/snapshots: the key is missing, a group of kind search needs it"];
    "kind that does not match the keys"
)]
fn mistakes(patch: &str, expected: &[&str]) {
    let mistakes = Config::from_files(&with(patch)).unwrap_err();
    let found: Vec<_> = mistakes
        .iter()
        .map(|m| format!("{}: {}", m.path, m.reason))
        .collect();
    assert_eq!(found, expected);
}

// Guards against naming the file that introduced an object instead of the file
// that set the invalid value.
#[test]
fn mistake_names_the_file_that_set_the_value() {
    let mistakes = Config::from_files(&with(
        r#"{"servers": {"s1": {"slots": 0}}, "zones": {"za": null}}"#,
    ));
    assert_eq!(
        lines(&mistakes.unwrap_err()),
        "10-base.json: /servers/s1/zone: zone \"za\" is not defined\n\
         20-patch.json: /servers/s1/slots: expected a whole number from 1 to 10000 (requests), \
         found the number 0"
    );
}

// Guards against stopping after duplicate keys, which are found while merging.
#[test]
fn duplicate_keys_and_other_mistakes_are_reported_together() {
    let mistakes = Config::from_files(&with(
        r#"{"servers": {"s1": {"slots": 1}, "s1": {"slots": 0}}}"#,
    ));
    let found: Vec<_> = mistakes.unwrap_err().into_iter().map(|m| m.path).collect();
    assert_eq!(found, ["/servers/s1", "/servers/s1/slots"]);
}

// Guards against mistakes that are only a consequence of a file that cannot be
// parsed.
#[test]
fn only_an_unparsable_file_is_reported() {
    let files = files(&[("10.json", "{}"), ("20.json", "{")]);
    let named: Vec<_> = Config::from_files(&files)
        .unwrap_err()
        .into_iter()
        .map(|m| m.file)
        .collect();
    assert_eq!(named, ["20.json"]);
}

#[test]
fn values_of_a_server_take_precedence_over_its_shape() {
    let config = config(
        r#"{"servers": {"s1": {"slots": 5}}, "shapes": {"small": {"connect_cost_ms": null}}}"#,
    );
    let server = &config.servers["s1"];
    assert_eq!(server.slots, Slots(5));
    assert_eq!(server.connection_limit, ConnectionLimit(25));
    assert_eq!(server.connect_cost_ms, Millis(1));
    assert_eq!(
        server.address,
        "127.0.0.1:9001".parse::<SocketAddr>().unwrap()
    );
}

// Versions are compared as numbers: as strings, "9" would be newer than "41".
#[test]
fn snapshots_are_newest_first() {
    let services = r#"{"services": {"f1": ["s1"]}}"#;
    let patch = format!(
        r#"{{"groups": {{"find": {{"snapshots": {{"9": {services}, "100": {services}}}}}}}}}"#
    );
    let config = config(&patch);
    let versions: Vec<_> = config.groups["find"]
        .snapshots
        .iter()
        .map(|s| s.version)
        .collect();
    assert_eq!(versions, [Version(100), Version(41), Version(9)]);
}

#[test]
fn group_without_lists_allows_everyone() {
    let config = config(r#"{"tenants": {"tb": {}}, "groups": {"run": {"tenants": ["ta"]}}}"#);
    let (ta, tb) = ("ta".parse().unwrap(), "tb".parse().unwrap());
    assert!(config.groups["find"].allows_tenant(&tb));
    assert!(config.groups["run"].allows_tenant(&ta));
    assert!(!config.groups["run"].allows_tenant(&tb));
    assert!(config.groups["run"].allows_class(&"ca".parse().unwrap()));
}

#[test]
fn fixed_hedge_delay_replaces_the_quantile() {
    let of = |patch| config(patch).routing.hedge_after();
    assert_eq!(of("{}"), HedgeAfter::Quantile(Percent(95)));
    assert_eq!(
        of(r#"{"routing": {"hedge_after_ms": 20}}"#),
        HedgeAfter::Fixed(Millis(20))
    );
}
