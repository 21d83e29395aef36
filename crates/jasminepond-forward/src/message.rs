//! What the forwarder is told and what it decides.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, str::FromStr, sync::Arc, time::Duration};

use bytes::Bytes;
use jasminepond_routes::{ReleaseVersion, ServiceName};
use jasminepond_types::{ErrorKind, Millis};
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::{forwarder::DelegationRequest, request::ActiveRoute};

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
    /// How long the caller waits, from now.
    pub time_left: Duration,
    /// Set if another daemon asks for a part of its search.
    pub delegated: Option<DelegatedPart>,
}

/// The part of another daemon's search that is wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DelegatedPart {
    /// Indexes of the shards.
    pub shards: Vec<usize>,
    /// Time after which what is there is wanted.
    pub answer_within: Duration,
    /// Whether another daemon was asked before and may have sent the sub-requests.
    pub repeat: bool,
}

/// State of a backend server as its entry gives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendState {
    /// It takes requests.
    Ready,
    /// It is about to stop and gets no new requests.
    Draining,
}

/// Entry of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Id, unique among all servers.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// State.
    pub state: BackendState,
    /// How much longer it is slow after its start.
    pub warm_up_left: Millis,
    /// When it started, in milliseconds of its own clock, if it says so. Another
    /// value under the same id is another process.
    pub started: Option<u64>,
    /// How often the process had written its entry: of two entries of a process, the one
    /// with more writes is newer.
    #[serde(default)]
    pub writes: u64,
}

/// How long a server that turned a request away wants to be left alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAfter {
    /// For this long.
    Wait(Duration),
    /// It states a value that is not a time.
    Invalid,
}

/// Longest time for which a server is left alone at its own request: one that states
/// a longer time by mistake is asked again then.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(300);

impl FromStr for RetryAfter {
    type Err = Infallible;

    /// Reads seconds, whole or with a fraction.
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

/// A backend server's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The server's signature of the response; signatures of several servers if
    /// another daemon answers.
    pub stamp: Option<Bytes>,
    /// Shards that are not in another daemon's answer.
    pub missing: usize,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether another server than the expected one answered.
    pub wrong_server: bool,
    /// Whether the server states that it is about to stop.
    pub leaving: bool,
    /// For how long the server wants no further request, if it states that.
    pub retry_after: Option<RetryAfter>,
    /// Whether the body has a content encoding, and so is not the server's own.
    pub encoded: bool,
    /// Headers to pass on.
    pub headers: Vec<(Bytes, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

impl Reply {
    /// Whether it is the complete response of a request that succeeded.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.stamp.is_some() && !self.encoded
    }
}

/// A call's response and what became of its connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exchange {
    /// The response.
    pub reply: Reply,
    /// How long the connection may be idle, if the server says so.
    pub keep_alive: Option<Duration>,
    /// Whether the connection ends after this response.
    pub closes: bool,
}

/// How far a call came whose connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostCall {
    /// No byte of it was sent.
    NotSent,
    /// It may have run.
    MayHaveRun,
}

/// Why a request is refused or fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Kind, which states whether the request may have run.
    pub kind: ErrorKind,
    /// When the caller should come back.
    pub retry_after: Option<Millis>,
}

/// Answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// A backend server's response, to be passed on unchanged.
    Forwarded(Reply),
    /// The merged answer of a search.
    Merged {
        /// Signatures of the parts that are in it.
        stamps: Vec<Bytes>,
        /// Shards that are not in it.
        missing: usize,
        /// The records.
        body: Bytes,
    },
    /// An answer of this tier.
    Refused(Refusal),
}

/// How a request ended, in one word for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// Answered with success and in full.
    Served,
    /// A search was answered without some shards.
    Partial,
    /// A backend server's failure was passed on.
    ServerFailed,
    /// Refused without having run.
    Refused,
    /// Failed after it was sent.
    Failed,
    /// The caller left first.
    CallerLeft,
}

impl Verdict {
    /// The word.
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

/// What a request went through, for its log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// How it ended.
    pub verdict: Verdict,
    /// Its route.
    pub route: Arc<str>,
    /// Version of the release that it was routed by.
    pub version: ReleaseVersion,
    /// Time from its arrival to its answer.
    pub took: Duration,
    /// Sends to backend servers.
    pub sends: u32,
    /// Sends beyond the first of each part.
    pub repeats: u32,
    /// Repeated sends that the budget did not allow.
    pub over_budget: u32,
    /// Parts that are missing, with the reason of each and the servers of the
    /// service that could be used now, `service:reason:usable/known`.
    pub missing: Vec<String>,
    /// The server whose response was passed on, or that failed last.
    pub server: Option<Arc<str>>,
}

/// What the forwarder now believes of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerEvent {
    /// A call on it is unanswered for this long, so requests go elsewhere.
    Stalled {
        /// Time since the call was sent.
        unanswered: Duration,
    },
    /// It answers again after it was stalled or could not be reached.
    Recovered,
    /// No connection to it can be opened.
    Unreachable {
        /// Time until the next attempt.
        retry_in: Duration,
    },
    /// Another server has its address.
    AddressTaken,
    /// It says that it is about to stop, so it gets no new requests.
    Stopping,
    /// It wants no request for this long.
    BackOff {
        /// The time.
        wait: Duration,
    },
    /// It states a time to be left alone that cannot be read and is ignored.
    InvalidRetryAfter,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Open a connection.
    Open {
        /// Key under which its events are reported.
        conn: ConnKey,
        /// Where to.
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
        /// How long the caller still waits.
        left: Millis,
        /// Set if the server is another daemon.
        delegation: Option<DelegationRequest>,
    },
    /// Close a connection, whatever runs on it. No event follows.
    Close {
        /// The connection.
        conn: ConnKey,
    },
    /// Log a change of belief.
    LogServerEvent {
        /// Id of the server.
        server: Arc<str>,
        /// The belief.
        event: ServerEvent,
    },
    /// A request has ended: answer its caller.
    Answer {
        /// The request.
        req: ReqKey,
        /// The answer, or `None` if the caller has left.
        answer: Option<Answer>,
        /// For its log line.
        summary: Summary,
    },
}
