//! Behaviour of the stand-in that the daemon's tests rely on. A deviation from section
//! 4.3 of the design page would make those tests pass or fail wrongly.

use std::{future::Future, net::SocketAddr, sync::mpsc, time::Duration};

use bytes::Bytes;
use futures_util::future::{Either, select};
use http_body_util::Full;
use hyper::{Request, Response};
use serde_json::{Value, json};
use standin_backend::{Bound, HitId, Options, search_shard, serve};
use standin_http::{CallError, Connection, get, post};
use test_case::test_case;

/// Service time of a request that must still be running when the test checks it.
const FOREVER_MS: u64 = 600_000;

fn start(server: Value) -> (SocketAddr, SocketAddr) {
    let (tx, rx) = mpsc::channel::<Bound>();
    let options = Options {
        servers: vec![serde_json::from_value(server).expect("specification is valid")],
        ..Options::default()
    };
    std::thread::spawn(move || {
        serve(options, move |bound| {
            tx.send(bound).expect("the test waits for the addresses")
        })
    });
    let bound = rx.recv().expect("stand-in starts");
    (bound.servers["s"], bound.control)
}

fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("a runtime can be built")
        .block_on(test)
}

fn request(path: &str, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let body = r#"{"query":"ladle","limit":5}"#;
    let builder = headers.iter().fold(
        Request::post(path).header("host", "stand-in"),
        |b, (name, value)| b.header(*name, *value),
    );
    builder
        .body(Full::new(body.into()))
        .expect("request is valid")
}

fn search(id: &str) -> Request<Full<Bytes>> {
    let headers = [("x-shard", "1"), ("x-version", "1"), ("x-request-id", id)];
    request("/search", &headers)
}

async fn send(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, CallError> {
    Connection::open(addr).await?.send(request).await
}

async fn set(control: SocketAddr, patch: Value) {
    let (status, reply) = post(control, "/servers/s", &patch)
        .await
        .expect("control responds");
    assert_eq!(status, 200, "{reply}");
}

async fn counter(control: SocketAddr, name: &str) -> u64 {
    let (_, counters) = get(control, "/counters").await.expect("control responds");
    counters["total"][name].as_u64().expect("counter exists")
}

async fn until(control: SocketAddr, name: &str, n: u64) {
    while counter(control, name).await < n {
        compio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn until_one_waits(control: SocketAddr) {
    loop {
        let (_, servers) = get(control, "/servers").await.expect("control responds");
        if servers["s"]["waiting"] == 1 {
            return;
        }
        compio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Runs `other` to completion while polling `held`, which must not complete.
async fn complete_while_held<H, O>(held: H, other: O) -> (H, O::Output)
where
    H: Future + Unpin,
    O: Future,
{
    match select(held, Box::pin(other)).await {
        Either::Left(_) => panic!("the silent connection responded"),
        Either::Right((output, held)) => (held, output),
    }
}

fn header<'a>(response: &'a Response<Bytes>, name: &str) -> &'a str {
    response
        .headers()
        .get(name)
        .map_or("", |v| v.to_str().expect("header is text"))
}

/// Checkers compute the expected response independently, to detect results that mix
/// versions.
#[test]
fn a_search_returns_the_hits_of_its_shard_and_version() {
    let (addr, _) = start(json!({"id": "s", "versions": [1, 2]}));
    run(async {
        let headers = [("x-shard", "7"), ("x-version", "2"), ("x-request-id", "r1")];
        let response = send(addr, request("/search", &headers)).await.unwrap();
        let body: Value = serde_json::from_slice(response.body()).unwrap();
        let expected = search_shard("ladle", "7", 2, 5);
        assert_eq!(header(&response, "x-request-id"), "r1");
        assert_eq!(body["version"], 2);
        assert_eq!(body["shard"], "7");
        assert_eq!(body["count"], expected.count);
        assert_eq!(body["hits"], json!(expected.hits));
    });
}

/// Without all parts in the hit id, a response to another request goes undetected.
#[test]
fn a_hit_id_names_version_shard_and_query() {
    let hits = search_shard("ladle", "kit.7", 41, 100).hits;
    assert!(!hits.is_empty());
    for hit in hits {
        let id: HitId = hit.id.parse().unwrap();
        assert_eq!((id.version, id.shard.as_str()), (41, "kit.7"));
        assert_eq!(id.query, HitId::query_hash("ladle"));
        assert_eq!(id.to_string(), hit.id);
    }
}

/// A refusal without its status or headers would not be retried by the daemon.
#[test_case(json!({}), &[("x-version", "9")], 410, "1"; "version not held")]
#[test_case(json!({}), &[("x-shard", "9")], 409, "1"; "shard not held")]
#[test_case(json!({}), &[("x-deadline-ms", "0")], 504, "1"; "deadline passed")]
#[test_case(json!({"draining": true}), &[], 503, "1"; "draining")]
#[test_case(json!({"fail_fast": true}), &[], 500, ""; "failing")]
#[test_case(json!({"versions": [2]}), &[], 410, "1"; "version withdrawn")]
#[test_case(json!({"shards": [2]}), &[], 409, "1"; "shard moved away")]
fn a_refusal_states_whether_the_request_ran(
    patch: Value,
    changed: &[(&str, &str)],
    status: u16,
    not_run: &str,
) {
    let (addr, control) = start(json!({"id": "s", "shards": [1]}));
    run(async {
        set(control, patch).await;
        let mut request = search("r1");
        for (name, value) in changed {
            let name = hyper::header::HeaderName::from_bytes(name.as_bytes()).unwrap();
            request.headers_mut().insert(name, value.parse().unwrap());
        }
        let response = send(addr, request).await.unwrap();
        assert_eq!(response.status().as_u16(), status);
        assert_eq!(header(&response, "x-not-run"), not_run);
        assert_eq!(counter(control, "executed").await, 0);
    });
}

/// Tests cannot detect wasted work unless the stand-in sheds and cancels requests.
#[test]
fn excess_load_is_shed_and_cancelled_requests_free_their_slots() {
    let time = json!({"median_ms": FOREVER_MS, "sigma": 0.0});
    let (addr, control) =
        start(json!({"id": "s", "slots": 1, "queue_limit": 1, "service_time": time}));
    run(async {
        let running = compio::runtime::spawn(send(addr, search("running")));
        until(control, "executed", 1).await;
        let queued = compio::runtime::spawn(send(addr, search("queued")));
        until_one_waits(control).await;

        let shed = send(addr, search("shed")).await.unwrap();
        assert_eq!(
            (shed.status().as_u16(), header(&shed, "x-not-run")),
            (503, "1")
        );
        assert_ne!(header(&shed, "retry-after-ms"), "");
        assert_eq!(header(&shed, "x-load"), "1/1");

        let ids = json!({"ids": ["queued", "running"]});
        post(addr, "/cancel", &ids).await.unwrap();
        let queued = queued.await.unwrap().unwrap();
        assert_eq!(
            (queued.status().as_u16(), header(&queued, "x-not-run")),
            (499, "1")
        );
        let running = running.await.unwrap().unwrap();
        assert_eq!(
            (running.status().as_u16(), header(&running, "x-not-run")),
            (499, "")
        );
        assert_eq!(counter(control, "shed").await, 1);
        assert_eq!(counter(control, "cancelled").await, 2);
        assert_eq!(counter(control, "wasted").await, 1);
        assert_eq!(counter(control, "executed").await, 1);
    });
}

/// A queue that ignored deadlines would run requests whose caller has given up.
#[test]
fn queued_requests_expire_at_their_deadline() {
    let time = json!({"median_ms": FOREVER_MS, "sigma": 0.0});
    let (addr, control) = start(json!({"id": "s", "slots": 1, "service_time": time}));
    run(async {
        let _running = compio::runtime::spawn(send(addr, search("running")));
        until(control, "executed", 1).await;
        let mut queued = search("queued");
        queued
            .headers_mut()
            .insert("x-deadline-ms", "5".parse().unwrap());
        let response = send(addr, queued).await.unwrap();
        assert_eq!(
            (response.status().as_u16(), header(&response, "x-not-run")),
            (504, "1")
        );
        assert_eq!(counter(control, "executed").await, 1);
    });
}

/// Without an enforced limit, a daemon that opens too many connections goes undetected.
#[test]
fn connections_over_the_limit_are_closed() {
    let (addr, control) = start(json!({"id": "s", "connection_limit": 1}));
    run(async {
        let mut first = Connection::open(addr).await.unwrap();
        first.send(search("1")).await.unwrap();
        assert!(matches!(
            send(addr, search("2")).await,
            Err(CallError::Broken(_))
        ));
        first.send(search("3")).await.unwrap();
        assert_eq!(counter(control, "connections_refused").await, 1);
        drop(first);
        // Succeeds once the server has noticed the end of the first connection.
        while send(addr, search("4")).await.is_err() {}
    });
}

/// If new connections were silent too, the server would look dead.
#[test]
fn a_silent_connection_withholds_its_response_while_new_ones_work() {
    let (addr, control) = start(json!({"id": "s"}));
    run(async {
        let mut old = Connection::open(addr).await.unwrap();
        old.send(search("1")).await.unwrap();
        set(control, json!({"silent": true})).await;
        let silent = Box::pin(old.send(search("2")));
        let new = Box::pin(async {
            for id in ["3", "4", "5"] {
                send(addr, search(id)).await.unwrap();
            }
        });
        let (silent, ()) = complete_while_held(silent, new).await;
        // Sub-requests on a silent connection are counted as received, but do not run.
        let (silent, ()) = complete_while_held(silent, until(control, "received", 5)).await;
        assert_eq!(counter(control, "executed").await, 4);
        set(control, json!({"silent": false})).await;
        assert_eq!(silent.await.unwrap().status().as_u16(), 200);
    });
}

/// Tests of the daemon's recovery need a server that comes up again.
#[test]
fn a_server_that_is_down_refuses_connections_and_restarts_cold() {
    let (addr, control) = start(json!({"id": "s", "cold_start_ms": FOREVER_MS}));
    run(async {
        set(control, json!({"down": true})).await;
        // The listener closes shortly after the mode is set.
        while !matches!(Connection::open(addr).await, Err(CallError::Connect(_))) {}
        set(control, json!({"down": false})).await;
        let response = loop {
            if let Ok(response) = send(addr, search("1")).await {
                break response;
            }
        };
        assert_eq!(
            (response.status().as_u16(), header(&response, "x-not-run")),
            (503, "1")
        );
        let (_, health) = get(addr, "/health").await.unwrap();
        assert_eq!(health["state"], "starting");
    });
}

/// The stage of the cut determines whether an execute may have run.
#[test_case("before_request", 0)]
#[test_case("within_request", 0)]
#[test_case("after_request", 0)]
#[test_case("before_response", 1)]
#[test_case("within_response", 1)]
fn an_execute_is_cut_at_the_stated_stage(stage: &str, executions: u64) {
    let (addr, control) = start(json!({"id": "s"}));
    run(async {
        set(
            control,
            json!({"drop_after": {"stage": stage, "path": "/execute", "count": 1}}),
        )
        .await;
        let execute = || request("/execute", &[("x-request-key", "k1")]);
        assert!(matches!(
            send(addr, execute()).await,
            Err(CallError::Broken(_))
        ));
        assert_eq!(counter(control, "executed").await, executions);

        let second = send(addr, execute()).await.unwrap();
        assert_eq!(second.status().as_u16(), 200);
        let (_, seen) = get(control, "/executions?all=1").await.unwrap();
        assert_eq!(seen["all"]["k1"], executions + 1);
        let repeated = seen["repeated"].get("k1").is_some();
        assert_eq!(repeated, executions == 1);
    });
}
