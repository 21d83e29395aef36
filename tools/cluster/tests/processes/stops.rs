//! Planned stops under load.

use jasminepond_cluster::Signal;
use serde_json::json;
use test_case::test_case;

use crate::support::{Callers, Ended, foundry, until};

const SUCCESSES: usize = 150;

/// What happens besides the stop.
enum Besides {
    Nothing,
    ConfigurationChange,
}

/// Guards against a planned stop that cuts a request in flight, that leaves a
/// caller without a complete answer, or that ends with a failure.
#[test_case(&[1], Besides::Nothing; "one daemon")]
#[test_case(&[1, 2], Besides::Nothing; "two daemons at once")]
#[test_case(&[1], Besides::ConfigurationChange; "during a configuration change")]
fn a_planned_stop_cuts_no_request(stopped: &[usize], besides: Besides) {
    let mut tier = foundry(4);
    let callers = Callers::start(&tier);
    callers.wait_for_successes(SUCCESSES);
    if let Besides::ConfigurationChange = besides {
        let change = json!({"97-change.json": {"tenants": {"night-shift": {}}}});
        tier.publish(&change).expect("the platform answers");
    }
    for daemon in stopped {
        tier.nodes[*daemon]
            .process
            .signal(Signal::TERM)
            .expect("it runs");
    }
    for daemon in stopped {
        let status = tier.nodes[*daemon].process.wait().expect("it ends");
        assert_eq!(status.code(), Some(0));
    }
    callers.wait_for_successes(SUCCESSES);
    let rest: Vec<usize> = (0..4).filter(|daemon| !stopped.contains(daemon)).collect();
    tier.wait_until_complete(&rest);
    let records = callers.stop();
    for record in &records {
        assert!(!matches!(record.ended, Ended::Cut(_)), "{record:?}");
        // Callers leave a daemon that is stopping before it refuses them.
        assert!(!matches!(record.ended, Ended::Refused), "{record:?}");
    }
    tier.check(&records);
}

/// Guards against a load balancer that is not told, and against new work that a
/// stopping daemon starts after the announcement.
#[test]
fn a_stop_is_announced_before_the_listener_closes() {
    let mut tier = foundry(2);
    let addresses = tier.nodes[1].addresses;
    tier.nodes[1].process.signal(Signal::TERM).expect("it runs");
    until("the daemon to say that it is stopping", || {
        let ready = jasminepond_cluster::call(addresses.operators, "/readyz", None).ok()?;
        (ready["status"] == "draining").then_some(())
    });
    let answer = tier.ask(1, "/v1/search", &crate::support::search());
    assert!(answer.closing, "{answer:?}");
    assert!(
        answer.status == 200 || answer.kind() == Some("draining"),
        "{answer:?}"
    );
    until("the other daemon to know", || {
        (tier.seen(0, "entry-2") != "alive").then_some(())
    });
    let status = tier.nodes[1].process.wait().expect("it ends");
    assert_eq!(status.code(), Some(0));
    tier.wait_until_complete(&[0]);
}
