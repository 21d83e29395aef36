//! Simulation of backend servers with slots, queues, pauses and faults around a
//! forwarder, on a virtual clock.

#![allow(dead_code, reason = "each test file uses a part of the simulation")]

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use jasminepond_forward::{
    Action, Answer, Arrival, Backend, BackendState, CallerId, Cluster, ConnKey, ContactEvent,
    EvacuatedZones, Exchange, ForwardSettings, Forwarder, LostCall, Peer, PeerReply, Reply, ReqKey,
    RetryAfter, SearchId, Summary,
};
use jasminepond_quarantine::{Fingerprint, RequestParts};
use jasminepond_routes::{
    Release, ReleaseVersion, Route, Search, ServiceName, ServiceSpec, Target,
};
use jasminepond_types::{Millis, Timestamp};
use rand::{Rng, SeedableRng, rngs::StdRng};
use xxhash_rust::xxh3::xxh3_64;

pub const MS: Duration = Duration::from_millis(1);

/// Behavior of a simulated server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behavior {
    /// Answers all requests.
    Healthy,
    /// Never answers on open connections, and new ones time out.
    Silent,
    /// Closes the connection of a request, and new ones time out.
    Vanishes,
    /// Refuses connections and has closed the open ones.
    Crashed,
    /// Works slower by this factor.
    Slow(f64),
    /// Fails this share of its requests with status 500.
    Failing(f64),
    /// Rejects every request as not run.
    Full,
    /// Rejects this share of its requests as not run, even while it is idle.
    Rejecting(f64),
    /// Runs the request and closes the connection without an answer.
    DropsAnswers,
    /// The connection of a request is reset before the request arrives.
    Resets,
    /// Another server answers at the address.
    Replaced,
}

#[derive(Debug, Clone)]
pub struct Server {
    pub id: Arc<str>,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub behavior: Behavior,
    pub slots: usize,
    pub queue: usize,
    /// Mean service time of a request.
    pub work: Duration,
    /// Length, period and offset of its pauses.
    pub pause: Option<(Duration, Duration, Duration)>,
    /// Time after which it refuses a connection while it has crashed.
    pub refuses_after: Duration,
    busy: usize,
    waiting: VecDeque<(ConnKey, ReqKey)>,
    /// Requests that the server started to run.
    pub ran: Vec<ReqKey>,
    /// If set, rejects the next request with this `Retry-After`.
    pub reject_next: Option<Duration>,
    /// Received requests with their time of arrival.
    pub arrived: Vec<(Timestamp, ReqKey)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Opened(ConnKey),
    Refused(ConnKey),
    Finished(ConnKey, ReqKey, usize),
    Broken(ConnKey),
    /// A health response with this status.
    Healthy(ConnKey, u16),
}

/// The answer to a request and when it was given.
#[derive(Debug, Clone)]
pub struct Answered {
    pub req: ReqKey,
    pub at: Timestamp,
    pub answer: Option<Answer>,
    pub summary: Summary,
}

pub struct Sim {
    pub now: Timestamp,
    pub forwarder: Forwarder,
    pub servers: Vec<Server>,
    pub answers: Vec<Answered>,
    /// Requests sent to servers with the time left that was stated.
    pub sent_time_left: Vec<(ReqKey, Millis)>,
    /// Changes of the contact with servers.
    pub contact: Vec<(Timestamp, ContactEvent)>,
    /// Whether servers refuse new connections.
    pub refuse_new: bool,
    pub closed: usize,
    pub opened: usize,
    /// Attempts to open a connection.
    pub attempts: usize,
    /// Health requests sent.
    pub health_requests: usize,
    /// Path of health requests in the next release.
    pub health_path: Option<Arc<str>>,
    /// Connection limit of the servers in the next release.
    pub max_connections: u32,
    /// Caller of the requests that are submitted.
    pub caller: CallerId,
    submitted: u64,
    sent: HashMap<ReqKey, ConnKey>,
    conns: HashMap<ConnKey, usize>,
    events: BinaryHeap<Reverse<(Timestamp, Event)>>,
    rng: StdRng,
}

/// Round trip between a daemon and a server.
const ROUND_TRIP: Duration = Duration::from_millis(2);

/// Time that a server takes to accept a connection.
const HANDSHAKE: Duration = Duration::from_millis(6);

impl Sim {
    pub fn new(settings: ForwardSettings, seed: u64) -> Self {
        let now = Timestamp::from_millis(1);
        let mut forwarder = Forwarder::new(settings);
        forwarder.set_cluster(now, Cluster::default());
        Self {
            now,
            forwarder,
            servers: Vec::new(),
            answers: Vec::new(),
            sent_time_left: Vec::new(),
            contact: Vec::new(),
            refuse_new: false,
            closed: 0,
            opened: 0,
            attempts: 0,
            health_requests: 0,
            health_path: None,
            max_connections: 25,
            caller: CallerId::default(),
            submitted: 0,
            sent: HashMap::new(),
            conns: HashMap::new(),
            events: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Adds a server and its entry.
    pub fn add(&mut self, id: &str, service: &str, work: Duration) -> usize {
        let index = self.servers.len();
        let port = 10_000 + u16::try_from(index).unwrap();
        self.servers.push(Server {
            id: id.into(),
            service: service.into(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            behavior: Behavior::Healthy,
            slots: 2,
            queue: 12,
            work,
            pause: None,
            refuses_after: ROUND_TRIP,
            busy: 0,
            waiting: VecDeque::new(),
            ran: Vec::new(),
            reject_next: None,
            arrived: Vec::new(),
        });
        let entry = self.entry(index);
        self.forwarder.put_backend(self.now, entry);
        self.run_actions();
        index
    }

    /// Adds another daemon as a server without an entry.
    fn add_daemon(&mut self, id: &str) -> usize {
        let index = self.servers.len();
        self.servers.push(Server {
            id: id.into(),
            service: "peers".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16)),
            behavior: Behavior::Healthy,
            slots: 8,
            queue: 12,
            work: 30 * MS,
            pause: None,
            refuses_after: ROUND_TRIP,
            busy: 0,
            waiting: VecDeque::new(),
            ran: Vec::new(),
            reject_next: None,
            arrived: Vec::new(),
        });
        index
    }

    /// Adds `count` other daemons as servers. This daemon has rank 0.
    pub fn add_peers(&mut self, count: u32) -> Vec<usize> {
        let first = self.servers.len();
        let peers = self.add_peers_as(count + 1, 0);
        self.set_peers(count + 1, peers);
        (first..self.servers.len()).collect()
    }

    /// Sets the other daemons of a site with `count` daemons. This daemon has rank 0.
    pub fn set_peers(&mut self, count: u32, peers: Vec<Peer>) {
        let cluster = Cluster {
            daemons: count,
            rank: 0,
        };
        self.forwarder.set_daemons(self.now, cluster, peers);
        self.run_actions();
    }

    /// Adds the other daemons of a site with `count` daemons, seen from the given rank.
    /// They answer like servers.
    pub fn add_peers_as(&mut self, count: u32, rank: u32) -> Vec<Peer> {
        let mut peers = Vec::new();
        for other in (0..count).filter(|other| *other != rank) {
            let name = format!("d{other:04}");
            let index = self.add_daemon(&format!("daemon/{name}"));
            peers.push(Peer {
                instance: name.as_str().into(),
                address: self.servers[index].address,
                zone: String::new(),
                processor: Default::default(),
                rank: other,
                running: true,
                reaches_servers: true,
            });
        }
        peers
    }

    /// Number of connections, open or opening, to a server.
    pub fn connections_to(&self, index: usize) -> usize {
        self.conns_of(index).len()
    }

    pub fn entry(&self, index: usize) -> Backend {
        let server = &self.servers[index];
        Backend {
            id: server.id.clone(),
            service: server.service.clone(),
            address: server.address,
            zone: "a".to_owned(),
            slots: 2,
            state: BackendState::Ready,
            warm_up_left: Millis(0),
            started: Some(1),
            writes: 1,
        }
    }

    pub fn put_entry(&mut self, entry: Backend) {
        self.forwarder.put_backend(self.now, entry);
        self.run_actions();
    }

    /// Moves a server to another availability zone.
    pub fn set_zone(&mut self, index: usize, zone: &str) {
        let mut entry = self.entry(index);
        entry.zone = zone.to_owned();
        self.put_entry(entry);
    }

    /// Evacuates these availability zones and no others.
    pub fn set_evacuated(&mut self, zones: &[&str]) {
        let zones: EvacuatedZones = zones.iter().copied().collect();
        self.forwarder.set_evacuated(self.now, &zones);
        self.run_actions();
    }

    /// Adds shards `s0..` with two servers each, which pause at random offsets.
    pub fn add_shards(&mut self, shards: usize, work: Duration, pause: Duration, every: Duration) {
        for shard in 0..shards {
            for copy in 0..2 {
                let id = format!("s{shard}-{copy}");
                let index = self.add(&id, &format!("s{shard}"), work);
                if !pause.is_zero() {
                    let offset = every.mul_f64(self.rng.random());
                    self.servers[index].pause = Some((pause, every, offset));
                }
            }
        }
    }

    pub fn put_release(&mut self, version: u64, routes: Vec<Route>) -> bool {
        let mut services = HashMap::new();
        for server in &self.servers {
            let max_connections = self.max_connections;
            services.insert(
                server.service.clone(),
                ServiceSpec {
                    max_connections,
                    health_path: self.health_path.clone(),
                    ..ServiceSpec::default()
                },
            );
        }
        let release = Release {
            version: ReleaseVersion(version),
            routes,
            services,
            ..Release::default()
        };
        let taken = self.forwarder.put_release(self.now, &release);
        self.run_actions();
        taken
    }

    pub fn submit(&mut self, path: &str, time_left: Duration) -> ReqKey {
        let route = self.forwarder.route("localhost", path).expect("a route");
        self.submitted += 1;
        let key = self.forwarder.submit(
            self.now,
            Arrival {
                route,
                time_left,
                fingerprint: fingerprint(path, self.submitted),
                search: SearchId(self.submitted),
                caller: self.caller,
                draw: xxh3_64(&self.submitted.to_le_bytes()),
                delegated: None,
            },
        );
        self.run_actions();
        key
    }

    pub fn caller_left(&mut self, req: ReqKey) {
        self.forwarder.caller_left(self.now, req);
        self.run_actions();
    }

    pub fn remove_entry(&mut self, id: &str) {
        self.forwarder.remove_backend(self.now, id);
        self.run_actions();
    }

    /// Changes the behavior of a server, including its open connections.
    pub fn set_behavior(&mut self, index: usize, behavior: Behavior) {
        self.servers[index].behavior = behavior;
        if behavior == Behavior::Crashed {
            let conns: Vec<_> = self.conns_of(index);
            self.servers[index].busy = 0;
            self.servers[index].waiting.clear();
            for conn in conns {
                self.conns.remove(&conn);
                self.forwarder.closed(self.now, conn, LostCall::MayHaveRun);
                self.run_actions();
            }
        }
    }

    /// Makes a server reject its next request with a `Retry-After`.
    pub fn reject_next(&mut self, index: usize, wait: Duration) {
        self.servers[index].reject_next = Some(wait);
    }

    fn conns_of(&self, index: usize) -> Vec<ConnKey> {
        let conns = self.conns.iter().filter(|(_, server)| **server == index);
        let mut conns: Vec<_> = conns.map(|(conn, _)| *conn).collect();
        conns.sort();
        conns
    }

    /// Runs the simulation until `end`.
    pub fn run_until(&mut self, end: Timestamp) {
        loop {
            let event = self.events.peek().map(|Reverse((at, _))| *at);
            let tick = self.forwarder.next_tick();
            let next = [event, tick].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(next);
            if event == Some(next) {
                let Some(Reverse((_, event))) = self.events.pop() else {
                    return;
                };
                self.handle_event(event);
            } else {
                self.forwarder.tick(self.now);
            }
            self.run_actions();
        }
    }

    /// Lets the process do nothing for a time. Its timers are handled before the events that
    /// have accumulated.
    pub fn pause(&mut self, time: Duration) {
        self.now = self.now + time;
        self.forwarder.tick(self.now);
        self.run_actions();
    }

    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Submits requests as a Poisson process with rate `per_s` for `time`.
    pub fn load(&mut self, path: &str, per_s: f64, time: Duration, time_left: Duration) {
        let end = self.now + time;
        loop {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / per_s;
            let next = self.now + Duration::from_secs_f64(gap);
            if next > end {
                return self.run_until(end);
            }
            self.run_until(next);
            self.submit(path, time_left);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Opened(conn) if self.conns.contains_key(&conn) => {
                self.opened += 1;
                self.forwarder.connected(self.now, conn);
            }
            Event::Refused(conn) => {
                if self.conns.remove(&conn).is_some() {
                    self.forwarder.connect_failed(self.now, conn);
                }
            }
            Event::Finished(conn, req, index) => self.finish(conn, req, index),
            Event::Broken(conn) => {
                if self.conns.remove(&conn).is_some() {
                    self.forwarder.closed(self.now, conn, LostCall::MayHaveRun);
                }
            }
            Event::Healthy(conn, status) if self.conns.contains_key(&conn) => {
                self.reply(conn, reply(status, "health"));
            }
            Event::Opened(_) | Event::Healthy(..) => {}
        }
    }

    fn finish(&mut self, conn: ConnKey, req: ReqKey, index: usize) {
        let server = &mut self.servers[index];
        if server.behavior == Behavior::Crashed {
            return;
        }
        server.busy = server.busy.saturating_sub(1);
        let next = server.waiting.pop_front();
        if let Some((conn, req)) = next {
            self.start(conn, req, index);
        }
        if self.conns.get(&conn) != Some(&index) {
            return;
        }
        let failing = match self.servers[index].behavior {
            Behavior::Failing(share) => self.rng.random_bool(share),
            Behavior::DropsAnswers | Behavior::Vanishes => {
                self.conns.remove(&conn);
                return self.forwarder.closed(self.now, conn, LostCall::MayHaveRun);
            }
            Behavior::Silent => return,
            _ => false,
        };
        let status = if failing { 500 } else { 200 };
        let is_daemon = self.servers[index].id.starts_with("daemon/");
        let peer = is_daemon.then(|| PeerReply {
            release: self.forwarder.version().unwrap_or_default(),
            ..PeerReply::default()
        });
        self.reply(
            conn,
            Reply {
                peer: peer.map(Box::new),
                ..reply(status, &format!("{}-{req:?}", self.servers[index].id))
            },
        );
    }

    /// Connection over which a request was sent last.
    pub fn conn_of(&self, req: ReqKey) -> ConnKey {
        self.sent[&req]
    }

    /// Answers a call in place of its server.
    pub fn answer_with(&mut self, conn: ConnKey, with: Reply) {
        self.reply(conn, with);
        self.run_actions();
    }

    fn reply(&mut self, conn: ConnKey, reply: Reply) {
        let exchange = Exchange {
            reply,
            keep_alive: None,
            closes: false,
        };
        self.forwarder.replied(self.now, conn, exchange);
    }

    fn start(&mut self, conn: ConnKey, req: ReqKey, index: usize) {
        let spread = 0.7 + 0.6 * self.rng.random::<f64>();
        let server = &mut self.servers[index];
        server.busy += 1;
        server.ran.push(req);
        let slow = match server.behavior {
            Behavior::Slow(times) => times,
            _ => 1.0,
        };
        let mut end = self.now + server.work.mul_f64(spread * slow);
        if let Some((length, every, offset)) = server.pause {
            // A request that would end during a pause ends after it.
            let at = (end.as_micros() + offset.as_micros() as u64) % every.as_micros() as u64;
            let into = Duration::from_micros(at);
            if into < length {
                end = end + (length - into);
            }
        }
        let event = Event::Finished(conn, req, index);
        self.events.push(Reverse((end + ROUND_TRIP, event)));
    }

    /// Carries out the pending actions of the forwarder.
    pub fn run_actions(&mut self) {
        while let Some(action) = self.forwarder.next_action() {
            match action {
                Action::Open { conn, address } => self.open(conn, address),
                Action::ContactChanged(event) => self.contact.push((self.now, event)),
                Action::SendDatagram { .. }
                | Action::SendEvidence { .. }
                | Action::LogSuspect { .. }
                | Action::LogServerEvent { .. }
                | Action::LogShardLoad { .. }
                | Action::LogGroups { .. } => {}
                Action::CheckHealth { conn, .. } => self.check_health(conn),
                Action::Close { conn } => {
                    self.closed += 1;
                    self.conns.remove(&conn);
                }
                Action::Send {
                    conn,
                    req,
                    server,
                    left,
                    ..
                } => {
                    self.sent_time_left.push((req, left));
                    self.sent.insert(req, conn);
                    self.receive(conn, req, &server);
                }
                Action::Answer {
                    req,
                    answer,
                    summary,
                } => self.answers.push(Answered {
                    req,
                    at: self.now,
                    answer,
                    summary,
                }),
            }
        }
    }

    fn open(&mut self, conn: ConnKey, address: SocketAddr) {
        let index = usize::from(address.port() - 10_000);
        self.conns.insert(conn, index);
        self.attempts += 1;
        let (after, event) = match self.servers[index].behavior {
            _ if self.refuse_new => (ROUND_TRIP, Event::Refused(conn)),
            Behavior::Crashed => (self.servers[index].refuses_after, Event::Refused(conn)),
            Behavior::Silent | Behavior::Vanishes => {
                (Duration::from_millis(600), Event::Refused(conn))
            }
            _ => (ROUND_TRIP + HANDSHAKE, Event::Opened(conn)),
        };
        self.events.push(Reverse((self.now + after, event)));
    }

    /// Handles a health request, for which a server needs no slot here.
    fn check_health(&mut self, conn: ConnKey) {
        let Some(&index) = self.conns.get(&conn) else {
            return;
        };
        self.health_requests += 1;
        let event = match self.servers[index].behavior {
            Behavior::Silent | Behavior::Vanishes => return,
            Behavior::Crashed | Behavior::DropsAnswers | Behavior::Resets => Event::Broken(conn),
            Behavior::Full => Event::Healthy(conn, 503),
            _ => Event::Healthy(conn, 200),
        };
        self.events.push(Reverse((self.now + ROUND_TRIP, event)));
    }

    fn receive(&mut self, conn: ConnKey, req: ReqKey, expected: &str) {
        let Some(&index) = self.conns.get(&conn) else {
            return;
        };
        let server = &mut self.servers[index];
        // The id of a helper ends with its group of shards.
        let named = expected
            .strip_prefix("daemon/")
            .and_then(|name| name.rsplit_once('/'))
            .map_or(expected.to_owned(), |(name, _)| format!("daemon/{name}"));
        assert_eq!(
            &*server.id, named,
            "the expected server is not the one connected to"
        );
        server.arrived.push((self.now, req));
        let wait = server.reject_next.take();
        let rejected = Reply {
            not_run: true,
            retry_after: wait.map(RetryAfter::Wait),
            ..reply(503, "")
        };
        let rejects = match server.behavior {
            _ if wait.is_some() => true,
            Behavior::Full => true,
            Behavior::Rejecting(share) => self.rng.random_bool(share),
            _ => false,
        };
        match server.behavior {
            Behavior::Crashed | Behavior::Resets => self
                .events
                .push(Reverse((self.now + ROUND_TRIP, Event::Broken(conn)))),
            _ if rejects => self.reply(
                conn,
                Reply {
                    stamp: None,
                    ..rejected
                },
            ),
            Behavior::Replaced => self.reply(
                conn,
                Reply {
                    stamp: None,
                    wrong_server: true,
                    ..reply(421, "")
                },
            ),
            _ if server.busy < server.slots => self.start(conn, req, index),
            _ if server.waiting.len() < server.queue => server.waiting.push_back((conn, req)),
            _ => self.reply(
                conn,
                Reply {
                    stamp: None,
                    ..rejected
                },
            ),
        }
    }

    /// Share of the answers since `from` that were successful and took at most `limit`.
    pub fn in_time(&self, from: Timestamp, limit: Duration) -> f64 {
        let answers: Vec<_> = self.answers.iter().filter(|a| a.at >= from).collect();
        let good = |a: &&&Answered| {
            let success = match &a.answer {
                Some(Answer::Forwarded { reply, .. }) => reply.is_success(),
                Some(Answer::Merged { .. }) => true,
                _ => false,
            };
            success && a.summary.took <= limit
        };
        answers.iter().filter(good).count() as f64 / answers.len().max(1) as f64
    }
}

/// Fingerprint of a request that differs from those with other numbers.
pub fn fingerprint(path: &str, number: u64) -> Fingerprint {
    let body = &number.to_le_bytes();
    Fingerprint::new(&RequestParts {
        path,
        body,
        ..RequestParts::default()
    })
}

pub fn reply(status: u16, stamp: &str) -> Reply {
    Reply {
        status,
        stamp: Some(Bytes::copy_from_slice(stamp.as_bytes())),
        missing: 0,
        peer: None,
        not_run: false,
        wrong_server: false,
        leaving: false,
        retry_after: None,
        rate_limit: None,
        server_load: None,
        warm_up_left: None,
        encoded: false,
        headers: Vec::new(),
        body: Bytes::from_static(b"0123456789abcdef"),
    }
}

/// A search route over shards `s0..` under `/search/`.
pub fn search(shards: usize, objective: u64, min_coverage: f64) -> Route {
    let shard = |n| ServiceName::from(format!("s{n}").as_str());
    Route {
        name: "search".into(),
        prefix: "/search/".to_owned(),
        target: Target::Search(Search {
            shards: (0..shards).map(shard).collect(),
            top_k: 10,
            min_coverage,
        }),
        repeat: jasminepond_routes::Repeat::Allowed,
        timeout: Millis(800),
        objective: Millis(objective),
        ..Route::default()
    }
}

/// A route to the service `one` under `/one/`.
pub fn single(repeat: jasminepond_routes::Repeat) -> Route {
    Route {
        name: "one".into(),
        prefix: "/one/".to_owned(),
        target: Target::Service("one".into()),
        repeat,
        timeout: Millis(4_000),
        objective: Millis(250),
        ..Route::default()
    }
}
