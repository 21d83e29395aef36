//! Timers of the entry task.

use std::{cmp::Reverse, collections::BinaryHeap};

use jasminepond_query::ExecutionId;
use jasminepond_types::{QueryId, Timestamp};

/// What is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// A search wants a tick.
    Search(QueryId),
    /// An execution wants a tick.
    Execution(ExecutionId),
    /// A forwarded request has had no answer by its deadline.
    Forward(u64),
    /// An owner may be tried again.
    Reachable,
}

/// A heap of times. Entries are not removed when they become obsolete: a tick
/// too many does no harm.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Timestamp, Due)>>,
}

impl Timers {
    /// Adds a time.
    pub fn add(&mut self, at: Timestamp, due: Due) {
        self.heap.push(Reverse((at, due)));
    }

    /// The earliest time.
    pub fn next(&self) -> Option<Timestamp> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes what is due at `now`.
    pub fn pop(&mut self, now: Timestamp) -> Option<Due> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, due))| due)
    }
}
