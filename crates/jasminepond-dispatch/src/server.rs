//! Events of a server's queue: offered work, responses, lost connections.

use std::{collections::VecDeque, time::Duration};

use jasminepond_types::{ErrorKind, Millis, Timestamp};

use crate::{
    ConnId, Enqueue, LostWork, NotRun, Outcome, ServerState, Settings, Work, WorkId,
    circuit::Circuit,
    connections::{Connections, Running, State},
    fair::{Push, Waiting},
    limit::SlotLimit,
    service::Service,
};

/// Multiple of the median service time for which a fast failure holds its slot.
/// Without it a server that fails fast empties its queue faster than a good one.
const FAILURE_FACTOR: u32 = 2;

/// Pause after a "starting" answer without a retry-after.
const STARTING_PAUSE: Duration = Duration::from_millis(100);

/// Retry-after for work refused by a leaving server. Another replica can take
/// it at once; this one does not come back soon.
const DRAINING_RETRY: Millis = Millis(1_000);

/// One backend server as its owner sees it. See the crate documentation for an
/// example.
#[derive(Debug)]
pub struct ServerQueue {
    pub(crate) settings: Settings,
    pub(crate) waiting: Waiting,
    pub(crate) conns: Connections,
    pub(crate) circuit: Circuit,
    pub(crate) limit: SlotLimit,
    /// Work that ended without being sent and was not reported yet.
    pub(crate) ended: VecDeque<(WorkId, ErrorKind)>,
    /// Connections to close that were not reported yet.
    pub(crate) closing: VecDeque<ConnId>,
    /// Ends of slots held after a fast failure or a lost connection.
    pub(crate) held: Vec<Timestamp>,
    /// No dispatch before this time, because the server asked for it.
    pub(crate) paused_until: Timestamp,
    pub(crate) draining: bool,
    pub(crate) created: Timestamp,
    pub(crate) last_work: Option<Timestamp>,
    pub(crate) service: Service,
}

impl ServerQueue {
    /// A queue for a server that is new to this owner: it starts with one slot.
    /// `seed` feeds the jitter of connection attempts.
    pub fn new(now: Timestamp, settings: Settings, seed: u64) -> Self {
        Self {
            waiting: Waiting::default(),
            conns: Connections::default(),
            circuit: Circuit::new(seed),
            limit: SlotLimit::new(settings.slot_limit()),
            ended: VecDeque::new(),
            closing: VecDeque::new(),
            held: Vec::new(),
            paused_until: now,
            draining: false,
            created: now,
            last_work: None,
            service: Service::new(settings.initial_service_time),
            settings,
        }
    }

    /// Offers work. Work that cannot finish before its deadline behind the work
    /// in front of it is refused at once.
    ///
    /// Refusals are `overloaded`, `deadline_not_run`, `no_backend` (the server
    /// cannot be reached), `draining`, or `internal` if the id is in use.
    ///
    /// ```
    /// # use jasminepond_dispatch::*;
    /// # use jasminepond_types::{ErrorKind, Timestamp, Weight};
    /// # let now = Timestamp::from_millis(1);
    /// # let work = Work {
    /// #     id: WorkId(1),
    /// #     tenant: "foundry".parse().unwrap(),
    /// #     weight: Weight(1),
    /// #     priority: 0,
    /// #     deadline: Timestamp::from_millis(250),
    /// #     idempotent: false,
    /// # };
    /// let mut queue = ServerQueue::new(now, Settings::default(), 7);
    /// assert_eq!(queue.enqueue(now, work.clone()), Enqueue::Queued);
    /// let late = Work { id: WorkId(2), deadline: now, ..work };
    /// let Enqueue::Refused { kind, .. } = queue.enqueue(now, late) else { panic!() };
    /// assert_eq!(kind, ErrorKind::DeadlineNotRun);
    /// ```
    pub fn enqueue(&mut self, now: Timestamp, work: Work) -> Enqueue {
        // Also for refused work: demand is what makes a lost server be probed.
        self.last_work = Some(now);
        if let Some(refused) = self.refuse(now, &work) {
            return refused;
        }
        let wait = self.wait_for(now, &work);
        match self.waiting.push(work, self.settings.queue_limit as usize) {
            Push::Added => Enqueue::Queued,
            Push::Replaced(id) => {
                self.ended.push_back((id, ErrorKind::Overloaded));
                Enqueue::Queued
            }
            Push::Full => refusal(ErrorKind::Overloaded, wait),
        }
    }

    fn refuse(&self, now: Timestamp, work: &Work) -> Option<Enqueue> {
        if self.waiting.contains(work.id) || self.conns.running(work.id) {
            return Some(refusal(ErrorKind::Internal, Duration::ZERO));
        }
        if self.draining {
            return Some(Enqueue::Refused {
                kind: ErrorKind::Draining,
                retry_after: DRAINING_RETRY,
            });
        }
        if self.circuit.is_open() {
            let wait = self.circuit.retry_at().since(now) + self.service.median();
            return Some(refusal(ErrorKind::NoBackend, wait));
        }
        if work.deadline <= now {
            return Some(refusal(ErrorKind::DeadlineNotRun, Duration::ZERO));
        }
        // An unused server is always tried, or a service time estimate from a
        // slow period could never be corrected.
        if self.is_unused() && self.paused_until <= now {
            return None;
        }
        let left = work.deadline.since(now);
        let wait = self.wait_for(now, work);
        let needed = wait + self.service.median();
        if needed <= left {
            return None;
        }
        if wait.is_zero() {
            return Some(refusal(ErrorKind::DeadlineNotRun, Duration::ZERO));
        }
        Some(refusal(ErrorKind::Overloaded, needed - left))
    }

    /// Estimated time until `work` would be sent.
    fn wait_for(&self, now: Timestamp, work: &Work) -> Duration {
        let pause = self.paused_until.since(now);
        let ahead = self.waiting.ahead_of(work, self.settings.starvation_share);
        let limit = u64::from(self.limit.get());
        let used = u64::from(self.used_slots());
        if ahead + used < limit {
            return pause;
        }
        let turns = ahead + used + 1 - limit;
        let micros = self.service.mean().as_micros() as u64 * turns / limit;
        pause.max(Duration::from_micros(micros))
    }

    /// A connection asked for by [`Action::Connect`](crate::Action::Connect) is established.
    pub fn connected(&mut self, now: Timestamp, conn: ConnId) {
        self.conns.open_ended();
        self.circuit.connected();
        // A server that was down must answer a check first: a process that
        // hangs still accepts connections.
        let state = if self.circuit.is_open() {
            State::Suspect
        } else {
            State::Idle
        };
        self.conns.add(conn, state, now);
    }

    /// A connection asked for by [`Action::Connect`](crate::Action::Connect) could not be established.
    pub fn connect_failed(&mut self, now: Timestamp) {
        self.conns.open_ended();
        self.circuit.connect_failed(now, &self.settings);
        if self.conns.is_empty() {
            self.lost(now);
        } else {
            // The server may only have reached its connection limit; the open
            // connections tell whether it works.
            self.conns.suspect_idle();
        }
    }

    /// The first byte of the response on `conn` arrived: the progress timeout
    /// no longer applies, the deadline does.
    pub fn response_started(&mut self, _now: Timestamp, conn: ConnId) {
        let grace = self.settings.deadline_grace;
        if let Some(conn) = self.conns.get_mut(conn)
            && let State::Busy(running) = &mut conn.state
        {
            running.give_up = running.deadline + grace;
        }
    }

    /// The response on `conn` is complete. Returns the work that it answers;
    /// `None` if that work was cancelled, in which case the response is dropped.
    pub fn completed(&mut self, now: Timestamp, conn: ConnId, outcome: Outcome) -> Option<WorkId> {
        let entry = self.conns.get_mut(conn)?;
        let running = match entry.state {
            State::Busy(running) => running,
            State::Abandoned { .. } => {
                entry.now_idle(now);
                self.responded();
                return None;
            }
            _ => return None,
        };
        entry.now_idle(now);
        self.last_work = Some(now);
        self.account(now, conn, running, outcome);
        Some(running.work)
    }

    fn account(&mut self, now: Timestamp, conn: ConnId, running: Running, outcome: Outcome) {
        match outcome {
            Outcome::Done => {
                self.responded();
                self.service.sample(now.since(running.sent_at));
                self.service.outcome(false);
                self.limit
                    .succeeded(running.saturated, self.settings.successes_per_slot);
            }
            Outcome::Failed => {
                self.responded();
                self.failed(now, running);
            }
            Outcome::Cancelled => self.responded(),
            // The connection turned out to be closed; no response arrived.
            Outcome::NotRun {
                reason: NotRun::NotSent,
                ..
            } => self.close(conn),
            Outcome::NotRun {
                reason,
                retry_after,
            } => self.not_run(now, running, reason, retry_after),
        }
    }

    fn not_run(
        &mut self,
        now: Timestamp,
        running: Running,
        reason: NotRun,
        retry_after: Option<Millis>,
    ) {
        self.responded();
        match reason {
            NotRun::Shed => {
                if self.limit.shed(now, running.sent_at) {
                    let pause = self.circuit.jittered(self.service.median());
                    self.pause(now, retry_after, pause);
                }
            }
            NotRun::Starting => {
                self.limit.ramp();
                self.pause(now, retry_after, STARTING_PAUSE);
            }
            NotRun::Draining => self.set_draining(now),
            NotRun::VersionUnavailable | NotRun::Deadline | NotRun::NotSent => {}
        }
    }

    fn pause(&mut self, now: Timestamp, asked: Option<Millis>, otherwise: Duration) {
        let pause = asked.map_or(otherwise, Millis::duration);
        let until = now + pause.min(self.settings.max_pause);
        self.paused_until = self.paused_until.max(until);
    }

    fn failed(&mut self, now: Timestamp, running: Running) {
        self.limit.failed();
        if self.service.outcome(true) {
            self.limit.ramp();
        }
        let hold = self.service.median() * FAILURE_FACTOR;
        let hold = hold.min(self.settings.max_pause);
        self.hold(now, running.sent_at + hold);
    }

    pub(crate) fn hold(&mut self, now: Timestamp, until: Timestamp) {
        if until > now {
            self.held.push(until);
        }
    }

    fn responded(&mut self) {
        if self.circuit.responded() {
            self.limit.ramp();
        }
    }

    /// A check asked for by [`Action::Check`](crate::Action::Check) was answered.
    pub fn checked(&mut self, now: Timestamp, conn: ConnId, state: ServerState) {
        let Some(entry) = self.conns.get_mut(conn) else {
            return;
        };
        if !matches!(entry.state, State::Checking { .. }) {
            return;
        }
        entry.state = State::Idle;
        entry.seen_at = now;
        match state {
            ServerState::Ready => self.responded(),
            ServerState::Starting => self.starting(now, conn),
            ServerState::Draining => self.set_draining(now),
        }
    }

    fn starting(&mut self, now: Timestamp, conn: ConnId) {
        self.limit.ramp();
        if !self.circuit.is_open() {
            self.pause(now, None, STARTING_PAUSE);
            return;
        }
        self.circuit.not_ready(now, &self.settings);
        self.close(conn);
    }

    /// The connection is closed, by either side. Reports what that means for
    /// the work that ran on it.
    ///
    /// ```
    /// # use jasminepond_dispatch::*;
    /// # use jasminepond_types::{ErrorKind, Timestamp, Weight};
    /// # let now = Timestamp::from_millis(1);
    /// # let work = Work {
    /// #     id: WorkId(1),
    /// #     tenant: "foundry".parse().unwrap(),
    /// #     weight: Weight(1),
    /// #     priority: 0,
    /// #     deadline: Timestamp::from_millis(250),
    /// #     idempotent: false,
    /// # };
    /// let mut queue = ServerQueue::new(now, Settings::default(), 7);
    /// queue.enqueue(now, work);
    /// queue.next(now); // Action::Connect
    /// queue.connected(now, ConnId(1));
    /// queue.next(now); // Action::Start
    /// assert_eq!(queue.closed(now, ConnId(1)), LostWork::OutcomeUnknown { work: WorkId(1) });
    /// ```
    pub fn closed(&mut self, now: Timestamp, conn: ConnId) -> LostWork {
        let Some(entry) = self.conns.remove(conn) else {
            return LostWork::None;
        };
        self.closing.retain(|id| *id != conn);
        match entry.state {
            State::Busy(running) => {
                self.lost(now);
                self.classify(now, running)
            }
            State::Closing(Some(running)) => self.classify(now, running),
            State::Abandoned { deadline, .. } | State::ClosingAbandoned { deadline } => {
                self.hold(now, deadline.min(now + self.service.median()));
                LostWork::None
            }
            State::Checking { .. } => {
                self.lost(now);
                LostWork::None
            }
            State::Idle | State::Suspect | State::Closing(None) => LostWork::None,
        }
    }

    fn classify(&mut self, now: Timestamp, running: Running) -> LostWork {
        self.last_work = Some(now);
        self.service.at_least(now.since(running.sent_at));
        // The server may still work on the request until its deadline.
        self.hold(now, running.deadline.min(now + self.service.median()));
        let work = running.work;
        if running.idempotent {
            LostWork::Retryable { work }
        } else {
            LostWork::OutcomeUnknown { work }
        }
    }

    /// Counts a connection that was lost without a response.
    pub(crate) fn lost(&mut self, now: Timestamp) {
        self.limit.failed();
        self.conns.suspect_idle();
        if self.circuit.lost(now, &self.settings) {
            self.went_down();
        }
    }

    fn went_down(&mut self) {
        self.end_waiting(ErrorKind::NoBackend);
        self.close_idle();
    }

    pub(crate) fn end_waiting(&mut self, kind: ErrorKind) {
        let ended = self.waiting.drain().map(|id| (id, kind));
        self.ended.extend(ended);
    }

    pub(crate) fn close_idle(&mut self) {
        for conn in self.conns.iter_mut() {
            if matches!(conn.state, State::Idle | State::Suspect) {
                conn.state = State::Closing(None);
                self.closing.push_back(conn.id);
            }
        }
    }

    pub(crate) fn close(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.get_mut(id) {
            conn.state = match conn.state {
                State::Busy(running) => State::Closing(Some(running)),
                State::Abandoned { deadline, .. } => State::ClosingAbandoned { deadline },
                _ => State::Closing(None),
            };
            self.closing.push_back(id);
        }
    }
}

fn refusal(kind: ErrorKind, wait: Duration) -> Enqueue {
    let retry_after = Millis::from(wait).max(Millis(1));
    Enqueue::Refused { kind, retry_after }
}
