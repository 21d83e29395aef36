//! The rate limit that a server states applies to all daemons together.

#[path = "cluster/mod.rs"]
mod cluster;
mod sim;

use std::time::Duration;

use cluster::{World, limit};
use jasminepond_routes::Repeat;
use sim::{MS, search, single};
use test_case::test_case;

const CALLER_TIMEOUT: Duration = Duration::from_millis(2_000);

const SECOND: Duration = Duration::from_secs(1);

/// Largest number of requests in four seconds that a limit allows: one and a half times the
/// limit and five more.
fn allowed(per_second: f64) -> usize {
    (1.5 * 4.0 * per_second + 5.0) as usize
}

/// Daemons that each keep the limit, or ignore it, together send many times as much.
#[test_case(6, 22.8; "small site")]
#[test_case(59, 12.4; "many daemons")]
#[test_case(195, 8.0; "more daemons than the limit allows requests")]
fn searches_keep_the_limit_of_a_replica_together(daemons: usize, per_second: f64) {
    let mut world = World::new(daemons, search(1, 150, 0.5), 1);
    let limited = world.add_server("s0", 20 * MS);
    let other = world.add_server("s0", 20 * MS);
    world.restart_all();
    world.load("/search/x", 90.0, 2 * SECOND, CALLER_TIMEOUT);
    world.servers[limited].limit = limit(per_second);
    let named = world.now;
    world.load("/search/x", 90.0, 16 * SECOND, CALLER_TIMEOUT);
    let busiest = world.busiest_window(limited, named, world.now);
    assert!(busiest <= allowed(per_second), "{busiest}");
    assert!(world.arrivals(other, named, world.now) > 0);
}

/// Requests to a single server of a service, at rates of one request in several seconds for
/// each daemon.
#[test_case(7, 1.0; "small site")]
#[test_case(59, 2.0; "many daemons")]
fn single_requests_keep_the_limits_of_servers_together(daemons: usize, per_second: f64) {
    let mut world = World::new(daemons, single(Repeat::Allowed), 2);
    let servers: Vec<_> = (0..4).map(|_| world.add_server("one", 60 * MS)).collect();
    world.restart_all();
    world.load("/one/x", 22.0, 2 * SECOND, CALLER_TIMEOUT);
    for server in &servers[..3] {
        world.servers[*server].limit = limit(per_second);
    }
    let named = world.now;
    world.load("/one/x", 22.0, 16 * SECOND, CALLER_TIMEOUT);
    for server in &servers[..3] {
        let busiest = world.busiest_window(*server, named, world.now);
        assert!(busiest <= allowed(per_second), "{server}: {busiest}");
    }
}
