use std::{fs, path::PathBuf};

use jasminepond_config::{
    CONFIG_SECTIONS, Config, Files, KeySpec, SETTINGS_SECTIONS, SectionSpec, Settings, ValueKind,
};

fn page() -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/CONFIGURATION.md");
    fs::read_to_string(path).unwrap()
}

/// The table row that documents a key.
fn row(key: &KeySpec) -> String {
    let (kind, default, range) = match key.kind {
        ValueKind::Number {
            unit,
            min,
            max,
            default,
        } => (
            format!("number, {unit}"),
            default.map(|n| n.to_string()),
            format!("{min} to {max}"),
        ),
        ValueKind::Choice { names, default } => (
            "choice".to_owned(),
            default.map(str::to_owned),
            names.join(", "),
        ),
        ValueKind::Other { description } => (description.to_owned(), None, "-".to_owned()),
    };
    let default = match default {
        Some(default) => default,
        None if key.required => "required".to_owned(),
        None => "-".to_owned(),
    };
    format!("| `{}` | {kind} | {default} | {range} |", key.name)
}

fn heading(part: &str, section: &SectionSpec) -> String {
    match section.path {
        "" => format!("### {part}: top level"),
        path => format!("### {part}: `{path}`"),
    }
}

/// Guards against documentation that differs from the code: each key must have a
/// row with its type, unit, default and range below the heading of its section.
#[test]
fn every_key_is_documented() {
    let page = page();
    let mut missing = Vec::new();
    for (part, sections) in [("folder", CONFIG_SECTIONS), ("settings", SETTINGS_SECTIONS)] {
        for section in sections {
            let heading = heading(part, section);
            let text = page
                .split(&format!("{heading}\n"))
                .nth(1)
                .unwrap_or_default();
            let text = text.split("\n#").next().unwrap_or_default();
            let rows = section.keys.iter().map(row);
            let absent = rows.filter(|row| !text.lines().any(|line| line.starts_with(row)));
            missing.extend(absent.map(|row| format!("{heading}\n{row}")));
            // An extra row documents a key that the code no longer has.
            let count = text.lines().filter(|line| line.starts_with("| `")).count();
            assert_eq!(
                count,
                section.keys.len(),
                "rows below {heading}\n{missing:#?}"
            );
        }
    }
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

/// Returns the first JSON block after a heading.
fn block<'a>(page: &'a str, heading: &str) -> &'a str {
    let text = page
        .split(&format!("{heading}\n"))
        .nth(1)
        .expect("the page has the heading");
    let block = text
        .split("```json\n")
        .nth(1)
        .expect("a JSON block follows the heading");
    block.split("```").next().unwrap_or_default()
}

// The examples in the documentation must be accepted.
#[test]
fn documented_examples_are_valid() {
    let page = page();
    let folder = block(&page, "## Example of a folder").as_bytes().to_vec();
    let change = block(&page, "## How files are merged").as_bytes().to_vec();
    let files = Files::from([
        ("10-all.json".into(), folder),
        ("90-change.json".into(), change),
    ]);
    let config = Config::from_files(&files).unwrap();
    assert_eq!(config.groups["shop"].snapshots.len(), 2);
    assert_eq!(config.servers["shop-01-a"].slots.get(), 3);
    assert!(!config.tenants.contains_key("office"));
    Settings::from_json("page", block(&page, "## Example of settings").as_bytes()).unwrap();
}
