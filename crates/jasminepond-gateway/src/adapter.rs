//! Interface for the parts that differ between platforms: header names and store calls.

use jasminepond_discovery::{Era, Page, Position, WatchResult};
use jasminepond_types::Millis;

/// Names of the headers that callers, gateways and backend servers exchange, in lower
/// case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a caller. Servers copy it into their response.
    pub request_id: &'static str,
    /// Time left until the caller's deadline, in milliseconds.
    pub time_left_ms: &'static str,
    /// Id of the only server that may run the request.
    pub expected_server: &'static str,
    /// A server's signature of its response.
    pub stamp: &'static str,
    /// Present if the server did not run the request.
    pub not_run: &'static str,
    /// Present with a value other than `0` if the server is about to stop.
    pub leaving: &'static str,
    /// Number of requests per second that the server accepts from all daemons together.
    pub rate_limit: &'static str,
    /// Load of the server: running and waiting requests, slots, and the duration of work in
    /// percent of the usual one, separated by commas.
    pub server_load: &'static str,
    /// Time in milliseconds for which the server stays cold, in its health responses.
    pub warm_up_left: &'static str,
    /// Number of times that the store was restored from a backup.
    pub store_era: &'static str,
    /// Signatures of the parts of a merged response.
    pub part_stamps: &'static str,
    /// Number of shards that are missing from a merged response.
    pub missing_parts: &'static str,
}

/// A response of the store cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The response does not have the expected format.
    #[error("malformed answer of the store: {0}")]
    Malformed(String),
}

/// Translates between a platform and the gateway. Implementations make no decisions.
pub trait PlatformAdapter {
    /// Header names of the platform.
    fn headers(&self) -> HeaderNames;

    /// Path of the platform's readiness check: whether the daemon accepts connections.
    fn ready_path(&self) -> &'static str;

    /// Path and query of the call that lists what the operator has written: the release and
    /// the evacuated availability zones.
    fn operator_path(&self, after: Option<&str>, stale: bool) -> String;

    /// Path and query of the call that lists the backend servers.
    fn backends_path(&self, after: Option<&str>, stale: bool) -> String;

    /// Path and query of the call that waits for changes.
    fn watch_path(&self, after: Position, wait: Millis) -> String;

    /// Decodes the response to [`PlatformAdapter::operator_path`] or
    /// [`PlatformAdapter::backends_path`]. `era` is the era of the store that the response
    /// belongs to.
    ///
    /// # Errors
    ///
    /// The response is malformed.
    fn decode_page(&self, era: Era, body: &[u8]) -> Result<Page, StoreError>;

    /// Decodes the response to [`PlatformAdapter::watch_path`]. `era` is the era of the store
    /// that the response belongs to.
    ///
    /// # Errors
    ///
    /// The response is malformed.
    fn decode_watch(&self, era: Era, body: &[u8]) -> Result<WatchResult, StoreError>;
}
