//! Contract tests of the interface to backend servers (section 4.3 of the design page).

use serde_json::{Value, json};
use test_case::test_case;

use crate::support::{Backend, Platform, Reaction, Response, TestDaemon, folder, post, wait_for};

/// A daemon with one server behind one shard and one execute group.
struct Fixture {
    daemon: TestDaemon,
    backend: Backend,
}

fn start(reaction: Reaction) -> Fixture {
    let backend = Backend::start(reaction);
    let platform = Platform::start(&folder(&[vec![backend.address]]));
    let daemon = TestDaemon::start("entry-1", platform.address);
    Fixture { daemon, backend }
}

fn search(daemon: &TestDaemon, query: &str) -> Response {
    let body = json!({
        "tenant": "t1", "class": "c1", "group": "find", "query": query, "deadline_ms": 1000,
    });
    post(daemon.bound.callers, "/v1/search", &body)
}

/// Runs an execute with a new key; returns the response and the key.
fn execute(daemon: &TestDaemon) -> (Response, String) {
    let keys = post(daemon.bound.callers, "/v1/keys", &json!({"tenant": "t1"}));
    let key = keys.body["keys"][0].as_str().expect("a key").to_owned();
    let body = json!({
        "tenant": "t1", "class": "c1", "group": "do", "key": key, "operation": {},
        "deadline_ms": 1000,
    });
    (post(daemon.bound.callers, "/v1/execute", &body), key)
}

/// The outcome of an execute that is reported to the caller.
#[derive(Debug, PartialEq, Eq)]
enum ReportedOutcome {
    Done,
    NotRun,
    Unknown,
}

fn reported_outcome(response: &Response) -> ReportedOutcome {
    if response.body["outcome"] == "done" {
        return ReportedOutcome::Done;
    }
    match response.body["error"]["not_run"].as_bool() {
        Some(true) => ReportedOutcome::NotRun,
        Some(false) => ReportedOutcome::Unknown,
        None => panic!("{response:?}"),
    }
}

/// Guards against "not run" for a request that ran, and against a second execution.
#[test_case(Reaction::Answer, ReportedOutcome::Done, 1; "answer")]
#[test_case(Reaction::AnswerDraining, ReportedOutcome::Done, 1; "answer of a leaving server")]
#[test_case(Reaction::CloseBeforeRequest, ReportedOutcome::Unknown, 0; "closed before the request")]
#[test_case(Reaction::CloseWithinRequest, ReportedOutcome::Unknown, 0; "closed within the request")]
#[test_case(Reaction::CloseAfterRequest, ReportedOutcome::Unknown, 0; "closed after the request")]
#[test_case(Reaction::CloseBeforeResponse, ReportedOutcome::Unknown, 1; "closed before the response")]
#[test_case(Reaction::CloseWithinResponse, ReportedOutcome::Unknown, 1; "closed within the response")]
#[test_case(Reaction::NotRun(503), ReportedOutcome::NotRun, 0; "shed")]
#[test_case(Reaction::NotRun(504), ReportedOutcome::NotRun, 0; "deadline passed")]
#[test_case(Reaction::NotRun(410), ReportedOutcome::NotRun, 0; "version not held")]
#[test_case(Reaction::NotRun(409), ReportedOutcome::NotRun, 0; "shard not held")]
#[test_case(Reaction::Status(500), ReportedOutcome::Unknown, 1; "failure")]
#[test_case(Reaction::Status(503), ReportedOutcome::Unknown, 1; "503 that does not say not run")]
#[test_case(Reaction::Status(499), ReportedOutcome::Unknown, 1; "cancelled")]
#[test_case(Reaction::Garbage, ReportedOutcome::Unknown, 1; "garbage")]
#[test_case(Reaction::NotJson, ReportedOutcome::Unknown, 1; "truncated JSON")]
#[test_case(Reaction::OtherRequest, ReportedOutcome::Unknown, 1; "response to another request")]
#[test_case(Reaction::TooLarge, ReportedOutcome::Unknown, 1; "response too large")]
#[test_case(Reaction::Silent, ReportedOutcome::Unknown, 1; "no response")]
fn an_execute_is_reported_with_its_actual_outcome(
    reaction: Reaction,
    expected: ReportedOutcome,
    runs: u64,
) {
    let fixture = start(reaction);
    let (response, key) = execute(&fixture.daemon);
    let ran = fixture.backend.executions(&key);
    assert_eq!(ran, runs);
    let reported_outcome = reported_outcome(&response);
    if reported_outcome == ReportedOutcome::Done {
        assert_eq!(response.body["result"], json!({"ran": key}));
    }
    assert!(
        reported_outcome != ReportedOutcome::NotRun || ran == 0,
        "{response:?}"
    );
    // A connection that was closed before anything was sent may yield either outcome.
    let unsent =
        reaction == Reaction::CloseBeforeRequest && reported_outcome == ReportedOutcome::NotRun;
    assert!(reported_outcome == expected || unsent, "{response:?}");
    // Repeating the key returns the same response and does not run the request again.
    let body = json!({
        "tenant": "t1", "class": "c1", "group": "do", "key": key, "operation": {},
        "deadline_ms": 1000,
    });
    fixture.backend.set(Reaction::Answer);
    if reported_outcome != ReportedOutcome::NotRun {
        let again = post(fixture.daemon.bound.callers, "/v1/execute", &body);
        assert_eq!(again.body, response.body);
        assert_eq!(fixture.backend.executions(&key), runs);
    }
}

/// Guards against an unknown outcome where nothing was sent, which callers would have
/// to investigate needlessly.
#[test]
fn an_execute_that_no_server_accepts_is_not_run() {
    let platform = Platform::start(&folder(&[vec![Backend::refusing_address()]]));
    let daemon = TestDaemon::start("entry-1", platform.address);
    let (response, _) = execute(&daemon);
    assert_eq!(
        reported_outcome(&response),
        ReportedOutcome::NotRun,
        "{response:?}"
    );
    assert!(
        response.body["error"]["retry_after_ms"].is_u64(),
        "{response:?}"
    );
}

/// Guards against an execute that is not retried on a server with free capacity after
/// a refusal, and against one that runs on both servers.
#[test]
fn an_execute_that_did_not_run_is_retried_on_another_server() {
    let (full, free) = (
        Backend::start(Reaction::NotRun(503)),
        Backend::start(Reaction::Answer),
    );
    let platform = Platform::start(&folder(&[vec![full.address], vec![free.address]]));
    let daemon = TestDaemon::start("entry-1", platform.address);
    for _ in 0..10 {
        let (response, key) = execute(&daemon);
        let ran = full.executions(&key) + free.executions(&key);
        match reported_outcome(&response) {
            ReportedOutcome::Done => assert_eq!(ran, 1),
            ReportedOutcome::NotRun => assert_eq!(ran, 0),
            ReportedOutcome::Unknown => panic!("{response:?}"),
        }
    }
    let (response, _) = wait_for("an execute to be done", || {
        Some(execute(&daemon))
            .filter(|(response, _)| reported_outcome(response) == ReportedOutcome::Done)
    });
    assert_eq!(response.status, 200);
}

fn reasons(response: &Response) -> Vec<&str> {
    let missing = response.body["coverage"]["missing"].as_array();
    let missing = missing.unwrap_or_else(|| panic!("{response:?}"));
    let reasons = missing.iter().map(|shard| shard["reason"].as_str());
    reasons.map(|reason| reason.expect("a reason")).collect()
}

/// Guards against a faulty shard that is counted as answered, that is reported with the
/// wrong reason, or that suppresses the hits of the healthy shard.
#[test_case(Reaction::CloseBeforeRequest, &["failed", "no_replica", "timeout"]; "closed before the request")]
#[test_case(Reaction::CloseWithinRequest, &["failed", "no_replica", "timeout"]; "closed within the request")]
#[test_case(Reaction::CloseAfterRequest, &["failed", "no_replica", "timeout"]; "closed after the request")]
#[test_case(Reaction::CloseBeforeResponse, &["failed", "no_replica", "timeout"]; "closed before the response")]
#[test_case(Reaction::CloseWithinResponse, &["failed", "no_replica", "timeout"]; "closed within the response")]
#[test_case(Reaction::NotRun(503), &["overloaded"]; "shed")]
#[test_case(Reaction::NotRun(504), &["timeout"]; "deadline passed")]
#[test_case(Reaction::NotRun(410), &["version_unavailable"]; "version not held")]
#[test_case(Reaction::NotRun(409), &["version_unavailable"]; "shard not held")]
#[test_case(Reaction::Status(500), &["failed"]; "failure")]
#[test_case(Reaction::Status(499), &["failed"]; "cancelled by another party")]
#[test_case(Reaction::Garbage, &["failed"]; "garbage")]
#[test_case(Reaction::NotJson, &["failed"]; "truncated JSON")]
#[test_case(Reaction::OtherRequest, &["failed"]; "response to another request")]
#[test_case(Reaction::TooLarge, &["failed"]; "response too large")]
#[test_case(Reaction::Silent, &["timeout", "failed"]; "no response")]
fn a_search_reports_the_faulty_shard(reaction: Reaction, allowed: &[&str]) {
    let (good, bad) = (Backend::start(Reaction::Answer), Backend::start(reaction));
    let platform = Platform::start(&folder(&[vec![good.address], vec![bad.address]]));
    let daemon = TestDaemon::start("entry-1", platform.address);
    let response = search(&daemon, "q");
    let coverage = &response.body["coverage"];
    assert_eq!(coverage["shards"], 2, "{response:?}");
    assert_eq!(coverage["answered"], 1, "{response:?}");
    assert_eq!(coverage["missing"][0]["shard"], "shard-2", "{response:?}");
    let reasons = reasons(&response);
    assert!(
        reasons.len() == 1 && allowed.contains(&reasons[0]),
        "{response:?}"
    );
    assert_eq!(response.body["hits"][0]["id"], "shard-1/q", "{response:?}");
    assert_eq!(response.body["hits"].as_array().map(Vec::len), Some(1));
}

/// Guards against a loss of coverage through one faulty replica while another one is
/// healthy.
#[test_case(Reaction::CloseAfterRequest; "closed after the request")]
#[test_case(Reaction::NotRun(503); "shed")]
#[test_case(Reaction::NotRun(410); "version not held")]
#[test_case(Reaction::Status(500); "failure")]
#[test_case(Reaction::Garbage; "garbage")]
#[test_case(Reaction::OtherRequest; "response to another request")]
#[test_case(Reaction::Silent; "no response")]
fn a_search_falls_back_to_a_healthy_replica(reaction: Reaction) {
    let (good, bad) = (Backend::start(Reaction::Answer), Backend::start(reaction));
    let platform = Platform::start(&folder(&[vec![bad.address, good.address]]));
    let daemon = TestDaemon::start("entry-1", platform.address);
    wait_for("a search that met the fault to be complete", || {
        let response = search(&daemon, "q");
        let complete = response.body["coverage"]["answered"] == 1;
        (complete && bad.searches() > 0).then_some(())
    });
    wait_for("searches to be complete in a row", || {
        let complete = |_| search(&daemon, "q").body["coverage"]["answered"] == 1;
        (0..10).all(complete).then_some(())
    });
}

/// Guards against new requests to a server that reports that it is draining.
#[test]
fn a_draining_server_gets_no_new_requests() {
    let (stays, leaves) = (
        Backend::start(Reaction::Answer),
        Backend::start(Reaction::Answer),
    );
    let platform = Platform::start(&folder(&[vec![stays.address, leaves.address]]));
    let daemon = TestDaemon::start("entry-1", platform.address);
    leaves.set(Reaction::AnswerDraining);
    wait_for("the daemon to see that the server leaves", || {
        search(&daemon, "q");
        let status = daemon.status();
        let servers = status["servers"].as_array()?;
        let leaving =
            |server: &&Value| server["server"] == "server-1-b" && server["health"] == "draining";
        servers.iter().find(leaving).map(drop)
    });
    let before = leaves.searches();
    for _ in 0..20 {
        let response = search(&daemon, "q");
        assert_eq!(response.body["coverage"]["answered"], 1, "{response:?}");
    }
    assert_eq!(leaves.searches(), before);
    leaves.set(Reaction::Answer);
    wait_for("a server that came back to get work", || {
        search(&daemon, "q");
        (leaves.searches() > before).then_some(())
    });
}

/// Guards against requests of any kind to servers of an evacuated zone, and against an
/// evacuation that does not end with its key.
#[test]
fn servers_of_an_evacuated_zone_get_no_requests() {
    let (stays, evacuated) = (
        Backend::start(Reaction::Answer),
        Backend::start(Reaction::Answer),
    );
    let mut folder = folder(&[vec![stays.address, evacuated.address]]);
    folder["zones"]["z2"] = json!({"region": "r1"});
    folder["servers"]["server-1-b"]["zone"] = json!("z2");
    let platform = Platform::start(&folder);
    let daemon = TestDaemon::start("entry-1", platform.address);
    let evacuate = |zones: &Value| {
        let content = json!({ "evacuated_zones": zones }).to_string();
        let revision = platform.publish("95-evacuate.json", &content);
        wait_for("the revision", || {
            (daemon.revision() == revision).then_some(())
        });
    };
    wait_for("both servers to be used", || {
        search(&daemon, "q");
        (stays.searches() > 0 && evacuated.searches() > 0).then_some(())
    });
    evacuate(&json!(["z2"]));
    // Checks of idle connections may be on their way.
    std::thread::sleep(std::time::Duration::from_millis(200));
    let before = evacuated.requests();
    for _ in 0..20 {
        let response = search(&daemon, "q");
        assert_eq!(response.body["coverage"]["answered"], 1, "{response:?}");
        assert_eq!(reported_outcome(&execute(&daemon).0), ReportedOutcome::Done);
    }
    let statuses = daemon.status()["servers"].clone();
    let servers = statuses.as_array().unwrap().iter();
    let held_out: Vec<_> = servers
        .filter(|server| server["evacuated"] == true)
        .collect();
    assert_eq!(held_out.len(), 1, "{statuses}");
    // Longer than the interval of health calls to servers that are leaving.
    std::thread::sleep(std::time::Duration::from_millis(2_500));
    assert_eq!(evacuated.requests(), before);

    evacuate(&json!(["z1", "z2"]));
    let before = stays.requests();
    assert_eq!(
        reported_outcome(&execute(&daemon).0),
        ReportedOutcome::NotRun
    );
    assert_eq!(search(&daemon, "q").body["coverage"]["answered"], 0);
    assert_eq!(stays.requests(), before);

    evacuate(&json!([]));
    let searches = evacuated.searches();
    wait_for("the zones to be used again", || {
        search(&daemon, "q");
        (evacuated.searches() > searches).then_some(())
    });
}
