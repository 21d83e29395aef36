//! Ids of sub-requests and the steps that a search returns.

use std::fmt;

use jasminepond_types::{QueryId, ServerId, ServiceId, Timestamp, Version};

use super::Answer;

/// Id of one sub-request.
///
/// It contains the id of its search, so that a result for another search is never
/// accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The search that it belongs to.
    pub search: QueryId,
    /// Number within the search, never reused.
    pub part: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.search, self.part)
    }
}

/// Action for the caller of a [`Search`](crate::Search). Actions are carried out in the
/// order returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send a sub-request.
    Send {
        /// Identifies the sub-request when its result is reported.
        attempt: AttemptId,
        /// Shard to search.
        service: ServiceId,
        /// Replica that receives the sub-request.
        server: ServerId,
        /// Version that the result must come from.
        version: Version,
    },
    /// Cancel a sub-request whose result is no longer needed.
    Cancel {
        /// The sub-request.
        attempt: AttemptId,
    },
    /// Call [`Search::on_tick`](crate::Search::on_tick) at this time instead of any
    /// time returned before.
    Wait {
        /// The time.
        until: Timestamp,
    },
    /// The search is finished. Returned exactly once, as the last step.
    Finish(Answer),
}
