//! Tests of `jasminepond-scale`, which measures the slopes in `docs/CAPACITY.md`.

use std::process::{Command, Output};

use jasminepond_cluster::{Cluster, Options, build_programs, call_text, wait_for};
use serde_json::Value;
use test_case::test_case;

fn scale(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_jasminepond-scale");
    Command::new(program).args(args).output().unwrap()
}

/// An invalid size must be rejected before hundreds of processes are started.
#[test_case(&["--daemons", "x"], "--daemons: \"x\""; "not a number")]
#[test_case(&["--daemons", "7,201"], "from 1 to 200"; "too many daemons")]
#[test_case(&["--servers", "0"], "from 1 to 25000"; "no servers")]
#[test_case(&["--seconds", "0"], "--seconds"; "no time")]
#[test_case(&["--deamons", "7"], "--deamons"; "unknown flag")]
fn error_names_the_invalid_argument(args: &[&str], expected: &str) {
    let output = scale(args);
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(message.contains(expected), "{message}");
}

/// Maximum idle time of the measurement in seconds.
const MAX_IDLE_SECONDS: u32 = 48;

/// If the figures were always zero, control traffic would appear to cost nothing. The
/// time until daemons send messages depends on their timers and on the load of the
/// machine, so the idle time is doubled until each figure is above zero.
#[test]
fn peer_traffic_is_reported() {
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
        let nonzero = ["quiet: membership B/s", "quiet: sync B/s"]
            .iter()
            .all(|figure| report["daemons"][0][*figure].as_f64() > Some(0.0));
        if nonzero {
            return;
        }
        assert!(
            seconds < MAX_IDLE_SECONDS,
            "a figure is still zero after {seconds} s: {report}"
        );
        seconds *= 2;
    }
}

/// If the counters stayed at zero, control traffic would appear to cost nothing. The
/// test waits for each counter, since the time until a daemon sends messages depends on
/// its timers.
#[test]
fn peer_traffic_is_counted() {
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
