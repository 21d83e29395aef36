//! Contract tests of the interface to the platform (section 4.4 of the design page).

use serde_json::json;
use test_case::test_case;

use crate::support::{Backend, Fault, Platform, Reaction, TestDaemon, folder, post, wait_for};

fn wait_for_revision(daemon: &TestDaemon, revision: u64) {
    wait_for("the revision to be in effect", || {
        (daemon.revision() == revision).then_some(())
    });
}

fn assert_serves(daemon: &TestDaemon) {
    let body = json!({"tenant": "t1", "class": "c1", "group": "find", "query": "q"});
    let response = post(daemon.bound.callers, "/v1/search", &body);
    assert_eq!(response.body["coverage"]["answered"], 1, "{response:?}");
}

/// A change that leaves the configuration valid.
const CHANGE: &str = r#"{"tenants": {"t3": {}}}"#;

/// Guards against a faulty service that makes the daemon drop, roll back or mix
/// configurations, and against a daemon that does not recover after the fault.
#[test_case(Fault::Down; "down")]
#[test_case(Fault::Hanging; "hanging")]
#[test_case(Fault::Limited; "limited")]
#[test_case(Fault::Failing; "failing")]
#[test_case(Fault::Torn; "torn")]
#[test_case(Fault::TooLarge; "too large a file")]
#[test_case(Fault::Malformed; "malformed")]
#[test_case(Fault::Endless; "too large a response")]
#[test_case(Fault::Older; "older")]
#[test_case(Fault::Stale; "stale")]
fn a_config_service_fault_keeps_the_active_configuration(fault: Fault) {
    let backend = Backend::start(Reaction::Answer);
    let platform = Platform::start(&folder(&[vec![backend.address]]));
    let daemon = TestDaemon::start("entry-1", platform.address);
    let good = platform.publish("20-change.json", CHANGE);
    wait_for_revision(&daemon, good);
    let digest = daemon.status()["config"]["digest"].clone();
    platform.fail(Some(fault));
    // A hanging service gets its second call only after the first has timed out.
    let calls = if fault == Fault::Hanging { 1 } else { 2 };
    wait_for("calls that meet the fault", || {
        (platform.faulty_calls() >= calls).then_some(())
    });
    let config = daemon.status()["config"].clone();
    assert_eq!(config["revision"], good, "{config}");
    assert_eq!(config["digest"], digest, "{config}");
    assert_serves(&daemon);
    platform.fail(None);
    let next = platform.publish("21-change.json", r#"{"tenants": {"t4": {}}}"#);
    wait_for_revision(&daemon, next);
    assert_serves(&daemon);
}

/// Guards against a broken file that takes effect or is not reported.
#[test_case("{\"tenants\": "; "not JSON")]
#[test_case(r#"{"tenants": {"t3": {"weight": 0}}}"#; "out of range")]
#[test_case(r#"{"colour": 1}"#; "unknown key")]
#[test_case(r#"{"groups": {"find": null, "do": null}, "servers": null}"#; "nothing left")]
fn a_broken_file_is_refused_and_reported(content: &str) {
    let backend = Backend::start(Reaction::Answer);
    let platform = Platform::start(&folder(&[vec![backend.address]]));
    let daemon = TestDaemon::start("entry-1", platform.address);
    let before = daemon.revision();
    platform.publish("20-broken.json", content);
    let config = wait_for("the refusal", || {
        let config = daemon.status()["config"].clone();
        config["refused"].is_string().then_some(config)
    });
    assert_eq!(config["revision"], before);
    let mistakes = config["mistakes"].as_array().expect("a list");
    let named = |mistake: &serde_json::Value| {
        mistake
            .as_str()
            .is_some_and(|text| text.contains("20-broken.json"))
    };
    assert!(mistakes.iter().any(named), "{config}");
    assert_serves(&daemon);
    let good = platform.publish("20-broken.json", "{}");
    wait_for_revision(&daemon, good);
    assert!(daemon.status()["config"]["refused"].is_null());
}

/// Guards against a daemon that cannot start while the configuration service is down,
/// although its peers have the newest revision.
#[test_case(Fault::Down; "down")]
#[test_case(Fault::Hanging; "hanging")]
#[test_case(Fault::Older; "older")]
fn a_daemon_started_during_an_outage_gets_the_newest_revision_from_its_peers(fault: Fault) {
    let backend = Backend::start(Reaction::Answer);
    let platform = Platform::start(&folder(&[vec![backend.address]]));
    let first = TestDaemon::start("entry-1", platform.address);
    platform.list("entry-1", "daemon", first.bound.membership, "live");
    let newest = platform.publish("20-change.json", CHANGE);
    wait_for_revision(&first, newest);
    platform.fail(Some(fault));
    let second = TestDaemon::launch("entry-2", platform.address);
    wait_for_revision(&second, newest);
    second.wait_until_ready();
    assert_serves(&second);
}
