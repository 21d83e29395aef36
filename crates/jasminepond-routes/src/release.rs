//! A version of the routes, services and limits.

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

/// Name of a service: a set of interchangeable backend servers.
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
    /// Returns the name as text.
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

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Repeat {
    /// It may be sent again even if an earlier attempt may have been executed.
    Allowed,
    /// It is executed at most once: it is sent again only if the earlier attempt is known
    /// not to have been executed.
    #[default]
    Never,
}

/// A service with its weight in a split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the other services of the split.
    pub weight: u32,
}

/// A search over several shards.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Search {
    /// One service for each shard.
    pub shards: Vec<ServiceName>,
    /// Maximum number of records in the response.
    pub top_k: usize,
    /// Minimum share of the shards that a response must cover, from 0 to 1.
    pub min_coverage: f64,
}

/// Where the requests of a route are sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// One service.
    Service(ServiceName),
    /// One of several services, chosen by weight.
    Split(Vec<WeightedService>),
    /// One backend server of each shard.
    Search(Search),
}

/// A route from a host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique within a release.
    pub name: Arc<str>,
    /// Value of the host header, without the port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Where requests are sent.
    pub target: Target,
    /// Whether requests may be executed more than once.
    pub repeat: Repeat,
    /// Longest time from the arrival of a request to its response.
    pub timeout: Millis,
    /// Response time within which a response has its full value for the caller.
    pub objective: Millis,
    /// Maximum number of backend servers of one service that may execute a request.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
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

/// Settings of a service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Maximum number of connections that one backend server accepts, over all clients.
    pub max_connections: u32,
    /// Time for which a backend server is cold after its start.
    #[serde(default)]
    pub warm_up: Millis,
    /// Requests per second that a cold backend server handles; 0 means no limit.
    #[serde(default)]
    pub warm_up_per_second: f64,
    /// Path of health requests.
    #[serde(default)]
    pub health_path: Option<Arc<str>>,
}

/// Limits for connections and requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of the request line and headers in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a request to the end of its headers.
    pub header_timeout: Duration,
    /// Longest time between two requests on a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // Limits of the callers' interface, see docs/CONFIGURATION.md.
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// One complete version of the routes, services and limits.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Release {
    /// Version.
    pub version: ReleaseVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceSpec>,
    /// Limits for callers.
    pub limits: CallerLimits,
}
