//! Errors of parsing and running a scenario.

use std::{fmt, sync::Arc};

/// A syntax error in a scenario, or a reference to something that does not exist.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: expected {expected}, found {found}")]
pub struct Error {
    /// The file.
    pub file: Arc<str>,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in bytes, counted from 1.
    pub column: usize,
    /// What the parser expected there.
    pub expected: String,
    /// What the parser found there.
    pub found: String,
}

/// A failed expectation.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Failure {
    /// The file.
    pub file: Arc<str>,
    /// The line of the expectation, counted from 1.
    pub line: usize,
    /// The table row, if the scenario has a table.
    pub case: Option<String>,
    /// The expected output or state.
    pub expected: String,
    /// The actual output or state.
    pub actual: String,
    /// The events and outputs so far.
    pub events: Vec<String>,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if let Some(case) = &self.case {
            write!(f, "row {case}: ")?;
        }
        writeln!(f, "expected {}", self.expected)?;
        writeln!(f, "  came out: {}", self.actual)?;
        f.write_str("  events so far:")?;
        for event in &self.events {
            write!(f, "\n    {event}")?;
        }
        Ok(())
    }
}

/// Why a scenario did not pass.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RunError {
    /// The scenario is invalid.
    #[error(transparent)]
    Invalid(#[from] Error),
    /// An expectation failed.
    #[error(transparent)]
    Failed(#[from] Failure),
}
