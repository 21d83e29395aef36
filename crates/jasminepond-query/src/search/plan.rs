//! Inputs of a search: its plan, settings and chooser.

use std::{sync::Arc, time::Duration};

use jasminepond_types::{GroupId, QueryId, ServerId, ServiceId, Timestamp, Version};

use crate::{Candidates, Choice};

/// What a search covers.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Identifies the search; part of every [`AttemptId`](crate::AttemptId).
    pub id: QueryId,
    /// Group that is searched.
    pub group: GroupId,
    /// Versions still served, newest first. Versions after the 64th are ignored.
    pub versions: Arc<[ShardMap]>,
    /// Maximum number of hits in the answer.
    pub limit: u32,
}

/// Shards of one version and their replicas. Each service is listed once.
#[derive(Debug, Clone)]
pub struct ShardMap {
    /// The version.
    pub version: Version,
    /// Each shard with its replicas. Replicas after the 64th are ignored.
    pub services: Vec<(ServiceId, Vec<ServerId>)>,
}

/// Error for a plan that has no version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the group has no version to search")]
pub struct NoVersions;

/// What a search favours when replicas fail or are slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Objective {
    /// Tries every live replica before it gives a shard up. A retry that the
    /// budget refuses is delayed.
    Coverage {
        /// Number of times that each replica may be tried.
        rounds: u32,
    },
    /// Gives a shard up early. A retry that the budget refuses is not made.
    Latency {
        /// Maximum number of attempts per shard, not counting hedged requests.
        max_attempts: u32,
    },
}

/// Settings of a [`Search`](crate::Search).
#[derive(Debug, Clone)]
pub struct SearchSettings {
    /// Whether to favour coverage or latency.
    pub objective: Objective,
    /// Time reserved before the deadline for the response to reach the caller.
    pub response_allowance: Duration,
    /// First delay before a retry or hedged request that the budget refused is
    /// attempted again, and before another round over the replicas. The delay
    /// doubles each time for the same shard, up to 16 times its first length.
    pub initial_backoff: Duration,
}

impl Default for SearchSettings {
    fn default() -> Self {
        Self {
            objective: Objective::Coverage { rounds: 2 },
            response_allowance: Duration::from_millis(5),
            initial_backoff: Duration::from_millis(5),
        }
    }
}

/// Decisions based on state that searches share.
pub trait Chooser {
    /// Chooses a replica of `service`. [`Choice::None`] with
    /// `VersionUnavailable` means that no replica holds the version.
    fn choose(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        version: Version,
        candidates: Candidates<'_>,
    ) -> Choice;

    /// How long to wait for `server` before a hedged request, `None` for never.
    fn hedge_after(&mut self, now: Timestamp, server: &ServerId) -> Option<Duration>;

    /// Whether a hedged request may be sent to `server` now. Draws on the budget.
    fn may_hedge(&mut self, now: Timestamp, server: &ServerId) -> bool;

    /// Whether a retry may be sent to `server` now. Draws on the budget.
    fn may_retry(&mut self, now: Timestamp, server: &ServerId) -> bool;

    /// Expected time from sending a sub-request to its answer.
    fn service_time(&mut self, now: Timestamp) -> Duration;
}
