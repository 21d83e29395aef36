//! Concurrency window: limits the calls that a daemon has in progress on a server.
//!
//! After a restart of all daemons, or while servers are slow, far more calls arrive than
//! the servers can process. Sent immediately, they would fill the servers' queues, where
//! calls are rejected or finish too late. Calls that are queued in the daemon instead are
//! sent by urgency and priority, and are dropped when their request ends.

use std::time::Duration;

use crate::request::RouteStats;

/// Increase per call that was answered without queueing while the window was full.
const GROWTH: f64 = 0.5;

/// Decrease factor per call that was queued for too long.
const QUEUED_SHRINK: f64 = 0.7;

/// Decrease factor per call that the server rejected because its queue was full.
const REJECTED_SHRINK: f64 = 0.5;

/// A call with less than this multiple of the unloaded latency was hardly queued.
const UNQUEUED_FACTOR: f64 = 2.0;

/// A call with more than this multiple of the unloaded latency was queued for too long,
/// if it also took more than [`QUEUED_MIN_SHARE`] of the objective.
const QUEUED_FACTOR: f64 = 3.0;

/// Share of the objective up to which no call counts as queued for too long.
const QUEUED_MIN_SHARE: f64 = 0.5;

/// Number of calls that one daemon may have in progress on a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Window {
    calls: f64,
}

impl Default for Window {
    /// Starts with one call, since the load from other daemons is unknown.
    fn default() -> Self {
        Self { calls: 1.0 }
    }
}

impl Window {
    /// Number of calls that may be in progress; at least the daemon's share `slots` of
    /// the server's slots.
    pub(crate) fn size(self, slots: f64) -> usize {
        self.calls.max(slots.ceil()) as usize
    }

    /// Adjusts the window to the latency of an answered call. `full` states whether the
    /// window was full.
    pub(crate) fn answered(&mut self, latency: Duration, route: &RouteStats, full: bool) {
        let low = route.latency.borrow().low();
        if latency
            > low
                .mul_f64(QUEUED_FACTOR)
                .max(route.objective.mul_f64(QUEUED_MIN_SHARE))
        {
            self.shrink(QUEUED_SHRINK);
        } else if latency < low.mul_f64(UNQUEUED_FACTOR) && full {
            self.calls = (self.calls + GROWTH).min(f64::from(MAX_CALLS));
        }
    }

    /// Shrinks the window after the server rejected a call because its queue was full.
    pub(crate) fn rejected(&mut self) {
        self.shrink(REJECTED_SHRINK);
    }

    fn shrink(&mut self, factor: f64) {
        self.calls = (self.calls * factor).max(1.0);
    }
}

/// Maximum window size. On small sites the connection limit is lower.
const MAX_CALLS: u32 = 64;
