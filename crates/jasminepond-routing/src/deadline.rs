//! Deadlines, which are sent between hops as remaining milliseconds.

use std::time::Duration;

use jasminepond_types::{Millis, Timestamp};

/// The time at which a response is due, on the clock of this process.
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
    /// Creates a deadline at the given time.
    pub const fn at(at: Timestamp) -> Self {
        Self(at)
    }

    /// Creates a deadline that is `left` after the time the request was received.
    pub fn from_remaining(received: Timestamp, left: Millis) -> Self {
        Self(received + left.duration())
    }

    /// Returns the time of the deadline.
    pub const fn timestamp(self) -> Timestamp {
        self.0
    }

    /// Returns the time left, which is zero once the deadline has passed.
    pub const fn left(self, now: Timestamp) -> Duration {
        self.0.since(now)
    }

    /// Returns whether the deadline has passed.
    pub fn has_passed(self, now: Timestamp) -> bool {
        self.0 <= now
    }

    /// Returns the remaining time to send to the next hop, or `None` if no time
    /// would be left there. `allowance` covers the network round trip. The result
    /// is rounded down, so that no hop gets more time than the previous one.
    pub fn remaining_at_next_hop(self, now: Timestamp, allowance: Duration) -> Option<Millis> {
        let left = self.left(now).checked_sub(allowance)?;
        let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        (millis > 0).then_some(Millis(millis))
    }
}
