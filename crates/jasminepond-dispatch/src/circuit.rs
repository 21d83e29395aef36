//! Circuit breaker and reconnection backoff of a server.

use std::time::Duration;

use jasminepond_types::Timestamp;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::Settings;

/// Largest exponent of the backoff. Prevents overflow; `max_backoff` takes
/// effect earlier.
const MAX_DOUBLINGS: u32 = 16;

/// Counts consecutive connect failures and lost connections, and schedules the
/// next connection attempt.
#[derive(Debug)]
pub(crate) struct CircuitBreaker {
    /// Connect failures and lost connections since the last response.
    consecutive_losses: u32,
    /// Connect failures since the last established connection.
    connect_failures: u32,
    retry_at: Timestamp,
    open: bool,
    rng: SmallRng,
}

impl CircuitBreaker {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            consecutive_losses: 0,
            connect_failures: 0,
            retry_at: Timestamp::ZERO,
            open: false,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Whether the server counts as down.
    pub(crate) fn is_open(&self) -> bool {
        self.open
    }

    /// Whether only one connection attempt at a time is allowed.
    pub(crate) fn limits_attempts(&self) -> bool {
        self.open || self.connect_failures > 0
    }

    /// Earliest time of the next connection attempt.
    pub(crate) fn retry_at(&self) -> Timestamp {
        self.retry_at
    }

    pub(crate) fn connected(&mut self) {
        self.connect_failures = 0;
    }

    /// Records a response. Returns whether the server counted as down before.
    pub(crate) fn responded(&mut self) -> bool {
        self.consecutive_losses = 0;
        std::mem::replace(&mut self.open, false)
    }

    pub(crate) fn connect_failed(&mut self, now: Timestamp, settings: &Settings) {
        self.connect_failures += 1;
        self.back_off(now, self.connect_failures, settings);
    }

    /// Records that a connection was lost without a response or that none could
    /// be opened. Returns whether this one made the server count as down.
    pub(crate) fn connection_lost(&mut self, now: Timestamp, settings: &Settings) -> bool {
        self.consecutive_losses += 1;
        if self.consecutive_losses < settings.failure_threshold.max(1) {
            return false;
        }
        self.back_off(now, self.consecutive_losses, settings);
        !std::mem::replace(&mut self.open, true)
    }

    /// Delays the next attempt because the server reported that it is not ready.
    pub(crate) fn not_ready(&mut self, now: Timestamp, settings: &Settings) {
        self.back_off(now, self.consecutive_losses.max(1), settings);
    }

    fn back_off(&mut self, now: Timestamp, failures: u32, settings: &Settings) {
        let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let full = settings.initial_backoff * (1 << doublings);
        let full = full.min(settings.max_backoff);
        self.retry_at = now + self.jittered(full);
    }

    /// A random duration between half of `full` and `full`, so that the attempts
    /// of several owners do not coincide.
    pub(crate) fn jittered(&mut self, full: Duration) -> Duration {
        full.mul_f64(self.rng.random_range(0.5..1.0))
    }
}
