//! Typed access to the tokens of a line.

use std::{str::FromStr, time::Duration};

use crate::{
    Error,
    syntax::{Line, Token, Value},
};

/// The unread tokens of a line. [`Args::expect_end`] rejects leftover tokens, so
/// a misspelt argument is an error.
pub(crate) struct Args<'a> {
    line: &'a Line,
    remaining: Vec<&'a Token>,
}

type Result<T> = std::result::Result<T, Error>;

impl<'a> Args<'a> {
    /// All tokens after the first `skip`.
    pub(crate) fn new(line: &'a Line, skip: usize) -> Self {
        let remaining = line.tokens.iter().skip(skip).collect();
        Self { line, remaining }
    }

    fn error_at(&self, token: Option<&Token>, expected: &str) -> Error {
        let last = self.line.tokens.last();
        let end = last.map_or(1, |t| t.column + t.to_string().len());
        let column = token.map_or(end, |t| t.column);
        let found = token.map_or("the end of the line".into(), |t| format!("`{t}`"));
        self.line.error(column, expected.into(), found)
    }

    /// An error at the next token, or at the end of the line if there is none.
    pub(crate) fn error(&self, expected: &str) -> Error {
        self.error_at(self.remaining.first().copied(), expected)
    }

    pub(crate) fn token(&mut self, what: &str) -> Result<&'a Token> {
        let at = self.remaining.iter().position(|t| t.key.is_none());
        at.map(|at| self.remaining.remove(at))
            .ok_or_else(|| self.error(what))
    }

    pub(crate) fn opt_word(&mut self) -> Option<&'a str> {
        let is_word = |t: &&Token| t.key.is_none() && matches!(t.value, Value::Word(_));
        let at = self.remaining.iter().position(is_word)?;
        match &self.remaining.remove(at).value {
            Value::Word(word) => Some(word),
            _ => None,
        }
    }

    pub(crate) fn word(&mut self, what: &str) -> Result<&'a str> {
        let token = self.token(what)?;
        match &token.value {
            Value::Word(word) => Ok(word),
            _ => Err(self.error_at(Some(token), what)),
        }
    }

    pub(crate) fn text(&mut self, what: &str) -> Result<&'a str> {
        let token = self.token(what)?;
        match &token.value {
            Value::Text(text) => Ok(text),
            _ => Err(self.error_at(Some(token), what)),
        }
    }

    /// Reads a word that must be one of `words`.
    pub(crate) fn one_of(&mut self, words: &[&str]) -> Result<&'a str> {
        let expected = one_of(words);
        let token = self.token(&expected)?;
        match &token.value {
            Value::Word(word) if words.contains(&word.as_str()) => Ok(word),
            _ => Err(self.error_at(Some(token), &expected)),
        }
    }

    pub(crate) fn parse<T: FromStr>(&mut self, what: &str) -> Result<T> {
        let token = self.token(what)?;
        self.parse_token(token, what, |word| word.parse().ok())
    }

    /// Reads a number with a one-letter prefix, such as the version `v42`.
    pub(crate) fn numbered<T: FromStr>(&mut self, prefix: char, what: &str) -> Result<T> {
        let token = self.token(what)?;
        self.parse_token(token, what, |word| word.strip_prefix(prefix)?.parse().ok())
    }

    pub(crate) fn time(&mut self, what: &str) -> Result<Duration> {
        let token = self.token(what)?;
        self.parse_token(token, what, parse_duration)
    }

    pub(crate) fn list(&mut self, what: &str) -> Result<&'a [String]> {
        let token = self.token(what)?;
        match &token.value {
            Value::List(items) => Ok(items),
            _ => Err(self.error_at(Some(token), what)),
        }
    }

    fn parse_token<T>(
        &self,
        token: &Token,
        what: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Result<T> {
        let value = match &token.value {
            Value::Word(word) => read(word),
            _ => None,
        };
        value.ok_or_else(|| self.error_at(Some(token), what))
    }

    fn take_key(&mut self, key: &str) -> Option<&'a Token> {
        let has_key = |t: &&Token| t.key.as_deref() == Some(key);
        let at = self.remaining.iter().position(has_key)?;
        Some(self.remaining.remove(at))
    }

    pub(crate) fn key_word(&mut self, key: &str) -> Result<Option<&'a str>> {
        let Some(token) = self.take_key(key) else {
            return Ok(None);
        };
        match &token.value {
            Value::Word(word) => Ok(Some(word)),
            _ => Err(self.error_at(Some(token), &format!("a word for `{key}`"))),
        }
    }

    pub(crate) fn key_parse<T: FromStr>(&mut self, key: &str) -> Result<Option<T>> {
        let Some(token) = self.take_key(key) else {
            return Ok(None);
        };
        let what = format!("a number or name for `{key}`");
        self.parse_token(token, &what, |word| word.parse().ok())
            .map(Some)
    }

    pub(crate) fn key_time(&mut self, key: &str) -> Result<Option<Duration>> {
        let Some(token) = self.take_key(key) else {
            return Ok(None);
        };
        let what = format!("a time such as 250ms for `{key}`");
        self.parse_token(token, &what, parse_duration).map(Some)
    }

    pub(crate) fn key_list(&mut self, key: &str) -> Result<&'a [String]> {
        let Some(token) = self.take_key(key) else {
            return Ok(&[]);
        };
        match &token.value {
            Value::List(items) => Ok(items),
            _ => Err(self.error_at(Some(token), &format!("a list for `{key}`"))),
        }
    }

    /// Removes and returns all remaining `key=value` tokens.
    pub(crate) fn keys(&mut self) -> Vec<(&'a str, String)> {
        let (keyed, rest) = self.remaining.iter().partition(|t| t.key.is_some());
        self.remaining = rest;
        let pair = |t: &'a Token| Some((t.key.as_deref()?, t.value.to_string()));
        let keyed: Vec<&'a Token> = keyed;
        keyed.into_iter().filter_map(pair).collect()
    }

    /// Removes and returns all remaining `key=[..]` tokens.
    pub(crate) fn lists(&mut self) -> Result<Vec<(&'a str, &'a [String])>> {
        let mut lists = Vec::new();
        while let Some(token) = self.remaining.iter().copied().find(|t| t.key.is_some()) {
            let key = token.key.as_deref().unwrap_or_default();
            lists.push((key, self.key_list(key)?));
        }
        Ok(lists)
    }

    pub(crate) fn expect_end(&self) -> Result<()> {
        match self.remaining.is_empty() {
            true => Ok(()),
            false => Err(self.error("the end of the line")),
        }
    }
}

pub(crate) fn one_of(words: &[&str]) -> String {
    match words {
        [word] => format!("`{word}`"),
        _ => format!("one of {}", words.join(", ")),
    }
}

fn parse_duration(word: &str) -> Option<Duration> {
    let digits = word.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let n: u64 = digits.parse().ok()?;
    match &word[digits.len()..] {
        "us" => Some(Duration::from_micros(n)),
        "ms" => Some(Duration::from_millis(n)),
        "s" => Some(Duration::from_secs(n)),
        _ => None,
    }
}
