//! Reads and checks a folder, for the command line.

use std::{
    fmt::Write as _,
    fs,
    path::{Path, PathBuf},
};

use serde_json::{Value, json};

use crate::{
    Config, Digest, Files, Merged, Mistake, OutputFormat, digest, merge, path::Path as Pointer,
};

/// Reads the files of a folder. Names that begin with a dot are skipped.
///
/// # Errors
///
/// A folder or file that cannot be read, an entry that is a folder, and a name
/// that is not UTF-8. Contents are not checked.
pub fn load_folder(folder: &Path) -> Result<Files, Vec<Mistake>> {
    let shown = folder.display().to_string();
    let unreadable = |e| {
        vec![Mistake::in_file(
            &shown,
            format!("the folder cannot be read: {e}"),
        )]
    };
    let mut files = Files::new();
    let mut mistakes = Vec::new();
    for entry in fs::read_dir(folder).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        match load_file(&path) {
            Ok(Some((name, bytes))) => {
                files.insert(name, bytes);
            }
            Ok(None) => {}
            Err(mistake) => mistakes.push(mistake),
        }
    }
    if mistakes.is_empty() {
        return Ok(files);
    }
    // `read_dir` returns entries in no particular order.
    mistakes.sort();
    Err(mistakes)
}

fn load_file(path: &Path) -> Result<Option<(String, Vec<u8>)>, Mistake> {
    let name = path.file_name().unwrap_or_default();
    let Some(name) = name.to_str() else {
        let shown = name.to_string_lossy();
        return Err(Mistake::in_file(&shown, "the file name is not UTF-8"));
    };
    if name.starts_with('.') {
        return Ok(None);
    }
    if path.is_dir() {
        return Err(Mistake::in_file(
            name,
            "a folder within the folder is not allowed",
        ));
    }
    match fs::read(path) {
        Ok(bytes) => Ok(Some((name.to_owned(), bytes))),
        Err(e) => Err(Mistake::in_file(
            name,
            format!("the file cannot be read: {e}"),
        )),
    }
}

/// Options of [`check`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckOptions {
    /// The folder to check.
    pub folder: PathBuf,
    /// The output format.
    pub format: OutputFormat,
}

impl Default for CheckOptions {
    fn default() -> Self {
        Self {
            folder: ".".into(),
            format: OutputFormat::default(),
        }
    }
}

/// A folder without mistakes.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedFolder {
    /// The digest of the files.
    pub digest: Digest,
    /// The merged files.
    pub merged: Merged,
    /// The validated configuration.
    pub config: Config,
}

/// Result of [`check`].
#[derive(Debug, Clone, PartialEq)]
pub struct CheckOutcome {
    /// The checked folder, or every mistake in it.
    pub result: Result<CheckedFolder, Vec<Mistake>>,
    /// The result in the requested format, ending with a newline.
    pub text: String,
}

impl CheckOutcome {
    /// Whether the folder has no mistake.
    pub fn is_valid(&self) -> bool {
        self.result.is_ok()
    }
}

/// Checks a folder in the same way as a daemon does.
///
/// The text output has one line per value of the merged folder, with its path and
/// the file that set it, or one line per mistake. The JSON output is
/// `{valid, digest, merged}` or `{valid, mistakes}`.
///
/// ```
/// use jasminepond_config::{CheckOptions, check};
///
/// let outcome = check(&CheckOptions { folder: "no-such-folder".into(), ..CheckOptions::default() });
/// assert!(!outcome.is_valid());
/// assert!(outcome.text.starts_with("no-such-folder: the folder cannot be read"));
/// ```
pub fn check(options: &CheckOptions) -> CheckOutcome {
    let result = load_folder(&options.folder).and_then(|files| check_files(&files));
    let text = match (&result, options.format) {
        (Ok(checked), OutputFormat::Text) => valid_text(checked),
        (Ok(checked), OutputFormat::Json) => valid_json(checked),
        (Err(mistakes), OutputFormat::Text) => mistakes_text(mistakes),
        (Err(mistakes), OutputFormat::Json) => {
            pretty(&json!({"valid": false, "mistakes": mistakes}))
        }
    };
    CheckOutcome { result, text }
}

fn check_files(files: &Files) -> Result<CheckedFolder, Vec<Mistake>> {
    let config = Config::from_files(files)?;
    Ok(CheckedFolder {
        digest: digest(files),
        merged: merge(files)?,
        config,
    })
}

fn valid_text(checked: &CheckedFolder) -> String {
    let mut text = String::new();
    write_leaves(
        &checked.merged,
        checked.merged.value(),
        &Pointer::Root,
        &mut text,
    );
    let config = &checked.config;
    let _ = writeln!(
        text,
        "valid: {} zones, {} servers, {} groups, {} tenants, {} classes, digest {}",
        config.zones.len(),
        config.servers.len(),
        config.groups.len(),
        config.tenants.len(),
        config.classes.len(),
        checked.digest,
    );
    text
}

/// Writes each scalar and each list on a line of its own.
fn write_leaves(merged: &Merged, value: &Value, path: &Pointer<'_>, text: &mut String) {
    if let Value::Object(map) = value {
        for (key, value) in map {
            write_leaves(merged, value, &path.key(key), text);
        }
        return;
    }
    let file = merged.file_of(&path.to_string()).unwrap_or_default();
    let _ = writeln!(text, "{path} = {value}  ({file})");
}

fn valid_json(checked: &CheckedFolder) -> String {
    pretty(&json!({
        "valid": true,
        "digest": checked.digest.to_string(),
        "merged": checked.merged.value(),
    }))
}

fn mistakes_text(mistakes: &[Mistake]) -> String {
    let mut text = String::new();
    for mistake in mistakes {
        let _ = writeln!(text, "{mistake}");
    }
    text
}

fn pretty(value: &Value) -> String {
    format!("{value:#}\n")
}
