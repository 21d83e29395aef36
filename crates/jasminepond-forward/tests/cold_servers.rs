//! A cold server gets no more requests in any second than it can handle, from all daemons
//! together, whether they know that it is cold or not.

#[path = "cluster/mod.rs"]
mod cluster;
mod sim;

use std::time::Duration;

use cluster::{Fault, World};
use jasminepond_forward::Verdict;
use jasminepond_routes::Repeat;
use jasminepond_types::{Millis, Timestamp};
use sim::{MS, search, single};
use test_case::test_case;

const CALLER_TIMEOUT: Duration = Duration::from_millis(2_000);

const SECOND: Duration = Duration::from_secs(1);

/// Time after a server has become cold until all daemons keep its limit: the validity of the
/// last check, and the time that requests are under way.
const KNOWN_BY_ALL: Duration = Duration::from_millis(5_200);

/// The same for daemons that can be told: the interval of checks, and the time of one.
const KNOWN_IN_TOUCH: Duration = Duration::from_millis(2_500);

/// Largest number of requests in one second.
fn allowed(per_second: f64) -> usize {
    (per_second * 1.5 + 5.0) as usize
}

fn turn_cold(world: &mut World, server: usize, time: Duration) -> Timestamp {
    world.servers[server].cold_until = world.now + time;
    world.now
}

/// Daemons that know of no check, as after their own start, would send as to a warm server.
#[test_case(6, 20.0; "small site")]
#[test_case(59, 8.0; "many daemons")]
#[test_case(195, 2.0; "more daemons than the limit allows requests")]
fn servers_that_start_cold_are_spared(daemons: usize, per_second: f64) {
    let mut world = World::new(daemons, search(1, 150, 0.5), 1);
    let servers = [(); 2].map(|()| world.add_server("s0", 20 * MS));
    world.limit_cold_servers("s0", per_second);
    for server in servers {
        world.servers[server].entry.warm_up_left = Millis(8_000);
        turn_cold(&mut world, server, 8 * SECOND);
    }
    let started = world.now;
    world.restart_all();
    world.load("/search/x", 120.0, 8 * SECOND, CALLER_TIMEOUT);
    for server in servers {
        let busiest = world.busiest_second(server, started, world.now);
        assert!(busiest <= allowed(per_second), "{server}: {busiest}");
        let taken = world.arrivals(server, started + 3 * SECOND, world.now);
        assert!(taken as f64 >= 0.4 * 5.0 * per_second, "{server}: {taken}");
    }
    world.load("/search/x", 120.0, 3 * SECOND, CALLER_TIMEOUT);
    let warm = world.now;
    world.load("/search/x", 120.0, 2 * SECOND, CALLER_TIMEOUT);
    let answers = world.answers.iter().filter(|answered| answered.at >= warm);
    let served = answers
        .clone()
        .filter(|answered| answered.summary.verdict == Verdict::Served);
    let (served, all) = (served.count(), answers.count());
    assert!(all > 100 && served * 100 >= all * 97, "{served} of {all}");
}

/// Only health responses tell that a server that was warm has become cold.
#[test_case(6, 20.0; "small site")]
#[test_case(59, 8.0; "many daemons")]
fn a_server_that_turns_cold_is_found(daemons: usize, per_second: f64) {
    let mut world = World::new(daemons, single(Repeat::Allowed), 2);
    let servers: Vec<_> = (0..4).map(|_| world.add_server("one", 20 * MS)).collect();
    world.limit_cold_servers("one", per_second);
    world.restart_all();
    world.load("/one/x", 160.0, 4 * SECOND, CALLER_TIMEOUT);
    let turned = turn_cold(&mut world, servers[0], 12 * SECOND);
    world.load("/one/x", 160.0, 12 * SECOND, CALLER_TIMEOUT);
    let busiest = world.busiest_second(servers[0], turned + KNOWN_IN_TOUCH, world.now);
    assert!(busiest <= allowed(per_second), "{busiest}");
    world.load("/one/x", 160.0, 4 * SECOND, CALLER_TIMEOUT);
    let warm = world.now;
    world.load("/one/x", 160.0, 2 * SECOND, CALLER_TIMEOUT);
    let taken = world.arrivals(servers[0], warm, world.now);
    assert!(taken >= 40, "a warm server is used again: {taken}");
}

/// Servers without requests, as those of a zone that was evacuated, may have become cold
/// although their entries say that they are warm.
#[test]
fn servers_that_were_not_used_are_checked_first() {
    let (daemons, per_second) = (24, 10.0);
    let mut world = World::new(daemons, single(Repeat::Allowed), 3);
    let servers: Vec<_> = (0..3).map(|_| world.add_server("one", 20 * MS)).collect();
    world.limit_cold_servers("one", per_second);
    world.restart_all();
    world.load("/one/x", 90.0, 3 * SECOND, CALLER_TIMEOUT);
    let unused = world.now + 20 * SECOND;
    world.run_until(unused);
    let before: usize = servers.iter().map(|s| world.servers[*s].health).sum();
    for server in &servers {
        turn_cold(&mut world, *server, 10 * SECOND);
    }
    world.load("/one/x", 200.0, 10 * SECOND, CALLER_TIMEOUT);
    for server in &servers {
        let busiest = world.busiest_second(*server, unused, world.now);
        assert!(busiest <= allowed(per_second), "{server}: {busiest}");
    }
    let health: usize = servers.iter().map(|s| world.servers[*s].health).sum();
    assert!(
        health - before <= 3 * 8,
        "health requests: {health}, {before}"
    );
}

/// Health requests wait for a slot and are billed: there are few, none without demand, and
/// none for services without a limit.
#[test]
fn health_requests_are_few() {
    let mut world = World::new(40, single(Repeat::Allowed), 4);
    let servers: Vec<_> = (0..4).map(|_| world.add_server("one", 20 * MS)).collect();
    world.restart_all();
    world.load("/one/x", 100.0, 5 * SECOND, CALLER_TIMEOUT);
    let sent = |world: &World| -> usize { servers.iter().map(|s| world.servers[*s].health).sum() };
    assert_eq!(sent(&world), 0);
    world.limit_cold_servers("one", 10.0);
    world.restart_all();
    world.load("/one/x", 100.0, 20 * SECOND, CALLER_TIMEOUT);
    let used = sent(&world);
    assert!((20..=4 * 12).contains(&used), "{used}");
    world.run_until(world.now + 20 * SECOND);
    assert!(sent(&world) <= used + 4, "{}", sent(&world));
}

/// What is no response must not be taken for one that says that the server is warm, nor be
/// repeated without a pause.
#[test_case(0; "no status")]
#[test_case(600; "an impossible status")]
#[test_case(421; "another server")]
#[test_case(503; "a rejection that does not say")]
fn unusable_health_responses_do_not_lift_the_limit(status: u16) {
    let per_second = 10.0;
    let mut world = World::new(12, single(Repeat::Allowed), 7);
    let servers = [(); 2].map(|()| world.add_server("one", 20 * MS));
    world.limit_cold_servers("one", per_second);
    world.servers[servers[0]].health_status = status;
    let started = world.now;
    world.restart_all();
    world.load("/one/x", 100.0, 8 * SECOND, CALLER_TIMEOUT);
    let busiest = world.busiest_second(servers[0], started, world.now);
    assert!(busiest <= allowed(per_second), "{busiest}");
    let health = world.servers[servers[0]].health;
    assert!((1..=2 * 8 + 2).contains(&health), "{health}");
}

/// A warm server must be used as if there were no limit, although it needs checks.
#[test]
fn warm_servers_are_used_without_delay() {
    let mut world = World::new(20, search(1, 150, 0.5), 5);
    let servers = [(); 2].map(|()| world.add_server("s0", 10 * MS));
    world.limit_cold_servers("s0", 3.0);
    world.restart_all();
    world.load("/search/x", 150.0, 10 * SECOND, CALLER_TIMEOUT);
    let served = world.answers.iter().filter(|answered| {
        let in_time = answered.summary.took <= 60 * MS;
        in_time && answered.summary.verdict == Verdict::Served
    });
    let (served, all) = (served.count(), world.answers.len());
    assert!(served * 100 >= all * 99, "{served} of {all}");
    assert!(servers.iter().all(|s| world.servers[*s].health <= 8));
}

/// Coordinators that are killed, freeze or are cut off, and two at a time, add less than the
/// bound leaves beyond the granted rate. Nobody is excused.
#[test_case(&[Fault::Kill]; "kills")]
#[test_case(&[Fault::Freeze]; "freezes")]
#[test_case(&[Fault::Cut]; "cuts")]
#[test_case(&[Fault::Isolate]; "views that differ")]
#[test_case(&[Fault::Kill, Fault::Freeze, Fault::Cut, Fault::Isolate]; "all faults")]
fn the_bound_is_kept_under_faults(faults: &[Fault]) {
    let sizes = [(3, 5.0), (6, 20.0), (8, 1.0), (40, 30.0)];
    for ((daemons, per_second), seed) in
        sizes.into_iter().flat_map(|s| (1..=6).map(move |n| (s, n)))
    {
        let mut world = World::new(daemons, search(1, 150, 0.5), seed);
        let servers = [(); 2].map(|()| world.add_server("s0", 20 * MS));
        world.limit_cold_servers("s0", per_second);
        world.restart_all();
        world.loss = 0.05;
        let load = 8.0 * per_second;
        world.load("/search/x", load, 4 * SECOND, CALLER_TIMEOUT);
        let context = format!("{daemons} daemons, {per_second}/s, seed {seed}");
        for round in 0..4 {
            world.inject_random(faults);
            let cold_for = 10 * SECOND;
            let turned = turn_cold(&mut world, servers[0], cold_for);
            for _ in 0..4 {
                world.inject_random(faults);
                world.load("/search/x", load, cold_for / 4, CALLER_TIMEOUT);
            }
            let busiest = world.busiest_second(servers[0], turned + KNOWN_BY_ALL, world.now);
            assert!(
                busiest <= allowed(per_second),
                "{context}, {round}: {busiest}"
            );
            world.load("/search/x", load, 3 * SECOND, CALLER_TIMEOUT);
        }
    }
}
