//! Metrics in the Prometheus text format.
//!
//! Label values come from the configuration or from fixed sets, never from a
//! request, so that a caller cannot create time series.

use std::sync::atomic::{AtomicI64, AtomicU64};

use jasminepond_query::{Answer, ExecuteOutcome};
use jasminepond_types::{ClassId, ErrorKind, GroupId, TenantId};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram, info::Info},
    registry::{Registry, Unit},
};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    tenant: String,
    class: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MissingLabels {
    group: String,
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SentLabels {
    group: String,
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabel {
    state: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    direction: &'static str,
    kind: &'static str,
}

type TrafficCounters = Family<TrafficLabels, Counter>;

/// Direction of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Sent by this daemon.
    Sent,
    /// Received by this daemon.
    Received,
}

const DIRECTIONS: [&str; 2] = ["sent", "received"];

/// Purpose of a message between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficKind {
    /// A membership datagram.
    Membership,
    /// A frame that synchronises the configuration or membership views.
    Sync,
    /// A frame that opens, probes or closes a link.
    Link,
    /// A frame that belongs to a caller's request, or grants credit for requests.
    Work,
}

const TRAFFIC_KINDS: [&str; 4] = ["membership", "sync", "link", "work"];

#[derive(Debug, Clone, Default)]
struct Volume {
    bytes: Counter,
    messages: Counter,
}

/// Counts messages to and from other daemons. The counters are looked up once
/// because they are updated for every frame.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    volumes: [[Volume; TRAFFIC_KINDS.len()]; DIRECTIONS.len()],
}

impl Traffic {
    fn new(bytes: &TrafficCounters, messages: &TrafficCounters) -> Self {
        let volume = |direction, kind| {
            let labels = TrafficLabels { direction, kind };
            Volume {
                bytes: bytes.get_or_create_owned(&labels),
                messages: messages.get_or_create_owned(&labels),
            }
        };
        Self {
            volumes: DIRECTIONS.map(|direction| TRAFFIC_KINDS.map(|kind| volume(direction, kind))),
        }
    }

    /// Counts one message of `bytes` bytes, excluding IP, UDP, TCP and WebSocket
    /// headers.
    pub fn count(&self, direction: Direction, kind: TrafficKind, bytes: usize) {
        let volume = &self.volumes[direction as usize][kind as usize];
        volume.bytes.inc_by(bytes as u64);
        volume.messages.inc();
    }
}

/// Why a sub-request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SentKind {
    /// First sub-request for its shard.
    First,
    /// Second copy of a slow sub-request.
    Hedge,
    /// Repeated after a failure.
    Retry,
}

impl SentKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
        }
    }
}

/// Upper bounds of the latency histograms in seconds, dense below the target of
/// 250 ms for the 99th percentile.
const LATENCY_BUCKETS: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.2, 0.25, 0.5, 1.0, 2.5,
];

type Requests = Family<RequestLabels, Counter>;
type Latencies = Family<RequestLabels, Histogram, fn() -> Histogram>;

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}

/// All metrics of a daemon.
pub struct Metrics {
    registry: Registry,
    searches: Requests,
    search_seconds: Latencies,
    incomplete: Requests,
    executes: Family<KindLabel, Counter>,
    execute_seconds: Latencies,
    refusals: Family<KindLabel, Counter>,
    missing: Family<MissingLabels, Counter>,
    sent: Family<SentLabels, Counter>,
    members: Family<StateLabel, Gauge>,
    revision: Gauge<i64, AtomicI64>,
    config_age: Gauge<f64, AtomicU64>,
    config_refused: Counter,
    in_progress: Gauge,
    admission_limit: Gauge,
    pauses: Counter,
    peer_bytes: TrafficCounters,
    peer_messages: TrafficCounters,
    traffic: Traffic,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("jasminepond");
        let build = Info::new(vec![("version", env!("CARGO_PKG_VERSION"))]);
        registry.register("build", "Version of the daemon", build);
        let latency = Latencies::new_with_constructor(latency_histogram);
        let peer_bytes = TrafficCounters::default();
        let peer_messages = TrafficCounters::default();
        let metrics = Self {
            searches: Requests::default(),
            search_seconds: latency.clone(),
            incomplete: Requests::default(),
            executes: Family::default(),
            execute_seconds: Latencies::new_with_constructor(latency_histogram),
            refusals: Family::default(),
            missing: Family::default(),
            sent: Family::default(),
            members: Family::default(),
            revision: Gauge::default(),
            config_age: Gauge::default(),
            config_refused: Counter::default(),
            in_progress: Gauge::default(),
            admission_limit: Gauge::default(),
            pauses: Counter::default(),
            traffic: Traffic::new(&peer_bytes, &peer_messages),
            peer_bytes,
            peer_messages,
            registry: Registry::default(),
        };
        metrics.register(&mut registry);
        Self {
            registry,
            ..metrics
        }
    }
}

impl Metrics {
    fn register(&self, r: &mut Registry) {
        r.register("searches", "Searches answered", self.searches.clone());
        r.register_with_unit(
            "search_latency",
            "Time from the arrival of a search to its answer",
            Unit::Seconds,
            self.search_seconds.clone(),
        );
        r.register(
            "searches_incomplete",
            "Searches answered without all shards",
            self.incomplete.clone(),
        );
        r.register(
            "executes",
            "Non-idempotent requests by outcome",
            self.executes.clone(),
        );
        r.register_with_unit(
            "execute_latency",
            "Time from the arrival of a non-idempotent request to its answer",
            Unit::Seconds,
            self.execute_seconds.clone(),
        );
        r.register(
            "refusals",
            "Requests refused by kind",
            self.refusals.clone(),
        );
        r.register(
            "missing_shards",
            "Shards missing from answers by reason",
            self.missing.clone(),
        );
        r.register(
            "sub_requests",
            "Sub-requests sent by kind",
            self.sent.clone(),
        );
        r.register("members", "Known daemons by state", self.members.clone());
        r.register(
            "config_revision",
            "Configuration revision in effect",
            self.revision.clone(),
        );
        r.register_with_unit(
            "config_confirmed_age",
            "Time since a reader confirmed that the configuration is current",
            Unit::Seconds,
            self.config_age.clone(),
        );
        r.register(
            "config_refused",
            "Configuration revisions refused",
            self.config_refused.clone(),
        );
        r.register(
            "queries_in_progress",
            "Queries admitted and not answered",
            self.in_progress.clone(),
        );
        r.register(
            "admission_limit",
            "Queries that admission lets run at the same time",
            self.admission_limit.clone(),
        );
        r.register(
            "process_pauses",
            "Pauses of the process that were noticed",
            self.pauses.clone(),
        );
        r.register(
            "peer_bytes",
            "Bytes of messages between daemons without headers of IP, UDP, TCP and WebSocket",
            self.peer_bytes.clone(),
        );
        r.register(
            "peer_messages",
            "Messages between daemons",
            self.peer_messages.clone(),
        );
    }

    /// Counters of messages to and from other daemons.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Renders all metrics for a scrape.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail; only the encoding of a metric can.
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(err) => format!("# encoding failed: {err}\n"),
        }
    }

    /// Records an answered search.
    pub fn searched(
        &self,
        (tenant, class, group): (&TenantId, &ClassId, &GroupId),
        seconds: f64,
        answer: &Answer,
    ) {
        let labels = RequestLabels {
            tenant: tenant.to_string(),
            class: class.to_string(),
        };
        self.searches.get_or_create(&labels).inc();
        self.search_seconds.get_or_create(&labels).observe(seconds);
        if answer.coverage.missing.is_empty() {
            return;
        }
        self.incomplete.get_or_create(&labels).inc();
        for (_, reason) in &answer.coverage.missing {
            let labels = MissingLabels {
                group: group.to_string(),
                reason: reason.as_str(),
            };
            self.missing.get_or_create(&labels).inc();
        }
    }

    /// Records the outcome of a non-idempotent request.
    pub fn executed(
        &self,
        tenant: &TenantId,
        class: &ClassId,
        seconds: f64,
        outcome: &ExecuteOutcome,
    ) {
        let kind = match outcome {
            ExecuteOutcome::Done { .. } => "done",
            ExecuteOutcome::NotRun { .. } => "not_run",
            ExecuteOutcome::Unknown { .. } => "unknown",
        };
        self.executes.get_or_create(&KindLabel { kind }).inc();
        let labels = RequestLabels {
            tenant: tenant.to_string(),
            class: class.to_string(),
        };
        self.execute_seconds.get_or_create(&labels).observe(seconds);
    }

    /// Counts a refused request.
    pub fn refused(&self, kind: ErrorKind) {
        self.refusals
            .get_or_create(&KindLabel {
                kind: kind.as_str(),
            })
            .inc();
    }

    /// Counts a sub-request that was sent.
    pub fn sent(&self, group: &GroupId, kind: SentKind) {
        let labels = SentLabels {
            group: group.to_string(),
            kind: kind.as_str(),
        };
        self.sent.get_or_create(&labels).inc();
    }

    /// Sets the number of members in each state.
    pub fn set_members(&self, counts: impl IntoIterator<Item = (&'static str, usize)>) {
        for (state, count) in counts {
            self.members
                .get_or_create(&StateLabel { state })
                .set(count as i64);
        }
    }

    /// Sets the configuration revision in effect.
    pub fn set_revision(&self, revision: u64) {
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Sets the seconds since a reader confirmed the configuration.
    pub fn set_config_age(&self, seconds: f64) {
        self.config_age.set(seconds);
    }

    /// Counts a refused configuration revision.
    pub fn config_refused(&self) {
        self.config_refused.inc();
    }

    /// Sets the number of admitted queries in progress and the admission limit.
    pub fn set_admission(&self, in_progress: u32, limit: u32) {
        self.in_progress.set(i64::from(in_progress));
        self.admission_limit.set(i64::from(limit));
    }

    /// Counts a pause of the process.
    pub fn paused(&self) {
        self.pauses.inc();
    }
}
