//! The forwarding state machine and its inputs.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap, VecDeque},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use jasminepond_quarantine::{Fingerprint, Quarantine};
use jasminepond_ratelimit::{LimitReport, ProcessId, RateLimiter};
use jasminepond_routes::{
    Release, ReleaseVersion, Route, RouteTable, ServiceName, Target, WeightedRoundRobin,
};
use jasminepond_types::{ErrorKind, Timestamp};
use slotmap::SlotMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    Balance, Demand, RepeatBudget, ShardGroups,
    contact::Contact,
    departed::{DepartedServers, Restriction},
    evacuation::{Evacuation, ZoneAccess},
    message::{
        Action, Arrival, Backend, BackendState, CallKey, ConnKey, ReqKey, Scope, SearchId,
        ServerEvent, Verdict,
    },
    report::CallReport,
    request::{ActiveRoute, Destination, Part, Req, RouteStats},
    server::{Reachability, Server, ServerKey},
    service::{Service, ServiceKey},
    settings::ForwardSettings,
    terms::SearchTerms,
    timers::{Timer, Timers},
};

mod admit;
mod balance;
mod cold;
mod connect;
mod contact;
mod delegate;
mod evacuate;
mod limits;
mod place;
mod queued;
mod relay;
mod resume;
mod settle;
mod suspects;
mod unread;

pub use admit::AdmissionCounts;
use admit::Admitted;
pub use connect::ConnectionCounts;
pub use delegate::{DelegationRequest, Peer};
use place::Attempt;
use suspects::CutCall;

/// Connection limit per server for services that the release does not specify.
const DEFAULT_MAX_CONNECTIONS: u32 = 16;

/// A call to a backend server.
#[derive(Debug)]
struct Call {
    req: ReqKey,
    part: usize,
    server: ServerKey,
    conn: ConnKey,
    sent: Timestamp,
    /// Whether the part was sent before.
    repeated: bool,
    /// Whether a hedged send was already granted or refused by the budget.
    hedge_decided: bool,
    /// Whether the server is another daemon.
    delegated: bool,
    route: Rc<ActiveRoute>,
    fingerprint: Fingerprint,
    /// Whether this is the only send of a suspected request.
    in_trial: bool,
    /// Whether a server has answered another part of the request.
    request_answered: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnState {
    Opening,
    /// Opened to a server that has reset others, and not used yet.
    Fresh,
    Idle {
        since: Timestamp,
        until: Option<Timestamp>,
    },
    Busy(CallKey),
    /// A health request was sent at this time.
    Health(Timestamp),
}

#[derive(Debug)]
struct Conn {
    server: ServerKey,
    state: ConnState,
    opened: Timestamp,
    used: bool,
}

/// Gauges of the forwarder's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Status {
    /// Version of the release in force.
    pub version: ReleaseVersion,
    /// Routes of the release in force.
    pub routes: usize,
    /// Known backend servers.
    pub servers: usize,
    /// Servers to which no connection can be opened.
    pub down: usize,
    /// Servers that state a rate limit.
    pub limited: usize,
    /// Availability zones that are evacuated.
    pub evacuated_zones: usize,
    /// Servers that get no requests because of it.
    pub held_out: usize,
    /// Requests in progress.
    pub requests: usize,
    /// Calls in progress.
    pub calls: usize,
    /// Connections, open or opening.
    pub connections: usize,
    /// Request parts that wait for a connection.
    pub waiting: usize,
    /// Shards that cannot process all of the load, as far as this daemon knows.
    pub overloaded_shards: usize,
    /// Searches refused and shards left out because of that, since the start.
    pub admission: AdmissionCounts,
}

/// Size of the set of daemons that share connections and the budget for repeated
/// sends, and the place of this daemon in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cluster {
    /// Number of daemons, including this one.
    pub daemons: u32,
    /// Number of daemons before this one in the order that all daemons agree on.
    pub rank: u32,
}

impl Default for Cluster {
    fn default() -> Self {
        // Used until the daemons are known: slightly more than the 6 or 7 of a site.
        Self {
            daemons: 8,
            rank: 0,
        }
    }
}

/// Decides how requests are forwarded.
#[derive(Debug, Default)]
pub struct Forwarder {
    settings: ForwardSettings,
    balance: Balance,
    /// Availability zones of the running daemons, by rank.
    daemon_zones: BTreeMap<u32, Arc<str>>,
    cluster: Option<Cluster>,
    peers: Vec<Peer>,
    /// Groups of shards and the daemons that handle them.
    shard_groups: ShardGroups,
    /// Demand for which the groups were computed.
    demand: Demand,
    /// Shards of each search route of the release in force.
    search_shards: Vec<Vec<ServiceKey>>,
    version: Option<ReleaseVersion>,
    /// Newest release by which another daemon routed a request of this one.
    newest_release: ReleaseVersion,
    table: RouteTable<Rc<ActiveRoute>>,
    active: Vec<Rc<ActiveRoute>>,
    /// When the release in force took effect.
    released: Timestamp,
    services: SlotMap<ServiceKey, Service>,
    services_by_name: HashMap<ServiceName, ServiceKey>,
    servers: SlotMap<ServerKey, Server>,
    servers_by_id: HashMap<Arc<str>, ServerKey>,
    servers_by_process: HashMap<ProcessId, ServerKey>,
    limiter: RateLimiter,
    /// Number of health requests sent.
    health_requests: u64,
    connection_counts: ConnectionCounts,
    departed: DepartedServers,
    evacuation: Evacuation,
    contact: Contact,
    /// When contact is checked next.
    contact_check: Option<Timestamp>,
    /// Number of rounds of probes.
    probe_round: u64,
    conns: SlotMap<ConnKey, Conn>,
    calls: SlotMap<CallKey, Call>,
    reqs: SlotMap<ReqKey, Req>,
    stats: HashMap<Arc<str>, Rc<RouteStats>>,
    quarantine: Quarantine,
    /// When messages about suspected requests are sent next.
    quarantine_tick: Option<Timestamp>,
    /// Calls whose connections ended, until it is known whether their servers have.
    cut_calls: Vec<CutCall>,
    /// When servers were last probed because of such calls.
    links_probed_at: Timestamp,
    admission: admit::Admission,
    /// Searches that were answered in part, by id and the first shard: a daemon may handle
    /// several parts of one search.
    parked: BTreeMap<(SearchId, ServiceKey), ReqKey>,
    timers: Timers,
    queue_waits: queued::Waits,
    actions: VecDeque<Action>,
}

impl Forwarder {
    /// Creates a forwarder without routes and servers.
    pub fn new(settings: ForwardSettings) -> Self {
        Self {
            limiter: RateLimiter::new(settings.instance.clone()),
            quarantine: Quarantine::new(
                settings.quarantine.clone(),
                xxh3_64(settings.instance.as_bytes()),
            ),
            balance: Balance::new(&settings.instance),
            settings,
            ..Self::default()
        }
    }

    /// Returns the next action to carry out, in order.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front().or_else(|| {
            let (to, message) = self.limiter.next_message()?;
            Some(Action::SendDatagram { to, message })
        })
    }

    /// Time at which [`Forwarder::tick`] must be called next.
    pub fn next_tick(&self) -> Option<Timestamp> {
        self.timers.next()
    }

    /// Version of the release in force, if there is one.
    pub fn version(&self) -> Option<ReleaseVersion> {
        self.version
    }

    /// When the release in force took effect.
    pub fn released(&self) -> Timestamp {
        self.released
    }

    pub(crate) fn active_routes(&self) -> impl Iterator<Item = &Route> {
        self.active.iter().map(|active| active.route())
    }

    pub(crate) fn known_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers_by_id.values().map(|key| &self.servers[*key])
    }

    pub(crate) fn known_services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    pub(crate) fn server(&self, key: ServerKey) -> &Server {
        &self.servers[key]
    }

    pub(crate) fn limit_report(&self, now: Timestamp, server: &Server) -> Option<LimitReport> {
        self.limiter.report(now, server.process)
    }

    pub(crate) fn settings(&self) -> &ForwardSettings {
        &self.settings
    }

    /// Gauges for operators.
    pub fn status(&self) -> Status {
        let down = |server: &&Server| matches!(server.reachability, Reachability::Down { .. });
        let limited = |server: &&Server| self.limiter.limit(server.process).is_some();
        let held_out = |key: &&ServerKey| self.servers[**key].access == ZoneAccess::Evacuated;
        Status {
            version: self.version.unwrap_or_default(),
            routes: self.active.len(),
            servers: self.servers_by_id.len(),
            down: self.servers.values().filter(down).count(),
            limited: self.servers.values().filter(limited).count(),
            evacuated_zones: self.evacuation.iter().count(),
            held_out: self.servers_by_id.values().filter(held_out).count(),
            requests: self.reqs.len(),
            calls: self.calls.len(),
            connections: self.conns.len(),
            overloaded_shards: self.overloaded_shards(),
            admission: self.admission.counts,
            waiting: self.services.values().map(|s| s.queue.len()).sum(),
        }
    }

    /// Sets the daemons that share connections and the budget for repeated sends.
    /// Until this is called, no connection is opened ahead of a request.
    pub fn set_cluster(&mut self, now: Timestamp, cluster: Cluster) {
        if self.cluster == Some(cluster) {
            return;
        }
        self.cluster = Some(cluster);
        self.settings.repeat.daemons = cluster.daemons.max(1);
        self.regroup(now);
    }

    /// Performs [`Forwarder::set_peers`] and [`Forwarder::set_cluster`] in one step.
    pub fn set_daemons(&mut self, now: Timestamp, cluster: Cluster, peers: Vec<Peer>) {
        if self.cluster == Some(cluster) && self.peers == peers {
            return;
        }
        let lost = |peer: &&Peer| peer.running && !peer.reaches_servers;
        let before = self.peers.iter().filter(lost).count();
        self.cluster = Some(cluster);
        self.peers = peers;
        self.settings.repeat.daemons = cluster.daemons.max(1);
        self.regroup(now);
        if self.peers.iter().filter(lost).count() > before {
            // Partitions usually affect several daemons.
            self.suspect_contact(now);
        }
    }

    fn log_server_event(&mut self, server: ServerKey, event: ServerEvent) {
        let server = self.servers[server].backend.id.clone();
        self.actions
            .push_back(Action::LogServerEvent { server, event });
    }

    fn preconnect_all(&mut self, now: Timestamp) {
        // Daemons connect in different orders, which spreads the work of new connections.
        let seed = xxh3_64(self.settings.instance.as_bytes());
        let place = |(id, _): &(&Arc<str>, &ServerKey)| xxh3_64_with_seed(id.as_bytes(), seed);
        let mut servers: Vec<_> = self.servers_by_id.iter().collect();
        servers.sort_by_key(place);
        let servers: Vec<_> = servers.into_iter().map(|(_, key)| *key).collect();
        for server in servers {
            self.preconnect(now, server);
        }
    }

    /// Applies a release. Returns `false` and changes nothing if the release is not
    /// newer than the one in force.
    pub fn put_release(&mut self, now: Timestamp, release: &Release) -> bool {
        if self
            .version
            .is_some_and(|version| release.version <= version)
        {
            return false;
        }
        for service in self.services.values_mut() {
            service.routed =
                service.is_helper_group && (!service.is_relays || self.contact.is_lost());
        }
        self.search_shards.clear();
        let mut table = RouteTable::default();
        let mut active = Vec::with_capacity(release.routes.len());
        for route in &release.routes {
            let route = Rc::new(self.activate(release, route));
            table.insert(&route.route().host, &route.route().prefix, route.clone());
            active.push(route);
        }
        self.table = table;
        self.active = active;
        self.released = now;
        self.version = Some(release.version);
        let live = |name: &Arc<str>| release.routes.iter().any(|route| route.name == *name);
        self.stats.retain(|name, _| live(name));
        for (name, spec) in &release.services {
            if let Some(&key) = self.services_by_name.get(name) {
                self.services[key].max_connections = spec.max_connections;
                self.set_warm_up(now, key, spec);
            }
        }
        self.regroup(now);
        true
    }

    fn activate(&mut self, release: &Release, route: &Route) -> ActiveRoute {
        let mut resolve = |name: &ServiceName| {
            let key = self.service(name);
            let service = &mut self.services[key];
            service.routed = true;
            if let Some(spec) = release.services.get(name) {
                service.max_connections = spec.max_connections;
            }
            key
        };
        let destination = match &route.target {
            Target::Service(name) => Destination::Service(resolve(name)),
            Target::Split(parts) => {
                let services = parts.iter().map(|part| resolve(&part.service)).collect();
                let chooser = WeightedRoundRobin::new(parts.iter().map(|part| part.weight));
                Destination::Split(services, RefCell::new(chooser))
            }
            Target::Search(search) => Destination::Search {
                shards: search.shards.iter().map(resolve).collect(),
                top_k: search.top_k,
                min_shards: shards_for_coverage(search.shards.len(), search.min_coverage),
            },
        };
        let mut shard_set = 0;
        if let (Destination::Search { shards, .. }, Target::Search(search)) =
            (&destination, &route.target)
        {
            self.search_shards.push(shards.clone());
            let names: Vec<_> = search.shards.iter().map(ServiceName::as_str).collect();
            shard_set = xxh3_64(names.join("\n").as_bytes());
        }
        let stats = self.stats.entry(route.name.clone()).or_insert_with(|| {
            let objective = route.objective.duration();
            Rc::new(RouteStats::new(objective))
        });
        ActiveRoute {
            route: route.clone(),
            version: release.version,
            destination,
            stats: stats.clone(),
            shard_set,
        }
    }

    fn service(&mut self, name: &ServiceName) -> ServiceKey {
        if let Some(key) = self.services_by_name.get(name) {
            return *key;
        }
        let budget = RepeatBudget::new(self.settings.repeat);
        let service = Service::new(name.clone(), DEFAULT_MAX_CONNECTIONS, budget);
        let key = self.services.insert(service);
        self.services_by_name.insert(name.clone(), key);
        key
    }

    /// Finds the route of a request in the release in force.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<ActiveRoute>> {
        self.table.find(host, path).cloned()
    }

    /// Finds the shards of a part of a search that another daemon delegates, and returns a route
    /// with the terms of that search. Returns `None` if the release in force has no route over
    /// the same shards: this daemon then keeps no connections to their servers.
    ///
    /// Builds before the terms do not state any. As their `top_k` is unknown, all records are
    /// returned to them.
    pub fn route_of_part(
        &self,
        host: &str,
        path: &str,
        shard_set: u64,
        terms: Option<&SearchTerms>,
    ) -> Option<Rc<ActiveRoute>> {
        let is_over_shards =
            |route: &&Rc<ActiveRoute>| route.is_search() && route.shard_set == shard_set;
        let matching = self.table.find(host, path).filter(is_over_shards);
        let route = matching.or_else(|| self.active.iter().find(is_over_shards))?;
        let own = route.terms()?;
        let terms = terms.copied().unwrap_or(SearchTerms {
            top_k: usize::MAX,
            ..own
        });
        Some(match terms == own {
            true => route.clone(),
            false => Rc::new(route.with_terms(&terms)),
        })
    }

    /// Handles a new or changed entry of a backend server.
    pub fn put_backend(&mut self, now: Timestamp, backend: Backend) {
        let service = self.service(&backend.service);
        if let Some(&key) = self.servers_by_id.get(&backend.id) {
            let server = &mut self.servers[key];
            let known = &server.backend;
            let same = known.address == backend.address
                && known.started == backend.started
                && server.service == service;
            if same {
                server.update(now, backend);
                self.update_access(now, key);
                self.guard_server(now, key);
                let server = &self.servers[key];
                if let Some(since) = server.leaving_since {
                    let end = since + self.settings.leave_grace();
                    self.timers.set(end, Timer::Server(key));
                }
                self.preconnect(now, key);
                return;
            }
            // A different process under the same id: the known state does not apply to it.
            self.retire(now, key);
        }
        let restriction = self.departed.restriction_of(&backend);
        if restriction == Some(Restriction::Stopping) {
            return;
        }
        if backend.state == BackendState::Draining {
            // The time at which draining began is unknown: the grace period may be over,
            // or this daemon has retired the server and its entry is written again.
            return;
        }
        let id = backend.id.clone();
        let server = Server::new(now, backend, service);
        let process = server.process;
        let key = self.servers.insert(server);
        self.servers_by_process.insert(process, key);
        self.guard_server(now, key);
        self.start_usage_reports(now, key);
        if let Some(Restriction::BackOffUntil(until)) = restriction {
            self.back_off(key, until);
        }
        self.servers_by_id.insert(id, key);
        self.services[service].servers.push(key);
        self.update_access(now, key);
        if self.is_new_zone(key) {
            self.regroup(now);
        }
        self.assign_group(service);
        self.assign_servers(now, service);
        self.preconnect(now, key);
    }

    /// Handles the removal of a backend server's entry. The server may still be used
    /// for [`ForwardSettings::lapse_grace`] if no other server is left.
    pub fn remove_backend(&mut self, now: Timestamp, id: &str) {
        self.departed.on_entry_removed(id);
        let Some(&key) = self.servers_by_id.get(id) else {
            return;
        };
        let server = &mut self.servers[key];
        let since = *server.leaving_since.get_or_insert(now);
        let end = since + self.settings.leave_grace();
        self.timers.set(end, Timer::Server(key));
    }

    /// Id of the server of a connection.
    pub fn server_of(&self, conn: ConnKey) -> Option<Arc<str>> {
        let server = self.servers.get(self.conns.get(conn)?.server)?;
        Some(server.backend.id.clone())
    }

    /// The call in progress on a connection, for logs.
    pub fn call_on(&self, now: Timestamp, conn: ConnKey) -> Option<CallReport> {
        let ConnState::Busy(call) = self.conns.get(conn)?.state else {
            return None;
        };
        let call = self.calls.get(call)?;
        let req = self.reqs.get(call.req);
        Some(CallReport {
            req: call.req,
            fingerprint: req.map(|req| req.fingerprint),
            unanswered: now.since(call.sent),
            parts_done: req.map_or(0, |req| req.done),
        })
    }

    /// Accepts a complete request of a caller.
    pub fn submit(&mut self, now: Timestamp, arrival: Arrival) -> ReqKey {
        let route = arrival.route;
        let objective = route.objective();
        let timeout = arrival.time_left.min(route.route.timeout.duration());
        let deadline = now + timeout;
        let spent = route
            .stats
            .caller_timeouts
            .borrow_mut()
            .observe(arrival.time_left);
        let late = spent >= objective;
        let delegated = arrival.delegated.as_ref();
        if delegated.is_some_and(|delegated| self.is_relayed_here(delegated)) {
            // The asking daemon may be one of several that are partitioned.
            self.suspect_contact(now);
        }
        let repeat = delegated.is_some_and(|delegated| delegated.repeat);
        let only = delegated.and_then(|delegated| match &delegated.scope {
            Scope::Shards(shards) => Some((&shards[..], delegated.answer_within)),
            Scope::Whole => None,
        });
        let mut refused = None;
        let parts = match &route.destination {
            Destination::Search { shards, .. } if only.is_some() => {
                self.search_parts(now, shards, only.map(|(shards, _)| shards), &[])
            }
            Destination::Search { shards, .. } => {
                match self.admit_search(now, &route, arrival.caller, arrival.fingerprint, spent) {
                    Admitted::Without(left_out) => {
                        let mut parts = self.search_parts(now, shards, None, &left_out);
                        parts.extend(self.left_out_parts(&route, &left_out));
                        parts
                    }
                    Admitted::Refused(retry_after) => {
                        refused = Some(retry_after);
                        Vec::new()
                    }
                }
            }
            single => {
                let service = single.choose_service();
                let part = |service| self.single_part(now, service, delegated.is_some());
                service.map(part).into_iter().collect()
            }
        };
        let answer_by = match only {
            Some((_, answer_within)) => answer_within,
            None => {
                let answer_by = objective.saturating_sub(self.settings.answer_margin);
                answer_by.max(objective / 2)
            }
        };
        let shards = parts.iter().map(|part| part.weight).sum();
        let key = self.reqs.insert(Req {
            fingerprint: arrival.fingerprint,
            caller: arrival.caller,
            draw: arrival.draw,
            arrived: now,
            deadline,
            late,
            answer_by: now + answer_by,
            past_answer_by: false,
            shards,
            // The delegating daemon checks the coverage.
            min_shards: match (only, delegated) {
                (Some(_), Some(delegated)) => delegated.min_shards.max(1),
                _ => route.min_shards(),
            },
            from_peer: delegated.is_some(),
            max_attempts: delegated
                .map_or(u32::MAX, |delegated| delegated.max_attempts)
                .min(route.route.max_attempts),
            retry_after: Duration::ZERO,
            missing: parts.iter().filter(|part| !part.is_open()).count(),
            parts,
            done: 0,
            repeats: 0,
            over_budget: 0,
            last_server: None,
            answered: false,
            cut: 0,
            ended: 0,
            ends: Vec::new(),
            trial: None,
            admitted: delegated.is_some_and(|delegated| delegated.admitted),
            given_up: false,
            search: arrival.search,
            resumable: only.is_some(),
            resumed: false,
            parked: false,
            route: route.clone(),
        });
        if delegated.is_some_and(|delegated| delegated.resumes) {
            self.complete_parked(now, key);
            return key;
        }
        if let Some(retry_after) = refused {
            self.refuse(now, key, ErrorKind::Overloaded, Some(retry_after));
            return key;
        }
        if self.refuse_unservable(now, key) || self.refuse_suspect(now, key) {
            return key;
        }
        let parts_len = self.reqs[key].parts.len();
        // A repeated request was counted by the daemon that was asked first.
        let counted = |part: &&Part| part.delegated.is_none() && part.is_open() && !repeat;
        for part in self.reqs[key].parts.iter().filter(counted) {
            self.services[part.service].budget.earn();
        }
        self.timers.set(deadline, Timer::Deadline(key));
        if route.is_search() {
            self.timers.set(now + answer_by, Timer::Objective(key));
        } else {
            let limit = objective.mul_f64(self.settings.wait_share);
            self.timers.set(now + limit, Timer::WaitLimit(key));
        }
        self.count_arrival(now, key);
        if self.must_gather(key) {
            self.gather(now, key, Attempt::First);
            self.settle(now, key);
            return key;
        }
        for part in 0..parts_len {
            if !self.reqs[key].parts[part].is_open() || repeat && !self.take_token(now, key, part) {
                continue;
            }
            self.place(now, key, part);
        }
        self.settle(now, key);
        key
    }

    /// The part of a request to one server of a service.
    fn single_part(&mut self, now: Timestamp, service: ServiceKey, from_peer: bool) -> Part {
        let relayed = !from_peer && self.needs_relay(now, service) && self.can_relay(now, service);
        match relayed {
            true => Part::relayed(self.relays(), service),
            false => Part::new(service),
        }
    }

    /// Refuses a request immediately if too many of its parts have no usable server.
    fn refuse_unservable(&mut self, now: Timestamp, key: ReqKey) -> bool {
        let req = &self.reqs[key];
        let usable = req.parts.iter().filter(|part| part.is_open());
        let usable = usable
            .filter(|part| self.has_usable_server(now, part.service, self.send_by(req, part)));
        let usable: usize = usable.map(|part| part.weight).sum();
        if usable >= req.min_shards && usable > 0 {
            return false;
        }
        let retry_after = self.available_in(now, key);
        let kind = self.unservable_kind(now, key);
        self.refuse(now, key, kind, Some(retry_after));
        true
    }

    /// Handles the disconnect of a caller.
    pub fn caller_left(&mut self, now: Timestamp, key: ReqKey) {
        let Some(req) = self.reqs.get(key) else {
            return;
        };
        let calls: Vec<_> = req.parts.iter().flat_map(|p| p.calls.clone()).collect();
        // A request that must not be repeated runs to completion: aborting it would
        // leave its effect unknown.
        if req.route.may_repeat() && req.is_restrained() {
            self.abort_calls(now, key);
        } else if req.route.may_repeat() {
            for call in calls {
                // A helper applies the same grace to its own calls.
                let helper = self.calls.get(call).is_some_and(|call| call.delegated);
                let wait = if helper {
                    Duration::ZERO
                } else {
                    self.settings.abandoned_call_grace
                };
                self.timers.set(now + wait, Timer::Abandoned(call));
            }
        }
        self.finish(now, key, None, Verdict::CallerLeft);
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Timestamp) {
        while let Some((due, timer)) = self.timers.pop_due(now) {
            self.observe_tick(now, due);
            match timer {
                Timer::Hedge(call) => self.on_slow_call(now, call),
                Timer::CallTimeout(call) | Timer::Abandoned(call) => {
                    self.on_call_timeout(now, call, matches!(timer, Timer::Abandoned(_)));
                }
                Timer::SlowHelper(call) => self.on_slow_helper(now, call),
                Timer::Objective(req) => self.on_objective(now, req),
                Timer::Gather(req) => self.on_gather_timer(now, req),
                Timer::WaitLimit(req) => self.on_wait_limit(now, req),
                Timer::Deadline(req) => self.on_deadline(now, req),
                Timer::RemoteIdle(conn) => self.on_remote_idle(now, conn),
                Timer::Server(server) => self.on_server_timer(now, server),
                Timer::Permit(server) => self.on_permit_timer(now, server),
                Timer::LimitUsage(server) => self.report_limit_usage(now, server),
                Timer::Fresh(conn) => self.on_kept(now, conn),
                Timer::Health(conn) => self.on_health_timer(now, conn),
                Timer::Contact => self.on_contact_timer(now),
                Timer::Verdict(req) => self.settle(now, req),
                Timer::Cut => self.expire_cut_calls(now),
                Timer::Quarantine => self.tell_others(now),
                Timer::Admission => self.measure_shards(now),
            }
        }
    }
}

/// Smallest number of shards that covers the share `min_coverage` of `shards`.
fn shards_for_coverage(shards: usize, min_coverage: f64) -> usize {
    let needed = shards as f64 * min_coverage.clamp(0.0, 1.0);
    // Rounding may put a product such as 20 * 0.85 slightly above the integer.
    ((needed - 1e-9).ceil() as usize).clamp(1, shards.max(1))
}

/// Shortest `Retry-After` of a request that is refused because servers are unavailable.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// `Retry-After` of such a request if it is unknown when servers become available.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(500);
