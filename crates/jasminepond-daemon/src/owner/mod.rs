//! The owner role: keeps the connections to backend servers, queues the requests
//! for them and sends the responses to the entry daemons.

mod server;
mod work;

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use futures_channel::{mpsc, oneshot};
use jasminepond_backend as backend;
use jasminepond_config::Config;
use jasminepond_dispatch::{ConnId, Health};
use jasminepond_types::{ErrorKind, ServerId, Timestamp};
use jasminepond_wire::{Cancel, Execute, ExecuteOutcome, Frame, PartResult, PartResults, Search};
use serde::Serialize;
use slotmap::{SlotMap, new_key_type};
use spdlog::info;

use crate::{
    clock::{Clock, PauseCount},
    mailbox::{self, Next},
    net::link::LinkId,
};

use server::Server;
use work::{Request, Task, WorkTable};

new_key_type! {
    /// Key of a server's state at its owner.
    pub struct ServerKey;
}

/// Where the response to a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ReplyTo {
    /// The entry role of this daemon.
    Local,
    /// The daemon at the other end of a link.
    Link(LinkId),
}

/// Input of the owner task.
#[derive(Debug)]
pub enum Event {
    /// A frame from the entry role of this or another daemon.
    Request {
        /// Receiver of the response.
        from: ReplyTo,
        /// `Search`, `Cancel` or `Execute`.
        frame: Frame,
    },
    /// An event of a connection to a server.
    Conn {
        /// The server.
        server: ServerKey,
        /// The connection.
        conn: ConnId,
        /// The event.
        event: backend::Event,
    },
    /// A configuration came into effect.
    Config(Arc<Config>),
    /// The link is down: requests that arrived on it are cancelled.
    LinkDown(LinkId),
    /// Another daemon or the instance list reports that a server is leaving.
    Leaving(ServerId),
    /// Signal the sender once no request is left.
    Drain(oneshot::Sender<()>),
    /// Returns the state of all servers.
    Status(oneshot::Sender<Vec<ServerStatus>>),
}

/// Output of the owner task.
#[derive(Debug)]
pub enum Report {
    /// A response for an entry role.
    Reply {
        /// Receiver of the response.
        to: ReplyTo,
        /// `PartResults` or `Executed`.
        frame: Frame,
    },
    /// The health of a server has changed.
    Server {
        /// The server.
        server: ServerId,
        /// Its new health.
        health: Health,
    },
}

/// State of one server for the status page.
#[derive(Debug, Clone, Serialize)]
pub struct ServerStatus {
    /// The server.
    pub server: ServerId,
    /// Its health as observed by this owner.
    pub health: &'static str,
    /// Whether it gets no requests because its zone is evacuated.
    pub evacuated: bool,
    /// Requests in the queue.
    pub queued: u32,
    /// Requests in progress.
    pub running: u32,
    /// Maximum number of requests in progress.
    pub slots: u32,
    /// Connections that are open, opening or closing.
    pub connections: u32,
    /// Median service time in microseconds.
    pub service_us: u32,
}

/// Sends events to the task.
pub type Sender = mpsc::UnboundedSender<Event>;

/// Dependencies of the task.
pub struct Context {
    /// The clock of the process.
    pub clock: Clock,
    /// Opens connections.
    pub dialer: Rc<dyn backend::Dialer>,
    /// Prefix of request ids, unique to this run of the daemon.
    pub origin: Arc<str>,
    /// Sends events of connections to the task.
    pub tx: Sender,
    /// Receives the output of the task.
    pub report: Rc<dyn Fn(Report)>,
}

/// Maximum number of events handled before the collected responses are sent.
const BATCH: usize = 256;

/// Time without requests after which the state of a server is dropped.
const IDLE_SERVER_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval at which leaving servers are probed and the state of idle ones dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// State of the owner task.
pub struct Owner {
    cx: Context,
    config: Option<Arc<Config>>,
    servers: SlotMap<ServerKey, Server>,
    by_id: HashMap<ServerId, ServerKey>,
    work: WorkTable,
    timers: BTreeSet<(Timestamp, ServerKey)>,
    replies: Vec<(ReplyTo, u64, PartResult)>,
    next_sweep: Timestamp,
    pauses: PauseCount,
    drained: Option<oneshot::Sender<()>>,
}

impl Owner {
    /// Creates the state without a configuration or servers.
    pub fn new(cx: Context) -> Self {
        Self {
            pauses: PauseCount::new(&cx.clock),
            drained: None,
            cx,
            config: None,
            servers: SlotMap::with_key(),
            by_id: HashMap::new(),
            work: WorkTable::default(),
            timers: BTreeSet::new(),
            replies: Vec::new(),
            next_sweep: Timestamp::ZERO,
        }
    }

    /// Handles events until the channel closes.
    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Event>) {
        loop {
            let now = self.cx.clock.now();
            let until = self
                .timers
                .first()
                .map_or(self.next_sweep, |t| t.0.min(self.next_sweep));
            let next = mailbox::next(&mut rx, Some(until.since(now))).await;
            self.cx.clock.now();
            if self.pauses.changed(&self.cx.clock) {
                self.on_resumed();
            }
            match next {
                Next::Event(event) => self.handle_batch(event, &mut rx),
                Next::Timer => {}
                Next::Closed => return,
            }
            self.run_timers();
            self.flush();
            self.signal_drained();
        }
    }

    fn handle_batch(&mut self, first: Event, rx: &mut mpsc::UnboundedReceiver<Event>) {
        self.handle(first);
        for _ in 1..BATCH {
            match rx.try_recv() {
                Ok(event) => self.handle(event),
                Err(_) => break,
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request {
                from,
                frame: Frame::Search(search),
            } => self.on_search(from, search),
            Event::Request {
                from,
                frame: Frame::Execute(execute),
            } => {
                self.on_execute(from, execute);
            }
            Event::Request {
                from,
                frame: Frame::Cancel(cancel),
            } => self.on_cancel(from, cancel),
            Event::Request { .. } => {}
            Event::Conn {
                server,
                conn,
                event,
            } => self.on_conn(server, conn, event),
            Event::Config(config) => self.on_config(config),
            Event::LinkDown(link) => self.on_link_down(link),
            Event::Leaving(server) => self.on_leaving(&server),
            Event::Drain(tx) => self.drained = Some(tx),
            Event::Status(tx) => {
                let _ = tx.send(self.servers.values().map(Server::status).collect());
            }
        }
    }

    fn signal_drained(&mut self) {
        if self.work.is_empty()
            && let Some(tx) = self.drained.take()
        {
            let _ = tx.send(());
        }
    }

    /// Returns the state of a configured server, created on first use.
    fn server(&mut self, now: Timestamp, id: &ServerId) -> Option<ServerKey> {
        if let Some(&key) = self.by_id.get(id) {
            return Some(key);
        }
        let config = self.config.as_ref()?;
        let server = Server::new(now, id.clone(), config)?;
        let key = self.servers.insert(server);
        self.by_id.insert(id.clone(), key);
        Some(key)
    }

    fn on_search(&mut self, from: ReplyTo, search: Search) {
        let now = self.cx.clock.now();
        let deadline = now + search.left.duration();
        let query: Arc<str> = search.query.into();
        for part in search.parts {
            let request = Request {
                from,
                id: search.id,
                tenant: search.tenant.clone(),
                weight: search.weight,
                priority: search.priority,
                deadline,
                task: Task::Search {
                    part: part.part,
                    service: part.service,
                    version: search.version,
                    query: query.clone(),
                    limit: search.limit,
                },
            };
            self.enqueue(now, &part.server, request);
        }
    }

    fn on_execute(&mut self, from: ReplyTo, execute: Execute) {
        let now = self.cx.clock.now();
        let request = Request {
            from,
            id: execute.id,
            tenant: execute.tenant,
            weight: execute.weight,
            priority: execute.priority,
            deadline: now + execute.left.duration(),
            task: Task::Execute {
                key: execute.key.into(),
                operation: execute.operation,
            },
        };
        self.enqueue(now, &execute.server, request);
    }

    fn enqueue(&mut self, now: Timestamp, server: &ServerId, request: Request) {
        let Some(key) = self.server(now, server) else {
            let completion = work::Completion::Refused(ErrorKind::NoBackend, None);
            return self.answer(request, completion, None);
        };
        let work = self.work.insert(key, request);
        self.submit(now, key, work);
    }

    fn submit(&mut self, now: Timestamp, key: ServerKey, work: work::WorkKey) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        if let Err((kind, retry_after)) = server.enqueue(now, &self.work, work) {
            self.finish(work, work::Completion::Refused(kind, Some(retry_after)));
        }
        self.pump(now, key);
    }

    /// Removes a completed request and sends its response.
    fn finish(&mut self, work: work::WorkKey, completion: work::Completion) {
        let Some((key, request)) = self.work.remove(work) else {
            return;
        };
        let hint = self.servers.get(key).map(Server::hint);
        self.answer(request, completion, hint);
    }

    fn answer(
        &mut self,
        request: Request,
        completion: work::Completion,
        hint: Option<jasminepond_wire::ServerHint>,
    ) {
        match request.task {
            Task::Search { part, .. } => {
                let item = PartResult {
                    part,
                    outcome: completion.part_outcome(),
                    hint,
                };
                self.replies.push((request.from, request.id, item));
            }
            Task::Execute { .. } => {
                let outcome: ExecuteOutcome = completion.execute_outcome();
                let executed = jasminepond_wire::Executed {
                    id: request.id,
                    outcome,
                };
                let frame = Frame::Executed(executed);
                (self.cx.report)(Report::Reply {
                    to: request.from,
                    frame,
                });
            }
        }
    }

    /// Sends the collected results, one frame per search.
    fn flush(&mut self) {
        let mut replies = std::mem::take(&mut self.replies);
        replies.sort_by_key(|(to, id, _)| (*to, *id));
        let mut rest = replies.into_iter().peekable();
        while let Some((to, id, item)) = rest.next() {
            let mut items = vec![item];
            while let Some((_, _, item)) = rest.next_if(|(t, i, _)| (*t, *i) == (to, id)) {
                items.push(item);
            }
            let frame = Frame::PartResults(PartResults { id, items });
            (self.cx.report)(Report::Reply { to, frame });
        }
    }

    fn on_cancel(&mut self, from: ReplyTo, cancel: Cancel) {
        let now = self.cx.clock.now();
        for part in cancel.parts {
            if let Some(work) = self.work.find(from, cancel.id, part) {
                self.abandon(now, work);
            }
        }
    }

    fn abandon(&mut self, now: Timestamp, work: work::WorkKey) {
        let Some((key, request)) = self.work.remove(work) else {
            return;
        };
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.cancel(now, work);
        // The response returns the sender's flow control credit.
        let hint = Some(server.hint());
        self.answer(request, work::Completion::Cancelled, hint);
        self.pump(now, key);
    }

    fn on_link_down(&mut self, link: LinkId) {
        let now = self.cx.clock.now();
        for work in self.work.for_link(link) {
            // A non-idempotent request that has not been sent yet must not run: the
            // entry daemon has already reported the outcome as unknown or not run.
            self.abandon(now, work);
        }
    }

    fn on_conn(&mut self, key: ServerKey, conn: ConnId, event: backend::Event) {
        let now = self.cx.clock.now();
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let previous = server.health();
        match server.on_conn(now, conn, event) {
            server::ConnStep::Nothing => {}
            server::ConnStep::Finish(work, completion) => self.finish(work, completion),
            server::ConnStep::Requeue(work) => self.submit(now, key, work),
        }
        self.report_health_change(key, previous);
        self.pump(now, key);
    }

    fn report_health_change(&self, key: ServerKey, previous: Health) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let health = server.health();
        if health == previous {
            return;
        }
        info!(
            "owner: server {} is {}",
            server.id(),
            server::health_name(health)
        );
        (self.cx.report)(Report::Server {
            server: server.id().clone(),
            health,
        });
    }

    /// Performs the actions of the server's queue until it is idle.
    fn pump(&mut self, now: Timestamp, key: ServerKey) {
        loop {
            let Some(server) = self.servers.get_mut(key) else {
                return;
            };
            match server.next(now, key, &self.cx, &self.work) {
                server::Step::Again => {}
                server::Step::Expire(work, kind) => {
                    self.finish(work, work::Completion::Refused(kind, None));
                }
                server::Step::Idle(until) => {
                    return self.set_timer(key, until);
                }
            }
        }
    }

    fn set_timer(&mut self, key: ServerKey, until: Option<Timestamp>) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        if server.timer == until {
            return;
        }
        if let Some(old) = server.timer {
            self.timers.remove(&(old, key));
        }
        server.timer = until;
        if let Some(at) = until {
            self.timers.insert((at, key));
        }
    }

    fn run_timers(&mut self) {
        let now = self.cx.clock.now();
        while let Some(&(at, key)) = self.timers.first() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            if let Some(server) = self.servers.get_mut(key) {
                server.timer = None;
            }
            self.pump(now, key);
        }
        if self.next_sweep <= now {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
    }

    /// Probes leaving servers and drops the state of replaced and idle ones.
    fn sweep(&mut self, now: Timestamp) {
        let mut removed = Vec::new();
        for (key, server) in &mut self.servers {
            if server.retired() && server.is_empty() || server.idle_for(now) > IDLE_SERVER_TIMEOUT {
                removed.push(key);
            } else {
                server.probe(now, key, &self.cx);
            }
        }
        for key in removed {
            self.set_timer(key, None);
            if let Some(server) = self.servers.remove(key)
                && self.by_id.get(server.id()) == Some(&key)
            {
                self.by_id.remove(server.id());
            }
        }
    }

    fn on_config(&mut self, config: Arc<Config>) {
        let now = self.cx.clock.now();
        self.config = Some(config.clone());
        let keys: Vec<_> = self
            .by_id
            .iter()
            .map(|(id, key)| (id.clone(), *key))
            .collect();
        for (id, key) in keys {
            let Some(server) = self.servers.get_mut(key) else {
                continue;
            };
            if server.apply(now, &config) == server::Applied::Replaced {
                self.by_id.remove(&id);
            }
            self.pump(now, key);
        }
    }

    fn on_leaving(&mut self, id: &ServerId) {
        let now = self.cx.clock.now();
        let Some(&key) = self.by_id.get(id) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(key) {
            server.reported_leaving(now);
        }
        self.pump(now, key);
    }

    fn on_resumed(&mut self) {
        let now = self.cx.clock.now();
        let keys: Vec<_> = self.servers.keys().collect();
        for key in keys {
            if let Some(server) = self.servers.get_mut(key) {
                server.on_resumed(now);
            }
            self.pump(now, key);
        }
    }
}
