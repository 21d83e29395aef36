//! The report of a run and its JSON format.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use standin_backend::Counters;

use crate::Violation;

/// Report of a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// `tier` or `direct`.
    pub mode: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Requested arrivals per second.
    pub rate: f64,
    /// Duration of the measured part in seconds.
    pub duration_s: f64,
    /// Delay of the load generator behind its arrival schedule. Latencies include it,
    /// so with a large delay they say little about the tier.
    pub schedule_lag_ms: Latency,
    /// Results by class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Results over all classes.
    pub total: ClassReport,
    /// Extra load on the backend servers; absent if their counters are not available.
    pub extra_load: Option<ExtraLoad>,
    /// Number of search answers checked.
    pub checked: u64,
    /// Number of answers with each kind of violation.
    pub violations: BTreeMap<Violation, u64>,
    /// Execute requests whose number of executions contradicts their outcome, by kind
    /// of violation.
    pub execute_violations: BTreeMap<String, u64>,
    /// Details of the first violations.
    pub samples: Vec<String>,
    /// CPU time by process id; the load generator itself is `self`.
    pub processes: BTreeMap<String, ProcessReport>,
}

/// Results of the requests of one class.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ClassReport {
    /// Requests that arrived.
    pub requests: u64,
    /// Answered searches and completed execute requests.
    pub answered: u64,
    /// Answers received after the deadline of the request.
    pub late: u64,
    /// Shards that answered divided by the shards of the answered searches.
    pub coverage: Option<f64>,
    /// Like `coverage`, but including searches without an answer, with no shard
    /// answered.
    pub coverage_of_all: Option<f64>,
    /// Share of the answered searches in which every shard answered.
    pub complete_share: Option<f64>,
    /// Missing shards by reason.
    pub missing: BTreeMap<String, u64>,
    /// Rejected requests by error kind.
    pub refused: BTreeMap<String, u64>,
    /// Requests without a usable response, by cause.
    pub failed: BTreeMap<String, u64>,
    /// Latency of answers, measured from the scheduled arrival.
    pub latency_ms: Latency,
    /// Latency of rejections, measured from the scheduled arrival.
    pub refusal_latency_ms: Latency,
}

/// Latency quantiles in ms.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Latency {
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

impl Latency {
    pub(crate) fn new(histogram: &Histogram<u64>) -> Self {
        if histogram.is_empty() {
            return Self::default();
        }
        let ms = |us: u64| us as f64 / 1e3;
        let quantile = |q| ms(histogram.value_at_quantile(q));
        Self {
            mean: histogram.mean() / 1e3,
            p50: quantile(0.5),
            p90: quantile(0.9),
            p99: quantile(0.99),
            p999: quantile(0.999),
            max: ms(histogram.max()),
        }
    }
}

/// Load on the backend servers, including the warm-up.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ExtraLoad {
    /// Sub-requests needed: shards of the answered searches plus completed execute
    /// requests.
    pub needed: u64,
    /// Sub-requests received divided by those needed.
    pub received_ratio: f64,
    /// Sub-requests executed divided by those needed.
    pub executed_ratio: f64,
    /// Increase of the backend servers' counters during the run.
    pub counters: Counters,
}

/// CPU time of one process during the run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ProcessReport {
    /// User and system time in ms.
    pub cpu_ms: u64,
    /// CPU time per sub-request received by the backend servers, in microseconds.
    pub us_per_sub_request: Option<f64>,
}
