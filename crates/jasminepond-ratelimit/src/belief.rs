//! What a daemon believes about the limit of a process.

use jasminepond_types::Timestamp;

use crate::RateLimit;

/// The newest statement of a process about its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Belief {
    /// The limit, or `None` if the process no longer states one.
    pub(crate) limit: Option<RateLimit>,
    /// When the limit was last received, or the earliest time at which it was lifted.
    pub(crate) at: Timestamp,
}

impl Belief {
    /// Applies what a response states. Responses may overtake each other, so only the
    /// response to a request that was sent after the limit was last received can raise or
    /// lift it.
    pub(crate) fn observe(&mut self, now: Timestamp, sent: Timestamp, stated: Option<RateLimit>) {
        let raises = match (self.limit, stated) {
            (Some(known), Some(stated)) => stated > known,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if raises && sent < self.at {
            return;
        }
        *self = Self {
            limit: stated,
            at: match stated {
                Some(_) => now,
                None => sent,
            },
        };
    }

    /// Adopts the belief of another daemon if it is different and newer. Ages exclude the time
    /// that messages take, so that an equal one that was sent to and fro would seem newer
    /// each time.
    pub(crate) fn merge(&mut self, other: Self) {
        let newer = other.at > self.at || (other.at == self.at && other.limit.is_some());
        if newer && other.limit != self.limit {
            *self = other;
        }
    }
}
