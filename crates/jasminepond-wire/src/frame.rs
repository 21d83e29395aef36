//! Frames and their fields.

use bytes::Bytes;
use jasminepond_types::{
    ClassId, GroupId, Incarnation, InstanceId, Millis, ServerId, ServiceId, Slots, TenantId,
    Version, Weight,
};
use serde::Deserialize;

use crate::{ExecuteOutcome, Hit, field};

/// One message on a peer link.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// First frame in each direction.
    Hello(Hello),
    /// Second frame in each direction; authenticates the sender.
    Proof(Proof),
    /// Sub-requests of one search for servers that the receiver owns.
    Search(Search),
    /// Results of some sub-requests of one search.
    PartResults(PartResults),
    /// Sub-requests whose result is no longer needed.
    Cancel(Cancel),
    /// A non-idempotent request for a server that the receiver owns.
    Execute(Execute),
    /// Outcome of an [`Execute`].
    Executed(Executed),
    /// A caller's non-idempotent request, for the issuer of its key.
    ForwardExecute(ForwardExecute),
    /// Outcome of a [`ForwardExecute`].
    ForwardExecuted(ForwardExecuted),
    /// Grants the receiver credit for `n` more outstanding sub-requests.
    Credit {
        /// Additional sub-requests.
        n: u32,
    },
    /// A message of the configuration or membership exchange, opaque to this crate.
    Sync {
        /// Encoded by the module that owns the exchange.
        payload: Bytes,
    },
    /// The sender is shutting down: it finishes requests in progress and accepts no
    /// new ones.
    Goodbye,
    /// Requests a [`Frame::Pong`] with the same number.
    Ping {
        /// Echoed in the pong.
        n: u64,
    },
    /// Answers a [`Frame::Ping`].
    Pong {
        /// The number of the ping.
        n: u64,
    },
    /// A frame of a newer minor version. Receivers ignore it; it is not encoded.
    Unknown {
        /// The kind number received.
        kind: u64,
    },
}

/// First frame in each direction of a link.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Hello {
    /// Major protocol version; incremented by incompatible changes.
    pub major: u16,
    /// Minor protocol version; incremented by compatible additions.
    pub minor: u16,
    /// Instance of the sender.
    pub instance: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Random value, so that a proof is valid only on this link.
    pub nonce: [u8; crate::NONCE_BYTES],
}

/// Second frame in each direction of a link.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Proof {
    /// Keyed BLAKE3 over both hellos and the sender's role.
    pub mac: [u8; crate::MAC_BYTES],
}

/// Sub-requests of one search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Search {
    /// Id chosen by the sender, unique on the link.
    pub id: u64,
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Class of the request.
    pub class: ClassId,
    /// Priority of the class; lower numbers are served first.
    pub priority: u8,
    /// Share of the tenant within its class.
    pub weight: Weight,
    /// Group to search.
    pub group: GroupId,
    /// Snapshot version that every result must come from.
    pub version: Version,
    /// Query text as sent by the caller.
    pub query: Box<str>,
    /// Maximum number of hits from each shard.
    pub limit: u32,
    /// Time left until the deadline when the frame was sent.
    pub left: Millis,
    /// Sub-requests, at most [`crate::MAX_PARTS`].
    pub parts: Vec<Part>,
}

/// One sub-request of a [`Search`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Number chosen by the sender, unique within the search.
    pub part: u32,
    /// The shard.
    pub service: ServiceId,
    /// The replica.
    pub server: ServerId,
}

/// Results of some sub-requests of one [`Search`].
#[derive(Debug, Clone, PartialEq)]
pub struct PartResults {
    /// Id of the search.
    pub id: u64,
    /// At most [`crate::MAX_PARTS`] results.
    pub items: Vec<PartResult>,
}

/// Result of one sub-request.
#[derive(Debug, Clone, PartialEq)]
pub struct PartResult {
    /// Number of the sub-request within its search.
    pub part: u32,
    /// Outcome of the sub-request.
    pub outcome: PartOutcome,
    /// Current state of the server, if it is new to the receiver.
    pub hint: Option<ServerHint>,
}

/// Outcome of one sub-request.
#[derive(Debug, Clone, PartialEq)]
pub enum PartOutcome {
    /// The server answered.
    Answer {
        /// Snapshot version that the answer was computed from.
        version: Version,
        /// Number of matches in the shard, which may exceed the number of hits.
        count: u64,
        /// Best hits of the shard, at most [`crate::MAX_HITS`].
        hits: Vec<Hit>,
    },
    /// The sub-request has no answer.
    Failed {
        /// Why the sub-request failed.
        reason: PartFailure,
        /// Delay after which to retry at this server, if the server sent one.
        retry_after: Option<Millis>,
        /// Versions that the server holds, for
        /// [`PartFailure::VersionUnavailable`]; at most [`crate::MAX_VERSIONS`].
        versions: Vec<Version>,
    },
}

macro_rules! part_failures {
    ($($(#[$doc:meta])* $name:ident = $code:literal,)*) => {
        /// Why a sub-request has no answer.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum PartFailure {
            $($(#[$doc])* $name,)*
        }

        impl PartFailure {
            /// All reasons.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            pub(crate) const fn code(self) -> u8 {
                match self {
                    $(Self::$name => $code,)*
                }
            }

            /// Maps a code that a newer minor version added to an unspecified failure.
            pub(crate) const fn from_code(code: u64) -> Self {
                match code {
                    $($code => Self::$name,)*
                    _ => Self::Failed,
                }
            }
        }
    };
}

part_failures! {
    /// The server returned an error or an invalid answer.
    Failed = 0,
    /// The deadline passed, or the server made no progress in time.
    Timeout = 1,
    /// The owner's queue is full or the server shed the request.
    Overloaded = 2,
    /// The server does not hold the snapshot version.
    VersionUnavailable = 3,
    /// The server answered from another snapshot version.
    WrongVersion = 4,
    /// The server is shutting down.
    Draining = 5,
    /// The server cannot be reached.
    Unreachable = 6,
    /// The receiver of the search does not own the server.
    NotOwner = 7,
    /// The sub-request was cancelled.
    Cancelled = 8,
}

/// Health of a server as observed by its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServerCondition {
    /// The server is used with its full number of slots.
    Ready,
    /// The server is new or has recovered; the number of usable slots rises with
    /// successful requests.
    Ramping,
    /// Most recent requests to the server failed.
    Failing,
    /// The server cannot be reached.
    Down,
    /// The server is shutting down and accepts no new requests.
    Draining,
}

impl ServerCondition {
    pub(crate) const fn code(self) -> u8 {
        match self {
            Self::Ready => 0,
            Self::Ramping => 1,
            Self::Failing => 2,
            Self::Down => 3,
            Self::Draining => 4,
        }
    }

    /// A condition that a newer minor version added is treated as ready.
    pub(crate) const fn from_code(code: u8) -> Self {
        match code {
            1 => Self::Ramping,
            2 => Self::Failing,
            3 => Self::Down,
            4 => Self::Draining,
            _ => Self::Ready,
        }
    }
}

/// State of a server as reported by its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerHint {
    /// The server.
    pub server: ServerId,
    /// Requests in the owner's queue.
    pub queued: u32,
    /// Requests running at the server.
    pub running: u32,
    /// Current estimate of the server's number of slots.
    pub slots: Slots,
    /// Median service time in microseconds.
    pub service_us: u32,
    /// Condition of the server.
    pub condition: ServerCondition,
    /// Priority of the first class with queued requests. A request of a class served
    /// before it waits only for a free slot.
    pub top_priority: u8,
    /// Queued requests of that class.
    pub top_queued: u32,
}

/// Sub-requests whose result is no longer needed.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Cancel {
    /// Id of the search.
    pub id: u64,
    /// Numbers of the sub-requests, at most [`crate::MAX_PARTS`].
    #[serde(deserialize_with = "field::parts")]
    pub parts: Vec<u32>,
}

/// A non-idempotent request, sent to the owner of a server.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Execute {
    /// Id chosen by the sender, unique on the link.
    pub id: u64,
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Class of the request.
    pub class: ClassId,
    /// Priority of the class; lower numbers are served first.
    pub priority: u8,
    /// Share of the tenant within its class.
    pub weight: Weight,
    /// Group of the server.
    pub group: GroupId,
    /// The chosen server.
    pub server: ServerId,
    /// Request key in text form.
    pub key: Box<str>,
    /// The operation as JSON text, passed through without parsing.
    pub operation: Bytes,
    /// Time left until the deadline when the frame was sent.
    pub left: Millis,
}

/// Outcome of an [`Execute`].
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Executed {
    /// Id of the request.
    pub id: u64,
    /// Outcome of the request.
    pub outcome: ExecuteOutcome,
}

/// A caller's non-idempotent request, sent to the issuer of its key.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ForwardExecute {
    /// Id chosen by the sender, unique on the link.
    pub id: u64,
    /// The caller's request.
    pub request: CallerRequest,
}

/// A caller's non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, serde::Serialize)]
pub struct CallerRequest {
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Class of the request.
    pub class: ClassId,
    /// Group of servers, one of which runs the operation.
    pub group: GroupId,
    /// Request key in text form.
    pub key: Box<str>,
    /// The operation as JSON text, passed through without parsing.
    pub operation: Bytes,
    /// Time left until the deadline when the frame was sent.
    pub left: Millis,
}

/// Outcome of a [`ForwardExecute`].
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ForwardExecuted {
    /// Id of the request.
    pub id: u64,
    /// Outcome of the request.
    pub outcome: ExecuteOutcome,
}
