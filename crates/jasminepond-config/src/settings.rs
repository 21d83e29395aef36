//! The settings of one daemon process.

use std::{
    fmt, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    str::FromStr,
};

use jasminepond_types::{InstanceId, RegionId, ZoneId};

use crate::{LogFormat, LogLevel, Mistake, settings_read};

/// Shortest peer key in bytes: as long as the key of the MAC made from it.
const MIN_PEER_KEY_BYTES: usize = 32;

/// Separates the keys made from a peer key from any other use of it.
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
    /// The key for a BLAKE3 MAC, derived from the text of the settings.
    pub const fn mac_key(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// A text is not a peer key. The message does not hold the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ParsePeerKeyError {
    /// The text is not hex.
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

/// The settings of one daemon process, from a JSON file of its own.
///
/// The default listens on loopback ports that the system chooses and has
/// neither platform nor peer keys; it is a base for tests.
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
    /// Listens for callers, TCP.
    pub callers: SocketAddr,
    /// Listens for peer links, TCP.
    pub peers: SocketAddr,
    /// Receives membership datagrams, UDP.
    pub membership: SocketAddr,
    /// Listens for operators, TCP.
    pub operators: SocketAddr,
    /// What peers are told instead of the listen addresses.
    pub advertise: Advertise,
    /// Addresses of the configuration service and the instance list.
    pub platform: Vec<SocketAddr>,
    /// Keys shared by all daemons: the first signs, all verify.
    pub peer_keys: Vec<PeerKey>,
    /// Log messages.
    pub log: Log,
    /// Distribution of the configuration, needed before one is known.
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
    /// Checks the content of the settings file `name`.
    ///
    /// # Errors
    ///
    /// Every mistake, ordered by path.
    pub fn from_json(name: &str, bytes: &[u8]) -> Result<Self, Vec<Mistake>> {
        settings_read::settings(name, bytes)
    }

    /// Reads and checks a settings file.
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

    /// Where peers connect to: `advertise.peers`, else `peers`.
    pub fn advertised_peers(&self) -> SocketAddr {
        self.advertise.peers.unwrap_or(self.peers)
    }

    /// Where peers send datagrams: `advertise.membership`, else `membership`.
    pub fn advertised_membership(&self) -> SocketAddr {
        self.advertise.membership.unwrap_or(self.membership)
    }
}

/// What peers are told instead of the listen addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Advertise {
    /// Instead of `peers`.
    pub peers: Option<SocketAddr>,
    /// Instead of `membership`.
    pub membership: Option<SocketAddr>,
}

/// Log messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Log {
    /// The least severe messages that are written.
    pub level: LogLevel,
    /// How a message is written.
    pub format: LogFormat,
}

/// Distribution of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SyncSettings {
    /// Daemons of a zone that watch the configuration service.
    pub readers_per_zone: u32,
    /// Peers to which a new revision is announced.
    pub fanout: u32,
}
