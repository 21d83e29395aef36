//! Tests that mistakes in a settings file are reported instead of ignored or replaced by
//! defaults.

use jasminepond_gateway::Settings;
use test_case::test_case;

const VALID: &str = r#"{
    "instance": "entry-1", "zone": "a", "callers": "127.0.0.1:8080",
    "readiness": "127.0.0.1:8081", "operators": "127.0.0.1:8082", "membership": "127.0.0.1:8083", "region": "r",
    "store": {"address": "127.0.0.1:8090"}
}"#;

#[test]
fn valid_settings_are_accepted() {
    let settings = Settings::from_json(VALID.as_bytes()).unwrap();
    assert_eq!(settings.store.timeout_ms.0, 500);
}

#[test_case("\"zone\"", "\"zome\"", "zome"; "a mistyped key")]
#[test_case("127.0.0.1:8080", "127.0.0.1", "address"; "an address without a port")]
#[test_case("\"instance\": \"entry-1\",", "", "instance"; "a missing key")]
#[test_case("\"zone\": \"a\"", "\"zone\": \"a\", \"daemons\": 0", "daemons"; "a number out of range")]
#[test_case("\"zone\": \"a\"", "\"zone\": \"a\", \"announce_ms\": 6000", "announce_ms"; "contradictory times")]
#[test_case("\"zone\": \"a\"", "\"zone\": \"a\", \"warmup_excess\": -1", "warmup_excess"; "a negative bound")]
#[test_case("\"zone\": \"a\"", "\"zone\": \"a\", \"memory_mb\": 0", "memory_mb"; "no memory")]
#[test_case("\"zone\": \"a\"", "\"zone\": \"a\", \"log_level\": \"loud\"", "loud"; "an unknown level")]
fn error_names_mistake(from: &str, to: &str, named: &str) {
    let err = Settings::from_json(VALID.replace(from, to).as_bytes()).unwrap_err();
    assert!(err.to_string().contains(named), "{err}");
}
