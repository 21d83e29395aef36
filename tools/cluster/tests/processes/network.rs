//! Networks that part daemons from each other.

use serde_json::json;
use test_case::test_case;

use crate::support::{Callers, Ended, order, relayed_foundry, until};

const SUCCESSES: usize = 100;

/// Guards against a side of a partition that stops serving, that runs a key of
/// the other side, or that does not find back.
#[test_case("blackhole"; "nothing passes")]
#[test_case("cut"; "connections are reset")]
fn every_side_of_a_partition_serves_its_callers(mode: &str) {
    let tier = relayed_foundry(3);
    let callers = Callers::start(&tier);
    callers.wait_for_successes(SUCCESSES);
    let foreign = tier.key(1);
    tier.network("*", &json!({ "mode": mode }))
        .expect("the relay answers");
    until("the sides to give each other up", || {
        let others = |by: usize| (0..3).filter(move |other| *other != by);
        let alone = |by: usize| {
            others(by).all(|other| tier.seen(by, &format!("entry-{}", other + 1)) == "dead")
        };
        (0..3).all(alone).then_some(())
    });
    callers.wait_for_successes(SUCCESSES);
    tier.wait_until_complete(&[0, 1, 2]);
    let answer = tier.ask(0, "/v1/execute", &order(&foreign));
    assert_eq!(answer.kind(), Some("outcome_unknown"), "{answer:?}");
    assert_eq!(tier.executions_of(&foreign), 0);
    let change = json!({"97-change.json": {"tenants": {"night-shift": {}}}});
    let revision = tier.publish(&change).expect("the platform answers");
    until("the revision on every side", || {
        let revisions = tier.revisions();
        (revisions.len() == 3 && revisions.values().all(|r| *r == revision)).then_some(())
    });
    tier.network("*", &json!({"mode": "pass"}))
        .expect("the relay answers");
    tier.wait_until_joined().expect("the sides find each other");
    callers.wait_for_successes(SUCCESSES);
    let records = callers.stop();
    for record in &records {
        assert!(matches!(record.ended, Ended::Answered(_)), "{record:?}");
    }
    tier.check(&records);
    assert!(tier.executions_of(&foreign) <= 1);
    tier.wait_until_complete(&[0, 1, 2]);
}

/// Guards against links that stay open and carry nothing any more.
#[test]
fn silent_links_between_daemons_are_replaced() {
    let tier = relayed_foundry(3);
    let callers = Callers::start(&tier);
    callers.wait_for_successes(SUCCESSES);
    tier.network("peers", &json!({"mode": "blackhole_existing"}))
        .expect("the relay answers");
    callers.wait_for_successes(SUCCESSES);
    tier.wait_until_joined().expect("new links work");
    tier.wait_until_complete(&[0, 1, 2]);
    let records = callers.stop();
    for record in &records {
        assert!(matches!(record.ended, Ended::Answered(_)), "{record:?}");
    }
    tier.check(&records);
}
