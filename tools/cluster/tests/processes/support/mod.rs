//! Starts one cluster at a time, and callers that record the outcome of each request.

mod callers;
mod client;

use std::{
    ops::{Deref, DerefMut},
    path::PathBuf,
    sync::{
        LazyLock, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use jasminepond_cluster::{Cluster, Options, ServiceTime, build_programs, wait_for};
use serde_json::{Value, json};

pub use callers::{Callers, Record};
pub use client::{Answer, Outcome, Session, post};

/// Only one cluster runs at a time, so that tests do not overload the machine.
static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

static PROGRAMS: LazyLock<PathBuf> =
    LazyLock::new(|| build_programs().expect("the programs can be built"));

static NEXT_SCRATCH: AtomicUsize = AtomicUsize::new(0);

/// Waits for a condition; fails the test after the time limit.
pub fn until<T>(what: &str, condition: impl FnMut() -> Option<T>) -> T {
    wait_for(what, condition).unwrap_or_else(|err| panic!("{err}"))
}

/// The folder of the programs, built once.
pub fn programs() -> PathBuf {
    PROGRAMS.clone()
}

/// Path of a deployment in the `examples` folder.
pub fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Creates a folder that no other test uses.
pub fn scratch() -> PathBuf {
    let number = NEXT_SCRATCH.fetch_add(1, Ordering::Relaxed);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("processes-{number}"));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    folder
}

/// A running cluster. No other one is started until it is dropped.
pub struct TestCluster {
    cluster: Cluster,
    _guard: MutexGuard<'static, ()>,
}

impl Deref for TestCluster {
    type Target = Cluster;

    fn deref(&self) -> &Cluster {
        &self.cluster
    }
}

impl DerefMut for TestCluster {
    fn deref_mut(&mut self) -> &mut Cluster {
        &mut self.cluster
    }
}

/// Starts the `foundry` example with short service times and a short stop
/// announcement.
pub fn foundry(daemons: usize) -> TestCluster {
    start(daemons, false)
}

/// Like [`foundry`], with a relay between the daemons.
pub fn relayed_foundry(daemons: usize) -> TestCluster {
    start(daemons, true)
}

fn start(daemons: usize, relayed: bool) -> TestCluster {
    // A test that panicked poisons the lock; the other tests still run.
    let guard = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let options = Options {
        daemons,
        relayed,
        programs: programs(),
        service_time: ServiceTime {
            median_ms: 3.0,
            slow_share: 0.0,
            ..ServiceTime::default()
        },
        overrides: json!({"drain": {"announce_ms": 2000, "limit_ms": 30000}}),
        ..Options::new(example("foundry"), scratch())
    };
    let cluster = Cluster::start(options).expect("the cluster starts");
    TestCluster {
        cluster,
        _guard: guard,
    }
}

/// Body of a search over all 20 shards of the pattern shop.
pub fn search_body() -> Value {
    json!({
        "tenant": "moulding", "class": "pattern-lookup", "group": "pattern-shop",
        "query": "flange", "limit": 5, "deadline_ms": 1500,
    })
}

/// Body of an execute request with this key.
pub fn execute_body(key: &str) -> Value {
    json!({
        "tenant": "sales", "class": "order-entry", "group": "dispatch", "key": key,
        "operation": {"pieces": 3}, "deadline_ms": 1500,
    })
}

impl TestCluster {
    /// Sends a request to a daemon on a new connection; panics without a complete
    /// response.
    pub fn request(&self, daemon: usize, path: &str, body: &Value) -> Answer {
        match post(self.nodes[daemon].addresses.callers, path, body) {
            Outcome::Answered(answer) => answer,
            other => panic!("daemon {daemon}, {path}: {other:?}"),
        }
    }

    /// Requests a new key from a daemon.
    pub fn key(&self, daemon: usize) -> String {
        let answer = self.request(daemon, "/v1/keys", &json!({"tenant": "sales"}));
        let key = answer.body["keys"][0].as_str();
        key.unwrap_or_else(|| panic!("{answer:?}")).to_owned()
    }

    /// Waits until each of these daemons returns ten complete search results in a row.
    pub fn wait_until_complete(&self, daemons: &[usize]) {
        for daemon in daemons {
            until("complete searches in a row", || {
                let complete = |_| {
                    self.request(*daemon, "/v1/search", &search_body())
                        .is_complete()
                };
                (0..10).all(complete).then_some(())
            });
        }
    }

    /// Number of executions of a key.
    pub fn executions_of(&self, key: &str) -> u64 {
        let executions = self.executions().expect("the stand-in responds");
        executions["all"][key].as_u64().unwrap_or(0)
    }

    /// The member state of `instance` as seen by the daemon `observer`; empty if it
    /// is not a known member.
    pub fn member_state(&self, observer: usize, instance: &str) -> String {
        let status = self.status(observer).expect("the daemon responds");
        let members = status["config"]["members"].as_array();
        let member = members
            .into_iter()
            .flatten()
            .find(|member| member["instance"] == instance);
        member.map_or_else(String::new, |member| {
            member["state"].as_str().unwrap_or_default().to_owned()
        })
    }

    /// Checks all responses against the executions counted by the backend servers.
    pub fn check(&self, records: &[Record]) {
        let executions = self.executions().expect("the stand-in responds");
        assert_eq!(
            executions["repeated"],
            json!({}),
            "a request was executed twice"
        );
        for record in records {
            record.check(&executions["all"]);
        }
    }
}
