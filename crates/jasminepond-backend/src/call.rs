//! Calls to backend servers and their outcomes.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use jasminepond_types::{Millis, ServiceId, Version};
use serde::Deserialize;

/// Id of a call, unique within one daemon process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A search of one shard.
#[derive(Debug, Clone)]
pub struct SearchCall {
    /// The shard to search.
    pub service: ServiceId,
    /// Snapshot version that the response must come from.
    pub version: Version,
    /// Query text.
    pub query: Arc<str>,
    /// Maximum number of hits to return.
    pub limit: u32,
    /// Time left until the deadline.
    pub left: Millis,
}

/// A non-idempotent request.
#[derive(Debug, Clone)]
pub struct ExecuteCall {
    /// Request key, passed to the server for its records.
    pub key: String,
    /// The operation as JSON.
    pub operation: Bytes,
    /// Time left until the deadline.
    pub left: Millis,
}

/// A call to a backend server.
#[derive(Debug, Clone)]
pub enum Call {
    /// Search one shard.
    Search(SearchCall),
    /// Run a non-idempotent request.
    Execute(ExecuteCall),
    /// Cancel calls in progress on other connections, by their request ids.
    Cancel(Vec<CallId>),
    /// Query the server's state.
    Health,
}

/// A matching document.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Hit {
    /// Document id.
    pub id: String,
    /// Relevance; a higher score ranks first.
    pub score: f64,
}

/// Result of the search of one shard.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct SearchResult {
    /// Snapshot version that the hits come from.
    pub version: Version,
    /// Number of matching documents in the shard.
    pub count: u64,
    /// Hits with the highest scores.
    pub hits: Vec<Hit>,
}

/// Why a server did not run a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The server has no free slot, is draining or is starting.
    Shed,
    /// The server does not hold the requested version.
    VersionUnavailable,
    /// The server does not hold the shard.
    WrongShard,
    /// The deadline passed before the call started.
    Deadline,
}

/// State that a server reports in response to a health call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// Not ready yet.
    Starting,
    /// Accepts requests.
    Ready,
    /// Shutting down.
    Draining,
}

/// Outcome of a call at the server.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// Result of a search.
    Found(SearchResult),
    /// Result of a non-idempotent request, as JSON.
    Executed(Bytes),
    /// The cancel call succeeded.
    Acknowledged,
    /// State of the server.
    Health(ServerState),
    /// The call was cancelled.
    Cancelled,
    /// The server guarantees that the call did not run.
    NotRun {
        /// Reason given by the server.
        reason: NotRunReason,
        /// Time after which the server expects to have capacity.
        retry_after: Option<Millis>,
        /// Versions that the server holds; empty if it did not list them.
        versions: Vec<Version>,
    },
    /// The server failed; the call may have run.
    Failed {
        /// HTTP status code.
        status: u16,
    },
}

/// Information about the server itself that a response carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Hints {
    /// The server is shutting down.
    pub draining: bool,
    /// Number of running calls and total number of slots.
    pub load: Option<(u32, u32)>,
}

/// A response from a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// Outcome of the call.
    pub outcome: CallOutcome,
    /// Information about the server itself.
    pub hints: Hints,
}
