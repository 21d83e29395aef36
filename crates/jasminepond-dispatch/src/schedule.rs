//! Scheduler of a [`ServerQueue`]: derives the next action from its state.

use std::time::Duration;

use jasminepond_types::{ErrorKind, Timestamp};

use crate::{
    Action, ServerQueue,
    connections::{Conn, Running, State},
};

/// Added to the exclusive expiry limit, so that work with no time to spare
/// expires.
const ONE_MICROSECOND: Duration = Duration::from_micros(1);

/// Result of checking the timers of a connection.
enum Due {
    Nothing,
    /// No response in time.
    Unresponsive,
    /// No longer needed, or the server is draining.
    Surplus,
}

impl ServerQueue {
    /// Returns the next action. Call it after every event until it returns
    /// [`Action::Idle`], and again at the time given there.
    pub fn next(&mut self, now: Timestamp) -> Action {
        self.held_slots.retain(|&until| until > now);
        self.run_timers(now);
        if let Some(conn) = self.closing.pop_front() {
            return Action::Close { conn };
        }
        if let Some((work, kind)) = self.discarded.pop_front() {
            return Action::Discard { work, kind };
        }
        if let Some(work) = self
            .waiting
            .pop_expired(now + self.send_margin() + ONE_MICROSECOND)
        {
            let kind = ErrorKind::DeadlineNotRun;
            return Action::Discard { work, kind };
        }
        if let Some(start) = self.start(now) {
            return start;
        }
        if let Some(check) = self.check(now) {
            return check;
        }
        if self.should_connect(now) {
            self.conns.connect_started();
            return Action::Connect;
        }
        let until = self.next_timer(now);
        Action::Idle { until }
    }

    /// Remaining time until its deadline that work needs in order to be sent;
    /// work with less is discarded. Zero for an unused server, which is always
    /// tried: see [`ServerQueue::enqueue`].
    fn send_margin(&self) -> Duration {
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
                self.connection_lost(now);
            } else {
                surplus += 1;
            }
        }
        for _ in surplus..spare {
            let Some(id) = self.conns.latest_idle().map(|conn| conn.id) else {
                break;
            };
            self.close(id);
        }
    }

    fn due(&self, now: Timestamp, conn: &Conn) -> Due {
        match conn.state {
            State::Busy(Running { timeout_at: at, .. })
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

    /// Whether the server had work within the idle timeout.
    fn in_demand(&self, now: Timestamp) -> bool {
        self.last_activity
            .is_some_and(|at| at + self.settings.idle_timeout > now)
    }

    fn start(&mut self, now: Timestamp) -> Option<Action> {
        if self.waiting.is_empty() || self.free_slots(now) == 0 || !self.conns.has_idle() {
            return None;
        }
        let work = self.waiting.pop(self.settings.starvation_share)?;
        let response_due = work.deadline + self.settings.deadline_grace;
        // Non-idempotent requests wait until their deadline: an earlier timeout
        // would turn a slow response into an unknown outcome.
        let timeout_at = match self
            .service
            .progress_timeout(self.settings.min_progress_timeout)
        {
            Some(timeout) if work.idempotent => response_due.min(now + timeout),
            _ => response_due,
        };
        let saturated = self.used_slots() + 1 >= self.limit.get();
        let conn = self.conns.latest_idle()?;
        conn.used_at = now;
        conn.state = State::Busy(Running {
            work: work.id,
            idempotent: work.idempotent,
            deadline: work.deadline,
            sent_at: now,
            timeout_at,
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

    fn should_connect(&self, now: Timestamp) -> bool {
        if self.draining || !self.in_demand(now) || self.conns.total() >= self.settings.quota() {
            return false;
        }
        if self.circuit.is_open() {
            // Lost connections that are still to be closed do not delay a probe.
            return self.conns.available_soon() == 0 && self.circuit.retry_at() <= now;
        }
        if self.circuit.limits_attempts()
            && (self.conns.connecting() > 0 || self.circuit.retry_at() > now)
        {
            return false;
        }
        let needed = self.free_slots(now).min(self.waiting.len() as u32);
        needed > self.conns.available_soon() || self.conns.total() < self.settings.warm()
    }

    /// The earliest time at which an action becomes due without an event.
    fn next_timer(&self, now: Timestamp) -> Option<Timestamp> {
        let conns = self.conns.iter().flat_map(|conn| self.conn_timers(conn));
        let expiry = self
            .waiting
            .earliest_deadline()
            .map(|deadline| deadline - self.send_margin());
        let slots = (!self.waiting.is_empty())
            .then(|| self.held_slots.iter().copied().chain([self.paused_until]))
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
            State::Busy(Running { timeout_at: at, .. })
            | State::Abandoned { until: at, .. }
            | State::Checking { until: at } => (Some(at), None, None),
            State::Idle | State::Suspect => (
                Some(conn.seen_at + self.settings.idle_check_after),
                Some(conn.used_at + idle_timeout),
                self.last_activity.map(|at| at + idle_timeout),
            ),
            State::Closing(_) | State::ClosingAbandoned { .. } => (None, None, None),
        };
        first.into_iter().chain(second).chain(third)
    }
}
