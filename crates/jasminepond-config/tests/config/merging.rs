use jasminepond_config::{Files, MAX_FILE_BYTES, digest, merge};
use serde_json::json;
use test_case::test_case;

use crate::base::{files, lines};

#[test]
fn later_file_overrides_earlier() {
    let files = files(&[
        ("90.json", r#"{"a": {"x": 2, "gone": null}, "list": [3]}"#),
        (
            "10.json",
            r#"{"a": {"x": 1, "y": 1, "gone": {"z": 1}}, "list": [1, 2]}"#,
        ),
    ]);
    let merged = merge(&files).unwrap();
    assert_eq!(merged.value(), &json!({"a": {"x": 2, "y": 1}, "list": [3]}));
}

// Guards against a null that remains in the result if no earlier file has the key.
#[test]
fn null_without_earlier_value_is_dropped() {
    let merged = merge(&files(&[("10.json", r#"{"a": {"b": {"c": null}}}"#)])).unwrap();
    assert_eq!(merged.value(), &json!({"a": {"b": {}}}));
}

#[test_case("/a/x", "90.json"; "overridden value")]
#[test_case("/a/y", "10.json"; "value only in the first file")]
#[test_case("/a", "90.json"; "object in both files")]
#[test_case("/a/gone", "90.json"; "removed value")]
#[test_case("/a/never", "90.json"; "absent value, file of its parent")]
#[test_case("/list/1", "10.json"; "entry of a list")]
#[test_case("/s~1t", "50.json"; "escaped key")]
fn path_is_traced_to_its_file(path: &str, file: &str) {
    let files = files(&[
        (
            "10.json",
            r#"{"a": {"x": 1, "y": 1, "gone": 1}, "list": [1, 2]}"#,
        ),
        ("50.json", r#"{"s/t": 1}"#),
        ("90.json", r#"{"a": {"x": 2, "gone": null}}"#),
    ]);
    assert_eq!(merge(&files).unwrap().file_of(path), Some(file));
}

#[test_case("{\n  \"a\": 1,\n}", "f.json:3:1: not JSON: trailing comma"; "trailing comma")]
#[test_case("{\"a\": 1", "f.json:1:7: not JSON: EOF while parsing an object"; "cut off")]
#[test_case("{} {}", "f.json:1:4: not JSON: trailing characters"; "two documents")]
#[test_case("", "f.json:1:0: not JSON: EOF while parsing a value"; "empty file")]
#[test_case("[]", "f.json: expected an object, found an array"; "not an object")]
#[test_case("null", "f.json: expected an object, found null"; "null would erase earlier files")]
#[test_case(
    r#"{"a": {"b": 1, "b": 1}}"#, "f.json: /a/b: the key occurs twice in one object";
    "duplicate key with equal values"
)]
#[test_case(
    r#"{"l": [{"b": 1, "b": 2}]}"#, "f.json: /l/0/b: the key occurs twice in one object";
    "duplicate key within a list"
)]
fn broken_file(text: &str, expected: &str) {
    let mistakes = merge(&files(&[("f.json", text)])).unwrap_err();
    assert_eq!(lines(&mistakes), expected);
}

#[test]
fn every_broken_file_is_named() {
    let files = files(&[
        ("1.json", "{"),
        ("2.json", "{}"),
        ("3.json", "x"),
        ("README.md", ""),
    ]);
    let named: Vec<_> = merge(&files)
        .unwrap_err()
        .into_iter()
        .map(|m| m.file)
        .collect();
    assert_eq!(named, ["1.json", "3.json", "README.md"]);
}

// A service that restarted without data must not look like a valid empty folder.
#[test]
fn folder_without_files_is_refused() {
    let mistakes = merge(&Files::new()).unwrap_err();
    assert_eq!(lines(&mistakes), "(folder): the folder holds no file");
}

#[test]
fn size_limit_is_exact() {
    let padded = |bytes| files(&[("f.json", &format!("{{}}{}", " ".repeat(bytes - 2)))]);
    assert!(merge(&padded(MAX_FILE_BYTES)).is_ok());
    let mistakes = merge(&padded(MAX_FILE_BYTES + 1)).unwrap_err();
    assert_eq!(
        lines(&mistakes),
        "f.json: 1000001 bytes, the limit is 1000000"
    );
}

// Guards against hashing names and contents without their lengths.
#[test_case(&[("a", "bc")], &[("ab", "c")]; "byte moved from content to name")]
#[test_case(&[("a", "1"), ("b", "")], &[("a", ""), ("b", "1")]; "content moved to another file")]
#[test_case(&[("a", "b")], &[("a", "b"), ("", "")]; "empty file added")]
fn digests_differ(left: &[(&str, &str)], right: &[(&str, &str)]) {
    assert_ne!(digest(&files(left)), digest(&files(right)));
}
