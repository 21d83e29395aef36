//! Settings of a [`ServerQueue`](crate::ServerQueue).

use std::time::Duration;

use jasminepond_types::Slots;

/// Limits and timeouts for one server.
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
    /// Requests that the server runs concurrently; zero counts as one.
    pub slots: Slots,
    /// Connections that this owner may have at the same time, including those
    /// being opened or closed; zero counts as one.
    pub connection_quota: u32,
    /// Maximum number of waiting requests per class.
    pub queue_limit: u32,
    /// One dispatch in this many goes to the oldest work of the lower classes;
    /// values below two count as two.
    pub starvation_share: u32,
    /// Connections kept open while the server is in use, so that a request
    /// rarely waits for a new one. Bounded by the quota.
    pub warm_connections: u32,
    /// Service time assumed before the first response.
    pub initial_service_time: Duration,
    /// Successes with all slots in use after which the slot limit grows by one.
    pub successes_per_slot: u32,
    /// Lower bound of the progress timeout. A shorter one closes healthy
    /// connections during ordinary pauses of the server: at 100 ms, requests
    /// that took ten times the usual 10 ms lost theirs. Hedged requests cover
    /// the wait.
    pub min_progress_timeout: Duration,
    /// Time after a deadline for which the connection stays open to receive the
    /// server's own "deadline passed" response.
    pub deadline_grace: Duration,
    /// Time within which the response of a cancelled request must arrive for its
    /// connection to be reused.
    pub drain_timeout: Duration,
    /// Idle time after which a connection is checked before further use.
    pub idle_check_after: Duration,
    /// Timeout of a check.
    pub check_timeout: Duration,
    /// Idle time after which a surplus connection is closed.
    pub idle_timeout: Duration,
    /// Consecutive connect failures or lost connections after which the server
    /// counts as down.
    pub failure_threshold: u32,
    /// Delay before the next connection attempt after the first failure; doubles
    /// with each further failure.
    pub initial_backoff: Duration,
    /// Upper bound of the delay before the next connection attempt.
    pub max_backoff: Duration,
    /// Upper bound of a pause in dispatch, such as one from a server's
    /// retry-after, and of the time for which a fast failure occupies its slot.
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
