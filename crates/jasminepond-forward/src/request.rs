//! A request in progress.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use jasminepond_quarantine::Fingerprint;
use jasminepond_routes::{ReleaseVersion, Repeat, Route, WeightedRoundRobin};
use jasminepond_types::Timestamp;

use crate::{
    CallerId,
    caller_timeouts::CallerTimeouts,
    latency::LatencyTracker,
    message::{CallKey, ConnKey, Reply, SearchId},
    server::ServerKey,
    service::ServiceKey,
    terms::SearchTerms,
};

/// Target of a route, resolved to services.
#[derive(Debug)]
pub(crate) enum Destination {
    Service(ServiceKey),
    Split(Vec<ServiceKey>, RefCell<WeightedRoundRobin>),
    Search {
        shards: Vec<ServiceKey>,
        top_k: usize,
        min_shards: usize,
    },
}

impl Destination {
    /// The service of the next request that is not a search.
    pub(crate) fn choose_service(&self) -> Option<ServiceKey> {
        match self {
            Self::Service(service) => Some(*service),
            Self::Split(services, chooser) => {
                let chosen = chooser.borrow_mut().choose().unwrap_or(0);
                services.get(chosen).copied()
            }
            Self::Search { .. } => None,
        }
    }
}

/// Statistics of the requests of a route, kept across releases.
#[derive(Debug)]
pub(crate) struct RouteStats {
    pub(crate) objective: Duration,
    pub(crate) latency: RefCell<LatencyTracker>,
    pub(crate) caller_timeouts: RefCell<CallerTimeouts>,
}

impl RouteStats {
    pub(crate) fn new(objective: Duration) -> Self {
        Self {
            objective,
            latency: RefCell::new(LatencyTracker::new(objective)),
            caller_timeouts: RefCell::default(),
        }
    }
}

/// A route of the release in force. A request keeps the route by which it was routed, so
/// that all of its parts belong to one version.
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
    /// The route as configured.
    pub fn route(&self) -> &Route {
        &self.route
    }

    /// Version of the release that contains the route.
    pub fn version(&self) -> ReleaseVersion {
        self.version
    }

    pub(crate) fn may_repeat(&self) -> bool {
        self.route.repeat == Repeat::Allowed
    }

    pub(crate) fn objective(&self) -> Duration {
        self.route.objective.duration()
    }

    /// Whether requests of the route are searches over shards.
    pub fn is_search(&self) -> bool {
        matches!(self.destination, Destination::Search { .. })
    }

    /// Fingerprint by which two daemons check that they know the same shards.
    pub fn shard_set(&self) -> u64 {
        self.shard_set
    }

    /// The terms of a search, or `None` if requests of the route are not searches.
    pub(crate) fn terms(&self) -> Option<SearchTerms> {
        SearchTerms::of(&self.route, self.version)
    }

    /// The search route with other terms.
    pub(crate) fn with_terms(&self, terms: &SearchTerms) -> Self {
        Self {
            route: terms.apply(&self.route),
            version: terms.release,
            destination: Destination::Search {
                shards: self.shards().to_vec(),
                top_k: terms.top_k,
                min_shards: self.min_shards(),
            },
            stats: self.stats.clone(),
            shard_set: self.shard_set,
        }
    }

    /// Whether another daemon has handled a part of a search by the terms of this route.
    pub(crate) fn is_route_of(&self, reply: &Reply) -> bool {
        let release = reply.peer.as_ref().map(|peer| peer.release);
        !self.is_search() || release == Some(self.version)
    }

    /// The shards of a search.
    pub(crate) fn shards(&self) -> &[ServiceKey] {
        match &self.destination {
            Destination::Search { shards, .. } => shards,
            _ => &[],
        }
    }

    /// Number of shards that an answer must contain.
    pub(crate) fn min_shards(&self) -> usize {
        match &self.destination {
            Destination::Search { min_shards, .. } => *min_shards,
            _ => 1,
        }
    }
}

/// State of a part of a request.
#[derive(Debug)]
pub(crate) enum PartState {
    /// Queued until a connection is free.
    Waiting,
    /// Sent; at least one call is in progress.
    Sent,
    /// Not sent while the request is suspected of ending servers.
    Held,
    /// Answered successfully.
    Done(Reply),
    /// Failed for this reason.
    Missing(&'static str),
}

/// What another daemon handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Delegated {
    /// Shards of a search, by their indexes in the route.
    Shards(Rc<[usize]>),
    /// A request to one server of this service.
    Whole(ServiceKey),
}

#[derive(Debug)]
pub(crate) struct Part {
    pub(crate) service: ServiceKey,
    pub(crate) state: PartState,
    pub(crate) calls: Vec<CallKey>,
    /// Servers to which the part was sent.
    pub(crate) tried: Vec<ServerKey>,
    /// Connections over which the part was sent.
    pub(crate) conns: Vec<ConnKey>,
    /// Number of sends that may have run.
    pub(crate) runs: u32,
    pub(crate) sends: u32,
    /// Error response to forward if no send succeeds.
    pub(crate) failure: Option<Reply>,
    /// What another daemon handles. The service is then one whose servers are daemons.
    pub(crate) delegated: Option<Delegated>,
    /// Number of other daemons to which the part was sent.
    pub(crate) delegations: u32,
    /// Maximum number of servers to which another daemon may send the part.
    pub(crate) max_attempts: u32,
    /// Whether another daemon may already have sent the sub-requests.
    pub(crate) repeat: bool,
    /// Service in whose queue the part is.
    pub(crate) queued: Option<ServiceKey>,
    /// Number of shards that the part covers.
    pub(crate) weight: usize,
    /// Whether it is sent once only, because it is suspected of ending the servers of its
    /// service.
    pub(crate) in_trial: bool,
    /// The other daemon that has the results of the rest of the search, for which this part
    /// asks.
    pub(crate) resumes: Option<ServerKey>,
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
            delegations: 0,
            max_attempts: u32::MAX,
            repeat: false,
            queued: None,
            weight: 1,
            in_trial: false,
            resumes: None,
        }
    }

    /// A part of a search that is delegated to another daemon.
    pub(crate) fn delegated(service: ServiceKey, shards: Rc<[usize]>) -> Self {
        Self {
            weight: shards.len(),
            delegated: Some(Delegated::Shards(shards)),
            ..Self::new(service)
        }
    }

    /// A request for a service that another daemon sends on.
    pub(crate) fn relayed(relays: ServiceKey, service: ServiceKey) -> Self {
        Self {
            delegated: Some(Delegated::Whole(service)),
            ..Self::new(relays)
        }
    }

    /// Whether this daemon sends it to the servers of its shard, unless it has ended.
    pub(crate) fn is_local_and_open(&self) -> bool {
        self.delegated.is_none() && self.is_open()
    }

    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, PartState::Waiting)
    }

    pub(crate) fn is_open(&self) -> bool {
        matches!(
            self.state,
            PartState::Waiting | PartState::Sent | PartState::Held
        )
    }
}

/// The only part of a suspected request that is sent, until it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Trial {
    pub(crate) part: usize,
    /// Number of its sends before that may have run.
    pub(crate) runs_before: u32,
}

#[derive(Debug)]
pub(crate) struct Req {
    pub(crate) route: Rc<ActiveRoute>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) caller: CallerId,
    pub(crate) draw: u64,
    pub(crate) arrived: Timestamp,
    pub(crate) deadline: Timestamp,
    /// Whether the objective had passed at arrival, counting earlier attempts.
    pub(crate) late: bool,
    /// When a search is answered with the results received so far.
    pub(crate) answer_by: Timestamp,
    /// Number of shards of a search, 1 for other requests.
    pub(crate) shards: usize,
    /// Number of shards that an answer must contain.
    pub(crate) min_shards: usize,
    /// Whether `answer_by` has passed, after which a search is answered as soon as
    /// `min_shards` are done.
    pub(crate) past_answer_by: bool,
    /// Whether another daemon sent it. It is not delegated again.
    pub(crate) from_peer: bool,
    /// Maximum number of servers to which each part may be sent.
    pub(crate) max_attempts: u32,
    /// `Retry-After` of another daemon that refused the request.
    pub(crate) retry_after: Duration,
    pub(crate) parts: Vec<Part>,
    pub(crate) done: usize,
    pub(crate) missing: usize,
    pub(crate) repeats: u32,
    pub(crate) over_budget: u32,
    pub(crate) last_server: Option<Arc<str>>,
    /// Whether a server has answered any part of it.
    pub(crate) answered: bool,
    /// Number of calls whose connections ended, while no part is answered. Zero again once the
    /// servers turn out to run.
    pub(crate) cut: u32,
    /// Those of them whose servers have ended.
    pub(crate) ended: u32,
    /// Fingerprints of their parts, and hashes of the processes that ended.
    pub(crate) ends: Vec<(Fingerprint, u64)>,
    pub(crate) trial: Option<Trial>,
    /// Whether another daemon has checked that it may be sent although it is suspected.
    pub(crate) admitted: bool,
    /// Whether it was given up because it is suspected.
    pub(crate) given_up: bool,
    /// Identifies the search at the daemon that the caller asked.
    pub(crate) search: SearchId,
    /// Whether another daemon that delegated the search may ask for the rest of it.
    pub(crate) resumable: bool,
    /// Whether it is the rest of a search that was answered in part.
    pub(crate) resumed: bool,
    /// Whether the search was answered in part, and its calls in progress are kept in case the
    /// other daemon asks for the rest.
    pub(crate) parked: bool,
}

impl Req {
    /// Whether it is sent to no further server for now, but for a trial.
    pub(crate) fn is_restrained(&self) -> bool {
        !self.answered && (self.cut > 0 || self.trial.is_some())
    }

    /// Whether a part may be sent now.
    pub(crate) fn may_send(&self, index: usize) -> bool {
        let in_trial =
            |trial: Trial| trial.part == index && self.parts[index].runs == trial.runs_before;
        !self.parked && (!self.is_restrained() || self.trial.is_some_and(in_trial))
    }

    /// Whether its sends are trials: a single server runs it at a time.
    pub(crate) fn in_trial(&self) -> bool {
        !self.answered && (self.trial.is_some() || self.admitted && self.parts.len() == 1)
    }

    /// Whether the request has certainly not run.
    pub(crate) fn not_run(&self) -> bool {
        self.parts.iter().all(|part| part.runs == 0)
    }
}
