//! Lexer of the scenario language.

use std::sync::Arc;

use winnow::{
    LocatingSlice, ModalResult, Parser,
    ascii::space0,
    combinator::{alt, cut_err, delimited, opt, preceded, repeat, terminated},
    error::{StrContext, StrContextValue},
    token::{take_till, take_while},
};

use crate::Error;

type Input<'a> = LocatingSlice<&'a str>;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Value {
    Word(String),
    Text(String),
    List(Vec<String>),
}

/// A word, a quoted text or a list, optionally preceded by `key=`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Token {
    pub(crate) column: usize,
    pub(crate) key: Option<String>,
    pub(crate) value: Value,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Line {
    pub(crate) file: Arc<str>,
    pub(crate) number: usize,
    pub(crate) tokens: Vec<Token>,
}

impl std::fmt::Display for Value {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Word(word) => f.write_str(word),
            Self::Text(text) => write!(f, "{text:?}"),
            Self::List(items) => write!(f, "[{}]", items.join(" ")),
        }
    }
}

impl std::fmt::Display for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.key {
            Some(key) => write!(f, "{key}={}", self.value),
            None => self.value.fmt(f),
        }
    }
}

impl std::fmt::Display for Line {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let words: Vec<String> = self.tokens.iter().map(Token::to_string).collect();
        f.write_str(&words.join(" "))
    }
}

impl Line {
    pub(crate) fn error(&self, column: usize, expected: String, found: String) -> Error {
        Error {
            file: self.file.clone(),
            line: self.number,
            column,
            expected,
            found,
        }
    }
}

/// Splits a file into lines of tokens; empty lines and comments are left out.
pub(crate) fn lines(file: &Arc<str>, text: &str) -> Result<Vec<Line>, Error> {
    let mut lines = Vec::new();
    for (index, text) in text.lines().enumerate() {
        let mut line = Line {
            file: file.clone(),
            number: index + 1,
            tokens: Vec::new(),
        };
        line.tokens = tokens(&line, text, 0)?;
        if !line.tokens.is_empty() {
            lines.push(line);
        }
    }
    Ok(lines)
}

/// Splits a line into tokens and adds `offset` to their columns.
pub(crate) fn tokens(line: &Line, text: &str, offset: usize) -> Result<Vec<Token>, Error> {
    let mut tokens = line_tokens.parse(LocatingSlice::new(text)).map_err(|e| {
        let expected: Vec<String> = e
            .inner()
            .context()
            .filter_map(|c| match c {
                StrContext::Expected(value) => Some(value.to_string()),
                _ => None,
            })
            .collect();
        let expected = match expected.is_empty() {
            true => "a word, a quoted text or a list".into(),
            false => expected.join(" or "),
        };
        let found = text[e.offset()..].chars().next();
        let found = found.map_or("the end of the line".into(), |c| format!("{c:?}"));
        line.error(offset + e.offset() + 1, expected, found)
    })?;
    for token in &mut tokens {
        token.column += offset;
    }
    Ok(tokens)
}

fn line_tokens(input: &mut Input<'_>) -> ModalResult<Vec<Token>> {
    let comment = opt(preceded('#', take_while(0.., |_| true)));
    terminated(repeat(0.., preceded(space0, token)), (space0, comment)).parse_next(input)
}

fn token(input: &mut Input<'_>) -> ModalResult<Token> {
    let key = opt(terminated(bare, '='));
    let ((key, value), span) = (key, value).with_span().parse_next(input)?;
    Ok(Token {
        column: span.start + 1,
        key: key.map(str::to_owned),
        value,
    })
}

fn value(input: &mut Input<'_>) -> ModalResult<Value> {
    alt((
        list.map(Value::List),
        quoted.map(|text| Value::Text(text.to_owned())),
        bare.map(|word| Value::Word(word.to_owned())),
    ))
    .parse_next(input)
}

fn bare<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    take_while(1.., |c: char| {
        !c.is_whitespace() && !matches!(c, '"' | '=' | '[' | ']' | '#')
    })
    .parse_next(input)
}

fn quoted<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    let end = cut_err('"').context(expected("a closing quote"));
    delimited('"', take_till(0.., '"'), end).parse_next(input)
}

fn list(input: &mut Input<'_>) -> ModalResult<Vec<String>> {
    let items = repeat(0.., preceded(space0, bare.map(str::to_owned)));
    let end = cut_err(']').context(expected("a closing bracket"));
    delimited('[', items, (space0, end)).parse_next(input)
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}
