//! The report of a run.

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
    /// Arrivals per second asked for.
    pub rate: f64,
    /// Seconds in which reported requests arrived.
    pub duration_s: f64,
    /// Delay of the tool itself behind its schedule; a large one limits what the
    /// latencies say about the tier.
    pub schedule_lag_ms: Latency,
    /// Per class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Over all classes.
    pub total: ClassReport,
    /// Extra load on the backend servers; absent without their counters.
    pub extra_load: Option<ExtraLoad>,
    /// Search answers checked.
    pub checked: u64,
    /// Violations by kind, in answers.
    pub violations: BTreeMap<Violation, u64>,
    /// Executes that ran more often than their outcome allows, by fault.
    pub execute_violations: BTreeMap<String, u64>,
    /// Texts of the first violations.
    pub samples: Vec<String>,
    /// Processor time; the tool's own process is `self`.
    pub processes: BTreeMap<String, ProcessReport>,
}

/// Requests of one class.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ClassReport {
    /// Requests that arrived.
    pub requests: u64,
    /// Searches answered and executes done.
    pub answered: u64,
    /// Answers that arrived after the request's deadline.
    pub late: u64,
    /// Shards that answered divided by the shards of the answered searches.
    pub coverage: Option<f64>,
    /// The same, where a search without an answer counts with no shard answered.
    pub coverage_of_all: Option<f64>,
    /// Answered searches with every shard, as a share of the answered searches.
    pub complete_share: Option<f64>,
    /// Missing shards by reason.
    pub missing: BTreeMap<String, u64>,
    /// Refusals by error kind.
    pub refused: BTreeMap<String, u64>,
    /// Requests without a usable response, by what happened.
    pub failed: BTreeMap<String, u64>,
    /// Latency of answers, from the scheduled arrival.
    pub latency_ms: Latency,
    /// Latency of refusals, from the scheduled arrival.
    pub refusal_latency_ms: Latency,
}

/// Quantiles in ms.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Latency {
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90 of 100.
    pub p90: f64,
    /// 99 of 100.
    pub p99: f64,
    /// 999 of 1000.
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

/// Load on the backend servers, warm-up included.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ExtraLoad {
    /// Shards of the answered searches plus executes done.
    pub needed: u64,
    /// Sub-requests received divided by those needed.
    pub received_ratio: f64,
    /// Sub-requests run divided by those needed.
    pub executed_ratio: f64,
    /// Counters of the servers over the run.
    pub counters: Counters,
}

/// Processor time of one process over the run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ProcessReport {
    /// User and system time in ms.
    pub cpu_ms: u64,
    /// The same per sub-request received by the backend servers, in microseconds.
    pub us_per_sub_request: Option<f64>,
}
