//! Messages exchanged between daemons as datagrams.

use bytes::Bytes;
use jasminepond_types::{Incarnation, InstanceId, Millis, ServerId};
use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, Member};

/// Maximum size of an encoded message. A datagram of 1,200 bytes fits one packet
/// on usual networks; 16 of them are reserved for the authentication code.
pub const MAX_DATAGRAM_BYTES: usize = 1_200 - 16;

/// One datagram: the sender, the purpose, and piggybacked changes.
///
/// Times are encoded as ages because daemons have no common clock. Unknown
/// fields are ignored, so that later versions can add some.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "WireMessage", from = "WireMessage")]
pub struct Message {
    /// The sender's own record, which also proves that it is running.
    pub from: Member,
    /// The purpose of the message.
    pub body: Body,
    /// Records of other members.
    pub records: Vec<Record>,
    /// Configuration versions of other members.
    pub configs: Vec<MemberConfig>,
    /// Reports about backend servers.
    pub reports: Vec<ServerReport>,
}

/// Encoding of a [`Message`].
#[derive(Serialize, Deserialize)]
struct WireMessage {
    #[serde(rename = "f")]
    from: Member,
    #[serde(rename = "b")]
    body: Body,
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    records: Vec<Record>,
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    configs: Vec<MemberConfig>,
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    reports: Vec<ServerReport>,
    /// Members that reach no backend server: 0 for the sender, and the positions of the
    /// records from 1 on. Records have a fixed number of fields, which earlier versions of
    /// the protocol expect.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    without_servers: Vec<u8>,
}

impl From<Message> for WireMessage {
    fn from(message: Message) -> Self {
        let records = message.records.iter().map(|Record(member, _)| member);
        let members = (0..).zip(std::iter::once(&message.from).chain(records));
        let without_servers = members.filter(|(_, member)| !member.reaches_servers);
        Self {
            without_servers: without_servers.map(|(at, _)| at).collect(),
            from: message.from,
            body: message.body,
            records: message.records,
            configs: message.configs,
            reports: message.reports,
        }
    }
}

impl From<WireMessage> for Message {
    fn from(wire: WireMessage) -> Self {
        let (mut from, mut records) = (wire.from, wire.records);
        for at in wire.without_servers {
            match usize::from(at).checked_sub(1) {
                None => from.reaches_servers = false,
                Some(at) => {
                    if let Some(Record(member, _)) = records.get_mut(at) {
                        member.reaches_servers = false;
                    }
                }
            }
        }
        Self {
            from,
            body: wire.body,
            records,
            configs: wire.configs,
            reports: wire.reports,
        }
    }
}

/// The purpose of a [`Message`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a [`Body::Ack`] from `target`.
    #[serde(rename = "p")]
    Probe {
        /// Chosen by the sender, repeated in the answer.
        #[serde(rename = "s")]
        sequence: u32,
        /// The intended member. Its address may since have been reassigned to
        /// another daemon.
        #[serde(rename = "t")]
        target: InstanceId,
    },
    /// Requests that the receiver probes `target` and relays its ack.
    #[serde(rename = "i")]
    IndirectProbe {
        /// Chosen by the sender, repeated in the answer.
        #[serde(rename = "s")]
        sequence: u32,
        /// The member to probe.
        #[serde(rename = "t")]
        target: InstanceId,
    },
    /// Reports that `target` responded to a probe.
    #[serde(rename = "a")]
    Ack {
        /// Sequence number of the probe.
        #[serde(rename = "s")]
        sequence: u32,
        /// The member that responded.
        #[serde(rename = "t")]
        target: InstanceId,
    },
    /// Carries only changes.
    #[serde(rename = "g")]
    Gossip,
    /// Digests of the sender's view, requesting those of the receiver.
    #[serde(rename = "d")]
    Summary {
        /// Chosen by the sender, repeated in the answer.
        #[serde(rename = "n")]
        nonce: u32,
        /// One digest per bucket of members.
        #[serde(rename = "b")]
        buckets: Bytes,
    },
    /// Digests of the sender's view, in reply to [`Body::Summary`].
    #[serde(rename = "e")]
    SummaryReply {
        /// The number of the question.
        #[serde(rename = "n")]
        nonce: u32,
        /// One digest per bucket, empty if all of them equal those received.
        #[serde(rename = "b")]
        buckets: Bytes,
        /// Whether the sender's view is confirmed since its last pause.
        #[serde(rename = "c")]
        confirmed: bool,
    },
    /// Requests the records of one bucket that the sender lacks.
    #[serde(rename = "q")]
    Pull {
        /// Chosen by the sender, repeated in the answer.
        #[serde(rename = "n")]
        nonce: u32,
        /// The bucket.
        #[serde(rename = "b")]
        bucket: u8,
        /// Only records of instances after this one are requested.
        #[serde(rename = "a")]
        after: Option<InstanceId>,
        /// Digests of the records that the sender has.
        #[serde(rename = "k")]
        known: Bytes,
    },
    /// Reply to [`Body::Pull`] with a part of the bucket in `records`.
    #[serde(rename = "r")]
    PullReply {
        /// The number of the question.
        #[serde(rename = "n")]
        nonce: u32,
        /// The bucket.
        #[serde(rename = "b")]
        bucket: u8,
        /// Whether this completes the bucket.
        #[serde(rename = "d")]
        done: bool,
    },
}

/// A member record with the time since the member died or left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record(
    /// The record.
    pub Member,
    /// Seconds since the member died or left, zero in other states.
    pub u32,
);

/// The configuration version in effect at one incarnation of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberConfig(
    /// The instance.
    pub InstanceId,
    /// Its incarnation.
    pub Incarnation,
    /// The configuration version in effect.
    pub ConfigVersion,
);

/// State of a backend server as observed by a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReportKind {
    /// It is draining and accepts no new work.
    #[serde(rename = "d")]
    Draining,
    /// It does not respond.
    #[serde(rename = "l")]
    Lost,
    /// It responds again.
    #[serde(rename = "b")]
    Back,
}

/// A report about a backend server, disseminated to all daemons until it
/// expires.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The backend server.
    #[serde(rename = "s")]
    pub server: ServerId,
    /// The observed state.
    #[serde(rename = "k")]
    pub kind: ReportKind,
    /// The daemon that observed it.
    #[serde(rename = "r")]
    pub reporter: InstanceId,
    /// Incarnation of the reporter. The sequence restarts with each incarnation.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Sequence number, increasing with each report of one incarnation.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Time since the observation, excluding network latency.
    #[serde(rename = "a")]
    pub age: Millis,
}

/// A datagram is malformed or from an unsupported later version.
#[derive(Debug, thiserror::Error)]
#[error("membership message cannot be decoded: {0}")]
pub struct DecodeMessageError(String);

impl Message {
    /// Encodes the message as CBOR. Messages produced by
    /// [`Membership`](crate::Membership) take at most [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        // Writing to memory fails only for types that cannot be encoded.
        ciborium::into_writer(self, &mut buf).expect("messages have an encoding");
        buf
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// If the bytes are malformed or contain a message kind that this version does
    /// not support.
    pub fn decode(buf: &[u8]) -> Result<Self, DecodeMessageError> {
        ciborium::from_reader(buf).map_err(|err| DecodeMessageError(err.to_string()))
    }
}
