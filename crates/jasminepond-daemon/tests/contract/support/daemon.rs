//! Runs a daemon on its own thread.

use std::{net::SocketAddr, sync::mpsc, thread::JoinHandle};

use futures_channel::oneshot;
use jasminepond_config::Settings;
use jasminepond_daemon::{Bound, Daemon, Options, Outcome};
use serde_json::{Value, json};

use super::{get, wait_for};

/// The peer key shared by the daemons of a test.
pub const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// A configuration. The group `find` has one shard per list of replicas; the group `do`
/// runs executes on all servers. Limits are small so that tests can reach them.
pub fn folder(shards: &[Vec<SocketAddr>]) -> Value {
    let mut servers = json!({});
    let mut services = json!({});
    for (number, replicas) in shards.iter().enumerate() {
        let mut names = Vec::new();
        for (letter, address) in ["a", "b", "c"].iter().zip(replicas) {
            let name = format!("server-{}-{letter}", number + 1);
            servers[&name] = json!({
                "address": address, "zone": "z1", "slots": 2, "connection_limit": 28,
            });
            names.push(name);
        }
        services[format!("shard-{}", number + 1)] = json!(names);
    }
    let all: Vec<String> = servers
        .as_object()
        .into_iter()
        .flatten()
        .map(|(name, _)| name.clone())
        .collect();
    json!({
        "zones": {"z1": {"region": "r1"}},
        "tenants": {"t1": {}, "t2": {}},
        "classes": {"c1": {"priority": 0, "default_deadline_ms": 2000, "max_deadline_ms": 20000}},
        "servers": servers,
        "groups": {
            "find": {"kind": "search", "snapshots": {"1": {"services": services}}},
            "do": {"kind": "execute", "servers": all},
        },
        "limits": {
            "max_body_bytes": 4096,
            "max_header_bytes": 2048,
            "max_answer_bytes": 8192,
            "request_read_timeout_ms": 400,
        },
        "drain": {"announce_ms": 0, "limit_ms": 5000},
    })
}

/// A running daemon. Dropping it stops the daemon gracefully.
pub struct TestDaemon {
    pub bound: Bound,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<Outcome>>,
}

impl TestDaemon {
    /// Starts a daemon and waits until it is ready.
    pub fn start(instance: &str, platform: SocketAddr) -> Self {
        let daemon = Self::launch(instance, platform);
        daemon.wait_until_ready();
        daemon
    }

    /// Starts a daemon without waiting for readiness.
    pub fn launch(instance: &str, platform: SocketAddr) -> Self {
        // These tests provoke faults; the resulting log lines would only be noise.
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let settings = Settings {
            instance: instance.parse().expect("a valid id"),
            zone: "z1".parse().expect("a valid id"),
            region: "r1".parse().expect("a valid id"),
            platform: vec![platform],
            peer_keys: vec![KEY.parse().expect("a valid key")],
            ..Settings::default()
        };
        let (stop, stopped) = oneshot::channel();
        let (bound_tx, bound_rx) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            runtime.block_on(async {
                let daemon = Daemon::start(Options { settings }).await;
                let daemon = daemon.expect("the daemon starts");
                let _ = bound_tx.send(daemon.bound());
                let stopped = async {
                    let _ = stopped.await;
                };
                daemon.run(stopped).await
            })
        });
        Self {
            bound: bound_rx.recv().expect("the daemon starts"),
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// The operators' status page.
    pub fn status(&self) -> Value {
        get(self.bound.operators, "/status").body
    }

    /// The configuration revision in effect.
    pub fn revision(&self) -> u64 {
        self.status()["config"]["revision"].as_u64().unwrap_or(0)
    }

    /// Waits until the daemon reports readiness.
    pub fn wait_until_ready(&self) {
        wait_for("the daemon to be ready", || {
            (get(self.bound.operators, "/readyz").status == 200).then_some(())
        });
    }

    /// Starts the graceful shutdown.
    pub fn begin_stop(&mut self) {
        self.stop = None;
    }

    /// Stops the daemon gracefully and returns its outcome.
    pub fn stop(mut self) -> Outcome {
        self.begin_stop();
        let thread = self.thread.take().expect("stopped once");
        thread.join().expect("the daemon does not panic")
    }
}

impl Drop for TestDaemon {
    fn drop(&mut self) {
        self.begin_stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
