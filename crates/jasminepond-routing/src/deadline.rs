//! Deadlines, which travel between hops as remaining milliseconds.

use std::time::Duration;

use jasminepond_types::{Millis, Timestamp};

/// When a response is due, on the clock of this process.
///
/// ```
/// use std::time::Duration;
/// use jasminepond_routing::Deadline;
/// use jasminepond_types::{Millis, Timestamp};
///
/// let received = Timestamp::from_millis(1_000);
/// let deadline = Deadline::from_remaining(received, Millis(250));
/// let later = Timestamp::from_micros(1_010_500);
/// let allowance = Duration::from_millis(3);
/// assert_eq!(deadline.remaining_at_next_hop(later, allowance), Some(Millis(236)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Timestamp);

impl Deadline {
    /// A deadline at a point in time.
    pub const fn at(at: Timestamp) -> Self {
        Self(at)
    }

    /// A deadline `left` after the request was received.
    pub fn from_remaining(received: Timestamp, left: Millis) -> Self {
        Self(received + left.duration())
    }

    /// The point in time.
    pub const fn timestamp(self) -> Timestamp {
        self.0
    }

    /// Time left, zero once the deadline has passed.
    pub const fn left(self, now: Timestamp) -> Duration {
        self.0.since(now)
    }

    /// Whether the deadline has passed.
    pub fn has_passed(self, now: Timestamp) -> bool {
        self.0 <= now
    }

    /// Remaining time to send to the next hop; `None` if nothing would be left
    /// there. `allowance` covers the way there and back. Rounded down, so that
    /// no hop believes to have more time than the one before.
    pub fn remaining_at_next_hop(self, now: Timestamp, allowance: Duration) -> Option<Millis> {
        let left = self.left(now).checked_sub(allowance)?;
        let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        (millis > 0).then_some(Millis(millis))
    }
}
