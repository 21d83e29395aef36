//! Connects the forwarder with the tasks that own the sockets.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    task::Poll,
    time::Duration,
};

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::{FutureExt, future::poll_fn, select_biased, task::AtomicWaker};
use jasminepond_daemon::clock::Clock;
use jasminepond_discovery::{Position, Source};
use jasminepond_forward::{
    Action, ActiveRoute, Answer, Arrival, CallerId, ConnKey, ContactEvent, DelegatedPart,
    DelegationRequest, EvidenceSource, Exchange, Forwarder, LostCall, QueueReport, ReqKey,
    SearchId, ServerEvent, StatedLimit, StatedLoad, Summary,
};
use jasminepond_quarantine::{Change, Fingerprint, State};
use jasminepond_types::{Millis, Timestamp};
use slotmap::SecondaryMap;
use spdlog::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    BufferedBytes, HeaderNames,
    backend::{self, Outgoing},
    backlog::ServerRoom,
    metrics::Metrics,
    peers,
    response::ExpectedResponse,
    socket_set::SocketSet,
};

/// A caller's request to be sent to backend servers, without the headers that differ
/// between servers.
#[derive(Debug)]
pub struct Outbound {
    /// Request line and headers, without the final empty line.
    pub head: Vec<u8>,
    /// Body of the request.
    pub body: Bytes,
    /// Id of the caller's attempt.
    pub request_id: Bytes,
    /// How to parse a response. Headers are forwarded only from a single server, not from
    /// the parts of a search.
    pub expected: ExpectedResponse,
}

struct PendingCaller {
    reply: oneshot::Sender<Answer>,
    outbound: Outbound,
}

/// A datagram to another daemon and its address.
pub type Datagram = (SocketAddr, Vec<u8>);

/// Owns the forwarder and executes its actions.
pub struct Hub {
    clock: Clock,
    headers: HeaderNames,
    forwarder: RefCell<Forwarder>,
    conns: RefCell<SecondaryMap<ConnKey, backend::Sender>>,
    callers: RefCell<SecondaryMap<ReqKey, PendingCaller>>,
    /// Time at which the timer task wakes, or `None` if nothing is due.
    timer_due: Cell<Option<Timestamp>>,
    timer_waker: AtomicWaker,
    metrics: Rc<Metrics>,
    sockets: Rc<SocketSet>,
    buffered: BufferedBytes,
    /// Datagrams to other daemons, sent by the membership task.
    datagrams: RefCell<Option<mpsc::Sender<Datagram>>>,
    /// Tells the membership task whether this daemon reaches backend servers.
    contact: RefCell<Option<mpsc::UnboundedSender<bool>>>,
    /// Set once a release and all backend servers have been read.
    complete: Rc<Cell<bool>>,
    store_state: Cell<StoreState>,
}

/// How current the releases and entries are that this daemon uses.
#[derive(Debug, Clone, Copy)]
pub struct StoreState {
    /// Source that last confirmed the state.
    pub source: Source,
    /// Time for which the store last confirmed the state, or the start of the process.
    pub confirmed_at: Timestamp,
    /// Position up to which changes are known.
    pub position: Position,
}

impl Hub {
    /// Creates a hub. [`Hub::run_timers`] must be spawned for it.
    pub fn new(
        clock: Clock,
        headers: HeaderNames,
        forwarder: Forwarder,
        metrics: Rc<Metrics>,
        sockets: Rc<SocketSet>,
        buffered: BufferedBytes,
        complete: Rc<Cell<bool>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            headers,
            forwarder: RefCell::new(forwarder),
            conns: RefCell::default(),
            callers: RefCell::default(),
            timer_due: Cell::new(None),
            timer_waker: AtomicWaker::new(),
            metrics,
            sockets,
            buffered,
            datagrams: RefCell::default(),
            contact: RefCell::default(),
            complete,
            store_state: Cell::new(StoreState {
                source: Source::Store,
                confirmed_at: Timestamp::ZERO,
                position: Position::default(),
            }),
        })
    }

    /// Returns how current the releases and entries are.
    pub fn store_state(&self) -> StoreState {
        self.store_state.get()
    }

    /// Notes how current the releases and entries are.
    pub fn set_store_state(&self, state: StoreState) {
        self.store_state.set(state);
    }

    /// Sets the queue of datagrams to other daemons. Without one they are dropped.
    pub fn set_datagrams(&self, tx: mpsc::Sender<Datagram>) {
        *self.datagrams.borrow_mut() = Some(tx);
    }

    /// Sets who is told whether this daemon reaches backend servers.
    pub fn set_contact_listener(&self, tx: mpsc::UnboundedSender<bool>) {
        *self.contact.borrow_mut() = Some(tx);
    }

    /// Returns the header names of the platform.
    pub fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns whether a release and all backend servers have been read.
    pub fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// Returns the sockets of connections to backend servers.
    pub fn sockets(&self) -> &Rc<SocketSet> {
        &self.sockets
    }

    /// Returns the count of the bytes held for callers and servers.
    pub fn buffered_bytes(&self) -> &BufferedBytes {
        &self.buffered
    }

    /// Returns the clock used for the forwarder.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Calls `read` with the forwarder.
    pub fn read<T>(&self, read: impl FnOnce(&Forwarder) -> T) -> T {
        read(&self.forwarder.borrow())
    }

    /// Calls `change` with the forwarder and the current time, and executes the resulting
    /// actions.
    pub fn change<T>(self: &Rc<Self>, change: impl FnOnce(&mut Forwarder, Timestamp) -> T) -> T {
        let now = self.clock.now();
        let result = change(&mut self.forwarder.borrow_mut(), now);
        self.execute_actions();
        result
    }

    /// Submits a caller's request to the forwarder. The answer is sent to the receiver.
    pub fn submit(
        self: &Rc<Self>,
        route: Rc<ActiveRoute>,
        time_left: Duration,
        fingerprint: Fingerprint,
        caller: CallerId,
        delegated: Option<DelegatedPart>,
        outbound: Outbound,
    ) -> (ReqKey, oneshot::Receiver<Answer>) {
        let (reply, answer) = oneshot::channel();
        let now = self.clock.now();
        let arrival = Arrival {
            route,
            time_left,
            fingerprint,
            search: SearchId::of_request(&outbound.request_id),
            caller,
            draw: draw(&outbound.request_id),
            delegated,
        };
        let key = self.forwarder.borrow_mut().submit(now, arrival);
        let caller = PendingCaller { reply, outbound };
        self.callers.borrow_mut().insert(key, caller);
        self.execute_actions();
        (key, answer)
    }

    /// Handles a caller that disconnected before its answer.
    pub fn caller_left(self: &Rc<Self>, req: ReqKey) {
        self.change(|forwarder, now| forwarder.caller_left(now, req));
    }

    /// Handles a connection that was opened.
    pub fn connected(self: &Rc<Self>, conn: ConnKey) {
        self.metrics.connected();
        self.change(|forwarder, now| forwarder.connected(now, conn));
    }

    /// Handles a connection that could not be opened.
    pub fn connect_failed(self: &Rc<Self>, conn: ConnKey, cause: &str) {
        self.metrics.connect_failed();
        let server = self.read(|forwarder| forwarder.server_of(conn));
        info!("gateway: a connection to a backend server failed", kv: { server: = server.as_deref().unwrap_or("?"), cause });
        self.change(|forwarder, now| forwarder.connect_failed(now, conn));
        self.conns.borrow_mut().remove(conn);
    }

    /// Handles the end of a connection.
    pub fn closed(self: &Rc<Self>, conn: ConnKey, lost: LostCall, cause: &str) {
        if lost == LostCall::MayHaveRun {
            self.log_lost_call(conn, cause);
        }
        self.change(|forwarder, now| forwarder.closed(now, conn, lost));
        self.conns.borrow_mut().remove(conn);
    }

    /// Logs which request was in progress on a connection that ended.
    fn log_lost_call(&self, conn: ConnKey, cause: &str) {
        let now = self.clock.now();
        let (server, call) = self.read(|forwarder| {
            let call = forwarder.call_on(now, conn);
            (forwarder.server_of(conn), call)
        });
        let callers = self.callers.borrow();
        let caller = call.and_then(|call| callers.get(call.req));
        let id = caller.map_or(&b""[..], |caller| &caller.outbound.request_id);
        let fingerprint = call.and_then(|call| call.fingerprint);
        info!("gateway: a connection ended during a call", kv: {
            server: = server.as_deref().unwrap_or("?"),
            cause,
            id: = String::from_utf8_lossy(id),
            fingerprint: = fingerprint.map_or_else(String::new, |fingerprint| fingerprint.to_string()),
            unanswered_us = call.map_or(0, |call| call.unanswered.as_micros() as u64),
            parts_done = call.map_or(0, |call| call.parts_done),
        });
    }

    /// Handles a rate limit in the headers of a response that broke off.
    pub fn limit_stated(self: &Rc<Self>, conn: ConnKey, limit: StatedLimit) {
        self.change(|forwarder, now| forwarder.limit_stated(now, conn, limit));
    }

    /// Handles a server that has stopped to read requests, or reads them again.
    pub fn server_room_changed(self: &Rc<Self>, server: &str, room: ServerRoom) {
        let full = match room {
            ServerRoom::Unchanged => return,
            ServerRoom::Full => true,
            ServerRoom::Drained => false,
        };
        self.change(|forwarder, now| forwarder.set_unread(now, server, full));
    }

    /// Handles the response to a call.
    pub fn replied(self: &Rc<Self>, conn: ConnKey, exchange: Exchange) {
        if exchange.reply.server_load == Some(StatedLoad::Invalid) {
            self.metrics.invalid_load();
        }
        self.change(|forwarder, now| forwarder.replied(now, conn, exchange));
    }

    /// Calls [`Forwarder::tick`] whenever it is due. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.forwarder.borrow().next_tick();
            self.timer_due.set(next);
            let wait = match next {
                Some(at) => at.since(self.clock.now()),
                None => IDLE_WAIT,
            };
            if !wait.is_zero() {
                let mut earlier = poll_fn(|cx| {
                    self.timer_waker.register(cx.waker());
                    match self.timer_due.get() {
                        at if at == next => Poll::Pending,
                        _ => Poll::Ready(()),
                    }
                })
                .fuse();
                select_biased! {
                    _ = earlier => continue,
                    _ = std::pin::pin!(compio::time::sleep(wait).fuse()) => {}
                }
            }
            self.change(|forwarder, now| forwarder.tick(now));
        }
    }

    fn execute_actions(self: &Rc<Self>) {
        loop {
            let Some(action) = self.forwarder.borrow_mut().next_action() else {
                break;
            };
            self.execute(action);
        }
        self.report_queues();
        let next = self.forwarder.borrow().next_tick();
        let earlier = match (next, self.timer_due.get()) {
            (Some(next), Some(due)) => next < due,
            (next, None) => next.is_some(),
            (None, Some(_)) => false,
        };
        if earlier {
            self.timer_due.set(next);
            self.timer_waker.wake();
        }
    }

    /// Records the times that parts were queued, and logs a large backlog.
    fn report_queues(&self) {
        let mut forwarder = self.forwarder.borrow_mut();
        while let Some(wait) = forwarder.next_queue_wait() {
            self.metrics.dequeued(&wait);
        }
        if let Some(backlog) = forwarder.backlog_report(self.clock.now()) {
            log_backlog(&backlog);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Open { conn, address } => {
                let tx = backend::spawn(self.clone(), conn, address);
                self.conns.borrow_mut().insert(conn, tx);
            }
            Action::Close { conn } => {
                self.conns.borrow_mut().remove(conn);
            }
            Action::Send {
                conn,
                req,
                server,
                left,
                delegation,
                ..
            } => self.send(conn, req, &server, left, delegation),
            Action::CheckHealth { conn, server, path } => self.check_health(conn, &server, &path),
            Action::SendDatagram { to, message } => self.send_datagram(to, message.encode()),
            Action::SendEvidence { to, message } => self.send_datagram(to, message.encode()),
            Action::LogSuspect { change, source } => self.log_suspect(change, source),
            Action::LogServerEvent { server, event } => log_server_event(&server, event),
            Action::ContactChanged(event) => self.on_contact_changed(event),
            Action::LogGroups { own, groups } => {
                let own: Vec<_> = own.iter().map(ToString::to_string).collect();
                info!("gateway: groups of shards that this daemon handles", kv: { own = own.join(" "), groups });
            }
            Action::LogShardLoad { overloaded, counts } => {
                info!("gateway: load that shards cannot process", kv: {
                    overloaded,
                    refused = counts.refused,
                    shards_left_out = counts.left_out,
                });
            }
            Action::Answer {
                req,
                answer,
                summary,
            } => self.answer(req, answer, summary),
        }
    }

    fn send(
        &self,
        conn: ConnKey,
        req: ReqKey,
        server: &str,
        left: Millis,
        delegation: Option<DelegationRequest>,
    ) {
        let callers = self.callers.borrow();
        let conns = self.conns.borrow();
        let (Some(caller), Some(tx)) = (callers.get(req), conns.get(conn)) else {
            return;
        };
        let outbound = &caller.outbound;
        let mut bytes = Vec::with_capacity(outbound.head.len() + outbound.body.len() + 128);
        bytes.extend_from_slice(&outbound.head);
        let HeaderNames {
            time_left_ms,
            expected_server,
            ..
        } = self.headers;
        let server_headers = format!(
            "{time_left_ms}: {}\r\n{expected_server}: {server}\r\n\r\n",
            left.0
        );
        if let Some(delegation) = delegation {
            peers::write_headers(&mut bytes, &delegation);
        }
        bytes.extend_from_slice(server_headers.as_bytes());
        bytes.extend_from_slice(&outbound.body);
        // A task that has ended reports the end of the connection itself.
        let _ = tx.unbounded_send(Outgoing {
            bytes,
            request_id: outbound.request_id.clone(),
            expected: outbound.expected,
        });
    }

    /// Sends a health request.
    fn check_health(&self, conn: ConnKey, server: &str, path: &str) {
        let conns = self.conns.borrow();
        let Some(tx) = conns.get(conn) else {
            return;
        };
        let HeaderNames {
            request_id,
            time_left_ms,
            expected_server,
            ..
        } = self.headers;
        let id = format!("health-{server}-{}", self.clock.now());
        let left = HEALTH_TIME_LEFT.as_millis();
        let bytes = format!(
            "GET {path} HTTP/1.1\r\nhost: {server}\r\n{request_id}: {id}\r\n\
             {time_left_ms}: {left}\r\n{expected_server}: {server}\r\n\r\n"
        );
        // A task that has ended reports the end of the connection itself.
        let _ = tx.unbounded_send(Outgoing {
            bytes: bytes.into_bytes(),
            request_id: id.into(),
            expected: ExpectedResponse::default(),
        });
    }

    fn send_datagram(&self, to: SocketAddr, bytes: Vec<u8>) {
        let mut datagrams = self.datagrams.borrow_mut();
        let sent = datagrams.as_mut().map(|tx| tx.try_send((to, bytes)));
        if !matches!(sent, Some(Ok(()))) {
            self.metrics.datagram_dropped();
        }
    }

    fn answer(&self, req: ReqKey, answer: Option<Answer>, summary: Summary) {
        let Some(caller) = self.callers.borrow_mut().remove(req) else {
            return;
        };
        self.log_answer(&caller.outbound.request_id, answer.as_ref(), &summary);
        self.metrics.answered(&summary);
        if let Some(answer) = answer {
            // The receiver is gone if the caller has just disconnected.
            let _ = caller.reply.send(answer);
        }
    }

    fn on_contact_changed(&self, event: ContactEvent) {
        let millis = |time: Duration| time.as_millis() as u64;
        let reaches_servers = matches!(event, ContactEvent::Regained { .. });
        if let Some(tx) = &*self.contact.borrow() {
            // The receiver is gone only if the process is about to end.
            let _ = tx.unbounded_send(reaches_servers);
        }
        match event {
            ContactEvent::Lost { silence, services } => {
                self.metrics.contact_lost();
                let silence_ms = millis(silence);
                warn!("gateway: no backend server responds to this daemon", kv: { silence_ms, services });
            }
            ContactEvent::Regained { lost_for } => {
                let lost_ms = millis(lost_for);
                warn!("gateway: backend servers respond to this daemon again", kv: { lost_ms });
            }
        }
    }

    fn log_suspect(&self, change: Change, source: EvidenceSource) {
        if change.to == State::Held {
            self.metrics.request_held();
        }
        warn!("gateway: a request is presumed to end backend servers", kv: {
            fingerprint: = change.fingerprint,
            from = change.from.as_str(),
            to = change.to.as_str(),
            ended = change.ends,
            retry_ms = change.retry_in.as_millis() as u64,
            source: = source,
        });
    }

    fn log_answer(&self, id: &[u8], answer: Option<&Answer>, summary: &Summary) {
        let refusal = match answer {
            Some(Answer::Refused(refusal)) => refusal.kind.as_str(),
            _ => "",
        };
        info!("gateway: request", kv: {
            id: = String::from_utf8_lossy(id),
            route: = summary.route,
            release: = summary.version,
            verdict = summary.verdict.as_str(),
            refusal,
            took_us = summary.took.as_micros() as u64,
            sends = summary.sends,
            repeats = summary.repeats,
            over_budget = summary.over_budget,
            server: = summary.server.as_deref().unwrap_or(""),
            relayed = summary.relayed,
            missing: = summary.missing.join(" "),
        });
    }
}

/// Number of an attempt of a caller. Daemons pass its id on, so the number is equal on all.
fn draw(request_id: &[u8]) -> u64 {
    xxh3_64(request_id)
}

fn log_backlog(backlog: &[QueueReport]) {
    let by_class = |count: fn(&QueueReport) -> usize| {
        let counts = backlog.iter();
        let counts = counts.map(|report| format!("{}:{}", report.priority, count(report)));
        counts.collect::<Vec<_>>().join(" ")
    };
    warn!("gateway: many parts of requests wait for connections", kv: {
        parts: = by_class(|report| report.parts),
        late: = by_class(|report| report.late),
        services: = by_class(|report| report.services),
        callers: = by_class(|report| report.callers),
    });
}

fn log_server_event(server: &str, event: ServerEvent) {
    let millis = |time: Duration| time.as_millis() as u64;
    match event {
        ServerEvent::Stalled { unanswered } => {
            let unanswered_ms = millis(unanswered);
            info!("gateway: a backend server does not answer; requests go elsewhere", kv: { server, unanswered_ms });
        }
        ServerEvent::Recovered => info!("gateway: a backend server answers again", kv: { server }),
        ServerEvent::Unreachable { retry_in } => {
            let retry_ms = millis(retry_in);
            info!("gateway: a backend server cannot be reached", kv: { server, retry_ms });
        }
        ServerEvent::Stopping => {
            info!("gateway: a backend server is about to stop; requests go elsewhere", kv: { server });
        }
        ServerEvent::Unread => {
            info!("gateway: a backend server does not read requests; they go elsewhere", kv: { server });
        }
        ServerEvent::BackOff { wait } => {
            let wait_ms = millis(wait);
            info!("gateway: a backend server wants no requests for now", kv: { server, wait_ms });
        }
        ServerEvent::InvalidRetryAfter => {
            info!("gateway: a backend server's Retry-After cannot be read and is ignored", kv: { server });
        }
        ServerEvent::Limited { limit } => {
            let limit_per_s = limit.per_second();
            info!("gateway: a backend server states a rate limit", kv: { server, limit_per_s });
        }
        ServerEvent::LimitLifted => {
            info!("gateway: a backend server no longer states a rate limit", kv: { server });
        }
        ServerEvent::InvalidLimit => {
            info!("gateway: a backend server's rate limit cannot be read and is ignored", kv: { server });
        }
        ServerEvent::InvalidLoad => {
            info!("gateway: a backend server's load cannot be read and is ignored", kv: { server });
        }
        ServerEvent::NoRoom {
            connections,
            retry_in,
        } => {
            let retry_ms = millis(retry_in);
            info!("gateway: a backend server accepts no further connections", kv: { server, connections, retry_ms });
        }
        ServerEvent::Cold { limit } => {
            let limit_per_s = limit.per_second();
            info!("gateway: a backend server is cold", kv: { server, limit_per_s });
        }
        ServerEvent::Warm => info!("gateway: a backend server is warm", kv: { server }),
        ServerEvent::LimitUsage { limit, usage } => {
            let limit_per_s = limit.per_second();
            info!("gateway: sends to a backend server with a rate limit", kv: {
                server,
                limit_per_s,
                first = usage.first,
                hedged = usage.hedged,
                retried = usage.retried,
                held_back = usage.held_back,
            });
        }
        ServerEvent::AddressTaken => {
            info!("gateway: another server answers at the address of a backend server", kv: { server });
        }
    }
}

/// Time that a server has for a health request.
const HEALTH_TIME_LEFT: Duration = Duration::from_secs(1);

/// Sleep of the timer task while nothing is due. It is woken when something becomes due.
const IDLE_WAIT: Duration = Duration::from_secs(3_600);
