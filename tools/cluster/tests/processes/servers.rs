//! Faults of backend servers, checked against the counters of the stand-in.

use serde_json::{Value, json};

use crate::support::{Callers, execute_body, foundry};

/// Guards against a wrong outcome of an execute request whose connection to the
/// server breaks, for each point at which it can break.
#[test]
fn an_execute_reports_its_true_outcome_when_its_connection_breaks() {
    let cluster = foundry(2);
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
            cluster
                .patch_backend("*", &json!({ "drop_after": drop }))
                .expect("the stand-in responds");
            let key = cluster.key(daemon);
            let answer = cluster.request(daemon, "/v1/execute", &execute_body(&key));
            let not_run = answer.body["error"]["not_run"].as_bool();
            let ran = cluster.executions_of(&key);
            assert_eq!(ran, runs, "{stage}: {answer:?}");
            assert!(not_run.is_some(), "{stage}: {answer:?}");
            assert!(ran == 0 || not_run == Some(false), "{stage}: {answer:?}");
            cluster
                .patch_backend("*", &json!({"drop_after": null}))
                .expect("the stand-in responds");
            // The outcome of the key does not change when the servers work again.
            if not_run == Some(false) {
                let repeated = cluster.request(daemon, "/v1/execute", &execute_body(&key));
                assert_eq!(repeated.body, answer.body, "{stage}");
            }
            assert!(cluster.executions_of(&key) <= 1, "{stage}");
        }
    }
}

/// Guards against requests that wait on silent connections although new
/// connections would work.
#[test]
fn silent_connections_to_servers_are_replaced() {
    let cluster = foundry(4);
    let callers = Callers::start(&cluster);
    callers.wait_for_successes(100);
    cluster
        .patch_backend("*", &json!({"silent": true}))
        .expect("the stand-in responds");
    callers.wait_for_successes(100);
    cluster.wait_until_complete(&[0, 1, 2, 3]);
    let records = callers.stop();
    cluster.check(&records);
    cluster
        .patch_backend("*", &json!({"silent": false}))
        .expect("the stand-in responds");
}

/// Guards against daemons that together exceed the connection limit of a server or
/// fill its slots beyond their number.
#[test]
fn the_daemons_together_respect_connection_limits() {
    let cluster = foundry(4);
    let callers = Callers::start(&cluster);
    callers.wait_for_successes(400);
    cluster.check(&callers.stop());
    let counters = cluster.backend_counters().expect("the stand-in responds");
    let servers = counters["servers"].as_object().expect("counters by server");
    for (server, counters) in servers {
        assert_eq!(counters["connections_refused"], Value::from(0), "{server}");
    }
}
