//! Aggregates reports and formats medians, ranges and ratios.

use std::fmt::{self, Write};

use serde_json::Value;

/// One combination of fault, load and variant.
#[derive(Debug, Clone, PartialEq)]
pub struct Case {
    /// Name of the fault.
    pub fault: &'static str,
    /// Offered load as a share of the capacity.
    pub load: f64,
    /// Name of the variant.
    pub variant: String,
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} load {} {}", self.fault, self.load, self.variant)
    }
}

/// Figures extracted from a report.
#[derive(Debug, Clone, Copy, Default)]
struct Figures {
    p50: f64,
    p99: f64,
    first_class_p99: f64,
    coverage: f64,
    goodput: f64,
    refused: f64,
    failed: f64,
    sent: f64,
    cpu_us: f64,
    violations: f64,
}

/// Header of a table column and the function that extracts its value.
type Column = (&'static str, fn(&Figures) -> f64);

const COLUMNS: [Column; 10] = [
    ("p50 ms", |f| f.p50),
    ("p99 ms", |f| f.p99),
    ("first class p99 ms", |f| f.first_class_p99),
    ("coverage", |f| f.coverage),
    ("complete/s", |f| f.goodput),
    ("refused share", |f| f.refused),
    ("failed share", |f| f.failed),
    ("sent per needed", |f| f.sent),
    ("cpu us/sub-request", |f| f.cpu_us),
    ("violations", |f| f.violations),
];

fn sum(map: &Value) -> f64 {
    map.as_object()
        .into_iter()
        .flatten()
        .filter_map(|(_, n)| n.as_f64())
        .sum()
}

fn figures(report: &Value) -> Figures {
    let total = &report["total"];
    let number = |value: &Value| value.as_f64().unwrap_or_default();
    let requests = number(&total["requests"]).max(1.0);
    let answered = number(&total["answered"]);
    let complete = answered * number(&total["complete_share"]);
    let classes = report["classes"].as_object();
    let first = |name: &&String| {
        ["pattern-lookup", "recall-check"]
            .iter()
            .any(|class| name.contains(class))
    };
    let first = classes.and_then(|classes| classes.iter().find(|(name, _)| first(name)));
    let processes = report["processes"].as_object().into_iter().flatten();
    let cpu: f64 = processes
        .filter(|(name, _)| name.as_str() != "load")
        .map(|(_, process)| number(&process["us_per_sub_request"]))
        .sum();
    Figures {
        p50: number(&total["latency_ms"]["p50"]),
        p99: number(&total["latency_ms"]["p99"]),
        first_class_p99: first.map_or(0.0, |(_, class)| number(&class["latency_ms"]["p99"])),
        coverage: number(&total["coverage"]),
        goodput: complete / number(&report["duration_s"]).max(1.0),
        refused: sum(&total["refused"]) / requests,
        failed: sum(&total["failed"]) / requests,
        sent: number(&report["extra_load"]["received_ratio"]),
        cpu_us: cpu,
        violations: sum(&report["violations"]) + sum(&report["execute_violations"]),
    }
}

/// Formats the figures of a report on one line.
pub fn summary(report: &Value) -> String {
    let figures = figures(report);
    let mut line = String::new();
    for (name, column) in COLUMNS {
        let _ = write!(line, "{name} {:.3}, ", column(&figures));
    }
    line.trim_end_matches(", ").to_owned()
}

/// Figures of all runs by case.
#[derive(Debug, Default)]
pub struct Results {
    cases: Vec<(Case, Vec<Figures>)>,
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

impl Results {
    /// Adds the report of a run.
    pub fn add(&mut self, case: Case, report: &Value) {
        let figures = figures(report);
        match self.cases.iter_mut().find(|(known, _)| *known == case) {
            Some((_, all)) => all.push(figures),
            None => self.cases.push((case, vec![figures])),
        }
    }

    /// Formats a Markdown table with the median, minimum and maximum of each figure, and
    /// the ratio of the median p99 to that of the first variant under the same load and
    /// fault.
    pub fn table(&self) -> String {
        let mut text = String::from("| fault | load | variant | repeats |");
        for (name, _) in COLUMNS {
            let _ = write!(text, " {name} |");
        }
        text.push_str(" p99 ratio |\n|");
        text.push_str(&"---|".repeat(COLUMNS.len() + 5));
        text.push('\n');
        for (case, all) in &self.cases {
            let _ = write!(
                text,
                "| {} | {} | {} | {} |",
                case.fault,
                case.load,
                case.variant,
                all.len()
            );
            for (_, column) in COLUMNS {
                let values: Vec<f64> = all.iter().map(column).collect();
                let min = values.iter().copied().fold(f64::INFINITY, f64::min);
                let max = values.iter().copied().fold(0.0, f64::max);
                let _ = write!(text, " {:.3} ({min:.3}-{max:.3}) |", median(values));
            }
            let _ = writeln!(text, " {:.2} |", self.p99_ratio(case, all));
        }
        text
    }

    fn p99_ratio(&self, case: &Case, all: &[Figures]) -> f64 {
        let same = |(other, _): &&(Case, Vec<Figures>)| {
            other.fault == case.fault && other.load == case.load
        };
        let p99 = |all: &[Figures]| median(all.iter().map(|f| f.p99).collect());
        let first = self.cases.iter().find(same).map(|(_, first)| p99(first));
        p99(all) / first.unwrap_or_default()
    }
}
