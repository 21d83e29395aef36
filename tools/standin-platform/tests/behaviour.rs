//! Behaviour of the stand-in that the daemon's tests rely on. A deviation from section
//! 4.4 of the design page would make those tests pass or fail wrongly.

use std::{fs, future::Future, path::Path, sync::mpsc};

use serde_json::{Value, json};
use standin_http::{CallError, Connection, call, get, post};
use standin_platform::{Bound, Options, serve};
use test_case::test_case;

/// Longer than any test runs, so that it never elapses.
const FOREVER_MS: u64 = 60_000;

fn start(options: Options) -> Bound {
    let (tx, rx) = mpsc::channel::<Bound>();
    std::thread::spawn(move || serve(options, move |bound| tx.send(bound).expect("test waits")));
    rx.recv().expect("stand-in starts")
}

fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("a runtime can be built")
        .block_on(test)
}

async fn control(bound: &Bound, path: &str, body: Value) -> Value {
    let (status, reply) = post(bound.control, path, &body)
        .await
        .expect("control responds");
    assert_eq!(status, 200, "{reply}");
    reply
}

async fn read(bound: &Bound, path: &str) -> Value {
    let (status, reply) = get(bound.platform, path).await.expect("platform responds");
    assert_eq!(status, 200, "{reply}");
    reply
}

async fn counter(bound: &Bound, name: &str) -> u64 {
    let (_, counters) = get(bound.control, "/counters")
        .await
        .expect("control responds");
    counters[name].as_u64().expect("counter exists")
}

async fn wait_for_pending_watch(bound: &Bound) {
    while counter(bound, "pending_watches").await == 0 {}
}

fn digest(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

fn file_path(name: &str, digest: &str) -> String {
    format!("/v1/files/{name}?digest={digest}")
}

/// Clients reject a tree whose digests or sizes do not match its files.
#[test]
fn the_first_revision_is_read_from_a_directory() {
    // Concurrent runs of this test program may share the parent directory.
    let name = format!("first-revision-{}", std::process::id());
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&dir).unwrap();
    fs::write(dir.join("10-base.json"), "{\"a\":1}").unwrap();
    let bound = start(Options {
        dir: Some(dir),
        revision: 7,
        ..Options::default()
    });
    run(async {
        let digest = digest(b"{\"a\":1}");
        let file = json!({"name": "10-base.json", "digest": digest, "size": 7});
        let tree = read(&bound, "/v1/tree").await;
        assert_eq!(tree, json!({"revision": 7, "files": [file]}));
        let content = read(&bound, &file_path("10-base.json", &digest)).await;
        assert_eq!(content, json!({"a": 1}));
        let other = file_path("10-base.json", "00");
        assert_eq!(get(bound.platform, &other).await.unwrap().0, 404);
    });
}

/// If a change became visible in parts, it would look like a defect of the daemons.
#[test]
fn several_files_change_as_one_revision() {
    let bound = start(Options::default());
    run(async {
        let first = json!({"put": {"a": {"x": 1}, "b": "text", "c": {}}});
        assert_eq!(control(&bound, "/revisions", first).await["revision"], 2);
        let second = json!({"put": {"a": {"x": 2}}, "delete": ["c"]});
        assert_eq!(control(&bound, "/revisions", second).await["revision"], 3);
        let tree = read(&bound, "/v1/tree").await;
        assert_eq!(tree["revision"], 3);
        let files = tree["files"].as_array().unwrap();
        let names: Vec<_> = files.iter().map(|f| f["name"].as_str().unwrap()).collect();
        assert_eq!(names, ["a", "b"]);
        // A client that holds the older tree can still read its files.
        let older = read(&bound, &file_path("a", &digest(b"{\"x\":1}"))).await;
        assert_eq!(older, json!({"x": 1}));
    });
}

/// A watch that is not counted, or counted twice, makes the measured read rate wrong.
#[test]
fn a_pending_watch_counts_once_and_ends_with_the_change() {
    let bound = start(Options::default());
    run(async {
        let path = format!("/v1/watch?after=1&timeout_ms={FOREVER_MS}");
        let platform = bound.platform;
        let watch = compio::runtime::spawn(async move { get(platform, &path).await.unwrap() });
        wait_for_pending_watch(&bound).await;
        control(&bound, "/revisions", json!({"put": {"a": {}}})).await;
        let (status, tree) = watch.await.unwrap();
        assert_eq!((status, &tree["revision"]), (200, &json!(2)));
        assert_eq!(counter(&bound, "watch").await, 1);
        assert_eq!(counter(&bound, "pending_watches").await, 0);

        let timed_out = get(platform, "/v1/watch?after=2&timeout_ms=1")
            .await
            .unwrap();
        assert_eq!(timed_out.0, 204);
    });
}

/// Without the limit, a test cannot detect that the daemons read too often.
#[test]
fn reads_over_the_limit_get_429() {
    let bound = start(Options {
        reads_per_s: 1,
        ..Options::default()
    });
    run(async {
        let mut reads = 1;
        while get(bound.platform, "/v1/tree").await.unwrap().0 != 429 {
            reads += 1;
        }
        assert!(reads > 1, "the first read is within the limit");
        assert_eq!(counter(&bound, "limited").await, 1);
        assert_eq!(counter(&bound, "tree").await, reads);
    });
}

/// If the stand-in accepted larger values than the real service, a test would not detect
/// that a configuration file is too large.
#[test_case(1_000_000, 200; "largest value")]
#[test_case(1_000_001, 413; "one byte more")]
fn values_over_one_megabyte_are_refused(size: usize, expected: u16) {
    let bound = start(Options::default());
    run(async {
        let body = json!({"put": {"a": "x".repeat(size)}});
        let (status, _) = post(bound.control, "/revisions", &body).await.unwrap();
        assert_eq!(status, expected);
    });
}

/// If a mode served other revisions, a test would exercise a different fault than intended.
#[test_case(json!({}), 3, 3; "no fault")]
#[test_case(json!({"rollback": 2}), 2, 2; "older revision")]
#[test_case(json!({"torn": {"tree": 3, "files": 2}}), 3, 2; "tree and files differ")]
fn modes_select_the_served_revisions(modes: Value, tree: u64, files: u64) {
    let bound = start(Options::default());
    run(async {
        for n in [2, 3] {
            control(&bound, "/revisions", json!({"put": {"a": n}})).await;
        }
        control(&bound, "/modes", modes).await;
        let served = read(&bound, "/v1/tree").await;
        assert_eq!(served["revision"], tree);
        let digest = served["files"][0]["digest"].as_str().unwrap();
        assert_eq!(read(&bound, &file_path("a", digest)).await, json!(files));

        control(&bound, "/modes", json!({"rollback": null, "torn": null})).await;
        assert_eq!(read(&bound, "/v1/tree").await["revision"], 3);
    });
}

/// If any change became visible in stale mode, tests of stale reads would be void.
#[test]
fn a_stale_platform_freezes_tree_watches_and_instances() {
    let bound = start(Options::default());
    run(async {
        control(&bound, "/modes", json!({"stale": true})).await;
        control(&bound, "/revisions", json!({"put": {"a": {}}})).await;
        let daemon = json!({"id": "d1", "role": "daemon", "address": "127.0.0.1:1"});
        control(&bound, "/instances/d1", daemon).await;
        assert_eq!(read(&bound, "/v1/tree").await["revision"], 1);
        assert_eq!(
            read(&bound, "/v1/instances").await,
            json!({"instances": []})
        );
        let watch = get(bound.platform, "/v1/watch?after=1&timeout_ms=1")
            .await
            .unwrap();
        assert_eq!(watch.0, 204);

        control(&bound, "/modes", json!({"stale": false})).await;
        assert_eq!(read(&bound, "/v1/tree").await["revision"], 2);
        assert_eq!(
            read(&bound, "/v1/instances").await["instances"][0]["state"],
            "live"
        );
    });
}

/// Refused connections and missing responses exercise different timeouts of the daemon.
#[test]
fn a_platform_that_is_down_refuses_or_hangs() {
    let bound = start(Options::default());
    run(async {
        control(&bound, "/modes", json!({"down": "refuse"})).await;
        // The listener closes shortly after the mode is set.
        while !matches!(
            Connection::open(bound.platform).await,
            Err(CallError::Connect(_))
        ) {}

        control(&bound, "/modes", json!({"down": "hang"})).await;
        let platform = bound.platform;
        let hung = compio::runtime::spawn(async move {
            loop {
                // Refused until the port is bound again.
                if let Ok(response) = get(platform, "/v1/tree").await {
                    return response;
                }
            }
        });
        while Connection::open(bound.platform).await.is_err() {}
        assert_eq!(counter(&bound, "tree").await, 0);
        assert!(!hung.is_finished());
        control(&bound, "/modes", json!({"down": null})).await;
        assert_eq!(hung.await.unwrap().0, 200);
    });
}

/// Without the lag, tests would not detect that the daemon depends on an up-to-date list.
#[test]
fn the_instance_list_is_served_after_its_lag() {
    let bound = start(Options::default());
    run(async {
        let entry =
            |state| json!({"id": "d1", "role": "daemon", "address": "127.0.0.1:1", "state": state});
        control(&bound, "/instances", json!({"instances": [entry("live")]})).await;
        control(&bound, "/modes", json!({"instance_lag_ms": FOREVER_MS})).await;
        control(&bound, "/instances/d1", entry("leaving")).await;
        let served = read(&bound, "/v1/instances").await;
        assert_eq!(served["instances"][0]["state"], "live");
        let (_, state) = get(bound.control, "/state").await.unwrap();
        assert_eq!(state["instances"][0]["state"], "leaving");
        call(bound.control, "DELETE", "/instances/d1", None)
            .await
            .unwrap();
        let (_, state) = get(bound.control, "/state").await.unwrap();
        assert_eq!(state["instances"], json!([]));
    });
}

/// The daemons must not be able to write to the platform.
#[test]
fn writes_to_the_platform_are_refused() {
    let bound = start(Options::default());
    run(async {
        let (status, _) = post(bound.platform, "/v1/tree", &json!({})).await.unwrap();
        assert_eq!(status, 405);
    });
}
