//! Client of the platform: the configuration service and the instance list.
//!
//! Both are read-only. The service has one rate limit for all readers, so callers of
//! this crate decide who reads and how often, and nothing is retried here. The protocol
//! is described in `docs/design.md`, section 4.4.

mod http;

use std::{net::SocketAddr, time::Duration};

use futures_util::future::LocalBoxFuture;
use jasminepond_types::{Revision, ZoneId};
use serde::Deserialize;

pub use http::{HttpPlatform, HttpReader, HttpResponse, Options};

/// Maximum size of a file in bytes; the configuration service has the same limit.
pub const MAX_FILE_BYTES: usize = 1 << 20;

/// One file of the configuration folder as the service lists it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct FileEntry {
    /// File name. Files are merged in the order of their names.
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
    /// Files of the folder.
    pub files: Vec<FileEntry>,
}

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It runs a daemon of this tier.
    Daemon,
    /// It is a backend server.
    Backend,
}

/// Published state of an instance, which may be outdated.
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
    /// Instance name of the daemon, or name of the backend server.
    pub id: String,
    /// Role.
    pub role: Role,
    /// Availability zone.
    pub zone: ZoneId,
    /// Membership address of a daemon, HTTP address of a backend server.
    pub address: SocketAddr,
    /// Published state.
    pub state: ListedState,
}

/// Why a read from the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The rate limit of the service is reached.
    #[error("the service refused the read, its limit is reached")]
    RateLimited,
    /// No usable response in time.
    #[error("the service cannot be reached: {0}")]
    Unreachable(String),
    /// The response violates the protocol.
    #[error("the service sent a malformed response: {0}")]
    Malformed(String),
    /// The response is larger than the client accepts.
    #[error("the response of the service has more than {limit} bytes")]
    TooLarge {
        /// Largest accepted size of a body in bytes.
        limit: usize,
    },
    /// There is no file with the requested name and digest.
    #[error("the file is not there with this digest")]
    NotFound,
}

/// Reads from the platform. Used as a trait object, so that tests can replace the service.
pub trait Platform {
    /// Reads the current configuration folder.
    fn tree(&self) -> LocalBoxFuture<'_, Result<Tree, PlatformError>>;

    /// Waits until the revision of the folder is above `after` and returns the folder, or
    /// `None` after `wait`.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Option<Tree>, PlatformError>>;

    /// Reads the content of one file.
    fn file(
        &self,
        name: String,
        digest: String,
    ) -> LocalBoxFuture<'_, Result<Vec<u8>, PlatformError>>;

    /// Reads the instance list.
    fn instances(&self) -> LocalBoxFuture<'_, Result<Vec<Instance>, PlatformError>>;
}
