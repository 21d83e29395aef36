//! One backend server: its queue, its connections and the calls in flight.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use jasminepond_backend::{
    self as backend, Call, CallId, CallOutcome, Command, Connection, NotRunReason, Options, Sent,
};
use jasminepond_config::Config;
use jasminepond_dispatch::{
    Action, Cancelled, ConnId, Enqueue, Health, LostWork, NotRun, Outcome, ServerQueue,
    ServerState, Settings, Work,
};
use jasminepond_types::{ErrorKind, Millis, ServerId, Slots, Timestamp};
use jasminepond_wire::{ServerCondition, ServerHint};
use spdlog::debug;

use super::{
    Context, Event, ServerKey, ServerStatus,
    work::{Completion, Request, WorkKey, WorkTable},
};

/// Timeout of the TCP handshake with a server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval of the health calls that check whether a leaving server is ready again.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a report that a server is leaving overrides the server's own
/// ready state, since a server may not know that its machine is going to stop.
/// Longer than the 15 s interval at which the report is repeated while the
/// instance list contains the server as leaving.
const LEAVING_HOLD: Duration = Duration::from_secs(20);

/// Id of the first connection to a server.
const FIRST_CONN_ID: u64 = 1;

/// The call in flight on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InFlight {
    Nothing,
    Work(WorkKey),
    /// A health or cancel call.
    Check,
}

struct Conn {
    handle: Connection,
    in_flight: InFlight,
    /// Opened for a health call to a leaving server; unknown to the queue.
    probe: bool,
}

/// Result of handling an event of a connection.
pub enum ConnStep {
    /// Only the queue needs to be polled.
    Nothing,
    /// The request is completed.
    Finish(WorkKey, Completion),
    /// The request is known not to have been sent and goes back to the queue.
    Requeue(WorkKey),
}

/// Result of one action of the queue.
pub enum Step {
    /// The queue may have another action.
    Again,
    /// The queue discarded the request before it was sent.
    Expire(WorkKey, ErrorKind),
    /// The queue has no action before this time.
    Idle(Option<Timestamp>),
}

/// Effect of a configuration change on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The server continues under the new settings.
    Kept,
    /// The server was removed or has another address: this state drains.
    Replaced,
}

/// State of one server.
pub struct Server {
    id: ServerId,
    address: SocketAddr,
    max_answer: usize,
    queue: ServerQueue,
    conns: HashMap<ConnId, Conn>,
    next_conn: u64,
    retired: bool,
    /// Whether its zone is evacuated: it gets no requests, including health calls.
    evacuated: bool,
    next_probe: Timestamp,
    /// End of the time in which a report that it is leaving overrides its own state.
    leaving_until: Timestamp,
    /// Time at which the queue is polled again.
    pub timer: Option<Timestamp>,
}

/// Settings of the queue for a configured server.
fn settings(server: &jasminepond_config::Server, config: &Config) -> Settings {
    let candidates = config.routing.owner_candidates.max(1);
    Settings {
        slots: server.slots,
        connection_quota: (server.connection_limit.get() / candidates).max(1),
        queue_limit: config.routing.queue_limit,
        starvation_share: config.routing.starvation_share,
        warm_connections: server.slots.get(),
        ..Settings::default()
    }
}

/// Name of a health state in logs and on the status page.
pub fn health_name(health: Health) -> &'static str {
    match health {
        Health::Ready => "ready",
        Health::Ramping => "ramping",
        Health::Failing => "failing",
        Health::Down => "down",
        Health::Draining => "draining",
    }
}

impl Server {
    /// Creates the state of a server; `None` if it is not configured.
    pub fn new(now: Timestamp, id: ServerId, config: &Config) -> Option<Self> {
        let server = config.servers.get(&id)?;
        let queue = ServerQueue::new(now, settings(server, config), rand::random());
        let evacuated = !config.may_send_to(server);
        let mut server = Self {
            id,
            address: server.address,
            max_answer: usize::try_from(config.limits.max_answer_bytes.get()).unwrap_or(usize::MAX),
            queue,
            conns: HashMap::new(),
            next_conn: FIRST_CONN_ID,
            retired: false,
            evacuated: false,
            next_probe: Timestamp::ZERO,
            leaving_until: Timestamp::ZERO,
            timer: None,
        };
        server.set_evacuated(now, evacuated);
        Some(server)
    }

    /// Id of the server.
    pub fn id(&self) -> &ServerId {
        &self.id
    }

    /// Its health as observed by this owner.
    pub fn health(&self) -> Health {
        self.queue.hint().health
    }

    /// Whether the configuration no longer contains it under the same address.
    pub fn retired(&self) -> bool {
        self.retired
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Time for which it has had no requests.
    pub fn idle_for(&self, now: Timestamp) -> Duration {
        self.queue.idle_time(now)
    }

    /// The current load and health of the server, for entry daemons.
    pub fn hint(&self) -> ServerHint {
        let hint = self.queue.hint();
        ServerHint {
            server: self.id.clone(),
            queued: hint.queued,
            running: hint.running,
            slots: Slots(hint.slots),
            service_us: hint.service_us,
            condition: wire_condition(hint.health),
            top_priority: wire_priority(hint.top_priority),
            top_queued: hint.top_queued,
        }
    }

    /// The current load and health of the server, for the status page.
    pub fn status(&self) -> ServerStatus {
        let hint = self.queue.hint();
        ServerStatus {
            server: self.id.clone(),
            health: health_name(hint.health),
            evacuated: self.evacuated,
            queued: hint.queued,
            running: hint.running,
            slots: hint.slots,
            connections: self.queue.connections(),
            service_us: hint.service_us,
        }
    }

    /// Adds a request to the queue, which may refuse it.
    pub fn enqueue(
        &mut self,
        now: Timestamp,
        table: &WorkTable,
        key: WorkKey,
    ) -> Result<(), (ErrorKind, Millis)> {
        let Some(request) = table.get(key) else {
            return Ok(());
        };
        match self.queue.enqueue(now, queued_work(key, request)) {
            Enqueue::Queued => Ok(()),
            Enqueue::Refused { kind, retry_after } => Err((kind, retry_after)),
        }
    }

    /// Performs the next action of the queue.
    pub fn next(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        cx: &Context,
        table: &WorkTable,
    ) -> Step {
        match self.queue.next(now) {
            Action::Start { work, conn } => {
                self.start(now, WorkKey::from_work_id(work), conn, table)
            }
            Action::Connect => {
                self.open(key, cx, false);
            }
            Action::Close { conn } => {
                if let Some(conn) = self.conns.get(&conn) {
                    conn.handle.send(Command::Close);
                }
            }
            Action::Check { conn } => self.call(conn, InFlight::Check, CHECK_CALL, Call::Health),
            Action::Discard { work, kind } => {
                return Step::Expire(WorkKey::from_work_id(work), kind);
            }
            Action::Idle { until } => return Step::Idle(until),
        }
        Step::Again
    }

    fn start(&mut self, now: Timestamp, work: WorkKey, conn: ConnId, table: &WorkTable) {
        if let Some(request) = table.get(work) {
            let id = CallId(work.work_id().0);
            self.call(conn, InFlight::Work(work), id, request.call(now));
        }
    }

    fn call(&mut self, conn: ConnId, in_flight: InFlight, id: CallId, call: Call) {
        if let Some(conn) = self.conns.get_mut(&conn) {
            conn.in_flight = in_flight;
            conn.handle.send(Command::Call { id, call });
        }
    }

    fn open(&mut self, key: ServerKey, cx: &Context, probe: bool) {
        let id = ConnId(self.next_conn);
        self.next_conn += 1;
        let options = Options {
            address: self.address,
            id_prefix: cx.origin.clone(),
            connect_timeout: CONNECT_TIMEOUT,
            max_body: self.max_answer,
        };
        let tx = cx.tx.clone();
        let events: backend::EventHandler = Rc::new(move |event| {
            let _ = tx.unbounded_send(Event::Conn {
                server: key,
                conn: id,
                event,
            });
        });
        let handle = cx.dialer.dial(options, events);
        self.conns.insert(
            id,
            Conn {
                handle,
                in_flight: InFlight::Nothing,
                probe,
            },
        );
    }

    /// Handles an event of a connection.
    pub fn on_conn(&mut self, now: Timestamp, id: ConnId, event: backend::Event) -> ConnStep {
        let Some(conn) = self.conns.get_mut(&id) else {
            return ConnStep::Nothing;
        };
        if conn.probe {
            self.on_probe(now, id, event);
            return ConnStep::Nothing;
        }
        match event {
            backend::Event::Connected => self.queue.connected(now, id),
            backend::Event::ConnectFailed(cause) => {
                debug!("owner: connecting to {} failed: {cause}", self.id);
                self.conns.remove(&id);
                self.queue.connect_failed(now);
            }
            backend::Event::Reply { reply, .. } => return self.on_reply(now, id, reply),
            backend::Event::Closed { call, cause } => {
                return self.on_closed(now, id, call.map(|(_, sent)| sent), cause);
            }
        }
        ConnStep::Nothing
    }

    fn on_reply(&mut self, now: Timestamp, id: ConnId, reply: backend::Reply) -> ConnStep {
        let Some(conn) = self.conns.get_mut(&id) else {
            return ConnStep::Nothing;
        };
        let in_flight = std::mem::replace(&mut conn.in_flight, InFlight::Nothing);
        let step = match in_flight {
            InFlight::Nothing => ConnStep::Nothing,
            InFlight::Check => {
                self.queue.checked(now, id, checked_state(&reply.outcome));
                ConnStep::Nothing
            }
            InFlight::Work(work) => match self.queue.completed(now, id, dispatch_outcome(&reply)) {
                Some(_) => ConnStep::Finish(work, Completion::from_call(reply.outcome)),
                // The request was cancelled, so its response is dropped.
                None => ConnStep::Nothing,
            },
        };
        if reply.hints.draining {
            self.set_draining(now);
        }
        step
    }

    fn on_closed(
        &mut self,
        now: Timestamp,
        id: ConnId,
        sent: Option<Sent>,
        cause: String,
    ) -> ConnStep {
        let Some(conn) = self.conns.remove(&id) else {
            return ConnStep::Nothing;
        };
        if let (InFlight::Work(work), Some(Sent::No)) = (conn.in_flight, sent) {
            let not_sent = Outcome::NotRun {
                reason: NotRun::NotSent,
                retry_after: None,
            };
            let not_sent_work = self.queue.completed(now, id, not_sent);
            self.queue.closed(now, id);
            return match not_sent_work {
                Some(_) => ConnStep::Requeue(work),
                None => ConnStep::Nothing,
            };
        }
        match self.queue.closed(now, id) {
            LostWork::None => ConnStep::Nothing,
            LostWork::Retryable { work } | LostWork::OutcomeUnknown { work } => {
                let completion = match sent {
                    Some(Sent::InvalidResponse) => Completion::InvalidResponse(cause),
                    _ => Completion::ConnectionLost(cause),
                };
                ConnStep::Finish(WorkKey::from_work_id(work), completion)
            }
        }
    }

    /// Cancels a request, with a cancel call to the server if it was sent.
    pub fn cancel(&mut self, now: Timestamp, work: WorkKey) {
        if let Cancelled::SendCancel { via: Some(via), .. } = self.queue.cancel(now, work.work_id())
        {
            let ids = vec![CallId(work.work_id().0)];
            self.call(via, InFlight::Check, CHECK_CALL, Call::Cancel(ids));
        }
    }

    /// Applies a changed configuration.
    pub fn apply(&mut self, now: Timestamp, config: &Config) -> Applied {
        match config.servers.get(&self.id) {
            Some(server) if server.address == self.address => {
                self.queue.update_settings(now, settings(server, config));
                self.set_evacuated(now, !config.may_send_to(server));
                Applied::Kept
            }
            _ => {
                self.retired = true;
                self.queue.set_draining(now);
                Applied::Replaced
            }
        }
    }

    /// Evacuates the server as if it was draining: queued requests are refused, running ones
    /// complete and idle connections are closed. Afterwards a health call decides whether it
    /// is used again, beginning with one slot, since it may be cold or draining itself.
    fn set_evacuated(&mut self, now: Timestamp, evacuated: bool) {
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        match (before, evacuated) {
            (false, true) => self.queue.set_draining(now),
            (true, false) => self.next_probe = now,
            (true, true) | (false, false) => {}
        }
    }

    /// Marks the server as draining: it gets no new requests.
    pub fn set_draining(&mut self, now: Timestamp) {
        if self.health() != Health::Draining {
            self.next_probe = now + PROBE_INTERVAL;
            self.queue.set_draining(now);
        }
    }

    /// Handles a report of the instance list or another daemon that the server is
    /// leaving.
    pub fn reported_leaving(&mut self, now: Timestamp) {
        self.leaving_until = now + LEAVING_HOLD;
        self.set_draining(now);
    }

    /// Handles the end of a pause of the process.
    pub fn on_resumed(&mut self, now: Timestamp) {
        self.queue.resumed(now);
    }

    /// Checks periodically whether a leaving server is ready again. This uses a
    /// health call, since a leaving server must get no new requests.
    pub fn probe(&mut self, now: Timestamp, key: ServerKey, cx: &Context) {
        if self.retired
            || self.evacuated
            || self.health() != Health::Draining
            || now < self.next_probe
        {
            return;
        }
        self.next_probe = now + PROBE_INTERVAL;
        if !self.conns.values().any(|conn| conn.probe) {
            self.open(key, cx, true);
        }
    }

    fn on_probe(&mut self, now: Timestamp, id: ConnId, event: backend::Event) {
        match event {
            backend::Event::Connected if self.evacuated => {
                if let Some(conn) = self.conns.get(&id) {
                    conn.handle.send(Command::Close);
                }
            }
            backend::Event::Connected => self.call(id, InFlight::Check, CHECK_CALL, Call::Health),
            backend::Event::ConnectFailed(_) | backend::Event::Closed { .. } => {
                self.conns.remove(&id);
            }
            backend::Event::Reply { reply, .. } => {
                if let Some(conn) = self.conns.get(&id) {
                    conn.handle.send(Command::Close);
                }
                let ready = CallOutcome::Health(backend::ServerState::Ready);
                let ready = reply.outcome == ready && !reply.hints.draining;
                if ready && now >= self.leaving_until && !self.retired && !self.evacuated {
                    self.queue.set_ready(now);
                }
            }
        }
    }
}

fn wire_condition(health: Health) -> ServerCondition {
    match health {
        Health::Ready => ServerCondition::Ready,
        Health::Ramping => ServerCondition::Ramping,
        Health::Failing => ServerCondition::Failing,
        Health::Down => ServerCondition::Down,
        Health::Draining => ServerCondition::Draining,
    }
}

/// Converts a priority of the wire and the configuration, where the lowest number
/// goes first, to the rank used by the dispatch crate, where the highest goes first.
fn rank(priority: u8) -> u32 {
    u32::from(u8::MAX - priority)
}

fn wire_priority(rank: u32) -> u8 {
    u8::MAX - u8::try_from(rank).unwrap_or(u8::MAX)
}

/// Shared id of health and cancel calls, which are never cancelled themselves.
const CHECK_CALL: CallId = CallId(0);

fn queued_work(key: WorkKey, request: &Request) -> Work {
    Work {
        id: key.work_id(),
        tenant: request.tenant.clone(),
        weight: request.weight,
        priority: rank(request.priority),
        deadline: request.deadline,
        idempotent: matches!(request.task, super::work::Task::Search { .. }),
    }
}

fn checked_state(outcome: &CallOutcome) -> ServerState {
    match outcome {
        CallOutcome::Health(backend::ServerState::Starting) => ServerState::Starting,
        CallOutcome::Health(backend::ServerState::Draining) => ServerState::Draining,
        _ => ServerState::Ready,
    }
}

fn dispatch_outcome(reply: &backend::Reply) -> Outcome {
    match &reply.outcome {
        CallOutcome::Found(_) | CallOutcome::Executed(_) => Outcome::Done,
        CallOutcome::Cancelled => Outcome::Cancelled,
        CallOutcome::NotRun {
            reason,
            retry_after,
            ..
        } => {
            let reason = match reason {
                NotRunReason::Shed if reply.hints.draining => NotRun::Draining,
                NotRunReason::Shed => NotRun::Shed,
                NotRunReason::VersionUnavailable | NotRunReason::WrongShard => {
                    NotRun::VersionUnavailable
                }
                NotRunReason::Deadline => NotRun::Deadline,
            };
            Outcome::NotRun {
                reason,
                retry_after: *retry_after,
            }
        }
        CallOutcome::Failed { .. } | CallOutcome::Acknowledged | CallOutcome::Health(_) => {
            Outcome::Failed
        }
    }
}
