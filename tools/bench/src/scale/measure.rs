//! Readings of processes, counters and revisions.

use std::{
    collections::BTreeMap,
    fs,
    time::{Duration, Instant},
};

use jasminepond_cluster::{Cluster, call, call_text};
use serde_json::Value;

use crate::Failed;

/// Longest wait until all daemons have a change.
const CHANGE_LIMIT: Duration = Duration::from_secs(120);

/// Pause between two rounds of polling.
const POLL_PAUSE: Duration = Duration::from_millis(5);

/// Load average of the machine over the last minute.
pub fn load_average() -> Result<f64, Failed> {
    let text = fs::read_to_string("/proc/loadavg")?;
    let first = text.split_whitespace().next().unwrap_or_default();
    Ok(first.parse()?)
}

/// Processor time of all threads of a process, from `schedstat`, in ms.
///
/// # Errors
///
/// The process has ended.
pub fn cpu_ms(pid: u32) -> Result<f64, Failed> {
    let mut total_ns = 0.0;
    for thread in fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = fs::read_to_string(thread?.path().join("schedstat"))?;
        let running = text.split_whitespace().next().unwrap_or_default();
        total_ns += running.parse::<f64>()?;
    }
    Ok(total_ns / 1e6)
}

/// A field of `/proc/PID/status` in MB.
pub fn memory_mb(pid: u32, field: &str) -> Result<f64, Failed> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find(|line| line.starts_with(field));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    let kb: f64 = kb.ok_or(format!("no {field} of process {pid}"))?.parse()?;
    Ok(kb * 1024.0 / 1e6)
}

/// Processor time of all daemons in ms.
pub fn cpu_of_all(cluster: &Cluster) -> Result<Vec<f64>, Failed> {
    let nodes = cluster.nodes.iter();
    nodes.map(|node| cpu_ms(node.process.id())).collect()
}

/// A memory field of all daemons.
pub fn memory_of_all(cluster: &Cluster, field: &str) -> Result<Vec<f64>, Failed> {
    let nodes = cluster.nodes.iter();
    nodes
        .map(|node| memory_mb(node.process.id(), field))
        .collect()
}

/// Mean.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Slope of the least squares line of `y` over `x`; zero if all `x` are equal.
pub fn slope(x: &[f64], y: &[f64]) -> f64 {
    let (x_mean, y_mean) = (mean(x), mean(y));
    let spread: f64 = x.iter().map(|x| (x - x_mean).powi(2)).sum();
    let products = x.iter().zip(y).map(|(x, y)| (x - x_mean) * (y - y_mean));
    if spread == 0.0 {
        return 0.0;
    }
    products.sum::<f64>() / spread
}

/// Greatest value.
pub fn greatest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Messages and bytes between daemons, summed over all daemons, by the name of
/// the metric with its labels.
pub fn traffic(cluster: &Cluster) -> Result<BTreeMap<String, f64>, Failed> {
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

/// The increase of one traffic metric.
pub fn increase(
    (before, after): (&BTreeMap<String, f64>, &BTreeMap<String, f64>),
    (metric, direction, kind): (&str, &str, &str),
) -> f64 {
    let name =
        format!("jasminepond_peer_{metric}_total{{direction=\"{direction}\",kind=\"{kind}\"}}");
    let value = |sums: &BTreeMap<String, f64>| sums.get(&name).copied().unwrap_or_default();
    value(after) - value(before)
}

/// Calls that the platform has answered.
pub fn reads(cluster: &Cluster) -> Result<f64, Failed> {
    let counters = cluster.platform_counters()?;
    let count = |name: &str| counters[name].as_f64().unwrap_or_default();
    Ok(["tree", "watch", "files", "instances"]
        .map(count)
        .iter()
        .sum())
}

/// Time from `published` until the last daemon had the revision in effect: an
/// upper bound, with the duration of the longest round of polling.
pub struct Spread {
    /// Upper bound in ms.
    pub last_ms: f64,
    /// Longest round of polling in ms.
    pub round_ms: f64,
}

/// Polls `/status` until all daemons have `revision` in effect.
///
/// # Errors
///
/// They do not within two minutes.
pub fn wait_for_revision(
    cluster: &Cluster,
    published: Instant,
    revision: u64,
) -> Result<Spread, Failed> {
    let mut behind: Vec<usize> = (0..cluster.nodes.len()).collect();
    let mut round_ms: f64 = 0.0;
    while !behind.is_empty() {
        let round = Instant::now();
        behind.retain(|&number| {
            let operators = cluster.nodes[number].addresses.operators;
            let status = call(operators, "/status", None).unwrap_or(Value::Null);
            status["config"]["revision"].as_u64() < Some(revision)
        });
        round_ms = round_ms.max(millis(round.elapsed() + POLL_PAUSE));
        if published.elapsed() > CHANGE_LIMIT {
            return Err(format!("{} daemons did not get revision {revision}", behind.len()).into());
        }
        if !behind.is_empty() {
            std::thread::sleep(POLL_PAUSE);
        }
    }
    Ok(Spread {
        last_ms: millis(published.elapsed()),
        round_ms,
    })
}

/// A duration in ms.
pub fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
