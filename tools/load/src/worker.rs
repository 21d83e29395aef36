//! A worker thread: sends its part of the arrivals and records the outcomes.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::time::{sleep_until, timeout};
use futures_util::future::{Either, select};
use hdrhistogram::Histogram;
use tokio_util::sync::CancellationToken;

use crate::{
    Arrival, Kind, Options, Plan, Servers, Stream, arrivals,
    direct::Direct,
    stats::{CompletedRequest, Outcome, Stats, new_histogram},
    tier::Tier,
};

/// Connections per daemon without `--connections`.
const DEFAULT_DAEMON_CONNECTIONS: usize = 256;

/// Selects the arrivals that one thread sends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Partition {
    /// Index of the thread.
    pub thread: usize,
    /// Total number of threads.
    pub threads: usize,
    /// Start of the run, to which arrival times are relative.
    pub start: Instant,
}

/// Results of one worker thread.
#[derive(Debug)]
pub(crate) struct WorkerResult {
    pub stats: Stats,
    /// Delays behind the arrival schedule in microseconds.
    pub lag_us: Histogram<u64>,
}

impl Partition {
    fn contains(&self, arrival: &Arrival, options: &Options) -> bool {
        let number = arrival.number as usize;
        // In direct mode each client belongs to one thread.
        let index = if options.direct {
            number % options.clients
        } else {
            number
        };
        index % self.threads == self.thread
    }
}

/// Sends one partition of the arrivals and waits for their outcomes.
pub(crate) async fn run_worker(
    partition: Partition,
    options: &Options,
    plan: Plan,
    servers: Servers,
) -> WorkerResult {
    let worker = Rc::new(Worker::new(&partition, options, plan, servers));
    worker.send_all(&partition, options).await;
    worker.drain(options.drain).await;
    WorkerResult {
        stats: worker.stats.take(),
        lag_us: worker.lag_us.borrow().clone(),
    }
}

enum Target {
    Tier(Tier),
    Direct(Direct),
}

/// State of a worker thread.
struct Worker {
    plan: Plan,
    /// Shards by group.
    shards: BTreeMap<String, BTreeSet<String>>,
    target: Target,
    start: Instant,
    warmup: Duration,
    stats: RefCell<Stats>,
    in_flight: Cell<usize>,
    /// Cancels the requests in flight.
    abandon: CancellationToken,
    /// Signalled when no request is in flight after the last arrival.
    drained: CancellationToken,
    arrivals_done: Cell<bool>,
    lag_us: RefCell<Histogram<u64>>,
}

impl Worker {
    fn new(partition: &Partition, options: &Options, plan: Plan, servers: Servers) -> Self {
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
            let connections = options.connections.unwrap_or(DEFAULT_DAEMON_CONNECTIONS);
            // `Pool::new` raises the quotient to at least one connection per thread.
            Target::Tier(Tier::new(&options.daemons, connections / partition.threads))
        };
        Self {
            plan,
            shards,
            target,
            start: partition.start,
            warmup: options.warmup,
            stats: RefCell::default(),
            in_flight: Cell::new(0),
            abandon: CancellationToken::new(),
            drained: CancellationToken::new(),
            arrivals_done: Cell::new(false),
            lag_us: RefCell::new(new_histogram()),
        }
    }

    async fn send_all(self: &Rc<Self>, partition: &Partition, options: &Options) {
        let duration = options.warmup + options.duration;
        let max_in_flight = options.max_in_flight.div_ceil(partition.threads);
        let arrivals_of_run = arrivals(&self.plan, options.rate, duration, options.seed);
        for arrival in arrivals_of_run.filter(|a| partition.contains(a, options)) {
            let scheduled = self.start + arrival.at;
            sleep_until(scheduled).await;
            let lag_us = scheduled.elapsed().as_micros() as u64;
            self.lag_us.borrow_mut().saturating_record(lag_us);
            if self.in_flight.get() >= max_in_flight {
                let reason = "not_sent";
                self.record(&arrival, Outcome::Failed { reason, key: None });
                continue;
            }
            self.in_flight.set(self.in_flight.get() + 1);
            compio::runtime::spawn(self.clone().handle(arrival)).detach();
        }
    }

    async fn handle(self: Rc<Self>, arrival: Arrival) {
        let request = pin!(self.request(&arrival));
        let outcome = match select(request, pin!(self.abandon.cancelled())).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) => Outcome::Failed {
                reason: "abandoned",
                key: None,
            },
        };
        self.record(&arrival, outcome);
        self.in_flight.set(self.in_flight.get() - 1);
        if self.arrivals_done.get() && self.in_flight.get() == 0 {
            self.drained.cancel();
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

    fn record(&self, arrival: &Arrival, outcome: Outcome) {
        let stream: &Stream = &self.plan.streams[arrival.stream];
        self.stats.borrow_mut().add(&CompletedRequest {
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
        self.arrivals_done.set(true);
        if self.in_flight.get() == 0 {
            return;
        }
        if timeout(limit, self.drained.cancelled()).await.is_err() {
            self.abandon.cancel();
            self.drained.cancelled().await;
        }
    }
}
