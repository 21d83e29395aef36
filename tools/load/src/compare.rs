//! Comparison of two reports.

use std::fmt::Write;

use crate::{ClassReport, Report};

/// Formats a table with the figures of both reports and the ratio of `b` to `a`.
pub fn compare(a: &Report, b: &Report) -> String {
    let mut out = format!("{:<34} {:>12} {:>12} {:>9}\n", "", "a", "b", "b/a");
    let mut row = |name: String, a: Option<f64>, b: Option<f64>| {
        let (Some(a), Some(b)) = (a, b) else { return };
        let ratio = if a == 0.0 {
            "-".to_string()
        } else {
            format!("{:.3}", b / a)
        };
        // Writing to a `String` is infallible.
        let _ = writeln!(out, "{name:<34} {a:>12.4} {b:>12.4} {ratio:>9}");
    };
    for (class, in_a) in &a.classes {
        if let Some(in_b) = b.classes.get(class) {
            compare_class(class, in_a, in_b, &mut row);
        }
    }
    compare_class("all", &a.total, &b.total, &mut row);
    let load = |r: &Report| r.extra_load.clone();
    let received = |r| load(r).map(|l| l.received_ratio);
    let executed = |r| load(r).map(|l| l.executed_ratio);
    row("extra load, received".to_string(), received(a), received(b));
    row("extra load, run".to_string(), executed(a), executed(b));
    let cpu = |r: &Report| {
        let each = r.processes.iter().filter(|(name, _)| *name != "self");
        let each: Vec<_> = each.filter_map(|(_, p)| p.us_per_sub_request).collect();
        (!each.is_empty()).then(|| each.iter().sum::<f64>())
    };
    row("us per sub-request, --pids".to_string(), cpu(a), cpu(b));
    let own = |r: &Report| r.processes.get("self").and_then(|p| p.us_per_sub_request);
    row("us per sub-request, load tool".to_string(), own(a), own(b));
    out
}

fn compare_class(
    class: &str,
    a: &ClassReport,
    b: &ClassReport,
    row: &mut impl FnMut(String, Option<f64>, Option<f64>),
) {
    let latency = |f: fn(&crate::Latency) -> f64| (Some(f(&a.latency_ms)), Some(f(&b.latency_ms)));
    let quantiles = [
        ("p50 ms", latency(|l| l.p50)),
        ("p90 ms", latency(|l| l.p90)),
        ("p99 ms", latency(|l| l.p99)),
        ("p999 ms", latency(|l| l.p999)),
        ("max ms", latency(|l| l.max)),
    ];
    for (name, (a, b)) in quantiles {
        row(format!("{class}: {name}"), a, b);
    }
    let answered = |c: &ClassReport| Some(c.answered as f64);
    row(format!("{class}: answered"), answered(a), answered(b));
    row(
        format!("{class}: coverage of all"),
        a.coverage_of_all,
        b.coverage_of_all,
    );
    row(
        format!("{class}: complete share"),
        a.complete_share,
        b.complete_share,
    );
}
