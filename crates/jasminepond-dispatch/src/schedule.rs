//! What to do next: the part of [`ServerQueue`] that turns state into actions.

use std::time::Duration;

use jasminepond_types::{ErrorKind, Timestamp};

use crate::{
    Action, ServerQueue,
    connections::{Conn, Running, State},
};

/// Added to a limit so that work whose time is exactly used up expires.
const ONE_MICRO: Duration = Duration::from_micros(1);

/// What a timer of a connection asks for.
enum Due {
    Nothing,
    /// No response in time.
    Unresponsive,
    /// Not needed any more, or of no use.
    Surplus,
}

impl ServerQueue {
    /// The next action. Call it after every event until it returns
    /// [`Action::Idle`], and again at the time given there.
    pub fn next(&mut self, now: Timestamp) -> Action {
        self.held.retain(|&until| until > now);
        self.run_timers(now);
        if let Some(conn) = self.closing.pop_front() {
            return Action::Close { conn };
        }
        if let Some((work, kind)) = self.ended.pop_front() {
            return Action::Discard { work, kind };
        }
        if let Some(work) = self.waiting.pop_expired(now + self.margin() + ONE_MICRO) {
            let kind = ErrorKind::DeadlineNotRun;
            return Action::Discard { work, kind };
        }
        if let Some(start) = self.start(now) {
            return start;
        }
        if let Some(check) = self.check(now) {
            return check;
        }
        if self.should_open(now) {
            self.conns.open();
            return Action::Connect;
        }
        let until = self.wake_at(now);
        Action::Idle { until }
    }

    /// Remaining time below which work is dropped instead of sent. An unused
    /// server is always tried, see [`ServerQueue::enqueue`].
    fn margin(&self) -> Duration {
        if self.used_slots() == 0 {
            Duration::ZERO
        } else {
            self.service.median()
        }
    }

    fn run_timers(&mut self, now: Timestamp) {
        let mut due = Vec::new();
        for conn in self.conns.iter() {
            match self.due(now, conn) {
                Due::Nothing => {}
                Due::Unresponsive => due.push((conn.id, true)),
                Due::Surplus => due.push((conn.id, false)),
            }
        }
        let spare = self.conns.total().saturating_sub(self.settings.quota());
        let mut surplus = 0;
        for (id, unresponsive) in due {
            self.close(id);
            if unresponsive {
                self.lost(now);
            } else {
                surplus += 1;
            }
        }
        for _ in surplus..spare {
            let Some(id) = self.conns.take_idle().map(|conn| conn.id) else {
                break;
            };
            self.close(id);
        }
    }

    fn due(&self, now: Timestamp, conn: &Conn) -> Due {
        match conn.state {
            State::Busy(Running { give_up: at, .. })
            | State::Abandoned { until: at, .. }
            | State::Checking { until: at }
                if at <= now =>
            {
                Due::Unresponsive
            }
            State::Idle | State::Suspect if self.draining => Due::Surplus,
            State::Idle if self.is_surplus(now, conn) => Due::Surplus,
            _ => Due::Nothing,
        }
    }

    fn is_surplus(&self, now: Timestamp, conn: &Conn) -> bool {
        conn.used_at + self.settings.idle_timeout <= now
            && (!self.in_demand(now) || self.conns.total() > self.settings.warm())
    }

    /// Whether the server had work within the idle limit.
    fn in_demand(&self, now: Timestamp) -> bool {
        self.last_work
            .is_some_and(|at| at + self.settings.idle_timeout > now)
    }

    fn start(&mut self, now: Timestamp) -> Option<Action> {
        if self.waiting.is_empty() || self.free_slots(now) == 0 || !self.conns.has_idle() {
            return None;
        }
        let work = self.waiting.pop(self.settings.starvation_share)?;
        let answer_by = work.deadline + self.settings.deadline_grace;
        // Other than idempotent requests wait for their deadline: giving them up
        // early turns a slow response into an unknown outcome.
        let give_up = match self
            .service
            .progress_timeout(self.settings.min_progress_timeout)
        {
            Some(timeout) if work.idempotent => answer_by.min(now + timeout),
            _ => answer_by,
        };
        let saturated = self.used_slots() + 1 >= self.limit.get();
        let conn = self.conns.take_idle()?;
        conn.used_at = now;
        conn.state = State::Busy(Running {
            work: work.id,
            idempotent: work.idempotent,
            deadline: work.deadline,
            sent_at: now,
            give_up,
            saturated,
        });
        let (work, conn) = (work.id, conn.id);
        Some(Action::Start { work, conn })
    }

    /// Slots that can take work now.
    fn free_slots(&self, now: Timestamp) -> u32 {
        if self.draining || self.circuit.is_open() || self.paused_until > now {
            return 0;
        }
        self.limit.get().saturating_sub(self.used_slots())
    }

    fn check(&mut self, now: Timestamp) -> Option<Action> {
        let idle_check_after = self.settings.idle_check_after;
        let conn = self.conns.iter_mut().find(|conn| match conn.state {
            State::Suspect => true,
            State::Idle => conn.seen_at + idle_check_after <= now,
            _ => false,
        })?;
        conn.state = State::Checking {
            until: now + self.settings.check_timeout,
        };
        Some(Action::Check { conn: conn.id })
    }

    fn should_open(&self, now: Timestamp) -> bool {
        if self.draining || !self.in_demand(now) || self.conns.total() >= self.settings.quota() {
            return false;
        }
        if self.circuit.is_open() {
            // Lost connections that are still to be closed do not hold up a probe.
            return self.conns.coming() == 0 && self.circuit.retry_at() <= now;
        }
        if self.circuit.one_at_a_time()
            && (self.conns.opening() > 0 || self.circuit.retry_at() > now)
        {
            return false;
        }
        let needed = self.free_slots(now).min(self.waiting.len() as u32);
        needed > self.conns.coming() || self.conns.total() < self.settings.warm()
    }

    /// The earliest time at which an action becomes due without an event.
    fn wake_at(&self, now: Timestamp) -> Option<Timestamp> {
        let conns = self.conns.iter().flat_map(|conn| self.conn_timers(conn));
        let expiry = self
            .waiting
            .earliest()
            .map(|earliest| earliest - self.margin());
        let slots = (!self.waiting.is_empty())
            .then(|| self.held.iter().copied().chain([self.paused_until]))
            .into_iter()
            .flatten();
        let retry = self.in_demand(now).then(|| self.circuit.retry_at());
        conns
            .chain(slots)
            .chain(expiry)
            .chain(retry)
            .filter(|&at| at > now)
            .min()
    }

    fn conn_timers(&self, conn: &Conn) -> impl Iterator<Item = Timestamp> + use<> {
        let idle_timeout = self.settings.idle_timeout;
        let (first, second, third) = match conn.state {
            State::Busy(Running { give_up: at, .. })
            | State::Abandoned { until: at, .. }
            | State::Checking { until: at } => (Some(at), None, None),
            State::Idle | State::Suspect => (
                Some(conn.seen_at + self.settings.idle_check_after),
                Some(conn.used_at + idle_timeout),
                self.last_work.map(|at| at + idle_timeout),
            ),
            State::Closing(_) | State::ClosingAbandoned { .. } => (None, None, None),
        };
        first.into_iter().chain(second).chain(third)
    }
}
