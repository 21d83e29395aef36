//! Settings of the distribution of the configuration.

use std::time::Duration;

/// Settings of the distribution of the configuration. All daemons should use the
/// same values.
///
/// ```
/// use jasminepond_sync::Settings;
///
/// let settings = Settings { readers_per_zone: 1, ..Settings::default() };
/// assert_eq!(settings.fanout, 4);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of daemons per zone that watch the service.
    pub readers_per_zone: usize,
    /// Number of peers that an announcement or a heartbeat is sent to.
    pub fanout: usize,
    /// Interval between heartbeats of a reader.
    pub heartbeat_period: Duration,
    /// Time without a heartbeat from any reader after which a follower may read.
    pub reader_timeout: Duration,
    /// A follower waits for a random time of up to this much per daemon of its
    /// zone before it becomes a substitute, so that the heartbeat of the first
    /// substitute reaches most of the others before they start.
    pub substitute_delay: Duration,
    /// Time after which an announcement is repeated once, to other peers. With a
    /// fanout of four, one round of announcements misses about 2% of the daemons.
    pub reannounce_after: Duration,
    /// Mean interval between state exchanges with a random peer.
    pub exchange_period: Duration,
    /// Mean interval between state exchanges while no configuration is in effect.
    pub bootstrap_period: Duration,
    /// Time without a response after which a request is sent to another peer.
    /// Longer than a round trip between regions.
    pub request_timeout: Duration,
    /// Number of daemons of other zones that announcements are sent to. They are
    /// kept for a while, so that a daemon needs few links to other zones.
    pub far_peers: usize,
    /// Interval at which one of the far peers is replaced.
    pub far_peer_period: Duration,
    /// Target for the reads per second of all daemons together, below the limit
    /// of the service.
    pub read_budget: f64,
    /// Delay after the first failure of the service, doubled with each further one.
    pub backoff_min: Duration,
    /// Maximum delay after a failure of the service.
    pub backoff_max: Duration,
    /// Average rate of file content sent to peers, in bytes per second.
    pub send_rate: f64,
    /// Bytes of file content that may be sent at once after an idle period.
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
