//! A scenario language for testing the decision crates, and its runner.
//!
//! A scenario is a file that names a machine, its events with their exact virtual
//! times, and the expected outputs. The machines are the decision crates behind
//! thin drivers; there are no sockets, clocks or tasks. The grammar is in
//! `docs/SCENARIOS.md`.
//!
//! ```
//! let text = r#"
//! scenario "one shard answers"
//! guards P2
//! machine search deadline=250ms
//! version 42 shards a=[a1]
//! at 0ms start
//! expect send a a1 v42
//! at 3ms answer a1 v42 count=2
//! expect finish v42 answered=1 of=1 count=2
//! "#;
//! let scenario = jasminepond_scenario::Scenario::parse("one.scn", text)?;
//! let report = jasminepond_scenario::run(&scenario)?;
//! assert_eq!(report.cases, 1);
//! # Ok::<(), jasminepond_scenario::RunError>(())
//! ```

mod args;
mod cli;
mod error;
mod machine;
mod machines;
mod net;
mod run;
mod scenario;
mod syntax;

pub use cli::{Options, Outcome, run_files};
pub use error::{Error, Failure, RunError};
pub use run::{Report, run};
pub use scenario::Scenario;
