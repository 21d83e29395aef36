use std::path::PathBuf;

use jasminepond_config::{CheckOptions, OutputFormat, check, load_folder};
use serde_json::Value;

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn checked(name: &str, format: OutputFormat) -> jasminepond_config::CheckOutcome {
    check(&CheckOptions {
        folder: fixture(name),
        format,
    })
}

#[test]
fn hidden_files_are_skipped() {
    let files = load_folder(&fixture("broken")).unwrap();
    let names: Vec<_> = files.keys().collect();
    assert_eq!(
        names,
        ["10-cut-off.json", "20-not-json.txt", "30-good.json"]
    );
}

#[test]
fn nested_folder_is_a_mistake() {
    let mistakes = load_folder(&fixture("")).unwrap_err();
    let named: Vec<_> = mistakes.iter().map(|m| m.file.as_str()).collect();
    assert_eq!(named, ["broken", "small"]);
}

#[test]
fn text_output_lists_mistakes() {
    let outcome = checked("broken", OutputFormat::Text);
    assert!(!outcome.is_valid());
    assert_eq!(
        outcome.text,
        "10-cut-off.json:3:0: not JSON: EOF while parsing an object\n\
         20-not-json.txt: the file name does not end in .json\n"
    );
}

#[test]
fn json_output_lists_mistakes() {
    let json: Value = serde_json::from_str(&checked("broken", OutputFormat::Json).text).unwrap();
    assert_eq!(json["valid"], false);
    assert_eq!(json["mistakes"][0]["file"], "10-cut-off.json");
    assert_eq!(json["mistakes"][0]["position"]["line"], 3);
    assert_eq!(json["mistakes"][1]["path"], "");
}

// Operators use this output to find the file to edit.
#[test]
fn text_output_names_the_file_of_each_value() {
    let outcome = checked("small", OutputFormat::Text);
    assert!(outcome.is_valid(), "{}", outcome.text);
    let has = |line: &str| assert!(outcome.text.lines().any(|l| l == line), "{}", outcome.text);
    has("/servers/s1/slots = 4  (90-overrides.json)");
    has("/servers/s1/zone = \"za\"  (10-all.json)");
    let last = outcome.text.lines().last().unwrap();
    let summary = "valid: 1 zones, 1 servers, 1 groups, 1 tenants, 1 classes, digest ";
    assert!(last.starts_with(summary), "{last}");
}

#[test]
fn json_output_contains_the_digest() {
    let outcome = checked("small", OutputFormat::Json);
    let json: Value = serde_json::from_str(&outcome.text).unwrap();
    assert_eq!(json["valid"], true);
    assert_eq!(json["merged"]["servers"]["s1"]["slots"], 4);
    assert_eq!(json["digest"], outcome.result.unwrap().digest.to_string());
}
