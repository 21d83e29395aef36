//! The record of one member and how two records merge.

use std::net::SocketAddr;

use jasminepond_types::{CpuCapacity, Incarnation, InstanceId, RegionId, Revision, ZoneId};
use serde::{Deserialize, Serialize};

/// What is believed about a member, in rising precedence within one
/// incarnation and refutation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It missed probes and may still refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It announced its departure. Final for this incarnation: a daemon that
    /// leaves and stops answering has not crashed.
    Leaving,
}

/// The number does not stand for a state.
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

/// The configuration that a daemon has in effect.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ConfigMark(
    /// Its revision, zero before the first.
    pub Revision,
    /// The first bytes of its digest, enough to notice a conflict.
    pub u32,
);

/// Precedence of a record over others of the same instance.
///
/// A higher incarnation always wins. Within one, a departure wins, then the
/// higher refutation, then the more severe state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    incarnation: Incarnation,
    leaving: bool,
    refutation: u32,
    state: MemberState,
}

impl Rank {
    /// The incarnation that the record is about.
    pub fn incarnation(self) -> Incarnation {
        self.incarnation
    }

    /// How often the member has refuted a suspicion.
    pub fn refutation(self) -> u32 {
        self.refutation
    }
}

/// Everything known about one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The instance on which the daemon runs.
    pub instance: InstanceId,
    /// The run of the daemon.
    pub incarnation: Incarnation,
    /// Raised by the member itself to refute a suspicion. It is separate from
    /// the incarnation because request keys and peer links are bound to the
    /// incarnation and must survive a refutation.
    pub refutation: u32,
    /// Its state.
    pub state: MemberState,
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
    /// The configuration it was last known to have in effect.
    pub config: ConfigMark,
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

    /// The record that both sides agree on. Commutative, associative and
    /// idempotent, so that order, loss and duplication of messages do not
    /// change where the views end.
    ///
    /// The revision in effect never falls within one incarnation.
    ///
    /// ```
    /// use jasminepond_membership::{Member, MemberState, ConfigMark};
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
    ///     config: ConfigMark::default(),
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

    /// Total order behind [`Self::merge`]. The fields after the rank only
    /// differ if two daemons run under one identity.
    fn order(&self) -> impl Ord + '_ {
        (
            self.rank(),
            (&self.zone, &self.region, self.processor),
            self.peer_address,
            self.membership_address,
        )
    }

    /// Whether it can be given work or asked for help.
    pub fn is_reachable(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Whether it is dead or has departed.
    pub fn is_gone(&self) -> bool {
        matches!(self.state, MemberState::Dead | MemberState::Leaving)
    }
}

impl ConfigMark {
    /// The mark of a configuration with the given digest.
    pub fn new(revision: Revision, digest: &[u8; 32]) -> Self {
        let [a, b, c, d, ..] = *digest;
        Self(revision, u32::from_be_bytes([a, b, c, d]))
    }

    /// The revision.
    pub fn revision(self) -> Revision {
        self.0
    }
}
