//! Metrics in the Prometheus text format.
//!
//! Label values come from fixed sets, never from a request.

use std::{cell::Cell, sync::atomic::AtomicU64, time::Duration};

use jasminepond_forward::{ConnectionCounts, QueueReport, QueueWait, Status, Summary, Verdict};
use jasminepond_routes::ReleaseVersion;
use jasminepond_types::ErrorKind;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

use crate::{Backlog, BacklogCounts, HeldKind};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    verdict: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Kind {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabel {
    priority: &'static str,
}

/// Label values of classes. Less urgent ones share the last value.
const CLASSES: [&str; 5] = ["0", "1", "2", "3", "other"];

fn class_label(priority: u32) -> ClassLabel {
    let last = CLASSES.len() - 1;
    let at = usize::try_from(priority).unwrap_or(last).min(last);
    ClassLabel {
        priority: CLASSES[at],
    }
}

/// Upper bounds in seconds. Latency objectives of the routes are between 0.04 and 0.6.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.15, 0.25, 0.6, 1.2, 4.0,
];

/// All metrics of a gateway.
pub struct Metrics {
    registry: Registry,
    requests: Family<Outcome, Counter>,
    latency: Family<Outcome, Histogram, fn() -> Histogram>,
    sends: Counter,
    repeats: Counter,
    over_budget: Counter,
    missing: Counter,
    refused: Family<Kind, Counter>,
    connections_opened: Counter,
    connections_failed: Counter,
    store_calls: Counter,
    store_failures: Counter,
    release: Gauge,
    state_age: Gauge<f64, AtomicU64>,
    servers: Gauge,
    servers_down: Gauge,
    servers_limited: Gauge,
    zones_evacuated: Gauge,
    servers_evacuated: Gauge,
    servers_cold: Gauge,
    connections_reset: Counter,
    connections_refused: Counter,
    health_requests: Counter,
    waiting: Gauge,
    overloaded_shards: Gauge,
    admission_refused: Counter,
    shards_left_out: Counter,
    busiest_over_mean: Gauge<f64, AtomicU64>,
    queued: Family<ClassLabel, Gauge>,
    queue_time: Family<ClassLabel, Histogram, fn() -> Histogram>,
    turns_over_share: Family<ClassLabel, Counter>,
    datagrams_dropped: Counter,
    contact_losses: Counter,
    relayed: Counter,
    received: Counter,
    limited: Counter,
    invalid_loads: Counter,
    evacuation_refusals: Counter,
    holds: Counter,
    suspected: Gauge,
    held: Gauge,
    store_down: Cell<bool>,
    held_bytes: Family<Kind, Gauge>,
    servers_not_reading: Gauge,
    responses_dropped: Counter,
    refused_for_memory: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram: fn() -> Histogram = || Histogram::new(LATENCY_BUCKETS);
        let mut metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            latency: Family::new_with_constructor(histogram),
            sends: Counter::default(),
            repeats: Counter::default(),
            over_budget: Counter::default(),
            missing: Counter::default(),
            refused: Family::default(),
            connections_opened: Counter::default(),
            connections_failed: Counter::default(),
            store_calls: Counter::default(),
            store_failures: Counter::default(),
            release: Gauge::default(),
            state_age: Gauge::default(),
            servers: Gauge::default(),
            servers_down: Gauge::default(),
            servers_limited: Gauge::default(),
            zones_evacuated: Gauge::default(),
            servers_evacuated: Gauge::default(),
            servers_cold: Gauge::default(),
            connections_reset: Counter::default(),
            connections_refused: Counter::default(),
            health_requests: Counter::default(),
            waiting: Gauge::default(),
            overloaded_shards: Gauge::default(),
            admission_refused: Counter::default(),
            shards_left_out: Counter::default(),
            busiest_over_mean: Gauge::default(),
            queued: Family::default(),
            queue_time: Family::new_with_constructor(histogram),
            turns_over_share: Family::default(),
            datagrams_dropped: Counter::default(),
            contact_losses: Counter::default(),
            relayed: Counter::default(),
            received: Counter::default(),
            limited: Counter::default(),
            invalid_loads: Counter::default(),
            evacuation_refusals: Counter::default(),
            holds: Counter::default(),
            suspected: Gauge::default(),
            held: Gauge::default(),
            store_down: Cell::new(false),
            held_bytes: Family::default(),
            servers_not_reading: Gauge::default(),
            responses_dropped: Counter::default(),
            refused_for_memory: Counter::default(),
        };
        let mut registry = Registry::with_prefix("jasminepond_gateway");
        metrics.register(&mut registry);
        metrics.registry = registry;
        metrics
    }
}

impl Metrics {
    fn register(&self, r: &mut Registry) {
        r.register("requests", "Requests by outcome", self.requests.clone());
        r.register_with_unit(
            "latency",
            "Time from the arrival of a request to its answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        let counters = [
            ("sends", "Sends to backend servers", &self.sends),
            ("repeats", "Sends beyond the first of a part", &self.repeats),
            (
                "over_budget",
                "Repeated sends that the budget refused",
                &self.over_budget,
            ),
            (
                "admission_refused",
                "Searches refused because their shards cannot process all of the load",
                &self.admission_refused,
            ),
            (
                "shards_left_out",
                "Shards that searches left out because they cannot process all of the load",
                &self.shards_left_out,
            ),
            (
                "missing_parts",
                "Shards missing from answers",
                &self.missing,
            ),
            (
                "connections_opened",
                "Connections opened to backend servers",
                &self.connections_opened,
            ),
            (
                "connections_failed",
                "Connections to backend servers that failed to open",
                &self.connections_failed,
            ),
            (
                "datagrams_dropped",
                "Datagrams to other daemons dropped because the queue was full",
                &self.datagrams_dropped,
            ),
            (
                "limited_parts",
                "Shards or requests not served because their servers were at their rate limits",
                &self.limited,
            ),
            (
                "invalid_loads",
                "Responses of backend servers with a malformed load, which is ignored",
                &self.invalid_loads,
            ),
            (
                "evacuation_refusals",
                "Requests that failed while servers of evacuated zones were held out that they lacked",
                &self.evacuation_refusals,
            ),
            (
                "contact_losses",
                "Times at which no backend server responded to this daemon any more",
                &self.contact_losses,
            ),
            (
                "relayed",
                "Requests sent to other daemons because this one reached no server for them",
                &self.relayed,
            ),
            (
                "received_from_daemons",
                "Requests and parts of searches received from other daemons",
                &self.received,
            ),
            (
                "holds",
                "Times at which a request was held because it ended backend servers",
                &self.holds,
            ),
            (
                "connections_reset",
                "Connections that backend servers reset because they were at their limits",
                &self.connections_reset,
            ),
            (
                "connections_refused",
                "Times at which a request waited and no connection could be opened for it",
                &self.connections_refused,
            ),
            (
                "health_requests",
                "Health requests to backend servers that may be cold, or on idle connections that may be cut",
                &self.health_requests,
            ),
            (
                "responses_dropped",
                "Responses dropped because their callers did not read them",
                &self.responses_dropped,
            ),
            (
                "refused_for_memory",
                "Requests refused because too much was held for callers that read or send slowly",
                &self.refused_for_memory,
            ),
            ("store_calls", "Calls to the store", &self.store_calls),
            (
                "store_failures",
                "Calls to the store that failed",
                &self.store_failures,
            ),
        ];
        for (name, help, counter) in counters {
            r.register(name, help, counter.clone());
        }
        r.register(
            "refused",
            "Requests refused before they were routed, by kind",
            self.refused.clone(),
        );
        r.register_with_unit(
            "held",
            "Memory held for callers and servers, by kind",
            Unit::Bytes,
            self.held_bytes.clone(),
        );
        r.register_with_unit(
            "store_state_age",
            "Time since the store last confirmed the release and the entries in use",
            Unit::Seconds,
            self.state_age.clone(),
        );
        r.register(
            "busiest_over_mean",
            "Highest ratio, over all services, of this daemon's calls to the busiest server to the mean",
            self.busiest_over_mean.clone(),
        );
        r.register(
            "queued",
            "Parts of requests that wait for a connection, by class",
            self.queued.clone(),
        );
        r.register_with_unit(
            "queue_time",
            "Time for which parts of requests were queued before they were sent, by class",
            Unit::Seconds,
            self.queue_time.clone(),
        );
        r.register(
            "turns_over_share",
            "Queued parts sent for callers that had more than the mean of the callers queued",
            self.turns_over_share.clone(),
        );
        let gauges = [
            ("release", "Version of the release in force", &self.release),
            ("servers", "Known backend servers", &self.servers),
            (
                "servers_down",
                "Backend servers that cannot be reached",
                &self.servers_down,
            ),
            (
                "servers_limited",
                "Backend servers that state a rate limit",
                &self.servers_limited,
            ),
            (
                "zones_evacuated",
                "Availability zones that are evacuated",
                &self.zones_evacuated,
            ),
            (
                "servers_evacuated",
                "Backend servers that get no requests because their zone is evacuated",
                &self.servers_evacuated,
            ),
            (
                "servers_cold",
                "Backend servers that are cold or not known to be warm, and limited for it",
                &self.servers_cold,
            ),
            (
                "requests_suspected",
                "Distinct requests that are presumed to end backend servers",
                &self.suspected,
            ),
            (
                "requests_held",
                "Those of them that are refused for now",
                &self.held,
            ),
            (
                "servers_not_reading",
                "Backend servers that get no requests until they read those sent to them",
                &self.servers_not_reading,
            ),
            (
                "waiting",
                "Parts of requests that wait for a connection",
                &self.waiting,
            ),
            (
                "overloaded_shards",
                "Shards that cannot process all of the load that this daemon sends them",
                &self.overloaded_shards,
            ),
        ];
        for (name, help, gauge) in gauges {
            r.register(name, help, gauge.clone());
        }
    }

    /// Sets how unevenly the servers of a service are used at most, or zero if unknown.
    pub fn set_busiest_over_mean(&self, ratio: Option<f64>) {
        self.busiest_over_mean.set(ratio.unwrap_or_default());
    }

    /// Returns the metrics in text format, with the current values of `status` and of the
    /// queues by class, the numbers of suspected and of held requests, and the time since the store confirmed the state.
    pub fn render(
        &self,
        status: Status,
        queues: &[QueueReport],
        (suspected, held): (usize, usize),
        state_age: Duration,
    ) -> String {
        self.state_age.set(state_age.as_secs_f64());
        self.suspected.set(suspected as i64);
        self.held.set(held as i64);
        self.servers.set(status.servers as i64);
        self.servers_down.set(status.down as i64);
        self.servers_limited.set(status.limited as i64);
        self.zones_evacuated.set(status.evacuated_zones as i64);
        self.servers_evacuated.set(status.held_out as i64);
        self.waiting.set(status.waiting as i64);
        self.overloaded_shards.set(status.overloaded_shards as i64);
        set_counter(&self.admission_refused, status.admission.refused);
        set_counter(&self.shards_left_out, status.admission.left_out);
        for label in CLASSES {
            let of_class = |report: &&QueueReport| class_label(report.priority).priority == label;
            let parts = queues.iter().filter(of_class).map(|report| report.parts);
            let gauge = self.queued.get_or_create(&ClassLabel { priority: label });
            gauge.set(parts.sum::<usize>() as i64);
        }
        let mut text = String::new();
        // Writing to a string cannot fail, but the encoding of a metric can.
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(err) => format!("# encoding failed: {err}\n"),
        }
    }

    /// Records the number of servers that are limited as cold ones, and of health requests
    /// sent since the start.
    pub fn set_cold(&self, (servers, health_requests): (usize, u64)) {
        self.servers_cold.set(servers as i64);
        let counted = self.health_requests.get();
        self.health_requests
            .inc_by(health_requests.saturating_sub(counted));
    }

    /// Records the numbers of connections since the start.
    pub fn set_connections(&self, counts: ConnectionCounts) {
        let raise = |counter: &Counter, to: u64| {
            counter.inc_by(to.saturating_sub(counter.get()));
        };
        raise(&self.connections_reset, counts.reset);
        raise(&self.connections_refused, counts.refused);
    }

    /// Sets what is held for callers and servers.
    pub fn set_backlog(&self, backlog: &Backlog, counts: BacklogCounts) {
        for kind in HeldKind::ALL {
            let label = Kind {
                kind: kind.as_str(),
            };
            let held = self.held_bytes.get_or_create(&label);
            held.set(backlog.held(kind) as i64);
        }
        self.servers_not_reading.set(backlog.full_servers() as i64);
        let update = |counter: &Counter, count: u64| {
            counter.inc_by(count.saturating_sub(counter.get()));
        };
        update(&self.responses_dropped, counts.dropped.count);
        update(&self.refused_for_memory, counts.refused);
    }

    /// Records an answered request.
    pub fn answered(&self, summary: &Summary) {
        let outcome = Outcome {
            verdict: summary.verdict.as_str(),
        };
        self.requests.get_or_create(&outcome).inc();
        let latency = self.latency.get_or_create(&outcome);
        latency.observe(summary.took.as_secs_f64());
        self.sends.inc_by(summary.sends.into());
        self.repeats.inc_by(summary.repeats.into());
        self.over_budget.inc_by(summary.over_budget.into());
        self.missing.inc_by(summary.missing.len() as u64);
        self.limited.inc_by(summary.limited.into());
        let unserved = matches!(summary.verdict, Verdict::Refused | Verdict::Failed);
        self.evacuation_refusals
            .inc_by(u64::from(unserved && summary.evacuated > 0));
        self.relayed.inc_by(u64::from(summary.relayed > 0));
    }

    /// Records a part that was queued and is sent.
    pub fn dequeued(&self, wait: &QueueWait) {
        let label = class_label(wait.priority);
        let time = self.queue_time.get_or_create(&label);
        time.observe(wait.waited.as_secs_f64());
        if wait.over_share {
            self.turns_over_share.get_or_create(&label).inc();
        }
    }

    /// Records a request that was refused before it was routed.
    pub fn refused(&self, kind: ErrorKind) {
        let kind = Kind {
            kind: kind.as_str(),
        };
        self.refused.get_or_create(&kind).inc();
    }

    /// Records an opened connection to a backend server.
    pub fn connected(&self) {
        self.connections_opened.inc();
    }

    /// Records a connection to a backend server that failed to open.
    pub fn connect_failed(&self) {
        self.connections_failed.inc();
    }

    /// Records a request of another daemon.
    pub fn received_from_daemon(&self) {
        self.received.inc();
    }

    /// Records a response with a malformed load.
    pub fn invalid_load(&self) {
        self.invalid_loads.inc();
    }

    /// Records that no backend server responds any more.
    pub fn contact_lost(&self) {
        self.contact_losses.inc();
    }

    /// Records that a request is held from now on.
    pub fn request_held(&self) {
        self.holds.inc();
    }

    /// Records a datagram to another daemon that was dropped.
    pub fn datagram_dropped(&self) {
        self.datagrams_dropped.inc();
    }

    /// Records a call to the store.
    pub fn store_called(&self) {
        self.store_calls.inc();
    }

    /// Records a successful call to the store. Returns whether the previous call failed.
    pub fn store_reached(&self) -> bool {
        self.store_down.replace(false)
    }

    /// Records a failed call to the store. Returns whether the previous call succeeded.
    pub fn store_failed(&self) -> bool {
        self.store_failures.inc();
        !self.store_down.replace(true)
    }

    /// Records the version of a release that was read.
    pub fn set_release(&self, version: ReleaseVersion) {
        self.release.set(version.0 as i64);
    }
}

/// Raises a counter to the value that is counted elsewhere.
fn set_counter(counter: &Counter, value: u64) {
    counter.inc_by(value.saturating_sub(counter.get()));
}
