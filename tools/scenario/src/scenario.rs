//! Parser of scenario files.

use std::sync::Arc;

use crate::{
    Error,
    args::{Args, one_of},
    machine::{MACHINES, Spec},
    syntax::{Line, Token, Value, lines, tokens},
};

const GUARANTEES: &[&str] = &["P1", "P2", "P3", "P4", "P5", "P6", "P7", "P8"];

/// The lines of a scenario with the values of one table row substituted.
pub(crate) struct Case {
    pub(crate) label: Option<String>,
    pub(crate) lines: Vec<Line>,
}

/// An `expect-without` line: a mechanism without which the scenario must fail.
pub(crate) struct Without {
    pub(crate) line: Line,
    pub(crate) mechanism: String,
    /// Text that the failure message must contain.
    pub(crate) message: String,
}

/// A parsed scenario.
pub struct Scenario {
    /// One-line description.
    pub title: String,
    /// The guarantees that it tests.
    pub guarantees: Vec<String>,
    /// The faults that it injects.
    pub faults: Vec<String>,
    pub(crate) spec: &'static Spec,
    pub(crate) machine: Line,
    pub(crate) cases: Vec<Case>,
    pub(crate) without: Vec<Without>,
}

#[derive(Default)]
struct Draft {
    title: Option<String>,
    guarantees: Vec<String>,
    faults: Vec<String>,
    machine: Option<(Line, &'static Spec)>,
    columns: Vec<String>,
    rows: Vec<(String, Vec<Vec<Token>>)>,
    without: Vec<Without>,
    body: Vec<Line>,
}

impl Scenario {
    /// Parses a scenario. Keywords are checked here, the values of arguments when
    /// the scenario runs.
    ///
    /// # Errors
    ///
    /// The first syntax error, with its location and what was expected.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let file: Arc<str> = file.into();
        let mut draft = Draft::default();
        for line in lines(&file, text)? {
            draft.add_line(line)?;
        }
        draft.finish(&file)
    }

    /// The mechanisms without which the scenario must fail.
    pub fn mechanisms(&self) -> impl Iterator<Item = &str> {
        self.without.iter().map(|w| w.mechanism.as_str())
    }
}

impl Draft {
    fn add_line(&mut self, line: Line) -> Result<(), Error> {
        let mut args = Args::new(&line, 1);
        match line.tokens[0].to_string().as_str() {
            "scenario" => self.title = Some(args.text("a quoted title")?.into()),
            "guards" => {
                self.guarantees.push(args.one_of(GUARANTEES)?.into());
                while args.expect_end().is_err() {
                    self.guarantees.push(args.one_of(GUARANTEES)?.into());
                }
            }
            "fault" => self.faults.push(args.text("a quoted fault")?.into()),
            "machine" => {
                let names: Vec<&str> = MACHINES.iter().map(|spec| spec.name).collect();
                let name = args.one_of(&names)?;
                let spec = MACHINES.iter().find(|spec| spec.name == name);
                self.machine = spec.map(|spec| (line.clone(), *spec));
                return Ok(());
            }
            "table" => {
                while args.expect_end().is_err() {
                    self.columns.push(args.word("the name of a column")?.into());
                }
            }
            "row" => self.row(&line, &mut args)?,
            "expect-without" => self.without(&line, &mut args)?,
            _ => {
                self.body.push(line);
                return Ok(());
            }
        }
        args.expect_end()
    }

    fn row(&mut self, line: &Line, args: &mut Args<'_>) -> Result<(), Error> {
        let mut cells = Vec::new();
        for column in &self.columns {
            let token = args.token(&format!("a value for {column}"))?;
            cells.push(match &token.value {
                Value::Text(text) => tokens(line, text, token.column)?,
                _ => vec![token.clone()],
            });
        }
        self.rows.push((line.to_string(), cells));
        Ok(())
    }

    fn without(&mut self, line: &Line, args: &mut Args<'_>) -> Result<(), Error> {
        let Some((_, spec)) = &self.machine else {
            return Err(args.error("a `machine` line before `expect-without`"));
        };
        self.without.push(Without {
            line: line.clone(),
            mechanism: args.one_of(spec.mechanisms)?.into(),
            message: args.text("a quoted part of the failure's message")?.into(),
        });
        Ok(())
    }

    fn finish(mut self, file: &Arc<str>) -> Result<Scenario, Error> {
        let missing = |what: &str| Error {
            file: file.clone(),
            line: 1,
            column: 1,
            expected: format!("a `{what}` line"),
            found: "none in the file".into(),
        };
        let title = self.title.take().ok_or_else(|| missing("scenario"))?;
        let (machine, spec) = self.machine.take().ok_or_else(|| missing("machine"))?;
        if self.guarantees.is_empty() {
            return Err(missing("guards"));
        }
        let cases = self.cases()?;
        for case in &cases {
            check_words(spec, &case.lines)?;
        }
        Ok(Scenario {
            title,
            guarantees: self.guarantees,
            faults: self.faults,
            spec,
            machine,
            cases,
            without: self.without,
        })
    }

    fn cases(&self) -> Result<Vec<Case>, Error> {
        if self.rows.is_empty() {
            let lines = self.body.clone();
            return Ok(vec![Case { label: None, lines }]);
        }
        let mut cases = Vec::new();
        for (label, cells) in &self.rows {
            let filled = self.body.iter().map(|line| self.substitute(line, cells));
            let mut lines = filled.collect::<Result<Vec<Line>, Error>>()?;
            lines.retain(|line| !line.tokens.is_empty());
            let label = Some(label.trim_start_matches("row ").to_owned());
            cases.push(Case { label, lines });
        }
        Ok(cases)
    }

    /// Replaces each `$column` with the value of the row. After `key=` only the
    /// first token of the value is used.
    fn substitute(&self, line: &Line, cells: &[Vec<Token>]) -> Result<Line, Error> {
        let mut filled = line.clone();
        filled.tokens.clear();
        for token in &line.tokens {
            match (&token.key, &token.value) {
                (None, Value::Word(word)) if word.starts_with('$') => {
                    let cell = self.cell(line, token, &word[1..], cells)?;
                    let column = token.column;
                    let moved = cell.iter().map(|t| Token {
                        column,
                        ..t.clone()
                    });
                    filled.tokens.extend(moved);
                }
                (_, Value::Word(word)) if word.starts_with('$') => {
                    let cell = self.cell(line, token, &word[1..], cells)?;
                    let value = cell.first().map(|t| t.value.clone());
                    filled.tokens.push(Token {
                        value: value.unwrap_or(Value::List(Vec::new())),
                        ..token.clone()
                    });
                }
                _ => filled.tokens.push(token.clone()),
            }
        }
        Ok(filled)
    }

    fn cell<'a>(
        &self,
        line: &Line,
        token: &Token,
        name: &str,
        cells: &'a [Vec<Token>],
    ) -> Result<&'a [Token], Error> {
        let at = self.columns.iter().position(|column| column == name);
        at.map(|at| &cells[at][..]).ok_or_else(|| {
            let columns: Vec<&str> = self.columns.iter().map(String::as_str).collect();
            let expected = format!("a column of the table: {}", one_of(&columns));
            line.error(token.column, expected, format!("`{token}`"))
        })
    }
}

fn check_words(spec: &Spec, lines: &[Line]) -> Result<(), Error> {
    let mut started = false;
    for line in lines {
        let mut args = Args::new(line, 0);
        let first = line.tokens[0].to_string();
        match first.as_str() {
            "at" => {
                args.word("`at`")?;
                args.time("a time such as 250ms")?;
                args.one_of(spec.events)?;
                started = true;
            }
            "expect" => {
                args.word("`expect`")?;
                let outputs: Vec<&str> = ["nothing"].iter().chain(spec.outputs).copied().collect();
                args.one_of(&outputs)?;
            }
            "check" => {}
            _ => {
                let setup = spec.setup.iter().filter(|_| !started);
                let words: Vec<&str> = ["at", "expect", "check"]
                    .iter()
                    .chain(setup)
                    .copied()
                    .collect();
                args.one_of(&words)?;
            }
        }
    }
    Ok(())
}
