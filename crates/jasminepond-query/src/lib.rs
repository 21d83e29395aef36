//! The aggregates of a request: one search at its entry daemon, and one
//! non-idempotent request at the daemon that issued its key.
//!
//! Both are state machines: an event and the present time go in, a list of steps
//! comes out. Nothing here opens a socket, reads a clock or starts a task.
//!
//! * [`Search`] answers from one version, counts each shard once and finishes
//!   exactly once.
//! * [`KeyTable`] lets each request key run at most once.
//! * [`Execution`] sends one request to one server at a time and reports "not
//!   run" only where that is certain.

mod candidates;
mod execution;
mod key;
mod key_table;
mod search;

pub use candidates::{Candidates, Choice};
pub use execution::{ExecuteChooser, ExecuteSettings, ExecuteStep, Execution, ExecutionAttempt};
pub use jasminepond_wire::{ExecuteOutcome, Hit, InvalidScore, KeyRing, Score};
pub use key::{KeyOrigin, ParseKeyError, RequestDigest, RequestKey};
pub use key_table::{Begin, ExecutionId, KeySettings, KeyTable, Refusal};
pub use search::{
    Answer, AttemptId, Chooser, Coverage, Failure, MissingReason, NoVersions, Objective, Plan,
    RankedHit, Search, SearchSettings, ShardAnswer, ShardMap, Step,
};
