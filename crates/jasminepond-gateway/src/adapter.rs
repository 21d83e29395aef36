//! What differs between platforms: names of headers, and calls to the store.

use jasminepond_discovery::{Era, Item, Page, Position, WatchResult};
use jasminepond_types::Millis;

/// Names of the headers that callers, this tier and backend servers exchange, in
/// lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; servers return it.
    pub request_id: &'static str,
    /// How long the caller still waits, in milliseconds.
    pub time_left_ms: &'static str,
    /// Id of the only server that may run the request.
    pub expected_server: &'static str,
    /// A server's signature of its response.
    pub stamp: &'static str,
    /// Present if the server did not run the request.
    pub not_run: &'static str,
    /// Present if the server is about to stop.
    pub leaving: &'static str,
    /// Counts the times that the store came back from a copy.
    pub store_era: &'static str,
    /// Signatures of the parts of a merged answer.
    pub part_stamps: &'static str,
    /// Number of shards that are not in a merged answer.
    pub missing_parts: &'static str,
}

/// An answer of the store cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// It is not what the call returns.
    #[error("malformed answer of the store: {0}")]
    Malformed(String),
}

/// Translates between a platform and the gateway. It decides nothing.
pub trait PlatformAdapter {
    /// Names of headers.
    fn headers(&self) -> HeaderNames;

    /// Path under which the platform asks whether the daemon takes connections.
    fn ready_path(&self) -> &'static str;

    /// Path and query that read the release.
    fn release_path(&self, stale: bool) -> String;

    /// Path and query that list the backend servers.
    fn backends_path(&self, after: Option<&str>, stale: bool) -> String;

    /// Path and query that wait for changes.
    fn watch_path(&self, after: Position, wait: Millis) -> String;

    /// Decodes the answer to [`PlatformAdapter::release_path`], given in this era of the store.
    ///
    /// # Errors
    ///
    /// The answer is malformed.
    fn decode_release(&self, era: Era, body: &[u8]) -> Result<(Item, Position), StoreError>;

    /// Decodes the answer to [`PlatformAdapter::backends_path`], given in this era of the store.
    ///
    /// # Errors
    ///
    /// The answer is malformed.
    fn decode_backends(&self, era: Era, body: &[u8]) -> Result<Page, StoreError>;

    /// Decodes the answer to [`PlatformAdapter::watch_path`], given in this era of the store.
    ///
    /// # Errors
    ///
    /// The answer is malformed.
    fn decode_watch(&self, era: Era, body: &[u8]) -> Result<WatchResult, StoreError>;
}
