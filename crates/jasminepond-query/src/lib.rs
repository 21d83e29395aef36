//! State machines for searches at their entry daemon and for non-idempotent
//! requests at the daemon that issued their key.
//!
//! Each call takes an event and the current time and returns the steps to carry
//! out. The crate performs no I/O, reads no clock and spawns no tasks.
//!
//! * [`Search`] answers from one version, counts each shard once and finishes
//!   exactly once.
//! * [`KeyTable`] ensures that each request key runs at most once.
//! * [`Execution`] sends a request to one server at a time and reports "not run"
//!   only if that is certain.

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
