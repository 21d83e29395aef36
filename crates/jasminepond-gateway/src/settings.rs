//! Settings of a gateway process, from a JSON file.

use std::{fs, io, net::SocketAddr, path::Path, time::Duration};

use jasminepond_config::LogLevel;
use jasminepond_types::{CpuCapacity, InstanceId, Millis, RegionId, ZoneId};
use serde::Deserialize;

use crate::backlog::DEFAULT_MEMORY_MB;

/// Sizes of the memory of a process, from less than the smallest instance to more than the
/// largest machine.
const MEMORY_MB: std::ops::RangeInclusive<u64> = 32..=16_000_000;

/// Limits on repeated sends, over all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RepeatBounds {
    /// Repeated sends per request of a service.
    pub share: f64,
    /// Repeated sends per service beyond the share, in any one window.
    pub slack: f64,
    /// Length of the window in seconds.
    pub window_s: f64,
}

impl Default for RepeatBounds {
    fn default() -> Self {
        let settings = jasminepond_forward::RepeatSettings::default();
        Self {
            share: settings.share,
            slack: settings.slack,
            window_s: settings.window.as_secs_f64(),
        }
    }
}

/// Connection to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Timeout of a read, and of a watch in addition to its requested wait.
    #[serde(default = "default_store_timeout")]
    pub timeout_ms: Millis,
    /// Interval at which backend servers write their entries. It determines when a store
    /// that was restored from a backup is considered up to date.
    #[serde(default = "default_heartbeat")]
    pub heartbeat_ms: Millis,
}

fn default_heartbeat() -> Millis {
    Millis(1_200)
}

/// The store responds within milliseconds. Together with the wait of a watch, this stays
/// below the three seconds within which a release must take effect.
fn default_store_timeout() -> Millis {
    Millis(500)
}

/// Settings of a gateway process.
///
/// ```
/// use jasminepond_gateway::Settings;
///
/// let text = r#"{
///     "instance": "entry-1", "zone": "a",
///     "callers": "127.0.0.1:8080", "readiness": "127.0.0.1:8081",
///     "operators": "127.0.0.1:8082", "membership": "127.0.0.1:8083", "region": "r",
///     "store": {"address": "127.0.0.1:8090"}
/// }"#;
/// let settings = Settings::from_json(text.as_bytes()).unwrap();
/// assert_eq!(settings.drain_ms.0, 5_400);
/// assert!(Settings::from_json(b"{}").is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Instance that the process runs on.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Cores that the process may use. Instances with more cores handle more shards of
    /// searches that are divided among daemons.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Memory that the process may use, in megabytes. The limits on what is held for callers
    /// and servers that read slowly follow from it.
    #[serde(default = "default_memory")]
    pub memory_mb: u64,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for the platform's readiness check.
    pub readiness: SocketAddr,
    /// Address of the listener for operators: metrics and status.
    pub operators: SocketAddr,
    /// Connection to the store.
    pub store: StoreSettings,
    /// Limits on repeated sends.
    #[serde(default)]
    pub repeats: RepeatBounds,
    /// Time from the signal to stop after which the process ends even with requests left.
    #[serde(default = "default_drain")]
    pub drain_ms: Millis,
    /// Time from the signal to stop until callers' connections are closed. The platform
    /// takes a daemon out of rotation after two failed readiness checks, one second apart.
    #[serde(default = "default_announce")]
    pub announce_ms: Millis,
    /// Time after which a backend server that has announced its stop must not receive
    /// requests.
    #[serde(default = "default_server_drain")]
    pub server_drain_ms: Millis,
    /// Requests that all daemons together may send to a cold server in any second, as a
    /// multiple of what its service specifies.
    #[serde(default = "default_warmup_excess")]
    pub warmup_excess: f64,
    /// Requests in any second beyond that.
    #[serde(default = "default_warmup_slack")]
    pub warmup_slack: f64,
    /// Region of the availability zone.
    pub region: RegionId,
    /// Address for membership datagrams (UDP) and for requests of other daemons (TCP). All
    /// daemons use the same port.
    pub membership: SocketAddr,
    /// Daemons to contact first. Only the IP addresses are used; the port is that of
    /// `membership`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether daemons spread their calls evenly over servers of equal speed.
    #[serde(default)]
    pub even_load: bool,
    /// Minimum level of log lines.
    #[serde(default)]
    pub log_level: LogLevel,
}

fn default_memory() -> u64 {
    DEFAULT_MEMORY_MB
}

fn default_cores() -> f64 {
    CpuCapacity::default().cores()
}

fn default_drain() -> Millis {
    Millis(5_400)
}

fn default_server_drain() -> Millis {
    Millis::from(jasminepond_forward::ForwardSettings::default().drain_bound)
}

fn default_warmup_excess() -> f64 {
    jasminepond_forward::ForwardSettings::default().warm_up_excess
}

fn default_warmup_slack() -> f64 {
    jasminepond_forward::ForwardSettings::default().warm_up_slack
}

fn default_announce() -> Millis {
    Millis(2_300)
}

/// The settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("the settings cannot be read: {0}")]
    Read(#[from] io::Error),
    /// The content is not valid JSON or does not have the expected keys and types.
    #[error("the settings are wrong: {0}")]
    Content(#[from] serde_json::Error),
    /// A value is out of range.
    #[error("the settings are wrong: {0}")]
    Value(&'static str),
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or its content is wrong.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::from_json(&fs::read(path)?)
    }

    /// Checks the content of a settings file.
    ///
    /// # Errors
    ///
    /// The content is wrong. The error names the first mistake.
    pub fn from_json(bytes: &[u8]) -> Result<Self, SettingsError> {
        let settings: Self = serde_json::from_slice(bytes)?;
        if settings.announce_ms > settings.drain_ms {
            return Err(SettingsError::Value("announce_ms exceeds drain_ms"));
        }
        if !(0.0..=1.0).contains(&settings.repeats.share) || settings.repeats.slack < 0.0 {
            return Err(SettingsError::Value("repeats: share or slack out of range"));
        }
        if !(0.1..=3_600.0).contains(&settings.repeats.window_s) {
            return Err(SettingsError::Value("repeats: window_s out of range"));
        }
        let bounds = [settings.warmup_excess, settings.warmup_slack];
        if bounds.iter().any(|bound| !(0.0..=1e6).contains(bound)) {
            return Err(SettingsError::Value(
                "warmup_excess or warmup_slack out of range",
            ));
        }
        if CpuCapacity::from_cores(settings.cores).is_err() {
            return Err(SettingsError::Value("cores out of range"));
        }
        if !MEMORY_MB.contains(&settings.memory_mb) {
            return Err(SettingsError::Value("memory_mb out of range"));
        }
        Ok(settings)
    }

    /// Returns [`Settings::cores`], whose range was checked when the settings were read.
    pub fn processor(&self) -> CpuCapacity {
        CpuCapacity::from_cores(self.cores).unwrap_or_default()
    }

    /// Returns [`Settings::drain_ms`] as a duration.
    pub fn drain(&self) -> Duration {
        self.drain_ms.duration()
    }
}
