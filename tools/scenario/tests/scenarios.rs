//! Runs every scenario, and tests the errors of the parser and the runner.

use std::{fs, path::PathBuf};

use jasminepond_scenario::{Options, Outcome, RunError, Scenario, run, run_files};
use test_case::test_case;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Scenario files of a folder, sorted by name.
fn files(folder: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(root().join(folder)).unwrap();
    let mut files: Vec<PathBuf> = entries.map(|e| e.unwrap().path()).collect();
    files.retain(|f| f.extension().is_some_and(|e| e == "scn"));
    files.sort();
    files
}

fn outcome(files: Vec<PathBuf>) -> (Outcome, String) {
    let mut text = String::new();
    let options = Options { files, list: false };
    let outcome = run_files(&options, |line| {
        println!("{line}");
        text.push_str(line);
    });
    (outcome, text)
}

/// Prints the file, the expectation and the events of every scenario that fails.
#[test]
fn every_scenario_passes() {
    let files = files("scenarios");
    assert!(!files.is_empty());
    let (outcome, _) = outcome(files);
    assert_eq!(outcome, Outcome::Passed);
}

/// Fails if a defect was fixed and its scenario was not moved out of `known-red`.
#[test]
fn known_red_scenarios_still_fail() {
    for file in files("known-red") {
        let name = file.display().to_string();
        let (outcome, _) = outcome(vec![file]);
        assert_eq!(outcome, Outcome::Failed, "{name}");
    }
}

/// The page must list every scenario, so that the tests of a guarantee can be found
/// there.
#[test]
fn docs_list_every_scenario() {
    let page = fs::read_to_string(root().join("../../docs/SCENARIOS.md")).unwrap();
    let all = [files("scenarios"), files("known-red")].concat();
    let options = Options {
        files: all,
        list: true,
    };
    run_files(&options, |row| {
        assert!(page.contains(row), "missing: {row}")
    });
}

const HEAD: &str =
    "scenario \"t\"\nguards P2\nmachine search deadline=250ms\nversion 42 shards a=[a1]\n";

fn error_message(body: &str) -> String {
    let text = format!("{HEAD}{body}");
    let error = match Scenario::parse("t.scn", &text) {
        Err(error) => RunError::Invalid(error),
        Ok(scenario) => run(&scenario).unwrap_err(),
    };
    error.to_string()
}

#[test_case("at 0ms jump", "t.scn:5:8: expected one of start, answer, fail"; "unknown event")]
#[test_case("at soon start", "t.scn:5:4: expected a time such as 250ms, found `soon`"; "no time")]
#[test_case("at 0ms start now", "t.scn:5:14: expected the end of the line, found `now`"; "extra word")]
#[test_case("at 0ms start\nexpect sent a a1", "t.scn:6:8: expected one of nothing, send"; "unknown output")]
#[test_case("at 0ms start\nversion 41 shards a=[a1]", "t.scn:6:1: expected one of at, expect, check"; "late set-up")]
#[test_case("at 0ms start\nexpect send a a1 v42\nat 1ms answer b1 v42", "t.scn:7:15: expected a server that was sent"; "unknown server")]
#[test_case("at 0ms start\nexpect send a a1 v42\nat 1ms answer a1 41", "t.scn:7:18: expected a version such as v42, found `41`"; "no version")]
#[test_case("version 41 shards a=[a1", "t.scn:5:24: expected a closing bracket, found the end of the line"; "open list")]
#[test_case("fault \"lost", "t.scn:5:12: expected a closing quote, found the end of the line"; "open quote")]
#[test_case("expect-without luck \"x\"", "t.scn:5:16: expected one of version-check"; "unknown mechanism")]
#[test_case("table a\nrow 1\nat 0ms $b", "t.scn:7:8: expected a column of the table: `a`, found `$b`"; "unknown column")]
#[test_case("table a b\nrow 1", "t.scn:6:6: expected a value for b, found the end of the line"; "short row")]
#[test_case("at 0ms start\nexpect send a a1 v42\ncheck luck=1", "t.scn:7:7: expected the name of a state"; "unknown state")]
#[test_case("at 5ms start\nexpect send a a1 v42\nat 4ms tick", "t.scn:7:4: expected a time not before 5ms, found `4ms`"; "time goes back")]
#[test_case("at 0ms start\nexpect send a a1 v42\nat 300ms tick", "t.scn:7:4: expected `at 250ms tick` first"; "timer left out")]
fn error_reports_location(body: &str, expected: &str) {
    let message = error_message(body);
    assert!(message.starts_with(expected), "{message}");
}

/// A failure message must be enough to diagnose the failure without a debugger.
#[test]
fn failure_message_shows_expectation_output_and_events() {
    let message = error_message("at 0ms start\nexpect send a a2 v42");
    assert_eq!(
        message,
        "t.scn:6: expected send a a2 v42\n  came out: send a a1 v42 left=250\n  events so far:\n    \
         at 0ms start\n      -> send a a1 v42 left=250\n      -> wait 250ms"
    );
}

/// An output that no line expects is a failure, as a missing one is.
#[test]
fn unexpected_output_fails() {
    let message = error_message("at 0ms start");
    assert!(
        message.contains("expected nothing more\n  came out: send a a1 v42"),
        "{message}"
    );
}

/// Otherwise `expect-without` would accept a scenario that does not depend on the
/// mechanism.
#[test]
fn expect_without_fails_if_the_scenario_still_passes() {
    let message = error_message(
        "expect-without budget \"send\"\nat 0ms start\nexpect send a a1 v42\n\
         at 1ms answer a1 v42\nexpect finish v42 answered=1",
    );
    assert!(
        message.contains("came out: the scenario passed"),
        "{message}"
    );
}
