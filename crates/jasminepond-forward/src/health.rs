//! Decisions about health requests, which tell whether a server is cold.

use std::time::Duration;

use jasminepond_ratelimit::{CHECK_INTERVAL, ProcessId};
use jasminepond_types::Timestamp;

use crate::message::Reply;

/// Time after which a health request counts as lost. A server with a full queue and a pause
/// responds sooner.
pub(crate) const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Wait after a health request without a usable response.
const LOST_DELAY: Duration = Duration::from_millis(500);

/// Longest wait before a cold server is asked again, whatever it has stated.
const MAX_COLD_WAIT: Duration = Duration::from_secs(10);

/// What the response to a health request says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Finding {
    /// The server is warm.
    Warm,
    /// The server stays cold for this long.
    Cold(Duration),
    /// Nothing about whether the server is cold.
    Nothing,
}

impl Finding {
    /// Interprets a response. One with an impossible status is none, and one with status 421
    /// comes from another server. A rejection need not state how long the server stays cold,
    /// so only a success without that time means that it is warm.
    pub(crate) fn of(reply: &Reply) -> Self {
        if !(100..=599).contains(&reply.status) || reply.wrong_server {
            return Self::Nothing;
        }
        match reply.warm_up_left.map(|left| left.duration()) {
            Some(Duration::ZERO) => Self::Warm,
            Some(left) => Self::Cold(left),
            None if (200..300).contains(&reply.status) => Self::Warm,
            None => Self::Nothing,
        }
    }
}

/// When a server gets health requests from this daemon.
#[derive(Debug)]
pub(crate) struct Health {
    /// Identity of the process for its limit while it is cold.
    pub(crate) process: ProcessId,
    next_at: Timestamp,
    in_progress: bool,
}

impl Health {
    pub(crate) fn new(process: ProcessId) -> Self {
        Self {
            process: process.while_cold(),
            next_at: Timestamp::ZERO,
            in_progress: false,
        }
    }

    /// Whether a health request may be sent now.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        !self.in_progress && now >= self.next_at
    }

    pub(crate) fn on_sent(&mut self) {
        self.in_progress = true;
    }

    /// Handles a response. A server that states that it is cold is asked again once it
    /// should be warm.
    pub(crate) fn on_finding(&mut self, now: Timestamp, finding: Finding) {
        self.in_progress = false;
        self.next_at = now
            + match finding {
                Finding::Warm => Duration::ZERO,
                Finding::Cold(left) => left.clamp(CHECK_INTERVAL, MAX_COLD_WAIT),
                Finding::Nothing => LOST_DELAY,
            };
    }
}
