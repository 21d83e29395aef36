//! Cost of an idle daemon by the number of daemons, with the configuration of the
//! foundry example.

use std::{
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use jasminepond_cluster::Cluster;
use serde_json::json;

use crate::{
    BoxError,
    measure::{
        as_millis, cpu_per_daemon, increase, load_average, max, mean, memory_per_daemon,
        platform_calls, slope, traffic, wait_for_revision,
    },
    options::Options,
    table::Row,
};

/// Interval between configuration changes at a rate of 7,600 per day.
const CHANGE_PERIOD: Duration = Duration::from_millis(11_400);

/// Time after joining until the membership views have converged.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Publishes a change of one small file and returns its revision.
fn publish_change(cluster: &Cluster, number: u64) -> Result<u64, BoxError> {
    let change = json!({"routing": {"hedge_quantile_percent": 90 + number % 5}});
    Ok(cluster.publish(&json!({ "98-scale.json": change }))?)
}

/// Measures a cluster of `daemons` daemons.
///
/// # Errors
///
/// A process cannot be started, or a change does not reach all daemons.
pub fn measure(options: &Options, programs: &Path, daemons: usize) -> Result<Row, BoxError> {
    let examples = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"));
    let scratch = options.scratch.join(format!("daemons-{daemons}"));
    let mut settings = jasminepond_cluster::Options::new(examples.join("foundry"), scratch);
    settings.programs = programs.to_owned();
    settings.daemons = daemons;
    settings.log_level = "warn".to_owned();
    let start = Instant::now();
    let cluster = Cluster::start(settings)?;
    let mut row = Row::default();
    row.add("daemons", daemons as f64);
    row.add("start until joined s", start.elapsed().as_secs_f64());
    row.add("load average", load_average()?);
    std::thread::sleep(SETTLE_TIME);
    measure_idle(options, &cluster, &mut row)?;
    measure_changes(options, &cluster, &mut row)?;
    measure_propagation(&cluster, &mut row)?;
    row.add("links mean", mean(&link_counts(&cluster)?));
    row.add(
        "memory mean MB",
        mean(&memory_per_daemon(&cluster, "VmRSS:")?),
    );
    row.add(
        "memory greatest MB",
        max(&memory_per_daemon(&cluster, "VmRSS:")?),
    );
    row.add(
        "own memory mean MB",
        mean(&memory_per_daemon(&cluster, "RssAnon:")?),
    );
    row.add("load average at the end", load_average()?);
    Ok(row)
}

/// Number of open links of each daemon to others.
fn link_counts(cluster: &Cluster) -> Result<Vec<f64>, BoxError> {
    let count = |number| {
        let status = cluster.status(number)?;
        Ok(status["links"].as_array().map_or(0, Vec::len) as f64)
    };
    (0..cluster.nodes.len()).map(count).collect()
}

/// Names of the figures measured over a period.
struct FigureNames {
    cpu: &'static str,
    cpu_greatest: &'static str,
    platform_calls: &'static str,
    sent: [(&'static str, &'static str, &'static str); 5],
}

const QUIET: FigureNames = FigureNames {
    cpu: "quiet: cpu us/s",
    cpu_greatest: "quiet: cpu us/s greatest",
    platform_calls: "quiet: platform calls/s, all daemons",
    sent: [
        ("quiet: membership B/s", "bytes", "membership"),
        ("quiet: membership messages/s", "messages", "membership"),
        ("quiet: sync B/s", "bytes", "sync"),
        ("quiet: sync messages/s", "messages", "sync"),
        ("quiet: link B/s", "bytes", "link"),
    ],
};

const CHANGING: FigureNames = FigureNames {
    cpu: "changes: cpu us/s",
    cpu_greatest: "changes: cpu us/s greatest",
    platform_calls: "changes: platform calls/s, all daemons",
    sent: [
        ("changes: membership B/s", "bytes", "membership"),
        ("changes: membership messages/s", "messages", "membership"),
        ("changes: sync B/s", "bytes", "sync"),
        ("changes: sync messages/s", "messages", "sync"),
        ("changes: link B/s", "bytes", "link"),
    ],
};

fn measure_idle(options: &Options, cluster: &Cluster, row: &mut Row) -> Result<(), BoxError> {
    let before = link_counts(cluster)?;
    let cpu = measure_period(cluster, row, &QUIET, || {
        std::thread::sleep(Duration::from_secs(options.seconds));
        Ok(())
    })?;
    let after = link_counts(cluster)?;
    let mean_links = before.iter().zip(&after).map(|(a, b)| (a + b) / 2.0);
    let mean_links: Vec<f64> = mean_links.collect();
    row.add("quiet: links", mean(&mean_links));
    row.add("quiet: cpu us/s per link", slope(&mean_links, &cpu));
    Ok(())
}

fn measure_changes(options: &Options, cluster: &Cluster, row: &mut Row) -> Result<(), BoxError> {
    measure_period(cluster, row, &CHANGING, || {
        for number in 0..options.changes {
            publish_change(cluster, number)?;
            std::thread::sleep(CHANGE_PERIOD);
        }
        Ok(())
    })
    .map(drop)
}

/// Measures the cost of the daemons during `run`. Figures are per daemon and second,
/// except platform calls, which are summed over all daemons. Traffic counts only what
/// was sent. Returns the CPU time of each daemon in us per second.
fn measure_period(
    cluster: &Cluster,
    row: &mut Row,
    names: &FigureNames,
    run: impl FnOnce() -> Result<(), BoxError>,
) -> Result<Vec<f64>, BoxError> {
    let traffic_before = traffic(cluster)?;
    let calls_before = platform_calls(cluster)?;
    let (start, cpu_before) = (Instant::now(), cpu_per_daemon(cluster)?);
    run()?;
    let (seconds, cpu_after) = (start.elapsed().as_secs_f64(), cpu_per_daemon(cluster)?);
    let calls_after = platform_calls(cluster)?;
    let traffic_after = traffic(cluster)?;
    let cpu: Vec<f64> = cpu_after
        .iter()
        .zip(&cpu_before)
        .map(|(after, before)| (after - before) * 1e3 / seconds)
        .collect();
    row.add(names.cpu, mean(&cpu));
    row.add(names.cpu_greatest, max(&cpu));
    row.add(names.platform_calls, (calls_after - calls_before) / seconds);
    for (name, metric, kind) in names.sent {
        let all = increase((&traffic_before, &traffic_after), (metric, "sent", kind));
        row.add(name, all / seconds / cluster.nodes.len() as f64);
    }
    Ok(cpu)
}

fn measure_propagation(cluster: &Cluster, row: &mut Row) -> Result<(), BoxError> {
    let published = Instant::now();
    let revision = publish_change(cluster, 3)?;
    let one = wait_for_revision(cluster, published, revision)?;
    row.add("one change: last daemon within ms", one.last_ms);
    row.add("one change: polling round ms", one.round_ms);
    let published = Instant::now();
    publish_change(cluster, 1)?;
    let answered = published.elapsed();
    let revision = publish_change(cluster, 2)?;
    let two = wait_for_revision(cluster, published, revision)?;
    row.add("two changes: apart ms", as_millis(answered));
    row.add("two changes: last daemon within ms", two.last_ms);
    row.add("two changes: polling round ms", two.round_ms);
    Ok(())
}
