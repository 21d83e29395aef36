//! Contract of a backend server (section 4.3 of the design page).

use serde_json::{Value, json};
use test_case::test_case;

use crate::support::{Backend, Platform, Reaction, Response, TestDaemon, folder, post, wait_for};

/// A daemon with one server behind one shard and one execute group.
struct Tier {
    daemon: TestDaemon,
    backend: Backend,
}

fn start(reaction: Reaction) -> Tier {
    let backend = Backend::start(reaction);
    let platform = Platform::start(&folder(&[vec![backend.address]]));
    let daemon = TestDaemon::start("entry-1", platform.address);
    Tier { daemon, backend }
}

fn search(daemon: &TestDaemon, query: &str) -> Response {
    let body = json!({
        "tenant": "t1", "class": "c1", "group": "find", "query": query, "deadline_ms": 1000,
    });
    post(daemon.bound.callers, "/v1/search", &body)
}

/// The outcome of an execute and its key.
fn execute(daemon: &TestDaemon) -> (Response, String) {
    let keys = post(daemon.bound.callers, "/v1/keys", &json!({"tenant": "t1"}));
    let key = keys.body["keys"][0].as_str().expect("a key").to_owned();
    let body = json!({
        "tenant": "t1", "class": "c1", "group": "do", "key": key, "operation": {},
        "deadline_ms": 1000,
    });
    (post(daemon.bound.callers, "/v1/execute", &body), key)
}

/// What a caller may be told of an execute.
#[derive(Debug, PartialEq, Eq)]
enum Told {
    Done,
    NotRun,
    Unknown,
}

fn told(response: &Response) -> Told {
    if response.body["outcome"] == "done" {
        return Told::Done;
    }
    match response.body["error"]["not_run"].as_bool() {
        Some(true) => Told::NotRun,
        Some(false) => Told::Unknown,
        None => panic!("{response:?}"),
    }
}

/// Guards against "not run" for a request that ran, and against a second run.
#[test_case(Reaction::Answer, Told::Done, 1; "answer")]
#[test_case(Reaction::AnswerDraining, Told::Done, 1; "answer of a leaving server")]
#[test_case(Reaction::CloseBeforeRequest, Told::Unknown, 0; "closed before the request")]
#[test_case(Reaction::CloseWithinRequest, Told::Unknown, 0; "closed within the request")]
#[test_case(Reaction::CloseAfterRequest, Told::Unknown, 0; "closed after the request")]
#[test_case(Reaction::CloseBeforeResponse, Told::Unknown, 1; "closed before the response")]
#[test_case(Reaction::CloseWithinResponse, Told::Unknown, 1; "closed within the response")]
#[test_case(Reaction::NotRun(503), Told::NotRun, 0; "shed")]
#[test_case(Reaction::NotRun(504), Told::NotRun, 0; "deadline passed")]
#[test_case(Reaction::NotRun(410), Told::NotRun, 0; "version not held")]
#[test_case(Reaction::NotRun(409), Told::NotRun, 0; "shard not held")]
#[test_case(Reaction::Status(500), Told::Unknown, 1; "failure")]
#[test_case(Reaction::Status(503), Told::Unknown, 1; "503 that does not say not run")]
#[test_case(Reaction::Status(499), Told::Unknown, 1; "cancelled")]
#[test_case(Reaction::Garbage, Told::Unknown, 1; "garbage")]
#[test_case(Reaction::NotJson, Told::Unknown, 1; "half a JSON text")]
#[test_case(Reaction::OtherRequest, Told::Unknown, 1; "response to another request")]
#[test_case(Reaction::TooLarge, Told::Unknown, 1; "response too large")]
#[test_case(Reaction::Silent, Told::Unknown, 1; "no response")]
fn an_execute_is_reported_as_it_ended(reaction: Reaction, expected: Told, runs: u64) {
    let tier = start(reaction);
    let (response, key) = execute(&tier.daemon);
    let ran = tier.backend.executions(&key);
    assert_eq!(ran, runs);
    let told = told(&response);
    if told == Told::Done {
        assert_eq!(response.body["result"], json!({"ran": key}));
    }
    assert!(told != Told::NotRun || ran == 0, "{response:?}");
    // A connection that closes before anything was sent may count as either.
    let unsent = reaction == Reaction::CloseBeforeRequest && told == Told::NotRun;
    assert!(told == expected || unsent, "{response:?}");
    // The same key again learns the outcome or is refused; it does not run twice.
    let body = json!({
        "tenant": "t1", "class": "c1", "group": "do", "key": key, "operation": {},
        "deadline_ms": 1000,
    });
    tier.backend.set(Reaction::Answer);
    if told != Told::NotRun {
        let again = post(tier.daemon.bound.callers, "/v1/execute", &body);
        assert_eq!(again.body, response.body);
        assert_eq!(tier.backend.executions(&key), runs);
    }
}

/// Guards against "outcome unknown" where nothing was sent: callers would stop
/// and look into it for no reason.
#[test]
fn an_execute_that_no_server_accepts_is_not_run() {
    let platform = Platform::start(&folder(&[vec![Backend::refused()]]));
    let daemon = TestDaemon::start("entry-1", platform.address);
    let (response, _) = execute(&daemon);
    assert_eq!(told(&response), Told::NotRun, "{response:?}");
    assert!(
        response.body["error"]["retry_after_ms"].is_u64(),
        "{response:?}"
    );
}

/// Guards against a refused execute that is not tried on a server with room,
/// and against one that runs on both.
#[test]
fn an_execute_that_did_not_run_goes_to_another_server() {
    let (full, free) = (
        Backend::start(Reaction::NotRun(503)),
        Backend::start(Reaction::Answer),
    );
    let platform = Platform::start(&folder(&[vec![full.address], vec![free.address]]));
    let daemon = TestDaemon::start("entry-1", platform.address);
    for _ in 0..10 {
        let (response, key) = execute(&daemon);
        let ran = full.executions(&key) + free.executions(&key);
        match told(&response) {
            Told::Done => assert_eq!(ran, 1),
            Told::NotRun => assert_eq!(ran, 0),
            Told::Unknown => panic!("{response:?}"),
        }
    }
    let (response, _) = wait_for("an execute to be done", || {
        Some(execute(&daemon)).filter(|(response, _)| told(response) == Told::Done)
    });
    assert_eq!(response.status, 200);
}

fn reasons(response: &Response) -> Vec<&str> {
    let missing = response.body["coverage"]["missing"].as_array();
    let missing = missing.unwrap_or_else(|| panic!("{response:?}"));
    let reasons = missing.iter().map(|shard| shard["reason"].as_str());
    reasons.map(|reason| reason.expect("a reason")).collect()
}

/// Guards against a faulty shard that is counted as answered, that is reported
/// with another reason, or that keeps the good shard's hits from the caller.
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
#[test_case(Reaction::Status(499), &["failed"]; "cancelled by somebody else")]
#[test_case(Reaction::Garbage, &["failed"]; "garbage")]
#[test_case(Reaction::NotJson, &["failed"]; "half a JSON text")]
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

/// Guards against one faulty replica that costs coverage while another is well.
#[test_case(Reaction::CloseAfterRequest; "closed after the request")]
#[test_case(Reaction::NotRun(503); "shed")]
#[test_case(Reaction::NotRun(410); "version not held")]
#[test_case(Reaction::Status(500); "failure")]
#[test_case(Reaction::Garbage; "garbage")]
#[test_case(Reaction::OtherRequest; "response to another request")]
#[test_case(Reaction::Silent; "no response")]
fn another_replica_makes_up_for_a_faulty_one(reaction: Reaction) {
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

/// Guards against new work for a server that says that it is leaving.
#[test]
fn a_server_that_says_it_is_leaving_gets_no_new_work() {
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
