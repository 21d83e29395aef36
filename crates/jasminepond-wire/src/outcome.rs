//! Outcome of a non-idempotent request.

use bytes::Bytes;
use jasminepond_types::{ErrorKind, Millis, RunStatus};
use serde::{Deserialize, Serialize};

/// Outcome of a non-idempotent request.
///
/// A code or error kind that a newer minor version added never decodes to a stronger
/// guarantee than the sender gave: an unknown code becomes
/// [`ExecuteOutcome::Unknown`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Repr", into = "Repr")]
pub enum ExecuteOutcome {
    /// The request ran.
    Done {
        /// JSON text of the result.
        result: Bytes,
    },
    /// The request certainly did not run.
    NotRun {
        /// A kind whose [`RunStatus`] is `NotRun`.
        kind: ErrorKind,
        /// Delay after which the caller may retry.
        retry_after: Option<Millis>,
    },
    /// The request may have run.
    Unknown {
        /// A kind whose [`RunStatus`] is `Unknown`.
        kind: ErrorKind,
        /// Details for operators and for the message to the caller.
        detail: Box<str>,
    },
}

impl ExecuteOutcome {
    /// Outcome of a request that failed with `kind`: [`Self::NotRun`] only if `kind`
    /// guarantees that the request did not run.
    ///
    /// ```
    /// use jasminepond_types::ErrorKind;
    /// use jasminepond_wire::ExecuteOutcome;
    ///
    /// let draining = ExecuteOutcome::error(ErrorKind::Draining, None);
    /// assert!(matches!(draining, ExecuteOutcome::NotRun { .. }));
    /// let reused = ExecuteOutcome::error(ErrorKind::KeyReused, None);
    /// assert!(matches!(reused, ExecuteOutcome::Unknown { .. }));
    /// ```
    pub fn error(kind: ErrorKind, retry_after: Option<Millis>) -> Self {
        match kind.response().run {
            RunStatus::NotRun => Self::NotRun { kind, retry_after },
            RunStatus::Unknown => Self::Unknown {
                kind,
                detail: Box::default(),
            },
        }
    }
}

const DONE: u8 = 0;
const NOT_RUN: u8 = 1;
const UNKNOWN: u8 = 2;

#[derive(Serialize, Deserialize)]
struct Repr {
    code: u8,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    result: Option<Bytes>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    kind: Option<Box<str>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    retry_after: Option<Millis>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    detail: Option<Box<str>>,
}

impl Repr {
    const fn new(code: u8) -> Self {
        Self {
            code,
            result: None,
            kind: None,
            retry_after: None,
            detail: None,
        }
    }

    fn kind(&self) -> Option<ErrorKind> {
        self.kind.as_deref()?.parse().ok()
    }

    fn unknown(self) -> ExecuteOutcome {
        let kind = self
            .kind()
            .filter(|kind| kind.response().run == RunStatus::Unknown);
        ExecuteOutcome::Unknown {
            kind: kind.unwrap_or(ErrorKind::OutcomeUnknown),
            detail: self.detail.unwrap_or_default(),
        }
    }

    fn not_run(self) -> ExecuteOutcome {
        match self.kind() {
            Some(kind) if kind.response().run == RunStatus::Unknown => self.unknown(),
            kind => ExecuteOutcome::NotRun {
                kind: kind.unwrap_or(ErrorKind::Overloaded),
                retry_after: self.retry_after,
            },
        }
    }
}

impl From<Repr> for ExecuteOutcome {
    fn from(mut repr: Repr) -> Self {
        match (repr.code, repr.result.take()) {
            (DONE, Some(result)) => Self::Done { result },
            (NOT_RUN, _) => repr.not_run(),
            _ => repr.unknown(),
        }
    }
}

impl From<ExecuteOutcome> for Repr {
    fn from(outcome: ExecuteOutcome) -> Self {
        match outcome {
            ExecuteOutcome::Done { result } => Self {
                result: Some(result),
                ..Self::new(DONE)
            },
            ExecuteOutcome::NotRun { kind, retry_after } => Self {
                kind: Some(kind.as_str().into()),
                retry_after,
                ..Self::new(NOT_RUN)
            },
            ExecuteOutcome::Unknown { kind, detail } => Self {
                kind: Some(kind.as_str().into()),
                detail: Some(detail),
                ..Self::new(UNKNOWN)
            },
        }
    }
}
