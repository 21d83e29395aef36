//! What the runner needs from a machine.

use std::fmt;

use jasminepond_types::Timestamp;

use crate::{Error, args::Args, machines};

/// One output: words in order, then named fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Out {
    pub(crate) words: Vec<String>,
    pub(crate) fields: Vec<(&'static str, String)>,
    /// Whether a scenario may leave it out.
    pub(crate) optional: bool,
}

impl Out {
    pub(crate) fn new<const N: usize>(words: [&dyn fmt::Display; N]) -> Self {
        Self {
            words: words.iter().map(|w| w.to_string()).collect(),
            ..Self::default()
        }
    }

    pub(crate) fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.fields.push((name, value.to_string()));
        self
    }

    pub(crate) fn optional(mut self) -> Self {
        self.optional = true;
        self
    }

    /// Whether all words are equal and every named field has the value.
    pub(crate) fn matches(&self, words: &[String], fields: &[(&str, String)]) -> bool {
        let has = |(name, value): &(&str, String)| {
            let mut fields = self.fields.iter();
            fields.any(|(n, v)| n == name && v == value)
        };
        self.words == words && fields.iter().all(has)
    }
}

impl fmt::Display for Out {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.words.join(" "))?;
        for (name, value) in &self.fields {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

/// Renders a list in the form of the language.
pub(crate) fn list<T: fmt::Display>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<String> = items.into_iter().map(|i| i.to_string()).collect();
    format!("[{}]", items.join(" "))
}

/// One or more decision state machines behind a driver.
pub(crate) trait Machine {
    /// A line before the first event.
    fn setup(&mut self, word: &str, args: &mut Args<'_>) -> Result<(), Error>;

    /// An event; returns what the machine wants done.
    fn event(&mut self, now: Timestamp, word: &str, args: &mut Args<'_>)
    -> Result<Vec<Out>, Error>;

    /// The value of a state; `None` if there is none of this name.
    fn state(
        &mut self,
        now: Timestamp,
        args: &mut Args<'_>,
        key: &str,
    ) -> Result<Option<String>, Error>;

    /// A guarantee that no longer holds, whatever the scenario expects.
    fn violation(&self) -> Option<String> {
        None
    }

    /// The earliest timer, which the scenario must name with a `tick`.
    fn next_timer(&self) -> Option<Timestamp> {
        None
    }
}

/// Makes a machine from the options of its line, without one mechanism if named.
pub(crate) type Constructor = fn(&mut Args<'_>, Option<&str>) -> Result<Box<dyn Machine>, Error>;

/// Words that one kind of machine understands.
pub(crate) struct Spec {
    pub(crate) name: &'static str,
    pub(crate) setup: &'static [&'static str],
    pub(crate) events: &'static [&'static str],
    pub(crate) outputs: &'static [&'static str],
    /// Mechanisms that can be switched off.
    pub(crate) mechanisms: &'static [&'static str],
    pub(crate) new: Constructor,
}

pub(crate) const MACHINES: &[&Spec] = &[
    &machines::search::SPEC,
    &machines::execute::SPEC,
    &machines::dispatch::SPEC,
    &machines::routing::SPEC,
    &machines::config::SPEC,
    &machines::membership::SPEC,
];
