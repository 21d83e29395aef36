//! Datagrams between daemons.

use bytes::Bytes;
use jasminepond_types::{Incarnation, InstanceId, Millis, ServerId};
use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, Member};

/// Largest encoded message. 1,200 bytes fit one packet on usual networks; 16
/// of them are left for the authentication code.
pub const MAX_DATAGRAM_BYTES: usize = 1_200 - 16;

/// One datagram: the sender, what it wants, and changes it passes on.
///
/// Times are ages, since the daemons share no clock. Unknown fields are
/// ignored, so that later versions can add some.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's record of itself, proof that it runs.
    #[serde(rename = "f")]
    pub from: Member,
    /// What the sender wants.
    #[serde(rename = "b")]
    pub body: Body,
    /// Records of other members.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<Record>,
    /// Configuration revisions of other members.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub configs: Vec<MemberConfig>,
    /// Reports about backend servers.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<ServerReport>,
}

/// The purpose of a [`Message`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks `target` to answer with [`Body::Ack`].
    #[serde(rename = "p")]
    Probe {
        /// Chosen by the sender, repeated in the answer.
        #[serde(rename = "s")]
        sequence: u32,
        /// The member that is meant. An address may have passed to another.
        #[serde(rename = "t")]
        target: InstanceId,
    },
    /// Asks the receiver to probe `target` and to pass its answer on.
    #[serde(rename = "i")]
    IndirectProbe {
        /// Chosen by the sender, repeated in the answer.
        #[serde(rename = "s")]
        sequence: u32,
        /// The member to probe.
        #[serde(rename = "t")]
        target: InstanceId,
    },
    /// `target` answered a probe.
    #[serde(rename = "a")]
    Ack {
        /// The number of the probe.
        #[serde(rename = "s")]
        sequence: u32,
        /// The member that answered.
        #[serde(rename = "t")]
        target: InstanceId,
    },
    /// Only passes changes on.
    #[serde(rename = "g")]
    Gossip,
    /// Digests of the sender's view, asking for the receiver's.
    #[serde(rename = "d")]
    Summary {
        /// Chosen by the sender, repeated in the answer.
        #[serde(rename = "n")]
        nonce: u32,
        /// One digest per bucket of members.
        #[serde(rename = "b")]
        buckets: Bytes,
    },
    /// Digests of the sender's view, in answer to [`Body::Summary`].
    #[serde(rename = "e")]
    SummaryReply {
        /// The number of the question.
        #[serde(rename = "n")]
        nonce: u32,
        /// One digest per bucket, none if all equal those received.
        #[serde(rename = "b")]
        buckets: Bytes,
        /// Whether the sender's view is confirmed since its last pause.
        #[serde(rename = "c")]
        confirmed: bool,
    },
    /// Asks for the records of one bucket that the sender lacks.
    #[serde(rename = "q")]
    Pull {
        /// Chosen by the sender, repeated in the answer.
        #[serde(rename = "n")]
        nonce: u32,
        /// The bucket.
        #[serde(rename = "b")]
        bucket: u8,
        /// Only members after this one.
        #[serde(rename = "a")]
        after: Option<InstanceId>,
        /// Digests of the records that the sender has.
        #[serde(rename = "k")]
        known: Bytes,
    },
    /// Answers [`Body::Pull`] with a part of the bucket in `records`.
    #[serde(rename = "r")]
    PullReply {
        /// The number of the question.
        #[serde(rename = "n")]
        nonce: u32,
        /// The bucket.
        #[serde(rename = "b")]
        bucket: u8,
        /// Whether the bucket has no more records for the receiver.
        #[serde(rename = "d")]
        done: bool,
    },
}

/// A member's record with the time since it died or left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record(
    /// The record.
    pub Member,
    /// Seconds since it died or left, zero for others.
    pub u32,
);

/// The configuration that one run of a daemon has in effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberConfig(
    /// The instance.
    pub InstanceId,
    /// The run of the daemon.
    pub Incarnation,
    /// What it has in effect.
    pub ConfigVersion,
);

/// What a daemon observed of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReportKind {
    /// It is leaving and takes no new work.
    #[serde(rename = "d")]
    Draining,
    /// It does not answer.
    #[serde(rename = "l")]
    Lost,
    /// It answers again.
    #[serde(rename = "b")]
    Back,
}

/// A report about a backend server, spread to all daemons until it expires.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The backend server.
    #[serde(rename = "s")]
    pub server: ServerId,
    /// What was observed.
    #[serde(rename = "k")]
    pub kind: ReportKind,
    /// The daemon that observed it.
    #[serde(rename = "r")]
    pub reporter: InstanceId,
    /// The run of the reporter. Its sequence starts again with each run.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Rises with each report of one run.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Time since the observation, without the time spent on the network.
    #[serde(rename = "a")]
    pub age: Millis,
}

/// A datagram is not a message of this protocol, or of a later version.
#[derive(Debug, thiserror::Error)]
#[error("membership message cannot be decoded: {0}")]
pub struct DecodeMessageError(String);

impl Message {
    /// The message as CBOR, at most [`MAX_DATAGRAM_BYTES`] long if it was
    /// produced by [`Membership`](crate::Membership).
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        // Writing to memory fails only for types without an encoding.
        ciborium::into_writer(self, &mut buf).expect("messages have an encoding");
        buf
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// If the bytes are damaged or of a kind that this version does not know.
    pub fn decode(buf: &[u8]) -> Result<Self, DecodeMessageError> {
        ciborium::from_reader(buf).map_err(|err| DecodeMessageError(err.to_string()))
    }
}
