//! Backend servers that are taken out of service.

use serde_json::json;
use test_case::test_case;

use crate::support::{Callers, TestCluster, foundry, search_body, until};

/// One replica of a shard of the pattern shop.
fn leaving_server(cluster: &TestCluster) -> String {
    let counters = cluster.backend_counters().expect("the stand-in responds");
    let servers = counters["servers"].as_object().expect("counters by server");
    let name = servers.keys().find(|name| name.starts_with("pattern-shop"));
    name.expect("a server of the pattern shop").clone()
}

fn received(cluster: &TestCluster, server: &str) -> u64 {
    let counters = cluster.backend_counters().expect("the stand-in responds");
    let received = counters["servers"][server]["received"].as_u64();
    received.expect("a counter")
}

/// Whether a server receives none of 40 searches, each of which needs its shard.
fn receives_nothing(cluster: &TestCluster, server: &str) -> bool {
    let before = received(cluster, server);
    for daemon in (0..cluster.nodes.len()).cycle().take(40) {
        cluster.request(daemon, "/v1/search", &search_body());
    }
    received(cluster, server) == before
}

/// How the daemons learn that a server is leaving.
#[derive(Clone, Copy)]
enum Notice {
    /// By the instance list, with a lag.
    ListWithLag,
    /// By the server only.
    Server,
}

fn set_leaving(cluster: &TestCluster, server: &str, notice: Notice, leaving: bool) {
    match notice {
        Notice::ListWithLag => {
            cluster
                .patch_platform(&json!({"instance_lag_ms": 500}))
                .expect("the stand-in responds");
            let state = if leaving { "leaving" } else { "live" };
            cluster
                .set_listed_server_state(server, state)
                .expect("the stand-in responds");
        }
        Notice::Server => {
            cluster
                .patch_backend(server, &json!({ "draining": leaving }))
                .expect("the stand-in responds");
        }
    }
}

/// Guards against new requests to a leaving server, against searches that miss its
/// shard in the meantime, and against a server that is not used again when it is back.
#[test_case(Notice::ListWithLag; "according to the instance list")]
#[test_case(Notice::Server; "according to the server alone")]
fn a_leaving_server_receives_no_new_requests(notice: Notice) {
    let cluster = foundry(4);
    let server = leaving_server(&cluster);
    cluster.wait_until_complete(&[0, 1, 2, 3]);
    assert!(
        !receives_nothing(&cluster, &server),
        "{server} receives no requests while it is live"
    );
    let callers = Callers::start(&cluster);
    callers.wait_for_successes(100);
    set_leaving(&cluster, &server, notice, true);
    until("the server to receive no new requests", || {
        receives_nothing(&cluster, &server).then_some(())
    });
    let before = received(&cluster, &server);
    callers.wait_for_successes(100);
    cluster.wait_until_complete(&[0, 1, 2, 3]);
    assert_eq!(received(&cluster, &server), before);
    let records = callers.stop();
    cluster.check(&records);
    set_leaving(&cluster, &server, notice, false);
    until("the server to receive requests again", || {
        (!receives_nothing(&cluster, &server)).then_some(())
    });
}
