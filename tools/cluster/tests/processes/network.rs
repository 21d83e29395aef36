//! Network faults between daemons.

use serde_json::json;
use test_case::test_case;

use crate::support::{Callers, Outcome, execute_body, relayed_foundry, until};

const SUCCESSES: usize = 100;

/// Guards against a partition whose sides stop serving, execute a key issued by a
/// daemon on another side, or fail to rejoin afterwards.
#[test_case("blackhole"; "nothing passes")]
#[test_case("cut"; "connections are reset")]
fn every_side_of_a_partition_serves_its_callers(mode: &str) {
    let cluster = relayed_foundry(3);
    let callers = Callers::start(&cluster);
    callers.wait_for_successes(SUCCESSES);
    let foreign = cluster.key(1);
    cluster
        .patch_network("*", &json!({ "mode": mode }))
        .expect("the relay responds");
    until("every daemon to see the others as dead", || {
        let others = |observer: usize| (0..3).filter(move |other| *other != observer);
        let alone = |observer: usize| {
            others(observer).all(|other| {
                cluster.member_state(observer, &format!("entry-{}", other + 1)) == "dead"
            })
        };
        (0..3).all(alone).then_some(())
    });
    callers.wait_for_successes(SUCCESSES);
    cluster.wait_until_complete(&[0, 1, 2]);
    let answer = cluster.request(0, "/v1/execute", &execute_body(&foreign));
    assert_eq!(answer.kind(), Some("outcome_unknown"), "{answer:?}");
    assert_eq!(cluster.executions_of(&foreign), 0);
    let change = json!({"97-change.json": {"tenants": {"night-shift": {}}}});
    let revision = cluster.publish(&change).expect("the platform responds");
    until("all daemons to apply the revision", || {
        let revisions = cluster.revisions();
        (revisions.len() == 3 && revisions.values().all(|r| *r == revision)).then_some(())
    });
    cluster
        .patch_network("*", &json!({"mode": "pass"}))
        .expect("the relay responds");
    cluster.wait_until_joined().expect("the daemons rejoin");
    callers.wait_for_successes(SUCCESSES);
    let records = callers.stop();
    for record in &records {
        assert!(matches!(record.outcome, Outcome::Answered(_)), "{record:?}");
    }
    cluster.check(&records);
    assert!(cluster.executions_of(&foreign) <= 1);
    cluster.wait_until_complete(&[0, 1, 2]);
}

/// Guards against links that stay open although they no longer carry traffic.
#[test]
fn silent_links_between_daemons_are_replaced() {
    let cluster = relayed_foundry(3);
    let callers = Callers::start(&cluster);
    callers.wait_for_successes(SUCCESSES);
    cluster
        .patch_network("peers", &json!({"mode": "blackhole_existing"}))
        .expect("the relay responds");
    callers.wait_for_successes(SUCCESSES);
    cluster.wait_until_joined().expect("the daemons reconnect");
    cluster.wait_until_complete(&[0, 1, 2]);
    let records = callers.stop();
    for record in &records {
        assert!(matches!(record.outcome, Outcome::Answered(_)), "{record:?}");
    }
    cluster.check(&records);
}
