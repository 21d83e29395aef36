//! A request in progress.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use jasminepond_routes::{ReleaseVersion, Repeat, Route, WeightedRoundRobin};
use jasminepond_types::Timestamp;

use crate::{
    latency::LatencyTracker,
    message::{CallKey, ConnKey, Reply},
    patience::Patience,
    server::ServerKey,
    service::ServiceKey,
};

/// Where the requests of a route go, resolved to services.
#[derive(Debug)]
pub(crate) enum Destination {
    Service(ServiceKey),
    Split(Vec<ServiceKey>, RefCell<WeightedRoundRobin>),
    Search {
        shards: Vec<ServiceKey>,
        top_k: usize,
        least: usize,
    },
}

/// What is observed of the requests of a route; kept over releases.
#[derive(Debug)]
pub(crate) struct RouteStats {
    pub(crate) objective: Duration,
    pub(crate) latency: RefCell<LatencyTracker>,
    pub(crate) patience: RefCell<Patience>,
}

impl RouteStats {
    pub(crate) fn new(objective: Duration) -> Self {
        Self {
            objective,
            latency: RefCell::new(LatencyTracker::new(objective)),
            patience: RefCell::default(),
        }
    }
}

/// A route of the release in force. A request keeps the one that it was routed
/// by, so that all its parts come from one version.
#[derive(Debug)]
pub struct ActiveRoute {
    pub(crate) route: Route,
    pub(crate) version: ReleaseVersion,
    pub(crate) destination: Destination,
    pub(crate) stats: Rc<RouteStats>,
    /// Equal on two daemons only if both know the same shards in the same order.
    pub(crate) shard_set: u64,
}

impl ActiveRoute {
    /// The route as it was configured.
    pub fn route(&self) -> &Route {
        &self.route
    }

    /// Version of the release that it belongs to.
    pub fn version(&self) -> ReleaseVersion {
        self.version
    }

    pub(crate) fn may_repeat(&self) -> bool {
        self.route.repeat == Repeat::Allowed
    }

    pub(crate) fn objective(&self) -> Duration {
        self.route.objective.duration()
    }

    /// Whether its requests go to several shards.
    pub fn is_search(&self) -> bool {
        matches!(self.destination, Destination::Search { .. })
    }

    /// Tells whether two daemons know the same shards of the route.
    pub fn shard_set(&self) -> u64 {
        self.shard_set
    }

    /// The shards of a search.
    pub(crate) fn shards(&self) -> &[ServiceKey] {
        match &self.destination {
            Destination::Search { shards, .. } => shards,
            _ => &[],
        }
    }

    /// Parts needed for an answer.
    pub(crate) fn least(&self) -> usize {
        match &self.destination {
            Destination::Search { least, .. } => *least,
            _ => 1,
        }
    }
}

/// Where a part of a request stands.
#[derive(Debug)]
pub(crate) enum PartState {
    /// It waits for a connection.
    Waiting,
    /// It was sent; at least one call is unanswered.
    Sent,
    /// It has its response.
    Done(Reply),
    /// It will have none, for this reason.
    Missing(&'static str),
}

#[derive(Debug)]
pub(crate) struct Part {
    pub(crate) service: ServiceKey,
    pub(crate) state: PartState,
    pub(crate) calls: Vec<CallKey>,
    /// Servers to which it was sent.
    pub(crate) tried: Vec<ServerKey>,
    /// Connections over which it was sent.
    pub(crate) conns: Vec<ConnKey>,
    /// Sends that may have run.
    pub(crate) runs: u32,
    /// Sends.
    pub(crate) sends: u32,
    /// The failure to pass on if there is no success.
    pub(crate) failure: Option<Reply>,
    /// Indexes of the shards that another daemon is asked for.
    pub(crate) delegated: Option<Rc<[usize]>>,
    /// Whether another daemon may have sent it before.
    pub(crate) repeat: bool,
    /// Shards that the part stands for.
    pub(crate) weight: usize,
}

impl Part {
    pub(crate) fn new(service: ServiceKey) -> Self {
        Self {
            service,
            state: PartState::Waiting,
            calls: Vec::new(),
            tried: Vec::new(),
            conns: Vec::new(),
            runs: 0,
            sends: 0,
            failure: None,
            delegated: None,
            repeat: false,
            weight: 1,
        }
    }

    /// A part that another daemon does.
    pub(crate) fn delegated(service: ServiceKey, shards: Rc<[usize]>) -> Self {
        Self {
            weight: shards.len(),
            delegated: Some(shards),
            ..Self::new(service)
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        matches!(self.state, PartState::Waiting | PartState::Sent)
    }
}

#[derive(Debug)]
pub(crate) struct Req {
    pub(crate) route: Rc<ActiveRoute>,
    pub(crate) arrived: Timestamp,
    pub(crate) deadline: Timestamp,
    /// Whether its objective had passed when it arrived, with earlier attempts.
    pub(crate) late: bool,
    /// When a search is to be answered with what is there.
    pub(crate) answer_by: Timestamp,
    /// Shards of a search, 1 for another request.
    pub(crate) shards: usize,
    /// Shards needed for an answer.
    pub(crate) least: usize,
    /// From here on, a search is answered as soon as it may be.
    pub(crate) overdue: bool,
    pub(crate) parts: Vec<Part>,
    pub(crate) done: usize,
    pub(crate) missing: usize,
    pub(crate) repeats: u32,
    pub(crate) over_budget: u32,
    pub(crate) last_server: Option<Arc<str>>,
}

impl Req {
    /// Whether no send of it can have run.
    pub(crate) fn not_run(&self) -> bool {
        self.parts.iter().all(|part| part.runs == 0)
    }
}
