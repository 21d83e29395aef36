//! How many calls of a daemon a server holds at a time.
//!
//! The load that this answers: after a restart of all daemons, or while servers are slow,
//! far more calls arrive than the servers can take. What is sent at once fills their queues:
//! calls are rejected, and those that are not come too late. What waits at the daemon instead
//! is sent in the order that serves most callers, and is dropped with its request.

use std::time::Duration;

use crate::request::RouteStats;

/// Added for each call that was answered soon while the window was full.
const GROWTH: f64 = 0.5;

/// Factor for each call that was answered late.
const LATE: f64 = 0.7;

/// Factor for each call that was rejected for lack of room.
const REJECTED: f64 = 0.5;

/// An answer within this multiple of the latency without load has hardly waited.
const SOON: f64 = 2.0;

/// An answer after this multiple of it has waited too long, if the objective is near.
const TOO_LONG: f64 = 3.0;

/// Share of the objective before which no answer has waited too long.
const EARLY: f64 = 0.5;

/// Calls that one daemon may have on a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Window {
    calls: f64,
}

impl Default for Window {
    /// One call, since nothing is known of what others send.
    fn default() -> Self {
        Self { calls: 1.0 }
    }
}

impl Window {
    /// Calls that may be in progress; at least the daemon's part of the server's `slots`.
    pub(crate) fn size(self, slots: f64) -> usize {
        self.calls.max(slots.ceil()) as usize
    }

    /// A call was answered while the window was `full` or not.
    pub(crate) fn answered(&mut self, latency: Duration, route: &RouteStats, full: bool) {
        let low = route.latency.borrow().low();
        if latency > low.mul_f64(TOO_LONG).max(route.objective.mul_f64(EARLY)) {
            self.shrink(LATE);
        } else if latency < low.mul_f64(SOON) && full {
            self.calls = (self.calls + GROWTH).min(f64::from(MAX_CALLS));
        }
    }

    /// A call was rejected for lack of room.
    pub(crate) fn rejected(&mut self) {
        self.shrink(REJECTED);
    }

    fn shrink(&mut self, factor: f64) {
        self.calls = (self.calls * factor).max(1.0);
    }
}

/// Most calls; connections are the tighter limit on small sites.
const MAX_CALLS: u32 = 64;
