//! What can be wrong with a scenario.

use std::{fmt, sync::Arc};

/// A scenario that cannot be read or names something that does not exist.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: expected {expected}, found {found}")]
pub struct Error {
    /// The file.
    pub file: Arc<str>,
    /// The line, from 1.
    pub line: usize,
    /// The column in bytes, from 1.
    pub column: usize,
    /// What may stand there.
    pub expected: String,
    /// What stands there.
    pub found: String,
}

/// An expectation that does not hold.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Failure {
    /// The file.
    pub file: Arc<str>,
    /// The line of the expectation, from 1.
    pub line: usize,
    /// The row of the table, if the scenario has one.
    pub case: Option<String>,
    /// What was expected.
    pub expected: String,
    /// What came out.
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

/// Why a scenario does not pass.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RunError {
    /// It cannot be read.
    #[error(transparent)]
    Invalid(#[from] Error),
    /// An expectation does not hold.
    #[error(transparent)]
    Failed(#[from] Failure),
}
