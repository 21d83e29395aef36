//! Queued parts: what enters and leaves the queue of a service, and when they are sent.

use std::{collections::VecDeque, time::Duration};

use jasminepond_types::Timestamp;
use slotmap::Key;

use super::{
    Forwarder,
    place::{Attempt, Placement},
};
use crate::{
    Blocked, Lane, PartId, QueueReport, QueueWait, QueuedPart, ServerChoice,
    message::ReqKey,
    request::{Part, PartState, Req},
    server::ServerKey,
    service::ServiceKey,
    timers::Timer,
};

/// Times in the queue that are kept until they are read. More are dropped, so that a process
/// that does not read them does not collect them.
const MAX_WAITS: usize = 4_096;

/// Time between two reports of a backlog.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Time between attempts to place all parts of a request that may run once: about the time in
/// which a server with a few slots ends a call.
const GATHER_INTERVAL: Duration = Duration::from_millis(2);

/// Number of queued parts from which a backlog is reported.
const REPORTED_BACKLOG: usize = 100;

/// What is reported about the queues.
#[derive(Debug, Default)]
pub(super) struct Waits {
    unread: VecDeque<QueueWait>,
    reported_at: Option<Timestamp>,
}

impl Forwarder {
    /// Counts the parts of a new request as demand of its class.
    pub(super) fn count_arrival(&mut self, now: Timestamp, key: ReqKey) {
        let req = &self.reqs[key];
        for part in &req.parts {
            let queue = &mut self.services[part.service].queue;
            queue.arrived(now, req.route.route.priority);
        }
    }

    /// Counts a part that is sent for the first time and without being queued.
    pub(super) fn count_sent(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        let req = &self.reqs[key];
        let part = &req.parts[index];
        if part.sends == 0 {
            let queue = &mut self.services[part.service].queue;
            queue.sent_at_once(now, req.route.route.priority);
        }
    }

    fn queued_part(&self, key: ReqKey, index: usize) -> QueuedPart {
        let req = &self.reqs[key];
        QueuedPart {
            id: PartId {
                req: key,
                part: index,
            },
            caller: req.caller,
            draw: req.draw,
            priority: req.route.route.priority,
            lane: lane(req),
            choice: choice(req, &req.parts[index]),
            send_by: answerable_until(req),
        }
    }

    /// Whether others that are queued come before a part.
    pub(super) fn is_behind(&self, key: ReqKey, index: usize) -> bool {
        let part = self.queued_part(key, index);
        let service = self.reqs[key].parts[index].service;
        self.services[service].queue.is_behind(&part)
    }

    /// Queues a part until a connection is free.
    pub(super) fn enqueue(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        self.unqueue(key, index);
        let queued = self.queued_part(key, index);
        let part = &mut self.reqs[key].parts[index];
        part.state = PartState::Waiting;
        part.queued = Some(part.service);
        self.services[part.service].queue.push(now, queued);
        self.arm_admission(now);
    }

    /// Removes a part from the queue that it is in.
    pub(super) fn unqueue(&mut self, key: ReqKey, index: usize) {
        let part = &mut self.reqs[key].parts[index];
        if let Some(service) = part.queued.take() {
            let id = PartId {
                req: key,
                part: index,
            };
            self.services[service].queue.remove(id);
        }
    }

    /// Removes all queued parts of a request that ends.
    pub(super) fn unqueue_all(&mut self, key: ReqKey) {
        let parts = self.reqs.get(key).map_or(0, |req| req.parts.len());
        for index in 0..parts {
            self.unqueue(key, index);
        }
    }

    /// Holds the queued parts of a request that is suspected of ending servers.
    pub(super) fn hold_waiting(&mut self, key: ReqKey) {
        for index in 0..self.reqs[key].parts.len() {
            self.unqueue(key, index);
            let part = &mut self.reqs[key].parts[index];
            if matches!(part.state, PartState::Waiting) {
                part.state = PartState::Held;
            }
        }
    }

    /// Moves the queued parts of a search whose objective has passed behind others.
    pub(super) fn set_queued_late(&mut self, key: ReqKey) {
        for (index, part) in self.reqs[key].parts.iter().enumerate() {
            if let Some(service) = part.queued {
                let id = PartId {
                    req: key,
                    part: index,
                };
                self.services[service].queue.set_late(id);
            }
        }
    }

    /// Sends the queued parts of a service for which connections are free, in the order of
    /// the queue. A part that must wait blocks those that may use the same servers and are as
    /// urgent or less, so an event takes one attempt for each part that is sent and for each
    /// set of servers that were tried, whatever the backlog.
    pub(super) fn place_waiting(&mut self, now: Timestamp, service: ServiceKey) {
        let mut blocked = Blocked::default();
        while let Some(next) = self.services[service].queue.next(now, &blocked) {
            let PartId { req, part } = next.id;
            if !self.is_waiting(req, part) {
                self.unqueue(req, part);
                continue;
            }
            match self.placement(now, req, part, Attempt::Again) {
                Placement::Send(conn) => {
                    self.leave_queue(now, service, next.id);
                    self.send(now, req, part, conn);
                }
                Placement::Wait => blocked.add(&next),
                Placement::NoServer => {
                    self.unqueue(req, part);
                    self.on_no_server(now, req, part);
                    self.settle(now, req);
                }
            }
        }
    }

    /// Sends queued parts of the service of a part that has just been queued. Parts that no
    /// server can take stay queued until the next event, so that no request ends here.
    pub(super) fn send_waiting(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        let service = self.reqs[key].parts[index].service;
        let mut blocked = Blocked::default();
        while let Some(next) = self.services[service].queue.next(now, &blocked) {
            let PartId { req, part } = next.id;
            if !self.is_waiting(req, part) {
                self.unqueue(req, part);
                continue;
            }
            match self.placement(now, req, part, Attempt::Again) {
                Placement::Send(conn) => {
                    self.leave_queue(now, service, next.id);
                    self.send(now, req, part, conn);
                }
                Placement::Wait | Placement::NoServer => blocked.add(&next),
            }
        }
    }

    /// Whether a request may run once and has several parts. Unless all of them can be sent at
    /// the same moment, some would run in vain, and the request could not be refused any more.
    pub(super) fn must_gather(&self, key: ReqKey) -> bool {
        let req = &self.reqs[key];
        !req.route.may_repeat() && req.parts.len() > 1
    }

    /// Sends all parts of a request once connections are free for all of them, or refuses it if
    /// they are not within the same time as for a request to one server.
    pub(super) fn gather(&mut self, now: Timestamp, key: ReqKey, attempt: Attempt) {
        let parts = self.reqs[key].parts.len();
        if attempt == Attempt::First {
            let limit = self.reqs[key].route.objective();
            let limit = limit.mul_f64(self.settings.wait_share);
            self.timers.set(now + limit, Timer::WaitLimit(key));
        }
        // Each part is tried, so that connections are opened for all of them.
        let waiting = (0..parts).filter(|index| {
            let placement = self.placement(now, key, *index, attempt);
            matches!(placement, Placement::Wait) || self.is_behind(key, *index)
        });
        if waiting.count() > 0 {
            self.timers.set(now + GATHER_INTERVAL, Timer::Gather(key));
            return;
        }
        for index in 0..parts {
            self.place(now, key, index);
        }
    }

    pub(super) fn on_gather_timer(&mut self, now: Timestamp, key: ReqKey) {
        let unsent = |part: &Part| part.sends == 0 && matches!(part.state, PartState::Waiting);
        let waits = |req: &Req| req.parts.iter().all(unsent);
        if self.reqs.get(key).is_some_and(waits) {
            self.gather(now, key, Attempt::Again);
            self.settle(now, key);
        }
    }

    fn is_waiting(&self, key: ReqKey, index: usize) -> bool {
        matches!(self.reqs[key].parts[index].state, PartState::Waiting)
    }

    fn leave_queue(&mut self, now: Timestamp, service: ServiceKey, id: PartId) {
        self.reqs[id.req].parts[id.part].queued = None;
        let wait = self.services[service].queue.sent(now, id);
        if self.queue_waits.unread.len() < MAX_WAITS {
            self.queue_waits.unread.extend(wait);
        }
    }

    /// Number of calls that requests of a class may have in progress on a server.
    pub(super) fn window_for(&self, now: Timestamp, key: ServerKey, priority: u32) -> usize {
        let Some(server) = self.servers.get(key) else {
            return 0;
        };
        let window = server.window_size(&self.settings);
        let queue = &self.services[server.service].queue;
        window - queue.reserve(now, priority, window)
    }

    /// Returns the time that a part was queued before it was sent, for each part once.
    pub fn next_queue_wait(&mut self) -> Option<QueueWait> {
        self.queue_waits.unread.pop_front()
    }

    /// The queued parts of all services by class, most urgent first.
    pub fn queue_reports(&self) -> Vec<QueueReport> {
        let mut reports: Vec<QueueReport> = Vec::new();
        for backlog in self.services.values().flat_map(|s| s.queue.backlogs()) {
            let at = reports.binary_search_by_key(&backlog.priority, |report| report.priority);
            let at = at.unwrap_or_else(|at| {
                let report = QueueReport {
                    priority: backlog.priority,
                    ..QueueReport::default()
                };
                reports.insert(at, report);
                at
            });
            let report = &mut reports[at];
            report.parts += backlog.parts;
            report.late += backlog.late;
            report.services += 1;
            report.callers = report.callers.max(backlog.callers);
        }
        reports
    }

    /// Returns a report on a large backlog if one is due, at most every ten seconds.
    pub fn backlog_report(&mut self, now: Timestamp) -> Option<Vec<QueueReport>> {
        let reported = self.queue_waits.reported_at;
        if reported.is_some_and(|at| now.since(at) < REPORT_INTERVAL) {
            return None;
        }
        let waiting: usize = self.services.values().map(|s| s.queue.len()).sum();
        if waiting < REPORTED_BACKLOG {
            return None;
        }
        self.queue_waits.reported_at = Some(now);
        Some(self.queue_reports())
    }
}

fn lane(req: &Req) -> Lane {
    match req.late || req.past_answer_by {
        true => Lane::Late,
        false if !req.route.may_repeat() => Lane::Once,
        false => Lane::InTime,
    }
}

/// Time after which a call is sent too late for an answer within the objective, even if it does
/// not queue at the server. With the median, which overload raises, parts of urgent requests
/// that were in time counted as late.
fn answerable_until(req: &Req) -> Timestamp {
    let objective = req.route.objective();
    let end = match req.route.is_search() {
        true => req.answer_by,
        false => req.arrived + objective,
    };
    end - req.route.stats.latency.borrow().low().min(objective / 2)
}

/// Parts that were sent before differ in the servers that are left, and in whether they may be
/// sent to one again over the same connection.
fn choice(req: &Req, part: &Part) -> ServerChoice {
    let once = (!part.tried.is_empty() && !req.route.may_repeat()).then_some(0);
    let tried = part.tried.iter().map(|key| key.data().as_ffi());
    ServerChoice::excluding(tried.chain(once))
}
