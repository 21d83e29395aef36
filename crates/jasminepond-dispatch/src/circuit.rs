//! When to try a server again that cannot be reached.

use std::time::Duration;

use jasminepond_types::Timestamp;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::Settings;

/// Largest exponent of the backoff; avoids overflow, the limit applies earlier.
const MAX_DOUBLINGS: u32 = 16;

/// Connect failures and lost connections in a row, and the next attempt.
#[derive(Debug)]
pub(crate) struct Circuit {
    /// Connect failures and lost connections since the last response.
    losses: u32,
    /// Connect failures since the last established connection.
    connect_failures: u32,
    retry_at: Timestamp,
    open: bool,
    rng: SmallRng,
}

impl Circuit {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            losses: 0,
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
    pub(crate) fn one_at_a_time(&self) -> bool {
        self.open || self.connect_failures > 0
    }

    /// Earliest time of the next connection attempt.
    pub(crate) fn retry_at(&self) -> Timestamp {
        self.retry_at
    }

    pub(crate) fn connected(&mut self) {
        self.connect_failures = 0;
    }

    /// A response arrived. Returns whether the server had counted as down.
    pub(crate) fn responded(&mut self) -> bool {
        self.losses = 0;
        std::mem::replace(&mut self.open, false)
    }

    pub(crate) fn connect_failed(&mut self, now: Timestamp, settings: &Settings) {
        self.connect_failures += 1;
        self.back_off(now, self.connect_failures, settings);
    }

    /// A connection was lost without a response, or none could be opened. Returns
    /// whether the server counts as down from now on.
    pub(crate) fn lost(&mut self, now: Timestamp, settings: &Settings) -> bool {
        self.losses += 1;
        if self.losses < settings.failure_threshold.max(1) {
            return false;
        }
        self.back_off(now, self.losses, settings);
        !std::mem::replace(&mut self.open, true)
    }

    /// Delays the next attempt to a server that said it is not ready.
    pub(crate) fn not_ready(&mut self, now: Timestamp, settings: &Settings) {
        self.back_off(now, self.losses.max(1), settings);
    }

    fn back_off(&mut self, now: Timestamp, failures: u32, settings: &Settings) {
        let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let full = settings.initial_backoff * (1 << doublings);
        let full = full.min(settings.max_backoff);
        self.retry_at = now + self.jittered(full);
    }

    /// Between half of `full` and `full`, so that owners do not try in step.
    pub(crate) fn jittered(&mut self, full: Duration) -> Duration {
        full.mul_f64(self.rng.random_range(0.5..1.0))
    }
}
