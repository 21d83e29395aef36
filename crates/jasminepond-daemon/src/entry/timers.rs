//! Timers of the entry task.

use std::{cmp::Reverse, collections::BinaryHeap};

use jasminepond_query::ExecutionId;
use jasminepond_types::{QueryId, Timestamp};

/// The reason for a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The next timeout of a search.
    Search(QueryId),
    /// The next timeout of an execution.
    Execution(ExecutionId),
    /// The deadline of a forwarded request.
    Forward(u64),
    /// An owner that could not be reached may be chosen again.
    RetryOwner,
}

/// A heap of timers. Obsolete timers are not removed: an extra timeout is harmless.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Timestamp, Due)>>,
}

impl Timers {
    /// Adds a timer.
    pub fn add(&mut self, at: Timestamp, due: Due) {
        self.heap.push(Reverse((at, due)));
    }

    /// Expiry of the earliest timer.
    pub fn next(&self) -> Option<Timestamp> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the earliest timer if it has expired at `now`.
    pub fn pop(&mut self, now: Timestamp) -> Option<Due> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, due))| due)
    }
}
