use std::path::Path;

use jasminepond_config::{LogFormat, LogLevel, Settings, SyncSettings};
use serde_json::{Value, json};
use test_case::test_case;

fn base() -> Value {
    json!({
        "instance": "entry-1", "zone": "za", "region": "ra",
        "callers": "127.0.0.1:8001", "peers": "127.0.0.1:8002",
        "membership": "127.0.0.1:8002", "operators": "127.0.0.1:8004",
        "platform": ["127.0.0.1:7000"],
        "peer_keys": ["5a".repeat(32)],
    })
}

fn read(patch: Value) -> Result<Settings, Vec<String>> {
    let mut value = base();
    json_patch::merge(&mut value, &patch);
    Settings::from_json("s.json", value.to_string().as_bytes())
        .map_err(|mistakes| mistakes.iter().map(ToString::to_string).collect())
}

#[test]
fn absent_sections_have_defaults() {
    let settings = read(json!({})).unwrap();
    assert_eq!(settings.log.level, LogLevel::Info);
    assert_eq!(settings.log.format, LogFormat::Text);
    assert_eq!(
        settings.sync,
        SyncSettings {
            readers_per_zone: 2,
            fanout: 4
        }
    );
    assert_eq!(settings.advertised_peers(), settings.peers);
    assert_eq!(settings.advertised_membership(), settings.membership);
}

#[test]
fn advertised_addresses_replace_the_listen_addresses() {
    let settings = read(json!({
        "peers": "0.0.0.0:8002", "membership": "[::]:8002",
        "advertise": {"peers": "10.0.0.7:8002", "membership": "10.0.0.7:8003"},
    }));
    let settings = settings.unwrap();
    assert_eq!(settings.advertised_peers().to_string(), "10.0.0.7:8002");
    assert_eq!(
        settings.advertised_membership().to_string(),
        "10.0.0.7:8003"
    );
}

#[test_case(json!({"zone": null}), &["/zone: the key is missing and has no default"]; "missing")]
#[test_case(json!({"zome": "z"}), &["/zome: unknown key, did you mean \"zone\"?"]; "unknown key")]
#[test_case(
    json!({"log": {"level": "loud", "colour": true}}),
    &["/log/colour: unknown key, the keys here are level, format",
      "/log/level: \"loud\" is not valid: \
       \"loud\" is not one of critical, error, warn, info, debug, trace"];
    "log"
)]
#[test_case(
    json!({"sync": {"fanout": 0}}),
    &["/sync/fanout: expected a whole number from 1 to 32 (peers), found the number 0"];
    "range"
)]
#[test_case(
    json!({"platform": []}), &["/platform: the list is empty, at least one entry is needed"];
    "no platform"
)]
#[test_case(
    json!({"platform": ["nowhere", "127.0.0.1:0"]}),
    &["/platform/0: \"nowhere\" is not valid: invalid socket address syntax",
      "/platform/1: 127.0.0.1:0 cannot be connected to"];
    "index of an invalid platform address"
)]
#[test_case(
    json!({"peers": "0.0.0.0:8002"}),
    &["/peers: peers cannot connect to it, set advertise.peers"];
    "unspecified address without an advertised one"
)]
#[test_case(
    json!({"advertise": {"membership": "0.0.0.0:1"}}),
    &["/advertise/membership: 0.0.0.0:1 cannot be connected to"];
    "unspecified advertised address"
)]
#[test_case(
    json!({"operators": "127.0.0.1:8001"}),
    &["/operators: callers has the same address 127.0.0.1:8001"];
    "two TCP listeners with one address"
)]
#[test_case(
    json!({"peer_keys": []}), &["/peer_keys: the list is empty, at least one entry is needed"];
    "no key"
)]
#[test_case(
    json!({"peer_keys": ["5a".repeat(32), "5A".repeat(32)]}),
    &["/peer_keys/1: the key is listed twice"];
    "key listed twice"
)]
fn mistakes(patch: Value, expected: &[&str]) {
    let expected: Vec<_> = expected
        .iter()
        .map(|line| format!("s.json: {line}"))
        .collect();
    assert_eq!(read(patch).unwrap_err(), expected);
}

// Mistakes are logged, so a key in a mistake would leak into the log.
#[test_case(json!(["abcdef"]), "/peer_keys/0: not a key: 3 bytes, at least 32 are needed"; "short")]
#[test_case(json!(["secret"]), "/peer_keys/0: not a key: expected an even number of hex digits"; "not hex")]
#[test_case(json!([123_456]), "/peer_keys/0: expected a text"; "number")]
#[test_case(json!("secret"), "/peer_keys: expected a list"; "not a list")]
fn mistakes_do_not_contain_keys(keys: Value, expected: &str) {
    let mistakes = read(json!({"peer_keys": keys})).unwrap_err();
    assert_eq!(mistakes, [format!("s.json: {expected}")]);
}

#[test]
fn peer_keys_keep_their_order() {
    let (old, new) = ("5a".repeat(32), "6b".repeat(40));
    let settings = read(json!({"peer_keys": [new, old]})).unwrap();
    let single = |key: &str| key.parse().unwrap();
    assert_eq!(settings.peer_keys, [single(&new), single(&old)]);
    assert_ne!(
        settings.peer_keys[0].mac_key(),
        settings.peer_keys[1].mac_key()
    );
}

#[test]
fn duplicate_key_is_reported() {
    let text = base().to_string().replacen('{', "{\"zone\": \"zb\",", 1);
    let mistakes = Settings::from_json("s.json", text.as_bytes()).unwrap_err();
    assert_eq!(
        mistakes[0].to_string(),
        "s.json: /zone: the key occurs twice in one object"
    );
}

#[test]
fn mistake_names_the_missing_file() {
    let mistakes = Settings::load(Path::new("no-such.json")).unwrap_err();
    assert!(
        mistakes[0]
            .to_string()
            .starts_with("no-such.json: the file cannot be read")
    );
}
