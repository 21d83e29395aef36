//! What a search covers and how it may be carried out.

use std::{sync::Arc, time::Duration};

use jasminepond_types::{GroupId, QueryId, ServerId, ServiceId, Timestamp, Version};

use crate::{Candidates, Choice};

/// What one search covers.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Identifies the search; part of every [`AttemptId`](crate::AttemptId).
    pub id: QueryId,
    /// Group that is searched.
    pub group: GroupId,
    /// Versions still served, newest first. Those after the 64th are not used.
    pub versions: Arc<[ShardMap]>,
    /// Most hits in the answer.
    pub limit: u32,
}

/// Shard map of one version. Each service is listed once.
#[derive(Debug, Clone)]
pub struct ShardMap {
    /// The version.
    pub version: Version,
    /// Each shard with its replicas; those after the 64th are not used.
    pub services: Vec<(ServiceId, Vec<ServerId>)>,
}

/// A plan has no version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the group has no version to search")]
pub struct NoVersions;

/// What matters most to the user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Objective {
    /// Try every live replica before giving a shard up. A retry that the budget
    /// refuses is delayed.
    Coverage {
        /// How often each replica may be tried.
        rounds: u32,
    },
    /// Give a shard up early. A retry that the budget refuses is not made.
    Latency {
        /// Attempts per shard, hedged requests not counted.
        max_attempts: u32,
    },
}

/// How a search is carried out.
#[derive(Debug, Clone)]
pub struct SearchSettings {
    /// What matters most.
    pub objective: Objective,
    /// Time kept before the deadline for the response to reach the caller.
    pub response_allowance: Duration,
    /// First pause before a refused retry or hedged request is asked for again
    /// and before replicas are tried another time. It doubles with each pause of
    /// a shard, up to 16 times.
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

/// Decisions that depend on more than one search.
pub trait Chooser {
    /// Chooses a replica of `service`. [`Choice::None`] with
    /// `VersionUnavailable` says that no replica holds the version.
    fn choose(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        version: Version,
        candidates: Candidates<'_>,
    ) -> Choice;

    /// How long to wait for `server` before a hedged request, `None` for never.
    fn hedge_after(&mut self, now: Timestamp, server: &ServerId) -> Option<Duration>;

    /// Whether a hedged request may go to `server` now. Takes from the budget.
    fn may_hedge(&mut self, now: Timestamp, server: &ServerId) -> bool;

    /// Whether a retry may go to `server` now. Takes from the budget.
    fn may_retry(&mut self, now: Timestamp, server: &ServerId) -> bool;

    /// Expected time from sending sub-requests to their answers.
    fn service_time(&mut self, now: Timestamp) -> Duration;
}
