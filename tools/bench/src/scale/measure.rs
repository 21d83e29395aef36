//! Measurements of processes, counters and configuration revisions.

use std::{
    collections::BTreeMap,
    fs,
    time::{Duration, Instant},
};

use jasminepond_cluster::{Cluster, call, call_text};
use serde_json::Value;

use crate::BoxError;

/// Timeout for a change to take effect on all daemons.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(120);

/// Pause between two polling rounds.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Load average of the machine over the last minute.
pub fn load_average() -> Result<f64, BoxError> {
    let text = fs::read_to_string("/proc/loadavg")?;
    let first = text.split_whitespace().next().unwrap_or_default();
    Ok(first.parse()?)
}

/// CPU time of all threads of a process in ms, from `schedstat`.
///
/// # Errors
///
/// The process has ended.
pub fn cpu_ms(pid: u32) -> Result<f64, BoxError> {
    let mut total_ns = 0.0;
    for thread in fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = fs::read_to_string(thread?.path().join("schedstat"))?;
        let running = text.split_whitespace().next().unwrap_or_default();
        total_ns += running.parse::<f64>()?;
    }
    Ok(total_ns / 1e6)
}

/// A field of `/proc/PID/status` in MB.
pub fn memory_mb(pid: u32, field: &str) -> Result<f64, BoxError> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find(|line| line.starts_with(field));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    let kb: f64 = kb.ok_or(format!("no {field} of process {pid}"))?.parse()?;
    Ok(kb * 1024.0 / 1e6)
}

/// CPU time of each daemon in ms.
pub fn cpu_per_daemon(cluster: &Cluster) -> Result<Vec<f64>, BoxError> {
    let nodes = cluster.nodes.iter();
    nodes.map(|node| cpu_ms(node.process.id())).collect()
}

/// A field of `/proc/PID/status` for each daemon in MB.
pub fn memory_per_daemon(cluster: &Cluster, field: &str) -> Result<Vec<f64>, BoxError> {
    let nodes = cluster.nodes.iter();
    nodes
        .map(|node| memory_mb(node.process.id(), field))
        .collect()
}

pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Slope of the least-squares line of `y` over `x`; zero if all `x` are equal.
pub fn slope(x: &[f64], y: &[f64]) -> f64 {
    let (x_mean, y_mean) = (mean(x), mean(y));
    let xx_sum: f64 = x.iter().map(|x| (x - x_mean).powi(2)).sum();
    let xy_sum = x.iter().zip(y).map(|(x, y)| (x - x_mean) * (y - y_mean));
    if xx_sum == 0.0 {
        return 0.0;
    }
    xy_sum.sum::<f64>() / xx_sum
}

pub fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Peer traffic metrics, summed over all daemons and keyed by metric name with
/// labels.
pub fn traffic(cluster: &Cluster) -> Result<BTreeMap<String, f64>, BoxError> {
    let mut sums = BTreeMap::new();
    for node in &cluster.nodes {
        let metrics = call_text(node.addresses.operators, "/metrics", None)?;
        for line in metrics.lines() {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            if name.starts_with("jasminepond_peer_") {
                *sums.entry(name.to_owned()).or_default() += value.parse::<f64>()?;
            }
        }
    }
    Ok(sums)
}

/// Increase of one traffic metric.
pub fn increase(
    (before, after): (&BTreeMap<String, f64>, &BTreeMap<String, f64>),
    (metric, direction, kind): (&str, &str, &str),
) -> f64 {
    let name =
        format!("jasminepond_peer_{metric}_total{{direction=\"{direction}\",kind=\"{kind}\"}}");
    let value = |sums: &BTreeMap<String, f64>| sums.get(&name).copied().unwrap_or_default();
    value(after) - value(before)
}

/// Number of calls answered by the platform.
pub fn platform_calls(cluster: &Cluster) -> Result<f64, BoxError> {
    let counters = cluster.platform_counters()?;
    let count = |name: &str| counters[name].as_f64().unwrap_or_default();
    Ok(["tree", "watch", "files", "instances"]
        .map(count)
        .iter()
        .sum())
}

/// Time from publishing a revision until it was in effect on every daemon. Since it is
/// measured by polling, it is an upper bound with an error of up to one round.
pub struct Propagation {
    /// Upper bound for the last daemon in ms.
    pub last_ms: f64,
    /// Longest polling round in ms.
    pub round_ms: f64,
}

/// Polls `/status` until `revision` is in effect on all daemons.
///
/// # Errors
///
/// The revision is not in effect on all daemons within two minutes.
pub fn wait_for_revision(
    cluster: &Cluster,
    published: Instant,
    revision: u64,
) -> Result<Propagation, BoxError> {
    let mut pending: Vec<usize> = (0..cluster.nodes.len()).collect();
    let mut round_ms: f64 = 0.0;
    while !pending.is_empty() {
        let round = Instant::now();
        pending.retain(|&number| {
            let operators = cluster.nodes[number].addresses.operators;
            let status = call(operators, "/status", None).unwrap_or(Value::Null);
            status["config"]["revision"].as_u64() < Some(revision)
        });
        round_ms = round_ms.max(as_millis(round.elapsed() + POLL_INTERVAL));
        if published.elapsed() > PROPAGATION_TIMEOUT {
            return Err(format!(
                "revision {revision} did not take effect on {} daemons",
                pending.len()
            )
            .into());
        }
        if !pending.is_empty() {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
    Ok(Propagation {
        last_ms: as_millis(published.elapsed()),
        round_ms,
    })
}

pub fn as_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
