//! Merges the files of a folder in name order by RFC 7396.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

use crate::{Mistake, document};

/// Names and contents of a folder's files, in name order.
pub type Files = BTreeMap<String, Vec<u8>>;

/// Maximum size of a file that the configuration service stores, in bytes.
pub const MAX_FILE_BYTES: usize = 1_000_000;

/// Used as the file name of mistakes when the folder has no files.
const NO_FILE: &str = "(folder)";

/// The files of a folder merged into one object.
#[derive(Debug, Clone, PartialEq)]
pub struct Merged {
    value: Value,
    /// The content of each file in name order. Used to look up the file that set a
    /// path last, only when a mistake names it.
    sources: Vec<(String, Value)>,
}

impl Merged {
    /// The merged object.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// Returns the file that set `path` last.
    ///
    /// For a path that is absent from the merged object, this is the file that
    /// removed it, or else the file that set its nearest parent.
    ///
    /// ```
    /// use jasminepond_config::{Files, merge};
    ///
    /// let files = Files::from([
    ///     ("10.json".into(), br#"{"drain": {"limit_ms": 9000}}"#.to_vec()),
    ///     ("90.json".into(), br#"{"drain": {"limit_ms": 8000}}"#.to_vec()),
    /// ]);
    /// let merged = merge(&files).unwrap();
    /// assert_eq!(merged.file_of("/drain/limit_ms"), Some("90.json"));
    /// assert_eq!(merged.value()["drain"]["limit_ms"], 8000);
    /// ```
    pub fn file_of(&self, path: &str) -> Option<&str> {
        let mut path = path;
        loop {
            let found = self
                .sources
                .iter()
                .rev()
                .find(|(_, v)| v.pointer(path).is_some());
            if let Some((name, _)) = found {
                return Some(name);
            }
            path = &path[..path.rfind('/')?];
        }
    }

    /// Adds the file to each mistake, given as path and reason.
    pub(crate) fn locate(&self, mistakes: Vec<(String, String)>) -> Vec<Mistake> {
        let to_mistake = |(path, reason): (String, String)| {
            Mistake::at(self.file_of(&path).unwrap_or(NO_FILE), &path, reason)
        };
        mistakes.into_iter().map(to_mistake).collect()
    }
}

/// The merged files and the mistakes found while merging.
pub(crate) struct MergeReport {
    pub(crate) merged: Merged,
    pub(crate) mistakes: Vec<Mistake>,
    /// Whether a file could not be used at all, so that validating the merged
    /// object would report the values in that file as missing.
    pub(crate) incomplete: bool,
}

/// Merges the files in name order by RFC 7396: objects are merged key by key,
/// `null` removes a key, and any other value replaces that of earlier files.
///
/// # Errors
///
/// Every file that is not a JSON object, is too large or has an invalid name, and
/// every duplicate key. Values are not validated here; see
/// [`Config::from_merged`](crate::Config::from_merged).
///
/// ```
/// use jasminepond_config::{Files, merge};
///
/// let files = Files::from([("10.json".into(), b"{\n\"zones\": }".to_vec())]);
/// let mistakes = merge(&files).unwrap_err();
/// let text = mistakes[0].to_string();
/// assert_eq!(text, "10.json:2:10: not JSON: expected value");
/// ```
pub fn merge(files: &Files) -> Result<Merged, Vec<Mistake>> {
    let report = merge_all(files, Sources::Keep);
    if report.mistakes.is_empty() {
        Ok(report.merged)
    } else {
        Err(report.mistakes)
    }
}

/// Whether the content of each file is kept to look up the file that set a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sources {
    Keep,
    /// Saves memory: the parsed files of 25,000 servers take tens of megabytes.
    Drop,
}

pub(crate) fn merge_all(files: &Files, keep: Sources) -> MergeReport {
    let mut value = Value::Object(Map::new());
    let mut sources = Vec::new();
    let mut mistakes = Vec::new();
    let mut incomplete = false;
    if files.is_empty() {
        mistakes.push(Mistake::in_file(NO_FILE, "the folder holds no file"));
        incomplete = true;
    }
    for (name, bytes) in files {
        let document = check_file(name, bytes).and_then(|()| document::parse(name, bytes));
        let document = match document {
            Ok(document) => document,
            Err(mistake) => {
                mistakes.push(mistake);
                incomplete = true;
                continue;
            }
        };
        for path in &document.duplicates {
            mistakes.push(Mistake::at(
                name,
                path,
                "the key occurs twice in one object",
            ));
        }
        let source = Value::Object(document.root);
        json_patch::merge(&mut value, &source);
        if keep == Sources::Keep {
            sources.push((name.clone(), source));
        }
    }
    MergeReport {
        merged: Merged { value, sources },
        mistakes,
        incomplete,
    }
}

fn check_file(name: &str, bytes: &[u8]) -> Result<(), Mistake> {
    if !name.ends_with(".json") {
        return Err(Mistake::in_file(
            name,
            "the file name does not end in .json",
        ));
    }
    if bytes.len() > MAX_FILE_BYTES {
        let reason = format!("{} bytes, the limit is {MAX_FILE_BYTES}", bytes.len());
        return Err(Mistake::in_file(name, reason));
    }
    Ok(())
}
