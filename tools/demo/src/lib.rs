//! Demo: starts a deployment as separate processes and sends searches and
//! non-idempotent requests through its daemons. Under this load it publishes a
//! configuration change and stops one daemon, then checks the guarantees of the tier.

mod checks;
mod clients;
mod report;

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use jasminepond_cluster::{Cluster, ClusterError, build_programs, call, wait_for};
use serde_json::json;

pub use report::Outcome;

use clients::{Balancer, Clients, Workload};
use report::{Reconfigured, Stopped};

/// Options of the demo.
#[derive(Debug, Clone)]
pub struct Options {
    /// Example deployment to run.
    pub deployment: Deployment,
    /// Number of daemons.
    pub daemons: usize,
    /// How long requests are sent.
    pub duration: Duration,
    /// Number of clients that send searches.
    pub searchers: usize,
    /// Number of clients that send non-idempotent requests.
    pub executors: usize,
    /// Scratch directory, which contains the logs of all processes.
    pub scratch: PathBuf,
}

/// An example deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Turnatoria Vulcan Grate.
    Foundry,
    /// Dinas Usaha Kedai Limun Jawa Tengah.
    Registry,
}

impl Deployment {
    /// Its name on the command line and under `examples/`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Foundry => "foundry",
            Self::Registry => "registry",
        }
    }

    fn folder(self) -> PathBuf {
        PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples")).join(self.name())
    }

    fn workload(self) -> Workload {
        match self {
            Self::Foundry => Workload {
                searches: &[
                    ("moulding", "pattern-lookup", "pattern-shop"),
                    ("sales", "archive-search", "sales-office"),
                ],
                execute: ("sales", "order-entry", "dispatch"),
            },
            Self::Registry => Workload {
                searches: &[
                    ("inspectors", "recall-check", "kit-registry"),
                    ("loan-desk", "loan-review", "loan-portal"),
                ],
                execute: ("permit-office", "permit-print", "permits"),
            },
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            deployment: Deployment::Foundry,
            daemons: 6,
            duration: Duration::from_secs(8),
            searchers: 6,
            executors: 3,
            scratch: std::env::temp_dir().join(format!("jasminepond-demo-{}", std::process::id())),
        }
    }
}

/// Index of the daemon that is stopped under load.
const STOPPED_DAEMON: usize = 1;

/// Runs the demo and prints its progress.
///
/// # Errors
///
/// A process cannot be started or does not respond. Violated guarantees are part of
/// the outcome, not errors.
pub fn run(options: &Options) -> Result<Outcome, ClusterError> {
    println!("building the programs");
    let programs = build_programs()?;
    let workload = options.deployment.workload();
    let mut cluster_options =
        jasminepond_cluster::Options::new(options.deployment.folder(), &options.scratch);
    cluster_options.daemons = options.daemons;
    cluster_options.programs = programs;
    println!(
        "starting {} daemons, the backend servers and the platform of the {} (logs in {})",
        options.daemons,
        options.deployment.name(),
        options.scratch.display()
    );
    let mut cluster = Cluster::start(cluster_options)?;
    for node in &cluster.nodes {
        println!(
            "  {} in {}: callers on {}, operators on {}",
            node.instance, node.zone, node.addresses.callers, node.addresses.operators
        );
    }

    let balancer = Arc::new(Balancer::new(cluster.caller_addresses()));
    let done = Arc::new(AtomicBool::new(false));
    println!("sending requests for {:?}", options.duration);
    let started = Instant::now();
    let clients = Clients::start(
        &workload,
        options.searchers,
        options.executors,
        &balancer,
        &done,
    );

    sleep_until(started + options.duration / 4);
    let reconfigured = reconfigure(&cluster)?;
    sleep_until(started + options.duration / 2);
    let stopped = stop_daemon(&mut cluster, &balancer)?;
    sleep_until(started + options.duration);
    done.store(true, Ordering::Relaxed);
    let results = clients.join();

    let revisions = cluster.revisions();
    let executions = cluster.executions()?;
    let backend = cluster.backend_counters()?;
    Ok(Outcome {
        results,
        reconfigured,
        stopped,
        revisions,
        executions,
        backend,
    })
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Publishes a changed limit and waits until it is in effect on every daemon.
fn reconfigure(cluster: &Cluster) -> Result<Reconfigured, ClusterError> {
    let change = json!({"98-demo.json": {"routing": {"queue_limit": 200}}});
    let started = Instant::now();
    let revision = cluster.publish(&change)?;
    println!("published configuration revision {revision}");
    wait_for("the new revision on all daemons", || {
        let revisions = cluster.revisions();
        let all = revisions.len() == cluster.nodes.len();
        (all && revisions.values().all(|r| *r == revision)).then_some(())
    })?;
    let delay = started.elapsed();
    println!(
        "  in effect on all daemons after {:.0} ms",
        delay.as_secs_f64() * 1_000.0
    );
    Ok(Reconfigured { revision, delay })
}

/// Stops a daemon with SIGTERM and removes it from the load balancer once it is no
/// longer ready, as in a deployment.
fn stop_daemon(cluster: &mut Cluster, balancer: &Balancer) -> Result<Stopped, ClusterError> {
    let operators = cluster.nodes[STOPPED_DAEMON].addresses.operators;
    let instance = cluster.nodes[STOPPED_DAEMON].instance.clone();
    println!("stopping {instance} with SIGTERM");
    cluster.nodes[STOPPED_DAEMON]
        .process
        .signal(jasminepond_cluster::Signal::TERM)?;
    wait_for("the stopped daemon to be not ready", || {
        let ready = call(operators, "/readyz", None);
        ready.map_or(Some(()), |answer| {
            (answer["status"] != "ready").then_some(())
        })
    })?;
    balancer.remove(STOPPED_DAEMON);
    let status = cluster.nodes[STOPPED_DAEMON].process.wait()?;
    println!("  {instance} ended with {status}");
    Ok(Stopped {
        instance,
        clean: status.success(),
    })
}
