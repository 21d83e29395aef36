//! The state machine and its inputs.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use jasminepond_routes::{
    Release, ReleaseVersion, Route, RouteTable, ServiceName, SplitChooser, Target,
};
use jasminepond_types::{ErrorKind, Timestamp};
use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Demand, RepeatBudget, ShardGroups,
    departed::{Departed, Wish},
    message::{
        Action, Arrival, Backend, BackendState, CallKey, ConnKey, ReqKey, ServerEvent, Verdict,
    },
    request::{ActiveRoute, Destination, Part, Req, RouteStats},
    server::{Reach, Server, ServerKey},
    service::{Service, ServiceKey},
    settings::ForwardSettings,
    timers::{Timer, Timers},
};

mod connect;
mod delegate;
mod place;
mod settle;

pub use delegate::{DelegationRequest, Peer};

/// Connections used where the release says nothing of a service.
const DEFAULT_MAX_CONNECTIONS: u32 = 16;

/// A call to a backend server.
#[derive(Debug)]
struct Call {
    req: ReqKey,
    part: usize,
    server: ServerKey,
    conn: ConnKey,
    sent: Timestamp,
    /// Whether a second call was considered.
    overdue: bool,
    /// Whether the server is another daemon.
    delegated: bool,
    route: Rc<ActiveRoute>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnState {
    Opening,
    Idle {
        since: Timestamp,
        until: Option<Timestamp>,
    },
    Busy(CallKey),
}

#[derive(Debug)]
struct Conn {
    server: ServerKey,
    state: ConnState,
    opened: Timestamp,
    used: bool,
}

/// What the forwarder knows, in numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Status {
    /// Version of the release in force.
    pub version: ReleaseVersion,
    /// Routes of the release.
    pub routes: usize,
    /// Known backend servers.
    pub servers: usize,
    /// Servers to which no connection can be opened.
    pub down: usize,
    /// Requests in progress.
    pub requests: usize,
    /// Calls in progress.
    pub calls: usize,
    /// Connections, open or opening.
    pub connections: usize,
    /// Parts that wait for a connection.
    pub waiting: usize,
}

/// The daemons among which connections and repeated sends are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cluster {
    /// How many they are, this one included.
    pub daemons: u32,
    /// How many of them come before this one in the order that all agree on.
    pub rank: u32,
}

impl Default for Cluster {
    fn default() -> Self {
        // Used until the daemons are known: a few more than the 6 or 7 of a site.
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
    cluster: Option<Cluster>,
    peers: Vec<Peer>,
    /// The shards and the daemons that handle them.
    shard_groups: ShardGroups,
    /// What the division was made for.
    demand: Demand,
    /// The shards of each search of the release in force.
    searched: Vec<Vec<ServiceKey>>,
    version: Option<ReleaseVersion>,
    table: RouteTable<Rc<ActiveRoute>>,
    active: Vec<Rc<ActiveRoute>>,
    /// When the release in force was put there.
    released: Timestamp,
    services: SlotMap<ServiceKey, Service>,
    services_by_name: HashMap<ServiceName, ServiceKey>,
    servers: SlotMap<ServerKey, Server>,
    servers_by_id: HashMap<Arc<str>, ServerKey>,
    departed: Departed,
    conns: SlotMap<ConnKey, Conn>,
    calls: SlotMap<CallKey, Call>,
    reqs: SlotMap<ReqKey, Req>,
    stats: HashMap<Arc<str>, Rc<RouteStats>>,
    timers: Timers,
    actions: VecDeque<Action>,
}

impl Forwarder {
    /// A forwarder without routes and servers.
    pub fn new(settings: ForwardSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// The next thing to do, in order.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When [`Forwarder::tick`] is to be called next.
    pub fn next_tick(&self) -> Option<Timestamp> {
        self.timers.next()
    }

    /// Version of the release in force, if there is one.
    pub fn version(&self) -> Option<ReleaseVersion> {
        self.version
    }

    /// When the release in force was put there.
    pub fn released(&self) -> Timestamp {
        self.released
    }

    pub(crate) fn active_routes(&self) -> impl Iterator<Item = &Route> {
        self.active.iter().map(|active| active.route())
    }

    pub(crate) fn known_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers_by_id.values().map(|key| &self.servers[*key])
    }

    pub(crate) fn settings(&self) -> &ForwardSettings {
        &self.settings
    }

    /// Numbers for operators.
    pub fn status(&self) -> Status {
        let down = |server: &&Server| matches!(server.reach, Reach::Down { .. });
        Status {
            version: self.version.unwrap_or_default(),
            routes: self.active.len(),
            servers: self.servers_by_id.len(),
            down: self.servers.values().filter(down).count(),
            requests: self.reqs.len(),
            calls: self.calls.len(),
            connections: self.conns.len(),
            waiting: self.services.values().map(Service::waiting).sum(),
        }
    }

    /// The daemons that share connections and repeated sends have changed. No
    /// connection is opened ahead of a request before this is known.
    pub fn set_cluster(&mut self, now: Timestamp, cluster: Cluster) {
        if self.cluster == Some(cluster) {
            return;
        }
        self.cluster = Some(cluster);
        self.settings.repeat.daemons = cluster.daemons.max(1);
        self.regroup(now);
    }

    /// The daemons have changed: [`Forwarder::set_peers`] and
    /// [`Forwarder::set_cluster`] in one step.
    pub fn set_daemons(&mut self, now: Timestamp, cluster: Cluster, peers: Vec<Peer>) {
        if self.cluster == Some(cluster) && self.peers == peers {
            return;
        }
        self.cluster = Some(cluster);
        self.peers = peers;
        self.settings.repeat.daemons = cluster.daemons.max(1);
        self.regroup(now);
    }

    fn log_server_event(&mut self, server: ServerKey, event: ServerEvent) {
        let server = self.servers[server].backend.id.clone();
        self.actions
            .push_back(Action::LogServerEvent { server, event });
    }

    fn warm_all(&mut self, now: Timestamp) {
        let servers: Vec<_> = self.servers_by_id.values().copied().collect();
        for server in servers {
            self.warm(now, server);
        }
    }

    /// Puts a release in force. Returns `false`, and changes nothing, if it is
    /// not newer than the present one.
    pub fn put_release(&mut self, now: Timestamp, release: &Release) -> bool {
        if self
            .version
            .is_some_and(|version| release.version <= version)
        {
            return false;
        }
        for service in self.services.values_mut() {
            service.routed = service.helpers;
        }
        self.searched.clear();
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
            if let Some(key) = self.services_by_name.get(name) {
                self.services[*key].max_connections = spec.max_connections;
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
                let chooser = SplitChooser::new(parts.iter().map(|part| part.weight));
                Destination::Split(services, RefCell::new(chooser))
            }
            Target::Search(search) => Destination::Search {
                shards: search.shards.iter().map(resolve).collect(),
                top_k: search.top_k,
                least: least_parts(search.shards.len(), search.min_coverage),
            },
        };
        let mut shard_set = 0;
        if let (Destination::Search { shards, .. }, Target::Search(search)) =
            (&destination, &route.target)
        {
            self.searched.push(shards.clone());
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

    /// The route of a request in the release in force.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<ActiveRoute>> {
        self.table.find(host, path).cloned()
    }

    /// A backend server's entry is new or has changed.
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
                if let Some(since) = server.leaving_since {
                    let end = since + self.settings.leave_grace();
                    self.timers.set(end, Timer::Server(key));
                }
                self.warm(now, key);
                return;
            }
            // Another process under the same id: nothing known of the old one holds.
            self.retire(now, key);
        }
        let wish = self.departed.recall(&backend);
        if wish == Some(Wish::Stops) {
            return;
        }
        if backend.state == BackendState::Draining {
            // Nothing tells since when it drains: its grace may be over, or this daemon
            // has taken it out of use and its entry is written once more.
            return;
        }
        let id = backend.id.clone();
        let server = Server::new(now, backend, service);
        let key = self.servers.insert(server);
        if let Some(Wish::QuietUntil(until)) = wish {
            self.keep_quiet(key, until);
        }
        self.servers_by_id.insert(id, key);
        self.services[service].servers.push(key);
        if self.is_new_zone(key) {
            self.regroup(now);
        }
        self.assign(service);
        self.divide(service);
        self.warm(now, key);
    }

    /// A backend server's entry is no longer there. The server may still be used
    /// for [`ForwardSettings::lapse_grace`] if nothing else is left.
    pub fn remove_backend(&mut self, now: Timestamp, id: &str) {
        self.departed.entry_gone(id);
        let Some(&key) = self.servers_by_id.get(id) else {
            return;
        };
        let server = &mut self.servers[key];
        let since = *server.leaving_since.get_or_insert(now);
        let end = since + self.settings.leave_grace();
        self.timers.set(end, Timer::Server(key));
    }

    /// Id of the server to which a connection leads.
    pub fn server_of(&self, conn: ConnKey) -> Option<Arc<str>> {
        let server = self.servers.get(self.conns.get(conn)?.server)?;
        Some(server.backend.id.clone())
    }

    /// A caller's request has arrived whole.
    pub fn submit(&mut self, now: Timestamp, arrival: Arrival) -> ReqKey {
        let route = arrival.route;
        let objective = route.objective();
        let patience = arrival.time_left.min(route.route.timeout.duration());
        let deadline = now + patience;
        let spent = route.stats.patience.borrow_mut().spent(arrival.time_left);
        let late = spent >= objective;
        let only = arrival.delegated.as_ref();
        let repeat = only.is_some_and(|delegated| delegated.repeat);
        let parts = match &route.destination {
            Destination::Service(service) => vec![Part::new(*service)],
            Destination::Split(services, chooser) => {
                let chosen = chooser.borrow_mut().choose().unwrap_or(0);
                services
                    .get(chosen)
                    .map(|service| Part::new(*service))
                    .into_iter()
                    .collect()
            }
            Destination::Search { shards, .. } => {
                let only = only.map(|delegated| &delegated.shards[..]);
                self.search_parts(now, shards, only)
            }
        };
        let answer_by = match only {
            Some(delegated) => delegated.answer_within,
            None => {
                let answer_by = objective.saturating_sub(self.settings.answer_margin);
                answer_by.max(objective / 2)
            }
        };
        let shards = parts.iter().map(|part| part.weight).sum();
        let parts_len = parts.len();
        let key = self.reqs.insert(Req {
            arrived: now,
            deadline,
            late,
            answer_by: now + answer_by,
            overdue: false,
            shards,
            // The daemon that asked decides what coverage suffices.
            least: if only.is_some() { 1 } else { route.least() },
            parts,
            done: 0,
            missing: 0,
            repeats: 0,
            over_budget: 0,
            last_server: None,
            route: route.clone(),
        });
        if self.refuse_unservable(now, key) {
            return key;
        }
        // A repeated request has been counted by the daemon that was asked first.
        let counted = |part: &&Part| part.delegated.is_none() && !repeat;
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
        for part in 0..parts_len {
            if repeat && !self.take_token(now, key, part) {
                continue;
            }
            self.place(now, key, part);
        }
        self.settle(now, key);
        key
    }

    /// Refuses a request at once of which too many parts have no usable server.
    fn refuse_unservable(&mut self, now: Timestamp, key: ReqKey) -> bool {
        let req = &self.reqs[key];
        let usable = req.parts.iter();
        let usable = usable.filter(|part| self.has_usable(now, part.service));
        let usable: usize = usable.map(|part| part.weight).sum();
        if usable >= req.least && usable > 0 {
            return false;
        }
        let retry_after = self.back_in(now, key);
        self.refuse(now, key, ErrorKind::NoBackend, Some(retry_after));
        true
    }

    /// The caller has left.
    pub fn caller_left(&mut self, now: Timestamp, key: ReqKey) {
        let Some(req) = self.reqs.get(key) else {
            return;
        };
        let calls: Vec<_> = req.parts.iter().flat_map(|p| p.calls.clone()).collect();
        // A request that must not be repeated is left to finish: to end it half
        // way would leave its effect unknown.
        if req.route.may_repeat() {
            for call in calls {
                // Another daemon waits in its turn before it ends its own calls.
                let helper = self.calls.get(call).is_some_and(|call| call.delegated);
                let wait = if helper {
                    Duration::ZERO
                } else {
                    self.settings.abandoned_call_grace
                };
                self.timers.set(now + wait, Timer::Abandoned(call));
            }
        }
        self.end(now, key, None, Verdict::CallerLeft);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Timestamp) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Hedge(call) => self.on_slow_call(now, call),
                Timer::CallTimeout(call) | Timer::Abandoned(call) => {
                    self.on_call_timeout(now, call, matches!(timer, Timer::Abandoned(_)));
                }
                Timer::SlowHelper(call) => self.on_slow_helper(now, call),
                Timer::Objective(req) => self.on_objective(now, req),
                Timer::WaitLimit(req) => self.on_wait_limit(now, req),
                Timer::Deadline(req) => self.on_deadline(now, req),
                Timer::Remote(conn) => self.on_remote_idle(now, conn),
                Timer::Server(server) => self.on_server_timer(now, server),
            }
        }
    }
}

/// Fewest parts that make up the share `min_coverage` of `shards`.
fn least_parts(shards: usize, min_coverage: f64) -> usize {
    let needed = shards as f64 * min_coverage.clamp(0.0, 1.0);
    // A product such as 20 * 0.85 may come out slightly above the whole number.
    ((needed - 1e-9).ceil() as usize).clamp(1, shards.max(1))
}

/// Shortest time that a refused caller is told to wait for the return of servers.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Time that a refused caller is told to wait if nothing tells when servers return.
const RETRY_AFTER_UNKNOWN: Duration = Duration::from_millis(500);
