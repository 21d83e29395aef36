//! Graceful shutdown under load.

use jasminepond_cluster::Signal;
use serde_json::json;
use test_case::test_case;

use crate::support::{Callers, Outcome, foundry, until};

const SUCCESSES: usize = 150;

/// A change made during the stop.
enum ConcurrentChange {
    None,
    Configuration,
}

/// Guards against a graceful stop that breaks a request in flight, leaves a caller
/// without a complete response, or exits with a failure.
#[test_case(&[1], ConcurrentChange::None; "one daemon")]
#[test_case(&[1, 2], ConcurrentChange::None; "two daemons at once")]
#[test_case(&[1], ConcurrentChange::Configuration; "during a configuration change")]
fn a_graceful_stop_breaks_no_request(stopped: &[usize], change: ConcurrentChange) {
    let mut cluster = foundry(4);
    let callers = Callers::start(&cluster);
    callers.wait_for_successes(SUCCESSES);
    if let ConcurrentChange::Configuration = change {
        let change = json!({"97-change.json": {"tenants": {"night-shift": {}}}});
        cluster.publish(&change).expect("the platform responds");
    }
    for daemon in stopped {
        cluster.nodes[*daemon]
            .process
            .signal(Signal::TERM)
            .expect("the process runs");
    }
    for daemon in stopped {
        let status = cluster.nodes[*daemon]
            .process
            .wait()
            .expect("the process exits");
        assert_eq!(status.code(), Some(0));
    }
    callers.wait_for_successes(SUCCESSES);
    let rest: Vec<usize> = (0..4).filter(|daemon| !stopped.contains(daemon)).collect();
    cluster.wait_until_complete(&rest);
    let records = callers.stop();
    for record in &records {
        assert!(!matches!(record.outcome, Outcome::Cut(_)), "{record:?}");
        // Callers switch to another daemon before the stopping one closes its listener.
        assert!(!matches!(record.outcome, Outcome::Refused), "{record:?}");
    }
    cluster.check(&records);
}

/// Guards against a stop that the readiness check does not show in advance, and
/// against new work that a stopping daemon starts after the announcement.
#[test]
fn a_stop_is_announced_before_the_listener_closes() {
    let mut cluster = foundry(2);
    let addresses = cluster.nodes[1].addresses;
    cluster.nodes[1]
        .process
        .signal(Signal::TERM)
        .expect("the process runs");
    until("the readiness check to report draining", || {
        let ready = jasminepond_cluster::call(addresses.operators, "/readyz", None).ok()?;
        (ready["status"] == "draining").then_some(())
    });
    let answer = cluster.request(1, "/v1/search", &crate::support::search_body());
    assert!(answer.closing, "{answer:?}");
    assert!(
        answer.status == 200 || answer.kind() == Some("draining"),
        "{answer:?}"
    );
    until("the other daemon to see the stop", || {
        (cluster.member_state(0, "entry-2") != "alive").then_some(())
    });
    let status = cluster.nodes[1].process.wait().expect("the process exits");
    assert_eq!(status.code(), Some(0));
    cluster.wait_until_complete(&[0]);
}
