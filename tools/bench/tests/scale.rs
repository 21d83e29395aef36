//! The program that measures the slopes of `docs/CAPACITY.md`.

use std::process::{Command, Output};

use jasminepond_cluster::{Cluster, Options, build_programs, call_text, wait_for};
use serde_json::Value;
use test_case::test_case;

fn scale(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_jasminepond-scale");
    Command::new(program).args(args).output().unwrap()
}

/// A mistyped size must not start hundreds of processes.
#[test_case(&["--daemons", "x"], "--daemons: \"x\""; "not a number")]
#[test_case(&["--daemons", "7,201"], "from 1 to 200"; "too many daemons")]
#[test_case(&["--servers", "0"], "from 1 to 25000"; "no servers")]
#[test_case(&["--seconds", "0"], "--seconds"; "no time")]
#[test_case(&["--deamons", "7"], "--deamons"; "unknown flag")]
fn wrong_arguments_are_named(args: &[&str], expected: &str) {
    let output = scale(args);
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(message.contains(expected), "{message}");
}

/// Longest quiet time for which the report is asked, in seconds.
const LONGEST_QUIET: u32 = 48;

/// Figures that stay at zero would make the control traffic look free. How soon
/// daemons have something to say depends on their timers and on the load of the
/// machine, so the quiet time is doubled until each figure has something to count.
#[test]
fn traffic_between_daemons_is_reported() {
    let mut seconds = 3;
    loop {
        let time = seconds.to_string();
        let output = scale(&[
            "--daemons",
            "2",
            "--servers",
            "",
            "--seconds",
            &time,
            "--changes",
            "0",
        ]);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let failure = String::from_utf8_lossy(&output.stderr).into_owned();
        let json = text.find('{').map(|at| &text[at..]).unwrap_or_default();
        let report: Value = serde_json::from_str(json).expect(&failure);
        let counted = ["quiet: membership B/s", "quiet: sync B/s"]
            .iter()
            .all(|figure| report["daemons"][0][*figure].as_f64() > Some(0.0));
        if counted {
            return;
        }
        assert!(seconds < LONGEST_QUIET, "nothing in {seconds} s: {report}");
        seconds *= 2;
    }
}

/// Counters that stay at zero would make the control traffic look free. Waits for
/// each, since how soon a daemon has something to say depends on its timers.
#[test]
fn traffic_between_daemons_is_counted() {
    let programs = build_programs().unwrap();
    let scratch = std::env::temp_dir().join(format!("jasminepond-links-{}", std::process::id()));
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/foundry");
    let mut options = Options::new(folder, scratch);
    options.daemons = 2;
    options.programs = programs;
    let cluster = Cluster::start(options).unwrap();
    let operators = cluster.nodes[0].addresses.operators;
    for kind in ["membership", "sync", "link"] {
        for direction in ["sent", "received"] {
            let series = format!("peer_bytes_total{{direction=\"{direction}\",kind=\"{kind}\"}}");
            wait_for(&format!("{kind} bytes {direction} to be counted"), || {
                let metrics = call_text(operators, "/metrics", None).ok()?;
                let line = metrics.lines().find(|line| line.contains(&series))?;
                let bytes: u64 = line.rsplit(' ').next()?.parse().ok()?;
                (bytes > 0).then_some(())
            })
            .unwrap();
        }
    }
}
