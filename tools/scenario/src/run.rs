//! Scenario runner.

use std::{collections::VecDeque, time::Duration};

use jasminepond_types::Timestamp;

use crate::{
    Error, Failure, RunError, Scenario,
    args::Args,
    machine::{Machine, Out},
    scenario::{Case, Without},
    syntax::Line,
};

/// Statistics of a passed scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Report {
    /// Number of table rows, or 1 without a table.
    pub cases: usize,
    /// Number of expectations that held.
    pub checks: usize,
    /// Number of mechanisms without which the scenario failed as expected.
    pub without: usize,
}

/// Runs all rows of a scenario, then again without each mechanism that it names.
/// Without a mechanism, at least one row must fail with the stated message.
///
/// # Errors
///
/// The first failed expectation or invalid argument.
pub fn run(scenario: &Scenario) -> Result<Report, RunError> {
    let mut report = Report::default();
    for case in &scenario.cases {
        report.checks += Run::new(scenario, case, None)?.run()?;
        report.cases += 1;
    }
    for without in &scenario.without {
        run_without(scenario, without)?;
        report.without += 1;
    }
    Ok(report)
}

/// Continues after a failure, so that the message can also match a consequence, such
/// as a second run, and not only the first output that differs.
fn run_without(scenario: &Scenario, without: &Without) -> Result<(), RunError> {
    let mut actual = Vec::new();
    for case in &scenario.cases {
        let run = Run::new(scenario, case, Some(&without.mechanism))?;
        let failures = run.failures()?;
        let text = |f: &Failure| format!("expected {}, came out: {}", f.expected, f.actual);
        actual.extend(failures.iter().map(text));
    }
    let (mechanism, message) = (&without.mechanism, &without.message);
    if actual.iter().any(|text| text.contains(message)) {
        return Ok(());
    }
    if actual.is_empty() {
        actual.push("the scenario passed".into());
    }
    Err(RunError::Failed(Failure {
        file: without.line.file.clone(),
        line: without.line.number,
        case: None,
        expected: format!("a failure with {message:?} without {mechanism}"),
        actual: actual.join("; "),
        events: Vec::new(),
    }))
}

struct Run<'a> {
    case: &'a Case,
    machine: Box<dyn Machine>,
    /// Whether a mechanism is disabled.
    without: bool,
    now: Timestamp,
    pending: VecDeque<Out>,
    events: Vec<String>,
    checks: usize,
}

impl<'a> Run<'a> {
    fn new(scenario: &Scenario, case: &'a Case, without: Option<&str>) -> Result<Self, Error> {
        let mut args = Args::new(&scenario.machine, 2);
        let machine = (scenario.spec.new)(&mut args, without)?;
        args.expect_end()?;
        Ok(Self {
            case,
            machine,
            without: without.is_some(),
            now: Timestamp::ZERO,
            pending: VecDeque::new(),
            events: Vec::new(),
            checks: 0,
        })
    }

    fn run(mut self) -> Result<usize, RunError> {
        let lines = &self.case.lines;
        lines.iter().try_for_each(|line| self.line(line))?;
        if let Some(line) = lines.last() {
            self.expect_no_output(line)?;
        }
        Ok(self.checks)
    }

    /// Runs all lines and returns every failure. An invalid line after a failure,
    /// such as an answer to a request that was never sent, ends the run.
    fn failures(mut self) -> Result<Vec<Failure>, Error> {
        let mut failures = Vec::new();
        for line in &self.case.lines {
            match self.line(line) {
                Ok(()) => {}
                Err(RunError::Failed(failure)) => failures.push(failure),
                Err(RunError::Invalid(_)) if !failures.is_empty() => return Ok(failures),
                Err(RunError::Invalid(error)) => return Err(error),
            }
        }
        if let Some(Err(RunError::Failed(failure))) = self
            .case
            .lines
            .last()
            .map(|line| self.expect_no_output(line))
        {
            failures.push(failure);
        }
        Ok(failures)
    }

    fn line(&mut self, line: &Line) -> Result<(), RunError> {
        match line.tokens[0].to_string().as_str() {
            "at" => self.event(line),
            "expect" => self.expect(line),
            "check" => self.check(line),
            word => {
                let mut args = Args::new(line, 1);
                self.machine.setup(word, &mut args)?;
                Ok(args.expect_end()?)
            }
        }
    }

    fn event(&mut self, line: &Line) -> Result<(), RunError> {
        let left = self.expect_no_output(line);
        if !self.without {
            left?;
            self.check_timers(line)?;
            return self.apply(line);
        }
        self.apply(line).and(left)
    }

    /// Rejects an event that is later than a pending timer: a `tick` must come first.
    fn check_timers(&self, line: &Line) -> Result<(), Error> {
        let at = Timestamp::ZERO + Args::new(line, 1).time("a time")?;
        match self.machine.next_timer() {
            Some(due) if due < at => {
                let expected = format!(
                    "`at {} tick` first, for the timer due then",
                    format_time(due)
                );
                Err(Args::new(line, 1).error(&expected))
            }
            _ => Ok(()),
        }
    }

    fn apply(&mut self, line: &Line) -> Result<(), RunError> {
        let mut args = Args::new(line, 1);
        let at = Timestamp::ZERO + args.time("a time")?;
        if at < self.now {
            let expected = format!("a time not before {}", format_time(self.now));
            return Err(Args::new(line, 1).error(&expected).into());
        }
        self.now = at;
        self.events.push(line.to_string());
        let word = args.word("an event")?;
        let outs = self.machine.event(at, word, &mut args)?;
        args.expect_end()?;
        for out in &outs {
            self.events.push(format!("  -> {out}"));
        }
        self.pending = outs.into();
        match self.machine.violation() {
            Some(violation) => Err(self.failure(line, "the guarantee to hold".into(), violation)),
            None => Ok(()),
        }
    }

    fn expect(&mut self, line: &Line) -> Result<(), RunError> {
        let mut args = Args::new(line, 1);
        let fields = args.keys();
        let mut words = Vec::new();
        while args.expect_end().is_err() {
            words.push(args.token("a word")?.value.to_string());
        }
        if words == ["nothing"] {
            self.checks += 1;
            return self.expect_no_output(line);
        }
        while let Some(out) = self.pending.pop_front() {
            if out.matches(&words, &fields) {
                self.checks += 1;
                return Ok(());
            }
            if !out.optional {
                return Err(self.failure(line, arguments(line), out.to_string()));
            }
        }
        Err(self.failure(line, arguments(line), "nothing".into()))
    }

    fn check(&mut self, line: &Line) -> Result<(), RunError> {
        let fields = Args::new(line, 1).keys();
        if fields.is_empty() {
            return Err(Args::new(line, 1).error("name=value").into());
        }
        for (key, expected) in fields {
            let mut args = Args::new(line, 1);
            let Some(value) = self.machine.state(self.now, &mut args, key)? else {
                let token = line.tokens.iter().find(|t| t.key.as_deref() == Some(key));
                let column = token.map_or(1, |t| t.column);
                let expected = "the name of a state, see docs/SCENARIOS.md".into();
                return Err(line.error(column, expected, format!("`{key}`")).into());
            };
            args.keys();
            args.expect_end()?;
            self.events.push(format!("{line}  -> {key}={value}"));
            if value != expected {
                return Err(self.failure(line, arguments(line), format!("{key}={value}")));
            }
            self.checks += 1;
        }
        Ok(())
    }

    fn expect_no_output(&mut self, line: &Line) -> Result<(), RunError> {
        let mut pending = std::mem::take(&mut self.pending).into_iter();
        match pending.find(|out| !out.optional) {
            Some(out) => Err(self.failure(line, "nothing more".into(), out.to_string())),
            None => Ok(()),
        }
    }

    fn failure(&self, line: &Line, expected: String, actual: String) -> RunError {
        RunError::Failed(Failure {
            file: line.file.clone(),
            line: line.number,
            case: self.case.label.clone(),
            expected,
            actual,
            events: self.events.clone(),
        })
    }
}

fn arguments(line: &Line) -> String {
    let words: Vec<String> = line.tokens[1..].iter().map(ToString::to_string).collect();
    words.join(" ")
}

/// Formats a time in the syntax of the scenario language.
pub(crate) fn format_time(at: Timestamp) -> String {
    format_duration(at.since(Timestamp::ZERO))
}

pub(crate) fn format_duration(time: Duration) -> String {
    let micros = time.as_micros();
    match micros % 1_000 {
        0 => format!("{}ms", micros / 1_000),
        _ => format!("{micros}us"),
    }
}
