//! The settings of one daemon process.

use std::{
    fmt, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    str::FromStr,
};

use jasminepond_types::{InstanceId, RegionId, ZoneId};

use crate::{LogFormat, LogLevel, Mistake, settings_read};

/// Minimum length of a peer key in bytes, equal to that of the derived MAC key.
const MIN_PEER_KEY_BYTES: usize = 32;

/// Context string for key derivation. Separates the derived keys from any other
/// use of a peer key.
const PEER_KEY_CONTEXT: &str = "jasminepond 2026-12 peer key v1";

/// A key that daemons share to authenticate each other. `Debug` does not show
/// the key.
///
/// ```
/// use jasminepond_config::PeerKey;
///
/// let key: PeerKey = "5a".repeat(32).parse().unwrap();
/// assert_eq!(format!("{key:?}"), "PeerKey(..)");
/// assert!("5a".repeat(31).parse::<PeerKey>().is_err());
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerKey([u8; 32]);

impl PeerKey {
    /// The key for a BLAKE3 MAC, derived from the key in the settings.
    pub const fn mac_key(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// The string is not a peer key. The message does not contain the string.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ParsePeerKeyError {
    /// The string is not hex.
    #[error("expected an even number of hex digits")]
    NotHex,
    /// The key is too short.
    #[error("{0} bytes, at least {MIN_PEER_KEY_BYTES} are needed")]
    TooShort(usize),
}

impl FromStr for PeerKey {
    type Err = ParsePeerKeyError;

    fn from_str(text: &str) -> Result<Self, ParsePeerKeyError> {
        let bytes = data_encoding::HEXLOWER_PERMISSIVE
            .decode(text.as_bytes())
            .map_err(|_| ParsePeerKeyError::NotHex)?;
        if bytes.len() < MIN_PEER_KEY_BYTES {
            return Err(ParsePeerKeyError::TooShort(bytes.len()));
        }
        Ok(Self(blake3::derive_key(PEER_KEY_CONTEXT, &bytes)))
    }
}

/// The settings of one daemon process, read from its own JSON file.
///
/// The default listens on loopback ports chosen by the operating system and has
/// neither platform addresses nor peer keys. It is a base for tests.
///
/// ```
/// use jasminepond_config::{Log, LogLevel, Settings};
///
/// let log = Log { level: LogLevel::Debug, ..Log::default() };
/// let settings = Settings { instance: "entry-1".parse().unwrap(), log, ..Settings::default() };
/// assert_eq!(settings.peers.port(), 0);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The instance that the process runs on.
    pub instance: InstanceId,
    /// The availability zone of the instance.
    pub zone: ZoneId,
    /// The region of the zone.
    pub region: RegionId,
    /// Listen address for callers, TCP.
    pub callers: SocketAddr,
    /// Listen address for peer links, TCP.
    pub peers: SocketAddr,
    /// Address for membership datagrams, UDP.
    pub membership: SocketAddr,
    /// Listen address for operators, TCP.
    pub operators: SocketAddr,
    /// Addresses advertised to peers instead of the listen addresses.
    pub advertise: Advertise,
    /// Addresses of the configuration service and the instance list.
    pub platform: Vec<SocketAddr>,
    /// Keys shared by all daemons: the first is used to sign, all to verify.
    pub peer_keys: Vec<PeerKey>,
    /// Logging.
    pub log: Log,
    /// Distribution of the configuration. Part of the settings because it is needed
    /// before a configuration is known.
    pub sync: SyncSettings,
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            instance: "daemon-1".parse().expect("a valid id"),
            zone: "zone-1".parse().expect("a valid id"),
            region: "region-1".parse().expect("a valid id"),
            callers: any_port,
            peers: any_port,
            membership: any_port,
            operators: any_port,
            advertise: Advertise::default(),
            platform: Vec::new(),
            peer_keys: Vec::new(),
            log: Log::default(),
            sync: SyncSettings::default(),
        }
    }
}

impl Settings {
    /// Parses and validates the content of the settings file `name`.
    ///
    /// # Errors
    ///
    /// Every mistake, ordered by path.
    pub fn from_json(name: &str, bytes: &[u8]) -> Result<Self, Vec<Mistake>> {
        settings_read::settings(name, bytes)
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// A file that cannot be read, or every mistake in it.
    pub fn load(path: &Path) -> Result<Self, Vec<Mistake>> {
        let name = path.display().to_string();
        let bytes = fs::read(path).map_err(|e| {
            vec![Mistake::in_file(
                &name,
                format!("the file cannot be read: {e}"),
            )]
        })?;
        Self::from_json(&name, &bytes)
    }

    /// Address that peers connect to: `advertise.peers` if set, else `peers`.
    pub fn advertised_peers(&self) -> SocketAddr {
        self.advertise.peers.unwrap_or(self.peers)
    }

    /// Address that peers send datagrams to: `advertise.membership` if set, else
    /// `membership`.
    pub fn advertised_membership(&self) -> SocketAddr {
        self.advertise.membership.unwrap_or(self.membership)
    }
}

/// Addresses advertised to peers instead of the listen addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Advertise {
    /// Replaces `peers`.
    pub peers: Option<SocketAddr>,
    /// Replaces `membership`.
    pub membership: Option<SocketAddr>,
}

/// Settings of logging.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Log {
    /// Minimum severity of the messages that are written.
    pub level: LogLevel,
    /// Format of the messages.
    pub format: LogFormat,
}

/// Settings of the distribution of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SyncSettings {
    /// Number of daemons per zone that watch the configuration service.
    pub readers_per_zone: u32,
    /// Number of peers that a new revision is announced to.
    pub fanout: u32,
}
