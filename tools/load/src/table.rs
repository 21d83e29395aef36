//! The report as a text table.

use std::{collections::BTreeMap, fmt::Write};

use crate::{ClassReport, Report};

/// Formats the report as a text table.
pub fn table(report: &Report) -> String {
    let mut out = String::new();
    // Writing to a `String` is infallible.
    let _ = write(&mut out, report);
    out
}

fn write(out: &mut String, report: &Report) -> std::fmt::Result {
    writeln!(
        out,
        "{} mode, {} requests/s for {} s, seed {}",
        report.mode, report.rate, report.duration_s, report.seed
    )?;
    let lag = &report.schedule_lag_ms;
    writeln!(
        out,
        "schedule lag: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        lag.p50, lag.p99, lag.max
    )?;
    writeln!(
        out,
        "{:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} {:>9} {:>9}",
        "class",
        "requests",
        "answered",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "p999 ms",
        "late",
        "coverage",
        "complete"
    )?;
    for (name, class) in &report.classes {
        write_class(out, name, class)?;
    }
    write_class(out, "all", &report.total)?;
    write_counts(out, "refused", &report.total.refused)?;
    write_counts(out, "failed", &report.total.failed)?;
    write_counts(out, "missing shards", &report.total.missing)?;
    match &report.extra_load {
        Some(load) => writeln!(
            out,
            "extra load: {:.3} received, {:.3} run per sub-request needed ({} needed, {} shed, {} wasted)",
            load.received_ratio,
            load.executed_ratio,
            load.needed,
            load.counters.shed,
            load.counters.wasted
        )?,
        None => writeln!(out, "extra load: not known, no --backend-control")?,
    }
    for (name, process) in &report.processes {
        let per = process
            .us_per_sub_request
            .map_or("-".to_string(), |us| format!("{us:.1} us"));
        writeln!(
            out,
            "process {name}: {} ms, {per} per sub-request",
            process.cpu_ms
        )?;
    }
    writeln!(out, "checked answers: {}", report.checked)?;
    let violations = report
        .violations
        .iter()
        .map(|(v, n)| (format!("{v:?}"), *n));
    let executes = report
        .execute_violations
        .iter()
        .map(|(v, n)| (v.clone(), *n));
    write_counts(out, "violations", &violations.chain(executes).collect())?;
    for sample in &report.samples {
        writeln!(out, "  {}", sample.chars().take(400).collect::<String>())?;
    }
    Ok(())
}

fn write_class(out: &mut String, name: &str, class: &ClassReport) -> std::fmt::Result {
    let latency = &class.latency_ms;
    let share = |s: Option<f64>| s.map_or("-".to_string(), |s| format!("{s:.5}"));
    writeln!(
        out,
        "{:<16} {:>8} {:>8} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>6} {:>9} {:>9}",
        name,
        class.requests,
        class.answered,
        latency.p50,
        latency.p90,
        latency.p99,
        latency.p999,
        class.late,
        share(class.coverage_of_all),
        share(class.complete_share),
    )
}

fn write_counts(out: &mut String, title: &str, kinds: &BTreeMap<String, u64>) -> std::fmt::Result {
    if kinds.is_empty() {
        return writeln!(out, "{title}: none");
    }
    let entries: Vec<_> = kinds
        .iter()
        .map(|(kind, n)| format!("{kind} {n}"))
        .collect();
    writeln!(out, "{title}: {}", entries.join(", "))
}
