//! The events and actions of a [`ServerQueue`](crate::ServerQueue).

use std::{fmt, num::ParseIntError, str::FromStr};

use jasminepond_types::{ErrorKind, Millis, TenantId, Timestamp, Weight};

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

number_id! {
    /// One request for a server. The caller chooses it; it is unique among the
    /// work queued or running at one server.
    WorkId
}
number_id! {
    /// One connection to a server. The caller chooses it when the connection
    /// is established and never uses it again for another connection.
    ConnId
}

/// One request that waits for a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Identifies the work in every later event and action.
    pub id: WorkId,
    /// The tenant on whose behalf the request is made.
    pub tenant: TenantId,
    /// Share of the tenant within its class; zero counts as one.
    pub weight: Weight,
    /// Priority of the class. A higher number is served first.
    pub priority: u32,
    /// When the response must be at the owner.
    pub deadline: Timestamp,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
}

/// What became of work offered to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Enqueue {
    /// The work waits and ends later by exactly one other action or event.
    Queued,
    /// The work was not taken and did not run.
    Refused {
        /// Why it was refused.
        kind: ErrorKind,
        /// When the same request has a chance of being accepted.
        retry_after: Millis,
    },
}

/// What the owner does next for the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request of `work` over `conn`. Ends by
    /// [`completed`](crate::ServerQueue::completed),
    /// [`closed`](crate::ServerQueue::closed) or
    /// [`cancel`](crate::ServerQueue::cancel).
    Start {
        /// The request to send.
        work: WorkId,
        /// The connection to use.
        conn: ConnId,
    },
    /// Open one connection, then report
    /// [`connected`](crate::ServerQueue::connected) or
    /// [`connect_failed`](crate::ServerQueue::connect_failed). The caller limits
    /// the time of the attempt.
    Connect,
    /// Close the connection, then report [`closed`](crate::ServerQueue::closed).
    Close {
        /// The connection to close.
        conn: ConnId,
    },
    /// Send a health request over the idle connection, then report
    /// [`checked`](crate::ServerQueue::checked) or
    /// [`closed`](crate::ServerQueue::closed).
    Check {
        /// The connection to check.
        conn: ConnId,
    },
    /// Queued work has ended without being sent.
    Discard {
        /// The work that ended.
        work: WorkId,
        /// Why it did not run.
        kind: ErrorKind,
    },
    /// Nothing to do until the next event or until the given time.
    Idle {
        /// When to call [`next`](crate::ServerQueue::next) again even without
        /// an event.
        until: Option<Timestamp>,
    },
}

/// How a request that was started has ended, with its response complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server ran the request.
    Done,
    /// The server reported an error; the request may have run.
    Failed,
    /// The request certainly did not run.
    NotRun {
        /// The reason that the server gave or the caller observed.
        reason: NotRun,
        /// The server's own retry-after, if any.
        retry_after: Option<Millis>,
    },
    /// The server confirmed a cancellation.
    Cancelled,
}

/// Why a started request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// The server had no slot left.
    Shed,
    /// The server is shutting down.
    Draining,
    /// The server is not ready yet.
    Starting,
    /// The server does not hold the requested version.
    VersionUnavailable,
    /// The deadline had passed when the server looked at the request.
    Deadline,
    /// No byte of the request was written, for example because the server had
    /// closed the idle connection. The work may be enqueued again; the
    /// connection is closed.
    NotSent,
}

/// What a server reports about itself when checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Not ready yet.
    Starting,
    /// Shutting down.
    Draining,
}

/// What a closed connection means for the work that ran on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostWork {
    /// No work was running on the connection.
    None,
    /// The work is idempotent and may be retried on another server.
    Retryable {
        /// The work that ended.
        work: WorkId,
    },
    /// The request may have run; it must not be sent again.
    OutcomeUnknown {
        /// The work that ended.
        work: WorkId,
    },
}

/// What a cancellation did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The work was still queued and did not run.
    Removed,
    /// The work is running: ask the server to cancel it. The work has ended for
    /// the caller; the connection stays unusable until its response is drained.
    SendCancel {
        /// The connection on which the request was sent.
        conn: ConnId,
        /// An idle connection for the cancel request. Report
        /// [`checked`](crate::ServerQueue::checked) with its response. Without
        /// one, the response is awaited and dropped.
        via: Option<ConnId>,
    },
    /// The work has already ended.
    AlreadyEnded,
}

/// Condition of a server as its owner sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Health {
    /// Works at its full number of slots.
    Ready,
    /// New or returned; the number of slots in use rises with successes.
    Ramping,
    /// Most of the last requests failed.
    Failing,
    /// Cannot be reached; probed with one request at a time.
    Down,
    /// Is leaving; takes no new work.
    Draining,
}

/// The state of a server that its owner sends with each response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hint {
    /// Requests waiting in all classes.
    pub queued: u32,
    /// Highest priority among the waiting requests, zero if none waits. Work of
    /// a higher class waits only for a slot.
    pub top_priority: u32,
    /// Requests waiting in the class of that priority.
    pub top_queued: u32,
    /// Slots in use.
    pub running: u32,
    /// Slots that the owner currently uses at most.
    pub slots: u32,
    /// Median service time in microseconds.
    pub service_us: u32,
    /// Condition of the server.
    pub health: Health,
}
