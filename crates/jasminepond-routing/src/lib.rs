//! Routing decisions of an entry daemon: which daemon owns a server, which
//! replica takes a sub-request, when to hedge or retry, and which queries to
//! admit.
//!
//! All types are state machines that are given the current time as `now`. They
//! use no sockets, clocks or tasks.
//!
//! ```
//! use jasminepond_routing::{Choice, ReplicaRequest, ReplicaSettings, Replicas};
//! use jasminepond_types::{ServerId, Timestamp, Version};
//!
//! let servers: Vec<ServerId> = vec!["kit-1a".parse().unwrap(), "kit-1b".parse().unwrap()];
//! let mut replicas = Replicas::new(ReplicaSettings::default(), 7);
//! let req = ReplicaRequest {
//!     servers: &servers,
//!     version: Version(41),
//!     priority: 0,
//!     exclude: &[],
//!     can_hedge: true,
//! };
//! let Choice::Use { server } = replicas.choose(Timestamp::ZERO, req) else {
//!     panic!("no replica");
//! };
//! assert!(servers.contains(&server));
//! ```

mod admission;
mod budget;
mod concurrency;
mod deadline;
mod hedging;
mod ownership;
mod quota;
mod replicas;
mod server;

pub use admission::{Admission, AdmissionDecision, AdmissionSettings, FinishedQuery, Query};
pub use budget::{HedgeBudget, RetryBudget, Share};
pub use concurrency::ConcurrencySettings;
pub use deadline::Deadline;
pub use hedging::{ExtraAttempt, HedgeDecision, HedgeDenial, Hedging, HedgingSettings};
pub use ownership::{Candidate, Ownership};
pub use quota::DirectQuota;
pub use replicas::{
    AttemptOutcome, Choice, Estimate, ReplicaRequest, ReplicaSettings, Replicas, UnavailableReason,
};
