//! Settings of the protocol and the identity of this daemon.

use std::{net::SocketAddr, time::Duration};

use jasminepond_types::{CpuCapacity, Incarnation, InstanceId, RegionId, ZoneId};

use crate::{ConfigMark, Member, MemberState};

/// Settings of the membership protocol. All daemons should use the same.
///
/// ```
/// use std::time::Duration;
/// use jasminepond_membership::Settings;
///
/// let settings = Settings { indirect_probes: 2, ..Settings::default() };
/// assert_eq!(settings.probe_period, Duration::from_secs(1));
/// // The time to refute a suspicion grows with the logarithm of the size.
/// assert_eq!(settings.suspicion_timeout(7), Duration::from_secs(4));
/// assert_eq!(settings.suspicion_timeout(1_000).as_secs(), 12);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Time between two direct probes of this daemon.
    pub probe_period: Duration,
    /// Time to wait for an answer before members are asked to probe instead.
    pub probe_timeout: Duration,
    /// Members asked to probe on our behalf.
    pub indirect_probes: usize,
    /// Suspicion lasts this many periods times log10 of the number of members.
    pub suspicion_multiplier: u32,
    /// Each change is sent this many times log10 of the number of members.
    pub retransmit_multiplier: u32,
    /// Time between two gossip datagrams while there are changes to spread.
    pub gossip_period: Duration,
    /// Time between two exchanges of digests with a random member.
    pub exchange_period: Duration,
    /// Time from joining to the second exchange. The time between exchanges doubles up
    /// to `exchange_period`: what daemons that start together know of each other
    /// changes for seconds.
    pub first_exchange_period: Duration,
    /// Differing buckets of the view pulled per periodic exchange.
    pub exchange_buckets: usize,
    /// Time between two contacts with a dead member or an unknown seed.
    pub heal_period: Duration,
    /// Time after which dead and departed members leave the view.
    pub forget_after: Duration,
    /// Time for which a forgotten member's last record rejects old gossip.
    pub tombstone_age: Duration,
    /// Forgotten members remembered, oldest dropped first.
    pub max_tombstones: usize,
    /// Time for which a report about a backend server is kept and spread.
    pub report_age: Duration,
    /// Interval at which a daemon spreads its own reports again until they
    /// expire. One round of gossip misses a daemon now and then, and does not
    /// reach the other side of a partition.
    pub report_repeat: Duration,
    /// Reports kept, oldest dropped first.
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
            tombstone_age: Duration::from_secs(24 * 3_600),
            max_tombstones: 20_000,
            report_age: Duration::from_secs(60),
            report_repeat: Duration::from_secs(5),
            max_reports: 1_024,
        }
    }
}

impl Settings {
    /// Time that a suspected member has to refute the suspicion.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        let scale = log10(members);
        (self.probe_period * self.suspicion_multiplier).mul_f64(scale)
    }

    /// Number of times that one daemon sends one change.
    pub(crate) fn transmissions(&self, members: usize) -> u32 {
        // At most a few thousand members, so the result is small and positive.
        self.retransmit_multiplier * log10(members).ceil() as u32
    }
}

/// Logarithm of the number of members, at least 1.
fn log10(members: usize) -> f64 {
    (members.max(1) as f64).log10().max(1.0)
}

/// Identity of this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Me {
    /// The instance on which this daemon runs.
    pub instance: InstanceId,
    /// This run of the daemon, higher than that of every earlier run.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// What it has of processors.
    pub processor: CpuCapacity,
    /// Where it accepts peer links.
    pub peer_address: SocketAddr,
    /// Where it receives membership datagrams.
    pub membership_address: SocketAddr,
}

impl Me {
    pub(crate) fn member(self) -> Member {
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
            config: ConfigMark::default(),
        }
    }
}
