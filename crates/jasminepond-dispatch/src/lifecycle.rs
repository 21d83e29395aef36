//! Cancellation, draining, changed settings and process pauses.

use jasminepond_types::{ErrorKind, Timestamp};

use crate::{Cancelled, ServerQueue, Settings, WorkId, connections::State};

impl ServerQueue {
    /// Cancels work. No later action or event result mentions it.
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
    /// let cancelled = queue.cancel(now, WorkId(1));
    /// assert_eq!(cancelled, Cancelled::SendCancel { conn: ConnId(1), via: None });
    /// assert_eq!(queue.completed(now, ConnId(1), Outcome::Cancelled), None);
    /// ```
    pub fn cancel(&mut self, now: Timestamp, work: WorkId) -> Cancelled {
        if self.waiting.remove(work).is_some() {
            return Cancelled::Removed;
        }
        if let Some(at) = self.discarded.iter().position(|(id, _)| *id == work) {
            self.discarded.remove(at);
            return Cancelled::Removed;
        }
        let until = now + self.settings.drain_timeout;
        let Some(conn) = self.conns.abandon(work, until) else {
            return Cancelled::AlreadyEnded;
        };
        let via = self.conns.latest_idle().map(|idle| {
            idle.state = State::Checking {
                until: now + self.settings.check_timeout,
            };
            idle.id
        });
        Cancelled::SendCancel { conn, via }
    }

    /// Stops dispatch to a server that is shutting down: queued work is discarded
    /// as `draining`, running work completes, idle connections are closed.
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
    /// queue.set_draining(now);
    /// let kind = ErrorKind::Draining;
    /// assert_eq!(queue.next(now), Action::Discard { work: WorkId(1), kind });
    /// assert!(queue.is_drained());
    /// ```
    pub fn set_draining(&mut self, _now: Timestamp) {
        self.draining = true;
        self.discard_waiting(ErrorKind::Draining);
        self.close_idle();
    }

    /// Resumes dispatch to a server that was draining, starting with one slot.
    pub fn set_ready(&mut self, _now: Timestamp) {
        if std::mem::take(&mut self.draining) {
            self.limit.reset();
        }
    }

    /// Whether the server is draining and nothing runs or is connected.
    pub fn is_drained(&self) -> bool {
        self.draining && self.discarded.is_empty() && self.conns.total() == 0
    }

    /// Applies changed settings. Surplus connections are closed as they become
    /// idle; queued work stays.
    pub fn update_settings(&mut self, _now: Timestamp, settings: Settings) {
        self.limit.set_max(settings.slot_limit());
        self.settings = settings;
    }

    /// Revalidates the state after a pause of this process. Connections in an
    /// unknown state are closed, because the server may have abandoned them. Idle
    /// ones are checked before use, and [`next`](Self::next) discards queued work
    /// past its deadline.
    pub fn resumed(&mut self, now: Timestamp) {
        let response_due = now + self.settings.check_timeout;
        let mut unknown = Vec::new();
        for conn in self.conns.iter_mut() {
            match &mut conn.state {
                State::Idle => conn.state = State::Suspect,
                State::Busy(running) if running.idempotent && running.deadline <= now => {
                    unknown.push(conn.id);
                }
                // The response may be in the socket buffer already.
                State::Busy(running) => running.timeout_at = running.timeout_at.max(response_due),
                State::Abandoned { .. } | State::Checking { .. } => unknown.push(conn.id),
                State::Suspect | State::Closing(_) | State::ClosingAbandoned { .. } => {}
            }
        }
        for id in unknown {
            self.close(id);
        }
    }
}
