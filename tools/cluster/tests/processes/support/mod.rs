//! One cluster at a time, and callers that record how each request ended.

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
pub use client::{Answer, Ended, Session, post};

/// Only one cluster runs at a time, so that tests do not overload the machine.
static ONE: Mutex<()> = Mutex::new(());

static PROGRAMS: LazyLock<PathBuf> =
    LazyLock::new(|| build_programs().expect("the programs can be built"));

static NUMBER: AtomicUsize = AtomicUsize::new(0);

/// Waits, and fails the test if the condition does not come true.
pub fn until<T>(what: &str, condition: impl FnMut() -> Option<T>) -> T {
    wait_for(what, condition).unwrap_or_else(|err| panic!("{err}"))
}

/// The folder of the programs, built once.
pub fn programs() -> PathBuf {
    PROGRAMS.clone()
}

/// A deployment of the `examples` folder.
pub fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// A folder that no other test uses.
pub fn scratch() -> PathBuf {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("processes-{number}"));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    folder
}

/// A cluster of the foundry; no other one runs until it is dropped.
pub struct Tier {
    cluster: Cluster,
    _one: MutexGuard<'static, ()>,
}

impl Deref for Tier {
    type Target = Cluster;

    fn deref(&self) -> &Cluster {
        &self.cluster
    }
}

impl DerefMut for Tier {
    fn deref_mut(&mut self) -> &mut Cluster {
        &mut self.cluster
    }
}

/// Starts the foundry with short service times and a short announcement of stops.
pub fn foundry(daemons: usize) -> Tier {
    start(daemons, false)
}

/// As [`foundry`], with a relay between the daemons.
pub fn relayed_foundry(daemons: usize) -> Tier {
    start(daemons, true)
}

fn start(daemons: usize, relayed: bool) -> Tier {
    // A failed test must not keep the others from running.
    let one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
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
    Tier { cluster, _one: one }
}

/// A search of all 20 shards of the pattern shop.
pub fn search() -> Value {
    json!({
        "tenant": "moulding", "class": "pattern-lookup", "group": "pattern-shop",
        "query": "flange", "limit": 5, "deadline_ms": 1500,
    })
}

/// An order with this key.
pub fn order(key: &str) -> Value {
    json!({
        "tenant": "sales", "class": "order-entry", "group": "dispatch", "key": key,
        "operation": {"pieces": 3}, "deadline_ms": 1500,
    })
}

impl Tier {
    /// Sends a request to a daemon on a connection of its own.
    pub fn ask(&self, daemon: usize, path: &str, body: &Value) -> Answer {
        match post(self.nodes[daemon].addresses.callers, path, body) {
            Ended::Answered(answer) => answer,
            other => panic!("daemon {daemon}, {path}: {other:?}"),
        }
    }

    /// A new key for orders.
    pub fn key(&self, daemon: usize) -> String {
        let answer = self.ask(daemon, "/v1/keys", &json!({"tenant": "sales"}));
        let key = answer.body["keys"][0].as_str();
        key.unwrap_or_else(|| panic!("{answer:?}")).to_owned()
    }

    /// Waits until each of these daemons answers searches from all shards, many
    /// times in a row.
    pub fn wait_until_complete(&self, daemons: &[usize]) {
        for daemon in daemons {
            until("complete searches in a row", || {
                let complete = |_| self.ask(*daemon, "/v1/search", &search()).is_complete();
                (0..10).all(complete).then_some(())
            });
        }
    }

    /// Executions of a key.
    pub fn executions_of(&self, key: &str) -> u64 {
        let executions = self.executions().expect("the stand-in answers");
        executions["all"][key].as_u64().unwrap_or(0)
    }

    /// The state of a daemon as another one sees it.
    pub fn seen(&self, by: usize, instance: &str) -> String {
        let status = self.status(by).expect("the daemon answers");
        let members = status["config"]["members"].as_array();
        let member = members
            .into_iter()
            .flatten()
            .find(|member| member["instance"] == instance);
        member.map_or_else(String::new, |member| {
            member["state"].as_str().unwrap_or_default().to_owned()
        })
    }

    /// Every request ended as a caller may rely on: executions against answers.
    pub fn check(&self, records: &[Record]) {
        let executions = self.executions().expect("the stand-in answers");
        assert_eq!(executions["repeated"], json!({}), "an order ran twice");
        for record in records {
            record.check(&executions["all"]);
        }
    }
}
