//! Settings of a [`ServerQueue`](crate::ServerQueue).

use std::time::Duration;

use jasminepond_types::Slots;

/// Limits and times for one server.
///
/// ```
/// use jasminepond_dispatch::Settings;
/// use jasminepond_types::Slots;
///
/// let settings = Settings { slots: Slots(3), connection_quota: 14, ..Default::default() };
/// assert_eq!(settings.queue_limit, 256);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Requests that the server works on at the same time, at least one.
    pub slots: Slots,
    /// Connections that this owner may have open at the same time, at least
    /// one. Connections being opened and closed count.
    pub connection_quota: u32,
    /// Requests waiting per class.
    pub queue_limit: u32,
    /// One dispatch in this many goes to the oldest work of the lower classes,
    /// at least two.
    pub starvation_share: u32,
    /// Connections kept open while the server is in use, so that a request
    /// rarely waits for a new one. Bounded by the quota.
    pub warm_connections: u32,
    /// Service time assumed before the first response.
    pub initial_service_time: Duration,
    /// Successes after which one more slot is used.
    pub successes_per_slot: u32,
    /// Shortest progress timeout. Below this, an ordinary pause of the server
    /// would close good connections: with 100 ms, requests that take ten times the
    /// usual 10 ms lost theirs. Hedged requests cover the wait meanwhile.
    pub min_progress_timeout: Duration,
    /// Time after a deadline within which the server's own "deadline passed"
    /// response is awaited before the connection is closed.
    pub deadline_grace: Duration,
    /// Time within which the response of an abandoned request must arrive for
    /// its connection to be used again.
    pub drain_timeout: Duration,
    /// Time after which an idle connection is checked before further use.
    pub idle_check_after: Duration,
    /// Time allowed for a check.
    pub check_timeout: Duration,
    /// Time after which a surplus idle connection is closed.
    pub idle_timeout: Duration,
    /// Consecutive connect failures or lost connections after which the server
    /// counts as down.
    pub failure_threshold: u32,
    /// First delay before the next connection attempt; doubles per failure.
    pub initial_backoff: Duration,
    /// Longest delay before the next connection attempt.
    pub max_backoff: Duration,
    /// Longest time for which a server's retry-after stops dispatch to it.
    pub max_pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: Slots(2),
            connection_quota: 3,
            queue_limit: 256,
            starvation_share: 8,
            warm_connections: 2,
            initial_service_time: Duration::from_millis(10),
            successes_per_slot: 8,
            min_progress_timeout: Duration::from_millis(500),
            deadline_grace: Duration::from_millis(50),
            drain_timeout: Duration::from_secs(1),
            idle_check_after: Duration::from_secs(10),
            check_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(60),
            failure_threshold: 3,
            initial_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(2),
            max_pause: Duration::from_secs(1),
        }
    }
}

impl Settings {
    pub(crate) fn slot_limit(&self) -> u32 {
        self.slots.get().max(1)
    }

    pub(crate) fn quota(&self) -> usize {
        self.connection_quota.max(1) as usize
    }

    pub(crate) fn warm(&self) -> usize {
        (self.warm_connections as usize).min(self.quota())
    }
}
