//! Specification and fault modes of a server.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer, Serialize};

/// The configuration file.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ServersFile {
    /// The servers.
    pub servers: Vec<ServerSpec>,
}

/// One backend server. Every field but `id` has a default.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSpec {
    /// Server id.
    pub id: String,
    /// Listening address; port 0 lets the system choose. Default `127.0.0.1:0`.
    #[serde(default = "any_port")]
    pub address: SocketAddr,
    /// Group of the server; used only by the load tool.
    #[serde(default)]
    pub group: String,
    /// Availability zone; not used by the stand-in.
    #[serde(default)]
    pub zone: String,
    /// Shards held; numbers are converted to text. Empty means all shards.
    #[serde(default, deserialize_with = "texts")]
    pub shards: Vec<String>,
    /// Maximum number of requests that run concurrently. Default 2.
    #[serde(default = "two")]
    pub slots: usize,
    /// Maximum number of open connections. Default 25.
    #[serde(default = "connections")]
    pub connection_limit: usize,
    /// Delay before the first response of a connection, in ms. Default 0.
    #[serde(default)]
    pub connect_cost_ms: u64,
    /// Index versions held. Default `[1]`.
    #[serde(default = "first_version")]
    pub versions: Vec<u64>,
    /// Distribution of the service time.
    #[serde(default)]
    pub service_time: ServiceTime,
    /// Seed of the service times. Default 0, mixed with the id.
    #[serde(default)]
    pub seed: u64,
    /// Time after a start or a return from `down` in which requests are refused, in ms.
    #[serde(default)]
    pub cold_start_ms: u64,
    /// Maximum number of queued requests; further ones are shed. Default 2.
    #[serde(default = "two")]
    pub queue_limit: usize,
}

/// Lognormal service time; a fraction of the requests is slower by a factor.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// Median in ms.
    pub median_ms: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Fraction of slow requests, 0 to 1.
    pub slow_share: f64,
    /// Factor on the service time of a slow request.
    pub slow_factor: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            median_ms: 5.0,
            sigma: 0.3,
            slow_share: 0.0,
            slow_factor: 10.0,
        }
    }
}

/// Fault modes, which can be changed while the server runs.
#[derive(Debug, Clone, Serialize)]
pub struct Modes {
    /// Factor on every service time.
    pub slow_factor: f64,
    /// Connections that were open when this was set stop responding.
    pub silent: bool,
    /// Every request immediately gets a 500 response.
    pub fail_fast: bool,
    /// New requests are refused; running ones finish.
    pub draining: bool,
    /// The listener is closed and all connections are cut.
    pub down: bool,
    /// Where to cut connections.
    pub drop_after: Option<DropAfter>,
}

impl Default for Modes {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            silent: false,
            fail_fast: false,
            draining: false,
            down: false,
            drop_after: None,
        }
    }
}

/// Cuts the connection of matching requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DropAfter {
    /// Where the connection is cut.
    pub stage: Stage,
    /// Path of matching requests; absent means any.
    #[serde(default)]
    pub path: Option<String>,
    /// Number of cuts after which the mode ends; absent means unlimited.
    #[serde(default)]
    pub count: Option<u64>,
}

/// Stage of a request at which its connection is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Open connections are cut when the mode is set, new ones when accepted.
    /// The path is ignored.
    BeforeRequest,
    /// After the request's headers, before its body is read. Nothing runs.
    WithinRequest,
    /// After the whole request is read. Nothing runs.
    AfterRequest,
    /// After the request has run, before any byte of the response.
    BeforeResponse,
    /// After the request has run and about half of the response body is sent.
    WithinResponse,
}

/// Change of modes; absent fields stay as they are.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Patch {
    /// See [`Modes::slow_factor`].
    pub slow_factor: Option<f64>,
    /// See [`Modes::silent`].
    pub silent: Option<bool>,
    /// See [`Modes::fail_fast`].
    pub fail_fast: Option<bool>,
    /// See [`Modes::draining`].
    pub draining: Option<bool>,
    /// See [`Modes::down`]. A server that comes up again starts cold.
    pub down: Option<bool>,
    /// See [`Modes::drop_after`]; `null` ends the mode.
    #[serde(deserialize_with = "present")]
    pub drop_after: Option<Option<DropAfter>>,
    /// See [`ServerSpec::versions`].
    pub versions: Option<Vec<u64>>,
    /// See [`ServerSpec::shards`].
    #[serde(deserialize_with = "some_texts")]
    pub shards: Option<Vec<String>>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn two() -> usize {
    2
}

fn connections() -> usize {
    25
}

fn first_version() -> Vec<u64> {
    vec![1]
}

fn texts<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Text {
        Text(String),
        Number(u64),
    }
    let all = Vec::<Text>::deserialize(deserializer)?;
    let text = |t| match t {
        Text::Text(t) => t,
        Text::Number(n) => n.to_string(),
    };
    Ok(all.into_iter().map(text).collect())
}

fn some_texts<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Vec<String>>, D::Error> {
    texts(deserializer).map(Some)
}

/// Distinguishes `null` from an absent field.
fn present<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    deserializer: D,
) -> Result<Option<Option<T>>, D::Error> {
    Option::<T>::deserialize(deserializer).map(Some)
}
