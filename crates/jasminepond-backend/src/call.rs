//! What is asked of a backend server and what it says.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use jasminepond_types::{Millis, ServiceId, Version};
use serde::Deserialize;

/// A call, unique within one daemon process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One shard's part of a search.
#[derive(Debug, Clone)]
pub struct SearchCall {
    /// The shard to search.
    pub service: ServiceId,
    /// Snapshot version that the response must come from.
    pub version: Version,
    /// Query text.
    pub query: Arc<str>,
    /// Most hits to return.
    pub limit: u32,
    /// Time left before the deadline.
    pub left: Millis,
}

/// One non-idempotent request.
#[derive(Debug, Clone)]
pub struct ExecuteCall {
    /// Request key, for the server's records.
    pub key: String,
    /// The operation as JSON.
    pub operation: Bytes,
    /// Time left before the deadline.
    pub left: Millis,
}

/// What is asked of a backend server.
#[derive(Debug, Clone)]
pub enum Call {
    /// Search one shard.
    Search(SearchCall),
    /// Run a non-idempotent request.
    Execute(ExecuteCall),
    /// Abandon earlier calls made on other connections, by their request ids.
    Cancel(Vec<CallId>),
    /// Ask for the server's state.
    Health,
}

/// One document found.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Hit {
    /// Document id.
    pub id: String,
    /// Relevance, higher is better.
    pub score: f64,
}

/// The response of one shard.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct SearchResult {
    /// Version that the hits come from.
    pub version: Version,
    /// Number of matching documents in the shard.
    pub count: u64,
    /// The best hits.
    pub hits: Vec<Hit>,
}

/// Why a server did not run a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// No slot free, draining or starting.
    Shed,
    /// The asked version is not held.
    VersionUnavailable,
    /// The shard is not held.
    WrongShard,
    /// The deadline passed before the call began.
    Deadline,
}

/// What a server says when asked for its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// Not ready yet.
    Starting,
    /// Takes requests.
    Ready,
    /// Shutting down.
    Draining,
}

/// How a call ended on the server.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// A shard's result.
    Found(SearchResult),
    /// The result of a non-idempotent request, as JSON.
    Executed(Bytes),
    /// A cancel call succeeded.
    Acknowledged,
    /// The server's state.
    Health(ServerState),
    /// The call was cancelled.
    Cancelled,
    /// The server states that the call did not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When the server expects to have capacity.
        retry_after: Option<Millis>,
        /// Versions that the server holds, if it said so.
        versions: Vec<Version>,
    },
    /// The server failed; the call may have run.
    Failed {
        /// HTTP status code.
        status: u16,
    },
}

/// What a server says of itself along with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Hints {
    /// The server is leaving.
    pub draining: bool,
    /// Calls running and slots in all.
    pub load: Option<(u32, u32)>,
}

/// A response of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// How the call ended.
    pub outcome: CallOutcome,
    /// What the server says of itself.
    pub hints: Hints,
}
