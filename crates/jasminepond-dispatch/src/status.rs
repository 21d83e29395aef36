//! State of a queue and its server.

use std::time::Duration;

use jasminepond_types::Timestamp;

use crate::{Health, Hint, ServerQueue};

impl ServerQueue {
    /// State of the server for entry daemons.
    ///
    /// ```
    /// use jasminepond_dispatch::{Health, ServerQueue, Settings};
    /// use jasminepond_types::Timestamp;
    ///
    /// let queue = ServerQueue::new(Timestamp::ZERO, Settings::default(), 7);
    /// assert_eq!(queue.hint().health, Health::Ramping);
    /// assert_eq!(queue.hint().slots, 1);
    /// ```
    pub fn hint(&self) -> Hint {
        let micros = self.service.median().as_micros();
        let (top_priority, top_queued) = self.waiting.top();
        Hint {
            queued: self.waiting.len() as u32,
            top_priority,
            top_queued,
            running: self.used_slots(),
            slots: self.limit.get(),
            service_us: u32::try_from(micros).unwrap_or(u32::MAX),
            health: self.health(),
        }
    }

    fn health(&self) -> Health {
        if self.draining {
            Health::Draining
        } else if self.circuit.is_open() {
            Health::Down
        } else if self.service.is_failing() {
            Health::Failing
        } else if self.limit.is_ramping() {
            Health::Ramping
        } else {
            Health::Ready
        }
    }

    /// Time since the server last had work; zero while it has some.
    pub fn idle_time(&self, now: Timestamp) -> Duration {
        if !self.waiting.is_empty() || !self.discarded.is_empty() || self.conns.occupied() > 0 {
            return Duration::ZERO;
        }
        now.since(self.last_activity.unwrap_or(self.created))
    }

    /// Number of connections that are open, being opened or being closed.
    pub fn connections(&self) -> u32 {
        self.conns.total() as u32
    }

    pub(crate) fn used_slots(&self) -> u32 {
        self.conns.occupied() + self.held_slots.len() as u32
    }

    pub(crate) fn is_unused(&self) -> bool {
        self.waiting.is_empty() && self.used_slots() == 0
    }
}
