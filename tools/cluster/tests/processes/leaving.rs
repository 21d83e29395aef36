//! Backend servers that leave.

use serde_json::json;
use test_case::test_case;

use crate::support::{Callers, Tier, foundry, search, until};

/// One replica of a shard of the pattern shop.
fn leaving_server(tier: &Tier) -> String {
    let counters = tier.backend_counters().expect("the stand-in answers");
    let servers = counters["servers"].as_object().expect("counters by server");
    let name = servers.keys().find(|name| name.starts_with("pattern-shop"));
    name.expect("a server of the pattern shop").clone()
}

fn received(tier: &Tier, server: &str) -> u64 {
    let counters = tier.backend_counters().expect("the stand-in answers");
    let received = counters["servers"][server]["received"].as_u64();
    received.expect("a counter")
}

/// Whether a server gets none of many searches, each of which needs its shard.
fn gets_nothing(tier: &Tier, server: &str) -> bool {
    let before = received(tier, server);
    for daemon in (0..tier.nodes.len()).cycle().take(40) {
        tier.ask(daemon, "/v1/search", &search());
    }
    received(tier, server) == before
}

#[derive(Clone, Copy)]
enum Notice {
    /// The instance list says it, late.
    ListWithLag,
    /// Only the server says it.
    Server,
}

fn set_leaving(tier: &Tier, server: &str, notice: Notice, leaving: bool) {
    match notice {
        Notice::ListWithLag => {
            tier.platform_modes(&json!({"instance_lag_ms": 500}))
                .expect("it answers");
            let state = if leaving { "leaving" } else { "live" };
            tier.list_server(server, state).expect("it answers");
        }
        Notice::Server => {
            tier.backend(server, &json!({ "draining": leaving }))
                .expect("it answers");
        }
    }
}

/// Guards against new work for a server that leaves, against searches that miss
/// its shard meanwhile, and against a server that is forgotten when it is back.
#[test_case(Notice::ListWithLag; "according to the instance list")]
#[test_case(Notice::Server; "according to the server alone")]
fn a_leaving_server_gets_no_new_work(notice: Notice) {
    let tier = foundry(4);
    let server = leaving_server(&tier);
    tier.wait_until_complete(&[0, 1, 2, 3]);
    assert!(
        !gets_nothing(&tier, &server),
        "{server} gets no work while it is live"
    );
    let callers = Callers::start(&tier);
    callers.wait_for_successes(100);
    set_leaving(&tier, &server, notice, true);
    until("the server to get no new work", || {
        gets_nothing(&tier, &server).then_some(())
    });
    let before = received(&tier, &server);
    callers.wait_for_successes(100);
    tier.wait_until_complete(&[0, 1, 2, 3]);
    assert_eq!(received(&tier, &server), before);
    let records = callers.stop();
    tier.check(&records);
    set_leaving(&tier, &server, notice, false);
    until("the server to get work again", || {
        (!gets_nothing(&tier, &server)).then_some(())
    });
}
