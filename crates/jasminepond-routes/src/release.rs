//! One version of the routes and services.

use std::{
    borrow::Borrow, collections::HashMap, convert::Infallible, fmt, str::FromStr, sync::Arc,
    time::Duration,
};

use jasminepond_types::Millis;
use serde::{Deserialize, Serialize};

/// Version of a release. A higher version replaces a lower one.
///
/// ```
/// use jasminepond_routes::ReleaseVersion;
///
/// let version: ReleaseVersion = "7".parse().unwrap();
/// assert!(version > ReleaseVersion(6));
/// assert_eq!(version.to_string(), "7");
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ReleaseVersion(pub u64);

impl fmt::Display for ReleaseVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ReleaseVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Name of a service: a set of backend servers that answer alike.
///
/// ```
/// use jasminepond_routes::ServiceName;
///
/// let name: ServiceName = "orders".parse().unwrap();
/// assert_eq!(name.as_str(), "orders");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceName(Arc<str>);

impl ServiceName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ServiceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for ServiceName {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self(text.into()))
    }
}

impl From<&str> for ServiceName {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl Borrow<str> for ServiceName {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Repeat {
    /// It may be sent again while an earlier copy may have run.
    Allowed,
    /// It runs once at most: it is sent again only if the earlier copy has
    /// certainly not run.
    #[default]
    Never,
}

/// A part of a split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight relative to the other parts.
    pub weight: u32,
}

/// A search over several shards.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Search {
    /// One service for each shard.
    pub shards: Vec<ServiceName>,
    /// Records in the answer.
    pub top_k: usize,
    /// Least share of the shards in an answer, from 0 to 1.
    pub min_coverage: f64,
}

/// Where the requests of a route go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// To one service.
    Service(ServiceName),
    /// To one of several services, by weight.
    Split(Vec<WeightedService>),
    /// To one backend server of each shard.
    Search(Search),
}

/// A route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in a release.
    pub name: Arc<str>,
    /// Host that requests state.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// Where requests go.
    pub target: Target,
    /// Whether requests may run more than once.
    pub repeat: Repeat,
    /// Longest time that a request may be kept waiting.
    pub timeout: Millis,
    /// Time within which an answer has its full value for the caller.
    pub objective: Millis,
    /// Most backend servers of one service on which a request may run.
    pub max_attempts: u32,
    /// Rank; 0 is the highest.
    pub priority: u32,
}

impl Default for Route {
    fn default() -> Self {
        Self {
            name: "route".into(),
            host: "localhost".to_owned(),
            prefix: "/".to_owned(),
            target: Target::Service("service".into()),
            repeat: Repeat::Never,
            timeout: Millis(1_000),
            objective: Millis(100),
            max_attempts: 2,
            priority: 0,
        }
    }
}

/// What a release says of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Connections that one backend server accepts from all callers together.
    pub max_connections: u32,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of request line and headers.
    pub max_header_bytes: usize,
    /// Bytes of a request body.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a request to the last of its headers.
    pub header_timeout: Duration,
    /// Longest time between two requests on a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // The limits of the product's callers' interface (docs/CONFIGURATION.md).
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// One version of routes, services and limits, read whole.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Release {
    /// Its version.
    pub version: ReleaseVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
}
