//! Cost by the number of daemons, with the configuration of the foundry.

use std::{
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use jasminepond_cluster::Cluster;
use serde_json::json;

use crate::{
    Failed,
    measure::{
        cpu_of_all, greatest, increase, load_average, mean, memory_of_all, millis, reads, slope,
        traffic, wait_for_revision,
    },
    options::Options,
    table::Row,
};

/// Time between two changes at 7,600 a day.
const CHANGE_PERIOD: Duration = Duration::from_millis(11_400);

/// Time after joining until the exchange of views has ended.
const SETTLE: Duration = Duration::from_secs(8);

/// A change of one small file.
fn publish_change(cluster: &Cluster, number: u64) -> Result<u64, Failed> {
    let change = json!({"routing": {"hedge_quantile_percent": 90 + number % 5}});
    Ok(cluster.publish(&json!({ "98-scale.json": change }))?)
}

/// Measures a cluster of `daemons` daemons.
///
/// # Errors
///
/// A process cannot be started, or a change does not reach all daemons.
pub fn measure(options: &Options, programs: &Path, daemons: usize) -> Result<Row, Failed> {
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
    std::thread::sleep(SETTLE);
    quiet(options, &cluster, &mut row)?;
    changing(options, &cluster, &mut row)?;
    spread(&cluster, &mut row)?;
    row.add("links mean", mean(&links(&cluster)?));
    row.add("memory mean MB", mean(&memory_of_all(&cluster, "VmRSS:")?));
    row.add(
        "memory greatest MB",
        greatest(&memory_of_all(&cluster, "VmRSS:")?),
    );
    row.add(
        "own memory mean MB",
        mean(&memory_of_all(&cluster, "RssAnon:")?),
    );
    row.add("load average at the end", load_average()?);
    Ok(row)
}

/// Open links of each daemon to others.
fn links(cluster: &Cluster) -> Result<Vec<f64>, Failed> {
    let count = |number| {
        let status = cluster.status(number)?;
        Ok(status["links"].as_array().map_or(0, Vec::len) as f64)
    };
    (0..cluster.nodes.len()).map(count).collect()
}

/// Names of the figures of a period.
struct Names {
    cpu: &'static str,
    cpu_greatest: &'static str,
    reads: &'static str,
    sent: [(&'static str, &'static str, &'static str); 5],
}

const QUIET: Names = Names {
    cpu: "quiet: cpu us/s",
    cpu_greatest: "quiet: cpu us/s greatest",
    reads: "quiet: platform calls/s, all daemons",
    sent: [
        ("quiet: membership B/s", "bytes", "membership"),
        ("quiet: membership messages/s", "messages", "membership"),
        ("quiet: sync B/s", "bytes", "sync"),
        ("quiet: sync messages/s", "messages", "sync"),
        ("quiet: link B/s", "bytes", "link"),
    ],
};

const CHANGING: Names = Names {
    cpu: "changes: cpu us/s",
    cpu_greatest: "changes: cpu us/s greatest",
    reads: "changes: platform calls/s, all daemons",
    sent: [
        ("changes: membership B/s", "bytes", "membership"),
        ("changes: membership messages/s", "messages", "membership"),
        ("changes: sync B/s", "bytes", "sync"),
        ("changes: sync messages/s", "messages", "sync"),
        ("changes: link B/s", "bytes", "link"),
    ],
};

fn quiet(options: &Options, cluster: &Cluster, row: &mut Row) -> Result<(), Failed> {
    let before = links(cluster)?;
    let cpu = period(cluster, row, &QUIET, || {
        std::thread::sleep(Duration::from_secs(options.seconds));
        Ok(())
    })?;
    let after = links(cluster)?;
    let between = before.iter().zip(&after).map(|(a, b)| (a + b) / 2.0);
    let between: Vec<f64> = between.collect();
    row.add("quiet: links", mean(&between));
    row.add("quiet: cpu us/s per link", slope(&between, &cpu));
    Ok(())
}

fn changing(options: &Options, cluster: &Cluster, row: &mut Row) -> Result<(), Failed> {
    period(cluster, row, &CHANGING, || {
        for number in 0..options.changes {
            publish_change(cluster, number)?;
            std::thread::sleep(CHANGE_PERIOD);
        }
        Ok(())
    })
    .map(drop)
}

/// Reads everything before and after `run`; figures are per daemon and second,
/// bytes and messages are those sent. Returns the processor time of each daemon
/// in us per second.
fn period(
    cluster: &Cluster,
    row: &mut Row,
    names: &Names,
    run: impl FnOnce() -> Result<(), Failed>,
) -> Result<Vec<f64>, Failed> {
    let traffic_before = traffic(cluster)?;
    let reads_before = reads(cluster)?;
    let (start, cpu_before) = (Instant::now(), cpu_of_all(cluster)?);
    run()?;
    let (seconds, cpu_after) = (start.elapsed().as_secs_f64(), cpu_of_all(cluster)?);
    let reads_after = reads(cluster)?;
    let traffic_after = traffic(cluster)?;
    let cpu: Vec<f64> = cpu_after
        .iter()
        .zip(&cpu_before)
        .map(|(after, before)| (after - before) * 1e3 / seconds)
        .collect();
    row.add(names.cpu, mean(&cpu));
    row.add(names.cpu_greatest, greatest(&cpu));
    row.add(names.reads, (reads_after - reads_before) / seconds);
    for (name, metric, kind) in names.sent {
        let all = increase((&traffic_before, &traffic_after), (metric, "sent", kind));
        row.add(name, all / seconds / cluster.nodes.len() as f64);
    }
    Ok(cpu)
}

fn spread(cluster: &Cluster, row: &mut Row) -> Result<(), Failed> {
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
    row.add("two changes: apart ms", millis(answered));
    row.add("two changes: last daemon within ms", two.last_ms);
    row.add("two changes: polling round ms", two.round_ms);
    Ok(())
}
