//! One backend server: its queue, its connections and what runs on them.

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
    work::{Ended, Request, WorkKey, WorkTable},
};

/// Longest time for the TCP handshake with a server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a leaving server is asked whether it has come back.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a report that a server is leaving holds, although the server
/// says that it is ready: a server may not know that its machine is to stop.
/// Above the 15 s at which a listed server is reported again.
const LEAVING_HOLD: Duration = Duration::from_secs(20);

/// Number of the first connection to a server.
const FIRST_CONN: u64 = 1;

/// What runs on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Busy {
    Nothing,
    Work(WorkKey),
    /// A health or cancel call of the queue.
    Check,
}

struct Conn {
    handle: Connection,
    busy: Busy,
    /// Opened to ask a leaving server for its state, outside the queue.
    probe: bool,
}

/// What follows from an event of a connection.
pub enum ConnStep {
    /// Nothing but to look at the queue again.
    Nothing,
    /// The request has ended.
    Finish(WorkKey, Ended),
    /// The request certainly did not leave; offer it again.
    Offer(WorkKey),
}

/// What follows from a look at the queue.
pub enum Step {
    /// Look again.
    Again,
    /// The request ended without being sent.
    Expire(WorkKey, ErrorKind),
    /// Nothing to do before this time.
    Idle(Option<Timestamp>),
}

/// What a configuration change meant for a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// It goes on under the new limits.
    Kept,
    /// It is no longer listed, or under another address: this state drains.
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
    next_probe: Timestamp,
    /// Until then the word of others that it is leaving counts more than its own.
    leaving_until: Timestamp,
    /// When the queue wants to be looked at again.
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

/// The name of a condition in logs and on the status page.
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
    /// State of a configured server; `None` if it is not configured.
    pub fn new(now: Timestamp, id: ServerId, config: &Config) -> Option<Self> {
        let server = config.servers.get(&id)?;
        let queue = ServerQueue::new(now, settings(server, config), rand::random());
        Some(Self {
            id,
            address: server.address,
            max_answer: usize::try_from(config.limits.max_answer_bytes.get()).unwrap_or(usize::MAX),
            queue,
            conns: HashMap::new(),
            next_conn: FIRST_CONN,
            retired: false,
            next_probe: Timestamp::ZERO,
            leaving_until: Timestamp::ZERO,
            timer: None,
        })
    }

    /// The server's id.
    pub fn id(&self) -> &ServerId {
        &self.id
    }

    /// Its condition.
    pub fn health(&self) -> Health {
        self.queue.hint().health
    }

    /// Whether the configuration no longer lists it as it was.
    pub fn retired(&self) -> bool {
        self.retired
    }

    /// Whether nothing is connected.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// How long it has had no work.
    pub fn idle_for(&self, now: Timestamp) -> Duration {
        self.queue.idle_time(now)
    }

    /// The present view of the server, for entry daemons.
    pub fn hint(&self) -> ServerHint {
        let hint = self.queue.hint();
        ServerHint {
            server: self.id.clone(),
            queued: hint.queued,
            running: hint.running,
            slots: Slots(hint.slots),
            service_us: hint.service_us,
            condition: condition(hint.health),
            top_priority: wire_priority(hint.top_priority),
            top_queued: hint.top_queued,
        }
    }

    /// The present view of the server, for the status page.
    pub fn status(&self) -> ServerStatus {
        let hint = self.queue.hint();
        ServerStatus {
            server: self.id.clone(),
            health: health_name(hint.health),
            queued: hint.queued,
            running: hint.running,
            slots: hint.slots,
            connections: self.queue.connections(),
            service_us: hint.service_us,
        }
    }

    /// Offers a request to the queue.
    pub fn enqueue(
        &mut self,
        now: Timestamp,
        table: &WorkTable,
        key: WorkKey,
    ) -> Result<(), (ErrorKind, Millis)> {
        let Some(request) = table.get(key) else {
            return Ok(());
        };
        match self.queue.enqueue(now, work(key, request)) {
            Enqueue::Queued => Ok(()),
            Enqueue::Refused { kind, retry_after } => Err((kind, retry_after)),
        }
    }

    /// Performs one action of the queue.
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
            Action::Check { conn } => self.call(conn, Busy::Check, CHECK_CALL, Call::Health),
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
            self.call(conn, Busy::Work(work), id, request.call(now));
        }
    }

    fn call(&mut self, conn: ConnId, busy: Busy, id: CallId, call: Call) {
        if let Some(conn) = self.conns.get_mut(&conn) {
            conn.busy = busy;
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
                busy: Busy::Nothing,
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
        let busy = std::mem::replace(&mut conn.busy, Busy::Nothing);
        let step = match busy {
            Busy::Nothing => ConnStep::Nothing,
            Busy::Check => {
                self.queue.checked(now, id, checked_state(&reply.outcome));
                ConnStep::Nothing
            }
            Busy::Work(work) => match self.queue.completed(now, id, dispatch_outcome(&reply)) {
                Some(_) => ConnStep::Finish(work, Ended::of(reply.outcome)),
                // The work was cancelled; this response ends the wait for it.
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
        if let (Busy::Work(work), Some(Sent::No)) = (conn.busy, sent) {
            let not_sent = Outcome::NotRun {
                reason: NotRun::NotSent,
                retry_after: None,
            };
            let unsent = self.queue.completed(now, id, not_sent);
            self.queue.closed(now, id);
            return match unsent {
                Some(_) => ConnStep::Offer(work),
                None => ConnStep::Nothing,
            };
        }
        match self.queue.closed(now, id) {
            LostWork::None => ConnStep::Nothing,
            LostWork::Retryable { work } | LostWork::OutcomeUnknown { work } => {
                let ended = match sent {
                    Some(Sent::InvalidResponse) => Ended::Unreadable(cause),
                    _ => Ended::Lost(cause),
                };
                ConnStep::Finish(WorkKey::from_work_id(work), ended)
            }
        }
    }

    /// Gives up a request.
    pub fn cancel(&mut self, now: Timestamp, work: WorkKey) {
        if let Cancelled::SendCancel { via: Some(via), .. } = self.queue.cancel(now, work.work_id())
        {
            let ids = vec![CallId(work.work_id().0)];
            self.call(via, Busy::Check, CHECK_CALL, Call::Cancel(ids));
        }
    }

    /// Puts a changed configuration into effect.
    pub fn apply(&mut self, now: Timestamp, config: &Config) -> Applied {
        match config.servers.get(&self.id) {
            Some(server) if server.address == self.address => {
                self.queue.update_settings(now, settings(server, config));
                Applied::Kept
            }
            _ => {
                self.retired = true;
                self.queue.set_draining(now);
                Applied::Replaced
            }
        }
    }

    /// The server is leaving: it gets no new work.
    pub fn set_draining(&mut self, now: Timestamp) {
        if self.health() != Health::Draining {
            self.next_probe = now + PROBE_INTERVAL;
            self.queue.set_draining(now);
        }
    }

    /// The instance list or another daemon says that the server is leaving.
    pub fn reported_leaving(&mut self, now: Timestamp) {
        self.leaving_until = now + LEAVING_HOLD;
        self.set_draining(now);
    }

    /// The process has resumed from a pause.
    pub fn woke(&mut self, now: Timestamp) {
        self.queue.resumed(now);
    }

    /// Asks a leaving server now and then whether it has come back. The question
    /// is a health call, since a request would be new work.
    pub fn probe(&mut self, now: Timestamp, key: ServerKey, cx: &Context) {
        if self.retired || self.health() != Health::Draining || now < self.next_probe {
            return;
        }
        self.next_probe = now + PROBE_INTERVAL;
        if !self.conns.values().any(|conn| conn.probe) {
            self.open(key, cx, true);
        }
    }

    fn on_probe(&mut self, now: Timestamp, id: ConnId, event: backend::Event) {
        match event {
            backend::Event::Connected => self.call(id, Busy::Check, CHECK_CALL, Call::Health),
            backend::Event::ConnectFailed(_) | backend::Event::Closed { .. } => {
                self.conns.remove(&id);
            }
            backend::Event::Reply { reply, .. } => {
                if let Some(conn) = self.conns.get(&id) {
                    conn.handle.send(Command::Close);
                }
                let ready = CallOutcome::Health(backend::ServerState::Ready);
                let ready = reply.outcome == ready && !reply.hints.draining;
                if ready && now >= self.leaving_until && !self.retired {
                    self.queue.set_ready(now);
                }
            }
        }
    }
}

fn condition(health: Health) -> ServerCondition {
    match health {
        Health::Ready => ServerCondition::Ready,
        Health::Ramping => ServerCondition::Ramping,
        Health::Failing => ServerCondition::Failing,
        Health::Down => ServerCondition::Down,
        Health::Draining => ServerCondition::Draining,
    }
}

/// On the wire and in the configuration the lowest number goes first.
fn rank(priority: u8) -> u32 {
    u32::from(u8::MAX - priority)
}

fn wire_priority(rank: u32) -> u8 {
    u8::MAX - u8::try_from(rank).unwrap_or(u8::MAX)
}

/// Id of health and cancel calls, which are never cancelled themselves.
const CHECK_CALL: CallId = CallId(0);

fn work(key: WorkKey, request: &Request) -> Work {
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
