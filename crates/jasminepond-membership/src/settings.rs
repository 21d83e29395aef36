//! Protocol settings and the local daemon's own properties.

use std::{net::SocketAddr, time::Duration};

use jasminepond_types::{CpuCapacity, Incarnation, InstanceId, RegionId, ZoneId};

use crate::{ConfigVersion, Member, MemberState};

/// Settings of the membership protocol. All daemons should use the same values.
///
/// ```
/// use std::time::Duration;
/// use jasminepond_membership::Settings;
///
/// let settings = Settings { indirect_probes: 2, ..Settings::default() };
/// assert_eq!(settings.probe_period, Duration::from_secs(1));
/// // The suspicion timeout grows with the logarithm of the number of members.
/// assert_eq!(settings.suspicion_timeout(7), Duration::from_secs(4));
/// assert_eq!(settings.suspicion_timeout(1_000).as_secs(), 12);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Interval between direct probes sent by this daemon.
    pub probe_period: Duration,
    /// Time to wait for an ack before other members are asked to probe.
    pub probe_timeout: Duration,
    /// Number of members asked to probe on behalf of this daemon.
    pub indirect_probes: usize,
    /// The suspicion timeout is this many probe periods times log10 of the
    /// number of members.
    pub suspicion_multiplier: u32,
    /// Each change is sent this many times log10 of the number of members,
    /// rounded up.
    pub retransmit_multiplier: u32,
    /// Interval between gossip datagrams while there are changes to disseminate.
    pub gossip_period: Duration,
    /// Interval between digest exchanges with a random member.
    pub exchange_period: Duration,
    /// Interval between the first exchanges after joining. Later ones double it
    /// up to `exchange_period`. When many daemons start together, their views
    /// keep changing for seconds.
    pub first_exchange_period: Duration,
    /// Maximum number of differing buckets pulled per periodic exchange.
    pub exchange_buckets: usize,
    /// Interval between attempts to reach a dead member or a seed address
    /// without a known member.
    pub heal_period: Duration,
    /// Time after which dead and departed members are removed from the view.
    pub forget_after: Duration,
    /// Time for which the tombstone of a removed member rejects stale gossip.
    pub tombstone_ttl: Duration,
    /// Maximum number of tombstones; the oldest are evicted first.
    pub max_tombstones: usize,
    /// Time for which a report about a backend server is kept and disseminated.
    pub report_ttl: Duration,
    /// Interval at which a daemon resends its own reports until they expire. A
    /// single round of gossip occasionally misses a daemon and does not cross a
    /// partition.
    pub report_interval: Duration,
    /// Maximum number of reports; the oldest are evicted first.
    pub max_reports: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_multiplier: 4,
            retransmit_multiplier: 4,
            gossip_period: Duration::from_millis(250),
            exchange_period: Duration::from_secs(10),
            first_exchange_period: Duration::from_millis(100),
            exchange_buckets: 4,
            heal_period: Duration::from_secs(3),
            forget_after: Duration::from_secs(600),
            tombstone_ttl: Duration::from_secs(24 * 3_600),
            max_tombstones: 20_000,
            report_ttl: Duration::from_secs(60),
            report_interval: Duration::from_secs(5),
            max_reports: 1_024,
        }
    }
}

impl Settings {
    /// Time that a suspected member has to refute the suspicion, with the given
    /// number of members.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        let scale = log10(members);
        (self.probe_period * self.suspicion_multiplier).mul_f64(scale)
    }

    /// Number of times that this daemon sends each change.
    pub(crate) fn retransmit_limit(&self, members: usize) -> u32 {
        // With at most a few thousand members the result is small and positive.
        self.retransmit_multiplier * log10(members).ceil() as u32
    }
}

/// Base-10 logarithm of the number of members, at least 1.
fn log10(members: usize) -> f64 {
    (members.max(1) as f64).log10().max(1.0)
}

/// Properties of the local daemon that its member record is built from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalMember {
    /// The instance on which this daemon runs.
    pub instance: InstanceId,
    /// Incarnation of this run, higher than that of every earlier run.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Its processor capacity.
    pub processor: CpuCapacity,
    /// Address on which it accepts peer links.
    pub peer_address: SocketAddr,
    /// Address on which it receives membership datagrams.
    pub membership_address: SocketAddr,
}

impl LocalMember {
    pub(crate) fn into_member(self) -> Member {
        Member {
            instance: self.instance,
            incarnation: self.incarnation,
            refutation: 0,
            state: MemberState::Alive,
            zone: self.zone,
            region: self.region,
            processor: self.processor,
            peer_address: self.peer_address,
            membership_address: self.membership_address,
            config: ConfigVersion::default(),
            reaches_servers: true,
        }
    }
}
