//! Client of the platform: the configuration service and the instance list.
//!
//! Both can only be read. The service limits reads over all readers, so callers
//! of this crate decide who reads and how often; nothing is retried here. The
//! protocol is described in `docs/design.md`, section 4.4.

mod http;

use std::{net::SocketAddr, time::Duration};

use futures_util::future::LocalBoxFuture;
use jasminepond_types::{Revision, ZoneId};
use serde::Deserialize;

pub use http::{HttpPlatform, HttpReader, HttpResponse, Options};

/// Longest accepted value in bytes; the configuration service has the same limit.
pub const MAX_FILE_BYTES: usize = 1 << 20;

/// One file of the configuration folder as the service lists it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct FileEntry {
    /// File name, which decides the order of merging.
    pub name: String,
    /// BLAKE3 digest of the content in lower-case hex.
    pub digest: String,
    /// Size in bytes.
    pub size: u64,
}

/// The configuration folder at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Tree {
    /// Revision of the folder.
    pub revision: Revision,
    /// Its files.
    pub files: Vec<FileEntry>,
}

/// What an instance in the list is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It runs a daemon of this tier.
    Daemon,
    /// It is a backend server.
    Backend,
}

/// Published state of an instance. It lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// In service.
    Live,
    /// About to stop.
    Leaving,
}

/// One entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// Name of the daemon's instance or of the backend server.
    pub id: String,
    /// What it is.
    pub role: Role,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Membership address of a daemon, HTTP address of a backend server.
    pub address: SocketAddr,
    /// Published state.
    pub state: ListedState,
}

/// A read from the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The service refuses reads above its limit.
    #[error("the service refused the read, its limit is reached")]
    RateLimited,
    /// No usable response in time.
    #[error("the service cannot be reached: {0}")]
    Unreachable(String),
    /// The response is not what the protocol asks for.
    #[error("the service sent a malformed response: {0}")]
    Malformed(String),
    /// The file is not there with the asked digest.
    #[error("the file is not there with this digest")]
    NotFound,
}

/// Reads from the platform.
///
/// A trait object, so that tests can stand in for the service.
pub trait Platform {
    /// The configuration folder as it is now.
    fn tree(&self) -> LocalBoxFuture<'_, Result<Tree, PlatformError>>;

    /// The folder once its revision is above `after`, or `None` after `wait`.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Option<Tree>, PlatformError>>;

    /// The content of one file.
    fn file(
        &self,
        name: String,
        digest: String,
    ) -> LocalBoxFuture<'_, Result<Vec<u8>, PlatformError>>;

    /// The instance list.
    fn instances(&self) -> LocalBoxFuture<'_, Result<Vec<Instance>, PlatformError>>;
}
