//! Answers and failures of shards, and the merged answer of a search.

use std::fmt;

use jasminepond_types::{ServiceId, Version};
use jasminepond_wire::PartFailure;

use crate::{Hit, Score};

/// Answer of one shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardAnswer {
    /// Version that was searched.
    pub version: Version,
    /// Matches in the shard.
    pub count: u64,
    /// Best hits of the shard, in any order.
    pub hits: Vec<Hit>,
}

/// Reason why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Failure {
    /// The link to the owner broke, or that daemon does not own the server.
    OwnerLost,
    /// The owner reported a failure.
    Part(PartFailure),
}

impl From<PartFailure> for Failure {
    fn from(failure: PartFailure) -> Self {
        match failure {
            PartFailure::NotOwner => Self::OwnerLost,
            failure => Self::Part(failure),
        }
    }
}

/// What a failure implies about the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FailureKind {
    /// The replica does not serve the version.
    NoVersion,
    /// The replica is draining or unreachable.
    Unavailable,
    /// A later attempt at the replica may succeed.
    Transient,
}

impl Failure {
    pub(super) const fn kind(self) -> FailureKind {
        match self {
            Self::Part(PartFailure::VersionUnavailable | PartFailure::WrongVersion) => {
                FailureKind::NoVersion
            }
            Self::Part(PartFailure::Draining | PartFailure::Unreachable) => {
                FailureKind::Unavailable
            }
            _ => FailureKind::Transient,
        }
    }

    /// The reason reported if the shard ends up without an answer.
    pub const fn reason(self) -> MissingReason {
        match self {
            Self::OwnerLost | Self::Part(PartFailure::NotOwner) => MissingReason::OwnerLost,
            Self::Part(PartFailure::Timeout) => MissingReason::Timeout,
            Self::Part(PartFailure::Overloaded) => MissingReason::Overloaded,
            Self::Part(PartFailure::VersionUnavailable) => MissingReason::VersionUnavailable,
            Self::Part(PartFailure::Draining | PartFailure::Unreachable) => {
                MissingReason::NoReplica
            }
            Self::Part(
                PartFailure::Failed | PartFailure::WrongVersion | PartFailure::Cancelled,
            ) => MissingReason::Failed,
        }
    }
}

/// Why a shard is missing from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MissingReason {
    /// No answer came before the deadline.
    Timeout,
    /// The queue or the server had no capacity.
    Overloaded,
    /// No replica can be reached.
    NoReplica,
    /// No replica serves the version, and no other version could be searched in
    /// the remaining time.
    VersionUnavailable,
    /// The server returned an error or an unusable answer.
    Failed,
    /// The daemon that owns the server was lost.
    OwnerLost,
}

impl MissingReason {
    /// Name used in responses and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::Overloaded => "overloaded",
            Self::NoReplica => "no_replica",
            Self::VersionUnavailable => "version_unavailable",
            Self::Failed => "failed",
            Self::OwnerLost => "owner_lost",
        }
    }
}

impl fmt::Display for MissingReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Which shards an answer covers. Each of the `shards` is either counted in
/// `answered` or listed in `missing`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Coverage {
    /// Shards of the version.
    pub shards: usize,
    /// Shards that answered, possibly without a match.
    pub answered: usize,
    /// The other shards, in the order of the plan.
    pub missing: Vec<(ServiceId, MissingReason)>,
}

/// One hit of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankedHit {
    /// Id of the matching document.
    pub id: Box<str>,
    /// Relevance of the document.
    pub score: Score,
    /// Shard that returned it.
    pub shard: ServiceId,
}

/// Result of a search. Everything in it comes from one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Version that was searched.
    pub version: Version,
    /// Covered and missing shards.
    pub coverage: Coverage,
    /// Matches in the covered shards.
    pub count: u64,
    /// Best hits, by descending score, then ascending id, then order of the plan.
    pub hits: Vec<RankedHit>,
    /// Whether there are more matches than hits.
    pub limited: bool,
}
