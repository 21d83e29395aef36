//! Contract tests of the callers' interface (sections 4.1 and 4.2 of the design page).

use std::{
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::LazyLock,
};

use jasminepond_types::{ErrorKind, RetryAfter, RunStatus};
use serde_json::{Value, json};
use test_case::test_case;

use crate::support::{
    Backend, Platform, Reaction, Response, TestDaemon, connect, folder, get, post, read_response,
    request, send, wait_for,
};

struct Fixture {
    backend: Backend,
    daemon: TestDaemon,
}

fn start() -> Fixture {
    let backend = Backend::start(Reaction::Answer);
    let platform = Platform::start(&folder(&[vec![backend.address]]));
    let daemon = TestDaemon::start("entry-1", platform.address);
    Fixture { backend, daemon }
}

/// Daemon shared by tests whose requests leave no state behind.
static SHARED: LazyLock<Fixture> = LazyLock::new(start);

fn callers() -> SocketAddr {
    SHARED.daemon.bound.callers
}

fn search(query: &str) -> Value {
    json!({"tenant": "t1", "class": "c1", "group": "find", "query": query, "deadline_ms": 20000})
}

fn with(mut body: Value, name: &str, value: Value) -> Value {
    body[name] = value;
    body
}

fn execute(key: &str) -> Value {
    json!({"tenant": "t1", "class": "c1", "group": "do", "key": key, "operation": {"n": 1}})
}

fn new_key(callers: SocketAddr) -> String {
    let answer = post(callers, "/v1/keys", &json!({"tenant": "t1"}));
    let key = answer.body["keys"][0].as_str();
    key.unwrap_or_else(|| panic!("{answer:?}")).to_owned()
}

/// Asserts that the error response is the documented one for `kind`.
fn assert_error(response: &Response, kind: ErrorKind) {
    let answer = kind.response();
    let error = &response.body["error"];
    assert_eq!(error["kind"], kind.as_str(), "{response:?}");
    assert_eq!(response.status, answer.status, "{response:?}");
    assert_eq!(
        error["not_run"],
        answer.run == RunStatus::NotRun,
        "{response:?}"
    );
    assert!(error["message"].is_string(), "{response:?}");
    let stated = answer.retry_after == RetryAfter::Stated;
    assert_eq!(error["retry_after_ms"].is_u64(), stated, "{response:?}");
    let header = response.headers.contains_key("retry-after");
    assert_eq!(header, stated, "{response:?}");
}

fn assert_found(response: &Response, query: &str) {
    assert_eq!(response.status, 200, "{response:?}");
    let coverage = &response.body["coverage"];
    assert_eq!(coverage["answered"], coverage["shards"], "{response:?}");
    let id = format!("shard-1/{query}");
    assert_eq!(response.body["hits"][0]["id"], id, "{response:?}");
}

fn search_request(query: &str) -> String {
    request("POST", "/v1/search", &search(query).to_string())
}

/// The bytes of a bad request and the expected error kind.
fn bad_request(name: &str) -> (Vec<u8>, ErrorKind) {
    let post = |path: &str, body: Value| request("POST", path, &body.to_string());
    let find = |name: &str, value: Value| post("/v1/search", with(search("x"), name, value));
    let run = |name: &str, value: Value| {
        let key = new_key(callers());
        post("/v1/execute", with(execute(&key), name, value))
    };
    let head = "POST /v1/search HTTP/1.1\r\nhost: test\r\n";
    let long = "x".repeat(3_000);
    let (text, kind) = match name {
        "search of an unknown tenant" => {
            (find("tenant", json!("nobody")), ErrorKind::UnknownTenant)
        }
        "search of an unknown class" => (find("class", json!("none")), ErrorKind::UnknownClass),
        "search of an unknown group" => (find("group", json!("none")), ErrorKind::UnknownGroup),
        "search of an execute group" => (find("group", json!("do")), ErrorKind::UnknownGroup),
        "search with an unknown field" => (find("colour", json!(1)), ErrorKind::BadRequest),
        "search with limit zero" => (find("limit", json!(0)), ErrorKind::BadRequest),
        "search with a negative limit" => (find("limit", json!(-1)), ErrorKind::BadRequest),
        "search with a limit above the highest" => {
            (find("limit", json!(1_000_000)), ErrorKind::BadRequest)
        }
        "search with deadline zero" => (find("deadline_ms", json!(0)), ErrorKind::BadDeadline),
        "search with a deadline above the longest" => {
            (find("deadline_ms", json!(20_001)), ErrorKind::BadDeadline)
        }
        "search with a deadline that is text" => {
            (find("deadline_ms", json!("soon")), ErrorKind::BadRequest)
        }
        "search without a query" => (
            post(
                "/v1/search",
                json!({"tenant": "t1", "class": "c1", "group": "find"}),
            ),
            ErrorKind::BadRequest,
        ),
        "malformed JSON" => (
            request("POST", "/v1/search", "{\"tenant\": "),
            ErrorKind::BadRequest,
        ),
        "no body" => (request("POST", "/v1/search", ""), ErrorKind::BadRequest),
        "a list as body" => (request("POST", "/v1/search", "[]"), ErrorKind::BadRequest),
        "unknown path" => (request("POST", "/v1/nothing", "{}"), ErrorKind::NotFound),
        "operators' path" => (request("GET", "/status", ""), ErrorKind::NotFound),
        "unknown method" => (
            request("GET", "/v1/search", ""),
            ErrorKind::MethodNotAllowed,
        ),
        "keys by GET" => (request("GET", "/v1/keys", ""), ErrorKind::MethodNotAllowed),
        "body above the limit" => (
            find("query", json!("x".repeat(5_000))),
            ErrorKind::BodyTooLarge,
        ),
        "chunked body above the limit" => {
            let chunk = format!("1400\r\n{}\r\n0\r\n\r\n", "x".repeat(0x1400));
            (
                format!("{head}transfer-encoding: chunked\r\n\r\n{chunk}"),
                ErrorKind::BodyTooLarge,
            )
        }
        "one header above the limit" => (
            format!("{head}x-long: {long}\r\ncontent-length: 0\r\n\r\n"),
            ErrorKind::HeadersTooLarge,
        ),
        "many headers above the limit" => {
            let many: String = (0..90).map(|n| format!("x-{n}: {:030}\r\n", n)).collect();
            (
                format!("{head}{many}content-length: 0\r\n\r\n"),
                ErrorKind::HeadersTooLarge,
            )
        }
        "path above the limit" => (
            request("POST", &format!("/v1/search?{long}"), "{}"),
            ErrorKind::HeadersTooLarge,
        ),
        "headers that never end" => (format!("{head}x-begun: "), ErrorKind::SlowRequest),
        "incomplete request line" => ("POST /v1/se".to_owned(), ErrorKind::SlowRequest),
        "incomplete body" => (
            format!("{head}content-length: 200\r\n\r\n{{\"tenant\": "),
            ErrorKind::SlowRequest,
        ),
        "keys for an unknown tenant" => (
            post("/v1/keys", json!({"tenant": "nobody"})),
            ErrorKind::UnknownTenant,
        ),
        "zero keys" => (
            post("/v1/keys", json!({"tenant": "t1", "count": 0})),
            ErrorKind::BadRequest,
        ),
        "too many keys" => (
            post("/v1/keys", json!({"tenant": "t1", "count": 1_000_000})),
            ErrorKind::BadRequest,
        ),
        "execute with a malformed key" => (run("key", json!("abc")), ErrorKind::InvalidKey),
        "execute with another tenant's key" => (run("tenant", json!("t2")), ErrorKind::InvalidKey),
        "execute with a changed key" => {
            let mut key = new_key(callers());
            let last = key.pop().expect("a key is not empty");
            key.push(if last == 'a' { 'b' } else { 'a' });
            (post("/v1/execute", execute(&key)), ErrorKind::InvalidKey)
        }
        "execute of an unknown class" => (run("class", json!("none")), ErrorKind::UnknownClass),
        "execute of an unknown group" => (run("group", json!("none")), ErrorKind::UnknownGroup),
        "execute of a search group" => (run("group", json!("find")), ErrorKind::UnknownGroup),
        "execute with deadline zero" => (run("deadline_ms", json!(0)), ErrorKind::BadDeadline),
        "execute with a deadline above the longest" => {
            (run("deadline_ms", json!(20_001)), ErrorKind::BadDeadline)
        }
        "execute with an unknown field" => (run("colour", json!(1)), ErrorKind::BadRequest),
        "execute without an operation" => (
            post(
                "/v1/execute",
                json!({"tenant": "t1", "class": "c1", "group": "do", "key": "k"}),
            ),
            ErrorKind::BadRequest,
        ),
        other => panic!("no request {other:?}"),
    };
    (text.into_bytes(), kind)
}

/// Guards against an undocumented response to bad input, and against bad input that
/// affects another caller's request.
#[test_case("search of an unknown tenant")]
#[test_case("search of an unknown class")]
#[test_case("search of an unknown group")]
#[test_case("search of an execute group")]
#[test_case("search with an unknown field")]
#[test_case("search with limit zero")]
#[test_case("search with a negative limit")]
#[test_case("search with a limit above the highest")]
#[test_case("search with deadline zero")]
#[test_case("search with a deadline above the longest")]
#[test_case("search with a deadline that is text")]
#[test_case("search without a query")]
#[test_case("malformed JSON")]
#[test_case("no body")]
#[test_case("a list as body")]
#[test_case("unknown path")]
#[test_case("operators' path")]
#[test_case("unknown method")]
#[test_case("keys by GET")]
#[test_case("body above the limit")]
#[test_case("chunked body above the limit")]
#[test_case("one header above the limit")]
#[test_case("many headers above the limit")]
#[test_case("path above the limit")]
#[test_case("headers that never end")]
#[test_case("incomplete request line")]
#[test_case("incomplete body")]
#[test_case("keys for an unknown tenant")]
#[test_case("zero keys")]
#[test_case("too many keys")]
#[test_case("execute with a malformed key")]
#[test_case("execute with another tenant's key")]
#[test_case("execute with a changed key")]
#[test_case("execute of an unknown class")]
#[test_case("execute of an unknown group")]
#[test_case("execute of a search group")]
#[test_case("execute with deadline zero")]
#[test_case("execute with a deadline above the longest")]
#[test_case("execute with an unknown field")]
#[test_case("execute without an operation")]
fn bad_input_gets_the_documented_response(name: &str) {
    let mut other = connect(callers());
    let (bytes, kind) = bad_request(name);
    other
        .get_mut()
        .write_all(search_request("other").as_bytes())
        .expect("sent");
    let response = send(callers(), &bytes);
    assert_error(&response, kind);
    let other = read_response(&mut other).expect("a whole response");
    assert_found(&other.expect("an answer"), "other");
}

/// Guards against unbounded memory use by endless headers. Above twice the limit the
/// response has no body.
#[test]
fn headers_far_above_the_limit_are_not_read_to_the_end() {
    let long = "x".repeat(200_000);
    let response = send(
        callers(),
        request("POST", &format!("/{long}"), "").as_bytes(),
    );
    assert!([414, 431].contains(&response.status), "{response:?}");
    assert_found(&post(callers(), "/v1/search", &search("after")), "after");
}

/// Guards against a lenient parser that accepts malformed requests.
#[test_case(b"\x00\x01\x02\r\n\r\n"; "bytes that are not HTTP")]
#[test_case(b"POST /v1/search HTTP/1.1\r\nno colon\r\n\r\n"; "header without colon")]
#[test_case(b"POST /v1/search HTTP/1.1\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n{}x"; "two lengths")]
#[test_case(b"POST /v1/search HTTP/1.1\r\ncontent-length: -1\r\n\r\n"; "negative length")]
fn malformed_http_gets_status_400(bytes: &[u8]) {
    assert_eq!(send(callers(), bytes).status, 400);
}

/// Guards against responses in the wrong order on a connection.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let mut stream = connect(callers());
    let all: String = (0..20).map(|n| search_request(&format!("q{n}"))).collect();
    stream.get_mut().write_all(all.as_bytes()).expect("sent");
    for n in 0..20 {
        let response = read_response(&mut stream).expect("a whole response");
        assert_found(&response.expect("an answer"), &format!("q{n}"));
    }
}

/// Guards against a refusal that needlessly closes the connection, and against state
/// of one request that leaks into the next.
#[test]
fn a_connection_stays_usable_after_a_refused_request() {
    let mut stream = connect(callers());
    let mut ask = |text: String| {
        stream.get_mut().write_all(text.as_bytes()).expect("sent");
        let response = read_response(&mut stream).expect("a whole response");
        response.expect("an answer")
    };
    assert_found(&ask(search_request("one")), "one");
    let bad = request("POST", "/v1/search", "{}");
    assert_error(&ask(bad), ErrorKind::BadRequest);
    assert_found(&ask(search_request("two")), "two");
}

/// Guards against a truncated request that runs, and against one that affects later
/// requests.
#[test_case(10; "within the request line")]
#[test_case(40; "within the headers")]
#[test_case(120; "within the body")]
fn a_truncated_request_does_not_run(at: usize) {
    let fixture = start();
    let callers = fixture.daemon.bound.callers;
    let key = new_key(callers);
    let whole = request("POST", "/v1/execute", &execute(&key).to_string());
    let mut cut = connect(callers);
    cut.get_mut()
        .write_all(&whole.as_bytes()[..at])
        .expect("sent");
    cut.get_mut()
        .shutdown(std::net::Shutdown::Write)
        .expect("open");
    // The daemon responds or closes the connection; either way it has read the end.
    let mut rest = Vec::new();
    let _ = cut.read_to_end(&mut rest);
    let rest = String::from_utf8_lossy(&rest);
    assert!(
        rest.is_empty() || rest.starts_with("HTTP/1.1 400"),
        "{rest}"
    );
    assert_eq!(fixture.backend.executions(&key), 0);
    let response = post(callers, "/v1/execute", &execute(&key));
    assert_eq!(response.body["outcome"], "done", "{response:?}");
    assert_eq!(fixture.backend.executions(&key), 1);
}

/// Guards against a second execution for a key, with the same or another operation.
#[test]
fn a_used_key_is_not_executed_again() {
    let callers = callers();
    let key = new_key(callers);
    let first = post(callers, "/v1/execute", &execute(&key));
    assert_eq!(first.body["outcome"], "done", "{first:?}");
    let again = post(callers, "/v1/execute", &execute(&key));
    assert_eq!(again.body, first.body);
    let other = with(execute(&key), "operation", json!({"n": 2}));
    let reused = post(callers, "/v1/execute", &other);
    assert_error(&reused, ErrorKind::KeyReused);
    assert_eq!(SHARED.backend.executions(&key), 1);
}

/// Guards against requests that hang on a daemon without a configuration.
#[test]
fn a_daemon_without_configuration_refuses_as_not_ready() {
    let daemon = TestDaemon::launch("entry-1", Backend::refusing_address());
    let callers = daemon.bound.callers;
    let response = post(callers, "/v1/search", &search("x"));
    assert_error(&response, ErrorKind::NotReady);
    let response = post(callers, "/v1/keys", &json!({"tenant": "t1"}));
    assert_error(&response, ErrorKind::NotReady);
    assert_eq!(get(daemon.bound.operators, "/readyz").status, 503);
    assert_eq!(get(daemon.bound.operators, "/healthz").status, 200);
}

/// Guards against a shutdown that aborts a request in progress, and against a stopping
/// daemon that accepts new requests.
#[test]
fn a_stopping_daemon_answers_requests_in_progress_and_refuses_new_ones() {
    let mut fixture = start();
    let callers = fixture.daemon.bound.callers;
    fixture.backend.hold(true);
    let mut held = connect(callers);
    held.get_mut()
        .write_all(search_request("hold").as_bytes())
        .expect("sent");
    wait_for("the search to run", || {
        (fixture.backend.held() == 1).then_some(())
    });
    let mut waiting = connect(callers);
    waiting
        .get_mut()
        .write_all(b"POST /v1/search HTTP/1.1\r\n")
        .expect("sent");
    fixture.daemon.begin_stop();
    wait_for("the stop to begin", || {
        (get(fixture.daemon.bound.operators, "/readyz").status == 503).then_some(())
    });
    wait_for("the entry to refuse new work", || {
        (fixture.daemon.status()["entry"]["draining"] == true).then_some(())
    });
    let rest = search_request("late");
    let rest = &rest["POST /v1/search HTTP/1.1\r\n".len()..];
    waiting.get_mut().write_all(rest.as_bytes()).expect("sent");
    let refused = read_response(&mut waiting).expect("a whole response");
    assert_error(&refused.expect("an answer"), ErrorKind::Draining);
    fixture.backend.hold(false);
    let answer = read_response(&mut held).expect("a whole response");
    assert_found(&answer.expect("an answer"), "hold");
    assert_eq!(fixture.daemon.stop(), jasminepond_daemon::Outcome::Drained);
}

/// Guards against a late copy of a request that runs after the caller was told "not
/// run" and has sent the operation again with a new key.
#[test]
fn a_key_answered_with_not_run_cannot_be_used_again() {
    let fixture = start();
    let callers = fixture.daemon.bound.callers;
    let key = new_key(callers);
    fixture.backend.set(Reaction::NotRun(503));
    let first = post(callers, "/v1/execute", &execute(&key));
    assert_error(&first, ErrorKind::Overloaded);
    fixture.backend.set(Reaction::Answer);
    let copy = post(callers, "/v1/execute", &execute(&key));
    assert_eq!(copy.body["error"]["not_run"], true, "{copy:?}");
    assert_eq!(fixture.backend.executions(&key), 0);
}

/// Starts a daemon with changed configuration values, and a search that the server
/// holds.
fn start_with_held_search(change: Value) -> (Fixture, BufReader<TcpStream>) {
    let backend = Backend::start(Reaction::Answer);
    let mut all = folder(&[vec![backend.address]]);
    for (path, value) in change.as_object().expect("paths and values") {
        *all.pointer_mut(path).expect("a path of the folder") = value.clone();
    }
    let platform = Platform::start(&all);
    let daemon = TestDaemon::start("entry-1", platform.address);
    let fixture = Fixture { backend, daemon };
    fixture.backend.hold(true);
    let mut held = connect(fixture.daemon.bound.callers);
    held.get_mut()
        .write_all(search_request("hold").as_bytes())
        .expect("sent");
    wait_for("the search to run", || {
        (fixture.backend.held() == 1).then_some(())
    });
    (fixture, held)
}

/// Releases the held search and asserts that it and a further search succeed.
fn assert_released(fixture: &Fixture, mut held: BufReader<TcpStream>) {
    fixture.backend.hold(false);
    let answer = read_response(&mut held).expect("a whole response");
    assert_found(&answer.expect("an answer"), "hold");
    assert_found(
        &post(fixture.daemon.bound.callers, "/v1/search", &search("q")),
        "q",
    );
}

/// Guards against configured limits that are not applied.
#[test]
fn requests_above_max_in_flight_are_refused() {
    let limits = json!({"max_in_flight": 1, "max_body_bytes": 4096});
    let (fixture, held) = start_with_held_search(json!({ "/limits": limits }));
    let callers = fixture.daemon.bound.callers;
    let response = post(callers, "/v1/search", &search("q"));
    assert_error(&response, ErrorKind::Overloaded);
    let key = new_key(callers);
    let response = post(callers, "/v1/execute", &execute(&key));
    assert_error(&response, ErrorKind::Overloaded);
    assert_eq!(fixture.backend.executions(&key), 0);
    assert_released(&fixture, held);
}

/// Guards against a tenant that uses up the capacity of others.
#[test]
fn a_tenant_above_its_limit_is_refused_and_others_are_not() {
    let (fixture, held) = start_with_held_search(json!({"/tenants/t1": {"max_in_flight": 1}}));
    let callers = fixture.daemon.bound.callers;
    let response = post(callers, "/v1/search", &search("q"));
    assert_error(&response, ErrorKind::TenantLimit);
    // The server initially gets one slot, so this request waits in the daemon.
    let other = with(search("other"), "tenant", json!("t2"));
    let mut waiting = connect(callers);
    waiting
        .get_mut()
        .write_all(request("POST", "/v1/search", &other.to_string()).as_bytes())
        .expect("sent");
    assert_released(&fixture, held);
    let other = read_response(&mut waiting).expect("a whole response");
    assert_found(&other.expect("an answer"), "other");
}

/// Guards against more keys than configured, and against a lifetime other than the
/// configured one.
#[test]
fn keys_follow_the_configured_limits() {
    let limits = json!({"max_issued_keys": 3, "key_lifetime_ms": 5000});
    let (fixture, held) = start_with_held_search(json!({ "/limits": limits }));
    let callers = fixture.daemon.bound.callers;
    let ask = |count: u32| {
        post(
            callers,
            "/v1/keys",
            &json!({"tenant": "t1", "count": count}),
        )
    };
    assert_error(&ask(4), ErrorKind::Overloaded);
    let issued = ask(3);
    assert_eq!(issued.body["expires_in_ms"], 5000, "{issued:?}");
    assert_error(&ask(1), ErrorKind::Overloaded);
    assert_released(&fixture, held);
}
