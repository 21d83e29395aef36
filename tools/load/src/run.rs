//! A load run: starts the workers and collects the report.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use compio::runtime::{ResumeUnwind, Runtime};
use futures_util::future::join_all;
use standin_backend::Counters;

use crate::{
    ExtraLoad, Latency, LoadError, Options, Plan, ProcessReport, Report, Servers, backend, process,
    stats::{Stats, new_histogram},
    worker::{Partition, WorkerResult, run_worker},
};

/// Delay of the first arrival, to let all threads start.
const START_DELAY: Duration = Duration::from_millis(20);

/// Counters and CPU times before the run.
struct InitialReadings {
    counters: Counters,
    cpu_ms: Vec<(String, u32, Option<u64>)>,
}

/// Generates the load and returns the report.
///
/// # Errors
///
/// A file is unreadable or invalid, or a control endpoint is unreachable.
pub async fn run(options: &Options) -> Result<Report, LoadError> {
    let plan = Plan::read(&options.plan)?;
    let servers = match &options.servers {
        Some(path) => Servers::read(path)?,
        None => Servers::fetch(&options.backend_controls).await?,
    };
    let before = InitialReadings::read(options).await?;
    let done = run_threads(options, &plan, &servers).await;
    report(options, done, before).await
}

async fn run_threads(options: &Options, plan: &Plan, servers: &Servers) -> WorkerResult {
    let start = Instant::now() + START_DELAY;
    let threads = options.threads;
    let spawn = |thread| {
        let partition = Partition {
            thread,
            threads,
            start,
        };
        let (options, plan, servers) = (options.clone(), plan.clone(), servers.clone());
        compio::runtime::spawn_blocking(move || {
            let runtime = Runtime::new().expect("a runtime can be built");
            runtime.block_on(run_worker(partition, &options, plan, servers))
        })
    };
    let mut all = WorkerResult {
        stats: Stats::default(),
        lag_us: new_histogram(),
    };
    for done in join_all((0..threads).map(spawn)).await {
        let done = done.resume_unwind().expect("no thread is cancelled");
        all.stats.merge(done.stats);
        all.lag_us.add(&done.lag_us).expect("the bounds are equal");
    }
    all
}

impl InitialReadings {
    async fn read(options: &Options) -> Result<Self, LoadError> {
        let own = ("self".to_string(), std::process::id());
        let others = options.pids.iter().map(|pid| (pid.to_string(), *pid));
        let cpu_ms = std::iter::once(own)
            .chain(others)
            .map(|(name, pid)| (name, pid, process::cpu_ms(pid)))
            .collect();
        Ok(Self {
            counters: backend::counters(&options.backend_controls).await?,
            cpu_ms,
        })
    }
}

async fn report(
    options: &Options,
    done: WorkerResult,
    before: InitialReadings,
) -> Result<Report, LoadError> {
    let controls = &options.backend_controls;
    let cpu_after: Vec<_> = before
        .cpu_ms
        .iter()
        .map(|(_, pid, _)| process::cpu_ms(*pid))
        .collect();
    let mut stats = done.stats;
    let needed = stats.needed;
    let extra_load = extra_load(controls, needed, before.counters).await?;
    let sub_requests = extra_load.as_ref().map(|e| e.counters.received);
    let execute_violations = if controls.is_empty() {
        BTreeMap::new()
    } else {
        let executions = backend::executions(controls).await?;
        stats.check_executions(&executions)
    };
    let classes = stats.classes.iter();
    Ok(Report {
        mode: if options.direct { "direct" } else { "tier" }.to_string(),
        seed: options.seed,
        rate: options.rate,
        duration_s: options.duration.as_secs_f64(),
        schedule_lag_ms: Latency::new(&done.lag_us),
        classes: classes
            .map(|(name, class)| (name.clone(), class.report()))
            .collect(),
        total: stats.total.report(),
        extra_load,
        checked: stats.checked,
        violations: stats.violations.clone(),
        execute_violations,
        samples: stats.samples.clone(),
        processes: process_reports(before.cpu_ms, cpu_after, sub_requests),
    })
}

fn process_reports(
    before: Vec<(String, u32, Option<u64>)>,
    after: Vec<Option<u64>>,
    sub_requests: Option<u64>,
) -> BTreeMap<String, ProcessReport> {
    let pairs = before.into_iter().zip(after);
    let report = |((name, _, before), after): ((String, u32, Option<u64>), Option<u64>)| {
        let cpu_ms = after?.checked_sub(before?)?;
        let per = sub_requests.filter(|n| *n > 0);
        let us_per_sub_request = per.map(|n| cpu_ms as f64 * 1e3 / n as f64);
        Some((
            name,
            ProcessReport {
                cpu_ms,
                us_per_sub_request,
            },
        ))
    };
    pairs.filter_map(report).collect()
}

async fn extra_load(
    controls: &[SocketAddr],
    needed: u64,
    before: Counters,
) -> Result<Option<ExtraLoad>, LoadError> {
    if controls.is_empty() {
        return Ok(None);
    }
    let counters = backend::counters(controls).await?.since(&before);
    let ratio = |n: u64| {
        if needed > 0 {
            n as f64 / needed as f64
        } else {
            0.0
        }
    };
    Ok(Some(ExtraLoad {
        needed,
        received_ratio: ratio(counters.received),
        executed_ratio: ratio(counters.executed),
        counters,
    }))
}
