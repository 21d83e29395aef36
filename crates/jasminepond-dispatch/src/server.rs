//! Events of a [`ServerQueue`]: offered work, responses, lost connections.

use std::{collections::VecDeque, time::Duration};

use jasminepond_types::{ErrorKind, Millis, Timestamp};

use crate::{
    ConnId, Enqueue, LostWork, NotRun, Outcome, ServerState, Settings, Work, WorkId,
    circuit::CircuitBreaker,
    connections::{Connections, Running, State},
    fair::{FairQueue, Push},
    limit::SlotLimit,
    service::ServiceStats,
};

/// Multiple of the median service time for which a fast failure occupies its
/// slot. Without it, a server that fails fast drains its queue faster than a
/// healthy one.
const FAILURE_HOLD_FACTOR: u32 = 2;

/// Pause after a `starting` response without a retry-after.
const STARTING_PAUSE: Duration = Duration::from_millis(100);

/// Retry-after for work refused because the server is draining. Other replicas
/// can take the work immediately; this server stays unavailable for longer.
const DRAINING_RETRY_AFTER: Millis = Millis(1_000);

/// Queue, slots and connections of one backend server. See the crate
/// documentation for an example.
#[derive(Debug)]
pub struct ServerQueue {
    pub(crate) settings: Settings,
    pub(crate) waiting: FairQueue,
    pub(crate) conns: Connections,
    pub(crate) circuit: CircuitBreaker,
    pub(crate) limit: SlotLimit,
    /// Work that ended unsent and is still to be reported by `Action::Discard`.
    pub(crate) discarded: VecDeque<(WorkId, ErrorKind)>,
    /// Connections whose `Action::Close` has not been returned yet.
    pub(crate) closing: VecDeque<ConnId>,
    /// Release times of slots kept occupied after a fast failure or a lost
    /// connection.
    pub(crate) held_slots: Vec<Timestamp>,
    /// No dispatch before this time; set when the server sheds work or is
    /// starting.
    pub(crate) paused_until: Timestamp,
    pub(crate) draining: bool,
    pub(crate) created: Timestamp,
    pub(crate) last_activity: Option<Timestamp>,
    pub(crate) service: ServiceStats,
}

impl ServerQueue {
    /// Creates a queue for a server that is new to this owner. The slot limit
    /// starts at one; `seed` initializes the jitter of connection attempts.
    pub fn new(now: Timestamp, settings: Settings, seed: u64) -> Self {
        Self {
            waiting: FairQueue::default(),
            conns: Connections::default(),
            circuit: CircuitBreaker::new(seed),
            limit: SlotLimit::new(settings.slot_limit()),
            discarded: VecDeque::new(),
            closing: VecDeque::new(),
            held_slots: Vec::new(),
            paused_until: now,
            draining: false,
            created: now,
            last_activity: None,
            service: ServiceStats::new(settings.initial_service_time),
            settings,
        }
    }

    /// Adds work to the queue. Work that would miss its deadline because of the
    /// work ahead of it is refused immediately.
    ///
    /// The kind of a refusal is `overloaded`, `deadline_not_run`, `no_backend`
    /// (the server cannot be reached), `draining`, or `internal` if the id is in
    /// use.
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
        // Refused work counts as well: a server that is down is probed only while
        // there is demand for it.
        self.last_activity = Some(now);
        if let Some(refused) = self.check_admission(now, &work) {
            return refused;
        }
        let wait = self.estimated_wait(now, &work);
        match self.waiting.push(work, self.settings.queue_limit as usize) {
            Push::Added => Enqueue::Queued,
            Push::Replaced(id) => {
                self.discarded.push_back((id, ErrorKind::Overloaded));
                Enqueue::Queued
            }
            Push::Full => refusal(ErrorKind::Overloaded, wait),
        }
    }

    fn check_admission(&self, now: Timestamp, work: &Work) -> Option<Enqueue> {
        if self.waiting.contains(work.id) || self.conns.is_running(work.id) {
            return Some(refusal(ErrorKind::Internal, Duration::ZERO));
        }
        if self.draining {
            return Some(Enqueue::Refused {
                kind: ErrorKind::Draining,
                retry_after: DRAINING_RETRY_AFTER,
            });
        }
        if self.circuit.is_open() {
            let wait = self.circuit.retry_at().since(now) + self.service.median();
            return Some(refusal(ErrorKind::NoBackend, wait));
        }
        if work.deadline <= now {
            return Some(refusal(ErrorKind::DeadlineNotRun, Duration::ZERO));
        }
        // Work for an unused server is always accepted; otherwise a service time
        // estimate from a slow period would never be corrected.
        if self.is_unused() && self.paused_until <= now {
            return None;
        }
        let left = work.deadline.since(now);
        let wait = self.estimated_wait(now, work);
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
    fn estimated_wait(&self, now: Timestamp, work: &Work) -> Duration {
        let pause = self.paused_until.since(now);
        let ahead = self.waiting.ahead_of(work, self.settings.starvation_share);
        let limit = u64::from(self.limit.get());
        let used = u64::from(self.used_slots());
        if ahead + used < limit {
            return pause;
        }
        let completions = ahead + used + 1 - limit;
        let micros = self.service.mean().as_micros() as u64 * completions / limit;
        pause.max(Duration::from_micros(micros))
    }

    /// Reports that the connection of an [`Action::Connect`](crate::Action::Connect)
    /// is established.
    pub fn connected(&mut self, now: Timestamp, conn: ConnId) {
        self.conns.connect_ended();
        self.circuit.connected();
        // A server that was down must pass a check first: a hung process still
        // accepts connections.
        let state = if self.circuit.is_open() {
            State::Suspect
        } else {
            State::Idle
        };
        self.conns.add(conn, state, now);
    }

    /// Reports that the connection of an [`Action::Connect`](crate::Action::Connect)
    /// could not be established.
    pub fn connect_failed(&mut self, now: Timestamp) {
        self.conns.connect_ended();
        self.circuit.connect_failed(now, &self.settings);
        if self.conns.is_empty() {
            self.connection_lost(now);
        } else {
            // The server may just have reached its connection limit; checks of
            // the open connections show whether it is up.
            self.conns.mark_idle_suspect();
        }
    }

    /// Reports the first byte of the response on `conn`. From here on the
    /// deadline applies instead of the progress timeout.
    pub fn response_started(&mut self, _now: Timestamp, conn: ConnId) {
        let grace = self.settings.deadline_grace;
        if let Some(conn) = self.conns.get_mut(conn)
            && let State::Busy(running) = &mut conn.state
        {
            running.timeout_at = running.deadline + grace;
        }
    }

    /// Reports the outcome of the request on `conn`. Returns its work, or `None`
    /// if the work was cancelled; the response is then to be discarded.
    pub fn completed(&mut self, now: Timestamp, conn: ConnId, outcome: Outcome) -> Option<WorkId> {
        let entry = self.conns.get_mut(conn)?;
        let running = match entry.state {
            State::Busy(running) => running,
            State::Abandoned { .. } => {
                entry.set_idle(now);
                self.responded();
                return None;
            }
            _ => return None,
        };
        entry.set_idle(now);
        self.last_activity = Some(now);
        self.record_outcome(now, conn, running, outcome);
        Some(running.work)
    }

    fn record_outcome(&mut self, now: Timestamp, conn: ConnId, running: Running, outcome: Outcome) {
        match outcome {
            Outcome::Done => {
                self.responded();
                self.service.sample(now.since(running.sent_at));
                self.service.record_outcome(false);
                self.limit
                    .succeeded(running.saturated, self.settings.successes_per_slot);
            }
            Outcome::Failed => {
                self.responded();
                self.record_failure(now, running);
            }
            Outcome::Cancelled => self.responded(),
            // The server had closed the connection; there is no response.
            Outcome::NotRun {
                reason: NotRun::NotSent,
                ..
            } => self.close(conn),
            Outcome::NotRun {
                reason,
                retry_after,
            } => self.record_not_run(now, running, reason, retry_after),
        }
    }

    fn record_not_run(
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
                self.limit.reset();
                self.pause(now, retry_after, STARTING_PAUSE);
            }
            NotRun::Draining => self.set_draining(now),
            NotRun::VersionUnavailable | NotRun::Deadline | NotRun::NotSent => {}
        }
    }

    fn pause(&mut self, now: Timestamp, requested: Option<Millis>, fallback: Duration) {
        let pause = requested.map_or(fallback, Millis::duration);
        let until = now + pause.min(self.settings.max_pause);
        self.paused_until = self.paused_until.max(until);
    }

    fn record_failure(&mut self, now: Timestamp, running: Running) {
        self.limit.failed();
        if self.service.record_outcome(true) {
            self.limit.reset();
        }
        let hold = self.service.median() * FAILURE_HOLD_FACTOR;
        let hold = hold.min(self.settings.max_pause);
        self.hold_slot(now, running.sent_at + hold);
    }

    pub(crate) fn hold_slot(&mut self, now: Timestamp, until: Timestamp) {
        if until > now {
            self.held_slots.push(until);
        }
    }

    fn responded(&mut self) {
        if self.circuit.responded() {
            self.limit.reset();
        }
    }

    /// Reports the response to an [`Action::Check`](crate::Action::Check).
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
            ServerState::Starting => self.server_starting(now, conn),
            ServerState::Draining => self.set_draining(now),
        }
    }

    fn server_starting(&mut self, now: Timestamp, conn: ConnId) {
        self.limit.reset();
        if !self.circuit.is_open() {
            self.pause(now, None, STARTING_PAUSE);
            return;
        }
        self.circuit.not_ready(now, &self.settings);
        self.close(conn);
    }

    /// Reports that either side closed the connection. Returns the effect on the
    /// work that ran on it.
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
                self.connection_lost(now);
                self.end_lost_work(now, running)
            }
            State::Closing(Some(running)) => self.end_lost_work(now, running),
            State::Abandoned { deadline, .. } | State::ClosingAbandoned { deadline } => {
                self.hold_slot(now, deadline.min(now + self.service.median()));
                LostWork::None
            }
            State::Checking { .. } => {
                self.connection_lost(now);
                LostWork::None
            }
            State::Idle | State::Suspect | State::Closing(None) => LostWork::None,
        }
    }

    fn end_lost_work(&mut self, now: Timestamp, running: Running) -> LostWork {
        self.last_activity = Some(now);
        self.service.record_unfinished(now.since(running.sent_at));
        // The server may still work on the request until its deadline.
        self.hold_slot(now, running.deadline.min(now + self.service.median()));
        let work = running.work;
        if running.idempotent {
            LostWork::Retryable { work }
        } else {
            LostWork::OutcomeUnknown { work }
        }
    }

    /// Records a connection that was lost without a response.
    pub(crate) fn connection_lost(&mut self, now: Timestamp) {
        self.limit.failed();
        self.conns.mark_idle_suspect();
        if self.circuit.connection_lost(now, &self.settings) {
            self.handle_down();
        }
    }

    fn handle_down(&mut self) {
        self.discard_waiting(ErrorKind::NoBackend);
        self.close_idle();
    }

    pub(crate) fn discard_waiting(&mut self, kind: ErrorKind) {
        let discarded = self.waiting.drain().map(|id| (id, kind));
        self.discarded.extend(discarded);
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
