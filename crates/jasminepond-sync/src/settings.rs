//! Settings of the spreading of the configuration.

use std::time::Duration;

/// Settings of the spreading of the configuration. All daemons should use the
/// same.
///
/// ```
/// use jasminepond_sync::Settings;
///
/// let settings = Settings { readers_per_zone: 1, ..Settings::default() };
/// assert_eq!(settings.fanout, 4);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Daemons of each zone that watch the service.
    pub readers_per_zone: usize,
    /// Peers that a daemon tells what it learned.
    pub fanout: usize,
    /// Time between two heartbeats of a reader.
    pub heartbeat_period: Duration,
    /// Time without any reader's heartbeat after which a follower may read.
    pub reader_timeout: Duration,
    /// A follower waits a random time of up to this much per daemon of its
    /// zone before it reads, so that the first one's heartbeat reaches the
    /// others before most of them start.
    pub substitute_delay: Duration,
    /// Time after which an announcement is repeated once to other peers. With
    /// four peers each, one round of announcements misses about 2% of the
    /// daemons.
    pub reannounce_after: Duration,
    /// Time between two questions to a random peer for what it has.
    pub exchange_period: Duration,
    /// Time between two questions while no configuration is in effect.
    pub bootstrap_period: Duration,
    /// Time to wait for a peer's answer before another is asked. Longer than
    /// a round trip between regions.
    pub request_timeout: Duration,
    /// Daemons of other zones that announcements go to. They are kept for a
    /// while, so that a daemon needs few links to other zones.
    pub far_peers: usize,
    /// Time after which one of the far peers is replaced.
    pub far_peer_period: Duration,
    /// Reads per second that all daemons together aim at, below the limit of
    /// the service.
    pub read_budget: f64,
    /// Wait after the first failure of the service, doubled with each further.
    pub backoff_min: Duration,
    /// Longest wait after a failure of the service.
    pub backoff_max: Duration,
    /// Average bytes per second of files sent to peers.
    pub send_rate: f64,
    /// Bytes of files that may be sent at once after a quiet time.
    pub send_burst: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            readers_per_zone: 2,
            fanout: 4,
            heartbeat_period: Duration::from_secs(1),
            reader_timeout: Duration::from_secs(5),
            substitute_delay: Duration::from_millis(200),
            reannounce_after: Duration::from_millis(500),
            exchange_period: Duration::from_secs(5),
            bootstrap_period: Duration::from_millis(500),
            request_timeout: Duration::from_millis(250),
            far_peers: 4,
            far_peer_period: Duration::from_secs(60),
            read_budget: 1_000.0,
            backoff_min: Duration::from_secs(1),
            backoff_max: Duration::from_secs(60),
            send_rate: 20_000.0,
            send_burst: 8.0 * 1_024.0 * 1_024.0,
        }
    }
}
