//! Reports on routes and backend servers for operators.

use std::{sync::Arc, time::Duration};

use jasminepond_quarantine::Fingerprint;
use jasminepond_ratelimit::{LimitReport, Warmth};
use jasminepond_routes::{Route, ServiceName, Target};
use jasminepond_types::Timestamp;

use crate::{
    Forwarder, HeardLoad, ReqKey,
    evacuation::ZoneAccess,
    evenness::busiest_over_mean,
    server::{Reachability, Standing},
    service::Service,
};

/// A route in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteReport {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of matching requests.
    pub host: String,
    /// Path prefix of matching requests.
    pub prefix: String,
    /// Target of the route, for example `search over 20 shards`.
    pub target: String,
}

/// State of a backend server as this daemon observes it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerReport {
    /// Id of the server.
    pub id: Arc<str>,
    /// Service of the server.
    pub service: ServiceName,
    /// `sound`, `full`, `remote`, `stalled`, `leaving` or `unusable`, in the order in
    /// which servers are preferred.
    pub standing: &'static str,
    /// Reason for the standing.
    pub why: String,
    /// Cost of one more request, relative to an idle healthy server.
    pub cost: f64,
    /// Connections, open or opening.
    pub connections: usize,
    /// Maximum number of connections of this daemon at present.
    pub connection_limit: usize,
    /// Calls in progress.
    pub calls: usize,
    /// Load that it stated last.
    pub load: Option<HeardLoad>,
    /// Calls sent since the server is known.
    pub sends: u64,
    /// Rate limit that the server states.
    pub limit: Option<LimitReport>,
    /// Whether the server is cold, if its service limits cold servers.
    pub warm_up: Option<WarmUpReport>,
}

/// Whether a server is cold.
#[derive(Debug, Clone, PartialEq)]
pub struct WarmUpReport {
    /// What is presumed of it.
    pub warmth: Warmth,
    /// Requests per second that it takes while it is cold.
    pub per_second: f64,
    /// Its limit in force, unless it is warm.
    pub limit: Option<LimitReport>,
}

/// Calls of this daemon to the servers of a service in the last complete window of five
/// minutes.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: ServiceName,
    /// Servers that were known during the whole window and are not leaving.
    pub servers: usize,
    /// Calls to them.
    pub sends: u64,
    /// Calls to the busiest of them relative to the mean, or `None` if there were too few
    /// calls to tell.
    pub busiest_over_mean: Option<f64>,
    /// Share of the calls for which servers in the own zone are preferred.
    pub local_share: f64,
}

/// Queued parts of one class of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QueueReport {
    /// The class, 0 is the most urgent one.
    pub priority: u32,
    /// Queued parts.
    pub parts: usize,
    /// Those whose objective has passed.
    pub late: usize,
    /// Services with queued parts of the class.
    pub services: usize,
    /// Largest number of callers that are served in turn at one service.
    pub callers: usize,
}

/// A call in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallReport {
    /// The request.
    pub req: ReqKey,
    /// Identifies equal requests, or `None` if the request has ended.
    pub fingerprint: Option<Fingerprint>,
    /// Time since the call was sent.
    pub unanswered: Duration,
    /// Number of parts of the request that are answered.
    pub parts_done: usize,
}

impl Forwarder {
    /// The routes in force, by host and prefix.
    pub fn route_reports(&self) -> Vec<RouteReport> {
        let report = |route: &Route| RouteReport {
            name: route.name.clone(),
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            target: describe(&route.target),
        };
        let mut reports: Vec<_> = self.active_routes().map(report).collect();
        reports.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        reports
    }

    /// The known backend servers, by service and id.
    pub fn server_reports(&self, now: Timestamp) -> Vec<ServerReport> {
        let settings = self.settings();
        let report = |server: &crate::server::Server| {
            let lost = self
                .contact_lost_for(now)
                .filter(|_| self.is_backend(server));
            let standing = server.standing(now, settings).filter(|_| lost.is_none());
            let why = match lost {
                Some(time) => format!("no server has responded for {} ms", time.as_millis()),
                None => server.why(now, standing),
            };
            ServerReport {
                id: server.backend.id.clone(),
                service: server.backend.service.clone(),
                standing: name(standing),
                why,
                cost: server.cost(now, settings),
                connections: server.conns.len(),
                connection_limit: self.connection_limit(now, server),
                calls: server.calls.len(),
                load: server.heard,
                sends: server.sends.total,
                limit: self.limit_report(now, server),
                warm_up: self.warm_up_report(now, server),
            }
        };
        let mut reports: Vec<_> = self.known_servers().map(report).collect();
        let place = |report: &ServerReport| (report.service.clone(), report.id.clone());
        reports.sort_by_key(place);
        reports
    }

    /// How evenly this daemon uses the servers of each service, by name.
    pub fn service_reports(&self, now: Timestamp) -> Vec<ServiceReport> {
        let report = |service: &Service| {
            let servers = service.servers.iter().map(|key| self.server(*key));
            let staying = servers.filter(|server| server.leaving_since.is_none());
            let counts: Vec<_> = staying
                .filter_map(|server| server.sends.last(now))
                .collect();
            ServiceReport {
                service: service.name.clone(),
                servers: counts.len(),
                sends: counts.iter().copied().map(u64::from).sum(),
                busiest_over_mean: busiest_over_mean(&counts),
                local_share: service.local_share,
            }
        };
        let mut reports: Vec<_> = self.known_services().map(report).collect();
        reports.sort_by(|a, b| a.service.cmp(&b.service));
        reports
    }

    /// Highest [`ServiceReport::busiest_over_mean`] of all services.
    pub fn busiest_over_mean(&self, now: Timestamp) -> Option<f64> {
        let reports = self.service_reports(now).into_iter();
        let ratios = reports.filter_map(|report| report.busiest_over_mean);
        ratios.max_by(f64::total_cmp)
    }
}

fn describe(target: &Target) -> String {
    match target {
        Target::Service(service) => service.to_string(),
        Target::Split(parts) => {
            let part = |part: &jasminepond_routes::WeightedService| {
                format!("{} to {}", part.weight, part.service)
            };
            let parts: Vec<_> = parts.iter().map(part).collect();
            format!("split, {}", parts.join(", "))
        }
        Target::Search(search) => format!("search over {} shards", search.shards.len()),
    }
}

fn name(standing: Option<Standing>) -> &'static str {
    match standing {
        Some(Standing::Sound) => "sound",
        Some(Standing::Full) => "full",
        Some(Standing::Remote) => "remote",
        Some(Standing::Stalled) => "stalled",
        Some(Standing::Leaving) => "leaving",
        None => "unusable",
    }
}

impl crate::server::Server {
    fn why(&self, now: Timestamp, standing: Option<Standing>) -> String {
        let millis = |time: Duration| time.as_millis();
        match (standing, self.reachability, self.leaving_since) {
            (None, ..) if self.unread => "it does not read the requests sent to it".to_owned(),
            (None, ..) if self.address_taken => "another server answered at its address".to_owned(),
            (None, ..) if !self.back_off_left(now).is_zero() => {
                let wait = millis(self.back_off_left(now));
                format!("it wants no requests for {wait} ms")
            }
            (None, ..) if self.access == ZoneAccess::Evacuated => {
                "its availability zone is evacuated".to_owned()
            }
            (None, ..) if !self.access.is_open(now) => {
                let wait = millis(self.access.opens_in(now));
                format!("its availability zone was evacuated, used again in {wait} ms")
            }
            (None, Reachability::Down { until }, _) => {
                let wait = millis(until.since(now));
                format!("no connection can be opened, tried again in {wait} ms")
            }
            (None | Some(Standing::Leaving), _, Some(since)) => {
                let age = millis(now.since(since));
                match self.stopping {
                    true => format!("it said {age} ms ago that it stops"),
                    false => format!("it drains or its entry went {age} ms ago"),
                }
            }
            (None, Reachability::Up, None) if !self.may_connect() => {
                "other daemons use all its connections".to_owned()
            }
            (None, Reachability::Up, None) if self.room.is_blocked(now) => {
                let wait = millis(self.room.blocked_until().since(now));
                format!("it is at its connection limit, tried again in {wait} ms")
            }
            (None, Reachability::Up, None) => String::new(),
            (Some(Standing::Stalled), ..) => "a call is unanswered for too long".to_owned(),
            (Some(Standing::Full), ..) => "it rejected a call a moment ago".to_owned(),
            (Some(Standing::Remote), ..) => "other daemons keep the connections".to_owned(),
            (Some(_), ..) => "it answers, or was not tried".to_owned(),
        }
    }
}
