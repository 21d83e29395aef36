//! The frames and their fields.

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
    /// Lets the receiver have `n` more sub-requests outstanding.
    Credit {
        /// Additional sub-requests.
        n: u32,
    },
    /// A message of the configuration or membership exchange, opaque here.
    Sync {
        /// Encoded by the module that owns the exchange.
        payload: Bytes,
    },
    /// The sender stops; it finishes what it has and accepts nothing new.
    Goodbye,
    /// Asks for a [`Frame::Pong`] with the same number.
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
    /// Incompatible versions differ in this number.
    pub major: u16,
    /// Compatible additions raise this number.
    pub minor: u16,
    /// Instance of the sender.
    pub instance: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Random for each link, so that a proof is valid on this link only.
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
    /// Chosen by the sender, unique on the link.
    pub id: u64,
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Class of the request.
    pub class: ClassId,
    /// Priority of the class; a lower number goes first.
    pub priority: u8,
    /// Share of the tenant within its class.
    pub weight: Weight,
    /// Group that is searched.
    pub group: GroupId,
    /// Snapshot version that every result must come from.
    pub version: Version,
    /// The query as the caller gave it.
    pub query: Box<str>,
    /// Hits wanted from each shard.
    pub limit: u32,
    /// Time left until the deadline when the frame was sent.
    pub left: Millis,
    /// One entry per sub-request, at most [`crate::MAX_PARTS`].
    pub parts: Vec<Part>,
}

/// One sub-request of a [`Search`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Chosen by the sender, unique within the search.
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
    /// What became of it.
    pub outcome: PartOutcome,
    /// The owner's present view of the server, where it is new to the receiver.
    pub hint: Option<ServerHint>,
}

/// What became of one sub-request.
#[derive(Debug, Clone, PartialEq)]
pub enum PartOutcome {
    /// The server answered.
    Answer {
        /// Version that the answer came from.
        version: Version,
        /// Matches in the shard, which may exceed the number of hits.
        count: u64,
        /// Best hits of the shard, at most [`crate::MAX_HITS`].
        hits: Vec<Hit>,
    },
    /// There is no answer.
    Failed {
        /// Why.
        reason: PartFailure,
        /// When to try this server again, where it said so.
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

            /// A code of a newer minor version is an unspecified failure.
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
    /// The server returned an error or an answer that cannot be read.
    Failed = 0,
    /// The deadline passed, or the server made no progress in time.
    Timeout = 1,
    /// The owner's queue is full or the server shed the request.
    Overloaded = 2,
    /// The server does not hold the version.
    VersionUnavailable = 3,
    /// The server answered from another version.
    WrongVersion = 4,
    /// The server is leaving.
    Draining = 5,
    /// The server cannot be reached.
    Unreachable = 6,
    /// The receiver of the search does not own the server.
    NotOwner = 7,
    /// The sub-request was cancelled.
    Cancelled = 8,
}

/// Condition of a server as its owner sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServerCondition {
    /// Works at its full number of slots.
    Ready,
    /// New or returned; the number of slots in use rises with successes.
    Ramping,
    /// Most of the last requests failed.
    Failing,
    /// Cannot be reached.
    Down,
    /// Is leaving; takes no new work.
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

    /// A condition of a newer minor version says nothing here.
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

/// An owner's view of one of its servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerHint {
    /// The server.
    pub server: ServerId,
    /// Requests waiting at the owner.
    pub queued: u32,
    /// Requests at the server.
    pub running: u32,
    /// Present estimate of the server's slots.
    pub slots: Slots,
    /// Median service time in microseconds.
    pub service_us: u32,
    /// Condition of the server.
    pub condition: ServerCondition,
    /// Priority of the first class that has requests waiting. Requests of a class
    /// that goes before it wait only for a slot.
    pub top_priority: u8,
    /// Requests waiting in that class.
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
    /// Chosen by the sender, unique on the link.
    pub id: u64,
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Class of the request.
    pub class: ClassId,
    /// Priority of the class; a lower number goes first.
    pub priority: u8,
    /// Share of the tenant within its class.
    pub weight: Weight,
    /// Group of the server.
    pub group: GroupId,
    /// The chosen server.
    pub server: ServerId,
    /// Request key in text form.
    pub key: Box<str>,
    /// The operation, JSON text passed through unread.
    pub operation: Bytes,
    /// Time left until the deadline when the frame was sent.
    pub left: Millis,
}

/// Outcome of an [`Execute`].
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Executed {
    /// Id of the request.
    pub id: u64,
    /// What became of it.
    pub outcome: ExecuteOutcome,
}

/// A caller's non-idempotent request, sent to the issuer of its key.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ForwardExecute {
    /// Chosen by the sender, unique on the link.
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
    /// Group of servers of which one runs the operation.
    pub group: GroupId,
    /// Request key in text form.
    pub key: Box<str>,
    /// The operation, JSON text passed through unread.
    pub operation: Bytes,
    /// Time left until the deadline when the frame was sent.
    pub left: Millis,
}

/// Outcome of a [`ForwardExecute`].
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ForwardExecuted {
    /// Id of the request.
    pub id: u64,
    /// What became of it.
    pub outcome: ExecuteOutcome,
}
