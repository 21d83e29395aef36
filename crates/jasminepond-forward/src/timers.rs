//! Timers of the forwarder.

use std::{cmp::Reverse, collections::BinaryHeap};

use jasminepond_types::Timestamp;

use crate::{
    message::{CallKey, ConnKey, ReqKey},
    server::ServerKey,
};

/// What is due. A timer of something that has ended is ignored when it fires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A call may be slow: consider a second one.
    Hedge(CallKey),
    /// Another daemon takes too long for its part of a search.
    SlowHelper(CallKey),
    /// A call is given up.
    CallTimeout(CallKey),
    /// A call whose caller has left is ended.
    Abandoned(CallKey),
    /// A search is answered with what is there.
    Objective(ReqKey),
    /// A request that no server could take is refused.
    WaitLimit(ReqKey),
    /// The time of a request is over.
    Deadline(ReqKey),
    /// A connection beyond this daemon's own is closed if it is still idle.
    Remote(ConnKey),
    /// A server is tried again, or its grace ends.
    Server(ServerKey),
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

    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
