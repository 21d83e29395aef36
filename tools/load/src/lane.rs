//! One thread of a run: its arrivals, their requests, the drain.

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
    tally::{Finished, Outcome, Tally, new_histogram},
    tier::Tier,
};

/// Connections per daemon if none are stated.
const DAEMON_CONNECTIONS: usize = 256;

/// Which arrivals a thread handles.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Share {
    /// Number of the thread.
    pub thread: usize,
    /// Threads in all.
    pub threads: usize,
    /// Time from which arrivals are scheduled.
    pub start: Instant,
}

/// What happened in one thread.
#[derive(Debug)]
pub(crate) struct Done {
    pub tally: Tally,
    /// Delays behind the schedule, in microseconds.
    pub lag_us: Histogram<u64>,
}

impl Share {
    fn holds(&self, arrival: &Arrival, options: &Options) -> bool {
        let number = arrival.number as usize;
        // A client of the direct mode belongs to one thread.
        let unit = if options.direct {
            number % options.clients
        } else {
            number
        };
        unit % self.threads == self.thread
    }
}

/// Sends a share of the arrivals and waits for their outcomes.
pub(crate) async fn run_share(
    share: Share,
    options: &Options,
    plan: Plan,
    servers: Servers,
) -> Done {
    let lane = Rc::new(Lane::new(&share, options, plan, servers));
    lane.send_all(&share, options).await;
    lane.drain(options.drain).await;
    Done {
        tally: lane.tally.take(),
        lag_us: lane.lag_us.borrow().clone(),
    }
}

enum Target {
    Tier(Tier),
    Direct(Direct),
}

/// One thread's share of the arrivals.
struct Lane {
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
    lag_us: RefCell<Histogram<u64>>,
}

impl Lane {
    fn new(share: &Share, options: &Options, plan: Plan, servers: Servers) -> Self {
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
            // At least one connection per daemon in each thread.
            Target::Tier(Tier::new(&options.daemons, connections / share.threads))
        };
        Self {
            plan,
            shards,
            target,
            start: share.start,
            warmup: options.warmup,
            tally: RefCell::default(),
            in_flight: Cell::new(0),
            stop: CancellationToken::new(),
            idle: CancellationToken::new(),
            closing: Cell::new(false),
            lag_us: RefCell::new(new_histogram()),
        }
    }

    async fn send_all(self: &Rc<Self>, share: &Share, options: &Options) {
        let length = options.warmup + options.duration;
        let most = options.max_in_flight.div_ceil(share.threads);
        let all = arrivals(&self.plan, options.rate, length, options.seed);
        for arrival in all.filter(|a| share.holds(a, options)) {
            let scheduled = self.start + arrival.at;
            sleep_until(scheduled).await;
            let lag_us = scheduled.elapsed().as_micros() as u64;
            self.lag_us.borrow_mut().saturating_record(lag_us);
            if self.in_flight.get() >= most {
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
