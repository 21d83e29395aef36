//! Member records and their merge rule.

use std::net::SocketAddr;

use jasminepond_types::{CpuCapacity, Incarnation, InstanceId, RegionId, Revision, ZoneId};
use serde::{Deserialize, Serialize};

/// State of a member, in ascending precedence within one incarnation and
/// refutation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum MemberState {
    /// It responds to probes.
    Alive,
    /// It missed a probe and may still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced its departure. This is final for its incarnation, so that a
    /// daemon that left and stopped responding does not count as crashed.
    Leaving,
}

/// The number is not the code of a [`MemberState`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{0} is not a member state")]
pub struct ParseMemberStateError(u8);

impl From<MemberState> for u8 {
    fn from(state: MemberState) -> u8 {
        match state {
            MemberState::Alive => 0,
            MemberState::Suspect => 1,
            MemberState::Dead => 2,
            MemberState::Leaving => 3,
        }
    }
}

impl TryFrom<u8> for MemberState {
    type Error = ParseMemberStateError;

    fn try_from(n: u8) -> Result<Self, ParseMemberStateError> {
        match n {
            0 => Ok(Self::Alive),
            1 => Ok(Self::Suspect),
            2 => Ok(Self::Dead),
            3 => Ok(Self::Leaving),
            _ => Err(ParseMemberStateError(n)),
        }
    }
}

/// Version of the configuration that a daemon has in effect.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ConfigVersion(
    /// Its revision, zero before the first configuration.
    pub Revision,
    /// The first bytes of its digest, enough to detect two configurations with
    /// the same revision.
    pub u32,
);

/// Precedence of a record over others of the same instance.
///
/// A higher incarnation always wins. Within one incarnation a departure wins,
/// then the higher refutation, then the more severe state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    incarnation: Incarnation,
    leaving: bool,
    refutation: u32,
    state: MemberState,
}

impl Rank {
    /// The incarnation of the record.
    pub fn incarnation(self) -> Incarnation {
        self.incarnation
    }

    /// The refutation counter of the record.
    pub fn refutation(self) -> u32 {
        self.refutation
    }
}

/// Record of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The instance on which the daemon runs.
    pub instance: InstanceId,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Incremented by the member itself to refute a suspicion. It is separate
    /// from the incarnation because request keys and peer links are bound to the
    /// incarnation and must survive a refutation.
    pub refutation: u32,
    /// Its state.
    pub state: MemberState,
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
    /// The configuration version last known to be in effect at this member.
    pub config: ConfigVersion,
    /// Whether it reaches backend servers, as stated by the member itself.
    pub reaches_servers: bool,
}

impl Member {
    /// Precedence over other records of the same instance.
    pub fn rank(&self) -> Rank {
        Rank {
            incarnation: self.incarnation,
            leaving: self.state == MemberState::Leaving,
            refutation: self.refutation,
            state: self.state,
        }
    }

    /// Merges two records of the same instance. The merge is commutative,
    /// associative and idempotent, so views converge regardless of reordering,
    /// loss and duplication of messages.
    ///
    /// Within one incarnation the configuration version never decreases.
    ///
    /// ```
    /// use jasminepond_membership::{Member, MemberState, ConfigVersion};
    /// use jasminepond_types::Incarnation;
    ///
    /// let alive = Member {
    ///     instance: "entry-1".parse().unwrap(),
    ///     incarnation: Incarnation(2),
    ///     refutation: 0,
    ///     state: MemberState::Alive,
    ///     zone: "a".parse().unwrap(),
    ///     region: "r".parse().unwrap(),
    ///     processor: Default::default(),
    ///     peer_address: "127.0.0.1:7000".parse().unwrap(),
    ///     membership_address: "127.0.0.1:7001".parse().unwrap(),
    ///     config: ConfigVersion::default(),
    ///     reaches_servers: true,
    /// };
    /// let old = Member { incarnation: Incarnation(1), state: MemberState::Dead, ..alive.clone() };
    /// assert_eq!(old.merge(&alive), alive);
    /// ```
    pub fn merge(&self, other: &Self) -> Self {
        let newer = std::cmp::max_by(self, other, |a, b| a.order().cmp(&b.order()));
        let config = match self.incarnation == other.incarnation {
            true => self.config.max(other.config),
            false => newer.config,
        };
        Self {
            config,
            ..newer.clone()
        }
    }

    /// Total order used by [`Self::merge`]. The fields after the rank differ only if two
    /// daemons run with the same instance and incarnation, or if an earlier version of the
    /// protocol passed on a record without [`Self::reaches_servers`].
    fn order(&self) -> impl Ord + '_ {
        (
            self.rank(),
            !self.reaches_servers,
            (&self.zone, &self.region, self.processor),
            self.peer_address,
            self.membership_address,
        )
    }

    /// Whether it is alive or suspected, so that it can still be contacted.
    pub fn is_reachable(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Whether it is dead or has departed.
    pub fn is_gone(&self) -> bool {
        matches!(self.state, MemberState::Dead | MemberState::Leaving)
    }
}

impl ConfigVersion {
    /// The version of a configuration with the given revision and digest.
    pub fn new(revision: Revision, digest: &[u8; 32]) -> Self {
        let [a, b, c, d, ..] = *digest;
        Self(revision, u32::from_be_bytes([a, b, c, d]))
    }

    /// The configuration revision.
    pub fn revision(self) -> Revision {
        self.0
    }
}
