//! Runs of the load generator against the stand-in servers and against mock daemons.

use std::{
    cell::Cell, fs, future::Future, net::SocketAddr, path::PathBuf, rc::Rc, sync::mpsc,
    time::Duration,
};

use compio::net::TcpListener;
use jasminepond_load::{Kind, Options, Plan, Report, arrivals, compare, run, table};
use serde_json::{Value, json};
use standin_backend::{Bound, search_shard};
use standin_http::{Reply, Request, error, json as reply, post};
use test_case::test_case;

fn block_on<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("a runtime can be built")
        .block_on(test)
}

fn plan_file(name: &str, plan: &Value) -> PathBuf {
    // Concurrent test processes may share the directory.
    let name = format!("{}-{name}", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, plan.to_string()).expect("plan can be written");
    path
}

fn stream(kind: &str) -> Value {
    json!({"tenant": "t", "class": kind, "group": "g", "kind": kind, "deadline_ms": 10_000})
}

/// Starts four servers: two shards with two replicas each.
fn backend() -> Bound {
    let server = |n: u32| {
        let time = json!({"median_ms": 0.5, "sigma": 0.1});
        let spec = json!({
            "id": format!("s{n}"), "group": "g", "shards": [n % 2], "versions": [40, 41],
            "slots": 16, "queue_limit": 10_000, "connection_limit": 1_000, "service_time": time,
        });
        serde_json::from_value(spec).expect("specification is valid")
    };
    let options = standin_backend::Options {
        servers: (0..4).map(server).collect(),
        ..Default::default()
    };
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        standin_backend::serve(options, move |bound| tx.send(bound).expect("test waits"))
    });
    rx.recv().expect("stand-in starts")
}

async fn daemon<F, R>(handler: F) -> SocketAddr
where
    F: Fn(Request) -> R + 'static,
    R: Future<Output = Reply> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    compio::runtime::spawn(standin_http::serve(listener, handler)).detach();
    address
}

fn tier_options(plan: PathBuf, daemon: SocketAddr) -> Options {
    Options {
        plan,
        rate: 400.0,
        duration: Duration::from_millis(200),
        daemons: vec![daemon],
        ..Options::default()
    }
}

fn parse_plan(streams: Value) -> Plan {
    serde_json::from_value(json!({ "streams": streams })).expect("plan is valid")
}

/// The modes can only be compared if the same seed gives the same arrivals.
#[test]
fn arrivals_follow_seed_rate_and_weights() {
    let mut rare = stream("execute");
    rare["weight"] = json!(0.25);
    let plan = parse_plan(json!([stream("search"), rare]));
    let all = |seed| -> Vec<_> { arrivals(&plan, 1000.0, Duration::from_secs(10), seed).collect() };
    let first = all(1);
    assert_eq!(first, all(1));
    assert_ne!(first, all(2));
    assert!((9_500..10_500).contains(&first.len()), "{}", first.len());
    assert!(first.is_sorted_by_key(|a| a.at));
    let executes = first
        .iter()
        .filter(|a| plan.streams[a.stream].kind == Kind::Execute);
    let share = executes.count() as f64 / first.len() as f64;
    assert!((0.18..0.22).contains(&share), "{share}");
}

/// The baseline must return correct answers and account for every sub-request.
#[test_case(1; "one thread")]
#[test_case(3; "three threads")]
fn direct_mode_returns_complete_answers_without_extra_load(threads: usize) {
    let plan = json!({"streams": [stream("search"), stream("execute")]});
    let options = Options {
        plan: plan_file(&format!("direct-{threads}.json"), &plan),
        threads,
        rate: 400.0,
        duration: Duration::from_millis(300),
        direct: true,
        backend_controls: vec![backend().control],
        ..Options::default()
    };
    let report = block_on(run(&options)).unwrap();
    assert_eq!(
        report.total.requests,
        report.total.answered,
        "{}",
        table(&report)
    );
    assert!(report.classes["search"].answered > 0);
    assert!(report.classes["execute"].answered > 0);
    assert_eq!(report.total.coverage, Some(1.0));
    assert_eq!(report.total.complete_share, Some(1.0));
    assert_eq!(report.checked, report.classes["search"].answered);
    assert!(report.violations.is_empty(), "{}", table(&report));
    assert!(report.execute_violations.is_empty(), "{}", table(&report));
    let load = report.extra_load.unwrap();
    let needed = 2 * report.classes["search"].answered + report.classes["execute"].answered;
    assert_eq!((load.needed, load.counters.received), (needed, needed));
    assert!(report.processes.contains_key("self"));
}

/// Overstated coverage of the baseline would hide the benefit of the tier.
#[test]
fn direct_mode_reports_missing_shards() {
    let bound = backend();
    let options = Options {
        plan: plan_file("missing.json", &json!({"streams": [stream("search")]})),
        rate: 200.0,
        duration: Duration::from_millis(200),
        direct: true,
        backend_controls: vec![bound.control],
        ..Options::default()
    };
    let report = block_on(async {
        for server in ["s1", "s3"] {
            let path = format!("/servers/{server}");
            post(bound.control, &path, &json!({"fail_fast": true}))
                .await
                .unwrap();
        }
        run(&options).await.unwrap()
    });
    assert_eq!(report.total.coverage, Some(0.5));
    assert_eq!(report.total.complete_share, Some(0.0));
    assert_eq!(report.total.missing["status_500"], report.total.answered);
    assert!(report.violations.is_empty(), "{}", table(&report));
    // Each failing shard was tried twice.
    assert_eq!(report.extra_load.unwrap().received_ratio, 1.5);
}

fn search_reply(request: &Request, query: Option<&str>) -> Reply {
    let body: Value = request.json().expect("the load tool sends JSON");
    let query = query.unwrap_or(body["query"].as_str().expect("query is a text"));
    let limit = body["limit"].as_u64().expect("limit is a number") as usize;
    let found = search_shard(query, "0", 41, limit);
    let hit = |h: &standin_backend::Hit| json!({"id": h.id, "score": h.score, "shard": "0"});
    let hits: Vec<_> = found.hits.iter().map(hit).collect();
    let coverage = json!({"shards": 1, "answered": 1, "missing": []});
    reply(
        200,
        &json!({"snapshot": 41, "coverage": coverage, "count": found.count, "hits": hits}),
    )
}

/// An answer to another query must be reported as a violation, a rejection must not.
#[test]
fn daemon_answers_are_checked_and_rejections_counted() {
    let plan = plan_file("tier.json", &json!({"streams": [stream("search")]}));
    let report = block_on(async {
        let number = Rc::new(Cell::new(0));
        let address = daemon(move |request| {
            number.set(number.get() + 1);
            std::future::ready(match number.get() {
                3 => search_reply(&request, Some("of another request")),
                5 => reply(
                    503,
                    &json!({"error": {"kind": "overloaded", "not_run": true}}),
                ),
                7 => error(500, "not an error of the tier"),
                _ => search_reply(&request, None),
            })
        })
        .await;
        run(&tier_options(plan, address)).await.unwrap()
    });
    assert_eq!(report.total.answered, report.total.requests - 2);
    assert_eq!(report.total.refused["overloaded"], 1);
    assert_eq!(report.total.failed["unreadable_response"], 1);
    assert_eq!(report.violations.values().copied().max(), Some(1));
    assert_eq!(report.samples.len(), 1);
}

/// Detects execute requests that ran twice, that ran although rejected as not run, and
/// that did not run although reported as done.
#[test]
fn execute_outcomes_are_compared_with_backend_executions() {
    let plan = plan_file("execute.json", &json!({"streams": [stream("execute")]}));
    let backend = backend();
    let server = backend.servers["s0"];
    let report = block_on(async {
        let number = Rc::new(Cell::new(0));
        let address = daemon(move |request| {
            let number = number.clone();
            async move {
                if request.path == "/v1/keys" {
                    number.set(number.get() + 1);
                    let keys = json!({"keys": [format!("k{}", number.get())], "expires_in_ms": 1});
                    return reply(200, &keys);
                }
                let body: Value = request.json().expect("the load tool sends JSON");
                let key = body["key"].as_str().expect("key is a text").to_string();
                let runs = match key.as_str() {
                    "k1" => 2,
                    "k2" => 0,
                    _ => 1,
                };
                for _ in 0..runs {
                    execute_on(server, &key).await;
                }
                match key.as_str() {
                    "k3" => reply(
                        503,
                        &json!({"error": {"kind": "draining", "not_run": true}}),
                    ),
                    _ => reply(200, &json!({"outcome": "done", "key": key, "result": {}})),
                }
            }
        })
        .await;
        let options = Options {
            backend_controls: vec![backend.control],
            ..tier_options(plan, address)
        };
        run(&options).await.unwrap()
    });
    let expected = [
        ("done_but_did_not_run", 1),
        ("ran_more_than_once", 1),
        ("refused_as_not_run_but_ran", 1),
    ];
    let found = report
        .execute_violations
        .iter()
        .map(|(k, n)| (k.as_str(), *n));
    assert_eq!(found.collect::<Vec<_>>(), expected);
}

async fn execute_on(server: SocketAddr, key: &str) {
    let request = hyper::Request::post("/execute")
        .header("host", "server")
        .header("x-request-key", key)
        .body(Default::default())
        .expect("request is valid");
    let mut connection = standin_http::Connection::open(server)
        .await
        .expect("server runs");
    let response = connection.send(request).await.expect("server responds");
    assert_eq!(response.status(), 200);
}

/// A run must end although the daemon never responds, and the requests without a
/// response must be counted.
#[test]
fn unanswered_requests_are_bounded_in_count_and_time() {
    let plan = plan_file("silent.json", &json!({"streams": [stream("search")]}));
    let report = block_on(async {
        let address = daemon(|_| std::future::pending()).await;
        let options = Options {
            max_in_flight: 5,
            drain: Duration::from_millis(1),
            ..tier_options(plan, address)
        };
        run(&options).await.unwrap()
    });
    assert_eq!(report.total.failed["abandoned"], 5);
    assert_eq!(report.total.failed["not_sent"], report.total.requests - 5);
    assert_eq!(report.total.coverage_of_all, None);
}

/// With the reports swapped, an improvement would look like a regression.
#[test]
fn comparison_divides_second_report_by_first() {
    let report = |p99, received_ratio| -> Report {
        let class = json!({"answered": 10, "latency_ms": {"p99": p99}, "coverage_of_all": 0.5});
        let load = json!({"received_ratio": received_ratio});
        serde_json::from_value(json!({"total": class, "extra_load": load})).unwrap()
    };
    let text = compare(&report(100.0, 2.0), &report(50.0, 1.0));
    let ratio = |name: &str| {
        let line = text
            .lines()
            .find(|l| l.starts_with(name))
            .expect("row exists");
        line.split_whitespace()
            .last()
            .expect("row has columns")
            .to_string()
    };
    assert_eq!(ratio("all: p99"), "0.500");
    assert_eq!(ratio("all: coverage"), "1.000");
    assert_eq!(ratio("extra load, received"), "0.500");
}
