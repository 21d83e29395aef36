//! What the demo found.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use serde_json::Value;

use crate::clients::Results;

/// Time within which a configuration is in effect on all daemons.
const CONFIG_LIMIT: Duration = Duration::from_secs(3);

/// The configuration change.
#[derive(Debug)]
pub struct Reconfigured {
    /// Its revision.
    pub revision: u64,
    /// Time until all daemons had it.
    pub took: Duration,
}

/// The daemon that was stopped.
#[derive(Debug)]
pub struct Stopped {
    /// Its instance.
    pub instance: String,
    /// Whether it ended with exit code 0.
    pub clean: bool,
}

/// What the demo found.
#[derive(Debug)]
pub struct Outcome {
    /// What the clients saw.
    pub results: Results,
    /// The configuration change.
    pub reconfigured: Reconfigured,
    /// The daemon that was stopped.
    pub stopped: Stopped,
    /// Configuration revision of each running daemon.
    pub revisions: BTreeMap<String, u64>,
    /// Executions per key as the backend servers counted them.
    pub executions: Value,
    /// Counters of the backend servers.
    pub backend: Value,
}

impl Outcome {
    fn executions_of(&self, key: &str) -> u64 {
        self.executions["all"][key].as_u64().unwrap_or_default()
    }

    /// The promises that were broken.
    pub fn broken(&self) -> Vec<String> {
        let results = &self.results;
        let mut broken = Vec::new();
        broken.extend(results.wrong.iter().map(|wrong| format!("answer: {wrong}")));
        broken.extend(results.cut.iter().map(|cut| format!("request cut: {cut}")));
        for (key, times) in self.executions["repeated"]
            .as_object()
            .into_iter()
            .flatten()
        {
            broken.push(format!("key {key} was executed {times} times"));
        }
        for key in &results.not_run_keys {
            if self.executions_of(key) > 0 {
                broken.push(format!("key {key} was refused as not run and was executed"));
            }
        }
        for key in &results.done_keys {
            if self.executions_of(key) != 1 {
                broken.push(format!("key {key} is done but was not executed"));
            }
        }
        if self
            .revisions
            .values()
            .any(|revision| *revision != self.reconfigured.revision)
        {
            broken.push(format!("revisions differ: {:?}", self.revisions));
        }
        if self.reconfigured.took > CONFIG_LIMIT {
            broken.push(format!(
                "the configuration took {:?}",
                self.reconfigured.took
            ));
        }
        if !self.stopped.clean {
            broken.push(format!("{} did not stop cleanly", self.stopped.instance));
        }
        if results.answered == 0 || results.done == 0 {
            broken.push("no request was answered".to_owned());
        }
        broken
    }
}

/// Quantiles in milliseconds.
fn latency(histogram: &Histogram<u64>) -> String {
    let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    format!(
        "p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        ms(0.5),
        ms(0.99),
        ms(1.0)
    )
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let results = &self.results;
        writeln!(
            f,
            "searches: {} answered, {}",
            results.answered,
            latency(&results.search_latency)
        )?;
        let (asked, answered) = results.shards;
        let share = 100.0 * answered as f64 / asked.max(1) as f64;
        writeln!(
            f,
            "coverage: {} of {} searches complete, {share:.3}% of shards answered",
            results.complete, results.answered
        )?;
        let total = &self.backend["total"];
        writeln!(f, "backend servers: {total}")?;
        writeln!(
            f,
            "non-idempotent requests: {} done, {} unknown, {}",
            results.done,
            results.unknown,
            latency(&results.execute_latency)
        )?;
        writeln!(
            f,
            "executions: {} for {} keys, each key sent to two daemons",
            self.executions["executions"], self.executions["keys"]
        )?;
        writeln!(f, "refused with a time to come back: {}", results.refused)?;
        writeln!(f, "configuration revisions:")?;
        for (instance, revision) in &self.revisions {
            writeln!(f, "  {instance}: {revision}")?;
        }
        let broken = self.broken();
        if broken.is_empty() {
            return writeln!(f, "every promise held");
        }
        for promise in broken {
            writeln!(f, "BROKEN: {promise}")?;
        }
        Ok(())
    }
}
