//! Timers of the forwarder.

use std::{cmp::Reverse, collections::BinaryHeap};

use jasminepond_types::Timestamp;

use crate::{
    message::{CallKey, ConnKey, ReqKey},
    server::ServerKey,
};

/// A timer. One whose subject no longer exists is ignored when it fires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A call is slow: consider hedging it.
    Hedge(CallKey),
    /// Another daemon is late with its part of a search.
    SlowHelper(CallKey),
    /// Abort a call that timed out.
    CallTimeout(CallKey),
    /// Abort a call whose caller has disconnected.
    Abandoned(CallKey),
    /// Answer a search with the results received so far.
    Objective(ReqKey),
    /// Try again to place all parts of a request that may run once.
    Gather(ReqKey),
    /// Refuse a request that could not be sent.
    WaitLimit(ReqKey),
    /// The deadline of a request has passed.
    Deadline(ReqKey),
    /// Close a connection to a server that is not assigned to this daemon, if still idle.
    RemoteIdle(ConnKey),
    /// Reconnect to a server, or retire it at the end of its grace period.
    Server(ServerKey),
    /// Try queued parts again for which a permit may be available.
    Permit(ServerKey),
    /// Report what was sent to a limited server.
    LimitUsage(ServerKey),
    /// Use a connection that the server has not reset.
    Fresh(ConnKey),
    /// Give up a health request.
    Health(ConnKey),
    /// Check the contact with backend servers.
    Contact,
    /// Give up waiting for whether servers have ended whose connections did.
    Cut,
    /// Answer a request although that is not known.
    Verdict(ReqKey),
    /// Send messages about suspected requests.
    Quarantine,
    /// Measure the load of shards.
    Admission,
}

#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Timestamp, Timer)>>,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Timestamp, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    pub(crate) fn next(&self) -> Option<Timestamp> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the next timer that is due, and returns it with the time for which it was set.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<(Timestamp, Timer)> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(due)| due)
    }
}
