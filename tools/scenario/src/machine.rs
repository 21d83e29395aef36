//! Interface between the runner and the machines.

use std::fmt;

use jasminepond_types::Timestamp;

use crate::{Error, args::Args, machines};

/// An output of a machine: words in order, then named fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Out {
    pub(crate) words: Vec<String>,
    pub(crate) fields: Vec<(&'static str, String)>,
    /// Whether the scenario may omit it.
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

    /// Whether the words are equal and each of `fields` has the given value.
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

/// Formats a list in the syntax of the scenario language.
pub(crate) fn list<T: fmt::Display>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<String> = items.into_iter().map(|i| i.to_string()).collect();
    format!("[{}]", items.join(" "))
}

/// A driver around one or more decision state machines.
pub(crate) trait Machine {
    /// Handles a setup line, before the first event.
    fn setup(&mut self, word: &str, args: &mut Args<'_>) -> Result<(), Error>;

    /// Handles an event and returns the outputs of the machine.
    fn event(&mut self, now: Timestamp, word: &str, args: &mut Args<'_>)
    -> Result<Vec<Out>, Error>;

    /// The value of the state variable `key`, or `None` if there is no such variable.
    fn state(
        &mut self,
        now: Timestamp,
        args: &mut Args<'_>,
        key: &str,
    ) -> Result<Option<String>, Error>;

    /// A violated invariant, which fails the scenario whatever it expects.
    fn violation(&self) -> Option<String> {
        None
    }

    /// The earliest timer; the scenario must have a `tick` when it fires.
    fn next_timer(&self) -> Option<Timestamp> {
        None
    }
}

/// Creates a machine from the options of its `machine` line, with one mechanism
/// disabled if its name is given.
pub(crate) type Constructor = fn(&mut Args<'_>, Option<&str>) -> Result<Box<dyn Machine>, Error>;

/// The vocabulary of one kind of machine.
pub(crate) struct Spec {
    pub(crate) name: &'static str,
    pub(crate) setup: &'static [&'static str],
    pub(crate) events: &'static [&'static str],
    pub(crate) outputs: &'static [&'static str],
    /// Mechanisms that `expect-without` can disable.
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
