//! Request statistics of a run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;

use crate::{
    Violation,
    report::{ClassReport, Latency},
};

/// Upper bound of the latency histograms; larger values are recorded as this one.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Precision of the latency histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum number of violations reported with their details.
const MAX_SAMPLES: usize = 10;

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Outcome {
    Search(SearchOutcome),
    /// The execute request with this key completed.
    Done {
        key: String,
    },
    /// The request was rejected with an error response.
    Refused {
        kind: String,
        not_run: bool,
        key: Option<String>,
    },
    /// There was no usable response.
    Failed {
        reason: &'static str,
        key: Option<String>,
    },
}

#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct SearchOutcome {
    pub shards: u64,
    pub answered: u64,
    pub missing: Vec<String>,
    pub violations: Vec<Violation>,
    pub sample: Option<String>,
}

/// A completed request and its outcome.
#[derive(Debug)]
pub(crate) struct CompletedRequest<'a> {
    pub class: &'a str,
    pub is_search: bool,
    /// Number of shards of the group, by which a search without an answer counts
    /// towards `coverage_of_all`; 0 if unknown.
    pub group_shards: u64,
    pub latency: Duration,
    pub deadline: Duration,
    pub warmup: bool,
    pub outcome: Outcome,
}

#[derive(Debug)]
pub(crate) struct ClassStats {
    report: ClassReport,
    answered_us: Histogram<u64>,
    refused_us: Histogram<u64>,
    searches_answered: u64,
    searches_complete: u64,
    shards: u64,
    shards_answered: u64,
    shards_of_all: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Stats {
    pub classes: BTreeMap<String, ClassStats>,
    pub total: ClassStats,
    /// Minimum number of sub-requests for the answered requests, including those of
    /// the warm-up.
    pub needed: u64,
    pub checked: u64,
    pub violations: BTreeMap<Violation, u64>,
    pub samples: Vec<String>,
    /// Keys of execute requests with the minimum and maximum number of executions that
    /// the outcome allows.
    pub keys: Vec<(String, u64, u64)>,
}

impl Default for ClassStats {
    fn default() -> Self {
        Self {
            report: ClassReport::default(),
            answered_us: new_histogram(),
            refused_us: new_histogram(),
            searches_answered: 0,
            searches_complete: 0,
            shards: 0,
            shards_answered: 0,
            shards_of_all: 0,
        }
    }
}

/// Creates an empty histogram of latencies in microseconds.
pub(crate) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("bounds are valid")
}

impl Stats {
    pub fn add(&mut self, request: &CompletedRequest<'_>) {
        self.add_needed(&request.outcome);
        self.add_key(&request.outcome);
        if let Outcome::Search(search) = &request.outcome {
            self.add_check_results(search);
        }
        if request.warmup {
            return;
        }
        self.total.add(request);
        match self.classes.get_mut(request.class) {
            Some(class) => class.add(request),
            None => {
                let mut class = ClassStats::default();
                class.add(request);
                self.classes.insert(request.class.to_string(), class);
            }
        }
    }

    fn add_needed(&mut self, outcome: &Outcome) {
        self.needed += match outcome {
            Outcome::Search(search) => search.shards,
            Outcome::Done { .. } => 1,
            Outcome::Refused { .. } | Outcome::Failed { .. } => 0,
        };
    }

    fn add_key(&mut self, outcome: &Outcome) {
        let (key, min_executions, max_executions) = match outcome {
            Outcome::Done { key } => (key, 1, 1),
            Outcome::Refused {
                not_run: true,
                key: Some(key),
                ..
            } => (key, 0, 0),
            Outcome::Refused { key: Some(key), .. } | Outcome::Failed { key: Some(key), .. } => {
                (key, 0, 1)
            }
            _ => return,
        };
        self.keys
            .push((key.clone(), min_executions, max_executions));
    }

    fn add_check_results(&mut self, search: &SearchOutcome) {
        self.checked += 1;
        for violation in &search.violations {
            *self.violations.entry(*violation).or_default() += 1;
        }
        if let Some(sample) = &search.sample {
            self.add_sample(sample.clone());
        }
    }

    pub fn add_sample(&mut self, sample: String) {
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(sample);
        }
    }

    /// Adds the statistics of another thread.
    pub fn merge(&mut self, other: Self) {
        self.total.merge(&other.total);
        for (name, class) in other.classes {
            self.classes.entry(name).or_default().merge(&class);
        }
        self.needed += other.needed;
        self.checked += other.checked;
        for (violation, n) in other.violations {
            *self.violations.entry(violation).or_default() += n;
        }
        for sample in other.samples {
            self.add_sample(sample);
        }
        self.keys.extend(other.keys);
    }

    /// Compares the outcomes of the execute requests with the executions counted by
    /// the backend servers, and returns the number of violations by kind.
    pub fn check_executions(
        &mut self,
        executions: &BTreeMap<String, u64>,
    ) -> BTreeMap<String, u64> {
        let keys = std::mem::take(&mut self.keys);
        let mut violations = BTreeMap::<String, u64>::new();
        let mut add = |violation: &str, key: &str, n: u64| {
            *violations.entry(violation.to_string()).or_default() += 1;
            self.add_sample(format!("{violation}: key {key}, executions {n}"));
        };
        // Includes abandoned requests, whose keys are not in `keys`.
        for (key, n) in executions.iter().filter(|(_, n)| **n > 1) {
            add("ran_more_than_once", key, *n);
        }
        for (key, min_executions, max_executions) in keys {
            let n = executions.get(&key).copied().unwrap_or(0);
            match (n, min_executions, max_executions) {
                (1, _, 0) => add("refused_as_not_run_but_ran", &key, n),
                (0, 1, _) => add("done_but_did_not_run", &key, n),
                _ => {}
            }
        }
        violations
    }
}

impl ClassStats {
    fn add(&mut self, request: &CompletedRequest<'_>) {
        let latency_us = request.latency.as_micros() as u64;
        self.report.requests += 1;
        if request.is_search {
            self.shards_of_all += request.group_shards;
        }
        match &request.outcome {
            Outcome::Search(search) => self.add_search(search, request.group_shards),
            Outcome::Done { .. } => {}
            Outcome::Refused { kind, .. } => {
                *self.report.refused.entry(kind.clone()).or_default() += 1;
                self.refused_us.saturating_record(latency_us);
                return;
            }
            Outcome::Failed { reason, .. } => {
                *self.report.failed.entry(reason.to_string()).or_default() += 1;
                return;
            }
        }
        self.report.answered += 1;
        self.answered_us.saturating_record(latency_us);
        if request.latency > request.deadline {
            self.report.late += 1;
        }
    }

    fn add_search(&mut self, search: &SearchOutcome, group_shards: u64) {
        self.searches_answered += 1;
        self.shards += search.shards;
        self.shards_answered += search.answered;
        if group_shards == 0 {
            // Without a shard map, the shard count of the answer is used.
            self.shards_of_all += search.shards;
        }
        if search.answered == search.shards {
            self.searches_complete += 1;
        }
        for reason in &search.missing {
            *self.report.missing.entry(reason.clone()).or_default() += 1;
        }
    }

    fn merge(&mut self, other: &Self) {
        self.report.requests += other.report.requests;
        self.report.answered += other.report.answered;
        self.report.late += other.report.late;
        add_counts(&mut self.report.missing, &other.report.missing);
        add_counts(&mut self.report.refused, &other.report.refused);
        add_counts(&mut self.report.failed, &other.report.failed);
        for (counts, other_counts) in [
            (&mut self.answered_us, &other.answered_us),
            (&mut self.refused_us, &other.refused_us),
        ] {
            counts.add(other_counts).expect("the bounds are equal");
        }
        self.searches_answered += other.searches_answered;
        self.searches_complete += other.searches_complete;
        self.shards += other.shards;
        self.shards_answered += other.shards_answered;
        self.shards_of_all += other.shards_of_all;
    }

    pub fn report(&self) -> ClassReport {
        let ratio = |part: u64, whole: u64| (whole > 0).then(|| part as f64 / whole as f64);
        ClassReport {
            coverage: ratio(self.shards_answered, self.shards),
            coverage_of_all: ratio(self.shards_answered, self.shards_of_all),
            complete_share: ratio(self.searches_complete, self.searches_answered),
            latency_ms: Latency::new(&self.answered_us),
            refusal_latency_ms: Latency::new(&self.refused_us),
            ..self.report.clone()
        }
    }
}

fn add_counts(counts: &mut BTreeMap<String, u64>, other: &BTreeMap<String, u64>) {
    for (kind, n) in other {
        *counts.entry(kind.clone()).or_default() += n;
    }
}
