//! Identity of sub-requests and the steps that a search asks for.

use std::fmt;

use jasminepond_types::{QueryId, ServerId, ServiceId, Timestamp, Version};

use super::Answer;

/// One sub-request of one search.
///
/// It names its search, so that a result for another search is never accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The search.
    pub search: QueryId,
    /// Number within the search, never used twice.
    pub part: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.search, self.part)
    }
}

/// What the caller of a [`Search`](crate::Search) does next, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send a sub-request.
    Send {
        /// Identifies the result.
        attempt: AttemptId,
        /// The shard.
        service: ServiceId,
        /// The replica.
        server: ServerId,
        /// The version that the result must come from.
        version: Version,
    },
    /// The result of this sub-request is no longer needed.
    Cancel {
        /// The sub-request.
        attempt: AttemptId,
    },
    /// Call [`Search::on_tick`](crate::Search::on_tick) at this time, which
    /// replaces the previous one.
    Wait {
        /// The time.
        until: Timestamp,
    },
    /// The search is finished. Given exactly once, as the last step of all.
    Finish(Answer),
}
