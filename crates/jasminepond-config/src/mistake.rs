//! Mistakes found in the configuration folder or in a settings file.

use std::fmt;

use serde::Serialize;

/// A position in the text of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Position {
    /// Line, starting at one.
    pub line: usize,
    /// Column in bytes, starting at one; zero for the end of the previous line.
    pub column: usize,
}

/// A mistake in the configuration folder or in a settings file.
///
/// ```
/// use jasminepond_config::{Config, Files};
///
/// let files = Files::from([("10.json".into(), br#"{"zonse": {}}"#.to_vec())]);
/// let mistakes = Config::from_files(&files).unwrap_err();
/// let text = mistakes.last().unwrap().to_string();
/// assert_eq!(text, "10.json: /zonse: unknown key, did you mean \"zones\"?");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Mistake {
    /// Name of the file that set the invalid value last.
    pub file: String,
    /// JSON pointer (RFC 6901) to the value; empty for the whole file.
    pub path: String,
    /// Position of the syntax error in a file that is not JSON.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub position: Option<Position>,
    /// What is wrong, in one sentence.
    pub reason: String,
}

impl Mistake {
    /// A mistake that concerns a whole file.
    pub(crate) fn in_file(file: &str, reason: impl Into<String>) -> Self {
        Self::at(file, "", reason)
    }

    /// A mistake at a path of a file.
    pub(crate) fn at(file: &str, path: &str, reason: impl Into<String>) -> Self {
        Self {
            file: file.to_owned(),
            path: path.to_owned(),
            position: None,
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(Position { line, column }) = self.position {
            write!(f, ":{line}:{column}")?;
        }
        if !self.path.is_empty() {
            write!(f, ": {}", self.path)?;
        }
        write!(f, ": {}", self.reason)
    }
}
