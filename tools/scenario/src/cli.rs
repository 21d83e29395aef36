//! Command line: options, file handling and exit codes.

use std::{fs, path::PathBuf};

use crate::{RunError, Scenario, run};

/// Command-line options.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Scenario files.
    pub files: Vec<PathBuf>,
    /// Print a table row for each scenario instead of running it.
    pub list: bool,
}

/// Result of running the files.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Every scenario passed: exit code 0.
    Passed,
    /// An expectation failed: exit code 1.
    Failed,
    /// A file could not be read or is invalid: exit code 2.
    Unreadable,
}

impl Outcome {
    /// The exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Passed => 0,
            Self::Failed => 1,
            Self::Unreadable => 2,
        }
    }
}

/// Runs or lists the files and passes the result of each to `print`. Returns the
/// worst outcome of all files.
pub fn run_files(options: &Options, mut print: impl FnMut(&str)) -> Outcome {
    let mut worst = Outcome::Passed;
    for file in &options.files {
        let name = file.display().to_string();
        let (text, outcome) = match fs::read_to_string(file) {
            Ok(text) => run_file(&name, &text, options.list),
            Err(e) => (format!("{name}: {e}"), Outcome::Unreadable),
        };
        print(&text);
        if outcome.code() > worst.code() {
            worst = outcome;
        }
    }
    worst
}

fn run_file(name: &str, text: &str, list: bool) -> (String, Outcome) {
    let scenario = match Scenario::parse(name, text) {
        Ok(scenario) => scenario,
        Err(error) => return (error.to_string(), Outcome::Unreadable),
    };
    if list {
        return (table_row(name, &scenario), Outcome::Passed);
    }
    match run(&scenario) {
        Ok(report) => {
            let (cases, checks, without) = (report.cases, report.checks, report.without);
            let text =
                format!("ok {name}: {cases} cases, {checks} checks, fails without {without}");
            (text, Outcome::Passed)
        }
        Err(RunError::Invalid(error)) => (error.to_string(), Outcome::Unreadable),
        Err(RunError::Failed(failure)) => (format!("FAILED {failure}"), Outcome::Failed),
    }
}

/// The row of the scenario in the table of `docs/SCENARIOS.md`.
fn table_row(name: &str, scenario: &Scenario) -> String {
    let file = name.rsplit('/').next().unwrap_or(name);
    let guarantees = scenario.guarantees.join(" ");
    let faults = scenario.faults.join("; ");
    let mechanisms: Vec<&str> = scenario.mechanisms().collect();
    let mechanisms = mechanisms.join(", ");
    let title = &scenario.title;
    format!("| {guarantees} | `{file}` | {title} | {faults} | {mechanisms} |")
}
