//! Faults of backend servers, with the counters of the stand-in.

use serde_json::{Value, json};

use crate::support::{Callers, foundry, order};

/// Guards against an order that is reported otherwise than it ended, at each
/// point at which its connection can break.
#[test]
fn an_order_whose_connection_breaks_is_reported_as_it_ended() {
    let tier = foundry(2);
    let stages = [
        ("before_request", 0),
        ("within_request", 0),
        ("after_request", 0),
        ("before_response", 1),
        ("within_response", 1),
    ];
    for (stage, runs) in stages {
        for daemon in [0, 1] {
            let drop = json!({"stage": stage, "path": "/execute"});
            tier.backend("*", &json!({ "drop_after": drop }))
                .expect("it answers");
            let key = tier.key(daemon);
            let answer = tier.ask(daemon, "/v1/execute", &order(&key));
            let not_run = answer.body["error"]["not_run"].as_bool();
            let ran = tier.executions_of(&key);
            assert_eq!(ran, runs, "{stage}: {answer:?}");
            assert!(not_run.is_some(), "{stage}: {answer:?}");
            assert!(ran == 0 || not_run == Some(false), "{stage}: {answer:?}");
            tier.backend("*", &json!({"drop_after": null}))
                .expect("it answers");
            // The outcome of the key stands, although the servers are well again.
            if not_run == Some(false) {
                let again = tier.ask(daemon, "/v1/execute", &order(&key));
                assert_eq!(again.body, answer.body, "{stage}");
            }
            assert!(tier.executions_of(&key) <= 1, "{stage}");
        }
    }
}

/// Guards against requests that wait for connections which went silent while new
/// ones work.
#[test]
fn silent_connections_to_servers_are_replaced() {
    let tier = foundry(4);
    let callers = Callers::start(&tier);
    callers.wait_for_successes(100);
    tier.backend("*", &json!({"silent": true}))
        .expect("it answers");
    callers.wait_for_successes(100);
    tier.wait_until_complete(&[0, 1, 2, 3]);
    let records = callers.stop();
    tier.check(&records);
    tier.backend("*", &json!({"silent": false}))
        .expect("it answers");
}

/// Guards against the connection limit of a server being exceeded, and its
/// slots being filled beyond what it can run.
#[test]
fn the_daemons_together_respect_connection_limits() {
    let tier = foundry(4);
    let callers = Callers::start(&tier);
    callers.wait_for_successes(400);
    tier.check(&callers.stop());
    let counters = tier.backend_counters().expect("it answers");
    let servers = counters["servers"].as_object().expect("counters by server");
    for (server, counters) in servers {
        assert_eq!(counters["connections_refused"], Value::from(0), "{server}");
    }
}
