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
    /// Identifies one request. Chosen by the caller; unique among the work
    /// queued or running at one server.
    WorkId
}
number_id! {
    /// Identifies one connection to a server. Chosen by the caller when the
    /// connection is established, and never reused.
    ConnId
}

/// One request that waits for a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Identifies the work in every later event and action.
    pub id: WorkId,
    /// The tenant on whose behalf the request is made.
    pub tenant: TenantId,
    /// Fair-share weight of the tenant within its class; zero counts as one.
    pub weight: Weight,
    /// Priority of the class. A higher number is served first.
    pub priority: u32,
    /// Time by which the owner must have the response.
    pub deadline: Timestamp,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
}

/// Result of offering work to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Enqueue {
    /// The work waits. Exactly one later action or event ends it.
    Queued,
    /// The work was refused and did not run.
    Refused {
        /// Why it was refused.
        kind: ErrorKind,
        /// Estimated time until the same request may be accepted.
        retry_after: Millis,
    },
}

/// An action that the owner performs for the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request of `work` over `conn`. Ended by
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
    /// [`connect_failed`](crate::ServerQueue::connect_failed). The caller
    /// applies a timeout to the attempt.
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

/// Result of a request that was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server ran the request.
    Done,
    /// The server reported an error; the request may have run.
    Failed,
    /// The request certainly did not run.
    NotRun {
        /// The reason that the server reported or the caller observed.
        reason: NotRun,
        /// The retry-after in the server's response, if any.
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
    /// The deadline had passed when the server examined the request.
    Deadline,
    /// No byte of the request was written, for example because the server had
    /// closed the idle connection. The work may be enqueued again; the
    /// connection is closed.
    NotSent,
}

/// State that a server reports in response to a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Not ready yet.
    Starting,
    /// Shutting down.
    Draining,
}

/// Effect of a closed connection on the work that ran on it.
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

/// Result of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The work was still queued and did not run.
    Removed,
    /// The work is running: ask the server to cancel it. The work has ended for
    /// the caller; the connection stays unusable until its response is drained.
    SendCancel {
        /// The connection on which the request was sent.
        conn: ConnId,
        /// An idle connection for the cancel request; report
        /// [`checked`](crate::ServerQueue::checked) with its response. `None`
        /// if there is none: the response of the work is then awaited and
        /// discarded.
        via: Option<ConnId>,
    },
    /// The work has already ended.
    AlreadyEnded,
}

/// Condition of a server as observed by its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Health {
    /// Healthy and past its ramp-up.
    Ready,
    /// New or recovered; the slot limit rises with successful requests.
    Ramping,
    /// Most recent requests failed.
    Failing,
    /// Cannot be reached; probed with one connection at a time.
    Down,
    /// Shutting down; accepts no new work.
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
    /// Current slot limit.
    pub slots: u32,
    /// Median service time in microseconds.
    pub service_us: u32,
    /// Condition of the server.
    pub health: Health,
}
