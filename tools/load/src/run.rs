//! One run: arrivals, drain, report.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::time::{sleep_until, timeout};
use futures_util::future::{Either, select};
use standin_backend::Counters;
use tokio_util::sync::CancellationToken;

use crate::{
    Arrival, ExtraLoad, Kind, LoadError, Options, Plan, ProcessReport, Report, Servers, Stream,
    arrivals, backend,
    direct::Direct,
    process,
    tally::{Finished, Outcome, Tally},
    tier::Tier,
};

/// Connections per daemon if none are stated.
const DAEMON_CONNECTIONS: usize = 256;

enum Target {
    Tier(Tier),
    Direct(Direct),
}

struct Run {
    plan: Plan,
    /// Shards per group.
    shards: BTreeMap<String, BTreeSet<String>>,
    target: Target,
    start: Instant,
    warmup: Duration,
    tally: RefCell<Tally>,
    in_flight: Cell<usize>,
    /// Cancelled to abandon the requests in flight.
    stop: CancellationToken,
    /// Cancelled when nothing is in flight after the last arrival.
    idle: CancellationToken,
    closing: Cell<bool>,
    lag: Cell<Duration>,
}

/// State of the outside before the run.
struct Before {
    counters: Counters,
    cpu_ms: Vec<(String, u32, Option<u64>)>,
}

/// Runs the load and returns its report.
///
/// # Errors
///
/// A faulty file or an unreachable control endpoint.
pub async fn run(options: &Options) -> Result<Report, LoadError> {
    let plan = Plan::read(&options.plan)?;
    let servers = match &options.servers {
        Some(path) => Servers::read(path)?,
        None => Servers::fetch(&options.backend_controls).await?,
    };
    let before = Before::observe(options).await?;
    let run = Rc::new(Run::new(options, plan, servers));
    run.send_all(options).await;
    run.drain(options.drain).await;
    report(options, &run, before).await
}

impl Run {
    fn new(options: &Options, plan: Plan, servers: Servers) -> Self {
        let groups: BTreeSet<_> = plan.streams.iter().map(|s| s.group.clone()).collect();
        let shards = groups
            .iter()
            .map(|g| (g.clone(), servers.shards(g)))
            .collect();
        let target = if options.direct {
            let (clients, connections) = (options.clients, options.connections);
            Target::Direct(Direct::new(
                servers,
                &groups,
                clients,
                connections,
                options.seed,
            ))
        } else {
            let connections = options.connections.unwrap_or(DAEMON_CONNECTIONS);
            Target::Tier(Tier::new(&options.daemons, connections))
        };
        Self {
            plan,
            shards,
            target,
            start: Instant::now(),
            warmup: options.warmup,
            tally: RefCell::default(),
            in_flight: Cell::new(0),
            stop: CancellationToken::new(),
            idle: CancellationToken::new(),
            closing: Cell::new(false),
            lag: Cell::new(Duration::ZERO),
        }
    }

    async fn send_all(self: &Rc<Self>, options: &Options) {
        let length = options.warmup + options.duration;
        for arrival in arrivals(&self.plan, options.rate, length, options.seed) {
            let scheduled = self.start + arrival.at;
            sleep_until(scheduled).await;
            self.lag.set(self.lag.get().max(scheduled.elapsed()));
            if self.in_flight.get() >= options.max_in_flight {
                let what = "not_sent";
                self.finish(&arrival, Outcome::Failed { what, key: None });
                continue;
            }
            self.in_flight.set(self.in_flight.get() + 1);
            compio::runtime::spawn(self.clone().handle(arrival)).detach();
        }
    }

    async fn handle(self: Rc<Self>, arrival: Arrival) {
        let request = pin!(self.request(&arrival));
        let outcome = match select(request, pin!(self.stop.cancelled())).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) => Outcome::Failed {
                what: "abandoned",
                key: None,
            },
        };
        self.finish(&arrival, outcome);
        self.in_flight.set(self.in_flight.get() - 1);
        if self.closing.get() && self.in_flight.get() == 0 {
            self.idle.cancel();
        }
    }

    async fn request(&self, arrival: &Arrival) -> Outcome {
        let stream = &self.plan.streams[arrival.stream];
        let shards = &self.shards[&stream.group];
        let started = self.start + arrival.at;
        match (&self.target, stream.kind) {
            (Target::Tier(t), Kind::Search) => t.search(arrival, stream, shards, started).await,
            (Target::Tier(t), Kind::Execute) => t.execute(arrival, stream, started).await,
            (Target::Direct(d), Kind::Search) => d.search(arrival, stream, shards, started).await,
            (Target::Direct(d), Kind::Execute) => d.execute(arrival, stream, started).await,
        }
    }

    fn finish(&self, arrival: &Arrival, outcome: Outcome) {
        let stream: &Stream = &self.plan.streams[arrival.stream];
        self.tally.borrow_mut().add(&Finished {
            class: &stream.class,
            is_search: stream.kind == Kind::Search,
            group_shards: self.shards[&stream.group].len() as u64,
            latency: (self.start + arrival.at).elapsed(),
            deadline: Duration::from_millis(stream.deadline_ms),
            warmup: arrival.at < self.warmup,
            outcome,
        });
    }

    async fn drain(&self, limit: Duration) {
        self.closing.set(true);
        if self.in_flight.get() == 0 {
            return;
        }
        if timeout(limit, self.idle.cancelled()).await.is_err() {
            self.stop.cancel();
            self.idle.cancelled().await;
        }
    }
}

impl Before {
    async fn observe(options: &Options) -> Result<Self, LoadError> {
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

async fn report(options: &Options, run: &Run, before: Before) -> Result<Report, LoadError> {
    let controls = &options.backend_controls;
    let cpu_after: Vec<_> = before
        .cpu_ms
        .iter()
        .map(|(_, pid, _)| process::cpu_ms(*pid))
        .collect();
    let needed = run.tally.borrow().needed;
    let extra_load = extra_load(controls, needed, before.counters).await?;
    let sub_requests = extra_load.as_ref().map(|e| e.counters.received);
    let execute_violations = if controls.is_empty() {
        BTreeMap::new()
    } else {
        let executions = backend::executions(controls).await?;
        run.tally.borrow_mut().check_executions(&executions)
    };
    let tally = run.tally.borrow();
    let classes = tally.classes.iter();
    Ok(Report {
        mode: if options.direct { "direct" } else { "tier" }.to_string(),
        seed: options.seed,
        rate: options.rate,
        duration_s: options.duration.as_secs_f64(),
        schedule_lag_ms: run.lag.get().as_secs_f64() * 1e3,
        classes: classes
            .map(|(name, class)| (name.clone(), class.report()))
            .collect(),
        total: tally.total.report(),
        extra_load,
        checked: tally.checked,
        violations: tally.violations.clone(),
        execute_violations,
        samples: tally.samples.clone(),
        processes: processes(before.cpu_ms, cpu_after, sub_requests),
    })
}

fn processes(
    before: Vec<(String, u32, Option<u64>)>,
    after: Vec<Option<u64>>,
    sub_requests: Option<u64>,
) -> BTreeMap<String, ProcessReport> {
    let both = before.into_iter().zip(after);
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
    both.filter_map(report).collect()
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
