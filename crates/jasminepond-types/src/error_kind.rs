//! All error kinds and how each is reported to callers.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Whether a request that ended in an error may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Whether an error response includes a retry delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAfter {
    /// No delay: retrying the same request does not help.
    Never,
    /// The response includes a delay after which to retry.
    Stated,
}

/// How an [`ErrorKind`] is reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request may have run.
    pub run: RunStatus,
    /// Whether the response includes a retry delay.
    pub retry_after: RetryAfter,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal, $run:ident, $retry:ident;)*) => {
        /// Reason why a request is rejected or fails.
        ///
        /// ```
        /// use jasminepond_types::{ErrorKind, RunStatus};
        ///
        /// let kind: ErrorKind = "overloaded".parse().unwrap();
        /// assert_eq!(kind.response().status, 503);
        /// assert_eq!(kind.response().run, RunStatus::NotRun);
        /// ```
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $name,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the documented table.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Name of the kind in responses, metrics and logs.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// How the kind is reported to callers.
            pub const fn response(self) -> ErrorResponse {
                match self {
                    $(Self::$name => ErrorResponse {
                        status: $status,
                        run: RunStatus::$run,
                        retry_after: RetryAfter::$retry,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The request is malformed.
    BadRequest = "bad_request", 400, NotRun, Never;
    /// The deadline is missing, zero or above the limit.
    BadDeadline = "bad_deadline", 400, NotRun, Never;
    /// The tenant is not configured.
    UnknownTenant = "unknown_tenant", 403, NotRun, Never;
    /// The class is not configured.
    UnknownClass = "unknown_class", 400, NotRun, Never;
    /// The group is not configured.
    UnknownGroup = "unknown_group", 404, NotRun, Never;
    /// The path does not exist.
    NotFound = "not_found", 404, NotRun, Never;
    /// The path does not support the method.
    MethodNotAllowed = "method_not_allowed", 405, NotRun, Never;
    /// The request was not received completely in time.
    SlowRequest = "slow_request", 408, NotRun, Never;
    /// The body exceeds the limit.
    BodyTooLarge = "body_too_large", 413, NotRun, Never;
    /// The headers exceed the limit.
    HeadersTooLarge = "headers_too_large", 431, NotRun, Never;
    /// The request key was not issued by this deployment.
    InvalidKey = "invalid_key", 400, NotRun, Never;
    /// The key was already used for another request, which may have run.
    KeyReused = "key_reused", 409, Unknown, Never;
    /// The tenant has reached its limit.
    TenantLimit = "tenant_limit", 429, NotRun, Stated;
    /// The daemons or the backend servers have no capacity before the deadline.
    Overloaded = "overloaded", 503, NotRun, Stated;
    /// The daemon is shutting down.
    Draining = "draining", 503, NotRun, Stated;
    /// The daemon has no configuration yet or has just resumed from a pause.
    NotReady = "not_ready", 503, NotRun, Stated;
    /// The request is presumed to end the backend servers that run it.
    Quarantined = "quarantined", 503, NotRun, Stated;
    /// No backend server can take the request.
    NoBackend = "no_backend", 503, NotRun, Stated;
    /// The deadline passed before the request was sent to a backend server.
    DeadlineNotRun = "deadline_not_run", 504, NotRun, Stated;
    /// The request was sent or forwarded, and its outcome is unknown.
    OutcomeUnknown = "outcome_unknown", 502, Unknown, Never;
    /// A defect in the daemon.
    Internal = "internal", 500, Unknown, Never;
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A text is not the name of an [`ErrorKind`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown error kind {0:?}")]
pub struct ParseErrorKindError(String);

impl FromStr for ErrorKind {
    type Err = ParseErrorKindError;

    fn from_str(text: &str) -> Result<Self, ParseErrorKindError> {
        Self::ALL
            .iter()
            .copied()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| ParseErrorKindError(text.to_owned()))
    }
}
