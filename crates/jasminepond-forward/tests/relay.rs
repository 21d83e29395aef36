//! Requests at daemons that are partitioned from the backend servers, in a simulation of
//! several daemons.

mod cluster;
mod sim;

use std::time::Duration;

use cluster::{Answered, Fault, World};
use jasminepond_forward::{Answer, Verdict};
use jasminepond_routes::{Repeat, Route};
use jasminepond_types::{Millis, RunStatus, Timestamp};
use rand::{Rng, SeedableRng, rngs::StdRng};
use sim::{MS, search, single};
use test_case::test_case;

const DAEMONS: usize = 6;
const SHARDS: usize = 10;
const CALLER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after which a partitioned daemon has to serve its callers, as the users require.
const CONTACT: Duration = Duration::from_secs(4);

/// Requests that may be repeated and fail at a partitioned daemon until the partition is
/// noticed.
const MAX_FAILED: usize = 1;

/// Time after a partition in which no request may fail.
const RETURN: Duration = Duration::from_secs(1);

/// Time within which a request that nobody can serve has to be refused.
const AT_ONCE: Duration = Duration::from_millis(20);

const PATHS: [&str; 3] = ["/search/x", "/one/x", "/once/x"];

/// Daemons with two servers for each shard, and three for other requests.
fn world(seed: u64) -> World {
    let once = Route {
        name: "once".into(),
        prefix: "/once/".to_owned(),
        repeat: Repeat::Never,
        ..single(Repeat::Never)
    };
    let mut searches = search(SHARDS, 150, 0.8);
    searches.max_attempts = 2;
    let one = Route {
        max_attempts: 2,
        ..single(Repeat::Allowed)
    };
    let mut world = World::new(DAEMONS, searches, seed);
    world.add_routes([one, once]);
    for shard in 0..2 * SHARDS {
        world.add_server(&format!("s{}", shard / 2), 10 * MS);
    }
    for _ in 0..3 {
        world.add_server("one", 30 * MS);
    }
    world.restart_all();
    load_all(&mut world, 2 * MS * 500);
    world
}

fn load_all(world: &mut World, time: Duration) {
    let end = world.now + time;
    while world.now < end {
        for path in PATHS {
            world.load(path, 40.0, 50 * MS, CALLER_TIMEOUT);
        }
    }
}

fn is_served(answered: &&Answered) -> bool {
    matches!(answered.summary.verdict, Verdict::Served | Verdict::Partial)
}

/// Share of the requests at some daemons that were served since `from`.
fn served(world: &World, daemons: std::ops::Range<usize>, from: Timestamp) -> f64 {
    let since = |a: &&Answered| a.at >= from && daemons.contains(&a.daemon);
    let all = world.answers.iter().filter(since);
    all.clone().filter(is_served).count() as f64 / all.count().max(1) as f64
}

/// Guards against a request that runs where it must not: more than once if it must not be
/// repeated, on more servers than the route allows, or after it was refused as not run.
fn assert_runs_are_allowed(world: &World) {
    for answered in &world.answers {
        let ran = world
            .ran
            .get(&answered.number)
            .map_or(&[][..], Vec::as_slice);
        let refused = match &answered.answer {
            Some(Answer::Refused(refusal)) => refusal.kind.response().run == RunStatus::NotRun,
            _ => false,
        };
        assert!(!refused || ran.is_empty(), "refused, and ran on {ran:?}");
        let services = ran
            .iter()
            .map(|server| &world.servers[*server].entry.service);
        for service in services {
            let here = ran
                .iter()
                .filter(|s| world.servers[**s].entry.service == *service);
            let mut servers: Vec<_> = here.clone().collect();
            servers.sort();
            servers.dedup();
            let name = &*answered.summary.route;
            let most = if name == "once" { 1 } else { 2 };
            assert!(servers.len() <= most, "{name} ran on {ran:?}");
            assert!(name != "once" || here.count() == 1, "{name} ran on {ran:?}");
        }
    }
}

/// Guards against callers of partitioned daemons that are served worse than others.
#[test_case(1)]
#[test_case(3)]
#[test_case(5)]
fn callers_of_partitioned_daemons_are_served(partitioned: usize) {
    let mut world = world(partitioned as u64);
    let cut = world.now;
    for daemon in 0..partitioned {
        world.inject(daemon, Fault::Partition, 3 * CONTACT);
    }
    load_all(&mut world, 2 * CONTACT);
    let later = served(&world, 0..partitioned, cut + CONTACT);
    let others = served(&world, partitioned..DAEMONS, cut);
    assert!(later > 0.98 && others > 0.98, "{later}, others {others}");
    // Requests that must not be repeated, and were under way, cannot be saved.
    let early = |a: &&Answered| {
        let repeated = &*a.summary.route != "once";
        a.at < cut + CONTACT && a.daemon < partitioned && repeated
    };
    let failed = world.answers.iter().filter(early).filter(|a| !is_served(a));
    let failed: Vec<_> = failed.map(|a| (a.at.since(cut), &a.summary)).collect();
    assert!(failed.len() <= MAX_FAILED * partitioned, "{failed:#?}");
    load_all(&mut world, 2 * CONTACT);
    let end = cut + 3 * CONTACT;
    let return_time = |a: &&Answered| a.at >= end && a.at < end + RETURN;
    let returning = world.answers.iter().filter(return_time);
    let failed: Vec<_> = returning.filter(|a| !is_served(a)).collect();
    assert!(
        failed.is_empty(),
        "{} fail at the end of the partition",
        failed.len()
    );
    let back = world.now;
    let delegated = world.delegated;
    load_all(&mut world, CONTACT);
    assert!(served(&world, 0..DAEMONS, back) > 0.99);
    assert_eq!(
        world.delegated, delegated,
        "requests still go to other daemons"
    );
    assert_runs_are_allowed(&world);
}

/// Guards against requests that go to and fro between daemons that reach no server, and
/// against callers that wait for nothing.
#[test]
fn requests_that_no_daemon_can_serve_are_refused_at_once() {
    let mut world = world(7);
    for daemon in 0..DAEMONS {
        world.inject(daemon, Fault::Partition, 3 * CONTACT);
    }
    load_all(&mut world, CONTACT);
    let (noticed, delegated) = (world.now, world.delegated);
    load_all(&mut world, CONTACT);
    let since = world
        .answers
        .iter()
        .filter(|a| a.at >= noticed + CALLER_TIMEOUT);
    for answered in since {
        let Some(Answer::Refused(refusal)) = &answered.answer else {
            panic!("{:?}", answered.answer);
        };
        assert!(answered.summary.took <= AT_ONCE, "{:?}", answered.summary);
        assert!(refusal.retry_after.is_some_and(|wait| wait > Millis(0)));
    }
    assert_eq!(world.delegated, delegated);
    assert_runs_are_allowed(&world);
}

/// Guards against repeated and doubled requests at the edges of partitions, which begin and
/// end while requests are under way at the asking and the asked daemons.
#[test]
fn requests_run_as_often_as_allowed_under_random_partitions() {
    for seed in 100..130 {
        let mut world = world(seed);
        let mut rng = StdRng::seed_from_u64(seed);
        for _ in 0..12 {
            for daemon in 0..DAEMONS {
                if rng.random_bool(0.4) {
                    let time = Duration::from_millis(rng.random_range(50..1_500));
                    world.inject(daemon, Fault::Partition, time);
                }
            }
            load_all(
                &mut world,
                Duration::from_millis(rng.random_range(100..900)),
            );
        }
        load_all(&mut world, CONTACT);
        let back = world.now;
        load_all(&mut world, CONTACT);
        assert!(served(&world, 0..DAEMONS, back) > 0.98, "seed {seed}");
        assert_runs_are_allowed(&world);
    }
}

/// Guards against searches that fail only because another daemon returns too few shards at the
/// objective, where a daemon with own links waits for more.
#[test]
fn late_searches_are_served_through_other_daemons_too() {
    let mut world = world(11);
    world.inject(0, Fault::Partition, 3 * CONTACT);
    load_all(&mut world, Duration::from_secs(1));
    for server in &mut world.servers {
        server.work = 160 * MS;
    }
    let slow = world.now + CALLER_TIMEOUT;
    load_all(&mut world, CONTACT);
    let (partitioned, others) = (served(&world, 0..1, slow), served(&world, 1..DAEMONS, slow));
    assert!(others > 0.9, "{others} at the others");
    assert!(
        partitioned >= others - 0.02,
        "{partitioned}, {others} at the others"
    );
}
