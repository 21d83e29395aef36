//! Inputs and outputs of the forwarder.

use std::{
    convert::Infallible, fmt, net::SocketAddr, num::ParseIntError, rc::Rc, str::FromStr, sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use jasminepond_quarantine::{Change, Fingerprint};
use jasminepond_ratelimit::RateLimit;
use jasminepond_routes::{ReleaseVersion, ServiceName};
use jasminepond_types::{ErrorKind, Millis};
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    AdmissionCounts, CallerId, LoadReport, contact::ContactEvent, forwarder::DelegationRequest,
    request::ActiveRoute, stated_load::StatedLoad,
};

new_key_type! {
    /// A caller's request.
    pub struct ReqKey;
    /// One send of a request to a backend server.
    pub struct CallKey;
    /// A connection to a backend server.
    pub struct ConnKey;
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its route.
    pub route: Rc<ActiveRoute>,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Identifies requests that are equal to it.
    pub fingerprint: Fingerprint,
    /// Identifies the attempt of the caller.
    pub search: SearchId,
    /// Its caller.
    pub caller: CallerId,
    /// Random number of the request, equal on all daemons that handle parts of it.
    pub draw: u64,
    /// Set if another daemon delegates the request, or a part of it, to this one.
    pub delegated: Option<DelegatedPart>,
}

/// What a daemon delegates to another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// Shards of a search, by their indexes in the route.
    Shards(Vec<usize>),
    /// A request to one server.
    Whole,
}

/// A request, or a part of a search, that another daemon delegates to this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DelegatedPart {
    /// What to handle.
    pub scope: Scope,
    /// Time after which the results of a search received so far are returned.
    pub answer_within: Duration,
    /// Number of shards without which the results are of no use to the asking daemon.
    pub min_shards: usize,
    /// Whether the request may have been sent to servers before.
    pub repeat: bool,
    /// Maximum number of servers to which each part may be sent, if that is fewer than the
    /// route allows.
    pub max_attempts: u32,
    /// Whether the asking daemon has checked that the request may be sent although it is
    /// suspected of ending servers.
    pub admitted: bool,
    /// Whether it asks for the rest of a search of which it has received results before.
    pub resumes: bool,
}

/// Identifies one attempt of a caller at all daemons that handle parts of it.
///
/// ```
/// use jasminepond_forward::SearchId;
///
/// let id: SearchId = "00000000000000ff".parse().unwrap();
/// assert_eq!(id.to_string(), "00000000000000ff");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SearchId(pub u64);

impl SearchId {
    /// Derives the id from the request id that the caller has chosen for the attempt.
    pub fn of_request(id: &[u8]) -> Self {
        Self(xxh3_64(id))
    }
}

impl fmt::Display for SearchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for SearchId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text.trim(), 16).map(Self)
    }
}

/// State of a backend server according to its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendState {
    /// The server accepts requests.
    Ready,
    /// The server is about to stop and gets no new requests.
    Draining,
}

/// Discovery entry of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Id, unique among all servers.
    pub id: Arc<str>,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub zone: String,
    /// Requests that the server processes concurrently.
    pub slots: u32,
    /// State according to the entry.
    pub state: BackendState,
    /// Remaining warm-up time after its start, during which the server is slow.
    pub warm_up_left: Millis,
    /// Start time of the process in milliseconds of the server's clock, if stated.
    /// A different value under the same id means a different process.
    pub started: Option<u64>,
    /// Number of times that the process has written its entry. Of two entries of one
    /// process, the one with more writes is newer.
    #[serde(default)]
    pub writes: u64,
}

/// `Retry-After` of a server that rejected a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAfter {
    /// Send no requests for this long.
    Wait(Duration),
    /// The value is not a number of seconds.
    Invalid,
}

/// Upper bound of a `Retry-After`, so that a server that states a longer time by mistake
/// is tried again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(300);

impl FromStr for RetryAfter {
    type Err = Infallible;

    /// Parses a whole or fractional number of seconds.
    ///
    /// ```
    /// use jasminepond_forward::RetryAfter;
    /// use std::time::Duration;
    ///
    /// let wait = |text: &str| text.parse::<RetryAfter>().unwrap();
    /// assert_eq!(wait("1.5"), RetryAfter::Wait(Duration::from_millis(1_500)));
    /// assert_eq!(wait("-1"), RetryAfter::Invalid);
    /// assert_eq!(wait("Fri, 04 Dec 2026 10:00:00 GMT"), RetryAfter::Invalid);
    /// ```
    fn from_str(text: &str) -> Result<Self, Infallible> {
        let text = text.trim();
        let is_number = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        Ok(match text.parse::<f64>() {
            Ok(seconds) if is_number => {
                let seconds = seconds.min(MAX_RETRY_AFTER.as_secs_f64());
                Self::Wait(Duration::from_secs_f64(seconds))
            }
            _ => Self::Invalid,
        })
    }
}

/// Rate limit that a server stated in a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StatedLimit {
    /// All daemons together may send this many requests.
    Limit(RateLimit),
    /// The value is not a number of requests per second.
    Invalid,
}

/// What another daemon states about its answer.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PeerReply {
    /// Version of the release by which it routed the request.
    pub release: ReleaseVersion,
    /// Id of the server whose response it forwards.
    pub server: Option<Arc<str>>,
    /// Whether it presumes that the request ends the servers that run it.
    pub suspects: bool,
    /// Shards that it sends requests to and that cannot process all of the load.
    pub load: Option<LoadReport>,
    /// Shards that its answer lacks and that it can still return results of, by their index.
    pub unfinished: Vec<usize>,
}

/// Response of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The server's signature of the response, or the signatures of several servers
    /// if another daemon answers.
    pub stamp: Option<Bytes>,
    /// Number of shards that are missing from another daemon's answer.
    pub missing: usize,
    /// Set if another daemon answers.
    pub peer: Option<Box<PeerReply>>,
    /// Whether the server states that it has not run the request.
    pub not_run: bool,
    /// Whether a different server than the expected one answered.
    pub wrong_server: bool,
    /// Whether the server states that it is about to stop.
    pub leaving: bool,
    /// Time for which the server wants no further requests, if stated.
    pub retry_after: Option<RetryAfter>,
    /// Rate limit of the server, if stated.
    pub rate_limit: Option<StatedLimit>,
    /// Load of the server, if stated.
    pub server_load: Option<StatedLoad>,
    /// Time for which the server stays cold, if stated.
    pub warm_up_left: Option<Millis>,
    /// Whether the body has a content encoding, and so is not as the server wrote it.
    pub encoded: bool,
    /// Headers to forward.
    pub headers: Vec<(Bytes, Bytes)>,
    /// The complete body.
    pub body: Bytes,
}

impl Reply {
    /// Whether the response is complete and successful.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.stamp.is_some() && !self.encoded
    }
}

/// Response of a call and the state of its connection afterwards.
#[derive(Debug, Clone, PartialEq)]
pub struct Exchange {
    /// The response.
    pub reply: Reply,
    /// Idle timeout of the connection, if the server states one.
    pub keep_alive: Option<Duration>,
    /// Whether the server closes the connection after this response.
    pub closes: bool,
}

/// Whether a call whose connection ended may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostCall {
    /// No byte of the request was sent.
    NotSent,
    /// The request was sent, at least in part.
    MayHaveRun,
}

/// Why a request is refused or fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Kind, which determines whether the request may have run.
    pub kind: ErrorKind,
    /// Time after which the caller should retry.
    pub retry_after: Option<Millis>,
    /// Whether the request is presumed to end the servers that run it.
    pub suspected: bool,
}

/// Answer to a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Response of a backend server, forwarded unchanged.
    Forwarded {
        /// The response.
        reply: Reply,
        /// Id of the server.
        server: Option<Arc<str>>,
    },
    /// The merged answer of a search.
    Merged {
        /// Signatures of the parts that the answer contains.
        stamps: Vec<Bytes>,
        /// Number of shards that the answer lacks.
        missing: usize,
        /// The merged records.
        body: Bytes,
        /// Shards whose results can still be asked for, by their index, if the search was
        /// delegated by another daemon.
        unfinished: Vec<usize>,
    },
    /// The gateway refuses the request or reports its failure.
    Refused(Refusal),
}

/// Outcome of a request, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// Answered completely and successfully.
    Served,
    /// A search was answered with shards missing.
    Partial,
    /// The error response of a backend server was forwarded.
    ServerFailed,
    /// Refused; the request has not run.
    Refused,
    /// Failed after it was sent; the request may have run.
    Failed,
    /// The caller disconnected before the answer.
    CallerLeft,
}

impl Verdict {
    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Partial => "partial",
            Self::ServerFailed => "server_failed",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::CallerLeft => "caller_left",
        }
    }
}

/// Statistics of a finished request, for its log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Outcome.
    pub verdict: Verdict,
    /// Its route.
    pub route: Arc<str>,
    /// Version of the release by which the request was routed.
    pub version: ReleaseVersion,
    /// Time from arrival to answer.
    pub took: Duration,
    /// Sends to backend servers.
    pub sends: u32,
    /// Sends beyond the first one of each part.
    pub repeats: u32,
    /// Repeated sends that the budget refused.
    pub over_budget: u32,
    /// Missing parts as `service:reason:usable/known`, with the counts of usable and
    /// known servers of the service.
    pub missing: Vec<String>,
    /// Parts that were not sent because their servers were at their rate limits.
    pub limited: u32,
    /// Number of parts without a usable server while servers of evacuated zones are held
    /// out.
    pub evacuated: u32,
    /// Server whose response was forwarded, or that failed last.
    pub server: Option<Arc<str>>,
    /// Parts that other daemons sent on, because this one reached no server.
    pub relayed: u32,
}

/// Change in the state of a backend server as observed by the forwarder.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServerEvent {
    /// A call is unanswered for too long; other servers are preferred from now on.
    Stalled {
        /// Time since the call was sent.
        unanswered: Duration,
    },
    /// The server answers again after it was stalled or unreachable.
    Recovered,
    /// No connection to the server can be opened.
    Unreachable {
        /// Time until the next attempt.
        retry_in: Duration,
    },
    /// The server reset a connection just after it was opened, the first time in a series.
    NoRoom {
        /// Other connections of this daemon to it.
        connections: usize,
        /// Time until the next connection is opened.
        retry_in: Duration,
    },
    /// Another server answers at the address.
    AddressTaken,
    /// The server announced that it is about to stop and gets no new requests.
    Stopping,
    /// The server does not read the requests sent to it, and gets no more until it does.
    Unread,
    /// The server asked for no requests for a time (`Retry-After`).
    BackOff {
        /// The requested time.
        wait: Duration,
    },
    /// The server sent an invalid `Retry-After`, which is ignored.
    InvalidRetryAfter,
    /// The server stated a rate limit, or a different one than before.
    Limited {
        /// The limit.
        limit: RateLimit,
    },
    /// The server no longer states a rate limit.
    LimitLifted,
    /// The server stated an invalid rate limit, which is ignored.
    InvalidLimit,
    /// The server stated a malformed load, which is ignored.
    InvalidLoad,
    /// A health response, or another daemon, says that the server is cold.
    Cold {
        /// Requests per second that it takes while it is cold.
        limit: RateLimit,
    },
    /// A health response, or another daemon, says that the server is warm again.
    Warm,
    /// Use of a server's limit by this daemon since the last such event.
    LimitUsage {
        /// The limit.
        limit: RateLimit,
        /// What was sent and held back.
        usage: LimitUsage,
    },
}

/// Use of the rate limit of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LimitUsage {
    /// First sends of a request or of a part of a search.
    pub first: u32,
    /// Hedged sends.
    pub hedged: u32,
    /// Sends after a rejection or a failure.
    pub retried: u32,
    /// Sends for which the server was preferred but no permit was held.
    pub held_back: u32,
}

/// Who has observed something about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceSource {
    /// This daemon.
    Own,
    /// Another daemon.
    Peer(SocketAddr),
    /// An operator.
    Operator,
}

impl fmt::Display for EvidenceSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Own => f.write_str("own"),
            Self::Peer(address) => address.fmt(f),
            Self::Operator => f.write_str("operator"),
        }
    }
}

/// An action for the caller of the forwarder to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Open a connection.
    Open {
        /// Key under which its events are reported.
        conn: ConnKey,
        /// Address of the server.
        address: SocketAddr,
    },
    /// Send a request over an idle connection.
    Send {
        /// The connection.
        conn: ConnKey,
        /// Key under which the response is reported.
        call: CallKey,
        /// The request.
        req: ReqKey,
        /// Id of the server that must answer.
        server: Arc<str>,
        /// Time until the caller's deadline.
        left: Millis,
        /// Set if the server is another daemon.
        delegation: Option<DelegationRequest>,
    },
    /// Send a health request over an idle connection. Its response is reported like one of a
    /// call.
    CheckHealth {
        /// The connection.
        conn: ConnKey,
        /// Id of the server that must answer.
        server: Arc<str>,
        /// Path of the health request.
        path: Arc<str>,
    },
    /// Close a connection, even if a call is in progress on it. No event follows.
    Close {
        /// The connection.
        conn: ConnKey,
    },
    /// Send a datagram to another daemon.
    SendDatagram {
        /// Address of the other daemon.
        to: SocketAddr,
        /// The datagram.
        message: jasminepond_ratelimit::Message,
    },
    /// Send a datagram about suspected requests to another daemon.
    SendEvidence {
        /// Address of the other daemon.
        to: SocketAddr,
        /// The datagram.
        message: jasminepond_quarantine::Message,
    },
    /// Log what is presumed of a request.
    LogSuspect {
        /// What has changed.
        change: Change,
        /// Who has observed it.
        source: EvidenceSource,
    },
    /// Log a change in the state of a backend server.
    LogServerEvent {
        /// Id of the server.
        server: Arc<str>,
        /// The change.
        event: ServerEvent,
    },
    /// Tell the other daemons, and log, that contact with all backend servers together is
    /// lost or regained.
    ContactChanged(ContactEvent),
    /// Log the groups of shards for which this daemon sends the sub-requests.
    LogGroups {
        /// Indexes of the groups that this daemon handles.
        own: Vec<u32>,
        /// Number of all groups.
        groups: usize,
    },
    /// Log for how many shards parts wait, and what that has cost.
    LogShardLoad {
        /// Shards for which parts of searches wait at this daemon.
        overloaded: usize,
        /// Searches refused and shards left out since the start.
        counts: AdmissionCounts,
    },
    /// A request has ended: answer its caller.
    Answer {
        /// The request.
        req: ReqKey,
        /// The answer, or `None` if the caller has disconnected.
        answer: Option<Answer>,
        /// Statistics for the log line of the request.
        summary: Summary,
    },
}
