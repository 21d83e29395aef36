//! What happened to each request, summed up.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;

use crate::{
    Violation,
    report::{ClassReport, Latency},
};

/// Largest latency that the histograms tell apart.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Violations kept as text.
const MAX_SAMPLES: usize = 10;

/// What became of a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Outcome {
    Search(SearchOutcome),
    /// The execute with this key is done.
    Done {
        key: String,
    },
    /// An error response of the tier.
    Refused {
        kind: String,
        not_run: bool,
        key: Option<String>,
    },
    /// No usable response.
    Failed {
        what: &'static str,
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

/// A request with its outcome.
#[derive(Debug)]
pub(crate) struct Finished<'a> {
    pub class: &'a str,
    pub is_search: bool,
    /// Shards of the group, to weigh a search without an answer.
    pub group_shards: u64,
    pub latency: Duration,
    pub deadline: Duration,
    pub warmup: bool,
    pub outcome: Outcome,
}

#[derive(Debug)]
pub(crate) struct ClassTally {
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
pub(crate) struct Tally {
    pub classes: BTreeMap<String, ClassTally>,
    pub total: ClassTally,
    /// Sub-requests needed for what was answered, warm-up included.
    pub needed: u64,
    pub checked: u64,
    pub violations: BTreeMap<Violation, u64>,
    pub samples: Vec<String>,
    /// Execute keys with the bounds on their number of executions.
    pub keys: Vec<(String, u64, u64)>,
}

impl Default for ClassTally {
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

/// An empty histogram of microseconds.
pub(crate) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS).expect("bounds are valid")
}

impl Tally {
    pub fn add(&mut self, finished: &Finished<'_>) {
        self.add_load(&finished.outcome);
        self.add_key(&finished.outcome);
        if let Outcome::Search(search) = &finished.outcome {
            self.add_checks(search);
        }
        if finished.warmup {
            return;
        }
        self.total.add(finished);
        match self.classes.get_mut(finished.class) {
            Some(class) => class.add(finished),
            None => {
                let mut class = ClassTally::default();
                class.add(finished);
                self.classes.insert(finished.class.to_string(), class);
            }
        }
    }

    fn add_load(&mut self, outcome: &Outcome) {
        self.needed += match outcome {
            Outcome::Search(search) => search.shards,
            Outcome::Done { .. } => 1,
            Outcome::Refused { .. } | Outcome::Failed { .. } => 0,
        };
    }

    fn add_key(&mut self, outcome: &Outcome) {
        let (key, least, most) = match outcome {
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
        self.keys.push((key.clone(), least, most));
    }

    fn add_checks(&mut self, search: &SearchOutcome) {
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

    /// Adds what another thread counted.
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

    /// Compares the outcomes of the executes with the executions at the servers.
    pub fn check_executions(
        &mut self,
        executions: &BTreeMap<String, u64>,
    ) -> BTreeMap<String, u64> {
        let keys = std::mem::take(&mut self.keys);
        let mut faults = BTreeMap::<String, u64>::new();
        let mut add = |fault: &str, key: &str, n: u64| {
            *faults.entry(fault.to_string()).or_default() += 1;
            self.add_sample(format!("{fault}: key {key}, executions {n}"));
        };
        // Also covers requests that were abandoned after their key was sent.
        for (key, n) in executions.iter().filter(|(_, n)| **n > 1) {
            add("ran_more_than_once", key, *n);
        }
        for (key, least, most) in keys {
            let n = executions.get(&key).copied().unwrap_or(0);
            match (n, least, most) {
                (1, _, 0) => add("refused_as_not_run_but_ran", &key, n),
                (0, 1, _) => add("done_but_did_not_run", &key, n),
                _ => {}
            }
        }
        faults
    }
}

impl ClassTally {
    fn add(&mut self, finished: &Finished<'_>) {
        let latency_us = finished.latency.as_micros() as u64;
        self.report.requests += 1;
        if finished.is_search {
            self.shards_of_all += finished.group_shards;
        }
        match &finished.outcome {
            Outcome::Search(search) => self.add_search(search, finished.group_shards),
            Outcome::Done { .. } => {}
            Outcome::Refused { kind, .. } => {
                *self.report.refused.entry(kind.clone()).or_default() += 1;
                self.refused_us.saturating_record(latency_us);
                return;
            }
            Outcome::Failed { what, .. } => {
                *self.report.failed.entry(what.to_string()).or_default() += 1;
                return;
            }
        }
        self.report.answered += 1;
        self.answered_us.saturating_record(latency_us);
        if finished.latency > finished.deadline {
            self.report.late += 1;
        }
    }

    fn add_search(&mut self, search: &SearchOutcome, group_shards: u64) {
        self.searches_answered += 1;
        self.shards += search.shards;
        self.shards_answered += search.answered;
        if group_shards == 0 {
            // The shard map is not known; the answer's own count stands in.
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
        add_kinds(&mut self.report.missing, &other.report.missing);
        add_kinds(&mut self.report.refused, &other.report.refused);
        add_kinds(&mut self.report.failed, &other.report.failed);
        for (own, more) in [
            (&mut self.answered_us, &other.answered_us),
            (&mut self.refused_us, &other.refused_us),
        ] {
            own.add(more).expect("the bounds are equal");
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

fn add_kinds(own: &mut BTreeMap<String, u64>, other: &BTreeMap<String, u64>) {
    for (kind, n) in other {
        *own.entry(kind.clone()).or_default() += n;
    }
}
