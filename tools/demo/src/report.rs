//! The outcome of the demo: checks of the guarantees and the printed report.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use serde_json::Value;

use crate::clients::ClientResults;

/// Maximum time until a new configuration is in effect on all daemons.
const MAX_CONFIG_DELAY: Duration = Duration::from_secs(3);

/// The configuration change.
#[derive(Debug)]
pub struct Reconfigured {
    /// Published revision.
    pub revision: u64,
    /// Time until it was in effect on all daemons.
    pub delay: Duration,
}

/// The daemon that was stopped.
#[derive(Debug)]
pub struct Stopped {
    /// Instance of the daemon.
    pub instance: String,
    /// Whether it exited with code 0.
    pub clean: bool,
}

/// Outcome of the demo.
#[derive(Debug)]
pub struct Outcome {
    /// Results of the clients.
    pub results: ClientResults,
    /// The configuration change.
    pub reconfigured: Reconfigured,
    /// The daemon that was stopped.
    pub stopped: Stopped,
    /// Configuration revision of each running daemon.
    pub revisions: BTreeMap<String, u64>,
    /// Executions per key, as counted by the backend servers.
    pub executions: Value,
    /// Counters of the backend servers.
    pub backend: Value,
}

impl Outcome {
    fn execution_count(&self, key: &str) -> u64 {
        self.executions["all"][key].as_u64().unwrap_or_default()
    }

    /// Returns the violated guarantees.
    pub fn violations(&self) -> Vec<String> {
        let results = &self.results;
        let mut violations = Vec::new();
        violations.extend(
            results
                .violations
                .iter()
                .map(|message| format!("answer: {message}")),
        );
        violations.extend(
            results
                .failed
                .iter()
                .map(|failure| format!("request failed: {failure}")),
        );
        for (key, times) in self.executions["repeated"]
            .as_object()
            .into_iter()
            .flatten()
        {
            violations.push(format!("key {key} was executed {times} times"));
        }
        for key in &results.not_run_keys {
            if self.execution_count(key) > 0 {
                violations.push(format!(
                    "key {key} was rejected as not run but was executed"
                ));
            }
        }
        for key in &results.done_keys {
            if self.execution_count(key) != 1 {
                violations.push(format!(
                    "key {key} was reported as done but was not executed exactly once"
                ));
            }
        }
        if self
            .revisions
            .values()
            .any(|revision| *revision != self.reconfigured.revision)
        {
            violations.push(format!("revisions differ: {:?}", self.revisions));
        }
        if self.reconfigured.delay > MAX_CONFIG_DELAY {
            violations.push(format!(
                "the configuration took {:?} to take effect on all daemons",
                self.reconfigured.delay
            ));
        }
        if !self.stopped.clean {
            violations.push(format!(
                "{} did not exit with code 0",
                self.stopped.instance
            ));
        }
        if results.answered == 0 || results.done == 0 {
            violations
                .push("no search was answered or no non-idempotent request completed".to_owned());
        }
        violations
    }
}

/// Formats latency quantiles.
fn format_latency(histogram: &Histogram<u64>) -> String {
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
            format_latency(&results.search_latency)
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
            format_latency(&results.execute_latency)
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
        let violations = self.violations();
        if violations.is_empty() {
            return writeln!(f, "every promise held");
        }
        for violation in violations {
            writeln!(f, "BROKEN: {violation}")?;
        }
        Ok(())
    }
}
