//! The command line of `jasminepond`.

use std::process::{Command, Output};

use serde_json::{Value, json};
use test_case::test_case;

use crate::support::{example, foundry, programs, scratch, until};

fn run(args: &[&str]) -> Output {
    let program = programs().join("jasminepond");
    let output = Command::new(program).args(args).output();
    output.expect("the program runs")
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("an exit code")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Guards against help that names the wrong command or goes to standard error.
#[test_case(&["--help"], "Usage: jasminepond COMMAND"; "in general")]
#[test_case(&[], "Usage: jasminepond COMMAND"; "without arguments")]
#[test_case(&["serve", "--help"], "Usage: jasminepond serve"; "of serve")]
#[test_case(&["check", "-h"], "Usage: jasminepond check"; "of check")]
#[test_case(&["search", "--help"], "Usage: jasminepond search"; "of search")]
#[test_case(&["execute", "--help"], "Usage: jasminepond execute"; "of execute")]
#[test_case(&["status", "--help"], "Usage: jasminepond status"; "of status")]
#[test_case(&["--version"], "jasminepond 0.1.0"; "version")]
fn help_and_version_are_printed(args: &[&str], expected: &str) {
    let output = run(args);
    assert_eq!(code(&output), 0);
    assert!(text(&output.stdout).contains(expected), "{output:?}");
    assert!(output.stderr.is_empty(), "{output:?}");
}

/// Guards against a usage error that is ignored or whose argument is not named.
#[test_case(&["--colour"], "--colour"; "unknown flag")]
#[test_case(&["serv"], "serv"; "unknown command")]
#[test_case(&["serve", "--setings", "x.json"], "--setings"; "mistyped flag of serve")]
#[test_case(&["serve"], "--settings"; "serve without settings")]
#[test_case(&["serve", "--settings", "x.json", "--log-level", "loud"], "loud"; "unknown log level")]
#[test_case(&["check"], "FOLDER"; "check without folder")]
#[test_case(&["check", "--fromat", "json", "x"], "--fromat"; "mistyped flag of check")]
#[test_case(&["search", "--to", "nowhere", "q"], "nowhere"; "invalid address")]
#[test_case(&["search", "--to", "127.0.0.1:1", "--tennant", "t", "q"], "--tennant"; "mistyped flag of search")]
#[test_case(&["search", "--to", "127.0.0.1:1", "--tenant", "t", "--class", "c", "--group", "g"], "QUERY"; "search without query")]
#[test_case(&["execute", "--to", "127.0.0.1:1", "--keey", "k"], "--keey"; "mistyped flag of execute")]
#[test_case(&["status"], "--to"; "status without address")]
fn a_usage_error_names_the_argument_and_exits_with_code_2(args: &[&str], named: &str) {
    let output = run(args);
    assert_eq!(code(&output), 2, "{output:?}");
    assert!(text(&output.stderr).contains(named), "{output:?}");
    assert!(output.stdout.is_empty(), "{output:?}");
}

/// Guards against examples that the daemon would reject.
#[test_case("foundry")]
#[test_case("registry")]
fn check_accepts_the_examples(name: &str) {
    let folder = example(name);
    let folder = folder.to_str().expect("a UTF-8 path");
    let output = run(&["check", folder]);
    assert_eq!(code(&output), 0, "{output:?}");
    let output = run(&["check", "--format", "json", folder]);
    assert_eq!(code(&output), 0, "{output:?}");
    let merged: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert!(merged.is_object());
}

/// Guards against an invalid folder that is accepted, and against mistakes reported
/// without their position.
#[test]
fn check_reports_the_mistakes_of_an_invalid_folder() {
    let folder = scratch().join("broken");
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    std::fs::write(
        folder.join("10-zones.json"),
        r#"{"zones": {}, "colour": 1}"#,
    )
    .expect("written");
    let folder = folder.to_str().expect("a UTF-8 path");
    let output = run(&["check", folder]);
    assert_eq!(code(&output), 1, "{output:?}");
    let all = text(&output.stdout) + &text(&output.stderr);
    assert!(all.contains("10-zones.json: /colour"), "{all}");
    let output = run(&["check", "/nowhere/at/all"]);
    assert_eq!(code(&output), 1, "{output:?}");
}

/// Guards against a daemon that starts with invalid settings.
#[test]
fn serve_reports_mistakes_in_its_settings() {
    let file = scratch().join("settings.json");
    std::fs::write(&file, r#"{"instance": "entry-1", "colour": 1}"#).expect("written");
    let output = run(&["serve", "--settings", file.to_str().expect("text")]);
    assert_eq!(code(&output), 1, "{output:?}");
    let errors = text(&output.stderr);
    assert!(
        errors.contains("/colour") && errors.contains("/zone"),
        "{errors}"
    );
}

/// Guards against exit codes and outputs that break scripts.
#[test]
fn search_execute_and_status_against_a_cluster() {
    let mut cluster = foundry(2);
    cluster.wait_until_complete(&[0, 1]);
    let to = cluster.nodes[0].addresses.callers.to_string();
    let operators = cluster.nodes[0].addresses.operators.to_string();
    let request = |command: &'static str, group: &'static str, class: &'static str| {
        let args = [
            command, "--to", &to, "--tenant", "sales", "--class", class, "--group", group,
        ];
        args.map(str::to_owned).to_vec()
    };
    let run_with = |mut args: Vec<String>, more: &[&str]| {
        args.extend(more.iter().map(|arg| (*arg).to_owned()));
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        run(&args)
    };

    // The stand-in publishes a folder with other addresses than the example.
    let folder = example("foundry");
    let folder = folder.to_str().expect("a UTF-8 path");
    let (exit, json) = check_json(&[folder, "--against", &operators]);
    assert_eq!(exit, 0, "{json}");
    assert_eq!(json["differences"][0]["path"], "/digest");
    assert_eq!(json["differences"][0]["after"], json["digest"]);
    assert!(json["differences"][0]["before"].is_string(), "{json}");

    let find = request("search", "sales-office", "archive-search");
    let output = run_with(find.clone(), &["flange"]);
    assert_eq!(code(&output), 0, "{output:?}");
    assert!(
        text(&output.stdout).contains("coverage: 30 of 30 shards"),
        "{output:?}"
    );
    let output = run_with(find.clone(), &["--json", "--limit", "2", "flange"]);
    let answer: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(answer["coverage"]["missing"], json!([]));
    assert!(
        answer["hits"]
            .as_array()
            .is_some_and(|hits| hits.len() <= 2)
    );
    let output = run_with(request("search", "nothing", "archive-search"), &["flange"]);
    assert_eq!(code(&output), 3, "{output:?}");
    assert!(text(&output.stdout).contains("unknown_group"), "{output:?}");

    let output = run_with(
        request("execute", "dispatch", "order-entry"),
        &["--json", r#"{"n":1}"#],
    );
    assert_eq!(code(&output), 0, "{output:?}");
    let answer: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(answer["outcome"], "done");
    let key = answer["key"].as_str().expect("a key").to_owned();
    let repeat = ["--json", "--key", &key, r#"{"n":1}"#];
    let output = run_with(request("execute", "dispatch", "order-entry"), &repeat);
    assert_eq!(code(&output), 0, "{output:?}");
    assert_eq!(cluster.executions_of(&key), 1);
    let output = run_with(
        request("execute", "dispatch", "order-entry"),
        &["--key", "abc", "{}"],
    );
    assert_eq!(code(&output), 3, "{output:?}");
    assert!(
        text(&output.stdout).contains("not run: certain"),
        "{output:?}"
    );
    let output = run_with(request("execute", "dispatch", "order-entry"), &["{"]);
    assert_eq!(code(&output), 1, "{output:?}");

    // Each daemon learns the revision of the other from membership messages.
    until("daemon 0 to know both revisions", || {
        let status = cluster.status(0).ok()?;
        let members = status["config"]["members"].as_array()?;
        let same = |member: &Value| member["revision"] == status["config"]["revision"];
        (members.len() == 2 && members.iter().all(same)).then_some(())
    });
    let output = run(&["status", "--to", &operators]);
    assert_eq!(code(&output), 0, "{output:?}");
    let shown = text(&output.stdout);
    assert!(
        shown.contains("entry-1") && shown.contains("entry-2"),
        "{shown}"
    );
    let output = run(&["status", "--json", "--to", &operators]);
    assert_eq!(code(&output), 0, "{output:?}");
    let status: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(status["readiness"], "ready");

    let ended = cluster.stop_node(0).expect("the process exits");
    assert_eq!(ended.code(), Some(0));
    let output = run(&["status", "--to", &operators]);
    assert_eq!(code(&output), 1, "{output:?}");
    let output = run_with(find, &["flange"]);
    assert_eq!(code(&output), 1, "{output:?}");
}

const RELEASE: &str = r#"{"Version": 3,
    "Routes": [{"Name": "orders", "Host": "h.example", "Prefix": "/o/", "RouteType": "unsafe", "TimeoutMs": 4000,
        "SloMs": 500, "Priority": 2, "Service": "one", "MaxAttempts": 2}],
    "Services": [{"Name": "one", "HealthPath": "/h", "MaxConns": 25}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}"#;

/// Runs `check --json` and returns the exit code and the output.
fn check_json(args: &[&str]) -> (i32, Value) {
    let output = run(&[&["check", "--json"], args].concat());
    let json = serde_json::from_slice(&output.stdout).expect("JSON");
    (code(&output), json)
}

/// Writes a file in a folder of its own and returns its path.
fn write(folder: &str, file: &str, content: &str) -> String {
    let folder = scratch().join(folder);
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    let path = folder.join(file);
    std::fs::write(&path, content).expect("the file can be written");
    path.to_str().expect("a UTF-8 path").to_owned()
}

/// Guards against differences from the version in force that are deployed unnoticed, and against
/// differences or warnings where there are none.
#[test]
fn check_compares_folders() {
    let folder = example("foundry");
    let folder = folder.to_str().expect("a UTF-8 path");
    let (exit, json) = check_json(&[folder, "--against", folder]);
    assert_eq!((exit, &json["differences"]), (0, &json!([])));
    assert_eq!(json["warnings"], json!([]));

    let changed = scratch().join("changed");
    std::fs::create_dir_all(&changed).expect("the folder can be created");
    for entry in std::fs::read_dir(folder).expect("the example exists") {
        let entry = entry.expect("an entry");
        std::fs::copy(entry.path(), changed.join(entry.file_name())).expect("a copy");
    }
    let patch = r#"{"limits": {"max_hits": 7}, "shapes": {"idle": {"slots": 9}}}"#;
    std::fs::write(changed.join("95-change.json"), patch).expect("the file can be written");
    let changed = changed.to_str().expect("a UTF-8 path");
    let (exit, json) = check_json(&[changed, "--against", folder]);
    assert_eq!(exit, 4, "{json}");
    let paths = json["differences"].as_array().expect("a list").iter();
    let paths: Vec<_> = paths.map(|difference| &difference["path"]).collect();
    assert_eq!(paths, ["/limits/max_hits", "/shapes/idle"]);
    assert_eq!(json["warnings"][0]["file"], "95-change.json");
    assert_eq!(json["warnings"][0]["kind"], "unused");
    let output = run(&["check", changed, "--against", folder]);
    let lines = text(&output.stdout);
    assert!(
        lines.contains("95-change.json: /shapes/idle: warning: no server"),
        "{lines}"
    );
    assert!(lines.contains("+ /shapes/idle: {\"slots\":9}"), "{lines}");

    let (exit, json) = check_json(&[folder, "--against", "/no/such/folder"]);
    assert_eq!(exit, 1, "{json}");
    let (exit, json) = check_json(&[folder, "--against", "127.0.0.1:1"]);
    assert_eq!(exit, 1, "{json}");
    assert!(json["comparison_error"].is_string(), "{json}");
}

/// Guards against releases of a gateway that are deployed unchecked.
#[test]
fn check_accepts_and_compares_releases() {
    let before = write("releases", "before.json", RELEASE);
    let (exit, json) = check_json(&["--release", &before]);
    assert_eq!(
        (exit, &json["valid"], &json["version"]),
        (0, &json!(true), &json!(3))
    );

    let changed = RELEASE.replace("\"SloMs\": 500", "\"SloMs\": 5000");
    let after = write("releases", "after.json", &changed);
    let (exit, json) = check_json(&["--release", &after, "--against", &before]);
    assert_eq!(exit, 4, "{json}");
    let expected = json!([{"path": "/Routes/orders/SloMs", "before": 500, "after": 5000}]);
    assert_eq!(json["differences"], expected);
    assert_eq!(json["warnings"][0]["kind"], "contradiction");

    let broken = write("releases", "broken.json", "{}");
    let (exit, json) = check_json(&["--release", &broken]);
    assert_eq!((exit, &json["valid"]), (1, &json!(false)));
}
